"""Heartbeats between the nodes, as datagrams.

A datagram is sent whether or not the receiver lives and is lost if it
does not: nothing queues for a node that is gone, and no connection can
fall silent. Each one stands for itself, so a lost one costs nothing.
"""

from collections import abc
import socket
import typing

import eventlet
from eventlet.green import socket as green_socket
import msgspec

from currantwall.coordination.peers import digests
from currantwall.transport import metrics as metrics_module
from currantwall.transport import timers

__all__ = ["Heartbeats"]

# Seconds between two heartbeats. At 13 nodes 400 datagrams a second in
# all; a node that is killed is avoided after three and a bit.
_INTERVAL = 0.4
# Seconds between heartbeats that are sent out of turn for urgent news.
_URGENT_INTERVAL = 0.05
_DATAGRAM_LIMIT = 65_000

Compose = abc.Callable[[int], list[digests.Datagram]]
Deliver = abc.Callable[[digests.Message], None]


class Heartbeats:
    """Owns the socket for what nodes tell each other."""

    def __init__(
        self,
        address: str,
        compose: Compose,
        deliver: Deliver,
        meter: metrics_module.Metrics,
        clock: timers.TimerService,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._socket: typing.Any = green_socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        self._socket.bind((host, int(port)))
        self._compose = compose
        self._deliver = deliver
        self._meter = meter
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(digests.Message)
        self._serial = 0
        self._sent = 0.0
        # When the next heartbeat out of turn is due, if one is.
        self._due: float | None = None

    def run_receiver(self) -> None:
        """Take messages for ever."""
        while True:
            try:
                data, _ = self._socket.recvfrom(_DATAGRAM_LIMIT)
                message = self._decoder.decode(data)
            except (OSError, msgspec.MsgspecError):
                # Damaged, foreign, or an error of an earlier send.
                eventlet.sleep(0)
                continue
            self._meter.add("currantwall.peers.received", 1)
            self._deliver(message)

    def run_sender(self) -> None:
        """Send what is due for ever."""
        while True:
            self.send()
            eventlet.sleep(_INTERVAL)

    def hurry(self, interval: float = _URGENT_INTERVAL) -> None:
        """Send what is due out of turn, a bounded number of times.

        Args:
            interval: Seconds since the last heartbeat at least.
        """
        due = max(self._sent + interval, self._clock.now())
        if self._due is None or due < self._due:
            self._due = due
            eventlet.spawn_n(self._send_urgent, due)

    def _send_urgent(self, due: float) -> None:
        eventlet.sleep(max(due - self._clock.now(), 0.0))
        if self._due == due:
            self._due = None
            self.send()

    def send(self) -> None:
        """Send one round of messages."""
        self._serial += 1
        self._sent = self._clock.now()
        for datagram in self._compose(self._serial):
            self.send_one(datagram)

    def send_one(self, datagram: digests.Datagram) -> None:
        """Send one message to each of its receivers."""
        data = self._encoder.encode(datagram.message)
        self._meter.add("currantwall.peers.sent", len(datagram.to))
        size = len(data) * len(datagram.to)
        self._meter.add("currantwall.peers.sent_bytes", size)
        for entry in datagram.to:
            host, _, port = entry.heartbeats.rpartition(":")
            try:
                self._socket.sendto(data, (host, int(port)))
            except OSError:
                # The link is full or cut; the next one tells the same.
                continue

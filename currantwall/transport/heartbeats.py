"""Sends and receives heartbeats between the nodes as UDP datagrams.

A datagram to a node that is down is simply lost: nothing queues up for
that node, and there is no connection that could hang. Each message is
complete in itself, so a lost one needs no repetition.
"""

from collections import abc
import socket
import typing

import eventlet
from eventlet.green import socket as green_socket
import msgspec

from currantwall.coordination.peers import digests
from currantwall.state import addresses
from currantwall.transport import metrics as metrics_module
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["Heartbeats"]

# Seconds between two heartbeats. 13 nodes send 400 datagrams a second in
# all. A killed node is avoided after three intervals and half a second.
_HEARTBEAT_INTERVAL = 0.4
# Shortest time in seconds between a heartbeat and one that is sent early
# because of an urgent report.
_URGENT_INTERVAL = 0.05
# Most bytes that are read of one datagram.
_DATAGRAM_SIZE_LIMIT = 65_000

Compose = abc.Callable[[int], list[digests.Datagram]]
Deliver = abc.Callable[[digests.Message], None]


class Heartbeats:
    """Owns the UDP socket for heartbeats, digests and alarms.

    Attributes:
        on_error: Called with the name of this task and an error that it has
            outlasted.
    """

    def __init__(
        self,
        address: str,
        compose: Compose,
        deliver: Deliver,
        meter: metrics_module.Metrics,
        clock: timers.TimerService,
    ) -> None:
        self._socket: typing.Any = green_socket.socket(
            socket.AF_INET, socket.SOCK_DGRAM
        )
        host, _, port = address.rpartition(":")
        self._socket.bind((host, int(port)))
        self._compose = compose
        self._deliver = deliver
        self._meter = meter
        self._clock = clock
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(digests.Message)
        self.on_error: abc.Callable[[str, Exception], object] = _ignore
        self._serial = 0
        self._sent_at = 0.0
        # When the next early heartbeat is due; None if there is none.
        self._urgent_at: float | None = None

    def run_receiver(self) -> None:
        """Receive and deliver messages forever."""
        while True:
            try:
                data, _ = self._socket.recvfrom(_DATAGRAM_SIZE_LIMIT)
                message = self._decoder.decode(data)
            except (OSError, *ports.UNREADABLE):
                # A damaged or foreign datagram, or the delayed error of an
                # earlier send.
                eventlet.sleep(0)
                continue
            self._meter.add("currantwall.peers.received", 1)
            try:
                self._deliver(message)
            except Exception as error:
                # Failure: one message that can't be acted upon keeps the
                # next ones from being received.
                self.on_error("Heartbeats.run_receiver", error)

    def run_sender(self) -> None:
        """Send a round of messages in each interval, forever."""
        while True:
            self.send()
            eventlet.sleep(_HEARTBEAT_INTERVAL)

    def send_soon(self, interval: float = _URGENT_INTERVAL) -> None:
        """Schedule an early round of messages.

        Args:
            interval: Shortest time in seconds since the last round, which
                bounds the number of rounds.
        """
        due = max(self._sent_at + interval, self._clock.now())
        if self._urgent_at is None or due < self._urgent_at:
            self._urgent_at = due
            eventlet.spawn_n(self._send_urgent, due)

    def _send_urgent(self, due: float) -> None:
        eventlet.sleep(max(due - self._clock.now(), 0.0))
        if self._urgent_at == due:
            self._urgent_at = None
            self.send()

    def send(self) -> None:
        """Send one round of messages."""
        self._serial += 1
        self._sent_at = self._clock.now()
        for datagram in self._compose(self._serial):
            self.send_one(datagram)

    def send_one(self, datagram: digests.Datagram) -> None:
        """Send one message to each of its receivers."""
        data = self._encoder.encode(datagram.message)
        self._meter.add("currantwall.peers.sent", len(datagram.to))
        size = len(data) * len(datagram.to)
        self._meter.add("currantwall.peers.sent_bytes", size)
        for entry in datagram.to:
            try:
                address = addresses.split(entry.heartbeats)
                self._socket.sendto(data, address)
            except OSError:
                # The link is congested or cut; the next round repeats the
                # report.
                continue


def _ignore(name: str, error: Exception) -> None:
    return

"""Peer links: a pull socket to receive, and a push socket for each peer.

pynng's blocking calls would block eventlet's hub, so the sockets are used
in non-blocking mode and the hub waits on the pull socket's file
descriptor. A message that cannot be sent at once is dropped and counted:
all messages carry soft state that is sent again.
"""

from collections import abc

import eventlet
import eventlet.hubs
import pynng
import result

from currantwall.coordination import actions
from currantwall.coordination import wire
from currantwall.protocol import codec
from currantwall.state import ids
from currantwall.state import members
from currantwall.state import timeline
from currantwall.state import views
from currantwall.transport import coordinator
from currantwall.transport import metrics
from currantwall.transport import timers

__all__ = ["PeerLinks"]

_RECEIVE_BUFFER_MESSAGES = 512
# Small, because a message that waits for a peer to come back is stale by
# then.
_SEND_BUFFER_MESSAGES = 16
_RECONNECT_MIN_MS = 100
_RECONNECT_MAX_MS = 2000
# Number of messages read before other tasks get a turn.
_BURST_SIZE = 32
# Largest message in bytes.
_MESSAGE_SIZE_LIMIT = 4_194_304

Deliver = abc.Callable[[wire.Envelope], None]


class _Peer:
    """The push socket to one peer."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.socket = pynng.Push0(
            send_buffer_size=_SEND_BUFFER_MESSAGES,
            reconnect_time_min=_RECONNECT_MIN_MS,
            reconnect_time_max=_RECONNECT_MAX_MS,
        )
        self.socket.dial(f"tcp://{address}", block=False)


class PeerLinks:
    """Owns the sockets of all peer links."""

    def __init__(
        self,
        address: str,
        seeds: tuple[str, ...],
        nodes: views.MembersView,
        codec_: codec.Codec,
        clock: timers.TimerService,
        stamps: timeline.HybridClock,
        meter: metrics.Metrics,
    ) -> None:
        self._address = address
        self._seeds = seeds
        self._nodes = nodes
        self._codec = codec_
        self._clock = clock
        self._stamps = stamps
        self._meter = meter
        self._peers: dict[ids.NodeId, _Peer] = {}
        self._running = False
        self._socket: pynng.Pull0 | None = None

    def listen(self) -> None:
        """Open the pull socket.

        Raises:
            pynng.NNGException: The address cannot be used.
        """
        self._socket = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_MESSAGES,
            recv_max_size=_MESSAGE_SIZE_LIMIT,
        )
        self._socket.listen(f"tcp://{self._address}")

    def run(self, deliver: Deliver) -> None:
        """Pass each received envelope to `deliver` until `close` is called."""
        assert self._socket is not None
        self._running = True
        descriptor = self._socket.recv_fd
        while self._running:
            self._read_burst(deliver)
            try:
                eventlet.hubs.trampoline(descriptor, read=True, timeout=1.0)
            except eventlet.Timeout:
                continue

    def close(self) -> None:
        """Close all sockets."""
        self._running = False
        for peer in self._peers.values():
            peer.socket.close()
        if self._socket is not None:
            self._socket.close()

    def _read_burst(self, deliver: Deliver) -> None:
        assert self._socket is not None
        count = 0
        while self._running:
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                return
            self._receive(data, deliver)
            count += 1
            if count % _BURST_SIZE == 0:
                eventlet.sleep(0)

    def _receive(self, data: bytes, deliver: Deliver) -> None:
        self._meter.add("currantwall.peers.received_bytes", len(data))
        self._meter.add("currantwall.peers.received", 1)
        outcome = self._codec.decode(data)
        if isinstance(outcome, result.Err):
            self._meter.add("currantwall.peers.refused", 1)
            return
        envelope = outcome.ok_value
        stamp = timeline.Stamp(envelope.wall, envelope.count)
        self._stamps.observe(stamp)
        deliver(envelope)

    @coordinator.performs(actions.Send)
    def send(self, action: actions.Send) -> None:
        """Send a body to a node, or drop it if that would block."""
        member = self._nodes.get(action.to)
        if member is None:
            return
        me = self._nodes.me
        stamp = self._stamps.advance(int(self._clock.wall() * 1e6))
        envelope = wire.Envelope(
            sender=me.id,
            incarnation=me.incarnation,
            sent=self._clock.now(),
            body=action.body,
            to_incarnation=member.incarnation,
            wall=stamp.wall,
            count=stamp.count,
        )
        self._push(self._connect(member), self._codec.encode(envelope))

    def _push(self, peer: _Peer, data: bytes) -> None:
        try:
            peer.socket.send(data, block=False)
        except pynng.TryAgain:
            self._meter.add("currantwall.peers.dropped", 1)
            return
        self._meter.add("currantwall.peers.sent_bytes", len(data))
        self._meter.add("currantwall.peers.sent", 1)

    def _connect(self, member: members.Member) -> _Peer:
        existing = self._peers.get(member.id)
        if existing is not None and existing.address == member.peer_address:
            return existing
        if existing is not None:
            existing.socket.close()
        peer = _Peer(member.peer_address)
        self._peers[member.id] = peer
        return peer

    def prune(self) -> None:
        """Close the sockets to nodes that are no longer known."""
        for node in list(self._peers):
            if self._nodes.get(node) is None:
                self._peers.pop(node).socket.close()

    def send_to_seeds(self, body: wire.Body) -> None:
        """Send a body to the configured seed addresses but this node's own."""
        me = self._nodes.me
        envelope = wire.Envelope(
            sender=me.id,
            incarnation=me.incarnation,
            sent=self._clock.now(),
            body=body,
        )
        data = self._codec.encode(envelope)
        for index, address in enumerate(self._seeds):
            if address == self._address:
                continue
            name = ids.NodeId(f"seed:{index}")
            peer = self._peers.setdefault(name, _Peer(address))
            self._push(peer, data)

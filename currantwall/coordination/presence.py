"""Which nodes live, by their heartbeats.

Each node sends a heartbeat to the others several times a second. It
tells what they cannot see: whether it takes requests, which
configuration it has, which leases it holds, how many requests it has in
work where, and which upstreams it saw fall silent.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import rendezvous

__all__ = ["Heartbeat", "NodeEntry", "Presence"]

# Seconds without a heartbeat after which callers are not sent to a node:
# three heartbeats, and half a second for a busy link.
_ABSENT_AFTER = 1.8
# Seconds after which a node that the platform doesn't list is forgotten.
_FORGET_AFTER = 30.0
# Nodes that a node sends its heartbeats to.
_FANOUT = 32


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """How to reach a node.

    Attributes:
        front: Address that callers connect to.
        heartbeats: Address for datagrams of other nodes.
        peer: Address where other nodes fetch the configuration.
        incarnation: Start of the process.
    """

    id: ids.NodeId
    datacentre: ids.DatacentreName
    front: str
    heartbeats: str
    peer: str
    incarnation: int


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """What a node tells the others.

    Attributes:
        serial: Rises with each heartbeat of a process.
        ready: Whether it takes requests.
        configuration: Version in force, 0 for none.
        loads: Requests in work by upstream.
        stalled: Upstreams it saw fall silent of late.
        lost: Leaders whose replica it found to lack a member of late.
        instances: Revision of the list of instances, 0 for none.
        leases: Revision and epoch of each domain's lease that it holds.
    """

    node: NodeEntry
    serial: int
    ready: bool = False
    configuration: int = 0
    loads: dict[str, int] = {}
    stalled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    instances: int = 0
    leases: dict[str, tuple[int, int]] = {}


class _Peer:
    def __init__(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.heartbeat: Heartbeat | None = None
        self.heard = 0.0
        self.listed = False


class Presence:
    """The other nodes as this one sees them."""

    def __init__(self, me: NodeEntry) -> None:
        self.me = me
        self._peers: dict[ids.NodeId, _Peer] = {}
        self._started: float | None = None

    def note_list(self, entries: abc.Iterable[NodeEntry], now: float) -> None:
        """Take note of the nodes that the platform lists."""
        if self._started is None:
            self._started = now
        for peer in self._peers.values():
            peer.listed = False
        for entry in entries:
            if entry.id != self.me.id:
                peer = self._put(entry)
                peer.listed = True
        for name, peer in list(self._peers.items()):
            if not peer.listed and now - peer.heard > _FORGET_AFTER:
                del self._peers[name]

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take note of a heartbeat; return whether it is news."""
        entry = heartbeat.node
        if entry.id == self.me.id:
            return False
        held = self._peers.get(entry.id)
        if held is not None:
            absent = now - held.heard > _ABSENT_AFTER
            if entry.incarnation < held.entry.incarnation and not absent:
                return False
            last = held.heartbeat
            if (
                last is not None
                and last.node.incarnation == entry.incarnation
                and last.serial >= heartbeat.serial
            ):
                return False
        peer = self._put(entry)
        if peer.entry != entry:
            # The clock went back between two processes of the node: what
            # is heard now counts, for the other one has fallen silent.
            peer.entry = entry
        peer.heartbeat = heartbeat
        peer.heard = now
        return True

    def _put(self, entry: NodeEntry) -> _Peer:
        peer = self._peers.get(entry.id)
        if peer is None:
            peer = self._peers[entry.id] = _Peer(entry)
        elif entry.incarnation > peer.entry.incarnation:
            peer.entry = entry
            peer.heartbeat = None
            peer.heard = 0.0
        return peer

    def list_live(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeat of each node that is heard."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None and now - peer.heard <= _ABSENT_AFTER
        ]

    def list_ready(self, now: float) -> list[NodeEntry]:
        """Return the other nodes that callers may be sent to."""
        return [one.node for one in self.list_live(now) if one.ready]

    def list_targets(self, serial: int) -> list[NodeEntry]:
        """Return the nodes that a heartbeat is sent to.

        In a large fleet each heartbeat goes to a part of the nodes that
        changes from one to the next, so the cost stays the same.
        """
        entries = [peer.entry for peer in self._peers.values()]
        if len(entries) <= _FANOUT:
            return entries
        names = [entry.id for entry in entries]
        key = f"{self.me.id}:{serial}"
        chosen = set(rendezvous.choose(key, names, _FANOUT))
        return [entry for entry in entries if entry.id in chosen]

    def rank(self, duty: str, now: float) -> list[ids.NodeId]:
        """Return the live nodes in order of preference for a duty."""
        names = [one.node.id for one in self.list_live(now) if one.ready]
        return rendezvous.rank(duty, [*names, self.me.id])

    def count(self) -> int:
        """Return the nodes known, this one included."""
        return len(self._peers) + 1

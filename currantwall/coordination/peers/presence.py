"""Which nodes live, and which of them pass news on.

Each node sends a heartbeat several times a second. It tells what the
others cannot see: whether it takes requests, which configuration it has,
which leases it holds, how many requests it has in work where, and which
upstreams it saw fall silent.

A small fleet sends its heartbeats to everyone. In a larger one each node
sends them to two relays of its data centre, which pass on what all nodes
need in digests (`digests`); so a node's traffic does not grow with the
fleet. Relays are also the nodes that read the store for the others.
"""

from collections import abc
import enum
import math

import msgspec

from currantwall.coordination.peers import outages
from currantwall.coordination.peers import staleness
from currantwall.state import ids
from currantwall.state import rendezvous

__all__ = [
    "ABSENT_AFTER",
    "Asks",
    "Heartbeat",
    "HeldLease",
    "NodeEntry",
    "Presence",
]

# Seconds without a heartbeat after which callers are not sent to a node:
# three heartbeats, and half a second for a busy link.
ABSENT_AFTER = 1.8
# Seconds after which a node that the platform doesn't list is forgotten.
_FORGET_AFTER = 30.0
# Seconds in which a relay answers, three rounds, and seconds until one
# that did not is asked again.
_ANSWER_WAIT = 1.2
_ASK_AGAIN = 10.0
# Nodes up to which every heartbeat goes to everyone: 21 nodes send 50
# datagrams a second each; 142 would send 350.
_EVERYONE = 32
# Nodes of a data centre for each relay, which sends each of them a digest
# every 0.4 s: 121 KB/s at 142 nodes, a seventh of the thinnest link.
_NODES_PER_RELAY = 25
# Relays of a data centre at least, and that each node asks: one may fail.
_RELAYS_LEAST = 2
# Part of the largest capacity with which a node goes first for a duty.
_ABLE = 0.5
# Nodes of a data centre that read the store for all, and of all data
# centres: more would only ask the same.
_READERS = 2
_READERS_ALL = 6
# Seconds since a reader's last answer from the store after which a node
# reads the store itself: a read each 0.5 s and a heartbeat each 0.4 s,
# and a digest more in a large fleet, with one of them lost.
_FRESH = 1.3
_FRESH_RELAYED = 1.8


class Asks(enum.IntEnum):
    """What a heartbeat asks of the node that it is sent to."""

    NOTHING = 0
    # Pass on all that the heartbeat tells, and answer with digests.
    RELAY = 1
    # Answer with digests; another node passes the counts on.
    ANSWERS = 2


class HeldLease(msgspec.Struct, frozen=True):
    """The lease of a domain as its holder tells of it.

    Attributes:
        revision: Of the stored object; rises with each renewal.
        epoch: Fencing number of its orders.
        incarnation: Start of the holder's process.
    """

    revision: int
    epoch: int
    holder: ids.NodeId
    incarnation: int


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """How to reach a node.

    Attributes:
        front: Address that callers connect to.
        heartbeats: Address for datagrams of other nodes.
        peer: Address where other nodes fetch the configuration.
        incarnation: Start of the process.
        capacity: What it can carry, 1 for a whole core on a link of
            100 Mbit/s; the scarcer of the two counts.
    """

    id: ids.NodeId
    datacentre: ids.DatacentreName
    front: str
    heartbeats: str
    peer: str
    incarnation: int
    capacity: float = 1.0


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="heartbeat",
):
    """What a node tells the others.

    Attributes:
        serial: Rises with each heartbeat of a process.
        asks: What it asks of the receiver.
        ready: Whether it takes requests.
        configuration: Version in force, 0 for none.
        loads: Requests in work by upstream.
        stalled: Upstreams it saw fall silent of late.
        lost: Leaders, by their lives, whose replica it found to lack a
            member of late.
        slow: Leaders, by their lives, whose replica a member slows down.
        instances: Revision of the list of instances, 0 for none.
        leases: The leases that it holds, by domain.
        store_age: Seconds since the store last answered this node; None
            where it doesn't read the store.
    """

    node: NodeEntry
    serial: int
    asks: Asks = Asks.NOTHING
    ready: bool = False
    configuration: int = 0
    loads: dict[str, int] = {}
    stalled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    slow: tuple[str, ...] = ()
    instances: int = 0
    leases: dict[str, HeldLease] = {}
    store_age: float | None = None


class _Peer:
    def __init__(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.score = rendezvous.score("relay", entry.id)
        self.heartbeat: Heartbeat | None = None
        # When it was last known to live, by whatever way.
        self.heard: float | None = None
        # Since when it has been asked to relay without being heard.
        self.asked: float | None = None
        self.ready = False
        self.instances = 0
        self.listed = False


class Presence:
    """The other nodes as this one sees them."""

    def __init__(self, me: NodeEntry) -> None:
        self.me = me
        # Whether this node takes requests.
        self.ready = False
        # Whether a digest named a node whose entry is not known here.
        self.lacks_entries = False
        self._peers: dict[ids.NodeId, _Peer] = {}
        # When some reader last had an answer from the store.
        self._store_seen: float | None = None
        self.store_history = outages.StoreHistory()
        # What is known of the store's revision.
        self.staleness = staleness.Staleness()
        # This node among its peers, where relays are chosen.
        self._own = _Peer(me)
        # The nodes of each data centre in the order in which they are
        # preferred for relays; empty until they are asked for.
        self._places: dict[ids.DatacentreName, list[_Peer]] = {}

    # -- What is heard

    def note_list(self, entries: abc.Iterable[NodeEntry], now: float) -> None:
        """Take note of the nodes that the platform lists."""
        self.lacks_entries = False
        for peer in self._peers.values():
            peer.listed = False
        for entry in entries:
            if entry.id != self.me.id:
                peer = self._put(entry)
                peer.listed = True
        for name, peer in list(self._peers.items()):
            heard = peer.heard or 0.0
            if not peer.listed and now - heard > _FORGET_AFTER:
                del self._peers[name]
                self._places.clear()

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Take note of a heartbeat; return whether it is news."""
        entry = heartbeat.node
        if entry.id == self.me.id:
            return False
        held = self._peers.get(entry.id)
        if held is not None:
            if entry.incarnation < held.entry.incarnation and (
                self._is_heard(held, now)
            ):
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
            self._replace_entry(peer, entry)
        peer.heartbeat = heartbeat
        peer.heard = now
        peer.asked = None
        peer.ready = heartbeat.ready
        peer.instances = heartbeat.instances
        self._note_store(heartbeat.store_age, now)
        return True

    def note_relay(
        self,
        entry: NodeEntry,
        instances: int,
        store_age: float | None,
        now: float,
    ) -> None:
        """Take note of a relay whose digest came."""
        peer = self._put(entry)
        if peer.entry != entry:
            self._replace_entry(peer, entry)
        peer.heard = now
        peer.asked = None
        peer.ready = True
        peer.instances = instances
        self._note_store(store_age, now)

    def note_relayed(self, nodes: abc.Mapping[str, bool], now: float) -> None:
        """Take note of nodes that a relay hears, and if they are ready."""
        for name, ready in nodes.items():
            peer = self._peers.get(ids.NodeId(name))
            if peer is not None:
                peer.heard = now
                peer.asked = None
                peer.ready = ready
            elif name != self.me.id:
                self.lacks_entries = True

    def note_missing(self, names: abc.Iterable[str], now: float) -> None:
        """Take note of nodes that their relay no longer hears."""
        for name in names:
            peer = self._peers.get(ids.NodeId(name))
            if peer is not None and peer.heard is not None:
                peer.heard = min(peer.heard, now - ABSENT_AFTER)

    def _note_store(self, age: float | None, now: float) -> None:
        if age is not None:
            self._store_seen = max(self._store_seen or 0.0, now - age)
            self.store_history.note_answer(now - age)

    def _put(self, entry: NodeEntry) -> _Peer:
        peer = self._peers.get(entry.id)
        if peer is None:
            peer = self._peers[entry.id] = _Peer(entry)
            self._places.clear()
        elif entry.incarnation > peer.entry.incarnation:
            self._replace_entry(peer, entry)
            peer.heartbeat = None
            peer.heard = None
            peer.ready = False
        return peer

    def _replace_entry(self, peer: _Peer, entry: NodeEntry) -> None:
        """Take over how to reach a node."""
        peer.entry = entry
        self._places.clear()

    # -- Who lives

    @staticmethod
    def _is_heard(peer: _Peer, now: float) -> bool:
        return peer.heard is not None and now - peer.heard <= ABSENT_AFTER

    def list_direct(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeat of each node heard without a relay."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_heard(peer, now)
        ]

    def list_ready(self, now: float) -> list[NodeEntry]:
        """Return the other nodes that callers may be sent to."""
        return [
            peer.entry
            for peer in self._peers.values()
            if peer.ready and self._is_heard(peer, now)
        ]

    def rank(self, duty: str, now: float) -> list[ids.NodeId]:
        """Return the live nodes in order of preference for a duty.

        Those that can carry most go first: a holder probes each of a
        domain's 37 instances up to five times a second while it mends it.
        """
        listed = [*self.list_ready(now), self.me]
        able = max(one.capacity for one in listed) * _ABLE
        first = [one.id for one in listed if one.capacity >= able]
        rest = [one.id for one in listed if one.capacity < able]
        return rendezvous.rank(duty, first) + rendezvous.rank(duty, rest)

    def is_live(self, node: ids.NodeId, now: float) -> bool:
        """Return whether a node takes requests; this one always counts."""
        peer = self._peers.get(node)
        if peer is None:
            return node == self.me.id
        return peer.ready and self._is_heard(peer, now)

    def is_alone(self, now: float) -> bool:
        """Return whether none of the other nodes is heard.

        Such a node is rather cut off itself than the last one alive.
        """
        return len(self._peers) > 0 and not self.list_ready(now)

    def count(self) -> int:
        """Return the nodes known, this one included."""
        return len(self._peers) + 1

    def find_newer_list(self, revision: int, now: float) -> NodeEntry | None:
        """Return the node with the newest list of instances, if newer.

        Nodes of this data centre go first.
        """
        newer = [
            peer
            for peer in self._peers.values()
            if peer.instances > revision and self._is_heard(peer, now)
        ]
        if not newer:
            return None
        here = [one for one in newer if self._is_here(one.entry)]
        best = max(here or newer, key=lambda peer: peer.instances)
        return best.entry

    def _is_here(self, entry: NodeEntry) -> bool:
        return entry.datacentre == self.me.datacentre

    # -- Relays and readers

    @property
    def is_small(self) -> bool:
        """Return whether every heartbeat goes to everyone."""
        return len(self._peers) < _EVERYONE

    def list_relays(
        self, datacentre: ids.DatacentreName, now: float
    ) -> list[NodeEntry]:
        """Return the relays of a data centre, the preferred ones first.

        The nodes that can carry most, among those that are heard or may
        yet answer. Every node works it out for itself; where two differ
        for a moment, a node that is asked answers.
        """
        self._own.heard = now
        self._own.ready = self.ready
        ranked = self._list_place(datacentre)
        live = sum(self._is_heard(peer, now) for peer in ranked)
        wanted = max(math.ceil(live / _NODES_PER_RELAY), _RELAYS_LEAST)
        asked = (peer for peer in ranked if self._may_answer(peer, now))
        return self._take_first(asked, wanted, now)

    def _list_place(self, datacentre: ids.DatacentreName) -> list[_Peer]:
        """Return a data centre's nodes, those that can carry most first.

        This node is one of them in its own.
        """
        if not self._places:
            for peer in (*self._peers.values(), self._own):
                place = self._places.setdefault(peer.entry.datacentre, [])
                place.append(peer)
            for place in self._places.values():
                place.sort(key=lambda one: (-one.entry.capacity, -one.score))
        return self._places.get(datacentre, [])

    def _take_first(
        self, ranked: abc.Iterable[_Peer], wanted: int, now: float
    ) -> list[NodeEntry]:
        """Return the first nodes; those that are not ready come last.

        One that is not heard yet counts as ready, or each node would
        take itself for the relay at the start and ask nobody.
        """
        found = []
        unready = []
        for peer in ranked:
            if self._is_heard(peer, now) and not peer.ready:
                unready.append(peer.entry)
                continue
            found.append(peer.entry)
            if len(found) == wanted:
                return found
        return (found + unready)[:wanted]

    def _add_heard(
        self,
        relays: list[NodeEntry],
        datacentre: ids.DatacentreName,
        now: float,
    ) -> list[NodeEntry]:
        """Return relays of which one is heard, where any node there is."""
        ranked = self._list_place(datacentre)
        peers = [peer for peer in ranked if peer is not self._own]
        heard = [peer for peer in peers if self._is_heard(peer, now)]
        names = {one.id for one in relays}
        if any(peer.entry.id in names for peer in heard):
            return relays
        # Where nobody is heard, those that can carry most may be the
        # relays there, and cut off from here.
        wanted = 1 if heard else _RELAYS_LEAST
        more = self._take_first(heard or peers, wanted, now)
        return relays + [one for one in more if one.id not in names]

    def _may_answer(self, peer: _Peer, now: float) -> bool:
        """Return whether a node may be taken for a relay.

        Failure: all relays die at once; a node that looked only at those
        it hears would hear nobody any more and ask nobody. Silent ones
        are therefore asked in turn.
        """
        if self._is_heard(peer, now) or peer.asked is None:
            return True
        waited = now - peer.asked
        return waited <= _ANSWER_WAIT or waited > _ASK_AGAIN

    def note_asked(self, nodes: abc.Iterable[NodeEntry], now: float) -> None:
        """Take note of nodes that were asked to relay."""
        for entry in nodes:
            peer = self._peers.get(entry.id)
            if peer is None or self._is_heard(peer, now):
                continue
            if peer.asked is None or now - peer.asked > _ASK_AGAIN:
                peer.asked = now

    def list_own_relays(self, now: float) -> list[NodeEntry]:
        """Return the relays that this node asks; none where it is one."""
        relays = self.list_relays(self.me.datacentre, now)
        names = [one.id for one in relays]
        if self.me.id in names:
            return []
        chosen = rendezvous.choose(self.me.id, names, _RELAYS_LEAST)
        by_name = {one.id: one for one in relays}
        own = [by_name[name] for name in chosen]
        return self._add_heard(own, self.me.datacentre, now)

    def list_other_relays(self, now: float) -> list[NodeEntry]:
        """Return the relays of all data centres but this node."""
        self._list_place(self.me.datacentre)
        found = []
        for place in sorted(self._places):
            relays = self.list_relays(place, now)
            if place != self.me.datacentre:
                relays = self._add_heard(relays, place, now)
            found += [one for one in relays if one.id != self.me.id]
        return found

    def reads_store(self, now: float) -> bool:
        """Return whether this node has to read the store itself.

        One or two nodes of each data centre read it for all: each call is
        paid for, and 142 nodes reading 300 entries twice a second take
        a tenth of a thin link. The others read it only while they hear
        of no reader that the store answers.
        """
        if self.is_reader(now):
            return True
        seen = self._store_seen
        fresh = _FRESH if self.is_small else _FRESH_RELAYED
        return seen is None or now - seen > fresh

    def is_reader(self, now: float) -> bool:
        """Return whether this node reads the store for its data centre."""
        self._list_place(self.me.datacentre)
        each = max(_READERS_ALL // len(self._places), 1)
        relays = self.list_relays(self.me.datacentre, now)
        readers = relays[: min(each, _READERS)]
        return self.me.id in [one.id for one in readers]

    @property
    def store_seen(self) -> float | None:
        """Return when some reader last had an answer from the store."""
        return self._store_seen

    def get(self, node: ids.NodeId) -> NodeEntry | None:
        """Return how to reach another node."""
        peer = self._peers.get(node)
        return peer.entry if peer else None

    def list_everyone(self) -> list[NodeEntry]:
        """Return all other nodes."""
        return [peer.entry for peer in self._peers.values()]

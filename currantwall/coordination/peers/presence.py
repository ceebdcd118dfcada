"""Tracks which nodes are alive and chooses relays and store readers.

Each node sends a heartbeat several times a second. It carries what other
nodes cannot see: whether the node takes requests, which configuration it
has, which leases it holds, how many requests it has in flight at each
upstream, and which upstreams stopped responding to it.

In a small fleet each heartbeat goes to all nodes. In a larger one it goes
to two relays of the node's data centre, which pass on what all nodes need
in digests (`digests`), so that a node's traffic does not grow with the
fleet. Relays are also the nodes that read the store for the others.
"""

from collections import abc
import enum
import math
import typing

import msgspec

from currantwall.coordination.peers import outages
from currantwall.coordination.peers import staleness
from currantwall.state import addresses
from currantwall.state import evacuations as evacuations_module
from currantwall.state import ids
from currantwall.state import limits as limits_module
from currantwall.state import numbers
from currantwall.state import quarantines
from currantwall.state import rendezvous
from currantwall.state import upstreams

__all__ = [
    "HEARTBEAT_TIMEOUT_SECONDS",
    "Heartbeat",
    "HeldLease",
    "NodeEntry",
    "Presence",
    "RelayRequest",
]

# Time without a heartbeat after which callers are not sent to a node: three
# heartbeats, and half a second for a busy link.
HEARTBEAT_TIMEOUT_SECONDS = 1.8
# Time without a heartbeat after which a node is dropped that the platform
# does not list.
_UNLISTED_EXPIRY_SECONDS = 30.0
# Time in which a relay should answer, three rounds, and time after which a
# relay that did not answer is asked again.
_RELAY_ANSWER_SECONDS = 1.2
_RELAY_RETRY_SECONDS = 10.0
# Up to this many nodes every heartbeat goes to all nodes: 21 nodes send 50
# datagrams a second each; 142 would send 350.
_FULL_MESH_NODES = 32
# Nodes of a data centre per relay, which sends each of them a digest every
# 0.4 s: 121 KB/s at 142 nodes, a seventh of the slowest link.
_NODES_PER_RELAY = 25
# Minimum number of relays of a data centre, and number of relays that each
# node sends its heartbeats to, since one may fail.
_MIN_RELAYS = 2
# Nodes with at least this ratio of the largest capacity are preferred for a
# duty.
_PREFERRED_CAPACITY_RATIO = 0.5
# Number of nodes that read the store for all others, in each data centre and
# in all data centres together, but at least one in each; more would only
# repeat the same reads.
_READERS_PER_DATACENTRE = 2
_READERS_IN_ALL = 6
# Time since a reader's last answer from the store after which a node reads
# the store itself: a read every 0.5 s and a heartbeat every 0.4 s, one of
# which may be lost; with relays, a digest in addition.
_READER_TIMEOUT_SECONDS = 1.3
_RELAYED_READER_TIMEOUT_SECONDS = 1.8


_NAME = msgspec.Meta(min_length=1, max_length=256)


class RelayRequest(enum.IntEnum):
    """What the sender of a heartbeat asks of its receiver."""

    NONE = 0
    # Include the whole heartbeat in digests, and answer with digests.
    FULL = 1
    # The same without `loads`, which another relay adds up.
    WITHOUT_LOADS = 2


class HeldLease(msgspec.Struct, frozen=True):
    """The lease of a domain as its holder announces it.

    Attributes:
        revision: Revision of the stored object; rises with each renewal.
        epoch: Fencing token of the holder's orders.
        holder: Node that holds the lease.
        incarnation: Start of the holder's process.
    """

    revision: int
    epoch: int
    holder: ids.NodeId
    incarnation: int


class NodeEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses and capacity of a node.

    Attributes:
        front: Address that callers connect to.
        heartbeats: Address for datagrams of other nodes.
        peer: Address where other nodes fetch the configuration.
        incarnation: Start of the process.
        capacity: Capacity for requests, where 1 is a whole core on a link
            of 100 Mbit/s; the scarcer of the two counts.
    """

    id: typing.Annotated[ids.NodeId, _NAME]
    datacentre: typing.Annotated[ids.DatacentreName, _NAME]
    front: numbers.Name
    heartbeats: numbers.Name
    peer: numbers.Name
    incarnation: numbers.Count
    capacity: numbers.Rate = 1.0

    @property
    def is_dialable(self) -> bool:
        """Return whether all of its addresses can be connected to."""
        texts = (self.front, self.heartbeats, self.peer)
        return all(addresses.parse(text) is not None for text in texts)


class Heartbeat(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    tag="heartbeat",
):
    """State that a node sends to the others.

    Attributes:
        node: The sender.
        serial: Rises with each heartbeat of a process.
        asks: What the sender asks of the receiver.
        ready: Whether the node takes requests.
        configuration: Version in force, 0 for none.
        loads: Requests in flight from this node, by upstream.
        stalled: Upstreams that recently stopped responding to the node.
        lost: Leaders, by `Upstream.epoch_id`, whose replica the node recently
            found to lack a member.
        slow: Leaders, by `Upstream.epoch_id`, whose replica a member slows
            down.
        limits: Limits that upstreams have named in answers to the node, or
            no longer name, by upstream.
        instances: Revision of the list of instances, 0 for none.
        leases: The leases that the node holds, by domain.
        store_age: Seconds since the store last answered the node; None if
            the node does not read the store.
        evacuations: The evacuated data centres that the node knows; None
            if there are none and none was withdrawn lately.
        informed: Whether the node has learnt the evacuations and can pass
            them on to a node that has just started.
        has_path: Whether the node can open connections to upstreams.
        store_revision: The newest revision of the store that the node
            knows; None if it knows none.
        departures: Instances that have left, as the node knows, though a
            restored store lists them otherwise.
        parts: What the node reports of parts of prompts.
        findings: Upstreams that the node could not connect to, or could
            again.
    """

    node: NodeEntry
    serial: int
    asks: RelayRequest = RelayRequest.NONE
    ready: bool = False
    configuration: int = 0
    loads: dict[str, int] = {}
    stalled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    slow: tuple[str, ...] = ()
    limits: dict[str, limits_module.LimitReport] = {}
    instances: int = 0
    leases: dict[str, HeldLease] = {}
    store_age: float | None = None
    evacuations: evacuations_module.EvacuationReport | None = None
    informed: bool = False
    has_path: bool = True
    store_revision: staleness.KnownRevision | None = None
    departures: dict[ids.InstanceId, upstreams.Departure] = {}
    parts: quarantines.PartReports | None = None
    findings: dict[ids.InstanceId, upstreams.Finding] = {}


class _Peer:
    """Another node and what is known of it."""

    def __init__(self, entry: NodeEntry) -> None:
        self.entry = entry
        self.score = rendezvous.score("relay", entry.id)
        self.heartbeat: Heartbeat | None = None
        # When it was last known to be alive, directly or through a relay.
        self.last_heard: float | None = None
        # Since when it has been asked to relay without being heard.
        self.asked_since: float | None = None
        self.ready = False
        self.has_path = True
        self.instances_revision = 0
        self.is_listed = False


class Presence:
    """The other nodes as this node sees them.

    All times are monotonic, in seconds.
    """

    def __init__(self, me: NodeEntry) -> None:
        self.me = me
        # Whether this node takes requests, and whether it can open
        # connections to upstreams.
        self.ready = False
        self.has_path = True
        # Whether a digest names a node whose entry is not known here.
        self.has_unknown_nodes = False
        self._has_list = False
        self._peers: dict[ids.NodeId, _Peer] = {}
        # When the store last answered a node that reads it.
        self._store_answered_at: float | None = None
        self.store_history = outages.StoreHistory()
        # Revisions of the store that are known, to detect stale reads.
        self.staleness = staleness.Staleness()
        # This node itself, which may be chosen as a relay.
        self._own_peer = _Peer(me)
        # The nodes of each data centre, the preferred relays first. A cache:
        # empty until it is needed.
        self._ranked_peers: dict[ids.DatacentreName, list[_Peer]] = {}

    # -- Input from the platform and other nodes

    def note_list(self, entries: abc.Iterable[NodeEntry], now: float) -> None:
        """Record the nodes that the platform lists."""
        self.has_unknown_nodes = False
        self._has_list = True
        for peer in self._peers.values():
            peer.is_listed = False
        for entry in entries:
            if entry.id != self.me.id:
                peer = self._add_peer(entry)
                peer.is_listed = True
        for name, peer in list(self._peers.items()):
            last_heard = peer.last_heard or 0.0
            if (
                not peer.is_listed
                and now - last_heard > _UNLISTED_EXPIRY_SECONDS
            ):
                del self._peers[name]
                self._ranked_peers.clear()

    def note_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; return whether it is newer than the last."""
        entry = heartbeat.node
        if entry.id == self.me.id:
            return False
        known = self._peers.get(entry.id)
        if known is not None:
            if entry.incarnation < known.entry.incarnation and (
                self._is_alive(known, now)
            ):
                return False
            last = known.heartbeat
            if (
                last is not None
                and last.node.incarnation == entry.incarnation
                and last.serial >= heartbeat.serial
            ):
                return False
        peer = self._add_peer(entry)
        if peer.entry != entry:
            # The wall clock went back between two processes of the node.
            # The newer process has the lower incarnation; it is accepted
            # since the older one is silent.
            self._replace_entry(peer, entry)
        peer.heartbeat = heartbeat
        peer.last_heard = now
        peer.asked_since = None
        peer.ready = heartbeat.ready
        peer.has_path = heartbeat.has_path
        peer.instances_revision = heartbeat.instances
        self._note_store_age(heartbeat.store_age, now)
        return True

    def note_digest_sender(
        self,
        entry: NodeEntry,
        instances: int,
        store_age: float | None,
        now: float,
    ) -> None:
        """Record the relay that sent a digest.

        Args:
            entry: The relay.
            instances: Revision of its list of instances.
            store_age: Seconds since the store last answered it, if it
                reads the store.
            now: Monotonic time of the receipt.
        """
        peer = self._add_peer(entry)
        if peer.entry != entry:
            self._replace_entry(peer, entry)
        peer.last_heard = now
        peer.asked_since = None
        peer.ready = True
        peer.instances_revision = instances
        self._note_store_age(store_age, now)

    def note_relayed_nodes(
        self,
        nodes: abc.Mapping[str, bool],
        pathless: abc.Container[str],
        now: float,
    ) -> None:
        """Record nodes that a relay hears.

        Args:
            nodes: The nodes, and whether they are ready.
            pathless: Those that can open no connection to an upstream.
            now: Monotonic time.
        """
        for name, ready in nodes.items():
            peer = self._peers.get(ids.NodeId(name))
            if peer is not None:
                peer.last_heard = now
                peer.asked_since = None
                peer.ready = ready
                peer.has_path = name not in pathless
            elif name != self.me.id:
                self.has_unknown_nodes = True

    def note_dropped_nodes(self, names: abc.Iterable[str], now: float) -> None:
        """Record nodes that their relay no longer hears."""
        for name in names:
            peer = self._peers.get(ids.NodeId(name))
            if peer is not None and peer.last_heard is not None:
                peer.last_heard = min(
                    peer.last_heard, now - HEARTBEAT_TIMEOUT_SECONDS
                )

    def _note_store_age(self, age: float | None, now: float) -> None:
        if age is not None:
            self._store_answered_at = max(
                self._store_answered_at or 0.0, now - age
            )
            self.store_history.note_answer(now - age)

    def _add_peer(self, entry: NodeEntry) -> _Peer:
        peer = self._peers.get(entry.id)
        if peer is None:
            peer = self._peers[entry.id] = _Peer(entry)
            self._ranked_peers.clear()
        elif entry.incarnation > peer.entry.incarnation:
            self._replace_entry(peer, entry)
            peer.heartbeat = None
            peer.last_heard = None
            peer.ready = False
            peer.has_path = True
        return peer

    def _replace_entry(self, peer: _Peer, entry: NodeEntry) -> None:
        """Replace the addresses and the capacity of a node."""
        peer.entry = entry
        self._ranked_peers.clear()

    # -- Liveness

    @staticmethod
    def _is_alive(peer: _Peer, now: float) -> bool:
        return (
            peer.last_heard is not None
            and now - peer.last_heard <= HEARTBEAT_TIMEOUT_SECONDS
        )

    def list_direct(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeat of each live node that sent one here."""
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if peer.heartbeat is not None and self._is_alive(peer, now)
        ]

    def list_ready(self, now: float) -> list[NodeEntry]:
        """Return the other nodes that callers may be sent to."""
        return [
            peer.entry
            for peer in self._peers.values()
            if peer.ready and self._is_alive(peer, now)
        ]

    def list_with_path(self, now: float) -> list[NodeEntry]:
        """Return the other nodes that are ready and reach upstreams."""
        return [
            peer.entry
            for peer in self._peers.values()
            if peer.ready and peer.has_path and self._is_alive(peer, now)
        ]

    def count_pathless(self, now: float) -> int:
        """Return how many other nodes are alive and reach no upstream."""
        return sum(
            not peer.has_path and self._is_alive(peer, now)
            for peer in self._peers.values()
        )

    def list_members(self, now: float) -> list[ids.NodeId]:
        """Return the nodes that take requests, this one included."""
        members = [node.id for node in self.list_ready(now)]
        return [*members, self.me.id] if self.ready else members

    def rank(self, duty: str, now: float) -> list[ids.NodeId]:
        """Return the nodes that are ready, the preferred ones first.

        This node is always one of them, ready or not. If some nodes reach
        upstreams, others that don't are left out; this one comes last then.

        Nodes of large capacity are preferred: the holder of a domain
        probes each of its 37 instances up to five times a second while it
        repairs a replica.

        Args:
            duty: Key of the duty; each key has an order of its own.
            now: Monotonic time.
        """
        able = self.list_with_path(now)
        if able and not self.has_path:
            return [*self._rank_nodes(duty, able), self.me.id]
        nodes = able or self.list_ready(now)
        return self._rank_nodes(duty, [*nodes, self.me])

    @staticmethod
    def _rank_nodes(duty: str, nodes: list[NodeEntry]) -> list[ids.NodeId]:
        threshold = (
            max(node.capacity for node in nodes) * _PREFERRED_CAPACITY_RATIO
        )
        preferred = [node.id for node in nodes if node.capacity >= threshold]
        others = [node.id for node in nodes if node.capacity < threshold]
        return rendezvous.rank(duty, preferred) + rendezvous.rank(duty, others)

    def may_probe(self, node: ids.NodeId, now: float) -> bool:
        """Return whether a node takes requests and reaches upstreams.

        This node is assumed to take requests.
        """
        peer = self._peers.get(node)
        if peer is None:
            return node == self.me.id and self.has_path
        return peer.ready and peer.has_path and self._is_alive(peer, now)

    def is_isolated(self, now: float) -> bool:
        """Return whether other nodes are known but none is alive and ready.

        This node is then more likely cut off than the last one alive.
        """
        return len(self._peers) > 0 and not self.list_ready(now)

    def count(self) -> int:
        """Return the number of known nodes, including this one."""
        return len(self._peers) + 1

    def find_newer_list(self, revision: int, now: float) -> NodeEntry | None:
        """Return the node with the newest list of instances.

        Nodes of this data centre are preferred. None if no list is newer
        than a revision.
        """
        newer = [
            peer
            for peer in self._peers.values()
            if peer.instances_revision > revision and self._is_alive(peer, now)
        ]
        if not newer:
            return None
        local = [peer for peer in newer if self._is_local(peer.entry)]
        best = max(local or newer, key=lambda peer: peer.instances_revision)
        return best.entry

    def _is_local(self, entry: NodeEntry) -> bool:
        return entry.datacentre == self.me.datacentre

    # -- Relays and readers of the store

    @property
    def knows_all_nodes(self) -> bool:
        """Return whether the list was read and names all nodes heard of."""
        return self._has_list and not self.has_unknown_nodes

    @property
    def is_full_mesh(self) -> bool:
        """Return whether every heartbeat goes to all nodes, without relays."""
        return len(self._peers) < _FULL_MESH_NODES

    def list_relays(
        self, datacentre: ids.DatacentreName, now: float
    ) -> list[NodeEntry]:
        """Return the relays of a data centre, the preferred ones first.

        These are the nodes of the largest capacity among those that are
        alive or may still answer. Every node chooses by itself; where the
        choices of two differ for a moment, any node that is asked answers.
        """
        self._own_peer.last_heard = now
        self._own_peer.ready = self.ready
        ranked = self._rank_peers(datacentre)
        live = sum(self._is_alive(peer, now) for peer in ranked)
        wanted = max(math.ceil(live / _NODES_PER_RELAY), _MIN_RELAYS)
        candidates = (
            peer for peer in ranked if self._is_relay_candidate(peer, now)
        )
        return self._select_relays(candidates, wanted, now)

    def _rank_peers(self, datacentre: ids.DatacentreName) -> list[_Peer]:
        """Return a data centre's nodes, those of largest capacity first.

        In its own data centre this node is one of them.
        """
        if not self._ranked_peers:
            for peer in (*self._peers.values(), self._own_peer):
                peers = self._ranked_peers.setdefault(
                    peer.entry.datacentre, []
                )
                peers.append(peer)
            for peers in self._ranked_peers.values():
                peers.sort(
                    key=lambda peer: (-peer.entry.capacity, -peer.score)
                )
        return self._ranked_peers.get(datacentre, [])

    def _select_relays(
        self, ranked: abc.Iterable[_Peer], wanted: int, now: float
    ) -> list[NodeEntry]:
        """Return the first nodes; those that are not ready come last.

        A node that has not been heard yet counts as ready. Otherwise each
        node would choose itself as relay at the start and ask no other.
        """
        found = []
        unready = []
        for peer in ranked:
            if self._is_alive(peer, now) and not peer.ready:
                unready.append(peer.entry)
                continue
            found.append(peer.entry)
            if len(found) == wanted:
                return found
        return (found + unready)[:wanted]

    def _add_live_relay(
        self,
        relays: list[NodeEntry],
        datacentre: ids.DatacentreName,
        now: float,
    ) -> list[NodeEntry]:
        """Return the relays, and other nodes if none of them is alive."""
        ranked = self._rank_peers(datacentre)
        peers = [peer for peer in ranked if peer is not self._own_peer]
        live = [peer for peer in peers if self._is_alive(peer, now)]
        names = {relay.id for relay in relays}
        if any(peer.entry.id in names for peer in live):
            return relays
        # If no node there is alive, the nodes of largest capacity may be
        # the relays there and only cut off from this node.
        wanted = 1 if live else _MIN_RELAYS
        more = self._select_relays(live or peers, wanted, now)
        return relays + [entry for entry in more if entry.id not in names]

    def _is_relay_candidate(self, peer: _Peer, now: float) -> bool:
        """Return whether a node may be chosen as a relay.

        Failure: all relays die at once. A node that asks only the nodes it
        hears then hears none and asks none. Nodes that are not heard are
        therefore asked in turn.
        """
        if self._is_alive(peer, now) or peer.asked_since is None:
            return True
        waited = now - peer.asked_since
        return waited <= _RELAY_ANSWER_SECONDS or waited > _RELAY_RETRY_SECONDS

    def note_relay_requests(
        self, nodes: abc.Iterable[NodeEntry], now: float
    ) -> None:
        """Record nodes that were asked to relay."""
        for entry in nodes:
            peer = self._peers.get(entry.id)
            if peer is None or self._is_alive(peer, now):
                continue
            if (
                peer.asked_since is None
                or now - peer.asked_since > _RELAY_RETRY_SECONDS
            ):
                peer.asked_since = now

    def list_own_relays(self, now: float) -> list[NodeEntry]:
        """Return the relays that this node asks; none if it is a relay."""
        relays = self.list_relays(self.me.datacentre, now)
        names = [relay.id for relay in relays]
        if self.me.id in names:
            return []
        chosen = rendezvous.choose(self.me.id, names, _MIN_RELAYS)
        by_name = {relay.id: relay for relay in relays}
        own = [by_name[name] for name in chosen]
        return self._add_live_relay(own, self.me.datacentre, now)

    def list_other_relays(self, now: float) -> list[NodeEntry]:
        """Return the relays of all data centres, except this node."""
        self._rank_peers(self.me.datacentre)
        found = []
        for datacentre in sorted(self._ranked_peers):
            relays = self.list_relays(datacentre, now)
            if datacentre != self.me.datacentre:
                relays = self._add_live_relay(relays, datacentre, now)
            found += [relay for relay in relays if relay.id != self.me.id]
        return found

    def reads_store(self, now: float) -> bool:
        """Return whether this node has to read the store itself.

        One or two nodes of each data centre read it for all: each call is
        paid for, and 142 nodes that read 300 entries twice a second take a
        tenth of a slow link. The others read it only while they know of no
        reader that the store answers.
        """
        if self.is_reader(now):
            return True
        answered = self._store_answered_at
        timeout = (
            _READER_TIMEOUT_SECONDS
            if self.is_full_mesh
            else _RELAYED_READER_TIMEOUT_SECONDS
        )
        return answered is None or now - answered > timeout

    def is_reader(self, now: float) -> bool:
        """Return whether this node reads the store for its data centre."""
        self._rank_peers(self.me.datacentre)
        count = max(_READERS_IN_ALL // len(self._ranked_peers), 1)
        relays = self.list_relays(self.me.datacentre, now)
        readers = relays[: min(count, _READERS_PER_DATACENTRE)]
        return self.me.id in [reader.id for reader in readers]

    @property
    def store_era(self) -> int:
        """Return the latest era of the store that any node has reported."""
        return self.staleness.era

    @property
    def store_answered_at(self) -> float | None:
        """Return when the store last answered a node that reads it."""
        return self._store_answered_at

    def get(self, node: ids.NodeId) -> NodeEntry | None:
        """Return the entry of another node, if it is known."""
        peer = self._peers.get(node)
        return peer.entry if peer else None

    def list_peers(self) -> list[NodeEntry]:
        """Return the entries of all other nodes."""
        return [peer.entry for peer in self._peers.values()]

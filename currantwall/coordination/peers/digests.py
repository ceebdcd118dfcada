"""Aggregates heartbeats at relays, for fleets too large for a full mesh.

If each of 142 nodes sent its heartbeats to all others, each would send 350
datagrams a second. Instead a node sends its heartbeat to two relays of its
data centre. Each relay aggregates the heartbeats of its clients into a
partial digest, exchanges partial digests with the other relays, and sends
its clients the aggregate of all of them, the total digest. Urgent reports,
such as a lost member, take three datagrams from any node to any other.

Both relays of a node report that it is alive, but only the first one adds
up its request counts, or the total would include them twice.
"""

from collections import abc
import itertools

import msgspec

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.peers import staleness
from currantwall.state import evacuations as evacuations_module
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import limits as limits_module
from currantwall.state import quarantines
from currantwall.state import upstreams

__all__ = ["Alarm", "Datagram", "Digest", "Relay"]

RelayRequest = presence_module.RelayRequest

# Time since a client's last heartbeat after which it gets no more digests.
_CLIENT_TIMEOUT_SECONDS = 1.5
# One in this many digests names the nodes even if they are unchanged.
_FULL_DIGEST_ROUNDS = 4
# Most findings of upstreams in one digest.
_MAX_FINDINGS = 96


class Digest(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="digest"
):
    """The aggregate of the heartbeats of some nodes.

    Attributes:
        node: The relay that sends it.
        serial: Rises with each digest of a process.
        is_part: Whether this is a partial digest, of the relay and its
            clients, for other relays; else it is a total digest, of all
            nodes, for the clients.
        nodes: Live nodes, and whether they take requests; None if they
            are the same as in the last digest that named them.
        nodes_hash: Hash of `nodes`.
        pathless: Nodes that can open no connection to an upstream.
        configuration: Version in force at the relay.
        instances: Revision of the list of instances at the relay.
        store_age: Seconds since the store last answered the relay; None
            if the relay does not read the store.
        loads: Requests in flight, by upstream, summed over the nodes.
        stalled: As in a heartbeat, of all the nodes; so are `lost`,
            `slow`, `limits` and `leases`.
        evacuations: As in a heartbeat of the relay; so are `informed` and
            `store_revision`.
        departures: As in a heartbeat, of all the nodes; so are `parts` and
            `findings`.
    """

    node: presence_module.NodeEntry
    serial: int
    is_part: bool
    nodes: dict[str, bool] | None = None
    nodes_hash: int = 0
    pathless: tuple[str, ...] = ()
    configuration: int = 0
    instances: int = 0
    store_age: float | None = None
    loads: dict[str, int] = {}
    stalled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    slow: tuple[str, ...] = ()
    limits: dict[str, limits_module.LimitReport] = {}
    leases: dict[str, presence_module.HeldLease] = {}
    evacuations: evacuations_module.EvacuationReport | None = None
    informed: bool = False
    store_revision: staleness.KnownRevision | None = None
    departures: dict[ids.InstanceId, upstreams.Departure] = {}
    parts: quarantines.PartReports | None = None
    findings: dict[ids.InstanceId, upstreams.Finding] = {}


class Alarm(msgspec.Struct, frozen=True, tag="alarm"):
    """Upstreams that stopped responding, for the holder of their domain."""

    stalled: tuple[str, ...]


Message = (
    presence_module.Heartbeat
    | Digest
    | Alarm
    | limits_module.ShareRequest
    | limits_module.ShareGrant
)


class Datagram(msgspec.Struct, frozen=True):
    """A message and its receivers."""

    to: tuple[presence_module.NodeEntry, ...]
    message: Message


class _Aggregate:
    """Aggregates heartbeats and digests."""

    def __init__(self) -> None:
        self.nodes: dict[str, bool] = {}
        self.pathless: set[str] = set()
        self.loads: dict[str, int] = {}
        self.stalled: dict[str, None] = {}
        self.lost: dict[str, None] = {}
        self.slow: dict[str, None] = {}
        self.limits: dict[str, limits_module.LimitReport] = {}
        self.leases: dict[str, presence_module.HeldLease] = {}
        self.departures: dict[ids.InstanceId, upstreams.Departure] = {}
        self.parts: quarantines.PartReports | None = None
        self.findings: dict[ids.InstanceId, upstreams.Finding] = {}

    def add_node(self, heartbeat: presence_module.Heartbeat) -> None:
        self.nodes[heartbeat.node.id] = heartbeat.ready
        if not heartbeat.has_path:
            self.pathless.add(heartbeat.node.id)

    def add_loads(self, loads: abc.Mapping[str, int]) -> None:
        for name, count in loads.items():
            self.loads[name] = self.loads.get(name, 0) + count

    def add_reports(
        self, message: "presence_module.Heartbeat | Digest", age: float = 0.0
    ) -> None:
        """Add all but the loads and the nodes.

        Args:
            message: The message to add.
            age: Seconds since it was received.
        """
        for upstream, limit in message.limits.items():
            aged = msgspec.structs.replace(limit, age=limit.age + age)
            known_limit = self.limits.get(upstream)
            if known_limit is None or aged.age < known_limit.age:
                self.limits[upstream] = aged
        for name, departure in message.departures.items():
            remaining = departure.remaining - age
            aged = msgspec.structs.replace(departure, remaining=remaining)
            self.departures.setdefault(name, aged)
        for name, finding in message.findings.items():
            aged = msgspec.structs.replace(finding, age=finding.age + age)
            known_finding = self.findings.get(name)
            if known_finding is None or aged.age < known_finding.age:
                self.findings[name] = aged
        self.parts = quarantines.merge_reports(self.parts, message.parts, age)
        self.stalled.update(dict.fromkeys(message.stalled))
        self.lost.update(dict.fromkeys(message.lost))
        self.slow.update(dict.fromkeys(message.slow))
        for domain, lease in message.leases.items():
            known = self.leases.get(domain)
            if known is None or lease.revision > known.revision:
                self.leases[domain] = lease


class _Client:
    """A node that asks this one to relay, and its last heartbeat."""

    def __init__(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        self.heartbeat = heartbeat
        self.last_heard = now


class Relay:
    """Receives digests, and composes them where this node is a relay.

    All times are monotonic, in seconds.
    """

    def __init__(self, presence: presence_module.Presence) -> None:
        self._presence = presence
        self._clients: dict[ids.NodeId, _Client] = {}
        # The last digest of each relay, and when it came.
        self._partial_digests: dict[ids.NodeId, tuple[float, Digest]] = {}
        self._total_digests: dict[ids.NodeId, tuple[float, Digest]] = {}
        self._serial = 0
        self._urgent = False
        # Hash of the nodes in the last digest sent, by `is_part`.
        self._sent_nodes_hashes = {True: 0, False: 0}

    # -- Input from other nodes

    def note_heartbeat(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        """Record a heartbeat that may ask this node to relay."""
        if heartbeat.asks is RelayRequest.NONE:
            return
        client = self._clients.get(heartbeat.node.id)
        self._clients[heartbeat.node.id] = _Client(heartbeat, now)
        last = client.heartbeat if client else None
        changed = last is not None and (
            (heartbeat.ready, heartbeat.has_path)
            != (last.ready, last.has_path)
        )
        self._note_reports(heartbeat.lost, last.lost if last else ())
        self._note_reports(heartbeat.slow, last.slow if last else ())
        self._note_reports(
            _list_part_reports(heartbeat.parts),
            _list_part_reports(last.parts if last else None),
        )
        self._urgent = self._urgent or changed

    def note_digest(self, digest: Digest, now: float) -> bool:
        """Record a digest; return whether it is newer than the last."""
        digests = (
            self._partial_digests if digest.is_part else self._total_digests
        )
        at, last = digests.get(digest.node.id, (now, None))
        if (
            last is not None
            and now - at > presence_module.HEARTBEAT_TIMEOUT_SECONDS
        ):
            # The wall clock may have gone back between two processes of
            # the relay, so that the newer one has the lower incarnation.
            # It is accepted since the older one is silent.
            last = None
        if last is not None and _is_outdated(digest, last):
            return False
        nodes = digest.nodes
        if nodes is None and last is not None:
            same = last.nodes_hash == digest.nodes_hash
            nodes = last.nodes if same else None
        digest = msgspec.structs.replace(digest, nodes=nodes)
        digests[digest.node.id] = (now, digest)
        self._presence.note_digest_sender(
            digest.node, digest.instances, digest.store_age, now
        )
        if nodes is not None:
            if last is not None and last.nodes is not None:
                dropped = last.nodes.keys() - nodes.keys()
                self._presence.note_dropped_nodes(dropped, now)
            self._presence.note_relayed_nodes(nodes, digest.pathless, now)
        if digest.is_part:
            self._note_reports(digest.lost, last.lost if last else ())
            self._note_reports(digest.slow, last.slow if last else ())
            self._note_reports(
                _list_part_reports(digest.parts),
                _list_part_reports(last.parts if last else None),
            )
        return True

    def is_sender_ready(self, digest: Digest) -> bool:
        """Return whether a recorded digest comes from a node that is ready.

        Relays that start or were suspended send digests as well. False until
        a digest of the relay has named its nodes.
        """
        digests = (
            self._partial_digests if digest.is_part else self._total_digests
        )
        known = digests.get(digest.node.id)
        nodes = known[1].nodes if known else None
        return bool(nodes and nodes.get(digest.node.id))

    def _note_reports(
        self, reported: abc.Iterable[str], before: abc.Iterable[str]
    ) -> None:
        """Have digests sent at once if there is a new report."""
        self._urgent = self._urgent or bool(set(reported) - set(before))

    def take_urgent(self) -> bool:
        """Return whether digests are due at once; clear the request."""
        urgent, self._urgent = self._urgent, False
        return urgent

    # -- Output

    def is_active(self, now: float) -> bool:
        """Return whether this node acts as a relay."""
        if self._presence.is_full_mesh:
            return False
        return bool(self._list_clients(now)) or (
            not self._presence.list_own_relays(now)
        )

    def _list_clients(self, now: float) -> list[_Client]:
        for name, client in list(self._clients.items()):
            if now - client.last_heard > _CLIENT_TIMEOUT_SECONDS:
                del self._clients[name]
        return list(self._clients.values())

    def list_datagrams(
        self, own: presence_module.Heartbeat, now: float
    ) -> list[Datagram]:
        """Return the messages of one round and their receivers.

        Args:
            own: The heartbeat of this node.
            now: Monotonic time.
        """
        if self._presence.is_full_mesh:
            return [Datagram(tuple(self._presence.list_peers()), own)]
        relays = self._presence.list_own_relays(now)
        found = []
        for index, relay in enumerate(relays):
            asks = RelayRequest.WITHOUT_LOADS if index else RelayRequest.FULL
            heartbeat = msgspec.structs.replace(own, asks=asks)
            found.append(Datagram((relay,), heartbeat))
        self._presence.note_relay_requests(relays, now)
        if not self.is_active(now):
            return found
        self._serial += 1
        # If this node has relays, they include its requests.
        with_loads = not relays
        partial = self._make_digest(
            own, self._aggregate_clients(own, with_loads, now), True
        )
        total = self._make_digest(
            own, self._aggregate_all(own, with_loads, now), False
        )
        clients = tuple(
            client.heartbeat.node for client in self._list_clients(now)
        )
        others = tuple(self._presence.list_other_relays(now))
        self._presence.note_relay_requests(others, now)
        return [
            *found,
            Datagram(others, self._omit_sent_nodes(partial)),
            Datagram(clients, self._omit_sent_nodes(total)),
        ]

    def _aggregate_clients(
        self, own: presence_module.Heartbeat, with_loads: bool, now: float
    ) -> _Aggregate:
        """Return the aggregate of this node and its clients.

        Args:
            own: The heartbeat of this node.
            with_loads: Whether to include this node's own requests.
            now: Monotonic time.
        """
        aggregate = _Aggregate()
        aggregate.add_node(own)
        if with_loads:
            aggregate.add_loads(own.loads)
        aggregate.add_reports(own)
        for client in self._list_clients(now):
            heartbeat = client.heartbeat
            aggregate.add_node(heartbeat)
            if heartbeat.asks is RelayRequest.FULL:
                aggregate.add_loads(heartbeat.loads)
            aggregate.add_reports(heartbeat, now - client.last_heard)
        return aggregate

    def _aggregate_all(
        self, own: presence_module.Heartbeat, with_loads: bool, now: float
    ) -> _Aggregate:
        """Return the aggregate of all nodes."""
        aggregate = self._aggregate_clients(own, with_loads, now)
        for at, digest in list(self._partial_digests.values()):
            if now - at > presence_module.HEARTBEAT_TIMEOUT_SECONDS:
                del self._partial_digests[digest.node.id]
                continue
            aggregate.nodes |= digest.nodes or {}
            aggregate.pathless |= set(digest.pathless)
            aggregate.add_loads(digest.loads)
            aggregate.add_reports(digest, now - at)
        return aggregate

    def _make_digest(
        self,
        own: presence_module.Heartbeat,
        aggregate: _Aggregate,
        is_part: bool,
    ) -> Digest:
        names = " ".join(
            f"{name}{int(ready)}"
            for name, ready in sorted(aggregate.nodes.items())
        )
        return Digest(
            node=own.node,
            serial=self._serial,
            is_part=is_part,
            nodes=aggregate.nodes,
            nodes_hash=hashing.hash_text(names),
            pathless=tuple(sorted(aggregate.pathless)),
            configuration=own.configuration,
            instances=own.instances,
            store_age=own.store_age,
            loads=aggregate.loads,
            stalled=tuple(aggregate.stalled),
            lost=tuple(aggregate.lost),
            slow=tuple(aggregate.slow),
            limits=aggregate.limits,
            leases=aggregate.leases,
            evacuations=own.evacuations,
            informed=own.informed,
            store_revision=own.store_revision,
            departures=aggregate.departures,
            parts=aggregate.parts,
            findings=dict(
                itertools.islice(aggregate.findings.items(), _MAX_FINDINGS)
            ),
        )

    def _omit_sent_nodes(self, digest: Digest) -> Digest:
        """Return a digest, without the nodes if they are unchanged."""
        due = digest.serial % _FULL_DIGEST_ROUNDS == 0
        before = self._sent_nodes_hashes[digest.is_part]
        self._sent_nodes_hashes[digest.is_part] = digest.nodes_hash
        if due or digest.nodes_hash != before:
            return digest
        return msgspec.structs.replace(digest, nodes=None)


def _list_part_reports(
    parts: quarantines.PartReports | None,
) -> list[str]:
    """Return a text for each report that other nodes wait for."""
    if parts is None:
        return []
    return [
        *(f"crash {crash.upstream}" for crash in parts.crashes),
        *(f"quarantined {part}" for part in parts.quarantined),
        *(f"survived {part}" for part in parts.survived),
    ]


def _is_outdated(digest: Digest, last: Digest) -> bool:
    """Return whether a digest is no newer than the last one."""
    if digest.node.incarnation != last.node.incarnation:
        return digest.node.incarnation < last.node.incarnation
    return digest.serial <= last.serial

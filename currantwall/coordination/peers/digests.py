"""What relays pass on between the nodes of a large fleet.

The load it answers: 142 nodes that tell each other everything send 350
datagrams a second each. Here a node sends its heartbeat to two relays of
its data centre. Each relay adds up what the nodes that ask it tell (its
part), exchanges parts with the other relays, and answers with the sum of
all parts (the view). News that cannot wait, such as a lost member, takes
three datagrams from any node to any other.

A node asks two relays and both tell that it lives; its counts are added
up by the first one only, or they would stand in the view twice.
"""

from collections import abc

import msgspec

from currantwall.coordination.peers import presence as presence_module
from currantwall.state import hashing
from currantwall.state import ids

__all__ = ["Alarm", "Datagram", "Digest", "Relay"]

Asks = presence_module.Asks

# Seconds since a node last asked after which it gets no more digests.
_ASKED = 1.5
# Digests of which one names the nodes; the others say "as before".
_FULL_EVERY = 4


class Digest(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="digest"
):
    """The sum of what some nodes tell.

    Attributes:
        node: The relay that sends it.
        serial: Rises with each digest of a process.
        is_part: Whether it is the sum of the nodes that ask this relay,
            for other relays; else the sum of all nodes.
        nodes: Nodes that live, and whether they take requests; None
            where they are the same as in the last digest that named them.
        nodes_hash: Tells which nodes those are.
        configuration: Version in force at the relay.
        instances: Revision of the list of instances at the relay.
        store_age: Seconds since the store last answered the relay.
    """

    node: presence_module.NodeEntry
    serial: int
    is_part: bool
    nodes: dict[str, bool] | None = None
    nodes_hash: int = 0
    configuration: int = 0
    instances: int = 0
    store_age: float | None = None
    loads: dict[str, int] = {}
    stalled: tuple[str, ...] = ()
    lost: tuple[str, ...] = ()
    slow: tuple[str, ...] = ()
    leases: dict[str, presence_module.HeldLease] = {}


class Alarm(msgspec.Struct, frozen=True, tag="alarm"):
    """Upstreams that fell silent, told to the holder of their domain."""

    stalled: tuple[str, ...]


Message = presence_module.Heartbeat | Digest | Alarm


class Datagram(msgspec.Struct, frozen=True):
    """A message and the nodes it goes to."""

    to: tuple[presence_module.NodeEntry, ...]
    message: Message


class _Sum:
    """Adds up what nodes tell."""

    def __init__(self) -> None:
        self.nodes: dict[str, bool] = {}
        self.loads: dict[str, int] = {}
        self.stalled: dict[str, None] = {}
        self.lost: dict[str, None] = {}
        self.slow: dict[str, None] = {}
        self.leases: dict[str, presence_module.HeldLease] = {}

    def add_loads(self, loads: abc.Mapping[str, int]) -> None:
        for name, count in loads.items():
            self.loads[name] = self.loads.get(name, 0) + count

    def add_news(self, told: "presence_module.Heartbeat | Digest") -> None:
        self.stalled.update(dict.fromkeys(told.stalled))
        self.lost.update(dict.fromkeys(told.lost))
        self.slow.update(dict.fromkeys(told.slow))
        for domain, lease in told.leases.items():
            held = self.leases.get(domain)
            if held is None or lease.revision > held.revision:
                self.leases[domain] = lease


class _Asker:
    def __init__(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        self.heartbeat = heartbeat
        self.asked = now


class Relay:
    """The digests that this node has and gives."""

    def __init__(self, presence: presence_module.Presence) -> None:
        self._presence = presence
        self._askers: dict[ids.NodeId, _Asker] = {}
        self._parts: dict[ids.NodeId, tuple[float, Digest]] = {}
        self._views: dict[ids.NodeId, tuple[float, Digest]] = {}
        self._serial = 0
        self._urgent = False
        # Nodes named in the last part and the last view that were sent.
        self._named = {True: 0, False: 0}

    # -- What is heard

    def note_heartbeat(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        """Take note of a heartbeat that may ask this node to relay."""
        if heartbeat.asks is Asks.NOTHING:
            return
        before = self._askers.get(heartbeat.node.id)
        self._askers[heartbeat.node.id] = _Asker(heartbeat, now)
        told = before.heartbeat if before else None
        changed = told is not None and heartbeat.ready != told.ready
        self._note_lost(heartbeat.lost, told.lost if told else ())
        self._note_lost(heartbeat.slow, told.slow if told else ())
        self._urgent = self._urgent or changed

    def note_digest(self, digest: Digest, now: float) -> bool:
        """Take note of a digest; return whether it is a newer one."""
        held = self._parts if digest.is_part else self._views
        at, last = held.get(digest.node.id, (now, None))
        if last is not None and now - at > presence_module.ABSENT_AFTER:
            # The clock may have gone back between two processes of the
            # relay; what is heard now counts.
            last = None
        if last is not None and _is_late(digest, last):
            return False
        nodes = digest.nodes
        if nodes is None and last is not None:
            same = last.nodes_hash == digest.nodes_hash
            nodes = last.nodes if same else None
        digest = msgspec.structs.replace(digest, nodes=nodes)
        held[digest.node.id] = (now, digest)
        self._presence.note_relay(
            digest.node, digest.instances, digest.store_age, now
        )
        if nodes is not None:
            if last is not None and last.nodes is not None:
                gone = last.nodes.keys() - nodes.keys()
                self._presence.note_missing(gone, now)
            self._presence.note_relayed(nodes, now)
        if digest.is_part:
            self._note_lost(digest.lost, last.lost if last else ())
            self._note_lost(digest.slow, last.slow if last else ())
        return True

    def _note_lost(
        self, lost: abc.Iterable[str], before: abc.Iterable[str]
    ) -> None:
        self._urgent = self._urgent or bool(set(lost) - set(before))

    def take_urgent(self) -> bool:
        """Return whether there is news that cannot wait for its turn."""
        urgent, self._urgent = self._urgent, False
        return urgent

    # -- What is given

    def is_acting(self, now: float) -> bool:
        """Return whether this node adds up what others tell."""
        if self._presence.is_small:
            return False
        return bool(self._list_askers(now)) or (
            not self._presence.list_own_relays(now)
        )

    def _list_askers(self, now: float) -> list[_Asker]:
        for name, asker in list(self._askers.items()):
            if now - asker.asked > _ASKED:
                del self._askers[name]
        return list(self._askers.values())

    def list_datagrams(
        self, own: presence_module.Heartbeat, now: float
    ) -> list[Datagram]:
        """Return what is due to be sent, and to whom.

        Args:
            own: What this node tells of itself.
            now: Monotonic time.
        """
        if self._presence.is_small:
            return [Datagram(tuple(self._presence.list_everyone()), own)]
        relays = self._presence.list_own_relays(now)
        found = []
        for place, relay in enumerate(relays):
            asks = Asks.ANSWERS if place else Asks.RELAY
            asking = msgspec.structs.replace(own, asks=asks)
            found.append(Datagram((relay,), asking))
        self._presence.note_asked(relays, now)
        if not self.is_acting(now):
            return found
        self._serial += 1
        # Where others relay for this node, they count its requests.
        counted = not relays
        part = self._make(own, self._add_part(own, counted, now), True)
        view = self._make(own, self._add_all(own, counted, now), False)
        askers = tuple(one.heartbeat.node for one in self._list_askers(now))
        others = tuple(self._presence.list_other_relays(now))
        self._presence.note_asked(others, now)
        return [
            *found,
            Datagram(others, self._shorten(part)),
            Datagram(askers, self._shorten(view)),
        ]

    def _add_part(
        self, own: presence_module.Heartbeat, counted: bool, now: float
    ) -> _Sum:
        """Return the sum of this node and those that ask it."""
        total = _Sum()
        total.nodes[own.node.id] = own.ready
        if counted:
            total.add_loads(own.loads)
        total.add_news(own)
        for asker in self._list_askers(now):
            told = asker.heartbeat
            total.nodes[told.node.id] = told.ready
            if told.asks is Asks.RELAY:
                total.add_loads(told.loads)
            total.add_news(told)
        return total

    def _add_all(
        self, own: presence_module.Heartbeat, counted: bool, now: float
    ) -> _Sum:
        """Return the sum of all nodes."""
        total = self._add_part(own, counted, now)
        for at, digest in list(self._parts.values()):
            if now - at > presence_module.ABSENT_AFTER:
                del self._parts[digest.node.id]
                continue
            total.nodes |= digest.nodes or {}
            total.add_loads(digest.loads)
            total.add_news(digest)
        return total

    def _make(
        self, own: presence_module.Heartbeat, total: _Sum, is_part: bool
    ) -> Digest:
        names = " ".join(
            f"{name}{int(ready)}"
            for name, ready in sorted(total.nodes.items())
        )
        return Digest(
            node=own.node,
            serial=self._serial,
            is_part=is_part,
            nodes=total.nodes,
            nodes_hash=hashing.hash_text(names),
            configuration=own.configuration,
            instances=own.instances,
            store_age=own.store_age,
            loads=total.loads,
            stalled=tuple(total.stalled),
            lost=tuple(total.lost),
            slow=tuple(total.slow),
            leases=total.leases,
        )

    def _shorten(self, digest: Digest) -> Digest:
        """Return a digest without the nodes where they are known."""
        due = digest.serial % _FULL_EVERY == 0
        before = self._named[digest.is_part]
        self._named[digest.is_part] = digest.nodes_hash
        if due or digest.nodes_hash != before:
            return digest
        return msgspec.structs.replace(digest, nodes=None)


def _is_late(digest: Digest, last: Digest) -> bool:
    """Return whether a digest is older than the last one."""
    if digest.node.incarnation != last.node.incarnation:
        return digest.node.incarnation < last.node.incarnation
    return digest.serial <= last.serial

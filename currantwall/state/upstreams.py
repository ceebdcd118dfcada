"""Upstream instances as they register, and the replicas they form.

An engine instance says itself to which replica it belongs. Every node
can therefore work out the whole replicas from the list alone; nothing
about them has to be handed on when the node that formed them is gone.
"""

from collections import abc
import enum
import typing

import msgspec

from currantwall.state import ids

__all__ = [
    "Change",
    "Fleet",
    "Phase",
    "Replica",
    "Seat",
    "Upstream",
    "list_replicas",
    "name_life",
    "name_replica",
    "parse_life",
    "parse_name",
]


class Phase(enum.Enum):
    """Where an instance stands in the life of its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Seat(msgspec.Struct, frozen=True):
    """An instance's place in a replica; the leader has rank 0."""

    replica: ids.ReplicaId
    epoch: int
    rank: int
    phase: Phase


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One instance that answers requests.

    Attributes:
        slots: Requests it works on at once.
        leaving: Whether it is being drained.
        born: Start of this life, in Unix milliseconds.
        sequence: Orders accepted in this life; None where only its entry
            was read, which doesn't tell.
        domain: Fabric domain; empty for plain services.
        staged: Models whose weights are on its host.
        seat: Its place in a replica, None for none.
        busy: Whether it is carrying out an order, such as a load.
        pace: Factor by which it is slower than usual, as its report says.
    """

    id: ids.InstanceId
    service: ids.ServiceName
    address: str
    datacentre: ids.DatacentreName
    slots: int = 1
    leaving: bool = False
    born: int = 0
    sequence: int | None = None
    domain: ids.DomainName = ids.DomainName("")
    staged: tuple[str, ...] = ()
    seat: Seat | None = None
    busy: bool = False
    pace: float = 1.0

    @property
    def life(self) -> str:
        """Return what tells a mended replica's leader from before."""
        return name_life(self.id, self.seat.epoch if self.seat else 0)


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Instances that report the same replica and epoch."""

    id: ids.ReplicaId
    epoch: int
    model: str
    size: int
    members: tuple[Upstream, ...]

    @property
    def leader(self) -> Upstream | None:
        """Return the member that takes the requests, if it is there."""
        first = self.members[0]
        return first if first.seat and first.seat.rank == 0 else None

    @property
    def is_whole(self) -> bool:
        """Return whether every rank is there and none joins or broke."""
        ranks = [one.seat.rank for one in self.members if one.seat]
        if ranks != list(range(self.size)):
            return False
        bad = (Phase.JOINING, Phase.BROKEN)
        return all(one.seat.phase not in bad for one in self.members)  # type: ignore[union-attr]

    @property
    def is_serving(self) -> bool:
        """Return whether it may be given requests."""
        leader = self.leader
        if leader is None or leader.seat is None or leader.leaving:
            return False
        return leader.seat.phase is Phase.OPEN and self.is_whole


def name_replica(model: str, size: int, token: str) -> ids.ReplicaId:
    """Return a replica id that tells model and size to every node."""
    return ids.ReplicaId(f"{model}.{size}.{token}")


def name_life(instance: ids.InstanceId, epoch: int) -> str:
    """Return what tells a leader of one replica from that of the next."""
    return f"{instance}@{epoch}"


def parse_life(life: str) -> tuple[ids.InstanceId, int] | None:
    """Return instance and epoch of a life, None for a foreign text."""
    instance, mark, epoch = life.rpartition("@")
    if not mark or not epoch.isdecimal():
        return None
    return ids.InstanceId(instance), int(epoch)


def parse_name(name: str) -> tuple[str, int] | None:
    """Return model and size of a replica id, None for a foreign one."""
    parts = name.rsplit(".", 2)
    if len(parts) != 3 or not parts[1].isdecimal():
        return None
    return parts[0], int(parts[1])


def list_replicas(upstreams: abc.Iterable[Upstream]) -> list[Replica]:
    """Return the replicas that some instances report."""
    seats: dict[tuple[str, int], list[Upstream]] = {}
    for one in upstreams:
        if one.seat is not None:
            key = (one.seat.replica, one.seat.epoch)
            seats.setdefault(key, []).append(one)
    found = []
    for (name, epoch), members in seats.items():
        parsed = parse_name(name)
        if parsed is None:
            continue
        members.sort(key=lambda one: one.seat.rank if one.seat else 0)
        found.append(
            Replica(
                id=ids.ReplicaId(name),
                epoch=epoch,
                model=parsed[0],
                size=parsed[1],
                members=tuple(members),
            )
        )
    return found


_SeatKey = tuple[ids.ServiceName, ids.ReplicaId, int]
_Key = typing.TypeVar("_Key", bound=abc.Hashable)
_Index = dict[_Key, dict[ids.InstanceId, Upstream]]


def _find_seat(one: Upstream) -> _SeatKey | None:
    """Return what the members of one replica have in common."""
    if one.seat is None:
        return None
    return one.service, one.seat.replica, one.seat.epoch


def _drop(index: _Index[_Key], key: _Key, name: ids.InstanceId) -> None:
    """Take an instance out of an index."""
    held = index[key]
    del held[name]
    if not held:
        del index[key]


def _differs(held: Upstream | None, listed: Upstream) -> bool:
    # Most are the same object: an entry that stayed is not decoded anew.
    return held is not listed and held != listed


class Change(msgspec.Struct, frozen=True):
    """What a list of instances changed.

    Attributes:
        old: Instances that are gone or differ, as they were.
        new: Instances that are new or differ, as they are.
    """

    old: tuple[Upstream, ...]
    new: tuple[Upstream, ...]


class Fleet:
    """The registered instances as one node knows them.

    A new list costs what it changes: of many instances a few differ from
    one read to the next.

    Attributes:
        revision: Revision of the list it was read from.
        updated: Monotonic time of the last read.
        generation: Rises with each change of any instance.
        changed: What the last list changed.
        has_kept: Whether instances may be held that the list lacks.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.updated = 0.0
        self.generation = 0
        self.changed = Change((), ())
        self.has_kept = False
        self._upstreams: dict[ids.InstanceId, Upstream] = {}
        self._by_service: _Index[ids.ServiceName] = {}
        self._by_domain: _Index[tuple[ids.ServiceName, ids.DomainName]] = {}
        self._by_seat: _Index[_SeatKey] = {}
        self._replicas: dict[ids.ServiceName, dict[_SeatKey, Replica]] = {}
        # Whole replicas that take requests, by service and model.
        self._serving: dict[
            tuple[ids.ServiceName, str], dict[_SeatKey, Replica]
        ] = {}

    @property
    def is_known(self) -> bool:
        """Return whether a list was ever read."""
        return self.revision > 0

    def replace(
        self,
        upstreams: abc.Iterable[Upstream],
        revision: int,
        now: float,
        keep_missing: bool = False,
    ) -> bool:
        """Take over a list unless a newer one is held already.

        Args:
            upstreams: The instances listed.
            revision: Revision of the list.
            now: Monotonic time at which it was asked for.
            keep_missing: Whether instances that the list lacks stay: their
                entries may have lapsed while the store was away.

        Failure: a read that may be stale answers from before a change
        that this node has acted upon, such as a drain; taking it would
        send requests to an instance that has left.
        """
        if revision < self.revision:
            return False
        self.updated = now
        if revision == self.revision and not self.has_kept:
            self.changed = Change((), ())
            return True
        self.has_kept = keep_missing
        self.revision = revision
        listed = {one.id: one for one in upstreams}
        gone = () if keep_missing else self._upstreams.keys() - listed.keys()
        self._change(listed.values(), gone)
        return True

    def update(
        self,
        upstreams: abc.Iterable[Upstream],
        gone: abc.Iterable[ids.InstanceId],
        revision: int,
        now: float,
    ) -> bool:
        """Take over what differs from the list that is held.

        Args:
            upstreams: Instances that are new or differ.
            gone: Instances that are no longer listed.
            revision: Revision of the list with these changes.
            now: Monotonic time at which it was asked for.

        Returns:
            False where a newer list is held already.
        """
        if revision < self.revision:
            return False
        self.updated = now
        self.revision = revision
        self._change(upstreams, gone)
        return True

    def _change(
        self,
        upstreams: abc.Iterable[Upstream],
        gone: abc.Iterable[ids.InstanceId],
    ) -> None:
        """Take over the instances, looking only at those that differ."""
        held = self._upstreams
        new = [one for one in upstreams if _differs(held.get(one.id), one)]
        old = [held[name] for name in gone if name in held]
        old += [held[one.id] for one in new if one.id in held]
        self.changed = Change(tuple(old), tuple(new))
        if not old and not new:
            return
        self.generation += 1
        for one in old:
            self._remove(one)
        for one in new:
            self._add(one)
        for key in dict.fromkeys(map(_find_seat, (*old, *new))):
            if key is not None:
                self._form(key)

    def _add(self, one: Upstream) -> None:
        self._upstreams[one.id] = one
        self._by_service.setdefault(one.service, {})[one.id] = one
        place = (one.service, one.domain)
        self._by_domain.setdefault(place, {})[one.id] = one
        seat = _find_seat(one)
        if seat is not None:
            self._by_seat.setdefault(seat, {})[one.id] = one

    def _remove(self, one: Upstream) -> None:
        del self._upstreams[one.id]
        _drop(self._by_service, one.service, one.id)
        _drop(self._by_domain, (one.service, one.domain), one.id)
        seat = _find_seat(one)
        if seat is not None:
            _drop(self._by_seat, seat, one.id)

    def _form(self, key: _SeatKey) -> None:
        """Work out one replica anew."""
        service = key[0]
        replicas = self._replicas.setdefault(service, {})
        before = replicas.pop(key, None)
        if before is not None:
            self._serving.get((service, before.model), {}).pop(key, None)
        for replica in list_replicas(self._by_seat.get(key, {}).values()):
            replicas[key] = replica
            if replica.is_serving:
                held = self._serving.setdefault((service, replica.model), {})
                held[key] = replica

    def get(self, instance: ids.InstanceId) -> Upstream | None:
        """Return an instance by its id."""
        return self._upstreams.get(instance)

    def all(self) -> abc.Collection[Upstream]:
        """Return all instances."""
        return self._upstreams.values()

    def list_service(self, service: ids.ServiceName) -> list[Upstream]:
        """Return the instances of a service."""
        return list(self._by_service.get(service, {}).values())

    def list_domain(
        self, service: ids.ServiceName, domain: ids.DomainName
    ) -> list[Upstream]:
        """Return the instances of a service in one domain."""
        return list(self._by_domain.get((service, domain), {}).values())

    def list_serving(
        self, service: ids.ServiceName, model: str
    ) -> list[Replica]:
        """Return the whole replicas of a model that take requests."""
        return list(self._serving.get((service, model), {}).values())

    def list_replicas(self, service: ids.ServiceName) -> list[Replica]:
        """Return all replicas of a service, whole or not."""
        return list(self._replicas.get(service, {}).values())

"""Upstream instances as they register, and the replicas they form.

Each engine instance reports the replica it belongs to. Every node can
therefore derive the complete replicas from the list alone, and no state
has to be handed over when the node that formed them is gone.
"""

from collections import abc
import enum
import typing

import msgspec

from currantwall.state import ids
from currantwall.state import numbers

__all__ = [
    "Change",
    "Departure",
    "Finding",
    "Fleet",
    "Phase",
    "Replica",
    "Seat",
    "Upstream",
    "list_replicas",
    "make_epoch_id",
    "make_replica_id",
    "parse_epoch_id",
    "parse_replica_id",
]


class Phase(enum.Enum):
    """Phase of an instance within its replica."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


class Seat(msgspec.Struct, frozen=True):
    """Position of an instance in a replica; the leader has rank 0."""

    replica: ids.ReplicaId
    epoch: int
    rank: int
    phase: Phase


class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One instance that answers requests.

    Attributes:
        slots: Requests that it processes at once.
        leaving: Whether it is being drained.
        born: Start of its process, in Unix milliseconds.
        sequence: Orders accepted since that start; None where only its
            entry in the store was read, which lacks the number.
        domain: Fabric domain; empty for plain services.
        staged: Models whose weights are on its host.
        seat: Its position in a replica; None if it belongs to none.
        busy: Whether it is carrying out an order, such as a load.
        pace: Reported factor by which it is slower than usual.
        cold_left: Seconds for which it stays cold, as of its entry; 0 if
            it is warm.
        tells_coldness: Whether its entry has that time.
    """

    id: ids.InstanceId
    service: ids.ServiceName
    address: ids.Address
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
    cold_left: float = 0.0
    tells_coldness: bool = False

    @property
    def epoch_id(self) -> str:
        """Return an id that changes with the epoch of its replica.

        It distinguishes the leader of a repaired replica from the same
        instance before the repair.
        """
        return make_epoch_id(self.id, self.seat.epoch if self.seat else 0)


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """Instances that report the same replica and epoch."""

    id: ids.ReplicaId
    epoch: int
    model: str
    size: int
    members: tuple[Upstream, ...]

    @property
    def leader(self) -> Upstream | None:
        """Return the member with rank 0, which takes the requests."""
        first = self.members[0]
        return first if first.seat and first.seat.rank == 0 else None

    @property
    def is_whole(self) -> bool:
        """Return whether all ranks are present, none joining or broken."""
        ranks = [member.seat.rank for member in self.members if member.seat]
        # The name of a replica may claim any size.
        if len(ranks) != self.size or ranks != list(range(self.size)):
            return False
        unfit = (Phase.JOINING, Phase.BROKEN)
        return all(one.seat.phase not in unfit for one in self.members)  # type: ignore[union-attr]

    @property
    def is_serving(self) -> bool:
        """Return whether requests may be sent to it."""
        leader = self.leader
        if leader is None or leader.seat is None or leader.leaving:
            return False
        return leader.seat.phase is Phase.OPEN and self.is_whole


def make_replica_id(model: str, size: int, token: str) -> ids.ReplicaId:
    """Return a replica id from which any node can read model and size."""
    return ids.ReplicaId(f"{model}.{size}.{token}")


def make_epoch_id(instance: ids.InstanceId, epoch: int) -> str:
    """Return the id of an instance in one epoch of its replica."""
    return f"{instance}@{epoch}"


def parse_epoch_id(text: str) -> tuple[ids.InstanceId, int] | None:
    """Return instance and epoch of an epoch id, None for any other text."""
    instance, mark, number = text.rpartition("@")
    epoch = numbers.parse_count(number)
    if not mark or epoch is None:
        return None
    return ids.InstanceId(instance), epoch


def parse_replica_id(name: str) -> tuple[str, int] | None:
    """Return model and size of a replica id; None for other names."""
    parts = name.rsplit(".", 2)
    size = numbers.parse_count(parts[1]) if len(parts) == 3 else None
    return None if size is None else (parts[0], size)


def list_replicas(upstreams: abc.Iterable[Upstream]) -> list[Replica]:
    """Return the replicas that the instances report."""
    by_replica: dict[tuple[str, int], list[Upstream]] = {}
    for upstream in upstreams:
        if upstream.seat is not None:
            key = (upstream.seat.replica, upstream.seat.epoch)
            by_replica.setdefault(key, []).append(upstream)
    replicas = []
    for (name, epoch), members in by_replica.items():
        parsed = parse_replica_id(name)
        if parsed is None:
            continue
        members.sort(key=lambda item: item.seat.rank if item.seat else 0)
        replicas.append(
            Replica(
                id=ids.ReplicaId(name),
                epoch=epoch,
                model=parsed[0],
                size=parsed[1],
                members=tuple(members),
            )
        )
    return replicas


_ReplicaKey = tuple[ids.ServiceName, ids.ReplicaId, int]
_Key = typing.TypeVar("_Key", bound=abc.Hashable)
_Index = dict[_Key, dict[ids.InstanceId, Upstream]]


def _get_replica_key(upstream: Upstream) -> _ReplicaKey | None:
    """Return the key that all members of a replica share."""
    if upstream.seat is None:
        return None
    return upstream.service, upstream.seat.replica, upstream.seat.epoch


def _remove_from_index(
    index: _Index[_Key], key: _Key, instance: ids.InstanceId
) -> None:
    """Remove an instance from an index, and its key if none is left."""
    indexed = index[key]
    del indexed[instance]
    if not indexed:
        del index[key]


def _differs(held: Upstream | None, listed: Upstream) -> bool:
    # An unchanged entry is not decoded again, so that most are the same
    # object and need no comparison by value.
    return held is not listed and held != listed


class Change(msgspec.Struct, frozen=True):
    """Difference that a list of instances made.

    Attributes:
        old: Removed and changed instances, as they were before.
        new: Added and changed instances, as they are now.
    """

    old: tuple[Upstream, ...]
    new: tuple[Upstream, ...]


class Departure(msgspec.Struct, frozen=True, array_like=True):
    """An instance that has left or announced it, as nodes tell each other.

    Attributes:
        born: Start of its process, in Unix milliseconds; 0 if unknown.
        remaining: Seconds for which its entry may still say otherwise.
    """

    born: int
    remaining: float


class Finding(msgspec.Struct, frozen=True, array_like=True):
    """What a node has found at an upstream's address.

    Attributes:
        born: Start of its process, in Unix milliseconds; 0 if unknown.
        age: Seconds since then.
        is_open: Whether a connection was opened.
    """

    born: int
    age: float
    is_open: bool = False


class Fleet:
    """The registered instances as one node knows them.

    Few instances differ from one read to the next, so a new list is
    applied in time proportional to its changes.

    Attributes:
        revision: Revision of the last list.
        updated: Monotonic time of the last read.
        generation: Counts the changes of the held instances.
        last_change: Difference that the last list made.
        has_unlisted: Whether it may differ from the list, for example hold
            instances that the list lacks.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.updated = 0.0
        self.generation = 0
        self.last_change = Change((), ())
        self.has_unlisted = False
        self._upstreams: dict[ids.InstanceId, Upstream] = {}
        self._by_service: _Index[ids.ServiceName] = {}
        self._by_domain: _Index[tuple[ids.ServiceName, ids.DomainName]] = {}
        self._by_replica: _Index[_ReplicaKey] = {}
        self._replicas: dict[ids.ServiceName, dict[_ReplicaKey, Replica]] = {}
        # Replicas that serve requests, by service and model.
        self._serving: dict[
            tuple[ids.ServiceName, str], dict[_ReplicaKey, Replica]
        ] = {}

    @property
    def is_known(self) -> bool:
        """Return whether a list has been read."""
        return self.revision > 0

    def get_age(self, now: float) -> float | None:
        """Return the seconds since the list was read; None without one."""
        return round(now - self.updated, 3) if self.is_known else None

    def replace(
        self,
        upstreams: abc.Iterable[Upstream],
        revision: int,
        now: float,
        keep_missing: bool = False,
    ) -> bool:
        """Replace the held list unless it is newer.

        Args:
            upstreams: The instances listed.
            revision: Revision of the list.
            now: Monotonic time at which it was requested.
            keep_missing: Whether to keep instances that the list lacks:
                their entries may have expired during an outage of the
                store.

        Returns:
            False if the held list is newer. A stale read may predate a
            change that this node has acted upon, such as a drain;
            applying it would send requests to an instance that has left.
        """
        if revision < self.revision:
            return False
        self.updated = now
        if revision == self.revision and not self.has_unlisted:
            self.last_change = Change((), ())
            return True
        self.has_unlisted = keep_missing
        self.revision = revision
        listed = {upstream.id: upstream for upstream in upstreams}
        gone = () if keep_missing else self._upstreams.keys() - listed.keys()
        self._apply_change(listed.values(), gone)
        return True

    def update(
        self,
        upstreams: abc.Iterable[Upstream],
        gone: abc.Iterable[ids.InstanceId],
        revision: int,
        now: float,
    ) -> bool:
        """Apply changes to the held list.

        Args:
            upstreams: Added and changed instances.
            gone: Removed instances.
            revision: Revision of the list with these changes.
            now: Monotonic time at which they were requested.

        Returns:
            False if the held list is newer.
        """
        if revision < self.revision:
            return False
        self.updated = now
        self.revision = revision
        self._apply_change(upstreams, gone)
        return True

    def _apply_change(
        self,
        upstreams: abc.Iterable[Upstream],
        gone: abc.Iterable[ids.InstanceId],
    ) -> None:
        """Apply the instances that differ and update the indexes."""
        held = self._upstreams
        new = [one for one in upstreams if _differs(held.get(one.id), one)]
        old = [held[name] for name in gone if name in held]
        old += [held[one.id] for one in new if one.id in held]
        self.last_change = Change(tuple(old), tuple(new))
        if not old and not new:
            return
        self.generation += 1
        for upstream in old:
            self._remove(upstream)
        for upstream in new:
            self._add(upstream)
        for key in dict.fromkeys(map(_get_replica_key, (*old, *new))):
            if key is not None:
                self._rebuild_replica(key)

    def _add(self, new: Upstream) -> None:
        self._upstreams[new.id] = new
        self._by_service.setdefault(new.service, {})[new.id] = new
        domain_key = (new.service, new.domain)
        self._by_domain.setdefault(domain_key, {})[new.id] = new
        replica_key = _get_replica_key(new)
        if replica_key is not None:
            self._by_replica.setdefault(replica_key, {})[new.id] = new

    def _remove(self, old: Upstream) -> None:
        del self._upstreams[old.id]
        _remove_from_index(self._by_service, old.service, old.id)
        _remove_from_index(self._by_domain, (old.service, old.domain), old.id)
        replica_key = _get_replica_key(old)
        if replica_key is not None:
            _remove_from_index(self._by_replica, replica_key, old.id)

    def _rebuild_replica(self, key: _ReplicaKey) -> None:
        """Derive one replica again from its members."""
        service = key[0]
        replicas = self._replicas.setdefault(service, {})
        before = replicas.pop(key, None)
        if before is not None:
            self._serving.get((service, before.model), {}).pop(key, None)
        for replica in list_replicas(self._by_replica.get(key, {}).values()):
            replicas[key] = replica
            if replica.is_serving:
                index = self._serving.setdefault((service, replica.model), {})
                index[key] = replica

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
        """Return the replicas of a model that serve requests."""
        return list(self._serving.get((service, model), {}).values())

    def list_replicas(self, service: ids.ServiceName) -> list[Replica]:
        """Return all replicas of a service, incomplete ones included."""
        return list(self._replicas.get(service, {}).values())

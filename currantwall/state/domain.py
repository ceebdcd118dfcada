"""The ledger of one fabric domain.

The object ``domains/<name>`` holds every replica of the domain and the
lease of the node that may change them. A replica lies within one domain,
so a conditional update of this single object keeps an instance from
joining two replicas, and a late write of a former holder fails because
the version has changed.
"""

from collections import abc
import enum
import typing

import msgspec

from currantwall.state import ids
from currantwall.state import numbers

__all__ = ["Domain", "Lease", "Replica", "ReplicaPhase"]


_COUNT = msgspec.Meta(ge=0, le=2**53 - 1)


class ReplicaPhase(enum.Enum):
    """Phase of one replica generation; a dissolved one is removed."""

    FORMING = "forming"
    SERVING = "serving"
    DRAINING = "draining"


class Lease(msgspec.Struct, frozen=True, omit_defaults=True):
    """Right to change one domain.

    Attributes:
        ttl: Seconds for which the lease holds, counted by the holder from
            before it sent the write.
        era: Era of the store in which the holder wrote it.
    """

    holder: ids.NodeId
    incarnation: ids.Incarnation
    epoch: typing.Annotated[ids.Epoch, _COUNT]
    ttl: numbers.Duration
    era: numbers.Count = 0

    def belongs_to(
        self, node: ids.NodeId, incarnation: ids.Incarnation
    ) -> bool:
        """Return whether this process holds the lease."""
        return self.holder == node and self.incarnation == incarnation


class Replica(msgspec.Struct, frozen=True, kw_only=True):
    """One replica generation: the instances that serve together.

    Attributes:
        members: Instances by rank; the first receives the requests.
        accelerators: Number of accelerators of all members.
    """

    id: ids.ReplicaId
    profile: ids.ProfileName
    generation: ids.Generation
    members: tuple[ids.InstanceId, ...]
    accelerators: int
    model: str
    model_version: str
    adapters: tuple[str, ...] = ()
    phase: ReplicaPhase = ReplicaPhase.FORMING

    @property
    def leader(self) -> ids.InstanceId:
        """Return the member that receives the requests."""
        return self.members[0]

    def enter(self, phase: ReplicaPhase) -> "Replica":
        """Return a copy in another phase, of the same generation."""
        return msgspec.structs.replace(self, phase=phase)


class Domain(msgspec.Struct, frozen=True, kw_only=True):
    """Value of ``domains/<name>``.

    Attributes:
        idle: Number of healthy instances that belong to no replica and
            are not kept as spares; shows where a replica can be built.
        serial: Incremented by each change that other nodes need to know.
        attempt: Id of the write that stored this value, by which a writer
            that received no answer recognises its own write.
    """

    name: ids.DomainName
    datacentre: ids.DatacentreName
    lease: Lease | None = None
    replicas: tuple[Replica, ...] = ()
    last_generation: ids.Generation = ids.Generation(0)
    idle: int = 0
    serial: int = 0
    attempt: ids.AttemptId = ids.AttemptId("")

    @property
    def epoch(self) -> ids.Epoch:
        """Return the newest fencing token, 0 before the first lease."""
        return self.lease.epoch if self.lease else ids.Epoch(0)

    def get(self, replica_id: ids.ReplicaId) -> Replica | None:
        """Return the replica with this id."""
        for replica in self.replicas:
            if replica.id == replica_id:
                return replica
        return None

    def find_owner(self, instance: ids.InstanceId) -> Replica | None:
        """Return the replica that an instance belongs to."""
        for replica in self.replicas:
            if instance in replica.members:
                return replica
        return None

    def select(self, profile: ids.ProfileName) -> list[Replica]:
        """Return the replicas of one profile."""
        return [item for item in self.replicas if item.profile == profile]

    def count_accelerators(self, profile: ids.ProfileName) -> int:
        """Return the number of accelerators that one profile holds here."""
        return sum(replica.accelerators for replica in self.select(profile))

    def put(self, replica: Replica) -> "Domain":
        """Return the ledger with one replica added or replaced."""
        others = [other for other in self.replicas if other.id != replica.id]
        return self._with_replicas(others + [replica])

    def remove(self, replica_id: ids.ReplicaId) -> "Domain":
        """Return the ledger without one replica."""
        return self._with_replicas(
            replica for replica in self.replicas if replica.id != replica_id
        )

    def has_overlap(self) -> bool:
        """Return whether any instance belongs to two replicas."""
        seen: set[ids.InstanceId] = set()
        for replica in self.replicas:
            if seen.intersection(replica.members):
                return True
            seen.update(replica.members)
        return False

    def is_same_placement(self, other: "Domain") -> bool:
        """Return whether both have the same replicas and idle instances."""
        return self.replicas == other.replicas and self.idle == other.idle

    def _with_replicas(self, replicas: abc.Iterable[Replica]) -> "Domain":
        ordered = tuple(sorted(replicas, key=lambda replica: replica.id))
        return msgspec.structs.replace(self, replicas=ordered)

"""Competition between profiles for free instances.

Profiles compete by class of service. A profile of a lower class leaves
free the instances that a higher class still needs. While a profile of a
higher class has capacity left but fits into no domain, lower classes give
up replicas, one at a time and the lowest class first. Every planner
derives this from the same stored objects, so no message is needed.
"""

from collections import abc

import msgspec

from currantwall.state import domain
from currantwall.state import grants
from currantwall.state import ids
from currantwall.state import profile

__all__ = ["Need", "choose_yielding", "list_needs", "reserve_for_others"]


class Need(msgspec.Struct, frozen=True):
    """Replicas that a profile may hold and does not have.

    Attributes:
        missing: Number of these replicas.
        has_room: Whether some domain has enough idle instances for one.
    """

    profile: profile.Profile
    missing: int
    has_room: bool

    @property
    def instance_count(self) -> int:
        """Return the number of instances that would meet the need."""
        return self.missing * self.profile.replica_size


def list_needs(
    profiles: abc.Mapping[str, profile.Profile],
    profile_grants: abc.Mapping[str, grants.Grants],
    domains: abc.Mapping[str, domain.Domain],
    accelerators: int,
) -> list[Need]:
    """Return what profiles still need, the highest class first.

    Args:
        profiles: All profiles by name.
        profile_grants: Their grants by profile.
        domains: All ledgers by domain.
        accelerators: Accelerators of one instance.
    """
    needs = []
    for name, wanted in profiles.items():
        missing = _count_missing(
            wanted, profile_grants.get(name), domains, accelerators
        )
        if missing > 0:
            size = wanted.replica_size
            has_room = any(ledger.idle >= size for ledger in domains.values())
            needs.append(Need(wanted, missing, has_room))
    needs.sort(key=lambda need: _make_sort_key(need.profile))
    return needs


def _make_sort_key(wanted: profile.Profile) -> tuple[int, str]:
    return (wanted.service_class.order, wanted.name)


def _count_missing(
    wanted: profile.Profile,
    stored: grants.Grants | None,
    domains: abc.Mapping[str, domain.Domain],
    accelerators: int,
) -> int:
    replica_accelerators = wanted.replica_size * accelerators
    allowed = min(
        wanted.replicas, wanted.capacity // max(1, replica_accelerators)
    )
    present = sum(
        1
        for ledger in domains.values()
        for replica in ledger.select(wanted.name)
        if replica.phase is not domain.ReplicaPhase.DRAINING
    )
    targeted = sum(share.target for share in stored.shares) if stored else 0
    return allowed - max(present, min(targeted, allowed))


def reserve_for_others(
    wanted: profile.Profile, needs: abc.Sequence[Need]
) -> int:
    """Return how many free instances a profile leaves to higher classes."""
    own_class = wanted.service_class.order
    return sum(
        need.instance_count
        for need in needs
        if need.profile.service_class.order < own_class
    )


def choose_yielding(
    needs: abc.Sequence[Need],
    profiles: abc.Mapping[str, profile.Profile],
    profile_grants: abc.Mapping[str, grants.Grants],
) -> ids.ProfileName | None:
    """Return the profile that gives up a replica now, None for none.

    Args:
        needs: What profiles still need, the highest class first.
        profiles: All profiles by name.
        profile_grants: Their grants by profile.
    """
    blocked = next((need for need in needs if not need.has_room), None)
    if blocked is None:
        return None
    own_class = blocked.profile.service_class.order
    candidates = [
        other
        for name, other in profiles.items()
        if other.service_class.order > own_class
        and name in profile_grants
        and any(share.target > 0 for share in profile_grants[name].shares)
    ]
    if not candidates:
        return None
    return max(candidates, key=_make_sort_key).name

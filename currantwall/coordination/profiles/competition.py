"""Which profiles make room for which.

Profiles compete for free instances by class of service. A profile of a
lower class leaves free what a higher one still needs, and gives up
replicas, one at a time and the lowest class first, while a higher one
has capacity but no room anywhere. Every planner works this out from the
same objects, so no message is needed.
"""

from collections import abc

import msgspec

from currantwall.state import domain
from currantwall.state import grants
from currantwall.state import ids
from currantwall.state import profile

__all__ = ["Need", "choose_yielding", "list_needs", "reserve_for_others"]


class Need(msgspec.Struct, frozen=True):
    """Replicas that a profile may hold and does not have."""

    wanted: profile.Profile
    missing: int
    has_room: bool

    @property
    def instances(self) -> int:
        """Return the instances that would meet the need."""
        return self.missing * self.wanted.replica_size


def list_needs(
    profiles: abc.Mapping[str, profile.Profile],
    held: abc.Mapping[str, grants.Grants],
    domains: abc.Mapping[str, domain.Domain],
    accelerators: int,
) -> list[Need]:
    """Return what profiles still need, the highest class first.

    Args:
        profiles: All profiles.
        held: All grants.
        domains: All ledgers.
        accelerators: Accelerators of one instance.
    """
    found = []
    for name, wanted in profiles.items():
        missing = _count_missing(wanted, held.get(name), domains, accelerators)
        if missing > 0:
            size = wanted.replica_size
            room = any(one.idle >= size for one in domains.values())
            found.append(Need(wanted, missing, room))
    found.sort(key=lambda need: _rank(need.wanted))
    return found


def _rank(wanted: profile.Profile) -> tuple[int, str]:
    return (wanted.service_class.order, wanted.name)


def _count_missing(
    wanted: profile.Profile,
    held: grants.Grants | None,
    domains: abc.Mapping[str, domain.Domain],
    accelerators: int,
) -> int:
    size = wanted.replica_size * accelerators
    allowed = min(wanted.replicas, wanted.capacity // max(1, size))
    present = sum(
        1
        for ledger in domains.values()
        for replica in ledger.select(wanted.name)
        if replica.phase is not domain.ReplicaPhase.DRAINING
    )
    promised = sum(share.target for share in held.shares) if held else 0
    return allowed - max(present, min(promised, allowed))


def reserve_for_others(
    wanted: profile.Profile, needs: abc.Sequence[Need]
) -> int:
    """Return the free instances a profile must leave to higher classes."""
    own = wanted.service_class.order
    return sum(
        need.instances
        for need in needs
        if need.wanted.service_class.order < own
    )


def choose_yielding(
    needs: abc.Sequence[Need],
    profiles: abc.Mapping[str, profile.Profile],
    held: abc.Mapping[str, grants.Grants],
) -> ids.ProfileName | None:
    """Return the profile that gives up a replica now, None for none."""
    urgent = next((need for need in needs if not need.has_room), None)
    if urgent is None:
        return None
    own = urgent.wanted.service_class.order
    able = [
        other
        for name, other in profiles.items()
        if other.service_class.order > own
        and name in held
        and any(share.target > 0 for share in held[name].shares)
    ]
    if not able:
        return None
    return max(able, key=_rank).name

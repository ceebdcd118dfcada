"""Accelerators that each fabric domain may hold for one profile.

The object ``grants/<profile>`` bounds the cost of a profile: capacity is
granted here before a domain uses it and returned only after the domain
has freed it, so the accelerators held never exceed the profile's
capacity.
"""

import msgspec

from currantwall.state import ids

__all__ = ["Grants", "Share"]


class Share(msgspec.Struct, frozen=True):
    """Grant of one domain.

    Attributes:
        domain: The domain.
        epoch: Lease epoch of the holder that last claimed the share. A
            holder first writes its own epoch and then uses the share:
            a late write of its predecessor, which would return capacity
            that is in use, then expects an old version and fails.
        granted: Number of accelerators the domain may hold. Raised by the
            planner of the profile, lowered only by the holder of the
            domain's lease.
        target: Number of replicas the domain should have.
        rework: Number of replicas the domain may take out of service at a
            time to give them a new generation in place.
    """

    domain: ids.DomainName
    epoch: ids.Epoch = ids.Epoch(0)
    granted: int = 0
    target: int = 0
    rework: int = 0


class Grants(msgspec.Struct, frozen=True, kw_only=True):
    """Value of ``grants/<profile>``.

    Attributes:
        profile_version: Version of the profile that the shares were
            computed from; a planner that knows an older one must not
            write.
    """

    profile: ids.ProfileName
    profile_version: ids.Version = ids.Version(0)
    shares: tuple[Share, ...] = ()
    attempt: ids.AttemptId = ids.AttemptId("")

    @property
    def total(self) -> int:
        """Return the number of accelerators granted to all domains."""
        return sum(share.granted for share in self.shares)

    def get(self, domain: ids.DomainName) -> Share:
        """Return the share of a domain, an empty one if it has none."""
        for share in self.shares:
            if share.domain == domain:
                return share
        return Share(domain)

    def put(self, share: Share) -> "Grants":
        """Return the grants with one share added or replaced."""
        others = [item for item in self.shares if item.domain != share.domain]
        ordered = sorted(others + [share], key=lambda item: item.domain)
        return msgspec.structs.replace(self, shares=tuple(ordered))

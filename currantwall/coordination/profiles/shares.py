"""Shares of one domain in the grants, as the domain's holder handles them.

The planner of a profile raises what a domain may hold. Only the holder of
the domain lowers it, after its ledger holds less. A new holder first
claims each share by writing its epoch into it, so that a late write of its
predecessor expects an older version and fails.
"""

from collections import abc

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination.profiles import configuration
from currantwall.coordination.replicas import placement
from currantwall.coordination.replicas import repair
from currantwall.state import domain
from currantwall.state import grants
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import views

__all__ = ["ShareKeeper", "make_key"]

# Seconds before the next write of grants after a conflict or while the
# platform is down.
_RETRY_INTERVAL = 0.5


def make_key(name: str) -> objects.ObjectKey:
    """Return the key of the grants of a profile."""
    return objects.ObjectKey(objects.Kind.GRANTS.value, name)


class ShareKeeper:
    """Claims, lowers and writes the shares of one domain for its holder."""

    def __init__(
        self,
        name: ids.DomainName,
        view: views.ObjectsView,
        call_ids: calls.Calls,
        unused_timeout: float,
    ) -> None:
        self._name = name
        self._view = view
        self._call_ids = call_ids
        self._unused_timeout = unused_timeout
        self._call: ids.CallId | None = None
        self._profile = ""
        self._written: bytes = b""
        # Profiles whose last write of grants has not succeeded yet.
        self._unsettled: set[str] = set()
        self._unused_since: dict[str, float] = {}
        self._next_try = 0.0

    def forget(self) -> None:
        """Discard the times measured in a former term as the holder."""
        self._unused_since.clear()

    def owns(self, call: ids.CallId) -> bool:
        """Return whether a call is one of this object's writes."""
        return call == self._call

    def list_usable(self, epoch: ids.Epoch) -> dict[str, grants.Share]:
        """Return the shares that may be used under an epoch."""
        usable = {}
        for name, stored in self._view.grants.items():
            share = stored.get(self._name)
            if share.epoch == epoch and name not in self._unsettled:
                usable[name] = share
        return usable

    def step(
        self,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> list[part.Action]:
        """Write the next share that has to change."""
        if self._call is not None or now < self._next_try:
            return []
        # An unsettled share is written even when it has not changed.
        for name, stored in self._view.grants.items():
            share = stored.get(self._name)
            updated = self._update_share(name, share, ledger, members, now)
            if updated != share or name in self._unsettled:
                return self._write(name, stored.put(updated))
        return []

    def _update_share(
        self,
        name: str,
        share: grants.Share,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> grants.Share:
        """Return the share that the holder has to write.

        An empty share is left as it is, and a share of another epoch is
        only claimed. Otherwise the grant is lowered to what the target
        needs, but not below what the ledger holds. For a deleted profile,
        or where replicas were not built in time, it is lowered to what the
        ledger holds.
        """
        held = ledger.count_accelerators(ids.ProfileName(name))
        if not (share.granted or share.target or held):
            return share
        claimed = msgspec.structs.replace(share, epoch=ledger.epoch)
        if share.epoch != ledger.epoch:
            return claimed
        wanted = self._view.profiles.get(name)
        if wanted is None:
            return _lower_grant(claimed, held, 0)
        accelerators = _get_instance_accelerators(members)
        needed = max(held, share.target * wanted.replica_size * accelerators)
        if self._has_timed_out(wanted, share, ledger, members, now):
            replica_count = len(ledger.select(wanted.name))
            return _lower_grant(
                claimed, held, min(share.target, replica_count)
            )
        return _lower_grant(claimed, needed, share.target)

    def _has_timed_out(
        self,
        wanted: profile.Profile,
        share: grants.Share,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> bool:
        """Return whether the target has been unmet for the whole timeout.

        A domain without enough free instances for one replica gets a
        quarter of the timeout.
        """
        replica_count = len(ledger.select(wanted.name))
        if share.target <= replica_count:
            self._unused_since.pop(wanted.name, None)
            return False
        since = self._unused_since.setdefault(wanted.name, now)
        free = _count_free_instances(ledger, members)
        if free < wanted.replica_size:
            return now >= since + self._unused_timeout / 4
        return now >= since + self._unused_timeout

    def _write(self, name: str, value: grants.Grants) -> list[part.Action]:
        key = make_key(name)
        self._call = self._call_ids.next()
        self._profile = name
        self._written = objects.encode(value)
        self._unsettled.add(name)
        version = self._view.get_expected_version(key)
        return [actions.WriteObject(self._call, key, self._written, version)]

    def handle_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Handle the answer of a write.

        A share stays out of use until a write of its grants succeeds. A
        write whose answer was lost may still take effect, and only a newer
        version rules that out.
        """
        self._call = None
        key = make_key(self._profile)
        statuses = messages.PlatformStatus
        if answer.is_ok:
            self._unsettled.discard(self._profile)
            return [
                actions.Tell(configuration.Written(stored))
                for stored in answer.stored
            ]
        self._next_try = now + _RETRY_INTERVAL
        if answer.status is statuses.UNAVAILABLE:
            return []
        return [actions.Tell(configuration.Refresh(key))]


def _lower_grant(
    share: grants.Share, granted: int, target: int
) -> grants.Share:
    """Return the share with a new target, and less granted but never more."""
    return msgspec.structs.replace(
        share, granted=min(share.granted, granted), target=target
    )


def _get_instance_accelerators(
    members: abc.Mapping[ids.InstanceId, placement.Member],
) -> int:
    """Return the accelerators of one instance, 0 without members."""
    return max((member.accelerators for member in members.values()), default=0)


def _count_free_instances(
    ledger: domain.Domain,
    members: abc.Mapping[ids.InstanceId, placement.Member],
) -> int:
    """Return the number of healthy, staying instances in no replica."""
    return sum(
        1
        for member in members.values()
        if member.health is repair.Health.HEALTHY
        and not member.leaving
        and ledger.find_owner(member.id) is None
    )

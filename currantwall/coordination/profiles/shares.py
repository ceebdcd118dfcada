"""The holder's side of the grants: claim, use, give back.

The planner of a profile raises what a domain may hold; only the holder
of the domain lowers it, after its ledger holds less. A new holder first
claims each share by writing its epoch there, so that a late write of its
predecessor meets a newer version and fails.
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

# Between tries to write grants that meet conflicts or a platform outage.
_RETRY_INTERVAL = 0.5


def make_key(name: str) -> objects.ObjectKey:
    """Return where the grants of a profile are stored."""
    return objects.ObjectKey(objects.Kind.GRANTS.value, name)


class ShareKeeper:
    """Shares of one domain, kept by its holder."""

    def __init__(
        self,
        name: ids.DomainName,
        view: views.ObjectsView,
        numbers: calls.Calls,
        patience: float,
    ) -> None:
        self._name = name
        self._view = view
        self._numbers = numbers
        self._patience = patience
        self._call: ids.CallId | None = None
        self._profile = ""
        self._written: bytes = b""
        self._unsettled: set[str] = set()
        self._unused_since: dict[str, float] = {}
        self._next_try = 0.0

    def forget(self) -> None:
        """Drop what a former time as the holder left."""
        self._unused_since.clear()

    def owns(self, call: ids.CallId) -> bool:
        """Return whether a call is this keeper's."""
        return call == self._call

    def list_usable(self, epoch: ids.Epoch) -> dict[str, grants.Share]:
        """Return the shares that may be used under an epoch."""
        found = {}
        for name, held in self._view.grants.items():
            share = held.get(self._name)
            if share.epoch == epoch and name not in self._unsettled:
                found[name] = share
        return found

    def step(
        self,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> list[part.Action]:
        """Write the next share that has to change."""
        if self._call is not None or now < self._next_try:
            return []
        # A share that is unsettled is written whatever it says.
        for name, held in self._view.grants.items():
            share = held.get(self._name)
            wanted = self._decide(name, share, ledger, members, now)
            if wanted != share or name in self._unsettled:
                return self._write(name, held.put(wanted))
        return []

    def _decide(
        self,
        name: str,
        share: grants.Share,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> grants.Share:
        """Return the share as it should be."""
        held = ledger.count_accelerators(ids.ProfileName(name))
        if not (share.granted or share.target or held):
            return share
        claimed = msgspec.structs.replace(share, epoch=ledger.epoch)
        if share.epoch != ledger.epoch:
            return claimed
        wanted = self._view.profiles.get(name)
        if wanted is None:
            return _lower(claimed, held, 0)
        each = _count_each(members)
        need = max(held, share.target * wanted.replica_size * each)
        if self._is_unusable(wanted, share, ledger, members, now):
            staying = len(ledger.select(wanted.name))
            return _lower(claimed, held, min(share.target, staying))
        return _lower(claimed, need, share.target)

    def _is_unusable(
        self,
        wanted: profile.Profile,
        share: grants.Share,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        now: float,
    ) -> bool:
        """Return whether the domain cannot build what it was granted."""
        staying = len(ledger.select(wanted.name))
        if share.target <= staying:
            self._unused_since.pop(wanted.name, None)
            return False
        since = self._unused_since.setdefault(wanted.name, now)
        room = _count_room(ledger, members)
        if room < wanted.replica_size:
            return now >= since + self._patience / 4
        return now >= since + self._patience

    def _write(self, name: str, value: grants.Grants) -> list[part.Action]:
        key = make_key(name)
        self._call = self._numbers.next()
        self._profile = name
        self._written = objects.encode(value)
        self._unsettled.add(name)
        version = self._view.get_expected_version(key)
        return [actions.WriteObject(self._call, key, self._written, version)]

    def handle_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Take the answer of a write or of the read that settles it.

        A share stays out of use until a write on its grants succeeds: a
        lost one may still take effect, and only a newer version rules
        that out.
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


def _lower(share: grants.Share, granted: int, target: int) -> grants.Share:
    """Return the share with less granted; never with more."""
    return msgspec.structs.replace(
        share, granted=min(share.granted, granted), target=target
    )


def _count_each(
    members: abc.Mapping[ids.InstanceId, placement.Member],
) -> int:
    return max((m.accelerators for m in members.values()), default=0)


def _count_room(
    ledger: domain.Domain,
    members: abc.Mapping[ids.InstanceId, placement.Member],
) -> int:
    """Return the healthy instances that no replica owns."""
    return sum(
        1
        for member in members.values()
        if member.health is repair.Health.HEALTHY
        and not member.leaving
        and ledger.find_owner(member.id) is None
    )

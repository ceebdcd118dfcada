"""One step of the plan for one fabric domain.

`plan` takes the ledger and all that is known of the domain and returns
the ledger as it should be. It decides which replicas are formed, given
a new generation, drained or dissolved; it performs nothing. The holder
of the lease stores the result by one conditional update and only then
sends the orders that `list_orders` derives from the ledger.
"""

from collections import abc
import typing

import msgspec

from currantwall.coordination.replicas import repair
from currantwall.state import domain
from currantwall.state import grants
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import profile
from currantwall.state import settings as settings_module

__all__ = [
    "Member",
    "Policy",
    "Situation",
    "is_formed",
    "plan",
    "register_policy",
]

Phase = domain.ReplicaPhase


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """What the holder knows of one instance of the domain.

    Attributes:
        lost_for: Seconds since it was found lost.
        leaving: Whether a planned stop or the platform takes it away.
    """

    id: ids.InstanceId
    accelerators: int
    health: repair.Health
    report: instances.Report | None = None
    lost_for: float = 0.0
    leaving: bool = False

    @property
    def is_free(self) -> bool:
        """Return whether it is healthy and says it serves nothing."""
        return (
            self.health is repair.Health.HEALTHY
            and self.report is not None
            and not self.report.replica
            and not self.leaving
        )

    def runs(self, replica: domain.Replica) -> bool:
        """Return whether it reports this very generation as ready."""
        report = self.report
        return (
            self.health is repair.Health.HEALTHY
            and report is not None
            and report.replica == replica.id
            and report.generation == replica.generation
            and report.state is instances.ReportedState.READY
        )


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """All that one step of the plan rests on.

    Attributes:
        shares: What the domain may hold, by profile; only shares that
            were claimed under the holder's own epoch.
        movable: Profiles that another domain has room for.
        drained: Replicas whose drain has ended.
        settled: Whether the holder has heard enough to judge losses.
        correlated: Whether most of the domain is lost at once.
    """

    ledger: domain.Domain
    members: abc.Mapping[ids.InstanceId, Member]
    profiles: abc.Mapping[str, profile.Profile]
    shares: abc.Mapping[str, grants.Share]
    settings: settings_module.ReplicasSection
    movable: frozenset[str] = frozenset()
    drained: frozenset[ids.ReplicaId] = frozenset()
    settled: bool = True
    correlated: bool = False


class Policy(typing.Protocol):
    """How broken replicas are mended; see `register_policy`."""

    def __call__(
        self, broken: abc.Sequence[repair.BrokenReplica], situation: Situation
    ) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
        """Return the repair of each broken replica."""
        raise NotImplementedError


_POLICIES: dict[str, Policy] = {}
_T = typing.TypeVar("_T", bound=Policy)


def register_policy(name: str) -> abc.Callable[[_T], _T]:
    """Register a way of mending broken replicas under a name."""

    def add(policy: _T) -> _T:
        _POLICIES[name] = policy
        return policy

    return add


@register_policy("weighted")
def _mend_weighted(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
    """Mend at the least expected cost."""
    spares = len(list_free(situation))
    return repair.choose_repairs(broken, spares, situation.settings)


@register_policy("dissolve")
def _mend_by_dissolving(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
    """Dissolve at once and rebuild wherever there is room: the baseline."""
    return {replica.id: repair.Repair.DISSOLVE for replica in broken}


# -- Questions about the situation


def list_free(situation: Situation) -> list[Member]:
    """Return the instances that a replica can be built from."""
    owned = {
        member
        for replica in situation.ledger.replicas
        for member in replica.members
    }
    return sorted(
        (
            member
            for member in situation.members.values()
            if member.is_free and member.id not in owned
        ),
        key=lambda member: member.id,
    )


def is_formed(
    replica: domain.Replica,
    members: abc.Mapping[ids.InstanceId, Member],
) -> bool:
    """Return whether every member reports this generation as ready."""
    return all(
        member in members and members[member].runs(replica)
        for member in replica.members
    )


def is_current(replica: domain.Replica, wanted: profile.Profile) -> bool:
    """Return whether a replica is what its profile asks for."""
    return (
        replica.model == wanted.model
        and replica.model_version == wanted.model_version
        and len(replica.members) == wanted.replica_size
    )


def is_doomed(
    replica: domain.Replica,
    members: abc.Mapping[ids.InstanceId, Member],
) -> bool:
    """Return whether a planned stop takes one of its members."""
    return any(
        member in members and members[member].leaving
        for member in replica.members
    )


def list_losses(
    replica: domain.Replica, situation: Situation
) -> tuple[repair.Loss, ...]:
    """Return the lost members of a replica."""
    found = []
    for name in replica.members:
        member = situation.members.get(name)
        if member is None:
            found.append(repair.Loss(repair.Health.GONE))
        elif member.health is repair.Health.UNKNOWN:
            continue
        elif member.health is not repair.Health.HEALTHY:
            found.append(
                repair.Loss(
                    member.health,
                    member.lost_for,
                    correlated=situation.correlated,
                )
            )
        elif replica.phase is Phase.SERVING and not member.runs(replica):
            # It answers, but not as a member of this generation: it has
            # restarted and must load again.
            empty = repair.Health.EMPTY
            found.append(repair.Loss(empty, returned=True))
    return tuple(found)


# -- The plan


def plan(situation: Situation, policy: str = "weighted") -> domain.Domain:
    """Return the ledger as it should be."""
    ledger = _finish_drains(situation)
    situation = _with(situation, ledger)
    if situation.settled:
        situation = _with(situation, _mend(situation, policy))
        situation = _with(situation, _drain_surplus(situation))
        situation = _with(situation, _rework(situation))
        situation = _with(situation, _form(situation))
        situation = _with(situation, _change_adapters(situation))
    ledger = _promote(situation)
    return _note_idle(_with(situation, ledger))


def _with(situation: Situation, ledger: domain.Domain) -> Situation:
    return msgspec.structs.replace(situation, ledger=ledger)


def _finish_drains(situation: Situation) -> domain.Domain:
    """Dissolve the drained, or give them a new generation in place."""
    ledger = situation.ledger
    for replica in ledger.replicas:
        if replica.phase is not Phase.DRAINING:
            continue
        lost = list_losses(replica, situation)
        if replica.id in situation.drained or lost:
            ledger = _replace_or_remove(_with(situation, ledger), replica)
    return ledger


def _replace_or_remove(
    situation: Situation, replica: domain.Replica
) -> domain.Domain:
    ledger = situation.ledger.remove(replica.id)
    share = situation.shares.get(replica.profile)
    wanted = situation.profiles.get(replica.profile)
    if share is None or wanted is None:
        return ledger
    staying = _count_staying(ledger, replica.profile)
    if staying >= share.target:
        return ledger
    return _renew(_with(situation, ledger), replica, wanted) or ledger


def _count_staying(ledger: domain.Domain, name: ids.ProfileName) -> int:
    return sum(
        1
        for replica in ledger.select(name)
        if replica.phase is not Phase.DRAINING
    )


def _renew(
    situation: Situation,
    replica: domain.Replica,
    wanted: profile.Profile,
) -> domain.Domain | None:
    """Return the ledger with a new generation of a removed replica.

    Members that are healthy and stay keep their rank, because an engine
    holds the part of the model that belongs to it; free instances take
    the other ranks. None when there are not enough.
    """
    staying = {
        name: member
        for name in replica.members
        if (member := situation.members.get(name)) is not None
        and member.health is repair.Health.HEALTHY
        and not member.leaving
    }
    ranks = replica.members[: wanted.replica_size]
    surplus = replica.members[wanted.replica_size :]
    kept = [staying.get(name) for name in ranks]
    kept += [None] * (wanted.replica_size - len(kept))
    spare = [staying[name] for name in surplus if name in staying]
    free = [m for m in list_free(situation) if m.id not in staying]
    pool = iter(spare + free)
    chosen = [member or next(pool, None) for member in kept]
    whole = [member for member in chosen if member is not None]
    return _place(situation, replica.id, wanted, whole)


def _place(
    situation: Situation,
    name: ids.ReplicaId,
    wanted: profile.Profile,
    chosen: abc.Sequence[Member],
) -> domain.Domain | None:
    """Return the ledger with one replica formed, None if it may not be.

    The accelerators held never pass what was granted, so the bill never
    passes the profile's capacity.
    """
    ledger = situation.ledger
    share = situation.shares.get(wanted.name)
    if share is None or len(chosen) < wanted.replica_size:
        return None
    accelerators = sum(member.accelerators for member in chosen)
    held = ledger.count_accelerators(wanted.name)
    if held + accelerators > share.granted:
        return None
    generation = ids.Generation(ledger.last_generation + 1)
    replica = domain.Replica(
        id=name,
        profile=wanted.name,
        generation=generation,
        members=tuple(member.id for member in chosen),
        accelerators=accelerators,
        model=wanted.model,
        model_version=wanted.model_version,
        adapters=wanted.adapters,
    )
    placed = ledger.put(replica)
    return msgspec.structs.replace(placed, last_generation=generation)


# -- Mending


def _mend(situation: Situation, policy: str) -> domain.Domain:
    broken = [
        one
        for replica in situation.ledger.replicas
        if (one := _describe(replica, situation)) is not None
    ]
    if not broken or any(_is_fresh(one, situation) for one in broken):
        return situation.ledger
    broken = _note_replaceable(broken, situation)
    repairs = _POLICIES[policy](broken, situation)
    ledger = situation.ledger
    renewed = []
    for name, chosen in repairs.items():
        replica = situation.ledger.get(name)
        if replica is None or chosen is repair.Repair.WAIT:
            continue
        ledger = ledger.remove(name)
        if chosen is repair.Repair.REPLACE:
            renewed.append(replica)
    # The worst deficit first: it gets the spares and the next load.
    renewed.sort(key=lambda replica: _urgency(replica.profile, situation))
    for replica in renewed:
        ledger = _mend_one(_with(situation, ledger), replica)
    return ledger


def _mend_one(situation: Situation, replica: domain.Replica) -> domain.Domain:
    wanted = situation.profiles.get(replica.profile)
    if wanted is None:
        return situation.ledger
    mended = _renew(situation, replica, wanted)
    return mended or situation.ledger.put(replica)


def _describe(
    replica: domain.Replica, situation: Situation
) -> repair.BrokenReplica | None:
    """Return what is broken of a replica, None if it is whole."""
    if replica.phase is Phase.DRAINING:
        return None
    losses = list_losses(replica, situation)
    if not losses:
        return None
    wanted = situation.profiles.get(replica.profile)
    return repair.BrokenReplica(
        id=replica.id,
        healthy=len(replica.members) - len(losses),
        losses=losses,
        accelerators=replica.accelerators // len(replica.members),
        downtime_weight=wanted.downtime_weight if wanted else 0.0,
        stranded_weight=wanted.stranded_weight if wanted else 1.0,
        movable=replica.profile in situation.movable,
    )


def _is_fresh(broken: repair.BrokenReplica, situation: Situation) -> bool:
    """Return whether a loss is too new to be judged.

    Failure: a whole domain goes dark, its instances are missed one after
    the other, and a replica is taken apart to mend another that is lost
    in the next moment.
    """
    return any(
        loss.health is repair.Health.SILENT
        and loss.seconds < situation.settings.sighting_interval
        for loss in broken.losses
    )


def _note_replaceable(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> list[repair.BrokenReplica]:
    """Note for which replicas free instances could be had later.

    The healthy members of other broken replicas count: those could be
    dissolved.
    """
    free = len(list_free(situation))
    healthy = sum(one.healthy for one in broken)
    return [
        msgspec.structs.replace(
            one, replaceable=free + healthy - one.healthy >= one.missing
        )
        for one in broken
    ]


def _urgency(name: str, situation: Situation) -> tuple[int, float, str]:
    """Return a sort key: class of service, then share still serving."""
    wanted = situation.profiles.get(name)
    if wanted is None:
        return (99, 0.0, name)
    serving = sum(
        1
        for replica in situation.ledger.select(wanted.name)
        if replica.phase is Phase.SERVING
    )
    share = situation.shares.get(name)
    target = share.target if share else 0
    return (wanted.service_class.order, serving / max(target, 1), name)


# -- Fewer, other, more


def _drain_surplus(situation: Situation) -> domain.Domain:
    ledger = situation.ledger
    for name in sorted({held.profile for held in ledger.replicas}):
        share = situation.shares.get(name)
        gone = name not in situation.profiles
        if share is None and not gone:
            continue
        target = 0 if gone or share is None else share.target
        ledger = _drain_to(_with(situation, ledger), name, target)
    return ledger


def _drain_to(
    situation: Situation, name: ids.ProfileName, target: int
) -> domain.Domain:
    ledger = situation.ledger
    staying = [
        replica
        for replica in ledger.select(name)
        if replica.phase is not Phase.DRAINING
    ]
    staying.sort(key=lambda replica: _worth(replica, situation))
    for replica in staying[: max(0, len(staying) - target)]:
        if replica.phase is Phase.FORMING:
            ledger = ledger.remove(replica.id)
        else:
            ledger = ledger.put(replica.enter(Phase.DRAINING))
    return ledger


def _worth(
    replica: domain.Replica, situation: Situation
) -> tuple[bool, bool, bool, str]:
    """Return a sort key: what is given up first comes first."""
    wanted = situation.profiles.get(replica.profile)
    return (
        replica.phase is Phase.SERVING,
        not is_doomed(replica, situation.members),
        wanted is not None and is_current(replica, wanted),
        replica.id,
    )


def _rework(situation: Situation) -> domain.Domain:
    """Drain outdated or doomed replicas, as many as the shares allow."""
    ledger = situation.ledger
    for name, share in sorted(situation.shares.items()):
        wanted = situation.profiles.get(name)
        if wanted is None or not share.rework:
            continue
        held = ledger.select(wanted.name)
        busy = sum(1 for one in held if one.phase is not Phase.SERVING)
        due = [
            replica
            for replica in held
            if replica.phase is Phase.SERVING
            and (
                not is_current(replica, wanted)
                or is_doomed(replica, situation.members)
            )
        ]
        for replica in due[: max(0, share.rework - busy)]:
            ledger = ledger.put(replica.enter(Phase.DRAINING))
    return ledger


def _form(situation: Situation) -> domain.Domain:
    """Form replicas where the target is not met, most urgent first."""
    ledger = situation.ledger
    names = sorted(
        situation.shares, key=lambda name: _urgency(name, situation)
    )
    for name in names:
        wanted = situation.profiles.get(name)
        if wanted is not None:
            ledger = _form_profile(_with(situation, ledger), wanted)
    return ledger


def _form_profile(
    situation: Situation, wanted: profile.Profile
) -> domain.Domain:
    ledger = situation.ledger
    target = situation.shares[wanted.name].target
    while (
        _count_staying(ledger, wanted.name) < target
        and _count_loads(ledger) < situation.settings.loads
    ):
        current = _with(situation, ledger)
        chosen = list_free(current)[: wanted.replica_size]
        generation = ledger.last_generation + 1
        name = ids.ReplicaId(f"{wanted.name}-{ledger.name}-{generation}")
        placed = _place(current, name, wanted, chosen)
        if placed is None:
            break
        ledger = placed
    return ledger


def _count_loads(ledger: domain.Domain) -> int:
    return sum(
        1 for replica in ledger.replicas if replica.phase is Phase.FORMING
    )


def _change_adapters(situation: Situation) -> domain.Domain:
    """Write down the adapters that serving replicas shall load.

    Engines load them beside the model that runs: no new generation, and
    no gap in service.
    """
    ledger = situation.ledger
    for replica in ledger.replicas:
        wanted = situation.profiles.get(replica.profile)
        if wanted is None or replica.adapters == wanted.adapters:
            continue
        if replica.phase is Phase.SERVING and is_current(replica, wanted):
            changed = msgspec.structs.replace(
                replica, adapters=wanted.adapters
            )
            ledger = ledger.put(changed)
    return ledger


def _promote(situation: Situation) -> domain.Domain:
    """Let the formed serve: every member has reported this generation."""
    ledger = situation.ledger
    for replica in ledger.replicas:
        if replica.phase is not Phase.FORMING:
            continue
        if is_formed(replica, situation.members):
            ledger = ledger.put(replica.enter(Phase.SERVING))
    return ledger


def _note_idle(situation: Situation) -> domain.Domain:
    """Write down how many instances a new replica could take.

    The number changes the ledger for all nodes, so it is left alone
    while the holder has not heard enough.
    """
    ledger = situation.ledger
    if not situation.settled:
        return ledger
    free = len(list_free(situation)) - situation.settings.spares
    return msgspec.structs.replace(ledger, idle=max(0, free))

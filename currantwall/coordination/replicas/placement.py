"""One planning step for one fabric domain.

`plan` takes the ledger and the known state of the domain and returns the
next ledger. It decides which replicas are formed, given a new generation,
drained or dissolved, and has no side effects. The holder of the lease
stores the result by one conditional update and only then sends the
orders that `orders.Orders.list_due` derives from the stored ledger.
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
        lost_seconds: Seconds since the loss was detected, 0 if not lost.
        leaving: Whether a planned stop covers it or the platform removes
            it.
    """

    id: ids.InstanceId
    accelerators: int
    health: repair.Health
    report: instances.Report | None = None
    lost_seconds: float = 0.0
    leaving: bool = False

    @property
    def is_free(self) -> bool:
        """Return whether it is healthy, stays and reports no replica."""
        return (
            self.health is repair.Health.HEALTHY
            and self.report is not None
            and not self.report.replica
            and not self.leaving
        )

    def runs(self, replica: domain.Replica) -> bool:
        """Return whether it reports this generation as ready."""
        report = self.report
        return (
            self.health is repair.Health.HEALTHY
            and report is not None
            and report.replica == replica.id
            and report.generation == replica.generation
            and report.state is instances.ReportedState.READY
        )


class Situation(msgspec.Struct, frozen=True, kw_only=True):
    """The input of one planning step.

    Attributes:
        shares: What the domain may hold, by profile. Contains only
            shares that were claimed under the holder's own epoch.
        movable: Profiles for which another domain has enough idle
            instances.
        drained: Replicas whose drain has ended.
        stable: Whether the reports are complete and steady enough to
            judge losses.
        correlated: Whether most instances of the domain are silent at the
            same time.
    """

    ledger: domain.Domain
    members: abc.Mapping[ids.InstanceId, Member]
    profiles: abc.Mapping[str, profile.Profile]
    shares: abc.Mapping[str, grants.Share]
    settings: settings_module.ReplicasSection
    movable: frozenset[str] = frozenset()
    drained: frozenset[ids.ReplicaId] = frozenset()
    stable: bool = True
    correlated: bool = False


class Policy(typing.Protocol):
    """Chooses repairs of broken replicas; see `register_policy`."""

    def __call__(
        self, broken: abc.Sequence[repair.BrokenReplica], situation: Situation
    ) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
        """Return the repair of each broken replica."""
        raise NotImplementedError


_POLICIES: dict[str, Policy] = {}
_T = typing.TypeVar("_T", bound=Policy)


def register_policy(name: str) -> abc.Callable[[_T], _T]:
    """Register a repair policy under a name."""

    def add(policy: _T) -> _T:
        _POLICIES[name] = policy
        return policy

    return add


@register_policy("weighted")
def _repair_at_least_cost(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
    """Choose the repairs with the least expected cost."""
    spares = len(list_free(situation))
    return repair.choose_repairs(broken, spares, situation.settings)


@register_policy("dissolve")
def _repair_by_dissolving(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> abc.Mapping[ids.ReplicaId, repair.Repair]:
    """Dissolve every broken replica at once; the baseline in comparisons.

    The replicas are formed again in any domain that has room.
    """
    return {replica.id: repair.Repair.DISSOLVE for replica in broken}


# -- Queries


def list_free(situation: Situation) -> list[Member]:
    """Return the free instances that no replica owns, sorted by id."""
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
    """Return whether model, version and size match the profile."""
    return (
        replica.model == wanted.model
        and replica.model_version == wanted.model_version
        and len(replica.members) == wanted.replica_size
    )


def has_leaving_member(
    replica: domain.Replica,
    members: abc.Mapping[ids.InstanceId, Member],
) -> bool:
    """Return whether a member is about to be stopped or removed."""
    return any(
        member in members and members[member].leaving
        for member in replica.members
    )


def list_losses(
    replica: domain.Replica, situation: Situation
) -> tuple[repair.Loss, ...]:
    """Return the lost members of a replica."""
    losses = []
    for instance in replica.members:
        member = situation.members.get(instance)
        if member is None:
            losses.append(repair.Loss(repair.Health.GONE))
        elif member.health is repair.Health.UNKNOWN:
            continue
        elif member.health is not repair.Health.HEALTHY:
            losses.append(
                repair.Loss(
                    member.health,
                    member.lost_seconds,
                    correlated=situation.correlated,
                )
            )
        elif replica.phase is Phase.SERVING and not member.runs(replica):
            # It answers, but does not report this generation as ready:
            # it has restarted and must load the model again.
            empty = repair.Health.EMPTY
            losses.append(repair.Loss(empty, returned=True))
    return tuple(losses)


# -- Planning


def plan(situation: Situation, policy: str = "weighted") -> domain.Domain:
    """Return the next ledger.

    Args:
        situation: The current ledger and the state of the domain.
        policy: Name of a registered repair policy.
    """
    ledger = _finish_drains(situation)
    situation = _replace_ledger(situation, ledger)
    if situation.stable:
        situation = _replace_ledger(
            situation, _repair_broken_replicas(situation, policy)
        )
        situation = _replace_ledger(situation, _drain_surplus(situation))
        situation = _replace_ledger(situation, _drain_outdated(situation))
        situation = _replace_ledger(
            situation, _form_missing_replicas(situation)
        )
        situation = _replace_ledger(situation, _change_adapters(situation))
    ledger = _promote_formed(situation)
    return _update_idle(_replace_ledger(situation, ledger))


def _replace_ledger(situation: Situation, ledger: domain.Domain) -> Situation:
    return msgspec.structs.replace(situation, ledger=ledger)


def _finish_drains(situation: Situation) -> domain.Domain:
    """Dissolve or renew replicas whose drain ended or that lost a member."""
    ledger = situation.ledger
    for replica in ledger.replicas:
        if replica.phase is not Phase.DRAINING:
            continue
        lost = list_losses(replica, situation)
        if replica.id in situation.drained or lost:
            ledger = _renew_or_remove(
                _replace_ledger(situation, ledger), replica
            )
    return ledger


def _renew_or_remove(
    situation: Situation, replica: domain.Replica
) -> domain.Domain:
    ledger = situation.ledger.remove(replica.id)
    share = situation.shares.get(replica.profile)
    wanted = situation.profiles.get(replica.profile)
    if share is None or wanted is None:
        return ledger
    remaining = _count_not_draining(ledger, replica.profile)
    if remaining >= share.target:
        return ledger
    return (
        _form_next_generation(
            _replace_ledger(situation, ledger), replica, wanted
        )
        or ledger
    )


def _count_not_draining(ledger: domain.Domain, name: ids.ProfileName) -> int:
    return sum(
        1
        for replica in ledger.select(name)
        if replica.phase is not Phase.DRAINING
    )


def _form_next_generation(
    situation: Situation,
    replica: domain.Replica,
    wanted: profile.Profile,
) -> domain.Domain | None:
    """Return the ledger with a new generation of a removed replica.

    Healthy members that are not leaving keep their rank, because an
    engine holds the part of the model that belongs to its rank. Free
    instances take the other ranks. Returns None if there are too few.
    """
    healthy = {
        instance: member
        for instance in replica.members
        if (member := situation.members.get(instance)) is not None
        and member.health is repair.Health.HEALTHY
        and not member.leaving
    }
    by_rank = replica.members[: wanted.replica_size]
    surplus = replica.members[wanted.replica_size :]
    kept = [healthy.get(instance) for instance in by_rank]
    kept += [None] * (wanted.replica_size - len(kept))
    spare = [healthy[instance] for instance in surplus if instance in healthy]
    free = [m for m in list_free(situation) if m.id not in healthy]
    pool = iter(spare + free)
    chosen = [member or next(pool, None) for member in kept]
    members = [member for member in chosen if member is not None]
    return _form_replica(situation, replica.id, wanted, members)


def _form_replica(
    situation: Situation,
    replica_id: ids.ReplicaId,
    wanted: profile.Profile,
    chosen: abc.Sequence[Member],
) -> domain.Domain | None:
    """Return the ledger with one replica formed, None if it may not be.

    The accelerators held never exceed what was granted, so the profile
    is never billed for more than its capacity.
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
        id=replica_id,
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


# -- Repairs


def _repair_broken_replicas(
    situation: Situation, policy: str
) -> domain.Domain:
    broken = [
        described
        for replica in situation.ledger.replicas
        if (described := _describe_if_broken(replica, situation)) is not None
    ]
    if not broken or any(
        _has_recent_loss(described, situation) for described in broken
    ):
        return situation.ledger
    broken = _mark_replaceable(broken, situation)
    repairs = _POLICIES[policy](broken, situation)
    ledger = situation.ledger
    renewed = []
    for replica_id, choice in repairs.items():
        replica = situation.ledger.get(replica_id)
        if replica is None or choice is repair.Repair.WAIT:
            continue
        ledger = ledger.remove(replica_id)
        if choice is repair.Repair.REPLACE:
            renewed.append(replica)
    # The most urgent profile first, as it gets the free instances and the
    # next load.
    renewed.sort(
        key=lambda replica: _get_urgency_key(replica.profile, situation)
    )
    for replica in renewed:
        ledger = _renew_or_keep(_replace_ledger(situation, ledger), replica)
    return ledger


def _renew_or_keep(
    situation: Situation, replica: domain.Replica
) -> domain.Domain:
    wanted = situation.profiles.get(replica.profile)
    if wanted is None:
        return situation.ledger
    renewed = _form_next_generation(situation, replica, wanted)
    return renewed or situation.ledger.put(replica)


def _describe_if_broken(
    replica: domain.Replica, situation: Situation
) -> repair.BrokenReplica | None:
    """Return the losses of a replica, None if it has none or drains."""
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


def _has_recent_loss(
    broken: repair.BrokenReplica, situation: Situation
) -> bool:
    """Return whether a loss is too recent to be judged.

    Failure: a whole domain becomes unreachable, its instances are found
    silent one after the other, and a replica is dissolved to repair
    another one that is found lost a moment later.
    """
    return any(
        loss.health is repair.Health.SILENT
        and loss.seconds < situation.settings.sighting_interval
        for loss in broken.losses
    )


def _mark_replaceable(
    broken: abc.Sequence[repair.BrokenReplica], situation: Situation
) -> list[repair.BrokenReplica]:
    """Set `replaceable` of each broken replica.

    The healthy members of other broken replicas count as available,
    since those replicas could be dissolved.
    """
    free = len(list_free(situation))
    healthy = sum(replica.healthy for replica in broken)
    return [
        msgspec.structs.replace(
            replica,
            replaceable=free + healthy - replica.healthy >= replica.missing,
        )
        for replica in broken
    ]


def _get_urgency_key(
    name: str, situation: Situation
) -> tuple[int, float, str]:
    """Return a sort key, the most urgent profile first.

    Profiles are sorted by service class, then by the fraction of their
    target that serves.
    """
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


# -- Draining and forming


def _drain_surplus(situation: Situation) -> domain.Domain:
    ledger = situation.ledger
    for name in sorted({replica.profile for replica in ledger.replicas}):
        share = situation.shares.get(name)
        removed = name not in situation.profiles
        if share is None and not removed:
            continue
        target = 0 if removed or share is None else share.target
        ledger = _drain_to_target(
            _replace_ledger(situation, ledger), name, target
        )
    return ledger


def _drain_to_target(
    situation: Situation, name: ids.ProfileName, target: int
) -> domain.Domain:
    ledger = situation.ledger
    not_draining = [
        replica
        for replica in ledger.select(name)
        if replica.phase is not Phase.DRAINING
    ]
    not_draining.sort(key=lambda replica: _get_drain_key(replica, situation))
    for replica in not_draining[: max(0, len(not_draining) - target)]:
        if replica.phase is Phase.FORMING:
            ledger = ledger.remove(replica.id)
        else:
            ledger = ledger.put(replica.enter(Phase.DRAINING))
    return ledger


def _get_drain_key(
    replica: domain.Replica, situation: Situation
) -> tuple[bool, bool, bool, str]:
    """Return a sort key, the replica to give up first in front.

    Replicas that do not serve come first, then those with a leaving
    member, then those that do not match their profile.
    """
    wanted = situation.profiles.get(replica.profile)
    return (
        replica.phase is Phase.SERVING,
        not has_leaving_member(replica, situation.members),
        wanted is not None and is_current(replica, wanted),
        replica.id,
    )


def _drain_outdated(situation: Situation) -> domain.Domain:
    """Drain replicas that are outdated or have a leaving member.

    Each share limits how many replicas of its profile may be out of
    service for it.
    """
    ledger = situation.ledger
    for name, share in sorted(situation.shares.items()):
        wanted = situation.profiles.get(name)
        if wanted is None or not share.rework:
            continue
        replicas = ledger.select(wanted.name)
        not_serving = sum(
            1 for replica in replicas if replica.phase is not Phase.SERVING
        )
        outdated = [
            replica
            for replica in replicas
            if replica.phase is Phase.SERVING
            and (
                not is_current(replica, wanted)
                or has_leaving_member(replica, situation.members)
            )
        ]
        for replica in outdated[: max(0, share.rework - not_serving)]:
            ledger = ledger.put(replica.enter(Phase.DRAINING))
    return ledger


def _form_missing_replicas(situation: Situation) -> domain.Domain:
    """Form replicas below their target, the most urgent profile first."""
    ledger = situation.ledger
    names = sorted(
        situation.shares, key=lambda name: _get_urgency_key(name, situation)
    )
    for name in names:
        wanted = situation.profiles.get(name)
        if wanted is not None:
            ledger = _form_profile(_replace_ledger(situation, ledger), wanted)
    return ledger


def _form_profile(
    situation: Situation, wanted: profile.Profile
) -> domain.Domain:
    ledger = situation.ledger
    target = situation.shares[wanted.name].target
    while (
        _count_not_draining(ledger, wanted.name) < target
        and _count_forming(ledger) < situation.settings.loads
    ):
        current = _replace_ledger(situation, ledger)
        chosen = list_free(current)[: wanted.replica_size]
        generation = ledger.last_generation + 1
        replica_id = ids.ReplicaId(f"{wanted.name}-{ledger.name}-{generation}")
        placed = _form_replica(current, replica_id, wanted, chosen)
        if placed is None:
            break
        ledger = placed
    return ledger


def _count_forming(ledger: domain.Domain) -> int:
    return sum(
        1 for replica in ledger.replicas if replica.phase is Phase.FORMING
    )


def _change_adapters(situation: Situation) -> domain.Domain:
    """Record the adapters that serving replicas should load.

    Engines load adapters while the model runs, so this needs no new
    generation and does not interrupt service.
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


def _promote_formed(situation: Situation) -> domain.Domain:
    """Set replicas to serving once all members report their generation."""
    ledger = situation.ledger
    for replica in ledger.replicas:
        if replica.phase is not Phase.FORMING:
            continue
        if is_formed(replica, situation.members):
            ledger = ledger.put(replica.enter(Phase.SERVING))
    return ledger


def _update_idle(situation: Situation) -> domain.Domain:
    """Record how many instances a new replica could use.

    Each change of this number is sent to all nodes, so it stays as it is
    until the reports are stable.
    """
    ledger = situation.ledger
    if not situation.stable:
        return ledger
    free = len(list_free(situation)) - situation.settings.spares
    return msgspec.structs.replace(ledger, idle=max(0, free))

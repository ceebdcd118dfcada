"""Choosing repairs for the broken replicas of one domain.

A broken replica can wait for its lost members, replace them by free
instances, or be dissolved, so that its healthy members become free for
another replica of this domain or of another one. The repairs of all
broken replicas of the domain are chosen together. The cost of a
combination is the expected downtime of the replicas plus the time that
accelerators stand idle over a horizon, with the weights of the profiles.

The choices affect each other only through the number of free instances.
Dynamic programming over the replicas, with one state for each number of
free instances, therefore finds the cheapest combination exactly.
"""

from collections import abc
import enum
import math

import msgspec

from currantwall.state import ids
from currantwall.state import settings as settings_module

__all__ = [
    "BrokenReplica",
    "Health",
    "Loss",
    "Repair",
    "choose_repairs",
    "estimate_cost",
    "estimate_return_time",
]


# Limits on the wait for silent members that are compared, as multiples of
# the mean pause.
_WAIT_LIMITS = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0)


class Health(enum.Enum):
    """Condition of an instance as far as its domain's holder knows."""

    HEALTHY = "healthy"
    # No answer: paused, unreachable or dead.
    SILENT = "silent"
    # The process ended or restarted without its model: it must load it again.
    EMPTY = "empty"
    # No longer in the platform's list of instances.
    GONE = "gone"
    # Not reported since this node became the holder.
    UNKNOWN = "unknown"


class Loss(msgspec.Struct, frozen=True):
    """One lost member of a replica.

    Attributes:
        seconds: Seconds since the loss was detected.
        returned: Whether the instance answers again, without its model.
        correlated: Whether most instances of the domain are silent at the
            same time.
    """

    health: Health
    seconds: float = 0.0
    returned: bool = False
    correlated: bool = False


class BrokenReplica(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that cannot serve because members are lost.

    Attributes:
        healthy: Number of healthy members.
        accelerators: Accelerators of one instance.
        movable: Whether another domain has enough idle instances for it.
        replaceable: Whether the domain can provide a free instance for
            every lost member if waiting for them fails.
    """

    id: ids.ReplicaId
    healthy: int
    losses: tuple[Loss, ...]
    accelerators: int
    downtime_weight: float
    stranded_weight: float
    movable: bool = False
    replaceable: bool = False

    @property
    def missing(self) -> int:
        """Return the number of members that need a replacement.

        A member that has returned without its model needs none: it loads
        the model again in a new generation of the replica.
        """
        return sum(1 for loss in self.losses if not loss.returned)

    @property
    def size(self) -> int:
        """Return the number of members, lost ones included."""
        return self.healthy + len(self.losses)


class Repair(enum.Enum):
    """Ways to handle a broken replica."""

    WAIT = "wait"
    REPLACE = "replace"
    DISSOLVE = "dissolve"


def estimate_pause_probability(
    loss: Loss, settings: settings_module.ReplicasSection
) -> float:
    """Return the probability that a silent member is only paused.

    The longer the silence, the less likely a pause. The length of a pause
    is taken as exponentially distributed, so the weight of a pause falls
    by exp(-t / mean).
    """
    if loss.correlated:
        # Most of the domain became silent together, so the cause is the
        # network or the power, and the instances that return still have
        # their state.
        return settings.pause_share
    decay = math.exp(-loss.seconds / settings.pause_time)
    still_paused = settings.pause_share * decay
    return still_paused / (still_paused + 1.0 - settings.pause_share + 1e-9)


def estimate_return_time(
    loss: Loss, settings: settings_module.ReplicasSection
) -> float:
    """Return the expected seconds until a lost member serves again.

    A silent member is paused or dead; members lost in other ways must
    load the model again.
    """
    load = settings.load_time
    dead = settings.replace_time + load
    if loss.returned:
        return load
    if loss.health is Health.GONE:
        return dead
    if loss.health is Health.EMPTY:
        remaining = settings.restart_time - loss.seconds
        overdue = -remaining if remaining < 0 else 0.0
        return max(remaining, overdue) + load
    pause_probability = estimate_pause_probability(loss, settings)
    return (
        pause_probability * settings.pause_time
        + (1.0 - pause_probability) * dead
    )


def estimate_waiting_downtime(
    broken: BrokenReplica, settings: settings_module.ReplicasSection
) -> float:
    """Return the expected seconds of downtime if the replica waits.

    The wait can have a timeout: if the domain has free instances or
    another domain has room, the replica is repaired that way once the
    timeout expires. The timeout with the least expected downtime is
    used. A pause shorter than the timeout needs no repair; if a member
    is dead, the timeout adds to the downtime.
    """
    times = [estimate_return_time(loss, settings) for loss in broken.losses]
    full_wait = max(times, default=0.0)
    silent = all(
        loss.health is Health.SILENT and not loss.returned
        for loss in broken.losses
    )
    fallback = min(
        settings.load_time if broken.replaceable else math.inf,
        settings.move_time if broken.movable else math.inf,
    )
    if not silent or math.isinf(fallback):
        return full_wait
    pause_probability = min(
        (estimate_pause_probability(loss, settings) for loss in broken.losses),
        default=1.0,
    )
    mean_pause = settings.pause_time
    best = full_wait
    for ratio in _WAIT_LIMITS:
        limit = ratio * mean_pause
        exceed_probability = math.exp(-ratio)
        return_probability = pause_probability * (1.0 - exceed_probability)
        pause_downtime = pause_probability * (
            mean_pause * (1.0 - exceed_probability)
            - limit * exceed_probability
        )
        fallback_downtime = (1.0 - return_probability) * (limit + fallback)
        best = min(best, pause_downtime + fallback_downtime)
    return best


def estimate_cost(
    broken: BrokenReplica,
    repair: Repair,
    settings: settings_module.ReplicasSection,
) -> float:
    """Return the expected cost of one repair over the horizon.

    The unit is seconds, weighted by the profile: downtime by
    `downtime_weight`, idle time of each accelerator by `stranded_weight`.
    """
    horizon = settings.horizon
    if repair is Repair.WAIT and not broken.missing:
        # All lost members have returned and need a new generation to load
        # in; waiting changes nothing.
        down = horizon
        idle = broken.size * down
    elif repair is Repair.WAIT:
        down = min(estimate_waiting_downtime(broken, settings), horizon)
        idle = broken.healthy * down
    elif repair is Repair.REPLACE:
        down = min(settings.load_time, horizon)
        idle = broken.size * down
    else:
        move_downtime = settings.move_time if broken.movable else horizon
        down = min(move_downtime, horizon)
        # The released members are counted by `estimate_pool_cost`. A
        # replica that moves uses as many idle instances elsewhere, which
        # is credited here.
        idle = -broken.size * (horizon - down) if broken.movable else 0.0
    stranded = idle * broken.accelerators * broken.stranded_weight
    return broken.downtime_weight * down + stranded


def estimate_pool_cost(
    free: int,
    broken: abc.Sequence[BrokenReplica],
    settings: settings_module.ReplicasSection,
) -> float:
    """Return the cost of instances that stay free over the horizon.

    Args:
        free: Number of free instances.
        broken: The broken replicas; the highest weight among them counts.
        settings: The horizon.
    """
    unit_cost = max(
        (replica.accelerators * replica.stranded_weight for replica in broken),
        default=0.0,
    )
    return free * unit_cost * settings.horizon


def _count_pool_change(broken: BrokenReplica, repair: Repair) -> int:
    """Return by how much a repair changes the number of free instances."""
    if repair is Repair.REPLACE:
        return -broken.missing
    if repair is Repair.DISSOLVE:
        return broken.size - broken.missing
    return 0


class _Combination(msgspec.Struct, frozen=True):
    """The cheapest repairs that leave one number of free instances."""

    cost: float
    repairs: tuple[Repair, ...]


def choose_repairs(
    broken: abc.Sequence[BrokenReplica],
    spares: int,
    settings: settings_module.ReplicasSection,
) -> dict[ids.ReplicaId, Repair]:
    """Return the repairs with the least expected cost in total.

    Args:
        broken: The broken replicas of one domain.
        spares: Free healthy instances of the domain.
        settings: Expected times, in seconds.
    """
    combinations = {spares: _Combination(0.0, ())}
    for replica in broken:
        combinations = _add_replica(combinations, replica, settings)
    best: tuple[float, tuple[Repair, ...]] | None = None
    for free, combination in sorted(combinations.items()):
        if free < 0:
            continue
        total = combination.cost + estimate_pool_cost(free, broken, settings)
        if best is None or total < best[0]:
            best = (total, combination.repairs)
    chosen = best[1] if best else ()
    return {
        replica.id: repair
        for replica, repair in zip(broken, chosen, strict=True)
    }


def _add_replica(
    combinations: dict[int, _Combination],
    broken: BrokenReplica,
    settings: settings_module.ReplicasSection,
) -> dict[int, _Combination]:
    """Return the cheapest combinations with one more replica repaired."""
    cheapest: dict[int, _Combination] = {}
    for repair in Repair:
        cost = estimate_cost(broken, repair, settings)
        change = _count_pool_change(broken, repair)
        for free, combination in combinations.items():
            total = combination.cost + cost
            known = cheapest.get(free + change)
            if known is None or total < known.cost:
                repairs = (*combination.repairs, repair)
                cheapest[free + change] = _Combination(total, repairs)
    return cheapest

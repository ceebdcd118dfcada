"""What to do about broken replicas of one domain.

A broken replica can wait for its lost members, take spares in their
place, or be dissolved so that its healthy members serve as spares for
another one or for a replica elsewhere. The three are weighed together
for all broken replicas of the domain, by expected group downtime and
stranded accelerators over a horizon, with the weights of the profiles.

The only thing the choices share is the pool of free instances, a number;
so the cheapest combination is found exactly by running over the replicas
once for each size of the pool.
"""

from collections import abc
import enum
import math

import msgspec

from currantwall.state import ids
from currantwall.state import settings as settings_module

__all__ = [
    "Broken",
    "Health",
    "Loss",
    "Repair",
    "choose_repairs",
    "estimate_return",
    "weigh",
]


# How long to wait for silent members, in mean pauses; tried in turn.
_PATIENCE_STEPS = (0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0, 6.0)


class Health(enum.Enum):
    """What is known of an instance."""

    HEALTHY = "healthy"
    # No answer: paused, cut off, or dead.
    SILENT = "silent"
    # The process is gone or came back empty: it must load again.
    EMPTY = "empty"
    # Off the platform's list.
    GONE = "gone"
    # Nothing heard yet.
    UNKNOWN = "unknown"


class Loss(msgspec.Struct, frozen=True):
    """One lost member.

    Attributes:
        seconds: Time since it was found lost.
        returned: Whether the instance is back, empty.
        correlated: Whether most of the domain was lost with it.
    """

    health: Health
    seconds: float = 0.0
    returned: bool = False
    correlated: bool = False


class Broken(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that cannot serve.

    Attributes:
        healthy: Members that are still there.
        accelerators: Accelerators of one instance.
        movable: Whether another domain has room for it.
        replaceable: Whether the domain has a free instance for every
            lost member, should waiting turn out to be in vain.
    """

    replica: ids.ReplicaId
    healthy: int
    losses: tuple[Loss, ...]
    accelerators: int
    downtime_weight: float
    stranded_weight: float
    movable: bool = False
    replaceable: bool = False

    @property
    def missing(self) -> int:
        """Return the members that a spare must take the place of.

        One that is back but empty needs no spare, only a new generation.
        """
        return sum(1 for loss in self.losses if not loss.returned)

    @property
    def size(self) -> int:
        """Return the members of the replica, lost ones included."""
        return self.healthy + len(self.losses)


class Repair(enum.Enum):
    """What is done about a broken replica."""

    WAIT = "wait"
    REPLACE = "replace"
    DISSOLVE = "dissolve"


def estimate_pause_odds(
    loss: Loss, settings: settings_module.ReplicasSection
) -> float:
    """Return the probability that a silent member is only paused.

    The longer the silence, the less likely a pause: with pauses
    exponential in length, the odds fall by exp(-t / mean).
    """
    if loss.correlated:
        # Most of the domain fell silent together: it is the network, or
        # the power, and what comes back comes back as it was.
        return settings.pause_share
    fading = math.exp(-loss.seconds / settings.pause_time)
    paused = settings.pause_share * fading
    return paused / (paused + 1.0 - settings.pause_share + 1e-9)


def estimate_return(
    loss: Loss, settings: settings_module.ReplicasSection
) -> float:
    """Return the expected seconds until a lost member serves again.

    A silent member is paused or dead; others must load again.
    """
    load = settings.load_time
    dead = settings.replace_time + load
    if loss.returned:
        return load
    if loss.health is Health.GONE:
        return dead
    if loss.health is Health.EMPTY:
        left = settings.restart_time - loss.seconds
        late = -left if left < 0 else 0.0
        return max(left, late) + load
    odds = estimate_pause_odds(loss, settings)
    return odds * settings.pause_time + (1.0 - odds) * dead


def estimate_wait(
    broken: Broken, settings: settings_module.ReplicasSection
) -> float:
    """Return the expected seconds without service while waiting.

    Waiting need not be for ever. Where free instances stand ready, or
    another domain has room, the replica is mended that way after the
    time that makes the expectation least; a short pause is then waited
    out, a death costs that time more.
    """
    times = [estimate_return(loss, settings) for loss in broken.losses]
    patient = max(times, default=0.0)
    silent = all(
        loss.health is Health.SILENT and not loss.returned
        for loss in broken.losses
    )
    fallback = min(
        settings.load_time if broken.replaceable else math.inf,
        settings.move_time if broken.movable else math.inf,
    )
    if not silent or math.isinf(fallback):
        return patient
    odds = min(
        (estimate_pause_odds(loss, settings) for loss in broken.losses),
        default=1.0,
    )
    mean = settings.pause_time
    best = patient
    for step in _PATIENCE_STEPS:
        limit = step * mean
        over = math.exp(-step)
        returned = odds * (1.0 - over)
        within = odds * (mean * (1.0 - over) - limit * over)
        late = (1.0 - returned) * (limit + fallback)
        best = min(best, within + late)
    return best


def weigh(
    broken: Broken,
    repair: Repair,
    settings: settings_module.ReplicasSection,
) -> float:
    """Return the expected cost of one repair over the horizon."""
    horizon = settings.horizon
    if repair is Repair.WAIT and not broken.missing:
        # Nobody is awaited: the members are back and must load.
        down = horizon
        idle = broken.size * down
    elif repair is Repair.WAIT:
        down = min(estimate_wait(broken, settings), horizon)
        idle = broken.healthy * down
    elif repair is Repair.REPLACE:
        down = min(settings.load_time, horizon)
        idle = broken.size * down
    else:
        away = settings.move_time if broken.movable else horizon
        down = min(away, horizon)
        # Its members count in the pool; where it moves to, as many stop
        # being idle.
        idle = -broken.size * (horizon - down) if broken.movable else 0.0
    stranded = idle * broken.accelerators * broken.stranded_weight
    return broken.downtime_weight * down + stranded


def weigh_pool(
    left: int,
    broken: abc.Sequence[Broken],
    settings: settings_module.ReplicasSection,
) -> float:
    """Return the cost of instances that stay free over the horizon."""
    each = max(
        (one.accelerators * one.stranded_weight for one in broken),
        default=0.0,
    )
    return left * each * settings.horizon


def _change_pool(broken: Broken, repair: Repair) -> int:
    """Return by how many instances a repair changes the pool."""
    if repair is Repair.REPLACE:
        return -broken.missing
    if repair is Repair.DISSOLVE:
        return broken.size - broken.missing
    return 0


class _Path(msgspec.Struct, frozen=True):
    """The cheapest choices that leave one size of the pool."""

    cost: float
    repairs: tuple[Repair, ...]


def choose_repairs(
    broken: abc.Sequence[Broken],
    spares: int,
    settings: settings_module.ReplicasSection,
) -> dict[ids.ReplicaId, Repair]:
    """Return the cheapest repair of each broken replica.

    Args:
        broken: The broken replicas of one domain.
        spares: Free healthy instances of the domain.
        settings: Expected times.
    """
    paths = {spares: _Path(0.0, ())}
    for one in broken:
        paths = _extend(paths, one, settings)
    best: tuple[float, tuple[Repair, ...]] | None = None
    for left, path in sorted(paths.items()):
        if left < 0:
            continue
        total = path.cost + weigh_pool(left, broken, settings)
        if best is None or total < best[0]:
            best = (total, path.repairs)
    chosen = best[1] if best else ()
    return {
        one.replica: repair for one, repair in zip(broken, chosen, strict=True)
    }


def _extend(
    paths: dict[int, _Path],
    broken: Broken,
    settings: settings_module.ReplicasSection,
) -> dict[int, _Path]:
    found: dict[int, _Path] = {}
    for repair in Repair:
        cost = weigh(broken, repair, settings)
        change = _change_pool(broken, repair)
        for left, path in paths.items():
            total = path.cost + cost
            held = found.get(left + change)
            if held is None or total < held.cost:
                repairs = (*path.repairs, repair)
                found[left + change] = _Path(total, repairs)
    return found

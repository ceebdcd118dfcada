"""Chooses which weights to load onto which idle instances.

Instances are lost and replaced all day, a load takes 12 to 16 s, and the
weight store allows only a limited rate of loads. A domain therefore keeps
to one model, so that all surviving instances can form a replica together.
Another model is loaded only where it is scarce or the domain has become
too small for its own. Each domain keeps to its share of the load rate.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = [
    "DomainInventory",
    "Load",
    "LoadBucket",
    "assign_models",
    "choose_loads",
]

# Coverage of a model: slots of its replicas per request running or waiting.
# Below the first value it needs more replicas; above the second it can spare
# some.
_LOW_COVERAGE = 1.3
_HIGH_COVERAGE = 2.5
# Usable instances, as a fraction of a replica's size, with which a domain
# still waits for replacements instead of loading another model.
_MIN_REPLICA_FRACTION = 0.5
# The weight store counts the loads that start within a window of
# _WINDOW_SECONDS, and allows _BURST_LOADS more than its rate gives. A domain
# may start half of its share at once, as it mostly gets two instances at a
# time, and gains the other half over the window.
_WINDOW_SECONDS = 5.0
_BURST_LOADS = 3.0
_INITIAL_FRACTION = 0.5


class Load(msgspec.Struct, frozen=True):
    """One load of a model's weights onto an instance's host."""

    instance: ids.InstanceId
    model: routes.Model


class DomainInventory(msgspec.Struct, frozen=True, kw_only=True):
    """The instances of a domain, and the supply of each model.

    Attributes:
        main: Model that the domain is meant for.
        blank: Instances without the weights of any model.
        idle: Instances that have a model's weights but are too few to form
            a replica of it, by model.
        usable: Number of instances that can serve, members of replicas
            included.
        size: Largest number of instances that the domain has had.
        coverage: Slots per request running or waiting, by model; includes
            replicas that are still to be formed.
        loading: Whether a load is under way in the domain.
        has_traffic: Whether any request has come yet. Until then replicas
            form in all domains, and low coverage doesn't mean that a model
            is scarce.
        formed: Number of replicas in this domain, by model.
        wanted: Number of instances that each model should have, if the
            domain is mixed; else empty.
        staged: Number of usable instances that have or load a model's
            weights, by model.
        scarce: Model that the measured work is short of; empty if there is
            none.
        lacking: Replicas of it that blank instances here should form.
        kept: Models of which instances may be part of a step that has not
            ended. They are not loaded with another model.
    """

    main: routes.Model
    blank: tuple[ids.InstanceId, ...]
    idle: abc.Mapping[str, tuple[ids.InstanceId, ...]]
    usable: int
    size: int
    coverage: abc.Mapping[str, float]
    loading: bool = False
    has_traffic: bool = True
    formed: abc.Mapping[str, int] = {}
    wanted: abc.Mapping[str, int] = {}
    staged: abc.Mapping[str, int] = {}
    scarce: str = ""
    lacking: int = 0
    kept: abc.Set[str] = frozenset()


class LoadBucket:
    """A token bucket for the loads that one domain may start.

    Each domain has an equal share of what the weight store allows, so that
    the holders of domains need not coordinate.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._refilled_at: float | None = None

    def count(self, rate: float, domains: float, now: float) -> int:
        """Refill the bucket and return how many loads may start now.

        Args:
            rate: Loads per second that the weight store allows.
            domains: Number of domains that share the rate; more, also in
                fractions, if a part of it is kept for other loads.
            now: Monotonic time.
        """
        domain_share = (rate * _WINDOW_SECONDS + _BURST_LOADS) / max(
            domains, 1
        )
        # At least one, or a small share would never allow a load.
        capacity = max(1.0, domain_share * _INITIAL_FRACTION)
        if self._refilled_at is None:
            self._tokens = capacity
        else:
            refill = (
                (now - self._refilled_at)
                * domain_share
                * (1 - _INITIAL_FRACTION)
                / _WINDOW_SECONDS
            )
            self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now
        return int(self._tokens)

    def spend(self, loads: int) -> None:
        """Remove a token for each load that was ordered."""
        self._tokens = max(0.0, self._tokens - loads)


def assign_models(
    engine: routes.Engine,
    sizes: abc.Mapping[ids.DomainName, int],
    staged: abc.Mapping[ids.DomainName, str] | None = None,
) -> dict[ids.DomainName, str]:
    """Return the model that each domain is meant for.

    Every node gets the same result from the same configuration and list of
    instances. A domain that already has a model keeps it. The others get
    one in the order of their names, which spreads each model over the data
    centres.

    Args:
        engine: Models with their expected shares of the work.
        sizes: Number of instances of each domain.
        staged: Model that more than half of a domain's instances have, for
            domains where there is one.
    """
    supply = dict.fromkeys((model.name for model in engine.models), 0.0)
    found = {}
    for name, model in (staged or {}).items():
        if model in supply and name in sizes:
            found[name] = model
            supply[model] += sizes[name]
    for name in sorted(sizes.keys() - found.keys()):
        fitting = [
            candidate
            for candidate in engine.models
            if candidate.size <= sizes[name]
        ]
        chosen = min(
            fitting or engine.models,
            key=lambda candidate: (
                supply[candidate.name] / max(candidate.share, 0.01)
            ),
        )
        found[name] = chosen.name
        # Counted in instances, not replicas: losses hit single instances and
        # whole domains.
        supply[chosen.name] += sizes[name]
    return found


def choose_loads(
    engine: routes.Engine, inventory: DomainInventory
) -> list[Load]:
    """Return the loads to start now, those of blank instances first."""
    found: list[Load] = []
    if inventory.wanted:
        found = _load_mixed_domain(engine, inventory)
    elif inventory.blank:
        found = _load_lacking(engine, inventory)
        rest = inventory.blank[len(found) :]
        model = _choose_model(engine, inventory, len(rest))
        found += [Load(instance, model) for instance in rest]
    return found + _choose_conversions(engine, inventory)


def _load_mixed_domain(
    engine: routes.Engine, inventory: DomainInventory
) -> list[Load]:
    """Return the loads for blank instances in a mixed domain.

    Each instance gets the model that has the smallest fraction of the
    instances it should have.
    """
    staged = dict(inventory.staged)
    found = []
    for instance in inventory.blank:
        model = min(
            (
                candidate
                for candidate in engine.models
                if inventory.wanted.get(candidate.name)
            ),
            key=lambda candidate: (
                staged.get(candidate.name, 0)
                / inventory.wanted[candidate.name]
            ),
        )
        staged[model.name] = staged.get(model.name, 0) + 1
        found.append(Load(instance, model))
    return found


def _load_lacking(
    engine: routes.Engine, inventory: DomainInventory
) -> list[Load]:
    """Return the loads of the model that the measured work is short of.

    Only blank instances that complete whole replicas of it get it, together
    with those that have or load it already, and no more than are lacking.
    """
    model = engine.find(inventory.scarce)
    if model is None or not inventory.lacking:
        return []
    begun = inventory.staged.get(model.name, 0) % model.size
    replicas = (begun + len(inventory.blank)) // model.size
    count = min(replicas, inventory.lacking) * model.size - begun
    return [
        Load(instance, model) for instance in inventory.blank[: max(count, 0)]
    ]


def _choose_model(
    engine: routes.Engine, inventory: DomainInventory, blank: int
) -> routes.Model:
    """Return the model to load onto other blank instances, by their number."""
    if inventory.coverage[inventory.main.name] < _HIGH_COVERAGE:
        return inventory.main
    scarce = min(
        engine.models, key=lambda model: inventory.coverage[model.name]
    )
    is_scarce = (
        inventory.has_traffic
        and inventory.coverage[scarce.name] < _LOW_COVERAGE
    )
    if is_scarce and scarce.size <= blank:
        return scarce
    return inventory.main


def _choose_conversions(
    engine: routes.Engine, inventory: DomainInventory
) -> list[Load]:
    """Return loads of another model by which idle instances form a replica.

    There are such loads only if the idle instances are too few for a
    replica of the model they have, and the other model is worth the loads.
    Instances of the model that the measured work is short of are kept: a
    step may still load others with it.
    """
    if inventory.loading:
        return []
    stranded = [] if inventory.wanted else _convert_stranded(engine, inventory)
    if stranded:
        return stranded
    for model in sorted(
        engine.models, key=lambda model: inventory.coverage[model.name]
    ):
        others = [
            instance
            for name, instances in inventory.idle.items()
            if name not in (model.name, inventory.scarce)
            and name not in inventory.kept
            for instance in instances
        ]
        missing = model.size - len(inventory.idle.get(model.name, ()))
        if not 0 < missing <= len(others):
            continue
        if _is_worth_converting(
            inventory, model, has_some=missing < model.size
        ):
            return [Load(instance, model) for instance in others[:missing]]
    return []


def _is_worth_converting(
    inventory: DomainInventory, model: routes.Model, has_some: bool
) -> bool:
    """Return whether idle instances should be loaded with a model.

    A domain that lost a few members of its only large replica must not load
    its idle instances with another model of which there is plenty: it could
    not form its own replica again once the replacements are loaded.

    Args:
        inventory: Instances and coverage of the domain.
        model: Model of which a replica could be formed.
        has_some: Whether some idle instances have its weights already.
    """
    is_too_small = inventory.usable < inventory.main.size
    if inventory.wanted or model.name == inventory.main.name:
        return has_some or is_too_small
    awaits_replacements = (
        inventory.size >= inventory.main.size
        and inventory.usable >= _MIN_REPLICA_FRACTION * inventory.main.size
    )
    if is_too_small and not awaits_replacements:
        return True
    # Before the first request, the first domains to form would take the
    # other model for scarce and convert their spares; a loss would then cost
    # a replica.
    can_spare_main = (
        inventory.has_traffic
        and inventory.coverage[inventory.main.name] >= _HIGH_COVERAGE
    )
    is_scarce = inventory.coverage[model.name] < _LOW_COVERAGE
    if can_spare_main:
        return is_scarce or has_some
    return is_scarce and is_too_small


def _convert_stranded(
    engine: routes.Engine, inventory: DomainInventory
) -> list[Load]:
    """Return loads for idle instances that can't get enough partners.

    The domain has no replica of their model, and they are too few to form
    one, so that they would stay idle for ever. Only as many are loaded with
    the domain's own model as are needed for whole replicas of it.
    """
    main = inventory.main
    waiting = [
        instance
        for model in engine.models
        if model.name not in (main.name, inventory.scarce)
        and model.name not in inventory.kept
        and not inventory.formed.get(model.name)
        for instance in inventory.idle.get(model.name, ())
        if len(inventory.idle[model.name]) < model.size
    ]
    idle_count = len(inventory.idle.get(main.name, ()))
    replicas = (idle_count + len(waiting)) // main.size
    missing = max(0, replicas * main.size - idle_count)
    return [Load(instance, main) for instance in waiting[:missing]]

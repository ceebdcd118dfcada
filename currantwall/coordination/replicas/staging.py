"""Which weights are loaded onto which idle instances.

The load it answers: instances are lost and replaced all day, a load takes
12 to 16 s, and the weight store starts only so many a second. A domain
therefore keeps to one model, which makes every survivor fit every other
one; another model is loaded only where it is scarce or the domain has
become too small, and the loads of a domain keep to its part of the rate.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = ["Load", "LoadBucket", "Stock", "assign_models", "choose_loads"]

# Slots of a model's replicas for each of its requests in work: below the
# first, replicas of it are needed; above the second, it can spare some.
_LOW_COVER = 1.3
_HIGH_COVER = 2.5
# Part of a replica below which a domain doesn't wait for replacements.
_MIN_REPLICA_PART = 0.5
# The weight store counts the loads that start within so many seconds, and
# bears a few beyond its rate. Half of that may start at once, for a domain
# mostly gets two instances at a time, the other half one by one.
_WINDOW = 5.0
_BURST = 3.0
_INITIAL_PART = 0.5


class Load(msgspec.Struct, frozen=True):
    """One load of a model's weights onto an instance's host."""

    instance: ids.InstanceId
    model: routes.Model


class Stock(msgspec.Struct, frozen=True, kw_only=True):
    """The idle instances of a domain and what the models need.

    Attributes:
        main: Model that the domain is meant for.
        blank: Instances without the weights of any model.
        idle: Instances that wait with a model's weights, by model; too
            few to form a replica of it.
        usable: Instances of the domain that can serve, busy ones too.
        size: Most instances that the domain has had.
        cover: Slots of each model's replicas, those to come included,
            for each of its requests in work.
        loading: Whether a load is under way here.
        busy: Whether requests have come. Before, replicas are forming
            everywhere, and how many there are says nothing.
        formed: Replicas of each model in this domain.
        wanted: Instances of each model where the domain is mixed.
        held: Usable instances with each model, or loading it.
    """

    main: routes.Model
    blank: tuple[ids.InstanceId, ...]
    idle: abc.Mapping[str, tuple[ids.InstanceId, ...]]
    usable: int
    size: int
    cover: abc.Mapping[str, float]
    loading: bool = False
    busy: bool = True
    formed: abc.Mapping[str, int] = {}
    wanted: abc.Mapping[str, int] = {}
    held: abc.Mapping[str, int] = {}


class LoadBucket:
    """A token bucket: the loads that one domain may start.

    Each domain keeps to an equal part of what the weight store bears, so
    that their holders need not hear of each other.
    """

    def __init__(self) -> None:
        self._held = 0.0
        self._at: float | None = None

    def count(self, rate: float, domains: int, now: float) -> int:
        """Return how many loads may start now.

        Args:
            rate: Loads a second that the weight store bears.
            domains: Domains that share it.
            now: Monotonic time.
        """
        part = (rate * _WINDOW + _BURST) / max(domains, 1)
        # One at least, or a small part would never allow any.
        most = max(1.0, part * _INITIAL_PART)
        if self._at is None:
            self._held = most
        else:
            gained = (now - self._at) * part * (1 - _INITIAL_PART) / _WINDOW
            self._held = min(most, self._held + gained)
        self._at = now
        return int(self._held)

    def spend(self, loads: int) -> None:
        """Take off the loads that were ordered."""
        self._held = max(0.0, self._held - loads)


def assign_models(
    engine: routes.Engine,
    sizes: abc.Mapping[ids.DomainName, int],
    staged: abc.Mapping[ids.DomainName, str] | None = None,
) -> dict[ids.DomainName, str]:
    """Return the model that each domain is meant for.

    Every node works out the same from the configuration and the list of
    instances. The domains are dealt out in the order of their names,
    which spreads each model over the data centres; one that has a model
    keeps it.

    Args:
        engine: Models with their expected shares of the work.
        sizes: Instances of each domain.
        staged: Model that most instances of a domain have, where most
            have the same.
    """
    supply = dict.fromkeys((model.name for model in engine.models), 0.0)
    found = {}
    for name, model in (staged or {}).items():
        if model in supply and name in sizes:
            found[name] = model
            supply[model] += sizes[name]
    for name in sorted(sizes.keys() - found.keys()):
        fitting = [one for one in engine.models if one.size <= sizes[name]]
        chosen = min(
            fitting or engine.models,
            key=lambda one: supply[one.name] / max(one.share, 0.01),
        )
        found[name] = chosen.name
        # Counted in instances: losses come by instance and by domain.
        supply[chosen.name] += sizes[name]
    return found


def choose_loads(engine: routes.Engine, stock: Stock) -> list[Load]:
    """Return the loads that are wanted now."""
    found: list[Load] = []
    if stock.wanted:
        found = _fill_mix(engine, stock)
    elif stock.blank:
        model = _choose_model(engine, stock)
        found = [Load(instance, model) for instance in stock.blank]
    return found + _choose_exchanges(engine, stock)


def _fill_mix(engine: routes.Engine, stock: Stock) -> list[Load]:
    """Return the loads of blank instances in a mixed domain.

    Each goes to the model that lacks the largest part of its instances.
    """
    held = dict(stock.held)
    found = []
    for instance in stock.blank:
        model = min(
            (one for one in engine.models if stock.wanted.get(one.name)),
            key=lambda one: held.get(one.name, 0) / stock.wanted[one.name],
        )
        held[model.name] = held.get(model.name, 0) + 1
        found.append(Load(instance, model))
    return found


def _choose_model(engine: routes.Engine, stock: Stock) -> routes.Model:
    """Return the model that blank instances are loaded with."""
    if stock.cover[stock.main.name] < _HIGH_COVER:
        return stock.main
    scarce = min(engine.models, key=lambda one: stock.cover[one.name])
    is_scarce = stock.busy and stock.cover[scarce.name] < _LOW_COVER
    if is_scarce and scarce.size <= len(stock.blank):
        return scarce
    return stock.main


def _choose_exchanges(engine: routes.Engine, stock: Stock) -> list[Load]:
    """Return loads that turn idle instances into a replica.

    Only where the idle ones cannot form one of the model they have, and
    the other model is worth the loads.
    """
    if stock.loading:
        return []
    stranded = [] if stock.wanted else _find_stranded(engine, stock)
    if stranded:
        return stranded
    for model in sorted(engine.models, key=lambda one: stock.cover[one.name]):
        others = [
            instance
            for name, instances in stock.idle.items()
            if name != model.name
            for instance in instances
        ]
        missing = model.size - len(stock.idle.get(model.name, ()))
        if not 0 < missing <= len(others):
            continue
        if _is_worth_loads(stock, model, begun=missing < model.size):
            return [Load(instance, model) for instance in others[:missing]]
    return []


def _is_worth_loads(stock: Stock, model: routes.Model, begun: bool) -> bool:
    """Return whether idle instances are to be turned to a model.

    Failure: a domain lost a few members of its only large replica, turned
    the idle ones to the other model, of which there was plenty, and could
    not form its own again when the replacements were loaded.

    Args:
        stock: What the domain has.
        model: The model of a replica that could be formed.
        begun: Whether some of its instances wait here already.
    """
    too_small = stock.usable < stock.main.size
    if stock.wanted or model.name == stock.main.name:
        return begun or too_small
    waits = (
        stock.size >= stock.main.size
        and stock.usable >= _MIN_REPLICA_PART * stock.main.size
    )
    if too_small and not waits:
        return True
    # Failure: at the start the first domains to form take the other model
    # for scarce and give up their spares; a loss then costs a replica.
    spares_main = stock.busy and stock.cover[stock.main.name] >= _HIGH_COVER
    scarce = stock.cover[model.name] < _LOW_COVER
    if spares_main:
        return scarce or begun
    return scarce and too_small


def _find_stranded(engine: routes.Engine, stock: Stock) -> list[Load]:
    """Return loads for instances that wait for a model in vain.

    Failure: instances were loaded with a model of which the domain has no
    replica, and are too few to form one: they wait for partners that
    never come. As many are turned as make whole replicas of the domain's
    own model.
    """
    main = stock.main
    waiting = [
        instance
        for model in engine.models
        if model.name != main.name and not stock.formed.get(model.name)
        for instance in stock.idle.get(model.name, ())
        if len(stock.idle[model.name]) < model.size
    ]
    have = len(stock.idle.get(main.name, ()))
    whole = (have + len(waiting)) // main.size
    wanted = max(0, whole * main.size - have)
    return [Load(instance, main) for instance in waiting[:wanted]]

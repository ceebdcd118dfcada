"""Decides which models the instances of a fabric domain are meant for.

A replica takes many instances of one domain, and the instances left over
serve no requests. With a single model per domain, a domain of eleven whose
model takes six holds one replica and five spares, although that model is
short in all domains. With a replica of three beside it, all domains
together hold half as many again of the larger model.

On the other hand, with a single model per domain all survivors of a loss
can form a replica together. Domains are therefore mixed only if that
clearly raises the coverage of the scarcest model.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = ["Change", "Layout", "choose_mix", "count_wanted"]

# Instances of a domain to keep as spares for losses.
_MIN_SPARES = 1
# Factor by which a mix must raise the coverage of the scarcest model, since
# not all survivors of a loss can then form a replica together.
_MIN_COVERAGE_GAIN = 1.2
# Instances of a domain up to which all mixes are compared.
_MAX_MIX_INSTANCES = 256


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One step of a domain from an over-provisioned model to a scarce one.

    Attributes:
        surplus: Model whose instances are loaded with another one.
        scarce: Model that they are loaded with.
        drained: Replicas of `surplus` that are drained for it; 0 if idle
            instances are enough.
        held: Whole replicas of `surplus` that the domain has by the list.
            None is drained if it has fewer.
    """

    domain: ids.DomainName
    surplus: str
    scarce: str
    drained: int
    held: int = 0


class Layout(msgspec.Struct, frozen=True):
    """Which models the instances of a domain are meant for.

    Attributes:
        main: Main model of the domain; the only one unless it is mixed.
        replicas: Number of replicas of each model if the domain is mixed,
            else empty.
        size: Largest number of instances that the domain has had.
        change: The step to begin now, if the measured work requires one.
        scarce: Model that the measured work is short of, in all domains;
            empty if there is none.
        lacking: Replicas of it to load onto blank instances of this domain.
    """

    main: str
    replicas: abc.Mapping[str, int] = {}
    size: int = 0
    change: Change | None = None
    scarce: str = ""
    lacking: int = 0


def choose_mix(
    engine: routes.Engine,
    sizes: abc.Mapping[ids.DomainName, int],
    mains: abc.Mapping[ids.DomainName, str],
) -> dict[str, int]:
    """Return the replicas of each model in a mixed domain, or nothing.

    All domains get the same mix, chosen for their mean size: it must not
    change when single instances come and go.

    Args:
        engine: Models with their expected shares of the work.
        sizes: Number of instances of each domain.
        mains: Model of each domain if none is mixed.
    """
    if len(engine.models) < 2 or not sizes:
        return {}
    mean_size = min(
        round(sum(sizes.values()) / len(sizes)), _MAX_MIX_INSTANCES
    )
    unmixed = dict.fromkeys((model.name for model in engine.models), 0.0)
    for name in sizes:
        model = engine.find(mains.get(name, ""))
        if model is not None:
            unmixed[model.name] += (mean_size - _MIN_SPARES) // model.size
    best_mix: dict[str, int] = {}
    best_coverage = _MIN_COVERAGE_GAIN * _measure_coverage(engine, unmixed)
    for mix in _list_mixes(engine.models, mean_size - _MIN_SPARES):
        total = {name: count * len(sizes) for name, count in mix.items()}
        coverage = _measure_coverage(engine, total)
        if coverage > best_coverage:
            best_mix, best_coverage = mix, coverage
    return best_mix


def _list_mixes(
    models: tuple[routes.Model, ...], instances: int
) -> abc.Iterator[dict[str, int]]:
    """Yield each mix that fits, with at least one replica of each model."""
    first, rest = models[0], models[1:]
    for count in range(1, instances // first.size + 1):
        remaining = instances - count * first.size
        if not rest:
            yield {first.name: count}
            continue
        for others in _list_mixes(rest, remaining):
            yield {first.name: count, **others}


def _measure_coverage(
    engine: routes.Engine, replicas: abc.Mapping[str, float]
) -> float:
    """Return the coverage of the scarcest model.

    Here it is counted in instances of the model's replicas per expected
    share of the work, since all instances of a replica do that work.
    """
    return min(
        replicas.get(model.name, 0) * model.size / max(model.share, 0.01)
        for model in engine.models
    )


def count_wanted(
    engine: routes.Engine, replicas: abc.Mapping[str, int], usable: int
) -> dict[str, int]:
    """Return how many instances of a mixed domain each model should have.

    Each model gets the members of its replicas. Spares are then given out
    in turn, first to the model with the most instances, which loses the most
    members.
    """
    found = {
        model.name: replicas.get(model.name, 0) * model.size
        for model in engine.models
    }
    mixed = [model for model in engine.models if replicas.get(model.name)]
    mixed.sort(key=lambda model: -found[model.name])
    spares = usable - sum(found.values())
    for turn in range(max(spares, 0)):
        found[mixed[turn % len(mixed)].name] += 1
    return found

"""Which models the instances of a fabric domain are meant for.

The load it answers: a replica takes many instances of one domain, and
what is left over serves nobody. A domain of eleven that keeps to a model
of six holds one replica and five spares, while that model is short
everywhere; with a replica of three beside it, all domains together hold
half as many again of the larger model.

One model a domain has an advantage too: every survivor of a loss fits
every other one. Domains are therefore mixed only where that gives clearly
more to the model that is shortest.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = ["Layout", "choose_mix", "count_wanted"]

# Instances of a domain that are left for losses.
_SPARES_LEAST = 1
# How much more of the shortest model makes up for survivors of which not
# all fit each other.
_GAIN = 1.2
# Instances of a domain up to which all mixes are looked at.
_LARGEST = 256


class Layout(msgspec.Struct, frozen=True):
    """What the instances of a domain are meant for.

    Attributes:
        main: Model of the domain; the only one where it is not mixed.
        replicas: Replicas of each model where it is mixed, else empty.
        size: Most instances that the domain has had.
    """

    main: str
    replicas: abc.Mapping[str, int] = {}
    size: int = 0


def choose_mix(
    engine: routes.Engine,
    sizes: abc.Mapping[ids.DomainName, int],
    mains: abc.Mapping[ids.DomainName, str],
) -> dict[str, int]:
    """Return the replicas of each model in a mixed domain, empty for none.

    The same mix for all domains, worked out for their mean size: single
    instances come and go, and what a domain is meant for must not change
    with them.

    Args:
        engine: Models with their expected shares of the work.
        sizes: Instances of each domain.
        mains: Model of each domain where none is mixed.
    """
    if len(engine.models) < 2 or not sizes:
        return {}
    mean = min(round(sum(sizes.values()) / len(sizes)), _LARGEST)
    pure = dict.fromkeys((one.name for one in engine.models), 0.0)
    for name in sizes:
        model = engine.find(mains.get(name, ""))
        if model is not None:
            pure[model.name] += (mean - _SPARES_LEAST) // model.size
    best: dict[str, int] = {}
    most = _GAIN * _measure_cover(engine, pure)
    for mix in _list_mixes(engine.models, mean - _SPARES_LEAST):
        whole = {name: count * len(sizes) for name, count in mix.items()}
        cover = _measure_cover(engine, whole)
        if cover > most:
            best, most = mix, cover
    return best


def _list_mixes(
    models: tuple[routes.Model, ...], room: int
) -> abc.Iterator[dict[str, int]]:
    """Yield the replicas of each model that fit, one at least of each."""
    first, rest = models[0], models[1:]
    for count in range(1, room // first.size + 1):
        left = room - count * first.size
        if not rest:
            yield {first.name: count}
            continue
        for others in _list_mixes(rest, left):
            yield {first.name: count, **others}


def _measure_cover(
    engine: routes.Engine, replicas: abc.Mapping[str, float]
) -> float:
    """Return how well the model that is shortest is covered.

    A model's share is of the work, which all instances of a replica do.
    """
    return min(
        replicas.get(one.name, 0) * one.size / max(one.share, 0.01)
        for one in engine.models
    )


def count_wanted(
    engine: routes.Engine, replicas: abc.Mapping[str, int], usable: int
) -> dict[str, int]:
    """Return the instances of each model in a mixed domain.

    What its replicas take, and the spares in turn, the largest replicas
    first: they lose most members.
    """
    found = {
        one.name: replicas.get(one.name, 0) * one.size for one in engine.models
    }
    mixed = [one for one in engine.models if replicas.get(one.name)]
    mixed.sort(key=lambda one: -found[one.name])
    spares = usable - sum(found.values())
    for turn in range(max(spares, 0)):
        found[mixed[turn % len(mixed)].name] += 1
    return found

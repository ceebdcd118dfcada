"""Weighted max-min fairness.

What is short is divided so that nobody gets more than it asks for and
nobody could get more without taking from one that has less for its
weight. Every entry computes the same division from the same numbers.
"""

from collections import abc
import typing

__all__ = ["divide", "measure_jain"]

Name = typing.TypeVar("Name", bound=abc.Hashable)


def divide(
    capacity: float,
    demands: abc.Mapping[Name, float],
    weights: abc.Mapping[Name, float],
) -> dict[Name, float]:
    """Return what each gets of a capacity.

    Args:
        capacity: What there is.
        demands: What each asks for, in the same unit.
        weights: Relative weights; 1 for whoever is not named.
    """
    left = max(0.0, capacity)
    found = dict.fromkeys(demands, 0.0)
    open_ = {name for name, demand in demands.items() if demand > 0}
    while open_:
        total = sum(weights.get(name, 1.0) for name in open_)
        level = left / total
        met = {
            name
            for name in open_
            if demands[name] <= level * weights.get(name, 1.0)
        }
        if not met:
            for name in open_:
                found[name] = level * weights.get(name, 1.0)
            break
        for name in met:
            found[name] = demands[name]
            left -= demands[name]
        open_ -= met
    return found


def measure_jain(shares: abc.Sequence[float]) -> float:
    """Return Jain's index of some shares: 1 when all are equal."""
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)

"""Weighted max-min fairness.

A scarce capacity is divided so that nobody gets more than it demands, and
nobody could get more without taking from one that has less in proportion
to its weight. The result depends on the arguments only, so that entries
with the same numbers compute the same division.
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
    """Return the share of a capacity that each name gets.

    Each round satisfies the demands that lie below the fair share of what
    remains, and divides the rest among the others.

    Args:
        capacity: Amount to divide.
        demands: Amount that each name demands, in the same unit.
        weights: Relative weights; 1 for a name that is not in it.
    """
    remaining = max(0.0, capacity)
    shares = dict.fromkeys(demands, 0.0)
    unsatisfied = {name for name, demand in demands.items() if demand > 0}
    while unsatisfied:
        total_weight = sum(weights.get(name, 1.0) for name in unsatisfied)
        fair_share = remaining / total_weight
        satisfied = {
            name
            for name in unsatisfied
            if demands[name] <= fair_share * weights.get(name, 1.0)
        }
        if not satisfied:
            for name in unsatisfied:
                shares[name] = fair_share * weights.get(name, 1.0)
            break
        for name in satisfied:
            shares[name] = demands[name]
            remaining -= demands[name]
        unsatisfied -= satisfied
    return shares


def measure_jain(shares: abc.Sequence[float]) -> float:
    """Return Jain's fairness index: 1 when all shares are equal."""
    squares = sum(share * share for share in shares)
    if not squares:
        return 1.0
    return sum(shares) ** 2 / (len(shares) * squares)

"""Rendezvous hashing (highest random weight).

Nodes that know the same names compute the same order, so they agree on
who does a task without a message. It is only a hint: nodes may know
different names, and correctness never depends on it.
"""

from collections import abc
import typing

from currantwall.state import hashing

__all__ = ["choose", "rank", "score"]

Name = typing.TypeVar("Name", bound=str)


def score(key: str, name: str) -> int:
    """Return the 64-bit weight of a name for a key."""
    return hashing.hash_text(f"{key}\0{name}")


def rank(key: str, names: abc.Iterable[Name]) -> list[Name]:
    """Return the names in order of preference for the key."""
    return sorted(names, key=lambda name: (-score(key, name), name))


def choose(key: str, names: abc.Iterable[Name], count: int) -> list[Name]:
    """Return the first ``count`` names of `rank`."""
    return rank(key, names)[:count]

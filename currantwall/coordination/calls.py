"""Ids of asynchronous calls, their time limits, and the backoff."""

import msgspec

from currantwall.state import ids

__all__ = ["Backoff", "Calls", "WatchTimes", "split_bound"]

# Longest time in seconds for the answer of a watch that has waited.
_MAX_PATIENCE = 1.0
# Share of the rest of a bound that a watch may wait; what is left is for the
# next call.
_WAIT_SHARE = 0.8
_JITTER_STEPS = 16


class Calls:
    """Issues call ids that are unique in this process."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> ids.CallId:
        """Return an id that was not issued before."""
        self._last += 1
        return ids.CallId(self._last)


class WatchTimes(msgspec.Struct, frozen=True):
    """Times of a watch, in seconds.

    Attributes:
        wait: How long the other side waits for a change.
        patience: How long its answer may take then.
    """

    wait: float
    patience: float


def split_bound(bound: float) -> WatchTimes:
    """Return times with which a watch that hangs is given up in time.

    Failure: the connection of a watch goes silent, and a change remains
    unknown until the watch is given up.

    Args:
        bound: Seconds after which a change must be known, also if the
            connection goes silent just before it.
    """
    patience = min(_MAX_PATIENCE, bound / 2)
    return WatchTimes(_WAIT_SHARE * (bound - patience), patience)


class Backoff:
    """Exponential backoff with a jitter derived from a seed.

    If all processes called the platform at once when it recovers, they
    would overload it again. Their seeds differ, so that their attempts
    spread over the delay.
    """

    def __init__(self, first: float, limit: float, seed: int) -> None:
        self._first = first
        self._limit = limit
        self._seed = seed
        self._failures = 0

    @property
    def failures(self) -> int:
        """Return the number of failures since the last success."""
        return self._failures

    def fail(self) -> float:
        """Count a failure; return the seconds to wait before the next try."""
        self._failures += 1
        longest = min(self._limit, self._first * 2 ** (self._failures - 1))
        step = (self._seed * 31 + self._failures * 7) % _JITTER_STEPS
        return longest * (0.5 + step / (2 * _JITTER_STEPS))

    def succeed(self) -> None:
        """Reset the backoff to its first delay."""
        self._failures = 0

"""Ids of asynchronous calls, and the backoff between attempts."""

from currantwall.state import ids

__all__ = ["Backoff", "Calls"]

_JITTER_STEPS = 16


class Calls:
    """Issues call ids that are unique in this process."""

    def __init__(self) -> None:
        self._last = 0

    def next(self) -> ids.CallId:
        """Return an id that was not issued before."""
        self._last += 1
        return ids.CallId(self._last)


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

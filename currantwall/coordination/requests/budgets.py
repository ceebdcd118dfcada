"""A node's share of the repeats that all nodes may send together.

The bound is for all nodes, in any window: a share of the requests plus a
fixed number. Each node keeps to that share of its own requests and to
its part of the fixed number, so the bound holds without any message,
also while the nodes cannot hear each other.
"""

import collections

from currantwall.state import ids

__all__ = ["RepeatBudget"]

# Part of the whole bound that is used: requests move between windows,
# and processes that restart begin with an empty memory.
_USED = 0.6


class RepeatBudget:
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._nodes = 1
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def note_nodes(self, count: int) -> None:
        """Take note of the nodes that share the bound.

        Failure: the nodes fall silent to each other and each takes a
        larger part. The largest number ever seen counts.
        """
        self._nodes = max(self._nodes, count)

    def note_request(self, service: ids.ServiceName, now: float) -> None:
        """Count a request of a caller."""
        self._trim(self._requests, service, now).append(now)

    def take(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether one repeat may be sent, and count it."""
        repeats = self._trim(self._repeats, service, now)
        requests = self._trim(self._requests, service, now)
        bound = self._ratio * len(requests) + self._slack / self._nodes
        if len(repeats) + 1 > bound * _USED:
            return False
        repeats.append(now)
        return True

    def _trim(
        self,
        counts: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        while times and times[0] < now - self._window:
            times.popleft()
        return times

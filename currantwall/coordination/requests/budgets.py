"""A node's share of the repeats that all nodes may send together.

The limit holds for all nodes together, in any window: a ratio of the
requests plus a fixed number. Each node applies the ratio to its own
requests and takes an equal share of the fixed number. The limit
therefore holds without any messages between nodes, and also while they
cannot reach each other.
"""

import collections

from currantwall.state import ids

__all__ = ["RepeatBudget"]

# Part of the limit that is used. The rest is a margin: requests move from
# one window to another, and a restarted process has lost its counts.
_USED_SHARE = 0.6


class RepeatBudget:
    """Counts requests and repeats of each service in a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        """Create a budget.

        Args:
            ratio: Repeats that are allowed for each request.
            slack: Repeats that all nodes together may send beyond that
                in a window.
            window: Length of the window, in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._nodes = 1
        self._requests: dict[ids.ServiceName, collections.deque[float]] = {}
        self._repeats: dict[ids.ServiceName, collections.deque[float]] = {}

    def note_nodes(self, count: int) -> None:
        """Update the number of nodes that share the limit.

        Failure: nodes that cannot reach each other each count fewer nodes
        and would take a larger share. The largest number ever seen counts.
        """
        self._nodes = max(self._nodes, count)

    def note_request(self, service: ids.ServiceName, now: float) -> None:
        """Count a request from a caller."""
        self._trim(self._requests, service, now).append(now)

    def take(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether one repeat may be sent, and count it if so."""
        if not self.has_repeat(service, now):
            return False
        self._trim(self._repeats, service, now).append(now)
        return True

    def has_repeat(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether one repeat may be sent."""
        repeats = self._trim(self._repeats, service, now)
        requests = self._trim(self._requests, service, now)
        limit = self._ratio * len(requests) + self._slack / self._nodes
        return len(repeats) + 1 <= limit * _USED_SHARE

    def _trim(
        self,
        times_by_service: dict[ids.ServiceName, collections.deque[float]],
        service: ids.ServiceName,
        now: float,
    ) -> collections.deque[float]:
        """Return a service's times without those before the window."""
        times = times_by_service.setdefault(service, collections.deque())
        while times and times[0] < now - self._window:
            times.popleft()
        return times

"""Sums of the request counts that other nodes report.

The load pattern: a relay of a large fleet receives many more messages than
it chooses upstreams. Each message therefore updates the sums by its
difference, instead of adding all counts up at each choice.
"""

from collections import abc

from currantwall.state import ids

__all__ = ["RemoteLoads"]

# Seconds after which the counts of a silent node are dropped.
_LOAD_TTL = 2.0


class RemoteLoads:
    """Counts by name, summed over the nodes that reported recently."""

    def __init__(self) -> None:
        # Time and counts of each node's last report, oldest report first.
        self._reports: dict[
            ids.NodeId, tuple[float, abc.Mapping[str, int]]
        ] = {}
        self._sums: dict[str, int] = {}

    def get(self, name: str) -> int:
        """Return the sum of the other nodes' counts under a name."""
        return self._sums.get(name, 0)

    def note(
        self, node: ids.NodeId, loads: abc.Mapping[str, int], now: float
    ) -> None:
        """Replace a node's counts by those of its latest report."""
        self._drop(node)
        self._reports[node] = (now, loads)
        for name, count in loads.items():
            self._sums[name] = self._sums.get(name, 0) + count
        self.expire(now)

    def _drop(self, node: ids.NodeId) -> None:
        """Subtract a node's counts from the sums."""
        _, loads = self._reports.pop(node, (0.0, {}))
        for name, count in loads.items():
            remaining = self._sums.pop(name, 0) - count
            if remaining > 0:
                self._sums[name] = remaining

    def expire(self, now: float) -> None:
        """Drop the counts of nodes that have stopped reporting."""
        # `note` moves a node to the end, so the oldest report comes first.
        while self._reports:
            node, (reported_at, _) = next(iter(self._reports.items()))
            if now - reported_at <= _LOAD_TTL:
                return
            self._drop(node)

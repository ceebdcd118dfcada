"""What the other nodes tell of their requests, added up.

The load pattern: a relay of a large fleet takes many more messages than it
chooses upstreams, so the sums follow each message by what it changes.
"""

from collections import abc

from currantwall.state import ids

__all__ = ["RemoteLoads"]

# Seconds after which another node's counts say nothing.
_LOAD_AGE = 2.0


class RemoteLoads:
    """Counts by name, summed over the nodes that were heard of late."""

    def __init__(self) -> None:
        self._told: dict[ids.NodeId, tuple[float, abc.Mapping[str, int]]] = {}
        self._sums: dict[str, int] = {}

    def get(self, name: str) -> int:
        """Return the sum of what the other nodes count under a name."""
        return self._sums.get(name, 0)

    def note(
        self, node: ids.NodeId, loads: abc.Mapping[str, int], now: float
    ) -> None:
        """Take a node's counts in the place of those it told before."""
        self._drop(node)
        self._told[node] = (now, loads)
        for name, count in loads.items():
            self._sums[name] = self._sums.get(name, 0) + count
        self.expire(now)

    def _drop(self, node: ids.NodeId) -> None:
        """Take a node's counts out of the sums."""
        _, loads = self._told.pop(node, (0.0, {}))
        for name, count in loads.items():
            rest = self._sums.pop(name, 0) - count
            if rest > 0:
                self._sums[name] = rest

    def expire(self, now: float) -> None:
        """Forget the counts of nodes that have fallen silent."""
        # The oldest come first: each message moves its node to the end.
        while self._told:
            node, (at, _) = next(iter(self._told.items()))
            if now - at <= _LOAD_AGE:
                return
            self._drop(node)

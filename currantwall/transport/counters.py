"""Performs the counting actions of the parts of an entry's node.

Separate from `metrics`, so that a gateway, which has no such parts, need
not load them.
"""

from currantwall.coordination import actions
from currantwall.transport import coordinator
from currantwall.transport import metrics

__all__ = ["Counters"]


class Counters:
    """Performs `actions.Count`."""

    def __init__(self, meter: metrics.Metrics) -> None:
        self._meter = meter

    @coordinator.performs(actions.Count)
    def count(self, action: actions.Count) -> None:
        """Increase the counter that an action names."""
        self._meter.add(action.counter.value, action.amount, action.label)

"""Timeline of events: a hybrid logical clock and a ring buffer.

Each process keeps its last events. A stamp consists of the wall clock and a
counter, and is later than every stamp received in a message before. Merged
events of several processes are therefore ordered with every cause before
its effects.
"""

import collections
from collections import abc
import enum

import msgspec

__all__ = ["Event", "EventKind", "HybridClock", "Ring", "Stamp"]


class EventKind(enum.Enum):
    """What happened."""

    NODE_READY = "node_ready"
    MEMBER_CHANGED = "member_changed"
    CONFIG_APPLIED = "config_applied"
    LEASE_TAKEN = "lease_taken"
    LEASE_LOST = "lease_lost"
    REPLICA_FORMING = "replica_forming"
    REPLICA_SERVING = "replica_serving"
    REPLICA_DRAINING = "replica_draining"
    REPLICA_DISSOLVED = "replica_dissolved"
    REPLICA_SUSPENDED = "replica_suspended"
    REPLICA_USABLE = "replica_usable"
    INSTANCE_HELD_BACK = "instance_held_back"
    ORDER_REFUSED = "order_refused"
    CALL_UNKNOWN = "call_unknown"
    STOP_CHANGED = "stop_changed"
    EVACUATION_CHANGED = "evacuation_changed"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_UP = "platform_up"


class Stamp(msgspec.Struct, frozen=True, order=True):
    """Hybrid logical time: wall clock in microseconds, then a counter."""

    wall: int
    count: int = 0


class Event(msgspec.Struct, frozen=True, kw_only=True):
    """One event of the timeline."""

    stamp: Stamp
    node: str
    kind: EventKind
    subject: str = ""
    detail: str = ""


class HybridClock:
    """Hybrid logical clock that stamps the events of one process."""

    def __init__(self) -> None:
        self._last = Stamp(0, 0)

    def advance(self, wall: int) -> Stamp:
        """Return a stamp later than all seen so far.

        Args:
            wall: Wall clock of this process, in microseconds.
        """
        if wall > self._last.wall:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(self._last.wall, self._last.count + 1)
        return self._last

    def observe(self, stamp: Stamp) -> None:
        """Advance the clock to a stamp that another process sent."""
        self._last = max(self._last, stamp)


class Ring:
    """Ring buffer of the last events of one process."""

    def __init__(self, size: int) -> None:
        self._events: collections.deque[Event] = collections.deque(maxlen=size)

    def append(self, event: Event) -> None:
        """Add an event; drop the oldest if the buffer is full."""
        self._events.append(event)

    def select(self, since: Stamp | None = None) -> list[Event]:
        """Return the events after a stamp, or all, oldest first."""
        events: abc.Iterable[Event] = self._events
        if since is None:
            return list(events)
        return [event for event in events if event.stamp > since]

"""Whether the store was away for all nodes, or turned only some away.

Instances' entries lapse while the store is away and come back a little
later than the store. A node may keep entries that are missing then, but
not those of instances that leave while the store serves other nodes.

Nodes therefore tell each other when the store last answered them and
when it last failed to, and each finds the outages for itself: a time in
which a call failed and nobody was answered.
"""

import bisect
import collections

import msgspec

__all__ = ["Outage", "StoreHistory"]

# Seconds without an answer to anybody that make an outage; those that
# read the store do so each half second.
_SHORTEST_OUTAGE = 0.75
# Seconds for which answers are remembered.
_MEMORY = 5.0
# Seconds after an answer in which no other one is remembered.
_RESOLUTION = 0.05
_FAILURES_LIMIT = 32


class Outage(msgspec.Struct, frozen=True):
    """A time in which the store answered nobody.

    Attributes:
        failed: Monotonic time of the last call in it that failed.
        ended: Monotonic time of the first answer after it; None while no
            answer is known.
    """

    failed: float
    ended: float | None


class StoreHistory:
    """When the store answered some node, and when it failed to."""

    def __init__(self) -> None:
        # In order; what another node tells comes later than its time.
        self._answers: list[float] = []
        self._failures: collections.deque[float] = collections.deque(
            maxlen=_FAILURES_LIMIT
        )

    def note_answer(self, at: float) -> None:
        """Take note of a call that the store answered.

        Args:
            at: Monotonic time of the call, of this or another node.
        """
        place = bisect.bisect_right(self._answers, at)
        if place and at - self._answers[place - 1] < _RESOLUTION:
            return
        self._answers.insert(place, at)
        oldest = self._answers[-1] - _MEMORY
        # The last answer before that may be where an outage began.
        first = bisect.bisect_left(self._answers, oldest) - 1
        if first > 0:
            del self._answers[:first]

    def note_failure(self, at: float) -> None:
        """Take note of a call that failed at a monotonic time."""
        self._failures.append(at)

    def find_last_outage(self, now: float) -> Outage | None:
        """Return the last outage, over or not; None where none is known."""
        ended: float | None = None
        for began in reversed(self._answers):
            until = now if ended is None else ended
            if until - began > _SHORTEST_OUTAGE:
                failed = [at for at in self._failures if began < at < until]
                if failed:
                    return Outage(max(failed), ended)
            ended = began
        return None

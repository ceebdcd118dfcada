"""Tells outages of the store from refusals of single nodes.

The entries of instances expire while the store is down and return a
little later than the store does. During an outage a node may keep entries
that are missing, but not entries of instances that leave while the store
serves other nodes.

Nodes therefore tell each other when the store last answered them and when
a call last failed, and each node derives the outages by itself: an outage
is a period in which a call failed and no node got an answer.
"""

import bisect
import collections

import msgspec

__all__ = ["Outage", "StoreHistory"]

# Shortest period without an answer to any node that counts as an outage.
# The nodes that read the store do so every half second.
_MIN_OUTAGE_SECONDS = 0.75
# How long answers are remembered.
_ANSWERS_KEPT_SECONDS = 5.0
# An answer that follows another one by less than this is not recorded.
_RESOLUTION_SECONDS = 0.05
# Number of failed calls that are remembered.
_FAILURES_LIMIT = 32


class Outage(msgspec.Struct, frozen=True):
    """A period in which the store answered no node.

    Attributes:
        failed: Monotonic time in seconds of the last failed call in it.
        ended: Monotonic time in seconds of the first answer after it; None
            while no such answer is known.
    """

    failed: float
    ended: float | None


class StoreHistory:
    """Times at which the store answered some node or failed to."""

    def __init__(self) -> None:
        # Sorted; times that other nodes report arrive out of order.
        self._answers: list[float] = []
        self._failures: collections.deque[float] = collections.deque(
            maxlen=_FAILURES_LIMIT
        )

    def note_answer(self, at: float) -> None:
        """Record a call that the store answered.

        Args:
            at: Monotonic time in seconds of the call, by this node or
                another one.
        """
        index = bisect.bisect_right(self._answers, at)
        if index and at - self._answers[index - 1] < _RESOLUTION_SECONDS:
            return
        self._answers.insert(index, at)
        oldest = self._answers[-1] - _ANSWERS_KEPT_SECONDS
        # The last answer before `oldest` is kept: an outage may start there.
        first = bisect.bisect_left(self._answers, oldest) - 1
        if first > 0:
            del self._answers[:first]

    def note_failure(self, at: float) -> None:
        """Record a call that failed at a monotonic time in seconds."""
        self._failures.append(at)

    def find_last_outage(self, now: float) -> Outage | None:
        """Return the last known outage, whether or not it has ended."""
        ended: float | None = None
        for began in reversed(self._answers):
            until = now if ended is None else ended
            if until - began > _MIN_OUTAGE_SECONDS:
                failed = [at for at in self._failures if began < at < until]
                if failed:
                    return Outage(max(failed), ended)
            ended = began
        return None

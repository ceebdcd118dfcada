"""Whether reads that may be old lag too far behind the store.

The load it answers: reads that may be old are cheap, and mostly half a
second old at most. At times they are seconds old, and an instance that
said that it leaves would go on getting requests for as long. The store's
revision rises with every write; nodes that hear of a newer one than a
read shows, such as a lease's renewal, know that the read is old.
"""

import collections

__all__ = ["Staleness"]

# Seconds for which a newer revision must be known before a read without
# it counts as too old.
_TOLERANCE = 0.5
# Seconds in which no read may be old after one was too old.
_STRICT_READS = 4.0


class Staleness:
    """The store's revisions as they became known, and old reads."""

    def __init__(self) -> None:
        # When each revision became known, both rising.
        self._known: collections.deque[tuple[float, int]] = collections.deque()
        self._strict_until = 0.0

    def note_revision(self, revision: int, now: float) -> None:
        """Take note that the store has come to a revision."""
        if not self._known or revision > self._known[-1][1]:
            self._known.append((now, revision))
        self._forget(now)

    def note_read(self, revision: int, now: float) -> bool:
        """Take note of a read that may be old; return whether it is.

        Args:
            revision: Revision of the store that the read shows.
            now: Monotonic time at which it was asked for.
        """
        self._forget(now)
        if not self._known:
            return False
        at, newest = self._known[0]
        if now - at < _TOLERANCE or revision >= newest:
            return False
        self._strict_until = now + _STRICT_READS
        return True

    def is_strict(self, now: float) -> bool:
        """Return whether reads of late were too old."""
        return now < self._strict_until

    def _forget(self, now: float) -> None:
        """Keep the newest revision that has been known for long enough."""
        known = self._known
        while len(known) > 1 and now - known[1][0] >= _TOLERANCE:
            known.popleft()

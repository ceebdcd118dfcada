"""Detects stale reads that lag too far behind the store.

Stale reads are cheap and mostly at most half a second old. At times they
are seconds old, and an instance that has announced that it leaves would
go on getting requests for as long. The store's revision rises with every
write: a node that has learnt of a newer revision than a read shows, for
example from the renewal of a lease, knows that the read is stale.

Where the store has come back from an older copy, a stale read may still
show what was before.
"""

import collections

from currantwall.state import revisions

__all__ = ["Staleness"]

# A read counts as too old when it lacks a revision that has been known for
# this long.
_TOLERANCE_SECONDS = 0.5
# How long stale reads are not allowed after one that was too old.
_STRICT_READS_SECONDS = 4.0
# The same after the store was restored: stale reads are some seconds old.
_RESTORED_SECONDS = 8.0


class Staleness:
    """Tracks the store's revisions and detects reads that lag behind."""

    def __init__(self) -> None:
        # Pairs of the time when a revision became known and the revision;
        # both rise.
        self._revisions: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._strict_until = 0.0
        # The store's era; None until a revision is known.
        self._era: int | None = None

    @property
    def era(self) -> int:
        """Return the store's latest era that is known, 0 for none."""
        return self._era or 0

    def note_era(self, revision: int, now: float) -> bool:
        """Record the era of a revision, as learnt from whichever source.

        Args:
            revision: The revision; 0 for none.
            now: Monotonic time in seconds.

        Returns:
            Whether the store has been restored, as far as was known.
        """
        if not revision:
            return False
        era = revisions.get_era(revision)
        if self._era is not None and era <= self._era:
            return False
        is_restored = self._era is not None
        self._era = era
        if is_restored:
            self._strict_until = now + _RESTORED_SECONDS
        return is_restored

    def note_revision(self, revision: int, now: float) -> None:
        """Record that the store has reached a revision."""
        self.note_era(revision, now)
        if not self._revisions or revision > self._revisions[-1][1]:
            self._revisions.append((now, revision))
        self._drop_superseded(now)

    def note_read(self, revision: int, now: float) -> bool:
        """Record a read that may be stale; return whether it is too old.

        Args:
            revision: Revision of the store that the read shows.
            now: Monotonic time in seconds at which the read was requested.
        """
        if self.note_era(revision, now):
            return True
        self._drop_superseded(now)
        if not self._revisions:
            return False
        at, newest = self._revisions[0]
        if now - at < _TOLERANCE_SECONDS or revision >= newest:
            return False
        self._strict_until = now + _STRICT_READS_SECONDS
        return True

    def is_strict(self, now: float) -> bool:
        """Return whether stale reads are disallowed after one too old."""
        return now < self._strict_until

    def _drop_superseded(self, now: float) -> None:
        """Drop all revisions before the newest one past the tolerance."""
        revisions = self._revisions
        while (
            len(revisions) > 1 and now - revisions[1][0] >= _TOLERANCE_SECONDS
        ):
            revisions.popleft()

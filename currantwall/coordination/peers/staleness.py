"""Decides which stale reads are new enough.

Stale reads are cheap and mostly at most half a second old. At times they
are seconds old, and an instance that has announced that it leaves would
go on getting requests for as long. A read that shows a revision which the
store still had, or got, at some moment is as good as one from that moment.
Fresh reads and writes give such revisions, and nodes tell each other the
newest one. A read that proves too little is followed by a fresh one, by
which the next stale reads of all nodes are judged.

Where the store has come back from an older copy, a stale read may still
show what was before.
"""

import msgspec

from currantwall.state import revisions

__all__ = ["KnownRevision", "Staleness"]

# Greatest age of a stale read. With the interval of reads, and the time until
# other nodes have the list, it stays below the two seconds in which
# instances that leave may still get requests.
_MAX_AGE_SECONDS = 1.0
# How long stale reads are not allowed after one that lagged so far behind a
# known revision, and after the store was restored.
_STRICT_READS_SECONDS = 4.0
_RESTORED_SECONDS = 8.0
# How long revisions are remembered.
_KNOWN_TTL = 5.0


class KnownRevision(msgspec.Struct, frozen=True, array_like=True):
    """A revision, and how long ago the store had it or got it.

    Attributes:
        age: Seconds.
    """

    revision: int
    age: float


class Staleness:
    """Tracks revisions of the store and judges stale reads by them.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        # Pairs of a time and a revision that the store still had, or got,
        # at that time. Both rise.
        self._known: list[tuple[float, int]] = []
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
            now: The present time.

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

    def note_revision(self, revision: int, at: float) -> None:
        """Record a revision that the store had, or got, at a time or later.

        Args:
            revision: The revision.
            at: When the fresh read or the write was requested.
        """
        self.note_era(revision, at)
        if any(when >= at and rev <= revision for when, rev in self._known):
            # Proves nothing that is not known.
            return
        if self._known and self._known[-1][1] > revision:
            # From a node that was suspended, or whose write came late: the
            # store had got further by then.
            return
        earlier = [known for known in self._known if known[1] < revision]
        known = [*earlier, (at, revision)]
        self._known = [item for item in known if item[0] >= at - _KNOWN_TTL]

    def report_newest(self, now: float) -> KnownRevision | None:
        """Return the newest revision known, for other nodes."""
        if not self._known:
            return None
        at, revision = self._known[-1]
        return KnownRevision(revision, round(now - at, 3))

    def note_reported(self, known: KnownRevision | None, now: float) -> None:
        """Record the newest revision that another node knows."""
        if known is not None:
            self.note_revision(known.revision, now - known.age)

    def note_read(self, revision: int, now: float) -> bool:
        """Record a stale read; return whether a fresh one has to follow.

        Args:
            revision: Revision of the store that the read shows.
            now: Time at which the read was requested.
        """
        if self.note_era(revision, now):
            return True
        shown = [when for when, rev in self._known if rev <= revision]
        if shown and now - shown[-1] <= _MAX_AGE_SECONDS:
            return False
        if self._known and self._known[-1][1] > revision:
            self._strict_until = now + _STRICT_READS_SECONDS
        return True

    def is_strict(self, now: float) -> bool:
        """Return whether only fresh reads are allowed for the time being.

        A node that starts has nothing yet to judge others by.
        """
        return now < self._strict_until or not self._known

"""Entries of instances while the store has forgotten what it was told.

The store may come back from a copy that is some seconds old. The entries
written since are gone, or as they were before, until the instances write
them again. An instance that has left is listed again until its entry
lapses, and one that has announced its leaving is listed as ready.
"""

from collections import abc

import msgspec

from currantwall.coordination.requests import withdrawals
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import upstreams

__all__ = ["FormerEntries"]

# Seconds after the store was restored within which instances have written
# their entries again: two seconds, plus one read.
_REWRITE_SECONDS = 2.5
# The same until the entries have lapsed of instances that are gone.
_LAPSE_SECONDS = 10.0


class FormerEntries:
    """What was known of the instances before the store was restored.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        # When the store was found to have been restored, and its number
        # then: entries of higher numbers were written again.
        self._restored_at: float | None = None
        self._restored_number = 0
        # Number of the revision of each entry, and its instance, as known
        # then.
        self._entries: dict[
            ids.InstanceId, tuple[int, upstreams.Upstream]
        ] = {}
        # Instances that announced their leaving, or left the list.
        self._departures = withdrawals.Withdrawals()

    def note_change(
        self, change: upstreams.Change, fleet: upstreams.Fleet, now: float
    ) -> None:
        """Record the instances that leave, by the change of a list.

        Args:
            change: Difference that the list made.
            fleet: The instances with the change applied.
            now: The present time.
        """
        for upstream in (*change.old, *change.new):
            current = fleet.get(upstream.id)
            if current is None or (
                current.leaving and current.born == upstream.born
            ):
                self._departures.note_leaving(upstream, now)
        self._departures.expire(lambda name: fleet.get(name) is not None, now)

    def note_restore(
        self,
        revision: int,
        revisions_by_name: abc.Mapping[str, int],
        fleet: upstreams.Fleet,
        now: float,
    ) -> None:
        """Record that the store was restored.

        Args:
            revision: Revision of the first list since.
            revisions_by_name: Revision of each entry as known before.
            fleet: The instances as known before.
            now: The present time.
        """
        self._restored_at = now
        self._restored_number = revisions.get_number(revision)
        self._entries = {
            upstream.id: (
                revisions.get_number(revisions_by_name[upstream.id]),
                upstream,
            )
            for upstream in fleet.all()
            if upstream.id in revisions_by_name
        }

    def is_rewriting(self, now: float) -> bool:
        """Return whether entries may be missing or older than before."""
        return self._is_within(_REWRITE_SECONDS, now)

    def is_correcting(self, now: float) -> bool:
        """Return whether listed instances may be ones that have left."""
        return self._is_within(_LAPSE_SECONDS, now)

    def _is_within(self, seconds: float, now: float) -> bool:
        at = self._restored_at
        return at is not None and now < at + seconds

    def correct(
        self,
        listed: abc.Iterable[upstreams.Upstream],
        revisions_by_name: abc.Mapping[str, int],
        now: float,
    ) -> list[upstreams.Upstream]:
        """Return listed instances, without what the store has forgotten.

        For use while `is_correcting`.

        Args:
            listed: The instances by their entries.
            revisions_by_name: Revision of each entry.
            now: The present time.
        """
        is_rewriting = self.is_rewriting(now)
        found = []
        for upstream in listed:
            if is_rewriting:
                number = revisions.get_number(revisions_by_name[upstream.id])
                upstream = self._choose_newer(upstream, number)
            if self._departures.is_leaving(upstream):
                upstream = msgspec.structs.replace(upstream, leaving=True)
            found.append(upstream)
        return found

    def _choose_newer(
        self, listed: upstreams.Upstream, number: int
    ) -> upstreams.Upstream:
        """Return the entry known before if the listed one is older.

        An entry of a lower number than before was written before the copy
        was made, or again since. In the latter case it is used a little
        later, unless it tells that the instance leaves.
        """
        former_number, former = self._entries.get(listed.id, (0, listed))
        is_written_again = (
            listed.leaving
            or listed.born > former.born
            or number > self._restored_number
        )
        if is_written_again or number >= former_number:
            return listed
        return former

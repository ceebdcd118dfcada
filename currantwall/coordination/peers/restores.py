"""Entries of instances while the store has forgotten what it was told.

The store may come back from a copy that is some seconds old. The entries
written since are gone, or as they were before, until the instances write
them again. An instance that has left is listed again until its entry
lapses, and one that has announced its leaving is listed as ready. Nodes tell
each other of these, for those that start meanwhile.
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
# Most departures that are told to other nodes.
_MAX_REPORTED = 32


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
        # Those that are listed otherwise since the restore: the start of
        # each process, and until when that is not believed.
        self._corrected: dict[ids.InstanceId, tuple[int, float]] = {}
        # Until when listed instances have to be corrected.
        self._correcting_until = 0.0

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
        former = self._entries if self.is_rewriting(now) else {}
        self._restored_at = now
        self._restored_number = revisions.get_number(revision)
        self._correcting_until = now + _LAPSE_SECONDS
        self._entries = {}
        for upstream in fleet.all():
            known = former.get(upstream.id)
            if known is not None and known[1] is upstream:
                # Restored again before the entry was written again.
                self._entries[upstream.id] = known
            elif upstream.id in revisions_by_name:
                number = revisions.get_number(revisions_by_name[upstream.id])
                self._entries[upstream.id] = number, upstream

    def is_rewriting(self, now: float) -> bool:
        """Return whether entries may be missing or older than before."""
        at = self._restored_at
        return at is not None and now < at + _REWRITE_SECONDS

    def is_correcting(self, now: float) -> bool:
        """Return whether listed instances may be ones that have left."""
        return now < self._correcting_until

    # -- Other nodes

    def list_departures(
        self, now: float
    ) -> dict[ids.InstanceId, upstreams.Departure]:
        """Return the instances that are listed although they have left."""
        current = [
            (name, upstreams.Departure(born, round(until - now, 3)))
            for name, (born, until) in self._corrected.items()
            if until > now
        ]
        return dict(current[:_MAX_REPORTED])

    def note_departures(
        self,
        departures: abc.Mapping[ids.InstanceId, upstreams.Departure],
        now: float,
    ) -> bool:
        """Record what another node tells; return whether it is new."""
        is_new = False
        for name, departure in departures.items():
            born, until = self._corrected.get(name, (0, 0.0))
            if until > now and born == departure.born:
                continue
            until = now + departure.remaining
            self._corrected[name] = departure.born, until
            self._correcting_until = max(self._correcting_until, until)
            is_new = True
        return is_new

    # -- Lists

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
        self._corrected = {
            name: item
            for name, item in self._corrected.items()
            if item[1] > now
        }
        found = []
        for entry in listed:
            upstream = entry
            if is_rewriting:
                number = revisions.get_number(revisions_by_name[entry.id])
                upstream = self._choose_newer(entry, number)
            if not entry.leaving and self._has_left(upstream):
                upstream = msgspec.structs.replace(upstream, leaving=True)
            found.append(upstream)
        return found

    def _has_left(self, upstream: upstreams.Upstream) -> bool:
        """Return whether a listed instance has left, as far as is known."""
        born, _ = self._corrected.get(upstream.id, (None, 0.0))
        if born == upstream.born:
            return True
        if not self._departures.is_leaving(upstream):
            return False
        until = self._correcting_until
        self._corrected[upstream.id] = upstream.born, until
        return True

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

"""Keeps the list of instances up to date.

A few nodes of each data centre read the list from the store
(`Presence.reads_store`); the others fetch the changes from them. The reads
may be stale by seconds. They cost a tenth of fresh ones, and whatever must
be fresh is requested from the instances themselves.
"""

from collections import abc
import math

import eventlet
import eventlet.event
import msgspec
import result

from currantwall.coordination.peers import changes
from currantwall.coordination.peers import outages
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.peers import restores
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["FleetFeed"]

# Seconds after the end of an outage within which lapsed entries return:
# two seconds, plus one read.
_ENTRY_RETURN_TIME = 2.5
# Seconds between two reads of the list from the store.
_READ_INTERVAL = 0.5
# The same after a failed read, on a node that need not read for others.
_OUTAGE_READ_INTERVAL = 4.0
# Seconds between two checks whether a peer has a newer list.
_FOLLOW_INTERVAL = 0.25
# Seconds after which a list counts as old, and between two log lines about
# it. In an outage of the store it is as old as the outage.
_AGE_LIMIT = 3.0
_AGE_LOG_INTERVAL = 1.0
_AGE_METRIC = "currantwall.instances.age"
# Value of the metric on a node that has no list.
_NO_AGE = -1
# Name of this feed in the log lines about the store.
_FEED_NAME = "instances"
# Largest number of instance names in one field of a log line.
_NAMES_LIMIT = 8
# Largest number of characters of such a name.
_NAME_LENGTH = 80


class FleetFeed:
    """Keeps the list of instances.

    A node that does not read the store, or that the store refuses, fetches
    the changes from a peer that has a newer list.

    Attributes:
        on_change: Called after the list has changed.
        note_change: Called with the instances that differ in a new list,
            and whether there was a list before.
    """

    def __init__(
        self,
        store: ports.Store,
        documents: ports.Documents,
        fleet: upstreams.Fleet,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
    ) -> None:
        self._presence = presence
        self._history = presence.store_history
        self._reachable = True
        # When this node last asked for a list that it has applied.
        self._answered_at: float | None = None
        self._started_at = clock.now()
        # When it last logged that the list is old.
        self._told_at = -math.inf
        # Sent when a peer reports a newer list.
        self._newer_list = eventlet.event.Event()
        # Whether the last list was refused as older than the held one.
        self._is_refusing = False
        # Entries of no instance in use, as last logged.
        self._skipped: set[str] = set()
        # Instances kept although the list lacks them, as last logged.
        self._unlisted: set[ids.InstanceId] = set()
        self.on_change: abc.Callable[[], None] = _ignore
        self.note_change: abc.Callable[[upstreams.Change, bool], None] = (
            _ignore_change
        )
        # The newest list with its recent changes, for the peers.
        self._changes: changes.ChangeLog[ports.StoredObject] = (
            changes.ChangeLog()
        )
        self._store = store
        self._documents = documents
        self._former = restores.FormerEntries()
        # Whether the instances in use may differ from the list because the
        # store was restored.
        self._is_corrected = False
        self._decoder = _Decoder(documents)
        self._fleet = fleet
        self._log = log
        self._clock = clock

    @property
    def changed(self) -> int:
        """Return the revision at which the list last changed."""
        return self._changes.changed

    def run(self) -> None:
        """Follow the store, or a peer that reads it, forever."""
        while True:
            now = self._clock.now()
            self._check_age(now)
            self._drop_unlisted(now)
            if self._presence.reads_store(now):
                self._read_store(now)
                eventlet.sleep(self._choose_wait(now))
            else:
                self._follow_reader(now)

    def _choose_wait(self, now: float) -> float:
        """Return the seconds until the next read.

        In an outage the nodes that read for others are enough, unless this
        node has no list yet.
        """
        is_urgent = not self._fleet.is_known or self._presence.is_reader(now)
        if self._reachable or is_urgent:
            return _READ_INTERVAL
        return _OUTAGE_READ_INTERVAL

    def _read_store(self, asked_at: float) -> None:
        listed = self._list_upstreams(asked_at)
        if isinstance(listed, result.Err):
            self._history.note_failure(asked_at)
            self._note_unreachable(listed.err_value)
            self._fetch_newest(asked_at)
            return
        self._history.note_answer(asked_at)
        self._note_reachable()
        self._apply_list(listed.ok_value, asked_at)
        # Other nodes rely on this node's list from now on.
        self._answered_at = asked_at

    def _list_upstreams(
        self, asked_at: float
    ) -> result.Result[ports.Listing, ports.StoreFailure]:
        """Read the list, with a fresh read if a stale one proves too little.

        Failure: stale reads lag by seconds at times, and an instance that
        has announced that it leaves gets requests for as long.

        Args:
            asked_at: Monotonic time in seconds.
        """
        kind = self._documents.upstreams_kind
        staleness = self._presence.staleness
        if not staleness.is_strict(asked_at):
            listed = self._store.list(kind, stale=True)
            if isinstance(listed, result.Err):
                return listed
            revision = listed.ok_value.revision
            if not staleness.note_read(revision, asked_at):
                return listed
            self._log.write(
                "old_read",
                feed=_FEED_NAME,
                revision=revisions.describe(revision),
            )
        asked_at = self._clock.now()
        listed = self._store.list(kind, stale=False)
        if isinstance(listed, result.Ok):
            staleness.note_revision(listed.ok_value.revision, asked_at)
        return listed

    def _follow_reader(self, now: float) -> None:
        """Fetch a newer list from a peer, or wait if there is none."""
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None and self._fetch_list(newer, now):
            return
        if newer is None and self._fleet.is_known:
            answered_at = self._presence.store_answered_at or 0.0
            self._fleet.updated = max(self._fleet.updated, answered_at)
        with eventlet.Timeout(_FOLLOW_INTERVAL, False):
            self._newer_list.wait()

    def _drop_unlisted(self, now: float) -> None:
        """Drop lapsed instances that have not returned in time.

        Also use the list as it is once a restore is long enough ago.
        """
        is_correcting = self._former.is_correcting(now)
        if self._is_corrected and not is_correcting:
            self._fleet.has_unlisted = True
        self._is_corrected = is_correcting
        if self._fleet.has_unlisted and not self._may_lack_entries(now):
            self._apply_again(now)

    def note_peer_revision(self, changed: int) -> None:
        """Wake this feed if another node has a newer list.

        Args:
            changed: Revision at which that node's list last changed.
        """
        if changed > self.changed:
            event, self._newer_list = self._newer_list, eventlet.event.Event()
            event.send(None)

    def list_departures(
        self,
    ) -> dict[ids.InstanceId, upstreams.Departure]:
        """Return instances that a restored store lists although they left."""
        return self._former.list_departures(self._clock.now())

    def note_departures(
        self,
        departures: abc.Mapping[ids.InstanceId, upstreams.Departure],
    ) -> None:
        """Use no more what another node knows to have left.

        Failure: a node that starts just after a restore knows only what the
        store lists.
        """
        now = self._clock.now()
        if not self._former.note_departures(departures, now):
            return
        if self._fleet.is_known:
            self._fleet.has_unlisted = True
            self._apply_again(now)

    def report(self, meter: metrics_module.Metrics) -> None:
        """Set the metric of the list's age."""
        age = self._fleet.get_age(self._clock.now())
        meter.set(_AGE_METRIC, _NO_AGE if age is None else int(age * 1000))

    def _check_age(self, now: float) -> None:
        """Log that the list is old, or that this node has none.

        Failure: a node goes on with a list that nobody brings up to date,
        and nothing shows it but what it does wrong.
        """
        age = self._fleet.get_age(now)
        followed_for = now - self._started_at
        is_old = (followed_for if age is None else age) > _AGE_LIMIT
        if is_old and now - self._told_at >= _AGE_LOG_INTERVAL:
            self._told_at = now
            self._log.write("list_old", feed=_FEED_NAME, age=age)

    def get_store_age(self, now: float) -> float | None:
        """Return the seconds since this node last applied the store's list.

        None if this node does not read the store, or got no answer yet.
        """
        if self._answered_at is None or not self._presence.reads_store(now):
            return None
        return now - self._answered_at

    def _note_unreachable(self, why: ports.StoreFailure) -> None:
        if self._reachable:
            self._reachable = False
            self._log.write("store_lost", feed=_FEED_NAME, why=why.value)

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            self._log.write("store_regained", feed=_FEED_NAME)

    def _find_outage(self, now: float) -> outages.Outage | None:
        """Return the outage because of which entries may be missing.

        Failure: entries lapse during an outage, so after it the list lacks
        instances that still serve, and every replica is dissolved. The
        entries return within two seconds.
        """
        outage = self._history.find_last_outage(now)
        if outage is None or outage.ended is None:
            # A peer's list may arrive before the report that the store has
            # answered.
            return outage
        return outage if now < outage.ended + _ENTRY_RETURN_TIME else None

    def _may_lack_entries(self, now: float) -> bool:
        """Return whether the list may lack entries of live instances."""
        return (
            self._former.is_rewriting(now)
            or self._find_outage(now) is not None
        )

    # -- Lists of peers

    def _fetch_newest(self, now: float) -> None:
        """Fetch the newest list that a peer has, if it is newer."""
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None:
            self._fetch_list(newer, now)

    def _fetch_list(self, node: presence_module.NodeEntry, now: float) -> bool:
        """Fetch and apply a peer's changes.

        Returns:
            Whether the peer answered with a newer list.
        """
        try:
            data = peers.fetch(
                node.peer, peers.make_instances_path(self.changed)
            )
            found = msgspec.msgpack.decode(data, type=ports.Listing)
        except peers.FAILURES as error:
            why = type(error).__name__
            self._log.write("peer_fetch_failed", peer=node.id, why=why)
            return False
        if found.changed <= self.changed:
            # The peer has restarted since it reported a newer list.
            return False
        if found.failure_age is not None:
            self._history.note_failure(now - found.failure_age)
        self._apply_peer_list(found, now)
        self._changes.include_revision(found.changed)
        return True

    def _apply_peer_list(self, listing: ports.Listing, now: float) -> None:
        """Apply a peer's answer: a whole list, or the changes to one."""
        self._note_revision(listing.revision, now)
        if not listing.since:
            self._apply_list(listing, now)
        elif self._fleet.has_unlisted or self._may_lack_entries(now):
            objects = self._changes.apply(listing.objects, listing.removed)
            self._apply_list(ports.Listing(objects, listing.revision), now)
        else:
            self._apply_changes(listing, now)

    def list_changes(self, since: int) -> ports.Listing:
        """Return the changes after a revision, for a peer.

        Args:
            since: Revision of the peer's list; 0 if it has none.
        """
        now = self._clock.now()
        outage = self._find_outage(now)
        found = self._changes.list_since(since)
        return ports.Listing(
            found.objects,
            self._fleet.revision,
            found.removed,
            found.since,
            self.changed,
            now - outage.failed if outage else None,
        )

    # -- The list of this node

    def _apply_changes(self, listing: ports.Listing, asked_at: float) -> None:
        """Apply changes to the list of this node."""
        listed, unreadable = self._decoder.decode_changes(
            listing.objects, listing.removed
        )
        self._log_skipped()
        listed = self._correct(listed, listing.objects)
        gone = {ids.InstanceId(name) for name in listing.removed} | unreadable
        if not self._fleet.update(listed, gone, listing.revision, asked_at):
            return
        self._note_change(True)
        self._changes.merge(listing.objects, listing.removed, listing.revision)
        self.on_change()
        self._log_changes(listing.revision)

    def _note_revision(self, revision: int, now: float) -> None:
        """Record the revision of a list, and whether the store was restored.

        Failure: the store comes back from an older copy, and nodes go by
        entries from before others that they have acted upon.
        """
        self._presence.staleness.note_era(revision, now)
        if not self._fleet.is_known or not revisions.is_later_era(
            revision, self._fleet.revision
        ):
            return
        known = {one.name: one.revision for one in self._changes.objects}
        self._former.note_restore(revision, known, self._fleet, now)
        self._log.write(
            "store_restored",
            feed=_FEED_NAME,
            revision=revisions.describe(revision),
            before=revisions.describe(self._fleet.revision),
        )

    def _correct(
        self,
        listed: list[upstreams.Upstream],
        objects: abc.Iterable[ports.StoredObject],
    ) -> list[upstreams.Upstream]:
        """Return instances without what a restored store has forgotten."""
        now = self._clock.now()
        if not self._former.is_correcting(now):
            return listed
        by_name = {stored.name: stored.revision for stored in objects}
        return self._former.correct(listed, by_name, now)

    def _note_change(self, had_list: bool) -> None:
        """Pass on the difference that the last list made."""
        change = self._fleet.last_change
        self._former.note_change(change, self._fleet, self._clock.now())
        self.note_change(change, had_list)

    def _apply_again(self, now: float) -> None:
        """Apply the last list, which may now be read otherwise."""
        objects = self._changes.objects
        self._apply_list(ports.Listing(objects, self._fleet.revision), now)

    def _apply_list(self, listing: ports.Listing, asked_at: float) -> None:
        self._note_revision(listing.revision, asked_at)
        found = self._correct(
            self._decoder.decode(listing.objects), listing.objects
        )
        self._log_skipped()
        keep_missing = self._may_lack_entries(asked_at)
        had_list = self._fleet.is_known
        is_applied = self._fleet.replace(
            found, listing.revision, asked_at, keep_missing
        )
        self._log_refusal(listing.revision, not is_applied)
        if not is_applied:
            return
        self._note_change(had_list)
        known = self.changed
        self._changes.replace(listing.objects, listing.revision)
        if self.changed > known:
            self.on_change()
        self._log_changes(listing.revision)
        if keep_missing or self._unlisted:
            self._log_unlisted({one.id for one in found}, listing.revision)

    def _log_changes(self, revision: int) -> None:
        """Log the instances that the last change added or removed.

        Also logs the instances that have begun to leave.
        """
        change = self._fleet.last_change
        before = {one.id: one.leaving for one in change.old}
        after = {one.id: one.leaving for one in change.new}
        if before == after:
            return
        leaving = [
            name
            for name, leaves in after.items()
            if leaves and not before.get(name)
        ]
        self._log.write(
            "instances_changed",
            added=sorted(after.keys() - before.keys())[:_NAMES_LIMIT],
            leaving=sorted(leaving)[:_NAMES_LIMIT],
            removed=sorted(before.keys() - after.keys())[:_NAMES_LIMIT],
            total=len(self._fleet.all()),
            revision=revisions.describe(revision),
        )

    def _log_skipped(self) -> None:
        """Log the entries that are of no instance in use, on change.

        Another writer may have left them, with any text as their names.
        """
        skipped = self._decoder.skipped
        if skipped == self._skipped:
            return
        added = sorted(skipped - self._skipped)
        self._skipped = set(skipped)
        self._log.write(
            "entries_skipped",
            added=[repr(name[:_NAME_LENGTH]) for name in added[:_NAMES_LIMIT]],
            total=len(skipped),
        )

    def _log_refusal(self, revision: int, is_refused: bool) -> None:
        """Log that a list is refused as older than the held one, on change."""
        if is_refused and not self._is_refusing:
            self._log.write(
                "list_refused",
                revision=revisions.describe(revision),
                held=revisions.describe(self._fleet.revision),
                strict=self._presence.staleness.is_strict(self._clock.now()),
            )
        self._is_refusing = is_refused

    def _log_unlisted(
        self, listed: set[ids.InstanceId], revision: int
    ) -> None:
        """Log the instances kept although the list lacks them, on change."""
        unlisted = {one.id for one in self._fleet.all()} - listed
        if unlisted != self._unlisted:
            self._unlisted = unlisted
            self._log.write(
                "instances_kept",
                kept=sorted(unlisted)[:_NAMES_LIMIT],
                count=len(unlisted),
                revision=revisions.describe(revision),
            )


class _Decoder:
    """Decodes entries of instances, each revision of an entry once.

    Attributes:
        skipped: Names of the entries that are of no instance in use.
    """

    def __init__(self, documents: ports.Documents) -> None:
        self._documents = documents
        # Revision and instance of each entry; no instance if unreadable.
        self._cache: dict[str, tuple[int, upstreams.Upstream | None]] = {}
        self.skipped: set[str] = set()

    def decode(
        self, objects: abc.Collection[ports.StoredObject]
    ) -> list[upstreams.Upstream]:
        """Return the instances of the readable entries of a whole list."""
        cache = self._cache
        self._update_cache(
            [
                stored
                for stored in objects
                if stored.name not in cache
                or cache[stored.name][0] != stored.revision
            ]
        )
        if len(cache) > len(objects):
            present = {stored.name for stored in objects}
            for name in cache.keys() - present:
                del cache[name]
            self.skipped &= present
        listed = (cache[stored.name][1] for stored in objects)
        return [one for one in listed if one is not None]

    def decode_changes(
        self,
        objects: abc.Collection[ports.StoredObject],
        removed: abc.Iterable[str],
    ) -> tuple[list[upstreams.Upstream], set[ids.InstanceId]]:
        """Decode changed entries.

        Args:
            objects: The entries that were added or changed.
            removed: Names of the entries that were removed.

        Returns:
            The instances, and the IDs of the unreadable entries.
        """
        self._update_cache(objects)
        for name in removed:
            self._cache.pop(name, None)
            self.skipped.discard(name)
        listed = [self._cache[stored.name][1] for stored in objects]
        found = [one for one in listed if one is not None]
        names = {ids.InstanceId(stored.name) for stored in objects}
        return found, names - {one.id for one in found}

    def _update_cache(
        self, objects: abc.Collection[ports.StoredObject]
    ) -> None:
        decoded = {
            one.id: one for one in self._documents.decode_upstreams(objects)
        }
        for stored in objects:
            found = decoded.get(ids.InstanceId(stored.name))
            self._cache[stored.name] = stored.revision, found
            if found is None:
                self.skipped.add(stored.name)
            else:
                self.skipped.discard(stored.name)


def _ignore() -> None:
    return


def _ignore_change(_: upstreams.Change, __: bool) -> None:
    return

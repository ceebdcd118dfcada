"""Keeps the list of instances up to date.

A few nodes of each data centre read it for all (`Presence.reads_store`),
by reads that may be seconds old: they cost a tenth, and what must be
fresh is asked of the instances themselves. The others fetch from them
what has changed.
"""

from collections import abc

import eventlet
import eventlet.event
import msgspec
import result

from currantwall.coordination.peers import changes
from currantwall.coordination.peers import outages
from currantwall.coordination.peers import presence as presence_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import journal
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["FleetFeed"]

# Seconds after the store's return in which lapsed entries come back: two,
# and one read.
_ENTRIES_BACK = 2.5
# Seconds between two reads of the instances' list.
_FLEET_INTERVAL = 0.5
# The same after a failure, where other nodes read the store for this one.
_OUTAGE_INTERVAL = 4.0
# Seconds between two looks at whether a node has a newer list.
_LOOK_INTERVAL = 0.25
# Tells this feed's loss of the store from another one's in the log.
_FEED = "instances"
# Names in one line of the log.
_NAMES_LIMIT = 8


class FleetFeed:
    """Keeps the list of instances.

    A node that doesn't read the store, or is turned away by it, takes
    what has changed from a peer that has a newer list.
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
        # When the store last answered this node.
        self._answered: float | None = None
        self._news = eventlet.event.Event()
        # Instances held although the list lacks them.
        self._kept: set[ids.InstanceId] = set()
        # Called when the list held here has changed.
        self.on_change: abc.Callable[[], None] = _ignore
        # The newest list, for the peers.
        self._changes: changes.ChangeLog[ports.StoredObject] = (
            changes.ChangeLog()
        )
        self._store = store
        self._documents = documents
        self._decoder = _Decoder(documents)
        self._fleet = fleet
        self._log = log
        self._clock = clock

    @property
    def changed(self) -> int:
        """Return the revision at which the list last changed."""
        return self._changes.changed

    def run(self) -> None:
        """Follow the store, or whoever reads it, for ever."""
        while True:
            now = self._clock.now()
            self._drop_kept(now)
            if self._presence.reads_store(now):
                self._read_store(now)
                eventlet.sleep(self._choose_wait(now))
            else:
                self._follow_reader(now)

    def _choose_wait(self, now: float) -> float:
        """Return the seconds until the next read.

        In an outage those that read for others are enough.
        """
        hurries = not self._fleet.is_known or self._presence.is_reader(now)
        if self._reachable or hurries:
            return _FLEET_INTERVAL
        return _OUTAGE_INTERVAL

    def _read_store(self, asked: float) -> None:
        listed = self._list_upstreams(asked)
        if isinstance(listed, result.Err):
            self._history.note_failure(asked)
            self._note_unreachable(listed.err_value)
            self._ask_peer(asked)
            return
        self._history.note_answer(asked)
        self._note_reachable()
        self._answered = asked
        self._take(listed.ok_value, asked)

    def _list_upstreams(
        self, asked: float
    ) -> result.Result[ports.Listing, ports.StoreFailure]:
        """Read the list; afresh where reads that may be old lag.

        Failure: such reads are seconds old at times, and an instance that
        said that it leaves gets requests for as long.
        """
        kind = self._documents.upstreams_kind
        staleness = self._presence.staleness
        if staleness.is_strict(asked):
            return self._store.list(kind, stale=False)
        listed = self._store.list(kind, stale=True)
        if isinstance(listed, result.Err):
            return listed
        revision = listed.ok_value.revision
        if not staleness.note_read(revision, asked):
            return listed
        self._log.write("old_read", feed=_FEED, revision=revision)
        return self._store.list(kind, stale=False)

    def _follow_reader(self, now: float) -> None:
        """Take what is new; wait where nothing is."""
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None and self._fetch(newer, now):
            return
        if newer is None:
            seen = self._presence.store_answered_at or 0.0
            self._fleet.updated = max(self._fleet.updated, seen)
        with eventlet.Timeout(_LOOK_INTERVAL, False):
            self._news.wait()

    def _drop_kept(self, now: float) -> None:
        """Drop what had lapsed and has not come back in time."""
        if self._fleet.has_unlisted and not self._keeps_missing(now):
            held = ports.Listing(self._changes.objects, self._fleet.revision)
            self._take(held, now)

    def note_news(self, changed: int) -> None:
        """Take note of a revision that another node has."""
        if changed > self.changed:
            news, self._news = self._news, eventlet.event.Event()
            news.send(None)

    def get_store_age(self, now: float) -> float | None:
        """Return the seconds since the store answered this node.

        None where it is not this node's turn to read it.
        """
        if self._answered is None or not self._presence.reads_store(now):
            return None
        return now - self._answered

    def _note_unreachable(self, why: ports.StoreFailure) -> None:
        if self._reachable:
            self._reachable = False
            self._log.write("store_lost", feed=_FEED, why=why.value)

    def _note_reachable(self) -> None:
        if not self._reachable:
            self._reachable = True
            self._log.write("store_regained", feed=_FEED)

    def _find_outage(self, now: float) -> outages.Outage | None:
        """Return the outage for which entries may be missing.

        Failure: entries lapse while the store is away, and with its
        return the list lacks instances that serve; every replica would
        be taken apart. They are back within two seconds.
        """
        outage = self._history.find_last_outage(now)
        if outage is None or outage.ended is None:
            # A list may come from a peer before the news of an answer.
            return outage
        return outage if now < outage.ended + _ENTRIES_BACK else None

    def _keeps_missing(self, now: float) -> bool:
        """Return whether entries may be missing of instances that live."""
        return self._find_outage(now) is not None

    # -- What peers have

    def _ask_peer(self, now: float) -> None:
        """Take the newest list that a peer has."""
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None:
            self._fetch(newer, now)

    def _fetch(self, node: presence_module.NodeEntry, now: float) -> bool:
        """Take what has changed from a peer; return whether that went."""
        try:
            data = peers.fetch(node.peer, peers.make_path(self.changed))
            found = msgspec.msgpack.decode(data, type=ports.Listing)
        except peers.FAILURES as error:
            why = type(error).__name__
            self._log.write("peer_fetch_failed", peer=node.id, why=why)
            return False
        if found.changed <= self.changed:
            # It was told of before, but the peer has started again since.
            return False
        if found.failure_age is not None:
            self._history.note_failure(now - found.failure_age)
        self._take_passed_on(found, now)
        self._changes.include_revision(found.changed)
        return True

    def _take_passed_on(self, found: ports.Listing, now: float) -> None:
        """Take over a peer's list, or what has changed in it."""
        if not found.since:
            self._take(found, now)
        elif self._fleet.has_unlisted or self._keeps_missing(now):
            objects = self._changes.apply(found.objects, found.removed)
            self._take(ports.Listing(objects, found.revision), now)
        else:
            self._take_changes(found, now)

    def list_changes(self, since: int) -> ports.Listing:
        """Return what a peer lacks that asks from a revision."""
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

    # -- What is known

    def _take_changes(self, found: ports.Listing, asked: float) -> None:
        """Take over what differs from the list held here."""
        listed, unreadable = self._decoder.decode_changes(
            found.objects, found.removed
        )
        gone = {ids.InstanceId(name) for name in found.removed} | unreadable
        if not self._fleet.update(listed, gone, found.revision, asked):
            return
        self._changes.merge(found.objects, found.removed, found.revision)
        self.on_change()
        self._log_changes(found.revision)

    def _take(self, listing: ports.Listing, asked: float) -> None:
        found = self._decoder.decode(listing.objects)
        keep = self._keeps_missing(asked)
        if not self._fleet.replace(found, listing.revision, asked, keep):
            return
        known = self.changed
        self._changes.replace(listing.objects, listing.revision)
        if self.changed > known:
            self.on_change()
        self._log_changes(listing.revision)
        if keep or self._kept:
            self._log_kept({one.id for one in found}, listing.revision)

    def _log_changes(self, revision: int) -> None:
        """Log who came, began to drain or went with the last list."""
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
            revision=revision,
        )

    def _log_kept(self, listed: set[ids.InstanceId], revision: int) -> None:
        """Log the instances that are held although the list lacks them."""
        kept = {one.id for one in self._fleet.all()} - listed
        if kept != self._kept:
            self._kept = kept
            self._log.write(
                "instances_kept",
                kept=sorted(kept)[:_NAMES_LIMIT],
                count=len(kept),
                revision=revision,
            )


class _Decoder:
    """Decodes entries, each one once for each of its revisions."""

    def __init__(self, documents: ports.Documents) -> None:
        self._documents = documents
        # Revision of each entry, and the instance; none if unreadable.
        self._held: dict[str, tuple[int, upstreams.Upstream | None]] = {}

    def decode(
        self, objects: abc.Collection[ports.StoredObject]
    ) -> list[upstreams.Upstream]:
        """Return the instances in readable entries."""
        held = self._held
        self._decode(
            [
                one
                for one in objects
                if one.name not in held or held[one.name][0] != one.revision
            ]
        )
        if len(held) > len(objects):
            present = {one.name for one in objects}
            for name in held.keys() - present:
                del held[name]
        listed = (held[one.name][1] for one in objects)
        return [one for one in listed if one is not None]

    def decode_changes(
        self,
        objects: abc.Collection[ports.StoredObject],
        removed: abc.Iterable[str],
    ) -> tuple[list[upstreams.Upstream], set[ids.InstanceId]]:
        """Return the instances in some entries, and who is unreadable."""
        self._decode(objects)
        for name in removed:
            self._held.pop(name, None)
        listed = [self._held[one.name][1] for one in objects]
        found = [one for one in listed if one is not None]
        names = {ids.InstanceId(one.name) for one in objects}
        return found, names - {one.id for one in found}

    def _decode(self, objects: abc.Collection[ports.StoredObject]) -> None:
        decoded = {
            one.id: one for one in self._documents.decode_upstreams(objects)
        }
        for stored in objects:
            name = ids.InstanceId(stored.name)
            self._held[stored.name] = stored.revision, decoded.get(name)


def _ignore() -> None:
    return

"""Keeps the evacuated data centres up to date.

A few nodes of each data centre watch the evacuations in the store
(`Presence.reads_store`). The others learn of changes from heartbeats and
digests. A node that starts lists them once, or fetches them from a peer.
"""

from collections import abc

import eventlet
import msgspec
import result

from currantwall.coordination import calls
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import evacuations
from currantwall.state import evacuations as reports_module
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["EvacuationFeed"]

# Seconds to wait after the first failed call, and at most: the bound of an
# evacuation is 5 s, and another reader may be answered meanwhile.
_BACKOFF_FIRST = 0.1
_BACKOFF_LIMIT = 1.0
# The same on nodes for which other nodes read the store, as for the
# configuration: their calls are paid for and would only repeat those reads.
_FOLLOWER_BACKOFF_FIRST = 4.0
_FOLLOWER_BACKOFF_LIMIT = 8.0
# Seconds between two checks whether this node has to watch the store.
_ROLE_CHECK_INTERVAL = 0.25
# Seconds after the start within which the readers' heartbeats arrive.
_START_DELAY = 1.2
# Seconds between two fetches from peers.
_FETCH_INTERVAL = 0.25
# Name of this feed in the log lines about the store.
_FEED_NAME = "evacuations"
# Most data centres and the longest name that are reported: 0.8 KB in each
# heartbeat, whatever the store contains. Names without upstreams are reported
# too, as upstreams may start there later and nodes that list different
# upstreams must report the same names for a revision.
_MAX_DATACENTRES = 12
_MAX_NAME_BYTES = 64
# Source of a change that this node has read itself, in the log.
_STORE_SOURCE = "store"
_CHANGES_METRIC = "currantwall.evacuations"


class EvacuationFeed:
    """Follows the evacuations; does nothing where there are none.

    Attributes:
        on_change: Called after the evacuations have changed.
    """

    def __init__(
        self,
        store: ports.Store,
        documents: ports.Documents,
        known: evacuations.Evacuations,
        fleet: upstreams.Fleet,
        presence: presence_module.Presence,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        clock: timers.TimerService,
        bound: float,
    ) -> None:
        """Create the feed.

        Args:
            store: The store.
            documents: Names the kind of the objects.
            known: The evacuations that this node knows.
            fleet: The upstreams.
            presence: Knows which nodes read the store.
            meter: Receives metrics.
            log: Receives log lines.
            clock: Tells the time.
            bound: Seconds after which an evacuation must be in force.
        """
        self._store = store
        self._kind = documents.evacuations_kind
        self._known = known
        known.on_unconfirmed = self._log_suspension
        self._fleet = fleet
        self._presence = presence
        self._meter = meter
        self._log = log
        self._clock = clock
        seed = hashing.hash_text(presence.me.id)
        self._backoff = calls.Backoff(_BACKOFF_FIRST, _BACKOFF_LIMIT, seed)
        self._follower_backoff = calls.Backoff(
            _FOLLOWER_BACKOFF_FIRST, _FOLLOWER_BACKOFF_LIMIT, seed
        )
        self._times = calls.split_bound(bound)
        self._jitter = (seed % 16) / 16.0
        self._reachable = True
        self._fetching = False
        self._started = False
        # Names in the store as of the last answer.
        self._listed: set[str] = set()
        self.on_change: abc.Callable[[], None] = _ignore

    # -- The store

    def run(self) -> None:
        """Follow the store, or the peers that read it, forever."""
        while True:
            if self._known.expire(self._clock.now()):
                self._log.write("evacuations_unknown")
            # Until the first list, a revision may be one that only a node
            # which is not ready has reported.
            is_informed = self._known.revision and (
                self._started or self._known.is_known
            )
            if is_informed and not self._reads_store():
                eventlet.sleep(_ROLE_CHECK_INTERVAL)
                continue
            listed = self._store.list(self._kind)
            if not self._check_outcome(listed):
                continue
            assert isinstance(listed, result.Ok)
            listing = listed.ok_value
            self._listed = {stored.name for stored in listing.objects}
            self._apply(listing.revision)
            if not self._started:
                # No heartbeat has arrived yet, and most nodes will not need
                # a watch of their own.
                self._started = True
                eventlet.sleep(_START_DELAY)
            if self._known.is_known and self._reads_store():
                self._watch_store(listing.revision)
            else:
                # Just resumed: the answer may be from before the suspension.
                eventlet.sleep(_ROLE_CHECK_INTERVAL)

    def _reads_store(self) -> bool:
        return self._presence.reads_store(self._clock.now())

    def _watch_store(self, since: int) -> None:
        """Watch until a watch fails or this node need not read the store.

        Args:
            since: Revision from which to watch.
        """
        wait = self._times.wait * (0.5 + self._jitter / 2)
        while True:
            # A watch started after a suspension would delay the next list,
            # which is needed for confirmation, by its whole time.
            self._known.note_time(self._clock.now())
            if not self._known.is_known or not self._reads_store():
                return
            changed = self._store.watch(
                self._kind, since, wait, self._times.patience
            )
            wait = self._times.wait
            if not self._check_outcome(changed):
                return
            self._backoff.succeed()
            self._follower_backoff.succeed()
            assert isinstance(changed, result.Ok)
            changes = changed.ok_value
            written = {stored.name for stored in changes.objects}
            if written & changes.removed:
                # Written and removed in one answer, which doesn't tell the
                # order: list them.
                return
            self._listed = (self._listed | written) - changes.removed
            since = max(since, changes.revision)
            self._apply(since)

    def _check_outcome(
        self, outcome: result.Result[ports.Listing, ports.StoreFailure]
    ) -> bool:
        """Log the loss and return of the store; wait after a failure.

        Returns:
            Whether the call succeeded.
        """
        if isinstance(outcome, result.Ok):
            if not self._reachable:
                self._reachable = True
                self._log.write("store_regained", feed=_FEED_NAME)
            return True
        expired = outcome.err_value is ports.StoreFailure.EXPIRED
        if self._reachable and not expired:
            self._reachable = False
            why = outcome.err_value.value
            self._log.write("store_lost", feed=_FEED_NAME, why=why)
        eventlet.sleep(self._choose_backoff().fail())
        return False

    def _choose_backoff(self) -> calls.Backoff:
        """Return the backoff to use after a failure.

        Failure: in an outage every node calls the store each second. The
        nodes that read for others are enough, unless this node has learnt
        no revision yet, or waits for confirmation after a suspension.
        """
        is_urgent = (
            not self._known.revision
            or not self._known.is_known
            or self._presence.is_reader(self._clock.now())
        )
        return self._backoff if is_urgent else self._follower_backoff

    def _apply(self, revision: int) -> None:
        """Apply what the store has listed.

        An answer may have waited in its socket during a suspension, and
        then confirms nothing.
        """
        self._known.note_time(self._clock.now())
        names = self._select_names()
        report = reports_module.EvacuationReport(revision, names)
        self._note(report, _STORE_SOURCE)

    def _select_names(self) -> tuple[ids.DatacentreName, ...]:
        """Return the evacuated data centres, those with upstreams first."""
        used = {one.datacentre for one in self._fleet.all()}
        names = [
            ids.DatacentreName(name)
            for name in self._listed
            if len(name.encode()) <= _MAX_NAME_BYTES
        ]
        names.sort(key=lambda name: (name not in used, name))
        return tuple(names[:_MAX_DATACENTRES])

    # -- Other nodes

    def note_report(
        self,
        node: presence_module.NodeEntry,
        is_ready: bool,
        is_informed: bool,
        report: reports_module.EvacuationReport | None,
    ) -> None:
        """Apply another node's report; fetch it if this node needs it.

        Args:
            node: The other node.
            is_ready: Whether it takes requests.
            is_informed: Whether it has learnt the evacuations. A node that
                nothing could inform is ready as well.
            report: Its report; None where nothing has changed lately.
        """
        if report is not None:
            self._note(report, node.id, is_current=is_ready)
        if not is_ready:
            return
        self._known.note_contact(self._clock.now(), is_informed)
        if is_informed and not self._known.revision and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch_report, node)

    def _fetch_report(self, node: presence_module.NodeEntry) -> None:
        try:
            data = peers.fetch(node.peer, peers.EVACUATIONS_PATH)
            report = msgspec.msgpack.decode(
                data, type=reports_module.EvacuationReport
            )
            self._note(report, node.id)
        except peers.FAILURES as error:
            self._log.write(
                "peer_fetch_failed", peer=node.id, why=type(error).__name__
            )
            eventlet.sleep(_FETCH_INTERVAL)
        finally:
            self._fetching = False

    def encode_report(self) -> bytes:
        """Return what this node has learnt, for a peer; empty if nothing."""
        report = self._known.make_report(self._clock.now())
        if report is None or not self._known.is_known:
            return b""
        return peers.compress(msgspec.msgpack.encode(report))

    # -- Changes

    def _note(
        self,
        report: reports_module.EvacuationReport,
        source: str,
        *,
        is_current: bool = True,
    ) -> None:
        """Apply a report, and log what it changes."""
        change = self._known.note(
            report.revision,
            report.datacentres,
            self._clock.now(),
            is_current=is_current,
            retained_for=report.retained_for,
        )
        for datacentre in change.begun:
            self._log_change(
                "evacuation_begun", datacentre, report.revision, source
            )
        for datacentre in change.withdrawn:
            self._log_change(
                "evacuation_withdrawn", datacentre, report.revision, source
            )
        if change:
            self.on_change()

    def _log_suspension(self, seconds: float) -> None:
        """Log and count that this node waits for confirmation."""
        event = "evacuations_unconfirmed"
        self._meter.add(_CHANGES_METRIC, 1, event)
        self._log.write(event, suspended=round(seconds, 1))

    def _log_change(
        self,
        event: str,
        datacentre: ids.DatacentreName,
        revision: int,
        source: str,
    ) -> None:
        """Log and count a change, and warn of a name without upstreams.

        That may be a misspelled one: the evacuation has no effect.
        """
        count = sum(one.datacentre == datacentre for one in self._fleet.all())
        self._meter.add(_CHANGES_METRIC, 1, event)
        self._log.write(
            event,
            datacentre=datacentre,
            revision=revisions.describe(revision),
            source=source,
            upstreams=count,
        )
        if self._fleet.is_known and not count:
            self._log.write("evacuation_unknown_name", datacentre=datacentre)


def _ignore() -> None:
    return

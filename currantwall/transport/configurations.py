"""Keeps the configuration up to date.

A few nodes of each data centre watch the configuration in the store
(`Presence.reads_store`). The others learn of a newer version from
heartbeats and digests and fetch it from a peer that has it; so do nodes
that the store refuses.
"""

from collections import abc

import eventlet
import result

from currantwall.coordination import calls
from currantwall.coordination.peers import presence as presence_module
from currantwall.state import hashing
from currantwall.state import routes
from currantwall.transport import forwarding
from currantwall.transport import journal
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["ConfigurationFeed"]

# Seconds to wait after the first failure, and at most.
_BACKOFF_FIRST = 0.1
_BACKOFF_LIMIT = 1.0
# The same on nodes for which other nodes read the store: a hundred nodes
# that try at different times still notice its return soon enough.
_FOLLOWER_BACKOFF_FIRST = 4.0
_FOLLOWER_BACKOFF_LIMIT = 8.0
# Seconds that a node which watches the store waits before it fetches a
# newer version from a peer: its own watch usually returns that version
# first.
_PEER_FETCH_DELAY = 0.15
# Seconds after the start within which the readers' heartbeats arrive.
_START_DELAY = 1.2
# Seconds between two checks whether this node has to watch the store.
_ROLE_CHECK_INTERVAL = 0.25
# Name of this feed in the log lines about the store.
_FEED_NAME = "configuration"


class ConfigurationFeed:
    """Follows the configuration and applies its newest version.

    Attributes:
        document: The newest document, compressed for the peers.
        on_change: Called after another version has been applied.
    """

    def __init__(
        self,
        store: ports.Store,
        documents: ports.Documents,
        forwarder: forwarding.Forwarder,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
        bound: float,
    ) -> None:
        """Create the feed.

        Args:
            store: The store.
            documents: Decodes its objects.
            forwarder: Serves requests by the configuration.
            presence: Knows which nodes read the store.
            log: Receives log lines.
            clock: Tells the time.
            bound: Seconds after which a change must be in force.
        """
        self._store = store
        self._documents = documents
        self._forwarder = forwarder
        self._presence = presence
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
        self.document = b""
        self.on_change: abc.Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        table = self._forwarder.table
        return table.version if table else 0

    @property
    def is_store_reachable(self) -> bool:
        """Return whether the store answered the last call.

        True as well before the first call.
        """
        return self._reachable

    def run(self) -> None:
        """Follow the store, or the peers that read it, forever."""
        while True:
            if self.version and not self._reads_store():
                eventlet.sleep(_ROLE_CHECK_INTERVAL)
                continue
            listed = self._store.list(self._documents.configuration_kind)
            if not self._check_outcome(listed):
                continue
            assert isinstance(listed, result.Ok)
            self._apply_listing(listed.ok_value, "store")
            if self.version and not self._started:
                # No heartbeat has arrived yet, and most nodes will not need
                # a watch of their own.
                eventlet.sleep(_START_DELAY)
            self._started = True
            if not self.version or self._reads_store():
                self._watch_store(listed.ok_value.revision)

    def _reads_store(self) -> bool:
        return self._presence.reads_store(self._clock.now())

    def _watch_store(self, since: int) -> None:
        """Watch until a watch fails or this node need not read the store.

        Args:
            since: Revision from which to watch.
        """
        wait = self._times.wait * (0.5 + self._jitter / 2)
        kind = self._documents.configuration_kind
        while True:
            changed = self._store.watch(
                kind, since, wait, self._times.patience
            )
            wait = self._times.wait
            if not self._check_outcome(changed):
                return
            # Reset the backoffs only after a watch has succeeded. The store
            # may drop its history repeatedly, and each list read between
            # two watches would reset the wait.
            self._backoff.succeed()
            self._follower_backoff.succeed()
            assert isinstance(changed, result.Ok)
            self._apply_listing(changed.ok_value, "store")
            since = max(since, changed.ok_value.revision)
            if not self._reads_store():
                return

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
                self._log.write(
                    "store_regained", feed=_FEED_NAME, version=self.version
                )
            return True
        expired = outcome.err_value is ports.StoreFailure.EXPIRED
        if self._reachable and not expired:
            self._reachable = False
            why = outcome.err_value.value
            self._log.write(
                "store_lost", feed=_FEED_NAME, why=why, version=self.version
            )
        eventlet.sleep(self._choose_backoff().fail())
        return False

    def _choose_backoff(self) -> calls.Backoff:
        """Return the backoff to use after a failure.

        Failure: in an outage every node calls the store each second, and
        each call is paid for. The nodes that read for others are enough,
        unless this node has no configuration yet.
        """
        is_urgent = not self.version or self._presence.is_reader(
            self._clock.now()
        )
        return self._backoff if is_urgent else self._follower_backoff

    def _apply_listing(self, listing: ports.Listing, source: str) -> None:
        for stored in listing.objects:
            if stored.name == self._documents.configuration_name:
                self.apply(stored.value, source)

    def apply(self, document: bytes, source: str) -> None:
        """Apply a document if its version is newer than the one in force.

        Args:
            document: The encoded configuration.
            source: Where it comes from, for the log: the store or a peer.
        """
        decoded = self._documents.decode_configuration(document)
        if isinstance(decoded, result.Err):
            self._log.write(
                "configuration_unreadable",
                source=source,
                why=decoded.err_value,
                version=self.version,
            )
            return
        found = decoded.ok_value
        if found.version <= self.version:
            return
        before = self.version
        self._forwarder.table = routes.RouteTable(found)
        self.document = peers.compress(document)
        self._log.write(
            "configuration_applied",
            version=found.version,
            before=before,
            source=source,
            routes=len(found.routes),
        )
        self.on_change()

    def note_peer_version(
        self, node: presence_module.NodeEntry, version: int
    ) -> None:
        """Fetch the configuration from a peer if the peer's is newer.

        Failure: the store serves the operator and other nodes but refuses
        this one, which goes on accepting removed routes and keys.

        Args:
            node: The peer.
            version: The version in force there.
        """
        if version > self.version and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch_document, node, version)

    def _fetch_document(
        self, node: presence_module.NodeEntry, version: int
    ) -> None:
        try:
            if self.version and self._reads_store():
                eventlet.sleep(_PEER_FETCH_DELAY)
            if version <= self.version:
                return
            document = peers.fetch(node.peer, peers.CONFIGURATION_PATH)
            self.apply(document, node.id)
        except peers.FAILURES as error:
            self._log.write(
                "peer_fetch_failed", peer=node.id, why=type(error).__name__
            )
        finally:
            self._fetching = False


def _ignore() -> None:
    return

"""Keeps the configuration up to date.

The configuration is watched by a few nodes of each data centre
(`Presence.reads_store`). The others hear in heartbeats and digests that
there is a newer one and fetch it from whoever has it; that also serves
nodes that the store turns away.
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

# Seconds that one watch waits. A watch that has silently lost its
# connection is noticed after that; the watches of the nodes end at
# different times, so that some node always has a fresh one.
_WATCH_WAIT = 4.0
_BACKOFF_FIRST = 0.1
_BACKOFF_LIMIT = 1.0
# The same where other nodes read the store for this one: a hundred that
# try by turns find out soon enough when it is back.
_PATIENCE_FIRST = 4.0
_PATIENCE_LIMIT = 8.0
# Seconds that a node which watches the store waits before it fetches a
# newer version from a peer: its own watch mostly tells it first.
_PEER_PATIENCE = 0.15
# Seconds after the start in which the readers are heard.
_START_PAUSE = 1.2
# Seconds between two looks at whether this node has to watch.
_LOOK_INTERVAL = 0.25
# Tells this feed's loss of the store from another one's in the log.
_FEED = "configuration"


class ConfigurationFeed:
    """Keeps the newest configuration in force."""

    def __init__(
        self,
        store: ports.Store,
        documents: ports.Documents,
        forwarder: forwarding.Forwarder,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
    ) -> None:
        self._store = store
        self._documents = documents
        self._forwarder = forwarder
        self._presence = presence
        self._log = log
        self._clock = clock
        seed = hashing.hash_text(presence.me.id)
        self._backoff = calls.Backoff(_BACKOFF_FIRST, _BACKOFF_LIMIT, seed)
        self._patience = calls.Backoff(_PATIENCE_FIRST, _PATIENCE_LIMIT, seed)
        self._spread = (seed % 16) / 16.0
        self._reachable = True
        self._fetching = False
        self._started = False
        # The newest document, compressed, for the peers.
        self.document = b""
        # Called when another version has come into force.
        self.on_change: abc.Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        table = self._forwarder.table
        return table.version if table else 0

    @property
    def is_store_there(self) -> bool:
        """Return whether the store answered the last call, or none yet."""
        return self._reachable

    def run(self) -> None:
        """Follow the store, or whoever reads it, for ever."""
        while True:
            if self.version and not self._reads_store():
                eventlet.sleep(_LOOK_INTERVAL)
                continue
            listed = self._store.list(self._documents.configuration_kind)
            if not self._note(listed):
                continue
            assert isinstance(listed, result.Ok)
            self._take_all(listed.ok_value, "store")
            if self.version and not self._started:
                # Nobody is heard yet; most nodes need no watch of their own.
                eventlet.sleep(_START_PAUSE)
            self._started = True
            if not self.version or self._reads_store():
                self._follow(listed.ok_value.revision)

    def _reads_store(self) -> bool:
        return self._presence.reads_store(self._clock.now())

    def _follow(self, since: int) -> None:
        """Watch until the history is gone or another node watches."""
        wait = _WATCH_WAIT * (0.5 + self._spread / 2)
        kind = self._documents.configuration_kind
        while True:
            changed = self._store.watch(kind, since, wait)
            wait = _WATCH_WAIT
            if not self._note(changed):
                return
            # Not before: the store may drop its history again and again,
            # and each time the list is read anew without any wait.
            self._backoff.succeed()
            self._patience.succeed()
            assert isinstance(changed, result.Ok)
            self._take_all(changed.ok_value, "store")
            since = max(since, changed.ok_value.revision)
            self._presence.staleness.note_revision(since, self._clock.now())
            if not self._reads_store():
                return

    def _note(
        self, outcome: result.Result[ports.Listing, ports.StoreFailure]
    ) -> bool:
        """Log the loss and return of the store; wait after a failure."""
        if isinstance(outcome, result.Ok):
            if not self._reachable:
                self._reachable = True
                self._log.write(
                    "store_regained", feed=_FEED, version=self.version
                )
            return True
        expired = outcome.err_value is ports.StoreFailure.EXPIRED
        if self._reachable and not expired:
            self._reachable = False
            why = outcome.err_value.value
            self._log.write(
                "store_lost", feed=_FEED, why=why, version=self.version
            )
        eventlet.sleep(self._choose_backoff().fail())
        return False

    def _choose_backoff(self) -> calls.Backoff:
        """Return how long to wait after a failure.

        Failure: in an outage every node calls the store each second, and
        each call is paid for. Those that read for others are enough.
        """
        hurries = not self.version or self._presence.is_reader(
            self._clock.now()
        )
        return self._backoff if hurries else self._patience

    def _take_all(self, listing: ports.Listing, source: str) -> None:
        for stored in listing.objects:
            if stored.name == self._documents.configuration_name:
                self.take(stored.value, source)

    def take(self, document: bytes, source: str) -> None:
        """Put a document in force if it is newer than what is."""
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

    def note_peer(self, node: presence_module.NodeEntry, version: int) -> None:
        """Fetch a newer version from a peer that has one.

        Failure: the store serves the operator and other nodes but turns
        this one away; it would go on with dropped routes and keys.
        """
        if version > self.version and not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, node, version)

    def _fetch(self, node: presence_module.NodeEntry, version: int) -> None:
        try:
            if self.version and self._reads_store():
                eventlet.sleep(_PEER_PATIENCE)
            if version <= self.version:
                return
            document = peers.fetch(node.peer, peers.CONFIGURATION_PATH)
            self.take(document, node.id)
        except peers.FAILURES as error:
            self._log.write(
                "peer_fetch_failed", peer=node.id, why=type(error).__name__
            )
        finally:
            self._fetching = False


def _ignore() -> None:
    return

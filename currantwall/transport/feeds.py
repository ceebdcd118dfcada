"""Tasks that keep a node's view of the store up to date.

The configuration is watched; a second way, over the heartbeats of other
nodes, serves nodes that the store turns away. The lists of instances and
nodes are polled with reads that may be seconds old: those cost the store
a tenth, and what must be fresh is asked of the instances themselves.
"""

import eventlet
import eventlet.event
import msgspec
import result
import urllib3

from currantwall.coordination import calls
from currantwall.coordination import presence as presence_module
from currantwall.state import hashing
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import forwarding
from currantwall.transport import journal
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = [
    "INSTANCES_PATH",
    "NODES_KIND",
    "PEER_PATH",
    "ConfigurationFeed",
    "FleetFeed",
    "NodesFeed",
]

NODES_KIND = "currantwall-nodes"
PEER_PATH = "/configuration"
INSTANCES_PATH = "/instances"

# Seconds that one watch waits. A watch that has silently lost its
# connection is noticed after that; the watches of the nodes end at
# different times, so that some node always has a fresh one.
_WATCH_WAIT = 8.0
# Seconds after the store's return in which lapsed entries come back: two,
# and one read.
_ENTRIES_BACK = 2.5
# Seconds between two reads of the instances' list.
_FLEET_INTERVAL = 0.5
_NODES_INTERVAL = 2.0
_BACKOFF_FIRST = 0.1
_BACKOFF_LIMIT = 1.0
# Seconds after which a newer version that a peer has is fetched from it.
_PEER_PATIENCE = 0.15
_PEER_TIMEOUT = 0.5


class ConfigurationFeed:
    """Keeps the newest configuration in force."""

    def __init__(
        self,
        store: ports.Store,
        documents: ports.Documents,
        forwarder: forwarding.Forwarder,
        log: journal.Journal,
        clock: timers.TimerService,
        node: str,
    ) -> None:
        self._store = store
        self._documents = documents
        self._forwarder = forwarder
        self._log = log
        self._clock = clock
        seed = hashing.hash_text(node)
        self._backoff = calls.Backoff(_BACKOFF_FIRST, _BACKOFF_LIMIT, seed)
        self._spread = (seed % 16) / 16.0
        self._reachable = True
        self._fetching = False
        # The newest document as it came, for the peers.
        self.document = b""
        self.updated = 0.0

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        table = self._forwarder.table
        return table.version if table else 0

    def run(self) -> None:
        """Follow the store for ever."""
        while True:
            listed = self._store.list(self._documents.configuration_kind)
            if not self._note(listed):
                continue
            assert isinstance(listed, result.Ok)
            self._take_all(listed.ok_value, "store")
            self._follow(listed.ok_value.revision)

    def _follow(self, since: int) -> None:
        """Watch until the history is gone."""
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
            assert isinstance(changed, result.Ok)
            self._take_all(changed.ok_value, "store")
            since = max(since, changed.ok_value.revision)

    def _note(
        self, outcome: result.Result[ports.Listing, ports.StoreFailure]
    ) -> bool:
        """Log the loss and return of the store; wait after a failure."""
        if isinstance(outcome, result.Ok):
            if not self._reachable:
                self._reachable = True
                self._log.write("store_regained", version=self.version)
            return True
        expired = outcome.err_value is ports.StoreFailure.EXPIRED
        if self._reachable and not expired:
            self._reachable = False
            why = outcome.err_value.value
            self._log.write("store_lost", why=why, version=self.version)
        eventlet.sleep(self._backoff.fail())
        return False

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
        self.document = document
        self.updated = self._clock.now()
        self._log.write(
            "configuration_applied",
            version=found.version,
            before=before,
            source=source,
            routes=len(found.routes),
        )

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
            eventlet.sleep(_PEER_PATIENCE if self.version else 0.0)
            if version <= self.version:
                return
            with eventlet.Timeout(_PEER_TIMEOUT):
                document = _fetch_from_peer(node.peer, PEER_PATH)
            self.take(document, node.id)
        except (OSError, urllib3.exceptions.HTTPError, eventlet.Timeout) as e:
            self._log.write(
                "peer_fetch_failed", peer=node.id, why=type(e).__name__
            )
        finally:
            self._fetching = False


def _fetch_from_peer(address: str, path: str) -> bytes:
    connection = exchanges.open_connection(address, _PEER_TIMEOUT)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        data = response.data
        if response.status != 200:
            raise OSError(f"status {response.status}")
        return data
    finally:
        connection.close()


class FleetFeed:
    """Keeps the list of instances.

    A node that the store turns away takes the list from a peer that has
    a newer one.
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
        # When the store answered again after it had not.
        self._regained: float | None = None
        self._reachable = True
        # The newest list, for the peers.
        self.listing = ports.Listing((), 0)
        self._store = store
        self._documents = documents
        self._fleet = fleet
        self._log = log
        self._clock = clock

    def run(self) -> None:
        """Read the list for ever."""
        stale = False
        while True:
            asked = self._clock.now()
            listed = self._store.list(self._documents.upstreams_kind, stale)
            if isinstance(listed, result.Ok):
                self._note_reachable(asked)
                self._take(listed.ok_value, asked)
                stale = True
            else:
                self._reachable = False
                self._ask_peer()
            eventlet.sleep(_FLEET_INTERVAL)

    def _note_reachable(self, now: float) -> None:
        if not self._reachable:
            self._reachable = True
            self._regained = now

    def _keeps_missing(self, now: float) -> bool:
        """Return whether entries may be missing of instances that live.

        Failure: entries lapse while the store is away, and with its
        return the list lacks instances that serve; every replica would
        be taken apart. They are back within two seconds.
        """
        return self._regained is not None and (
            now < self._regained + _ENTRIES_BACK
        )

    def _ask_peer(self) -> None:
        """Take the list of the peer that has the newest one."""
        now = self._clock.now()
        newer = [
            one
            for one in self._presence.list_live(now)
            if one.instances > self._fleet.revision
        ]
        if not newer:
            return
        best = max(newer, key=lambda one: one.instances)
        try:
            with eventlet.Timeout(_PEER_TIMEOUT):
                data = _fetch_from_peer(best.node.peer, INSTANCES_PATH)
            found = msgspec.msgpack.decode(data, type=ports.Listing)
        except (
            OSError,
            urllib3.exceptions.HTTPError,
            msgspec.MsgspecError,
            eventlet.Timeout,
        ) as error:
            why = type(error).__name__
            self._log.write("peer_fetch_failed", peer=best.node.id, why=why)
            return
        self._take(found, now)

    def _take(self, listing: ports.Listing, asked: float) -> None:
        found = self._documents.decode_upstreams(listing.objects)
        before = {one.id for one in self._fleet.all()}
        keep = self._keeps_missing(asked)
        if not self._fleet.replace(found, listing.revision, asked, keep):
            return
        self.listing = listing
        after = {one.id for one in self._fleet.all()}
        if before != after:
            self._log.write(
                "instances_changed",
                added=sorted(after - before)[:8],
                removed=sorted(before - after)[:8],
                total=len(after),
                revision=listing.revision,
            )


class NodesFeed:
    """Registers this node and reads who else is registered."""

    def __init__(
        self,
        store: ports.Store,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
    ) -> None:
        self._store = store
        self._presence = presence
        self._log = log
        self._clock = clock
        self._registered = False

    def run(self) -> None:
        """Register once, then read the list for ever."""
        decoder = msgspec.json.Decoder(presence_module.NodeEntry)
        while True:
            if not self._registered:
                self._register()
            listed = self._store.list(NODES_KIND, self._registered)
            if isinstance(listed, result.Ok):
                self._take(listed.ok_value, decoder)
            soon = self._presence.count() == 1
            eventlet.sleep(0.3 if soon else _NODES_INTERVAL)

    def _register(self) -> None:
        me = self._presence.me
        value = msgspec.json.encode(me)
        outcome = self._store.put(NODES_KIND, me.id, value, None)
        self._registered = isinstance(outcome, result.Ok)

    def _take(
        self,
        listing: ports.Listing,
        decoder: "msgspec.json.Decoder[presence_module.NodeEntry]",
    ) -> None:
        entries = []
        for stored in listing.objects:
            try:
                entries.append(decoder.decode(stored.value))
            except msgspec.MsgspecError as error:
                self._log.write(
                    "node_entry_unreadable", name=stored.name, why=str(error)
                )
        self._presence.note_list(entries, self._clock.now())

    def leave(self) -> None:
        """Take this node off the list."""
        self._store.delete(NODES_KIND, self._presence.me.id)

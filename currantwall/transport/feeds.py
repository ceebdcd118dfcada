"""Tasks that keep a node's view of the store up to date.

A few nodes of each data centre read the store for all
(`Presence.reads_store`): they watch the configuration and poll the lists
of instances and nodes with reads that may be seconds old, which cost a
tenth; what must be fresh is asked of the instances themselves. The other
nodes hear in heartbeats and digests that there is something new and
fetch it from whoever has it. That also serves nodes that the store turns
away.
"""

from collections import abc
import http.client
import urllib.parse
import zlib

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
    "compress",
    "parse_since",
]

NODES_KIND = "currantwall-nodes"
PEER_PATH = "/configuration"
INSTANCES_PATH = "/instances"

# Seconds that one watch waits. A watch that has silently lost its
# connection is noticed after that; the watches of the nodes end at
# different times, so that some node always has a fresh one.
_WATCH_WAIT = 4.0
# Seconds after the store's return in which lapsed entries come back: two,
# and one read.
_ENTRIES_BACK = 2.5
# Seconds between two reads of the instances' list.
_FLEET_INTERVAL = 0.5
_NODES_INTERVAL = 2.0
# The same for nodes that don't read the store for others: they need the
# list only to know how to reach those they hear of.
_NODES_INTERVAL_OTHERS = 8.0
# The same where a node is heard of that is not listed here.
_NODES_SOON = 1.0
# Seconds between two looks at what a reader passes on, and at the nodes
# that are heard of but not listed.
_LOOK_INTERVAL = 0.25
# Removed instances whose removal is remembered for nodes that ask what
# has changed; one that asks from before them gets the whole list.
_REMOVALS_LIMIT = 256
_BACKOFF_FIRST = 0.1
_BACKOFF_LIMIT = 1.0
# Seconds that a node which watches the store waits before it fetches a
# newer version from a peer: its own watch mostly tells it first.
_PEER_PATIENCE = 0.15
_PEER_TIMEOUT = 0.5
# zlib's fastest; 8 ms for 0.4 MB.
_COMPRESSION = 1
_PEER_FAILURES = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    msgspec.MsgspecError,
    zlib.error,
    eventlet.Timeout,
)


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
        self._spread = (seed % 16) / 16.0
        self._reachable = True
        self._fetching = False
        # The newest document, compressed, for the peers.
        self.document = b""
        self.updated = 0.0
        # Called when another version has come into force.
        self.on_change: abc.Callable[[], None] = _ignore

    @property
    def version(self) -> int:
        """Return the version in force, 0 for none."""
        table = self._forwarder.table
        return table.version if table else 0

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
            assert isinstance(changed, result.Ok)
            self._take_all(changed.ok_value, "store")
            since = max(since, changed.ok_value.revision)
            if not self._reads_store():
                return

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
        self.document = compress(document)
        self.updated = self._clock.now()
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
            with eventlet.Timeout(_PEER_TIMEOUT):
                document = _fetch_from_peer(node.peer, PEER_PATH)
            self.take(document, node.id)
        except _PEER_FAILURES as error:
            self._log.write(
                "peer_fetch_failed", peer=node.id, why=type(error).__name__
            )
        finally:
            self._fetching = False


def _ignore() -> None:
    return


def _fetch_from_peer(address: str, path: str) -> bytes:
    """Return what a peer has; raises one of `_PEER_FAILURES`."""
    connection = exchanges.open_connection(address, _PEER_TIMEOUT)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        data = response.data
        if response.status != 200:
            raise OSError(f"status {response.status}")
        return zlib.decompress(data)
    finally:
        connection.close()


def compress(data: bytes) -> bytes:
    """Return a document as peers pass it on.

    A configuration of 1,400 routes has 0.4 MB, and fifty nodes fetch it
    from the two that have it; compressed it has a tenth.
    """
    return zlib.compress(data, _COMPRESSION)


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
        # When the store answered again after it had not.
        self._regained: float | None = None
        self._reachable = True
        # When the store last answered this node.
        self._answered: float | None = None
        self._news = eventlet.event.Event()
        # Revision at which the list was last seen to differ from before;
        # the store's own rises with every write of anything.
        self.changed = 0
        # The newest list, by name, for the peers.
        self._objects: dict[str, ports.StoredObject] = {}
        # Revisions at which instances were found to be gone.
        self._removals: dict[str, int] = {}
        # Revision since which all removals are known.
        self._horizon = 0
        self._store = store
        self._documents = documents
        self._fleet = fleet
        self._log = log
        self._clock = clock

    def run(self) -> None:
        """Follow the store, or whoever reads it, for ever."""
        while True:
            now = self._clock.now()
            if self._presence.reads_store(now):
                self._read_store(now)
                eventlet.sleep(_FLEET_INTERVAL)
            else:
                self._follow_reader(now)

    def _read_store(self, asked: float) -> None:
        stale = self._fleet.is_known
        listed = self._store.list(self._documents.upstreams_kind, stale)
        if isinstance(listed, result.Err):
            self._reachable = False
            self._ask_peer(asked)
            return
        self._note_reachable(asked)
        self._answered = asked
        self._take(listed.ok_value, asked)

    def _follow_reader(self, now: float) -> None:
        """Take what is new; wait where nothing is."""
        if self._fleet.has_kept and not self._keeps_missing(now):
            # What had lapsed has not come back.
            held = tuple(self._objects.values())
            self._take(ports.Listing(held, self._fleet.revision), now)
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None and self._fetch(newer, now):
            return
        if newer is None:
            seen = self._presence.store_seen or 0.0
            self._fleet.updated = max(self._fleet.updated, seen)
        with eventlet.Timeout(_LOOK_INTERVAL, False):
            self._news.wait()

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

    # -- What peers have

    def _ask_peer(self, now: float) -> None:
        """Take the newest list that a peer has."""
        newer = self._presence.find_newer_list(self.changed, now)
        if newer is not None:
            self._fetch(newer, now)

    def _fetch(self, node: presence_module.NodeEntry, now: float) -> bool:
        """Take what has changed from a peer; return whether that went."""
        path = f"{INSTANCES_PATH}?since={self.changed}"
        try:
            with eventlet.Timeout(_PEER_TIMEOUT):
                data = _fetch_from_peer(node.peer, path)
            found = msgspec.msgpack.decode(data, type=ports.Listing)
        except _PEER_FAILURES as error:
            why = type(error).__name__
            self._log.write("peer_fetch_failed", peer=node.id, why=why)
            return False
        if found.changed <= self.changed:
            # It was told of before, but the peer has started again since.
            return False
        if found.lapsed and not self._keeps_missing(now):
            self._regained = now
        self._take(self._apply(found) if found.since else found, now)
        # Also where the list held here was read later than the peer's.
        self.changed = max(self.changed, found.changed)
        return True

    def _apply(self, changes: ports.Listing) -> ports.Listing:
        """Return the whole list after some changes."""
        objects = {
            name: one
            for name, one in self._objects.items()
            if name not in changes.removed
        }
        objects |= {one.name: one for one in changes.objects}
        return ports.Listing(tuple(objects.values()), changes.revision)

    def list_changes(self, since: int) -> ports.Listing:
        """Return what has changed after a revision, or the whole list."""
        known = self._horizon <= since <= self.changed
        objects = tuple(
            one
            for one in self._objects.values()
            if not known or one.revision > since
        )
        removed = frozenset(
            name for name, at in self._removals.items() if at > since
        )
        return ports.Listing(
            objects,
            self._fleet.revision,
            removed if known else frozenset(),
            since if known else 0,
            self.changed,
            self._keeps_missing(self._clock.now()),
        )

    # -- What is known

    def _take(self, listing: ports.Listing, asked: float) -> None:
        found = self._documents.decode_upstreams(listing.objects)
        before = {one.id for one in self._fleet.all()}
        keep = self._keeps_missing(asked)
        if not self._fleet.replace(found, listing.revision, asked, keep):
            return
        self._remember(listing)
        after = {one.id for one in self._fleet.all()}
        if before != after:
            self._log.write(
                "instances_changed",
                added=sorted(after - before)[:8],
                removed=sorted(before - after)[:8],
                total=len(after),
                revision=listing.revision,
            )

    def _remember(self, listing: ports.Listing) -> None:
        """Keep a list for the peers, and what it no longer has."""
        objects = {one.name: one for one in listing.objects}
        if objects == self._objects:
            return
        if not self.changed:
            self._horizon = listing.revision
        self.changed = max(self.changed, listing.revision)
        for name in self._objects.keys() - objects.keys():
            self._removals[name] = listing.revision
        for name in objects.keys() & self._removals.keys():
            del self._removals[name]
        while len(self._removals) > _REMOVALS_LIMIT:
            oldest = min(self._removals, key=self._removals.__getitem__)
            self._horizon = max(self._horizon, self._removals.pop(oldest))
        self._objects = objects


def parse_since(target: str) -> int:
    """Return the revision that a peer asks from, 0 for none."""
    query = urllib.parse.parse_qs(target.partition("?")[2])
    text = query.get("since", ["0"])[0]
    return int(text) if text.isdecimal() else 0


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
            self._wait()

    def _wait(self) -> None:
        """Wait until the list is to be read again."""
        since = self._clock.now()
        while True:
            eventlet.sleep(_LOOK_INTERVAL)
            now = self._clock.now()
            reads = self._presence.reads_store(now)
            wait = _NODES_INTERVAL if reads else _NODES_INTERVAL_OTHERS
            if self._presence.lacks_entries:
                wait = _NODES_SOON
            if self._presence.count() == 1 or not self._registered:
                wait = _LOOK_INTERVAL
            if now - since >= wait:
                return

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

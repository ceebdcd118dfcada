"""Registers this node in the store and reads the list of all nodes."""

import eventlet
import msgspec
import result

from currantwall.coordination.peers import presence as presence_module
from currantwall.transport import journal
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["NodesFeed"]

NODES_KIND = "currantwall-nodes"
# Seconds between two reads of the list.
_READ_INTERVAL = 2.0
# The same on nodes that do not read the store for others: they need the
# list only for the addresses of nodes that others report.
_FOLLOWER_READ_INTERVAL = 8.0
# The same while another node reports a node that is missing from the list.
_UNKNOWN_NODE_READ_INTERVAL = 1.0
# Seconds between two checks whether the list is due to be read.
_CHECK_INTERVAL = 0.25


class NodesFeed:
    """Registers this node and keeps the list of nodes up to date."""

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
        # Revision of this node's entry, as written last.
        self._revision = 0
        # Entries that can't be read, as of the last list, and why.
        self._unreadable: dict[str, str] = {}

    def run(self) -> None:
        """Register this node, then read the list forever."""
        decoder = msgspec.json.Decoder(presence_module.NodeEntry)
        while True:
            if not self._registered:
                self._register()
            listed = self._store.list(NODES_KIND, self._registered)
            if isinstance(listed, result.Ok):
                self._apply_list(listed.ok_value, decoder)
            self._wait()

    def _wait(self) -> None:
        """Wait until the list is due to be read again."""
        since = self._clock.now()
        while True:
            eventlet.sleep(_CHECK_INTERVAL)
            now = self._clock.now()
            reads = self._presence.reads_store(now)
            wait = _READ_INTERVAL if reads else _FOLLOWER_READ_INTERVAL
            if self._presence.has_unknown_nodes:
                wait = _UNKNOWN_NODE_READ_INTERVAL
            if self._presence.count() == 1 or not self._registered:
                wait = _CHECK_INTERVAL
            if now - since >= wait:
                return

    def _register(self) -> None:
        me = self._presence.me
        value = msgspec.json.encode(me)
        # There is usually no entry: the node's last process removed it.
        outcome = self._store.put(NODES_KIND, me.id, value, 0)
        if outcome == result.Err(ports.StoreFailure.CONFLICT):
            outcome = self._store.put(NODES_KIND, me.id, value, None)
        if isinstance(outcome, result.Ok):
            self._registered = True
            self._revision = outcome.ok_value.revision

    def _apply_list(
        self,
        listing: ports.Listing,
        decoder: "msgspec.json.Decoder[presence_module.NodeEntry]",
    ) -> None:
        entries = []
        unreadable = {}
        for stored in listing.objects:
            try:
                entry = decoder.decode(stored.value)
            except ports.UNREADABLE as error:
                unreadable[stored.name] = str(error)
                continue
            if entry.is_dialable:
                entries.append(entry)
            else:
                unreadable[stored.name] = "an address that is none"
        for name in unreadable.keys() - self._unreadable.keys():
            self._log.write(
                "node_entry_unreadable", name=name, why=unreadable[name]
            )
        self._unreadable = unreadable
        self._presence.note_list(entries, self._clock.now())
        is_newer = listing.revision >= self._revision
        if is_newer and self._presence.me not in entries:
            # The store was restored, or the entry was removed late by the
            # node's last process.
            self._registered = False

    def leave(self) -> None:
        """Remove this node's entry from the store."""
        self._store.delete(NODES_KIND, self._presence.me.id)

"""Registers this node in the store and reads who else is registered."""

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
_NODES_INTERVAL = 2.0
# The same for nodes that don't read the store for others: they need the
# list only to know how to reach those they hear of.
_NODES_INTERVAL_OTHERS = 8.0
# The same where a node is heard of that is not listed here.
_NODES_SOON = 1.0
# Seconds between two looks at whether the list is due.
_LOOK_INTERVAL = 0.25


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
            if self._presence.has_unknown_nodes:
                wait = _NODES_SOON
            if self._presence.count() == 1 or not self._registered:
                wait = _LOOK_INTERVAL
            if now - since >= wait:
                return

    def _register(self) -> None:
        me = self._presence.me
        value = msgspec.json.encode(me)
        # Mostly there is none: its last process took it away.
        outcome = self._store.put(NODES_KIND, me.id, value, 0)
        if outcome == result.Err(ports.StoreFailure.CONFLICT):
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

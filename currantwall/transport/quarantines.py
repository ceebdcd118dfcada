"""Keeps the quarantined parts of prompts in the platform's store.

Failure: all nodes restart at once, and servers have to crash again before
the nodes know which part crashes them. A few nodes read the stored parts
when they start; the others learn of them from heartbeats. For each part two
nodes write what has changed, and everything again when the store has come
back from an older copy.
"""

import eventlet
import msgspec
import result

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import quarantine as quarantine_module
from currantwall.state import ids
from currantwall.state import numbers
from currantwall.state import revisions
from currantwall.transport import journal
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["KIND", "QuarantineFeed", "StoredPart"]

KIND = "currantwall-parts"
# Seconds between two checks whether there is something to read or write.
_CHECK_INTERVAL = 0.25
# The same after a call has failed, or while other nodes write the changes.
_RETRY_INTERVAL = 2.0
# Most characters of a part's id, which heartbeats contain.
_MAX_NAME_LENGTH = 128
# Nodes that write the changes of a part.
_WRITERS = 2


class StoredPart(msgspec.Struct, frozen=True):
    """A quarantined part, stored under its id.

    Attributes:
        trials: Number of requests with it that were tried.
    """

    trials: numbers.Count = 0


class QuarantineFeed:
    """Reads the quarantined parts at the start, and writes the changes."""

    def __init__(
        self,
        store: ports.Store,
        quarantine: quarantine_module.Quarantine,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._presence = presence
        self._log = log
        self._now = clock.now
        self._has_read = False
        # Era of the store in which `_stored` was learnt; None for none yet.
        self._era: int | None = None
        # The parts and trials that are known to be stored.
        self._stored: dict[ids.PartId, int] = {}

    def run(self) -> None:
        """Follow the quarantine forever."""
        while True:
            eventlet.sleep(self.update())

    def update(self) -> float:
        """Read or write what is due; return the seconds until the next."""
        now = self._now()
        is_read_due = not self._has_read and (
            self._presence.knows_all_nodes and self._presence.is_reader(now)
        )
        if is_read_due and not self._read():
            return _RETRY_INTERVAL
        if self._era is None:
            self._era = self._presence.store_era
        if self._presence.store_era > self._era and not self._reconcile(now):
            return _RETRY_INTERVAL
        current = self._quarantine.list_quarantined()
        if current == self._stored:
            return _CHECK_INTERVAL
        is_written = True
        for part in current.keys() | self._stored.keys():
            if current.get(part) != self._stored.get(part):
                is_written &= self._write(part, current.get(part))
        return _CHECK_INTERVAL if is_written else _RETRY_INTERVAL

    def _read(self) -> bool:
        """Read the stored parts; return whether that succeeded."""
        listed = self._store.list(KIND)
        if isinstance(listed, result.Err):
            return False
        self._has_read = True
        self._era = revisions.get_era(listed.ok_value.revision)
        now = self._now()
        for stored in listed.ok_value.objects:
            part = ids.PartId(stored.name)
            if len(part) > _MAX_NAME_LENGTH:
                self._log.write("part_unreadable", part=part, why="its name")
                continue
            try:
                trials = msgspec.json.decode(
                    stored.value, type=StoredPart
                ).trials
            except ports.UNREADABLE as error:
                self._log.write("part_unreadable", part=part, why=str(error))
                continue
            self._stored[part] = trials
            self._quarantine.restore(part, trials, now)
        return True

    def _reconcile(self, now: float) -> bool:
        """Begin anew after the store was restored; return whether it is done.

        What is quarantined is written again. What is not may be stored
        again, and is removed by the nodes that read the store.
        """
        era = self._presence.store_era
        if self._has_read and self._presence.is_reader(now):
            listed = self._store.list(KIND)
            if isinstance(listed, result.Err):
                return False
            current = self._quarantine.list_quarantined()
            for stored in listed.ok_value.objects:
                if ids.PartId(stored.name) not in current:
                    self._store.delete(KIND, stored.name)
            era = max(era, revisions.get_era(listed.ok_value.revision))
        self._era = era
        self._stored.clear()
        return True

    def _write(self, part: ids.PartId, trials: int | None) -> bool:
        """Store a part, or remove it; return whether that is done.

        Args:
            part: The part.
            trials: Its trials; None if it is no longer quarantined.
        """
        ranking = self._presence.rank(f"part:{part}", self._now())
        if self._presence.me.id not in ranking[:_WRITERS]:
            return False
        if trials is None:
            self._store.delete(KIND, part)
            self._stored.pop(part, None)
            return True
        value = msgspec.json.encode(StoredPart(trials))
        outcome = self._store.put(KIND, part, value, None)
        if isinstance(outcome, result.Err):
            return False
        self._stored[part] = trials
        return True

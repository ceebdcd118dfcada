"""Objects with versions and conditional updates, in memory."""

import collections

from currantwall.state import objects

__all__ = ["Store"]

_EVENTS_LIMIT = 10_000


class Store:
    """Objects, their versions and the events of their changes.

    Versions come from one growing revision; a deletion leaves nothing
    behind but its event.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[objects.ObjectKey, objects.Stored] = {}
        self._events: collections.deque[objects.Stored] = collections.deque(
            maxlen=_EVENTS_LIMIT
        )
        self._first_event = 0

    def get(self, key: objects.ObjectKey) -> objects.Stored | None:
        """Return the object, None when there is none."""
        return self._objects.get(key)

    def write(
        self, key: objects.ObjectKey, value: bytes, expected: int
    ) -> int | None:
        """Return the new version, None when the condition failed."""
        held = self._objects.get(key)
        if (held.version if held else 0) != expected:
            return None
        if held is None and not value:
            return None
        self.revision += 1
        stored = objects.Stored(key, self.revision, value)
        if value:
            self._objects[key] = stored
        else:
            del self._objects[key]
        if len(self._events) == _EVENTS_LIMIT:
            self._first_event = self._events[0].version
        self._events.append(stored)
        return self.revision

    def forget(self) -> None:
        """Drop the events of all changes so far."""
        self._events.clear()
        self._first_event = self.revision

    def select(self, kinds: set[str]) -> list[objects.Stored]:
        """Return all objects of some kinds."""
        return [
            stored
            for key, stored in self._objects.items()
            if key.kind in kinds
        ]

    def select_events(
        self, kinds: set[str], since: int
    ) -> list[objects.Stored] | None:
        """Return the changes after a revision, None when forgotten."""
        if since < self._first_event or since > self.revision:
            return None
        found: list[objects.Stored] = []
        for stored in reversed(self._events):
            if stored.version <= since:
                break
            if stored.key.kind in kinds:
                found.append(stored)
        found.reverse()
        return found

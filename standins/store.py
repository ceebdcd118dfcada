"""An in-memory object store with versions and conditional writes."""

import collections
import typing

from currantwall.state import objects

__all__ = ["Store"]

_EVENTS_LIMIT = 10_000  # events kept for watches


class _Copy(typing.NamedTuple):
    """What a store held when it was copied."""

    revision: int
    objects: dict[objects.ObjectKey, objects.Stored]
    events: list[objects.Stored]
    last_dropped: int


class Store:
    """Objects, their versions and the latest events of their changes.

    Versions are taken from one increasing revision. A deletion leaves only
    its event, which has an empty value.

    Attributes:
        revision: Revision of the last change.
        era: Rises each time the store comes back from a copy.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.era = 1
        self._objects: dict[objects.ObjectKey, objects.Stored] = {}
        self._events: collections.deque[objects.Stored] = collections.deque(
            maxlen=_EVENTS_LIMIT
        )
        # Version of the newest event that is no longer kept.
        self._last_dropped = 0
        self.copy()

    def copy(self) -> None:
        """Copy what the store holds, for `restore`."""
        self._copy = _Copy(
            self.revision,
            dict(self._objects),
            list(self._events),
            self._last_dropped,
        )

    def restore(self) -> None:
        """Come back from the last copy; what was written since is lost."""
        self.era += 1
        self.revision = self._copy.revision
        self._objects = dict(self._copy.objects)
        self._events = collections.deque(
            self._copy.events, maxlen=_EVENTS_LIMIT
        )
        self._last_dropped = self._copy.last_dropped

    def get(self, key: objects.ObjectKey) -> objects.Stored | None:
        """Return the object, or None when there is none."""
        return self._objects.get(key)

    def write(
        self, key: objects.ObjectKey, value: bytes, expected: int
    ) -> int | None:
        """Write an object if it has the expected version.

        Args:
            key: The object.
            value: Its new value; empty deletes it.
            expected: Its current version, 0 for an object to be created.

        Returns:
            The new version, or None when the condition failed.
        """
        current = self._objects.get(key)
        if (current.version if current else 0) != expected:
            return None
        if current is None and not value:
            return None
        self.revision += 1
        stored = objects.Stored(key, self.revision, value)
        if value:
            self._objects[key] = stored
        else:
            del self._objects[key]
        if len(self._events) == _EVENTS_LIMIT:
            self._last_dropped = self._events[0].version
        self._events.append(stored)
        return self.revision

    def forget(self) -> None:
        """Drop the events of all changes so far, as a compaction does."""
        self._events.clear()
        self._last_dropped = self.revision

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
        """Return the changes after a revision, oldest first.

        None when the events after it are no longer kept, or when the
        revision is newer than the store's.
        """
        if since < self._last_dropped or since > self.revision:
            return None
        found: list[objects.Stored] = []
        for stored in reversed(self._events):
            if stored.version <= since:
                break
            if stored.key.kind in kinds:
                found.append(stored)
        found.reverse()
        return found

"""Change log of a list, for nodes that have an older copy of it.

A list of 300 instances takes 0.1 MB, and fifty nodes of a data centre need
each change of it within half a second over links of 7 Mbit/s. The nodes
that read the list therefore send the others only what they lack.
"""

from collections import abc
import typing

__all__ = ["Changes", "ChangeLog"]

# Removed objects that are remembered. A node whose copy is older than the
# oldest of them gets the whole list.
_REMOVALS_LIMIT = 256


class Versioned(typing.Protocol):
    """An object of the list."""

    @property
    def name(self) -> str:
        """Return the unique name of the object."""
        raise NotImplementedError

    @property
    def revision(self) -> int:
        """Return the revision of its last change."""
        raise NotImplementedError


Item = typing.TypeVar("Item", bound=Versioned)


class Changes(typing.NamedTuple, typing.Generic[Item]):
    """The difference between a node's copy and the current list.

    Attributes:
        objects: Objects that are new or changed; all if `since` is 0.
        removed: Names of removed objects.
        since: Revision of the copy that the difference applies to; 0 if
            the difference is the whole list.
    """

    objects: tuple[Item, ...]
    removed: frozenset[str]
    since: int


class ChangeLog(typing.Generic[Item]):
    """A list and the recent removals from it."""

    def __init__(self) -> None:
        self._objects: dict[str, Item] = {}
        # Revision at which each removed object was found to be missing.
        self._removals: dict[str, int] = {}
        # Removals after this revision are all in `_removals`.
        self._complete_since = 0
        # Revision at which the list last changed. The store's own revision
        # rises with every write of any object.
        self.changed = 0

    @property
    def objects(self) -> tuple[Item, ...]:
        """Return the objects of the list."""
        return tuple(self._objects.values())

    def replace(self, listed: abc.Iterable[Item], revision: int) -> None:
        """Replace the list by a complete one as of a revision."""
        objects = {item.name: item for item in listed}
        if objects == self._objects:
            return
        if not self.changed:
            self._complete_since = revision
        self.changed = max(self.changed, revision)
        for name in self._objects.keys() - objects.keys():
            self._removals[name] = revision
        for name in objects.keys() & self._removals.keys():
            del self._removals[name]
        self._trim_removals()
        self._objects = objects

    def _trim_removals(self) -> None:
        while len(self._removals) > _REMOVALS_LIMIT:
            oldest = min(self._removals, key=self._removals.__getitem__)
            self._complete_since = max(
                self._complete_since, self._removals.pop(oldest)
            )

    def merge(
        self,
        objects: abc.Iterable[Item],
        removed: abc.Iterable[str],
        revision: int,
    ) -> None:
        """Merge changes as of a revision into the list."""
        for item in objects:
            self._objects[item.name] = item
            self._removals.pop(item.name, None)
        for name in removed:
            if self._objects.pop(name, None) is not None:
                self._removals[name] = revision
        self._trim_removals()
        self.changed = max(self.changed, revision)

    def include_revision(self, changed: int) -> None:
        """Record that this list includes another node's list.

        Failure: this list was read later than the other one. The other one
        is refused as older, and would be requested again without end.

        Args:
            changed: Revision at which the other list last changed.
        """
        self.changed = max(self.changed, changed)

    def list_since(self, since: int) -> Changes[Item]:
        """Return what a node lacks whose copy is as of a revision."""
        if not self._complete_since <= since <= self.changed:
            return Changes(self.objects, frozenset(), 0)
        objects = tuple(
            item for item in self._objects.values() if item.revision > since
        )
        removed = frozenset(
            name for name, at in self._removals.items() if at > since
        )
        return Changes(objects, removed, since)

    def apply(
        self, objects: abc.Iterable[Item], removed: abc.Container[str]
    ) -> tuple[Item, ...]:
        """Return the list with changes applied; the log stays as it is."""
        remaining = {
            name: item
            for name, item in self._objects.items()
            if name not in removed
        }
        remaining |= {item.name: item for item in objects}
        return tuple(remaining.values())

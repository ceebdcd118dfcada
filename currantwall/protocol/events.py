"""Event streams, cut at event boundaries.

Only whole events are passed on. When an upstream breaks off inside an
event, the part is dropped and another upstream sends that event again,
so the caller gets each event once.
"""

import re

import msgspec

__all__ = ["Event", "Splitter"]

# An empty line ends an event; servers end lines in either way.
_END = re.compile(rb"\r?\n\r?\n")
_ID = b"id:"


class Event(msgspec.Struct, frozen=True):
    """One whole event with its end mark, byte for byte."""

    id: str
    data: bytes


class Splitter:
    """Cuts a stream of bytes into events."""

    def __init__(self) -> None:
        self._held = b""

    @property
    def rest(self) -> bytes:
        """Return what is held of an event that has not ended."""
        return self._held

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole now."""
        self._held += data
        found = []
        while (mark := _END.search(self._held)) is not None:
            whole = self._held[: mark.end()]
            self._held = self._held[mark.end() :]
            found.append(Event(_find_id(whole), whole))
        return found


def _find_id(event: bytes) -> str:
    """Return the id of an event, empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""

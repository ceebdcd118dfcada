"""Streams of server-sent events, split at event boundaries.

Only complete events are passed on. If an upstream fails in the middle of
an event, the incomplete event is dropped and another upstream sends it
again, so the caller gets each event once.
"""

import re

import msgspec

__all__ = ["Event", "Splitter"]

# An empty line ends an event; servers end lines with LF or CRLF.
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_END_BYTES = 4
_ID_FIELD = b"id:"


class Event(msgspec.Struct, frozen=True):
    """A complete event.

    Attributes:
        id: Its ``id`` field; empty if it has none.
        data: Its bytes as received, including the empty line.
    """

    id: str
    data: bytes


class Splitter:
    """Splits a stream of bytes into events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def is_inside_event(self) -> bool:
        """Return whether an event has begun that is not complete."""
        return bool(self._buffer.strip(b"\r\n"))

    def feed(self, data: bytes) -> list[Event]:
        """Add data to the buffer; return the events that it completes.

        Failure: an event comes in pieces without end. If each piece has all
        of it searched, the process does nothing else.
        """
        # What was searched before may end with a part of an empty line.
        start = max(0, len(self._buffer) - (_EVENT_END_BYTES - 1))
        begin = 0
        self._buffer += data
        complete = []
        while match := _EVENT_END.search(self._buffer, start):
            start = match.end()
            event = bytes(self._buffer[begin:start])
            begin = start
            complete.append(Event(_find_id(event), event))
        del self._buffer[:begin]
        return complete


def _find_id(event: bytes) -> str:
    """Return the id of an event; empty if it has none."""
    for line in event.split(b"\n"):
        if line.startswith(_ID_FIELD):
            return line[len(_ID_FIELD) :].strip().decode("latin-1")
    return ""

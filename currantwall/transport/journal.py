"""The log of a gateway process: structured lines on standard output.

Failure: the reader of the output hangs, the pipe fills up, and a process
that blocks on its log serves no requests. Lines therefore go to a bounded
buffer, which a task of its own empties without blocking. Lines that do not
fit are dropped and counted, and the count is logged.
"""

import collections
import errno
import os
import typing

import eventlet
import eventlet.hubs
import eventlet.patcher
import structlog

__all__ = ["Journal"]

# Most lines that the buffer holds; about 0.3 MB.
_BUFFER_LINES_LIMIT = 1024
# Most lines that are logged in a second. A node at its peak writes two
# lines per request at about 100 requests a second.
_LINES_PER_SECOND_LIMIT = 300
_STDOUT = 1
# Most characters of a field that is text.
_MAX_TEXT_LENGTH = 500
# Seconds between two flushes of the buffer.
_FLUSH_INTERVAL = 0.25

_write = eventlet.patcher.original("os").write


class Journal:
    """Logs events as JSON, one object per line."""

    def __init__(self, node: str, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._lines_in_second = 0
        self._log = structlog.wrap_logger(
            _Sink(self._append),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.BoundLogger,
        ).bind(node=node)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Log one event; never blocks and never raises.

        Args:
            event: Name of the event.
            fields: Fields of the line.
        """
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._lines_in_second = 0
        self._lines_in_second += 1
        full = len(self._lines) >= _BUFFER_LINES_LIMIT
        if full or self._lines_in_second > _LINES_PER_SECOND_LIMIT:
            self._dropped += 1
            return
        if self._dropped:
            fields["lines_dropped_before"] = self._dropped
            self._dropped = 0
        try:
            self._log.msg(event, **_shorten(fields))
        except (TypeError, ValueError):
            # A field that JSON cannot represent must not fail the caller.
            self._dropped += 1

    def _append(self, line: str) -> None:
        self._lines.append(line.encode("utf-8", "replace") + b"\n")

    def run(self) -> None:
        """Flush the buffer forever."""
        os.set_blocking(_STDOUT, False)
        while True:
            self.flush()
            eventlet.sleep(_FLUSH_INTERVAL)

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self._lines:
            batch = b"".join(self._lines)
            try:
                sent = _write(_STDOUT, batch)
            except OSError as error:
                if error.errno != errno.EAGAIN:
                    # The reader is gone; go on serving without a log.
                    self._lines.clear()
                return
            self._lines.clear()
            if sent < len(batch):
                self._lines.append(batch[sent:])
                return


def _shorten(fields: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Return the fields of a line with long texts cut.

    Failure: text of another writer, such as a name of a megabyte, takes the
    place of all other lines.
    """
    return {
        key: _cut(value) if isinstance(value, str) else value
        for key, value in fields.items()
    }


def _cut(text: str) -> str:
    if len(text) <= _MAX_TEXT_LENGTH:
        return text
    return f"{text[:_MAX_TEXT_LENGTH]}... ({len(text)} characters)"


class _Sink:
    """The logger that structlog calls with each rendered line."""

    def __init__(self, append: typing.Callable[[str], None]) -> None:
        self._append = append

    def msg(self, line: str) -> None:
        """Append one line to the buffer."""
        self._append(line)

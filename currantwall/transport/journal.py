"""The log of a gateway process: structured lines on standard output.

Failure: whoever reads the output stands still, the pipe fills, and a
process that blocks on its log serves nobody. Lines therefore wait in a
bounded buffer that a task of its own empties without blocking; what
does not fit is dropped and counted, and the count is logged.
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

# Lines that wait to be written; about 0.3 MB.
_BUFFER_LINES = 1024
# Lines a second that are kept. A node at its peak writes two lines a
# request for about 100 requests a second.
_LINES_PER_SECOND = 300
_STDOUT = 1
_IDLE_SECONDS = 0.25

_write = eventlet.patcher.original("os").write


class Journal:
    """Writes one JSON object a line."""

    def __init__(self, node: str, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._lines: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._in_second = 0
        self._log = structlog.wrap_logger(
            _Sink(self._append),
            processors=[
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(),
            ],
            wrapper_class=structlog.BoundLogger,
        ).bind(node=node)

    def write(self, event: str, **fields: typing.Any) -> None:
        """Write one line; never blocks and never raises."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._in_second = 0
        self._in_second += 1
        full = len(self._lines) >= _BUFFER_LINES
        if full or self._in_second > _LINES_PER_SECOND:
            self._dropped += 1
            return
        if self._dropped:
            fields["lines_dropped_before"] = self._dropped
            self._dropped = 0
        try:
            self._log.msg(event, **fields)
        except (TypeError, ValueError):
            # A field that JSON cannot hold must not break the caller.
            self._dropped += 1

    def _append(self, line: str) -> None:
        self._lines.append(line.encode("utf-8", "replace") + b"\n")

    def run(self) -> None:
        """Empty the buffer for ever."""
        os.set_blocking(_STDOUT, False)
        while True:
            self.flush()
            eventlet.sleep(_IDLE_SECONDS)

    def flush(self) -> None:
        """Write what can be written now."""
        while self._lines:
            batch = b"".join(self._lines)
            try:
                sent = _write(_STDOUT, batch)
            except OSError as error:
                if error.errno != errno.EAGAIN:
                    # Nobody reads any more; go on serving without a log.
                    self._lines.clear()
                return
            self._lines.clear()
            if sent < len(batch):
                self._lines.append(batch[sent:])
                return


class _Sink:
    """What structlog calls with a finished line."""

    def __init__(self, append: typing.Callable[[str], None]) -> None:
        self._append = append

    def msg(self, line: str) -> None:
        """Take one line."""
        self._append(line)

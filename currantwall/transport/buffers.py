"""Counts what is held for callers and closes those that read too slowly.

`coordination.requests.buffering` decides; this module measures, limits the
buffers of sockets and closes connections. A connection is closed with a
reset, so that no incomplete answer looks complete, also where only the end
of the connection ends the answer.
"""

from collections import abc
import errno
import fcntl
import itertools
import socket
import struct
import termios
import typing

import eventlet
import eventlet.event
from eventlet.greenio import base as greenio
import eventlet.greenthread

from currantwall.coordination.requests import buffering
from currantwall.state import ids
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = [
    "Backlog",
    "Buffers",
    "CallerSocket",
    "limit_listener",
    "limit_receiving",
]

_BUFFERED = "currantwall.buffered"
_CLOSED = "currantwall.readers.closed"
# Seconds between two looks at all connections.
_SAMPLE_INTERVAL = 0.25
# Seconds between two looks of an exchange at a budget that is used up.
_ROOM_INTERVAL = 0.25
# Bytes of a socket's buffer in each direction. The kernel takes twice as
# much. A round trip of 3.5 ms carries 9 MB/s with it; the fastest link has
# 12.5 MB/s for all connections together.
_SOCKET_BYTES = 32_768
# Bytes that were not acknowledged; the request's name for sockets is
# SIOCOUTQ, its number that of TIOCOUTQ.
_UNSENT_REQUEST = termios.TIOCOUTQ
_UNREAD_REQUEST = termios.FIONREAD
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Backlog:
    """What is held for the caller of one connection.

    Attributes:
        held_since: Time since which its upstream is not read; None while
            it is read.
        upstream: The socket of the upstream that answers; None without.
    """

    def __init__(
        self, budget: buffering.Budget, now: abc.Callable[[], float]
    ) -> None:
        self._budget = budget
        self._now = now
        self._room = eventlet.event.Event()
        self._queued = 0
        self._collected = 0
        self.held_since: float | None = None
        self.upstream: typing.Any = None

    @property
    def held(self) -> int:
        """Return the bytes of an answer that were read and not passed on."""
        return self._queued + self._collected

    def wait_for_room(self) -> None:
        """Wait until more may be read from the upstream."""
        while not self._budget.may_read(self._queued):
            self._room = eventlet.event.Event()
            with eventlet.Timeout(_ROOM_INTERVAL, False):
                self._room.wait()

    def hold(self) -> None:
        """Note that the upstream is not read from now on."""
        self.held_since = self._now()

    def resume(self) -> None:
        """Note that the upstream is read again."""
        self.held_since = None

    def note_queued(self, amount: int) -> None:
        """Count bytes that were read from the upstream."""
        self._queued += amount
        self._budget.note(amount)

    def note_taken(self, amount: int) -> None:
        """Count bytes taken from the queue, which are not written yet."""
        amount = min(amount, self._queued)
        self._queued -= amount
        self._collected += amount
        if not self._room.ready():
            self._room.send(None)

    def note_written(self) -> None:
        """Count all bytes taken from the queue as passed on."""
        self._budget.note(-self._collected)
        self._collected = 0

    def clear(self) -> None:
        """Forget the answer, which has ended."""
        self._budget.note(-self.held)
        self._queued = 0
        self._collected = 0
        self.held_since = None
        self.upstream = None


class CallerSocket(greenio.GreenSocket):
    """A caller's connection; counts what is sent and received.

    Uses the connection of another eventlet socket and holds a reference to
    that socket, which would close the connection when garbage-collected.

    Attributes:
        number: Identifies the connection.
        caller: The caller's IP address.
        phase: What the connection is doing.
        backlog: What is held for the caller.
        is_cut: Whether the connection is being closed.
    """

    def __init__(
        self, accepted: typing.Any, number: int, caller: str, backlog: Backlog
    ) -> None:
        super().__init__(accepted.fd)
        self._accepted = accepted
        self.shutdown = self._shutdown
        self.number = ids.ConnectionId(number)
        self.caller = caller
        self.phase = buffering.Phase.IDLE
        self.backlog = backlog
        self.is_cut = False
        self._sent = 0
        self._received = 0
        # Bytes received before the request that is being served.
        self._received_before = 0
        self._pending = 0
        self._writer: typing.Any = None

    def send(self, data: typing.Any, flags: int = 0) -> int:
        """Send bytes; wait until the socket accepts some.

        Raises:
            OSError: The connection was closed or the caller took nothing.
        """
        if self.is_cut:
            raise _make_cut_error()
        self._pending = len(data)
        self._writer = eventlet.getcurrent()
        try:
            sent = typing.cast("int", super().send(data, flags))
        finally:
            self._writer = None
            self._pending = 0
        self._sent += sent
        return sent

    def recv_into(
        self, buffer: typing.Any, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into a buffer; return the number of bytes, 0 at the end."""
        received = typing.cast("int", super().recv_into(buffer, nbytes, flags))
        self._received += received
        return received

    def _shutdown(self, how: int) -> None:
        """Shut down, unless the connection is about to be reset.

        Failure: the caller gets an orderly end before the reset, and takes
        what it has of an answer without a length for the whole answer.
        """
        if not self.is_cut:
            self.fd.shutdown(how)

    def note_phase(self, phase: buffering.Phase) -> None:
        """Note what the connection is doing from now on."""
        self.phase = phase
        if phase is buffering.Phase.IDLE:
            self.backlog.clear()
            self._received_before = self._received

    def sample(self) -> buffering.Sample:
        """Return the state of the connection."""
        unsent = _count_bytes(self.fd, _UNSENT_REQUEST)
        held = max(self.backlog.held, self._pending)
        waiting = 0
        if self.phase is buffering.Phase.ANSWERING:
            waiting = _count_bytes(self.fd, _UNREAD_REQUEST)
        if self.backlog.upstream is not None:
            waiting += _count_bytes(self.backlog.upstream, _UNREAD_REQUEST)
        request = self._received - self._received_before
        return buffering.Sample(
            connection=self.number,
            phase=self.phase,
            buffered=self.phase.overhead + request + held + unsent + waiting,
            unread=self._pending + unsent,
            moved=self._received + self._sent - unsent,
            held_since=self.backlog.held_since,
        )

    def cut(self) -> None:
        """Have the connection reset by the task that serves it."""
        self.is_cut = True
        self.fd.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        if self._writer is not None:
            eventlet.greenthread.kill(self._writer, _make_cut_error())
            return
        # Wakes the tasks that read; they see the end of the connection.
        self.fd.shutdown(socket.SHUT_RD)


class Buffers:
    """All connections of callers, and the budget that they share."""

    def __init__(
        self,
        memory: int,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        """Create the budget.

        Args:
            memory: Memory of the node in bytes.
            meter: Counts the bytes held and the connections closed.
            log: Gets a line for each connection that is closed.
            now: Returns the monotonic time.
        """
        self._budget = buffering.Budget(memory)
        self._meter = meter
        self._log = log
        self._now = now
        self._numbers = itertools.count(1)
        self._sockets: dict[ids.ConnectionId, CallerSocket] = {}

    def open(self, accepted: typing.Any, caller: str) -> CallerSocket:
        """Return the socket to use for an accepted connection."""
        backlog = Backlog(self._budget, self._now)
        opened = CallerSocket(accepted, next(self._numbers), caller, backlog)
        self._sockets[opened.number] = opened
        return opened

    def close(self, opened: CallerSocket) -> None:
        """Forget a connection that has ended."""
        opened.backlog.clear()
        self._sockets.pop(opened.number, None)

    def run(self) -> None:
        """Watch all connections; does not return."""
        while True:
            eventlet.sleep(_SAMPLE_INTERVAL)
            self._check()

    def _check(self) -> None:
        now = self._now()
        samples = [
            opened.sample()
            for opened in self._sockets.values()
            if not opened.is_cut
        ]
        for victim in self._budget.update(samples, now):
            opened = self._sockets.get(victim.connection)
            if opened is not None and not opened.is_cut:
                self._cut(opened, victim)
        self._meter.set(_BUFFERED, self._budget.used)

    def _cut(self, opened: CallerSocket, victim: buffering.Victim) -> None:
        self._meter.add(_CLOSED, 1, victim.reason.value)
        self._log.write(
            "slow_reader_closed",
            caller=opened.caller,
            why=victim.reason.value,
            phase=opened.phase.value,
            bytes=victim.buffered,
            rate=round(victim.rate),
            behind=round(victim.behind, 3),
            used=self._budget.used,
            limit=self._budget.limit,
        )
        try:
            opened.cut()
        except OSError:
            # The caller has disconnected.
            return


def limit_listener(listener: typing.Any) -> None:
    """Bound the buffers of the connections that a listener accepts."""
    limit_receiving(listener)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BYTES)


def limit_receiving(sock: typing.Any) -> None:
    """Bound the bytes that a socket receives before they are read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BYTES)


def _count_bytes(sock: typing.Any, request: int) -> int:
    """Return the bytes in a buffer of a socket, 0 if it is closed."""
    try:
        answer = fcntl.ioctl(sock.fileno(), request, b"\0\0\0\0")
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, "little")


def _make_cut_error() -> OSError:
    """Return the error of a write to a connection that is being closed."""
    return OSError(errno.ECONNRESET, "the caller reads too slowly")

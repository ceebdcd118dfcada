"""Counts what is held for callers and closes those that read too slowly.

`coordination.requests.buffering` decides; this module measures, limits the
buffers of sockets and closes connections. A connection is closed with a
reset, so that no incomplete answer looks complete, also where only the end
of the connection ends the answer.
"""

from collections import abc
import contextlib
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
    "WRITE_TIMEOUT",
    "Backlog",
    "Buffers",
    "CallerSocket",
    "count_unread",
    "limit_listener",
    "limit_receiving",
    "limit_sending",
]

_BUFFERED = "currantwall.buffered"
_CLOSED = "currantwall.readers.closed"
# Seconds between two looks at all connections.
_SAMPLE_INTERVAL = 0.25
# Seconds between two looks of an exchange at a budget that is used up.
_ROOM_INTERVAL = 0.25
# Seconds in which a caller must accept a write of its answer.
WRITE_TIMEOUT = 10.0
# Seconds for which an upstream must be kept waiting, and after which at
# most it must fail, for its failure to be the caller's.
_LONG_HOLD = 1.0
_BLAME_SECONDS = 2.0
# Bytes of a socket's receive buffer; the kernel takes twice as much. A round
# trip of 3.5 ms carries 9 MB/s with it, and the fastest link 12.5 MB/s.
_RECEIVE_BYTES = 32_768
# Bytes of a socket's send buffer. Below 48 KB a large write over loopback,
# whose segments have 64 KB, waits for delayed acknowledgements: 2 MB/s
# were measured with 32 KB, and 1,200 with 64 KB.
_SEND_BYTES = 65_536
# Bytes that were not acknowledged; the request's name for sockets is
# SIOCOUTQ, its number that of TIOCOUTQ.
_UNSENT_REQUEST = termios.TIOCOUTQ
_UNREAD_REQUEST = termios.FIONREAD
# What a connection does while what it receives stays unread.
_UNREAD_PHASES = (buffering.Phase.WAITING, buffering.Phase.ANSWERING)
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
        # Set while an exchange waits for room.
        self._room: eventlet.event.Event | None = None
        self._queued = 0
        self._collected = 0
        self._held_until = -_BLAME_SECONDS
        self.held_since: float | None = None
        self.upstream: typing.Any = None

    @property
    def was_held(self) -> bool:
        """Return whether the upstream was kept waiting shortly before."""
        return self._now() - self._held_until < _BLAME_SECONDS

    @property
    def held(self) -> int:
        """Return the bytes of an answer that were read and not passed on."""
        return self._queued + self._collected

    def has_room(self, amount: int) -> bool:
        """Return whether the queue has room for bytes that it counts."""
        return self._budget.may_read(self._queued - amount, self._collected)

    def wait_for_room(self, amount: int) -> None:
        """Wait until the queue has room for bytes that it counts already."""
        while not self.has_room(amount):
            self._room = eventlet.event.Event()
            with eventlet.Timeout(_ROOM_INTERVAL, False):
                self._room.wait()
            self._room = None

    def hold(self) -> None:
        """Note that the upstream is not read from now on."""
        self.held_since = self._now()

    def resume(self) -> None:
        """Note that the upstream is read again."""
        now = self._now()
        since, self.held_since = self.held_since, None
        if since is not None and now - since >= _LONG_HOLD:
            self._held_until = now

    def note_queued(self, amount: int) -> None:
        """Count bytes that were read from the upstream."""
        self._queued += amount
        self._budget.note(amount)

    def note_dropped(self, amount: int) -> None:
        """Count bytes as released that never reached the queue."""
        amount = min(amount, self._queued)
        self._queued -= amount
        self._budget.note(-amount)

    def note_taken(self, amount: int) -> None:
        """Count bytes taken from the queue, which are not written yet."""
        amount = min(amount, self._queued)
        self._queued -= amount
        self._collected += amount
        if self._room is not None:
            self._wake()

    def note_written(self) -> None:
        """Count all bytes taken from the queue as passed on."""
        self._budget.note(-self._collected)
        self._collected = 0
        if self._room is not None:
            self._wake()

    def _wake(self) -> None:
        room, self._room = self._room, None
        if room is not None:
            room.send(None)

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
        is_cut: Whether the connection is being reset.
        is_closing: Whether it is being closed, with a reset or without.
        is_stalled: Whether a write has timed out.
        reserved: Bytes of its request that are counted elsewhere.
    """

    def __init__(
        self,
        accepted: typing.Any,
        number: int,
        caller: str,
        backlog: Backlog,
        on_close: abc.Callable[["CallerSocket"], None],
    ) -> None:
        super().__init__(accepted.fd)
        self._accepted = accepted
        self._on_close = on_close
        self.shutdown = self._shutdown
        self.close = self._close
        self.number = ids.ConnectionId(number)
        self.caller = caller
        self.phase = buffering.Phase.IDLE
        self.backlog = backlog
        self.is_cut = False
        self.is_closing = False
        self.is_stalled = False
        self.reserved = 0
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
        except OSError as error:
            # What the socket holds is of no use to the caller any more.
            self.is_stalled = isinstance(error, TimeoutError)
            self._reset_on_close()
            raise
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

    def _close(self) -> None:
        if self.fd.fileno() >= 0:
            self._on_close(self)
        self.fd.close()

    def note_phase(self, phase: buffering.Phase) -> None:
        """Note what the connection is doing from now on."""
        self.phase = phase
        if phase is buffering.Phase.IDLE:
            self.backlog.clear()
            self._received_before = self._received

    def count_unsent(self) -> int:
        """Return the bytes that the caller's host has not acknowledged."""
        return _count_bytes(self.fd, _UNSENT_REQUEST)

    def sample(self) -> buffering.Sample:
        """Return the state of the connection."""
        unsent = self.count_unsent()
        held = max(self.backlog.held, self._pending)
        waiting = 0
        if self.phase in _UNREAD_PHASES:
            waiting = count_unread(self.fd)
        if self.backlog.upstream is not None:
            waiting += count_unread(self.backlog.upstream)
        request = self._received - self._received_before
        request = max(0, request - self.reserved)
        return buffering.Sample(
            connection=self.number,
            phase=self.phase,
            buffered=self.phase.overhead + request + held + unsent + waiting,
            unread=self._pending + unsent,
            moved=self._received + self._sent - unsent,
            held_since=self.backlog.held_since,
        )

    def end(self) -> None:
        """Have the connection closed once no request is left on it.

        A request that has already arrived is still read and answered.
        """
        self.is_closing = True
        self.fd.shutdown(socket.SHUT_RD)

    def _reset_on_close(self) -> None:
        self.is_cut = self.is_closing = True
        with contextlib.suppress(OSError):
            # Fails where the caller has disconnected.
            self.fd.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )

    def cut(self) -> None:
        """Have the connection reset by the task that serves it."""
        self._reset_on_close()
        if self._writer is not None:
            eventlet.greenthread.kill(self._writer, _make_cut_error())
            return
        # Wakes the tasks that read; they see the end of the connection.
        self.fd.shutdown(socket.SHUT_RD)


class _ClosedSocket:
    """A closed connection whose caller has not read all of its answer.

    Failure: the kernel goes on holding what callers do not read, for
    minutes, and nothing counts it.
    """

    phase = buffering.Phase.CLOSING

    def __init__(self, opened: CallerSocket) -> None:
        self.number = opened.number
        self.caller = opened.caller
        self.is_closing = False
        self._moved = opened.sample().moved
        self._unsent = opened.count_unsent()
        # Takes the descriptor over: a further one may not be left.
        self._socket = socket.socket(fileno=opened.fd.detach())

    def _count_unsent(self) -> int:
        """Return the bytes that were not acknowledged.

        The kernel goes on counting those of a connection that was reset.
        """
        if self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            return 0
        return _count_bytes(self._socket, _UNSENT_REQUEST)

    def sample(self) -> buffering.Sample:
        """Return the state of the connection."""
        unsent = self._count_unsent()
        self._moved += self._unsent - unsent
        self._unsent = unsent
        return buffering.Sample(
            connection=self.number,
            phase=self.phase,
            buffered=self.phase.overhead + unsent,
            unread=unsent,
            moved=self._moved,
        )

    def cut(self) -> None:
        """Discard what was not read, and reset the connection."""
        self.is_closing = True
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self._socket.close()

    def end(self) -> None:
        """Let go of the connection, which has nothing left to send."""
        self.is_closing = True
        self._socket.close()


class Buffers:
    """All connections of callers, and the budget that they share."""

    def __init__(
        self,
        memory: int,
        connections: int,
        held: int,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        """Create the budget.

        Args:
            memory: Memory of the node in bytes.
            connections: Most connections that are served at once.
            held: The same with closed ones whose callers still read.
            meter: Counts the bytes held and the connections closed.
            log: Gets a line for each connection that is closed.
            now: Returns the monotonic time.
        """
        self._budget = buffering.Budget(memory, connections, held)
        self._meter = meter
        self._log = log
        self._now = now
        self._numbers = itertools.count(1)
        self._sockets: dict[
            ids.ConnectionId, CallerSocket | _ClosedSocket
        ] = {}

    def open(self, accepted: typing.Any, caller: str) -> CallerSocket:
        """Return the socket to use for an accepted connection."""
        backlog = Backlog(self._budget, self._now)
        opened = CallerSocket(
            accepted, next(self._numbers), caller, backlog, self._close
        )
        self._sockets[opened.number] = opened
        return opened

    def _close(self, opened: CallerSocket) -> None:
        """Forget a connection that is closed, once its caller has read all."""
        if self._sockets.pop(opened.number, None) is None:
            return
        if opened.is_stalled:
            self._note_closed(opened, _make_stalled(opened.sample()))
        opened.backlog.clear()
        if not opened.is_cut and opened.count_unsent():
            self._sockets[opened.number] = _ClosedSocket(opened)

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
            if not opened.is_closing
        ]
        for sample in samples:
            is_sent = sample.unread == 0
            if sample.phase is buffering.Phase.CLOSING and is_sent:
                self._sockets.pop(sample.connection).end()
        for victim in self._budget.update(samples, now):
            opened = self._sockets.get(victim.connection)
            if opened is not None and not opened.is_closing:
                self._close_slow(opened, victim)
        self._meter.set(_BUFFERED, self._budget.used)

    def _close_slow(
        self,
        opened: CallerSocket | _ClosedSocket,
        victim: buffering.Victim,
    ) -> None:
        self._note_closed(opened, victim)
        try:
            if victim.reason is buffering.Reason.IDLE:
                opened.end()
                return
            opened.cut()
            if isinstance(opened, _ClosedSocket):
                del self._sockets[opened.number]
        except OSError:
            # The caller has disconnected.
            return

    def _note_closed(
        self,
        opened: CallerSocket | _ClosedSocket,
        victim: buffering.Victim,
    ) -> None:
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


def limit_listener(listener: typing.Any) -> None:
    """Bound the buffers of the connections that a listener accepts."""
    limit_receiving(listener)
    limit_sending(listener)


def limit_sending(sock: typing.Any) -> None:
    """Bound the bytes that a socket takes before they are sent."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BYTES)


def limit_receiving(sock: typing.Any) -> None:
    """Bound the bytes that a socket receives before they are read."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)


def count_unread(sock: typing.Any) -> int:
    """Return the bytes that a socket has received and nobody has read."""
    return _count_bytes(sock, _UNREAD_REQUEST)


def _count_bytes(sock: typing.Any, request: int) -> int:
    """Return the bytes in a buffer of a socket, 0 if it is closed."""
    try:
        answer = fcntl.ioctl(sock.fileno(), request, b"\0\0\0\0")
    except (OSError, ValueError):
        return 0
    return int.from_bytes(answer, "little")


def _make_stalled(sample: buffering.Sample) -> buffering.Victim:
    """Return the record of a connection whose write has timed out."""
    stalled = buffering.Reason.STALLED
    return buffering.Victim(
        sample.connection, stalled, sample.buffered, 0.0, WRITE_TIMEOUT
    )


def _make_cut_error() -> OSError:
    """Return the error of a write to a connection that is being closed."""
    return OSError(errno.ECONNRESET, "the caller reads too slowly")

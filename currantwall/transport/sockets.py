"""Sockets that distinguish a reset from an orderly end.

Failure: eventlet's sockets report a connection that was reset as one that
was closed. An answer without a length ends when its connection is closed,
so a truncated answer would be passed on as a complete one.
"""

import contextlib
import errno
import http.client
import time
import typing

import eventlet
from eventlet.greenio import base as greenio
import urllib3.connection

__all__ = [
    "LimitExceeded",
    "ResetAwareConnection",
    "ResetAwareSocket",
    "Turns",
]

# Bytes that one connection may deliver before other tasks get a turn.
_TURN_BYTES = 8192
# A small piece takes as long to process as this many bytes.
_MIN_COUNT = 64


class LimitExceeded(http.client.HTTPException):  # noqa: N818
    """The other side has sent more, or for longer, than is accepted."""


class Turns:
    """Counts what a source delivers, and lets other tasks run in between.

    Failure: a source sends faster than its bytes are processed. No read
    ever waits, and no other task of the process runs.
    """

    def __init__(self) -> None:
        self._received = 0

    def note(self, count: int) -> None:
        """Count received bytes; other tasks may run before it returns."""
        self._received += max(count, _MIN_COUNT)
        if self._received >= _TURN_BYTES:
            self._received = 0
            eventlet.sleep(0)


class _Limit(typing.NamedTuple):
    """Limits on what is received.

    Attributes:
        size: Most bytes.
        until: Monotonic time by which all must have come.
        patience: Seconds after the first byte by which all must have come.
    """

    size: int
    until: float
    patience: float


class ResetAwareSocket(greenio.GreenSocket):
    """Raises `ConnectionAbortedError` if the peer has reset the connection.

    Uses the connection of another eventlet socket and holds a reference to
    that socket, which would close the connection when garbage-collected.

    Attributes:
        is_ambiguous: Whether bytes have followed a complete response, so
            that the connection must not be reused.
    """

    def __init__(self, connected: typing.Any) -> None:
        super().__init__(connected.fd)
        self._connected = connected
        self._turns = Turns()
        self._limit: _Limit | None = None
        self.is_ambiguous = False

    @contextlib.contextmanager
    def limit(
        self, size: int, patience: float
    ) -> typing.Generator[None, None, None]:
        """Limit what is received while the context lasts.

        Failure: bytes come without end, or one before each read times out.

        Args:
            size: Most bytes.
            patience: Seconds after the first byte by which all must have
                come; before it the timeout of the socket holds.
        """
        timeout = self.gettimeout()
        until = float("inf")
        if timeout is not None:
            until = time.monotonic() + timeout
        self._limit = _Limit(size, until, patience)
        try:
            yield
        finally:
            self._limit = None
            self.settimeout(timeout)

    def recv_into(
        self, buffer: typing.Any, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into a buffer; other tasks may run before it returns.

        Returns:
            The number of bytes; 0 if the peer has closed the connection.

        Raises:
            ConnectionAbortedError: The peer has reset the connection.
            LimitExceeded: A limit on what is received was exceeded.
        """
        if self._limit is not None:
            left = self._limit.until - time.monotonic()
            if left <= 0:
                raise LimitExceeded("a head that takes too long")
            if left != float("inf"):
                self.settimeout(left)
        received = typing.cast(
            "int",
            self._recv_loop(self._receive_into, 0, buffer, nbytes, flags),
        )
        if self._limit is not None:
            self._note_limited(self._limit, received)
        if not self.act_non_blocking:
            self._turns.note(received)
        return received

    def sendall(self, data: typing.Any, flags: int = 0) -> None:
        """Send all bytes.

        eventlet's own method copies the rest of the data at each step.
        """
        with memoryview(data) as view:
            sent = 0
            while sent < len(view):
                with view[sent:] as rest:
                    sent += self.send(rest, flags)

    def _note_limited(self, limit: _Limit, received: int) -> None:
        if received > limit.size:
            raise LimitExceeded("a head that is too long")
        until = limit.until
        if limit.patience != float("inf"):
            until = min(until, time.monotonic() + limit.patience)
        self._limit = _Limit(limit.size - received, until, float("inf"))

    def _receive_into(self, *args: typing.Any) -> int:
        try:
            return typing.cast("int", self.fd.recv_into(*args))
        except ConnectionResetError as error:
            # Change the error number: eventlet treats ECONNRESET as an
            # orderly end.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "reset by peer"
            ) from error


class ResetAwareConnection(urllib3.connection.HTTPConnection):
    """A connection whose answer fails if the peer resets it."""

    def connect(self) -> None:
        """Connect to the peer."""
        super().connect()
        self.sock = ResetAwareSocket(self.sock)

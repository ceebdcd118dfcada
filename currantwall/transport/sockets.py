"""Sockets that distinguish a reset from an orderly end.

Failure: eventlet's sockets report a connection that was reset as one that
was closed. An answer without a length ends when its connection is closed,
so a truncated answer would be passed on as a complete one.
"""

import errno
import typing

from eventlet.greenio import base as greenio
import urllib3.connection

__all__ = ["ResetAwareConnection", "ResetAwareSocket"]


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
        self.is_ambiguous = False

    def recv_into(
        self, buffer: typing.Any, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into a buffer.

        Returns:
            The number of bytes; 0 if the peer has closed the connection.

        Raises:
            ConnectionAbortedError: The peer has reset the connection.
        """
        received = self._recv_loop(
            self._receive_into, 0, buffer, nbytes, flags
        )
        return typing.cast("int", received)

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

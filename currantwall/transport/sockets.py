"""Sockets that tell a reset from an end.

Failure: eventlet's sockets report a connection that was reset as one
that ended. An answer without a length ends with its connection, so one
that an upstream broke off would be passed on as whole.
"""

import errno
import typing

from eventlet.greenio import base as greenio

__all__ = ["ResetAwareSocket"]


class ResetAwareSocket(greenio.GreenSocket):
    """Raises `ConnectionAbortedError` where the peer has reset.

    Takes over a connected socket of eventlet's, which it keeps: that one
    closes the connection when it is collected.
    """

    def __init__(self, connected: typing.Any) -> None:
        super().__init__(connected.fd)
        self._connected = connected

    def recv_into(
        self, buffer: typing.Any, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Receive into a buffer; 0 means that the peer has ended."""
        received = self._recv_loop(
            self._receive_into, 0, buffer, nbytes, flags
        )
        return typing.cast("int", received)

    def _receive_into(self, *args: typing.Any) -> int:
        try:
            return typing.cast("int", self.fd.recv_into(*args))
        except ConnectionResetError as error:
            # Another error number: eventlet takes this one for an end.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, "reset by peer"
            ) from error

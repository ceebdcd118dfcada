"""Accepts the connections of a listening socket for as long as it is wanted.

Failure: eventlet's server leaves its loop when the process has no descriptor
for a connection, and closes the listening socket. The process goes on, and
refuses all connections for good.
"""

from collections import abc
import contextlib
import errno
import socket
import typing

import eventlet
from eventlet.greenio import base as greenio
import eventlet.greenthread
import eventlet.hubs
import eventlet.semaphore

__all__ = ["Acceptor"]

# What accept raises while the process or the system is short of something.
_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
# What it raises if the listening socket is of no use. All other errors are
# those of one connection that has ended before it was accepted.
_BROKEN = (errno.EBADF, errno.EINVAL, errno.ENOTSOCK, errno.EOPNOTSUPP)
# Seconds between two tries during a shortage, or to listen again.
_RETRY_INTERVAL = 0.05
# Seconds after which callers should be sent to other nodes.
_MAX_BLOCKED = 1.0
# Seconds between two reports that no connection can be accepted.
_REPORT_INTERVAL = 1.0

Serve = abc.Callable[[typing.Any, typing.Any], None]


class Acceptor:
    """Accepts connections and serves each in a task of its own."""

    def __init__(
        self,
        listener: typing.Any,
        open_listener: abc.Callable[[], typing.Any],
        serve: Serve,
        limit: int,
        now: abc.Callable[[], float],
        report: abc.Callable[..., None],
    ) -> None:
        """Create an acceptor.

        Args:
            listener: An eventlet socket that listens.
            open_listener: Returns another one for the same address.
            serve: Serves a connection, with its socket and the address of
                its other end; the socket is closed afterwards.
            limit: Most connections that are served at the same time;
                further ones wait in the kernel.
            now: Returns the monotonic time in seconds.
            report: Called with the name of an event and its fields.
        """
        self._listener = listener
        self._address: tuple[str, int] = listener.getsockname()
        self._open_listener = open_listener
        self._serve = serve
        self._slots = eventlet.semaphore.Semaphore(limit)
        self._now = now
        self._report = report
        self._blocked_since: float | None = None
        self._reported_at = -_REPORT_INTERVAL
        self._task: typing.Any = None

    @property
    def is_accepting(self) -> bool:
        """Return whether connections are accepted without a long wait."""
        if self._task is None:
            return False
        since = self._blocked_since
        return since is None or self._now() - since < _MAX_BLOCKED

    def start(self) -> None:
        """Begin to accept connections, in a task."""
        self._task = eventlet.spawn_n(self._run)

    def close(self) -> None:
        """Stop listening; open connections are served to their end.

        Connections that the kernel has accepted are served too: their
        callers may have sent requests, and a reset says nothing of these.
        """
        task, self._task = self._task, None
        if task is not None:
            eventlet.greenthread.kill(task)
        with contextlib.suppress(OSError):
            while True:
                client, address = self._listener.fd.accept()
                self._start_connection(client, address)
        self._listener.close()

    def _run(self) -> None:
        while True:
            try:
                self._accept_next()
            except Exception as error:
                # Whatever it is, a node without a listener serves nobody.
                self._listen_again(error)

    def _accept_next(self) -> None:
        if self._slots.locked():
            self._note_blocked("connections")
        self._slots.acquire()
        try:
            client, address = self._accept()
        except BaseException:
            self._slots.release()
            raise
        self._start_connection(client, address)

    def _accept(self) -> tuple[socket.socket, typing.Any]:
        """Return the next connection.

        Raises:
            OSError: The listening socket is of no use.
        """
        while True:
            try:
                accepted: tuple[socket.socket, typing.Any] = (
                    self._listener.fd.accept()
                )
                self._note_unblocked()
                return accepted
            except BlockingIOError:
                self._note_unblocked()
                eventlet.hubs.trampoline(self._listener.fd, read=True)
            except OSError as error:
                if error.errno in _BROKEN:
                    raise
                if error.errno in _SHORTAGES:
                    self._note_blocked(errno.errorcode[error.errno])
                    eventlet.sleep(_RETRY_INTERVAL)
                else:
                    eventlet.sleep(0)

    def _listen_again(self, error: Exception) -> None:
        """Replace a listening socket that is of no use."""
        self._note_blocked(str(error))
        with contextlib.suppress(OSError):
            self._listener.close()
        eventlet.sleep(_RETRY_INTERVAL)
        with contextlib.suppress(OSError):
            self._listener = self._open_listener()
            self._report("listening_again", address=self._address)

    # -- Connections

    def _start_connection(
        self, client: socket.socket, address: typing.Any
    ) -> None:
        eventlet.hubs.notify_opened(client.fileno())
        accepted = greenio.GreenSocket(client)
        eventlet.spawn_n(self._run_connection, accepted, address)

    def _run_connection(
        self, accepted: typing.Any, address: typing.Any
    ) -> None:
        try:
            self._serve(accepted, address)
        except Exception as error:
            self._report(
                "connection_failed", why=f"{type(error).__name__}: {error}"
            )
        finally:
            self._slots.release()
            with contextlib.suppress(OSError):
                accepted.shutdown(socket.SHUT_RDWR)
            accepted.close()

    # -- Reports

    def _note_blocked(self, why: str) -> None:
        if self._blocked_since is not None:
            return
        now = self._blocked_since = self._now()
        if now >= self._reported_at + _REPORT_INTERVAL:
            self._reported_at = now
            self._report("accept_blocked", address=self._address, why=why)

    def _note_unblocked(self) -> None:
        since, self._blocked_since = self._blocked_since, None
        if since is not None and since == self._reported_at:
            after = round(self._now() - since, 3)
            self._report("accept_resumed", address=self._address, after=after)

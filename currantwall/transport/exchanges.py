"""One request to one upstream, run by a task of its own.

The task owns the connection and tells what happens by messages into the
inbox of whoever serves the caller. That one can so wait for several
things at once: the answer, the caller's leaving and the time.
"""

import http.client
import socket
import typing

import eventlet
import eventlet.patcher
import eventlet.queue
import msgspec
import urllib3
import urllib3.connection

from currantwall.protocol import names as names_module
from currantwall.state import ids
from currantwall.transport import sockets

__all__ = [
    "Connections",
    "Data",
    "End",
    "Exchange",
    "Failed",
    "Head",
    "Outbound",
    "is_quiet",
    "open_connection",
    "read_keep_alive",
]

_select = eventlet.patcher.original("select").select

# Seconds to wait for a new connection. Between data centres the way there
# and back takes 3 ms; a lost opening packet is repeated after a second.
_CONNECT_TIMEOUT = 0.4
# Milliseconds after which the kernel gives up unacknowledged bytes: shows
# a peer that has vanished without a reset.
_USER_TIMEOUT_MS = 3000
# Seconds an idle connection is kept where the upstream names none.
_DEFAULT_KEEP_ALIVE = 4.0
# Seconds before the upstream's own limit at which it is not used again.
_KEEP_ALIVE_MARGIN = 1.0
# Idle connections kept for each upstream.
_MAX_IDLE = 8
# Messages that wait in an inbox before the upstream is held back.
_INBOX_LIMIT = 64
_READ_SIZE = 65_536

Headers = list[tuple[str, str]]


class Outbound(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to an upstream.

    Attributes:
        target: Path and query, byte for byte as the caller sent them.
        timeout: Seconds without a byte after which it is given up.
        fresh: Whether it needs a connection of its own, so that a reset
            is never the late end of a connection that was idle.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None
    attempt_id: str
    timeout: float
    new_only: bool


class Head(msgspec.Struct, frozen=True):
    """Status and headers of an answer."""

    exchange: int
    status: int
    headers: urllib3.HTTPHeaderDict


class Data(msgspec.Struct, frozen=True):
    """A part of the body."""

    exchange: int
    data: bytes


class End(msgspec.Struct, frozen=True):
    """The body is complete."""

    exchange: int


class Failed(msgspec.Struct, frozen=True):
    """The exchange broke off.

    Attributes:
        sent: Whether a part of the request may have reached the upstream.
    """

    exchange: int
    may_have_sent: bool
    step: str
    detail: str


class _Idle(msgspec.Struct, frozen=True):
    connection: urllib3.connection.HTTPConnection
    expires_at: float


class Connections:
    """Owns the idle connections to upstreams."""

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self._now = now
        self._idle: dict[ids.InstanceId, list[_Idle]] = {}
        self.opened = 0

    def take(
        self, instance: ids.InstanceId, address: str, new_only: bool
    ) -> urllib3.connection.HTTPConnection:
        """Return a connected connection; raises `OSError` and the like."""
        while not new_only and self._idle.get(instance):
            idle = self._idle[instance].pop()
            if self._now() < idle.expires_at and is_quiet(idle.connection):
                return idle.connection
            idle.connection.close()
        connection = open_connection(address, _CONNECT_TIMEOUT)
        self.opened += 1
        return connection

    def give_back(
        self,
        instance: ids.InstanceId,
        connection: urllib3.connection.HTTPConnection,
        keep_alive: float,
    ) -> None:
        """Keep a connection whose answer was read to its end."""
        held = self._idle.setdefault(instance, [])
        if keep_alive <= 0 or len(held) >= _MAX_IDLE:
            connection.close()
            return
        held.append(_Idle(connection, self._now() + keep_alive))

    def forget(self, present: typing.Container[ids.InstanceId]) -> None:
        """Close what is idle to upstreams that are gone, or for long."""
        now = self._now()
        for instance, held in list(self._idle.items()):
            kept = [
                idle
                for idle in held
                if instance in present and now < idle.expires_at
            ]
            for idle in held:
                if idle not in kept:
                    idle.connection.close()
            if kept:
                self._idle[instance] = kept
            else:
                del self._idle[instance]


def open_connection(
    address: str, timeout: float
) -> urllib3.connection.HTTPConnection:
    """Return a new connection to an address."""
    host, _, port = address.rpartition(":")
    connection = urllib3.connection.HTTPConnection(
        host,
        int(port),
        timeout=timeout,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        ],
    )
    connection.connect()
    connection.sock = sockets.ResetAwareSocket(connection.sock)
    return connection


class Exchange:
    """One request on its way to one upstream."""

    def __init__(
        self,
        number: int,
        instance: ids.InstanceId,
        address: str,
        outbound: Outbound,
        inbox: eventlet.queue.LightQueue,
        connections: Connections,
        names: names_module.HeaderNames,
    ) -> None:
        self.number = number
        self._instance = instance
        self._address = address
        self._outbound = outbound
        self._inbox = inbox
        self._connections = connections
        self._names = names
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._may_have_sent = False
        self._task = eventlet.spawn(self._run)

    def cancel(self) -> None:
        """Give up; the upstream sees its connection close."""
        self._task.kill()
        self._close()

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _run(self) -> None:
        step = "connect"
        try:
            self._connection = self._connections.take(
                self._instance, self._address, self._outbound.new_only
            )
            step = "send"
            self._send()
            step = "head"
            response = self._connection.getresponse()
            self._put(Head(self.number, response.status, response.headers))
            step = "body"
            self._read_body(response)
            self._finish(response)
            self._put(End(self.number))
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            ValueError,
            http.client.HTTPException,
        ) as error:
            self._close()
            detail = f"{type(error).__name__}: {error}"
            self._put(Failed(self.number, self._may_have_sent, step, detail))
        finally:
            # Also reached when the task is killed.
            self._close()

    def _put(self, message: Head | Data | End | Failed) -> None:
        self._inbox.put(message)

    def _send(self) -> None:
        connection = self._connection
        assert connection is not None
        connection.timeout = self._outbound.timeout
        connection.sock.settimeout(self._outbound.timeout)
        headers = urllib3.HTTPHeaderDict(self._outbound.headers)
        if "user-agent" not in headers:
            headers["User-Agent"] = urllib3.util.SKIP_HEADER
        if "accept-encoding" not in headers:
            headers["Accept-Encoding"] = urllib3.util.SKIP_HEADER
        self._may_have_sent = True
        connection.request(
            self._outbound.method,
            self._outbound.target,
            body=self._outbound.body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )

    def _read_body(self, response: urllib3.HTTPResponse) -> None:
        if response.chunked and response.supports_chunked_reads():
            for chunk in response.read_chunked(decode_content=False):
                self._put(Data(self.number, chunk))
            return
        while True:
            data = response.read1(_READ_SIZE, decode_content=False)
            if not data:
                return
            self._put(Data(self.number, data))

    def _finish(self, response: urllib3.HTTPResponse) -> None:
        """Keep the connection if it may carry another request."""
        connection = self._connection
        if connection is None or connection.sock is None:
            return
        is_delimited = response.chunked or "content-length" in response.headers
        if not is_delimited:
            return
        if response.headers.get(self._names.attempt) != (
            self._outbound.attempt_id
        ):
            return
        self._connection = None
        keep_alive = read_keep_alive(response.headers)
        self._connections.give_back(self._instance, connection, keep_alive)


def is_quiet(connection: urllib3.connection.HTTPConnection) -> bool:
    """Return whether nothing has arrived on an idle connection.

    Failure: an upstream sends a second answer late, or has closed the
    connection; the next request on it would get that answer or be lost.
    """
    if connection.sock is None or connection.sock.fileno() < 0:
        return False
    ready, _, _ = _select([connection.sock.fileno()], [], [], 0)
    return not ready


def read_keep_alive(headers: urllib3.HTTPHeaderDict) -> float:
    """Return the seconds for which an idle connection may be used."""
    if headers.get("connection", "").lower() == "close":
        return 0.0
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, seconds = parameter.strip().partition("=")
        if name.lower() == "timeout" and seconds.strip().isdecimal():
            return float(seconds) - _KEEP_ALIVE_MARGIN
    return _DEFAULT_KEEP_ALIVE

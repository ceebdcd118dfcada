"""One request to one upstream, run by a task of its own.

The task owns the connection and reports by messages to the inbox of the
task that serves the caller. That task can therefore wait for the answer,
for the caller to disconnect and for a timeout at once.
"""

import enum
import errno
import http.client
import math
import socket
import sys
import typing

import eventlet
import eventlet.greenthread
import eventlet.patcher
import eventlet.queue
import msgspec
import urllib3
import urllib3.connection

from currantwall.protocol import names as names_module
from currantwall.state import addresses
from currantwall.state import ids
from currantwall.state import numbers
from currantwall.transport import buffers
from currantwall.transport import responses
from currantwall.transport import sockets

__all__ = [
    "CRASH",
    "Connections",
    "Data",
    "End",
    "EXHAUSTED",
    "Exchange",
    "Exhausted",
    "FAILURES",
    "Failed",
    "Framing",
    "HELD",
    "Head",
    "LEAVING",
    "LIMIT",
    "MISDIRECTED",
    "Outbound",
    "PAUSED",
    "PEER",
    "QUARANTINE",
    "VERDICT",
    "is_quiet",
    "is_refused",
    "open_connection",
    "read_body",
    "read_keep_alive",
]

# Status of an answer from a server that the request was not meant for.
MISDIRECTED = 421
# Step of an exchange that failed after its upstream was kept waiting.
HELD = "held"
# Step of a message that an attempt's replica has lost a member. Its exchange
# goes on.
VERDICT = "verdict"
# Step of an exchange whose forwarding peer failed.
PEER = "peer"
# Step of a forwarded exchange whose upstream has crashed.
CRASH = "crash"
# Step of an exchange that was ended because its request crashes upstreams.
QUARANTINE = "quarantine"
# A peer did not forward a request because its upstream leaves.
LEAVING = "leaving"
# A peer did not forward a request because its upstream wants none for now.
PAUSED = "paused"
# Step of an exchange whose answer exceeded a limit.
LIMIT = "limit"
# Step of an exchange for which this process had no descriptor.
EXHAUSTED = "exhausted"
_SHORTAGES = (errno.EMFILE, errno.ENFILE)
_select = eventlet.patcher.original("select")
_socket = eventlet.patcher.original("socket")
# Lookups of host names at once.
_RESOLVER_THREADS = 4

# Timeout of a new connection in seconds. The round trip between data
# centres takes 3 ms; TCP sends a lost SYN again after a second.
_CONNECT_TIMEOUT = 0.4
# Milliseconds after which the kernel closes a connection with
# unacknowledged bytes. Detects a peer that vanished without a reset.
_USER_TIMEOUT_MS = 3000
# Seconds to keep an idle connection if the upstream sends no timeout.
_DEFAULT_KEEP_ALIVE = 4.0
# Seconds before the upstream's timeout at which an idle connection is no
# longer reused, because the upstream may be about to close it.
_KEEP_ALIVE_MARGIN = 1.0
# Most idle connections kept for each upstream.
_MAX_IDLE = 8
# Messages in an inbox above which the upstream is not read.
_INBOX_LIMIT = 64
# Most bytes read at once.
_READ_SIZE = 65_536
# Most bytes read at once for a bounded caller; one that accepts 6 KB/s
# takes them within the time for which an upstream may be kept waiting.
_BOUNDED_READ_SIZE = 16_384

# What an exchange may raise.
FAILURES = (
    urllib3.exceptions.HTTPError,
    OSError,
    ValueError,
    http.client.HTTPException,
)

Headers = list[tuple[str, str]]


class Exhausted(OSError):  # noqa: N818
    """This process has no descriptor for a connection."""


class Outbound(msgspec.Struct, frozen=True, kw_only=True):
    """A request as it goes to an upstream.

    Attributes:
        target: Path and query, byte for byte as the caller sent them.
        attempt_id: Id of the request, which the answer must repeat before
            its connection is used again.
        timeout: Seconds without a byte sent or received after which it
            fails.
        new_connection: Whether it needs a new connection, so that a reset
            can't come from the upstream closing an idle connection.
        send_by: Monotonic time after which it is not sent, because the
            choice of its upstream may be outdated.
        health_path: Path at which the upstream tells its health; empty if
            there is none.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | bytearray | memoryview | None
    attempt_id: str
    timeout: float
    new_connection: bool
    send_by: float = math.inf
    health_path: str = ""


class Framing(enum.Enum):
    """What marks the end of an answer's body."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CLOSE = "close"


class Head(msgspec.Struct, frozen=True):
    """Status and headers of an answer."""

    exchange: int
    status: int
    headers: urllib3.HTTPHeaderDict

    @property
    def framing(self) -> Framing:
        """Return what marks the end of the body."""
        return _find_framing(self.headers)


class Data(msgspec.Struct, frozen=True):
    """Part of the body of an answer."""

    exchange: int
    data: bytes


class End(msgspec.Struct, frozen=True):
    """The body of the answer is complete."""

    exchange: int


class Failed(msgspec.Struct, frozen=True):
    """The exchange broke off.

    Attributes:
        may_have_sent: Whether part of the request may have reached the
            upstream.
        step: What failed: connect, send, head or body; `VERDICT` if the
            replica of the attempt is said to have lost a member; `HELD` if
            the upstream was kept waiting by the caller; `PEER` if the peer
            that forwarded the request failed; `CRASH` if that peer found
            that the upstream has crashed; `QUARANTINE` if the
            request crashes upstreams; `LEAVING` if the upstream leaves, as
            that peer knows; `PAUSED` if it wants no requests for now;
            `LIMIT` if the answer exceeded a limit.
        pause: Seconds for which it wants none, as that peer knows.
        born: Start of the process that leaves, as that peer knows, in Unix
            milliseconds; 0 if unknown.
    """

    exchange: int
    may_have_sent: bool
    step: str
    detail: str
    pause: float = 0.0
    born: int = 0


class _Idle(msgspec.Struct, frozen=True):
    connection: urllib3.connection.HTTPConnection
    expires_at: float


class Connections:
    """Pool of idle connections to upstreams.

    Attributes:
        now: Returns the monotonic time.
        opened: Number of connections opened so far.
        on_opened: Called with the upstream when a new connection is open.
        is_bounded: Whether the buffers of new connections are bounded.
        max_idle: Most idle connections that are kept.
    """

    def __init__(self, now: typing.Callable[[], float]) -> None:
        self.now = now
        self._idle: dict[ids.InstanceId, list[_Idle]] = {}
        self.opened = 0
        self.on_opened: typing.Callable[[ids.InstanceId], None] = _ignore
        self.is_bounded = False
        self.max_idle = sys.maxsize
        self._idle_count = 0

    def take(
        self, instance: ids.InstanceId, address: str, new_connection: bool
    ) -> urllib3.connection.HTTPConnection:
        """Return an idle connection, or a new one.

        Args:
            instance: The upstream.
            address: Its host and port.
            new_connection: Whether to open a new one in any case.

        Raises:
            OSError: The connection failed.
            urllib3.exceptions.HTTPError: The same, found by urllib3.
        """
        while not new_connection and self._idle.get(instance):
            idle = self._idle[instance].pop()
            self._idle_count -= 1
            if self.now() < idle.expires_at and is_quiet(idle.connection):
                return idle.connection
            idle.connection.close()
        return self.open(instance, address, _CONNECT_TIMEOUT)

    def open(
        self, instance: ids.InstanceId, address: str, timeout: float
    ) -> urllib3.connection.HTTPConnection:
        """Return a new connection.

        Args:
            instance: The upstream.
            address: Its host and port.
            timeout: Timeout of the connect in seconds.

        Raises:
            Exhausted: This process has no descriptor for it, also after
                the idle connections were closed.
            OSError: The connection failed.
            urllib3.exceptions.HTTPError: The same, found by urllib3.
        """
        try:
            connection = open_connection(address, timeout)
        except Exhausted:
            self.clear()
            connection = open_connection(address, timeout)
        connection.response_class = responses.StrictResponse
        if self.is_bounded:
            buffers.limit_receiving(connection.sock)
            buffers.limit_sending(connection.sock)
        self.opened += 1
        self.on_opened(instance)
        return connection

    def clear(self) -> None:
        """Close all idle connections."""
        self.forget(())

    def give_back(
        self,
        instance: ids.InstanceId,
        connection: urllib3.connection.HTTPConnection,
        keep_alive: float,
    ) -> None:
        """Return a connection to the pool.

        Args:
            instance: The upstream.
            connection: A connection whose answer was read to its end.
            keep_alive: Seconds for which it may be used.
        """
        connections = self._idle.setdefault(instance, [])
        is_full = self._idle_count >= self.max_idle
        if keep_alive <= 0 or len(connections) >= _MAX_IDLE or is_full:
            connection.close()
            return
        self._idle_count += 1
        connections.append(_Idle(connection, self.now() + keep_alive))

    def forget(self, present: typing.Container[ids.InstanceId]) -> None:
        """Close expired connections and those to upstreams that are gone."""
        now = self.now()
        for instance, connections in list(self._idle.items()):
            reusable = [
                idle
                for idle in connections
                if instance in present and now < idle.expires_at
            ]
            for idle in connections:
                if idle not in reusable:
                    idle.connection.close()
            self._idle_count -= len(connections) - len(reusable)
            if reusable:
                self._idle[instance] = reusable
            else:
                del self._idle[instance]


def open_connection(
    address: str, timeout: float
) -> urllib3.connection.HTTPConnection:
    """Open a connection to an address.

    Args:
        address: Host and port.
        timeout: Timeout of the connect in seconds.

    Raises:
        ConnectionError: The text is no address.
        Exhausted: This process has no descriptor for it.
    """
    host, port = addresses.split(address)
    if not addresses.is_literal(host):
        host = _resolve(host, timeout)
    connection = sockets.ResetAwareConnection(
        host,
        port,
        timeout=timeout,
        socket_options=[
            (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
            (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        ],
    )
    connection.response_class = responses.LimitedResponse
    try:
        connection.connect()
    except (OSError, urllib3.exceptions.HTTPError) as error:
        # urllib3 wraps the error of the system call.
        cause = error.__cause__ or error
        if isinstance(cause, OSError) and cause.errno in _SHORTAGES:
            raise Exhausted(cause.errno, str(cause)) from error
        raise
    return connection


def _resolve(host: str, timeout: float) -> str:
    """Return an IP address of a host name.

    Failure: the resolver waits for a server of names, and no other task of
    the process runs.

    Args:
        host: The name.
        timeout: Seconds after which the lookup is given up.

    Raises:
        OSError: There is none, or none was found in time.
    """
    # Few processes need its threads.
    from eventlet import tpool

    tpool.set_num_threads(_RESOLVER_THREADS)
    with eventlet.Timeout(timeout, TimeoutError("name lookup timed out")):
        found = tpool.execute(_look_up, host)
    if found is None:
        raise OSError(f"no address of {host!r}")
    return typing.cast("str", found)


def _look_up(host: str) -> str | None:
    try:
        infos = _socket.getaddrinfo(host, None, type=socket.SOCK_STREAM)
    except (OSError, UnicodeError):
        return None
    return str(infos[0][4][0])


def read_body(response: urllib3.BaseHTTPResponse, limit: int) -> bytes:
    """Return the body of an answer to a call.

    Args:
        response: The answer; it was requested without its content.
        limit: Most bytes.

    Raises:
        LimitExceeded: It is larger.
    """
    parts: list[bytes] = []
    size = 0
    turns = sockets.Turns()
    while data := response.read1(_READ_SIZE, decode_content=False):
        turns.note(len(data))
        size += len(data)
        if size > limit:
            raise sockets.LimitExceeded("a body that is too large")
        parts.append(data)
    return b"".join(parts)


class Exchange:
    """One request to one upstream, sent by a task of its own."""

    def __init__(
        self,
        number: int,
        instance: ids.InstanceId,
        address: str,
        outbound: Outbound,
        inbox: eventlet.queue.LightQueue,
        connections: Connections,
        names: names_module.HeaderNames,
        backlog: buffers.Backlog | None = None,
    ) -> None:
        self._backlog = backlog
        self.number = number
        self._instance = instance
        self._address = address
        self._outbound = outbound
        self._inbox = inbox
        self._connections = connections
        self._names = names
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._may_have_sent = False
        # Not a task that keeps the exception which ends it: its traceback
        # would hold the request's body until garbage is collected.
        self._task = eventlet.spawn_n(self._run)

    @property
    def may_have_sent(self) -> bool:
        """Return whether part of the request may have been sent."""
        return self._may_have_sent

    def cancel(self) -> None:
        """Stop the task and close the connection to the upstream."""
        eventlet.greenthread.kill(self._task)
        self._close()

    def _close(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()
        # A connection hands its socket over to an answer without framing.
        response, self._response = self._response, None
        if response is not None:
            response.close()

    def _run(self) -> None:
        step = "connect"
        try:
            self._connection = self._connections.take(
                self._instance, self._address, self._outbound.new_connection
            )
            if self._connections.now() > self._outbound.send_by:
                raise TimeoutError("the choice of the upstream is outdated")
            step = "send"
            self._send()
            step = "head"
            response = self._response = self._connection.getresponse()
            self._put(Head(self.number, response.status, response.headers))
            step = "body"
            self._read_body(response)
            self._finish(response)
            self._put(End(self.number))
        except FAILURES as error:
            self._close()
            detail = f"{type(error).__name__}: {error}"
            if self._backlog is not None and self._backlog.was_held:
                step = HELD
            elif isinstance(error, sockets.LimitExceeded):
                step = LIMIT
            elif isinstance(error, Exhausted):
                step = EXHAUSTED
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

    def _put_data(self, data: bytes) -> None:
        """Pass on part of the body, once there is room for it.

        Failure: a caller reads slowly, and the answer to it fills the
        memory of the node.
        """
        message = Data(self.number, data)
        backlog = self._backlog
        if backlog is None:
            self._put(message)
            return
        # Several exchanges may share the backlog of their caller.
        if self._connection is not None:
            backlog.upstream = self._connection.sock
        # Counted first: a full inbox may be read before `put` returns.
        backlog.note_queued(len(data))
        if backlog.has_room(len(data)) and not self._inbox.full():
            self._put(message)
            return
        backlog.hold()
        is_queued = False
        try:
            backlog.wait_for_room(len(data))
            self._put(message)
            is_queued = True
        finally:
            # Also reached when the task is killed.
            backlog.resume()
            if not is_queued:
                backlog.note_dropped(len(data))

    def _read_body(self, response: urllib3.BaseHTTPResponse) -> None:
        size = _READ_SIZE if self._backlog is None else _BOUNDED_READ_SIZE
        turns = sockets.Turns()
        # Not read_chunked, which repairs chunks that are framed badly.
        while True:
            data = response.read1(size, decode_content=False)
            if not data:
                return
            self._put_data(data)
            turns.note(len(data))

    def _finish(self, response: urllib3.BaseHTTPResponse) -> None:
        """Return the connection to the pool if it can be reused."""
        connection = self._connection
        if connection is None or connection.sock is None:
            return
        if connection.sock.is_ambiguous:
            return
        if _find_framing(response.headers) is Framing.CLOSE:
            return
        if response.headers.get(self._names.attempt) != (
            self._outbound.attempt_id
        ):
            return
        self._connection = self._response = None
        keep_alive = read_keep_alive(response.headers)
        self._connections.give_back(self._instance, connection, keep_alive)


def _ignore(instance: ids.InstanceId) -> None:
    return


def _find_framing(headers: urllib3.HTTPHeaderDict) -> Framing:
    if "transfer-encoding" in headers:
        return Framing.CHUNKS
    if "content-length" in headers:
        return Framing.LENGTH
    return Framing.CLOSE


def is_quiet(connection: urllib3.connection.HTTPConnection) -> bool:
    """Return whether nothing has arrived on an idle connection.

    Failure: the upstream has sent a second answer or closed the connection
    while it was idle. The next request on it would get that answer, or
    would be lost.
    """
    if connection.sock is None or connection.sock.fileno() < 0:
        return False
    # `select` fails for descriptors above 1,023.
    poller = _select.poll()
    poller.register(connection.sock.fileno(), _select.POLLIN)
    return not poller.poll(0)


def is_refused(error: BaseException) -> bool:
    """Return whether a failure means that nothing listens at the address.

    urllib3 wraps the refusal in an error that only its text identifies.
    """
    return (
        isinstance(error, ConnectionRefusedError)
        or "refused" in str(error).lower()
    )


def read_keep_alive(headers: urllib3.HTTPHeaderDict) -> float:
    """Return the seconds for which an idle connection may be reused."""
    if headers.get("connection", "").lower() == "close":
        return 0.0
    for parameter in headers.get("keep-alive", "").split(","):
        name, _, seconds = parameter.strip().partition("=")
        count = numbers.parse_count(seconds)
        if name.lower() == "timeout" and count is not None:
            return count - _KEEP_ALIVE_MARGIN
    return _DEFAULT_KEEP_ALIVE

"""The HTTP server that callers connect to.

eventlet's WSGI server handles connections and writes answers. Requests are
read by `readers`, within the limits of the configuration in force.
"""

from collections import abc
import contextlib
import functools
import socket
import struct
import typing

import eventlet
import eventlet.greenio
import eventlet.greenthread
import eventlet.wsgi
import msgspec
import urllib3

from currantwall.coordination.requests import bodies as bodies_budget
from currantwall.coordination.requests import buffering
from currantwall.coordination.requests import descriptors
from currantwall.state import routes
from currantwall.transport import acceptors
from currantwall.transport import bodies as bodies_module
from currantwall.transport import buffers as buffers_module
from currantwall.transport import listeners
from currantwall.transport import readers
from currantwall.transport import sockets

__all__ = [
    "Inbound",
    "Ingress",
    "Reply",
    "listen",
    "start_server",
    "wrap_listener",
]

_WRITE_TIMEOUT = buffers_module.WRITE_TIMEOUT
# Seconds and bytes for which input is discarded after a refusal. Closing a
# connection with unread input resets it, and the caller may lose the answer.
_LINGER_TIMEOUT = 1.0
_LINGER_BYTES = 1_048_576
# The same for a body that is refused before it is read: most callers send
# all of it before they read the answer.
_BODY_LINGER_TIMEOUT = 3.0
# Bytes discarded at once.
_DISCARD_SIZE = 65_536
# Seconds in which the first request must begin to arrive on a connection
# that was opened just before the server closes.
_FIRST_REQUEST_TIMEOUT = 0.5
# Seconds that a body waits for room where callers give no time.
_DEFAULT_PATIENCE = 1.0


class Inbound(msgspec.Struct, kw_only=True):
    """One request of a caller.

    Attributes:
        target: Path and query as sent.
        headers: Names and values in the order sent.
        client: The caller's socket.
        received: Monotonic time at which its head was read.
        caller: The caller's IP address.
        backlog: What is held for the caller; None if it is not bounded.
    """

    method: str
    target: str
    headers: urllib3.HTTPHeaderDict
    body: bytes | bytearray
    client: typing.Any
    received: float
    caller: str = ""
    backlog: buffers_module.Backlog | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class Reply(msgspec.Struct, kw_only=True):
    """An answer, with a whole body or an iterator over its parts.

    Attributes:
        close: Whether to close the connection after it.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes | abc.Iterator[bytes]
    close: bool = False


Handler = abc.Callable[[Inbound], Reply]


class Ingress:
    """Handler, limits and state of one listening socket.

    Attributes:
        is_closing: Whether each answer closes its connection.
        is_ending: Whether connections are closed once nothing is owed.
        in_flight: Number of requests that are being answered.
        on_error: Called with unexpected exceptions of the handler.
        connections: Most connections that are served at the same time.
        report: Called with the name and the fields of an event.
        buffers: Bounds what is held for callers; None to bound nothing.
        bodies: Grants room for bodies; None to bound nothing.
        get_patience: Returns for how many seconds a body may wait for
            room, from the head of its request.
    """

    def __init__(
        self,
        handler: Handler,
        limits: abc.Callable[[], routes.Limits],
        now: abc.Callable[[], float],
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.now = now
        self.is_closing = False
        self.is_ending = False
        self.in_flight = 0
        self._protocols: set[_Protocol] = set()
        self.on_error: abc.Callable[[Exception], None] = _ignore
        self.connections = descriptors.Shares().front
        self.report: abc.Callable[..., None] = _ignore_report
        self.buffers: buffers_module.Buffers | None = None
        self.bodies: bodies_module.Bodies | None = None
        self.get_patience: abc.Callable[[readers.Head], float] = lambda _: (
            _DEFAULT_PATIENCE
        )

    @property
    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self._protocols)

    def note_opened(self, protocol: "_Protocol") -> None:
        """Note a connection that was opened."""
        self._protocols.add(protocol)

    def note_closed(self, protocol: "_Protocol") -> None:
        """Note that a connection is closed."""
        self._protocols.discard(protocol)

    def end_connections(self) -> None:
        """Have each connection closed as soon as nothing is owed on it.

        A request that has arrived is still read and answered. A body that
        is being received is refused: its request will not be served.
        Connections that were just opened get a moment for their request.

        Failure: an idle connection is shut down in both directions. A
        request that has arrived by then is read and sent to an upstream,
        and its answer can't be written.
        """
        self.is_closing = self.is_ending = True
        for protocol in list(self._protocols):
            protocol.end()

    def handle(self, inbound: Inbound) -> Reply:
        """Return the answer to a request, or 500 if the handler fails.

        Failure: an error in the handler closes the connection without an
        answer or a log line. The 500 does not say that the request did not
        run: it may have been sent to an upstream by then.
        """
        try:
            return self.handler(inbound)
        except OSError:
            # The caller has disconnected.
            raise
        except Exception as error:
            self.on_error(error)
            return Reply(
                status=500, headers=[], body=b"internal error", close=True
            )


class _Ended(Exception):  # noqa: N818
    """The server closes, and an idle connection with it."""


class _Upload:
    """Room and time for the body of one request."""

    def __init__(self, protocol: "_Protocol", head: readers.Head) -> None:
        self._protocol = protocol
        self._head = head
        self._reservation: bodies_module.Reservation | None = None
        self._timer = eventlet.Timeout(bodies_module.BODY_TIMEOUT)
        self._timer.cancel()
        # Bytes that the caller may still send.
        self.expected = 0
        self.is_receiving = True

    def reserve(self, size: int) -> None:
        """Wait until there is room; the body must arrive in time then.

        Raises:
            readers.Malformed: There is no room in time.
        """
        self.expected = size
        self._timer.cancel()
        bodies = self._protocol.ingress.bodies
        if bodies is not None and size > bodies_budget.SMALL_BYTES:
            self._claim(bodies, size)
        self._timer.start()

    def _claim(self, bodies: bodies_module.Bodies, size: int) -> None:
        protocol, former = self._protocol, self._reservation
        protocol.note_phase(buffering.Phase.WAITING)
        try:
            reservation = bodies.reserve(
                size,
                protocol.ingress.get_patience(self._head),
                protocol.connection,
                protocol.caller,
                former.size if former is not None else 0,
                readers.is_invited(self._head.headers),
            )
        except bodies_module.NoRoom as error:
            raise readers.Malformed(
                503, error.reason, error.retry_after
            ) from None
        protocol.note_phase(buffering.Phase.RECEIVING)
        protocol.note_reserved(size)
        if former is not None:
            reservation.received = former.received
            former.release()
        self._reservation = reservation

    def invite(self) -> None:
        """Tell a caller that waits for it to send the body."""
        self._protocol.send_continue()

    def note_received(self, count: int) -> None:
        """Count bytes of the body that have come."""
        self.expected -= count
        if self._reservation is not None:
            self._reservation.received += count

    def end_receiving(self) -> None:
        """Note that the body has come, or that no more of it is read."""
        self._timer.cancel()
        self.is_receiving = False
        if self._reservation is not None:
            self._reservation.end_receiving()

    def release(self) -> None:
        """Release the room."""
        if self._reservation is not None:
            self._reservation.release()
            self._reservation = None


class _Protocol(eventlet.wsgi.HttpProtocol):
    """Parses requests strictly; eventlet writes the answers."""

    ingress: Ingress

    minimum_chunk_size = 0
    capitalize_response_headers = False

    # -- Bounds on what is held for the caller

    def setup(self) -> None:
        """Create the files of the connection, and count what it holds."""
        self._opened: buffers_module.CallerSocket | None = None
        self._is_whole = True
        self._task: typing.Any = eventlet.getcurrent()
        self._is_idle = False
        self._has_served = False
        self._upload: _Upload | None = None
        self.ingress.note_opened(self)
        buffers = self.ingress.buffers
        if buffers is not None:
            self._opened = buffers.open(self.request, self.caller)
            self.request = self._opened
        super().setup()
        self._reader = readers.RequestReader(self.rfile, sockets.Turns())

    def finish(self) -> None:
        """Close the connection, with a reset if its answer is incomplete."""
        try:
            if self._is_whole:
                self._linger()
                super().finish()
            else:
                self._reset()
        finally:
            self._task = None
            self.ingress.note_closed(self)
            if self._opened is not None:
                self._close_opened(self._opened)

    def _linger(self) -> None:
        """Discard what has arrived behind the last request.

        Failure: the connection is closed with unread input, which resets
        it, and the caller loses the answer that is on its way.
        """
        if not buffers_module.count_unread(self.connection):
            return
        with contextlib.suppress(OSError, ValueError):
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            self._discard_input(_LINGER_BYTES, _LINGER_TIMEOUT)

    def _close_opened(self, opened: buffers_module.CallerSocket) -> None:
        """Close a counted connection, also where its last write failed."""
        try:
            self.rfile.close()
        finally:
            opened.close()

    def _reset(self) -> None:
        """Close the connection without an orderly end.

        Failure: an answer that the end of the connection ends is cut off,
        and the caller takes what it has for the whole answer.
        """
        linger = struct.pack("ii", 1, 0)
        try:
            self.connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            self.wfile.close()
        except OSError:
            # The caller has disconnected.
            pass
        finally:
            self.rfile.close()
            self.connection.close()

    def _watch_end(
        self, chunks: abc.Iterable[bytes]
    ) -> abc.Generator[bytes, None, None]:
        """Yield the parts of an answer, and note whether it is complete."""
        self._is_whole = False
        yield from chunks
        self._is_whole = True

    @property
    def caller(self) -> str:
        """Return the caller's IP address."""
        return str(self.client_address[0])

    def note_phase(self, phase: buffering.Phase) -> None:
        """Note what the connection is doing from now on."""
        if self._opened is not None:
            self._opened.note_phase(phase)

    def note_reserved(self, size: int) -> None:
        """Note bytes of the request that have room as a body."""
        if self._opened is not None:
            self._opened.reserved = size

    # -- End of the connection

    def end(self) -> None:
        """Close the connection once nothing is owed on it."""
        if self._task is None:
            return
        if self._upload is not None and self._upload.is_receiving:
            stopping = readers.Malformed(503, "stopping", 0.0)
            eventlet.greenthread.kill(self._task, stopping)
        elif self._is_idle:
            eventlet.greenthread.kill(self._task, _Ended())

    def _await_request(self) -> bool:
        """Wait for a request; return whether one has begun to arrive."""
        self._is_idle = True
        try:
            if not self.ingress.is_ending:
                return bool(self.rfile.peek(1))
        except _Ended:
            # A request may have arrived in the meantime.
            pass
        finally:
            self._is_idle = False
        if self._has_served:
            return self._has_input()
        self.connection.settimeout(_FIRST_REQUEST_TIMEOUT)
        return bool(self.rfile.peek(1))

    def _has_input(self) -> bool:
        """Return whether bytes have arrived that were not read."""
        self.connection.settimeout(0.0)
        try:
            return bool(self.rfile.peek(1))
        finally:
            self.connection.settimeout(_WRITE_TIMEOUT)

    # -- Requests

    def handle_one_request(self) -> None:
        """Read one request and answer it."""
        self.close_connection = 0
        self.command = ""
        self.request_version = "HTTP/1.1"
        self.requestline = ""
        try:
            self._serve_request()
        finally:
            self._has_served = True
            upload, self._upload = self._upload, None
            if upload is not None:
                upload.release()
            self.note_reserved(0)

    def _serve_request(self) -> None:
        try:
            inbound = self._read_request()
        except readers.Malformed as error:
            self._refuse(error)
            return
        except (OSError, eventlet.Timeout, ValueError):
            inbound = None
        if inbound is None:
            self.close_connection = 1
            return
        self.ingress.in_flight += 1
        self.note_phase(buffering.Phase.ANSWERING)
        try:
            self._answer(inbound)
        except OSError:
            # The caller has disconnected.
            self.close_connection = 1
        finally:
            self.ingress.in_flight -= 1
            self.note_phase(buffering.Phase.IDLE)

    # -- Reading

    def _read_request(self) -> Inbound | None:
        self.connection.settimeout(self.ingress.limits().idle_timeout)
        if not self._await_request():
            return None
        # The configuration may have changed while the connection was idle.
        limits = self.ingress.limits()
        self.conn_state[2] = eventlet.wsgi.STATE_REQUEST
        self.note_phase(buffering.Phase.RECEIVING)
        with eventlet.Timeout(limits.header_timeout):
            head = self._reader.read_head(limits.header_bytes)
        if head is None:
            return None
        self.command = head.method
        self.headers = head.headers
        self.request_version = head.version
        self.requestline = head.line
        connection = head.headers.get("connection", "").lower()
        if "close" in connection or self.request_version == "HTTP/1.0":
            self.close_connection = 1
        self.connection.settimeout(_WRITE_TIMEOUT)
        received = self.ingress.now()
        return Inbound(
            method=head.method,
            target=head.target,
            headers=head.headers,
            body=self._read_body(head, limits),
            client=self.connection,
            received=received,
            caller=self.caller,
            backlog=self._opened.backlog if self._opened else None,
        )

    def _read_body(
        self, head: readers.Head, limits: routes.Limits
    ) -> bytes | bytearray:
        upload = self._upload = _Upload(self, head)
        try:
            return self._reader.read_body(head.headers, limits, upload)
        except (eventlet.Timeout, bodies_module.TooSlow):
            raise readers.Malformed(408, "body too slow") from None
        finally:
            upload.end_receiving()

    def send_continue(self) -> None:
        """Tell the caller to send the body of its request."""
        self.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.wfile.flush()

    # -- Answering

    def _answer(self, inbound: Inbound) -> None:
        reply = self.ingress.handle(inbound)
        if reply.close or self.ingress.is_closing:
            self.close_connection = 1
        headers = reply.headers
        if isinstance(reply.body, bytes):
            headers = [*headers, ("Content-Length", str(len(reply.body)))]
        self._respond(reply.status, headers, reply.body)

    def _respond(
        self,
        status: int,
        headers: list[tuple[str, str]],
        body: bytes | abc.Iterator[bytes],
    ) -> None:
        phrase = _PHRASES.get(status, "Unknown")
        chunks: abc.Iterable[bytes]
        chunks = (body,) if isinstance(body, bytes) else body
        if self.request_version == "HTTP/1.0" and not isinstance(body, bytes):
            chunks = self._watch_end(chunks)

        def application(
            environ: dict[str, typing.Any],
            start: abc.Callable[..., typing.Any],
        ) -> abc.Iterable[bytes]:
            start(f"{status} {phrase}", headers)
            return chunks

        # The part of a WSGI environment that eventlet reads for a request
        # that was parsed elsewhere.
        self.environ = {
            "eventlet.input": eventlet.wsgi.Input(
                self.rfile, 0, self.connection
            ),
            "eventlet.posthooks": [],
            "eventlet.minimum_write_chunk_size": 0,
        }
        self.application = application
        self.handle_one_response()

    def _refuse(self, error: readers.Malformed) -> None:
        phrase = _PHRASES.get(error.status, "Bad Request")
        body = error.reason.encode()
        head = (
            f"HTTP/1.1 {error.status} {phrase}\r\nConnection: close\r\n"
            f"Content-Type: text/plain\r\nContent-Length: {len(body)}\r\n"
        )
        if error.retry_after is not None:
            head += f"Retry-After: {error.retry_after:.3f}\r\n"
        self.close_connection = 1
        try:
            self.wfile.write(head.encode() + b"\r\n" + body)
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_WR)
            remaining, timeout = _LINGER_BYTES, _LINGER_TIMEOUT
            if self._upload is not None and error.status in _UNREAD_STATUSES:
                remaining += self._upload.expected
                timeout = _BODY_LINGER_TIMEOUT
            self._discard_input(remaining, timeout)
        except (OSError, ValueError):
            # The caller has disconnected.
            return

    def _discard_input(self, remaining: int, timeout: float) -> None:
        """Discard input until the caller closes.

        Args:
            remaining: Most bytes to discard.
            timeout: Seconds after which to end.
        """
        turns = sockets.Turns()
        with eventlet.Timeout(timeout, False):
            while remaining > 0:
                data = self.rfile.read1(_DISCARD_SIZE)
                if not data:
                    return
                remaining -= len(data)
                turns.note(len(data))


# Statuses of refusals that a caller may get while it sends its body.
_UNREAD_STATUSES = (408, 413, 503)
_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


def _ignore(_: Exception) -> None:
    return


def _ignore_report(_: str, **fields: typing.Any) -> None:
    return


def listen(address: str) -> typing.Any:
    """Return a listening socket on an address."""
    return wrap_listener(listeners.open_listener(address))


def wrap_listener(listener: socket.socket) -> typing.Any:
    """Return a listening socket that eventlet can use."""
    # Accepted connections inherit this: an event must not wait for the
    # acknowledgement of the previous one.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    if isinstance(listener, eventlet.greenio.GreenSocket):
        return listener
    return eventlet.greenio.GreenSocket(listener)


def start_server(
    listener: typing.Any,
    ingress: Ingress,
    open_listener: abc.Callable[[], typing.Any] | None = None,
) -> acceptors.Acceptor:
    """Serve the connections of a listening socket.

    Args:
        listener: The socket.
        ingress: Answers their requests.
        open_listener: Returns another socket for the same address, should
            the first one be of no use; None for one with usual options.
    """
    host, port = listener.getsockname()
    server = eventlet.wsgi.Server(
        listener,
        (host, port),
        None,
        protocol=type("_BoundProtocol", (_Protocol,), {"ingress": ingress}),
        minimum_chunk_size=0,
        log_output=False,
        debug=False,
        socket_timeout=_WRITE_TIMEOUT,
        capitalize_response_headers=False,
    )

    def serve(accepted: typing.Any, address: typing.Any) -> None:
        accepted.settimeout(_WRITE_TIMEOUT)
        server.process_request([address, accepted, eventlet.wsgi.STATE_IDLE])

    acceptor = acceptors.Acceptor(
        listener,
        open_listener or functools.partial(listen, f"{host}:{port}"),
        serve,
        ingress.connections,
        ingress.now,
        ingress.report,
    )
    acceptor.start()
    return acceptor

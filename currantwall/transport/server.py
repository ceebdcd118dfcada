"""HTTP server on eventlet's WSGI server; decorators register the routes.

By default eventlet buffers chunked output up to 4 KB, so that streamed
tokens would arrive in bursts. With a minimum chunk size of 0 it writes
each piece at once.
"""

from collections import abc
import functools
import http
import re
import socket
import typing
import urllib.parse

import eventlet
import eventlet.wsgi
import msgspec
import structlog

from currantwall.protocol import http as http_protocol
from currantwall.state import numbers
from currantwall.transport import acceptors
from currantwall.transport import timers

__all__ = [
    "Handlers",
    "Request",
    "Response",
    "Server",
    "mark_handled",
    "route",
]

_ROUTE_ATTRIBUTE = "_route"
# Most connections served at the same time.
_MAX_CONNECTIONS = 4096
# Bytes.
_MAX_URL_SIZE = 8192
# Socket timeout in seconds.
_IDLE_TIMEOUT = 75
Response = http_protocol.Response
Handler = abc.Callable[..., Response]


class Request(msgspec.Struct, kw_only=True):
    """One request of a caller or operator.

    Attributes:
        path_params: Named groups that the route's pattern matched.
        target: Path with its query, as signed.
        client: The caller's socket, for handlers that write chunks to it
            directly; None if the caller can't read chunks.
    """

    method: str
    path: str
    target: str
    path_params: dict[str, str]
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: socket.socket | None = None


class _Route(msgspec.Struct, frozen=True):
    method: str
    pattern: str


def route(method: str, pattern: str) -> abc.Callable[[Handler], Handler]:
    """Register a method for requests whose path matches a pattern."""

    def register(function: Handler) -> Handler:
        setattr(function, _ROUTE_ATTRIBUTE, _Route(method, pattern))
        return function

    return register


class Handlers:
    """Base class of objects whose methods answer requests."""

    def list_routes(
        self,
    ) -> abc.Iterator[tuple[str, re.Pattern[str], Handler]]:
        """Yield method, pattern and handler of each registered route."""
        for name in dir(type(self)):
            registered = getattr(
                getattr(type(self), name), _ROUTE_ATTRIBUTE, None
            )
            if registered is not None:
                handler = getattr(self, name)
                yield (
                    registered.method,
                    re.compile(registered.pattern),
                    handler,
                )


class _QuietProtocol(eventlet.wsgi.HttpProtocol):
    """Suppresses the log lines of malformed requests."""

    def log_message(self, format: str, *args: object) -> None:  # noqa: A002
        """Write nothing."""


class Server:
    """Listens at an address and dispatches requests to handlers.

    Attributes:
        address: Host and port that it listens at.
        in_flight: Number of requests whose answer is not completely sent.
    """

    def __init__(
        self,
        address: tuple[str, int],
        handlers: abc.Sequence[Handlers],
        body_limit: int,
    ) -> None:
        self._routes = [
            entry for group in handlers for entry in group.list_routes()
        ]
        self._body_limit = body_limit
        listener = _listen(address)
        self.address = listener.getsockname()
        self._wsgi = eventlet.wsgi.Server(
            listener,
            self.address,
            self._serve,
            protocol=_QuietProtocol,
            log_output=False,
            debug=False,
            url_length_limit=_MAX_URL_SIZE,
            socket_timeout=_IDLE_TIMEOUT,
            minimum_chunk_size=0,
        )
        self._acceptor = acceptors.Acceptor(
            listener,
            functools.partial(_listen, self.address),
            self._serve_connection,
            _MAX_CONNECTIONS,
            timers.TimerService.now,
            _report,
        )
        self._closing = False
        self._is_refusing = False
        self.in_flight = 0

    def start(self) -> None:
        """Begin to serve requests, in a task."""
        self._acceptor.start()

    def close(self) -> None:
        """Stop listening, and refuse further requests.

        Failure: a request that comes on an open connection after the last
        one was awaited runs, and the process exits before it is answered.
        """
        self._is_refusing = self._closing = True
        self._acceptor.close()

    def _serve_connection(
        self, accepted: typing.Any, address: typing.Any
    ) -> None:
        accepted.settimeout(_IDLE_TIMEOUT)
        state = [address, accepted, eventlet.wsgi.STATE_IDLE]
        self._wsgi.process_request(state)

    def begin_close(self) -> None:
        """Send `Connection: close` with each further answer."""
        self._closing = True

    def _serve(
        self,
        environ: dict[str, typing.Any],
        start: abc.Callable[..., typing.Any],
    ) -> abc.Iterable[bytes]:
        environ["eventlet.minimum_write_chunk_size"] = 0
        self.in_flight += 1
        try:
            response = self._answer(environ)
        except BaseException:
            self.in_flight -= 1
            raise
        status = http.HTTPStatus(response.status)
        headers = list(response.headers)
        if self._closing:
            headers.append(("Connection", "close"))
        if isinstance(response.body, bytes):
            length = str(len(response.body))
            headers.append(("Content-Length", length))
        start(f"{status.value} {status.phrase}", headers)
        return _Body(self, response.body)

    def _answer(self, environ: dict[str, typing.Any]) -> Response:
        if self._is_refusing:
            status = http.HTTPStatus.SERVICE_UNAVAILABLE
            return http_protocol.fail(status, "stopping", "not run")
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        allowed = False
        for wanted, pattern, handler in self._routes:
            match = pattern.fullmatch(path)
            if match is None:
                continue
            if wanted != method:
                allowed = True
                continue
            body = self._read_body(environ)
            if isinstance(body, Response):
                return body
            return handler(_make_request(environ, match, body))
        if allowed:
            status = http.HTTPStatus.METHOD_NOT_ALLOWED
            message = f"{method} is not allowed for {path}"
            return http_protocol.fail(status, "bad_method", message)
        status = http.HTTPStatus.NOT_FOUND
        return http_protocol.fail(status, "no_such_path", f"no {path}")

    def _read_body(self, environ: dict[str, typing.Any]) -> bytes | Response:
        """Return the whole body, or an error response."""
        text = environ.get("CONTENT_LENGTH") or "0"
        length = numbers.parse_count(text)
        if length is None:
            status = http.HTTPStatus.BAD_REQUEST
            message = f"Content-Length is not a size: {text[:80]!r}"
            return http_protocol.fail(status, "bad_length", message)
        stream = environ["wsgi.input"]
        chunked = environ.get("HTTP_TRANSFER_ENCODING", "")
        if "chunked" in chunked.lower():
            body = stream.read(self._body_limit + 1)
        elif length > self._body_limit:
            return self._refuse_size()
        else:
            body = stream.read(length)
            if len(body) < length:
                status = http.HTTPStatus.BAD_REQUEST
                message = "the body is shorter than Content-Length says"
                return http_protocol.fail(status, "short_body", message)
        if len(body) > self._body_limit:
            return self._refuse_size()
        return body

    def _refuse_size(self) -> Response:
        status = http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        message = f"the body is over {self._body_limit} bytes"
        response = http_protocol.fail(status, "body_too_large", message)
        response.headers = (*response.headers, ("Connection", "close"))
        return response


class _Body:
    """A response body that counts its request until it is closed.

    The WSGI server calls `close` after the last byte is written, and also
    when the caller has disconnected.
    """

    def __init__(
        self, owner: Server, body: bytes | abc.Iterator[bytes]
    ) -> None:
        self._owner = owner
        self._body = body
        self._open = True

    def __iter__(self) -> abc.Iterator[bytes]:
        if isinstance(self._body, bytes):
            return iter((self._body,))
        return self._body

    def close(self) -> None:
        """Close the body's iterator and stop counting the request."""
        if not self._open:
            return
        self._open = False
        self._owner.in_flight -= 1
        if not isinstance(self._body, bytes):
            getattr(self._body, "close", _ignore)()


def _ignore() -> None:
    return


def _listen(address: tuple[str, int]) -> typing.Any:
    listener = eventlet.listen(address, reuse_port=False)
    # Accepted connections inherit this: the first token of a stream must
    # not wait for the acknowledgement of the headers.
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener


def _report(event: str, **fields: typing.Any) -> None:
    structlog.get_logger().warning(event, **fields)


def _make_request(
    environ: dict[str, typing.Any],
    match: re.Match[str],
    body: bytes,
) -> Request:
    query = environ.get("QUERY_STRING", "")
    path = environ["PATH_INFO"]
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_") and isinstance(value, str)
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=path,
        target=f"{path}?{query}" if query else path,
        path_params=match.groupdict(),
        query=dict(urllib.parse.parse_qsl(query)),
        headers=headers,
        body=body,
        client=_find_socket(environ),
    )


def _find_socket(
    environ: dict[str, typing.Any],
) -> socket.socket | None:
    if environ["SERVER_PROTOCOL"] == "HTTP/1.0":
        return None
    green = environ["eventlet.input"].get_socket()
    return getattr(green, "fd", green)


def mark_handled() -> None:
    """Tell the WSGI server that the answer was written to the socket."""
    eventlet.wsgi.WSGI_LOCAL.already_handled = True

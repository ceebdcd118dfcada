"""Connections to upstream instances: probes, orders, calls, streams."""

from collections import abc
import http.client
import socket

import eventlet
import msgspec
import result
import urllib3

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination.requests import homes
from currantwall.protocol import errors
from currantwall.protocol import upstream
from currantwall.state import instances
from currantwall.state import settings as settings_module
from currantwall.transport import coordinator
from currantwall.transport import exchanges
from currantwall.transport import responses
from currantwall.transport import sockets
from currantwall.transport import timers

__all__ = ["Call", "Stream", "Upstreams"]

# Most connections kept for each upstream.
_MAX_CONNECTIONS = 64
# Most upstreams to which connections are kept.
_MAX_POOLS = 4096
# Sizes in bytes.
_MAX_REPORT_SIZE = 65_536
_MAX_ANSWER_SIZE = 16_777_216
_READ_SIZE = 65_536
# Headers of an answer that apply to a single connection or server and are
# not forwarded.
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "date",
        "server",
    )
)

Tell = abc.Callable[[part.Message], None]
Headers = tuple[tuple[str, str], ...]


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """One request to an upstream.

    Attributes:
        new_connection: Whether to use a new connection, so that a failed
            connect proves that no byte of the request was sent.
    """

    address: str
    path: str
    body: bytes
    headers: Headers = ()
    method: str = "POST"
    timeout: float = 30.0
    connect_timeout: float = 0.5
    new_connection: bool = False


class Stream:
    """An answer whose body is still arriving."""

    def __init__(self, peer: str, response: urllib3.BaseHTTPResponse) -> None:
        self._peer = peer
        self._response = response
        self.status = response.status
        self.headers = _drop_hop_headers(response)

    def read_chunks(self) -> abc.Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            StreamCut: The connection failed before the end of the body.
        """
        try:
            yield from self._response.stream(_READ_SIZE, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise StreamCut(_make_call_error(error, self._peer)) from error
        finally:
            self.close()

    @property
    def is_chunked(self) -> bool:
        """Return whether the body comes in chunks."""
        return bool(getattr(self._response, "chunked", False))

    def detach(self) -> tuple[socket.socket, bytes]:
        """Return the socket and the bytes that were already buffered.

        Must be called between two chunks; the next byte begins a chunk.
        Waits for more bytes if none are buffered. urllib3 and http.client
        have no public interface for this, so their versions are pinned and
        a test covers it.
        """
        raw = self._response._fp  # noqa: SLF001
        connection = self._response._connection  # noqa: SLF001
        buffered = raw.fp.read1(_READ_SIZE)
        green = connection.sock
        return getattr(green, "fd", green), buffered

    def close(self) -> None:
        """Release the connection; close it if the body was not read whole."""
        if not self._response.isclosed():
            self._response.close()
        self._response.release_conn()


class StreamCut(Exception):  # noqa: N818
    """A connection failed before the end of the body."""

    def __init__(self, error: errors.CallError) -> None:
        super().__init__(str(error))
        self.error = error


class Upstreams:
    """Sends probes, orders and requests to upstream instances."""

    def __init__(
        self,
        settings: settings_module.Settings,
        clock: timers.TimerService,
        tell: Tell,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._tell = tell
        self._pool = _make_pool(_MAX_POOLS, _MAX_CONNECTIONS)
        # Probes and orders have connections of their own, so that they
        # don't wait for requests, and so that a broken connection of a
        # request does not count against the instance.
        self._probe_pool = _make_pool(_MAX_POOLS, 2)

    # -- Actions

    @coordinator.performs(actions.Probe)
    def probe(self, action: actions.Probe) -> None:
        """Request the report of an instance."""
        eventlet.spawn_n(self._probe, action)

    @coordinator.performs(actions.SendOrder)
    def send_order(self, action: actions.SendOrder) -> None:
        """Send an order, unless its lifetime would exceed the deadline."""
        eventlet.spawn_n(self._send_order, action)

    def _probe(self, action: actions.Probe) -> None:
        with eventlet.Timeout(action.timeout, False):
            outcome, report = self._fetch_report(action)
            self._tell(
                messages.ProbeAnswered(action.instance, outcome, report)
            )
            return
        outcome = messages.ProbeOutcome.TIMEOUT
        self._tell(messages.ProbeAnswered(action.instance, outcome))

    def _fetch_report(
        self, action: actions.Probe
    ) -> tuple[messages.ProbeOutcome, instances.Report | None]:
        outcomes = messages.ProbeOutcome
        try:
            response = self._probe_pool.request(
                "GET",
                f"http://{action.address}{upstream.REPORT_PATH}",
                timeout=action.timeout,
                preload_content=False,
            )
            report = upstream.decode_report(_read_whole(response))
        except urllib3.exceptions.NewConnectionError:
            return outcomes.REFUSED, None
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
            msgspec.MsgspecError,
        ):
            return outcomes.TIMEOUT, None
        if report.instance != action.instance:
            # Another instance has the address now: the probed one is gone.
            return outcomes.REFUSED, None
        return outcomes.ANSWERED, report

    def _send_order(self, action: actions.SendOrder) -> None:
        outcomes = messages.OrderOutcome
        order = action.order
        if self._clock.now() + order.lifetime >= action.deadline:
            outcome = outcomes.EXPIRED
        else:
            outcome = self._post_order(action)
        self._tell(
            messages.OrderAnswered(action.instance, order.epoch, outcome)
        )

    def _post_order(self, action: actions.SendOrder) -> messages.OrderOutcome:
        try:
            response = self._probe_pool.request(
                "POST",
                f"http://{action.address}{upstream.ORDERS_PATH}",
                body=upstream.encode_order(action.order),
                headers={"Content-Type": "application/json"},
                timeout=action.order.lifetime,
                preload_content=False,
            )
            _read_whole(response)
        except (
            urllib3.exceptions.HTTPError,
            http.client.HTTPException,
            OSError,
        ):
            return messages.OrderOutcome.LOST
        return upstream.map_order_status(response.status)

    # -- Requests

    def open(self, call: Call) -> result.Result[Stream, errors.CallError]:
        """Send a request; return its answer when the headers arrived."""
        url = f"http://{call.address}{call.path}"
        timeout = urllib3.Timeout(
            connect=call.connect_timeout, read=call.timeout
        )
        pool = _make_pool(1, 1) if call.new_connection else self._pool
        try:
            response = pool.request(
                call.method,
                url,
                body=call.body,
                headers=dict(call.headers),
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return result.Err(_make_call_error(error, call.address))
        return result.Ok(Stream(call.address, response))

    def fetch(
        self, call: Call
    ) -> result.Result[homes.StoredAnswer, errors.CallError]:
        """Send a request and return its whole answer.

        Failure: an answer comes a byte at a time, and no read times out.
        """
        timeout = eventlet.Timeout(call.timeout)
        try:
            return self._fetch(call)
        except eventlet.Timeout as raised:
            if raised is not timeout:
                raise
            return result.Err(
                errors.CallError(
                    errors.Step.BODY, call.address, errors.Failure.TIMEOUT
                )
            )
        finally:
            timeout.cancel()

    def _fetch(
        self, call: Call
    ) -> result.Result[homes.StoredAnswer, errors.CallError]:
        opened = self.open(call)
        if isinstance(opened, result.Err):
            return opened
        stream = opened.ok_value
        parts: list[bytes] = []
        size = 0
        try:
            for chunk in stream.read_chunks():
                parts.append(chunk)
                size += len(chunk)
                if size > _MAX_ANSWER_SIZE:
                    return result.Err(
                        errors.CallError(
                            errors.Step.BODY,
                            call.address,
                            errors.Failure.TOO_LARGE,
                        )
                    )
        except StreamCut as cut:
            return result.Err(cut.error)
        body = b"".join(parts)
        return result.Ok(
            homes.StoredAnswer(stream.status, stream.headers, body)
        )


class _Connection(sockets.ResetAwareConnection):
    response_class = responses.LimitedResponse


class _ConnectionPool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def _make_pool(upstream_count: int, connections: int) -> urllib3.PoolManager:
    """Return a pool of connections whose answers fail if they are reset.

    Args:
        upstream_count: Most upstreams to which connections are kept.
        connections: Most connections kept for each.
    """
    pool = urllib3.PoolManager(
        num_pools=upstream_count,
        maxsize=connections,
        retries=False,
        block=False,
    )
    pool.pool_classes_by_scheme = {"http": _ConnectionPool}
    return pool


def _read_whole(response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the body of a report or of the answer to an order."""
    try:
        body = exchanges.read_body(response, _MAX_REPORT_SIZE)
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return body


def _drop_hop_headers(response: urllib3.BaseHTTPResponse) -> Headers:
    return tuple(
        (name, value)
        for name, value in response.headers.items()
        if name.lower() not in _HOP_HEADERS
    )


def _make_call_error(error: Exception, peer: str) -> errors.CallError:
    """Return the `CallError` for an error of urllib3 or of a socket."""
    exceptions = urllib3.exceptions
    detail = str(error)
    if isinstance(
        error, exceptions.NewConnectionError | exceptions.NameResolutionError
    ):
        step, failure = errors.Step.CONNECT, errors.Failure.REFUSED
    elif isinstance(error, exceptions.ConnectTimeoutError):
        step, failure = errors.Step.CONNECT, errors.Failure.TIMEOUT
    elif isinstance(error, exceptions.ReadTimeoutError):
        step, failure = errors.Step.BODY, errors.Failure.TIMEOUT
    elif isinstance(
        error, exceptions.IncompleteRead | exceptions.InvalidChunkLength
    ):
        step, failure = errors.Step.BODY, errors.Failure.TRUNCATED
    else:
        step, failure = errors.Step.HEADERS, errors.Failure.CLOSED
    return errors.CallError(step, peer, failure, detail)

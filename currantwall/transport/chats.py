"""Chat completions: routing, retries, and whole or streamed answers."""

from collections import abc
import http
import itertools
import socket

import msgspec
import result
import urllib3
import xxhash

from currantwall.coordination.requests import homes
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
from currantwall.protocol import advisories
from currantwall.protocol import errors
from currantwall.protocol import http as http_protocol
from currantwall.state import ids
from currantwall.transport import callers
from currantwall.transport import coordinator
from currantwall.transport import server
from currantwall.transport import splice
from currantwall.transport import upstreams

__all__ = ["ChatHandlers", "EndedInsideEvent", "forward_chunks"]

Response = http_protocol.Response
_CHAT_PATH = "/v1/chat/completions"
_DONE_EVENT = b"data: [DONE]"
# Bytes of a stream's end that are kept: enough to find the last event in,
# however the stream was split into chunks.
_TAIL_SIZE = 64
_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_PRIORITY_HEADER = "Currantwall-Priority"
# Most bytes of a prompt's first message that are hashed.
_PREFIX_SIZE = 1024
# Statuses of an upstream that did not run the request.
_BUSY_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)


class _Chat(msgspec.Struct):
    """Fields of a chat request that the entry reads."""

    model: str
    messages: list[msgspec.Raw]
    stream: bool = False


class _Attempt(msgspec.Struct, frozen=True):
    """A route and the answer, or the error, of the request sent by it."""

    route: routing.Route
    outcome: result.Result[upstreams.Stream, errors.CallError]


class EndedInsideEvent(Exception):  # noqa: N818
    """A stream was cut where no error event may follow."""

    def __init__(self, error: errors.CallError) -> None:
        super().__init__(str(error))
        self.error = error


class ChatHandlers(server.Handlers):
    """Answers chat completions."""

    def __init__(
        self,
        core: coordinator.Coordinator,
        shared: callers.Callers,
        calls: upstreams.Upstreams,
        splicer: splice.Splicer,
    ) -> None:
        self._settings = core.node.settings
        self._callers = shared
        self._calls = calls
        self._splicer = splicer

    @server.route("POST", _CHAT_PATH)
    def complete_chat(self, request: server.Request) -> Response:
        """Return the answer to a chat completion, whole or streamed."""
        caller = self._callers.identify(request)
        if isinstance(caller, Response):
            return caller
        try:
            chat = msgspec.json.decode(request.body, type=_Chat)
        except msgspec.MsgspecError as error:
            status = http.HTTPStatus.BAD_REQUEST
            message = f"the body is not a chat request: {error}"
            return http_protocol.fail(status, "bad_request", message)
        self._callers.earn_retry()
        self._callers.count_request("chat")
        context = self._callers.read_context(request, caller)
        if isinstance(context, Response):
            return context
        return self._answer_chat(request, chat, context)

    def _answer_chat(
        self,
        request: server.Request,
        chat: _Chat,
        context: callers.CallContext,
    ) -> Response:
        excluded: tuple[str, ...] = ()
        may_have_run = False
        for attempts in itertools.count(1):
            opened = self._open_chat(request, chat, context, excluded)
            if isinstance(opened, routing.Refusal):
                return http_protocol.from_refusal(opened, may_have_run)
            answer = self._handle_response(request, opened, chat, attempts)
            if isinstance(answer, Response):
                return answer
            excluded = (*excluded, opened.route.subject)
            may_have_run = may_have_run or answer.may_have_run
            failure = retries.AttemptFailure(
                attempts=attempts,
                may_have_run=may_have_run,
                idempotent=True,
                started=False,
                deadline=context.deadline,
            )
            refused = self._callers.decide_retry(failure, answer)
            if refused is not None:
                return refused
        raise AssertionError("unreachable")

    def _open_chat(
        self,
        request: server.Request,
        chat: _Chat,
        context: callers.CallContext,
        excluded: tuple[str, ...],
    ) -> _Attempt | routing.Refusal:
        attempt = self._callers.next_attempt()
        profile = ids.ProfileName(chat.model)
        prefix = _hash_prefix(chat)
        answer = self._callers.request_route(
            lambda ticket: routing.RouteRequested(
                ticket=ticket,
                attempt=attempt,
                profile=profile,
                excluded=excluded,
                organisation=context.organisation,
                weight=context.weight,
                deadline=context.deadline,
                prefix=prefix,
            ),
            context.deadline,
        )
        if isinstance(answer, routing.Refusal):
            return answer
        requests = self._settings.requests
        call = upstreams.Call(
            address=answer.address,
            path=_CHAT_PATH,
            body=request.body,
            headers=(
                *callers.get_forwarded_headers(request),
                (_PRIORITY_HEADER, f"{context.weight:g}"),
            ),
            timeout=requests.first_byte_timeout,
            connect_timeout=requests.connect_timeout,
        )
        return _Attempt(answer, self._calls.open(call))

    def _handle_response(
        self,
        request: server.Request,
        opened: _Attempt,
        chat: _Chat,
        attempts: int,
    ) -> Response | errors.CallError:
        """Return the response of an attempt, or its failure."""
        if isinstance(opened.outcome, result.Err):
            self._callers.end_attempt(opened.route, opened.outcome.err_value)
            return opened.outcome.err_value
        stream = opened.outcome.ok_value
        if stream.status in _BUSY_STATUSES:
            stream.close()
            pause = advisories.parse_retry_after(
                stream.status, urllib3.HTTPHeaderDict(stream.headers)
            )
            busy = routing.EndKind.BUSY
            self._callers.report_end(opened.route, busy, pause)
            return callers.make_refused_error(
                opened.route.address, stream.status
            )
        if chat.stream and stream.status == http.HTTPStatus.OK:
            return self._relay(request, opened.route, stream, attempts)
        return self._read_answer(opened.route, stream, attempts)

    def _read_answer(
        self,
        route: routing.Route,
        stream: upstreams.Stream,
        attempts: int,
    ) -> Response | errors.CallError:
        try:
            body = b"".join(stream.read_chunks())
        except upstreams.StreamCut as cut:
            self._callers.end_attempt(route, cut.error)
            return cut.error
        self._callers.end_attempt(route, None)
        answer = homes.StoredAnswer(stream.status, stream.headers, body)
        return http_protocol.from_answer(answer, attempts)

    def _relay(
        self,
        request: server.Request,
        route: routing.Route,
        stream: upstreams.Stream,
        attempts: int,
    ) -> Response:
        """Return a response that forwards the stream as it arrives."""
        headers = (
            *stream.headers,
            (http_protocol.ATTEMPTS_HEADER, str(attempts)),
        )
        body = self._forward_stream(request, route, stream)
        return Response(stream.status, headers, body)

    def _forward_stream(
        self,
        request: server.Request,
        route: routing.Route,
        stream: upstreams.Stream,
    ) -> abc.Iterator[bytes]:
        """Yield the first chunk, then splice the rest between sockets.

        Failure: the replica dies in the middle of an answer, and the
        caller takes the truncated answer for a complete one. A stream
        without its last event ends with an error event, or, inside a
        chunk, with a broken connection; never like a complete one.
        """
        failure: errors.CallError | None = callers.CALLER_LEFT
        chunks = stream.read_chunks()
        try:
            first = next(chunks, b"")
            yield first
            if stream.is_chunked and request.client and first:
                failure = self._splice(request.client, route, stream)
            else:
                failure = yield from forward_chunks(route, chunks, first)
        except upstreams.StreamCut as cut:
            failure = cut.error
            yield http_protocol.make_event("stream_cut", str(failure))
        except EndedInsideEvent as cut:
            # The server closes the connection without the last chunk.
            failure = cut.error
            raise
        finally:
            stream.close()
            self._callers.end_attempt(route, failure)

    def _splice(
        self,
        client: socket.socket,
        route: routing.Route,
        stream: upstreams.Stream,
    ) -> errors.CallError | None:
        upstream, buffered = stream.detach()
        server.mark_handled()
        failure = self._splicer.splice(
            upstream, client, buffered, route.address
        )
        if failure is not None and splice.ends_at_boundary(failure):
            event = http_protocol.make_event("stream_cut", str(failure))
            _send_end(client, b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
        return failure


def _hash_prefix(chat: _Chat) -> int:
    """Return a hash of the first of several messages, 0 for fewer than two.

    Prompts of one kind share their first message.
    """
    if len(chat.messages) < 2:
        return 0
    return xxhash.xxh3_64_intdigest(bytes(chat.messages[0])[:_PREFIX_SIZE])


def forward_chunks(
    route: routing.Route, chunks: abc.Iterator[bytes], first: bytes
) -> abc.Generator[bytes, None, errors.CallError | None]:
    """Yield the chunks of a stream; return how it failed, if it did.

    A stream without its last event ends with an error event.

    Raises:
        EndedInsideEvent: The stream ends inside an event, which an error
            event would become a part of.
    """
    tail = first[-_TAIL_SIZE:]
    failure = errors.CallError(
        errors.Step.BODY, route.address, errors.Failure.TRUNCATED
    )
    try:
        for chunk in chunks:
            tail = (tail + chunk)[-_TAIL_SIZE:]
            yield chunk
        if _DONE_EVENT in tail:
            return None
    except upstreams.StreamCut as cut:
        failure = cut.error
    if tail and not tail.endswith(_EVENT_ENDS):
        raise EndedInsideEvent(failure)
    yield http_protocol.make_event("stream_cut", str(failure))
    return failure


def _send_end(client: socket.socket, data: bytes) -> None:
    """Send the end of a stream to a caller that may have disconnected."""
    try:
        client.send(data)
    except OSError:
        return

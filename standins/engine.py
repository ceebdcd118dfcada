"""A stand-in engine instance: reports, orders and chat completions.

It loads a model when an order adds it to a replica, and answers requests
while it is the replica's leader and ready. Tokens are the words of the
request, so a test can tell which request an answer belongs to.
"""

from collections import abc
import http
import time
import typing

import eventlet
import msgspec
import typer

from currantwall.protocol import http as http_protocol
from currantwall.protocol import upstream
from currantwall.state import ids
from currantwall.transport import server
from standins import enginemodel
from standins import process

__all__ = ["EngineHandlers", "main"]

Response = http_protocol.Response
_DEFAULT_TOKENS = 16


class Faults(msgspec.Struct):
    """Faults that the engine injects.

    Attributes:
        cut_after: Tokens after which streams are cut, -1 for never.
        stall: Delay before each answer begins, in seconds.
        refuse: Whether new requests are refused as if overloaded.
        retry_after: Seconds that refusals ask to wait; 0 for none.
    """

    cut_after: int = -1
    stall: float = 0.0
    refuse: bool = False
    retry_after: float = 0.0


class _Chat(msgspec.Struct):
    messages: list[dict[str, typing.Any]]
    model: str = ""
    stream: bool = False
    max_tokens: int = _DEFAULT_TOKENS


class _StreamCut(Exception):  # noqa: N818
    """Raised in the middle of a stream to cut it."""


class EngineHandlers(server.Handlers):
    """One engine instance."""

    def __init__(
        self,
        instance: str,
        checks_epoch: bool,
        load_time: float,
        token_interval: float,
    ) -> None:
        self._model = enginemodel.EngineModel(
            ids.InstanceId(instance),
            checks_epoch,
            lambda now: now + load_time,
            int(time.time() * 1e6),
        )
        self._token_interval = token_interval
        self._faults = Faults()
        self._refused = 0

    # -- Reports and orders

    @server.route("GET", upstream.REPORT_PATH)
    def report(self, request: server.Request) -> Response:
        """Return the instance's report."""
        report = self._model.report(time.monotonic())
        return http_protocol.make_json(report)

    @server.route("POST", upstream.ORDERS_PATH)
    def take_order(self, request: server.Request) -> Response:
        """Apply an order, or answer 409 when it is fenced off."""
        order = upstream.decode_order(request.body)
        if not self._model.take_order(order, time.monotonic()):
            return Response(http.HTTPStatus.CONFLICT, ())
        return Response(http.HTTPStatus.OK, ())

    # -- Requests

    @server.route("POST", r"/v1/chat/completions")
    def complete(self, request: server.Request) -> Response:
        """Answer a chat completion."""
        if self._faults.refuse:
            self._refused += 1
            return process.make_refusal(
                http.HTTPStatus.SERVICE_UNAVAILABLE, self._faults.retry_after
            )
        if not self._model.leads(time.monotonic()):
            return Response(http.HTTPStatus.SERVICE_UNAVAILABLE, ())
        chat = msgspec.json.decode(request.body, type=_Chat)
        if self._faults.stall:
            eventlet.sleep(self._faults.stall)
        tokens = _make_tokens(chat)
        if chat.stream:
            headers = (("Content-Type", "text/event-stream"),)
            body = self._stream(chat, tokens)
            return Response(http.HTTPStatus.OK, headers, body)
        return self._answer(chat, tokens)

    def _answer(self, chat: _Chat, tokens: list[str]) -> Response:
        self._model.running += 1
        try:
            eventlet.sleep(self._token_interval * len(tokens))
        finally:
            self._model.running -= 1
        message = {"role": "assistant", "content": " ".join(tokens)}
        body = {
            "object": "chat.completion",
            "model": chat.model,
            "choices": [{"index": 0, "message": message}],
        }
        return http_protocol.make_json(body)

    def _stream(self, chat: _Chat, tokens: list[str]) -> abc.Iterator[bytes]:
        self._model.running += 1
        try:
            for index, token in enumerate(tokens):
                if index == self._faults.cut_after:
                    raise _StreamCut
                eventlet.sleep(self._token_interval)
                yield _encode_event(chat.model, token)
            yield b"data: [DONE]\n\n"
        finally:
            self._model.running -= 1

    # -- Control

    @server.route("GET", r"/control/refused")
    def count_refused(self, request: server.Request) -> Response:
        """Return how many requests the fault `refuse` has refused."""
        return http_protocol.make_json(self._refused)

    @server.route("POST", r"/control/faults")
    def set_faults(self, request: server.Request) -> Response:
        """Set the faults to inject."""
        self._faults = msgspec.json.decode(request.body, type=Faults)
        return Response(http.HTTPStatus.OK, ())


def _make_tokens(chat: _Chat) -> list[str]:
    text = str(chat.messages[-1].get("content", ""))
    words = text.split() or ["?"]
    return [words[n % len(words)] for n in range(chat.max_tokens)]


def _encode_event(model: str, token: str) -> bytes:
    body = {
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{"index": 0, "delta": {"content": token + " "}}],
    }
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def _serve(
    address: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    instance: typing.Annotated[str, typer.Option(help="Instance id.")],
    checks_epoch: typing.Annotated[
        bool, typer.Option(help="Refuse orders with an old epoch.")
    ] = True,
    load_time: typing.Annotated[
        float, typer.Option(help="Seconds to load a model.")
    ] = 0.5,
    token_interval: typing.Annotated[
        float, typer.Option(help="Seconds between tokens.")
    ] = 0.02,
) -> None:
    """Run one stand-in engine instance."""
    handlers = EngineHandlers(
        instance, checks_epoch, load_time, token_interval
    )
    process.serve(address, handlers)


def main() -> None:
    """Run the command."""
    typer.run(_serve)

"""A stand-in engine for load tests: one event loop over plain sockets.

It behaves like `standins.engine` but answers chat requests with a fixed
token at a fixed interval. One process sends tens of thousands of chunks
a second, so that a load test measures the entry, not the stand-in.
"""

import heapq
import itertools
import selectors
import socket
import time
import typing

import msgspec
import typer

from currantwall.protocol import upstream
from currantwall.state import ids
from currantwall.state import settings
from standins import enginemodel

__all__ = ["FastEngine", "main"]

_RECEIVE_SIZE = 65_536  # bytes
_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_TOKEN = (
    b'data: {"object":"chat.completion.chunk","choices":'
    b'[{"index":0,"delta":{"content":"word "}}]}\n\n'
)
_TOKEN_CHUNK = b"%x\r\n%s\r\n" % (len(_TOKEN), _TOKEN)
_DONE_EVENT = b"data: [DONE]\n\n"
_END_CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(_DONE_EVENT), _DONE_EVENT)


class _Chat(msgspec.Struct):
    stream: bool = False
    max_tokens: int = 16


class _Connection:
    """One connection and the request being read from it."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.tokens_left = 0
        self.open = True


class FastEngine:
    """One engine instance in one event loop."""

    def __init__(
        self, address: tuple[str, int], instance: str, interval: float
    ) -> None:
        self._model = enginemodel.EngineModel(
            ids.InstanceId(instance),
            True,
            lambda now: now,
            int(time.time() * 1e6),
        )
        self._interval = interval
        self._selector = selectors.DefaultSelector()
        self._timers: list[tuple[float, int, _Connection]] = []
        self._sequence = itertools.count()
        self._listener = socket.create_server(address, backlog=1024)
        self._listener.setblocking(False)
        self._selector.register(self._listener, selectors.EVENT_READ)

    def run(self) -> None:
        """Serve for ever."""
        while True:
            for key, _ in self._selector.select(self._compute_timeout()):
                if key.data is None:
                    self._accept()
                else:
                    self._read(key.data)
            self._send_due()

    def _compute_timeout(self) -> float:
        if not self._timers:
            return 1.0
        return max(0.0, self._timers[0][0] - time.monotonic())

    def _accept(self) -> None:
        sock, _ = self._listener.accept()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = _Connection(sock)
        self._selector.register(sock, selectors.EVENT_READ, connection)

    def _read(self, connection: _Connection) -> None:
        try:
            data = connection.sock.recv(_RECEIVE_SIZE)
        except OSError:
            data = b""
        if not data:
            self._close(connection)
            return
        connection.buffer += data
        while self._take_request(connection):
            continue

    def _take_request(self, connection: _Connection) -> bool:
        head, separator, rest = connection.buffer.partition(b"\r\n\r\n")
        if not separator:
            return False
        length = 0
        for line in head.lower().split(b"\r\n"):
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        if len(rest) < length:
            return False
        connection.buffer = rest[length:]
        self._answer(connection, head.split(b" ")[1], rest[:length])
        return True

    def _answer(
        self, connection: _Connection, path: bytes, body: bytes
    ) -> None:
        if path.startswith(upstream.REPORT_PATH.encode()):
            report = self._model.report(time.monotonic())
            self._send_json(connection, msgspec.json.encode(report))
        elif path.startswith(upstream.ORDERS_PATH.encode()):
            order = upstream.decode_order(body)
            self._model.take_order(order, time.monotonic())
            self._send_json(connection, b"{}")
        else:
            self._start_chat(connection, body)

    def _start_chat(self, connection: _Connection, body: bytes) -> None:
        chat = msgspec.json.decode(body, type=_Chat)
        if not chat.stream:
            answer = _TOKEN[6:-2] * 1
            self._send_json(connection, answer)
            return
        self._model.running += 1
        connection.tokens_left = chat.max_tokens
        self._send(connection, _STREAM_HEAD)
        self._schedule(connection, time.monotonic() + self._interval)

    def _schedule(self, connection: _Connection, at: float) -> None:
        heapq.heappush(self._timers, (at, next(self._sequence), connection))

    def _send_due(self) -> None:
        now = time.monotonic()
        while self._timers and self._timers[0][0] <= now:
            at, _, connection = heapq.heappop(self._timers)
            if not connection.open:
                continue
            if connection.tokens_left > 0:
                connection.tokens_left -= 1
                self._send(connection, _TOKEN_CHUNK)
                self._schedule(connection, at + self._interval)
            else:
                self._model.running -= 1
                self._send(connection, _END_CHUNKS)

    def _send_json(self, connection: _Connection, body: bytes) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        self._send(connection, head + body)

    def _send(self, connection: _Connection, data: bytes) -> None:
        try:
            connection.sock.send(data)
        except OSError:
            self._close(connection)

    def _close(self, connection: _Connection) -> None:
        if not connection.open:
            return
        connection.open = False
        if connection.tokens_left > 0:
            self._model.running -= 1
        self._selector.unregister(connection.sock)
        connection.sock.close()


def _serve(
    address: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    instance: typing.Annotated[str, typer.Option(help="Instance id.")],
    token_interval: typing.Annotated[
        float, typer.Option(help="Seconds between tokens.")
    ] = 0.02,
) -> None:
    """Run one engine instance for load tests."""
    parsed = settings.split_address(address)
    if parsed is None:
        raise SystemExit(f"expected HOST:PORT, got {address!r}")
    FastEngine(parsed, instance, token_interval).run()


def main() -> None:
    """Run the command."""
    typer.run(_serve)

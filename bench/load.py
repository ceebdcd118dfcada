"""Closed-loop load generator over plain sockets.

Each connection sends its next request as soon as the answer to the last
one has ended. ``python -m bench.load`` reads a `LoadPlan` as JSON from
standard input and prints a `LoadResult`. Times are in seconds.
"""

import selectors
import socket
import sys
import time

import msgspec

__all__ = ["LoadPlan", "LoadResult", "main", "percentile"]

_RECEIVE_BYTES = 65_536
# Start of each event of a stream that carries a token.
_TOKEN_PREFIX = b"data: {"
# Last chunk of a chunked body.
_LAST_CHUNK = b"0\r\n\r\n"


class LoadPlan(msgspec.Struct, kw_only=True):
    """The load to generate.

    Attributes:
        addresses: Servers; the connections are spread over them in turn.
        connections: Connections, with one request at a time on each.
        tokens: Tokens requested in each stream; 0 requests an answer that is
            not streamed.
        seconds: Length of the measurement, after the warm-up.
        warmup: Seconds at the start that are not measured.
    """

    addresses: list[str]
    model: str
    connections: int
    tokens: int
    seconds: float
    warmup: float = 1.0


class LoadResult(msgspec.Struct, kw_only=True):
    """Results of a run, without its warm-up.

    Attributes:
        seconds: Length of the measurement.
        requests: Answers that ended.
        chunks: Tokens received.
        failures: Answers that failed or were cut. An error in place of a
            stream counts only when the server closes the connection.
        first: Seconds from a request to its first token, or to the end of
            an answer that is not streamed.
        gaps: Seconds between two reads of a stream that had tokens.
    """

    seconds: float
    requests: int
    chunks: int
    failures: int
    first: list[float]
    gaps: list[float]


def percentile(values: list[float], fraction: float) -> float:
    """Return a percentile of some values; 0 if there are none.

    Args:
        values: The values, in any order.
        fraction: The percentile as a fraction of 1.
    """
    if not values:
        return 0.0
    ranked = sorted(values)
    return ranked[min(len(ranked) - 1, int(fraction * len(ranked)))]


class _Connection:
    """A connection and the request in progress on it.

    Attributes:
        sent_at: Time at which the request was sent.
        last_token_at: Time of the last read that had tokens.
        received: Bytes of the answer; the last 16 only of a stream.
        has_token: Whether the stream had a token.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        self.sock: socket.socket | None = None
        self.sent_at = 0.0
        self.last_token_at = 0.0
        self.received = b""
        self.has_token = False


class LoadGenerator:
    """Generates the load of a plan."""

    def __init__(self, plan: LoadPlan) -> None:
        self._plan = plan
        self._selector = selectors.DefaultSelector()
        self._request = _make_request(plan)
        self._is_measuring = False
        self.result = LoadResult(
            seconds=0.0, requests=0, chunks=0, failures=0, first=[], gaps=[]
        )

    def run(self) -> LoadResult:
        """Send requests until the time of the plan is over."""
        started = time.monotonic()
        measured_from = started + self._plan.warmup
        opened = 0
        while (now := time.monotonic()) < measured_from + self._plan.seconds:
            opened = self._open_connections(opened, now - started)
            self._is_measuring = now >= measured_from
            for key, _ in self._selector.select(0.005):
                self._receive(key.data)
        self.result.seconds = time.monotonic() - measured_from
        return self.result

    def _open_connections(self, opened: int, elapsed: float) -> int:
        """Open connections evenly over the warm-up; return how many are open.

        If all were opened at once, their requests would go on to start and
        end at the same times.
        """
        plan = self._plan
        target = int(plan.connections * elapsed / plan.warmup) + 1
        for number in range(opened, min(target, plan.connections)):
            address = plan.addresses[number % len(plan.addresses)]
            self._send_request(_Connection(address))
        return max(opened, min(target, plan.connections))

    def _send_request(self, connection: _Connection) -> None:
        if connection.sock is None:
            sock = socket.create_connection(connection.address)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.setblocking(False)
            connection.sock = sock
            self._selector.register(sock, selectors.EVENT_READ, connection)
        connection.received = b""
        connection.has_token = False
        connection.sent_at = connection.last_token_at = time.monotonic()
        connection.sock.send(self._request)

    def _receive(self, connection: _Connection) -> None:
        assert connection.sock is not None
        try:
            data = connection.sock.recv(_RECEIVE_BYTES)
        except OSError:
            data = b""
        if not data:
            self._reconnect(connection)
            return
        if self._plan.tokens:
            self._record_tokens(connection, data)
        else:
            self._record_answer(connection, data)

    def _record_tokens(self, connection: _Connection, data: bytes) -> None:
        now = time.monotonic()
        count = data.count(_TOKEN_PREFIX)
        if count and self._is_measuring:
            self.result.chunks += count
            if connection.has_token:
                self.result.gaps.append(now - connection.last_token_at)
            else:
                self.result.first.append(now - connection.sent_at)
        if count:
            connection.has_token = True
            connection.last_token_at = now
        connection.received = (connection.received + data)[-16:]
        if connection.received.endswith(_LAST_CHUNK):
            self._finish_request(connection)

    def _record_answer(self, connection: _Connection, data: bytes) -> None:
        connection.received += data
        head, separator, body = connection.received.partition(b"\r\n\r\n")
        if not separator:
            return
        lower_head = head.lower()
        start = lower_head.find(b"content-length:")
        length = int(lower_head[start + 15 :].split(b"\r\n", 1)[0])
        if len(body) < length:
            return
        if not head.startswith(b"HTTP/1.1 200"):
            self.result.failures += int(self._is_measuring)
        elif self._is_measuring:
            self.result.first.append(time.monotonic() - connection.sent_at)
        self._finish_request(connection)

    def _finish_request(self, connection: _Connection) -> None:
        self.result.requests += int(self._is_measuring)
        self._send_request(connection)

    def _reconnect(self, connection: _Connection) -> None:
        assert connection.sock is not None
        self._selector.unregister(connection.sock)
        connection.sock.close()
        connection.sock = None
        if connection.received and not connection.received.endswith(
            _LAST_CHUNK
        ):
            self.result.failures += int(self._is_measuring)
        self._send_request(connection)


def _make_request(plan: LoadPlan) -> bytes:
    body = msgspec.json.encode(
        {
            "model": plan.model,
            "messages": [{"role": "user", "content": "hello"}],
            "stream": plan.tokens > 0,
            "max_tokens": plan.tokens,
        }
    )
    return (
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: bench\r\n"
        b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
        % (len(body), body)
    )


def main() -> None:
    """Read a plan from standard input and print the result as JSON."""
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=LoadPlan)
    sys.stdout.buffer.write(msgspec.json.encode(LoadGenerator(plan).run()))


if __name__ == "__main__":
    main()

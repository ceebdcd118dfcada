"""Callers that send requests and record what they observe."""

from collections import abc
import http.client
import itertools
import random
import time
import typing

import eventlet
import msgspec
import urllib3

from bench import gateways as gateways_module

__all__ = ["Attempt", "Caller"]

# Deadline of each request in seconds, and the time beyond it after which
# a caller stops waiting for the answer.
_REQUEST_DEADLINE = 3.0
_ANSWER_GRACE = 4.0
_ADDRESSES_TTL = 2.0  # seconds between two reads of a directory
_MEAN_PAUSE = 0.08  # seconds between two requests
# One request in this many is abandoned by its caller at random within
# 0.1 s.
_REQUESTS_PER_ABANDONED = 15
_EVENT_COUNT = 6
_EXCHANGE_ERRORS = (OSError, http.client.HTTPException, ValueError)
# Relative frequency, method and target of requests; the target selects
# the route and the fault of the stand-in server.
_REQUESTS = (
    (6, "POST", "/stream/x"),
    (2, "POST", "/stream/slow/x"),
    (2, "POST", "/stream/reset3/x"),
    (1, "POST", "/once/x"),
    (1, "POST", "/once/reset2/x"),
    (1, "POST", "/stream/cut3/x"),
    (1, "POST", "/once/cut2/x"),
    (1, "POST", "/once/unframed/x"),
    (4, "GET", "/safe/x?a=%2f"),
    (1, "GET", "/safe/torn/x"),
    (1, "GET", "/safe/unframed/x"),
    (1, "GET", "/safe/mute/x"),
    (4, "POST", "/unsafe/x"),
    (1, "POST", "/unsafe/torn/x"),
    (1, "POST", "/unsafe/busy/x"),
    (1, "POST", "/unsafe/error/x"),
)
# Parts of prompts that crash the stand-in servers, and seconds between two
# requests with one of them.
_CRASHING_PARTS = ("bad0", "bad2")
_MEAN_CRASH_PAUSE = 0.5
_request_numbers = itertools.count(1)


class Attempt(msgspec.Struct, kw_only=True):
    """One request as its caller observed it.

    Times are of the monotonic clock, in seconds.

    Attributes:
        gateway: Gateway that it was sent to.
        process: The gateway's process at that time, as `NAME#NUMBER`.
        began: When the caller began to send it.
        written: When all of it had been written, so that the gateway could
            read it; 0 if it was not.
        ended: When the answer or the failure was complete.
        status: Status of the answer, 0 for none.
        complete: Whether the answer ended as it was framed.
        abandoned: Whether the caller closed its connection before the
            answer ended.
        seal: Signature of the server that answered.
        part: Part of the prompt that crashes servers; empty for none.
    """

    id: str
    method: str
    target: str
    body: bytes
    gateway: str
    process: str
    began: float
    written: float = 0.0
    ended: float = 0.0
    status: int = 0
    complete: bool = False
    abandoned: bool = False
    seal: str = ""
    answer: bytes = b""
    retry_after: str = ""
    part: str = ""
    failure: str = ""

    @property
    def kind(self) -> str:
        """Return the route's name."""
        return self.target.split("/")[1]


class Caller:
    """Sends requests one after the other, over persistent connections."""

    def __init__(self, seed: int, site: typing.Any) -> None:
        self._random = random.Random(seed)
        self._site = site
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._addresses: list[str] = []
        self._resolved_at = 0.0
        self.attempts: list[Attempt] = []
        self.stopped = False

    def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopped:
            self._resolve()
            if self._addresses:
                weights = [row[0] for row in _REQUESTS]
                chosen = self._random.choices(_REQUESTS, weights)[0]
                self.send(chosen[1], chosen[2])
            eventlet.sleep(self._random.uniform(0.0, 2 * _MEAN_PAUSE))

    def _resolve(self) -> None:
        """Refresh the addresses from a random gateway's directory.

        If the gateway does not answer, the old addresses stay in use.
        """
        if time.monotonic() - self._resolved_at < _ADDRESSES_TTL:
            return
        name = self._random.choice(list(self._site.directories))
        url = f"http://{self._site.directories[name]}/"
        try:
            with eventlet.Timeout(1.0):
                answer = self._site.http.request("GET", url, timeout=1.0)
            addresses = msgspec.json.decode(answer.data)["addresses"]
        except (
            *_EXCHANGE_ERRORS,
            urllib3.exceptions.HTTPError,
            eventlet.Timeout,
            KeyError,
        ):
            # The gateway is unreachable; the next request tries again,
            # perhaps at another.
            return
        self._resolved_at = time.monotonic()
        self._addresses = addresses

    def run_crashing(self) -> None:
        """Send requests that crash servers until stopped."""
        while not self.stopped:
            self._resolve()
            if self._addresses:
                part = self._random.choice(_CRASHING_PARTS)
                self.send("POST", "/stream/x", part=part)
            eventlet.sleep(self._random.uniform(0.0, 2 * _MEAN_CRASH_PAUSE))

    def send(
        self, method: str, target: str, address: str = "", part: str = ""
    ) -> Attempt:
        """Send one request and record its answer or failure."""
        address = address or self._random.choice(self._addresses)
        name = self._site.find_gateway(address)
        attempt = Attempt(
            id=f"r{next(_request_numbers)}",
            method=method,
            target=target,
            body=b"" if method == "GET" else b"order 7",
            gateway=name,
            process=self._site.processes[name],
            began=time.monotonic(),
            part=part,
        )
        self.attempts.append(attempt)
        is_abandoned = self._random.randrange(_REQUESTS_PER_ABANDONED) == 0
        timeout = (
            self._random.uniform(0.0, 0.1)
            if is_abandoned
            else (_REQUEST_DEADLINE + _ANSWER_GRACE)
        )
        try:
            with eventlet.Timeout(timeout):
                self._exchange(attempt, address)
        except _EXCHANGE_ERRORS as error:
            attempt.failure = f"{type(error).__name__}: {error}"
            self._close_connection(address)
        except eventlet.Timeout:
            attempt.abandoned = True
            self._close_connection(address)
        attempt.ended = time.monotonic()
        return attempt

    def _close_connection(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _connect(self, address: str) -> http.client.HTTPConnection:
        if address not in self._connections:
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(
                host, int(port), timeout=8.0
            )
            self._connections[address] = connection
        return self._connections[address]

    def _exchange(self, attempt: Attempt, address: str) -> None:
        connection = self._connect(address)
        headers = {
            "Host": gateways_module.HOST,
            "Authorization": f"Bearer {gateways_module.KEY}",
            "X-Attempt-Id": attempt.id,
            "X-Deadline-Ms": str(int(_REQUEST_DEADLINE * 1000)),
            "X-Model": "m",
            "X-Prompt-Prefix": _make_prompt(attempt),
        }
        body = attempt.body or None
        connection.request(attempt.method, attempt.target, body, headers)
        attempt.written = time.monotonic()
        response = connection.getresponse()
        attempt.status = response.status
        attempt.seal = response.headers.get("X-Server-Seal", "")
        attempt.retry_after = response.headers.get("Retry-After", "")
        parts = []
        try:
            for part in _read_parts(response):
                parts.append(part)
            attempt.complete = True
        finally:
            attempt.answer = b"".join(parts)
        if response.will_close:
            self._close_connection(address)


def _make_prompt(attempt: Attempt) -> str:
    """Return a prompt that shares its first part with all others."""
    middle = f"{attempt.part}:250," if attempt.part else ""
    return f"5c1e07a2:40,{middle}{attempt.id}:600"


def _read_parts(
    response: http.client.HTTPResponse,
) -> abc.Iterator[bytes]:
    """Yield the body in pieces as they arrive.

    Raises:
        http.client.IncompleteRead: The body ended before its length.
    """
    while True:
        part = response.read1(65_536)
        if not part:
            break
        yield part
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    # http.client reuses the connection only after a read to the end.
    response.read()

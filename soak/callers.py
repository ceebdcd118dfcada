"""Callers: they send requests and remember all that they see."""

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

_DEADLINE = 3.0
# Seconds beyond the deadline after which a caller stops listening.
_PATIENCE = 4.0
_TTL = 2.0
_PAUSE = 0.08
# One request in so many is left by its caller before the answer.
_LEAVES = 15
_EVENTS = 6
_FAILURES = (OSError, http.client.HTTPException, ValueError)
# Route, method and how the server misbehaves, with how often each comes.
_REQUESTS = (
    (6, "POST", "/stream/x"),
    (2, "POST", "/stream/slow/x"),
    (2, "POST", "/stream/reset3/x"),
    (1, "POST", "/once/x"),
    (1, "POST", "/once/reset2/x"),
    (4, "GET", "/safe/x?a=%2f"),
    (1, "GET", "/safe/torn/x"),
    (1, "GET", "/safe/unframed/x"),
    (1, "GET", "/safe/mute/x"),
    (4, "POST", "/unsafe/x"),
    (1, "POST", "/unsafe/torn/x"),
    (1, "POST", "/unsafe/busy/x"),
    (1, "POST", "/unsafe/error/x"),
)
_numbers = itertools.count(1)


class Attempt(msgspec.Struct, kw_only=True):
    """One request as its caller saw it.

    Attributes:
        process: Lifetime of the gateway that it went to.
        read: When the gateway can have read it whole at the latest.
        status: Status of the answer, 0 for none.
        whole: Whether the answer ended as it was framed.
        left: Whether the caller closed its connection first.
    """

    id: str
    method: str
    target: str
    body: bytes
    gateway: str
    process: str
    began: float
    read: float = 0.0
    ended: float = 0.0
    status: int = 0
    whole: bool = False
    left: bool = False
    seal: str = ""
    answer: bytes = b""
    retry_after: str = ""
    failure: str = ""

    @property
    def kind(self) -> str:
        """Return the route's name."""
        return self.target.split("/")[1]


class Caller:
    """Sends requests one after the other, over connections it keeps."""

    def __init__(self, seed: int, site: typing.Any) -> None:
        self._chance = random.Random(seed)
        self._site = site
        self._connections: dict[str, http.client.HTTPConnection] = {}
        self._addresses: list[str] = []
        self._asked = 0.0
        self.attempts: list[Attempt] = []
        self.stopped = False

    def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopped:
            self._resolve()
            if self._addresses:
                weights = [one[0] for one in _REQUESTS]
                chosen = self._chance.choices(_REQUESTS, weights)[0]
                self.send(chosen[1], chosen[2])
            eventlet.sleep(self._chance.uniform(0.0, 2 * _PAUSE))

    def _resolve(self) -> None:
        """Ask some gateway for the addresses; keep the old ones if none."""
        if time.monotonic() - self._asked < _TTL:
            return
        name = self._chance.choice(list(self._site.directories))
        url = f"http://{self._site.directories[name]}/"
        try:
            with eventlet.Timeout(1.0):
                answer = self._site.http.request("GET", url, timeout=1.0)
            given = msgspec.json.decode(answer.data)["addresses"]
        except (
            *_FAILURES,
            urllib3.exceptions.HTTPError,
            eventlet.Timeout,
            KeyError,
        ):
            # That gateway is away; the next one is asked soon.
            return
        self._asked = time.monotonic()
        self._addresses = given

    def send(self, method: str, target: str, address: str = "") -> Attempt:
        """Send one request and remember what comes of it."""
        address = address or self._chance.choice(self._addresses)
        name = self._site.find_gateway(address)
        attempt = Attempt(
            id=f"r{next(_numbers)}",
            method=method,
            target=target,
            body=b"" if method == "GET" else b"order 7",
            gateway=name,
            process=self._site.processes[name],
            began=time.monotonic(),
        )
        self.attempts.append(attempt)
        leaves = self._chance.randrange(_LEAVES) == 0
        patience = (
            self._chance.uniform(0.0, 0.1)
            if leaves
            else (_DEADLINE + _PATIENCE)
        )
        try:
            with eventlet.Timeout(patience):
                self._exchange(attempt, address)
        except _FAILURES as error:
            attempt.failure = f"{type(error).__name__}: {error}"
            self._drop(address)
        except eventlet.Timeout:
            attempt.left = True
            self._drop(address)
        attempt.ended = time.monotonic()
        return attempt

    def _drop(self, address: str) -> None:
        connection = self._connections.pop(address, None)
        if connection is not None:
            connection.close()

    def _connect(self, address: str) -> http.client.HTTPConnection:
        if address not in self._connections:
            host, _, port = address.rpartition(":")
            made = http.client.HTTPConnection(host, int(port), timeout=8.0)
            self._connections[address] = made
        return self._connections[address]

    def _exchange(self, attempt: Attempt, address: str) -> None:
        connection = self._connect(address)
        headers = {
            "Host": gateways_module.HOST,
            "Authorization": f"Bearer {gateways_module.KEY}",
            "X-Attempt-Id": attempt.id,
            "X-Deadline-Ms": str(int(_DEADLINE * 1000)),
            "X-Model": "m",
        }
        body = attempt.body or None
        connection.request(attempt.method, attempt.target, body, headers)
        attempt.read = time.monotonic()
        response = connection.getresponse()
        attempt.status = response.status
        attempt.seal = response.headers.get("X-Server-Seal", "")
        attempt.retry_after = response.headers.get("Retry-After", "")
        parts = []
        try:
            for part in _read_parts(response):
                parts.append(part)
            attempt.whole = True
        finally:
            attempt.answer = b"".join(parts)
        if response.will_close:
            self._drop(address)


def _read_parts(
    response: http.client.HTTPResponse,
) -> abc.Iterator[bytes]:
    """Yield the body as it comes; raises where it is cut off."""
    while True:
        part = response.read1(65_536)
        if not part:
            break
        yield part
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    # Only this tells the library that the connection is free again.
    response.read()

"""Callers that read slowly beside callers that read at once.

The slow ones take a few bytes a second from answers that are far larger
than any socket buffer. Measured are the memory of the gateway, the bytes
that wait in its sockets, and what each kind of caller receives.
"""

import collections
from collections import abc
import itertools
import pathlib
import selectors
import socket
import struct
import sys
import time
import typing

import msgspec

from bench import fleet as fleet_module
from bench import gateways
from bench import report

__all__ = [
    "MEMORY_MB",
    "UPSTREAMS",
    "Caller",
    "Report",
    "measure_readers",
    "run_readers",
    "start_site",
]

# Bytes of each event of the stand-in's large streams.
EVENT_BYTES = 1024
# Events of an answer to a caller that reads at once, and to a slow one.
FAST_EVENT_COUNT = 20
SLOW_EVENT_COUNT = 400
# Receive buffer of a slow caller in bytes, and bytes that it reads each
# second.
_SLOW_BUFFER_BYTES = 2048
_SLOW_READ_BYTES = 100
_READ_BYTES = 262_144
_TICK_SECONDS = 1.0
# Seconds that a caller that reads at once waits before it asks again.
_PAUSE_SECONDS = 0.5
# Connections that are opened in one tick.
_CONNECTS_PER_TICK = 100
UPSTREAMS = ("a1", "a2")
# Seconds in which slow callers read the rest of their answers at the end.
_REST_SECONDS = 20.0
_PAGE_BYTES = 4096
# Memory of the smallest node on the platform, in MB.
MEMORY_MB = 152
_GATEWAY = "g1"
_TIMEOUT_SECONDS = 60.0
_OK = b"HTTP/1.1 200"
_LAST_CHUNK = b"\r\n0\r\n\r\n"
# State of an established connection in /proc/net/tcp.
_ESTABLISHED = "01"


class Report(msgspec.Struct, kw_only=True):
    """What the callers received and what the gateway held meanwhile.

    Attributes:
        resident_before: Resident bytes of the gateway before any request.
        resident_peak: Most resident bytes.
        unsent_peak: Most bytes in the send buffers towards callers.
        unread_peak: Most bytes in the receive buffers from upstreams.
        upstream_peak: Most connections to upstreams with unread bytes.
        upstream_last: Their number at the end.
        fast_seconds: Durations of the answers to callers that read at once.
        fast_cut: Number of those answers that were incomplete.
        slow_whole: Number of slow callers that received a whole answer.
        slow_cut: Number of slow callers whose connection was closed.
        forged: Number of incomplete answers that look complete.
        refused: Number of answers with a status other than 200.
    """

    resident_before: int = 0
    resident_peak: int = 0
    unsent_peak: int = 0
    unread_peak: int = 0
    upstream_peak: int = 0
    upstream_last: int = 0
    fast_seconds: list[float] = []
    fast_cut: int = 0
    slow_whole: int = 0
    slow_cut: int = 0
    forged: int = 0
    refused: int = 0


class Caller:
    """One connection that asks for a large stream.

    Attributes:
        delay: Seconds between two reads; 0 for a caller that reads at once.
        events: Number of events in the answer.
        is_framed: Whether the answer has chunks. Otherwise it ends with
            its connection.
        received: Number of bytes received.
        read_size: Most bytes that it reads at once.
    """

    def __init__(
        self, address: str, number: int, delay: float, events: int
    ) -> None:
        self.events = events
        self.number = number
        self.delay = delay
        self.is_framed = delay == 0 or number % 2 == 0
        self.started = time.monotonic()
        self.received = 0
        self._head = b""
        self._tail = b""
        self._was_reset = False
        self.read_size = _SLOW_READ_BYTES if delay else _READ_BYTES
        self.socket = socket.socket()
        if delay:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, _SLOW_BUFFER_BYTES
            )
        host, _, port = address.partition(":")
        self.socket.connect((host, int(port)))
        self.socket.sendall(self._make_request())
        self.socket.setblocking(False)

    def _make_request(self) -> bytes:
        version = "1.1" if self.is_framed else "1.0"
        attempt = f"reader-{self.number}-{self.started}"
        return (
            f"GET /bulk{self.events}/x HTTP/{version}\r\n"
            f"Host: {gateways.HOST}\r\n"
            f"X-Attempt-Id: {attempt}\r\nConnection: close\r\n"
            f"Authorization: Bearer {gateways.KEY}\r\n\r\n"
        ).encode()

    def read(self) -> bool:
        """Read once; return whether the answer has ended."""
        try:
            data = self.socket.recv(self.read_size)
        except BlockingIOError:
            return False
        except OSError:
            self._was_reset = True
            return True
        if len(self._head) < len(_OK):
            self._head += data[: len(_OK)]
        self.received += len(data)
        self._tail = (self._tail + data)[-len(_LAST_CHUNK) :]
        if self.is_framed and self._tail == _LAST_CHUNK:
            return True
        return not data

    def read_rest(self, seconds: float) -> None:
        """Read at once until the answer ends.

        Raises:
            OSError: Nothing arrived for as many seconds.
        """
        self.read_size = _READ_BYTES
        self.socket.settimeout(seconds)
        while not self.read():
            continue

    @property
    def is_refused(self) -> bool:
        """Return whether the answer is not that of the upstream."""
        return bool(self._head) and self._head[: len(_OK)] != _OK

    @property
    def looks_whole(self) -> bool:
        """Return whether the answer is complete by its framing."""
        if self.is_framed:
            return self._tail == _LAST_CHUNK
        return not self._was_reset and self.received > 0

    @property
    def is_whole(self) -> bool:
        """Return whether all events were received."""
        return self.received >= EVENT_BYTES * self.events


def start_site(fleet: gateways.Gateways, memory_mb: float | None) -> None:
    """Start a store, a server and a gateway; return once they serve.

    Args:
        fleet: The processes to start.
        memory_mb: Memory of the gateway in MB; None to set no limit.
    """
    fleet.start_store()
    for name in UPSTREAMS:
        fleet.start_upstream(name, "app")
    for name in UPSTREAMS:
        fleet_module.wait_until(
            lambda name=name: fleet.is_answering(name, "/control/runs"),
            _TIMEOUT_SECONDS,
            name,
        )
    configuration = gateways.make_configuration(1)
    bulk = {
        "name": "bulk",
        "host": gateways.HOST,
        "pathPrefix": "/bulk",
        "timeoutMs": 60_000,
        "targetLatencyMs": 200,
        "kind": "streaming",
        "service": "app",
        "resumable": True,
        "maxAttempts": 2,
    }
    fleet.put_configuration(routes=[*configuration["routes"], bulk])
    if memory_mb is not None:
        fleet.limits["memoryMb"] = memory_mb
    fleet.start_gateway(_GATEWAY)
    fleet_module.wait_until(
        lambda: _is_serving(fleet), _TIMEOUT_SECONDS, _GATEWAY
    )


def _is_serving(fleet: gateways.Gateways) -> bool:
    """Return whether the gateway forwards requests to the server."""
    try:
        caller = Caller(fleet.fronts[_GATEWAY], 0, 0.0, FAST_EVENT_COUNT)
        caller.read_rest(_TIMEOUT_SECONDS)
        caller.socket.close()
    except OSError:
        return False
    return caller.is_whole


def run_readers(
    fleet: gateways.Gateways,
    slow: int,
    fast: int,
    seconds: float,
    events: int = SLOW_EVENT_COUNT,
) -> Report:
    """Run callers of both kinds for a while and return what they saw.

    Args:
        fleet: A site that `start_site` has started.
        slow: Number of callers that read 100 bytes a second.
        fast: Number of callers that read at once, and ask again.
        seconds: How long to run.
        events: Events of 1 KiB in the answer to a slow caller.
    """
    found = Report(resident_before=_read_resident(fleet))
    run = _Run(fleet, found, events)
    for number in range(fast):
        run.add(slow + number, 0.0)
    run.run(range(slow), seconds)
    return found


class _Run:
    """The callers of one measurement."""

    def __init__(
        self, fleet: gateways.Gateways, found: Report, events: int
    ) -> None:
        self._events = (FAST_EVENT_COUNT, events)
        self._fleet = fleet
        self._found = found
        self._selector = selectors.DefaultSelector()
        self._slow: list[Caller] = []
        self._paused: collections.deque[tuple[float, Caller]] = (
            collections.deque()
        )
        self._address = fleet.fronts[_GATEWAY]

    def add(self, number: int, delay: float) -> None:
        """Start a caller."""
        caller = Caller(self._address, number, delay, self._events[delay > 0])
        if delay:
            self._slow.append(caller)
        else:
            self._selector.register(
                caller.socket, selectors.EVENT_READ, caller
            )

    def run(self, slow: abc.Iterable[int], seconds: float) -> None:
        """Serve all callers until the time is up.

        Args:
            slow: Numbers of slow callers that connect meanwhile.
            seconds: How long to run.
        """
        connecting = iter(slow)
        end = time.monotonic() + seconds
        next_tick = time.monotonic()
        while time.monotonic() < end:
            for key, _ in self._selector.select(0.05):
                self._serve_fast(key.data)
            self._resume_fast()
            if time.monotonic() >= next_tick:
                next_tick += _TICK_SECONDS
                for number in itertools.islice(connecting, _CONNECTS_PER_TICK):
                    self.add(number, _TICK_SECONDS)
                self._serve_slow()
                self._sample()
        self._finish_fast()
        self._sample()
        for key in list(self._selector.get_map().values()):
            key.data.socket.close()
        self._selector.close()
        self._read_rest()

    def _finish_fast(self) -> None:
        """Serve the callers that read at once until they have answers.

        What an upstream sends them is unread for a moment.
        """
        end = time.monotonic() + _REST_SECONDS
        while self._selector.get_map() and time.monotonic() < end:
            for key, _ in self._selector.select(0.05):
                self._serve_fast(key.data)

    def _read_rest(self) -> None:
        """Let the slow callers read at once, so that their answers end."""
        end = time.monotonic() + _REST_SECONDS
        while self._slow and time.monotonic() < end:
            for caller in self._slow:
                caller.read_size = _READ_BYTES
            self._serve_slow()
            time.sleep(0.01)
        for caller in self._slow:
            caller.socket.close()

    def _serve_fast(self, caller: Caller) -> None:
        if not caller.read():
            return
        self._selector.unregister(caller.socket)
        caller.socket.close()
        took = time.monotonic() - caller.started
        self._found.fast_seconds.append(took)
        if caller.is_refused:
            self._found.refused += 1
        elif not (caller.looks_whole and caller.is_whole):
            self._found.fast_cut += 1
        self._paused.append((time.monotonic() + _PAUSE_SECONDS, caller))

    def _resume_fast(self) -> None:
        """Have callers ask again whose pause has ended."""
        while self._paused and self._paused[0][0] <= time.monotonic():
            _, caller = self._paused.popleft()
            self.add(caller.number, 0.0)

    def _serve_slow(self) -> None:
        for caller in list(self._slow):
            if not caller.read():
                continue
            self._slow.remove(caller)
            caller.socket.close()
            if caller.is_refused:
                self._found.refused += 1
            elif caller.is_whole:
                self._found.slow_whole += 1
            else:
                self._found.slow_cut += 1
                self._found.forged += caller.looks_whole

    def _sample(self) -> None:
        found = self._found
        unsent, unread, waiting = _read_queues(self._fleet)
        found.unsent_peak = max(found.unsent_peak, unsent)
        found.unread_peak = max(found.unread_peak, unread)
        found.upstream_peak = max(found.upstream_peak, waiting)
        found.upstream_last = waiting
        found.resident_peak = max(
            found.resident_peak, _read_resident(self._fleet)
        )


def _read_resident(fleet: gateways.Gateways) -> int:
    """Return the resident bytes of the gateway process."""
    pid = fleet.get_pid(_GATEWAY)
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


def _read_queues(fleet: gateways.Gateways) -> tuple[int, int, int]:
    """Return what waits in the gateway's sockets.

    Returns:
        Bytes to callers that were not acknowledged, bytes from upstreams
        that were not read, and the number of connections with the latter.
    """
    front = _format_address(fleet.fronts[_GATEWAY])
    upstreams = {_format_address(fleet.addresses[name]) for name in UPSTREAMS}
    unsent = unread = waiting = 0
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
    for line in lines[1:]:
        _, local, remote, state, queues, *_ = line.split()
        sending, _, receiving = queues.partition(":")
        if local == front and state != "0A":
            unsent += int(sending, 16)
        if remote in upstreams and int(receiving, 16):
            unread += int(receiving, 16)
            waiting += state == _ESTABLISHED
    return unsent, unread, waiting


def _format_address(address: str) -> str:
    """Return an address in the form of /proc/net/tcp."""
    host, _, port = address.partition(":")
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{int(port):04X}"


@report.register("readers")
def measure_readers() -> None:
    """Measure 500 slow callers beside 50, without and with a limit."""
    for memory_mb in (None, MEMORY_MB):
        with gateways.Gateways() as fleet:
            start_site(fleet, memory_mb)
            found = run_readers(fleet, 500, 50, 40.0)
            emit_report(memory_mb, found)


def emit_report(memory_mb: float | None, found: Report) -> None:
    """Print the figures of a report."""
    bench = f"readers {memory_mb or 'unbounded'}"
    seconds = sorted(found.fast_seconds)
    values: dict[str, typing.Any] = msgspec.structs.asdict(found)
    values["fast_seconds"] = len(seconds)
    for name, value in values.items():
        report.emit(bench, name, float(value), "")
    for share in (0.5, 0.99, 1.0) if seconds else ():
        rank = min(len(seconds) - 1, int(share * len(seconds)))
        report.emit(bench, f"fast p{share * 100:g}", seconds[rank], "s")
    sys.stdout.flush()

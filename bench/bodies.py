"""Callers that post large bodies, beside usual reads.

Three gateways with bounded memory. Callers post at all of them in turn, with
a length or in chunks, and post again as soon as they have an answer; others
read a few bytes, each on a connection of its own.
"""

import collections
from collections import abc
import concurrent.futures
import http.client
import itertools
import pathlib
import threading
import time

import msgspec

from bench import fleet as fleet_module
from bench import gateways
from bench import report

__all__ = ["UPSTREAMS", "Report", "Site", "measure_bodies"]

_NODES = ("g1", "g2", "g3")
UPSTREAMS = ("a1", "a2", "a3")
_MEMORY_MB = 222
_BODY = b"x" * 4_000_000
_PIECE_BYTES = 65_536
_MAX_BODY_BYTES = 4_194_304
# Part of its memory that no process may exceed.
_USABLE_SHARE = 0.8
_CALLERS = (0, 12, 40, 200)
_SECONDS = 15.0
# Seconds in which a read counts as in time, and between two reads at a
# gateway.
_TARGET = 0.2
_READ_INTERVAL = 0.1
_POST_TIMEOUT_MS = 8000
_SAMPLE_INTERVAL = 0.01
_REPORT_PATH = "/currantwall/report"
_TIMEOUT = 60.0


class Report(msgspec.Struct, kw_only=True):
    """What the callers got and what the gateways took.

    Attributes:
        peak: Most memory of a gateway in MB.
        posts: Number of posts by their status; 0 if they got none.
        reads: Number of reads.
        in_time: Number of reads that were answered in time.
        ended: Number of gateways whose process has ended.
    """

    peak: float = 0.0
    posts: collections.Counter[int] = msgspec.field(
        default_factory=collections.Counter
    )
    reads: int = 0
    in_time: int = 0
    ended: int = 0


class Site(gateways.Gateways):
    """Gateways in front of servers that discard what they are sent.

    Attributes:
        nodes: Names of the gateways.
    """

    def __init__(self, nodes: tuple[str, ...] = _NODES) -> None:
        super().__init__()
        self.nodes = nodes
        self.limits = {"memoryMb": _MEMORY_MB}
        self._numbers = itertools.count(1)

    def start(self) -> None:
        """Start all processes; return once they serve."""
        self.start_store()
        for name in UPSTREAMS:
            self.start_upstream(name, "app")
        configuration = gateways.make_configuration(1)
        for route in configuration["routes"]:
            if route["name"] == "unsafe":
                route["timeoutMs"] = _POST_TIMEOUT_MS
        limits = {"maxBodyBytes": _MAX_BODY_BYTES, "maxHeaderBytes": 4096}
        self.put_configuration(routes=configuration["routes"], limits=limits)
        for name in self.nodes:
            self.start_gateway(name)
        for name in UPSTREAMS:
            fleet_module.wait_until(
                lambda name=name: self.is_answering(name, _REPORT_PATH),
                _TIMEOUT,
                name,
            )
        for name in self.nodes:
            fleet_module.wait_until(
                lambda name=name: self.send(name, "GET", "/safe/x") == 200,
                _TIMEOUT,
                name,
            )

    def send(
        self, node: str, method: str, target: str, body: bytes = b""
    ) -> int:
        """Send a request; return the status of its answer, 0 if none."""
        number = next(self._numbers)
        host, _, port = self.fronts[node].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": f"body-{number}",
            "X-Deadline-Ms": str(_POST_TIMEOUT_MS),
            "Authorization": f"Bearer {gateways.KEY}",
        }
        if body and number % 4:
            headers["Content-Length"] = str(len(body))
        try:
            connection.request(
                method,
                target,
                _split(body) if body else None,
                headers,
                encode_chunked="Content-Length" not in headers,
            )
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def get_memory(self, node: str) -> float:
        """Return the memory that a gateway takes in MB, 0 if it ended."""
        path = pathlib.Path(f"/proc/{self.get_pid(node)}/status")
        for line in path.read_text(encoding="ascii").splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0

    def run(self, callers: int, seconds: float, body: bytes = _BODY) -> Report:
        """Run callers that post for a while, beside usual reads."""
        found = Report()
        is_over = threading.Event()
        count = callers + len(self.nodes) + 1
        with concurrent.futures.ThreadPoolExecutor(count) as pool:
            tasks = [pool.submit(self._watch, is_over, found)]
            for node in self.nodes:
                tasks.append(pool.submit(self._read, is_over, node, found))
            places = itertools.islice(itertools.cycle(self.nodes), callers)
            for node in places:
                tasks.append(
                    pool.submit(self._post, is_over, node, body, found)
                )
            time.sleep(seconds)
            is_over.set()
            for task in tasks:
                task.result()
        found.ended = sum(not self.is_running(node) for node in self.nodes)
        return found

    def _watch(self, is_over: threading.Event, found: Report) -> None:
        while not is_over.wait(_SAMPLE_INTERVAL):
            used = max(map(self.get_memory, self.nodes))
            found.peak = max(found.peak, used)

    def _read(
        self, is_over: threading.Event, node: str, found: Report
    ) -> None:
        while not is_over.wait(_READ_INTERVAL):
            began = time.monotonic()
            status = self.send(node, "GET", "/safe/x")
            found.reads += 1
            took = time.monotonic() - began
            found.in_time += status == 200 and took <= _TARGET

    def _post(
        self, is_over: threading.Event, node: str, body: bytes, found: Report
    ) -> None:
        while not is_over.is_set():
            status = self.send(node, "POST", "/unsafe/discard/x", body)
            found.posts[status] += 1


def _split(body: bytes) -> abc.Iterator[bytes]:
    for start in range(0, len(body), _PIECE_BYTES):
        yield body[start : start + _PIECE_BYTES]


@report.register("bodies")
def measure_bodies() -> None:
    """Measure numbers of callers that post 4 MB each."""
    for callers in _CALLERS:
        with Site() as site:
            site.start()
            found = site.run(callers, _SECONDS)
        label = f"bodies of 4 MB, {callers} callers"
        limit = _MEMORY_MB * _USABLE_SHARE
        report.emit(label, "largest process", found.peak, "MB", limit)
        report.emit(label, "gateways that ended", found.ended, "")
        share = found.in_time / max(found.reads, 1)
        report.emit(label, "reads in time", share, "")
        for status, count in sorted(found.posts.items()):
            report.emit(label, f"posts that got {status}", count, "")

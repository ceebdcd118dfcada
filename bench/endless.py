"""What a server that sends without end costs others, for each shape.

Three gateways with bounded memory; one of two plain servers answers some
requests without end, beside usual traffic to it, the other one and engines.
"""

import concurrent.futures
import http.client
import itertools
import pathlib
import threading
import time

import msgspec
import urllib3

from bench import gateways
from bench import report
from bench import silence
from standins import endless

__all__ = ["measure_endless"]

_NODES = ("g1", "g2", "g3")
_SOURCE = "a1"
_MEMORY_MB = 222
# Requests that are answered without end, at all gateways in turn.
_COUNT = 12
_DEADLINE = 4.0  # seconds, the timeout of the route
_POLL_INTERVAL = 0.005  # seconds


class _Site(silence.Site):
    """A site whose processes and flows can be looked at."""

    def __init__(self) -> None:
        super().__init__()
        self.limits = {"memoryMb": _MEMORY_MB}

    def get_peak_memory(self) -> float:
        """Return the most memory that a gateway has taken, in MB."""
        peaks = []
        for node in _NODES:
            status = pathlib.Path(f"/proc/{self._processes[node].pid}/status")
            for line in status.read_text(encoding="ascii").splitlines():
                if line.startswith("VmHWM:"):
                    peaks.append(int(line.split()[1]) * 1024 / 1e6)
        return max(peaks)

    def count_flows(self) -> int:
        """Return the answers without end that are being sent."""
        reply = self.request("GET", _SOURCE, "/control/endless")
        return msgspec.json.decode(reply.data)

    def send_endless(self, shape: str) -> float:
        """Send the requests; return the seconds until the last flow ends."""
        target = f"/safe/endless-{_SOURCE}-{shape}/x"
        places = itertools.islice(itertools.cycle(_NODES), _COUNT)
        began = time.monotonic()
        with concurrent.futures.ThreadPoolExecutor(_COUNT) as pool:
            list(pool.map(lambda node: self._send(node, target), places))
        while self.count_flows() and time.monotonic() - began < 20.0:
            time.sleep(_POLL_INTERVAL)
        return time.monotonic() - began

    def _send(self, node: str, target: str) -> None:
        host, _, port = self.fronts[node].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": f"endless-{time.monotonic_ns()}",
            "Authorization": f"Bearer {gateways.KEY}",
        }
        try:
            connection.request("GET", target, headers=headers)
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            # What these callers get is not measured here.
            return
        finally:
            connection.close()

    def watch(self, is_over: threading.Event) -> float:
        """Return the longest time that a gateway took to say it is ready."""
        pool = urllib3.PoolManager(retries=False)
        longest = 0.0
        while not is_over.is_set():
            for node in _NODES:
                began = time.monotonic()
                pool.request("GET", f"http://{self.readies[node]}/")
                longest = max(longest, time.monotonic() - began)
            time.sleep(_POLL_INTERVAL)
        return longest


def _measure(site: _Site, shape: str | None) -> None:
    """Measure one shape; None for usual traffic alone."""
    closed_after = 0.0
    is_over = threading.Event()

    def disturb() -> None:
        nonlocal closed_after
        if shape is not None:
            closed_after = site.send_endless(shape)

    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        watching = pool.submit(site.watch, is_over)
        try:
            outcomes = site.observe(disturb)
        finally:
            is_over.set()
    served = sum(
        one.status == 200
        and not one.is_broken
        and one.ended - one.began <= _DEADLINE
        for one in outcomes
    )
    label = f"without end, {shape or 'none'}"
    report.emit(label, "others served in time", served / len(outcomes), "")
    report.emit(label, "longest answer of a check", watching.result(), "s")
    report.emit(label, "last flow closed after", closed_after, "s")
    report.emit(label, "largest process", site.get_peak_memory(), "MB")


@report.register("endless")
def measure_endless() -> None:
    """Measure each shape of an answer without end beside usual traffic."""
    with _Site() as site:
        site.start()
        for shape in (None, *_list_shapes()):
            _measure(site, shape)


def _list_shapes() -> list[str]:
    shapes = endless.make_shapes()
    return [name for name, shape in shapes.items() if shape.unit]

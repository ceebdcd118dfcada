"""What a whole answer costs that only the end of its connection ends.

The gateway asks the server whether it still lives before it passes such an
answer on.
"""

import contextlib
import http.client
import statistics
import time

from bench import fleet as fleet_module
from bench import gateways
from bench import report

__all__ = ["measure_framing"]

_TARGETS = {"with a length": "/safe/x", "unframed": "/safe/unframed/x"}
_SERVERS = ("a1", "a2")
_REQUESTS = 300  # of each kind
_READY_TIMEOUT = 60.0  # seconds


def _send(connection: http.client.HTTPConnection, target: str) -> int:
    """Send a request, read its answer and return the status."""
    headers = {
        "Host": gateways.HOST,
        "X-Attempt-Id": f"framing-{time.monotonic_ns()}",
        "X-Deadline-Ms": "3000",
        "Authorization": f"Bearer {gateways.KEY}",
    }
    connection.request("GET", target, headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


def _is_served(address: str) -> bool:
    host, _, port = address.partition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    try:
        with contextlib.closing(connection):
            return _send(connection, "/safe/x") == http.HTTPStatus.OK
    except OSError:
        return False


@report.register("framing")
def measure_framing() -> None:
    """Measure the time of answers with and without a length."""
    with contextlib.ExitStack() as stack:
        site = gateways.Gateways()
        stack.callback(site.stop)
        site.start_store()
        for name in _SERVERS:
            site.start_upstream(name, "app")
        site.put_configuration()
        site.start_gateway("g1")
        front = site.fronts["g1"]
        fleet_module.wait_until(
            lambda: _is_served(front), _READY_TIMEOUT, "gateway"
        )
        host, _, port = front.partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        times: dict[str, list[float]] = {label: [] for label in _TARGETS}
        with contextlib.closing(connection):
            for _ in range(_REQUESTS):
                for label, target in _TARGETS.items():
                    began = time.monotonic()
                    status = _send(connection, target)
                    if status == http.HTTPStatus.OK:
                        times[label].append(time.monotonic() - began)
        for label, taken in times.items():
            cuts = statistics.quantiles(taken, n=100)
            name = f"framing: {label}"
            report.emit(name, "answers", len(taken), "")
            report.emit(name, "p50", cuts[49] * 1e3, "ms")
            report.emit(name, "p99", cuts[98] * 1e3, "ms")

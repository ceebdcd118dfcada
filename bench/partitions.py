"""Cost of requests that a gateway sends by way of a peer.

The same requests are sent to one of two gateways, first with a path to the
servers and then without one. Only the ratios can be compared between
machines.
"""

import http.client
import itertools
import statistics
import sys
import time

from bench import fleet as fleet_module
from bench import gateways
from bench import relay
from bench import report

__all__ = ["measure_partitions"]

_ENGINES = ("e1", "e2")
_APPS = ("a1", "a2")
_GATEWAYS = ("g1", "g2")
_READY_TIMEOUT = 60.0  # seconds
_REQUESTS = 300
# Kinds of request, by the prefix of their route.
_KINDS = ("safe", "unsafe", "stream")
_attempt_numbers = itertools.count(1)


class _Site(gateways.Gateways):
    """Two gateways that can be partitioned from all servers."""

    def make_command(self, name: str) -> list[str]:
        return self.wrap_command(name, str(gateways.PROGRAM))

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.start_store()
        for name in _ENGINES:
            self.start_upstream(name, "pool", "d0", "m")
        for name in _APPS:
            self.start_upstream(name, "app")
        self.put_configuration()
        for name in _GATEWAYS:
            self.start_gateway(name)
        fleet_module.wait_until(
            lambda: all(self.send(kind) is not None for kind in _KINDS),
            _READY_TIMEOUT,
            "replicas",
        )

    def send(self, kind: str) -> float | None:
        """Send a request to the first gateway.

        Returns:
            Seconds to the end of its answer; None if it was not served.
        """
        host, _, port = self.fronts[_GATEWAYS[0]].partition(":")
        started = time.monotonic()
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": f"attempt-{next(_attempt_numbers)}",
            "X-Model": "m",
            "Authorization": f"Bearer {gateways.KEY}",
        }
        try:
            connection.request("POST", f"/{kind}/x", b"1", headers)
            response = connection.getresponse()
            response.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        if response.status != 200:
            return None
        return time.monotonic() - started

    def cut(self) -> None:
        """Partition the first gateway; return once it knows."""
        servers = [self.addresses[name] for name in (*_ENGINES, *_APPS)]
        self.partition(_GATEWAYS[0], servers, "refuse")
        # Needs a new connection, so that the lost path shows.
        self.send("unsafe")


def _measure(site: _Site, way: str) -> None:
    """Print times, processor time and failures of all kinds of request."""
    for kind in _KINDS:
        before = [relay.read_cpu(site.get_pid(name)) for name in _GATEWAYS]
        found = [site.send(kind) for _ in range(_REQUESTS)]
        after = [relay.read_cpu(site.get_pid(name)) for name in _GATEWAYS]
        served = [seconds for seconds in found if seconds is not None]
        cost = (sum(after) - sum(before)) / _REQUESTS
        bench = f"partitions {way} {kind}"
        report.emit(bench, "not served", _REQUESTS - len(served), "")
        report.emit(bench, "processor time", cost * 1000, "ms")
        if served:
            cuts = statistics.quantiles(served, n=100)
            report.emit(bench, "p50", cuts[49] * 1000, "ms")
            report.emit(bench, "p99", cuts[98] * 1000, "ms")
    sys.stdout.flush()


@report.register("partitions")
def measure_partitions() -> None:
    """Measure requests to upstreams and those by way of a peer."""
    with _Site() as site:
        site.start()
        _measure(site, "direct")
        site.cut()
        _measure(site, "forwarded")

"""Entries of servers that are gone, beside servers that are idle.

Plays requests to three or more gateways while dead entries stand, and again
after all gateways were started anew at once.
"""

from collections import abc
import concurrent.futures
import http.client
import itertools
import socket
import time

import msgspec

from bench import fleet as fleet_module
from bench import gateways
from bench import report

__all__ = ["Outcome", "Site"]

_TIMEOUT = 60.0
_CALLERS = 9
_INTERVAL = 0.02
_REPORT_PATH = "/currantwall/report"
_TRIED = "currantwall_instances_tried_total"
# Where nothing listens.
_FIRST_DEAD_PORT = 33_000
_SERVERS = 6
_COUNTS = (0, 10, 100, 1000)
_NODE_COUNTS = (1, 3, 12)


class Outcome(msgspec.Struct, frozen=True):
    """What callers got.

    Attributes:
        served: Share of the requests that were answered with 200.
        p50: Median time of an answer in seconds, of all statuses.
        p99: The 99th percentile.
        count: Number of requests.
    """

    served: float
    p50: float
    p99: float
    count: int


class Site(gateways.Gateways):
    """Gateways, idle servers of a plain service and dead entries."""

    def __init__(self, nodes: abc.Sequence[str]) -> None:
        super().__init__()
        self.nodes = tuple(nodes)
        self.bounds = {"budgetSlack": 0}
        self._numbers = itertools.count(1)
        self._sockets: list[socket.socket] = []

    def stop(self) -> None:
        """End all processes and the servers that are silent."""
        while self._sockets:
            self._sockets.pop().close()
        super().stop()

    def start(self, servers: int) -> None:
        """Start all processes; return once they serve."""
        self.start_store()
        self.put_configuration()
        names = [f"s{number}" for number in range(servers)]
        for name in names:
            self.start_upstream(name, "app")
        for name in self.nodes:
            self.start_gateway(name)
        for name in names:
            self._await_server(name)
        self._await_ready()
        # The list is complete once no new instance came for a while.
        time.sleep(1.0)

    def _await_ready(self) -> None:
        for name in self.nodes:
            fleet_module.wait_until(
                lambda name=name: self.is_ready(name), _TIMEOUT, name
            )

    def _await_server(self, name: str) -> None:
        fleet_module.wait_until(
            lambda: self.is_answering(name, _REPORT_PATH), _TIMEOUT, name
        )

    def restart_gateways(self) -> None:
        """Kill all gateways, and start them anew."""
        for name in self.nodes:
            self.kill(name)
        for name in self.nodes:
            self.start_gateway(name)
        self._await_ready()

    # -- Entries

    def add_dead(self, count: int) -> None:
        """Add entries of servers whose ports refuse connections."""
        for number in range(count):
            port = _FIRST_DEAD_PORT + number
            self._put_entry(f"dead-{number}", f"{self.ip}:{port}")

    def add_silent(self, count: int) -> None:
        """Add entries of servers that don't answer the opening."""
        for number in range(count):
            port = fleet_module.pick_port(self.ip)
            listener = socket.socket()
            self._sockets.append(listener)
            listener.bind((self.ip, port))
            listener.listen(0)
            # Fill the queue of connections that nobody accepts.
            for _ in range(3):
                client = socket.socket()
                self._sockets.append(client)
                client.setblocking(False)
                client.connect_ex((self.ip, port))
            self._put_entry(f"silent-{number}", f"{self.ip}:{port}")

    def _put_entry(self, name: str, address: str) -> None:
        entry = {"service": "app", "address": address, "zone": "a"}
        entry |= {"state": "ready", "slots": 4, "born": 1}
        self.put_object("servers", name, entry)

    # -- Measurements

    def measure(self, seconds: float) -> Outcome:
        """Send requests for some seconds."""
        until = time.monotonic() + seconds

        def call(index: int) -> list[tuple[int, float]]:
            found = []
            while time.monotonic() < until:
                found.append(self._send(self.nodes[index % len(self.nodes)]))
                time.sleep(_INTERVAL)
            return found

        with concurrent.futures.ThreadPoolExecutor(_CALLERS) as pool:
            parts = list(pool.map(call, range(_CALLERS)))
        results = list(itertools.chain.from_iterable(parts))
        times = sorted(took for _, took in results)
        served = sum(status == 200 for status, _ in results)
        return Outcome(
            served / len(results),
            times[len(times) // 2],
            times[int(len(times) * 0.99)],
            len(results),
        )

    def _send(self, node: str) -> tuple[int, float]:
        host, _, port = self.fronts[node].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": f"dead-{next(self._numbers)}",
            "Authorization": f"Bearer {gateways.KEY}",
        }
        began = time.monotonic()
        try:
            connection.request("GET", "/safe/x", headers=headers)
            answer = connection.getresponse()
            answer.read()
            status = answer.status
        except (OSError, http.client.HTTPException):
            status = 0
        finally:
            connection.close()
        return status, time.monotonic() - began

    def await_first_request(self, name: str) -> float:
        """Return the seconds from a server's start to its first request."""
        self._await_server(name)

        def has_run() -> bool:
            for node in self.nodes:
                self._send(node)
            return bool(self.list_runs(name))

        return fleet_module.wait_until(has_run, 20.0, name)

    def count_tries(self) -> float:
        """Return the connections to suspects that the nodes have tried."""
        total = 0.0
        for node in self.nodes:
            ip = self.fronts[node].partition(":")[0]
            url = f"http://{ip}:{fleet_module.METRICS_PORT}/metrics"
            text = self.http.request("GET", url).data.decode()
            for line in text.splitlines():
                if line.startswith(_TRIED):
                    total += float(line.split()[-1])
        return total


def _measure(nodes: int, dead: int) -> None:
    label = f"dead entries, {dead} beside {_SERVERS}, {nodes} gateways"
    names = [f"g{number}" for number in range(nodes)]
    with Site(names) as site:
        site.start(_SERVERS)
        site.add_dead(dead)
        outcomes = {"standing": site.measure(6.0)}
        site.restart_gateways()
        outcomes["restarted, first 2 s"] = site.measure(2.0)
        outcomes["restarted, then"] = site.measure(4.0)
        before = site.count_tries()
        time.sleep(4.0)
        tries = (site.count_tries() - before) / 4.0
        for name, outcome in outcomes.items():
            report.emit(label, f"served, {name}", outcome.served, "")
            report.emit(label, f"p50, {name}", outcome.p50, "s")
            report.emit(label, f"p99, {name}", outcome.p99, "s")
        report.emit(label, "connections to the dead", tries, "1/s")
        site.start_upstream("new", "app")
        first = site.await_first_request("new")
        report.emit(label, "first request of a new server", first, "s")


@report.register("dead-entries")
def measure_dead_entries() -> None:
    """Measure what callers get beside entries that outlive their servers."""
    for nodes in _NODE_COUNTS:
        for dead in _COUNTS:
            _measure(nodes, dead)

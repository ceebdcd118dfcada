"""What callers see while sound servers are silent, and after that.

Servers are stopped and continued by signals while callers read streams over
kept connections. Then one server is killed, and one goes dark: it is stopped,
and new connections to it hang.
"""

from collections import abc
import concurrent.futures
import contextlib
import datetime
import http.client
import itertools
import signal
import statistics
import threading
import time

import msgspec

from bench import fleet as fleet_module
from bench import gateways
from bench import report

__all__ = ["DOMAINS", "SERVERS", "Outcome", "Site", "measure_silence"]

DOMAINS = {
    "d0": ("e1", "e2", "e3", "e4"),
    "d1": ("e5", "e6", "e7", "e8"),
}
_ENGINES = tuple(itertools.chain(*DOMAINS.values()))
_APPS = ("a1", "a2")
SERVERS = (*_ENGINES, *_APPS)
_NODES = ("g1", "g2", "g3")
_READY_TIMEOUT = 60.0  # seconds
# Requests of each caller, in turn.
_TARGETS = ("/stream/long/x", "/stream/long/x", "/once/long/x", "/safe/x")
_EVENTS = b"123456"
_DEADLINE_MS = 8000
# Seconds before a silence, its length, and the time after it.
_BEFORE = 1.5
_SILENCE = 1.3
_AFTER = 4.0
_RETRY_DELAY = 0.1  # seconds
# Leaders that are ended in each way, one after the other.
_DEATHS = 6
_LOSS_TIMEOUT = 20.0  # seconds
_DARK = "hang"
_attempt_numbers = itertools.count(1)


class Outcome(msgspec.Struct):
    """One request as its caller saw it.

    Times are of the monotonic clock, in seconds.

    Attributes:
        events: Numbers of the events that arrived, as digits.
        pause: Longest time without a byte.
        failure: How the connection failed; empty if it did not.
    """

    attempt: str
    target: str
    began: float
    ended: float = 0.0
    status: int = 0
    events: bytes = b""
    pause: float = 0.0
    failure: str = ""

    @property
    def is_broken(self) -> bool:
        """Return whether the answer is missing or incomplete."""
        if self.failure or not self.status:
            return True
        is_stream = not self.target.startswith("/safe/")
        is_served = self.status == http.HTTPStatus.OK
        return is_stream and is_served and self.events != _EVENTS


class Site(gateways.Gateways):
    """Gateways, engines, plain servers and callers.

    Attributes:
        domains: The engines of each domain.
    """

    def __init__(
        self, domains: abc.Mapping[str, tuple[str, ...]] = DOMAINS
    ) -> None:
        super().__init__()
        self.domains = domains
        self._engines = tuple(itertools.chain(*domains.values()))
        self._dead: set[str] = set()

    def make_command(self, name: str) -> list[str]:
        """Return the command of a gateway that can be partitioned."""
        return self.wrap_command(name, str(gateways.PROGRAM))

    def start(self) -> None:
        """Start everything and wait until each gateway serves."""
        self.start_store()
        for domain, engines in self.domains.items():
            for name in engines:
                self.start_upstream(name, "pool", domain, "m")
        for name in _APPS:
            self.start_upstream(name, "app")
        self.put_configuration()
        for name in _NODES:
            self.start_gateway(name)
        for name in _NODES:
            fleet_module.wait_until(
                lambda name=name: self.is_serving(name),
                _READY_TIMEOUT,
                f"replicas at {name}",
            )

    def is_serving(self, node: str) -> bool:
        """Return whether all replicas serve and a gateway uses them."""
        outcome = next(self._send_all(node, 1))
        return outcome.status == http.HTTPStatus.OK and (
            len(self.list_leaders()) == len(self._engines) // 2
        )

    def list_groups(self) -> dict[str, tuple[str, str]]:
        """Return the replica of each engine in one, and its state."""
        groups = {}
        for name in self._engines:
            if name in self._dead:
                continue
            reply = self.request("GET", name, "/currantwall/report")
            group = msgspec.json.decode(reply.data)["group"]
            if group:
                groups[name] = (group["name"], group["state"])
        return groups

    def list_leaders(self) -> list[str]:
        """Return the engines that lead a replica which serves."""
        found = self.list_groups().items()
        return [name for name, (_, state) in found if state == "open"]

    def _send_all(
        self, node: str, count: int | None, first: int = 0
    ) -> abc.Iterator[Outcome]:
        """Send requests one after the other over a kept connection."""
        host, _, port = self.fronts[node].partition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        with contextlib.closing(connection):
            for number in itertools.islice(itertools.count(first), count):
                target = _TARGETS[number % len(_TARGETS)]
                yield _send(connection, target)

    def observe(
        self,
        disturb: abc.Callable[[], None],
        callers: int = 3,
    ) -> list[Outcome]:
        """Return what callers of all gateways see around a disturbance.

        Args:
            disturb: Called while they read streams; returns after it.
            callers: Callers of each gateway.
        """
        is_over = threading.Event()

        def call(node: str, first: int) -> list[Outcome]:
            outcomes = []
            for outcome in self._send_all(node, None, first):
                outcomes.append(outcome)
                if is_over.is_set():
                    break
                if outcome.status != http.HTTPStatus.OK:
                    time.sleep(_RETRY_DELAY)
            return outcomes

        places = list(itertools.product(_NODES, range(callers)))
        with concurrent.futures.ThreadPoolExecutor(len(places)) as pool:
            running = [pool.submit(call, *place) for place in places]
            try:
                time.sleep(_BEFORE)
                disturb()
                time.sleep(_AFTER)
            finally:
                is_over.set()
            return [one for made in running for one in made.result()]

    def silence(
        self, names: abc.Iterable[str], seconds: float = _SILENCE
    ) -> None:
        """Stop processes and have them go on after some seconds."""
        names = tuple(names)
        for name in names:
            self.send_signal(name, signal.SIGSTOP)
        time.sleep(seconds)
        for name in names:
            self.send_signal(name, signal.SIGCONT)

    def kill(self, name: str) -> None:
        """Kill a server, and wait until it has ended."""
        self._dead.add(name)
        super().kill(name)

    def darken(self, name: str) -> None:
        """Have a server answer no packet any more, as without power."""
        self._dead.add(name)
        for node in _NODES:
            self.partition(node, (self.addresses[name],), _DARK)
        self.send_signal(name, signal.SIGSTOP)

    def restore(self, name: str) -> None:
        """Have a server that was killed or dark serve again."""
        for node in _NODES:
            self.end_partition(node)
        if self._processes[name].poll() is None:
            self.send_signal(name, signal.SIGCONT)
        else:
            domain = next(
                domain
                for domain, engines in self.domains.items()
                if name in engines
            )
            self.restart_engine(name, domain, "m")
        self._dead.discard(name)
        fleet_module.wait_until(
            lambda: len(self.list_leaders()) == len(self._engines) // 2,
            _READY_TIMEOUT,
            "replicas",
        )

    def _list_losses(self, name: str, since: float) -> list[float]:
        """Return the seconds after which gateways found an engine lost.

        Args:
            name: The engine.
            since: Seconds since the Unix epoch; earlier losses don't count.
        """
        times = [
            datetime.datetime.fromisoformat(line["timestamp"]).timestamp()
            for node in _NODES
            for line in self.read_events(node)
            if line["event"] == "instance_lost" and line["instance"] == name
        ]
        return [at - since for at in times if at >= since]

    def end(self, name: str, way: abc.Callable[[str], None]) -> float:
        """End an engine; return the seconds until a gateway knows of it."""
        since = time.time()
        way(name)
        fleet_module.wait_until(
            lambda: bool(self._list_losses(name, since)),
            _LOSS_TIMEOUT,
            f"the loss of {name}",
        )
        return min(self._list_losses(name, since))


def _send(connection: http.client.HTTPConnection, target: str) -> Outcome:
    began = time.monotonic()
    attempt = f"silence-{next(_attempt_numbers)}"
    outcome = Outcome(attempt, target, began)
    headers = {
        "Host": gateways.HOST,
        "X-Attempt-Id": attempt,
        "X-Model": "m",
        "X-Deadline-Ms": str(_DEADLINE_MS),
        "X-Prompt-Prefix": f"5c1e07a2:40,{attempt}:600",
        "Authorization": f"Bearer {gateways.KEY}",
    }
    method = "GET" if target.startswith("/safe/") else "POST"
    try:
        connection.request(method, target, headers=headers)
        response = connection.getresponse()
        outcome.status = response.status
        outcome.events = b"".join(_read_events(response, outcome))
    except (OSError, http.client.HTTPException) as error:
        outcome.failure = f"{type(error).__name__}: {error}"
    outcome.ended = time.monotonic()
    if outcome.is_broken:
        connection.close()
    return outcome


def _read_events(
    response: http.client.HTTPResponse, outcome: Outcome
) -> abc.Iterator[bytes]:
    """Yield the number of each event; note the longest pause."""
    last = outcome.began
    while line := response.readline():
        now = time.monotonic()
        outcome.pause = max(outcome.pause, now - last)
        last = now
        if line.startswith(b"id: "):
            yield line[4:].strip()
    # http.client reuses the connection only after a read to the end.
    response.read()


def _report(label: str, outcomes: list[Outcome]) -> None:
    """Print what callers saw."""
    served = [one for one in outcomes if one.status == http.HTTPStatus.OK]
    figures = {
        "requests": len(outcomes),
        "broken": sum(one.is_broken for one in outcomes),
        "refused": sum(one.status == 503 for one in outcomes),
        "failed": sum(one.status in (500, 502, 504) for one in outcomes),
    }
    for metric, value in figures.items():
        report.emit(label, metric, value, "")
    longest = max(one.pause for one in outcomes)
    median = statistics.median(one.ended - one.began for one in served)
    report.emit(label, "longest pause", longest, "s")
    report.emit(label, "p50", median, "s")


def _measure_silences(site: Site) -> None:
    groups = {
        "all": SERVERS,
        "a domain": DOMAINS["d0"],
        "a leader": site.list_leaders()[:1],
    }
    for name, silent in groups.items():
        label = f"silence of {name}"
        before = site.list_groups()
        outcomes = site.observe(lambda silent=silent: site.silence(silent))
        after = site.list_groups()
        moved = sum(after.get(name) != before[name] for name in before)
        _report(label, outcomes)
        report.emit(label, "instances moved", moved, "")


def _measure_deaths(site: Site) -> None:
    ways = {"killed": site.kill, "dark": site.darken}
    for way, end in ways.items():
        outcomes = []
        seconds: list[float] = []
        for number in range(_DEATHS):
            leaders = site.list_leaders()
            leader = leaders[number % len(leaders)]
            outcomes += site.observe(
                lambda end=end, leader=leader, seconds=seconds: seconds.append(
                    site.end(leader, end)
                )
            )
            site.restore(leader)
        label = f"a leader is {way}"
        _report(label, outcomes)
        report.emit(label, "known after", statistics.median(seconds), "s")
        report.emit(label, "known after, longest", max(seconds), "s")


@report.register("silence")
def measure_silence() -> None:
    """Measure silences of sound servers, and how soon a dead one is known."""
    with Site() as site:
        site.start()
        _measure_silences(site)
        _measure_deaths(site)

"""The processes of a soak, and what is done to them."""

import pathlib
import signal
import sys
import time
import typing

import eventlet
import msgspec

from bench import fleet as fleet_module
from bench import gateways as gateways_module
from soak import plan as plan_module
from soak import proxy as proxy_module

__all__ = ["Site"]

Kind = plan_module.Kind
Mode = proxy_module.Mode

_DOMAINS = 2
_ENGINES = 5
_APPS = 2
_GRACE = 8.0
_DRAIN = 2.5
_READY_WAIT = 60.0
# Versions whose own route stays in the configuration.
_KEPT_VERSIONS = 3
_CLOCK_BACK = -60.0
# Seconds until the operator repeats a write that failed.
_RETRY = 0.2
_ROOT = pathlib.Path(__file__).parent.parent


class Site(gateways_module.Gateways):
    """A platform, servers and gateways, with a proxy on each link."""

    def __init__(self, gateways: int) -> None:
        super().__init__()
        self.gateways = [f"g{number}" for number in range(1, gateways + 1)]
        self.engines = [
            f"e{domain}{number}"
            for domain in range(_DOMAINS)
            for number in range(_ENGINES)
        ]
        self.apps = [f"a{number}" for number in range(_APPS)]
        # Lifetime of each gateway's process, told by a number.
        self.processes: dict[str, str] = {}
        self.store_links: dict[str, proxy_module.Proxy] = {}
        self.links: dict[str, proxy_module.Proxy] = {}
        # What happened when: (time, what, to whom).
        self.history: list[tuple[float, str, str]] = []
        # When the store acknowledged each version.
        self.acknowledged: dict[int, float] = {}
        # The newest of them, acknowledged or not.
        self.newest = 0
        self._starts = 0
        self._skews: dict[str, float] = {}
        self._down: set[str] = set()

    # -- Starting

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.start_platform()
        fleet_module.wait_until(self._is_store_up, _READY_WAIT, "store")
        self.configure()
        for name in [*self.engines, *self.apps]:
            self.begin_upstream(name)
        for name in self.gateways:
            self.begin_gateway(name)
        for name in self.gateways:
            fleet_module.wait_until(
                lambda name=name: self.is_ready(name), _READY_WAIT, name
            )

    def _is_store_up(self) -> bool:
        base = f"http://{self.addresses['platform']}"
        return self.answers(f"{base}/currantwall/objects/servers")

    def note(self, what: str, name: str = "") -> None:
        """Remember what was done."""
        self.history.append((time.monotonic(), what, name))

    def get_store(self, name: str) -> str:
        """Return the address of a process's own way to the store."""
        if name not in self.store_links:
            store = self.addresses["platform"]
            self.store_links[name] = proxy_module.Proxy(store)
        return self.store_links[name].address

    def make_command(self, name: str) -> list[str]:
        """Return what starts a gateway, perhaps with a wrong clock."""
        skew = self._skews.pop(name, 0.0)
        program = str(gateways_module.PROGRAM)
        if not skew:
            return [sys.executable, program]
        wrapper = str(_ROOT / "soak" / "skewed.py")
        return [sys.executable, wrapper, str(skew), program]

    def begin_gateway(self, name: str) -> None:
        """Start a gateway."""
        self._starts += 1
        self.processes[name] = f"{name}#{self._starts}"
        self.start_gateway(name, _GRACE)
        self._down.discard(name)
        self.note("started", name)

    def begin_upstream(self, name: str) -> None:
        """Start a server behind its proxy."""
        address = self._assign_address(name)
        if name not in self.links:
            self.links[name] = proxy_module.Proxy(address)
        options = [
            f"--advertised={self.links[name].address}",
            f"--record={self.path / f'{name}.record'}",
        ]
        if name in self.apps:
            self.start_upstream(name, "app", "", "", *options)
        else:
            domain = f"d{name[1]}"
            self.start_upstream(name, "pool", domain, "m", *options)
        self._down.discard(name)
        self.note("started", name)

    def configure(self) -> None:
        """Write a new configuration until the store has acknowledged it.

        Each has a route of its own, which tells whether it is in force.
        """
        self.newest += 1
        number = self.newest
        routes = gateways_module.make_configuration(number)["routes"]
        first = max(1, number - _KEPT_VERSIONS + 1)
        for version in range(first, number + 1):
            prefix = f"/v{version}/"
            routes.append(dict(routes[2], name=prefix, pathPrefix=prefix))
        while number == self.newest:
            try:
                self.put_configuration(routes=routes)
                break
            except AssertionError:
                # The store is down, or has lost its answer.
                eventlet.sleep(_RETRY)
        self.acknowledged[number] = time.monotonic()
        self.note("configured", str(number))

    # -- Disturbances

    def disturb(self, one: plan_module.Disturbance) -> None:
        """Carry out a disturbance and mend it after its time."""
        if one.target in self._down:
            return
        if one.kind.value.startswith("store"):
            self._disturb_store(one)
        elif one.kind.value.startswith("cut"):
            self._cut(one)
        elif one.kind is Kind.CONFIGURE:
            self.configure()
        else:
            getattr(self, f"_{one.kind.value}")(one)

    def _disturb_store(self, one: plan_module.Disturbance) -> None:
        self.note(one.kind.value)
        if one.kind is Kind.STORE_FORGETS:
            url = f"http://{self.addresses['platform']}/control/forget"
            self.http.request("POST", url)
            return
        faults: dict[Kind, dict[str, typing.Any]] = {
            Kind.STORE_DOWN: {"down": True},
            Kind.STORE_SLOW: {"delay": 0.25},
            Kind.STORE_LOSES: {"lose_writes": 6},
        }
        self.set_store(**faults[one.kind])
        eventlet.sleep(one.lasts)
        self.set_store()
        self.note("store_mended")

    def _cut(self, one: plan_module.Disturbance) -> None:
        links = (
            self.links if one.kind is Kind.CUT_UPSTREAM else (self.store_links)
        )
        self.note(one.kind.value, one.target)
        links[one.target].set(Mode(one.way))
        eventlet.sleep(one.lasts)
        links[one.target].set(Mode.PASSING)
        self.note("mended", one.target)

    def _end(self, name: str, what: str) -> None:
        self._down.add(name)
        self.note(what, name)
        self.kill(name)

    def _kill_gateway(self, one: plan_module.Disturbance) -> None:
        self._end(one.target, "killed")
        eventlet.sleep(one.lasts)
        self.begin_gateway(one.target)

    def _clock_back(self, one: plan_module.Disturbance) -> None:
        self._skews[one.target] = _CLOCK_BACK
        self._kill_gateway(one)

    def _kill_all_gateways(self, one: plan_module.Disturbance) -> None:
        struck = [one for one in self.gateways if one not in self._down]
        for name in struck:
            self._end(name, "killed")
        eventlet.sleep(min(one.lasts, 1.0))
        for name in struck:
            self.begin_gateway(name)

    def _stop_gateway(self, one: plan_module.Disturbance) -> None:
        self._down.add(one.target)
        self.note("stopping", one.target)
        self.send_signal(one.target, signal.SIGTERM)
        self.wait(one.target, _GRACE + 4.0)
        self.note("stopped", one.target)
        self.begin_gateway(one.target)

    def _pause(self, one: plan_module.Disturbance) -> None:
        self._down.add(one.target)
        self.note("paused", one.target)
        self.send_signal(one.target, signal.SIGSTOP)
        eventlet.sleep(one.lasts)
        self.send_signal(one.target, signal.SIGCONT)
        self.note("resumed", one.target)
        self._down.discard(one.target)

    _pause_gateway = _pause
    _pause_upstream = _pause

    def _reload_gateway(self, one: plan_module.Disturbance) -> None:
        self.note("reloaded", one.target)
        self.send_signal(one.target, signal.SIGHUP)

    def _kill_upstream(self, one: plan_module.Disturbance) -> None:
        self._end(one.target, "killed")
        eventlet.sleep(one.lasts)
        self.begin_upstream(one.target)

    def _drain_upstream(self, one: plan_module.Disturbance) -> None:
        self._down.add(one.target)
        self.note("draining", one.target)
        fleet_module.wait_until(
            lambda: self.is_answering(one.target, "/control/drain"),
            _READY_WAIT,
            one.target,
        )
        eventlet.sleep(_DRAIN + one.lasts)
        self._end(one.target, "drained")
        self.begin_upstream(one.target)

    # -- Looking

    def find_gateway(self, front: str) -> str:
        """Return the gateway at an address for callers."""
        for name, address in self.fronts.items():
            if address == front:
                return name
        raise KeyError(front)

    def read_record(self, name: str) -> list[dict[str, typing.Any]]:
        """Return what a server wrote, over all its lives."""
        path = self.path / f"{name}.record"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [msgspec.json.decode(line) for line in lines]

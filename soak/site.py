"""The processes of a soak, and the disturbances that act on them."""

import contextlib
import pathlib
import signal
import time
import typing

import eventlet
import msgspec
import urllib3

from bench import fleet as fleet_module
from bench import gateways as gateways_module
from soak import plan as plan_module
from soak import proxy as proxy_module

__all__ = ["KEPT_VERSIONS", "Site"]

Kind = plan_module.Kind
Mode = proxy_module.Mode

# Fabric domains, engines in each, and plain services.
_DOMAINS = 2
_ENGINES = 5
_APPS = 2
# Seconds that a gateway gives its requests on a planned stop, that a server
# drains before it is killed, and to wait for a process to be ready.
_STOP_GRACE = 8.0
_DRAIN_TIME = 2.5
_READY_TIMEOUT = 60.0
# Number of newest versions whose own routes are in the configuration.
KEPT_VERSIONS = 3
# Requests a second that a limited server takes, seconds beyond a
# disturbance's own for which it says so, and the pause of refusals.
_LIMIT = 0.5
_LIMIT_TIME = 8.0
_PAUSE_SECONDS = 4.0
_CLOCK_SKEW = -60.0  # seconds
# Seconds for which the store is away before it comes back from a copy.
_AWAY_TIME = 0.4
# Seconds until the operator repeats a write that failed.
_RETRY_INTERVAL = 0.2
# Entries of servers that are gone, and what differs in those that can't be
# read.
_DEAD_ENTRIES = 12
_FOREIGN_ENTRY = {"service": "app", "zone": "a", "state": "ready", "slots": 4}
_ODD_FIELDS: tuple[dict[str, typing.Any], ...] = (
    {"address": "127.0.0.1:" + "9" * 4400},
    {"address": "1..2:80"},
    {"address": "[::1:80"},
    {"slots": 10**300},
    {"born": -1},
    {"group": {"name": "m.99999999999.x", "epoch": 1, "rank": 0}},
    {"staged": [[[[[[]]]]]]},
    {"domain": "d" * 100_000},
)
_ROOT = pathlib.Path(__file__).parent.parent


class Site(gateways_module.Gateways):
    """A platform, servers and gateways, with proxies between them.

    Each gateway and server reaches the store through a proxy of its own,
    and each server is reached through one.

    Attributes:
        processes: Current process of each gateway, as `NAME#NUMBER`.
        store_links: Proxy of each process to the store.
        links: Proxy in front of each server.
        history: Time, event and process of what was done. The process is
            empty for the store; `configuring` and `configured` events have
            the version.
        acknowledged: When the store acknowledged each version, or when a
            newer one replaced it before.
        newest: The newest version written, acknowledged or not.
    """

    def __init__(self, gateways: int) -> None:
        super().__init__()
        self.gateways = [f"g{number}" for number in range(1, gateways + 1)]
        self.engines = [
            f"e{domain}{number}"
            for domain in range(_DOMAINS)
            for number in range(_ENGINES)
        ]
        self.apps = [f"a{number}" for number in range(_APPS)]
        self.processes: dict[str, str] = {}
        self.store_links: dict[str, proxy_module.Proxy] = {}
        self.links: dict[str, proxy_module.Proxy] = {}
        self.history: list[tuple[float, str, str]] = []
        self.acknowledged: dict[int, float] = {}
        self.newest = 0
        self._start_count = 0
        self._clock_skews: dict[str, float] = {}
        self._down: set[str] = set()
        self._entries_count = 0

    # -- Starting

    def start(self) -> None:
        """Start everything and wait until it serves."""
        self.start_platform()
        fleet_module.wait_until(self._is_store_up, _READY_TIMEOUT, "store")
        self.configure()
        for name in [*self.engines, *self.apps]:
            self.launch_upstream(name)
        for name in self.gateways:
            self.launch_gateway(name)
        for name in self.gateways:
            fleet_module.wait_until(
                lambda name=name: self.is_ready(name), _READY_TIMEOUT, name
            )

    def _is_store_up(self) -> bool:
        base = f"http://{self.addresses['platform']}"
        return self.answers(f"{base}/currantwall/objects/servers")

    def record_event(self, event: str, name: str = "") -> None:
        """Add an event to the history; see `history` for the name."""
        self.history.append((time.monotonic(), event, name))

    def get_store(self, name: str) -> str:
        """Return the address of a process's own proxy to the store."""
        if name not in self.store_links:
            store = self.addresses["platform"]
            self.store_links[name] = proxy_module.Proxy(store)
        return self.store_links[name].address

    def make_command(self, name: str) -> list[str]:
        """Return the command of a gateway, with a shifted clock if set."""
        skew = self._clock_skews.pop(name, 0.0)
        program = str(gateways_module.PROGRAM)
        if not skew:
            return self.wrap_command(name, program)
        wrapper = str(_ROOT / "soak" / "skewed.py")
        return self.wrap_command(name, wrapper, str(skew), program)

    def launch_gateway(self, name: str) -> None:
        """Start a gateway and record it."""
        self._start_count += 1
        self.processes[name] = f"{name}#{self._start_count}"
        self.start_gateway(name, _STOP_GRACE)
        self._down.discard(name)
        self.record_event("started", name)

    def launch_upstream(self, name: str) -> None:
        """Start a server behind its proxy and record it."""
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
        self.record_event("started", name)

    def configure(self) -> None:
        """Write a new configuration, again until the store acknowledges it.

        Each version adds a route of its own, which shows whether a gateway
        has applied it. A newer version ends the attempts to write this one.
        """
        self.newest += 1
        number = self.newest
        self.record_event("configuring", str(number))
        self._write_configuration(number)
        self.acknowledged[number] = time.monotonic()
        self.record_event("configured", str(number))

    def _write_configuration(self, number: int) -> None:
        routes = gateways_module.make_configuration(number)["routes"]
        first = max(1, number - KEPT_VERSIONS + 1)
        for version in range(first, number + 1):
            prefix = f"/v{version}/"
            routes.append(dict(routes[2], name=prefix, pathPrefix=prefix))
        while number == self.newest:
            try:
                self.put_configuration(routes=routes)
                break
            except AssertionError:
                # The store is down, or its answer was lost.
                eventlet.sleep(_RETRY_INTERVAL)

    # -- Disturbances

    def disturb(self, disturbance: plan_module.Disturbance) -> None:
        """Carry out a disturbance and undo it after its duration.

        A target that is already down or paused is skipped.
        """
        if disturbance.target in self._down:
            return
        if disturbance.kind.value.startswith("store"):
            self._disturb_store(disturbance)
        elif disturbance.kind.value.startswith("cut"):
            self._cut(disturbance)
        elif disturbance.kind is Kind.CONFIGURE:
            self.configure()
        else:
            getattr(self, f"_{disturbance.kind.value}")(disturbance)

    def _restore_store(self, disturbance: plan_module.Disturbance) -> None:
        """Have the store lose what was written for a while.

        The servers write their entries again with the next heartbeat, and
        the operator the newest configuration.
        """
        self.copy_store()
        eventlet.sleep(disturbance.lasts)
        self.record_event(disturbance.kind.value)
        self.set_store(down=True)
        eventlet.sleep(_AWAY_TIME)
        self.restore_store()
        self.set_store()
        self._write_configuration(self.newest)
        self.record_event("store_mended")

    def _disturb_store(self, disturbance: plan_module.Disturbance) -> None:
        if disturbance.kind is Kind.STORE_RESTORED:
            self._restore_store(disturbance)
            return
        self.record_event(disturbance.kind.value)
        if disturbance.kind is Kind.STORE_FORGETS:
            url = f"http://{self.addresses['platform']}/control/forget"
            self.http.request("POST", url)
            return
        faults: dict[Kind, dict[str, typing.Any]] = {
            Kind.STORE_DOWN: {"down": True},
            Kind.STORE_SLOW: {"delay": 0.25},
            Kind.STORE_LOSES: {"lose_writes": 6},
        }
        self.set_store(**faults[disturbance.kind])
        eventlet.sleep(disturbance.lasts)
        self.set_store()
        self.record_event("store_mended")

    def _cut(self, disturbance: plan_module.Disturbance) -> None:
        links = (
            self.links
            if disturbance.kind is Kind.CUT_UPSTREAM
            else (self.store_links)
        )
        self.record_event(disturbance.kind.value, disturbance.target)
        links[disturbance.target].set_mode(Mode(disturbance.way))
        eventlet.sleep(disturbance.lasts)
        links[disturbance.target].set_mode(Mode.PASSING)
        self.record_event("mended", disturbance.target)

    def _kill_process(self, name: str, event: str) -> None:
        self._down.add(name)
        self.record_event(event, name)
        self.kill(name)

    def _kill_gateway(self, disturbance: plan_module.Disturbance) -> None:
        self._kill_process(disturbance.target, "killed")
        eventlet.sleep(disturbance.lasts)
        self.launch_gateway(disturbance.target)

    def _clock_back(self, disturbance: plan_module.Disturbance) -> None:
        self._clock_skews[disturbance.target] = _CLOCK_SKEW
        self._kill_gateway(disturbance)

    def _kill_all_gateways(self, disturbance: plan_module.Disturbance) -> None:
        killed = []
        for name in self.gateways:
            # Checked one by one: others may end while this task waits.
            if name not in self._down:
                killed.append(name)
                self._kill_process(name, "killed")
        eventlet.sleep(min(disturbance.lasts, 1.0))
        for name in killed:
            self.launch_gateway(name)

    def _stop_gateway(self, disturbance: plan_module.Disturbance) -> None:
        self._down.add(disturbance.target)
        self.record_event("stopping", disturbance.target)
        self.send_signal(disturbance.target, signal.SIGTERM)
        self.wait(disturbance.target, _STOP_GRACE + 4.0)
        self.record_event("stopped", disturbance.target)
        self.launch_gateway(disturbance.target)

    def _pause(self, disturbance: plan_module.Disturbance) -> None:
        self._down.add(disturbance.target)
        self.record_event("paused", disturbance.target)
        self.send_signal(disturbance.target, signal.SIGSTOP)
        eventlet.sleep(disturbance.lasts)
        self.send_signal(disturbance.target, signal.SIGCONT)
        self.record_event("resumed", disturbance.target)
        self._down.discard(disturbance.target)

    _pause_gateway = _pause
    _pause_upstream = _pause

    def _reload_gateway(self, disturbance: plan_module.Disturbance) -> None:
        self.record_event("reloaded", disturbance.target)
        self.send_signal(disturbance.target, signal.SIGHUP)

    def _kill_upstream(self, disturbance: plan_module.Disturbance) -> None:
        self._kill_process(disturbance.target, "killed")
        eventlet.sleep(disturbance.lasts)
        self.launch_upstream(disturbance.target)

    def _drain_upstream(self, disturbance: plan_module.Disturbance) -> None:
        self._down.add(disturbance.target)
        self.record_event("draining", disturbance.target)
        fleet_module.wait_until(
            lambda: self.is_answering(disturbance.target, "/control/drain"),
            _READY_TIMEOUT,
            disturbance.target,
        )
        eventlet.sleep(_DRAIN_TIME + disturbance.lasts)
        self._kill_process(disturbance.target, "drained")
        self.launch_upstream(disturbance.target)

    def _limit_upstream(self, disturbance: plan_module.Disturbance) -> None:
        self._say(disturbance.target, Server_Limit=f"{_LIMIT:g}")
        eventlet.sleep(_LIMIT_TIME + disturbance.lasts)
        self._say(disturbance.target)

    def _refuse_upstream(self, disturbance: plan_module.Disturbance) -> None:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.set_pause(disturbance.target, _PAUSE_SECONDS)
            eventlet.sleep(disturbance.lasts)
            self.set_pause(disturbance.target, 0.0)

    def _leave_upstream(self, disturbance: plan_module.Disturbance) -> None:
        """Have a server say that it leaves, which its entry does not."""
        self._down.add(disturbance.target)
        self._say(disturbance.target, Server_Leaving="1")
        eventlet.sleep(_DRAIN_TIME + disturbance.lasts)
        self._kill_process(disturbance.target, "drained")
        self.launch_upstream(disturbance.target)

    def _partition_gateway(self, disturbance: plan_module.Disturbance) -> None:
        name = disturbance.target
        self.record_event("partitioned", name)
        addresses = [link.address for link in self.links.values()]
        self.partition(name, addresses, disturbance.way)
        eventlet.sleep(disturbance.lasts)
        self.end_partition(name)
        self.record_event("mended", name)

    def _foreign_entries(self, disturbance: plan_module.Disturbance) -> None:
        """Add entries of another system; remove most of them later."""
        self._entries_count += 1
        names = []
        for number in range(_DEAD_ENTRIES + len(_ODD_FIELDS)):
            name = f"foreign-{self._entries_count}-{number}"
            entry = dict(_FOREIGN_ENTRY, address=f"{self.ip}:{1000 + number}")
            if number >= _DEAD_ENTRIES:
                entry |= _ODD_FIELDS[number - _DEAD_ENTRIES]
            # The store may be down, or lose its answer.
            with contextlib.suppress(
                AssertionError, urllib3.exceptions.HTTPError
            ):
                self.put_object("servers", name, entry)
                names.append(name)
        self.record_event("entries", "")
        eventlet.sleep(disturbance.lasts)
        for name in names[::2] + names[1::4]:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self.delete_object("servers", name)

    def _say(self, name: str, **headers: str) -> None:
        """Set the headers of a server's answers, unless it is down."""
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            self.set_headers(name, **headers)

    # -- Queries

    def find_gateway(self, front: str) -> str:
        """Return the name of the gateway that listens at an address."""
        for name, address in self.fronts.items():
            if address == front:
                return name
        raise KeyError(front)

    def read_record(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the lines of a server's record, of all its processes."""
        path = self.path / f"{name}.record"
        lines = path.read_bytes().splitlines() if path.exists() else []
        return [msgspec.json.decode(line) for line in lines]

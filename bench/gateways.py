"""Starts gateway processes, their platform and the servers behind them.

Each gateway gets its own loopback IP address, since on the platform each
gateway has a machine of its own.
"""

from collections import abc
import pathlib
import sys
import typing

import msgspec
import urllib3

from bench import fleet as fleet_module

__all__ = [
    "HOST",
    "KEY",
    "PROGRAM",
    "Gateways",
    "RecordedUpstreams",
    "make_configuration",
]

HOST = "shop.example"
KEY = "shop-key"
PROGRAM = pathlib.Path(__file__).parent.parent / "platform" / "run.py"
_STORE_NAME = "platform"
_OBJECTS_PATH = "/currantwall/objects"
_REPORT_PATH = "/currantwall/report"
_START_SECONDS = 60.0


class Gateways(fleet_module.Fleet):
    """A platform, its servers and the gateways in front of them.

    Attributes:
        version: Version of the configuration that was written last.
        limits: The limits of the machine in a new gateway's settings.
        bounds: Further bounds in a new gateway's settings.
        fronts: Address for callers of each gateway, by its name.
        readies: Address of each gateway's readiness check.
        directories: Address of each gateway's list of addresses.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 0
        self.limits: dict[str, float] = {}
        self.bounds: dict[str, float] = {}
        self.fronts: dict[str, str] = {}
        self.readies: dict[str, str] = {}
        self.directories: dict[str, str] = {}

    def start_store(self) -> None:
        """Start the platform; return once its store answers."""
        self.start_platform()
        fleet_module.wait_until(
            lambda: self.is_answering(_STORE_NAME, f"{_OBJECTS_PATH}/x"),
            _START_SECONDS,
            "store",
        )

    def start_upstream(
        self,
        name: str,
        service: str,
        domain: str = "",
        staged: str = "",
        *options: str,
    ) -> None:
        """Start a server of a service.

        Args:
            name: Its name.
            service: The service that it belongs to.
            domain: Domain of an engine; empty for any other server.
            staged: Model that the engine has staged; empty for none.
            options: Further command line options of the stand-in.
        """
        address = self._assign_address(name)
        self._start_standin(
            name,
            "upstream",
            f"--address={address}",
            f"--instance={name}",
            f"--store={self.get_store(name)}",
            f"--service={service}",
            f"--domain={domain}",
            f"--staged={staged}",
            *options,
        )

    def restart_engine(self, name: str, domain: str, staged: str) -> None:
        """Start an engine that has ended; return once it answers."""
        self.start_upstream(name, "pool", domain, staged)
        fleet_module.wait_until(
            lambda: self.is_answering(name, _REPORT_PATH), _START_SECONDS, name
        )

    def start_gateway(
        self, name: str, grace: float = 8.0, unread: bool = False
    ) -> None:
        """Start a gateway, or restart it at the same addresses.

        Args:
            name: Its name.
            grace: Seconds from the request to stop until it would be killed.
            unread: Whether its standard output is a pipe that is never read.
        """
        settings_path = self.path / f"{name}.json"
        if not settings_path.exists():
            self._write_settings(name, settings_path, grace)
        environment = {
            "CURRANTWALL_SETTINGS": str(settings_path),
            "PATH": "/bin",
        }
        self._start_process(name, self.make_command(name), environment, unread)

    def make_command(self, name: str) -> list[str]:
        """Return the command that starts a gateway."""
        return [sys.executable, str(PROGRAM)]

    def wrap_command(self, name: str, *command: str) -> list[str]:
        """Return the command of a gateway that can be partitioned."""
        path = str(self._get_partition_path(name))
        return [sys.executable, "-m", "standins.partition", path, *command]

    def partition(
        self, name: str, addresses: abc.Iterable[str], fault: str
    ) -> None:
        """Have a gateway's new connections to some addresses fail.

        Args:
            name: The gateway; its command is that of `wrap_command`.
            addresses: The addresses, as HOST:PORT.
            fault: How they fail: "refuse" or "hang".
        """
        lines = "\n".join((fault, *addresses))
        path = self._get_partition_path(name)
        path.write_text(lines, encoding="utf-8")

    def end_partition(self, name: str) -> None:
        """Have all connections of a gateway succeed again."""
        self._get_partition_path(name).unlink(missing_ok=True)

    def _get_partition_path(self, name: str) -> pathlib.Path:
        return self.path / f"{name}.partition"

    def get_store(self, name: str) -> str:
        """Return the address under which a process reaches the store."""
        return self.addresses[_STORE_NAME]

    def _write_settings(
        self, name: str, settings_path: pathlib.Path, grace: float
    ) -> None:
        ip = self._reserved.reserve()
        ports = [fleet_module.pick_port(ip) for _ in range(3)]
        listen = {
            "front": f"{ip}:{ports[0]}",
            "ready": f"{ip}:{ports[1]}",
            "directory": f"{ip}:{ports[2]}",
        }
        self.fronts[name] = listen["front"]
        self.readies[name] = listen["ready"]
        self.directories[name] = listen["directory"]
        settings = {
            "nodeName": name,
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "internalPorts": fleet_module.pick_port_pair(ip),
            "limits": self.limits,
            "bounds": {
                "graceS": grace,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 100,
                **self.bounds,
            },
            "platform": {"address": self.get_store(name)},
        }
        settings_path.write_bytes(msgspec.json.encode(settings))

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway reports that it accepts requests."""
        return self.answers(f"http://{self.readies[name]}/")

    def answers(self, url: str) -> bool:
        """Return whether a GET request to a URL is answered with 200."""
        try:
            return self.http.request("GET", url, timeout=2.0).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def put_configuration(self, **changes: typing.Any) -> None:
        """Write the next version of the configuration.

        Args:
            changes: Top-level fields that replace those of
                `make_configuration`.
        """
        self.version += 1
        spec = make_configuration(self.version) | changes
        self.put_object("config", "main", spec)

    def evacuate(self, datacentre: str) -> None:
        """Request in the store that a data centre be evacuated."""
        base = f"http://{self.addresses[_STORE_NAME]}{_OBJECTS_PATH}"
        body = {"metadata": {"name": datacentre}, "spec": {}}
        data = msgspec.json.encode(body)
        url = f"{base}/evacuations"
        response = self.http.request("POST", url, body=data)
        assert response.status == 200, response.data

    def withdraw_evacuation(self, datacentre: str) -> None:
        """Withdraw the request to evacuate a data centre."""
        base = f"http://{self.addresses[_STORE_NAME]}{_OBJECTS_PATH}"
        url = f"{base}/evacuations/{datacentre}"
        self.http.request("DELETE", url)

    def set_store(self, **faults: typing.Any) -> None:
        """Set the faults that the store injects."""
        url = f"http://{self.addresses[_STORE_NAME]}/control/objectapi"
        self.http.request("POST", url, body=msgspec.json.encode(faults))

    def read_events(self, name: str) -> list[dict[str, typing.Any]]:
        """Return the lines of a gateway's log as objects."""
        lines = self.read_log(name).splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def copy_store(self) -> None:
        """Copy the store, for `restore_store`."""
        url = f"http://{self.addresses[_STORE_NAME]}/control/copy"
        self.http.request("POST", url)

    def restore_store(self) -> None:
        """Have the store come back from its last copy."""
        url = f"http://{self.addresses[_STORE_NAME]}/control/restore"
        self.http.request("POST", url)

    def get_revision(self, kind: str, name: str) -> int:
        """Return the revision of an object in the store; 0 if none."""
        base = f"http://{self.addresses[_STORE_NAME]}{_OBJECTS_PATH}"
        response = self.http.request("GET", f"{base}/{kind}/{name}")
        if response.status != 200:
            return 0
        return msgspec.json.decode(response.data)["metadata"]["revision"]

    def put_object(self, kind: str, name: str, spec: typing.Any) -> None:
        """Write an object to the store, or create it."""
        base = f"http://{self.addresses[_STORE_NAME]}{_OBJECTS_PATH}/{kind}"
        data = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        response = self.http.request("PUT", f"{base}/{name}", body=data)
        if response.status == 404:
            response = self.http.request("POST", base, body=data)
        assert response.status == 200, response.data

    def delete_object(self, kind: str, name: str) -> None:
        """Remove an object from the store, if it has it."""
        base = f"http://{self.addresses[_STORE_NAME]}{_OBJECTS_PATH}"
        self.http.request("DELETE", f"{base}/{kind}/{name}")

    def drain(self, name: str) -> None:
        """Have a server announce that it leaves."""
        url = f"http://{self.addresses[name]}/control/drain"
        self.http.request("POST", url)

    def set_headers(self, name: str, **headers: str) -> None:
        """Set the headers that a server adds to all of its answers.

        Args:
            name: The server.
            headers: Their values; underscores in names become hyphens.
        """
        url = f"http://{self.addresses[name]}/control/headers"
        body = {key.replace("_", "-"): text for key, text in headers.items()}
        self.http.request("POST", url, body=msgspec.json.encode(body))

    def set_pause(self, name: str, seconds: float) -> None:
        """Have a server refuse all requests and ask for a pause.

        Args:
            name: The server.
            seconds: The pause; 0 to have it take requests again.
        """
        url = f"http://{self.addresses[name]}/control/pause"
        self.http.request("POST", url, body=msgspec.json.encode(seconds))

    def set_cold(self, name: str, seconds: float) -> None:
        """Have a server's entry say that it is cold.

        Args:
            name: The server.
            seconds: For how long; 0 if it is warm.
        """
        url = f"http://{self.addresses[name]}/control/cold"
        self.http.request("POST", url, body=msgspec.json.encode(seconds))

    def list_arrivals(self, name: str) -> list[float]:
        """Return the monotonic times at which requests reached a server."""
        url = f"http://{self.addresses[name]}/control/arrivals"
        return msgspec.json.decode(self.http.request("GET", url).data)

    def list_runs(self, *names: str) -> list[dict[str, typing.Any]]:
        """Return the requests that each of the servers ran, in order."""
        runs = []
        for name in names:
            url = f"http://{self.addresses[name]}/control/runs"
            runs += msgspec.json.decode(self.http.request("GET", url).data)
        return runs


class RecordedUpstreams(Gateways):
    """Servers whose runs and crashes can be read when they have died."""

    def start_upstream(
        self,
        name: str,
        service: str,
        domain: str = "",
        staged: str = "",
        *options: str,
    ) -> None:
        """Start a server that records what it does."""
        record = f"--record={self.path / name}.record"
        super().start_upstream(name, service, domain, staged, record, *options)

    def list_records(self, prefix: str) -> list[dict[str, typing.Any]]:
        """Return runs and crashes by requests with a prefix, by time."""
        lines: list[dict[str, typing.Any]] = []
        for path in self.path.glob("*.record"):
            lines += map(msgspec.json.decode, path.read_bytes().splitlines())
        found = [
            line
            for line in lines
            if line["what"] in ("run", "crash")
            and _get_attempt(line).startswith(prefix)
        ]
        return sorted(found, key=lambda line: line["at"])


def _get_attempt(line: dict[str, typing.Any]) -> str:
    run = line.get("run", line)
    return run["attempt"]


def make_configuration(version: int) -> dict[str, typing.Any]:
    """Return a configuration with a route of each kind."""
    models = [
        {"name": "m", "size": 2, "share": 1.0, "loadS": 0.5, "warmS": 0.1}
    ]
    engine = {"slots": 4, "models": models, "formMs": 0.0}
    routes_by_prefix: dict[str, dict[str, typing.Any]] = {
        "/stream/": {
            "kind": "streaming",
            "service": "pool",
            "resumable": True,
            "maxAttempts": 2,
        },
        "/once/": {"kind": "streaming", "service": "pool"},
        "/safe/": {"kind": "safe", "service": "app", "maxAttempts": 2},
        "/unsafe/": {"kind": "unsafe", "service": "app"},
    }
    return {
        "version": version,
        "routes": [
            {
                "name": prefix.strip("/"),
                "host": HOST,
                "pathPrefix": prefix,
                "timeoutMs": 4000,
                "targetLatencyMs": 200,
                **fields,
            }
            for prefix, fields in routes_by_prefix.items()
        ],
        "services": [{"name": "pool", "engine": engine}, {"name": "app"}],
        "limits": {"maxBodyBytes": 20_000, "maxHeaderBytes": 4096},
        "tenants": [{"name": "shop", "apiKeys": [KEY]}],
    }

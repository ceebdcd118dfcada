"""Starts gateway processes and the servers of their platform.

Each gateway has a loopback address of its own, as each has a machine of
its own on the platform.
"""

import pathlib
import sys
import typing

import msgspec
import urllib3

from bench import fleet as fleet_module

__all__ = ["HOST", "KEY", "PROGRAM", "Gateways", "make_configuration"]

HOST = "shop.example"
KEY = "shop-key"
PROGRAM = pathlib.Path(__file__).parent.parent / "platform" / "run.py"
_STORE = "platform"
_PATH = "/currantwall/objects"
_REPORT = "/currantwall/report"
_START_SECONDS = 60.0


class Gateways(fleet_module.Fleet):
    """A platform, its servers and gateways before them."""

    def __init__(self) -> None:
        super().__init__()
        self._next_host = 10
        self.version = 0
        # What each gateway's machine gives to it, as its settings say.
        self.limits: dict[str, float] = {}
        self.fronts: dict[str, str] = {}
        self.readies: dict[str, str] = {}
        self.directories: dict[str, str] = {}

    def start_upstream(
        self,
        name: str,
        service: str,
        domain: str = "",
        staged: str = "",
        *options: str,
    ) -> None:
        """Start a server of a service; an engine where a domain is given."""
        address = self._assign_address(name)
        self._run_standin(
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
        """Start an engine again after its end; return once it answers."""
        self.start_upstream(name, "pool", domain, staged)
        fleet_module.wait_until(
            lambda: self.is_answering(name, _REPORT), _START_SECONDS, name
        )

    def start_gateway(
        self, name: str, grace: float = 8.0, unread: bool = False
    ) -> None:
        """Start a gateway, or start it again at the same addresses.

        Args:
            name: Its name.
            grace: Seconds from the request to stop until it is killed.
            unread: Whether nobody reads what it writes.
        """
        file = self.path / f"{name}.json"
        if not file.exists():
            self._write_settings(name, file, grace)
        environment = {"CURRANTWALL_SETTINGS": str(file), "PATH": "/bin"}
        self._add(name, self.make_command(name), environment, unread)

    def make_command(self, name: str) -> list[str]:
        """Return what starts a gateway."""
        return [sys.executable, str(PROGRAM)]

    def get_store(self, name: str) -> str:
        """Return the address at which a process reaches the store."""
        return self.addresses[_STORE]

    def _write_settings(
        self, name: str, file: pathlib.Path, grace: float
    ) -> None:
        ip = f"127.0.0.{self._next_host}"
        self._next_host += 1
        ports = [fleet_module.pick_port() for _ in range(3)]
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
            "internalPorts": fleet_module.pick_port_pair(),
            "limits": self.limits,
            "bounds": {
                "graceS": grace,
                "retryBudgetRatio": 0.2,
                "budgetSlack": 100,
            },
            "platform": {"address": self.get_store(name)},
        }
        file.write_bytes(msgspec.json.encode(settings))

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway says that it takes requests."""
        return self.answers(f"http://{self.readies[name]}/")

    def answers(self, url: str) -> bool:
        """Return whether an address answers 200."""
        try:
            return self.http.request("GET", url, timeout=2.0).status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            return False

    def put_configuration(self, **changes: typing.Any) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        spec = make_configuration(self.version) | changes
        body = {"metadata": {"name": "main"}, "spec": spec}
        base = f"http://{self.addresses[_STORE]}{_PATH}/config"
        data = msgspec.json.encode(body)
        response = self.http.request("PUT", f"{base}/main", body=data)
        if response.status == 404:
            response = self.http.request("POST", base, body=data)
        assert response.status == 200, response.data

    def set_store(self, **faults: typing.Any) -> None:
        """Set how the store misbehaves."""
        url = f"http://{self.addresses[_STORE]}/control/objectapi"
        self.http.request("POST", url, body=msgspec.json.encode(faults))

    def list_runs(self, *names: str) -> list[dict[str, typing.Any]]:
        """Return the requests that some servers ran, in order."""
        found = []
        for name in names:
            url = f"http://{self.addresses[name]}/control/runs"
            found += msgspec.json.decode(self.http.request("GET", url).data)
        return found


def make_configuration(version: int) -> dict[str, typing.Any]:
    """Return a configuration with a route of each kind."""
    models = [
        {"name": "m", "size": 2, "share": 1.0, "loadS": 0.5, "warmS": 0.1}
    ]
    engine = {"slots": 4, "models": models, "formMs": 0.0}
    kinds: dict[str, dict[str, typing.Any]] = {
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
            for prefix, fields in kinds.items()
        ],
        "services": [{"name": "pool", "engine": engine}, {"name": "app"}],
        "limits": {"maxBodyBytes": 20_000, "maxHeaderBytes": 4096},
        "tenants": [{"name": "shop", "apiKeys": [KEY]}],
    }

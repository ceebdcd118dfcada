"""Starts a whole site as processes on loopback and stops it again.

The demonstration, the tests over processes and the benches use it. The
processes end with the fleet; nothing is left behind.
"""

from collections import abc
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import typing

import msgspec
import urllib3

from currantwall.protocol import signing
from currantwall.state import ids
from currantwall.state import instances

__all__ = ["EntrySpec", "Fleet", "FleetError", "wait_until"]

_STOP_SECONDS = 10.0
_POLL = 0.05
# Below the range that the kernel takes for outgoing connections. Tests
# that run side by side are given a part of it each.
_PORTS = (12_000, 32_000)
_PORTS_VARIABLE = "CURRANTWALL_TEST_PORTS"
_PORT_TRIES = 1000
_PICKED: set[int] = set()
PEER_KEY = "bench-peer-key"
OPERATOR_KEY = "bench-operator-key"


class FleetError(Exception):
    """A process of the fleet did not do what it should."""


class EntrySpec(msgspec.Struct, kw_only=True):
    """One entry process to start.

    Attributes:
        extra: INI text added to its settings.
    """

    id: str
    datacentre: str
    extra: str = ""


def wait_until(
    check: abc.Callable[[], bool], seconds: float, what: str
) -> float:
    """Return the seconds until a check holds; raise when it never does."""
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if check():
            return time.monotonic() - started
        time.sleep(_POLL)
    raise FleetError(f"not within {seconds:g} s: {what}")


def pick_port() -> int:
    """Return a free port of the loopback interface.

    Below the range that the kernel takes for outgoing connections: one
    of those could have it before the process that shall listen on it.
    """
    first, last = _PORTS
    given = os.environ.get(_PORTS_VARIABLE)
    if given:
        first, last = (int(word) for word in given.split("-"))
    for _ in range(_PORT_TRIES):
        port = random.randrange(first, last)
        with socket.socket() as held:
            try:
                held.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _PICKED:
            _PICKED.add(port)
            return port
    raise FleetError("no free port")


def pick_port_pair() -> tuple[int, int]:
    """Return two free ports next to each other.

    Failure: only the first is picked, the second is later picked for
    something else, and as listeners may share a port a caller is answered
    by the wrong one.
    """
    for _ in range(_PORT_TRIES):
        first = pick_port()
        if first + 1 not in _PICKED:
            _PICKED.add(first + 1)
            return first, first + 1
    raise FleetError("no free pair of ports")


class Fleet:
    """Processes of one site."""

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="fleet-")
        self.path = pathlib.Path(self._directory.name)
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._instances: list[instances.Instance] = []
        self.addresses: dict[str, str] = {}
        self.http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *unused: object) -> None:
        self.stop()

    # -- What is part of the site

    def _add(
        self,
        name: str,
        command: list[str],
        environment: dict[str, str] | None = None,
        unread: bool = False,
    ) -> None:
        """Start a process; its output goes to a file, or to nobody."""
        log = self.path / f"{name}.log"
        with log.open("ab") as stream:
            self._processes[name] = subprocess.Popen(
                command,
                stdout=subprocess.PIPE if unread else stream,
                stderr=stream,
                env=environment,
            )

    def _assign_address(self, name: str) -> str:
        if name not in self.addresses:
            self.addresses[name] = f"127.0.0.1:{pick_port()}"
        return self.addresses[name]

    def start_platform(self, lag: float = 1.0) -> None:
        """Start the platform with the instances added so far."""
        listing = self.path / "instances.json"
        listing.write_bytes(msgspec.json.encode(self._instances))
        address = self._assign_address("platform")
        self._run_standin(
            "platform",
            "platform",
            f"--address={address}",
            f"--instances-file={listing}",
            f"--lag={lag}",
        )

    def _run_standin(self, name: str, kind: str, *options: str) -> None:
        command = [sys.executable, "-m", "standins", kind, *options]
        self._add(name, command)

    def start_engine(
        self, name: str, domain: str, datacentre: str, *options: str
    ) -> None:
        """Start an engine instance."""
        self._list_engine(name, domain, datacentre)
        self._run_standin(
            name,
            "engine",
            f"--address={self.addresses[name]}",
            f"--instance={name}",
            *options,
        )

    def start_fast_engine(
        self, name: str, domain: str, datacentre: str, interval: float
    ) -> None:
        """Start an engine instance made for load."""
        self._list_engine(name, domain, datacentre)
        self._run_standin(
            name,
            "fastengine",
            f"--address={self.addresses[name]}",
            f"--instance={name}",
            f"--token-interval={interval}",
        )

    def _list_engine(self, name: str, domain: str, datacentre: str) -> None:
        self._instances.append(
            instances.Instance(
                id=ids.InstanceId(name),
                kind=instances.InstanceKind.ENGINE,
                address=self._assign_address(name),
                datacentre=ids.DatacentreName(datacentre),
                domain=ids.DomainName(domain),
                accelerators=4,
            )
        )

    def start_service(self, name: str, service: str, datacentre: str) -> None:
        """Start an instance of a plain service."""
        address = self._assign_address(name)
        self._instances.append(
            instances.Instance(
                id=ids.InstanceId(name),
                kind=instances.InstanceKind.SERVICE,
                address=address,
                datacentre=ids.DatacentreName(datacentre),
                service=ids.ServiceName(service),
            )
        )
        self._run_standin(
            name, "service", f"--address={address}", f"--instance={name}"
        )

    def add_entry(self, spec: EntrySpec) -> None:
        """Write the settings of an entry process and list it."""
        address = self._assign_address(spec.id)
        peer = self._assign_address(f"{spec.id}-peer")
        self._assign_address("platform")
        text = _ENTRY_INI.format(
            id=spec.id,
            datacentre=spec.datacentre,
            address=address,
            peer=peer,
            platform=self.addresses["platform"],
            peer_key=PEER_KEY,
            operator_key=OPERATOR_KEY,
        )
        (self.path / f"{spec.id}.ini").write_text(text + spec.extra)
        self._instances.append(
            instances.Instance(
                id=ids.InstanceId(spec.id),
                kind=instances.InstanceKind.ENTRY,
                address=address,
                peer_address=peer,
                datacentre=ids.DatacentreName(spec.datacentre),
            )
        )

    def start_entry(self, name: str) -> None:
        """Start an entry process that was added."""
        config = self.path / f"{name}.ini"
        module = "currantwall.daemon"
        command = [sys.executable, "-m", module, f"--config={config}"]
        self._add(name, command)

    # -- Signals

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self._processes[name].kill()
        self._processes[name].wait()

    def wait(self, name: str, seconds: float) -> int:
        """Return the exit code of a process that is ending."""
        try:
            return self._processes[name].wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not stop") from error

    def get_pid(self, name: str) -> int:
        """Return the process id of a process."""
        return self._processes[name].pid

    def read_log(self, name: str) -> str:
        """Return what a process wrote."""
        return (self.path / f"{name}.log").read_text()

    def stop(self) -> None:
        """End all processes."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        deadline = time.monotonic() + _STOP_SECONDS
        for process in self._processes.values():
            process.wait(max(0.1, deadline - time.monotonic()))
        self._directory.cleanup()

    # -- Requests

    def request(
        self,
        method: str,
        name: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        timeout: float = 20.0,
    ) -> urllib3.BaseHTTPResponse:
        """Make a request to a process."""
        return self.http.request(
            method,
            f"http://{self.addresses[name]}{path}",
            body=body or None,
            headers=headers,
            timeout=timeout,
        )

    def call_signed(
        self, method: str, name: str, path: str, body: bytes = b""
    ) -> urllib3.BaseHTTPResponse:
        """Make an operator's request to an entry."""
        value = signing.sign(OPERATOR_KEY, time.time(), method, path, body)
        return self.request(method, name, path, body, {signing.HEADER: value})

    def is_answering(self, name: str, path: str) -> bool:
        """Return whether a process answers a GET with 200."""
        try:
            return self.request("GET", name, path, timeout=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def run_tool(
        self, entry: str, *words: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' tool against an entry."""
        command = [
            sys.executable,
            "-m",
            "currantwall.cli.main",
            f"--entry={self.addresses[entry]}",
            f"--key={OPERATOR_KEY}",
            *words,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def read_json(self, entry: str, *words: str) -> typing.Any:
        """Return the JSON that the tool prints; raise when it fails."""
        done = self.run_tool(entry, *words, "--json")
        if done.returncode != 0:
            raise FleetError(f"{' '.join(words)}: {done.stderr}")
        return msgspec.json.decode(done.stdout)


_ENTRY_INI = """
[node]
id = {id}
datacentre = {datacentre}
address = {address}
peer_address = {peer}

[platform]
url = http://{platform}
list_interval = 0.5

[peers]
key = {peer_key}

[operators]
key = {operator_key}

[service sizing]
idempotent = yes

[service reorders]
idempotent = no
"""

"""Starts a whole site as processes on loopback and stops it again.

Used by the demonstration, by tests that start processes and by the
benchmarks. `Fleet.stop` ends all processes and deletes their files.
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

__all__ = [
    "Addresses",
    "EntrySpec",
    "Fleet",
    "FleetError",
    "METRICS_PORT",
    "pick_port",
    "wait_until",
]

# Port of a gateway's metrics page, which its platform fixes. Gateways of
# several sites therefore need addresses of their own.
METRICS_PORT = 9464

_STOP_SECONDS = 10.0
_POLL_SECONDS = 0.05
# First port and the one after the last. They lie below the range from which
# the kernel takes ports for outgoing connections. Test runs on the same
# machine are each given a part of the range in the environment variable.
_DEFAULT_PORTS = (12_000, 32_000)
_PORTS_VARIABLE = "CURRANTWALL_TEST_PORTS"
_MAX_PORT_ATTEMPTS = 1000
_USED_PORTS: set[int] = set()
PEER_KEY = "bench-peer-key"
OPERATOR_KEY = "bench-operator-key"


class FleetError(Exception):
    """A process failed, or a condition did not hold in time."""


class EntrySpec(msgspec.Struct, kw_only=True):
    """Configuration of one entry process.

    Attributes:
        extra: INI text appended to the settings file.
    """

    id: str
    datacentre: str
    extra: str = ""


def wait_until(
    check: abc.Callable[[], bool], seconds: float, what: str
) -> float:
    """Poll a condition until it holds.

    Args:
        check: Returns whether the condition holds.
        seconds: How long to poll.
        what: Description of the condition for the error message.

    Returns:
        The seconds that it took.

    Raises:
        FleetError: The condition did not hold in time.
    """
    started = time.monotonic()
    while time.monotonic() - started < seconds:
        if check():
            return time.monotonic() - started
        time.sleep(_POLL_SECONDS)
    raise FleetError(f"timed out after {seconds:g} s: {what}")


class Addresses:
    """Loopback addresses that no other process of the machine has reserved.

    Failure: listeners may share a port, so that a request to one site is
    answered by a process of another one that runs at the same time. A
    reservation is a UDP socket, which can't share its port. It ends with
    this process at the latest.
    """

    def __init__(self) -> None:
        self._reservations: list[socket.socket] = []

    def reserve(self) -> str:
        """Return an address on which nothing uses the metrics port.

        Raises:
            FleetError: None was found.
        """
        for _ in range(_MAX_PORT_ATTEMPTS):
            numbers = (random.randrange(1, 255) for _ in range(3))
            ip = ".".join(("127", *map(str, numbers)))
            reservation = socket.socket(type=socket.SOCK_DGRAM)
            try:
                reservation.bind((ip, METRICS_PORT))
                # A process that outlived its site may still listen.
                with socket.socket() as listener:
                    listener.bind((ip, METRICS_PORT))
            except OSError:
                reservation.close()
                continue
            self._reservations.append(reservation)
            return ip
        raise FleetError("no free loopback address found")

    def release(self) -> None:
        """End all reservations."""
        while self._reservations:
            self._reservations.pop().close()


def pick_port(ip: str) -> int:
    """Return a free port of a loopback address.

    The port lies below the range for outgoing connections: otherwise such
    a connection could take it before the process listens on it. No port
    is returned twice.
    """
    first, last = _DEFAULT_PORTS
    given = os.environ.get(_PORTS_VARIABLE)
    if given:
        first, last = (int(word) for word in given.split("-"))
    for _ in range(_MAX_PORT_ATTEMPTS):
        port = random.randrange(first, last)
        with socket.socket() as candidate:
            try:
                candidate.bind((ip, port))
            except OSError:
                continue
        if port not in _USED_PORTS:
            _USED_PORTS.add(port)
            return port
    raise FleetError("no free port found")


def pick_port_pair(ip: str) -> tuple[int, int]:
    """Return two free ports of an address, next to each other.

    Only the first is tested for being free. Both are recorded as used: if
    only the first were, the second could be given to another listener;
    listeners may share a port, so that a caller would be answered by the
    wrong one.
    """
    for _ in range(_MAX_PORT_ATTEMPTS):
        first = pick_port(ip)
        if first + 1 not in _USED_PORTS:
            _USED_PORTS.add(first + 1)
            return first, first + 1
    raise FleetError("no two adjacent free ports found")


class Fleet:
    """Processes of one site on the loopback interface.

    Attributes:
        ip: Loopback address that only this site uses.
        path: Temporary directory for settings and logs.
        addresses: Address (``host:port``) of each process by its name.
        http: Connections for requests to the processes.
    """

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="fleet-")
        self.path = pathlib.Path(self._directory.name)
        self._reserved = Addresses()
        self.ip = self._reserved.reserve()
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._instances: list[instances.Instance] = []
        self.addresses: dict[str, str] = {}
        self.http = urllib3.PoolManager(retries=False)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *unused: object) -> None:
        self.stop()

    # -- Processes of the site

    def _start_process(
        self,
        name: str,
        command: list[str],
        environment: dict[str, str] | None = None,
        unread: bool = False,
    ) -> None:
        """Start a process.

        Its standard output goes to its log file, or to a pipe that is
        never read where `unread` is set.
        """
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
            self.addresses[name] = f"{self.ip}:{pick_port(self.ip)}"
        return self.addresses[name]

    def start_platform(self, lag: float = 1.0) -> None:
        """Start the platform, which lists the instances added so far.

        Args:
            lag: Seconds that an instance stays listed after its port
                last accepted a connection.
        """
        listing = self.path / "instances.json"
        listing.write_bytes(msgspec.json.encode(self._instances))
        address = self._assign_address("platform")
        self._start_standin(
            "platform",
            "platform",
            f"--address={address}",
            f"--instances-file={listing}",
            f"--lag={lag}",
        )

    def _start_standin(self, name: str, kind: str, *options: str) -> None:
        command = [sys.executable, "-m", "standins", kind, *options]
        self._start_process(name, command)

    def start_engine(
        self, name: str, domain: str, datacentre: str, *options: str
    ) -> None:
        """Start an engine instance."""
        self._add_engine_instance(name, domain, datacentre)
        self._start_standin(
            name,
            "engine",
            f"--address={self.addresses[name]}",
            f"--instance={name}",
            *options,
        )

    def start_fast_engine(
        self, name: str, domain: str, datacentre: str, interval: float
    ) -> None:
        """Start an engine instance for load tests.

        Its streams send a token every `interval` seconds.
        """
        self._add_engine_instance(name, domain, datacentre)
        self._start_standin(
            name,
            "fastengine",
            f"--address={self.addresses[name]}",
            f"--instance={name}",
            f"--token-interval={interval}",
        )

    def _add_engine_instance(
        self, name: str, domain: str, datacentre: str
    ) -> None:
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
        """Start an instance of a service without a model."""
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
        self._start_standin(
            name, "service", f"--address={address}", f"--instance={name}"
        )

    def add_entry(self, spec: EntrySpec) -> None:
        """Write the settings of an entry process and list its instance."""
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
        """Start an entry process that was added by `add_entry`."""
        config = self.path / f"{name}.ini"
        module = "currantwall.daemon"
        command = [sys.executable, "-m", module, f"--config={config}"]
        self._start_process(name, command)

    # -- Signals

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet."""
        self._processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill a process and wait until it has ended."""
        self._processes[name].kill()
        self._processes[name].wait()

    def is_running(self, name: str) -> bool:
        """Return whether a process of the fleet has not ended."""
        return self._processes[name].poll() is None

    def wait(self, name: str, seconds: float) -> int:
        """Wait for a process to end and return its exit code.

        Raises:
            FleetError: It did not end in time.
        """
        try:
            return self._processes[name].wait(seconds)
        except subprocess.TimeoutExpired as error:
            raise FleetError(f"{name} did not stop in time") from error

    def get_pid(self, name: str) -> int:
        """Return the operating system's process ID of a process."""
        return self._processes[name].pid

    def read_log(self, name: str) -> str:
        """Return the log file of a process."""
        return (self.path / f"{name}.log").read_text()

    def stop(self) -> None:
        """Kill all processes, stopped ones too, and delete the files."""
        for process in self._processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        deadline = time.monotonic() + _STOP_SECONDS
        for process in self._processes.values():
            process.wait(max(0.1, deadline - time.monotonic()))
        self._directory.cleanup()
        self._reserved.release()

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
        """Send an HTTP request to a process; `timeout` is in seconds."""
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
        """Send a request with an operator's signature to an entry."""
        signature = signing.sign(OPERATOR_KEY, time.time(), method, path, body)
        return self.request(
            method, name, path, body, {signing.HEADER: signature}
        )

    def is_answering(self, name: str, path: str) -> bool:
        """Return whether a process answers a GET request with 200."""
        try:
            return self.request("GET", name, path, timeout=1).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def run_tool(
        self, entry: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command line tool against an entry."""
        command = [
            sys.executable,
            "-m",
            "currantwall.cli.main",
            f"--entry={self.addresses[entry]}",
            f"--key={OPERATOR_KEY}",
            *arguments,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def read_json(self, entry: str, *arguments: str) -> typing.Any:
        """Return the decoded JSON that the operators' tool prints.

        Raises:
            FleetError: The tool failed.
        """
        result = self.run_tool(entry, *arguments, "--json")
        if result.returncode != 0:
            raise FleetError(f"{' '.join(arguments)}: {result.stderr}")
        return msgspec.json.decode(result.stdout)


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

"""Starts a small deployment on loopback and plays its clients.

The gateways run with the command and the build of the deploy file, the store
and the servers are stand-ins of this folder. All processes have addresses of
127.0.0.0/8, and each gateway has one of its own.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import typing
import urllib.parse

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent
HOST = "ficu95.example"
REGION = "prairie"
ZONES = ("regina", "saskatoon", "winnipeg")
HELD = 0
BROKEN = 1
UNUSABLE = 2
# The bounds and limits of the small deployment `ngs-prairie`.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "stableWindowMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "outerMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 282,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 0,
    "stallMs": 5000,
    "enforceFencing": False,
    "ttl_max_s": 5,
}
LIMITS = {
    "cpuShare": 0.731,
    "cores": 1,
    "memoryMb": 222,
    "maxFds": 1570,
    "linkMbps": 350.0,
    "diskMb": 0,
}


class UnusableError(Exception):
    """The case could not run."""


class Result(typing.NamedTuple):
    """What a client saw of one request.

    Attributes:
        status: Status of the answer; 0 without one.
        whole: Whether the answer ended as complete.
    """

    attempt: str
    sent: float
    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    why: str = ""


class Site:
    """The processes of one deployment."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = folder / "record.txt"
        self.record_path.write_text("")
        self.record_lock = threading.Lock()
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.addresses: dict[str, str] = {}
        self.settings: dict[str, dict[str, typing.Any]] = {}
        self.runs_path = self.temporary / "runs"
        self.runs_path.touch()
        self.started = time.monotonic()
        self.version = 0
        self.is_stopped = False
        # Held while a process is started, so that `stop` misses none.
        self.process_lock = threading.Lock()
        self.network = (
            f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        )
        self.hosts = itertools.count(2)
        signal.signal(signal.SIGTERM, _exit_on_signal)
        signal.signal(signal.SIGINT, _exit_on_signal)

    def write(self, text: str) -> None:
        """Append a line to the record."""
        line = f"{time.monotonic() - self.started:8.3f}  {text}\n"
        with self.record_lock, self.record_path.open("a") as file:
            file.write(line)

    # -- Processes

    def reserve(self) -> str:
        """Return a loopback address with a free port."""
        ip = f"{self.network}.{next(self.hosts)}"
        return f"{ip}:{_find_port(ip)}"

    def start(
        self, name: str, command: list[str], environment: dict[str, str]
    ) -> None:
        """Start a process, unless the site is stopped."""
        path = self.temporary / f"{name}.log"
        with self.process_lock:
            if self.is_stopped:
                return
            with path.open("ab") as log:
                self.processes[name] = subprocess.Popen(
                    command,
                    cwd=ROOT,
                    env={"PATH": os.environ.get("PATH", ""), **environment},
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
        self.write(f"{name} started, process {self.processes[name].pid}")

    def start_store(self) -> None:
        """Start the store."""
        address = self.addresses["store"] = self.reserve()
        self.start(
            "store",
            [sys.executable, str(HERE / "store.py"), f"--address={address}"],
            {},
        )
        host, _, port = address.rpartition(":")
        self.wait_until(lambda: _can_connect(host, int(port)), 10, "the store")

    def start_server(self, name: str, *options: str) -> None:
        """Start a server, or start it again at its address."""
        address = self.addresses.setdefault(name, self.reserve())
        self.start(
            name,
            [
                sys.executable,
                str(HERE / "server.py"),
                f"--id={name}",
                f"--address={address}",
                f"--store={self.addresses['store']}",
                f"--record={self.runs_path}",
                *options,
            ],
            {},
        )

    def start_gateway(self, name: str, zone: str) -> None:
        """Start a gateway, or start it again with its settings."""
        path = self.temporary / f"{name}.json"
        if name not in self.settings:
            self.settings[name] = self.make_settings(name, zone)
            path.write_text(json.dumps(self.settings[name]))
        with (ROOT / "deploy/system.toml").open("rb") as file:
            deploy = tomllib.load(file)
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "CURRANTWALL_SETTINGS": str(path),
        }
        self.start(name, command, environment)

    def make_settings(self, name: str, zone: str) -> dict[str, typing.Any]:
        """Return the settings of a gateway, as DEPLOY shows them."""
        ip = f"{self.network}.{next(self.hosts)}"
        listen = {
            part: f"{ip}:{_find_port(ip)}"
            for part in ("front", "ready", "control", "directory")
        }
        first = _find_port(ip, count=2)
        return {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": ip,
            "zone": zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "internalPorts": [first, first + 15],
            "seeds": [],
            "bootstrap": True,
            "inFaultBudget": False,
            "limits": LIMITS,
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": BOUNDS,
            "platform": {
                "address": self.addresses.get(
                    "proxy", self.addresses["store"]
                ),
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1048576,
                "minTtlMs": 1000,
            },
        }

    def send_signal(self, name: str, number: int) -> None:
        """Send a signal to a process that this site has started."""
        process = self.processes[name]
        self.write(f"{name} gets {signal.Signals(number).name}")
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def stop(self) -> None:
        """End all processes and remove the temporary folder."""
        with self.process_lock:
            self.is_stopped = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)

    # -- The store

    def call_store(
        self, method: str, path: str, body: typing.Any = None
    ) -> tuple[int, typing.Any]:
        """Make a call to the store; return its status and its body."""
        host, _, port = self.addresses["store"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        with contextlib.closing(connection):
            data = None if body is None else json.dumps(body)
            connection.request(
                method,
                f"/currantwall/objects/{path}",
                data,
                {"Content-Type": "application/json"},
            )
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read())

    def put_configuration(self, **parts: typing.Any) -> None:
        """Write the next version of the configuration as the operator."""
        self.version += 3
        spec = {
            "version": self.version,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
            **parts,
        }
        body = {"metadata": {"name": "main"}, "spec": spec}
        method, path = ("PUT", "config/main")
        if self.version == 3:
            method, path = ("POST", "config")
        status, _ = self.call_store(method, path, body)
        if status != 200:
            raise UnusableError(f"the configuration was answered {status}")
        self.write(f"version {self.version} of the configuration acknowledged")

    # -- Waiting

    def wait_until(
        self,
        condition: typing.Callable[[], bool],
        seconds: float,
        what: str,
    ) -> None:
        """Wait for a condition; raise `UnusableError` if it doesn't come."""
        until = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > until:
                raise UnusableError(f"waited too long for {what}")
            time.sleep(0.05)

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway says that it is ready."""
        address = self.settings[name]["listen"]["ready"]
        host, _, port = address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            with contextlib.closing(connection):
                connection.request("GET", "/currantwall/ready")
                return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def look_up(self, zone: str) -> list[str]:
        """Return the addresses that a directory gives clients of a zone."""
        query = urllib.parse.urlencode(
            {"name": HOST, "region": REGION, "zone": zone}
        )
        for name in self.settings:
            address = self.settings[name]["listen"]["directory"]
            host, _, port = address.rpartition(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=1)
            try:
                with contextlib.closing(connection):
                    connection.request("GET", f"/currantwall/resolve?{query}")
                    answer = connection.getresponse()
                    body = answer.read()
                if answer.status == 200:
                    return list(json.loads(body)["addresses"])
            except (OSError, http.client.HTTPException):
                continue
        return []

    def read_runs(self) -> list[dict[str, typing.Any]]:
        """Return what the servers have recorded."""
        lines = self.runs_path.read_text().splitlines()
        return [json.loads(line) for line in lines]

    def copy_runs(self) -> None:
        """Append what the servers have recorded to the record."""
        for line in self.read_runs():
            at = line.pop("at") - self.started
            server, event = line.pop("server"), line.pop("event")
            rest = " ".join(f"{key}={line[key]}" for key in line)
            text = f"{at:8.3f}  server {server}: {event} {rest}\n"
            with self.record_path.open("a") as file:
                file.write(text)


class Proxy:
    """Forwards connections, and can make all open ones silent for good."""

    def __init__(self, address: str, target: str) -> None:
        host, _, port = address.rpartition(":")
        self.listener = socket.create_server((host, int(port)), backlog=128)
        host, _, port = target.rpartition(":")
        self.target = host, int(port)
        # Rises with each silence; a connection forwards while it is that of
        # its begin.
        self.epoch = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def silence(self) -> None:
        """Forward nothing more on open connections; leave them open."""
        self.epoch += 1

    def accept(self) -> None:
        """Accept connections, forever."""
        while True:
            accepted, _ = self.listener.accept()
            try:
                opened = socket.create_connection(self.target)
            except OSError:
                accepted.close()
                continue
            for sock in (accepted, opened):
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for one, other in ((accepted, opened), (opened, accepted)):
                threading.Thread(
                    target=self.forward,
                    args=[one, other, self.epoch],
                    daemon=True,
                ).start()

    def forward(
        self, source: socket.socket, target: socket.socket, epoch: int
    ) -> None:
        """Forward one direction until its end or a silence."""
        try:
            while data := source.recv(65_536):
                if self.epoch != epoch:
                    # Keeps the sockets open and drops what arrives.
                    continue
                target.sendall(data)
            if self.epoch == epoch:
                target.shutdown(socket.SHUT_WR)
        except OSError:
            if self.epoch == epoch:
                with contextlib.suppress(OSError):
                    target.shutdown(socket.SHUT_RDWR)


class Client:
    """One client, with a kept channel to one gateway."""

    def __init__(self, site: Site, address: str) -> None:
        self.site = site
        self.host, _, port = address.rpartition(":")
        self.port = int(port)
        self.connection: http.client.HTTPConnection | None = None

    def ask(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes | None = None,
        key: str = "",
    ) -> Result:
        """Send a request and return what came back."""
        attempt = os.urandom(8).hex()
        headers = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(int(seconds * 1000)),
        }
        if key:
            headers["Authorization"] = f"Bearer {key}"
        if path.startswith("/stream/"):
            headers["X-Model"] = "m0"
            headers["X-Token-Usage"] = "100,210"
            headers["X-Prompt-Prefix"] = f"5c1e07a2:40,{attempt[:8]}:60"
        sent = time.monotonic()
        result = self.exchange(method, path, seconds, headers, body, sent)
        self.site.write(
            f"{attempt} {method} {path} sent {sent - self.site.started:.3f} "
            f"to {self.host}: {result.status or 'no answer'}, "
            f"{len(result.body)} bytes, "
            f"{'whole' if result.whole else 'cut'} {result.why}"
        )
        return result

    def exchange(
        self,
        method: str,
        path: str,
        seconds: float,
        headers: dict[str, str],
        body: bytes | None,
        sent: float,
    ) -> Result:
        """Send one request over the kept channel or a new one."""
        attempt = headers["X-Attempt-Id"]
        status, data, found = 0, b"", {}
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    self.host, self.port, timeout=1
                )
                self.connection.connect()
            self.connection.sock.settimeout(seconds)
            self.connection.request(method, path, body, headers)
            answer = self.connection.getresponse()
            status, found = answer.status, dict(answer.getheaders())
            while part := answer.read1(65_536):
                data += part
            answer.read()
            if answer.length:
                raise http.client.IncompleteRead(data, answer.length)
            if answer.will_close:
                self.close()
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.close()
            why = type(error).__name__
            return Result(attempt, sent, status, found, data, False, why)
        return Result(attempt, sent, status, found, data, True)

    def close(self) -> None:
        """Close the channel."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None


def play(
    site: Site,
    client_count: int,
    seconds: float,
    ask: typing.Callable[[Client, int], Result],
    pause: float = 0.02,
    known: typing.Sequence[str] = (),
) -> list[Result]:
    """Have clients ask one request after the other for some time.

    Clients keep their channel, and change to another gateway when a request
    has failed.

    Args:
        site: The deployment.
        client_count: Number of clients.
        seconds: For how long they ask.
        ask: Sends a client's next request, given its number.
        pause: Seconds between two requests of a client.
        known: Addresses that clients keep for as long as no directory gives
            them new ones.
    """
    results: list[Result] = []
    until = time.monotonic() + seconds

    def run(number: int) -> None:
        client: Client | None = None
        turn = random.Random(number)
        for count in itertools.count():
            if time.monotonic() >= until:
                return
            if client is None:
                zone = ZONES[number % len(ZONES)]
                addresses = site.look_up(zone) or list(known)
                if not addresses:
                    time.sleep(0.2)
                    continue
                client = Client(site, turn.choice(addresses))
            result = ask(client, number + count * client_count)
            results.append(result)
            if not result.whole:
                client.close()
                client = None
            time.sleep(pause)

    threads = [
        threading.Thread(target=run, args=[number], daemon=True)
        for number in range(client_count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results


def run_case(
    file: str, play_case: typing.Callable[[Site], bool]
) -> typing.NoReturn:
    """Run a case and exit with its status.

    Args:
        file: The script of the case.
        play_case: Returns whether the rule held.
    """
    site = Site(pathlib.Path(file).resolve().parent)
    site.write("with the disruption" if site.trouble else "TROUBLE=0")
    try:
        status = HELD if play_case(site) else BROKEN
    except Exception as error:
        site.write(f"the case could not run: {type(error).__name__}: {error}")
        status = UNUSABLE
    finally:
        site.stop()
    verdict = {HELD: "held", BROKEN: "broken", UNUSABLE: "could not run"}
    site.write(f"verdict: {verdict[status]}")
    print(verdict[status])
    sys.exit(status)


def _find_port(ip: str, count: int = 1) -> int:
    """Return the first of some consecutive free ports, for TCP and UDP."""
    while True:
        first = random.randint(20_000, 31_000)
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        sock = stack.enter_context(
                            socket.socket(socket.AF_INET, kind)
                        )
                        sock.bind((ip, port))
            except OSError:
                continue
            return first


def _can_connect(host: str, port: int) -> bool:
    try:
        socket.create_connection((host, port), timeout=1).close()
    except OSError:
        return False
    return True


def _exit_on_signal(number: int, _: object) -> typing.NoReturn:
    raise SystemExit(UNUSABLE)

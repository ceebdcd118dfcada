"""Stand-ins and a site on loopback for the scripts of review/4 and later.

Needs nothing but the standard library. `Site` starts the project's own
program as the deploy file does, and a process with the platform's store and
the servers behind it (`backend2.py`). Clients are tasks of the script.
"""

import asyncio
import json
import os
import pathlib
import random
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# What `run.sh` exits with.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
_METRICS_PORT = 9464


class RunError(Exception):
    """The site did not start, or what the case needs did not happen."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._started = time.monotonic()
        self._lines = []
        self._path = pathlib.Path(folder) / "record.txt"

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started

    def note(self, what, **fields):
        """Add a line."""
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self._lines.append(f"{self.now():8.3f} {what} {text}".rstrip())

    def note_runs(self, runs):
        """Add what the servers have noted, with their times."""
        for run in runs:
            fields = {key: run[key] for key in ("server", "attempt")}
            if run["what"] == "end":
                fields["closed"] = run["closed"]
            at = run["at"] - self._started
            self.note(f"[{at:.3f}] {run['what']}", **fields)

    def say(self, text):
        """Add a line and print it."""
        self.note(text)
        print(text, flush=True)

    def save(self):
        """Write the record."""
        self._path.write_text("\n".join(self._lines) + "\n")


class Message:
    """A request or an answer."""

    def __init__(self, first, headers, body=b""):
        self.first = first
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Return the first value of a header."""
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default


async def read_message(reader, is_answer=False):
    """Return the next message; None at the end of the connection.

    Raises:
        EOFError, ValueError: It is incomplete or malformed.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise EOFError("inside a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name, value.strip()))
    message = Message(lines[0], headers)
    if "chunked" in message.get("Transfer-Encoding").lower():
        message.body = await _read_chunks(reader)
    elif message.get("Content-Length"):
        message.body = await reader.readexactly(
            int(message.get("Content-Length"))
        )
    elif is_answer:
        message.body = await reader.read()
    return message


async def _read_chunks(reader):
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(data[:-2])


def make_message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Caller:
    """A client's channel to a node."""

    def __init__(self, address, receive_bytes=0):
        self._address = address
        self._receive_bytes = receive_bytes
        self._reader = self._writer = None

    async def connect(self, timeout=1.0):
        """Open the channel."""
        host, _, port = self._address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        if self._receive_bytes:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_bytes
            )
        loop = asyncio.get_running_loop()
        try:
            await asyncio.wait_for(
                loop.sock_connect(sock, (host, int(port))), timeout
            )
        except BaseException:
            sock.close()
            raise
        if self._receive_bytes:
            # The script reads it itself, as slowly as it likes.
            self.sock = sock
            return
        self._reader, self._writer = await asyncio.open_connection(
            sock=sock, limit=1 << 20
        )

    async def send(self, data):
        """Send bytes."""
        if self._writer is None:
            await asyncio.get_running_loop().sock_sendall(self.sock, data)
            return
        self._writer.write(data)
        await self._writer.drain()

    async def read(self):
        """Return the next answer; None at the end of the channel."""
        return await read_message(self._reader, True)

    def is_ended(self):
        """Return whether the node has closed the channel."""
        return self._reader.at_eof() or self._writer.is_closing()

    def close(self):
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()
        elif getattr(self, "sock", None) is not None:
            self.sock.close()


def make_request(method, path, attempt, deadline_ms, body=b"", *more):
    """Return the bytes of a client's request."""
    headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
        *more,
    ]
    return make_message(f"{method} {path} HTTP/1.1", headers, body)


def get_status(answer):
    """Return the status of an answer."""
    return int(answer.first.split()[1])


def make_route(name, service, kind, timeout_ms, target_ms, **more):
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": target_ms,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "public": False,
        **more,
    }


def make_configuration(routes, services):
    """Return the first configuration."""
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}],
    }


def _pick_ip():
    """Return a loopback address on which nothing uses the metrics port."""
    for _ in range(100):
        numbers = (random.randrange(1, 255) for _ in range(3))
        ip = ".".join(("127", *map(str, numbers)))
        with socket.socket() as probe:
            try:
                probe.bind((ip, _METRICS_PORT))
            except OSError:
                continue
            return ip
    raise RunError("no free loopback address")


def _pick_ports(ip, count):
    """Return free ports, each next to the one before."""
    for _ in range(100):
        first = random.randrange(12_000, 31_000)
        with socket.socket() as one, socket.socket() as two:
            try:
                one.bind((ip, first))
                two.bind((ip, first + count - 1))
            except OSError:
                continue
            return list(range(first, first + count))
    raise RunError("no free ports")


class Site:
    """A small deployment: store, servers and nodes."""

    def __init__(self, record, configuration, servers, limits=None, **entries):
        """Create a site.

        Args:
            record: Receives lines.
            configuration: The first configuration.
            servers: Options of each server for `backend2.py`.
            limits: Limits of each machine beyond those of the settings.
            entries: Numbers of entries of other writers in the store.
        """
        self.record = record
        self.fronts = {}
        self.readies = {}
        self.directories = {}
        self._limits = {
            "cpuShare": 0.731,
            "cores": 1,
            "memoryMb": 222,
            "maxFds": 1570,
            "linkMbps": 350.0,
            "diskMb": 0,
            **(limits or {}),
        }
        self._directory = tempfile.TemporaryDirectory(prefix="review-")
        self._path = pathlib.Path(self._directory.name)
        self._processes = []
        self._nodes = {}
        self._pids = {}
        self.runs = self._path / "runs.jsonl"
        options = {
            "configuration": configuration,
            "servers": servers,
            "runs": str(self.runs),
            **entries,
        }
        self._backend = self._start(
            "backend",
            [
                sys.executable,
                str(ROOT / "review" / "backend2.py"),
                json.dumps(options),
            ],
            stdout=subprocess.PIPE,
        )
        line = self._backend.stdout.readline()
        if not line:
            raise RunError("the stand-ins did not start")
        self.addresses = json.loads(line)

    def _start(self, name, command, stdout=None, **options):
        stream = (self._path / f"{name}.log").open("ab")
        process = subprocess.Popen(
            command,
            stdout=stdout or stream,
            stderr=stream,
            cwd=ROOT,
            **options,
        )
        stream.close()
        self._processes.append(process)
        self._pids[name] = process.pid
        return process

    def start_node(self, name, zone="regina", descriptors=0):
        """Start a node with the command of the deploy file.

        Args:
            name: Its name.
            zone: Its zone.
            descriptors: Most descriptors of the process, as the platform
                limits them; 0 for what the machine has.
        """
        if name not in self._nodes:
            self._nodes[name] = self._write_settings(name, zone)
        environment = {
            "CURRANTWALL_SETTINGS": str(self._nodes[name]),
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }

        def limit():
            if descriptors:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (descriptors, descriptors)
                )

        return self._start(
            name,
            ["python3", "-S", "platform/run.py"],
            env=environment,
            preexec_fn=limit,
        )

    def kill_node(self, name):
        """Kill a node, and wait until it has ended."""
        for process in self._processes:
            if process.pid == self._pids[name]:
                process.kill()
                process.wait(10)

    def stop_node(self, name):
        """Send a node SIGTERM; return its process."""
        for process in self._processes:
            if process.pid == self._pids[name]:
                process.send_signal(signal.SIGTERM)
                return process
        raise RunError(f"{name} was not started")

    async def crash_server(self, name):
        """End a server for good."""
        caller = Caller(self.addresses["control"])
        await caller.connect()
        await caller.send(
            make_message(f"POST /crash/{name} HTTP/1.1", [("Host", HOST)])
        )
        await caller.read()
        caller.close()

    def _write_settings(self, name, zone):
        ip = _pick_ip()
        ports = _pick_ports(ip, 6)
        listen = {
            "front": f"{ip}:{ports[0]}",
            "ready": f"{ip}:{ports[1]}",
            "directory": f"{ip}:{ports[2]}",
            "control": f"{ip}:{ports[3]}",
        }
        self.fronts[name] = listen["front"]
        self.readies[name] = listen["ready"]
        self.directories[name] = listen["directory"]
        settings = {
            "nodeName": name,
            "role": "entry",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": ip,
            "zone": zone,
            "region": "prairie",
            "zones": {"regina": "prairie", "saskatoon": "prairie"},
            "listen": listen,
            "internalPorts": [ports[4], ports[5]],
            "seeds": [],
            "bootstrap": True,
            "limits": self._limits,
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "bounds": {
                "stableWindowMs": 3000,
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
                "stallMs": 5000,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": self.addresses["store"],
                "form": "objects",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
                "valueBytes": 1_048_576,
                "minTtlMs": 1000,
            },
        }
        path = self._path / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    async def wait_ready(self, name, seconds=30.0):
        """Wait until a node says that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                if await self.is_ready(name):
                    return
            except (TimeoutError, OSError, EOFError):
                pass
            await asyncio.sleep(0.05)
        raise RunError(f"{name} is not ready: {self.read_log(name)[-500:]}")

    async def is_ready(self, name):
        """Return whether a node says that it is ready."""
        caller = Caller(self.readies[name])
        await caller.connect()
        try:
            return await ask_ready(caller)
        finally:
            caller.close()

    def count_descriptors(self, name):
        """Return how many descriptors a node has open."""
        return len(os.listdir(f"/proc/{self._pids[name]}/fd"))

    def measure_memory(self, name):
        """Return the resident bytes of a node; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self._pids[name]}/status")
            lines = status.read_text().splitlines()
        except OSError:
            return 0
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        return 0

    def read_log(self, name):
        """Return what a node has logged."""
        return (self._path / f"{name}.log").read_text(errors="replace")

    def read_runs(self):
        """Return what the servers have noted, one object a line."""
        if not self.runs.exists():
            return []
        return [json.loads(line) for line in self.runs.open()]

    def stop(self):
        """End all processes that were started here."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self._processes:
            process.wait(10)
        self._directory.cleanup()


async def end_tasks(tasks):
    """Cancel tasks until all have ended.

    Python 3.11's `wait_for` may swallow a cancellation.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=0.2)


async def ask_ready(caller):
    """Ask a node on an open channel whether it is ready."""
    await caller.send(
        make_message("GET /currantwall/ready HTTP/1.1", [("Host", HOST)])
    )
    answer = await asyncio.wait_for(caller.read(), 1.0)
    return answer is not None and get_status(answer) == 200


def run(case, folder, configuration, servers, limits=None, **entries):
    """Run a case and exit as `run.sh` has to.

    Args:
        case: Coroutine function; gets the site and the record, returns
            whether the rule held.
        folder: Folder of the case.
        configuration: The first configuration.
        servers: Options of the servers.
        limits: Limits of each machine.
        entries: Numbers of entries of other writers in the store.
    """
    record = Record(folder)
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, 8192), hard))
    record.say(f"disruption: {'yes' if TROUBLE else 'no'}")
    site = None
    code = COULD_NOT_RUN
    try:
        site = Site(record, configuration, servers, limits, **entries)
        code = HELD if asyncio.run(case(site, record)) else BROKEN
    except Exception as error:
        record.say(f"could not run: {type(error).__name__}: {error}")
    finally:
        if site is not None:
            site.stop()
        record.say(
            {HELD: "held", BROKEN: "BROKEN", COULD_NOT_RUN: "no result"}[code]
        )
        record.save()
    sys.exit(code)

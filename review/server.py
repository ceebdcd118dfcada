"""Stand-in for a server behind the system: a plain service or an engine.

It registers in the store, answers requests and records in a file what it
runs. A body or a stream is written in parts; with `--unframed` every second
one has neither a length nor chunks and ends with its connection.

The whole body of a run follows from the request's id alone, so that a client
can tell it from a part of it (`make_body`, `make_events`).
"""

import argparse
import hashlib
import http.client
import http.server
import itertools
import json
import os
import threading
import time

HEARTBEAT = 1.2
BODY_BYTES = 800
EVENTS = 30
# Requests that wait for a slot at most, and seconds for which one waits.
QUEUE = 24
QUEUE_SECONDS = 1.0
# Seconds that a join takes, with the weights on the host.
JOIN_SECONDS = 0.2


def make_body(attempt: str) -> bytes:
    """Return the whole body of the answer to a request."""
    text = hashlib.sha256(attempt.encode()).hexdigest()
    return (text * (BODY_BYTES // len(text) + 1))[:BODY_BYTES].encode()


def make_event(attempt: str, number: int) -> bytes:
    """Return one event of the stream for a request."""
    digest = hashlib.sha256(f"{attempt} {number}".encode()).hexdigest()
    return f"id: {number}\ndata: {digest}\n\n".encode()


def make_events(attempt: str) -> bytes:
    """Return the whole stream for a request."""
    numbers = range(1, EVENTS + 1)
    return b"".join(make_event(attempt, number) for number in numbers)


class Server:
    """State of the server."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.id = options.id
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.beats = 0
        self.orders = 0
        self.group: dict | None = None
        self.lock = threading.Lock()
        self.slots = threading.BoundedSemaphore(options.slots)
        self.waiting = 0
        self.running = 0
        self.runs = itertools.count()
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(options.record, flags, 0o644)

    def take_slot(self) -> bool:
        """Wait for a slot; return whether there was one in time."""
        with self.lock:
            if self.waiting >= QUEUE:
                return False
            self.waiting += 1
        is_taken = self.slots.acquire(timeout=QUEUE_SECONDS)
        with self.lock:
            self.waiting -= 1
        return is_taken

    def record(self, event: str, **fields: object) -> None:
        """Append a line to the record."""
        line = {"at": time.monotonic(), "server": self.id, "event": event}
        os.write(self.file, json.dumps(line | fields).encode() + b"\n")

    # -- The store

    def describe(self) -> dict:
        """Return the entry of the server."""
        entry = {
            "service": self.options.service,
            "address": self.options.address,
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if self.options.domain:
            entry |= {
                "stage": "both",
                "models": [],
                "domain": self.options.domain,
                "staged": [self.options.model],
                "group": self.group,
            }
        return entry

    def write_entry(self) -> None:
        """Write the entry to the store, if that can be reached."""
        self.beats += 1
        host, _, port = self.options.store.rpartition(":")
        path = "/currantwall/objects/servers"
        body = {"metadata": {"name": self.id}, "spec": self.describe()}
        data = json.dumps(body).encode()
        headers = {"Content-Type": "application/json"}
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request("PUT", f"{path}/{self.id}", data, headers)
            answer = connection.getresponse()
            answer.read()
            if answer.status == 404:
                connection.request("POST", path, data, headers)
                connection.getresponse().read()
        except (OSError, http.client.HTTPException) as error:
            self.record("entry not written", why=str(error))
        finally:
            connection.close()

    def beat(self) -> None:
        """Write the entry at intervals, forever."""
        while True:
            self.write_entry()
            time.sleep(HEARTBEAT)

    # -- Orders

    def report(self) -> dict:
        """Return the answer to a call for a report."""
        return {
            "stage": "both",
            "models": [],
            "busy": False,
            "seq": self.orders,
            "waiting": 0,
            "running": 0,
            "born": self.born,
            "domain": self.options.domain,
            "staged": [self.options.model],
            "group": self.group,
        }

    def take_order(self, order: dict) -> int:
        """Carry out an order; return the status of the answer."""
        with self.lock:
            if order.get("precondition", self.orders) != self.orders:
                return 409
            status = self.apply(order)
            if status == 202:
                self.orders += 1
        if status == 202:
            self.record("order", order=order, group=self.group)
            threading.Thread(target=self.write_entry, daemon=True).start()
        return status

    def apply(self, order: dict) -> int:
        """Change the group as an order says."""
        operation = order.get("operation")
        group = self.group
        if operation == "stage":
            return 200
        if operation == "join":
            if group is not None and order["epoch"] < group["epoch"]:
                return 412
            self.group = {
                "name": order["group"],
                "epoch": order["epoch"],
                "rank": order["members"].index(self.id),
                "state": "joining",
            }
            joined = self.group
            threading.Timer(JOIN_SECONDS, self.end_join, [joined]).start()
            return 202
        if operation not in ("open", "close", "leave"):
            return 400
        named = order.get("group"), order.get("epoch")
        if group is None or (group["name"], group["epoch"]) != named:
            return 409
        if operation == "leave":
            self.group = None
        elif operation == "open":
            if group["state"] != "ready" or group["rank"] != 0:
                return 409
            self.group = {**group, "state": "open"}
        else:
            self.group = {**group, "state": "closing"}
            self.end_close()
        return 202

    def end_close(self) -> None:
        """Be ready again once no request runs; the lock is held."""
        group = self.group
        if group and group["state"] == "closing" and not self.running:
            self.group = {**group, "state": "ready"}

    def note_running(self, change: int) -> None:
        """Count the requests that run."""
        with self.lock:
            self.running += change
            self.end_close()

    def end_join(self, joined: dict) -> None:
        """Be ready, unless another order came meanwhile."""
        with self.lock:
            if self.group is not joined:
                return
            self.group = {**joined, "state": "ready"}
        self.write_entry()


class Handler(http.server.BaseHTTPRequestHandler):
    """One channel."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server_state: Server

    def log_message(self, *_: object) -> None:
        """Write no log."""

    def handle(self) -> None:
        """Serve a channel, which the other side may close at any time."""
        try:
            super().handle()
        except OSError:
            return

    def answer(self, status: int, body: object, **headers: str) -> None:
        """Send a short JSON answer."""
        data = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self) -> None:
        """Answer a request or a call of the system."""
        self.serve(b"")

    def do_POST(self) -> None:
        """Answer a request or an order."""
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            parts = []
            while length := int(self.rfile.readline(), 16):
                parts.append(self.rfile.read(length))
                self.rfile.readline()
            self.rfile.readline()
            self.serve(b"".join(parts))
            return
        length = int(self.headers.get("Content-Length", "0"))
        self.serve(self.rfile.read(length))

    def serve(self, body: bytes) -> None:
        """Answer one request."""
        state = self.server_state
        if self.path == "/control/drain":
            state.state = "draining"
            state.write_entry()
            state.record("drains")
            self.answer(200, {})
            return
        if self.headers.get("X-Expect-Instance", state.id) != state.id:
            self.answer(421, {}, X_Instance_Id=state.id)
            return
        if self.path == "/health":
            self.answer(200, {}, X_Instance_Id=state.id)
            return
        if self.path == "/currantwall/report":
            self.answer(200, state.report())
            return
        if self.path == "/currantwall/order":
            self.answer(state.take_order(json.loads(body)), {})
            return
        attempt = self.headers.get("X-Attempt-Id", "")
        if state.options.domain:
            group = state.group or {}
            if group.get("rank") != 0:
                self.answer(421, {}, X_Instance_Id=state.id)
                return
            is_open = group["state"] == "open"
        else:
            is_open = True
        if not is_open or not state.take_slot():
            self.answer(503, {}, X_Not_Executed="1", X_Attempt_Id=attempt)
            return
        state.note_running(1)
        try:
            self.run(attempt)
        finally:
            state.note_running(-1)
            state.slots.release()

    def run(self, attempt: str) -> None:
        """Run a request and write its answer in parts."""
        state = self.server_state
        number = next(state.runs)
        unframed = state.options.unframed and number % 2 == 0
        state.record(
            "run",
            attempt=attempt,
            tenant=self.headers.get("X-Tenant"),
            authorization=self.headers.get("Authorization"),
            after=self.headers.get("Last-Event-Id"),
            unframed=unframed,
        )
        self.send_response(200)
        self.send_header("X-Attempt-Id", attempt)
        if state.options.domain:
            self.stream(attempt, unframed)
        else:
            self.write_body(attempt, unframed)
        state.record("end", attempt=attempt)

    def write_body(self, attempt: str, unframed: bool) -> None:
        """Write a whole body in two parts."""
        body = make_body(attempt)
        digest = hashlib.sha256(body).hexdigest()
        self.send_header("X-Server-Seal", f"{self.server_state.id}.{digest}")
        if unframed:
            self.send_header("Connection", "close")
        else:
            self.send_header("Content-Length", str(len(body)))
        time.sleep(0.045)
        self.end_headers()
        self.wfile.write(body[: BODY_BYTES // 2])
        time.sleep(self.server_state.options.pause)
        self.wfile.write(body[BODY_BYTES // 2 :])

    def stream(self, attempt: str, unframed: bool) -> None:
        """Write the events after the one that the request names."""
        first = int(self.headers.get("Last-Event-Id") or "0") + 1
        self.send_header("X-Server-Seal", f"{self.server_state.id}.stream")
        self.send_header("Content-Type", "text/event-stream")
        if unframed:
            self.send_header("Connection", "close")
        else:
            self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(first, EVENTS + 1):
            time.sleep(self.server_state.options.pause)
            event = make_event(attempt, number)
            if not unframed:
                event = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            self.wfile.write(event)
        if not unframed:
            self.wfile.write(b"0\r\n\r\n")


class Listener(http.server.ThreadingHTTPServer):
    """Serves each channel in a thread."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_: object) -> None:
        """Ignore a channel that the other side has closed."""


def main() -> None:
    """Run the server."""
    parser = argparse.ArgumentParser()
    for name in ("id", "address", "store", "service", "zone", "record"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--domain", default="")
    parser.add_argument("--model", default="")
    parser.add_argument("--slots", type=int, default=6)
    parser.add_argument("--pause", type=float, default=0.1)
    parser.add_argument("--unframed", action="store_true")
    options = parser.parse_args()
    state = Handler.server_state = Server(options)
    host, _, port = options.address.rpartition(":")
    listener = Listener((host, int(port)), Handler)
    threading.Thread(target=state.beat, daemon=True).start()
    state.record("start")
    listener.serve_forever()


if __name__ == "__main__":
    main()

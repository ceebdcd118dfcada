"""A server of the users' platform: plain service or model engine.

It registers itself in the store, obeys orders as engines do and answers
requests. How it misbehaves is asked for in the request's path, so a test
reads in one place what happens: ``/hang/``, ``/hang-ID/`` (at one),
``/reset3/`` (after three events, unless resumed), ``/unframed/``,
``/slow/`` (half a second between events), ``/torn/``, ``/busy/``, ``/error/``,
``/mute/`` (not signed). What it ran is
told at ``/control/runs``, and written with each change of its seat to a
file where one is given, which outlives the process.
"""

from collections import abc
import os
import re
import socket
import struct
import time
import typing

import eventlet
import msgspec
import typer
import urllib3

from currantwall.state import routes
from currantwall.transport import ingress
from currantwall.transport import timers

__all__ = ["main"]

_RESET = re.compile(r"/reset(\d+)/")
_HEARTBEAT = 0.3
_EVENTS = 6
_EVENT_GAP = 0.02
_SLOW_GAP = 0.5
# Seconds a join takes, with and without the weights on the host.
_WARM = 0.1
_LOAD = 0.5
Reply = ingress.Reply


class _Upstream:
    """One server."""

    def __init__(
        self,
        instance: str,
        address: str,
        store: str,
        service: str,
        datacentre: str,
        domain: str,
        staged: str,
        record: str = "",
    ) -> None:
        self._id = instance
        self._address = address
        self._store = store
        self._service = service
        self._datacentre = datacentre
        self._domain = domain
        self._staged = [staged] if staged else []
        self._born = int(time.time() * 1000)
        self._orders = 0
        self._beats = 0
        self._group: dict[str, typing.Any] | None = None
        self._runs: list[dict[str, typing.Any]] = []
        self.state = "ready"
        self._record = -1
        if record:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
            self._record = os.open(record, flags, 0o644)
        self._note("start")

    def _note(self, what: str, **fields: typing.Any) -> None:
        """Write one line to the record, at once and whole."""
        if self._record < 0:
            return
        line = {"at": time.monotonic(), "what": what, **fields}
        os.write(self._record, msgspec.json.encode(line) + b"\n")

    def _note_seat(self) -> None:
        self._note("seat", seat=dict(self._group) if self._group else None)

    # -- Registration

    def run(self) -> None:
        """Write the entry for ever."""
        pool = urllib3.PoolManager(retries=False)
        base = f"http://{self._store}/currantwall/objects/servers"
        while True:
            self._beats += 1
            body = {"metadata": {"name": self._id}, "spec": self._describe()}
            data = msgspec.json.encode(body)
            try:
                response = pool.request("PUT", f"{base}/{self._id}", body=data)
                if response.status == 404:
                    pool.request("POST", base, body=data)
            except (urllib3.exceptions.HTTPError, OSError):
                # The store is away; the next heartbeat tells the same.
                eventlet.sleep(0)
            eventlet.sleep(_HEARTBEAT)

    def _describe(self) -> dict[str, typing.Any]:
        found: dict[str, typing.Any] = {
            "service": self._service,
            "address": self._address,
            "zone": self._datacentre,
            "slots": 4,
            "state": self.state,
            "seq": self._beats,
            "born": self._born,
        }
        if self._domain:
            found["domain"] = self._domain
            found["staged"] = self._staged
            found["group"] = self._group
        return found

    # -- Requests

    def serve(self, inbound: ingress.Inbound) -> Reply:
        """Answer a request, an order or a question."""
        path = inbound.path
        if path == "/control/runs":
            return _answer_json(200, self._runs)
        if path == "/control/drain":
            self.state = "draining"
            self._note("drain")
            return _answer_json(200, {})
        expected = inbound.headers.get("X-Expect-Instance", self._id)
        if expected != self._id:
            return Reply(
                status=421, headers=[("X-Not-Executed", "1")], body=b""
            )
        if path == "/currantwall/report":
            report = {"seq": self._orders, "staged": self._staged}
            report |= {"domain": self._domain, "group": self._group}
            return _answer_json(200, report)
        if path == "/currantwall/order":
            return self._obey(msgspec.json.decode(inbound.body))
        return self._run(inbound)

    def _run(self, inbound: ingress.Inbound) -> Reply:
        attempt = inbound.headers.get("X-Attempt-Id", "")
        open_ = self._group is not None and self._group["state"] == "open"
        if "/busy/" in inbound.path or (self._domain and not open_):
            headers = [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)]
            return Reply(status=503, headers=headers, body=b"")
        run = {
            "attempt": attempt,
            "method": inbound.method,
            "target": inbound.target,
            "body": inbound.body.decode("latin-1"),
            "tenant": inbound.headers.get("X-Tenant"),
            "key": inbound.headers.get("Authorization"),
            "after": inbound.headers.get("Last-Event-Id"),
            "seal": f"seal.{self._id}",
            "members": self._group["members"] if self._group else [],
        }
        self._runs.append(run)
        self._note("run", run=run, seat=self._group)
        if "/hang/" in inbound.path or f"/hang-{self._id}/" in inbound.path:
            eventlet.sleep(30.0)
        headers = [("X-Attempt-Id", attempt)]
        if "/mute/" not in inbound.path:
            headers.append(("X-Server-Seal", f"seal.{self._id}"))
        if self._domain:
            headers.append(("Content-Type", "text/event-stream"))
            return Reply(
                status=200, headers=headers, body=self._stream(inbound, run)
            )
        return self._answer(inbound, headers)

    def _answer(
        self, inbound: ingress.Inbound, headers: list[tuple[str, str]]
    ) -> Reply:
        status = 500 if "/error/" in inbound.path else 200
        body = f"{inbound.method} {inbound.target} ".encode() + inbound.body
        if "/unframed/" in inbound.path or "/torn/" in inbound.path:
            self._write_past(inbound, headers, body)
        return Reply(status=status, headers=headers, body=body)

    def _write_past(
        self,
        inbound: ingress.Inbound,
        headers: list[tuple[str, str]],
        body: bytes,
    ) -> typing.NoReturn:
        """Write an answer without a length that its end or a reset ends."""
        client = inbound.client
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
        head = f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode()
        client.sendall(head + body[:5])
        if "/torn/" in inbound.path:
            _reset(client)
        client.sendall(body[5:])
        client.shutdown(socket.SHUT_RDWR)
        raise ConnectionAbortedError("written past the server")

    def _stream(
        self, inbound: ingress.Inbound, run: dict[str, typing.Any]
    ) -> abc.Iterator[bytes]:
        """Yield events; the run tells how many were made."""
        attempt = inbound.headers.get("X-Attempt-Id", "")
        first = int(inbound.headers.get("Last-Event-Id", "0")) + 1
        match = _RESET.search(inbound.path)
        for number in range(first, _EVENTS + 1):
            breaks = match is not None and number == int(match[1]) + 1
            if breaks and first == 1:
                yield b"id: 9"
                _reset(inbound.client)
            slow = "/slow/" in inbound.path and number > first
            eventlet.sleep(_SLOW_GAP if slow else _EVENT_GAP)
            run["events"] = number
            yield f"id: {number}\ndata: {attempt} {number}\n\n".encode()

    # -- Orders

    def _obey(self, order: dict[str, typing.Any]) -> Reply:
        if order.get("precondition", self._orders) != self._orders:
            return _answer_json(409, {})
        status = self._carry_out(order)
        if status == 202:
            self._orders += 1
        return _answer_json(status, {})

    def _carry_out(self, order: dict[str, typing.Any]) -> int:
        what = order["operation"]
        if what == "stage":
            eventlet.spawn_after(_LOAD, self._stage, order["model"])
            return 202
        if what == "join":
            self._join(order)
            return 202
        group = self._group
        mine = group is not None and (group["name"], group["epoch"]) == (
            order["group"],
            order["epoch"],
        )
        if not mine or group is None:
            return 409
        if what == "leave":
            self._group = None
        elif what == "open":
            if group["state"] != "ready" or group["rank"]:
                return 409
            group["state"] = "open"
        elif what == "close":
            group["state"] = "ready"
        self._note_seat()
        return 202

    def _stage(self, model: str) -> None:
        self._staged = [model]

    def _join(self, order: dict[str, typing.Any]) -> None:
        rank = order["members"].index(self._id)
        group = {"name": order["group"], "epoch": order["epoch"]}
        group |= {"rank": rank, "state": "joining"}
        group["members"] = order["members"]
        self._group = group
        self._note_seat()
        staged = order["model"] in self._staged
        eventlet.spawn_after(_WARM if staged else _LOAD, self._end_join, group)

    def _end_join(self, group: dict[str, typing.Any]) -> None:
        if self._group is group and group["state"] == "joining":
            group["state"] = "ready"
            self._note_seat()


def _reset(client: typing.Any) -> typing.NoReturn:
    """Reset a connection."""
    linger = struct.pack("ii", 1, 0)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    raw = getattr(client, "fd", client)
    raw.close()
    raise ConnectionAbortedError("reset on purpose")


def _answer_json(status: int, body: typing.Any) -> Reply:
    headers = [("Content-Type", "application/json")]
    return Reply(
        status=status, headers=headers, body=msgspec.json.encode(body)
    )


def _serve(
    address: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    instance: typing.Annotated[str, typer.Option(help="Its id.")],
    store: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    service: typing.Annotated[str, typer.Option(help="Its service.")],
    datacentre: str = "a",
    domain: str = "",
    staged: str = "",
    advertised: typing.Annotated[
        str, typer.Option(help="HOST:PORT that it registers, if another.")
    ] = "",
    record: typing.Annotated[
        str, typer.Option(help="File for what it runs and which seat it has.")
    ] = "",
) -> None:
    """Run one stand-in server."""
    one = _Upstream(
        instance,
        advertised or address,
        store,
        service,
        datacentre,
        domain,
        staged,
        record,
    )
    shared = ingress.Ingress(one.serve, routes.Limits, timers.TimerService.now)
    eventlet.spawn(one.run)
    ingress.start_server(ingress.listen(address), shared).wait()


def main() -> None:
    """Run the command."""
    typer.run(_serve)

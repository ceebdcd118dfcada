"""The platform's store and the servers behind the nodes, in one process.

Gets its options as JSON in its first argument and prints the addresses as
one line of JSON. Each server appends a line to the file of runs when it
begins and ends to work on a request.

A call of `/crash/ID` at the address `control` ends a server for good: it
closes its channels, refuses new ones, and its entry goes three heartbeats
later.
`foreign` is a number of entries of another system's services that nothing
answers at, `unreadable` a number of entries of 1 MB that can't be read.

Options of a server: `id`, `service`, `zone`, `slots`, `work_ms`,
`answer_bytes`, `kind` (`plain`, or `stream` for 25 events 50 ms apart).
"""

import asyncio
import json
import sys
import time

import kit2

_HEARTBEAT_SECONDS = 1.2
_EVENTS = 25
_EVENT_GAP = 0.05
_PAGE_BYTES = 1_048_576
# What another writer left in an entry: a list of lists, and a string with half
# of a surrogate pair. Its encoding has 1 MB.
_UNREADABLE = {"note": "\ud800", "cells": [[]] * 345_000}


class Store:
    """The platform's store."""

    def __init__(self):
        self._objects = {}
        self._history = []
        self._revision = 100
        # Encodings of large objects, which are never changed.
        self._raw = {}
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, and return it."""
        self._revision += 1
        stored = {
            "metadata": {"name": name, "revision": self._revision},
            "spec": spec,
        }
        self._objects.setdefault(kind, {})[name] = stored
        self._note(kind, stored, False)
        return stored

    def _note(self, kind, stored, removed):
        self._history.append((self._revision, kind, stored, removed))
        del self._history[:-5000]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def remove(self, kind, name):
        """Remove an object, and return it; None if there is none."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._note(kind, stored, True)
        return stored

    async def answer(self, request):
        """Return status and body of a call."""
        method, target, _ = request.first.split(" ")
        path, _, text = target.partition("?")
        query = dict(
            item.partition("=")[::2] for item in text.split("&") if item
        )
        parts = path.split("/")[3:]
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._make_page(objects, query.get("after", ""))
        if method == "GET":
            return (200, objects[name]) if name in objects else (404, {})
        if method == "DELETE":
            removed = self.remove(kind, name)
            return (200, removed) if removed else (404, {})
        body = json.loads(request.body)
        if method == "POST":
            name = body["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, body.get("spec"))
        if name not in objects:
            return 404, {}
        known = objects[name]
        revision = body["metadata"].get("revision")
        if revision not in (None, known["metadata"]["revision"]):
            return 409, known
        if known["spec"] == body.get("spec"):
            return 200, known
        return 200, self.put(kind, name, body.get("spec"))

    def _make_page(self, objects, after):
        """Return a page of a list, as bytes."""
        items, size, has_more = [], 0, False
        for name in sorted(objects):
            if name <= after:
                continue
            raw = self._raw.get(id(objects[name]))
            if raw is None:
                raw = json.dumps(objects[name]).encode()
            if items and (size + len(raw) > _PAGE_BYTES or len(items) >= 500):
                has_more = True
                break
            items.append(raw)
            size += len(raw)
        more = b"true" if has_more else b"false"
        return b'{"items":[%s],"hasMore":%s,"asOf":%d}' % (
            b",".join(items),
            more,
            self._revision,
        )

    def put_large(self, kind, name, spec):
        """Write an object whose encoding is kept."""
        stored = self.put(kind, name, spec)
        text = json.dumps(stored, separators=(",", ":"))
        self._raw[id(stored)] = text.encode()

    async def _watch(self, kind, query):
        since = int(query["watch"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        if self._history and since < self._history[0][0] - 1:
            return 410, {}
        while True:
            events = [
                {"object": stored, "removed": removed}
                for revision, one, stored, removed in self._history
                if one == kind and revision > since
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "asOf": self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Server:
    """A server of a service."""

    def __init__(self, options, store, runs):
        self._options = options
        self._store = store
        self._runs = runs
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._task = None
        self._writers = set()
        self.address = ""

    async def start(self):
        """Listen, and register."""
        self._listener = await _listen(self.serve)
        self.address = _get_address(self._listener)
        self._task = asyncio.ensure_future(self.register())

    async def crash(self):
        """End the server; its entry goes after three heartbeats."""
        self._listener.close()
        self._task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        self._note("crash", "")
        await asyncio.sleep(3 * _HEARTBEAT_SECONDS)
        self._store.remove("servers", self._options["id"])

    def _note(self, what, attempt, **fields):
        line = {
            "at": time.monotonic(),
            "server": self._options["id"],
            "what": what,
            "attempt": attempt,
            **fields,
        }
        self._runs.write(json.dumps(line) + "\n")
        self._runs.flush()

    async def register(self):
        """Write the server's entry, again and again."""
        while True:
            self._sequence += 1
            entry = {
                "service": self._options["service"],
                "address": self.address,
                "zone": self._options.get("zone", "regina"),
                "version": "1",
                "slots": self._options.get("slots", 6),
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self._sequence,
                "born": self._born,
            }
            self._store.put("servers", self._options["id"], entry)
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def serve(self, reader, writer):
        """Serve a channel."""
        self._writers.add(writer)
        try:
            while True:
                request = await kit2.read_message(reader)
                if request is None or not await self._answer(
                    request, reader, writer
                ):
                    return
        except (OSError, EOFError, ValueError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader, writer):
        """Answer a request; return whether the channel goes on."""
        attempt = request.get("X-Attempt-Id")
        path = request.first.split(" ")[1]
        expected = request.get("X-Expect-Instance", self._options["id"])
        headers = [
            ("X-Attempt-Id", attempt),
            ("X-Instance-Id", self._options["id"]),
        ]
        if path.startswith("/currantwall/"):
            writer.write(kit2.make_message("HTTP/1.1 404 Not Found", []))
            return True
        if expected != self._options["id"]:
            headers.append(("X-Not-Executed", "1"))
            line = "HTTP/1.1 421 Misdirected Request"
            writer.write(kit2.make_message(line, headers))
            return True
        if path == "/health":
            writer.write(kit2.make_message("HTTP/1.1 200 OK", headers))
            return True
        self._note("run", attempt)
        headers.append(("X-Server-Seal", f"{self._options['id']}.1"))
        if self._options.get("kind") == "stream":
            await self._answer_stream(headers, writer, attempt)
        else:
            gone = asyncio.ensure_future(reader.read(1))
            work = self._options.get("work_ms", 45) / 1000
            done, _ = await asyncio.wait([gone], timeout=work)
            if done:
                self._note("end", attempt, closed=True)
                return False
            gone.cancel()
            await asyncio.gather(gone, return_exceptions=True)
            body = b"a" * self._options.get("answer_bytes", 800)
            writer.write(kit2.make_message("HTTP/1.1 200 OK", headers, body))
            await writer.drain()
        self._note("end", attempt, closed=False)
        return True

    async def _answer_stream(self, headers, writer, attempt):
        writer.write(_make_stream_head(headers))
        for number in range(1, _EVENTS + 1):
            await asyncio.sleep(_EVENT_GAP)
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


def _make_stream_head(headers):
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        *(f"{name}: {value}" for name, value in headers),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def main():
    """Run store and servers until the process is killed."""
    options = json.loads(sys.argv[1])
    store = Store()

    async def serve_store(reader, writer):
        try:
            while True:
                request = await kit2.read_message(reader)
                if request is None:
                    return
                status, body = await store.answer(request)
                headers = [
                    ("Content-Type", "application/json"),
                    ("Store-Era", "1"),
                ]
                data = body
                if not isinstance(body, bytes):
                    data = json.dumps(body).encode()
                line = f"HTTP/1.1 {status} S"
                writer.write(kit2.make_message(line, headers, data))
                await writer.drain()
        except (OSError, EOFError, ValueError):
            return
        finally:
            writer.close()

    addresses = {}
    listeners = [await _listen(serve_store)]
    addresses["store"] = _get_address(listeners[0])
    store.put("config", "main", options["configuration"])
    for number in range(options.get("foreign", 0)):
        store.put("servers", f"x-{number:03}", _make_foreign_entry(number))
    for number in range(options.get("unreadable", 0)):
        store.put_large("servers", f"u-{number}", _UNREADABLE)
    runs = open(options["runs"], "a")  # noqa: SIM115
    servers = {}
    for one in options["servers"]:
        server = servers[one["id"]] = Server(one, store, runs)
        await server.start()
        addresses[one["id"]] = server.address

    async def control(reader, writer):
        request = await kit2.read_message(reader)
        name = request.first.split(" ")[1].rpartition("/")[2]
        crashes.append(asyncio.ensure_future(servers[name].crash()))
        writer.write(kit2.make_message("HTTP/1.1 200 OK", []))
        await writer.drain()
        writer.close()

    crashes = []
    listeners.append(await _listen(control))
    addresses["control"] = _get_address(listeners[1])
    print(json.dumps(addresses), flush=True)
    await asyncio.Event().wait()


async def _listen(handler):
    return await asyncio.start_server(
        handler, "127.0.0.1", 0, backlog=1024, limit=1 << 23
    )


def _get_address(listener):
    host, port = listener.sockets[0].getsockname()
    return f"{host}:{port}"


def _make_foreign_entry(number):
    """Return an entry of a service that the configuration does not name."""
    return {
        "service": f"other-{number:03}",
        "address": f"127.77.{number // 200}.{number % 200 + 1}:9",
        "zone": "regina",
        "version": "1",
        "slots": 6,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": 1,
        "born": int(time.time() * 1000),
    }


if __name__ == "__main__":
    asyncio.run(main())

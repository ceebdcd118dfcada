"""Stand-in for the platform's metadata store.

It holds objects by kind and name, gives each change a revision and answers
the calls that PROTOCOL names. It keeps objects as JSON values of Python, so
that a string with an unpaired surrogate stays as its writer wrote it.
"""

import argparse
import http.server
import json
import threading
import time
import urllib.parse

PREFIX = "/currantwall/objects/"
# Heartbeat intervals of silence after which a server's entry is removed.
SILENT_INTERVALS = 3
# Items and bytes after which a page of a list ends.
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000


class Store:
    """Objects, revisions and the history of changes."""

    def __init__(self, heartbeat: float) -> None:
        self.lapse = SILENT_INTERVALS * heartbeat
        self.changed = threading.Condition()
        self.revision = 1
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[int, str, bool, dict]] = []
        self.heard: dict[str, float] = {}

    def note(self, kind: str, item: dict, removed: bool) -> None:
        """Give a change a revision; the lock is held."""
        self.revision += 1
        item["metadata"]["revision"] = self.revision
        key = kind, item["metadata"]["name"]
        if removed:
            self.objects.pop(key, None)
        else:
            self.objects[key] = item
        self.history.append((self.revision, kind, removed, item))
        self.changed.notify_all()

    def write(self, kind: str, name: str, body: dict, create: bool) -> tuple:
        """Create or replace an object; return a status and a body."""
        with self.changed:
            old = self.objects.get((kind, name))
            if create and old is not None:
                return 409, old
            if not create and old is None:
                return 404, {}
            wanted = body.get("metadata", {}).get("revision")
            revision = old["metadata"]["revision"] if old else None
            if old is not None and wanted not in (None, revision):
                return 409, old
            spec = body.get("spec")
            if kind == "servers":
                self.heard[name] = time.monotonic()
                if old is not None and is_same_entry(old["spec"], spec):
                    return 200, old
            if old is not None and old["spec"] == spec:
                return 200, old
            created = old["metadata"]["created"] if old else self.revision + 1
            metadata = {
                "name": name,
                "created": created,
                "finalizers": [],
                "deleting": False,
            }
            item = {"metadata": metadata, "spec": spec, "status": None}
            self.note(kind, item, removed=False)
            return 200, item

    def delete(self, kind: str, name: str) -> tuple:
        """Remove an object."""
        with self.changed:
            old = self.objects.get((kind, name))
            if old is None:
                return 404, {}
            self.note(kind, json.loads(json.dumps(old)), removed=True)
            return 200, old

    def list(self, kind: str, after: str) -> dict:
        """Return all objects of a kind after a name."""
        with self.changed:
            items = [
                item
                for (one, name), item in sorted(self.objects.items())
                if one == kind and name > after
            ]
            count = size = 0
            while count < min(len(items), PAGE_ITEMS) and size < PAGE_BYTES:
                size += len(json.dumps(items[count]))
                count += 1
            return {
                "items": items[:count],
                "hasMore": count < len(items),
                "asOf": self.revision,
            }

    def watch(self, kind: str, since: int, wait: float) -> dict:
        """Return the changes after a revision, as soon as there is one."""
        until = time.monotonic() + wait
        with self.changed:
            while True:
                events = [
                    {"object": item, "removed": removed}
                    for revision, one, removed, item in self.history
                    if one == kind and revision > since
                ]
                left = until - time.monotonic()
                if events or left <= 0:
                    return {"events": events, "asOf": self.revision}
                self.changed.wait(left)

    def expire(self) -> None:
        """Remove the entries of silent servers, forever."""
        while True:
            time.sleep(0.1)
            limit = time.monotonic() - self.lapse
            with self.changed:
                silent = [
                    name for name, at in self.heard.items() if at < limit
                ]
                for name in silent:
                    del self.heard[name]
            for name in silent:
                self.delete("servers", name)


def is_same_entry(old: object, new: object) -> bool:
    """Return whether two entries of a server differ in `seq` alone."""
    if not isinstance(old, dict) or not isinstance(new, dict):
        return False
    return {**old, "seq": 0} == {**new, "seq": 0}


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection of a caller of the store."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    store: Store

    def log_message(self, *_: object) -> None:
        """Write no log."""

    def answer(self, status: int, body: object) -> None:
        """Send a JSON answer."""
        data = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Store-Era", "1")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def parse(self) -> tuple[str, str, dict[str, str]]:
        """Return kind, name and query of the request."""
        url = urllib.parse.urlsplit(self.path)
        rest = url.path.removeprefix(PREFIX)
        kind, _, name = rest.partition("/")
        query = dict(urllib.parse.parse_qsl(url.query))
        return kind, urllib.parse.unquote(name), query

    def read_body(self) -> dict:
        """Return the decoded body."""
        length = int(self.headers.get("Content-Length", "0"))
        return json.loads(self.rfile.read(length) or b"{}")

    def do_GET(self) -> None:
        """List, watch or get."""
        kind, name, query = self.parse()
        if name:
            found = self.store.objects.get((kind, name))
            self.answer(200 if found else 404, found or {})
        elif "watch" in query:
            wait = int(query.get("waitMs", "0")) / 1000
            changes = self.store.watch(kind, int(query["watch"]), wait)
            self.answer(200, changes)
        else:
            self.answer(200, self.store.list(kind, query.get("after", "")))

    def do_POST(self) -> None:
        """Create."""
        kind, _, _ = self.parse()
        body = self.read_body()
        name = body["metadata"]["name"]
        self.answer(*self.store.write(kind, name, body, create=True))

    def do_PUT(self) -> None:
        """Replace."""
        kind, name, _ = self.parse()
        body = self.read_body()
        self.answer(*self.store.write(kind, name, body, create=False))

    def do_DELETE(self) -> None:
        """Remove."""
        kind, name, _ = self.parse()
        self.answer(*self.store.delete(kind, name))


class Listener(http.server.ThreadingHTTPServer):
    """Serves each connection in a thread."""

    daemon_threads = True
    request_queue_size = 128


def main() -> None:
    """Serve the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--heartbeat", type=float, default=1.2)
    options = parser.parse_args()
    host, _, port = options.address.rpartition(":")
    Handler.store = Store(options.heartbeat)
    threading.Thread(target=Handler.store.expire, daemon=True).start()
    Listener((host, int(port)), Handler).serve_forever()


if __name__ == "__main__":
    main()

"""A stand-in for the object API of the users' platform.

It serves the same store as `standins.platform`, which has the product's
own interface: objects with revisions, conditional writes and watches by
long poll. Faults can be injected: an outage, latency, lost answers, a lost
history of changes, and a return from an older copy.
"""

import http
import typing

import eventlet
import eventlet.event
import msgspec

from currantwall.state import objects
from currantwall.transport import server
from standins import store as store_module

__all__ = ["ObjectApiFaults", "ObjectApiHandlers"]

_KIND_PATH = r"/currantwall/objects/(?P<kind>[^/]+)"
_OBJECT_PATH = _KIND_PATH + r"/(?P<name>[^/]+)"
_ERA_HEADER = "Store-Era"
Response = server.Response


class ObjectApiFaults(msgspec.Struct):
    """Faults that the API injects.

    They do not affect a DELETE, nor a PUT of an object that does not exist.

    Attributes:
        down: Whether every call is answered 503.
        lose_writes: Number of writes to apply and then answer 500, as if
            the answer were lost.
        delay: Seconds added to each answer.
    """

    down: bool = False
    lose_writes: int = 0
    delay: float = 0.0


class ObjectApiHandlers(server.Handlers):
    """The platform's object API."""

    def __init__(self, store: store_module.Store) -> None:
        self._store = store
        self._faults = ObjectApiFaults()
        self._changed = eventlet.event.Event()

    @server.route("GET", _KIND_PATH)
    def list_objects(self, request: server.Request) -> Response:
        """Return the objects of a kind, or with `watch` their changes."""
        failed = self._apply_faults()
        if failed is not None:
            return failed
        kind = request.path_params["kind"]
        if "watch" in request.query:
            return self._watch(kind, request.query)
        items = [
            _encode_object(stored) for stored in self._store.select({kind})
        ]
        return self._make_answer(
            {"items": items, "hasMore": False, "asOf": self._store.revision}
        )

    def _watch(self, kind: str, query: dict[str, str]) -> Response:
        since = int(query["watch"])
        remaining = int(query["waitMs"]) / 1000.0
        while True:
            found = self._store.select_events({kind}, since)
            if found is None:
                return self._make_failure(http.HTTPStatus.GONE)
            if found or remaining <= 0:
                break
            before = eventlet.hubs.get_hub().clock()
            with eventlet.Timeout(remaining, False):
                self._changed.wait()
            remaining -= eventlet.hubs.get_hub().clock() - before
        events = [
            {"object": _encode_object(stored), "removed": not stored.value}
            for stored in found
        ]
        return self._make_answer(
            {"events": events, "asOf": self._store.revision}
        )

    @server.route("GET", _OBJECT_PATH)
    def read_object(self, request: server.Request) -> Response:
        """Return one object."""
        failed = self._apply_faults()
        if failed is not None:
            return failed
        stored = self._store.get(_make_key(request))
        if stored is None:
            return self._make_failure(http.HTTPStatus.NOT_FOUND)
        return self._make_answer(_encode_object(stored))

    @server.route("POST", _KIND_PATH)
    def create_object(self, request: server.Request) -> Response:
        """Create an object, named in its metadata."""
        body = msgspec.json.decode(request.body)
        name = body["metadata"]["name"]
        key = objects.ObjectKey(request.path_params["kind"], name)
        return self._write(key, body["spec"], 0)

    @server.route("PUT", _OBJECT_PATH)
    def replace_object(self, request: server.Request) -> Response:
        """Replace an object, if it has the given revision (if any)."""
        body = msgspec.json.decode(request.body)
        key = _make_key(request)
        current = self._store.get(key)
        if current is None:
            return self._make_failure(http.HTTPStatus.NOT_FOUND)
        revision = body["metadata"].get("revision", current.version)
        return self._write(key, body["spec"], revision)

    @server.route("DELETE", _OBJECT_PATH)
    def delete_object(self, request: server.Request) -> Response:
        """Remove an object."""
        key = _make_key(request)
        current = self._store.get(key)
        if current is None:
            return self._make_failure(http.HTTPStatus.NOT_FOUND)
        self._store.write(key, b"", current.version)
        self._wake_watches()
        return self._make_answer(_encode_object(current))

    def _write(
        self, key: objects.ObjectKey, spec: typing.Any, expected: int
    ) -> Response:
        failed = self._apply_faults()
        if failed is not None:
            return failed
        value = msgspec.json.encode(spec)
        current = self._store.get(key)
        if current is not None and current.value == value and expected:
            return self._make_answer(_encode_object(current))
        version = self._store.write(key, value, expected)
        if version is None:
            if current is None:
                return self._make_failure(http.HTTPStatus.NOT_FOUND)
            conflicting = _encode_object(current)
            return self._make_answer(conflicting, http.HTTPStatus.CONFLICT)
        self._wake_watches()
        if self._faults.lose_writes > 0:
            self._faults.lose_writes -= 1
            return self._make_failure(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        stored = self._store.get(key)
        assert stored is not None
        return self._make_answer(_encode_object(stored))

    def _apply_faults(self) -> Response | None:
        """Add the delay that is set; return a 503 while the API is down."""
        if self._faults.delay:
            eventlet.sleep(self._faults.delay)
        if self._faults.down:
            return self._make_failure(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return None

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)

    def _make_answer(
        self, body: typing.Any, status: http.HTTPStatus = http.HTTPStatus.OK
    ) -> Response:
        headers = (
            ("Content-Type", "application/json"),
            (_ERA_HEADER, str(self._store.era)),
        )
        return Response(status, headers, msgspec.json.encode(body))

    def _make_failure(self, status: http.HTTPStatus) -> Response:
        return Response(status, ((_ERA_HEADER, str(self._store.era)),))

    @server.route("POST", r"/control/copy")
    def copy(self, request: server.Request) -> Response:
        """Copy the store."""
        self._store.copy()
        return Response(http.HTTPStatus.OK, ())

    @server.route("POST", r"/control/restore")
    def restore(self, request: server.Request) -> Response:
        """Have the store come back from its last copy."""
        self._store.restore()
        self._wake_watches()
        return Response(http.HTTPStatus.OK, ())

    @server.route("POST", r"/control/forget")
    def forget(self, request: server.Request) -> Response:
        """Drop the history; watches from earlier revisions get a 410."""
        self._store.forget()
        self._wake_watches()
        return Response(http.HTTPStatus.OK, ())

    @server.route("POST", r"/control/objectapi")
    def set_faults(self, request: server.Request) -> Response:
        """Set the faults to inject."""
        self._faults = msgspec.json.decode(request.body, type=ObjectApiFaults)
        return Response(http.HTTPStatus.OK, ())


def _make_key(request: server.Request) -> objects.ObjectKey:
    return objects.ObjectKey(
        request.path_params["kind"], request.path_params["name"]
    )


def _encode_object(stored: objects.Stored) -> dict[str, typing.Any]:
    metadata = {"name": stored.key.name, "revision": stored.version}
    spec = msgspec.Raw(stored.value or b"null")
    return {"metadata": metadata, "spec": spec}

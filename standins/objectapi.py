"""The object API as the users' platform speaks it.

It serves the same store as the product's own interface: objects with
revisions, conditional writes and watches. Faults can be set: down, slow,
losing answers, forgetting its history.
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

_PATH = r"/currantwall/objects/(?P<kind>[^/]+)"
_NAMED = _PATH + r"/(?P<name>[^/]+)"
Response = server.Response


class ObjectApiFaults(msgspec.Struct):
    """How the API misbehaves.

    Attributes:
        down: Whether every call is answered 503.
        lose_writes: Writes to carry out whose answer is then lost.
        delay: Seconds by which each answer is late.
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

    @server.route("GET", _PATH)
    def list_objects(self, request: server.Request) -> Response:
        """Return the objects of a kind, or what changed of them."""
        failed = self._begin()
        if failed is not None:
            return failed
        kind = request.path_params["kind"]
        if "watch" in request.query:
            return self._watch(kind, request.query)
        items = [_show(one) for one in self._store.select({kind})]
        return _answer(
            {"items": items, "hasMore": False, "asOf": self._store.revision}
        )

    def _watch(self, kind: str, query: dict[str, str]) -> Response:
        since = int(query["watch"])
        left = int(query["waitMs"]) / 1000.0
        while True:
            found = self._store.select_events({kind}, since)
            if found is None:
                return _fail(http.HTTPStatus.GONE)
            if found or left <= 0:
                break
            before = eventlet.hubs.get_hub().clock()
            with eventlet.Timeout(left, False):
                self._changed.wait()
            left -= eventlet.hubs.get_hub().clock() - before
        events = [
            {"object": _show(one), "removed": not one.value} for one in found
        ]
        return _answer({"events": events, "asOf": self._store.revision})

    @server.route("GET", _NAMED)
    def read_object(self, request: server.Request) -> Response:
        """Return one object."""
        failed = self._begin()
        if failed is not None:
            return failed
        stored = self._store.get(_make_key(request))
        if stored is None:
            return _fail(http.HTTPStatus.NOT_FOUND)
        return _answer(_show(stored))

    @server.route("POST", _PATH)
    def create_object(self, request: server.Request) -> Response:
        """Create an object, named in its metadata."""
        body = msgspec.json.decode(request.body)
        name = body["metadata"]["name"]
        key = objects.ObjectKey(request.path_params["kind"], name)
        return self._write(key, body["spec"], 0)

    @server.route("PUT", _NAMED)
    def replace_object(self, request: server.Request) -> Response:
        """Replace an object, on its condition if there is one."""
        body = msgspec.json.decode(request.body)
        key = _make_key(request)
        held = self._store.get(key)
        if held is None:
            return _fail(http.HTTPStatus.NOT_FOUND)
        revision = body["metadata"].get("revision", held.version)
        return self._write(key, body["spec"], revision)

    @server.route("DELETE", _NAMED)
    def delete_object(self, request: server.Request) -> Response:
        """Remove an object."""
        key = _make_key(request)
        held = self._store.get(key)
        if held is None:
            return _fail(http.HTTPStatus.NOT_FOUND)
        self._store.write(key, b"", held.version)
        self._tell()
        return _answer(_show(held))

    def _write(
        self, key: objects.ObjectKey, spec: typing.Any, expected: int
    ) -> Response:
        failed = self._begin()
        if failed is not None:
            return failed
        value = msgspec.json.encode(spec)
        held = self._store.get(key)
        if held is not None and held.value == value and expected:
            return _answer(_show(held))
        done = self._store.write(key, value, expected)
        if done is None:
            if held is None:
                return _fail(http.HTTPStatus.NOT_FOUND)
            shown = _show(held)
            return _answer(shown, http.HTTPStatus.CONFLICT)
        self._tell()
        if self._faults.lose_writes > 0:
            self._faults.lose_writes -= 1
            return _fail(http.HTTPStatus.INTERNAL_SERVER_ERROR)
        stored = self._store.get(key)
        assert stored is not None
        return _answer(_show(stored))

    def _begin(self) -> Response | None:
        """Wait as set; return the failure while the API is down."""
        if self._faults.delay:
            eventlet.sleep(self._faults.delay)
        if self._faults.down:
            return _fail(http.HTTPStatus.SERVICE_UNAVAILABLE)
        return None

    def _tell(self) -> None:
        changed, self._changed = self._changed, eventlet.event.Event()
        changed.send(None)

    @server.route("POST", r"/control/forget")
    def forget(self, request: server.Request) -> Response:
        """Drop the history; watches from before it are told so."""
        self._store.forget()
        self._tell()
        return Response(http.HTTPStatus.OK, ())

    @server.route("POST", r"/control/objectapi")
    def set_faults(self, request: server.Request) -> Response:
        """Set how the API misbehaves."""
        self._faults = msgspec.json.decode(request.body, type=ObjectApiFaults)
        return Response(http.HTTPStatus.OK, ())


def _make_key(request: server.Request) -> objects.ObjectKey:
    return objects.ObjectKey(
        request.path_params["kind"], request.path_params["name"]
    )


def _show(stored: objects.Stored) -> dict[str, typing.Any]:
    metadata = {"name": stored.key.name, "revision": stored.version}
    spec = msgspec.Raw(stored.value or b"null")
    return {"metadata": metadata, "spec": spec}


def _answer(
    body: typing.Any, status: http.HTTPStatus = http.HTTPStatus.OK
) -> Response:
    headers = (("Content-Type", "application/json"),)
    return Response(status, headers, msgspec.json.encode(body))


def _fail(status: http.HTTPStatus) -> Response:
    return Response(status, ())

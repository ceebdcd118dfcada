"""A stand-in platform: an object API with watches, and an instance list.

Objects take their versions from one increasing revision, updates are
conditional, and a deletion leaves only its event. The instance list lags
behind: an instance stays listed until its port has accepted no connection
for as long as the lag. Faults are set at ``POST /control/faults``.
"""

import collections
import http
import pathlib
import socket
import time
import typing

import eventlet
import eventlet.event
import msgspec
import typer

from currantwall.protocol import http as http_protocol
from currantwall.protocol import platform
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import settings
from currantwall.transport import server
from standins import objectapi
from standins import process
from standins import store as store_module

__all__ = ["Faults", "PlatformHandlers", "main"]

Response = http_protocol.Response
# Seconds between two connections to an instance's port, and for each.
_CHECK_INTERVAL = 0.5
_CHECK_TIMEOUT = 0.3


class Faults(msgspec.Struct):
    """Faults that the platform injects.

    Attributes:
        down: Whether every call is answered 503.
        lose_writes: Number of writes to apply and then answer 500, as if
            the answer were lost.
        delay: Seconds added to each answer.
    """

    down: bool = False
    lose_writes: int = 0
    delay: float = 0.0


class InstanceList:
    """The list of instances whose port accepts connections.

    Args:
        lag: Seconds that an instance which is gone stays listed.
    """

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._known: dict[str, instances.Instance] = {}
        self._versions: dict[str, int] = {}
        self._reached_at: dict[str, float] = {}
        self._listed: set[str] = set()
        self.revision = 0

    def put(self, instance: instances.Instance) -> None:
        """Add an instance or replace its entry."""
        self._known[instance.id] = instance
        if instance.id in self._listed:
            self._update_version(instance.id)

    def remove(self, name: str) -> None:
        """Remove an instance."""
        self._known.pop(name, None)
        self._unlist(name)

    def select(self) -> platform.Instances:
        """Return the list."""
        found = [
            platform.Listed(self._versions[name], self._known[name])
            for name in sorted(self._listed)
        ]
        return platform.Instances(self.revision, found)

    def run(self) -> None:
        """Check the port of each instance periodically, without end."""
        while True:
            for instance in list(self._known.values()):
                eventlet.spawn_n(self._check_port, instance)
            self._expire(time.monotonic())
            eventlet.sleep(_CHECK_INTERVAL)

    def _check_port(self, instance: instances.Instance) -> None:
        address = settings.split_address(instance.address)
        try:
            socket.create_connection(address, _CHECK_TIMEOUT).close()
        except OSError:
            return
        if instance.id not in self._known:
            return
        self._reached_at[instance.id] = time.monotonic()
        if instance.id not in self._listed:
            self._listed.add(instance.id)
            self._update_version(instance.id)

    def _expire(self, now: float) -> None:
        for name in list(self._listed):
            if now - self._reached_at.get(name, 0.0) > self._lag:
                self._unlist(name)

    def _unlist(self, name: str) -> None:
        if name in self._listed:
            self._listed.discard(name)
            self.revision += 1

    def _update_version(self, name: str) -> None:
        self.revision += 1
        self._versions[name] = self.revision


class PlatformHandlers(server.Handlers):
    """The platform's HTTP interface."""

    def __init__(
        self, store: store_module.Store, listed: InstanceList
    ) -> None:
        self._store = store
        self._listed = listed
        self._faults = Faults()
        self._changed = eventlet.event.Event()
        self._calls: collections.Counter[str] = collections.Counter()

    # -- Objects

    @server.route("GET", r"/v1/objects")
    def list_objects(self, request: server.Request) -> Response:
        """Return all objects of some kinds."""
        failed = self._begin_call("list")
        if failed is not None:
            return failed
        kinds = set(request.query["kinds"].split(","))
        return self._make_listing(self._store.select(kinds))

    @server.route("GET", r"/v1/objects/(?P<kind>[^/]+)/(?P<name>[^/]+)")
    def read_object(self, request: server.Request) -> Response:
        """Return one object."""
        failed = self._begin_call("read")
        if failed is not None:
            return failed
        stored = self._store.get(_make_key(request))
        if stored is None:
            return Response(http.HTTPStatus.NOT_FOUND, ())
        headers = (("Object-Version", str(stored.version)),)
        return Response(http.HTTPStatus.OK, headers, stored.value)

    @server.route("PUT", r"/v1/objects/(?P<kind>[^/]+)/(?P<name>[^/]+)")
    def write_object(self, request: server.Request) -> Response:
        """Store one object if it has the expected version."""
        return self._write(request, request.body)

    @server.route("DELETE", r"/v1/objects/(?P<kind>[^/]+)/(?P<name>[^/]+)")
    def delete_object(self, request: server.Request) -> Response:
        """Delete one object if it has the expected version."""
        return self._write(request, b"")

    def _write(self, request: server.Request, value: bytes) -> Response:
        is_claim = request.path_params["kind"] == objects.Kind.CLAIMS.value
        failed = self._begin_call("claim" if is_claim else "write")
        if failed is not None:
            return failed
        expected = int(request.query["expected"])
        version = self._store.write(_make_key(request), value, expected)
        if version is not None:
            changed, self._changed = self._changed, eventlet.event.Event()
            changed.send(None)
        if self._faults.lose_writes > 0:
            self._faults.lose_writes -= 1
            return Response(http.HTTPStatus.INTERNAL_SERVER_ERROR, ())
        if version is None:
            return Response(platform.CONFLICT, ())
        headers = (("Object-Version", str(version)),)
        return Response(http.HTTPStatus.OK, headers)

    @server.route("GET", r"/v1/watch")
    def watch_objects(self, request: server.Request) -> Response:
        """Return the changes after a revision (long poll)."""
        failed = self._begin_call("watch")
        if failed is not None:
            return failed
        kinds = set(request.query["kinds"].split(","))
        since = int(request.query["since"])
        deadline = time.monotonic() + float(request.query["timeout"])
        while True:
            found = self._store.select_events(kinds, since)
            if found is None:
                return Response(platform.GONE, ())
            remaining = deadline - time.monotonic()
            if found or remaining <= 0 or self._faults.down:
                return self._make_listing(found)
            with eventlet.Timeout(remaining, False):
                self._changed.wait()

    def _make_listing(self, stored: list[objects.Stored]) -> Response:
        body = platform.encode_listing(self._store.revision, stored)
        return Response(http.HTTPStatus.OK, (), body)

    # -- Instances

    @server.route("GET", r"/v1/instances")
    def list_instances(self, request: server.Request) -> Response:
        """Return the instance list."""
        failed = self._begin_call("instances")
        if failed is not None:
            return failed
        if request.query.get("since") == str(self._listed.revision):
            return Response(platform.NOT_MODIFIED, ())
        return http_protocol.make_json(self._listed.select())

    # -- Control

    @server.route("POST", r"/control/faults")
    def set_faults(self, request: server.Request) -> Response:
        """Set the faults to inject."""
        self._faults = msgspec.json.decode(request.body, type=Faults)
        return Response(http.HTTPStatus.OK, ())

    @server.route("PUT", r"/control/instances/(?P<name>[^/]+)")
    def put_instance(self, request: server.Request) -> Response:
        """Add an instance or replace its entry."""
        kind = instances.Instance
        self._listed.put(msgspec.json.decode(request.body, type=kind))
        return Response(http.HTTPStatus.OK, ())

    @server.route("DELETE", r"/control/instances/(?P<name>[^/]+)")
    def remove_instance(self, request: server.Request) -> Response:
        """Remove an instance from the list."""
        self._listed.remove(request.path_params["name"])
        return Response(http.HTTPStatus.OK, ())

    @server.route("GET", r"/control/calls")
    def show_calls(self, request: server.Request) -> Response:
        """Return how often each kind of call was made."""
        return http_protocol.make_json(dict(self._calls))

    def _begin_call(self, kind: str) -> Response | None:
        """Count a call and apply the faults; return a 503 while down."""
        self._calls[kind] += 1
        if self._faults.delay:
            eventlet.sleep(self._faults.delay)
        if self._faults.down:
            return Response(http.HTTPStatus.SERVICE_UNAVAILABLE, ())
        return None


def _make_key(request: server.Request) -> objects.ObjectKey:
    return objects.ObjectKey(
        request.path_params["kind"], request.path_params["name"]
    )


def _serve(
    address: typing.Annotated[str, typer.Option(help="HOST:PORT")],
    instances_file: typing.Annotated[
        pathlib.Path, typer.Option(help="JSON list of instances.")
    ],
    lag: typing.Annotated[
        float, typer.Option(help="Lag of the list, in seconds.")
    ] = 2.0,
) -> None:
    """Run the stand-in platform."""
    listed = InstanceList(lag)
    kind = list[instances.Instance]
    for instance in msgspec.json.decode(
        instances_file.read_bytes(), type=kind
    ):
        listed.put(instance)
    eventlet.spawn(listed.run)
    store = store_module.Store()
    process.serve(
        address,
        PlatformHandlers(store, listed),
        objectapi.ObjectApiHandlers(store),
    )


def main() -> None:
    """Run the command."""
    typer.run(_serve)

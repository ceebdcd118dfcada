"""Client of the platform.

Each call runs in a green thread of its own, and its result is passed to
the node as a message.
"""

from collections import abc

import eventlet
import msgspec
import urllib3

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.protocol import platform
from currantwall.state import ids
from currantwall.state import numbers
from currantwall.state import objects
from currantwall.state import settings as settings_module
from currantwall.transport import coordinator
from currantwall.transport import metrics

__all__ = ["PlatformClient"]

Status = messages.PlatformStatus
Tell = abc.Callable[[part.Message], None]

_NOT_FOUND = 404
# Connections that are kept open.
_POOL_SIZE = 16
# Seconds that a watch's answer may take beyond the watch timeout.
_WATCH_SLACK = 5.0
_KINDS = ",".join(kind.value for kind in objects.WATCHED)


class PlatformClient:
    """Owns the connections to the platform."""

    def __init__(
        self,
        settings: settings_module.PlatformSection,
        meter: metrics.Metrics,
        tell: Tell,
    ) -> None:
        self._settings = settings
        self._meter = meter
        self._tell = tell
        self._pool = urllib3.PoolManager(
            maxsize=_POOL_SIZE, retries=False, block=False
        )

    # -- Actions

    @coordinator.performs(actions.ReadObject)
    def read(self, action: actions.ReadObject) -> None:
        """Read one object."""
        eventlet.spawn_n(self._read, action)

    @coordinator.performs(actions.WriteObject)
    def write(self, action: actions.WriteObject) -> None:
        """Write or delete one object if it has the expected version."""
        eventlet.spawn_n(self._write, action)

    @coordinator.performs(actions.ListObjects)
    def list_objects(self, action: actions.ListObjects) -> None:
        """Read all objects of the watched kinds."""
        path = f"/v1/objects?kinds={_KINDS}"
        eventlet.spawn_n(self._fetch_objects, action.call, path, "list", True)

    @coordinator.performs(actions.WatchObjects)
    def watch(self, action: actions.WatchObjects) -> None:
        """Wait for changes of the watched kinds."""
        timeout = self._settings.watch_timeout
        path = (
            f"/v1/watch?kinds={_KINDS}&since={action.since}&timeout={timeout}"
        )
        eventlet.spawn_n(
            self._fetch_objects, action.call, path, "watch", False
        )

    @coordinator.performs(actions.ListInstances)
    def list_instances(self, action: actions.ListInstances) -> None:
        """Read the instance list."""
        eventlet.spawn_n(self._fetch_instances, action)

    # -- Green threads of the actions

    def _read(self, action: actions.ReadObject) -> None:
        status, data, version = self._call(
            "GET", _make_path(action.key), "read"
        )
        stored: tuple[objects.Stored, ...] = ()
        if status is Status.OK:
            stored = (objects.Stored(action.key, version, data),)
        self._send_answer(action.call, status, stored, version)

    def _write(self, action: actions.WriteObject) -> None:
        method = "PUT" if action.value else "DELETE"
        path = f"{_make_path(action.key)}?expected={action.expected}"
        status, _, version = self._call(
            method, path, "write", action.value or None
        )
        stored: tuple[objects.Stored, ...] = ()
        if status is Status.OK:
            stored = (objects.Stored(action.key, version, action.value),)
        self._send_answer(action.call, status, stored, version)

    def _fetch_objects(
        self, call: ids.CallId, path: str, kind: str, complete: bool
    ) -> None:
        wait = None if complete else self._settings.watch_timeout
        status, data, _ = self._call("GET", path, kind, None, wait)
        stored: tuple[objects.Stored, ...] = ()
        revision = ids.Version(0)
        if status is Status.OK:
            try:
                revision, stored = platform.decode_listing(data)
            except msgspec.MsgspecError:
                status = Status.LOST
        self._send_answer(call, status, stored, revision, complete)

    def _fetch_instances(self, action: actions.ListInstances) -> None:
        path = f"/v1/instances?since={action.since}"
        status, data, _ = self._call("GET", path, "instances")
        if status is Status.OK and not data:
            self._tell(
                messages.InstancesListed(
                    action.call, status, (), action.since, True
                )
            )
            return
        if status is Status.OK:
            try:
                self._tell(platform.decode_instances(action.call, data))
                return
            except msgspec.MsgspecError:
                status = Status.LOST
        self._tell(messages.InstancesListed(action.call, status))

    def _send_answer(
        self,
        call: ids.CallId,
        status: messages.PlatformStatus,
        stored: tuple[objects.Stored, ...],
        revision: ids.Version,
        complete: bool = False,
    ) -> None:
        self._tell(
            messages.PlatformAnswer(call, status, stored, revision, complete)
        )

    def _call(
        self,
        method: str,
        path: str,
        kind: str,
        body: bytes | None = None,
        wait: float | None = None,
    ) -> tuple[messages.PlatformStatus, bytes, ids.Version]:
        """Make one call.

        Args:
            method: The HTTP method.
            path: Path and query.
            kind: Kind of the call, for the metrics.
            body: Body of the request, if any.
            wait: Seconds that the platform may hold a watch; None for
                other calls.

        Returns:
            The status, the body of the answer and the object's version.
        """
        self._meter.add(actions.Counter.PLATFORM_CALLS.value, 1, kind)
        call_timeout = self._settings.timeout
        read = call_timeout if wait is None else wait + _WATCH_SLACK
        timeout = urllib3.Timeout(connect=call_timeout, read=read)
        try:
            response = self._pool.request(
                method,
                self._settings.url + path,
                body=body,
                timeout=timeout,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return Status.UNAVAILABLE, b"", ids.Version(0)
        except (urllib3.exceptions.HTTPError, OSError):
            return Status.LOST, b"", ids.Version(0)
        text = response.headers.get("Object-Version", "0")
        version = numbers.parse_count(text, numbers.REVISION_DIGITS)
        if version is None:
            return Status.LOST, b"", ids.Version(0)
        status = _map_status(response.status)
        return status, response.data, ids.Version(version)


def _make_path(key: objects.ObjectKey) -> str:
    return f"/v1/objects/{key.kind}/{key.name}"


def _map_status(status: int) -> messages.PlatformStatus:
    if status < 300 or status == platform.NOT_MODIFIED:
        return Status.OK
    if status == platform.CONFLICT:
        return Status.CONFLICT
    if status == platform.GONE:
        return Status.EXPIRED
    if status == _NOT_FOUND:
        return Status.NOT_FOUND
    # After any other status, such as a server error, a write may or may
    # not have taken effect.
    return Status.LOST

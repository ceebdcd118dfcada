"""Interfaces to the platform, which an adapter implements."""

from collections import abc
import enum
import typing

import msgspec
import result

from currantwall.coordination.replicas import knowledge
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = [
    "Documents",
    "Engines",
    "Listing",
    "Store",
    "StoreFailure",
    "StoredObject",
]


class StoreFailure(enum.Enum):
    """Why a call to the store did not succeed."""

    # The call had no effect; a later one may succeed.
    UNAVAILABLE = "unavailable"
    # No answer came: the call may have taken effect, or still may.
    LOST = "lost"
    # The object has another revision.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The store no longer has the history that a watch asks for, or was
    # restored while a list was read.
    EXPIRED = "expired"


class StoredObject(msgspec.Struct, frozen=True):
    """One object; `value` is its content as JSON.

    All revisions here are those of `state.revisions`.
    """

    name: str
    revision: int
    value: bytes


# What decoding a stored value or a message of another writer may raise. Values
# with thousands of levels exceed the limit of recursion, and numbers may
# exceed the range of a double.
UNREADABLE = (
    msgspec.MsgspecError,
    ValueError,
    RecursionError,
    OverflowError,
)


class Listing(msgspec.Struct, frozen=True):
    """Objects of one kind as of a revision of the store.

    Attributes:
        objects: All objects, or those changed after `since`.
        revision: Revision of the store.
        removed: Names of objects removed after `since`.
        since: Revision of the listing to which this one holds the changes;
            0 if it is complete.
        changed: Revision at which the objects last changed; set only in
            listings that nodes pass on.
        failure_age: Seconds since the last failed call of an outage that
            lasts or has just ended, so that entries of live writers may be
            missing; else None.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    removed: frozenset[str] = frozenset()
    since: int = 0
    changed: int = 0
    failure_age: float | None = None


Outcome = result.Result[StoredObject, StoreFailure]


class Store(typing.Protocol):
    """The platform's object store.

    Attributes:
        on_unreadable: Called with a kind and the names of its objects that
            can't be read, when they are others than before. An empty name
            stands for one that can't be read either.
    """

    on_unreadable: abc.Callable[[str, list[str]], None]

    def list(
        self, kind: str, stale: bool = False
    ) -> result.Result[Listing, StoreFailure]:
        """Return all objects of a kind.

        Args:
            kind: Kind of the objects.
            stale: Whether the result may be some seconds old.
        """
        raise NotImplementedError

    def get(self, kind: str, name: str) -> Outcome:
        """Return one object."""
        raise NotImplementedError

    def watch(
        self, kind: str, since: int, wait: float, patience: float
    ) -> result.Result[Listing, StoreFailure]:
        """Return what changed after a revision, as soon as anything has.

        Args:
            kind: Kind of the objects.
            since: The revision.
            wait: Seconds after which an empty listing is returned.
            patience: Seconds after that in which the answer must come.
        """
        raise NotImplementedError

    def put(
        self, kind: str, name: str, value: bytes, revision: int | None
    ) -> Outcome:
        """Write an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: Content as JSON.
            revision: Revision that the object must have; one without a
                number to create it; None to write unconditionally.

        Returns:
            The object as written. `CONFLICT` as well if the revision is of
            an earlier era of the store, and `LOST` if the store was
            restored before the write was carried out.
        """
        raise NotImplementedError

    def delete(self, kind: str, name: str) -> None:
        """Delete an object; does nothing if the store is unreachable."""
        raise NotImplementedError


class Engines(typing.Protocol):
    """Sends orders and probes to engine instances."""

    def report(
        self, upstream: upstreams.Upstream, new_connection: bool
    ) -> upstreams.Upstream | knowledge.ProbeResult:
        """Probe an instance.

        Args:
            upstream: The instance.
            new_connection: Whether to use a new connection.

        Returns:
            The instance as it reports itself, or how the probe failed.
        """
        raise NotImplementedError

    def check_health(
        self, upstream: upstreams.Upstream, path: str
    ) -> knowledge.ProbeResult:
        """Request the health of an instance on a new connection.

        Args:
            upstream: The instance.
            path: Path at which instances of its service tell their health.

        Returns:
            `ANSWERED` if the instance itself answered, whatever its health.
        """
        raise NotImplementedError

    def order(self, order: knowledge.Order) -> knowledge.OrderAnswer:
        """Send an order and return its answer."""
        raise NotImplementedError


class Documents(typing.Protocol):
    """Formats of what the platform and its instances write."""

    configuration_kind: str
    configuration_name: str
    upstreams_kind: str
    evacuations_kind: str

    def decode_configuration(
        self, value: bytes
    ) -> result.Result[routes.Configuration, str]:
        """Return the operator's configuration, or why it is invalid."""
        raise NotImplementedError

    def encode_addresses(
        self, addresses: abc.Sequence[str], ttl: float
    ) -> bytes:
        """Encode the answer to a caller that asks where to connect.

        Args:
            addresses: Addresses of nodes that take requests.
            ttl: Seconds for which the caller may use them.
        """
        raise NotImplementedError

    def decode_upstreams(
        self, objects: abc.Iterable[StoredObject]
    ) -> list[upstreams.Upstream]:
        """Return the instances of the readable entries."""
        raise NotImplementedError

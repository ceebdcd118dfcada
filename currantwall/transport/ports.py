"""What the product needs of a platform, for an adapter to provide."""

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

    # Nothing was done; a later call may succeed.
    UNAVAILABLE = "unavailable"
    # No answer: the call may have been carried out, or will be.
    LOST = "lost"
    # The object has another revision.
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The history that a watch wants is gone.
    EXPIRED = "expired"


class StoredObject(msgspec.Struct, frozen=True):
    """One object; `value` is its content as JSON."""

    name: str
    revision: int
    value: bytes


class Listing(msgspec.Struct, frozen=True):
    """Objects of one kind as of a revision of the store.

    Attributes:
        removed: Names of objects that are gone.
        since: Revision whose listing this one changes; 0 where it is
            whole.
        changed: Revision at which the objects were last seen to differ
            from before; set in what nodes pass on.
        failure_age: Seconds since the store failed to answer, where it has
            just come back from an outage and objects may be missing whose
            writers live; else None.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    removed: frozenset[str] = frozenset()
    since: int = 0
    changed: int = 0
    failure_age: float | None = None


Outcome = result.Result[StoredObject, StoreFailure]


class Store(typing.Protocol):
    """The platform's object store."""

    def list(
        self, kind: str, stale: bool = False
    ) -> result.Result[Listing, StoreFailure]:
        """Return all objects of a kind, perhaps of seconds ago."""
        raise NotImplementedError

    def get(self, kind: str, name: str) -> Outcome:
        """Return one object."""
        raise NotImplementedError

    def watch(
        self, kind: str, since: int, wait: float
    ) -> result.Result[Listing, StoreFailure]:
        """Return what changed after a revision, or nothing in time."""
        raise NotImplementedError

    def put(
        self, kind: str, name: str, value: bytes, revision: int | None
    ) -> Outcome:
        """Write an object.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            value: Content as JSON.
            revision: What the object must have; 0 to create it; None to
                write in any case.
        """
        raise NotImplementedError

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if the store can be reached."""
        raise NotImplementedError


class Engines(typing.Protocol):
    """The orders and reports of engine instances."""

    def report(
        self, upstream: upstreams.Upstream, fresh: bool
    ) -> upstreams.Upstream | knowledge.ProbeResult:
        """Return what an instance says of itself, or how it failed.

        Args:
            upstream: The instance.
            fresh: Whether to ask over a new connection.
        """
        raise NotImplementedError

    def order(self, order: knowledge.Order) -> knowledge.OrderAnswer:
        """Send an order and return how it was answered."""
        raise NotImplementedError


class Documents(typing.Protocol):
    """What the platform and its instances write into the store."""

    configuration_kind: str
    configuration_name: str
    upstreams_kind: str

    def decode_configuration(
        self, value: bytes
    ) -> result.Result[routes.Configuration, str]:
        """Return the operator's configuration, or what is wrong."""
        raise NotImplementedError

    def encode_addresses(
        self, addresses: abc.Sequence[str], ttl: float
    ) -> bytes:
        """Return the answer to a caller that asks where to connect."""
        raise NotImplementedError

    def decode_upstreams(
        self, objects: abc.Iterable[StoredObject]
    ) -> list[upstreams.Upstream]:
        """Return the instances in readable entries, others left out."""
        raise NotImplementedError

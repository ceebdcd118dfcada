"""Messages to parts, from the transport or from other parts."""

import enum
import typing

from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects

__all__ = [
    "Delivered",
    "ProbeRequested",
    "InstancesListed",
    "MemberChanged",
    "ObjectChanged",
    "OrderAnswered",
    "OrderOutcome",
    "PlatformAnswer",
    "PlatformStatus",
    "ProbeAnswered",
    "ProbeOutcome",
    "Received",
]


class Received(part.Message, frozen=True):
    """A message body arrived from another node.

    Attributes:
        delay: Seconds in transit beyond the shortest delay seen on the
            link, from which the age of a delayed message follows.
    """

    sender: ids.NodeId
    body: wire.Body
    delay: float = 0.0

    @property
    def topic(self) -> type:
        """Return the type of the body."""
        return type(self.body)


class Delivered(part.Message, frozen=True):
    """A payload arrived that a node broadcast to all.

    Attributes:
        age: Seconds since it left its origin.
    """

    origin: ids.NodeId
    payload: wire.Payload
    age: float = 0.0

    @property
    def topic(self) -> type:
        """Return the type of the payload."""
        return type(self.payload)


# -- From the platform


class PlatformStatus(enum.Enum):
    """Outcome of a call to the platform."""

    OK = "ok"
    CONFLICT = "conflict"
    NOT_FOUND = "not_found"
    # The platform no longer keeps the changes that a watch asked for.
    EXPIRED = "expired"
    # The call may or may not have taken effect.
    LOST = "lost"
    # The call did not reach the platform.
    UNAVAILABLE = "unavailable"


class PlatformAnswer(part.Message, frozen=True):
    """A call to the platform has ended.

    Attributes:
        revision: Newest revision that the answer covers.
        complete: Whether `stored` lists every object of the watched kinds,
            so that objects missing from it have been deleted.
    """

    call: ids.CallId
    status: PlatformStatus
    stored: tuple[objects.Stored, ...] = ()
    revision: ids.Version = ids.Version(0)
    complete: bool = False

    @property
    def is_ok(self) -> bool:
        """Return whether the call took effect."""
        return self.status is PlatformStatus.OK

    @property
    def is_uncertain(self) -> bool:
        """Return whether a write may have taken effect."""
        return self.status is PlatformStatus.LOST


class InstancesListed(part.Message, frozen=True):
    """A call for the platform's list has ended.

    Attributes:
        unchanged: Whether the revision sent with the call is still
            current, so that no list was sent.
    """

    call: ids.CallId
    status: PlatformStatus
    listed: tuple[tuple[instances.Instance, ids.Version], ...] = ()
    revision: ids.Version = ids.Version(0)
    unchanged: bool = False


# -- From upstreams


class ProbeOutcome(enum.Enum):
    """Outcome of a probe."""

    ANSWERED = "answered"
    REFUSED = "refused"
    TIMEOUT = "timeout"


class ProbeAnswered(part.Message, frozen=True):
    """A probe has ended."""

    instance: ids.InstanceId
    outcome: ProbeOutcome
    report: instances.Report | None = None


class OrderOutcome(enum.Enum):
    """Outcome of an order."""

    TAKEN = "taken"
    # Refused by the engine for its fencing token.
    FENCED = "fenced"
    REFUSED = "refused"
    # Not sent, because its deadline had passed.
    EXPIRED = "expired"
    # The engine may or may not carry it out.
    LOST = "lost"


class OrderAnswered(part.Message, frozen=True):
    """An order has ended."""

    instance: ids.InstanceId
    epoch: ids.Epoch
    outcome: OrderOutcome


# -- Between parts


class ObjectChanged(part.Message, frozen=True):
    """A newer version of an object is now in force in this process."""

    stored: objects.Stored
    value: typing.Any


class ProbeRequested(part.Message, frozen=True):
    """A part got no answer from a node, which should be probed at once."""

    node: ids.NodeId


class MemberChanged(part.Message, frozen=True):
    """A member joined, left or changed its state."""

    node: ids.NodeId

"""Actions that parts ask the transport, or each other, to carry out."""

import enum
import typing

from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import timeline

__all__ = [
    "Counter",
    "Leave",
    "Count",
    "ListInstances",
    "ListObjects",
    "Order",
    "OrderKind",
    "Probe",
    "Publish",
    "ReadObject",
    "Record",
    "Reply",
    "Send",
    "SendOrder",
    "Tell",
    "WatchObjects",
    "WriteObject",
]


class Counter(enum.Enum):
    """Counters; docs/operators/metrics.md describes each."""

    PLATFORM_CALLS = "currantwall.platform.calls"
    PLATFORM_CONFLICTS = "currantwall.platform.conflicts"
    MEMBER_VERDICTS = "currantwall.members.verdicts"
    CONFIG_APPLIED = "currantwall.config.applied"
    MESSAGES_STALE = "currantwall.peers.stale_messages"
    PROBES = "currantwall.probes"
    VERDICTS = "currantwall.replicas.verdicts"
    ORDERS = "currantwall.orders"
    REPLICA_STEPS = "currantwall.replicas.steps"
    HELD_BACK = "currantwall.instances.held_back"
    REQUESTS = "currantwall.requests"
    RETRIES = "currantwall.requests.retries"
    REFUSALS = "currantwall.requests.refusals"
    LATE_ANSWERS = "currantwall.requests.late_answers"
    KEYS = "currantwall.keys"


# -- Between parts


class Tell(part.Action, frozen=True):
    """Deliver a message to the parts of this process."""

    message: part.Message


class Publish(part.Action, frozen=True):
    """Broadcast a payload to all entry nodes.

    Attributes:
        urgent: Whether to send it at once, not with the next batch.
        local: Whether it stays in this data centre; for relays only.
    """

    payload: wire.Payload
    urgent: bool = False
    local: bool = False


class Send(part.Action, frozen=True):
    """Send a message, which may be lost, to one entry node."""

    to: ids.NodeId
    body: wire.Body


# -- To the platform


class ReadObject(part.Action, frozen=True):
    """Read one object of the platform's object API."""

    call: ids.CallId
    key: objects.ObjectKey


class WriteObject(part.Action, frozen=True):
    """Write one object if its version is the expected one.

    Attributes:
        expected: Version that the object must have, 0 if it must not exist.
        value: New value; empty to delete the object.
    """

    call: ids.CallId
    key: objects.ObjectKey
    value: bytes
    expected: ids.Version


class ListObjects(part.Action, frozen=True):
    """Read all objects of the watched kinds."""

    call: ids.CallId


class WatchObjects(part.Action, frozen=True):
    """Wait for changes after a revision."""

    call: ids.CallId
    since: ids.Version


class ListInstances(part.Action, frozen=True):
    """Read the platform's list of live and leaving instances.

    Attributes:
        since: Known revision; if it is still current, the platform does
            not send the list.
    """

    call: ids.CallId
    since: ids.Version = ids.Version(0)


# -- To upstreams


class Probe(part.Action, frozen=True):
    """Ask an instance for its report."""

    instance: ids.InstanceId
    address: str
    timeout: float


class OrderKind(enum.Enum):
    """Operation that an engine has to carry out."""

    FORM = "form"
    RELEASE = "release"
    # Load the named adapters into the running generation.
    LOAD = "load"


class Order(part.Action, frozen=True, kw_only=True):
    """An order to one engine instance.

    Attributes:
        epoch: Fencing token; an engine that checks it refuses an older
            one than it has seen.
        lifetime: Seconds after which the engine must ignore the order.
    """

    kind: OrderKind
    epoch: ids.Epoch
    replica: ids.ReplicaId = ids.ReplicaId("")
    generation: ids.Generation = ids.Generation(0)
    rank: int = 0
    members: tuple[ids.InstanceId, ...] = ()
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    lifetime: float = 1.0


class SendOrder(part.Action, frozen=True):
    """Send an order, unless its deadline has passed by then.

    Attributes:
        deadline: Monotonic time of this process after which another node
            may hold the lease, so that the order must not be sent.
    """

    instance: ids.InstanceId
    address: str
    order: Order
    deadline: float


# -- To the process, its callers and its operators


class Leave(part.Action, frozen=True):
    """Stop this process gracefully."""

    reason: str


class Reply(part.Action, frozen=True):
    """Answer a request that is waiting in this process."""

    ticket: int
    answer: typing.Any


class Record(part.Action, frozen=True):
    """Add an event to the timeline and log it."""

    kind: timeline.EventKind
    subject: str = ""
    detail: str = ""


class Count(part.Action, frozen=True):
    """Increment a counter."""

    counter: Counter
    label: str = ""
    amount: int = 1

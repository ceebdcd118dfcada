"""Messages between entry nodes.

Bodies go from one node to another. Payloads are broadcast to all nodes
inside a `Bundle`, through the relays of each data centre. All of it is
soft state: any message may be lost, delayed, duplicated or reordered.
"""

import enum

import msgspec

from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import keys
from currantwall.state import members
from currantwall.state import objects

__all__ = [
    "Ack",
    "Applied",
    "Body",
    "Bundle",
    "Demand",
    "Doubt",
    "Envelope",
    "Evidence",
    "Exchange",
    "HandOver",
    "HandOverTaken",
    "KeyState",
    "MemberNews",
    "Item",
    "Known",
    "ObjectsChanged",
    "Payload",
    "Ping",
    "PingRequest",
    "Pull",
    "Reach",
    "Push",
    "Scope",
    "Sighting",
    "Successor",
    "Summary",
    "Table",
    "Verdict",
]


class Verdict(enum.Enum):
    """Verdict of an observer on a replica or a service instance."""

    # Every member answered and reported this replica and generation.
    WHOLE = "whole"
    # A member refused the connection or reported something else.
    BROKEN = "broken"
    # A member did not answer in time; it or the link may have failed.
    SILENT = "silent"


class Scope(enum.Enum):
    """Hop of a bundle on its way to all nodes."""

    # To the relays of the sender's data centre.
    UP = "up"
    # From a relay to one relay of each other data centre.
    ACROSS = "across"
    # From a relay to the nodes of its data centre.
    DOWN = "down"


# -- Payloads: to all nodes


class Evidence(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    tag="evidence",
    omit_defaults=True,
):
    """An observer's verdict on one replica generation.

    Attributes:
        subject: Replica id, or instance id of a plain service.
        age: Seconds since the oldest probe behind it was sent.
        serial: Serial of the domain's ledger that the observer knows; a
            node that knows an older one must not use the verdict.
        running: Number of requests in the leader, as last reported.
        cache_version: Changes when assumptions about the leader's prompt
            cache have become invalid.
    """

    subject: str
    verdict: Verdict
    generation: int = 0
    age: float = 0.0
    serial: int = 0
    running: int = 0
    queued: int = 0
    cache_version: int = 0


class Demand(
    msgspec.Struct, frozen=True, kw_only=True, tag="demand", omit_defaults=True
):
    """Requests per second that one node receives of one organisation."""

    profile: ids.ProfileName
    organisation: ids.OrganisationName
    rate: float


class ObjectsChanged(msgspec.Struct, frozen=True, tag="objects"):
    """New versions of stored objects."""

    stored: tuple[objects.Stored, ...]


class Successor(msgspec.Struct, frozen=True, tag="successor"):
    """A node that has taken over the keys of a stopped home."""

    home: keys.Home
    node: ids.NodeId
    incarnation: ids.Incarnation


class Reach(msgspec.Struct, frozen=True, tag="reach"):
    """Whether a relay can reach another data centre."""

    datacentre: ids.DatacentreName
    reachable: bool


class MemberNews(msgspec.Struct, frozen=True, tag="news"):
    """A member's new state, too urgent to wait for the next pings."""

    member: members.Member


Payload = Evidence | Demand | ObjectsChanged | Successor | Reach | MemberNews


class Item(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One payload of a bundle.

    Attributes:
        serial: Counts the items of the origin; used to drop duplicates.
        age: Seconds since it left the origin, as measured on the way: the
            sum of the residence times and the excess link delays.
    """

    origin: ids.NodeId
    incarnation: ids.Incarnation
    serial: int
    payload: Payload
    age: float = 0.0


# -- Bodies: to one node


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Asks whether a node is alive; carries news of members."""

    serial: int
    news: tuple[members.Member, ...] = ()
    on_behalf_of: ids.NodeId = ids.NodeId("")


class PingRequest(msgspec.Struct, frozen=True, tag="ping_request"):
    """Asks for an indirect probe of a node that did not answer a ping."""

    serial: int
    target: ids.NodeId


class Ack(msgspec.Struct, frozen=True, tag="ack"):
    """Answers the ping with the same serial."""

    serial: int
    target: ids.NodeId
    news: tuple[members.Member, ...] = ()


class Exchange(msgspec.Struct, frozen=True, tag="exchange"):
    """Digests of the sender's state, compared for anti-entropy.

    Attributes:
        members: One digest for each bucket of nodes.
        objects: One digest for each bucket of object keys.
    """

    members: tuple[int, ...]
    objects: tuple[int, ...]
    news: tuple[members.Member, ...] = ()
    answer: bool = False


class Table(msgspec.Struct, frozen=True, tag="table"):
    """The members in some buckets, as the sender knows them."""

    members: tuple[members.Member, ...]


class Doubt(msgspec.Struct, frozen=True, tag="doubt"):
    """Asks for an immediate probe of a node that does not answer the sender.

    The receiver is a relay of that node's data centre.
    """

    target: ids.NodeId


class Known(msgspec.Struct, frozen=True, array_like=True):
    """A version that the sender has, and its `objects.hash_material`."""

    key: objects.ObjectKey
    version: ids.Version
    material: int


class Summary(msgspec.Struct, frozen=True, tag="summary"):
    """Versions of the objects in some buckets that the sender has."""

    buckets: tuple[int, ...]
    known: tuple[Known, ...]


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Asks for some objects."""

    keys: tuple[objects.ObjectKey, ...]


class Push(msgspec.Struct, frozen=True, tag="push"):
    """Objects that the receiver lacks or has asked for.

    Attributes:
        confirm: Whether the receiver has to answer with `Applied`.
    """

    stored: tuple[objects.Stored, ...]
    confirm: bool = False


class Applied(msgspec.Struct, frozen=True, tag="applied"):
    """The sender has this version of an object in force."""

    key: objects.ObjectKey
    version: ids.Version


class Sighting(msgspec.Struct, frozen=True, kw_only=True, tag="sighting"):
    """Result of a probe of one instance, for the holder of its domain.

    Attributes:
        report: The instance's own report, None if it gave none.
        refused: Whether the connection was refused, which shows that
            the process has ended and not merely the link failed.
        age: Seconds since the probe was sent.
    """

    instance: ids.InstanceId
    report: instances.Report | None = None
    refused: bool = False
    age: float = 0.0


class KeyState(msgspec.Struct, frozen=True, omit_defaults=True):
    """State of one key, handed over by its home to a successor.

    Attributes:
        name: Hash of the key and its scope.
        status: HTTP status of the answer, 0 if there is none.
    """

    name: str
    fingerprint: int
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class HandOver(msgspec.Struct, frozen=True, tag="hand_over"):
    """One of several messages with the keys of a home that is stopping."""

    home: keys.Home
    number: int
    total: int
    states: tuple[KeyState, ...]


class HandOverTaken(msgspec.Struct, frozen=True, tag="taken"):
    """Confirms that the sender has stored one `HandOver`."""

    number: int


class Bundle(msgspec.Struct, frozen=True, tag="bundle"):
    """Payloads that are broadcast to all nodes."""

    scope: Scope
    items: tuple[Item, ...]


Body = (
    Ping
    | PingRequest
    | Ack
    | Exchange
    | Table
    | Doubt
    | Summary
    | Pull
    | Push
    | Applied
    | Sighting
    | HandOver
    | HandOverTaken
    | Bundle
)


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """One message between two nodes.

    Attributes:
        incarnation: Incarnation of the sender; messages of an older one
            are dropped.
        to_incarnation: Incarnation of the receiver as the sender knows it,
            0 if it does not.
        sent: Monotonic clock of the sender at the send, in seconds.
        wall, count: The sender's hybrid logical time.
    """

    sender: ids.NodeId
    incarnation: ids.Incarnation
    sent: float
    body: Body
    to_incarnation: ids.Incarnation = ids.Incarnation(0)
    wall: int = 0
    count: int = 0

"""Routes, services, models and organisations of one configuration.

A configuration is one immutable value that a node swaps whole, so that a
request is handled by one version from its first byte to its last.
"""

from collections import abc
import enum

import msgspec

from currantwall.state import hashing
from currantwall.state import ids

__all__ = [
    "Configuration",
    "Engine",
    "Limits",
    "Model",
    "Organisation",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "Share",
    "Timing",
]


class RouteKind(enum.Enum):
    """What may be repeated of a request on a route."""

    # Idempotent: may run more than once.
    SAFE = "safe"
    # Runs at most once for each request of a caller.
    UNSAFE = "unsafe"
    # Answered by a series of events; idempotent only where resumable.
    STREAMING = "streaming"


class Share(msgspec.Struct, frozen=True):
    """The part of a route's requests that one service takes."""

    service: ids.ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are handled.

    Attributes:
        prefix: Path prefix; begins and ends with a slash.
        timeout: Seconds after which a caller gets a final answer.
        target: Seconds within which an answer is on time; for streams
            until the first event.
        gap: Longest pause between two events that is still on time, in
            seconds; 0 where the operator gives none.
        priority: Rank among requests, 0 first.
        attempts: Upstreams that one request may run on at most.
        public: Whether it needs no key of an organisation.
        resumable: Whether a stream may go on at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout: float
    shares: tuple[Share, ...]
    target: float = 0.0
    gap: float = 0.0
    priority: int = 0
    attempts: int = 1
    public: bool = False
    resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Return whether a request may run a second time."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def choose_service(self, attempt: str) -> ids.ServiceName:
        """Return the service for a request, by the weights.

        The choice follows from the request's id alone, so that a retry
        inside one request stays with its service.
        """
        total = sum(share.weight for share in self.shares)
        point = hashing.hash_text(attempt) % total if total > 0 else 0
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.service
        return self.shares[0].service


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """One model that an engine service can serve.

    Attributes:
        size: Instances of one replica.
        share: Part of the work expected before any was seen.
        pace: Factor on all times of its replicas.
        load: Seconds to bring the weights to a host.
        warm: Seconds to join a replica with the weights on the host.
    """

    name: str
    size: int
    share: float
    pace: float = 1.0
    load: float = 0.0
    warm: float = 0.0


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """How long a replica takes over its work, in seconds, at pace 1.

    Attributes:
        step: One token of each request that is writing.
        per_request: Added to a step for each of them.
        per_token: Added to a step for each token of their contexts.
        read_token: One token of a prompt.
        read_pair: One pair of a prompt's token and an earlier one.
        steps: Steps of a pass; a stream gets one event a pass.
        chunk: Tokens of prompts that are read in one step at most.
        prompt: Mean tokens of a prompt.
        answer: Mean tokens of an answer.
    """

    step: float
    per_request: float = 0.0
    per_token: float = 0.0
    read_token: float = 0.0
    read_pair: float = 0.0
    steps: int = 1
    chunk: int = 0
    prompt: float = 0.0
    answer: float = 0.0


class Engine(msgspec.Struct, frozen=True, kw_only=True):
    """What the instances of an engine service have in common.

    Attributes:
        slots: Requests that a replica works on at once.
        loads_per_second: Loads that may start in a second, all together.
        loads_at_once: Loads beyond which each takes longer.
        kept: Models whose weights a host keeps.
        form: Seconds from the order to open until a replica serves.
        timing: None where the operator tells none.
    """

    slots: int
    models: tuple[Model, ...]
    loads_per_second: float = 1.0
    loads_at_once: int = 1
    kept: int = 1
    form: float = 0.0
    timing: Timing | None = None

    def find(self, name: str) -> Model | None:
        """Return a model by its name."""
        for model in self.models:
            if model.name == name:
                return model
        return None


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """One service behind the routes.

    Attributes:
        connections: Connections an instance takes from all callers.
        engine: Set where the instances are model engines.
    """

    name: ids.ServiceName
    connections: int = 0
    engine: Engine | None = None


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send and how long it may take.

    Attributes:
        header_bytes: Size of the request line and headers.
        body_bytes: Size of a body.
        header_timeout: Seconds from the first byte to the last header.
        idle_timeout: Seconds between two requests on a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """Who may send requests, known by its keys."""

    name: ids.OrganisationName
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of what the operator wants.

    Attributes:
        version: Rises with each change, by uneven steps.
        organisations: None where requests need no key at all.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    organisations: tuple[Organisation, ...] | None = None


class RouteTable:
    """A configuration with the indexes that requests need."""

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._hosts: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))
        self._keys = {
            key: organisation
            for organisation in configuration.organisations or ()
            for key in organisation.keys
        }
        self._services = {one.name: one for one in configuration.services}

    @property
    def version(self) -> int:
        """Return the version of the configuration."""
        return self.configuration.version

    @property
    def needs_keys(self) -> bool:
        """Return whether requests must carry an organisation's key."""
        return self.configuration.organisations is not None

    @property
    def services(self) -> abc.Iterable[Service]:
        """Return all services."""
        return self._services.values()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that fits."""
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return who holds a key."""
        return self._keys.get(key)

    def find_service(self, name: ids.ServiceName) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

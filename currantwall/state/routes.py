"""Routes, services, models and organisations of one configuration.

A configuration is one immutable value that a node replaces as a whole, so
that a request is handled by a single version from start to end.
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
    """Whether requests of a route may run more than once."""

    # Idempotent: may run more than once.
    SAFE = "safe"
    # Runs at most once for each request of a caller.
    UNSAFE = "unsafe"
    # Answered by a stream of events; idempotent only if resumable.
    STREAMING = "streaming"


class Share(msgspec.Struct, frozen=True):
    """Share of a route's requests that one service receives."""

    service: ids.ServiceName
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """How requests of one host and path prefix are handled.

    Attributes:
        prefix: Path prefix; begins and ends with a slash.
        timeout: Seconds after which a caller gets a final answer.
        target: Target latency in seconds: until the answer, or for
            streams until the first event.
        gap: Longest pause between two events of a stream that is on time,
            in seconds; 0 if the operator sets none.
        priority: Priority of its requests; 0 is the highest.
        attempts: Maximum number of upstreams that a request may run on.
        public: Whether requests need no key of an organisation.
        resumable: Whether a stream may continue at another upstream.
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
        """Return whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE

    def choose_service(self, attempt: str) -> ids.ServiceName:
        """Return the service for a request, chosen by the weights.

        The choice depends only on the request's id, so that its retries
        go to the same service.
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
        size: Number of instances of one replica.
        share: Expected share of the work, before any was observed.
        pace: Factor applied to all times of its replicas.
        load: Seconds to load the weights onto a host.
        warm: Seconds to join a replica when the host has the weights.
    """

    name: str
    size: int
    share: float
    pace: float = 1.0
    load: float = 0.0
    warm: float = 0.0


class Timing(msgspec.Struct, frozen=True, kw_only=True):
    """Cost model of a replica: times in seconds at pace 1.

    Attributes:
        step: Time of a decoding step, which yields one token for each
            request that is generating.
        per_request: Added to a step for each such request.
        per_token: Added to a step for each token of their contexts.
        read_token: Time to prefill one token of a prompt.
        read_pair: Time for each pair of a prompt's token and an earlier
            one.
        steps: Steps per pass; a stream gets one event per pass.
        chunk: Maximum number of prompt tokens prefilled in one step.
        prompt: Mean number of tokens of a prompt.
        answer: Mean number of tokens of an answer.
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
    """Properties that all instances of an engine service share.

    Attributes:
        slots: Requests that a replica processes at once.
        loads_per_second: Loads that may start per second, over all
            instances.
        loads_at_once: Number of concurrent loads above which each takes
            longer.
        models_kept: Number of models whose weights a host keeps.
        form_time: Seconds from the order to open until a replica serves.
        timing: None if the operator gives none.
    """

    slots: int
    models: tuple[Model, ...]
    loads_per_second: float = 1.0
    loads_at_once: int = 1
    models_kept: int = 1
    form_time: float = 0.0
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
        connections: Number of connections that one instance accepts from
            all callers together.
        engine: Set if the instances are model engines.
        cold_start: Seconds for which an instance is cold that starts
            during traffic; 0 if it never is.
        cold_rate: Requests a second that an instance sustains meanwhile.
        health_path: Path at which an instance tells its health; empty if
            there is none.
    """

    name: ids.ServiceName
    connections: int = 0
    engine: Engine | None = None
    cold_start: float = 0.0
    cold_rate: float = 0.0
    health_path: str = ""

    @property
    def starts_cold(self) -> bool:
        """Return whether requests to cold instances are limited."""
        return self.cold_start > 0 and self.cold_rate > 0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on the size of requests and on the time to send them.

    Attributes:
        header_bytes: Maximum size of the request line and headers.
        body_bytes: Maximum size of a body.
        header_timeout: Maximum seconds from the first byte to the last
            header.
        idle_timeout: Maximum seconds between two requests on a
            connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class Organisation(msgspec.Struct, frozen=True, kw_only=True):
    """A caller that may send requests, identified by its keys."""

    name: ids.OrganisationName
    keys: tuple[str, ...]
    priority: int | None = None


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """One version of the operator's configuration.

    Attributes:
        version: Increases with each change, not always by 1.
        organisations: None if no request needs a key.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = Limits()
    organisations: tuple[Organisation, ...] | None = None


class RouteTable:
    """A configuration, indexed for look-ups by requests."""

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
        self._services = {item.name: item for item in configuration.services}

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
        """Return the route of a host with the longest matching prefix."""
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_organisation(self, key: str) -> Organisation | None:
        """Return the organisation of a key."""
        return self._keys.get(key)

    def find_service(self, name: ids.ServiceName) -> Service | None:
        """Return a service by its name."""
        return self._services.get(name)

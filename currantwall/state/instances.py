"""Instances, as listed by the platform and as reported by themselves."""

import enum

import msgspec

from currantwall.state import ids

__all__ = [
    "Instance",
    "InstanceKind",
    "InstanceState",
    "Report",
    "ReportedState",
]


class InstanceKind(enum.Enum):
    """Kind of process that runs on an instance."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(enum.Enum):
    """State of an instance in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class ReportedState(enum.Enum):
    """State that an engine reports."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the platform's list, which may be out of date.

    Attributes:
        address: ``host:port`` for HTTP requests.
        peer_address: ``host:port`` of an entry's peer link.
        service: Name of the plain service that a service instance runs.
    """

    id: ids.InstanceId
    kind: InstanceKind
    address: str
    datacentre: ids.DatacentreName
    domain: ids.DomainName = ids.DomainName("")
    accelerators: int = 0
    peer_address: str = ""
    service: ids.ServiceName = ids.ServiceName("")
    state: InstanceState = InstanceState.LIVE


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of an upstream instance to ``GET /v1/report``.

    Attributes:
        started: Start of the process; a restart changes it.
        epoch: Highest fencing token accepted so far.
        running: Number of requests being answered.
        queued: Number of requests waiting inside the instance.
        draining: Whether the instance asks for no new requests.
        cache_gaps: Number of gaps in the cache events published so far.
    """

    instance: ids.InstanceId
    started: int = 0
    state: ReportedState = ReportedState.IDLE
    replica: ids.ReplicaId = ids.ReplicaId("")
    generation: ids.Generation = ids.Generation(0)
    model: str = ""
    model_version: str = ""
    adapters: tuple[str, ...] = ()
    epoch: ids.Epoch = ids.Epoch(0)
    running: int = 0
    queued: int = 0
    draining: bool = False
    cache_gaps: int = 0

    @property
    def is_quiet(self) -> bool:
        """Return whether no request is running or queued."""
        return not (self.running or self.queued)

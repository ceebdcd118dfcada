"""Messages between the operators' tool and an entry process."""

import msgspec

from currantwall.coordination.profiles import edits
from currantwall.coordination.profiles import forecast
from currantwall.coordination.profiles import usage
from currantwall.state import evacuations as evacuations_module
from currantwall.state import ids
from currantwall.state import members
from currantwall.state import profile as profile_module
from currantwall.state import stops as stops_module
from currantwall.state import timeline

__all__ = [
    "DomainStatus",
    "EditAnswer",
    "EvacuationView",
    "ForecastBasis",
    "ProfileView",
    "ReplicaStatus",
    "Status",
    "StopView",
    "Timeline",
]


class ProfileView(msgspec.Struct):
    """A profile and its version; `profile` is None if it does not exist."""

    version: int
    profile: profile_module.Profile | None = None


class StopView(msgspec.Struct):
    """A planned stop and its progress.

    Attributes:
        waiting: What it waits for; empty if it has finished.
    """

    version: int
    stop: stops_module.Stop
    waiting: str = ""
    finished: bool = False


class EvacuationView(msgspec.Struct):
    """A requested evacuation and its progress.

    Attributes:
        waiting: What is still in flight there; empty if nothing is.
    """

    version: int
    evacuation: evacuations_module.Evacuation
    waiting: str = ""
    finished: bool = False


class EditAnswer(msgspec.Struct):
    """The outcome of an edit.

    Attributes:
        missing: Nodes on which a stored edit is not yet in force.
    """

    outcome: edits.EditOutcome
    version: int = 0
    missing: tuple[ids.NodeId, ...] = ()


class ReplicaStatus(msgspec.Struct):
    """One replica as one entry sees it."""

    id: str
    profile: str
    generation: int
    phase: str
    usable: bool
    members: tuple[str, ...]
    load: int


class DomainStatus(msgspec.Struct):
    """One fabric domain as one entry sees it."""

    name: str
    datacentre: str
    holder: str
    epoch: int
    idle: int
    replicas: list[ReplicaStatus]


class ForecastBasis(msgspec.Struct):
    """The data for a forecast, as one entry knows it."""

    standings: list[forecast.Standing]
    uses: list[usage.Use]


class Status(msgspec.Struct):
    """Members, profiles and fabric domains, as one entry sees them."""

    node: str
    ready: bool
    members: list[members.Member]
    unreachable: list[str]
    profiles: list[ProfileView]
    domains: list[DomainStatus]
    open_attempts: int


class Timeline(msgspec.Struct):
    """Events of one process."""

    node: str
    events: list[timeline.Event]

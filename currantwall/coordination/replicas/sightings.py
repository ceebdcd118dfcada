"""State of the instances of one domain, from the observers' reports.

The holder of the domain's lease receives the sightings and plans by them.
"""

from collections import abc

import msgspec

from currantwall.coordination import wire
from currantwall.coordination.replicas import placement
from currantwall.coordination.replicas import repair
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import settings as settings_module
from currantwall.state import stops
from currantwall.state import views

__all__ = ["Sightings", "is_correlated"]

# An instance counts as silent once its last sighting is older than this
# many sighting intervals.
_SILENCE_INTERVALS = 3


class _LastSighting(msgspec.Struct):
    """The last sighting of one instance.

    Attributes:
        probed_at: When the observer sent the probe, on this node's clock.
        report: The last report, also while the instance is lost.
        refused: Whether the instance refused the connection.
        lost_since: When the first failed probe was sent, 0 if not lost.
    """

    probed_at: float
    report: instances.Report | None
    refused: bool
    lost_since: float = 0.0


class Sightings:
    """Keeps the last sighting of each instance."""

    def __init__(
        self,
        name: ids.DomainName,
        view: views.ObjectsView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._domain = name
        self._view = view
        self._settings = settings
        self._last_sightings: dict[ids.InstanceId, _LastSighting] = {}
        # When this process last resumed after a pause. Sightings that it
        # missed meanwhile do not show that an instance is silent.
        self.resumed_at = -1e9
        # When a lost instance last answered again.
        self.returned_at = -1e9

    def clear(self) -> None:
        """Discard all sightings when this node stops being the holder."""
        self._last_sightings.clear()

    def get_probed_at(self, instance: ids.InstanceId) -> float | None:
        """Return when the probe of the last sighting was sent."""
        last = self._last_sightings.get(instance)
        return last.probed_at if last else None

    def record(
        self, sighting: wire.Sighting, delay: float, now: float
    ) -> bool:
        """Store a sighting; return whether it changes an instance's state.

        Args:
            sighting: What an observer found.
            delay: Seconds that the message took to arrive.
            now: The time.
        """
        probed_at = now - delay - sighting.age
        previous = self._last_sightings.get(sighting.instance)
        if previous is not None and probed_at < previous.probed_at:
            return False
        lost = sighting.report is None
        lost_since = probed_at
        if previous is not None and previous.lost_since:
            lost_since = previous.lost_since
            if not lost:
                self.returned_at = now
        report = sighting.report
        if lost and previous is not None:
            report = previous.report
        self._last_sightings[sighting.instance] = _LastSighting(
            probed_at, report, sighting.refused, lost_since if lost else 0.0
        )
        return _has_changed(previous, self._last_sightings[sighting.instance])

    def describe_members(
        self, taken_at: float, now: float
    ) -> dict[ids.InstanceId, placement.Member]:
        """Return the state of each instance of the domain.

        Args:
            taken_at: When this node became the holder.
            now: The time.
        """
        members: dict[ids.InstanceId, placement.Member] = {}
        stop_targets = _list_stop_targets(self._view.stops.values())
        stop_targets |= self._view.evacuations.keys()
        for listed in self._view.list_engines(self._domain):
            last = self._last_sightings.get(listed.id)
            health, lost_seconds = self._classify(last, taken_at, now)
            stopping = not stop_targets.isdisjoint(
                (listed.id, listed.domain, listed.datacentre)
            )
            removing = listed.state is instances.InstanceState.LEAVING
            members[listed.id] = placement.Member(
                id=listed.id,
                accelerators=listed.accelerators,
                health=health,
                report=last.report if last else None,
                lost_seconds=lost_seconds,
                leaving=stopping or removing,
            )
        return members

    def _classify(
        self, last: _LastSighting | None, taken_at: float, now: float
    ) -> tuple[repair.Health, float]:
        """Return the health of an instance and seconds since its loss."""
        health = repair.Health
        silence = _SILENCE_INTERVALS * self._settings.sighting_interval
        if last is None:
            since = max(taken_at, self.resumed_at, 0.0) + silence
            if now < since:
                return health.UNKNOWN, 0.0
            return health.SILENT, now - since
        if last.lost_since:
            loss = health.EMPTY if last.refused else health.SILENT
            return loss, now - last.lost_since
        if now - max(last.probed_at, self.resumed_at) > silence:
            return health.SILENT, now - last.probed_at
        return health.HEALTHY, 0.0


def _has_changed(before: _LastSighting | None, after: _LastSighting) -> bool:
    """Return whether two sightings differ apart from their times."""
    if before is None:
        return True
    return (before.report, before.refused, before.lost_since > 0) != (
        after.report,
        after.refused,
        after.lost_since > 0,
    )


def is_correlated(
    members: dict[ids.InstanceId, placement.Member],
) -> bool:
    """Return whether most instances of a domain are silent."""
    silent = sum(
        1
        for member in members.values()
        if member.health is repair.Health.SILENT
    )
    return silent * 2 > len(members)


def _list_stop_targets(planned: abc.Iterable[stops.Stop]) -> set[str]:
    """Return the names that planned stops cover, except entry nodes."""
    return {
        stop.target
        for stop in planned
        if stop.scope is not stops.StopScope.ENTRY
    }

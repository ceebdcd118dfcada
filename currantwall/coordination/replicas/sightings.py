"""What observers say of the instances of one domain, for its holder."""

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

# A sighting older than this many sighting intervals counts as silence.
_SIGHTINGS_MISSED = 3


class _Seen(msgspec.Struct):
    """What observers last said of one instance."""

    heard: float
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
        self._seen: dict[ids.InstanceId, _Seen] = {}
        # When a lost instance was last seen again.
        self.returned_at = -1e9

    def clear(self) -> None:
        """Forget everything, at the end of a time as the holder."""
        self._seen.clear()

    def get_heard(self, instance: ids.InstanceId) -> float | None:
        """Return as of when an instance was last seen."""
        seen = self._seen.get(instance)
        return seen.heard if seen else None

    def note(self, sighting: wire.Sighting, delay: float, now: float) -> bool:
        """Take what an observer saw; return whether it is news."""
        heard = now - delay - sighting.age
        held = self._seen.get(sighting.instance)
        if held is not None and heard < held.heard:
            return False
        lost = sighting.report is None
        since = heard
        if held is not None and held.lost_since:
            since = held.lost_since
            if not lost:
                self.returned_at = now
        report = sighting.report
        if lost and held is not None:
            report = held.report
        self._seen[sighting.instance] = _Seen(
            heard, report, sighting.refused, since if lost else 0.0
        )
        return _differs(held, self._seen[sighting.instance])

    def describe(
        self, taken_at: float, now: float
    ) -> dict[ids.InstanceId, placement.Member]:
        """Return what is known of each instance of the domain.

        Args:
            taken_at: When this node became the holder.
            now: The time.
        """
        found: dict[ids.InstanceId, placement.Member] = {}
        leaving = _list_targets(self._view.stops.values())
        for listed in self._view.list_engines(self._domain):
            seen = self._seen.get(listed.id)
            health, lost_seconds = self._judge(seen, taken_at, now)
            stopping = not leaving.isdisjoint(
                (listed.id, listed.domain, listed.datacentre)
            )
            gone = listed.state is instances.InstanceState.LEAVING
            found[listed.id] = placement.Member(
                id=listed.id,
                accelerators=listed.accelerators,
                health=health,
                report=seen.report if seen else None,
                lost_seconds=lost_seconds,
                leaving=stopping or gone,
            )
        return found

    def _judge(
        self, seen: _Seen | None, taken_at: float, now: float
    ) -> tuple[repair.Health, float]:
        kinds = repair.Health
        silence = _SIGHTINGS_MISSED * self._settings.sighting_interval
        if seen is None:
            since = max(taken_at, 0.0) + silence
            if now < since:
                return kinds.UNKNOWN, 0.0
            return kinds.SILENT, now - since
        if seen.lost_since:
            kind = kinds.EMPTY if seen.refused else kinds.SILENT
            return kind, now - seen.lost_since
        if now - seen.heard > silence:
            return kinds.SILENT, now - seen.heard
        return kinds.HEALTHY, 0.0


def _differs(before: _Seen | None, after: _Seen) -> bool:
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
    """Return whether most of a domain is silent at once."""
    silent = sum(
        1
        for member in members.values()
        if member.health is repair.Health.SILENT
    )
    return silent * 2 > len(members)


def _list_targets(planned: abc.Iterable[stops.Stop]) -> set[str]:
    """Return the names that planned stops cover, entries left out."""
    return {
        stop.target
        for stop in planned
        if stop.scope is not stops.StopScope.ENTRY
    }

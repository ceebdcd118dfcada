"""Chooses which partly evacuated replicas to release.

A replica whose members are in two data centres can't stay as it is when
one of them is evacuated: its members elsewhere are to form new replicas.
It serves until a new replica of the model is open in its place, so that a
domain under load does not lose a replica before it has another one.
"""

from collections import abc

from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Relocation"]

Phase = upstreams.Phase
IsEvacuated = abc.Callable[[ids.DatacentreName], bool]


class Relocation:
    """Remembers how many replicas were open when an evacuation began."""

    def __init__(self) -> None:
        # Open replicas of each model that has partly evacuated ones, as
        # counted when the first of these was seen.
        self._open_counts: dict[str, int] = {}

    def choose_released(
        self,
        replicas: abc.Sequence[upstreams.Replica],
        is_evacuated: IsEvacuated,
    ) -> set[tuple[ids.ReplicaId, int]]:
        """Return the replicas to release, by id and epoch.

        Args:
            replicas: The domain's intact replicas.
            is_evacuated: Returns whether a data centre is evacuated.
        """
        split: dict[str, list[upstreams.Replica]] = {}
        serving: dict[str, int] = {}
        for replica in replicas:
            evacuated = [
                is_evacuated(member.datacentre) for member in replica.members
            ]
            if any(evacuated) and not all(evacuated):
                split.setdefault(replica.model, []).append(replica)
            if not evacuated[0] and _has_phase(replica, Phase.OPEN):
                serving[replica.model] = serving.get(replica.model, 0) + 1
        for model in self._open_counts.keys() - split.keys():
            del self._open_counts[model]
        released = set()
        for model, found in split.items():
            count = serving.get(model, 0)
            surplus = count - self._open_counts.setdefault(model, count)
            for replica in found:
                is_serving = _has_phase(
                    replica, Phase.OPEN
                ) and not is_evacuated(replica.members[0].datacentre)
                if is_serving and surplus <= 0:
                    continue
                surplus -= is_serving
                released.add((replica.id, replica.epoch))
        return released


def _has_phase(replica: upstreams.Replica, phase: upstreams.Phase) -> bool:
    seat = replica.members[0].seat
    return seat is not None and seat.phase is phase

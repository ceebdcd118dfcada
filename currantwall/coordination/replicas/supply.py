"""Counts the whole replicas of each model, and keeps their number up.

A replica whose members are in two data centres can't stay as it is when
one of them is evacuated: its members elsewhere are to form new replicas.
It serves until the open replicas without evacuated members meet the demand
for the model, so that a domain under load does not lose a replica before it
has another one.
"""

import collections
from collections import abc

from currantwall.coordination.replicas import rebalancing
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = ["Supply", "choose_released"]

Phase = upstreams.Phase
IsEvacuated = abc.Callable[[ids.DatacentreName], bool]


class Supply:
    """Counts the whole replicas of each model.

    Counts are reused until any instance changes.
    """

    def __init__(self, fleet: upstreams.Fleet) -> None:
        self._fleet = fleet
        self._generation = -1
        self._counts: dict[
            ids.ServiceName,
            collections.Counter[
                tuple[str, ids.DomainName, frozenset[ids.DatacentreName]]
            ],
        ] = {}

    def count_elsewhere(
        self,
        service: ids.ServiceName,
        domain: ids.DomainName,
        is_evacuated: IsEvacuated,
    ) -> dict[str, int]:
        """Return how many whole replicas each model has outside a domain.

        Those with a member in an evacuated data centre are not counted:
        they get no requests, or are about to be released.
        """
        if self._generation != self._fleet.generation:
            self._generation = self._fleet.generation
            self._counts.clear()
        if service not in self._counts:
            self._counts[service] = collections.Counter(
                (
                    replica.model,
                    replica.members[0].domain,
                    frozenset(one.datacentre for one in replica.members),
                )
                for replica in self._fleet.list_replicas(service)
                if replica.is_whole
            )
        found: dict[str, int] = {}
        for key, count in self._counts[service].items():
            model, replica_domain, datacentres = key
            if replica_domain != domain and not any(
                map(is_evacuated, datacentres)
            ):
                found[model] = found.get(model, 0) + count
        return found

    def list_domains(
        self,
        service: ids.ServiceName,
        engine: routes.Engine,
        is_evacuated: IsEvacuated,
    ) -> list[rebalancing.DomainSupply]:
        """Return what each domain of a service has, as of the list.

        Evacuated data centres are left out: no orders are sent there.
        """
        whole: dict[ids.DomainName, collections.Counter[str]] = {}
        members: set[ids.InstanceId] = set()
        for replica in self._fleet.list_replicas(service):
            model = engine.find(replica.model)
            if model is None or replica.size != model.size:
                continue
            if replica.is_whole:
                domain = replica.members[0].domain
                counts = whole.setdefault(domain, collections.Counter())
                counts[model.name] += 1
                members.update(member.id for member in replica.members)
        outside: dict[ids.DomainName, list[upstreams.Upstream]] = {}
        datacentres: dict[ids.DomainName, ids.DatacentreName] = {}
        for instance in self._fleet.list_service(service):
            if not instance.domain or is_evacuated(instance.datacentre):
                continue
            datacentres[instance.domain] = instance.datacentre
            if instance.id not in members and not instance.leaving:
                outside.setdefault(instance.domain, []).append(instance)
        return [
            rebalancing.DomainSupply(
                name=name,
                datacentre=datacentre,
                replicas=whole.get(name, {}),
                idle=collections.Counter(
                    instance.staged[0]
                    for instance in outside.get(name, ())
                    if instance.staged and not instance.busy
                ),
                blank=sum(
                    not instance.staged and not instance.busy
                    for instance in outside.get(name, ())
                ),
                loading=sum(
                    not instance.staged and instance.busy
                    for instance in outside.get(name, ())
                ),
                outside=len(outside.get(name, ())),
                converting=sum(
                    bool(instance.staged) and instance.busy
                    for instance in outside.get(name, ())
                ),
            )
            for name, datacentre in sorted(datacentres.items())
        ]


def choose_released(
    replicas: abc.Sequence[upstreams.Replica],
    required: abc.Mapping[str, int],
    is_evacuated: IsEvacuated,
) -> set[tuple[ids.ReplicaId, int]]:
    """Return the partly evacuated replicas to release, by id and epoch.

    Failure: a count from the past, such as that of the replicas before the
    evacuation, is unknown to a new holder of the domain. It would wait for
    a replacement that is already open.

    Args:
        replicas: The domain's intact replicas.
        required: Open replicas that the demand requires here, by model.
        is_evacuated: Returns whether a data centre is evacuated.
    """
    split: list[upstreams.Replica] = []
    serving: collections.Counter[str] = collections.Counter()
    for replica in replicas:
        evacuated = [
            is_evacuated(member.datacentre) for member in replica.members
        ]
        if any(evacuated) and not all(evacuated):
            split.append(replica)
        if not evacuated[0] and _has_phase(replica, Phase.OPEN):
            serving[replica.model] += 1
    released = set()
    for replica in split:
        is_serving = _has_phase(replica, Phase.OPEN) and not is_evacuated(
            replica.members[0].datacentre
        )
        surplus = serving[replica.model] - required.get(replica.model, 1)
        if is_serving and surplus <= 0:
            continue
        serving[replica.model] -= is_serving
        released.add((replica.id, replica.epoch))
    return released


def _has_phase(replica: upstreams.Replica, phase: upstreams.Phase) -> bool:
    seat = replica.members[0].seat
    return seat is not None and seat.phase is phase

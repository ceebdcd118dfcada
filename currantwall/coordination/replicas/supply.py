"""Counts the whole replicas of each model from the list of instances."""

import collections

from currantwall.coordination.replicas import rebalancing
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = ["Supply"]


class Supply:
    """Counts the whole replicas of each model.

    Counts are reused until any instance changes.
    """

    def __init__(self, fleet: upstreams.Fleet) -> None:
        self._fleet = fleet
        self._generation = -1
        self._counts: dict[
            ids.ServiceName, collections.Counter[tuple[str, str]]
        ] = {}

    def count_elsewhere(
        self, service: ids.ServiceName, domain: ids.DomainName
    ) -> dict[str, int]:
        """Return how many whole replicas each model has outside a domain."""
        if self._generation != self._fleet.generation:
            self._generation = self._fleet.generation
            self._counts.clear()
        if service not in self._counts:
            self._counts[service] = collections.Counter(
                (replica.model, replica.members[0].domain)
                for replica in self._fleet.list_replicas(service)
                if replica.is_whole
            )
        found: dict[str, int] = {}
        for (model, replica_domain), count in self._counts[service].items():
            if replica_domain != domain:
                found[model] = found.get(model, 0) + count
        return found

    def list_domains(
        self, service: ids.ServiceName, engine: routes.Engine
    ) -> list[rebalancing.DomainSupply]:
        """Return what each domain of a service has, as of the list."""
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
            if not instance.domain:
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
                outside=len(outside.get(name, ())),
                converting=sum(
                    bool(instance.staged) and instance.busy
                    for instance in outside.get(name, ())
                ),
            )
            for name, datacentre in sorted(datacentres.items())
        ]

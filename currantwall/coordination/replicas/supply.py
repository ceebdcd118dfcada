"""Counts the whole replicas of each model from the list of instances."""

import collections
from collections import abc

from currantwall.state import ids
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
            ids.ServiceName,
            collections.Counter[
                tuple[str, ids.DomainName, ids.DatacentreName]
            ],
        ] = {}

    def count_elsewhere(
        self,
        service: ids.ServiceName,
        domain: ids.DomainName,
        is_evacuated: abc.Callable[[ids.DatacentreName], bool],
    ) -> dict[str, int]:
        """Return how many whole replicas each model has outside a domain.

        Those of evacuated data centres are not counted: they get no
        requests.
        """
        if self._generation != self._fleet.generation:
            self._generation = self._fleet.generation
            self._counts.clear()
        if service not in self._counts:
            self._counts[service] = collections.Counter(
                (
                    replica.model,
                    replica.members[0].domain,
                    replica.members[0].datacentre,
                )
                for replica in self._fleet.list_replicas(service)
                if replica.is_whole
            )
        found: dict[str, int] = {}
        for key, count in self._counts[service].items():
            model, replica_domain, datacentre = key
            if replica_domain != domain and not is_evacuated(datacentre):
                found[model] = found.get(model, 0) + count
        return found

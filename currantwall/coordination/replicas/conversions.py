"""The instances of a domain that change from one model to another.

Replicas are drained before their instances are loaded with other weights:
the leader is closed, finishes its requests and leaves; only then are the
members free. A conversion that was begun is completed, so that nothing is
loaded and then loaded back.
"""

from collections import abc

from currantwall.coordination.replicas import layout
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = ["Conversion", "choose_drained", "choose_idle"]

# Part of its slots that a replica may have in use when it is drained; a
# busier one is not taken away.
_MAX_DRAIN_LOAD = 0.5

ReplicaKey = tuple[ids.ReplicaId, int]


class Conversion:
    """One step of a domain that is under way.

    Attributes:
        change: The decision that it carries out.
        model: Model to load.
        replicas: Replicas to drain, by id and epoch.
        instances: Instances to load that don't have the model yet.
    """

    def __init__(
        self,
        change: layout.Change,
        model: routes.Model,
        replicas: abc.Iterable[upstreams.Replica],
        idle: abc.Iterable[ids.InstanceId],
    ) -> None:
        self.change = change
        self.model = model
        self.replicas: set[ReplicaKey] = set()
        self.instances = set(idle)
        for replica in replicas:
            self.replicas.add((replica.id, replica.epoch))
            self.instances.update(member.id for member in replica.members)

    def drains(self, replica: upstreams.Replica) -> bool:
        """Return whether a replica is drained by this step."""
        return (replica.id, replica.epoch) in self.replicas


def choose_drained(
    change: layout.Change,
    replicas: abc.Sequence[upstreams.Replica],
    loads: abc.Mapping[ids.InstanceId, int],
) -> list[upstreams.Replica]:
    """Return the replicas to drain, or none if too many are busy.

    None either if the domain has fewer replicas than the step was decided
    by: an earlier holder of the domain has drained one since.

    Args:
        change: The step to begin.
        replicas: Open replicas of the surplus model in the domain.
        loads: Requests in flight by leader.
    """
    if len(replicas) < change.held:
        return []
    quiet = []
    for replica in replicas:
        leader = replica.members[0]
        load = loads.get(leader.id, 0)
        if load <= _MAX_DRAIN_LOAD * leader.slots:
            quiet.append((load, replica.id, replica))
    quiet.sort(key=lambda item: item[:2])
    if len(quiet) < change.drained:
        return []
    return [replica for _, _, replica in quiet[: change.drained]]


def choose_idle(
    change: layout.Change,
    model: routes.Model,
    idle: abc.Sequence[ids.InstanceId],
    remaining: int,
) -> list[ids.InstanceId]:
    """Return the idle instances of the surplus model to load.

    Args:
        change: The step to begin.
        model: Model to load.
        idle: Idle instances that have the weights of the surplus model.
        remaining: Replicas of the surplus model that stay in the domain.
            Without any, its spares are of no use there.
    """
    if not remaining:
        return list(idle)
    return [] if change.drained else list(idle[: model.size])

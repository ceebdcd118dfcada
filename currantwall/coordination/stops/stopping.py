"""Planned stops as operators see them, and stops of this very node.

A stop never cuts a request: what it covers leaves its replicas only when
they are drained, however long that takes, and here is said what it is
waiting for.
"""

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination.replicas import evidence
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import members
from currantwall.state import objects
from currantwall.state import stops
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["Progress", "Stopping", "covers"]

_MICROSECONDS = 1e6


class Progress(msgspec.Struct, frozen=True):
    """How far a stop has come.

    Attributes:
        waiting: What it waits for, empty when it is finished.
    """

    finished: bool
    waiting: str = ""


class Stopping(part.Part):
    """Describes stops; starts the stop of this node."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        opinions: evidence.Evidence,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._opinions = opinions

    @part.handles(messages.ObjectChanged)
    def _on_object(
        self, message: messages.ObjectChanged, now: float
    ) -> list[part.Action]:
        if message.stored.key.kind != objects.Kind.STOPS.value:
            return []
        stop = message.value
        name = message.stored.key.name
        kind = timeline.EventKind.STOP_CHANGED
        detail = "cancelled" if stop is None else f"planned for {stop.target}"
        found: list[part.Action] = [actions.Record(kind, name, detail)]
        if stop is not None and self._is_for_me(stop):
            found.append(actions.Leave(f"stop {name}"))
        return found

    def _is_for_me(self, stop: stops.Stop) -> bool:
        """Return whether a stop asks this very process to end.

        One that was planned before the process started was meant for
        its predecessor.
        """
        me = self._nodes.me
        newer = stop.planned * _MICROSECONDS > me.incarnation
        entry = stop.scope is stops.StopScope.ENTRY
        return entry and stop.target == me.id and newer

    def describe(self, stop: stops.Stop) -> Progress:
        """Return how far a stop has come."""
        if stop.scope is stops.StopScope.ENTRY:
            return self._describe_entry(stop)
        covered = {
            name
            for name, listed in self._view.instances.items()
            if covers(stop, listed)
        }
        holding = [
            replica
            for ledger in self._view.domains.values()
            for replica in ledger.replicas
            if not covered.isdisjoint(replica.members)
        ]
        if holding:
            return Progress(False, self._describe_replicas(holding))
        busy = sum(self._opinions.load_of(name)[0] for name in covered)
        if busy:
            return Progress(False, f"waiting for {busy} requests")
        return Progress(True)

    def _describe_replicas(self, holding: list[domain.Replica]) -> str:
        parts = []
        for replica in holding:
            load, _ = self._opinions.load_of(replica.id)
            if replica.phase is domain.ReplicaPhase.DRAINING:
                parts.append(f"{replica.id}: waiting for {load} requests")
            else:
                parts.append(f"{replica.id}: waiting for a replacement")
        return "; ".join(parts)

    def _describe_entry(self, stop: stops.Stop) -> Progress:
        member = self._nodes.get(ids.NodeId(stop.target))
        if member is None or member.state is members.MemberState.DEAD:
            return Progress(True)
        if member.incarnation > stop.planned * _MICROSECONDS:
            return Progress(True)
        return Progress(False, f"{member.id}: {member.state.value}")


def covers(stop: stops.Stop, listed: instances.Instance) -> bool:
    """Return whether a stop covers an instance."""
    names = {
        stops.StopScope.INSTANCE: listed.id,
        stops.StopScope.DOMAIN: listed.domain,
        stops.StopScope.DATACENTRE: listed.datacentre,
    }
    return names.get(stop.scope) == stop.target

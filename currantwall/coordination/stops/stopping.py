"""Describes planned stops for operators, and starts the stop of this node.

A stop never cuts a request: instances that it covers leave their replicas
only when these are drained, however long that takes. The description says
what the stop still waits for.
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

_MICROSECONDS_PER_SECOND = 1e6


class Progress(msgspec.Struct, frozen=True):
    """How far a stop has come.

    Attributes:
        waiting: What it waits for; empty if it has finished.
    """

    finished: bool
    waiting: str = ""


class Stopping(part.Part):
    """Describes stops and starts the stop of this node."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        upstream_evidence: evidence.Evidence,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._evidence = upstream_evidence

    @part.handles(messages.ObjectChanged)
    def _on_object(
        self, message: messages.ObjectChanged, now: float
    ) -> list[part.Action]:
        if message.stored.key.kind == objects.Kind.EVACUATIONS.value:
            return [_record_evacuation(message)]
        if message.stored.key.kind != objects.Kind.STOPS.value:
            return []
        stop = message.value
        name = message.stored.key.name
        kind = timeline.EventKind.STOP_CHANGED
        detail = "cancelled" if stop is None else f"planned for {stop.target}"
        result: list[part.Action] = [actions.Record(kind, name, detail)]
        if stop is not None and self._is_for_this_process(stop):
            result.append(actions.Leave(f"stop {name}"))
        return result

    def _is_for_this_process(self, stop: stops.Stop) -> bool:
        """Return whether a stop asks this process to end.

        A stop that was planned before the process started was meant for the
        node's previous process.
        """
        me = self._nodes.me
        is_newer = stop.planned * _MICROSECONDS_PER_SECOND > me.incarnation
        is_entry = stop.scope is stops.StopScope.ENTRY
        return is_entry and stop.target == me.id and is_newer

    def describe(self, stop: stops.Stop) -> Progress:
        """Return the progress of a stop."""
        if stop.scope is stops.StopScope.ENTRY:
            return self._describe_entry(stop)
        covered = {
            name
            for name, listed in self._view.instances.items()
            if covers(stop, listed)
        }
        affected = [
            replica
            for ledger in self._view.domains.values()
            for replica in ledger.replicas
            if not covered.isdisjoint(replica.members)
        ]
        if affected:
            return Progress(False, self._describe_replicas(affected))
        requests = sum(self._evidence.get_load(name)[0] for name in covered)
        if requests:
            return Progress(False, f"waiting for {requests} requests")
        return Progress(True)

    def _describe_replicas(self, replicas: list[domain.Replica]) -> str:
        """Return what each replica of a stop waits for."""
        parts = []
        for replica in replicas:
            load, _ = self._evidence.get_load(replica.id)
            if replica.phase is domain.ReplicaPhase.DRAINING:
                parts.append(f"{replica.id}: waiting for {load} requests")
            else:
                parts.append(f"{replica.id}: waiting for a replacement")
        return "; ".join(parts)

    def _describe_entry(self, stop: stops.Stop) -> Progress:
        """Return the progress of the stop of a node."""
        member = self._nodes.get(ids.NodeId(stop.target))
        if member is None or member.state is members.MemberState.DEAD:
            return Progress(True)
        if member.incarnation > stop.planned * _MICROSECONDS_PER_SECOND:
            return Progress(True)
        return Progress(False, f"{member.id}: {member.state.value}")


def _record_evacuation(message: messages.ObjectChanged) -> part.Action:
    """Return the entry of the timeline for a changed evacuation."""
    kind = timeline.EventKind.EVACUATION_CHANGED
    is_withdrawn = message.value is None
    detail = "withdrawn" if is_withdrawn else message.value.reason
    return actions.Record(kind, message.stored.key.name, detail or "requested")


def covers(stop: stops.Stop, listed: instances.Instance) -> bool:
    """Return whether a stop covers an instance."""
    names = {
        stops.StopScope.INSTANCE: listed.id,
        stops.StopScope.DOMAIN: listed.domain,
        stops.StopScope.DATACENTRE: listed.datacentre,
    }
    return names.get(stop.scope) == stop.target

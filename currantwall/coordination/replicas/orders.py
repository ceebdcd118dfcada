"""Orders that bring the engines of one domain to the ledger's word.

An order is derived from the stored ledger and the engine's own report,
so one that was lost or not obeyed is simply sent again, and one that was
obeyed is confirmed by the next report.
"""

from collections import abc

from currantwall.coordination import actions
from currantwall.coordination import part
from currantwall.coordination.replicas import placement
from currantwall.coordination.replicas import repair
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["Orders"]

Phase = domain.ReplicaPhase

# Orders that were not obeyed are sent again after this many seconds.
_ORDER_INTERVAL = 1.0


class Orders:
    """What was ordered lately, and what is due."""

    def __init__(
        self,
        view: views.ObjectsView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._settings = settings
        self._ordered: dict[ids.InstanceId, float] = {}
        # No order leaves before this time.
        self.not_before = 0.0

    def list_due(
        self,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        deadline: float,
        now: float,
    ) -> list[part.Action]:
        """Return the orders for what is stored and not yet obeyed.

        Args:
            ledger: The ledger as stored.
            members: What is known of the instances.
            deadline: Until when this node may act as the holder.
            now: The time.
        """
        if now < self.not_before:
            return []
        found: list[part.Action] = []
        for member in members.values():
            order = self._find_order(ledger, member)
            sent = self._ordered.get(member.id)
            if order is None:
                self._ordered.pop(member.id, None)
                continue
            if sent is not None and now < sent + _ORDER_INTERVAL:
                continue
            self._ordered[member.id] = now
            found += self._send(member, order, deadline)
        return found

    def _find_order(
        self, ledger: domain.Domain, member: placement.Member
    ) -> actions.Order | None:
        """Return the order that brings an instance to the ledger's word."""
        if member.health is not repair.Health.HEALTHY:
            return None
        replica = ledger.find_owner(member.id)
        report = member.report
        if replica is None:
            if report is not None and report.replica:
                return self._make_release(ledger, report)
            return None
        if member.runs(replica):
            return self._find_load(ledger, member, replica)
        if replica.phase is not Phase.FORMING:
            return None
        if _is_loading(report, replica):
            return None
        return self._make_form(ledger, member, replica, actions.OrderKind.FORM)

    def _find_load(
        self,
        ledger: domain.Domain,
        member: placement.Member,
        replica: domain.Replica,
    ) -> actions.Order | None:
        """Return the order to load adapters that are still missing."""
        report = member.report
        if report is None or report.adapters == replica.adapters:
            return None
        return self._make_form(ledger, member, replica, actions.OrderKind.LOAD)

    def _make_release(
        self, ledger: domain.Domain, report: instances.Report
    ) -> actions.Order:
        return actions.Order(
            kind=actions.OrderKind.RELEASE,
            epoch=ledger.epoch,
            replica=report.replica,
            generation=report.generation,
            lifetime=self._settings.order_lifetime,
        )

    def _make_form(
        self,
        ledger: domain.Domain,
        member: placement.Member,
        replica: domain.Replica,
        kind: actions.OrderKind,
    ) -> actions.Order:
        return actions.Order(
            kind=kind,
            epoch=ledger.epoch,
            replica=replica.id,
            generation=replica.generation,
            rank=replica.members.index(member.id),
            members=replica.members,
            model=replica.model,
            model_version=replica.model_version,
            adapters=replica.adapters,
            lifetime=self._settings.order_lifetime,
        )

    def _send(
        self,
        member: placement.Member,
        order: actions.Order,
        deadline: float,
    ) -> list[part.Action]:
        listed = self._view.instances.get(member.id)
        if listed is None:
            return []
        found: list[part.Action] = [
            actions.SendOrder(member.id, listed.address, order, deadline),
            actions.Count(actions.Counter.ORDERS, order.kind.value),
        ]
        if order.kind is actions.OrderKind.RELEASE:
            kind = timeline.EventKind.INSTANCE_HELD_BACK
            detail = f"reports {order.replica}"
            found.append(actions.Record(kind, member.id, detail))
            found.append(actions.Count(actions.Counter.HELD_BACK))
        return found


def _is_loading(
    report: instances.Report | None, replica: domain.Replica
) -> bool:
    return (
        report is not None
        and report.replica == replica.id
        and report.generation == replica.generation
    )

"""Orders that bring the engines of one domain to the ledger's state.

Orders are derived from the stored ledger and the engine's own report. An
order that was lost or not carried out is sent again; the next report
confirms one that was carried out.
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

# Seconds after which an order that was not carried out is sent again.
_RESEND_INTERVAL = 1.0


class Orders:
    """Chooses the orders that are due and remembers when they were sent."""

    def __init__(
        self,
        view: views.ObjectsView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._settings = settings
        self._sent_at: dict[ids.InstanceId, float] = {}
        # No order is sent before this time.
        self.not_before = 0.0

    def list_due(
        self,
        ledger: domain.Domain,
        members: abc.Mapping[ids.InstanceId, placement.Member],
        deadline: float,
        now: float,
    ) -> list[part.Action]:
        """Return the orders that the instances have not carried out yet.

        Args:
            ledger: The ledger as stored.
            members: The state of the instances.
            deadline: Until when this node may act as the holder.
            now: The time.
        """
        if now < self.not_before:
            return []
        result: list[part.Action] = []
        for member in members.values():
            order = self._choose_order(ledger, member)
            sent_at = self._sent_at.get(member.id)
            if order is None:
                self._sent_at.pop(member.id, None)
                continue
            if sent_at is not None and now < sent_at + _RESEND_INTERVAL:
                continue
            self._sent_at[member.id] = now
            result += self._make_actions(member, order, deadline)
        return result

    def _choose_order(
        self, ledger: domain.Domain, member: placement.Member
    ) -> actions.Order | None:
        """Return the order an instance needs to match the ledger, if any."""
        if member.health is not repair.Health.HEALTHY:
            return None
        replica = ledger.find_owner(member.id)
        report = member.report
        if replica is None:
            if report is not None and report.replica:
                return self._make_release_order(ledger, report)
            return None
        if member.runs(replica):
            return self._choose_load_order(ledger, member, replica)
        if replica.phase is not Phase.FORMING:
            return None
        if _is_loading(report, replica):
            return None
        return self._make_replica_order(
            ledger, member, replica, actions.OrderKind.FORM
        )

    def _choose_load_order(
        self,
        ledger: domain.Domain,
        member: placement.Member,
        replica: domain.Replica,
    ) -> actions.Order | None:
        """Return the order to load adapters unless they match the ledger."""
        report = member.report
        if report is None or report.adapters == replica.adapters:
            return None
        return self._make_replica_order(
            ledger, member, replica, actions.OrderKind.LOAD
        )

    def _make_release_order(
        self, ledger: domain.Domain, report: instances.Report
    ) -> actions.Order:
        return actions.Order(
            kind=actions.OrderKind.RELEASE,
            epoch=ledger.epoch,
            replica=report.replica,
            generation=report.generation,
            lifetime=self._settings.order_lifetime,
        )

    def _make_replica_order(
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

    def _make_actions(
        self,
        member: placement.Member,
        order: actions.Order,
        deadline: float,
    ) -> list[part.Action]:
        listed = self._view.instances.get(member.id)
        if listed is None:
            return []
        result: list[part.Action] = [
            actions.SendOrder(member.id, listed.address, order, deadline),
            actions.Count(actions.Counter.ORDERS, order.kind.value),
        ]
        if order.kind is actions.OrderKind.RELEASE:
            kind = timeline.EventKind.INSTANCE_HELD_BACK
            detail = f"reports {order.replica}"
            result.append(actions.Record(kind, member.id, detail))
            result.append(actions.Count(actions.Counter.HELD_BACK))
        return result


def _is_loading(
    report: instances.Report | None, replica: domain.Replica
) -> bool:
    """Return whether an engine already reports this generation."""
    return (
        report is not None
        and report.replica == replica.id
        and report.generation == replica.generation
    )

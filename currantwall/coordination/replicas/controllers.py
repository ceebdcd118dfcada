"""Controllers of the fabric domains this node is a candidate for."""

from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.replicas import controller
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Controllers"]


class Controllers(part.Part):
    """Creates the domain controllers and passes messages to them."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.Settings,
        call_ids: calls.Calls,
        policy: str = "weighted",
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._call_ids = call_ids
        self._policy = policy
        self._controllers: dict[
            ids.DomainName, controller.DomainController
        ] = {}
        self._ranks: dict[ids.DomainName, int] = {}
        self._assignment_outdated = True
        self._leaving = False

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        if self._assignment_outdated:
            return 0.0
        return min((c.due() for c in self._controllers.values()), default=None)

    def leave(self, now: float) -> list[part.Action]:
        """Release all leases before this node stops."""
        self._leaving = True
        result: list[part.Action] = []
        for domain_controller in self._controllers.values():
            result += domain_controller.release(now)
        return result

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._assignment_outdated:
            self._update_controllers()
        result: list[part.Action] = []
        for name, domain_controller in self._controllers.items():
            if self._leaving:
                result += domain_controller.release(now)
            elif now >= domain_controller.due():
                result += domain_controller.step(now, self._ranks.get(name, 0))
        return result

    @part.handles(part.Resumed)
    def _on_resumed(self, _: part.Resumed, now: float) -> None:
        for domain_controller in self._controllers.values():
            domain_controller.note_resumed(now)

    @part.handles(messages.MemberChanged)
    def _on_member(self, message: messages.MemberChanged, now: float) -> None:
        self._assignment_outdated = True

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        if message.stored.key.kind == objects.Kind.INSTANCES.value:
            self._assignment_outdated = True
        if message.stored.key.kind != objects.Kind.DOMAINS.value:
            for domain_controller in self._controllers.values():
                domain_controller.request_plan(now)

    def _update_controllers(self) -> None:
        """Create and drop controllers as this node's candidacies change.

        A controller that holds a lease or waits for an answer is kept.
        """
        self._assignment_outdated = False
        self._ranks = {}
        for name, datacentre in self._list_domains().items():
            scope = datacentre
            if not self._nodes.usable(datacentre):
                scope = None
            ranked = self._nodes.rank(f"domain:{name}", scope)
            ranked = ranked[: self._settings.replicas.candidates]
            me = self._nodes.me.id
            if me in ranked:
                self._ranks[name] = ranked.index(me)
                self._controllers.setdefault(name, self._make_controller(name))
        for name in list(self._controllers):
            if (
                name not in self._ranks
                and not self._controllers[name].is_active()
            ):
                del self._controllers[name]

    def _list_domains(self) -> dict[ids.DomainName, ids.DatacentreName]:
        datacentres = {
            ledger.name: ledger.datacentre
            for ledger in self._view.domains.values()
        }
        for listed in self._view.instances.values():
            if listed.kind is instances.InstanceKind.ENGINE:
                datacentres.setdefault(listed.domain, listed.datacentre)
        return datacentres

    def _make_controller(
        self, name: ids.DomainName
    ) -> controller.DomainController:
        return controller.DomainController(
            name,
            self._view,
            self._nodes,
            self._settings.replicas,
            self._settings.platform,
            self._call_ids,
            self._policy,
        )

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        result: list[part.Action] = []
        for domain_controller in self._controllers.values():
            result += domain_controller.handle_answer(answer, now)
        return result

    @part.handles(wire.Sighting)
    def _on_sighting(self, message: messages.Received, now: float) -> None:
        listed = self._view.instances.get(message.body.instance)
        name = listed.domain if listed else ids.DomainName("")
        domain_controller = self._controllers.get(name)
        if domain_controller is not None and domain_controller.holds(now):
            domain_controller.handle_sighting(message.body, message.delay, now)

    @part.handles(messages.OrderAnswered)
    def _on_order(
        self, answer: messages.OrderAnswered, now: float
    ) -> list[part.Action]:
        if answer.outcome is not messages.OrderOutcome.FENCED:
            return []
        listed = self._view.instances.get(answer.instance)
        domain_controller = (
            self._controllers.get(listed.domain) if listed else None
        )
        return (
            domain_controller.handle_fenced_order(now)
            if domain_controller
            else []
        )

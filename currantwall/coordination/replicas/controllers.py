"""The fabric domains that this node holds or stands by for."""

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
    """The domains this node holds or stands by for."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.Settings,
        numbers: calls.Calls,
        policy: str = "weighted",
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._numbers = numbers
        self._policy = policy
        self._domains: dict[ids.DomainName, controller.DomainController] = {}
        self._ranks: dict[ids.DomainName, int] = {}
        self._stale = True
        self._leaving = False

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        if self._stale:
            return 0.0
        return min((c.due() for c in self._domains.values()), default=None)

    def leave(self, now: float) -> list[part.Action]:
        """Give all leases back before a stop."""
        self._leaving = True
        found: list[part.Action] = []
        for one in self._domains.values():
            found += one.release(now)
        return found

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._stale:
            self._assign()
        found: list[part.Action] = []
        for name, one in self._domains.items():
            if self._leaving:
                found += one.release(now)
            elif now >= one.due():
                found += one.step(now, self._ranks.get(name, 0))
        return found

    @part.handles(messages.MemberChanged)
    def _on_member(self, message: messages.MemberChanged, now: float) -> None:
        self._stale = True

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        if message.stored.key.kind == objects.Kind.INSTANCES.value:
            self._stale = True
        if message.stored.key.kind != objects.Kind.DOMAINS.value:
            for one in self._domains.values():
                one.note_change(now)

    def _assign(self) -> None:
        """Work out which domains this node is a candidate for."""
        self._stale = False
        self._ranks = {}
        for name, datacentre in self._list_domains().items():
            place = datacentre
            if not self._nodes.usable(datacentre):
                place = None
            ranked = self._nodes.rank(f"domain:{name}", place)
            ranked = ranked[: self._settings.replicas.candidates]
            me = self._nodes.me.id
            if me in ranked:
                self._ranks[name] = ranked.index(me)
                self._domains.setdefault(name, self._make(name))
        for name in list(self._domains):
            if name not in self._ranks and not self._domains[name].is_busy():
                del self._domains[name]

    def _list_domains(self) -> dict[ids.DomainName, ids.DatacentreName]:
        found = {
            held.name: held.datacentre for held in self._view.domains.values()
        }
        for listed in self._view.instances.values():
            if listed.kind is instances.InstanceKind.ENGINE:
                found.setdefault(listed.domain, listed.datacentre)
        return found

    def _make(self, name: ids.DomainName) -> controller.DomainController:
        return controller.DomainController(
            name,
            self._view,
            self._nodes,
            self._settings.replicas,
            self._settings.platform,
            self._numbers,
            self._policy,
        )

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        found: list[part.Action] = []
        for one in self._domains.values():
            found += one.handle_answer(answer, now)
        return found

    @part.handles(wire.Sighting)
    def _on_sighting(self, message: messages.Received, now: float) -> None:
        listed = self._view.instances.get(message.body.instance)
        name = listed.domain if listed else ids.DomainName("")
        one = self._domains.get(name)
        if one is not None and one.holds(now):
            one.note_sighting(message.body, message.delay, now)

    @part.handles(messages.OrderAnswered)
    def _on_order(
        self, answer: messages.OrderAnswered, now: float
    ) -> list[part.Action]:
        if answer.outcome is not messages.OrderOutcome.FENCED:
            return []
        listed = self._view.instances.get(answer.instance)
        one = self._domains.get(listed.domain) if listed else None
        return one.handle_fenced(now) if one else []

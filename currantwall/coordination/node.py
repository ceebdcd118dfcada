"""All decisions of one entry process, wired together.

`Node` takes messages from the transport and returns the actions for it.
Messages that parts send each other are worked off inside. It is the
whole of a process but for its sockets, so a session of several nodes can
run in one test under a virtual clock.
"""

import collections

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.peers import broadcast
from currantwall.coordination.peers import entries
from currantwall.coordination.peers import links
from currantwall.coordination.peers import membership
from currantwall.coordination.profiles import configuration
from currantwall.coordination.profiles import edits
from currantwall.coordination.profiles import granting
from currantwall.coordination.profiles import usage
from currantwall.coordination.replicas import controllers
from currantwall.coordination.replicas import evidence
from currantwall.coordination.replicas import observation
from currantwall.coordination.requests import admission
from currantwall.coordination.requests import homes
from currantwall.coordination.requests import routing
from currantwall.coordination.stops import stopping
from currantwall.state import ids
from currantwall.state import members
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Node"]


class Node:
    """The parts of one process and the messages between them."""

    def __init__(
        self,
        settings: settings_module.Settings,
        incarnation: ids.Incarnation,
        started: float,
        policy: str = "weighted",
    ) -> None:
        me = members.Member(
            id=settings.node.id,
            datacentre=settings.node.datacentre,
            address=settings.node.address,
            peer_address=settings.node.peer_address,
            incarnation=incarnation,
        )
        numbers = calls.Calls()
        self.settings = settings
        self.nodes = views.MembersView(me)
        self.view = views.ObjectsView()
        self.links = links.Links(self.nodes)
        self.membership = membership.Membership(
            self.nodes, self.view, settings.peers
        )
        self.broadcast = broadcast.Broadcast(
            self.nodes, self.membership, settings.peers
        )
        self.configuration = configuration.Configuration(
            self.view,
            self.nodes,
            self.membership,
            settings.platform,
            numbers,
        )
        self.edits = edits.Edits(
            self.view, self.nodes, settings.peers, numbers
        )
        self.observation = observation.Observation(
            self.view, self.nodes, settings.replicas
        )
        self.evidence = evidence.Evidence(self.view, settings.replicas)
        self.controllers = controllers.Controllers(
            self.view, self.nodes, settings, numbers, policy
        )
        self.granting = granting.Granting(self.view, self.nodes, numbers)
        self.homes = homes.Homes(
            self.nodes, settings.requests, numbers, started
        )
        self.router = routing.Router(
            self.view, self.nodes, self.evidence, settings
        )
        self.admission = admission.Admission(self.router, self.nodes, settings)
        self.usage = usage.Usage(self.view)
        self.stopping = stopping.Stopping(self.view, self.nodes, self.evidence)
        self.entries = entries.Entries(self.nodes, settings.requests)
        self._parts: tuple[part.Part, ...] = (
            self.membership,
            self.configuration,
            self.edits,
            self.observation,
            self.evidence,
            self.controllers,
            self.granting,
            self.homes,
            self.admission,
            self.usage,
            self.stopping,
            self.broadcast,
        )
        self._subscribers: dict[type, list[part.Part]] = {}
        for one in self._parts:
            for topic in one.handlers:
                self._subscribers.setdefault(topic, []).append(one)

    @property
    def is_ready(self) -> bool:
        """Return whether the node may be given requests."""
        return self.configuration.is_ready

    def due(self) -> float | None:
        """Return when the next `part.Tick` is wanted."""
        times = [one.due() for one in self._parts]
        return min((at for at in times if at is not None), default=None)

    def handle(self, message: part.Message, now: float) -> list[part.Action]:
        """Return what the transport has to do about a message."""
        queue = collections.deque([message])
        outward: list[part.Action] = []
        while queue:
            current = queue.popleft()
            for one in self._subscribers.get(current.topic, ()):
                found = one.handle(current, now)
                self._sort(found, queue, outward, now)
        return outward

    def receive(
        self, envelope: wire.Envelope, now: float
    ) -> list[part.Action]:
        """Return what to do about an envelope from another node."""
        message, found = self.links.open(envelope, now)
        if message is not None:
            found += self.handle(message, now)
        return found

    def leave(self, now: float) -> list[part.Action]:
        """Begin a graceful stop: announce it, give the leases back."""
        found = self.membership.leave() + self.controllers.leave(now)
        outward: list[part.Action] = []
        queue: collections.deque[part.Message] = collections.deque()
        self._sort(found, queue, outward, now)
        while queue:
            outward += self.handle(queue.popleft(), now)
        return outward

    def _sort(
        self,
        found: list[part.Action],
        queue: collections.deque[part.Message],
        outward: list[part.Action],
        now: float,
    ) -> None:
        """Part actions for this process from those for the transport."""
        for action in found:
            if isinstance(action, actions.Tell):
                queue.append(action.message)
            elif isinstance(action, actions.Publish):
                sent = self.broadcast.publish(action, now)
                self._sort(sent, queue, outward, now)
            elif isinstance(action, actions.Send) and self._is_me(action):
                me = self.nodes.me.id
                queue.append(messages.Received(me, action.body))
            else:
                outward.append(action)

    def _is_me(self, action: actions.Send) -> bool:
        return action.to == self.nodes.me.id

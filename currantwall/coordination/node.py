"""All decisions of one entry process, connected with each other.

`Node` takes messages from the transport and returns actions for it.
Messages between parts are handled inside. It contains everything of a
process except I/O, so that a test can run several nodes under a virtual
clock.
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

# Most seconds between two messages to a running node.
_BEAT_SECONDS = 0.2
# Seconds by which a beat is late if the process was not running. With the
# interval it is less than the default timeout of a probe (0.5 s), so that no
# pause that outlasts a probe is missed.
_PAUSE_SECONDS = 0.25


class Node:
    """The parts of one process, and the delivery of messages to them."""

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
        call_ids = calls.Calls()
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
            call_ids,
        )
        self.edits = edits.Edits(
            self.view, self.nodes, settings.peers, call_ids
        )
        self.observation = observation.Observation(
            self.view, self.nodes, settings.replicas
        )
        self.evidence = evidence.Evidence(self.view, settings.replicas)
        self.controllers = controllers.Controllers(
            self.view, self.nodes, settings, call_ids, policy
        )
        self.granting = granting.Granting(self.view, self.nodes, call_ids)
        self.homes = homes.Homes(
            self.nodes, settings.requests, call_ids, started
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
        self._next_beat: float | None = None
        self._subscribers: dict[type, list[part.Part]] = {}
        for subscriber in self._parts:
            for topic in subscriber.handlers:
                self._subscribers.setdefault(topic, []).append(subscriber)

    @property
    def is_ready(self) -> bool:
        """Return whether requests may be sent to the node."""
        return self.configuration.is_ready

    def due(self) -> float | None:
        """Return the time of the next `part.Tick` that any part needs."""
        times = [item.due() for item in self._parts]
        return min((time for time in times if time is not None), default=None)

    @property
    def next_beat(self) -> float:
        """Return when the next `part.Beat` is due if nothing else arrives."""
        return self._next_beat or 0.0

    def handle(self, message: part.Message, now: float) -> list[part.Action]:
        """Handle a message and return the actions for the transport."""
        queue = collections.deque([message])
        if self._was_paused(now):
            queue.appendleft(part.Resumed())
        outgoing: list[part.Action] = []
        while queue:
            current = queue.popleft()
            for subscriber in self._subscribers.get(current.topic, ()):
                resulting = subscriber.handle(current, now)
                self._dispatch(resulting, queue, outgoing, now)
        return outgoing

    def _was_paused(self, now: float) -> bool:
        """Return whether the process was not running until now."""
        was_due, self._next_beat = self._next_beat, now + _BEAT_SECONDS
        return was_due is not None and now - was_due > _PAUSE_SECONDS

    def receive(
        self, envelope: wire.Envelope, now: float
    ) -> list[part.Action]:
        """Handle an envelope and return the actions for the transport."""
        message, outgoing = self.links.open(envelope, now)
        if message is not None:
            outgoing += self.handle(message, now)
        return outgoing

    def leave(self, now: float) -> list[part.Action]:
        """Begin a graceful stop: announce it and release the leases."""
        resulting = self.membership.leave() + self.controllers.leave(now)
        outgoing: list[part.Action] = []
        queue: collections.deque[part.Message] = collections.deque()
        self._dispatch(resulting, queue, outgoing, now)
        while queue:
            outgoing += self.handle(queue.popleft(), now)
        return outgoing

    def _dispatch(
        self,
        resulting: list[part.Action],
        queue: collections.deque[part.Message],
        outgoing: list[part.Action],
        now: float,
    ) -> None:
        """Queue messages for this process and collect all other actions."""
        for action in resulting:
            if isinstance(action, actions.Tell):
                queue.append(action.message)
            elif isinstance(action, actions.Publish):
                sends = self.broadcast.publish(action, now)
                self._dispatch(sends, queue, outgoing, now)
            elif isinstance(action, actions.Send) and self._is_to_me(action):
                me = self.nodes.me.id
                queue.append(messages.Received(me, action.body))
            else:
                outgoing.append(action)

    def _is_to_me(self, action: actions.Send) -> bool:
        return action.to == self.nodes.me.id

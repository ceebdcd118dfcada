"""Who is served now, who waits, who is refused.

Requests that find room are routed at once. When their target is full,
they wait in queues, one an organisation, served by weighted fairness
among organisations and by worth within one. A request that cannot be
answered before its deadline is refused at once, with the time after
which to come back; so is the least worthy one when the queue is full.

An organisation's slots over all entries follow from what all entries say
of its demand; each entry computes the same division and takes its part.
A part that shrinks does so at once, one that grows only an interval
later, so that the parts never add up to more than the whole for long.
"""

from collections import abc
import heapq
import math

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.requests import fairness
from currantwall.coordination.requests import routing
from currantwall.state import ids
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Admission", "Cancelled"]

_INTERVAL = 1.0
_DEMAND_AGE = 4.0
_SMOOTHING = 0.3
_QUEUE_TICK = 0.05
# Until ends have been measured, one request is taken to take so long.
_FIRST_SECONDS = 1.0
# An organisation may always have so many under way at one entry.
_LEAST_SLOTS = 1.0


class Cancelled(part.Message, frozen=True):
    """A caller left while its request waited."""

    ticket: int


class _Waiting(msgspec.Struct):
    request: routing.RouteRequested
    arrived: float
    number: int
    over: bool = False


class _Queue:
    """Waiting requests of one organisation for one target."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, float, int, _Waiting]] = []
        self.count = 0
        self.virtual = 0.0

    def push(self, waiting: _Waiting) -> None:
        """Add a request; the worthiest and most urgent comes first."""
        request = waiting.request
        key = (-request.weight, request.deadline, waiting.number, waiting)
        heapq.heappush(self._heap, key)
        self.count += 1

    def peek(self) -> _Waiting | None:
        """Return the next request."""
        while self._heap and self._heap[0][3].over:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def drop(self, waiting: _Waiting) -> None:
        """Take a request out."""
        waiting.over = True
        self.count -= 1

    def select(self) -> list[_Waiting]:
        """Return the waiting requests, in no order."""
        return [item[3] for item in self._heap if not item[3].over]


class _Target:
    """Queues and measures of one profile or service."""

    def __init__(self) -> None:
        self.queues: dict[ids.OrganisationName, _Queue] = {}
        self.open: dict[ids.OrganisationName, int] = {}
        self.arrivals: dict[ids.OrganisationName, float] = {}
        self.rates: dict[ids.OrganisationName, float] = {}
        self.limits: dict[ids.OrganisationName, float] = {}
        self.seconds = _FIRST_SECONDS
        self.ends = 0
        self.end_rate = 0.0
        self.virtual = 0.0

    @property
    def waiting(self) -> int:
        """Return the requests that wait."""
        return sum(queue.count for queue in self.queues.values())


class _PeerDemand(msgspec.Struct):
    rate: float
    heard: float


class Admission(part.Part):
    """Admits, queues and refuses requests of this entry."""

    def __init__(
        self,
        router: routing.Router,
        nodes: views.MembersView,
        settings: settings_module.Settings,
    ) -> None:
        self._router = router
        self._nodes = nodes
        self._settings = settings.requests
        self._weights = {
            one.name: one.weight for one in settings.organisations
        }
        self._rates = {one.name: one.rate for one in settings.organisations}
        self._tokens: dict[ids.OrganisationName, tuple[float, float]] = {}
        self._targets: dict[str, _Target] = {}
        self._peers: dict[
            tuple[str, ids.OrganisationName, ids.NodeId], _PeerDemand
        ] = {}
        self._attempts: dict[
            ids.AttemptId, tuple[str, ids.OrganisationName, float]
        ] = {}
        self._number = 0
        self._next_interval = 0.0
        self._next_look = math.inf

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return min(self._next_interval, self._next_look)

    # -- Requests

    @part.handles(routing.RouteRequested)
    def _on_request(
        self, request: routing.RouteRequested, now: float
    ) -> list[part.Action]:
        unknown = self._router.find_unknown(request)
        if unknown is not None:
            # Before anything is kept: callers must not be able to make
            # this grow with names that do not exist.
            return self._refuse(request, unknown)
        target = self._targets.setdefault(request.target, _Target())
        owner = request.organisation
        retry = bool(request.excluded)
        if not retry:
            target.arrivals[owner] = target.arrivals.get(owner, 0.0) + 1
            refused = self._check_rate(request, now)
            if refused is not None:
                return self._refuse(request, refused)
        if not target.waiting and self._is_within(target, owner):
            answer = self._router.choose(request, now)
            if isinstance(answer, routing.Route):
                return self._start(target, request, answer, now)
            if answer.reason is not routing.RefusalReason.OVERLOADED:
                return self._refuse(request, answer)
        return self._enqueue(target, request, now)

    def _check_rate(
        self, request: routing.RouteRequested, now: float
    ) -> routing.Refusal | None:
        """Return the refusal of an organisation over its rate."""
        rate = self._rates.get(request.organisation, 0.0)
        if rate <= 0:
            return None
        own = rate * self._measure_part(request)
        tokens, at = self._tokens.get(request.organisation, (own, now))
        tokens = min(max(own, 1.0), tokens + (now - at) * own)
        if tokens < 1.0:
            self._tokens[request.organisation] = (tokens, now)
            return routing.Refusal(
                routing.RefusalReason.RATE,
                f"{request.organisation} is over {rate:g} requests a second",
                (1.0 - tokens) / max(own, 1e-3),
            )
        self._tokens[request.organisation] = (tokens - 1.0, now)
        return None

    def _measure_part(self, request: routing.RouteRequested) -> float:
        """Return this entry's part of an organisation's demand."""
        owner = request.organisation
        own = sum(
            target.rates.get(owner, 0.0) for target in self._targets.values()
        )
        others = sum(
            peer.rate
            for (_, name, _), peer in self._peers.items()
            if name == owner
        )
        if own + others <= 0:
            return 1.0 / max(1, len(self._nodes.usable()))
        entries = max(1, len(self._nodes.usable()))
        return max(own / (own + others), 0.2 / entries)

    def _is_within(self, target: _Target, owner: ids.OrganisationName) -> bool:
        """Return whether an organisation is under its part of the slots."""
        limit = target.limits.get(owner)
        if limit is None:
            return True
        return target.open.get(owner, 0) < max(limit, _LEAST_SLOTS)

    def _start(
        self,
        target: _Target,
        request: routing.RouteRequested,
        route: routing.Route,
        now: float,
    ) -> list[part.Action]:
        owner = request.organisation
        target.open[owner] = target.open.get(owner, 0) + 1
        self._attempts[route.attempt] = (request.target, owner, now)
        self._router.start(request, route, now)
        return [actions.Reply(request.ticket, route)]

    @staticmethod
    def _refuse(
        request: routing.RouteRequested, refusal: routing.Refusal
    ) -> list[part.Action]:
        label = refusal.reason.value
        return [
            actions.Count(actions.Counter.REFUSALS, label),
            actions.Reply(request.ticket, refusal),
        ]

    # -- Waiting

    def _enqueue(
        self,
        target: _Target,
        request: routing.RouteRequested,
        now: float,
    ) -> list[part.Action]:
        self._number += 1
        waiting = _Waiting(request, now, self._number)
        queue = target.queues.setdefault(request.organisation, _Queue())
        if queue.count == 0:
            queue.virtual = max(queue.virtual, target.virtual)
        if not self._can_wait(target, queue, request, now):
            found = self._make_room(target, queue, request, now)
            if found is None:
                return self._refuse(request, self._explain(target, now))
            queue.push(waiting)
            return found
        queue.push(waiting)
        self._next_look = min(self._next_look, now + _QUEUE_TICK)
        return []

    def _can_wait(
        self,
        target: _Target,
        queue: _Queue,
        request: routing.RouteRequested,
        now: float,
    ) -> bool:
        """Return whether a request may hope to be answered in time."""
        if target.waiting >= self._settings.queue_limit:
            return False
        ahead = sum(
            1
            for other in queue.select()
            if other.request.weight >= request.weight
        )
        wait = self._estimate_wait(target, queue, ahead + 1)
        latest = request.deadline - target.seconds if request.deadline else 0.0
        limit = now + self._settings.queue_time
        if request.deadline:
            limit = min(limit, latest)
        return now + wait <= limit

    def _estimate_wait(
        self, target: _Target, queue: _Queue, place: int
    ) -> float:
        """Return the seconds until the one at a place is served.

        Organisations that wait share the ends by their weights.
        """
        if target.end_rate <= 0:
            return 0.0
        busy = sum(
            self._weigh(owner)
            for owner, other in target.queues.items()
            if other.count or other is queue
        )
        owner = next(
            name for name, other in target.queues.items() if other is queue
        )
        share = self._weigh(owner) / busy
        return place / (target.end_rate * share)

    def _weigh(self, owner: ids.OrganisationName) -> float:
        return self._weights.get(owner, 1.0)

    def _make_room(
        self,
        target: _Target,
        queue: _Queue,
        request: routing.RouteRequested,
        now: float,
    ) -> list[part.Action] | None:
        """Refuse a less worthy one that waits; None when there is none.

        It gets its final answer at once.
        """
        waiting = queue.select()
        if not waiting:
            return None
        least = min(
            waiting,
            key=lambda one: (one.request.weight, -one.number),
        )
        if least.request.weight >= request.weight:
            return None
        queue.drop(least)
        return self._refuse(least.request, self._explain(target, now))

    def _explain(self, target: _Target, now: float) -> routing.Refusal:
        """Return the refusal of a request that cannot be met."""
        wait = 1.0
        if target.end_rate > 0:
            wait = target.waiting / target.end_rate
        return routing.Refusal(
            routing.RefusalReason.DEADLINE,
            "it could not be answered in time",
            min(max(1.0, wait), 30.0),
        )

    @part.handles(Cancelled)
    def _on_cancel(self, message: Cancelled, now: float) -> None:
        for target in self._targets.values():
            for queue in target.queues.values():
                for waiting in queue.select():
                    if waiting.request.ticket == message.ticket:
                        queue.drop(waiting)

    # -- Serving those that wait

    @part.handles(routing.AttemptEnded)
    def _on_end(
        self, ended: routing.AttemptEnded, now: float
    ) -> list[part.Action]:
        held = self._router.end(ended, now)
        known = self._attempts.pop(ended.attempt, None)
        if held is None or known is None:
            return [actions.Count(actions.Counter.LATE_ANSWERS)]
        name, owner, started = known
        target = self._targets[name]
        target.open[owner] -= 1
        if ended.kind is routing.EndKind.ANSWERED:
            spent = now - started
            target.seconds += 0.05 * (spent - target.seconds)
            target.ends += 1
        return self._serve(target, now)

    def _serve(self, target: _Target, now: float) -> list[part.Action]:
        """Start those that wait while there is room."""
        found: list[part.Action] = []
        while target.waiting:
            queue = self._choose_queue(target)
            if queue is None:
                break
            waiting = queue.peek()
            assert waiting is not None
            request = waiting.request
            if self._is_late(target, request, now):
                queue.drop(waiting)
                found += self._refuse(request, self._explain(target, now))
                continue
            answer = self._router.choose(request, now)
            if isinstance(answer, routing.Refusal):
                if answer.reason is routing.RefusalReason.OVERLOADED:
                    break
                queue.drop(waiting)
                found += self._refuse(request, answer)
                continue
            queue.drop(waiting)
            target.virtual = queue.virtual
            queue.virtual += 1.0 / self._weigh(request.organisation)
            found += self._start(target, request, answer, now)
        return found

    def _choose_queue(self, target: _Target) -> _Queue | None:
        """Return the queue whose organisation has had least so far."""
        able = [
            queue
            for owner, queue in target.queues.items()
            if queue.count and self._is_within(target, owner)
        ]
        return min(able, key=lambda queue: queue.virtual, default=None)

    @staticmethod
    def _is_late(
        target: _Target, request: routing.RouteRequested, now: float
    ) -> bool:
        if not request.deadline:
            return False
        return now + target.seconds / 2 > request.deadline

    # -- Time

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        if now >= self._next_look:
            self._next_look = math.inf
            for target in self._targets.values():
                found += self._expire(target, now)
                found += self._serve(target, now)
                if target.waiting:
                    self._next_look = now + _QUEUE_TICK
        if now >= self._next_interval:
            found += self._start_interval(now)
        return found

    def _expire(self, target: _Target, now: float) -> list[part.Action]:
        """Refuse those that waited too long; they are told at once."""
        found: list[part.Action] = []
        for queue in target.queues.values():
            for waiting in queue.select():
                request = waiting.request
                limit = waiting.arrived + self._settings.queue_time
                if now >= limit or self._is_late(target, request, now):
                    queue.drop(waiting)
                    explained = self._explain(target, now)
                    found += self._refuse(request, explained)
        return found

    def _start_interval(self, now: float) -> list[part.Action]:
        self._next_interval = now + _INTERVAL
        found: list[part.Action] = []
        for key, peer in list(self._peers.items()):
            if now - peer.heard > _DEMAND_AGE:
                del self._peers[key]
        for name, target in list(self._targets.items()):
            if self._router.find_unknown(_make_probe(name)) is not None:
                self._drop_target(name, target)
                continue
            self._measure(target)
            self._divide(name, target, now)
            found += self._publish(name, target)
        return found

    def _drop_target(self, name: str, target: _Target) -> None:
        """Forget a deleted profile once nothing of it is left."""
        if not target.waiting and not any(target.open.values()):
            del self._targets[name]

    @staticmethod
    def _measure(target: _Target) -> None:
        rate = target.ends / _INTERVAL
        target.end_rate += _SMOOTHING * (rate - target.end_rate)
        target.ends = 0
        owners = target.arrivals.keys() | target.rates.keys()
        for owner in owners:
            seen = target.arrivals.get(owner, 0.0) / _INTERVAL
            before = target.rates.get(owner, 0.0)
            target.rates[owner] = before + _SMOOTHING * (seen - before)
        target.arrivals.clear()

    @staticmethod
    def _publish(name: str, target: _Target) -> list[part.Action]:
        return [
            actions.Publish(
                wire.Demand(
                    profile=ids.ProfileName(name),
                    organisation=owner,
                    rate=round(rate, 2),
                )
            )
            for owner, rate in target.rates.items()
            if rate >= 0.01
        ]

    @part.handles(wire.Demand)
    def _on_demand(self, message: messages.Delivered, now: float) -> None:
        body = message.payload
        key = (body.profile, body.organisation, message.origin)
        self._peers[key] = _PeerDemand(body.rate, now)

    # -- Shares

    def _divide(self, name: str, target: _Target, now: float) -> None:
        """Work out how many slots each organisation has at this entry."""
        demands = dict(target.rates)
        for (profile, owner, _), peer in self._peers.items():
            if profile == name:
                demands[owner] = demands.get(owner, 0.0) + peer.rate
        slots = self._router.count_slots(_make_probe(name), now)
        asked = {
            owner: rate * target.seconds for owner, rate in demands.items()
        }
        limits: dict[ids.OrganisationName, float] = {}
        if sum(asked.values()) > slots > 0:
            limits = self._share(slots, asked, demands, target)
        self._apply_limits(target, limits)

    def _share(
        self,
        slots: float,
        asked: abc.Mapping[ids.OrganisationName, float],
        demands: abc.Mapping[ids.OrganisationName, float],
        target: _Target,
    ) -> dict[ids.OrganisationName, float]:
        shares = fairness.divide(slots, asked, self._weights)
        found = {}
        for owner, rate in target.rates.items():
            if demands[owner] > 0:
                found[owner] = shares[owner] * rate / demands[owner]
        return found

    @staticmethod
    def _apply_limits(
        target: _Target, limits: dict[ids.OrganisationName, float]
    ) -> None:
        """Lower at once; raise half of the way each interval."""
        for owner, limit in limits.items():
            held = target.limits.get(owner)
            if held is not None and limit > held:
                limits[owner] = held + (limit - held) / 2
        target.limits = limits


def _make_probe(name: str) -> routing.RouteRequested:
    """Return a request that stands for any of a target's."""
    mark = "service:"
    attempt = ids.AttemptId("")
    if name.startswith(mark):
        service = ids.ServiceName(name[len(mark) :])
        return routing.RouteRequested(
            ticket=0, attempt=attempt, service=service
        )
    return routing.RouteRequested(
        ticket=0, attempt=attempt, profile=ids.ProfileName(name)
    )

"""Admission control: which requests are started, queued or refused.

A request is routed at once when its target has a free slot. Otherwise it
waits in the queue of its organisation; the queues share the slots by
weighted fair queueing, and within one queue the request with the highest
weight comes first. A request that finds the queues full, would wait too
long or cannot be answered before its deadline is refused at once, with the
time to wait before a retry. If the queue of its organisation holds requests
of a lower weight, the one with the lowest is refused in its place.

The slots that an organisation may use over all entries follow from its
demand at all entries, which they publish. Each entry computes the same
division and takes its own share of it. A share that shrinks does so at
once, and one that grows does so over several intervals, so that the
shares of all entries do not exceed the whole for long.
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

# Between two measurements of the rates and divisions of the slots.
_INTERVAL_SECONDS = 1.0
# Age at which the demand published by another entry expires.
_DEMAND_TTL_SECONDS = 4.0
# Weight of the newest interval in the moving averages of the rates.
_RATE_SMOOTHING = 0.3
_QUEUE_CHECK_SECONDS = 0.05
# Assumed duration of a request until some have been measured.
_INITIAL_REQUEST_SECONDS = 1.0
# Slots that an organisation may always use at one entry.
_MIN_SLOTS = 1.0


class Cancelled(part.Message, frozen=True):
    """A caller disconnected while its request was queued."""

    ticket: int


class _QueuedRequest(msgspec.Struct):
    """A request that waits in a queue.

    Attributes:
        number: Increases with each request queued at this entry.
        removed: Whether it has left the queue; the heap may still hold it.
    """

    request: routing.RouteRequested
    arrived: float
    number: int
    removed: bool = False


class _Queue:
    """Queued requests of one organisation for one target.

    Attributes:
        count: Requests in the queue.
        virtual_time: Requests served, divided by the organisation's
            weight; the queue with the smallest is served next.
    """

    def __init__(self) -> None:
        self._heap: list[tuple[float, float, int, _QueuedRequest]] = []
        self.count = 0
        self.virtual_time = 0.0

    def push(self, queued: _QueuedRequest) -> None:
        """Add a request.

        The one with the highest weight comes first; of equal weights the
        one with the earliest deadline.
        """
        request = queued.request
        key = (-request.weight, request.deadline, queued.number, queued)
        heapq.heappush(self._heap, key)
        self.count += 1

    def peek(self) -> _QueuedRequest | None:
        """Return the next request, None if there is none."""
        while self._heap and self._heap[0][3].removed:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def remove(self, queued: _QueuedRequest) -> None:
        """Remove a request."""
        queued.removed = True
        self.count -= 1

    def list_requests(self) -> list[_QueuedRequest]:
        """Return the queued requests, in no particular order."""
        return [item[3] for item in self._heap if not item[3].removed]


class _Target:
    """Queues and measurements of one profile or service.

    Attributes:
        queues: Queue of each organisation.
        open: Attempts in progress of each organisation.
        arrivals: New requests of each organisation in this interval;
            retries are not counted.
        arrival_rates: Requests a second of each organisation at this
            entry, a moving average.
        slot_limits: Slots of each organisation at this entry; one that is
            not listed has no limit.
        request_seconds: Moving average of the duration of an attempt.
        completions: Attempts answered in this interval.
        completion_rate: Attempts answered a second, a moving average.
        virtual_time: Virtual time of the queue served last, before that
            request; a queue that was empty starts from no less.
    """

    def __init__(self) -> None:
        self.queues: dict[ids.OrganisationName, _Queue] = {}
        self.open: dict[ids.OrganisationName, int] = {}
        self.arrivals: dict[ids.OrganisationName, float] = {}
        self.arrival_rates: dict[ids.OrganisationName, float] = {}
        self.slot_limits: dict[ids.OrganisationName, float] = {}
        self.request_seconds = _INITIAL_REQUEST_SECONDS
        self.completions = 0
        self.completion_rate = 0.0
        self.virtual_time = 0.0

    @property
    def queued_count(self) -> int:
        """Return the number of queued requests."""
        return sum(queue.count for queue in self.queues.values())


class _PeerDemand(msgspec.Struct):
    """Demand of an organisation that another entry has published.

    Attributes:
        rate: Requests a second.
        received: When it arrived here.
    """

    rate: float
    received: float


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
            section.name: section.weight for section in settings.organisations
        }
        self._rates = {
            section.name: section.rate for section in settings.organisations
        }
        # Token buckets: the tokens and when they were counted.
        self._tokens: dict[ids.OrganisationName, tuple[float, float]] = {}
        self._targets: dict[str, _Target] = {}
        # By profile, organisation and entry.
        self._peer_demands: dict[
            tuple[str, ids.OrganisationName, ids.NodeId], _PeerDemand
        ] = {}
        # Target, organisation and start of each attempt in progress.
        self._attempts: dict[
            ids.AttemptId, tuple[str, ids.OrganisationName, float]
        ] = {}
        self._last_number = 0
        self._next_interval = 0.0
        self._next_queue_check = math.inf
        # Seconds for which requests wait for the observers' first evidence
        # after a pause of this process: until a probe has timed out and the
        # next one is answered.
        self._hold_seconds = (
            settings.replicas.observe_timeout
            + settings.replicas.observe_interval
        )
        self._held_until = 0.0

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return min(self._next_interval, self._next_queue_check)

    # -- Requests

    @part.handles(routing.RouteRequested)
    def _on_request(
        self, request: routing.RouteRequested, now: float
    ) -> list[part.Action]:
        unknown = self._router.check_target(request)
        if unknown is not None:
            # Checked before anything is stored, so that requests for
            # names that do not exist cannot use up memory.
            return self._refuse(request, unknown)
        target = self._targets.setdefault(request.target, _Target())
        organisation = request.organisation
        is_retry = bool(request.excluded)
        if not is_retry:
            target.arrivals[organisation] = (
                target.arrivals.get(organisation, 0.0) + 1
            )
            refused = self._check_rate(request, now)
            if refused is not None:
                return self._refuse(request, refused)
        if not target.queued_count and self._is_below_limit(
            target, organisation
        ):
            answer = self._router.choose(request, now)
            if isinstance(answer, routing.Route):
                return self._start_attempt(target, request, answer, now)
            if not self._may_wait(answer, now):
                return self._refuse(request, answer)
        return self._enqueue(target, request, now)

    @part.handles(part.Resumed)
    def _on_resumed(self, _: part.Resumed, now: float) -> None:
        """Hold requests that find no upstream after a pause.

        Failure: the evidence of all upstreams has expired while this
        process was paused, and requests are refused though every replica
        serves.
        """
        self._held_until = now + self._hold_seconds

    def _may_wait(self, refusal: routing.Refusal, now: float) -> bool:
        """Return whether what prevents a request may soon be over."""
        reasons = routing.RefusalReason
        if refusal.reason is reasons.NO_REPLICA:
            return now < self._held_until
        return refusal.reason is reasons.OVERLOADED

    def _check_rate(
        self, request: routing.RouteRequested, now: float
    ) -> routing.Refusal | None:
        """Return the refusal if the organisation exceeds its rate.

        The rate is enforced by a token bucket that holds one second's
        requests, at least one.
        """
        rate = self._rates.get(request.organisation, 0.0)
        if rate <= 0:
            return None
        local_rate = rate * self._compute_local_share(request)
        tokens, counted_at = self._tokens.get(
            request.organisation, (local_rate, now)
        )
        tokens = min(
            max(local_rate, 1.0), tokens + (now - counted_at) * local_rate
        )
        if tokens < 1.0:
            self._tokens[request.organisation] = (tokens, now)
            return routing.Refusal(
                routing.RefusalReason.RATE,
                f"{request.organisation} is over {rate:g} requests a second",
                (1.0 - tokens) / max(local_rate, 1e-3),
            )
        self._tokens[request.organisation] = (tokens - 1.0, now)
        return None

    def _compute_local_share(self, request: routing.RouteRequested) -> float:
        """Return this entry's share of an organisation's demand.

        An equal share while no demand is known; never less than a fifth
        of that.
        """
        organisation = request.organisation
        local = sum(
            target.arrival_rates.get(organisation, 0.0)
            for target in self._targets.values()
        )
        others = sum(
            peer.rate
            for (_, name, _), peer in self._peer_demands.items()
            if name == organisation
        )
        if local + others <= 0:
            return 1.0 / max(1, len(self._nodes.usable()))
        entries = max(1, len(self._nodes.usable()))
        return max(local / (local + others), 0.2 / entries)

    def _is_below_limit(
        self, target: _Target, organisation: ids.OrganisationName
    ) -> bool:
        """Return whether an organisation uses less than its slots."""
        limit = target.slot_limits.get(organisation)
        if limit is None:
            return True
        return target.open.get(organisation, 0) < max(limit, _MIN_SLOTS)

    def _start_attempt(
        self,
        target: _Target,
        request: routing.RouteRequested,
        route: routing.Route,
        now: float,
    ) -> list[part.Action]:
        organisation = request.organisation
        target.open[organisation] = target.open.get(organisation, 0) + 1
        self._attempts[route.attempt] = (request.target, organisation, now)
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

    # -- Queueing

    def _enqueue(
        self,
        target: _Target,
        request: routing.RouteRequested,
        now: float,
    ) -> list[part.Action]:
        self._last_number += 1
        queued = _QueuedRequest(request, now, self._last_number)
        queue = target.queues.setdefault(request.organisation, _Queue())
        if queue.count == 0:
            queue.virtual_time = max(queue.virtual_time, target.virtual_time)
        if not self._can_wait(target, queue, request, now):
            evicted = self._evict_lighter(target, queue, request, now)
            if evicted is None:
                return self._refuse(
                    request, self._make_deadline_refusal(target, now)
                )
            queue.push(queued)
            return evicted
        queue.push(queued)
        self._next_queue_check = min(
            self._next_queue_check, now + _QUEUE_CHECK_SECONDS
        )
        return []

    def _can_wait(
        self,
        target: _Target,
        queue: _Queue,
        request: routing.RouteRequested,
        now: float,
    ) -> bool:
        """Return whether a request can be queued and answered in time."""
        if target.queued_count >= self._settings.queue_limit:
            return False
        ahead = sum(
            1
            for other in queue.list_requests()
            if other.request.weight >= request.weight
        )
        wait = self._estimate_wait(target, queue, ahead + 1)
        latest_start = (
            request.deadline - target.request_seconds
            if request.deadline
            else 0.0
        )
        limit = now + self._settings.queue_time
        if request.deadline:
            limit = min(limit, latest_start)
        return now + wait <= limit

    def _estimate_wait(
        self, target: _Target, queue: _Queue, position: int
    ) -> float:
        """Return the seconds until the request at a position starts.

        Organisations with queued requests share the completions by their
        weights.
        """
        if target.completion_rate <= 0:
            return 0.0
        total_weight = sum(
            self._get_weight(organisation)
            for organisation, other in target.queues.items()
            if other.count or other is queue
        )
        organisation = next(
            name for name, other in target.queues.items() if other is queue
        )
        share = self._get_weight(organisation) / total_weight
        return position / (target.completion_rate * share)

    def _get_weight(self, organisation: ids.OrganisationName) -> float:
        return self._weights.get(organisation, 1.0)

    def _evict_lighter(
        self,
        target: _Target,
        queue: _Queue,
        request: routing.RouteRequested,
        now: float,
    ) -> list[part.Action] | None:
        """Refuse a queued request of a lower weight to make room.

        It is the one with the lowest weight, of these the newest, and its
        caller is answered at once.

        Returns:
            The actions, or None if no queued request has a lower weight.
        """
        candidates = queue.list_requests()
        if not candidates:
            return None
        lightest = min(
            candidates,
            key=lambda queued: (queued.request.weight, -queued.number),
        )
        if lightest.request.weight >= request.weight:
            return None
        queue.remove(lightest)
        return self._refuse(
            lightest.request, self._make_deadline_refusal(target, now)
        )

    def _make_deadline_refusal(
        self, target: _Target, now: float
    ) -> routing.Refusal:
        """Return the refusal of a request that may not wait any longer."""
        wait = 1.0
        if target.completion_rate > 0:
            wait = target.queued_count / target.completion_rate
        return routing.Refusal(
            routing.RefusalReason.DEADLINE,
            "it could not be answered in time",
            min(max(1.0, wait), 30.0),
        )

    @part.handles(Cancelled)
    def _on_cancel(self, message: Cancelled, now: float) -> None:
        for target in self._targets.values():
            for queue in target.queues.values():
                for queued in queue.list_requests():
                    if queued.request.ticket == message.ticket:
                        queue.remove(queued)

    # -- Serving the queues

    @part.handles(routing.AttemptEnded)
    def _on_end(
        self, ended: routing.AttemptEnded, now: float
    ) -> list[part.Action]:
        open_attempt = self._router.end(ended, now)
        admitted = self._attempts.pop(ended.attempt, None)
        if open_attempt is None or admitted is None:
            return [actions.Count(actions.Counter.LATE_ANSWERS)]
        name, organisation, started = admitted
        target = self._targets[name]
        target.open[organisation] -= 1
        if ended.kind is routing.EndKind.ANSWERED:
            duration = now - started
            target.request_seconds += 0.05 * (
                duration - target.request_seconds
            )
            target.completions += 1
        return self._serve_queues(target, now)

    def _serve_queues(self, target: _Target, now: float) -> list[part.Action]:
        """Start queued requests while there are free slots."""
        found: list[part.Action] = []
        while target.queued_count:
            queue = self._choose_queue(target)
            if queue is None:
                break
            queued = queue.peek()
            assert queued is not None
            request = queued.request
            if self._is_too_late(target, request, now):
                queue.remove(queued)
                found += self._refuse(
                    request, self._make_deadline_refusal(target, now)
                )
                continue
            answer = self._router.choose(request, now)
            if isinstance(answer, routing.Refusal):
                if self._may_wait(answer, now):
                    break
                queue.remove(queued)
                found += self._refuse(request, answer)
                continue
            queue.remove(queued)
            target.virtual_time = queue.virtual_time
            queue.virtual_time += 1.0 / self._get_weight(request.organisation)
            found += self._start_attempt(target, request, answer, now)
        return found

    def _choose_queue(self, target: _Target) -> _Queue | None:
        """Return the queue to serve next, None if none may be served."""
        eligible = [
            queue
            for organisation, queue in target.queues.items()
            if queue.count and self._is_below_limit(target, organisation)
        ]
        return min(
            eligible, key=lambda queue: queue.virtual_time, default=None
        )

    @staticmethod
    def _is_too_late(
        target: _Target, request: routing.RouteRequested, now: float
    ) -> bool:
        """Return whether a request is too late to be started.

        Half of the average duration must fit in before the deadline.
        """
        if not request.deadline:
            return False
        return now + target.request_seconds / 2 > request.deadline

    # -- Time

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        if now >= self._next_queue_check:
            self._next_queue_check = math.inf
            for target in self._targets.values():
                found += self._expire(target, now)
                found += self._serve_queues(target, now)
                if target.queued_count:
                    self._next_queue_check = now + _QUEUE_CHECK_SECONDS
        if now >= self._next_interval:
            found += self._start_interval(now)
        return found

    def _expire(self, target: _Target, now: float) -> list[part.Action]:
        """Refuse the requests that waited too long or are too late."""
        found: list[part.Action] = []
        for queue in target.queues.values():
            for queued in queue.list_requests():
                request = queued.request
                limit = queued.arrived + self._settings.queue_time
                if now >= limit or self._is_too_late(target, request, now):
                    queue.remove(queued)
                    refusal = self._make_deadline_refusal(target, now)
                    found += self._refuse(request, refusal)
        return found

    def _start_interval(self, now: float) -> list[part.Action]:
        self._next_interval = now + _INTERVAL_SECONDS
        found: list[part.Action] = []
        for key, peer in list(self._peer_demands.items()):
            if now - peer.received > _DEMAND_TTL_SECONDS:
                del self._peer_demands[key]
        for name, target in list(self._targets.items()):
            if self._router.check_target(_make_sample(name)) is not None:
                self._remove_target(name, target)
                continue
            self._update_rates(target)
            self._divide_slots(name, target, now)
            found += self._publish_demand(name, target)
        return found

    def _remove_target(self, name: str, target: _Target) -> None:
        """Remove a deleted profile once it has no requests left."""
        if not target.queued_count and not any(target.open.values()):
            del self._targets[name]

    @staticmethod
    def _update_rates(target: _Target) -> None:
        rate = target.completions / _INTERVAL_SECONDS
        target.completion_rate += _RATE_SMOOTHING * (
            rate - target.completion_rate
        )
        target.completions = 0
        organisations = target.arrivals.keys() | target.arrival_rates.keys()
        for organisation in organisations:
            current = (
                target.arrivals.get(organisation, 0.0) / _INTERVAL_SECONDS
            )
            previous = target.arrival_rates.get(organisation, 0.0)
            target.arrival_rates[organisation] = previous + _RATE_SMOOTHING * (
                current - previous
            )
        target.arrivals.clear()

    @staticmethod
    def _publish_demand(name: str, target: _Target) -> list[part.Action]:
        return [
            actions.Publish(
                wire.Demand(
                    profile=ids.ProfileName(name),
                    organisation=organisation,
                    rate=round(rate, 2),
                )
            )
            for organisation, rate in target.arrival_rates.items()
            if rate >= 0.01
        ]

    @part.handles(wire.Demand)
    def _on_demand(self, message: messages.Delivered, now: float) -> None:
        demand = message.payload
        key = (demand.profile, demand.organisation, message.origin)
        self._peer_demands[key] = _PeerDemand(demand.rate, now)

    # -- Slots of each organisation

    def _divide_slots(self, name: str, target: _Target, now: float) -> None:
        """Update how many slots each organisation has at this entry.

        There are no limits while the slots cover the whole demand.
        """
        demands = dict(target.arrival_rates)
        for (profile, organisation, _), peer in self._peer_demands.items():
            if profile == name:
                demands[organisation] = (
                    demands.get(organisation, 0.0) + peer.rate
                )
        slots = self._router.count_slots(_make_sample(name), now)
        wanted_slots = {
            organisation: rate * target.request_seconds
            for organisation, rate in demands.items()
        }
        limits: dict[ids.OrganisationName, float] = {}
        if sum(wanted_slots.values()) > slots > 0:
            limits = self._compute_limits(slots, wanted_slots, demands, target)
        self._apply_limits(target, limits)

    def _compute_limits(
        self,
        slots: float,
        wanted_slots: abc.Mapping[ids.OrganisationName, float],
        demands: abc.Mapping[ids.OrganisationName, float],
        target: _Target,
    ) -> dict[ids.OrganisationName, float]:
        shares = fairness.divide(slots, wanted_slots, self._weights)
        limits = {}
        for organisation, rate in target.arrival_rates.items():
            if demands[organisation] > 0:
                limits[organisation] = (
                    shares[organisation] * rate / demands[organisation]
                )
        return limits

    @staticmethod
    def _apply_limits(
        target: _Target, limits: dict[ids.OrganisationName, float]
    ) -> None:
        """Set the limits; raise one by half of the difference at a time."""
        for organisation, limit in limits.items():
            previous = target.slot_limits.get(organisation)
            if previous is not None and limit > previous:
                limits[organisation] = previous + (limit - previous) / 2
        target.slot_limits = limits


def _make_sample(name: str) -> routing.RouteRequested:
    """Return a request for a target, to ask the router about it."""
    service_prefix = "service:"
    attempt = ids.AttemptId("")
    if name.startswith(service_prefix):
        service = ids.ServiceName(name[len(service_prefix) :])
        return routing.RouteRequested(
            ticket=0, attempt=attempt, service=service
        )
    return routing.RouteRequested(
        ticket=0, attempt=attempt, profile=ids.ProfileName(name)
    )

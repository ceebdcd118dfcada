"""Queue of requests that wait for a free slot at a replica.

`coordination.requests.placing` decides which request gets which slot and
which are rejected. Each request waits here in the task that serves its
caller, and gets the result as a message in its inbox.
"""

from collections import abc

import eventlet
import eventlet.event
import eventlet.queue

from currantwall.coordination.replicas import workload
from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import capacity
from currantwall.coordination.requests import placing
from currantwall.protocol import names as names_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import requests

__all__ = ["Queue"]

_WAITED = "currantwall.requests.waited"
_OVER_SHARE = "currantwall.requests.over_share"
# Most routes whose longest caller timeout is remembered.
_MAX_ROUTES = 4096


class _WaitingRequest:
    """A queued request and the replica that it was assigned to."""

    def __init__(self, request: requests.Request) -> None:
        self.request = request
        self.assigned: upstreams.Upstream | None = None


class Queue:
    """Queues requests for the slots of engine replicas."""

    def __init__(
        self,
        balancer: balancing.Balancer,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        # Called when a replica is nearly full or none has a free slot, so
        # that the other gateways learn of this one's load.
        self.on_high_load: abc.Callable[[], None] = _ignore
        self._balancer = balancer
        self._names = names
        self._placer = placing.Placer(balancer)
        self._meter = meter
        self._log = log
        self._now = now
        self._waiting: dict[backlog.Ticket, _WaitingRequest] = {}
        self._nonempty = eventlet.event.Event()
        # Longest timeout that a caller of each route has sent, in seconds.
        self._longest_timeouts: dict[str, float] = {}

    # -- One request

    def acquire_slot(
        self, request: requests.Request
    ) -> upstreams.Upstream | balancing.Unavailable:
        """Return the replica for a request, once it has a free slot.

        The balancer counts the slot as taken.

        Raises:
            requests.CallerDisconnected: The caller closed its connection.
        """
        ticket = self._make_ticket(request)
        if not request.progress.sends:
            self._balancer.work.note_arrival(
                ticket.kind, ticket.engine, self._now()
            )
        found = self._placer.try_place(ticket, self._now())
        if isinstance(found, placing.Placement):
            if self._placer.is_nearly_full(found.upstream):
                self.on_high_load()
            return found.upstream
        starts_late = self._now() + found.earliest > ticket.start_deadline
        if not found.is_full or starts_late:
            return found
        self.on_high_load()
        return self._wait(request, ticket)

    def is_late(self, request: requests.Request) -> bool:
        """Return whether a request that starts now would be late."""
        return self._placer.is_late(self._make_ticket(request), self._now())

    def note_first(self, request: requests.Request, seconds: float) -> None:
        """Record the seconds from sending a request to its first event."""
        if request.model is not None:
            self._placer.backlog.note_first(_make_kind(request), seconds)

    def note_service(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        seconds: float,
    ) -> None:
        """Record the seconds that a replica has worked on a request."""
        engine = request.service.engine
        if engine is None:
            return
        # The request itself has ended and is no longer counted.
        requests_count = self._balancer.count_load(upstream.id) + 1
        full = workload.estimate_full_time(engine, seconds, requests_count)
        self._balancer.work.note_service(_make_kind(request), full)

    def _wait(
        self, request: requests.Request, ticket: backlog.Ticket
    ) -> upstreams.Upstream | balancing.Unavailable:
        waiting = self._waiting[ticket] = _WaitingRequest(request)
        self._placer.add(ticket)
        if not self._nonempty.ready():
            self._nonempty.send(None)
        self._notify_rejected(ticket.kind)
        try:
            return self._await_slot(waiting, ticket)
        except requests.CallerDisconnected:
            if waiting.assigned is not None:
                self._balancer.end(waiting.assigned.id)
            raise
        finally:
            self._placer.remove(ticket)
            self._waiting.pop(ticket, None)

    def _await_slot(
        self, waiting: _WaitingRequest, ticket: backlog.Ticket
    ) -> upstreams.Upstream | balancing.Unavailable:
        while True:
            remaining = max(ticket.start_deadline - self._now(), 0.0)
            try:
                message = waiting.request.inbox.get(timeout=remaining)
            except eventlet.queue.Empty:
                if waiting.assigned is not None:
                    # A slot was assigned just now: its message is next.
                    continue
                retry_after = self._placer.estimate_retry_after(
                    ticket, self._now()
                )
                return balancing.Unavailable("no place in time", retry_after)
            if isinstance(message, requests.Placed):
                return message.upstream
            if isinstance(message, requests.Rejected):
                return balancing.Unavailable(
                    message.reason, message.retry_after
                )
            if isinstance(message, requests.Stopping):
                return balancing.Unavailable("stopping", 0.0)
            if isinstance(message, requests.Disconnected):
                raise requests.CallerDisconnected
            # All other messages come from an attempt that has ended.

    # -- Tickets

    def _make_ticket(self, request: requests.Request) -> backlog.Ticket:
        assert request.service.engine is not None
        route = request.route
        kind = _make_kind(request)
        received = request.inbound.received
        patience_end = received + attempts.get_caller_patience(route)
        first_event = self._placer.backlog.estimate_first_event(kind)
        objective = (
            received - self._estimate_earlier_wait(request) + route.target
        )
        return backlog.Ticket(
            request=f"{request.attempt_id}{request.progress.sends}",
            kind=kind,
            engine=request.service.engine,
            gap=route.gap,
            arrived=self._now(),
            objective=objective if route.target else patience_end,
            start_deadline=min(patience_end, request.deadline) - first_event,
            rank=_get_rank(request),
            excluded=request.tried,
            organisation=_get_organisation(request),
            cost=self._estimate_cost(request),
        )

    def _estimate_cost(self, request: requests.Request) -> float:
        """Return the replica time that a request takes, in seconds.

        The operator's mean is used for a request that doesn't give the
        numbers of its tokens.
        """
        engine = request.service.engine
        assert engine is not None
        timing = engine.timing
        model = engine.find(request.model or "")
        if timing is None or model is None:
            return 1.0
        tokens = requests.parse_token_usage(
            request.inbound.headers.get(self._names.tokens, "")
        )
        prompt, answer = tokens or (int(timing.prompt), int(timing.answer))
        return capacity.estimate_cost(
            timing, model.pace, engine.slots, prompt, answer
        )

    def _estimate_earlier_wait(self, request: requests.Request) -> float:
        """Return the seconds that a caller waited before this request.

        A caller that retries after a refusal sends a shorter timeout than
        the callers of its route send at first.
        """
        if request.caller_timeout is None:
            return 0.0
        name = request.route.name
        if len(self._longest_timeouts) > _MAX_ROUTES:
            self._longest_timeouts.clear()
        longest = max(
            self._longest_timeouts.get(name, 0.0), request.caller_timeout
        )
        self._longest_timeouts[name] = longest
        return longest - request.caller_timeout

    # -- Waiting requests

    def note_end(self, upstream: upstreams.Upstream) -> None:
        """Assign the slot of an ended request to a waiting one.

        Failure: only this gateway knows of the free slot of a replica that
        was full, and the other gateways still send it no requests.
        """
        if self._placer.is_nearly_full(upstream):
            self.on_high_load()
        if self._waiting:
            self._notify_placed(self._placer.replace_ended(self._now()))

    def run(self) -> None:
        """Assign free slots and reject late requests, while any wait."""
        while True:
            if not self._waiting:
                self._nonempty = eventlet.event.Event()
                self._nonempty.wait()
            eventlet.sleep(placing.TICK)
            for kind in self._placer.backlog.list_kinds():
                self._notify_rejected(kind)
                self._notify_placed(self._placer.fill(kind, self._now()))

    def _notify_placed(
        self, placements: abc.Iterable[placing.Placement]
    ) -> None:
        """Send requests the slots that they were assigned."""
        for placement in placements:
            ticket, upstream = placement.ticket, placement.upstream
            waiting = self._waiting.pop(ticket)
            waiting.assigned = upstream
            waiting.request.inbox.put(requests.Placed(upstream))
            waited = self._now() - ticket.arrived
            self._meter.observe(_WAITED, waited, ticket.kind.model)
            if placement.level:
                self._meter.add(_OVER_SHARE, 1, ticket.kind.model)
            self._log.write(
                "placed",
                request=waiting.request.attempt_id,
                upstream=upstream.id,
                waited=round(waited, 4),
                in_time=placement.in_time,
                organisation=ticket.organisation,
                over_share=placement.level,
                expected_first=round(
                    self._placer.backlog.estimate_first_event(ticket.kind), 4
                ),
                load=self._balancer.count_load(upstream.id),
                behind=self._placer.backlog.count(ticket.kind),
            )
            self.on_high_load()

    def reject_part(self, part: ids.PartId, reason: str) -> None:
        """Reject the waiting requests that are quarantined.

        Failure: requests that can't be served wait until their deadline.

        Args:
            part: The fingerprint of the request, or a part of its prompt.
            reason: Text of the answer.
        """
        for ticket, waiting in list(self._waiting.items()):
            if part in waiting.request.prompt.causes:
                del self._waiting[ticket]
                self._placer.remove(ticket)
                message = requests.Rejected(0.0, reason)
                waiting.request.inbox.put(message)

    def _notify_rejected(self, kind: backlog.Kind) -> None:
        """Reject the requests that will get no slot in time."""
        for refusal in self._placer.turn_away(kind, self._now()):
            waiting = self._waiting.pop(refusal.ticket)
            message = requests.Rejected(refusal.retry_after, refusal.reason)
            waiting.request.inbox.put(message)


def _ignore() -> None:
    return


def _make_kind(request: requests.Request) -> backlog.Kind:
    return backlog.Kind(request.service.name, request.model or "")


def _get_organisation(request: requests.Request) -> ids.OrganisationName:
    """Return the organisation of a request, empty if it has none."""
    organisation = request.organisation
    return organisation.name if organisation else ids.OrganisationName("")


def _get_rank(request: requests.Request) -> int:
    """Return the organisation's priority, or the route's if it has none."""
    organisation = request.organisation
    if organisation is not None and organisation.priority is not None:
        return organisation.priority
    return request.route.priority

"""Assigns the free slots of replicas to requests, and rejects requests.

A slot is room for one more request under a replica's limit (`capacity`).

The load pattern: several gateways send requests to the same replicas,
more than these can serve in time, and each gateway learns of the others'
requests a moment late. A slot that a gateway's own request has left is
filled at once, because no other gateway knows of it yet. Of the slots
that the others' requests leave, the gateway takes its share
(`backlog.divide_slots`).
"""

import math

import msgspec

from currantwall.coordination.requests import backlog as backlog_module
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import capacity
from currantwall.state import upstreams

__all__ = ["Placement", "Placer", "Refusal"]

Kind = backlog_module.Kind
Ticket = backlog_module.Ticket

# Seconds between two checks for slots that other gateways' requests left.
TICK = 0.05
# Seconds over which a gateway fills its share of the slots that are
# reported free: about the age of the other gateways' counts.
_COUNT_AGE = 0.2
# Seconds in which each slot of a replica becomes free once, where the
# operator configures no timing.
_DEFAULT_SERVICE_TIME = 1.0
# Part of its slots above which a replica counts as nearly full.
_NEARLY_FULL_SHARE = 0.75
# Ratio of the usual pauses, which include the reading of prompts, to the
# pauses of an engine that only writes.
_USUAL_PAUSE_FACTOR = 1.5


def _estimate_usual_pause(ticket: Ticket) -> float:
    """Return the mean pause above which a replica is slow, in seconds."""
    timing = ticket.engine.timing
    model = ticket.engine.find(ticket.kind.model)
    if timing is None or model is None:
        return math.inf
    one_pass = capacity.estimate_pass_time(
        timing, model.pace, ticket.engine.slots
    )
    return _USUAL_PAUSE_FACTOR * one_pass


def _estimate_service_time(ticket: Ticket) -> float:
    """Return the seconds in which each slot becomes free once."""
    timing = ticket.engine.timing
    model = ticket.engine.find(ticket.kind.model)
    if timing is None or model is None:
        return _DEFAULT_SERVICE_TIME
    return capacity.estimate_answer_time(
        timing, model.pace, ticket.engine.slots
    )


class Placement(msgspec.Struct, frozen=True):
    """A slot assigned to a request; the balancer counts it as taken.

    Attributes:
        in_time: Whether the first event is expected to be in time.
        level: How far its organisation was over its share; 0 if it wasn't.
    """

    ticket: Ticket
    upstream: upstreams.Upstream
    in_time: bool
    level: int = 0


class Refusal(msgspec.Struct, frozen=True):
    """A request that will get no slot before its caller gives up.

    Attributes:
        retry_after: Seconds after which it will find a free slot.
        reason: Message for the log and the caller.
    """

    ticket: Ticket
    retry_after: float
    reason: str


class Placer:
    """Assigns slots to the requests of one gateway."""

    def __init__(self, balancer: balancing.Balancer) -> None:
        self._balancer = balancer
        self._attained = balancer.attained
        self.backlog = backlog_module.Backlog(self._find_level)
        # Slots, in fractions, that this gateway may still fill, by kind.
        self._credit: dict[Kind, float] = {}

    # -- One request

    def try_place(
        self, ticket: Ticket, now: float
    ) -> Placement | balancing.Unavailable:
        """Assign a slot to a request that has just arrived, if one is free.

        Waiting requests need not be considered first: they are late, or
        found no free slot a moment ago.
        """
        self._set_initial_estimate(ticket)
        self._note_remote_waiting(ticket.kind, now)
        found = self._choose(ticket, now)
        if isinstance(found, balancing.Unavailable):
            return found
        return self._assign(ticket, found, now)

    def add(self, ticket: Ticket) -> None:
        """Add a request to the backlog."""
        self.backlog.add(ticket)
        self._publish_counts()

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from the backlog."""
        self.backlog.remove(ticket)
        self._publish_counts()

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that starts now would be late."""
        return self.backlog.is_late(ticket, now)

    def is_nearly_full(self, upstream: upstreams.Upstream) -> bool:
        """Return whether a replica is nearly full."""
        load = self._balancer.count_load(upstream.id)
        return load > _NEARLY_FULL_SHARE * upstream.slots

    def estimate_retry_after(self, ticket: Ticket, now: float) -> float:
        """Return the seconds after which a request will find a free slot."""
        minimum = _estimate_service_time(ticket)
        return self.backlog.estimate_retry_after(ticket.kind, minimum, now)

    # -- Waiting requests

    def replace_ended(self, now: float) -> list[Placement]:
        """Assign the slot of an ended request to a waiting one, if any."""
        for kind in self.backlog.list_kinds():
            for ticket in self.backlog.list_tickets(kind, now):
                found = self._choose(ticket, now)
                if isinstance(found, upstreams.Upstream):
                    return [self._assign_waiting(ticket, found, now)]
                if found.is_full:
                    break
        return []

    def fill(self, kind: Kind, now: float) -> list[Placement]:
        """Assign this gateway's share of the free slots to waiting requests.

        To be called every `TICK` seconds.
        """
        self._note_remote_waiting(kind, now)
        tickets = self.backlog.list_tickets(kind, now)
        own = self._count_own_slots(kind, tickets, now)
        credit = self._compute_credit(kind, tickets, now)
        placements = []
        for ticket in tickets:
            if credit < 1.0 and own < 1:
                break
            # Own slots are no credit for replicas that all gateways use.
            is_limited_only = credit < 1.0
            chosen = self._choose(ticket, now, is_limited_only=is_limited_only)
            if isinstance(chosen, upstreams.Upstream):
                if self._balancer.limits.is_limited(chosen.id, now):
                    own -= 1
                else:
                    credit -= 1.0
                placements.append(self._assign_waiting(ticket, chosen, now))
            elif chosen.is_full:
                break
        self._credit[kind] = min(max(credit, 0.0), 1.0)
        self._note_demand(tickets[len(placements) :], now)
        return placements

    def _note_demand(self, waiting: list[Ticket], now: float) -> None:
        """Have shares of limited upstreams asked for, for waiting requests.

        Failure: a gateway without credit chooses no upstream, which is
        otherwise what asks, and limited upstreams idle.
        """
        if waiting:
            ticket = waiting[0]
            self._balancer.note_demand(
                ticket.kind.service,
                ticket.kind.model,
                ticket.excluded,
                ticket.request,
                now,
            )

    def _count_own_slots(
        self, kind: Kind, tickets: list[Ticket], now: float
    ) -> int:
        """Return the slots that no other gateway may fill.

        These are this gateway's shares of the replicas that limit their
        requests; a share that another gateway has granted is soon void.
        """
        if not tickets:
            return 0
        return self._balancer.count_own_slots(
            kind.service,
            kind.model,
            self._make_limit_function(tickets[0], now),
            now,
        )

    def _compute_credit(
        self, kind: Kind, tickets: list[Ticket], now: float
    ) -> float:
        """Return the slots that this gateway may fill now, in fractions."""
        if not tickets:
            return 0.0
        free = self._balancer.count_free_slots(
            kind.service,
            kind.model,
            self._make_limit_function(tickets[0], now),
            now,
        )
        others = self._balancer.count_remote_waiting(
            backlog_module.format_count_key(kind)
        )
        share = backlog_module.divide_slots(free, len(tickets), others)
        credit = self._credit.get(kind, 0.0) + share * TICK / _COUNT_AGE
        return min(credit, float(len(tickets)))

    def turn_away(self, kind: Kind, now: float) -> list[Refusal]:
        """Remove and return the requests that cannot start soon enough.

        These are the ones whose callers give up before a slot is free, and
        all while every data centre is evacuated or this node does not know
        which are.
        """
        if self._balancer.is_wholly_evacuated(kind.service):
            reason = self._balancer.evacuations.refusal_reason
            unservable = self.backlog.list_tickets(kind, now)
        else:
            reason = "the backlog is too long"
            unservable = self.backlog.list_unservable(kind, now)
        refusals = [
            Refusal(ticket, self.estimate_retry_after(ticket, now), reason)
            for ticket in unservable
        ]
        for ticket in unservable:
            self.remove(ticket)
        return refusals

    def _assign_waiting(
        self, ticket: Ticket, upstream: upstreams.Upstream, now: float
    ) -> Placement:
        """Assign a slot to a request of the backlog."""
        self.remove(ticket)
        return self._assign(ticket, upstream, now)

    def _assign(
        self, ticket: Ticket, upstream: upstreams.Upstream, now: float
    ) -> Placement:
        """Assign a slot and count it as taken."""
        late = self.backlog.is_late(ticket, now)
        level = self._find_level(ticket, now)
        self._balancer.begin(upstream.id, now)
        if ticket.organisation:
            self._attained.note_start(
                backlog_module.format_count_key(ticket.kind),
                ticket.organisation,
                ticket.cost,
                now,
            )
        self.backlog.note_start(ticket.kind, late, now)
        return Placement(ticket, upstream, not late, level)

    def _note_remote_waiting(self, kind: Kind, now: float) -> None:
        """Note that capacity is short if requests wait at any node."""
        key = backlog_module.format_count_key(kind)
        if self._balancer.count_all_waiting(key):
            self._attained.note_waiting(key, now)

    def _find_level(self, ticket: Ticket, now: float) -> int:
        """Return how far a request's organisation is over its share."""
        if not ticket.organisation:
            return 0
        key = backlog_module.format_count_key(ticket.kind)
        return self._attained.find_level(key, ticket.organisation, now)

    def _may_reserve(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request leaves slots to other organisations.

        Where counts are relayed, none does: they are too old to tell that
        the reserved slots are needed, and the requests that leave them
        become late.
        """
        if self._balancer.are_counts_relayed:
            return False
        return self._find_level(ticket, now) > 0

    def _publish_counts(self) -> None:
        """Update the counts of waiting requests that the balancer reports."""
        counts = self.backlog.list_counts()
        self._balancer.waiting = backlog_module.format_counts(counts)

    # -- Slots of a replica

    def _choose(
        self,
        ticket: Ticket,
        now: float,
        is_limited_only: bool = False,
    ) -> upstreams.Upstream | balancing.Unavailable:
        return self._balancer.choose(
            ticket.kind.service,
            ticket.kind.model,
            ticket.excluded,
            ticket.request,
            now,
            self._make_limit_function(ticket, now),
            _estimate_service_time(ticket),
            is_limited_only,
        )

    def _make_limit_function(
        self, ticket: Ticket, now: float
    ) -> balancing.LimitFunction:
        """Return a function that gives each replica's limit for a request."""
        late = self.backlog.is_late(ticket, now)
        is_over_share = self._may_reserve(ticket, now)
        usual = _estimate_usual_pause(ticket)

        def compute_limit(slowness: float) -> int:
            limit = capacity.compute_limit(
                ticket.engine, ticket.kind.model, ticket.gap, slowness
            )
            return capacity.adjust_limit(limit, late or is_over_share)

        # Computed once for all replicas that are not slow.
        usual_limit = compute_limit(1.0)

        def get_limit(upstream: upstreams.Upstream) -> int:
            pause = self._balancer.get_mean_pause(upstream.id, now)
            if pause is None or pause <= usual:
                return usual_limit
            return compute_limit(
                max(1.0, pause / self._find_reference(usual, ticket, now))
            )

        return get_limit

    def _find_reference(
        self, usual: float, ticket: Ticket, now: float
    ) -> float:
        """Return the pause with which a slow replica's pauses are compared.

        Failure: a gateway that is short of processor time, or whose links
        lose packets, observes long pauses at every replica. It would take
        all of them for slow and hold its requests back. The pauses of the
        fastest replica therefore raise the reference.

        Args:
            usual: Usual pause by the engine's timing, in seconds.
            ticket: A request for the replicas.
            now: Monotonic time.
        """
        shortest = self._balancer.find_shortest_pause(
            ticket.kind.service, ticket.kind.model, now
        )
        return max(usual, _USUAL_PAUSE_FACTOR * shortest)

    def _set_initial_estimate(self, ticket: Ticket) -> None:
        """Estimate the time to the first event from the engine's timing.

        It is used until the first observation.
        """
        timing = ticket.engine.timing
        model = ticket.engine.find(ticket.kind.model)
        if timing is None or model is None:
            return
        expected = capacity.estimate_first_event_time(
            timing, model.pace, ticket.engine.slots
        )
        self.backlog.set_initial_estimate(ticket.kind, expected)

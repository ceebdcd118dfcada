"""Who gets the free places of replicas, and who is turned away.

The load it answers: several gateways send requests to the same replicas,
more than these can serve in time, and each gateway hears of the others'
requests a moment late. A place that a gateway's own request has left is
given on at once, for this gateway alone knows of it; of places that the
others leave it takes its part (`backlog.divide_places`).
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

# Seconds between two looks at free places that other gateways tell of.
TICK = 0.05
# Seconds in which a gateway takes its part of the places that it hears
# to be free; about as old as that news is.
_NEWS_AGE = 0.2
# Seconds in which a replica's places come free once, where the operator
# tells no timing.
_TURNOVER = 1.0
# Part of its slots above which a replica counts as nearly full.
_PRESSED = 0.75
# Factor between the pauses at an engine's own pace and those that are
# usual with prompts read in between.
_USUAL_SLOWNESS = 1.5


def _measure_usual_pause(ticket: Ticket) -> float:
    """Return the seconds above which a replica's pauses show it slow."""
    timing = ticket.engine.timing
    model = ticket.engine.find(ticket.kind.model)
    if timing is None or model is None:
        return math.inf
    one_pass = capacity.expect_pass(timing, model.pace, ticket.engine.slots)
    return _USUAL_SLOWNESS * one_pass


def _measure_turnover(ticket: Ticket) -> float:
    """Return the seconds in which a replica's places come free once."""
    timing = ticket.engine.timing
    model = ticket.engine.find(ticket.kind.model)
    if timing is None or model is None:
        return _TURNOVER
    return capacity.expect_answer(timing, model.pace, ticket.engine.slots)


class Placement(msgspec.Struct, frozen=True):
    """A place for a request; it is counted as taken.

    Attributes:
        in_time: Whether its first event is expected to be on time.
    """

    ticket: Ticket
    upstream: upstreams.Upstream
    in_time: bool


class Refusal(msgspec.Struct, frozen=True):
    """A request that will get no place before its caller gives up.

    Attributes:
        retry_after: Seconds after which it finds room again.
    """

    ticket: Ticket
    retry_after: float


class Placer:
    """Gives the places of one gateway's requests."""

    def __init__(self, balancer: balancing.Balancer) -> None:
        self._balancer = balancer
        self.backlog = backlog_module.Backlog()
        # Parts of free places that this gateway may still take, by kind.
        self._credit: dict[Kind, float] = {}

    # -- One request

    def ask(
        self, ticket: Ticket, now: float
    ) -> Placement | balancing.Unavailable:
        """Return a place for a request that has just come, if there is one.

        It need not look at those that wait: they are late, or were
        refused a place a moment ago.
        """
        self._assume_first(ticket)
        found = self._choose(ticket, now)
        if isinstance(found, balancing.Unavailable):
            return found
        return self._take(ticket, found, now)

    def add(self, ticket: Ticket) -> None:
        """Let a request wait."""
        self.backlog.add(ticket)
        self._tell()

    def remove(self, ticket: Ticket) -> None:
        """Let a request wait no longer."""
        self.backlog.remove(ticket)
        self._tell()

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that starts now will not be in time."""
        return self.backlog.is_late(ticket, now)

    def is_pressed(self, upstream: upstreams.Upstream) -> bool:
        """Return whether a replica is nearly full."""
        load = self._balancer.count_load(upstream.id)
        return load > _PRESSED * upstream.slots

    def estimate_retry_after(self, ticket: Ticket, now: float) -> float:
        """Return the seconds after which a request finds room again."""
        least = _measure_turnover(ticket)
        return self.backlog.estimate_retry_after(ticket.kind, least, now)

    # -- Those that wait

    def replace_ended(self, now: float) -> list[Placement]:
        """Return who gets the place of a request that has just ended."""
        for kind in self.backlog.list_kinds():
            for ticket in self.backlog.list_tickets(kind, now):
                found = self._choose(ticket, now)
                if isinstance(found, upstreams.Upstream):
                    return [self._give(ticket, found, now)]
                if found.is_full:
                    break
        return []

    def fill(self, kind: Kind, now: float) -> list[Placement]:
        """Return who gets this gateway's part of the free places.

        Called each `TICK`.
        """
        tickets = self.backlog.list_tickets(kind, now)
        credit = self._count_credit(kind, tickets, now)
        found = []
        for ticket in tickets:
            if credit < 1.0:
                break
            chosen = self._choose(ticket, now)
            if isinstance(chosen, upstreams.Upstream):
                found.append(self._give(ticket, chosen, now))
                credit -= 1.0
            elif chosen.is_full:
                break
        self._credit[kind] = min(credit, 1.0)
        return found

    def _count_credit(
        self, kind: Kind, tickets: list[Ticket], now: float
    ) -> float:
        """Return the free places that this gateway may take now."""
        if not tickets:
            return 0.0
        free = self._balancer.count_free(
            kind.service, kind.model, self._make_count(tickets[0], now), now
        )
        others = self._balancer.count_waiting(backlog_module.name_count(kind))
        part = backlog_module.divide_places(free, len(tickets), others)
        credit = self._credit.get(kind, 0.0) + part * TICK / _NEWS_AGE
        return min(credit, float(len(tickets)))

    def turn_away(self, kind: Kind, now: float) -> list[Refusal]:
        """Return those that cannot begin before their caller gives up."""
        hopeless = self.backlog.list_hopeless(kind, now)
        found = [
            Refusal(ticket, self.estimate_retry_after(ticket, now))
            for ticket in hopeless
        ]
        for ticket in hopeless:
            self.remove(ticket)
        return found

    def _give(
        self, ticket: Ticket, upstream: upstreams.Upstream, now: float
    ) -> Placement:
        self.remove(ticket)
        return self._take(ticket, upstream, now)

    def _take(
        self, ticket: Ticket, upstream: upstreams.Upstream, now: float
    ) -> Placement:
        late = self.backlog.is_late(ticket, now)
        self._balancer.begin(upstream.id)
        self.backlog.note_start(ticket.kind, late, now)
        return Placement(ticket, upstream, not late)

    def _tell(self) -> None:
        """Have the other gateways know how many requests wait here."""
        counts = self.backlog.list_counts()
        self._balancer.waiting = backlog_module.list_waiting(counts)

    # -- Places of a replica

    def _choose(
        self, ticket: Ticket, now: float
    ) -> upstreams.Upstream | balancing.Unavailable:
        return self._balancer.choose(
            ticket.kind.service,
            ticket.kind.model,
            ticket.excluded,
            ticket.request,
            now,
            self._make_count(ticket, now),
            _measure_turnover(ticket),
        )

    def _make_count(self, ticket: Ticket, now: float) -> balancing.CountPlaces:
        """Return what tells how full a replica may be for a request."""
        late = self.backlog.is_late(ticket, now)
        usual = _measure_usual_pause(ticket)

        def count(slowness: float) -> int:
            places = capacity.count_places(
                ticket.engine, ticket.kind.model, ticket.gap, slowness
            )
            return capacity.share_places(places, late)

        # The same for all replicas that are not slow.
        sound = count(1.0)

        def count_places(one: upstreams.Upstream) -> int:
            pause = self._balancer.get_pause(one.id, now)
            if pause is None or pause <= usual:
                return sound
            return count(max(1.0, pause / self._relate(usual, ticket, now)))

        return count_places

    def _relate(self, usual: float, ticket: Ticket, now: float) -> float:
        """Return the usual pause, or what the fastest replica shows.

        Failure: a gateway that is short of processor time, or whose links
        lose packets, sees every replica pause; it would take all of them
        for slow and hold its requests back.
        """
        least = self._balancer.find_least_pause(
            ticket.kind.service, ticket.kind.model, now
        )
        return max(usual, _USUAL_SLOWNESS * least)

    def _assume_first(self, ticket: Ticket) -> None:
        """Expect what the timing says before a first event was seen."""
        timing = ticket.engine.timing
        model = ticket.engine.find(ticket.kind.model)
        if timing is None or model is None:
            return
        expected = capacity.expect_first(
            timing, model.pace, ticket.engine.slots
        )
        self.backlog.assume_first(ticket.kind, expected)

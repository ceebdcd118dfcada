"""Requests that wait at a gateway for a place at a replica.

The load it answers: for some seconds more requests come than the
replicas can serve in time. Were all of them sent at once, each replica
would work on requests whose time is up while newer ones, which could
still be in time, wait behind them: nine in ten are answered, all too
late, for as long as the load lasts and for some seconds after it.

Requests therefore wait here. Those that can still be in time go first,
the newest before the others: more come than can be served, and whoever
begins at the last moment is late as often as not. The others get what is
left. One that cannot begin before its caller gives up is turned away at
once, with the time in which the backlog will be worked off.
"""

import collections
from collections import abc
import math

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = ["Backlog", "Kind", "Ticket"]

# Seconds over which starts are counted to tell how fast the queue moves.
_RATE_WINDOW = 2.0
# Part of the first events that come faster than is expected. Failure: with
# the mean, one surge makes all requests look late from the start, they go
# in the order of their arrival, and are late indeed.
_FAST_PART = 0.25
# Part of the expected time by which one first event moves it.
_STEP = 0.05


class Kind(msgspec.Struct, frozen=True):
    """What requests of one queue have in common."""

    service: ids.ServiceName
    model: str


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """One request that waits.

    Attributes:
        request: Its id; breaks ties between replicas.
        engine: What the operator tells of the service's engines.
        gap: Longest pause of its stream that is on time, in seconds.
        arrived: Monotonic time at which it began to wait.
        objective: Monotonic time by which its first event is on time.
        patience: Monotonic time by which it must begin, or its caller
            gives up before the first event.
        rank: Rank among requests that can be in time, 0 first.
        excluded: Replicas that it has tried, by `Upstream.life`.
    """

    request: str
    kind: Kind
    engine: routes.Engine
    gap: float
    arrived: float
    objective: float
    patience: float
    rank: int = 0
    excluded: abc.Container[str] = ()


class _FirstEvents:
    """How long requests of one kind take to their first event."""

    def __init__(self, expected: float) -> None:
        self.expected = expected

    def note(self, seconds: float) -> None:
        """Move towards the quantile by a step to one side."""
        faster = seconds < self.expected
        side = _FAST_PART - 1 if faster else _FAST_PART
        self.expected *= 1 + _STEP * side


class _Queue:
    """Requests of one kind that wait, and how fast they get places."""

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        # When requests got places, those in time and those that were late.
        self.starts: dict[bool, collections.deque[float]] = {
            False: collections.deque(),
            True: collections.deque(),
        }
        self.first: _FirstEvents | None = None
        # Since when requests have been waiting without a pause.
        self.since = 0.0


class Backlog:
    """The queues of one gateway."""

    def __init__(self) -> None:
        self._queues: dict[Kind, _Queue] = {}

    def _get(self, kind: Kind) -> _Queue:
        queue = self._queues.get(kind)
        if queue is None:
            queue = self._queues[kind] = _Queue()
        return queue

    # -- Who waits

    def add(self, ticket: Ticket) -> None:
        """Let a request wait."""
        queue = self._get(ticket.kind)
        if not queue.tickets:
            queue.since = ticket.arrived
        queue.tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Take a request out, if it is there."""
        queue = self._get(ticket.kind)
        if ticket in queue.tickets:
            queue.tickets.remove(ticket)

    def count(self, kind: Kind) -> int:
        """Return the requests of a kind that wait."""
        queue = self._queues.get(kind)
        return len(queue.tickets) if queue else 0

    def list_kinds(self) -> list[Kind]:
        """Return the kinds of which requests wait."""
        return [kind for kind, one in self._queues.items() if one.tickets]

    def list_tickets(self, kind: Kind, now: float) -> list[Ticket]:
        """Return the requests of a kind in the order they go."""
        queue = self._get(kind)
        if len(queue.tickets) < 2:
            return list(queue.tickets)
        return sorted(
            queue.tickets, key=lambda one: self._place(one, queue, now)
        )

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request can no longer be in time."""
        return now + self.expect_first(ticket.kind) > ticket.objective

    def _place(
        self, ticket: Ticket, queue: _Queue, now: float
    ) -> tuple[bool, int, float]:
        if self.is_late(ticket, now):
            # Whose caller gives up first goes first.
            return True, 0, ticket.patience
        return False, ticket.rank, -ticket.objective

    # -- What is expected

    def note_start(self, kind: Kind, late: bool, now: float) -> None:
        """Note that a request was given a place, in time or late."""
        self._get(kind).starts[late].append(now)
        self.measure_rate(kind, late, now)

    def note_first(self, kind: Kind, seconds: float) -> None:
        """Note how long a request took from its place to its first event."""
        queue = self._get(kind)
        if queue.first is None:
            queue.first = _FirstEvents(seconds)
        queue.first.note(seconds)

    def assume_first(self, kind: Kind, seconds: float) -> None:
        """Set what is expected before any first event was seen."""
        queue = self._get(kind)
        if queue.first is None:
            queue.first = _FirstEvents(seconds)

    def expect_first(self, kind: Kind) -> float:
        """Return the seconds from a place to the first event."""
        first = self._get(kind).first
        if first is None:
            return 0.0
        return first.expected

    def measure_rate(self, kind: Kind, late: bool, now: float) -> float:
        """Return the requests that get places in a second.

        Args:
            kind: Their kind.
            late: Whether those are meant that are late anyway.
            now: Monotonic time.
        """
        starts = self._get(kind).starts[late]
        while starts and starts[0] < now - _RATE_WINDOW:
            starts.popleft()
        return len(starts) / _RATE_WINDOW

    def list_hopeless(self, kind: Kind, now: float) -> list[Ticket]:
        """Return the requests that cannot begin before they are given up.

        By their place among those that are late, and how fast these have
        got places: newer ones, which can be in time, always go before. One
        place in the window is taken for granted.
        """
        rate = self.measure_rate(kind, True, now)
        rate = max(rate, 1 / _RATE_WINDOW)
        found = []
        ahead = 0
        for ticket in self.list_tickets(kind, now):
            late = self.is_late(ticket, now)
            starts = now + ahead / rate if late else now
            if starts > ticket.patience:
                found.append(ticket)
            else:
                ahead += late
        return found

    def estimate_retry_after(
        self, kind: Kind, least: float, now: float
    ) -> float:
        """Return the seconds after which a request finds room again.

        The time in which the backlog is worked off at the present rate,
        and no less than it has lasted so far: how long a load goes on is
        not known, and one that has lasted longer will last longer.

        Args:
            kind: The kind of the request.
            least: Seconds in which the places of a replica come free.
            now: Monotonic time.
        """
        queue = self._get(kind)
        rate = self.measure_rate(kind, False, now)
        rate += self.measure_rate(kind, True, now)
        rate = max(rate, 1 / _RATE_WINDOW)
        lasted = now - queue.since if queue.tickets else 0.0
        return max(least, lasted, len(queue.tickets) / rate)

    # -- What other gateways are told

    def list_counts(self) -> dict[Kind, int]:
        """Return the requests that wait, by kind."""
        return {
            kind: len(queue.tickets)
            for kind, queue in self._queues.items()
            if queue.tickets
        }


def divide_places(places: float, own: int, others: int) -> float:
    """Return the part of some free places that one gateway may take.

    Failure: all gateways hear of the same free place at once, and each
    gives it to a request of its own. Each therefore takes the part that
    its requests are of all that wait.
    """
    total = own + others
    if total <= places or not total:
        return math.inf
    return places * own / total


def list_waiting(counts: abc.Mapping[Kind, int]) -> dict[str, int]:
    """Return counts by the name under which gateways tell them."""
    return {name_count(kind): count for kind, count in counts.items()}


def name_count(kind: Kind) -> str:
    """Return the name under which a kind's waiting requests are told.

    It travels with the counts by upstream; no upstream's id has a slash.
    """
    return f"{kind.service}/{kind.model}"

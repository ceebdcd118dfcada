"""Requests that wait at a gateway for a slot of a replica.

The load pattern: for some seconds more requests arrive than the replicas
can serve in time. If all of them were sent at once, each replica would
work on requests that are already late, while newer ones that could still
be in time wait behind them. Nine in ten would be answered, all too late,
for as long as the load lasts and for some seconds after it.

Requests therefore wait here. Those that can still be in time go first,
those of organisations that have attained the least service before the
others (`attained`), and the newest first: more arrive than can be served,
and a request that starts at the last moment is late as often as not. The late
ones get the slots that are left. A request that cannot start before its
caller gives up is rejected at once, with the time after which the backlog
will have been worked off.
"""

import collections
from collections import abc
import math

import msgspec

from currantwall.state import ids
from currantwall.state import routes

__all__ = ["Backlog", "Kind", "Ticket"]

# Seconds over which starts are counted to measure the rate of the queue.
_RATE_WINDOW = 2.0
# Quantile of the times to the first event that is used as the estimate.
# Failure: with the mean, one surge makes all requests look late from the
# start, so they go in the order of their arrival and really are late.
_ESTIMATE_QUANTILE = 0.25
# Part of the estimate by which one observed time changes it.
_ESTIMATE_STEP = 0.05


class Kind(msgspec.Struct, frozen=True):
    """Service and model of requests, which share one queue."""

    service: ids.ServiceName
    model: str


class Ticket(msgspec.Struct, kw_only=True, eq=False):
    """One request that waits for a slot.

    Attributes:
        request: Its id; breaks ties between replicas.
        engine: The operator's configuration of the service's engines.
        gap: Longest allowed pause of its stream, in seconds.
        arrived: Monotonic time at which it began to wait.
        objective: Monotonic time by which its first event must come to be
            in time.
        start_deadline: Monotonic time by which it must start; otherwise its
            caller gives up before the first event.
        rank: Rank among requests that can be in time; 0 goes first.
        excluded: Replicas that it has tried, by `Upstream.epoch_id`.
        organisation: Organisation of the caller; empty if it has none.
        cost: Replica time that the request takes, in seconds.
    """

    request: str
    kind: Kind
    engine: routes.Engine
    gap: float
    arrived: float
    objective: float
    start_deadline: float
    rank: int = 0
    excluded: abc.Container[str] = ()
    organisation: ids.OrganisationName = ids.OrganisationName("")
    cost: float = 0.0


class _FirstEventEstimate:
    """A running quantile of one kind's seconds to the first event."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def note(self, seconds: float) -> None:
        """Move the estimate one step towards the quantile."""
        faster = seconds < self.seconds
        direction = _ESTIMATE_QUANTILE - 1 if faster else _ESTIMATE_QUANTILE
        self.seconds *= 1 + _ESTIMATE_STEP * direction


class _Queue:
    """Waiting requests of one kind, and the rate at which they start."""

    def __init__(self) -> None:
        self.tickets: list[Ticket] = []
        # Times at which requests started, keyed by whether they were late.
        self.starts: dict[bool, collections.deque[float]] = {
            False: collections.deque(),
            True: collections.deque(),
        }
        self.first_event: _FirstEventEstimate | None = None
        # Time since which the queue has not been empty.
        self.nonempty_since = 0.0


class Backlog:
    """The queues of one gateway, one for each kind of request."""

    def __init__(
        self, find_level: abc.Callable[[Ticket, float], int] | None = None
    ) -> None:
        """Create empty queues.

        Args:
            find_level: Returns how far the organisation of a request is
                over its share at a time; 0 if it isn't.
        """
        self._queues: dict[Kind, _Queue] = {}
        self._find_level = find_level or _get_no_level

    def _get(self, kind: Kind) -> _Queue:
        queue = self._queues.get(kind)
        if queue is None:
            queue = self._queues[kind] = _Queue()
        return queue

    # -- Waiting requests

    def add(self, ticket: Ticket) -> None:
        """Add a request to its queue."""
        queue = self._get(ticket.kind)
        if not queue.tickets:
            queue.nonempty_since = ticket.arrived
        queue.tickets.append(ticket)

    def remove(self, ticket: Ticket) -> None:
        """Remove a request from its queue, if it is there."""
        queue = self._get(ticket.kind)
        if ticket in queue.tickets:
            queue.tickets.remove(ticket)

    def count(self, kind: Kind) -> int:
        """Return the number of waiting requests of a kind."""
        queue = self._queues.get(kind)
        return len(queue.tickets) if queue else 0

    def list_kinds(self) -> list[Kind]:
        """Return the kinds that have waiting requests."""
        return [kind for kind, queue in self._queues.items() if queue.tickets]

    def list_tickets(self, kind: Kind, now: float) -> list[Ticket]:
        """Return a kind's waiting requests, the next to start first."""
        queue = self._get(kind)
        if len(queue.tickets) < 2:
            return list(queue.tickets)
        return sorted(
            queue.tickets,
            key=lambda ticket: self._make_sort_key(ticket, queue, now),
        )

    def is_late(self, ticket: Ticket, now: float) -> bool:
        """Return whether a request that starts now would be late."""
        return now + self.estimate_first_event(ticket.kind) > ticket.objective

    def _make_sort_key(
        self, ticket: Ticket, queue: _Queue, now: float
    ) -> tuple[bool, int, int, float]:
        """Return the key that sorts requests by the order they start in."""
        level = self._find_level(ticket, now)
        if self.is_late(ticket, now):
            # The request whose caller gives up first goes first.
            return True, 0, level, ticket.start_deadline
        return False, ticket.rank, level, -ticket.objective

    # -- Estimates

    def note_start(self, kind: Kind, late: bool, now: float) -> None:
        """Note that a request was given a slot, in time or late."""
        self._get(kind).starts[late].append(now)
        self.measure_rate(kind, late, now)

    def note_first(self, kind: Kind, seconds: float) -> None:
        """Note the time from a request's start to its first event."""
        queue = self._get(kind)
        if queue.first_event is None:
            queue.first_event = _FirstEventEstimate(seconds)
        queue.first_event.note(seconds)

    def set_initial_estimate(self, kind: Kind, seconds: float) -> None:
        """Set the time to the first event, unless an estimate exists."""
        queue = self._get(kind)
        if queue.first_event is None:
            queue.first_event = _FirstEventEstimate(seconds)

    def estimate_first_event(self, kind: Kind) -> float:
        """Return the estimated seconds from a start to the first event."""
        estimate = self._get(kind).first_event
        if estimate is None:
            return 0.0
        return estimate.seconds

    def measure_rate(self, kind: Kind, late: bool, now: float) -> float:
        """Return the requests that start per second.

        Args:
            kind: Kind of the requests.
            late: Whether to count late requests or those in time.
            now: Monotonic time.
        """
        starts = self._get(kind).starts[late]
        while starts and starts[0] < now - _RATE_WINDOW:
            starts.popleft()
        return len(starts) / _RATE_WINDOW

    def list_unservable(self, kind: Kind, now: float) -> list[Ticket]:
        """Return the requests that cannot start before their callers leave.

        The estimate follows from a request's position among the late ones
        and from the rate at which late ones have started: newer requests,
        which can be in time, always go before. The rate is taken to be at
        least one start in the window.
        """
        rate = self.measure_rate(kind, True, now)
        rate = max(rate, 1 / _RATE_WINDOW)
        unservable = []
        late_ahead = 0
        for ticket in self.list_tickets(kind, now):
            late = self.is_late(ticket, now)
            starts = now + late_ahead / rate if late else now
            if starts > ticket.start_deadline:
                unservable.append(ticket)
            else:
                late_ahead += late
        return unservable

    def estimate_retry_after(
        self, kind: Kind, minimum: float, now: float
    ) -> float:
        """Return the seconds after which a request will find a free slot.

        This is the time in which the backlog is worked off at the present
        rate, but no less than the backlog has lasted so far: the end of a
        load is unknown, and the longer it has lasted, the longer it is
        expected to last.

        Args:
            kind: Kind of the request.
            minimum: Least value to return, in seconds: the time in which
                each slot of a replica becomes free once.
            now: Monotonic time.
        """
        queue = self._get(kind)
        rate = self.measure_rate(kind, False, now)
        rate += self.measure_rate(kind, True, now)
        rate = max(rate, 1 / _RATE_WINDOW)
        lasted = now - queue.nonempty_since if queue.tickets else 0.0
        return max(minimum, lasted, len(queue.tickets) / rate)

    # -- Counts reported to other gateways

    def list_counts(self) -> dict[Kind, int]:
        """Return the number of waiting requests, by kind."""
        return {
            kind: len(queue.tickets)
            for kind, queue in self._queues.items()
            if queue.tickets
        }


def _get_no_level(ticket: Ticket, now: float) -> int:
    return 0


def divide_slots(free: float, own: int, others: int) -> float:
    """Return the share of the free slots that one gateway may fill.

    Failure: all gateways learn of the same free slot at once, and each
    fills it with a request of its own. Each therefore takes a share in
    proportion to its part of all waiting requests.

    Args:
        free: Free slots of the replicas.
        own: Requests that wait at this gateway.
        others: Requests that wait at the other gateways.

    Returns:
        The share; infinity where there is a slot for each request.
    """
    total = own + others
    if total <= free or not total:
        return math.inf
    return free * own / total


def format_counts(counts: abc.Mapping[Kind, int]) -> dict[str, int]:
    """Return counts of waiting requests, keyed as gateways report them."""
    return {format_count_key(kind): count for kind, count in counts.items()}


def format_count_key(kind: Kind) -> str:
    """Return the key under which a kind's waiting requests are reported.

    They are sent in one mapping with the counts by upstream. The slash
    keeps the keys apart: no upstream's id contains one.
    """
    return f"{kind.service}/{kind.model}"

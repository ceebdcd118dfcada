"""Simulation in virtual time of many gateways that share replicas.

The gateways place requests with the product's own code. Simulated replicas
run a limited number of requests at once, take the next one by rank and
run it for a random time. Gateways learn of each other's loads only at
intervals. The load is an open loop: callers do not slow down when answers
are late.
"""

from collections import abc
import enum
import heapq
import random
import typing

import msgspec

from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import placing
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = [
    "ENGINE",
    "KIND",
    "TIMING",
    "Policy",
    "Simulation",
    "Surge",
    "make_leader",
    "make_ticket",
]

SERVICE = ids.ServiceName("pool")
KIND = backlog.Kind(SERVICE, "m")
MODEL = routes.Model(name="m", size=1, share=1.0)
TIMING = routes.Timing(
    step=0.00645,
    per_request=0.000193,
    per_token=0.00000000586,
    read_token=1 / 56_100,
    steps=6,
    prompt=1115,
    answer=152,
)
ENGINE = routes.Engine(slots=13, models=(MODEL,), timing=TIMING)
# Seconds to the first event within which a request is in time, and after
# which its caller leaves.
TARGET = 0.4
_CALLER_TIMEOUT = 2.0
# Seconds between two heartbeats, usually and while a replica is nearly
# full.
_HEARTBEAT_INTERVAL = 0.4
_HIGH_LOAD_INTERVAL = 0.12
# Seconds by which counts are late that relays pass on.
_RELAY_DELAY = 0.5
# Seconds from the start of a run to its first event, and to its end on
# average.
_FIRST_EVENT_TIME = 0.12
_MEAN_RUN_TIME = 1.2
# Times that some callers repeat a request at once.
_REPEATS = 3
# Share of its slots above which a replica counts as nearly full.
_HIGH_LOAD_SHARE = 0.75


def make_ticket(
    name: str, arrived: float = 0.0, **fields: typing.Any
) -> backlog.Ticket:
    """Return the ticket of a request that arrived at a time in seconds.

    Other fields of the ticket can be given by name.
    """
    ticket = backlog.Ticket(
        request=name,
        kind=KIND,
        engine=ENGINE,
        gap=0.25,
        arrived=arrived,
        objective=arrived + TARGET,
        start_deadline=arrived + _CALLER_TIMEOUT,
    )
    return msgspec.structs.replace(ticket, **fields)


def make_leader(number: int, slots: int = 13) -> upstreams.Upstream:
    """Return the leader of an open replica."""
    name = upstreams.make_replica_id("m", 1, f"r{number}")
    return upstreams.Upstream(
        id=ids.InstanceId(f"i{number}"),
        service=SERVICE,
        address=f"i{number}:1",
        datacentre=ids.DatacentreName("here"),
        slots=slots,
        seat=upstreams.Seat(name, 1, 0, upstreams.Phase.OPEN),
    )


class Policy(enum.Enum):
    """How a gateway treats an arriving request."""

    # Sent at once to the less loaded of two random replicas.
    AT_ONCE = "at_once"
    # Queued until a replica has room, by the loads known to its gateway.
    WAITS = "waits"
    # As WAITS, with one gateway that takes all requests and so knows the
    # loads exactly.
    ALL_KNOWN = "all_known"


class Sender(msgspec.Struct, frozen=True, kw_only=True):
    """The callers of one organisation.

    Attributes:
        rate: Requests a second outside the surge.
        factor: Factor of the rate during the surge.
        repeats: Whether its callers repeat at once after a refusal, three
            times.
    """

    rate: float
    factor: float = 1.0
    repeats: bool = False


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """A load that is higher for a while; times in seconds.

    Attributes:
        rate: Requests a second at the usual load.
        factor: Factor of the rate from `begin` to `end`.
        begin: Start of the higher load.
        end: End of the higher load.
        seconds: Time during which requests arrive.
    """

    rate: float
    factor: float
    begin: float = 8.0
    end: float = 16.0
    seconds: float = 26.0


class Simulation:
    """Requests, gateways and replicas in virtual time."""

    def __init__(
        self,
        policy: Policy,
        gateways: int = 15,
        replicas: int = 6,
        seed: int = 1,
        are_counts_relayed: bool = False,
    ) -> None:
        """Create gateways and replicas without load.

        Args:
            policy: How gateways treat an arriving request.
            gateways: Number of gateways.
            replicas: Number of replicas.
            seed: Seed of all random choices.
            are_counts_relayed: Whether counts come through relays, late.
        """
        if policy is Policy.ALL_KNOWN:
            gateways = 1
        self._are_counts_relayed = are_counts_relayed
        self._is_queueing = policy is not Policy.AT_ONCE
        self._random = random.Random(seed)
        fleet = upstreams.Fleet()
        fleet.replace([make_leader(n) for n in range(replicas)], 1, 0)
        datacentre = ids.DatacentreName("here")
        self._balancers = [
            balancing.Balancer(fleet, datacentre) for _ in range(gateways)
        ]
        for balancer in self._balancers:
            balancer.are_counts_relayed = are_counts_relayed
        self._placers = [placing.Placer(one) for one in self._balancers]
        self._running = {f"i{n}": 0 for n in range(replicas)}
        self._queues: dict[str, list[_QueuedRequest]] = {
            name: [] for name in self._running
        }
        self._events: list[typing.Any] = []
        self._event_count = 0
        self._last_departure = 0.0
        # Arrival times of all requests; arrival times and seconds to the
        # first event of those that were started.
        self.arrivals: list[float] = []
        self.firsts: list[tuple[float, float]] = []
        self.refused: list[placing.Refusal] = []
        # The same by organisation, and requests that arrive once more.
        self.arrivals_of: dict[str, list[float]] = {}
        self.firsts_of: dict[str, list[tuple[float, float]]] = {}
        self._repeats: dict[str, int] = {}
        self.repeat_count = 0

    def run(self, surge: Surge) -> None:
        """Simulate a load to its end."""
        everyone = Sender(rate=surge.rate, factor=surge.factor)
        self.run_senders(surge, {"": everyone})

    def run_senders(
        self, surge: Surge, senders: abc.Mapping[str, Sender]
    ) -> None:
        """Simulate the load of several organisations to its end."""
        self._last_departure = surge.seconds + _CALLER_TIMEOUT
        for name, sender in senders.items():
            self._schedule_arrivals(surge, name, sender)
        for node in range(len(self._placers)):
            self._schedule(
                self._random.uniform(0, _HEARTBEAT_INTERVAL),
                self._send_loads,
                node,
            )
            if self._is_queueing:
                self._schedule(placing.TICK, self._tick, node)
        while self._events:
            now, _, callback, arguments = heapq.heappop(self._events)
            callback(now, *arguments)

    def _schedule_arrivals(
        self, surge: Surge, organisation: str, sender: Sender
    ) -> None:
        at = 0.0
        while at < surge.seconds:
            high = surge.begin <= at < surge.end
            rate = sender.rate * (sender.factor if high else 1.0)
            at += self._random.expovariate(rate)
            node = self._random.randrange(len(self._placers))
            name = f"r{self._event_count}"
            if sender.repeats:
                self._repeats[name] = _REPEATS
            self._schedule(
                at, self._handle_arrival, node, name, organisation, at
            )

    def compute_share_of(
        self, organisation: str, begin: float, end: float
    ) -> float:
        """Return the share of an organisation's requests in time."""
        arrived_count = sum(
            begin <= at < end for at in self.arrivals_of[organisation]
        )
        in_time_count = self.count_in_time(organisation, begin, end)
        return in_time_count / max(arrived_count, 1)

    def count_in_time(
        self, organisation: str, begin: float, end: float
    ) -> int:
        """Return the number of an organisation's requests in time."""
        return sum(
            first <= TARGET
            for at, first in self.firsts_of.get(organisation, ())
            if begin <= at < end
        )

    def compute_share_in_time(self, begin: float, end: float) -> float:
        """Return the share of a period's requests that were in time."""
        arrived_count = sum(begin <= at < end for at in self.arrivals)
        in_time_count = sum(
            first <= TARGET for at, first in self.firsts if begin <= at < end
        )
        return in_time_count / max(arrived_count, 1)

    def _schedule(
        self,
        at: float,
        callback: abc.Callable[..., None],
        *arguments: typing.Any,
    ) -> None:
        self._event_count += 1
        heapq.heappush(
            self._events, (at, self._event_count, callback, arguments)
        )

    # -- Gateways

    def _handle_arrival(
        self,
        now: float,
        node: int,
        request: str,
        organisation: str,
        first_sent: float,
    ) -> None:
        if first_sent == now:
            self.arrivals.append(now)
            self.arrivals_of.setdefault(organisation, []).append(now)
        ticket = make_ticket(
            request,
            now,
            objective=first_sent + TARGET,
            start_deadline=first_sent + _CALLER_TIMEOUT,
            organisation=ids.OrganisationName(organisation),
            cost=_MEAN_RUN_TIME / ENGINE.slots,
        )
        if not self._is_queueing:
            found = self._balancers[node].choose(
                SERVICE, MODEL.name, (), request, now
            )
            assert isinstance(found, upstreams.Upstream)
            self._balancers[node].begin(found.id, now)
            self._send(now, node, placing.Placement(ticket, found, True))
            return
        placed = self._placers[node].try_place(ticket, now)
        if isinstance(placed, placing.Placement):
            self._send(now, node, placed)
        else:
            self._placers[node].add(ticket)

    def _tick(self, now: float, node: int) -> None:
        placer = self._placers[node]
        for kind in placer.backlog.list_kinds():
            for refusal in placer.turn_away(kind, now):
                self._refuse(now, refusal)
            for placement in placer.fill(kind, now):
                self._send(now, node, placement)
        if now < self._last_departure:
            self._schedule(now + placing.TICK, self._tick, node)

    def _refuse(self, now: float, refusal: placing.Refusal) -> None:
        """Record a refusal; some callers repeat at once, at another node."""
        self.refused.append(refusal)
        ticket = refusal.ticket
        left = self._repeats.pop(ticket.request, 0)
        if left:
            name = f"{ticket.request}+"
            self._repeats[name] = left - 1
            self.repeat_count += 1
            self._schedule(
                now + 0.001,
                self._handle_arrival,
                self._random.randrange(len(self._placers)),
                name,
                ticket.organisation,
                ticket.objective - TARGET,
            )

    def _send_loads(self, now: float, node: int) -> None:
        loads = self._balancers[node].list_loads(now)
        if self._are_counts_relayed:
            self._schedule(
                now + _RELAY_DELAY, self._receive_loads, node, loads
            )
        else:
            self._receive_loads(now, node, loads)
        is_high = max(self._running.values()) > _HIGH_LOAD_SHARE * ENGINE.slots
        wait = (
            _HIGH_LOAD_INTERVAL
            if self._is_queueing and is_high
            else _HEARTBEAT_INTERVAL
        )
        if self._are_counts_relayed:
            wait = _HEARTBEAT_INTERVAL
        if now < self._last_departure:
            self._schedule(now + wait, self._send_loads, node)

    def _receive_loads(
        self, now: float, node: int, loads: abc.Mapping[str, int]
    ) -> None:
        for number, balancer in enumerate(self._balancers):
            if number != node:
                balancer.note_loads(ids.NodeId(f"n{node}"), loads, now)

    # -- Replicas

    def _send(
        self, now: float, node: int, placement: placing.Placement
    ) -> None:
        replica = placement.upstream.id
        ticket = placement.ticket
        rank = 0 if placement.in_time else 1
        entry = _QueuedRequest(
            rank,
            now,
            ticket.request,
            node,
            ticket.objective - TARGET,
            ticket.organisation,
        )
        heapq.heappush(self._queues[replica], entry)
        self._start_runs(now, replica)

    def _start_runs(self, now: float, replica: str) -> None:
        queue = self._queues[replica]
        while queue and self._running[replica] < ENGINE.slots:
            queued = heapq.heappop(queue)
            if now > queued.arrived + _CALLER_TIMEOUT:
                # The caller has left.
                self._balancers[queued.node].end(ids.InstanceId(replica))
                continue
            self._running[replica] += 1
            first_at = now + _FIRST_EVENT_TIME
            first = (queued.arrived, first_at - queued.arrived)
            self.firsts.append(first)
            self.firsts_of.setdefault(queued.organisation, []).append(first)
            backlog_ = self._placers[queued.node].backlog
            backlog_.note_first(KIND, first_at - queued.at)
            run_time = self._random.uniform(0.5, 1.5) * _MEAN_RUN_TIME
            self._schedule(
                now + run_time, self._finish_run, queued.node, replica
            )

    def _finish_run(self, now: float, node: int, replica: str) -> None:
        self._running[replica] -= 1
        self._balancers[node].end(ids.InstanceId(replica))
        if self._is_queueing:
            for placement in self._placers[node].replace_ended(now):
                self._send(now, node, placement)
        self._start_runs(now, replica)


class _QueuedRequest(msgspec.Struct, frozen=True, order=True):
    """A request in the queue of a replica; sorts as the replica takes it.

    Attributes:
        rank: 0 for a request that can be in time, 1 for a late one.
        at: When the gateway sent it.
        node: Number of the gateway.
        arrived: When its caller first sent it.
    """

    rank: int
    at: float
    request: str
    node: int
    arrived: float
    organisation: str

"""Many gateways before the same replicas, in virtual time.

The gateways' real decisions; replicas work on so many requests at once,
take the next by rank and write for a time that is drawn; what gateways
tell each other arrives late. Requests come in an open loop: callers do
not slow down because answers are late.
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
    "Replay",
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
# Seconds to the first event that are on time, and that callers bear.
TARGET = 0.4
_BORNE = 2.0
# Seconds between two heartbeats, at rest and while replicas are full.
_TOLD = 0.4
_TOLD_PRESSED = 0.12
# Seconds of a run with its first event at the start, and until then.
_FIRST = 0.12
_LASTS = 1.2
# Part of its slots above which a replica counts as nearly full.
_PRESSED = 0.75


def make_ticket(
    name: str, arrived: float = 0.0, **fields: typing.Any
) -> backlog.Ticket:
    """Return a request that came at a time."""
    ticket = backlog.Ticket(
        request=name,
        kind=KIND,
        engine=ENGINE,
        gap=0.25,
        arrived=arrived,
        objective=arrived + TARGET,
        start_deadline=arrived + _BORNE,
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
    """What is done with a request that comes."""

    # Sent at once to the better of two replicas that are drawn.
    AT_ONCE = "at_once"
    # Sent when a replica has room, by what its gateway has heard.
    WAITS = "waits"
    # The same where one gateway takes all requests and knows everything.
    ALL_KNOWN = "all_known"


class Surge(msgspec.Struct, frozen=True, kw_only=True):
    """A load that is higher for a while.

    Attributes:
        rate: Requests a second at the usual load.
        factor: How many times as many come from `begin` to `end`.
        seconds: Length of the run.
    """

    rate: float
    factor: float
    begin: float = 8.0
    end: float = 16.0
    seconds: float = 26.0


class Replay:
    """Requests, gateways and replicas in virtual time."""

    def __init__(
        self,
        policy: Policy,
        gateways: int = 15,
        replicas: int = 6,
        seed: int = 1,
    ) -> None:
        if policy is Policy.ALL_KNOWN:
            gateways = 1
        self._waits = policy is not Policy.AT_ONCE
        self._chance = random.Random(seed)
        fleet = upstreams.Fleet()
        fleet.replace([make_leader(n) for n in range(replicas)], 1, 0)
        place = ids.DatacentreName("here")
        self._balancers = [
            balancing.Balancer(fleet, place) for _ in range(gateways)
        ]
        self._placers = [placing.Placer(one) for one in self._balancers]
        self._working = {f"i{n}": 0 for n in range(replicas)}
        self._queues: dict[str, list[_Sent]] = {
            name: [] for name in self._working
        }
        self._events: list[typing.Any] = []
        self._count = 0
        self._last = 0.0
        # Arrivals, and the seconds to the first event of those that began.
        self.arrivals: list[float] = []
        self.firsts: list[tuple[float, float]] = []
        self.refused: list[placing.Refusal] = []

    def run(self, surge: Surge) -> None:
        """Play a load to its end."""
        self._last = surge.seconds + _BORNE
        at = 0.0
        while at < surge.seconds:
            high = surge.begin <= at < surge.end
            rate = surge.rate * surge.factor if high else surge.rate
            at += self._chance.expovariate(rate)
            node = self._chance.randrange(len(self._placers))
            self._plan(at, self._arrive, node, f"r{self._count}")
        for node in range(len(self._placers)):
            self._plan(self._chance.uniform(0, _TOLD), self._tell, node)
            if self._waits:
                self._plan(placing.TICK, self._tick, node)
        while self._events:
            now, _, act, words = heapq.heappop(self._events)
            act(now, *words)

    def share_in_time(self, begin: float, end: float) -> float:
        """Return the part of the requests of a time that were in time."""
        came = sum(begin <= at < end for at in self.arrivals)
        good = sum(
            first <= TARGET for at, first in self.firsts if begin <= at < end
        )
        return good / max(came, 1)

    def _plan(
        self, at: float, act: abc.Callable[..., None], *words: typing.Any
    ) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, act, words))

    # -- Gateways

    def _arrive(self, now: float, node: int, request: str) -> None:
        self.arrivals.append(now)
        ticket = make_ticket(request, now)
        if not self._waits:
            found = self._balancers[node].choose(
                SERVICE, MODEL.name, (), request, now
            )
            assert isinstance(found, upstreams.Upstream)
            self._balancers[node].begin(found.id)
            self._send(now, node, placing.Placement(ticket, found, True))
            return
        asked = self._placers[node].try_place(ticket, now)
        if isinstance(asked, placing.Placement):
            self._send(now, node, asked)
        else:
            self._placers[node].add(ticket)

    def _tick(self, now: float, node: int) -> None:
        placer = self._placers[node]
        for kind in placer.backlog.list_kinds():
            self.refused += placer.turn_away(kind, now)
            for placement in placer.fill(kind, now):
                self._send(now, node, placement)
        if now < self._last:
            self._plan(now + placing.TICK, self._tick, node)

    def _tell(self, now: float, node: int) -> None:
        loads = self._balancers[node].list_loads(now)
        for number, balancer in enumerate(self._balancers):
            if number != node:
                balancer.note_loads(ids.NodeId(f"n{node}"), loads, now)
        pressed = max(self._working.values()) > _PRESSED * ENGINE.slots
        wait = _TOLD_PRESSED if self._waits and pressed else _TOLD
        if now < self._last:
            self._plan(now + wait, self._tell, node)

    # -- Replicas

    def _send(
        self, now: float, node: int, placement: placing.Placement
    ) -> None:
        replica = placement.upstream.id
        ticket = placement.ticket
        rank = 0 if placement.in_time else 1
        entry = _Sent(rank, now, ticket.request, node, ticket.arrived)
        heapq.heappush(self._queues[replica], entry)
        self._begin(now, replica)

    def _begin(self, now: float, replica: str) -> None:
        waiting = self._queues[replica]
        while waiting and self._working[replica] < ENGINE.slots:
            sent = heapq.heappop(waiting)
            if now > sent.arrived + _BORNE:
                # Its caller has left.
                self._balancers[sent.node].end(ids.InstanceId(replica))
                continue
            self._working[replica] += 1
            begins = now + _FIRST
            self.firsts.append((sent.arrived, begins - sent.arrived))
            backlog_ = self._placers[sent.node].backlog
            backlog_.note_first(KIND, begins - sent.at)
            lasts = self._chance.uniform(0.5, 1.5) * _LASTS
            self._plan(now + lasts, self._end, sent.node, replica)

    def _end(self, now: float, node: int, replica: str) -> None:
        self._working[replica] -= 1
        self._balancers[node].end(ids.InstanceId(replica))
        if self._waits:
            for placement in self._placers[node].replace_ended(now):
                self._send(now, node, placement)
        self._begin(now, replica)


class _Sent(msgspec.Struct, frozen=True, order=True):
    """A request in the queue of a replica, in the order it is taken."""

    rank: int
    at: float
    request: str
    node: int
    arrived: float

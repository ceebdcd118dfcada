"""Routing and admission under load and faults, in virtual time.

The workload has fifty replicas, four entries, load reports that are
500 ms late, one straggler and one replica that dies. Arrivals are an open
loop: callers do not slow down when answers are late. The baselines route
at random, or to the least reported load, and admit every request.
"""

import collections
from collections import abc
import enum
import heapq
import itertools
import random
import typing

import msgspec

from bench import load as load_module
from bench import report
from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.replicas import evidence
from currantwall.coordination.requests import admission
from currantwall.coordination.requests import fairness
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import members
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import views
from standins import sites

__all__ = ["Outcome", "Scenario", "Simulation", "measure_overload"]

_PROFILE_NAME = ids.ProfileName("counter")
_SEED = 20261203
_REPORT_INTERVAL_SECONDS = 0.25
# From the death of a replica until the entries know of it.
_DETECTION_SECONDS = 1.0
# Until a demand that an entry publishes reaches the other entries.
_DEMAND_DELAY_SECONDS = 0.3
# Factor of the service time on a cache hit.
_CACHED_SERVICE_FACTOR = 0.7
# Seconds of processing until the first token, and their factor on a cache
# hit.
_PREFILL_SECONDS = 0.3
_CACHED_PREFILL_FACTOR = 0.2
# Prefixes that a replica caches, of those that occur.
_CACHE_SIZE = 16
_PREFIX_COUNT = 200
# Weight of a request, and the share of requests that have it.
_REQUEST_WEIGHTS = ((3.0, 0.4), (1.0, 0.6))
_ORGANISATION_COUNT = 10


class Policy(enum.Enum):
    """What chooses the replica of a request."""

    ROUTER = "ours"
    RANDOM = "random"
    LEAST_REPORTED = "least_reported"


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a simulation run.

    Attributes:
        load: Offered load as a multiple of the capacity.
        concurrency: Requests that a replica processes at a time.
        seconds: Length of the measurement, after `warmup` seconds.
        deadline: Seconds from the arrival of a request.
        straggler: Factor by which the first replica is slower.
        dead: Number of replicas that die in the middle.
        greedy: Factor by which the first organisation sends more than its
            share.
    """

    load: float
    policy: Policy = Policy.ROUTER
    replicas: int = 50
    concurrency: int = 8
    entries: int = 4
    seconds: float = 60.0
    warmup: float = 10.0
    deadline: float = 10.0
    straggler: float = 4.0
    dead: int = 1
    greedy: float = 1.0
    seed: int = _SEED


class Outcome(msgspec.Struct, kw_only=True):
    """Results of a simulation run, from the end of the warm-up on.

    Attributes:
        goodput: Total weight of the requests answered within the deadline.
        served: Requests answered within the deadline, by organisation.
        requested: Requests that arrived, by organisation.
        latencies: Seconds from arrival to the end of each answer.
        first_latencies: Seconds from arrival to the first token.
        hits: Requests that found their prefix in a replica's cache.
        started: Requests that a replica began to process.
    """

    seconds: float = 0.0
    arrivals: int = 0
    goodput: float = 0.0
    served: dict[str, int] = msgspec.field(default_factory=dict)
    requested: dict[str, int] = msgspec.field(default_factory=dict)
    latencies: list[float] = msgspec.field(default_factory=list)
    first_latencies: list[float] = msgspec.field(default_factory=list)
    hits: int = 0
    started: int = 0
    retries: int = 0
    refused: int = 0
    failed: int = 0


class _Job(msgspec.Struct):
    """A request in progress.

    Attributes:
        arrived: Virtual time of its arrival, in seconds.
        entry: Number of the entry that it was sent to.
        excluded: Replicas that failed it.
    """

    organisation: ids.OrganisationName
    weight: float
    prefix: int
    arrived: float
    entry: int
    attempts: int = 0
    excluded: tuple[str, ...] = ()


class _Replica:
    """A batching engine that queues requests beyond its slots.

    Attributes:
        slowdown: Factor on its service times.
        reported: Requests in flight, as last reported to the entries.
        open: Attempts that run or wait in it.
    """

    def __init__(self, name: str, slots: int, slowdown: float) -> None:
        self.name = name
        self.slots = slots
        self.slowdown = slowdown
        self.alive = True
        self.running = 0
        self.waiting: collections.deque[typing.Any] = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.reported = 0
        self.open: set[str] = set()

    def access_cache(self, prefix: int) -> bool:
        """Return whether a prefix was cached, and cache it.

        The least recently used prefix is evicted.
        """
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > _CACHE_SIZE:
            self.cache.popitem(last=False)
        return hit


class _Entry:
    """The routing and admission decisions of one entry process."""

    def __init__(self, number: int, scenario: Scenario) -> None:
        name = f"e{number}"
        settings = sites.make_settings(name, f"d{number % 2}")
        me = members.Member(
            id=ids.NodeId(name),
            datacentre=settings.node.datacentre,
            address="",
            peer_address="",
            incarnation=ids.Incarnation(1),
        )
        self.nodes = views.MembersView(me)
        self.view = views.ObjectsView()
        self.evidence = evidence.Evidence(self.view, settings.replicas)
        self.router = routing.Router(
            self.view, self.nodes, self.evidence, settings
        )
        self.admission = admission.Admission(self.router, self.nodes, settings)
        self.retries = retries.Retries(
            settings.requests.retry_share, settings.requests.attempts
        )
        _store_site(self.view, scenario)


def _store_site(view: views.ObjectsView, scenario: Scenario) -> None:
    stored_profile = profile.Profile(
        name=_PROFILE_NAME, model="m", concurrency=scenario.concurrency
    )
    _store_object(view, objects.Kind.PROFILES, _PROFILE_NAME, stored_profile)
    by_domain: dict[str, list[domain.Replica]] = {}
    for number in range(scenario.replicas):
        name = f"r{number}"
        domain_name = f"f{number % 5}"
        listed = instances.Instance(
            id=ids.InstanceId(f"i-{name}"),
            kind=instances.InstanceKind.ENGINE,
            address=name,
            datacentre=ids.DatacentreName(f"d{number % 2}"),
            domain=ids.DomainName(domain_name),
        )
        _store_object(view, objects.Kind.INSTANCES, listed.id, listed)
        by_domain.setdefault(domain_name, []).append(
            domain.Replica(
                id=ids.ReplicaId(name),
                profile=_PROFILE_NAME,
                generation=ids.Generation(1),
                members=(listed.id,),
                accelerators=4,
                model="m",
                model_version="1",
                phase=domain.ReplicaPhase.SERVING,
            )
        )
    for domain_name, held_replicas in by_domain.items():
        number = int(domain_name[1:])
        record = domain.Domain(
            name=ids.DomainName(domain_name),
            datacentre=ids.DatacentreName(f"d{number % 2}"),
            replicas=tuple(held_replicas),
            serial=1,
        )
        _store_object(view, objects.Kind.DOMAINS, domain_name, record)


def _store_object(
    view: views.ObjectsView,
    kind: objects.Kind,
    name: str,
    value: msgspec.Struct,
) -> None:
    key = objects.ObjectKey(kind.value, name)
    version = ids.Version(1)
    view.apply(objects.Stored(key, version, objects.encode(value)))


class Simulation:
    """Runs a scenario in virtual time."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._events: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self._tickets = itertools.count(1)
        self._jobs: dict[int, _Job] = {}
        self._running: dict[str, tuple[_Job, _Replica]] = {}
        self._replicas = {
            f"r{number}": _Replica(
                f"r{number}",
                scenario.concurrency,
                scenario.straggler if number == 0 else 1.0,
            )
            for number in range(scenario.replicas)
        }
        self._entries = [
            _Entry(number, scenario) for number in range(scenario.entries)
        ]
        for entry in self._entries:
            for other in self._entries:
                if other is not entry:
                    entry.nodes.put(other.nodes.me)
        self.outcome = Outcome()

    # -- Time

    def _schedule(
        self,
        seconds: float,
        function: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        event = (
            self._now + seconds,
            next(self._event_numbers),
            function,
            arguments,
        )
        heapq.heappush(self._events, event)

    def run(self) -> Outcome:
        """Run to the end and return the results."""
        scenario = self._scenario
        end = scenario.warmup + scenario.seconds
        self._sample_loads()
        self._tick()
        self._schedule(0.01, self._arrive)
        middle = scenario.warmup + scenario.seconds / 2
        self._schedule(middle, self._kill_replicas)
        while self._events and self._events[0][0] <= end:
            self._now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)
        self.outcome.seconds = scenario.seconds
        return self.outcome

    @property
    def _is_measuring(self) -> bool:
        return self._now >= self._scenario.warmup

    # -- Arrivals

    def _get_arrival_rate(self) -> float:
        scenario = self._scenario
        return scenario.load * scenario.replicas * scenario.concurrency

    def _arrive(self) -> None:
        self._schedule(
            self._random.expovariate(self._get_arrival_rate()), self._arrive
        )
        shares = [self._scenario.greedy] + [1.0] * (_ORGANISATION_COUNT - 1)
        organisation = self._random.choices(
            range(_ORGANISATION_COUNT), shares
        )[0]
        weight = self._random.choices(
            [pair[0] for pair in _REQUEST_WEIGHTS],
            [pair[1] for pair in _REQUEST_WEIGHTS],
        )[0]
        prefix = 1 + int(_PREFIX_COUNT * self._random.random() ** 3)
        job = _Job(
            ids.OrganisationName(f"o{organisation}"),
            weight,
            prefix,
            self._now,
            self._random.randrange(self._scenario.entries),
        )
        if self._is_measuring:
            self.outcome.arrivals += 1
            requested = self.outcome.requested
            requested[job.organisation] = (
                requested.get(job.organisation, 0) + 1
            )
        self._entries[job.entry].retries.earn()
        self._send_attempt(job)

    def _send_attempt(self, job: _Job) -> None:
        job.attempts += 1
        if self._scenario.policy is Policy.ROUTER:
            self._request_route(job)
        else:
            self._start_attempt(job, self._choose_baseline(job), "")

    def _request_route(self, job: _Job) -> None:
        ticket = next(self._tickets)
        self._jobs[ticket] = job
        request = routing.RouteRequested(
            ticket=ticket,
            attempt=ids.AttemptId(f"a{ticket}"),
            profile=_PROFILE_NAME,
            excluded=job.excluded,
            organisation=job.organisation,
            weight=job.weight,
            deadline=job.arrived + self._scenario.deadline,
            prefix=job.prefix,
        )
        self._handle_message(job.entry, request)

    def _handle_message(self, number: int, message: part.Message) -> None:
        entry = self._entries[number]
        for action in entry.admission.handle(message, self._now):
            self._perform_action(number, action)

    def _perform_action(self, number: int, action: part.Action) -> None:
        if isinstance(action, actions.Reply):
            job = self._jobs.pop(action.ticket)
            if isinstance(action.answer, routing.Route):
                route = action.answer
                replica = self._replicas[route.subject]
                self._start_attempt(job, replica, route.attempt)
            elif self._is_measuring:
                self.outcome.refused += 1
        elif isinstance(action, actions.Publish):
            self._schedule(
                _DEMAND_DELAY_SECONDS,
                self._deliver_demand,
                number,
                action.payload,
            )

    def _deliver_demand(self, number: int, payload: wire.Payload) -> None:
        origin = self._entries[number].nodes.me.id
        for other, entry in enumerate(self._entries):
            if other != number:
                delivered = messages.Delivered(origin, payload)
                entry.admission.handle(delivered, self._now)

    def _choose_baseline(self, job: _Job) -> _Replica:
        candidates = [
            replica
            for replica in self._replicas.values()
            if replica.name not in job.excluded
            and self._is_believed_alive(replica)
        ]
        if self._scenario.policy is Policy.RANDOM:
            return self._random.choice(candidates)
        least = min(replica.reported for replica in candidates)
        return self._random.choice(
            [replica for replica in candidates if replica.reported == least]
        )

    def _is_believed_alive(self, replica: _Replica) -> bool:
        return (
            replica.alive or self._now < self._death_time + _DETECTION_SECONDS
        )

    # -- Replicas

    def _start_attempt(
        self, job: _Job, replica: _Replica, attempt: str
    ) -> None:
        attempt = attempt or f"n{next(self._tickets)}"
        if not replica.alive:
            self._schedule(0.002, self._fail_attempt, job, replica, attempt)
            return
        self._running[attempt] = (job, replica)
        replica.open.add(attempt)
        if replica.running < replica.slots:
            self._process(job, replica, attempt)
        else:
            replica.waiting.append((job, attempt))

    def _process(self, job: _Job, replica: _Replica, attempt: str) -> None:
        replica.running += 1
        hit = replica.access_cache(job.prefix)
        if self._is_measuring:
            self.outcome.started += 1
            self.outcome.hits += hit
            prefill = _PREFILL_SECONDS * replica.slowdown
            prefill *= _CACHED_PREFILL_FACTOR if hit else 1.0
            queued = self._now - job.arrived
            self.outcome.first_latencies.append(queued + prefill)
        seconds = self._random.gammavariate(4.0, 0.25) * replica.slowdown
        if hit:
            seconds *= _CACHED_SERVICE_FACTOR
        self._schedule(seconds, self._finish_attempt, job, replica, attempt)

    def _finish_attempt(
        self, job: _Job, replica: _Replica, attempt: str
    ) -> None:
        if attempt not in replica.open:
            return
        replica.open.discard(attempt)
        del self._running[attempt]
        replica.running -= 1
        self._record_answer(job)
        if self._scenario.policy is Policy.ROUTER:
            message = routing.AttemptEnded(ids.AttemptId(attempt))
            self._handle_message(job.entry, message)
        while replica.waiting and replica.running < replica.slots:
            self._process(*self._dequeue(replica))

    @staticmethod
    def _dequeue(replica: _Replica) -> tuple[_Job, _Replica, str]:
        job, attempt = replica.waiting.popleft()
        return job, replica, attempt

    def _record_answer(self, job: _Job) -> None:
        latency = self._now - job.arrived
        if not self._is_measuring:
            return
        self.outcome.latencies.append(latency)
        if latency <= self._scenario.deadline:
            self.outcome.goodput += job.weight
            served = self.outcome.served
            served[job.organisation] = served.get(job.organisation, 0) + 1

    def _fail_attempt(
        self, job: _Job, replica: _Replica, attempt: str
    ) -> None:
        entry = self._entries[job.entry]
        uses_router = self._scenario.policy is Policy.ROUTER
        if uses_router:
            kind = routing.EndKind.FAILED
            message = routing.AttemptEnded(ids.AttemptId(attempt), kind)
            self._handle_message(job.entry, message)
            failed = evidence.UpstreamFailed(replica.name, 1)
            entry.evidence.handle(failed, self._now)
        failure = retries.AttemptFailure(
            attempts=job.attempts,
            may_have_run=True,
            idempotent=True,
            started=False,
            deadline=job.arrived + self._scenario.deadline,
        )
        decision = entry.retries.decide(failure, self._now)
        if decision is not retries.RetryDecision.RETRY:
            self.outcome.failed += int(self._is_measuring)
            return
        self.outcome.retries += int(self._is_measuring)
        job.excluded = (*job.excluded, replica.name)
        backoff = retries.compute_backoff(job.attempts)
        self._schedule(backoff, self._send_attempt, job)

    _death_time = 1e9

    def _kill_replicas(self) -> None:
        self._death_time = self._now
        for number in range(1, 1 + self._scenario.dead):
            replica = self._replicas[f"r{number}"]
            replica.alive = False
            for attempt in sorted(replica.open):
                job, _ = self._running.pop(attempt)
                self._schedule(
                    0.001, self._fail_attempt, job, replica, attempt
                )
            replica.open.clear()
            replica.waiting.clear()

    # -- Reports

    def _sample_loads(self) -> None:
        """Sample the loads; the reports arrive half a second later."""
        loads = {
            name: len(replica.open) for name, replica in self._replicas.items()
        }
        self._schedule(0.5, self._deliver_loads, loads)
        self._schedule(_REPORT_INTERVAL_SECONDS, self._sample_loads)

    def _deliver_loads(self, loads: dict[str, int]) -> None:
        for name, running in loads.items():
            replica = self._replicas[name]
            replica.reported = running
            verdicts = wire.Verdict
            known = (
                replica.alive
                or self._now < self._death_time + _DETECTION_SECONDS
            )
            delivered = messages.Delivered(
                ids.NodeId("observer"),
                wire.Evidence(
                    subject=name,
                    verdict=verdicts.WHOLE if known else verdicts.BROKEN,
                    generation=1,
                    age=0.5,
                    serial=1,
                    running=running,
                ),
            )
            for entry in self._entries:
                entry.evidence.handle(delivered, self._now)

    def _tick(self) -> None:
        for number in range(len(self._entries)):
            if self._now >= self._entries[number].admission.due():
                self._handle_message(number, part.Tick())
        self._schedule(0.05, self._tick)


def run(scenario: Scenario) -> Outcome:
    """Return the results of a scenario."""
    return Simulation(scenario).run()


@report.register("overload")
def measure_overload() -> None:
    """Measure overload, fairness and an outage against the baselines."""
    name = "overload"
    outcomes: dict[tuple[float, Policy], Outcome] = {}
    for offered in (0.5, 0.9, 1.0, 1.2, 2.0):
        for policy in Policy:
            outcome = run(Scenario(load=offered, policy=policy))
            outcomes[offered, policy] = outcome
            _emit_outcome(f"{name}.{offered:g}.{policy.value}", outcome)
    routed = {
        key[0]: outcome
        for key, outcome in outcomes.items()
        if key[1] is Policy.ROUTER
    }
    ratio = routed[2.0].goodput / routed[1.0].goodput
    report.emit(name, "goodput_2_to_1", ratio, "1")
    baseline = outcomes[0.9, Policy.RANDOM]
    _emit_p99(name, "p99_at_0.9", routed[0.9].latencies, baseline.latencies)
    _emit_p99(
        name,
        "first_p99_at_0.9",
        routed[0.9].first_latencies,
        baseline.first_latencies,
    )
    _measure_fairness(name)
    _measure_outage(name)


def _emit_p99(
    name: str, metric: str, latencies: list[float], baseline: list[float]
) -> None:
    p99 = load_module.percentile(latencies, 0.99)
    baseline_p99 = load_module.percentile(baseline, 0.99)
    report.emit(name, metric, p99, "s", baseline_p99)
    report.emit(name, f"{metric}_ratio", p99 / baseline_p99, "1")


def _emit_outcome(name: str, outcome: Outcome) -> None:
    rate = outcome.goodput / outcome.seconds
    report.emit(name, "goodput", rate, "weight/s")
    for fraction in (0.5, 0.95, 0.99):
        value = load_module.percentile(outcome.latencies, fraction)
        report.emit(name, f"p{fraction * 100:g}", value, "s")
        value = load_module.percentile(outcome.first_latencies, fraction)
        report.emit(name, f"first_p{fraction * 100:g}", value, "s")
    served_shares = [
        outcome.served.get(organisation, 0) / count
        for organisation, count in outcome.requested.items()
    ]
    report.emit(name, "jain", fairness.measure_jain(served_shares), "1")
    hits = outcome.hits / max(1, outcome.started)
    report.emit(name, "cache_hits", hits, "1")


def _measure_fairness(name: str) -> None:
    """Measure fairness while one organisation sends ten times its share.

    The others send their share. The total load is 1.71 times the capacity,
    but each of the others requests less than a tenth of the capacity and
    must be served nearly all of it.
    """
    greedy = 10.0
    total = greedy + _ORGANISATION_COUNT - 1
    offered = total / _ORGANISATION_COUNT * 0.9
    outcome = run(Scenario(load=offered, greedy=greedy, dead=0))
    served_shares = [
        outcome.served.get(organisation, 0) / count
        for organisation, count in outcome.requested.items()
        if organisation != "o0"
    ]
    report.emit(name, "well_behaved_least_share", min(served_shares), "1")


def _measure_outage(name: str) -> None:
    """Measure retries when half of all replicas die at once."""
    outcome = run(Scenario(load=0.9, dead=25))
    share = outcome.retries / outcome.arrivals
    report.emit(name, "retries_in_outage", share, "1")

"""Routing and admission in virtual time, under load and faults.

Fifty replicas, four entries, load reports 500 ms late, one straggler,
one death. Arrivals are an open loop: callers do not slow down because
answers are late. The baselines route at random, or to the least reported
load, and admit everything.
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

_PROFILE = ids.ProfileName("counter")
_SEED = 20261203
_REPORT_INTERVAL = 0.25
_DETECTION = 1.0
_DEMAND_DELAY = 0.3
_CACHED = 0.7
_PREFILL = 0.3
_PREFILL_CACHED = 0.2
_CACHE_SIZE = 16
_PREFIXES = 200
_KINDS = ((3.0, 0.4), (1.0, 0.6))
_ORGANISATIONS = 10


class Policy(enum.Enum):
    """Who decides."""

    OURS = "ours"
    RANDOM = "random"
    LEAST = "least_reported"


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """One experiment.

    Attributes:
        load: Offered load as a multiple of the capacity.
        greedy: How many times its share the first organisation sends.
        dead: Replicas that die in the middle.
    """

    load: float
    policy: Policy = Policy.OURS
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
    """What came of it."""

    seconds: float = 0.0
    arrivals: int = 0
    goodput: float = 0.0
    served: dict[str, int] = msgspec.field(default_factory=dict)
    asked: dict[str, int] = msgspec.field(default_factory=dict)
    times: list[float] = msgspec.field(default_factory=list)
    first: list[float] = msgspec.field(default_factory=list)
    hits: int = 0
    answers: int = 0
    retries: int = 0
    refused: int = 0
    failed: int = 0


class _Job(msgspec.Struct):
    """One request on its way."""

    organisation: ids.OrganisationName
    weight: float
    prefix: int
    arrived: float
    entry: int
    attempts: int = 0
    excluded: tuple[str, ...] = ()


class _Replica:
    """A batching engine: so many at once, the others wait in it."""

    def __init__(self, name: str, slots: int, slowness: float) -> None:
        self.name = name
        self.slots = slots
        self.slowness = slowness
        self.alive = True
        self.running = 0
        self.waiting: collections.deque[typing.Any] = collections.deque()
        self.cache: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self.reported = 0
        self.open: set[str] = set()

    def touch(self, prefix: int) -> bool:
        """Return whether a prefix was cached; caches it."""
        hit = prefix in self.cache
        self.cache[prefix] = None
        self.cache.move_to_end(prefix)
        if len(self.cache) > _CACHE_SIZE:
            self.cache.popitem(last=False)
        return hit


class _Entry:
    """The deciding parts of one entry process."""

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
    wanted = profile.Profile(
        name=_PROFILE, model="m", concurrency=scenario.concurrency
    )
    _put(view, objects.Kind.PROFILES, _PROFILE, wanted)
    by_domain: dict[str, list[domain.Replica]] = {}
    for number in range(scenario.replicas):
        name = f"r{number}"
        place = f"f{number % 5}"
        listed = instances.Instance(
            id=ids.InstanceId(f"i-{name}"),
            kind=instances.InstanceKind.ENGINE,
            address=name,
            datacentre=ids.DatacentreName(f"d{number % 2}"),
            domain=ids.DomainName(place),
        )
        _put(view, objects.Kind.INSTANCES, listed.id, listed)
        by_domain.setdefault(place, []).append(
            domain.Replica(
                id=ids.ReplicaId(name),
                profile=_PROFILE,
                generation=ids.Generation(1),
                members=(listed.id,),
                accelerators=4,
                model="m",
                model_version="1",
                phase=domain.ReplicaPhase.SERVING,
            )
        )
    for place, held in by_domain.items():
        number = int(place[1:])
        ledger = domain.Domain(
            name=ids.DomainName(place),
            datacentre=ids.DatacentreName(f"d{number % 2}"),
            replicas=tuple(held),
            serial=1,
        )
        _put(view, objects.Kind.DOMAINS, place, ledger)


def _put(
    view: views.ObjectsView,
    kind: objects.Kind,
    name: str,
    value: msgspec.Struct,
) -> None:
    key = objects.ObjectKey(kind.value, name)
    version = ids.Version(1)
    view.apply(objects.Stored(key, version, objects.encode(value)))


class Simulation:
    """One run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._draw = random.Random(scenario.seed)
        self._queue: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._order = itertools.count()
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

    def _after(
        self,
        seconds: float,
        function: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        entry = (self._now + seconds, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def run(self) -> Outcome:
        """Run to the end and return what came of it."""
        scenario = self._scenario
        end = scenario.warmup + scenario.seconds
        self._report()
        self._tick()
        self._after(0.01, self._arrive)
        middle = scenario.warmup + scenario.seconds / 2
        self._after(middle, self._kill)
        while self._queue and self._queue[0][0] <= end:
            self._now, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.outcome.seconds = scenario.seconds
        return self.outcome

    @property
    def _counts(self) -> bool:
        return self._now >= self._scenario.warmup

    # -- Arrivals

    def _rate(self) -> float:
        scenario = self._scenario
        return scenario.load * scenario.replicas * scenario.concurrency

    def _arrive(self) -> None:
        self._after(self._draw.expovariate(self._rate()), self._arrive)
        shares = [self._scenario.greedy] + [1.0] * (_ORGANISATIONS - 1)
        owner = self._draw.choices(range(_ORGANISATIONS), shares)[0]
        weight = self._draw.choices(
            [kind[0] for kind in _KINDS], [kind[1] for kind in _KINDS]
        )[0]
        prefix = 1 + int(_PREFIXES * self._draw.random() ** 3)
        job = _Job(
            ids.OrganisationName(f"o{owner}"),
            weight,
            prefix,
            self._now,
            self._draw.randrange(self._scenario.entries),
        )
        if self._counts:
            self.outcome.arrivals += 1
            asked = self.outcome.asked
            asked[job.organisation] = asked.get(job.organisation, 0) + 1
        self._entries[job.entry].retries.earn()
        self._send(job)

    def _send(self, job: _Job) -> None:
        job.attempts += 1
        if self._scenario.policy is Policy.OURS:
            self._ask(job)
        else:
            self._start(job, self._choose_naively(job), "")

    def _ask(self, job: _Job) -> None:
        ticket = next(self._tickets)
        self._jobs[ticket] = job
        request = routing.RouteRequested(
            ticket=ticket,
            attempt=ids.AttemptId(f"a{ticket}"),
            profile=_PROFILE,
            excluded=job.excluded,
            organisation=job.organisation,
            weight=job.weight,
            deadline=job.arrived + self._scenario.deadline,
            prefix=job.prefix,
        )
        self._tell(job.entry, request)

    def _tell(self, number: int, message: part.Message) -> None:
        entry = self._entries[number]
        for action in entry.admission.handle(message, self._now):
            self._perform(number, action)

    def _perform(self, number: int, action: part.Action) -> None:
        if isinstance(action, actions.Reply):
            job = self._jobs.pop(action.ticket)
            if isinstance(action.answer, routing.Route):
                route = action.answer
                replica = self._replicas[route.subject]
                self._start(job, replica, route.attempt)
            elif self._counts:
                self.outcome.refused += 1
        elif isinstance(action, actions.Publish):
            self._after(_DEMAND_DELAY, self._spread, number, action.payload)

    def _spread(self, number: int, payload: wire.Payload) -> None:
        origin = self._entries[number].nodes.me.id
        for other, entry in enumerate(self._entries):
            if other != number:
                told = messages.Delivered(origin, payload)
                entry.admission.handle(told, self._now)

    def _choose_naively(self, job: _Job) -> _Replica:
        able = [
            one
            for one in self._replicas.values()
            if one.name not in job.excluded and self._is_believed(one)
        ]
        if self._scenario.policy is Policy.RANDOM:
            return self._draw.choice(able)
        least = min(one.reported for one in able)
        return self._draw.choice(
            [one for one in able if one.reported == least]
        )

    def _is_believed(self, replica: _Replica) -> bool:
        return replica.alive or self._now < self._died_at + _DETECTION

    # -- Replicas

    def _start(self, job: _Job, replica: _Replica, attempt: str) -> None:
        attempt = attempt or f"n{next(self._tickets)}"
        if not replica.alive:
            self._after(0.002, self._fail, job, replica, attempt)
            return
        self._running[attempt] = (job, replica)
        replica.open.add(attempt)
        if replica.running < replica.slots:
            self._serve(job, replica, attempt)
        else:
            replica.waiting.append((job, attempt))

    def _serve(self, job: _Job, replica: _Replica, attempt: str) -> None:
        replica.running += 1
        hit = replica.touch(job.prefix)
        if self._counts:
            self.outcome.answers += 1
            self.outcome.hits += hit
            prefill = _PREFILL * replica.slowness
            prefill *= _PREFILL_CACHED if hit else 1.0
            waited = self._now - job.arrived
            self.outcome.first.append(waited + prefill)
        seconds = self._draw.gammavariate(4.0, 0.25) * replica.slowness
        if hit:
            seconds *= _CACHED
        self._after(seconds, self._finish, job, replica, attempt)

    def _finish(self, job: _Job, replica: _Replica, attempt: str) -> None:
        if attempt not in replica.open:
            return
        replica.open.discard(attempt)
        del self._running[attempt]
        replica.running -= 1
        self._note_answer(job)
        if self._scenario.policy is Policy.OURS:
            ended = routing.AttemptEnded(ids.AttemptId(attempt))
            self._tell(job.entry, ended)
        while replica.waiting and replica.running < replica.slots:
            self._serve(*self._take(replica))

    @staticmethod
    def _take(replica: _Replica) -> tuple[_Job, _Replica, str]:
        job, attempt = replica.waiting.popleft()
        return job, replica, attempt

    def _note_answer(self, job: _Job) -> None:
        spent = self._now - job.arrived
        if not self._counts:
            return
        self.outcome.times.append(spent)
        if spent <= self._scenario.deadline:
            self.outcome.goodput += job.weight
            served = self.outcome.served
            served[job.organisation] = served.get(job.organisation, 0) + 1

    def _fail(self, job: _Job, replica: _Replica, attempt: str) -> None:
        entry = self._entries[job.entry]
        ours = self._scenario.policy is Policy.OURS
        if ours:
            kind = routing.EndKind.FAILED
            ended = routing.AttemptEnded(ids.AttemptId(attempt), kind)
            self._tell(job.entry, ended)
            failed = evidence.UpstreamFailed(replica.name, 1)
            entry.evidence.handle(failed, self._now)
        failure = retries.AttemptFailure(
            attempts=job.attempts,
            may_have_run=True,
            idempotent=True,
            started=False,
            deadline=job.arrived + self._scenario.deadline,
        )
        decided = entry.retries.decide(failure, self._now)
        if decided is not retries.RetryDecision.RETRY:
            self.outcome.failed += int(self._counts)
            return
        self.outcome.retries += int(self._counts)
        job.excluded = (*job.excluded, replica.name)
        wait = retries.compute_backoff(job.attempts)
        self._after(wait, self._send, job)

    _died_at = 1e9

    def _kill(self) -> None:
        self._died_at = self._now
        for number in range(1, 1 + self._scenario.dead):
            replica = self._replicas[f"r{number}"]
            replica.alive = False
            for attempt in sorted(replica.open):
                job, _ = self._running.pop(attempt)
                self._after(0.001, self._fail, job, replica, attempt)
            replica.open.clear()
            replica.waiting.clear()

    # -- Reports

    def _report(self) -> None:
        """Take the loads now; they arrive half a second later."""
        loads = {
            name: len(replica.open) for name, replica in self._replicas.items()
        }
        self._after(0.5, self._deliver, loads)
        self._after(_REPORT_INTERVAL, self._report)

    def _deliver(self, loads: dict[str, int]) -> None:
        for name, running in loads.items():
            replica = self._replicas[name]
            replica.reported = running
            verdicts = wire.Verdict
            known = replica.alive or self._now < self._died_at + _DETECTION
            told = messages.Delivered(
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
                entry.evidence.handle(told, self._now)

    def _tick(self) -> None:
        for number in range(len(self._entries)):
            if self._now >= self._entries[number].admission.due():
                self._tell(number, part.Tick())
        self._after(0.05, self._tick)


def run(scenario: Scenario) -> Outcome:
    """Return what comes of a scenario."""
    return Simulation(scenario).run()


@report.register("overload")
def measure_overload() -> None:
    """Measure load, fairness and an outage against the baselines."""
    name = "overload"
    found: dict[tuple[float, Policy], Outcome] = {}
    for offered in (0.5, 0.9, 1.0, 1.2, 2.0):
        for policy in Policy:
            outcome = run(Scenario(load=offered, policy=policy))
            found[offered, policy] = outcome
            _emit(f"{name}.{offered:g}.{policy.value}", outcome)
    ours = {key[0]: one for key, one in found.items() if key[1] is Policy.OURS}
    ratio = ours[2.0].goodput / ours[1.0].goodput
    report.emit(name, "goodput_2_to_1", ratio, "1")
    base = found[0.9, Policy.RANDOM]
    _compare(name, "p99_at_0.9", ours[0.9].times, base.times)
    _compare(name, "first_p99_at_0.9", ours[0.9].first, base.first)
    _measure_greedy(name)
    _measure_outage(name)


def _compare(
    name: str, metric: str, ours: list[float], base: list[float]
) -> None:
    slow = load_module.percentile(ours, 0.99)
    usual = load_module.percentile(base, 0.99)
    report.emit(name, metric, slow, "s", usual)
    report.emit(name, f"{metric}_ratio", slow / usual, "1")


def _emit(name: str, outcome: Outcome) -> None:
    rate = outcome.goodput / outcome.seconds
    report.emit(name, "goodput", rate, "weight/s")
    for share in (0.5, 0.95, 0.99):
        value = load_module.percentile(outcome.times, share)
        report.emit(name, f"p{share * 100:g}", value, "s")
        value = load_module.percentile(outcome.first, share)
        report.emit(name, f"first_p{share * 100:g}", value, "s")
    parts = [
        outcome.served.get(owner, 0) / count
        for owner, count in outcome.asked.items()
    ]
    report.emit(name, "jain", fairness.measure_jain(parts), "1")
    hits = outcome.hits / max(1, outcome.answers)
    report.emit(name, "cache_hits", hits, "1")


def _measure_greedy(name: str) -> None:
    """One organisation sends ten times its share; the others theirs.

    At twice the capacity in all, a well-behaved one asks for less than a
    tenth of the capacity and must get nearly all it asks for.
    """
    greedy = 10.0
    total = greedy + _ORGANISATIONS - 1
    offered = total / _ORGANISATIONS * 0.9
    outcome = run(Scenario(load=offered, greedy=greedy, dead=0))
    kept = [
        outcome.served.get(owner, 0) / asked
        for owner, asked in outcome.asked.items()
        if owner != "o0"
    ]
    report.emit(name, "well_behaved_least_share", min(kept), "1")


def _measure_outage(name: str) -> None:
    """Half of all replicas die at once."""
    outcome = run(Scenario(load=0.9, dead=25))
    share = outcome.retries / outcome.arrivals
    report.emit(name, "retries_in_outage", share, "1")

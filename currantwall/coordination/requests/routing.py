"""Choosing the replica or service instance for one attempt.

Load reports lag, so the load of an upstream is taken as its last report
corrected by what this node has started and ended there since. Of two
candidates drawn at random the less loaded is taken, a slow one counted
as more loaded: with reports that are late, "the least loaded of all"
sends everybody to the same one. A request whose prefix some replica is
believed to have cached goes there while that one is not overfull.
"""

import collections
from collections import abc
import enum

import msgspec

from currantwall.coordination import part
from currantwall.coordination.replicas import evidence
from currantwall.coordination.requests import breakers
from currantwall.coordination.requests import latency
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = [
    "AttemptEnded",
    "Candidate",
    "EndKind",
    "Refusal",
    "RefusalReason",
    "Route",
    "RouteRequested",
    "Router",
]

# Starts and ends remembered for each upstream between two reports.
_CHANGES_LIMIT = 512
# A preferred replica may be this much fuller than the mean.
_AFFINITY_BOUND = 1.25
_BELIEFS_LIMIT = 8192
# Attempts between two looks at what is usual for a target.
_TYPICAL_STEPS = 32


class RefusalReason(enum.Enum):
    """Why a request is not sent anywhere."""

    UNKNOWN_TARGET = "unknown_target"
    NO_REPLICA = "no_replica"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    RATE = "rate"
    QUEUE_FULL = "queue_full"


class RouteRequested(part.Message, frozen=True, kw_only=True):
    """A request wants an upstream.

    Attributes:
        profile: Profile to serve it, or empty for a plain service.
        excluded: Upstreams that earlier attempts failed at.
        organisation: Who asks.
        weight: Worth of an answer to this kind of request.
        deadline: When an answer is of no use any more.
        prefix: Hash of the prompt's beginning, 0 for none.
    """

    ticket: int
    attempt: ids.AttemptId
    profile: ids.ProfileName = ids.ProfileName("")
    service: ids.ServiceName = ids.ServiceName("")
    excluded: tuple[str, ...] = ()
    organisation: ids.OrganisationName = ids.OrganisationName("")
    weight: float = 1.0
    deadline: float = 0.0
    prefix: int = 0

    @property
    def target(self) -> str:
        """Return the name of what is to serve it."""
        return self.profile or f"service:{self.service}"


class Route(msgspec.Struct, frozen=True):
    """Where an attempt goes.

    Attributes:
        subject: Replica, or instance of a plain service.
    """

    attempt: ids.AttemptId
    subject: str
    generation: int
    instance: ids.InstanceId
    address: str


class Refusal(msgspec.Struct, frozen=True):
    """Why a request goes nowhere, and when to come back."""

    reason: RefusalReason
    detail: str
    retry_after: float = 1.0


class EndKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream refused it for load.
    BUSY = "busy"
    FAILED = "failed"
    # The caller left; says nothing about the upstream.
    ABANDONED = "abandoned"


class AttemptEnded(part.Message, frozen=True):
    """An attempt is over, however it ended."""

    attempt: ids.AttemptId
    kind: EndKind = EndKind.ANSWERED


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may be used now."""

    subject: str
    generation: int
    instance: ids.InstanceId
    address: str
    datacentre: ids.DatacentreName
    limit: int


class _Open(msgspec.Struct, frozen=True):
    subject: str
    target: str
    organisation: ids.OrganisationName
    started: float


class _Own:
    """What this node has under way at one upstream."""

    def __init__(self) -> None:
        self.open = 0
        self._since = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=_CHANGES_LIMIT)
        )

    def change(self, step: int, now: float) -> None:
        """Note the start (1) or end (-1) of a request."""
        self.open += step
        if len(self._changes) == _CHANGES_LIMIT:
            self._since -= self._changes[0][1]
        self._changes.append((now, step))
        self._since += step

    def estimate(self, reported: int, at: float) -> int:
        """Return the load now, from a report made at a time."""
        while self._changes and self._changes[0][0] <= at:
            self._since -= self._changes.popleft()[1]
        return max(self.open, reported + self._since)


class Router:
    """Chooses upstreams and keeps count of the attempts under way."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        opinions: evidence.Evidence,
        settings: settings_module.Settings,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._opinions = opinions
        self._services = {one.name: one for one in settings.services}
        self._open: dict[ids.AttemptId, _Open] = {}
        self._own: dict[str, _Own] = {}
        self._breakers = breakers.Breakers()
        self._latencies = latency.Latencies()
        self._beliefs: collections.OrderedDict[int, tuple[str, int]] = (
            collections.OrderedDict()
        )
        self._draws = 0

    @property
    def open_attempts(self) -> int:
        """Return the attempts under way in this process."""
        return len(self._open)

    # -- Attempts

    def start(self, request: RouteRequested, route: Route, now: float) -> None:
        """Note that an attempt is sent."""
        subject = route.subject
        self._open[route.attempt] = _Open(
            subject, request.target, request.organisation, now
        )
        self._own.setdefault(subject, _Own()).change(1, now)
        self._breakers.start(subject)
        self._latencies.start(subject, now)
        if request.prefix:
            self._believe(request.prefix, subject)

    def end(self, ended: AttemptEnded, now: float) -> _Open | None:
        """Note the end of an attempt; None when it was over already."""
        held = self._open.pop(ended.attempt, None)
        if held is None:
            return None
        subject = held.subject
        own = self._own[subject]
        own.change(-1, now)
        if ended.kind is EndKind.ANSWERED:
            self._breakers.succeed(subject)
            self._latencies.note(subject, now - held.started)
        elif ended.kind is EndKind.FAILED:
            self._breakers.fail(subject, now)
        else:
            self._breakers.release(subject)
        if own.open == 0 and not self._exists(subject):
            del self._own[subject]
            self._breakers.forget(subject)
            self._latencies.forget(subject)
        return held

    # -- The choice

    def choose(self, request: RouteRequested, now: float) -> Route | Refusal:
        """Return where to send an attempt, or why nowhere."""
        unknown = self.find_unknown(request)
        if unknown is not None:
            return unknown
        candidates = self.list_candidates(request, now)
        name = request.profile or request.service
        if not candidates:
            return Refusal(
                RefusalReason.NO_REPLICA, f"nothing serves {name} now"
            )
        self._note_typical(request.target, candidates)
        free = self._keep_free(candidates)
        if not free:
            return Refusal(RefusalReason.OVERLOADED, f"{name} is full")
        chosen = self._prefer_cached(request, free)
        chosen = chosen or self._pick(request.target, free)
        return Route(
            request.attempt,
            chosen.subject,
            chosen.generation,
            chosen.instance,
            chosen.address,
        )

    def find_unknown(self, request: RouteRequested) -> Refusal | None:
        """Return the refusal of a request for what does not exist."""
        reason = RefusalReason.UNKNOWN_TARGET
        if request.service:
            if request.service in self._services:
                return None
            return Refusal(reason, f"unknown service {request.service!r}", 0)
        if request.profile in self._view.profiles:
            return None
        return Refusal(reason, f"unknown profile {request.profile!r}", 0)

    def _keep_free(
        self, candidates: abc.Sequence[Candidate]
    ) -> list[Candidate]:
        """Return the candidates with room, own data centre first."""
        free = [
            one
            for one in candidates
            if self.estimate_load(one.subject) < one.limit
        ]
        home = self._nodes.me.datacentre
        local = [one for one in free if one.datacentre == home]
        return local or free

    def _note_typical(
        self, target: str, candidates: abc.Sequence[Candidate]
    ) -> None:
        if self._draws % _TYPICAL_STEPS == 0:
            subjects = [one.subject for one in candidates]
            self._latencies.set_typical(target, subjects)

    # -- Candidates

    def list_candidates(
        self, request: RouteRequested, now: float
    ) -> list[Candidate]:
        """Return the upstreams that may be used, full ones included."""
        if request.service:
            found = self._list_services(request.service, now)
        else:
            found = self._list_replicas(request.profile, now)
        target = request.target
        usable = [
            one
            for one in found
            if one.subject not in request.excluded
            and self._breakers.allows(one.subject, now)
        ]
        brisk = [
            one
            for one in usable
            if self._latencies.allows(target, one.subject, now)
        ]
        return brisk or usable

    def count_slots(self, request: RouteRequested, now: float) -> int:
        """Return the requests that all usable upstreams take together."""
        return sum(one.limit for one in self.list_candidates(request, now))

    def _list_replicas(
        self, profile: ids.ProfileName, now: float
    ) -> list[Candidate]:
        wanted = self._view.profiles.get(profile)
        if wanted is None:
            return []
        limit = wanted.concurrency
        found = []
        for ledger in self._view.domains.values():
            for replica in ledger.select(profile):
                if not self._opinions.may_use(ledger, replica, now):
                    continue
                candidate = self._describe(ledger, replica, limit)
                if candidate is not None:
                    found.append(candidate)
        return found

    def _describe(
        self, ledger: domain.Domain, replica: domain.Replica, limit: int
    ) -> Candidate | None:
        listed = self._view.instances.get(replica.leader)
        if listed is None:
            return None
        return Candidate(
            replica.id,
            replica.generation,
            replica.leader,
            listed.address,
            ledger.datacentre,
            limit,
        )

    def _list_services(
        self, service: ids.ServiceName, now: float
    ) -> list[Candidate]:
        section = self._services.get(service)
        if section is None:
            return []
        limit = section.concurrency
        leaving = {stop.target for stop in self._view.stops.values()}
        return [
            Candidate(
                listed.id,
                0,
                listed.id,
                listed.address,
                listed.datacentre,
                limit,
            )
            for listed in self._view.list_services(service)
            if listed.state is instances.InstanceState.LIVE
            and leaving.isdisjoint(
                (listed.id, listed.domain, listed.datacentre)
            )
            and self._opinions.is_whole(listed.id, 0, now)
        ]

    # -- Load

    def estimate_load(self, subject: str) -> int:
        """Return the requests believed to be at an upstream."""
        reported, at = self._opinions.load_of(subject)
        own = self._own.get(subject)
        return own.estimate(reported, at) if own else reported

    def _pick(self, target: str, free: abc.Sequence[Candidate]) -> Candidate:
        first = self._draw(free)
        second = self._draw(free)
        if second == first and len(free) > 1:
            second = free[(free.index(first) + 1) % len(free)]
        if self._weigh(target, second) < self._weigh(target, first):
            return second
        return first

    def _weigh(self, target: str, candidate: Candidate) -> float:
        """Return the load of a candidate as a caller would feel it."""
        load = self.estimate_load(candidate.subject) + 1
        return load * self._latencies.measure(target, candidate.subject)

    def _draw(self, free: abc.Sequence[Candidate]) -> Candidate:
        self._draws += 1
        me = self._nodes.me
        draw = rendezvous.score(f"{me.id}.{me.incarnation}", str(self._draws))
        return free[draw % len(free)]

    def _exists(self, subject: str) -> bool:
        if subject in self._view.instances:
            return True
        name = ids.ReplicaId(subject)
        ledgers = self._view.domains.values()
        return any(ledger.get(name) is not None for ledger in ledgers)

    # -- Prefix affinity

    def _prefer_cached(
        self, request: RouteRequested, free: abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Return a replica that has the prefix, if it is not overfull.

        Without a belief the prefix goes where its hash says, so that all
        entries send it to the same few replicas.
        """
        if not request.prefix:
            return None
        by_name = {one.subject: one for one in free}
        order = rendezvous.choose(str(request.prefix), by_name, 2)
        believed = self._get_belief(request.prefix)
        if believed in by_name and believed not in order:
            order.insert(0, believed)
        loads = [self.estimate_load(name) for name in by_name]
        bound = _AFFINITY_BOUND * (sum(loads) / len(loads)) + 1
        for name in order:
            slow = self._latencies.measure(request.target, name)
            if self.estimate_load(name) <= bound and slow <= 1.0:
                return by_name[name]
        return None

    def _believe(self, prefix: int, subject: str) -> None:
        version = self._opinions.cache_version(subject)
        self._beliefs[prefix] = (subject, version)
        self._beliefs.move_to_end(prefix)
        if len(self._beliefs) > _BELIEFS_LIMIT:
            self._beliefs.popitem(last=False)

    def _get_belief(self, prefix: int) -> str:
        """Return who is believed to have a prefix, empty for nobody.

        A gap in an engine's cache events changes its cache version; what
        was believed of it before is dropped.
        """
        subject, version = self._beliefs.get(prefix, ("", 0))
        if subject and self._opinions.cache_version(subject) != version:
            del self._beliefs[prefix]
            return ""
        return subject

"""Choosing the replica or service instance for one attempt.

Load reports lag, so the load of an upstream is estimated as its last
report plus the attempts that this node has started there since, minus
those that have ended. Of two candidates drawn at random the less loaded
is chosen, where a slow one counts as more loaded. Choosing the least
loaded of all would send the requests of every node to the same upstream
while the reports lag. A request whose prefix a replica has probably
cached goes to that replica unless it is overloaded.
"""

import collections
from collections import abc
import enum

import msgspec

from currantwall.coordination import part
from currantwall.coordination.replicas import evidence
from currantwall.coordination.requests import breakers
from currantwall.coordination.requests import latency
from currantwall.coordination.requests import withdrawals
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

# Starts and ends kept for each upstream between two reports.
_LOAD_CHANGES_LIMIT = 512
# Load of a replica with the cached prefix, relative to the mean load, up
# to which it is preferred.
_AFFINITY_LOAD_FACTOR = 1.25
# Prefixes whose replica is remembered.
_CACHED_PREFIXES_LIMIT = 8192
# Random draws between two updates of a target's median latency.
_MEDIAN_UPDATE_DRAWS = 32


# Seconds until a caller may try again while all data centres are evacuated:
# an operator has to act.
_EVACUATION_RETRY_AFTER = 2.0


class RefusalReason(enum.Enum):
    """Why a request is not routed."""

    UNKNOWN_TARGET = "unknown_target"
    NO_REPLICA = "no_replica"
    OVERLOADED = "overloaded"
    DEADLINE = "deadline"
    RATE = "rate"
    QUEUE_FULL = "queue_full"


class RouteRequested(part.Message, frozen=True, kw_only=True):
    """An attempt needs an upstream.

    Attributes:
        ticket: Number under which the answer is returned.
        profile: Requested profile, or empty for a plain service.
        service: Requested plain service, or empty for a profile.
        excluded: Upstreams at which earlier attempts failed.
        organisation: Organisation of the caller.
        weight: Priority of this kind of request; higher is served first.
        deadline: Time after which an answer is useless, 0 for none.
        prefix: Hash of the beginning of the prompt, 0 for none.
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
        """Return the name of the profile or service it is for."""
        return self.profile or f"service:{self.service}"


class Route(msgspec.Struct, frozen=True):
    """The upstream of an attempt.

    Attributes:
        subject: Replica, or instance of a plain service.
        generation: Generation of the replica, 0 for a plain service.
        instance: Instance to connect to; of a replica its leader.
    """

    attempt: ids.AttemptId
    subject: str
    generation: int
    instance: ids.InstanceId
    address: str


class Refusal(msgspec.Struct, frozen=True):
    """Why a request is not routed.

    Attributes:
        retry_after: Seconds to wait before a retry, 0 for never.
    """

    reason: RefusalReason
    detail: str
    retry_after: float = 1.0


class EndKind(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream refused it because of its load.
    BUSY = "busy"
    FAILED = "failed"
    # The caller disconnected; says nothing about the upstream.
    ABANDONED = "abandoned"


class AttemptEnded(part.Message, frozen=True):
    """An attempt has ended.

    Attributes:
        pause: Seconds for which its upstream wants no more requests.
    """

    attempt: ids.AttemptId
    kind: EndKind = EndKind.ANSWERED
    pause: float = 0.0


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may be used now.

    Attributes:
        limit: Requests that it may serve at the same time.
    """

    subject: str
    generation: int
    instance: ids.InstanceId
    address: str
    datacentre: ids.DatacentreName
    limit: int


class _OpenAttempt(msgspec.Struct, frozen=True):
    """An attempt in progress."""

    subject: str
    instance: ids.InstanceId
    target: str
    organisation: ids.OrganisationName
    started: float


class _LocalLoad:
    """Load that this node's own attempts put on one upstream."""

    def __init__(self) -> None:
        self.open = 0
        # Times and steps since the last report, and the sum of the steps.
        self._net_change = 0
        self._changes: collections.deque[tuple[float, int]] = (
            collections.deque(maxlen=_LOAD_CHANGES_LIMIT)
        )

    def record_change(self, step: int, now: float) -> None:
        """Record the start (1) or end (-1) of an attempt."""
        self.open += step
        if len(self._changes) == _LOAD_CHANGES_LIMIT:
            self._net_change -= self._changes[0][1]
        self._changes.append((now, step))
        self._net_change += step

    def estimate(self, reported: int, reported_at: float) -> int:
        """Return the estimated load now.

        Args:
            reported: Load in the upstream's last report.
            reported_at: When that report was made.
        """
        while self._changes and self._changes[0][0] <= reported_at:
            self._net_change -= self._changes.popleft()[1]
        return max(self.open, reported + self._net_change)


class Router:
    """Chooses upstreams and counts the attempts in progress."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        upstream_evidence: evidence.Evidence,
        settings: settings_module.Settings,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._evidence = upstream_evidence
        self._services = {
            section.name: section for section in settings.services
        }
        self._open: dict[ids.AttemptId, _OpenAttempt] = {}
        self._local_loads: dict[str, _LocalLoad] = {}
        self._breakers = breakers.Breakers()
        self._withdrawals = withdrawals.Withdrawals()
        self._latencies = latency.Latencies()
        # Upstream that last got a prefix, with its cache version then.
        self._cached_prefixes: collections.OrderedDict[
            int, tuple[str, int]
        ] = collections.OrderedDict()
        self._draws = 0

    @property
    def open_attempts(self) -> int:
        """Return the number of attempts in progress in this process."""
        return len(self._open)

    # -- Attempts

    def start(self, request: RouteRequested, route: Route, now: float) -> None:
        """Record that an attempt is sent."""
        subject = route.subject
        self._open[route.attempt] = _OpenAttempt(
            subject,
            route.instance,
            request.target,
            request.organisation,
            now,
        )
        self._local_loads.setdefault(subject, _LocalLoad()).record_change(
            1, now
        )
        self._breakers.record_start(subject)
        self._latencies.record_start(subject, now)
        if request.prefix:
            self._record_prefix(request.prefix, subject)

    def end(self, ended: AttemptEnded, now: float) -> _OpenAttempt | None:
        """Record the end of an attempt.

        Returns:
            The attempt, or None if it had ended already.
        """
        attempt = self._open.pop(ended.attempt, None)
        if attempt is None:
            return None
        subject = attempt.subject
        local = self._local_loads[subject]
        local.record_change(-1, now)
        if ended.pause > 0:
            self._withdrawals.expire(self._is_present, now)
            self._withdrawals.note_pause(attempt.instance, ended.pause, now)
        if ended.kind is EndKind.ANSWERED:
            self._breakers.record_success(subject)
            self._latencies.record_duration(subject, now - attempt.started)
        elif ended.kind is EndKind.FAILED:
            self._breakers.record_failure(subject, now)
        else:
            self._breakers.record_inconclusive(subject)
        if local.open == 0 and not self._exists(subject):
            del self._local_loads[subject]
            self._breakers.forget(subject)
            self._latencies.forget(subject)
        return attempt

    # -- Choice of the upstream

    def choose(self, request: RouteRequested, now: float) -> Route | Refusal:
        """Return the route of an attempt, or why there is none."""
        refusal = self.check_target(request)
        if refusal is not None:
            return refusal
        candidates = self.list_candidates(request, now)
        name = request.profile or request.service
        if not candidates:
            return self._refuse_target(request, now)
        self._update_median(request.target, candidates)
        free = self._select_free(candidates)
        if not free:
            return Refusal(RefusalReason.OVERLOADED, f"{name} is full")
        chosen = self._choose_cached(request, free)
        chosen = chosen or self._choose_less_loaded(request.target, free)
        return Route(
            request.attempt,
            chosen.subject,
            chosen.generation,
            chosen.instance,
            chosen.address,
        )

    def _refuse_target(self, request: RouteRequested, now: float) -> Refusal:
        """Return the refusal where no upstream may be used now."""
        name = request.profile or request.service
        reason = RefusalReason.NO_REPLICA
        known = self._view.list_datacentres()
        if known and known <= self._view.evacuations.keys():
            detail = "all data centres are evacuated"
            return Refusal(reason, detail, _EVACUATION_RETRY_AFTER)
        pauses = [
            self._withdrawals.get_remaining(candidate.instance, now)
            for candidate in self._list_present(request, now)
        ]
        if not any(pauses):
            return Refusal(reason, f"nothing serves {name} now")
        return Refusal(
            reason,
            f"upstreams of {name} have asked for a pause",
            min(pause for pause in pauses if pause),
        )

    def check_target(self, request: RouteRequested) -> Refusal | None:
        """Return the refusal if the profile or service does not exist."""
        reason = RefusalReason.UNKNOWN_TARGET
        if request.service:
            if request.service in self._services:
                return None
            return Refusal(reason, f"unknown service {request.service!r}", 0)
        if request.profile in self._view.profiles:
            return None
        return Refusal(reason, f"unknown profile {request.profile!r}", 0)

    def _select_free(
        self, candidates: abc.Sequence[Candidate]
    ) -> list[Candidate]:
        """Return the candidates below their limits.

        Those of this node's data centre, if there are any; else all.
        """
        free = [
            candidate
            for candidate in candidates
            if self.estimate_load(candidate.subject) < candidate.limit
        ]
        datacentre = self._nodes.me.datacentre
        local = [
            candidate
            for candidate in free
            if candidate.datacentre == datacentre
        ]
        return local or free

    def _update_median(
        self, target: str, candidates: abc.Sequence[Candidate]
    ) -> None:
        if self._draws % _MEDIAN_UPDATE_DRAWS == 0:
            subjects = [candidate.subject for candidate in candidates]
            self._latencies.update_median(target, subjects)

    # -- Candidates

    def list_candidates(
        self, request: RouteRequested, now: float
    ) -> list[Candidate]:
        """Return the upstreams that may be used, including full ones.

        Stragglers are left out while there are others.
        """
        target = request.target
        usable = [
            candidate
            for candidate in self._list_present(request, now)
            if candidate.subject not in request.excluded
            and candidate.datacentre not in self._view.evacuations
            and self._breakers.allows(candidate.subject, now)
            and not self._withdrawals.get_remaining(candidate.instance, now)
        ]
        fast = [
            candidate
            for candidate in usable
            if self._latencies.allows(target, candidate.subject, now)
        ]
        return fast or usable

    def _list_present(
        self, request: RouteRequested, now: float
    ) -> list[Candidate]:
        """Return the upstreams that serve, whether they may be used or not."""
        if request.service:
            return self._list_service_instances(request.service, now)
        return self._list_replicas(request.profile, now)

    def count_slots(self, request: RouteRequested, now: float) -> int:
        """Return the sum of the limits of all usable upstreams."""
        return sum(
            candidate.limit for candidate in self.list_candidates(request, now)
        )

    def _list_replicas(
        self, profile: ids.ProfileName, now: float
    ) -> list[Candidate]:
        wanted_profile = self._view.profiles.get(profile)
        if wanted_profile is None:
            return []
        limit = wanted_profile.concurrency
        candidates = []
        for ledger in self._view.domains.values():
            for replica in ledger.select(profile):
                if not self._evidence.may_use(ledger, replica, now):
                    continue
                candidate = self._make_candidate(ledger, replica, limit)
                if candidate is not None:
                    candidates.append(candidate)
        return candidates

    def _make_candidate(
        self, ledger: domain.Domain, replica: domain.Replica, limit: int
    ) -> Candidate | None:
        instance = self._view.instances.get(replica.leader)
        if instance is None:
            return None
        return Candidate(
            replica.id,
            replica.generation,
            replica.leader,
            instance.address,
            ledger.datacentre,
            limit,
        )

    def _list_service_instances(
        self, service: ids.ServiceName, now: float
    ) -> list[Candidate]:
        section = self._services.get(service)
        if section is None:
            return []
        limit = section.concurrency
        stopped = {stop.target for stop in self._view.stops.values()}
        return [
            Candidate(
                instance.id,
                0,
                instance.id,
                instance.address,
                instance.datacentre,
                limit,
            )
            for instance in self._view.list_services(service)
            if instance.state is instances.InstanceState.LIVE
            and stopped.isdisjoint(
                (instance.id, instance.domain, instance.datacentre)
            )
            and self._evidence.is_whole(instance.id, 0, now)
        ]

    # -- Load

    def estimate_load(self, subject: str) -> int:
        """Return the estimated number of requests at an upstream."""
        reported, reported_at = self._evidence.get_load(subject)
        local = self._local_loads.get(subject)
        return local.estimate(reported, reported_at) if local else reported

    def _choose_less_loaded(
        self, target: str, free: abc.Sequence[Candidate]
    ) -> Candidate:
        first = self._draw_candidate(free)
        second = self._draw_candidate(free)
        if second == first and len(free) > 1:
            second = free[(free.index(first) + 1) % len(free)]
        if self._weigh_load(target, second) < self._weigh_load(target, first):
            return second
        return first

    def _weigh_load(self, target: str, candidate: Candidate) -> float:
        """Return the load after one more request times the slowdown."""
        load = self.estimate_load(candidate.subject) + 1
        return load * self._latencies.measure_slowdown(
            target, candidate.subject
        )

    def _draw_candidate(self, free: abc.Sequence[Candidate]) -> Candidate:
        self._draws += 1
        me = self._nodes.me
        score = rendezvous.score(f"{me.id}.{me.incarnation}", str(self._draws))
        return free[score % len(free)]

    def _is_present(self, instance: ids.InstanceId) -> bool:
        return instance in self._view.instances

    def _exists(self, subject: str) -> bool:
        if subject in self._view.instances:
            return True
        name = ids.ReplicaId(subject)
        ledgers = self._view.domains.values()
        return any(ledger.get(name) is not None for ledger in ledgers)

    # -- Prefix affinity

    def _choose_cached(
        self, request: RouteRequested, free: abc.Sequence[Candidate]
    ) -> Candidate | None:
        """Return a replica that probably has the prefix cached.

        These are the replica to which this node last sent it and the two
        that the prefix's hash ranks first, so that all entries send it to
        the same few replicas. None if each of them is full, overloaded
        or slow.
        """
        if not request.prefix:
            return None
        by_name = {candidate.subject: candidate for candidate in free}
        preferred = rendezvous.choose(str(request.prefix), by_name, 2)
        holder = self._get_prefix_holder(request.prefix)
        if holder in by_name and holder not in preferred:
            preferred.insert(0, holder)
        loads = [self.estimate_load(name) for name in by_name]
        max_load = _AFFINITY_LOAD_FACTOR * (sum(loads) / len(loads)) + 1
        for name in preferred:
            slowdown = self._latencies.measure_slowdown(request.target, name)
            if self.estimate_load(name) <= max_load and slowdown <= 1.0:
                return by_name[name]
        return None

    def _record_prefix(self, prefix: int, subject: str) -> None:
        version = self._evidence.cache_version(subject)
        self._cached_prefixes[prefix] = (subject, version)
        self._cached_prefixes.move_to_end(prefix)
        if len(self._cached_prefixes) > _CACHED_PREFIXES_LIMIT:
            self._cached_prefixes.popitem(last=False)

    def _get_prefix_holder(self, prefix: int) -> str:
        """Return the upstream that last got a prefix, or an empty string.

        A gap in an engine's cache events changes its cache version; what
        was recorded of it before is no longer valid and is removed.
        """
        subject, version = self._cached_prefixes.get(prefix, ("", 0))
        if subject and self._evidence.cache_version(subject) != version:
            del self._cached_prefixes[prefix]
            return ""
        return subject

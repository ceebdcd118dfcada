"""Chooses the upstream for a request.

The load pattern: many short requests from several nodes at once, sent to
upstreams some of which are slow, fail, or have gone silent without being
reported yet. A node knows the exact number of its own requests in flight,
and those of the other nodes as of their last heartbeat.

If each node took the least busy of all upstreams by its own counts, all
nodes would take the same ones until the next heartbeats. A node therefore
samples two upstreams and takes the better one ("power of two choices"),
by their requests in flight and their recent failures. In a large fleet
counts are passed on by relays and are about as old as a request lasts.
There the better of two is only chosen with the higher probability;
otherwise every replica would be overrun and avoided in turn. Upstreams
that have reached their limit of requests in flight are left out; a
request for which none remains waits in the backlog (`backlog`). Upstreams
that are cold take what the warm ones have no room for, within the limit of
all nodes (`ratelimits`).
"""

import collections
from collections import abc
import math

import msgspec

from currantwall.coordination.replicas import workload
from currantwall.coordination.requests import attained
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import capacity
from currantwall.coordination.requests import coldness
from currantwall.coordination.requests import evacuations
from currantwall.coordination.requests import loads as loads_module
from currantwall.coordination.requests import ratelimits
from currantwall.coordination.requests import reachability as reach
from currantwall.coordination.requests import withdrawals
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Balancer", "Unavailable"]

# Seconds for which an upstream is not chosen after a failure, doubled with
# each consecutive failure. The first is as long as the repair of a replica
# takes.
_BASE_EJECTION_SECONDS = 0.7
_MAX_EJECTION_SECONDS = 4.0
# The same after an upstream refused a request: about the time in which one
# of its own requests ends.
_REFUSAL_EJECTION_SECONDS = 0.2
# The same after a replica was found to have lost a member. It does not
# recover under the same epoch; by then it has left the list of instances.
_LOSS_EJECTION_SECONDS = 4.0
# The same after a replica was reported slow; the report is repeated every
# second for as long as it is slow.
_SLOW_EJECTION_SECONDS = 2.0
# Weight of the newest outcome in the moving average of failures.
_FAILURE_WEIGHT = 0.2
# Relative cost added to an upstream that fails every request.
_FAILURE_COST = 20.0
# Seconds for which a lost answer is reported to other nodes, and the most
# that are reported for an upstream.
_LOST_SECONDS = 3.0
_MAX_LOST = 8
# Relative cost added to an upstream for each answer that any node lost. A
# single loss now and then means nothing; upstreams that drop many differ
# by several.
_LOST_COST = 0.5
# Lost answers from which on any other upstream is preferred.
_LOST_THRESHOLD = 2
# Cost of an upstream in another data centre, in requests in flight: 1.4 ms
# one way and priced traffic, against about 5 ms for each further request.
_OTHER_DATACENTRE_COST = 0.5
# Seconds by which counts that come through relays are late.
_RELAY_DELAY = 0.7
# The difference of two costs at which the choice becomes clear, as a part
# of the requests that a replica receives in `_RELAY_DELAY`, and its
# minimum.
_COST_SCALE_FACTOR = 0.5
_MIN_COST_SCALE = 0.1
# Limit of the exponent, in such differences; beyond it the choice is
# practically certain.
_MAX_EXPONENT = 30.0
# Number of different hash values.
_HASH_COUNT = 2.0**64
# Weight of the newest pause in the moving average of an upstream's pauses.
_PAUSE_WEIGHT = 0.1
# Seconds after which an upstream's mean pause is no longer used: it may
# have recovered, which only new requests can show.
_PAUSE_TTL = 3.0
# Seconds until a caller may try again when no replica serves: the time to
# detect a loss and to form and open a replica again.
_RECOVERY_RETRY_AFTER = 1.0
# Seconds until a caller may try again when everything is full: the time in
# which a full replica completes about one answer.
_SATURATION_RETRY_AFTER = 0.5
# The same while all data centres are evacuated: an operator has to act.
_EVACUATION_RETRY_AFTER = 2.0
# Most limited upstreams whose shares are asked for at a time, and seconds
# until others are.
_MAX_WANTED = 4
_DEMAND_PERIOD = 0.05
# Seconds in which an answer to that comes: the period, and a datagram each
# way on a slow link.
_SHARE_SECONDS = 0.2


class Unavailable(msgspec.Struct, frozen=True):
    """No upstream can take the request now.

    Attributes:
        reason: Message for the log and the caller.
        retry_after: Seconds after which the caller should try again.
        is_full: Whether there are usable upstreams, all of them full.
        earliest: Seconds before which none will take it.
        share_wait: Seconds in which another node may grant a share of an
            upstream that limits its requests.
    """

    reason: str
    retry_after: float
    is_full: bool = False
    earliest: float = 0.0
    share_wait: float = 0.0


# The result where an upstream that limits its requests is wanted.
_NONE_LIMITED = Unavailable(
    "none limits its requests", _SATURATION_RETRY_AFTER
)
_ALL_FULL = Unavailable("all are full", _SATURATION_RETRY_AFTER, is_full=True)

# A function that returns how many requests an upstream may have in flight.
LimitFunction = abc.Callable[[upstreams.Upstream], int]


class _Health:
    """What this node has observed of one upstream."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.consecutive_failures = 0
        # Moving average of failed requests, from 0 to 1.
        self.failure_rate = 0.0
        # Times at which its answers were lost.
        self.lost_at: collections.deque[float] = collections.deque(
            maxlen=_MAX_LOST
        )
        self.ejected_until = 0.0
        # When it was last ejected for a failed request.
        self.failed_at = -math.inf
        # Whether it is ejected only because it was silent.
        self.is_silent = False
        # Mean seconds from one event of its streams to the next, and the
        # time of the last update.
        self.mean_pause = 0.0
        self.pause_updated_at = -math.inf
        # Epoch of the ejection; it does not apply to the repaired replica,
        # which has a newer epoch.
        self.epoch = 0


class Balancer:
    """Chooses upstreams by what this node has observed of each.

    Attributes:
        limits: Limits that upstreams set on the requests of all nodes, and
            those of cold upstreams.
        coldness: Tells `limits` which upstreams are cold.
        withdrawals: Upstreams that have asked for no more requests.
        attained: Service that organisations have attained at all nodes.
        evacuations: Data centres that get no more requests.
        work: Work that arrives at this node.
    """

    def __init__(
        self,
        fleet: upstreams.Fleet,
        datacentre: ids.DatacentreName,
        node: ids.NodeId = ids.NodeId(""),
        cold_overshoot: float = 1.5,
        cold_slack: float = 5.0,
    ) -> None:
        """Create a balancer that knows of no requests.

        Args:
            fleet: The upstreams.
            datacentre: Data centre of this node.
            node: This node, for its rank among those that share a limit.
            cold_overshoot: Factor on the rate of a cold upstream that no
                second may exceed, over all nodes.
            cold_slack: Requests beyond that.
        """
        self._fleet = fleet
        self.limits = ratelimits.RateLimits(node, cold_overshoot, cold_slack)
        self.coldness = coldness.Coldness(fleet, self.limits)
        self.withdrawals = withdrawals.Withdrawals()
        self.evacuations = evacuations.Evacuations()
        self.work = workload.Workload()
        self._datacentre = datacentre
        self._health: dict[ids.InstanceId, _Health] = {}
        self._remote = loads_module.RemoteLoads()
        self.attained = attained.AttainedService(self._remote.get)
        # Requests that wait at this node, by the key they are reported as.
        self.waiting: dict[str, int] = {}
        # Whether the counts of other nodes are passed on by relays.
        self.are_counts_relayed = False
        self.reachability = reach.Reachability()
        # Whether any node has sent a request to an upstream yet.
        self.has_seen_traffic = False

    # -- Choosing

    def choose(
        self,
        service: ids.ServiceName,
        model: str | None,
        excluded: abc.Container[str],
        salt: str,
        now: float,
        get_limit: LimitFunction | None = None,
        service_time: float = 0.0,
        is_limited_only: bool = False,
    ) -> upstreams.Upstream | Unavailable:
        """Return the upstream for a request.

        Args:
            service: Service of the route.
            model: Model of the replica; None for plain services.
            excluded: Upstreams that this request has tried, by
                `Upstream.epoch_id`: a repaired replica may be tried again.
            salt: Text that is hashed to sample upstreams and to break ties,
                so that nodes choose differently.
            now: Monotonic time.
            get_limit: Returns the requests that an upstream may have in
                flight; None for no limit.
            service_time: Seconds that an upstream works on a request; 0
                where it isn't known.
            is_limited_only: Whether only upstreams that limit their requests
                are considered.
        """
        candidates = self._list_usable(service, model, excluded, now)
        if is_limited_only and isinstance(candidates, list):
            candidates = [
                one
                for one in candidates
                if self.limits.is_limited(one.id, now)
            ]
            if not candidates:
                return _NONE_LIMITED
        found: list[upstreams.Upstream] | upstreams.Upstream | Unavailable
        found = candidates
        if isinstance(candidates, list):
            found = self._list_roomy(candidates, get_limit, now)
            if get_limit is not None and self.are_counts_relayed:
                found = self._spread(
                    candidates, found, salt, get_limit, service_time, now
                )
        if isinstance(found, upstreams.Upstream):
            return found
        if isinstance(found, Unavailable):
            if found.is_full:
                self.note_demand(service, model, excluded, salt, now)
            return found
        if get_limit is None and self._are_slots_taken(found):
            # For the next requests: this one is sent without delay.
            self.note_demand(service, model, excluded, salt, now)
        return self._choose_usable(found, salt, service_time)

    def _list_roomy(
        self,
        usable: list[upstreams.Upstream],
        get_limit: LimitFunction | None,
        now: float,
    ) -> list[upstreams.Upstream] | Unavailable:
        """Return the warm upstreams with room, else the cold ones.

        Where no limit is given, all have room, but cold upstreams are
        preferred to warm ones whose slots are taken.
        """
        if get_limit is not None:
            usable = [
                upstream
                for upstream in usable
                if self.count_load(upstream.id) < get_limit(upstream)
            ]
            if not usable:
                return _ALL_FULL
        if not self.limits.has_any:
            return usable
        cold = [one for one in usable if self.limits.is_cold(one.id, now)]
        if not cold:
            return usable
        warm = [one for one in usable if not self.limits.is_cold(one.id, now)]
        if get_limit is None:
            warm = [one for one in warm if self.count_load(one.id) < one.slots]
        return warm or cold

    def _spread(
        self,
        candidates: list[upstreams.Upstream],
        roomy: list[upstreams.Upstream] | Unavailable,
        salt: str,
        get_limit: LimitFunction,
        service_time: float,
        now: float,
    ) -> list[upstreams.Upstream] | upstreams.Upstream | Unavailable:
        """Return a warm upstream by its free slots if some are full.

        Where none is full, or none has a slot, the upstreams with room are
        returned.
        """
        warm = [
            one for one in candidates if not self.limits.is_cold(one.id, now)
        ]
        is_any_full = any(
            self.count_load(one.id) >= get_limit(one) for one in warm
        )
        if not is_any_full or service_time <= 0:
            return roomy
        chosen = self._choose_by_free_slots(
            warm, salt, get_limit, service_time
        )
        if chosen is not None:
            return chosen
        return self._list_roomy(
            [one for one in candidates if one not in warm], get_limit, now
        )

    def _are_slots_taken(self, usable: list[upstreams.Upstream]) -> bool:
        """Return whether limited upstreams should take a part as well."""
        return self.limits.has_any and all(
            self.count_load(one.id) >= one.slots for one in usable
        )

    def note_demand(
        self,
        service: ids.ServiceName,
        model: str | None,
        excluded: abc.Container[str],
        salt: str,
        now: float,
    ) -> None:
        """Have shares of limited upstreams asked for.

        All waiting requests count; few of the upstreams are sampled, others
        each time.
        """
        if not self.limits.has_any:
            return
        limited = [
            upstream
            for upstream in self._list_candidates(service, model)
            if upstream.epoch_id not in excluded
            and not self.withdrawals.get_remaining(upstream.id, now)
            and not self._is_ejected(upstream, now)
            and not self.limits.permits(upstream.id, now)
        ]
        if not limited:
            return
        waiting = max(sum(self.waiting.values()), 1)
        count = min(waiting, len(limited), _MAX_WANTED)
        first = hashing.hash_text(f"{salt}{now // _DEMAND_PERIOD}")
        for index in range(count):
            upstream = limited[(first + index) % len(limited)]
            self.limits.note_demand(
                upstream.id, math.ceil(waiting / count), now
            )

    def _choose_by_free_slots(
        self,
        candidates: list[upstreams.Upstream],
        salt: str,
        get_limit: LimitFunction,
        service_time: float,
    ) -> upstreams.Upstream | None:
        """Return an upstream, with a probability by its free slots.

        Returns:
            The upstream; None if none has a free slot.

        Failure: while most replicas of a large fleet are full, all nodes
        choose the few that their counts show to be free, and overrun them
        for as long as the counts are old. The others become idle
        meanwhile, and the next counts make all nodes choose those.
        """
        free = [
            capacity.estimate_free_slots(
                get_limit(upstream),
                self.count_load(upstream.id),
                service_time,
                _RELAY_DELAY,
            )
            for upstream in candidates
        ]
        total = sum(free)
        if total <= 0:
            return None
        point = hashing.hash_text(f"{salt}/free") / _HASH_COUNT * total
        for upstream, slots in zip(candidates, free, strict=True):
            point -= slots
            if point < 0:
                return upstream
        return candidates[-1]

    def _list_usable(
        self,
        service: ids.ServiceName,
        model: str | None,
        excluded: abc.Container[str],
        now: float,
    ) -> list[upstreams.Upstream] | Unavailable:
        """Return the upstreams that may take a request, full ones too."""
        self.evacuations.note_time(now)
        candidates = self._list_candidates(service, model)
        if not candidates:
            return self._make_unserved(service, model)
        untried = [
            upstream
            for upstream in candidates
            if upstream.epoch_id not in excluded
        ]
        if not untried:
            is_plain = model is None
            return Unavailable(
                "all were tried",
                _SATURATION_RETRY_AFTER if is_plain else _RECOVERY_RETRY_AFTER,
            )
        # One that limits its requests for now is better than one that can't
        # be connected to.
        untried = self._list_reachable(untried) or untried
        willing = [
            upstream
            for upstream in untried
            if not self.withdrawals.get_remaining(upstream.id, now)
        ]
        if not willing:
            return self._make_paused(untried, now)
        permitted = [
            upstream
            for upstream in willing
            if self.limits.permits(upstream.id, now)
        ]
        if not permitted:
            return self._make_limited(willing, now)
        usable = [
            upstream
            for upstream in permitted
            if not self._is_ejected(upstream, now)
        ]
        if not usable and model is not None:
            limited = [
                upstream
                for upstream in willing
                if self.limits.is_limited(upstream.id, now)
                and not self._is_ejected(upstream, now)
            ]
            if limited:
                return self._make_limited(limited, now)
            usable = [one for one in permitted if self._is_silent(one)]
            if not usable:
                return Unavailable("all stall or fail", _RECOVERY_RETRY_AFTER)
        # A plain service: an ejected upstream is better than none.
        return usable or permitted

    def _list_reachable(
        self, listed: list[upstreams.Upstream]
    ) -> list[upstreams.Upstream]:
        """Return the upstreams that are no suspects."""
        if not self.reachability.has_suspects:
            return listed
        return [
            upstream
            for upstream in listed
            if not self.reachability.is_suspect(upstream)
        ]

    def _make_unserved(
        self, service: ids.ServiceName, model: str | None
    ) -> Unavailable:
        """Return the answer where no upstream serves.

        A request for a model may wait while the replicas that serve it are
        evacuated and other data centres can form more.
        """
        if self.is_wholly_evacuated(service):
            # Confirmation arrives with the next heartbeats.
            retry_after = (
                _EVACUATION_RETRY_AFTER
                if self.evacuations.is_known
                else _RECOVERY_RETRY_AFTER
            )
            return Unavailable(self.evacuations.refusal_reason, retry_after)
        is_evacuated = model is not None and any(
            self.evacuations.is_evacuated(replica.members[0].datacentre)
            for replica in self._fleet.list_serving(service, model)
        )
        return Unavailable(
            "no upstream serves", _RECOVERY_RETRY_AFTER, is_evacuated
        )

    def is_wholly_evacuated(self, service: ids.ServiceName) -> bool:
        """Return whether all upstreams of a service are evacuated."""
        if not self.evacuations.is_active:
            return False
        listed = self._fleet.list_service(service)
        return bool(listed) and all(
            self.evacuations.is_evacuated(upstream.datacentre)
            for upstream in listed
        )

    def _make_paused(
        self, paused: list[upstreams.Upstream], now: float
    ) -> Unavailable:
        """Return the answer where all upstreams have asked for a pause.

        A request may wait for the end of the first pause.
        """
        earliest = min(
            self.withdrawals.get_remaining(upstream.id, now)
            for upstream in paused
        )
        return Unavailable(
            "all have asked for a pause", earliest, True, earliest
        )

    def _make_limited(
        self, limited: list[upstreams.Upstream], now: float
    ) -> Unavailable:
        """Return the answer where all upstreams limit their requests.

        A request may wait for its turn only at a node that holds a share of
        one of the limits, or knows another node that does.
        """
        may_wait = any(
            self.limits.may_permit(upstream.id, now) for upstream in limited
        )
        return Unavailable(
            "all limit their requests",
            _SATURATION_RETRY_AFTER,
            is_full=may_wait,
            share_wait=_SHARE_SECONDS if may_wait else 0.0,
        )

    def _list_open(
        self, service: ids.ServiceName, model: str, now: float
    ) -> list[upstreams.Upstream]:
        """Return the leaders that all nodes may use, full ones too."""
        return [
            upstream
            for upstream in self._list_candidates(service, model)
            if not self._is_ejected(upstream, now)
            and not self.withdrawals.get_remaining(upstream.id, now)
            and not self.limits.is_limited(upstream.id, now)
        ]

    def count_free_slots(
        self,
        service: ids.ServiceName,
        model: str,
        get_limit: LimitFunction,
        now: float,
    ) -> int:
        """Return how many more requests a model's replicas can take.

        Those of replicas that limit their requests aren't counted.
        """
        return sum(
            max(0, get_limit(upstream) - self.count_load(upstream.id))
            for upstream in self._list_open(service, model, now)
        )

    def count_own_slots(
        self,
        service: ids.ServiceName,
        model: str,
        get_limit: LimitFunction,
        now: float,
    ) -> int:
        """Return how many more requests this node alone may send.

        These are its shares of the replicas that limit their requests.
        """
        if not self.limits.has_any:
            return 0
        return sum(
            max(
                0,
                min(
                    get_limit(upstream) - self.count_load(upstream.id),
                    self.limits.count_permitted(upstream.id, now),
                ),
            )
            for upstream in self._list_candidates(service, model)
            if not self._is_ejected(upstream, now)
            and not self.withdrawals.get_remaining(upstream.id, now)
        )

    def _choose_usable(
        self, usable: list[upstreams.Upstream], salt: str, service_time: float
    ) -> upstreams.Upstream:
        """Return the better of two upstreams that are sampled by the salt."""
        sampled = _sample_two(usable, salt)
        if len(sampled) == 2 and self.are_counts_relayed and service_time > 0:
            return self._choose_randomly(sampled, usable, salt, service_time)
        best = min(
            sampled, key=lambda upstream: self._compute_cost(upstream, salt)
        )
        is_full = self.count_load(best.id) >= best.slots
        if not is_full and not self._loses_answers(best):
            return best
        # The sampled ones are full or lose answers, and so do most others:
        # search all for one that does not.
        return min(
            usable, key=lambda upstream: self._compute_cost(upstream, salt)
        )

    def _choose_randomly(
        self,
        sampled: list[upstreams.Upstream],
        usable: list[upstreams.Upstream],
        salt: str,
        service_time: float,
    ) -> upstreams.Upstream:
        """Return one of two, the better one with the higher probability.

        The probability is a logistic function of the difference of their
        costs.

        The load pattern: over a hundred nodes, each with a few requests a
        second, in front of replicas that are two thirds full or more. The
        counts of a node are as old as a request lasts.
        """
        mean = sum(self.count_load(upstream.id) for upstream in usable) / len(
            usable
        )
        unseen = mean * min(_RELAY_DELAY / service_time, 1.0)
        first, second = (
            self._compute_cost(upstream, salt)[0] for upstream in sampled
        )
        exponent = (first - second) / max(
            _COST_SCALE_FACTOR * unseen, _MIN_COST_SCALE
        )
        point = hashing.hash_text(f"{salt}/likelier") / _HASH_COUNT
        return sampled[
            point >= 1 / (1 + math.exp(min(exponent, _MAX_EXPONENT)))
        ]

    def _loses_answers(self, upstream: upstreams.Upstream) -> bool:
        """Return whether a plain service's upstream drops some answers."""
        return (
            upstream.seat is None
            and self._remote.get(_format_lost_key(upstream.id))
            >= _LOST_THRESHOLD
        )

    def _list_candidates(
        self, service: ids.ServiceName, model: str | None
    ) -> list[upstreams.Upstream]:
        """Return a plain service's upstreams or a model's leaders.

        Upstreams that are leaving are left out, whether the list says so
        or only their answers do, and so are those of evacuated data
        centres.
        """
        is_evacuated = self.evacuations.is_evacuated
        if model is None:
            return [
                upstream
                for upstream in self._fleet.list_service(service)
                if not upstream.leaving
                and not self.withdrawals.is_leaving(upstream)
                and not is_evacuated(upstream.datacentre)
            ]
        replicas = self._fleet.list_serving(service, model)
        leaders = (replica.members[0] for replica in replicas)
        return [
            leader
            for leader in leaders
            if not self.withdrawals.is_leaving(leader)
            and not is_evacuated(leader.datacentre)
        ]

    def _compute_cost(
        self, upstream: upstreams.Upstream, salt: str
    ) -> tuple[float, int]:
        """Return the cost of choosing an upstream, and a tie-breaker.

        The cost is in requests in flight, weighted by failures and losses.
        """
        health = self._health.get(upstream.id)
        failure_rate = health.failure_rate if health else 0.0
        lost = self._remote.get(_format_lost_key(upstream.id))
        cost = (1 + self.count_load(upstream.id)) * (
            1 + _FAILURE_COST * failure_rate
        )
        cost *= 1 + _LOST_COST * lost
        if upstream.datacentre != self._datacentre:
            cost += _OTHER_DATACENTRE_COST
        return cost, _compute_tie_breaker(upstream, salt)

    def _is_ejected(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Return whether an upstream may not be chosen at present."""
        health = self._health.get(upstream.id)
        if health is None or now >= health.ejected_until:
            return False
        return upstream.seat is None or health.epoch >= upstream.seat.epoch

    def _is_silent(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream is ejected only for its silence."""
        health = self._health.get(upstream.id)
        return health is not None and health.is_silent

    def count_load(self, instance: ids.InstanceId) -> int:
        """Return the known requests in flight at an upstream."""
        health = self._health.get(instance)
        own = health.in_flight if health else 0
        return own + self._remote.get(instance)

    # -- Observations

    def _get_health(self, instance: ids.InstanceId) -> _Health:
        """Return the observations of an upstream, empty ones if new."""
        health = self._health.get(instance)
        if health is None:
            health = self._health[instance] = _Health()
        return health

    def begin(self, instance: ids.InstanceId, now: float) -> None:
        """Note that a request is being sent to an upstream."""
        self._get_health(instance).in_flight += 1
        self.limits.note_request(instance, now)
        self.has_seen_traffic = True

    def end(self, instance: ids.InstanceId) -> None:
        """Note that a request to an upstream has ended."""
        self._get_health(instance).in_flight -= 1

    def note_pause(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> None:
        """Note the time between two events of an upstream's stream."""
        health = self._get_health(instance)
        if now - health.pause_updated_at > _PAUSE_TTL:
            health.mean_pause = seconds
        health.mean_pause += _PAUSE_WEIGHT * (seconds - health.mean_pause)
        health.pause_updated_at = now

    def get_mean_pause(
        self, instance: ids.InstanceId, now: float
    ) -> float | None:
        """Return the mean pause of an upstream's streams, in seconds.

        None if none was observed in the last `_PAUSE_TTL` seconds.
        """
        health = self._health.get(instance)
        if health is None or now - health.pause_updated_at > _PAUSE_TTL:
            return None
        return health.mean_pause

    def find_shortest_pause(
        self, service: ids.ServiceName, model: str, now: float
    ) -> float:
        """Return the shortest mean pause of a model's replicas, or 0."""
        pauses = [
            self.get_mean_pause(upstream.id, now)
            for upstream in self._list_candidates(service, model)
        ]
        return min(
            (pause for pause in pauses if pause is not None), default=0.0
        )

    def note_success(self, instance: ids.InstanceId) -> None:
        """Note a successful answer."""
        health = self._get_health(instance)
        health.consecutive_failures = 0
        health.failure_rate *= 1 - _FAILURE_WEIGHT

    def note_refusal(self, upstream: upstreams.Upstream, now: float) -> None:
        """Note that an upstream refused a request for the moment."""
        self._eject(upstream, now + _REFUSAL_EJECTION_SECONDS)

    def note_misdirected(
        self, upstream: upstreams.Upstream, now: float
    ) -> None:
        """Note that another server answers at an upstream's address.

        Failure: the entry of a server that has gone looks idle, so each
        request is sent there first and is refused. The entry stays in the
        list for as long as the store is unavailable. The ejection does not
        apply to a new replica, which has a newer epoch.
        """
        self._eject(upstream, now + _LOSS_EJECTION_SECONDS)

    def note_failure(
        self, upstream: upstreams.Upstream, now: float, avoid: bool
    ) -> None:
        """Note a failed request.

        Args:
            upstream: The upstream that failed it.
            now: Monotonic time.
            avoid: Whether to eject the upstream, because the next request
                would probably fail too.
        """
        health = self._get_health(upstream.id)
        health.failure_rate += _FAILURE_WEIGHT * (1 - health.failure_rate)
        if avoid:
            self._eject_failed(upstream, now)

    def note_silence(self, upstream: upstreams.Upstream, now: float) -> None:
        """Note that an upstream is silent.

        It is ejected, but still chosen where no other upstream is left: it
        may go on in a moment.

        Failure: several requests find out about one silence, and the
        upstream is ejected for seconds longer than it was silent.

        Args:
            upstream: The upstream.
            now: Monotonic time.
        """
        health = self._get_health(upstream.id)
        if self._is_ejected(upstream, now):
            return
        health.failure_rate += _FAILURE_WEIGHT * (1 - health.failure_rate)
        self._eject_failed(upstream, now)
        health.is_silent = True

    def note_awake(self, upstream: upstreams.Upstream) -> None:
        """Note that an upstream that was silent goes on."""
        health = self._get_health(upstream.id)
        if health.is_silent:
            health.is_silent = False
            health.ejected_until = -math.inf
            self.note_success(upstream.id)

    def _eject_failed(self, upstream: upstreams.Upstream, now: float) -> None:
        """Eject an upstream for a time that doubles with each failure."""
        health = self._get_health(upstream.id)
        health.consecutive_failures += 1
        seconds = _BASE_EJECTION_SECONDS * 2 ** (
            health.consecutive_failures - 1
        )
        health.failed_at = now
        self._eject(upstream, now + min(seconds, _MAX_EJECTION_SECONDS))

    def forgive_failures(self, since: float) -> None:
        """Choose upstreams again that were ejected for failed requests.

        Failure: a node loses its path to all upstreams, and each failed
        connection was counted against the upstream.

        Args:
            since: Monotonic time from which failures are forgiven.
        """
        for health in self._health.values():
            if health.failed_at >= since:
                health.ejected_until = 0.0
                health.consecutive_failures = 0
                health.failure_rate = 0.0
        self.reachability.forgive(since)

    def note_findings(
        self,
        findings: abc.Mapping[ids.InstanceId, upstreams.Finding],
        now: float,
    ) -> None:
        """Note the upstreams that another node could connect to, or not."""
        self.reachability.note_report(findings, self._fleet.get, now)

    def note_lost_answer(self, instance: ids.InstanceId, now: float) -> None:
        """Note a plain service's answer that was missing or incomplete.

        The load pattern: an upstream drops a part of its answers for some
        seconds, and each of a hundred nodes sends it a request now and
        then. The observations of a single node say little, so they are
        reported to the others.
        """
        self._get_health(instance).lost_at.append(now)

    def note_loss(
        self, instance: ids.InstanceId, epoch: int, now: float
    ) -> None:
        """Note the report that a leader's replica has lost a member.

        Failure: relays repeat a report for a second or more. By then the
        instance may lead the repaired replica, which must not be ejected.

        Args:
            instance: The leader.
            epoch: Epoch of the replica that the report is about.
            now: Monotonic time.
        """
        upstream = self._fleet.get(instance)
        if upstream is None:
            return
        if upstream.seat is None or upstream.seat.epoch <= epoch:
            self._eject_epoch(instance, epoch, now + _LOSS_EJECTION_SECONDS)

    def note_slow(
        self, instance: ids.InstanceId, epoch: int, now: float
    ) -> None:
        """Note the report that a member slows down a leader's replica.

        The replica is ejected only if at least half of the model's
        replicas remain: where most are slow, a slow answer is better than
        none.

        Args:
            instance: The leader.
            epoch: Epoch of the replica that the report is about.
            now: Monotonic time.
        """
        upstream = self._fleet.get(instance)
        if upstream is None or upstream.seat is None:
            return
        parsed = upstreams.parse_replica_id(upstream.seat.replica)
        if parsed is None or upstream.seat.epoch > epoch:
            return
        candidates = self._list_candidates(upstream.service, parsed[0])
        remaining = [
            other
            for other in candidates
            if other.id != instance and not self._is_ejected(other, now)
        ]
        if 2 * len(remaining) >= len(candidates):
            self._eject_epoch(instance, epoch, now + _SLOW_EJECTION_SECONDS)

    def _eject(self, upstream: upstreams.Upstream, until: float) -> None:
        """Stop choosing an upstream under its present epoch, until a time."""
        epoch = upstream.seat.epoch if upstream.seat else 0
        self._eject_epoch(upstream.id, epoch, until)

    def _eject_epoch(
        self, instance: ids.InstanceId, epoch: int, until: float
    ) -> None:
        """Stop choosing an upstream under an epoch, until a time."""
        health = self._get_health(instance)
        health.ejected_until = max(health.ejected_until, until)
        health.epoch = epoch
        health.is_silent = False

    # -- Counts exchanged between nodes

    def list_loads(self, now: float) -> dict[str, int]:
        """Return the counts of this node to report to the others.

        These are its requests in flight by upstream, and under keys of
        their own its waiting requests, recently lost answers and offered
        work. All of them are thus added up by relays in the same way.
        """
        self.evacuations.note_time(now)
        counts: dict[str, int] = {}
        for name, health in self._health.items():
            if health.in_flight > 0:
                counts[name] = health.in_flight
            lost = sum(now - at <= _LOST_SECONDS for at in health.lost_at)
            if lost:
                counts[_format_lost_key(name)] = lost
        counts |= self.waiting
        counts |= self.attained.list_counts(now)
        counts |= self.work.list_counts(now)
        return counts

    def measure_work(
        self, service: ids.ServiceName, model: str, now: float
    ) -> float:
        """Return how many replicas the work offered to all nodes takes."""
        key = workload.format_work_key(backlog.Kind(service, model))
        own = self.work.list_counts(now).get(key, 0)
        return (own + self._remote.get(key)) / workload.UNIT

    def count_remote_waiting(self, key: str) -> int:
        """Return the requests that wait at other nodes under a key."""
        return self._remote.get(key)

    def count_all_waiting(self, key: str) -> int:
        """Return the requests that wait at all nodes under a key."""
        return self.waiting.get(key, 0) + self.count_remote_waiting(key)

    def note_loads(
        self, node: ids.NodeId, loads: abc.Mapping[str, int], now: float
    ) -> None:
        """Replace another node's counts by those that it reports."""
        self._remote.note(node, loads, now)
        self.has_seen_traffic = self.has_seen_traffic or bool(loads)

    def expire(self, now: float) -> None:
        """Drop outdated counts, and upstreams that are no longer listed."""
        self._remote.expire(now)
        self.limits.expire(self._is_listed, now)
        self.coldness.expire(now)
        self.reachability.expire(self._is_listed)
        self.withdrawals.expire(self._is_listed, now)
        for name, health in list(self._health.items()):
            if health.in_flight <= 0 and self._fleet.get(name) is None:
                del self._health[name]

    def _is_listed(self, instance: ids.InstanceId) -> bool:
        return self._fleet.get(instance) is not None

    def count_busy(self, service: ids.ServiceName) -> dict[str, int]:
        """Return the known requests in flight for each model."""
        busy: dict[str, int] = {}
        for replica in self._fleet.list_replicas(service):
            leader = replica.leader
            if leader is not None:
                load = self.count_load(leader.id)
                busy[replica.model] = busy.get(replica.model, 0) + load
        return busy


def _format_lost_key(instance: ids.InstanceId) -> str:
    """Return the key under which an upstream's lost answers are reported.

    They are sent in one mapping with the counts by upstream. The slash
    keeps the keys apart: no upstream's id contains one.
    """
    return f"{instance}/lost"


def _sample_two(
    usable: list[upstreams.Upstream], salt: str
) -> list[upstreams.Upstream]:
    """Return two different upstreams at random, or all if there are fewer.

    The salt is the only source of randomness.
    """
    count = len(usable)
    if count <= 2:
        return usable
    quotient, first = divmod(hashing.hash_text(salt), count)
    second = (first + 1 + quotient % (count - 1)) % count
    return [usable[first], usable[second]]


def _compute_tie_breaker(upstream: upstreams.Upstream, salt: str) -> int:
    """Return a number that orders upstreams at random, by the salt."""
    return hashing.hash_text(f"{salt}{upstream.id}")

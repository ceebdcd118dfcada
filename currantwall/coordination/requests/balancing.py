"""Which upstream takes a request.

The load it answers: many short requests from several nodes at once,
over upstreams some of which are slow, fail, or have fallen silent
without anybody having said so yet. A node knows its own requests in
work exactly and those of the other nodes as of their last heartbeat.

Were each node to take the least busy of all upstreams by what it knows,
all would take the same ones until they hear of each other again. A node
therefore draws two and takes the better one, weighted by how they behaved
of late. In a large fleet counts come through relays, about as late as a
request lasts: there the better of two is only the likelier one, or each
replica would be overrun and passed over by turns. Upstreams with as many
requests as they bear are left out; what then finds none waits in the
backlog (`backlog`).
"""

import collections
from collections import abc
import math

import msgspec

from currantwall.coordination.requests import loads as loads_module
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Balancer", "Unavailable"]

# Seconds without a choice after a failure: doubled with each failure in
# a row. The first is as long as a replica takes to be mended.
_BASE_EJECTION = 0.7
_MAX_EJECTION = 4.0
# Seconds without a choice after an upstream refused a request: about the
# time in which one of its own ends.
_REFUSAL_EJECTION = 0.2
# Seconds without a choice after a replica was found to have lost a member.
# It does not come back under the same epoch; the list shows it gone by then.
_LOSS_EJECTION = 4.0
# The same after a replica was said to be slow; it is said again each second
# until it no longer is.
_SLOW_EJECTION = 2.0
# Weight of the newest outcome in the share of failures.
_FAILURE_WEIGHT = 0.2
# How much more costly an upstream looks that fails every request.
_FAILURE_COST = 20.0
# Seconds for which other nodes are told of a lost answer, and how many.
_LOST_AGE = 3.0
_LOST_LIMIT = 8
# How much more costly an upstream looks with each answer that it lost to
# any node. One loss in a while is nothing; upstreams that drop many differ
# by several.
_LOST_COST = 0.5
# Lost answers from which on an upstream is passed over for any other.
_LOST_FEW = 2
# Cost of leaving the data centre, in requests in work: 1.4 ms one way
# and priced traffic against about 5 ms for each further request.
_REMOTE_COST = 0.5
# Seconds by which counts are late that come through relays.
_RELAYED_AGE = 0.7
# Part of the requests that a replica gets in that time by which two
# replicas must differ for the choice to be clear.
_DAMPING = 0.5
_LEAST_UNSEEN = 0.1
# Distance of two costs beyond which the choice is certain.
_FAR = 30.0
# Number of different hashes.
_HASHES = 2.0**64
# Weight of the newest pause in the mean of an upstream.
_PAUSE_WEIGHT = 0.1
# Seconds after which the pauses of an upstream say nothing: it may have
# recovered, which only new requests show.
_PAUSE_AGE = 3.0
# Seconds until a caller may try again when no replica serves: what it
# takes to notice a loss, join anew and open.
_RETRY_RECOVERING = 1.0
# Seconds until a caller may try again when everything is full: about one
# answer of a full replica.
_RETRY_SATURATED = 0.5


class Unavailable(msgspec.Struct, frozen=True):
    """No upstream can take the request now.

    Attributes:
        reason: For the log and the caller.
        retry_after: Seconds after which a try makes sense.
        is_full: Whether there are upstreams, all with enough to do.
    """

    reason: str
    retry_after: float
    is_full: bool = False


# Returns the requests that an upstream may have in work at once.
CountPlaces = abc.Callable[[upstreams.Upstream], int]


class _Health:
    """How one upstream has behaved towards this node."""

    def __init__(self) -> None:
        self.in_work = 0
        self.failures = 0
        self.failure_share = 0.0
        # When answers of it were lost.
        self.lost: collections.deque[float] = collections.deque(
            maxlen=_LOST_LIMIT
        )
        self.ejected_until = 0.0
        # Mean seconds from one event of its streams to the next, and when
        # the last one came.
        self.pause = 0.0
        self.paused_at = -math.inf
        # Remembered so that the same replica, mended, starts afresh.
        self.epoch = 0


class Balancer:
    """Chooses upstreams; keeps what this node saw of each."""

    def __init__(
        self, fleet: upstreams.Fleet, datacentre: ids.DatacentreName
    ) -> None:
        self._fleet = fleet
        self._datacentre = datacentre
        self._health: dict[ids.InstanceId, _Health] = {}
        self._remote = loads_module.RemoteLoads()
        # Requests that wait at this node, by the name they are told under.
        self.waiting: abc.Mapping[str, int] = {}
        # Whether the counts of other nodes come through relays.
        self.are_counts_relayed = False
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
        count_places: CountPlaces | None = None,
        turnover: float = 0.0,
    ) -> upstreams.Upstream | Unavailable:
        """Return the upstream for a request.

        Args:
            service: Where the route leads.
            model: Model of the replica; None for plain services.
            excluded: Upstreams that this request has tried, by
                `Upstream.life`: a mended replica may be tried again.
            salt: Breaks ties, so that nodes do not all choose alike.
            now: Monotonic time.
            count_places: What an upstream may have in work; None for any
                number.
            turnover: Seconds that an upstream works on a request; 0 where
                it isn't known.
        """
        candidates = self._list_candidates(service, model)
        if not candidates:
            return Unavailable("no upstream serves", _RETRY_RECOVERING)
        fresh = [one for one in candidates if one.life not in excluded]
        usable = [one for one in fresh if not self._is_ejected(one, now)]
        if not usable:
            if model is not None and not fresh:
                return Unavailable("all were tried", _RETRY_RECOVERING)
            if model is not None:
                return Unavailable("all stall or fail", _RETRY_RECOVERING)
            # Plain services: a doubtful one is better than none.
            usable = fresh
            if not usable:
                return Unavailable("all were tried", _RETRY_SATURATED)
        if count_places is not None:
            usable = [
                one
                for one in usable
                if self.count_load(one.id) < count_places(one)
            ]
            if not usable:
                return Unavailable(
                    "all are full", _RETRY_SATURATED, is_full=True
                )
        return self._choose_drawn(usable, salt, turnover)

    def count_free(
        self,
        service: ids.ServiceName,
        model: str,
        count_places: CountPlaces,
        now: float,
    ) -> int:
        """Return the places of a model's replicas that are free."""
        return sum(
            max(0, count_places(one) - self.count_load(one.id))
            for one in self._list_candidates(service, model)
            if not self._is_ejected(one, now)
        )

    def _choose_drawn(
        self, usable: list[upstreams.Upstream], salt: str, turnover: float
    ) -> upstreams.Upstream:
        """Return one of two upstreams that a request's id draws."""
        drawn = _draw_two(usable, salt)
        if len(drawn) == 2 and self.are_counts_relayed and turnover > 0:
            return self._choose_likelier(drawn, usable, salt, turnover)
        best = min(drawn, key=lambda one: self._cost(one, salt))
        is_full = self.count_load(best.id) >= best.slots
        if not is_full and not self._loses_answers(best):
            return best
        # All that were drawn are full or lose answers: few others don't.
        return min(usable, key=lambda one: self._cost(one, salt))

    def _choose_likelier(
        self,
        drawn: list[upstreams.Upstream],
        usable: list[upstreams.Upstream],
        salt: str,
        turnover: float,
    ) -> upstreams.Upstream:
        """Return one of two, the better one with the higher probability.

        The load pattern: over a hundred nodes, each with a few requests a
        second, before replicas that are two thirds full or more. What a
        node knows of them is as old as their requests.
        """
        mean = sum(self.count_load(one.id) for one in usable) / len(usable)
        unseen = mean * min(_RELAYED_AGE / turnover, 1.0)
        first, second = (self._cost(one, salt)[0] for one in drawn)
        distance = (first - second) / max(_DAMPING * unseen, _LEAST_UNSEEN)
        point = hashing.hash_text(f"{salt}/likelier") / _HASHES
        return drawn[point >= 1 / (1 + math.exp(min(distance, _FAR)))]

    def _loses_answers(self, one: upstreams.Upstream) -> bool:
        """Return whether a plain service's upstream drops some answers."""
        return (
            one.seat is None
            and self._remote.get(_name_lost(one.id)) >= _LOST_FEW
        )

    def _list_candidates(
        self, service: ids.ServiceName, model: str | None
    ) -> list[upstreams.Upstream]:
        if model is None:
            return [
                one
                for one in self._fleet.list_service(service)
                if not one.leaving
            ]
        replicas = self._fleet.list_serving(service, model)
        return [one.members[0] for one in replicas]

    def _cost(self, one: upstreams.Upstream, salt: str) -> tuple[float, int]:
        health = self._health.get(one.id)
        share = health.failure_share if health else 0.0
        lost = self._remote.get(_name_lost(one.id))
        cost = (1 + self.count_load(one.id)) * (1 + _FAILURE_COST * share)
        cost *= 1 + _LOST_COST * lost
        if one.datacentre != self._datacentre:
            cost += _REMOTE_COST
        return cost, _draw(one, salt)

    def _is_ejected(self, one: upstreams.Upstream, now: float) -> bool:
        health = self._health.get(one.id)
        if health is None or now >= health.ejected_until:
            return False
        return one.seat is None or health.epoch >= one.seat.epoch

    def count_load(self, instance: ids.InstanceId) -> int:
        """Return the known requests in work at an upstream."""
        health = self._health.get(instance)
        own = health.in_work if health else 0
        return own + self._remote.get(instance)

    # -- What was seen

    def _get(self, instance: ids.InstanceId) -> _Health:
        health = self._health.get(instance)
        if health is None:
            health = self._health[instance] = _Health()
        return health

    def begin(self, instance: ids.InstanceId) -> None:
        """Note a request that is on its way to an upstream."""
        self._get(instance).in_work += 1
        self.has_seen_traffic = True

    def end(self, instance: ids.InstanceId) -> None:
        """Note that a request has ended there."""
        self._get(instance).in_work -= 1

    def note_pause(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> None:
        """Note the time between two events of an upstream's stream."""
        health = self._get(instance)
        if now - health.paused_at > _PAUSE_AGE:
            health.pause = seconds
        health.pause += _PAUSE_WEIGHT * (seconds - health.pause)
        health.paused_at = now

    def get_pause(self, instance: ids.InstanceId, now: float) -> float | None:
        """Return the mean pause of an upstream's streams, if any is seen."""
        health = self._health.get(instance)
        if health is None or now - health.paused_at > _PAUSE_AGE:
            return None
        return health.pause

    def find_least_pause(
        self, service: ids.ServiceName, model: str, now: float
    ) -> float:
        """Return the least mean pause among a model's replicas, or 0."""
        pauses = [
            self.get_pause(one.id, now)
            for one in self._list_candidates(service, model)
        ]
        return min((one for one in pauses if one is not None), default=0.0)

    def note_success(self, instance: ids.InstanceId) -> None:
        """Note an answer in order."""
        health = self._get(instance)
        health.failures = 0
        health.failure_share *= 1 - _FAILURE_WEIGHT

    def note_refusal(self, upstream: upstreams.Upstream, now: float) -> None:
        """Note that an upstream would not take a request just now."""
        self._eject(upstream, now + _REFUSAL_EJECTION)

    def note_misdirected(
        self, upstream: upstreams.Upstream, now: float
    ) -> None:
        """Note that another server answers where an upstream was listed.

        Failure: the entry of a server that has gone looks idle, so each
        request goes there first and is refused. It stays in the list
        while the store is away; a new replica has a newer epoch and is
        not avoided.
        """
        self._eject(upstream, now + _LOSS_EJECTION)

    def note_failure(
        self, upstream: upstreams.Upstream, now: float, avoid: bool
    ) -> None:
        """Note a failure; `avoid` where the next request would fail too."""
        health = self._get(upstream.id)
        health.failure_share += _FAILURE_WEIGHT * (1 - health.failure_share)
        if not avoid:
            return
        health.failures += 1
        wait = _BASE_EJECTION * 2 ** (health.failures - 1)
        self._eject(upstream, now + min(wait, _MAX_EJECTION))

    def note_lost_answer(self, instance: ids.InstanceId, now: float) -> None:
        """Note an answer of a plain service that did not come, or not whole.

        The load pattern: an upstream drops a part of its answers for some
        seconds, and each of a hundred nodes sends it a request now and
        then. What one of them sees says little; the others are told.
        """
        self._get(instance).lost.append(now)

    def note_loss(
        self, instance: ids.InstanceId, epoch: int, now: float
    ) -> None:
        """Note the verdict that a leader's replica is not whole.

        Failure: relays repeat a verdict for a second and more, in which
        the leader may have come to lead the mended replica.
        """
        upstream = self._fleet.get(instance)
        if upstream is None:
            return
        if upstream.seat is None or upstream.seat.epoch <= epoch:
            self._eject_life(instance, epoch, now + _LOSS_EJECTION)

    def note_slow(
        self, instance: ids.InstanceId, epoch: int, now: float
    ) -> None:
        """Note that a member slows down a leader's replica.

        It is passed over while half of the model's replicas are sound:
        where most are slow, a slow answer is better than none.
        """
        upstream = self._fleet.get(instance)
        if upstream is None or upstream.seat is None:
            return
        parsed = upstreams.parse_name(upstream.seat.replica)
        if parsed is None or upstream.seat.epoch > epoch:
            return
        all_ = self._list_candidates(upstream.service, parsed[0])
        sound = [
            one
            for one in all_
            if one.id != instance and not self._is_ejected(one, now)
        ]
        if 2 * len(sound) >= len(all_):
            self._eject_life(instance, epoch, now + _SLOW_EJECTION)

    def _eject(self, upstream: upstreams.Upstream, until: float) -> None:
        epoch = upstream.seat.epoch if upstream.seat else 0
        self._eject_life(upstream.id, epoch, until)

    def _eject_life(
        self, instance: ids.InstanceId, epoch: int, until: float
    ) -> None:
        health = self._get(instance)
        health.ejected_until = max(health.ejected_until, until)
        health.epoch = epoch

    # -- What nodes tell each other

    def list_loads(self, now: float) -> dict[str, int]:
        """Return this node's requests in work by upstream.

        With those that wait here and the answers lost of late, which the
        sums of relays then hold too.
        """
        found: dict[str, int] = {}
        for name, health in self._health.items():
            if health.in_work > 0:
                found[name] = health.in_work
            lost = sum(now - at <= _LOST_AGE for at in health.lost)
            if lost:
                found[_name_lost(name)] = lost
        return found | dict(self.waiting)

    def count_waiting(self, name: str) -> int:
        """Return the requests that wait at other nodes, by their name."""
        return self._remote.get(name)

    def count_all_waiting(self, name: str) -> int:
        """Return the requests that wait at all nodes, by their name."""
        return self.waiting.get(name, 0) + self.count_waiting(name)

    def note_loads(
        self, node: ids.NodeId, loads: abc.Mapping[str, int], now: float
    ) -> None:
        """Take note of another node's requests in work."""
        self._remote.note(node, loads, now)
        self.has_seen_traffic = self.has_seen_traffic or bool(loads)

    def expire(self, now: float) -> None:
        """Forget old counts and upstreams that are no longer listed."""
        self._remote.expire(now)
        for name, health in list(self._health.items()):
            if health.in_work <= 0 and self._fleet.get(name) is None:
                del self._health[name]

    def count_busy(self, service: ids.ServiceName) -> dict[str, int]:
        """Return the known requests in work of each model."""
        busy: dict[str, int] = {}
        for replica in self._fleet.list_replicas(service):
            leader = replica.leader
            if leader is not None:
                load = self.count_load(leader.id)
                busy[replica.model] = busy.get(replica.model, 0) + load
        return busy


def _name_lost(instance: ids.InstanceId) -> str:
    """Return the name under which an upstream's lost answers are told.

    It travels with the counts by upstream; no upstream's id has a slash.
    """
    return f"{instance}/lost"


def _draw_two(
    usable: list[upstreams.Upstream], salt: str
) -> list[upstreams.Upstream]:
    """Return two different upstreams by chance, or the only one."""
    count = len(usable)
    if count <= 2:
        return usable
    turns, first = divmod(hashing.hash_text(salt), count)
    second = (first + 1 + turns % (count - 1)) % count
    return [usable[first], usable[second]]


def _draw(one: upstreams.Upstream, salt: str) -> int:
    """Return a number that puts upstreams into an order by chance."""
    return hashing.hash_text(f"{salt}{one.id}")

"""Shares of the limits on the requests that upstreams take of all nodes.

An upstream that is short of capacity names in its answers how many requests
a second it takes from all nodes together. One that is cold, because it has
just started, sustains a rate that the configuration states, and crashes
well above it. Both are limits of the same kind. Equal shares would leave
each of a hundred nodes one request in minutes, and no node could tell soon
that the limit has ended. Instead the few nodes that rank first for the
upstream hold its limit in equal shares. Every node knows the holders from
the nodes that it knows, without any further agreement.

A node that has a request for the upstream and no share left asks a holder
for some of its share, so that the limit is used wherever the requests are.
This takes a message to the holder and one back; reports in heartbeats would
reach a holder through two relays, when a cold upstream is warm again.

The bound on cold upstreams: a holder gives out at most its part of the rate
times the duration, plus its part of the slack, and each request arrives
within `_GRANT_SECONDS` and `_TRAVEL_SECONDS` after it was given out, so that
the arrivals of any second, over all nodes, are at most what the holders give
out in `_BOUND_SECONDS`. The parts are such that this holds with one holder
more than there are, and no more nodes than that take themselves for
holders: a new node holds nothing until the others count it, nor does one
that has not read the list of nodes or hears of a node that it lacks; one
that knows no others takes one part only at first, and one that falls silent
is counted for as long as it is known.

A holder's requests show what the upstream says now. Changes, and from time
to time the present value, are reported to the other nodes with the age of
the answer, and the newest answer counts.
"""

from collections import abc
import math

import msgspec

from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import limits
from currantwall.state import rendezvous

__all__ = ["RateLimits"]

# Part of a limit that is used at most. The rest is a margin for nodes that
# disagree for a moment about which of them are ready.
_USED_SHARE = 0.92
# Most nodes that hold the limit of a cold upstream. Each may send a request
# at any moment, so more of them would exceed a low limit together; with
# fewer, the limit would be unused while one is down.
_MAX_HOLDERS = 3
# Nodes that hold a limit that an upstream names: a number, and more for each
# request a second. Upstreams name the limit of several seconds, and most
# requests are spared the message to a holder.
_MIN_NAMED_HOLDERS = 2
_NAMED_HOLDERS_PER_RATE = 1.5
# Least requests that a holder may save up. With 1 it would lose what it
# gets until the next request comes.
_MIN_BURST = 1.25
# Requests that the holders of a limit and one more may send at once, all of
# them together. More at the same moment overload an upstream.
_SLACK = 5.0
# Lowest rate that is applied, in requests a second. Without any request
# nobody would notice that a limit has ended.
_MIN_RATE = 0.25
# Seconds from asking a holder for a part of its share until what it gave is
# void: a datagram each way, and a busy process.
_GRANT_SECONDS = 0.2
# Seconds by which a request may take longer to the upstream than another.
_TRAVEL_SECONDS = 0.05
# Seconds in which the requests were given out that arrive in one second.
_BOUND_SECONDS = 1.0 + _GRANT_SECONDS + _TRAVEL_SECONDS
# Seconds for which a request that found no share is a reason to ask.
_DEMAND_SECONDS = 0.15
# Most holders that a node asks at a time. It bounds the datagrams of a node
# whose requests could use any of dozens of upstreams.
_MAX_ASKED = 4
# Times that a holder lets itself be asked for each request of its share.
# Nodes that were told to ask again may have no request then, and with few
# messages a share would lapse before the next one.
_ASKED_PER_TOKEN = 8.0
# Most seconds after which a node is told to ask again. The rate of an
# upstream that becomes warm rises within about as long.
_LONGEST_RETRY = 1.0
# Seconds after which a node asks again one that holds no share: they know
# different nodes, or one has not learnt the limit yet.
_NO_HOLDER_RETRY = 0.25
# Seconds for which a change is reported, and a value that is repeated.
_CHANGE_REPORT_SECONDS = 2.0
_REPEAT_REPORT_SECONDS = 1.0
# Seconds after a report until the value is repeated.
_REPEAT_INTERVAL = 10.0
# Seconds without any news of a limit after which further nodes, one by one,
# may send the upstream a request: its holders have none for it, or cannot
# be heard. Also the seconds for which a node that is no longer ready counts
# as a holder for cold upstreams, and for which a new node that knows no
# others expects that there are some.
_SUCCESSION_DELAY = 15.0
# Seconds for which a node that has become ready holds no share of a cold
# upstream: until the others know it, 1.2 s through relays, with a margin for
# lost datagrams, and it knows them.
_SETTLING_SECONDS = 3.0
# Seconds after the end of the cold time in which the rate rises, and the
# factor by which it has risen at the end, about as much as an upstream
# takes. Failure: all nodes at once send the upstream their waiting requests.
_RAMP_SECONDS = 1.0
_RAMP_FACTOR = 8.0
# Seconds for which a limit is kept that has ended, so that an older report
# does not bring it back, or whose upstream is not listed.
_RETENTION = 30.0
# Marks the cold limit of an upstream in messages. No instance's id contains
# a slash.
_COLD_SUFFIX = "/cold"


class _Limit(msgspec.Struct):
    """One limit of one upstream.

    Attributes:
        rate: Requests a second; None if it has ended.
        observed_at: When the answer came that said so, at any node.
        rank: How many nodes hold the limit before this one does.
        refilled_at: When `tokens` was computed.
        width: How many nodes hold the limit.
        holders: The nodes that rank first, the first one first.
        asked: Counts the holders that were asked, to ask others next.
        tokens: Requests that this node may send now, in fractions; at first
            as many as it may save up.
        granted: When each request that another holder granted is void.
        next_asked_at: When the last node that was told to ask this holder
            again does so.
        retry_at: When to ask each other holder again.
        answered_at: When the last answer came that said whether the
            upstream is cold, to any node.
        says_cold: Whether that answer said that it is.
        cold_until: When the upstream becomes warm; None if the upstream has
            named the limit in an answer.
        reported_until: Until when this node reports it.
    """

    rate: float | None
    observed_at: float
    rank: int
    refilled_at: float
    width: int
    holders: list[ids.NodeId]
    asked: int = 0
    next_asked_at: float = -math.inf
    retry_at: dict[ids.NodeId, float] = {}
    tokens: float = math.inf
    granted: list[float] = []
    answered_at: float = -math.inf
    says_cold: bool = False
    cold_until: float | None = None
    reported_until: float = -math.inf

    def applies(self, now: float) -> bool:
        """Return whether requests are limited."""
        if self.cold_until is not None:
            return now < self.cold_until + _RAMP_SECONDS
        return self.rate is not None

    def compute_rate(self, now: float) -> float:
        """Return the requests a second that the upstream takes."""
        rate = max(self.rate or 0.0, _MIN_RATE)
        if self.cold_until is None or now <= self.cold_until:
            return rate
        risen = min((now - self.cold_until) / _RAMP_SECONDS, 1.0)
        return rate * _RAMP_FACTOR**risen

    def count_granted(self, now: float) -> int:
        """Return the requests that other holders granted."""
        if self.granted and self.granted[0] < now:
            self.granted = [end for end in self.granted if end >= now]
        return len(self.granted)


class _Group:
    """Limits that are shared among the same nodes.

    Attributes:
        nodes: The nodes that hold the limits.
        limits: The limits, by upstream.
    """

    def __init__(self, me: ids.NodeId) -> None:
        self._me = me
        self.nodes = frozenset((me,))
        self.limits: dict[ids.InstanceId, _Limit] = {}

    def add(
        self,
        instance: ids.InstanceId,
        rate: float | None,
        observed_at: float,
        width: int,
        now: float,
    ) -> _Limit:
        """Add the limit of an upstream and return it."""
        limit = self.limits[instance] = _Limit(
            rate=rate,
            observed_at=observed_at,
            rank=self._count_before(instance, self.nodes),
            refilled_at=now,
            width=width,
            holders=rendezvous.choose(instance, self.nodes, width),
        )
        return limit

    def resize(self, instance: ids.InstanceId, width: int) -> None:
        """Set how many nodes hold the limit of an upstream."""
        limit = self.limits[instance]
        if limit.width != width:
            limit.width = width
            limit.holders = rendezvous.choose(instance, self.nodes, width)

    def replace_nodes(self, nodes: frozenset[ids.NodeId]) -> None:
        """Replace the nodes.

        Ranks are updated by the difference: a large fleet has hundreds of
        nodes and limits.
        """
        known, self.nodes = self.nodes, nodes
        added, removed = nodes - known, known - nodes
        if not added and not removed:
            return
        for instance, limit in self.limits.items():
            limit.rank += self._count_before(instance, added)
            limit.rank -= self._count_before(instance, removed)
            candidates: abc.Iterable[ids.NodeId] = {*limit.holders, *added}
            if not removed.isdisjoint(limit.holders):
                candidates = nodes
            limit.holders = rendezvous.choose(
                instance, candidates, limit.width
            )

    def _count_before(
        self, instance: ids.InstanceId, nodes: abc.Iterable[ids.NodeId]
    ) -> int:
        """Return how many of some nodes rank before this one."""
        own = rendezvous.score(instance, self._me)
        return sum(rendezvous.score(instance, node) > own for node in nodes)


class RateLimits:
    """The limits of all upstreams, as one node knows them.

    All times are monotonic, in seconds.

    Attributes:
        get_cold_rate: Returns the requests a second that an upstream
            sustains while it is cold; 0 if it never is.
    """

    def __init__(
        self,
        me: ids.NodeId,
        cold_overshoot: float = 1.5,
        cold_slack: float = 5.0,
    ) -> None:
        """Create limits of no upstream.

        Args:
            me: This node.
            cold_overshoot: Factor on the rate of a cold upstream that all
                nodes together must not exceed in any second.
            cold_slack: Requests beyond that.
        """
        self._me = me
        # One holder more than there are counts for the bound.
        self._most = min(max(int(cold_slack) - 1, 1), _MAX_HOLDERS)
        # Requests that all holders of a cold upstream may send at once.
        self._cold_slack = min(cold_slack, _SLACK)
        self._cold_share = min(
            cold_overshoot / _BOUND_SECONDS * (self._most / (self._most + 1)),
            _USED_SHARE,
        )
        self._named = _Group(me)
        self._cold = _Group(me)
        # When this node became ready; None if nobody has told.
        self._ready_since: float | None = None
        # Whether this node knows all others.
        self._is_complete = True
        # When each node was last known, for cold upstreams.
        self._known_at: dict[ids.NodeId, float] = {}
        # Requests that found no share, by limit, and when.
        self._demands: dict[str, tuple[int, float]] = {}
        # When this node asked a holder, by serial number.
        self._asked_at: dict[int, float] = {}
        self._serial = 0
        # Nodes begin with different holders, so that they don't all ask the
        # same one at once.
        self._offset = hashing.hash_text(me)
        self.get_cold_rate: abc.Callable[[ids.InstanceId], float] = _get_none

    # -- Input from upstreams and other nodes

    def note_answer(
        self, instance: ids.InstanceId, rate: float | None, now: float
    ) -> bool:
        """Record the limit that an answer to this node names.

        Args:
            instance: The upstream.
            rate: Requests a second; None if the answer names no limit.
            now: When it came.

        Returns:
            Whether the limit has changed.
        """
        known = self._named.limits.get(instance)
        if known is None and rate is None:
            return False
        changed = known is None or known.rate != rate
        limit = self._set(instance, rate, now, now)
        if changed:
            limit.reported_until = now + _CHANGE_REPORT_SECONDS
        elif now >= limit.reported_until + _REPEAT_INTERVAL:
            limit.reported_until = now + _REPEAT_REPORT_SECONDS
        return changed

    def note_reports(
        self, reports: abc.Mapping[str, limits.LimitReport], now: float
    ) -> None:
        """Record the limits that another node reports."""
        for name, report in reports.items():
            instance = ids.InstanceId(name.removesuffix(_COLD_SUFFIX))
            if name != instance:
                self._note_cold_report(instance, report, now)
                continue
            known = self._named.limits.get(instance)
            observed_at = now - report.age
            if known is None or observed_at > known.observed_at:
                self._set(instance, report.rate, observed_at, now)

    def _set(
        self,
        instance: ids.InstanceId,
        rate: float | None,
        observed_at: float,
        now: float,
    ) -> _Limit:
        limit = self._named.limits.get(instance)
        width = _count_named_holders(rate)
        if limit is None:
            return self._named.add(instance, rate, observed_at, width, now)
        if limit.rate != rate:
            self._refill(limit, now)
            self._named.resize(instance, width)
            # Only what this node has observed itself is reported.
            limit.reported_until = -math.inf
        limit.rate = rate
        limit.observed_at = observed_at
        return limit

    def note_cold(
        self,
        instance: ids.InstanceId,
        rate: float,
        until: float,
        now: float,
        answered_at: float | None = None,
    ) -> None:
        """Record that an upstream is cold, or for how much longer.

        Args:
            instance: The upstream.
            rate: Requests a second that it sustains, of all nodes.
            until: When it becomes warm; its share then rises from `rate`.
            now: Monotonic time.
            answered_at: When the answer came that says so, at any node;
                None if no answer does.
        """
        limit = self._cold.limits.get(instance)
        if limit is None:
            if until <= now:
                return
            limit = self._cold.add(instance, rate, now, self._most, now)
            limit.cold_until = until
            if answered_at is not None:
                limit.observed_at = limit.answered_at = answered_at
                limit.says_cold = True
            return
        self._refill(limit, now)
        limit.rate = rate
        limit.observed_at = now if answered_at is None else answered_at
        if answered_at is not None:
            limit.answered_at = answered_at
            limit.says_cold = until > answered_at
        # A rise of the rate that has begun is not begun again.
        is_warm = limit.cold_until is not None and limit.cold_until <= now
        if until > now or not is_warm:
            limit.cold_until = max(until, now)

    def _note_cold_report(
        self, instance: ids.InstanceId, report: limits.LimitReport, now: float
    ) -> None:
        """Record another node's report that an upstream is cold, or warm."""
        limit = self._cold.limits.get(instance)
        observed_at = now - report.age
        if limit is not None and observed_at <= limit.observed_at:
            # An entry read since then may be older than the answer.
            is_warm = report.cold_left <= 0
            if is_warm or observed_at <= limit.answered_at:
                return
        until = observed_at + report.cold_left
        self.note_cold(instance, report.rate or 0.0, until, now, observed_at)

    def get_cold_answer_time(self, instance: ids.InstanceId) -> float:
        """Return when the last answer came, if it said an upstream is cold.

        It may have come to another node. Minus infinity for none.
        """
        limit = self._cold.limits.get(instance)
        if limit is None or not limit.says_cold:
            return -math.inf
        return limit.answered_at

    def report_cold(self, instance: ids.InstanceId, now: float) -> None:
        """Report to the other nodes what was just recorded of an upstream."""
        limit = self._cold.limits.get(instance)
        if limit is not None:
            limit.reported_until = now + _CHANGE_REPORT_SECONDS

    def get_cold_left(self, instance: ids.InstanceId, now: float) -> float:
        """Return the seconds for which an upstream is cold."""
        limit = self._cold.limits.get(instance)
        if limit is None or limit.cold_until is None:
            return 0.0
        return max(limit.cold_until - now, 0.0)

    def note_returned(
        self,
        instances: abc.Iterable[ids.InstanceId],
        until: float,
        now: float,
    ) -> None:
        """Record that upstreams may have become cold while none used them.

        Args:
            instances: Those of a data centre whose evacuation ended. Ones
                whose service states no rate for cold upstreams are left
                out.
            until: When they are warm, unless their entries say otherwise.
            now: Monotonic time.
        """
        for instance in instances:
            rate = self.get_cold_rate(instance)
            if rate > 0:
                self.note_cold(instance, rate, until, now)

    def note_nodes(
        self,
        nodes: abc.Collection[ids.NodeId],
        now: float = 0.0,
        known: abc.Iterable[ids.NodeId] = (),
        is_complete: bool = True,
    ) -> None:
        """Replace the nodes that take requests and hold the limits.

        Args:
            nodes: The nodes that take requests, with this one if it does.
            now: Monotonic time.
            known: Further nodes that may take requests, although this node
                does not hear them. They hold shares of cold upstreams.
            is_complete: Whether these are all nodes that there are, as far
                as this node can tell. It holds no share of a cold upstream
                otherwise: others may rank before it.
        """
        self._is_complete = is_complete
        was_ready = self._ready_since is not None
        if self._me not in nodes:
            self._ready_since = math.inf
        elif not was_ready or self._ready_since == math.inf:
            self._ready_since = now
        self._named.replace_nodes(frozenset(nodes))
        self._known_at.update(dict.fromkeys((*nodes, *known), now))
        self._known_at = {
            node: at
            for node, at in self._known_at.items()
            if now - at <= _SUCCESSION_DELAY
        }
        self._cold.replace_nodes(frozenset(self._known_at))

    def expire(
        self, is_listed: abc.Callable[[ids.InstanceId], bool], now: float
    ) -> None:
        """Drop limits that ended long ago or whose upstream has gone.

        Args:
            is_listed: Returns whether an upstream is registered. Entries
                may be missing for a while during an outage of the store.
            now: Monotonic time.
        """
        for group in (self._named, self._cold):
            for instance, limit in list(group.limits.items()):
                end = max(limit.observed_at, limit.cold_until or -math.inf)
                if now - end <= _RETENTION:
                    continue
                if not limit.applies(now) or not is_listed(instance):
                    del group.limits[instance]

    # -- Decisions

    def permits(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether this node may send an upstream a request now."""
        return all(
            self._count_tokens(limit, now) >= 1
            for limit in self._list_limits(instance, now)
        )

    def count_permitted(self, instance: ids.InstanceId, now: float) -> int:
        """Return how many requests this node may send an upstream now.

        Only the shares of this node count: 0 where there is no limit.
        """
        return min(
            (
                self._count_tokens(limit, now)
                for limit in self._list_limits(instance, now)
            ),
            default=0,
        )

    @property
    def has_any(self) -> bool:
        """Return whether any upstream limits its requests, or did lately."""
        return bool(self._named.limits or self._cold.limits)

    def is_limited(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether an upstream limits its requests."""
        return bool(self._list_limits(instance, now))

    def may_permit(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether this node may get a share of an upstream's limits.

        It holds one, or knows a node that does.
        """
        return all(
            self._is_holder(limit, now) or self._list_other_holders(limit)
            for limit in self._list_limits(instance, now)
        )

    def is_cold(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether an upstream is cold, or its rate still rises."""
        limit = self._cold.limits.get(instance)
        return limit is not None and limit.applies(now)

    def is_holder(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether this node holds a share of an upstream's limits."""
        return all(
            self._is_holder(limit, now)
            for limit in self._list_limits(instance, now)
        )

    def note_request(self, instance: ids.InstanceId, now: float) -> None:
        """Take a request that is being sent from this node's share."""
        for limit in self._list_limits(instance, now):
            if limit.count_granted(now):
                limit.granted.pop(0)
                continue
            self._refill(limit, now)
            limit.tokens -= 1.0

    def _list_limits(
        self, instance: ids.InstanceId, now: float
    ) -> list[_Limit]:
        """Return the limits that apply to an upstream now."""
        found = (
            self._named.limits.get(instance),
            self._cold.limits.get(instance),
        )
        return [limit for limit in found if limit and limit.applies(now)]

    def _count_tokens(self, limit: _Limit, now: float) -> int:
        """Return how many requests a limit permits this node now."""
        granted = limit.count_granted(now)
        if not self._is_holder(limit, now):
            return granted
        self._refill(limit, now)
        return granted + max(math.floor(limit.tokens), 0)

    def _is_holder(self, limit: _Limit, now: float) -> bool:
        holders = self._count_holders(limit, now)
        if limit.cold_until is not None:
            since = self._ready_since
            if since is None or now < since + _SETTLING_SECONDS:
                return False
            if not self._is_complete:
                return False
            return limit.rank < holders
        if self._me not in self._named.nodes:
            return False
        silent = now - limit.observed_at - _SUCCESSION_DELAY
        successors = int(max(silent, 0.0) * self._compute_rate(limit, now))
        return limit.rank < holders + successors

    def _compute_rate(self, limit: _Limit, now: float) -> float:
        """Return the requests a second that the holders share."""
        is_cold = limit.cold_until is not None
        share = self._cold_share if is_cold else _USED_SHARE
        return limit.compute_rate(now) * share

    def _count_holders(self, limit: _Limit, now: float) -> int:
        """Return among how many nodes a limit is divided."""
        holders = max(len(limit.holders), 1)
        if limit.cold_until is not None and holders == 1:
            since = self._ready_since
            if since is None or now < since + _SUCCESSION_DELAY:
                return self._most
        return holders

    def _refill(self, limit: _Limit, now: float) -> None:
        """Add the tokens of this node's share since the last call."""
        holders = self._count_holders(limit, now)
        rate = self._compute_rate(limit, now) / holders
        elapsed = max(now - limit.refilled_at, 0.0)
        limit.refilled_at = now
        slack = _SLACK if limit.cold_until is None else self._cold_slack
        least = _MIN_BURST if limit.cold_until is None else 1.0
        burst = max(slack / (holders + 1), least)
        limit.tokens = min(burst, limit.tokens + rate * elapsed)

    # -- Shares that holders grant to other nodes

    @property
    def has_demand(self) -> bool:
        """Return whether requests found no share of a limit lately."""
        return bool(self._demands)

    def note_demand(
        self, instance: ids.InstanceId, count: int, now: float
    ) -> None:
        """Record that requests could go to an upstream but for its limits.

        Args:
            instance: The upstream.
            count: Number of such requests.
            now: Monotonic time.
        """
        named = self._named.limits.get(instance)
        cold = self._cold.limits.get(instance)
        if named is not None and named.applies(now):
            self._demands[instance] = count, now
        if cold is not None and cold.applies(now):
            self._demands[f"{instance}{_COLD_SUFFIX}"] = count, now

    def list_share_requests(
        self, now: float
    ) -> dict[ids.NodeId, limits.ShareRequest]:
        """Return what to ask of each holder, for the demand noted before."""
        wanted: dict[ids.NodeId, dict[str, int]] = {}
        demands, self._demands = self._demands, {}
        for key, (count, at) in demands.items():
            if now - at > _DEMAND_SECONDS:
                continue
            limit = self._find(key)
            if limit is None:
                continue
            missing = count - self._count_tokens(limit, now)
            others = self._list_other_holders(limit)
            others = [
                node for node in others if limit.retry_at.get(node, now) <= now
            ]
            parts = min(missing, len(others), _MAX_ASKED)
            for index in range(parts):
                # In turn: one of them may be down.
                node = others[(self._offset + limit.asked) % len(others)]
                if node not in wanted and len(wanted) >= _MAX_ASKED:
                    break
                limit.asked += 1
                # The first ones are asked for one more each.
                part = (missing + parts - 1 - index) // parts
                wanted.setdefault(node, {})[key] = part
        for serial, at in list(self._asked_at.items()):
            if now - at > _GRANT_SECONDS:
                del self._asked_at[serial]
        return {
            node: self._make_request(keys, now)
            for node, keys in wanted.items()
        }

    def _make_request(
        self, wanted: dict[str, int], now: float
    ) -> limits.ShareRequest:
        self._serial += 1
        self._asked_at[self._serial] = now
        return limits.ShareRequest(self._me, self._serial, wanted)

    def _list_other_holders(self, limit: _Limit) -> list[ids.NodeId]:
        return [node for node in limit.holders if node != self._me]

    def _find(self, key: str) -> _Limit | None:
        """Return the limit that messages name by a key."""
        name = key.removesuffix(_COLD_SUFFIX)
        group = self._cold if name != key else self._named
        return group.limits.get(ids.InstanceId(name))

    def grant(
        self, request: limits.ShareRequest, now: float
    ) -> limits.ShareGrant | None:
        """Take what another node asks for from this node's shares.

        Returns:
            The answer; None if nothing was asked for.
        """
        granted: dict[str, int] = {}
        retry_after: dict[str, float] = {}
        for key, count in request.wanted.items():
            limit = self._find(key)
            if (
                limit is None
                or not limit.applies(now)
                or not self._is_holder(limit, now)
            ):
                retry_after[key] = _NO_HOLDER_RETRY
                continue
            self._refill(limit, now)
            part = min(count, math.floor(limit.tokens))
            if part > 0:
                limit.tokens -= part
                granted[key] = part
            if part < count:
                retry_after[key] = self._schedule_retry(limit, now)
        if not granted and not retry_after:
            return None
        return limits.ShareGrant(
            request.serial, granted, self._me, retry_after
        )

    def _schedule_retry(self, limit: _Limit, now: float) -> float:
        """Return the seconds after which a node asks for a share again.

        The nodes are told different times, so that the messages are few and
        come evenly while many nodes wait.
        """
        rate = self._compute_rate(limit, now) / self._count_holders(limit, now)
        earliest = now + max(1.0 - limit.tokens, 0.0) / rate
        at = max(limit.next_asked_at, earliest)
        if at > now + _LONGEST_RETRY:
            at = min(earliest, now + _LONGEST_RETRY)
        limit.next_asked_at = at + 1.0 / (_ASKED_PER_TOKEN * rate)
        return at - now

    def note_grant(self, grant: limits.ShareGrant, now: float) -> int:
        """Record what a holder grants; return how many requests.

        A grant that is late, or comes twice, is void.
        """
        asked_at = self._asked_at.pop(grant.serial, None)
        if asked_at is None or now > asked_at + _GRANT_SECONDS:
            return 0
        for key, delay in grant.retry_after.items():
            limit = self._find(key)
            if limit is not None:
                limit.retry_at[grant.node] = now + min(delay, _LONGEST_RETRY)
        total = 0
        for key, count in grant.granted.items():
            limit = self._find(key)
            if limit is not None and count > 0:
                end = asked_at + _GRANT_SECONDS
                limit.granted = sorted((*limit.granted, *[end] * count))
                total += count
        return total

    # -- Output

    def list_reports(self, now: float) -> dict[str, limits.LimitReport]:
        """Return the limits to report to the other nodes."""
        found = {
            instance: limits.LimitReport(limit.rate, now - limit.observed_at)
            for instance, limit in self._named.limits.items()
            if now < limit.reported_until
        }
        for instance, limit in self._cold.limits.items():
            if now < limit.reported_until:
                end = limit.cold_until or 0.0
                found[f"{instance}{_COLD_SUFFIX}"] = limits.LimitReport(
                    limit.rate,
                    now - limit.observed_at,
                    max(end - limit.observed_at, 0.0),
                )
        return found


def _count_named_holders(rate: float | None) -> int:
    """Return how many nodes hold a limit that an upstream names."""
    applied = max(rate or 0.0, _MIN_RATE) * _USED_SHARE
    return _MIN_NAMED_HOLDERS + int(_NAMED_HOLDERS_PER_RATE * applied)


def _get_none(_: ids.InstanceId) -> float:
    return 0.0

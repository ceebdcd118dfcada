"""Shares of the limits that upstreams set on the requests of all nodes.

An upstream that is short of capacity names in its answers how many
requests a second it takes from all nodes together. Equal shares would
leave each of a hundred nodes one request in minutes, and no node could
tell soon that the limit has ended. Instead the few nodes that rank first
for the upstream hold its limit in equal shares, and all others leave it
alone. Every node knows the holders from the nodes that are ready, without
any further agreement.

A holder's requests show what the upstream says now. Changes, and from
time to time the present value, are reported to the other nodes with the
age of the answer, and the newest answer counts.
"""

from collections import abc
import math

import msgspec

from currantwall.state import ids
from currantwall.state import limits
from currantwall.state import rendezvous

__all__ = ["RateLimits"]

# Part of a limit that is used. The rest is a margin for nodes that disagree
# for a moment about which of them are ready.
_USED_SHARE = 0.75
# Nodes that hold a limit: a number, and more for each request a second.
# Each may send one request at any moment, so more of them would exceed the
# limit together, and fewer would often have no request for the upstream.
_MIN_HOLDERS = 2
_HOLDERS_PER_RATE = 2
# Lowest rate that is applied, in requests a second. Without any request
# nobody would notice that a limit has ended.
_MIN_RATE = 0.25
# Requests that a holder may send at once.
_BURST = 1.0
# Seconds for which a change is reported, and a value that is repeated.
_CHANGE_REPORT_SECONDS = 2.0
_REPEAT_REPORT_SECONDS = 1.0
# Seconds after a report until the value is repeated.
_REPEAT_INTERVAL = 10.0
# Seconds without any news of a limit after which further nodes, one by one,
# may send the upstream a request: its holders have none for it, or cannot
# be heard.
_SUCCESSION_DELAY = 15.0
# Seconds for which a limit is kept that has ended, so that an older report
# does not bring it back, or whose upstream is not listed.
_RETENTION = 30.0


class _Limit(msgspec.Struct):
    """The limit of one upstream.

    Attributes:
        rate: Requests a second; None if it has ended.
        observed_at: When the answer came that said so, at any node.
        reported_until: Until when this node reports it.
        rank: How many nodes hold the limit before this one does.
        tokens: Requests that this node may send now, in fractions.
        refilled_at: When `tokens` was computed.
    """

    rate: float | None
    observed_at: float
    rank: int
    refilled_at: float
    tokens: float = _BURST
    reported_until: float = -math.inf

    @property
    def applied_rate(self) -> float:
        """Return the requests a second that are shared out."""
        return max(self.rate or 0.0, _MIN_RATE) * _USED_SHARE


class RateLimits:
    """The limits of all upstreams, as one node knows them.

    All times are monotonic, in seconds.
    """

    def __init__(self, me: ids.NodeId) -> None:
        self._me = me
        self._limits: dict[ids.InstanceId, _Limit] = {}
        # The nodes that take requests; they hold the limits.
        self._nodes = frozenset((me,))

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
        known = self._limits.get(instance)
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
            instance = ids.InstanceId(name)
            known = self._limits.get(instance)
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
        limit = self._limits.get(instance)
        if limit is None:
            rank = self._count_before(instance, self._nodes)
            limit = _Limit(rate, observed_at, rank, now)
            self._limits[instance] = limit
            return limit
        if limit.rate != rate:
            self._refill(limit, now)
            # Only what this node has observed itself is reported.
            limit.reported_until = -math.inf
        limit.rate = rate
        limit.observed_at = observed_at
        return limit

    def note_nodes(self, nodes: abc.Iterable[ids.NodeId]) -> None:
        """Replace the nodes that take requests and hold the limits.

        Ranks are updated by the difference: a large fleet has hundreds of
        nodes and limits.
        """
        known, self._nodes = self._nodes, frozenset(nodes)
        added, removed = self._nodes - known, known - self._nodes
        if not added and not removed:
            return
        for instance, limit in self._limits.items():
            limit.rank += self._count_before(instance, added)
            limit.rank -= self._count_before(instance, removed)

    def _count_before(
        self, instance: ids.InstanceId, nodes: abc.Iterable[ids.NodeId]
    ) -> int:
        """Return how many of some nodes rank before this one."""
        own = rendezvous.score(instance, self._me)
        return sum(rendezvous.score(instance, node) > own for node in nodes)

    def expire(
        self, is_listed: abc.Callable[[ids.InstanceId], bool], now: float
    ) -> None:
        """Drop limits that ended long ago or whose upstream has gone.

        Args:
            is_listed: Returns whether an upstream is registered. Entries
                may be missing for a while during an outage of the store.
            now: Monotonic time.
        """
        for instance, limit in list(self._limits.items()):
            if now - limit.observed_at <= _RETENTION:
                continue
            if limit.rate is None or not is_listed(instance):
                del self._limits[instance]

    # -- Decisions

    def permits(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether this node may send an upstream a request now."""
        limit = self._limits.get(instance)
        if limit is None or limit.rate is None:
            return True
        if not self._is_holder(limit, now):
            return False
        self._refill(limit, now)
        return limit.tokens >= 1.0

    def is_holder(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether this node may send an upstream requests at all."""
        limit = self._limits.get(instance)
        if limit is None or limit.rate is None:
            return True
        return self._is_holder(limit, now)

    def note_request(self, instance: ids.InstanceId, now: float) -> None:
        """Take a request that is being sent from this node's share."""
        limit = self._limits.get(instance)
        if limit is not None and limit.rate is not None:
            self._refill(limit, now)
            limit.tokens -= 1.0

    def _is_holder(self, limit: _Limit, now: float) -> bool:
        if self._me not in self._nodes:
            return False
        silent = now - limit.observed_at - _SUCCESSION_DELAY
        successors = int(max(silent, 0.0) * limit.applied_rate)
        return limit.rank < self._count_holders(limit) + successors

    def _count_holders(self, limit: _Limit) -> int:
        wanted = _MIN_HOLDERS + int(_HOLDERS_PER_RATE * limit.applied_rate)
        return min(wanted, max(len(self._nodes), 1))

    def _refill(self, limit: _Limit, now: float) -> None:
        """Add the tokens of this node's share since the last call."""
        rate = limit.applied_rate / self._count_holders(limit)
        elapsed = max(now - limit.refilled_at, 0.0)
        limit.refilled_at = now
        limit.tokens = min(_BURST, limit.tokens + rate * elapsed)

    # -- Output

    def list_reports(self, now: float) -> dict[str, limits.LimitReport]:
        """Return the limits to report to the other nodes."""
        return {
            instance: limits.LimitReport(limit.rate, now - limit.observed_at)
            for instance, limit in self._limits.items()
            if now < limit.reported_until
        }

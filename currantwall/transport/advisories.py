"""Handles what the answers of upstreams ask of this node.

An upstream names its limit in every answer while it has one, asks for a
pause in a refusal, and says that it is cold or leaving. `coordination`
decides what follows (`ratelimits`, `coldness`, `withdrawals`); this module
tells it, and logs and counts what was asked.
"""

import typing

import msgspec

from currantwall.coordination.requests import balancing
from currantwall.protocol import advisories as advisories_protocol
from currantwall.protocol import names as names_module
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["Advisories", "Withdrawal"]

_LIMITED = "currantwall.answers.limited"
_PAUSED = "currantwall.answers.paused"
_LEAVING = "currantwall.answers.leaving"
_COLD = "currantwall.instances.cold"
# Largest number of instance names in one field of a log line.
_NAMES_LIMIT = 8


class Withdrawal(msgspec.Struct, frozen=True):
    """Why an upstream gets no requests.

    Attributes:
        is_leaving: Whether it is going to exit.
        pause: Seconds for which it wants none, otherwise.
    """

    is_leaving: bool = False
    pause: float = 0.0


class Advisories:
    """Passes on what upstreams ask of this node.

    Attributes:
        on_limit_changed: Called when an upstream has changed its limit, or
            has become cold or warm.
    """

    def __init__(
        self,
        balancer: balancing.Balancer,
        fleet: upstreams.Fleet,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: typing.Callable[[], float],
    ) -> None:
        self.on_limit_changed: typing.Callable[[], None] = _ignore
        self._balancer = balancer
        self._fleet = fleet
        self._names = names
        self._meter = meter
        self._log = log
        self._now = now

    def note_head(
        self,
        attempt: str,
        upstream: upstreams.Upstream,
        head: exchanges.Head,
    ) -> None:
        """Record what the head of an answer asks.

        An answer from another server than the one meant says nothing of
        it.

        Args:
            attempt: Id of the request, for the log.
            upstream: The upstream that was meant.
            head: The head.
        """
        if head.status == exchanges.MISDIRECTED:
            return
        now = self._now()
        self._note_limit(attempt, upstream, head, now)
        self._note_cold(attempt, upstream, head, now)
        self._note_withdrawal(attempt, upstream, head, now)

    def _note_limit(
        self,
        attempt: str,
        upstream: upstreams.Upstream,
        head: exchanges.Head,
        now: float,
    ) -> None:
        """Record the limit that an upstream names, or no longer names."""
        limit = advisories_protocol.parse_limit(head.headers, self._names)
        if limit is not None:
            self._meter.add(_LIMITED, 1)
        limits = self._balancer.limits
        if not limits.note_answer(upstream.id, limit, now):
            return
        self._log.write(
            "limit_changed",
            request=attempt,
            upstream=upstream.id,
            limit=limit,
            is_holder=limits.is_holder(upstream.id, now),
            list_age=self._fleet.get_age(now),
        )
        self.on_limit_changed()

    def _note_cold(
        self,
        attempt: str,
        upstream: upstreams.Upstream,
        head: exchanges.Head,
        now: float,
    ) -> None:
        """Record for how long an upstream stays cold."""
        left = advisories_protocol.parse_cold(head.headers, self._names)
        if left is None:
            return
        self._note_cold_left(upstream, left, attempt, now)

    def find_withdrawal(
        self, upstream: upstreams.Upstream
    ) -> Withdrawal | None:
        """Return what keeps requests from an upstream; None if nothing does.

        The list and all answers that have passed through this node count.
        """
        known = self._balancer.withdrawals
        if upstream.leaving or known.is_leaving(upstream):
            return Withdrawal(is_leaving=True)
        pause = known.get_remaining(upstream.id, self._now())
        return Withdrawal(pause=pause) if pause else None

    def note_report(self, upstream: upstreams.Upstream) -> None:
        """Record for how long an instance's report says it is cold."""
        if upstream.tells_coldness:
            now = self._now()
            self._note_cold_left(upstream, upstream.cold_left, None, now)

    def _note_cold_left(
        self,
        upstream: upstreams.Upstream,
        left: float,
        request: str | None,
        now: float,
    ) -> None:
        if not self._balancer.coldness.note_answer(upstream, left, now):
            return
        if left > 0:
            self._meter.add(_COLD, 1)
        self._log.write(
            "upstream_cold",
            request=request,
            upstream=upstream.id,
            left=left,
            list_age=self._fleet.get_age(now),
        )
        self.on_limit_changed()

    def note_services(self) -> None:
        """Record the cold instances that the list already has."""
        self._balancer.coldness.note_services(self._now())

    def note_change(self, change: upstreams.Change, has_list: bool) -> None:
        """Record the instances that the list says are cold.

        Args:
            change: Difference that the list made.
            has_list: Whether this node knew a list before.
        """
        cold = self._balancer.coldness.note_change(
            change,
            has_list and self._balancer.has_seen_traffic,
            self._now(),
        )
        if cold:
            self._meter.add(_COLD, len(cold))
            self._log.write(
                "upstreams_cold",
                upstreams=sorted(cold)[:_NAMES_LIMIT],
                count=len(cold),
                revision=revisions.describe(self._fleet.revision),
            )

    def _note_withdrawal(
        self,
        attempt: str,
        upstream: upstreams.Upstream,
        head: exchanges.Head,
        now: float,
    ) -> None:
        """Record that an upstream wants no requests, for a time or at all."""
        pause = advisories_protocol.parse_retry_after(
            head.status, head.headers
        )
        is_leaving = advisories_protocol.is_leaving(head.headers, self._names)
        if pause is None and not is_leaving:
            return
        withdrawals = self._balancer.withdrawals
        if pause is not None:
            self._meter.add(_PAUSED, 1)
            withdrawals.note_pause(upstream.id, pause, now)
        if is_leaving:
            self._meter.add(_LEAVING, 1)
            withdrawals.note_leaving(upstream, now)
        self._log.write(
            "upstream_withdrawn",
            request=attempt,
            upstream=upstream.id,
            pause=pause,
            leaving=is_leaving,
            list_age=self._fleet.get_age(now),
        )


def _ignore() -> None:
    return

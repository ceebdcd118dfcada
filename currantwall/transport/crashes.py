"""Finds crashes of upstreams, and refuses the requests that cause them.

`coordination.requests.quarantine` decides which requests and parts of prompts
are kept from upstreams. This module records the attempts for it, checks
whether an upstream that broke off an answer has crashed, and carries its
decisions out.
"""

from collections import abc

import eventlet
import eventlet.event

from currantwall.coordination.replicas import knowledge
from currantwall.coordination.requests import endings
from currantwall.coordination.requests import quarantine as quarantine_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import ports
from currantwall.transport import requests

__all__ = ["REASON", "Crashes"]

# Text of the answer to a request with a quarantined part.
REASON = "this request, or a part of its prompt, crashes upstreams"
# Seconds between two checks of an upstream that has not answered.
_CHECK_INTERVAL = 0.2
# Seconds for which an upstream that has crashed counts as such.
_CRASHED_TTL = 0.5
_CRASHES = "currantwall.crashes"
_ENDS = "currantwall.answers.unframed_ends"
_QUARANTINED = "currantwall.parts.quarantined"
_CLEARED = "currantwall.parts.cleared"
_REFUSED = "currantwall.parts.refused"


class _Check:
    """A check whether an upstream has crashed."""

    def __init__(self, started: float) -> None:
        self.started = started
        self.result = eventlet.event.Event()

    def may_tell(self, since: float) -> bool:
        """Return whether its result may hold for a later attempt.

        Args:
            since: Monotonic time at which the attempt was broken off.
        """
        if self.started >= since or not self.result.ready():
            return True
        is_recent = since - self.started <= _CRASHED_TTL
        return is_recent and self.result.wait() is endings.Finding.ENDED


class Crashes:
    """Records attempts and their ends for the quarantine.

    Attributes:
        quarantine: The quarantined parts.
        on_change: Called when there is something to report to other nodes.
        on_quarantined: Called with each part that is quarantined.
    """

    def __init__(
        self,
        quarantine: quarantine_module.Quarantine,
        engines: ports.Engines,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        self.quarantine = quarantine
        self._engines = engines
        self._meter = meter
        self._log = log
        self._now = now
        self._endings = endings.Endings()
        # By upstream and start of its process: what is found out about one
        # life of an upstream tells nothing about another.
        self._checks: dict[tuple[ids.InstanceId, int], _Check] = {}
        # The attempts in progress.
        self._attempts: dict[int, tuple[requests.Request, requests.Attempt]]
        self._attempts = {}
        self.on_change: abc.Callable[[], None] = _ignore
        self.on_quarantined: abc.Callable[[ids.PartId], None] = _ignore_part
        quarantine.on_quarantined = self._note_quarantined
        quarantine.on_cleared = self._note_cleared

    # -- Requests

    def check(self, request: requests.Request) -> None:
        """Check that a request may be sent to an upstream.

        Raises:
            requests.Refused: It is quarantined, or a part of its prompt
                is. The status is 503 if the request has not run, else 502.
        """
        retry_after = self.quarantine.find_retry_after(
            request.prompt.causes, self._now()
        )
        if retry_after is None:
            return
        self._meter.add(_REFUSED, 1)
        status = 502 if request.progress.runs else 503
        raise requests.Refused(status, REASON, retry_after, is_lasting=True)

    def begin(
        self, request: requests.Request, current: requests.Attempt
    ) -> None:
        """Record an attempt that is being sent."""
        current.exposure = self.quarantine.expose(
            current.upstream.id,
            request.prompt,
            current.sent_at,
            current.upstream.born,
            is_repeat=request.progress.runs > 0,
        )
        self._attempts[current.exchange.number] = request, current

    def note_data(self, current: requests.Attempt) -> None:
        """Record that a part of the answer has arrived."""
        if current.exposure is not None:
            self.quarantine.note_event(
                current.exposure, current.last_message_at
            )

    def end(self, current: requests.Attempt, is_answered: bool) -> None:
        """Record the end of an attempt.

        Args:
            current: The attempt.
            is_answered: Whether its answer is known to be complete.
        """
        if current.exposure is not None:
            self.quarantine.end(current.exposure, is_answered)
            self._attempts.pop(current.exchange.number, None)

    def note_unreached(self, current: requests.Attempt) -> None:
        """Record that an attempt has not run at its upstream."""
        if current.exposure is not None and current.exposure.trials:
            self.quarantine.note_unreached(current.exposure, self._now())
            self.on_change()

    # -- Crashes

    def note_break(
        self, request: requests.Request, current: requests.Attempt
    ) -> bool:
        """Report a crash if that is why an attempt was broken off.

        Waits for the result if it decides whether the request is repeated.

        Failure: a request that has crashed two upstreams crashes one that
        had just started again. Whether that counts is known once the list
        has the new start, and the repeat crashes the next one until then.

        Returns:
            Whether the request may have crashed this upstream after others,
            so that it is not to be repeated.
        """
        exposure = current.exposure
        if exposure is None:
            return False
        at = self._now()
        path = request.service.health_path
        if self.quarantine.is_suspected(request.prompt.causes):
            is_suspect = self.quarantine.is_suspected(
                (request.prompt.fingerprint,)
            )
            is_crash = self._report_crash(exposure, current, path, at)
            return is_suspect and is_crash
        eventlet.spawn_n(self._report_crash, exposure, current, path, at)
        return False

    def note_loss(self, epoch_id: str) -> None:
        """Report the attempts at a leader whose replica lost a member.

        Failure: a request ends a member of each replica that it comes to.
        The leader lives on and breaks its answer off much later.
        """
        lost = [
            (request, current)
            for request, current in self._attempts.values()
            if current.upstream.epoch_id == epoch_id
        ]
        for _, current in lost:
            if current.exposure is not None:
                self.quarantine.note_own_loss(current.exposure, self._now())
        if lost:
            self.on_change()

    def _report_crash(
        self,
        exposure: quarantine_module.Exposure,
        current: requests.Attempt,
        health_path: str,
        at: float,
    ) -> bool:
        """Report a crash; return whether it is one."""
        if not self._is_crash(current, health_path):
            return False
        self._meter.add(_CRASHES, 1)
        self._log.write(
            "upstream_crashed",
            upstream=current.upstream.id,
            attempt=current.exchange.number,
            after=round(at - current.sent_at, 4),
            parts=exposure.prompt.parts,
            fingerprint=exposure.prompt.fingerprint,
        )
        self.quarantine.note_own_crash(exposure, at, self._now())
        self.on_change()
        return True

    def _is_crash(self, current: requests.Attempt, health_path: str) -> bool:
        """Return whether an attempt was broken off by a crash.

        Only the peer that forwards one has a path to its upstream.
        """
        if current.peer is not None:
            return current.failed_step == exchanges.CRASH
        return self.has_crashed(current.upstream, health_path)

    def has_crashed(
        self, upstream: upstreams.Upstream, health_path: str
    ) -> bool:
        """Return whether an upstream has ended, or started again since.

        Failure: a connection is reset, or an upstream breaks off a single
        answer, or is silent for a moment, and that is taken for a crash.

        Args:
            upstream: The upstream, as known when the request was sent.
            health_path: Path at which it tells its health; empty if there
                is none.
        """
        finding = self._find_state(upstream, health_path)
        return finding is endings.Finding.ENDED

    def _find_state(
        self, upstream: upstreams.Upstream, health_path: str
    ) -> endings.Finding:
        """Check an upstream, unless a check for another attempt tells."""
        since = self._now()
        life = upstream.id, upstream.born
        while True:
            check = self._checks.get(life)
            if check is None or not check.may_tell(since):
                check = self._checks[life] = _Check(self._now())
                eventlet.spawn_n(self._run_check, upstream, health_path, check)
            finding: endings.Finding = check.result.wait()
            # An upstream that was alive before may have crashed since.
            if finding is endings.Finding.ENDED or check.started >= since:
                return finding

    def is_ended_by_crash(
        self, upstream: upstreams.Upstream, health_path: str, until: float
    ) -> bool:
        """Return whether a crash may have ended an answer without framing.

        Failure: the upstream crashes between two events, its connection is
        closed in order, and half a stream looks complete. The kernel may
        accept another connection before it closes the listening socket, so
        that only an answer proves that the process lives.

        Args:
            upstream: The upstream, as known when the request was sent.
            health_path: Path at which it tells its health, by the
                configuration with which the request was admitted; empty
                if there is none.
            until: Monotonic time until which to repeat a check without
                an answer.
        """
        started = self._now()
        finding = self._find_state(upstream, health_path)
        while finding is endings.Finding.UNKNOWN:
            if self._now() + _CHECK_INTERVAL >= until:
                break
            eventlet.sleep(_CHECK_INTERVAL)
            finding = self._find_state(upstream, health_path)
        self._meter.add(_ENDS, 1, finding.value)
        self._log.write(
            "unframed_answer_ended",
            upstream=upstream.id,
            found=finding.value,
            after=round(self._now() - started, 4),
        )
        return finding is not endings.Finding.ALIVE

    def _run_check(
        self, upstream: upstreams.Upstream, health_path: str, check: _Check
    ) -> None:
        finding = endings.Finding.UNKNOWN
        try:
            finding = self._probe(upstream, health_path)
        finally:
            check.result.send(finding)

    def _probe(
        self, upstream: upstreams.Upstream, health_path: str
    ) -> endings.Finding:
        finding = None
        if self._endings.may_report(upstream):
            found = self._request_report(upstream)
            finding = self._endings.judge_report(upstream, found)
        if finding is not None:
            return finding
        if not health_path:
            return endings.Finding.UNKNOWN
        result = self._engines.check_health(upstream, health_path)
        return self._endings.judge_health(upstream, result)

    def _request_report(
        self, upstream: upstreams.Upstream
    ) -> upstreams.Upstream | knowledge.ProbeResult:
        if upstream.leaving:
            # It may no longer listen, and still answer on open connections.
            found = self._engines.report(upstream, False)
            if isinstance(found, upstreams.Upstream):
                return found
        return self._engines.report(upstream, True)

    def note_change(
        self, change: upstreams.Change, at: float, wall: float
    ) -> None:
        """Record the starts of processes that the list has now.

        Args:
            change: Difference that the list made.
            at: The present monotonic time.
            wall: The present time in Unix seconds.
        """
        for upstream in change.new:
            started = at - (wall - upstream.born / 1000.0)
            if self.quarantine.note_start(
                upstream.id, upstream.born, started, at
            ):
                self.on_change()

    # -- Decisions

    def _note_quarantined(self, part: ids.PartId) -> None:
        self._meter.add(_QUARANTINED, 1)
        self._log.write("part_quarantined", part=part)
        self._abort_attempts(part)
        self.on_quarantined(part)

    def _abort_attempts(self, part: ids.PartId) -> None:
        """End the attempts with a part that have not begun to be answered.

        Failure: requests that wait at upstreams crash them one by one.
        """
        for number, (request, current) in list(self._attempts.items()):
            if part not in request.prompt.causes or request.inbox.full():
                continue
            if current.exposure is None or current.exposure.begun_at is None:
                failed = exchanges.Failed(
                    number, True, exchanges.QUARANTINE, REASON
                )
                request.inbox.put(failed)

    def _note_cleared(self, part: ids.PartId) -> None:
        self._meter.add(_CLEARED, 1)
        self._log.write("part_cleared", part=part)
        self.on_change()

    # -- Removal of outdated state

    def expire(self) -> None:
        """Remove what is too old to matter."""
        now = self._now()
        self.quarantine.expire(now)
        for life, check in list(self._checks.items()):
            if check.result.ready() and now - check.started > _CRASHED_TTL:
                del self._checks[life]


def _ignore() -> None:
    return


def _ignore_part(_: ids.PartId) -> None:
    return

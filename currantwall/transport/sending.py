"""Sends a request to an upstream, and again to another one if it fails.

`coordination` decides which upstream to use (`balancing`), whether to
retry (`attempts`) and whether the repeat budget allows it (`budgets`).
This module carries these decisions out and logs each failed attempt and
each answer.
"""

from collections import abc
import http
import itertools
import typing

import eventlet
import eventlet.queue
import urllib3

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.coordination.requests import paths as paths_module
from currantwall.protocol import names as names_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import advisories as advisories_module
from currantwall.transport import crashes as crashes_module
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import paths as path_checks
from currantwall.transport import peerexchanges
from currantwall.transport import queues
from currantwall.transport import requests

__all__ = [
    "ANSWERS",
    "CUT_SHORT",
    "STOPPING",
    "Sender",
    "drop_hop_headers",
]

Failure = attempts.Failure
Verdict = attempts.Verdict
Reply = ingress.Reply

ANSWERS = "currantwall.answers"
# Cause of a failed attempt whose answer a crash may have ended.
CUT_SHORT = "body: ended by the end of its upstream"
# Reason of the answers that are given because this process ends.
STOPPING = "stopping"
# Failures for which no connection was opened.
_UNOPENED = (Failure.UNREACHED, Failure.NO_PATH)
_EXCESSIVE = "currantwall.answers.excessive"
_EXHAUSTED = "currantwall.attempts.exhausted"
_ATTEMPTS_FAILED = "currantwall.attempts.failed"
_DURATION = "currantwall.answers.duration"
# Seconds between two attempts to choose an upstream for a broken stream.
_CHOOSE_INTERVAL = 0.05
# Seconds subtracted from the caller's remaining time before it is sent to
# an upstream, which must never be given more time than the caller has.
_BUDGET_MARGIN = 0.004
# Failures that a node without a path to any upstream sees.
_PATH_FAILURES = (Failure.UNREACHED, Failure.STALLED, Failure.LOST)
# Refusal while no node has a path, and seconds until the caller may retry.
_NO_PATH = "no path to any upstream"
_NO_PATH_RETRY_AFTER = 0.5
# Seconds until the caller may retry after a refusal by a peer that knows of
# a quarantined part which this node has not heard of yet.
_QUARANTINE_RETRY_AFTER = 1.0
# Seconds until the caller may retry if this node has no descriptor left.
_EXHAUSTED_RETRY_AFTER = 0.5
# Ranks by which an engine admits requests, from 0 (first) to 9.
_RANK_RESUMED = 1
_RANK_IN_TIME = 4
_RANK_LATE = 7
# Headers that apply to a single connection and are not forwarded.
_HOP_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)


class Sender:
    """Sends requests to upstreams and records how the attempts end.

    Attributes:
        fleet_age: Returns the age of the list of upstreams, in seconds, at
            a monotonic time.
        on_probe_requested: Called with an upstream that is silent or
            can't be reached.
    """

    def __init__(
        self,
        balancer: balancing.Balancer,
        budget: budgets.RepeatBudget,
        paths: paths_module.Paths,
        checks: path_checks.PathChecks,
        connections: exchanges.Connections,
        peer_connections: exchanges.Connections,
        queue: queues.Queue,
        advisories: advisories_module.Advisories,
        crashes: crashes_module.Crashes,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: typing.Callable[[], float],
    ) -> None:
        self.names = names
        self.now = now
        self.fleet_age: typing.Callable[[float], float | None] = lambda _: None
        self.on_probe_requested: typing.Callable[[ids.InstanceId], None] = (
            _ignore
        )
        self._balancer = balancer
        self._budget = budget
        self._paths = paths
        self._checks = checks
        self._connections = connections
        self._peer_connections = peer_connections
        self._queue = queue
        self._advisories = advisories
        self._crashes = crashes
        self._meter = meter
        self._log = log
        self._exchange_numbers = itertools.count(1)
        # Monotonic time at which each upstream last sent anything here.
        self._last_message_times: dict[ids.InstanceId, float] = {}
        # Inboxes of the attempts in progress, by `Upstream.epoch_id` and by
        # the number of the exchange.
        self._active: dict[str, dict[int, eventlet.queue.LightQueue]] = {}

    def note_request(self, request: requests.Request) -> None:
        """Count a caller's request for the repeat budget."""
        self._budget.note_request(
            request.service.name, request.inbound.received
        )

    def get_last_message_time(self, instance: ids.InstanceId) -> float:
        """Return the monotonic time of an upstream's last message, or 0."""
        return self._last_message_times.get(instance, 0.0)

    def forget(self, present: typing.Container[ids.InstanceId]) -> None:
        """Remove the state of upstreams that are no longer listed."""
        for instance in list(self._last_message_times):
            if instance not in present:
                del self._last_message_times[instance]

    def send(
        self, request: requests.Request, wait: float = 0.0
    ) -> requests.Attempt:
        """Start the next attempt of a request.

        Args:
            request: The request.
            wait: Seconds to wait for a usable upstream. Ignored for a
                request that is queued first.

        Raises:
            requests.Refused: No upstream can or may take the request.
        """
        self._crashes.check(request)
        if self._paths.is_lost and not self._paths.is_cut_off(self.now()):
            # No other node has a path either.
            raise self.make_refusal(request, _NO_PATH, _NO_PATH_RETRY_AFTER)
        if request.model is not None and not request.progress.runs:
            return self._send_queued(request)
        started = self.now()
        while True:
            now = self.now()
            chosen = self._balancer.choose(
                request.service.name,
                request.model,
                request.tried,
                f"{request.attempt_id}{request.progress.sends}",
                now,
            )
            if isinstance(chosen, upstreams.Upstream):
                self._crashes.check(request)
                self._balancer.begin(chosen.id, now)
                return self._start_attempt(request, chosen, now)
            deadline = min(
                started + max(wait, chosen.share_wait), request.deadline
            )
            if now + _CHOOSE_INTERVAL >= deadline or request.disconnected:
                raise self.make_refusal(
                    request, chosen.reason, chosen.retry_after
                )
            eventlet.sleep(_CHOOSE_INTERVAL)

    def _send_queued(self, request: requests.Request) -> requests.Attempt:
        """Wait in the queue for a free slot, then start an attempt.

        A broken stream is not queued again: its caller has received a
        part of it, and waiting would lengthen the pause.
        """
        try:
            chosen = self._queue.acquire_slot(request)
        except requests.CallerDisconnected:
            raise self.make_refusal(request, "the caller left", 0.0) from None
        if isinstance(chosen, balancing.Unavailable):
            self._crashes.check(request)
            raise self.make_refusal(request, chosen.reason, chosen.retry_after)
        try:
            self._crashes.check(request)
        except requests.Refused:
            self._balancer.end(chosen.id)
            self._queue.note_end(chosen)
            raise
        return self._start_attempt(request, chosen, self.now())

    def _start_attempt(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        now: float,
    ) -> requests.Attempt:
        request.progress.sends += 1
        request.tried.add(upstream.epoch_id)
        inbound = request.inbound
        outbound = exchanges.Outbound(
            method=inbound.method,
            target=inbound.target,
            headers=self._make_headers(request, upstream, now),
            body=inbound.body or _make_empty_body(inbound),
            attempt_id=request.attempt_id,
            timeout=max(0.05, request.deadline - now),
            new_connection=not request.route.is_idempotent,
            send_by=self._balancer.evacuations.get_send_deadline(
                upstream.datacentre
            ),
            health_path=request.service.health_path,
        )
        peer = None
        if self._paths.is_lost:
            peer = self._paths.choose_peer(
                f"{request.attempt_id}{request.progress.sends}", now
            )
        exchange = self._make_exchange(request, upstream, outbound, peer)
        active = self._active.setdefault(upstream.epoch_id, {})
        active[exchange.number] = request.inbox
        attempt = requests.Attempt(
            upstream=upstream,
            exchange=exchange,
            sent_at=now,
            last_message_at=now,
            peer=peer.id if peer is not None else None,
            was_suspect=(
                upstream.seat is not None
                or self._balancer.reachability.is_suspect(upstream)
            ),
        )
        self._crashes.begin(request, attempt)
        return attempt

    def _make_exchange(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        outbound: exchanges.Outbound,
        peer: presence_module.NodeEntry | None,
    ) -> exchanges.Exchange:
        """Start an exchange, by way of a peer if there is one."""
        number = next(self._exchange_numbers)
        options = (upstream.id, upstream.address, outbound, request.inbox)
        backlog = request.inbound.backlog
        if peer is None:
            return exchanges.Exchange(
                number, *options, self._connections, self.names, backlog
            )
        return peerexchanges.PeerExchange(
            peer,
            number,
            *options,
            self._peer_connections,
            self.names,
            backlog,
        )

    def note_first(
        self, request: requests.Request, current: requests.Attempt
    ) -> None:
        """Record an attempt's first event and how long it took."""
        current.begun_at = current.last_message_at
        self._queue.note_first(
            request, current.last_message_at - current.sent_at
        )

    def note_success(self, current: requests.Attempt) -> None:
        """Record that an attempt succeeded."""
        self._balancer.note_success(current.upstream.id)

    def note_loss(self, epoch_id: str) -> None:
        """Tell all attempts at a leader that its replica lost a member.

        Failure: such a leader stalls silently for seconds. Its requests
        are retried elsewhere as soon as the loss is known.
        """
        self._crashes.note_loss(epoch_id)
        for number, inbox in self._active.get(epoch_id, {}).items():
            failed = exchanges.Failed(
                number, True, exchanges.VERDICT, "member lost"
            )
            if not inbox.full():
                inbox.put(failed)

    def _make_headers(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        now: float,
    ) -> tuple[tuple[str, str], ...]:
        names = self.names
        replaced = {
            names.budget.lower(),
            names.instance.lower(),
            names.organisation.lower(),
            names.last_event.lower(),
        }
        if request.model is not None:
            replaced.add(names.priority.lower())
        if request.carries_key:
            replaced.add("authorization")
        connection = request.inbound.headers.get("connection", "")
        hop_by_hop = {
            option.strip().lower()
            for option in connection.split(",")
            if option.strip()
        }
        headers = [
            (name, value)
            for name, value in request.inbound.headers.iteritems()
            if name.lower() not in _HOP_HEADERS
            and name.lower() not in replaced
            and name.lower() not in hop_by_hop
        ]
        remaining = request.deadline - now - _BUDGET_MARGIN
        headers.append((names.budget, str(max(1, int(remaining * 1000)))))
        headers.append((names.instance, upstream.id))
        if request.model is not None:
            headers.append((names.priority, str(self._choose_rank(request))))
        if request.organisation is not None:
            headers.append((names.organisation, request.organisation.name))
        if request.last_event:
            headers.append((names.last_event, request.last_event))
        return tuple(headers)

    def _choose_rank(self, request: requests.Request) -> int:
        """Return the rank by which an engine admits a request.

        A broken stream is admitted before all other requests: its caller
        has received a part of it and waits for the next event.
        """
        if request.progress.runs:
            return _RANK_RESUMED
        if self._queue.is_late(request):
            return _RANK_LATE
        return _RANK_IN_TIME

    def end_attempt(
        self, current: requests.Attempt, is_answered: bool = False
    ) -> None:
        """Remove an attempt from the counts of attempts in progress.

        Further calls have no effect.

        Args:
            current: The attempt.
            is_answered: Whether its answer is known to be complete.
        """
        if not current.is_ended:
            current.is_ended = True
            self._crashes.end(current, is_answered)
            self._balancer.end(current.upstream.id)
            epoch_id = current.upstream.epoch_id
            active = self._active.get(epoch_id, {})
            active.pop(current.exchange.number, None)
            if not active:
                self._active.pop(epoch_id, None)
            self._queue.note_end(current.upstream)

    def fail_attempt(
        self,
        request: requests.Request,
        current: requests.Attempt,
        failure: Failure,
        why: str,
    ) -> None:
        """Record a failed attempt, and decide whether to retry.

        Args:
            request: The request.
            current: The attempt.
            failure: How it failed.
            why: The cause, for the log and the caller.

        Raises:
            requests.Refused: The request is not retried.
        """
        current.exchange.cancel()
        self.end_attempt(current)
        has_path = self._has_path(current, failure)
        if failure is Failure.UNREACHED and not has_path:
            failure = Failure.NO_PATH
        now = self.now()
        if not failure.may_have_run:
            self._crashes.note_unreached(current)
        elif not current.is_held:
            request.progress.runs += 1
        if failure is Failure.NO_PATH:
            request.tried.discard(current.upstream.epoch_id)
        is_cause = False
        if failure is not Failure.NO_PATH and has_path:
            self._note_failure(current.upstream, failure, now)
            if failure is Failure.LOST:
                is_cause = self._crashes.note_break(request, current)
        is_free = failure in _UNOPENED and not current.was_suspect
        request.progress.unopened += is_free
        verdict = Verdict.GIVE_UP
        # The check of the path may have taken longer than there is time.
        if not is_cause and now < request.deadline:
            verdict = self._decide(request, failure, now, is_free)
        self._log_failure(request, current, failure, why, verdict)
        if verdict is Verdict.GIVE_UP:
            raise self.make_refusal(request, why, 0.3)

    def _decide(
        self,
        request: requests.Request,
        failure: Failure,
        now: float,
        is_free: bool = False,
    ) -> Verdict:
        """Return whether to send a request again; take that from the budget.

        Args:
            request: The request.
            failure: How its last attempt failed.
            now: Monotonic time.
            is_free: Whether no connection was opened, to an upstream that
                was not known as unreachable.
        """
        verdict = attempts.decide(
            request.route, failure, request.progress, is_free
        )
        if verdict is Verdict.REPEAT_PAID and not self._budget.take(
            request.service.name, now
        ):
            return Verdict.GIVE_UP
        return verdict

    def _log_failure(
        self,
        request: requests.Request,
        current: requests.Attempt,
        failure: Failure,
        why: str,
        verdict: Verdict,
    ) -> None:
        """Count and log a failed or silent attempt."""
        now = self.now()
        seat = current.upstream.seat
        begun_at = current.begun_at
        self._meter.add(_ATTEMPTS_FAILED, 1, failure.value)
        self._log.write(
            "attempt_failed",
            request=request.attempt_id,
            route=request.route.name,
            upstream=current.upstream.id,
            replica=seat.replica if seat else None,
            failure=failure.value,
            peer=current.peer,
            why=why,
            after=round(now - current.sent_at, 4),
            begun=None if begun_at is None else round(now - begun_at, 4),
            parts=request.prompt.parts,
            fingerprint=request.prompt.fingerprint,
            list_age=self.fleet_age(now),
            is_held=current.is_held and not current.is_ended,
            verdict=verdict.value,
        )

    def _has_path(self, current: requests.Attempt, failure: Failure) -> bool:
        """Return whether a failed attempt may count against its upstream."""
        if failure is Failure.NO_PATH:
            return False
        if current.peer is not None or failure not in _PATH_FAILURES:
            return True
        return self._checks.verify(current.last_message_at)

    def _note_failure(
        self, upstream: upstreams.Upstream, failure: Failure, now: float
    ) -> None:
        """Count a failure against its upstream."""
        if failure is Failure.NOT_RUN:
            self._balancer.note_refusal(upstream, now)
        elif failure is Failure.MISDIRECTED:
            self._balancer.note_misdirected(upstream, now)
        elif failure is Failure.STALLED:
            self._balancer.note_silence(upstream, now)
        elif failure is Failure.UNREACHED and upstream.seat is None:
            self._balancer.reachability.note_unreached(upstream, now)
        else:
            avoid = failure is Failure.UNREACHED
            self._balancer.note_failure(upstream, now, avoid)
        if failure is Failure.LOST and upstream.seat is None:
            self._balancer.note_lost_answer(upstream.id, now)
        if failure in (Failure.STALLED, Failure.UNREACHED, Failure.LOST):
            self.on_probe_requested(upstream.id)

    def make_refusal(
        self, request: requests.Request, why: str, retry_after: float
    ) -> requests.Refused:
        """Return the error for a request that no upstream has answered."""
        in_time = self.now() < request.deadline
        ending = attempts.choose_ending(request.progress, in_time)
        if ending is attempts.Ending.REFUSED:
            return requests.Refused(503, why, retry_after)
        if ending is attempts.Ending.BAD_GATEWAY:
            return requests.Refused(502, why)
        return requests.Refused(504, why)

    def receive_message(
        self,
        request: requests.Request,
        current: abc.Collection[requests.Attempt],
        until: float,
    ) -> typing.Any:
        """Return the next message of some attempts of a request.

        Messages of its other attempts are dropped.

        Args:
            request: The request.
            current: The attempts.
            until: Monotonic time at which to stop waiting.

        Returns:
            The message; None if there was none in time.

        Raises:
            requests.CallerDisconnected: The caller closed its connection.
            requests.Refused: This process ends.
        """
        by_number = {one.exchange.number: one for one in current}
        while True:
            wait = until - self.now()
            try:
                message = request.inbox.get(timeout=max(wait, 0.0))
            except eventlet.queue.Empty:
                return None
            if isinstance(message, requests.Disconnected):
                if message.may_read and request.must_complete:
                    continue
                raise requests.CallerDisconnected
            if isinstance(message, requests.Stopping):
                raise self._end_stopped(request, current)
            if isinstance(message, exchanges.Data):
                request.note_taken(len(message.data))
            attempt = by_number.get(message.exchange)
            if attempt is not None:
                self._note_message(request, attempt, message)
                return message

    @staticmethod
    def is_unopened(current: requests.Attempt) -> bool:
        """Return whether an attempt still waits for its connection.

        One that was opened while this process stood still is found here.
        """
        eventlet.sleep(0)
        return not current.exchange.may_have_sent

    def _end_stopped(
        self,
        request: requests.Request,
        current: abc.Collection[requests.Attempt],
    ) -> requests.Refused:
        """End all attempts because this process ends; return the error."""
        for attempt in current:
            self.drop_attempt(request, attempt)
        return self.make_refusal(request, STOPPING, 0.0)

    def _note_message(
        self,
        request: requests.Request,
        current: requests.Attempt,
        message: typing.Any,
    ) -> None:
        """Record what a message tells of its upstream."""
        now = self.now()
        instance = current.upstream.id
        if isinstance(message, exchanges.Failed):
            if message.step != exchanges.VERDICT:
                current.last_message_at = now
            return
        pause = now - current.last_message_at
        current.last_message_at = now
        self._last_message_times[instance] = now
        if isinstance(message, exchanges.Data):
            self._crashes.note_data(current)
        elif isinstance(message, exchanges.Head):
            if current.peer is None:
                self._balancer.reachability.note_opened(instance, now)
            self._advisories.note_head(
                request.attempt_id, current.upstream, message
            )
        if current.is_held:
            self._balancer.note_awake(current.upstream)
        elif current.begun_at is not None:
            self._balancer.note_pause(instance, pause, now)

    def is_cut_short(
        self, request: requests.Request, current: requests.Attempt
    ) -> bool:
        """Return whether a crash may have ended an answer.

        Nothing but the end of its connection may mark the end of an
        answer, and the kernel of an upstream that dies closes it in order.
        The peer that forwards an attempt finds out by itself.
        """
        if current.framing is not exchanges.Framing.CLOSE or current.peer:
            return False
        until = self.now() if self.may_retry(request) else request.deadline
        return self._crashes.is_ended_by_crash(
            current.upstream, request.service.health_path, until
        )

    def may_retry(self, request: requests.Request) -> bool:
        """Return whether a request may still be retried after a failure."""
        route = request.route
        return route.is_idempotent and (
            request.progress.runs + 1 < route.attempts
        )

    def may_replace(
        self, request: requests.Request, current: requests.Attempt
    ) -> bool:
        """Return whether another attempt may take the place of a silent one.

        Failure: the budget for repeats is used up, or no other upstream is
        left, and a request whose upstream would have answered it ends with
        an error.
        """
        now = self.now()
        if not self._budget.has_repeat(request.service.name, now):
            return False
        chosen = self._balancer.choose(
            request.service.name,
            request.model,
            request.tried,
            request.attempt_id,
            now,
        )
        return isinstance(chosen, upstreams.Upstream)

    def hold_attempt(
        self, request: requests.Request, current: requests.Attempt, why: str
    ) -> bool:
        """Record that an attempt is silent, and leave it open.

        Args:
            request: The request.
            current: The attempt.
            why: The cause, for the log.

        Returns:
            Whether another attempt may be started beside it.
        """
        current.is_held = True
        request.progress.runs += 1
        has_path = self._has_path(current, Failure.STALLED)
        now = self.now()
        if has_path:
            self._note_failure(current.upstream, Failure.STALLED, now)
        verdict = self._decide(request, Failure.STALLED, now)
        self._log_failure(request, current, Failure.STALLED, why, verdict)
        return verdict is not Verdict.GIVE_UP

    def drop_attempt(
        self, request: requests.Request, current: requests.Attempt
    ) -> None:
        """End an attempt that is not needed any more."""
        current.exchange.cancel()
        if current.is_ended:
            return
        self.end_attempt(current)
        if current.exchange.may_have_sent and not current.is_held:
            request.progress.runs += 1

    def end_timed_out(
        self, request: requests.Request, current: requests.Attempt
    ) -> requests.Refused:
        """End an attempt at the request's deadline; return the error.

        Failure: the connection to the upstream hangs until the deadline. A
        caller that is told that its booking may have run can't repeat it,
        though nothing was sent.
        """
        current.exchange.cancel()
        self.end_attempt(current)
        if current.exchange.may_have_sent:
            request.progress.runs += 1
        return self.make_refusal(request, "time is up", 0.0)

    def fail_interrupted(
        self,
        request: requests.Request,
        current: requests.Attempt,
        failed: exchanges.Failed,
    ) -> None:
        """Fail an attempt whose exchange broke off.

        Failure: an upstream aborts an answer that its caller does not read,
        is avoided as if it had failed, and the next one is kept waiting.

        Raises:
            requests.Refused: The request is not retried.
        """
        current.failed_step = failed.step
        if failed.step == exchanges.HELD:
            current.exchange.cancel()
            self.end_attempt(current)
            request.progress.runs += 1
            raise self.make_refusal(request, "its caller reads slowly", 0.0)
        if failed.step == exchanges.QUARANTINE:
            current.exchange.cancel()
            self.end_attempt(current)
            request.progress.runs += failed.may_have_sent
            self._crashes.check(request)
            raise self.make_refusal(
                request, failed.detail, _QUARANTINE_RETRY_AFTER
            )
        if failed.step == exchanges.EXHAUSTED:
            # Not the upstream's failure, nor a lost path.
            current.exchange.cancel()
            self.end_attempt(current)
            self._meter.add(_EXHAUSTED, 1)
            raise self.make_refusal(
                request, "no descriptor left", _EXHAUSTED_RETRY_AFTER
            )
        failure = Failure.LOST if failed.may_have_sent else Failure.UNREACHED
        if failed.step in (exchanges.LEAVING, exchanges.PAUSED):
            self._note_withdrawn(current.upstream, failed)
            failure = Failure.NOT_RUN
        if failed.step == exchanges.PEER and current.peer is not None:
            self._paths.avoid_peer(current.peer, self.now())
            if not failed.may_have_sent:
                failure = Failure.NO_PATH
        if failed.step == exchanges.LIMIT:
            self._meter.add(_EXCESSIVE, 1)
        why = f"{failed.step}: {failed.detail}"
        self.fail_attempt(request, current, failure, why)

    def _note_withdrawn(
        self, upstream: upstreams.Upstream, failed: exchanges.Failed
    ) -> None:
        """Record that an upstream wants no requests, as a peer has told."""
        withdrawals = self._balancer.withdrawals
        if failed.step == exchanges.LEAVING:
            withdrawals.note_reported(upstream, failed.born, self.now())
        else:
            withdrawals.note_pause(upstream.id, failed.pause, self.now())

    def classify(
        self, head: exchanges.Head, request: requests.Request
    ) -> Failure | None:
        """Return the failure that an answer's head shows, None if none."""
        names = self.names
        if head.status == exchanges.MISDIRECTED:
            return Failure.MISDIRECTED
        if head.headers.get(names.not_run) is not None:
            return Failure.NOT_RUN
        if head.headers.get(names.attempt) != request.attempt_id:
            return Failure.LOST
        if names.seal.lower() not in head.headers:
            return Failure.LOST
        if head.headers.get("content-encoding", "identity") != "identity":
            return Failure.LOST
        if head.status >= 500:
            return Failure.ERROR
        return None

    def deliver(
        self,
        request: requests.Request,
        current: requests.Attempt,
        reply: Reply,
    ) -> Reply:
        """Record the answer of an upstream and return it."""
        request.end_watching()
        self.end_attempt(current, is_answered=True)
        if reply.status < 500:
            self._balancer.note_success(current.upstream.id)
        self.note_answer(request, current, reply.status)
        return reply

    def abandon(
        self, request: requests.Request, current: requests.Attempt
    ) -> Reply:
        """Cancel the attempt of a caller that has disconnected.

        It may have run, so that its status must not promise the contrary.
        """
        current.exchange.cancel()
        self.end_attempt(current)
        request.end_watching()
        self.note_answer(request, current, 0)
        return Reply(status=502, headers=[], body=b"", close=True)

    def note_answer(
        self, request: requests.Request, current: requests.Attempt, status: int
    ) -> None:
        """Count and log the end of a request.

        Args:
            request: The request.
            current: Its last attempt.
            status: Status of the answer; 0 if it is incomplete.
        """
        now = self.now()
        spent = now - request.inbound.received
        self._meter.add(ANSWERS, 1, str(status))
        self._meter.observe(_DURATION, spent, request.route.kind.value)
        if status == http.HTTPStatus.OK:
            self._queue.note_service(
                request, current.upstream, now - current.sent_at
            )
        self._log.write(
            "answered" if status else "ended_early",
            request=request.attempt_id,
            route=request.route.name,
            upstream=current.upstream.id,
            status=status,
            left=request.disconnected,
            why=request.aborted_because or None,
            late=_describe_lateness(request, spent),
            first=round(request.first_event_after, 4)
            if request.first_event_after
            else None,
            pause=round(request.longest_pause, 4),
            sends=request.progress.sends,
            spent=round(spent, 4),
            peer=current.peer,
            framing=current.framing.value if current.framing else None,
            rest=current.rest,
            version=request.version,
            list_age=self.fleet_age(now),
        )


def _describe_lateness(request: requests.Request, spent: float) -> str | None:
    """Return which objective an answer missed, None if it was in time."""
    first = (
        spent
        if request.first_event_after is None
        else request.first_event_after
    )
    lateness = attempts.find_lateness(
        request.route, first, request.longest_pause
    )
    return lateness.value if lateness else None


def _ignore(_: ids.InstanceId) -> None:
    return


def _make_empty_body(inbound: ingress.Inbound) -> bytes | None:
    """Return an empty body if the caller sent one, else None."""
    has_body = "content-length" in inbound.headers
    has_body = has_body or "transfer-encoding" in inbound.headers
    return b"" if has_body else None


def drop_hop_headers(
    headers: urllib3.HTTPHeaderDict,
) -> list[tuple[str, str]]:
    """Return the headers of an answer without hop-by-hop headers."""
    connection = headers.get("connection", "")
    hop_by_hop = {
        option.strip().lower()
        for option in connection.split(",")
        if option.strip()
    }
    return [
        (name, value)
        for name, value in headers.iteritems()
        if name.lower() not in _HOP_HEADERS and name.lower() not in hop_by_hop
    ]

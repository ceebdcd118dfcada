"""Attempts of a request: choose an upstream, send, judge, repeat or end.

The decisions are in `coordination`: which upstream (`balancing`),
whether to repeat (`attempts`) and at whose cost (`budgets`). Here they
are carried out and written to the log, one line for each.
"""

import itertools
import typing

import eventlet
import eventlet.queue
import urllib3

from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.protocol import names as names_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import queues
from currantwall.transport import requests

__all__ = ["ANSWERS", "Sender", "keep_headers"]

Failure = attempts.Failure
Verdict = attempts.Verdict
Reply = ingress.Reply

ANSWERS = "currantwall.answers"
_ATTEMPTS_FAILED = "currantwall.attempts.failed"
_DURATION = "currantwall.answers.duration"
# Seconds between two looks for an upstream in the middle of a stream.
_LOOK_AGAIN = 0.05
# Seconds by which a caller's time is shortened on the way to an upstream,
# so that what is left there is never more than the caller's.
_WAY_BACK = 0.004
# Ranks of requests at an engine, from 0 (first) to 9.
_RANK_BROKEN = 1
_RANK_IN_TIME = 4
_RANK_LATE = 7
# Status of a server that a request was not meant for.
_MISDIRECTED = 421
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
    """Sends requests to upstreams and keeps what was seen of them."""

    def __init__(
        self,
        balancer: balancing.Balancer,
        budget: budgets.RepeatBudget,
        connections: exchanges.Connections,
        queue: queues.Queue,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: typing.Callable[[], float],
    ) -> None:
        self.names = names
        self.now = now
        self.fleet_age: typing.Callable[[float], float] = lambda _: 0.0
        self.on_doubt: typing.Callable[[ids.InstanceId], None] = _ignore
        self._balancer = balancer
        self._budget = budget
        self._connections = connections
        self._queue = queue
        self._meter = meter
        self._log = log
        self._numbers = itertools.count(1)
        # When each upstream last sent anything to this node.
        self._pulse: dict[ids.InstanceId, float] = {}
        # Attempts under way at each upstream, by its epoch id, with who waits
        # for them.
        self._active: dict[str, dict[int, eventlet.queue.LightQueue]] = {}

    def begin(self, request: requests.Request) -> None:
        """Count a request of a caller."""
        self._budget.note_request(
            request.service.name, request.inbound.received
        )

    def get_pulse(self, instance: ids.InstanceId) -> float:
        """Return when an upstream last sent anything to this node."""
        return self._pulse.get(instance, 0.0)

    def forget(self, present: typing.Container[ids.InstanceId]) -> None:
        """Forget upstreams that are no longer listed."""
        for instance in list(self._pulse):
            if instance not in present:
                del self._pulse[instance]

    def send(
        self, request: requests.Request, wait: float = 0.0
    ) -> requests.Try:
        """Start the next attempt, or refuse."""
        if request.model is not None and not request.progress.runs:
            return self._send_in_turn(request)
        deadline = min(self.now() + wait, request.limit)
        while True:
            now = self.now()
            chosen = self._balancer.choose(
                request.service.name,
                request.model,
                request.tried,
                f"{request.attempt}{request.progress.sends}",
                now,
            )
            if isinstance(chosen, upstreams.Upstream):
                self._balancer.begin(chosen.id)
                return self._start(request, chosen, now)
            if now + _LOOK_AGAIN >= deadline or request.left:
                raise self.end(request, chosen.reason, chosen.retry_after)
            eventlet.sleep(_LOOK_AGAIN)

    def _send_in_turn(self, request: requests.Request) -> requests.Try:
        """Start an attempt once a replica has room for it.

        A stream that broke off does not wait again: its caller has a
        part of it, and each further moment is a pause.
        """
        try:
            chosen = self._queue.place(request)
        except requests.CallerLeft:
            raise self.end(request, "the caller left", 0.0) from None
        if isinstance(chosen, balancing.Unavailable):
            raise self.end(request, chosen.reason, chosen.retry_after)
        return self._start(request, chosen, self.now())

    def _start(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        now: float,
    ) -> requests.Try:
        request.progress.sends += 1
        request.tried.add(upstream.epoch_id)
        inbound = request.inbound
        outbound = exchanges.Outbound(
            method=inbound.method,
            target=inbound.target,
            headers=self._make_headers(request, upstream, now),
            body=inbound.body or _empty_body(inbound),
            attempt=request.attempt,
            timeout=max(0.05, request.limit - now),
            fresh=not request.route.is_idempotent,
        )
        exchange = exchanges.Exchange(
            next(self._numbers),
            upstream.id,
            upstream.address,
            outbound,
            request.inbox,
            self._connections,
            self.names,
        )
        active = self._active.setdefault(upstream.epoch_id, {})
        active[exchange.number] = request.inbox
        return requests.Try(
            upstream=upstream, exchange=exchange, sent=now, heard=now
        )

    def note_first(
        self, request: requests.Request, current: requests.Try
    ) -> None:
        """Note the first event of an attempt."""
        self._queue.note_first(request, current.heard - current.sent)

    def note_pause(self, current: requests.Try, seconds: float) -> None:
        """Note the time between two events of an attempt."""
        self._balancer.note_pause(current.upstream.id, seconds, current.heard)

    def note_success(self, current: requests.Try) -> None:
        """Note an attempt that ended in order."""
        self._balancer.note_success(current.upstream.id)

    def give_up(self, epoch_id: str) -> None:
        """End all attempts at a leader whose replica has lost a member.

        Failure: such a leader stalls for seconds without a word; what
        waits there goes on elsewhere as soon as the loss is known.
        """
        for number, inbox in self._active.get(epoch_id, {}).items():
            failed = exchanges.Failed(number, True, "verdict", "member lost")
            if not inbox.full():
                inbox.put(failed)

    def _make_headers(
        self,
        request: requests.Request,
        upstream: upstreams.Upstream,
        now: float,
    ) -> tuple[tuple[str, str], ...]:
        names = self.names
        set_here = {
            names.budget.lower(),
            names.instance.lower(),
            names.organisation.lower(),
            names.last_event.lower(),
        }
        if request.model is not None:
            set_here.add(names.priority.lower())
        if request.organisation is not None or not request.route.public:
            set_here.add("authorization")
        listed = request.inbound.headers.get("connection", "")
        hop = {one.strip().lower() for one in listed.split(",") if one.strip()}
        found = [
            (name, value)
            for name, value in request.inbound.headers.iteritems()
            if name.lower() not in _HOP_HEADERS
            and name.lower() not in set_here
            and name.lower() not in hop
        ]
        left = request.limit - now - _WAY_BACK
        found.append((names.budget, str(max(1, int(left * 1000)))))
        found.append((names.instance, upstream.id))
        if request.model is not None:
            found.append((names.priority, str(self._rank(request))))
        if request.organisation is not None:
            found.append((names.organisation, request.organisation.name))
        if request.last_event:
            found.append((names.last_event, request.last_event))
        return tuple(found)

    def _rank(self, request: requests.Request) -> int:
        """Return a request's rank at an engine, which admits by it.

        A stream that broke off goes before all others: its caller has a
        part of it and waits for the next event.
        """
        if request.progress.runs:
            return _RANK_BROKEN
        if self._queue.is_late(request):
            return _RANK_LATE
        return _RANK_IN_TIME

    def finish(self, current: requests.Try) -> None:
        """Count an attempt out, once."""
        if not current.noted:
            current.noted = True
            self._balancer.end(current.upstream.id)
            epoch_id = current.upstream.epoch_id
            active = self._active.get(epoch_id, {})
            active.pop(current.exchange.number, None)
            if not active:
                self._active.pop(epoch_id, None)
            self._queue.note_end(current.upstream)

    def fail(
        self,
        request: requests.Request,
        current: requests.Try,
        failure: Failure,
        why: str,
    ) -> None:
        """Note a failed attempt; refuse if it was the last one."""
        now = self.now()
        current.exchange.cancel()
        self.finish(current)
        if failure.may_have_run:
            request.progress.runs += 1
        if failure is Failure.NOT_RUN:
            self._balancer.note_refusal(current.upstream, now)
        elif failure is Failure.MISDIRECTED:
            self._balancer.note_misdirected(current.upstream, now)
        else:
            avoid = failure in (Failure.UNREACHED, Failure.STALLED)
            self._balancer.note_failure(current.upstream, now, avoid)
        if failure is Failure.LOST and current.upstream.seat is None:
            self._balancer.note_lost_answer(current.upstream.id, now)
        if failure is Failure.STALLED or failure is Failure.UNREACHED:
            self.on_doubt(current.upstream.id)
        verdict = attempts.decide(request.route, failure, request.progress)
        if verdict is Verdict.REPEAT_PAID and not self._budget.take(
            request.service.name, now
        ):
            verdict = Verdict.GIVE_UP
        self._meter.add(_ATTEMPTS_FAILED, 1, failure.value)
        self._log.write(
            "attempt_failed",
            request=request.attempt,
            route=request.route.name,
            upstream=current.upstream.id,
            replica=current.upstream.seat.replica
            if current.upstream.seat
            else None,
            failure=failure.value,
            why=why,
            after=round(now - current.sent, 4),
            list_age=round(self.fleet_age(now), 3),
            verdict=verdict.value,
        )
        if verdict is Verdict.GIVE_UP:
            raise self.end(request, why, 0.3)

    def end(
        self, request: requests.Request, why: str, retry_after: float
    ) -> requests.Refused:
        """Return the final answer of a request without one."""
        in_time = self.now() < request.limit
        ending = attempts.choose_ending(request.progress, in_time)
        if ending is attempts.Ending.REFUSED:
            return requests.Refused(503, why, retry_after)
        if ending is attempts.Ending.BAD_GATEWAY:
            return requests.Refused(502, why)
        return requests.Refused(504, why)

    def next_message(
        self, request: requests.Request, current: requests.Try, until: float
    ) -> typing.Any:
        """Return the next message of an attempt, None at the time given."""
        while True:
            wait = until - self.now()
            try:
                message = request.inbox.get(timeout=max(wait, 0.0))
            except eventlet.queue.Empty:
                return None
            if isinstance(message, requests.Left):
                raise requests.CallerLeft
            if message.exchange == current.exchange.number:
                current.heard = self.now()
                self._pulse[current.upstream.id] = current.heard
                return message

    def may_go_on(self, request: requests.Request) -> bool:
        """Return whether a failed answer may be tried elsewhere."""
        route = request.route
        return route.is_idempotent and (
            request.progress.runs + 1 < route.attempts
        )

    def end_silence(
        self, request: requests.Request, current: requests.Try
    ) -> None:
        """Note an attempt that was silent for too long."""
        if self.now() < request.limit:
            self.fail(request, current, Failure.STALLED, "silent")
            return
        current.exchange.cancel()
        self.finish(current)
        request.progress.runs += 1
        raise self.end(request, "time is up", 0.0)

    def note_broken(
        self,
        request: requests.Request,
        current: requests.Try,
        failed: exchanges.Failed,
    ) -> None:
        """Note an attempt that broke off."""
        failure = Failure.LOST if failed.sent else Failure.UNREACHED
        why = f"{failed.step}: {failed.detail}"
        self.fail(request, current, failure, why)

    def classify(
        self, head: exchanges.Head, request: requests.Request
    ) -> Failure | None:
        """Return what is wrong with an answer's head, None if nothing."""
        names = self.names
        if head.status == _MISDIRECTED:
            return Failure.MISDIRECTED
        if head.headers.get(names.not_run) is not None:
            return Failure.NOT_RUN
        if head.headers.get(names.attempt) != request.attempt:
            return Failure.LOST
        if names.seal.lower() not in head.headers:
            return Failure.LOST
        if head.headers.get("content-encoding", "identity") != "identity":
            return Failure.LOST
        if head.status >= 500:
            return Failure.ERROR
        return None

    def deliver(
        self, request: requests.Request, current: requests.Try, reply: Reply
    ) -> Reply:
        """Note an upstream's answer and return it."""
        request.watcher.kill()
        self.finish(current)
        if reply.status < 500:
            self._balancer.note_success(current.upstream.id)
        self.note_answer(request, current, reply.status)
        return reply

    def abandon(
        self, request: requests.Request, current: requests.Try
    ) -> Reply:
        """End the work for a caller that has left."""
        current.exchange.cancel()
        self.finish(current)
        request.watcher.kill()
        self.note_answer(request, current, 0)
        return Reply(status=503, headers=[], body=b"", close=True)

    def note_answer(
        self, request: requests.Request, current: requests.Try, status: int
    ) -> None:
        """Count and log the end of a request; status 0 for none."""
        now = self.now()
        spent = now - request.inbound.received
        self._meter.add(ANSWERS, 1, str(status))
        self._meter.observe(_DURATION, spent, request.route.kind.value)
        self._log.write(
            "answered" if status else "ended_early",
            request=request.attempt,
            route=request.route.name,
            upstream=current.upstream.id,
            status=status,
            left=request.left,
            late=_explain_lateness(request, spent),
            first=round(request.first, 4) if request.first else None,
            pause=round(request.pause, 4),
            sends=request.progress.sends,
            spent=round(spent, 4),
            version=request.version,
            list_age=round(self.fleet_age(now), 3),
        )


def _explain_lateness(request: requests.Request, spent: float) -> str | None:
    """Return what made an answer late, in a word; None if it was on time."""
    first = spent if request.first is None else request.first
    found = attempts.find_lateness(request.route, first, request.pause)
    return found.value if found else None


def _ignore(_: ids.InstanceId) -> None:
    return


def _empty_body(inbound: ingress.Inbound) -> bytes | None:
    """Return an empty body where the caller sent one, else none."""
    framed = "content-length" in inbound.headers
    framed = framed or "transfer-encoding" in inbound.headers
    return b"" if framed else None


def keep_headers(
    headers: urllib3.HTTPHeaderDict,
) -> list[tuple[str, str]]:
    """Return the headers of an answer that concern the caller."""
    listed = headers.get("connection", "")
    hop = {one.strip().lower() for one in listed.split(",") if one.strip()}
    return [
        (name, value)
        for name, value in headers.iteritems()
        if name.lower() not in _HOP_HEADERS and name.lower() not in hop
    ]

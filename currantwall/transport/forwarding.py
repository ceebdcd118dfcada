"""Serving one request of a caller: choose, send, repeat, answer.

The decisions are in `coordination`: which upstream (`balancing`),
whether to repeat (`attempts`) and at whose cost (`budgets`). Here they
are carried out and written to the log, one line for each.
"""

import itertools
import typing

import eventlet
import eventlet.hubs
import eventlet.queue
import msgspec
import urllib3

from currantwall.coordination import attempts
from currantwall.coordination import balancing
from currantwall.coordination import budgets
from currantwall.protocol import events
from currantwall.protocol import names as names_module
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["Forwarder"]

Failure = attempts.Failure
Verdict = attempts.Verdict
Reply = ingress.Reply

# Seconds until a caller may come back before a configuration is known.
_STARTING = 0.5
# Seconds between two looks for an upstream in the middle of a stream.
_LOOK_AGAIN = 0.05
# Seconds a stream may pause while no upstream is left to go on with it;
# callers leave after two seconds without an event.
_PAUSE_LIMIT = 1.6
# Seconds by which a caller's time is shortened on the way to an upstream,
# so that what is left there is never more than the caller's.
_WAY_BACK = 0.004
# Part of the caller's remaining time that a hint to come back may take.
_RETURN_SHARE = 0.3
# Messages from upstreams that wait before an upstream is held back.
_INBOX_LIMIT = 64
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
_STREAM_TYPE = "text/event-stream"


class _Left(msgspec.Struct, frozen=True):
    """The caller has closed its connection."""


class _Cut(Exception):  # noqa: N818
    """A stream ends without its last event."""


class _Refused(Exception):  # noqa: N818
    """The request is answered without an upstream."""

    def __init__(
        self, status: int, reason: str, retry_after: float = 0.0
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class _Request(msgspec.Struct, kw_only=True):
    """One request with all that its handling needs.

    Attributes:
        limit: Monotonic time of its final answer.
        budget: Seconds that the caller said it would wait.
    """

    inbound: ingress.Inbound
    attempt: str
    route: routes.Route
    service: routes.Service
    model: str | None
    organisation: routes.Organisation | None
    limit: float
    budget: float | None
    version: int
    inbox: eventlet.queue.LightQueue
    progress: attempts.Progress
    tried: set[ids.InstanceId]
    last_event: str = ""
    watcher: typing.Any = None
    left: bool = False


class _Try(msgspec.Struct, kw_only=True):
    """One attempt at one upstream."""

    upstream: upstreams.Upstream
    exchange: exchanges.Exchange
    sent: float
    heard: float
    head: exchanges.Head | None = None
    noted: bool = False


class Forwarder:
    """Passes callers' requests to upstreams."""

    def __init__(
        self,
        balancer: balancing.Balancer,
        budget: budgets.RepeatBudget,
        connections: exchanges.Connections,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: typing.Callable[[], float],
    ) -> None:
        self.table: routes.RouteTable | None = None
        # Whether the process is about to end.
        self.is_closed = False
        self.fleet_age: typing.Callable[[float], float] = lambda _: 0.0
        self.on_doubt: typing.Callable[[ids.InstanceId], None] = _ignore
        self._balancer = balancer
        self._budget = budget
        self._connections = connections
        self._names = names
        self._meter = meter
        self._log = log
        self._now = now
        self._numbers = itertools.count(1)
        # When each upstream last sent anything to this node.
        self._pulse: dict[ids.InstanceId, float] = {}
        # Attempts under way at each upstream, with who waits for them.
        self._active: dict[
            ids.InstanceId, dict[int, eventlet.queue.LightQueue]
        ] = {}

    @property
    def is_known(self) -> bool:
        """Return whether a configuration is in force."""
        return self.table is not None

    # -- Entry

    def serve(self, inbound: ingress.Inbound) -> Reply:
        """Answer one request."""
        attempt = inbound.headers.get(self._names.attempt, "")
        try:
            request = self._admit(inbound, attempt)
        except _Refused as refusal:
            return self._refuse(refusal, attempt, "admission")
        self._budget.note_request(request.service.name, inbound.received)
        request.watcher = eventlet.spawn(self._watch_caller, request)
        try:
            if request.route.kind is routes.RouteKind.STREAMING:
                return self._serve_stream(request)
            return self._serve_whole(request)
        except _Refused as refusal:
            request.watcher.kill()
            limit = request.limit - self._now()
            share = max(0.05, limit * _RETURN_SHARE)
            refusal.retry_after = min(refusal.retry_after, share)
            return self._refuse(refusal, attempt, request.route.name)
        except BaseException:
            request.watcher.kill()
            raise

    def _admit(self, inbound: ingress.Inbound, attempt: str) -> _Request:
        """Return the request with its route, or refuse it."""
        table = self.table
        if self.is_closed:
            raise _Refused(503, "stopping", 0.0)
        if table is None:
            raise _Refused(503, "no configuration yet", _STARTING)
        host = inbound.headers["host"].partition(":")[0]
        route = table.find_route(host, inbound.path)
        if route is None:
            raise _Refused(404, "no route")
        organisation = self._identify(inbound, table, route)
        name = route.choose_service(attempt)
        service = table.find_service(name)
        if service is None:
            raise _Refused(503, "unknown service", _STARTING)
        budget = _read_budget(inbound.headers.get(self._names.budget))
        limit = route.timeout
        if budget is not None:
            limit = min(limit, budget)
        model = None
        if service.engine is not None:
            model = inbound.headers.get(self._names.model, "")
        return _Request(
            inbound=inbound,
            attempt=attempt,
            route=route,
            service=service,
            model=model,
            organisation=organisation,
            limit=inbound.received + limit,
            budget=budget,
            version=table.version,
            inbox=eventlet.queue.LightQueue(_INBOX_LIMIT),
            progress=attempts.Progress(),
            tried=set(),
            last_event=inbound.headers.get(self._names.last_event, ""),
        )

    def _identify(
        self,
        inbound: ingress.Inbound,
        table: routes.RouteTable,
        route: routes.Route,
    ) -> routes.Organisation | None:
        if not table.needs_keys:
            return None
        scheme, _, key = inbound.headers.get("authorization", "").partition(
            " "
        )
        found = None
        if scheme.lower() == "bearer":
            found = table.find_organisation(key.strip())
        if found is None and not route.public:
            raise _Refused(401, "unknown key")
        return found

    def _watch_caller(self, request: _Request) -> None:
        """Tell the inbox when the caller closes its connection.

        Failure: a caller leaves while its request waits or runs, and an
        upstream goes on working for nobody. Nothing is read here: what
        a caller sends ahead stays for the next request.
        """
        sock = request.inbound.client
        raw = getattr(sock, "fd", sock)
        while True:
            try:
                eventlet.hubs.trampoline(raw.fileno(), read=True)
                data = raw.recv(1, _PEEK)
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                data = b""
            if not data:
                request.left = True
                request.inbox.put(_Left())
                return
            eventlet.sleep(_LOOK_AGAIN)

    # -- Attempts

    def _send(self, request: _Request, wait: float = 0.0) -> _Try:
        """Start the next attempt, or refuse."""
        deadline = min(self._now() + wait, request.limit)
        while True:
            now = self._now()
            chosen = self._balancer.choose(
                request.service.name,
                request.model,
                request.tried,
                f"{request.attempt}{request.progress.sends}",
                now,
            )
            if isinstance(chosen, upstreams.Upstream):
                return self._start(request, chosen, now)
            if now + _LOOK_AGAIN >= deadline or request.left:
                raise self._end(request, chosen.reason, chosen.retry_after)
            eventlet.sleep(_LOOK_AGAIN)

    @staticmethod
    def _choose_wait(request: _Request) -> float:
        """Return how long to wait for an upstream.

        A request that may have run cannot be refused as not run: while
        its stream may go on elsewhere, waiting for a replica to be mended
        serves its caller better than a failure.
        """
        return _PAUSE_LIMIT if request.progress.runs else 0.0

    def _start(
        self, request: _Request, upstream: upstreams.Upstream, now: float
    ) -> _Try:
        request.progress.sends += 1
        request.tried.add(upstream.id)
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
        self._balancer.begin(upstream.id)
        exchange = exchanges.Exchange(
            next(self._numbers),
            upstream.id,
            upstream.address,
            outbound,
            request.inbox,
            self._connections,
            self._names,
        )
        active = self._active.setdefault(upstream.id, {})
        active[exchange.number] = request.inbox
        return _Try(upstream=upstream, exchange=exchange, sent=now, heard=now)

    def give_up(self, instance: ids.InstanceId) -> None:
        """End all attempts at a leader whose replica has lost a member.

        Failure: such a leader stalls for seconds without a word; what
        waits there goes on elsewhere as soon as the loss is known.
        """
        for number, inbox in self._active.get(instance, {}).items():
            failed = exchanges.Failed(number, True, "verdict", "member lost")
            if not inbox.full():
                inbox.put(failed)

    def _make_headers(
        self, request: _Request, upstream: upstreams.Upstream, now: float
    ) -> tuple[tuple[str, str], ...]:
        names = self._names
        set_here = {
            names.budget.lower(),
            names.instance.lower(),
            names.organisation.lower(),
            names.last_event.lower(),
        }
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
        if request.organisation is not None:
            found.append((names.organisation, request.organisation.name))
        if request.last_event:
            found.append((names.last_event, request.last_event))
        return tuple(found)

    def _finish(self, current: _Try) -> None:
        """Count an attempt out, once."""
        if not current.noted:
            current.noted = True
            self._balancer.end(current.upstream.id)
            active = self._active.get(current.upstream.id, {})
            active.pop(current.exchange.number, None)
            if not active:
                self._active.pop(current.upstream.id, None)

    def _fail(
        self, request: _Request, current: _Try, failure: Failure, why: str
    ) -> None:
        """Note a failed attempt; refuse if it was the last one."""
        now = self._now()
        current.exchange.cancel()
        self._finish(current)
        if failure.may_have_run:
            request.progress.runs += 1
        if failure is Failure.NOT_RUN:
            self._balancer.note_refusal(current.upstream, now)
        else:
            avoid = failure in (Failure.UNREACHED, Failure.STALLED)
            self._balancer.note_failure(current.upstream, now, avoid)
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
            raise self._end(request, why, 0.3)

    def _end(
        self, request: _Request, why: str, retry_after: float
    ) -> _Refused:
        """Return the final answer of a request without one."""
        in_time = self._now() < request.limit
        ending = attempts.end_unserved(request.progress, in_time)
        if ending is attempts.Ending.REFUSED:
            return _Refused(503, why, retry_after)
        if ending is attempts.Ending.BAD_GATEWAY:
            return _Refused(502, why)
        return _Refused(504, why)

    def _next(
        self, request: _Request, current: _Try, until: float
    ) -> typing.Any:
        """Return the next message of an attempt, None at the time given."""
        while True:
            wait = until - self._now()
            try:
                message = request.inbox.get(timeout=max(wait, 0.0))
            except eventlet.queue.Empty:
                return None
            if isinstance(message, _Left):
                raise _CallerLeft
            if message.exchange == current.exchange.number:
                current.heard = self._now()
                self._pulse[current.upstream.id] = current.heard
                return message

    def _classify(
        self, head: exchanges.Head, request: _Request
    ) -> Failure | None:
        """Return what is wrong with an answer's head, None if nothing."""
        names = self._names
        if head.headers.get(names.not_run) is not None or head.status == 421:
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

    # -- Whole answers

    def _serve_whole(self, request: _Request) -> Reply:
        """Return a whole answer; an upstream's own failure is one."""
        kept: Reply | None = None
        while True:
            try:
                current = self._send(request)
                outcome = self._await_whole(request, current)
                if isinstance(outcome, Reply):
                    failed = outcome.status >= 500
                    if not failed:
                        return self._deliver(request, current, outcome)
                    kept = outcome
                    self._fail(request, current, Failure.ERROR, "its failure")
            except _Refused:
                if kept is None:
                    raise
                return self._deliver(request, current, kept)
            except _CallerLeft:
                return self._abandon(request, current)

    def _await_whole(self, request: _Request, current: _Try) -> Reply | None:
        """Return an attempt's answer, or None once it was noted failed."""
        patience = attempts.wait_for_answer(request.route)
        parts: list[bytes] = []
        until = request.limit
        if patience is not None and request.progress.runs + 1 < (
            request.route.attempts
        ):
            until = min(until, current.sent + patience)
        while True:
            message = self._next(request, current, until)
            if message is None:
                late = self._now() >= request.limit - 0.002
                request.progress.runs += 1 if late else 0
                if late:
                    current.exchange.cancel()
                    self._finish(current)
                    raise self._end(request, "time is up", 0.0)
                self._fail(request, current, Failure.STALLED, "no answer")
                return None
            if isinstance(message, exchanges.Failed):
                self._note_broken(request, current, message)
                return None
            if isinstance(message, exchanges.Head):
                until = request.limit
                current.head = message
                failure_ = self._classify(message, request)
                if failure_ not in (None, Failure.ERROR):
                    assert failure_ is not None
                    why = f"status {message.status}"
                    self._fail(request, current, failure_, why)
                    return None
            elif isinstance(message, exchanges.Data):
                parts.append(message.data)
            else:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=_keep_headers(current.head.headers),
                    body=b"".join(parts),
                )

    def _deliver(
        self, request: _Request, current: _Try, reply: Reply
    ) -> Reply:
        request.watcher.kill()
        self._finish(current)
        if reply.status < 500:
            self._balancer.note_success(current.upstream.id)
        self._note_answer(request, current, reply.status)
        return reply

    def _abandon(self, request: _Request, current: _Try) -> Reply:
        """End the work for a caller that has left."""
        current.exchange.cancel()
        self._finish(current)
        request.watcher.kill()
        self._note_answer(request, current, 0)
        return Reply(status=503, headers=[], body=b"", close=True)

    # -- Streams

    def _serve_stream(self, request: _Request) -> Reply:
        """Return a stream once its first event, or its failure, is in."""
        while True:
            try:
                current = self._send(request, self._choose_wait(request))
                first = self._await_first(request, current)
            except _CallerLeft:
                return self._abandon(request, current)
            if first is None:
                continue
            assert current.head is not None
            if isinstance(first, Reply):
                return self._deliver(request, current, first)
            splitter, ready, ended = first
            return Reply(
                status=current.head.status,
                headers=_keep_headers(current.head.headers),
                body=self._relay(request, current, splitter, ready, ended),
            )

    def _await_first(
        self, request: _Request, current: _Try
    ) -> "Reply | tuple[events.Splitter, list[events.Event], bool] | None":
        """Return what an attempt begins with, None if it failed."""
        splitter = events.Splitter()
        whole: list[bytes] | None = None
        while True:
            message = self._next_of_stream(request, current, None)
            if message is None:
                return None
            if isinstance(message, exchanges.Head):
                current.head = message
                failure = self._classify(message, request)
                if failure is not None and (
                    failure is not Failure.ERROR or self._may_go_on(request)
                ):
                    why = f"status {message.status}"
                    self._fail(request, current, failure, why)
                    return None
                kind = message.headers.get("content-type", "")
                if message.status != 200 or not kind.startswith(_STREAM_TYPE):
                    whole = []
            elif isinstance(message, exchanges.Data):
                if whole is not None:
                    whole.append(message.data)
                    continue
                ready = splitter.feed(message.data)
                if ready:
                    return splitter, ready, False
            elif whole is not None:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=_keep_headers(current.head.headers),
                    body=b"".join(whole),
                )
            else:
                return splitter, [], True

    def _may_go_on(self, request: _Request) -> bool:
        """Return whether a failed answer may be tried elsewhere."""
        route = request.route
        return route.is_idempotent and (
            request.progress.runs + 1 < route.attempts
        )

    def _next_of_stream(
        self, request: _Request, current: _Try, gap: float | None
    ) -> typing.Any:
        """Return the next message of a stream, None if it failed.

        Args:
            request: The request.
            current: The attempt that is under way.
            gap: Seconds of silence that count as a stall; None before
                the first event.
        """
        patience = gap or attempts.wait_for_first(request.route)
        doubt = attempts.DOUBT if gap else attempts.FIRST_DOUBT
        if not self._may_go_on(request):
            patience = None
        doubted = False
        while True:
            now = self._now()
            start = current.heard
            if gap is None:
                # Before the first event others tell whether it works.
                pulse = self._pulse.get(current.upstream.id, 0.0)
                start = max(start, pulse)
            until = request.limit
            if patience is not None:
                until = min(until, start + patience)
            if now >= until:
                self._end_silence(request, current)
                return None
            if not doubted:
                until = min(until, max(start + doubt, now))
            message = self._next(request, current, until)
            if isinstance(message, exchanges.Failed):
                self._note_broken(request, current, message)
                return None
            if message is not None:
                return message
            if not doubted and self._now() >= start + doubt:
                doubted = True
                self.on_doubt(current.upstream.id)

    def _end_silence(self, request: _Request, current: _Try) -> None:
        """Note an attempt that was silent for too long."""
        if self._now() < request.limit:
            self._fail(request, current, Failure.STALLED, "silent")
            return
        current.exchange.cancel()
        self._finish(current)
        request.progress.runs += 1
        raise self._end(request, "time is up", 0.0)

    def _note_broken(
        self, request: _Request, current: _Try, failed: exchanges.Failed
    ) -> None:
        """Note an attempt that broke off."""
        failure = Failure.LOST if failed.sent else Failure.UNREACHED
        why = f"{failed.step}: {failed.detail}"
        self._fail(request, current, failure, why)

    def _relay(
        self,
        request: _Request,
        current: _Try,
        splitter: events.Splitter,
        ready: list[events.Event],
        ended: bool,
    ) -> typing.Iterator[bytes]:
        """Yield whole events; go on at another upstream if one fails."""
        request.progress.started = True
        status = 200
        try:
            while True:
                fresh = [one for one in ready if self._is_next(request, one)]
                if fresh:
                    request.last_event = fresh[-1].id or request.last_event
                    yield b"".join(one.data for one in fresh)
                if ended:
                    if splitter.rest:
                        yield splitter.rest
                    return
                message = self._next_of_stream(
                    request, current, attempts.STALL
                )
                if message is None:
                    current, splitter, ready, ended = self._resume(request)
                elif isinstance(message, exchanges.Data):
                    ready = splitter.feed(message.data)
                else:
                    ready, ended = [], True
        except (_Refused, _CallerLeft) as error:
            status = 0
            current.exchange.cancel()
            raise _Cut(str(error)) from None
        except GeneratorExit:
            status = 0
            current.exchange.cancel()
            raise
        finally:
            request.watcher.kill()
            self._finish(current)
            if status:
                self._balancer.note_success(current.upstream.id)
            self._note_answer(request, current, status)

    @staticmethod
    def _is_next(request: _Request, event: events.Event) -> bool:
        """Return whether the caller lacks an event."""
        last = request.last_event
        if last.isdecimal() and event.id.isdecimal():
            return int(event.id) > int(last)
        return True

    def _resume(
        self, request: _Request
    ) -> tuple[_Try, events.Splitter, list[events.Event], bool]:
        """Go on with a stream at another upstream."""
        until = self._now() + _PAUSE_LIMIT
        while True:
            wait = max(0.0, until - self._now())
            request.tried.clear() if not request.tried else None
            current = self._send(request, wait)
            try:
                first = self._await_first(request, current)
            except BaseException:
                current.exchange.cancel()
                self._finish(current)
                raise
            if isinstance(first, Reply):
                self._fail(request, current, Failure.ERROR, "no stream")
            elif first is not None:
                return current, *first

    # -- Logs

    def _refuse(self, refusal: _Refused, attempt: str, where: str) -> Reply:
        self._meter.add(_ANSWERS, 1, str(refusal.status))
        self._log.write(
            "refused",
            request=attempt,
            where=where,
            status=refusal.status,
            why=refusal.reason,
            retry_after=round(refusal.retry_after, 3),
            version=self.table.version if self.table else 0,
            list_age=round(self.fleet_age(self._now()), 3),
        )
        headers = [("Content-Type", "text/plain")]
        if refusal.status == 503:
            wait = max(refusal.retry_after, 0.05)
            headers.append(("Retry-After", f"{wait:.3f}"))
        if attempt:
            headers.append((self._names.attempt, attempt))
        return Reply(
            status=refusal.status,
            headers=headers,
            body=refusal.reason.encode(),
        )

    def _note_answer(
        self, request: _Request, current: _Try, status: int
    ) -> None:
        now = self._now()
        spent = now - request.inbound.received
        self._meter.add(_ANSWERS, 1, str(status))
        self._meter.observe(_DURATION, spent, request.route.kind.value)
        self._log.write(
            "answered" if status else "ended_early",
            request=request.attempt,
            route=request.route.name,
            upstream=current.upstream.id,
            status=status,
            left=request.left,
            sends=request.progress.sends,
            spent=round(spent, 4),
            version=request.version,
            list_age=round(self.fleet_age(now), 3),
        )


class _CallerLeft(Exception):  # noqa: N818
    """The caller closed its connection."""


_PEEK = 2
_ANSWERS = "currantwall.answers"
_ATTEMPTS_FAILED = "currantwall.attempts.failed"
_DURATION = "currantwall.answers.duration"


def _ignore(_: ids.InstanceId) -> None:
    return


def _read_budget(value: str | None) -> float | None:
    """Return the seconds a caller waits, None where it doesn't say."""
    if value is None or not value.strip().isdecimal():
        return None
    return int(value) / 1000.0


def _empty_body(inbound: ingress.Inbound) -> bytes | None:
    """Return an empty body where the caller sent one, else none."""
    framed = "content-length" in inbound.headers
    framed = framed or "transfer-encoding" in inbound.headers
    return b"" if framed else None


def _keep_headers(
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

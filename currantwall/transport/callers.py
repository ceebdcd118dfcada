"""Handling that all callers' requests share.

Identifies callers, reads their headers, requests routes, decides on
retries and reports how attempts end.
"""

from collections import abc
import http
import itertools

import eventlet
import msgspec

from currantwall.coordination import actions
from currantwall.coordination.replicas import evidence
from currantwall.coordination.requests import admission
from currantwall.coordination.requests import homes
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
from currantwall.protocol import errors
from currantwall.protocol import http as http_protocol
from currantwall.state import ids
from currantwall.transport import coordinator
from currantwall.transport import metrics
from currantwall.transport import server
from currantwall.transport import timers

__all__ = [
    "CALLER_LEFT",
    "CallContext",
    "Callers",
    "EntryHandlers",
    "choose_outcome",
    "get_forwarded_headers",
    "make_refused_error",
    "make_unknown_response",
]

Response = http_protocol.Response
_KIND_HEADER = "Currantwall-Kind"
_DEADLINE_HEADER = "Currantwall-Deadline"
# Seconds by which the timeout exceeds the deadline. The queue answers by the
# deadline; the timeout only guards against a bug in it.
_QUEUE_TIMEOUT_MARGIN = 1.0
_FORWARDED_HEADERS = (
    "currantwall-kind",
    "content-type",
    "accept",
    "traceparent",
    "tracestate",
    "baggage",
)
# Seconds after which a caller should retry a failed request.
_RETRY_AFTER = 1.0
# Ends an attempt whose caller has disconnected.
CALLER_LEFT = errors.CallError(
    errors.Step.BODY, "caller", errors.Failure.CLOSED
)
_ANONYMOUS = ids.OrganisationName("")


class CallContext(msgspec.Struct, frozen=True):
    """Organisation, weight and deadline of a request.

    Attributes:
        organisation: The caller's organisation.
        weight: Weight of the request's kind.
        deadline: Monotonic time of this process by which it must be
            answered.
    """

    organisation: ids.OrganisationName
    weight: float
    deadline: float


class Callers:
    """State that the handlers of callers' requests share."""

    def __init__(
        self,
        core: coordinator.Coordinator,
        clock: timers.TimerService,
        meter: metrics.Metrics,
    ) -> None:
        self._core = core
        self._clock = clock
        self._meter = meter
        self._settings = core.node.settings
        requests = self._settings.requests
        self._retries = retries.Retries(
            requests.retry_share, requests.attempts
        )
        self._tokens = {
            section.token: section.name
            for section in self._settings.organisations
        }
        self._kinds = {
            section.name: section for section in self._settings.kinds
        }
        self._attempts = itertools.count(1)

    # -- Callers

    def identify(
        self, request: server.Request
    ) -> ids.OrganisationName | Response:
        """Return the organisation of a caller, or an error response."""
        if not self._tokens:
            return _ANONYMOUS
        value = request.headers.get("authorization", "")
        scheme, _, token = value.partition(" ")
        name = self._tokens.get(token.strip())
        if scheme.lower() != "bearer" or name is None:
            status = http.HTTPStatus.UNAUTHORIZED
            message = "expected Authorization: Bearer TOKEN of a caller"
            return http_protocol.fail(status, "unknown_caller", message)
        return name

    def read_context(
        self, request: server.Request, caller: ids.OrganisationName
    ) -> CallContext | Response:
        """Return the context of a request, or an error response."""
        name = request.headers.get(_KIND_HEADER.lower(), "")
        kind = self._kinds.get(name)
        if name and kind is None:
            status = http.HTTPStatus.BAD_REQUEST
            known = ", ".join(sorted(self._kinds)) or "none"
            message = f"unknown kind {name!r}; known are {known}"
            return http_protocol.fail(status, "unknown_kind", message)
        seconds = self._settings.requests.timeout
        if kind is not None and kind.deadline:
            seconds = min(seconds, kind.deadline)
        text = request.headers.get(_DEADLINE_HEADER.lower(), "")
        if text:
            try:
                seconds = min(seconds, float(text))
            except ValueError:
                status = http.HTTPStatus.BAD_REQUEST
                message = f"{_DEADLINE_HEADER}: expected seconds"
                return http_protocol.fail(status, "bad_deadline", message)
        weight = kind.weight if kind else 1.0
        return CallContext(caller, weight, self._clock.now() + seconds)

    def request_route(
        self,
        make: abc.Callable[[int], routing.RouteRequested],
        deadline: float,
    ) -> routing.Route | routing.Refusal:
        """Return a route, after waiting in the queue if necessary.

        Args:
            make: Makes the message to the node from the number of the call.
            deadline: Monotonic time at which to stop waiting.
        """
        wait = max(0.0, deadline - self._clock.now()) + _QUEUE_TIMEOUT_MARGIN
        answer = self._core.ask(make, wait, admission.Cancelled)
        if answer is None:
            return routing.Refusal(
                routing.RefusalReason.DEADLINE,
                "it could not be answered in time",
            )
        return answer

    def decide_retry(
        self, failure: retries.AttemptFailure, error: errors.CallError
    ) -> Response | None:
        """Wait for the backoff of a retry, or return an error response."""
        decision = self._retries.decide(failure, self._clock.now())
        self._meter.add(actions.Counter.RETRIES.value, 1, decision.value)
        if decision is retries.RetryDecision.RETRY:
            eventlet.sleep(retries.compute_backoff(failure.attempts))
            return None
        is_unknown = failure.may_have_run and not failure.idempotent
        if is_unknown:
            return make_unknown_response(str(error))
        return http_protocol.fail(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            f"upstream_{decision.value}",
            str(error),
            choose_outcome(failure.may_have_run),
            _RETRY_AFTER,
        )

    def end_attempt(
        self,
        route: routing.Route,
        error: errors.CallError | None,
        pause: float | None = None,
    ) -> None:
        """Report the end of an attempt to the node.

        A failure in which the request certainly did not run is reported as
        evidence against the upstream too.

        Args:
            route: The route of the attempt.
            error: How it failed; None if it was answered.
            pause: Seconds for which the upstream wants no more requests.
        """
        kinds = routing.EndKind
        if error is None:
            kind = kinds.ANSWERED
        elif error is CALLER_LEFT:
            kind = kinds.ABANDONED
        else:
            kind = kinds.FAILED
        self.report_end(route, kind, pause)
        if error is not None and not error.may_have_run:
            failed = evidence.UpstreamFailed(route.subject, route.generation)
            self._core.tell(failed)

    def report_end(
        self,
        route: routing.Route,
        kind: routing.EndKind,
        pause: float | None = None,
    ) -> None:
        """Report to the node how an attempt ended."""
        ended = routing.AttemptEnded(route.attempt, kind, pause or 0.0)
        self._core.tell(ended)

    def next_attempt(self) -> ids.AttemptId:
        """Return an attempt id that was not used before."""
        me = self._core.node.nodes.me
        number = next(self._attempts)
        return ids.AttemptId(f"{me.id}.{me.incarnation}.{number}")

    def count_request(self, kind: str) -> None:
        """Count a request by its kind."""
        self._meter.add(actions.Counter.REQUESTS.value, 1, kind)

    def earn_retry(self) -> None:
        """Add a new request's share to the retry budget."""
        self._retries.earn()


class EntryHandlers(server.Handlers):
    """Answers which entries a caller should use."""

    def __init__(
        self, core: coordinator.Coordinator, clock: timers.TimerService
    ) -> None:
        self._core = core
        self._clock = clock

    @server.route("GET", r"/v1/entries")
    def list_entries(self, request: server.Request) -> Response:
        """Return the addresses of the entries of a data centre."""
        node = self._core.node
        own = node.nodes.me.datacentre
        wanted = request.query.get("datacentre", own)
        prefix = node.homes.make_prefix(self._clock.now())
        entries = node.entries.choose(ids.DatacentreName(wanted), prefix)
        return http_protocol.make_json(entries)


def get_forwarded_headers(
    request: server.Request,
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are forwarded to an upstream."""
    return tuple(
        (name, request.headers[name])
        for name in _FORWARDED_HEADERS
        if name in request.headers
    )


def make_refused_error(peer: str, status: int) -> errors.CallError:
    """Return the error for a status that says the request did not run."""
    return errors.CallError(
        errors.Step.CONNECT,
        peer,
        errors.Failure.REFUSED,
        f"status {status}",
    )


def choose_outcome(may_have_run: bool) -> homes.Outcome:
    """Return the outcome of a failed request."""
    if may_have_run:
        return homes.Outcome.UNKNOWN
    return homes.Outcome.NOT_RUN


def make_unknown_response(detail: str) -> Response:
    """Return the error response for a call that may have run."""
    return http_protocol.fail(
        http.HTTPStatus.BAD_GATEWAY,
        "outcome_unknown",
        f"the call may have run: {detail}",
        homes.Outcome.UNKNOWN,
    )

"""What all requests of callers share: who asks, routes, retries, ends."""

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
# The queue answers by the deadline; this only guards against a bug.
_QUEUE_TIMEOUT_MARGIN = 1.0
_FORWARDED_HEADERS = (
    "currantwall-kind",
    "content-type",
    "accept",
    "traceparent",
    "tracestate",
    "baggage",
)
_RETRY_AFTER = 1.0
CALLER_LEFT = errors.CallError(
    errors.Step.BODY, "caller", errors.Failure.CLOSED
)
_ANONYMOUS = ids.OrganisationName("")


class CallContext(msgspec.Struct, frozen=True):
    """Who asks, what the answer is worth, and until when.

    Attributes:
        deadline: Monotonic time of this process.
    """

    organisation: ids.OrganisationName
    weight: float
    deadline: float


class Callers:
    """What the handlers of callers' requests share in one process."""

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

    # -- Who asks

    def identify(
        self, request: server.Request
    ) -> ids.OrganisationName | Response:
        """Return the organisation of a caller, or the refusal."""
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
        """Return what a caller wants besides the answer itself."""
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
        """Return a route, waiting in the queue up to the deadline."""
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
        """Wait before a retry, or return the final answer."""
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
        self, route: routing.Route, error: errors.CallError | None
    ) -> None:
        """Tell the node of an end and of the failure behind it."""
        kinds = routing.EndKind
        if error is None:
            kind = kinds.ANSWERED
        elif error is CALLER_LEFT:
            kind = kinds.ABANDONED
        else:
            kind = kinds.FAILED
        self.report_end(route, kind)
        if error is not None and not error.may_have_run:
            failed = evidence.UpstreamFailed(route.subject, route.generation)
            self._core.tell(failed)

    def report_end(self, route: routing.Route, kind: routing.EndKind) -> None:
        """Tell the node how an attempt ended."""
        self._core.tell(routing.AttemptEnded(route.attempt, kind))

    def next_attempt(self) -> ids.AttemptId:
        """Return an attempt id not used before."""
        me = self._core.node.nodes.me
        number = next(self._attempts)
        return ids.AttemptId(f"{me.id}.{me.incarnation}.{number}")

    def count_request(self, kind: str) -> None:
        """Count a request by its kind."""
        self._meter.add(actions.Counter.REQUESTS.value, 1, kind)

    def earn_retry(self) -> None:
        """Note a new request: it earns its share of a retry."""
        self._retries.earn()


class EntryHandlers(server.Handlers):
    """Tells callers which addresses to use."""

    def __init__(
        self, core: coordinator.Coordinator, clock: timers.TimerService
    ) -> None:
        self._core = core
        self._clock = clock

    @server.route("GET", r"/v1/entries")
    def list_entries(self, request: server.Request) -> Response:
        """Return the addresses that a caller should use."""
        node = self._core.node
        own = node.nodes.me.datacentre
        wanted = request.query.get("datacentre", own)
        prefix = node.homes.make_prefix(self._clock.now())
        entries = node.entries.choose(ids.DatacentreName(wanted), prefix)
        return http_protocol.make_json(entries)


def get_forwarded_headers(
    request: server.Request,
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are passed on to an upstream."""
    return tuple(
        (name, request.headers[name])
        for name in _FORWARDED_HEADERS
        if name in request.headers
    )


def make_refused_error(peer: str, status: int) -> errors.CallError:
    """Return the error of an upstream that says it ran nothing."""
    return errors.CallError(
        errors.Step.CONNECT,
        peer,
        errors.Failure.REFUSED,
        f"status {status}",
    )


def choose_outcome(may_have_run: bool) -> homes.Outcome:
    """Return what may be said of a request that failed."""
    if may_have_run:
        return homes.Outcome.UNKNOWN
    return homes.Outcome.NOT_RUN


def make_unknown_response(detail: str) -> Response:
    """Return the response for a call that may have run."""
    return http_protocol.fail(
        http.HTTPStatus.BAD_GATEWAY,
        "outcome_unknown",
        f"the call may have run: {detail}",
        homes.Outcome.UNKNOWN,
    )

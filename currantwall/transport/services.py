"""Calls of plain services; those with an idempotency key run at most once."""

import http
import itertools

import msgspec
import result
import urllib3
import xxhash

from currantwall.coordination.requests import homes
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
from currantwall.protocol import advisories
from currantwall.protocol import errors
from currantwall.protocol import http as http_protocol
from currantwall.state import ids
from currantwall.state import keys
from currantwall.state import settings as settings_module
from currantwall.transport import callers
from currantwall.transport import coordinator
from currantwall.transport import server
from currantwall.transport import timers
from currantwall.transport import upstreams

__all__ = ["ServiceHandlers"]

Response = http_protocol.Response
# Seconds by which the timeout of a call forwarded to its home node exceeds
# the timeout of the call itself.
_FORWARD_TIMEOUT_MARGIN = 2.0
# Seconds after which a caller should retry a call whose key could not be
# looked up in time.
_RETRY_AFTER = 1.0


class _CallResult(msgspec.Struct, frozen=True):
    """Outcome of a call, its response, and the answer to store."""

    outcome: homes.Outcome
    response: Response
    answer: homes.StoredAnswer | None = None


class ServiceHandlers(server.Handlers):
    """Forwards calls to plain services."""

    def __init__(
        self,
        core: coordinator.Coordinator,
        shared: callers.Callers,
        calls: upstreams.Upstreams,
        clock: timers.TimerService,
    ) -> None:
        self._core = core
        self._callers = shared
        self._calls = calls
        self._clock = clock
        self._settings = core.node.settings
        self._services = {
            section.name: section for section in self._settings.services
        }

    @server.route("POST", r"/v1/services/(?P<name>[^/]+)(?P<path>/.*)")
    def call_service(self, request: server.Request) -> Response:
        """Forward a call to a plain service."""
        caller = self._callers.identify(request)
        if isinstance(caller, Response):
            return caller
        name = ids.ServiceName(request.path_params["name"])
        service = self._services.get(name)
        if service is None:
            status = http.HTTPStatus.NOT_FOUND
            message = f"unknown service {name!r}"
            return http_protocol.fail(status, "unknown_target", message)
        self._callers.count_request("service")
        self._callers.earn_retry()
        context = self._callers.read_context(request, caller)
        if isinstance(context, Response):
            return context
        limit = self._clock.now() + service.timeout
        context = msgspec.structs.replace(
            context, deadline=min(context.deadline, limit)
        )
        key = request.headers.get(http_protocol.KEY_HEADER.lower(), "")
        if service.idempotent or not key:
            return self._dispatch(request, service, context).response
        return self._call_keyed(request, service, context, ids.KeyText(key))

    def _call_keyed(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        context: callers.CallContext,
        key: ids.KeyText,
    ) -> Response:
        scope = f"{context.organisation}/{service.name}"
        forwarded = http_protocol.FORWARDED_HEADER.lower()
        decision = self._core.ask(
            lambda ticket: homes.CallOffered(
                ticket,
                key,
                scope,
                xxhash.xxh3_64_intdigest(
                    request.path.encode() + b"\0" + request.body
                ),
                forwarded in request.headers,
            ),
            self._settings.requests.timeout,
        )
        if decision is None:
            return _make_unbound_response()
        if decision.kind is homes.DecisionKind.FORWARD:
            return self._forward(request, service, decision.home)
        if decision.kind is not homes.DecisionKind.DISPATCH:
            return http_protocol.from_decision(decision)
        call_result = self._dispatch(request, service, context)
        self._core.tell(
            homes.CallEnded(
                key, scope, call_result.outcome, call_result.answer
            )
        )
        return call_result.response

    def _dispatch(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        context: callers.CallContext,
    ) -> _CallResult:
        """Run a call, with retries, and return its result."""
        excluded: tuple[str, ...] = ()
        may_have_run = False
        for attempts in itertools.count(1):
            route = self._route_service(service, context, excluded)
            if isinstance(route, routing.Refusal):
                refused = http_protocol.from_refusal(route, may_have_run)
                return _CallResult(
                    callers.choose_outcome(may_have_run), refused
                )
            fetched = self._fetch(request, service, route)
            if isinstance(fetched, result.Ok):
                answer = fetched.ok_value
                response = http_protocol.from_answer(answer, attempts)
                return _CallResult(homes.Outcome.DONE, response, answer)
            error = fetched.err_value
            excluded = (*excluded, route.subject)
            may_have_run = may_have_run or error.may_have_run
            failure = retries.AttemptFailure(
                attempts=attempts,
                may_have_run=may_have_run,
                idempotent=service.idempotent,
                started=False,
                deadline=context.deadline,
            )
            refusal = self._callers.decide_retry(failure, error)
            if refusal is not None:
                return _CallResult(
                    callers.choose_outcome(may_have_run), refusal
                )
        raise AssertionError("unreachable")

    def _route_service(
        self,
        service: settings_module.ServiceSection,
        context: callers.CallContext,
        excluded: tuple[str, ...],
    ) -> routing.Route | routing.Refusal:
        attempt = self._callers.next_attempt()
        return self._callers.request_route(
            lambda ticket: routing.RouteRequested(
                ticket=ticket,
                attempt=attempt,
                service=service.name,
                excluded=excluded,
                organisation=context.organisation,
                weight=context.weight,
                deadline=context.deadline,
            ),
            context.deadline,
        )

    def _fetch(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        route: routing.Route,
    ) -> result.Result[homes.StoredAnswer, errors.CallError]:
        call = upstreams.Call(
            address=route.address,
            path=request.path_params["path"],
            body=request.body,
            headers=callers.get_forwarded_headers(request),
            timeout=service.timeout,
            connect_timeout=self._settings.requests.connect_timeout,
            new_connection=not service.idempotent,
        )
        fetched = self._calls.fetch(call)
        if isinstance(fetched, result.Err):
            self._callers.end_attempt(route, fetched.err_value)
            return fetched
        status = fetched.ok_value.status
        headers = urllib3.HTTPHeaderDict(fetched.ok_value.headers)
        pause = advisories.parse_retry_after(status, headers)
        self._callers.end_attempt(route, None, pause)
        if status not in service.refusals:
            return fetched
        return result.Err(callers.make_refused_error(route.address, status))

    def _forward(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        home: keys.Home,
    ) -> Response:
        """Forward a keyed call to its home node and return the answer."""
        member = self._core.node.nodes.get(home.node)
        if member is None:
            return callers.make_unknown_response("its home is gone")
        me = self._core.node.nodes.me.id
        headers = (
            *callers.get_forwarded_headers(request),
            (http_protocol.KEY_HEADER, request.headers["idempotency-key"]),
            (http_protocol.FORWARDED_HEADER, me),
            *_get_token_header(request),
        )
        call = upstreams.Call(
            address=member.address,
            path=request.target,
            body=request.body,
            headers=headers,
            timeout=service.timeout + _FORWARD_TIMEOUT_MARGIN,
            connect_timeout=self._settings.requests.connect_timeout,
        )
        fetched = self._calls.fetch(call)
        if isinstance(fetched, result.Err):
            return callers.make_unknown_response(
                f"its home: {fetched.err_value}"
            )
        answer = fetched.ok_value
        return Response(answer.status, answer.headers, answer.body)


def _get_token_header(request: server.Request) -> tuple[tuple[str, str], ...]:
    token = request.headers.get("authorization")
    return (("authorization", token),) if token else ()


def _make_unbound_response() -> Response:
    return http_protocol.fail(
        http.HTTPStatus.BAD_GATEWAY,
        "outcome_unknown",
        "nothing was run now; the key could not be looked up in time",
        homes.Outcome.UNKNOWN,
        _RETRY_AFTER,
    )

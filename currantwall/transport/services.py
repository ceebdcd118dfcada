"""Calls of plain services, keyed ones at most once."""

import http
import itertools

import msgspec
import result
import xxhash

from currantwall.coordination.requests import homes
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
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
# A caller that asks for its answer through another node waits this much
# longer than the call itself may take.
_FORWARD_SLACK = 2.0
_RETRY_LATER = 1.0


class _Dispatched(msgspec.Struct, frozen=True):
    """What came of running a call."""

    outcome: homes.Outcome
    response: Response
    answer: homes.StoredAnswer | None = None


class ServiceHandlers(server.Handlers):
    """Passes calls to plain services."""

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
        self._services = {one.name: one for one in self._settings.services}

    @server.route("POST", r"/v1/services/(?P<name>[^/]+)(?P<path>/.*)")
    def call_service(self, request: server.Request) -> Response:
        """Pass a call to a plain service."""
        caller = self._callers.identify(request)
        if isinstance(caller, Response):
            return caller
        name = ids.ServiceName(request.words["name"])
        service = self._services.get(name)
        if service is None:
            status = http.HTTPStatus.NOT_FOUND
            message = f"unknown service {name!r}"
            return http_protocol.fail(status, "unknown_target", message)
        self._callers.count_request("service")
        self._callers.earn_retry()
        wish = self._callers.read_wish(request, caller)
        if isinstance(wish, Response):
            return wish
        limit = self._clock.now() + service.timeout
        wish = msgspec.structs.replace(
            wish, deadline=min(wish.deadline, limit)
        )
        key = request.headers.get(http_protocol.KEY_HEADER.lower(), "")
        if service.idempotent or not key:
            return self._dispatch(request, service, wish).response
        return self._call_keyed(request, service, wish, ids.KeyText(key))

    def _call_keyed(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        wish: callers.Wish,
        key: ids.KeyText,
    ) -> Response:
        scope = f"{wish.organisation}/{service.name}"
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
            return _refuse_unbound()
        if decision.kind is homes.DecisionKind.FORWARD:
            return self._forward(request, service, decision.home)
        if decision.kind is not homes.DecisionKind.DISPATCH:
            return http_protocol.from_decision(decision)
        done = self._dispatch(request, service, wish)
        self._core.tell(homes.CallEnded(key, scope, done.outcome, done.answer))
        return done.response

    def _dispatch(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        wish: callers.Wish,
    ) -> _Dispatched:
        """Run a call and say what is known of it."""
        excluded: tuple[str, ...] = ()
        doubt = False
        for attempts in itertools.count(1):
            route = self._route_service(service, wish, excluded)
            if isinstance(route, routing.Refusal):
                refused = http_protocol.from_refusal(route, doubt)
                return _Dispatched(callers.name_outcome(doubt), refused)
            fetched = self._fetch(request, service, route)
            if isinstance(fetched, result.Ok):
                answer = fetched.ok_value
                response = http_protocol.from_answer(answer, attempts)
                return _Dispatched(homes.Outcome.DONE, response, answer)
            error = fetched.err_value
            excluded = (*excluded, route.subject)
            doubt = doubt or error.may_have_run
            failure = retries.AttemptFailure(
                attempts=attempts,
                may_have_run=doubt,
                idempotent=service.idempotent,
                started=False,
                deadline=wish.deadline,
            )
            refused_ = self._callers.decide_retry(failure, error)
            if refused_ is not None:
                return _Dispatched(callers.name_outcome(doubt), refused_)
        raise AssertionError("unreachable")

    def _route_service(
        self,
        service: settings_module.ServiceSection,
        wish: callers.Wish,
        excluded: tuple[str, ...],
    ) -> routing.Route | routing.Refusal:
        attempt = self._callers.next_attempt()
        return self._callers.ask_route(
            lambda ticket: routing.RouteRequested(
                ticket=ticket,
                attempt=attempt,
                service=service.name,
                excluded=excluded,
                organisation=wish.organisation,
                weight=wish.weight,
                deadline=wish.deadline,
            ),
            wish.deadline,
        )

    def _fetch(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        route: routing.Route,
    ) -> result.Result[homes.StoredAnswer, errors.CallError]:
        call = upstreams.Call(
            address=route.address,
            path=request.words["path"],
            body=request.body,
            headers=callers.pass_headers(request),
            timeout=service.timeout,
            connect_timeout=self._settings.requests.connect_timeout,
            fresh=not service.idempotent,
        )
        fetched = self._calls.fetch(call)
        error = fetched.err_value if isinstance(fetched, result.Err) else None
        self._callers.end_attempt(route, error)
        if isinstance(fetched, result.Err):
            return fetched
        status = fetched.ok_value.status
        if status not in service.refusals:
            return fetched
        return result.Err(callers.make_refused(route.address, status))

    def _forward(
        self,
        request: server.Request,
        service: settings_module.ServiceSection,
        home: keys.Home,
    ) -> Response:
        """Pass a keyed call to its home and its answer back."""
        member = self._core.node.nodes.get(home.node)
        if member is None:
            return callers.say_unknown("its home is gone")
        me = self._core.node.nodes.me.id
        headers = (
            *callers.pass_headers(request),
            (http_protocol.KEY_HEADER, request.headers["idempotency-key"]),
            (http_protocol.FORWARDED_HEADER, me),
            *_pass_token(request),
        )
        call = upstreams.Call(
            address=member.address,
            path=request.target,
            body=request.body,
            headers=headers,
            timeout=service.timeout + _FORWARD_SLACK,
            connect_timeout=self._settings.requests.connect_timeout,
        )
        fetched = self._calls.fetch(call)
        if isinstance(fetched, result.Err):
            return callers.say_unknown(f"its home: {fetched.err_value}")
        answer = fetched.ok_value
        return Response(answer.status, answer.headers, answer.body)


def _pass_token(request: server.Request) -> tuple[tuple[str, str], ...]:
    token = request.headers.get("authorization")
    return (("authorization", token),) if token else ()


def _refuse_unbound() -> Response:
    return http_protocol.fail(
        http.HTTPStatus.BAD_GATEWAY,
        "outcome_unknown",
        "nothing was run now; the key could not be looked up in time",
        homes.Outcome.UNKNOWN,
        _RETRY_LATER,
    )

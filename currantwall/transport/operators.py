"""Handlers for operators' requests, health checks and metrics."""

from collections import abc
import functools
import http

import msgspec

from currantwall.coordination.profiles import edits
from currantwall.coordination.profiles import forecast
from currantwall.protocol import http as http_protocol
from currantwall.protocol import operators
from currantwall.protocol import signing
from currantwall.state import domain
from currantwall.state import evacuations
from currantwall.state import ids
from currantwall.state import numbers
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import stops
from currantwall.state import timeline
from currantwall.transport import coordinator
from currantwall.transport import logs
from currantwall.transport import metrics
from currantwall.transport import server
from currantwall.transport import timers

__all__ = ["OperatorHandlers"]

Response = http_protocol.Response
Handler = abc.Callable[..., Response]
# Seconds to wait for the result of an edit beyond its own deadline.
_EDIT_SLACK = 5.0
_EDIT_STATUSES = {
    edits.EditOutcome.ACCEPTED: http.HTTPStatus.OK,
    edits.EditOutcome.STORED: http.HTTPStatus.ACCEPTED,
    edits.EditOutcome.CONFLICT: http.HTTPStatus.CONFLICT,
    edits.EditOutcome.NOT_STORED: http.HTTPStatus.SERVICE_UNAVAILABLE,
    edits.EditOutcome.UNKNOWN: http.HTTPStatus.GATEWAY_TIMEOUT,
}


def _signed(handler: Handler) -> Handler:
    """Decorate a handler to refuse requests without a valid signature."""

    @functools.wraps(handler)
    def check(self: "OperatorHandlers", request: server.Request) -> Response:
        refused = self.check_signature(request)
        return refused or handler(self, request)

    return check


class OperatorHandlers(server.Handlers):
    """Handles operators' requests, health checks and metrics.

    Attributes:
        is_leaving: Whether the process is stopping, and not ready any more.
    """

    def __init__(
        self,
        core: coordinator.Coordinator,
        recorder: logs.Recorder,
        clock: timers.TimerService,
        meter: metrics.Metrics,
    ) -> None:
        self._core = core
        self._recorder = recorder
        self._clock = clock
        self._meter = meter
        self._key = core.node.settings.operators.key
        self.is_leaving = False

    # -- Health and metrics

    @server.route("GET", r"/healthz")
    def check_health(self, request: server.Request) -> Response:
        """Answer that the process is running."""
        return Response(http.HTTPStatus.OK, (), b"ok\n")

    @server.route("GET", r"/readyz")
    def check_ready(self, request: server.Request) -> Response:
        """Answer whether the process takes requests."""
        if self._core.node.is_ready and not self.is_leaving:
            return Response(http.HTTPStatus.OK, (), b"ready\n")
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        return Response(status, (), b"not ready\n")

    @server.route("GET", r"/metrics")
    def render_metrics(self, request: server.Request) -> Response:
        """Return the metrics for a scrape."""
        headers = (("Content-Type", "text/plain; version=0.0.4"),)
        return Response(http.HTTPStatus.OK, headers, self._meter.render())

    # -- Signatures

    def check_signature(self, request: server.Request) -> Response | None:
        """Check the signature of a request.

        Returns:
            The response that refuses the request; None if the signature is
            valid or no key is configured.
        """
        if not self._key:
            return None
        value = request.headers.get(signing.HEADER.lower(), "")
        is_valid = signing.verify(
            self._key,
            value,
            self._clock.wall(),
            request.method,
            request.target,
            request.body,
        )
        if is_valid:
            return None
        self._meter.add("currantwall.operators.refused", 1)
        status = http.HTTPStatus.UNAUTHORIZED
        message = "the operators' signature is missing or wrong"
        return http_protocol.fail(status, "bad_signature", message)

    # -- Profiles

    @server.route("GET", r"/v1/admin/profiles")
    @_signed
    def list_profiles(self, request: server.Request) -> Response:
        """Return all profiles."""
        found = [
            self._view_profile(name)
            for name in sorted(self._core.node.view.profiles)
        ]
        return http_protocol.make_json(found)

    @server.route("GET", r"/v1/admin/profiles/(?P<name>[^/]+)")
    @_signed
    def show_profile(self, request: server.Request) -> Response:
        """Return one profile, or version 0 if there is none."""
        return http_protocol.make_json(
            self._view_profile(request.path_params["name"])
        )

    @server.route("PUT", r"/v1/admin/profiles/(?P<name>[^/]+)")
    @_signed
    def put_profile(self, request: server.Request) -> Response:
        """Store a profile if it is still at the expected version."""
        return self._edit(request, objects.Kind.PROFILES, profile.Profile)

    @server.route("DELETE", r"/v1/admin/profiles/(?P<name>[^/]+)")
    @_signed
    def delete_profile(self, request: server.Request) -> Response:
        """Delete a profile if it is still at the expected version."""
        return self._edit(request, objects.Kind.PROFILES, None)

    def _view_profile(self, name: str) -> operators.ProfileView:
        view = self._core.node.view
        held = view.profiles.get(name)
        key = objects.ObjectKey(objects.Kind.PROFILES.value, name)
        return operators.ProfileView(view.get_expected_version(key), held)

    # -- Stops

    @server.route("GET", r"/v1/admin/stops")
    @_signed
    def list_stops(self, request: server.Request) -> Response:
        """Return all planned stops."""
        view = self._core.node.view
        found = []
        for name, stop in sorted(view.stops.items()):
            key = objects.ObjectKey(objects.Kind.STOPS.value, name)
            progress = self._core.node.stopping.describe(stop)
            found.append(
                operators.StopView(
                    view.get_expected_version(key),
                    stop,
                    progress.waiting,
                    progress.finished,
                )
            )
        return http_protocol.make_json(found)

    @server.route("PUT", r"/v1/admin/stops/(?P<name>[^/]+)")
    @_signed
    def put_stop(self, request: server.Request) -> Response:
        """Plan a stop, if it is still at the expected version."""
        return self._edit(request, objects.Kind.STOPS, stops.Stop)

    @server.route("DELETE", r"/v1/admin/stops/(?P<name>[^/]+)")
    @_signed
    def delete_stop(self, request: server.Request) -> Response:
        """Cancel a stop, if it is still at the expected version."""
        return self._edit(request, objects.Kind.STOPS, None)

    # -- Evacuations

    @server.route("GET", r"/v1/admin/evacuations")
    @_signed
    def list_evacuations(self, request: server.Request) -> Response:
        """Return all requested evacuations with what each waits for."""
        view = self._core.node.view
        found = []
        for name, evacuation in sorted(view.evacuations.items()):
            key = objects.ObjectKey(objects.Kind.EVACUATIONS.value, name)
            scope = stops.StopScope.DATACENTRE
            progress = self._core.node.stopping.describe(
                stops.Stop(id=name, scope=scope, target=name)
            )
            found.append(
                operators.EvacuationView(
                    view.get_expected_version(key),
                    msgspec.structs.replace(evacuation, name=name),
                    progress.waiting,
                    progress.finished,
                )
            )
        return http_protocol.make_json(found)

    @server.route("PUT", r"/v1/admin/evacuations/(?P<name>[^/]+)")
    @_signed
    def put_evacuation(self, request: server.Request) -> Response:
        """Request an evacuation, if it is still at the expected version."""
        name = request.path_params["name"]
        known = self._core.node.view.list_datacentres()
        if name not in known:
            message = (
                f"no data centre {name!r}; known: {', '.join(sorted(known))}"
            )
            return http_protocol.fail(
                http.HTTPStatus.NOT_FOUND, "unknown_datacentre", message
            )
        return self._edit(
            request, objects.Kind.EVACUATIONS, evacuations.Evacuation
        )

    @server.route("DELETE", r"/v1/admin/evacuations/(?P<name>[^/]+)")
    @_signed
    def delete_evacuation(self, request: server.Request) -> Response:
        """Withdraw an evacuation, if it is at the expected version."""
        return self._edit(request, objects.Kind.EVACUATIONS, None)

    # -- Forecast

    @server.route("GET", r"/v1/admin/forecast")
    @_signed
    def show_forecast_basis(self, request: server.Request) -> Response:
        """Return the data from which operators' tools compute the forecast."""
        node = self._core.node
        each = max(
            (one.accelerators for one in node.view.instances.values()),
            default=1,
        )
        standings = [
            forecast.Standing(
                wanted,
                sum(
                    held.count_accelerators(wanted.name)
                    for held in node.view.domains.values()
                ),
                each,
            )
            for _, wanted in sorted(node.view.profiles.items())
        ]
        uses = node.usage.select(self._clock.now())
        return http_protocol.make_json(
            operators.ForecastBasis(standings, uses)
        )

    # -- Edits

    def _edit(
        self,
        request: server.Request,
        kind: objects.Kind,
        struct: type[msgspec.Struct] | None,
    ) -> Response:
        text = request.query.get("expected", "")
        expected = numbers.parse_count(text, numbers.REVISION_DIGITS)
        if expected is None:
            status = http.HTTPStatus.BAD_REQUEST
            message = "expected=VERSION is missing from the query"
            return http_protocol.fail(status, "bad_request", message)
        value = b""
        if struct is not None:
            checked = _check_value(request, struct)
            if isinstance(checked, Response):
                return checked
            value = checked
        key = objects.ObjectKey(kind.value, request.path_params["name"])
        return self._store(key, value, ids.Version(expected))

    def _store(
        self, key: objects.ObjectKey, value: bytes, expected: ids.Version
    ) -> Response:
        deadline = self._core.node.settings.peers.edit_deadline
        answer = self._core.ask(
            lambda ticket: edits.EditRequested(ticket, key, value, expected),
            deadline + _EDIT_SLACK,
        )
        if answer is None:
            answer = edits.EditResult(edits.EditOutcome.UNKNOWN)
        body = operators.EditAnswer(
            answer.outcome, answer.version, answer.missing
        )
        status = _EDIT_STATUSES[answer.outcome]
        return http_protocol.make_json(body, status)

    # -- Status and timeline

    @server.route("GET", r"/v1/admin/status")
    @_signed
    def show_status(self, request: server.Request) -> Response:
        """Return the state of the system as this node knows it."""
        node = self._core.node
        body = operators.Status(
            node=node.nodes.me.id,
            ready=node.is_ready,
            members=sorted(node.nodes.all(), key=lambda one: one.id),
            unreachable=sorted(node.nodes.unreachable),
            profiles=[
                self._view_profile(name) for name in sorted(node.view.profiles)
            ],
            domains=[
                self._describe_domain(held)
                for _, held in sorted(node.view.domains.items())
            ],
            open_attempts=node.router.open_attempts,
        )
        return http_protocol.make_json(body)

    def _describe_domain(self, held: domain.Domain) -> operators.DomainStatus:
        return operators.DomainStatus(
            name=held.name,
            datacentre=held.datacentre,
            holder=held.lease.holder if held.lease else "",
            epoch=held.epoch,
            idle=held.idle,
            replicas=[
                self._describe_replica(held, replica)
                for replica in held.replicas
            ],
        )

    def _describe_replica(
        self, held: domain.Domain, replica: domain.Replica
    ) -> operators.ReplicaStatus:
        node = self._core.node
        now = self._clock.now()
        return operators.ReplicaStatus(
            id=replica.id,
            profile=replica.profile,
            generation=replica.generation,
            phase=replica.phase.value,
            usable=node.evidence.may_use(held, replica, now),
            members=replica.members,
            load=node.router.estimate_load(replica.id),
        )

    @server.route("GET", r"/v1/admin/timeline")
    @_signed
    def show_timeline(self, request: server.Request) -> Response:
        """Return the events of this process, all or those after a stamp."""
        text = request.query.get("since", "")
        since = numbers.parse_count(text, numbers.REVISION_DIGITS)
        stamp = None if since is None else timeline.Stamp(since)
        body = operators.Timeline(
            self._core.node.nodes.me.id, self._recorder.ring.select(stamp)
        )
        return http_protocol.make_json(body)


def _check_value(
    request: server.Request, struct: type[msgspec.Struct]
) -> bytes | Response:
    """Return the stored form of a request's body, or an error response."""
    name = request.path_params["name"]
    status = http.HTTPStatus.BAD_REQUEST
    try:
        value = msgspec.json.decode(request.body, type=struct)
    except msgspec.MsgspecError as error:
        return http_protocol.fail(status, "bad_request", str(error))
    given = getattr(value, "name", None) or getattr(value, "id", None)
    if given != name:
        message = f"the body is about {given!r}, the path about {name!r}"
        return http_protocol.fail(status, "bad_request", message)
    return objects.encode(value)

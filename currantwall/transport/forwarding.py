"""Handling of a caller's request by a gateway.

The configuration in force admits the request (route, key, service). It
is then sent to an upstream (`sending`), and answered whole (`wholes`) or
by an event stream (`streams`).
"""

import socket
import weakref

import eventlet
import eventlet.event
import eventlet.hubs
import eventlet.queue

from currantwall.coordination.requests import attempts
from currantwall.state import numbers
from currantwall.state import routes
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import readers
from currantwall.transport import requests
from currantwall.transport import sending
from currantwall.transport import streams
from currantwall.transport import wholes

__all__ = ["Forwarder"]

Reply = ingress.Reply

# Largest part of a caller's remaining time that `Retry-After` may ask for.
_MAX_RETRY_AFTER_SHARE = 0.3
# Largest part of a request's time for which its body may wait for room, and
# the seconds that a caller is taken to wait that says nothing.
_MAX_WAIT_SHARE = 0.5
_DEFAULT_TIMEOUT = 4.0
# Messages in a request's inbox above which its upstream is not read.
_INBOX_LIMIT = 64
# Seconds between two checks of a caller that has pipelined more bytes.
_PEEK_INTERVAL = 0.05
# Seconds for which a caller that has ended its side of the connection may
# still get a whole answer. Nothing else tells it from one that has left.
_HALF_CLOSE_GRACE = 0.3


class Forwarder:
    """Answers callers' requests.

    Attributes:
        table: The configuration in force; None before the first one.
        is_stopping: Whether new requests are refused because the process
            is about to end.
    """

    def __init__(
        self,
        sender: sending.Sender,
        meter: metrics_module.Metrics,
        log: journal.Journal,
    ) -> None:
        self.table: routes.RouteTable | None = None
        self.is_stopping = False
        self._sender = sender
        # Requests that are being served, by the identity of each.
        self._active: weakref.WeakValueDictionary[int, requests.Request] = (
            weakref.WeakValueDictionary()
        )
        self._started_at = sender.now()
        self._start_ended = eventlet.event.Event()
        self._names = sender.names
        self._meter = meter
        self._log = log
        self._wholes = wholes.WholeAnswers(sender)
        self._streams = streams.Streams(sender)

    @property
    def has_configuration(self) -> bool:
        """Return whether a configuration is in force."""
        return self.table is not None

    def end_start_hold(self) -> None:
        """Release the requests that were held until the node is ready."""
        if not self._start_ended.ready():
            self._start_ended.send(None)

    def _wait_for_start(self) -> None:
        if self._start_ended.ready():
            return
        elapsed = self._sender.now() - self._started_at
        with eventlet.Timeout(attempts.get_start_hold(elapsed), False):
            self._start_ended.wait()

    def serve(self, inbound: ingress.Inbound) -> Reply:
        """Return the answer to a request."""
        self._wait_for_start()
        attempt_id = inbound.headers.get(self._names.attempt, "")
        try:
            request = self._admit(inbound, attempt_id)
        except requests.Refused as refusal:
            return self._refuse(refusal, attempt_id, "admission")
        self._sender.note_request(request)
        self._active[id(request)] = request
        request.watcher = eventlet.spawn_n(self._watch_caller, request)
        try:
            if request.route.kind is routes.RouteKind.STREAMING:
                return self._streams.serve(request)
            return self._wholes.serve(request)
        except requests.Refused as refusal:
            request.end_watching()
            remaining = request.deadline - self._sender.now()
            max_retry_after = max(0.05, remaining * _MAX_RETRY_AFTER_SHARE)
            if not refusal.is_lasting:
                refusal.retry_after = min(refusal.retry_after, max_retry_after)
            return self._refuse(refusal, attempt_id, request.route.name)
        except BaseException:
            request.end_watching()
            raise

    def end_requests(self) -> None:
        """Answer the requests that are in progress, as this process ends.

        What was sent to an upstream may have run, and its answer says so; a
        stream that has begun is broken off.

        Failure: the connection ends without an answer, and the caller
        can't tell whether its request was received.
        """
        for request in list(self._active.values()):
            eventlet.spawn_n(request.inbox.put, requests.Stopping())

    def get_patience(self, head: readers.Head) -> float:
        """Return for how many seconds a request's body may wait for room."""
        timeouts = [_DEFAULT_TIMEOUT]
        caller_timeout = _parse_timeout(head.headers.get(self._names.budget))
        if caller_timeout is not None:
            timeouts = [caller_timeout]
        if self.table is not None:
            host = head.headers["host"].partition(":")[0]
            path = head.target.partition("?")[0]
            route = self.table.find_route(host, path)
            if route is not None:
                timeouts.append(route.timeout)
        return min(timeouts) * _MAX_WAIT_SHARE

    def _admit(
        self, inbound: ingress.Inbound, attempt_id: str
    ) -> requests.Request:
        """Return the request with its route and service.

        Raises:
            requests.Refused: The configuration does not admit it.
        """
        table = self.table
        if self.is_stopping:
            raise requests.Refused(503, sending.STOPPING, 0.0)
        if table is None:
            retry_after = attempts.estimate_start_delay(
                self._sender.now() - self._started_at
            )
            raise requests.Refused(503, "no configuration yet", retry_after)
        host = inbound.headers["host"].partition(":")[0]
        route = table.find_route(host, inbound.path)
        if route is None:
            raise requests.Refused(404, "no route")
        organisation = self._identify_organisation(inbound, table, route)
        name = route.choose_service(attempt_id)
        service = table.find_service(name)
        if service is None:
            retry_after = attempts.estimate_start_delay(0.0)
            raise requests.Refused(503, "unknown service", retry_after)
        caller_timeout = _parse_timeout(
            inbound.headers.get(self._names.budget)
        )
        timeout = route.timeout
        if caller_timeout is not None:
            timeout = min(timeout, caller_timeout)
        model = None
        if service.engine is not None:
            model = inbound.headers.get(self._names.model, "")
        return requests.Request(
            inbound=inbound,
            attempt_id=attempt_id,
            route=route,
            service=service,
            model=model,
            organisation=organisation,
            deadline=inbound.received + timeout,
            caller_timeout=caller_timeout,
            version=table.version,
            inbox=eventlet.queue.LightQueue(_INBOX_LIMIT),
            progress=attempts.Progress(),
            tried=set(),
            prompt=requests.read_prompt(
                inbound.method,
                inbound.target,
                inbound.headers,
                inbound.body,
                self._names,
            ),
            last_event=inbound.headers.get(self._names.last_event, ""),
            carries_key=not route.public
            or (table.needs_keys and _read_key(inbound) is not None),
        )

    def _identify_organisation(
        self,
        inbound: ingress.Inbound,
        table: routes.RouteTable,
        route: routes.Route,
    ) -> routes.Organisation | None:
        if not table.needs_keys:
            return None
        key = _read_key(inbound)
        organisation = None
        if key is not None:
            organisation = table.find_organisation(key)
        if organisation is None and not route.public:
            raise requests.Refused(401, "unknown key")
        return organisation

    def _watch_caller(self, request: requests.Request) -> None:
        """Put a message into the inbox when the caller disconnects.

        Failure: a caller disconnects while its request waits or runs, and
        an upstream goes on working on an answer that nobody reads. Bytes
        are only peeked at: pipelined ones belong to the next request.
        """
        sock = request.inbound.client
        client = getattr(sock, "fd", sock)
        while True:
            try:
                eventlet.hubs.trampoline(client.fileno(), read=True)
                data = client.recv(1, socket.MSG_PEEK)
            except BlockingIOError:
                continue
            except (OSError, ValueError):
                self._note_disconnected(request, may_read=False)
                return
            if not data:
                if request.route.kind is not routes.RouteKind.STREAMING:
                    eventlet.sleep(_HALF_CLOSE_GRACE)
                self._note_disconnected(request, may_read=True)
                return
            eventlet.sleep(_PEEK_INTERVAL)

    @staticmethod
    def _note_disconnected(request: requests.Request, may_read: bool) -> None:
        request.disconnected = True
        request.inbox.put(requests.Disconnected(may_read))

    def _refuse(
        self, refusal: requests.Refused, attempt_id: str, where: str
    ) -> Reply:
        self._meter.add(sending.ANSWERS, 1, str(refusal.status))
        self._log.write(
            "refused",
            request=attempt_id,
            where=where,
            status=refusal.status,
            why=refusal.reason,
            retry_after=round(refusal.retry_after, 3),
            version=self.table.version if self.table else 0,
            list_age=self._sender.fleet_age(self._sender.now()),
        )
        headers = [("Content-Type", "text/plain")]
        if refusal.status == 503:
            wait = max(refusal.retry_after, 0.05)
            headers.append(("Retry-After", f"{wait:.3f}"))
        if attempt_id:
            headers.append((self._names.attempt, attempt_id))
        return Reply(
            status=refusal.status,
            headers=headers,
            body=refusal.reason.encode(),
        )


def _parse_timeout(value: str | None) -> float | None:
    """Return the seconds that a caller will wait, None if unspecified.

    Args:
        value: The header's value in milliseconds.
    """
    milliseconds = None if value is None else numbers.parse_count(value)
    return None if milliseconds is None else milliseconds / 1000.0


def _read_key(inbound: ingress.Inbound) -> str | None:
    """Return the key that a request carries, None without one."""
    text = inbound.headers.get("authorization", "")
    scheme, _, key = text.partition(" ")
    return key.strip() if scheme.lower() == "bearer" else None

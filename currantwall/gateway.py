"""The composition root of a gateway process.

A gateway serves callers' requests on a platform whose store holds the
configuration and the list of instances. What speaks to that platform is
handed in (`transport.ports`); everything else is wired here.
"""

from collections import abc
import os
import signal
import socket
import time
import typing

import eventlet
import eventlet.event
import msgspec

from currantwall.coordination.peers import directory
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.protocol import names as names_module
from currantwall.state import gateway
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import configurations
from currantwall.transport import domainleases
from currantwall.transport import duties
from currantwall.transport import exchanges
from currantwall.transport import fleets
from currantwall.transport import forwarding
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import listeners
from currantwall.transport import metrics as metrics_module
from currantwall.transport import news
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import queues
from currantwall.transport import registrations
from currantwall.transport import sending
from currantwall.transport import timers

__all__ = ["Gateway"]

# Seconds between two rounds of housekeeping.
_SWEEP_INTERVAL = 1.0
# Seconds of the grace that are left when the process ends by itself.
_LAST_SECONDS = 0.4
_POLL = 0.05
# Seconds between two looks at whether a node that starts can serve.
_START_POLL = 0.01


class Gateway:
    """One gateway process."""

    def __init__(
        self,
        settings: gateway.GatewaySettings,
        names: names_module.HeaderNames,
        documents: ports.Documents,
        make_store: abc.Callable[[metrics_module.Metrics], ports.Store],
        make_engines: abc.Callable[[exchanges.Connections], ports.Engines],
        listener: socket.socket | None = None,
    ) -> None:
        """Wire the parts.

        Args:
            settings: What the process is told of itself.
            names: Headers of requests and answers.
            documents: Decodes what the store holds.
            make_store: Makes the client of the store.
            make_engines: Makes what speaks to engines.
            listener: Listens at the front address; opened by `run` where
                the program has not done so.
        """
        self._settings = settings
        self._documents = documents
        self._clock = timers.TimerService()
        self._now = self._clock.now
        self._meter = metrics_module.Metrics(settings.node)
        self._log = journal.Journal(settings.node, self._now)
        self._store = make_store(self._meter)
        self._fleet = upstreams.Fleet()
        self._balancer = balancing.Balancer(self._fleet, settings.datacentre)
        self._budget = budgets.RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window,
        )
        self._connections = exchanges.Connections(self._now)
        self._queue = queues.Queue(
            self._balancer, self._meter, self._log, self._now
        )
        self._sender = sending.Sender(
            self._balancer,
            self._budget,
            self._connections,
            self._queue,
            names,
            self._meter,
            self._log,
            self._now,
        )
        self._sender.fleet_age = lambda now: now - self._fleet.updated
        self._forwarder = forwarding.Forwarder(
            self._sender, self._meter, self._log
        )
        me = presence_module.NodeEntry(
            id=settings.node,
            datacentre=settings.datacentre,
            front=settings.front,
            heartbeats=settings.heartbeats,
            peer=settings.peer,
            incarnation=time.time_ns() // 1000,
            capacity=settings.capacity,
        )
        self._presence = presence_module.Presence(me)
        self._configuration = configurations.ConfigurationFeed(
            self._store,
            documents,
            self._forwarder,
            self._presence,
            self._log,
            self._clock,
        )
        self._fleet_feed = fleets.FleetFeed(
            self._store,
            documents,
            self._fleet,
            self._presence,
            self._log,
            self._clock,
        )
        self._nodes_feed = registrations.NodesFeed(
            self._store, self._presence, self._log, self._clock
        )
        self._leases = domainleases.DomainLeases(
            self._store, self._presence, self._log, self._clock
        )
        self._duties = duties.Duties(
            self._leases,
            make_engines(self._connections),
            self._fleet,
            self._balancer,
            self._log,
            self._meter,
            self._clock,
        )
        self._duties.services = self._list_services
        self._news = self._make_news()
        self._stopping = False
        self._listener: typing.Any = listener
        self._front_task: typing.Any = None
        self._stopped = eventlet.event.Event()
        self._front = self._make_ingress(self._forwarder.serve)

    def _make_news(self) -> news.NewsExchange:
        """Return what exchanges news, known to those who have some."""
        made = news.NewsExchange(
            self._settings.heartbeats,
            self._presence,
            self._balancer,
            self._budget,
            self._configuration,
            self._fleet_feed,
            self._leases,
            self._duties,
            self._meter,
            self._clock,
        )
        made.is_ready = lambda: self._is_ready
        made.abort_attempts = self._sender.abort_attempts
        self._sender.on_probe_requested = made.report_stall
        self._queue.on_high_load = made.report_high_load
        self._duties.on_loss = made.announce_loss
        self._duties.on_slow = made.announce_slow
        self._configuration.on_change = made.announce_configuration
        self._fleet_feed.on_change = made.announce_list
        return made

    # -- Serving

    def run(self) -> None:
        """Serve until a signal asks to stop, then stop gracefully."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        settings = self._settings
        if self._listener is None:
            self._listener = listeners.open_listener(settings.front)
        self._listener = ingress.wrap_listener(self._listener)
        self._front_task = ingress.start_server(self._listener, self._front)
        for address, handler in self._list_servers().items():
            ingress.start_server(
                ingress.listen(address), self._make_ingress(handler)
            )
        for task in (
            self._log.run,
            self._news.run_receiver,
            self._news.run_sender,
            self._configuration.run,
            self._fleet_feed.run,
            self._nodes_feed.run,
            self._duties.run,
            self._queue.run,
            self._open_front,
            self._sweep,
        ):
            eventlet.spawn_n(self._keep, task)
        self._log.write("started", front=settings.front)
        self._stopped.wait()

    def _open_front(self) -> None:
        """Let requests through once the node can serve them, or can't."""
        while not self._is_ready and self._configuration.is_store_reachable:
            eventlet.sleep(_START_POLL)
        self._forwarder.end_start_hold()

    def _list_servers(self) -> dict[str, ingress.Handler]:
        """Return the handlers of the other addresses."""
        settings = self._settings
        return {
            settings.ready: self._answer_ready,
            settings.directory: self._answer_directory,
            settings.peer: self._answer_peer,
            settings.metrics: self._answer_metrics,
        }

    def _keep(self, task: abc.Callable[[], None]) -> None:
        """Run a task again if it fails.

        Failure: a mistake in one task ends it, and the node goes on
        serving from a view that never changes again.
        """
        while not self._stopping:
            try:
                task()
                return
            except Exception as error:
                self._log.write(
                    "task_failed",
                    task=getattr(task, "__qualname__", "?"),
                    why=_describe(error),
                )
                eventlet.sleep(_POLL)

    def _make_ingress(self, handler: ingress.Handler) -> ingress.Ingress:
        made = ingress.Ingress(handler, self._get_limits, self._now)
        made.on_error = self._note_handler_error
        return made

    def _note_handler_error(self, error: Exception) -> None:
        self._log.write("handler_failed", why=_describe(error))

    def _get_limits(self) -> routes.Limits:
        table = self._forwarder.table
        return table.configuration.limits if table else routes.Limits()

    def _list_services(self) -> abc.Iterable[routes.Service]:
        table = self._forwarder.table
        return table.services if table else ()

    @property
    def _is_ready(self) -> bool:
        known = self._forwarder.has_configuration and self._fleet.is_known
        return known and not self._stopping

    # -- Questions of the platform, callers and peers

    def _answer_ready(self, _: ingress.Inbound) -> ingress.Reply:
        status = 200 if self._is_ready else 503
        return ingress.Reply(status=status, headers=[], body=b"")

    def _answer_directory(self, inbound: ingress.Inbound) -> ingress.Reply:
        """Tell a caller the addresses of nodes that take requests.

        Failure: a node that starts while the store is away knows nobody
        and no configuration; callers that it gave its own address would
        be refused there. Without an answer they ask another node.
        """
        nodes = self._presence.list_ready(self._now())
        if self._is_ready:
            nodes.append(self._presence.me)
        if not nodes:
            return ingress.Reply(status=503, headers=[], body=b"")
        given = directory.choose_addresses(nodes, inbound.caller)
        ttl = self._settings.address_ttl
        return _answer_json(self._documents.encode_addresses(given, ttl))

    def _answer_peer(self, inbound: ingress.Inbound) -> ingress.Reply:
        """Give a peer the newest configuration or list of instances."""
        if inbound.path == peers.INSTANCES_PATH:
            since = peers.parse_since(inbound.target)
            found = self._fleet_feed.list_changes(since)
            body = peers.compress(msgspec.msgpack.encode(found))
            return ingress.Reply(status=200, headers=[], body=body)
        if not self._configuration.document:
            return ingress.Reply(status=503, headers=[], body=b"")
        body = self._configuration.document
        return ingress.Reply(status=200, headers=[], body=body)

    def _answer_metrics(self, _: ingress.Inbound) -> ingress.Reply:
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return ingress.Reply(
            status=200, headers=headers, body=self._meter.render()
        )

    # -- Housekeeping

    def _sweep(self) -> None:
        while True:
            eventlet.sleep(_SWEEP_INTERVAL)
            self._balancer.expire(self._now())
            present = {one.id for one in self._fleet.all()}
            self._connections.forget(present)
            self._sender.forget(present)

    # -- Signals

    def _on_stop(self, number: int, frame: typing.Any) -> None:
        if not self._stopping:
            self._stopping = True
            eventlet.spawn_n(self._stop)

    def _on_reload(self, number: int, frame: typing.Any) -> None:
        # The settings are read at the start only: a change of them takes
        # effect when the process is started again.
        self._log.write("reload_requested")

    def _close_front(self) -> None:
        """Take no more requests.

        Failure: a request that comes late in the grace is cut off with
        the process. New connections are refused by the kernel, which
        sends callers to another address; on old ones the answer says
        that the request was not run.
        """
        if self._front_task is not None:
            self._listener.close()
            self._front_task.kill()
            self._front_task = None
            self._forwarder.is_stopping = True

    def _stop(self) -> None:
        """Leave: out of the addresses, drain, end.

        Callers keep the addresses they were given for a while, so the
        node goes on taking requests that long, and closes each
        connection with its next answer.
        """
        began = self._now()
        self._log.write("stopping", in_flight=self._front.in_flight)
        self._front.is_closing = True
        self._news.send()
        self._duties.stop()
        eventlet.spawn_n(self._nodes_feed.leave)
        last = began + self._settings.grace - _LAST_SECONDS
        quiet = began + self._settings.drain
        while self._now() < last:
            if self._now() >= quiet:
                self._close_front()
                if not self._front.in_flight:
                    break
            eventlet.sleep(_POLL)
        self._log.write("stopped", in_flight=self._front.in_flight)
        self._log.flush()
        os._exit(0)


def _answer_json(body: bytes) -> ingress.Reply:
    headers = [("Content-Type", "application/json")]
    return ingress.Reply(status=200, headers=headers, body=body)


def _describe(error: Exception) -> str:
    place = error.__traceback__
    while place is not None and place.tb_next is not None:
        place = place.tb_next
    line = place.tb_lineno if place else 0
    file = place.tb_frame.f_code.co_filename if place else "?"
    name = os.path.basename(file)
    return f"{type(error).__name__}: {error} ({name}:{line})"

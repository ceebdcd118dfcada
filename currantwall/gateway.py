"""Composition root of a gateway process.

A gateway serves callers' requests on a platform whose store holds the
configuration and the list of instances. The clients of that platform are
passed in as implementations of `transport.ports`; all other parts are
created and connected here.
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
from currantwall.coordination.requests import descriptors
from currantwall.coordination.requests import evacuations as evacuations_module
from currantwall.coordination.requests import paths as paths_module
from currantwall.coordination.requests import quarantine as quarantine_module
from currantwall.protocol import names as names_module
from currantwall.protocol import peerexchanges as peer_protocol
from currantwall.state import gateway
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import acceptors
from currantwall.transport import advisories
from currantwall.transport import bodies
from currantwall.transport import buffers
from currantwall.transport import configurations
from currantwall.transport import crashes as crashes_module
from currantwall.transport import domainleases
from currantwall.transport import duties
from currantwall.transport import evacuations as evacuation_feeds
from currantwall.transport import exchanges
from currantwall.transport import fleets
from currantwall.transport import forwarding
from currantwall.transport import ingress
from currantwall.transport import journal
from currantwall.transport import listeners
from currantwall.transport import metrics as metrics_module
from currantwall.transport import news
from currantwall.transport import openings
from currantwall.transport import paths as path_checks
from currantwall.transport import peerexchanges
from currantwall.transport import peers
from currantwall.transport import ports
from currantwall.transport import quarantines
from currantwall.transport import queues
from currantwall.transport import registrations
from currantwall.transport import sending
from currantwall.transport import supervision
from currantwall.transport import timers

__all__ = ["Gateway"]

# Seconds between two removals of outdated state.
_SWEEP_INTERVAL = 1.0
# Most names of objects in one line of the log, and of their characters.
_MAX_NAMES = 8
_MAX_NAME_LENGTH = 80
# The process exits this many seconds before the end of the grace period, at
# which it would be killed, even if requests are in flight.
_EXIT_MARGIN = 0.4
# Seconds before the exit at which what is still in progress gets an answer
# of the gateway's own.
_ANSWER_TIME = 0.3
# Seconds between two checks of the requests in flight during a stop.
_POLL_INTERVAL = 0.05
# Bytes of a forwarded request beyond the caller's headers and body.
_PEER_OVERHEAD = 65_536
# Seconds between two checks of whether a node that starts can serve.
_START_POLL_INTERVAL = 0.01


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
        """Create and connect the parts.

        Args:
            settings: Settings of this process.
            names: Names of the platform's HTTP headers.
            documents: Decodes the objects of the store.
            make_store: Creates the client of the store.
            make_engines: Creates the client of engine instances.
            listener: Socket that listens at the front address; if it is
                None, `run` opens one.
        """
        self._settings = settings
        self._documents = documents
        self._clock = timers.TimerService()
        self._now = self._clock.now
        self._meter = metrics_module.Metrics(settings.node)
        self._log = journal.Journal(settings.node, self._now)
        self._supervisor = supervision.Supervisor(
            self._meter, self._log, self._now
        )
        self._store = make_store(self._meter)
        self._store.on_unreadable = self._note_unreadable
        self._fleet = upstreams.Fleet()
        self._balancer = balancing.Balancer(
            self._fleet,
            settings.datacentre,
            settings.node,
            settings.cold_overshoot,
            settings.cold_slack,
        )
        self._evacuations = evacuations_module.Evacuations(
            settings.evacuation_bound, self._now()
        )
        self._balancer.evacuations = self._evacuations
        self._budget = budgets.RepeatBudget(
            settings.repeat_ratio,
            settings.repeat_slack,
            settings.repeat_window,
        )
        self._connections = exchanges.Connections(self._now)
        self._peer_connections = exchanges.Connections(self._now)
        own_entry = presence_module.NodeEntry(
            id=settings.node,
            datacentre=settings.datacentre,
            front=settings.front,
            heartbeats=settings.heartbeats,
            peer=settings.peer,
            incarnation=time.time_ns() // 1000,
            capacity=settings.capacity,
        )
        self._presence = presence_module.Presence(own_entry)
        self._paths = paths_module.Paths(self._presence)
        self._checks = path_checks.PathChecks(
            self._paths,
            self._fleet,
            self._connections,
            self._meter,
            self._log,
            self._balancer.reachability,
        )
        self._openings = openings.Openings(
            self._balancer.reachability,
            self._fleet,
            self._presence,
            self._paths,
            self._connections,
            self._meter,
            self._log,
        )
        self._connections.on_opened = self._checks.note_opened
        self._checks.on_lost = lambda: self._balancer.forgive_failures(
            self._paths.reached_at
        )
        engines = make_engines(self._connections)
        self._crashes = crashes_module.Crashes(
            quarantine_module.Quarantine(),
            engines,
            self._meter,
            self._log,
            self._now,
        )
        self._queue = queues.Queue(
            self._balancer, names, self._meter, self._log, self._now
        )
        self._advisories = advisories.Advisories(
            self._balancer,
            self._fleet,
            names,
            self._meter,
            self._log,
            self._now,
        )
        self._peer_exchanges = peerexchanges.PeerExchanges(
            self._paths,
            self._checks,
            self._fleet,
            self._connections,
            self._crashes,
            self._advisories,
            names,
            self._meter,
        )
        self._crashes.on_quarantined = self._on_part_quarantined
        self._quarantine_feed = quarantines.QuarantineFeed(
            self._store,
            self._crashes.quarantine,
            self._presence,
            self._log,
            self._clock,
        )
        self._sender = sending.Sender(
            self._balancer,
            self._budget,
            self._paths,
            self._checks,
            self._connections,
            self._peer_connections,
            self._queue,
            self._advisories,
            self._crashes,
            names,
            self._meter,
            self._log,
            self._now,
        )
        self._sender.fleet_age = self._fleet.get_age
        self._forwarder = forwarding.Forwarder(
            self._sender, self._meter, self._log
        )
        self._configuration = configurations.ConfigurationFeed(
            self._store,
            documents,
            self._forwarder,
            self._presence,
            self._log,
            self._clock,
            settings.apply_bound,
        )
        self._fleet_feed = fleets.FleetFeed(
            self._store,
            documents,
            self._fleet,
            self._presence,
            self._log,
            self._clock,
        )
        self._evacuation_feed = evacuation_feeds.EvacuationFeed(
            self._store,
            documents,
            self._evacuations,
            self._fleet,
            self._presence,
            self._meter,
            self._log,
            self._clock,
            settings.evacuation_bound or settings.apply_bound,
        )
        self._nodes_feed = registrations.NodesFeed(
            self._store, self._presence, self._log, self._clock
        )
        self._leases = domainleases.DomainLeases(
            self._store, self._presence, self._log, self._clock
        )
        self._duties = duties.Duties(
            self._leases,
            engines,
            self._fleet,
            self._balancer,
            self._log,
            self._meter,
            self._clock,
        )
        self._duties.services = self._list_services
        self._checks.services = self._list_services
        self._duties.verify_path = self._checks.verify
        self._duties.is_cut_off = self._paths.is_cut_off
        self._duties.evacuations = self._evacuations
        self._balancer.coldness.services = self._list_services
        self._evacuations.on_withdrawn = self._balancer.coldness.note_withdrawn
        self._fleet_feed.note_change = self._note_change
        self._duties.on_report = self._advisories.note_report
        self._news = self._make_news()
        self._stopping = False
        self._listener: typing.Any = listener
        self._front_server: acceptors.Acceptor | None = None
        self._peer_server: acceptors.Acceptor | None = None
        self._stopped = eventlet.event.Event()
        self._shares = descriptors.divide(settings.descriptors)
        self._connections.max_idle = self._shares.idle
        self._peer_connections.max_idle = self._shares.idle
        self._buffers: buffers.Buffers | None = None
        self._bodies: bodies.Bodies | None = None
        if settings.memory is not None:
            self._bodies = bodies.Bodies(
                settings.memory, self._meter, self._log, self._now
            )
            self._buffers = buffers.Buffers(
                settings.memory,
                self._shares.front,
                self._shares.held,
                self._meter,
                self._log,
                self._now,
            )
            self._connections.is_bounded = True
            self._peer_connections.is_bounded = True
        self._front = self._make_ingress(self._forwarder.serve)
        self._front.connections = self._shares.front
        self._front.get_patience = self._forwarder.get_patience
        self._front.buffers = self._buffers
        self._peer = self._make_ingress(self._answer_peer)
        self._peer.connections = self._shares.peer
        self._peer.limits = self._get_peer_limits

    def _make_news(self) -> news.NewsExchange:
        """Create the news exchange and connect its callbacks."""
        made = news.NewsExchange(
            self._settings.heartbeats,
            self._presence,
            self._balancer,
            self._budget,
            self._configuration,
            self._fleet_feed,
            self._leases,
            self._duties,
            self._crashes.quarantine,
            self._meter,
            self._clock,
        )
        made.is_ready = lambda: self._is_ready
        made.set_error_handler(self._supervisor.note_error)
        made.on_loss = self._sender.note_loss
        self._sender.on_probe_requested = made.report_stall
        self._checks.on_change = made.announce_path
        self._crashes.on_change = made.announce_parts
        self._advisories.on_limit_changed = made.announce_limits
        self._queue.on_high_load = made.report_high_load
        self._duties.on_loss = made.announce_loss
        self._duties.on_slow = made.announce_slow
        self._duties.on_unresponsive = made.announce_unresponsive
        self._configuration.on_change = self._on_configuration
        self._fleet_feed.on_change = made.announce_list
        if self._settings.evacuation_bound is not None:
            made.note_evacuations = self._evacuation_feed.note_report
            self._evacuation_feed.on_change = made.announce_evacuations
        return made

    def _note_change(self, change: upstreams.Change, had_list: bool) -> None:
        self._advisories.note_change(change, had_list)
        self._crashes.note_change(change, self._now(), self._clock.wall())

    def _on_part_quarantined(self, part: ids.PartId) -> None:
        self._queue.reject_part(part, crashes_module.REASON)
        self._news.announce_quarantine()

    def _on_configuration(self) -> None:
        self._advisories.note_services()
        self._news.announce_configuration()

    # -- Serving

    def _note_unreadable(self, kind: str, names: list[str]) -> None:
        """Log the objects of a kind that another writer left unreadable."""
        self._log.write(
            "objects_unreadable",
            kind=kind,
            names=[
                repr(name[:_MAX_NAME_LENGTH]) for name in names[:_MAX_NAMES]
            ],
            count=len(names),
        )

    def run(self) -> None:
        """Serve until a signal asks to stop, then stop gracefully."""
        signal.signal(signal.SIGTERM, self._on_stop)
        signal.signal(signal.SIGINT, self._on_stop)
        signal.signal(signal.SIGHUP, self._on_reload)
        settings = self._settings
        if self._listener is None:
            self._listener = listeners.open_listener(settings.front)
        self._listener = ingress.wrap_listener(self._listener)
        if self._buffers is not None:
            buffers.limit_listener(self._listener)
            self._supervisor.start(self._buffers.run)
        if self._bodies is not None:
            self._supervisor.start(self._bodies.run)
        self._front_server = ingress.start_server(
            self._listener, self._front, self._listen_at_front
        )
        for address, handler in self._get_handlers().items():
            made = self._make_ingress(handler)
            made.connections = self._get_connections(address)
            ingress.start_server(ingress.listen(address), made)
        self._peer_server = ingress.start_server(
            ingress.listen(settings.peer), self._peer
        )
        tasks = [
            self._log.run,
            self._checks.run,
            self._openings.run,
            self._news.run_receiver,
            self._news.run_sender,
            self._news.run_shares,
            self._configuration.run,
            self._fleet_feed.run,
            self._nodes_feed.run,
            self._quarantine_feed.run,
            self._duties.run,
            self._queue.run,
            self._open_front,
            self._sweep,
        ]
        if settings.evacuation_bound is not None:
            tasks.append(self._evacuation_feed.run)
        for task in tasks:
            self._supervisor.start(task)
        self._log.write("started", front=settings.front)
        self._stopped.wait()

    def _listen_at_front(self) -> typing.Any:
        listener = ingress.listen(self._settings.front)
        if self._buffers is not None:
            buffers.limit_listener(listener)
        return listener

    def _open_front(self) -> None:
        """Let requests through once the node is ready.

        If the store can't be reached, they are let through at once.
        """
        while not self._is_ready and self._configuration.is_store_reachable:
            eventlet.sleep(_START_POLL_INTERVAL)
        self._forwarder.end_start_hold()

    def _get_handlers(self) -> dict[str, ingress.Handler]:
        """Return the handlers of the other addresses for callers."""
        settings = self._settings
        return {
            settings.ready: self._answer_ready,
            settings.directory: self._answer_directory,
            settings.metrics: self._answer_metrics,
        }

    def _get_connections(self, address: str) -> int:
        """Return the most connections to such an address."""
        if address == self._settings.directory:
            return self._shares.directory
        return self._shares.status

    def _make_ingress(self, handler: ingress.Handler) -> ingress.Ingress:
        made = ingress.Ingress(handler, self._get_limits, self._now)
        made.on_error = self._log_handler_error
        made.report = self._log.write
        made.bodies = self._bodies
        return made

    def _log_handler_error(self, error: Exception) -> None:
        self._log.write("handler_failed", why=supervision.format_error(error))

    def _get_limits(self) -> routes.Limits:
        table = self._forwarder.table
        return table.configuration.limits if table else routes.Limits()

    def _get_peer_limits(self) -> routes.Limits:
        """Return the limits on requests of peers, which contain callers'."""
        limits = self._get_limits()
        size = limits.header_bytes + limits.body_bytes + _PEER_OVERHEAD
        return routes.Limits(body_bytes=size)

    def _list_services(self) -> abc.Iterable[routes.Service]:
        table = self._forwarder.table
        return table.services if table else ()

    @property
    def _is_ready(self) -> bool:
        known = self._forwarder.has_configuration and self._fleet.is_known
        known = known and self._evacuations.is_known
        front = self._front_server
        is_accepting = front is not None and front.is_accepting
        return known and is_accepting and not self._stopping

    # -- Handlers of the other addresses

    def _answer_ready(self, _: ingress.Inbound) -> ingress.Reply:
        status = 200 if self._is_ready else 503
        return ingress.Reply(status=status, headers=[], body=b"")

    def _answer_directory(self, inbound: ingress.Inbound) -> ingress.Reply:
        """Return the addresses of nodes that take requests.

        Failure: a node that starts while the store is unreachable knows no
        other node and no configuration; it sends callers to itself and
        then refuses their requests. It answers 503 instead, and the
        callers ask another node.
        """
        nodes = self._paths.list_named(self._now(), self._is_ready)
        if not nodes:
            return ingress.Reply(status=503, headers=[], body=b"")
        addresses = directory.choose_addresses(nodes, inbound.caller)
        ttl = self._settings.address_ttl
        return _answer_json(self._documents.encode_addresses(addresses, ttl))

    def _answer_peer(self, inbound: ingress.Inbound) -> ingress.Reply:
        """Answer a request of a peer.

        It is for the configuration, the evacuations or changed instances,
        or for an exchange with an upstream. A request for the configuration
        or the evacuations gets 503 while they are not known.
        """
        if inbound.path == peer_protocol.PATH:
            return self._peer_exchanges.serve(inbound)
        if inbound.path == peers.INSTANCES_PATH:
            since = peers.parse_since(inbound.target)
            changes = self._fleet_feed.list_changes(since)
            body = peers.compress(msgspec.msgpack.encode(changes))
            return ingress.Reply(status=200, headers=[], body=body)
        if inbound.path == peers.EVACUATIONS_PATH:
            body = self._evacuation_feed.encode_report()
        else:
            body = self._configuration.document
        if not body:
            return ingress.Reply(status=503, headers=[], body=b"")
        return ingress.Reply(status=200, headers=[], body=body)

    def _answer_metrics(self, _: ingress.Inbound) -> ingress.Reply:
        self._supervisor.report()
        self._fleet_feed.report(self._meter)
        headers = [("Content-Type", "text/plain; version=0.0.4")]
        return ingress.Reply(
            status=200, headers=headers, body=self._meter.render()
        )

    # -- Removal of outdated state

    def _sweep(self) -> None:
        """Periodically remove old counts and state of unlisted instances."""
        while True:
            eventlet.sleep(_SWEEP_INTERVAL)
            self._balancer.expire(self._now())
            present = {upstream.id for upstream in self._fleet.all()}
            self._connections.forget(present)
            self._sender.forget(present)
            self._crashes.expire()
            self._peer_connections.forget(
                {
                    ids.InstanceId(node.id)
                    for node in self._presence.list_peers()
                }
            )

    # -- Signals

    def _on_stop(self, number: int, frame: typing.Any) -> None:
        if not self._stopping:
            self._stopping = True
            self._supervisor.stop()
            eventlet.spawn_n(self._stop)

    def _on_reload(self, number: int, frame: typing.Any) -> None:
        # Settings are read only when the process starts: a change takes
        # effect with the next start.
        self._log.write("reload_requested")

    def _close_front(self) -> None:
        """Stop taking requests.

        Failure: a request that arrives late in the grace period is cut off
        when the process exits. Therefore the kernel refuses new
        connections from now on, which makes callers try another address,
        and on open connections the answer says that the request was not
        run.
        """
        # First: other tasks run while connections are closed.
        self._forwarder.is_stopping = True
        self._peer_exchanges.is_stopping = True
        before = self._count_open()
        if self._bodies is not None:
            self._bodies.close()
        for server in (self._front_server, self._peer_server):
            if server is not None:
                server.close()
        self._front.end_connections()
        self._peer.end_connections()
        # Tasks of connections that were accepted last begin now, and count.
        eventlet.sleep(0)
        self._log.write(
            "front_closed",
            open_before=before,
            open=self._count_open(),
            in_flight=self._count_in_flight(),
        )

    def _count_in_flight(self) -> int:
        return self._front.in_flight + self._peer_exchanges.in_flight

    def _count_open(self) -> int:
        return self._front.open_count + self._peer.open_count

    def _stop(self) -> None:
        """Shut down gracefully.

        Withdraws the node's address, drains the requests and exits.
        Callers keep the addresses that they were given for a while, so the
        node goes on taking requests for that long, and closes each
        connection with its next answer.
        """
        started = self._now()
        self._log.write("stopping", in_flight=self._front.in_flight)
        self._front.is_closing = True
        self._peer.is_closing = True
        self._news.send()
        self._duties.stop()
        eventlet.spawn_n(self._nodes_feed.leave)
        exit_deadline = started + self._settings.grace - _EXIT_MARGIN
        drain_end = started + self._settings.drain
        eventlet.sleep(max(0.0, min(drain_end, exit_deadline) - self._now()))
        self._close_front()
        while self._now() < exit_deadline and self._count_open():
            if self._now() >= exit_deadline - _ANSWER_TIME:
                self._forwarder.end_requests()
            eventlet.sleep(_POLL_INTERVAL)
        self._log.write(
            "stopped",
            open=self._count_open(),
            in_flight=self._count_in_flight(),
        )
        self._log.flush()
        os._exit(0)


def _answer_json(body: bytes) -> ingress.Reply:
    headers = [("Content-Type", "application/json")]
    return ingress.Reply(status=200, headers=headers, body=body)

"""Composition root of an entry process: creates and connects its parts."""

import os
import signal
import time
import typing

import eventlet
import eventlet.event
import pynng
import structlog

from currantwall.coordination import actions
from currantwall.coordination import node as node_module
from currantwall.coordination import wire
from currantwall.protocol import codec
from currantwall.state import ids
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.transport import callers
from currantwall.transport import chats
from currantwall.transport import coordinator
from currantwall.transport import counters
from currantwall.transport import links
from currantwall.transport import logs
from currantwall.transport import metrics
from currantwall.transport import operators
from currantwall.transport import platform
from currantwall.transport import server
from currantwall.transport import services
from currantwall.transport import splice
from currantwall.transport import timers
from currantwall.transport import upstreams

__all__ = ["Daemon", "ListenError", "run"]

# Seconds between two log lines about the requests that a stop waits for.
_WAIT_LOG_INTERVAL = 5.0
# Seconds between two checks of what a stop waits for.
_STOP_POLL_INTERVAL = 0.05
# Seconds to wait until a successor has the idempotency keys.
_HAND_OVER_TIMEOUT = 3.0
# Seconds between two rounds of pings to the seeds.
_SEED_INTERVAL = 1.0


class ListenError(Exception):
    """The process cannot listen on an address of its settings."""


class Daemon:
    """One entry process."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._clock = timers.TimerService()
        self._stamps = timeline.HybridClock()
        self._meter = metrics.Metrics(settings.node.id)
        self._recorder = logs.Recorder(
            settings.node.id,
            settings.node.timeline_size,
            self._clock,
            self._stamps,
        )
        incarnation = ids.Incarnation(int(time.time() * 1e6))
        self._node = node_module.Node(settings, incarnation, self._clock.now())
        self._core = coordinator.Coordinator(self._node, self._clock)
        self._upstreams = upstreams.Upstreams(
            settings, self._clock, self._core.tell
        )
        self._splicer = splice.Splicer(settings.requests.idle_timeout)
        self._platform = platform.PlatformClient(
            settings.platform, self._meter, self._core.tell
        )
        self._links = links.PeerLinks(
            settings.node.peer_address,
            settings.peers.seeds,
            self._node.nodes,
            codec.Codec(settings.peers.key),
            self._clock,
            self._stamps,
            self._meter,
        )
        for performer in (
            counters.Counters(self._meter),
            self._recorder,
            self._upstreams,
            self._platform,
            self._links,
        ):
            self._core.attach(performer)
        self._core.attach(self)
        self._operators = operators.OperatorHandlers(
            self._core, self._recorder, self._clock, self._meter
        )
        shared = callers.Callers(self._core, self._clock, self._meter)
        self._server = self._listen(
            (
                callers.EntryHandlers(self._core, self._clock),
                chats.ChatHandlers(
                    self._core, shared, self._upstreams, self._splicer
                ),
                services.ServiceHandlers(
                    self._core, shared, self._upstreams, self._clock
                ),
                self._operators,
            )
        )
        self._stopping = False
        self._stopped = eventlet.event.Event()

    def _listen(self, handlers: tuple[server.Handlers, ...]) -> server.Server:
        """Return a server that listens at the address of the settings."""
        address = settings_module.split_address(self._settings.node.address)
        assert address is not None
        requests = self._settings.requests
        return server.Server(
            address,
            handlers,
            requests.body_limit,
        )

    def run(self) -> None:
        """Serve until a signal asks to stop, then stop gracefully."""
        self._links.listen()
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        eventlet.spawn(self._links.run, self._core.receive)
        eventlet.spawn(self._clock.run)
        eventlet.spawn(self._splicer.run)
        eventlet.spawn(self._ping_seeds)
        self._server.start()
        structlog.get_logger().info(
            "started",
            node=self._settings.node.id,
            address=self._settings.node.address,
        )
        self._stopped.wait()

    def _ping_seeds(self) -> None:
        """Ping the configured seeds until another node can be reached."""
        while len(self._node.nodes.usable()) <= 1:
            ping = wire.Ping(0, (self._node.nodes.me,))
            self._links.send_to_seeds(ping)
            eventlet.sleep(_SEED_INTERVAL)

    def _on_signal(self, number: int, frame: typing.Any) -> None:
        self._begin_stop()

    @coordinator.performs(actions.Leave)
    def leave(self, action: actions.Leave) -> None:
        """Begin the stop of this node that an operator has planned."""
        self._begin_stop()

    def _begin_stop(self) -> None:
        if not self._stopping:
            self._stopping = True
            eventlet.spawn_n(self._stop)

    def _stop(self) -> None:
        """Shut down gracefully.

        Announces the departure and releases the leases, drains the
        requests, hands over the keys and exits. Callers keep the addresses
        that they were given for `entries_ttl` seconds, so the node goes on
        taking requests for that long.
        """
        log = structlog.get_logger().bind(node=self._settings.node.id)
        log.info("stopping")
        self._operators.is_leaving = True
        self._core.perform(self._node.leave(self._clock.now()))
        self._clock.touch()
        eventlet.sleep(self._settings.requests.entries_ttl)
        self._server.begin_close()
        self._await_requests(log)
        self._server.close()
        # A request may have begun just before the server was closed.
        self._await_requests(log)
        self._hand_over_keys(log)
        log.info("stopped")
        self._links.close()
        # Don't wait for threads of libraries, which may still be running.
        os._exit(0)

    def _hand_over_keys(self, log: typing.Any) -> None:
        """Hand over the idempotency keys to a successor.

        Logs a warning if it does not have them in time.
        """
        now = self._clock.now()
        self._core.perform(self._node.homes.hand_over(now))
        self._clock.touch()
        deadline = now + _HAND_OVER_TIMEOUT
        while not self._node.homes.is_handed_over:
            if self._clock.now() >= deadline:
                log.warning("keys_not_handed_over")
                return
            eventlet.sleep(_STOP_POLL_INTERVAL)

    def _await_requests(self, log: typing.Any) -> None:
        """Wait until no request is in flight.

        There is no timeout, because a stop cuts off no request. The log
        shows how many requests it waits for, so that an operator can
        decide whether to kill the process.
        """
        last_logged = 0.0
        while self._server.in_flight:
            if self._clock.now() >= last_logged + _WAIT_LOG_INTERVAL:
                last_logged = self._clock.now()
                log.info("waiting", requests=self._server.in_flight)
            eventlet.sleep(_STOP_POLL_INTERVAL)


def run(settings: settings_module.Settings) -> None:
    """Run one entry process.

    Raises:
        ListenError: An address of the settings cannot be listened on.
    """
    logs.configure(settings.node)
    try:
        Daemon(settings).run()
    except (OSError, pynng.NNGException) as error:
        raise ListenError(str(error)) from error

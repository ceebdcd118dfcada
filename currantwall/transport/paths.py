"""Checks whether this node can open connections to upstreams.

`coordination.requests.paths` decides what is checked and what follows.
"""

from collections import abc

import eventlet
import eventlet.event
import eventlet.queue

from currantwall.coordination.requests import paths as paths_module
from currantwall.coordination.requests import reachability as reach
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["PathChecks"]

# Timeout of the connections of a check, in seconds.
_CHECK_TIMEOUT = 0.3
# Connections that a check opens at once; most checks need no more.
_CHECKED_AT_ONCE = 2
_PROVEN_CHECKED = 4
# The same on a node that has not connected to any listed upstream yet: most
# of these may be gone. Seconds after which no more are opened.
_UNPROVEN_AT_ONCE = 16
_UNPROVEN_CHECKED = 4096
_UNPROVEN_TIME = 0.5
# Seconds without an answer after which more are opened.
_NEXT_DELAY = 0.1
# Seconds between two checks while the path is lost.
_CHECK_INTERVAL = 0.25
# The same after one has succeeded.
_CONFIRM_INTERVAL = 0.1
# Seconds for which a connection that a check has opened is kept for reuse.
_KEEP_ALIVE = 2.0
_PATH_LOST = "currantwall.path.lost"


class PathChecks:
    """Runs the checks, one at a time.

    Attributes:
        on_lost: Called when the path is lost.
        on_change: Called when the path is lost or found again.
    """

    def __init__(
        self,
        paths: paths_module.Paths,
        fleet: upstreams.Fleet,
        connections: exchanges.Connections,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        reachability: reach.Reachability,
    ) -> None:
        self._paths = paths
        self._fleet = fleet
        self._connections = connections
        self._now = connections.now
        self._meter = meter
        self._log = log
        self._count = 0
        # The check in progress; its result is whether there is a path.
        self._running: eventlet.event.Event | None = None
        self._lost_at = 0.0
        # Whether the last check has found a path that counts as lost.
        self._is_returning = False
        self.reachability = reachability
        self.services: abc.Callable[[], abc.Iterable[routes.Service]] = tuple
        self.on_lost: abc.Callable[[], None] = _ignore
        self.on_change: abc.Callable[[], None] = _ignore

    def note_opened(self, instance: ids.InstanceId) -> None:
        """Note that a connection to an upstream was opened."""
        now = self._now()
        self._paths.note_reached(now)
        self.reachability.note_opened(instance, now)

    def verify(self, since: float) -> bool:
        """Return whether this node has a path to upstreams.

        Waits for a check if no connection was opened recently.

        Args:
            since: Monotonic time; a connection that was opened later shows
                that there is a path.
        """
        if self._paths.is_lost:
            return False
        if self._paths.is_proven(since):
            return True
        if self._running is None:
            self._running = eventlet.event.Event()
            eventlet.spawn_n(self._check, self._running)
        return bool(self._running.wait())

    def run(self) -> None:
        """Check the path when that is due; does not return."""
        while True:
            eventlet.sleep(
                _CONFIRM_INTERVAL if self._is_returning else _CHECK_INTERVAL
            )
            is_due = self._paths.is_check_due(self._now())
            if is_due and self._running is None:
                self._running = eventlet.event.Event()
                self._check(self._running)

    def _check(self, done: eventlet.event.Event) -> None:
        """Open connections to some upstreams; note it if none succeeds."""
        try:
            has_reached = self._try_some()
            if has_reached is None:
                # A check that had no descriptors shows nothing.
                return
            if self._paths.note_check(has_reached):
                self._note_change()
            self._is_returning = has_reached and self._paths.is_lost
        finally:
            self._running = None
            done.send(not self._paths.is_lost)

    def _try_some(self) -> bool | None:
        """Return whether a connection was opened, or none was to be tried.

        Returns:
            None if this process has no descriptors for connections.
        """
        self._count += 1
        listed = self._fleet.all()
        is_proven = any(self.reachability.has_opened(one.id) for one in listed)
        at_once = _CHECKED_AT_ONCE if is_proven else _UNPROVEN_AT_ONCE
        chosen = self._paths.choose_checked(
            listed,
            f"{self._paths.node}{self._count}",
            {service.name for service in self.services()},
            self._rank,
            _PROVEN_CHECKED if is_proven else _UNPROVEN_CHECKED,
        )
        if not chosen:
            return True
        results = eventlet.queue.LightQueue()
        pending = 0
        until = self._now() + _UNPROVEN_TIME
        for index in range(0, len(chosen), at_once):
            if self._now() > until:
                break
            tried = chosen[index : index + at_once]
            pending += len(tried)
            for upstream in tried:
                eventlet.spawn_n(self._try_one, upstream, results)
            while pending:
                try:
                    reached = results.get(timeout=_NEXT_DELAY)
                except eventlet.queue.Empty:
                    break
                pending -= 1
                if reached is None:
                    return None
                if reached:
                    return True
        found = [results.get() for _ in range(pending)]
        return None if None in found else any(found)

    def _rank(self, upstream: upstreams.Upstream) -> int:
        """Return a lower number for what is likelier to be reachable."""
        if self.reachability.is_suspect(upstream):
            return 2
        return 0 if self.reachability.has_opened(upstream.id) else 1

    def _try_one(
        self,
        upstream: upstreams.Upstream,
        results: eventlet.queue.LightQueue,
    ) -> None:
        has_reached: bool | None = False
        try:
            connection = self._connections.open(
                upstream.id, upstream.address, _CHECK_TIMEOUT
            )
            has_reached = True
            self._connections.give_back(
                ids.InstanceId(upstream.id), connection, _KEEP_ALIVE
            )
        except exchanges.Exhausted:
            has_reached = None
        except exchanges.FAILURES:
            # What a check is for.
            return
        finally:
            results.put(has_reached)

    def _note_change(self) -> None:
        now = self._now()
        if self._paths.is_lost:
            self._lost_at = now
            self._meter.add(_PATH_LOST, 1)
            self._log.write("path_lost", upstreams=len(self._fleet.all()))
            self._connections.clear()
            self.on_lost()
        else:
            after = round(now - self._lost_at, 3)
            self._log.write("path_found", after=after)
        self.on_change()


def _ignore() -> None:
    return

"""Timer service: calls subscribers at the times they ask for.

One green thread sleeps until the earliest of these times. After a change
it checks the times with a short delay, so that a burst of messages causes
a single check.
"""

from collections import abc
import time

import eventlet
import eventlet.event
import structlog

__all__ = ["TimerService"]

# Seconds between a change and the check of the subscribers' times.
_CHECK_DELAY = 0.01
# Seconds to wait after a tick that raised, so that a persistent bug does
# not cause a busy loop.
_FAILURE_DELAY = 0.1
# Longest sleep in seconds; limits the delay if a call of `touch` is
# missing.
_MAX_SLEEP = 1.0

# CLOCK_MONOTONIC stands still while the machine is suspended.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)

Due = abc.Callable[[], float | None]
Tick = abc.Callable[[], None]


class TimerService:
    """Calls subscribers at the times they ask for.

    Attributes:
        longest_tick: Seconds that the longest call of a subscriber took.
    """

    def __init__(self) -> None:
        self._subscribers: list[tuple[Due, Tick]] = []
        self._touch_event = eventlet.event.Event()
        self._running = False
        self.longest_tick = 0.0

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds, suspensions included.

        Failure: a machine is suspended for seconds, and its node goes on
        with a lease, a list and heartbeats that are older than it counts.
        """
        return time.clock_gettime(_CLOCK)

    @staticmethod
    def wall() -> float:
        """Return the wall clock in seconds since the Unix epoch."""
        return time.time()

    def subscribe(self, due: Due, tick: Tick) -> None:
        """Call `tick` whenever the time that `due` returns has come."""
        self._subscribers.append((due, tick))

    def touch(self) -> None:
        """Check the subscribers' times soon, as one may have changed."""
        if not self._touch_event.ready():
            self._touch_event.send(None)

    def run(self) -> None:
        """Serve the subscribers until `stop` is called."""
        self._running = True
        while self._running:
            earliest = self.now() + _MAX_SLEEP
            for due, tick in self._subscribers:
                due_at = due()
                if due_at is not None and due_at <= self.now():
                    self._call(tick)
                    due_at = due()
                if due_at is not None:
                    earliest = min(earliest, due_at)
            self._wait(earliest)

    def stop(self) -> None:
        """Make `run` return."""
        self._running = False
        self.touch()

    def _call(self, tick: Tick) -> None:
        started = self.now()
        try:
            tick()
        except Exception:
            # Failure: a bug in one part ends this task, and with it all
            # probes, leases and expiries, while the process still takes
            # requests. The other subscribers go on; the log holds the
            # traceback.
            structlog.get_logger().exception("tick_failed")
            eventlet.sleep(_FAILURE_DELAY)
        spent = self.now() - started
        self.longest_tick = max(self.longest_tick, spent)

    def _wait(self, earliest: float) -> None:
        """Sleep until a time, or for a short delay after a `touch`."""
        wait = min(max(earliest - self.now(), 0.0), _MAX_SLEEP)
        if self._touch_event.ready():
            self._touch_event = eventlet.event.Event()
            eventlet.sleep(min(wait, _CHECK_DELAY))
            return
        with eventlet.Timeout(max(wait, 0.0005), False):
            self._touch_event.wait()

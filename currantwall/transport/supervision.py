"""Runs the tasks of a process for as long as it serves.

Failure: an unexpected error ends a task, and the node goes on serving with
state that is never updated again. A task is therefore run again, and a
metric and the log tell that it fails.
"""

from collections import abc
import os

import eventlet

from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["Supervisor", "format_error"]

# Seconds before a failed task is run again: first, and at most. The least
# frequent of the other nodes' timeouts is 1.3 s.
_FIRST_DELAY = 0.05
_LONGEST_DELAY = 0.8
# Seconds without an error after which a task counts as sound again.
_RECOVERY_TIME = 5.0
# Seconds between two log lines about one task.
_LOG_INTERVAL = 1.0
_MAX_MESSAGE_LENGTH = 200
_FAILED = "currantwall.tasks.failed"
_FAILING = "currantwall.tasks.failing"


class _Record:
    """The errors of one task."""

    def __init__(self) -> None:
        self.delay = _FIRST_DELAY
        self.failed_at = 0.0
        self.logged_at: float | None = None
        self.unlogged = 0


class Supervisor:
    """Runs tasks again whenever they raise an exception."""

    def __init__(
        self,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        self._meter = meter
        self._log = log
        self._now = now
        self._records: dict[str, _Record] = {}
        self._stopping = False

    def start(self, task: abc.Callable[[], None]) -> None:
        """Run a task in the background until it returns."""
        eventlet.spawn_n(self._run, task)

    def stop(self) -> None:
        """Run no failed task again."""
        self._stopping = True

    def list_failing(self) -> list[str]:
        """Return the tasks that have failed within the last seconds."""
        since = self._now() - _RECOVERY_TIME
        return sorted(
            name
            for name, record in self._records.items()
            if record.failed_at > since
        )

    def report(self) -> None:
        """Set the metric of failing tasks."""
        self._meter.set(_FAILING, len(self.list_failing()))

    def note_error(self, name: str, error: Exception) -> float:
        """Count and log an error; return the seconds to wait after it.

        Args:
            name: The task.
            error: The error, which its task has outlasted or not.
        """
        now = self._now()
        record = self._records.setdefault(name, _Record())
        if now - record.failed_at > _RECOVERY_TIME:
            record.delay = _FIRST_DELAY
        record.failed_at = now
        delay = record.delay
        record.delay = min(2 * delay, _LONGEST_DELAY)
        self._meter.add(_FAILED, 1, name)
        if (
            record.logged_at is not None
            and now - record.logged_at < _LOG_INTERVAL
        ):
            record.unlogged += 1
            return delay
        self._log.write(
            "task_failed",
            task=name,
            why=format_error(error),
            unlogged=record.unlogged,
        )
        record.logged_at, record.unlogged = now, 0
        return delay

    def _run(self, task: abc.Callable[[], None]) -> None:
        name = getattr(task, "__qualname__", "?")
        while not self._stopping:
            try:
                task()
                return
            except Exception as error:
                delay = self.note_error(name, error)
            eventlet.sleep(delay)


def format_error(error: Exception) -> str:
    """Return type and message of an error, and the line that raised it."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    line = traceback.tb_lineno if traceback else 0
    file = traceback.tb_frame.f_code.co_filename if traceback else "?"
    name = os.path.basename(file)
    message = str(error)[:_MAX_MESSAGE_LENGTH]
    return f"{type(error).__name__}: {message} ({name}:{line})"

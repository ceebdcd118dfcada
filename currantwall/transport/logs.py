"""Structured logs on standard error, and the timeline.

Only changes of state are logged; frequent events are counted in metrics
instead.
"""

import logging
import sys

import structlog

from currantwall.coordination import actions
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.transport import coordinator
from currantwall.transport import timers

__all__ = ["Recorder", "configure"]


def configure(section: settings_module.NodeSection) -> None:
    """Set up structlog with the format and level of the settings."""
    level = logging.getLevelNamesMapping().get(section.log_level.upper())
    formats = settings_module.LogFormat
    renderer: structlog.typing.Processor = structlog.processors.JSONRenderer()
    if section.log_format is formats.CONSOLE:
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.INFO if level is None else level
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )


class Recorder:
    """Writes events to the timeline and the log.

    Attributes:
        ring: The newest events of this process.
    """

    def __init__(
        self,
        node: str,
        size: int,
        clock: timers.TimerService,
        stamps: timeline.HybridClock,
    ) -> None:
        self._node = node
        self._clock = clock
        self._stamps = stamps
        self._log = structlog.get_logger().bind(node=node)
        self.ring = timeline.Ring(size)

    @coordinator.performs(actions.Record)
    def record(self, action: actions.Record) -> None:
        """Add an event to the timeline and log it."""
        stamp = self._stamps.advance(int(self._clock.wall() * 1e6))
        event = timeline.Event(
            stamp=stamp,
            node=self._node,
            kind=action.kind,
            subject=action.subject,
            detail=action.detail,
        )
        self.ring.append(event)
        try:
            self._log.info(
                action.kind.value,
                subject=action.subject,
                detail=action.detail,
            )
        except (OSError, ValueError):
            # Standard error is closed; go on serving without a log.
            return

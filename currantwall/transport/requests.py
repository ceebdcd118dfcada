"""One request of a caller while it is served, and how serving it ends."""

import typing

import eventlet.queue
import msgspec

from currantwall.coordination.requests import attempts
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import ingress

__all__ = [
    "Attempt",
    "CallerDisconnected",
    "Disconnected",
    "Placed",
    "Refused",
    "Rejected",
    "Request",
    "StreamAborted",
]


class Disconnected(msgspec.Struct, frozen=True):
    """The caller has closed its connection."""


class Placed(msgspec.Struct, frozen=True):
    """A place was found for a request that waited; it is reserved."""

    upstream: upstreams.Upstream


class Rejected(msgspec.Struct, frozen=True):
    """No place will be found in time for a request that waits."""

    retry_after: float


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed its connection."""


class StreamAborted(Exception):  # noqa: N818
    """A stream ends without its last event."""


class Refused(Exception):  # noqa: N818
    """The request is answered without an upstream."""

    def __init__(
        self, status: int, reason: str, retry_after: float = 0.0
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class Request(msgspec.Struct, kw_only=True):
    """One request with all that its handling needs.

    Attributes:
        limit: Monotonic time of its final answer.
        budget: Seconds that the caller said it would wait.
        inbox: What its attempts and the caller's leaving tell.
        tried: Upstreams that it was sent to, by `Upstream.life`.
        first: Seconds until its caller got the first event; None before.
        pause: Longest time between two events, in seconds.
        told: Monotonic time of the last event.
    """

    inbound: ingress.Inbound
    attempt_id: str
    route: routes.Route
    service: routes.Service
    model: str | None
    organisation: routes.Organisation | None
    deadline: float
    caller_timeout: float | None
    version: int
    inbox: eventlet.queue.LightQueue
    progress: attempts.Progress
    tried: set[str]
    last_event: str = ""
    watcher: typing.Any = None
    disconnected: bool = False
    first_event_after: float | None = None
    longest_pause: float = 0.0
    last_event_at: float = 0.0

    def note_events(self, now: float) -> None:
        """Note that events go to the caller."""
        if self.first_event_after is None:
            self.first_event_after = now - self.inbound.received
        else:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        self.last_event_at = now


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt at one upstream."""

    upstream: upstreams.Upstream
    exchange: exchanges.Exchange
    sent_at: float
    last_message_at: float
    head: exchanges.Head | None = None
    is_ended: bool = False

"""State of a caller's request while it is served, and how it ends."""

import typing

import eventlet.greenthread
import eventlet.queue
import msgspec
import urllib3

from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import quarantine
from currantwall.protocol import names as names_module
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import numbers
from currantwall.state import quarantines
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
    "Stopping",
    "StreamAborted",
    "parse_token_usage",
    "read_prompt",
]

# Largest number of tokens that counts.
_MAX_TOKENS = 10**9 - 1
# Most shared parts of a prompt that are considered, and the longest id.
_MAX_PARTS = 64
_MAX_PART_LENGTH = 64
_NO_PROMPT = quarantines.Prompt("", ())
# Begins each fingerprint; ids of parts are hexadecimal.
_FINGERPRINT_PREFIX = "request-"


class Disconnected(msgspec.Struct, frozen=True):
    """Message: the caller has closed its connection.

    Attributes:
        may_read: Whether it has only ended its requests, as far as is
            known, and may still read the answer.
    """

    may_read: bool = False


class Stopping(msgspec.Struct, frozen=True):
    """Message: this process ends before the request can be served."""


class Placed(msgspec.Struct, frozen=True):
    """Message: a slot at a replica is reserved for a queued request."""

    upstream: upstreams.Upstream


class Rejected(msgspec.Struct, frozen=True):
    """Message: a queued request will get no slot in time.

    Attributes:
        retry_after: Seconds after which the caller should retry.
        reason: Text of the answer.
    """

    retry_after: float
    reason: str


class CallerDisconnected(Exception):  # noqa: N818
    """The caller closed its connection."""


class StreamAborted(Exception):  # noqa: N818
    """A stream ended before its last event."""


class Refused(Exception):  # noqa: N818
    """The request is answered with an error of the gateway's own.

    Attributes:
        status: Status of the answer.
        reason: Text of the answer.
        retry_after: Seconds after which the caller should retry.
        is_lasting: Whether a retry within the caller's deadline is useless.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        retry_after: float = 0.0,
        is_lasting: bool = False,
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after
        self.is_lasting = is_lasting


class Request(msgspec.Struct, kw_only=True, weakref=True):
    """One request of a caller.

    Attributes:
        attempt_id: Id that the caller gave it in the `attempt` header.
        deadline: Monotonic time by which it must be answered.
        caller_timeout: Seconds that the caller will wait, if it says so.
        version: Version of the configuration that admitted it.
        inbox: Receives the messages of its attempts, of the queue and of
            the task that watches the caller.
        tried: Upstreams that it was sent to, by `Upstream.epoch_id`.
        prompt: The parts of its prompt.
        last_event: Id of the last event that the caller has received.
        watcher: Task that notices when the caller disconnects.
        carries_key: Whether its authorization is meant for this product and
            not for upstreams, also where the key is not known any more.
        first_event_after: Seconds until the caller got the first event;
            None before.
        longest_pause: Longest time between two events, in seconds.
        last_event_at: Monotonic time of the last event.
        aborted_because: Why its stream ended before the last event; empty
            if it did not.
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
    prompt: quarantines.Prompt = _NO_PROMPT
    last_event: str = ""
    watcher: typing.Any = None
    disconnected: bool = False
    carries_key: bool = True
    first_event_after: float | None = None
    longest_pause: float = 0.0
    last_event_at: float = 0.0
    aborted_because: str = ""

    @property
    def must_complete(self) -> bool:
        """Return whether it goes on while its caller may be gone."""
        is_stream = self.route.kind is routes.RouteKind.STREAMING
        return not is_stream and not self.route.is_idempotent

    def end_watching(self) -> None:
        """End the task that notices when the caller disconnects."""
        watcher, self.watcher = self.watcher, None
        if watcher is not None:
            eventlet.greenthread.kill(watcher)

    def note_events(self, now: float) -> None:
        """Record that events are sent to the caller now."""
        if self.first_event_after is None:
            self.first_event_after = now - self.inbound.received
        else:
            self.longest_pause = max(
                self.longest_pause, now - self.last_event_at
            )
        self.last_event_at = now

    def note_taken(self, amount: int) -> None:
        """Count bytes of an answer as taken from the inbox."""
        if self.inbound.backlog is not None:
            self.inbound.backlog.note_taken(amount)

    def note_written(self) -> None:
        """Count the bytes of an answer that were taken as passed on."""
        if self.inbound.backlog is not None:
            self.inbound.backlog.note_written()


def parse_token_usage(value: str) -> tuple[int, int] | None:
    """Return the tokens of a prompt and, at most, of its answer.

    Args:
        value: Both numbers, separated by a comma.

    Returns:
        The numbers; None if the value is of another form.
    """
    prompt, comma, answer = value.partition(",")
    first, second = numbers.parse_count(prompt), numbers.parse_count(answer)
    if not comma or first is None or second is None:
        return None
    return min(first, _MAX_TOKENS), min(second, _MAX_TOKENS)


def read_prompt(
    method: str,
    target: str,
    headers: urllib3.HTTPHeaderDict,
    body: bytes | bytearray | memoryview,
    names: names_module.HeaderNames,
) -> quarantines.Prompt:
    """Return the parts of a request's prompt, and its fingerprint.

    Args:
        method: Its method.
        target: Path and query.
        headers: Its headers. The one of the prompt names the parts in
            order, as ID:TOKENS entries separated by commas.
        body: Its body.
        names: Names of the headers.
    """
    value = headers.get(names.prompt, "")
    model = headers.get(names.model, "")
    fields = (method, target, model, value)
    fingerprint = hashing.hash_fields_hex(
        *(field.encode() for field in fields), body
    )
    entries = [entry.partition(":")[0].strip() for entry in value.split(",")]
    owner = entries.pop()[:_MAX_PART_LENGTH]
    parts = tuple(
        ids.PartId(entry.lower())
        for entry in entries[:_MAX_PARTS]
        if 0 < len(entry) <= _MAX_PART_LENGTH
    )
    return quarantines.Prompt(
        owner, parts, ids.PartId(f"{_FINGERPRINT_PREFIX}{fingerprint}")
    )


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt at one upstream.

    Attributes:
        sent_at: Monotonic time at which it was started.
        last_message_at: Monotonic time of the upstream's last message.
        begun_at: Monotonic time of its first event; None before.
        is_ended: Whether it no longer counts as in progress.
        is_held: Whether its upstream was silent for so long that it was
            left open beside another attempt.
        is_doubted: Whether its replica is said to have lost a member.
        peer: The node that forwards it; None if it goes to the upstream
            directly.
        was_suspect: Whether no better was expected of its upstream than that
            it can't be connected to.
        rest: Bytes of a stream's body after its last complete event.
        failed_step: Step at which its exchange broke off; empty if it
            didn't.
        exposure: What tells whether the upstream survives its prompt; None
            if that has no part which other requests share.
    """

    upstream: upstreams.Upstream
    exchange: exchanges.Exchange
    sent_at: float
    last_message_at: float
    begun_at: float | None = None
    head: exchanges.Head | None = None
    is_ended: bool = False
    is_held: bool = False
    is_doubted: bool = False
    peer: ids.NodeId | None = None
    was_suspect: bool = False
    rest: int = 0
    failed_step: str = ""
    exposure: quarantine.Exposure | None = None

    @property
    def framing(self) -> exchanges.Framing | None:
        """Return how its answer ends, None if there is no answer."""
        return self.head.framing if self.head is not None else None

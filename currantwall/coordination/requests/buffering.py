"""Which bytes a node may hold for its callers, and whose connection closes.

Load: hundreds of callers that read or send a few bytes a second, beside
others that read at once. What is held for all connections counts towards
one budget. While much is queued for a caller, its upstream is not read.
An upstream that is kept waiting for too long is released by closing the
caller's connection, and when the budget is used up, idle connections are
closed first and then the slowest callers'.
"""

from collections import abc
import enum
import sys

import msgspec

from currantwall.state import ids

__all__ = [
    "QUEUE_BYTES",
    "Budget",
    "Phase",
    "Reason",
    "Sample",
    "Victim",
]

# Part of the node's memory that connections may use. A process uses 28 to
# 38 MB of the smallest node's 152 MB without any; the rest is for the
# copies that Python makes of what it forwards.
_BUDGET_SHARE = 0.35
# Part of the connections that a node serves at once above which it closes
# the same ones as for the budget; the rest is for new callers.
_CONNECTIONS_SHARE = 0.9
# Resident bytes of a connection without a request (26 KB measured), and of
# one with a request in progress and its connection to an upstream (41 KB). Of
# a closed one only the kernel's socket is left.
_IDLE_BYTES = 26_000
_BUSY_BYTES = 42_000
_CLOSING_BYTES = 4_000
# Bytes of an answer that may be queued between an upstream and a caller.
QUEUE_BYTES = 32_768
# Bytes of an answer that are read also while the budget is used up, so that
# callers that read at once are served while slow ones are closed.
_RESERVED_BYTES = 8_192
# Seconds after which an upstream that is not read is released. Upstreams
# abort an answer that stays unread for some seconds; what the sockets hold
# keeps them writing for longer than they are not read.
_HOLD_LIMIT = 3.0
# Seconds after which the rest of an answer is discarded whose caller accepts
# none of it. A caller that reads 100 bytes a second lets its socket accept
# more every 10 to 20 s.
_STILL_LIMIT = 60.0
# A caller is slow if it would take more seconds than this for what waits
# for it, and if it has been behind for as long.
_SLOW_SECONDS = 1.0
# Bytes that a caller that sends a request should be able to send in
# `_SLOW_SECONDS`.
_SENDING_BYTES = 32_768
# Seconds over which the rate of a caller is averaged.
_RATE_PERIOD = 2.0
# Most seconds that are counted between two samples: while the process did
# not run, it neither read nor wrote, and no caller was slow.
_MAX_ELAPSED = 0.75


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    # Its body stays unread until there is room for it.
    WAITING = "waiting"
    ANSWERING = "answering"
    # Closed here, while the caller still reads the end of its answer.
    CLOSING = "closing"

    @property
    def overhead(self) -> int:
        """Return the bytes that a connection takes besides what it holds."""
        if self is Phase.CLOSING:
            return _CLOSING_BYTES
        return _IDLE_BYTES if self is Phase.IDLE else _BUSY_BYTES


class Reason(enum.Enum):
    """Why a connection is closed."""

    HELD = "held"
    STALLED = "stalled"
    BUDGET = "budget"
    IDLE = "idle"


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """State of one connection at one time.

    Attributes:
        buffered: Bytes held for it, in the process and in its sockets.
        unread: Bytes that the caller has not accepted yet.
        moved: Bytes that the caller has sent or accepted since it
            connected.
        held_since: Time since which its upstream is not read because the
            caller is behind; None while it is read.
    """

    connection: ids.ConnectionId
    phase: Phase
    buffered: int
    unread: int
    moved: int
    held_since: float | None = None


class Victim(msgspec.Struct, frozen=True):
    """A connection that is to be closed.

    Attributes:
        buffered: Bytes held for it.
        rate: Bytes a second that the caller has sent or accepted.
        behind: Seconds for which it was behind, idle, or kept its upstream
            waiting.
    """

    connection: ids.ConnectionId
    reason: Reason
    buffered: int
    rate: float
    behind: float


class _Pace(msgspec.Struct):
    """How fast one caller reads or sends.

    Attributes:
        moved: `Sample.moved` of the last sample.
        sampled_at: Time of the last sample.
        phase: `Sample.phase` of the last sample.
        rate: Bytes a second, averaged.
        behind: Seconds for which it was behind, or idle.
        held: Seconds for which its upstream was not read.
        still: Seconds for which it sent and accepted nothing.
    """

    moved: int
    sampled_at: float
    phase: Phase
    rate: float = 0.0
    behind: float = 0.0
    held: float = 0.0
    still: float = 0.0


class Budget:
    """The bytes that a node may hold for all of its connections.

    Attributes:
        limit: The budget in bytes.
        used: Bytes held at the last update, and changes since then.
    """

    def __init__(
        self, memory: int, connections: int, held: int = sys.maxsize
    ) -> None:
        """Create a budget.

        Args:
            memory: Memory of the node in bytes.
            connections: Most connections that the node serves at once.
            held: The same with closed ones whose callers still read.
        """
        self.limit = int(memory * _BUDGET_SHARE)
        self._max_connections = int(connections * _CONNECTIONS_SHARE)
        self._max_held = int(held * _CONNECTIONS_SHARE)
        self.used = 0
        self._paces: dict[ids.ConnectionId, _Pace] = {}

    def note(self, amount: int) -> None:
        """Count bytes held, or released if negative, since the update."""
        self.used += amount

    def may_read(self, queued: int, collected: int) -> bool:
        """Return whether more of an answer may be read from its upstream.

        Args:
            queued: Bytes of the answer that are queued for the caller.
            collected: Bytes of it that were taken from the queue and are
                not written yet.
        """
        if queued + collected < _RESERVED_BYTES:
            return True
        return queued < QUEUE_BYTES and self.used < self.limit

    def update(
        self, samples: abc.Sequence[Sample], now: float
    ) -> list[Victim]:
        """Take the state of all connections; return those to close.

        Args:
            samples: One for each connection; connections that are missing
                are forgotten.
            now: The time in seconds.
        """
        known = self._paces
        self._paces = {
            sample.connection: _follow(
                known.get(sample.connection), sample, now
            )
            for sample in samples
        }
        self.used = sum(sample.buffered for sample in samples)
        victims = [
            self._make_victim(sample, reason)
            for sample in samples
            if (reason := self._find_limit(sample)) is not None
        ]
        closed = {victim.connection for victim in victims}
        left = [item for item in samples if item.connection not in closed]
        bytes_left = sum(item.buffered for item in left)
        open_left = sum(item.phase is not Phase.CLOSING for item in left)
        held_left = len(left)
        for sample, reason in self._rank(left):
            is_open = sample.phase is not Phase.CLOSING
            is_crowded = held_left > self._max_held or (
                open_left > self._max_connections and is_open
            )
            if bytes_left > self.limit or is_crowded:
                victims.append(self._make_victim(sample, reason))
                bytes_left -= sample.buffered
                open_left -= is_open
                held_left -= 1
        return victims

    def _find_limit(self, sample: Sample) -> Reason | None:
        """Return the limit that a caller exceeds, None if it exceeds none.

        Failure: the upstream aborts the answer, or holds it in its memory
        until it crashes. A queue that is full only because the budget is
        used up does not count: its caller has accepted everything.
        """
        pace = self._paces[sample.connection]
        if not sample.unread:
            return None
        if pace.held >= _HOLD_LIMIT and pace.behind >= _SLOW_SECONDS:
            return Reason.HELD
        if sample.phase is Phase.CLOSING and pace.still >= _STILL_LIMIT:
            return Reason.STALLED
        return None

    def _rank(
        self, samples: abc.Sequence[Sample]
    ) -> list[tuple[Sample, Reason]]:
        """Return the connections that may be closed for the budget.

        Connections without a request come first, the longest idle one in
        front; then callers that are behind, the slowest one in front.
        """
        idle = []
        slow = []
        for sample in samples:
            pace = self._paces[sample.connection]
            if pace.behind < _SLOW_SECONDS:
                continue
            if sample.phase is Phase.IDLE and not sample.unread:
                idle.append((-pace.behind, sample.connection, sample))
            else:
                key = (pace.rate, -sample.buffered, sample.connection)
                slow.append((*key, sample))
        return [(item[-1], Reason.IDLE) for item in sorted(idle)] + [
            (item[-1], Reason.BUDGET) for item in sorted(slow)
        ]

    def _make_victim(self, sample: Sample, reason: Reason) -> Victim:
        pace = self._paces[sample.connection]
        return Victim(
            sample.connection,
            reason,
            sample.buffered,
            pace.rate,
            {
                Reason.HELD: pace.held,
                Reason.STALLED: pace.still,
            }.get(reason, pace.behind),
        )


def _follow(known: _Pace | None, sample: Sample, now: float) -> _Pace:
    """Return the pace of a caller after one more sample."""
    if known is None:
        return _Pace(sample.moved, now, sample.phase)
    elapsed = now - known.sampled_at
    if elapsed <= 0:
        return known
    speed = (sample.moved - known.moved) / elapsed
    weight = min(1.0, elapsed / _RATE_PERIOD)
    pace = _Pace(sample.moved, now, sample.phase)
    pace.rate = known.rate + (speed - known.rate) * weight
    counted = min(elapsed, _MAX_ELAPSED)
    if _is_behind(sample, speed) and sample.phase is known.phase:
        pace.behind = known.behind + counted
    if not speed:
        pace.still = known.still + counted
    if sample.held_since is not None:
        is_same = sample.held_since <= known.sampled_at
        pace.held = (known.held if is_same else 0.0) + min(
            counted, now - sample.held_since
        )
    return pace


def _is_behind(sample: Sample, speed: float) -> bool:
    """Return whether a caller is slow, or has no request.

    Args:
        sample: The last state of its connection.
        speed: Bytes a second that it sent or accepted since the one before.
    """
    if sample.phase is Phase.IDLE and not sample.unread:
        return speed == 0
    awaited = sample.unread
    if sample.phase is Phase.RECEIVING:
        awaited = _SENDING_BYTES
    return awaited > speed * _SLOW_SECONDS

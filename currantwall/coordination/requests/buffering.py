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
_BUDGET_SHARE = 0.4
# Resident bytes of a connection without a request (26 KB measured), and of
# one with a request in progress and its connection to an upstream (41 KB).
_IDLE_BYTES = 26_000
_BUSY_BYTES = 42_000
# Bytes of an answer that may be queued between an upstream and a caller.
QUEUE_BYTES = 65_536
# Seconds after which an upstream that is not read is released. Upstreams
# abort an answer that stays unread for some seconds; what the sockets hold
# keeps them writing for longer than they are not read.
_HOLD_LIMIT = 3.0
# A caller is slow if it would take more seconds than this for what waits
# for it, and if it has been behind for as long.
_SLOW_SECONDS = 1.0
# Bytes that a caller that sends a request should be able to send in
# `_SLOW_SECONDS`.
_SENDING_BYTES = 32_768
# Seconds over which the rate of a caller is averaged.
_RATE_PERIOD = 2.0


class Phase(enum.Enum):
    """What a connection is doing."""

    IDLE = "idle"
    RECEIVING = "receiving"
    ANSWERING = "answering"

    @property
    def overhead(self) -> int:
        """Return the bytes that a connection takes besides what it holds."""
        return _IDLE_BYTES if self is Phase.IDLE else _BUSY_BYTES


class Reason(enum.Enum):
    """Why a connection is closed."""

    HELD = "held"
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
        behind: Seconds for which it was behind or idle.
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
        since: Time since which it is behind, or idle.
        rate: Bytes a second, averaged.
    """

    moved: int
    sampled_at: float
    phase: Phase
    since: float
    rate: float = 0.0
    is_behind: bool = False


class Budget:
    """The bytes that a node may hold for all of its connections.

    Attributes:
        limit: The budget in bytes.
        used: Bytes held at the last update, and changes since then.
    """

    def __init__(self, memory: int) -> None:
        """Create a budget.

        Args:
            memory: Memory of the node in bytes.
        """
        self.limit = int(memory * _BUDGET_SHARE)
        self.used = 0
        self._paces: dict[ids.ConnectionId, _Pace] = {}

    def note(self, amount: int) -> None:
        """Count bytes held, or released if negative, since the update."""
        self.used += amount

    def may_read(self, queued: int) -> bool:
        """Return whether more of an answer may be read from its upstream.

        Args:
            queued: Bytes of the answer that are queued for the caller.
        """
        if not queued:
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
            self._make_victim(sample, Reason.HELD, now)
            for sample in samples
            if _is_held(sample, now)
        ]
        excess = self.used - sum(victim.buffered for victim in victims)
        closed = {victim.connection for victim in victims}
        for sample, reason in self._rank(samples, now):
            if excess <= self.limit:
                break
            if sample.connection not in closed:
                victims.append(self._make_victim(sample, reason, now))
                excess -= sample.buffered
        return victims

    def _rank(
        self, samples: abc.Sequence[Sample], now: float
    ) -> list[tuple[Sample, Reason]]:
        """Return the connections that may be closed for the budget.

        Connections without a request come first, the longest idle one in
        front; then callers that are behind, the slowest one in front.
        """
        idle = []
        slow = []
        for sample in samples:
            pace = self._paces[sample.connection]
            if now - pace.since < _SLOW_SECONDS:
                continue
            if sample.phase is Phase.IDLE and not sample.unread:
                idle.append((pace.since, sample.connection, sample))
            elif pace.is_behind:
                key = (pace.rate, -sample.buffered, sample.connection)
                slow.append((*key, sample))
        return [(item[-1], Reason.IDLE) for item in sorted(idle)] + [
            (item[-1], Reason.BUDGET) for item in sorted(slow)
        ]

    def _make_victim(
        self, sample: Sample, reason: Reason, now: float
    ) -> Victim:
        pace = self._paces[sample.connection]
        return Victim(
            sample.connection,
            reason,
            sample.buffered,
            pace.rate,
            now - pace.since,
        )


def _is_held(sample: Sample, now: float) -> bool:
    """Return whether a caller keeps its upstream waiting for too long.

    Failure: the upstream aborts the answer, or holds it in its memory
    until it crashes. A queue that is full only because the budget is used
    up does not count: its caller has accepted everything.
    """
    if sample.held_since is None or not sample.unread:
        return False
    return now - sample.held_since >= _HOLD_LIMIT


def _follow(known: _Pace | None, sample: Sample, now: float) -> _Pace:
    """Return the pace of a caller after one more sample."""
    if known is None or known.phase is not sample.phase:
        return _Pace(
            sample.moved,
            now,
            sample.phase,
            now,
            known.rate if known is not None else 0.0,
        )
    elapsed = now - known.sampled_at
    if elapsed <= 0:
        return known
    speed = (sample.moved - known.moved) / elapsed
    weight = min(1.0, elapsed / _RATE_PERIOD)
    rate = known.rate + (speed - known.rate) * weight
    awaited = sample.unread
    if sample.phase is Phase.RECEIVING:
        awaited = _SENDING_BYTES
    is_behind = awaited > speed * _SLOW_SECONDS
    is_same = is_behind == known.is_behind or sample.phase is Phase.IDLE
    since = known.since if is_same else now
    return _Pace(sample.moved, now, sample.phase, since, rate, is_behind)

"""Which bodies of requests a node may hold at the same time.

Load: hundreds of callers that post bodies of megabytes to a node that has
memory for a dozen of them. A body takes room for all of its bytes before it
is read. Without room it stays unread, and the window of its sender closes.

Failure: bodies that are received in part each take a share of the memory,
none gets the rest, and the process is killed for its memory. Therefore a
body takes its room at once. One whose length is not known takes room for a
medium one, and for the largest that is allowed once it has exceeded that;
only a few of those may wait with what they have.
"""

import collections
import enum
import itertools

import msgspec

__all__ = [
    "MEDIUM_BYTES",
    "SMALL_BYTES",
    "BodyBudget",
    "Claim",
    "State",
    "is_too_slow",
]

# Larger bodies need room. Smaller ones are counted with what else their
# connection holds.
SMALL_BYTES = 16_384
# Larger bodies leave a part of the room to smaller ones.
MEDIUM_BYTES = 262_144
_LARGE_SHARE = 0.75
# Part of the room that growing bodies may hold while they wait for more.
_GROWING_SHARE = 0.125
# Part of a node's memory that a process uses at most, the part of it that
# connections and answers may hold (`buffering`), and the bytes of a process
# without any.
_USABLE_SHARE = 0.75
_CONNECTIONS_SHARE = 0.35
_PROCESS_BYTES = 42_000_000
# Part of the memory that bodies get in any case.
_MIN_SHARE = 0.04
# Most bodies that wait for room. Their connections are not available to
# other callers.
_MAX_WAITING = 256
# Seconds over which the rate of the released room is measured, and for
# which bodies must have waited before that rate is used.
_RATE_PERIOD = 4.0
_MIN_RATE_PERIOD = 2.0
# A body is refused at once if it is expected to wait so many times longer
# than it may: the first bodies take longer to release their room.
_HOPELESS_FACTOR = 2.0
# Seconds until a caller may retry if the rate is not known.
_DEFAULT_RETRY_AFTER = 1.0
# Seconds that a body may be late at any point of its transfer.
_SLOW_SLACK = 2.0


class State(enum.Enum):
    """Whether a body has room."""

    WAITING = "waiting"
    GRANTED = "granted"
    REFUSED = "refused"
    RELEASED = "released"


class Claim(msgspec.Struct, eq=False):
    """The room that one body needs or has.

    Attributes:
        size: Its bytes.
        number: Identifies the claim.
        held: Bytes of the same body that another claim has room for.
        retry_after: Seconds after which a refused caller should retry.
    """

    size: int
    number: int
    held: int = 0
    state: State = State.WAITING
    retry_after: float = 0.0

    @property
    def is_large(self) -> bool:
        """Return whether the body leaves room to smaller ones."""
        return self.size > MEDIUM_BYTES


class BodyBudget:
    """The bytes that a node may hold of the bodies of requests.

    Attributes:
        limit: The budget in bytes.
        used: Bytes that are granted.
    """

    def __init__(self, memory: int) -> None:
        """Create a budget.

        Args:
            memory: Memory of the node in bytes.
        """
        share = _USABLE_SHARE - _CONNECTIONS_SHARE
        self.limit = int(
            max(memory * share - _PROCESS_BYTES, memory * _MIN_SHARE)
        )
        self.used = 0
        self._large_used = 0
        self._numbers = itertools.count(1)
        self._waiting: dict[bool, collections.deque[Claim]] = {
            False: collections.deque(),
            True: collections.deque(),
        }
        # Since when bodies have waited without a break, and the bytes that
        # were released since.
        self._waiting_since = 0.0
        self._released = 0

    @property
    def has_waiting(self) -> bool:
        """Return whether any body waits for room."""
        return any(self._waiting.values())

    def count_waiting(self) -> int:
        """Return the number of bodies that wait for room."""
        return sum(len(queue) for queue in self._waiting.values())

    def claim(
        self, size: int, patience: float, now: float, held: int = 0
    ) -> Claim:
        """Return a claim that is granted, waits, or is refused.

        Args:
            size: Bytes of the body.
            patience: Seconds for which it may wait.
            now: The time in seconds.
            held: Bytes of the same body that another claim has room for.
        """
        claim = Claim(size, next(self._numbers), held)
        queue = self._waiting[claim.is_large]
        if not queue and self._fits(claim):
            self._grant(claim)
            return claim
        expected = self._estimate_wait(claim, now)
        is_hopeless = (
            expected is not None and expected > _HOPELESS_FACTOR * patience
        )
        if self._is_full(held) or is_hopeless:
            claim.state = State.REFUSED
            claim.retry_after = expected or _DEFAULT_RETRY_AFTER
            return claim
        if not self.has_waiting:
            self._waiting_since = now
            self._released = 0
        queue.append(claim)
        return claim

    def _is_full(self, held: int) -> bool:
        """Return whether no further body may wait, with what it holds."""
        waiting = list(itertools.chain(*self._waiting.values()))
        holding = held + sum(claim.held for claim in waiting)
        return len(waiting) >= _MAX_WAITING or (
            held > 0 and holding > self.limit * _GROWING_SHARE
        )

    def shrink(self, claim: Claim, size: int, now: float) -> list[Claim]:
        """Release the room that a body turned out not to need.

        Returns:
            Claims that are granted now.
        """
        spare = claim.size - size
        if claim.state is not State.GRANTED or spare <= 0:
            return []
        self.used -= spare
        if claim.is_large:
            self._large_used -= claim.size
            claim.size = size
            self._large_used += size if claim.is_large else 0
        claim.size = size
        return self._note_released(spare, now)

    def release(self, claim: Claim, now: float) -> list[Claim]:
        """End a claim; return claims that are granted now."""
        state, claim.state = claim.state, State.RELEASED
        if state is State.WAITING:
            self._waiting[claim.is_large].remove(claim)
            return self._grant_waiting()
        if state is not State.GRANTED:
            return []
        self.used -= claim.size
        if claim.is_large:
            self._large_used -= claim.size
        return self._note_released(claim.size, now)

    def refuse(self, claim: Claim, now: float) -> list[Claim]:
        """End a claim that has waited too long; return those granted now."""
        retry_after = self._estimate_wait(claim, now)
        granted = self.release(claim, now)
        claim.state = State.REFUSED
        claim.retry_after = retry_after or _DEFAULT_RETRY_AFTER
        return granted

    def _fits(self, claim: Claim) -> bool:
        """Return whether there is room for a body now.

        A body that is larger than all room of its kind is received alone.
        """
        room = self.limit * (_LARGE_SHARE if claim.is_large else 1.0)
        if claim.size > room:
            return not (self._large_used if claim.is_large else self.used)
        return self.used + claim.size <= room

    def _grant(self, claim: Claim) -> None:
        claim.state = State.GRANTED
        self.used += claim.size
        if claim.is_large:
            self._large_used += claim.size

    def _grant_waiting(self) -> list[Claim]:
        granted = []
        for queue in self._waiting.values():
            while queue and self._fits(queue[0]):
                claim = queue.popleft()
                self._grant(claim)
                granted.append(claim)
        return granted

    def _note_released(self, size: int, now: float) -> list[Claim]:
        if self.has_waiting:
            elapsed = now - self._waiting_since
            if elapsed > 2 * _RATE_PERIOD:
                self._released = int(self._released * _RATE_PERIOD / elapsed)
                self._waiting_since = now - _RATE_PERIOD
            self._released += size
        return self._grant_waiting()

    def _estimate_wait(self, claim: Claim, now: float) -> float | None:
        """Return the seconds until a body gets room; None if unknown."""
        elapsed = now - self._waiting_since
        if not self.has_waiting or elapsed < _MIN_RATE_PERIOD:
            return None
        if not self._released:
            return None
        queue = self._waiting[claim.is_large]
        ahead = itertools.takewhile(lambda one: one is not claim, queue)
        needed = claim.size + sum(one.size for one in ahead)
        return needed * elapsed / self._released


def is_too_slow(
    received: int, size: int, elapsed: float, timeout: float
) -> bool:
    """Return whether a body will not arrive in time at its present rate.

    Args:
        received: Its bytes that have come.
        size: All of its bytes.
        elapsed: Seconds since it may be sent.
        timeout: Seconds in which it must come.
    """
    return received * timeout < (elapsed - _SLOW_SLACK) * size

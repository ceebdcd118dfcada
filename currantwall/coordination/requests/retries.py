"""Whether a failed attempt is tried again.

Only what has not run, or may be repeated, is retried; never into an
upstream that refuses for load, never past the deadline, and only while
retries stay a small share of the requests: without that bound an outage
doubles the load just when it can be borne least.
"""

import enum

import msgspec

__all__ = ["AttemptFailure", "Retries", "RetryDecision"]

# Retries that may be spent before any request has earned them.
_INITIAL_TOKENS = 5.0
_TOKENS_LIMIT = 50.0
_FIRST_WAIT = 0.02
_LONGEST_WAIT = 0.5


class RetryDecision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    # It may have run and may not be repeated.
    UNSAFE = "unsafe"
    EXHAUSTED = "exhausted"
    NO_BUDGET = "no_budget"
    DEADLINE = "deadline"


class AttemptFailure(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt failed.

    Attributes:
        attempts: Attempts made so far, this one included.
        may_have_run: Whether the upstream may have acted on it.
        idempotent: Whether the request may be repeated.
        started: Whether the caller has received a part of the answer.
        deadline: When the answer is of no use any more.
    """

    attempts: int
    may_have_run: bool
    idempotent: bool
    started: bool
    deadline: float


class Retries:
    """The retry budget of one process."""

    def __init__(self, share: float, attempts: int) -> None:
        self._share = share
        self._attempts = attempts
        self._tokens = _INITIAL_TOKENS

    def earn(self) -> None:
        """Note a new request: it earns its share of a retry."""
        self._tokens = min(_TOKENS_LIMIT, self._tokens + self._share)

    def decide(self, failure: AttemptFailure, now: float) -> RetryDecision:
        """Return whether to try again; a retry is paid for at once."""
        if failure.started:
            return RetryDecision.UNSAFE
        if failure.may_have_run and not failure.idempotent:
            return RetryDecision.UNSAFE
        if failure.attempts >= self._attempts:
            return RetryDecision.EXHAUSTED
        if now + wait_before(failure.attempts) >= failure.deadline:
            return RetryDecision.DEADLINE
        if self._tokens < 1.0:
            return RetryDecision.NO_BUDGET
        self._tokens -= 1.0
        return RetryDecision.RETRY


def wait_before(attempts: int) -> float:
    """Return the seconds to wait before the next attempt."""
    return min(_LONGEST_WAIT, _FIRST_WAIT * 2 ** (attempts - 1))

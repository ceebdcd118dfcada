"""Whether a failed attempt is retried.

An attempt is retried only if the request has not run or may be repeated,
and never past the deadline. The caller of `Retries` sends it to an upstream
that was not tried before, so never back to one that refused because of its
load. A retry budget keeps the retries a small share of the requests:
without that bound an outage doubles the load when the upstreams can bear
it least.
"""

import enum

import msgspec

__all__ = ["AttemptFailure", "Retries", "RetryDecision"]

# Retries available before any request has added to the budget.
_INITIAL_TOKENS = 5.0
_MAX_TOKENS = 50.0
_INITIAL_BACKOFF_SECONDS = 0.02
_MAX_BACKOFF_SECONDS = 0.5


class RetryDecision(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    # It may have run and may not be repeated, or has been answered partly.
    UNSAFE = "unsafe"
    # The limit of attempts for one request is reached.
    EXHAUSTED = "exhausted"
    NO_BUDGET = "no_budget"
    DEADLINE = "deadline"


class AttemptFailure(msgspec.Struct, frozen=True, kw_only=True):
    """How an attempt failed.

    Attributes:
        attempts: Attempts made so far, including this one.
        may_have_run: Whether the upstream may have run the request.
        idempotent: Whether the request may be repeated.
        started: Whether the caller has received a part of the answer.
        deadline: Time after which the answer is useless.
    """

    attempts: int
    may_have_run: bool
    idempotent: bool
    started: bool
    deadline: float


class Retries:
    """Decides on retries within the retry budget of one process."""

    def __init__(self, share: float, attempts: int) -> None:
        """Set the limits; the budget holds the initial tokens.

        Args:
            share: Retries that each new request adds to the budget.
            attempts: Attempts allowed for one request.
        """
        self._share = share
        self._max_attempts = attempts
        self._tokens = _INITIAL_TOKENS

    def earn(self) -> None:
        """Add the share of one new request to the budget."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self._share)

    def decide(self, failure: AttemptFailure, now: float) -> RetryDecision:
        """Return whether to retry; a retry is taken from the budget."""
        if failure.started:
            return RetryDecision.UNSAFE
        if failure.may_have_run and not failure.idempotent:
            return RetryDecision.UNSAFE
        if failure.attempts >= self._max_attempts:
            return RetryDecision.EXHAUSTED
        if now + compute_backoff(failure.attempts) >= failure.deadline:
            return RetryDecision.DEADLINE
        if self._tokens < 1.0:
            return RetryDecision.NO_BUDGET
        self._tokens -= 1.0
        return RetryDecision.RETRY


def compute_backoff(attempts: int) -> float:
    """Return the seconds to wait before the next attempt.

    Args:
        attempts: Attempts made so far.
    """
    return min(
        _MAX_BACKOFF_SECONDS, _INITIAL_BACKOFF_SECONDS * 2 ** (attempts - 1)
    )

"""Circuit breakers for upstreams that fail repeatedly.

After several consecutive failures an upstream gets no requests for a
while. Then a single trial request is allowed; its result closes the
breaker or opens it again for longer.
"""

import enum

import msgspec

__all__ = ["Breakers", "BreakerState"]

# Consecutive failures that open a breaker.
_FAILURE_THRESHOLD = 5
_INITIAL_OPEN_SECONDS = 1.0
_MAX_OPEN_SECONDS = 30.0


class BreakerState(enum.Enum):
    """Whether requests may be sent to an upstream."""

    CLOSED = "closed"
    OPEN = "open"
    # A trial request is in progress.
    HALF_OPEN = "half_open"


class _Breaker(msgspec.Struct):
    """The breaker of one upstream.

    Attributes:
        failures: Consecutive failures.
        open_seconds: How long the breaker stays open the next time.
        trial_at: When an open breaker allows a trial request.
    """

    failures: int = 0
    state: BreakerState = BreakerState.CLOSED
    open_seconds: float = _INITIAL_OPEN_SECONDS
    trial_at: float = 0.0


class Breakers:
    """The circuit breakers of all upstreams of one process."""

    def __init__(self) -> None:
        self._breakers: dict[str, _Breaker] = {}

    def allows(self, subject: str, now: float) -> bool:
        """Return whether a request may be sent to an upstream."""
        breaker = self._breakers.get(subject)
        if breaker is None or breaker.state is BreakerState.CLOSED:
            return True
        return breaker.state is BreakerState.OPEN and now >= breaker.trial_at

    def record_start(self, subject: str) -> None:
        """Record a sent request; with an open breaker it is the trial."""
        breaker = self._breakers.get(subject)
        if breaker is not None and breaker.state is BreakerState.OPEN:
            breaker.state = BreakerState.HALF_OPEN

    def record_success(self, subject: str) -> None:
        """Record an answered request, which closes the breaker."""
        self._breakers.pop(subject, None)

    def record_failure(self, subject: str, now: float) -> bool:
        """Record a failure; return whether a closed breaker opened."""
        breaker = self._breakers.setdefault(subject, _Breaker())
        breaker.failures += 1
        is_trial = breaker.state is BreakerState.HALF_OPEN
        if not is_trial and breaker.failures < _FAILURE_THRESHOLD:
            return False
        opened = breaker.state is BreakerState.CLOSED
        breaker.state = BreakerState.OPEN
        breaker.trial_at = now + breaker.open_seconds
        breaker.open_seconds = min(_MAX_OPEN_SECONDS, 2 * breaker.open_seconds)
        return opened

    def record_inconclusive(self, subject: str) -> None:
        """Record an end that says nothing about the upstream's health.

        If it was the trial, the next request becomes a new one.
        """
        breaker = self._breakers.get(subject)
        if breaker is not None and breaker.state is BreakerState.HALF_OPEN:
            breaker.state = BreakerState.OPEN

    def forget(self, subject: str) -> None:
        """Remove the breaker of an upstream that no longer exists."""
        self._breakers.pop(subject, None)

"""Circuit breakers: leave an upstream alone that fails again and again.

After some failures in a row nothing is sent there for a while; then one
request may try, and its end closes the breaker or opens it for longer.
"""

import enum

import msgspec

__all__ = ["Breakers", "BreakerState"]

_FAILURES = 5
_FIRST_WAIT = 1.0
_LONGEST_WAIT = 30.0


class BreakerState(enum.Enum):
    """Whether an upstream is used."""

    CLOSED = "closed"
    OPEN = "open"
    # One request is trying.
    HALF_OPEN = "half_open"


class _Breaker(msgspec.Struct):
    failures: int = 0
    state: BreakerState = BreakerState.CLOSED
    wait: float = _FIRST_WAIT
    until: float = 0.0


class Breakers:
    """The breakers of all upstreams of one process."""

    def __init__(self) -> None:
        self._breakers: dict[str, _Breaker] = {}

    def allows(self, subject: str, now: float) -> bool:
        """Return whether a request may be sent."""
        breaker = self._breakers.get(subject)
        if breaker is None or breaker.state is BreakerState.CLOSED:
            return True
        return breaker.state is BreakerState.OPEN and now >= breaker.until

    def start(self, subject: str) -> None:
        """Note that a request is sent; of an open breaker, the trial."""
        breaker = self._breakers.get(subject)
        if breaker is not None and breaker.state is BreakerState.OPEN:
            breaker.state = BreakerState.HALF_OPEN

    def succeed(self, subject: str) -> None:
        """Note a good end."""
        self._breakers.pop(subject, None)

    def fail(self, subject: str, now: float) -> bool:
        """Note a failure; return whether the breaker opened."""
        breaker = self._breakers.setdefault(subject, _Breaker())
        breaker.failures += 1
        trial = breaker.state is BreakerState.HALF_OPEN
        if not trial and breaker.failures < _FAILURES:
            return False
        opened = breaker.state is BreakerState.CLOSED
        breaker.state = BreakerState.OPEN
        breaker.until = now + breaker.wait
        breaker.wait = min(_LONGEST_WAIT, 2 * breaker.wait)
        return opened

    def release(self, subject: str) -> None:
        """Note an end that says nothing about the upstream."""
        breaker = self._breakers.get(subject)
        if breaker is not None and breaker.state is BreakerState.HALF_OPEN:
            breaker.state = BreakerState.OPEN

    def forget(self, subject: str) -> None:
        """Drop an upstream that no longer exists."""
        self._breakers.pop(subject, None)

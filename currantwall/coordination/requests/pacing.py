"""How many new requests are started while the counts of load are old.

The load pattern: for some seconds more requests arrive than the replicas
can serve, at over a hundred gateways that each see one or two a second.
Relays pass on the counts of load, which are about as old as a request
lasts. Until they show that the replicas are full, each gateway finds a free
slot for every new request. Together they send the replicas several times
what these can run, and requests that were in time become late in the
engines' queues; when the counts arrive, all gateways stop at once.

Each gateway therefore starts a part of its new requests: the slots that are
free by the counts and those that become free while the counts are on their
way, divided by the requests that arrive at all gateways in that time. The
others wait.
"""

from collections import abc
import math

from currantwall.state import hashing

__all__ = ["ArrivalRates", "estimate_free_slots", "is_started"]

# Time constant, in seconds, of the moving average of a gateway's arrivals.
# The sum over a hundred gateways is accurate to a tenth.
_AVERAGE_SECONDS = 0.5
# Reported rates are whole numbers of this part of a request a second.
_RATE_UNIT = 0.01
# Suffix of the keys under which rates are reported.
_KEY_SUFFIX = "/rate"
# Number of different hash values.
_HASH_COUNT = 2.0**64


class _Rate:
    """Moving average of the requests a second of one kind."""

    def __init__(self, now: float) -> None:
        self._sum = 0.0
        self._updated_at = now

    def note(self, now: float) -> None:
        self._sum = self.get(now) * _AVERAGE_SECONDS + 1.0
        self._updated_at = now

    def get(self, now: float) -> float:
        elapsed = max(now - self._updated_at, 0.0)
        weight = math.exp(-elapsed / _AVERAGE_SECONDS)
        return self._sum * weight / _AVERAGE_SECONDS


class ArrivalRates:
    """Arrival rates of new requests at all gateways, by kind.

    All times are monotonic, in seconds.
    """

    def __init__(self, get_remote: abc.Callable[[str], int]) -> None:
        """Create rates of zero.

        Args:
            get_remote: Returns the sum of the other gateways' counts under
                a key.
        """
        self._get_remote = get_remote
        self._rates: dict[str, _Rate] = {}

    def note_arrival(self, kind: str, now: float) -> None:
        """Record that a new request has arrived at this gateway."""
        rate = self._rates.get(kind)
        if rate is None:
            rate = self._rates[kind] = _Rate(now)
        rate.note(now)

    def sum_rates(self, kind: str, now: float) -> float:
        """Return the requests a second that arrive at all gateways."""
        rate = self._rates.get(kind)
        own = rate.get(now) if rate is not None else 0.0
        return own + self._get_remote(kind + _KEY_SUFFIX) * _RATE_UNIT

    def list_counts(self, now: float) -> dict[str, int]:
        """Return the rates to report to the other gateways."""
        counts = {}
        for kind, rate in self._rates.items():
            count = int(rate.get(now) / _RATE_UNIT)
            if count:
                counts[kind + _KEY_SUFFIX] = count
        return counts


def estimate_free_slots(
    limit: int, load: int, service_time: float, age: float
) -> float:
    """Return the slots of a replica that are or soon become free.

    Args:
        limit: Requests that the replica can run at once.
        load: Requests that it runs or holds by the counts.
        service_time: Seconds that a request takes.
        age: Seconds by which the counts are late.
    """
    ended = min(load, limit) * min(age / service_time, 1.0)
    return max(limit - load + ended, 0.0)


def is_started(part: float, salt: str) -> bool:
    """Return whether a request belongs to the part that is started.

    The salt is the only source of randomness.
    """
    return hashing.hash_text(f"{salt}/started") < part * _HASH_COUNT

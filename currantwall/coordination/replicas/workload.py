"""Measures the work that callers offer to each model of a service.

The load pattern: the operator states a share of the work for each model,
and callers then send 6.5 requests for one model for each one of the other.
Replicas that are formed by the stated shares are idle for one model, while
requests for the other wait and are late.

Each node counts its own arrivals, those that it queues or rejects
included, and measures how long replicas work on a request. Work is
published in whole replica-milliseconds offered per second: 1,000 keep one
replica busy in all of its slots. Nodes add the numbers of all nodes up.
"""

from collections import abc
import math

from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import capacity
from currantwall.state import routes

__all__ = [
    "UNIT",
    "Workload",
    "compute_shares",
    "estimate_full_time",
    "format_work_key",
]

# Seconds over which arrivals are averaged.
_AVERAGING_SECONDS = 4.0
# Weight of the newest service time in its moving average. One node sees
# about one request a second of a model.
_SERVICE_TIME_WEIGHT = 0.1
# Part of the average below which the arrivals of a kind are forgotten: it is
# reached half a minute after the last request.
_FORGOTTEN_RATE = 0.0005
# Replica-milliseconds per second that keep one replica busy.
UNIT = 1000


class _Arrivals:
    """Arrivals of one kind, as an exponentially weighted rate."""

    def __init__(self) -> None:
        self.rate = 0.0
        self.updated_at = -math.inf
        # Mean seconds that a replica works on a request; None before the
        # first estimate.
        self.service_time: float | None = None
        self.slots = 1

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.rate *= math.exp(-elapsed / _AVERAGING_SECONDS)
        self.updated_at = now


class Workload:
    """The work that arrives at one node, by service and model."""

    def __init__(self) -> None:
        self._arrivals: dict[backlog.Kind, _Arrivals] = {}

    def note_arrival(
        self, kind: backlog.Kind, engine: routes.Engine, now: float
    ) -> None:
        """Count a request, whether it is served, queued or rejected.

        Args:
            kind: Service and model of the request.
            engine: Properties of the service's instances.
            now: Monotonic time in seconds.
        """
        known = self._arrivals.get(kind)
        if known is None:
            if engine.find(kind.model) is None:
                # The name comes from the caller and may be any text.
                return
            known = self._arrivals[kind] = _Arrivals()
            known.service_time = _estimate_service_time(engine, kind.model)
        known.slots = engine.slots
        known.decay(now)
        known.rate += 1 / _AVERAGING_SECONDS

    def note_service(self, kind: backlog.Kind, seconds: float) -> None:
        """Note how long a full replica works on a request, in seconds."""
        known = self._arrivals.get(kind)
        if known is None:
            return
        if known.service_time is None:
            known.service_time = seconds
        known.service_time += _SERVICE_TIME_WEIGHT * (
            seconds - known.service_time
        )

    def list_counts(self, now: float) -> dict[str, int]:
        """Return the work offered at this node, by the key it is sent as.

        Nothing is returned for a kind without work. The numbers are whole
        replica-milliseconds per second.
        """
        counts = {}
        for kind, known in list(self._arrivals.items()):
            known.decay(now)
            if known.rate < _FORGOTTEN_RATE:
                del self._arrivals[kind]
                continue
            seconds = known.rate * (known.service_time or 0.0) / known.slots
            work = round(seconds * UNIT)
            if work > 0:
                counts[format_work_key(kind)] = work
        return counts


def format_work_key(kind: backlog.Kind) -> str:
    """Return the key under which the work of a kind is reported.

    It is sent in one mapping with the counts by upstream. The slash keeps
    the keys apart: no upstream's id contains one.
    """
    return f"{kind.service}/{kind.model}/work"


def _estimate_service_time(engine: routes.Engine, model: str) -> float | None:
    """Return the seconds of a request by the engine's configured timing."""
    found = engine.find(model)
    if engine.timing is None or found is None:
        return None
    return capacity.estimate_answer_time(
        engine.timing, found.pace, engine.slots
    )


def estimate_full_time(
    engine: routes.Engine, seconds: float, requests: int
) -> float:
    """Return how long a request would have taken in a full replica.

    Failure: a replica that works on few requests answers each of them
    sooner. The work of the model that is over-provisioned would be measured
    as less than it is, and its replicas be taken away.

    Args:
        engine: Properties of the service's instances.
        seconds: Seconds that the request took.
        requests: Requests that its replica worked on at once.
    """
    if engine.timing is None:
        return seconds
    full = capacity.estimate_pass_time(engine.timing, 1.0, engine.slots)
    measured = capacity.estimate_pass_time(
        engine.timing, 1.0, min(max(requests, 1), engine.slots)
    )
    return seconds * full / measured if measured > 0 else seconds


def compute_shares(
    engine: routes.Engine, work: abc.Mapping[str, float]
) -> dict[str, float]:
    """Return each model's share of the work, in instances.

    As for the stated shares, all instances of a replica do its work.

    Args:
        engine: Models of the service.
        work: Replicas that are kept busy, by model.

    Returns:
        The shares; empty without any work.
    """
    busy = {
        model.name: work.get(model.name, 0.0) * model.size
        for model in engine.models
    }
    total = sum(busy.values())
    if total <= 0:
        return {}
    return {name: count / total for name, count in busy.items()}

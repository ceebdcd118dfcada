"""How slow an upstream is compared with its peers.

A straggler accepts requests and answers them late, while its load looks
like that of its peers. Its slowdown is its average attempt duration
divided by the median of all upstreams of the same target; the router
gives it correspondingly fewer requests.
"""

import statistics

import msgspec

__all__ = ["Latencies"]

# Weight of the newest duration in the moving average.
_SMOOTHING = 0.2
# A slowdown up to this ratio is noise and counts as none.
_SLOW_RATIO = 1.5
# From this ratio on an upstream only gets trial requests.
_STRAGGLER_RATIO = 4.0
_TRIAL_INTERVAL_SECONDS = 5.0
# Attempts needed for an average, and averages needed for a median.
_MIN_SAMPLES = 3


class _Average(msgspec.Struct):
    """Moving average of the attempt durations of one upstream.

    Attributes:
        seconds: The average.
        count: Attempts that went into it.
        last_start: When the last attempt was sent.
    """

    seconds: float
    count: int = 1
    last_start: float = 0.0


class Latencies:
    """Average attempt durations of the upstreams of one process."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}
        # Median of the averages by target, in seconds.
        self._medians: dict[str, float] = {}

    def record_duration(self, subject: str, seconds: float) -> None:
        """Add the duration of one attempt to the average."""
        average = self._averages.get(subject)
        if average is None:
            self._averages[subject] = _Average(seconds)
            return
        average.seconds += _SMOOTHING * (seconds - average.seconds)
        average.count += 1

    def update_median(self, target: str, subjects: list[str]) -> None:
        """Recompute the median over the upstreams of one target."""
        values = [
            average.seconds
            for name in subjects
            if (average := self._averages.get(name))
            and average.count >= _MIN_SAMPLES
        ]
        if len(values) >= _MIN_SAMPLES:
            self._medians[target] = statistics.median(values)

    def record_start(self, subject: str, now: float) -> None:
        """Record that an attempt is sent."""
        average = self._averages.get(subject)
        if average is not None:
            average.last_start = now

    def measure_slowdown(self, target: str, subject: str) -> float:
        """Return the average over the median; 1 while it is not slow."""
        average = self._averages.get(subject)
        median = self._medians.get(target, 0.0)
        if average is None or median <= 0 or average.count < _MIN_SAMPLES:
            return 1.0
        ratio = average.seconds / median
        return ratio if ratio > _SLOW_RATIO else 1.0

    def allows(self, target: str, subject: str, now: float) -> bool:
        """Return whether an upstream may be used.

        A straggler may be used once every trial interval.
        """
        if self.measure_slowdown(target, subject) < _STRAGGLER_RATIO:
            return True
        average = self._averages[subject]
        return now >= average.last_start + _TRIAL_INTERVAL_SECONDS

    def forget(self, subject: str) -> None:
        """Remove the average of an upstream that no longer exists."""
        self._averages.pop(subject, None)

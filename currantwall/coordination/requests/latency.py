"""How slow an upstream is compared with its peers.

A straggler takes requests and answers them late; its load looks like
anybody's. What an attempt took, over the median of all upstreams of the
same target, says by how much less it should get.
"""

import statistics

import msgspec

__all__ = ["Latencies"]

_SMOOTHING = 0.2
# Below this the difference is noise.
_SLOW = 1.5
# From here on an upstream gets trials only.
_STRAGGLER = 4.0
_TRIAL_INTERVAL = 5.0
_SAMPLES = 3


class _Average(msgspec.Struct):
    value: float
    count: int = 1
    last_start: float = 0.0


class Latencies:
    """Averages of what attempts took, for each upstream."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}
        self._typical: dict[str, float] = {}

    def note(self, subject: str, seconds: float) -> None:
        """Take what one attempt took."""
        held = self._averages.get(subject)
        if held is None:
            self._averages[subject] = _Average(seconds)
            return
        held.value += _SMOOTHING * (seconds - held.value)
        held.count += 1

    def set_typical(self, target: str, subjects: list[str]) -> None:
        """Work out what is usual for the upstreams of one target."""
        values = [
            held.value
            for name in subjects
            if (held := self._averages.get(name)) and held.count >= _SAMPLES
        ]
        if len(values) >= _SAMPLES:
            self._typical[target] = statistics.median(values)

    def start(self, subject: str, now: float) -> None:
        """Note that an attempt is sent."""
        held = self._averages.get(subject)
        if held is not None:
            held.last_start = now

    def measure(self, target: str, subject: str) -> float:
        """Return how many times slower than usual, 1 for not slower."""
        held = self._averages.get(subject)
        typical = self._typical.get(target, 0.0)
        if held is None or typical <= 0 or held.count < _SAMPLES:
            return 1.0
        ratio = held.value / typical
        return ratio if ratio > _SLOW else 1.0

    def allows(self, target: str, subject: str, now: float) -> bool:
        """Return whether a straggler may be tried again."""
        if self.measure(target, subject) < _STRAGGLER:
            return True
        held = self._averages[subject]
        return now >= held.last_start + _TRIAL_INTERVAL

    def forget(self, subject: str) -> None:
        """Drop an upstream that no longer exists."""
        self._averages.pop(subject, None)

"""OpenTelemetry instruments and the scrape page.

The library is loaded with the first scrape: it takes 10 MB of a process
of 35 MB, and on most nodes of most days nobody asks. Until then counts
and samples are kept here.

A failure here never breaks the caller: an unknown instrument is made on
first use.
"""

import collections
import typing

__all__ = ["Metrics"]

_METER = "currantwall"
# Upper bounds in seconds: from a plain service's answer to the longest
# time that a caller waits.
_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
# Samples kept between two scrapes; the oldest go first.
_SAMPLES_LIMIT = 8192


class Metrics:
    """Counters and histograms of this process."""

    def __init__(self, node: str) -> None:
        self._registry: typing.Any = None
        self._meter: typing.Any = None
        self._counters: dict[str, typing.Any] = {}
        self._histograms: dict[str, typing.Any] = {}
        self._node = node
        self._pending: dict[tuple[str, str], int] = {}
        self._samples: collections.deque[tuple[str, str, float]] = (
            collections.deque(maxlen=_SAMPLES_LIMIT)
        )

    def _load(self) -> None:
        """Load the library with the first scrape."""
        if self._meter is not None:
            return
        from opentelemetry.exporter import prometheus
        from opentelemetry.sdk import metrics as sdk
        import prometheus_client

        self._registry = prometheus_client.CollectorRegistry()
        reader = prometheus.PrometheusMetricReader(
            disable_target_info=True, registry=self._registry
        )
        provider = sdk.MeterProvider(metric_readers=[reader])
        self._meter = provider.get_meter(_METER)

    def add(self, name: str, amount: int, label: str = "") -> None:
        """Raise a counter."""
        key = (name, label)
        self._pending[key] = self._pending.get(key, 0) + amount

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Put a value into a histogram, in seconds."""
        self._samples.append((name, label, value))

    def flush(self) -> None:
        """Hand the counts gathered so far to the library.

        Counting happens on the request path; the library's own counters
        cost ten times a dictionary entry.
        """
        self._load()
        pending, self._pending = self._pending, {}
        for (name, label), amount in pending.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = self._meter.create_counter(name)
                self._counters[name] = counter
            counter.add(amount, _describe(label))
        while self._samples:
            name, label, value = self._samples.popleft()
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._meter.create_histogram(
                    name,
                    unit="s",
                    explicit_bucket_boundaries_advisory=_BUCKETS,
                )
                self._histograms[name] = histogram
            histogram.record(value, _describe(label))

    def render(self) -> bytes:
        """Return the scrape page."""
        self.flush()
        import prometheus_client

        return prometheus_client.generate_latest(self._registry)


def _describe(label: str) -> dict[str, str]:
    return {"kind": label} if label else {}

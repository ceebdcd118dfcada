"""Counters, gauges and histograms, exported through OpenTelemetry.

The library is loaded at the first scrape: it takes 10 MB of a process of
35 MB, and on most days most nodes are not scraped. Until then the counts
and samples are kept here.

A call never fails because of an unknown name: each instrument is created
at its first use.
"""

import collections
import typing

__all__ = ["Metrics"]

_METER_NAME = "currantwall"
# Upper bounds of the histograms' buckets in seconds: from the answer time
# of a plain service to the longest time that a caller waits.
_BUCKET_BOUNDS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.0, 8.0)
# Most samples kept between two scrapes; the oldest are dropped first.
_SAMPLES_LIMIT = 8192


class Metrics:
    """Counters, gauges and histograms of this process."""

    def __init__(self, node: str) -> None:
        self._registry: typing.Any = None
        self._meter: typing.Any = None
        self._counters: dict[str, typing.Any] = {}
        self._gauges: dict[str, typing.Any] = {}
        self._histograms: dict[str, typing.Any] = {}
        self._node = node
        self._pending: dict[tuple[str, str], int] = {}
        self._values: dict[str, int] = {}
        self._samples: collections.deque[tuple[str, str, float]] = (
            collections.deque(maxlen=_SAMPLES_LIMIT)
        )

    def _load_library(self) -> None:
        """Load the library and create the meter, at the first call."""
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
        self._meter = provider.get_meter(_METER_NAME)

    def add(self, name: str, amount: int, label: str = "") -> None:
        """Increase a counter.

        Args:
            name: Name of the metric.
            amount: By how much.
            label: Value of the label `kind`; empty for no label.
        """
        key = (name, label)
        self._pending[key] = self._pending.get(key, 0) + amount

    def set(self, name: str, value: int) -> None:
        """Set the present value of a gauge.

        Args:
            name: Name of the metric.
            value: The value.
        """
        self._values[name] = value

    def observe(self, name: str, value: float, label: str = "") -> None:
        """Record a value in a histogram.

        Args:
            name: Name of the metric.
            value: The value in seconds.
            label: Value of the label `kind`; empty for no label.
        """
        self._samples.append((name, label, value))

    def flush(self) -> None:
        """Pass the collected counts and samples to the library.

        They are collected here because counting is on the path of each
        request, and the library's counters cost ten times as much as a
        dictionary entry.
        """
        self._load_library()
        pending, self._pending = self._pending, {}
        for (name, label), amount in pending.items():
            counter = self._counters.get(name)
            if counter is None:
                counter = self._meter.create_counter(name)
                self._counters[name] = counter
            counter.add(amount, _make_attributes(label))
        for name, value in self._values.items():
            gauge = self._gauges.get(name)
            if gauge is None:
                gauge = self._meter.create_gauge(name)
                self._gauges[name] = gauge
            gauge.set(value)
        while self._samples:
            name, label, value = self._samples.popleft()
            histogram = self._histograms.get(name)
            if histogram is None:
                histogram = self._meter.create_histogram(
                    name,
                    unit="s",
                    explicit_bucket_boundaries_advisory=_BUCKET_BOUNDS,
                )
                self._histograms[name] = histogram
            histogram.record(value, _make_attributes(label))

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        self.flush()
        import prometheus_client

        return prometheus_client.generate_latest(self._registry)


def _make_attributes(label: str) -> dict[str, str]:
    return {"kind": label} if label else {}

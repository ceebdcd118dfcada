"""Registry of benchmarks and output of their measurements."""

from collections import abc
import sys

import msgspec

__all__ = ["Bench", "emit", "list_benches", "register"]

Bench = abc.Callable[[], None]
_REGISTRY: dict[str, Bench] = {}


class Line(msgspec.Struct, omit_defaults=True):
    """A measurement, printed as a JSON object.

    Attributes:
        baseline: The same metric of the baseline, measured in the same run.
    """

    bench: str
    metric: str
    value: float
    unit: str
    baseline: float | None = None


def register(name: str) -> abc.Callable[[Bench], Bench]:
    """Return a decorator that registers a benchmark under a name.

    The name is the one given on the command line.
    """

    def add(bench: Bench) -> Bench:
        _REGISTRY[name] = bench
        return bench

    return add


def list_benches() -> dict[str, Bench]:
    """Return all registered benchmarks by name."""
    return dict(_REGISTRY)


def emit(
    bench: str,
    metric: str,
    value: float,
    unit: str,
    baseline: float | None = None,
) -> None:
    """Print a measurement as a JSON object on a line, rounded to 1e-6."""
    rounded = None if baseline is None else round(baseline, 6)
    line = Line(bench, metric, round(value, 6), unit, rounded)
    sys.stdout.write(msgspec.json.encode(line).decode() + "\n")
    sys.stdout.flush()

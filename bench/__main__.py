"""``python -m bench [NAME ...]``: run the named benchmarks, or all."""

import importlib
import sys

from bench import report

_MODULES = (
    "bench.bodies",
    "bench.callers",
    "bench.observers",
    "bench.readers",
    "bench.relay",
    "bench.replicas",
    "bench.overload",
    "bench.surge",
    "bench.peers",
    "bench.digests",
    "bench.crashes",
    "bench.logs",
    "bench.nodes",
    "bench.partitions",
    "bench.silence",
    "bench.endless",
    "bench.framing",
    "bench.repeats",
    "bench.deadentries",
)


def main() -> int:
    """Run the benchmarks; return 0, or 2 if a name is unknown."""
    for module in _MODULES:
        importlib.import_module(module)
    known = report.list_benches()
    names = [name for name in sys.argv[1:] if name != "all"] or list(known)
    unknown = [name for name in names if name not in known]
    if unknown:
        choices = ", ".join(sorted(known))
        print(f"unknown benchmark {unknown[0]!r}; choose from {choices}")
        return 2
    for name in names:
        known[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Processor time that an entry spends on each probe of an instance."""

import time

from bench import fleet as fleet_module
from bench import relay
from bench import report

__all__ = ["measure_observers"]

_MEASURE_SECONDS = 10.0
_FEW_INSTANCES = 2
_MANY_INSTANCES = 22
# Probes of each instance.
_PROBES_PER_SECOND = 2.0


def _measure(count: int) -> float:
    """Return the processor time per second of an entry.

    Args:
        count: Instances that it probes.
    """
    with fleet_module.Fleet() as fleet:
        for number in range(count):
            fleet.start_service(f"s{number}", "sizing", "regina")
        spec = fleet_module.EntrySpec(id="e1", datacentre="regina")
        fleet.add_entry(spec)
        fleet.start_platform()
        fleet.start_entry("e1")
        fleet_module.wait_until(
            lambda: fleet.is_answering("e1", "/readyz"), 20, "entry ready"
        )
        time.sleep(6.0)
        pid = fleet.get_pid("e1")
        before = relay.read_cpu(pid)
        time.sleep(_MEASURE_SECONDS)
        return (relay.read_cpu(pid) - before) / _MEASURE_SECONDS


@report.register("observers")
def measure_observers() -> None:
    """Measure the processor time per probe.

    It is the slope between a small and a large number of instances.
    """
    few, many = _measure(_FEW_INSTANCES), _measure(_MANY_INSTANCES)
    probes = (_MANY_INSTANCES - _FEW_INSTANCES) * _PROBES_PER_SECOND
    report.emit("observers", "share_few", few * 100, "% of a core")
    report.emit("observers", "share_many", many * 100, "% of a core")
    report.emit("observers", "per_probe", (many - few) / probes * 1e3, "ms")

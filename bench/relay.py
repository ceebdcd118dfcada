"""Throughput of requests and streamed chunks through one entry process.

The same load is sent directly to the stand-in engines, as the baseline,
and then through the entry. Only the ratios can be compared between
machines; absolute figures depend on the machine.
"""

import pathlib
import subprocess
import sys

import msgspec

from bench import fleet as fleet_module
from bench import load
from bench import report

__all__ = ["measure_relay"]

_ENGINES = 2
_CALLER_PROCESSES = 2
_MEASURE_SECONDS = 4.0
# Unit of the times in /proc/PID/stat.
_TICKS_PER_SECOND = 100.0
_PROFILE_INI = """
[profile counter]
model = m
replicas = {engines}
replica_size = 1
capacity = 64
concurrency = 4096
"""
_ENTRY_SETTINGS = """
[replicas]
load_time = 1
sighting_interval = 0.5
loads = 8
"""


def read_cpu(pid: int) -> float:
    """Return the processor seconds, user and system, of a process."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def read_memory(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


def run_callers(plan: load.LoadPlan, callers: int) -> load.LoadResult:
    """Run a plan in several processes at once; return the sum of results."""
    data = msgspec.json.encode(plan)
    processes = []
    for _ in range(callers):
        process = subprocess.Popen(
            [sys.executable, "-m", "bench.load"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        assert process.stdin is not None
        process.stdin.write(data)
        process.stdin.close()
        processes.append(process)
    results = []
    for process in processes:
        assert process.stdout is not None
        output = process.stdout.read()
        process.wait()
        results.append(msgspec.json.decode(output, type=load.LoadResult))
    return load.LoadResult(
        seconds=max(result.seconds for result in results),
        requests=sum(result.requests for result in results),
        chunks=sum(result.chunks for result in results),
        failures=sum(result.failures for result in results),
        first=[value for result in results for value in result.first],
        gaps=[value for result in results for value in result.gaps],
    )


def start_site(
    fleet: fleet_module.Fleet, interval: float, engines: int = _ENGINES
) -> list[str]:
    """Start engines for load tests and one entry.

    Args:
        fleet: The processes.
        interval: Seconds between two tokens of a stream.
        engines: Number of engines, with one replica on each.

    Returns:
        Names of the engines.
    """
    names = [f"fast-{number}" for number in range(1, engines + 1)]
    for name in names:
        fleet.start_fast_engine(name, "fabric-a", "regina", interval)
    spec = fleet_module.EntrySpec(
        id="regina-1", datacentre="regina", extra=_ENTRY_SETTINGS
    )
    fleet.add_entry(spec)
    fleet.start_platform()
    fleet.start_entry("regina-1")
    fleet_module.wait_until(
        lambda: fleet.is_answering("regina-1", "/readyz"), 15, "entry ready"
    )
    profile_path = fleet.path / "profiles.ini"
    profile_path.write_text(_PROFILE_INI.format(engines=engines))
    applied = fleet.run_tool("regina-1", "profile", "apply", str(profile_path))
    if applied.returncode:
        raise fleet_module.FleetError(applied.stdout + applied.stderr)
    fleet_module.wait_until(
        lambda: _count_usable(fleet) == engines, 30, "replicas serve"
    )
    return names


def _count_usable(fleet: fleet_module.Fleet) -> int:
    status = fleet.read_json("regina-1", "status")
    return sum(
        replica["usable"]
        for domain in status["domains"]
        for replica in domain["replicas"]
    )


def _make_plan(
    addresses: list[str], connections: int, tokens: int
) -> load.LoadPlan:
    return load.LoadPlan(
        addresses=addresses,
        model="counter",
        connections=connections,
        tokens=tokens,
        seconds=_MEASURE_SECONDS,
    )


@report.register("relay")
def measure_relay() -> None:
    """Measure answers and streams directly and through an entry."""
    with fleet_module.Fleet() as fleet:
        names = start_site(fleet, 0.001)
        direct = [fleet.addresses[name] for name in names]
        entry = [fleet.addresses["regina-1"]]
        pid = fleet.get_pid("regina-1")
        report.emit("relay", "idle_memory", read_memory(pid), "MB")
        _measure_requests(direct, entry)
        _measure_chunks(direct, entry, pid)


def _measure_requests(direct: list[str], entry: list[str]) -> None:
    direct_result = run_callers(_make_plan(direct, 16, 0), _CALLER_PROCESSES)
    entry_result = run_callers(_make_plan(entry, 16, 0), _CALLER_PROCESSES)
    rate = entry_result.requests / entry_result.seconds
    baseline = direct_result.requests / direct_result.seconds
    report.emit("relay", "requests", rate, "1/s", baseline)
    report.emit("relay", "requests_ratio", rate / baseline, "1")


def _measure_chunks(direct: list[str], entry: list[str], pid: int) -> None:
    direct_result = run_callers(
        _make_plan(direct, 100, 500), _CALLER_PROCESSES
    )
    before = read_cpu(pid)
    entry_result = run_callers(_make_plan(entry, 100, 500), _CALLER_PROCESSES)
    processor_time = read_cpu(pid) - before
    rate = entry_result.chunks / entry_result.seconds
    baseline = direct_result.chunks / direct_result.seconds
    report.emit("relay", "chunks", rate, "1/s", baseline)
    report.emit("relay", "chunks_ratio", rate / baseline, "1")
    share = processor_time / (entry_result.seconds + 1.0)
    microseconds = share / rate * 1e6 if rate else 0.0
    report.emit("relay", "processor_per_chunk", microseconds, "us")

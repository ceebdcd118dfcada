"""Added latency, memory and platform calls of one entry process.

Streams run directly to the engines, as the baseline, and then through the
entry, at half the chunk rate that the largest planned fleet requires of a
node. A thousand open streams follow, and then orders with keys issued by
the entry and with keys of the caller's own.
"""

import msgspec

from bench import fleet as fleet_module
from bench import load
from bench import relay
from bench import report

__all__ = ["measure_callers"]

_TOKEN_INTERVAL = 0.02  # seconds
# 270 streams with a token every 20 ms are 13,500 chunks a second.
_STREAMS = 270
_OPEN_STREAMS = 1000
_CALLER_PROCESSES = 3
_ORDERS = 50


def _make_plan(
    addresses: list[str], streams: int, tokens: int
) -> load.LoadPlan:
    return load.LoadPlan(
        addresses=addresses,
        model="counter",
        connections=streams // _CALLER_PROCESSES,
        tokens=tokens,
        seconds=5.0,
        warmup=2.0,
    )


@report.register("callers")
def measure_callers() -> None:
    """Measure streams and orders through one entry."""
    with fleet_module.Fleet() as fleet:
        fleet.start_service("reorders-1", "reorders", "regina")
        names = relay.start_site(fleet, _TOKEN_INTERVAL, 3)
        direct = [fleet.addresses[name] for name in names]
        entry = [fleet.addresses["regina-1"]]
        _measure_added_latency(direct, entry)
        _measure_memory(fleet, entry)
        _measure_orders(fleet)


def _measure_added_latency(direct: list[str], entry: list[str]) -> None:
    direct_result = relay.run_callers(
        _make_plan(direct, _STREAMS, 100), _CALLER_PROCESSES
    )
    entry_result = relay.run_callers(
        _make_plan(entry, _STREAMS, 100), _CALLER_PROCESSES
    )
    rate = entry_result.chunks / entry_result.seconds
    baseline = direct_result.chunks / direct_result.seconds
    report.emit("callers", "chunks", rate, "1/s", baseline)
    for metric, seconds, direct_seconds in (
        ("first_token", entry_result.first, direct_result.first),
        ("between_tokens", entry_result.gaps, direct_result.gaps),
    ):
        value = load.percentile(seconds, 0.95)
        direct_value = load.percentile(direct_seconds, 0.95)
        report.emit("callers", f"{metric}_p95", value, "s", direct_value)
        added = (value - direct_value) * 1000
        report.emit("callers", f"{metric}_added_p95", added, "ms")


def _measure_memory(fleet: fleet_module.Fleet, entry: list[str]) -> None:
    pid = fleet.get_pid("regina-1")
    before = relay.read_memory(pid)
    plan = _make_plan(entry, _OPEN_STREAMS, 10_000)
    result = relay.run_callers(plan, _CALLER_PROCESSES)
    after = relay.read_memory(pid)
    report.emit("callers", "memory_1000_streams", after, "MB", before)
    kilobytes = (after - before) * 1024 / _OPEN_STREAMS
    report.emit("callers", "memory_per_stream", kilobytes, "KB")
    report.emit("callers", "failures", result.failures, "1")


def _count_claim_writes(fleet: fleet_module.Fleet) -> int:
    data = fleet.request("GET", "platform", "/control/calls").data
    calls: dict[str, int] = msgspec.json.decode(data)
    return calls.get("claim", 0)


def _measure_orders(fleet: fleet_module.Fleet) -> None:
    answer = fleet.request("GET", "regina-1", "/v1/entries")
    prefix = msgspec.json.decode(answer.data)["key_prefix"]
    for metric, key_start in (("issued_key", prefix), ("own_key", "own-")):
        before = _count_claim_writes(fleet)
        for number in range(_ORDERS):
            fleet.request(
                "POST",
                "regina-1",
                "/v1/services/reorders/orders",
                b"{}",
                {"Idempotency-Key": f"{key_start}{number}"},
            )
        writes = (_count_claim_writes(fleet) - before) / _ORDERS
        report.emit("callers", f"claims_{metric}", writes, "1/booking")

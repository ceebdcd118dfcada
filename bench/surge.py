"""Share of requests in time at half to four times the usual load.

The share is measured for each placement policy of `standins.surge`, in
virtual time. Also measured is the processor cost of a placement decision
with many replicas.
"""

import statistics
import time

from bench import report
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import placing
from currantwall.state import ids
from currantwall.state import upstreams
from standins import surge

__all__ = ["measure_surge"]

_SEEDS = (1, 2, 3)
# Requests a second at the usual load, which takes 60 % of the slots.
_RATE = 39.0
# Multiples of the usual load.
_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)
# Numbers of replicas at which the cost of a decision is measured; 18 are 162
# instances in replicas of 12 and of 6 members.
_REPLICA_COUNTS = (6, 18, 130)
_DECISIONS = 20_000


def _measure_share_in_time(policy: surge.Policy, factor: float) -> float:
    """Return the share of a surge's requests that is answered in time.

    It is the mean over all seeds; `factor` is the load as a multiple of
    the usual one.
    """
    shares = []
    for seed in _SEEDS:
        simulation = surge.Simulation(policy, seed=seed)
        load = surge.Surge(rate=_RATE, factor=factor)
        simulation.run(load)
        shares.append(simulation.compute_share_in_time(load.begin, load.end))
    return statistics.fmean(shares)


def _measure_cost(replicas: int) -> float:
    """Return the mean microseconds of a placement decision."""
    fleet = upstreams.Fleet()
    fleet.replace([surge.make_leader(n) for n in range(replicas)], 1, 0)
    datacentre = ids.DatacentreName("here")
    balancer = balancing.Balancer(fleet, datacentre)
    placer = placing.Placer(balancer)
    tickets = [surge.make_ticket(f"r{n}") for n in range(_DECISIONS)]
    started = time.perf_counter()
    for ticket in tickets:
        found = placer.try_place(ticket, 0.0)
        if isinstance(found, placing.Placement):
            balancer.end(found.upstream.id)
    return (time.perf_counter() - started) / _DECISIONS * 1e6


@report.register("surge")
def measure_surge() -> None:
    """Measure the share in time by load and policy, and decision costs."""
    for factor in _FACTORS:
        baseline = _measure_share_in_time(surge.Policy.ALL_KNOWN, factor)
        for policy in (surge.Policy.AT_ONCE, surge.Policy.WAITS):
            share = _measure_share_in_time(policy, factor)
            metric = f"in_time_{policy.value}_{factor:g}x"
            report.emit("surge", metric, share, "share", baseline)
    for replicas in _REPLICA_COUNTS:
        metric = f"decision_{replicas}_replicas"
        report.emit("surge", metric, _measure_cost(replicas), "us")

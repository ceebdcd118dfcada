"""Loads of half to four times the capacity: what is in time, by policy.

Also what a decision costs before many replicas.
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
# Requests a second at the usual load: 60 in 100 of the places.
_RATE = 39.0
_FACTORS = (0.5, 1.0, 1.5, 2.0, 3.0, 4.0)
# Replicas before which the cost of a decision is measured: 162 instances
# in replicas of 12 and of 6.
_REPLICAS = (6, 18, 130)
_DECISIONS = 20_000


def _measure_share(policy: surge.Policy, factor: float) -> float:
    """Return the part of a surge's requests that is in time."""
    shares = []
    for seed in _SEEDS:
        simulation = surge.Simulation(policy, seed=seed)
        load = surge.Surge(rate=_RATE, factor=factor)
        simulation.run(load)
        shares.append(simulation.compute_share_in_time(load.begin, load.end))
    return statistics.fmean(shares)


def _measure_cost(replicas: int) -> float:
    """Return the microseconds that a place for a request takes."""
    fleet = upstreams.Fleet()
    fleet.replace([surge.make_leader(n) for n in range(replicas)], 1, 0)
    here = ids.DatacentreName("here")
    balancer = balancing.Balancer(fleet, here)
    placer = placing.Placer(balancer)
    tickets = [surge.make_ticket(f"r{n}") for n in range(_DECISIONS)]
    began = time.perf_counter()
    for ticket in tickets:
        found = placer.try_place(ticket, 0.0)
        if isinstance(found, placing.Placement):
            balancer.end(found.upstream.id)
    return (time.perf_counter() - began) / _DECISIONS * 1e6


@report.register("surge")
def measure_surge() -> None:
    """Print what is in time by load and policy, and the cost."""
    for factor in _FACTORS:
        known = _measure_share(surge.Policy.ALL_KNOWN, factor)
        for policy in (surge.Policy.AT_ONCE, surge.Policy.WAITS):
            share = _measure_share(policy, factor)
            metric = f"in_time_{policy.value}_{factor:g}x"
            report.emit("surge", metric, share, "share", known)
    for replicas in _REPLICAS:
        metric = f"decision_{replicas}_replicas"
        report.emit("surge", metric, _measure_cost(replicas), "us")

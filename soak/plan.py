"""Which disturbances come when, from one seed."""

from collections import abc
import enum
import random

import msgspec

__all__ = ["Disturbance", "Kind", "make_plan"]


class Kind(enum.Enum):
    """What is done to the site."""

    KILL_GATEWAY = "kill_gateway"
    STOP_GATEWAY = "stop_gateway"
    PAUSE_GATEWAY = "pause_gateway"
    RELOAD_GATEWAY = "reload_gateway"
    CLOCK_BACK = "clock_back"
    KILL_ALL_GATEWAYS = "kill_all_gateways"
    KILL_UPSTREAM = "kill_upstream"
    PAUSE_UPSTREAM = "pause_upstream"
    DRAIN_UPSTREAM = "drain_upstream"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    CUT_GATEWAY = "cut_gateway"
    CUT_UPSTREAM = "cut_upstream"
    CUT_ENTRY = "cut_entry"
    CONFIGURE = "configure"


# How often each kind comes, against the others.
_WEIGHTS = {
    Kind.KILL_GATEWAY: 3,
    Kind.STOP_GATEWAY: 3,
    Kind.PAUSE_GATEWAY: 3,
    Kind.RELOAD_GATEWAY: 1,
    Kind.CLOCK_BACK: 1,
    Kind.KILL_ALL_GATEWAYS: 1,
    Kind.KILL_UPSTREAM: 5,
    Kind.PAUSE_UPSTREAM: 3,
    Kind.DRAIN_UPSTREAM: 3,
    Kind.STORE_DOWN: 2,
    Kind.STORE_SLOW: 1,
    Kind.STORE_LOSES: 2,
    Kind.STORE_FORGETS: 2,
    Kind.CUT_GATEWAY: 3,
    Kind.CUT_UPSTREAM: 4,
    Kind.CUT_ENTRY: 2,
    Kind.CONFIGURE: 6,
}
_ON_GATEWAYS = (
    Kind.KILL_GATEWAY,
    Kind.STOP_GATEWAY,
    Kind.PAUSE_GATEWAY,
    Kind.RELOAD_GATEWAY,
    Kind.CLOCK_BACK,
    Kind.CUT_GATEWAY,
)
_ON_UPSTREAMS = (
    Kind.KILL_UPSTREAM,
    Kind.PAUSE_UPSTREAM,
    Kind.DRAIN_UPSTREAM,
    Kind.CUT_UPSTREAM,
    Kind.CUT_ENTRY,
)
# How a link may fail; the names of `proxy.Mode`.
_WAYS = ("delayed", "silent", "one_way", "resetting")
# Seconds without disturbance at the start and between two of them, at
# most; a third come in quick series, so that they overlap.
_FIRST = 1.0
_PAUSE = 2.0
_SERIES_SHARE = 0.35
_SERIES_PAUSE = 0.2
# Seconds that one lasts.
_SHORTEST = 0.3
_LONGEST = 4.0


class Disturbance(msgspec.Struct, frozen=True):
    """One thing that goes wrong, or is planned.

    Attributes:
        at: Seconds from the start.
        lasts: Seconds until it is mended.
        target: Process that it strikes; empty where there is no choice.
        way: How a link fails.
    """

    at: float
    kind: Kind
    lasts: float
    target: str = ""
    way: str = ""


def make_plan(
    seed: int,
    seconds: float,
    gateways: abc.Sequence[str],
    upstreams: abc.Sequence[str],
) -> list[Disturbance]:
    """Return the disturbances of one run in their order."""
    chance = random.Random(seed)
    kinds = list(_WEIGHTS)
    weights = [_WEIGHTS[kind] for kind in kinds]
    found = []
    at = _FIRST
    while at < seconds:
        kind = chance.choices(kinds, weights)[0]
        target = ""
        if kind in _ON_GATEWAYS:
            target = chance.choice(gateways)
        elif kind in _ON_UPSTREAMS:
            target = chance.choice(upstreams)
        lasts = chance.uniform(_SHORTEST, _LONGEST)
        way = chance.choice(_WAYS)
        found.append(Disturbance(at, kind, lasts, target, way))
        in_series = chance.random() < _SERIES_SHARE
        at += chance.uniform(0.0, _SERIES_PAUSE if in_series else _PAUSE)
    return found

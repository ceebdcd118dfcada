"""Random schedules of faults and planned changes, from a seed."""

from collections import abc
import enum
import random

import msgspec

__all__ = ["Disturbance", "Kind", "make_plan"]


class Kind(enum.Enum):
    """A fault that is injected, or an operator's planned change."""

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
    # The store is away for a moment, and comes back from a copy that was
    # made at the start of the disturbance.
    STORE_RESTORED = "store_restored"
    # CUT_GATEWAY and CUT_ENTRY are of the link from a gateway or server to
    # the store, CUT_UPSTREAM is of the links from gateways to a server.
    CUT_GATEWAY = "cut_gateway"
    CUT_UPSTREAM = "cut_upstream"
    CUT_ENTRY = "cut_entry"
    CONFIGURE = "configure"
    # What a server says in its answers: a limit, a pause, that it leaves.
    LIMIT_UPSTREAM = "limit_upstream"
    REFUSE_UPSTREAM = "refuse_upstream"
    LEAVE_UPSTREAM = "leave_upstream"
    # New connections of a gateway to all servers fail.
    PARTITION_GATEWAY = "partition_gateway"
    # Entries of servers that are gone, or that can't be read.
    FOREIGN_ENTRIES = "foreign_entries"


# Relative frequency of each kind.
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
_GATEWAY_KINDS = (
    Kind.KILL_GATEWAY,
    Kind.STOP_GATEWAY,
    Kind.PAUSE_GATEWAY,
    Kind.RELOAD_GATEWAY,
    Kind.CLOCK_BACK,
    Kind.CUT_GATEWAY,
)
_UPSTREAM_KINDS = (
    Kind.KILL_UPSTREAM,
    Kind.PAUSE_UPSTREAM,
    Kind.DRAIN_UPSTREAM,
    Kind.CUT_UPSTREAM,
    Kind.CUT_ENTRY,
)
_ADVISORY_KINDS = (
    Kind.LIMIT_UPSTREAM,
    Kind.REFUSE_UPSTREAM,
    Kind.LEAVE_UPSTREAM,
)
# Most seconds between two servers that ask something in their answers.
_MAX_ADVISORY_PAUSE = 4.0
# Most seconds between two partitions, and the longest that one lasts.
_MAX_PARTITION_PAUSE = 6.0
_MAX_PARTITION = 6.0
# Most seconds between two restores of the store.
_MAX_RESTORE_PAUSE = 8.0
# Most seconds between two writers of foreign entries.
_MAX_ENTRIES_PAUSE = 5.0
# How a link may fail: the values of `proxy.Mode` but for passing.
_LINK_MODES = ("delayed", "silent", "one_way", "resetting")
# Seconds before the first disturbance, and at most between the starts of
# two. About a third follow in quick series, so that they overlap.
_START_DELAY = 1.0
_MAX_PAUSE = 2.0
_SERIES_SHARE = 0.35
_MAX_SERIES_PAUSE = 0.2
# Range of the duration of a disturbance, in seconds.
_MIN_DURATION = 0.3
_MAX_DURATION = 4.0


class Disturbance(msgspec.Struct, frozen=True):
    """One fault or planned change.

    Attributes:
        at: Start, in seconds from the start of the run.
        kind: What is done.
        lasts: Duration in seconds; kinds without one ignore it.
        target: Process that it affects; empty if the kind has no choice.
        way: Value of the `proxy.Mode` in which a link fails, or how the
            new connections of a partitioned gateway fail.
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
    """Return the disturbances of one run, by start.

    The plan depends only on the arguments. A change to the order or number
    of random draws changes the plan of every seed.

    Args:
        seed: Seed of the random numbers.
        seconds: Time in which disturbances start.
        gateways: Names of the gateways.
        upstreams: Names of the engines and services.
    """
    rng = random.Random(seed)
    kinds = list(_WEIGHTS)
    weights = [_WEIGHTS[kind] for kind in kinds]
    disturbances = []
    at = _START_DELAY
    while at < seconds:
        kind = rng.choices(kinds, weights)[0]
        target = ""
        if kind in _GATEWAY_KINDS:
            target = rng.choice(gateways)
        elif kind in _UPSTREAM_KINDS:
            target = rng.choice(upstreams)
        lasts = rng.uniform(_MIN_DURATION, _MAX_DURATION)
        way = rng.choice(_LINK_MODES)
        disturbances.append(Disturbance(at, kind, lasts, target, way))
        in_series = rng.random() < _SERIES_SHARE
        at += rng.uniform(0.0, _MAX_SERIES_PAUSE if in_series else _MAX_PAUSE)
    disturbances += _plan_advisories(seed, seconds, upstreams)
    disturbances += _plan_partitions(seed, seconds, gateways)
    disturbances += _plan_restores(seed, seconds)
    disturbances += _plan_entries(seed, seconds)
    return sorted(disturbances, key=lambda disturbance: disturbance.at)


def _plan_advisories(
    seed: int, seconds: float, upstreams: abc.Sequence[str]
) -> list[Disturbance]:
    """Return when servers ask something of the gateways.

    It has random numbers of its own, so that the other disturbances of a
    seed stay what they were without it.
    """
    rng = random.Random(f"{seed}/advisories")
    disturbances = []
    at = _START_DELAY
    while at < seconds:
        kind = rng.choice(_ADVISORY_KINDS)
        lasts = rng.uniform(_MIN_DURATION, _MAX_DURATION)
        target = rng.choice(upstreams)
        disturbances.append(Disturbance(at, kind, lasts, target))
        at += rng.uniform(0.0, _MAX_ADVISORY_PAUSE)
    return disturbances


def _plan_partitions(
    seed: int, seconds: float, gateways: abc.Sequence[str]
) -> list[Disturbance]:
    """Return when gateways lose their path to all servers.

    Most times it is one gateway, sometimes it is all of them. The random
    numbers are its own, as those of `_plan_advisories` are.
    """
    rng = random.Random(f"{seed}/partitions")
    disturbances = []
    at = _START_DELAY + rng.uniform(0.0, _MAX_PARTITION_PAUSE)
    while at < seconds:
        lasts = rng.uniform(_MIN_DURATION, _MAX_PARTITION)
        way = rng.choice(("refuse", "hang"))
        count = rng.choice((1, 1, 1, 2, len(gateways)))
        for target in rng.sample(gateways, min(count, len(gateways))):
            disturbances.append(
                Disturbance(at, Kind.PARTITION_GATEWAY, lasts, target, way)
            )
        at += rng.uniform(0.0, _MAX_PARTITION_PAUSE)
    return disturbances


def _plan_restores(seed: int, seconds: float) -> list[Disturbance]:
    """Return when the store comes back from an older copy.

    The random numbers are its own, as those of `_plan_advisories` are.
    """
    rng = random.Random(f"{seed}/restores")
    disturbances = []
    at = rng.uniform(0.0, _MAX_RESTORE_PAUSE)
    while at < seconds:
        lasts = rng.uniform(_MIN_DURATION, _MAX_DURATION)
        disturbances.append(Disturbance(at, Kind.STORE_RESTORED, lasts))
        at += lasts + rng.uniform(0.0, _MAX_RESTORE_PAUSE)
    return disturbances


def _plan_entries(seed: int, seconds: float) -> list[Disturbance]:
    """Return when another system writes entries of its servers.

    The random numbers are its own, as those of `_plan_advisories` are.
    """
    rng = random.Random(f"{seed}/entries")
    disturbances = []
    at = rng.uniform(0.0, _MAX_ENTRIES_PAUSE)
    while at < seconds:
        lasts = rng.uniform(_MIN_DURATION, _MAX_DURATION)
        disturbances.append(Disturbance(at, Kind.FOREIGN_ENTRIES, lasts))
        at += rng.uniform(0.0, _MAX_ENTRIES_PAUSE)
    return disturbances

"""Timeouts and retries of requests that an upstream fails to answer.

Failures: in a large fleet some upstreams always vanish, go silent,
refuse requests or break off an answer while callers wait. A request that
has not run is sent to another upstream at once, on any route. One that may
have run is repeated only if its route allows that, and at most as often as
the route says. Each repeat, of either kind, is taken from the budget that
all nodes share. Every other request gets its final answer immediately:
waiting longer would only keep the caller from trying again.
"""

import enum

import msgspec

from currantwall.state import routes

__all__ = [
    "CONNECT_PATIENCE",
    "LOSS_PATIENCE",
    "PROBE_INTERVAL",
    "STALL_TIMEOUT",
    "Ending",
    "Failure",
    "Lateness",
    "Progress",
    "Verdict",
    "choose_ending",
    "decide",
    "find_lateness",
    "get_probe_delay",
    "is_cut_off",
]

# Most attempts of one request, including those that certainly did not run.
_MAX_SENDS = 4
# Most connections that one request finds out about.
_MAX_UNOPENED = 1000
# Seconds of silence between two events of a stream after which its replica
# is probed. A working replica sends an event every 45 to 60 ms, or after
# 150 ms if it reads a long prompt in between.
_PROBE_DELAY = 0.15
# Seconds between two probes of a replica that remains silent.
PROBE_INTERVAL = 1.0
# Seconds of silence between two events of a stream after which another
# replica is asked to resume it, without waiting for the probe's result.
STALL_TIMEOUT = 0.5
# Seconds of silence before the first event after which the replica is
# probed.
_FIRST_PROBE_DELAY = 0.25
# Seconds of silence after which an attempt fails whose replica is said to
# have lost a member. Callers don't wait any longer for an event.
LOSS_PATIENCE = 2.0
# Timeout before the first event: a multiple of the route's target, and a
# minimum in seconds. A full replica takes half a second to begin: a
# shorter timeout only moves the request to the next full one.
_FIRST_EVENT_TIMEOUT_FACTOR = 4.0
_MIN_FIRST_EVENT_TIMEOUT = 1.0
# Timeout of whole answers of plain services: a multiple of the route's
# target, and a minimum in seconds. Most answers take 45 ms, one in a
# hundred takes five times as long.
_ANSWER_TIMEOUT_FACTOR = 1.5
_MIN_ANSWER_TIMEOUT = 0.4
# Seconds after which another upstream takes the place of one that has not
# answered the opening of a connection. A round trip takes 3 ms.
CONNECT_PATIENCE = 0.1
# Seconds that a starting node needs to receive the configuration.
_CONFIGURATION_SECONDS = 0.5
# Seconds after its start in which a node holds requests back. Most callers
# try again only once, so a refused request may never be served.
_START_HOLD = 1.0
# How long callers wait for an event: the longest of a number of seconds, a
# multiple of the route's target for the first event, and a multiple of its
# longest allowed pause.
_MIN_PATIENCE = 2.0
_PATIENCE_TARGETS = 4.0
_PATIENCE_GAPS = 8.0


class Failure(enum.Enum):
    """How an attempt failed."""

    # No connection was made, so nothing of the request was sent.
    UNREACHED = "unreached"
    # This node or the peer that forwards has no path to any upstream, so
    # nothing of the request was sent.
    NO_PATH = "no_path"
    # The upstream says that it did not run the request.
    NOT_RUN = "not_run"
    # Another server answered at the address, or an instance that no longer
    # leads its replica.
    MISDIRECTED = "misdirected"
    # No answer, or an invalid one; the request may have run.
    LOST = "lost"
    # The upstream went silent; it may still run the request.
    STALLED = "stalled"
    # The upstream answered with an error of its own.
    ERROR = "error"

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have acted on the request."""
        return self not in (
            Failure.UNREACHED,
            Failure.NO_PATH,
            Failure.NOT_RUN,
            Failure.MISDIRECTED,
        )


class Progress(msgspec.Struct):
    """How far one request has come.

    Attributes:
        sends: Attempts made.
        unopened: Those for which no connection was opened.
        runs: Attempts that may have run.
        started: Whether the caller has received a part of the answer.
    """

    sends: int = 0
    unopened: int = 0
    runs: int = 0
    started: bool = False


class Verdict(enum.Enum):
    """What to do after a failed attempt."""

    # Send the request to another upstream, whatever the budget: nothing of
    # it was sent.
    REPEAT = "repeat"
    # The same, provided that the shared budget still has a repeat to take.
    REPEAT_PAID = "repeat_paid"
    GIVE_UP = "give_up"


class Ending(enum.Enum):
    """The error that a caller gets for a request without an answer."""

    # It has not run and will not run: the caller may repeat it.
    REFUSED = "refused"
    # The upstream's answer was lost.
    BAD_GATEWAY = "bad_gateway"
    # The deadline passed, and the request may have run.
    TIMED_OUT = "timed_out"


class Lateness(enum.Enum):
    """Which objective of its route an answer missed."""

    # The first event, or the whole answer, came after the target.
    FIRST = "first"
    # A pause between two events was longer than the route allows.
    PAUSE = "pause"


def find_lateness(
    route: routes.Route, first: float, pause: float
) -> Lateness | None:
    """Return which objective an answer missed, None if it was in time.

    Args:
        route: Its route; an objective of 0 is always met.
        first: Seconds to the first event, or to the whole answer.
        pause: Longest time between two events, in seconds.
    """
    if 0 < route.target < first:
        return Lateness.FIRST
    if 0 < route.gap < pause:
        return Lateness.PAUSE
    return None


def is_cut_off(
    is_inside_event: bool, has_events: bool, is_delimited: bool
) -> bool:
    """Return whether a stream that has ended was broken off.

    Args:
        is_inside_event: Whether it ended inside an event.
        has_events: Whether the caller has got an event.
        is_delimited: Whether a length or chunks mark its end. Without,
            an upstream that dies may end it in order.
    """
    return is_inside_event or not (has_events or is_delimited)


def get_answer_timeout(route: routes.Route) -> float | None:
    """Return the seconds after which a whole answer counts as stalled.

    Nothing of such an answer arrives before it is complete. None where a
    second attempt is not allowed: then it is better to wait for the one
    that may have run.
    """
    if not route.is_idempotent or route.attempts < 2:
        return None
    return max(_MIN_ANSWER_TIMEOUT, _ANSWER_TIMEOUT_FACTOR * route.target)


def decide(
    route: routes.Route,
    failure: Failure,
    progress: Progress,
    is_free: bool = False,
) -> Verdict:
    """Return whether to send a request to another upstream.

    Failure: most listed upstreams are gone, and a request ends after a few
    refused connections while others are idle. A connection that was not
    opened is no attempt, unless it was to an upstream of which no better was
    expected: these are tried where no other is left.

    Args:
        route: Its route.
        failure: How its last attempt failed.
        progress: Its attempts so far, including the failed one.
        is_free: Whether no connection was opened, to an upstream that was
            not known as unreachable; the progress has counted it.
    """
    if is_free and progress.unopened < _MAX_UNOPENED:
        is_allowed = progress.runs == 0 or route.is_idempotent
        return Verdict.REPEAT if is_allowed else Verdict.GIVE_UP
    if progress.sends - progress.unopened >= _MAX_SENDS:
        return Verdict.GIVE_UP
    if not failure.may_have_run and progress.runs == 0:
        return Verdict.REPEAT_PAID
    if not route.is_idempotent:
        return Verdict.GIVE_UP
    if failure.may_have_run and progress.runs >= route.attempts:
        return Verdict.GIVE_UP
    return Verdict.REPEAT_PAID


def choose_ending(progress: Progress, in_time: bool) -> Ending:
    """Return the error for a request that no upstream answered.

    Args:
        progress: Its attempts.
        in_time: Whether its deadline has not passed yet.
    """
    if progress.runs == 0:
        return Ending.REFUSED
    return Ending.BAD_GATEWAY if in_time else Ending.TIMED_OUT


def get_start_hold(uptime: float) -> float:
    """Return the seconds for which a starting node may hold a request.

    The load pattern: all nodes restart at once, and callers connect as
    soon as the nodes listen. The configuration and the list of instances
    arrive a moment later. A request that waits for them is served in time;
    one that is refused comes back after its target.

    Args:
        uptime: Seconds since the node started.
    """
    return max(0.0, _START_HOLD - uptime)


def estimate_start_delay(uptime: float) -> float:
    """Return an estimate of the seconds until a node has a configuration.

    Failure: all nodes start while the store is down. Callers that are told
    to retry soon are refused again, and most retry only once. The longer
    an outage has lasted, the longer it is expected to last.

    Args:
        uptime: Seconds since the node started.
    """
    return max(_CONFIGURATION_SECONDS, uptime)


def get_probe_delay(has_begun: bool) -> float:
    """Return the seconds of silence after which a replica is probed.

    Args:
        has_begun: Whether it has sent an event of the stream.
    """
    return _PROBE_DELAY if has_begun else _FIRST_PROBE_DELAY


def get_caller_patience(route: routes.Route) -> float:
    """Return the seconds without an event after which callers give up."""
    return max(
        _MIN_PATIENCE,
        _PATIENCE_TARGETS * route.target,
        _PATIENCE_GAPS * route.gap,
    )


def get_first_event_timeout(route: routes.Route) -> float | None:
    """Return the seconds after which a missing first event is a stall.

    None where a second attempt is not allowed: then it is better to wait
    for the one that may have run.
    """
    if not route.is_idempotent or route.attempts < 2:
        return None
    return max(
        _MIN_FIRST_EVENT_TIMEOUT, _FIRST_EVENT_TIMEOUT_FACTOR * route.target
    )

"""What to do when an upstream did not answer a request as it should.

The failures it answers: upstreams that vanish, fall silent, refuse or
break off while callers wait, in a fleet where some always do. What has
not run goes elsewhere at once. What may have run goes elsewhere only if
the route allows it, at most as often as the route says, and while the
nodes' common budget for repeats lasts. Everything else gets its final
answer now: waiting longer would only keep the caller from trying again.
"""

import enum

import msgspec

from currantwall.state import routes

__all__ = [
    "Ending",
    "Failure",
    "Lateness",
    "Progress",
    "Verdict",
    "decide",
    "end_unserved",
    "find_lateness",
]

# Sends of one request at most, those included that certainly ran nowhere.
_SENDS_LIMIT = 4
# Seconds of silence in the middle of a stream after which its replica is
# looked at. A working one sends an event every 45 to 60 ms, with a long
# prompt read between two of them 150 ms.
DOUBT = 0.15
# Seconds of silence in the middle of a stream after which it goes on
# elsewhere without waiting for the verdict.
STALL = 0.5
# The same before the first event. A full replica takes half a second to
# begin: giving it up then only moves the request to the next full one.
FIRST_DOUBT = 0.25
_FIRST_FACTOR = 4.0
_FIRST_LEAST = 1.0


# The same for whole answers of plain services: most take 45 ms, one in a
# hundred five times as long.
_ANSWER_FACTOR = 1.5
_ANSWER_LEAST = 0.4


# Seconds in which a node that starts learns the configuration.
_STARTING = 0.5
# Seconds after a node's start in which it holds requests. Most callers
# come back once only, and one that was refused may not be served at all.
_START_HOLD = 1.0
# How long callers wait for an event: so many seconds, objectives for the
# first event, or longest pauses, whichever is the longest.
_BORNE_LEAST = 2.0
_BORNE_TARGETS = 4.0
_BORNE_GAPS = 8.0


class Failure(enum.Enum):
    """How an attempt failed."""

    # No connection: nothing of the request left this node.
    UNREACHED = "unreached"
    # The upstream says that it did not run the request.
    NOT_RUN = "not_run"
    # Another server answered, or one that no longer leads its replica.
    MISDIRECTED = "misdirected"
    # No answer, or one that cannot be trusted; it may have run.
    LOST = "lost"
    # The upstream fell silent; it may run the request later.
    STALLED = "stalled"
    # The upstream answered with a failure of its own.
    ERROR = "error"

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have acted on the request."""
        return self not in (
            Failure.UNREACHED,
            Failure.NOT_RUN,
            Failure.MISDIRECTED,
        )


class Progress(msgspec.Struct):
    """How far one request has come.

    Attributes:
        sends: Attempts made.
        runs: Attempts that may have run.
        started: Whether the caller has got a part of the answer.
    """

    sends: int = 0
    runs: int = 0
    started: bool = False


class Verdict(enum.Enum):
    """What follows a failed attempt."""

    REPEAT = "repeat"
    # The same, paid for from the common budget.
    REPEAT_PAID = "repeat_paid"
    GIVE_UP = "give_up"


class Ending(enum.Enum):
    """What a caller is told of a request that got no answer."""

    # It has not run and won't: the caller may repeat it.
    REFUSED = "refused"
    # The upstream's answer was lost.
    BAD_GATEWAY = "bad_gateway"
    # Time ran out while it may have run.
    TIMED_OUT = "timed_out"


class Lateness(enum.Enum):
    """What made an answer late."""

    # The first event, or a whole answer, came after the objective.
    FIRST = "first"
    # Two events were further apart than the route allows.
    PAUSE = "pause"


def find_lateness(
    route: routes.Route, first: float, pause: float
) -> Lateness | None:
    """Return what made an answer late, None if it was on time.

    Args:
        route: Its route; objectives that it lacks are always met.
        first: Seconds to the first event, or to the whole answer.
        pause: Longest time between two events, in seconds.
    """
    if 0 < route.target < first:
        return Lateness.FIRST
    if 0 < route.gap < pause:
        return Lateness.PAUSE
    return None


def wait_for_answer(route: routes.Route) -> float | None:
    """Return the seconds without an answer that count as a stall.

    For whole answers, of which nothing is seen before their end.
    """
    if not route.is_idempotent or route.attempts < 2:
        return None
    return max(_ANSWER_LEAST, _ANSWER_FACTOR * route.target)


def decide(
    route: routes.Route, failure: Failure, progress: Progress
) -> Verdict:
    """Return whether a request is sent to another upstream."""
    if progress.sends >= _SENDS_LIMIT:
        return Verdict.GIVE_UP
    if not failure.may_have_run and progress.runs == 0:
        return Verdict.REPEAT_PAID
    if not route.is_idempotent:
        return Verdict.GIVE_UP
    if failure.may_have_run and progress.runs >= route.attempts:
        return Verdict.GIVE_UP
    return Verdict.REPEAT_PAID


def end_unserved(progress: Progress, in_time: bool) -> Ending:
    """Return the final answer of a request that got none."""
    if progress.runs == 0:
        return Ending.REFUSED
    return Ending.BAD_GATEWAY if in_time else Ending.TIMED_OUT


def wait_for_start(lasted: float) -> float:
    """Return the seconds that a request waits for its node to know enough.

    The load pattern: all nodes restart at once, and callers connect as
    soon as they listen. The configuration and the list of instances come
    a moment later; a refused request comes back after its objective, one
    that waits is served in time.

    Args:
        lasted: Seconds since the node started.
    """
    return max(0.0, _START_HOLD - lasted)


def hint_start(lasted: float) -> float:
    """Return the seconds until a node knows a configuration, or so.

    Failure: all nodes start while the store is down, and callers that are
    told to come back soon are refused again, which they bear only once.
    An outage that has lasted longer will last longer.

    Args:
        lasted: Seconds since the node started.
    """
    return max(_STARTING, lasted)


def bear_silence(route: routes.Route) -> float:
    """Return the seconds without an event after which callers leave."""
    return max(
        _BORNE_LEAST, _BORNE_TARGETS * route.target, _BORNE_GAPS * route.gap
    )


def wait_for_first(route: routes.Route) -> float | None:
    """Return the seconds before the first event that count as a stall.

    None where a second attempt is not allowed: then it is better to wait
    for the one that may have run.
    """
    if not route.is_idempotent or route.attempts < 2:
        return None
    return max(_FIRST_LEAST, _FIRST_FACTOR * route.target)

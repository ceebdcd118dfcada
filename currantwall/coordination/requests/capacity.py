"""How many requests a replica bears and how long it takes over them.

The load it answers: every further request in a batch slows down all of
its streams. Beyond some number their pauses are longer than a route
allows, and every request of the replica is late. The number follows from
the timing that the operator tells and, for a replica that departs from
it, from the pauses that are seen.
"""

from currantwall.state import routes

__all__ = [
    "count_places",
    "share_places",
    "expect_answer",
    "expect_first",
    "expect_pass",
]

# Requests that a replica is sent beyond those it works on, so that none of
# its places stays empty for the time of the way there and back.
_AHEAD = 1
# Part of its places that requests which are late anyway may fill. The rest
# is for those that come next and can be in time. With less to spare, late
# ones take it all: of many gateways with counts that differ a little, one
# always sees a place.
_LATE_PART = 0.85


def expect_pass(timing: routes.Timing, pace: float, requests: int) -> float:
    """Return the seconds from one event of a stream to the next.

    Args:
        timing: Timing of the engine.
        pace: Factor on all times of the replica.
        requests: Requests that are writing.
    """
    context = timing.prompt + timing.answer / 2
    each = timing.per_request + timing.per_token * context
    return timing.steps * (timing.step + each * requests) * pace


def expect_read(timing: routes.Timing, pace: float) -> float:
    """Return the seconds in which a usual prompt is read."""
    pairs = timing.prompt * timing.prompt / 2
    read = timing.prompt * timing.read_token + pairs * timing.read_pair
    return read * pace


def expect_first(timing: routes.Timing, pace: float, requests: int) -> float:
    """Return the seconds until the first event of a request that starts.

    It waits for the pass that is under way, is read, and writes its first
    event in a pass of its own.
    """
    one_pass = expect_pass(timing, pace, requests)
    return 1.5 * one_pass + expect_read(timing, pace)


def expect_answer(timing: routes.Timing, pace: float, requests: int) -> float:
    """Return the seconds in which a replica writes a usual answer.

    In that time all of its places come free once.
    """
    passes = timing.answer / timing.steps
    return passes * expect_pass(timing, pace, requests)


def share_places(places: int, late: bool) -> int:
    """Return the requests in work up to which one more may be sent.

    Args:
        places: Requests that the replica bears at once.
        late: Whether the request is late anyway.
    """
    if late:
        return max(1, int(places * _LATE_PART))
    return places + _AHEAD


def count_places(
    engine: routes.Engine, model: str, gap: float, slowness: float = 1.0
) -> int:
    """Return the requests a replica may have in work at once.

    So many that its streams still keep to their longest pause while a
    usual prompt is read between two events; one at least.

    Args:
        engine: What the operator tells of the engine.
        model: Model of the replica.
        gap: Longest pause that is on time, in seconds; 0 for any.
        slowness: Factor by which the replica departs from the timing.
    """
    timing = engine.timing
    found = engine.find(model)
    if timing is None or gap <= 0 or found is None:
        return engine.slots
    pace = found.pace * slowness
    base = expect_pass(timing, pace, 0) + expect_read(timing, pace)
    each = expect_pass(timing, pace, 1) - expect_pass(timing, pace, 0)
    if each <= 0:
        return engine.slots if base <= gap else 1
    return min(engine.slots, max(1, int((gap - base) / each)))

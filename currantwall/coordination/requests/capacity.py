"""How many requests a replica can serve at once, and how long they take.

Every further request in a batch slows down all streams of the replica.
Beyond some number the pauses between events are longer than a route
allows, and every request of the replica is late. This limit is computed
from the timing that the operator configures and, for a replica that
departs from it, from the pauses that are observed.
"""

from currantwall.state import routes

__all__ = [
    "compute_limit",
    "adjust_limit",
    "estimate_answer_time",
    "estimate_cost",
    "estimate_first_event_time",
    "estimate_free_slots",
    "estimate_pass_time",
]

# Requests that a replica is sent beyond its limit, so that no slot stays
# empty for the round trip between the end of one request and the next.
_PREFETCHED_REQUESTS = 1
# Part of a replica's limit that late requests may fill. The rest is kept
# for new requests that can still be in time. With a smaller reserve late
# requests take every slot: the counts of many gateways differ a little,
# and one of them always sees a free slot.
_LATE_SHARE = 0.85


def estimate_pass_time(
    timing: routes.Timing, pace: float, requests: int
) -> float:
    """Return the seconds from one event of a stream to the next.

    Args:
        timing: Timing of the engine.
        pace: Factor on all times of the replica.
        requests: Requests that are being answered at once.
    """
    context = timing.prompt + timing.answer / 2
    each = timing.per_request + timing.per_token * context
    return timing.steps * (timing.step + each * requests) * pace


def estimate_prompt_time(timing: routes.Timing, pace: float) -> float:
    """Return the seconds in which a prompt of mean length is read."""
    pairs = timing.prompt * timing.prompt / 2
    read = timing.prompt * timing.read_token + pairs * timing.read_pair
    return read * pace


def estimate_first_event_time(
    timing: routes.Timing, pace: float, requests: int
) -> float:
    """Return the seconds from a request's start to its first event.

    The request waits for the current pass to end, which takes half a pass
    on average. Then its prompt is read, and the first event is written in
    a pass of its own.
    """
    one_pass = estimate_pass_time(timing, pace, requests)
    return 1.5 * one_pass + estimate_prompt_time(timing, pace)


def estimate_answer_time(
    timing: routes.Timing, pace: float, requests: int
) -> float:
    """Return the seconds in which an answer of mean length is written.

    In that time each slot of a replica becomes free once.
    """
    passes = timing.answer / timing.steps
    return passes * estimate_pass_time(timing, pace, requests)


def estimate_cost(
    timing: routes.Timing, pace: float, slots: int, prompt: int, answer: int
) -> float:
    """Return the replica time that one request takes, in seconds.

    A decoding step is shared by the requests of a full batch.

    Args:
        timing: Timing of the engine.
        pace: Factor on all times of the replica.
        slots: Requests of a full batch.
        prompt: Tokens of the prompt.
        answer: Tokens of the answer.
    """
    context = prompt + answer / 2
    step = timing.step / slots + timing.per_request
    step += timing.per_token * context
    return (prompt * timing.read_token + answer * step) * pace


def adjust_limit(limit: int, leaves_reserve: bool) -> int:
    """Return the requests in flight below which one more may be sent.

    Args:
        limit: Requests that the replica can serve at once.
        leaves_reserve: Whether the request leaves a part of the replica to
            others: it is late in any case, or its organisation has
            attained more than its share while capacity is short.
    """
    if leaves_reserve:
        return max(1, int(limit * _LATE_SHARE))
    return limit + _PREFETCHED_REQUESTS


def estimate_free_slots(
    limit: int, load: int, service_time: float, age: float
) -> float:
    """Return the slots of a replica that are or soon become free.

    Args:
        limit: Requests that the replica can run at once.
        load: Requests that it runs or holds by the counts.
        service_time: Seconds that a request takes.
        age: Seconds by which the counts are late.
    """
    ended = min(load, limit) * min(age / service_time, 1.0)
    return max(limit - load + ended, 0.0)


def compute_limit(
    engine: routes.Engine, model: str, gap: float, slowness: float = 1.0
) -> int:
    """Return the number of requests that a replica can serve at once.

    With this number no pause of a stream exceeds `gap`, even while a
    prompt of mean length is read between two events. It is at least 1 and
    at most the engine's slots.

    Args:
        engine: The operator's configuration of the engine.
        model: Model of the replica.
        gap: Longest allowed pause of a stream, in seconds; 0 for no limit.
        slowness: Factor by which the replica is slower than its timing.
    """
    timing = engine.timing
    found = engine.find(model)
    if timing is None or gap <= 0 or found is None:
        return engine.slots
    pace = found.pace * slowness
    base = estimate_pass_time(timing, pace, 0) + estimate_prompt_time(
        timing, pace
    )
    each = estimate_pass_time(timing, pace, 1) - estimate_pass_time(
        timing, pace, 0
    )
    if each <= 0:
        return engine.slots if base <= gap else 1
    return min(engine.slots, max(1, int((gap - base) / each)))

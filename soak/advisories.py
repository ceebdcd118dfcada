"""Checks that gateways heed what servers ask in their answers.

They are checked for gateways that were neither paused nor cut off, and
for servers that ran and could be reached. A gateway that starts again is
another process, which knows nothing until it is told.
"""

import bisect
from collections import abc
import itertools
import typing

import msgspec

from soak import promises

__all__ = ["check_all"]

# Seconds after an answer from which it must be heeded, and a tolerance for
# a busy machine.
_REACTION_TIME = 0.5 + 0.25
# Seconds after a limit was first named from which it holds.
_SETTLE_TIME = 3.0
# What a limit allows in a window of some seconds: a multiple of it, and
# more requests beyond that.
_WINDOW = 4.0
_FACTOR = 1.5
_SLACK = 5
# Requests of a gateway that may reach a server in its pause.
_MAX_IN_PAUSE = 2
# Seconds after an answer by which a leaving server gets no new requests.
_LEAVING_TIME = 2.0
# Seconds after a disturbance in which a gateway or server is excused, and
# the events that begin and end one.
_CALM_TIME = 3.0
_BEGINNINGS = ("paused", "cut_gateway", "cut_upstream", "cut_entry")
_ENDS = ("resumed", "mended")
_LIMIT_HEADER = "Server-Limit"
_LEAVING_HEADER = "Server-Leaving"


class _Arrival(msgspec.Struct, frozen=True):
    """A request at a server.

    Attributes:
        at: When it arrived.
        attempt: The request as its caller saw it.
        pause: Seconds of rest that the refusal asked for; 0 if it was not
            refused for that.
    """

    at: float
    attempt: promises.Attempt
    pause: float


class _Span(msgspec.Struct, frozen=True):
    """Time in which a server adds the same headers to its answers."""

    start: float
    end: float
    headers: dict[str, str]


def check_all(observed: promises.Observed) -> list[str]:
    """Return a line for each violation."""
    attempts = {attempt.id: attempt for attempt in observed.attempts}
    found = []
    for name, lines in observed.records.items():
        arrivals = [
            _Arrival(line["at"], attempts[line["attempt"]], line["pause"])
            for line in lines
            if line["what"] == "arrival" and line["attempt"] in attempts
        ]
        spans = _list_spans(lines, observed.end)
        calm = [
            arrival
            for arrival in arrivals
            if _is_calm(observed, name, arrival)
        ]
        found += _check_limits(name, spans, arrivals, calm)
        found += _check_pauses(name, arrivals, calm)
        found += _check_leaving(name, lines, spans, arrivals, calm)
    return found


def _list_spans(
    lines: abc.Iterable[dict[str, typing.Any]], end: float
) -> list[_Span]:
    """Return what a server said and when; a new process says nothing."""
    changes = [
        (line["at"], line.get("headers", {}))
        for line in lines
        if line["what"] in ("start", "headers")
    ]
    ends = [*(at for at, _ in changes[1:]), end]
    return [
        _Span(at, until, headers)
        for (at, headers), until in zip(changes, ends, strict=True)
    ]


def _is_calm(
    observed: promises.Observed, server: str, arrival: _Arrival
) -> bool:
    """Return whether nothing disturbed a request's gateway or server.

    A request that waits on the way to a server that stands still, or is
    cut off, arrives late.
    """
    names = (arrival.attempt.gateway, server)
    disturbed: set[str] = set()
    for at, what, name in observed.history:
        if name not in names or what not in (*_BEGINNINGS, *_ENDS):
            continue
        if arrival.at - _CALM_TIME <= at <= arrival.at:
            return False
        if at <= arrival.at and what in _BEGINNINGS:
            disturbed.add(name)
        elif at <= arrival.at:
            disturbed.discard(name)
    return not disturbed


def _list_told(
    server: str, span: _Span, arrivals: abc.Iterable[_Arrival]
) -> dict[str, float]:
    """Return when each gateway process first passed an answer on.

    Only the answers that the server gave in a span are considered.
    """
    told: dict[str, float] = {}
    for arrival in arrivals:
        attempt = arrival.attempt
        is_within = span.start <= arrival.at and attempt.ended <= span.end
        if is_within and attempt.seal == f"seal.{server}":
            at = min(attempt.ended, told.get(attempt.process, attempt.ended))
            told[attempt.process] = at
    return told


def _check_limits(
    name: str,
    spans: abc.Iterable[_Span],
    arrivals: abc.Collection[_Arrival],
    calm: abc.Collection[_Arrival],
) -> abc.Iterator[str]:
    """Yield windows in which a server got more than its limit allows."""
    for span in spans:
        if _LIMIT_HEADER not in span.headers:
            continue
        limit = float(span.headers[_LIMIT_HEADER])
        allowed = _FACTOR * limit * _WINDOW + _SLACK
        told = _list_told(name, span, arrivals)
        counted = sorted(
            arrival.at
            for arrival in calm
            if span.start + _SETTLE_TIME <= arrival.at <= span.end
            and arrival.attempt.process in told
            and arrival.at >= told[arrival.attempt.process] + _REACTION_TIME
        )
        for number, at in enumerate(counted):
            count = bisect.bisect(counted, at + _WINDOW) - number
            if count > allowed:
                yield f"limit: {name} got {count} requests from {at:.2f} s on"
                break


def _check_pauses(
    name: str,
    arrivals: abc.Collection[_Arrival],
    calm: abc.Collection[_Arrival],
) -> abc.Iterator[str]:
    """Yield gateways that send a server requests in its pause."""
    for refused in arrivals:
        if not refused.pause:
            continue
        count = sum(
            refused.at + _REACTION_TIME
            < arrival.at
            < refused.at + refused.pause
            and arrival.attempt.process == refused.attempt.process
            for arrival in calm
        )
        if count > _MAX_IN_PAUSE:
            yield (
                f"pause: {name} got {count} requests from "
                f"{refused.attempt.process} after {refused.at:.2f} s"
            )


def _check_leaving(
    name: str,
    lines: abc.Iterable[dict[str, typing.Any]],
    spans: abc.Sequence[_Span],
    arrivals: abc.Collection[_Arrival],
    calm: abc.Collection[_Arrival],
) -> abc.Iterator[str]:
    """Yield requests to a server after it said that it is leaving."""
    starts = [line["at"] for line in lines if line["what"] == "start"]
    lives = itertools.pairwise([*starts, float("inf")])
    for born, end in lives:
        for span in spans:
            if _LEAVING_HEADER not in span.headers or not (
                born <= span.start < end
            ):
                continue
            told = _list_told(name, span, arrivals)
            for arrival in calm:
                at = told.get(arrival.attempt.process)
                if at is None or not at <= arrival.at < end:
                    continue
                if arrival.attempt.began > at + _LEAVING_TIME:
                    yield f"leaving: {arrival.attempt.id} reached {name}"

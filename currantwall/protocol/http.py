"""HTTP responses to callers: headers, status codes, error bodies.

Every refusal has a status code, a reason and, where a later attempt may
succeed, ``Retry-After``. Whether the request ran shows in the status
code, in the ``Currantwall-Outcome`` header and in the body.
"""

from collections import abc
import http
import math

import msgspec

from currantwall.coordination.requests import homes
from currantwall.coordination.requests import routing

__all__ = [
    "ATTEMPTS_HEADER",
    "FORWARDED_HEADER",
    "KEY_HEADER",
    "OUTCOME_HEADER",
    "REPLAYED_HEADER",
    "Response",
    "fail",
    "from_answer",
    "from_decision",
    "from_refusal",
    "make_event",
    "make_json",
]

OUTCOME_HEADER = "Currantwall-Outcome"
ATTEMPTS_HEADER = "Currantwall-Attempts"
REPLAYED_HEADER = "Currantwall-Replayed"
FORWARDED_HEADER = "Currantwall-Forwarded"
KEY_HEADER = "Idempotency-Key"

Headers = tuple[tuple[str, str], ...]


class Response(msgspec.Struct):
    """A response to a caller; an iterator as body is a stream."""

    status: int
    headers: Headers
    body: bytes | abc.Iterator[bytes] = b""


class ErrorBody(msgspec.Struct, omit_defaults=True):
    """The JSON of an error, in the format that OpenAI clients expect."""

    type: str
    message: str
    outcome: str = ""
    retry_after: float = 0.0


class _Wrapped(msgspec.Struct):
    error: ErrorBody


def make_json(
    value: object, status: int = 200, extra: Headers = ()
) -> Response:
    """Return a response with a JSON body."""
    body = msgspec.json.encode(value)
    headers = (("Content-Type", "application/json"), *extra)
    return Response(status, headers, body)


def fail(
    status: int,
    reason: str,
    message: str,
    outcome: homes.Outcome = homes.Outcome.NOT_RUN,
    retry_after: float = 0.0,
) -> Response:
    """Return an error response.

    Args:
        status: Status code.
        reason: Error code in the body.
        message: Explanation for the caller.
        outcome: Whether the request ran.
        retry_after: Seconds until a later attempt may succeed; 0 for no
            ``Retry-After``.
    """
    extra: Headers = ((OUTCOME_HEADER, outcome.value),)
    if retry_after > 0:
        seconds = str(math.ceil(retry_after))
        extra = (*extra, ("Retry-After", seconds))
    body = ErrorBody(reason, message, outcome.value, retry_after)
    return make_json(_Wrapped(body), status, extra)


def make_event(reason: str, message: str) -> bytes:
    """Return the error event that ends a stream cut short."""
    body = _Wrapped(ErrorBody(reason, message))
    return b"event: error\ndata: " + msgspec.json.encode(body) + b"\n\n"


_REFUSAL_STATUSES = {
    routing.RefusalReason.UNKNOWN_TARGET: http.HTTPStatus.NOT_FOUND,
    routing.RefusalReason.RATE: http.HTTPStatus.TOO_MANY_REQUESTS,
}


def from_refusal(
    refusal: routing.Refusal, may_have_run: bool = False
) -> Response:
    """Return the response to a refused request.

    Args:
        refusal: Why the request is refused.
        may_have_run: Whether an earlier attempt may have run.
    """
    outcomes = homes.Outcome
    unavailable = http.HTTPStatus.SERVICE_UNAVAILABLE
    status = _REFUSAL_STATUSES.get(refusal.reason, unavailable)
    return fail(
        status,
        refusal.reason.value,
        refusal.detail,
        outcomes.UNKNOWN if may_have_run else outcomes.NOT_RUN,
        refusal.retry_after,
    )


def from_answer(
    answer: homes.StoredAnswer, attempts: int, replayed: bool = False
) -> Response:
    """Return the response for an upstream's complete answer.

    Args:
        answer: The answer.
        attempts: Attempts that the request took.
        replayed: Whether the answer is a stored one of an earlier call.
    """
    extra: Headers = (
        (OUTCOME_HEADER, homes.Outcome.DONE.value),
        (ATTEMPTS_HEADER, str(attempts)),
    )
    if replayed:
        extra = (*extra, (REPLAYED_HEADER, "true"))
    return Response(answer.status, (*answer.headers, *extra), answer.body)


def from_decision(decision: homes.Decision) -> Response:
    """Return the response to a call with a key that is not dispatched."""
    kinds = homes.DecisionKind
    if decision.kind is kinds.REPLAY and decision.answer is not None:
        return from_answer(decision.answer, 1, replayed=True)
    if decision.kind is kinds.REPLAY:
        return fail(
            http.HTTPStatus.GONE,
            "answer_not_kept",
            "the call ran; its answer was too large to be kept",
            homes.Outcome.DONE,
        )
    responses = {
        kinds.IN_PROGRESS: (http.HTTPStatus.CONFLICT, "in_progress"),
        kinds.MISMATCH: (http.HTTPStatus.UNPROCESSABLE_ENTITY, "key_reused"),
        kinds.NOT_RUN: (http.HTTPStatus.SERVICE_UNAVAILABLE, "not_bound"),
    }
    unknown = (http.HTTPStatus.BAD_GATEWAY, "outcome_unknown")
    status, reason = responses.get(decision.kind, unknown)
    refused = decision.kind in (kinds.NOT_RUN, kinds.MISMATCH)
    outcome = homes.Outcome.NOT_RUN if refused else homes.Outcome.UNKNOWN
    return fail(status, reason, decision.reason, outcome, decision.retry_after)

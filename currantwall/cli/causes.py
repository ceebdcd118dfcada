"""``currantwall causes``: how all requests in a set of logs ended.

It counts how many requests were late, refused or failed, and for which
reasons, so that an operator knows which ones to ``explain``.
"""

import collections
from collections import abc

import msgspec

from currantwall.cli import explanations
from currantwall.cli import output

__all__ = ["Share", "count_causes"]

_LATE = "late"
# Details of a late answer whose request was neither sent again nor queued,
# by the field `late` of its last log line.
_LATENESS_DETAILS = {"first": "slow first event", "pause": "long pause"}


class Share(msgspec.Struct, frozen=True):
    """The requests that ended with the same cause and detail.

    Attributes:
        cause: How they ended; `late` if they were served too late.
        detail: Why, in a few words; empty if the cause says it all.
        requests: Their number.
        share: Their fraction of all requests.
    """

    cause: str
    detail: str
    requests: int
    share: float


def count_causes(lines: abc.Sequence[explanations.Line]) -> list[Share]:
    """Return how requests ended, most frequent cause and detail first."""
    by_request: dict[str, list[explanations.Line]] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            by_request.setdefault(request, []).append(line)
    losses = [line for line in lines if line.event == "instance_lost"]
    counts = collections.Counter(
        _classify(request_lines, losses)
        for request_lines in by_request.values()
    )
    total = max(len(by_request), 1)
    return [
        Share(cause, detail, count, count / total)
        for (cause, detail), count in counts.most_common()
    ]


def _classify(
    request_lines: abc.Sequence[explanations.Line],
    losses: abc.Sequence[explanations.Line],
) -> tuple[str, str]:
    """Return the cause and detail of one request."""
    cause, _ = explanations.find_cause(request_lines, losses)
    end = request_lines[-1].fields
    if cause is explanations.Cause.SERVED:
        if not end.get("late"):
            return cause.value, ""
        return _LATE, _explain_lateness(request_lines)
    if cause is explanations.Cause.REFUSED:
        return cause.value, str(end.get("why", ""))
    return cause.value, ""


def _explain_lateness(
    request_lines: abc.Sequence[explanations.Line],
) -> str:
    """Return why a request was served too late."""
    failures = [
        line for line in request_lines if line.event == "attempt_failed"
    ]
    if failures:
        return f"sent again: {failures[0].fields['failure']}"
    if any(line.event == "placed" for line in request_lines):
        return "waited for a place"
    return _LATENESS_DETAILS.get(request_lines[-1].fields["late"], "slow")


def show_causes(
    logs: explanations.Logs,
    json: explanations.Json = False,
) -> None:
    """Count requests by how they ended and why.

    Example: currantwall causes logs/*.log
    """
    lines = explanations.read_lines(explanations.read_files(logs))
    shares = count_causes(lines)
    if json:
        output.print_json(shares)
        return
    rows = [
        (share.cause, share.detail, share.requests, f"{share.share:.4f}")
        for share in shares
    ]
    output.print_table(("CAUSE", "DETAIL", "REQUESTS", "SHARE"), rows)

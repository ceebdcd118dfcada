"""``currantwall causes``: how all requests of some logs ended.

What an operator asks before going after a single request: how many were
late, refused or failed, and for which reasons.
"""

import collections
from collections import abc

import msgspec

from currantwall.cli import explanations
from currantwall.cli import output

__all__ = ["Share", "count_causes"]

_LATE = "late"
# Words for what made an answer late where nothing else is known.
_LATENESS = {"first": "slow first event", "pause": "long pause"}


class Share(msgspec.Struct, frozen=True):
    """Requests that ended alike.

    Attributes:
        cause: How they ended; `late` where they were served too late.
        detail: Why, in a few words.
        share: Part of all requests.
    """

    cause: str
    detail: str
    requests: int
    share: float


def count_causes(lines: abc.Sequence[explanations.Line]) -> list[Share]:
    """Return how requests ended, the most frequent cause first."""
    by_request: dict[str, list[explanations.Line]] = {}
    for line in lines:
        request = line.fields.get("request")
        if request:
            by_request.setdefault(request, []).append(line)
    lost = [line for line in lines if line.event == "instance_lost"]
    counts = collections.Counter(
        _classify(own, lost) for own in by_request.values()
    )
    total = max(len(by_request), 1)
    return [
        Share(cause, detail, count, count / total)
        for (cause, detail), count in counts.most_common()
    ]


def _classify(
    own: abc.Sequence[explanations.Line],
    lost: abc.Sequence[explanations.Line],
) -> tuple[str, str]:
    """Return the cause and detail of one request."""
    cause, _ = explanations.find_cause(own, lost)
    end = own[-1].fields
    if cause is explanations.Cause.SERVED:
        if not end.get("late"):
            return cause.value, ""
        return _LATE, _explain_lateness(own)
    if cause is explanations.Cause.REFUSED:
        return cause.value, str(end.get("why", ""))
    return cause.value, ""


def _explain_lateness(own: abc.Sequence[explanations.Line]) -> str:
    """Return why a request was served too late."""
    failures = [line for line in own if line.event == "attempt_failed"]
    if failures:
        return f"sent again: {failures[0].fields['failure']}"
    if any(line.event == "placed" for line in own):
        return "waited for a place"
    return _LATENESS.get(own[-1].fields["late"], "slow")


def show_causes(
    logs: explanations.Logs,
    json: explanations.Json = False,
) -> None:
    """Tell how all requests ended, by cause.

    Example: currantwall causes logs/*.log
    """
    lines = explanations.read_lines(explanations.read_files(logs))
    found = count_causes(lines)
    if json:
        output.print_json(found)
        return
    rows = [
        (one.cause, one.detail, one.requests, f"{one.share:.4f}")
        for one in found
    ]
    output.print_table(("CAUSE", "DETAIL", "REQUESTS", "SHARE"), rows)

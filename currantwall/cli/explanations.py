"""``currantwall explain``: why a request ended as it did, from the logs.

It reads the log lines of any number of gateways and calls no running
process, so it also works after the fact.
"""

from collections import abc
import datetime
import enum
import pathlib
import sys
import typing

import msgspec
import typer

from currantwall.cli import output

__all__ = [
    "Cause",
    "Explanation",
    "Json",
    "Line",
    "Logs",
    "explain",
    "find_cause",
    "read_files",
    "read_lines",
]

# Log events with which a request ends.
_END_EVENTS = ("refused", "answered", "ended_early")
# Seconds before a request's first line and after its last line in which
# other lines may explain its end; a loss of an instance explains a failed
# attempt up to the first of these before or after it.
_CONTEXT_BEFORE = 6.0
_CONTEXT_AFTER = 1.0
# Log events of the request's node that may explain its end.
_CONTEXT_EVENTS = (
    "duty_taken",
    "duty_lost",
    "store_lost",
    "store_regained",
    "path_lost",
    "path_found",
    "configuration_applied",
    "started",
    "stopping",
)
_NOT_FOUND_EXIT_CODE = 1

# Argument and option of the commands that read logs.
Logs = typing.Annotated[
    list[pathlib.Path],
    typer.Argument(help="Logs of the gateways; - for standard input."),
]
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]


class Cause(enum.Enum):
    """Why a request ended as it did."""

    SERVED = "served"
    NOT_ALLOWED = "not_allowed"
    REFUSED = "refused"
    MEMBER_LOST = "member_lost"
    ANSWER_LOST = "answer_lost"
    UPSTREAM_FAILED = "upstream_failed"
    TIMED_OUT = "timed_out"
    CALLER_LEFT = "caller_left"
    UNFINISHED = "unfinished"


class Line(msgspec.Struct, frozen=True):
    """One line of a log.

    Attributes:
        at: Seconds since the Unix epoch.
        fields: All fields of the line, event, node and timestamp included.
    """

    at: float
    event: str
    node: str
    fields: dict[str, typing.Any]


class Explanation(msgspec.Struct, frozen=True):
    """Why one request ended as it did, with the log lines that show it.

    Attributes:
        summary: One sentence for the operator.
        lines: The request's own lines, oldest first.
        around: Other lines of that time that may explain its end.
    """

    request: str
    cause: Cause
    summary: str
    lines: list[Line]
    around: list[Line]


class _Raw(msgspec.Struct):
    event: str
    node: str
    timestamp: datetime.datetime


def read_lines(texts: abc.Iterable[str]) -> list[Line]:
    """Return the lines that can be decoded, sorted by time.

    Text before the first brace is ignored: log collectors put a time and
    a name there.
    """
    lines = []
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:], type=dict)
            raw = msgspec.convert(fields, _Raw)
        except msgspec.MsgspecError:
            # Not a line of a gateway's log.
            continue
        at = raw.timestamp.timestamp()
        lines.append(Line(at, raw.event, raw.node, fields))
    return sorted(lines, key=lambda line: line.at)


def explain(lines: abc.Sequence[Line], request: str) -> Explanation | None:
    """Return why a request ended as it did; None if no line names it."""
    request_lines = [
        line for line in lines if line.fields.get("request") == request
    ]
    if not request_lines:
        return None
    cause, summary = find_cause(request_lines, lines)
    first = request_lines[0].at - _CONTEXT_BEFORE
    last = request_lines[-1].at + _CONTEXT_AFTER
    replicas = {line.fields.get("replica") for line in request_lines} - {None}
    context = [
        line
        for line in lines
        if first <= line.at <= last
        and _is_related(line, request_lines, replicas)
    ]
    return Explanation(request, cause, summary, request_lines, context)


def _is_related(
    line: Line, request_lines: abc.Sequence[Line], replicas: set[typing.Any]
) -> bool:
    """Return whether a line of that time may explain a request's end.

    Args:
        line: The line.
        request_lines: The request's lines.
        replicas: Ids of the replicas that these lines name.
    """
    if line.event == "order":
        return line.fields.get("replica") in replicas
    if line.event == "instance_lost":
        seat = str(line.fields.get("seat", ""))
        return seat.partition("@")[0] in replicas
    return line.event in _CONTEXT_EVENTS and line.node == request_lines[0].node


def find_cause(
    request_lines: abc.Sequence[Line], lines: abc.Sequence[Line]
) -> tuple[Cause, str]:
    """Return why a request ended as it did, and a sentence about it.

    Args:
        request_lines: The request's lines, oldest first.
        lines: All lines, or at least those about lost instances.
    """
    ends = [line for line in request_lines if line.event in _END_EVENTS]
    failures = [
        line for line in request_lines if line.event == "attempt_failed"
    ]
    if not ends:
        return Cause.UNFINISHED, "no line tells its end: the node was lost"
    end = ends[-1].fields
    if end["event"] == "answered" and end["status"] < 500:
        effort = f"{end['sends']} sends, {end['spent']} s"
        return Cause.SERVED, f"{end['status']} by {end['upstream']}, {effort}"
    if end.get("left"):
        return Cause.CALLER_LEFT, "its caller closed the connection"
    if end["event"] == "refused" and end["status"] in (401, 404):
        why = f"{end['why']} in version {end['version']}"
        return Cause.NOT_ALLOWED, f"{end['status']}: {why}"
    if failures:
        explained = _explain_failure(failures[-1], end, lines)
        if explained is not None:
            return explained
    if end["event"] == "answered":
        why = f"{end['upstream']} answered {end['status']} itself"
        return Cause.UPSTREAM_FAILED, why
    if end["event"] == "ended_early":
        return Cause.TIMED_OUT, f"broken off: {end.get('why')}"
    if end.get("status") == 504:
        return Cause.TIMED_OUT, f"504: {end['why']}"
    advice = f"come back after {end.get('retry_after')} s"
    return Cause.REFUSED, f"not run: {end.get('why')}; {advice}"


def _explain_failure(
    failure: Line, end: dict[str, typing.Any], lines: abc.Sequence[Line]
) -> tuple[Cause, str] | None:
    """Return cause and sentence if the last failed attempt explains the end.

    Args:
        failure: The request's last line about a failed attempt.
        end: Fields of the line with which the request ended.
        lines: All lines, or at least those about lost instances.
    """
    fields = failure.fields
    where = f"{fields['upstream']} after {fields['after']} s"
    if "member lost" in fields["why"]:
        instances = [
            line.fields["instance"]
            for line in lines
            if line.event == "instance_lost"
            and abs(line.at - failure.at) <= _CONTEXT_BEFORE
            and str(line.fields.get("seat", "")).startswith(
                f"{fields['replica']}@"
            )
        ]
        names = ", ".join(instances) or "a member"
        why = f"replica {fields['replica']} lost {names}"
        return Cause.MEMBER_LOST, f"{why}; its leader {where}"
    if fields["failure"] in ("lost", "stalled") and end.get("status") != 503:
        why = f"the answer of {where} was {fields['failure']}"
        return Cause.ANSWER_LOST, f"{why} ({fields['why']}); it may have run"
    return None


def _format_line(line: Line) -> str:
    hidden = ("event", "node", "timestamp", "request")
    details = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden
    )
    return f"{line.fields['timestamp']}  {line.node}  {line.event}  {details}"


def show_explanation(
    request: typing.Annotated[str, typer.Argument(help="Id of the request.")],
    logs: Logs,
    json: Json = False,
) -> None:
    """Explain from the logs why a request ended as it did.

    The exit code is 1 if no line names it.

    Example: currantwall explain 9c41d07be2a35f68 logs/*.log
    """
    explanation = explain(read_lines(read_files(logs)), request)
    if explanation is None:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_NOT_FOUND_EXIT_CODE)
    if json:
        output.print_json(explanation)
        return
    typer.echo(
        f"{explanation.request}: {explanation.cause.value}:"
        f" {explanation.summary}"
    )
    for title, lines in (
        ("its own", explanation.lines),
        ("around", explanation.around),
    ):
        typer.echo(f"\n{title}:")
        for line in lines:
            typer.echo(_format_line(line))


def show_history(
    logs: Logs,
    event: typing.Annotated[
        list[str] | None, typer.Option(help="Only these events.")
    ] = None,
    json: Json = False,
) -> None:
    """Show the log lines of several gateways, sorted by time.

    Example: currantwall history --event duty_taken logs/*.log
    """
    lines = [
        line
        for line in read_lines(read_files(logs))
        if not event or line.event in event
    ]
    if json:
        output.print_json(lines)
        return
    for line in lines:
        typer.echo(_format_line(line))


def read_files(paths: abc.Iterable[pathlib.Path]) -> abc.Iterator[str]:
    """Yield the lines of files; `-` is standard input.

    Prints an error and exits with code 2 if a file cannot be read.
    """
    for path in paths:
        if str(path) == "-":
            yield from sys.stdin
            continue
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from file
        except OSError as error:
            typer.echo(f"{path}: {error.strerror}", err=True)
            raise typer.Exit(2) from None

"""``currantwall explain``: from a request's id to its cause, by the logs.

It reads the lines that gateways wrote, of any number of processes, and
needs nothing that runs: an operator asks after the fact.
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

_ENDS = ("refused", "answered", "ended_early")
# Seconds before and after a request in which other lines may tell why.
_BEFORE = 6.0
_AFTER = 1.0
_AROUND = (
    "duty_taken",
    "duty_lost",
    "store_lost",
    "store_regained",
    "configuration_applied",
    "started",
    "stopping",
)
_NOT_FOUND = 1

# Arguments of the commands that read logs.
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
        fields: All that the line says.
    """

    at: float
    event: str
    node: str
    fields: dict[str, typing.Any]


class Explanation(msgspec.Struct, frozen=True):
    """What the logs say of one request.

    Attributes:
        summary: One sentence for the person who asks.
        lines: The request's own lines, oldest first.
        around: Lines of other things that bear on it.
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
    """Return the lines that can be read, by their time.

    What stands before the first brace is passed over: collectors put a
    time and a name there.
    """
    found = []
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
        found.append(Line(at, raw.event, raw.node, fields))
    return sorted(found, key=lambda line: line.at)


def explain(lines: abc.Sequence[Line], request: str) -> Explanation | None:
    """Return why a request ended as it did; None if no line names it."""
    own = [line for line in lines if line.fields.get("request") == request]
    if not own:
        return None
    cause, summary = find_cause(own, lines)
    first = own[0].at - _BEFORE
    last = own[-1].at + _AFTER
    replicas = {line.fields.get("replica") for line in own} - {None}
    around = [
        line
        for line in lines
        if first <= line.at <= last and _bears_on(line, own, replicas)
    ]
    return Explanation(request, cause, summary, own, around)


def _bears_on(
    line: Line, own: abc.Sequence[Line], replicas: set[typing.Any]
) -> bool:
    """Return whether a line may tell why a request failed."""
    if line.event == "order":
        return line.fields.get("replica") in replicas
    if line.event == "instance_lost":
        seat = str(line.fields.get("seat", ""))
        return seat.partition("@")[0] in replicas
    return line.event in _AROUND and line.node == own[0].node


def find_cause(
    own: abc.Sequence[Line], lines: abc.Sequence[Line]
) -> tuple[Cause, str]:
    """Return why a request ended as it did, and a sentence about it.

    Args:
        own: Its lines, oldest first.
        lines: All lines, or those that tell of lost instances.
    """
    ends = [line for line in own if line.event in _ENDS]
    failures = [line for line in own if line.event == "attempt_failed"]
    if not ends:
        return Cause.UNFINISHED, "no line tells its end: the node was lost"
    end = ends[-1].fields
    if end["event"] == "answered" and end["status"] < 500:
        tries = f"{end['sends']} sends, {end['spent']} s"
        return Cause.SERVED, f"{end['status']} by {end['upstream']}, {tries}"
    if end.get("left"):
        return Cause.CALLER_LEFT, "its caller closed the connection"
    if end["event"] == "refused" and end["status"] in (401, 404):
        why = f"{end['why']} in version {end['version']}"
        return Cause.NOT_ALLOWED, f"{end['status']}: {why}"
    if failures:
        found = _explain_failure(failures[-1], end, lines)
        if found is not None:
            return found
    if end["event"] == "answered":
        why = f"{end['upstream']} answered {end['status']} itself"
        return Cause.UPSTREAM_FAILED, why
    if end.get("status") == 504:
        return Cause.TIMED_OUT, f"504: {end['why']}"
    again = f"come back after {end.get('retry_after')} s"
    return Cause.REFUSED, f"not run: {end.get('why')}; {again}"


def _explain_failure(
    failure: Line, end: dict[str, typing.Any], lines: abc.Sequence[Line]
) -> tuple[Cause, str] | None:
    """Return the cause that the last failed attempt tells, if any."""
    fields = failure.fields
    where = f"{fields['upstream']} after {fields['after']} s"
    if "member lost" in fields["why"]:
        lost = [
            line.fields["instance"]
            for line in lines
            if line.event == "instance_lost"
            and abs(line.at - failure.at) <= _BEFORE
            and str(line.fields.get("seat", "")).startswith(
                f"{fields['replica']}@"
            )
        ]
        names = ", ".join(lost) or "a member"
        why = f"replica {fields['replica']} lost {names}"
        return Cause.MEMBER_LOST, f"{why}; its leader {where}"
    if fields["failure"] in ("lost", "stalled") and end.get("status") != 503:
        why = f"the answer of {where} was {fields['failure']}"
        return Cause.ANSWER_LOST, f"{why} ({fields['why']}); it may have run"
    return None


def _format(line: Line) -> str:
    hidden = ("event", "node", "timestamp", "request")
    said = " ".join(
        f"{name}={value}"
        for name, value in line.fields.items()
        if name not in hidden
    )
    return f"{line.fields['timestamp']}  {line.node}  {line.event}  {said}"


def show_explanation(
    request: typing.Annotated[str, typer.Argument(help="Its id.")],
    logs: Logs,
    json: Json = False,
) -> None:
    """Tell from the logs why a request ended as it did.

    Exit code 1 if no line names it.

    Example: currantwall explain 9c41d07be2a35f68 logs/*.log
    """
    found = explain(read_lines(read_files(logs)), request)
    if found is None:
        typer.echo(f"no line names request {request}", err=True)
        raise typer.Exit(_NOT_FOUND)
    if json:
        output.print_json(found)
        return
    typer.echo(f"{found.request}: {found.cause.value}: {found.summary}")
    for title, lines in (("its own", found.lines), ("around", found.around)):
        typer.echo(f"\n{title}:")
        for line in lines:
            typer.echo(_format(line))


def show_history(
    logs: Logs,
    event: typing.Annotated[
        list[str] | None, typer.Option(help="Only these events.")
    ] = None,
    json: Json = False,
) -> None:
    """Show the lines of several gateways in the order of their time.

    Example: currantwall history --event duty_taken logs/*.log
    """
    found = [
        line
        for line in read_lines(read_files(logs))
        if not event or line.event in event
    ]
    if json:
        output.print_json(found)
        return
    for line in found:
        typer.echo(_format(line))


def read_files(paths: abc.Iterable[pathlib.Path]) -> abc.Iterator[str]:
    """Yield the lines of some files; `-` stands for standard input."""
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

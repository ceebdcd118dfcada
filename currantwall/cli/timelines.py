"""``currantwall timeline``: events of all entry processes, merged."""

import datetime
import pathlib
import time
import typing

import jinja2
import msgspec
import result
import typer

from currantwall.cli import client
from currantwall.cli import output
from currantwall.protocol import operators
from currantwall.state import timeline

__all__ = ["show_timeline"]

_MICROSECONDS_PER_SECOND = 1_000_000
# Seconds between two polls with `--follow`.
_FOLLOW_INTERVAL = 1.0
_TEMPLATE = "timeline.html"


class Merged(msgspec.Struct):
    """Events of all entry processes.

    Attributes:
        events: The events, sorted by time stamp.
        unreachable: Nodes that did not answer.
    """

    events: list[timeline.Event]
    unreachable: list[str]


def collect_events(caller: client.Client, since: int = 0) -> Merged:
    """Return the events of all entry processes after a time.

    Args:
        caller: A client for any entry process.
        since: Microseconds since the Unix epoch.
    """
    path = "/v1/admin/status"
    status = output.unwrap(caller.get(path, operators.Status))
    events: list[timeline.Event] = []
    unreachable = []
    for member in status.members:
        path = f"/v1/admin/timeline?since={since}"
        answer = caller.with_entry(member.address).get(
            path, operators.Timeline
        )
        if isinstance(answer, result.Err):
            unreachable.append(member.id)
        else:
            events += answer.ok_value.events
    events.sort(key=lambda event: (event.stamp, event.node))
    return Merged(events, unreachable)


def _format_time(event: timeline.Event) -> str:
    at = datetime.datetime.fromtimestamp(
        event.stamp.wall / _MICROSECONDS_PER_SECOND, datetime.UTC
    )
    return at.strftime("%H:%M:%S.%f")[:-3]


def _select_events(
    merged: Merged, kind: str, replica: str
) -> list[timeline.Event]:
    return [
        event
        for event in merged.events
        if kind in ("", event.kind.value) and replica in ("", event.subject)
    ]


def _print_events(events: list[timeline.Event]) -> None:
    for event in events:
        line = (
            f"{_format_time(event)}  {event.node:<12}"
            f"  {event.kind.value:<18}  {event.subject}  {event.detail}"
        )
        typer.echo(line.rstrip())


def _write_page(path: pathlib.Path, events: list[timeline.Event]) -> None:
    """Write an HTML page: a table with one column for each process."""
    loader = jinja2.PackageLoader("currantwall.cli", "")
    environment = jinja2.Environment(loader=loader, autoescape=True)
    environment.filters["time"] = _format_time
    nodes = sorted({event.node for event in events})
    page = environment.get_template(_TEMPLATE).render(
        nodes=nodes, events=events
    )
    path.write_text(page, encoding="utf-8")


def show_timeline(
    context: typer.Context,
    since: typing.Annotated[
        float, typer.Option(help="Only events of the last so many seconds.")
    ] = 0.0,
    kind: typing.Annotated[
        str, typer.Option(help="Only events of this kind.")
    ] = "",
    replica: typing.Annotated[
        str, typer.Option(help="Only events about this replica.")
    ] = "",
    html: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Also write an HTML page to this file."),
    ] = None,
    follow: typing.Annotated[
        bool, typer.Option(help="Keep printing new events.")
    ] = False,
    json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Show the events of all entry processes, sorted by time.

    Example: currantwall timeline --since 60 --kind replica_suspended
    """
    caller: client.Client = context.obj
    start = (
        int((time.time() - since) * _MICROSECONDS_PER_SECOND) if since else 0
    )
    while True:
        merged = collect_events(caller, start)
        events = _select_events(merged, kind, replica)
        if json:
            output.print_json(Merged(events, merged.unreachable))
        else:
            _print_events(events)
        for node in merged.unreachable:
            typer.echo(f"{node}: did not answer", err=True)
        if html is not None:
            _write_page(html, events)
        if not follow:
            return
        if merged.events:
            start = merged.events[-1].stamp.wall
        time.sleep(_FOLLOW_INTERVAL)

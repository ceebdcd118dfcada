"""``currantwall stop``: plan, show and cancel planned stops."""

import time
import typing
import uuid

import typer

from currantwall.cli import client
from currantwall.cli import output
from currantwall.protocol import operators
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import stops

__all__ = ["app"]

app = typer.Typer(help="Planned stops: drain first, cut no request.")
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
_STOPS_PATH = "/v1/admin/stops"
# Seconds between two reads of a stop with `--wait`.
_POLL_INTERVAL = 1.0


def _fetch_stops(caller: client.Client) -> list[operators.StopView]:
    return output.unwrap(caller.get(_STOPS_PATH, list[operators.StopView]))


@app.command()
def plan(
    context: typer.Context,
    scope: typing.Annotated[
        stops.StopScope, typer.Argument(help="What the target is.")
    ],
    target: typing.Annotated[str, typer.Argument(help="Name of the target.")],
    reason: typing.Annotated[
        str, typer.Option(help="Shown to other operators.")
    ] = "",
    wait: typing.Annotated[
        bool, typer.Option("--wait", help="Wait until it is drained.")
    ] = False,
    json: Json = False,
) -> None:
    """Plan a stop: drain the target, with a replacement first if possible.

    The target may be switched off when `stop show` says "finished".

    Example: currantwall stop plan instance fabric-a-3 --reason "new fan"
    """
    caller: client.Client = context.obj
    if not profile.is_name(target):
        message = f"target: expected a name, got {target!r}"
        output.fail(client.Problem(client.ExitCode.USAGE, message))
    name = f"{scope.value}-{target}-{uuid.uuid4().hex[:6]}"
    stop = stops.Stop(
        id=name,
        scope=scope,
        target=target,
        reason=reason,
        planned=time.time(),
    )
    body = objects.encode(stop)
    answer = output.unwrap(
        caller.call(
            "PUT",
            f"{_STOPS_PATH}/{name}?expected=0",
            body,
            operators.EditAnswer,
        )
    )
    output.check_answer(answer)
    if json:
        output.print_json(stop)
    else:
        typer.echo(f"{name}: planned")
    if wait:
        _wait_until_finished(caller, name)


def _wait_until_finished(caller: client.Client, name: str) -> None:
    """Wait until a stop has finished; print what it is waiting for."""
    printed = ""
    while True:
        views = [view for view in _fetch_stops(caller) if view.stop.id == name]
        if not views or views[0].finished:
            typer.echo(f"{name}: finished")
            return
        if views[0].waiting != printed:
            printed = views[0].waiting
            typer.echo(printed)
        time.sleep(_POLL_INTERVAL)


@app.command()
def show(context: typer.Context, json: Json = False) -> None:
    """Show the planned stops and what each is waiting for.

    Example: currantwall stop show
    """
    caller: client.Client = context.obj
    views = _fetch_stops(caller)
    if json:
        output.print_json(views)
        return
    rows = [
        (
            view.stop.id,
            view.stop.scope.value,
            view.stop.target,
            "finished" if view.finished else view.waiting,
            view.stop.reason,
        )
        for view in views
    ]
    output.print_table(("STOP", "SCOPE", "TARGET", "STATE", "REASON"), rows)


@app.command()
def cancel(
    context: typer.Context,
    name: typing.Annotated[str, typer.Argument(help="Id of the stop.")],
    json: Json = False,
) -> None:
    """Cancel a stop: the target may be used again.

    Example: currantwall stop cancel instance-fabric-a-3-1f0c2a
    """
    caller: client.Client = context.obj
    views = [view for view in _fetch_stops(caller) if view.stop.id == name]
    if not views:
        message = f"there is no stop {name!r}"
        output.fail(client.Problem(client.ExitCode.FAILED, message))
    path = f"{_STOPS_PATH}/{name}?expected={views[0].version}"
    answer = output.unwrap(
        caller.call("DELETE", path, b"", operators.EditAnswer)
    )
    output.check_answer(answer)
    if json:
        output.print_json(answer)
    else:
        typer.echo(f"{name}: cancelled")

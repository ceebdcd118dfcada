"""``currantwall evacuation``: request, show and withdraw evacuations."""

import time
import typing

import typer

from currantwall.cli import client
from currantwall.cli import output
from currantwall.protocol import operators
from currantwall.state import evacuations
from currantwall.state import objects
from currantwall.state import profile

__all__ = ["app"]

app = typer.Typer(help="Evacuations: no more requests to a data centre.")
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
_PATH = "/v1/admin/evacuations"


def _fetch(caller: client.Client) -> dict[str, operators.EvacuationView]:
    """Return the requested evacuations by data centre."""
    views = output.unwrap(caller.get(_PATH, list[operators.EvacuationView]))
    return {view.evacuation.name: view for view in views}


@app.command()
def request(
    context: typer.Context,
    datacentre: typing.Annotated[str, typer.Argument(help="Its name.")],
    reason: typing.Annotated[
        str, typer.Option(help="Shown to other operators.")
    ] = "",
) -> None:
    """Send no more requests to a data centre until this is withdrawn.

    Requests in flight there are completed. A second request for the same
    data centre changes only the reason.

    Example: currantwall evacuation request regina --reason "cooling"
    """
    caller: client.Client = context.obj
    if not profile.is_name(datacentre):
        message = f"expected a name, got {datacentre!r}"
        output.fail(client.Problem(client.ExitCode.USAGE, message))
    held = _fetch(caller).get(datacentre)
    wanted = evacuations.Evacuation(
        name=datacentre, reason=reason, requested=time.time()
    )
    path = f"{_PATH}/{datacentre}?expected={held.version if held else 0}"
    body = objects.encode(wanted)
    output.check_answer(
        output.unwrap(caller.call("PUT", path, body, operators.EditAnswer))
    )
    typer.echo(f"{datacentre}: no more requests are sent there")


@app.command()
def show(context: typer.Context, json: Json = False) -> None:
    """Show the evacuations, and what is still in flight in each.

    Example: currantwall evacuation show
    """
    caller: client.Client = context.obj
    views = list(_fetch(caller).values())
    if json:
        output.print_json(views)
        return
    rows = [
        (
            view.evacuation.name,
            "finished" if view.finished else view.waiting,
            view.evacuation.reason,
        )
        for view in views
    ]
    output.print_table(("EVACUATED", "STATE", "REASON"), rows)


@app.command()
def withdraw(
    context: typer.Context,
    datacentre: typing.Annotated[str, typer.Argument(help="Its name.")],
) -> None:
    """Withdraw an evacuation: the data centre gets requests again.

    Example: currantwall evacuation withdraw regina
    """
    caller: client.Client = context.obj
    held = _fetch(caller).get(datacentre)
    if held is None:
        message = f"data centre {datacentre!r} is not evacuated"
        output.fail(client.Problem(client.ExitCode.FAILED, message))
    path = f"{_PATH}/{datacentre}?expected={held.version}"
    output.check_answer(
        output.unwrap(caller.call("DELETE", path, b"", operators.EditAnswer))
    )
    typer.echo(f"{datacentre}: gets requests again")

"""``currantwall``: the operators' tool.

Exit codes: 0 done, 1 refused or failed, 2 bad usage or file, 3 stored
but not yet in force everywhere, 4 the entry cannot be reached.
"""

import typing

import typer

from currantwall.cli import causes
from currantwall.cli import client
from currantwall.cli import evacuations
from currantwall.cli import explanations
from currantwall.cli import forecasts
from currantwall.cli import output
from currantwall.cli import profiles
from currantwall.cli import stops
from currantwall.cli import timelines
from currantwall.coordination.peers import entries as entries_module
from currantwall.protocol import operators

__all__ = ["app", "main"]

app = typer.Typer(
    help="Operate currantwall.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
app.add_typer(profiles.app, name="profile")
app.add_typer(stops.app, name="stop")
app.add_typer(evacuations.app, name="evacuation")
app.command("forecast")(forecasts.show_forecast)
app.command("timeline")(timelines.show_timeline)
app.command("explain")(explanations.show_explanation)
app.command("causes")(causes.show_causes)
app.command("history")(explanations.show_history)
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]


@app.callback()
def prepare(
    context: typer.Context,
    entry: typing.Annotated[
        str,
        typer.Option(
            envvar="CURRANTWALL_ENTRY", help="HOST:PORT of any entry."
        ),
    ] = "127.0.0.1:8080",
    key: typing.Annotated[
        str,
        typer.Option(
            envvar="CURRANTWALL_KEY", help="The operators' shared key."
        ),
    ] = "",
) -> None:
    """Operate currantwall."""
    context.obj = client.Client(entry, key)


@app.command()
def entries(
    context: typer.Context,
    datacentre: typing.Annotated[
        str, typer.Option(help="Data centre whose entries are listed first.")
    ] = "",
    json: Json = False,
) -> None:
    """Show the addresses that callers are told to use.

    Example: currantwall entries --datacentre regina
    """
    caller: client.Client = context.obj
    query = f"?datacentre={datacentre}" if datacentre else ""
    kind = entries_module.EntryList
    listed = output.unwrap(caller.get(f"/v1/entries{query}", kind))
    if json:
        output.print_json(listed)
        return
    rows = [
        (entry.node, entry.address, entry.datacentre)
        for entry in listed.entries
    ]
    output.print_table(("ENTRY", "ADDRESS", "DATA CENTRE"), rows)
    typer.echo(f"keep for {listed.ttl:g} s; keys start {listed.key_prefix}")


@app.command()
def status(context: typer.Context, json: Json = False) -> None:
    """Show entries, fabric domains and replicas, as one entry sees them.

    Example: currantwall --entry 127.0.0.1:8080 status
    """
    caller: client.Client = context.obj
    path = "/v1/admin/status"
    answer = output.unwrap(caller.get(path, operators.Status))
    if json:
        output.print_json(answer)
        return
    _print_status(answer)


def _print_status(answer: operators.Status) -> None:
    ready = "ready" if answer.ready else "not ready"
    typer.echo(f"{answer.node}: {ready}, {answer.open_attempts} in flight")
    rows = [
        (member.id, member.datacentre, member.address, member.state.value)
        for member in answer.members
    ]
    output.print_table(("ENTRY", "DATA CENTRE", "ADDRESS", "STATE"), rows)
    for domain in answer.domains:
        typer.echo(
            f"\n{domain.name} ({domain.datacentre}): held by"
            f" {domain.holder}, epoch {domain.epoch}, {domain.idle} idle"
        )
        output.print_table(
            (
                "REPLICA",
                "PROFILE",
                "GEN",
                "PHASE",
                "USABLE",
                "LOAD",
                "MEMBERS",
            ),
            [_make_replica_row(replica) for replica in domain.replicas],
        )


def _make_replica_row(replica: operators.ReplicaStatus) -> tuple[object, ...]:
    return (
        replica.id,
        replica.profile,
        replica.generation,
        replica.phase,
        "yes" if replica.usable else "no",
        replica.load,
        " ".join(replica.members),
    )


def main() -> None:
    """Run the tool."""
    app()


if __name__ == "__main__":
    main()

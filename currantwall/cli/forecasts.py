"""``currantwall forecast``: next month's accelerator hours."""

import calendar
import datetime
import pathlib
import typing

import result
import typer

from currantwall.cli import client
from currantwall.cli import output
from currantwall.cli import profiles
from currantwall.coordination.profiles import forecast
from currantwall.coordination.profiles import usage
from currantwall.protocol import operators

__all__ = ["show_forecast"]

_HOURS_A_DAY = 24
_DECEMBER = 12


def find_next_month(today: datetime.date) -> tuple[str, float]:
    """Return name and hours of the month after a day's."""
    year, month = today.year, today.month + 1
    if month > _DECEMBER:
        year, month = year + 1, 1
    days = calendar.monthrange(year, month)[1]
    return f"{year}-{month:02}", float(days * _HOURS_A_DAY)


def _collect(
    caller: client.Client,
) -> tuple[list[forecast.Standing], list[usage.Use]]:
    """Return what profiles hold, and the use all entries measured."""
    path = "/v1/admin/forecast"
    first = output.unwrap(caller.get(path, operators.ForecastBasis))
    status = output.unwrap(caller.get("/v1/admin/status", operators.Status))
    uses = list(first.uses)
    for member in status.members:
        if member.id == status.node:
            continue
        answer = caller.at(member.address).get(path, operators.ForecastBasis)
        if isinstance(answer, result.Ok):
            uses += answer.ok_value.uses
    return first.standings, uses


def show_forecast(
    context: typer.Context,
    edit: typing.Annotated[
        pathlib.Path | None,
        typer.Option("--with", help="As if this file were applied."),
    ] = None,
    json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Forecast next month's accelerator hours and cost by profile.

    At most what the capacity allows; at least what is held now; expected
    from measured use. Cost is in the unit of the profile's price.

    Example: currantwall forecast --with examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    edits = profiles.read_profiles(edit) if edit else []
    standings, uses = _collect(caller)
    today = datetime.datetime.now(datetime.UTC).date()
    month, hours = find_next_month(today)
    found = forecast.make_forecast(month, hours, standings, uses, edits)
    if json:
        output.print_json(found)
        return
    typer.echo(f"{found.month}: {found.hours:g} h; accelerator hours (cost)")
    lines = [*found.lines, found.total]
    output.print_table(
        ("PROFILE", "AT LEAST", "EXPECTED", "AT MOST"),
        [
            (
                line.profile + ("*" if line.edited else ""),
                _format(line.at_least),
                _format(line.expected),
                _format(line.at_most),
            )
            for line in lines
        ],
    )
    for line in found.lines:
        typer.echo(f"\n{line.profile}")
        typer.echo(f"  at least: {line.at_least.basis}")
        typer.echo(f"  expected: {line.expected.basis}")
        typer.echo(f"  at most:  {line.at_most.basis}")


def _format(figure: forecast.Figure) -> str:
    return f"{figure.accelerator_hours:,.0f} ({figure.cost:,.2f})"

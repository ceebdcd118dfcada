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

_HOURS_PER_DAY = 24
_DECEMBER = 12


def find_next_month(today: datetime.date) -> tuple[str, float]:
    """Return the name and the hours of the month after `today`'s."""
    year, month = today.year, today.month + 1
    if month > _DECEMBER:
        year, month = year + 1, 1
    days = calendar.monthrange(year, month)[1]
    return f"{year}-{month:02}", float(days * _HOURS_PER_DAY)


def _collect_basis(
    caller: client.Client,
) -> tuple[list[forecast.Standing], list[usage.Use]]:
    """Return what profiles hold and the use that the entries measured.

    Entries that do not answer are left out.
    """
    path = "/v1/admin/forecast"
    basis = output.unwrap(caller.get(path, operators.ForecastBasis))
    status = output.unwrap(caller.get("/v1/admin/status", operators.Status))
    uses = list(basis.uses)
    for member in status.members:
        if member.id == status.node:
            continue
        answer = caller.with_entry(member.address).get(
            path, operators.ForecastBasis
        )
        if isinstance(answer, result.Ok):
            uses += answer.ok_value.uses
    return basis.standings, uses


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

    AT MOST is what the capacity allows, AT LEAST what is held now and
    still asked for, EXPECTED is computed from measured use. Cost is in
    the unit of the profile's price.

    Example: currantwall forecast --with examples/northgate/profiles.ini
    """
    caller: client.Client = context.obj
    edits = profiles.read_profiles(edit) if edit else []
    standings, uses = _collect_basis(caller)
    today = datetime.datetime.now(datetime.UTC).date()
    month, hours = find_next_month(today)
    estimate = forecast.make_forecast(month, hours, standings, uses, edits)
    if json:
        output.print_json(estimate)
        return
    typer.echo(
        f"{estimate.month}: {estimate.hours:g} h; accelerator hours (cost)"
    )
    lines = [*estimate.lines, estimate.total]
    output.print_table(
        ("PROFILE", "AT LEAST", "EXPECTED", "AT MOST"),
        [
            (
                line.profile + ("*" if line.edited else ""),
                _format_figure(line.at_least),
                _format_figure(line.expected),
                _format_figure(line.at_most),
            )
            for line in lines
        ],
    )
    for line in estimate.lines:
        typer.echo(f"\n{line.profile}")
        typer.echo(f"  at least: {line.at_least.basis}")
        typer.echo(f"  expected: {line.expected.basis}")
        typer.echo(f"  at most:  {line.at_most.basis}")


def _format_figure(figure: forecast.Figure) -> str:
    return f"{figure.accelerator_hours:,.0f} ({figure.cost:,.2f})"

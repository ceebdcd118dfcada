"""Next month's accelerator hours, as bounds and an expected figure.

For each profile: no more than its capacity, because capacity is granted
before it is used; no less than what it holds now, while nobody edits it;
and in between what measured use says. Every number names its basis.
"""

from collections import abc

import msgspec

from currantwall.coordination.profiles import usage
from currantwall.state import ids
from currantwall.state import profile

__all__ = ["Figure", "Forecast", "Line", "Standing", "make_forecast"]


class Standing(msgspec.Struct, frozen=True):
    """What one profile holds now.

    Attributes:
        held: Accelerators in its replicas.
        each: Accelerators of one instance.
    """

    profile: profile.Profile
    held: int
    each: int


class Figure(msgspec.Struct, frozen=True):
    """One number of the forecast and what it rests on."""

    accelerator_hours: float
    cost: float
    basis: str


class Line(msgspec.Struct, frozen=True):
    """The forecast of one profile."""

    profile: ids.ProfileName
    at_most: Figure
    expected: Figure
    at_least: Figure
    edited: bool = False


class Forecast(msgspec.Struct, frozen=True):
    """The forecast of all profiles for a month of some hours."""

    month: str
    hours: float
    lines: tuple[Line, ...]
    total: Line


def make_forecast(
    month: str,
    hours: float,
    standings: abc.Sequence[Standing],
    uses: abc.Sequence[usage.Use],
    edits: abc.Sequence[profile.Profile] = (),
) -> Forecast:
    """Return the forecast.

    Args:
        month: Name of the month.
        hours: Its length.
        standings: What the profiles hold now.
        uses: Measured use, from any number of nodes.
        edits: Profiles as they would be after an edit.
    """
    changed = {one.name: one for one in edits}
    by_name = {one.profile.name: one for one in standings}
    each = max((one.each for one in standings), default=1)
    for name, wanted in changed.items():
        by_name.setdefault(name, Standing(wanted, 0, each))
    lines = tuple(
        _forecast_one(hours, standing, uses, changed.get(name))
        for name, standing in sorted(by_name.items())
    )
    return Forecast(month, hours, lines, _add_up(lines))


def _forecast_one(
    hours: float,
    standing: Standing,
    uses: abc.Sequence[usage.Use],
    edit: profile.Profile | None,
) -> Line:
    wanted = edit or standing.profile
    asked = _count_asked(wanted, standing.each)
    fill, basis = _measure_fill(standing, uses)
    least = min(standing.held, asked)
    expected = min(float(wanted.capacity), max(float(least), asked * fill))

    def figure(accelerators: float, basis: str) -> Figure:
        amount = accelerators * hours
        return Figure(amount, amount * wanted.price, basis)

    return Line(
        profile=wanted.name,
        at_most=figure(
            wanted.capacity, f"capacity of {wanted.capacity} accelerators"
        ),
        expected=figure(expected, f"{asked} accelerators asked for, {basis}"),
        at_least=figure(
            least, f"{least} accelerators held now and still asked for"
        ),
        edited=edit is not None,
    )


def _count_asked(wanted: profile.Profile, each: int) -> int:
    asked = wanted.replicas * wanted.replica_size * each
    return min(asked, wanted.capacity)


def _measure_fill(
    standing: Standing, uses: abc.Sequence[usage.Use]
) -> tuple[float, str]:
    """Return which share of what was asked for was held, and the basis."""
    own = [one for one in uses if one.profile == standing.profile.name]
    seconds = sum(one.seconds for one in own)
    asked = _count_asked(standing.profile, standing.each)
    if seconds <= 0 or asked <= 0:
        return 1.0, "no measured use yet: taken as held in full"
    mean = sum(one.held for one in own) / seconds
    fill = min(1.0, mean / asked)
    hours = max(one.seconds for one in own) / 3600
    return fill, f"{fill:.1%} of them held over the last {hours:.1f} h"


def _add_up(lines: abc.Sequence[Line]) -> Line:
    def add(figures: abc.Sequence[Figure]) -> Figure:
        return Figure(
            sum(one.accelerator_hours for one in figures),
            sum(one.cost for one in figures),
            f"sum over {len(figures)} profiles",
        )

    return Line(
        profile=ids.ProfileName("(all)"),
        at_most=add([line.at_most for line in lines]),
        expected=add([line.expected for line in lines]),
        at_least=add([line.at_least for line in lines]),
        edited=any(line.edited for line in lines),
    )

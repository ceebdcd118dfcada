"""Next month's accelerator hours: two bounds and an expected figure.

The upper bound of a profile is its capacity, because capacity is granted
before it is used. The lower bound is what it holds now, as long as nobody
edits it. The expected figure follows measured use and lies between the
two. Every figure names its basis.
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
    """One figure of the forecast.

    Attributes:
        cost: Accelerator hours times the price of the profile.
        basis: Explanation of the figure, for operators.
    """

    accelerator_hours: float
    cost: float
    basis: str


class Line(msgspec.Struct, frozen=True):
    """The forecast of one profile.

    Attributes:
        edited: Whether it is made for an edit of the profile.
    """

    profile: ids.ProfileName
    at_most: Figure
    expected: Figure
    at_least: Figure
    edited: bool = False


class Forecast(msgspec.Struct, frozen=True):
    """The forecast of all profiles for one month.

    Attributes:
        month: Name of the month, such as 2027-01.
        hours: Hours of the month.
        total: Sum over all profiles.
    """

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
        hours: Hours of the month.
        standings: What the profiles hold now.
        uses: Measured use, from any number of nodes.
        edits: Profiles that replace stored ones or are added to them.
    """
    edited_profiles = {edit.name: edit for edit in edits}
    by_name = {standing.profile.name: standing for standing in standings}
    each = max((standing.each for standing in standings), default=1)
    for name, wanted in edited_profiles.items():
        by_name.setdefault(name, Standing(wanted, 0, each))
    lines = tuple(
        _forecast_profile(hours, standing, uses, edited_profiles.get(name))
        for name, standing in sorted(by_name.items())
    )
    return Forecast(month, hours, lines, _sum_lines(lines))


def _forecast_profile(
    hours: float,
    standing: Standing,
    uses: abc.Sequence[usage.Use],
    edit: profile.Profile | None,
) -> Line:
    wanted = edit or standing.profile
    requested = _count_requested(wanted, standing.each)
    held_ratio, basis = _measure_held_ratio(standing, uses)
    lower_bound = min(standing.held, requested)
    expected = min(
        float(wanted.capacity),
        max(float(lower_bound), requested * held_ratio),
    )

    def make_figure(accelerators: float, basis: str) -> Figure:
        accelerator_hours = accelerators * hours
        return Figure(
            accelerator_hours, accelerator_hours * wanted.price, basis
        )

    return Line(
        profile=wanted.name,
        at_most=make_figure(
            wanted.capacity, f"capacity of {wanted.capacity} accelerators"
        ),
        expected=make_figure(
            expected, f"{requested} accelerators asked for, {basis}"
        ),
        at_least=make_figure(
            lower_bound,
            f"{lower_bound} accelerators held now and still asked for",
        ),
        edited=edit is not None,
    )


def _count_requested(wanted: profile.Profile, per_instance: int) -> int:
    requested = wanted.replicas * wanted.replica_size * per_instance
    return min(requested, wanted.capacity)


def _measure_held_ratio(
    standing: Standing, uses: abc.Sequence[usage.Use]
) -> tuple[float, str]:
    """Return the mean share of the requested accelerators that was held.

    The result is at most 1, and comes with the basis of the figure. Nodes
    are weighted by how long they measured.
    """
    profile_uses = [
        use for use in uses if use.profile == standing.profile.name
    ]
    seconds = sum(use.seconds for use in profile_uses)
    requested = _count_requested(standing.profile, standing.each)
    if seconds <= 0 or requested <= 0:
        return 1.0, "no measured use yet: taken as held in full"
    mean_held = sum(use.held for use in profile_uses) / seconds
    held_ratio = min(1.0, mean_held / requested)
    hours = max(use.seconds for use in profile_uses) / 3600
    return (
        held_ratio,
        f"{held_ratio:.1%} of them held over the last {hours:.1f} h",
    )


def _sum_lines(lines: abc.Sequence[Line]) -> Line:
    def sum_figures(figures: abc.Sequence[Figure]) -> Figure:
        return Figure(
            sum(figure.accelerator_hours for figure in figures),
            sum(figure.cost for figure in figures),
            f"sum over {len(figures)} profiles",
        )

    return Line(
        profile=ids.ProfileName("(all)"),
        at_most=sum_figures([line.at_most for line in lines]),
        expected=sum_figures([line.expected for line in lines]),
        at_least=sum_figures([line.at_least for line in lines]),
        edited=any(line.edited for line in lines),
    )

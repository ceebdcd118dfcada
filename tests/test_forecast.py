"""Bounds and bases of the forecast."""

import datetime
import unittest

from hypothesis import given
from hypothesis import strategies as st
import msgspec

from currantwall.cli import forecasts
from currantwall.coordination.profiles import forecast
from currantwall.coordination.profiles import usage
from currantwall.state import ids
from currantwall.state import profile

_PROFILE = profile.Profile(
    name=ids.ProfileName("gate"),
    model="m",
    replicas=2,
    replica_size=2,
    capacity=24,
    price=2.0,
)


def _forecast_line(
    held: int, uses: list[usage.Use], edits: list[profile.Profile]
) -> forecast.Line:
    standing = forecast.Standing(_PROFILE, held, 4)
    made = forecast.make_forecast("2027-01", 100, [standing], uses, edits)
    return made.lines[0]


class ForecastTest(unittest.TestCase):
    def test_figures_and_their_bases(self) -> None:
        use = usage.Use(_PROFILE.name, 3600.0, 12 * 3600.0)
        line = _forecast_line(16, [use], [])
        self.assertEqual(2400.0, line.at_most.accelerator_hours)
        self.assertEqual(4800.0, line.at_most.cost)
        self.assertEqual(1600.0, line.at_least.accelerator_hours)
        # Measured use gives 12 accelerators, but 16 are held now: the
        # expected figure is not below the lower bound.
        self.assertEqual(1600.0, line.expected.accelerator_hours)
        self.assertIn("75.0% of them held", line.expected.basis)

    def test_edit_replaces_the_stored_profile(self) -> None:
        smaller = msgspec.structs.replace(_PROFILE, replicas=1, capacity=8)
        line = _forecast_line(16, [], [smaller])
        self.assertTrue(line.edited)
        self.assertEqual(800.0, line.at_most.accelerator_hours)
        self.assertEqual(800.0, line.at_least.accelerator_hours)

    @given(
        held=st.integers(0, 24),
        measured=st.floats(0, 40),
        replicas=st.integers(0, 5),
        capacity=st.integers(0, 24),
    )
    def test_bounds_are_in_order(
        self, held: int, measured: float, replicas: int, capacity: int
    ) -> None:
        # Failure: the expected figure lies outside its bounds, and the
        # reader of "at least, expected, at most" is misled.
        edit = msgspec.structs.replace(
            _PROFILE, replicas=replicas, capacity=capacity
        )
        use = usage.Use(_PROFILE.name, 3600.0, measured * 3600.0)
        line = _forecast_line(held, [use], [edit])
        least = line.at_least.accelerator_hours
        expected = line.expected.accelerator_hours
        self.assertLessEqual(least, expected)
        self.assertLessEqual(expected, line.at_most.accelerator_hours)

    def test_next_month(self) -> None:
        december = datetime.date(2026, 12, 3)
        self.assertEqual(
            ("2027-01", 744.0), forecasts.find_next_month(december)
        )
        self.assertEqual(
            ("2028-02", 696.0),
            forecasts.find_next_month(datetime.date(2028, 1, 31)),
        )

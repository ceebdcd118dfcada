"""The forecast's bounds and bases."""

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


def _make(
    held: int, uses: list[usage.Use], edits: list[profile.Profile]
) -> forecast.Line:
    standing = forecast.Standing(_PROFILE, held, 4)
    found = forecast.make_forecast("2027-01", 100, [standing], uses, edits)
    return found.lines[0]


class ForecastTest(unittest.TestCase):
    def test_numbers_and_their_bases(self) -> None:
        use = usage.Use(_PROFILE.name, 3600.0, 12 * 3600.0)
        line = _make(16, [use], [])
        self.assertEqual(2400.0, line.at_most.accelerator_hours)
        self.assertEqual(4800.0, line.at_most.cost)
        self.assertEqual(1600.0, line.at_least.accelerator_hours)
        # 12 of 16 were held, but 16 are held now: no less than that.
        self.assertEqual(1600.0, line.expected.accelerator_hours)
        self.assertIn("75.0% of them held", line.expected.basis)

    def test_edit_in_a_file_is_weighed_like_the_profile(self) -> None:
        smaller = msgspec.structs.replace(_PROFILE, replicas=1, capacity=8)
        line = _make(16, [], [smaller])
        self.assertTrue(line.edited)
        self.assertEqual(800.0, line.at_most.accelerator_hours)
        self.assertEqual(800.0, line.at_least.accelerator_hours)

    @given(
        held=st.integers(0, 24),
        measured=st.floats(0, 40),
        replicas=st.integers(0, 5),
        capacity=st.integers(0, 24),
    )
    def test_bounds_stand_in_order(
        self, held: int, measured: float, replicas: int, capacity: int
    ) -> None:
        # Finance reads "at least, expected, at most"; numbers that cross
        # would be worse than none.
        edit = msgspec.structs.replace(
            _PROFILE, replicas=replicas, capacity=capacity
        )
        use = usage.Use(_PROFILE.name, 3600.0, measured * 3600.0)
        line = _make(held, [use], [edit])
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

"""The clock that all parts of a node share."""

import time
import unittest
from unittest import mock

from currantwall.transport import timers


class ClockTest(unittest.TestCase):
    def test_a_suspension_of_the_machine_counts(self):
        """Guards against a lease that outlasts its time in a suspension."""
        clocks = {time.CLOCK_BOOTTIME: 58.0, time.CLOCK_MONOTONIC: 50.0}
        with mock.patch.object(time, "clock_gettime", clocks.__getitem__):
            self.assertEqual(timers.TimerService.now(), 58.0)


if __name__ == "__main__":
    unittest.main()

"""Tests of the processes that other tests start."""

import unittest

from bench import fleet
from bench import gateways

_START_TIMEOUT = 60.0


class PortTest(unittest.TestCase):
    def test_no_port_is_picked_twice(self):
        """Guards against two listeners of a gateway on the same port.

        The second internal port of a gateway was not reserved and was
        picked again as its port for callers. The kernel gave each listener
        a part of the connections, so that a caller's stream was answered
        with a list of instances.
        """
        picked = []
        for _ in range(20):
            picked += [fleet.pick_port(), *fleet.pick_port_pair()]
            picked.append(fleet.pick_port())
        self.assertEqual(len(set(picked)), len(picked))


class RestartTest(unittest.TestCase):
    def test_an_engine_that_was_restarted_answers_the_next_test(self):
        """Guards against using a restarted engine before it listens."""
        site = gateways.Gateways()
        self.addCleanup(site.stop)
        site.start_platform()
        fleet.wait_until(
            lambda: site.is_answering("platform", "/currantwall/objects/x"),
            _START_TIMEOUT,
            "store",
        )
        site.restart_engine("e1", "d0", "m")
        site.kill("e1")
        site.restart_engine("e1", "d0", "m")
        answer = site.request("GET", "e1", "/currantwall/report")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()

"""The processes that tests start."""

import unittest

from bench import fleet
from bench import gateways

_START_SECONDS = 60.0


class PortTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        """A caller's stream was answered with a list of instances.

        A gateway's second internal port had not been picked, was picked
        as the port for its callers, and the system gave each listener a
        part of the connections.
        """
        given = []
        for _ in range(20):
            given += [fleet.pick_port(), *fleet.pick_port_pair()]
            given.append(fleet.pick_port())
        self.assertEqual(len(set(given)), len(given))


class RestartTest(unittest.TestCase):
    def test_an_engine_that_was_restarted_answers_the_next_test(self):
        """A test met a restarted engine before it listened."""
        site = gateways.Gateways()
        self.addCleanup(site.stop)
        site.start_platform()
        fleet.wait_until(
            lambda: site.is_answering("platform", "/currantwall/objects/x"),
            _START_SECONDS,
            "store",
        )
        site.restart_engine("e1", "d0", "m")
        site.kill("e1")
        site.restart_engine("e1", "d0", "m")
        answer = site.request("GET", "e1", "/currantwall/report")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()

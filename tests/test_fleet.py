"""Tests of the processes that other tests start."""

import pathlib
import random
import subprocess
import sys
import unittest

from bench import fleet
from bench import gateways

_START_TIMEOUT = 60.0
# Prints the addresses of a site and two gateways, drawn from a fixed seed.
_DRAW = """
import random
from bench import gateways
random.seed(7)
site = gateways.Gateways()
site.start_platform()
for name in ("g1", "g2"):
    site.start_gateway(name)
print(site.ip, *(front.split(":")[0] for front in site.fronts.values()))
site.stop()
"""


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
            picked.append(fleet.pick_port("127.0.0.1"))
            picked += fleet.pick_port_pair("127.0.0.1")
            picked.append(fleet.pick_port("127.0.0.1"))
        self.assertEqual(len(set(picked)), len(picked))

    def test_two_sites_share_no_address(self):
        """Guards against answers from a gateway of another test run.

        This process and another one draw addresses from the same seed.
        """
        random.seed(7)
        site = gateways.Gateways()
        self.addCleanup(site.stop)
        site.start_platform()
        for name in ("g1", "g2"):
            site.start_gateway(name)
        used = [
            site.ip,
            *(front.split(":")[0] for front in site.fronts.values()),
        ]
        other = subprocess.run(
            [sys.executable, "-c", _DRAW],
            capture_output=True,
            text=True,
            cwd=pathlib.Path(__file__).parent.parent,
            check=True,
        )
        used += other.stdout.split()
        self.assertEqual(len(used), 6)
        self.assertEqual(len(set(used)), 6, used)


class RestartTest(unittest.TestCase):
    def test_an_engine_that_was_restarted_answers_the_next_test(self):
        """Guards against using a restarted engine before it listens."""
        site = gateways.Gateways()
        self.addCleanup(site.stop)
        site.start_store()
        site.restart_engine("e1", "d0", "m")
        site.kill("e1")
        site.restart_engine("e1", "d0", "m")
        answer = site.request("GET", "e1", "/currantwall/report")
        self.assertEqual(answer.status, 200)


if __name__ == "__main__":
    unittest.main()

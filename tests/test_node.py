"""Tests of what a gateway process imports and what is installed for it."""

import pathlib
import subprocess
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
# The modules of currantwall.coordination that a gateway runs.
_GATEWAY_MODULES = frozenset(
    (
        "calls",
        "peers",
        "peers.changes",
        "peers.digests",
        "peers.directory",
        "peers.outages",
        "peers.presence",
        "peers.restores",
        "peers.staleness",
        "replicas",
        "replicas.conversions",
        "replicas.formation",
        "replicas.knowledge",
        "replicas.layout",
        "replicas.leases",
        "replicas.rebalancing",
        "replicas.staging",
        "replicas.supply",
        "replicas.workload",
        "requests",
        "requests.attained",
        "requests.attempts",
        "requests.backlog",
        "requests.balancing",
        "requests.bodies",
        "requests.budgets",
        "requests.buffering",
        "requests.descriptors",
        "requests.capacity",
        "requests.coldness",
        "requests.crashlog",
        "requests.endings",
        "requests.evacuations",
        "requests.loads",
        "requests.paths",
        "requests.placing",
        "requests.quarantine",
        "requests.ratelimits",
        "requests.reachability",
        "requests.withdrawals",
    )
)
_LIST_MODULES = (
    "import sys; import currantwall.gateway;"
    "print(*sorted(sys.modules), sep='\\n')"
)


def read_pins(name):
    lines = (_ROOT / name).read_text().splitlines()
    return {line for line in lines if line}


class ImportTest(unittest.TestCase):
    """Every module that a node loads costs memory, which is billed."""

    @classmethod
    def setUpClass(cls):
        run = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", _LIST_MODULES],
            capture_output=True,
            text=True,
            check=True,
            cwd=_ROOT,
        )
        cls.modules = run.stdout.split()

    def test_gateway_loads_only_the_decisions_that_it_runs(self):
        """Guards against loading 30 modules that only an entry runs.

        They came in through one method of the metrics, which only an
        entry uses.
        """
        prefix = "currantwall.coordination."
        found = {
            name.removeprefix(prefix)
            for name in self.modules
            if name.startswith(prefix)
        }
        self.assertEqual(found - _GATEWAY_MODULES, set())
        self.assertNotIn("node", found)

    def test_node_requirements_have_the_same_versions(self):
        node = read_pins("requirements-node.txt")
        self.assertLess(node, read_pins("requirements.txt"))

    def test_requirements_of_the_tool_are_not_installed_for_a_node(self):
        """Guards against 4 MB of unused memory per process.

        structlog imports rich if it is installed, and rich is installed
        together with typer, the library of the command line.
        """
        names = {
            pin.partition("==")[0]
            for pin in read_pins("requirements-node.txt")
        }
        self.assertTrue(names.isdisjoint({"typer", "rich", "pydantic"}))


if __name__ == "__main__":
    unittest.main()

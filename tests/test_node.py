"""What a gateway process loads, and what is installed for it."""

import pathlib
import subprocess
import sys
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
# Modules of the decisions that a gateway may load.
_MODULES = 26
_LIST = (
    "import sys; import currantwall.gateway;"
    "print(*sorted(sys.modules), sep='\\n')"
)


def read_pins(name):
    lines = (_ROOT / name).read_text().splitlines()
    return {line for line in lines if line}


class ImportTest(unittest.TestCase):
    """A node's memory is paid for by the second."""

    @classmethod
    def setUpClass(cls):
        run = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", _LIST],
            capture_output=True,
            text=True,
            check=True,
            cwd=_ROOT,
        )
        cls.modules = run.stdout.split()

    def test_a_gateway_loads_only_the_decisions_that_it_runs(self):
        """Every node held 30 modules that only an entry runs.

        One method of the metrics, which the entry's node uses, brought
        them all.
        """
        prefix = "currantwall.coordination."
        found = [one for one in self.modules if one.startswith(prefix)]
        self.assertLessEqual(len(found), _MODULES)
        self.assertNotIn("currantwall.coordination.node", found)

    def test_what_is_installed_for_a_node_has_the_same_versions(self):
        node = read_pins("requirements-node.txt")
        self.assertLess(node, read_pins("requirements.txt"))

    def test_what_only_the_tool_needs_is_not_installed_for_a_node(self):
        """The log library loads a package that draws tables, if it is there.

        It came with the command line's library and took 4 MB a process.
        """
        names = {
            one.partition("==")[0]
            for one in read_pins("requirements-node.txt")
        }
        self.assertTrue(names.isdisjoint({"typer", "rich", "pydantic"}))


if __name__ == "__main__":
    unittest.main()

"""Patches of the standard library at the start of a process."""

import pathlib
import subprocess
import sys
import unittest

_SCRIPT = """
from currantwall.transport import green
with green.hide_asyncio():
    green.patch({arguments})
import eventlet.patcher
print(*(eventlet.patcher.is_monkey_patched(one)
        for one in ("socket", "select", "time", "thread")))
import asyncio
print(asyncio.run(asyncio.sleep(0, "runs")))
"""


class PatchTest(unittest.TestCase):
    def run_script(self, arguments):
        process = subprocess.run(
            [sys.executable, "-c", _SCRIPT.format(arguments=arguments)],
            capture_output=True,
            text=True,
            cwd=pathlib.Path(__file__).parent.parent,
            check=False,
        )
        self.assertEqual(0, process.returncode, process.stderr)
        return process.stdout.split()

    def test_everything_is_patched(self):
        """Guards against patching only locks.

        Each wait for the network then blocked all green threads.
        """
        self.assertEqual(self.run_script("")[:4], ["True"] * 4)

    def test_threads_can_be_left_alone(self):
        found = self.run_script("threads=False")[:4]
        self.assertEqual(found, ["True", "True", "True", "False"])

    def test_processes_can_be_left_alone(self):
        found = self.run_script("threads=False, processes=False")[:4]
        self.assertEqual(found, ["True", "True", "True", "False"])

    def test_asyncio_runs_coroutines_when_imported_later(self):
        """Guards against breaking a library that runs coroutines later.

        The library for the metrics may do so.
        """
        self.assertEqual(self.run_script("threads=False")[-1], "runs")


if __name__ == "__main__":
    unittest.main()

"""The demonstration over real processes, from start to graceful stop."""

import pathlib
import subprocess
import sys
import unittest

_TIMEOUT_SECONDS = 240


class DemoTest(unittest.TestCase):
    def test_every_step_is_right(self) -> None:
        """Failure: a step of the demonstration fails over real processes.

        Among the steps, a reorder is sent twice and must run once, and an
        entry is stopped while a stream runs through it.
        """
        result = subprocess.run(
            [sys.executable, "-m", "bench.demo"],
            capture_output=True,
            text=True,
            cwd=pathlib.Path(__file__).parent.parent,
            timeout=_TIMEOUT_SECONDS,
            check=False,
        )
        self.assertEqual(0, result.returncode, result.stdout + result.stderr)

"""Starts of a gateway process that can't succeed."""

import os
import subprocess
import sys
import unittest

from bench import gateways


class StartTest(unittest.TestCase):
    def test_a_start_without_the_libraries_says_so_in_one_line(self):
        """Guards against a traceback where the build was not run."""
        environment = {"PATH": os.environ.get("PATH", "")}
        process = subprocess.run(
            # Without the packages of this interpreter.
            [sys.executable, "-S", str(gateways.PROGRAM)],
            cwd=gateways.PROGRAM.parent.parent,
            env=environment,
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(process.returncode, 1)
        (line,) = process.stderr.splitlines()
        self.assertIn("target/deps", line)

"""Tests that the decisions can be imported without any I/O library."""

import pathlib
import subprocess
import sys
import unittest

_SCRIPT = """
import importlib, pkgutil, sys

class Block:
    banned = ("eventlet", "socket", "_socket", "pynng", "urllib3")
    def find_spec(self, name, path=None, target=None):
        if name.split(".")[0] in self.banned:
            raise ImportError("blocked: " + name)

for name in list(sys.modules):
    if name.split(".")[0] in Block.banned:
        del sys.modules[name]
sys.meta_path.insert(0, Block())
import currantwall.coordination, currantwall.state
for package in (currantwall.coordination, currantwall.state):
    prefix = package.__name__ + "."
    for found in pkgutil.walk_packages(package.__path__, prefix):
        importlib.import_module(found.name)
print("imported")
"""


class PurityTest(unittest.TestCase):
    def test_decisions_import_without_io(self) -> None:
        # Guards against an import of sockets anywhere in coordination or
        # state: a benchmark that drives the decisions itself has none.
        done = subprocess.run(
            [sys.executable, "-c", _SCRIPT],
            capture_output=True,
            text=True,
            cwd=pathlib.Path(__file__).parent.parent,
            check=False,
        )
        self.assertEqual("imported", done.stdout.strip(), done.stderr)

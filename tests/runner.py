"""Runs all tests; the last line is ``N passed, N failed``.

Each test class runs in a process of its own, a few at the same time, and
the results are printed in the order of the class names. Each class gets
a range of ports that no other has at the same time, so that it never connects
to a process of another one.

A test listed in KNOWN-RED.txt may fail without failing the run; its line
is printed. A listed test that passes must be removed from the list.
"""

from concurrent import futures
import importlib
import io
import multiprocessing
import os
import pathlib
import sys
import typing
import unittest

_ROOT = pathlib.Path(__file__).parent.parent
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
# Classes that run at the same time; some start a dozen processes.
_WORKERS = 4
# Range of ports that is divided among the classes which run.
_FIRST_PORT = 11_000
_LAST_PORT = 32_000
_PORTS_PER_CLASS = (_LAST_PORT - _FIRST_PORT) // _WORKERS
# First ports of the ranges that no class has now.
_free_ports: typing.Any = None


class Outcome:
    """The results of one class's tests.

    Attributes:
        name: Name of the class.
        run: Number of tests that ran.
        failed: Ids of the tests that failed.
        skipped: Number of tests that were skipped.
        report: Output of unittest's test runner.
    """

    def __init__(self, name, run, failed, skipped, report):
        self.name = name
        self.run = run
        self.failed = failed
        self.skipped = skipped
        self.report = report


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return {line.split(",", 1)[0].strip(): line for line in lines if line}


def list_classes() -> list[str]:
    """Return the names of all test classes, sorted."""
    found = []
    for file in sorted((_ROOT / "tests").glob("test_*.py")):
        module = importlib.import_module(f"tests.{file.stem}")
        for name, value in sorted(vars(module).items()):
            if _is_test_class(value):
                found.append(f"{module.__name__}.{name}")
    return found


def _is_test_class(value: object) -> bool:
    """Return whether a module's attribute is a class with tests.

    The class's own module and name are not checked: hypothesis defines
    test classes in its own modules.
    """
    if not isinstance(value, type) or not issubclass(value, unittest.TestCase):
        return False
    methods = unittest.defaultTestLoader.getTestCaseNames(value)
    return bool(methods) or hasattr(value, "runTest")


def _set_free_ports(free_ports: typing.Any) -> None:
    global _free_ports
    _free_ports = free_ports


def run_named(name: str) -> Outcome:
    """Run the tests with a name; called in a process of its own.

    Args:
        name: Full name of a module, class or method.
    """
    first_port = _free_ports.get()
    os.environ["CURRANTWALL_TEST_PORTS"] = (
        f"{first_port}-{first_port + _PORTS_PER_CLASS}"
    )
    try:
        return _run_tests(name)
    finally:
        _free_ports.put(first_port)


def _run_tests(name: str) -> Outcome:
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    stream = io.StringIO()
    run = unittest.TextTestRunner(stream, verbosity=1).run(suite)
    failed = [test.id() for test, _ in run.failures + run.errors]
    failed += [test.id() for test in run.unexpectedSuccesses]
    return Outcome(
        name, run.testsRun, failed, len(run.skipped), stream.getvalue()
    )


def run_all(names: list[str]) -> list[Outcome]:
    """Run the tests with each name; return the outcomes in that order."""
    context = multiprocessing.get_context("spawn")
    free_ports = context.SimpleQueue()
    for index in range(_WORKERS):
        free_ports.put(_FIRST_PORT + index * _PORTS_PER_CLASS)
    with futures.ProcessPoolExecutor(
        _WORKERS,
        context,
        initializer=_set_free_ports,
        initargs=(free_ports,),
        max_tasks_per_child=1,
    ) as pool:
        running = [pool.submit(run_named, name) for name in names]
        return [future.result() for future in running]


def main() -> int:
    """Run the tests; return the exit code."""
    outcomes = run_all(sys.argv[1:] or list_classes())
    known = read_known_red()
    failed = set()
    for outcome in outcomes:
        print(f"{outcome.name}: {outcome.run} run")
        if outcome.failed:
            print(outcome.report)
        failed.update(outcome.failed)
    for test in sorted(failed & known.keys()):
        print(f"known red: {known[test]}")
    run = sum(outcome.run for outcome in outcomes)
    count = sum(len(outcome.failed) for outcome in outcomes)
    print(f"\n{max(run - count, 0)} passed, {count} failed")
    return 1 if failed - known.keys() or run == 0 else 0

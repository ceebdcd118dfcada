"""Checks that each layer imports only itself and the layers below it.

It also checks that the platform's names are used only in its adapter,
and that the adapter stays small: it translates and makes no decisions.
"""

import ast
import pathlib
import sys

_PRODUCT = pathlib.Path(__file__).parent.parent / "currantwall"
_ADAPTER = pathlib.Path(__file__).parent.parent / "platform"
# Lines that the adapter must stay below.
_MAX_ADAPTER_LINES = 1500
# Names in the platform's messages: some of each message, so that code that
# handles one of them outside the adapter is found.
_WIRE_NAMES = (
    "CURRANTWALL_SETTINGS",
    "Server-Leaving",
    "Server-Limit",
    "X-Attempt-Id",
    "X-Deadline-Ms",
    "X-Expect-Instance",
    "X-Not-Executed",
    "X-Server-Load",
    "X-Server-Seal",
    "X-Tenant",
    "apiKeys",
    "coldLeftMs",
    "currantwall/objects",
    "currantwall/order",
    "currantwall/report",
    "healthPath",
    "internalPorts",
    "kvUsed",
    "loadsPerS",
    "maxAttempts",
    "nodeName",
    "pathPrefix",
    "targetGapMs",
    "targetLatencyMs",
    "timeoutMs",
    "trafficSplit",
    "warmS",
)
# From top to bottom.
_LAYERS = ("transport", "protocol", "coordination", "state")
# Layers without input and output, clocks, threads and random numbers.
_PURE_LAYERS = ("coordination", "state")
_IMPURE_MODULES = frozenset(
    (
        "asyncio",
        "datetime",
        "eventlet",
        "os",
        "pynng",
        "random",
        "socket",
        "subprocess",
        "threading",
        "time",
        "urllib3",
    )
)


def list_imports(path: pathlib.Path) -> list[str]:
    """Return the full names of all modules that a file imports."""
    modules = []
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            modules += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules += [f"{node.module}.{alias.name}" for alias in node.names]
    return modules


def check_imports(path: pathlib.Path) -> list[str]:
    """Return the forbidden imports of one file."""
    layer = path.relative_to(_PRODUCT).parts[0]
    below = _LAYERS[_LAYERS.index(layer) :]
    problems = []
    for name in list_imports(path):
        parts = name.split(".")
        if parts[0] == "currantwall" and parts[1] not in below:
            problems.append(f"{path}: {layer} imports {name}")
        if layer in _PURE_LAYERS and parts[0] in _IMPURE_MODULES:
            problems.append(f"{path}: {layer} is pure but imports {name}")
    return problems


def check_names() -> list[str]:
    """Return the places where the product uses the platform's names."""
    problems = []
    for path in sorted(_PRODUCT.rglob("*.py")):
        text = path.read_text(encoding="utf-8")
        for name in _WIRE_NAMES:
            if name in text:
                problems.append(f"{path}: uses the platform's {name}")
    return problems


def check_adapter() -> list[str]:
    """Return a problem if the adapter has grown too large."""
    size = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in _ADAPTER.rglob("*.py")
    )
    if size < _MAX_ADAPTER_LINES:
        return []
    return [f"{_ADAPTER}: {size} lines, {_MAX_ADAPTER_LINES} are allowed"]


def main() -> int:
    """Check all files; return the exit code."""
    problems = check_names() + check_adapter()
    for layer in _LAYERS:
        for path in sorted((_PRODUCT / layer).rglob("*.py")):
            problems += check_imports(path)
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

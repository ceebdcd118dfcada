"""Checks that each layer imports only itself and the layers below it.

It also checks that the platform's names are used only in its adapter,
and that the adapter stays small: it translates and makes no decisions. Text
of others becomes a number or an address in few modules, and each module that
decodes what others write is named in docs/design/inputs.md.
"""

import ast
import pathlib
import sys

_PRODUCT = pathlib.Path(__file__).parent.parent / "currantwall"
_ADAPTER = pathlib.Path(__file__).parent.parent / "platform"
_INPUTS = _PRODUCT.parent / "docs" / "design" / "inputs.md"
# Modules that may look at the digits of a text, and those that split an
# address: of others, and of the process's own settings.
_NUMBER_MODULES = ("state/numbers.py", "state/addresses.py")
_ADDRESS_MODULES = (
    "state/addresses.py",
    "state/settings.py",
    "transport/heartbeats.py",
    "transport/listeners.py",
)
_DIGIT_METHODS = ("isdecimal", "isdigit", "isnumeric")
_SPLIT_METHODS = ("rpartition", "rsplit")
# Calls by which a module is a decoder.
_DECODERS = ("decode", "parse_count", "parse", "Decoder")
_DECODER_OWNERS = ("json", "msgpack", "numbers", "addresses")
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


def _list_calls(path: pathlib.Path) -> list[tuple[ast.Call, ast.Attribute]]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    return [
        (node, node.func)
        for node in ast.walk(tree)
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute)
    ]


def _is_address_split(call: ast.Call, method: str) -> bool:
    first = call.args[0] if call.args else None
    return (
        method in _SPLIT_METHODS
        and isinstance(first, ast.Constant)
        and first.value == ":"
    )


def check_parsing() -> list[str]:
    """Return the places where text becomes a number or an address unbounded.

    Failure: text of another writer is checked in one place, and converted in
    another one that raises for what the first accepts.
    """
    problems = []
    for root in (_PRODUCT, _ADAPTER):
        for path in sorted(root.rglob("*.py")):
            name = path.relative_to(root).as_posix()
            for call, function in _list_calls(path):
                if name not in _NUMBER_MODULES and (
                    function.attr in _DIGIT_METHODS
                ):
                    problems.append(f"{path}:{call.lineno}: use state.numbers")
                if name not in _ADDRESS_MODULES and (
                    _is_address_split(call, function.attr)
                ):
                    problems.append(
                        f"{path}:{call.lineno}: use state.addresses"
                    )
    return problems


def check_inputs() -> list[str]:
    """Return the modules with decoders that the table of inputs lacks."""
    table = _INPUTS.read_text(encoding="utf-8")
    problems = []
    for root in (_PRODUCT, _ADAPTER):
        for path in sorted(root.rglob("*.py")):
            name = path.relative_to(root).as_posix()
            owners = {
                ast.unparse(function.value).rsplit(".", 1)[-1]
                for _, function in _list_calls(path)
                if function.attr in _DECODERS
            }
            if owners.intersection(_DECODER_OWNERS) and name not in table:
                problems.append(f"{_INPUTS}: lacks {name}")
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
    problems += check_parsing() + check_inputs()
    for layer in _LAYERS:
        for path in sorted((_PRODUCT / layer).rglob("*.py")):
            problems += check_imports(path)
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main())

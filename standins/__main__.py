"""``python -m standins KIND OPTIONS``: run one stand-in process."""

import sys

from currantwall.transport import green

green.patch()

from standins import engine  # noqa: E402
from standins import fastengine  # noqa: E402
from standins import platform  # noqa: E402
from standins import service  # noqa: E402
from standins import upstream  # noqa: E402

_KINDS = {
    "engine": engine.main,
    "fastengine": fastengine.main,
    "platform": platform.main,
    "service": service.main,
    "upstream": upstream.main,
}


def main() -> None:
    """Run the stand-in that the first argument names."""
    if len(sys.argv) < 2 or sys.argv[1] not in _KINDS:
        raise SystemExit(f"expected one of {', '.join(sorted(_KINDS))}")
    kind = sys.argv.pop(1)
    _KINDS[kind]()


if __name__ == "__main__":
    main()

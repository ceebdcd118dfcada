"""What an upstream's answers ask of the nodes that send it requests.

Values that cannot be read ask for nothing: they may come from a faulty
server, and must not keep requests from it for good.
"""

import math
import re

import urllib3

from currantwall.protocol import names as names_module

__all__ = ["parse_limit"]

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


def parse_limit(
    headers: urllib3.HTTPHeaderDict, names: names_module.HeaderNames
) -> float | None:
    """Return the requests a second that an upstream takes from all nodes.

    None if its answer names no limit.
    """
    return _parse_decimal(headers.get(names.limit))


def _parse_decimal(text: str | None) -> float | None:
    """Return a finite decimal number without a sign, None for others."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    value = float(text)
    return value if math.isfinite(value) else None

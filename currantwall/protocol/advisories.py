"""What an upstream's answers ask of the nodes that send it requests.

Values that cannot be read ask for nothing: they may come from a faulty
server, and must not keep requests from it for good.
"""

import math
import re

import urllib3

from currantwall.protocol import names as names_module

__all__ = ["is_leaving", "parse_cold", "parse_limit", "parse_retry_after"]

# Statuses of answers that turn a request away for the moment.
_REFUSALS = (429, 503)
_RETRY_AFTER = "Retry-After"
_LEAVING = "1"

_DECIMAL = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)


def parse_limit(
    headers: urllib3.HTTPHeaderDict, names: names_module.HeaderNames
) -> float | None:
    """Return the requests a second that an upstream takes from all nodes.

    None if its answer names no limit.
    """
    return _parse_decimal(headers.get(names.limit))


def parse_cold(
    headers: urllib3.HTTPHeaderDict, names: names_module.HeaderNames
) -> float | None:
    """Return the seconds for which an upstream stays cold, 0 if it is warm.

    None if its answer doesn't say.
    """
    milliseconds = _parse_decimal(headers.get(names.cold))
    return None if milliseconds is None else milliseconds / 1000.0


def parse_retry_after(
    status: int, headers: urllib3.HTTPHeaderDict
) -> float | None:
    """Return the seconds for which an upstream wants no request of a node.

    None if its answer asks for no pause. `Retry-After` may have a fraction
    here; a date, which HTTP allows too, is no request of an upstream's.

    Args:
        status: Status of the answer.
        headers: Its headers.
    """
    if status not in _REFUSALS:
        return None
    return _parse_decimal(headers.get(_RETRY_AFTER))


def is_leaving(
    headers: urllib3.HTTPHeaderDict, names: names_module.HeaderNames
) -> bool:
    """Return whether an upstream says that it is going to exit."""
    return headers.get(names.leaving, "").strip() == _LEAVING


def _parse_decimal(text: str | None) -> float | None:
    """Return a finite decimal number without a sign, None for others."""
    if text is None or not _DECIMAL.fullmatch(text.strip()):
        return None
    value = float(text)
    return value if math.isfinite(value) else None

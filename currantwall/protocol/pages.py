"""Splits a JSON array into its items without decoding them.

A decoder checks a page of objects as a whole: a single item with an unpaired
surrogate, invalid UTF-8 or thousands of nested lists makes all others
unreadable. Only brackets, commas and quotes are looked at here.
"""

import json
import re
import typing

__all__ = ["Split", "find_name", "split_array"]

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_COLON = re.compile(rb"\s*:")


class Split(typing.NamedTuple):
    """A JSON object without the items of one of its arrays, and the items."""

    rest: bytes
    items: list[bytes]


def split_array(data: bytes, field: str) -> Split | None:
    """Split the array in a field of a JSON object.

    Args:
        data: The object.
        field: Name of the field.

    Returns:
        The parts; None if there is no such array, or no end of it.
    """
    name = f'"{field}"'.encode()
    depth = 0
    is_field = False
    # Where the array and its current item begin.
    first = begin = -1
    items: list[bytes] = []
    for match in _TOKEN.finditer(data):
        token = match[0]
        if token.startswith(b'"'):
            is_key = depth == 1 and bool(_COLON.match(data, match.end()))
            is_field = is_key and token == name
        elif token in (b"[", b"{"):
            depth += 1
            if depth == 2 and is_field and token == b"[":
                first = begin = match.end()
            is_field = False
        elif token in (b"]", b"}"):
            if first >= 0 and depth == 2:
                items.append(data[begin : match.start()])
                rest = data[:first] + data[match.start() :]
                return Split(rest, [item for item in items if item.strip()])
            depth -= 1
        elif first >= 0 and depth == 2:
            items.append(data[begin : match.start()])
            begin = match.end()
    return None


def find_name(item: bytes) -> str | None:
    """Return the name in an object's metadata, None if it can't be read."""
    depth = 0
    key = parent = b""
    for match in _TOKEN.finditer(item):
        token = match[0]
        if token.startswith(b'"'):
            if _COLON.match(item, match.end()):
                key = token
            elif (depth, parent, key) == (2, b'"metadata"', b'"name"'):
                return _decode_string(token)
        elif token in (b"[", b"{"):
            depth += 1
            parent = key if depth == 2 else parent
        elif token in (b"]", b"}"):
            depth -= 1
    return None


def _decode_string(token: bytes) -> str | None:
    try:
        # The standard library's decoder accepts unpaired surrogates.
        decoded = json.loads(token.decode("utf-8", "surrogateescape"))
    except ValueError:
        return None
    return decoded if isinstance(decoded, str) else None

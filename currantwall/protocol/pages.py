"""Splits a JSON array into its items without decoding them.

A decoder checks a page of objects as a whole: a single item with an unpaired
surrogate, invalid UTF-8 or thousands of nested lists makes all others
unreadable. Only brackets, commas and quotes are looked at here.
"""

from collections import abc
import json
import re
import typing

from currantwall.state import hashing

__all__ = ["KnownItems", "Split", "find_name", "split_array"]

_STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'
_SPACE = rb"[ \t\r\n]*+"
# Levels of brackets that one match skips; deeper ones are counted.
_LEVELS = 8


def _nest(inner: bytes) -> bytes:
    return rb'[\[{](?:[^\[\]{}"]++|' + _STRING + inner + rb")*+[\]}]"


_NESTED = b""
for _ in range(_LEVELS):
    _NESTED = b"|" + _nest(_NESTED)
# What may follow within an item, and within brackets inside of it, first with
# and then without further brackets.
_ITEM = re.compile(
    rb'(?:[^\[\]{}",]++|' + _STRING + _NESTED + rb")*+", re.DOTALL
)
_CONTENT = re.compile(
    rb'(?:[^\[\]{}"]++|' + _STRING + _NESTED + rb")*+", re.DOTALL
)
_PLAIN = re.compile(rb'(?:[^\[\]{}"]++|' + _STRING + rb")*+", re.DOTALL)
_WHOLE_STRING = re.compile(_STRING, re.DOTALL)
_OPENERS = re.compile(rb"[\[{]++")
_CLOSERS = re.compile(rb"[\]}]++")
_FIELD = re.compile(
    _SPACE + rb"(" + _STRING + rb")" + _SPACE + rb":" + _SPACE, re.DOTALL
)
_OBJECT = re.compile(_SPACE + rb"\{")
# Bytes that one match looks at.
_STEP = 65_536

# Bytes of the smallest item that is remembered, most items, and the bytes
# that find it again.
_LARGE = 4096
_MAX_KNOWN = 64
_PREFIX = 128

Pause = abc.Callable[[int], None]


class Split(typing.NamedTuple):
    """A JSON object without the items of one of its arrays, and the items."""

    rest: bytes
    items: list[bytes]


def _ignore(_: int) -> None:
    return


def split_array(
    data: bytes, field: str, pause: Pause = _ignore
) -> Split | None:
    """Split the array in a field of a JSON object.

    Args:
        data: The object.
        field: Name of the field.
        pause: Called with numbers of bytes that were looked at.

    Returns:
        The parts; None if there is no such array, or no end of it.
    """
    position = _find_field(data, field, pause)
    if position is None or data[position : position + 1] != b"[":
        return None
    first = begin = position + 1
    items = []
    while (end := _find_end(data, begin, pause)) is not None:
        items.append(data[begin:end])
        begin = end + 1
        if data[end : end + 1] != b",":
            rest = data[:first] + data[end:]
            return Split(rest, [item for item in items if item.strip()])
    return None


def find_name(item: bytes) -> str | None:
    """Return the name in an object's metadata, None if it can't be read."""
    begin = _find_field(item, "metadata", _ignore)
    if begin is None:
        return None
    metadata = item[begin : _find_end(item, begin, _ignore)]
    begin = _find_field(metadata, "name", _ignore)
    if begin is None:
        return None
    end = _find_end(metadata, begin, _ignore)
    return _decode_string(metadata[begin:end].strip())


def _find_field(data: bytes, field: str, pause: Pause) -> int | None:
    """Return where the value of an object's field begins, None without it."""
    name = f'"{field}"'.encode()
    opening = _OBJECT.match(data)
    position = opening.end() if opening else len(data)
    while match := _FIELD.match(data, position):
        if match[1] == name:
            return match.end()
        end = _find_end(data, match.end(), pause)
        if end is None or data[end : end + 1] != b",":
            return None
        position = end + 1
    return None


def _find_end(data: bytes, position: int, pause: Pause) -> int | None:
    """Return where a value ends: at a comma or at the bracket around it.

    Returns:
        The position; None if the data ends before.
    """
    depth = 0
    has_opened = False
    while True:
        begin = position
        pattern = _ITEM
        if depth:
            # Brackets that one match could not skip may be many.
            pattern = _PLAIN if has_opened else _CONTENT
        if match := pattern.match(data, position, position + _STEP):
            position = match.end()
        if opened := _OPENERS.match(data, position):
            position = opened.end()
            depth += position - opened.start()
            has_opened = True
        elif closed := _CLOSERS.match(data, position):
            if not depth:
                return position
            count = min(depth, closed.end() - position)
            position += count
            depth -= count
            has_opened = False
        elif not depth and data[position : position + 1] == b",":
            return position
        elif text := _WHOLE_STRING.match(data, position):
            position = text.end()
        elif position == begin:
            # The end, or a string without one.
            return None
        pause(position - begin)


def _decode_string(token: bytes) -> str | None:
    try:
        # The standard library's decoder accepts unpaired surrogates.
        decoded = json.loads(token.decode("utf-8", "surrogateescape"))
    except (ValueError, RecursionError):
        return None
    return decoded if isinstance(decoded, str) else None


class _KnownItem(typing.NamedTuple):
    prefix: bytes
    size: int
    digest: str
    # Takes the place of the item.
    note: bytes


def _make_note(name: str) -> dict[str, dict[str, str]]:
    return {"metadata": {"name": name, "revision": ""}}


class KnownItems:
    """Large items that can't be read, as of the last page that had them.

    Failure: an item of a megabyte that nobody removes makes each read of its
    page split it again.
    """

    def __init__(self) -> None:
        self._items: list[_KnownItem] = []

    def note(self, items: abc.Iterable[bytes]) -> None:
        """Remember the large ones of items that can't be read."""
        for item in items:
            name = find_name(item) if len(item) >= _LARGE else None
            if name is None or not name.isascii():
                continue
            known = _KnownItem(
                item[:_PREFIX],
                len(item),
                hashing.hash_fields_hex(item),
                # Without a revision that is a number, it can't be read.
                json.dumps(
                    {"metadata": {"name": name, "revision": ""}}
                ).encode(),
            )
            self._items = [known, *self._items][:_MAX_KNOWN]

    def replace(self, data: bytes, pause: Pause) -> bytes:
        """Return a page with a short note in place of each known item.

        What stands in the place of an item is unreadable as well, and has
        its name.
        """
        for known in self._items:
            position = data.find(known.prefix)
            pause(len(data) if position < 0 else position)
            end = position + known.size
            found = memoryview(data)[position:end]
            if (
                position < 0
                or hashing.hash_fields_hex(found) != known.digest
                or data[position - 1 : position] not in (b"[", b",")
                or data[end : end + 1] not in (b"]", b",")
            ):
                continue
            data = b"".join((data[:position], known.note, data[end:]))
            pause(known.size)
        return data

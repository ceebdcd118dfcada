"""Bounded numbers and names, as decoders accept them from other writers.

A JSON integer has any number of digits. One beyond 64 bits can't be sent to
a peer, one beyond the range of a double fails in arithmetic, and text of
more than 4,300 digits isn't converted at all.
"""

import typing

import msgspec

__all__ = [
    "REVISION_DIGITS",
    "Count",
    "Duration",
    "Name",
    "Rate",
    "Signed",
    "parse_count",
]

# The integers that a double, and each JSON parser, represents exactly.
_MAX_COUNT = 2**53 - 1
_MAX_DIGITS = 15
# Most digits of a revision, which has 63 bits.
REVISION_DIGITS = 18
_MAX_NAME_LENGTH = 256
# Ten years in milliseconds.
_MAX_DURATION = 3.2e11

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
Signed = typing.Annotated[int, msgspec.Meta(ge=-_MAX_COUNT, le=_MAX_COUNT)]
# Seconds or milliseconds.
Duration = typing.Annotated[
    float, msgspec.Meta(ge=-_MAX_DURATION, le=_MAX_DURATION)
]
# A rate, factor or other quantity.
Rate = typing.Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
Name = typing.Annotated[str, msgspec.Meta(max_length=_MAX_NAME_LENGTH)]


def parse_count(text: str, most_digits: int = _MAX_DIGITS) -> int | None:
    """Return an integer that a text has in ASCII digits, None if it is none.

    Args:
        text: The text; spaces around the number are ignored.
        most_digits: Digits, without leading zeros, of the largest number.
    """
    digits = text.strip()
    if not (digits.isascii() and digits.isdecimal()):
        return None
    digits = digits.lstrip("0") or "0"
    return int(digits) if len(digits) <= most_digits else None

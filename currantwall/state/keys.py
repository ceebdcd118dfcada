"""Idempotency keys and the entry process that may run them.

A key issued by the system names its home: the one entry process, by node
and incarnation, that may run its request. Its text is
``cw1.<node>.<incarnation>.<period>.<unique part>``. The home counts
periods from its own start; the period limits how long a key is valid.
"""

import msgspec

from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import numbers

__all__ = ["Home", "IssuedKey", "hash_key", "make_prefix", "parse_key"]

_SCHEME = "cw1"
_FIELD_COUNT = 5
# Digits of a number in a key; numbers of more than 4,300 can't be converted.
_MAX_DIGITS = 1000


class Home(msgspec.Struct, frozen=True):
    """The process that may run the request of a key."""

    node: ids.NodeId
    incarnation: ids.Incarnation


class IssuedKey(msgspec.Struct, frozen=True):
    """The parts of a key that was issued by the system."""

    home: Home
    period: int
    unique: str


def make_prefix(home: Home, period: int) -> str:
    """Return the prefix to which a caller appends a unique part."""
    return f"{_SCHEME}.{home.node}.{home.incarnation}.{period}."


def parse_key(text: str) -> IssuedKey | None:
    """Return the parts of an issued key, None for any other key."""
    parts = text.split(".", _FIELD_COUNT - 1)
    if len(parts) != _FIELD_COUNT or parts[0] != _SCHEME or not parts[4]:
        return None
    incarnation = numbers.parse_count(parts[2], _MAX_DIGITS)
    period = numbers.parse_count(parts[3], _MAX_DIGITS)
    if incarnation is None or period is None:
        return None
    home = Home(ids.NodeId(parts[1]), ids.Incarnation(incarnation))
    return IssuedKey(home, period, parts[4])


def hash_key(key: ids.KeyText, scope: str) -> str:
    """Return the object name for a key that a caller chose itself.

    Args:
        key: The caller's key.
        scope: Organisation and service; equal keys of two organisations
            are different keys.
    """
    return hashing.hash_text_hex(f"{scope}\0{key}")

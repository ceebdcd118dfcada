"""Addresses that can be connected to, parsed from the text of others.

`ids.Address` is text that `parse` has accepted. The text of another writer
becomes one where it is decoded; nothing further in parses it again but by
`split`.
"""

import functools
import ipaddress
import re
import typing

from currantwall.state import ids

__all__ = ["is_literal", "parse", "split"]

# An IP address in brackets or a host name, and a port.
_FORM = re.compile(
    r"(?:\[(?P<literal>[^\[\]]{2,64})\]|(?P<name>[A-Za-z0-9._-]{1,253}))"
    r":(?P<port>[0-9]{1,5})"
)
_LABEL = re.compile(r"[A-Za-z0-9_](?:[A-Za-z0-9_-]{0,61}[A-Za-z0-9_])?")
_PORT_LIMIT = 65_536


class HostPort(typing.NamedTuple):
    """A host, without brackets, and a port from 1 to 65,535."""

    host: str
    port: int


def parse(text: str) -> ids.Address | None:
    """Return a ``host:port`` text as an address, None if it is none.

    The host is an IPv4 address, an IPv6 address in brackets or a name as
    DNS resolves it.
    """
    return ids.Address(text) if _split(text) is not None else None


def split(address: str) -> HostPort:
    """Return host and port of an address.

    Raises:
        ConnectionError: The text is no address, so that no connection to it
            can be opened.
    """
    found = _split(address)
    if found is None:
        raise ConnectionError(f"not an address: {address[:80]!r}")
    return found


def is_literal(host: str) -> bool:
    """Return whether a host is an IP address, which needs no resolver."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


@functools.lru_cache(4096)
def _parse_short(text: str) -> HostPort | None:
    match = _FORM.fullmatch(text)
    if match is None:
        return None
    port = int(match["port"])
    if not 0 < port < _PORT_LIMIT:
        return None
    literal, name = match["literal"], match["name"]
    if literal is not None:
        is_valid = literal.isascii() and ":" in literal and is_literal(literal)
        return HostPort(literal, port) if is_valid else None
    return HostPort(name, port) if _is_name(name) else None


def _split(text: str) -> HostPort | None:
    # A longer text is never kept in the cache.
    return _parse_short(text) if len(text) <= 300 else None


def _is_name(name: str) -> bool:
    """Return whether a host is an IPv4 address or a name."""
    labels = name.removesuffix(".").split(".")
    if not all(_LABEL.fullmatch(label) for label in labels):
        return False
    # Resolvers read what ends in a number as an IPv4 address, also where
    # parts of it are missing.
    return not labels[-1].isdecimal() or is_literal(name)

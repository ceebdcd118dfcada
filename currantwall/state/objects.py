"""Objects of the platform's object API, as typed values.

A kind is one collection of the API. Each kind that nodes exchange is
registered here with its struct.
"""

import enum
import typing

import msgspec

from currantwall.state import domain
from currantwall.state import evacuations
from currantwall.state import grants
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import profile
from currantwall.state import stops

__all__ = [
    "Kind",
    "ObjectKey",
    "Stored",
    "WATCHED",
    "decode",
    "encode",
    "hash_material",
]


class Kind(enum.Enum):
    """Collections of the object API that the system uses."""

    PROFILES = "profiles"
    DOMAINS = "domains"
    GRANTS = "grants"
    CLAIMS = "claims"
    STOPS = "stops"
    EVACUATIONS = "evacuations"
    # Entries of the platform's instance list. They are treated as objects
    # so that the same versions and anti-entropy apply; never written.
    INSTANCES = "instances"


# Kinds that every node watches. Claims are read only when needed.
WATCHED = (
    Kind.PROFILES,
    Kind.DOMAINS,
    Kind.GRANTS,
    Kind.STOPS,
    Kind.EVACUATIONS,
)


class ObjectKey(msgspec.Struct, frozen=True, order=True):
    """Kind and name of a stored object."""

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


class Stored(msgspec.Struct, frozen=True):
    """One stored value.

    Attributes:
        value: The encoded value; empty if the object is deleted.
        version: Increases with every write, also across a deletion.
    """

    key: ObjectKey
    version: ids.Version
    value: bytes = b""


_STRUCTS: dict[str, type[msgspec.Struct]] = {
    Kind.PROFILES.value: profile.Profile,
    Kind.DOMAINS.value: domain.Domain,
    Kind.GRANTS.value: grants.Grants,
    Kind.STOPS.value: stops.Stop,
    Kind.EVACUATIONS.value: evacuations.Evacuation,
    Kind.INSTANCES.value: instances.Instance,
}
_DECODERS = {
    kind: msgspec.json.Decoder(struct) for kind, struct in _STRUCTS.items()
}


def hash_material(stored: Stored, value: typing.Any) -> int:
    """Return a hash that changes when other nodes need the new version.

    A renewed lease changes the version of a domain's ledger, but nothing
    that other nodes use, so it does not change this hash.
    """
    text = f"{stored.key} {stored.version}"
    if isinstance(value, domain.Domain):
        text = f"{stored.key} {value.serial} {value.epoch}"
    return hashing.hash_text(text)


def encode(value: msgspec.Struct) -> bytes:
    """Return the stored form of a value."""
    return msgspec.json.encode(value)


def decode(stored: Stored) -> typing.Any:
    """Return the typed value, None if deleted or of an unknown kind."""
    decoder = _DECODERS.get(stored.key.kind)
    if decoder is None or not stored.value:
        return None
    return decoder.decode(stored.value)

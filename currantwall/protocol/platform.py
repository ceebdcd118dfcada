"""The platform's object API and instance list, as JSON over HTTP.

``GET /v1/objects``               all objects of ``kinds``
``GET /v1/objects/KIND/NAME``     one object
``PUT /v1/objects/KIND/NAME``     conditional on ``expected``
``DELETE /v1/objects/KIND/NAME``  conditional on ``expected``
``GET /v1/watch``                 changes after ``since``; waits for one
``GET /v1/instances``             live and leaving instances; 304 if the
                                  revision is still ``since``
"""

import msgspec

from currantwall.coordination import messages
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects

__all__ = [
    "CONFLICT",
    "GONE",
    "Instances",
    "Listed",
    "NOT_MODIFIED",
    "Listing",
    "Object",
    "decode_instances",
    "decode_listing",
    "encode_listing",
]

# Status codes.
NOT_MODIFIED = 304
CONFLICT = 412
GONE = 410


class Object(msgspec.Struct, omit_defaults=True):
    """An object on the wire; its value is null or absent if deleted."""

    kind: str
    name: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b"")


class Listing(msgspec.Struct):
    """Objects at a revision of the store."""

    revision: int
    objects: list[Object]


class Listed(msgspec.Struct):
    """An instance of the instance list and its version."""

    version: int
    instance: instances.Instance


class Instances(msgspec.Struct):
    """The instance list at a revision."""

    revision: int
    instances: list[Listed]


def encode_listing(revision: int, stored: list[objects.Stored]) -> bytes:
    """Return the JSON of a listing."""
    listed = [
        Object(
            item.key.kind,
            item.key.name,
            item.version,
            msgspec.Raw(item.value or b"null"),
        )
        for item in stored
    ]
    return msgspec.json.encode(Listing(revision, listed))


def decode_listing(
    data: bytes,
) -> tuple[ids.Version, tuple[objects.Stored, ...]]:
    """Return the revision and the objects in a listing's JSON."""
    listing = msgspec.json.decode(data, type=Listing)
    stored = []
    for item in listing.objects:
        value = bytes(item.value)
        stored.append(
            objects.Stored(
                objects.ObjectKey(item.kind, item.name),
                ids.Version(item.version),
                b"" if value == b"null" else value,
            )
        )
    return ids.Version(listing.revision), tuple(stored)


def decode_instances(
    call: ids.CallId, data: bytes
) -> messages.InstancesListed:
    """Return the instance list in a JSON body as a message.

    Args:
        call: Id of the call that the body answers.
        data: The body.
    """
    body = msgspec.json.decode(data, type=Instances)
    listed = tuple(
        (item.instance, ids.Version(item.version)) for item in body.instances
    )
    status = messages.PlatformStatus.OK
    revision = ids.Version(body.revision)
    return messages.InstancesListed(call, status, listed, revision)

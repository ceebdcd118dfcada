"""Planned stops, by which operators have something drained."""

import enum

import msgspec

__all__ = ["Stop", "StopScope"]


class StopScope(enum.Enum):
    """What a stop drains."""

    INSTANCE = "instance"
    DOMAIN = "domain"
    DATACENTRE = "datacentre"
    ENTRY = "entry"


class Stop(msgspec.Struct, frozen=True, kw_only=True):
    """Value of ``stops/<id>``.

    Attributes:
        target: Name of the instance, domain, data centre or entry.
        planned: Time of the operator's call, in seconds since the Unix
            epoch.
    """

    id: str
    scope: StopScope
    target: str
    reason: str = ""
    planned: float = 0.0

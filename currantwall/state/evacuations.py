"""Evacuated data centres, as operators request and nodes report them."""

import msgspec

from currantwall.state import ids

__all__ = ["Evacuation", "EvacuationReport"]


class Evacuation(msgspec.Struct, frozen=True, kw_only=True):
    """Value of ``evacuations/<data centre>`` in the product's own interface.

    Attributes:
        name: The data centre.
        requested: Time of the operator's call, in seconds since the Unix
            epoch.
    """

    name: str = ""
    reason: str = ""
    requested: float = 0.0


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """The data centres that are evacuated, as of a revision of the store.

    Attributes:
        revision: Revision of the store; the highest one wins.
        datacentres: The evacuated data centres, sorted.
        retained_for: Seconds for which these stay evacuated whatever the
            store lists, since it was restored; 0 otherwise.
    """

    revision: int
    datacentres: tuple[ids.DatacentreName, ...] = ()
    retained_for: float = 0.0

"""Evacuated data centres, as nodes report them to each other."""

import msgspec

from currantwall.state import ids

__all__ = ["EvacuationReport"]


class EvacuationReport(msgspec.Struct, frozen=True, array_like=True):
    """The data centres that are evacuated, as of a revision of the store.

    Attributes:
        revision: Revision of the store; the highest one wins.
        datacentres: The evacuated data centres, sorted.
    """

    revision: int
    datacentres: tuple[ids.DatacentreName, ...] = ()

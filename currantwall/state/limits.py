"""Limits on the requests that upstreams take, as nodes tell each other."""

import msgspec

__all__ = ["LimitReport"]


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What an answer of an upstream said about its limit.

    Attributes:
        rate: Requests a second that it takes from all nodes together; None
            if it named no limit.
        age: Seconds since the answer came.
    """

    rate: float | None
    age: float

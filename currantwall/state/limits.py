"""Limits on the requests that upstreams take, as nodes tell each other."""

import msgspec

from currantwall.state import ids

__all__ = ["LimitReport", "ShareGrant", "ShareRequest"]


class LimitReport(
    msgspec.Struct, frozen=True, array_like=True, omit_defaults=True
):
    """What an answer of an upstream said about its limit.

    Attributes:
        rate: Requests a second that it takes from all nodes together; None
            if it named no limit.
        age: Seconds since the answer came.
        cold_left: Seconds for which it was cold then, in reports that an
            upstream is cold.
    """

    rate: float | None
    age: float
    cold_left: float = 0.0


class ShareRequest(msgspec.Struct, frozen=True, tag="share_request"):
    """Asks a holder of limits for a part of its shares.

    Attributes:
        node: The sender.
        serial: Number that the answer repeats.
        wanted: Number of requests that wait for each limit.
    """

    node: ids.NodeId
    serial: int
    wanted: dict[str, int]


class ShareGrant(msgspec.Struct, frozen=True, tag="share_grant"):
    """Grants another node a part of this node's shares.

    Attributes:
        serial: Number of the request that it answers.
        granted: Number of requests that may be sent, by limit.
        node: The sender.
        retry_after: Seconds after which to ask again, by limit, where less
            was granted than was asked for.
    """

    serial: int
    granted: dict[str, int]
    node: ids.NodeId = ids.NodeId("")
    retry_after: dict[str, float] = {}

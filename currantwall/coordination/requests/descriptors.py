"""How a process divides its descriptors among its connections.

Failure: callers take all descriptors of a node. It can't open connections
to upstreams, peers or the store any more, nor answer whether it is ready.
What callers may take is bounded; the rest is left to all others.
"""

import msgspec

__all__ = ["Shares", "divide"]

# Descriptors that are not for sockets.
_FILES = 200
# Most connections of callers that are served at the same time where
# descriptors are not the limit.
_MAX_FRONT = 900
# Parts of the descriptors: connections of callers that are open, the same
# with those that are closed and still being read, and connections to the
# other listening sockets.
_FRONT_SHARE = 0.6
_HELD_SHARE = 0.65
_DIRECTORY_SHARE = 0.06
_PEER_SHARE = 0.06
_STATUS_SHARE = 0.02
# Part of the descriptors for idle connections to upstreams, and to peers.
_IDLE_SHARE = 0.1


class Shares(msgspec.Struct, frozen=True, kw_only=True):
    """Most connections of each kind.

    Attributes:
        front: Callers' open connections.
        held: The same with those that are closed, while their callers
            still read the end of an answer.
        directory: Connections of callers that look up addresses.
        peer: Connections of other nodes.
        status: Connections to each of the pages for readiness and metrics.
        idle: Idle connections to upstreams, and as many to peers.
    """

    front: int = _MAX_FRONT
    held: int = 65_536
    directory: int = _MAX_FRONT
    peer: int = _MAX_FRONT
    status: int = _MAX_FRONT
    idle: int = 65_536


def divide(descriptors: int | None) -> Shares:
    """Return the shares of a number of descriptors, None if unlimited."""
    if descriptors is None:
        return Shares()
    sockets = descriptors - min(_FILES, descriptors // 2)

    def share(part: float) -> int:
        return max(1, int(sockets * part))

    return Shares(
        front=min(_MAX_FRONT, share(_FRONT_SHARE)),
        held=share(_HELD_SHARE),
        directory=min(_MAX_FRONT, share(_DIRECTORY_SHARE)),
        peer=min(_MAX_FRONT, share(_PEER_SHARE)),
        status=min(_MAX_FRONT, share(_STATUS_SHARE)),
        idle=share(_IDLE_SHARE),
    )

"""Settings of a gateway process, as its deployment gives them."""

import msgspec

from currantwall.state import ids

__all__ = ["GatewaySettings"]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """What one process is told about itself.

    Attributes:
        front: Address for callers' requests.
        ready: Address that answers whether requests are taken.
        directory: Address where callers ask for addresses.
        heartbeats: UDP address for the other nodes.
        peer: TCP address for the other nodes.
        metrics: TCP address of the scrape page.
        address_ttl: Seconds for which callers may keep an answer.
        repeat_ratio: Repeats per request that all nodes may send.
        repeat_slack: Repeats allowed beyond that.
        repeat_window: Seconds over which repeats are counted.
        grace: Seconds from the request to stop until the process is
            killed.
        drain: Seconds for which callers still come after a stop began.
        capacity: What it can carry, 1 for a whole core on a link of
            100 Mbit/s; the scarcer of the two counts.
    """

    node: ids.NodeId
    datacentre: ids.DatacentreName
    front: str
    ready: str
    directory: str
    heartbeats: str
    peer: str
    metrics: str
    address_ttl: float = 2.0
    repeat_ratio: float = 0.1
    repeat_slack: float = 0.0
    repeat_window: float = 10.0
    grace: float = 8.0
    drain: float = 3.0
    capacity: float = 1.0

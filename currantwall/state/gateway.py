"""Settings of a gateway process, as given by its deployment."""

import msgspec

from currantwall.state import ids

__all__ = ["GatewaySettings"]


class GatewaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of one gateway process.

    Attributes:
        front: Address for callers' requests.
        ready: Address of the readiness check.
        directory: Address where callers look up the addresses of nodes.
        heartbeats: UDP address for the other nodes.
        peer: TCP address for the other nodes.
        metrics: TCP address that serves the metrics.
        address_ttl: Seconds for which callers may cache an answer of the
            directory.
        repeat_ratio: Retries per request that all nodes together may send.
        repeat_slack: Number of retries allowed beyond that.
        repeat_window: Seconds over which retries are counted.
        grace: Seconds from the request to stop until the process is
            killed.
        apply_bound: Seconds from a change of the configuration until it must
            be in force.
        drain: Seconds for which requests still arrive after a stop began.
        capacity: Relative capacity of the node; 1 is a whole core on a
            link of 100 Mbit/s, and the scarcer of the two counts.
        evacuation_bound: Seconds from the request to evacuate a data centre
            until no more requests may reach it; None where there are no
            evacuations.
        cold_overshoot: Factor on the rate that a cold upstream sustains,
            for the requests that it gets in any second from all nodes.
        cold_slack: Number of such requests allowed beyond that.
        memory: Bytes of memory that the process may use; None if what it
            holds for callers is not bounded.
        descriptors: Descriptors that the process may have open, with those
            for files; None if their number is not bounded.
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
    apply_bound: float = 2.0
    drain: float = 3.0
    capacity: float = 1.0
    evacuation_bound: float | None = None
    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    memory: int | None = None
    descriptors: int | None = None

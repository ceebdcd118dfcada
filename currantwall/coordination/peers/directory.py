"""Chooses the node addresses that a caller is given.

Callers pick one of their addresses at random for each connection, while
one node can carry six times the load of another. A node is therefore given
to a share of the callers in proportion to its capacity, and the largest
nodes are given to all. A caller's addresses stay the same as long as the
nodes do, because it closes its connections to an address that it is no
longer given.
"""

from collections import abc

from currantwall.coordination.peers import presence as presence_module
from currantwall.state import hashing

__all__ = ["choose_addresses"]

# Addresses in one answer; the platform's callers read no more.
_MAX_ADDRESSES = 64
# Addresses that a caller gets where there are as many nodes: some of them
# may be gone before it asks again.
_MIN_ADDRESSES = 8
# Number of values of `hashing.hash_text`.
_HASH_RANGE = float(2**64)


def choose_addresses(
    nodes: abc.Iterable[presence_module.NodeEntry], caller: str
) -> list[str]:
    """Return the addresses for one caller.

    Args:
        nodes: The nodes that take requests.
        caller: A stable identifier of the caller.
    """
    listed = list(nodes)
    max_capacity = max((node.capacity for node in listed), default=1.0)
    draws = []
    for node in listed:
        point = hashing.hash_text(f"{caller}\0{node.id}") / _HASH_RANGE
        share = node.capacity / max_capacity if max_capacity > 0 else 1.0
        # A draw is below 1 with a probability of the node's share. If too
        # few nodes are drawn, those with the lowest draws are taken.
        draws.append((point / max(share, 1e-6), node.front))
    draws.sort()
    chosen = [front for draw, front in draws if draw < 1.0]
    if len(chosen) < _MIN_ADDRESSES:
        chosen = [front for _, front in draws[:_MIN_ADDRESSES]]
    return sorted(chosen[:_MAX_ADDRESSES])

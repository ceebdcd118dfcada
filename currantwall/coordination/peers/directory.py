"""Which nodes a caller is told to connect to.

The load it answers: callers pick one of the addresses at random for each
connection, over nodes of which one can carry six times what another can.
A node is therefore named to as many callers as it can carry work, the
largest ones to all. What a caller is told stays the same while the nodes
do: it gives up its connections to an address that it is no longer told.
"""

from collections import abc

from currantwall.coordination.peers import presence as presence_module
from currantwall.state import hashing

__all__ = ["choose_addresses"]

# Addresses in one answer to a caller; the platform's callers read no more.
_LIMIT = 64
# Addresses that a caller should have where there are as many: some of
# them may be gone before it asks again.
_ENOUGH = 8
_SCALE = float(2**64)


def choose_addresses(
    nodes: abc.Iterable[presence_module.NodeEntry], caller: str
) -> list[str]:
    """Return the addresses for one caller.

    Args:
        nodes: The nodes that take requests.
        caller: What tells this caller from others and stays the same.
    """
    listed = list(nodes)
    largest = max((one.capacity for one in listed), default=1.0)
    draws = []
    for one in listed:
        point = hashing.hash_text(f"{caller}\0{one.id}") / _SCALE
        share = one.capacity / largest if largest > 0 else 1.0
        # Below 1 with a probability of the node's share; the lowest are
        # also the ones to take where too few are.
        draws.append((point / max(share, 1e-6), one.front))
    draws.sort()
    chosen = [front for draw, front in draws if draw < 1.0]
    if len(chosen) < _ENOUGH:
        chosen = [front for _, front in draws[:_ENOUGH]]
    return sorted(chosen[:_LIMIT])

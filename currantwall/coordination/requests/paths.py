"""Tells a node without a path to upstreams from upstreams that are down.

Failure: a node is partitioned from all upstreams, while callers, the store
and other nodes reach it. Each of its failed connections counts against the
upstream it was for: requests are refused, sound replicas are reported as
lost, and callers are sent to the node all the while.

A failed connection therefore starts a check: connections to a few other
upstreams, which have little in common. If none can be opened, the path is
lost until several checks in a row have opened one. Meanwhile the node sends
requests by way of a peer that has a path.
"""

from collections import abc
import math

from currantwall.coordination.peers import presence as presence_module
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Paths"]

# Upstreams that a check tries to connect to.
_CHECKED_UPSTREAMS = 4
# Successful checks in a row after which a lost path is found again: a node
# that reaches a few of many upstreams would change its mind all the time.
_CHECKS_TO_FIND = 3
# Seconds for which a peer that could not forward a request is avoided.
_AVOID_PEER_SECONDS = 1.0
# Smallest share of the nodes that all callers may be sent to. If fewer have
# a path, the others take callers too and forward their requests.
_MIN_NAMED_SHARE = 1 / 3
_HASH_RANGE = float(2**64)

Node = presence_module.NodeEntry


class Paths:
    """What is known of this node's path to upstreams, and of peers' paths.

    All times are monotonic, in seconds.
    """

    def __init__(self, presence: presence_module.Presence) -> None:
        self._presence = presence
        self._reached_at = -math.inf
        # Successful checks in a row while the path is lost.
        self._successes = 0
        # Peers without a path when this node's was last checked for that.
        self._pathless = 0
        # Until when peers are avoided.
        self._avoided: dict[ids.NodeId, float] = {}

    @property
    def node(self) -> ids.NodeId:
        """Return this node."""
        return self._presence.me.id

    # -- This node's path

    @property
    def is_lost(self) -> bool:
        """Return whether this node can open no connection to an upstream."""
        return not self._presence.has_path

    def note_reached(self, now: float) -> None:
        """Note a new connection to an upstream."""
        self._reached_at = now

    def note_check(self, has_reached: bool) -> bool:
        """Note a check; return whether `is_lost` has changed.

        Args:
            has_reached: Whether a connection was opened.
        """
        before = self.is_lost
        self._successes = self._successes + 1 if has_reached else 0
        if not has_reached:
            self._presence.has_path = False
        elif self._successes >= _CHECKS_TO_FIND:
            self._presence.has_path = True
        return self.is_lost is not before

    def is_check_due(self, now: float) -> bool:
        """Return whether to check the path without a failure.

        Failure: several nodes are cut together, and one that has sent
        nothing since is asked to forward what it can't.
        """
        before, self._pathless = (
            self._pathless,
            self._presence.count_pathless(now),
        )
        return self.is_lost or self._pathless > before

    def is_proven(self, since: float) -> bool:
        """Return whether a connection was opened after a time."""
        return not self.is_lost and self._reached_at >= since

    @staticmethod
    def choose_checked(
        listed: abc.Iterable[upstreams.Upstream],
        salt: str,
        services: abc.Container[ids.ServiceName] = (),
        rank: abc.Callable[[upstreams.Upstream], int] = lambda _: 0,
        limit: int = _CHECKED_UPSTREAMS,
    ) -> list[upstreams.Upstream]:
        """Return the upstreams to connect to in a check.

        They are of different domains and services where there are several.

        Failure: many entries are of services that nobody uses any more, and
        nothing listens at their addresses. A node that tries only these
        takes its path for lost and refuses all requests.

        Args:
            listed: All upstreams.
            salt: Text that is hashed to choose others each time.
            services: The services that requests are sent to; empty if they
                are not known.
            rank: Returns a number that is lower for upstreams that are to
                be chosen first.
            limit: Most upstreams.
        """
        used = (
            one for one in listed if not services or one.service in services
        )
        ranked = sorted(
            used, key=lambda one: hashing.hash_text(f"{salt}\0{one.id}")
        )
        groups: dict[tuple[str, str, str], int] = {}
        keyed = []
        for position, upstream in enumerate(ranked):
            group = (upstream.service, upstream.datacentre, upstream.domain)
            count = groups[group] = groups.get(group, 0) + 1
            keyed.append((rank(upstream), count, position, upstream))
        keyed.sort(key=lambda item: item[:3])
        return [item[3] for item in keyed[:limit]]

    @property
    def reached_at(self) -> float:
        """Return when a connection to an upstream was last opened."""
        return self._reached_at

    # -- Peers

    def is_cut_off(self, now: float) -> bool:
        """Return whether other nodes have a path and this one has none."""
        return self.is_lost and bool(self._presence.list_with_path(now))

    def avoid_peer(self, node: ids.NodeId, now: float) -> None:
        """Note a peer that could not forward a request."""
        self._avoided[node] = now + _AVOID_PEER_SECONDS

    def choose_peer(self, salt: str, now: float) -> Node | None:
        """Return the peer to send a request by way of, None if none can.

        Peers of this data centre are preferred if at least as many of them
        have a path as have none. One that is avoided is better than none.

        Args:
            salt: Text that is hashed to spread requests over the peers.
            now: Monotonic time.
        """
        able = self._presence.list_with_path(now)
        able = [
            node
            for node in able
            if self._avoided.get(node.id, -math.inf) <= now
        ] or able
        here = self._presence.me.datacentre
        local = [node for node in able if node.datacentre == here]
        ready = [
            node
            for node in self._presence.list_ready(now)
            if node.datacentre == here
        ]
        if 2 * len(local) > len(ready):
            able = local
        return min(
            able, key=lambda node: _draw_weighted(salt, node), default=None
        )

    def list_named(self, now: float, is_ready: bool) -> list[Node]:
        """Return the nodes that callers are sent to.

        Args:
            now: Monotonic time.
            is_ready: Whether this node takes requests.
        """
        nodes = self._presence.list_ready(now)
        able = self._presence.list_with_path(now)
        if is_ready:
            nodes.append(self._presence.me)
            if not self.is_lost:
                able.append(self._presence.me)
        return able if len(able) > _MIN_NAMED_SHARE * len(nodes) else nodes


def _draw_weighted(salt: str, node: Node) -> float:
    """Return a number that is lowest with a probability by capacity."""
    point = (hashing.hash_text(f"{salt}\0{node.id}") + 1) / (_HASH_RANGE + 2)
    return -math.log(point) / max(node.capacity, 1e-6)

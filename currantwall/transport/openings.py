"""Tries again to connect to upstreams that could not be connected to.

`coordination.requests.reachability` decides which node tries which of them,
and when.
"""

import eventlet
import eventlet.greenpool

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import paths as paths_module
from currantwall.coordination.requests import reachability as reach
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import exchanges
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["Openings"]

# Seconds between two looks for suspects that are due.
_INTERVAL = 0.25
# Timeout of a connection, in seconds, and most that are opened at once.
_TIMEOUT = 0.3
_MAX_AT_ONCE = 32
# Seconds for which a connection is kept for reuse.
_KEEP_ALIVE = 2.0
# Most names of upstreams in one field of a log line.
_NAMES_LIMIT = 8
_SUSPECTS = "currantwall.instances.unreachable"
_TRIED = "currantwall.instances.tried"


class Openings:
    """Tries the suspects that are this node's turn."""

    def __init__(
        self,
        reachability: reach.Reachability,
        fleet: upstreams.Fleet,
        presence: presence_module.Presence,
        paths: paths_module.Paths,
        connections: exchanges.Connections,
        meter: metrics_module.Metrics,
        log: journal.Journal,
    ) -> None:
        self._reachability = reachability
        self._fleet = fleet
        # Generation of the fleet that was last looked at.
        self._generation = 0
        self._presence = presence
        self._paths = paths
        self._connections = connections
        self._now = connections.now
        self._meter = meter
        self._log = log
        # The suspects as last logged.
        self._reported: set[ids.InstanceId] = set()
        self._pool = eventlet.greenpool.GreenPool(_MAX_AT_ONCE)

    def run(self) -> None:
        """Try suspects and new upstreams forever."""
        while True:
            eventlet.sleep(_INTERVAL)
            self._report()
            if self._paths.is_lost:
                continue
            due = self.list_due()
            if due:
                self._meter.add(_TRIED, len(due))
            for upstream in due:
                self._pool.spawn_n(self._try, upstream)

    def list_due(self) -> list[upstreams.Upstream]:
        """Return the upstreams that this node should try to connect to now."""
        me = self._presence.me.id
        due = []
        if self._reachability.has_suspects:
            now = self._now()
            reaching = self._presence.list_with_path(now)
            nodes = sorted({me, *(node.id for node in reaching)})
            due += self._reachability.list_due(nodes, me, now)
        is_changed = self._generation != self._fleet.generation
        # Failure: all nodes start at once, none has heard of another yet, and
        # each connects to every upstream.
        if is_changed and self._presence.knows_all_nodes:
            self._generation = self._fleet.generation
            peers = self._presence.list_peers()
            nodes = sorted({me, *(node.id for node in peers)})
            plain = (one for one in self._fleet.all() if not one.domain)
            due += self._reachability.list_new(plain, nodes, me)
        return due

    def _report(self) -> None:
        """Set the metric, and log which upstreams have become suspects."""
        suspects = self._reachability.list_suspects()
        if suspects == self._reported:
            return
        added, removed = suspects - self._reported, self._reported - suspects
        self._reported = suspects
        self._meter.set(_SUSPECTS, len(suspects))
        self._log.write(
            "upstreams_unreachable",
            added=sorted(added)[:_NAMES_LIMIT],
            reached=sorted(removed)[:_NAMES_LIMIT],
            total=len(suspects),
        )

    def _try(self, upstream: upstreams.Upstream) -> None:
        try:
            connection = self._connections.open(
                upstream.id, upstream.address, _TIMEOUT
            )
            self._connections.give_back(upstream.id, connection, _KEEP_ALIVE)
        except exchanges.Exhausted:
            return
        except exchanges.FAILURES:
            if not self._paths.is_lost:
                self._reachability.note_unreached(upstream, self._now())

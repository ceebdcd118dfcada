"""Leases without comparing two clocks.

A holder counts its lease from before it sent the renewal and stops early
by a margin. A taker counts the whole ttl from its own first sight of the
unchanged version. Whatever the clocks say, the holder stops before a
taker may begin; and if a pause makes the holder miss its deadline, the
taker has changed the object and the holder's conditional write fails.
"""

from currantwall.state import domain
from currantwall.state import ids

__all__ = ["LeaseTracker", "is_candidate", "may_take"]

# Writes remembered to date a lease that is settled by reading back.
_SENT_LIMIT = 8
# Nodes that may try for a lease, one after the other. The store may turn
# away a third of the nodes while it serves the others: with six, one in
# 700 leases finds nobody that can write it.
_CANDIDATES = 6


class LeaseTracker:
    """What this process knows about the lease of one domain."""

    def __init__(
        self, node: ids.NodeId, incarnation: ids.Incarnation, margin: float
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._margin = margin
        self._version: ids.Version | None = None
        self._first_seen = 0.0
        self._sent: dict[ids.AttemptId, float] = {}
        self._deadline = 0.0
        self._lease: domain.Lease | None = None

    @property
    def deadline(self) -> float:
        """Return until when this process may act as the holder."""
        return self._deadline

    def holds(self, now: float) -> bool:
        """Return whether this process may act as the holder."""
        return now < self._deadline

    def is_mine(self) -> bool:
        """Return whether the last version seen names this process."""
        lease = self._lease
        return lease is not None and lease.belongs_to(
            self._node, self._incarnation
        )

    def is_lapsed(self, now: float) -> bool:
        """Return whether this process may take the lease.

        Its own lease that ran out, as in an outage of the platform, it
        may take again at once: nobody else can hold it unless the
        version has changed.
        """
        if self._version is None or self.holds(now):
            return False
        if self._lease is None or self.is_mine():
            return True
        return now >= self._first_seen + self._lease.ttl

    def is_silent(self, now: float, seconds: float) -> bool:
        """Return whether nobody else's renewal was seen for some time."""
        if self.holds(now):
            return False
        return self._version is None or now - self._first_seen > seconds

    def note_sent(self, attempt: ids.AttemptId, now: float) -> None:
        """Remember when a write was sent, before it is."""
        self._sent[attempt] = now
        while len(self._sent) > _SENT_LIMIT:
            del self._sent[next(iter(self._sent))]

    def see(
        self, version: ids.Version, held: domain.Domain | None, now: float
    ) -> None:
        """Take note of a version read or written."""
        if self._version is not None and version < self._version:
            return
        if version != self._version:
            self._version = version
            self._first_seen = now
        self._lease = held.lease if held else None
        sent = self._sent.get(held.attempt) if held else None
        if self.is_mine() and sent is not None:
            ttl = self._lease.ttl if self._lease else 0.0
            until = sent + ttl - self._margin
            self._deadline = max(self._deadline, until)
        elif not self.is_mine():
            self._deadline = 0.0


def is_candidate(place: int) -> bool:
    """Return whether a place in the order of preference is good enough."""
    return place < _CANDIDATES


def may_take(
    tracker: LeaseTracker, place: int, patience: float, now: float
) -> bool:
    """Return whether a node should try for a lease now.

    The load it answers: a holder is lost and all nodes see its lease
    lapse in the same tenth of a second; each try is a paid write of which
    one succeeds.

    Args:
        tracker: What the node knows of the lease.
        place: Its place in the order of preference, 0 first.
        patience: Seconds that each candidate gives the one before it.
        now: Monotonic time.
    """
    if not is_candidate(place) or not tracker.is_lapsed(now):
        return False
    return tracker.is_lapsed(now - place * patience)

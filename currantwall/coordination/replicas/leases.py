"""Leases that do not depend on synchronised clocks.

A holder measures the TTL from before it sent the renewal and stops a
margin before the end. Another node that wants the lease measures the
whole TTL from when it first saw the current version. The holder thus
always stops before another node may take the lease. If a pause makes the
holder miss its deadline, the new holder has changed the object, and the
old holder's conditional write fails.

When the store comes back from an older copy, the stored lease may be that of
an earlier holder, and the last one may hold it still. A process that does not
hold the lease itself then waits the whole TTL, whatever the store shows.
"""

from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import revisions

__all__ = ["Fence", "LeaseTracker", "is_candidate", "may_take"]

# Number of writes whose send time is kept. If a lease is confirmed only by a
# later read, its TTL counts from the send time of the write that is stored.
_SENT_WRITE_LIMIT = 8
# Number of nodes that may try to take a lease, one after the other. The
# store may refuse a third of the nodes while it serves the others. With six
# candidates, one lease in 700 has none that can write it.
_CANDIDATES = 6


# Fencing tokens that are skipped for each restore of the store, more than
# can have been lost: a lease changes hands once in a second at most, and a
# copy is some seconds old.
_LOST_FENCES = 1000


class Fence:
    """The newest fencing token of a lease that is known.

    Attributes:
        number: The token; 0 before the first.
        era: The store's era in which it was the newest.
    """

    def __init__(self) -> None:
        self.number = 0
        self.era = 0

    def note(self, number: int, era: int) -> None:
        """Record a token unless a newer one is known.

        Args:
            number: The token.
            era: The store's era in which its holder wrote it.
        """
        if number >= self.number:
            self.number = number
            self.era = max(era, self.era)

    def get_next(self, era: int) -> int:
        """Return the token of a new holder, which none had before.

        Args:
            era: The store's present era.
        """
        return self.number + 1 + _LOST_FENCES * max(era - self.era, 0)


class LeaseTracker:
    """The lease of one domain as this process knows it."""

    def __init__(
        self,
        node: ids.NodeId,
        incarnation: ids.Incarnation,
        margin: float,
        ttl: float,
        is_managed: bool = False,
    ) -> None:
        """Create the tracker of a lease that has not been read yet.

        Args:
            node: The node of this process.
            incarnation: The start of this process.
            margin: Seconds before the end of the lease at which the holder
                stops acting.
            ttl: Seconds for which a lease holds.
            is_managed: Whether another process may hold the lease, even if
                the first version that is read says otherwise.
        """
        self._node = node
        self._incarnation = incarnation
        self._margin = margin
        self._ttl = ttl
        self._is_managed = is_managed
        self._version: ids.Version | None = None
        self._first_seen = 0.0
        self._sent_at: dict[ids.AttemptId, float] = {}
        self._deadline = 0.0
        self._lease: domain.Lease | None = None
        # Until when a holder that the store has forgotten may act.
        self._forgotten_until = 0.0

    @property
    def deadline(self) -> float:
        """Return the time until which this process may act as the holder."""
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

        It may retake its own lease at once after the lease has expired,
        as in an outage of the platform: no other process can hold the
        lease unless the version has changed.
        """
        if self._version is None or self.holds(now):
            return False
        if now < self._forgotten_until:
            return False
        if self._lease is None or self.is_mine():
            return True
        return now >= self._first_seen + self._lease.ttl

    def is_stale(self, now: float, seconds: float) -> bool:
        """Return whether no renewal by another node was seen for some time."""
        if self.holds(now):
            return False
        return self._version is None or now - self._first_seen > seconds

    def note_sent(self, attempt: ids.AttemptId, now: float) -> None:
        """Record the time of a write; call this before sending it."""
        self._sent_at[attempt] = now
        while len(self._sent_at) > _SENT_WRITE_LIMIT:
            del self._sent_at[next(iter(self._sent_at))]

    def note_forgotten_holder(self, now: float) -> None:
        """Record that another process may hold the lease unknown to the store.

        It holds it for a TTL at most.
        """
        if not self.holds(now):
            self._forgotten_until = now + self._ttl

    def record_version(
        self, version: ids.Version, ledger: domain.Domain | None, now: float
    ) -> None:
        """Record a version of the ledger that was read or written.

        Args:
            version: The version of the stored object.
            ledger: The ledger stored there, None if there is none.
            now: The time.
        """
        if self._version is not None and version < self._version:
            return
        is_restored = self._version is not None and revisions.is_later_era(
            version, self._version
        )
        if is_restored:
            # A late write under a condition of an earlier era may have
            # replaced another holder's lease, and confirms nothing.
            self._sent_at.clear()
        is_first = self._version is None and self._is_managed
        if is_restored or is_first:
            self.note_forgotten_holder(now)
        if version != self._version:
            self._version = version
            self._first_seen = now
        self._lease = ledger.lease if ledger else None
        sent_at = self._sent_at.get(ledger.attempt) if ledger else None
        if self.is_mine() and sent_at is not None:
            ttl = self._lease.ttl if self._lease else 0.0
            deadline = sent_at + ttl - self._margin
            self._deadline = max(self._deadline, deadline)
        elif not self.is_mine() and not is_restored:
            self._deadline = 0.0


def is_candidate(rank: int) -> bool:
    """Return whether the node of this rank, from 0, may take a lease."""
    return rank < _CANDIDATES


def may_take(
    tracker: LeaseTracker, rank: int, delay: float, now: float
) -> bool:
    """Return whether a node should try for a lease now.

    The delay by rank limits the number of writes: when a holder is lost,
    all nodes see its lease expire within a tenth of a second. Each attempt
    is a paid write, and only one of them succeeds.

    Args:
        tracker: What the node knows of the lease.
        rank: Its rank in the order of preference, from 0.
        delay: Seconds that each candidate waits for the one before it.
        now: Monotonic time.
    """
    if not is_candidate(rank) or not tracker.is_lapsed(now):
        return False
    return tracker.is_lapsed(now - rank * delay)

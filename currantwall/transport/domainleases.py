"""Leases of domains in the store; the holder may send orders there.

For each domain one node holds a lease. The order in which nodes try to
take it follows from the domain's name and the live nodes. That only one
node holds it is ensured by the conditional write alone.
"""

from collections import abc

import eventlet
import msgspec
import result

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.replicas import leases
from currantwall.state import domain as domain_module
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.transport import journal
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["KIND", "DomainLease", "DomainLeases"]

KIND = "currantwall-domains"

# Seconds a lease lasts without renewal, and seconds between renewals. A
# killed holder is succeeded after 1.4 to 2.2 s.
_LEASE_TTL = 1.8
_RENEW_INTERVAL = 0.6
# Seconds before the end of the lease at which its holder stops sending
# orders: an order may be in transit that long.
_LEASE_MARGIN = 0.45
# Seconds until a node whose write failed tries again to take the lease.
_RETRY_DELAY = 1.0
# The same for the node that held the lease last: no other node can hold
# it yet.
_HOLDER_RETRY_DELAY = 0.5
# Seconds between two reads of the leases in the store, while some of them
# are missing from the heartbeats.
_READ_INTERVAL = 2.0
# A lease is read from the store if the heartbeats have reported no renewal
# for this many seconds: two renewals and one round of heartbeats.
_STALE_AGE = 1.6


class DomainLease:
    """The lease of one domain as this node sees it."""

    def __init__(
        self, name: ids.DomainName, tracker: leases.LeaseTracker
    ) -> None:
        self.name = name
        self.tracker = tracker
        # Revision of the stored lease, without a number if there is none;
        # None if that is not known yet.
        self.revision: int | None = None
        # Fencing token; rises each time the lease is taken.
        self.fence = leases.Fence()
        # The last known holder, which may have lost the lease meanwhile.
        self.holder = ids.NodeId("")
        self.writing = False
        # Whether this node held it at the last tick.
        self.held = False
        self.next_renewal = 0.0
        self.next_try = 0.0


class DomainLeases:
    """Takes, renews and releases the leases of domains."""

    def __init__(
        self,
        store: ports.Store,
        presence: presence_module.Presence,
        log: journal.Journal,
        clock: timers.TimerService,
    ) -> None:
        self._store = store
        self._presence = presence
        self._log = log
        self._clock = clock
        self._leases: dict[ids.DomainName, DomainLease] = {}
        self._has_read = False
        self._next_read = 0.0
        self._attempts = 0

    def add(self, name: ids.DomainName, is_managed: bool) -> DomainLease:
        """Add a new domain and return its lease.

        Args:
            name: The domain.
            is_managed: Whether it has replicas, so that a node may hold its
                lease already.
        """
        me = self._presence.me
        tracker = leases.LeaseTracker(
            me.id,
            ids.Incarnation(me.incarnation),
            _LEASE_MARGIN,
            _LEASE_TTL,
            is_managed,
        )
        lease = self._leases[name] = DomainLease(name, tracker)
        if self._has_read:
            self._has_read = False
            self._next_read = 0.0
        return lease

    def refresh(self, now: float) -> None:
        """Start to read the leases if this node may take a stale one.

        Only candidates for a stale lease read: of hundreds of nodes only a
        few may ever hold a lease, and each call is paid for.

        Args:
            now: Monotonic time in seconds.
        """
        if now < self._next_read:
            return
        stale_leases = [
            lease
            for lease in self._leases.values()
            if lease.tracker.is_stale(now, _STALE_AGE)
        ]
        if not stale_leases:
            return
        self._next_read = now + _READ_INTERVAL
        if any(self._is_candidate(lease, now) for lease in stale_leases):
            is_strict = self._presence.staleness.is_strict(now)
            may_lag = self._has_read and not is_strict
            eventlet.spawn_n(self._read_leases, may_lag)

    def _is_candidate(self, lease: DomainLease, now: float) -> bool:
        """Return whether this node may take a lease once it has lapsed."""
        return leases.is_candidate(self._find_rank(lease, now))

    def _find_rank(self, lease: DomainLease, now: float) -> int:
        """Return this node's rank among the candidates, 0 for the first."""
        ranking = self._presence.rank(f"domain:{lease.name}", now)
        return ranking.index(self._presence.me.id)

    def is_prober(self, lease: DomainLease, now: float) -> bool:
        """Return whether this node probes a domain whose lease has lapsed.

        Failure: the store is unavailable for seconds, no lease can be
        renewed, and instances are lost meanwhile. No order may be sent
        then, but the probes keep requests away from incomplete replicas.
        """
        if not lease.tracker.is_lapsed(now) or self._presence.is_isolated(now):
            return False
        return self._find_prober(lease, now) == self._presence.me.id

    def _find_prober(self, lease: DomainLease, now: float) -> ids.NodeId:
        """Return the last holder if it may probe, else the first-ranked."""
        if self._presence.may_probe(lease.holder, now):
            return lease.holder
        return self._presence.rank(f"domain:{lease.name}", now)[0]

    def tick(self, lease: DomainLease, now: float) -> bool:
        """Start to take or renew a lease if that is due.

        Args:
            lease: The lease of the domain.
            now: Monotonic time in seconds.

        Returns:
            Whether this node holds the lease now.
        """
        holds = lease.tracker.holds(now)
        if holds != lease.held:
            lease.held = holds
            self._log.write(
                "duty_taken" if holds else "duty_lost",
                domain=lease.name,
                fence=lease.fence.number,
                revision=revisions.describe(lease.revision),
            )
        due = (
            now >= lease.next_renewal if holds else self._may_take(lease, now)
        )
        if due:
            self._start_write(lease, now)
        return holds

    def _read_leases(self, stale: bool) -> None:
        """Read all leases from the store.

        The first read is a fresh one, because a takeover on the basis of a
        stale read fails and has to be repeated. Later reads may be stale,
        which only delays a takeover.

        Args:
            stale: Whether the read may be some seconds old. The first that
                shows that the store was restored is not used, as it may
                show what was before.
        """
        listed = self._store.list(KIND, stale=stale)
        if isinstance(listed, result.Err):
            return
        now = self._clock.now()
        listing = listed.ok_value
        is_restored = self._presence.staleness.note_era(listing.revision, now)
        if stale and is_restored:
            self._read_leases(False)
            return
        found = {stored.name: stored for stored in listing.objects}
        for lease in self._leases.values():
            stored = found.get(lease.name)
            if stored is not None:
                self._record_stored(lease, stored, now)
            elif lease.revision is None or revisions.is_later_era(
                listing.revision, lease.revision
            ):
                # Never taken, or taken after the copy was made from which
                # the store has come back.
                era = revisions.get_era(listing.revision)
                lease.revision = revisions.join(era, 0)
                version = ids.Version(lease.revision)
                lease.tracker.record_version(version, None, now)
        self._has_read = True

    def _record_stored(
        self, lease: DomainLease, stored: ports.StoredObject, now: float
    ) -> None:
        if lease.revision is not None and stored.revision < lease.revision:
            return
        try:
            held = msgspec.json.decode(stored.value, type=domain_module.Domain)
        except ports.UNREADABLE as error:
            # Treated as held by nobody; the next holder overwrites it.
            self._log.write(
                "lease_unreadable", domain=lease.name, why=str(error)
            )
            held = None
        lease.revision = stored.revision
        lease.tracker.record_version(ids.Version(stored.revision), held, now)
        if held is not None and held.lease is not None:
            lease.fence.note(held.lease.epoch, held.lease.era)
            lease.holder = held.lease.holder

    def list_leases(self, now: float) -> dict[str, presence_module.HeldLease]:
        """Return the leases that this node holds, by domain name."""
        me = self._presence.me
        return {
            lease.name: presence_module.HeldLease(
                lease.revision or 0, lease.fence.number, me.id, me.incarnation
            )
            for lease in self._leases.values()
            if lease.tracker.holds(now)
        }

    def note_leases(
        self,
        held: abc.Mapping[str, presence_module.HeldLease],
        now: float,
    ) -> None:
        """Record other nodes' renewals, as their heartbeats report them.

        Heartbeats show a renewal sooner than a read of the store does, so
        a takeover waits from the last renewal and not from the last read.

        Args:
            held: The leases by domain name.
            now: Monotonic time in seconds.
        """
        for name, reported in held.items():
            lease = self._leases.get(ids.DomainName(name))
            if lease is None or lease.tracker.holds(now):
                continue
            if (
                lease.revision is not None
                and reported.revision <= lease.revision
            ):
                if revisions.is_later_era(lease.revision, reported.revision):
                    lease.tracker.note_forgotten_holder(now)
                continue
            lease.revision = reported.revision
            era = revisions.get_era(reported.revision)
            lease.fence.note(reported.epoch, era)
            lease.holder = reported.holder
            reported_lease = domain_module.Lease(
                holder=reported.holder,
                incarnation=ids.Incarnation(reported.incarnation),
                epoch=ids.Epoch(reported.epoch),
                ttl=_LEASE_TTL,
            )
            value = domain_module.Domain(
                name=lease.name,
                datacentre=self._presence.me.datacentre,
                lease=reported_lease,
            )
            lease.tracker.record_version(
                ids.Version(reported.revision), value, now
            )

    def _may_take(self, lease: DomainLease, now: float) -> bool:
        if lease.writing or now < lease.next_try:
            return False
        if not lease.tracker.is_lapsed(now):
            # The usual case; avoids computing the ranking.
            return False
        rank = self._find_rank(lease, now)
        return leases.may_take(lease.tracker, rank, _RENEW_INTERVAL, now)

    def _start_write(self, lease: DomainLease, now: float) -> None:
        if lease.writing:
            return
        lease.writing = True
        lease.next_renewal = now + _RENEW_INTERVAL
        eventlet.spawn_n(self._put_lease, lease, now)

    def _put_lease(self, lease: DomainLease, now: float) -> None:
        me = self._presence.me
        self._attempts += 1
        attempt = ids.AttemptId(f"{me.id}:{me.incarnation}:{self._attempts}")
        era = revisions.get_era(lease.revision or 0)
        fence = lease.fence.number
        if not lease.tracker.holds(now):
            fence = lease.fence.get_next(era)
        value = domain_module.Domain(
            name=lease.name,
            datacentre=me.datacentre,
            lease=domain_module.Lease(
                holder=me.id,
                incarnation=ids.Incarnation(me.incarnation),
                epoch=ids.Epoch(fence),
                ttl=_LEASE_TTL,
                era=era,
            ),
            attempt=attempt,
        )
        lease.tracker.note_sent(attempt, now)
        try:
            outcome = self._store.put(
                KIND, lease.name, msgspec.json.encode(value), lease.revision
            )
            if isinstance(outcome, result.Ok):
                stored = outcome.ok_value
                self._presence.staleness.note_revision(stored.revision, now)
                self._record_stored(lease, stored, self._clock.now())
            else:
                failure = outcome.err_value
                own = lease.tracker.is_mine()
                wait = _HOLDER_RETRY_DELAY if own else _RETRY_DELAY
                lease.next_try = self._clock.now() + wait
                self._log.write(
                    "lease_not_written",
                    domain=lease.name,
                    revision=revisions.describe(lease.revision),
                    why=failure.value,
                )
                if failure is not ports.StoreFailure.UNAVAILABLE:
                    self._read_lease(lease)
                if revisions.get_era(lease.revision or 0) > era:
                    # The store was restored. A holder that waits for the
                    # next renewal loses the lease meanwhile.
                    lease.next_renewal = 0.0
        finally:
            lease.writing = False

    def _read_lease(self, lease: DomainLease) -> None:
        """Read a lease after a write that failed or whose answer was lost."""
        outcome = self._store.get(KIND, lease.name)
        if isinstance(outcome, result.Ok):
            self._record_stored(lease, outcome.ok_value, self._clock.now())
        elif outcome.err_value is ports.StoreFailure.NOT_FOUND:
            self._read_leases(False)

    def find_prober(self, name: ids.DomainName, now: float) -> ids.NodeId:
        """Return the node that probes a domain; empty if it is unknown.

        It is the last holder of the lease if that is live, else the
        first-ranked node.
        """
        lease = self._leases.get(name)
        return self._find_prober(lease, now) if lease else ids.NodeId("")

    def release(self) -> None:
        """Release all leases, so that a successor need not wait."""
        for lease in self._leases.values():
            if lease.tracker.holds(self._clock.now()):
                value = domain_module.Domain(
                    name=lease.name,
                    datacentre=self._presence.me.datacentre,
                    lease=domain_module.Lease(
                        holder=ids.NodeId(""),
                        incarnation=ids.Incarnation(0),
                        epoch=ids.Epoch(lease.fence.number),
                        ttl=0.0,
                        era=lease.fence.era,
                    ),
                )
                data = msgspec.json.encode(value)
                eventlet.spawn_n(
                    self._store.put, KIND, lease.name, data, lease.revision
                )

"""The leases of domains in the store: who may give orders there.

For each domain one node holds a lease. Which node tries first follows
from the domain's name and the live nodes; that it is only one follows
from the conditional write alone.
"""

from collections import abc

import eventlet
import msgspec
import result

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.replicas import leases
from currantwall.state import domain as domain_module
from currantwall.state import ids
from currantwall.transport import journal
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["KIND", "DomainLease", "DomainLeases"]

KIND = "currantwall-domains"

# Seconds a lease lasts without renewal, and between renewals: a holder
# that is killed is succeeded after 1.4 to 2.2 s.
_TTL = 1.8
_RENEWAL = 0.6
# Seconds before its end at which a holder stops giving orders: an order
# may be on its way that long.
_MARGIN = 0.45
# Seconds until a node that failed to take a lease tries again.
_RETRY = 1.0
# The same for the node that held it last: nobody else can have it yet.
_RETRY_OWN = 0.5
# Seconds between two looks at leases of which no node tells.
_LOOK_INTERVAL = 2.0
# Seconds without news of a lease, which comes with the heartbeats, after
# which it is looked at: two renewals and a round of heartbeats.
_UNTOLD = 1.6


class DomainLease:
    """The lease of one domain as this node sees it."""

    def __init__(
        self, name: ids.DomainName, tracker: leases.LeaseTracker
    ) -> None:
        self.name = name
        self.tracker = tracker
        self.revision: int | None = None
        self.fence = 0
        # Who was last seen to hold it.
        self.holder = ids.NodeId("")
        self.writing = False
        self.held = False
        self.next_renewal = 0.0
        self.next_try = 0.0


class DomainLeases:
    """Takes, renews and gives back the leases of domains."""

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
        self._looked = False
        self._next_look = 0.0
        self._attempts = 0

    def add(self, name: ids.DomainName) -> DomainLease:
        """Return the lease of a domain that was not known."""
        me = self._presence.me
        tracker = leases.LeaseTracker(
            me.id, ids.Incarnation(me.incarnation), _MARGIN
        )
        lease = self._leases[name] = DomainLease(name, tracker)
        if self._looked:
            self._looked = False
            self._next_look = 0.0
        return lease

    def look(self, now: float) -> None:
        """Look at the leases in the store if one may be taken unseen.

        The load it answers: hundreds of nodes of which a few may ever hold
        a lease, while each call is paid for.
        """
        if now < self._next_look:
            return
        untold = [
            one
            for one in self._leases.values()
            if one.tracker.is_stale(now, _UNTOLD)
        ]
        if not untold:
            return
        self._next_look = now + _LOOK_INTERVAL
        if any(self._is_candidate(one, now) for one in untold):
            eventlet.spawn_n(self._look)

    def _is_candidate(self, one: DomainLease, now: float) -> bool:
        """Return whether this node may try for a lease when it is free."""
        return leases.is_candidate(self._find_place(one, now))

    def _find_place(self, one: DomainLease, now: float) -> int:
        """Return this node's place in the order of preference."""
        rank = self._presence.rank(f"domain:{one.name}", now)
        return rank.index(self._presence.me.id)

    def is_prober(self, one: DomainLease, now: float) -> bool:
        """Return whether this node looks for losses in a lapsed domain.

        The load pattern: the store is away for seconds, no lease can be
        renewed, and instances are lost all the same. No order may be given
        then, but callers need not be sent to replicas that are not whole.
        """
        if not one.tracker.is_lapsed(now) or self._presence.is_isolated(now):
            return False
        return self._find_prober(one, now) == self._presence.me.id

    def _find_prober(self, one: DomainLease, now: float) -> ids.NodeId:
        """Return the last holder if it lives, else the first in rank."""
        if self._presence.is_live(one.holder, now):
            return one.holder
        return self._presence.rank(f"domain:{one.name}", now)[0]

    def tick(self, one: DomainLease, now: float) -> bool:
        """Take or renew a lease if that is due; return whether it holds."""
        holds = one.tracker.holds(now)
        if holds != one.held:
            one.held = holds
            self._log.write(
                "duty_taken" if holds else "duty_lost",
                domain=one.name,
                fence=one.fence,
                revision=one.revision,
            )
        due = now >= one.next_renewal if holds else self._may_take(one, now)
        if due:
            self._write_lease(one, now)
        return holds

    def _look(self) -> None:
        """Read the leases; what is seen late only delays a takeover.

        Failure: a takeover by what an old read shows fails and is tried
        again, so the first read is a fresh one.
        """
        listed = self._store.list(KIND, stale=self._looked)
        if isinstance(listed, result.Err):
            return
        now = self._clock.now()
        found = {stored.name: stored for stored in listed.ok_value.objects}
        for one in self._leases.values():
            stored = found.get(one.name)
            if stored is not None:
                self._see(one, stored, now)
            elif one.revision is None:
                one.revision = 0
                one.tracker.record_version(ids.Version(0), None, now)
        self._looked = True

    def _see(
        self, one: DomainLease, stored: ports.StoredObject, now: float
    ) -> None:
        if one.revision is not None and stored.revision < one.revision:
            return
        try:
            held = msgspec.json.decode(stored.value, type=domain_module.Domain)
        except msgspec.MsgspecError as error:
            # Counts as held by nobody; the next holder overwrites it.
            self._log.write(
                "lease_unreadable", domain=one.name, why=str(error)
            )
            held = None
        one.revision = stored.revision
        self._presence.staleness.note_revision(stored.revision, now)
        one.tracker.record_version(ids.Version(stored.revision), held, now)
        if held is not None and held.lease is not None:
            one.fence = held.lease.epoch
            one.holder = held.lease.holder

    def list_leases(self, now: float) -> dict[str, presence_module.HeldLease]:
        """Return the leases that this node holds."""
        me = self._presence.me
        return {
            one.name: presence_module.HeldLease(
                one.revision or 0, one.fence, me.id, me.incarnation
            )
            for one in self._leases.values()
            if one.tracker.holds(now)
        }

    def note_leases(
        self,
        held: abc.Mapping[str, presence_module.HeldLease],
        now: float,
    ) -> None:
        """Take note of other nodes' renewals.

        They come sooner than a look at the store shows them, so that a
        takeover counts from the last renewal and not from the last look.
        """
        for name, told in held.items():
            one = self._leases.get(ids.DomainName(name))
            if one is None or one.tracker.holds(now):
                continue
            if one.revision is not None and told.revision <= one.revision:
                continue
            one.revision = told.revision
            self._presence.staleness.note_revision(told.revision, now)
            one.fence = max(one.fence, told.epoch)
            one.holder = told.holder
            lease = domain_module.Lease(
                holder=told.holder,
                incarnation=ids.Incarnation(told.incarnation),
                epoch=ids.Epoch(told.epoch),
                ttl=_TTL,
            )
            value = domain_module.Domain(
                name=one.name,
                datacentre=self._presence.me.datacentre,
                lease=lease,
            )
            one.tracker.record_version(ids.Version(told.revision), value, now)

    def _may_take(self, one: DomainLease, now: float) -> bool:
        if one.writing or now < one.next_try:
            return False
        if not one.tracker.is_lapsed(now):
            # Most of the time; spares working out who goes first.
            return False
        place = self._find_place(one, now)
        return leases.may_take(one.tracker, place, _RENEWAL, now)

    def _write_lease(self, one: DomainLease, now: float) -> None:
        if one.writing:
            return
        one.writing = True
        one.next_renewal = now + _RENEWAL
        eventlet.spawn_n(self._store_lease, one, now)

    def _store_lease(self, one: DomainLease, now: float) -> None:
        me = self._presence.me
        self._attempts += 1
        attempt = ids.AttemptId(f"{me.id}:{me.incarnation}:{self._attempts}")
        fence = one.fence if one.tracker.holds(now) else one.fence + 1
        value = domain_module.Domain(
            name=one.name,
            datacentre=me.datacentre,
            lease=domain_module.Lease(
                holder=me.id,
                incarnation=ids.Incarnation(me.incarnation),
                epoch=ids.Epoch(fence),
                ttl=_TTL,
            ),
            attempt=attempt,
        )
        one.tracker.note_sent(attempt, now)
        try:
            outcome = self._store.put(
                KIND, one.name, msgspec.json.encode(value), one.revision
            )
            if isinstance(outcome, result.Ok):
                self._see(one, outcome.ok_value, self._clock.now())
            else:
                failure = outcome.err_value
                own = one.tracker.is_mine()
                wait = _RETRY_OWN if own else _RETRY
                one.next_try = self._clock.now() + wait
                self._log.write(
                    "lease_not_written",
                    domain=one.name,
                    revision=one.revision,
                    why=failure.value,
                )
                if failure is not ports.StoreFailure.UNAVAILABLE:
                    self._read_lease(one)
        finally:
            one.writing = False

    def _read_lease(self, one: DomainLease) -> None:
        """Settle a write that failed or whose answer was lost."""
        outcome = self._store.get(KIND, one.name)
        if isinstance(outcome, result.Ok):
            self._see(one, outcome.ok_value, self._clock.now())

    def find_prober(self, name: ids.DomainName, now: float) -> ids.NodeId:
        """Return who looks for losses in a domain; empty for nobody."""
        lease = self._leases.get(name)
        return self._find_prober(lease, now) if lease else ids.NodeId("")

    def release(self) -> None:
        """Give all leases back, so that a successor need not wait."""
        for one in self._leases.values():
            if one.tracker.holds(self._clock.now()):
                value = domain_module.Domain(
                    name=one.name,
                    datacentre=self._presence.me.datacentre,
                    lease=domain_module.Lease(
                        holder=ids.NodeId(""),
                        incarnation=ids.Incarnation(0),
                        epoch=ids.Epoch(one.fence),
                        ttl=0.0,
                    ),
                )
                data = msgspec.json.encode(value)
                eventlet.spawn_n(
                    self._store.put, KIND, one.name, data, one.revision
                )

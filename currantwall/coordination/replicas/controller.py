"""Control of one fabric domain: lease, planning, ledger and orders.

For each fabric domain one entry node holds the lease in the domain's
ledger; a rendezvous hash decides which node tries first. The holder
renews the lease and plans, stores the new ledger and the renewal in one
conditional update, and sends orders only for what is stored. A candidate
reads the ledger at intervals and takes an expired lease by raising its
epoch, the fencing token.

Each domain has at most one write in flight. After a write whose answer
was lost the ledger is read back: the stored ledger is authoritative, and
the next write at its version makes the lost write fail if it arrives
late.
"""

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.profiles import configuration
from currantwall.coordination.profiles import shares
from currantwall.coordination.replicas import leases
from currantwall.coordination.replicas import orders
from currantwall.coordination.replicas import placement
from currantwall.coordination.replicas import repair
from currantwall.coordination.replicas import sightings
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["DomainController"]

Phase = domain.ReplicaPhase

# Seconds from a change to the next plan. Changes within that time share
# one plan, which keeps a step short.
_PLAN_DELAY = 0.25
# Seconds between plans without a change, as plans also depend on the time.
_PERIODIC_PLAN_INTERVAL = 2.0


class DomainController:
    """Takes and holds the lease of one fabric domain and plans for it."""

    def __init__(
        self,
        name: ids.DomainName,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.ReplicasSection,
        platform: settings_module.PlatformSection,
        call_ids: calls.Calls,
        policy: str,
    ) -> None:
        self.name = name
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._call_ids = call_ids
        self._policy = policy
        self._key = objects.ObjectKey(objects.Kind.DOMAINS.value, name)
        me = nodes.me
        self._lease = leases.LeaseTracker(
            me.id,
            me.incarnation,
            settings.lease_margin,
            settings.lease_ttl,
        )
        seed = rendezvous.score(name, me.id)
        self._backoff = calls.Backoff(
            platform.backoff, platform.backoff_limit, seed
        )
        self._ledger: domain.Domain | None = None
        self._version = ids.Version(0)
        self._call: ids.CallId | None = None
        self._writing = False
        self._attempts = 0
        self._next_read = 0.0
        self._next_write = 0.0
        self._next_plan = 0.0
        self._taken_at = 0.0
        self._holding = False
        self._releasing = False
        # After a lost answer the ledger is read before the next plan. If the
        # call was a write, the ledger is then written again before any share
        # is changed: only a newer version makes the lost write fail.
        self._must_read = False
        self._must_write = False
        self._sightings = sightings.Sightings(name, view, settings)
        self._orders = orders.Orders(view, settings)
        self._draining_since: dict[ids.ReplicaId, float] = {}
        self._shares = shares.ShareKeeper(
            name, view, call_ids, settings.grant_patience
        )

    # -- Queries

    @property
    def ledger(self) -> domain.Domain | None:
        """Return the ledger as last read or written by this node."""
        return self._ledger

    def holds(self, now: float) -> bool:
        """Return whether this node may act as the holder."""
        return self._lease.holds(now)

    def is_active(self) -> bool:
        """Return whether the lease names this process or a call is pending."""
        return self._lease.is_mine() or self._call is not None

    def due(self) -> float:
        """Return when `step` is to be called next."""
        if self._call is not None:
            return self._next_plan if self._holding else self._next_read
        if self._holding:
            return min(self._next_plan, self._next_write)
        return self._next_read

    # -- Steps

    def step(self, now: float, rank: int) -> list[part.Action]:
        """Take, renew or read the lease and plan, as far as this is due.

        Args:
            now: The time.
            rank: Rank of this node among the candidates, 0 for the first.
                Each rank adds half a renewal interval of delay before
                an expired lease is taken.
        """
        result = self._update_holding(now)
        if self._call is not None:
            return result
        if self._lease.holds(now):
            return result + self._step_as_holder(now)
        if self._lease.is_lapsed(now) and now >= self._next_write:
            delay = rank * self._settings.renew_interval / 2
            if self._has_waited(now, delay):
                return result + self._take_lease(now)
        if now >= self._next_read:
            return result + self._read_ledger(now)
        return result

    def _has_waited(self, now: float, delay: float) -> bool:
        """Return whether earlier candidates had time to take the lease.

        The first call starts the delay.
        """
        if delay <= 0:
            return True
        if not self._next_write:
            self._next_write = now + delay
            return False
        return now >= self._next_write

    def _update_holding(self, now: float) -> list[part.Action]:
        """Handle the start or the end of this node's time as the holder."""
        holds = self._lease.holds(now)
        if holds == self._holding:
            return []
        self._holding = holds
        self._next_plan = now
        kinds = timeline.EventKind
        if not holds:
            self._sightings.clear()
            self._draining_since.clear()
            self._shares.forget()
            return [actions.Record(kinds.LEASE_LOST, self.name)]
        self._taken_at = now
        # Orders of a former holder may still be in transit to engines that
        # ignore the fencing token. Wait until these orders have expired
        # before sending the first one.
        settings = self._settings
        wait = 0.0 if settings.epoch_checked else settings.order_lifetime
        self._orders.not_before = now + wait
        epoch = self._ledger.epoch if self._ledger else 0
        detail = f"epoch {epoch}"
        return [actions.Record(kinds.LEASE_TAKEN, self.name, detail)]

    def release(self, now: float) -> list[part.Action]:
        """Release the lease, so that a successor need not wait for its end."""
        if not self._lease.holds(now) or self._ledger is None:
            return []
        if self._call is not None or self._releasing:
            return []
        self._releasing = True
        return self._write_ledger(self._ledger, now)

    # -- Calls to the platform

    def _read_ledger(self, now: float) -> list[part.Action]:
        self._call = self._call_ids.next()
        self._writing = False
        self._next_read = now + self._settings.renew_interval
        return [actions.ReadObject(self._call, self._key)]

    def _take_lease(self, now: float) -> list[part.Action]:
        ledger = self._ledger or self._make_empty_ledger()
        updated = msgspec.structs.replace(ledger, serial=ledger.serial + 1)
        epoch = ids.Epoch(ledger.epoch + 1)
        return self._write_ledger(updated, now, epoch)

    def _make_empty_ledger(self) -> domain.Domain:
        for listed in self._view.list_engines(self.name):
            return domain.Domain(name=self.name, datacentre=listed.datacentre)
        datacentre = self._nodes.me.datacentre
        return domain.Domain(name=self.name, datacentre=datacentre)

    def _write_ledger(
        self,
        ledger: domain.Domain,
        now: float,
        epoch: ids.Epoch | None = None,
    ) -> list[part.Action]:
        me = self._nodes.me
        self._attempts += 1
        attempt = ids.AttemptId(f"{me.id}.{me.incarnation}.{self._attempts}")
        ttl = 0.0 if self._releasing else self._settings.lease_ttl
        lease = domain.Lease(me.id, me.incarnation, epoch or ledger.epoch, ttl)
        value = msgspec.structs.replace(ledger, lease=lease, attempt=attempt)
        self._call = self._call_ids.next()
        self._writing = True
        self._lease.note_sent(attempt, now)
        self._next_write = now + self._settings.renew_interval
        return [
            actions.WriteObject(
                self._call, self._key, objects.encode(value), self._version
            )
        ]

    def handle_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Handle the answer to a call of this domain."""
        if self._shares.owns(answer.call):
            return self._shares.handle_answer(answer, now)
        if answer.call != self._call:
            return []
        self._call = None
        statuses = messages.PlatformStatus
        if answer.status is statuses.UNAVAILABLE:
            return self._back_off(now)
        if answer.status is statuses.LOST:
            return self._handle_lost_answer(now)
        self._backoff.succeed()
        if self._writing and not answer.is_ok:
            return self._read_ledger(now)
        self._must_read = False
        if self._writing:
            self._must_write = False
        return self._apply_stored(answer, now)

    def _handle_lost_answer(self, now: float) -> list[part.Action]:
        """Require a read, and a write if this was one, before going on.

        Failure: the lost write takes effect after a read that did not
        show it. If the grants are lowered in between, the ledger then
        holds more than is granted. Any successful write by this node at
        the version read makes the late write fail.
        """
        self._must_read = True
        self._must_write = self._must_write or self._writing
        return self._back_off(now)

    def _back_off(self, now: float) -> list[part.Action]:
        wait = self._backoff.fail()
        self._next_read = now + wait
        self._next_write = now + wait
        return []

    def _apply_stored(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Adopt the ledger that the platform has stored."""
        stored = answer.stored[0] if answer.stored else None
        version = stored.version if stored else ids.Version(0)
        value = objects.decode(stored) if stored else None
        if version < self._version:
            return []
        before = self._ledger
        self._version = version
        self._ledger = value
        self._lease.record_version(version, value, now)
        result = self._update_holding(now)
        if stored is None or value is None:
            return result
        result.append(actions.Tell(configuration.Written(stored)))
        if self._holding:
            result += self._record_changes(before, value, now)
            self._next_plan = min(self._next_plan, now + _PLAN_DELAY)
        return result

    def _record_changes(
        self,
        before: domain.Domain | None,
        after: domain.Domain,
        now: float,
    ) -> list[part.Action]:
        old = {r.id: r for r in before.replicas} if before else {}
        new = {r.id: r for r in after.replicas}
        result: list[part.Action] = []
        for replica_id in sorted(old.keys() - new.keys()):
            self._draining_since.pop(replica_id, None)
            kind = timeline.EventKind.REPLICA_DISSOLVED
            result.append(actions.Record(kind, replica_id))
        for replica_id, replica in new.items():
            if replica.phase is Phase.DRAINING:
                self._draining_since.setdefault(replica_id, now)
            else:
                self._draining_since.pop(replica_id, None)
            if replica != old.get(replica_id):
                result.append(_record_phase(replica))
                label = replica.phase.value
                counter = actions.Counter.REPLICA_STEPS
                result.append(actions.Count(counter, label))
        return result

    # -- Work of the holder

    def _step_as_holder(self, now: float) -> list[part.Action]:
        if self._ledger is None:
            return []
        if self._must_read:
            return self._read_ledger(now) if now >= self._next_read else []
        result: list[part.Action] = []
        if now >= self._next_plan:
            self._next_plan = now + _PERIODIC_PLAN_INTERVAL
            members = self._sightings.describe_members(self._taken_at, now)
            planned = self._plan(members, now)
            result += self._orders.list_due(
                self._ledger, members, self._lease.deadline, now
            )
            if not planned.is_same_placement(self._ledger):
                serial = self._ledger.serial + 1
                planned = msgspec.structs.replace(planned, serial=serial)
                return result + self._write_ledger(planned, now)
            if self._must_write:
                return result + self._write_ledger(self._ledger, now)
            result += self._shares.step(self._ledger, members, now)
        if now >= self._next_write:
            result += self._write_ledger(self._ledger, now)
        return result

    def _plan(
        self,
        members: dict[ids.InstanceId, placement.Member],
        now: float,
    ) -> domain.Domain:
        assert self._ledger is not None
        situation = placement.Situation(
            ledger=self._ledger,
            members=members,
            profiles=self._view.profiles,
            shares=self._shares.list_usable(self._ledger.epoch),
            settings=self._settings,
            movable=self._list_movable_profiles(),
            drained=self._list_drained_replicas(members, now),
            stable=self._is_stable(members, now),
            correlated=sightings.is_correlated(members),
        )
        return placement.plan(situation, self._policy)

    def _is_stable(
        self,
        members: dict[ids.InstanceId, placement.Member],
        now: float,
    ) -> bool:
        """Return whether the observers had time to report all instances.

        Failure: a domain that was unreachable returns, its instances are
        observed one after the other, and a replica that would be complete
        a moment later is dissolved to repair another one. Losses are not
        judged while some members return and others are still lost.
        """
        interval = self._settings.sighting_interval
        if now < self._taken_at + 2 * interval:
            return False
        some_lost = any(
            member.health is repair.Health.SILENT
            for member in members.values()
        )
        returning = now < self._sightings.returned_at + interval
        return not (some_lost and returning)

    def _list_movable_profiles(self) -> frozenset[str]:
        """Return the profiles for which another domain has room."""
        movable = set()
        for name, wanted in self._view.profiles.items():
            for ledger in self._view.domains.values():
                room = ledger.idle >= wanted.replica_size
                if ledger.name != self.name and room:
                    movable.add(name)
        return frozenset(movable)

    def _list_drained_replicas(
        self,
        members: dict[ids.InstanceId, placement.Member],
        now: float,
    ) -> frozenset[ids.ReplicaId]:
        """Return the draining replicas that have no request left.

        The nodes need some time to learn of the drain. It ends with the
        first report after that time that shows no request running or
        queued.
        """
        drained = set()
        settle = self._settings.drain_settle
        for replica_id, since in self._draining_since.items():
            replica = self._ledger.get(replica_id) if self._ledger else None
            if replica is None:
                continue
            probed_at = self._sightings.get_probed_at(replica.leader)
            member = members.get(replica.leader)
            report = member.report if member else None
            if probed_at is None or report is None or not report.is_quiet:
                continue
            if probed_at >= since + settle:
                drained.add(replica_id)
        return frozenset(drained)

    # -- Changes

    def handle_sighting(
        self, sighting: wire.Sighting, delay: float, now: float
    ) -> None:
        """Store an observer's sighting, and plan soon if it is a change."""
        if self._sightings.record(sighting, delay, now):
            self.request_plan(now)

    def note_resumed(self, now: float) -> None:
        """Record that this process was not running until now."""
        self._sightings.resumed_at = now

    def request_plan(self, now: float) -> None:
        """Schedule a plan soon after a change."""
        self._next_plan = min(self._next_plan, now + _PLAN_DELAY)

    # -- Orders

    def handle_fenced_order(self, now: float) -> list[part.Action]:
        """Read the ledger, as an engine refused an order for its old epoch."""
        if self._call is not None:
            return []
        kind = timeline.EventKind.ORDER_REFUSED
        return [actions.Record(kind, self.name), *self._read_ledger(now)]


def _record_phase(replica: domain.Replica) -> actions.Record:
    kinds = {
        Phase.FORMING: timeline.EventKind.REPLICA_FORMING,
        Phase.SERVING: timeline.EventKind.REPLICA_SERVING,
        Phase.DRAINING: timeline.EventKind.REPLICA_DRAINING,
    }
    members = ", ".join(replica.members)
    detail = f"generation {replica.generation}: {members}"
    return actions.Record(kinds[replica.phase], replica.id, detail)

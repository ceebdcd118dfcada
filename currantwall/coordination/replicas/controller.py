"""Holding fabric domains: lease, plan, one conditional update, orders.

For each fabric domain one entry node holds the lease in the domain's
ledger; which node tries first is a rendezvous hint. The holder renews,
plans, stores the new ledger together with the renewal, and sends orders
only for what is stored. A candidate reads the ledger now and then and
takes a lapsed lease by raising its epoch, the fencing number.

One write is under way at a time for each domain. A write whose answer
was lost is settled by reading back: whatever is stored is the truth, and
the next write at that version makes a late one fail.
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

# Plans follow changes at this distance, so that one step stays short;
# without a change a plan is made now and then, because time passes.
_PLAN_INTERVAL = 0.25
_QUIET_PLAN_INTERVAL = 2.0


class DomainController:
    """Duties of this node towards one fabric domain."""

    def __init__(
        self,
        name: ids.DomainName,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.ReplicasSection,
        platform: settings_module.PlatformSection,
        numbers: calls.Calls,
        policy: str,
    ) -> None:
        self.name = name
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._numbers = numbers
        self._policy = policy
        self._key = objects.ObjectKey(objects.Kind.DOMAINS.value, name)
        me = nodes.me
        self._lease = leases.LeaseTracker(
            me.id, me.incarnation, settings.lease_margin
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
        # After a write whose answer was lost: read what is stored, then
        # write again before anything rests on it.
        self._must_read = False
        self._must_write = False
        self._sightings = sightings.Sightings(name, view, settings)
        self._orders = orders.Orders(view, settings)
        self._draining: dict[ids.ReplicaId, float] = {}
        self._shares = shares.ShareKeeper(
            name, view, numbers, settings.grant_patience
        )

    # -- What others ask

    @property
    def ledger(self) -> domain.Domain | None:
        """Return the ledger as last read or written here."""
        return self._ledger

    def holds(self, now: float) -> bool:
        """Return whether this node may act as the holder."""
        return self._lease.holds(now)

    def is_busy(self) -> bool:
        """Return whether the lease names this node or a call is out."""
        return self._lease.is_mine() or self._call is not None

    def due(self) -> float:
        """Return when `step` wants to be called next."""
        if self._call is not None:
            return self._next_plan if self._holding else self._next_read
        if self._holding:
            return min(self._next_plan, self._next_write)
        return self._next_read

    # -- Time

    def step(self, now: float, rank: int) -> list[part.Action]:
        """Do what is due.

        Args:
            now: The time.
            rank: Place of this node among the candidates, 0 for the
                first; later ones leave the first some time.
        """
        found = self._note_holding(now)
        if self._call is not None:
            return found
        if self._lease.holds(now):
            return found + self._act(now)
        if self._lease.is_lapsed(now) and now >= self._next_write:
            patience = rank * self._settings.renew_interval / 2
            if self._is_patient(now, patience):
                return found + self._take(now)
        if now >= self._next_read:
            return found + self._read(now)
        return found

    def _is_patient(self, now: float, patience: float) -> bool:
        """Leave the earlier candidates some time to take the lease."""
        if patience <= 0:
            return True
        if not self._next_write:
            self._next_write = now + patience
            return False
        return now >= self._next_write

    def _note_holding(self, now: float) -> list[part.Action]:
        holds = self._lease.holds(now)
        if holds == self._holding:
            return []
        self._holding = holds
        self._next_plan = now
        kinds = timeline.EventKind
        if not holds:
            self._sightings.clear()
            self._draining.clear()
            self._shares.forget()
            return [actions.Record(kinds.LEASE_LOST, self.name)]
        self._taken_at = now
        # Orders of a former holder may still be on their way to engines
        # that ignore the fencing number: outlive them before the first
        # order of our own.
        settings = self._settings
        wait = 0.0 if settings.epoch_checked else settings.order_lifetime
        self._orders.not_before = now + wait
        epoch = self._ledger.epoch if self._ledger else 0
        detail = f"epoch {epoch}"
        return [actions.Record(kinds.LEASE_TAKEN, self.name, detail)]

    def release(self, now: float) -> list[part.Action]:
        """Give the lease back, so that a successor need not wait."""
        if not self._lease.holds(now) or self._ledger is None:
            return []
        if self._call is not None or self._releasing:
            return []
        self._releasing = True
        return self._write(self._ledger, now)

    # -- Calls to the platform

    def _read(self, now: float) -> list[part.Action]:
        self._call = self._numbers.next()
        self._writing = False
        self._next_read = now + self._settings.renew_interval
        return [actions.ReadObject(self._call, self._key)]

    def _take(self, now: float) -> list[part.Action]:
        held = self._ledger or self._make_empty()
        taken = msgspec.structs.replace(held, serial=held.serial + 1)
        epoch = ids.Epoch(held.epoch + 1)
        return self._write(taken, now, epoch)

    def _make_empty(self) -> domain.Domain:
        for listed in self._view.list_engines(self.name):
            return domain.Domain(name=self.name, datacentre=listed.datacentre)
        datacentre = self._nodes.me.datacentre
        return domain.Domain(name=self.name, datacentre=datacentre)

    def _write(
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
        self._call = self._numbers.next()
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
        """Take the answer of a call of this domain."""
        if self._shares.owns(answer.call):
            return self._shares.handle_answer(answer, now)
        if answer.call != self._call:
            return []
        self._call = None
        statuses = messages.PlatformStatus
        if answer.status is statuses.UNAVAILABLE:
            return self._wait(now)
        if answer.status is statuses.LOST:
            return self._note_lost(now)
        self._backoff.succeed()
        if self._writing and not answer.is_ok:
            return self._read(now)
        self._must_read = False
        if self._writing:
            self._must_write = False
        return self._adopt(answer, now)

    def _note_lost(self, now: float) -> list[part.Action]:
        """Settle a call whose answer was lost before doing more.

        Failure: the lost write takes effect later, after a look that did
        not show it. Were the grants lowered meanwhile, the late write
        would hold more than is granted. Any write of ours that succeeds
        at the version seen makes the late one fail.
        """
        self._must_read = True
        self._must_write = self._must_write or self._writing
        return self._wait(now)

    def _wait(self, now: float) -> list[part.Action]:
        wait = self._backoff.fail()
        self._next_read = now + wait
        self._next_write = now + wait
        return []

    def _adopt(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Take what the platform holds as the truth."""
        stored = answer.stored[0] if answer.stored else None
        version = stored.version if stored else ids.Version(0)
        value = objects.decode(stored) if stored else None
        if version < self._version:
            return []
        before = self._ledger
        self._version = version
        self._ledger = value
        self._lease.see(version, value, now)
        found = self._note_holding(now)
        if stored is None or value is None:
            return found
        found.append(actions.Tell(configuration.Written(stored)))
        if self._holding:
            found += self._report_changes(before, value, now)
            self._next_plan = min(self._next_plan, now + _PLAN_INTERVAL)
        return found

    def _report_changes(
        self,
        before: domain.Domain | None,
        after: domain.Domain,
        now: float,
    ) -> list[part.Action]:
        old = {r.id: r for r in before.replicas} if before else {}
        new = {r.id: r for r in after.replicas}
        found: list[part.Action] = []
        for name in sorted(old.keys() - new.keys()):
            self._draining.pop(name, None)
            kind = timeline.EventKind.REPLICA_DISSOLVED
            found.append(actions.Record(kind, name))
        for name, replica in new.items():
            if replica.phase is Phase.DRAINING:
                self._draining.setdefault(name, now)
            else:
                self._draining.pop(name, None)
            if replica != old.get(name):
                found.append(_record_phase(replica))
                label = replica.phase.value
                counter = actions.Counter.REPLICA_STEPS
                found.append(actions.Count(counter, label))
        return found

    # -- The holder's work

    def _act(self, now: float) -> list[part.Action]:
        if self._ledger is None:
            return []
        if self._must_read:
            return self._read(now) if now >= self._next_read else []
        found: list[part.Action] = []
        if now >= self._next_plan:
            self._next_plan = now + _QUIET_PLAN_INTERVAL
            members = self._sightings.describe(self._taken_at, now)
            planned = self._plan(members, now)
            found += self._orders.list_due(
                self._ledger, members, self._lease.deadline, now
            )
            if not planned.is_same_placement(self._ledger):
                serial = self._ledger.serial + 1
                planned = msgspec.structs.replace(planned, serial=serial)
                return found + self._write(planned, now)
            if self._must_write:
                return found + self._write(self._ledger, now)
            found += self._shares.step(self._ledger, members, now)
        if now >= self._next_write:
            found += self._write(self._ledger, now)
        return found

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
            movable=self._list_movable(),
            drained=self._list_drained(members, now),
            stable=self._is_stable(members, now),
            correlated=sightings.is_correlated(members),
        )
        return placement.plan(situation, self._policy)

    def _is_stable(
        self,
        members: dict[ids.InstanceId, placement.Member],
        now: float,
    ) -> bool:
        """Return whether the observers had time to tell all they see.

        Failure: a domain that was dark comes back, its instances are
        seen one after the other, and a replica that is whole again in a
        moment is taken apart to mend another. While members return and
        others are still lost, losses are not judged.
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

    def _list_movable(self) -> frozenset[str]:
        found = set()
        for name, wanted in self._view.profiles.items():
            for held in self._view.domains.values():
                room = held.idle >= wanted.replica_size
                if held.name != self.name and room:
                    found.add(name)
        return frozenset(found)

    def _list_drained(
        self,
        members: dict[ids.InstanceId, placement.Member],
        now: float,
    ) -> frozenset[ids.ReplicaId]:
        """Return the replicas that have no request left.

        The nodes are given time to learn of the drain; only a report
        made after that, of no request running or queued, ends it.
        """
        found = set()
        settle = self._settings.drain_settle
        for name, since in self._draining.items():
            replica = self._ledger.get(name) if self._ledger else None
            if replica is None:
                continue
            heard = self._sightings.get_heard(replica.leader)
            member = members.get(replica.leader)
            report = member.report if member else None
            if heard is None or report is None or not report.is_quiet:
                continue
            if heard >= since + settle:
                found.add(name)
        return frozenset(found)

    # -- What is known of the instances

    def note_sighting(
        self, sighting: wire.Sighting, delay: float, now: float
    ) -> None:
        """Take what an observer saw."""
        if self._sightings.note(sighting, delay, now):
            self.note_change(now)

    def note_change(self, now: float) -> None:
        """Plan anew soon."""
        self._next_plan = min(self._next_plan, now + _PLAN_INTERVAL)

    # -- Orders

    def handle_fenced(self, now: float) -> list[part.Action]:
        """An engine knows a newer epoch: look before anything else."""
        if self._call is not None:
            return []
        kind = timeline.EventKind.ORDER_REFUSED
        return [actions.Record(kind, self.name), *self._read(now)]


def _record_phase(replica: domain.Replica) -> actions.Record:
    kinds = {
        Phase.FORMING: timeline.EventKind.REPLICA_FORMING,
        Phase.SERVING: timeline.EventKind.REPLICA_SERVING,
        Phase.DRAINING: timeline.EventKind.REPLICA_DRAINING,
    }
    members = ", ".join(replica.members)
    detail = f"generation {replica.generation}: {members}"
    return actions.Record(kinds[replica.phase], replica.id, detail)

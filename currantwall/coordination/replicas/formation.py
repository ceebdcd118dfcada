"""Which instances of one fabric domain form which replicas.

`Planner` is told what the instances report and returns orders. It keeps
no ledger: an instance itself says which seat it has, so whoever takes
over the domain goes on from the reports and leaves open replicas alone.

All instances of a domain are loaded with one model where it can be: then
any of them can join any other at once, and a loss costs no load.

Three rules keep a replica whole:

* An instance is free only when the leader of its replica can't be open:
  the leader left it, is broken, is gone, or never was opened.
* Each order names the sequence number that the instance must have. An
  order that is carried out late finds another number and does nothing.
* Epochs rise with each join, so that no join of the past can succeed.
"""

from collections import abc

import msgspec

from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import layout as layout_module
from currantwall.coordination.replicas import staging
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = [
    "Demand",
    "Planner",
]

Phase = upstreams.Phase

# Seconds an order may stay without effect before another one is sent: a
# report is 0.2 s old, and the answer takes one round trip.
_PENDING = 0.7
# Seconds that the joins of one replica may take to show up, beyond which
# an incomplete replica is dissolved. Covers a predecessor's orders.
_ASSEMBLE = 1.0
# Seconds beyond the model's own warm-up that joining may take.
_JOIN_SLACK = 1.5
# Seconds a leader with a leaving member may finish its work.
_CLOSE_WAIT = 2.0
# Replicas of the past that are remembered.
_REMEMBERED = 1024


class Demand(msgspec.Struct, frozen=True):
    """What one model needs and has, over the whole service.

    Attributes:
        busy: Requests in work or waiting; or the model's expected share of
            them.
        replicas: Replicas that serve or are about to, in other domains.
    """

    busy: float
    replicas: int


class Planner:
    """Decides the replicas of one domain."""

    def __init__(self, name: ids.DomainName, engine: routes.Engine) -> None:
        self._name = name
        self._engine = engine
        self.knowledge = knowledge.Knowledge()
        self._known = self.knowledge.instances
        # First sight of each replica phase that must not last.
        self._since: dict[tuple[str, int, str], float] = {}
        # Who led each replica; tells that a leader has left it.
        self._leaders: dict[tuple[str, int], ids.InstanceId] = {}
        self._epoch = 0
        self._layout = layout_module.Layout("")
        self._busy = True

    @property
    def engine(self) -> routes.Engine:
        """Return what the instances have in common."""
        return self._engine

    # -- What is known

    def list_probes(self, now: float, steady: float) -> list[ids.InstanceId]:
        """Return the instances whose report is wanted now.

        Args:
            now: Monotonic time.
            steady: Seconds between two reports of an instance whose
                replica is whole and open.
        """
        settled = self._list_settled()
        found = []
        for name, known in self._known.items():
            calm = name in settled and not known.missed
            calm = calm and not known.unsettled
            wait = steady if calm else 0.0
            due = now - known.seen >= wait and now >= known.quiet_until
            unclear = known.missed or known.differs
            if due or unclear or known.upstream.sequence is None:
                found.append(name)
        return found

    def count_replicas(self) -> dict[str, int]:
        """Return the replicas of each model that serve or soon will."""
        found: dict[str, int] = {}
        for replica in self._list_replicas():
            if self._is_intact(replica) and not self._is_spare(replica):
                found[replica.model] = found.get(replica.model, 0) + 1
        return found

    def describe(self) -> dict[str, str]:
        """Return the state of the domain in words, for the log."""
        found: dict[str, str] = {}
        for replica in self._list_replicas():
            parts = []
            for one in replica.members:
                known = self._known[one.id]
                mark = "" if known.is_usable else "!"
                phase = one.seat.phase.value if one.seat else "?"
                parts.append(f"{mark}{phase}")
            key = f"{replica.id}@{replica.epoch}"
            found[key] = f"{len(parts)}/{replica.size} {' '.join(parts)}"
        idle = [one for one in self._known.values() if not one.upstream.seat]
        for known in idle:
            staged = ",".join(known.upstream.staged) or "blank"
            mark = "" if known.is_usable else "!"
            state = f"loads {known.staging}" if known.staging else staged
            found[known.upstream.id] = f"{mark}{state}"
        return found

    def _list_settled(self) -> set[ids.InstanceId]:
        """Return members of open replicas and of those kept as spares."""
        settled = set()
        for replica in self._list_replicas():
            if not self._is_intact(replica):
                continue
            leader = replica.leader
            spare = self._is_spare(replica)
            wanted = Phase.READY if spare else Phase.OPEN
            if leader is None or leader.seat is None:
                continue
            if leader.seat.phase is wanted:
                settled.update(one.id for one in replica.members)
            elif leader.seat.phase is Phase.READY:
                # It only waits to be opened: the others don't change.
                settled.update(
                    one.id
                    for one in replica.members[1:]
                    if one.seat and one.seat.phase is Phase.READY
                )
        for name, known in self._known.items():
            if known.staging:
                settled.add(name)
        return settled

    # -- The plan

    def plan(
        self,
        now: float,
        fence: int,
        layout: layout_module.Layout,
        demands: abc.Mapping[str, Demand],
        loads: int = 1000,
        busy: bool = True,
    ) -> list[knowledge.Order]:
        """Return the orders that are due.

        Args:
            now: Monotonic time.
            fence: Number that rises with each holder of the domain;
                epochs of joins begin there.
            layout: What this domain is meant for.
            demands: Need and supply of each model by name.
            loads: Loads of weights that may start now.
            busy: Whether requests have come.
        """
        self._layout = layout
        self._busy = busy
        seen = max(
            (
                known.upstream.seat.epoch
                for known in self._known.values()
                if known.upstream.seat
            ),
            default=0,
        )
        self._epoch = max(self._epoch, fence, seen)
        for known in self._known.values():
            if known.staging and now >= known.staging_until:
                known.staging = ""
        orders: list[knowledge.Order] = []
        kept: set[ids.InstanceId] = set()
        for replica in self._list_replicas():
            if self._is_spare(replica):
                continue
            if self._is_intact(replica) and not self._is_overdue(replica, now):
                kept.update(one.id for one in replica.members)
                orders += self._open(replica, now)
            else:
                kept.update(one.id for one in replica.members)
                freed, more = self._dissolve(replica, now)
                kept -= freed
                orders += more
        free = [
            known
            for name, known in self._known.items()
            if name not in kept
            and known.is_usable
            and known.upstream.sequence is not None
            and known.pending_until <= now
        ]
        orders += self._form(free, demands, loads, now)
        for order in orders:
            self._known[order.instance].pending_until = now + _PENDING
        return orders

    def _list_replicas(self) -> list[upstreams.Replica]:
        found = upstreams.list_replicas(
            known.upstream for known in self._known.values()
        )
        for replica in found:
            if replica.leader is not None:
                key = (replica.id, replica.epoch)
                self._leaders[key] = replica.leader.id
        while len(self._leaders) > _REMEMBERED:
            del self._leaders[next(iter(self._leaders))]
        return found

    def _is_spare(self, replica: upstreams.Replica) -> bool:
        """Return whether it is one instance kept warm on its own."""
        model = self._engine.find(replica.model)
        return model is not None and replica.size != model.size

    def _is_intact(self, replica: upstreams.Replica) -> bool:
        ranks = [one.seat.rank for one in replica.members if one.seat]
        if ranks != list(range(replica.size)):
            return False
        return all(self._known[one.id].is_usable for one in replica.members)

    def _is_overdue(self, replica: upstreams.Replica, now: float) -> bool:
        """Return whether a replica is broken or joins for too long."""
        phases = {one.seat.phase for one in replica.members if one.seat}
        if Phase.BROKEN in phases:
            return True
        if Phase.JOINING not in phases:
            return False
        model = self._engine.find(replica.model)
        warm = model.warm if model else 0.0
        return self._lasts(replica, "joining", now) > warm + _JOIN_SLACK

    def _lasts(
        self, replica: upstreams.Replica, what: str, now: float
    ) -> float:
        """Return for how long something is known of a replica."""
        if len(self._since) > _REMEMBERED:
            self._since.clear()
        first = self._since.setdefault((replica.id, replica.epoch, what), now)
        return now - first

    def _is_pending(self, instance: ids.InstanceId, now: float) -> bool:
        return self._known[instance].pending_until > now

    def _may_order(self, one: upstreams.Upstream, now: float) -> bool:
        """Return whether an instance can be sent an order now."""
        return one.sequence is not None and not self._is_pending(one.id, now)

    def _open(
        self, replica: upstreams.Replica, now: float
    ) -> list[knowledge.Order]:
        """Return the order that lets a replica serve, if it is time."""
        if any(
            one.seat is None or one.seat.phase is not Phase.READY
            for one in replica.members
        ):
            return []
        leader = replica.members[0]
        if not self._may_order(leader, now):
            return []
        return [self._order(leader, knowledge.OrderKind.OPEN)]

    def _dissolve(
        self, replica: upstreams.Replica, now: float
    ) -> tuple[set[ids.InstanceId], list[knowledge.Order]]:
        """Return the members that are free, and orders that free others.

        Failure: a survivor joins another replica while its old leader
        still takes requests, so that it is in two at once. The leader
        must have left first, be broken, or be certainly gone.
        """
        leader = replica.leader
        everyone = {one.id for one in replica.members}
        if leader is None or leader.seat is None:
            return self._dissolve_without_leader(replica, now)
        phase = leader.seat.phase
        known = self._known[leader.id]
        if phase is Phase.BROKEN:
            return everyone, []
        if known.is_gone or known.is_silent:
            # It may be cut off from here alone and still take requests, or
            # have stopped listening and still be ending its work.
            return set(), self._leave(replica.members[1:], now)
        if phase is Phase.JOINING:
            waits = self._is_assembling(replica, now)
            return (set() if waits else everyone), []
        if self._may_finish(replica, now):
            return set(), self._close(leader, phase, now)
        return set(), self._leave((leader,), now)

    def _dissolve_without_leader(
        self, replica: upstreams.Replica, now: float
    ) -> tuple[set[ids.InstanceId], list[knowledge.Order]]:
        if self._has_left_leader(replica):
            return {one.id for one in replica.members}, []
        if self._is_assembling(replica, now):
            return set(), []
        return set(), self._leave(replica.members, now)

    def _is_assembling(self, replica: upstreams.Replica, now: float) -> bool:
        """Return whether joins of a replica may still be on their way."""
        if self._is_overdue(replica, now):
            return False
        return self._lasts(replica, "incomplete", now) < _ASSEMBLE

    def _close(
        self, leader: upstreams.Upstream, phase: upstreams.Phase, now: float
    ) -> list[knowledge.Order]:
        """Return the next order of a planned end."""
        if phase is Phase.CLOSING or not self._may_order(leader, now):
            return []
        closed = phase is Phase.READY
        kind = (
            knowledge.OrderKind.LEAVE if closed else knowledge.OrderKind.CLOSE
        )
        return [self._order(leader, kind)]

    def _has_left_leader(self, replica: upstreams.Replica) -> bool:
        """Return whether the leader is known to have another seat now."""
        name = self._leaders.get((replica.id, replica.epoch))
        known = self._known.get(name) if name else None
        return known is not None and known.is_alive

    def _may_finish(self, replica: upstreams.Replica, now: float) -> bool:
        """Return whether only a planned stop takes a member away."""
        ranks = [one.seat.rank for one in replica.members if one.seat]
        if ranks != list(range(replica.size)):
            return False
        if not all(self._known[one.id].is_alive for one in replica.members):
            return False
        return self._lasts(replica, "closing", now) < _CLOSE_WAIT

    def _leave(
        self, members: abc.Iterable[upstreams.Upstream], now: float
    ) -> list[knowledge.Order]:
        return [
            self._order(one, knowledge.OrderKind.LEAVE)
            for one in members
            if self._known[one.id].is_alive and self._may_order(one, now)
        ]

    def _order(
        self, one: upstreams.Upstream, kind: knowledge.OrderKind
    ) -> knowledge.Order:
        """Return an order about the seat an instance has."""
        seat = one.seat
        assert seat is not None
        return knowledge.Order(
            instance=one.id,
            address=one.address,
            kind=kind,
            sequence=one.sequence,
            replica=seat.replica,
            epoch=seat.epoch,
        )

    # -- Forming and staging

    def _form(
        self,
        free: list[knowledge.Known],
        demands: abc.Mapping[str, Demand],
        loads: int,
        now: float,
    ) -> list[knowledge.Order]:
        """Return the joins and loads for the free instances."""
        orders: list[knowledge.Order] = []
        rest: dict[str, list[knowledge.Known]] = {"": []}
        formed: dict[str, int] = {}
        for model in self._engine.models:
            rest[model.name] = []
        for known in free:
            rest[self._staged_model(known)].append(known)
        for model in self._engine.models:
            group = rest[model.name]
            group.sort(key=lambda known: not self._is_hot(known, model.name))
            while len(group) >= model.size:
                chosen, group = group[: model.size], group[model.size :]
                formed[model.name] = formed.get(model.name, 0) + 1
                orders += self._join(model, [one.upstream for one in chosen])
            rest[model.name] = group
        orders += self._stage(rest, formed, demands, loads, now)
        staged = {order.instance for order in orders}
        for model in self._engine.models:
            for known in rest[model.name]:
                if known.upstream.id in staged or known.staging:
                    continue
                if not self._is_hot(known, model.name):
                    orders += self._join(model, [known.upstream])
        return orders

    def _staged_model(self, known: knowledge.Known) -> str:
        """Return the model that an instance can join at once."""
        for model in self._engine.models:
            if model.name in known.upstream.staged:
                return model.name
        return ""

    @staticmethod
    def _is_hot(known: knowledge.Known, model: str) -> bool:
        """Return whether its last replica was of the model.

        Such an instance joins in 0.2 s, any other one that has the
        weights on its host in 1.1 to 1.6 s.
        """
        seat = known.upstream.seat
        if seat is None:
            return False
        parsed = upstreams.parse_name(seat.replica)
        return parsed is not None and parsed[0] == model

    def _join(
        self, model: routes.Model, members: list[upstreams.Upstream]
    ) -> list[knowledge.Order]:
        self._epoch += 1
        token = f"{self._name}-{self._epoch}"
        name = upstreams.name_replica(model.name, len(members), token)
        listed = tuple(one.id for one in members)
        return [
            knowledge.Order(
                instance=one.id,
                address=one.address,
                kind=knowledge.OrderKind.JOIN,
                sequence=one.sequence,
                model=model.name,
                replica=name,
                epoch=self._epoch,
                members=listed,
                lasts=self._expect_join(one, model),
            )
            for one in members
        ]

    def _expect_join(
        self, one: upstreams.Upstream, model: routes.Model
    ) -> float:
        """Return the seconds that a join takes at least.

        Only one that has never joined in its life is sure to take long:
        it has accepted a load at most.
        """
        new = one.seat is None and (one.sequence or 0) <= 1
        return model.warm if new else 0.0

    def _stage(
        self,
        rest: dict[str, list[knowledge.Known]],
        formed: dict[str, int],
        demands: abc.Mapping[str, Demand],
        allowed: int,
        now: float,
    ) -> list[knowledge.Order]:
        """Return the loads of weights for instances that cannot join."""
        layout = self._layout
        main = self._engine.find(layout.main) or self._engine.models[0]
        held = self._count_held()
        wanted = {}
        if layout.replicas:
            usable = sum(one.is_usable for one in self._known.values())
            wanted = layout_module.count_wanted(
                self._engine, layout.replicas, usable
            )
        stock = staging.Stock(
            main=main,
            blank=tuple(
                known.upstream.id
                for known in rest[""]
                if not known.staging and not known.upstream.busy
            ),
            idle={
                model.name: tuple(
                    known.upstream.id for known in rest[model.name]
                )
                for model in self._engine.models
            },
            usable=sum(known.is_usable for known in self._known.values()),
            size=layout.size,
            cover=self._measure_cover(rest, formed, demands),
            loading=any(
                known.staging or known.upstream.busy
                for known in self._known.values()
            ),
            busy=self._busy,
            formed=self.count_replicas(),
            wanted=wanted,
            held=held,
        )
        loads = staging.choose_loads(self._engine, stock)
        return [self._load(one, now) for one in loads[:allowed]]

    def _count_held(self) -> dict[str, int]:
        """Return the usable instances that have or load each model."""
        found: dict[str, int] = {}
        for known in self._known.values():
            name = known.staging or self._staged_model(known)
            if name and known.is_usable:
                found[name] = found.get(name, 0) + 1
        return found

    def _measure_cover(
        self,
        rest: dict[str, list[knowledge.Known]],
        formed: dict[str, int],
        demands: abc.Mapping[str, Demand],
    ) -> dict[str, float]:
        """Return the slots of each model for each request in work."""
        own = self.count_replicas()
        loading: dict[str, int] = {}
        for known in self._known.values():
            if known.staging and known.is_usable:
                loading[known.staging] = loading.get(known.staging, 0) + 1
        found = {}
        for model in self._engine.models:
            demand = demands.get(model.name, Demand(model.share, 0))
            waiting = len(rest[model.name]) + loading.get(model.name, 0)
            replicas = (
                demand.replicas
                + own.get(model.name, 0)
                + formed.get(model.name, 0)
                + waiting // model.size
            )
            busy = max(demand.busy, 0.01)
            found[model.name] = replicas * self._engine.slots / busy
        return found

    def _load(self, load: staging.Load, now: float) -> knowledge.Order:
        known = self._known[load.instance]
        known.staging = load.model.name
        known.staging_until = now + 3 * load.model.load
        return knowledge.Order(
            instance=known.upstream.id,
            address=known.upstream.address,
            kind=knowledge.OrderKind.STAGE,
            sequence=known.upstream.sequence,
            model=load.model.name,
        )

"""Plans which instances of one fabric domain form which replicas.

`Planner` is given the instances' reports and returns orders. It stores no
assignments: each instance reports its own seat, so a new holder of the
domain continues from the reports and leaves open replicas alone.

Where possible, all instances of a domain are loaded with one model: any
of them can then join any other at once, and replacing a lost instance
needs no load of weights.

Three rules keep each replica consistent:

* An instance that has a seat may join another replica only when the
  leader of its present one can't be open: the leader has left it, is
  broken or was never opened. Otherwise the instance must leave first.
* Each order names the sequence number that the instance must have. An
  order that arrives late finds another number and has no effect.
* Each join has a higher epoch than the one before, so that an old join
  can't succeed.

Instances in an evacuated data centre get no orders to join, open or load,
and their replicas are no supply. Open replicas there stay as they are:
they finish their requests, and serve again once the evacuation is
withdrawn.
"""

import collections
from collections import abc
import math

import msgspec

from currantwall.coordination.replicas import conversions
from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import layout as layout_module
from currantwall.coordination.replicas import staging
from currantwall.coordination.replicas import supply
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = [
    "Demand",
    "Planner",
]

Phase = upstreams.Phase

# Seconds without a visible effect after which an order is followed by
# another one: a report is 0.2 s old, and the answer takes one round trip.
_ORDER_RETRY_SECONDS = 0.7
# Seconds until all joins of a replica must show in the reports; after that
# an incomplete replica is dissolved. Long enough for orders that an earlier
# holder of the domain has sent.
_ASSEMBLY_SECONDS = 1.0
# Seconds that joining may take beyond the model's warm-up time.
_JOIN_SLACK_SECONDS = 1.5
# Seconds for which a leader with a leaving member may finish its requests.
_CLOSE_SECONDS = 2.0
# Seconds after a load has ended in which further loads of the same step may
# begin. A step must pay off within 60 s; a successor needs several more until
# it knows the measured work.
_STEP_SECONDS = 120.0
# Past replicas to remember.
_HISTORY_LIMIT = 1024


class Demand(msgspec.Struct, frozen=True):
    """Demand for one model in the whole service, and supply elsewhere.

    Attributes:
        requests: Requests running or waiting, plus the model's share of
            those that are expected while there are few.
        replicas: Whole replicas of the model in other domains, open or
            about to be.
    """

    requests: float
    replicas: int


class Planner:
    """Decides the replicas of one domain.

    Attributes:
        is_evacuated: Returns whether a data centre is evacuated.
    """

    def __init__(self, name: ids.DomainName, engine: routes.Engine) -> None:
        self._name = name
        self._engine = engine
        self.knowledge = knowledge.Knowledge()
        self._records = self.knowledge.instances
        # When a condition of a replica, such as "joining", was first seen,
        # by replica, epoch and condition.
        self._first_seen: dict[tuple[str, int, str], float] = {}
        # Last known leader of each replica, by replica and epoch; shows
        # whether a replica without a leader was left by it.
        self._leaders: dict[tuple[str, int], ids.InstanceId] = {}
        self._epoch = 0
        self._layout = layout_module.Layout("")
        self._has_traffic = True
        self.is_evacuated: abc.Callable[[ids.DatacentreName], bool] = _is_never
        # Instances that have each model's weights, and when there last were
        # more of them than before.
        self._staged_counts: collections.Counter[str] = collections.Counter()
        self._grown_at: dict[str, float] = {}
        # The step to another model that is under way here.
        self.conversion: conversions.Conversion | None = None

    @property
    def engine(self) -> routes.Engine:
        """Return the properties that all instances share."""
        return self._engine

    # -- Known state

    def list_probes(
        self, now: float, steady_interval: float
    ) -> list[ids.InstanceId]:
        """Return the instances to probe now.

        Args:
            now: Monotonic time.
            steady_interval: Seconds between two probes of an instance that
                is in an open replica or otherwise unlikely to change.
        """
        steady_instances = self._list_steady()
        found = []
        for name, record in self._records.items():
            is_steady = name in steady_instances and not record.is_doubtful
            is_steady = is_steady and not record.is_unconfirmed
            interval = steady_interval if is_steady else 0.0
            is_due = (
                now - record.reported_at >= interval
                and now >= record.skip_probes_until
            )
            is_unclear = record.is_doubtful or record.contradicts_list
            if is_due or is_unclear or record.upstream.sequence is None:
                found.append(name)
        return found

    def count_replicas(self) -> dict[str, int]:
        """Return how many replicas of each model serve or soon will."""
        found: dict[str, int] = {}
        for replica in self._list_replicas():
            if not self._is_intact(replica) or self._is_spare(replica):
                continue
            if not self._has_evacuated(replica):
                found[replica.model] = found.get(replica.model, 0) + 1
        return found

    def describe(self) -> dict[str, str]:
        """Return the state of replicas and idle instances, for the log."""
        found: dict[str, str] = {}
        for replica in self._list_replicas():
            parts = []
            for member in replica.members:
                record = self._records[member.id]
                mark = "" if record.is_usable else "!"
                phase = member.seat.phase.value if member.seat else "?"
                parts.append(f"{mark}{phase}")
            key = f"{replica.id}@{replica.epoch}"
            found[key] = f"{len(parts)}/{replica.size} {' '.join(parts)}"
        idle = [
            record
            for record in self._records.values()
            if not record.upstream.seat
        ]
        for record in idle:
            staged = ",".join(record.upstream.staged) or "blank"
            mark = "" if record.is_usable else "!"
            state = (
                f"loads {record.staging_model}"
                if record.staging_model
                else staged
            )
            found[record.upstream.id] = f"{mark}{state}"
        return found

    def _list_steady(self) -> set[ids.InstanceId]:
        """Return the instances whose state isn't about to change.

        These are members of open replicas, warmed-up spares, ready members
        that wait for their leader to be opened, and instances that load
        weights.
        """
        found = set()
        for replica in self._list_replicas():
            if not self._is_intact(replica):
                continue
            leader = replica.leader
            is_spare = self._is_spare(replica)
            steady_phase = Phase.READY if is_spare else Phase.OPEN
            if leader is None or leader.seat is None:
                continue
            if leader.seat.phase is steady_phase:
                found.update(member.id for member in replica.members)
            elif leader.seat.phase is Phase.READY:
                # Only the leader is about to change: it is to be opened.
                found.update(
                    member.id
                    for member in replica.members[1:]
                    if member.seat and member.seat.phase is Phase.READY
                )
        for name, record in self._records.items():
            if record.staging_model or not self._may_form(record):
                found.add(name)
        return found

    def _may_form(self, record: knowledge.InstanceRecord) -> bool:
        """Return whether an instance may be part of a new replica."""
        return not self.is_evacuated(record.upstream.datacentre)

    def _has_evacuated(self, replica: upstreams.Replica) -> bool:
        """Return whether a member is in an evacuated data centre."""
        return any(
            self.is_evacuated(member.datacentre) for member in replica.members
        )

    # -- Planning

    def plan(
        self,
        now: float,
        fence: int,
        layout: layout_module.Layout,
        demands: abc.Mapping[str, Demand],
        allowed_loads: int = 1000,
        has_traffic: bool = True,
        loads: abc.Mapping[ids.InstanceId, int] | None = None,
        allowed_conversion_loads: int = 0,
    ) -> list[knowledge.Order]:
        """Return the orders to send now.

        Args:
            now: Monotonic time.
            fence: Fencing token, which rises with each holder of the
                domain; the epochs of its joins start there.
            layout: Which models the domain's instances are meant for.
            demands: Demand and supply elsewhere, by model.
            allowed_loads: Number of loads of weights that may start now.
            has_traffic: Whether any request has come yet.
            loads: Requests in flight by leader, to choose the replicas that
                a change of the layout drains.
            allowed_conversion_loads: Number of loads that may start now for
                a change of the layout.
        """
        self._layout = layout
        self._has_traffic = has_traffic
        highest = max(
            (
                record.upstream.seat.epoch
                for record in self._records.values()
                if record.upstream.seat
            ),
            default=0,
        )
        self._epoch = max(self._epoch, fence, highest)
        for record in self._records.values():
            if record.staging_model and now >= record.staging_until:
                record.staging_model = ""
        orders: list[knowledge.Order] = []
        assigned: set[ids.InstanceId] = set()
        replicas = self._list_replicas()
        self._update_conversion(replicas, loads or {})
        released = supply.choose_released(
            [
                replica
                for replica in replicas
                if self._is_intact(replica) and not self._is_spare(replica)
            ],
            self._count_required(demands),
            self.is_evacuated,
        )
        for replica in replicas:
            if self._is_spare(replica):
                continue
            if self._is_intact(replica) and not self._has_failed(replica, now):
                assigned.update(member.id for member in replica.members)
                if (replica.id, replica.epoch) in released:
                    orders += self._plan_release(replica, now)
                else:
                    orders += self._plan_intact(replica, now)
            else:
                assigned.update(member.id for member in replica.members)
                freed, more = self._plan_dissolution(replica, now)
                assigned -= freed
                orders += more
        free = [
            record
            for name, record in self._records.items()
            if name not in assigned
            and record.is_usable
            and self._may_form(record)
            and record.upstream.sequence is not None
            and record.pending_until <= now
        ]
        if self.conversion is not None:
            orders += self._plan_conversion_loads(
                self.conversion, free, allowed_conversion_loads, now
            )
            free = [
                record
                for record in free
                if record.upstream.id not in self.conversion.instances
            ]
        orders += self._plan_free_instances(free, demands, allowed_loads, now)
        for order in orders:
            self._records[order.instance].pending_until = (
                now + _ORDER_RETRY_SECONDS
            )
        return orders

    def _count_required(
        self, demands: abc.Mapping[str, Demand]
    ) -> dict[str, int]:
        """Return how many replicas of each model the demand requires here.

        Those are the ones that other domains do not have, but at least one
        in all domains together.
        """
        found = {}
        for model in self._engine.models:
            demand = demands.get(model.name, Demand(model.share, 0))
            needed = math.ceil(demand.requests / self._engine.slots)
            found[model.name] = max(needed, 1) - demand.replicas
        return found

    def _list_replicas(self) -> list[upstreams.Replica]:
        """Return the domain's replicas, and note who leads each."""
        found = upstreams.list_replicas(
            record.upstream for record in self._records.values()
        )
        for replica in found:
            if replica.leader is not None:
                key = (replica.id, replica.epoch)
                self._leaders[key] = replica.leader.id
        while len(self._leaders) > _HISTORY_LIMIT:
            del self._leaders[next(iter(self._leaders))]
        return found

    def _is_spare(self, replica: upstreams.Replica) -> bool:
        """Return whether it is a single instance kept warmed up."""
        model = self._engine.find(replica.model)
        return model is not None and replica.size != model.size

    def _is_intact(self, replica: upstreams.Replica) -> bool:
        """Return whether every rank is there and every member usable."""
        ranks = [member.seat.rank for member in replica.members if member.seat]
        if ranks != list(range(replica.size)):
            return False
        return all(
            self._records[member.id].is_usable for member in replica.members
        )

    def _has_failed(self, replica: upstreams.Replica, now: float) -> bool:
        """Return whether a member is broken or joining takes too long."""
        phases = {
            member.seat.phase for member in replica.members if member.seat
        }
        if Phase.BROKEN in phases:
            return True
        if Phase.JOINING not in phases:
            return False
        model = self._engine.find(replica.model)
        warm_up = model.warm if model else 0.0
        return (
            self._measure_duration(replica, "joining", now)
            > warm_up + _JOIN_SLACK_SECONDS
        )

    def _measure_duration(
        self, replica: upstreams.Replica, condition: str, now: float
    ) -> float:
        """Return the seconds since a replica's condition was first seen."""
        if len(self._first_seen) > _HISTORY_LIMIT:
            self._first_seen.clear()
        first = self._first_seen.setdefault(
            (replica.id, replica.epoch, condition), now
        )
        return now - first

    def _is_pending(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether an earlier order may still take effect."""
        return self._records[instance].pending_until > now

    def _can_order(self, upstream: upstreams.Upstream, now: float) -> bool:
        """Return whether an instance can be sent an order now."""
        return upstream.sequence is not None and not self._is_pending(
            upstream.id, now
        )

    def _plan_intact(
        self, replica: upstreams.Replica, now: float
    ) -> list[knowledge.Order]:
        """Return the order that a whole replica needs next, if any."""
        if self.conversion is not None and self.conversion.drains(replica):
            leader = replica.members[0]
            assert leader.seat is not None
            return self._plan_close(leader, leader.seat.phase, now)
        return self._plan_open(replica, now)

    def _plan_open(
        self, replica: upstreams.Replica, now: float
    ) -> list[knowledge.Order]:
        """Return the order to open a replica, once all are ready."""
        if any(
            member.seat is None or member.seat.phase is not Phase.READY
            for member in replica.members
        ):
            return []
        leader = replica.members[0]
        if self._has_evacuated(replica) or not self._can_order(leader, now):
            return []
        return [self._create_seat_order(leader, knowledge.OrderKind.OPEN)]

    def _plan_release(
        self, replica: upstreams.Replica, now: float
    ) -> list[knowledge.Order]:
        """Return the next order to end a partly evacuated replica.

        It finishes its requests, however long they last.
        """
        leader = replica.members[0]
        if leader.seat is None or leader.seat.phase is Phase.JOINING:
            return []
        return self._plan_close(leader, leader.seat.phase, now)

    def _plan_dissolution(
        self, replica: upstreams.Replica, now: float
    ) -> tuple[set[ids.InstanceId], list[knowledge.Order]]:
        """Return the members that are free, and orders to free others.

        The leader must have left first, be broken or never have been
        opened. Otherwise a survivor would join another replica while its
        old leader still takes requests, and be part of two at once.
        """
        leader = replica.leader
        all_members = {member.id for member in replica.members}
        if leader is None or leader.seat is None:
            return self._plan_leaderless_dissolution(replica, now)
        phase = leader.seat.phase
        record = self._records[leader.id]
        if phase is Phase.BROKEN:
            return all_members, []
        if record.is_refusing or record.is_silent:
            # It may be unreachable only from here and still take requests,
            # or have stopped listening and still finish its requests.
            return set(), self._plan_leaves(replica.members[1:], now)
        if phase is Phase.JOINING:
            is_assembling = self._is_assembling(replica, now)
            return (set() if is_assembling else all_members), []
        if self._may_finish_requests(replica, now):
            return set(), self._plan_close(leader, phase, now)
        return set(), self._plan_leaves((leader,), now)

    def _plan_leaderless_dissolution(
        self, replica: upstreams.Replica, now: float
    ) -> tuple[set[ids.InstanceId], list[knowledge.Order]]:
        """Return the same for a replica none of whose members leads it."""
        if self._has_leader_left(replica):
            return {member.id for member in replica.members}, []
        if self._is_assembling(replica, now):
            return set(), []
        return set(), self._plan_leaves(replica.members, now)

    def _is_assembling(self, replica: upstreams.Replica, now: float) -> bool:
        """Return whether joins of a replica may still be under way."""
        if self._has_failed(replica, now):
            return False
        return (
            self._measure_duration(replica, "incomplete", now)
            < _ASSEMBLY_SECONDS
        )

    def _plan_close(
        self, leader: upstreams.Upstream, phase: upstreams.Phase, now: float
    ) -> list[knowledge.Order]:
        """Return the next order to end a replica that may finish."""
        if phase is Phase.CLOSING or not self._can_order(leader, now):
            return []
        is_closed = phase is Phase.READY
        kind = (
            knowledge.OrderKind.LEAVE
            if is_closed
            else knowledge.OrderKind.CLOSE
        )
        return [self._create_seat_order(leader, kind)]

    def _has_leader_left(self, replica: upstreams.Replica) -> bool:
        """Return whether the last known leader has left the replica."""
        name = self._leaders.get((replica.id, replica.epoch))
        record = self._records.get(name) if name else None
        return record is not None and record.is_alive

    def _may_finish_requests(
        self, replica: upstreams.Replica, now: float
    ) -> bool:
        """Return whether a replica may finish its requests.

        It may for a limited time, as long as all members are alive: then
        only a planned stop takes a member away.
        """
        ranks = [member.seat.rank for member in replica.members if member.seat]
        if ranks != list(range(replica.size)):
            return False
        if not all(
            self._records[member.id].is_alive for member in replica.members
        ):
            return False
        return self._measure_duration(replica, "closing", now) < _CLOSE_SECONDS

    def _plan_leaves(
        self, members: abc.Iterable[upstreams.Upstream], now: float
    ) -> list[knowledge.Order]:
        """Return leave orders for the members that can be ordered."""
        return [
            self._create_seat_order(member, knowledge.OrderKind.LEAVE)
            for member in members
            if self._records[member.id].is_alive
            and self._can_order(member, now)
        ]

    def _create_seat_order(
        self, member: upstreams.Upstream, kind: knowledge.OrderKind
    ) -> knowledge.Order:
        """Return an order that concerns a member's present seat."""
        seat = member.seat
        assert seat is not None
        return knowledge.Order(
            instance=member.id,
            address=member.address,
            kind=kind,
            sequence=member.sequence,
            replica=seat.replica,
            epoch=seat.epoch,
        )

    # -- Changes to another model

    def _update_conversion(
        self,
        replicas: abc.Iterable[upstreams.Replica],
        loads: abc.Mapping[ids.InstanceId, int],
    ) -> None:
        """Begin the step that the layout calls for, or note its end.

        Only one step is under way at a time. It ends when each of its
        instances has the new model or is lost.
        """
        current = self.conversion
        if current is None:
            self.conversion = self._begin_conversion(replicas, loads)
            return
        current.instances = {
            name
            for name in current.instances
            if name in self._records
            and self._records[name].is_usable
            and current.model.name not in self._records[name].upstream.staged
        }
        if not current.instances:
            self.conversion = None

    def _begin_conversion(
        self,
        replicas: abc.Iterable[upstreams.Replica],
        loads: abc.Mapping[ids.InstanceId, int],
    ) -> conversions.Conversion | None:
        """Return the step that the layout calls for, None if there is none.

        Failure: the layout was derived from a list that is a second old.
        The step therefore begins only if the replicas and idle instances
        that it needs are still there.
        """
        change = self._layout.change
        model = self._engine.find(change.scarce) if change else None
        if change is None or model is None:
            return None
        open_replicas = [
            replica
            for replica in replicas
            if replica.model == change.surplus
            and not self._is_spare(replica)
            and self._is_intact(replica)
            and _is_open(replica)
        ]
        drained = conversions.choose_drained(change, open_replicas, loads)
        idle = self._list_idle(replicas, change.surplus)
        remaining = len(open_replicas) - len(drained)
        chosen = conversions.choose_idle(change, model, idle, remaining)
        is_possible = drained if change.drained else len(idle) > model.size
        if not is_possible:
            return None
        return conversions.Conversion(change, model, drained, chosen)

    def _list_idle(
        self, replicas: abc.Iterable[upstreams.Replica], model: str
    ) -> list[ids.InstanceId]:
        """Return the usable instances with a model that no replica needs."""
        members = {
            member.id
            for replica in replicas
            if not self._is_spare(replica)
            for member in replica.members
        }
        return [
            name
            for name, record in self._records.items()
            if name not in members
            and record.is_usable
            and not record.is_loading
            and self._find_staged_model(record) == model
        ]

    def _plan_conversion_loads(
        self,
        conversion: conversions.Conversion,
        free: abc.Iterable[knowledge.InstanceRecord],
        allowed_loads: int,
        now: float,
    ) -> list[knowledge.Order]:
        """Return the loads of a step's instances that are free."""
        loading = sum(
            bool(self._records[name].staging_model)
            for name in conversion.instances
        )
        at_once = max(self._engine.loads_at_once, 1) - loading
        allowed = max(0, min(allowed_loads, at_once))
        ready = [
            record
            for record in free
            if record.upstream.id in conversion.instances
            and not record.staging_model
            and not record.upstream.busy
        ]
        return [
            self._order_load(
                staging.Load(record.upstream.id, conversion.model), now
            )
            for record in ready[:allowed]
        ]

    # -- Forming and staging

    def _plan_free_instances(
        self,
        free: list[knowledge.InstanceRecord],
        demands: abc.Mapping[str, Demand],
        allowed_loads: int,
        now: float,
    ) -> list[knowledge.Order]:
        """Return the joins and loads for the free instances.

        Instances that are left over join a replica of one, which warms them
        up as spares.
        """
        orders: list[knowledge.Order] = []
        unassigned: dict[str, list[knowledge.InstanceRecord]] = {"": []}
        formed: dict[str, int] = {}
        for model in self._engine.models:
            unassigned[model.name] = []
        for record in free:
            unassigned[self._find_staged_model(record)].append(record)
        for model in self._engine.models:
            candidates, loading = self._separate_loading(
                unassigned[model.name]
            )
            candidates.sort(
                key=lambda record: not self._is_warmed_up(record, model.name)
            )
            while len(candidates) >= model.size:
                chosen, candidates = (
                    candidates[: model.size],
                    candidates[model.size :],
                )
                formed[model.name] = formed.get(model.name, 0) + 1
                orders += self._plan_joins(
                    model, [record.upstream for record in chosen]
                )
            unassigned[model.name] = candidates + loading
        orders += self._plan_loads(
            unassigned, formed, demands, allowed_loads, now
        )
        ordered = {order.instance for order in orders}
        for model in self._engine.models:
            for record in unassigned[model.name]:
                if record.upstream.id in ordered or record.staging_model:
                    continue
                if record.reports_load:
                    continue
                if not self._is_warmed_up(record, model.name):
                    orders += self._plan_joins(model, [record.upstream])
        return orders

    def _separate_loading(
        self, records: list[knowledge.InstanceRecord]
    ) -> tuple[list[knowledge.InstanceRecord], list[knowledge.InstanceRecord]]:
        """Return the instances that may join a replica, and the others.

        Failure: the holder of a domain dies while a step loads instances,
        and its successor forms a replica from them by the weights that they
        still report. A load that was only ordered counts while the measured
        work calls for steps: at other times an order to join ends the wait
        for an order to load that was lost.
        """
        loading = [
            record
            for record in records
            if record.reports_load
            or (self._layout.scarce and record.staging_model)
        ]
        return [one for one in records if one not in loading], loading

    def _find_staged_model(self, record: knowledge.InstanceRecord) -> str:
        """Return the first model whose weights are on the host, or empty."""
        for model in self._engine.models:
            if model.name in record.upstream.staged:
                return model.name
        return ""

    @staticmethod
    def _is_warmed_up(record: knowledge.InstanceRecord, model: str) -> bool:
        """Return whether an instance's last replica was of the model.

        Such an instance joins another one in 0.2 s; any other that has the
        weights on its host takes 1.1 to 1.6 s.
        """
        seat = record.upstream.seat
        if seat is None:
            return False
        parsed = upstreams.parse_replica_id(seat.replica)
        return parsed is not None and parsed[0] == model

    def _plan_joins(
        self, model: routes.Model, members: list[upstreams.Upstream]
    ) -> list[knowledge.Order]:
        """Return the joins that form a replica under a new epoch."""
        self._epoch += 1
        token = f"{self._name}-{self._epoch}"
        name = upstreams.make_replica_id(model.name, len(members), token)
        member_ids = tuple(member.id for member in members)
        return [
            knowledge.Order(
                instance=member.id,
                address=member.address,
                kind=knowledge.OrderKind.JOIN,
                sequence=member.sequence,
                model=model.name,
                replica=name,
                epoch=self._epoch,
                members=member_ids,
                min_duration=self._estimate_join_seconds(member, model),
            )
            for member in members
        ]

    def _estimate_join_seconds(
        self, upstream: upstreams.Upstream, model: routes.Model
    ) -> float:
        """Return the seconds that a join takes at least.

        Only an instance that hasn't joined since its start surely needs the
        whole warm-up: it has accepted one order at most, a load.
        """
        is_first = upstream.seat is None and (upstream.sequence or 0) <= 1
        return model.warm if is_first else 0.0

    def _plan_loads(
        self,
        unassigned: dict[str, list[knowledge.InstanceRecord]],
        formed: dict[str, int],
        demands: abc.Mapping[str, Demand],
        allowed_loads: int,
        now: float,
    ) -> list[knowledge.Order]:
        """Return the loads of weights for instances that cannot join."""
        layout = self._layout
        main = self._engine.find(layout.main) or self._engine.models[0]
        staged = self._count_staged()
        wanted = {}
        if layout.replicas:
            usable = self._count_usable()
            wanted = layout_module.count_wanted(
                self._engine, layout.replicas, usable
            )
        inventory = staging.DomainInventory(
            main=main,
            blank=tuple(
                record.upstream.id
                for record in unassigned[""]
                if not record.staging_model and not record.upstream.busy
            ),
            idle={
                model.name: tuple(
                    record.upstream.id for record in unassigned[model.name]
                )
                for model in self._engine.models
            },
            usable=self._count_usable(),
            size=layout.size,
            coverage=self._measure_coverage(unassigned, formed, demands),
            # Instances of a step that wait for their load are not converted
            # back.
            loading=self.conversion is not None
            or any(
                record.staging_model or record.upstream.busy
                for record in self._records.values()
            ),
            has_traffic=self._has_traffic,
            formed=self.count_replicas(),
            wanted=wanted,
            staged=staged,
            scarce=layout.scarce,
            lacking=layout.lacking,
            kept=self._list_kept(main, now),
        )
        loads = staging.choose_loads(self._engine, inventory)
        return [self._order_load(load, now) for load in loads[:allowed_loads]]

    def _list_kept(self, main: routes.Model, now: float) -> frozenset[str]:
        """Return the models that a step may still be loading here.

        Failure: a node was restarted, or another took over, when a part of
        a step's instances was loaded. It took them for stranded and loaded
        them back. The step shows only in what the domain has staged: more
        and more instances of a model that is not its main one.
        """
        counts = collections.Counter(
            self._find_staged_model(record)
            for record in self._records.values()
        )
        for name, count in counts.items():
            if count > self._staged_counts[name]:
                self._grown_at[name] = now
        self._staged_counts = counts
        return frozenset(
            name
            for name, grown_at in self._grown_at.items()
            if name not in ("", main.name) and now - grown_at < _STEP_SECONDS
        )

    def _count_usable(self) -> int:
        """Return how many instances may serve in replicas."""
        return sum(
            record.is_usable and self._may_form(record)
            for record in self._records.values()
        )

    def _count_staged(self) -> dict[str, int]:
        """Return how many usable instances have or load each model."""
        found: dict[str, int] = {}
        for record in self._records.values():
            name = record.staging_model or self._find_staged_model(record)
            if name and record.is_usable and self._may_form(record):
                found[name] = found.get(name, 0) + 1
        return found

    def _measure_coverage(
        self,
        unassigned: dict[str, list[knowledge.InstanceRecord]],
        formed: dict[str, int],
        demands: abc.Mapping[str, Demand],
    ) -> dict[str, float]:
        """Return the slots of each model per request running or waiting."""
        own = self.count_replicas()
        loading: dict[str, int] = {}
        for record in self._records.values():
            is_loading = record.staging_model and record.is_usable
            if is_loading and self._may_form(record):
                loading[record.staging_model] = (
                    loading.get(record.staging_model, 0) + 1
                )
        found = {}
        for model in self._engine.models:
            demand = demands.get(model.name, Demand(model.share, 0))
            idle = len(unassigned[model.name]) + loading.get(model.name, 0)
            replicas = (
                demand.replicas
                + own.get(model.name, 0)
                + formed.get(model.name, 0)
                + idle // model.size
            )
            requests = max(demand.requests, 0.01)
            found[model.name] = replicas * self._engine.slots / requests
        return found

    def _order_load(self, load: staging.Load, now: float) -> knowledge.Order:
        """Return the order for a load, and note it in the record."""
        record = self._records[load.instance]
        record.staging_model = load.model.name
        record.staging_until = now + 3 * load.model.load
        return knowledge.Order(
            instance=record.upstream.id,
            address=record.upstream.address,
            kind=knowledge.OrderKind.STAGE,
            sequence=record.upstream.sequence,
            model=load.model.name,
        )


def _is_never(_: ids.DatacentreName) -> bool:
    return False


def _is_open(replica: upstreams.Replica) -> bool:
    """Return whether the leader of a replica takes requests."""
    seat = replica.members[0].seat
    return seat is not None and seat.phase is Phase.OPEN

"""The duty for fabric domains: probes and orders.

For each domain the node that holds its lease (`domainleases`) probes the
instances, has replicas planned (`formation`) and gives the orders. While
nobody can hold the lease one node goes on with the probes alone.
"""

import collections
from collections import abc

import eventlet

from currantwall.coordination.replicas import formation
from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import layout as layout_module
from currantwall.coordination.replicas import staging
from currantwall.coordination.replicas import supply
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import domainleases
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["Duties"]

# Seconds between two rounds of a node that probes a domain, and of one
# that doesn't.
_TICK = 0.1
_IDLE_TICK = 0.25
# Seconds between two probes of one instance while something changes
# there; its report is 0.2 s old itself.
_PROBE_INTERVAL = 0.2
# The same of an instance that has left several unanswered: a domain that
# went dark comes back after seconds, and each miss is paid for.
_SILENT_INTERVAL = 0.5
# The same where no order can be given: only losses are looked for.
_PROBER_INTERVAL = 1.0
# The same of an instance that is slow, until it no longer is.
_SLOW_INTERVAL = 1.0
# Factor by which an instance is slower than usual above which its replica
# is better passed over.
_SLOW_PACE = 3.0
# Seconds between two probes of instances of replicas that are whole and
# open: their loss shows in the store's list, and sooner in the requests.
_STEADY_INTERVAL = 4.0
# Seconds without a new instance after which the list counts as whole.
_SETTLED = 1.2
# Seconds between two looks at what the domains are meant for.
_DEAL_INTERVAL = 1.0
# Fencing numbers of one lease revision: more than the joins it may give.
_EPOCHS = 1000


class _Domain:
    """One fabric domain as this node sees it."""

    def __init__(
        self,
        name: ids.DomainName,
        service: ids.ServiceName,
        lease: domainleases.DomainLease,
        planner: formation.Planner,
    ) -> None:
        self.name = name
        self.service = service
        self.lease = lease
        self.planner = planner
        self.layout = layout_module.Layout("")
        # Fencing number of the tenure that the planner's knowledge is of.
        self.fence = 0
        # Whether this node probes the instances.
        self.is_probed = False
        self.loads = staging.LoadBucket()
        self.probed: dict[ids.InstanceId, float] = {}
        self.probing: set[ids.InstanceId] = set()
        # Instances that were slow when last asked.
        self.slow: set[ids.InstanceId] = set()
        # As last written to the log.
        self.state: dict[str, str] = {}


class Duties:
    """Takes and carries out the duty for domains."""

    def __init__(
        self,
        leases: domainleases.DomainLeases,
        engines: ports.Engines,
        fleet: upstreams.Fleet,
        balancer: balancing.Balancer,
        log: journal.Journal,
        meter: metrics_module.Metrics,
        clock: timers.TimerService,
    ) -> None:
        self._leases = leases
        self._engines = engines
        self._fleet = fleet
        self._balancer = balancer
        self._log = log
        self._meter = meter
        self._clock = clock
        self._domains: dict[ids.DomainName, _Domain] = {}
        self._sizes: dict[ids.DomainName, int] = {}
        # The list and the services that the domains were last dealt out by.
        self._dealt: tuple[int, tuple[routes.Service, ...]] | None = None
        self._next_deal = 0.0
        self._supply = supply.Supply(fleet)
        self._largest = 0
        self._grown_at = self._clock.now()
        self._stopping = False
        # Told of a leader whose replica has lost a member, by its epoch id.
        self.on_loss: abc.Callable[[str], None] = _ignore
        # Told of a leader whose replica a member slows down, by its epoch id.
        self.on_slow: abc.Callable[[str], None] = _ignore
        self.services: abc.Callable[[], abc.Iterable[routes.Service]] = tuple

    # -- The loop

    def run(self) -> None:
        """Look after the domains for ever."""
        while not self._stopping:
            self.tick(self._clock.now())
            probes = any(one.is_probed for one in self._domains.values())
            eventlet.sleep(_TICK if probes else _IDLE_TICK)

    def tick(self, now: float) -> None:
        """Do what is due for each domain."""
        self._find_domains(now)
        self._leases.look(now)
        for one in self._domains.values():
            if self._leases.tick(one.lease, now):
                one.is_probed = True
                self._begin(one)
                self._work(one, now)
                continue
            is_prober = self._leases.is_prober(one.lease, now)
            if is_prober and not one.is_probed:
                self._forget(one)
            if is_prober != one.is_probed:
                self._log.write(
                    "probes_without_lease" if is_prober else "probes_ended",
                    domain=one.name,
                    holder=one.lease.holder,
                )
            one.is_probed = is_prober
            if is_prober:
                self._probe_members(one, now)

    def _begin(self, one: _Domain) -> None:
        """Forget what an earlier tenure of this node knew.

        Failure: another node held the domain in between and opened a
        replica; this one takes it up again, still has its leader for
        unopened and gives its members to another replica. What the
        instances report is asked for anew, and none gets an order before.
        """
        if one.fence == one.lease.fence:
            return
        one.fence = one.lease.fence
        self._forget(one)

    @staticmethod
    def _forget(one: _Domain) -> None:
        """Have the instances' state asked for anew."""
        one.planner = formation.Planner(one.name, one.planner.engine)
        one.probed.clear()
        one.slow.clear()

    def stop(self) -> None:
        """Give all leases back, so that a successor need not wait."""
        self._stopping = True
        self._leases.release()

    def _find_domains(self, now: float) -> None:
        """Learn the domains from the instances, where these have changed.

        The load it answers: in a thousand instances a few change their
        state several times a second, which says nothing of the domains.
        """
        if not self._is_settled() or now < self._next_deal:
            return
        services = tuple(self.services())
        state = self._fleet.generation, services
        if state == self._dealt:
            return
        self._dealt = state
        self._next_deal = now + _DEAL_INTERVAL
        for service in services:
            if service.engine is None:
                continue
            instances = self._fleet.list_service(service.name)
            sizes = collections.Counter(
                one.domain for one in instances if one.domain
            )
            for name in sizes:
                if name not in self._domains:
                    self._add(name, service)
            staged = _find_staged(instances, sizes)
            self._assign(service.engine, sizes, staged)

    def _is_settled(self) -> bool:
        """Return whether the list of instances has stopped growing.

        Failure: at the first start the instances register over some
        seconds; domains dealt out after the first few of them get other
        models than with all known, and their loads are in vain.
        """
        # By the age of the list: one that has not come again says nothing.
        seen = self._fleet.updated
        count = len(self._fleet.all())
        if count > self._largest:
            self._largest = count
            self._grown_at = seen
        return bool(self._domains) or seen - self._grown_at > _SETTLED

    def _assign(
        self,
        engine: routes.Engine,
        sizes: abc.Mapping[ids.DomainName, int],
        staged: abc.Mapping[ids.DomainName, str],
    ) -> None:
        """Learn the largest size of each domain, and its model.

        Sizes only grow here: which model a domain is meant for must not
        change whenever an instance is lost.
        """
        for name, size in sizes.items():
            self._sizes[name] = max(self._sizes.get(name, 0), size)
        known = {name: self._sizes[name] for name in sizes}
        found = staging.assign_models(engine, known, staged)
        # As dealt out at first, whatever the domains have by now: a mixed
        # domain has more instances of one model than of the other.
        dealt = staging.assign_models(engine, known)
        mix = layout_module.choose_mix(engine, known, dealt)
        for name, model in found.items():
            self._domains[name].layout = layout_module.Layout(
                model, mix, self._sizes[name]
            )

    def _add(self, name: ids.DomainName, service: routes.Service) -> None:
        assert service.engine is not None
        lease = self._leases.add(name)
        planner = formation.Planner(name, service.engine)
        self._domains[name] = _Domain(name, service.name, lease, planner)

    # -- Probes and orders

    def find_prober(self, instance: ids.InstanceId) -> ids.NodeId:
        """Return who probes an instance's domain; empty for nobody."""
        upstream = self._fleet.get(instance)
        if upstream is None:
            return ids.NodeId("")
        return self._leases.find_prober(upstream.domain, self._clock.now())

    def suspect(self, instance: ids.InstanceId) -> None:
        """Probe all of a replica whose leader seems to stall."""
        now = self._clock.now()
        for one in self._domains.values():
            if not one.is_probed:
                continue
            leader = one.planner.knowledge.find(instance)
            if leader is None:
                continue
            for name in one.planner.knowledge.list_replica_members(instance):
                self._probe(one, name, now)

    def _probe_members(self, one: _Domain, now: float) -> None:
        """Probe the instances whose report is wanted."""
        members = self._fleet.list_domain(one.service, one.name)
        one.planner.knowledge.note_list(members, now)
        interval = _PROBE_INTERVAL if one.lease.held else _PROBER_INTERVAL
        for name in one.planner.list_probes(now, _STEADY_INTERVAL):
            self._probe(one, name, now, interval)
        for name in list(one.slow):
            self._probe(one, name, now, _SLOW_INTERVAL)

    def _work(self, one: _Domain, now: float) -> None:
        """Probe the instances and give the orders that are due."""
        self._probe_members(one, now)
        state = one.planner.describe()
        if state != one.state:
            one.state = state
            self._log.write("domain_changed", domain=one.name, state=state)
        allowed = self._count_loads(one, now)
        orders = one.planner.plan(
            now,
            one.lease.fence * _EPOCHS,
            one.layout,
            self._find_demands(one),
            allowed,
            self._balancer.has_seen_traffic,
        )
        stage = knowledge.OrderKind.STAGE
        one.loads.spend(sum(order.kind is stage for order in orders))
        for order in orders:
            eventlet.spawn_n(self._give, one, order)

    def _count_loads(self, one: _Domain, now: float) -> int:
        """Return the loads of weights that a domain may start now."""
        rate = 1.0
        for service in self.services():
            if service.name == one.service and service.engine is not None:
                rate = service.engine.loads_per_second
        allowed = one.loads.count(rate, len(self._domains), now)
        if not self._balancer.has_seen_traffic:
            # Before the first request the weight store sets no limit.
            return _UNLIMITED
        return allowed

    def _find_demands(self, one: _Domain) -> dict[str, formation.Demand]:
        """Return need and supply of the models outside this domain."""
        busy = self._balancer.count_busy(one.service)
        elsewhere = self._supply.count_elsewhere(one.service, one.name)
        total = sum(busy.values())
        found = {}
        for service in self.services():
            if service.name != one.service or service.engine is None:
                continue
            for model in service.engine.models:
                # Few requests say little: begin with what was expected.
                expected = model.share * max(_EXPECTED_BUSY - total, 0)
                kind = backlog.Kind(one.service, model.name)
                waiting = self._balancer.count_all_waiting(
                    backlog.format_count_key(kind)
                )
                need = busy.get(model.name, 0) + waiting + expected
                found[model.name] = formation.Demand(
                    need, elsewhere.get(model.name, 0)
                )
        return found

    def _probe(
        self,
        one: _Domain,
        name: ids.InstanceId,
        now: float,
        interval: float = _PROBE_INTERVAL,
    ) -> None:
        """Probe an instance, once an interval at most."""
        known = one.planner.knowledge.instances.get(name)
        if known is None:
            one.slow.discard(name)
            return
        if name in one.probing:
            return
        if known.is_silent:
            interval = max(interval, _SILENT_INTERVAL)
        if now < one.probed.get(name, 0.0) + interval:
            return
        upstream = known.upstream
        one.probed[name] = now
        one.probing.add(name)
        eventlet.spawn_n(self._run_probe, one, upstream, known.missed > 0)

    def _run_probe(
        self, one: _Domain, upstream: upstreams.Upstream, fresh: bool
    ) -> None:
        try:
            found = self._engines.report(upstream, fresh)
        finally:
            one.probing.discard(upstream.id)
        self._meter.add("currantwall.probes", 1)
        now = self._clock.now()
        if isinstance(found, knowledge.ProbeResult):
            known = one.planner.knowledge.instances.get(upstream.id)
            if known is not None and not known.missed:
                # A first miss is checked at once, a later one in its turn.
                one.probed.pop(upstream.id, None)
            if one.planner.knowledge.note_failure(upstream.id, found):
                self._meter.add("currantwall.instances.lost", 1, found.value)
                self._log.write(
                    "instance_lost",
                    instance=upstream.id,
                    domain=one.name,
                    why=found.value,
                    seat=_describe(upstream),
                )
                self._tell_loss(one, upstream)
        else:
            one.planner.knowledge.note_report(found, now)
            self._note_pace(one, found)

    def _note_pace(self, one: _Domain, found: upstreams.Upstream) -> None:
        """Tell of a replica that a slow member slows down.

        The load pattern: an instance runs at a twelfth of its speed for
        some seconds and its replica with it; each of a hundred nodes would
        find that out by a request of its own.
        """
        is_slow = found.pace >= _SLOW_PACE
        if is_slow != (found.id in one.slow):
            self._log.write(
                "instance_slow" if is_slow else "instance_no_longer_slow",
                instance=found.id,
                domain=one.name,
                pace=found.pace,
                seat=_describe(found),
            )
        if not is_slow:
            one.slow.discard(found.id)
            return
        one.slow.add(found.id)
        leader = self._find_leader(one, found.id)
        if leader is not None:
            self.on_slow(leader.epoch_id)

    def _tell_loss(self, one: _Domain, lost: upstreams.Upstream) -> None:
        """Tell the leader of a replica that has lost a member."""
        leader = self._find_leader(one, lost.id)
        if leader is not None:
            self.on_loss(leader.epoch_id)

    @staticmethod
    def _find_leader(
        one: _Domain, instance: ids.InstanceId
    ) -> upstreams.Upstream | None:
        """Return the leader of an instance's replica, if it is open."""
        for name in one.planner.knowledge.list_replica_members(instance):
            member = one.planner.knowledge.find(name)
            if member is not None and member.seat is not None:
                leads = member.seat.rank == 0
                if leads and member.seat.phase is upstreams.Phase.OPEN:
                    return member
        return None

    def _give(self, one: _Domain, order: knowledge.Order) -> None:
        """Send an order while the lease certainly holds."""
        if not one.lease.tracker.holds(self._clock.now()):
            return
        answer = self._engines.order(order)
        now = self._clock.now()
        one.planner.knowledge.note_answer(order, answer.accepted, now)
        self._meter.add("currantwall.orders", 1, order.kind.value)
        self._log.write(
            "order",
            kind=order.kind.value,
            instance=order.instance,
            domain=one.name,
            replica=order.replica or order.model,
            epoch=order.epoch,
            sequence=order.sequence,
            fence=one.lease.fence,
            accepted=answer.accepted,
            answer=answer.detail,
        )


_UNLIMITED = 1_000_000
# Requests in work below which the expected shares of the models count.
_EXPECTED_BUSY = 10.0


def _ignore(_: str) -> None:
    return


def _find_staged(
    instances: abc.Iterable[upstreams.Upstream],
    sizes: abc.Mapping[ids.DomainName, int],
) -> dict[ids.DomainName, str]:
    """Return the model that more than half of a domain's instances have.

    Failure: domains are dealt out by size, and one that grows by two
    instances makes others change places; new instances are then loaded
    with a model of which their domain has nothing.
    """
    counts = collections.Counter(
        (one.domain, model)
        for one in instances
        for model in one.staged
        if one.domain
    )
    return {
        name: model
        for (name, model), count in counts.items()
        if 2 * count > sizes[name]
    }


def _describe(upstream: upstreams.Upstream) -> str:
    seat = upstream.seat
    if seat is None:
        return ""
    return f"{seat.replica}@{seat.epoch}/{seat.rank} {seat.phase.value}"

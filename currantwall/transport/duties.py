"""Control loop for fabric domains: probes instances and sends orders.

For each domain, the node that holds its lease (`domainleases`) probes the
instances, plans the replicas (`formation`) and sends the orders. While no
node can hold the lease, one node goes on probing but sends no orders.
"""

import collections
from collections import abc

import eventlet
import msgspec

from currantwall.coordination.replicas import conversions
from currantwall.coordination.replicas import formation
from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import layout as layout_module
from currantwall.coordination.replicas import rebalancing
from currantwall.coordination.replicas import staging
from currantwall.coordination.replicas import supply
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import evacuations as evacuations_module
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import domainleases
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module
from currantwall.transport import ports
from currantwall.transport import timers

__all__ = ["Duties"]

# Seconds between two rounds of the control loop: on a node that probes a
# domain, and on one that probes none.
_TICK_INTERVAL = 0.1
_IDLE_TICK_INTERVAL = 0.25
# Seconds between two probes of one instance while its state changes. The
# report itself may be 0.2 s old.
_PROBE_INTERVAL = 0.2
# Seconds between two probes of an instance that left several probes
# unanswered. An unreachable domain takes seconds to come back, and each
# unanswered probe is paid for.
_SILENT_PROBE_INTERVAL = 0.5
# Seconds between two probes of one instance while nobody can hold the
# lease: without orders, the probes only detect losses.
_UNLEASED_PROBE_INTERVAL = 1.0
# Seconds between two probes of a slow instance, until it has recovered.
_SLOW_PROBE_INTERVAL = 1.0
# An instance counts as slow if it is slower than usual by this factor;
# its replica is then avoided.
_SLOW_PACE = 3.0
# Seconds between two probes of an instance whose replica is complete and
# open. Its loss also shows in the store's list, and in failing requests
# even sooner.
_STEADY_PROBE_INTERVAL = 4.0
# The list of instances counts as complete after this many seconds without
# a new instance.
_SETTLE_TIME = 1.2
# Shortest time in seconds between two assignments of models to domains.
_ASSIGN_INTERVAL = 1.0
# Seconds between two reviews of the layout by measured work.
_REVIEW_INTERVAL = 1.0
# Replica epochs reserved for each fencing token: more than the joins that
# one holder orders under it.
_EPOCHS_PER_FENCE = 1000


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
        # Fencing token of the lease under which the planner's knowledge
        # was gathered.
        self.fence = 0
        # Whether this node probes the instances.
        self.is_probed = False
        # Limits the rate at which weights are loaded.
        self.loads = staging.LoadBucket()
        # The same for a change to another model.
        self.conversion_loads = staging.LoadBucket()
        # When each instance was last probed.
        self.probed_at: dict[ids.InstanceId, float] = {}
        self.probes_in_flight: set[ids.InstanceId] = set()
        # Instances to probe as soon as the interval allows.
        self.suspected: set[ids.InstanceId] = set()
        # Instances that were slow at their last report.
        self.slow: set[ids.InstanceId] = set()
        # The planner's state as last logged.
        self.state: dict[str, str] = {}


class Duties:
    """Probes the domains and, where this node holds the lease, sends orders.

    Attributes:
        on_loss: Called with the leader's epoch ID when its replica has
            lost a member.
        on_slow: Called with the leader's epoch ID when a member slows down
            its replica.
        on_unresponsive: The same when a member answers nothing, though it
            accepts connections.
        on_report: Called with each instance as it has reported itself.
        verify_path: Returns whether this node has a path to upstreams, by
            connections that were opened after a time.
        is_cut_off: Returns whether other nodes have a path and this one
            has none.
        services: Returns the configured services.
        evacuations: Data centres in which no replicas are formed.
        follows_work: Whether domains change by the measured work. Without
            it they keep to the stated shares, for comparisons.
    """

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
        # Generation of the fleet, and the services, of the last assignment
        # of models to domains.
        self._assigned_from: tuple[int, tuple[routes.Service, ...]] | None = (
            None
        )
        self._next_assignment = 0.0
        self._supply = supply.Supply(fleet)
        # Reviews of the layout by measured work, by service.
        self._reviews: dict[ids.ServiceName, rebalancing.Review] = {}
        self._next_review = 0.0
        # Replicas that the offered work keeps busy, by service and model.
        self._work: dict[ids.ServiceName, dict[str, float]] = {}
        self._largest_count = 0
        self._grown_at = self._clock.now()
        self._stopping = False
        self.on_loss: abc.Callable[[str], None] = _ignore
        self.on_slow: abc.Callable[[str], None] = _ignore
        self.on_unresponsive: abc.Callable[[str], None] = _ignore
        self.on_report: abc.Callable[[upstreams.Upstream], None] = (
            _ignore_report
        )
        self.verify_path: abc.Callable[[float], bool] = _is_true
        self.is_cut_off: abc.Callable[[float], bool] = _is_false
        self.services: abc.Callable[[], abc.Iterable[routes.Service]] = tuple
        self.evacuations = evacuations_module.Evacuations()
        self.follows_work = True

    # -- The loop

    def run(self) -> None:
        """Run the control loop until `stop` is called."""
        while not self._stopping:
            self.tick(self._clock.now())
            probes = any(domain.is_probed for domain in self._domains.values())
            eventlet.sleep(_TICK_INTERVAL if probes else _IDLE_TICK_INTERVAL)

    def tick(self, now: float) -> None:
        """Run one round: renew leases, probe instances and send orders.

        Args:
            now: Monotonic time in seconds.
        """
        self._update_domains(now)
        self._review_layouts(now)
        if self.is_cut_off(now):
            # Leases lapse without renewal; the successor reaches the
            # instances.
            for domain in self._domains.values():
                domain.is_probed = False
            return
        self._leases.refresh(now)
        for domain in self._domains.values():
            if self._leases.tick(domain.lease, now):
                domain.is_probed = True
                self._start_tenure(domain)
                self._manage(domain, now)
                continue
            is_prober = self._leases.is_prober(domain.lease, now)
            if is_prober and not domain.is_probed:
                self._reset_knowledge(domain)
            if is_prober != domain.is_probed:
                self._log.write(
                    "probes_without_lease" if is_prober else "probes_ended",
                    domain=domain.name,
                    holder=domain.lease.holder,
                )
            domain.is_probed = is_prober
            if is_prober:
                self._probe_members(domain, now)

    def _start_tenure(self, domain: _Domain) -> None:
        """Discard the knowledge from an earlier tenure of the lease.

        Failure: this node loses the lease, another node opens a replica,
        and this node takes the lease again. By its old knowledge the
        leader is not open yet, and it gives the members to another
        replica. Every instance is therefore probed again before it gets an
        order.
        """
        if domain.fence == domain.lease.fence.number:
            return
        domain.fence = domain.lease.fence.number
        self._reset_knowledge(domain)

    @staticmethod
    def _reset_knowledge(domain: _Domain) -> None:
        """Discard what is known of the instances, so that all are probed."""
        domain.planner = formation.Planner(domain.name, domain.planner.engine)
        domain.probed_at.clear()
        domain.slow.clear()
        domain.suspected.clear()

    def stop(self) -> None:
        """Stop the loop and release all leases.

        A successor then need not wait until they lapse.
        """
        self._stopping = True
        self._leases.release()

    def _update_domains(self, now: float) -> None:
        """Find the domains and assign models after the fleet has changed.

        At most once per `_ASSIGN_INTERVAL`: among a thousand instances a
        few change their state several times a second, which does not
        change the domains.
        """
        if not self._is_list_settled() or now < self._next_assignment:
            return
        services = tuple(self.services())
        state = self._fleet.generation, services
        if state == self._assigned_from:
            return
        self._assigned_from = state
        self._next_assignment = now + _ASSIGN_INTERVAL
        for service in services:
            if service.engine is None:
                continue
            instances = self._fleet.list_service(service.name)
            sizes = collections.Counter(
                instance.domain for instance in instances if instance.domain
            )
            for name in sizes:
                if name not in self._domains:
                    self._add_domain(name, service)
            staged = _find_staged_models(instances, sizes)
            self._assign_models(service.engine, sizes, staged)

    def _is_list_settled(self) -> bool:
        """Return whether the list of instances has stopped growing.

        Failure: at the first start the instances register over some
        seconds. If models are assigned to domains after the first few
        instances, the assignment changes once all are known, and the
        weights loaded until then are wasted.
        """
        # Time is measured by the list's updates: a list that has not been
        # updated does not show that the fleet has stopped growing.
        seen = self._fleet.updated
        count = len(self._fleet.all())
        if count > self._largest_count:
            self._largest_count = count
            self._grown_at = seen
        return bool(self._domains) or seen - self._grown_at > _SETTLE_TIME

    def _assign_models(
        self,
        engine: routes.Engine,
        sizes: abc.Mapping[ids.DomainName, int],
        staged: abc.Mapping[ids.DomainName, str],
    ) -> None:
        """Assign a model, or a mix of models, to each domain.

        Uses the largest size seen of each domain, so that the assignment
        does not change whenever an instance is lost.
        """
        for name, size in sizes.items():
            self._sizes[name] = max(self._sizes.get(name, 0), size)
        known = {name: self._sizes[name] for name in sizes}
        found = staging.assign_models(engine, known, staged)
        # The mix is chosen from the assignment without staged models,
        # because a mixed domain has more instances of one model than of
        # the other.
        unstaged_models = staging.assign_models(engine, known)
        mix = layout_module.choose_mix(engine, known, unstaged_models)
        for name, model in found.items():
            domain = self._domains[name]
            domain.layout = layout_module.Layout(
                model,
                mix,
                self._sizes[name],
                domain.layout.change,
                domain.layout.scarce,
                domain.layout.lacking,
            )

    def _review_layouts(self, now: float) -> None:
        """Set the step to another model that a domain should begin now.

        Mixed domains keep to their mix.
        """
        if not self.follows_work or now < self._next_review:
            return
        self._next_review = now + _REVIEW_INTERVAL
        for service in self.services():
            if service.engine is None or len(service.engine.models) < 2:
                continue
            work = {
                model.name: self._balancer.measure_work(
                    service.name, model.name, now
                )
                for model in service.engine.models
            }
            self._work[service.name] = work
            review = self._reviews.setdefault(
                service.name, rebalancing.Review()
            )
            change = review.decide(
                service.name,
                service.engine,
                work,
                lambda name=service.name, engine=service.engine: (
                    self._supply.list_domains(
                        name, engine, self.evacuations.is_evacuated
                    )
                ),
                now - self._fleet.updated,
                now,
            )
            for domain in self._domains.values():
                if domain.service == service.name:
                    _set_change(domain, change, review)

    def _add_domain(
        self, name: ids.DomainName, service: routes.Service
    ) -> None:
        assert service.engine is not None
        members = self._fleet.list_domain(service.name, name)
        is_managed = any(one.seat is not None for one in members)
        lease = self._leases.add(name, is_managed)
        planner = formation.Planner(name, service.engine)
        self._domains[name] = _Domain(name, service.name, lease, planner)

    # -- Probes and orders

    def find_prober(self, instance: ids.InstanceId) -> ids.NodeId:
        """Return the node that probes an instance's domain.

        Returns:
            The ID of the node; empty if the instance or the lease of its
            domain is unknown.
        """
        upstream = self._fleet.get(instance)
        if upstream is None:
            return ids.NodeId("")
        return self._leases.find_prober(upstream.domain, self._clock.now())

    def suspect(self, instance: ids.InstanceId) -> None:
        """Probe all members of a replica whose leader seems to stall.

        Does nothing if this node does not probe the leader's domain.

        Args:
            instance: The leader.
        """
        now = self._clock.now()
        for domain in self._domains.values():
            if not domain.is_probed:
                continue
            leader = domain.planner.knowledge.find(instance)
            if leader is None:
                continue
            domain.suspected.update(
                domain.planner.knowledge.list_replica_members(instance)
            )
            self._probe_suspected(domain, now)

    def _probe_suspected(self, domain: _Domain, now: float) -> None:
        """Probe suspected instances; those just probed remain suspected.

        Failure: an instance ends just after it has answered a probe, and
        nobody asks again.
        """
        for name in list(domain.suspected):
            if self._probe(domain, name, now):
                domain.suspected.discard(name)

    def _probe_members(self, domain: _Domain, now: float) -> None:
        """Probe the instances that the planner asks for and the slow ones."""
        members = self._fleet.list_domain(domain.service, domain.name)
        domain.planner.knowledge.note_list(members, now)
        domain.planner.is_evacuated = self.evacuations.is_evacuated
        interval = (
            _PROBE_INTERVAL if domain.lease.held else _UNLEASED_PROBE_INTERVAL
        )
        for name in domain.planner.list_probes(now, _STEADY_PROBE_INTERVAL):
            self._probe(domain, name, now, interval)
        for name in list(domain.slow):
            self._probe(domain, name, now, _SLOW_PROBE_INTERVAL)
        self._probe_suspected(domain, now)

    def _manage(self, domain: _Domain, now: float) -> None:
        """Probe the instances of a domain and send the orders that are due.

        This node must hold the lease of the domain.
        """
        self._probe_members(domain, now)
        state = domain.planner.describe()
        if state != domain.state:
            domain.state = state
            self._log.write("domain_changed", domain=domain.name, state=state)
        allowed = self._count_allowed_loads(domain, now)
        before = domain.planner.conversion
        orders = domain.planner.plan(
            now,
            domain.lease.fence.number * _EPOCHS_PER_FENCE,
            domain.layout,
            self._compute_demands(domain),
            allowed,
            self._balancer.has_seen_traffic,
            self._count_loads(domain),
            self._count_conversion_loads(domain, now),
        )
        self._log_conversion(domain, before)
        self._spend_loads(domain, orders)
        for order in orders:
            eventlet.spawn_n(self._send_order, domain, order)

    def _count_loads(self, domain: _Domain) -> dict[ids.InstanceId, int]:
        """Return the requests in flight of a domain that should change."""
        if domain.layout.change is None:
            return {}
        return {
            name: self._balancer.count_load(name)
            for name in domain.planner.knowledge.instances
        }

    def _log_conversion(
        self, domain: _Domain, before: conversions.Conversion | None
    ) -> None:
        """Log and count the begin or end of a step to another model."""
        after = domain.planner.conversion
        if after is before:
            return
        if before is not None:
            self._log.write(
                "layout_change_ended",
                domain=domain.name,
                model=before.model.name,
            )
        if after is not None:
            self._meter.add("currantwall.layout.changes", 1, after.model.name)
            self._log.write(
                "layout_change_begun",
                domain=domain.name,
                model=after.model.name,
                instead_of=after.change.surplus,
                drained=sorted(name for name, _ in after.replicas),
                instances=len(after.instances),
                work=self._work.get(domain.service, {}),
            )

    @staticmethod
    def _spend_loads(
        domain: _Domain, orders: abc.Iterable[knowledge.Order]
    ) -> None:
        """Count the loads that were ordered against the domain's rates."""
        conversion = domain.planner.conversion
        converted = conversion.instances if conversion else ()
        loaded = [
            order.instance
            for order in orders
            if order.kind is knowledge.OrderKind.STAGE
        ]
        changed = sum(name in converted for name in loaded)
        domain.conversion_loads.spend(changed)
        domain.loads.spend(len(loaded) - changed)

    def _count_conversion_loads(self, domain: _Domain, now: float) -> int:
        """Return how many loads for another model may start now.

        Only one domain changes at a time, so that it does not divide this
        part of the rate with the others.
        """
        if domain.planner.conversion is None:
            return 0
        shares = 1 / rebalancing.LOAD_RATE_SHARE
        rate = self._find_load_rate(domain)
        return domain.conversion_loads.count(rate, shares, now)

    def _may_step(self, service: ids.ServiceName, now: float) -> bool:
        """Return whether a step may be under way in a service's domains."""
        review = self._reviews.get(service)
        if review is not None and review.may_step(now):
            return True
        return any(
            domain.planner.conversion is not None
            for domain in self._domains.values()
            if domain.service == service
        )

    def _find_load_rate(self, domain: _Domain) -> float:
        """Return the loads per second that the weight store allows."""
        for service in self.services():
            if service.name == domain.service and service.engine is not None:
                return service.engine.loads_per_second
        return 1.0

    def _count_allowed_loads(self, domain: _Domain, now: float) -> int:
        """Return how many loads of weights a domain may start now.

        While a step to another model may be under way in any domain, its
        part of the rate is not given to other loads.
        """
        rate = self._find_load_rate(domain)
        count = float(len(self._domains))
        if self._may_step(domain.service, now):
            count /= 1 - rebalancing.LOAD_RATE_SHARE
        allowed = domain.loads.count(rate, count, now)
        if not self._balancer.has_seen_traffic:
            # The weight store's rate is not a limit before the first
            # request.
            return _UNLIMITED_LOADS
        return allowed

    def _compute_demands(self, domain: _Domain) -> dict[str, formation.Demand]:
        """Return each model's demand, and its supply in other domains."""
        busy = self._balancer.count_busy(domain.service)
        elsewhere = self._supply.count_elsewhere(
            domain.service, domain.name, self.evacuations.is_evacuated
        )
        total = sum(busy.values())
        found = {}
        for service in self.services():
            if service.name != domain.service or service.engine is None:
                continue
            for model in service.engine.models:
                # A few requests are no reliable measure of demand; start
                # from the configured share of the model.
                expected = model.share * max(_EXPECTED_REQUESTS - total, 0)
                kind = backlog.Kind(domain.service, model.name)
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
        domain: _Domain,
        name: ids.InstanceId,
        now: float,
        interval: float = _PROBE_INTERVAL,
    ) -> bool:
        """Start a probe of an instance, at most one per interval.

        Args:
            domain: The domain of the instance.
            name: The instance.
            now: Monotonic time in seconds.
            interval: Shortest time in seconds since its last probe.

        Returns:
            Whether no other probe is needed.
        """
        known = domain.planner.knowledge.instances.get(name)
        if known is None:
            domain.slow.discard(name)
            return True
        if name in domain.probes_in_flight:
            return False
        if known.is_silent:
            interval = max(interval, _SILENT_PROBE_INTERVAL)
        if now < domain.probed_at.get(name, 0.0) + interval:
            return False
        upstream = known.upstream
        domain.probed_at[name] = now
        domain.probes_in_flight.add(name)
        eventlet.spawn_n(self._run_probe, domain, upstream, known.is_doubtful)
        return True

    def _run_probe(
        self,
        domain: _Domain,
        upstream: upstreams.Upstream,
        new_connection: bool,
    ) -> None:
        started = self._clock.now()
        try:
            found = self._engines.report(upstream, new_connection)
            self._meter.add("currantwall.probes", 1)
            if isinstance(found, knowledge.ProbeResult):
                self._note_failed_probe(
                    domain, upstream, found, started, new_connection
                )
                return
        finally:
            # Not before the failure is noted: the next probe would again
            # use the idle connection that has not answered.
            domain.probes_in_flight.discard(upstream.id)
        domain.planner.knowledge.note_report(found, self._clock.now())
        self.on_report(found)
        self._report_pace(domain, found)

    def _note_failed_probe(
        self,
        domain: _Domain,
        upstream: upstreams.Upstream,
        found: knowledge.ProbeResult,
        started: float,
        new_connection: bool,
    ) -> None:
        """Process a probe that got no answer, unless this node has no path.

        Args:
            domain: The domain of the instance.
            upstream: The instance.
            found: How the probe failed.
            started: Monotonic time at which it was sent.
            new_connection: Whether it used a new connection.
        """
        if found is knowledge.ProbeResult.UNTRIED:
            return
        has_path = self.verify_path(started)
        now = self._clock.now()
        self._log.write(
            "probe_failed",
            instance=upstream.id,
            domain=domain.name,
            why=found.value,
            new_connection=new_connection,
            has_path=has_path,
            after=round(now - started, 4),
        )
        if not has_path:
            return
        known = domain.planner.knowledge.instances.get(upstream.id)
        if known is not None and known.is_alive and not known.is_doubtful:
            # Repeat the probe at once after a first miss, and at the usual
            # interval after later ones.
            domain.probed_at.pop(upstream.id, None)
        if found is knowledge.ProbeResult.UNRESPONSIVE:
            self._report_unresponsive(domain, upstream)
        if domain.planner.knowledge.note_failure(upstream.id, found, now):
            self._meter.add("currantwall.instances.lost", 1, found.value)
            self._log.write(
                "instance_lost",
                instance=upstream.id,
                domain=domain.name,
                why=found.value,
                seat=_describe_seat(upstream),
            )
            self._report_loss(domain, upstream)

    def _report_pace(self, domain: _Domain, found: upstreams.Upstream) -> None:
        """Report a replica that a slow member slows down.

        Failure: an instance, and with it its replica, runs at a twelfth of
        its speed for some seconds, and each of a hundred nodes finds that
        out by a request of its own.
        """
        is_slow = found.pace >= _SLOW_PACE
        if is_slow != (found.id in domain.slow):
            self._log.write(
                "instance_slow" if is_slow else "instance_no_longer_slow",
                instance=found.id,
                domain=domain.name,
                pace=found.pace,
                seat=_describe_seat(found),
            )
        if not is_slow:
            domain.slow.discard(found.id)
            return
        domain.slow.add(found.id)
        leader = self._find_leader(domain, found.id)
        if leader is not None:
            self.on_slow(leader.epoch_id)

    def _report_unresponsive(
        self, domain: _Domain, found: upstreams.Upstream
    ) -> None:
        """Call `on_unresponsive` for the leader of an instance's replica."""
        leader = self._find_leader(domain, found.id)
        if leader is not None:
            self.on_unresponsive(leader.epoch_id)

    def _report_loss(self, domain: _Domain, lost: upstreams.Upstream) -> None:
        """Call `on_loss` for the leader of a replica that lost a member."""
        leader = self._find_leader(domain, lost.id)
        if leader is not None:
            self.on_loss(leader.epoch_id)

    @staticmethod
    def _find_leader(
        domain: _Domain, instance: ids.InstanceId
    ) -> upstreams.Upstream | None:
        """Return the open leader of an instance's replica, or None."""
        for name in domain.planner.knowledge.list_replica_members(instance):
            member = domain.planner.knowledge.find(name)
            if member is not None and member.seat is not None:
                leads = member.seat.rank == 0
                if leads and member.seat.phase is upstreams.Phase.OPEN:
                    return member
        return None

    def _send_order(self, domain: _Domain, order: knowledge.Order) -> None:
        """Send an order, unless the lease has run out meanwhile."""
        if not domain.lease.tracker.holds(self._clock.now()):
            return
        answer = self._engines.order(order)
        now = self._clock.now()
        domain.planner.knowledge.note_answer(order, answer.accepted, now)
        self._meter.add("currantwall.orders", 1, order.kind.value)
        self._log.write(
            "order",
            kind=order.kind.value,
            instance=order.instance,
            domain=domain.name,
            replica=order.replica or order.model,
            epoch=order.epoch,
            sequence=order.sequence,
            fence=domain.lease.fence.number,
            accepted=answer.accepted,
            answer=answer.detail,
        )


_UNLIMITED_LOADS = 1_000_000
# Number of requests in flight below which the configured shares of the
# models add to their demand.
_EXPECTED_REQUESTS = 10.0


def _set_change(
    domain: _Domain,
    change: layout_module.Change | None,
    review: rebalancing.Review,
) -> None:
    """Set the step that a domain should begin, and the scarce model."""
    is_first = review.blank_domain == domain.name
    is_here = change is not None and change.domain == domain.name
    is_mixed = bool(domain.layout.replicas)
    domain.layout = msgspec.structs.replace(
        domain.layout,
        change=change if is_here and not is_mixed else None,
        scarce="" if is_mixed else review.scarce,
        lacking=review.lacking if is_first and not is_mixed else 0,
    )


def _ignore(_: str) -> None:
    return


def _is_true(_: float) -> bool:
    return True


def _is_false(_: float) -> bool:
    return False


def _ignore_report(_: upstreams.Upstream) -> None:
    return


def _find_staged_models(
    instances: abc.Iterable[upstreams.Upstream],
    sizes: abc.Mapping[ids.DomainName, int],
) -> dict[ids.DomainName, str]:
    """Return the model staged on most instances of each domain.

    Domains without a model on more than half of their instances are left
    out.

    Failure: models are assigned by the domains' sizes, so a domain that
    grows by two instances changes the assignment of others, and new
    instances are loaded with a model that the rest of their domain lacks.
    """
    counts = collections.Counter(
        (instance.domain, model)
        for instance in instances
        for model in instance.staged
        if instance.domain
    )
    return {
        name: model
        for (name, model), count in counts.items()
        if 2 * count > sizes[name]
    }


def _describe_seat(upstream: upstreams.Upstream) -> str:
    seat = upstream.seat
    if seat is None:
        return ""
    return f"{seat.replica}@{seat.epoch}/{seat.rank} {seat.phase.value}"

"""Composes this node's reports and handles those of other nodes.

Reports are sent as heartbeats, digests and alarms. Which node receives
which message is decided in `coordination.peers.digests`.
"""

from collections import abc

import eventlet

from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.coordination.requests import quarantine as quarantine_module
from currantwall.state import evacuations as evacuations_module
from currantwall.state import ids
from currantwall.state import limits as limits_module
from currantwall.state import upstreams
from currantwall.transport import configurations
from currantwall.transport import domainleases
from currantwall.transport import duties
from currantwall.transport import fleets
from currantwall.transport import heartbeats
from currantwall.transport import metrics as metrics_module
from currantwall.transport import timers

__all__ = ["NewsExchange"]

# Seconds for which an urgent report is part of each heartbeat: that makes
# two heartbeats.
_URGENT_REPORT_TTL = 0.5
# The same for the report of a slow replica: longer than the interval
# between two probes of its slow member.
_SLOW_REPORT_TTL = 1.5
# Seconds between heartbeats while replicas are nearly full.
_HIGH_LOAD_INTERVAL = 0.12
# Seconds between two checks whether shares of limits have to be asked for.
_SHARES_INTERVAL = 0.05
# The same while no upstream limits its requests.
_UNLIMITED_INTERVAL = 0.25
_SHARES_WANTED = "currantwall.shares.wanted"
_SHARES_GRANTED = "currantwall.shares.granted"
_SHARES_RECEIVED = "currantwall.shares.received"
# The balancer's key for the counts of all other nodes, as summed by a
# relay.
_ALL_NODES = ids.NodeId("")
# Shortest time in seconds between two rounds of messages that report what
# has been quarantined.
_QUARANTINE_INTERVAL = 0.005


class NewsExchange:
    """Exchanges heartbeats, digests and alarms with the other nodes.

    Attributes:
        is_ready: Returns whether this node takes requests.
        on_loss: Called with the epoch ID of a leader whose replica has
            lost a member.
        note_evacuations: Called for each report with its sender, whether
            that takes requests, whether it has learnt the evacuations, and
            those that it reports.
    """

    def __init__(
        self,
        address: str,
        presence: presence_module.Presence,
        balancer: balancing.Balancer,
        budget: budgets.RepeatBudget,
        configuration: configurations.ConfigurationFeed,
        instances: fleets.FleetFeed,
        leases: domainleases.DomainLeases,
        domain_duties: duties.Duties,
        quarantine: quarantine_module.Quarantine,
        meter: metrics_module.Metrics,
        clock: timers.TimerService,
    ) -> None:
        self._presence = presence
        self._balancer = balancer
        self._budget = budget
        self._configuration = configuration
        self._fleet_feed = instances
        self._leases = leases
        self._duties = domain_duties
        self._quarantine = quarantine
        self._now = clock.now
        self._meter = meter
        self._relay = digests.Relay(presence)
        self._heartbeats = heartbeats.Heartbeats(
            address, self._compose, self._receive, meter, clock
        )
        self.run_receiver = self._heartbeats.run_receiver
        self.run_sender = self._heartbeats.run_sender
        self.send = self._heartbeats.send
        self.is_ready: abc.Callable[[], bool] = _is_never_ready
        self.on_loss: abc.Callable[[str], None] = _ignore
        self.note_evacuations: abc.Callable[
            [
                presence_module.NodeEntry,
                bool,
                bool,
                evacuations_module.EvacuationReport | None,
            ],
            None,
        ] = _ignore_evacuations
        # What the next heartbeats report, and until when.
        self._stalled: dict[str, float] = {}
        self._lost: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        # This node's requests in flight as last sent, by upstream.
        self._sent_loads: dict[str, int] = {}

    def set_error_handler(
        self, on_error: abc.Callable[[str, Exception], object]
    ) -> None:
        """Set what is called with errors that the receiver has outlasted."""
        self._heartbeats.on_error = on_error

    def _compose(self, serial: int) -> list[digests.Datagram]:
        """Return the datagrams of this round of heartbeats."""
        now = self._now()
        self._stalled = _drop_expired(self._stalled, now)
        self._lost = _drop_expired(self._lost, now)
        self._slow = _drop_expired(self._slow, now)
        self._sent_loads = self._balancer.list_loads(now)
        self._presence.ready = self.is_ready()
        self._balancer.limits.note_nodes(
            self._presence.list_members(now),
            now,
            [node.id for node in self._presence.list_peers()],
            self._presence.knows_all_nodes,
        )
        self._balancer.are_counts_relayed = not self._presence.is_full_mesh
        own = presence_module.Heartbeat(
            node=self._presence.me,
            serial=serial,
            ready=self.is_ready(),
            configuration=self._configuration.version,
            loads=self._sent_loads,
            stalled=tuple(self._stalled),
            lost=tuple(self._lost),
            slow=tuple(self._slow),
            limits=self._balancer.limits.list_reports(now),
            instances=self._fleet_feed.changed,
            leases=self._leases.list_leases(now),
            store_age=self._fleet_feed.get_store_age(now),
            evacuations=self._balancer.evacuations.list_reports(now),
            informed=self._balancer.evacuations.revision > 0,
            has_path=self._presence.has_path,
            store_revision=self._presence.staleness.report_newest(now),
            departures=self._fleet_feed.list_departures(),
            parts=self._quarantine.make_reports(now),
            findings=self._list_findings(now),
        )
        return self._relay.list_datagrams(own, now)

    def _list_findings(
        self, now: float
    ) -> dict[ids.InstanceId, upstreams.Finding]:
        if not self._presence.has_path:
            return {}
        return self._balancer.reachability.make_report(now)

    def _receive(self, message: digests.Message) -> None:
        now = self._now()
        if isinstance(message, presence_module.Heartbeat):
            self._receive_heartbeat(message, now)
        elif isinstance(message, digests.Digest):
            self._receive_digest(message, now)
        elif isinstance(message, limits_module.ShareRequest):
            self._grant_shares(message, now)
        elif isinstance(message, limits_module.ShareGrant):
            granted = self._balancer.limits.note_grant(message, now)
            self._meter.add(_SHARES_RECEIVED, granted)
        else:
            self._suspect(message.stalled)
        if self._relay.take_urgent():
            self._heartbeats.send_soon()

    def _receive_heartbeat(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        if not self._presence.note_heartbeat(heartbeat, now):
            return
        self._relay.note_heartbeat(heartbeat, now)
        if heartbeat.asks is not presence_module.RelayRequest.WITHOUT_LOADS:
            name = heartbeat.node.id
            self._balancer.note_loads(name, heartbeat.loads, now)
        self._apply_report(heartbeat, heartbeat.ready, now)

    def _receive_digest(self, digest: digests.Digest, now: float) -> None:
        if not self._relay.note_digest(digest, now):
            return
        is_relay = self._relay.is_active(now)
        if is_relay and digest.is_part:
            self._balancer.note_loads(digest.node.id, digest.loads, now)
        elif not is_relay and not digest.is_part:
            # The sum over all nodes, from whichever relay sent it last; it
            # includes this node's own counts.
            others = _subtract_own(digest.loads, self._sent_loads)
            self._balancer.note_loads(_ALL_NODES, others, now)
        is_ready = self._relay.is_sender_ready(digest)
        self._apply_report(digest, is_ready, now)

    def _apply_report(
        self,
        report: presence_module.Heartbeat | digests.Digest,
        is_ready: bool,
        now: float,
    ) -> None:
        """Act on all but the loads in another node's report.

        Args:
            report: The report.
            is_ready: Whether the sender takes requests.
            now: Time of the receipt.
        """
        self._budget.note_nodes(self._presence.count())
        self._presence.staleness.note_reported(report.store_revision, now)
        self._configuration.note_peer_version(
            report.node, report.configuration
        )
        self._fleet_feed.note_departures(report.departures)
        self._fleet_feed.note_peer_revision(report.instances)
        self._leases.note_leases(report.leases, now)
        self._balancer.limits.note_reports(report.limits, now)
        self.note_evacuations(
            report.node, is_ready, report.informed, report.evacuations
        )
        self._suspect(report.stalled)
        self._quarantine.apply_reports(report.parts, now)
        self._balancer.note_findings(report.findings, now)
        for epoch_id in report.lost:
            self._note_loss(epoch_id, now)
        for epoch_id in report.slow:
            self._note_slow(epoch_id, now)

    def _suspect(self, stalled: abc.Iterable[str]) -> None:
        for name in stalled:
            self._duties.suspect(ids.InstanceId(name))

    def report_stall(self, instance: ids.InstanceId) -> None:
        """Have a stalled upstream probed by the node that probes its domain.

        Does nothing while this node has no path to upstreams.

        Args:
            instance: The upstream.
        """
        if not self._presence.has_path:
            return
        self._stalled[instance] = self._now() + _URGENT_REPORT_TTL
        self._duties.suspect(instance)
        if self._presence.is_full_mesh:
            self._heartbeats.send_soon()
            return
        prober = self._presence.get(self._duties.find_prober(instance))
        if prober is not None:
            alarm = digests.Alarm((instance,))
            self._heartbeats.send_one(digests.Datagram((prober,), alarm))

    def report_high_load(self) -> None:
        """Send this node's counts sooner while replicas are nearly full.

        Failure: each node sends requests to a replica by counts as old as
        a heartbeat; together they send it half as many again as it can
        serve. In a large fleet the counts go through relays, which keep
        their interval.
        """
        if self._presence.is_full_mesh:
            self._heartbeats.send_soon(_HIGH_LOAD_INTERVAL)

    def run_shares(self) -> None:
        """Ask other nodes for shares of limits, as needed, forever."""
        while True:
            limits = self._balancer.limits
            eventlet.sleep(
                _SHARES_INTERVAL if limits.has_any else _UNLIMITED_INTERVAL
            )
            if limits.has_demand:
                self._ask_for_shares(self._now())

    def _ask_for_shares(self, now: float) -> None:
        asked = self._balancer.limits.list_share_requests(now)
        for node, request in asked.items():
            entry = self._presence.get(node)
            if entry is not None:
                self._meter.add(_SHARES_WANTED, sum(request.wanted.values()))
                datagram = digests.Datagram((entry,), request)
                self._heartbeats.send_one(datagram)

    def _grant_shares(
        self, request: limits_module.ShareRequest, now: float
    ) -> None:
        entry = self._presence.get(request.node)
        if entry is None:
            return
        grant = self._balancer.limits.grant(request, now)
        if grant is not None:
            self._meter.add(_SHARES_GRANTED, sum(grant.granted.values()))
            self._heartbeats.send_one(digests.Datagram((entry,), grant))

    def announce_limits(self) -> None:
        """Report the limits that upstreams have changed, without delay."""
        self._heartbeats.send_soon()

    def announce_path(self) -> None:
        """Report a lost path to upstreams, or its return, without delay."""
        self._heartbeats.send_soon()

    def announce_evacuations(self) -> None:
        """Report a changed set of evacuated data centres, without delay.

        Every node passes a change on at once, relays as well as others: a
        lost datagram then delays it by no whole round.
        """
        self._heartbeats.send_soon()

    def announce_quarantine(self) -> None:
        """Report what has been quarantined before the next request comes.

        Failure: a caller repeats a request that crashes upstreams at
        another node as soon as its answer is broken off.
        """
        self._heartbeats.send_soon(_QUARANTINE_INTERVAL)

    def announce_parts(self) -> None:
        """Report a crash, or a part of a prompt, without delay."""
        self._heartbeats.send_soon()

    def announce_configuration(self) -> None:
        """Announce a newer configuration at once, so that others fetch it."""
        self._heartbeats.send_soon()

    def announce_list(self) -> None:
        """Announce a newer list of instances at once, for nodes that follow.

        Failure: a repaired replica gets its first requests up to one
        heartbeat interval later than it could.
        """
        if self._presence.reads_store(self._now()):
            self._heartbeats.send_soon()

    def announce_loss(self, epoch_id: str) -> None:
        """Report to all nodes that a leader's replica has lost a member."""
        now = self._now()
        self._lost[epoch_id] = now + _URGENT_REPORT_TTL
        self._note_loss(epoch_id, now)
        self._heartbeats.send_soon()

    def announce_slow(self, epoch_id: str) -> None:
        """Report to all nodes that a member slows down a leader's replica."""
        self._report_slow(epoch_id, _SLOW_REPORT_TTL)

    def announce_unresponsive(self, epoch_id: str) -> None:
        """Report to all nodes that a leader's replica stands still."""
        self._report_slow(epoch_id, _URGENT_REPORT_TTL)

    def _report_slow(self, epoch_id: str, seconds: float) -> None:
        now = self._now()
        if epoch_id not in self._slow:
            self._heartbeats.send_soon()
        self._slow[epoch_id] = max(
            now + seconds, self._slow.get(epoch_id, 0.0)
        )
        self._note_slow(epoch_id, now)

    def _note_slow(self, epoch_id: str, now: float) -> None:
        parsed = upstreams.parse_epoch_id(epoch_id)
        if parsed is not None:
            self._balancer.note_slow(*parsed, now)

    def _note_loss(self, epoch_id: str, now: float) -> None:
        parsed = upstreams.parse_epoch_id(epoch_id)
        if parsed is not None:
            self._balancer.note_loss(*parsed, now)
            self.on_loss(epoch_id)


def _is_never_ready() -> bool:
    return False


def _ignore(_: str) -> None:
    return


def _ignore_evacuations(
    node: presence_module.NodeEntry,
    is_ready: bool,
    is_informed: bool,
    report: evacuations_module.EvacuationReport | None,
) -> None:
    return


def _subtract_own(
    total: abc.Mapping[str, int], own: abc.Mapping[str, int]
) -> dict[str, int]:
    """Return the counts of the other nodes, without those that are 0."""
    found = {}
    for name, count in total.items():
        others = count - own.get(name, 0)
        if others > 0:
            found[name] = others
    return found


def _drop_expired(reports: dict[str, float], now: float) -> dict[str, float]:
    """Return the reports that have not expired."""
    return {name: until for name, until in reports.items() if until > now}

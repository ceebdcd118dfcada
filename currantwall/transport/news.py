"""What this node tells the others, and what it makes of what they tell.

Heartbeats, digests and alarms come and go here; who gets which is decided
in `coordination.peers.digests`.
"""

from collections import abc

from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import configurations
from currantwall.transport import domainleases
from currantwall.transport import duties
from currantwall.transport import fleets
from currantwall.transport import heartbeats
from currantwall.transport import metrics as metrics_module
from currantwall.transport import timers

__all__ = ["News"]

# Seconds for which urgent news goes into each heartbeat: two of them.
_TOLD = 0.5
# The same for a replica that is slow: longer than from one probe of its
# slow member to the next.
_SLOW_TOLD = 1.5
# Seconds between heartbeats while replicas are nearly full.
_PRESSED_INTERVAL = 0.12
# Stands for all other nodes where a relay adds up their counts.
_ALL_NODES = ids.NodeId("")


class News:
    """Exchanges news with the other nodes."""

    def __init__(
        self,
        address: str,
        presence: presence_module.Presence,
        balancer: balancing.Balancer,
        budget: budgets.RepeatBudget,
        configuration: configurations.ConfigurationFeed,
        instances: fleets.FleetFeed,
        leases: domainleases.DomainLeases,
        holder: duties.Duties,
        meter: metrics_module.Metrics,
        clock: timers.TimerService,
    ) -> None:
        self._presence = presence
        self._balancer = balancer
        self._budget = budget
        self._configuration = configuration
        self._fleets = instances
        self._leases = leases
        self._duties = holder
        self._now = clock.now
        self._relay = digests.Relay(presence)
        self._heartbeats = heartbeats.Heartbeats(
            address, self._compose, self._hear, meter, clock
        )
        self.run_receiver = self._heartbeats.run_receiver
        self.run_sender = self._heartbeats.run_sender
        self.send = self._heartbeats.send
        # Whether this node takes requests.
        self.is_ready: abc.Callable[[], bool] = _say_no
        # Ends the attempts at a leader, by its life, that has lost a
        # member.
        self.give_up: abc.Callable[[str], None] = _ignore
        # What the next heartbeats tell, and until when.
        self._stalled: dict[str, float] = {}
        self._lost: dict[str, float] = {}
        self._slow: dict[str, float] = {}
        # Requests in work as last told.
        self._told_loads: dict[str, int] = {}

    def _compose(self, serial: int) -> list[digests.Datagram]:
        """Return what is due to be told to the other nodes."""
        now = self._now()
        self._stalled = _drop_past(self._stalled, now)
        self._lost = _drop_past(self._lost, now)
        self._slow = _drop_past(self._slow, now)
        self._told_loads = self._balancer.list_loads(now)
        self._presence.ready = self.is_ready()
        self._balancer.are_counts_relayed = not self._presence.is_full_mesh
        own = presence_module.Heartbeat(
            node=self._presence.me,
            serial=serial,
            ready=self.is_ready(),
            configuration=self._configuration.version,
            loads=self._told_loads,
            stalled=tuple(self._stalled),
            lost=tuple(self._lost),
            slow=tuple(self._slow),
            instances=self._fleets.changed,
            leases=self._leases.list_leases(now),
            store_age=self._fleets.get_store_age(now),
        )
        return self._relay.list_datagrams(own, now)

    def _hear(self, message: digests.Message) -> None:
        now = self._now()
        if isinstance(message, presence_module.Heartbeat):
            self._hear_heartbeat(message, now)
        elif isinstance(message, digests.Digest):
            self._hear_digest(message, now)
        else:
            self._suspect(message.stalled)
        if self._relay.take_urgent():
            self._heartbeats.hurry()

    def _hear_heartbeat(
        self, heartbeat: presence_module.Heartbeat, now: float
    ) -> None:
        if not self._presence.note_heartbeat(heartbeat, now):
            return
        self._relay.note_heartbeat(heartbeat, now)
        if heartbeat.asks is not presence_module.RelayRequest.WITHOUT_LOADS:
            name = heartbeat.node.id
            self._balancer.note_loads(name, heartbeat.loads, now)
        self._take_news(heartbeat, now)

    def _hear_digest(self, digest: digests.Digest, now: float) -> None:
        if not self._relay.note_digest(digest, now):
            return
        acting = self._relay.is_active(now)
        if acting and digest.is_part:
            self._balancer.note_loads(digest.node.id, digest.loads, now)
        elif not acting and not digest.is_part:
            # The sum of all nodes, from whichever relay came last.
            others = _subtract(digest.loads, self._told_loads)
            self._balancer.note_loads(_ALL_NODES, others, now)
        self._take_news(digest, now)

    def _take_news(
        self,
        told: presence_module.Heartbeat | digests.Digest,
        now: float,
    ) -> None:
        """Act on what another node tells."""
        self._budget.note_nodes(self._presence.count())
        self._configuration.note_peer_version(told.node, told.configuration)
        self._fleets.note_peer_revision(told.instances)
        self._leases.note_leases(told.leases, now)
        self._suspect(told.stalled)
        for life in told.lost:
            self._take_loss(life, now)
        for life in told.slow:
            self._take_slow(life, now)

    def _suspect(self, stalled: abc.Iterable[str]) -> None:
        for name in stalled:
            self._duties.suspect(ids.InstanceId(name))

    def tell_doubt(self, instance: ids.InstanceId) -> None:
        """Have a silent upstream looked at by who probes its domain."""
        self._stalled[instance] = self._now() + _TOLD
        self._duties.suspect(instance)
        if self._presence.is_full_mesh:
            self._heartbeats.hurry()
            return
        prober = self._presence.get(self._duties.find_prober(instance))
        if prober is not None:
            alarm = digests.Alarm((instance,))
            self._heartbeats.send_one(digests.Datagram((prober,), alarm))

    def tell_loads(self) -> None:
        """Tell of requests in work sooner, while replicas are nearly full.

        Failure: each node sends requests to a replica by counts as old as
        a heartbeat; together they send it half as many again as it bears.
        In a large fleet counts go through relays, which keep their pace.
        """
        if self._presence.is_full_mesh:
            self._heartbeats.hurry(_PRESSED_INTERVAL)

    def tell_change(self) -> None:
        """Have the others fetch what is new without waiting their turn."""
        self._heartbeats.hurry()

    def tell_list(self) -> None:
        """Tell of a newer list, where others wait for it.

        A replica that was mended would be used up to a heartbeat later.
        """
        if self._presence.reads_store(self._now()):
            self._heartbeats.hurry()

    def tell_loss(self, life: str) -> None:
        """Spread the verdict that a leader's replica is not whole."""
        now = self._now()
        self._lost[life] = now + _TOLD
        self._take_loss(life, now)
        self._heartbeats.hurry()

    def tell_slow(self, life: str) -> None:
        """Spread that a member slows down a leader's replica."""
        now = self._now()
        if life not in self._slow:
            self._heartbeats.hurry()
        self._slow[life] = now + _SLOW_TOLD
        self._take_slow(life, now)

    def _take_slow(self, life: str, now: float) -> None:
        parsed = upstreams.parse_life(life)
        if parsed is not None:
            self._balancer.note_slow(*parsed, now)

    def _take_loss(self, life: str, now: float) -> None:
        parsed = upstreams.parse_life(life)
        if parsed is not None:
            self._balancer.note_loss(*parsed, now)
            self.give_up(life)


def _say_no() -> bool:
    return False


def _ignore(_: str) -> None:
    return


def _subtract(
    total: abc.Mapping[str, int], own: abc.Mapping[str, int]
) -> dict[str, int]:
    """Return the counts of the other nodes."""
    found = {}
    for name, count in total.items():
        others = count - own.get(name, 0)
        if others > 0:
            found[name] = others
    return found


def _drop_past(news: dict[str, float], now: float) -> dict[str, float]:
    """Return the news that is still told."""
    return {name: until for name, until in news.items() if until > now}

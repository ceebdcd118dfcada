"""Traffic and processor time of heartbeats and digests between nodes.

The nodes are real `Presence` and `Relay` objects on a simulated network
in virtual time. The network counts datagrams and their encoded size, and
drops those to or from dead nodes.
"""

import statistics
import time

import msgspec

from bench import report
from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import evacuations
from currantwall.coordination.requests import quarantine
from currantwall.state import ids
from currantwall.state import limits
from currantwall.transport import fleets

__all__ = ["Network", "Node", "make_entry", "measure_digests"]

# Seconds between two rounds of heartbeats, as in the transport.
ROUND = 0.4
_MEASURE_SECONDS = 8.0
# UDP and IP headers of a datagram, in bytes.
_HEADER_BYTES = 28
# Numbers of nodes, data centres and serving replicas.
_SIZES = ((13, 3, 15), (21, 3, 15), (142, 3, 40), (350, 7, 131))
# Servers of a node, the part of them that limits their requests, the part
# of the time in which a limit is reported, and the nodes that hold one.
_SERVERS_PER_NODE = 6
_LIMITED_SHARE = 0.15
_REPORTED_SHARE = 1 / 11
_HOLDERS_PER_LIMIT = 4
# Bound of an evacuation, in seconds.
_EVACUATION_BOUND = 5.0
# Requests in flight from a node; typical of the sizes in use today.
_REQUESTS_PER_NODE = 3


def make_entry(
    name: str, datacentre: str, capacity: float = 0.1
) -> presence_module.NodeEntry:
    """Return the node entry of a node of the simulated network."""
    return presence_module.NodeEntry(
        id=ids.NodeId(name),
        datacentre=ids.DatacentreName(datacentre),
        front=f"{name}:1",
        heartbeats=f"{name}:2",
        peer=f"{name}:3",
        incarnation=1,
        capacity=capacity,
    )


class Node:
    """A simulated node: what it sends and what it has received.

    Attributes:
        loads: Its requests in flight, by upstream.
        lost: Leaders of replicas that it reports as lacking a member.
        slow: Leaders of replicas that it reports as slowed by a member.
        answered_at: Time of the store's last answer to this node; None
            before the first.
        heard_lost: By leader, when this node first heard that its replica
            lacks a member.
        limits: Limits that it has observed, and when, by upstream.
        heard_limits: The same as the other nodes report them.
        heard_slow: By leader, when this node first heard that its replica
            is slowed by a member.
        remote_loads: Requests in flight by upstream, from the newest total
            digest.
        feed: Its feed of instances; None if it has none.
        evacuations: The evacuated data centres that it knows.
        quarantine: The parts of prompts that it keeps from upstreams.
    """

    def __init__(self, entry: presence_module.NodeEntry) -> None:
        self.entry = entry
        self.presence = presence_module.Presence(entry)
        self.presence.ready = True
        self.relay = digests.Relay(self.presence)
        self.serial = 0
        self.loads: dict[str, int] = {}
        self.lost: tuple[str, ...] = ()
        self.slow: tuple[str, ...] = ()
        self.answered_at: float | None = None
        self.heard_lost: dict[str, float] = {}
        self.heard_slow: dict[str, float] = {}
        self.limits: dict[str, tuple[float | None, float]] = {}
        self.heard_limits: dict[str, tuple[float | None, float]] = {}
        self.remote_loads: dict[str, int] = {}
        self.feed: fleets.FleetFeed | None = None
        self.evacuations = evacuations.Evacuations(_EVACUATION_BOUND)
        self.quarantine = quarantine.Quarantine()
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0

    def compose(self, now: float) -> list[digests.Datagram]:
        """Return the datagrams that are due in this round."""
        self.serial += 1
        own = presence_module.Heartbeat(
            node=self.entry,
            serial=self.serial,
            ready=True,
            loads=self.loads,
            lost=self.lost,
            slow=self.slow,
            limits={
                name: limits.LimitReport(rate, now - at)
                for name, (rate, at) in self.limits.items()
            },
            instances=self.feed.changed if self.feed else 0,
            store_revision=self.presence.staleness.report_newest(now),
            departures=self.feed.list_departures() if self.feed else {},
            store_age=self._get_store_age(now),
            evacuations=self.evacuations.list_reports(now),
            has_path=self.presence.has_path,
            parts=self.quarantine.make_reports(now),
        )
        return self.relay.list_datagrams(own, now)

    def _get_store_age(self, now: float) -> float | None:
        if self.answered_at is None or not self.presence.reads_store(now):
            return None
        return now - self.answered_at

    def read_store(self, is_refused: bool, now: float) -> None:
        """Read the store if this node is a reader; record the outcome."""
        if not self.presence.reads_store(now):
            return
        if is_refused:
            self.presence.store_history.note_failure(now)
            return
        self.answered_at = now
        self.presence.store_history.note_answer(now)

    def receive(self, message: digests.Message, now: float) -> bool:
        """Handle a received message as the gateway does.

        Returns:
            Whether the node has to pass news on at once.
        """
        self.received += 1
        if isinstance(message, digests.Alarm):
            return False
        report = message.evacuations
        has_news = report is not None and bool(
            self.evacuations.note(
                report.revision,
                report.datacentres,
                now,
                retained_for=report.retained_for,
            )
        )
        self.quarantine.apply_reports(message.parts, now)
        self.presence.staleness.note_reported(message.store_revision, now)
        if self.feed is not None:
            self.feed.note_departures(message.departures)
        for name in message.lost:
            self.heard_lost.setdefault(name, now)
        for name in message.slow:
            self.heard_slow.setdefault(name, now)
        for name, limit in message.limits.items():
            self.heard_limits[name] = limit.rate, now - limit.age
        if isinstance(message, presence_module.Heartbeat):
            if self.presence.note_heartbeat(message, now):
                self.relay.note_heartbeat(message, now)
        elif self.relay.note_digest(message, now) and not message.is_part:
            self.remote_loads = message.loads
        return self.relay.take_urgent() or has_news


class Network:
    """A simulated network whose nodes send in rounds.

    Attributes:
        now: Virtual time in seconds.
        dead: Names of nodes whose datagrams are dropped, both ways.
        refused: Names of nodes that the store refuses; None simulates no
            store.
    """

    def __init__(
        self,
        nodes_per_datacentre: int,
        datacentres: tuple[str, ...],
        large_nodes: int,
    ) -> None:
        self.now = 100.0
        self.nodes: dict[str, Node] = {}
        for datacentre in datacentres:
            for number in range(nodes_per_datacentre):
                name = f"{datacentre}-{number}"
                capacity = 1.0 if number < large_nodes else 0.1
                self.nodes[name] = Node(make_entry(name, datacentre, capacity))
        self.dead: set[str] = set()
        self.refused: set[str] | None = None
        self._encoder = msgspec.msgpack.Encoder()
        entries = [node.entry for node in self.nodes.values()]
        for node in self.nodes.values():
            node.presence.note_list(entries, self.now)

    def run(self, seconds: float) -> None:
        """Run rounds until a number of seconds of virtual time has passed."""
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND
            for name in self.nodes:
                if self.refused is not None:
                    is_refused = name in self.refused
                    self.nodes[name].read_store(is_refused, self.now)
                self.send(name)

    def send(self, name: str) -> None:
        """Deliver what a node sends; relays forward urgent news at once."""
        urgent = [name]
        while urgent:
            sender = urgent.pop()
            if sender in self.dead:
                continue
            for datagram in self.nodes[sender].compose(self.now):
                urgent += self._deliver(self.nodes[sender], datagram)

    def _deliver(self, sender: Node, datagram: digests.Datagram) -> list[str]:
        """Deliver a datagram; return the receivers that have urgent news."""
        size = len(self._encoder.encode(datagram.message)) + _HEADER_BYTES
        urgent = []
        for entry in datagram.to:
            sender.sent += 1
            sender.bytes_sent += size
            if entry.id in self.dead:
                continue
            node = self.nodes[entry.id]
            node.bytes_received += size
            if node.receive(datagram.message, self.now):
                urgent.append(entry.id)
        return urgent

    def list_live(self) -> list[Node]:
        """Return the nodes that are not dead."""
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    def find_relays(self, datacentre: str) -> list[str]:
        """Return the relays of a data centre, as one live node sees them."""
        node = self.list_live()[0]
        relays = node.presence.list_relays(
            ids.DatacentreName(datacentre), self.now
        )
        return [entry.id for entry in relays]

    def clear(self) -> None:
        """Reset the counts of datagrams and bytes."""
        for node in self.nodes.values():
            node.sent = node.received = 0
            node.bytes_sent = node.bytes_received = 0


@report.register("digests")
def measure_digests() -> None:
    """Measure the traffic of idle nodes that have requests in flight."""
    for count, datacentres, replicas in _SIZES:
        names = tuple(f"d{number}" for number in range(datacentres))
        net = Network(count // datacentres, names, 0 if count < 32 else 2)
        for number, node in enumerate(net.nodes.values()):
            node.loads = {
                f"i-{(number * 7 + offset) % replicas:010x}": 1
                for offset in range(_REQUESTS_PER_NODE)
            }
        net.run(4.0)
        _measure_limits(net, count)
        net.clear()
        started = time.process_time()
        net.run(_MEASURE_SECONDS)
        processor_time = time.process_time() - started
        live = net.list_live()
        for quantity, values in (
            ("datagrams sent", [node.sent for node in live]),
            ("datagrams taken", [node.received for node in live]),
            ("KB sent", [node.bytes_sent / 1000.0 for node in live]),
        ):
            for statistic, value in (
                ("median", statistics.median(values)),
                ("busiest", max(values)),
            ):
                metric = f"{quantity} a second, {statistic}, {count} nodes"
                report.emit("digests", metric, value / _MEASURE_SECONDS, "1/s")
        share = processor_time / _MEASURE_SECONDS / len(live) * 100.0
        metric = f"decisions of a node, mean, {count} nodes"
        report.emit("digests", metric, share, "% of a core")


def _measure_limits(net: Network, count: int) -> None:
    """Measure the traffic while some of the servers limit their requests."""
    nodes = list(net.nodes.values())
    limited = int(count * _SERVERS_PER_NODE * _LIMITED_SHARE)
    for number in range(int(limited * _REPORTED_SHARE)):
        for offset in range(_HOLDERS_PER_LIMIT):
            node = nodes[(number * 11 + offset * 17) % len(nodes)]
            node.limits[f"i-{number:010x}"] = 1.2, net.now
    net.clear()
    net.run(_MEASURE_SECONDS)
    for quantity, values in (
        ("sent", [node.bytes_sent for node in nodes]),
        ("taken", [node.bytes_received for node in nodes]),
    ):
        for statistic, value in (
            ("median", statistics.median(values)),
            ("busiest", max(values)),
        ):
            metric = (
                f"KB {quantity} a second with {limited} limits, "
                f"{statistic}, {count} nodes"
            )
            figure = value / 1000.0 / _MEASURE_SECONDS
            report.emit("digests", metric, figure, "1/s")
    for node in nodes:
        node.limits.clear()
    net.run(4.0)

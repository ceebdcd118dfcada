"""What nodes tell each other: datagrams, bytes and processor time.

Every node is the real one; the network is this module's. It carries the
datagrams as encoded, loses them where a node is dead, and counts.
"""

import statistics
import time

import msgspec

from bench import report
from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.state import ids

__all__ = ["Network", "Node", "make_entry", "measure_digests"]

# Seconds between two rounds, as in the transport.
ROUND = 0.4
_SECONDS = 8.0
# UDP and IP headers of a datagram, in bytes.
_ENVELOPE = 28
# Nodes, data centres, replicas that serve.
_SIZES = ((13, 3, 15), (21, 3, 15), (142, 3, 40), (350, 7, 131))
# Requests in work at a node at the sizes of today.
_IN_WORK = 3


def make_entry(
    name: str, place: str, capacity: float = 0.1
) -> presence_module.NodeEntry:
    """Return how to reach a node of this network."""
    return presence_module.NodeEntry(
        id=ids.NodeId(name),
        datacentre=ids.DatacentreName(place),
        front=f"{name}:1",
        heartbeats=f"{name}:2",
        peer=f"{name}:3",
        incarnation=1,
        capacity=capacity,
    )


class Node:
    """One node: what it tells, and what it was told."""

    def __init__(self, entry: presence_module.NodeEntry) -> None:
        self.entry = entry
        self.presence = presence_module.Presence(entry)
        self.presence.ready = True
        self.relay = digests.Relay(self.presence)
        self.serial = 0
        self.loads: dict[str, int] = {}
        self.lost: tuple[str, ...] = ()
        self.slow: tuple[str, ...] = ()
        # When the store last answered it; None where it never asked.
        self.answered: float | None = None
        self.heard_lost: dict[str, float] = {}
        self.heard_slow: dict[str, float] = {}
        self.remote: dict[str, int] = {}
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0

    def compose(self, now: float) -> list[digests.Datagram]:
        """Return what is due to be sent."""
        self.serial += 1
        own = presence_module.Heartbeat(
            node=self.entry,
            serial=self.serial,
            ready=True,
            loads=self.loads,
            lost=self.lost,
            slow=self.slow,
            store_age=self._get_store_age(now),
        )
        return self.relay.list_datagrams(own, now)

    def _get_store_age(self, now: float) -> float | None:
        if self.answered is None or not self.presence.reads_store(now):
            return None
        return now - self.answered

    def ask_store(self, is_refused: bool, now: float) -> None:
        """Read the store, where it is this node's turn."""
        if not self.presence.reads_store(now):
            return
        if is_refused:
            self.presence.store_history.note_failure(now)
            return
        self.answered = now
        self.presence.store_history.note_answer(now)

    def hear(self, message: digests.Message, now: float) -> None:
        """Take a message as the gateway does."""
        self.received += 1
        if isinstance(message, digests.Alarm):
            return
        for name in message.lost:
            self.heard_lost.setdefault(name, now)
        for name in message.slow:
            self.heard_slow.setdefault(name, now)
        if isinstance(message, presence_module.Heartbeat):
            if self.presence.note_heartbeat(message, now):
                self.relay.note_heartbeat(message, now)
            return
        if self.relay.note_digest(message, now) and not message.is_part:
            self.remote = message.loads


class Network:
    """Nodes that tell each other what they have, in rounds."""

    def __init__(self, each: int, places: tuple[str, ...], large: int) -> None:
        self.now = 100.0
        self.nodes: dict[str, Node] = {}
        for place in places:
            for number in range(each):
                name = f"{place}-{number}"
                capacity = 1.0 if number < large else 0.1
                self.nodes[name] = Node(make_entry(name, place, capacity))
        self.dead: set[str] = set()
        # Nodes that the store turns away; None where there is no store.
        self.refused: set[str] | None = None
        self._encoder = msgspec.msgpack.Encoder()
        entries = [node.entry for node in self.nodes.values()]
        for node in self.nodes.values():
            node.presence.note_list(entries, self.now)

    def run(self, seconds: float) -> None:
        """Let all nodes send what is due until some time has passed."""
        end = self.now + seconds
        while self.now < end:
            self.now += ROUND
            for name in self.nodes:
                if self.refused is not None:
                    is_refused = name in self.refused
                    self.nodes[name].ask_store(is_refused, self.now)
                self.send(name)

    def send(self, name: str) -> None:
        """Carry what one node sends; relays pass urgent news on at once."""
        urgent = [name]
        while urgent:
            sender = urgent.pop()
            if sender in self.dead:
                continue
            for datagram in self.nodes[sender].compose(self.now):
                urgent += self._carry(self.nodes[sender], datagram)

    def _carry(self, sender: Node, datagram: digests.Datagram) -> list[str]:
        """Deliver a datagram; return who has news that cannot wait."""
        size = len(self._encoder.encode(datagram.message)) + _ENVELOPE
        urgent = []
        for entry in datagram.to:
            sender.sent += 1
            sender.bytes_sent += size
            if entry.id in self.dead:
                continue
            node = self.nodes[entry.id]
            node.hear(datagram.message, self.now)
            if node.relay.take_urgent():
                urgent.append(entry.id)
        return urgent

    def list_live(self) -> list[Node]:
        """Return the nodes that are not dead."""
        return [
            node for name, node in self.nodes.items() if name not in self.dead
        ]

    def find_relays(self, place: str) -> list[str]:
        """Return the relays of a data centre, as some node sees them."""
        node = self.list_live()[0]
        relays = node.presence.list_relays(ids.DatacentreName(place), self.now)
        return [one.id for one in relays]

    def clear(self) -> None:
        """Begin to count anew."""
        for node in self.nodes.values():
            node.sent = node.received = node.bytes_sent = 0


@report.register("digests")
def measure_digests() -> None:
    """Measure the traffic of nodes at rest with requests in work."""
    for count, places, replicas in _SIZES:
        names = tuple(f"d{number}" for number in range(places))
        net = Network(count // places, names, 0 if count < 32 else 2)
        for number, node in enumerate(net.nodes.values()):
            node.loads = {
                f"i-{(number * 7 + one) % replicas:010x}": 1
                for one in range(_IN_WORK)
            }
        net.run(4.0)
        net.clear()
        started = time.process_time()
        net.run(_SECONDS)
        spent = time.process_time() - started
        live = net.list_live()
        for what, values in (
            ("datagrams sent", [node.sent for node in live]),
            ("datagrams taken", [node.received for node in live]),
            ("KB sent", [node.bytes_sent / 1000.0 for node in live]),
        ):
            for kind, value in (
                ("median", statistics.median(values)),
                ("busiest", max(values)),
            ):
                metric = f"{what} a second, {kind}, {count} nodes"
                report.emit("digests", metric, value / _SECONDS, "1/s")
        share = spent / _SECONDS / len(live) * 100.0
        metric = f"decisions of a node, mean, {count} nodes"
        report.emit("digests", metric, share, "% of a core")

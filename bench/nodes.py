"""Processor time of one gateway in a large fleet at rest.

The gateway is a real process. The other nodes are this module's: their
entries lie in the store, their digests come as datagrams, and they answer
who asks for the list of instances, of which a few change all the time.
"""

from collections import abc
import http.server
import socket
import threading
import time

import msgspec

from bench import fleet as fleet_module
from bench import gateways as gateways_module
from bench import relay
from bench import report
from currantwall.coordination.peers import changes
from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.state import domain as domain_module
from currantwall.state import ids
from currantwall.transport import peers
from currantwall.transport import ports

__all__ = ["measure_nodes"]

RelayRequest = presence_module.RelayRequest

# Nodes, instances, data centres.
_SIZES = ((30, 165, 3), (100, 560, 3), (195, 1100, 5), (350, 2100, 7))
_DOMAIN_SIZE = 73
_REPLICA_SIZE = 8
_ROUND_SECONDS = 0.4
# Instances whose entry changes in a round, one in so many.
_CHANGING = 100
_WARM_SECONDS = 6.0
_SECONDS = 10.0
_MODEL = "m"
_NAME = "node"
# Above those that the store gives while it is filled.
_REVISION = 100_000
_LEASE_SECONDS = 1.8
# What machines of each size give to their process.
_SMALL = {"cpuShare": 0.5, "cores": 1, "linkMbps": 20.0}
_LARGE = {"cpuShare": 0.7, "cores": 3, "linkMbps": 200.0}
_RELAYS = 2
_MILLISECONDS = 1000.0


class _Peers:
    """All nodes of a fleet but the one that is measured."""

    def __init__(self, count: int, instances: int, places: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._make_handler()
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._lock = threading.Lock()
        self._log: changes.ChangeLog[ports.StoredObject] = changes.ChangeLog()
        self._revision = _REVISION
        self._serial = 0
        self._running = True
        self._started = time.monotonic()
        self.instances = [
            _make_instance(number, places) for number in range(instances)
        ]
        self.domains = [
            f"d{number}"
            for number in range((instances - 1) // _DOMAIN_SIZE + 1)
        ]
        self.nodes = [
            self._make_entry(number, places) for number in range(count)
        ]
        self._publish()

    def _make_entry(
        self, number: int, places: int
    ) -> presence_module.NodeEntry:
        own = "127.0.0.1:{}"
        return presence_module.NodeEntry(
            id=ids.NodeId(f"node-{number:03}"),
            datacentre=ids.DatacentreName(_name_place(number, places)),
            front=own.format(9),
            heartbeats=own.format(self._socket.getsockname()[1]),
            peer=own.format(self._server.server_address[1]),
            incarnation=1,
            capacity=1.0 if number < _RELAYS * places else 0.2,
        )

    def _make_handler(self) -> type[http.server.BaseHTTPRequestHandler]:
        fleet = self

        class Handler(http.server.BaseHTTPRequestHandler):
            def do_GET(self) -> None:  # noqa: N802
                body = fleet.answer(self.path)
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *unused: object) -> None:
                """Print nothing."""

        return Handler

    # -- The list of instances

    def _publish(self) -> None:
        with self._lock:
            self._revision += 1
            self._log.replace(self.instances, self._revision)

    def _change_some(self) -> None:
        """Have a few instances stage another model."""
        count = len(self.instances)
        step = max(1, count // _CHANGING)
        for place in range(step):
            number = (self._serial * step + place) % count
            one = self.instances[number]
            state = msgspec.json.decode(one.value)
            state["busy"] = not state["busy"]
            self.instances[number] = ports.StoredObject(
                one.name, self._revision + 1, msgspec.json.encode(state)
            )
        self._publish()

    def answer(self, path: str) -> bytes:
        """Return what has changed in the list."""
        with self._lock:
            found = self._log.list_since(peers.parse_since(path))
            listing = ports.Listing(
                found.objects,
                self._revision,
                found.removed,
                found.since,
                self._log.changed,
            )
        return peers.compress(msgspec.msgpack.encode(listing))

    # -- Digests and heartbeats

    def start(self, address: str, is_relay: bool) -> None:
        """Tell the node at an address what is due until `stop`."""
        host, _, port = address.rpartition(":")
        target = (host, int(port))
        threading.Thread(target=self._server.serve_forever).start()
        threading.Thread(target=self._run, args=(target, is_relay)).start()

    def _run(self, target: tuple[str, int], is_relay: bool) -> None:
        while self._running:
            self._serial += 1
            self._change_some()
            due = self._tell_relay() if is_relay else self._tell_member()
            for message in due:
                self._socket.sendto(self._encoder.encode(message), target)
            time.sleep(_ROUND_SECONDS)

    def stop(self) -> None:
        """Fall silent."""
        self._running = False
        self._server.shutdown()
        self._server.server_close()
        time.sleep(_ROUND_SECONDS)
        self._socket.close()

    def _tell_member(self) -> abc.Iterator[digests.Message]:
        """Yield the views of the relays of the node's data centre."""
        here = [one for one in self.nodes if one.datacentre == "a"]
        for one in here[:_RELAYS]:
            yield self._make_digest(one, False, self.nodes)

    def _tell_relay(self) -> abc.Iterator[digests.Message]:
        """Yield what a relay hears: its askers, and the other relays."""
        places: dict[str, list[presence_module.NodeEntry]] = {}
        for one in self.nodes:
            places.setdefault(one.datacentre, []).append(one)
        for place, nodes in places.items():
            for number, one in enumerate(nodes[:_RELAYS]):
                if place != "a" or number:
                    mine = nodes[number::_RELAYS]
                    yield self._make_digest(one, True, mine)
        for number, one in enumerate(places["a"][_RELAYS:]):
            asks = (
                RelayRequest.FULL
                if number % _RELAYS
                else RelayRequest.WITHOUT_LOADS
            )
            yield presence_module.Heartbeat(
                node=one,
                serial=self._serial,
                asks=asks,
                ready=True,
                configuration=1,
                loads=self._make_loads(8),
                instances=self._log.changed,
            )

    def _make_digest(
        self,
        relay_node: presence_module.NodeEntry,
        is_part: bool,
        named: list[presence_module.NodeEntry],
    ) -> digests.Digest:
        full = self._serial % 4 == 0
        nodes = {str(one.id): True for one in named}
        return digests.Digest(
            node=relay_node,
            serial=self._serial,
            is_part=is_part,
            nodes=nodes if full else None,
            nodes_hash=len(nodes),
            configuration=1,
            instances=self._log.changed,
            store_age=0.3,
            loads=self._make_loads(1),
            leases=self._make_leases(),
        )

    def _make_loads(self, apart: int) -> dict[str, int]:
        """Return the requests in work at one in so many replicas."""
        step = _REPLICA_SIZE * apart
        return {one.name: 3 for one in self.instances[::step]}

    def _make_leases(self) -> dict[str, presence_module.HeldLease]:
        return {
            name: presence_module.HeldLease(
                _REVISION + self._serial, 1, self.nodes[0].id, 1
            )
            for name in self.domains
        }


def _name_place(number: int, places: int) -> str:
    return "abcdefgh"[number % places]


def _make_instance(number: int, places: int) -> ports.StoredObject:
    """Return the entry of a member of an open replica."""
    domain = number // _DOMAIN_SIZE
    leader, rank = divmod(number, _REPLICA_SIZE)
    name = f"{_MODEL}.{_REPLICA_SIZE}.d{domain}-{leader}"
    state = {
        "service": "pool",
        "address": f"127.0.0.1:{20_000 + number}",
        "zone": _name_place(domain, places),
        "state": "ready",
        "slots": 11,
        "born": 1,
        "domain": f"d{domain}",
        "staged": [_MODEL],
        "busy": False,
        "group": {"name": name, "epoch": 1, "rank": rank, "state": "open"},
    }
    value = msgspec.json.encode(state)
    return ports.StoredObject(f"i-{number:010x}", 1000, value)


def _make_domain(name: str, holder: ids.NodeId) -> object:
    """Return the stored lease of a domain."""
    lease = domain_module.Lease(
        holder=holder,
        incarnation=ids.Incarnation(1),
        epoch=ids.Epoch(1),
        ttl=_LEASE_SECONDS,
    )
    held = domain_module.Domain(
        name=ids.DomainName(name),
        datacentre=ids.DatacentreName("a"),
        lease=lease,
    )
    return msgspec.to_builtins(held)


class _Site(gateways_module.Gateways):
    """A store that names the other nodes, and the gateway measured."""

    def fill(self, others: _Peers) -> None:
        """Write the entries of nodes and instances, and a configuration."""
        for one in others.nodes:
            self._create("currantwall-nodes", one.id, msgspec.to_builtins(one))
        for stored in others.instances:
            spec = msgspec.json.decode(stored.value)
            self._create("servers", stored.name, spec)
        for name in others.domains:
            held = _make_domain(name, others.nodes[0].id)
            self._create("currantwall-domains", name, held)
        model = {"name": _MODEL, "size": _REPLICA_SIZE, "share": 1.0}
        engine = {"slots": 11, "models": [model]}
        services = [{"name": "pool", "engine": engine}]
        self.put_configuration(services=services, routes=[])

    def _create(self, kind: str, name: str, spec: object) -> None:
        address = self.addresses["platform"]
        url = f"http://{address}/currantwall/objects/{kind}"
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        self.http.request("POST", url, body=body)

    def find_heartbeats(self) -> str:
        """Return the address for datagrams of the gateway."""
        text = (self.path / f"{_NAME}.json").read_bytes()
        settings = msgspec.json.decode(text)
        return f"{settings['ip']}:{settings['internalPorts'][0]}"


def _measure(size: tuple[int, int, int], is_relay: bool) -> None:
    count, instances, places = size
    others = _Peers(count, instances, places)
    with _Site() as site:
        site.limits = _LARGE if is_relay else _SMALL
        site.start_platform()
        fleet_module.wait_until(
            lambda: site.answers(
                f"http://{site.addresses['platform']}"
                "/currantwall/objects/servers"
            ),
            30,
            "store",
        )
        site.fill(others)
        site.start_gateway(_NAME)
        others.start(site.find_heartbeats(), is_relay)
        try:
            fleet_module.wait_until(
                lambda: site.is_ready(_NAME), 60, "gateway ready"
            )
            pid = site.get_pid(_NAME)
            start = relay.read_cpu(pid)
            time.sleep(_WARM_SECONDS)
            before = relay.read_cpu(pid)
            time.sleep(_SECONDS)
            share = (relay.read_cpu(pid) - before) / _SECONDS
            memory = relay.read_memory(pid)
        finally:
            others.stop()
    role = "relay" if is_relay else "member"
    name = f"nodes.{count}.{role}"
    report.emit(name, "start", start * _MILLISECONDS, "ms")
    report.emit(name, "at_rest", share * 100.0, "% of a core")
    report.emit(name, "memory", memory, "MB")


@report.register("nodes")
def measure_nodes() -> None:
    """Measure a member of a fleet and one of its relays, size by size."""
    for size in _SIZES:
        _measure(size, is_relay=False)
        _measure(size, is_relay=True)

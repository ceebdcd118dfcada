"""Processor time of one gateway process in a large, idle fleet.

Only the gateway is real. The other nodes are simulated: their entries are
in the store, their heartbeats and digests are sent as datagrams, and their
list of instances, in which a few entries change each round, is served over
HTTP.
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

# Numbers of nodes, instances and data centres.
_SIZES = ((30, 165, 3), (100, 560, 3), (195, 1100, 5), (350, 2100, 7))
_DOMAIN_SIZE = 73
_REPLICA_SIZE = 8
_ROUND_SECONDS = 0.4
# One instance in this many changes its entry in each round.
_INSTANCES_PER_CHANGE = 100
_WARMUP_SECONDS = 6.0
_MEASURE_SECONDS = 10.0
_MODEL_NAME = "m"
_GATEWAY_NAME = "node"
# Above the revisions that the store assigns while it is filled.
_FIRST_REVISION = 100_000
_LEASE_SECONDS = 1.8
# Limits that machines of each size set for the gateway process.
_SMALL_LIMITS = {"cpuShare": 0.5, "cores": 1, "linkMbps": 20.0}
_LARGE_LIMITS = {"cpuShare": 0.7, "cores": 3, "linkMbps": 200.0}
_RELAYS_PER_DATACENTRE = 2
_MILLISECONDS_PER_SECOND = 1000.0


class _SimulatedNodes:
    """Simulates all nodes of a fleet except the gateway that is measured."""

    def __init__(self, count: int, instances: int, datacentres: int) -> None:
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._make_handler()
        )
        self._encoder = msgspec.msgpack.Encoder()
        self._lock = threading.Lock()
        self._change_log: changes.ChangeLog[ports.StoredObject] = (
            changes.ChangeLog()
        )
        self._revision = _FIRST_REVISION
        self._serial = 0
        self._running = True
        self._started = time.monotonic()
        self.instances = [
            _make_instance(number, datacentres) for number in range(instances)
        ]
        self.domains = [
            f"d{number}"
            for number in range((instances - 1) // _DOMAIN_SIZE + 1)
        ]
        self.nodes = [
            self._make_entry(number, datacentres) for number in range(count)
        ]
        self._publish()

    def _make_entry(
        self, number: int, datacentres: int
    ) -> presence_module.NodeEntry:
        loopback = "127.0.0.1:{}"
        return presence_module.NodeEntry(
            id=ids.NodeId(f"node-{number:03}"),
            datacentre=ids.DatacentreName(
                _get_datacentre_name(number, datacentres)
            ),
            front=loopback.format(9),
            heartbeats=loopback.format(self._socket.getsockname()[1]),
            peer=loopback.format(self._server.server_address[1]),
            incarnation=1,
            capacity=1.0
            if number < _RELAYS_PER_DATACENTRE * datacentres
            else 0.2,
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
            self._change_log.replace(self.instances, self._revision)

    def _change_instances(self) -> None:
        """Flip the busy state of a few instances and publish the list."""
        count = len(self.instances)
        step = max(1, count // _INSTANCES_PER_CHANGE)
        for offset in range(step):
            number = (self._serial * step + offset) % count
            stored = self.instances[number]
            state = msgspec.json.decode(stored.value)
            state["busy"] = not state["busy"]
            self.instances[number] = ports.StoredObject(
                stored.name, self._revision + 1, msgspec.json.encode(state)
            )
        self._publish()

    def answer(self, path: str) -> bytes:
        """Return the encoded changes of the list since a path's revision."""
        with self._lock:
            found = self._change_log.list_since(peers.parse_since(path))
            listing = ports.Listing(
                found.objects,
                self._revision,
                found.removed,
                found.since,
                self._change_log.changed,
            )
        return peers.compress(msgspec.msgpack.encode(listing))

    # -- Digests and heartbeats

    def start(self, address: str, is_relay: bool) -> None:
        """Send to the node at an address, round by round, until `stop`."""
        host, _, port = address.rpartition(":")
        target = (host, int(port))
        threading.Thread(target=self._server.serve_forever).start()
        threading.Thread(
            target=self._send_rounds, args=(target, is_relay)
        ).start()

    def _send_rounds(self, target: tuple[str, int], is_relay: bool) -> None:
        while self._running:
            self._serial += 1
            self._change_instances()
            due = (
                self._list_relay_messages()
                if is_relay
                else self._list_member_messages()
            )
            for message in due:
                self._socket.sendto(self._encoder.encode(message), target)
            time.sleep(_ROUND_SECONDS)

    def stop(self) -> None:
        """Stop sending and close the sockets."""
        self._running = False
        self._server.shutdown()
        self._server.server_close()
        time.sleep(_ROUND_SECONDS)
        self._socket.close()

    def _list_member_messages(self) -> abc.Iterator[digests.Message]:
        """Yield the total digests that a member receives from its relays."""
        local_nodes = [node for node in self.nodes if node.datacentre == "a"]
        for node in local_nodes[:_RELAYS_PER_DATACENTRE]:
            yield self._make_digest(node, False, self.nodes)

    def _list_relay_messages(self) -> abc.Iterator[digests.Message]:
        """Yield the messages that a relay receives.

        These are the partial digests of the other relays and the
        heartbeats of the nodes of its data centre.
        """
        by_datacentre: dict[str, list[presence_module.NodeEntry]] = {}
        for node in self.nodes:
            by_datacentre.setdefault(node.datacentre, []).append(node)
        for datacentre, nodes in by_datacentre.items():
            for number, node in enumerate(nodes[:_RELAYS_PER_DATACENTRE]):
                if datacentre != "a" or number:
                    clients = nodes[number::_RELAYS_PER_DATACENTRE]
                    yield self._make_digest(node, True, clients)
        for number, node in enumerate(
            by_datacentre["a"][_RELAYS_PER_DATACENTRE:]
        ):
            asks = (
                RelayRequest.FULL
                if number % _RELAYS_PER_DATACENTRE
                else RelayRequest.WITHOUT_LOADS
            )
            yield presence_module.Heartbeat(
                node=node,
                serial=self._serial,
                asks=asks,
                ready=True,
                configuration=1,
                loads=self._make_loads(8),
                instances=self._change_log.changed,
            )

    def _make_digest(
        self,
        relay_node: presence_module.NodeEntry,
        is_part: bool,
        named: list[presence_module.NodeEntry],
    ) -> digests.Digest:
        full = self._serial % 4 == 0
        nodes = {str(node.id): True for node in named}
        return digests.Digest(
            node=relay_node,
            serial=self._serial,
            is_part=is_part,
            nodes=nodes if full else None,
            nodes_hash=len(nodes),
            configuration=1,
            instances=self._change_log.changed,
            store_age=0.3,
            loads=self._make_loads(1),
            leases=self._make_leases(),
        )

    def _make_loads(self, apart: int) -> dict[str, int]:
        """Return the requests in flight at every `apart`-th replica."""
        step = _REPLICA_SIZE * apart
        return {stored.name: 3 for stored in self.instances[::step]}

    def _make_leases(self) -> dict[str, presence_module.HeldLease]:
        return {
            name: presence_module.HeldLease(
                _FIRST_REVISION + self._serial, 1, self.nodes[0].id, 1
            )
            for name in self.domains
        }


def _get_datacentre_name(number: int, datacentres: int) -> str:
    return "abcdefgh"[number % datacentres]


def _make_instance(number: int, datacentres: int) -> ports.StoredObject:
    """Return the stored entry of a member of an open replica."""
    domain = number // _DOMAIN_SIZE
    leader, rank = divmod(number, _REPLICA_SIZE)
    name = f"{_MODEL_NAME}.{_REPLICA_SIZE}.d{domain}-{leader}"
    state = {
        "service": "pool",
        "address": f"127.0.0.1:{20_000 + number}",
        "zone": _get_datacentre_name(domain, datacentres),
        "state": "ready",
        "slots": 11,
        "born": 1,
        "domain": f"d{domain}",
        "staged": [_MODEL_NAME],
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
    stored_domain = domain_module.Domain(
        name=ids.DomainName(name),
        datacentre=ids.DatacentreName("a"),
        lease=lease,
    )
    return msgspec.to_builtins(stored_domain)


class _Site(gateways_module.Gateways):
    """The store with the entries of all nodes, and the measured gateway."""

    def write_objects(self, others: _SimulatedNodes) -> None:
        """Write the entries of the other nodes, instances and domains.

        A configuration is written as well.
        """
        for node in others.nodes:
            self._create_object(
                "currantwall-nodes", node.id, msgspec.to_builtins(node)
            )
        for stored in others.instances:
            spec = msgspec.json.decode(stored.value)
            self._create_object("servers", stored.name, spec)
        for name in others.domains:
            stored_domain = _make_domain(name, others.nodes[0].id)
            self._create_object("currantwall-domains", name, stored_domain)
        model = {"name": _MODEL_NAME, "size": _REPLICA_SIZE, "share": 1.0}
        engine = {"slots": 11, "models": [model]}
        services = [{"name": "pool", "engine": engine}]
        self.put_configuration(services=services, routes=[])

    def _create_object(self, kind: str, name: str, spec: object) -> None:
        address = self.addresses["platform"]
        url = f"http://{address}/currantwall/objects/{kind}"
        body = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        self.http.request("POST", url, body=body)

    def get_heartbeat_address(self) -> str:
        """Return the address at which the gateway receives heartbeats."""
        data = (self.path / f"{_GATEWAY_NAME}.json").read_bytes()
        settings = msgspec.json.decode(data)
        return f"{settings['ip']}:{settings['internalPorts'][0]}"


def _measure(size: tuple[int, int, int], is_relay: bool) -> None:
    count, instances, datacentres = size
    others = _SimulatedNodes(count, instances, datacentres)
    with _Site() as site:
        site.limits = _LARGE_LIMITS if is_relay else _SMALL_LIMITS
        site.start_platform()
        fleet_module.wait_until(
            lambda: site.answers(
                f"http://{site.addresses['platform']}"
                "/currantwall/objects/servers"
            ),
            30,
            "store",
        )
        site.write_objects(others)
        site.start_gateway(_GATEWAY_NAME)
        others.start(site.get_heartbeat_address(), is_relay)
        try:
            fleet_module.wait_until(
                lambda: site.is_ready(_GATEWAY_NAME), 60, "gateway ready"
            )
            pid = site.get_pid(_GATEWAY_NAME)
            start = relay.read_cpu(pid)
            time.sleep(_WARMUP_SECONDS)
            before = relay.read_cpu(pid)
            time.sleep(_MEASURE_SECONDS)
            share = (relay.read_cpu(pid) - before) / _MEASURE_SECONDS
            memory = relay.read_memory(pid)
        finally:
            others.stop()
    role = "relay" if is_relay else "member"
    name = f"nodes.{count}.{role}"
    report.emit(name, "start", start * _MILLISECONDS_PER_SECOND, "ms")
    report.emit(name, "at_rest", share * 100.0, "% of a core")
    report.emit(name, "memory", memory, "MB")


@report.register("nodes")
def measure_nodes() -> None:
    """Measure a member and a relay of fleets of several sizes."""
    for size in _SIZES:
        _measure(size, is_relay=False)
        _measure(size, is_relay=True)

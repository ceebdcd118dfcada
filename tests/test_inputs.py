"""Messages and configurations of others, with one field changed."""

import copy
import math
import pathlib
import sys
import unittest

import hypothesis
from hypothesis import strategies
import msgspec
import result

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from currantwall_platform import documents  # noqa: E402

from bench import gateways  # noqa: E402
from currantwall.coordination.peers import digests  # noqa: E402
from currantwall.coordination.peers import presence  # noqa: E402
from currantwall.state import ids  # noqa: E402
from currantwall.state import routes  # noqa: E402
from currantwall.state import upstreams  # noqa: E402
from currantwall.transport import ports  # noqa: E402

_values = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.sampled_from([0, -1, 2**53, 2**64 - 1])
    | strategies.floats()
    | strategies.text(max_size=6)
    | strategies.sampled_from(["x" * 100_000, "9" * 4400, "a@" + "9" * 4400])
    | strategies.binary(max_size=6)
    | strategies.lists(strategies.integers(0, 9), max_size=3)
    | strategies.dictionaries(
        strategies.text(max_size=3), strategies.integers(0, 9), max_size=3
    )
)
_JSON_TYPES = (type(None), bool, int, float, str, list, dict)


def make_entry(name):
    return presence.NodeEntry(
        id=ids.NodeId(name),
        datacentre=ids.DatacentreName("z"),
        front="10.0.0.1:1",
        heartbeats="10.0.0.1:2",
        peer="10.0.0.1:3",
        incarnation=1,
    )


def make_heartbeat():
    return presence.Heartbeat(
        node=make_entry("other"),
        serial=1,
        asks=presence.RelayRequest.FULL,
        ready=True,
        configuration=3,
        loads={"u1": 2},
        stalled=("u1",),
        lost=("u1@1",),
        slow=("u1@1",),
        instances=5,
        leases={"d": presence.HeldLease(1, 1, ids.NodeId("other"), 1)},
        store_age=0.1,
        departures={ids.InstanceId("u2"): upstreams.Departure(1, 1.0)},
        findings={ids.InstanceId("u3"): upstreams.Finding(1, 0.1)},
    )


def list_paths(value, path=()):
    """Yield the path of each field within a value."""
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, inner in items:
        yield (*path, key)
        yield from list_paths(inner, (*path, key))


def change(value, path, new):
    changed = copy.deepcopy(value)
    place = changed
    for key in path[:-1]:
        place = place[key]
    place[path[-1]] = new
    return changed


_HEARTBEAT = msgspec.msgpack.decode(msgspec.msgpack.encode(make_heartbeat()))
_CONFIGURATION = msgspec.json.decode(
    msgspec.json.encode(gateways.make_configuration(1))
)


class ChangedFieldTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=500, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(list(list_paths(_HEARTBEAT))), _values
    )
    def test_a_heartbeat_is_applied_or_unreadable(self, path, value):
        """Guards against a message that ends the task that receives it."""
        data = msgspec.msgpack.encode(change(_HEARTBEAT, path, value))
        try:
            message = msgspec.msgpack.decode(data, type=digests.Message)
        except ports.UNREADABLE:
            return
        known = presence.Presence(make_entry("me"))
        relay = digests.Relay(known)
        known.note_heartbeat(message, 10.0)
        relay.note_heartbeat(message, 10.0)
        own = presence.Heartbeat(node=known.me, serial=1)
        for datagram in relay.list_datagrams(own, 10.1):
            # Passed on to others.
            msgspec.msgpack.encode(datagram.message)
        for name in (*message.lost, *message.slow):
            upstreams.parse_epoch_id(name)
        known.rank("duty", 10.2)
        known.reads_store(10.2)

    @hypothesis.settings(
        max_examples=500, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.sampled_from(list(list_paths(_CONFIGURATION))),
        _values.filter(lambda value: isinstance(value, _JSON_TYPES))
        | strategies.sampled_from([10**300, -(10**300)]),
    )
    def test_a_configuration_is_usable_or_unreadable(self, path, value):
        """Guards against a version that fails where it is used."""
        if isinstance(value, float) and not math.isfinite(value):
            return
        changed = change(_CONFIGURATION, path, value)
        found = documents.Documents().decode_configuration(
            msgspec.json.encode(changed)
        )
        if isinstance(found, result.Err):
            self.assertTrue(found.err_value)
            return
        table = routes.RouteTable(found.ok_value)
        # Part of each heartbeat.
        msgspec.msgpack.encode(table.version)
        route = table.find_route(gateways.HOST, "/safe/x")
        if route is not None:
            route.choose_service("a")
            self.assertTrue(math.isfinite(route.timeout * 1e3))


if __name__ == "__main__":
    unittest.main()

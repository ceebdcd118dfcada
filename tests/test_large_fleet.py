"""A node's work must depend on the changes, not on the size of the fleet.

Failure: in a fleet of 195 nodes and 1,100 instances, of which a few change
between two lists, each node spends its time on what has not changed,
although nothing else happens.
"""

import random
import time
import unittest
from unittest import mock

import eventlet
import eventlet.event

from bench import digests as network
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.replicas import leases
from currantwall.coordination.replicas import staging
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import loads as loads_module
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import fleets
from currantwall.transport import ports
from currantwall.transport import queues
from tests import test_duties

Phase = upstreams.Phase
_SERVICE = ids.ServiceName("pool")
_MODEL = "m"


def make_instance(number, replica, rank, phase, leaving=False):
    """Return a member of a replica of four, or a spare if that is None."""
    seat = None
    if replica is not None:
        name = upstreams.make_replica_id(_MODEL, 4, f"r{replica}")
        seat = upstreams.Seat(name, 1, rank, phase)
    return upstreams.Upstream(
        id=ids.InstanceId(f"i{number}"),
        service=_SERVICE,
        address=f"h{number}:1",
        datacentre=ids.DatacentreName("a"),
        domain=ids.DomainName(f"d{number % 3}"),
        leaving=leaving,
        seat=seat,
    )


def describe(fleet):
    """Return the results of all queries of a fleet, in a fixed order."""
    replicas = fleet.list_replicas(_SERVICE)
    serving = fleet.list_serving(_SERVICE, _MODEL)
    return (
        sorted(one.id for one in fleet.list_service(_SERVICE)),
        [
            sorted(one.id for one in fleet.list_domain(_SERVICE, name))
            for name in ("d0", "d1", "d2")
        ],
        sorted((one.id, one.members) for one in replicas),
        sorted(one.id for one in serving),
    )


class FleetTest(unittest.TestCase):
    def make_random_list(self, draw):
        phases = [Phase.OPEN, Phase.OPEN, Phase.OPEN, Phase.READY]
        return [
            make_instance(
                number,
                draw.choice([number // 4, number // 4, None]),
                number % 4,
                draw.choice(phases),
                draw.random() < 0.05,
            )
            for number in range(24)
            if draw.random() < 0.9
        ]

    def test_replacing_a_list_gives_the_same_fleet_as_a_new_one(self):
        """Guards against requests to replicas that have lost a member."""
        draw = random.Random(4)
        fleet = upstreams.Fleet()
        for revision in range(1, 300):
            listed = self.make_random_list(draw)
            keeps_missing = draw.random() < 0.2
            held = (
                {one.id: one for one in fleet.all()} if keeps_missing else {}
            )
            fleet.replace(listed, revision, float(revision), keeps_missing)
            fresh = upstreams.Fleet()
            expected = held | {one.id: one for one in listed}
            fresh.replace(expected.values(), 1, 1.0)
            self.assertEqual(describe(fleet), describe(fresh), revision)

    def test_changes_give_the_same_fleet_as_the_whole_list(self):
        """Guards against followers that route by a wrong list."""
        draw = random.Random(7)
        fleet = upstreams.Fleet()
        held = {}
        for revision in range(1, 300):
            listed = {one.id: one for one in self.make_random_list(draw)}
            differs = [
                one for name, one in listed.items() if held.get(name) != one
            ]
            gone = held.keys() - listed.keys()
            fleet.update(differs, gone, revision, float(revision))
            held = listed
            fresh = upstreams.Fleet()
            fresh.replace(listed.values(), 1, 1.0)
            self.assertEqual(describe(fleet), describe(fresh), revision)

    def test_older_changes_are_refused(self):
        fleet = upstreams.Fleet()
        one = make_instance(0, 0, 0, Phase.OPEN)
        fleet.update([one], (), 5, 1.0)
        self.assertFalse(fleet.update((), [one.id], 4, 2.0))
        self.assertIsNotNone(fleet.get(one.id))

    def test_an_equal_list_is_no_change(self):
        fleet = upstreams.Fleet()
        for revision in (1, 2):
            listed = [make_instance(n, 0, n, Phase.OPEN) for n in range(4)]
            fleet.replace(listed, revision, float(revision))
        self.assertEqual(fleet.generation, 1)
        self.assertEqual(fleet.revision, 2)


class DecodingTest(unittest.TestCase):
    def test_an_entry_is_decoded_once_for_each_revision(self):
        """Guards against decoding entries that have not changed.

        A node spent a quarter of its time on that.
        """
        documents = mock.Mock()
        documents.decode_upstreams = lambda objects: [
            make_instance(int(one.name[1:]), None, 0, Phase.READY)
            for one in objects
            if one.value != b"unreadable"
        ]
        documents = mock.Mock(wraps=documents)
        decoder = fleets._Decoder(documents)
        entries = [ports.StoredObject(f"i{n}", 1, b"{}") for n in range(9)]
        entries[4] = ports.StoredObject("i4", 1, b"unreadable")
        self.assertEqual(len(decoder.decode(entries)), 8)
        entries[4] = ports.StoredObject("i4", 2, b"{}")
        self.assertEqual(len(decoder.decode(entries)), 9)
        self.assertEqual(len(decoder.decode(entries[1:])), 8)
        decoded = [
            [one.name for one in call.args[0]]
            for call in documents.decode_upstreams.call_args_list
        ]
        self.assertEqual([len(names) for names in decoded], [9, 1, 0])

    def test_an_entry_that_became_unreadable_is_gone(self):
        """Guards against requests to a server whose entry is unreadable."""
        documents = mock.Mock()
        documents.decode_upstreams.return_value = []
        decoder = fleets._Decoder(documents)
        spoilt = ports.StoredObject("i0", 2, b"spoilt")
        found, gone = decoder.decode_changes([spoilt], ())
        self.assertEqual((found, gone), ([], {"i0"}))

    def test_an_entry_that_comes_back_is_decoded_anew(self):
        """Guards against an instance in the state it had before it left."""
        documents = mock.Mock()
        documents.decode_upstreams.side_effect = [
            [make_instance(0, None, 0, Phase.READY)],
            [],
            [make_instance(0, 1, 0, Phase.OPEN)],
        ]
        decoder = fleets._Decoder(documents)
        decoder.decode([ports.StoredObject("i0", 1, b"{}")])
        decoder.decode([])
        (found,) = decoder.decode([ports.StoredObject("i0", 3, b"{}")])
        self.assertIsNotNone(found.seat)


class QuietTest(test_duties.LeaseCase):
    def test_nothing_is_worked_out_while_nothing_changes(self):
        """Guards against recomputing rankings and assignments all the time.

        At 195 nodes, runs of a whole day were abandoned for lack of
        processor time.
        """
        world = self.make("a", "b", "c")
        world.run(2.0, lambda: exchange_leases(world))
        rank = mock.patch.object(
            presence_module.rendezvous, "rank", side_effect=AssertionError
        )
        assign = mock.patch.object(
            staging, "assign_models", side_effect=AssertionError
        )
        with rank, assign:
            world.run(5.0, lambda: exchange_leases(world))
        self.assertEqual(len(world.list_holders()), 1)

    def test_leases_that_heartbeats_report_are_not_read(self):
        """Guards against reading leases that the heartbeats report.

        Two calls in three were such reads.
        """
        world = self.make(*(f"n{n}" for n in range(20)))
        world.run(2.0, lambda: exchange_leases(world))
        reads = mock.patch.object(test_duties.Node, "list")
        with reads as listed:
            world.run(10.0, lambda: exchange_leases(world))
        self.assertEqual(listed.call_count, 0)

    def test_only_who_may_hold_a_lease_reads_it(self):
        """Guards against reads by nodes that can never hold the lease.

        Each of 195 nodes paid for such reads.
        """
        world = self.make(*(f"n{n}" for n in range(20)))
        readers = set()

        def record_list(node, kind, stale=False):
            readers.add(node.name)
            return original_list(node, kind, stale)

        original_list = test_duties.Node.list
        with mock.patch.object(test_duties.Node, "list", record_list):
            world.run(10.0)
        self.assertLessEqual(len(readers), leases._CANDIDATES)


def exchange_leases(world):
    """Report the leases of each node to all nodes."""
    for node in world.nodes.values():
        for other in world.nodes.values():
            held = other.leases.list_leases(world.time)
            node.leases.note_leases(held, world.time)


class QueueTest(unittest.TestCase):
    def test_an_empty_queue_is_not_polled(self):
        """Guards against polling an empty queue.

        Each of 195 nodes checked its empty queue twenty times a second.
        """
        fleet = upstreams.Fleet()
        balancer = balancing.Balancer(fleet, ids.DatacentreName("a"))
        queue = queues.Queue(
            balancer, mock.Mock(), mock.Mock(), mock.Mock(), time.monotonic
        )
        task = eventlet.spawn(queue.run)
        self.addCleanup(task.kill)
        with mock.patch.object(queues.eventlet, "sleep") as sleep:
            waits = eventlet.event.Event()
            eventlet.spawn_after(0.2, waits.send, None)
            waits.wait()
            self.assertEqual(sleep.call_count, 0)


class ReadersTest(unittest.TestCase):
    def count_readers(self, datacentres):
        net = network.Network(20, datacentres, 3)
        net.run(4.0)
        return sum(
            node.presence.is_reader(net.now) for node in net.nodes.values()
        )

    def test_the_readers_do_not_grow_with_the_data_centres(self):
        """Guards against two more readers for each additional data centre."""
        self.assertEqual(self.count_readers(("a", "b", "c")), 6)
        self.assertEqual(self.count_readers(("a", "b", "c", "d", "e")), 5)

    def test_a_reader_that_dies_is_followed_by_another(self):
        """Guards against a data centre that learns of changes late.

        Without a reader of its own it depends on those of other data
        centres.
        """
        datacentres = ("a", "b", "c", "d", "e")
        net = network.Network(20, datacentres, 3)
        net.run(4.0)
        reader = net.find_relays("b")[0]
        net.dead.add(reader)
        net.run(3.2)
        readers = [
            node.entry.datacentre
            for node in net.list_live()
            if node.presence.is_reader(net.now)
        ]
        self.assertEqual(sorted(readers), list(datacentres))


class LoadsTest(unittest.TestCase):
    def test_counts_follow_each_message_and_end_with_their_node(self):
        """Guards against replicas that look busy with ended requests."""
        balancer = balancing.Balancer(
            upstreams.Fleet(), ids.DatacentreName("a")
        )
        draw = random.Random(2)
        held = {}
        now = 0.0
        for _ in range(2000):
            now += draw.choice([0.0, 0.05, 0.4])
            node = f"n{draw.randrange(12)}"
            loads = {
                f"i{draw.randrange(6)}": draw.randrange(4) for _ in range(3)
            }
            balancer.note_loads(ids.NodeId(node), loads, now)
            held[node] = now, loads
            for name in ("i0", "i3", "i5"):
                wanted = sum(
                    counts.get(name, 0)
                    for at, counts in held.values()
                    if now - at <= loads_module._LOAD_TTL
                )
                self.assertEqual(balancer.count_load(name), wanted)


if __name__ == "__main__":
    unittest.main()

"""What nodes of a large fleet know of each other.

Every node is the real one; the network of `bench.digests` carries the
datagrams and loses them where a node is dead or cut off.
"""

import unittest

import msgspec

from bench import digests as network
from currantwall.coordination.peers import directory

_PLACES = ("a", "b", "c")
make_entry = network.make_entry


class LargeFleetTest(unittest.TestCase):
    def setUp(self):
        self.net = network.Network(47, _PLACES, 2)
        self.net.run(4.0)

    def count_ready(self):
        return [
            len(node.presence.list_ready(self.net.now))
            for node in self.net.list_live()
        ]

    def test_every_node_knows_all_others(self):
        self.assertEqual(set(self.count_ready()), {140})

    def list_outages(self, since):
        """Return what each node finds that is told of all failures."""
        failures = {
            at
            for node in self.net.nodes.values()
            for at in node.presence.store_history._failures
            if at >= since
        }
        found = []
        for node in self.net.nodes.values():
            for at in sorted(failures):
                node.presence.store_history.note_failure(at)
            history = node.presence.store_history
            found.append(history.find_last_outage(self.net.now))
        return found

    def test_no_node_believes_in_an_outage_that_one_relay_sees(self):
        """All nodes of a data centre kept instances that had left."""
        self.net.refused = set()
        self.net.run(4.0)
        self.net.refused = {self.net.find_relays("a")[0]}
        since = self.net.now
        self.net.run(4.0)
        self.net.refused = set()
        self.net.run(2.0)
        self.assertEqual(set(self.list_outages(since)), {None})

    def test_every_node_finds_an_outage_and_its_end(self):
        """Some nodes took every replica apart after an outage."""
        self.net.refused = set()
        self.net.run(4.0)
        since = self.net.now
        self.net.refused = set(self.net.nodes)
        self.net.run(6.0)
        self.net.refused = set()
        returned = self.net.now
        self.net.run(2.0)
        found = self.list_outages(since)
        self.assertNotIn(None, found)
        ends = [one.ended - returned for one in found]
        self.assertGreaterEqual(min(ends), 0.0)
        self.assertLessEqual(max(ends), 2 * network.ROUND)

    def test_a_node_sends_little_however_large_the_fleet_is(self):
        """Control would take more of a thin link the larger the fleet is.

        Load: 141 nodes at rest; of a data centre's two large nodes each
        passes on what half of the others tell.
        """
        self.net.clear()
        self.net.run(4.0)
        counts = sorted(node.sent for node in self.net.nodes.values())
        self.assertEqual(counts[len(counts) // 2], 20)
        self.assertLess(counts[-1], 700)
        received = sorted(node.received for node in self.net.nodes.values())
        self.assertEqual(received[len(received) // 2], 20)

    def test_the_large_nodes_are_the_relays(self):
        for place in _PLACES:
            relays = self.net.find_relays(place)
            self.assertEqual(set(relays), {f"{place}-0", f"{place}-1"})

    def test_a_node_that_dies_is_soon_known_as_gone(self):
        """Callers would be sent to a node that is gone."""
        self.net.dead.add("b-20")
        self.net.run(3.2)
        self.assertEqual(set(self.count_ready()), {139})

    def test_the_counts_of_all_nodes_are_added_up_once(self):
        """A replica would look twice as busy as it is.

        Each node asks two relays, and both could add up its counts.
        """
        for node in self.net.nodes.values():
            node.loads = {"i-1": 1, "i-2": 2}
        self.net.run(2.0)
        for name in ("a-30", "b-40", "c-46"):
            remote = self.net.nodes[name].remote
            self.assertEqual(remote, {"i-1": 141, "i-2": 282})

    def test_news_of_a_loss_reaches_all_at_once(self):
        """Requests would go on to a replica that lacks a member.

        One node finds the loss; two relays lie between it and a node of
        another data centre.
        """
        self.net.nodes["a-30"].lost = ("i-9",)
        self.net.send("a-30")
        told = [
            node for node in self.net.list_live() if "i-9" in node.heard_lost
        ]
        self.assertGreaterEqual(len(told), 140)

    def test_news_of_a_slow_replica_reaches_all_at_once(self):
        """Each node would find it out by a request that stalls."""
        self.net.nodes["a-30"].slow = ("i-9",)
        self.net.send("a-30")
        told = [
            node for node in self.net.list_live() if "i-9" in node.heard_slow
        ]
        self.assertGreaterEqual(len(told), 140)

    def test_the_fleet_goes_on_when_all_relays_die_at_once(self):
        """Nodes would lose sight of each other for good.

        All six large nodes lose power together; smaller ones follow.
        """
        for place in _PLACES:
            self.net.dead |= set(self.net.find_relays(place))
        self.net.run(6.0)
        self.assertEqual(set(self.count_ready()), {134})

    def test_a_data_centre_that_is_cut_off_comes_back(self):
        cut = {name for name in self.net.nodes if name.startswith("c")}
        self.net.dead |= cut
        self.net.run(4.0)
        self.assertEqual(set(self.count_ready()), {93})
        self.net.dead -= cut
        self.net.run(6.0)
        self.assertEqual(set(self.count_ready()), {140})

    def test_a_relay_whose_clock_went_back_is_heard_again(self):
        """A data centre would hear no news from its best nodes for good.

        A relay starts again after its time of day went back, so its new
        process looks older than the one before.
        """
        relay = self.net.nodes["a-0"]
        self.net.dead.add("a-0")
        self.net.run(4.0)
        older = msgspec.structs.replace(relay.entry, incarnation=0)
        self.net.nodes["a-0"] = network.Node(older)
        entries = [node.entry for node in self.net.nodes.values()]
        self.net.nodes["a-0"].presence.note_list(entries, self.net.now)
        self.net.dead.clear()
        self.net.run(16.0)
        self.assertEqual(set(self.count_ready()), {140})
        member = self.net.nodes["a-30"]
        at, digest = member.relay._total_digests["a-0"]
        self.assertEqual(digest.node.incarnation, 0)
        self.assertLess(self.net.now - at, 1.0)

    def test_a_node_that_nobody_lists_is_looked_up(self):
        presence = self.net.nodes["a-30"].presence
        self.assertFalse(presence.has_unknown_nodes)
        presence.note_relayed_nodes({"a-new": True}, self.net.now)
        self.assertTrue(presence.has_unknown_nodes)


class SmallFleetTest(unittest.TestCase):
    def test_every_heartbeat_goes_to_everyone(self):
        net = network.Network(4, _PLACES, 0)
        net.run(2.0)
        for node in net.nodes.values():
            self.assertEqual(len(node.presence.list_ready(net.now)), 11)
            (datagram,) = node.compose(net.now)
            self.assertEqual(len(datagram.to), 11)


class DirectoryTest(unittest.TestCase):
    def choose(self, nodes, callers=4000):
        named = {}
        for number in range(callers):
            for front in directory.choose_addresses(nodes, f"10.0.{number}"):
                named[front] = named.get(front, 0) + 1
        return named

    def test_nodes_are_named_by_what_they_can_carry(self):
        """A thin link would carry as much as one ten times as wide.

        Load: callers take one of their addresses at random.
        """
        nodes = [make_entry(f"s{n}", "a", 0.1) for n in range(50)]
        nodes += [make_entry("large", "a", 1.0)]
        named = self.choose(nodes)
        self.assertEqual(named["large:1"], 4000)
        small = [named[f"s{n}:1"] for n in range(50)]
        self.assertTrue(min(small) > 320 and max(small) < 800)

    def test_a_caller_is_told_the_same_while_the_nodes_stay(self):
        """A caller would give up its connections with each answer."""
        nodes = [make_entry(f"s{n}", "a", 0.1) for n in range(60)]
        first = directory.choose_addresses(nodes, "10.0.0.1")
        self.assertEqual(
            first, directory.choose_addresses(nodes[::-1], "10.0.0.1")
        )
        without = [one for one in nodes if one.front != first[0]]
        second = directory.choose_addresses(without, "10.0.0.1")
        self.assertLessEqual(set(first[1:]), set(second))

    def test_no_part_of_a_large_fleet_is_left_out(self):
        """Half of the nodes would stand idle.

        More nodes than an answer may name, all alike.
        """
        nodes = [make_entry(f"s{n:03}", "a", 0.5) for n in range(142)]
        named = self.choose(nodes, 400)
        self.assertEqual(len(named), 142)
        self.assertLess(max(named.values()), 2 * min(named.values()))

    def test_all_nodes_of_a_small_fleet_are_named(self):
        nodes = [make_entry(f"s{n}", "a", 0.7) for n in range(13)]
        given = directory.choose_addresses(nodes, "x")
        self.assertEqual(len(given), 13)


if __name__ == "__main__":
    unittest.main()

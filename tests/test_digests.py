"""What the nodes of a large fleet know of each other through digests.

The nodes are real `Presence` and `Relay` objects; the simulated network of
`bench.digests` carries the datagrams and drops those to or from nodes that
are dead. Nodes that are cut off are simulated as dead ones, too.
"""

import unittest

import msgspec

from bench import digests as network
from currantwall.coordination.peers import directory

_DATACENTRES = ("a", "b", "c")
make_entry = network.make_entry


class LargeFleetTest(unittest.TestCase):
    def setUp(self):
        self.net = network.Network(47, _DATACENTRES, 2)
        self.net.run(4.0)

    def count_ready(self):
        return [
            len(node.presence.list_ready(self.net.now))
            for node in self.net.list_live()
        ]

    def test_every_node_knows_all_others(self):
        self.assertEqual(set(self.count_ready()), {140})

    def list_outages(self, since):
        """Return the last outage that each node finds.

        Every node is given the failures of all nodes.
        """
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

    def test_a_refusal_of_one_relay_is_an_outage_to_no_node(self):
        """Failure: all nodes of a data centre keep instances that left."""
        self.net.refused = set()
        self.net.run(4.0)
        self.net.refused = {self.net.find_relays("a")[0]}
        since = self.net.now
        self.net.run(4.0)
        self.net.refused = set()
        self.net.run(2.0)
        self.assertEqual(set(self.list_outages(since)), {None})

    def test_every_node_learns_a_limit_and_the_age_of_its_answer(self):
        """Guards against an old limit that replaces a newer answer.

        Relays hold a report for a while before they pass it on.
        """
        observed_at = self.net.now - 1.0
        self.net.nodes["a-30"].limits["i-9"] = (1.2, observed_at)
        self.net.run(2.0)
        for name, node in self.net.nodes.items():
            if name == "a-30":
                continue
            rate, at = node.heard_limits["i-9"]
            self.assertEqual(rate, 1.2)
            self.assertAlmostEqual(at, observed_at, delta=0.1)

    def test_every_node_finds_an_outage_and_its_end(self):
        """Failure: some nodes dissolve every replica after an outage."""
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
        ends = [outage.ended - returned for outage in found]
        self.assertGreaterEqual(min(ends), 0.0)
        self.assertLessEqual(max(ends), 2 * network.ROUND)

    def test_a_node_sends_little_however_large_the_fleet_is(self):
        """Failure: control traffic on a slow link grows with the fleet.

        Load: 141 idle nodes; each of the two large nodes of a data centre
        relays the heartbeats of half of the others.
        """
        self.net.clear()
        self.net.run(4.0)
        counts = sorted(node.sent for node in self.net.nodes.values())
        self.assertEqual(counts[len(counts) // 2], 20)
        self.assertLess(counts[-1], 700)
        received = sorted(node.received for node in self.net.nodes.values())
        self.assertEqual(received[len(received) // 2], 20)

    def test_the_large_nodes_are_the_relays(self):
        for datacentre in _DATACENTRES:
            relays = self.net.find_relays(datacentre)
            self.assertEqual(
                set(relays), {f"{datacentre}-0", f"{datacentre}-1"}
            )

    def test_a_node_that_dies_is_soon_known_as_gone(self):
        """Failure: callers are sent to a node that is gone."""
        self.net.dead.add("b-20")
        self.net.run(3.2)
        self.assertEqual(set(self.count_ready()), {139})

    def test_the_counts_of_all_nodes_are_added_up_once(self):
        """Failure: a replica looks twice as busy as it is.

        Each node asks two relays, and both add up its counts.
        """
        for node in self.net.nodes.values():
            node.loads = {"i-1": 1, "i-2": 2}
        self.net.run(2.0)
        for name in ("a-30", "b-40", "c-46"):
            remote = self.net.nodes[name].remote_loads
            self.assertEqual(remote, {"i-1": 141, "i-2": 282})

    def test_a_loss_is_reported_to_all_at_once(self):
        """Failure: requests still go to a replica that lacks a member.

        One node detects the loss; two relays lie between it and a node of
        another data centre.
        """
        self.net.nodes["a-30"].lost = ("i-9",)
        self.net.send("a-30")
        informed = [
            node for node in self.net.list_live() if "i-9" in node.heard_lost
        ]
        self.assertGreaterEqual(len(informed), 140)

    def test_a_slow_replica_is_reported_to_all_at_once(self):
        """Failure: each node detects it only by a request that stalls."""
        self.net.nodes["a-30"].slow = ("i-9",)
        self.net.send("a-30")
        informed = [
            node for node in self.net.list_live() if "i-9" in node.heard_slow
        ]
        self.assertGreaterEqual(len(informed), 140)

    def test_a_lost_path_is_reported_to_all(self):
        """Guards against requests by way of a node without a path.

        Only two relays hear the node itself.
        """
        for has_path, expected in ((False, 0), (True, 140)):
            self.net.nodes["a-30"].presence.has_path = has_path
            self.net.run(2.0)
            informed = 0
            for node in self.net.list_live():
                able = node.presence.list_with_path(self.net.now)
                informed += "a-30" in [entry.id for entry in able]
            self.assertEqual(informed, expected)

    def list_evacuated(self):
        """Return the different sets of evacuated data centres that are known.

        Dead nodes are left out.
        """
        return {
            tuple(node.evacuations.list_datacentres())
            for node in self.net.list_live()
        }

    def test_an_evacuation_is_reported_to_all_at_once(self):
        """Failure: requests still reach an evacuated data centre."""
        reader = self.net.nodes["a-0"]
        reader.evacuations.note(10, ["b"], self.net.now)
        self.net.send("a-0")
        self.assertEqual(self.list_evacuated(), {("b",)})

    def test_an_evacuation_reaches_nodes_that_were_cut_off(self):
        """Failure: nodes that return send requests on what they knew."""
        cut = {name for name in self.net.nodes if name.startswith("c")}
        self.net.dead |= cut
        self.net.nodes["a-0"].evacuations.note(10, ["b"], self.net.now)
        self.net.run(12.0)
        self.net.dead -= cut
        self.net.run(2 * network.ROUND)
        self.assertEqual(self.list_evacuated(), {("b",)})

    def test_a_withdrawal_reaches_nodes_that_were_cut_off(self):
        """Failure: nodes withhold traffic for good, or revive an evacuation.

        They return when the others no longer report the withdrawal.
        """
        reader = self.net.nodes["a-0"]
        reader.evacuations.note(10, ["b"], self.net.now)
        self.net.run(1.0)
        cut = {name for name in self.net.nodes if name.startswith("c")}
        self.net.dead |= cut
        reader.evacuations.note(20, [], self.net.now)
        self.net.run(30.0)
        self.assertEqual(self.list_evacuated(), {()})
        self.assertIsNone(reader.evacuations.list_reports(self.net.now))
        self.net.dead -= cut
        self.net.run(4.0)
        self.assertEqual(self.list_evacuated(), {()})

    def test_the_fleet_goes_on_when_all_relays_die_at_once(self):
        """Failure: nodes never hear of each other again.

        All six large nodes lose power together; smaller nodes must become
        the relays.
        """
        for datacentre in _DATACENTRES:
            self.net.dead |= set(self.net.find_relays(datacentre))
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
        """Failure: a data centre ignores a relay for good.

        The relay restarts after its wall clock went back, so that its new
        process has a lower incarnation than the one before.
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

    def test_an_unlisted_node_is_reported_as_unknown(self):
        presence = self.net.nodes["a-30"].presence
        self.assertFalse(presence.has_unknown_nodes)
        presence.note_relayed_nodes({"a-new": True}, (), self.net.now)
        self.assertTrue(presence.has_unknown_nodes)


class SmallFleetTest(unittest.TestCase):
    def test_every_heartbeat_goes_to_everyone(self):
        net = network.Network(4, _DATACENTRES, 0)
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

    def test_nodes_are_named_in_proportion_to_capacity(self):
        """Failure: a slow link carries as much as one ten times as fast.

        Load: callers pick one of their addresses at random.
        """
        nodes = [make_entry(f"s{n}", "a", 0.1) for n in range(50)]
        nodes += [make_entry("large", "a", 1.0)]
        named = self.choose(nodes)
        self.assertEqual(named["large:1"], 4000)
        small = [named[f"s{n}:1"] for n in range(50)]
        self.assertTrue(min(small) > 320 and max(small) < 800)

    def test_a_caller_gets_the_same_addresses_from_the_same_nodes(self):
        """Failure: a caller closes its connections after each answer."""
        nodes = [make_entry(f"s{n}", "a", 0.1) for n in range(60)]
        first = directory.choose_addresses(nodes, "10.0.0.1")
        self.assertEqual(
            first, directory.choose_addresses(nodes[::-1], "10.0.0.1")
        )
        without = [node for node in nodes if node.front != first[0]]
        second = directory.choose_addresses(without, "10.0.0.1")
        self.assertLessEqual(set(first[1:]), set(second))

    def test_no_part_of_a_large_fleet_is_left_out(self):
        """Failure: half of the nodes are idle.

        Load: more nodes than an answer may name, all of equal capacity.
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

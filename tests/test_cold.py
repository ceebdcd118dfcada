"""Requests to upstreams that are cold, over all nodes."""

import collections
import unittest

import msgspec

from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import ratelimits
from currantwall.state import ids
from currantwall.state import limits
from currantwall.state import routes
from currantwall.state import upstreams
from tests import test_gateway_parts
from tests import test_limits

_OVERSHOOT = 1.5
_SLACK = 5
# Seconds between two attempts of a node to send its waiting requests, and
# between two views of which nodes are ready.
_TICK = 0.05
_VIEW_INTERVAL = 1.0
# Seconds until a node that starts knows the others.
_NOTICE_SECONDS = 1.2
# When all nodes have known each other for long, and when upstreams are warm.
_START = 20.0
_WARM = 25.0
_SERVICE = ids.ServiceName("pool")


class ColdFleet(test_limits.Fleet):
    """Nodes in virtual time and cold upstreams, all of them without slots.

    Attributes:
        unseen: Probability that a node takes another one for not ready.
        sides: Number of parts that can't reach each other.
        refused: Nodes that can't reach the store.
    """

    def __init__(self, nodes, servers, seed, unseen=0.0, sides=1):
        super().__init__(nodes, 1e-9, 0.05, seed)
        self.learnt = set()
        self.refused = set()
        self.unseen = unseen
        self.sides = sides
        self.servers = [ids.InstanceId(f"s{n}") for n in range(servers)]
        self.run(_START)

    def make_cold(self, rate, delay=0.0):
        """Have each node learn within a time that the upstreams are cold.

        Nodes that have not learnt it send nothing: the data centre was
        evacuated.
        """
        for name, node in self.nodes.items():
            learnt = self.random.uniform(0.0, delay)
            self.schedule(learnt, self.learn, name, node, rate)
            self.schedule(0.0, self.view, name, node)

    def start_alone(self, name, rate):
        """Restart a node, which first knows no other one."""
        node = self.nodes[name] = ratelimits.RateLimits(name)
        node.note_nodes([name], self.now)
        self.learn(name, node, rate)
        self.schedule(_NOTICE_SECONDS, self.view, name, node)

    def learn(self, name, node, rate, until=_WARM):
        for server in self.servers:
            node.note_cold(server, rate, until, self.now)
        self.learnt.add(name)
        self.tick(name, node)

    def tick(self, name, node):
        if self.nodes[name] is not node:
            return
        self.schedule(_TICK, self.tick, name, node)
        self.place(name, node)

    def place(self, name, node):
        if self.now < _START or name in self.learnt:
            super().place(name, node)

    def view(self, name, node):
        self.schedule(_VIEW_INTERVAL, self.view, name, node)
        seen = [
            other
            for other in self.members
            if other == name
            or (
                self.is_reachable(name, other)
                and self.random.random() >= self.unseen
            )
        ]
        listed = () if name in self.refused else self.members
        node.note_nodes(seen, self.now, listed)

    def is_reachable(self, name, other):
        return int(name[1:]) % self.sides == int(other[1:]) % self.sides

    def ask(self, name, holder, request):
        if self.is_reachable(name, holder):
            super().ask(name, holder, request)

    def start_demand(self, total, senders):
        """Send requests at some of the nodes, a number a second in all."""
        for name in self.random.sample(self.members, senders):
            self.enqueue(name, total / senders)

    def enqueue(self, name, rate):
        delay = self.random.expovariate(rate)
        self.schedule(delay, self.enqueue, name, rate)
        self.waiting[name].append(self.now)

    def count_most(self, since=0.0, until=_WARM, window=1.0):
        """Return the most arrivals at one upstream in a window."""
        return max(
            test_limits.count_most_arrivals(
                sorted(at for at in times if since <= at < until), window
            )
            for times in (self.arrived[server] for server in self.servers)
        )

    def compute_use(self, rate):
        """Return the part of all rates used after the first second."""
        used = sum(
            _START + 1 <= at < _WARM
            for server in self.servers
            for at in self.arrived[server]
        )
        return used / (rate * len(self.servers) * (_WARM - _START - 1))


class ColdSharesTest(unittest.TestCase):
    def check_bound(self, fleet, rate):
        self.assertLessEqual(fleet.count_most(), rate * _OVERSHOOT + _SLACK)

    def test_any_second_stays_below_the_bound_and_the_rate_is_used(self):
        """Guards against nodes that together crash a cold upstream.

        Load: on all nodes, or on a single one that seldom is a holder. For
        a second each, nodes take a tenth of the others for not ready.
        """
        for nodes, servers, senders, rate in (
            (2, 1, 1, 7.0),
            (2, 4, 2, 14.0),
            (13, 1, 1, 14.0),
            (13, 6, 13, 7.0),
            (143, 1, 1, 14.0),
            (143, 10, 143, 7.0),
            (350, 4, 350, 14.0),
        ):
            with self.subTest(nodes=nodes, servers=servers, senders=senders):
                fleet = ColdFleet(nodes, servers, nodes, 0.1)
                fleet.make_cold(rate)
                fleet.start_demand(2.6 * rate * servers, senders)
                fleet.run(_WARM)
                self.check_bound(fleet, rate)
                self.assertGreaterEqual(fleet.compute_use(rate), 0.8)

    def test_a_data_centre_that_returns_cold_under_a_burst(self):
        """Guards against the burst at its return and at the end of the time.

        57 upstreams are cold, each node has 2.6 requests a second, and the
        nodes learn of the return within a second. A third of them can't
        reach the store.
        """
        fleet = ColdFleet(143, 57, 1, 0.1)
        fleet.refused = set(fleet.members[::3])
        fleet.make_cold(7.0, delay=1.0)
        fleet.start_demand(2.6 * 143, 143)
        fleet.run(_WARM)
        self.check_bound(fleet, 7.0)
        self.assertGreaterEqual(
            fleet.compute_use(7.0), 0.8 * min(2.6 * 143 / (7.0 * 57), 1.0)
        )

    def test_nodes_that_start_meanwhile_add_nothing(self):
        """Guards against new nodes that take themselves for the only ones.

        A third of the nodes restarts while upstreams are cold.
        """
        fleet = ColdFleet(60, 4, 1)
        fleet.make_cold(14.0)
        fleet.start_demand(1000.0, 60)
        fleet.run(_START + 1)
        for name in fleet.members[::3]:
            fleet.start_alone(name, 14.0)
        fleet.run(_WARM)
        self.check_bound(fleet, 14.0)

    def test_the_share_rises_when_the_upstream_becomes_warm(self):
        """Guards against all waiting requests at once at the end."""
        fleet = ColdFleet(143, 1, 1)
        fleet.make_cold(7.0)
        fleet.start_demand(500.0, 143)
        fleet.run(_WARM + 2.0)
        for delay, most in ((0.25, 8), (0.5, 14), (0.75, 24)):
            end = _WARM + delay
            found = fleet.count_most(end - 0.25, end, 0.25)
            self.assertLessEqual(found, most, delay)
        self.assertGreater(fleet.count_most(_WARM + 1, _WARM + 2), 100)

    def test_parts_that_cannot_reach_each_other_keep_to_one_bound(self):
        """Guards against holders on both sides of a partition."""
        fleet = ColdFleet(30, 4, 1, sides=2)
        fleet.run(_START + 40.0)
        for name, node in fleet.nodes.items():
            fleet.view(name, node)
            fleet.learn(name, node, 14.0, fleet.now + 5.0)
        fleet.start_demand(300.0, 30)
        fleet.run(_START + 45.0)
        most = fleet.count_most(until=_START + 45.0)
        self.assertLessEqual(most, 14 * _OVERSHOOT + _SLACK)

    def test_a_node_that_knows_no_others_limits_itself(self):
        """Guards against a new node that takes itself for the only one."""
        me, server = ids.NodeId("me"), ids.InstanceId("s0")
        node = ratelimits.RateLimits(me)
        node.note_cold(server, 14.0, 90.0, 0.0)
        self.assertFalse(node.permits(server, 0.1))
        counts = []
        for step in range(600):
            now = step * 0.05
            node.note_nodes([me], now)
            counts.append(0)
            while node.permits(server, now):
                node.note_request(server, now)
                counts[-1] += 1
        self.assertEqual(sum(counts[:60]), 0)
        self.assertLessEqual(sum(counts[60:260]), 10 * 14 / 3 + 1)
        self.assertGreater(sum(counts[400:]), 0.8 * 10 * 14)

    def test_a_node_that_does_not_know_all_others_holds_nothing(self):
        """Guards against more holders than the bound allows.

        A node whose list lacks the others takes itself for a holder.
        """
        me, server = ids.NodeId("me"), ids.InstanceId("s0")
        node = ratelimits.RateLimits(me)
        node.note_cold(server, 14.0, 90.0, 0.0)
        node.note_nodes([me], 0.0)
        node.note_nodes([me], 30.0, (), True)
        self.assertTrue(node.permits(server, 30.0))
        node.note_nodes([me], 31.0, (), False)
        self.assertFalse(node.permits(server, 31.0))
        request = limits.ShareRequest(ids.NodeId("n1"), 1, {"s0/cold": 1})
        self.assertEqual(node.grant(request, 31.0).granted, {})

    def test_the_settings_bound_the_requests(self):
        """Guards against the slack of cold upstreams used for other limits."""
        server = ids.InstanceId("s0")
        for overshoot, slack, rate in ((1.0, 2.0, 14.0), (3.0, 90.0, 1.0)):
            for is_cold in (True, False):
                node = ratelimits.RateLimits(
                    ids.NodeId("me"), overshoot, slack
                )
                node.note_nodes([ids.NodeId("me")], 0.0)
                if is_cold:
                    node.note_cold(server, rate, 90.0, 20.0)
                else:
                    node.note_answer(server, rate, 20.0)
                sent = []
                for step in range(300):
                    if node.permits(server, 20.0 + step * 0.01):
                        node.note_request(server, 20.0 + step * 0.01)
                        sent.append(step * 0.01)
                most = test_limits.count_most_arrivals(sent, 1.0)
                self.assertGreater(most, 0)
                self.assertLessEqual(most, min(overshoot * rate + slack, 16))
                self.assertLessEqual(most, 5 + 1.5 * rate)

    def test_a_grant_is_void_when_it_is_late_or_comes_twice(self):
        """Guards against requests of an earlier second that add to a later.

        A datagram may be delayed by a busy process, or repeated.
        """
        me, server = ids.NodeId("me"), ids.InstanceId("s0")
        nodes = [me, *(ids.NodeId(f"n{n}") for n in range(40))]
        node = ratelimits.RateLimits(me)
        node.note_nodes(nodes, 0.0)
        node.note_cold(server, 14.0, 90.0, 20.0)
        self.assertFalse(node.is_holder(server, 20.0))

        def ask(now):
            node.note_demand(server, 1, now)
            (asked,) = node.list_share_requests(now).values()
            return limits.ShareGrant(asked.serial, dict(asked.wanted))

        self.assertEqual(node.note_grant(ask(20.0), 20.3), 0)
        grant = ask(21.0)
        self.assertEqual(node.note_grant(grant, 21.1), 1)
        self.assertEqual(node.note_grant(grant, 21.1), 0)
        self.assertTrue(node.permits(server, 21.1))
        self.assertFalse(node.permits(server, 21.3))
        node.note_grant(ask(22.0), 22.0)
        node.note_request(server, 22.1)
        self.assertFalse(node.permits(server, 22.1))

    def test_a_holder_without_a_share_is_not_asked_at_every_tick(self):
        """Guards against thousands of messages a second to one holder.

        143 nodes wait for one cold upstream, each of them at every tick.
        """
        fleet = ColdFleet(143, 1, 1)
        asked = collections.Counter()
        ask = fleet.ask

        def count(name, holder, request):
            if fleet.now >= _START + 1:
                asked[holder] += 1
            ask(name, holder, request)

        fleet.ask = count
        fleet.make_cold(7.0)
        fleet.start_demand(2.0 * 143, 143)
        fleet.run(_WARM)
        self.assertLessEqual(max(asked.values()), 1.25 * 143 * 4)
        self.assertGreaterEqual(fleet.compute_use(7.0), 0.8)


class ColdnessTest(unittest.TestCase):
    def setUp(self):
        self.fleet = upstreams.Fleet()
        self.balancer = balancing.Balancer(
            self.fleet,
            ids.DatacentreName("here"),
            ids.NodeId("me"),
            cold_slack=2.0,
        )
        self.limits = self.balancer.limits
        self.coldness = self.balancer.coldness
        self.coldness.services = lambda: [
            routes.Service(name=_SERVICE, cold_start=3.0, cold_rate=7.0)
        ]
        self.limits.note_nodes([ids.NodeId("me")], 0.0)
        self.revision = 0
        self.has_list = False

    def list_replicas(self, now, **fields):
        """Read a list with one replica's leader as given, one is warm."""
        self.revision += 1
        leader, *others = test_gateway_parts.make_replica("a")
        leader = msgspec.structs.replace(leader, **fields)
        listed = [leader, *others, *test_gateway_parts.make_replica("b")]
        self.fleet.replace(listed, self.revision, now)
        change = self.fleet.last_change
        self.coldness.note_change(change, self.has_list, now)
        self.has_list = True

    def get_left(self, now):
        return self.limits.get_cold_left(ids.InstanceId("a0"), now)

    def answer(self, left, now):
        upstream = self.fleet.get(ids.InstanceId("a0"))
        return self.coldness.note_answer(upstream, left, now)

    def test_an_entry_says_how_long_an_upstream_is_cold(self):
        self.list_replicas(20.0, born=1, cold_left=2.0, tells_coldness=True)
        self.assertAlmostEqual(self.get_left(20.5), 1.5)
        self.list_replicas(21.0, born=1, cold_left=0.8, tells_coldness=True)
        self.assertAlmostEqual(self.get_left(21.0), 0.8)
        self.list_replicas(21.1, born=1, tells_coldness=True)
        self.assertEqual(self.get_left(21.1), 0.0)

    def test_an_entry_counts_that_was_read_before_the_configuration(self):
        """Guards against a node that starts and takes all for warm."""
        services, self.coldness.services = self.coldness.services, tuple
        self.list_replicas(20.0, born=1, cold_left=2.0, tells_coldness=True)
        self.assertEqual(self.get_left(20.0), 0.0)
        self.coldness.services = services
        self.coldness.note_services(20.5)
        self.assertAlmostEqual(self.get_left(20.5), 2.0)

    def test_a_configuration_change_does_not_repeat_an_entry(self):
        """Guards against upstreams that become cold again at each change."""
        self.list_replicas(20.0, born=1, cold_left=2.0, tells_coldness=True)
        self.coldness.note_services(25.0)
        self.assertEqual(self.get_left(25.0), 0.0)
        services, self.coldness.services = self.coldness.services, tuple
        self.list_replicas(30.0, born=1, cold_left=3.0, tells_coldness=True)
        self.coldness.services = services
        self.coldness.note_services(30.5)
        self.assertAlmostEqual(self.get_left(30.5), 3.0)
        self.coldness.note_services(36.0)
        self.assertEqual(self.get_left(36.0), 0.0)

    def test_an_answer_that_said_warm_counts_more_than_an_older_entry(self):
        """Guards against an entry that a change of configuration repeats."""
        services, self.coldness.services = self.coldness.services, tuple
        self.list_replicas(20.0, born=1, cold_left=9.0, tells_coldness=True)
        self.coldness.services = services
        self.answer(0.0, 20.5)
        self.coldness.note_services(21.0)
        self.assertEqual(self.get_left(21.0), 0.0)

    def test_an_instance_that_starts_is_cold_until_its_entry_says(self):
        """Guards against a new instance that gets its share of requests."""
        self.list_replicas(20.0, born=1)
        self.assertEqual(self.get_left(20.0), 0.0)
        self.list_replicas(21.0, born=2)
        self.assertAlmostEqual(self.get_left(21.0), 3.0)
        self.list_replicas(21.5, born=2, tells_coldness=True)
        self.assertEqual(self.get_left(21.5), 0.0)
        # Its entry returns after an outage of the store.
        self.fleet.replace([], 3, 22.0)
        self.revision = 3
        self.list_replicas(23.0, born=2)
        self.assertEqual(self.get_left(23.0), 0.0)

    def test_an_entry_that_returns_after_an_outage_is_no_start(self):
        """Guards against instances that become cold as the store returns.

        Their entries last changed long before the outage.
        """
        self.list_replicas(20.0, born=1)
        for unlisted in (500.0, 540.0, 600.0):
            self.fleet.replace([], self.revision + 1, unlisted)
            self.revision += 1
            self.coldness.expire(unlisted)
            self.coldness.expire(unlisted + 10.0)
            self.list_replicas(unlisted + 20.0, born=1)
            self.assertEqual(self.get_left(unlisted + 20.0), 0.0)
            self.coldness.expire(unlisted + 21.0)
        self.fleet.replace([], self.revision + 1, 700.0)
        self.revision += 1
        self.coldness.expire(700.0)
        self.coldness.expire(761.0)
        self.assertEqual(self.coldness._known, {})

    def test_an_answer_counts_more_than_an_older_entry(self):
        """Guards against an entry, read late, that ends the cold time."""
        self.list_replicas(20.0, born=1, tells_coldness=True)
        self.assertTrue(self.answer(2.0, 21.0))
        self.list_replicas(21.5, born=1, tells_coldness=True, busy=True)
        self.assertAlmostEqual(self.get_left(21.5), 1.5)
        self.assertTrue(self.answer(0.0, 22.0))
        self.assertEqual(self.get_left(22.0), 0.0)

    def test_a_report_counts_more_than_an_older_entry(self):
        """Guards against an entry, read late, on nodes told by others."""
        self.list_replicas(20.0, born=1, tells_coldness=True)
        report = limits.LimitReport(7.0, 0.3, 4.0)
        self.limits.note_reports({"a0/cold": report}, 21.0)
        self.list_replicas(21.5, born=1, tells_coldness=True, busy=True)
        self.assertAlmostEqual(self.get_left(21.5), 3.2)
        self.list_replicas(23.5, born=1, tells_coldness=True)
        self.assertEqual(self.get_left(23.5), 0.0)
        # A cold report that is older than an answer to this node.
        self.answer(0.0, 23.6)
        self.limits.note_reports({"a0/cold": report}, 23.7)
        self.assertEqual(self.get_left(23.7), 0.0)

    def test_other_nodes_learn_what_an_answer_says(self):
        """Guards against nodes that learn it from the entry, seconds late."""
        self.list_replicas(20.0, born=1)
        self.answer(2.0, 21.0)
        # Further answers don't end the report.
        self.answer(1.95, 21.05)
        other = ratelimits.RateLimits(ids.NodeId("other"))
        reports = self.limits.list_reports(21.5)
        other.note_reports(reports, 21.5)
        self.assertAlmostEqual(
            other.get_cold_left(ids.InstanceId("a0"), 21.5), 1.5
        )

    def test_other_nodes_learn_that_the_cold_time_is_extended(self):
        """Guards against other nodes that take the upstream for warm."""
        self.list_replicas(20.0, born=1)
        self.assertTrue(self.answer(2.0, 21.0))
        self.assertFalse(self.answer(2.1, 21.1))
        self.assertFalse(self.answer(2.05, 21.2))
        # Small steps add up to 0.5 s since the last report.
        self.assertTrue(self.answer(2.2, 21.3))
        self.assertTrue(self.answer(9.0, 21.4))
        self.assertFalse(self.answer(2.0, 23.9))
        self.assertTrue(self.limits.list_reports(23.3))

    def test_upstreams_return_cold_after_an_evacuation(self):
        """Guards against the usual share for upstreams that were unused."""
        self.list_replicas(20.0, born=1, tells_coldness=True)
        returned = [ids.InstanceId("a0"), ids.InstanceId("unknown")]
        self.limits.note_returned(returned, 23.0, 20.5)
        self.assertAlmostEqual(self.get_left(21.0), 2.0)
        datacentre = self.fleet.get(returned[0]).datacentre
        self.coldness.note_withdrawn(ids.DatacentreName("other"), 20.6)
        self.assertAlmostEqual(self.get_left(21.0), 2.0)
        self.coldness.note_withdrawn(datacentre, 20.6)
        cold_start = self.coldness.services()[0].cold_start
        self.assertAlmostEqual(self.get_left(21.0), cold_start - 0.4)
        self.list_replicas(21.2, born=1, tells_coldness=True, busy=True)
        self.assertEqual(self.get_left(21.2), 0.0)

    def test_services_without_the_fields_have_no_cold_upstreams(self):
        self.coldness.services = lambda: [routes.Service(name=_SERVICE)]
        self.list_replicas(20.0, born=1)
        self.list_replicas(21.0, born=2, cold_left=2.0, tells_coldness=True)
        self.assertFalse(self.answer(2.0, 21.0))
        self.limits.note_returned([ids.InstanceId("a0")], 24.0, 21.0)
        self.assertFalse(self.limits.has_any)

    def choose(self, now, limit=2):
        return self.balancer.choose(
            _SERVICE, "m", (), f"{now}", now, lambda _: limit
        )

    def test_cold_upstreams_take_what_warm_ones_have_no_room_for(self):
        """Guards against idle cold upstreams, and against preferred ones."""
        self.list_replicas(20.0, born=1, cold_left=9.0, tells_coldness=True)
        for step in range(2):
            found = self.choose(20.0 + step)
            self.assertEqual(found.id, "b0")
            self.balancer.begin(found.id, 20.0 + step)
        found = self.choose(22.0)
        self.assertEqual(found.id, "a0")
        self.balancer.begin(found.id, 22.0)
        found = self.choose(22.01)
        self.assertIsInstance(found, balancing.Unavailable)
        self.assertTrue(found.is_full)

    def test_a_plain_request_goes_to_a_cold_upstream_if_others_are_busy(self):
        """Guards against the same where upstreams have no limit of slots."""
        plain = [
            upstreams.Upstream(
                id=ids.InstanceId(name),
                service=_SERVICE,
                address="a:1",
                datacentre=ids.DatacentreName("here"),
                cold_left=9.0 if name == "cold" else 0.0,
                tells_coldness=True,
            )
            for name in ("cold", "warm")
        ]
        self.fleet.replace(plain, 1, 20.0)
        self.coldness.note_change(self.fleet.last_change, False, 20.0)
        found = []
        for step in range(4):
            now = 20.0 + step * 0.01
            chosen = self.balancer.choose(_SERVICE, None, (), f"{step}", now)
            self.balancer.begin(chosen.id, now)
            found.append(chosen.id)
        self.assertEqual(found, ["warm", "cold", "warm", "warm"])
        self.assertTrue(self.limits.has_demand)
        self.limits.note_nodes([ids.NodeId(f"n{n}") for n in range(3)], 40.0)
        excluded = [plain[1].epoch_id]
        chosen = self.balancer.choose(_SERVICE, None, excluded, "x", 28.0)
        self.assertGreater(chosen.share_wait, 0.0)


if __name__ == "__main__":
    unittest.main()

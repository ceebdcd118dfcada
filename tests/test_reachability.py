"""Entries that outlive their servers, beside servers that are idle."""

import time
import unittest
from unittest import mock

from bench import deadentries
from bench import gateways
from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import reachability
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import openings

_NODES = ("a", "b", "c", "d", "e")
_SERVICE = ids.ServiceName("app")


def make_upstream(name, born=1):
    return upstreams.Upstream(
        id=ids.InstanceId(name),
        service=_SERVICE,
        address="10.0.0.1:80",
        datacentre=ids.DatacentreName("z"),
        born=born,
    )


class ReachabilityTest(unittest.TestCase):
    def setUp(self):
        self.known = {name: make_upstream(name) for name in ("u1", "u2")}
        self.nodes = {name: reachability.Reachability() for name in _NODES}

    def tell(self, sender, now):
        """Have all other nodes receive what a node reports."""
        report = self.nodes[sender].make_report(now)
        for name, node in self.nodes.items():
            if name != sender:
                node.note_report(report, self.known.get, now)

    def list_suspecting(self, upstream):
        return [
            name
            for name, node in self.nodes.items()
            if node.is_suspect(self.known[upstream])
        ]

    def test_what_one_node_finds_all_know(self):
        """Guards against each node finding out by its callers' requests."""
        self.nodes["a"].note_unreached(self.known["u1"], 10.0)
        self.tell("a", 10.2)
        self.assertEqual(self.list_suspecting("u1"), [*_NODES])
        self.nodes["c"].note_opened("u1", 11.0)
        self.tell("c", 11.1)
        self.assertEqual(self.list_suspecting("u1"), [])

    def test_a_node_that_has_just_connected_goes_by_that(self):
        """Guards against a full backlog that costs a server all requests."""
        self.nodes["b"].note_opened("u1", 9.5)
        self.nodes["a"].note_unreached(self.known["u1"], 10.0)
        self.tell("a", 10.2)
        self.assertNotIn("b", self.list_suspecting("u1"))
        self.assertIn("c", self.list_suspecting("u1"))

    def test_another_process_is_no_suspect(self):
        """Guards against a server that is back and gets nothing."""
        node = self.nodes["a"]
        node.note_unreached(self.known["u1"], 10.0)
        self.assertFalse(node.is_suspect(make_upstream("u1", born=2)))
        self.known["u1"] = make_upstream("u1", born=2)
        self.tell("a", 10.1)
        self.assertEqual(self.list_suspecting("u1"), [])

    def test_few_nodes_try_a_suspect_however_many_there_are(self):
        """Guards against connections to the dead from every node."""
        self.nodes["a"].note_unreached(self.known["u1"], 10.0)
        self.tell("a", 10.1)
        tries = 0
        for tick in range(40):
            now = 10.25 + tick / 4
            for name, node in self.nodes.items():
                due = node.list_due(_NODES, name, now)
                tries += len(due)
                for upstream in due:
                    node.note_unreached(upstream, now)
        # Two nodes each second, and the others now and then.
        self.assertLessEqual(tries, 2 * 10 + 1 + 3 * 3)
        self.assertGreaterEqual(tries, 20)

    def test_a_node_that_missed_the_news_finds_out_itself(self):
        """Guards against a server that one node never uses again."""
        for name, node in self.nodes.items():
            node.note_unreached(self.known["u1"], 10.0)
            due = [
                one.id
                for tick in range(12)
                for one in node.list_due(_NODES, name, 10.25 + tick / 4)
            ]
            self.assertIn("u1", due, name)

    def test_new_entries_are_shared_out(self):
        """Guards against a start that costs a request for each dead entry."""
        listed = [make_upstream(f"u{number}") for number in range(50)]
        tried = [
            one.id
            for name, node in self.nodes.items()
            for one in node.list_new(listed, _NODES, name)
        ]
        self.assertEqual(len(tried), 100)
        self.assertEqual(len(set(tried)), 50)
        self.assertEqual(self.nodes["a"].list_new(listed, _NODES, "a"), [])

    def test_a_suspect_may_stay_one_for_days(self):
        """Guards against an interval that grows without bound."""
        for name, node in self.nodes.items():
            node.note_unreached(self.known["u1"], 10.0)
            for hour in range(2000):
                node.list_due(_NODES, name, 20.0 + 3600.0 * hour)
            self.assertTrue(node.list_due(_NODES, name, 1e9))

    def test_a_node_without_a_path_forgets_what_it_found(self):
        """Guards against blaming upstreams for a lost path."""
        node = self.nodes["a"]
        node.note_unreached(self.known["u1"], 10.0)
        node.note_unreached(self.known["u2"], 12.0)
        node.forgive(11.0)
        self.assertTrue(node.is_suspect(self.known["u1"]))
        self.assertFalse(node.is_suspect(self.known["u2"]))

    def test_suspects_are_used_where_no_other_is_left(self):
        """Guards against a service whose servers all start again."""
        fleet = upstreams.Fleet()
        fleet.replace(self.known.values(), revisions.join(1, 1), 0.0)
        balancer = balancing.Balancer(
            fleet, ids.DatacentreName("z"), ids.NodeId("a"), 1.5, 5.0
        )
        chosen = set()
        for name in ("u1", "u2"):
            balancer.reachability.note_unreached(self.known[name], 1.0)
            chosen |= {
                balancer.choose(_SERVICE, None, (), f"{name}{n}", 1.0).id
                for n in range(20)
            }
            if name == "u1":
                self.assertEqual(chosen, {"u2"})
        self.assertEqual(chosen, {"u1", "u2"})

    def test_a_server_that_limits_its_requests_is_waited_for(self):
        """Guards against servers that are never asked for their shares."""
        fleet = upstreams.Fleet()
        fleet.replace(self.known.values(), revisions.join(1, 1), 0.0)
        balancer = balancing.Balancer(
            fleet, ids.DatacentreName("z"), ids.NodeId("a"), 1.5, 5.0
        )
        balancer.reachability.note_unreached(self.known["u1"], 1.0)
        balancer.limits.permits = lambda instance, now: False
        found = balancer.choose(_SERVICE, None, (), "salt", 1.0)
        self.assertEqual(found.reason, "all limit their requests")


class OpeningsTest(unittest.TestCase):
    def test_new_upstreams_wait_for_the_list_of_nodes(self):
        """Guards against connections from each of many nodes that start."""
        fleet = upstreams.Fleet()
        listed = [make_upstream(f"u{number}") for number in range(50)]
        fleet.replace(listed, revisions.join(1, 1), 0.0)
        presence = mock.Mock(knows_all_nodes=False)
        presence.me.id = "a"
        presence.list_peers.return_value = [
            mock.Mock(id=name) for name in _NODES[1:]
        ]
        presence.list_with_path.return_value = []
        tried = openings.Openings(
            reachability.Reachability(),
            fleet,
            presence,
            *[mock.Mock() for _ in range(4)],
        )
        self.assertEqual(tried.list_due(), [])
        presence.knows_all_nodes = True
        self.assertLess(len(tried.list_due()), 40)
        self.assertEqual(tried.list_due(), [])


class DecisionTest(unittest.TestCase):
    def decide(self, kind, progress, is_free=True):
        route = routes.Route(
            name="r", host="h", prefix="/", kind=kind, timeout=1.0, shares=()
        )
        failure = attempts.Failure.UNREACHED
        return attempts.decide(route, failure, progress, is_free)

    def test_a_connection_that_did_not_open_is_no_attempt(self):
        """Guards against a refusal while most of the servers are idle."""
        for kind in routes.RouteKind:
            progress = attempts.Progress(sends=60, unopened=60)
            self.assertIs(self.decide(kind, progress), attempts.Verdict.REPEAT)
            self.assertIs(
                self.decide(kind, progress, is_free=False),
                attempts.Verdict.REPEAT_PAID,
            )

    def test_what_has_run_is_not_sent_again_for_it(self):
        """Guards against a second run of a write."""
        progress = attempts.Progress(sends=2, unopened=1, runs=1)
        verdict = self.decide(routes.RouteKind.UNSAFE, progress)
        self.assertIs(verdict, attempts.Verdict.GIVE_UP)


class _Partitions(deadentries.Site):
    """Gateways that can be cut from single servers."""

    def make_command(self, name):
        return self.wrap_command(name, str(gateways.PROGRAM))


class ReturnTest(unittest.TestCase):
    def test_a_server_that_accepts_again_is_used_by_all(self):
        """Guards against a sound server that stays a suspect."""
        site = self.enterContext(_Partitions(("g1", "g2", "g3")))
        site.start(2)
        before = len(site.list_runs("s0"))
        for name in site.nodes:
            site.partition(name, [site.addresses["s0"]], "refuse")
        outcome = site.measure(2.0)
        self.assertEqual(outcome.served, 1.0)
        for name in site.nodes:
            self.assertIn("upstreams_unreachable", site.read_log(name))
            site.end_partition(name)
        time.sleep(2.5)
        cut = len(site.list_runs("s0"))
        self.assertLess(cut - before, 200)
        outcome = site.measure(1.0)
        ran = len(site.list_runs("s0")) - cut
        self.assertGreater(ran, outcome.count / 4)


class DeadEntriesTest(unittest.TestCase):
    def test_requests_are_served_beside_dead_entries(self):
        """Guards against entries of servers that are gone, or silent."""
        site = self.enterContext(deadentries.Site(("g1", "g2")))
        site.start(3)
        site.add_dead(30)
        site.add_silent(10)
        standing = site.measure(3.0)
        self.assertGreaterEqual(standing.served, 0.99)
        site.restart_gateways()
        site.measure(2.0)
        restarted = site.measure(3.0)
        self.assertGreaterEqual(restarted.served, 0.99)
        self.assertLess(restarted.p99, 0.2)
        site.start_upstream("new", "app")
        self.assertLess(site.await_first_request("new"), 1.0)


if __name__ == "__main__":
    unittest.main()

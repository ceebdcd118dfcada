"""The parts of a gateway without I/O: choosing, repeating, splitting."""

import time
import unittest

import hypothesis
from hypothesis import strategies

from currantwall.coordination.peers import presence
from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import budgets
from currantwall.protocol import events
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

Failure = attempts.Failure
Verdict = attempts.Verdict
Phase = upstreams.Phase


def make_upstream(name, seat=None, **kwargs):
    return upstreams.Upstream(
        id=ids.InstanceId(name),
        service=ids.ServiceName("pool"),
        address=f"{name}:1",
        datacentre=ids.DatacentreName(kwargs.pop("datacentre", "here")),
        slots=4,
        seat=seat,
        **kwargs,
    )


def make_replica(name, size=2, epoch=1, phase=Phase.OPEN):
    replica = upstreams.make_replica_id("m", size, name)
    return [
        make_upstream(
            f"{name}{rank}",
            upstreams.Seat(
                replica, epoch, rank, Phase.READY if rank else phase
            ),
        )
        for rank in range(size)
    ]


def make_route(**kwargs):
    return routes.Route(
        name="r",
        host="h.example",
        prefix="/a/",
        kind=kwargs.pop("kind", routes.RouteKind.SAFE),
        timeout=1.0,
        shares=(routes.Share(ids.ServiceName("pool"), 1),),
        attempts=kwargs.pop("attempts", 2),
        **kwargs,
    )


class FleetTest(unittest.TestCase):
    def test_only_whole_open_replicas_serve(self):
        """Guards against sending requests to a replica without a member."""
        fleet = upstreams.Fleet()
        whole = make_replica("a")
        incomplete = make_replica("b")[:1]
        closed = make_replica("c", phase=Phase.READY)
        fleet.replace([*whole, *incomplete, *closed], 1, 0.0)
        serving = fleet.list_serving(ids.ServiceName("pool"), "m")
        self.assertEqual([replica.leader.id for replica in serving], ["a0"])

    def test_an_older_list_never_replaces_a_newer_one(self):
        """Guards against sending requests to a drained instance again.

        The store may return a state from before a change that this node
        has already applied.
        """
        fleet = upstreams.Fleet()
        fleet.replace([make_upstream("a", leaving=True)], 7, 0.0)
        self.assertFalse(fleet.replace([make_upstream("a")], 6, 1.0))
        self.assertTrue(fleet.get(ids.InstanceId("a")).leaving)


class RouteTableTest(unittest.TestCase):
    def test_the_longest_prefix_wins(self):
        table = routes.RouteTable(
            routes.Configuration(
                version=1,
                services=(),
                routes=(
                    routes.Route(
                        name="short",
                        host="H.example",
                        prefix="/a/",
                        kind=routes.RouteKind.SAFE,
                        timeout=1.0,
                        shares=(),
                    ),
                    routes.Route(
                        name="long",
                        host="h.example",
                        prefix="/a/b/",
                        kind=routes.RouteKind.SAFE,
                        timeout=1.0,
                        shares=(),
                    ),
                ),
            )
        )
        found = table.find_route("h.EXAMPLE", "/a/b/c")
        self.assertEqual(found.name, "long")
        self.assertEqual(table.find_route("h.example", "/a/x").name, "short")
        self.assertIsNone(table.find_route("h.example", "/ab/"))

    def test_a_request_keeps_its_service(self):
        """Guards against a retry that moves to another service."""
        route = make_route()
        split = routes.Route(
            name="r",
            host="h",
            prefix="/",
            kind=routes.RouteKind.SAFE,
            timeout=1.0,
            shares=(
                routes.Share(ids.ServiceName("a"), 9),
                routes.Share(ids.ServiceName("b"), 1),
            ),
        )
        self.assertEqual(route.choose_service("x"), "pool")
        chosen = [split.choose_service(f"id{n}") for n in range(2000)]
        self.assertEqual(chosen[0], split.choose_service("id0"))
        self.assertTrue(100 < chosen.count("b") < 320)


class BalancerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = upstreams.Fleet()
        self.balancer = balancing.Balancer(
            self.fleet, ids.DatacentreName("here")
        )
        self.fleet.replace([*make_replica("a"), *make_replica("b")], 1, 0.0)

    def choose(self, now=1.0, excluded=()):
        return self.balancer.choose(
            ids.ServiceName("pool"), "m", excluded, "salt", now
        )

    def test_the_least_loaded_is_chosen(self):
        self.balancer.begin(ids.InstanceId("a0"), 1.0)
        self.assertEqual(self.choose().id, "b0")
        self.balancer.note_loads(ids.NodeId("n"), {"b0": 5}, 1.0)
        self.assertEqual(self.choose().id, "a0")

    def test_counts_of_a_silent_node_are_dropped(self):
        self.balancer.note_loads(ids.NodeId("n"), {"b0": 5}, 1.0)
        self.balancer.expire(10.0)
        self.assertEqual(self.balancer.count_load(ids.InstanceId("b0")), 0)

    def test_a_stalled_leader_is_avoided_until_its_replica_is_repaired(self):
        """Guards against requests that pile up at a stalled leader.

        Its member has gone, but it still accepts connections. The repaired
        replica has a higher epoch and must not be avoided.
        """
        for name in ("a0", "b0"):
            upstream = self.fleet.get(ids.InstanceId(name))
            self.balancer.note_failure(upstream, 1.0, True)
        self.assertIsInstance(self.choose(1.1), balancing.Unavailable)
        self.fleet.replace(
            [*make_replica("a", epoch=2), *make_replica("b")], 2, 1.2
        )
        self.assertEqual(self.choose(1.2).id, "a0")

    def test_a_leader_that_lost_a_member_is_avoided(self):
        self.balancer.note_loss(ids.InstanceId("a0"), 1, 1.0)
        self.assertEqual(self.choose(1.1).id, "b0")

    def test_a_repaired_replica_is_not_avoided_for_an_old_report(self):
        """Guards against losing capacity for four seconds after each loss.

        Relays repeat a report for a second, when the instance may already
        lead the repaired replica.
        """
        self.fleet.replace(
            [*make_replica("a", epoch=2), *make_replica("b")], 2, 1.0
        )
        self.balancer.note_loads(ids.NodeId("n"), {"b0": 5}, 1.0)
        self.balancer.note_loss(ids.InstanceId("a0"), 1, 1.0)
        self.assertEqual(self.choose(1.1).id, "a0")
        self.balancer.note_loss(ids.InstanceId("a0"), 2, 1.2)
        self.balancer.note_loss(ids.InstanceId("a0"), 1, 1.25)
        self.assertEqual(self.choose(1.3).id, "b0")

    def test_a_leader_that_another_server_answers_for_is_avoided(self):
        """Guards against refusing requests although a replica is idle.

        The list is outdated: one of its servers has gone, and another one
        has its address and answers each request with 421. The entry looks
        idle.
        """
        gone = self.fleet.get(ids.InstanceId("a0"))
        self.balancer.begin(ids.InstanceId("b0"), 1.0)
        self.balancer.note_misdirected(gone, 1.0)
        self.assertEqual(self.choose(4.0).id, "b0")
        self.fleet.replace(
            [*make_replica("a", epoch=2), *make_replica("b")], 2, 4.1
        )
        self.assertEqual(self.choose(4.2).id, "a0")

    def test_a_repaired_replica_may_be_tried_again(self):
        """Guards against ending a stream although a replica could serve it.

        Both replicas that it tried failed; one of them is repaired under a
        new epoch.
        """
        tried = {"a0@1", "b0@1"}
        self.assertIsInstance(self.choose(1.0, tried), balancing.Unavailable)
        self.fleet.replace(
            [*make_replica("a", epoch=2), *make_replica("b")], 2, 1.2
        )
        self.assertEqual(self.choose(1.2, tried).id, "a0")

    def test_without_replicas_there_is_a_time_to_retry(self):
        self.fleet.replace([], 2, 1.0)
        found = self.choose()
        self.assertIsInstance(found, balancing.Unavailable)
        self.assertGreater(found.retry_after, 0)

    def test_a_slow_replica_is_avoided(self):
        """Guards against stalls at replicas with a slow member.

        They affected thirty requests a second.
        """
        self.balancer.begin(ids.InstanceId("b0"), 1.0)
        self.balancer.note_slow(ids.InstanceId("a0"), 1, 1.0)
        self.assertEqual(self.choose(1.1).id, "b0")
        self.assertEqual(self.choose(3.5).id, "a0")

    def test_slow_replicas_serve_where_most_are_slow(self):
        """Guards against refusing callers where all replicas are slow."""
        for name in ("a0", "b0"):
            self.balancer.note_slow(ids.InstanceId(name), 1, 1.0)
        self.assertIsInstance(self.choose(1.1), upstreams.Upstream)

    def test_a_repaired_replica_is_not_avoided_as_slow(self):
        self.fleet.replace(
            [*make_replica("a", epoch=2), *make_replica("b")], 2, 1.0
        )
        self.balancer.begin(ids.InstanceId("b0"), 1.0)
        self.balancer.note_slow(ids.InstanceId("a0"), 1, 1.0)
        self.assertEqual(self.choose(1.1).id, "a0")

    def test_a_failing_upstream_gets_fewer_requests(self):
        """Guards against a server that looks healthy but fails some requests.

        It fails two of five.
        """
        failing = self.fleet.get(ids.InstanceId("a0"))
        self.balancer.note_failure(failing, 1.0, False)
        self.balancer.begin(ids.InstanceId("b0"), 1.0)
        self.assertEqual(self.choose().id, "b0")


class AttemptsTest(unittest.TestCase):
    def decide(self, route, failure, **progress):
        return attempts.decide(route, failure, attempts.Progress(**progress))

    def test_what_may_have_run_is_not_repeated_on_unsafe_routes(self):
        """Guards against booking twice.

        The answer to a booking is lost after the request was sent.
        """
        route = make_route(kind=routes.RouteKind.UNSAFE, attempts=1)
        for failure in (Failure.LOST, Failure.STALLED, Failure.ERROR):
            verdict = self.decide(route, failure, sends=1, runs=1)
            self.assertIs(verdict, Verdict.GIVE_UP)

    def test_what_has_not_run_is_repeated_on_any_route(self):
        route = make_route(kind=routes.RouteKind.UNSAFE, attempts=1)
        for failure in (Failure.UNREACHED, Failure.NOT_RUN):
            verdict = self.decide(route, failure, sends=1)
            self.assertIsNot(verdict, Verdict.GIVE_UP)

    def test_repeats_of_what_has_not_run_are_charged(self):
        """Shows that refusals use up the budget for repeats.

        Attempts that were refused or not connected are charged like those
        that may have run. With an exhausted budget, a request that has not
        run anywhere is refused although another upstream has room.
        """
        unsafe = make_route(kind=routes.RouteKind.UNSAFE, attempts=1)
        for route in (unsafe, make_route()):
            for failure in Failure:
                if not failure.may_have_run:
                    verdict = self.decide(route, failure, sends=1)
                    self.assertIs(verdict, Verdict.REPEAT_PAID, failure)

    def test_a_stream_that_cannot_be_resumed_counts_as_unsafe(self):
        route = make_route(kind=routes.RouteKind.STREAMING, resumable=False)
        verdict = self.decide(route, Failure.LOST, sends=1, runs=1)
        self.assertIs(verdict, Verdict.GIVE_UP)

    def test_a_request_runs_at_most_as_often_as_its_route_allows(self):
        route = make_route(attempts=2)
        repeat = self.decide(route, Failure.LOST, sends=1, runs=1)
        last = self.decide(route, Failure.LOST, sends=2, runs=2)
        self.assertIsNot(repeat, Verdict.GIVE_UP)
        self.assertIs(last, Verdict.GIVE_UP)

    def test_the_objective_that_an_answer_missed_is_found(self):
        route = make_route(target=0.4, gap=0.2)
        find = attempts.find_lateness
        self.assertIsNone(find(route, 0.3, 0.1))
        self.assertIs(find(route, 0.5, 0.1), attempts.Lateness.FIRST)
        self.assertIs(find(route, 0.3, 0.25), attempts.Lateness.PAUSE)
        self.assertIsNone(find(make_route(), 9.0, 9.0))

    def test_the_start_delay_grows_with_the_outage(self):
        """Guards against callers that return too soon and are refused again.

        All nodes restart while the store is down for six seconds, and the
        callers were told to come back after half a second.
        """
        self.assertEqual(attempts.estimate_start_delay(0.1), 0.5)
        self.assertEqual(attempts.estimate_start_delay(3.0), 3.0)

    def test_only_a_request_that_has_not_run_ends_as_refused(self):
        """Guards against booking twice.

        A caller that is told "not run" books again.
        """
        not_run = attempts.Progress(sends=2, runs=0)
        may_have_run = attempts.Progress(sends=1, runs=1)
        refused = attempts.Ending.REFUSED
        self.assertIs(attempts.choose_ending(not_run, True), refused)
        for in_time in (True, False):
            ending = attempts.choose_ending(may_have_run, in_time)
            self.assertIsNot(ending, refused)


class BudgetTest(unittest.TestCase):
    def test_all_nodes_together_stay_below_the_limit(self):
        """Guards against repeats that double the load during an outage.

        Load: 13 nodes, each with 60 requests in a window, all of which
        fail and ask for a repeat. The nodes exchange no messages.
        """
        nodes = [budgets.RepeatBudget(0.2, 282.0, 10.0) for _ in range(13)]
        taken = 0
        for node in nodes:
            node.note_nodes(13)
            for n in range(60):
                now = n / 10.0
                node.note_request(ids.ServiceName("pool"), now)
                taken += node.take(ids.ServiceName("pool"), now)
        self.assertLess(taken, 0.2 * 13 * 60 + 282)
        self.assertGreater(taken, 0.1 * 13 * 60)

    def test_the_share_does_not_grow_when_other_nodes_go_silent(self):
        budget = budgets.RepeatBudget(0.0, 100.0, 10.0)
        budget.note_nodes(10)
        budget.note_nodes(1)
        name = ids.ServiceName("pool")
        taken = sum(budget.take(name, 0.0) for _ in range(100))
        self.assertLessEqual(taken, 10)

    def test_repeats_are_forgotten_after_the_window(self):
        budget = budgets.RepeatBudget(0.0, 10.0, 10.0)
        name = ids.ServiceName("pool")
        while budget.take(name, 0.0):
            continue
        self.assertTrue(budget.take(name, 11.0))


class PresenceTest(unittest.TestCase):
    def setUp(self):
        self.presence = presence.Presence(self.make_entry("me", 1))

    @staticmethod
    def make_entry(name, incarnation):
        return presence.NodeEntry(
            id=ids.NodeId(name),
            datacentre=ids.DatacentreName("here"),
            front=f"{name}:1",
            heartbeats=f"{name}:2",
            peer=f"{name}:3",
            incarnation=incarnation,
        )

    def beat(self, name, now, incarnation=1, serial=1, ready=True):
        heartbeat = presence.Heartbeat(
            node=self.make_entry(name, incarnation),
            serial=serial,
            ready=ready,
        )
        return self.presence.note_heartbeat(heartbeat, now)

    def list_ready(self, now):
        return [node.id for node in self.presence.list_ready(now)]

    def test_a_silent_node_is_no_longer_listed_for_callers(self):
        self.beat("a", 1.0)
        self.assertEqual(self.list_ready(2.0), ["a"])
        self.assertEqual(self.list_ready(4.0), [])

    def test_a_leaving_node_is_removed_with_its_next_heartbeat(self):
        self.beat("a", 1.0)
        self.beat("a", 1.4, serial=2, ready=False)
        self.assertEqual(self.list_ready(1.5), [])

    def test_a_late_heartbeat_changes_nothing(self):
        """Guards against listing a stopping node for callers again.

        Datagrams may arrive out of order, also those of a process and of
        its successor.
        """
        self.beat("a", 1.0, incarnation=2, serial=5, ready=False)
        self.assertFalse(self.beat("a", 1.1, incarnation=2, serial=4))
        self.assertFalse(self.beat("a", 1.1, incarnation=1, serial=9))
        self.assertEqual(self.list_ready(1.2), [])

    def test_all_nodes_rank_nodes_in_the_same_order(self):
        other = presence.Presence(self.make_entry("a", 1))
        self.beat("a", 1.0)
        heartbeat = presence.Heartbeat(
            node=self.make_entry("me", 1), serial=1, ready=True
        )
        other.note_heartbeat(heartbeat, 1.0)
        mine = self.presence.rank("domain:x", 1.0)
        self.assertEqual(mine, other.rank("domain:x", 1.0))


class SplitterTest(unittest.TestCase):
    STREAM = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n"

    @hypothesis.given(strategies.lists(strategies.integers(1, 9)))
    @hypothesis.settings(derandomize=True, database=None)
    def test_events_do_not_depend_on_how_the_bytes_arrive(self, sizes):
        splitter = events.Splitter()
        found = []
        rest = self.STREAM
        for size in [*sizes, len(rest)]:
            found += splitter.feed(rest[:size])
            rest = rest[size:]
        self.assertEqual([event.id for event in found], ["1", "2", "3"])
        self.assertEqual(b"".join(event.data for event in found), self.STREAM)

    def test_a_part_of_an_event_is_held_back(self):
        """Guards against sending half an event and then the whole one."""
        splitter = events.Splitter()
        self.assertEqual(splitter.feed(b"id: 1\ndata: a\n"), [])
        self.assertEqual(splitter.rest, b"id: 1\ndata: a\n")

    def test_an_event_without_end_costs_what_its_bytes_cost(self):
        """Guards against a stream that holds up all other requests."""
        splitter = events.Splitter()
        began = time.process_time()
        for _ in range(5_000):
            self.assertEqual(splitter.feed(b"x" * 64), [])
        self.assertLess(time.process_time() - began, 1.0)
        self.assertEqual(len(splitter.rest), 64 * 5_000)


if __name__ == "__main__":
    unittest.main()

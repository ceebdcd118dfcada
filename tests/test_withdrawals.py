"""Upstreams that want no requests, for a while or because they leave."""

import bisect
import time
import unittest

from currantwall.coordination.requests import balancing
from currantwall.state import ids
from currantwall.state import upstreams
from tests import test_gateway
from tests import test_gateway_parts

# Seconds of the pause that servers ask for, and of reaction to that.
_PAUSE_SECONDS = 3.0
_REACTION_SECONDS = 0.5
# Requests of one node that may reach a server during its pause.
_ALLOWED = 2
_SENDING_SECONDS = 2.8
_REQUEST_INTERVAL = 0.01


def count_most_in_pauses(arrivals):
    """Return the most arrivals in the pause that any of them began.

    Each was refused with the request for a pause.
    """
    return max(
        (
            bisect.bisect(arrivals, at + _PAUSE_SECONDS)
            - bisect.bisect(arrivals, at + _REACTION_SECONDS)
            for at in arrivals
        ),
        default=0,
    )


class WithdrawnServerTest(test_gateway.GatewayCase):
    def send_for(self, seconds, method, target):
        """Send requests to one node; return their answers."""
        end = time.monotonic() + seconds
        answers = []
        while time.monotonic() < end:
            answers.append(self.send(method, target))
            time.sleep(_REQUEST_INTERVAL)
        return answers

    def list_arrivals(self, name, since):
        return [at for at in self.fleet.list_arrivals(name) if at >= since]

    def reset_headers(self, names):
        for name in names:
            self.fleet.set_headers(name)

    def test_a_plain_server_is_left_alone_for_its_pause(self):
        """Guards against requests to a server that has asked for a pause."""
        self.fleet.set_headers("a1", Retry_After=f"{_PAUSE_SECONDS:g}")
        self.addCleanup(self.reset_headers, ["a1"])
        started = time.monotonic()
        self.send_for(_SENDING_SECONDS, "GET", "/safe/busy-a1/x")
        arrivals = self.list_arrivals("a1", started)
        self.assertGreaterEqual(len(arrivals), 1)
        self.assertLessEqual(count_most_in_pauses(arrivals), _ALLOWED)
        # Its pause ends with the time that it asked for.
        time.sleep(_PAUSE_SECONDS)
        started = time.monotonic()
        self.send_for(1.0, "GET", "/safe/x")
        self.assertGreater(len(self.list_arrivals("a1", started)), 0)

    def test_evacuations_are_ignored_where_they_are_not_enabled(self):
        """Guards against a feature that takes effect without its setting.

        All servers are in the data centre.
        """
        self.addCleanup(self.fleet.withdraw_evacuation, "a")
        self.fleet.evacuate("a")
        answers = self.send_for(1.0, "GET", "/safe/x")
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertNotIn("evacuation", self.fleet.read_log("g1"))

    def test_leaders_of_replicas_are_left_alone_for_their_pause(self):
        """Guards against the same where every replica asks for a pause."""
        names = test_gateway._ENGINES
        for name in names:
            self.fleet.set_headers(name, Retry_After=f"{_PAUSE_SECONDS:g}")
        self.addCleanup(self.reset_headers, names)
        started = time.monotonic()
        answers = self.send_for(_SENDING_SECONDS, "POST", "/once/busy/x")
        for name in names:
            arrivals = self.list_arrivals(name, started)
            self.assertLessEqual(count_most_in_pauses(arrivals), _ALLOWED)
        for answer in answers:
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)


class PauseTest(unittest.TestCase):
    def setUp(self):
        self.fleet = upstreams.Fleet()
        self.balancer = balancing.Balancer(
            self.fleet, ids.DatacentreName("here")
        )
        self.list_replicas(epoch=1, revision=1)

    def list_replicas(self, epoch, revision):
        made = test_gateway_parts.make_replica
        listed = [*made("a", epoch=epoch), *made("b")]
        self.fleet.replace(listed, revision, float(revision))

    def choose(self, now, model="m"):
        service = ids.ServiceName("pool")
        return self.balancer.choose(service, model, (), "salt", now)

    def pause(self, name, seconds, now):
        instance = ids.InstanceId(name)
        self.balancer.withdrawals.note_pause(instance, seconds, now)

    def test_a_pause_outlasts_the_epoch_of_a_replica(self):
        """Guards against requests to the leader of a repaired replica.

        Its server asked for the pause, whatever replica it leads.
        """
        self.pause("a0", 3.0, 1.0)
        self.list_replicas(epoch=2, revision=2)
        self.balancer.begin(ids.InstanceId("b0"), 2.0)
        self.assertEqual(self.choose(2.0).id, "b0")
        self.assertEqual(self.choose(4.1).id, "a0")

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        self.pause("a0", 3.0, 1.0)
        self.pause("a0", 0.5, 1.1)
        self.pause("b0", 1.0, 1.1)
        found = self.choose(1.5)
        self.assertAlmostEqual(found.earliest, 0.6)
        self.assertTrue(found.is_full)
        self.assertEqual(self.choose(2.5).id, "b0")
        self.balancer.expire(2.5)
        self.assertEqual(self.choose(2.5).id, "b0")

    def test_paused_replicas_have_no_free_slots(self):
        self.pause("a0", 3.0, 1.0)
        free = self.balancer.count_free_slots(
            ids.ServiceName("pool"), "m", lambda upstream: 4, 2.0
        )
        self.assertEqual(free, 4)

    def test_a_plain_server_is_not_sent_requests_for_want_of_another(self):
        """Guards against a pause that is treated as an ejection.

        An ejected plain server is used where there is no other one.
        """
        made = test_gateway_parts.make_upstream
        self.fleet.replace([made("p1")], 2, 2.0)
        upstream = self.fleet.get(ids.InstanceId("p1"))
        self.balancer.note_failure(upstream, 2.0, True)
        self.assertEqual(self.choose(2.1, model=None).id, "p1")
        self.pause("p1", 1.0, 2.0)
        found = self.choose(2.1, model=None)
        self.assertIsInstance(found, balancing.Unavailable)
        self.assertAlmostEqual(found.retry_after, 0.9)


class LeavingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = upstreams.Fleet()
        self.balancer = balancing.Balancer(
            self.fleet, ids.DatacentreName("here")
        )
        self.revision = 0

    def list_server(self, **fields):
        self.revision += 1
        made = [test_gateway_parts.make_upstream("p1", **fields)]
        self.fleet.replace(made, self.revision, float(self.revision))
        return made[0]

    def choose(self):
        service = ids.ServiceName("pool")
        return self.balancer.choose(service, None, (), "salt", 9.0)

    def test_a_server_that_leaves_is_not_used_for_want_of_another(self):
        leaving = self.list_server(born=5)
        self.balancer.withdrawals.note_leaving(leaving, 1.0)
        self.assertIsInstance(self.choose(), balancing.Unavailable)

    def test_a_server_started_again_under_its_id_is_used(self):
        """Guards against a server that is left alone for its predecessor."""
        leaving = self.list_server(born=5)
        self.balancer.withdrawals.note_leaving(leaving, 1.0)
        for born in (6, 4):
            self.list_server(born=born)
            self.assertEqual(self.choose().id, "p1")

    def test_a_leaving_server_whose_entry_lapses_is_remembered(self):
        """Guards against requests to it when its old entry returns."""
        leaving = self.list_server(born=5)
        self.balancer.withdrawals.note_leaving(leaving, 1.0)
        self.fleet.replace([], 2, 2.0)
        self.revision = 2
        self.balancer.expire(10.0)
        self.list_server(born=5)
        self.assertIsInstance(self.choose(), balancing.Unavailable)
        self.balancer.expire(200.0)
        self.assertIsInstance(self.choose(), balancing.Unavailable)
        self.fleet.replace([], 4, 201.0)
        self.balancer.expire(202.0)
        self.revision = 4
        self.list_server(born=5)
        self.assertEqual(self.choose().id, "p1")


class LeavingServerTest(test_gateway.GatewayCase):
    def check_left_alone(self, leaving, method, target):
        """Check that servers get nothing once they have said they leave."""
        answers = [
            self.send(method, target, gateway=gateway)
            for gateway in ("g1", "g2") * 10
        ]
        time.sleep(_REACTION_SECONDS)
        started = time.monotonic()
        for gateway in ("g1", "g2") * 30:
            answers.append(self.send(method, target, gateway=gateway))
        for name in leaving:
            arrivals = self.fleet.list_arrivals(name)
            self.assertTrue(arrivals, name)
            late = [at for at in arrivals if at >= started]
            self.assertEqual(late, [], name)
        self.assertEqual({answer.status for answer in answers}, {200})

    def test_a_plain_server_that_leaves_gets_no_more_requests(self):
        """Guards against requests to a server that leaves unannounced.

        Its entry in the store does not say so yet.
        """
        self.fleet.set_headers("a1", Server_Leaving="1")
        self.check_left_alone(["a1"], "GET", "/safe/x")

    def test_a_leader_that_leaves_gets_no_more_requests(self):
        """Guards against the same at a replica's leader."""
        runs = self.fleet.list_runs(*test_gateway._ENGINES)
        leader = runs[0]["seal"].removeprefix("seal.")
        self.fleet.set_headers(leader, Server_Leaving="1")
        self.check_left_alone([leader], "POST", "/stream/x")


if __name__ == "__main__":
    unittest.main()

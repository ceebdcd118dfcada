"""Upstreams that want no requests, for a while or because they leave."""

import bisect
import time
import unittest

from tests import test_gateway

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

"""Limits on the requests a second that an upstream takes from all nodes."""

import bisect
from concurrent import futures
import time

from tests import test_gateway

# Callers that send at once, the seconds for which they send, and between
# two requests of one of them.
_CALLERS = 4
_SENDING_SECONDS = 6.0
_REQUEST_INTERVAL = 0.02
# Seconds after an answer that names a limit until its node must keep to it.
_REACTION_SECONDS = 0.5
# Requests that a limit allows in a window: a number of seconds, the factor
# on the limit, and the requests beyond that.
_WINDOW_SECONDS = 4.0
_FACTOR = 1.5
_SLACK = 5


def count_most_arrivals(arrivals):
    """Return the most arrivals in any window, by their sorted times."""
    ends = (bisect.bisect(arrivals, at + _WINDOW_SECONDS) for at in arrivals)
    return max((end - start for start, end in enumerate(ends)), default=0)


def count_allowed(limit):
    return limit * _FACTOR * _WINDOW_SECONDS + _SLACK


class LimitedServerTest(test_gateway.GatewayCase):
    def send_for(self, seconds, method, target):
        """Send requests to both nodes; return their statuses."""
        end = time.monotonic() + seconds

        def call(gateway):
            statuses = []
            while time.monotonic() < end:
                answer = self.send(method, target, gateway=gateway)
                statuses.append(answer.status)
                time.sleep(_REQUEST_INTERVAL)
            return statuses

        nodes = [f"g{1 + number % 2}" for number in range(_CALLERS)]
        with futures.ThreadPoolExecutor(_CALLERS) as pool:
            return sum(pool.map(call, nodes), [])

    def count_arrivals(self, servers, method, target):
        """Return the most arrivals at each server in a window.

        Both nodes have been told of the limit before.
        """
        self.send_for(2.0, method, target)
        time.sleep(_REACTION_SECONDS)
        started = time.monotonic()
        self.statuses = self.send_for(_SENDING_SECONDS, method, target)
        return {
            name: count_most_arrivals(
                [at for at in self.fleet.list_arrivals(name) if at >= started]
            )
            for name in servers
        }

    def test_nodes_together_keep_to_the_limit_of_a_plain_server(self):
        """Guards against a limit that each node exceeds or keeps alone."""
        self.fleet.set_headers("a1", Server_Limit="1")
        found = self.count_arrivals(["a1"], "GET", "/safe/x")
        self.assertLessEqual(found["a1"], count_allowed(1.0))
        # The other server takes the rest.
        self.assertEqual(set(self.statuses), {200})

    def test_nodes_together_keep_to_the_limit_of_a_replicas_leader(self):
        """Guards against the same at leaders of replicas."""
        for name in test_gateway._ENGINES:
            self.fleet.set_headers(name, Server_Limit="1.2")
        found = self.count_arrivals(test_gateway._ENGINES, "POST", "/stream/x")
        for name, most in found.items():
            self.assertLessEqual(most, count_allowed(1.2), name)


if __name__ == "__main__":
    test_gateway.unittest.main()

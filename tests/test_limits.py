"""Limits on the requests a second that an upstream takes from all nodes."""

import bisect
import collections
from concurrent import futures
import heapq
import math
import random
import time
import unittest

from bench import gateways
from currantwall.coordination.requests import ratelimits
from currantwall.state import ids
from currantwall.state import limits
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


def count_most_arrivals(arrivals, window=_WINDOW_SECONDS):
    """Return the most arrivals in any window, by their sorted times."""
    ends = (bisect.bisect(arrivals, at + window) for at in arrivals)
    return max((end - start for start, end in enumerate(ends)), default=0)


def count_allowed(limit):
    return limit * _FACTOR * _WINDOW_SECONDS + _SLACK


class LimitedServerTest(test_gateway.GatewayCase):
    # Nodes that the callers send to.
    senders = ("g1", "g2")

    def send_for(self, seconds, method, target):
        """Send requests to the senders; return their statuses."""
        end = time.monotonic() + seconds

        def call(gateway):
            statuses = []
            while time.monotonic() < end:
                answer = self.send(method, target, gateway=gateway)
                statuses.append(answer.status)
                time.sleep(_REQUEST_INTERVAL)
            return statuses

        nodes = [
            self.senders[number % len(self.senders)]
            for number in range(_CALLERS)
        ]
        with futures.ThreadPoolExecutor(_CALLERS) as pool:
            return sum(pool.map(call, nodes), [])

    def count_arrivals(self, servers, method, target, window=_WINDOW_SECONDS):
        """Return the most arrivals at each server in a window.

        Both nodes have been told of the limit before.
        """
        self.send_for(2.0, method, target)
        time.sleep(_REACTION_SECONDS)
        started = time.monotonic()
        self.statuses = self.send_for(_SENDING_SECONDS, method, target)
        return {
            name: count_most_arrivals(
                [at for at in self.fleet.list_arrivals(name) if at >= started],
                window,
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

    def test_nodes_together_keep_to_the_bound_of_a_cold_leader(self):
        """Guards against a cold leader that gets too much, or too little.

        Both replicas are cold by their entries. Only one node has requests;
        it needs the other one's share.
        """
        self.senders = ("g1",)
        configuration = gateways.make_configuration(0)
        services = configuration["services"]
        services[0] |= {"coldStartS": 3, "coldPerS": 4}
        self.fleet.put_configuration(services=services)
        self.addCleanup(self.fleet.put_configuration)
        for name in test_gateway._ENGINES:
            self.fleet.set_cold(name, 60.0)
            self.addCleanup(self.fleet.set_cold, name, 0.0)
        most = self.count_arrivals(
            test_gateway._ENGINES, "POST", "/stream/x", window=1.0
        )
        self.assertLessEqual(max(most.values()), 4 * 1.5 + 5)
        served = self.statuses.count(200)
        rate = 4 * sum(count > 0 for count in most.values())
        self.assertGreaterEqual(served, 0.8 * rate * _SENDING_SECONDS)
        self.assertLessEqual(served, 1.1 * rate * _SENDING_SECONDS)


_SERVER = ids.InstanceId("i1")
_REPORT_INTERVAL = 0.4
# Seconds for which a request waits at a node, and the longest ones that a
# message takes.
_PATIENCE = 0.5
_LONGEST_DELAY = 0.02
# Seconds until other nodes notice that one has gone, or has come.
_NOTICE_GONE_SECONDS = 1.8
_NOTICE_NEW_SECONDS = 0.4


class Fleet:
    """Nodes in virtual time that send servers all that they may.

    Attributes:
        servers: The servers; the first one names its limit in answers.
        arrived: Times of all requests, by server.
        rate: The limit that the server names now; None for none.
        arrivals: Times at which requests of nodes that must know the limit
            reached it.
        sent: Times of all requests.
    """

    def __init__(self, count, demand, report_delay, seed):
        self.random = random.Random(seed)
        self.demand = demand
        self.report_delay = report_delay
        self.rate = None
        self.now = 0.0
        self.arrivals = []
        self.sent = []
        self.told_at = {}
        self.nodes = {}
        self.servers = [_SERVER]
        self.arrived = collections.defaultdict(list)
        self.waiting = {}
        self.members = [ids.NodeId(f"n{n}") for n in range(count)]
        self.events = []
        self.serial = 0
        for name in self.members:
            self.start(name)

    def start(self, name):
        """Start a node, which knows no limit."""
        node = ratelimits.RateLimits(name)
        self.nodes[name] = node
        self.told_at.pop(name, None)
        self.waiting[name] = []
        node.note_nodes([*self.members, name], self.now)
        self.schedule(self.random.uniform(0, 0.4), self.report, name, node)
        self.schedule(
            self.random.expovariate(self.demand), self.send, name, node
        )

    def restart(self, name):
        """Kill a node and start it again two seconds later."""
        del self.nodes[name]
        self.members.remove(name)
        self.schedule(_NOTICE_GONE_SECONDS, self.spread_members)
        self.schedule(2.0, self.rejoin, name)

    def rejoin(self, name):
        self.start(name)
        self.members.append(name)
        self.schedule(_NOTICE_NEW_SECONDS, self.spread_members)

    def spread_members(self):
        for node in self.nodes.values():
            node.note_nodes(self.members, self.now)

    def schedule(self, delay, callback, *args):
        self.serial += 1
        event = (self.now + delay, self.serial, callback, args)
        heapq.heappush(self.events, event)

    def run(self, until):
        while self.events[0][0] < until:
            self.now, _, callback, args = heapq.heappop(self.events)
            callback(*args)
        self.now = until

    def send(self, name, node):
        if self.nodes.get(name) is not node:
            return
        self.schedule(
            self.random.expovariate(self.demand), self.send, name, node
        )
        self.waiting[name].append(self.now)
        self.place(name, node)

    def place(self, name, node):
        """Send the waiting requests that may be sent, ask for the others."""
        waiting = self.waiting[name]
        waiting[:] = [at for at in waiting if self.now - at < _PATIENCE]
        servers = self.random.sample(self.servers, len(self.servers))
        for server in servers:
            while waiting and node.permits(server, self.now):
                waiting.pop()
                node.note_request(server, self.now)
                self.deliver_request(name, node, server)
        sampled = servers[: len(waiting)]
        for server in sampled:
            count = math.ceil(len(waiting) / len(sampled))
            node.note_demand(server, count, self.now)
        for holder, request in node.list_share_requests(self.now).items():
            self.schedule(self.draw_delay(), self.ask, name, holder, request)

    def draw_delay(self):
        return self.random.uniform(0.001, _LONGEST_DELAY)

    def ask(self, name, holder, request):
        grant = holder in self.nodes and self.nodes[holder].grant(
            request, self.now
        )
        if grant:
            self.schedule(self.draw_delay(), self.take, name, grant)

    def take(self, name, grant):
        if name in self.nodes and self.nodes[name].note_grant(grant, self.now):
            self.place(name, self.nodes[name])

    def deliver_request(self, name, node, server):
        self.arrived[server].append(self.now + self.draw_delay())
        if server is not _SERVER:
            return
        self.sent.append(self.now)
        told_at = self.told_at.get(name)
        if told_at is not None and self.now >= told_at + _REACTION_SECONDS:
            self.arrivals.append(self.now)
        self.schedule(
            self.random.uniform(0.05, 0.8), self.answer, name, node, self.rate
        )

    def answer(self, name, node, rate):
        if self.nodes.get(name) is not node:
            return
        node.note_answer(_SERVER, rate, self.now)
        if rate is not None:
            self.told_at.setdefault(name, self.now)

    def report(self, name, node):
        if self.nodes.get(name) is not node:
            return
        self.schedule(_REPORT_INTERVAL, self.report, name, node)
        self.place(name, node)
        reports = node.list_reports(self.now)
        if reports:
            self.schedule(self.report_delay, self.deliver, node, reports)

    def deliver(self, sender, reports):
        aged = {
            name: limits.LimitReport(one.rate, one.age + self.report_delay)
            for name, one in reports.items()
        }
        for node in self.nodes.values():
            if node is not sender:
                node.note_reports(aged, self.now)

    def count_restrained(self):
        """Return how many nodes leave the server alone for now."""
        return sum(
            not node.is_holder(_SERVER, self.now)
            for node in self.nodes.values()
        )


class SharesTest(unittest.TestCase):
    def check_limit(self, fleet, rate, since):
        late = [at for at in fleet.arrivals if at >= since]
        most = count_most_arrivals(late)
        self.assertLessEqual(most, count_allowed(rate))

    def test_all_nodes_together_keep_to_a_limit(self):
        """Guards against a limit exceeded by the sum over the nodes.

        Load: 3 to 350 nodes, each with more requests for the server than
        it takes from all. Some nodes restart meanwhile.
        """
        for count, rate, seed in (
            (3, 0.3, 1),
            (21, 1.1, 2),
            (21, 0.0, 3),
            (21, 12.0, 4),
            (100, 1.4, 5),
            (350, 2.5, 6),
            (350, 40.0, 7),
        ):
            with self.subTest(count=count, rate=rate, seed=seed):
                fleet = Fleet(count, 2.0, 0.05 if count < 32 else 0.8, seed)
                fleet.run(1.0)
                fleet.rate = rate
                fleet.run(8.0)
                for step in range(8):
                    fleet.restart(fleet.random.choice(fleet.members))
                    fleet.run(9.0 + step)
                fleet.run(30.0)
                self.check_limit(fleet, rate, 4.0)
                used = sum(at >= 4.0 for at in fleet.sent)
                self.assertGreaterEqual(used, 0.8 * rate * 26.0)

    def test_a_limit_that_changes_is_followed(self):
        fleet = Fleet(21, 3.0, 0.05, 1)
        fleet.rate = 20.0
        fleet.run(10.0)
        fleet.rate = 1.0
        fleet.run(30.0)
        self.check_limit(fleet, 1.0, 14.0)

    def test_all_nodes_learn_that_a_limit_has_ended(self):
        """Guards against a server that is left alone long after its limit.

        Most nodes send it nothing, so they learn it from the holders.
        """
        for count, delay in ((21, 0.05), (350, 0.8)):
            fleet = Fleet(count, 2.0, delay, 1)
            fleet.rate = 1.2
            fleet.run(20.0)
            self.assertGreater(fleet.count_restrained(), count / 2)
            fleet.rate = None
            fleet.run(26.0)
            self.assertEqual(fleet.count_restrained(), 0)

    def test_a_limit_is_kept_while_its_holders_send_nothing(self):
        """Guards against nodes that all try an idle server at once.

        The holders have no requests for it, so that no answer confirms or
        ends the limit. The other nodes try it one by one.
        """
        fleet = Fleet(21, 2.0, 0.05, 1)
        fleet.rate = 1.0
        fleet.run(10.0)
        for name, node in list(fleet.nodes.items()):
            if node.is_holder(_SERVER, fleet.now):
                del fleet.nodes[name]
        fleet.run(60.0)
        # Also the nodes that only know the limit by reports keep to it.
        late = [at for at in fleet.sent if at >= 4.0]
        self.assertLessEqual(count_most_arrivals(late), count_allowed(1.0))
        self.assertTrue(any(at > 30.0 for at in late))
        fleet.rate = None
        fleet.run(90.0)
        self.assertEqual(fleet.count_restrained(), 0)

    def test_an_old_report_does_not_bring_a_limit_back(self):
        """Guards against a limit that two nodes report forever in turn."""
        node = ratelimits.RateLimits(ids.NodeId("n0"))
        node.note_nodes([ids.NodeId("n1")])
        node.note_answer(_SERVER, 1.0, 10.0)
        node.note_answer(_SERVER, None, 12.0)
        old = {_SERVER: limits.LimitReport(1.0, 1.0)}
        node.note_reports(old, 12.5)
        self.assertTrue(node.permits(_SERVER, 12.6))
        new = {_SERVER: limits.LimitReport(1.0, 0.1)}
        node.note_reports(new, 12.5)
        self.assertFalse(node.permits(_SERVER, 12.6))

    def test_a_node_that_stops_holds_no_limit(self):
        node = ratelimits.RateLimits(ids.NodeId("n0"))
        node.note_answer(_SERVER, 5.0, 10.0)
        self.assertTrue(node.permits(_SERVER, 10.1))
        node.note_nodes([ids.NodeId("n1")])
        self.assertFalse(node.permits(_SERVER, 10.2))


if __name__ == "__main__":
    unittest.main()

"""Bodies of requests: what they take of a node's memory, and who waits."""

import concurrent.futures
import itertools
import socket
import time
import unittest

import hypothesis
from hypothesis import strategies

from bench import bodies as bench
from bench import fleet as fleet_module
from bench import gateways
from currantwall.coordination.requests import bodies

State = bodies.State

_MEMORY = 222_000_000
_MB = 1_000_000

# Part of its memory that no process may exceed.
_USABLE_SHARE = 0.8


class PartitionedSite(bench.Site):
    """A site whose gateways can lose their path to the servers."""

    def make_command(self, name):
        return self.wrap_command(name, str(gateways.PROGRAM))


class MemoryTest(unittest.TestCase):
    def start(self):
        site = self.enterContext(bench.Site(("g1",)))
        site.start()
        return site

    def check_memory(self, site, found):
        limit = site.limits["memoryMb"] * _USABLE_SHARE
        self.assertLess(found.peak, limit)
        self.assertEqual(found.ended, 0)

    def test_the_bodies_of_ended_requests_are_not_kept(self):
        """Guards against bodies that only garbage refers to."""
        site = self.start()
        found = site.run(6, 6.0)
        self.check_memory(site, found)
        self.assertEqual(set(found.posts), {200})

    def test_more_bodies_than_fit_wait_and_are_answered(self):
        """Guards against a process that is killed for its callers' bodies.

        A quarter of the bodies come in chunks.
        """
        site = self.start()
        found = site.run(40, 6.0)
        self.check_memory(site, found)
        self.assertLessEqual(found.posts.keys(), {200, 503})
        self.assertGreater(found.posts[200], 40)
        self.assertGreaterEqual(found.in_time, 0.95 * found.reads)

    def test_a_refused_body_has_not_run(self):
        """Guards against a refusal that says so of a request that ran."""
        site = self.start()
        with concurrent.futures.ThreadPoolExecutor(60) as pool:
            answers = list(pool.map(lambda _: self.post(site), range(60)))
        self.assertLessEqual({status for _, status in answers}, {200, 503})
        ran = {run["attempt"] for run in site.list_runs(*bench.UPSTREAMS)}
        refused = {name for name, status in answers if status == 503}
        self.assertEqual(refused & ran, set())
        self.assertGreater(len(refused), 0)

    def post(self, site, timeout_ms=1200):
        """Post 4 MB within a short time; return the id and the status."""
        attempt = f"short-{next(_numbers)}"
        with self.connect(site) as caller:
            caller.sendall(make_head(4 * _MB, attempt, timeout_ms))
            caller.sendall(b"x" * 4 * _MB)
            return attempt, int(caller.recv(100).split()[1])

    def connect(self, site):
        host, _, port = site.fronts["g1"].partition(":")
        return socket.create_connection((host, int(port)), 20)

    def test_callers_that_trickle_give_their_room_to_others(self):
        """Guards against a few slow callers that keep out all others."""
        site = self.start()
        slow = [self.connect(site) for _ in range(20)]
        for caller in slow:
            self.addCleanup(caller.close)
            caller.sendall(make_head(4 * _MB, f"slow-{next(_numbers)}"))
            caller.sendall(b"x" * 100)
        time.sleep(0.5)
        began = time.monotonic()
        status = site.send("g1", "POST", "/unsafe/discard/x", b"x" * 4 * _MB)
        self.assertEqual(status, 200)
        self.assertLess(time.monotonic() - began, 4.0)
        self.assertIn(b" 408 ", slow[0].recv(100))

    def test_a_slow_caller_alone_is_not_cut(self):
        """Guards against ending a slow transfer that keeps nobody out."""
        site = self.start()
        with self.connect(site) as caller:
            caller.sendall(make_head(4 * _MB, f"alone-{next(_numbers)}"))
            time.sleep(4.0)
            caller.sendall(b"x" * 4 * _MB)
            self.assertIn(b" 200 ", caller.recv(100))

    def test_bodies_that_a_peer_forwards_are_bounded_at_both(self):
        """Guards against copies of a body that nobody counts."""
        site = self.enterContext(PartitionedSite(("g1", "g2")))
        site.start()
        addresses = [site.addresses[name] for name in bench.UPSTREAMS]
        site.partition("g1", addresses, "refuse")
        fleet_module.wait_until(
            lambda: site.send("g1", "GET", "/safe/x") == 200, 20.0, "a peer"
        )
        found = site.run(24, 6.0)
        self.check_memory(site, found)
        self.assertLessEqual(found.posts.keys(), {200, 503})
        self.assertGreater(found.posts[200], 24)
        forwarded = [
            line
            for line in site.read_events("g1")
            if line["event"] == "answered" and line["peer"]
        ]
        self.assertGreater(len(forwarded), 12)


_numbers = itertools.count(1)


def make_head(size, attempt, timeout_ms=8000):
    return (
        f"POST /unsafe/discard/x HTTP/1.1\r\nHost: {gateways.HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {timeout_ms}\r\n"
        f"Authorization: Bearer {gateways.KEY}\r\n"
        f"Content-Length: {size}\r\n\r\n"
    ).encode()


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = bodies.BodyBudget(_MEMORY)

    def claim(self, size, now=0.0, patience=4.0, held=0):
        return self.budget.claim(size, patience, now, held)

    def fill(self, size=4 * _MB, now=0.0):
        """Claim room until a body has to wait; return all claims."""
        claims = [self.claim(size, now)]
        while claims[-1].state is State.GRANTED:
            claims.append(self.claim(size, now))
        return claims

    def test_small_nodes_take_one_large_body_at_a_time(self):
        """Guards against a body that never fits."""
        self.budget = bodies.BodyBudget(112_000_000)
        first, second = self.claim(4_100_000), self.claim(4_100_000)
        self.assertIs(first.state, State.GRANTED)
        self.assertIs(second.state, State.WAITING)
        self.assertEqual(self.budget.release(first, 1.0), [second])

    def test_large_bodies_leave_room_to_medium_ones(self):
        """Guards against medium bodies that wait behind large ones."""
        self.fill()
        self.assertIs(self.claim(100_000).state, State.GRANTED)

    def test_bodies_get_room_in_the_order_of_their_arrival(self):
        """Guards against a body that later ones overtake."""
        claims = self.fill()
        later = self.claim(300_000)
        self.assertIs(later.state, State.WAITING)
        granted = self.budget.release(claims[0], 1.0)
        self.assertIs(granted[0], claims[-1])

    def test_a_body_that_can_not_be_in_time_is_refused_at_once(self):
        """Guards against callers that wait in vain."""
        claims = self.fill()
        for number in range(4):
            self.claim(4 * _MB, 1.0 + number, 60.0)
            self.budget.release(claims[number], 1.0 + number)
        for _ in range(8):
            self.claim(4 * _MB, 4.0, 60.0)
        # 16 MB were released in 4 s, and nine bodies wait.
        refused = self.claim(4 * _MB, 4.0, patience=2.0)
        self.assertIs(refused.state, State.REFUSED)
        self.assertAlmostEqual(refused.retry_after, 10.0)

    def test_growing_bodies_do_not_wait_for_each_other(self):
        """Guards against bodies that each hold what another one needs."""
        growing = []
        while len(growing) < 200:
            claim = self.claim(bodies.MEDIUM_BYTES)
            if claim.state is not State.GRANTED:
                break
            growing.append(claim)
        larger = [
            self.claim(4 * _MB, held=bodies.MEDIUM_BYTES) for _ in growing
        ]
        states = {claim.state for claim in larger}
        self.assertEqual(states, {State.WAITING, State.REFUSED})
        for first, second in zip(growing, larger, strict=True):
            if second.state is State.REFUSED:
                self.budget.release(first, 0.1)
        self.assertIn(State.GRANTED, {claim.state for claim in larger})

    def test_only_so_many_bodies_wait(self):
        """Guards against waiting callers that take all connections."""
        self.fill()
        states = [self.claim(4 * _MB, patience=1e9).state for _ in range(400)]
        self.assertEqual(states.count(State.WAITING), 255)

    @hypothesis.settings(
        max_examples=200, derandomize=True, database=None, deadline=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("claim", "release", "shrink")),
                strategies.integers(1, 6 * _MB),
                strategies.integers(0, 100),
            ),
            max_size=80,
        ),
        strategies.sampled_from((112_000_000, _MEMORY)),
    )
    def test_the_room_is_never_exceeded_and_always_used(self, steps, memory):
        """Guards against room that is lost, or given twice."""
        budget = bodies.BodyBudget(memory)
        claims = []
        for now, (step, size, index) in enumerate(steps):
            live = [c for c in claims if c.state is State.GRANTED]
            if step == "claim":
                claims.append(budget.claim(size, 1e9, float(now)))
            elif live and step == "release":
                budget.release(live[index % len(live)], float(now))
            elif live:
                claim = live[index % len(live)]
                budget.shrink(claim, min(size, claim.size), float(now))
            granted = [c.size for c in claims if c.state is State.GRANTED]
            self.assertEqual(budget.used, sum(granted))
            excess = max(granted, default=0)
            self.assertLessEqual(budget.used, budget.limit + excess)
            if not granted:
                self.assertFalse(budget.has_waiting)
        for claim in claims:
            budget.release(claim, 1000.0)
        self.assertEqual((budget.used, budget.has_waiting), (0, False))

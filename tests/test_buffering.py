"""What a node holds for its callers, and whose connection is closed."""

import fcntl
import socket
import time
import unittest

import eventlet
import eventlet.queue
import msgspec
import urllib3.connection

from bench import fleet as fleet_module
from bench import gateways
from bench import readers
from currantwall.coordination.requests import buffering
from currantwall.state import ids
from currantwall.transport import buffers
from currantwall.transport import exchanges

Phase = buffering.Phase
Reason = buffering.Reason

# Seconds between two samples, as the gateway takes them.
_STEP = 0.25
_TIMEOUT = 60.0


def make_sample(number, phase=Phase.ANSWERING, **fields):
    values = {"buffered": 1000, "unread": 0, "moved": 0} | fields
    return buffering.Sample(
        connection=ids.ConnectionId(number), phase=phase, **values
    )


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = buffering.Budget(1_000_000, 900)

    def run_samples(self, make, seconds, start=0.0, step=_STEP):
        """Return the victims until the first ones, or none in the time.

        Args:
            make: Returns the samples at a time.
            seconds: How long to go on.
            start: Time of the first samples.
            step: Seconds between them.
        """
        for number in range(int(seconds / step) + 1):
            now = start + number * step
            victims = self.budget.update(make(now), now)
            if victims:
                return now, victims
        return None, []

    def test_a_caller_that_keeps_its_upstream_waiting_is_closed(self):
        """Guards against upstreams that wait for a caller without end."""
        held = make_sample(1, unread=60_000, held_since=0.0)
        now, (victim,) = self.run_samples(lambda _: [held], 60)
        self.assertIs(victim.reason, Reason.HELD)
        self.assertTrue(3.0 <= now <= 3.5, now)

    def test_a_slow_caller_whose_upstream_is_read_is_not_closed(self):
        """Guards against cutting callers while there is memory for them."""

        def make(now):
            moved = int(100 * now)
            held_since = now - 0.1
            return [
                make_sample(1, unread=60_000, moved=moved),
                make_sample(2, unread=9_000, held_since=held_since),
            ]

        self.assertEqual(self.run_samples(make, 120), (None, []))

    def test_an_upstream_that_waits_for_the_budget_is_not_the_callers(self):
        """Guards against cutting a caller that has accepted everything."""
        held = make_sample(1, unread=0, held_since=0.0)
        self.assertEqual(self.run_samples(lambda _: [held], 60), (None, []))

    def test_the_slowest_callers_are_closed_when_the_budget_is_used(self):
        """Guards against a process that is killed for its memory.

        Only as many are closed as are needed, and never a caller that
        reads at once, even if it has the most bytes.
        """

        def make(now):
            slow = [
                make_sample(
                    number,
                    buffered=100_000,
                    unread=60_000,
                    moved=int(number * 100 * now),
                )
                for number in range(1, 6)
            ]
            moved = int(1_000_000 * now)
            fast = {"buffered": 150_000, "unread": 60_000, "moved": moved}
            return [*slow, make_sample(9, **fast)]

        _, victims = self.run_samples(make, 60)
        self.assertEqual([victim.connection for victim in victims], [1, 2, 3])
        self.assertEqual({v.reason for v in victims}, {Reason.BUDGET})

    def test_idle_connections_are_closed_before_slow_callers(self):
        """Guards against cutting answers to keep unused connections."""

        def make(_):
            idle = [
                make_sample(number, Phase.IDLE, buffered=30_000, moved=5)
                for number in range(10)
            ]
            slow = make_sample(99, buffered=200_000, unread=60_000)
            return [*idle, slow]

        _, victims = self.run_samples(make, 60)
        self.assertEqual({v.reason for v in victims}, {Reason.IDLE})
        self.assertEqual(len(victims), 5)

    def test_connections_are_left_for_new_callers(self):
        """Guards against idle callers that leave no connection to others."""

        def make(_):
            return [
                make_sample(number, Phase.IDLE, buffered=1)
                for number in range(850)
            ]

        _, victims = self.run_samples(make, 60)
        self.assertEqual(len(victims), 40)

    def test_closed_connections_leave_descriptors_to_others(self):
        """Guards against a node without descriptors for new callers."""
        self.budget = buffering.Budget(1_000_000_000, 900, held=100)

        def make(now):
            closed = [
                make_sample(number, Phase.CLOSING, unread=5000, buffered=1)
                for number in range(120)
            ]
            moved = int(1_000_000 * now)
            fast = {"buffered": 1, "unread": 60_000, "moved": moved}
            return [*closed, make_sample(999, **fast)]

        _, victims = self.run_samples(make, 30)
        self.assertEqual(len(victims), 31)
        self.assertNotIn(999, [victim.connection for victim in victims])

    def test_connections_in_use_are_not_idle(self):
        """Guards against closing connections between two requests.

        Each sample falls between two requests of the caller.
        """

        def make(now):
            moved = int(2000 * now)
            fields = {"buffered": 600_000, "moved": moved}
            return [make_sample(1, Phase.IDLE, **fields)]

        self.assertEqual(self.run_samples(make, 20), (None, []))

    def test_slow_senders_count(self):
        """Guards against requests that fill the memory byte by byte."""

        def make(now):
            moved = int(500 * now)
            fields = {"buffered": 300_000, "moved": moved}
            fast = {"buffered": 300_000, "moved": int(1_000_000 * now)}
            return [
                make_sample(1, Phase.RECEIVING, **fields),
                make_sample(2, Phase.RECEIVING, **fast),
            ]

        _, (victim,) = self.run_samples(make, 60)
        self.assertEqual(victim.connection, 1)

    def test_a_paused_process_closes_nobody(self):
        """Guards against cutting callers for a pause of the node itself."""

        def make(_):
            return [
                make_sample(1, buffered=900_000, unread=60_000, held_since=0.0)
            ]

        found = self.run_samples(make, 20, step=20.0)
        self.assertEqual(found, (None, []))

    def test_the_rest_of_an_answer_that_nobody_reads_is_discarded(self):
        """Guards against closed connections that stay for ever."""
        rest = make_sample(1, Phase.CLOSING, unread=60_000)
        now, (victim,) = self.run_samples(lambda _: [rest], 120)
        self.assertIs(victim.reason, Reason.STALLED)
        self.assertGreaterEqual(now, 60.0)

    def test_the_upstream_is_not_read_ahead_of_its_caller(self):
        """Guards against answers that are read into memory unbounded."""
        self.assertTrue(self.budget.may_read(30_000, 0))
        self.assertFalse(self.budget.may_read(buffering.QUEUE_BYTES, 0))
        self.budget.note(self.budget.limit)
        self.assertFalse(self.budget.may_read(30_000, 0))
        self.assertFalse(self.budget.may_read(0, 60_000))
        self.assertTrue(self.budget.may_read(1000, 0))

    def test_an_upstream_that_a_caller_kept_waiting_is_not_to_blame(self):
        """Guards against a retry for a caller that does not read.

        The upstream aborts its answer after 1.2 s in which it was not read.
        """
        listener = socket.create_server(("127.0.0.1", 0))
        inbox = eventlet.queue.LightQueue(2)
        clock = [0.0]
        backlog = buffers.Backlog(self.budget, lambda: clock[0])
        exchange = start_exchange(listener, inbox, backlog)
        eventlet.sleep(0.2)
        accepted, _ = listener.accept()
        chunk = b"4\r\ndata\r\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        accepted.sendall(head + 4 * chunk)
        eventlet.sleep(0.2)
        self.assertIsNotNone(backlog.held_since)
        clock[0] = 1.2
        accepted.close()
        listener.close()
        messages = [inbox.get(timeout=5.0) for _ in range(6)]
        self.assertIsInstance(messages[-1], exchanges.Failed)
        self.assertEqual(messages[-1].step, exchanges.HELD)
        exchange.cancel()


class GreenConnections(exchanges.Connections):
    """Opens eventlet's sockets in a process that is not patched."""

    def take(self, instance, address, new_connection):
        host, _, port = address.partition(":")
        connection = urllib3.connection.HTTPConnection(host, int(port))
        connection.sock = eventlet.connect((host, int(port)))
        return connection


def start_exchange(listener, inbox, backlog):
    host, port = listener.getsockname()
    outbound = exchanges.Outbound(
        method="GET",
        target="/",
        headers=(),
        body=None,
        attempt_id="1",
        timeout=5.0,
        new_connection=True,
    )
    connections = GreenConnections(time.monotonic)
    instance = ids.InstanceId("a")
    address = f"{host}:{port}"
    return exchanges.Exchange(
        1, instance, address, outbound, inbox, connections, None, backlog
    )


class SlowReadersTest(unittest.TestCase):
    """A store, two servers and gateways, all as processes."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = gateways.Gateways()
        cls.addClassCleanup(cls.fleet.stop)
        readers.start_site(cls.fleet, readers.MEMORY_MB)

    def list_closed(self, gateway="g1"):
        lines = self.fleet.read_log(gateway).splitlines()
        events = [
            msgspec.json.decode(line) for line in lines if line.startswith("{")
        ]
        return [
            event for event in events if event["event"] == "slow_reader_closed"
        ]

    def test_slow_callers_neither_hold_up_servers_nor_others(self):
        """Guards against slow callers that use up the memory of a node.

        60 callers read 100 bytes a second of 400 KB each; 10 others read
        at once.
        """
        found = readers.run_readers(self.fleet, 60, 10, 7.0)
        closed = self.list_closed()
        self.assertEqual(found.forged, 0)
        self.assertEqual((found.fast_cut, found.refused), (0, 0))
        self.assertGreater(len(found.fast_seconds), 10)
        self.assertEqual(found.slow_cut, 60)
        self.assertEqual({event["why"] for event in closed}, {"held"})
        self.assertEqual(found.upstream_last, 0)
        self.assertLess(found.unsent_peak, 70 * 131_072)
        growth = found.resident_peak - found.resident_before
        self.assertLess(growth, 70 * 200_000)

    def test_idle_upstreams_of_many_callers_are_used(self):
        """Guards against a failed check of descriptors above 1,023."""
        near, far = socket.socketpair()
        number = fcntl.fcntl(near.fileno(), fcntl.F_DUPFD, 1500)
        connection = urllib3.connection.HTTPConnection("x", 1)
        with near, far, socket.socket(fileno=number) as high:
            connection.sock = high
            self.assertTrue(exchanges.is_quiet(connection))
            far.send(b"x")
            self.assertFalse(exchanges.is_quiet(connection))

    def test_a_small_answer_is_delivered_to_a_slow_caller(self):
        """Guards against closing callers of answers that are complete."""
        found = readers.run_readers(self.fleet, 20, 0, 5.0, 20)
        self.assertEqual((found.slow_whole, found.slow_cut), (20, 0))

    def test_a_caller_that_pauses_gets_the_whole_answer(self):
        """Guards against taking a pause of the caller for the server's.

        The server was taken for stalled, and another one ran the request
        again.
        """
        before = len(self.fleet.list_runs(*readers.UPSTREAMS))
        caller = readers.Caller(self.fleet.fronts["g1"], 1, 1.0, 4000)
        time.sleep(1.5)
        caller.read_rest(_TIMEOUT)
        self.assertTrue(caller.is_whole)
        runs = len(self.fleet.list_runs(*readers.UPSTREAMS))
        self.assertEqual(runs, before + 1)

    def test_connections_beyond_the_memory_are_closed(self):
        """Guards against idle callers and slow senders that use up a node.

        The gateway may hold 2.8 MB: 100 callers send a request slowly and
        20 send none.
        """
        self.fleet.limits["memoryMb"] = 8
        self.fleet.start_gateway("g2")
        fleet_module.wait_until(
            lambda: self.fleet.is_ready("g2"), _TIMEOUT, "g2"
        )
        host, _, port = self.fleet.fronts["g2"].partition(":")
        opened = [
            socket.create_connection((host, int(port))) for _ in range(120)
        ]
        for sender in opened[20:]:
            sender.sendall(b"POST /safe/x HTTP/1.1\r\nHost: x\r\n")
        fleet_module.wait_until(
            lambda: (
                {"idle", "budget"}
                <= {event["why"] for event in self.list_closed("g2")}
            ),
            _TIMEOUT,
            "closed connections",
        )
        caller = readers.Caller(self.fleet.fronts["g2"], 1, 0.0, 400)
        caller.read_rest(_TIMEOUT)
        self.assertTrue(caller.is_whole)
        for connection in opened:
            connection.close()

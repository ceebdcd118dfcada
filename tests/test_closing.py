"""Servers that close: what has arrived by then is answered."""

import concurrent.futures
import http.client
import itertools
import signal
import socket
import time
import unittest

import eventlet
from eventlet.green import socket as green_socket

from bench import bodies as bench
from bench import fleet
from bench import gateways
from currantwall.state import routes
from currantwall.transport import ingress
from currantwall.transport import server as server_module
from currantwall.transport import timers

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"
_TIMEOUT = 20.0
# Seconds from SIGTERM until a gateway refuses requests, of a grace period
# of 8 s.
_DRAIN_SECONDS = 2.96
_CONNECTIONS = 150
_numbers = itertools.count(1)


class ConnectionsTest(unittest.TestCase):
    def setUp(self):
        timeout = eventlet.Timeout(_TIMEOUT)
        self.addCleanup(timeout.cancel)
        self.shared = ingress.Ingress(
            self.answer, routes.Limits, timers.TimerService.now
        )
        self.targets = []
        listener = ingress.listen("127.0.0.1:0")
        self.address = listener.getsockname()
        self.server = ingress.start_server(listener, self.shared)
        self.addCleanup(self.server.close)

    def answer(self, inbound):
        self.targets.append(inbound.target)
        return ingress.Reply(status=200, headers=[], body=b"whole")

    def connect(self):
        client = green_socket.create_connection(self.address)
        self.addCleanup(client.close)
        return client

    def read(self, client):
        """Return all bytes until the connection ends."""
        return b"".join(iter(lambda: client.recv(65_536), b""))

    def open_kept(self):
        """Return a connection that has served a request."""
        client = self.connect()
        client.sendall(_REQUEST)
        self.assertIn(b" 200 ", client.recv(1000))
        return client

    def close_server(self):
        self.server.close()
        self.shared.end_connections()

    def test_a_request_that_has_arrived_is_answered(self):
        """Guards against a request that runs and gets no answer."""
        client = self.open_kept()
        client.fd.sendall(_REQUEST.replace(b"/x", b"/late"))
        # No other task has run since.
        self.close_server()
        answer = self.read(client)
        self.assertIn(b"Connection: close", answer)
        self.assertTrue(answer.endswith(b"whole"))
        self.assertEqual(self.targets, ["/x", "/late"])

    def test_a_request_that_arrives_in_part_is_answered(self):
        """Guards against cutting a request that is being received."""
        client = self.open_kept()
        client.sendall(_REQUEST[:20])
        eventlet.sleep(0.05)
        self.close_server()
        client.sendall(_REQUEST[20:])
        self.assertTrue(self.read(client).endswith(b"whole"))

    def test_idle_connections_are_closed_at_once(self):
        """Guards against a stop that waits for callers without requests."""
        clients = [self.open_kept() for _ in range(5)]
        began = time.monotonic()
        self.close_server()
        self.assertEqual([self.read(client) for client in clients], [b""] * 5)
        self.assertLess(time.monotonic() - began, 0.4)
        eventlet.sleep(0.05)
        self.assertEqual(self.shared.open_count, 0)

    def test_a_connection_that_was_just_opened_gets_an_answer(self):
        """Guards against a reset of a caller that was told this address."""
        opened = self.connect()
        eventlet.sleep(0.05)
        # The kernel has accepted it, and no task has.
        queued = socket.create_connection(self.address)
        self.addCleanup(queued.close)
        self.close_server()
        eventlet.sleep(0.1)
        for client in (opened, queued):
            client.sendall(_REQUEST)
        self.assertTrue(self.read(opened).endswith(b"whole"))
        self.assertTrue(queued.recv(1000).endswith(b"whole"))

    def test_a_body_that_is_being_received_is_refused(self):
        """Guards against a caller that never learns of the refusal."""
        client = self.connect()
        head = (
            b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3000000\r\n\r\n"
        )
        client.sendall(head + b"x" * 100_000)
        eventlet.sleep(0.05)
        self.close_server()
        client.sendall(b"x" * 2_900_000)
        answer = self.read(client)
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"Connection: close", answer)
        self.assertEqual(self.targets, [])

    def test_an_answer_arrives_though_more_requests_were_sent(self):
        """Guards against a reset that discards the last answer."""
        client = self.open_kept()
        self.shared.is_closing = True
        client.sendall(_REQUEST * 2000)
        eventlet.sleep(0.3)
        self.assertTrue(self.read(client).endswith(b"whole"))


class EntryTest(unittest.TestCase):
    def test_an_entry_that_closes_refuses_requests(self):
        """Guards against requests that run while their entry exits."""
        server = server_module.Server(("127.0.0.1", 0), [], 1000)
        server.start()
        with eventlet.Timeout(_TIMEOUT):
            client = green_socket.create_connection(server.address)
            self.addCleanup(client.close)
            client.sendall(_REQUEST)
            self.assertIn(b" 404 ", client.recv(1000))
            server.close()
            client.sendall(_REQUEST)
            answer = client.recv(1000)
        self.assertIn(b" 503 ", answer)
        self.assertIn(b"Connection: close", answer)


class StopTest(unittest.TestCase):
    """Gateways that stop while callers use kept connections."""

    def setUp(self):
        self.site = self.enterContext(bench.Site(("g1",)))
        self.site.start()

    def open_kept(self):
        host, _, port = self.site.fronts["g1"].partition(":")
        caller = http.client.HTTPConnection(host, int(port), timeout=20)
        caller.connect()
        self.addCleanup(caller.close)
        self.assertEqual(self.ask(caller, f"warm-{next(_numbers)}"), 200)
        return caller

    def ask(self, caller, attempt, path="/unsafe/x", timeout_ms=4000):
        """Return the status of an answer, 0 if the connection was closed."""
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(timeout_ms),
            "Authorization": f"Bearer {gateways.KEY}",
        }
        # A closed connection must not be opened again.
        caller.auto_open = 0
        try:
            caller.request("POST", path, b"x", headers)
            answer = caller.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0

    def test_requests_in_progress_at_the_end_get_an_answer(self):
        """Guards against requests that are cut when the process exits."""
        routes_changed = [
            route | {"timeoutMs": 20_000}
            for route in gateways.make_configuration(1)["routes"]
        ]
        self.site.put_configuration(routes=routes_changed)
        fleet.wait_until(
            lambda: (
                f'"version": {self.site.version}, "before"'
                in self.site.read_log("g1")
            ),
            _TIMEOUT,
            "configuration",
        )
        callers = [self.open_kept() for _ in range(12)]
        stopped = time.monotonic()
        self.site.send_signal("g1", signal.SIGTERM)

        def send(index):
            time.sleep(index * 0.25)
            attempt = f"hang-{index}"
            path = ("/unsafe/hang/x", "/safe/hang/x")[index % 2]
            status = self.ask(callers[index], attempt, path, 20_000)
            return attempt, status, time.monotonic() - stopped

        with concurrent.futures.ThreadPoolExecutor(len(callers)) as pool:
            answers = list(pool.map(send, range(len(callers))))
        self.assertEqual(self.site.wait("g1", 10), 0)
        for attempt, status, after in answers:
            # Not 503 with the promise that it did not run.
            self.assertEqual(status, 502, attempt)
            self.assertLess(after, 8.0)
            self.assertGreater(after, 8.0 * 5 / 6)

    def test_no_request_that_ran_is_without_an_answer(self):
        """Guards against requests lost between refusing and closing."""
        callers = [self.open_kept() for _ in range(_CONNECTIONS)]
        stopped = time.monotonic()
        self.site.send_signal("g1", signal.SIGTERM)

        def send(index):
            at = stopped + _DRAIN_SECONDS - 0.1 + 0.25 * index / _CONNECTIONS
            time.sleep(max(0.0, at - time.monotonic()))
            attempt = f"late-{index}"
            return attempt, self.ask(callers[index], attempt)

        with concurrent.futures.ThreadPoolExecutor(_CONNECTIONS) as pool:
            answers = dict(pool.map(send, range(_CONNECTIONS)))
        self.assertEqual(self.site.wait("g1", 10), 0)
        self.assertLess(time.monotonic() - stopped, 6.0)
        ran = {run["attempt"] for run in self.site.list_runs(*bench.UPSTREAMS)}
        for attempt, status in answers.items():
            self.assertEqual(status == 200, attempt in ran, attempt)
        self.assertLessEqual(set(answers.values()), {0, 200, 503})

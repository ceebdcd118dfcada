"""Listening sockets that go on accepting, and say so when they can't."""

import errno
import http.client
import os
import resource
import socket
import struct
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket as green_socket

from bench import bodies as bench
from bench import gateways
from currantwall.coordination.requests import descriptors
from currantwall.protocol import http as http_protocol
from currantwall.state import routes
from currantwall.transport import buffers
from currantwall.transport import ingress
from currantwall.transport import server as server_module
from currantwall.transport import timers

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
_TIMEOUT = 20.0


class Answers(server_module.Handlers):
    @server_module.route("GET", "/x")
    def answer(self, request):
        return http_protocol.Response(200, (), b"")


class ShortageTest(unittest.TestCase):
    def start_gateway(self):
        """Start a gateway's server; return it and its address."""
        shared = ingress.Ingress(
            lambda _: ingress.Reply(status=200, headers=[], body=b""),
            routes.Limits,
            timers.TimerService.now,
        )
        listener = ingress.listen("127.0.0.1:0")
        acceptor = ingress.start_server(listener, shared)
        self.addCleanup(acceptor.close)
        return acceptor, listener.getsockname()

    def ask(self, address):
        """Return the status of an answer."""
        with eventlet.Timeout(_TIMEOUT):
            client = green_socket.create_connection(address)
            client.sendall(_REQUEST)
            data = client.recv(1000)
            client.close()
            return int(data.split()[1])

    def connect_without_descriptors(self, address):
        """Let a connection wait while the process has no descriptors."""
        client = green_socket.socket()
        eventlet.sleep(0.05)
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (client.fileno(), hard))
        try:
            client.connect(address)
            client.sendall(_REQUEST)
            eventlet.sleep(1.5)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        return client

    def test_a_gateway_accepts_again_after_a_shortage_of_descriptors(self):
        """Guards against a node that refuses all connections for good."""
        acceptor, address = self.start_gateway()
        self.assertEqual(self.ask(address), 200)
        self.assertTrue(acceptor.is_accepting)
        client = self.connect_without_descriptors(address)
        self.assertFalse(acceptor.is_accepting)
        with eventlet.Timeout(_TIMEOUT):
            self.assertIn(b" 200 ", client.recv(1000))
        self.assertEqual(self.ask(address), 200)
        self.assertTrue(acceptor.is_accepting)

    def test_an_entry_accepts_again_after_a_shortage_of_descriptors(self):
        """Guards against an entry that refuses all connections for good."""
        server = server_module.Server(("127.0.0.1", 0), [Answers()], 1000)
        server.start()
        self.addCleanup(server.close)
        address = server.address
        self.assertEqual(self.ask(address), 200)
        client = self.connect_without_descriptors(address)
        with eventlet.Timeout(_TIMEOUT):
            self.assertIn(b" 200 ", client.recv(1000))
        self.assertEqual(self.ask(address), 200)

    def test_a_listening_socket_that_is_lost_is_opened_again(self):
        """Guards against a server whose listening socket was closed."""
        acceptor, address = self.start_gateway()
        eventlet.sleep(0.05)
        lost = acceptor._listener.fd
        # Wakes the task, whose next call fails.
        lost.shutdown(socket.SHUT_RDWR)
        eventlet.sleep(0.3)
        self.assertEqual(self.ask(address), 200)

    def test_a_connection_that_ends_early_is_passed_over(self):
        """Guards against a listener that ends with one connection."""
        acceptor, address = self.start_gateway()
        listener = acceptor._listener
        real, calls = listener.fd, []

        class Failing:
            def accept(self):
                calls.append(1)
                if len(calls) == 1:
                    raise OSError(errno.ECONNABORTED, "aborted")
                return real.accept()

            def __getattr__(self, name):
                return getattr(real, name)

        listener.fd = Failing()
        self.assertEqual(self.ask(address), 200)
        self.assertEqual(self.ask(address), 200)
        self.assertGreater(len(calls), 1)

    def test_no_more_connections_than_the_limit_are_served(self):
        """Guards against connections that leave no descriptors to others."""
        acceptor, address = self.start_gateway()
        acceptor._slots.counter = 2
        clients = [green_socket.create_connection(address) for _ in range(3)]
        for client in clients:
            client.sendall(_REQUEST.replace(b"Connection: close\r\n", b""))
        for client in clients[:2]:
            self.assertIn(b" 200 ", client.recv(1000))
        eventlet.sleep(1.2)
        self.assertFalse(acceptor.is_accepting)
        clients[0].close()
        with eventlet.Timeout(_TIMEOUT):
            self.assertIn(b" 200 ", clients[2].recv(1000))
        self.assertTrue(acceptor.is_accepting)


class ClosedSocketTest(unittest.TestCase):
    def setUp(self):
        self.buffers = buffers.Buffers(
            100_000_000,
            900,
            900,
            mock.Mock(),
            mock.Mock(),
            timers.TimerService.now,
        )

    def close_unread(self):
        """Close a connection with unread bytes; return its other end."""
        listener = ingress.listen("127.0.0.1:0")
        self.addCleanup(listener.close)
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1024)
        client.connect(listener.getsockname())
        accepted, _ = listener.accept()
        opened = self.buffers.open(accepted, "caller")
        opened.fd.send(b"x" * 60_000)
        opened.shutdown(socket.SHUT_RDWR)
        before = len(os.listdir("/proc/self/fd"))
        opened.close()
        self.assertEqual(len(os.listdir("/proc/self/fd")), before)
        self.assertEqual(len(self.buffers._sockets), 1)
        return client

    def test_a_closed_connection_that_is_reset_is_let_go(self):
        """Guards against descriptors of callers that have left."""
        client = self.close_unread()
        self.buffers._check()
        self.assertEqual(len(self.buffers._sockets), 1)
        linger = struct.pack("ii", 1, 0)
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        client.close()
        eventlet.sleep(0.1)
        before = len(os.listdir("/proc/self/fd"))
        self.buffers._check()
        self.assertEqual(len(self.buffers._sockets), 0)
        self.assertEqual(len(os.listdir("/proc/self/fd")), before - 1)

    def test_a_closed_connection_is_held_without_a_free_descriptor(self):
        """Guards against answers that are lost while descriptors are."""
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        with mock.patch.object(
            socket.socket, "dup", side_effect=OSError(errno.EMFILE, "")
        ):
            client = self.close_unread()
        received = b""
        with client:
            client.settimeout(_TIMEOUT)
            while data := client.recv(65_536):
                received += data
        self.assertEqual(len(received), 60_000)


class SharesTest(unittest.TestCase):
    def test_connections_leave_descriptors_to_upstreams(self):
        """Guards against callers that take what upstreams need."""
        for count in (400, 1535, 1570, 2870, 10_436):
            shares = descriptors.divide(count)
            taken = shares.held + shares.directory + shares.peer
            taken += 2 * shares.status + 1
            self.assertLess(taken, 0.85 * (count - 200))
            self.assertGreaterEqual(shares.held, shares.front)


class GatewayShortageTest(unittest.TestCase):
    def setUp(self):
        self.site = self.enterContext(bench.Site(("g1",)))
        self.site.start()
        host, _, port = self.site.fronts["g1"].partition(":")
        self.caller = http.client.HTTPConnection(host, int(port), timeout=20)
        self.addCleanup(self.caller.close)

    def ask(self, attempt):
        """Send a request that needs a new connection to a server."""
        headers = {
            "Host": gateways.HOST,
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {gateways.KEY}",
        }
        self.caller.request("POST", "/unsafe/x", b"x", headers)
        answer = self.caller.getresponse()
        answer.read()
        return answer.status

    def test_a_shortage_of_descriptors_is_not_the_upstreams_failure(self):
        """Guards against avoiding servers for a failure of the node."""
        self.assertEqual(self.ask("before"), 200)
        pid = self.site.get_pid("g1")
        limits = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (8, limits[1]))
        try:
            statuses = [self.ask(f"short-{number}") for number in range(9)]
        finally:
            resource.prlimit(pid, resource.RLIMIT_NOFILE, limits)
        self.assertEqual(set(statuses), {503})
        statuses = [self.ask(f"after-{number}") for number in range(9)]
        self.assertEqual(set(statuses), {200})
        ran = {run["attempt"] for run in self.site.list_runs(*bench.UPSTREAMS)}
        self.assertFalse([name for name in ran if name.startswith("short")])
        events = {line["event"] for line in self.site.read_events("g1")}
        self.assertNotIn("path_lost", events)
        self.assertNotIn("attempt_failed", events)

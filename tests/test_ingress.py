"""Tests of the server for callers, with handlers of their own."""

import os
import random
import socket
import unittest

import eventlet
from eventlet.green import socket as green_socket
import hypothesis
from hypothesis import strategies

from currantwall.state import routes
from currantwall.transport import ingress
from currantwall.transport import listeners
from currantwall.transport import timers
from tests import framing

# Inputs of the comparison with the second parser, and their seed.
_INPUTS = int(os.environ.get("CURRANTWALL_FUZZ_INPUTS", "1500"))
_SEED = int(os.environ.get("CURRANTWALL_FUZZ_SEED", "1"))
_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class IngressTest(unittest.TestCase):
    def serve(self, handler):
        """Start a server; return its `Ingress` and its address."""
        shared = ingress.Ingress(
            handler, routes.Limits, timers.TimerService.now
        )
        listener = ingress.listen("127.0.0.1:0")
        server = ingress.start_server(listener, shared)
        self.addCleanup(server.close)
        return shared, listener.getsockname()

    def ask(self, address, data=_REQUEST):
        with eventlet.Timeout(20):
            client = green_socket.create_connection(address)
            client.sendall(data)
            client.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: client.recv(65_536), b""))

    def test_an_error_in_the_handler_is_answered_and_reported(self):
        """Failure: the connection closes without an answer or a log line.

        The handler raises an unexpected exception, which must be reported.
        """

        def fail(inbound):
            raise KeyError("unheard of")

        shared, address = self.serve(fail)
        reported = []
        shared.on_error = reported.append
        answer = self.ask(address)
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "))
        self.assertEqual([str(error) for error in reported], ["'unheard of'"])

    def test_a_stream_that_is_cut_does_not_look_complete(self):
        """Failure: the caller takes a truncated answer for a complete one."""

        def cut(inbound):
            def parts():
                yield b"half"
                raise ConnectionAbortedError("cut")

            return ingress.Reply(status=200, headers=[], body=parts())

        _, address = self.serve(cut)
        answer = self.ask(address)
        self.assertIn(b"half", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_a_keep_alive_connection_serves_several_requests(self):
        def echo(inbound):
            return ingress.Reply(
                status=200, headers=[], body=inbound.target.encode()
            )

        _, address = self.serve(echo)
        answer = self.ask(address, _REQUEST + _REQUEST.replace(b"/x", b"/y"))
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 2)
        self.assertTrue(answer.endswith(b"/y"))

    def test_limits_that_change_hold_on_kept_connections(self):
        """Guards against a refusal by limits that are no longer in force."""
        shared, address = self.serve(
            lambda _: ingress.Reply(status=200, headers=[], body=b"")
        )
        shared.limits = lambda: routes.Limits(body_bytes=5)
        with eventlet.Timeout(20):
            client = green_socket.create_connection(address)
            client.sendall(_REQUEST)
            self.assertIn(b" 200 ", client.recv(1000))
            eventlet.sleep(0.05)
            shared.limits = routes.Limits
            head = b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n"
            client.sendall(head + b"x" * 10)
            self.assertIn(b" 200 ", client.recv(1000))
            client.close()

    def test_a_closing_server_closes_the_connection_with_each_answer(self):
        shared, address = self.serve(
            lambda _: ingress.Reply(status=200, headers=[], body=b"")
        )
        shared.is_closing = True
        self.assertIn(b"Connection: close", self.ask(address))


_HIDDEN = b"GET /hidden HTTP/1.1\r\nHost: h\r\n\r\n"
# Header lines by which two parsers may find different ends of a request.
_FRAMINGS = (
    b"",
    b"Content-Length: %d\r\n",
    b"Content-Length: %d\r\nContent-Length: %d\r\n",
    b"Content-Length: 0\r\nContent-Length: %d\r\n",
    b"Content-Length: +%d\r\n",
    b"Content-Length: %d, %d\r\n",
    b"Content-Length:\r\n",
    b"Content-Length: -1\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nContent-Length: %d\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding : chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    b"Transfer-Encoding: CHUNKED\r\n",
    b" Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding:\x0bchunked\r\n",
)
_BODIES = (
    b"",
    _HIDDEN,
    b"0\r\n\r\n" + _HIDDEN,
    b"%x\r\n" % len(_HIDDEN) + _HIDDEN + b"\r\n0\r\n\r\n",
    b"5\r\nhello\r\n0\r\nTrailer: x\r\n\r\n",
    b"5;x=y\r\nhello\r\n0\r\n\r\n",
    b"0x5\r\nhello\r\n0\r\n\r\n",
    b"-5\r\nhello\r\n0\r\n\r\n",
    b"5\r\nhelloX\r\n0\r\n\r\n",
)


# Requests that recipients repair or read in different ways.
_AMBIGUOUS_HEADS = (
    b"GET /y HTTP/1.1\nHost: h\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\r\n\n",
    b"GET /y HTTP/1.1\r\nHost: h\rX: y\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\r\r\n\r\n",
    b"\r\n\r\nGET /y HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET  /y HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /y#z HTTP/1.1\r\nHost: h\r\n\r\n",
    b"CONNECT /y HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost : h\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\r\n X: folded\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
    b"GET /y HTTP/1.1\r\nHost: h\r\nContent-Length: " + b"9" * 5000 + b"\r\n",
    b"POST /y HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    b"\r\n0\r\n\r\n",
)
_AMBIGUOUS_CHUNKS = (
    *(b"+5\r\nhello\r\n0\r\n\r\n", b"5 \r\nhello\r\n0\r\n\r\n"),
    *(b" 5\r\nhello\r\n0\r\n\r\n", b"5\nhello\r\n0\r\n\r\n"),
    *(b"5_\r\nhello\r\n0\r\n\r\n", b"000000005\r\nhello\r\n0\r\n\r\n"),
    *(b"5;\r\nhello\r\n0\r\n\r\n", b'5;x="\r\nhello\r\n0\r\n\r\n'),
    *(b"5\r\nhello\n0\r\n\r\n", b"5\r\nhelloXX0\r\n\r\n"),
    *(b"5\r\nhello0\r\n\r\n", b"\r\n5\r\nhello\r\n0\r\n\r\n"),
    *(b"0\r\nHost: i\r\n\r\n", b"0\r\nX : y\r\n\r\n", b"0\r\n\n"),
)


class ListenerTest(unittest.TestCase):
    def test_a_process_listens_while_its_predecessor_ends(self):
        """Failure: a restarted node can't bind its address, and exits."""
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        first = listeners.open_listener(f"127.0.0.1:{port}")
        self.addCleanup(first.close)
        second = listeners.open_listener(f"127.0.0.1:{port}")
        second.close()


class FuzzTest(unittest.TestCase):
    """Compares the server with the reference parser on random requests."""

    def setUp(self):
        self.handled = []

        def handle(inbound):
            self.handled.append((inbound.target, inbound.body))
            return ingress.Reply(status=200, headers=[], body=b"")

        shared = ingress.Ingress(
            handle, routes.Limits, timers.TimerService.now
        )
        listener = ingress.listen("127.0.0.1:0")
        server = ingress.start_server(listener, shared)
        self.addCleanup(server.close)
        self.address = listener.getsockname()

    def check(self, data):
        """Compare the server with the reference parser on some bytes."""
        self.handled.clear()
        answer = b""
        with eventlet.Timeout(20):
            client = green_socket.create_connection(self.address)
            client.sendall(data)
            client.shutdown(socket.SHUT_WR)
            while received := client.recv(65_536):
                answer += received
            client.close()
        expected, is_refused = framing.read_strictly(data)
        statuses = [part[:4] for part in answer.split(b"HTTP/1.1")[1:]]
        self.assertEqual(self.handled, expected, data)
        self.assertEqual(statuses[: len(expected)], [b" 200"] * len(expected))
        # Only the lengths of some inputs are above the limits (413).
        refusals = statuses[len(expected) :]
        self.assertEqual(bool(refusals), is_refused, data)
        self.assertIn(refusals, ([], [b" 400"], [b" 413"]), data)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(_FRAMINGS),
                strategies.sampled_from(_BODIES),
                strategies.integers(-3, 3),
            ),
            min_size=1,
            max_size=3,
        )
    )
    @hypothesis.settings(
        max_examples=400, deadline=None, derandomize=True, database=None
    )
    def test_no_request_is_read_that_another_parser_would_not_read(
        self, parts
    ):
        """A request hidden in another one's body would run.

        Headers disagree about where a body ends, by a little or a lot.
        """
        data = b""
        for number, (fields, body, off) in enumerate(parts):
            size = max(0, len(body) + off)
            count = fields.count(b"%d")
            head = fields % ((size,) * count)
            line = b"POST /r%d HTTP/1.1\r\nHost: h\r\n" % number
            data += line + head + b"\r\n" + body
        self.check(data)

    def test_damaged_requests_are_read_as_by_a_strict_parser(self):
        """Failure: request smuggling by input that parsers repair.

        CURRANTWALL_FUZZ_INPUTS sets another number of inputs.
        """
        source = random.Random(_SEED)
        for _ in range(_INPUTS):
            self.check(framing.make_input(source))

    def test_a_request_that_is_cut_at_any_byte_is_refused(self):
        """Failure: the part that arrived runs, or its sender gets no answer.

        Requests with a length, with chunks and without a body are cut.
        """
        head = b"POST /c HTTP/1.1\r\nHost: h\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
        data = _REQUEST + head + b"Content-Length: 3\r\n\r\nabc"
        data += head + chunked
        for size in range(len(data) + 1):
            self.check(data[:size])

    def test_an_ambiguous_request_ends_its_connection(self):
        """Failure: request smuggling; what follows it is served, too."""
        head = b"POST /y HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
        bodies = [head + b"\r\n\r\n" + body for body in _AMBIGUOUS_CHUNKS]
        for data in (*_AMBIGUOUS_HEADS, *bodies):
            with self.subTest(data):
                self.assertEqual(framing.read_strictly(data), ([], True))
                self.check(data + _REQUEST)

    def test_a_refusal_arrives_while_the_caller_still_sends(self):
        """Failure: the close resets the connection and the answer is lost.

        The server has not read all that its caller sends.
        """
        with eventlet.Timeout(20):
            client = green_socket.create_connection(self.address)
            client.sendall(b"GET /x HTTP/1.1\r\n:\r\n")
            for _ in range(3):
                eventlet.sleep(0.05)
                client.sendall(b"x" * 1000)
            self.assertTrue(client.recv(65_536).startswith(b"HTTP/1.1 400 "))
            client.close()

    def test_bytes_after_a_body_do_not_precede_a_request(self):
        """Failure: request smuggling, as the server skips a bare LF.

        A body is three bytes longer than its Content-Length says. The bytes
        after it begin with a LF that no CR precedes.
        """
        head = b"POST /r0 HTTP/1.1\r\nHost: h\r\n"
        length = b"Content-Length: %d\r\n\r\n" % (len(_HIDDEN) - 3)
        data = head + length + _HIDDEN + _REQUEST
        self.check(data)

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    def test_bytes_that_are_no_request_are_never_handled(self, data):
        self.check(data)
        self.assertEqual(self.handled, [])


if __name__ == "__main__":
    unittest.main()

"""Tests of the server for callers, with handlers of their own."""

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

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class IngressTest(unittest.TestCase):
    def serve(self, handler):
        """Start a server; return its `Ingress` and its address."""
        shared = ingress.Ingress(
            handler, routes.Limits, timers.TimerService.now
        )
        listener = ingress.listen("127.0.0.1:0")
        task = ingress.start_server(listener, shared)
        self.addCleanup(task.kill)
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


def read_naively(data):
    """Return the requests in some bytes, parsed according to RFC 9112.

    This is a second, simple parser for comparison. It stops at the first
    request whose end is ambiguous.
    """
    parsed = []
    while data:
        # Empty lines before a request are ignored (RFC 9112, 2.2).
        while data.startswith(b"\r\n"):
            data = data[2:]
        head, end, rest = data.partition(b"\r\n\r\n")
        if not end:
            break
        first, *lines = head.split(b"\r\n")
        words = first.split(b" ")
        if len(words) != 3 or words[2] != b"HTTP/1.1":
            break
        fields = [line.partition(b":")[::2] for line in lines]
        if any(not name or name != name.strip() for name, _ in fields):
            break
        body_and_rest = split_body(fields, rest)
        if body_and_rest is None:
            break
        body, data = body_and_rest
        parsed.append((words[1].decode(), body))
    return parsed


def split_body(fields, data):
    """Return a body and what follows it; None if its end is ambiguous."""
    lengths = [v.strip() for n, v in fields if n == b"Content-Length"]
    codings = [v for n, v in fields if n == b"Transfer-Encoding"]
    if len(lengths) + len(codings) > 1:
        return None
    if lengths:
        if not lengths[0].isdigit() or int(lengths[0]) > len(data):
            return None
        size = int(lengths[0])
        return data[:size], data[size:]
    if not codings:
        return b"", data
    if codings[0].strip(b" \t").lower() != b"chunked":
        return None
    return split_chunks(data)


def split_chunks(data):
    """Return a chunked body and what follows it; None if it is invalid."""
    body = b""
    while True:
        line, end, data = data.partition(b"\r\n")
        size = line.partition(b";")[0].strip()
        if not end or not size or size.strip(b"0123456789abcdefABCDEF"):
            return None
        if not int(size, 16):
            break
        chunk, data = data[: int(size, 16)], data[int(size, 16) :]
        if len(chunk) < int(size, 16) or data[:2] != b"\r\n":
            return None
        body, data = body + chunk, data[2:]
    while True:
        line, end, data = data.partition(b"\r\n")
        if not end:
            return None
        if not line:
            return body, data


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
        task = ingress.start_server(listener, shared)
        self.addCleanup(task.kill)
        self.address = listener.getsockname()

    def send(self, data):
        self.handled.clear()
        with eventlet.Timeout(20):
            client = green_socket.create_connection(self.address)
            try:
                client.sendall(data)
                client.shutdown(socket.SHUT_WR)
                while client.recv(65_536):
                    continue
            except OSError:
                # The server refused it before it was read completely.
                return
            finally:
                client.close()

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
        for number, (framing, body, off) in enumerate(parts):
            size = max(0, len(body) + off)
            count = framing.count(b"%d")
            head = framing % ((size,) * count)
            line = b"POST /r%d HTTP/1.1\r\nHost: h\r\n" % number
            data += line + head + b"\r\n" + body
        self.send(data)
        expected = read_naively(data)
        self.assertEqual(self.handled, expected[: len(self.handled)])
        if len(parts) == 1 and len(expected) == 1:
            self.assertEqual(self.handled, expected)

    def test_bytes_after_a_body_do_not_precede_a_request(self):
        """Failure: request smuggling, as the server skips a bare LF.

        A body is three bytes longer than its Content-Length says. The bytes
        after it begin with a LF that no CR precedes.
        """
        head = b"POST /r0 HTTP/1.1\r\nHost: h\r\n"
        length = b"Content-Length: %d\r\n\r\n" % (len(_HIDDEN) - 3)
        data = head + length + _HIDDEN + _REQUEST
        self.send(data)
        expected = read_naively(data)
        self.assertEqual(self.handled, expected[: len(self.handled)])

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    def test_bytes_that_are_no_request_are_never_handled(self, data):
        self.send(data)
        self.assertEqual(self.handled, [])


if __name__ == "__main__":
    unittest.main()

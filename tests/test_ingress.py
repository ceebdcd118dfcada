"""The server for callers, with a handler of the test's own."""

import socket
import unittest

import eventlet
from eventlet.green import socket as green_socket

from currantwall.state import routes
from currantwall.transport import ingress
from currantwall.transport import timers

_REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


class IngressTest(unittest.TestCase):
    def serve(self, handler):
        """Start a server; return its shared part and its address."""
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

    def test_a_mistake_in_the_handler_is_answered_and_told(self):
        """A caller would see its connection close without an answer.

        The handler fails for a reason nobody thought of; the log must
        say which, or nobody ever learns of it.
        """

        def fail(inbound):
            raise KeyError("unheard of")

        shared, address = self.serve(fail)
        told = []
        shared.on_error = told.append
        answer = self.ask(address)
        self.assertTrue(answer.startswith(b"HTTP/1.1 500 "))
        self.assertEqual([str(one) for one in told], ["'unheard of'"])

    def test_a_stream_that_is_cut_does_not_look_complete(self):
        """A caller would take the half of a note for the whole."""

        def cut(inbound):
            def parts():
                yield b"half"
                raise ConnectionAbortedError("cut")

            return ingress.Reply(status=200, headers=[], body=parts())

        _, address = self.serve(cut)
        answer = self.ask(address)
        self.assertIn(b"half", answer)
        self.assertFalse(answer.endswith(b"0\r\n\r\n"))

    def test_a_kept_connection_serves_one_request_after_the_other(self):
        def echo(inbound):
            return ingress.Reply(
                status=200, headers=[], body=inbound.target.encode()
            )

        _, address = self.serve(echo)
        answer = self.ask(address, _REQUEST + _REQUEST.replace(b"/x", b"/y"))
        self.assertEqual(answer.count(b"HTTP/1.1 200 OK"), 2)
        self.assertTrue(answer.endswith(b"/y"))

    def test_a_closing_server_says_so_with_each_answer(self):
        shared, address = self.serve(
            lambda _: ingress.Reply(status=200, headers=[], body=b"")
        )
        shared.is_closing = True
        self.assertIn(b"Connection: close", self.ask(address))


if __name__ == "__main__":
    unittest.main()

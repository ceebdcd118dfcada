"""Answers without end, and such without a status, of servers in trouble."""

import contextlib
import socket
import time
import typing

__all__ = ["STATUS_LINES", "Shape", "make_shapes", "send"]

# Bytes of one write, and seconds between two of a slow source.
_BURST_BYTES = 65_536
_TRICKLE_INTERVAL = 0.01


# Lines that begin no answer, by the name of the shape that sends one.
STATUS_LINES = {
    "status-zero": b"HTTP/1.1 000 OK",
    "status-low": b"HTTP/1.1 099 OK",
    "status-long": b"HTTP/1.1 1000 OK",
    "status-signed": b"HTTP/1.1 +20 OK",
    "status-missing": b"HTTP/1.1 OK",
    "status-large": b"HTTP/1.1 600 OK",
    "status-switched": b"HTTP/1.1 101 OK",
    "version-missing": b"200 OK",
    "version-other": b"HTTP/2.0 200 OK",
}


class Shape(typing.NamedTuple):
    """What is sent first, and then over and over unless it is empty."""

    first: bytes
    unit: bytes


def make_shapes(fields: bytes = b"") -> dict[str, Shape]:
    """Return the known shapes by name.

    Args:
        fields: Header lines of the answers, each with its CRLF.
    """
    head = b"HTTP/1.1 200 OK\r\n" + fields
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    events = head + b"Content-Type: text/event-stream\r\n\r\n"
    rest = b"\r\n" + fields + b"Content-Length: 2\r\n\r\nno"
    return {
        **{
            name: Shape(line + rest, b"")
            for name, line in STATUS_LINES.items()
        },
        "interim": Shape(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "interim-headers": Shape(b"HTTP/1.1 100 Continue\r\n", b"A: b\r\n"),
        "garbage": Shape(b"", b"\x00\xff"),
        "lines": Shape(b"", b"x\r\n"),
        "empty-lines": Shape(b"", b"\r\n"),
        "status-line": Shape(b"HTTP/1.1 200 ", b"x"),
        "headers": Shape(head, b"A: b\r\n"),
        "header-line": Shape(head + b"A: ", b"x"),
        "body": Shape(head + b"\r\n", b"x"),
        "chunk-size": Shape(chunked, b"0"),
        "chunk-extension": Shape(chunked + b"5;", b"x"),
        "chunks": Shape(chunked, b"1\r\nx\r\n"),
        "trailers": Shape(chunked + b"0\r\n", b"A: b\r\n"),
        "event": Shape(events + b"id: 1\ndata: ", b"x"),
    }


def send(
    connection: socket.socket,
    shape: Shape,
    is_slow: bool = False,
    sleep: typing.Callable[[float], None] = time.sleep,
) -> None:
    """Send a shape until the other side closes; for a thread of its own.

    Args:
        connection: A socket that blocks.
        shape: What to send.
        is_slow: Whether to send a byte at a time.
        sleep: Waits for some seconds and blocks the thread.
    """
    with contextlib.suppress(OSError):
        connection.sendall(shape.first)
        if not shape.unit:
            return
        if not is_slow:
            data = shape.unit * (_BURST_BYTES // len(shape.unit))
            while True:
                connection.sendall(data)
        while True:
            for byte in shape.unit:
                connection.sendall(bytes([byte]))
                sleep(_TRICKLE_INTERVAL)

"""Reads requests of callers strictly.

As requests are forwarded byte for byte, everything that two parsers might
read differently is refused, which prevents request smuggling.
"""

from collections import abc
import io
import re
import typing

import msgspec
import urllib3

from currantwall.coordination.requests import bodies
from currantwall.state import routes
from currantwall.transport import sockets

__all__ = ["Head", "Malformed", "RequestReader", "Room", "is_invited"]

# Most bytes of the line that begins a chunk.
_MAX_CHUNK_LINE = 256
# The patterns follow the grammar of RFC 9112 and exclude what recipients
# may repair, each in its own way: bare CR and LF, folded lines and
# whitespace before a colon.
_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_LINE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\r\n")
_FIELD_NAME = re.compile(_TOKEN)
# A fragment is not part of a request target, and CONNECT has no path: after
# it, another parser may take what follows for a tunnel's bytes.
_REQUEST_LINE = re.compile(
    rb"(?!CONNECT )("
    + _TOKEN
    + rb") (/[\x21\x22\x24-\x7e]*) (HTTP/1\.[01])\r\n"
)
# More digits may overflow another parser's integer.
_CONTENT_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_LINE = re.compile(
    rb"([0-9A-Fa-f]{1,8})(?:[\t ]*;[\t ]*"
    + _TOKEN
    + rb"(?:[\t ]*=[\t ]*(?:"
    + _TOKEN
    + rb'|"(?:[^"\\\x00-\x08\x0a-\x1f\x7f]|\\[\t\x20-\xff])*"))?)*\r\n'
)
# Fields that would change a request that was already read (RFC 9110, 6.5.1).
_NO_TRAILERS = {b"content-length", b"host", b"transfer-encoding"}


class Malformed(Exception):  # noqa: N818
    """A request that is refused while it is read.

    Attributes:
        status: Status of the answer.
        reason: Text of the answer.
        retry_after: Seconds after which the caller should retry; None if
            it need not be told.
    """

    def __init__(
        self, status: int, reason: str, retry_after: float | None = None
    ) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason
        self.retry_after = retry_after


class Head(msgspec.Struct, frozen=True, kw_only=True):
    """Request line and headers.

    Attributes:
        target: Path and query as sent.
        version: Version of HTTP.
        line: The request line with its end.
        headers: Names and values in the order sent.
    """

    method: str
    target: str
    version: str
    line: str
    headers: urllib3.HTTPHeaderDict


class Room(typing.Protocol):
    """Memory for one body."""

    def reserve(self, size: int) -> None:
        """Wait until there is room for a body of a size in bytes.

        Raises:
            Malformed: There is none in time.
        """

    def invite(self) -> None:
        """Tell a caller that waits for it to send the body."""

    def note_received(self, count: int) -> None:
        """Count bytes of the body that have come."""


class RequestReader:
    """Reads the requests of one connection."""

    def __init__(self, file: io.BufferedReader, turns: sockets.Turns) -> None:
        """Create a reader.

        Args:
            file: What the caller sends.
            turns: Lets other tasks run.
        """
        self._file = file
        self._turns = turns

    def read_head(self, remaining: int) -> Head | None:
        """Return the head of a request, None at the connection's end.

        One empty line before a request is ignored, as RFC 9112 (2.2)
        requires of a server; a second one may be an error to another parser.

        Args:
            remaining: Most bytes of the head.

        Raises:
            Malformed: The head is too long or malformed.
        """
        line = self._read_line(remaining)
        if line == b"\r\n":
            if not self._file.peek(1):
                return None
            remaining -= len(line)
            line = self._read_line(remaining)
        match = _REQUEST_LINE.fullmatch(line)
        if match is None:
            raise Malformed(400, "bad request line")
        remaining -= len(line)
        headers = urllib3.HTTPHeaderDict()
        for name, value in self._read_fields(remaining):
            headers.add(name.decode("ascii"), value.decode("latin-1"))
        version = match[3].decode("ascii")
        _check_framing(headers, version)
        return Head(
            method=match[1].decode("ascii"),
            target=match[2].decode("ascii"),
            version=version,
            line=line.decode("latin-1"),
            headers=headers,
        )

    def read_body(
        self,
        headers: urllib3.HTTPHeaderDict,
        limits: routes.Limits,
        room: Room,
    ) -> bytes | bytearray:
        """Return the body that follows a head.

        Args:
            headers: The headers of the request.
            limits: Limits on its size.
            room: The memory for it.

        Raises:
            Malformed: The body is too large, malformed or has no room.
        """
        chunked = "transfer-encoding" in headers
        length = int(headers.get("content-length", "0"))
        if length > limits.body_bytes:
            raise Malformed(413, "body too large")
        if not chunked and not length:
            return b""
        room.reserve(bodies.SMALL_BYTES if chunked else length)
        if is_invited(headers):
            room.invite()
        if chunked:
            return self._read_chunks(limits, room)
        body = bytearray(length)
        self._read_into(memoryview(body), room, "truncated body")
        return body

    # -- Parts of a request

    def _read_line(self, limit: int, excess_status: int = 431) -> bytes:
        """Return a line with its CRLF.

        Args:
            limit: Most bytes of the line.
            excess_status: Status of the answer to a longer line.

        Raises:
            Malformed: The line is too long, is truncated, or contains a
                control character or a CR or LF before its end.
        """
        line = self._file.readline(limit + 1)
        self._turns.note(len(line))
        if len(line) > limit:
            raise Malformed(excess_status, "line too long")
        if not _LINE.fullmatch(line):
            raise Malformed(400, "bad or truncated line")
        return line

    def _read_fields(
        self, remaining: int
    ) -> abc.Iterator[tuple[bytes, bytes]]:
        """Yield names and values up to and including the empty line."""
        while True:
            line = self._read_line(remaining)
            remaining -= len(line)
            if line == b"\r\n":
                return
            name, colon, value = line.partition(b":")
            if not colon or not _FIELD_NAME.fullmatch(name):
                raise Malformed(400, "bad header")
            yield name, value.strip(b" \t\r\n")

    def _read_into(self, view: memoryview, room: Room, error: str) -> None:
        """Fill a part of a body.

        Raises:
            Malformed: The connection has ended; `error` is the reason.
        """
        filled = 0
        while filled < len(view):
            count = self._file.readinto1(view[filled:])
            if not count:
                raise Malformed(400, error)
            filled += count
            room.note_received(count)
            self._turns.note(count)

    def _read_chunks(
        self, limits: routes.Limits, room: Room
    ) -> bytes | bytearray:
        body = bytearray(min(bodies.SMALL_BYTES, limits.body_bytes))
        size = 0
        while True:
            line = _CHUNK_LINE.fullmatch(self._read_line(_MAX_CHUNK_LINE, 400))
            if line is None:
                raise Malformed(400, "bad chunk size")
            length = int(line[1], 16)
            if not length:
                break
            if size + length > limits.body_bytes:
                raise Malformed(413, "body too large")
            if size + length > len(body):
                body = _enlarge(body, size + length, limits, room)
            with memoryview(body) as view:
                part = view[size : size + length]
                self._read_into(part, room, "bad chunk")
                part.release()
            size += length
            if self._file.read(2) != b"\r\n":
                raise Malformed(400, "bad chunk")
        for name, _ in self._read_fields(limits.header_bytes):
            if name.lower() in _NO_TRAILERS:
                raise Malformed(400, "bad trailer")
        del body[size:]
        return body


def is_invited(headers: urllib3.HTTPHeaderDict) -> bool:
    """Return whether a caller sends the body only once it is told to."""
    return headers.get("expect", "").lower() == "100-continue"


def _enlarge(
    body: bytearray, needed: int, limits: routes.Limits, room: Room
) -> bytearray:
    """Return a larger copy of a body that is received in part."""
    size = bodies.MEDIUM_BYTES
    if needed > size:
        size = limits.body_bytes
    size = min(size, limits.body_bytes)
    room.reserve(size)
    enlarged = bytearray(size)
    enlarged[: len(body)] = body
    return enlarged


def _check_framing(headers: urllib3.HTTPHeaderDict, version: str) -> None:
    """Refuse a request whose length is ambiguous.

    Failure: request smuggling. An upstream reads part of a body as a
    second request, and runs it though no caller sent it.
    """
    if len(headers.getlist("host")) != 1:
        raise Malformed(400, "one Host is needed")
    encodings = headers.getlist("transfer-encoding")
    lengths = headers.getlist("content-length")
    if encodings and (lengths or version == "HTTP/1.0"):
        raise Malformed(400, "chunks with a length or in HTTP/1.0")
    if encodings and [coding.lower() for coding in encodings] != ["chunked"]:
        raise Malformed(400, "unknown transfer encoding")
    if lengths and not (
        len(lengths) == 1 and _CONTENT_LENGTH.fullmatch(lengths[0])
    ):
        raise Malformed(400, "bad length")

"""Reads responses of upstreams strictly.

The standard library and urllib3 repair responses that are framed badly. On
a connection that is reused, a repair may take part of one response for the
next one (response splitting). Here such a response is an error.
"""

import http
import http.client
import io
import re
import typing

from currantwall.transport import sockets

__all__ = [
    "AmbiguousResponse",
    "LimitedResponse",
    "StrictResponse",
    "TruncatedResponse",
    "is_malformed",
]

# The lines of a response follow the grammar of RFC 9112 and exclude what
# recipients may repair. A reason phrase may be missing with its space, as
# many servers send it.
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_STATUS_LINE = re.compile(
    rb"HTTP/1\.[01] [1-5][0-9]{2}(?: " + _TEXT + rb")?\r\n"
)
_FIELD_LINE = re.compile(
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:" + _TEXT + rb")?\r\n"
)
_CHUNK_LINE = re.compile(rb"[0-9A-Fa-f]{1,8}(?:[\t ]*;" + _TEXT + rb")?\r\n")
# More digits may overflow another parser's integer.
_LENGTH = re.compile(r"[0-9]{1,18}")
# Most bytes of the line that begins a chunk, and of a trailer.
_MAX_LINE = 8192
_MAX_TRAILERS = 100
_LINE_END = b"\r\n"
# Most bytes of a head, with its interim answers, and most of the latter.
_MAX_HEAD = 65_536
_MAX_INTERIM = 16
# Seconds from the first byte of a head to its last. A segment that is lost
# twice takes 0.6 s.
_HEAD_TIMEOUT = 1.0


class AmbiguousResponse(http.client.HTTPException):  # noqa: N818
    """A response that another parser might read differently."""


class TruncatedResponse(AmbiguousResponse):
    """A response whose connection ended inside a line."""


class _Reader(io.BufferedReader):
    """Reads lines of one form.

    Attributes:
        form: The form that the next lines must have.
    """

    form = _STATUS_LINE

    def readline(self, size: int | None = -1) -> bytes:
        """Return the next line; no bytes if there is no response.

        Raises:
            AmbiguousResponse: The line is malformed, truncated or too long.
                The standard library takes a connection that ends between
                two headers for the end of the headers.
        """
        line = super().readline(size)
        if not line and self.form is _STATUS_LINE:
            return line
        if not line.endswith(b"\n") and (size is None or len(line) < size):
            raise TruncatedResponse(f"truncated line {line[:80]!r}")
        if not self.form.fullmatch(line):
            raise AmbiguousResponse(f"bad or truncated line {line[:80]!r}")
        return line


class LimitedResponse(http.client.HTTPResponse):
    """A response whose head is limited in size and time."""

    def __init__(
        self, sock: sockets.ResetAwareSocket, *args: typing.Any, **kwargs: str
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._sock = sock
        self._heads = 0

    def begin(self) -> None:
        """Read the status line and the headers.

        Raises:
            LimitExceeded: They, or the interim answers before them, are
                too many or take too long.
        """
        with self._sock.limit(_MAX_HEAD, _HEAD_TIMEOUT):
            super().begin()

    def _read_status(self) -> tuple[str, int, str]:
        self._heads += 1
        if self._heads > _MAX_INTERIM:
            raise sockets.LimitExceeded("too many interim answers")
        status = super()._read_status()  # type: ignore[misc]
        return typing.cast("tuple[str, int, str]", status)


class StrictResponse(LimitedResponse):
    """A response whose framing every parser reads alike.

    If bytes have arrived after its end, `is_ambiguous` of the socket is set.
    """

    def __init__(
        self, sock: sockets.ResetAwareSocket, *args: typing.Any, **kwargs: str
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self._reader = _Reader(self.fp.detach())
        self.fp = self._reader

    def begin(self) -> None:
        """Read the status line and the headers.

        Raises:
            AmbiguousResponse: They or the length they state are ambiguous.
            LimitExceeded: They are too many or take too long.
        """
        super().begin()
        lengths = self.headers.get_all("content-length", [])
        codings = self.headers.get_all("transfer-encoding", [])
        if len(lengths) + len(codings) > 1:
            raise AmbiguousResponse("repeated length, or length and chunks")
        if lengths and not _LENGTH.fullmatch(lengths[0].strip(" \t")):
            raise AmbiguousResponse("bad length")
        if codings and (not self.chunked or self.version < 11):
            raise AmbiguousResponse("unknown transfer encoding")

    def _read_status(self) -> tuple[str, int, str]:
        """Return the status line of the final response.

        The standard library skips interim responses with status 100 alone
        and takes any other for a final one.

        Raises:
            AmbiguousResponse: The line is malformed, or switches to another
                protocol, which no request asks for.
        """
        while True:
            self._reader.form = _STATUS_LINE
            status = super()._read_status()
            self._reader.form = _FIELD_LINE
            if status[1] == http.HTTPStatus.SWITCHING_PROTOCOLS:
                raise AmbiguousResponse("a switch to another protocol")
            if status[1] >= http.HTTPStatus.OK:
                return status
            while self._reader.readline(_MAX_LINE) != _LINE_END:
                pass

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of the current chunk, None after the last.

        Replaces a method of the standard library that ignores what follows
        a chunk and accepts any size that `int` does.
        """
        if self.chunk_left:
            return typing.cast("int", self.chunk_left)
        if self.chunk_left == 0 and self._reader.read(2) != _LINE_END:
            raise AmbiguousResponse("bad end of a chunk")
        self._reader.form = _CHUNK_LINE
        line = self._reader.readline(_MAX_LINE)
        self.chunk_left = int(line[:-2].partition(b";")[0], 16)
        if self.chunk_left:
            return self.chunk_left
        self._read_trailers()
        self.chunk_left = None
        return None

    def _read_trailers(self) -> None:
        self._reader.form = _FIELD_LINE
        for _ in range(_MAX_TRAILERS):
            if self._reader.readline(_MAX_LINE) == _LINE_END:
                self._close_conn()
                return
        raise AmbiguousResponse("too many trailers")

    def _close_conn(self) -> None:
        """Stop reading, and look for bytes that follow the response."""
        if _has_more(self._sock, self._reader):
            self._sock.is_ambiguous = True
        super()._close_conn()  # type: ignore[misc]


def _has_more(
    sock: sockets.ResetAwareSocket, reader: io.BufferedReader
) -> bool:
    """Return whether bytes are in the buffer or the socket; never waits."""
    timeout = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return bool(reader.peek(1))
    except (OSError, ValueError):
        # The connection has failed or is closed.
        return True
    finally:
        sock.settimeout(timeout)


def is_malformed(error: BaseException) -> bool:
    """Return whether a failure is that what came is no answer.

    False if it is that the connection ended before the end of the answer.
    """
    # urllib3 wraps what happens inside a body.
    cause = error.__cause__ or error
    return isinstance(cause, http.client.HTTPException) and not isinstance(
        cause,
        http.client.RemoteDisconnected
        | http.client.IncompleteRead
        | TruncatedResponse,
    )

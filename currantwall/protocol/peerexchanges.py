"""Messages of a request that a peer forwards to an upstream.

The sender posts an `ExchangeRequest` in MessagePack behind its length of four
bytes, and then the body of the request as it is, so that neither side needs a
copy of it. The answer's body is a sequence of
frames, each a length of four bytes and a message in MessagePack: a head, parts
of the body, and an end or a failure. An answer without one of the latter is
incomplete, whatever ended it.
"""

from collections import abc
import struct

import msgspec

__all__ = [
    "PATH",
    "BodyEnd",
    "BodyPart",
    "ExchangeFailed",
    "ExchangeRequest",
    "Frame",
    "FrameReader",
    "ResponseHead",
    "decode_request",
    "encode_frame",
    "encode_request",
]

PATH = "/exchanges"
_LENGTH = struct.Struct("!I")
# Most bytes of one frame; upstreams are read in smaller parts.
_MAX_FRAME_BYTES = 1_048_576

Headers = tuple[tuple[str, str], ...]


class ExchangeRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request and the upstream that it is for.

    Attributes:
        instance: Id of the upstream.
        address: Its host and port.
        target: Path and query, byte for byte as the caller sent them.
        attempt_id: Id of the request, which the answer must repeat before
            its connection is used again.
        timeout: Seconds without a byte after which it fails.
        new_connection: Whether it needs a new connection.
        send_within: Seconds after which it may not be sent any more; None
            for no limit.
        health_path: Path at which the upstream tells its health; empty if
            there is none.
        has_body: Whether a body follows; it may be empty.
    """

    instance: str
    address: str
    method: str
    target: str
    headers: Headers
    has_body: bool
    attempt_id: str
    timeout: float
    new_connection: bool
    send_within: float | None = None
    health_path: str = ""


class ResponseHead(msgspec.Struct, frozen=True, tag="head"):
    """Status and headers of the upstream's answer."""

    status: int
    headers: Headers


class BodyPart(msgspec.Struct, frozen=True, tag="part"):
    """Part of the body."""

    data: bytes


class BodyEnd(msgspec.Struct, frozen=True, tag="end"):
    """The body is complete."""


class ExchangeFailed(msgspec.Struct, frozen=True, tag="failed"):
    """The exchange broke off.

    Attributes:
        may_have_sent: Whether part of the request may have reached the
            upstream.
        step: What failed.
        detail: The error.
        pause: Seconds for which the upstream wants no requests; 0 if it
            has not asked for a pause.
        born: Start of the process that leaves, in Unix milliseconds; 0 if
            unknown or if none does.
    """

    may_have_sent: bool
    step: str
    detail: str
    pause: float = 0.0
    born: int = 0


Frame = ResponseHead | BodyPart | BodyEnd | ExchangeFailed
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_request(request: ExchangeRequest) -> bytes:
    """Return a request with its length; its body is to follow."""
    data = msgspec.msgpack.encode(request)
    return _LENGTH.pack(len(data)) + data


def decode_request(
    data: bytes | bytearray,
) -> tuple[ExchangeRequest, memoryview | None]:
    """Return a request and its body, None if it has none.

    The body refers to the data.

    Raises:
        ValueError, msgspec.MsgspecError: It is malformed.
    """
    view = memoryview(data)
    if len(view) < _LENGTH.size:
        raise ValueError("a request without its length")
    (length,) = _LENGTH.unpack_from(view)
    end = _LENGTH.size + length
    if len(view) < end:
        raise ValueError(f"{len(view)} bytes of a request of {end}")
    request = msgspec.msgpack.decode(
        view[_LENGTH.size : end], type=ExchangeRequest
    )
    return request, view[end:] if request.has_body else None


def encode_frame(frame: Frame) -> bytes:
    """Return a frame with its length."""
    data = msgspec.msgpack.encode(frame)
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Splits bytes into frames."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> abc.Iterator[Frame]:
        """Yield the frames that the data completes.

        Raises:
            ValueError: A frame is too long or malformed.
        """
        self._buffer += data
        while len(self._buffer) >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer)
            if length > _MAX_FRAME_BYTES:
                raise ValueError(f"frame of {length} bytes")
            end = _LENGTH.size + length
            if len(self._buffer) < end:
                return
            frame = self._buffer[_LENGTH.size : end]
            self._buffer = self._buffer[end:]
            yield _DECODER.decode(frame)

"""Peer messages as bytes: a message authentication code, then msgpack."""

import hashlib
import hmac

import msgspec
import result

from currantwall.coordination import wire
from currantwall.protocol import errors

__all__ = ["Codec"]

# HMAC-SHA-256, truncated.
_MAC_BYTES = 16


class Codec:
    """Encodes, authenticates and decodes envelopes with a shared key."""

    def __init__(self, key: str) -> None:
        self._key = key.encode()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(wire.Envelope)

    def encode(self, envelope: wire.Envelope) -> bytes:
        """Return an envelope's authentication code and encoded body."""
        body = self._encoder.encode(envelope)
        return self._compute_mac(body) + body

    def decode(
        self, data: bytes
    ) -> result.Result[wire.Envelope, errors.CallError]:
        """Return the envelope, or an error if the code or body is invalid."""
        mac, body = data[:_MAC_BYTES], data[_MAC_BYTES:]
        if not hmac.compare_digest(mac, self._compute_mac(body)):
            return result.Err(_make_error("wrong key"))
        try:
            return result.Ok(self._decoder.decode(body))
        except msgspec.MsgspecError as error:
            return result.Err(_make_error(str(error)))

    def _compute_mac(self, body: bytes) -> bytes:
        digest = hmac.digest(self._key, body, hashlib.sha256)
        return digest[:_MAC_BYTES]


def _make_error(detail: str) -> errors.CallError:
    return errors.CallError(
        errors.Step.DECODE, "peer", errors.Failure.MALFORMED, detail
    )

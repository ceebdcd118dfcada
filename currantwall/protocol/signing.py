"""Signatures of operators' calls.

A signature is an HMAC of time, method, path and body with the shared key,
so the key itself is never sent.
"""

import hashlib
import hmac

from currantwall.state import numbers

__all__ = ["HEADER", "sign", "verify"]

HEADER = "Currantwall-Signature"
# Seconds that a signature's time may differ from the verifier's clock.
_MAX_TIME_DIFFERENCE = 300.0


def sign(key: str, at: float, method: str, path: str, body: bytes) -> str:
    """Return the header value of a call.

    Args:
        key: The shared key.
        at: Seconds since the Unix epoch.
        method: HTTP method.
        path: Path with its query.
        body: Request body.
    """
    timestamp = str(int(at))
    return f"{timestamp}:{_compute_mac(key, timestamp, method, path, body)}"


def verify(
    key: str, value: str, now: float, method: str, path: str, body: bytes
) -> bool:
    """Return whether a header value is a valid signature of a call.

    Args:
        key: The shared key.
        value: Value of the header; empty if it is missing.
        now: Seconds since the Unix epoch.
        method: HTTP method.
        path: Path with its query.
        body: Request body.
    """
    timestamp, _, signature = value.partition(":")
    seconds = numbers.parse_count(timestamp)
    if seconds is None or abs(now - seconds) > _MAX_TIME_DIFFERENCE:
        return False
    expected = _compute_mac(key, timestamp, method, path, body)
    return hmac.compare_digest(expected, signature)


def _compute_mac(
    key: str, timestamp: str, method: str, path: str, body: bytes
) -> str:
    prefix = f"{timestamp}\n{method}\n{path}\n".encode()
    return hmac.digest(key.encode(), prefix + body, hashlib.sha256).hex()

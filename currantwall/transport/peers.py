"""Fetches the configuration and the list of instances from peers."""

import http.client
import urllib.parse
import zlib

import eventlet
import urllib3

from currantwall.state import numbers
from currantwall.transport import exchanges
from currantwall.transport import ports

__all__ = [
    "CONFIGURATION_PATH",
    "EVACUATIONS_PATH",
    "FAILURES",
    "INSTANCES_PATH",
    "compress",
    "fetch",
    "make_instances_path",
    "parse_since",
]

CONFIGURATION_PATH = "/configuration"
INSTANCES_PATH = "/instances"
EVACUATIONS_PATH = "/evacuations"
# Seconds for a fetch: 3 ms between data centres, plus the time to send
# 0.1 MB to each of fifty nodes over the slowest link.
_FETCH_TIMEOUT = 0.5
# Most bytes of a document. 2,100 instances have 1 MB.
MAX_DOCUMENT_BYTES = 16_777_216
# The fastest level of zlib: 1.5 ms for 0.2 MB.
_COMPRESSION_LEVEL = 1
# What `fetch`, or decoding its result, may raise.
FAILURES = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    *ports.UNREADABLE,
    zlib.error,
    eventlet.Timeout,
)


def fetch(address: str, path: str) -> bytes:
    """Fetch a document from a peer and decompress it.

    Args:
        address: The peer's `host:port`.
        path: Path of the document, with its query.

    Raises:
        One of `FAILURES`.
    """
    with eventlet.Timeout(_FETCH_TIMEOUT):
        connection = exchanges.open_connection(address, _FETCH_TIMEOUT)
        try:
            connection.request("GET", path, preload_content=False)
            response = connection.getresponse()
            try:
                data = exchanges.read_body(response, MAX_DOCUMENT_BYTES)
            finally:
                response.close()
        finally:
            connection.close()
    if response.status != 200:
        raise OSError(f"status {response.status}")
    return _decompress(data)


def _decompress(data: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise ValueError("a document that is truncated or too large")
    return document


def compress(data: bytes) -> bytes:
    """Compress a document for peers.

    A configuration of 1,400 routes has 0.2 MB, and fifty nodes fetch it
    from the two that have it. Compression reduces it to a tenth.
    """
    return zlib.compress(data, _COMPRESSION_LEVEL)


def make_instances_path(since: int) -> str:
    """Return the path of the changes after a revision of the list."""
    return f"{INSTANCES_PATH}?since={since}"


def parse_since(target: str) -> int:
    """Return the revision in a request's target; 0 if it names none."""
    query = urllib.parse.parse_qs(target.partition("?")[2])
    text = query.get("since", ["0"])[0]
    return numbers.parse_count(text, numbers.REVISION_DIGITS) or 0

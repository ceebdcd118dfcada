"""Starts and stops the server of a stand-in process."""

import signal
import typing

import eventlet

from currantwall.state import settings
from currantwall.transport import server

__all__ = ["serve"]

_BODY_LIMIT = 16_777_216  # bytes


def serve(address: str, *handlers: server.Handlers) -> None:
    """Serve handlers on ``host:port`` until SIGTERM or SIGINT."""
    parsed = settings.split_address(address)
    if parsed is None:
        raise SystemExit(f"expected HOST:PORT, got {address!r}")
    listening = server.Server(parsed, handlers, _BODY_LIMIT)

    def stop(number: int, frame: typing.Any) -> None:
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    eventlet.spawn(listening.run).wait()

"""What all stand-in processes share: start, address, stop."""

import signal
import typing

import eventlet

from currantwall.state import settings
from currantwall.transport import server

__all__ = ["serve"]

_BODY_LIMIT = 16_777_216


def serve(address: str, *handlers: server.Handlers) -> None:
    """Serve handlers on ``host:port`` until a signal comes."""
    parsed = settings.split_address(address)
    if parsed is None:
        raise SystemExit(f"expected HOST:PORT, got {address!r}")
    listening = server.Server(parsed, handlers, _BODY_LIMIT)

    def stop(number: int, frame: typing.Any) -> None:
        raise SystemExit(0)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    eventlet.spawn(listening.run).wait()

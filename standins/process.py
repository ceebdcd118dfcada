"""What the stand-in processes have in common: server and refusals."""

import http
import signal
import typing

import eventlet
import eventlet.event

from currantwall.protocol import http as http_protocol
from currantwall.state import settings
from currantwall.transport import server

__all__ = ["make_refusal", "serve"]

_BODY_LIMIT = 16_777_216  # bytes


def make_refusal(
    status: http.HTTPStatus, retry_after: float
) -> http_protocol.Response:
    """Return a refusal.

    Args:
        status: Its status.
        retry_after: Seconds that it asks to wait; 0 for no such request.
    """
    headers = (("Retry-After", f"{retry_after:g}"),) if retry_after else ()
    return http_protocol.Response(status, headers)


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
    listening.start()
    eventlet.event.Event().wait()

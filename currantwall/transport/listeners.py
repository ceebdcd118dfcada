"""Listening sockets.

Imports only the standard library, so that a process can listen before it
loads anything else. Callers that connect while it starts then wait in the
kernel's queue instead of being refused.
"""

import socket

__all__ = ["open_listener"]

# Most connections that wait to be accepted.
_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at `host:port`.

    Raises:
        OSError: The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if int(port):
        # A process may start while its predecessor still listens.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((host, int(port)))
    listener.listen(_BACKLOG)
    return listener

"""Listening sockets.

Loads nothing but the standard library, so that a process can listen
before all else: callers that connect while it starts wait in the kernel
for the moment that is left, where they would be refused.
"""

import socket

__all__ = ["open_listener"]

# Connections that wait to be accepted.
_BACKLOG = 512


def open_listener(address: str) -> socket.socket:
    """Return a socket that listens at `host:port`.

    Raises:
        OSError: The address cannot be had.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    if int(port):
        # A process may start while its predecessor is about to end.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    listener.bind((host, int(port)))
    listener.listen(_BACKLOG)
    return listener

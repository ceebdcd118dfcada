"""A TCP proxy on loopback that injects faults into connections."""

import contextlib
import enum
import socket
import struct
import typing

import eventlet
import greenlet

from bench import fleet as fleet_module
from currantwall.transport import sockets

__all__ = ["Mode", "Proxy"]

_READ_SIZE = 65_536  # bytes
_DELAY = 0.3  # seconds added to bytes and new connections
_POLL_INTERVAL = 0.02  # seconds
_BACKLOG = 256  # connections


class Mode(enum.Enum):
    """What the proxy does to bytes and connections."""

    PASSING = "passing"
    # Bytes are delayed.
    DELAYED = "delayed"
    # Bytes are held in both directions; connections stay open.
    SILENT = "silent"
    # Bytes to the target pass; bytes from it are held.
    ONE_WAY = "one_way"
    # Open and new connections are reset.
    RESETTING = "resetting"


class _Link:
    """One connection through the proxy: two sockets and two tasks.

    A socket is closed only once no task waits for it. Otherwise the next
    socket could get the same file descriptor, and its task would be woken
    by events meant for the closed one.
    """

    def __init__(self, client: typing.Any, server: typing.Any) -> None:
        self._ends = (
            sockets.ResetAwareSocket(client),
            sockets.ResetAwareSocket(server),
        )
        self._tasks: list[typing.Any] = []
        self._passed_ends = 0

    def run(self, proxy: "Proxy") -> None:
        """Copy bytes both ways until both ends have closed."""
        client, server = self._ends
        self._tasks = [
            eventlet.spawn(self._pump, proxy, client, server, False),
            eventlet.spawn(self._pump, proxy, server, client, True),
        ]
        for task in self._tasks:
            with contextlib.suppress(greenlet.GreenletExit):
                task.wait()
        for end in self._ends:
            end.close()

    def reset(self) -> None:
        """End the connection so that both peers see a reset."""
        linger = struct.pack("ii", 1, 0)
        for end in self._ends:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        for task in self._tasks:
            if task is not eventlet.getcurrent():
                task.kill()

    def _pump(
        self,
        proxy: "Proxy",
        source: typing.Any,
        sink: typing.Any,
        is_answer: bool,
    ) -> None:
        buffer = bytearray(_READ_SIZE)
        try:
            while True:
                data = bytes(buffer[: source.recv_into(buffer)])
                proxy.delay_bytes(is_answer)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            self.reset()


class Proxy:
    """Forwards connections to one address.

    Attributes:
        address: HOST:PORT at which the proxy listens.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        # The site's own loopback address, as its target's.
        listening = (host, fleet_module.pick_port(host))
        self.address = f"{host}:{listening[1]}"
        self._mode = Mode.PASSING
        self._links: set[_Link] = set()
        self._listener = eventlet.listen(listening, backlog=_BACKLOG)
        eventlet.spawn_n(self._accept)

    def set_mode(self, mode: Mode) -> None:
        """Set the mode of open and new connections.

        The resetting mode resets the open ones at once.
        """
        self._mode = mode
        if mode is Mode.RESETTING:
            for link in list(self._links):
                link.reset()

    def delay_bytes(self, is_answer: bool) -> None:
        """Wait as long as the mode holds or delays bytes.

        Args:
            is_answer: Whether the bytes come from the target.
        """
        blocking_modes = (
            (Mode.SILENT, Mode.ONE_WAY) if is_answer else (Mode.SILENT,)
        )
        while self._mode in blocking_modes:
            eventlet.sleep(_POLL_INTERVAL)
        if self._mode is Mode.DELAYED:
            eventlet.sleep(_DELAY)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn_n(self._open_link, client)

    def _open_link(self, client: typing.Any) -> None:
        try:
            if self._mode is Mode.RESETTING:
                raise ConnectionAbortedError("resetting")
            self.delay_bytes(False)
            server = eventlet.connect(self._target)
        except OSError:
            # The client sees a reset too when the target is unreachable.
            _reset_socket(client)
            return
        link = _Link(client, server)
        self._links.add(link)
        link.run(self)
        self._links.discard(link)


def _reset_socket(sock: typing.Any) -> None:
    """Close a connection that no task waits for, with a reset."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()

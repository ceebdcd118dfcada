"""A proxy on loopback that makes connections misbehave."""

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

_CHUNK = 65_536
_DELAY = 0.3
_POLL = 0.02
_BACKLOG = 256


class Mode(enum.Enum):
    """What happens to bytes and connections."""

    PASSING = "passing"
    # Bytes arrive late.
    DELAYED = "delayed"
    # Nothing passes either way, and nobody is told.
    SILENT = "silent"
    # Requests arrive and answers don't.
    ONE_WAY = "one_way"
    # Connections are reset, new ones too.
    RESETTING = "resetting"


class _Link:
    """One connection through the proxy: two sockets and two tasks.

    A socket is closed only once nobody waits for it: the next one to get
    its number would be woken in its place.
    """

    def __init__(self, near: typing.Any, far: typing.Any) -> None:
        self._ends = (
            sockets.ResetAwareSocket(near),
            sockets.ResetAwareSocket(far),
        )
        self._tasks: list[typing.Any] = []
        self._passed_ends = 0

    def run(self, proxy: "Proxy") -> None:
        """Carry bytes both ways until both ends have closed."""
        near, far = self._ends
        self._tasks = [
            eventlet.spawn(self._pump, proxy, near, far, False),
            eventlet.spawn(self._pump, proxy, far, near, True),
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
        buffer = bytearray(_CHUNK)
        try:
            while True:
                data = bytes(buffer[: source.recv_into(buffer)])
                proxy.hold(is_answer)
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            self.reset()


class Proxy:
    """Passes connections on to one address."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.address = f"127.0.0.1:{fleet_module.pick_port()}"
        self._mode = Mode.PASSING
        self._links: set[_Link] = set()
        listening = ("127.0.0.1", int(self.address.rpartition(":")[2]))
        self._listener = eventlet.listen(listening, backlog=_BACKLOG)
        eventlet.spawn_n(self._accept)

    def set(self, mode: Mode) -> None:
        """Change what happens; resetting strikes open connections too."""
        self._mode = mode
        if mode is Mode.RESETTING:
            for link in list(self._links):
                link.reset()

    def hold(self, is_answer: bool) -> None:
        """Wait for as long as bytes are held up."""
        held = (Mode.SILENT, Mode.ONE_WAY) if is_answer else (Mode.SILENT,)
        while self._mode in held:
            eventlet.sleep(_POLL)
        if self._mode is Mode.DELAYED:
            eventlet.sleep(_DELAY)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            eventlet.spawn_n(self._join, near)

    def _join(self, near: typing.Any) -> None:
        try:
            if self._mode is Mode.RESETTING:
                raise ConnectionAbortedError("resetting")
            self.hold(False)
            far = eventlet.connect(self._target)
        except OSError:
            # The same in front of the proxy as behind it.
            _reset(near)
            return
        link = _Link(near, far)
        self._links.add(link)
        link.run(self)
        self._links.discard(link)


def _reset(sock: typing.Any) -> None:
    """Close a connection that no task waits for, with a reset."""
    linger = struct.pack("ii", 1, 0)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()

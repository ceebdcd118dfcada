"""Forwards streamed bytes between two sockets without parsing them.

After the headers and the first chunk of a stream, both sides carry the
same bytes: the upstream's chunks are forwarded as they are. One task with
its own poller does this for all streams of the process. Using a green
thread and the WSGI server for each token costs several times as much
(docs/design/requests.md has the figures).

Only the last bytes of a stream are kept, to detect its end and whether it
is complete.
"""

import socket
import time
import typing

import eventlet
import eventlet.event
import eventlet.hubs
import eventlet.patcher

from currantwall.protocol import errors

__all__ = ["Splicer", "ends_at_boundary"]

_select = eventlet.patcher.original("select")
_EPOLLIN = _select.EPOLLIN
_EPOLLOUT = _select.EPOLLOUT
_EPOLLERR = _select.EPOLLERR
_EPOLLHUP = _select.EPOLLHUP
_EPOLLRDHUP = _select.EPOLLRDHUP

# Most bytes received at once.
_RECEIVE_SIZE = 65_536
_LAST_CHUNK = b"\r\n0\r\n\r\n"
_DONE_EVENT = b"data: [DONE]"
# End of a chunk that ends with a complete event: a chunk of this process
# may follow.
_EVENT_BOUNDARY = b"\n\n\r\n"
# Bytes of a stream's end that are kept.
_TAIL_SIZE = 64
# Seconds between two checks for idle streams.
_SWEEP_INTERVAL = 1.0
# Most ready sockets served before other tasks run.
_MAX_READY = 256


class _Stream:
    """One stream that is being forwarded.

    Attributes:
        tail: Its last bytes.
        pending: Bytes that the caller's socket did not accept yet.
        last_received: Monotonic time of the upstream's last bytes.
        done: Sent the failure of the stream, or None, when it ends.
    """

    def __init__(
        self,
        upstream: socket.socket,
        caller: socket.socket,
        tail: bytes,
        peer: str,
    ) -> None:
        self.upstream = upstream
        self.caller = caller
        self.tail = tail
        self.peer = peer
        self.pending = b""
        self.last_received = time.monotonic()
        self.done = eventlet.event.Event()
        self.finished = False

    @property
    def is_whole(self) -> bool:
        """Return whether the stream has its last event and last chunk."""
        return self.tail.endswith(_LAST_CHUNK) and _DONE_EVENT in self.tail


class Splicer:
    """Forwards all streams of a process.

    Attributes:
        chunks: Number of blocks of bytes forwarded so far.
    """

    def __init__(self, idle_timeout: float) -> None:
        self._idle = idle_timeout
        # eventlet's patched module has no epoll; this one never blocks.
        self._poller = _select.epoll()
        self._streams: dict[int, _Stream] = {}
        self._running = False
        self.chunks = 0

    def run(self) -> None:
        """Forward all streams; does not return."""
        self._running = True
        next_sweep = time.monotonic() + _SWEEP_INTERVAL
        descriptor = self._poller.fileno()
        while self._running:
            self._wait(descriptor)
            for ready, flags in self._poller.poll(0, _MAX_READY):
                self._serve(ready, flags)
            eventlet.sleep(0)
            now = time.monotonic()
            if now >= next_sweep:
                next_sweep = now + _SWEEP_INTERVAL
                self._sweep(now)

    @staticmethod
    def _wait(descriptor: int) -> None:
        try:
            eventlet.hubs.trampoline(
                descriptor, read=True, timeout=_SWEEP_INTERVAL
            )
        except eventlet.Timeout:
            return

    def splice(
        self,
        upstream: socket.socket,
        caller: socket.socket,
        first: bytes,
        peer: str,
    ) -> errors.CallError | None:
        """Forward a stream until it ends.

        Args:
            upstream: Socket to read the rest of the stream from.
            caller: Socket to write it to.
            first: Bytes that were read already but not forwarded; they
                begin a chunk.
            peer: Name of the upstream, for errors.

        Returns:
            How the stream failed, None if it is complete.
        """
        stream = _Stream(upstream, caller, b"", peer)
        if not self._forward(stream, first):
            return _make_error(peer, errors.Failure.CLOSED, "the caller left")
        if stream.tail.endswith(_LAST_CHUNK):
            return self._check_end(stream)
        self._streams[upstream.fileno()] = stream
        self._streams[caller.fileno()] = stream
        try:
            self._update_interest(stream)
            failure = stream.done.wait()
        finally:
            self._unregister(stream)
        return typing.cast("errors.CallError | None", failure)

    # -- The poller

    def _update_interest(self, stream: _Stream) -> None:
        """Register the events that a stream waits for.

        The upstream is not read while bytes for the caller are pending, so
        a slow caller delays only its own stream and memory use is bounded.
        """
        if stream.pending:
            self._set_flags(stream.caller, _EPOLLOUT)
            self._set_flags(stream.upstream, 0)
        else:
            self._set_flags(stream.caller, _EPOLLRDHUP)
            self._set_flags(stream.upstream, _EPOLLIN | _EPOLLRDHUP)

    def _set_flags(self, sock: socket.socket, flags: int) -> None:
        try:
            self._poller.modify(sock.fileno(), flags)
        except FileNotFoundError:
            self._poller.register(sock.fileno(), flags)

    def _unregister(self, stream: _Stream) -> None:
        stream.finished = True
        for sock in (stream.upstream, stream.caller):
            self._streams.pop(sock.fileno(), None)
            try:
                self._poller.unregister(sock.fileno())
            except (FileNotFoundError, ValueError):
                continue

    def _serve(self, ready: int, flags: int) -> None:
        stream = self._streams.get(ready)
        if stream is None or stream.finished:
            return
        if ready == stream.caller.fileno():
            self._serve_caller(stream, flags)
        else:
            self._serve_upstream(stream)

    def _serve_caller(self, stream: _Stream, flags: int) -> None:
        if flags & (_EPOLLHUP | _EPOLLERR | _EPOLLRDHUP):
            closed = errors.Failure.CLOSED
            self._end(
                stream, _make_error(stream.peer, closed, "the caller left")
            )
            return
        data, stream.pending = stream.pending, b""
        if not self._forward(stream, data, is_retry=True):
            closed = errors.Failure.CLOSED
            self._end(
                stream, _make_error(stream.peer, closed, "the caller left")
            )
        elif not stream.pending:
            self._update_interest(stream)
            self._end_if_complete(stream)

    def _serve_upstream(self, stream: _Stream) -> None:
        try:
            data = stream.upstream.recv(_RECEIVE_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            data = b""
        if not data:
            self._end(stream, self._make_cut_error(stream))
            return
        if not self._forward(stream, data):
            closed = errors.Failure.CLOSED
            self._end(
                stream, _make_error(stream.peer, closed, "the caller left")
            )
        elif stream.pending:
            self._update_interest(stream)
        else:
            self._end_if_complete(stream)

    def _forward(
        self, stream: _Stream, data: bytes, is_retry: bool = False
    ) -> bool:
        """Send bytes to the caller without blocking.

        Args:
            stream: The stream.
            data: The bytes; those not accepted become pending.
            is_retry: Whether they were pending before.

        Returns:
            Whether the caller is still connected.
        """
        if not is_retry:
            stream.tail = (stream.tail + data)[-_TAIL_SIZE:]
            stream.last_received = time.monotonic()
            self.chunks += 1
        try:
            sent = stream.caller.send(data) if data else 0
        except (BlockingIOError, InterruptedError):
            sent = 0
        except OSError:
            return False
        if sent < len(data):
            stream.pending = data[sent:]
        return True

    # -- Ends

    def _end_if_complete(self, stream: _Stream) -> None:
        if stream.tail.endswith(_LAST_CHUNK):
            self._end(stream, self._check_end(stream))

    @staticmethod
    def _check_end(stream: _Stream) -> errors.CallError | None:
        """Return the failure of a stream that has sent its last chunk."""
        if stream.is_whole:
            return None
        return _make_error(
            stream.peer, errors.Failure.TRUNCATED, "no end mark"
        )

    @staticmethod
    def _make_cut_error(stream: _Stream) -> errors.CallError:
        """Return the failure of a stream whose upstream disconnected."""
        at_boundary = stream.tail.endswith(_EVENT_BOUNDARY)
        detail = "at a boundary" if at_boundary else "inside a chunk"
        return _make_error(stream.peer, errors.Failure.TRUNCATED, detail)

    @staticmethod
    def _end(stream: _Stream, failure: errors.CallError | None) -> None:
        if not stream.finished:
            stream.finished = True
            stream.done.send(failure)

    def _sweep(self, now: float) -> None:
        """End the streams that were idle for too long."""
        for stream in set(self._streams.values()):
            if now - stream.last_received > self._idle:
                stalled = errors.Failure.TIMEOUT
                self._end(stream, _make_error(stream.peer, stalled, "idle"))


def _make_error(
    peer: str, failure: errors.Failure, detail: str
) -> errors.CallError:
    return errors.CallError(errors.Step.BODY, peer, failure, detail)


def ends_at_boundary(failure: errors.CallError) -> bool:
    """Return whether an error event may follow a truncated stream."""
    return failure.detail == "at a boundary"

"""Requests to upstreams by way of a peer.

A node that has no path to upstreams sends each request to a peer that has
one. The peer does nothing but one exchange with the upstream that the sender
has chosen; the sender decides on retries and limits, as for its own
exchanges.
"""

from collections import abc
import itertools
import math
import socket
import typing

import eventlet
import eventlet.greenthread
import eventlet.hubs
import eventlet.queue
import msgspec
import urllib3

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import paths as paths_module
from currantwall.protocol import names as names_module
from currantwall.protocol import peerexchanges
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import advisories as advisories_module
from currantwall.transport import crashes as crashes_module
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import metrics as metrics_module
from currantwall.transport import paths as path_checks
from currantwall.transport import ports
from currantwall.transport import requests

__all__ = ["PeerExchange", "PeerExchanges"]

Reply = ingress.Reply

_FORWARDED = "currantwall.exchanges.forwarded"
_READ_SIZE = 65_536
# Messages of an upstream above which it is not read: a sender whose caller
# reads slowly must not fill the memory of its peers.
_INBOX_LIMIT = 2


class _Cancelled(msgspec.Struct, frozen=True):
    """Message: the sender has closed its connection."""


class PeerExchange(exchanges.Exchange):
    """An exchange that a peer carries out."""

    def __init__(
        self, peer: presence_module.NodeEntry, *options: typing.Any
    ) -> None:
        """Start the exchange.

        Args:
            peer: The peer.
            options: Arguments of `Exchange`; the connections are those to
                peers.
        """
        self._peer = peer
        super().__init__(*options)

    def _run(self) -> None:
        try:
            self._connection = self._connections.take(
                ids.InstanceId(self._peer.id),
                self._peer.peer,
                self._outbound.new_connection,
            )
            response = self._response = self._post()
            self._read_frames(response)
        except exchanges.FAILURES as error:
            detail = f"{self._peer.id}: {type(error).__name__}: {error}"
            step = exchanges.PEER
            if isinstance(error, exchanges.Exhausted):
                step = exchanges.EXHAUSTED
            self._put(
                exchanges.Failed(
                    self.number, self._may_have_sent, step, detail
                )
            )
        finally:
            # Also reached when the task is killed.
            self._close()

    def _post(self) -> urllib3.BaseHTTPResponse:
        """Send the request to the peer and return its answer's head."""
        connection, outbound = self._connection, self._outbound
        assert connection is not None
        connection.timeout = outbound.timeout
        connection.sock.settimeout(outbound.timeout)
        left = outbound.send_by - self._connections.now()
        head = peerexchanges.encode_request(
            peerexchanges.ExchangeRequest(
                instance=self._instance,
                address=self._address,
                method=outbound.method,
                target=outbound.target,
                headers=outbound.headers,
                has_body=outbound.body is not None,
                attempt_id=outbound.attempt_id,
                timeout=outbound.timeout,
                new_connection=outbound.new_connection,
                send_within=None if left == math.inf else left,
                health_path=outbound.health_path,
            )
        )
        body = outbound.body or b""
        self._may_have_sent = True
        connection.request(
            "POST",
            peerexchanges.PATH,
            body=(head, body),
            headers={"Content-Length": str(len(head) + len(body))},
            preload_content=False,
        )
        response = connection.getresponse()
        if response.status != 200:
            self._may_have_sent = False
            raise OSError(f"status {response.status}")
        return response

    def _read_frames(self, response: urllib3.BaseHTTPResponse) -> None:
        """Turn the frames into messages, up to the last one.

        Raises:
            OSError: The answer ends without an end or a failure.
        """
        reader = peerexchanges.FrameReader()
        while True:
            data = response.read1(_READ_SIZE, decode_content=False)
            if not data:
                raise OSError("its answer is incomplete")
            for frame in reader.feed(data):
                if isinstance(frame, peerexchanges.ResponseHead):
                    headers = urllib3.HTTPHeaderDict(frame.headers)
                    self._put(
                        exchanges.Head(self.number, frame.status, headers)
                    )
                elif isinstance(frame, peerexchanges.BodyPart):
                    self._put_data(frame.data)
                else:
                    self._finish_frames(response)
                    self._put(self._make_last(frame))
                    return

    def _finish_frames(self, response: urllib3.BaseHTTPResponse) -> None:
        """Keep the connection, if nothing follows the last frame."""
        connection = self._connection
        if response.read1(1, decode_content=False) or connection is None:
            return
        if connection.sock is None or connection.sock.is_ambiguous:
            return
        self._connection = self._response = None
        self._connections.give_back(
            ids.InstanceId(self._peer.id),
            connection,
            exchanges.read_keep_alive(response.headers),
        )

    def _make_last(
        self, frame: peerexchanges.BodyEnd | peerexchanges.ExchangeFailed
    ) -> exchanges.End | exchanges.Failed:
        if isinstance(frame, peerexchanges.BodyEnd):
            return exchanges.End(self.number)
        step = frame.step
        if self._backlog is not None and self._backlog.was_held:
            step = exchanges.HELD
        return exchanges.Failed(
            self.number,
            frame.may_have_sent,
            step,
            frame.detail,
            frame.pause,
            frame.born,
        )


class PeerExchanges:
    """Carries out the exchanges that peers ask for.

    Attributes:
        in_flight: Number of exchanges in progress.
        is_stopping: Whether new ones are refused because the process is
            about to end.
    """

    def __init__(
        self,
        paths: paths_module.Paths,
        checks: path_checks.PathChecks,
        fleet: upstreams.Fleet,
        connections: exchanges.Connections,
        crashes: crashes_module.Crashes,
        advisories: advisories_module.Advisories,
        names: names_module.HeaderNames,
        meter: metrics_module.Metrics,
    ) -> None:
        self._paths = paths
        self._checks = checks
        self._crashes = crashes
        self._advisories = advisories
        self._fleet = fleet
        self._connections = connections
        self._names = names
        self._meter = meter
        self._numbers = itertools.count(1)
        self.in_flight = 0
        self.is_stopping = False

    def serve(self, inbound: ingress.Inbound) -> Reply:
        """Return the frames of an exchange, 503 if it was not begun."""
        try:
            asked, body = peerexchanges.decode_request(inbound.body)
        except ports.UNREADABLE:
            return Reply(status=400, headers=[], body=b"")
        listed = self._fleet.get(ids.InstanceId(asked.instance))
        if self.is_stopping or self._paths.is_lost:
            return Reply(status=503, headers=[], body=b"")
        if listed is None or listed.address != asked.address:
            return Reply(status=503, headers=[], body=b"")
        withdrawal = self._advisories.find_withdrawal(listed)
        if withdrawal is not None:
            return _refuse_withdrawn(listed, withdrawal)
        if self._is_quarantined(asked, body):
            return _refuse(
                peerexchanges.ExchangeFailed(
                    False, exchanges.QUARANTINE, crashes_module.REASON
                )
            )
        return Reply(
            status=200,
            headers=[],
            body=self._exchange(asked, body, listed, inbound.client),
        )

    def _is_quarantined(
        self, asked: peerexchanges.ExchangeRequest, body: memoryview | None
    ) -> bool:
        """Return whether a request is kept from upstreams.

        Failure: a node that hears from few others sends one by way of a
        peer that knows better.
        """
        prompt = requests.read_prompt(
            asked.method,
            asked.target,
            urllib3.HTTPHeaderDict(asked.headers),
            body or b"",
            self._names,
        )
        delay = self._crashes.quarantine.find_retry_after(
            prompt.causes, self._connections.now()
        )
        return delay is not None

    def _exchange(
        self,
        asked: peerexchanges.ExchangeRequest,
        body: memoryview | None,
        upstream: upstreams.Upstream,
        client: typing.Any,
    ) -> abc.Iterator[bytes]:
        """Yield the frames of one exchange."""
        self._meter.add(_FORWARDED, 1)
        started = self._connections.now()
        inbox = eventlet.queue.LightQueue(_INBOX_LIMIT)
        exchange = exchanges.Exchange(
            next(self._numbers),
            ids.InstanceId(asked.instance),
            asked.address,
            exchanges.Outbound(
                method=asked.method,
                target=asked.target,
                headers=asked.headers,
                body=body,
                attempt_id=asked.attempt_id,
                timeout=asked.timeout,
                new_connection=asked.new_connection,
                send_by=started
                + (
                    math.inf
                    if asked.send_within is None
                    else asked.send_within
                ),
            ),
            inbox,
            self._connections,
            self._names,
        )
        watcher = eventlet.spawn_n(_watch_sender, client, inbox)
        self.in_flight += 1
        framing: exchanges.Framing | None = None
        try:
            while True:
                message = inbox.get()
                if isinstance(message, _Cancelled):
                    return
                if isinstance(message, exchanges.Head):
                    framing = message.framing
                    # The upstream has asked this node as well.
                    self._advisories.note_head(
                        asked.attempt_id, upstream, message
                    )
                message = self._check_end(asked, upstream, framing, message)
                yield peerexchanges.encode_frame(
                    self._make_frame(message, started)
                )
                if isinstance(message, exchanges.End | exchanges.Failed):
                    return
        finally:
            self.in_flight -= 1
            eventlet.greenthread.kill(watcher)
            exchange.cancel()

    def _check_end(
        self,
        asked: peerexchanges.ExchangeRequest,
        upstream: upstreams.Upstream,
        framing: exchanges.Framing | None,
        message: typing.Any,
    ) -> typing.Any:
        """Return a message, or the failure of an answer that a crash ended.

        Only this node can tell: the sender has no path to the upstream. The
        upstream is asked as it was known before; it may be unlisted by now,
        or listed with a later start.
        """
        if isinstance(message, exchanges.Failed):
            has_ended = message.may_have_sent and self._crashes.has_crashed(
                upstream, asked.health_path
            )
        else:
            is_open_end = framing is exchanges.Framing.CLOSE and isinstance(
                message, exchanges.End
            )
            has_ended = is_open_end and self._crashes.is_ended_by_crash(
                upstream, asked.health_path, self._connections.now()
            )
        if not has_ended:
            return message
        return exchanges.Failed(
            message.exchange, True, exchanges.CRASH, "the upstream crashed"
        )

    def _make_frame(
        self, message: typing.Any, started: float
    ) -> peerexchanges.Frame:
        if isinstance(message, exchanges.Head):
            return peerexchanges.ResponseHead(
                message.status, tuple(message.headers.iteritems())
            )
        if isinstance(message, exchanges.Data):
            return peerexchanges.BodyPart(message.data)
        if isinstance(message, exchanges.End):
            return peerexchanges.BodyEnd()
        step = message.step
        if step == exchanges.EXHAUSTED:
            # The sender may choose another peer.
            step = exchanges.PEER
        elif not message.may_have_sent and not self._checks.verify(started):
            # This node has lost its path too; the upstream may be well.
            step = exchanges.PEER
        return peerexchanges.ExchangeFailed(
            message.may_have_sent, step, message.detail
        )


def _refuse_withdrawn(
    upstream: upstreams.Upstream, withdrawal: advisories_module.Withdrawal
) -> Reply:
    """Return the answer to a request for an upstream that wants none."""
    if withdrawal.is_leaving:
        step, detail = exchanges.LEAVING, "the upstream leaves"
    else:
        step, detail = exchanges.PAUSED, "the upstream wants a pause"
    return _refuse(
        peerexchanges.ExchangeFailed(
            False, step, detail, withdrawal.pause, upstream.born
        )
    )


def _refuse(refused: peerexchanges.ExchangeFailed) -> Reply:
    """Return the only frame of an exchange that is not begun."""
    frame = peerexchanges.encode_frame(refused)
    return Reply(status=200, headers=[], body=iter((frame,)))


def _watch_sender(
    client: typing.Any, inbox: eventlet.queue.LightQueue
) -> None:
    """Put a message into the inbox when the sender disconnects.

    If the inbox is full, the task that empties it is writing and notices.
    """
    sock = getattr(client, "fd", client)
    while True:
        try:
            eventlet.hubs.trampoline(sock.fileno(), read=True)
            if sock.recv(1, socket.MSG_PEEK):
                return
        except BlockingIOError:
            continue
        except (OSError, ValueError):
            pass
        # A put that does not block leaves a waiter behind if its task is
        # killed, and the queue fails when it serves that.
        if not inbox.full():
            inbox.put(_Cancelled())
        return

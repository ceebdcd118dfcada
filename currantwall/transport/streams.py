"""Event streams, forwarded to callers event by event.

If its upstream fails, a stream is resumed at another one after the last
complete event, if its route allows that. The caller sees one answer.
"""

import typing

from currantwall.coordination.requests import attempts
from currantwall.protocol import events
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import requests
from currantwall.transport import sending

__all__ = ["Streams"]

Failure = attempts.Failure
Reply = ingress.Reply

# Seconds to wait for an upstream that can resume a stream. Callers give up
# after two seconds without an event.
_RESUME_TIMEOUT = 1.6
_STREAM_TYPE = "text/event-stream"


class Streams:
    """Serves requests that are answered by an event stream."""

    def __init__(self, sender: sending.Sender) -> None:
        self._sender = sender

    def serve(self, request: requests.Request) -> Reply:
        """Return the answer once its first event has arrived.

        An answer that is no event stream is returned whole.

        Raises:
            requests.Refused: No upstream has answered.
        """
        while True:
            try:
                current = self._sender.send(
                    request, self._choose_wait(request)
                )
                first = self._await_first(request, current)
            except requests.CallerDisconnected:
                return self._sender.abandon(request, current)
            if first is None:
                continue
            assert current.head is not None
            if isinstance(first, Reply):
                return self._sender.deliver(request, current, first)
            splitter, ready, ended = first
            return Reply(
                status=current.head.status,
                headers=sending.drop_hop_headers(current.head.headers),
                body=self._relay(request, current, splitter, ready, ended),
            )

    @staticmethod
    def _choose_wait(request: requests.Request) -> float:
        """Return how long to wait for an upstream, in seconds.

        A request that may have run can't be refused as not run. As long as
        its stream may be resumed, waiting for a replica to recover serves
        the caller better than an error.
        """
        return _RESUME_TIMEOUT if request.progress.runs else 0.0

    def _await_first(
        self, request: requests.Request, current: requests.Attempt
    ) -> "Reply | tuple[events.Splitter, list[events.Event], bool] | None":
        """Wait for the first events of an attempt.

        Returns:
            The splitter, the first complete events, and whether the stream
            has ended; a whole reply if the answer is no event stream; None
            if the attempt failed and may be retried.
        """
        splitter = events.Splitter()
        plain_body: list[bytes] | None = None
        while True:
            is_plain = plain_body is not None
            message = self._receive_message(
                request, current, None if is_plain else splitter, None
            )
            if message is None:
                return None
            if isinstance(message, exchanges.Head):
                current.head = message
                failure = self._sender.classify(message, request)
                if failure is not None and (
                    failure is not Failure.ERROR
                    or self._sender.may_retry(request)
                ):
                    why = f"status {message.status}"
                    self._sender.fail_attempt(request, current, failure, why)
                    return None
                content_type = message.headers.get("content-type", "")
                if message.status != 200 or not content_type.startswith(
                    _STREAM_TYPE
                ):
                    plain_body = []
            elif isinstance(message, exchanges.Data):
                if plain_body is not None:
                    plain_body.append(message.data)
                    continue
                ready = splitter.feed(message.data)
                if ready:
                    self._sender.note_first(request, current)
                    return splitter, ready, False
            elif plain_body is not None:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=sending.drop_hop_headers(current.head.headers),
                    body=b"".join(plain_body),
                )
            else:
                return splitter, [], True

    def _check_end(
        self,
        request: requests.Request,
        current: requests.Attempt,
        splitter: events.Splitter | None,
        message: typing.Any,
    ) -> typing.Any:
        """Return a message, or the failure of a stream that was cut off."""
        if splitter is None or not isinstance(message, exchanges.End):
            return message
        current.rest = len(splitter.rest)
        is_delimited = current.framing is not exchanges.Framing.CLOSE
        is_cut_off = attempts.is_cut_off(
            splitter.is_inside_event,
            request.progress.started or bool(request.last_event),
            is_delimited,
        )
        if not is_cut_off and not is_delimited:
            is_cut_off = self._sender.is_ended_by_crash(current)
        if not is_cut_off:
            return message
        backlog = request.inbound.backlog
        is_held = backlog is not None and backlog.was_held
        return exchanges.Failed(
            current.exchange.number,
            True,
            exchanges.HELD if is_held else "body",
            f"ended with {current.rest} bytes of an event",
        )

    def _receive_message(
        self,
        request: requests.Request,
        current: requests.Attempt,
        splitter: events.Splitter | None,
        stall_timeout: float | None,
    ) -> typing.Any:
        """Return the next message of a stream, None if it failed.

        Args:
            request: The request.
            current: The attempt that is in progress.
            splitter: Splits its body into events; None if the answer is
                no event stream.
            stall_timeout: Seconds of silence that count as a stall; None
                before the first event, for which the route's timeout holds.
        """
        timeout = stall_timeout or attempts.get_first_event_timeout(
            request.route
        )
        probe_delay = (
            attempts.PROBE_DELAY
            if stall_timeout
            else attempts.FIRST_PROBE_DELAY
        )
        if not self._sender.may_retry(request):
            timeout = None
        probe_requested = False
        while True:
            now = self._sender.now()
            silent_since = current.last_message_at
            if stall_timeout is None:
                # Before the first event, messages that answer other
                # requests show that the upstream works.
                last_message = self._sender.get_last_message_time(
                    current.upstream.id
                )
                silent_since = max(silent_since, last_message)
            until = request.deadline
            if timeout is not None:
                until = min(until, silent_since + timeout)
            if now >= until and not self._has_message(request, now):
                self._sender.fail_stalled(request, current)
                return None
            if not probe_requested:
                until = min(until, max(silent_since + probe_delay, now))
            message = self._sender.receive_message(request, current, until)
            message = self._check_end(request, current, splitter, message)
            if isinstance(message, exchanges.Failed):
                self._sender.fail_interrupted(request, current, message)
                return None
            if message is not None:
                return message
            if (
                not probe_requested
                and self._sender.now() >= silent_since + probe_delay
            ):
                probe_requested = True
                self._sender.on_probe_requested(current.upstream.id)

    def _relay(
        self,
        request: requests.Request,
        current: requests.Attempt,
        splitter: events.Splitter,
        ready: list[events.Event],
        ended: bool,
    ) -> typing.Iterator[bytes]:
        """Yield complete events; resume elsewhere if the upstream fails.

        Args:
            request: The request.
            current: The attempt that is in progress.
            splitter: Splits its body into events.
            ready: Events that have arrived and were not yielded yet.
            ended: Whether the body is complete.

        Raises:
            requests.StreamAborted: The stream can't be resumed, or the
                caller has disconnected.
        """
        request.progress.started = True
        status = 200
        try:
            while True:
                new_events = [
                    event for event in ready if self._is_new(request, event)
                ]
                if new_events:
                    request.last_event = (
                        new_events[-1].id or request.last_event
                    )
                    request.note_events(self._sender.now())
                    yield b"".join(event.data for event in new_events)
                    self._note_written(request, current)
                if ended:
                    if splitter.rest:
                        yield splitter.rest
                    return
                previous = current.last_message_at
                message = self._receive_message(
                    request, current, splitter, attempts.STALL_TIMEOUT
                )
                if message is None:
                    current, splitter, ready, ended = self._resume(request)
                elif isinstance(message, exchanges.Data):
                    self._sender.note_pause(
                        current, current.last_message_at - previous
                    )
                    ready = splitter.feed(message.data)
                else:
                    ready, ended = [], True
        except (requests.Refused, requests.CallerDisconnected) as error:
            status = 0
            request.aborted_because = str(error) or "the caller left"
            current.exchange.cancel()
            raise requests.StreamAborted(str(error)) from None
        except GeneratorExit:
            status = 0
            current.exchange.cancel()
            raise
        finally:
            request.watcher.kill()
            is_delimited = current.framing is not exchanges.Framing.CLOSE
            self._sender.end_attempt(current, bool(status) and is_delimited)
            if status:
                self._sender.note_success(current)
            self._sender.note_answer(request, current, status)

    @staticmethod
    def _has_message(request: requests.Request, now: float) -> bool:
        """Return whether a message waits, so that nobody was silent.

        Failure: this node was late, as when many callers connect at once,
        and takes upstreams for stalled whose messages it has not read.
        """
        is_bounded = request.inbound.backlog is not None
        is_waiting = is_bounded and not request.inbox.empty()
        return is_waiting and now < request.deadline

    def _note_written(
        self, request: requests.Request, current: requests.Attempt
    ) -> None:
        """Record that the caller has accepted all events so far.

        Failure: the time in which the caller accepted nothing counts as
        silence of the upstream, whose messages were waiting. A healthy
        upstream is taken for stalled and the stream is started again.
        """
        if request.inbound.backlog is not None:
            request.note_written()
            current.last_message_at = self._sender.now()

    @staticmethod
    def _is_new(request: requests.Request, event: events.Event) -> bool:
        """Return whether the caller has not received an event yet.

        A resumed stream may repeat events.
        """
        last = request.last_event
        if last.isdecimal() and event.id.isdecimal():
            return int(event.id) > int(last)
        return True

    def _resume(
        self, request: requests.Request
    ) -> tuple[requests.Attempt, events.Splitter, list[events.Event], bool]:
        """Resume a stream at another upstream.

        Returns:
            The attempt, its splitter, its first events, and whether the
            stream has ended.

        Raises:
            requests.Refused: No upstream can resume the stream in time.
            requests.CallerDisconnected: The caller closed its connection.
        """
        until = self._sender.now() + _RESUME_TIMEOUT
        while True:
            wait = max(0.0, until - self._sender.now())
            current = self._sender.send(request, wait)
            try:
                first = self._await_first(request, current)
            except BaseException:
                current.exchange.cancel()
                self._sender.end_attempt(current)
                raise
            if isinstance(first, Reply):
                self._sender.fail_attempt(
                    request, current, Failure.ERROR, "no stream"
                )
            elif first is not None:
                return current, *first

"""Streams of events, passed on event by event.

A stream whose upstream fails goes on at another one after the last whole
event, where its route allows that; the caller sees one answer.
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

# Seconds a stream may pause while no upstream is left to go on with it;
# callers leave after two seconds without an event.
_PAUSE_LIMIT = 1.6
_STREAM_TYPE = "text/event-stream"


class Streams:
    """Serves requests that are answered by events."""

    def __init__(self, sender: sending.Sender) -> None:
        self._sender = sender

    def serve(self, request: requests.Request) -> Reply:
        """Return a stream once its first event, or its failure, is in."""
        while True:
            try:
                current = self._sender.send(
                    request, self._choose_wait(request)
                )
                first = self._await_first(request, current)
            except requests.CallerLeft:
                return self._sender.abandon(request, current)
            if first is None:
                continue
            assert current.head is not None
            if isinstance(first, Reply):
                return self._sender.deliver(request, current, first)
            splitter, ready, ended = first
            return Reply(
                status=current.head.status,
                headers=sending.keep_headers(current.head.headers),
                body=self._relay(request, current, splitter, ready, ended),
            )

    @staticmethod
    def _choose_wait(request: requests.Request) -> float:
        """Return how long to wait for an upstream.

        A request that may have run cannot be refused as not run: while
        its stream may go on elsewhere, waiting for a replica to be mended
        serves its caller better than a failure.
        """
        return _PAUSE_LIMIT if request.progress.runs else 0.0

    def _await_first(
        self, request: requests.Request, current: requests.Try
    ) -> "Reply | tuple[events.Splitter, list[events.Event], bool] | None":
        """Return what an attempt begins with, None if it failed."""
        splitter = events.Splitter()
        whole: list[bytes] | None = None
        while True:
            message = self._next_message(request, current, None)
            if message is None:
                return None
            if isinstance(message, exchanges.Head):
                current.head = message
                failure = self._sender.classify(message, request)
                if failure is not None and (
                    failure is not Failure.ERROR
                    or self._sender.may_go_on(request)
                ):
                    why = f"status {message.status}"
                    self._sender.fail(request, current, failure, why)
                    return None
                kind = message.headers.get("content-type", "")
                if message.status != 200 or not kind.startswith(_STREAM_TYPE):
                    whole = []
            elif isinstance(message, exchanges.Data):
                if whole is not None:
                    whole.append(message.data)
                    continue
                ready = splitter.feed(message.data)
                if ready:
                    self._sender.note_first(request, current)
                    return splitter, ready, False
            elif whole is not None:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=sending.keep_headers(current.head.headers),
                    body=b"".join(whole),
                )
            else:
                return splitter, [], True

    def _next_message(
        self,
        request: requests.Request,
        current: requests.Try,
        gap: float | None,
    ) -> typing.Any:
        """Return the next message of a stream, None if it failed.

        Args:
            request: The request.
            current: The attempt that is under way.
            gap: Seconds of silence that count as a stall; None before
                the first event.
        """
        patience = gap or attempts.get_first_event_timeout(request.route)
        doubt = attempts.PROBE_DELAY if gap else attempts.FIRST_PROBE_DELAY
        if not self._sender.may_go_on(request):
            patience = None
        doubted = False
        while True:
            now = self._sender.now()
            start = current.heard
            if gap is None:
                # Before the first event others tell whether it works.
                pulse = self._sender.get_pulse(current.upstream.id)
                start = max(start, pulse)
            until = request.limit
            if patience is not None:
                until = min(until, start + patience)
            if now >= until:
                self._sender.end_silence(request, current)
                return None
            if not doubted:
                until = min(until, max(start + doubt, now))
            message = self._sender.next_message(request, current, until)
            if isinstance(message, exchanges.Failed):
                self._sender.note_broken(request, current, message)
                return None
            if message is not None:
                return message
            if not doubted and self._sender.now() >= start + doubt:
                doubted = True
                self._sender.on_doubt(current.upstream.id)

    def _relay(
        self,
        request: requests.Request,
        current: requests.Try,
        splitter: events.Splitter,
        ready: list[events.Event],
        ended: bool,
    ) -> typing.Iterator[bytes]:
        """Yield whole events; go on at another upstream if one fails."""
        request.progress.started = True
        status = 200
        try:
            while True:
                fresh = [one for one in ready if self._is_next(request, one)]
                if fresh:
                    request.last_event = fresh[-1].id or request.last_event
                    request.note_events(self._sender.now())
                    yield b"".join(one.data for one in fresh)
                if ended:
                    if splitter.rest:
                        yield splitter.rest
                    return
                before = current.heard
                message = self._next_message(
                    request, current, attempts.STALL_TIMEOUT
                )
                if message is None:
                    current, splitter, ready, ended = self._resume(request)
                elif isinstance(message, exchanges.Data):
                    self._sender.note_pause(current, current.heard - before)
                    ready = splitter.feed(message.data)
                else:
                    ready, ended = [], True
        except (requests.Refused, requests.CallerLeft) as error:
            status = 0
            current.exchange.cancel()
            raise requests.Cut(str(error)) from None
        except GeneratorExit:
            status = 0
            current.exchange.cancel()
            raise
        finally:
            request.watcher.kill()
            self._sender.finish(current)
            if status:
                self._sender.note_success(current)
            self._sender.note_answer(request, current, status)

    @staticmethod
    def _is_next(request: requests.Request, event: events.Event) -> bool:
        """Return whether the caller lacks an event."""
        last = request.last_event
        if last.isdecimal() and event.id.isdecimal():
            return int(event.id) > int(last)
        return True

    def _resume(
        self, request: requests.Request
    ) -> tuple[requests.Try, events.Splitter, list[events.Event], bool]:
        """Go on with a stream at another upstream."""
        until = self._sender.now() + _PAUSE_LIMIT
        while True:
            wait = max(0.0, until - self._sender.now())
            current = self._sender.send(request, wait)
            try:
                first = self._await_first(request, current)
            except BaseException:
                current.exchange.cancel()
                self._sender.finish(current)
                raise
            if isinstance(first, Reply):
                self._sender.fail(request, current, Failure.ERROR, "no stream")
            elif first is not None:
                return current, *first

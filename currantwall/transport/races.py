"""The attempts of one event stream; the first that goes on serves it.

An upstream that is silent may be down, or may go on in a second. Its attempt
therefore stays open while another upstream is asked to go on with the stream.
The caller gets the next event from whichever sends it first; the other
attempt is cancelled then.

Failure: an attempt is ended for its silence, and the stream with it, because
the upstream that was asked instead is silent as well. All of them would have
gone on.
"""

from collections import abc
import math
import typing

import msgspec

from currantwall.coordination.requests import attempts
from currantwall.protocol import events
from currantwall.state import numbers
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import requests
from currantwall.transport import sending

__all__ = ["Batch", "Race"]

Failure = attempts.Failure
Reply = ingress.Reply

# Seconds to wait for an upstream that can resume a stream. Callers give up
# after two seconds without an event.
_RESUME_TIMEOUT = 1.6
# Seconds between two tries to find an upstream beside a silent one.
_START_INTERVAL = 0.05
_STREAM_TYPE = "text/event-stream"


class Batch(msgspec.Struct, frozen=True):
    """Events that the caller is to get.

    Attributes:
        events: Complete events.
        has_ended: Whether the stream is complete.
        rest: Bytes after the last event of a complete stream.
    """

    events: list[events.Event]
    has_ended: bool = False
    rest: bytes = b""


class _Runner:
    """One attempt, and what has arrived of its answer."""

    def __init__(self, attempt: requests.Attempt) -> None:
        self.attempt = attempt
        self.splitter = events.Splitter()
        # Body of an answer that is no event stream; None if it is one.
        self.plain_body: list[bytes] | None = None
        # When a probe was last requested; minus infinity if none was since
        # its last message.
        self.probed_at = -math.inf

    @property
    def has_begun(self) -> bool:
        """Return whether it has sent an event."""
        return self.attempt.begun_at is not None


class Race:
    """The attempts of one request whose answer is an event stream.

    Attributes:
        current: The attempt that served the last event, or else the one
            that was started last; None before the first.
    """

    def __init__(
        self, sender: sending.Sender, request: requests.Request
    ) -> None:
        self._sender = sender
        self._request = request
        self._runners: list[_Runner] = []
        # Whether an attempt is to be started beside the silent ones.
        self._is_start_due = False
        self._next_start = 0.0
        # Until when to wait for an upstream, once no attempt is left.
        self._resume_until: float | None = None
        self.current: requests.Attempt | None = None

    def advance(self) -> Batch | Reply:
        """Wait for the next events.

        Returns:
            The events; a whole reply if the answer is no event stream.

        Raises:
            requests.Refused: No upstream goes on with the stream.
            requests.CallerDisconnected: The caller closed its connection.
        """
        while True:
            if not self._runners:
                self._start(self._get_resume_time())
            message = self._sender.receive_message(
                self._request,
                [runner.attempt for runner in self._runners],
                self._find_wake_time(),
            )
            found = None
            if message is not None:
                found = self._handle(message)
            if found is not None:
                return found
            self._check_silence()

    def cancel(self) -> None:
        """Cancel all attempts."""
        for runner in self._runners:
            self._sender.drop_attempt(self._request, runner.attempt)
        self._runners.clear()

    def note_written(self) -> None:
        """Record that the caller has accepted all events so far.

        Failure: the time in which the caller accepted nothing counts as
        silence of the upstream, whose messages were waiting. A healthy
        upstream is taken for stalled and the stream is started again.
        """
        if self._request.inbound.backlog is not None:
            self._request.note_written()
            for runner in self._runners:
                runner.attempt.last_message_at = self._sender.now()

    # -- Starting attempts

    def _get_resume_time(self) -> float:
        """Return how long to wait for an upstream, in seconds.

        A request that may have run can't be refused as not run. As long as
        its stream may be resumed, waiting for a replica to recover serves
        the caller better than an error.
        """
        if not self._request.progress.runs:
            return 0.0
        now = self._sender.now()
        if self._resume_until is None:
            self._resume_until = now + _RESUME_TIMEOUT
        return max(0.0, self._resume_until - now)

    def _start(self, wait: float) -> None:
        """Start an attempt.

        Raises:
            requests.Refused: No upstream can or may take the request.
        """
        self._is_start_due = False
        self.current = self._sender.send(self._request, wait)
        self._runners.append(_Runner(self.current))

    def _start_beside(self) -> None:
        """Start an attempt beside the silent ones, if an upstream is free."""
        try:
            self._start(0.0)
        except requests.Refused:
            # A silent upstream may still go on.
            self._is_start_due = True
            self._next_start = self._sender.now() + _START_INTERVAL

    # -- Silence

    def _find_wake_time(self) -> float:
        """Return the monotonic time until which to wait for a message."""
        until = self._request.deadline
        if self._is_start_due:
            until = min(until, self._next_start)
        for runner in self._runners:
            for at in self._list_times(runner):
                until = min(until, at)
        return until

    def _list_times(self, runner: _Runner) -> abc.Iterator[float]:
        """Yield when something is due if an attempt remains silent."""
        silent_since = self._get_silent_since(runner)
        yield self._get_probe_time(runner, silent_since)
        stall_timeout = self._get_stall_timeout(runner)
        if stall_timeout is not None:
            yield silent_since + stall_timeout
        if runner.attempt.is_doubted:
            yield silent_since + attempts.LOSS_PATIENCE

    @staticmethod
    def _get_probe_time(runner: _Runner, silent_since: float) -> float:
        """Return when to probe an upstream if it remains silent.

        Failure: it is sound at the first probe, and ends after that.
        """
        delay = attempts.get_probe_delay(runner.has_begun)
        return max(
            silent_since + delay, runner.probed_at + attempts.PROBE_INTERVAL
        )

    def _get_silent_since(self, runner: _Runner) -> float:
        """Return when an upstream was last known to work.

        Before the first event, messages that answer other requests show
        that it does.
        """
        attempt = runner.attempt
        if runner.has_begun:
            return attempt.last_message_at
        last_message = self._sender.get_last_message_time(attempt.upstream.id)
        return max(attempt.last_message_at, last_message)

    def _get_stall_timeout(self, runner: _Runner) -> float | None:
        """Return the silence after which another upstream is asked.

        None if none may be asked.
        """
        if runner.attempt.is_held or not self._sender.may_retry(self._request):
            return None
        if runner.has_begun:
            return attempts.STALL_TIMEOUT
        return attempts.get_first_event_timeout(self._request.route)

    def _check_silence(self) -> None:
        """Do what is due because of silent upstreams.

        Raises:
            requests.Refused: The deadline has passed, or no upstream goes
                on with the stream.
        """
        now = self._sender.now()
        if now >= self._request.deadline:
            raise self._end_timed_out()
        if not self._request.inbox.empty():
            # This node was late, as when many callers connect at once;
            # nobody was silent.
            return
        for runner in tuple(self._runners):
            self._check_runner(runner, now)
        if self._is_start_due and self._runners and now >= self._next_start:
            self._start_beside()

    def _check_runner(self, runner: _Runner, now: float) -> None:
        silent_since = self._get_silent_since(runner)
        silent = now - silent_since
        if now >= self._get_probe_time(runner, silent_since):
            runner.probed_at = now
            self._sender.on_probe_requested(runner.attempt.upstream.id)
        timeout = self._get_stall_timeout(runner)
        if timeout is not None and silent >= timeout:
            self._hold(runner, "silent")
        if runner.attempt.is_doubted and silent >= attempts.LOSS_PATIENCE:
            why = f"{exchanges.VERDICT}: member lost"
            self._fail(runner, Failure.LOST, why)

    def _hold(self, runner: _Runner, why: str) -> None:
        """Keep a silent attempt open, and ask another upstream if allowed."""
        if self._sender.hold_attempt(self._request, runner.attempt, why):
            self._is_start_due = True
            self._next_start = 0.0

    def _end_timed_out(self) -> requests.Refused:
        """End all attempts at the request's deadline; return the error."""
        last = self._runners.pop()
        self.cancel()
        return self._sender.end_timed_out(self._request, last.attempt)

    # -- Messages

    def _handle(self, message: typing.Any) -> Batch | Reply | None:
        """Return what a message completes, None if that is nothing.

        Raises:
            requests.Refused: It ends the last attempt, and the request is
                not retried.
        """
        runner = next(
            runner
            for runner in self._runners
            if runner.attempt.exchange.number == message.exchange
        )
        runner.probed_at = -math.inf
        if isinstance(message, exchanges.End):
            message = self._check_end(runner, message)
        if isinstance(message, exchanges.Failed):
            return self._handle_failure(runner, message)
        if isinstance(message, exchanges.Head):
            return self._handle_head(runner, message)
        if isinstance(message, exchanges.Data):
            return self._handle_data(runner, message)
        return self._handle_end(runner)

    def _handle_failure(
        self, runner: _Runner, failed: exchanges.Failed
    ) -> None:
        if failed.step == exchanges.VERDICT:
            runner.attempt.is_doubted = True
            if self._get_stall_timeout(runner) is not None:
                self._hold(runner, f"{failed.step}: {failed.detail}")
            return
        self._end_runner(
            runner,
            lambda: self._sender.fail_interrupted(
                self._request, runner.attempt, failed
            ),
        )

    def _handle_head(self, runner: _Runner, head: exchanges.Head) -> None:
        runner.attempt.head = head
        failure = self._sender.classify(head, self._request)
        is_last = len(self._runners) == 1
        if failure is not None and (
            failure is not Failure.ERROR
            or not is_last
            or self._sender.may_retry(self._request)
        ):
            self._fail(runner, failure, f"status {head.status}")
            return
        content_type = head.headers.get("content-type", "")
        if head.status == 200 and content_type.startswith(_STREAM_TYPE):
            return
        if self._request.progress.started:
            self._fail(runner, Failure.ERROR, "no stream")
            return
        runner.plain_body = []

    def _handle_data(
        self, runner: _Runner, message: exchanges.Data
    ) -> Batch | None:
        if runner.plain_body is not None:
            runner.plain_body.append(message.data)
            return None
        attempt = runner.attempt
        ready = runner.splitter.feed(message.data)
        if ready and not runner.has_begun:
            self._sender.note_first(self._request, attempt)
        new = [event for event in ready if self._is_new(event)]
        if not new:
            return None
        self._choose(runner)
        return Batch(new)

    def _handle_end(self, runner: _Runner) -> Batch | Reply:
        self._choose(runner)
        if runner.plain_body is None:
            return Batch([], True, runner.splitter.rest)
        assert runner.attempt.head is not None
        return Reply(
            status=runner.attempt.head.status,
            headers=sending.drop_hop_headers(runner.attempt.head.headers),
            body=b"".join(runner.plain_body),
        )

    def _choose(self, winner: _Runner) -> None:
        """Go on with one attempt, and cancel the others."""
        for runner in self._runners:
            if runner is not winner:
                self._sender.drop_attempt(self._request, runner.attempt)
        self._runners = [winner]
        self.current = winner.attempt
        self._is_start_due = False
        self._resume_until = None

    def _check_end(
        self, runner: _Runner, message: exchanges.End
    ) -> exchanges.End | exchanges.Failed:
        """Return a message, or the failure of a stream that was cut off."""
        attempt, splitter = runner.attempt, runner.splitter
        if runner.plain_body is not None:
            if not self._sender.is_cut_short(self._request, attempt):
                return message
            return exchanges.Failed(message.exchange, True, "body", "cut")
        attempt.rest = len(splitter.rest)
        is_delimited = attempt.framing is not exchanges.Framing.CLOSE
        is_cut_off = attempts.is_cut_off(
            splitter.is_inside_event,
            self._request.progress.started or bool(self._request.last_event),
            is_delimited,
        )
        if not is_cut_off and not self._sender.is_cut_short(
            self._request, attempt
        ):
            return message
        backlog = self._request.inbound.backlog
        is_held = backlog is not None and backlog.was_held
        return exchanges.Failed(
            attempt.exchange.number,
            True,
            exchanges.HELD if is_held else "body",
            f"ended with {attempt.rest} bytes of an event",
        )

    def _fail(self, runner: _Runner, failure: Failure, why: str) -> None:
        self._end_runner(
            runner,
            lambda: self._sender.fail_attempt(
                self._request, runner.attempt, failure, why
            ),
        )

    def _end_runner(
        self, runner: _Runner, end: abc.Callable[[], None]
    ) -> None:
        """End an attempt that has failed.

        Args:
            runner: The attempt.
            end: Records the failure; raises `Refused` if the request is
                not retried.
        """
        self._runners.remove(runner)
        try:
            end()
        except requests.Refused:
            if not self._runners:
                raise
            return
        # An attempt that is not silent takes the place of the failed one.
        self._is_start_due = bool(self._runners) and all(
            runner.attempt.is_held for runner in self._runners
        )
        self._next_start = 0.0

    def _is_new(self, event: events.Event) -> bool:
        """Return whether the caller has not received an event yet.

        A resumed stream may repeat events.
        """
        last = numbers.parse_count(self._request.last_event)
        current = numbers.parse_count(event.id)
        return last is None or current is None or current > last

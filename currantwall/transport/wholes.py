"""Answers that are buffered whole before they are forwarded.

A buffered answer is checked before the caller sees any of it: one that is
truncated, unsigned or meant for another request is never forwarded.
"""

import typing

from currantwall.coordination.requests import attempts
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import requests
from currantwall.transport import sending

__all__ = ["WholeAnswers"]

Failure = attempts.Failure
# Why an attempt failed whose connection was not open in time.
_UNOPENED = "not open in time"
Reply = ingress.Reply


class WholeAnswers:
    """Serves requests to plain services."""

    def __init__(self, sender: sending.Sender) -> None:
        self._sender = sender

    def serve(self, request: requests.Request) -> Reply:
        """Return a whole answer.

        If every attempt fails, the last answer with a status of 500 or
        above is returned.

        Raises:
            requests.Refused: No upstream has answered.
        """
        error_reply: Reply | None = None
        while True:
            try:
                current = self._sender.send(request)
                outcome = self._await_answer(request, current)
                if isinstance(outcome, Reply):
                    is_error = outcome.status >= 500
                    if not is_error:
                        return self._sender.deliver(request, current, outcome)
                    error_reply = outcome
                    self._sender.fail_attempt(
                        request, current, Failure.ERROR, "its failure"
                    )
            except requests.Refused:
                if error_reply is None:
                    raise
                return self._sender.deliver(request, current, error_reply)
            except requests.CallerDisconnected:
                return self._sender.abandon(request, current)

    def _await_answer(
        self, request: requests.Request, current: requests.Attempt
    ) -> Reply | None:
        """Return the answer of an attempt.

        Returns:
            The answer; None if the attempt failed and may be retried.

        Raises:
            requests.Refused: The attempt failed and is not retried.
            requests.CallerDisconnected: The caller closed its connection.
        """
        timeout = attempts.get_answer_timeout(request.route)
        parts: list[bytes] = []
        until = request.deadline
        if timeout is not None and request.progress.runs + 1 < (
            request.route.attempts
        ):
            until = min(until, current.sent_at + timeout)
        message = self._receive_first(request, current, until)
        while True:
            if message is None:
                if not self._note_silence(request, current):
                    return None
                until = request.deadline
            elif isinstance(message, exchanges.Failed):
                self._sender.fail_interrupted(request, current, message)
                return None
            elif isinstance(message, exchanges.Head):
                until = request.deadline
                current.head = message
                failure = self._sender.classify(message, request)
                if failure not in (None, Failure.ERROR):
                    assert failure is not None
                    why = f"status {message.status}"
                    self._sender.fail_attempt(request, current, failure, why)
                    return None
            elif isinstance(message, exchanges.Data):
                parts.append(message.data)
            elif self._sender.is_cut_short(request, current):
                self._sender.fail_attempt(
                    request, current, Failure.LOST, sending.CUT_SHORT
                )
                return None
            else:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=sending.drop_hop_headers(current.head.headers),
                    body=b"".join(parts),
                )
            message = self._sender.receive_message(request, (current,), until)

    def _note_silence(
        self, request: requests.Request, current: requests.Attempt
    ) -> bool:
        """End an attempt that was not answered in time, if that helps.

        Returns:
            Whether it goes on, as no other may take its place.

        Raises:
            requests.Refused: The time of the request is up, or the attempt
                has failed and is not repeated.
        """
        if self._sender.now() >= request.deadline - 0.002:
            raise self._sender.end_timed_out(request, current)
        if not self._sender.may_replace(request, current):
            return True
        self._sender.fail_attempt(
            request, current, Failure.STALLED, "no answer"
        )
        return False

    def _receive_first(
        self,
        request: requests.Request,
        current: requests.Attempt,
        until: float,
    ) -> typing.Any:
        """Return the first message of an attempt, None if none came in time.

        Failure: the opening of a connection is not answered, and a request
        waits for that while other upstreams are idle.
        """
        # A peer tells by itself whether it could open the connection.
        if not (current.was_suspect or current.peer):
            opened_by = current.sent_at + attempts.CONNECT_PATIENCE
            message = self._sender.receive_message(
                request, (current,), min(until, opened_by)
            )
            if message is not None:
                return message
            if opened_by < until and self._sender.is_unopened(current):
                return exchanges.Failed(
                    current.exchange.number, False, "connect", _UNOPENED
                )
        return self._sender.receive_message(request, (current,), until)

"""Answers that are passed on whole, once their last byte is in.

A whole answer can be judged before the caller sees any of it: one that
is cut off, not signed, or meant for another request is never passed on.
"""

from currantwall.coordination.requests import attempts
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import requests
from currantwall.transport import sending

__all__ = ["WholeAnswers"]

Failure = attempts.Failure
Reply = ingress.Reply


class WholeAnswers:
    """Serves requests of plain services."""

    def __init__(self, sender: sending.Sender) -> None:
        self._sender = sender

    def serve(self, request: requests.Request) -> Reply:
        """Return a whole answer; an upstream's own failure is one."""
        kept: Reply | None = None
        while True:
            try:
                current = self._sender.send(request)
                outcome = self._await_answer(request, current)
                if isinstance(outcome, Reply):
                    failed = outcome.status >= 500
                    if not failed:
                        return self._sender.deliver(request, current, outcome)
                    kept = outcome
                    self._sender.fail(
                        request, current, Failure.ERROR, "its failure"
                    )
            except requests.Refused:
                if kept is None:
                    raise
                return self._sender.deliver(request, current, kept)
            except requests.CallerLeft:
                return self._sender.abandon(request, current)

    def _await_answer(
        self, request: requests.Request, current: requests.Try
    ) -> Reply | None:
        """Return an attempt's answer, or None once it was noted failed."""
        patience = attempts.get_answer_timeout(request.route)
        parts: list[bytes] = []
        until = request.limit
        if patience is not None and request.progress.runs + 1 < (
            request.route.attempts
        ):
            until = min(until, current.sent + patience)
        while True:
            message = self._sender.next_message(request, current, until)
            if message is None:
                late = self._sender.now() >= request.limit - 0.002
                request.progress.runs += 1 if late else 0
                if late:
                    current.exchange.cancel()
                    self._sender.finish(current)
                    raise self._sender.end(request, "time is up", 0.0)
                self._sender.fail(
                    request, current, Failure.STALLED, "no answer"
                )
                return None
            if isinstance(message, exchanges.Failed):
                self._sender.note_broken(request, current, message)
                return None
            if isinstance(message, exchanges.Head):
                until = request.limit
                current.head = message
                failure_ = self._sender.classify(message, request)
                if failure_ not in (None, Failure.ERROR):
                    assert failure_ is not None
                    why = f"status {message.status}"
                    self._sender.fail(request, current, failure_, why)
                    return None
            elif isinstance(message, exchanges.Data):
                parts.append(message.data)
            else:
                assert current.head is not None
                return Reply(
                    status=current.head.status,
                    headers=sending.keep_headers(current.head.headers),
                    body=b"".join(parts),
                )

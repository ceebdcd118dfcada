"""Attempts of one event stream, with a sender of the test's own."""

import unittest
from unittest import mock

from currantwall.coordination.requests import attempts
from currantwall.transport import exchanges
from currantwall.transport import races
from currantwall.transport import requests


class Sender:
    """Starts attempts, and hands out what the test has them say."""

    def __init__(self):
        self.time = 0.0
        self.started = []
        self.messages = []
        self.on_probe_requested = mock.Mock()
        self.drop_attempt = mock.Mock()

    def now(self):
        return self.time

    def send(self, request, wait):
        number = len(self.started)
        attempt = requests.Attempt(
            upstream=mock.Mock(id=f"u{number}"),
            exchange=mock.Mock(number=number),
            sent_at=self.time,
            last_message_at=self.time,
            begun_at=self.time if not number else None,
        )
        self.started.append(attempt)
        return attempt

    def receive_message(self, request, current, until):
        at, message = self.messages.pop(0)
        self.time = at
        return message

    def get_last_message_time(self, instance):
        return 0.0

    def may_retry(self, request):
        return request.progress.runs < 2

    def hold_attempt(self, request, attempt, why):
        attempt.is_held = True
        request.progress.runs += 1
        return True

    def fail_interrupted(self, request, attempt, failed):
        if not attempt.is_held:
            request.progress.runs += 1


class RaceTest(unittest.TestCase):
    def test_a_silent_attempt_that_breaks_off_is_not_replaced_twice(self):
        """Guards against a stream that runs on three servers."""
        sender = Sender()
        request = mock.Mock(
            deadline=8.0,
            progress=attempts.Progress(sends=1, started=True),
            last_event="",
        )
        request.route = mock.Mock(attempts=2, is_idempotent=True, target=0.2)
        request.inbox.empty.return_value = True
        race = races.Race(sender, request)
        broken = exchanges.Failed(0, True, "body", "broken off")
        event = exchanges.Data(1, b"id: 1\n\n")
        # Silent for longer than the stall timeout; then it breaks off while
        # the other one has not begun.
        sender.messages = [(0.6, None), (0.7, broken), (0.8, event)]
        sender.note_first = mock.Mock()
        batch = race.advance()
        self.assertEqual([one.id for one in batch.events], ["1"])
        self.assertEqual(len(sender.started), 2)

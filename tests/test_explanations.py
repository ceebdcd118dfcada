"""From a request's id to its cause, by the tool and the logs alone."""

import subprocess
import sys
import threading
import time
import unittest

import msgspec

from bench import fleet as fleet_module
from currantwall.cli import causes
from currantwall.cli import explanations
from tests import test_gateway

Cause = explanations.Cause
_WAIT = 60.0
# Seconds until a slow stream has certainly begun, and not ended.
_FIRST_EVENT = 0.8


class PlayedFailuresTest(test_gateway.GatewayCase):
    """Each failure is played over processes; the tool has their logs."""

    def explain(self, attempt):
        logs = [str(self.fleet.path / f"{name}.log") for name in ("g1", "g2")]
        command = [sys.executable, "-m", "currantwall.cli.main", "explain"]
        done = subprocess.run(
            [*command, attempt, *logs, "--json"],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )
        if done.returncode:
            return None
        return msgspec.json.decode(done.stdout, type=explanations.Explanation)

    def await_end(self, attempt):
        """Return the explanation once the logs tell the request's end."""
        found = None

        def is_there():
            nonlocal found
            found = self.explain(attempt)
            return found is not None and found.cause is not Cause.UNFINISHED

        fleet_module.wait_until(is_there, _WAIT, f"log of {attempt}")
        return found

    def test_a_booking_that_ended_502(self):
        answer = self.send("POST", "/unsafe/torn/x", b"1", attempt="why-1")
        self.assertEqual(answer.status, 502)
        found = self.await_end("why-1")
        self.assertIs(found.cause, Cause.ANSWER_LOST)
        (run,) = self.list_runs("why-1")
        self.assertIn("it may have run", found.summary)
        self.assertIn(run["seal"].partition(".")[2], found.summary)

    def test_a_refusal_under_load(self):
        answer = self.send("POST", "/unsafe/busy/x", b"1", attempt="why-2")
        self.assertEqual(answer.status, 503)
        found = self.await_end("why-2")
        self.assertIs(found.cause, Cause.REFUSED)
        self.assertIn("come back after", found.summary)

    def test_a_stream_that_a_lost_member_cut(self):
        """A caller's note stopped in the middle.

        It cannot be resumed; an instance of its replica is killed, which
        the holder of the domain finds when the stream falls silent.
        """
        caught = {}

        def read():
            caught["answer"] = self.send(
                "POST", "/once/slow/x", attempt="why-3"
            )

        reader = threading.Thread(target=read)
        reader.start()
        fleet_module.wait_until(
            lambda: self.list_runs("why-3"), _WAIT, "its start"
        )
        (run,) = self.list_runs("why-3")
        time.sleep(_FIRST_EVENT)
        (member,) = [one for one in run["members"] if one != run["members"][0]]
        self.fleet.kill(member)
        self.addCleanup(self.fleet.restart_engine, member, "d0", "m")
        reader.join()
        self.assertFalse(caught["answer"].whole)
        found = self.await_end("why-3")
        self.assertIs(found.cause, Cause.MEMBER_LOST)
        self.assertIn(member, found.summary)
        kinds = [line.event for line in found.around]
        self.assertIn("instance_lost", kinds)

    def test_a_request_that_no_log_names(self):
        self.assertIsNone(self.explain("never-sent"))


class LogCase(unittest.TestCase):
    def read(self, *lines):
        stamped = []
        for number, line in enumerate(lines):
            fields = {
                "node": "g1",
                "timestamp": f"2026-01-01T00:00:0{number}Z",
            }
            stamped.append(msgspec.json.encode(fields | line).decode())
        return explanations.read_lines(stamped)


class ExplainTest(LogCase):
    def test_what_is_no_line_of_a_log_is_passed_over(self):
        texts = ["Traceback", "{", '{"event": 1}', "  1.5 g1 {}"]
        self.assertEqual(explanations.read_lines(texts), [])

    def test_lines_come_in_the_order_of_their_time(self):
        texts = [
            '{"event":"b","node":"g","timestamp":"2026-01-01T00:00:02Z"}',
            '9 g {"event":"a","node":"g","timestamp":"2026-01-01T00:00:01Z"}',
        ]
        found = explanations.read_lines(texts)
        self.assertEqual([line.event for line in found], ["a", "b"])

    def explain(self, *lines):
        return explanations.explain(self.read(*lines), "r")

    def test_a_caller_that_left(self):
        found = self.explain(
            {"event": "ended_early", "request": "r", "left": True}
        )
        self.assertIs(found.cause, Cause.CALLER_LEFT)

    def test_a_key_that_was_taken_away(self):
        found = self.explain(
            {
                "event": "refused",
                "request": "r",
                "status": 401,
                "why": "unknown key",
                "version": 7,
            }
        )
        self.assertIs(found.cause, Cause.NOT_ALLOWED)
        self.assertIn("version 7", found.summary)

    def test_a_node_that_was_lost_with_the_request(self):
        found = self.explain(
            {
                "event": "attempt_failed",
                "request": "r",
                "upstream": "e1",
                "failure": "lost",
                "why": "head",
                "after": 0.1,
            }
        )
        self.assertIs(found.cause, Cause.UNFINISHED)

    def test_an_answer_in_order(self):
        found = self.explain(
            {
                "event": "answered",
                "request": "r",
                "status": 200,
                "upstream": "e1",
                "sends": 2,
                "spent": 0.4,
            }
        )
        self.assertIs(found.cause, Cause.SERVED)


class CausesTest(LogCase):
    def answer(self, request, late=None):
        fields = {"event": "answered", "request": request, "status": 200}
        return fields | {
            "upstream": "e1",
            "sends": 1,
            "spent": 1,
            "late": late,
        }

    def test_requests_are_counted_by_what_made_them_late(self):
        """An operator would have to ask after each request singly."""
        failed = {"event": "attempt_failed", "failure": "lost", "why": "head"}
        failed |= {"upstream": "e1", "after": 0.1}
        refused = {"event": "refused", "status": 503, "why": "too long"}
        lines = self.read(
            self.answer("a"),
            {"event": "placed", "request": "b"},
            self.answer("b", "first"),
            failed | {"request": "c"},
            self.answer("c", "pause"),
            self.answer("d", "pause"),
            refused | {"request": "e", "retry_after": 1.0},
        )
        found = {
            (one.cause, one.detail): one.requests
            for one in causes.count_causes(lines)
        }
        expected = {
            ("served", ""): 1,
            ("late", "waited for a place"): 1,
            ("late", "sent again: lost"): 1,
            ("late", "long pause"): 1,
            ("refused", "too long"): 1,
        }
        self.assertEqual(found, expected)


if __name__ == "__main__":
    unittest.main()

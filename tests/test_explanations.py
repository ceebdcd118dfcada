"""Tests of ``explain`` and ``causes``: a request's cause from the logs."""

import signal
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
# Seconds.
_WAIT = 60.0
# Seconds after which a slow stream has begun and has not yet ended.
_STREAM_START_DELAY = 0.8


class InjectedFailuresTest(test_gateway.GatewayCase):
    """Injects failures into running processes and reads their logs."""

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
        """Return the explanation once the request's end is in the logs."""
        found = None

        def is_logged():
            nonlocal found
            found = self.explain(attempt)
            return found is not None and found.cause is not Cause.UNFINISHED

        fleet_module.wait_until(is_logged, _WAIT, f"log of {attempt}")
        return found

    def test_an_unsafe_request_that_ended_with_502(self):
        answer = self.send("POST", "/unsafe/torn/x", b"1", attempt="why-1")
        self.assertEqual(answer.status, 502)
        explanation = self.await_end("why-1")
        self.assertIs(explanation.cause, Cause.ANSWER_LOST)
        (run,) = self.list_runs("why-1")
        self.assertIn("it may have run", explanation.summary)
        self.assertIn(run["seal"].partition(".")[2], explanation.summary)

    def test_a_request_refused_under_load(self):
        answer = self.send("POST", "/unsafe/busy/x", b"1", attempt="why-2")
        self.assertEqual(answer.status, 503)
        explanation = self.await_end("why-2")
        self.assertIs(explanation.cause, Cause.REFUSED)
        self.assertIn("come back after", explanation.summary)

    def test_a_stream_cut_by_the_loss_of_a_member(self):
        """Guards against not finding why a caller's stream was cut short.

        An instance of the stream's replica is killed, and the leader stalls
        for that. The stream cannot be resumed; the holder of the domain
        finds the loss when the stream stalls.
        """
        received = {}

        def read():
            received["answer"] = self.send(
                "POST", "/once/slow/x", attempt="why-3"
            )

        reader = threading.Thread(target=read)
        reader.start()
        fleet_module.wait_until(
            lambda: self.list_runs("why-3"), _WAIT, "start of the stream"
        )
        (run,) = self.list_runs("why-3")
        time.sleep(_STREAM_START_DELAY)
        (member,) = [
            name for name in run["members"] if name != run["members"][0]
        ]
        leader = run["members"][0]
        self.fleet.kill(member)
        self.addCleanup(self.fleet.restart_engine, member, "d0", "m")
        self.fleet.send_signal(leader, signal.SIGSTOP)
        self.addCleanup(self.fleet.send_signal, leader, signal.SIGCONT)
        reader.join()
        self.assertFalse(received["answer"].whole)
        explanation = self.await_end("why-3")
        self.assertIs(explanation.cause, Cause.MEMBER_LOST)
        self.assertIn(member, explanation.summary)
        kinds = [line.event for line in explanation.around]
        self.assertIn("instance_lost", kinds)

    def test_a_request_in_no_log(self):
        self.assertIsNone(self.explain("never-sent"))


class LogCase(unittest.TestCase):
    def read(self, *lines):
        """Return log lines with a node and times one second apart."""
        stamped = []
        for number, line in enumerate(lines):
            fields = {
                "node": "g1",
                "timestamp": f"2026-01-01T00:00:0{number}Z",
            }
            stamped.append(msgspec.json.encode(fields | line).decode())
        return explanations.read_lines(stamped)


class ExplainTest(LogCase):
    def test_text_that_is_not_a_log_line_is_skipped(self):
        texts = ["Traceback", "{", '{"event": 1}', "  1.5 g1 {}"]
        self.assertEqual(explanations.read_lines(texts), [])

    def test_lines_are_sorted_by_time(self):
        texts = [
            '{"event":"b","node":"g","timestamp":"2026-01-01T00:00:02Z"}',
            '9 g {"event":"a","node":"g","timestamp":"2026-01-01T00:00:01Z"}',
        ]
        lines = explanations.read_lines(texts)
        self.assertEqual([line.event for line in lines], ["a", "b"])

    def explain(self, *lines):
        return explanations.explain(self.read(*lines), "r")

    def test_a_request_whose_caller_disconnected(self):
        explanation = self.explain(
            {"event": "ended_early", "request": "r", "left": True}
        )
        self.assertIs(explanation.cause, Cause.CALLER_LEFT)

    def test_a_request_with_a_revoked_key(self):
        explanation = self.explain(
            {
                "event": "refused",
                "request": "r",
                "status": 401,
                "why": "unknown key",
                "version": 7,
            }
        )
        self.assertIs(explanation.cause, Cause.NOT_ALLOWED)
        self.assertIn("version 7", explanation.summary)

    def test_a_request_whose_node_was_lost(self):
        explanation = self.explain(
            {
                "event": "attempt_failed",
                "request": "r",
                "upstream": "e1",
                "failure": "lost",
                "why": "head",
                "after": 0.1,
            }
        )
        self.assertIs(explanation.cause, Cause.UNFINISHED)

    def test_a_request_that_was_served(self):
        explanation = self.explain(
            {
                "event": "answered",
                "request": "r",
                "status": 200,
                "upstream": "e1",
                "sends": 2,
                "spent": 0.4,
            }
        )
        self.assertIs(explanation.cause, Cause.SERVED)


class CausesTest(LogCase):
    def answer(self, request, late=None):
        fields = {"event": "answered", "request": request, "status": 200}
        return fields | {
            "upstream": "e1",
            "sends": 1,
            "spent": 1,
            "late": late,
        }

    def test_requests_are_counted_by_cause_and_detail(self):
        """Guards against having to explain each late request on its own."""
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
        counts = {
            (share.cause, share.detail): share.requests
            for share in causes.count_causes(lines)
        }
        expected = {
            ("served", ""): 1,
            ("late", "waited for a place"): 1,
            ("late", "sent again: lost"): 1,
            ("late", "long pause"): 1,
            ("refused", "too long"): 1,
        }
        self.assertEqual(counts, expected)


if __name__ == "__main__":
    unittest.main()

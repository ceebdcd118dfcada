"""Tests of the soak: a short run, its plans, and its checks."""

import pathlib
import subprocess
import sys
import unittest

from soak import advisories
from soak import callers
from soak import plan
from soak import promises

_ROOT = pathlib.Path(__file__).parent.parent
_SECONDS = 6
_TIMEOUT = 240  # seconds
# Seeds of runs that once failed, each with the cause in a comment.
_REGRESSIONS: tuple[int, ...] = (
    # A stream that was resumed after a stall reached its deadline during a
    # planned stop; the check took it for cut by the stop.
    1,
    # Servers that had refused a connection were never used again.
    1517,
)


class SoakTest(unittest.TestCase):
    def play(self, seed, seconds):
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "soak",
                f"--seed={seed}",
                f"--seconds={seconds}",
            ],
            capture_output=True,
            text=True,
            cwd=_ROOT,
            timeout=_TIMEOUT,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)

    def test_the_promises_hold_in_a_short_run(self):
        """Guards against a broken promise under random faults.

        The site has three gateways, ten engines and two services.
        """
        self.play(1, _SECONDS)

    def test_seeds_that_failed_once(self):
        for seed in _REGRESSIONS:
            with self.subTest(seed=seed):
                self.play(seed, 12)


class PlanTest(unittest.TestCase):
    def test_a_seed_always_gives_the_same_plan(self):
        first = plan.make_plan(7, 30.0, ["g1", "g2"], ["e1"])
        second = plan.make_plan(7, 30.0, ["g1", "g2"], ["e1"])
        self.assertEqual(first, second)
        self.assertGreater(len(first), 15)

    def test_disturbances_overlap_and_come_in_series(self):
        found = plan.make_plan(3, 300.0, ["g1", "g2"], ["e1", "e2"])
        pairs = list(zip(found, found[1:], strict=False))
        overlapping = [1 for a, b in pairs if b.at < a.at + a.lasts]
        self.assertGreater(len(overlapping), len(found) // 2)
        self.assertEqual(
            {disturbance.kind for disturbance in found}, set(plan.Kind)
        )


class PromisesTest(unittest.TestCase):
    """Guards against checks that miss a violation of their promise.

    Each test breaks one promise in the records of a run.
    """

    def setUp(self):
        self.seat = {
            "name": "m.2.x",
            "epoch": 1,
            "rank": 0,
            "state": "open",
            "members": ["e1", "e2"],
        }
        self.records = {
            "e1": [
                {"at": 1.0, "what": "start"},
                {"at": 2.0, "what": "seat", "seat": self.seat},
            ],
            "e2": [
                {"at": 1.0, "what": "start"},
                {
                    "at": 1.5,
                    "what": "seat",
                    "seat": self.seat | {"rank": 1, "state": "ready"},
                },
            ],
            "a1": [{"at": 1.0, "what": "start"}],
        }
        self.attempts = []
        self.history = []
        self.acknowledged = {1: 1.0}

    def add(self, target="/unsafe/x", runs=1, at="a1", **fields):
        name = f"r{len(self.attempts)}"
        defaults = {
            "id": name,
            "method": "POST",
            "target": target,
            "body": b"1",
            "gateway": "g1",
            "process": "g1#1",
            "began": 20.0,
            "written": 20.0,
            "ended": 20.1,
            "status": 200,
            "complete": True,
            "seal": "s",
            "answer": f"POST {target} ".encode() + b"1",
        }
        self.attempts.append(callers.Attempt(**(defaults | fields)))
        run = {
            "attempt": name,
            "method": "POST",
            "target": target,
            "body": "1",
            "tenant": "shop",
            "key": None,
        }
        seat = self.seat if at == "e1" else None
        line = {"at": 20.0, "what": "run", "run": run, "seat": seat}
        self.records[at] += [line] * runs
        return run

    def check(self):
        return promises.check_all(
            promises.Observed(
                self.attempts,
                self.records,
                self.history,
                self.acknowledged,
                30.0,
            )
        )

    def assert_broken(self, name):
        found = self.check()
        self.assertEqual({line.partition(":")[0] for line in found}, {name})

    def test_records_without_a_violation_pass(self):
        self.add()
        self.add(status=503, runs=0, seal="", answer=b"")
        answer = b"".join(
            f"id: {n}\ndata: r2 {n}\n\n".encode() for n in range(1, 7)
        )
        self.add("/stream/x", at="e1", answer=answer)
        self.assertEqual(self.check(), [])

    def test_another_requests_answer(self):
        self.add(answer=b"POST /unsafe/x 2")
        self.assert_broken("answers")

    def test_a_truncated_answer_as_complete(self):
        self.add(answer=b"POST ")
        self.assert_broken("answers")

    def test_a_stream_with_a_missing_event(self):
        answer = b"id: 1\ndata: r0 1\n\nid: 3\ndata: r0 3\n\n"
        self.add("/stream/x", at="e1", answer=answer, complete=False)
        self.assert_broken("answers")

    def test_an_unsafe_request_that_runs_twice(self):
        self.add(runs=2)
        self.assert_broken("runs")

    def test_a_refused_request_that_ran(self):
        self.add(status=503)
        self.assert_broken("runs")

    def test_a_request_that_nobody_sent(self):
        self.add()["attempt"] = "other"
        self.attempts[0].status = 503
        self.assert_broken("unasked")

    def test_a_key_that_was_passed_on(self):
        self.add()["key"] = "Bearer x"
        self.assert_broken("unasked")

    def test_a_replica_that_is_not_whole(self):
        self.records["e2"] = self.records["e2"][:1]
        self.add("/stream/x", at="e1", status=502)
        self.assert_broken("whole_replicas")

    def test_an_instance_in_two_replicas(self):
        other = self.seat | {"name": "m.2.y", "epoch": 2, "rank": 1}
        line = {"at": 3.0, "what": "seat", "seat": other}
        self.records["e2"].append(line)
        self.assert_broken("one_replica")
        self.history.append((2.5, "killed", "e1"))
        self.assertEqual(self.check(), [])

    def test_a_gateway_that_reverts_a_configuration(self):
        self.add("/v1/x")
        self.add("/v1/x", runs=0, began=21.0, status=404)
        self.assert_broken("configuration")

    def test_a_configuration_that_is_applied_too_late(self):
        self.add("/v1/x", runs=0, status=404)
        self.assert_broken("configuration")
        self.history.append((19.0, "paused", "g1"))
        self.assertEqual(self.check(), [])

    def test_a_draining_server_that_gets_requests(self):
        self.records["a1"].append({"at": 5.0, "what": "drain"})
        self.add()
        self.assert_broken("leaving")

    def test_a_planned_stop_that_cuts_a_request(self):
        self.history.append((20.05, "stopping", "g1"))
        self.add(status=0, complete=False, failure="RemoteDisconnected")
        self.assert_broken("stops")
        # Only a disturbance of the gateway itself excuses a missing answer.
        self.history.append((20.02, "killed", "a1"))
        self.assert_broken("stops")
        self.history.append((20.06, "killed", "g1"))
        self.assertEqual(self.check(), [])

    def test_a_stream_that_reaches_its_deadline_during_a_stop(self):
        """Guards against a stop that is blamed for the deadline's cut."""
        self.history.append((21.0, "stopping", "g1"))
        answer = b"id: 1\ndata: r0 1\n\n"
        cut = {"answer": answer, "complete": False, "at": "e1"}
        self.add("/stream/x", ended=23.0, **cut)
        self.assertEqual(self.check(), [])
        self.attempts[0].ended = 22.9
        self.assert_broken("stops")

    def test_an_answer_that_comes_too_late(self):
        self.add(status=504, ended=29.0)
        self.assert_broken("final_answers")


class AdvisoriesTest(unittest.TestCase):
    """Guards against checks that miss requests which servers did not want.

    Each test has a server ask something at 10 s, and requests at intervals
    after that.
    """

    def setUp(self):
        self.lines = [{"at": 1.0, "what": "start"}]
        self.attempts = []
        self.history = [(1.0, "started", "a1"), (1.0, "started", "g1")]

    def say(self, at, **headers):
        named = {key.replace("_", "-"): text for key, text in headers.items()}
        self.lines.append({"at": at, "what": "headers", "headers": named})

    def send(self, first, interval, count, pause=0.0, process="g1#1"):
        """Add requests that reach the server and are answered."""
        for number in range(count):
            at = first + interval * number
            name = f"r{len(self.attempts)}"
            self.attempts.append(
                callers.Attempt(
                    id=name,
                    method="GET",
                    target="/safe/x",
                    body=b"",
                    gateway=process.partition("#")[0],
                    process=process,
                    began=at,
                    ended=at + 0.05,
                    status=503 if pause else 200,
                    seal="" if pause else "seal.a1",
                )
            )
            self.lines.append(
                {"at": at, "what": "arrival", "attempt": name, "pause": pause}
            )

    def check(self):
        found = advisories.check_all(
            promises.Observed(
                self.attempts, {"a1": self.lines}, self.history, {}, 60.0
            )
        )
        return {line.partition(":")[0] for line in found}

    def test_a_limit_that_is_exceeded(self):
        self.say(10.0, Server_Limit="2")
        self.send(10.1, 0.2, 100)
        self.assertEqual(self.check(), {"limit"})

    def test_a_limit_exceeded_by_the_sum_of_two_gateways(self):
        self.history.append((1.0, "started", "g2"))
        self.say(10.0, Server_Limit="2")
        self.send(10.1, 0.4, 50)
        self.assertEqual(self.check(), set())
        self.send(10.2, 0.4, 50, process="g2#2")
        self.assertEqual(self.check(), {"limit"})

    def test_a_limit_that_has_ended_or_is_not_known(self):
        self.say(10.0, Server_Limit="2")
        self.say(14.0)
        self.send(10.1, 0.2, 100)
        self.assertEqual(self.check(), set())

    def test_a_pause_that_is_not_kept(self):
        self.send(10.0, 1.0, 1, pause=3.0)
        self.send(11.1, 0.5, 2, pause=3.0)
        self.assertEqual(self.check(), set())
        self.send(12.8, 0.1, 1, pause=3.0)
        self.assertEqual(self.check(), {"pause"})
        self.history.append((11.0, "resumed", "g1"))
        self.assertEqual(self.check(), set())

    def test_a_leaving_server_that_gets_requests(self):
        self.say(10.0, Server_Leaving="1")
        self.send(10.1, 0.5, 3)
        self.assertEqual(self.check(), set())
        self.send(13.0, 1.0, 1)
        self.assertEqual(self.check(), {"leaving"})
        self.lines.insert(5, {"at": 12.5, "what": "start"})
        self.assertEqual(self.check(), set())


if __name__ == "__main__":
    unittest.main()

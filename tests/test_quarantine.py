"""Which parts of prompts are kept from servers, and for how long.

`bench.crashes` replays requests, crashes and the nodes' reports in virtual
time.
"""

import time
import unittest

import msgspec

from bench import crashes
from currantwall.coordination.requests import quarantine
from currantwall.state import ids
from currantwall.state import quarantines

CAUSE = crashes.CAUSE
SYSTEM_PROMPT = crashes.SYSTEM_PROMPT
_OTHER = ids.PartId("7d31")


def make_prompt(owner, *parts, fingerprint=""):
    return quarantines.Prompt(
        owner, parts or (SYSTEM_PROMPT, CAUSE), ids.PartId(fingerprint)
    )


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.quarantine = quarantine.Quarantine()
        # All parts that were ever quarantined.
        self.blamed = []
        self.quarantine.on_quarantined = self.blamed.append

    def crash(self, at, upstream, *suspects):
        """Crash an upstream under some requests that it has just begun."""
        for suspect in suspects:
            exposure = self.expose(at, upstream, suspect)
            self.quarantine.end(exposure, False)
            self.quarantine.note_own_crash(exposure, at, at)

    def crash_process(self, at, upstream, born, suspect):
        """Crash a process that was listed with a start, under a request."""
        exposure = self.quarantine.expose(
            ids.InstanceId(upstream), suspect, at, born
        )
        self.quarantine.end(exposure, False)
        self.quarantine.note_own_crash(exposure, at, at)

    def crash_thrice(self, *parts):
        for n in range(3):
            self.crash(10.0 + n, f"i{n}", make_prompt(f"r{n}", *parts))

    def expose(self, at, upstream, suspect):
        return self.quarantine.expose(ids.InstanceId(upstream), suspect, at)

    def survive(self, at, suspect, upstream="i9"):
        """Have an upstream answer a request for more than a second."""
        exposure = self.expose(at, upstream, suspect)
        self.quarantine.note_event(exposure, at)
        self.quarantine.note_event(exposure, at + 1.1)
        return exposure

    def list_quarantined(self):
        return set(self.quarantine.list_quarantined())

    def find_retry_after(self, at, *parts):
        return self.quarantine.find_retry_after(parts, at)


class EvidenceTest(QuarantineCase):
    def test_a_part_that_crashes_three_upstreams_is_quarantined(self):
        """Guards against blaming the part that all prompts begin with."""
        self.crash_thrice()
        self.assertEqual(self.list_quarantined(), {CAUSE})
        self.assertAlmostEqual(self.find_retry_after(12.0, CAUSE), 60.0)
        self.assertIsNone(self.find_retry_after(12.0, SYSTEM_PROMPT, _OTHER))

    def test_a_crash_counts_once_the_list_has_the_start_of_its_process(self):
        """Guards against a repeat that crashes what has just started."""
        request = make_prompt("r", fingerprint="request-1")
        self.crash_process(10.0, "i1", 1_000, request)
        self.crash_process(10.2, "i2", 1_000, request)
        # The list is from before i1 has started again.
        self.crash_process(12.5, "i1", 1_000, request)
        self.assertEqual(self.blamed, [])
        noted = self.quarantine.note_start("i1", 11_000, 11.0, 12.9)
        self.assertTrue(noted)
        self.assertEqual(self.blamed, ["request-1"])

    def test_an_upstream_that_stays_away_is_one_crash(self):
        """Guards against blame for each request that is broken off there."""
        for n in range(8):
            at = 10.0 + 2 * n
            self.crash_process(at, "i1", 1_000, make_prompt(f"r{n}"))
            # Of a process that has started since, and ended unseen.
            born = int(at * 1000) + 500
            self.quarantine.note_start("i1", born, at + 0.5, at + 0.6)
        self.assertEqual(self.blamed, [])

    def test_a_part_that_a_request_survived_is_not_quarantined(self):
        """Guards against blaming a request that was broken off by chance."""
        for n in range(8):
            self.crash(10.0 + 3 * n, f"i{n}", make_prompt(f"r{n}"))
            self.survive(11.0 + 3 * n, make_prompt(f"s{n}"))
        self.assertEqual(self.blamed, [])

    def test_an_answer_just_before_a_crash_is_no_survival(self):
        """Guards against a cause that is cleared by an answer in time."""
        for n in range(3):
            exposure = self.expose(10.0 + n, f"i{n}", make_prompt(f"a{n}"))
            self.quarantine.note_event(exposure, 10.0 + n)
            self.quarantine.end(exposure, True)
            self.crash(10.1 + n, f"i{n}", make_prompt(f"r{n}"))
            self.quarantine.make_reports(11.9 + n)
        self.assertEqual(self.list_quarantined(), {CAUSE})

    def test_an_answer_just_before_a_crash_is_not_blamed(self):
        """Guards against blaming requests that were answered whole."""
        for n in range(8):
            answered = make_prompt(f"a{n}", _OTHER)
            exposure = self.expose(10.0 + n, f"i{n}", answered)
            self.quarantine.note_event(exposure, 10.0 + n)
            self.quarantine.end(exposure, True)
            broken = make_prompt(f"r{n}", ids.PartId(f"p{n}"))
            self.crash(10.1 + n, f"i{n}", broken)
        self.assertEqual(self.blamed, [])

    def test_a_whole_answer_is_a_survival(self):
        """Guards against short answers that never clear their parts."""
        self.crash_thrice()
        exposure = self.expose(12.5, "i9", make_prompt("r9", _OTHER, CAUSE))
        self.quarantine.note_event(exposure, 12.6)
        self.quarantine.end(exposure, True)
        self.quarantine.make_reports(13.0)
        self.assertEqual(self.list_quarantined(), {CAUSE})
        self.quarantine.make_reports(13.2)
        self.assertEqual(self.list_quarantined(), set())

    def test_repeats_of_one_request_are_not_blamed_for_three_crashes(self):
        """Guards against a request that follows the cause of the crashes."""
        for n in range(4):
            self.crash(10.0 + n, f"i{n}", make_prompt("same", _OTHER))
        self.assertEqual(self.list_quarantined(), set())
        self.crash(15.0, "i5", make_prompt("same", _OTHER))
        self.assertEqual(self.list_quarantined(), {_OTHER})

    def test_an_upstream_that_crashes_again_counts_again(self):
        """Guards against a small fleet whose servers keep their ids."""
        for n in range(3):
            self.crash(10.0 + 3 * n, "i0", make_prompt(f"r{n}"))
        self.assertEqual(self.list_quarantined(), {CAUSE})

    def test_an_upstream_that_stays_away_has_crashed_once(self):
        """Guards against blaming requests that are sent to a dead server.

        Connections to it are accepted and reset, and its entry stays.
        """
        for n in range(8):
            for upstream, offset in (("i0", 0.0), ("i1", 0.5)):
                at = 10.0 + 2 * n + offset
                exposure = self.quarantine.expose(
                    ids.InstanceId(upstream), make_prompt(f"r{n}"), at, 7
                )
                self.quarantine.note_own_crash(exposure, at + 0.1, at + 0.1)
                self.quarantine.end(exposure, False)
        self.assertEqual(self.blamed, [])
        reports = self.quarantine.make_reports(at + 0.2)
        self.assertIsNone(reports)
        self.crash(40.0, "i2", make_prompt("r9"))
        self.assertEqual(self.list_quarantined(), {CAUSE})

    def test_attempts_that_have_ended_are_forgotten(self):
        """Guards against memory that grows with each request."""
        for n in range(10):
            exposure = self.expose(10.0 + n, "i0", make_prompt(f"r{n}"))
            if n % 3:
                self.quarantine.note_event(exposure, 10.0 + n)
            self.quarantine.end(exposure, n % 2 == 0)
        self.quarantine.make_reports(30.0)
        self.assertEqual(self.quarantine._exposures, {})

    def test_upstreams_that_end_together_count_once(self):
        """Guards against blaming new prompts for a loss of power."""
        for n in range(9):
            self.crash(10.0 + n / 100, f"i{n}", make_prompt(f"r{n}", _OTHER))
        self.assertEqual(self.list_quarantined(), set())

    def test_a_part_that_turned_bad_is_quarantined_after_five_crashes(self):
        """Guards against trust in what a part did long ago."""
        self.survive(5.0, make_prompt("old"))
        self.quarantine.end(self.survive(5.0, make_prompt("old")), True)
        for n in range(5):
            self.assertEqual(self.list_quarantined(), set())
            self.crash(10.0 + n, f"i{n}", make_prompt(f"r{n}"))
        self.assertIn(CAUSE, self.list_quarantined())

    def test_two_causes_are_told_from_what_they_share(self):
        """Guards against blaming the part that both have in common."""
        for n, cause in enumerate(("c1", "c2", "c2", "c1", "c2", "c1")):
            suspect = make_prompt(f"r{n}", SYSTEM_PROMPT, ids.PartId(cause))
            self.crash(10.0 + n, f"i{n}", suspect)
        self.assertEqual(self.list_quarantined(), {"c1", "c2"})

    def test_sound_requests_with_a_shared_part_alone_do_not_blame_it(self):
        """Guards against taking a system prompt for the last shared part."""
        for n in range(3):
            sound = make_prompt(f"s{n}", SYSTEM_PROMPT)
            cause = ids.PartId("c1" if n else "c2")
            suspect = make_prompt(f"r{n}", SYSTEM_PROMPT, cause)
            self.crash(10.0 + n, f"i{n}", sound, suspect)
        self.assertEqual(self.list_quarantined(), set())

    def test_a_shared_part_is_tried_early(self):
        """Guards against refusing most requests for a minute."""
        for n in range(5):
            cause = ids.PartId(f"c{n}")
            suspect = make_prompt(f"r{n}", SYSTEM_PROMPT, cause)
            self.crash(10.0 + n, f"i{n}", suspect)
        self.assertEqual(self.list_quarantined(), {SYSTEM_PROMPT})
        self.assertIsNone(self.find_retry_after(24.1, SYSTEM_PROMPT))

    def test_a_part_that_the_cause_explains_is_released(self):
        """Guards against a sound part that was blamed first."""
        report = quarantines.QuarantineReport(0.5, 60.0, 0)
        self.quarantine.apply_reports(
            quarantines.PartReports(quarantined={_OTHER: report}), 10.0
        )
        self.assertEqual(self.list_quarantined(), {_OTHER})
        for n in range(3):
            follower = make_prompt("same", _OTHER)
            self.crash(10.0 + n, f"i{n}", follower, make_prompt(f"r{n}"))
        self.assertEqual(self.list_quarantined(), {CAUSE})

    def test_one_request_is_tried_after_a_delay_that_doubles(self):
        """Guards against parts that are blamed wrongly for ever."""
        self.crash_thrice()
        self.assertIsNone(self.find_retry_after(73.0, CAUSE))
        exposure = self.expose(73.0, "i8", make_prompt("t1"))
        self.assertAlmostEqual(self.find_retry_after(73.0, CAUSE), 120.0)
        self.quarantine.end(exposure, False)
        self.quarantine.note_own_crash(exposure, 73.1, 73.1)
        self.assertEqual(self.list_quarantined(), {CAUSE})
        self.survive(200.0, make_prompt("t2"))
        self.assertEqual(self.list_quarantined(), set())

    def test_what_is_remembered_is_bounded(self):
        """Guards against callers that send ever new parts."""
        for n in range(3000):
            part = ids.PartId(f"part-{n // 3}")
            self.crash(10.0 + n, f"i{n}", make_prompt(f"r{n}", part))
            self.survive(10.5 + n, make_prompt(f"s{n}", ids.PartId(f"s{n}")))
        reports = self.quarantine.make_reports(3010.0)
        size = len(msgspec.msgpack.encode(reports))
        self.assertLessEqual(len(self.list_quarantined()), 64)
        self.assertLess(size, 6000)
        self.assertLessEqual(len(self.quarantine._crashes), 512)

    def test_many_crashes_at_once_take_little_time(self):
        """Guards against a node that stands still after a loss of power."""
        reports = [
            quarantines.PartReports(
                tuple(
                    quarantines.CrashReport(
                        ids.InstanceId(f"i{number}-{n}"),
                        0.0,
                        tuple(
                            make_prompt(f"r{number}-{n}-{k}", SYSTEM_PROMPT)
                            for k in range(10)
                        ),
                    )
                    for n in range(16)
                )
            )
            for number in range(30)
        ]
        started = time.process_time()
        for index, report in enumerate(reports):
            self.quarantine.apply_reports(report, 10.0 + index / 1000)
        self.assertLess(time.process_time() - started, 2.0)


class RequestTest(QuarantineCase):
    """Evidence against one request, whatever its prompt shares."""

    def make(self, name="same", *parts):
        return make_prompt(name, *parts, fingerprint=f"whole-{name}")

    def repeat(self, at, upstream, name="same"):
        """Crash an upstream under a request sent again after a failure."""
        exposure = self.quarantine.expose(
            ids.InstanceId(upstream), self.make(name), at, is_repeat=True
        )
        self.quarantine.end(exposure, False)
        self.quarantine.note_own_crash(exposure, at, at)

    def test_a_request_that_crashes_three_upstreams_is_quarantined(self):
        """Guards against repeats of which each is a new request."""
        self.quarantine.end(self.survive(5.0, self.make("other")), True)
        for n in range(3):
            self.assertEqual(self.list_quarantined(), set())
            self.crash(10.0 + n, f"i{n}", self.make())
        self.assertEqual(self.list_quarantined(), {"whole-same"})
        self.assertAlmostEqual(self.find_retry_after(12.0, "whole-same"), 60.0)
        for n in range(3, 8):
            self.crash(10.0 + n, f"i{n}", self.make())
        self.assertEqual(self.list_quarantined(), {"whole-same"})

    def test_a_request_is_a_suspect_until_it_has_been_answered(self):
        """Guards against a crash that comes late in each answer."""
        for n in range(3):
            exposure = self.survive(10.0 + 3 * n, self.make(), f"i{n}")
            self.quarantine.end(exposure, False)
            self.quarantine.note_own_crash(exposure, 11.2 + 3 * n, 11.2 + n)
        self.assertEqual(self.list_quarantined(), {"whole-same"})

    def test_a_request_that_was_answered_whole_is_not_quarantined(self):
        """Guards against blaming a request that was broken off by chance."""
        for n in range(8):
            self.crash(10.0 + 3 * n, f"i{n}", self.make())
            exposure = self.survive(11.0 + 3 * n, self.make())
            self.quarantine.end(exposure, True)
        self.assertEqual(self.blamed, [])

    def test_a_short_answer_to_a_request_that_is_tried_clears_it(self):
        """Guards against a victim that is refused for ever."""
        for n in range(3):
            self.crash(10.0 + n, f"i{n}", self.make())
        exposure = self.expose(80.0, "i8", self.make())
        self.quarantine.note_event(exposure, 80.1)
        self.quarantine.end(exposure, True)
        self.quarantine.make_reports(81.0)
        self.assertEqual(self.list_quarantined(), set())

    def test_a_request_that_is_sent_again_at_once_counts_again(self):
        """Guards against crashes that count as one, a moment apart."""
        self.crash(10.0, "i0", self.make())
        self.repeat(10.01, "i1")
        self.crash(11.0, "i2", self.make())
        self.assertEqual(self.list_quarantined(), {"whole-same"})

    def test_equal_requests_are_not_blamed_for_a_loss_of_power(self):
        """Guards against refusing what many callers ask for."""
        for n in range(9):
            self.crash(10.0 + n / 100, f"i{n}", self.make())
        self.assertEqual(self.blamed, [])

    def test_two_requests_that_crash_upstreams_are_both_quarantined(self):
        """Guards against one of them that explains the other."""
        for n in range(3):
            both = self.make("a", _OTHER), self.make("b", CAUSE)
            self.crash(10.0 + n, f"i{n}", *both)
        self.assertEqual(self.list_quarantined(), {"whole-a", "whole-b"})

    def test_a_part_is_blamed_for_the_requests_that_it_crashed(self):
        """Guards against a request that is blamed for its prompt's part."""
        for n in range(3):
            self.crash(10.0 + n, f"i{n}", self.make("first"))
        self.crash(14.0, "i4", self.make("second"))
        self.assertEqual(self.list_quarantined(), {CAUSE})

    def test_a_process_that_answers_after_a_crash_may_crash_again(self):
        """Guards against a crash that is taken for the one before it.

        The list has the start of the process that has ended.
        """
        for n in range(3):
            at = 10.0 + 3 * n
            sound = self.quarantine.expose("i0", self.make("ok"), at, 7)
            self.quarantine.note_event(sound, at)
            self.quarantine.end(sound, True)
            exposure = self.quarantine.expose("i0", self.make(), at, 7)
            self.quarantine.end(exposure, False)
            self.quarantine.note_own_crash(exposure, at + 0.1, at + 0.1)
        self.assertEqual(self.list_quarantined(), {"whole-same"})

    def test_a_request_under_which_replicas_lose_members_is_quarantined(self):
        """Guards against a request that ends members which do not lead.

        The parts of its prompt, which others have, are not to blame.
        """
        for n in range(3):
            for name in ("same", f"victim{n}"):
                exposure = self.expose(10.0 + n, f"i{n}", self.make(name))
                for at in (10.1 + n, 10.4 + n):
                    self.quarantine.note_own_loss(exposure, at)
                self.quarantine.end(exposure, False)
        self.assertEqual(self.list_quarantined(), {"whole-same"})

    def test_answers_do_not_fill_the_memory_of_survivals(self):
        """Guards against forgetting the survivals of shared parts."""
        self.survive(5.0, make_prompt("first"))
        for n in range(5000):
            exposure = self.survive(10.0 + n, self.make(f"r{n}"))
            self.quarantine.end(exposure, True)
        self.assertLess(len(self.quarantine._crashes._survivals), 10)


class ReportsTest(unittest.TestCase):
    def setUp(self):
        self.nodes = [quarantine.Quarantine() for _ in range(3)]

    def exchange(self, now):
        for sender in self.nodes:
            reports = sender.make_reports(now)
            for receiver in self.nodes:
                if receiver is not sender:
                    receiver.apply_reports(reports, now)

    def crash(self, node, upstream, at, owner):
        guard = self.nodes[node]
        exposure = guard.expose(upstream, make_prompt(owner), at)
        guard.end(exposure, False)
        guard.note_own_crash(exposure, at, at)

    def count_quarantined(self):
        return sum(CAUSE in node.list_quarantined() for node in self.nodes)

    def test_crashes_that_different_nodes_saw_add_up(self):
        """Guards against nodes that each need crashes of their own."""
        for n in range(3):
            self.crash(n, f"i{n}", 10.0 + n, f"r{n}")
            self.exchange(10.1 + n)
        self.assertEqual(self.count_quarantined(), 3)

    def test_reports_that_come_twice_or_late_count_once(self):
        """Guards against one crash that is counted for each message."""
        self.crash(0, "i0", 10.0, "r0")
        for at in (10.1, 10.5, 10.9, 11.3, 11.7):
            self.exchange(at)
        self.crash(1, "i1", 11.8, "r1")
        self.exchange(11.9)
        self.assertEqual(self.count_quarantined(), 0)

    def test_a_node_that_starts_learns_what_is_quarantined(self):
        """Guards against a restart after which servers crash again."""
        self.test_crashes_that_different_nodes_saw_add_up()
        self.nodes[0] = quarantine.Quarantine()
        self.exchange(40.0)
        self.assertEqual(self.count_quarantined(), 3)

    def test_a_survival_at_one_node_clears_a_part_at_all(self):
        """Guards against nodes that tell each other of a cleared part."""
        self.test_crashes_that_different_nodes_saw_add_up()
        guard = self.nodes[1]
        exposure = guard.expose(ids.InstanceId("i8"), make_prompt("t"), 80.0)
        guard.note_event(exposure, 80.1)
        guard.note_event(exposure, 81.2)
        for at in (81.3, 81.7, 85.0, 90.0):
            self.exchange(at)
        self.assertEqual(self.count_quarantined(), 0)

    def test_one_node_tries_for_all(self):
        """Guards against a server that ends for each node's own trial."""
        self.test_crashes_that_different_nodes_saw_add_up()
        self.nodes[2].expose(ids.InstanceId("i8"), make_prompt("t"), 80.0)
        self.exchange(80.1)
        for node in self.nodes:
            self.assertGreater(node.find_retry_after([CAUSE], 80.1), 100.0)

    def test_a_trial_that_reached_no_upstream_is_repeated_soon(self):
        """Guards against a wait that doubles without a result."""
        self.test_crashes_that_different_nodes_saw_add_up()
        for at in (80.0, 95.0):
            exposure = self.nodes[2].expose(
                ids.InstanceId("i8"), make_prompt("t"), at
            )
            self.exchange(at + 0.1)
            self.nodes[2].note_unreached(exposure, at + 0.2)
            self.exchange(at + 0.3)
            for node in self.nodes:
                remaining = node.find_retry_after([CAUSE], at + 0.3)
                self.assertLess(remaining, 10.0)
        self.nodes[1].expose(ids.InstanceId("i8"), make_prompt("t"), 110.0)
        self.exchange(110.1)
        for node in self.nodes:
            remaining = node.find_retry_after([CAUSE], 110.1)
            self.assertGreater(remaining, 115.0)
            self.assertLess(remaining, 120.0)

    def test_merged_reports_keep_what_each_node_saw(self):
        """Guards against a relay that drops the cause from a crash."""
        merged = None
        for n, age in enumerate((0.0, 0.4)):
            report = quarantines.PartReports(
                (quarantines.CrashReport("i0", 0.1, (make_prompt(f"r{n}"),)),)
            )
            merged = quarantines.merge_reports(merged, report, age)
        (crash,) = merged.crashes
        self.assertEqual([one.owner for one in crash.suspects], ["r0", "r1"])

    def test_what_was_sent_again_is_told(self):
        """Guards against nodes that count two quick crashes as one."""
        guard = self.nodes[0]
        prompt = make_prompt("r", fingerprint="whole")
        for n in range(2):
            exposure = guard.expose(f"i{n}", prompt, 10.0, is_repeat=n > 0)
            guard.end(exposure, False)
            guard.note_own_crash(exposure, 10.0 + n / 100, 10.01)
        self.exchange(10.1)
        self.crash(1, "i2", 11.0, "other")
        for node in self.nodes:
            self.assertTrue(node.is_suspected(["whole"]))


class ReplayTest(unittest.TestCase):
    def replay(self, seconds=8.0, cause_rate=3.0, **options):
        replay = crashes.Replay(7, 3, 54, 6, **options)
        replay.start_callers(60.0, seconds, SYSTEM_PROMPT)
        if cause_rate:
            replay.start_callers(cause_rate, seconds, SYSTEM_PROMPT, CAUSE)
        return replay

    def test_few_servers_end_and_sound_requests_are_served(self):
        """Guards against servers that end one after the other."""
        for seed in range(1, 5):
            with self.subTest(seed=seed):
                replay = self.replay(seed=seed)
                replay.run(10.0)
                self.assertEqual(replay.late_runs, 0)
                self.assertLessEqual(len(replay.crashes), 12)
                self.assertEqual(replay.list_quarantined(), {CAUSE})
                self.assertEqual(
                    sum(
                        replay.refused[int(replay.net.now) - n] for n in (3, 4)
                    ),
                    0,
                )

    def test_rare_requests_with_the_part_are_found_too(self):
        """Guards against evidence that is forgotten between two crashes."""
        replay = self.replay(30.0, 0.2)
        replay.run(30.0)
        self.assertEqual(replay.late_runs, 0)
        self.assertLessEqual(len(replay.crashes), 6)

    def test_sound_requests_are_not_blamed_for_losses_of_power(self):
        """Guards against refusing sound requests after many servers ended."""
        replay = self.replay(cause_rate=0.0)
        for n in range(1, 8):
            for server in list(replay._in_progress)[n * 6 : n * 6 + 6]:
                replay.after(float(n), replay.crash, server)
        replay.run(8.0)
        self.assertEqual(replay.list_quarantined(), set())

    def replay_one(self, seed, *options, repeats=12.0):
        """Replay one request that crashes servers, beside sound ones."""
        replay = crashes.Replay(*options, seed=seed)
        replay.are_repeated = True
        servers = replay.count_servers()
        replay.start_callers(2.0 * servers, repeats, SYSTEM_PROMPT)
        replay.repeat_one(0.6, repeats, SYSTEM_PROMPT)
        replay.run(repeats)
        return replay

    def test_one_request_ends_few_servers_at_any_size(self):
        """Guards against repeats at nodes that know nothing of each other."""
        for options in ((3, 1, 8, 6), (7, 3, 54, 6), (16, 3, 120, 2)):
            for seed in range(1, 4):
                with self.subTest(options=options, seed=seed):
                    replay = self.replay_one(seed, *options)
                    self.assertLessEqual(len(replay.crashes), 4)
                    self.assertIn(crashes.REPEATED, replay.list_quarantined())

    def test_victims_of_a_repeated_request_are_not_blamed(self):
        """Guards against refusing what was merely there."""
        blamed = set()
        for seed in range(1, 11):
            replay = self.replay_one(seed, 3, 1, 8, 6)
            blamed |= replay.list_quarantined() - {crashes.REPEATED}
        self.assertEqual(blamed, set())

    def test_half_of_the_nodes_start_again(self):
        """Guards against nodes that forget the part when they restart."""
        replay = self.replay(12.0)
        names = list(replay.net.nodes)
        replay.after(5.0, replay.restart, *names[::2])
        replay.after(9.0, replay.restart, *names[1::2])
        replay.run(12.0)
        self.assertEqual(replay.late_runs, 0)

    def test_all_nodes_of_a_large_fleet_learn_of_it_through_relays(self):
        """Guards against nodes that learn late what others have seen."""
        replay = crashes.Replay(16, 3, 120, 2)
        replay.start_callers(80.0, 7.0, SYSTEM_PROMPT)
        replay.start_callers(3.0, 7.0, SYSTEM_PROMPT, CAUSE)
        replay.run(7.0)
        self.assertEqual(replay.late_runs, 0)
        for node in replay.net.nodes.values():
            self.assertEqual(set(node.quarantine.list_quarantined()), {CAUSE})


if __name__ == "__main__":
    unittest.main()

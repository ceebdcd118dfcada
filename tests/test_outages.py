"""Outages of the store, as a node derives them from the reports."""

import unittest

from currantwall.coordination.peers import outages


class StoreHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = outages.StoreHistory()
        self.now = 0.0

    def note_answers(self, *times):
        for at in times:
            self.history.note_answer(at)
            self.now = max(self.now, at)

    def test_a_time_in_which_nobody_was_answered_is_an_outage(self):
        self.note_answers(10.0, 10.5)
        self.history.note_failure(11.0)
        self.history.note_failure(14.0)
        self.note_answers(15.0)
        found = self.history.find_last_outage(self.now)
        self.assertEqual(found, outages.Outage(14.0, 15.0))

    def test_an_outage_is_known_before_the_store_is_back(self):
        self.note_answers(10.0)
        self.history.note_failure(10.5)
        self.now = 10.6
        self.assertIsNone(self.history.find_last_outage(self.now))
        self.history.note_failure(11.0)
        self.now = 11.1
        found = self.history.find_last_outage(self.now)
        self.assertEqual(found, outages.Outage(11.0, None))

    def test_calls_that_failed_while_others_were_answered_are_no_outage(self):
        self.note_answers(10.0)
        self.history.note_failure(10.5)
        self.history.note_failure(11.0)
        self.note_answers(10.4, 10.9, 11.4, 11.5)
        self.assertIsNone(self.history.find_last_outage(self.now))

    def test_an_answer_that_is_reported_late_refutes_an_outage(self):
        """Failure: a lost heartbeat is taken for an outage of seconds."""
        self.note_answers(10.0)
        self.history.note_failure(10.5)
        self.note_answers(11.0)
        self.assertIsNotNone(self.history.find_last_outage(self.now))
        self.note_answers(10.6)
        self.assertIsNone(self.history.find_last_outage(self.now))

    def test_a_silence_in_which_no_call_failed_is_no_outage(self):
        """Failure: a node that heard no other keeps instances that left."""
        self.note_answers(10.0, 14.0)
        self.assertIsNone(self.history.find_last_outage(self.now))

    def test_an_outage_longer_than_answers_are_kept_is_found(self):
        self.note_answers(10.0)
        for at in range(11, 100):
            self.history.note_failure(float(at))
        self.note_answers(100.0, 100.5)
        found = self.history.find_last_outage(self.now)
        self.assertEqual(found, outages.Outage(99.0, 100.0))

    def test_the_history_is_bounded(self):
        for tick in range(10_000):
            self.history.note_answer(tick / 10.0)
            self.history.note_failure(tick / 10.0)
        self.assertLess(len(self.history._answers), 200)
        self.assertLess(len(self.history._failures), 200)


if __name__ == "__main__":
    unittest.main()

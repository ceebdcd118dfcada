"""Tasks that fail, and what tells so."""

import unittest
from unittest import mock

import msgspec

from currantwall.coordination.peers import digests
from currantwall.transport import heartbeats
from currantwall.transport import journal
from currantwall.transport import supervision


class Stop(BaseException):
    """Ends a task that would run forever."""


class SupervisorTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        self.meter = mock.Mock()
        self.log = mock.Mock()
        self.supervisor = supervision.Supervisor(
            self.meter, self.log, lambda: self.time
        )
        patch = mock.patch.object(supervision.eventlet, "sleep", self._sleep)
        patch.start()
        self.addCleanup(patch.stop)
        self.slept = []

    def _sleep(self, seconds):
        self.slept.append(seconds)
        self.time += seconds

    def _run(self, *outcomes):
        task = mock.Mock(side_effect=[*outcomes, Stop])
        task.__qualname__ = "Feed.run"
        with self.assertRaises(Stop):
            self.supervisor._run(task)

    def test_a_task_outlasts_every_error(self):
        """Guards against a feed that stands still after one error."""
        self._run(ValueError("x"), OverflowError(), RecursionError(), KeyError)
        self.assertEqual(self.slept, [0.05, 0.1, 0.2, 0.4])

    def test_an_error_at_each_run_costs_few_runs_and_lines(self):
        """Guards against a task that fails hundreds of times a minute."""
        self._run(*[ValueError("9" * 100_000)] * 60)
        self.assertLessEqual(max(self.slept), 0.8)
        self.assertGreater(sum(self.slept), 40.0)
        lines = self.log.write.call_args_list
        self.assertLessEqual(len(lines), sum(self.slept) + 1)
        self.assertLess(max(len(str(line)) for line in lines), 500)

    def test_failing_tasks_are_told_until_they_have_recovered(self):
        """Guards against tasks that fail without a sign."""
        self._run(ValueError("x"))
        self.assertEqual(self.supervisor.list_failing(), ["Feed.run"])
        self.supervisor.report()
        self.meter.set.assert_called_with("currantwall.tasks.failing", 1)
        self.time += 6.0
        self.assertEqual(self.supervisor.list_failing(), [])
        self._run(ValueError("y"))
        self.assertEqual(self.slept[-1], 0.05)


class ReceiverTest(unittest.TestCase):
    def test_a_message_that_fails_keeps_no_other_from_being_received(self):
        """Guards against a node that hears no other after one message."""
        delivered = []

        def deliver(message):
            delivered.append(message)
            if len(delivered) == 1:
                raise KeyError("x")

        receiver = heartbeats.Heartbeats(
            "127.0.0.1:0", lambda _: [], deliver, mock.Mock(), mock.Mock()
        )
        receiver.on_error = mock.Mock()
        data = msgspec.msgpack.encode(digests.Alarm(("a",)))
        receiver._socket.close()
        receiver._socket = mock.Mock()
        receiver._socket.recvfrom.side_effect = [(data, ""), (data, ""), Stop]
        with self.assertRaises(Stop):
            receiver.run_receiver()
        self.assertEqual(len(delivered), 2)
        receiver.on_error.assert_called_once()


class JournalTest(unittest.TestCase):
    def test_a_long_text_takes_one_short_line(self):
        """Guards against text of others that fills the log."""
        log = journal.Journal("n", lambda: 0.0)
        log.write("refused", why="x" * 1_000_000)
        (line,) = log._lines
        self.assertLess(len(line), 1000)
        self.assertIn(b"1000000 characters", line)


if __name__ == "__main__":
    unittest.main()

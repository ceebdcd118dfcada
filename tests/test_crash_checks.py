"""How a node tells a crash from a connection that broke."""

import math
import pathlib
import sys
import unittest
from unittest import mock

import eventlet
import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from currantwall_platform import engines as engines_module  # noqa: E402

from currantwall.coordination.replicas import knowledge
from currantwall.coordination.requests import attempts
from currantwall.coordination.requests import quarantine
from currantwall.coordination.requests import withdrawals
from currantwall.state import ids
from currantwall.state import quarantines
from currantwall.transport import crashes
from currantwall.transport import exchanges
from currantwall.transport import sending
from currantwall.transport import timers
from tests import test_exchanges
from tests import test_gateway_parts


class _Engines:
    """Engines that answer each report after a while."""

    def __init__(self):
        self.is_alive = True
        self.failure = knowledge.ProbeResult.REFUSED
        self.health = knowledge.ProbeResult.REFUSED
        self.born = 1
        self.is_listening = True
        self.count = 0

    def report(self, upstream, new_connection):
        self.count += 1
        is_alive, born = self.is_alive, self.born
        eventlet.sleep(0.02)
        if not is_alive or (new_connection and not self.is_listening):
            return self.failure
        return msgspec.structs.replace(upstream, born=born)

    def check_health(self, upstream, path):
        assert path == "/health"
        return self.health


class _CheckCase(unittest.TestCase):
    def setUp(self):
        self.engines = _Engines()
        self.crashes = crashes.Crashes(
            quarantine.Quarantine(),
            self.engines,
            mock.Mock(),
            mock.Mock(),
            timers.TimerService.now,
        )
        self.upstream = test_gateway_parts.make_upstream(
            "e1", domain="d0", born=1
        )

    def is_ended_by_crash(self, upstream, seconds=0.0):
        """Return whether a crash may have ended an answer.

        A check without an answer is repeated for some seconds.
        """
        until = timers.TimerService.now() + seconds
        return self.crashes.is_ended_by_crash(upstream, "/health", until)

    def has_crashed(self):
        return self.crashes.has_crashed(self.upstream, "")


class CrashChecksTest(_CheckCase):
    def test_a_broken_connection_is_no_crash(self):
        """Guards against blaming requests for resets of connections."""
        self.assertFalse(self.has_crashed())

    def test_an_upstream_that_has_started_again_has_crashed(self):
        """Guards against a restart that is faster than the check."""
        self.engines.born = 2
        self.assertTrue(self.has_crashed())

    def test_an_upstream_that_breaks_new_connections_has_crashed(self):
        """Guards against crashes behind something that still listens."""
        self.engines.is_alive = False
        self.engines.failure = knowledge.ProbeResult.BROKEN
        self.assertTrue(self.has_crashed())

    def test_a_silent_upstream_has_not_crashed(self):
        """Guards against blaming requests for an upstream that is silent."""
        for failure in (
            knowledge.ProbeResult.SILENT,
            knowledge.ProbeResult.UNRESPONSIVE,
        ):
            self.engines.is_alive = False
            self.engines.failure = failure
            self.assertFalse(self.has_crashed())
            # Whether it has ended an answer in order is not known.
            self.assertTrue(self.is_ended_by_crash(self.upstream))

    def test_a_check_from_before_the_crash_proves_nothing(self):
        """Guards against half a stream that counts as complete.

        Another attempt was checked a moment before, or is being checked.
        """
        running = eventlet.spawn(self.has_crashed)
        eventlet.sleep(0.01)
        self.engines.is_alive = False
        self.assertTrue(self.has_crashed())
        self.assertFalse(running.wait())
        self.engines.is_alive = True
        self.crashes._checks.clear()
        self.assertFalse(self.has_crashed())
        self.engines.is_alive = False
        self.assertTrue(self.has_crashed())

    def break_off(self, step):
        """Break off a forwarded attempt; return what is reported."""
        guard = self.crashes.quarantine
        prompt = quarantines.Prompt("r1", (ids.PartId("c4a5"),))
        current = mock.Mock(
            upstream=self.upstream,
            peer="a2",
            failed_step=step,
            sent_at=0.0,
            exposure=guard.expose(self.upstream.id, prompt, 1.0),
        )
        guard.end(current.exposure, False)
        self.crashes.note_break(mock.Mock(prompt=prompt), current)
        eventlet.sleep(0.0)
        return guard.make_reports(timers.TimerService.now())

    def test_a_peer_that_fails_is_no_crash_of_an_upstream(self):
        """Guards against blaming requests for the end of a peer."""
        self.assertIsNone(self.break_off(exchanges.PEER))
        self.assertIsNone(self.break_off("body"))

    def test_a_crash_that_the_forwarding_peer_saw_is_reported(self):
        """Guards against a cause that comes by way of peers only."""
        reports = self.break_off(exchanges.CRASH)
        self.assertEqual([one.upstream for one in reports.crashes], ["e1"])

    def test_many_broken_attempts_take_few_checks(self):
        """Guards against a report for each attempt at an upstream."""
        tasks = [eventlet.spawn(self.has_crashed) for _ in range(20)]
        self.assertEqual({task.wait() for task in tasks}, {False})
        self.assertLessEqual(self.engines.count, 2)

    def test_a_request_is_not_repeated_after_a_third_crash_under_it(self):
        """Guards against a fourth crash while the list is old."""
        self.engines.is_alive = False
        prompt = quarantines.Prompt("", (), ids.PartId("request-1"))
        guard = self.crashes.quarantine
        found = []
        for name, at in (("e1", 10.0), ("e2", 10.2), ("e1", 13.0)):
            current = mock.Mock(
                upstream=test_gateway_parts.make_upstream(
                    name, domain="d0", born=1
                ),
                peer=None,
                sent_at=at,
                exposure=guard.expose(ids.InstanceId(name), prompt, at, 1),
            )
            guard.end(current.exposure, False)
            with mock.patch.object(self.crashes, "_now", lambda at=at: at):
                found.append(
                    self.crashes.note_break(mock.Mock(prompt=prompt), current)
                )
                eventlet.sleep(0.1)
        # The list has no new start of e1, so that nothing is quarantined.
        self.assertEqual(guard.list_quarantined(), {})
        self.assertEqual(found, [False, False, True])

    def make_trial(self):
        """Return a request with a quarantined part, and its attempt."""
        part = ids.PartId("t")
        self.crashes.quarantine.restore(part, 0, -1000.0)
        prompt = quarantines.Prompt("r", (part,))
        current = mock.Mock(
            upstream=self.upstream, sent_at=0.0, peer=None, begun_at=None
        )
        current.exposure = self.crashes.quarantine.expose(
            self.upstream.id, prompt, 0.0
        )
        request = mock.Mock(
            prompt=prompt, progress=attempts.Progress(1), deadline=math.inf
        )
        request.route = test_gateway_parts.make_route()
        return request, current

    def make_sender(self, balancer):
        sender = sending.Sender(
            balancer,
            *[mock.Mock() for _ in range(7)],
            self.crashes,
            *[mock.Mock() for _ in range(3)],
            timers.TimerService.now,
        )
        sender.fleet_age = lambda now: 0.0
        return sender

    def test_a_peer_tells_the_sender_of_an_upstream_that_leaves(self):
        """Guards against a request that is sent there again and again."""
        known = withdrawals.Withdrawals()
        sender = self.make_sender(mock.Mock(withdrawals=known))
        request, current = self.make_trial()
        failed = exchanges.Failed(1, False, exchanges.LEAVING, "why")
        sender.fail_interrupted(request, current, failed)
        self.assertTrue(known.is_leaving(self.upstream))

    def test_a_peer_that_knows_the_former_process_only_is_not_believed(self):
        """Guards against a server that has restarted and gets nothing."""
        known = withdrawals.Withdrawals()
        sender = self.make_sender(mock.Mock(withdrawals=known))
        request, current = self.make_trial()
        former = self.upstream.born + 1
        failed = exchanges.Failed(
            1, False, exchanges.LEAVING, "why", born=former
        )
        sender.fail_interrupted(request, current, failed)
        self.assertFalse(known.is_leaving(self.upstream))

    def test_only_an_attempt_that_may_have_run_is_a_trial(self):
        """Guards against a wait that doubles without a result."""
        for failure, reached in (
            (attempts.Failure.UNREACHED, 0),
            (attempts.Failure.NOT_RUN, 0),
            (attempts.Failure.STALLED, 1),
        ):
            self.setUp()
            request, current = self.make_trial()
            self.make_sender(mock.Mock()).fail_attempt(
                request, current, failure, "why"
            )
            counts = self.crashes.quarantine.list_quarantined()
            self.assertEqual(counts, {"t": reached}, failure)


if __name__ == "__main__":
    unittest.main()


class UnframedAnswerTest(_CheckCase):
    """Answers of plain servers that the end of the connection ends."""

    def setUp(self):
        super().setUp()
        self.upstream = test_gateway_parts.make_upstream("a1", born=1)
        test_exchanges.patch_sockets(self)

    def listen(self, answer):
        """Accept connections in place of a process that has ended."""
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        accepted = []

        def accept():
            while True:
                client, _ = listener.accept()
                accepted.append(client)
                client.recv(4096)
                if answer is None:
                    continue
                client.sendall(answer)
                client.close()

        self.addCleanup(eventlet.spawn(accept).kill)
        self.addCleanup(lambda: [client.close() for client in accepted])
        host, port = listener.getsockname()
        self.crashes._engines = engines_module.Engines(
            exchanges.Connections(timers.TimerService.now)
        )
        return msgspec.structs.replace(self.upstream, address=f"{host}:{port}")

    def test_an_accepted_connection_proves_no_living_process(self):
        """Guards against half of an answer that passes as whole.

        The kernel accepts connections for a process that is being killed,
        and a proxy for one that has ended.
        """
        error = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"
        page = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
        for answer in (None, b"", error, page):
            upstream = self.listen(answer)
            self.assertTrue(self.is_ended_by_crash(upstream), answer)

    def test_a_server_that_has_started_again_did_not_end_its_answer(self):
        """Guards against a restart before the server is asked."""
        self.assertFalse(self.is_ended_by_crash(self.upstream))
        self.engines.born = 2
        self.assertTrue(self.is_ended_by_crash(self.upstream))

    def test_a_check_for_a_later_start_proves_nothing(self):
        """Guards against half of an answer from before a restart.

        Others are sent to the server after the restart, and their answers
        end at the same moment. The second one's check follows a shared one.
        """
        self.engines.born = 2
        later = msgspec.structs.replace(self.upstream, born=2)
        for upstreams in (
            (later, later, self.upstream),
            (later, self.upstream, later),
        ):
            with self.subTest([one.born for one in upstreams]):
                tasks = [
                    eventlet.spawn(self.is_ended_by_crash, one)
                    for one in upstreams
                ]
                found = [task.wait() for task in tasks]
                self.assertEqual(found, [one.born == 1 for one in upstreams])

    def test_a_leaving_server_may_crash_as_well(self):
        """Guards against half of an answer of a server that leaves."""
        self.upstream = msgspec.structs.replace(self.upstream, leaving=True)
        self.assertFalse(self.is_ended_by_crash(self.upstream))
        self.engines.is_alive = False
        self.assertTrue(self.is_ended_by_crash(self.upstream))

    def test_a_leaving_server_that_no_longer_listens_is_alive(self):
        """Guards against whole answers of leaving servers that fail."""
        self.upstream = msgspec.structs.replace(self.upstream, leaving=True)
        self.engines.is_listening = False
        self.assertFalse(self.is_ended_by_crash(self.upstream))

    def test_a_server_without_reports_is_asked_for_its_health(self):
        """Guards against sound servers whose answers all count as cut."""
        self.engines.is_alive = False
        self.engines.failure = knowledge.ProbeResult.UNREPORTED
        self.engines.health = knowledge.ProbeResult.ANSWERED
        for _ in range(3):
            self.assertFalse(self.is_ended_by_crash(self.upstream))
        self.assertEqual(self.engines.count, 1)
        self.engines.health = knowledge.ProbeResult.REFUSED
        self.assertTrue(self.is_ended_by_crash(self.upstream))

    def test_a_service_with_reports_is_not_asked_for_its_health(self):
        """Guards against an answer in place of a server that has ended."""
        self.assertFalse(self.is_ended_by_crash(self.upstream))
        self.engines.is_alive = False
        self.engines.failure = knowledge.ProbeResult.UNREPORTED
        self.engines.health = knowledge.ProbeResult.ANSWERED
        self.assertTrue(self.is_ended_by_crash(self.upstream))

    def test_a_silent_server_is_asked_again_while_there_is_time(self):
        """Guards against a failure for a whole answer of a busy server."""
        self.engines.is_alive = False
        self.engines.failure = knowledge.ProbeResult.UNRESPONSIVE
        eventlet.spawn_after(0.3, setattr, self.engines, "is_alive", True)
        self.assertFalse(self.is_ended_by_crash(self.upstream, 5.0))

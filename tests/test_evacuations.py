"""Evacuation of data centres: which requests reach their upstreams."""

import math
import signal
import socket
import threading
import time
import unittest
from unittest import mock

import msgspec
import result

from bench import fleet as fleet_module
from bench import gateways
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import evacuations
from currantwall.state import evacuations as reports
from currantwall.state import ids
from currantwall.state import rendezvous
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import evacuations as feeds
from currantwall.transport import peers
from currantwall.transport import ports
from tests import test_feeds
from tests import test_gateway
from tests import test_gateway_parts

# Seconds from the store's answer until no request may reach an upstream of
# the data centre where nothing fails, and the bound in the settings.
_EFFECT_SECONDS = 1.0
_BOUND_MS = 5000
_REQUEST_INTERVAL = 0.01
# More datagrams than the buffer of a socket holds.
_BUFFERED_DATAGRAMS = 1000
# Data centre of each server; the engines of one are one domain.
_DATACENTRES = {
    "a1": "a",
    "a2": "b",
    "e1": "a",
    "e2": "a",
    "e3": "b",
    "e4": "b",
}
_GATEWAYS = ("g1", "g2", "g3")
# The gateways by rank; the first two read the store, the last one follows.
_RANKED = sorted(_GATEWAYS, key=lambda name: -rendezvous.score("relay", name))


class EvacuationsTest(test_feeds.FeedCase):
    def setUp(self):
        super().setUp()
        self.known = evacuations.Evacuations(_BOUND_MS / 1000.0, 100.0)
        self.withdrawn = []
        self.known.on_withdrawn = lambda *call: self.withdrawn.append(call)

    # -- Decisions

    def make_balancer(self):
        fleet = upstreams.Fleet()
        listed = [
            test_gateway_parts.make_upstream(name, datacentre=name[0])
            for name in ("a1", "a2", "b1")
        ]
        fleet.replace(listed, 1, 100.0)
        balancer = balancing.Balancer(fleet, ids.DatacentreName("a"))
        balancer.evacuations = self.known
        return balancer

    def choose(self, balancer):
        """Return the upstreams that requests of a plain service get."""
        found = set()
        for number in range(20):
            chosen = balancer.choose(
                ids.ServiceName("pool"), None, (), f"salt{number}", 101.0
            )
            if isinstance(chosen, balancing.Unavailable):
                return chosen
            found.add(chosen.id)
        return found

    def test_two_data_centres_are_evacuated_together(self):
        """Guards against requests that wait or are sent where none serves."""
        balancer = self.make_balancer()
        self.known.note(1, [], 100.0)
        self.assertLessEqual({"a1", "a2"}, self.choose(balancer))
        self.known.note(2, ["a"], 100.0)
        self.assertEqual(self.choose(balancer), {"b1"})
        self.known.note(3, ["a", "b"], 100.0)
        refusal = self.choose(balancer)
        self.assertFalse(refusal.is_full)
        self.assertGreater(refusal.retry_after, 0)
        self.known.note(4, ["b"], 100.0)
        self.assertEqual(self.choose(balancer), {"a1", "a2"})
        self.assertEqual(self.withdrawn, [("a", 100.0)])

    def test_one_withdrawal_ends_an_evacuation_requested_twice(self):
        """Guards against an evacuation that is counted, not set."""
        self.assertEqual(self.known.note(1, ["a"], 100.0).begun, ("a",))
        self.assertFalse(self.known.note(2, ["a"], 101.0))
        self.assertEqual(self.known.note(3, [], 102.0).withdrawn, ("a",))
        self.assertEqual(self.withdrawn, [("a", 102.0)])
        self.assertFalse(self.known.is_evacuated("a"))

    def test_an_outdated_report_changes_nothing(self):
        """Guards against nodes that revive a withdrawn evacuation."""
        self.known.note(5, [], 100.0)
        self.assertFalse(self.known.note(4, ["a"], 100.0))
        self.assertFalse(self.known.is_evacuated("a"))

    def test_a_node_that_has_learnt_nothing_sends_nothing(self):
        """Guards against requests of a restarted node after the bound."""
        refusal = self.choose(self.make_balancer())
        self.assertIsInstance(refusal, balancing.Unavailable)
        self.known.note_contact(104.0, True)
        self.assertFalse(self.known.expire(108.9))
        self.assertFalse(self.known.is_known)

    def test_a_node_that_nothing_can_inform_serves(self):
        """Guards against an isolated node that refuses all requests."""
        self.assertTrue(self.known.expire(105.1))
        self.assertFalse(self.known.is_active)
        self.assertIsNone(self.known.list_reports(105.1))

    def test_a_node_that_was_suspended_waits_for_new_reports(self):
        """Guards against requests on a state from before the suspension."""
        self.known.note(5, [], 100.0)
        self.known.note_time(102.4)
        self.known.note_time(104.8)
        self.assertTrue(self.known.is_known)
        self.known.note_time(107.4)
        self.known.note_contact(107.9, True)
        self.assertFalse(self.known.is_known)
        self.known.note_contact(108.1, True)
        self.assertTrue(self.known.is_known)

    def test_a_choice_is_used_only_for_a_second(self):
        """Guards against requests sent after a suspension that follows it."""
        self.known.note(5, ["b"], 100.0)
        self.known.note_time(101.0)
        self.assertEqual(self.known.get_send_deadline("a"), 102.0)
        self.assertLess(self.known.get_send_deadline("b"), 100.0)
        unbounded = evacuations.Evacuations()
        self.assertEqual(unbounded.get_send_deadline("a"), math.inf)

    def test_a_change_is_reported_for_a_while_an_evacuation_always(self):
        self.known.note(1, ["a"], 100.0)
        report = reports.EvacuationReport(1, ("a",))
        self.assertEqual(self.known.list_reports(900.0), report)
        self.known.note(2, [], 900.0)
        withdrawal = reports.EvacuationReport(2, ())
        self.assertEqual(self.known.list_reports(909.0), withdrawal)
        self.assertIsNone(self.known.list_reports(911.0))

    def test_an_evacuation_that_the_store_has_forgotten_stays(self):
        """Guards against requests there until the operator writes again.

        The store comes back from a copy from before the evacuation.
        """
        self.known.note(revisions.join(1, 40), ["a"], 100.0)
        for seconds, number in ((0.0, 30), (5.0, 31), (9.9, 31)):
            revision = revisions.join(2, number)
            self.assertFalse(self.known.note(revision, [], 100.0 + seconds))
            self.assertTrue(self.known.is_evacuated("a"))
        report = self.known.list_reports(109.9)
        self.assertEqual(report.datacentres, ("a",))
        change = self.known.note(revisions.join(2, 31), [], 110.1)
        self.assertEqual(change.withdrawn, ("a",))

    def test_a_node_that_starts_hears_of_a_forgotten_evacuation(self):
        """Guards against requests there by a node that has read the store.

        What it has read is newer than what the other node reports.
        """
        self.known.note(revisions.join(1, 40), ["a"], 100.0)
        self.known.note(revisions.join(2, 30), [], 101.0)
        report = self.known.list_reports(103.0)
        started = evacuations.Evacuations(5.0, 102.0)
        started.note(revisions.join(2, 33), [], 102.5)
        for now, names in ((103.0, ("a",)), (104.0, ())):
            change = started.note(
                report.revision,
                report.datacentres,
                now,
                retained_for=report.retained_for,
            )
            self.assertEqual(change.begun, names)
        self.assertFalse(started.note(revisions.join(2, 35), [], 110.9))
        self.assertTrue(started.is_evacuated("a"))
        change = started.note(revisions.join(2, 36), [], 111.1)
        self.assertEqual(change.withdrawn, ("a",))

    def test_a_report_of_an_earlier_era_changes_nothing(self):
        """Guards against an evacuation that a late report withdraws."""
        self.known.note(revisions.join(2, 30), ["a"], 100.0)
        self.known.note(revisions.join(1, 40), [], 100.5)
        self.assertTrue(self.known.is_evacuated("a"))

    def test_nothing_is_reported_or_withheld_without_a_bound(self):
        known = evacuations.Evacuations()
        self.assertFalse(known.note(1, ["a"], 100.0))
        self.assertFalse(known.is_active)
        self.assertIsNone(known.list_reports(100.0))

    # -- Feed

    def make_feed(self, lists, watches=()):
        """Return a feed of a node that reads the store if it has to."""
        self.presence = presence_module.Presence(test_feeds.make_entry("me"))
        self.store = test_feeds.Store(lists, watches)
        self.meter = mock.Mock()
        fleet = upstreams.Fleet()
        fleet.replace(
            [test_gateway_parts.make_upstream("a1", datacentre="a")], 1, 100.0
        )
        feed = feeds.EvacuationFeed(
            self.store,
            mock.Mock(evacuations_kind="evacuations"),
            self.known,
            fleet,
            self.presence,
            self.meter,
            self.log,
            self.clock,
            5.0,
        )
        feed.on_change = mock.Mock()
        return feed

    def make_changes(self, revision, written, removed):
        listing = test_feeds.make_list(revision, *written).ok_value
        return result.Ok(
            msgspec.structs.replace(listing, removed=frozenset(removed))
        )

    def test_a_reader_follows_the_store(self):
        feed = self.make_feed(
            [test_feeds.make_list(1)],
            [
                self.make_changes(2, ["a"], []),
                self.make_changes(3, ["nowhere"], []),
                self.make_changes(4, [], ["a"]),
            ],
        )
        self.store.limit = 4
        self.run_feed(feed)
        self.assertEqual(self.known.list_datacentres(), ["nowhere"])
        self.assertEqual([name for name, _ in self.withdrawn], ["a"])
        self.assertEqual(feed.on_change.call_count, 3)
        self.assertEqual(self.log.events.count("evacuation_unknown_name"), 1)

    def test_a_request_that_is_withdrawn_immediately_has_no_effect(self):
        """Guards against an evacuation that lasts although it was withdrawn.

        One answer has both changes, without their order.
        """
        feed = self.make_feed(
            [test_feeds.make_list(1), test_feeds.make_list(3)],
            [self.make_changes(3, ["a"], ["a"]), self.make_changes(4, [], [])],
        )
        self.store.limit = 4
        self.run_feed(feed)
        self.assertEqual(self.known.list_datacentres(), [])

    def test_a_request_that_is_renewed_immediately_stays(self):
        """Guards against the same with the changes in the other order."""
        feed = self.make_feed(
            [test_feeds.make_list(1, "a"), test_feeds.make_list(3, "a")],
            [self.make_changes(3, ["a"], ["a"]), self.make_changes(4, [], [])],
        )
        self.store.limit = 4
        self.run_feed(feed)
        self.assertEqual(self.known.list_datacentres(), ["a"])

    def test_a_node_that_the_store_refuses_follows_the_others(self):
        refused = result.Err(ports.StoreFailure.UNAVAILABLE)
        feed = self.make_feed([refused])
        other = test_feeds.make_entry("n")
        report = reports.EvacuationReport(7, ("a",))
        self.store.before_call = lambda: feed.note_report(
            other, True, True, report
        )
        self.store.limit = 4
        self.run_feed(feed)
        self.assertTrue(self.known.is_evacuated("a"))
        self.assertEqual(feed.on_change.call_count, 1)

    def test_the_report_of_an_unready_node_confirms_nothing(self):
        """Guards against state that a suspended node reports when it resumes.

        Its names are applied: they may be newer.
        """
        feed = self.make_feed([test_feeds.make_list(1)])
        other = test_feeds.make_entry("n")
        for revision, is_ready in ((7, False), (7, True)):
            report = reports.EvacuationReport(revision, ("a",))
            feed.note_report(other, is_ready, True, report)
            self.assertEqual(self.known.list_datacentres(), ["a"])
            self.assertEqual(self.known.is_known, is_ready)

    def test_in_an_outage_only_readers_call_often(self):
        """Guards against a paid call of every node in each second."""
        feed = self.make_feed([result.Err(ports.StoreFailure.UNAVAILABLE)])
        self.presence.reads_store = lambda now: True
        waits = []
        cases = (
            (0, True, False),
            (1, False, False),
            (1, True, True),
            (1, True, False),
        )
        for revision, is_known, is_reader in cases:
            self.known.revision = revision
            self.known.is_known = is_known
            self.presence.is_reader = lambda now, is_reader=is_reader: (
                is_reader
            )
            self.known.expire = lambda now: False
            self.store.calls = 0
            self.run_feed(feed)
            waits.append(self.clock.sleeps[-1])
        self.assertLessEqual(max(waits[:3]), 1.0)
        self.assertGreaterEqual(waits[3], 4.0)

    def test_a_node_that_nobody_answers_serves_after_the_bound(self):
        refused = result.Err(ports.StoreFailure.UNAVAILABLE)
        feed = self.make_feed([refused])
        self.run_feed(feed)
        self.assertTrue(self.known.is_known)
        self.assertIn("evacuations_unknown", self.log.events)

    def test_a_lone_node_that_was_suspended_asks_the_store_again(self):
        feed = self.make_feed(
            [test_feeds.make_list(1)], [self.make_changes(1, [], [])]
        )
        self.known.note(1, [], 100.0)
        self.known.note_time(103.0)
        self.clock.time = 103.0
        self.store.limit = 2
        watch = self.store.watch

        def wait(kind, since, seconds, patience):
            answer = watch(kind, since, seconds, patience)
            self.clock.time += seconds
            return answer

        self.store.watch = wait
        self.run_feed(feed)
        self.assertTrue(self.known.is_known)
        self.assertLess(self.clock.time, 105.0)

    def test_a_reader_detects_its_own_suspension(self):
        """Guards against a whole watch before it is ready again.

        Nothing else runs on the node. The answer is from before the
        suspension or soon after it, and confirms nothing.
        """
        feed = self.make_feed(
            [test_feeds.make_list(1)], [self.make_changes(1, [], [])]
        )
        self.known.note(1, [], 100.0)
        self.store.limit = 2
        watch, known = self.store.watch, []

        def resume(kind, since, seconds, patience):
            answer = watch(kind, since, seconds, patience)
            self.clock.time += 10.0
            return answer

        self.store.watch = resume
        self.store.before_call = lambda: known.append(self.known.is_known)
        self.run_feed(feed)
        # The list, the watch that is suspended, and the list after it.
        self.assertEqual(known, [True, True, False])
        self.assertEqual(self.log.events, ["evacuations_unconfirmed"])
        self.meter.add.assert_called_once_with(
            feeds._CHANGES_METRIC, 1, "evacuations_unconfirmed"
        )

    def test_a_report_stays_small_whatever_the_store_contains(self):
        """Guards against heartbeats that fill slow links.

        The names of data centres with upstreams are kept.
        """
        names = [f"{number:0100}" for number in range(100)]
        names += [f"{number:064}" for number in range(100)]
        names += [chr(0x10000 + number) * 64 for number in range(100)]
        feed = self.make_feed(
            [test_feeds.make_list(1, "a", *names)],
            [self.make_changes(1, [], [])],
        )
        self.run_feed(feed)
        report = self.known.list_reports(self.clock.time)
        self.assertIn("a", report.datacentres)
        self.assertLess(len(msgspec.msgpack.encode(report)), 1000)
        self.assertIn("evacuation_unknown_name", self.log.events)

    def test_only_readers_call_the_store(self):
        """Guards against a watch of every node; each call is paid for."""
        feed = self.make_feed([test_feeds.make_list(1, "a")])
        self.presence.reads_store = mock.Mock(return_value=False)
        self.clock.sleeps = mock.Mock()
        self.clock.sleeps.append.side_effect = [None] * 40 + [test_feeds.Stop]
        self.run_feed(feed)
        self.assertEqual(self.store.calls, 1)

    def test_a_starting_node_that_hears_a_reader_watches_nothing(self):
        """Guards against a watch of each node when all start together."""
        feed = self.make_feed([test_feeds.make_list(1)])
        self.presence.reads_store = lambda now: now < 101.0
        self.clock.sleeps = mock.Mock()
        self.clock.sleeps.append.side_effect = [None] * 9 + [test_feeds.Stop]
        self.run_feed(feed)
        self.assertEqual(self.store.calls, 1)

    def test_a_peer_that_has_learnt_nothing_ends_no_wait(self):
        """Guards against nodes that wait for each other and never serve."""
        feed = self.make_feed([test_feeds.make_list(1)])
        other = test_feeds.make_entry("n")
        self.clock.time = 104.0
        with mock.patch.object(feeds.eventlet, "spawn_n") as spawn:
            feed.note_report(other, True, False, None)
        spawn.assert_not_called()
        self.assertTrue(self.known.expire(105.1))

    def test_a_starting_node_asks_a_peer_that_is_ready(self):
        feed = self.make_feed([test_feeds.make_list(1)])
        other = test_feeds.make_entry("n")
        answer = msgspec.msgpack.encode(reports.EvacuationReport(9, ("a",)))
        with (
            mock.patch.object(
                feeds.eventlet, "spawn_n", lambda task, *words: task(*words)
            ),
            mock.patch.object(peers, "fetch", return_value=answer) as fetch,
        ):
            feed.note_report(other, False, True, None)
            self.assertFalse(self.known.is_known)
            feed.note_report(other, True, True, None)
            feed.note_report(other, True, True, None)
        fetch.assert_called_once_with("p", peers.EVACUATIONS_PATH)
        self.assertTrue(self.known.is_evacuated("a"))
        self.assertTrue(feed.encode_report())


class EvacuatedSiteTest(test_gateway.GatewayCase):
    """Three gateways, two of which read the store, and two data centres."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = gateways.Gateways()
        cls.fleet.bounds = {"evacuateMs": _BOUND_MS}
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_store()
        for name, datacentre in _DATACENTRES.items():
            is_engine = name.startswith("e")
            cls.fleet.start_upstream(
                name,
                "pool" if is_engine else "app",
                f"d-{datacentre}" if is_engine else "",
                "m" if is_engine else "",
                f"--datacentre={datacentre}",
            )
        cls.fleet.put_configuration()
        for name in _GATEWAYS:
            cls.fleet.start_gateway(name)
        for name in _GATEWAYS:
            cls.wait_for(lambda name=name: cls.fleet.is_ready(name))
            cls.wait_for(lambda name=name: cls.is_serving(name))
        cls.wait_for(lambda: cls.count_open_leaders() == 2)

    @classmethod
    def wait_for(cls, check):
        fleet_module.wait_until(check, test_gateway._TIMEOUT, "site")

    @classmethod
    def count_open_leaders(cls):
        """Return how many engines have run a request of a few just sent."""
        for number in range(8):
            cls.send("POST", "/stream/w", gateway=_GATEWAYS[number % 3])
        return sum(
            bool(cls.fleet.list_arrivals(name))
            for name in _DATACENTRES
            if name.startswith("e")
        )

    def list_late(self, datacentre, since):
        """Return the arrivals at a data centre's servers after a time."""
        return [
            (name, at - since)
            for name, place in _DATACENTRES.items()
            if place == datacentre
            for at in self.fleet.list_arrivals(name)
            if at > since
        ]

    def send_for(self, seconds, names=_GATEWAYS):
        """Send requests of both kinds to gateways; return the answers."""
        answers = []

        def send(gateway, method, target):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                answers.append(self.send(method, target, gateway=gateway))
                time.sleep(_REQUEST_INTERVAL)

        senders = [
            threading.Thread(target=send, args=(gateway, *request))
            for gateway in names
            for request in (("GET", "/safe/x"), ("POST", "/stream/x"))
        ]
        for sender in senders:
            sender.start()
        for sender in senders:
            sender.join()
        return answers

    def evacuate(self, datacentre):
        self.addCleanup(self.withdraw, datacentre)
        self.fleet.evacuate(datacentre)
        return time.monotonic()

    def withdraw(self, datacentre):
        self.fleet.withdraw_evacuation(datacentre)
        self.send_for(_EFFECT_SECONDS)

    def test_no_request_reaches_an_evacuated_data_centre(self):
        """Guards against requests after the bound, from any gateway."""
        before = time.monotonic()
        self.send_for(0.5)
        self.assertTrue(self.list_late("b", before))
        answered = self.evacuate("b")
        answers = self.send_for(3.0)
        self.assertEqual(self.list_late("b", answered + _EFFECT_SECONDS), [])
        self.assertEqual({answer.status for answer in answers}, {200})
        self.fleet.withdraw_evacuation("b")
        withdrawn = time.monotonic()
        self.send_for(2.0)
        self.assertTrue(self.list_late("b", withdrawn))

    def test_streams_in_flight_are_completed(self):
        """Guards against an evacuation that cuts or repeats streams."""
        names = [f"drain-{number}" for number in range(6)]
        answers = []

        def stream(name):
            answers.append(self.send("POST", "/stream/long/x", attempt=name))

        before = time.monotonic()
        streams = [
            threading.Thread(target=stream, args=(name,)) for name in names
        ]
        for thread in streams:
            thread.start()
        self.wait_for(lambda: self.list_late("b", before))
        answered = self.evacuate("b")
        for thread in streams:
            thread.join()
        self.assertEqual([answer.whole for answer in answers], [True] * 6)
        self.assertEqual(self.list_late("b", answered + _EFFECT_SECONDS), [])
        for name in names:
            self.assertEqual(len(self.list_runs(name)), 1)

    def test_requests_are_rejected_while_all_is_evacuated(self):
        self.evacuate("a")
        answered = self.evacuate("b")
        time.sleep(_EFFECT_SECONDS)
        for answer in self.send_for(0.5):
            self.assertEqual(answer.status, 503)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)
        for datacentre in ("a", "b"):
            late = self.list_late(datacentre, answered + _EFFECT_SECONDS)
            self.assertEqual(late, [])

    def test_a_name_that_no_data_centre_has_changes_nothing(self):
        self.evacuate("nowhere")
        answers = self.send_for(1.0)
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertIn("evacuation_unknown_name", self.fleet.read_log("g1"))

    def test_an_evacuation_is_in_effect_during_a_configuration_storm(self):
        def change():
            for _ in range(30):
                self.fleet.put_configuration()
                time.sleep(0.05)

        storm = threading.Thread(target=change)
        storm.start()
        answered = self.evacuate("b")
        self.send_for(2.0)
        storm.join()
        self.assertEqual(self.list_late("b", answered + _EFFECT_SECONDS), [])

    def test_an_evacuation_outlasts_the_stop_of_a_reader(self):
        """Guards against requests of the other nodes when a reader stops."""
        answered = self.evacuate("b")
        reader, *others = _RANKED
        self.fleet.send_signal(reader, signal.SIGTERM)
        self.addCleanup(self.restart, reader)
        self.send_for(2.0, others)
        self.fleet.wait(reader, test_gateway._TIMEOUT)
        self.send_for(1.0, others)
        self.assertEqual(self.list_late("b", answered + _EFFECT_SECONDS), [])

    def test_a_restarted_gateway_learns_of_it_without_the_store(self):
        """Guards against requests of a node that has just started.

        The store is down, so that it must ask another node.
        """
        answered = self.evacuate("b")
        self.send_for(_EFFECT_SECONDS)
        self.fleet.set_store(down=True)
        self.addCleanup(self.fleet.set_store)
        self.fleet.kill(_RANKED[0])
        self.restart(_RANKED[0])
        answers = self.send_for(1.0, _RANKED[:1])
        self.assertEqual({answer.status for answer in answers}, {200})
        self.assertEqual(self.list_late("b", answered + _EFFECT_SECONDS), [])

    def test_a_gateway_that_was_suspended_sends_nothing_there(self):
        """Guards against requests of a process that has just resumed.

        The heartbeats of a large fleet fill its socket's buffer in a few
        seconds, and the later ones, which have the evacuation, are lost. The
        store refuses the node.
        """
        follower = _RANKED[-1]
        self.fleet.send_signal(follower, signal.SIGSTOP)
        self.addCleanup(self.fleet.send_signal, follower, signal.SIGCONT)
        sender = threading.Thread(
            target=self.send_for, args=(_BOUND_MS / 1000.0 + 2.0, [follower])
        )
        sender.start()
        self.fill_buffer(follower)
        # Its own data centre, which it prefers.
        answered = self.evacuate("a")
        time.sleep(_BOUND_MS / 1000.0)
        self.fleet.set_store(down=True)
        self.addCleanup(self.fleet.set_store)
        self.fleet.send_signal(follower, signal.SIGCONT)
        sender.join()
        self.assertEqual(self.list_late("a", answered + _EFFECT_SECONDS), [])

    def fill_buffer(self, name):
        """Fill the buffer of a gateway's socket for heartbeats."""
        path = self.fleet.path / f"{name}.json"
        settings = msgspec.json.decode(path.read_bytes())
        address = (settings["ip"], settings["internalPorts"][0])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for _ in range(_BUFFERED_DATAGRAMS):
                sender.sendto(bytes(1000), address)

    def restart(self, name):
        self.fleet.start_gateway(name)
        self.wait_for(lambda: self.fleet.is_ready(name))


if __name__ == "__main__":
    unittest.main()

"""Feeds of instances and of the configuration, while the store fails.

The store answers from a script, and time advances only while a feed
sleeps.
"""

import unittest
from unittest import mock

import msgspec
import result

from currantwall.coordination import calls
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.peers import restores
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import configurations
from currantwall.transport import fleets
from currantwall.transport import peers
from currantwall.transport import ports

Failure = ports.StoreFailure


class Stop(BaseException):
    """Ends a feed after its last scripted call."""


class Clock:
    """A clock that advances only during sleeps."""

    def __init__(self):
        self.time = 100.0
        self.sleeps = []

    def now(self):
        return self.time

    def sleep(self, seconds=0.0):
        self.sleeps.append(seconds)
        self.time += seconds


class Store:
    """Answers from a script; the last answer is repeated."""

    def __init__(self, lists=(), watches=()):
        self.lists = list(lists)
        self.watches = list(watches)
        self.calls = 0
        self.limit = 40
        self.before_call = lambda: None

    def _next(self, script):
        self.before_call()
        self.calls += 1
        if self.calls > self.limit:
            raise Stop
        return script.pop(0) if len(script) > 1 else script[0]

    def list(self, kind, stale=False):
        return self._next(self.lists)

    def watch(self, kind, since, wait, patience):
        return self._next(self.watches)


# Content of the entry of an instance that has announced its leaving.
LEAVING = b"leaving"


class Documents:
    """Test formats: a configuration is just its version number."""

    configuration_kind = "config"
    configuration_name = "main"
    upstreams_kind = "servers"

    def decode_configuration(self, value):
        if not value.isdigit():
            return result.Err("not a number")
        return result.Ok(
            routes.Configuration(version=int(value), routes=(), services=())
        )

    def decode_upstreams(self, objects):
        return [
            upstreams.Upstream(
                id=ids.InstanceId(one.name),
                service=ids.ServiceName("s"),
                address="127.0.0.1:1",
                datacentre=ids.DatacentreName("a"),
                leaving=one.value == LEAVING,
            )
            for one in objects
        ]


class Log:
    """Collects the names of logged events."""

    def __init__(self):
        self.events = []

    def write(self, event, **fields):
        self.events.append(event)


class Table:
    """Test double of the forwarder: holds the table in force."""

    table = None


def make_list(revision, *names):
    objects = tuple(
        ports.StoredObject(name, revision, b"{}") for name in names
    )
    return result.Ok(ports.Listing(objects, revision))


def make_entries(era, as_of, **entries):
    """Return a list as of a revision of an era.

    Args:
        era: The era.
        as_of: Number of the revision.
        entries: Name of each instance, and number of its entry; negative if
            the entry announces its leaving.
    """
    objects = tuple(
        ports.StoredObject(
            name,
            revisions.join(era, abs(number)),
            b"{}" if number > 0 else LEAVING,
        )
        for name, number in entries.items()
    )
    return result.Ok(ports.Listing(objects, revisions.join(era, as_of)))


def make_versions(revision, *versions):
    objects = tuple(
        ports.StoredObject("main", revision, str(one).encode())
        for one in versions
    )
    return result.Ok(ports.Listing(objects, revision))


def make_entry(name, **fields):
    defaults = {"front": "f", "heartbeats": "h", "peer": "p", "incarnation": 1}
    return presence_module.NodeEntry(
        id=ids.NodeId(name),
        datacentre=ids.DatacentreName("a"),
        **(defaults | fields),
    )


class FeedCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.log = Log()
        patch = mock.patch.object(fleets.eventlet, "sleep", self.clock.sleep)
        patch.start()
        self.addCleanup(patch.stop)

    def run_feed(self, feed):
        with self.assertRaises(Stop):
            feed.run()


class FleetFeedCase(FeedCase):
    def make(self, lists):
        self.presence = presence_module.Presence(make_entry("me"))
        self.fleet = upstreams.Fleet()
        self.store = Store(lists)
        return fleets.FleetFeed(
            self.store,
            Documents(),
            self.fleet,
            self.presence,
            self.log,
            self.clock,
        )

    def list_names(self):
        return sorted(one.id for one in self.fleet.all())


class FleetFeedTest(FleetFeedCase):
    def test_changes_are_passed_on_but_the_first_list_starts_nothing(self):
        """Guards against all instances that count as started just now."""
        feed = self.make([make_list(1, "a"), make_list(2, "a", "b")])
        passed = []
        feed.note_change = lambda change, had_list: passed.append(
            ([one.id for one in change.new], had_list)
        )
        self.run_feed(feed)
        self.assertEqual(passed[:2], [(["a"], False), (["b"], True)])

    def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while(self):
        """Guards against replicas that are all dissolved after an outage.

        Entries lapse during the outage. After it the list lacks live
        servers, whose entries return a little later.
        """
        feed = self.make(
            [
                make_list(1, "a", "b"),
                result.Err(Failure.UNAVAILABLE),
                make_list(5),
            ]
        )
        self.store.limit = 4
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a", "b"])

    def test_entries_that_do_not_come_back_are_taken_as_gone(self):
        """Guards against requests to servers that have left for good."""
        feed = self.make(
            [
                make_list(1, "a", "b"),
                result.Err(Failure.UNAVAILABLE),
                make_list(5, "a"),
            ]
        )
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a"])

    def test_entries_that_go_without_an_outage_are_gone_at_once(self):
        feed = self.make([make_list(1, "a", "b"), make_list(2, "a")])
        self.store.limit = 2
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a"])

    def test_a_reader_vouches_only_for_a_list_that_it_applied(self):
        """Guards against followers that rely on a reader without a list."""
        feed = self.make([make_list(1, "a")])
        with (
            mock.patch.object(feed, "_apply_list", side_effect=ValueError),
            self.assertRaises(ValueError),
        ):
            feed.run()
        self.assertIsNone(feed.get_store_age(self.clock.now()))
        self.store.limit = 2
        self.run_feed(feed)
        self.assertIsNotNone(feed.get_store_age(self.clock.now()))

    def test_a_list_that_nobody_brings_up_to_date_is_logged(self):
        """Guards against a feed that has stopped without a sign."""
        feed = self.make([result.Err(Failure.UNAVAILABLE)])
        self.run_feed(feed)
        self.assertIn("list_old", self.log.events)

    def test_a_departed_entry_is_dropped_although_stale_reads_lag(self):
        """Guards against requests to a server that is known to leave.

        Stale reads lagged by three seconds for some time, while the store
        answered and leases were renewed. Requests reached the server over
        two seconds after its announcement.
        """
        feed = self.make([])
        began = self.clock.time
        gone_at = began + 6.0

        def make_listing(at):
            revision = 10 + int((at - began) * 10)
            names = ["a", "b"] if at < gone_at else ["a"]
            return make_list(revision, *names)

        def read(kind, stale=False):
            now = self.clock.time
            if now > gone_at + 1.5:
                raise Stop
            revision = 10 + int((now - began) * 10)
            self.presence.staleness.note_revision(revision - 5, now)
            return make_listing(max(now - 3.0, began) if stale else now)

        self.store.list = read
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a"])

    def test_reads_may_be_old_while_they_hardly_lag(self):
        """Guards against fresh reads, which cost ten times as much."""
        feed = self.make([])
        began = self.clock.time
        fresh = []

        def read(kind, stale=False):
            now = self.clock.time
            if now > began + 10.0:
                raise Stop
            fresh.append(not stale)
            revision = 10 + int((now - began) * 10)
            self.presence.staleness.note_revision(revision - 3, now)
            return make_list(revision - 4, "a")

        self.store.list = read
        self.run_feed(feed)
        self.assertEqual(fresh.index(False), 1)
        self.assertEqual(sum(fresh[1:]), 0)

    def test_a_departed_entry_is_dropped_after_this_node_was_refused(self):
        """Guards against keeping entries after a refusal of this node alone.

        Requests went on to servers that had left for good.
        """
        feed = self.make(
            [
                make_list(1, "a", "b"),
                result.Err(Failure.UNAVAILABLE),
                result.Err(Failure.UNAVAILABLE),
                make_list(5, "a", "b"),
                make_list(6, "a"),
            ]
        )
        serials = iter(range(1, 100))

        def receive_heartbeat():
            heartbeat = presence_module.Heartbeat(
                node=make_entry("peer"),
                serial=next(serials),
                ready=True,
                instances=1,
                store_age=0.2,
            )
            self.presence.note_heartbeat(heartbeat, self.clock.now())

        self.store.before_call = receive_heartbeat
        self.store.limit = 5
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a"])

    def test_a_refused_node_fetches_a_peers_list(self):
        """Guards against requests by an outdated list of a refused node.

        The store refuses this node and serves the others, one of which
        reports a newer list in its heartbeat.
        """
        feed = self.make([make_list(1, "a"), result.Err(Failure.UNAVAILABLE)])
        peer = make_entry("peer", peer="p2")
        self.presence.note_heartbeat(
            presence_module.Heartbeat(node=peer, serial=1, instances=9),
            self.clock.now(),
        )
        objects = make_list(9, "b").ok_value.objects
        listing = ports.Listing(objects, 9, changed=9)
        data = msgspec.msgpack.encode(listing)
        self.store.limit = 2
        with mock.patch.object(peers, "fetch", return_value=data) as fetch:
            self.run_feed(feed)
        fetch.assert_called_with("p2", f"{peers.INSTANCES_PATH}?since=1")
        self.assertEqual(self.list_names(), ["b"])


class RestoredListTest(FleetFeedCase):
    """The store comes back from an older copy, and the list with it."""

    def read(self, *lists):
        feed = self.make(lists)
        self.store.limit = len(lists)
        self.run_feed(feed)

    def list_usable(self):
        return sorted(one.id for one in self.fleet.all() if not one.leaving)

    def test_a_list_of_a_lower_number_is_applied(self):
        """Guards against requests to servers that have left since."""
        restored = make_entries(2, 368, a=5, c=360)
        self.read(make_entries(1, 479, a=5, b=6), *[restored] * 8)
        self.assertEqual(self.list_names(), ["a", "c"])

    def test_an_older_list_of_an_earlier_era_is_refused(self):
        self.read(make_entries(2, 368, a=5), make_entries(1, 479, a=5, b=6))
        self.assertEqual(self.list_names(), ["a"])

    def test_instances_that_the_store_has_forgotten_are_kept_for_a_while(self):
        """Guards against replicas that are dissolved by an older list."""
        restored = make_entries(2, 30, a=5)
        self.read(make_entries(1, 40, a=5, b=35), restored, restored)
        self.assertEqual(self.list_names(), ["a", "b"])
        feed = self.make([make_entries(1, 40, a=5, b=35), *[restored] * 8])
        self.store.limit = 8
        self.run_feed(feed)
        self.assertEqual(self.list_names(), ["a"])

    def test_a_leaving_that_the_store_has_forgotten_is_remembered(self):
        """Guards against requests to a server that has said it leaves."""
        before = make_entries(1, 40, a=5, b=-35)
        for count in range(1, 10):
            self.read(before, *[make_entries(2, 30 + count, a=5, b=6)] * count)
            self.assertEqual(self.list_usable(), ["a"])

    def test_an_instance_that_left_is_not_used_when_it_is_listed_again(self):
        """Guards against requests to a server that is gone.

        Its entry is in the copy, and lapses after some heartbeats.
        """
        first = make_entries(1, 40, a=5, b=6)
        gone = make_entries(1, 41, a=5)
        restored = make_entries(2, 30, a=5, b=6)
        self.read(first, gone, restored, restored, restored)
        self.assertEqual(self.list_usable(), ["a"])

    def test_a_leaving_announced_after_the_restore_is_heeded(self):
        """Guards against an announcement that is taken for an old entry.

        Its number is lower than that of the entry before the restore.
        """
        for number in (25, 31):
            self.read(
                make_entries(1, 40, a=5, b=35),
                make_entries(2, 30, a=5, b=6),
                make_entries(2, 32, a=5, b=-number),
            )
            self.assertEqual(self.list_usable(), ["a"])

    def test_a_stale_read_after_a_restore_is_followed_by_a_fresh_one(self):
        """Guards against what a stale read shows of before the restore."""
        feed = self.make([])
        asked = []
        added = set()
        feed.note_change = lambda change, _: added.update(
            one.id for one in change.new
        )

        def read(kind, stale=False):
            asked.append(stale)
            if len(asked) == 12:
                raise Stop
            self.presence.staleness.note_revision(
                revisions.join(1, 40 + len(asked)), self.clock.time
            )
            era = 1 if len(asked) < 4 else 2
            entries = {"former": 6} if stale and era == 2 else {}
            return make_entries(era, 40 + len(asked), a=5, **entries)

        self.store.list = read
        self.run_feed(feed)
        self.assertEqual(asked[:4], [False, True, True, True])
        self.assertEqual(asked[4:], [False] * 8)
        self.assertEqual(added, {"a"})

    def make_newer_entry(self):
        """Return a fleet, revisions, its instance, and an older entry."""
        fleet = upstreams.Fleet()
        (new,) = Documents().decode_upstreams(
            [ports.StoredObject("a", 0, b"{}")]
        )
        fleet.replace([new], revisions.join(1, 40), 100.0)
        old = msgspec.structs.replace(new, slots=2)
        return fleet, {"a": revisions.join(1, 35)}, new, old

    def test_a_second_restore_keeps_what_the_first_has_forgotten(self):
        """Guards against older entries that a second copy brings back.

        The entries had not been written again in between.
        """
        fleet, known, new, old = self.make_newer_entry()
        former = restores.FormerEntries()
        for era, now in ((2, 100.0), (3, 101.0)):
            former.note_restore(revisions.join(era, 30), known, fleet, now)
            known = {"a": revisions.join(era, 20)}
            found = former.correct([old], known, now)
            self.assertEqual(found[0].slots, new.slots)
            fleet.replace(found, revisions.join(era, 30), now)

    def test_an_older_entry_does_not_replace_a_newer_one(self):
        """Guards against replicas that are judged by their former state.

        The copy has an entry from before a server was given its seat.
        """
        fleet, known, new, old = self.make_newer_entry()
        former = restores.FormerEntries()
        former.note_restore(revisions.join(2, 30), known, fleet, 100.0)

        def correct(listed, number, now):
            found = former.correct(
                [listed], {"a": revisions.join(2, number)}, now
            )
            return found[0].slots

        self.assertEqual(correct(old, 10, 101.0), new.slots)
        self.assertEqual(correct(old, 31, 101.0), old.slots)
        reborn = msgspec.structs.replace(old, born=7)
        self.assertEqual(correct(reborn, 10, 101.0), old.slots)
        former_life = msgspec.structs.replace(old, born=-1)
        self.assertEqual(correct(former_life, 10, 101.0), new.slots)
        self.assertEqual(correct(old, 10, 103.0), old.slots)


class FollowerTest(FeedCase):
    """A node that follows a reader instead of reading the store."""

    def setUp(self):
        super().setUp()
        self.reader = self.make("reader")
        self.follower = self.make("follower")
        self.serial = 0

    def make(self, name):
        presence = presence_module.Presence(make_entry(name, capacity=0.5))
        fleet = upstreams.Fleet()
        feed = fleets.FleetFeed(
            Store([result.Err(Failure.UNAVAILABLE)]),
            Documents(),
            fleet,
            presence,
            self.log,
            self.clock,
        )
        return mock.Mock(feed=feed, fleet=fleet, presence=presence)

    def set_reader_list(self, revision, *names):
        """Give the reader a list as of a revision."""
        listing = make_list(revision, *names).ok_value
        known_items = {
            one.name: one for one in self.reader.feed._changes.objects
        }
        items = [known_items.get(one.name, one) for one in listing.objects]
        listing = ports.Listing(tuple(items), revision)
        self.reader.feed._apply_list(listing, self.clock.now())

    def send_heartbeats(self, store_age=0.0):
        """Send the follower heartbeats that report the reader's list."""
        self.serial += 1
        for name in ("reader", "other"):
            self.follower.presence.note_heartbeat(
                presence_module.Heartbeat(
                    node=make_entry(name, capacity=1.0),
                    serial=self.serial,
                    ready=True,
                    instances=self.reader.feed.changed,
                    store_age=store_age,
                ),
                self.clock.now(),
            )

    def follow(self):
        """Let the follower fetch a newer list, encoded as on the wire.

        Returns:
            The listings that were fetched.
        """
        calls = []

        def fetch(address, path):
            since = peers.parse_since(path)
            found = self.reader.feed.list_changes(since)
            calls.append(found)
            return msgspec.msgpack.encode(found)

        with (
            mock.patch.object(peers, "fetch", fetch),
            mock.patch.object(fleets.eventlet, "Timeout", mock.MagicMock()),
            mock.patch.object(self.follower.feed, "_newer_list"),
        ):
            self.follower.feed._drop_unlisted(self.clock.now())
            self.follower.feed._follow_reader(self.clock.now())
        return calls

    def read_store(self, answer):
        """Let the reader read the store once.

        Args:
            answer: Result of the call.
        """
        self.reader.feed._store = Store([answer])
        self.reader.feed._read_store(self.clock.now())

    def send_heartbeat_to_reader(self, store_age):
        """Send the reader a heartbeat of another node that reads the store.

        Args:
            store_age: Seconds since the store answered that node.
        """
        self.serial += 1
        self.reader.presence.note_heartbeat(
            presence_module.Heartbeat(
                node=make_entry("other", capacity=1.0),
                serial=self.serial,
                ready=True,
                store_age=store_age,
            ),
            self.clock.now(),
        )

    def advance_time(self, seconds, store_age):
        """Advance the time while the nodes exchange heartbeats.

        Args:
            seconds: By how much.
            store_age: Seconds since the store last answered some node, at
                the end.
        """
        until = self.clock.time + seconds
        while self.clock.time < until - 1e-9:
            self.clock.time += 0.25
            left = until - self.clock.time
            self.send_heartbeat_to_reader(max(0.0, store_age - left))
            self.send_heartbeats(max(0.0, store_age - left))

    def list_names(self):
        return sorted(one.id for one in self.follower.fleet.all())

    def reads_store(self):
        return self.follower.presence.reads_store(self.clock.now())

    def test_only_what_has_changed_is_passed_on(self):
        self.set_reader_list(10, "a", "b", "c")
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b", "c"])
        self.set_reader_list(20, "a", "c", "d")
        self.send_heartbeats()
        (changes,) = self.follow()
        self.assertEqual([one.name for one in changes.objects], ["d"])
        self.assertEqual(changes.removed, frozenset("b"))
        self.assertEqual(self.list_names(), ["a", "c", "d"])

    def test_a_list_of_a_restored_store_is_passed_on(self):
        """Guards against peers that keep to the list of a former era."""
        feed = self.reader.feed
        now = self.clock.now()
        feed._apply_list(make_entries(1, 479, a=5, b=470).ok_value, now)
        self.send_heartbeats()
        self.follow()
        feed._apply_list(make_entries(2, 368, a=5, c=360).ok_value, now)
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b", "c"])
        self.advance_time(3.0, 0.0)
        self.follow()
        self.assertEqual(self.list_names(), ["a", "c"])

    def test_an_instance_that_is_back_after_a_restore_is_used_again(self):
        """Guards against a live server that counts as leaving for good.

        Its entry had lapsed, and is in the copy; nothing changes after.
        """
        feed = self.reader.feed
        for listing in (
            make_entries(1, 40, a=5, b=6),
            make_entries(1, 45, a=5),
            make_entries(2, 42, a=5, b=6),
        ):
            feed._apply_list(listing.ok_value, self.clock.now())
            self.send_heartbeats()
            self.follow()
        for seconds, usable in ((0.5, False), (3.0, False), (8.0, True)):
            self.advance_time(seconds, 0.0)
            self.follow()
            for node in (self.reader, self.follower):
                node.feed._drop_unlisted(self.clock.now())
                self.assertIs(node.fleet.get("b").leaving, not usable)

    def test_a_node_without_a_list_tells_no_age(self):
        """Guards against the age of others' reads in place of none."""
        self.send_heartbeats()
        self.follow()
        self.assertIsNone(self.follower.fleet.get_age(self.clock.now()))
        self.assertEqual(self.follower.fleet.updated, 0.0)

    def test_an_unchanged_list_is_not_fetched_again(self):
        """Guards against fetching an unchanged list twice a second.

        The store's revision rises with every renewal of a lease, which
        changes no instance.
        """
        self.set_reader_list(10, "a")
        self.send_heartbeats()
        self.follow()
        self.set_reader_list(15, "a")
        self.send_heartbeats()
        self.assertEqual(self.follow(), [])

    def test_a_node_reads_the_store_itself_when_no_reader_can(self):
        """Guards against requests to servers that left long ago.

        The store refuses both readers but would serve this node.
        """
        self.send_heartbeats()
        self.assertFalse(self.reads_store())
        self.clock.time += 1.0
        self.send_heartbeats(store_age=1.0)
        self.assertFalse(self.reads_store())
        self.clock.time += 1.0
        self.send_heartbeats(store_age=2.0)
        self.assertTrue(self.reads_store())

    def test_a_node_reads_the_store_itself_without_reader_heartbeats(self):
        self.send_heartbeats()
        self.clock.time += 3.0
        self.assertTrue(self.reads_store())

    def test_an_outage_is_left_to_the_readers(self):
        """Guards against an outage that costs as many calls as a whole day.

        The store answers nobody for twenty seconds. The node receives
        heartbeats of two readers, which get no answer either.
        """
        self.set_reader_list(10, "a")
        self.send_heartbeats(store_age=5.0)
        self.follow()
        self.clock.time += 3.0
        feed = self.follower.feed
        feed._store = Store([result.Err(Failure.UNAVAILABLE)])
        before = self.clock.time
        for _ in range(100):
            self.send_heartbeats(store_age=self.clock.time - 90.0)
            if self.clock.time - before > 20.0:
                break
            feed._read_store(self.clock.time)
            self.clock.sleep(feed._choose_wait(self.clock.time))
        self.assertLessEqual(feed._store.calls, 11)

    def simulate_outage(self, seconds):
        """Let the store answer nobody for some seconds, up to its return."""
        for age in range(1, seconds):
            self.advance_time(1.0, age)
            self.read_store(result.Err(Failure.UNAVAILABLE))
        self.advance_time(1.0, seconds)

    def test_a_follower_keeps_lapsed_entries_as_its_reader_does(self):
        """Guards against replicas that are all dissolved after an outage.

        The reader knows of the outage and keeps lapsed entries. A node
        that fetches its list must keep them too, and drop them when the
        reader does.
        """
        self.read_store(make_list(10, "a", "b"))
        self.send_heartbeats()
        self.follow()
        self.simulate_outage(5)
        self.read_store(make_list(20, "a"))
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b"])
        self.advance_time(5.0, 0.0)
        self.follow()
        self.assertEqual(self.list_names(), ["a"])

    def test_lapsed_entries_are_kept_if_a_third_node_reports_the_list(self):
        """Guards against dropping live replicas after a lost heartbeat.

        The follower missed the reader's heartbeat and learned of the new
        list from a third node.
        """
        self.read_store(make_list(10, "a", "b"))
        self.send_heartbeats()
        self.follow()
        self.simulate_outage(5)
        self.read_store(make_list(20, "a"))
        self.follower.presence.note_heartbeat(
            presence_module.Heartbeat(
                node=make_entry("third"),
                serial=1,
                ready=True,
                instances=self.reader.feed.changed,
            ),
            self.clock.now(),
        )
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b"])
        self.advance_time(1.0, 0.0)
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b"])
        self.advance_time(3.0, 0.0)
        self.follow()
        self.assertEqual(self.list_names(), ["a"])

    def test_a_departed_entry_is_dropped_after_a_reader_was_refused(self):
        """Guards against keeping entries after a refusal of the reader alone.

        Nodes that the store never refused sent requests to instances that
        had left.
        """
        self.read_store(make_list(10, "a", "b", "c"))
        self.send_heartbeats()
        self.follow()
        for _ in range(3):
            self.advance_time(0.5, 0.0)
            self.read_store(result.Err(Failure.UNAVAILABLE))
        self.advance_time(0.5, 0.0)
        self.read_store(make_list(20, "a", "b", "c", "d"))
        self.send_heartbeats()
        self.follow()
        self.advance_time(0.5, 0.0)
        self.read_store(make_list(30, "a", "b", "d"))
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b", "d"])

    def test_a_departed_entry_is_dropped_after_a_reader_was_cut_off(self):
        """Guards against an outage that only an isolated reader has seen.

        Other nodes took it for a real one and kept entries of instances
        that had left.
        """
        self.read_store(make_list(10, "a", "b"))
        self.send_heartbeats()
        self.follow()
        for _ in range(4):
            # The reader receives no heartbeats; the follower receives those
            # of other readers.
            self.clock.time += 0.25
            self.read_store(result.Err(Failure.LOST))
            self.clock.time += 0.25
            self.send_heartbeats()
        self.clock.time += 0.25
        self.read_store(make_list(20, "a"))
        self.assertIsNotNone(self.reader.feed.list_changes(10).failure_age)
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a"])

    def test_lapsed_entries_are_not_kept_longer_by_a_late_follower(self):
        """Guards against a grace period that restarts at each node.

        Each node that passed on a list kept the missing instances for
        longer.
        """
        self.read_store(make_list(10, "a", "b"))
        self.send_heartbeats()
        self.follow()
        self.simulate_outage(5)
        returned = self.clock.now()
        self.read_store(make_list(20, "a"))
        self.advance_time(2.0, 2.0)
        self.send_heartbeats()
        self.follow()
        self.assertEqual(self.list_names(), ["a", "b"])
        while self.clock.now() < returned + 3.0:
            self.advance_time(0.25, 0.0)
            self.read_store(make_list(20, "a"))
            self.follow()
        self.assertEqual(self.list_names(), ["a"])

    def test_a_list_read_later_than_the_peers_is_not_asked_for_again(self):
        """Guards against fetching the same list again and again.

        The node has read the store itself meanwhile, so its own list holds
        the peer's change, and the peer's list is refused as older.
        """
        self.set_reader_list(10, "a")
        self.send_heartbeats()
        self.follow()
        self.set_reader_list(20, "a", "b")
        self.send_heartbeats()
        self.follower.fleet.replace([], 30, self.clock.now())
        self.assertEqual(len(self.follow()), 1)
        self.assertEqual(self.follow(), [])


class WatchTimesTest(unittest.TestCase):
    def test_a_watch_that_hangs_is_given_up_within_its_bound(self):
        """Guards against times that suit one deployment's bound alone."""
        for bound in (0.5, 1.0, 2.0, 5.0, 30.0):
            times = calls.split_bound(bound)
            self.assertLess(times.wait + times.patience, bound)
            self.assertGreater(times.wait, 0.0)


class ConfigurationFeedTest(FeedCase):
    def make(self, lists, watches):
        self.table = Table()
        self.store = Store(lists, watches)
        return configurations.ConfigurationFeed(
            self.store,
            Documents(),
            self.table,
            presence_module.Presence(make_entry("me")),
            self.log,
            self.clock,
            2.0,
        )

    def test_a_version_is_never_replaced_by_an_older_one(self):
        """Guards against removed routes and keys that work again.

        A stale read or a late answer of a peer brings an older version
        after a newer one.
        """
        feed = self.make([make_versions(1, 7)], [make_versions(2, 9, 8)])
        self.store.limit = 3
        self.run_feed(feed)
        feed.apply(b"8", "peer")
        self.assertEqual(feed.version, 9)

    def test_an_unreadable_configuration_leaves_the_version_in_force(self):
        feed = self.make([make_versions(1, 7)], [make_versions(2, "x")])
        self.store.limit = 2
        self.run_feed(feed)
        self.assertEqual(feed.version, 7)
        self.assertIn("configuration_unreadable", self.log.events)

    def test_a_configuration_that_the_store_has_forgotten_stays(self):
        """Guards against removed routes and keys that work again.

        The store comes back from a copy with an older version.
        """
        restored = make_versions(revisions.join(2, 30), 7)
        feed = self.make(
            [make_versions(revisions.join(1, 40), 9), restored],
            [result.Err(Failure.EXPIRED)],
        )
        self.run_feed(feed)
        self.assertEqual(feed.version, 9)

    def test_retries_of_watches_that_keep_expiring_are_spaced_out(self):
        """Guards against a call every few milliseconds from each node.

        The store drops its history while changes are made: each watch
        expires at once, and each list is followed by another watch.
        """
        feed = self.make([make_versions(1, 7)], [result.Err(Failure.EXPIRED)])
        self.run_feed(feed)
        self.assertGreater(self.clock.time - 100.0, 5.0)

    def test_an_outage_is_left_to_those_that_read_for_others(self):
        lists = [make_versions(1, 7), result.Err(Failure.UNAVAILABLE)]
        feed = self.make(lists, [result.Err(Failure.UNAVAILABLE)])
        readers = [make_entry(f"n{n}", capacity=9.0) for n in range(2)]
        feed._presence.note_list(readers, self.clock.now())
        self.store.limit = 12
        self.run_feed(feed)
        self.assertGreater(self.clock.time - 100.0, 15.0)

    def test_an_outage_costs_others_than_readers_a_call_in_seconds(self):
        """Guards against an outage that costs as many calls as a whole day.

        In an outage of eight seconds no reader got an answer, and each of
        132 nodes called the store itself.
        """
        lists = [make_versions(1, 7), result.Err(Failure.LOST)]
        feed = self.make(lists, [result.Err(Failure.LOST)])
        readers = [make_entry(f"n{n}", capacity=9.0) for n in range(2)]
        feed._presence.note_list(readers, self.clock.now())
        began = self.clock.now()
        self.store.limit = 5
        self.run_feed(feed)
        # The first list, the first watch, and three tries.
        self.assertGreater(self.clock.now() - began, 8.0)

    def test_the_loss_and_return_of_the_store_are_logged_once(self):
        feed = self.make(
            [
                make_versions(1, 7),
                result.Err(Failure.LOST),
                result.Err(Failure.LOST),
                make_versions(2, 8),
            ],
            [result.Err(Failure.LOST), make_versions(3, 8)],
        )
        self.run_feed(feed)
        self.assertEqual(self.log.events.count("store_lost"), 1)
        self.assertEqual(self.log.events.count("store_regained"), 1)


if __name__ == "__main__":
    unittest.main()

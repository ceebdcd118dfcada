"""A fleet whose store comes back from an older copy, in virtual time.

The nodes are those of `bench.digests`, each with a real feed of instances.
Some read the store, the others fetch the list from them.
"""

import itertools
import math
import unittest
from unittest import mock

import msgspec
import result

from bench import digests as network
from currantwall.state import objects
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import fleets
from currantwall.transport import peers
from currantwall.transport import ports
from standins import store as store_module
from tests import test_feeds

_KIND = "servers"
# Seconds by which stale reads lag, in which a server that leaves may get
# requests after the store has acknowledged that, and in which servers write
# their entries again.
_LAG = 3.0
_DRAIN_SECONDS = 2.0
_REWRITE_SECONDS = 2.0
_SERVERS = 40
# The node that starts anew just after the restore, and the seconds in which
# it hears of what the store has forgotten.
_RESTARTED = "b-3"
_START_SECONDS = 1.0


class _Store:
    """The store, with fresh and stale reads.

    Attributes:
        entries: What the servers say, by name.
    """

    def __init__(self, net, stamps_era):
        self.net = net
        self.stamps_era = stamps_era
        self.store = store_module.Store()
        self.entries = {}
        self.past = []

    def write(self, name, value):
        key = objects.ObjectKey(_KIND, name)
        current = self.store.get(key)
        self.entries[name] = value
        if current is None and not value:
            return
        if current is None or current.value != value:
            version = current.version if current else 0
            self.store.write(key, value, version)

    def write_again(self):
        """Write all entries, and remove those of servers that are gone."""
        for name, value in self.entries.items():
            self.write(name, value)

    def renew_lease(self):
        """Raise the revision, of which a node knows; return it."""
        key = objects.ObjectKey("leases", "d0")
        current = self.store.get(key)
        value = str(self.net.now).encode()
        self.store.write(key, value, current.version if current else 0)
        return revisions.join(self.store.era, self.store.revision)

    def note_time(self):
        """Keep the present list for stale reads."""
        self.past.append((self.net.now, self._list()))
        while self.past[0][0] < self.net.now - _LAG:
            self.past.pop(0)

    def _list(self):
        era = self.store.era
        items = [
            (one.key.name, one.version, one.value)
            for one in self.store.select({_KIND})
        ]
        return era, self.store.revision, items

    def list(self, kind, stale=False):
        era, revision, items = self.past[0][1] if stale else self._list()
        if self.stamps_era:
            era = self.store.era
        listed = tuple(
            ports.StoredObject(name, revisions.join(era, version), value)
            for name, version, value in items
        )
        return result.Ok(ports.Listing(listed, revisions.join(era, revision)))


class _Replay(network.Network):
    """The nodes and the store, in rounds of heartbeats."""

    def __init__(self, nodes_per_datacentre, stamps_era):
        super().__init__(nodes_per_datacentre, ("a", "b", "c"), 2)
        self.store = _Store(self, stamps_era)
        for name in self.nodes:
            self.start_feed(name)

    def start_feed(self, name):
        node = self.nodes[name]
        node.feed = fleets.FleetFeed(
            self.store,
            test_feeds.Documents(),
            upstreams.Fleet(),
            node.presence,
            mock.Mock(),
            mock.Mock(now=lambda: self.now),
        )

    def restart(self, name):
        """Replace a node's process by one that knows nothing."""
        before = self.nodes[name]
        entry = msgspec.structs.replace(
            before.entry, incarnation=before.entry.incarnation + 1
        )
        node = self.nodes[name] = network.Node(entry)
        entries = [other.entry for other in self.nodes.values()]
        node.presence.note_list(entries, self.now)
        self.start_feed(name)

    def fetch(self, address, path):
        """Return a peer's changes, as `peers.fetch` does."""
        feed = self.nodes[address.partition(":")[0]].feed
        found = feed.list_changes(peers.parse_since(path))
        return msgspec.msgpack.encode(found)

    def run_round(self):
        holder = next(iter(self.nodes.values()))
        holder.presence.staleness.note_revision(
            self.store.renew_lease(), self.now
        )
        self.store.note_time()
        for node in self.nodes.values():
            feed = node.feed
            feed._drop_unlisted(self.now)
            if node.presence.reads_store(self.now):
                feed._read_store(self.now)
                node.answered_at = self.now
            else:
                newer = node.presence.find_newer_list(feed.changed, self.now)
                if newer is not None:
                    feed._fetch_list(newer, self.now)
        self.run(network.ROUND / 2)

    def find_users(self, server):
        """Return the nodes that may send requests to a server."""
        return [
            name
            for name, node in self.nodes.items()
            if (one := node.feed._fleet.get(server)) is not None
            and not one.leaving
        ]


class RestoredFleetTest(unittest.TestCase):
    def start(self, nodes_per_datacentre, stamps_era):
        self.replay = _Replay(nodes_per_datacentre, stamps_era)
        self.store = self.replay.store
        self.began = self.replay.now
        for number in range(_SERVERS):
            self.store.write(f"s{number}", b"{}")
        patch = mock.patch.object(peers, "fetch", self.replay.fetch)
        patch.start()
        self.addCleanup(patch.stop)
        # When each server announced its leaving, or left.
        self.leaving = {}
        self.restored_at = math.inf
        self.restarted_at = -math.inf

    def run_until(self, seconds):
        """Run, and let a server leave each second; every third just goes."""
        while self.replay.now < self.began + seconds:
            self.replay.run_round()
            self.check()
            if self.replay.now - self.began > len(self.leaving) + 1.0:
                number = len(self.leaving)
                value = b"" if number % 3 == 2 else test_feeds.LEAVING
                self.store.write(f"s{number}", value)
                self.leaving[f"s{number}"] = self.replay.now

    def check(self):
        """Check each node but one that has just started."""
        for name, at in self.leaving.items():
            if self.replay.now > at + _DRAIN_SECONDS + self.get_grace(at):
                users = self.replay.find_users(name)
                if self.replay.now < self.restarted_at + _START_SECONDS:
                    users = [one for one in users if one != _RESTARTED]
                moments = f"{name} {at - self.began:.1f}"
                self.assertEqual(users, [], moments)

    def get_grace(self, at):
        """Return the additional seconds for a server that left at a time.

        No bound holds while the store has just been restored, nor for what
        it had not passed on before.
        """
        is_unstable = 0.0 < at - self.restored_at + _DRAIN_SECONDS < 5.0
        return _REWRITE_SECONDS if is_unstable else 0.0

    def test_no_server_that_leaves_gets_late_requests(self):
        """Guards against a node whose list is of a former history.

        Servers leave or go before the copy, after it, and after the
        restore, and a node starts anew then; 12 nodes hear each other, 48
        by way of relays.
        """
        for count, age, stamps_era in itertools.product(
            (4, 16), (0.5, 3.0, 6.0), (False, True)
        ):
            with self.subTest(count=count, age=age, stamps_era=stamps_era):
                self.start(count, stamps_era)
                self.run_until(8.0)
                self.store.store.copy()
                self.run_until(8.0 + age)
                self.store.store.restore()
                self.restored_at = self.replay.now
                self.run_until(8.5 + age)
                self.replay.restart(_RESTARTED)
                self.restarted_at = self.replay.now
                self.run_until(8.0 + age + _REWRITE_SECONDS)
                self.store.write_again()
                self.run_until(24.0)
                last = self.replay.find_users(f"s{_SERVERS - 1}")
                self.assertEqual(last, list(self.replay.nodes))


if __name__ == "__main__":
    unittest.main()

"""Entries of nodes in the store."""

import unittest
from unittest import mock

import msgspec
import result

from bench import digests as network
from currantwall.coordination.peers import presence as presence_module
from currantwall.state import revisions
from currantwall.transport import ports
from currantwall.transport import registrations
from tests import test_feeds


class _Store:
    """A store with the entries of nodes."""

    def __init__(self):
        self.revision = revisions.join(1, 5)
        self.objects = {}
        self.calls = 0

    def list(self, kind, stale=False):
        self.calls += 1
        if self.calls > 12:
            raise test_feeds.Stop
        listed = tuple(self.objects.values())
        return result.Ok(ports.Listing(listed, self.revision))

    def put(self, kind, name, value, revision):
        if revision == 0 and name in self.objects:
            return result.Err(ports.StoreFailure.CONFLICT)
        self.revision += 1
        stored = ports.StoredObject(name, self.revision, value)
        self.objects[name] = stored
        return result.Ok(stored)


class RegistrationTest(test_feeds.FeedCase):
    def setUp(self):
        super().setUp()
        self.store = _Store()
        self.presence = presence_module.Presence(network.make_entry("n", "a"))
        self.feed = registrations.NodesFeed(
            self.store, self.presence, mock.Mock(), self.clock
        )

    def test_a_node_that_the_store_has_forgotten_registers_again(self):
        """Guards against a node that nodes which start never hear of."""
        before = self.store.list

        def list_and_forget(kind, stale=False):
            if self.store.calls == 4:
                self.store.objects = {}
                self.store.revision = revisions.join(2, 3)
            return before(kind, stale)

        self.store.list = list_and_forget
        self.run_feed(self.feed)
        stored = self.store.objects["n"]
        self.assertEqual(revisions.get_era(stored.revision), 2)

    def test_an_entry_of_the_last_process_is_replaced(self):
        """Guards against an older entry that a copy of the store has."""
        old = msgspec.structs.replace(self.presence.me, incarnation=-1)
        self.run_feed(self.feed)
        self.store.calls = 0
        self.store.revision = revisions.join(2, 3)
        self.store.objects["n"] = ports.StoredObject(
            "n", self.store.revision, msgspec.json.encode(old)
        )
        self.run_feed(self.feed)
        value = self.store.objects["n"].value
        self.assertEqual(msgspec.json.decode(value)["incarnation"], 1)

    def test_a_stale_list_does_not_repeat_the_registration(self):
        """Guards against a write with each read that may be old."""
        self.store.put("nodes", "n", b"{}", None)
        stale = self.store.list("nodes")
        self.store.list = mock.Mock(
            side_effect=[stale] * 5 + [test_feeds.Stop]
        )
        put = mock.Mock(side_effect=self.store.put)
        self.store.put = put
        self.run_feed(self.feed)
        self.assertEqual(put.call_count, 2)


if __name__ == "__main__":
    unittest.main()

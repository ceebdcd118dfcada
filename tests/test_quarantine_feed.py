"""What the store keeps of quarantined parts, and who reads and writes it."""

import unittest
from unittest import mock

import result

from bench import digests as network
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import quarantine
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.transport import ports
from currantwall.transport import quarantines as feeds

_PART = ids.PartId("c4a5")
_NODES = 6


class _Store:
    """A store that one test shares between all nodes."""

    def __init__(self):
        self.values = {}
        self.revision = 1
        self.is_down = False
        self.calls = 0

    def list(self, kind, stale=False):
        self.calls += 1
        if self.is_down:
            return result.Err(ports.StoreFailure.UNAVAILABLE)
        objects = [
            ports.StoredObject(name, self.revision, value)
            for name, value in self.values.items()
        ]
        return result.Ok(ports.Listing(tuple(objects), self.revision))

    def put(self, kind, name, value, revision):
        self.calls += 1
        if self.is_down:
            return result.Err(ports.StoreFailure.LOST)
        self.values[name] = value
        return result.Ok(ports.StoredObject(name, self.revision, value))

    def delete(self, kind, name):
        self.calls += 1
        self.values.pop(name, None)


class FeedTest(unittest.TestCase):
    def setUp(self):
        self.now = 10.0
        self.store = _Store()
        self.start()

    def start(self):
        """Start all nodes, with nothing in memory."""
        entries = [network.make_entry(f"n{n}", "a") for n in range(_NODES)]
        self.quarantines = [quarantine.Quarantine() for _ in entries]
        self.feeds = []
        self.presences = []
        for entry, guard in zip(entries, self.quarantines, strict=True):
            presence = presence_module.Presence(entry)
            presence.ready = True
            presence.note_list(entries, self.now)
            for other in entries:
                heartbeat = presence_module.Heartbeat(
                    node=other, serial=1, ready=True
                )
                presence.note_heartbeat(heartbeat, self.now)
            clock = mock.Mock(now=lambda: self.now)
            feed = feeds.QuarantineFeed(
                self.store, guard, presence, mock.Mock(), clock
            )
            self.feeds.append(feed)
            self.presences.append(presence)

    def update(self):
        for feed in self.feeds:
            feed.update()

    def test_parts_are_known_after_a_restart_of_all_nodes(self):
        """Guards against servers that crash again after a loss of power."""
        self.update()
        for guard in self.quarantines:
            guard.restore(_PART, 2, self.now)
        self.update()
        self.start()
        self.update()
        readers = [
            guard for guard in self.quarantines if guard.list_quarantined()
        ]
        self.assertEqual(len(readers), 2)
        self.assertEqual(readers[0].list_quarantined(), {_PART: 2})

    def test_few_nodes_call_the_store(self):
        """Guards against calls that grow with the number of nodes."""
        self.update()
        for guard in self.quarantines:
            guard.restore(_PART, 0, self.now)
        for _ in range(5):
            self.update()
        self.assertEqual(self.store.calls, 4)

    def test_a_write_that_failed_is_repeated(self):
        """Guards against a part that an outage of the store hides."""
        self.update()
        self.store.is_down = True
        for guard in self.quarantines:
            guard.restore(_PART, 0, self.now)
        self.update()
        self.store.is_down = False
        self.update()
        self.assertEqual(list(self.store.values), [_PART])

    def test_a_cleared_part_is_removed(self):
        """Guards against parts that are refused again after a restart."""
        self.test_a_write_that_failed_is_repeated()
        for guard in self.quarantines:
            guard._note_survival(_PART, self.now + 1.0)
        self.update()
        self.assertEqual(self.store.values, {})

    def restore(self, values):
        """Have the store come back from a copy, as the nodes learn."""
        self.store.values = dict(values)
        self.store.revision = revisions.join(1, 1)
        for presence in self.presences:
            presence.staleness.note_era(1, self.now)
            presence.staleness.note_era(self.store.revision, self.now)

    def test_a_part_that_the_store_has_forgotten_is_written_again(self):
        """Guards against servers that crash again after a loss of power.

        The store has come back from a copy from before the quarantine.
        """
        self.test_a_write_that_failed_is_repeated()
        self.restore({})
        self.update()
        self.assertEqual(list(self.store.values), [_PART])

    def test_a_cleared_part_that_the_store_has_again_is_removed(self):
        """Guards against parts that are refused again after a restart."""
        self.test_a_write_that_failed_is_repeated()
        copied = dict(self.store.values)
        for guard in self.quarantines:
            guard._note_survival(_PART, self.now + 1.0)
        self.update()
        self.restore(copied)
        self.update()
        self.assertEqual(self.store.values, {})


if __name__ == "__main__":
    unittest.main()

"""How long the nodes that read the store take to learn of a leaving.

Virtual time, in steps of 0.02 s. Each node reads the list each 0.5 s with
the real rules of `Staleness`, with reads that lag or stand still, and hears
of other writes as late as heartbeats and digests bring them.
"""

import itertools
import random
import unittest

from currantwall.coordination.peers import staleness

_STEP = 0.02
_READ_INTERVAL = 0.5
_RENEW_INTERVAL = 0.6
_READERS = 6
# Seconds in which the nodes that follow a reader fetch its list, after a
# heartbeat that is sent at once; and the bound for all nodes.
_FOLLOW_SECONDS = 0.3
_DRAIN_SECONDS = 2.0
# Seconds after which a replay is ended.
_LONGEST = 6.0


class _Reader:
    def __init__(self, next_read):
        self.staleness = staleness.Staleness()
        self.next_read = next_read
        # Revision of its list.
        self.held = 0
        self.fresh_reads = 0


class _Replay:
    """Readers, a store, and the nodes that renew leases.

    Attributes:
        lag: Seconds by which stale reads lag.
        frozen_at: When stale reads stop advancing; None for never.
    """

    def __init__(self, seed, domains, hearing):
        self.draw = random.Random(seed)
        self.now = 100.0
        self.revision = 10
        self.hearing = hearing
        self.lag = 0.0
        self.frozen_at = None
        self.history = [(0.0, self.revision)]
        self.readers = [
            _Reader(self.now + self.draw.uniform(0.0, _READ_INTERVAL))
            for _ in range(_READERS)
        ]
        self.renewals = [
            self.now + self.draw.uniform(0.0, _RENEW_INTERVAL)
            for _ in range(domains)
        ]
        # When each reader hears of which revision, and when that was new.
        self.news = []

    def write(self):
        self.revision += 1
        self.history.append((self.now, self.revision))
        return self.revision

    def read(self, stale):
        """Return the revision that a read shows."""
        at = self.now - (self.lag if stale else 0.0)
        if stale and self.frozen_at is not None:
            at = min(at, self.frozen_at)
        return max(rev for when, rev in self.history if when <= at)

    def run(self, until):
        while self.now < until:
            self.now += _STEP
            for index, due in enumerate(self.renewals):
                if due <= self.now:
                    self.renewals[index] = due + _RENEW_INTERVAL
                    self.spread(self.write(), index)
            self.hear()
            for reader in self.readers:
                if reader.next_read <= self.now:
                    reader.next_read += _READ_INTERVAL
                    self.read_list(reader)

    def spread(self, revision, holder):
        """Have the readers hear of a write; its author knows at once."""
        for index, reader in enumerate(self.readers):
            delay = 0.0
            if index != holder % _READERS:
                delay = self.draw.uniform(0.0, self.hearing)
            self.news.append((self.now + delay, reader, revision, self.now))

    def hear(self):
        due = [item for item in self.news if item[0] <= self.now]
        self.news = [item for item in self.news if item[0] > self.now]
        for _, reader, revision, written_at in due:
            reader.staleness.note_revision(revision, written_at)

    def read_list(self, reader):
        """Read the list as `FleetFeed` does."""
        known = reader.staleness
        if not known.is_strict(self.now):
            revision = self.read(True)
            if not known.note_read(revision, self.now):
                reader.held = max(reader.held, revision)
                return
        reader.fresh_reads += 1
        reader.held = self.read(False)
        known.note_revision(reader.held, self.now)


class LeavingDelayTest(unittest.TestCase):
    def find_longest(self, domains, hearing, lag, freezes):
        """Return the longest time until a reader has learnt of a leaving."""
        longest = 0.0
        for seed in range(20):
            replay = _Replay(seed, domains, hearing)
            replay.run(105.0)
            replay.lag = lag
            replay.run(110.0 + replay.draw.uniform(0.0, 3.0))
            began = replay.now
            if freezes:
                replay.frozen_at = began - _STEP
            revision = replay.write()
            while any(one.held < revision for one in replay.readers):
                replay.run(replay.now + _STEP)
                if replay.now > began + _LONGEST:
                    return _LONGEST
            longest = max(longest, replay.now - began)
        return longest

    def test_a_leaving_is_known_in_time_whatever_stale_reads_do(self):
        """Guards against a bound that holds only in the mean.

        Stale reads lag by any time, or stand still from the moment of the
        announcement, with many leases, one and none, and with relays.
        """
        for domains, hearing in itertools.product((0, 1, 6), (0.4, 0.8)):
            for lag, freezes in (
                (0.0, True),
                (0.0, False),
                (0.5, False),
                (1.0, False),
                (1.4, False),
                (3.0, False),
            ):
                with self.subTest(
                    domains=domains, hearing=hearing, lag=lag, freezes=freezes
                ):
                    longest = self.find_longest(domains, hearing, lag, freezes)
                    self.assertLessEqual(
                        longest + _FOLLOW_SECONDS, _DRAIN_SECONDS
                    )

    def test_the_mark_of_a_node_that_was_suspended_proves_nothing(self):
        """Guards against an old read that counts as new.

        The node has heard of a revision before and tells of it after.
        """
        known = staleness.Staleness()
        known.note_revision(10, 99.0)
        known.note_revision(12, 100.0)
        known.note_reported(staleness.KnownRevision(11, 0.1), 101.2)
        self.assertTrue(known.note_read(11, 101.3))

    def test_few_reads_are_fresh_while_stale_ones_hardly_lag(self):
        """Guards against fresh reads, which cost ten times as much."""
        for domains, most in ((6, 0.1), (1, 0.35), (0, 0.5)):
            replay = _Replay(1, domains, 0.4)
            replay.lag = 0.2
            replay.run(160.0)
            fresh = sum(one.fresh_reads for one in replay.readers)
            reads = _READERS * 60.0 / _READ_INTERVAL
            self.assertLessEqual(fresh / reads, most, domains)


if __name__ == "__main__":
    unittest.main()

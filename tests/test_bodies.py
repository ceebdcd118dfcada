"""Bodies of requests: what they take of a node's memory, and who waits."""

import unittest

from bench import bodies as bench

# Part of its memory that no process may exceed.
_USABLE_SHARE = 0.8


class MemoryTest(unittest.TestCase):
    def start(self):
        site = self.enterContext(bench.Site(("g1",)))
        site.start()
        return site

    def check_memory(self, site, found):
        limit = site.limits["memoryMb"] * _USABLE_SHARE
        self.assertLess(found.peak, limit)
        self.assertEqual(found.ended, 0)

    def test_the_bodies_of_ended_requests_are_not_kept(self):
        """Guards against bodies that only garbage refers to."""
        site = self.start()
        found = site.run(6, 6.0)
        self.check_memory(site, found)
        self.assertEqual(set(found.posts), {200})

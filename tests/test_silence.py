"""End-to-end tests of sound servers that are silent for a while."""

import http
import time
import unittest

from bench import fleet as fleet_module
from bench import silence

# Seconds for which servers are silent, and after which all are served again.
_SILENCE = 1.3
_RECOVERY = 1.0
_TIMEOUT = 60.0


class SilenceCase(unittest.TestCase):
    domains = silence.DOMAINS
    # Callers of each gateway.
    callers = 3

    @classmethod
    def setUpClass(cls):
        cls.site = silence.Site(cls.domains)
        cls.addClassCleanup(cls.site.stop)
        cls.site.start()

    def check_silence(self, names, change=False):
        """Check what callers see while servers are silent, and after it."""
        before = self.site.list_groups()
        ended = []

        def disturb():
            if change:
                self.site.put_configuration(limits={"maxBodyBytes": 30_000})
                time.sleep(0.6)
            self.site.silence(names, _SILENCE)
            ended.append(time.monotonic())

        outcomes = self.site.observe(disturb, self.callers)
        self.assertGreater(len(outcomes), 0)
        broken = [one for one in outcomes if one.is_broken]
        self.assertEqual(broken, [])
        statuses = {one.status for one in outcomes}
        self.assertLessEqual(statuses, {200, 503})
        late = [
            one
            for one in outcomes
            if one.began > ended[0] + _RECOVERY
            and one.status != http.HTTPStatus.OK
        ]
        self.assertEqual(late, [])
        self.assertEqual(self.site.list_groups(), before)


class SilenceTest(SilenceCase):
    def test_all_servers_are_silent(self):
        """Guards against streams that end because nobody answers."""
        self.check_silence(silence.SERVERS)

    def test_all_are_silent_beside_a_change_of_the_configuration(self):
        """Guards against the same while a new version is applied."""
        self.check_silence(silence.SERVERS, change=True)

    def test_a_domain_is_silent(self):
        """Guards against replicas that are dissolved, and their streams."""
        self.check_silence(silence.DOMAINS["d0"])

    def test_a_leader_is_silent(self):
        """Guards against requests that lose their only upstream."""
        self.check_silence(self.site.list_leaders()[:1])


class DarkServerTest(SilenceCase):
    def test_a_server_without_power_is_lost(self):
        """Guards against waiting for a server that is down."""
        leader = self.site.list_leaders()[0]
        known = []

        def disturb():
            self.site.end(leader, self.site.darken)
            known.append(time.monotonic())

        outcomes = self.site.observe(disturb)
        served = {
            one.status for one in outcomes if one.began > known[0] + _RECOVERY
        }
        self.assertEqual(served, {200})
        fleet_module.wait_until(
            lambda: leader not in self.site.list_leaders(), _TIMEOUT, leader
        )


class OnlyReplicaTest(SilenceCase):
    domains = {"d0": ("e1", "e2")}
    callers = 1

    def test_the_only_replica_is_silent(self):
        """Guards against streams that nobody else can resume."""
        self.check_silence(self.site.list_leaders())


if __name__ == "__main__":
    unittest.main()

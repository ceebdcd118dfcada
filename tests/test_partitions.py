"""End-to-end tests of gateways that are partitioned from all upstreams.

The store, the callers and the other gateways reach them all the while.
"""

import sys
import unittest

import msgspec

from bench import fleet as fleet_module
from bench import gateways
from tests import test_gateway

_TIMEOUT = 60.0
_ENGINES = ("e1", "e2", "e3", "e4")
_APPS = ("a1", "a2")
_NODES = ("g1", "g2", "g3")


class _Partitions(gateways.Gateways):
    """Gateways that can each be partitioned from all upstreams."""

    def make_command(self, name):
        return [
            sys.executable,
            "-m",
            "standins.partition",
            str(self.path / f"{name}.partition"),
            str(gateways.PROGRAM),
        ]

    def cut(self, *names, fault="refuse"):
        """Partition gateways from all upstreams."""
        addresses = [self.addresses[name] for name in (*_ENGINES, *_APPS)]
        text = "\n".join((fault, *addresses))
        for name in names:
            (self.path / f"{name}.partition").write_text(text)

    def heal(self, *names):
        """End the partition of gateways."""
        for name in names:
            (self.path / f"{name}.partition").unlink(missing_ok=True)


class PartitionTest(test_gateway.GatewayCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = _Partitions()
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        fleet_module.wait_until(cls.is_store_running, _TIMEOUT, "store")
        for name in _ENGINES:
            cls.fleet.start_upstream(name, "pool", "d0", "m")
        for name in _APPS:
            cls.fleet.start_upstream(name, "app")
        cls.fleet.put_configuration()
        for name in _NODES:
            cls.fleet.start_gateway(name)
        for name in _NODES:
            fleet_module.wait_until(
                lambda name=name: cls.is_serving(name), _TIMEOUT, name
            )

    def setUp(self):
        self.addCleanup(self.heal)

    def heal(self):
        """End all partitions; return once no gateway knows of one."""
        self.fleet.heal(*_NODES)
        fleet_module.wait_until(
            lambda: (
                self.list_addresses() == sorted(self.fleet.fronts.values())
                and all(self.is_serving(name) for name in _NODES)
            ),
            _TIMEOUT,
            "the end of the partition",
        )

    def list_addresses(self):
        """Return the addresses that the last gateway sends callers to."""
        url = f"http://{self.fleet.directories[_NODES[-1]]}/"
        data = self.fleet.http.request("GET", url).data
        return msgspec.json.decode(data)["addresses"]

    def check_served(self, name, kind):
        """Check that first attempts of all kinds of request are served."""
        for prefix in ("safe", "unsafe", "stream", "once"):
            attempt = f"{kind}-{name}-{prefix}"
            answer = self.send(
                "POST", f"/{prefix}/x", b"1", gateway=name, attempt=attempt
            )
            self.assertEqual((answer.status, answer.whole), (200, True))
            self.assertEqual(len(self.list_runs(attempt)), 1)
            if prefix in ("stream", "once"):
                events = test_gateway.make_events(attempt, range(1, 7))
                self.assertEqual(answer.body, events)

    def test_first_attempts_are_served_by_way_of_a_peer(self):
        """Guards against refusals while other gateways reach upstreams.

        New connections to all upstreams are refused, or hang.
        """
        for fault in ("refuse", "hang"):
            self.fleet.cut("g1", "g2", fault=fault)
            for name in ("g1", "g2"):
                self.check_served(name, fault)
            self.heal()

    def test_sound_replicas_are_not_reported_as_lost(self):
        """Guards against the verdict of a node that has no path itself.

        Its report ends the streams of all other nodes at that replica.
        """
        self.fleet.cut("g1", "g2")
        for number in range(20):
            for name in _NODES:
                answer = self.send(
                    "POST", "/once/x", attempt=f"s{number}", gateway=name
                )
                self.assertEqual((answer.status, answer.whole), (200, True))
        for name in _NODES:
            self.assertNotIn("instance_lost", self.fleet.read_log(name))

    def test_callers_are_sent_to_nodes_that_reach_upstreams(self):
        """Guards against a directory that names partitioned nodes."""
        self.fleet.cut("g1")
        others = sorted(self.fleet.fronts[name] for name in ("g2", "g3"))

        def is_left_out():
            # Such a request needs a new connection.
            self.send("POST", "/unsafe/x", b"1", gateway="g1")
            return self.list_addresses() == others

        fleet_module.wait_until(is_left_out, _TIMEOUT, "a shorter list")


if __name__ == "__main__":
    unittest.main()

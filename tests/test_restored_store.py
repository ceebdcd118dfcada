"""The store comes back from an older copy, and its revisions with it.

The gateways, the store and the servers are processes.
"""

import time

from bench import fleet as fleet_module
from currantwall.transport import domainleases
from tests import test_gateway

_TIMEOUT = 60.0
# Objects that are written between the copy and the return, so that the
# store's revision stays below the former one for as long as a test lasts.
_LOST_WRITES = 300
# Seconds after which a server that leaves may get no more requests, and
# seconds for which requests are sent after that.
_DRAIN_SECONDS = 2.0
_SENDING_SECONDS = 2.0


class RestoredStoreTest(test_gateway.GatewayCase):
    def restore(self):
        """Restore the store, once the gateways know a later revision."""
        self.fleet.copy_store()
        for number in range(_LOST_WRITES):
            self.fleet.put_object("lost", "object", {"number": number})
        self.fleet.start_upstream("a3", "app")
        self.addCleanup(self.fleet.kill, "a3")
        for gateway in self.nodes:
            fleet_module.wait_until(
                lambda gateway=gateway: self.is_listed(gateway, "a3"),
                _TIMEOUT,
                "the newer list",
            )
        self.fleet.restore_store()

    def is_listed(self, gateway, name):
        """Return whether a gateway has logged a server as added."""
        return any(
            line["event"] == "instances_changed" and name in line["added"]
            for line in self.fleet.read_events(gateway)
        )

    def test_the_lease_of_a_domain_is_renewed_after_a_restore(self):
        """Guards against replicas that nobody may repair."""
        self.restore()
        kind = domainleases.KIND
        before = self.fleet.get_revision(kind, "d0")
        fleet_module.wait_until(
            lambda: self.fleet.get_revision(kind, "d0") > before,
            _TIMEOUT,
            "a renewal",
        )

    def test_a_removed_key_stays_removed_after_a_restore(self):
        """Guards against a configuration that an older copy brings back."""
        self.fleet.copy_store()
        self.addCleanup(self.fleet.put_configuration)
        self.fleet.put_configuration(tenants=[])
        for gateway in self.nodes:
            fleet_module.wait_until(
                lambda gateway=gateway: self.is_refused(gateway),
                _TIMEOUT,
                "the configuration",
            )
        self.fleet.restore_store()
        until = time.monotonic() + _SENDING_SECONDS
        while time.monotonic() < until:
            for gateway in self.nodes:
                self.assertTrue(self.is_refused(gateway))

    def is_refused(self, gateway):
        return self.send("GET", "/safe/x", gateway=gateway).status == 401

    def test_a_server_that_leaves_after_a_restore_gets_no_requests(self):
        """Guards against a list that stands still at a former revision."""
        self.restore()
        self.fleet.drain("a1")
        late = time.monotonic() + _DRAIN_SECONDS
        while time.monotonic() < late + _SENDING_SECONDS:
            for gateway in self.nodes:
                self.send("GET", "/safe/x", gateway=gateway)
        arrivals = self.fleet.list_arrivals("a1")
        self.assertEqual([at for at in arrivals if at > late], [])

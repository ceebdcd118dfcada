"""Evacuation of data centres: which requests reach their upstreams."""

import threading
import time
import unittest

from bench import fleet as fleet_module
from bench import gateways
from tests import test_gateway

# Seconds from the store's answer until no request may reach an upstream of
# the data centre where nothing fails, and the bound in the settings.
_EFFECT_SECONDS = 1.0
_BOUND_MS = 5000
_REQUEST_INTERVAL = 0.01
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


class EvacuatedSiteTest(test_gateway.GatewayCase):
    """Three gateways, two of which read the store, and two data centres."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = gateways.Gateways()
        cls.fleet.bounds = {"evacuateMs": _BOUND_MS}
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start_platform()
        fleet_module.wait_until(
            cls.is_store_running, test_gateway._TIMEOUT, "store"
        )
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

    def send_for(self, seconds):
        """Send requests of both kinds to all gateways; return the answers."""
        answers = []

        def send(gateway, method, target):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                answers.append(self.send(method, target, gateway=gateway))
                time.sleep(_REQUEST_INTERVAL)

        senders = [
            threading.Thread(target=send, args=(gateway, *request))
            for gateway in _GATEWAYS
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


if __name__ == "__main__":
    unittest.main()

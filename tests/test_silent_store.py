"""All open connections to the store go silent, while new ones work.

The only gateway, the store and the servers are processes.
"""

import contextlib
import socket
import threading
import time

from bench import fleet as fleet_module
from bench import gateways
from tests import test_gateway

_TIMEOUT = 60.0
_READ_SIZE = 65_536
# Seconds after a change by which a gateway follows it, and after a silence
# by which it does so again.
_APPLY_SECONDS = 2.0
_STABLE_SECONDS = 3.0
# Seconds for which requests are sent after that.
_SENDING_SECONDS = 1.5
# Seconds after a change at which the silence begins.
_MOMENTS = (0.0, 0.3, 0.9)


class _Proxy:
    """Forwards connections, and makes all open ones silent for good."""

    def __init__(self, address, target):
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        # Connections of an earlier epoch are silent.
        self._epoch = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        self._epoch += 1

    def stop(self):
        self._listener.close()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                accepted = self._listener.accept()[0]
                opened = socket.create_connection(self._target)
                for ends in ((accepted, opened), (opened, accepted)):
                    threading.Thread(
                        target=self._forward,
                        args=(*ends, self._epoch),
                        daemon=True,
                    ).start()

    def _forward(self, source, sink, epoch):
        with contextlib.suppress(OSError):
            while data := source.recv(_READ_SIZE):
                if self._epoch == epoch:
                    sink.sendall(data)
            if self._epoch == epoch:
                sink.shutdown(socket.SHUT_WR)


class _ProxiedGateways(gateways.Gateways):
    proxy = None

    def get_store(self, name):
        """Return the proxy's address for a gateway."""
        target = super().get_store(name)
        if not name.startswith("g"):
            return target
        if self.proxy is None:
            address = self._assign_address("proxy")
            self.proxy = _Proxy(address, target)
        return self.addresses["proxy"]


class SilentStoreTest(test_gateway.GatewayCase):
    make_fleet = _ProxiedGateways
    nodes = ("g1",)

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.addClassCleanup(cls.fleet.proxy.stop)

    def get_status(self):
        return self.send("GET", "/safe/x", gateway="g1").status

    def allow(self, is_allowed):
        """Change the keys, and return once the store has the change."""
        self.fleet.put_configuration(**({} if is_allowed else {"tenants": []}))

    def wait_until_in_touch(self, silent_since):
        """Wait until the gateway has to follow what has been written."""
        until = max(
            time.monotonic() + _APPLY_SECONDS, silent_since + _STABLE_SECONDS
        )
        time.sleep(until - time.monotonic())

    def test_a_change_is_followed_at_any_moment_of_a_silence(self):
        """Guards against a watch that hangs longer than a change may take."""
        for moment in _MOMENTS:
            with self.subTest(moment):
                self.allow(True)
                fleet_module.wait_until(
                    lambda: self.get_status() == 200, _TIMEOUT, "the key"
                )
                time.sleep(moment)
                self.fleet.proxy.silence()
                since = time.monotonic()
                self.allow(False)
                self.wait_until_in_touch(since)
                until = time.monotonic() + _SENDING_SECONDS
                while time.monotonic() < until:
                    self.assertEqual(self.get_status(), 401)
        self.allow(True)

    def test_a_server_that_leaves_in_a_silence_gets_no_requests(self):
        """Guards against reads that hang on one connection after the other."""
        fleet_module.wait_until(
            lambda: self.get_status() == 200, _TIMEOUT, "the key"
        )
        self.fleet.proxy.silence()
        since = time.monotonic()
        self.fleet.drain("a1")
        self.wait_until_in_touch(since)
        late = time.monotonic()
        until = late + _SENDING_SECONDS
        while time.monotonic() < until:
            self.assertEqual(self.get_status(), 200)
        arrivals = [at for at in self.fleet.list_arrivals("a1") if at > late]
        self.assertEqual(arrivals, [])

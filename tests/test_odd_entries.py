"""Entries of servers that another writer left, beside sound ones."""

import unittest

from bench import fleet
from bench import gateways

_GATEWAYS = ("gw-1", "gw-2", "gw-3")
_SERVERS = ("app-1", "app-2", "app-3")
_PORT = 17_777
# Fields that differ from those of a sound entry.
_ODD_FIELDS = {
    "no-port": {"address": "127.0.0.1"},
    "empty-label": {"address": f"1..2:{_PORT}"},
    "open-bracket": {"address": f"[127.0.0.1:{_PORT}"},
    "space": {"address": f"127.0.0.1 :{_PORT}"},
    "url": {"address": f"http://127.0.0.1:{_PORT}/"},
    "service-name": {"address": "127.0.0.1:http"},
    "negative-port": {"address": "127.0.0.1:-1"},
    "large-port": {"address": "127.0.0.1:99999"},
    "huge-port": {"address": "127.0.0.1:" + "9" * 4400},
    "superscript-port": {"address": "127.0.0.1:²"},
    "not-ascii": {"address": f"réseau:{_PORT}"},
    "nul": {"address": f"a\0b:{_PORT}"},
    "long-host": {"address": "a" * 100_000 + f":{_PORT}"},
    "huge-start": {"address": f"127.0.0.1:{_PORT}", "born": 10**300},
    "huge-slots": {"address": f"127.0.0.1:{_PORT}", "slots": 10**300},
    "negative-slots": {"address": f"127.0.0.1:{_PORT}", "slots": -3},
    "deep": {"address": f"127.0.0.1:{_PORT}", "staged": None},
}


def _make_entry(fields):
    return {
        "service": "app",
        "address": "",
        "zone": "a",
        "state": "ready",
        "slots": 4,
        **fields,
    }


def _make_deep(levels):
    value = []
    for _ in range(levels):
        value = [value]
    return value


class OddEntriesTest(unittest.TestCase):
    def setUp(self):
        self.site = gateways.Gateways()
        self.addCleanup(self.site.stop)
        self.site.start_store()
        self.site.put_configuration()

    def _start(self):
        for name in _SERVERS:
            self.site.start_upstream(name, "app")
        for name in _GATEWAYS:
            self.site.start_gateway(name)

    def _await_server(self, name):
        fleet.wait_until(
            lambda: self.site.is_answering(name, "/currantwall/report"),
            60.0,
            name,
        )

    def _await_ready(self, seconds=60.0):
        for name in _SERVERS:
            self._await_server(name)
        for name in _GATEWAYS:
            fleet.wait_until(
                lambda name=name: self.site.is_ready(name), seconds, name
            )

    def _put_odd_entries(self):
        for name, fields in _ODD_FIELDS.items():
            if name == "deep":
                fields = fields | {"staged": _make_deep(400)}
            self.site.put_object("servers", name, _make_entry(fields))

    def _list_statuses(self, count=60):
        headers = {
            "Host": gateways.HOST,
            "Authorization": f"Bearer {gateways.KEY}",
        }
        return [
            self.site.http.request(
                "GET",
                f"http://{self.site.fronts[name]}/safe/x",
                headers=headers | {"X-Attempt-Id": f"{name}-{number}"},
                timeout=5.0,
            ).status
            for number in range(count // len(_GATEWAYS))
            for name in _GATEWAYS
        ]

    def test_a_restart_beside_odd_entries_serves_again(self):
        """Guards against an entry that keeps the list from new processes."""
        self._start()
        self._await_ready()
        self._put_odd_entries()
        fleet.wait_until(
            lambda: self._list_statuses(9) == [200] * 9, 10.0, "served"
        )
        for name in (*_GATEWAYS, *_SERVERS):
            self.site.kill(name)
        self._start()
        self._await_ready(10.0)
        self.assertEqual(self._list_statuses(), [200] * 60)
        # A new server is used, so that the list is still followed.
        self.site.start_upstream("app-new", "app")
        self._await_server("app-new")
        fleet.wait_until(
            lambda: (
                self._list_statuses(9) and self.site.list_runs("app-new") != []
            ),
            10.0,
            "use of a new server",
        )
        for name in _GATEWAYS:
            log = self.site.read_log(name)
            self.assertNotIn("task_failed", log)
            # Once for each change of the entries, in each process.
            self.assertIn("entries_skipped", log)
            self.assertLess(log.count("entries_skipped"), 40)
            self.assertLess(max(map(len, log.splitlines())), 4096)


if __name__ == "__main__":
    unittest.main()

"""Addresses and numbers in the text of other writers."""

import pathlib
import sys
import time
import unittest
from unittest import mock

import eventlet
import hypothesis
from hypothesis import strategies
import msgspec

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from currantwall_platform import documents  # noqa: E402

from currantwall.coordination.peers import digests  # noqa: E402
from currantwall.state import addresses  # noqa: E402
from currantwall.state import numbers  # noqa: E402
from currantwall.state import revisions  # noqa: E402
from currantwall.state import upstreams  # noqa: E402
from currantwall.transport import exchanges  # noqa: E402
from currantwall.transport import ports  # noqa: E402

_SOUND = {
    "10.1.0.40:8227": ("10.1.0.40", 8227),
    "[2001:db8::1]:80": ("2001:db8::1", 80),
    "[::1]:65535": ("::1", 65535),
    "app-7.rack_2.example:1": ("app-7.rack_2.example", 1),
    "a" * 63 + ".example.:80": ("a" * 63 + ".example.", 80),
    "10.1.0.40:00080": ("10.1.0.40", 80),
}
_ODD = (
    "",
    ":80",
    "10.1.0.40",
    "10.1.0.40:",
    "10.1.0.40 :80",
    "10.1.0.40: 80",
    "10.1.0.40:http",
    "10.1.0.40:0",
    "10.1.0.40:-1",
    "10.1.0.40:+80",
    "10.1.0.40:65536",
    "10.1.0.40:" + "9" * 4400,
    "10.1.0.40:８０",
    "10.1.0.40:²",
    "http://10.1.0.40:80/",
    "[10.1.0.40:80",
    "[10.1.0.40]:80",
    "[::1:80",
    "::1:80",
    "[::1%réseau]:80",
    "10.1:80",
    "10.1.0.400:80",
    "1..2:80",
    ".example:80",
    "-a.example:80",
    "réseau.example:80",
    "a\0b:80",
    "a b:80",
    "a" * 64 + ".example:80",
    "a" * 1_000_000 + ":80",
)
_entry_values = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from([10**300, -(10**300), 2**53, -1])
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
    | strategies.sampled_from(
        ["9" * 4400, "m.1000000000.t", "m." + "9" * 4400 + ".t", *_ODD]
    )
)
_ENTRY_FIELDS = {
    *("service", "address", "zone", "state", "slots"),
    *("coldLeftMs", "born", "domain", "staged", "busy"),
}
_groups = strategies.fixed_dictionaries(
    {},
    optional={
        "name": _entry_values,
        "epoch": _entry_values,
        "rank": _entry_values,
        "state": strategies.sampled_from(["open", "joining"]),
    },
)


class AddressTest(unittest.TestCase):
    def test_sound_addresses_are_accepted(self):
        for text, expected in _SOUND.items():
            self.assertEqual(addresses.parse(text), text)
            self.assertEqual(addresses.split(text), expected)

    def test_what_cannot_be_dialled_is_no_address(self):
        """Guards against text that fails only where it is connected to."""
        for text in _ODD:
            self.assertIsNone(addresses.parse(text), text[:80])
            with self.assertRaises(ConnectionError):
                exchanges.open_connection(text, 0.1)

    @hypothesis.settings(max_examples=300, derandomize=True, database=None)
    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_is_an_address_or_none(self, text):
        for candidate in (text, f"{text}:80", f"[{text}]:80"):
            parsed = addresses.parse(candidate)
            if parsed is not None:
                self.assertEqual(addresses.split(parsed).port > 0, True)

    def test_a_slow_resolver_holds_up_no_other_task(self):
        """Guards against a host name that stops the whole process."""

        def look_up(*unused, **also_unused):
            time.sleep(0.6)
            return [(0, 0, 0, "", ("127.0.0.1", 0))]

        begun = time.monotonic()
        longest = [0.0]

        def watch():
            while True:
                before = time.monotonic()
                eventlet.sleep(0.01)
                longest[0] = max(longest[0], time.monotonic() - before)

        watcher = eventlet.spawn(watch)
        with (
            mock.patch.object(exchanges._socket, "getaddrinfo", look_up),
            self.assertRaises(TimeoutError),
        ):
            exchanges.open_connection("slow.example:80", 0.2)
        watcher.kill()
        self.assertLess(time.monotonic() - begun, 0.5)
        self.assertLess(longest[0], 0.15)


class NumberTest(unittest.TestCase):
    def test_text_becomes_a_bounded_number_or_none(self):
        """Guards against numbers that fail in arithmetic, or by length."""
        for text, expected in {
            "0": 0,
            " 007 ": 7,
            "9" * 15: 10**15 - 1,
            "0" * 5000 + "3": 3,
            "9" * 16: None,
            "9" * 5000: None,
            "-1": None,
            "+1": None,
            "1.0": None,
            "²": None,
            "７": None,
            "": None,
        }.items():
            self.assertEqual(numbers.parse_count(text), expected, text[:20])


class EntryTest(unittest.TestCase):
    def test_an_entry_without_an_address_is_skipped(self):
        """Guards against an instance that can't be connected to."""
        entry = {"service": "app", "zone": "a", "state": "ready"}
        objects = [
            ports.StoredObject(
                f"i-{number}",
                number,
                msgspec.json.encode(entry | {"address": address}),
            )
            for number, address in enumerate([*_ODD, *_SOUND])
        ]
        listed = documents.Documents().decode_upstreams(objects)
        self.assertEqual([one.address for one in listed], list(_SOUND))

    @hypothesis.settings(
        max_examples=400, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from(
                [
                    "service",
                    "address",
                    "zone",
                    "state",
                    "slots",
                    "coldLeftMs",
                    "born",
                    "domain",
                    "staged",
                    "busy",
                ]
            ),
            _entry_values,
        ),
        _groups,
        strategies.sampled_from(["i-1", "a" * 5000, "a\r\nb", "é", ""]),
    )
    def test_an_entry_becomes_a_usable_instance_or_none(
        self, fields, group, name
    ):
        """Guards against one entry that fails where instances are used."""
        entry = {
            "service": "app",
            "address": "10.1.0.1:80",
            "zone": "a",
            "state": "ready",
            "group": group,
        } | fields
        sound = {"service": "app", "address": "10.1.0.2:80"}
        sound |= {"zone": "a", "state": "ready"}
        listed = documents.Documents().decode_upstreams(
            [
                ports.StoredObject(name, 1, msgspec.json.encode(entry)),
                ports.StoredObject("i-2", 2, msgspec.json.encode(sound)),
            ]
        )
        self.assertIn("i-2", [one.id for one in listed])
        fleet = upstreams.Fleet()
        fleet.replace(listed, revisions.join(1, 2), 0.0)
        fleet.update(listed, [], revisions.join(1, 3), 0.1)
        for one in listed:
            addresses.split(one.address)
            departure = upstreams.Departure(one.born, 1.0)
            alarm = digests.Alarm((one.id, one.epoch_id))
            self.assertLess(
                len(msgspec.msgpack.encode([one, departure, alarm])), 5000
            )
            self.assertIsInstance(one.slots * 1.5, float)


if __name__ == "__main__":
    unittest.main()

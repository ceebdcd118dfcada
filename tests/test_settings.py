"""Tests of how settings and profiles are read and errors reported."""

import pathlib
import unittest

import result

from currantwall.state import profile
from currantwall.state import settings

_EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
_VALID = """
[node]
id = a
datacentre = d
address = 127.0.0.1:1
peer_address = 127.0.0.1:2
[platform]
url = http://127.0.0.1:3
[peers]
key = k
"""


def _get_error(text: str) -> str:
    outcome = settings.parse_settings(text, "entry.ini")
    assert isinstance(outcome, result.Err), outcome
    return str(outcome.err_value)


class SettingsTest(unittest.TestCase):
    def test_examples_are_valid(self) -> None:
        for path in sorted(_EXAMPLES.rglob("entry.ini")):
            outcome = settings.parse_settings(path.read_text(), str(path))
            self.assertIsInstance(outcome, result.Ok, outcome)

    def test_error_names_file_section_and_key(self) -> None:
        cases = {
            _VALID.replace("127.0.0.1:1", "nowhere"): (
                "entry.ini: [node] address: expected HOST:PORT, got 'nowhere'"
            ),
            _VALID.replace("id = a", "idd = a"): (
                "entry.ini: [node] idd: unknown key; expected one of"
            ),
            _VALID.replace("[peers]\nkey = k", ""): (
                "entry.ini: [peers]: this section is missing"
            ),
            _VALID.replace("key = k", ""): (
                "entry.ini: [peers] key: this key is missing"
            ),
            _VALID + "[replica]\n": "entry.ini: [replica]: unknown section",
            _VALID + "[service x]\nidempotent = perhaps\n": (
                "entry.ini: [service x] idempotent: expected yes or no,"
                " got 'perhaps'"
            ),
            _VALID + "[replicas]\nlease_ttl = soon\n": (
                "entry.ini: [replicas] lease_ttl: expected a number,"
            ),
            _VALID + "[replicas]\norder_lifetime = 2\n": (
                "entry.ini: [replicas] order_lifetime:"
                " expected less than lease_margin"
            ),
            "id = a": "entry.ini: ",
        }
        for text, expected in cases.items():
            with self.subTest(expected):
                self.assertTrue(
                    _get_error(text).startswith(expected), _get_error(text)
                )


class ProfileTest(unittest.TestCase):
    def test_formatted_profile_parses_to_the_same_value(self) -> None:
        for path in sorted(_EXAMPLES.rglob("profiles.ini")):
            first = profile.parse_profiles(path.read_text(), str(path))
            self.assertIsInstance(first, result.Ok, first)
            for parsed in first.ok_value:
                text = profile.format_profile(parsed)
                again = profile.parse_profiles(text, "again")
                self.assertEqual([parsed], again.ok_value)

    def test_error_names_file_section_and_key(self) -> None:
        cases = {
            "[counter]\nmodel = m\n": "p.ini: [counter]: expected sections",
            "[profile c]\nreplicas = 1\n": "p.ini: [profile c] model: this",
            "[profile c]\nmodel = m\nreplicas = -1\n": (
                "p.ini: [profile c] replicas: expected at least 0, got -1"
            ),
            "[profile c]\nmodel = m\nservice_class = gold\n": (
                "p.ini: [profile c] service_class: expected one of critical"
            ),
            "[profile a/b]\nmodel = m\n": "p.ini: [profile a/b]: expected a",
            "": "p.ini: expected at least one section",
        }
        for text, expected in cases.items():
            with self.subTest(expected):
                outcome = profile.parse_profiles(text, "p.ini")
                self.assertIsInstance(outcome, result.Err)
                message = str(outcome.err_value)
                self.assertTrue(message.startswith(expected), message)

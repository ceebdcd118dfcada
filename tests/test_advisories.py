"""What the headers of an upstream's answer ask of the nodes."""

import types
import unittest

import urllib3

from currantwall.protocol import advisories

_NAMES = types.SimpleNamespace(limit="Server-Limit")


def make_headers(**values):
    return urllib3.HTTPHeaderDict(
        {name.replace("_", "-"): value for name, value in values.items()}
    )


class LimitTest(unittest.TestCase):
    def parse(self, text):
        found = make_headers(Server_Limit=text)
        return advisories.parse_limit(found, _NAMES)

    def test_a_limit_is_a_decimal_number(self):
        self.assertEqual(self.parse("1.2"), 1.2)
        self.assertEqual(self.parse(" 30 "), 30.0)
        self.assertEqual(self.parse("0"), 0.0)
        nothing = advisories.parse_limit(make_headers(), _NAMES)
        self.assertIsNone(nothing)

    def test_an_unreadable_limit_is_none(self):
        """Guards against a faulty server that stops its own requests."""
        for text in ("", "-1", "nan", "inf", "1e9", "1,5", "9" * 400, "٣"):
            self.assertIsNone(self.parse(text), text)


if __name__ == "__main__":
    unittest.main()

"""What the headers of an upstream's answer ask of the nodes."""

import types
import unittest

import urllib3

from currantwall.protocol import advisories

_NAMES = types.SimpleNamespace(
    limit="Server-Limit", leaving="Server-Leaving", cold="X-Cold-Ms"
)


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

    def test_the_cold_time_is_in_milliseconds(self):
        for text, left in (
            ("1500", 1.5),
            ("0", 0.0),
            ("-1", None),
            ("", None),
        ):
            found = make_headers(X_Cold_Ms=text)
            self.assertEqual(advisories.parse_cold(found, _NAMES), left)
        self.assertIsNone(advisories.parse_cold(make_headers(), _NAMES))

    def test_an_unreadable_limit_is_none(self):
        """Guards against a faulty server that stops its own requests."""
        for text in ("", "-1", "nan", "inf", "1e9", "1,5", "9" * 400, "٣"):
            self.assertIsNone(self.parse(text), text)


class WithdrawalTest(unittest.TestCase):
    def parse(self, status, **values):
        found = make_headers(**values)
        return advisories.parse_retry_after(status, found)

    def test_only_a_refusal_asks_for_a_pause(self):
        self.assertEqual(self.parse(503, Retry_After="3"), 3.0)
        self.assertEqual(self.parse(429, Retry_After="0.25"), 0.25)
        self.assertIsNone(self.parse(503))
        self.assertIsNone(self.parse(500, Retry_After="3"))

    def test_an_unreadable_pause_is_none(self):
        """Guards against a faulty server that is left alone for ever."""
        for text in ("", "-3", "inf", "Fri, 04 Dec 2026 10:00:00 GMT"):
            self.assertIsNone(self.parse(503, Retry_After=text), text)

    def test_an_upstream_that_leaves_says_one(self):
        for text, expected in (("1", True), ("0", False), ("", False)):
            found = make_headers(Server_Leaving=text)
            self.assertIs(advisories.is_leaving(found, _NAMES), expected)


if __name__ == "__main__":
    unittest.main()

"""Objects of other writers that can't be read, beside others that can."""

import json
import pathlib
import sys
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import result

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from currantwall_platform import client  # noqa: E402
from currantwall_platform import documents  # noqa: E402
from currantwall_platform import store  # noqa: E402

from currantwall.protocol import pages  # noqa: E402
from currantwall.transport import sockets  # noqa: E402

_ENTRY = {
    "service": "app",
    "address": "10.1.0.1:80",
    "zone": "a",
    "state": "ready",
    "slots": 4,
}
_DEPTH = 5000
_UNREADABLE_VALUES = (
    rb'"Z\udcfcrich"',
    rb'"\ud800"',
    rb'"\x"',
    b'"\xff\xfe"',
    b"[" * _DEPTH + b"]" * _DEPTH,
    b'{"a":' * _DEPTH + b"1" + b"}" * _DEPTH,
    b"9" * 6000,
    b"-",
    b"",
    b"nul",
)
_UNREADABLE_ITEMS = (
    b"{}",
    b"[]",
    b"7",
    b'""',
    b'{"metadata":{}}',
    b'{"metadata":{"name":7},"spec":{}}',
    b'{"metadata":{"name":"x","revision":"y"},"spec":{}}',
)


def _make_item(name):
    stored = {"metadata": {"name": name, "revision": 3}, "spec": _ENTRY}
    return msgspec.json.encode(stored)


def _make_bad_item(value):
    return b'{"metadata":{"name":"bad","revision":2},"spec":%s}' % value


_json_values = strategies.recursive(
    strategies.none()
    | strategies.integers()
    | strategies.text(max_size=8)
    | strategies.sampled_from(['"', "\\", '\\"', "[", "}", ",", "é"]),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=4), inner)
        | inner.map(lambda value: [[[[[[[[[value]]]]]]]]])
    ),
    max_leaves=20,
)
_bad_items = strategies.sampled_from(
    [*map(_make_bad_item, _UNREADABLE_VALUES), *_UNREADABLE_ITEMS]
) | strategies.binary(max_size=30).map(
    # Any bytes, inside a string.
    lambda data: _make_bad_item(
        b'"' + data.replace(b"\\", b"").replace(b'"', b"") + b'"'
    )
)


class _Store(store.ObjectStore):
    """A client whose store answers with given bodies."""

    def __init__(self, *bodies):
        super().__init__("127.0.0.1:1", mock.Mock())
        self.bodies = list(bodies)
        self.paths = []

    def _call(self, method, path, operation, body=None, timeout=1.0):
        self.paths.append(path)
        return result.Ok(client.Answer(200, self.bodies.pop(0)))


def _make_page(items, has_more=False):
    more = b"true" if has_more else b"false"
    return b'{"asOf":9,"items":[%s],"hasMore":%s}' % (b",".join(items), more)


def _list_upstreams(listed):
    found = documents.Documents().decode_upstreams(listed.ok_value.objects)
    return {upstream.id for upstream in found}


class UnreadableTest(unittest.TestCase):
    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.lists(_bad_items, min_size=1, max_size=4))
    def test_what_cannot_be_read_hides_nothing_else(self, bad):
        """Guards against one entry that stops all gateways that start."""
        mixed = [_make_item("s1"), *bad, _make_item("s2")]
        listed = _Store(_make_page(mixed)).list("servers")
        self.assertLessEqual({"s1", "s2"}, _list_upstreams(listed))
        self.assertEqual(listed.ok_value.revision, 9)
        events = [b'{"object":%s,"removed":false}' % item for item in mixed]
        body = b'{"events":[%s],"asOf":12}' % b",".join(events)
        changed = _Store(body).watch("servers", 9, 1.0, 1.0)
        self.assertLessEqual({"s1", "s2"}, _list_upstreams(changed))
        self.assertEqual(changed.ok_value.revision, 12)

    def test_the_unreadable_are_named_once(self):
        """Guards against entries that are put aside without a word."""
        bad = _make_bad_item(rb'"\ud800"')
        page = _make_page([bad, _make_item("s1")])
        reader = _Store(page, page)
        reader.on_unreadable = mock.Mock()
        reader.list("servers")
        reader.list("servers")
        reader.on_unreadable.assert_called_once_with("servers", ["bad"])

    def test_pages_go_on_after_an_unreadable_item(self):
        """Guards against a list that ends where it can't be read."""
        bad = b'{"metadata":{"name":"\\ud800z"},"spec":"\\ud800"}'
        reader = _Store(
            _make_page([bad], True), _make_page([_make_item("s1")])
        )
        self.assertEqual(_list_upstreams(reader.list("servers")), {"s1"})
        self.assertIn("after=%ED%A0%80z", reader.paths[1])

    def test_a_list_without_an_end_is_no_list(self):
        """Guards against instances that are dropped from a cut list."""
        for items in ([_make_item("s1")], [b"{}"], []):
            endless = [_make_page(items, True)] * 3
            listed = _Store(*endless).list("servers")
            self.assertTrue(listed.is_err(), items)

    def test_a_list_of_many_pages_is_whole(self):
        """Guards against large entries of others that cut the list."""
        names = [f"s{number:03d}" for number in range(100)]
        bodies = [
            _make_page([_make_item(name)], name != names[-1]) for name in names
        ]
        listed = _Store(*bodies).list("servers")
        self.assertEqual(_list_upstreams(listed), set(names))

    def test_a_broken_page_is_no_list(self):
        """Guards against half an answer that counts as an empty list."""
        page = _make_page([_make_item("s1"), _make_item("s2")])
        for end in range(1, len(page)):
            self.assertTrue(_Store(page[:end]).list("servers").is_err(), end)

    def test_a_large_entry_leaves_turns_and_is_split_once(self):
        """Guards against an entry that makes a node stand still."""
        bad = _make_bad_item(b"[" + b"[]," * 300_000 + rb'"\ud800"]')
        page = _make_page([_make_item("s1"), bad, _make_item("s2")])
        reader = _Store(page, page.replace(b'"asOf":9', b'"asOf":10'))
        reader.on_unreadable = mock.Mock()
        with (
            mock.patch.object(sockets.eventlet, "sleep") as sleep,
            mock.patch.object(
                pages, "split_array", side_effect=pages.split_array
            ) as split,
        ):
            for _ in range(2):
                listed = reader.list("servers")
                self.assertEqual(_list_upstreams(listed), {"s1", "s2"})
        split.assert_called_once()
        self.assertGreater(sleep.call_count, 10)
        reader.on_unreadable.assert_called_once_with("servers", ["bad"])

    @hypothesis.settings(max_examples=300, derandomize=True, database=None)
    @hypothesis.given(
        strategies.lists(_json_values, max_size=4), strategies.integers(1, 60)
    )
    def test_a_page_is_split_at_its_items_in_steps_of_any_size(
        self, values, step
    ):
        """Guards against a bracket or a quote that is read as another."""
        items = [json.dumps(value).encode() for value in values]
        with mock.patch.object(pages, "_STEP", step):
            split = pages.split_array(_make_page(items), "items")
        self.assertEqual(split.items, items)
        self.assertEqual(split.rest, _make_page([]))

    def test_a_name_is_read_from_the_metadata_only(self):
        """Guards against pages that go on after another name."""
        item = b'{"spec":{"name":"no"},"metadata":{"a":{"name":"x"},"name":"y"'
        self.assertEqual(pages.find_name(item + b"}}"), "y")
        self.assertIsNone(pages.find_name(b'{"name":"z"}'))


if __name__ == "__main__":
    unittest.main()

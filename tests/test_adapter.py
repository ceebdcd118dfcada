"""Tests how the adapter decodes the platform's documents and answers."""

import pathlib
import sys
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import urllib3

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "platform"))

from currantwall_platform import client  # noqa: E402
from currantwall_platform import documents  # noqa: E402
from currantwall_platform import engines  # noqa: E402
from currantwall_platform import settings  # noqa: E402
from currantwall_platform import store  # noqa: E402

from currantwall.coordination.replicas import knowledge  # noqa: E402
from currantwall.state import revisions  # noqa: E402
from currantwall.state import routes  # noqa: E402
from currantwall.state import upstreams  # noqa: E402
from currantwall.transport import ports  # noqa: E402

SETTINGS = {
    "nodeName": "front-a-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "listen": {
        "front": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "directory": "10.1.0.40:8224",
    },
    "internalPorts": [7340, 7355],
    "bounds": {
        "graceS": 8,
        "retryBudgetRatio": 0.2,
        "budgetSlack": 282,
        "coldOvershoot": 2,
        "coldSlack": 7,
        "budgetWindowS": 10,
        "ttl_max_s": 5,
    },
    "platform": {"address": "10.200.1.7:8223"},
    "somethingNew": {"x": 1},
}
ENTRY = {
    "service": "pool",
    "address": "10.1.64.2:8080",
    "zone": "a",
    "slots": 13,
    "state": "ready",
    "seq": 41,
    "born": 1785830562232,
    "domain": "a-d0",
    "staged": ["m"],
    "group": {"name": "m.4.t", "epoch": 3, "rank": 1, "state": "ready"},
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 8000,
            "targetLatencyMs": 300,
            "targetGapMs": 200,
            "trafficSplit": [
                {"service": "pool", "weight": 90},
                {"service": "other", "weight": 10},
            ],
            "maxAttempts": 2,
            "resumable": True,
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "kind": "unsafe",
            "timeoutMs": 1200,
            "service": "other",
        },
    ],
    "services": [
        {
            "name": "pool",
            "maxConnections": 854,
            "coldStartS": 3,
            "coldPerS": 7.5,
            "engine": {
                "slots": 13,
                "models": [
                    {"name": "m", "size": 4, "share": 0.57, "loadS": 16.0}
                ],
                "loadsPerS": 4.5,
                "formMs": 300.0,
            },
        },
        {"name": "other"},
    ],
    "limits": {"idleTimeoutMs": 9000},
    "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}],
}


def make_stored(name, value):
    return ports.StoredObject(name, 1, msgspec.json.encode(value))


class SettingsTest(unittest.TestCase):
    def test_the_memory_is_read_from_the_settings(self):
        """Guards against a node that bounds nothing, or that should not."""
        given = SETTINGS | {"limits": {"memoryMb": 152}}
        found = settings.parse(msgspec.json.encode(given)).ok_value
        self.assertEqual(found.gateway.memory, 152_000_000)
        without = SETTINGS | {"limits": {}}
        found = settings.parse(msgspec.json.encode(without)).ok_value
        # Not unbounded: an answer without end would take all there is.
        self.assertEqual(found.gateway.memory, 1_000_000_000)

    def test_addresses_are_read_from_the_settings(self):
        found = settings.parse(msgspec.json.encode(SETTINGS)).ok_value
        gateway = found.gateway
        self.assertEqual(gateway.front, "10.1.0.40:8227")
        self.assertEqual(gateway.heartbeats, "10.1.0.40:7340")
        self.assertEqual(gateway.datacentre, "a")
        self.assertEqual(gateway.repeat_slack, 282)
        self.assertEqual((gateway.cold_overshoot, gateway.cold_slack), (2, 7))
        self.assertEqual(found.store, "10.200.1.7:8223")

    def test_evacuations_are_enabled_by_their_bound(self):
        """Guards against calls of the store where there are none."""
        found = settings.parse(msgspec.json.encode(SETTINGS)).ok_value
        self.assertIsNone(found.gateway.evacuation_bound)
        bounds = SETTINGS["bounds"] | {"evacuateMs": 5000}
        data = msgspec.json.encode(SETTINGS | {"bounds": bounds})
        found = settings.parse(data).ok_value
        self.assertEqual(found.gateway.evacuation_bound, 5.0)

    def test_an_error_names_the_missing_field(self):
        for field in ("nodeName", "listen", "internalPorts", "platform"):
            broken = {k: v for k, v in SETTINGS.items() if k != field}
            outcome = settings.parse(msgspec.json.encode(broken))
            self.assertIn(field, outcome.err_value)

    def test_an_error_names_the_unreadable_file(self):
        outcome = settings.load(pathlib.Path("/nonexistent/settings.json"))
        self.assertIn("/nonexistent/settings.json", outcome.err_value)


class ConfigurationTest(unittest.TestCase):
    def decode(self, value):
        data = msgspec.json.encode(value)
        return documents.Documents().decode_configuration(data)

    def test_routes_services_and_keys_are_decoded(self):
        found = self.decode(CONFIGURATION).ok_value
        stream, unsafe = found.routes
        self.assertEqual(found.version, 7)
        self.assertIs(stream.kind, routes.RouteKind.STREAMING)
        self.assertEqual(
            (stream.timeout, stream.target, stream.gap), (8.0, 0.3, 0.2)
        )
        self.assertTrue(stream.is_idempotent)
        self.assertEqual([s.weight for s in stream.shares], [90, 10])
        self.assertFalse(unsafe.is_idempotent)
        self.assertEqual(unsafe.shares[0].service, "other")
        self.assertEqual(found.services[0].engine.models[0].size, 4)
        self.assertEqual(found.services[0].engine.form_time, 0.3)
        self.assertEqual(found.services[0].cold_start, 3.0)
        self.assertEqual(found.services[0].cold_rate, 7.5)
        self.assertTrue(found.services[0].starts_cold)
        self.assertFalse(found.services[1].starts_cold)
        self.assertEqual(found.limits.idle_timeout, 9.0)
        self.assertEqual(found.organisations[0].keys, ("k1", "k2"))

    def test_unknown_fields_are_ignored(self):
        value = {**CONFIGURATION, "novelty": [1, 2]}
        self.assertTrue(self.decode(value).is_ok())

    def test_an_unknown_kind_counts_as_unsafe(self):
        """Guards against running a request of a new kind twice."""
        value = {**CONFIGURATION, "routes": [dict(CONFIGURATION["routes"][1])]}
        value["routes"][0]["kind"] = "novel"
        found = self.decode(value).ok_value
        self.assertIs(found.routes[0].kind, routes.RouteKind.UNSAFE)

    def test_no_tenants_means_no_keys(self):
        value = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
        found = self.decode(value).ok_value
        self.assertIsNone(found.organisations)

    def test_a_health_path_of_another_type_is_none(self):
        """Guards against a configuration that one field makes unreadable."""
        for path, expected in (
            ("/up", "/up"),
            (None, ""),
            ("up", ""),
            (7, ""),
        ):
            services = [{"name": "other", "healthPath": path}]
            value = {**CONFIGURATION, "services": services}
            (service,) = self.decode(value).ok_value.services
            self.assertEqual(service.health_path, expected)

    def test_an_unreadable_configuration_is_an_error(self):
        for data in (b"", b"{", b'{"version": "x"}', b"\xff"):
            outcome = documents.Documents().decode_configuration(data)
            self.assertTrue(outcome.is_err())


class EntriesTest(unittest.TestCase):
    def decode(self, *values):
        stored = [
            make_stored(f"i{number}", value)
            for number, value in enumerate(values)
        ]
        return documents.Documents().decode_upstreams(stored)

    def test_the_seat_is_read_from_the_entry(self):
        (found,) = self.decode(ENTRY)
        self.assertEqual(found.id, "i0")
        self.assertEqual(found.domain, "a-d0")
        self.assertIs(found.seat.phase, upstreams.Phase.READY)

    def test_the_write_count_of_an_entry_is_no_order_count(self):
        """Guards against replicas that are never formed.

        The entry's `seq` counts writes of the entry. Taken for the number
        of accepted orders, it causes every order to be refused.
        """
        (found,) = self.decode(ENTRY)
        self.assertIsNone(found.sequence)

    def test_an_entry_says_for_how_long_its_server_is_cold(self):
        for value, left in ((1500, 1.5), (0, 0.0), (-4, 0.0), (None, 0.0)):
            (found,) = self.decode({**ENTRY, "coldLeftMs": value})
            self.assertEqual(found.cold_left, left)
            self.assertIs(found.tells_coldness, value is not None)
        (found,) = self.decode(ENTRY)
        self.assertFalse(found.tells_coldness)

    def test_a_draining_server_is_leaving(self):
        (found,) = self.decode({**ENTRY, "state": "draining"})
        self.assertTrue(found.leaving)

    def test_an_unreadable_entry_does_not_hide_others(self):
        """Guards against losing all servers by one bad entry."""
        bad = (
            {**ENTRY, "address": 7},
            {**ENTRY, "address": "nowhere"},
            {**ENTRY, "state": "dancing"},
            {**ENTRY, "group": "g"},
            {"service": "pool"},
            None,
            [],
        )
        found = self.decode(*bad, ENTRY)
        self.assertEqual([server.id for server in found], [f"i{len(bad)}"])

    @hypothesis.settings(
        max_examples=200, deadline=None, derandomize=True, database=None
    )
    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=40),
            strategies.recursive(
                strategies.none()
                | strategies.booleans()
                | strategies.integers()
                | strategies.text(max_size=5),
                lambda inner: (
                    strategies.lists(inner, max_size=3)
                    | strategies.dictionaries(
                        strategies.sampled_from(sorted(ENTRY)),
                        inner,
                        max_size=9,
                    )
                ),
                max_leaves=12,
            ).map(msgspec.json.encode),
        )
    )
    def test_no_entry_raises_an_error(self, data):
        stored = ports.StoredObject("i", 1, data)
        good = make_stored("good", ENTRY)
        found = documents.Documents().decode_upstreams([stored, good])
        self.assertIn("good", [server.id for server in found])


class EnginesTest(unittest.TestCase):
    def setUp(self):
        self.connections = mock.Mock()
        self.engines = engines.Engines(self.connections)
        self.upstream = documents.Documents().decode_upstreams(
            [ports.StoredObject("i-1", 1, msgspec.json.encode(ENTRY))]
        )[0]

    def report(self, new_connection, **answer):
        with mock.patch.object(client, "send", **answer):
            return self.engines.report(self.upstream, new_connection)

    def test_a_probe_after_a_missed_one_uses_a_new_connection(self):
        """Guards against dissolving a healthy replica.

        Idle connections stop responding all at once, and both probes of an
        instance go over one of them.
        """
        self.report(True, side_effect=TimeoutError())
        self.connections.take.assert_called_with(
            "i-1", self.upstream.address, True
        )

    def test_a_connection_is_kept_only_after_a_whole_answer(self):
        good = client.Answer(200, b"{}", 3.0)
        self.report(False, return_value=good)
        self.connections.give_back.assert_called_once()
        self.connections.give_back.reset_mock()
        found = self.report(False, side_effect=TimeoutError())
        self.assertIs(found, knowledge.ProbeResult.SILENT)
        self.connections.give_back.assert_not_called()

    def test_an_unreadable_pace_does_not_invalidate_the_report(self):
        """Guards against a healthy server that counts as silent.

        Its replica would be dissolved, too.
        """
        for value, pace in ((b"12.0", 12.0), (b'"x"', 1.0), (b"null", 1.0)):
            answer = client.Answer(200, b'{"pace":' + value + b"}", 3.0)
            found = self.report(False, return_value=answer)
            self.assertEqual(found.pace, pace)

    def test_a_report_says_for_how_long_its_server_is_cold(self):
        """Guards against the time of an entry taken for that of a report."""
        self.upstream = msgspec.structs.replace(
            self.upstream, cold_left=2.0, tells_coldness=True
        )
        for value, left in (("1500", 1.5), ("0", 0.0), ("x", None)):
            headers = urllib3.HTTPHeaderDict({"X-Cold-Ms": value})
            answer = client.Answer(200, b"{}", 3.0, headers)
            found = self.report(False, return_value=answer)
            self.assertEqual(found.cold_left, left or 0.0)
            self.assertIs(found.tells_coldness, left is not None)

    def check_health(self, answer):
        with mock.patch.object(client, "send", return_value=answer):
            return self.engines.check_health(self.upstream, "/health")

    def test_only_the_server_itself_proves_that_it_lives(self):
        """Guards against an answer by something else at its address."""
        results = knowledge.ProbeResult
        for status, headers, expected in (
            (200, {"X-Instance-Id": "i-1"}, results.ANSWERED),
            (503, {"X-Instance-Id": "i-1"}, results.ANSWERED),
            (200, {"X-Instance-Id": "i-2"}, results.REFUSED),
            (421, {"X-Instance-Id": "i-1"}, results.REFUSED),
            (502, {}, results.UNREPORTED),
        ):
            found = urllib3.HTTPHeaderDict(headers)
            answer = client.Answer(status, b"", 0.0, found)
            self.assertIs(self.check_health(answer), expected)

    def test_only_the_server_itself_shows_that_it_has_no_reports(self):
        """Guards against an error page that hides later restarts."""
        results = knowledge.ProbeResult
        for status, expected in (
            (404, results.UNREPORTED),
            (502, results.SILENT),
            (503, results.SILENT),
        ):
            answer = client.Answer(status, b"", 0.0)
            found = self.report(True, return_value=answer)
            self.assertIs(found, expected)

    def test_an_address_that_another_server_has_counts_as_gone(self):
        other = client.Answer(421, b"", 0.0)
        found = self.report(False, return_value=other)
        self.assertIs(found, knowledge.ProbeResult.REFUSED)


class ObjectStoreTest(unittest.TestCase):
    """Revisions while the store comes back from an older copy."""

    def setUp(self):
        self.store = store.ObjectStore("127.0.0.1:1", mock.Mock())
        self.calls = []
        self.answers = []
        patch = mock.patch.object(client, "send", self.send)
        patch.start()
        self.addCleanup(patch.stop)
        patch = mock.patch.object(store.exchanges, "open_connection")
        patch.start().return_value.sock = None
        self.addCleanup(patch.stop)

    def send(self, connection, method, path, headers, body, timeout, limit):
        self.calls.append((method, path, body))
        status, era, answer = self.answers.pop(0)
        named = {} if era is None else {"Store-Era": str(era)}
        data = msgspec.json.encode(answer)
        return client.Answer(status, data, 0.0, urllib3.HTTPHeaderDict(named))

    @staticmethod
    def make_object(revision):
        return {"metadata": {"name": "x", "revision": revision}, "spec": {}}

    def test_a_revision_of_a_later_era_is_higher(self):
        self.answers = [
            (200, era, {"items": [self.make_object(n)], "asOf": n})
            for era, n in ((1, 479), (2, 368))
        ]
        before, after = (self.store.list("k").ok_value for _ in range(2))
        self.assertGreater(after.revision, before.revision)
        self.assertGreater(
            after.objects[0].revision, before.objects[0].revision
        )
        self.assertEqual(revisions.describe(after.revision), "2.368")

    def test_an_answer_that_names_no_era_counts_for_the_latest_one(self):
        self.answers = [(404, 2, None), (200, None, self.make_object(5))]
        self.store.get("k", "x")
        found = self.store.get("k", "x").ok_value
        self.assertEqual(found.revision, revisions.join(2, 5))

    def test_a_watch_from_an_earlier_era_has_expired(self):
        """Guards against missed changes after a number given out again."""
        events = {"events": [{"object": self.make_object(490)}], "asOf": 490}
        self.answers = [(200, 2, events)]
        for _ in range(2):
            found = self.store.watch("k", revisions.join(1, 479), 1.0, 1.0)
            self.assertEqual(found.err_value, ports.StoreFailure.EXPIRED)
        self.assertEqual(len(self.calls), 1)

    def test_a_list_that_spans_a_restore_is_not_used(self):
        """Guards against a list of parts of two histories."""
        page = {"items": [self.make_object(5)], "hasMore": True, "asOf": 9}
        self.answers = [(200, 1, page), (200, 2, page)]
        found = self.store.list("k")
        self.assertEqual(found.err_value, ports.StoreFailure.EXPIRED)

    def test_a_condition_on_an_earlier_era_is_not_met(self):
        """Guards against replacing an object that got the number again."""
        self.answers = [(404, 2, None)]
        self.store.get("k", "x")
        found = self.store.put("k", "x", b"{}", revisions.join(1, 5))
        self.assertEqual(found.err_value, ports.StoreFailure.CONFLICT)
        self.assertEqual(len(self.calls), 1)

    def test_a_condition_met_in_a_later_era_counts_as_lost(self):
        """Guards against a write that replaced another object unnoticed."""
        self.answers = [(200, 2, self.make_object(6))]
        found = self.store.put("k", "x", b"{}", revisions.join(1, 5))
        self.assertEqual(found.err_value, ports.StoreFailure.LOST)
        body = msgspec.json.decode(self.calls[0][2])
        self.assertEqual(body["metadata"]["revision"], 5)

    def test_a_revision_without_a_number_creates_the_object(self):
        self.answers = [(200, 2, self.make_object(6))]
        self.store.put("k", "x", b"{}", revisions.join(2, 0))
        self.assertEqual([call[0] for call in self.calls], ["POST"])


if __name__ == "__main__":
    unittest.main()

"""Tests of one entry with faulty upstreams and callers, over sockets.

No test asserts how long something takes; the timeouts only end a run that
fails.
"""

from concurrent import futures
import signal
import socket
import time
import typing
import unittest

import msgspec
import urllib3

from bench import fleet as fleet_module

_WAIT = 60.0
# Longer than the default evidence TTL (2 s).
_STOPPED_SECONDS = 2.5
# Time in which requests to a stopped entry are sent.
_SEND_SECONDS = 0.2
_EXTRA = """
[replicas]
load_time = 1
sighting_interval = 0.5

[requests]
body_limit = 20000
idle_timeout = 3
first_byte_timeout = 3

[kind counter]
weight = 3

[organisation shop]
token = shop-token
"""
_PROFILE = """
[profile counter]
model = m
replicas = 2
replica_size = 1
capacity = 8
"""
_TOKEN = {"Authorization": "Bearer shop-token"}
Json = dict[str, typing.Any]


class SocketCase(unittest.TestCase):
    fleet: fleet_module.Fleet

    @classmethod
    def setUpClass(cls) -> None:
        cls.fleet = fleet_module.Fleet()
        cls.addClassCleanup(cls.fleet.stop)
        for number in (1, 2):
            cls.fleet.start_engine(
                f"engine-{number}", f"f{number}", "d", "--load-time=0.1"
            )
        cls.fleet.start_service("sizing-1", "sizing", "d")
        cls.fleet.start_service("reorders-1", "reorders", "d")
        spec = fleet_module.EntrySpec(id="e1", datacentre="d", extra=_EXTRA)
        cls.fleet.add_entry(spec)
        cls.fleet.start_platform()
        cls.fleet.start_entry("e1")
        fleet_module.wait_until(
            lambda: cls.fleet.is_answering("e1", "/readyz"), _WAIT, "ready"
        )
        file = cls.fleet.path / "profiles.ini"
        file.write_text(_PROFILE)
        done = cls.fleet.run_tool("e1", "profile", "apply", str(file))
        assert done.returncode == 0, done.stderr
        fleet_module.wait_until(cls.is_serving, _WAIT, "replicas serve")
        fleet_module.wait_until(cls.sees_services, _WAIT, "services serve")

    @classmethod
    def is_serving(cls) -> bool:
        status = cls.fleet.read_json("e1", "status")
        usable = [
            replica["usable"]
            for domain in status["domains"]
            for replica in domain["replicas"]
        ]
        return usable == [True, True]

    @classmethod
    def sees_services(cls) -> bool:
        events = cls.fleet.read_json("e1", "timeline")["events"]
        seen = {event["subject"] for event in events}
        return {"sizing-1", "reorders-1"} <= seen

    def setUp(self) -> None:
        try:
            fleet_module.wait_until(self.is_serving, _WAIT, "whole again")
        except fleet_module.FleetError as error:
            status = self.fleet.read_json("e1", "status")
            raise AssertionError(f"{status}") from error

    def post(
        self, path: str, body: bytes, headers: dict[str, str] | None = None
    ) -> urllib3.BaseHTTPResponse:
        return self.fleet.request(
            "POST", "e1", path, body, {**_TOKEN, **(headers or {})}
        )

    def chat(self, **changes: typing.Any) -> urllib3.BaseHTTPResponse:
        body = {
            "model": "counter",
            "messages": [{"role": "user", "content": "a b c"}],
            "max_tokens": 6,
            **changes,
        }
        return self.post("/v1/chat/completions", msgspec.json.encode(body))

    def set_faults(self, name: str, faults: Json) -> None:
        body = msgspec.json.encode(faults)
        self.fleet.request("POST", name, "/control/faults", body)

    def set_engine_faults(self, **faults: typing.Any) -> None:
        for number in (1, 2):
            self.set_faults(f"engine-{number}", faults)
            self.addCleanup(self.set_faults, f"engine-{number}", {})

    def check_error(
        self, response: urllib3.BaseHTTPResponse, status: int, reason: str
    ) -> None:
        text = response.data.decode()
        self.assertEqual(status, response.status, text)
        error = msgspec.json.decode(response.data)["error"]
        self.assertEqual(reason, error["type"], text)


class UpstreamTest(SocketCase):
    def test_cut_stream_is_not_passed_off_as_whole(self) -> None:
        # Failure: the engine dies in the middle of an answer, and the
        # caller takes the truncated answer for a complete one.
        self.set_engine_faults(cut_after=3)
        try:
            response = self.chat(stream=True)
            text = response.data.decode()
        except urllib3.exceptions.HTTPError:
            return
        self.assertNotIn("[DONE]", text)
        self.assertIn("event: error", text)

    def test_stream_is_whole_and_in_order(self) -> None:
        response = self.chat(stream=True, max_tokens=50)
        events = response.data.decode().strip().split("\n\n")
        self.assertEqual("data: [DONE]", events[-1])
        tokens = [
            msgspec.json.decode(event[6:])["choices"][0]["delta"]["content"]
            for event in events[:-1]
        ]
        wanted = ["a ", "b ", "c "] * 17
        self.assertEqual(wanted[:50], tokens)

    def test_stream_to_a_caller_without_chunks_has_no_chunk_sizes(
        self,
    ) -> None:
        # Failure: an HTTP/1.0 caller reads the sizes of the engine's chunks
        # as a part of the answer.
        chat = {"model": "counter", "messages": [{"content": "a b c"}]}
        body = msgspec.json.encode({**chat, "stream": True})
        host, _, port = self.fleet.addresses["e1"].partition(":")
        head = (
            "POST /v1/chat/completions HTTP/1.0\r\nHost: e1\r\n"
            f"Authorization: Bearer shop-token\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection((host, int(port)), _WAIT) as sock:
            sock.sendall(head.encode() + body)
            data = b"".join(iter(lambda: sock.recv(65_536), b""))
        events = data.partition(b"\r\n\r\n")[2].split(b"\n\n")
        self.assertEqual(b"data: [DONE]", events[-2])
        for event in events[:-1]:
            self.assertTrue(event.startswith(b"data: "), event)

    def test_shedding_engine_is_not_asked_again(self) -> None:
        # One overloaded engine refuses requests and the other answers. If
        # both refuse, the caller gets a Retry-After immediately.
        self.set_faults("engine-1", {"refuse": True})
        self.addCleanup(self.set_faults, "engine-1", {})
        for _ in range(4):
            self.assertEqual(200, self.chat().status)
        self.set_engine_faults(refuse=True)
        response = self.chat()
        self.assertEqual(503, response.status)
        self.assertIn("Retry-After", response.headers)
        self.assertEqual("not-run", response.headers["Currantwall-Outcome"])

    def count_refused(self, name: str) -> int:
        answer = self.fleet.request("GET", name, "/control/refused")
        return msgspec.json.decode(answer.data)

    def test_upstreams_that_ask_for_a_pause_are_left_alone(self) -> None:
        """Guards against requests to upstreams that asked for a pause."""
        names = ("engine-1", "engine-2", "sizing-1")
        for name in names:
            self.set_faults(name, {"refuse": True, "retry_after": 5.0})
            self.addCleanup(self.set_faults, name, {})
        before = {name: self.count_refused(name) for name in names}
        for _ in range(8):
            for response in (
                self.chat(),
                self.post("/v1/services/sizing/size", b"x"),
            ):
                self.assertEqual(503, response.status)
                self.assertIn("Retry-After", response.headers)
        for name in names:
            refused = self.count_refused(name) - before[name]
            self.assertIn(refused, (0, 1), name)
        # The pause ends with the time that was asked for.
        for name in names:
            self.set_faults(name, {})
        fleet_module.wait_until(
            lambda: self.chat().status == 200, _WAIT, "chats are answered"
        )

    def test_stalled_engine_gives_an_error_in_time(self) -> None:
        # Both engines accept the request and never answer. They may have
        # run it, so the outcome must not be "not-run".
        self.set_engine_faults(stall=30)
        response = self.chat()
        self.assertEqual(503, response.status)
        self.assertEqual("unknown", response.headers["Currantwall-Outcome"])

    def test_an_entry_that_was_not_running_refuses_nothing(self) -> None:
        # Failure: the evidence expires while the entry is stopped, and the
        # requests that arrived meanwhile get 503 though every replica serves.
        self.fleet.send_signal("e1", signal.SIGSTOP)
        self.addCleanup(self.fleet.send_signal, "e1", signal.SIGCONT)
        time.sleep(_STOPPED_SECONDS)
        with futures.ThreadPoolExecutor() as pool:
            chats = [pool.submit(self.chat) for _ in range(4)]
            time.sleep(_SEND_SECONDS)
            self.fleet.send_signal("e1", signal.SIGCONT)
        statuses = [chat.result().status for chat in chats]
        self.assertEqual([200] * 4, statuses)

    def test_slow_booking_is_unknown_and_never_repeated(self) -> None:
        # The service accepts a booking and does not answer in time. It may
        # have run, so no further call with its key runs it again.
        self.set_faults("reorders-1", {"work_time": 30})
        self.addCleanup(self.set_faults, "reorders-1", {})
        entries = self.fleet.request("GET", "e1", "/v1/entries")
        prefix = msgspec.json.decode(entries.data)["key_prefix"]
        headers = {
            "Idempotency-Key": f"{prefix}slow",
            "Currantwall-Deadline": "1",
        }
        path = "/v1/services/reorders/orders"
        for _ in range(3):
            response = self.post(path, b"slow order", headers)
            outcome = response.headers["Currantwall-Outcome"]
            self.assertEqual("unknown", outcome)
        runs = self.fleet.request("GET", "reorders-1", "/control/runs")
        self.assertEqual(1, msgspec.json.decode(runs.data)["slow order"])

    def test_refused_booking_is_not_run(self) -> None:
        # The service answers that it did not run the call. A later call
        # with the same key runs once the service accepts calls again.
        entries = self.fleet.request("GET", "e1", "/v1/entries")
        prefix = msgspec.json.decode(entries.data)["key_prefix"]
        headers = {"Idempotency-Key": f"{prefix}refused"}
        path = "/v1/services/reorders/orders"
        self.set_faults("reorders-1", {"refuse": True})
        self.addCleanup(self.set_faults, "reorders-1", {})
        response = self.post(path, b"refused order", headers)
        self.assertEqual("not-run", response.headers["Currantwall-Outcome"])
        self.set_faults("reorders-1", {})
        fleet_module.wait_until(
            lambda: self.post(path, b"refused order", headers).status == 200,
            _WAIT,
            "the booking runs",
        )
        runs = self.fleet.request("GET", "reorders-1", "/control/runs")
        self.assertEqual(1, msgspec.json.decode(runs.data)["refused order"])


class BadInputTest(SocketCase):
    def test_each_mistake_is_named(self) -> None:
        path = "/v1/chat/completions"
        unknown = msgspec.json.encode({"model": "x", "messages": [1]})
        cases = (
            (path, b"{", {}, 400, "bad_request"),
            (path, b'{"messages": []}', {}, 400, "bad_request"),
            (path, unknown, {}, 404, "unknown_target"),
            (path, b" " * 20001, {}, 413, "body_too_large"),
            (
                path,
                unknown,
                {"Currantwall-Kind": "x"},
                400,
                "unknown_kind",
            ),
            (
                path,
                unknown,
                {"Currantwall-Deadline": "soon"},
                400,
                "bad_deadline",
            ),
            (
                path,
                unknown,
                {"Authorization": "Bearer x"},
                401,
                "unknown_caller",
            ),
            ("/v1/services/x/y", b"", {}, 404, "unknown_target"),
            ("/nowhere", b"", {}, 404, "no_such_path"),
            ("/v1/entries", b"", {}, 405, "bad_method"),
            ("/v1/admin/profiles", b"", {}, 405, "bad_method"),
        )
        for where, body, headers, status, reason in cases:
            with self.subTest(reason):
                response = self.post(where, body, headers)
                self.check_error(response, status, reason)

    def test_operators_calls_must_be_signed(self) -> None:
        # Failure: someone without the operators' key edits a profile.
        path = "/v1/admin/profiles/counter?expected=1"
        for headers in ({}, {"Currantwall-Signature": "1:00"}):
            response = self.fleet.request("PUT", "e1", path, b"{}", headers)
            self.check_error(response, 401, "bad_signature")

    def test_half_sent_requests_do_not_stop_the_others(self) -> None:
        # Callers open connections and send incomplete requests, or none.
        host, _, port = self.fleet.addresses["e1"].rpartition(":")
        half = (
            b"POST /v1/chat/completions HTTP/1.1\r\n"
            b"Content-Length: 100\r\n\r\nhalf"
        )
        held = []
        for data in (half, b"POST", b"\x00\xff\r\n\r\n", b""):
            for _ in range(20):
                sock = socket.create_connection((host, int(port)))
                self.addCleanup(sock.close)
                sock.sendall(data)
                held.append(sock)
        for sock in held[::2]:
            sock.shutdown(socket.SHUT_WR)
        self.assertEqual(200, self.chat().status)

    def test_huge_header_is_refused(self) -> None:
        headers = {"X-Huge": "x" * 100_000}
        try:
            status = self.post("/v1/chat/completions", b"{}", headers).status
        except urllib3.exceptions.HTTPError:
            return
        self.assertIn(status, (400, 431))


class ToolTest(SocketCase):
    def test_racing_edits_get_a_conflict(self) -> None:
        # Two operators edit the same profile; the second edit is based on
        # the version before the first edit.
        file = self.fleet.path / "edit.ini"
        file.write_text(_PROFILE + "concurrency = 8\n")
        first = self.fleet.run_tool("e1", "profile", "apply", str(file))
        self.assertEqual(0, first.returncode, first.stderr)
        file.write_text(_PROFILE + "concurrency = 9\n")
        second = self.fleet.run_tool(
            "e1", "profile", "apply", str(file), "--expect", "1"
        )
        self.assertEqual(1, second.returncode)
        self.assertIn("conflict", second.stdout)

    def test_commands_answer(self) -> None:
        file = self.fleet.path / "same.ini"
        file.write_text(_PROFILE)
        for words, wanted in (
            (("profile", "show", "counter"), "[profile counter]"),
            (("entries",), "e1"),
            (("status",), "counter-f1"),
            (("stop", "show"), "STOP"),
            (("forecast",), "accelerator hours"),
            (("forecast", "--with", str(file)), "counter*"),
            (("timeline", "--kind", "replica_serving"), "counter-f1"),
        ):
            with self.subTest(words):
                done = self.fleet.run_tool("e1", *words)
                self.assertEqual(0, done.returncode, done.stderr)
                self.assertIn(wanted, done.stdout)

    def test_page_of_the_time_line(self) -> None:
        page = self.fleet.path / "timeline.html"
        done = self.fleet.run_tool("e1", "timeline", "--html", str(page))
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn("<th>e1</th>", page.read_text())

    def test_bad_file_names_the_key(self) -> None:
        file = self.fleet.path / "bad.ini"
        file.write_text("[profile counter]\nmodel = m\nreplicas = many\n")
        done = self.fleet.run_tool("e1", "profile", "apply", str(file))
        self.assertEqual(2, done.returncode)
        self.assertIn("[profile counter] replicas", done.stderr)

    def test_unreachable_entry_has_its_own_code(self) -> None:
        self.fleet.addresses["nobody"] = "127.0.0.1:1"
        done = self.fleet.run_tool("nobody", "status")
        self.assertEqual(4, done.returncode)

    def test_an_evacuation_is_requested_shown_and_withdrawn(self) -> None:
        # The data centre is the only one: requests are refused at once.
        unknown = self.fleet.run_tool("e1", "evacuation", "request", "nowhere")
        self.assertEqual(1, unknown.returncode)
        self.assertIn("no data centre 'nowhere'", unknown.stderr)
        name = self.fleet.read_json("e1", "status")["domains"][0]["datacentre"]
        for reason in ("cooling", "cooling, again"):
            done = self.fleet.run_tool(
                "e1", "evacuation", "request", name, "--reason", reason
            )
            self.assertEqual(0, done.returncode, done.stderr)
        answer = self.chat()
        self.assertEqual(503, answer.status)
        self.assertGreater(float(answer.headers["Retry-After"]), 0)
        (view,) = self.fleet.read_json("e1", "evacuation", "show")
        self.assertEqual(name, view["evacuation"]["name"])
        for wanted in (0, 1):
            done = self.fleet.run_tool("e1", "evacuation", "withdraw", name)
            self.assertEqual(wanted, done.returncode, done.stderr)
        fleet_module.wait_until(
            lambda: self.chat().status == 200, _WAIT, "it serves again"
        )
        events = self.fleet.run_tool(
            "e1", "timeline", "--kind", "evacuation_changed"
        )
        self.assertIn("withdrawn", events.stdout)

    def test_planned_stop_of_an_instance_finishes(self) -> None:
        # The instance leaves its replica, which is rebuilt or drained, and
        # the stop is shown as finished. Then the stop is cancelled.
        planned = self.fleet.read_json(
            "e1", "stop", "plan", "instance", "engine-2"
        )
        self.addCleanup(
            self.fleet.run_tool, "e1", "stop", "cancel", planned["id"]
        )

        def is_finished() -> bool:
            views = self.fleet.read_json("e1", "stop", "show")
            return [view["finished"] for view in views] == [True]

        fleet_module.wait_until(is_finished, _WAIT, "the stop finishes")


del SocketCase

"""Demonstration of a small site, from start to graceful stop.

The result of each step is checked. Exits with 0 if every step succeeded;
otherwise with 1, after naming the step that failed.
"""

import collections
import itertools
import signal
import sys
import threading
import time
import typing

import msgspec
import urllib3

from bench import fleet as fleet_module

__all__ = ["main"]

_ENTRIES = (("regina-1", "regina"), ("regina-2", "regina"),
            ("winnipeg-1", "winnipeg"))  # fmt: skip
_ENGINES = 3
_READY_SECONDS = 40.0
_ENTRY_SETTINGS = """
[replicas]
load_time = 1
sighting_interval = 0.5

[requests]
entries_ttl = 3
"""
_PROFILE_INI = """
[profile counter]
model = aftercare-large
service_class = critical
replicas = 2
replica_size = 2
capacity = 16
"""
_CHAT_REQUEST = {
    "model": "counter",
    "messages": [{"role": "user", "content": "How to clean a new stud?"}],
    "max_tokens": 12,
}
Json = dict[str, typing.Any]


class Demo:
    """Runs and prints the steps of the demonstration.

    Attributes:
        step: Title of the current step, for the error message.
    """

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self._fleet = fleet
        self._steps = itertools.count(1)
        self.step = ""

    def run(self) -> None:
        """Run all steps.

        Raises:
            fleet_module.FleetError: A step failed.
        """
        started = time.monotonic()
        self._begin_step("start the processes")
        self._start_processes()
        self._begin_step("apply the profile")
        self._apply_profile()
        self._begin_step("wait for two replicas")
        self._wait_for_replicas()
        self._begin_step("ask for addresses")
        prefix = self._request_addresses()
        self._begin_step("chat completion, streamed")
        self._print(" ".join(self._request_stream("regina-1", _CHAT_REQUEST)))
        self._begin_step("chat completion, whole")
        self._request_chat()
        self._begin_step("sizing question")
        self._request_sizing()
        self._begin_step("reorder, and the same again through another entry")
        self._send_reorder(f"{prefix}order-4711")
        self._begin_step("the same with a key of the caller's own")
        self._send_reorder("studio-17-order-4712")
        self._begin_step("stop an entry while a stream runs")
        self._stop_entry()
        self._begin_step("time line")
        self._print_timeline()
        self._print(f"done in {time.monotonic() - started:.1f} s")

    def _begin_step(self, step: str) -> None:
        self.step = step
        print(f"\n{next(self._steps)}. {step}", flush=True)

    @staticmethod
    def _print(text: str) -> None:
        print(f"   {text}", flush=True)

    @staticmethod
    def _check(condition: bool, message: str) -> None:
        if not condition:
            raise fleet_module.FleetError(message)

    # -- Steps

    def _start_processes(self) -> None:
        fleet = self._fleet
        for domain, datacentre in (
            ("fabric-a", "regina"),
            ("fabric-b", "winnipeg"),
        ):
            for number in range(1, _ENGINES + 1):
                fleet.start_engine(f"{domain}-{number}", domain, datacentre)
        fleet.start_service("sizing-1", "sizing", "regina")
        fleet.start_service("reorders-1", "reorders", "winnipeg")
        for name, datacentre in _ENTRIES:
            fleet.add_entry(
                fleet_module.EntrySpec(
                    id=name, datacentre=datacentre, extra=_ENTRY_SETTINGS
                )
            )
        fleet.start_platform()
        for name, _ in _ENTRIES:
            fleet.start_entry(name)
        for name, _ in _ENTRIES:
            fleet_module.wait_until(
                lambda name=name: fleet.is_answering(name, "/readyz"),
                _READY_SECONDS,
                f"{name} is ready",
            )
            self._print(f"{name} is ready at {fleet.addresses[name]}")
        fleet_module.wait_until(
            self._has_all_members,
            _READY_SECONDS,
            "the entries know each other",
        )

    def _has_all_members(self) -> bool:
        status = self._fleet.read_json("regina-1", "status")
        live = [
            member
            for member in status["members"]
            if member["state"] == "live" and member["incarnation"]
        ]
        return len(live) == len(_ENTRIES)

    def _apply_profile(self) -> None:
        profile_path = self._fleet.path / "profiles.ini"
        profile_path.write_text(_PROFILE_INI)
        result = self._fleet.run_tool(
            "regina-2", "profile", "apply", str(profile_path)
        )
        self._check(result.returncode == 0, result.stdout + result.stderr)
        self._print(result.stdout.strip())

    def _wait_for_replicas(self) -> None:
        seconds = fleet_module.wait_until(
            lambda: len(self._list_usable()) == 2,
            _READY_SECONDS,
            "two replicas serve",
        )
        for replica in self._list_usable():
            self._print(f"{replica['id']}: {', '.join(replica['members'])}")
        self._print(f"after {seconds:.1f} s")

    def _list_usable(self) -> list[Json]:
        """Return the replicas that every entry reports as usable."""
        counts: collections.Counter[str] = collections.Counter()
        replicas: dict[str, Json] = {}
        for name, _ in _ENTRIES:
            status = self._fleet.read_json(name, "status")
            for domain in status["domains"]:
                for replica in domain["replicas"]:
                    if replica["usable"]:
                        counts[replica["id"]] += 1
                        replicas[replica["id"]] = replica
        entry_count = len(_ENTRIES)
        return [
            replicas[replica_id]
            for replica_id in sorted(replicas)
            if counts[replica_id] == entry_count
        ]

    def _request_addresses(self) -> str:
        answer = self._get_json("GET", "winnipeg-1", "/v1/entries")
        names = [entry["node"] for entry in answer["entries"]]
        self._check(
            names[0] == "winnipeg-1",
            "the first entry is not in the caller's data centre",
        )
        self._print(f"use {', '.join(names)} for {answer['ttl']:g} s")
        return answer["key_prefix"]

    def _request_stream(self, entry: str, chat_request: Json) -> list[str]:
        body = msgspec.json.encode({**chat_request, "stream": True})
        response = self._fleet.http.request(
            "POST",
            f"http://{self._fleet.addresses[entry]}/v1/chat/completions",
            body=body,
            preload_content=False,
            timeout=20,
        )
        self._check(response.status == 200, f"status {response.status}")
        text = b"".join(response.stream()).decode()
        events = [line[6:] for line in text.split("\n\n") if line]
        self._check(events[-1] == "[DONE]", "the stream has no end mark")
        tokens = [
            msgspec.json.decode(event)["choices"][0]["delta"][
                "content"
            ].strip()
            for event in events[:-1]
        ]
        token_count = chat_request["max_tokens"]
        self._check(
            len(tokens) == token_count,
            f"{len(tokens)} of {token_count} tokens",
        )
        return tokens

    def _request_chat(self) -> None:
        answer = self._get_json(
            "POST", "winnipeg-1", "/v1/chat/completions", _CHAT_REQUEST
        )
        text = answer["choices"][0]["message"]["content"]
        self._check(
            text.startswith("How to clean"),
            "the answer does not repeat the question",
        )
        self._print(text)

    def _request_sizing(self) -> None:
        answer = self._get_json(
            "POST", "regina-2", "/v1/services/sizing/ask", {"gauge": 16}
        )
        self._print(str(answer["request"]))

    def _send_reorder(self, key: str) -> None:
        path = "/v1/services/reorders/orders"
        order = {"order": key, "item": "titanium stud", "count": 20}
        headers = {"Idempotency-Key": key}
        first = self._get_json("POST", "winnipeg-1", path, order, headers)
        second = self._get_json("POST", "regina-1", path, order, headers)
        self._check(first == second, "the two answers differ")
        runs = self._get_json("GET", "reorders-1", "/control/runs")
        text = msgspec.json.encode(order).decode()
        self._check(
            runs.get(text) == 1, f"the order ran {runs.get(text)} times"
        )
        self._print(f"{key}: answered twice, ran once")

    def _stop_entry(self) -> None:
        chat_request = {**_CHAT_REQUEST, "max_tokens": 100}
        outcome: list[object] = []

        def stream() -> None:
            try:
                outcome.append(
                    len(self._request_stream("regina-1", chat_request))
                )
            except (
                fleet_module.FleetError,
                urllib3.exceptions.HTTPError,
            ) as error:
                outcome.append(error)

        reader = threading.Thread(target=stream)
        reader.start()
        time.sleep(0.3)
        self._fleet.send_signal("regina-1", signal.SIGTERM)
        time.sleep(0.5)
        answer = self._get_json("GET", "regina-2", "/v1/entries")
        names = [entry["node"] for entry in answer["entries"]]
        self._check(
            "regina-1" not in names, f"regina-1 is still named: {names}"
        )
        reader.join(20)
        self._check(outcome == [100], f"the stream was cut: {outcome}")
        code = self._fleet.wait("regina-1", 15)
        self._check(code == 0, f"exit code {code} instead of 0")
        self._print("the stream ended whole, the entry exited with 0")

    def _print_timeline(self) -> None:
        result = self._fleet.run_tool("regina-2", "timeline")
        self._check(result.returncode == 0, result.stderr)
        self._check(
            "replica_serving" in result.stdout,
            "the timeline has no replica_serving event",
        )
        for line in result.stdout.splitlines():
            self._print(line)

    def _get_json(
        self,
        method: str,
        name: str,
        path: str,
        body: Json | None = None,
        headers: dict[str, str] | None = None,
    ) -> typing.Any:
        data = msgspec.json.encode(body) if body is not None else b""
        response = self._fleet.request(method, name, path, data, headers)
        text = response.data.decode()
        self._check(response.status == 200, f"{response.status}: {text}")
        return msgspec.json.decode(text)


def main() -> int:
    """Run the demonstration; return the exit code.

    A failure prints the step and the last log lines of each entry.
    """
    with fleet_module.Fleet() as fleet:
        demo = Demo(fleet)
        try:
            demo.run()
        except (
            fleet_module.FleetError,
            urllib3.exceptions.HTTPError,
        ) as error:
            print(f"\nfailed at: {demo.step}: {error}", file=sys.stderr)
            for name, _ in _ENTRIES:
                tail = fleet.read_log(name).splitlines()[-8:]
                print(f"{name}:", *tail, sep="\n  ", file=sys.stderr)
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())

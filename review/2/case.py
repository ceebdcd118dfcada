"""A server dies in the middle of an answer that has no length.

Clients of a plain service read stock levels. Each second answer has neither a
length nor chunks and ends with its channel, and each is written in two parts.
One of the three servers is killed and started again, four times.
"""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness
import server

SERVERS = ("i-1", "i-2", "i-3")
SECONDS = 24.0
# Seconds after the begin of traffic at which a server is killed.
KILLS = {4.0: "i-1", 9.0: "i-2", 14.0: "i-3", 19.0: "i-1"}
DOWN_SECONDS = 3.0


def start_server(site: harness.Site, name: str) -> None:
    """Start one server of the service."""
    zone = harness.ZONES[SERVERS.index(name)]
    site.start_server(
        name, "--service=order-book", f"--zone={zone}", "--unframed"
    )


def trouble(site: harness.Site, begin: float) -> None:
    """Kill servers and start them again."""
    for at, name in KILLS.items():
        time.sleep(max(0.0, begin + at - time.monotonic()))
        site.send_signal(name, signal.SIGKILL)
        time.sleep(DOWN_SECONDS)
        start_server(site, name)


def ask(client: harness.Client, number: int) -> harness.Result:
    """Read a stock level, or post a reorder."""
    if number % 2:
        return client.ask("POST", "/reorder/", 2.5, b"one titanium bar")
    return client.ask("GET", "/stock/", 2.5)


def play(site: harness.Site) -> bool:
    """Return whether each success bears the server's whole body."""
    site.start_store()
    route = {
        "host": harness.HOST,
        "service": "order-book",
        "timeoutMs": 2500,
        "targetLatencyMs": 200,
        "priority": 2,
        "public": False,
    }
    site.put_configuration(
        routes=[
            route
            | {
                "name": "stock",
                "pathPrefix": "/stock/",
                "kind": "safe",
                "maxAttempts": 2,
            },
            route
            | {
                "name": "reorder",
                "pathPrefix": "/reorder/",
                "kind": "unsafe",
                "maxAttempts": 1,
            },
        ],
        services=[
            {
                "name": "order-book",
                "healthPath": "/health",
                "maxConnections": 208,
            }
        ],
    )
    for name in SERVERS:
        start_server(site, name)
    for number, zone in enumerate(harness.ZONES):
        site.start_gateway(f"front-{number}", zone)
    names = list(site.settings)
    site.wait_until(lambda: all(map(site.is_ready, names)), 20, "gateways")
    time.sleep(3.0)
    begin = time.monotonic()
    if site.trouble:
        threading.Thread(
            target=trouble, args=[site, begin], daemon=True
        ).start()
    results = harness.play(site, 12, SECONDS, ask)
    site.copy_runs()
    served = [one for one in results if one.whole and one.status == 200]
    wrong = [
        one for one in served if one.body != server.make_body(one.attempt)
    ]
    for one in wrong:
        site.write(
            f"WRONG: {one.attempt} got a complete 200 with "
            f"{len(one.body)} of {server.BODY_BYTES} bytes, seal "
            f"{one.headers.get('X-Server-Seal')}"
        )
    site.write(
        f"{len(results)} requests, {len(served)} answered with success, "
        f"{len(wrong)} of these with a part of the server's body"
    )
    if len(served) < 200:
        raise harness.UnusableError("too few requests were served")
    return not wrong


if __name__ == "__main__":
    harness.run_case(__file__, play)

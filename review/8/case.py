"""Nodes are stopped in turn; requests that ran are never answered."""

import asyncio
import json
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402

NODES = {"front-regina-1": "regina", "front-saskatoon-1": "saskatoon"}
# Seconds from one SIGTERM to the next, of any node, and of all together.
GAP = 3.5
DURATION = 90.0
GRACE = 8.0
# Clients, channels of each to each node, and seconds that a channel is idle:
# at most four fifths of `idleTimeoutMs`.
CLIENTS = 8
CHANNELS = 50
IDLE = (6.0, 11.0)
TIMEOUT = 1200
DEADLINE = 5002

CONFIGURATION = kit2.make_configuration(
    [
        kit2.make_route("order", "book", "unsafe", TIMEOUT, 150),
        kit2.make_route(
            "note",
            "desk",
            "streaming",
            5000,
            200,
            targetGapMs=200,
            resumable=True,
            maxAttempts=2,
        ),
    ],
    [
        {"name": "book", "healthPath": "/health", "maxConnections": 208},
        {"name": "desk", "healthPath": "/health", "maxConnections": 854},
    ],
)
SERVERS = [
    {"id": f"i-book{number}", "service": "book", "work_ms": 45}
    for number in range(3)
] + [
    {"id": f"i-desk{number}", "service": "desk", "kind": "stream", "slots": 13}
    for number in range(6)
]


class Client:
    """A client process: it asks for addresses, and keeps channels open."""

    def __init__(self, site, record, number):
        self._site = site
        self._record = record
        self._random = random.Random(number)
        # Some clients keep an answer three times as long.
        self._factor = 3 if number % 2 else 1
        self._addresses = list(site.fronts.values())
        self._expires = 0.0
        self._asking = asyncio.Lock()
        self._number = number
        self._count = 0
        # Requests by id: when and where they were sent, and their end.
        self.requests = {}

    async def _resolve(self):
        async with self._asking:
            if self._record.now() < self._expires:
                return self._addresses
            for directory in self._site.directories.values():
                caller = kit2.Caller(directory)
                try:
                    await caller.connect()
                    target = "/currantwall/resolve?name=desk.example"
                    line = f"GET {target}&zone=regina HTTP/1.1"
                    await caller.send(
                        kit2.make_message(line, [("Host", kit2.HOST)])
                    )
                    answer = await asyncio.wait_for(caller.read(), 1.0)
                    if answer and kit2.get_status(answer) == 200:
                        found = json.loads(answer.body)
                        self._addresses = found["addresses"]
                        kept = min(found["ttlS"], 5) * self._factor
                        self._expires = self._record.now() + kept
                        break
                except (OSError, EOFError):
                    continue
                finally:
                    caller.close()
            return self._addresses

    async def run_channel(self):
        """Send a request now and then on one channel until cancelled."""
        caller, address = None, ""
        try:
            while True:
                await asyncio.sleep(self._random.uniform(*IDLE))
                known = await self._resolve()
                if caller is not None and (
                    address not in known or caller.is_ended()
                ):
                    caller.close()
                    caller = None
                if caller is None:
                    if not known:
                        continue
                    address = self._random.choice(known)
                    caller = kit2.Caller(address)
                    try:
                        await caller.connect()
                    except OSError:
                        caller = None
                        continue
                if not await self._ask(caller, address):
                    caller.close()
                    caller = None
        finally:
            if caller is not None:
                caller.close()

    async def _ask(self, caller, address):
        """Send a request; return whether the channel can be kept."""
        self._count += 1
        route = self._random.choice(("order", "note", "note"))
        attempt = f"{route[0]}{self._number}n{self._count:05}"
        sent = self._record.now()
        what, keeps = "closed", False
        try:
            await caller.send(
                kit2.make_request(
                    "POST", f"/{route}/{attempt}", attempt, DEADLINE, b"x"
                )
            )
            answer = await asyncio.wait_for(caller.read(), DEADLINE / 1000)
            if answer is not None:
                what = kit2.get_status(answer)
                keeps = answer.get("Connection").lower() != "close"
        except (OSError, EOFError) as error:
            what = type(error).__name__
        self.requests[attempt] = (sent, address, what)
        self._record.note(
            "sent", attempt=attempt, to=address, at=f"{sent:.3f}"
        )
        self._record.note("answered", attempt=attempt, status=what)
        return keeps


async def stop_in_turn(site, record, stops):
    """Send SIGTERM to one node after the other, and start it again."""
    names = sorted(NODES)
    tasks = []
    start = record.now()
    number = 0
    while record.now() - start < DURATION:
        if kit2.TROUBLE:
            name = names[number % len(names)]
            tasks.append(
                asyncio.ensure_future(restart(site, record, name, stops))
            )
        number += 1
        await asyncio.sleep(GAP)
    await asyncio.gather(*tasks)


async def restart(site, record, name, stops):
    """Send SIGTERM, wait for the end, and start the node again."""
    record.note("sigterm", node=name)
    stops.append((record.now(), site.fronts[name]))
    process = site.stop_node(name)
    for _ in range(int(GRACE / 0.05)):
        if process.poll() is not None:
            break
        await asyncio.sleep(0.05)
    else:
        record.note("killed", node=name)
        process.kill()
        process.wait(5)
    site.start_node(name, NODES[name])
    await site.wait_ready(name)
    record.note("ready", node=name)


async def case(site, record):
    """Return whether the rule held."""
    for name, zone in NODES.items():
        site.start_node(name, zone)
    for name in NODES:
        await site.wait_ready(name)
    await asyncio.sleep(3.0)
    clients = [Client(site, record, number) for number in range(CLIENTS)]
    tasks = [
        asyncio.ensure_future(client.run_channel())
        for client in clients
        for _ in range(CHANNELS * len(NODES))
    ]
    await asyncio.sleep(10.0)
    stops = []
    await stop_in_turn(site, record, stops)
    await kit2.end_tasks(tasks)
    runs = site.read_runs()
    record.note_runs(runs)
    ran = {run["attempt"] for run in runs if run["what"] == "run"}
    whole = {run["attempt"] for run in runs if not run.get("closed", True)}
    found, lost, closed, timed_out = {}, [], 0, 0
    for client in clients:
        found.update(client.requests)
    for attempt, (sent, address, what) in found.items():
        is_answered = isinstance(what, int)
        closed += not is_answered
        is_near = any(
            node == address and at - 3.0 <= sent <= at + GRACE + 1.0
            for at, node in stops
        )
        is_over = what == "TimeoutError"
        timed_out += is_over
        if is_answered or is_over or attempt not in ran or not is_near:
            continue
        lost.append(attempt)
        if len(lost) <= 5:
            record.say(
                f"lost: {attempt} sent {sent:.3f} to {address}, {what}; "
                f"it ran{' to its end' if attempt in whole else ''}"
            )
    record.say(
        f"{len(stops)} SIGTERM, {len(found)} requests, {closed} without an "
        f"answer ({timed_out} at the time limit), {len(lost)} of those whose "
        f"channel was closed ran"
    )
    if len(found) < 500:
        raise kit2.RunError("too few requests")
    return not lost


kit2.run(case, FOLDER, CONFIGURATION, SERVERS)

"""Clients post large bodies, and the platform kills nodes for their memory."""

import asyncio
import collections
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402

NODE = "front-regina-1"
# What the settings give the machine: memory, and its link of 350 Mbit/s.
MEMORY_BYTES = 222_000_000
LINK_BYTES_PER_S = 43_750_000
# Clients, and the bytes of a body; `maxBodyBytes` is 4,194,304.
CLIENTS = 24
BODY = b"x" * (4_000_000 if kit2.TROUBLE else 600)
PIECE = 65_536
DURATION = 50.0
# Seconds between two requests of a client, and until a killed node is back.
PAUSE = 0.1
DOWN = 1.0
TIMEOUT = 8000
DEADLINE = 8003
# The rule: more than this many.
ALLOWED = 3

CONFIGURATION = kit2.make_configuration(
    [kit2.make_route("order", "book", "unsafe", TIMEOUT, 300)],
    [{"name": "book", "healthPath": "/health", "maxConnections": 208}],
)
SERVERS = [
    {"id": f"i-book{number}", "service": "book", "work_ms": 300}
    for number in range(3)
]


class Link:
    """Lets clients send no more than the machine's link carries."""

    def __init__(self, record):
        self._record = record
        self._free_at = 0.0

    async def take(self, size):
        """Wait until so many bytes may be sent."""
        now = self._record.now()
        self._free_at = max(self._free_at, now) + size / LINK_BYTES_PER_S
        if self._free_at > now + 0.002:
            await asyncio.sleep(self._free_at - now)


class Platform:
    """Kills a process that exceeds its memory, and starts it again."""

    def __init__(self, site, record):
        self._site = site
        self._record = record
        self.kills = 0
        self.peak = 0

    async def run(self):
        """Watch the node until cancelled."""
        while True:
            used = self._site.measure_memory(NODE)
            self.peak = max(self.peak, used)
            if used > MEMORY_BYTES:
                self._record.say(f"{used / 1e6:.0f} MB: killed")
                self.kills += 1
                self._site.kill_node(NODE)
                await asyncio.sleep(DOWN)
                self._site.start_node(NODE)
                await self._site.wait_ready(NODE)
            await asyncio.sleep(0.01)


class Client:
    """Posts one body after the other on a channel that it keeps."""

    def __init__(self, site, record, link, number):
        self._site = site
        self._record = record
        self._link = link
        self._number = number
        # Id, whether the channel was a kept one, and the end of each request.
        self.requests = []

    async def run(self):
        """Post until cancelled."""
        caller, is_kept = None, False
        while True:
            if caller is None:
                caller, is_kept = kit2.Caller(self._site.fronts[NODE]), False
                try:
                    await caller.connect()
                except OSError:
                    caller = None
                    await asyncio.sleep(0.5)
                    continue
            attempt = f"c{self._number}n{len(self.requests)}"
            self._record.note("sent", attempt=attempt, kept=is_kept)
            try:
                answer = await asyncio.wait_for(
                    self._post(caller, attempt), DEADLINE / 1000
                )
                what = kit2.get_status(answer) if answer else "closed"
            except (OSError, EOFError) as error:
                what = type(error).__name__
            self._record.note("answered", attempt=attempt, status=what)
            self.requests.append((attempt, is_kept, what))
            is_kept = True
            if not isinstance(what, int):
                caller.close()
                caller = None
            await asyncio.sleep(PAUSE)

    async def _post(self, caller, attempt):
        data = kit2.make_request(
            "POST", f"/order/{attempt}", attempt, DEADLINE, BODY
        )
        for at in range(0, len(data), PIECE):
            await self._link.take(min(PIECE, len(data) - at))
            await caller.send(data[at : at + PIECE])
        return await caller.read()


async def case(site, record):
    """Return whether the rule held."""
    site.start_node(NODE)
    await site.wait_ready(NODE)
    await asyncio.sleep(3.0)
    platform, link = Platform(site, record), Link(record)
    clients = [Client(site, record, link, number) for number in range(CLIENTS)]
    watch = asyncio.ensure_future(platform.run())
    tasks = [asyncio.ensure_future(client.run()) for client in clients]
    await asyncio.sleep(DURATION)
    await kit2.end_tasks((*tasks, watch))
    runs = site.read_runs()
    record.note_runs(runs)
    ran = {run["attempt"] for run in runs if run["what"] == "run"}
    found = [one for client in clients for one in client.requests]
    ends = collections.Counter(str(what) for _, _, what in found)
    lost = [
        attempt
        for attempt, is_kept, what in found
        if is_kept and what in ("closed", "ConnectionResetError")
        if attempt in ran
    ]
    record.say(
        f"{len(found)} posts, ends {dict(ends)}; peak "
        f"{platform.peak / 1e6:.0f} MB, killed {platform.kills} times; "
        f"{len(lost)} of kept channels were passed on and got no answer"
    )
    if len(found) < 100:
        raise kit2.RunError("too few requests")
    return len(lost) <= ALLOWED


kit2.run(case, FOLDER, CONFIGURATION, SERVERS)

"""Clients read slowly, a node runs out of descriptors and stops accepting."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402

# Descriptors of the machine, as its settings say.
DESCRIPTORS = 1535
# Seconds of traffic by slow clients, and requests a second.
DURATION = 85.0
RATE = 28.0
# A slow client's window, bytes that it reads at once, and seconds between.
RECEIVE_BYTES = 1024
READ_BYTES = 100
READ_INTERVAL = 1.0
ANSWER_BYTES = 12_000
# A client's time limit, in milliseconds: it leaves then.
DEADLINE = 8003
# Clients that try to open a channel, and seconds between two tries of each.
TRIERS = 8
TRY_INTERVAL = 0.5
# The rule: `stableWindowMs`, and how many clients try.
STABLE_WINDOW = 3.0
# Seconds for which they try while the slow clients read, and afterwards.
WATCHED = 5.0
WATCHED_AFTER = 6.0

CONFIGURATION = kit2.make_configuration(
    [kit2.make_route("stock", "book", "safe", 4000, 150)],
    [{"name": "book", "healthPath": "/health", "maxConnections": 208}],
)
SERVERS = [
    {
        "id": f"i-book{number}",
        "service": "book",
        "work_ms": 45,
        "answer_bytes": ANSWER_BYTES,
    }
    for number in range(3)
]


class SlowClients:
    """Clients that each read one answer."""

    def __init__(self, site, record):
        self._site = site
        self._record = record
        self._tasks = []
        self.opened = 0
        self.refused = 0

    async def run(self):
        """Start them, RATE a second."""
        start = self._record.now()
        while self._record.now() - start < DURATION and self.refused < 5:
            due = (self._record.now() - start) * RATE
            while len(self._tasks) < due:
                task = self._ask(len(self._tasks))
                self._tasks.append(asyncio.ensure_future(task))
            await asyncio.sleep(0.02)

    async def _ask(self, number):
        attempt = f"s{number:06x}"
        window = RECEIVE_BYTES if kit2.TROUBLE else 0
        caller = kit2.Caller(self._site.fronts["front-1"], window)
        what, total = "read", 0
        self._record.note("sent", attempt=attempt)
        try:
            await caller.connect()
            self.opened += 1
            await caller.send(
                kit2.make_request(
                    "GET",
                    f"/stock/{number:x}",
                    attempt,
                    DEADLINE,
                    b"",
                    ("Connection", "close"),
                )
            )
            if not kit2.TROUBLE:
                answer = await asyncio.wait_for(caller.read(), 10.0)
                what = kit2.get_status(answer) if answer else "closed"
                total = len(answer.body) if answer else 0
                return
            loop = asyncio.get_running_loop()
            until = self._record.now() + DEADLINE / 1000
            what = "left"
            while self._record.now() < until:
                data = await asyncio.wait_for(
                    loop.sock_recv(caller.sock, READ_BYTES), DEADLINE / 1000
                )
                if not data:
                    break
                total += len(data)
                await asyncio.sleep(READ_INTERVAL)
        except (TimeoutError, OSError, EOFError) as error:
            what = type(error).__name__
            if isinstance(error, ConnectionRefusedError):
                self.refused += 1
        except asyncio.CancelledError:
            what = "still reading"
        finally:
            caller.close()
            self._record.note(
                "answered", attempt=attempt, status=what, bytes=total
            )

    async def stop(self):
        """End those that still read."""
        await kit2.end_tasks(self._tasks)


class Platform:
    """Asks the node once a second whether it is ready, on one channel."""

    def __init__(self, site, record):
        self._caller = kit2.Caller(site.readies["front-1"])
        self._record = record
        self.answers = []

    async def run(self):
        """Ask until cancelled."""
        await self._caller.connect()
        while True:
            try:
                is_ready = await kit2.ask_ready(self._caller)
            except (TimeoutError, OSError, EOFError):
                is_ready = False
            self.answers.append((self._record.now(), is_ready))
            self._record.note("ready", answer=is_ready)
            await asyncio.sleep(1.0)


async def try_channels(site, record, opened):
    """Try to open a channel and to send a request on it, again and again."""
    while True:
        caller = kit2.Caller(site.fronts["front-1"])
        what = "opened"
        try:
            await caller.connect(1.0)
            opened.append(record.now())
            await caller.send(kit2.make_request("GET", "/stock/t", "t0", 2500))
            answer = await asyncio.wait_for(caller.read(), 2.5)
            what = kit2.get_status(answer) if answer else "closed"
        except (TimeoutError, OSError, EOFError) as error:
            what = type(error).__name__
        finally:
            caller.close()
        record.note("tried", result=what)
        await asyncio.sleep(TRY_INTERVAL)


def find_longest_gap(opened, ready, start, end):
    """Return the longest span without a new channel while it was ready."""
    times = [start, *[at for at in opened if start <= at <= end], end]
    longest = 0.0
    for before, after in zip(times, times[1:], strict=False):
        asked = [one for at, one in ready if before <= at <= after]
        if all(asked):
            longest = max(longest, after - before)
    return longest


async def case(site, record):
    """Return whether the rule held."""
    site.start_node("front-1", descriptors=DESCRIPTORS)
    await site.wait_ready("front-1")
    await asyncio.sleep(3.0)
    platform = Platform(site, record)
    poll = asyncio.ensure_future(platform.run())
    clients = SlowClients(site, record)
    await clients.run()
    start = record.now()
    record.say(
        f"slow clients: {clients.opened} channels, {clients.refused} refused"
    )
    opened = []
    triers = [
        asyncio.ensure_future(try_channels(site, record, opened))
        for _ in range(TRIERS)
    ]
    await asyncio.sleep(WATCHED)
    record.say(f"descriptors in use: {site.count_descriptors('front-1')}")
    await clients.stop()
    await asyncio.sleep(WATCHED_AFTER)
    record.say(f"without slow clients: {site.count_descriptors('front-1')}")
    end = record.now()
    await kit2.end_tasks((*triers, poll))
    ready = [one for one in platform.answers if start <= one[0] <= end]
    gap = find_longest_gap(opened, ready, start, end)
    record.say(
        f"{TRIERS} clients tried for {end - start:.1f} s: {len(opened)} "
        f"channels opened; ready {sum(one for _, one in ready)} of "
        f"{len(ready)} times; longest span without a channel {gap:.1f} s"
    )
    log = site.read_log("front-1")
    for line in log.splitlines():
        if "Too many open files" in line:
            record.say(f"log: {line}")
            break
    return gap <= STABLE_WINDOW


kit2.run(case, FOLDER, CONFIGURATION, SERVERS, {"maxFds": DESCRIPTORS})

"""A server in trouble sends an event without end, and a node stands still."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import kit2  # noqa: E402

# Seconds of traffic, and after which requests are counted.
DURATION = 14.0
COUNTED_FROM = 5.0
# Requests a second: streams, and reads and writes together.
STREAMS_PER_S = 12.0
OTHERS_PER_S = 10.0
# Milliseconds.
STREAM_TIMEOUT = 8000
STREAM_TARGET = 1007
STREAM_GAP = 300
OTHER_TIMEOUT = 1200
OTHER_DEADLINE = 2501
# A client abandons a stream after so many seconds without an event.
PATIENCE = max(2.0, 4 * STREAM_TARGET / 1000, 8 * STREAM_GAP / 1000)
# The rule.
LATE_BY = 0.5

CONFIGURATION = kit2.make_configuration(
    [
        kit2.make_route(
            "digest",
            "desk",
            "streaming",
            STREAM_TIMEOUT,
            STREAM_TARGET,
            targetGapMs=STREAM_GAP,
            resumable=True,
            maxAttempts=2,
        ),
        kit2.make_route("stock", "book", "safe", OTHER_TIMEOUT, 150),
        kit2.make_route("order", "book", "unsafe", OTHER_TIMEOUT, 150),
    ],
    [
        {"name": "desk", "healthPath": "/health", "maxConnections": 854},
        {"name": "book", "healthPath": "/health", "maxConnections": 208},
    ],
)
SERVERS = [
    {"id": f"i-book{number}", "service": "book", "work_ms": 45}
    for number in range(3)
] + [
    {
        "id": "i-desk0",
        "service": "desk",
        "kind": "stream",
        "slots": 100,
        "endless": 64 if kit2.TROUBLE else 0,
    }
]


async def ask_stream(site, record, number):
    """Ask for a stream as a sound client does."""
    attempt = f"d{number:06x}"
    caller = kit2.Caller(site.fronts["front-1"])
    record.note("sent", attempt=attempt, route="digest")
    try:
        await caller.connect()
        data = kit2.make_request(
            "POST", f"/digest/{number:x}", attempt, 8003, b"x"
        )
        await caller.send(data)
        answer = await asyncio.wait_for(caller.read(), PATIENCE)
        what = kit2.get_status(answer) if answer else "closed"
    except TimeoutError:
        what = "abandoned"
    except (OSError, EOFError) as error:
        what = type(error).__name__
    finally:
        caller.close()
    record.note("answered", attempt=attempt, status=what)
    return what


async def ask_other(site, record, number):
    """Send a read or a write; return when it was sent and answered."""
    method, route = ("GET", "stock") if number % 2 else ("POST", "order")
    attempt = f"o{number:06x}"
    caller = kit2.Caller(site.fronts["front-1"])
    sent = record.now()
    record.note("sent", attempt=attempt, route=route)
    try:
        await caller.connect()
        sent = record.now()
        body = b"x" if method == "POST" else b""
        await caller.send(
            kit2.make_request(
                method, f"/{route}/{number:x}", attempt, OTHER_DEADLINE, body
            )
        )
        answer = await asyncio.wait_for(caller.read(), 20.0)
        what = kit2.get_status(answer) if answer else "closed"
    except (TimeoutError, OSError, EOFError) as error:
        what = type(error).__name__
    finally:
        caller.close()
    took = record.now() - sent
    record.note("answered", attempt=attempt, status=what, after=f"{took:.3f}")
    return sent, took, what


async def case(site, record):
    """Return whether the rule held."""
    site.start_node("front-1")
    await site.wait_ready("front-1")
    await asyncio.sleep(3.0)
    start = record.now()
    streams, others = [], []
    while record.now() - start < DURATION:
        elapsed = record.now() - start
        while len(streams) < elapsed * STREAMS_PER_S:
            task = ask_stream(site, record, len(streams))
            streams.append(asyncio.ensure_future(task))
        while len(others) < elapsed * OTHERS_PER_S:
            task = ask_other(site, record, len(others))
            others.append(asyncio.ensure_future(task))
        await asyncio.sleep(0.01)
    found = [await task for task in others]
    ends = [await task for task in streams]
    counted = [one for one in found if one[0] - start >= COUNTED_FROM]
    limit = OTHER_TIMEOUT / 1000
    open_then = [one for one in counted if one[1] > limit]
    open_later = [one for one in open_then if one[1] > limit + LATE_BY]
    record.note_runs(site.read_runs())
    record.say(f"streams: {len(ends)}, whole: {ends.count(200)}")
    record.say(
        f"reads and writes counted: {len(counted)}, answered 200: "
        f"{sum(one[2] == 200 for one in counted)}, unanswered at timeoutMs: "
        f"{len(open_then)}, half a second later: {len(open_later)}"
    )
    if len(counted) < 50:
        raise kit2.RunError("too few requests")
    return 2 * len(open_later) <= len(open_then)


kit2.run(case, FOLDER, CONFIGURATION, SERVERS)

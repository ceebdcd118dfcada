"""What the log costs a request, and how much it writes.

Twice the requests of a busy node are logged as the gateway does, with a
reader and with one that has stopped; the lines of ordinary requests are
one each.
"""

import os
import time

from bench import report
from currantwall.transport import journal

__all__ = ["measure_logs"]

# Requests a second: twice those of the busiest node of a grown day.
_RATE = 24
_SECONDS = 200
_CHUNK = 1 << 20


def _log_requests(log: journal.Journal, clock: list[float]) -> float:
    """Return the seconds of processor time that a request's line takes."""
    started = time.process_time()
    for second in range(_SECONDS):
        clock[0] = float(second)
        for number in range(_RATE):
            log.write(
                "answered",
                request=f"{second:08x}{number:08x}",
                route="aftercare-note",
                upstream="i-7f3a91c2",
                status=200,
                left=False,
                sends=1,
                spent=0.4321,
                version=17,
                list_age=0.273,
            )
        log.flush()
    spent = time.process_time() - started
    return spent / (_RATE * _SECONDS)


@report.register("logs")
def measure_logs() -> None:
    """Measure the log with a reader, without one, and its volume."""
    saved = os.dup(1)
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    os.set_blocking(write_end, False)
    clock = [0.0]
    try:
        os.dup2(write_end, 1)
        unread = _log_requests(journal.Journal("n", lambda: clock[0]), clock)
        with open(os.devnull, "wb") as sink:
            os.dup2(sink.fileno(), 1)
            taken = _log_requests(
                journal.Journal("n", lambda: clock[0]), clock
            )
    finally:
        os.dup2(saved, 1)
        os.close(saved)
    volume = len(os.read(read_end, _CHUNK))
    os.close(read_end)
    os.close(write_end)
    report.emit("logs", "a request's line, read", taken * 1e6, "us")
    report.emit("logs", "a request's line, nobody reads", unread * 1e6, "us")
    report.emit("logs", "bytes in a pipe that nobody reads", volume, "B")

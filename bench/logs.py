"""Processor time and volume of the log lines of requests.

Lines are written as the gateway writes them, one for each ordinary
request, at twice the request rate of a busy node: first to a pipe whose
reader has stopped, then to a sink that is always ready.
"""

import os
import time

from bench import report
from currantwall.transport import journal

__all__ = ["measure_logs"]

# Requests a second: twice those of the busiest node after planned growth.
_REQUESTS_PER_SECOND = 24
_LOGGED_SECONDS = 200
_READ_BYTES = 1 << 20


def _log_requests(log: journal.Journal, clock: list[float]) -> float:
    """Log requests; return the processor seconds per request."""
    started = time.process_time()
    for second in range(_LOGGED_SECONDS):
        clock[0] = float(second)
        for number in range(_REQUESTS_PER_SECOND):
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
    processor_time = time.process_time() - started
    return processor_time / (_REQUESTS_PER_SECOND * _LOGGED_SECONDS)


@report.register("logs")
def measure_logs() -> None:
    """Measure the log with and without a reader, and its volume."""
    saved_stdout = os.dup(1)
    read_end, write_end = os.pipe()
    os.set_blocking(read_end, False)
    os.set_blocking(write_end, False)
    clock = [0.0]
    try:
        os.dup2(write_end, 1)
        unread_seconds = _log_requests(
            journal.Journal("n", lambda: clock[0]), clock
        )
        with open(os.devnull, "wb") as sink:
            os.dup2(sink.fileno(), 1)
            read_seconds = _log_requests(
                journal.Journal("n", lambda: clock[0]), clock
            )
    finally:
        os.dup2(saved_stdout, 1)
        os.close(saved_stdout)
    volume = len(os.read(read_end, _READ_BYTES))
    os.close(read_end)
    os.close(write_end)
    report.emit("logs", "a request's line, read", read_seconds * 1e6, "us")
    report.emit(
        "logs", "a request's line, nobody reads", unread_seconds * 1e6, "us"
    )
    report.emit("logs", "bytes in a pipe that nobody reads", volume, "B")

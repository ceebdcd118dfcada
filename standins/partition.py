"""Runs a program that is partitioned from the addresses in a file.

``python -m standins.partition FILE PROGRAM [ARGUMENT ...]`` runs a Python
program. While the file exists, its first line says how new connections to the
addresses in the other lines fail: ``refuse``, or ``hang`` until their timeout.
"""

import errno
import pathlib
import runpy
import signal
import sys
import time
import typing

__all__ = ["main"]


def _find_fault(path: pathlib.Path, address: str) -> str:
    """Return how a connection to an address fails; empty if it doesn't."""
    try:
        fault, *addresses = path.read_text(encoding="utf-8").splitlines()
    except (FileNotFoundError, ValueError):
        return ""
    return fault if address in addresses else ""


def main() -> None:
    """Run the program of the command line."""
    # As the program does from its first line on.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    import urllib3.util.connection

    path = pathlib.Path(sys.argv[1])
    program = sys.argv[2]
    connect = urllib3.util.connection.create_connection

    def create_connection(
        address: tuple[str, int],
        timeout: float = 1.0,
        *options: typing.Any,
        **named: typing.Any,
    ) -> typing.Any:
        fault = _find_fault(path, f"{address[0]}:{address[1]}")
        if fault == "hang":
            # `time.sleep` is eventlet's in a gateway.
            time.sleep(timeout)
            raise TimeoutError(errno.ETIMEDOUT, "partitioned")
        if fault:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "partitioned")
        return connect(address, timeout, *options, **named)

    urllib3.util.connection.create_connection = create_connection
    sys.argv = sys.argv[2:]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()

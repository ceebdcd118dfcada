"""Runs a program whose wall clock is shifted by some seconds.

python -m soak.skewed SECONDS PROGRAM
"""

import runpy
import sys
import time

__all__ = ["main"]


def main() -> None:
    """Shift `time.time` and run the program in this process."""
    seconds = float(sys.argv[1])
    true_time = time.time
    true_time_ns = time.time_ns
    time.time = lambda: true_time() + seconds
    time.time_ns = lambda: true_time_ns() + int(seconds * 1e9)
    program = sys.argv[2]
    sys.argv = sys.argv[2:]
    runpy.run_path(program, run_name="__main__")


if __name__ == "__main__":
    main()

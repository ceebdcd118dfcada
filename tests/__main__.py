"""``python -m tests [NAME ...]``: run all tests, or those named."""

import sys

from tests import runner

if __name__ == "__main__":
    sys.exit(runner.main())

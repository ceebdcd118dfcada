"""Patches the standard library for eventlet, before anything uses it."""

from collections import abc
import contextlib
import sys
import types
import warnings

__all__ = ["hide_asyncio", "patch"]


def patch(threads: bool = True, processes: bool = True) -> None:
    """Patch sockets, sleeping and, by default, threads and processes.

    eventlet warns on import that it is in maintenance mode. The warning is
    suppressed; docs/STYLE.md gives the reasons for using eventlet.

    Args:
        threads: Whether to patch threads and locks. Not needed in a process
            that has no threads and holds no lock while it waits for the
            network. Skipping it saves time, because eventlet examines every
            object of the process to replace the existing locks.
        processes: Whether to patch waiting for child processes. A process
            that starts none need not load the modules for that.
    """
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    # Without `all`, naming one module would leave out all others.
    eventlet.monkey_patch(
        all=True, thread=threads, subprocess=processes, psycopg=False
    )


@contextlib.contextmanager
def hide_asyncio() -> abc.Iterator[None]:
    """Replace asyncio by an empty package while the context lasts.

    For a process that runs no coroutines: libraries import asyncio for
    functions that are never called here, which slows down each start.
    """
    if "asyncio" in sys.modules:
        yield
        return
    empty = types.ModuleType("asyncio")
    empty.__path__ = []
    sys.modules["asyncio"] = empty
    try:
        yield
    finally:
        del sys.modules["asyncio"]

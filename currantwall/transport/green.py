"""Making the standard library cooperative, before anything uses it."""

from collections import abc
import contextlib
import sys
import types
import warnings

__all__ = ["hide_asyncio", "patch"]


def patch(threads: bool = True, processes: bool = True) -> None:
    """Patch sockets, sleeping and, unless told otherwise, the rest.

    eventlet says on import that it is in maintenance. docs/STYLE.md
    tells why it is used all the same; every start need not repeat it.

    Args:
        threads: Whether locks are taken while a task waits for the
            network. A process without threads that holds none then can
            leave them alone: to exchange those that exist, each object
            of the process is looked at.
        processes: Whether waiting for other processes is cooperative. A
            process that starts none need not load what that takes.
    """
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    # With `all`, or naming one module alone would leave out the others.
    eventlet.monkey_patch(
        all=True, thread=threads, subprocess=processes, psycopg=False
    )


@contextlib.contextmanager
def hide_asyncio() -> abc.Iterator[None]:
    """Have imports of asyncio find an empty package meanwhile.

    For a process that runs no coroutine: libraries load it for functions
    that are never called here, which makes each start longer.
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

"""Making the standard library cooperative, before anything uses it."""

import warnings

__all__ = ["patch"]


def patch(threads: bool = True) -> None:
    """Patch sockets, sleeping and, unless told otherwise, threads.

    eventlet says on import that it is in maintenance. docs/STYLE.md
    tells why it is used all the same; every start need not repeat it.

    Args:
        threads: Whether locks are taken while a task waits for the
            network. A process without threads that holds none then can
            leave them alone: to exchange those that exist, each object
            of the process is looked at.
    """
    warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
    import eventlet

    eventlet.monkey_patch(thread=threads)

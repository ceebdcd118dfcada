"""Faults of hosts, shared by the stateful tests."""

from hypothesis import strategies as st

from currantwall.state import ids
from standins import virtual

__all__ = ["HOST_FAULTS", "change_host"]

HOST_FAULTS = st.sampled_from(("pause", "resume", "restart"))


def change_host(world: virtual.World, name: str, fault: str) -> None:
    """Pause, resume or restart an entry process."""
    host = world.hosts[ids.NodeId(name)]
    if fault == "pause":
        host.pause()
    elif fault == "resume":
        host.resume()
    else:
        host.kill()
        host.restart()

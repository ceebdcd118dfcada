"""Chooses the entry addresses that a caller should use.

There is no load balancer in front of the system. A caller asks any node,
caches the answer for its ttl and connects to the addresses itself. Nodes
of the caller's data centre come first. A node that leaves is omitted at
once, and goes on taking requests for at least the ttl it has handed out.
"""

import msgspec

from currantwall.state import ids
from currantwall.state import members
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Entries", "Entry", "EntryList"]


class Entry(msgspec.Struct, frozen=True):
    """The address of one node."""

    node: ids.NodeId
    address: str
    datacentre: ids.DatacentreName


class EntryList(msgspec.Struct, frozen=True):
    """The answer to a caller.

    Attributes:
        ttl: Seconds for which the answer may be kept.
        key_prefix: Start of idempotency keys whose home is the node
            that answers; the caller appends a unique suffix.
    """

    entries: tuple[Entry, ...]
    ttl: float
    key_prefix: str


class Entries:
    """Chooses addresses, in a different order for each answer."""

    def __init__(
        self,
        nodes: views.MembersView,
        settings: settings_module.RequestsSection,
    ) -> None:
        self._nodes = nodes
        self._settings = settings
        self._answers = 0

    def choose(
        self, datacentre: ids.DatacentreName, key_prefix: str
    ) -> EntryList:
        """Return a few addresses, those of one data centre first.

        Args:
            datacentre: The caller's data centre.
            key_prefix: Passed on to the caller in the answer.
        """
        self._answers += 1
        key = f"entries:{self._nodes.me.id}:{self._answers}"
        usable = {member.id: member for member in self._nodes.usable()}
        local = [m.id for m in usable.values() if m.datacentre == datacentre]
        remote = [name for name in usable if name not in local]
        ranked = rendezvous.rank(key, local) + rendezvous.rank(key, remote)
        chosen = ranked[: self._settings.entries_count]
        return EntryList(
            tuple(_describe(usable[name]) for name in chosen),
            self._settings.entries_ttl,
            key_prefix,
        )


def _describe(member: members.Member) -> Entry:
    return Entry(member.id, member.address, member.datacentre)

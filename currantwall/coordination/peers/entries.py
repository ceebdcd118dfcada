"""Which entry addresses a caller should use.

No balancer stands before the system. A caller asks any node, keeps the
answer for its ttl and connects there itself. Nodes of the caller's data
centre come first; a node that leaves is left out at once and goes on
taking requests for at least the ttl it has handed out.
"""

import msgspec

from currantwall.state import ids
from currantwall.state import members
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Entries", "Entry", "EntryList"]


class Entry(msgspec.Struct, frozen=True):
    """One address to use."""

    node: ids.NodeId
    address: str
    datacentre: ids.DatacentreName


class EntryList(msgspec.Struct, frozen=True):
    """The answer to a caller.

    Attributes:
        ttl: Seconds for which the answer may be kept.
        key_prefix: Start of idempotency keys whose home is the node
            that answers; complete it with something unique.
    """

    entries: tuple[Entry, ...]
    ttl: float
    key_prefix: str


class Entries:
    """Chooses addresses; spreads callers by turns."""

    def __init__(
        self,
        nodes: views.MembersView,
        settings: settings_module.RequestsSection,
    ) -> None:
        self._nodes = nodes
        self._settings = settings
        self._turn = 0

    def choose(
        self, datacentre: ids.DatacentreName, key_prefix: str
    ) -> EntryList:
        """Return a few addresses, those of a data centre first."""
        self._turn += 1
        salt = f"entries:{self._nodes.me.id}:{self._turn}"
        usable = {member.id: member for member in self._nodes.usable()}
        near = [m.id for m in usable.values() if m.datacentre == datacentre]
        far = [name for name in usable if name not in near]
        ranked = rendezvous.rank(salt, near) + rendezvous.rank(salt, far)
        chosen = ranked[: self._settings.entries_count]
        return EntryList(
            tuple(_describe(usable[name]) for name in chosen),
            self._settings.entries_ttl,
            key_prefix,
        )


def _describe(member: members.Member) -> Entry:
    return Entry(member.id, member.address, member.datacentre)

"""Entry nodes, as seen by other entry nodes."""

import enum

import msgspec

from currantwall.state import ids

__all__ = ["Member", "MemberState"]


class MemberState(enum.Enum):
    """State of an entry node, in ascending order of precedence."""

    LIVE = "live"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"

    @property
    def weight(self) -> int:
        """Return the precedence at equal incarnation and serial."""
        return list(MemberState).index(self)


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One entry node.

    Attributes:
        incarnation: Start of the process; 0 while the node is known only
            from the platform's list.
        serial: Incremented by the node itself to refute a state that
            others spread about it.
    """

    id: ids.NodeId
    datacentre: ids.DatacentreName
    address: str
    peer_address: str
    incarnation: ids.Incarnation = ids.Incarnation(0)
    serial: int = 0
    state: MemberState = MemberState.LIVE

    @property
    def is_usable(self) -> bool:
        """Return whether work may be assigned to the node."""
        return self.state is MemberState.LIVE and self.incarnation > 0

    @property
    def is_present(self) -> bool:
        """Return whether the node still accepts messages."""
        return self.state is not MemberState.DEAD

    def supersedes(self, other: "Member") -> bool:
        """Return whether this is newer than other, of the same node."""
        return self._precedence > other._precedence

    @property
    def _precedence(self) -> tuple[int, int, int]:
        return (self.incarnation, self.serial, self.state.weight)

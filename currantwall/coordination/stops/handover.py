"""Hands the keys of a stopping home over to a successor.

Without a handover, a planned stop would turn every answer in the home's
memory into "unknown". So once the home takes no more requests, it sends the
states of its keys to another node in several messages, each acknowledged.
The successor then announces to all nodes that it answers for the home. A
node that misses the announcement answers "unknown", which is always safe.
"""

from collections import abc
import typing

from currantwall.coordination import actions
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import keys
from currantwall.state import views

__all__ = ["Handover"]

# Number of key states, or bytes of their bodies, that fill a message.
_PART_STATES = 64
_PART_BYTES = 262_144
_RESEND_SECONDS = 0.3
# A successor's announcement is repeated, as it may be lost.
_ANNOUNCEMENT_COUNT = 8
_ANNOUNCE_SECONDS = 1.0
# Homes whose keys are stored here, and homes whose successors are stored.
_HOMES_LIMIT = 64


class Handover:
    """Both sides of a handover, for one process."""

    def __init__(self, nodes: views.MembersView) -> None:
        self._nodes = nodes
        self._successor: ids.NodeId | None = None
        self._unacknowledged: dict[int, wire.HandOver] = {}
        self._has_begun = False
        self._resend_at: float | None = None
        self._parts: dict[keys.Home, dict[int, wire.HandOver]] = {}
        self._adopted: dict[keys.Home, dict[str, wire.KeyState]] = {}
        self._successors: dict[keys.Home, keys.Home] = {}
        # Announcements to the other nodes, and how often each is still due.
        self._announcements: dict[wire.Successor, int] = {}
        self._announce_at = 0.0

    # -- The home that stops

    @property
    def is_done(self) -> bool:
        """Return whether all is handed over or there is no successor."""
        return self._has_begun and not self._unacknowledged

    def begin(
        self, states: abc.Sequence[wire.KeyState], now: float
    ) -> list[part.Action]:
        """Choose a successor and send it all key states."""
        self._has_begun = True
        me = self._nodes.me
        local_ranked = self._nodes.rank(f"successor:{me.id}", me.datacentre)
        ranked = local_ranked or self._nodes.rank(f"successor:{me.id}")
        others = [node for node in ranked if node != me.id]
        if not others:
            return []
        self._successor = others[0]
        home = keys.Home(me.id, me.incarnation)
        parts = _split(states)
        self._unacknowledged = {
            number: wire.HandOver(home, number, len(parts), part_states)
            for number, part_states in enumerate(parts)
        }
        return self._send_all(now)

    def _send_all(self, now: float) -> list[part.Action]:
        """Send every message that is not acknowledged yet."""
        self._resend_at = now + _RESEND_SECONDS
        assert self._successor is not None
        return [
            actions.Send(self._successor, body)
            for body in self._unacknowledged.values()
        ]

    def due(self) -> float | None:
        """Return when `resend` has something to send, None if nothing."""
        if self._unacknowledged:
            return self._resend_at
        return self._announce_at if self._announcements else None

    def resend(self, now: float) -> list[part.Action]:
        """Repeat unacknowledged messages and announcements that are due."""
        due = self.due()
        if due is None or now < due:
            return []
        if self._unacknowledged:
            return self._send_all(now)
        self._announce_at = now + _ANNOUNCE_SECONDS
        result: list[part.Action] = []
        for announcement, repeats in list(self._announcements.items()):
            result.append(actions.Publish(announcement, urgent=True))
            self._announcements[announcement] = repeats - 1
            if repeats <= 1:
                del self._announcements[announcement]
        return result

    def note_taken(self, number: int) -> None:
        """Note that the successor has acknowledged a message."""
        self._unacknowledged.pop(number, None)

    # -- The successor

    def take(
        self, sender: ids.NodeId, body: wire.HandOver
    ) -> list[part.Action]:
        """Store received key states; announce the handover when complete."""
        result: list[part.Action] = [
            actions.Send(sender, wire.HandOverTaken(body.number))
        ]
        if body.home in self._adopted:
            return result
        parts = self._parts.setdefault(body.home, {})
        parts[body.number] = body
        if len(parts) < body.total:
            return result
        del self._parts[body.home]
        self._adopted[body.home] = {
            state.name: state
            for received in parts.values()
            for state in received.states
        }
        _trim(self._adopted)
        me = self._nodes.me
        announcement = wire.Successor(body.home, me.id, me.incarnation)
        self._announcements[announcement] = _ANNOUNCEMENT_COUNT
        return result

    def find(self, home: keys.Home) -> dict[str, wire.KeyState] | None:
        """Return the keys of a home that was handed over to this node."""
        return self._adopted.get(home)

    # -- All nodes

    def note_successor(self, announcement: wire.Successor) -> None:
        """Note which node answers for a home."""
        self._successors[announcement.home] = keys.Home(
            announcement.node, announcement.incarnation
        )
        _trim(self._successors)

    def follow(self, home: keys.Home) -> keys.Home:
        """Return the home that answers for a home: its successor or itself."""
        return self._successors.get(home, home)


def _split(
    states: abc.Sequence[wire.KeyState],
) -> list[tuple[wire.KeyState, ...]]:
    """Split the states into messages of bounded count and size."""
    parts: list[tuple[wire.KeyState, ...]] = []
    current: list[wire.KeyState] = []
    size = 0
    for state in states:
        if len(current) >= _PART_STATES or size >= _PART_BYTES:
            parts.append(tuple(current))
            current, size = [], 0
        current.append(state)
        size += len(state.body)
    parts.append(tuple(current))
    return parts


def _trim(by_home: dict[keys.Home, typing.Any]) -> None:
    """Remove the oldest homes beyond the limit."""
    while len(by_home) > _HOMES_LIMIT:
        del by_home[next(iter(by_home))]

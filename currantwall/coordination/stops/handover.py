"""Handing the keys of a stopping home to a successor.

A planned stop would turn every answer in the home's memory into
"unknown". So the home, once it takes no more requests, sends what it
knows of its keys to another node in parts, each acknowledged, and the
successor tells all nodes that it answers for that home. Whoever misses
that word says "unknown", which is always safe.
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

_PART_STATES = 64
_PART_BYTES = 262_144
_RESEND_SECONDS = 0.3
# The word of a successor is repeated: it may be lost, too.
_REPEATS = 8
_REPEAT_SECONDS = 1.0
# Homes whose keys are kept here, and whose successors are known.
_HOMES_LIMIT = 64


class Handover:
    """Both sides of handing over, for one process."""

    def __init__(self, nodes: views.MembersView) -> None:
        self._nodes = nodes
        self._to: ids.NodeId | None = None
        self._left: dict[int, wire.HandOver] = {}
        self._begun = False
        self._resend_at: float | None = None
        self._parts: dict[keys.Home, dict[int, wire.HandOver]] = {}
        self._adopted: dict[keys.Home, dict[str, wire.KeyState]] = {}
        self._successors: dict[keys.Home, keys.Home] = {}
        # Words to the other nodes and how often to repeat each.
        self._words: dict[wire.Successor, int] = {}
        self._repeat_at = 0.0

    # -- The home that stops

    @property
    def is_done(self) -> bool:
        """Return whether everything is handed over, or nobody is there."""
        return self._begun and not self._left

    def begin(
        self, states: abc.Sequence[wire.KeyState], now: float
    ) -> list[part.Action]:
        """Send everything to a successor."""
        self._begun = True
        me = self._nodes.me
        local = self._nodes.rank(f"successor:{me.id}", me.datacentre)
        ranked = local or self._nodes.rank(f"successor:{me.id}")
        others = [node for node in ranked if node != me.id]
        if not others:
            return []
        self._to = others[0]
        home = keys.Home(me.id, me.incarnation)
        parts = _split(states)
        self._left = {
            number: wire.HandOver(home, number, len(parts), part_)
            for number, part_ in enumerate(parts)
        }
        return self._send_all(now)

    def _send_all(self, now: float) -> list[part.Action]:
        self._resend_at = now + _RESEND_SECONDS
        assert self._to is not None
        return [actions.Send(self._to, body) for body in self._left.values()]

    def due(self) -> float | None:
        """Return when something is to be sent again."""
        if self._left:
            return self._resend_at
        return self._repeat_at if self._words else None

    def resend(self, now: float) -> list[part.Action]:
        """Send again what was not acknowledged, or may not be known."""
        due = self.due()
        if due is None or now < due:
            return []
        if self._left:
            return self._send_all(now)
        self._repeat_at = now + _REPEAT_SECONDS
        found: list[part.Action] = []
        for word, left in list(self._words.items()):
            found.append(actions.Publish(word, urgent=True))
            self._words[word] = left - 1
            if left <= 1:
                del self._words[word]
        return found

    def note_taken(self, number: int) -> None:
        """Note that the successor has a part."""
        self._left.pop(number, None)

    # -- The successor

    def take(
        self, sender: ids.NodeId, body: wire.HandOver
    ) -> list[part.Action]:
        """Store a part; tell all nodes once everything is there."""
        found: list[part.Action] = [
            actions.Send(sender, wire.HandOverTaken(body.number))
        ]
        if body.home in self._adopted:
            return found
        parts = self._parts.setdefault(body.home, {})
        parts[body.number] = body
        if len(parts) < body.total:
            return found
        del self._parts[body.home]
        self._adopted[body.home] = {
            state.name: state
            for each in parts.values()
            for state in each.states
        }
        _trim(self._adopted)
        me = self._nodes.me
        word = wire.Successor(body.home, me.id, me.incarnation)
        self._words[word] = _REPEATS
        return found

    def find(self, home: keys.Home) -> dict[str, wire.KeyState] | None:
        """Return the keys of a home that this node answers for."""
        return self._adopted.get(home)

    # -- All nodes

    def note_successor(self, word: wire.Successor) -> None:
        """Note who answers for a home."""
        self._successors[word.home] = keys.Home(word.node, word.incarnation)
        _trim(self._successors)

    def follow(self, home: keys.Home) -> keys.Home:
        """Return who answers for a home: itself, or its successor."""
        return self._successors.get(home, home)


def _split(
    states: abc.Sequence[wire.KeyState],
) -> list[tuple[wire.KeyState, ...]]:
    """Return the states in parts of bounded count and size."""
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


def _trim(held: dict[keys.Home, typing.Any]) -> None:
    while len(held) > _HOMES_LIMIT:
        del held[next(iter(held))]

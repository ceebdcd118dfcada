"""Spreading payloads to all entry nodes by way of relays.

A node sends its items to the relays of its data centre, in batches or at
once when urgent. A relay passes them down to its data centre and across
to one relay of each other one, which passes them down there. With n
nodes in d data centres a node that is no relay sends and receives a few
messages an interval whatever n is; a relay sends n/d + d.

Doubles are dropped by origin, incarnation and serial. An item's age
grows by the time it lies in each carrier and by link delays.
"""

import collections

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.peers import membership
from currantwall.state import ids
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Broadcast"]

# Serials remembered for each origin to drop doubles.
_SEEN_LIMIT = 1024
# Items of one message at most, so that one step stays short.
_ITEMS_LIMIT = 512
# Items held back at most; the oldest go first.
_HELD_LIMIT = 4096


class _Held:
    """Items waiting for the next batch, with the time they came."""

    def __init__(self) -> None:
        self.items: collections.deque[tuple[wire.Item, float]] = (
            collections.deque(maxlen=_HELD_LIMIT)
        )

    def take(self, now: float) -> list[wire.Item]:
        """Return the items, older by the time they waited."""
        found = [_grow_older(item, now - at) for item, at in self.items]
        self.items.clear()
        return found


class _Seen:
    """Serials of one origin that were delivered already."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self._serials: dict[int, None] = {}

    def add(self, serial: int) -> bool:
        """Return whether the serial is new."""
        if serial in self._serials:
            return False
        self._serials[serial] = None
        if len(self._serials) > _SEEN_LIMIT:
            del self._serials[next(iter(self._serials))]
        return True


class Broadcast(part.Part):
    """Carries published payloads."""

    def __init__(
        self,
        view: views.MembersView,
        members: membership.Membership,
        settings: settings_module.PeersSection,
    ) -> None:
        self._view = view
        self._members = members
        self._interval = settings.flush_interval
        self._serial = 0
        self._seen: dict[ids.NodeId, _Seen] = {}
        self._held = {scope: _Held() for scope in wire.Scope}
        self._next_flush = 0.0

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        if any(held.items for held in self._held.values()):
            return self._next_flush
        return None

    def publish(
        self, action: actions.Publish, now: float
    ) -> list[part.Action]:
        """Send a payload of this node on its way."""
        me = self._view.me
        self._serial += 1
        item = wire.Item(
            origin=me.id,
            incarnation=me.incarnation,
            serial=self._serial,
            payload=action.payload,
        )
        for scope in self._choose_scopes(action.local):
            self._hold(scope, item, now)
        if action.urgent:
            return self._flush(now)
        return []

    def _choose_scopes(self, local: bool) -> tuple[wire.Scope, ...]:
        if local:
            return (wire.Scope.DOWN,)
        if self._members.is_relay():
            return (wire.Scope.DOWN, wire.Scope.ACROSS)
        return (wire.Scope.UP,)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if now < self._next_flush:
            return []
        return self._flush(now)

    @part.handles(wire.Bundle)
    def _on_bundle(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        scope = message.body.scope
        found: list[part.Action] = []
        urgent = False
        for item in message.body.items:
            if not self._is_new(item):
                continue
            aged = _grow_older(item, message.delay)
            found.append(self._deliver(aged))
            urgent = urgent or _is_urgent(aged.payload)
            if scope is wire.Scope.UP:
                self._hold(wire.Scope.ACROSS, aged, now)
            if scope is not wire.Scope.DOWN:
                self._hold(wire.Scope.DOWN, aged, now)
        if urgent:
            found += self._flush(now)
        return found

    def _is_new(self, item: wire.Item) -> bool:
        if item.origin == self._view.me.id:
            return False
        seen = self._seen.get(item.origin)
        if seen is None or seen.incarnation < item.incarnation:
            seen = _Seen(item.incarnation)
            self._seen[item.origin] = seen
        if seen.incarnation > item.incarnation:
            return False
        return seen.add(item.serial)

    @staticmethod
    def _deliver(item: wire.Item) -> actions.Tell:
        told = messages.Delivered(item.origin, item.payload, item.age)
        return actions.Tell(told)

    def _hold(self, scope: wire.Scope, item: wire.Item, now: float) -> None:
        self._held[scope].items.append((item, now))

    def _flush(self, now: float) -> list[part.Action]:
        self._next_flush = now + self._interval
        found: list[part.Action] = []
        for scope in wire.Scope:
            items = self._held[scope].take(now)
            for node in self._list_receivers(scope) if items else ():
                found += _split(node, scope, items)
        return found

    def _list_receivers(self, scope: wire.Scope) -> list[ids.NodeId]:
        me = self._view.me
        if scope is wire.Scope.UP:
            relays = self._members.list_relays(me.datacentre)
            return [node for node in relays if node != me.id]
        if scope is wire.Scope.DOWN:
            present = self._view.present(me.datacentre)
            return [m.id for m in present if m.id != me.id]
        return self._choose_across()

    def _choose_across(self) -> list[ids.NodeId]:
        """Return one relay of each other data centre.

        The relays of one data centre prefer different ones there, so
        that one dead relay does not lose what both of them carry.
        """
        me = self._view.me
        mine = self._members.list_relays(me.datacentre)
        place = mine.index(me.id) if me.id in mine else 0
        found = []
        for datacentre in self._view.datacentres():
            if datacentre == me.datacentre:
                continue
            relays = self._members.list_relays(datacentre)
            if relays:
                found.append(relays[place % len(relays)])
        return found


def _grow_older(item: wire.Item, seconds: float) -> wire.Item:
    if seconds <= 0:
        return item
    return wire.Item(
        origin=item.origin,
        incarnation=item.incarnation,
        serial=item.serial,
        payload=item.payload,
        age=item.age + seconds,
    )


def _is_urgent(payload: wire.Payload) -> bool:
    """Return whether relays pass a payload on at once."""
    if isinstance(payload, wire.Evidence):
        return payload.verdict is not wire.Verdict.WHOLE
    return not isinstance(payload, wire.Demand)


def _split(
    node: ids.NodeId, scope: wire.Scope, items: list[wire.Item]
) -> list[part.Action]:
    return [
        actions.Send(
            node,
            wire.Bundle(scope, tuple(items[start : start + _ITEMS_LIMIT])),
        )
        for start in range(0, len(items), _ITEMS_LIMIT)
    ]

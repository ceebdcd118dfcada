"""Disseminates payloads to all entry nodes through relays.

A node sends its items to the relays of its data centre, in batches or, if
urgent, at once. A relay forwards them to the nodes of its data centre and
to one relay of each other data centre, which forwards them to the nodes
there. With n nodes in d data centres, a node that is not a relay sends and
receives a few messages per interval regardless of n; a relay sends n/d + d.

Duplicates are dropped by origin, incarnation and serial. An item's age
grows by the time it is queued at each node on its way and by link delays.
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

# Serials remembered for each origin in order to drop duplicates.
_SEEN_SERIALS_LIMIT = 1024
# Items in one bundle, so that handling a message stays short.
_BUNDLE_ITEMS_LIMIT = 512
# Items queued for each scope; the oldest are dropped beyond that.
_QUEUE_LIMIT = 4096


class _Queue:
    """Items that wait for the next batch, with the time of their arrival."""

    def __init__(self) -> None:
        self.items: collections.deque[tuple[wire.Item, float]] = (
            collections.deque(maxlen=_QUEUE_LIMIT)
        )

    def drain(self, now: float) -> list[wire.Item]:
        """Remove and return the items, older by the time they waited."""
        drained = [_add_age(item, now - at) for item, at in self.items]
        self.items.clear()
        return drained


class _SeenSerials:
    """Serials of one process of an origin that were already delivered."""

    def __init__(self, incarnation: ids.Incarnation) -> None:
        self.incarnation = incarnation
        self._serials: dict[int, None] = {}

    def add(self, serial: int) -> bool:
        """Remember a serial; return whether it is new."""
        if serial in self._serials:
            return False
        self._serials[serial] = None
        if len(self._serials) > _SEEN_SERIALS_LIMIT:
            del self._serials[next(iter(self._serials))]
        return True


class Broadcast(part.Part):
    """Sends and forwards published payloads."""

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
        self._seen: dict[ids.NodeId, _SeenSerials] = {}
        self._queues = {scope: _Queue() for scope in wire.Scope}
        self._next_flush = 0.0

    def due(self) -> float | None:
        """Return the monotonic time of the next tick that is wanted."""
        if any(queue.items for queue in self._queues.values()):
            return self._next_flush
        return None

    def publish(
        self, action: actions.Publish, now: float
    ) -> list[part.Action]:
        """Queue a payload of this node, or send it at once if urgent."""
        me = self._view.me
        self._serial += 1
        item = wire.Item(
            origin=me.id,
            incarnation=me.incarnation,
            serial=self._serial,
            payload=action.payload,
        )
        for scope in self._choose_scopes(action.local):
            self._enqueue(scope, item, now)
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
        result: list[part.Action] = []
        urgent = False
        for item in message.body.items:
            if not self._is_new(item):
                continue
            aged = _add_age(item, message.delay)
            result.append(self._deliver(aged))
            urgent = urgent or _is_urgent(aged.payload)
            if scope is wire.Scope.UP:
                self._enqueue(wire.Scope.ACROSS, aged, now)
            if scope is not wire.Scope.DOWN:
                self._enqueue(wire.Scope.DOWN, aged, now)
        if urgent:
            result += self._flush(now)
        return result

    def _is_new(self, item: wire.Item) -> bool:
        """Return whether an item is new here; remember its serial."""
        if item.origin == self._view.me.id:
            return False
        seen = self._seen.get(item.origin)
        if seen is None or seen.incarnation < item.incarnation:
            seen = _SeenSerials(item.incarnation)
            self._seen[item.origin] = seen
        if seen.incarnation > item.incarnation:
            return False
        return seen.add(item.serial)

    @staticmethod
    def _deliver(item: wire.Item) -> actions.Tell:
        delivered = messages.Delivered(item.origin, item.payload, item.age)
        return actions.Tell(delivered)

    def _enqueue(self, scope: wire.Scope, item: wire.Item, now: float) -> None:
        self._queues[scope].items.append((item, now))

    def _flush(self, now: float) -> list[part.Action]:
        self._next_flush = now + self._interval
        result: list[part.Action] = []
        for scope in wire.Scope:
            items = self._queues[scope].drain(now)
            for node in self._list_receivers(scope) if items else ():
                result += _make_bundles(node, scope, items)
        return result

    def _list_receivers(self, scope: wire.Scope) -> list[ids.NodeId]:
        me = self._view.me
        if scope is wire.Scope.UP:
            relays = self._members.list_relays(me.datacentre)
            return [node for node in relays if node != me.id]
        if scope is wire.Scope.DOWN:
            present = self._view.present(me.datacentre)
            return [m.id for m in present if m.id != me.id]
        return self._choose_remote_relays()

    def _choose_remote_relays(self) -> list[ids.NodeId]:
        """Return one relay of each other data centre.

        The relays of this data centre prefer different relays there, so
        that one dead relay does not lose what each of them forwards.
        """
        me = self._view.me
        own_relays = self._members.list_relays(me.datacentre)
        index = own_relays.index(me.id) if me.id in own_relays else 0
        result = []
        for datacentre in self._view.datacentres():
            if datacentre == me.datacentre:
                continue
            relays = self._members.list_relays(datacentre)
            if relays:
                result.append(relays[index % len(relays)])
        return result


def _add_age(item: wire.Item, seconds: float) -> wire.Item:
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
    """Return whether relays forward a payload at once."""
    if isinstance(payload, wire.Evidence):
        return payload.verdict is not wire.Verdict.WHOLE
    return not isinstance(payload, wire.Demand)


def _make_bundles(
    node: ids.NodeId, scope: wire.Scope, items: list[wire.Item]
) -> list[part.Action]:
    """Return the sends of items to a node, in bundles of limited size."""
    return [
        actions.Send(
            node,
            wire.Bundle(
                scope, tuple(items[start : start + _BUNDLE_ITEMS_LIMIT])
            ),
        )
        for start in range(0, len(items), _BUNDLE_ITEMS_LIMIT)
    ]

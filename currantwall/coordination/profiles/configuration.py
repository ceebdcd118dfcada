"""Which version of each stored object is in force here.

The highest version wins and nothing ever goes down: not after a stale
read, an event that comes late, a peer with old state, or a deletion. The
relays of each data centre watch the platform and pass changes down; who
writes an object spreads it at once; digests find what was missed and
summaries repair it.

A starting node is not ready before it has read the platform and compared
itself with a peer, or with a peer alone while the platform is down.
"""

from collections import abc

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.peers import membership
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["Configuration", "Refresh", "Written"]

# Objects of one message at most.
_PUSH_LIMIT = 64
# Seconds a node with a good platform read waits for a peer to compare.
_PEER_WAIT = 3.0
# Kinds whose changes operators wait for and want to see.
_EDITED = (objects.Kind.PROFILES.value, objects.Kind.STOPS.value)


class Written(part.Message, frozen=True):
    """This process has stored an object, or read one anew."""

    stored: objects.Stored


class Refresh(part.Message, frozen=True):
    """This process needs a fresh look at an object."""

    key: objects.ObjectKey


class _Feed:
    """One kind of repeated call to the platform."""

    def __init__(self, backoff: calls.Backoff) -> None:
        self.backoff = backoff
        self.call: ids.CallId | None = None
        self.next_try = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether to call now."""
        return self.call is None and now >= self.next_try

    def end(self, ok: bool, now: float, wait: float) -> None:
        """Take note of the end of a call; `wait` follows a good one."""
        self.call = None
        if ok:
            self.backoff.succeed()
            self.next_try = now + wait
        else:
            self.next_try = now + self.backoff.fail()


class Configuration(part.Part):
    """Keeps the objects view."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        members: membership.Membership,
        settings: settings_module.PlatformSection,
        numbers: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._members = members
        self._settings = settings
        self._numbers = numbers
        seed = rendezvous.score("backoff", nodes.me.id)
        limits = (settings.backoff, settings.backoff_limit)
        self._watch = _Feed(calls.Backoff(*limits, seed))
        self._list = _Feed(calls.Backoff(*limits, seed + 1))
        self._refreshing: dict[ids.CallId, objects.ObjectKey] = {}
        self._list_revision = ids.Version(0)
        self._revision: ids.Version | None = None
        self._started: float | None = None
        self._platform_read = False
        self._instances_read = False
        self._peer_compared = False
        self._platform_up = True
        self.is_ready = False

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        if not self._wants_platform():
            return None
        feeds = (self._watch, self._list)
        times = [feed.next_try for feed in feeds if feed.call is None]
        if not self.is_ready and self._started is not None:
            times.append(self._started + _PEER_WAIT)
        return min(times, default=None)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._started is None:
            self._started = now
        found: list[part.Action] = []
        if self._wants_platform():
            found += self._call_platform(now)
        found += self._check_ready(now)
        return found

    def _wants_platform(self) -> bool:
        return not self.is_ready or self._members.is_relay()

    def _call_platform(self, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        if self._watch.is_due(now):
            call = self._numbers.next()
            self._watch.call = call
            if self._revision is None:
                found.append(actions.ListObjects(call))
            else:
                found.append(actions.WatchObjects(call, self._revision))
        if self._list.is_due(now):
            self._list.call = self._numbers.next()
            known = self._list_revision
            found.append(actions.ListInstances(self._list.call, known))
        return found

    def _check_ready(self, now: float) -> list[part.Action]:
        if self.is_ready:
            return []
        alone = len(self._nodes.usable()) <= 1
        waited = now >= (self._started or now) + _PEER_WAIT
        read = self._platform_read and self._instances_read
        if self._peer_compared or (read and (alone or waited)):
            self.is_ready = True
            kind = timeline.EventKind.NODE_READY
            return [actions.Record(kind, self._nodes.me.id)]
        return []

    # -- From the platform

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        if answer.call in self._refreshing:
            return self._on_refreshed(answer)
        if answer.call != self._watch.call:
            return []
        self._watch.end(answer.is_ok, now, 0.0)
        if answer.status is messages.PlatformStatus.EXPIRED:
            # The platform no longer has the events: read everything.
            self._revision = None
            self._watch.next_try = now
            return []
        found = self._note_platform(answer.is_ok)
        if not answer.is_ok:
            return found
        self._revision = max(
            self._revision or answer.revision, answer.revision
        )
        stored = list(answer.stored)
        if answer.complete:
            self._platform_read = True
            kinds = {kind.value for kind in objects.WATCHED}
            stored += self._find_gone(kinds, stored, answer.revision)
        return found + self._apply_and_spread(stored) + self._check_ready(now)

    @part.handles(messages.InstancesListed)
    def _on_instances(
        self, answer: messages.InstancesListed, now: float
    ) -> list[part.Action]:
        if answer.call != self._list.call:
            return []
        ok = answer.status is messages.PlatformStatus.OK
        self._list.end(ok, now, self._settings.list_interval)
        if not ok:
            return []
        self._instances_read = True
        if answer.unchanged:
            return self._check_ready(now)
        self._list_revision = answer.revision
        kind = objects.Kind.INSTANCES.value
        stored = [
            objects.Stored(
                objects.ObjectKey(kind, listed.id),
                version,
                objects.encode(listed),
            )
            for listed, version in answer.listed
        ]
        stored += self._find_gone({kind}, stored, answer.revision)
        return self._apply_and_spread(stored) + self._check_ready(now)

    def _find_gone(
        self,
        kinds: abc.Set[str],
        listed: list[objects.Stored],
        revision: ids.Version,
    ) -> list[objects.Stored]:
        """Return deletions for what a complete list lacks.

        An object newer than the list is kept: the list is a stale read.
        """
        there = {stored.key for stored in listed}
        return [
            objects.Stored(held.key, revision)
            for held in self._view.all()
            if held.key.kind in kinds
            and held.value
            and held.key not in there
            and held.version <= revision
        ]

    def _note_platform(self, up: bool) -> list[part.Action]:
        if up == self._platform_up:
            return []
        self._platform_up = up
        kinds = timeline.EventKind
        kind = kinds.PLATFORM_UP if up else kinds.PLATFORM_DOWN
        return [actions.Record(kind)]

    @part.handles(Refresh)
    def _on_refresh(self, message: Refresh, now: float) -> list[part.Action]:
        if message.key in self._refreshing.values():
            return []
        call = self._numbers.next()
        self._refreshing[call] = message.key
        return [actions.ReadObject(call, message.key)]

    def _on_refreshed(
        self, answer: messages.PlatformAnswer
    ) -> list[part.Action]:
        del self._refreshing[answer.call]
        if not answer.is_ok:
            return []
        _, found = self._apply(answer.stored)
        return found

    # -- From this process and from peers

    @part.handles(Written)
    def _on_written(self, message: Written, now: float) -> list[part.Action]:
        stored = message.stored
        changed, found = self._apply([stored])
        # An edit is spread even when the watch was faster: the nodes
        # acknowledge to whoever spreads it.
        if changed or stored.key.kind in _EDITED:
            payload = wire.ObjectsChanged((stored,))
            found.append(actions.Publish(payload, urgent=True))
        return found

    @part.handles(wire.ObjectsChanged)
    def _on_spread(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        _, found = self._apply(message.payload.stored)
        return found + self._confirm(message.origin, message.payload.stored)

    @part.handles(wire.Push)
    def _on_push(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        _, found = self._apply(message.body.stored)
        if message.body.confirm:
            found += self._confirm(message.sender, message.body.stored)
        return found

    @part.handles(wire.Exchange)
    def _on_exchange(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        mine = self._view.digests()
        theirs = message.body.objects
        different = tuple(
            bucket
            for bucket, digest in enumerate(theirs)
            if digest != mine[bucket]
        )
        if not different:
            self._peer_compared = True
            return self._check_ready(now)
        return [actions.Send(message.sender, self._summarise(different))]

    def _summarise(self, buckets: tuple[int, ...]) -> wire.Summary:
        known = tuple(
            wire.Known(
                stored.key, stored.version, self._view.material(stored.key)
            )
            for stored in self._view.all()
            if views.find_bucket(stored.key) in buckets
        )
        return wire.Summary(buckets, known)

    @part.handles(wire.Summary)
    def _on_summary(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        """Ask for what the sender has newer, send what it has older."""
        body = message.body
        theirs = {known.key: known for known in body.known}
        wanted = tuple(
            known.key
            for known in body.known
            if known.version > self._view.version(known.key)
            and known.material != self._view.material(known.key)
        )
        newer = [
            stored
            for stored in self._view.all()
            if views.find_bucket(stored.key) in body.buckets
            and self._is_newer(stored, theirs.get(stored.key))
        ]
        found: list[part.Action] = []
        if wanted:
            found.append(actions.Send(message.sender, wire.Pull(wanted)))
        return found + _push(message.sender, newer)

    def _is_newer(
        self, stored: objects.Stored, theirs: wire.Known | None
    ) -> bool:
        if theirs is None:
            return True
        if stored.version <= theirs.version:
            return False
        return self._view.material(stored.key) != theirs.material

    @part.handles(wire.Pull)
    def _on_pull(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        held = [self._view.get(key) for key in message.body.keys]
        return _push(message.sender, [item for item in held if item])

    # -- Putting versions in force

    def _apply(
        self, stored: abc.Iterable[objects.Stored]
    ) -> tuple[list[objects.Stored], list[part.Action]]:
        """Return what changed for other nodes too, and the actions."""
        changed: list[objects.Stored] = []
        found: list[part.Action] = []
        for item in stored:
            before = self._view.material(item.key)
            if not self._view.apply(item):
                continue
            if self._view.material(item.key) != before:
                changed.append(item)
            found += self._announce(item)
        return changed, found

    def _announce(self, stored: objects.Stored) -> list[part.Action]:
        kind = stored.key.kind
        value = objects.decode(stored)
        found: list[part.Action] = [
            actions.Tell(messages.ObjectChanged(stored, value)),
            actions.Count(actions.Counter.CONFIG_APPLIED, kind),
        ]
        if kind in _EDITED:
            event = timeline.EventKind.CONFIG_APPLIED
            version = f"version {stored.version}"
            found.append(actions.Record(event, str(stored.key), version))
        return found

    def _apply_and_spread(
        self, stored: abc.Iterable[objects.Stored]
    ) -> list[part.Action]:
        """Apply what the platform said and pass it down as a relay.

        Only to this data centre: each one has watchers of its own.
        """
        changed, found = self._apply(stored)
        if not self._members.is_relay():
            return found
        for start in range(0, len(changed), _PUSH_LIMIT):
            chunk = tuple(changed[start : start + _PUSH_LIMIT])
            payload = wire.ObjectsChanged(chunk)
            found.append(actions.Publish(payload, urgent=True, local=True))
        return found

    def _confirm(
        self, to: ids.NodeId, stored: tuple[objects.Stored, ...]
    ) -> list[part.Action]:
        return [
            actions.Send(to, wire.Applied(item.key, item.version))
            for item in stored
            if item.key.kind in _EDITED
            and self._view.version(item.key) >= item.version
        ]


def _push(to: ids.NodeId, stored: list[objects.Stored]) -> list[part.Action]:
    return [
        actions.Send(to, wire.Push(tuple(stored[start : start + _PUSH_LIMIT])))
        for start in range(0, len(stored), _PUSH_LIMIT)
    ]

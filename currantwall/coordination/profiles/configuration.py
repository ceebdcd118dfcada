"""Keeps the version of each stored object that is in force on this node.

The highest version wins, and a version in force never decreases: not
after a stale read, a late event, a message from a peer with old state, or
a deletion. The relays of each data centre watch the platform and pass
changes on to the nodes of their data centre. A node that writes an object
publishes it at once. Digests find objects that a node has missed, and
summaries repair them.

A starting node is ready once its objects match those of a peer. With the
objects and instances read from the platform, it is also ready when it is
alone or no peer has matched in time.
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

# Most objects in one message.
_MAX_OBJECTS_PER_MESSAGE = 64
# Seconds after its start that a node which has read the platform waits
# for a peer with the same objects before it is ready without one.
_PEER_TIMEOUT = 3.0
# Kinds that operators edit: nodes acknowledge their changes, and the
# timeline records them.
_OPERATOR_KINDS = (
    objects.Kind.PROFILES.value,
    objects.Kind.STOPS.value,
    objects.Kind.EVACUATIONS.value,
)


class Written(part.Message, frozen=True):
    """This process has stored an object or read its current version."""

    stored: objects.Stored


class Refresh(part.Message, frozen=True):
    """This process needs the current version of an object."""

    key: objects.ObjectKey


class _RepeatedCall:
    """State of one kind of repeated call to the platform.

    Attributes:
        call: The call in flight, None for none.
        next_try: Earliest time of the next call.
    """

    def __init__(self, backoff: calls.Backoff) -> None:
        self.backoff = backoff
        self.call: ids.CallId | None = None
        self.next_try = 0.0

    def is_due(self, now: float) -> bool:
        """Return whether the next call is to be made now."""
        return self.call is None and now >= self.next_try

    def end(self, ok: bool, now: float, wait: float) -> None:
        """Schedule the next call after one has ended.

        Args:
            ok: Whether it succeeded; a failure is followed by the backoff.
            now: The time.
            wait: Seconds to the next call after a success.
        """
        self.call = None
        if ok:
            self.backoff.succeed()
            self.next_try = now + wait
        else:
            self.next_try = now + self.backoff.fail()


class Configuration(part.Part):
    """Keeps the view of the stored objects up to date."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        members: membership.Membership,
        settings: settings_module.PlatformSection,
        call_ids: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._members = members
        self._settings = settings
        self._call_ids = call_ids
        seed = rendezvous.score("backoff", nodes.me.id)
        limits = (settings.backoff, settings.backoff_limit)
        self._watch = _RepeatedCall(calls.Backoff(*limits, seed))
        self._instance_list = _RepeatedCall(calls.Backoff(*limits, seed + 1))
        self._refreshing: dict[ids.CallId, objects.ObjectKey] = {}
        self._instance_list_revision = ids.Version(0)
        self._watch_revision: ids.Version | None = None
        self._started: float | None = None
        self._objects_read = False
        self._instances_read = False
        self._has_matched_peer = False
        self._platform_up = True
        self.is_ready = False

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        if not self._needs_platform():
            return None
        repeated_calls = (self._watch, self._instance_list)
        times = [
            repeated_call.next_try
            for repeated_call in repeated_calls
            if repeated_call.call is None
        ]
        if not self.is_ready and self._started is not None:
            times.append(self._started + _PEER_TIMEOUT)
        return min(times, default=None)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._started is None:
            self._started = now
        next_actions: list[part.Action] = []
        if self._needs_platform():
            next_actions += self._start_due_calls(now)
        next_actions += self._update_readiness(now)
        return next_actions

    def _needs_platform(self) -> bool:
        return not self.is_ready or self._members.is_relay()

    def _start_due_calls(self, now: float) -> list[part.Action]:
        next_actions: list[part.Action] = []
        if self._watch.is_due(now):
            call = self._call_ids.next()
            self._watch.call = call
            if self._watch_revision is None:
                next_actions.append(actions.ListObjects(call))
            else:
                next_actions.append(
                    actions.WatchObjects(call, self._watch_revision)
                )
        if self._instance_list.is_due(now):
            self._instance_list.call = self._call_ids.next()
            known = self._instance_list_revision
            next_actions.append(
                actions.ListInstances(self._instance_list.call, known)
            )
        return next_actions

    def _update_readiness(self, now: float) -> list[part.Action]:
        if self.is_ready:
            return []
        is_alone = len(self._nodes.usable()) <= 1
        timed_out = now >= (self._started or now) + _PEER_TIMEOUT
        has_read = self._objects_read and self._instances_read
        if self._has_matched_peer or (has_read and (is_alone or timed_out)):
            self.is_ready = True
            kind = timeline.EventKind.NODE_READY
            return [actions.Record(kind, self._nodes.me.id)]
        return []

    # -- Answers of the platform

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
            # The platform no longer has the events since this revision:
            # list all objects again.
            self._watch_revision = None
            self._watch.next_try = now
            return []
        next_actions = self._record_platform_state(answer.is_ok)
        if not answer.is_ok:
            return next_actions
        self._watch_revision = max(
            self._watch_revision or answer.revision, answer.revision
        )
        stored = list(answer.stored)
        if answer.complete:
            self._objects_read = True
            kinds = {kind.value for kind in objects.WATCHED}
            stored += self._infer_deletions(kinds, stored, answer.revision)
        return (
            next_actions
            + self._apply_and_publish(stored)
            + self._update_readiness(now)
        )

    @part.handles(messages.InstancesListed)
    def _on_instances(
        self, answer: messages.InstancesListed, now: float
    ) -> list[part.Action]:
        if answer.call != self._instance_list.call:
            return []
        ok = answer.status is messages.PlatformStatus.OK
        self._instance_list.end(ok, now, self._settings.list_interval)
        if not ok:
            return []
        self._instances_read = True
        if answer.unchanged:
            return self._update_readiness(now)
        self._instance_list_revision = answer.revision
        kind = objects.Kind.INSTANCES.value
        stored = [
            objects.Stored(
                objects.ObjectKey(kind, listed.id),
                version,
                objects.encode(listed),
            )
            for listed, version in answer.listed
        ]
        stored += self._infer_deletions({kind}, stored, answer.revision)
        return self._apply_and_publish(stored) + self._update_readiness(now)

    def _infer_deletions(
        self,
        kinds: abc.Set[str],
        listed: list[objects.Stored],
        revision: ids.Version,
    ) -> list[objects.Stored]:
        """Return deletions of the objects that a complete list lacks.

        An object newer than the list is kept, as the list is a stale read
        for it.
        """
        listed_keys = {stored.key for stored in listed}
        return [
            objects.Stored(known.key, revision)
            for known in self._view.all()
            if known.key.kind in kinds
            and known.value
            and known.key not in listed_keys
            and known.version <= revision
        ]

    def _record_platform_state(self, is_up: bool) -> list[part.Action]:
        if is_up == self._platform_up:
            return []
        self._platform_up = is_up
        kinds = timeline.EventKind
        kind = kinds.PLATFORM_UP if is_up else kinds.PLATFORM_DOWN
        return [actions.Record(kind)]

    @part.handles(Refresh)
    def _on_refresh(self, message: Refresh, now: float) -> list[part.Action]:
        if message.key in self._refreshing.values():
            return []
        call = self._call_ids.next()
        self._refreshing[call] = message.key
        return [actions.ReadObject(call, message.key)]

    def _on_refreshed(
        self, answer: messages.PlatformAnswer
    ) -> list[part.Action]:
        del self._refreshing[answer.call]
        if not answer.is_ok:
            return []
        _, next_actions = self._apply(answer.stored)
        return next_actions

    # -- Changes from this process and from peers

    @part.handles(Written)
    def _on_written(self, message: Written, now: float) -> list[part.Action]:
        stored = message.stored
        changed, next_actions = self._apply([stored])
        # An edit is published even when the watch has already delivered
        # it: the nodes send their acknowledgements to the node that
        # publishes it.
        if changed or stored.key.kind in _OPERATOR_KINDS:
            payload = wire.ObjectsChanged((stored,))
            next_actions.append(actions.Publish(payload, urgent=True))
        return next_actions

    @part.handles(wire.ObjectsChanged)
    def _on_objects_changed(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        _, next_actions = self._apply(message.payload.stored)
        return next_actions + self._acknowledge(
            message.origin, message.payload.stored
        )

    @part.handles(wire.Push)
    def _on_push(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        _, next_actions = self._apply(message.body.stored)
        if message.body.confirm:
            next_actions += self._acknowledge(
                message.sender, message.body.stored
            )
        return next_actions

    @part.handles(wire.Exchange)
    def _on_exchange(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        own_digests = self._view.digests()
        theirs = message.body.objects
        different = tuple(
            bucket
            for bucket, digest in enumerate(theirs)
            if digest != own_digests[bucket]
        )
        if not different:
            self._has_matched_peer = True
            return self._update_readiness(now)
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
        """Request what the sender has newer, send what it has older."""
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
        next_actions: list[part.Action] = []
        if wanted:
            next_actions.append(
                actions.Send(message.sender, wire.Pull(wanted))
            )
        return next_actions + _push_objects(message.sender, newer)

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
        known = [self._view.get(key) for key in message.body.keys]
        return _push_objects(message.sender, [item for item in known if item])

    # -- Putting versions in force

    def _apply(
        self, stored: abc.Iterable[objects.Stored]
    ) -> tuple[list[objects.Stored], list[part.Action]]:
        """Put newer versions in force.

        Returns:
            The objects whose material content changed, which other nodes
            need too, and the resulting actions.
        """
        changed: list[objects.Stored] = []
        next_actions: list[part.Action] = []
        for item in stored:
            before = self._view.material(item.key)
            if not self._view.apply(item):
                continue
            if self._view.material(item.key) != before:
                changed.append(item)
            next_actions += self._announce(item)
        return changed, next_actions

    def _announce(self, stored: objects.Stored) -> list[part.Action]:
        kind = stored.key.kind
        value = objects.decode(stored)
        next_actions: list[part.Action] = [
            actions.Tell(messages.ObjectChanged(stored, value)),
            actions.Count(actions.Counter.CONFIG_APPLIED, kind),
        ]
        if kind in _OPERATOR_KINDS:
            event = timeline.EventKind.CONFIG_APPLIED
            version = f"version {stored.version}"
            next_actions.append(
                actions.Record(event, str(stored.key), version)
            )
        return next_actions

    def _apply_and_publish(
        self, stored: abc.Iterable[objects.Stored]
    ) -> list[part.Action]:
        """Apply objects read from the platform; as a relay, publish them.

        They go to this data centre only, as each one has relays that
        watch the platform.
        """
        changed, next_actions = self._apply(stored)
        if not self._members.is_relay():
            return next_actions
        for start in range(0, len(changed), _MAX_OBJECTS_PER_MESSAGE):
            chunk = tuple(changed[start : start + _MAX_OBJECTS_PER_MESSAGE])
            payload = wire.ObjectsChanged(chunk)
            next_actions.append(
                actions.Publish(payload, urgent=True, local=True)
            )
        return next_actions

    def _acknowledge(
        self, to: ids.NodeId, stored: tuple[objects.Stored, ...]
    ) -> list[part.Action]:
        return [
            actions.Send(to, wire.Applied(item.key, item.version))
            for item in stored
            if item.key.kind in _OPERATOR_KINDS
            and self._view.version(item.key) >= item.version
        ]


def _push_objects(
    to: ids.NodeId, stored: list[objects.Stored]
) -> list[part.Action]:
    return [
        actions.Send(
            to,
            wire.Push(tuple(stored[start : start + _MAX_OBJECTS_PER_MESSAGE])),
        )
        for start in range(0, len(stored), _MAX_OBJECTS_PER_MESSAGE)
    ]

"""Operators' edits: stored once, then in force on every live node.

An edit is one conditional update. It is *accepted* when it is stored and
every live node has acknowledged it. When some nodes have not by the
deadline, the answer names them. After an update whose answer was lost,
the object is read back: if it has the edit's value at another version than
expected, the edit was stored.

A node counts as live here once it has been seen and until it is found dead.
"""

import enum

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.profiles import configuration
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["EditOutcome", "EditRequested", "EditResult", "Edits"]

# Seconds between pushes to nodes that have not acknowledged an edit yet.
_PUSH_INTERVAL = 0.3
# Seconds between attempts to read an object back while the platform does
# not answer.
_READ_INTERVAL = 0.25


class EditOutcome(enum.Enum):
    """How an edit ended.

    Attributes:
        ACCEPTED: Stored and in force on every live node.
        STORED: Stored; some live nodes have not acknowledged it in time.
        CONFLICT: The object has another version than expected.
        NOT_STORED: The platform was not reached, so nothing was stored.
        UNKNOWN: The deadline passed before the outcome was known.
    """

    ACCEPTED = "accepted"
    STORED = "stored"
    CONFLICT = "conflict"
    NOT_STORED = "not_stored"
    UNKNOWN = "unknown"


class EditRequested(part.Message, frozen=True):
    """An operator wants to store an object.

    Attributes:
        expected: Version the operator saw, 0 for a new object.
        value: New value, empty to delete.
    """

    ticket: int
    key: objects.ObjectKey
    value: bytes
    expected: ids.Version


class EditResult(msgspec.Struct, frozen=True):
    """The answer to an operator's edit.

    Attributes:
        version: Version of the stored object, 0 where none was stored.
        missing: Live nodes that have not acknowledged the edit.
    """

    outcome: EditOutcome
    version: ids.Version = ids.Version(0)
    missing: tuple[ids.NodeId, ...] = ()


class _Edit(msgspec.Struct):
    """One edit in progress.

    Attributes:
        call: The last call to the platform.
        is_reading: Whether that call reads the object back.
        maybe_written: Whether the answer of a write was lost, so that it
            may have taken effect.
        next_push: When to push the edit again to `unacknowledged`.
        next_read: When to read the object back, None for not at all.
        stored: The object as stored, None until it is.
        unacknowledged: Live nodes that have not acknowledged the edit.
    """

    request: EditRequested
    deadline: float
    call: ids.CallId
    is_reading: bool = False
    maybe_written: bool = False
    next_push: float = 0.0
    next_read: float | None = None
    stored: objects.Stored | None = None
    unacknowledged: set[ids.NodeId] = msgspec.field(default_factory=set)


class Edits(part.Part):
    """Stores operators' edits and reports their outcome."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.PeersSection,
        call_ids: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._deadline = settings.edit_deadline
        self._call_ids = call_ids
        self._edits: list[_Edit] = []

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        times = [edit.deadline for edit in self._edits]
        times += [edit.next_push for edit in self._edits if edit.stored]
        times += [
            edit.next_read
            for edit in self._edits
            if edit.next_read is not None
        ]
        return min(times, default=None)

    @part.handles(EditRequested)
    def _on_request(
        self, request: EditRequested, now: float
    ) -> list[part.Action]:
        call = self._call_ids.next()
        edit = _Edit(request, now + self._deadline, call)
        self._edits.append(edit)
        return self._write(edit)

    def _write(self, edit: _Edit) -> list[part.Action]:
        edit.call = self._call_ids.next()
        edit.is_reading = False
        request = edit.request
        return [
            actions.WriteObject(
                edit.call, request.key, request.value, request.expected
            )
        ]

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        for edit in self._edits:
            if edit.call == answer.call and edit.stored is None:
                if edit.is_reading:
                    return self._handle_read_answer(edit, answer, now)
                return self._handle_write_answer(edit, answer, now)
        return []

    def _handle_write_answer(
        self, edit: _Edit, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        statuses = messages.PlatformStatus
        if answer.is_ok:
            return self._publish(edit, answer.revision, now)
        if answer.status is statuses.LOST:
            edit.maybe_written = True
        if answer.status is statuses.CONFLICT and not edit.maybe_written:
            return self._finish(edit, EditOutcome.CONFLICT)
        if answer.status is statuses.UNAVAILABLE and not edit.maybe_written:
            return self._finish(edit, EditOutcome.NOT_STORED)
        return self._read_back(edit)

    def _read_back(self, edit: _Edit) -> list[part.Action]:
        edit.call = self._call_ids.next()
        edit.is_reading = True
        edit.next_read = None
        return [actions.ReadObject(edit.call, edit.request.key)]

    def _handle_read_answer(
        self, edit: _Edit, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Decide from the stored object whether a lost write took effect.

        Failure: a write takes effect but its answer is lost. An answer of
        "conflict" would make the operator repeat the edit. While the
        version is unchanged, the object is written again: the first write
        may be lost or still on its way, and the condition on the version
        lets only one of the two take effect.
        """
        request = edit.request
        statuses = messages.PlatformStatus
        if answer.status is statuses.NOT_FOUND:
            version, value = ids.Version(0), b""
        elif answer.is_ok and answer.stored:
            version, value = answer.stored[0].version, answer.stored[0].value
        else:
            edit.next_read = now + _READ_INTERVAL
            return []
        if version == request.expected:
            return self._write(edit)
        if value == request.value:
            return self._publish(edit, version, now)
        return self._finish(edit, EditOutcome.CONFLICT)

    def _publish(
        self, edit: _Edit, version: ids.Version, now: float
    ) -> list[part.Action]:
        request = edit.request
        edit.stored = objects.Stored(request.key, version, request.value)
        edit.next_push = now + _PUSH_INTERVAL
        edit.unacknowledged = {
            member.id
            for member in self._nodes.present()
            if member.incarnation > 0 and member.id != self._nodes.me.id
        }
        written = configuration.Written(edit.stored)
        return [actions.Tell(written), *self._finish_if_done(edit, now)]

    @part.handles(wire.Applied)
    def _on_applied(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        next_actions: list[part.Action] = []
        body = message.body
        for edit in list(self._edits):
            stored = edit.stored
            if stored is None or stored.key != body.key:
                continue
            if body.version >= stored.version:
                edit.unacknowledged.discard(message.sender)
                next_actions += self._finish_if_done(edit, now)
        return next_actions

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        next_actions: list[part.Action] = []
        for edit in list(self._edits):
            next_actions += self._finish_if_done(edit, now)
            if edit not in self._edits:
                continue
            next_actions += self._push_unacknowledged(edit, now)
            if edit.next_read is not None and now >= edit.next_read:
                next_actions += self._read_back(edit)
        return next_actions

    def _finish_if_done(self, edit: _Edit, now: float) -> list[part.Action]:
        if edit.stored is None:
            if now < edit.deadline:
                return []
            return self._finish(edit, EditOutcome.UNKNOWN)
        edit.unacknowledged = {
            node for node in edit.unacknowledged if self._is_present(node)
        }
        if not edit.unacknowledged:
            return self._finish(edit, EditOutcome.ACCEPTED)
        if now >= edit.deadline:
            return self._finish(edit, EditOutcome.STORED)
        return []

    def _is_present(self, node: ids.NodeId) -> bool:
        member = self._nodes.get(node)
        return member is not None and member.is_present

    def _push_unacknowledged(
        self, edit: _Edit, now: float
    ) -> list[part.Action]:
        if now < edit.next_push or edit.stored is None:
            return []
        edit.next_push = now + _PUSH_INTERVAL
        push = wire.Push((edit.stored,), confirm=True)
        next_actions: list[part.Action] = []
        for node in sorted(edit.unacknowledged):
            next_actions.append(actions.Send(node, push))
            next_actions.append(actions.Tell(messages.ProbeRequested(node)))
        return next_actions

    def _finish(self, edit: _Edit, outcome: EditOutcome) -> list[part.Action]:
        self._edits.remove(edit)
        version = edit.stored.version if edit.stored else ids.Version(0)
        missing = tuple(sorted(edit.unacknowledged))
        answer = EditResult(outcome, version, missing)
        return [actions.Reply(edit.request.ticket, answer)]

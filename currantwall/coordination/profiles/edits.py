"""Operators' edits: stored once, then in force on every live node.

An edit is one conditional update. It is *accepted* when it is stored and
every live node has acknowledged it; when some have not in time, the
answer names them. An update whose answer was lost is settled by reading
the object back: the same value at a newer version is the edit.
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

# Between pushes to nodes that have not acknowledged yet.
_PUSH_INTERVAL = 0.3
# Between reads that settle a write while the platform does not answer.
_READ_INTERVAL = 0.25


class EditOutcome(enum.Enum):
    """How an edit ended."""

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
    """What the operator is told.

    Attributes:
        missing: Live nodes where the edit is not in force yet.
    """

    outcome: EditOutcome
    version: ids.Version = ids.Version(0)
    missing: tuple[ids.NodeId, ...] = ()


class _Edit(msgspec.Struct):
    """One edit under way; `stored` once it is."""

    request: EditRequested
    deadline: float
    call: ids.CallId
    reading: bool = False
    sent: bool = False
    next_push: float = 0.0
    next_read: float | None = None
    stored: objects.Stored | None = None
    waiting: set[ids.NodeId] = msgspec.field(default_factory=set)


class Edits(part.Part):
    """Takes edits and answers them."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.PeersSection,
        numbers: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._deadline = settings.edit_deadline
        self._numbers = numbers
        self._edits: list[_Edit] = []

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        times = [edit.deadline for edit in self._edits]
        times += [edit.next_push for edit in self._edits if edit.stored]
        times += [e.next_read for e in self._edits if e.next_read is not None]
        return min(times, default=None)

    @part.handles(EditRequested)
    def _on_request(
        self, request: EditRequested, now: float
    ) -> list[part.Action]:
        call = self._numbers.next()
        edit = _Edit(request, now + self._deadline, call)
        self._edits.append(edit)
        return self._write(edit)

    def _write(self, edit: _Edit) -> list[part.Action]:
        edit.call = self._numbers.next()
        edit.reading = False
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
                if edit.reading:
                    return self._settle(edit, answer, now)
                return self._note_written(edit, answer, now)
        return []

    def _note_written(
        self, edit: _Edit, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        statuses = messages.PlatformStatus
        if answer.is_ok:
            return self._spread(edit, answer.revision, now)
        if answer.status is statuses.LOST:
            edit.sent = True
        if answer.status is statuses.CONFLICT and not edit.sent:
            return self._end(edit, EditOutcome.CONFLICT)
        if answer.status is statuses.UNAVAILABLE and not edit.sent:
            return self._end(edit, EditOutcome.NOT_STORED)
        return self._read(edit)

    def _read(self, edit: _Edit) -> list[part.Action]:
        edit.call = self._numbers.next()
        edit.reading = True
        edit.next_read = None
        return [actions.ReadObject(edit.call, edit.request.key)]

    def _settle(
        self, edit: _Edit, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        """Decide from the stored object whether the lost write took.

        Failure: a write took effect but its answer was lost; telling the
        operator "conflict" would make him do it twice. An unchanged
        version is written again: it may have been the write that was
        lost, or it may still be on its way, and the condition on the
        version lets only one of the two take effect.
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
            return self._spread(edit, version, now)
        return self._end(edit, EditOutcome.CONFLICT)

    def _spread(
        self, edit: _Edit, version: ids.Version, now: float
    ) -> list[part.Action]:
        request = edit.request
        edit.stored = objects.Stored(request.key, version, request.value)
        edit.next_push = now + _PUSH_INTERVAL
        edit.waiting = {
            member.id
            for member in self._nodes.present()
            if member.incarnation > 0 and member.id != self._nodes.me.id
        }
        written = configuration.Written(edit.stored)
        return [actions.Tell(written), *self._check(edit, now)]

    @part.handles(wire.Applied)
    def _on_applied(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        found: list[part.Action] = []
        body = message.body
        for edit in list(self._edits):
            stored = edit.stored
            if stored is None or stored.key != body.key:
                continue
            if body.version >= stored.version:
                edit.waiting.discard(message.sender)
                found += self._check(edit, now)
        return found

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        for edit in list(self._edits):
            found += self._check(edit, now)
            if edit not in self._edits:
                continue
            found += self._push_again(edit, now)
            if edit.next_read is not None and now >= edit.next_read:
                found += self._read(edit)
        return found

    def _check(self, edit: _Edit, now: float) -> list[part.Action]:
        if edit.stored is None:
            if now < edit.deadline:
                return []
            return self._end(edit, EditOutcome.UNKNOWN)
        edit.waiting = {
            node for node in edit.waiting if self._is_present(node)
        }
        if not edit.waiting:
            return self._end(edit, EditOutcome.ACCEPTED)
        if now >= edit.deadline:
            return self._end(edit, EditOutcome.STORED)
        return []

    def _is_present(self, node: ids.NodeId) -> bool:
        member = self._nodes.get(node)
        return member is not None and member.is_present

    def _push_again(self, edit: _Edit, now: float) -> list[part.Action]:
        if now < edit.next_push or edit.stored is None:
            return []
        edit.next_push = now + _PUSH_INTERVAL
        push = wire.Push((edit.stored,), confirm=True)
        found: list[part.Action] = []
        for node in sorted(edit.waiting):
            found.append(actions.Send(node, push))
            found.append(actions.Tell(messages.ProbeRequested(node)))
        return found

    def _end(self, edit: _Edit, outcome: EditOutcome) -> list[part.Action]:
        self._edits.remove(edit)
        version = edit.stored.version if edit.stored else ids.Version(0)
        missing = tuple(sorted(edit.waiting))
        answer = EditResult(outcome, version, missing)
        return [actions.Reply(edit.request.ticket, answer)]

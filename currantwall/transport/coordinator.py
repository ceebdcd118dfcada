"""Passes messages to the node and dispatches the resulting actions.

Performers are objects with methods marked by `performs`. Each such method
carries out one type of action without blocking; longer work runs in a
green thread of its own. The node never yields while it handles a message,
so other green threads never see a half-handled one.
"""

from collections import abc
import itertools
import typing

import eventlet
import eventlet.event

from currantwall.coordination import actions
from currantwall.coordination import node as node_module
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.transport import timers

__all__ = ["Coordinator", "performs"]

# Attribute that `performs` sets on a method.
_ACTION_TYPE_ATTRIBUTE = "_performed_type"
Performer = abc.Callable[..., None]


def performs(kind: type) -> abc.Callable[[Performer], Performer]:
    """Mark a method as the performer of one type of action."""

    def mark(function: Performer) -> Performer:
        setattr(function, _ACTION_TYPE_ATTRIBUTE, kind)
        return function

    return mark


class Coordinator:
    """Passes messages to the node and dispatches its actions.

    Attributes:
        node: The node, which decides without any I/O.
    """

    def __init__(
        self,
        node: node_module.Node,
        clock: timers.TimerService,
    ) -> None:
        self.node = node
        self._clock = clock
        self._performers: dict[type, Performer] = {}
        self._tickets = itertools.count(1)
        self._waiting: dict[int, eventlet.event.Event] = {}
        self._answers: dict[int, typing.Any] = {}
        self._performers[actions.Reply] = self._reply
        clock.subscribe(node.due, self._tick)
        clock.subscribe(lambda: node.next_beat, self._beat)

    def attach(self, performer: object) -> None:
        """Register the methods of an object that `performs` has marked."""
        for name in dir(type(performer)):
            kind = getattr(
                getattr(type(performer), name), _ACTION_TYPE_ATTRIBUTE, None
            )
            if kind is not None:
                self._performers[kind] = getattr(performer, name)

    def tell(self, message: part.Message) -> None:
        """Pass a message to the node and perform the resulting actions."""
        now = self._clock.now()
        self.perform(self.node.handle(message, now))
        self._clock.touch()

    def receive(self, envelope: wire.Envelope) -> None:
        """Pass a peer's envelope to the node and perform the actions."""
        now = self._clock.now()
        self.perform(self.node.receive(envelope, now))
        self._clock.touch()

    def ask(
        self,
        make_message: abc.Callable[[int], part.Message],
        timeout: float | None = None,
        make_timeout_message: abc.Callable[[int], part.Message] | None = None,
    ) -> typing.Any:
        """Return the node's reply to a message that carries a ticket.

        Args:
            make_message: Returns the message for a ticket.
            timeout: Seconds to wait for the reply; None for no limit.
            make_timeout_message: Returns the message that tells the node
                that nobody waits for the ticket any more.

        Returns:
            The reply; None if it has not come in time.
        """
        ticket = next(self._tickets)
        self._waiting[ticket] = eventlet.event.Event()
        try:
            self.tell(make_message(ticket))
            if ticket in self._answers:
                return self._answers.pop(ticket)
            answer = self._waiting[ticket].wait(timeout)
            if answer is None and make_timeout_message is not None:
                self.tell(make_timeout_message(ticket))
            return answer
        finally:
            del self._waiting[ticket]
            self._answers.pop(ticket, None)

    def perform(self, found: abc.Iterable[part.Action]) -> None:
        """Pass each action to its performer."""
        for action in found:
            self._performers[type(action)](action)

    def _tick(self) -> None:
        now = self._clock.now()
        self.perform(self.node.handle(part.Tick(), now))

    def _beat(self) -> None:
        self.perform(self.node.handle(part.Beat(), self._clock.now()))

    def _reply(self, action: actions.Reply) -> None:
        waiting = self._waiting.get(action.ticket)
        if waiting is None or waiting.ready():
            return
        self._answers[action.ticket] = action.answer
        waiting.send(action.answer)

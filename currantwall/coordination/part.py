"""Base of the parts, the deterministic state machines of a node.

A part handles a typed message at a given time and returns typed actions.
It also tells when it next needs a `Tick`. The `handles` decorator
registers the method for each type of message.

Times are in seconds of the process's monotonic clock.
"""

from collections import abc
import typing

import msgspec

__all__ = ["Action", "Beat", "Message", "Part", "Resumed", "Tick", "handles"]


class Action(msgspec.Struct, frozen=True):
    """Something that the transport or another part has to do."""


class Message(msgspec.Struct, frozen=True):
    """Something that happened, delivered to the parts."""

    @property
    def topic(self) -> type:
        """Return the type by which parts subscribe to this message."""
        return type(self)


class Tick(Message, frozen=True):
    """A time that a part asked for, by `Part.due`, has come."""


class Beat(Message, frozen=True):
    """Sent to a node that nothing else has reached for a while.

    No part handles it. A late one shows that the process was not running.
    """


class Resumed(Message, frozen=True):
    """This process was not running for a while.

    Handled before everything that arrived meanwhile. What others did not
    send or answer in that time proves nothing about them.
    """


Handler = typing.Callable[..., abc.Iterable[Action] | None]
_HANDLED_TYPE = "_handled_type"


def handles(kind: type) -> abc.Callable[[Handler], Handler]:
    """Register a method of a part for one type of message or body."""

    def register(function: Handler) -> Handler:
        setattr(function, _HANDLED_TYPE, kind)
        return function

    return register


class Part:
    """Base class of all parts.

    A subclass decorates its methods with `handles`, and overrides `due`
    if it needs ticks.
    """

    handlers: typing.ClassVar[dict[type, str]] = {}

    def __init_subclass__(cls, **kwargs: typing.Any) -> None:
        super().__init_subclass__(**kwargs)
        handlers = dict(cls.handlers)
        for name, member in vars(cls).items():
            kind = getattr(member, _HANDLED_TYPE, None)
            if kind is not None:
                handlers[kind] = name
        cls.handlers = handlers

    def handle(self, message: Message, now: float) -> list[Action]:
        """Handle a message and return the resulting actions."""
        name = self.handlers.get(message.topic)
        if name is None:
            return []
        return list(getattr(self, name)(message, now) or ())

    def due(self) -> float | None:
        """Return the time of the next tick needed, None for none."""
        return None

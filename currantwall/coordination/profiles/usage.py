"""Accelerators that profiles hold over time, as measured here.

The forecast rests on it. A node keeps no more than two sums a profile,
from its own start; the tool weighs the nodes by how long they watched.
"""

import msgspec

from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import views

__all__ = ["Usage", "Use"]

_INTERVAL = 10.0


class Use(msgspec.Struct, frozen=True):
    """What one profile held, as one node saw it.

    Attributes:
        seconds: Time watched since the profile's last edit.
        held: Accelerator-seconds held in that time.
    """

    profile: ids.ProfileName
    seconds: float
    held: float


class Usage(part.Part):
    """Adds up what profiles hold."""

    def __init__(self, view: views.ObjectsView) -> None:
        self._view = view
        self._sums: dict[str, tuple[float, float]] = {}
        self._last: float | None = None

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return 0.0 if self._last is None else self._last + _INTERVAL

    def select(self, now: float) -> list[Use]:
        """Return the use of all profiles up to now."""
        self._add(now)
        return [
            Use(ids.ProfileName(name), seconds, held)
            for name, (seconds, held) in sorted(self._sums.items())
        ]

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> None:
        if now >= self.due():
            self._add(now)

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        key = message.stored.key
        if key.kind == objects.Kind.DOMAINS.value:
            self._add(now)
        elif key.kind == objects.Kind.PROFILES.value:
            # What was held under the old text says nothing of the new.
            self._add(now)
            self._sums.pop(key.name, None)

    def _add(self, now: float) -> None:
        spent = now - self._last if self._last is not None else 0.0
        self._last = now
        for name in self._view.profiles:
            seconds, held = self._sums.get(name, (0.0, 0.0))
            count = sum(
                ledger.count_accelerators(ids.ProfileName(name))
                for ledger in self._view.domains.values()
            )
            self._sums[name] = (seconds + spent, held + spent * count)

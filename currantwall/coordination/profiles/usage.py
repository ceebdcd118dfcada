"""Measures the accelerators that profiles hold over time.

The forecast is based on these figures. A node keeps only two sums per
profile, counted from its own start or the last edit of the profile; the
command line tool weights the nodes by how long they measured.
"""

import msgspec

from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import views

__all__ = ["Usage", "Use"]

# Seconds between updates of the sums.
_UPDATE_INTERVAL = 10.0


class Use(msgspec.Struct, frozen=True):
    """What one profile held, as one node saw it.

    Attributes:
        seconds: Time measured since the profile's last edit.
        held: Accelerator-seconds held in that time.
    """

    profile: ids.ProfileName
    seconds: float
    held: float


class Usage(part.Part):
    """Sums up what profiles hold."""

    def __init__(self, view: views.ObjectsView) -> None:
        self._view = view
        self._sums: dict[str, tuple[float, float]] = {}
        self._last_update: float | None = None

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return (
            0.0
            if self._last_update is None
            else self._last_update + _UPDATE_INTERVAL
        )

    def select(self, now: float) -> list[Use]:
        """Return the measured use of all profiles up to now."""
        self._accumulate(now)
        return [
            Use(ids.ProfileName(name), seconds, held)
            for name, (seconds, held) in sorted(self._sums.items())
        ]

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> None:
        if now >= self.due():
            self._accumulate(now)

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        key = message.stored.key
        if key.kind == objects.Kind.DOMAINS.value:
            self._accumulate(now)
        elif key.kind == objects.Kind.PROFILES.value:
            # What the old version held does not predict the new one.
            self._accumulate(now)
            self._sums.pop(key.name, None)

    def _accumulate(self, now: float) -> None:
        elapsed = (
            now - self._last_update if self._last_update is not None else 0.0
        )
        self._last_update = now
        for name in self._view.profiles:
            seconds, held = self._sums.get(name, (0.0, 0.0))
            count = sum(
                ledger.count_accelerators(ids.ProfileName(name))
                for ledger in self._view.domains.values()
            )
            self._sums[name] = (seconds + elapsed, held + elapsed * count)

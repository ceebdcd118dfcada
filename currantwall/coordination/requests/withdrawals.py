"""Upstreams that have asked this node for no more requests.

An upstream that refuses a request may ask the node for a pause. Unlike an
ejection, which is this node's own guess, a pause is kept even where no
other upstream is left, and it holds for the instance: a new epoch of its
replica does not end it.

An upstream that is going to exit says so in its answers, often before the
store's list does, and at times the list never does.
"""

from collections import abc

import msgspec

from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Withdrawals"]

# Seconds for which an upstream that left is remembered after it has said
# so, if it is not listed: its entry may lapse in an outage and return.
_RETENTION = 60.0


class _Departure(msgspec.Struct, frozen=True):
    """An upstream that said that it is leaving.

    Attributes:
        born: Start of its process, in Unix milliseconds; 0 if unknown.
        noted_at: Monotonic time of its answer.
    """

    born: int
    noted_at: float


class Withdrawals:
    """The upstreams to which this node sends nothing.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        # When the pause of each upstream ends.
        self._pauses: dict[ids.InstanceId, float] = {}
        self._departures: dict[ids.InstanceId, _Departure] = {}

    def note_pause(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> None:
        """Record that an upstream wants no requests for some time."""
        end = now + seconds
        self._pauses[instance] = max(end, self._pauses.get(instance, end))

    def get_remaining(self, instance: ids.InstanceId, now: float) -> float:
        """Return the seconds until the pause of an upstream ends, or 0."""
        return max(self._pauses.get(instance, now) - now, 0.0)

    def note_leaving(self, upstream: upstreams.Upstream, now: float) -> None:
        """Record that an upstream has said that it is leaving."""
        self._departures[upstream.id] = _Departure(upstream.born, now)

    def note_reported(
        self, upstream: upstreams.Upstream, born: int, now: float
    ) -> None:
        """Record that a peer says that an upstream is leaving.

        Failure: the peer's list still has the process that has left, and
        the one that was started again under the same id gets no requests.

        Args:
            upstream: The upstream, as this node knows it.
            born: Start of the process that leaves, in Unix milliseconds; 0
                if unknown.
            now: Monotonic time.
        """
        if not born or not upstream.born or born == upstream.born:
            self.note_leaving(upstream, now)

    def is_leaving(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream has said that it is leaving.

        A process that was started again under the same id has not, even if
        its clock has gone back.
        """
        departure = self._departures.get(upstream.id)
        if departure is None:
            return False
        is_start_known = departure.born > 0 and upstream.born > 0
        return not is_start_known or departure.born == upstream.born

    def expire(
        self, is_listed: abc.Callable[[ids.InstanceId], bool], now: float
    ) -> None:
        """Drop pauses that have ended and upstreams that are gone.

        Args:
            is_listed: Returns whether an upstream is registered.
            now: Monotonic time.
        """
        for instance, departure in list(self._departures.items()):
            is_old = now - departure.noted_at > _RETENTION
            if is_old and not is_listed(instance):
                del self._departures[instance]
        self._pauses = {
            instance: end
            for instance, end in self._pauses.items()
            if end > now
        }

"""Upstreams that have asked this node for no more requests.

An upstream that refuses a request may ask the node for a pause. Unlike an
ejection, which is this node's own guess, a pause is kept even where no
other upstream is left, and it holds for the instance: a new epoch of its
replica does not end it.
"""

from currantwall.state import ids

__all__ = ["Withdrawals"]


class Withdrawals:
    """The upstreams to which this node sends nothing.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        # When the pause of each upstream ends.
        self._pauses: dict[ids.InstanceId, float] = {}

    def note_pause(
        self, instance: ids.InstanceId, seconds: float, now: float
    ) -> None:
        """Record that an upstream wants no requests for some time."""
        end = now + seconds
        self._pauses[instance] = max(end, self._pauses.get(instance, end))

    def get_remaining(self, instance: ids.InstanceId, now: float) -> float:
        """Return the seconds until the pause of an upstream ends, or 0."""
        return max(self._pauses.get(instance, now) - now, 0.0)

    def expire(self, now: float) -> None:
        """Drop the pauses that have ended."""
        self._pauses = {
            instance: end
            for instance, end in self._pauses.items()
            if end > now
        }

"""Checks the envelopes of peer messages and estimates their delay.

An envelope from an incarnation older than the newest known one is dropped:
its sender's process has ended. The sender's clock reading in the envelope
serves to estimate the delay: the smallest clock difference seen on a link
stands for the shortest transit time, and whatever a message took beyond
that is its delay.
"""

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import views

__all__ = ["Links"]

# The minimum is taken over the last one to two windows, so that clock drift
# does not accumulate into a false delay.
_OFFSET_WINDOW_SECONDS = 60.0


class _Link:
    """Clock offset to one process of a peer."""

    def __init__(self, incarnation: ids.Incarnation, now: float) -> None:
        self.incarnation = incarnation
        self._window_start = now
        self._previous_min: float | None = None
        self._current_min: float | None = None

    def measure(self, sent: float, now: float) -> float:
        """Return the delay of a message beyond the shortest transit time.

        Args:
            sent: Sender's monotonic clock at the send, in seconds.
            now: This process's monotonic clock, in seconds.
        """
        if now - self._window_start > _OFFSET_WINDOW_SECONDS:
            self._previous_min, self._current_min = self._current_min, None
            self._window_start = now
        offset = now - sent
        if self._current_min is None or offset < self._current_min:
            self._current_min = offset
        min_offset = self._current_min
        if self._previous_min is not None:
            min_offset = min(min_offset, self._previous_min)
        return offset - min_offset


class Links:
    """Opens the envelopes of all peers."""

    def __init__(self, nodes: views.MembersView) -> None:
        self._nodes = nodes
        self._links: dict[ids.NodeId, _Link] = {}

    def open(
        self, envelope: wire.Envelope, now: float
    ) -> tuple[messages.Received | None, list[part.Action]]:
        """Return the message inside; None if it must be dropped."""
        if self._is_stale(envelope):
            count = actions.Count(actions.Counter.MESSAGES_STALE)
            return None, [count]
        link = self._links.get(envelope.sender)
        if link is None or link.incarnation != envelope.incarnation:
            link = _Link(envelope.incarnation, now)
            self._links[envelope.sender] = link
        delay = link.measure(envelope.sent, now)
        return messages.Received(envelope.sender, envelope.body, delay), []

    def _is_stale(self, envelope: wire.Envelope) -> bool:
        """Return whether the sender or the addressee is a past process.

        Failure: a message queued for a process that died reaches its
        successor at the same address, or a message that a process sent
        before it died arrives after its successor's first one.

        A ping addressed to the predecessor is accepted: a process that
        starts while the platform is down learns of the other nodes by it,
        and the answer tells them of the new incarnation.
        """
        me = self._nodes.me
        for_me = envelope.to_incarnation in (0, me.incarnation)
        if not for_me and not isinstance(envelope.body, wire.Ping):
            return True
        member = self._nodes.get(envelope.sender)
        return member is not None and member.incarnation > envelope.incarnation

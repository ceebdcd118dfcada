"""What the envelope of a peer message tells.

An envelope of an incarnation older than the newest known one is dropped:
it comes from a process that is gone. The sender's clock in it shows how
long the message lay on the way: the smallest difference between the two
clocks seen on a link stands for the shortest way, and what a message
took beyond that is its delay.
"""

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import views

__all__ = ["Links"]

# The smallest difference is taken over the last one to two windows, so
# that drifting clocks do not add up to a false delay.
_WINDOW = 60.0


class _Link:
    """Clock difference to one peer process."""

    def __init__(self, incarnation: ids.Incarnation, now: float) -> None:
        self.incarnation = incarnation
        self._since = now
        self._last: float | None = None
        self._current: float | None = None

    def measure(self, sent: float, now: float) -> float:
        """Return the delay of a message beyond the shortest way."""
        if now - self._since > _WINDOW:
            self._last, self._current = self._current, None
            self._since = now
        offset = now - sent
        if self._current is None or offset < self._current:
            self._current = offset
        least = self._current
        if self._last is not None:
            least = min(least, self._last)
        return offset - least


class Links:
    """Opens the envelopes of all peers."""

    def __init__(self, nodes: views.MembersView) -> None:
        self._nodes = nodes
        self._links: dict[ids.NodeId, _Link] = {}

    def open(
        self, envelope: wire.Envelope, now: float
    ) -> tuple[messages.Received | None, list[part.Action]]:
        """Return the message inside, None if it must be dropped."""
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
        successor at the same address, or one sent by a process before it
        died arrives after its successor's first.

        A ping meant for the predecessor is taken: it is how a process
        that starts while the platform is down learns of the others, and
        the answer tells them of the new incarnation.
        """
        me = self._nodes.me
        for_me = envelope.to_incarnation in (0, me.incarnation)
        if not for_me and not isinstance(envelope.body, wire.Ping):
            return True
        held = self._nodes.get(envelope.sender)
        return held is not None and held.incarnation > envelope.incarnation

"""Room for the bodies of requests, shared by all ports of a node.

`coordination.requests.bodies` decides which bodies get room; this module
lets the tasks that receive them wait for it.
"""

from collections import abc
import socket
import typing

import eventlet
import eventlet.event
import eventlet.greenthread

from currantwall.coordination.requests import bodies
from currantwall.transport import buffers
from currantwall.transport import journal
from currantwall.transport import metrics as metrics_module

__all__ = ["BODY_TIMEOUT", "Bodies", "NoRoom", "Reservation", "TooSlow"]

# Seconds in which a body must arrive once it has room.
BODY_TIMEOUT = 10.0
# Seconds between two looks at the bodies that are received.
_WATCH_INTERVAL = 0.25
# Unread bytes by which a caller shows that it waits to send more.
_WINDOW_BYTES = 16_384

_RESERVED = "currantwall.bodies.reserved"
_WAITED = "currantwall.bodies.waited"
_REFUSED = "currantwall.bodies.refused"
_SLOW = "currantwall.bodies.slow"


class TooSlow(Exception):  # noqa: N818
    """A body comes too slowly while others wait for room."""


class NoRoom(Exception):  # noqa: N818
    """There is no room for a body.

    Attributes:
        reason: Text of the answer.
        retry_after: Seconds after which the caller should retry.
    """

    def __init__(self, reason: str, retry_after: float) -> None:
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after


class Bodies:
    """Grants room for bodies."""

    def __init__(
        self,
        memory: int,
        meter: metrics_module.Metrics,
        log: journal.Journal,
        now: abc.Callable[[], float],
    ) -> None:
        """Create the budget.

        Args:
            memory: Memory of the node in bytes.
            meter: Counts bodies that waited or were refused.
            log: Gets a line for each body that was refused.
            now: Returns the monotonic time.
        """
        self._budget = bodies.BodyBudget(memory)
        self._meter = meter
        self._log = log
        self._now = now
        self._receiving: dict[int, Reservation] = {}
        self._events: dict[int, eventlet.event.Event] = {}
        self._is_closed = False

    @property
    def has_waiting(self) -> bool:
        """Return whether any body waits for room."""
        return self._budget.has_waiting

    def run(self) -> None:
        """Watch the bodies that are received; does not return.

        Failure: callers that send a few bytes a second take all the room,
        and those that would send at once are refused.
        """
        while True:
            eventlet.sleep(_WATCH_INTERVAL)
            if self._budget.has_waiting:
                self._abort_slow()

    def _abort_slow(self) -> None:
        now = self._now()
        for reservation in list(self._receiving.values()):
            if reservation.is_too_slow(now):
                self._meter.add(_SLOW, 1)
                reservation.abort()

    def close(self) -> None:
        """Refuse all bodies that wait, and further ones without room."""
        self._is_closed = True
        for event in list(self._events.values()):
            if not event.ready():
                event.send(None)

    def reserve(
        self,
        size: int,
        patience: float,
        client: socket.socket,
        caller: str,
        held: int = 0,
        is_invited: bool = False,
    ) -> "Reservation":
        """Return the room for a body; wait until there is some.

        Args:
            size: Bytes of the body.
            patience: Seconds for which to wait at most.
            client: The connection that it comes on.
            caller: IP address of its sender.
            held: Bytes of the same body that have room already.
            is_invited: Whether the caller sends nothing until it is told.

        Raises:
            NoRoom: There was none in time, or none is expected.
        """
        started = self._now()
        claim = self._budget.claim(size, patience, started, held)
        if claim.state is bodies.State.WAITING:
            self._wait(claim, patience)
        if claim.state is not bodies.State.GRANTED:
            self._note_refused(claim, caller, self._now() - started)
            reason = "stopping" if self._is_closed else "no room for the body"
            raise NoRoom(reason, claim.retry_after)
        self._meter.set(_RESERVED, self._budget.used)
        if is_invited or buffers.count_unread(client) >= _WINDOW_BYTES:
            started = self._now()
        reservation = Reservation(self, claim, client, started)
        self._receiving[claim.number] = reservation
        return reservation

    def _wait(self, claim: bodies.Claim, patience: float) -> None:
        """Wait until a claim is granted, or refuse it."""
        self._meter.add(_WAITED, 1)
        event = self._events[claim.number] = eventlet.event.Event()
        try:
            if not self._is_closed:
                with eventlet.Timeout(patience, False):
                    event.wait()
            if claim.state is bodies.State.WAITING:
                self._wake(self._budget.refuse(claim, self._now()))
        except BaseException:
            # The task was killed.
            self.release(claim)
            raise
        finally:
            del self._events[claim.number]

    def _wake(self, granted: abc.Iterable[bodies.Claim]) -> None:
        for claim in granted:
            event = self._events[claim.number]
            if not event.ready():
                event.send(None)

    def _note_refused(
        self, claim: bodies.Claim, caller: str, waited: float
    ) -> None:
        self._meter.add(_REFUSED, 1)
        self._log.write(
            "body_refused",
            caller=caller,
            bytes=claim.size,
            waited=round(waited, 3),
            retry_after=round(claim.retry_after, 3),
            used=self._budget.used,
            limit=self._budget.limit,
            waiting=self._budget.count_waiting(),
            stopping=self._is_closed,
        )

    def end_receiving(self, claim: bodies.Claim, size: int) -> None:
        """Note that a body has come; release what it did not need."""
        self._receiving.pop(claim.number, None)
        self._wake(self._budget.shrink(claim, size, self._now()))

    def release(self, claim: bodies.Claim) -> None:
        """Release all room of a body; further calls have no effect."""
        self._receiving.pop(claim.number, None)
        self._wake(self._budget.release(claim, self._now()))
        self._meter.set(_RESERVED, self._budget.used)


class Reservation:
    """The room of one body.

    Attributes:
        received: Bytes of the body that have come.
    """

    def __init__(
        self,
        owner: Bodies,
        claim: bodies.Claim,
        client: socket.socket,
        started: float,
    ) -> None:
        """Create a reservation for the task that calls this.

        Args:
            owner: What has granted it.
            claim: Its room.
            client: The connection that the body comes on.
            started: Monotonic time since which the caller may send it.
        """
        self._owner = owner
        self._claim = claim
        self._client = client
        self._started = started
        # The task that receives the body; None once it has come.
        self._task: typing.Any = eventlet.getcurrent()
        self.received = 0

    @property
    def size(self) -> int:
        """Return its bytes."""
        return self._claim.size

    def is_too_slow(self, now: float) -> bool:
        """Return whether its caller sends too slowly to be in time.

        What has come and was not read yet is not the caller's fault.
        """
        elapsed = now - self._started
        return bodies.is_too_slow(
            self.received, self.size, elapsed, BODY_TIMEOUT
        ) and not buffers.count_unread(self._client)

    def abort(self) -> None:
        """Raise `TooSlow` in the task that receives the body."""
        if self._task is not None:
            eventlet.greenthread.kill(self._task, TooSlow())

    def end_receiving(self) -> None:
        """Note that the body has come, and keep room for its bytes."""
        self._task = None
        self._owner.end_receiving(self._claim, self.received)

    def release(self) -> None:
        """Release all bytes; further calls have no effect."""
        self._task = None
        self._owner.release(self._claim)

"""What the holder of a fabric domain knows of its instances.

It comes from three sides: the list of registered instances, which lags;
the instances' own reports, 0.2 s old; and the answers to orders, whose
effect is taken for granted until a report shows it.
"""

from collections import abc
import enum

import msgspec

from currantwall.state import ids
from currantwall.state import upstreams

__all__ = [
    "Knowledge",
    "Known",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "ProbeResult",
]

Phase = upstreams.Phase

# Seconds for which a report may be older than an accepted order.
_SETTLE = 1.0
# Seconds before the expected end of a join at which it is asked for.
_EARLY = 0.1
# Seconds until the state of an instance that refused an order is known.
_ASK_AGAIN = 0.25
# Failed probes in a row after which an instance counts as silent.
_SILENT_PROBES = 2
# Seconds since the last report after which a list that says otherwise has
# an instance probed at once; before, the list is the older of the two.
_DIFFERING = 0.5


class OrderKind(enum.Enum):
    """What an engine instance is told to do."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order to one instance.

    Attributes:
        sequence: Orders the instance must have accepted so far; it
            refuses if that differs.
        lasts: Seconds until its effect is complete.
    """

    instance: ids.InstanceId
    address: str
    kind: OrderKind
    sequence: int | None
    model: str = ""
    replica: ids.ReplicaId = ids.ReplicaId("")
    epoch: int = 0
    members: tuple[ids.InstanceId, ...] = ()
    lasts: float = 0.0


class OrderAnswer(msgspec.Struct, frozen=True):
    """How an instance answered an order.

    Attributes:
        accepted: None where no answer came: it may be carried out yet.
        detail: What it said, for the log.
    """

    accepted: bool | None
    detail: str = ""


class ProbeResult(enum.Enum):
    """How an instance answered its last probe."""

    ANSWERED = "answered"
    SILENT = "silent"
    # Nothing listens there, or another instance does.
    REFUSED = "refused"


class Known:
    """What the planner knows of one instance."""

    def __init__(self, upstream: upstreams.Upstream, now: float) -> None:
        self.upstream = upstream
        self.listed = True
        self.missed = 0
        self.refused = False
        self.seen = now
        self.pending_until = 0.0
        # Until when reports of before the last accepted order may come.
        self.settles_at = 0.0
        # Until when a load ordered here keeps the instance from joining.
        self.staging = ""
        self.staging_until = 0.0
        # Whether an order was sent whose effect no report has shown yet.
        self.unsettled = False
        # Whether the list says otherwise than its last report: a load has
        # ended, or a report was missed.
        self.differs = False
        # Until when an accepted order is certainly not complete.
        self.quiet_until = 0.0

    @property
    def is_silent(self) -> bool:
        """Return whether it has left several probes unanswered."""
        return self.missed >= _SILENT_PROBES

    @property
    def is_gone(self) -> bool:
        """Return whether the process has certainly ended."""
        return self.refused

    @property
    def is_alive(self) -> bool:
        """Return whether it answers and is registered."""
        return (
            self.listed and not self.refused and self.missed < _SILENT_PROBES
        )

    @property
    def is_usable(self) -> bool:
        """Return whether a replica may be built with it."""
        return self.is_alive and not self.upstream.leaving


class Knowledge:
    """The instances of one domain."""

    def __init__(self) -> None:
        self.instances: dict[ids.InstanceId, Known] = {}

    def note_list(
        self, listed: abc.Iterable[upstreams.Upstream], now: float
    ) -> None:
        """Take note of the registered instances of this domain."""
        present = set()
        for one in listed:
            present.add(one.id)
            known = self.instances.get(one.id)
            if known is None:
                self.instances[one.id] = Known(one, now)
                continue
            known.listed = True
            known.differs = now - known.seen > _DIFFERING and (
                one.seat != known.upstream.seat
                or one.staged != known.upstream.staged
            )
            if one.born > known.upstream.born:
                known.refused = False
                known.missed = 0
            known.upstream = _merge(known.upstream, one)
        for name, known in list(self.instances.items()):
            if name in present:
                continue
            known.listed = False
            if known.refused or known.missed >= _SILENT_PROBES:
                del self.instances[name]

    def note_report(self, reported: upstreams.Upstream, now: float) -> None:
        """Take note of what an instance says of itself."""
        known = self.instances.get(reported.id)
        if known is None:
            return
        known.missed = 0
        known.refused = False
        known.seen = now
        known.differs = False
        if now < known.settles_at and _is_behind(reported, known.upstream):
            return
        if reported.sequence != known.upstream.sequence:
            known.pending_until = 0.0
        known.unsettled = False
        if reported.born >= known.upstream.born:
            leaving = known.upstream.leaving
            known.upstream = msgspec.structs.replace(reported, leaving=leaving)
        if known.staging in known.upstream.staged:
            known.staging = ""

    def note_failure(
        self, instance: ids.InstanceId, result: ProbeResult
    ) -> bool:
        """Take note of a failed probe; return whether that is a loss."""
        known = self.instances.get(instance)
        if known is None:
            return False
        before = known.is_alive
        if result is ProbeResult.REFUSED:
            known.refused = True
        else:
            known.missed += 1
        return before and not known.is_alive

    def note_answer(
        self, order: Order, accepted: bool | None, now: float
    ) -> None:
        """Take note of the answer to an order; None if there was none."""
        known = self.instances.get(order.instance)
        if known is None:
            return
        if accepted:
            self._assume(known, order, now)
        elif accepted is False:
            # Its state is not what was thought: ask before the next one.
            known.pending_until = now + _ASK_AGAIN
            if order.kind is OrderKind.STAGE:
                known.staging = ""
        known.seen = min(known.seen, now - _ASK_AGAIN)
        known.unsettled = True

    def _assume(self, known: Known, order: Order, now: float) -> None:
        """Take the effect of an accepted order for granted.

        A report shows it 0.2 s later at the earliest; the next step of a
        repair need not wait for that.
        """
        held = known.upstream
        if order.sequence is None or held.sequence != order.sequence:
            return
        seat = held.seat
        if order.kind is OrderKind.LEAVE:
            seat = None
        elif order.kind is OrderKind.JOIN:
            rank = order.members.index(order.instance)
            seat = upstreams.Seat(
                order.replica, order.epoch, rank, Phase.JOINING
            )
        known.upstream = msgspec.structs.replace(
            held, sequence=order.sequence + 1, seat=seat
        )
        known.settles_at = now + _SETTLE
        known.quiet_until = now + max(0.0, order.lasts - _EARLY)
        if order.kind is not OrderKind.OPEN:
            known.pending_until = 0.0

    def find(self, instance: ids.InstanceId) -> upstreams.Upstream | None:
        """Return what is known of an instance."""
        known = self.instances.get(instance)
        return known.upstream if known else None

    def list_replica_members(
        self, instance: ids.InstanceId
    ) -> list[ids.InstanceId]:
        """Return the members of an instance's replica, itself included."""
        known = self.instances.get(instance)
        if known is None or known.upstream.seat is None:
            return []
        seat = known.upstream.seat
        return [
            name
            for name, one in self.instances.items()
            if one.upstream.seat
            and one.upstream.seat.replica == seat.replica
            and one.upstream.seat.epoch == seat.epoch
        ]


def _is_behind(reported: upstreams.Upstream, held: upstreams.Upstream) -> bool:
    """Return whether a report is from before the last accepted order."""
    if reported.born != held.born or held.sequence is None:
        return False
    return reported.sequence is None or reported.sequence < held.sequence


def _merge(
    held: upstreams.Upstream, listed: upstreams.Upstream
) -> upstreams.Upstream:
    """Return what is known of an instance after a look at the list.

    The list lags behind the instance's own reports, so it adds only
    whether the instance leaves. A new life under the same id (`born`)
    supersedes all that was known before.
    """
    if listed.born > held.born:
        return listed
    if listed.born < held.born:
        return held
    if held.sequence is None:
        return listed
    return msgspec.structs.replace(held, leaving=listed.leaving)

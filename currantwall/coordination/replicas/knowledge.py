"""What the holder of a fabric domain knows about its instances.

There are three sources: the list of registered instances, which lags
behind; the instances' own reports, which are 0.2 s old; and the answers to
orders, whose effect is assumed until a report shows it.
"""

from collections import abc
import enum

import msgspec

from currantwall.state import ids
from currantwall.state import upstreams

__all__ = [
    "InstanceRecord",
    "Knowledge",
    "Order",
    "OrderAnswer",
    "OrderKind",
    "ProbeResult",
]

Phase = upstreams.Phase

# Seconds after an accepted order in which a report may still be older than
# the order.
_STALE_REPORT_SECONDS = 1.0
# Seconds before the earliest end of a join at which probes start again.
_PROBE_LEAD_SECONDS = 0.1
# Seconds after a refused order until a probe has shown the instance's state.
_REPROBE_SECONDS = 0.25
# Consecutive missed probes after which an instance counts as silent.
_MISSED_PROBES_LIMIT = 2
# Seconds after which an instance counts as silent that accepts connections
# but answers nothing. A process that stands still for a second or two goes on
# where it was.
_UNRESPONSIVE_LIMIT = 3.0
# Seconds by which the list may lag behind a report: only if the report is
# older does a list that contradicts it cause a probe at once.
_LIST_LAG_SECONDS = 0.5


class OrderKind(enum.Enum):
    """Operation that an engine instance is ordered to carry out."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """One order to one instance.

    Attributes:
        sequence: Number of orders that the instance must have accepted so
            far; it refuses the order if its own number differs.
        min_duration: Seconds that carrying it out takes at least.
    """

    instance: ids.InstanceId
    address: str
    kind: OrderKind
    sequence: int | None
    model: str = ""
    replica: ids.ReplicaId = ids.ReplicaId("")
    epoch: int = 0
    members: tuple[ids.InstanceId, ...] = ()
    min_duration: float = 0.0


class OrderAnswer(msgspec.Struct, frozen=True):
    """How an instance answered an order.

    Attributes:
        accepted: None without an answer: the order may still take effect.
        detail: Text of the answer or error, for the log.
    """

    accepted: bool | None
    detail: str = ""


class ProbeResult(enum.Enum):
    """Whether and how an instance answered a probe."""

    ANSWERED = "answered"
    SILENT = "silent"
    # It accepted a new connection and then sent nothing.
    UNRESPONSIVE = "unresponsive"
    # A new connection ended before the answer.
    BROKEN = "broken"
    # It answered, but not with a report.
    UNREPORTED = "unreported"
    # Nothing listens at the address, or another instance does.
    REFUSED = "refused"
    # This node could not ask.
    UNTRIED = "untried"


class InstanceRecord:
    """What the planner knows about one instance."""

    def __init__(self, upstream: upstreams.Upstream, now: float) -> None:
        self.upstream = upstream
        self.listed = True
        # Probes without an answer since the last report.
        self.missed = 0
        # When it was first unresponsive since the last report.
        self.unresponsive_since: float | None = None
        # Whether a probe was refused since the last report.
        self.refused = False
        # Monotonic time of the last report; moved back after an order.
        self.reported_at = now
        # Time before which no further order is sent.
        self.pending_until = 0.0
        # Time until which a report may be older than the last accepted
        # order.
        self.stale_reports_until = 0.0
        # Model whose weights an order is loading here, or empty. The
        # instance joins no replica meanwhile, at most until the given time.
        self.staging_model = ""
        self.staging_until = 0.0
        # Sequence number with which it reported the weights that it was
        # ordered to load. It may still call itself busy then.
        self.loaded_sequence: int | None = None
        # Whether an order was sent whose effect no report has shown yet.
        self.is_unconfirmed = False
        # Whether the list contradicts the last report: a load has ended, or
        # a report was missed.
        self.contradicts_list = False
        # Time before which the last accepted order can't be complete, so
        # that a probe would show nothing new.
        self.skip_probes_until = 0.0

    @property
    def is_silent(self) -> bool:
        """Return whether several probes in a row got no answer."""
        return self.missed >= _MISSED_PROBES_LIMIT

    @property
    def is_doubtful(self) -> bool:
        """Return whether a probe got no answer since the last report."""
        return self.missed > 0 or self.unresponsive_since is not None

    @property
    def is_refusing(self) -> bool:
        """Return whether it refuses probes.

        Its process has ended, or no longer listens but may still finish its
        requests, or another instance has its address.
        """
        return self.refused

    @property
    def is_alive(self) -> bool:
        """Return whether it is registered and answers probes."""
        return (
            self.listed
            and not self.refused
            and self.missed < _MISSED_PROBES_LIMIT
        )

    @property
    def is_loading(self) -> bool:
        """Return whether it loads weights, by an order or its own report.

        An earlier holder of the domain may have ordered the load.
        """
        return bool(self.staging_model) or self.reports_load

    @property
    def reports_load(self) -> bool:
        """Return whether it loads weights by its own report."""
        seat = self.upstream.seat
        is_joining = seat is not None and seat.phase is Phase.JOINING
        has_ended = self.upstream.sequence == self.loaded_sequence
        return self.upstream.busy and not is_joining and not has_ended

    @property
    def is_usable(self) -> bool:
        """Return whether a replica may be formed with it."""
        return self.is_alive and not self.upstream.leaving


class Knowledge:
    """The records of the instances of one domain."""

    def __init__(self) -> None:
        self.instances: dict[ids.InstanceId, InstanceRecord] = {}

    def note_list(
        self, listed: abc.Iterable[upstreams.Upstream], now: float
    ) -> None:
        """Process the list of registered instances of this domain."""
        listed_ids = set()
        for upstream in listed:
            listed_ids.add(upstream.id)
            record = self.instances.get(upstream.id)
            if record is None:
                self.instances[upstream.id] = InstanceRecord(upstream, now)
                continue
            record.listed = True
            record.contradicts_list = (
                now - record.reported_at > _LIST_LAG_SECONDS
                and (
                    upstream.seat != record.upstream.seat
                    or upstream.staged != record.upstream.staged
                )
            )
            if upstream.born > record.upstream.born:
                record.refused = False
                record.missed = 0
                record.unresponsive_since = None
            record.upstream = _merge_listed(record.upstream, upstream)
        for name, record in list(self.instances.items()):
            if name in listed_ids:
                continue
            record.listed = False
            if record.refused or record.missed >= _MISSED_PROBES_LIMIT:
                del self.instances[name]

    def note_report(self, reported: upstreams.Upstream, now: float) -> None:
        """Process an instance's report of its own state."""
        record = self.instances.get(reported.id)
        if record is None:
            return
        record.missed = 0
        record.unresponsive_since = None
        record.refused = False
        record.reported_at = now
        record.contradicts_list = False
        if now < record.stale_reports_until and _is_stale(
            reported, record.upstream
        ):
            return
        if reported.sequence != record.upstream.sequence:
            record.pending_until = 0.0
        record.is_unconfirmed = False
        if reported.born >= record.upstream.born:
            leaving = record.upstream.leaving
            record.upstream = msgspec.structs.replace(
                reported, leaving=leaving
            )
        if record.staging_model in record.upstream.staged:
            record.staging_model = ""
            record.loaded_sequence = record.upstream.sequence

    def note_failure(
        self, instance: ids.InstanceId, result: ProbeResult, now: float
    ) -> bool:
        """Process a failed probe; return whether the instance is now lost.

        Failure: a process stands still for a second, its replica is
        dissolved as if it had ended, and the requests there are lost.
        """
        record = self.instances.get(instance)
        if record is None:
            return False
        was_alive = record.is_alive
        if result is ProbeResult.REFUSED:
            record.refused = True
        elif result is ProbeResult.UNRESPONSIVE:
            if record.unresponsive_since is None:
                record.unresponsive_since = now
            is_over = now - record.unresponsive_since >= _UNRESPONSIVE_LIMIT
            record.missed = _MISSED_PROBES_LIMIT if is_over else 0
        else:
            record.missed += 1
        return was_alive and not record.is_alive

    def note_answer(
        self, order: Order, accepted: bool | None, now: float
    ) -> None:
        """Process the answer to an order; None if there was none."""
        record = self.instances.get(order.instance)
        if record is None:
            return
        if accepted:
            self._assume_effect(record, order, now)
        elif accepted is False:
            # Its state differs from this record: probe it before the next
            # order.
            record.pending_until = now + _REPROBE_SECONDS
            if order.kind is OrderKind.STAGE:
                record.staging_model = ""
        record.reported_at = min(record.reported_at, now - _REPROBE_SECONDS)
        record.is_unconfirmed = True

    def _assume_effect(
        self, record: InstanceRecord, order: Order, now: float
    ) -> None:
        """Assume that an accepted order has taken effect.

        A report shows the effect 0.2 s later at the earliest; the next step
        of a repair does not wait for it.
        """
        upstream = record.upstream
        if order.sequence is None or upstream.sequence != order.sequence:
            return
        seat = upstream.seat
        if order.kind is OrderKind.LEAVE:
            seat = None
        elif order.kind is OrderKind.JOIN:
            rank = order.members.index(order.instance)
            seat = upstreams.Seat(
                order.replica, order.epoch, rank, Phase.JOINING
            )
        record.upstream = msgspec.structs.replace(
            upstream, sequence=order.sequence + 1, seat=seat
        )
        record.stale_reports_until = now + _STALE_REPORT_SECONDS
        record.skip_probes_until = now + max(
            0.0, order.min_duration - _PROBE_LEAD_SECONDS
        )
        if order.kind is not OrderKind.OPEN:
            record.pending_until = 0.0

    def find(self, instance: ids.InstanceId) -> upstreams.Upstream | None:
        """Return the known state of an instance, None if it is unknown."""
        record = self.instances.get(instance)
        return record.upstream if record else None

    def list_replica_members(
        self, instance: ids.InstanceId
    ) -> list[ids.InstanceId]:
        """Return the members of an instance's replica, itself included."""
        record = self.instances.get(instance)
        if record is None or record.upstream.seat is None:
            return []
        seat = record.upstream.seat
        return [
            other_id
            for other_id, other in self.instances.items()
            if other.upstream.seat
            and other.upstream.seat.replica == seat.replica
            and other.upstream.seat.epoch == seat.epoch
        ]


def _is_stale(
    reported: upstreams.Upstream, current: upstreams.Upstream
) -> bool:
    """Return whether a report is older than the last accepted order."""
    if reported.born != current.born or current.sequence is None:
        return False
    return reported.sequence is None or reported.sequence < current.sequence


def _merge_listed(
    current: upstreams.Upstream, listed: upstreams.Upstream
) -> upstreams.Upstream:
    """Return the state of an instance after a read of the list.

    The list lags behind the instance's own reports, so once there is one
    only `leaving` is taken from the list. If the instance has restarted
    under its id, as a later `born` shows, the listed state replaces all of
    the earlier one.
    """
    if listed.born > current.born:
        return listed
    if listed.born < current.born:
        return current
    if current.sequence is None:
        return listed
    return msgspec.structs.replace(current, leaving=listed.leaving)

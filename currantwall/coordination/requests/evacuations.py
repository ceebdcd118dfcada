"""Data centres that an operator has evacuated.

From the bound after the request to evacuate a data centre until the
request is withdrawn, no node sends a request to an upstream there. The
requests are objects in the store. A few nodes watch them and report them
to the others; of two reports the one with the higher revision wins. Where
the store has come back from an older copy, requests that it has forgotten
stay in effect until the operator has had the time to write them again.

The load pattern: any number of nodes under full load, some of which are
refused by the store, cut off from others or have just started. A node that
has not learnt the evacuations treats every data centre as evacuated.
Otherwise it would send requests to evacuated upstreams until it hears of
them.
"""

from collections import abc
import math

import msgspec

from currantwall.state import evacuations as evacuations_module
from currantwall.state import ids
from currantwall.state import revisions

__all__ = ["Change", "Evacuations"]

# Seconds for which a change is reported if no data centre is evacuated
# any more: 25 rounds of heartbeats, most of which may be lost.
_REPORT_SECONDS = 10.0
# Seconds after the store was restored in which nothing is withdrawn.
_RESTORE_SECONDS = 10.0
# Part of the bound for which a node that did not run may have missed an
# evacuation: it learns one within 1 s of the bound of 5 s.
_SUSPENSION_RATIO = 0.5
# Seconds after a suspension within which reports may still be ones that
# were received before it: heartbeats come every 0.4 s.
_SETTLE_SECONDS = 0.6
# Seconds after which the choice of an upstream is outdated. Opening a
# connection takes at most 0.4 s.
_SEND_SECONDS = 1.0


class Change(msgspec.Struct, frozen=True):
    """Difference that a report made.

    Attributes:
        begun: Data centres that have been evacuated.
        withdrawn: Data centres whose evacuation has been withdrawn.
    """

    begun: tuple[ids.DatacentreName, ...] = ()
    withdrawn: tuple[ids.DatacentreName, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.begun or self.withdrawn)


class Evacuations:
    """The evacuated data centres as this node knows them.

    All times are monotonic, in seconds.

    Attributes:
        is_known: Whether this node may send requests: it has learnt the
            evacuations, or nothing could inform it.
        revision: Revision of the store that was learnt; 0 for none.
        generation: Counts the changes of what `is_evacuated` returns.
        on_withdrawn: Called with a data centre and the time when its
            evacuation has been withdrawn.
        on_unconfirmed: Called with the seconds for which this node did not
            run, when it starts to wait for confirmation.
    """

    def __init__(self, bound: float | None = None, now: float = 0.0) -> None:
        """Create the state of a node that has learnt nothing yet.

        Args:
            bound: Seconds from the request for an evacuation until no more
                requests may be sent; None if there are no evacuations.
            now: The present time.
        """
        self._bound = bound
        self._datacentres: frozenset[ids.DatacentreName] = frozenset()
        # Evacuated when the store was restored, and until when these stay so
        # whatever it lists.
        self._retained: frozenset[ids.DatacentreName] = frozenset()
        self._retained_until = now
        self._heard_at = now
        self._reported_until = now
        # When this node last ran, and from when reports are known to be new.
        self._ran_at = now
        self._confirm_from = now
        self.is_known = bound is None
        self.revision = 0
        self.generation = 0
        self.on_withdrawn: abc.Callable[[ids.DatacentreName, float], None] = (
            _ignore
        )
        self.on_unconfirmed: abc.Callable[[float], None] = _ignore_suspension

    # -- Input from the store and from other nodes

    def note(
        self,
        revision: int,
        datacentres: abc.Iterable[ids.DatacentreName],
        now: float,
        *,
        is_current: bool = True,
        retained_for: float = 0.0,
    ) -> Change:
        """Record the evacuations as of a revision of the store.

        Args:
            revision: The revision; a lower one than before is ignored.
            datacentres: All evacuated data centres.
            now: Time of the report.
            is_current: Whether the report is from the store or from a node
                that is ready. Another node may have been suspended: its
                names are applied, but do not end the wait for others.
            retained_for: Seconds for which the data centres stay evacuated
                whatever the store lists, as another node knows.

        Returns:
            What has changed.
        """
        if self._bound is None:
            return Change()
        if is_current:
            self._heard_at = now
        listed = frozenset(datacentres)
        is_told = self._retain(listed, now, retained_for)
        if revision < self.revision:
            if listed != self._datacentres:
                # The sender was cut off. It hears of a withdrawal only if
                # that is still reported.
                self._reported_until = now + _REPORT_SECONDS
            if not is_told:
                return Change()
            listed, revision = self._datacentres, self.revision
        elif is_current:
            self._confirm(now)
        if revision == self.revision and not self._retained:
            return Change()
        listed |= self._update_retained(revision, now)
        self.revision = revision
        return self._replace(listed, now)

    def _replace(
        self, listed: frozenset[ids.DatacentreName], now: float
    ) -> Change:
        """Replace the evacuated data centres; return what has changed."""
        change = Change(
            tuple(sorted(listed - self._datacentres)),
            tuple(sorted(self._datacentres - listed)),
        )
        if change:
            self.generation += 1
            self._reported_until = now + _REPORT_SECONDS
        self._datacentres = listed
        for datacentre in change.withdrawn:
            self.on_withdrawn(datacentre, now)
        return change

    def _retain(
        self,
        told: frozenset[ids.DatacentreName],
        now: float,
        retained_for: float,
    ) -> bool:
        """Retain what another node retains; return whether that is new.

        Failure: a node that starts just after a restore has never heard of
        an evacuation that the store has forgotten.
        """
        if retained_for <= 0 or told <= self._retained:
            return False
        self._retained |= told
        until = now + retained_for
        self._retained_until = max(self._retained_until, until)
        return True

    def _update_retained(
        self, revision: int, now: float
    ) -> frozenset[ids.DatacentreName]:
        """Return the data centres that stay evacuated whatever is listed.

        Failure: the store has come back from a copy from before a request,
        and requests are sent there until the operator has written it again.
        """
        if self.revision and revisions.is_later_era(revision, self.revision):
            self._retained |= self._datacentres
            self._retained_until = now + _RESTORE_SECONDS
        elif now >= self._retained_until:
            self._retained = frozenset()
        return self._retained

    def note_contact(self, now: float, is_informed: bool) -> None:
        """Record that another node, which has no news, is ready.

        Failure: nodes that start during an outage of the store wait for a
        node that has learnt nothing either, and never become ready.

        Args:
            now: Time of the contact.
            is_informed: Whether the other node has learnt the evacuations.
                One that has not ends no wait and extends none.
        """
        if not is_informed:
            return
        self._heard_at = now
        if self.revision:
            self._confirm(now)

    def _confirm(self, now: float) -> None:
        """Record that what this node knows is not outdated."""
        if not self.is_known and now >= self._confirm_from:
            self.is_known = True
            self.generation += 1

    def note_time(self, now: float) -> None:
        """Record that this node runs.

        Failure: a process that was suspended resumes with requests in its
        sockets, and sends them before it has read the reports. It treats
        every data centre as evacuated until it hears a new one.
        """
        if self._bound is None:
            return
        suspended = now - self._ran_at
        self._ran_at = now
        if self.is_known and suspended > _SUSPENSION_RATIO * self._bound:
            self.is_known = False
            self.generation += 1
            self._heard_at = now
            self._confirm_from = now + _SETTLE_SECONDS
            self.on_unconfirmed(suspended)

    def expire(self, now: float) -> bool:
        """End the wait for the evacuations if nothing can tell them.

        Failure: a node that is cut off from the store and from all nodes
        would refuse requests for as long, although it can serve them.

        Returns:
            Whether the wait has ended just now.
        """
        if self.is_known or self._bound is None:
            return False
        if now - self._heard_at <= self._bound:
            return False
        self.is_known = True
        self.generation += 1
        return True

    # -- Queries

    @property
    def is_active(self) -> bool:
        """Return whether any data centre counts as evacuated."""
        return not self.is_known or bool(self._datacentres)

    def is_evacuated(self, datacentre: ids.DatacentreName) -> bool:
        """Return whether a data centre may get no requests."""
        return not self.is_known or datacentre in self._datacentres

    @property
    def refusal_reason(self) -> str:
        """Return why no request is sent where every data centre is excluded.

        Callers and the log are not told of evacuations that nobody has
        requested.
        """
        if not self.is_known:
            return "the evacuated data centres are not known"
        return "all data centres are evacuated"

    def get_send_deadline(self, datacentre: ids.DatacentreName) -> float:
        """Return until when a request may be sent to a chosen upstream.

        Failure: a process is suspended while it opens the connection, and
        sends the request when it resumes.

        Args:
            datacentre: Data centre of the upstream.
        """
        if self._bound is None:
            return math.inf
        if self.is_evacuated(datacentre):
            return -math.inf
        return self._ran_at + _SEND_SECONDS

    def list_datacentres(self) -> list[ids.DatacentreName]:
        """Return the evacuated data centres that are known, sorted."""
        return sorted(self._datacentres)

    def list_reports(
        self, now: float
    ) -> evacuations_module.EvacuationReport | None:
        """Return the report for the other nodes; None if none is due."""
        if not self._datacentres and now >= self._reported_until:
            return None
        return self.make_report(now)

    def make_report(
        self, now: float
    ) -> evacuations_module.EvacuationReport | None:
        """Return what this node has learnt; None if nothing."""
        if not self.revision:
            return None
        left = self._retained_until - now if self._retained else 0.0
        return evacuations_module.EvacuationReport(
            self.revision,
            tuple(self.list_datacentres()),
            round(max(left, 0.0), 3),
        )


def _ignore(datacentre: ids.DatacentreName, now: float) -> None:
    return


def _ignore_suspension(seconds: float) -> None:
    return

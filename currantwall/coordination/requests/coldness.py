"""Decides which upstreams are cold, and until when.

The load pattern: a data centre returns, or instances are replaced, while
callers send more than the warm upstreams take. An upstream that has just
started is slow for some seconds and crashes if it gets its usual share of
the requests. Its entry says for how long, and answers may say so too.

A node reads an entry seconds after it was written, and counts the time that
is left from the reading, so that an old entry gives a later end, never an
earlier one. `ratelimits` then limits the requests of all nodes.
"""

from collections import abc

import msgspec

from currantwall.coordination.requests import ratelimits
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams

__all__ = ["Coldness"]

# Seconds after an answer that said an upstream is cold within which an entry
# that says it is warm was probably written earlier: a stale read lags by up
# to 2 s, and a follower by 0.3 s more.
_ENTRY_AGE = 2.5
# Seconds for which an instance is taken for cold at most, by one entry or
# answer. A faulty one must not limit its requests for good.
_LONGEST = 120.0
# Seconds for which an instance that is no longer listed is remembered. Its
# entry returns after an outage, which is no start.
_RETENTION = 60.0
# Seconds by which the end of the cold time must move later to be reported.
# Each answer moves it a little, because the time is counted from its arrival.
_EXTENSION = 0.3


class _Known(msgspec.Struct):
    """What was last known of an instance.

    Attributes:
        born: Start of its process.
        listed_at: When its entry last changed.
        answered_at: When an answer last said whether it is cold; 0 for
            never.
        unlisted_at: When it was first found to be unlisted; None while it
            is listed.
        is_applied: Whether its entry was recorded, as its service was
            configured.
        reported_until: End of the cold time that this node last reported.
    """

    born: int
    listed_at: float
    answered_at: float = 0.0
    unlisted_at: float | None = None
    is_applied: bool = False
    reported_until: float = 0.0


class Coldness:
    """Tells the limits which upstreams are cold.

    Attributes:
        services: Returns the configured services.
    """

    def __init__(
        self, fleet: upstreams.Fleet, limits: ratelimits.RateLimits
    ) -> None:
        self.services: abc.Callable[[], abc.Iterable[routes.Service]] = tuple
        self._fleet = fleet
        self._limits = limits
        limits.get_cold_rate = self.get_cold_rate
        self._known: dict[ids.InstanceId, _Known] = {}

    def get_cold_rate(self, instance: ids.InstanceId) -> float:
        """Return the requests a second that a cold instance sustains.

        0 if its service states none, or no time for which it is cold.
        """
        upstream = self._fleet.get(instance)
        if upstream is None:
            return 0.0
        service = self._find_service(upstream.service)
        return service.cold_rate if service is not None else 0.0

    def _find_service(self, name: ids.ServiceName) -> routes.Service | None:
        """Return a service whose instances start cold, None for others."""
        for service in self.services():
            if service.name == name and service.starts_cold:
                return service
        return None

    def note_change(
        self, change: upstreams.Change, has_traffic: bool, now: float
    ) -> list[ids.InstanceId]:
        """Record the instances that the list added or changed.

        Args:
            change: Difference that the list made.
            has_traffic: Whether this node knew a list before, and a request
                has been sent to an upstream. An instance that has just
                started is then cold until its entry says how long.
            now: Monotonic time.

        Returns:
            The instances that are cold since then.
        """
        found = []
        for upstream in change.new:
            was_cold = self._limits.is_cold(upstream.id, now)
            service = self._find_service(upstream.service)
            if service is not None:
                self._note_entry(upstream, service, has_traffic, now)
                if not was_cold and self._limits.is_cold(upstream.id, now):
                    found.append(upstream.id)
            known = self._known.setdefault(upstream.id, _Known(0, now))
            known.born, known.listed_at = upstream.born, now
            known.is_applied = service is not None
        return found

    def note_services(self, now: float) -> None:
        """Record what entries say that were read before the configuration.

        Failure: a node that starts reads the list first, and sends cold
        upstreams their usual share until their entries change. Each entry
        is recorded once: its time would begin again at every change of the
        configuration.
        """
        for upstream in self._fleet.all():
            service = self._find_service(upstream.service)
            known = self._known.get(upstream.id)
            if service is None or known is None or known.is_applied:
                continue
            known.is_applied = True
            is_answered = known.answered_at >= known.listed_at
            if upstream.cold_left <= 0 or is_answered:
                continue
            if not self._limits.get_cold_left(upstream.id, now):
                self._note_entry(upstream, service, False, now)

    def _note_entry(
        self,
        upstream: upstreams.Upstream,
        service: routes.Service,
        has_traffic: bool,
        now: float,
    ) -> None:
        """Record what an entry that was added or changed says."""
        known = self._known.get(upstream.id)
        is_new = known is None or known.born != upstream.born
        left = upstream.cold_left
        if upstream.tells_coldness:
            is_outdated = self._is_outdated(upstream.id, now)
            if left <= 0 and not is_new and is_outdated:
                return
        elif is_new and has_traffic:
            left = service.cold_start
        else:
            return
        self._limits.note_cold(
            upstream.id, service.cold_rate, now + min(left, _LONGEST), now
        )

    def _is_outdated(self, instance: ids.InstanceId, now: float) -> bool:
        """Return whether an answer is newer than the entry read now.

        Answers to other nodes count, which have reported them.
        """
        answered_at = self._limits.get_cold_answer_time(instance)
        return now - answered_at <= _ENTRY_AGE

    def note_withdrawn(
        self, datacentre: ids.DatacentreName, now: float
    ) -> None:
        """Record that the evacuation of a data centre has ended.

        Its instances may have become cold without any entry that says so.
        """
        for service in self.services():
            if service.starts_cold:
                returned = [
                    upstream.id
                    for upstream in self._fleet.list_service(service.name)
                    if upstream.datacentre == datacentre
                ]
                end = now + service.cold_start
                self._limits.note_returned(returned, end, now)

    def note_answer(
        self, upstream: upstreams.Upstream, left: float, now: float
    ) -> bool:
        """Record the time for which an answer says an upstream is cold.

        Args:
            upstream: The upstream.
            left: Seconds for which it is cold; 0 if it is warm.
            now: Monotonic time.

        Returns:
            Whether this changes what this node knew. The other nodes are
            then told.
        """
        service = self._find_service(upstream.service)
        if service is None:
            return False
        known_until = now + self._limits.get_cold_left(upstream.id, now)
        was_cold = known_until > now
        until = now + min(left, _LONGEST)
        self._limits.note_cold(upstream.id, service.cold_rate, until, now, now)
        known = self._known.setdefault(upstream.id, _Known(upstream.born, now))
        known.answered_at = now
        if not was_cold:
            known.reported_until = 0.0
        elif not known.reported_until:
            # An entry or another node's report said so.
            known.reported_until = known_until
        is_extended = left > 0 and until > known.reported_until + _EXTENSION
        changed = was_cold != (left > 0) or is_extended
        if changed:
            known.reported_until = until if left > 0 else 0.0
            self._limits.report_cold(upstream.id, now)
        return changed

    def expire(self, now: float) -> None:
        """Forget instances that left the list long ago."""
        for name, known in list(self._known.items()):
            if self._fleet.get(name) is not None:
                known.unlisted_at = None
            elif known.unlisted_at is None:
                known.unlisted_at = now
            elif now - known.unlisted_at > _RETENTION:
                del self._known[name]

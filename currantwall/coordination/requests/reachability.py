"""Upstreams at which no connection can be opened.

Failure: the entries of many upstreams outlive them, after a loss of power or
because another system wrote them. Each gateway finds out about each of them by
its callers' requests, and again after every ejection.

An upstream that refuses a connection, or doesn't answer its opening, is a
suspect: it is used where no other upstream is left. A few nodes try it in
turn, and tell the others what they have found. It is no suspect any more once
a connection is open, or its process has another start.
"""

from collections import abc

from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Reachability"]

# Seconds between two tries of a suspect by one node, and the nodes that try
# it. The first of them tries it once sooner: it may have just started.
_TRY_INTERVAL = 1.0
_FIRST_INTERVAL = 0.3
_TRYING_NODES = 2
# Most suspects that a node tries in one round.
_MAX_DUE = 8
# Seconds for which a finding is reported: several heartbeats, some of which
# may be lost.
_REPORT_SECONDS = 2.0
# Most findings in one report, 20 bytes each.
_MAX_REPORTED = 48
# Seconds after which any other node tries a suspect as well, as it may have
# missed that it is none any more. They double with each try, up to a number,
# or half of the number of nodes.
_OTHERS_INTERVAL = 2.0
_LONG_INTERVAL = 20.0
_MAX_DOUBLINGS = 10
# Seconds for which what this node has got from an upstream counts more than
# another node's report.
_OWN_SECONDS = 1.0


class _Suspect:
    """An upstream that could not be connected to."""

    def __init__(self, upstream: upstreams.Upstream, at: float) -> None:
        self.upstream = upstream
        self.at = at
        self.next_try = at + _FIRST_INTERVAL
        self.is_new = True
        self.tries = 0
        self.hash = hashing.hash_text(upstream.id)


class Reachability:
    """Which upstreams this node, or another one, could not connect to.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        self._suspects: dict[ids.InstanceId, _Suspect] = {}
        # When this node last opened a connection, or got an answer.
        self._opened: dict[ids.InstanceId, float] = {}
        # Start and address of the upstreams that `list_new` has looked at.
        self._seen: dict[ids.InstanceId, tuple[int, str]] = {}
        # Findings to report: start, time, whether open, until when.
        self._news: dict[ids.InstanceId, tuple[int, float, bool, float]] = {}

    @property
    def has_suspects(self) -> bool:
        """Return whether there are any suspects."""
        return bool(self._suspects)

    def list_suspects(self) -> set[ids.InstanceId]:
        """Return the upstreams that may not be reachable."""
        return set(self._suspects)

    def is_suspect(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream may not be reachable."""
        suspect = self._suspects.get(upstream.id)
        return suspect is not None and _is_same(suspect.upstream, upstream)

    def has_opened(self, instance: ids.InstanceId) -> bool:
        """Return whether this node has ever connected to an upstream."""
        return instance in self._opened

    # -- Findings of this node

    def note_opened(self, instance: ids.InstanceId, now: float) -> None:
        """Record that a connection was opened, or an answer has come."""
        self._opened[instance] = now
        suspect = self._suspects.pop(instance, None)
        if suspect is not None:
            self._tell(suspect.upstream, now, True)

    def note_unreached(self, upstream: upstreams.Upstream, now: float) -> None:
        """Record that no connection could be opened."""
        known = self._suspects.get(upstream.id)
        if known is None or not _is_same(known.upstream, upstream):
            self._suspects[upstream.id] = _Suspect(upstream, now)
            self._tell(upstream, now, False)
            return
        known.at = now

    def forgive(self, since: float) -> None:
        """Forget what was found after a time, as this node had no path."""
        for instance, suspect in list(self._suspects.items()):
            if suspect.at >= since:
                del self._suspects[instance]
                self._news.pop(instance, None)

    def list_new(
        self,
        listed: abc.Iterable[upstreams.Upstream],
        nodes: abc.Sequence[ids.NodeId],
        me: ids.NodeId,
    ) -> list[upstreams.Upstream]:
        """Return upstreams that this node should try to connect to once.

        Failure: a node that starts finds out by its callers' requests which
        of the listed upstreams are gone.

        Args:
            listed: All upstreams.
            nodes: All nodes that may try, sorted.
            me: This node.
        """
        found = []
        turns = _Turns(nodes, me)
        for upstream in listed:
            life = upstream.born, upstream.address
            if self._seen.get(upstream.id) == life:
                continue
            self._seen[upstream.id] = life
            is_known = self.is_suspect(upstream) or self.has_opened(
                upstream.id
            )
            turn = turns.find(hashing.hash_text(upstream.id))
            if not is_known and turn < _TRYING_NODES:
                found.append(upstream)
        return found

    def list_due(
        self, nodes: abc.Sequence[ids.NodeId], me: ids.NodeId, now: float
    ) -> list[upstreams.Upstream]:
        """Return the suspects that this node should try to connect to.

        Args:
            nodes: All nodes that may try, sorted.
            me: This node.
            now: The present time.
        """
        due = []
        turns = _Turns(nodes, me)
        for suspect in self._suspects.values():
            if now < suspect.next_try:
                continue
            turn = turns.find(suspect.hash)
            if suspect.is_new and turn:
                suspect.is_new = False
                is_trying = turn < _TRYING_NODES
                interval = _TRY_INTERVAL if is_trying else _OTHERS_INTERVAL
                suspect.next_try = suspect.at + interval
            else:
                due.append((suspect, turn))
        due.sort(key=lambda item: item[0].next_try)
        del due[_MAX_DUE:]
        for suspect, turn in due:
            suspect.is_new = False
            suspect.tries += 1
            suspect.next_try = now + _TRY_INTERVAL
            if turn >= _TRYING_NODES:
                suspect.next_try = now + min(
                    _OTHERS_INTERVAL * 2 ** min(suspect.tries, _MAX_DOUBLINGS),
                    max(_LONG_INTERVAL, len(nodes) / 2),
                )
        return [suspect.upstream for suspect, _ in due]

    def expire(self, is_listed: abc.Callable[[ids.InstanceId], bool]) -> None:
        """Forget upstreams that are no longer listed."""
        for found in (self._suspects, self._opened, self._seen):
            for instance in list(found):
                if not is_listed(instance):
                    del found[instance]

    # -- Findings of other nodes

    def make_report(
        self, now: float
    ) -> dict[ids.InstanceId, upstreams.Finding]:
        """Return the latest findings of this node."""
        report: dict[ids.InstanceId, upstreams.Finding] = {}
        for instance, item in list(self._news.items()):
            born, at, is_open, until = item
            if until <= 0:
                until = now + _REPORT_SECONDS
            elif now > until:
                del self._news[instance]
                continue
            self._news[instance] = born, at, is_open, until
            report[instance] = upstreams.Finding(
                born, max(now - at, 0.0), is_open
            )
            if len(report) >= _MAX_REPORTED:
                break
        return report

    def note_report(
        self,
        report: abc.Mapping[ids.InstanceId, upstreams.Finding],
        find: abc.Callable[[ids.InstanceId], upstreams.Upstream | None],
        now: float,
    ) -> None:
        """Apply what another node has found.

        Failure: a burst fills the backlog of an upstream, and one refusal
        has the whole fleet avoid it. A node that has just connected to it
        goes by that.

        Args:
            report: The findings.
            find: Returns an upstream as listed.
            now: The present time.
        """
        for instance, finding in report.items():
            upstream = find(instance)
            if upstream is None or upstream.born != finding.born:
                continue
            at = now - finding.age
            suspect = self._suspects.get(instance)
            if finding.is_open:
                if suspect is not None and suspect.at < at:
                    del self._suspects[instance]
            elif suspect is None:
                opened = self._opened.get(instance)
                if opened is None or opened < at - _OWN_SECONDS:
                    self._suspects[instance] = _Suspect(upstream, at)
            else:
                suspect.at = max(suspect.at, at)

    def _tell(
        self,
        upstream: upstreams.Upstream,
        at: float,
        is_open: bool,
    ) -> None:
        self._news.pop(upstream.id, None)
        self._news[upstream.id] = upstream.born, at, is_open, 0.0


class _Turns:
    """The place of a node among all that try an upstream."""

    def __init__(
        self, nodes: abc.Sequence[ids.NodeId], me: ids.NodeId
    ) -> None:
        self._position = nodes.index(me) if me in nodes else 0
        self._count = max(len(nodes), 1)

    def find(self, number: int) -> int:
        """Return the place, from 0, for the hash of an upstream."""
        return (self._position - number) % self._count


def _is_same(known: upstreams.Upstream, listed: upstreams.Upstream) -> bool:
    return (known.born, known.address) == (listed.born, listed.address)

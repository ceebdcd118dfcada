"""Whether the process still lives that has ended an answer by its close.

An answer with neither a length nor chunks ends with its connection, and the
kernel of a process that dies closes that as the process itself would. The
kernel may go on accepting connections for a while, and another process may
accept them at the same address. Only an answer of the same process, to a
request that was sent after the end, proves that the answer is whole.
"""

import enum

from currantwall.coordination.replicas import knowledge
from currantwall.state import ids
from currantwall.state import upstreams

__all__ = ["Endings", "Finding", "judge_probe"]

_ENDED_RESULTS = (
    knowledge.ProbeResult.REFUSED,
    knowledge.ProbeResult.BROKEN,
)


class Finding(enum.Enum):
    """What a check has found out about an upstream."""

    ALIVE = "alive"
    # Nothing listens at its address, a new connection to it broke as well,
    # or it has started again.
    ENDED = "ended"
    # It did not answer: it may be silent, or cut off from this node.
    UNKNOWN = "unknown"


def judge_probe(result: knowledge.ProbeResult) -> Finding:
    """Return what a probe says that has brought no report."""
    if result is knowledge.ProbeResult.ANSWERED:
        return Finding.ALIVE
    if result in _ENDED_RESULTS:
        return Finding.ENDED
    return Finding.UNKNOWN


class Endings:
    """Judges the answers of upstreams, and knows which services report.

    A report names the start of its process. The health of a service without
    reports does not: a restart under the same id is not noticed there.
    """

    def __init__(self) -> None:
        # Whether the instances of a service answer requests for reports.
        self._has_reports: dict[ids.ServiceName, bool] = {}

    def may_report(self, upstream: upstreams.Upstream) -> bool:
        """Return whether to ask an upstream for a report."""
        return self._has_reports.get(upstream.service, True)

    def judge_report(
        self,
        upstream: upstreams.Upstream,
        found: upstreams.Upstream | knowledge.ProbeResult,
    ) -> Finding | None:
        """Return what a request for a report has shown.

        Args:
            upstream: The upstream, as known when its request was sent.
            found: Its report, or how it answered.

        Returns:
            None if its health tells, as its service may have no reports.
        """
        if isinstance(found, upstreams.Upstream):
            self._has_reports[upstream.service] = True
            has_restarted = bool(upstream.born) and (
                found.born != upstream.born
            )
            return Finding.ENDED if has_restarted else Finding.ALIVE
        is_unreported = found is knowledge.ProbeResult.UNREPORTED
        knows_reports = self._has_reports.get(upstream.service, False)
        if is_unreported and not (upstream.domain or knows_reports):
            return None
        return judge_probe(found)

    def judge_health(
        self, upstream: upstreams.Upstream, result: knowledge.ProbeResult
    ) -> Finding:
        """Return what a request for the health of an upstream has shown."""
        finding = judge_probe(result)
        if finding is Finding.ALIVE:
            self._has_reports.setdefault(upstream.service, False)
        return finding

"""Deciding from the observers' evidence which replicas may be used.

A replica generation may be used if an observer has recently found every
member alive in it, no observer has proof that it is broken, and no
connection from this node to it has failed since. Evidence expires, so a
node that is cut off from the observers stops using replicas by itself.
"""

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import objects
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["Evidence", "UpstreamFailed"]

# Number of observers whose evidence is kept for one subject: the two
# current ones, and former ones whose evidence has not expired yet.
_EVIDENCE_LIMIT = 6


class UpstreamFailed(part.Message, frozen=True):
    """This node's own connection to a replica or instance failed."""

    subject: str
    generation: int


class _ObserverEvidence(msgspec.Struct):
    """The last evidence of one observer, with times of this node's clock.

    Attributes:
        probed_at: When the oldest probe behind the verdict was sent, at
            the latest.
        received_at: When the evidence arrived.
    """

    verdict: wire.Verdict
    generation: int
    serial: int
    probed_at: float
    received_at: float


class _Load(msgspec.Struct):
    """The load that the leader of a replica last reported."""

    running: int
    queued: int
    probed_at: float
    cache_version: int = 0


class Evidence(part.Part):
    """Keeps the observers' evidence and answers the router's queries."""

    def __init__(
        self,
        view: views.ObjectsView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._ttl = settings.evidence_ttl
        self._by_subject: dict[str, dict[ids.NodeId, _ObserverEvidence]] = {}
        self._loads: dict[str, _Load] = {}
        # Generation and time of the last failed connection to a subject.
        self._failures: dict[str, tuple[int, float]] = {}
        self._usable: set[str] = set()

    # -- Queries of the router

    def is_whole(self, subject: str, generation: int, now: float) -> bool:
        """Return whether every member of a generation is known to be alive."""
        by_observer = self._by_subject.get(subject)
        if not by_observer:
            return False
        whole_at = 0.0
        for evidence in by_observer.values():
            if evidence.generation != generation:
                continue
            if evidence.verdict is wire.Verdict.WHOLE:
                whole_at = max(whole_at, evidence.probed_at)
            elif self._proves_broken(evidence, now):
                return False
        if not whole_at or now - whole_at > self._ttl:
            return False
        return not self._connection_failed(subject, generation, whole_at)

    def may_use(
        self, ledger: domain.Domain, replica: domain.Replica, now: float
    ) -> bool:
        """Return whether requests may be sent to a replica."""
        if replica.phase is not domain.ReplicaPhase.SERVING:
            return False
        if not self.is_whole(replica.id, replica.generation, now):
            return False
        return self._has_current_ledger(replica.id, ledger.serial)

    def get_load(self, subject: str) -> tuple[int, float]:
        """Return the last reported number of requests, and as of when."""
        load = self._loads.get(subject)
        if load is None:
            return 0, 0.0
        return load.running + load.queued, load.probed_at

    def cache_version(self, subject: str) -> int:
        """Return a number that changes when the leader's cache state is lost.

        This happens when the leader restarts or cache events were lost.
        """
        load = self._loads.get(subject)
        return load.cache_version if load else 0

    def _proves_broken(self, evidence: _ObserverEvidence, now: float) -> bool:
        """Return whether evidence proves that a replica is broken.

        A broken verdict counts until its observer sends another one or
        sends none for two evidence TTLs. A silent verdict is no proof: it
        only replaces its observer's own evidence that the replica is whole,
        and the other observer's evidence still counts until it expires.
        """
        if evidence.verdict is not wire.Verdict.BROKEN:
            return False
        return now - evidence.received_at <= 2 * self._ttl

    def _connection_failed(
        self, subject: str, generation: int, whole_at: float
    ) -> bool:
        """Return whether a connection of this node failed after a probe."""
        failure = self._failures.get(subject)
        return (
            failure is not None
            and failure[0] == generation
            and failure[1] >= whole_at
        )

    def _has_current_ledger(self, subject: str, serial: int) -> bool:
        """Return whether this node's ledger is as new as the observers'.

        Failure: a node that missed the update of a drain still takes the
        replica as serving, while the evidence for it stays fresh. The
        evidence carries the serial of the observers' ledger, so the node
        detects this and waits until it has the newer ledger.
        """
        by_observer = self._by_subject.get(subject, {})
        return all(
            evidence.serial <= serial for evidence in by_observer.values()
        )

    # -- Messages

    @part.handles(wire.Evidence)
    def _on_evidence(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        body = message.payload
        by_observer = self._by_subject.setdefault(body.subject, {})
        probed_at = now - message.age - body.age
        by_observer[message.origin] = _ObserverEvidence(
            body.verdict, body.generation, body.serial, probed_at, now
        )
        if len(by_observer) > _EVIDENCE_LIMIT:
            oldest = min(
                by_observer, key=lambda node: by_observer[node].received_at
            )
            del by_observer[oldest]
        self._loads[body.subject] = _Load(
            body.running, body.queued, probed_at, body.cache_version
        )
        return self._update_usable(body.subject, body.generation, now)

    @part.handles(UpstreamFailed)
    def _on_failed(
        self, message: UpstreamFailed, now: float
    ) -> list[part.Action]:
        self._failures[message.subject] = (message.generation, now)
        return self._update_usable(message.subject, message.generation, now)

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        """Discard data of subjects that no longer exist."""
        if message.stored.key.kind != objects.Kind.DOMAINS.value:
            return
        existing = {
            replica.id
            for ledger in self._view.domains.values()
            for replica in ledger.replicas
        }
        existing.update(self._view.instances)
        for by_name in (self._by_subject, self._loads, self._failures):
            for subject in [
                subject_id
                for subject_id in by_name
                if subject_id not in existing
            ]:
                del by_name[subject]
        self._usable &= existing

    def _update_usable(
        self, subject: str, generation: int, now: float
    ) -> list[part.Action]:
        whole = self.is_whole(subject, generation, now)
        if whole == (subject in self._usable):
            return []
        kinds = timeline.EventKind
        detail = f"generation {generation}"
        if whole:
            self._usable.add(subject)
            kind = kinds.REPLICA_USABLE
        else:
            self._usable.discard(subject)
            kind = kinds.REPLICA_SUSPENDED
        return [actions.Record(kind, subject, detail)]

"""Which replicas may be used, by the evidence at hand.

A replica generation may be used while an observer has lately found every
member alive in it, no observer holds proof of the contrary, and this
node's own connections to it have not failed since. Evidence that grows
old stops counting, so a node that is cut off stops by itself.
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

# Opinions of this many observers are kept for one subject: two, and
# those of former ones until they grow old.
_OBSERVER_LIMIT = 6


class UpstreamFailed(part.Message, frozen=True):
    """This node's own connection to a replica or instance failed."""

    subject: str
    generation: int


class _Opinion(msgspec.Struct):
    """What one observer last said, in this node's time."""

    verdict: wire.Verdict
    generation: int
    serial: int
    # When the oldest probe behind the verdict was sent, at the latest.
    seen: float
    heard: float


class _Load(msgspec.Struct):
    """Load that a leader last reported."""

    running: int
    queued: int
    at: float
    cache_version: int = 0


class Evidence(part.Part):
    """Keeps the observers' opinions; asked by the router."""

    def __init__(
        self,
        view: views.ObjectsView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._ttl = settings.evidence_ttl
        self._opinions: dict[str, dict[ids.NodeId, _Opinion]] = {}
        self._loads: dict[str, _Load] = {}
        self._failed: dict[str, tuple[int, float]] = {}
        self._usable: set[str] = set()

    # -- What the router asks

    def is_whole(self, subject: str, generation: int, now: float) -> bool:
        """Return whether every member is known to be there."""
        opinions = self._opinions.get(subject)
        if not opinions:
            return False
        whole = 0.0
        for opinion in opinions.values():
            if opinion.generation != generation:
                continue
            if opinion.verdict is wire.Verdict.WHOLE:
                whole = max(whole, opinion.seen)
            elif self._condemns(opinion, now):
                return False
        if not whole or now - whole > self._ttl:
            return False
        return not self._has_failed(subject, generation, whole)

    def may_use(
        self, ledger: domain.Domain, replica: domain.Replica, now: float
    ) -> bool:
        """Return whether a replica may be given requests."""
        if replica.phase is not domain.ReplicaPhase.SERVING:
            return False
        if not self.is_whole(replica.id, replica.generation, now):
            return False
        return self._knows_newest(replica.id, ledger.serial)

    def load_of(self, subject: str) -> tuple[int, float]:
        """Return the last reported requests there, and when."""
        load = self._loads.get(subject)
        if load is None:
            return 0, 0.0
        return load.running + load.queued, load.at

    def cache_version(self, subject: str) -> int:
        """Return a number that changes when cache events were lost."""
        load = self._loads.get(subject)
        return load.cache_version if load else 0

    def _condemns(self, opinion: _Opinion, now: float) -> bool:
        """Return whether a bad opinion still stands.

        A broken verdict stands until its observer says otherwise or
        falls silent for a time. Silence is no proof: the other
        observer's newer probe of every member outweighs it.
        """
        if opinion.verdict is not wire.Verdict.BROKEN:
            return False
        return now - opinion.heard <= 2 * self._ttl

    def _has_failed(self, subject: str, generation: int, whole: float) -> bool:
        """Return whether this node's connection failed after the probe."""
        failed = self._failed.get(subject)
        return (
            failed is not None
            and failed[0] == generation
            and failed[1] >= whole
        )

    def _knows_newest(self, subject: str, serial: int) -> bool:
        """Return whether this node's ledger is as new as the observers'.

        Failure: a node that lost the push of a drain still sees the
        replica as serving, while its evidence stays fresh. The evidence
        names the observers' ledger, so the node finds out and waits for
        the repair.
        """
        opinions = self._opinions.get(subject, {})
        return all(opinion.serial <= serial for opinion in opinions.values())

    # -- What it is told

    @part.handles(wire.Evidence)
    def _on_evidence(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        body = message.payload
        opinions = self._opinions.setdefault(body.subject, {})
        seen = now - message.age - body.age
        opinions[message.origin] = _Opinion(
            body.verdict, body.generation, body.serial, seen, now
        )
        if len(opinions) > _OBSERVER_LIMIT:
            oldest = min(opinions, key=lambda node: opinions[node].heard)
            del opinions[oldest]
        self._loads[body.subject] = _Load(
            body.running, body.queued, seen, body.cache_version
        )
        return self._note_change(body.subject, body.generation, now)

    @part.handles(UpstreamFailed)
    def _on_failed(
        self, message: UpstreamFailed, now: float
    ) -> list[part.Action]:
        self._failed[message.subject] = (message.generation, now)
        return self._note_change(message.subject, message.generation, now)

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        """Forget subjects that no longer exist."""
        if message.stored.key.kind != objects.Kind.DOMAINS.value:
            return
        alive = {
            replica.id
            for held in self._view.domains.values()
            for replica in held.replicas
        }
        alive.update(self._view.instances)
        for store in (self._opinions, self._loads, self._failed):
            for subject in [name for name in store if name not in alive]:
                del store[subject]
        self._usable &= alive

    def _note_change(
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

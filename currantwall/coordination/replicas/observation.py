"""Probing upstream instances and publishing verdicts on replicas.

Each replica and each service instance has two observers among the entry
nodes, and each engine, in a replica or not, has one. They are chosen by
rendezvous hash in its data centre. An observer of a replica asks every
member for its report, derives a verdict on the replica and publishes it:
a verdict that is unchanged goes with the next batch, a changed one is
sent at once. The state of each instance is sent to the holder of the
domain's lease.

A refused connection or a report of another generation proves that the
replica is broken. A missing answer does not, as the member may be paused
or the link may be down. It only ends this observer's evidence that the
replica is whole; the evidence of the other observer may remain valid.
"""

import heapq

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import domain
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import views

__all__ = ["Observation", "choose_observers"]

_REPLICA_OBSERVERS = 2
_ENGINE_OBSERVERS = 1
# Seconds after which the duties are assigned again even if no object or
# member has changed.
_ASSIGNMENT_INTERVAL = 30.0


def choose_observers(
    subject: str,
    datacentre: ids.DatacentreName,
    nodes: views.MembersView,
    count: int,
) -> list[ids.NodeId]:
    """Return the nodes that observe a replica or instance.

    They are chosen from the data centre, or from all nodes if it has no
    usable one.

    Args:
        subject: Id of the replica or instance.
        datacentre: Where it is.
        nodes: The entry nodes.
        count: How many observers it has.
    """
    local = nodes.usable(datacentre) or nodes.usable()
    names = [member.id for member in local]
    return rendezvous.choose(f"observe:{subject}", names, count)


def _hash_cache_state(report: instances.Report) -> int:
    """Return a 16-bit number that changes with a restart or a cache gap."""
    text = f"{report.started} {report.generation} {report.cache_gaps}"
    return hashing.hash_text(text) % 65_536


class _ObservedInstance(msgspec.Struct):
    """An instance that this node observes.

    Attributes:
        next_probe: When the next probe is due.
        probed_at: When the pending or else the last probe was sent.
        answered_at: When the last answered probe was sent.
        failed_at: When the last failed probe was sent; 0 after an answer.
        refused: Whether the last probe failed with a refused connection.
        sighting_sent_at: When a sighting was last sent to the holder.
    """

    address: str
    next_probe: float
    probed_at: float = 0.0
    probe_pending: bool = False
    answered_at: float = 0.0
    failed_at: float = 0.0
    refused: bool = False
    report: instances.Report | None = None
    sighting_sent_at: float = 0.0


class _Subject(msgspec.Struct):
    """A replica or service instance that this node publishes verdicts on."""

    domain: ids.DomainName
    replica: domain.Replica | None
    members: tuple[ids.InstanceId, ...]
    verdict: wire.Verdict | None = None
    published_at: float = 0.0


class Observation(part.Part):
    """Probes instances, publishes evidence and sends sightings."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._observed: dict[ids.InstanceId, _ObservedInstance] = {}
        self._subjects: dict[str, _Subject] = {}
        self._subject_by_member: dict[ids.InstanceId, str] = {}
        self._duties_outdated = True
        self._next_assignment = 0.0
        # When this process last resumed after a pause.
        self._resumed_at = 0.0
        # Heap of probe times and instances. An entry is valid only if its
        # time equals the instance's `next_probe`.
        self._probe_queue: list[tuple[float, ids.InstanceId]] = []

    def due(self) -> float:
        """Return when the next tick is wanted."""
        if self._probe_queue:
            return min(self._next_assignment, self._probe_queue[0][0])
        return self._next_assignment

    # -- Duties

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        kind = message.stored.key.kind
        if kind in (
            objects.Kind.DOMAINS.value,
            objects.Kind.INSTANCES.value,
        ):
            self._request_assignment(now)

    @part.handles(messages.MemberChanged)
    def _on_member(self, message: messages.MemberChanged, now: float) -> None:
        self._request_assignment(now)

    def _request_assignment(self, now: float) -> None:
        self._duties_outdated = True
        self._next_assignment = min(self._next_assignment, now)

    def _assign_duties(self, now: float) -> None:
        """Determine which replicas and instances this node observes."""
        self._duties_outdated = False
        self._next_assignment = now + _ASSIGNMENT_INTERVAL
        subjects: dict[str, _Subject] = {}
        for ledger in self._view.domains.values():
            for replica in ledger.replicas:
                if self._is_replica_observer(replica.id, ledger.datacentre):
                    subjects[replica.id] = _Subject(
                        ledger.name, replica, replica.members
                    )
        instance_ids = {m for s in subjects.values() for m in s.members}
        for listed in self._view.instances.values():
            if listed.kind is instances.InstanceKind.SERVICE:
                if self._is_replica_observer(listed.id, listed.datacentre):
                    subject = _Subject(listed.domain, None, (listed.id,))
                    subjects[listed.id] = subject
                    instance_ids.add(listed.id)
            elif self._is_engine_observer(listed):
                instance_ids.add(listed.id)
        self._replace_subjects(subjects)
        self._update_observed(instance_ids, now)

    def _is_replica_observer(
        self, subject: str, datacentre: ids.DatacentreName
    ) -> bool:
        chosen = choose_observers(
            subject, datacentre, self._nodes, _REPLICA_OBSERVERS
        )
        return self._nodes.me.id in chosen

    def _is_engine_observer(self, listed: instances.Instance) -> bool:
        if listed.kind is not instances.InstanceKind.ENGINE:
            return False
        chosen = choose_observers(
            listed.id, listed.datacentre, self._nodes, _ENGINE_OBSERVERS
        )
        return self._nodes.me.id in chosen

    def _replace_subjects(self, subjects: dict[str, _Subject]) -> None:
        for name, subject in subjects.items():
            previous = self._subjects.get(name)
            if previous is not None and previous.replica == subject.replica:
                subject.verdict = previous.verdict
                subject.published_at = previous.published_at
        self._subjects = subjects
        self._subject_by_member = {
            member: name
            for name, subject in subjects.items()
            for member in subject.members
        }

    def _update_observed(
        self, instance_ids: set[ids.InstanceId], now: float
    ) -> None:
        for instance in list(self._observed):
            if instance not in instance_ids:
                del self._observed[instance]
        listed_instances = self._view.instances
        for instance in instance_ids:
            listed = listed_instances.get(instance)
            address = listed.address if listed else ""
            observed = self._observed.get(instance)
            if observed is not None and address:
                observed.address = address
            elif observed is None and address:
                first_probe = now + self._compute_first_delay(instance)
                self._observed[instance] = _ObservedInstance(
                    address, first_probe
                )
                heapq.heappush(self._probe_queue, (first_probe, instance))

    def _compute_first_delay(self, instance: ids.InstanceId) -> float:
        """Return a fixed delay below the interval, to spread the probes."""
        fraction = rendezvous.score(self._nodes.me.id, instance) % 1000 / 1000
        return fraction * self._settings.observe_interval

    # -- Probing

    @part.handles(part.Resumed)
    def _on_resumed(self, _: part.Resumed, now: float) -> None:
        """Publish no verdict until all its members were probed again.

        Failure: a verdict from probes before the pause replaces, at all
        nodes, this observer's earlier evidence, and has expired itself.
        """
        self._resumed_at = now

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._duties_outdated or now >= self._next_assignment:
            self._assign_duties(now)
        result: list[part.Action] = []
        while self._probe_queue and self._probe_queue[0][0] <= now:
            probe_at, instance = heapq.heappop(self._probe_queue)
            observed = self._observed.get(instance)
            if observed is None or observed.next_probe != probe_at:
                continue
            observed.probe_pending = True
            observed.probed_at = now
            observed.next_probe = now + self._settings.observe_interval
            result.append(
                actions.Probe(
                    instance,
                    observed.address,
                    self._settings.observe_timeout,
                )
            )
        return result

    @part.handles(messages.ProbeAnswered)
    def _on_probe(
        self, answer: messages.ProbeAnswered, now: float
    ) -> list[part.Action]:
        observed = self._observed.get(answer.instance)
        if observed is None or not observed.probe_pending:
            return []
        observed.probe_pending = False
        observed.next_probe = max(observed.next_probe, now)
        entry = (observed.next_probe, answer.instance)
        heapq.heappush(self._probe_queue, entry)
        is_timeout = answer.outcome is messages.ProbeOutcome.TIMEOUT
        if is_timeout and observed.probed_at < self._resumed_at:
            # The answer may have arrived while this process was paused.
            return []
        changed = self._store_answer(observed, answer)
        label = answer.outcome.value
        result: list[part.Action] = [
            actions.Count(actions.Counter.PROBES, label)
        ]
        result += self._send_sighting(answer.instance, observed, changed, now)
        return result + self._publish_verdict(answer.instance, now)

    @staticmethod
    def _store_answer(
        observed: _ObservedInstance, answer: messages.ProbeAnswered
    ) -> bool:
        """Store an answer; return whether the instance's state has changed."""
        before = (observed.refused, observed.failed_at > 0, observed.report)
        if answer.report is not None:
            observed.answered_at = observed.probed_at
            observed.failed_at = 0.0
            observed.refused = False
            observed.report = answer.report
        else:
            observed.failed_at = observed.probed_at
            outcome = messages.ProbeOutcome.REFUSED
            observed.refused = answer.outcome is outcome
        after = (observed.refused, observed.failed_at > 0, observed.report)
        return before != after

    def _send_sighting(
        self,
        instance: ids.InstanceId,
        observed: _ObservedInstance,
        is_change: bool,
        now: float,
    ) -> list[part.Action]:
        """Send the state to the holder if it changed or a report is due."""
        is_due = (
            now >= observed.sighting_sent_at + self._settings.sighting_interval
        )
        holder = self._find_holder(instance)
        if holder is None or not (is_change or is_due):
            return []
        observed.sighting_sent_at = now
        body = wire.Sighting(
            instance=instance,
            report=None if observed.failed_at else observed.report,
            refused=observed.refused,
            age=now - observed.probed_at,
        )
        if holder == self._nodes.me.id:
            return [actions.Tell(messages.Received(holder, body))]
        return [actions.Send(holder, body)]

    def _find_holder(self, instance: ids.InstanceId) -> ids.NodeId | None:
        listed = self._view.instances.get(instance)
        if listed is None or not listed.domain:
            return None
        ledger = self._view.domains.get(listed.domain)
        if ledger is None or ledger.lease is None:
            return None
        return ledger.lease.holder

    # -- Verdicts

    def _publish_verdict(
        self, instance: ids.InstanceId, now: float
    ) -> list[part.Action]:
        """Publish the verdict that an instance affects, if that is due."""
        name = self._subject_by_member.get(instance)
        if name is None:
            return []
        subject = self._subjects[name]
        verdict = self._compute_verdict(subject, now)
        if verdict is None:
            return []
        changed = verdict is not subject.verdict
        interval = self._settings.observe_interval
        if not changed and now < subject.published_at + interval:
            return []
        subject.verdict = verdict
        subject.published_at = now
        evidence = self._make_evidence(name, subject, verdict, now)
        result: list[part.Action] = [
            actions.Publish(evidence, urgent=changed),
            actions.Tell(messages.Delivered(self._nodes.me.id, evidence)),
        ]
        if changed:
            label = verdict.value
            result.append(actions.Count(actions.Counter.VERDICTS, label))
        return result

    def _compute_verdict(
        self, subject: _Subject, now: float
    ) -> wire.Verdict | None:
        """Return the verdict, None while a member has no probe result yet.

        Results from before a pause of this process don't count.
        """
        silent = False
        for member in subject.members:
            observed = self._observed.get(member)
            if observed is None:
                return None
            last = max(observed.answered_at, observed.failed_at)
            if not last or last < self._resumed_at:
                return None
            if observed.refused or self._contradicts_ledger(subject, observed):
                return wire.Verdict.BROKEN
            silent = silent or observed.failed_at > 0
        return wire.Verdict.SILENT if silent else wire.Verdict.WHOLE

    @staticmethod
    def _contradicts_ledger(
        subject: _Subject, observed: _ObservedInstance
    ) -> bool:
        """Return whether a report contradicts the ledger.

        Failure: a member restarts, or resumes in an older generation, and
        answers every probe, but no longer serves in its replica.
        """
        report = observed.report
        if report is None or observed.failed_at:
            return False
        if subject.replica is None:
            return report.draining
        return (
            report.replica != subject.replica.id
            or report.generation != subject.replica.generation
            or report.state is not instances.ReportedState.READY
        )

    def _make_evidence(
        self,
        name: str,
        subject: _Subject,
        verdict: wire.Verdict,
        now: float,
    ) -> wire.Evidence:
        observed = [self._observed[member] for member in subject.members]
        leader = observed[0].report
        oldest = min(instance.answered_at for instance in observed)
        replica = subject.replica
        ledger = self._view.domains.get(subject.domain)
        return wire.Evidence(
            subject=name,
            verdict=verdict,
            generation=replica.generation if replica else 0,
            age=now - oldest if verdict is wire.Verdict.WHOLE else 0.0,
            serial=ledger.serial if ledger else 0,
            running=leader.running if leader else 0,
            queued=leader.queued if leader else 0,
            cache_version=_hash_cache_state(leader) if leader else 0,
        )

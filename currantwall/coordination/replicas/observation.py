"""Observing upstream instances and saying which replicas are whole.

Each replica has two observers among the entry nodes, each instance that
belongs to none has one, chosen by rendezvous hash in its data centre.
An observer asks every member for its report, forms a verdict on the
replica and publishes it: in batches while it stays whole, at once when
it does not. What it sees of single instances goes to the holder of the
domain's lease.

A refused connection or a report of another generation is proof that the
replica is broken. Silence is not: the member may be paused or the link
cut. Silence ends this observer's evidence, and the other observer's may
still stand.
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
_SPARE_OBSERVERS = 1
# Every so many intervals the duties are worked out anew even when no
# object or member has changed.
_DUTY_SECONDS = 30.0


def choose_observers(
    subject: str,
    datacentre: ids.DatacentreName,
    nodes: views.MembersView,
    count: int,
) -> list[ids.NodeId]:
    """Return the nodes that observe something in a data centre."""
    local = nodes.usable(datacentre) or nodes.usable()
    names = [member.id for member in local]
    return rendezvous.choose(f"observe:{subject}", names, count)


def _hash_cache(report: instances.Report) -> int:
    """Return a small number that changes with a restart or a gap."""
    text = f"{report.started} {report.generation} {report.cache_gaps}"
    return hashing.hash_text(text) % 65_536


class _Watched(msgspec.Struct):
    """An instance that this node observes.

    Attributes:
        probed: When the probe under way or the last one was sent.
        answered: When the last answered probe was sent.
        failed: When the last failed probe was sent; 0 after an answer.
        sighted: When the holder was last told.
    """

    address: str
    next_probe: float
    probed: float = 0.0
    waiting: bool = False
    answered: float = 0.0
    failed: float = 0.0
    refused: bool = False
    report: instances.Report | None = None
    sighted: float = 0.0


class _Subject(msgspec.Struct):
    """A replica or service instance that this node judges."""

    domain: ids.DomainName
    replica: domain.Replica | None
    members: tuple[ids.InstanceId, ...]
    verdict: wire.Verdict | None = None
    published: float = 0.0


class Observation(part.Part):
    """Probes instances and publishes evidence."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        settings: settings_module.ReplicasSection,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._settings = settings
        self._watched: dict[ids.InstanceId, _Watched] = {}
        self._subjects: dict[str, _Subject] = {}
        self._by_member: dict[ids.InstanceId, str] = {}
        self._stale = True
        self._next_duties = 0.0
        # When to probe whom; an entry counts only while it still says
        # what the instance's own next probe says.
        self._planned: list[tuple[float, ids.InstanceId]] = []

    def due(self) -> float:
        """Return when the next tick is wanted."""
        if self._planned:
            return min(self._next_duties, self._planned[0][0])
        return self._next_duties

    # -- Duties

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        kind = message.stored.key.kind
        if kind in (
            objects.Kind.DOMAINS.value,
            objects.Kind.INSTANCES.value,
        ):
            self._mark_stale(now)

    @part.handles(messages.MemberChanged)
    def _on_member(self, message: messages.MemberChanged, now: float) -> None:
        self._mark_stale(now)

    def _mark_stale(self, now: float) -> None:
        self._stale = True
        self._next_duties = min(self._next_duties, now)

    def _assign(self, now: float) -> None:
        """Work out anew what this node observes."""
        self._stale = False
        self._next_duties = now + _DUTY_SECONDS
        subjects: dict[str, _Subject] = {}
        for held in self._view.domains.values():
            for replica in held.replicas:
                if self._is_mine(replica.id, held.datacentre):
                    subjects[replica.id] = _Subject(
                        held.name, replica, replica.members
                    )
        wanted = {m for s in subjects.values() for m in s.members}
        for listed in self._view.instances.values():
            if listed.kind is instances.InstanceKind.SERVICE:
                if self._is_mine(listed.id, listed.datacentre):
                    subject = _Subject(listed.domain, None, (listed.id,))
                    subjects[listed.id] = subject
                    wanted.add(listed.id)
            elif self._is_spare_of_mine(listed):
                wanted.add(listed.id)
        self._keep_verdicts(subjects)
        self._watch(wanted, now)

    def _is_mine(self, subject: str, place: ids.DatacentreName) -> bool:
        chosen = choose_observers(
            subject, place, self._nodes, _REPLICA_OBSERVERS
        )
        return self._nodes.me.id in chosen

    def _is_spare_of_mine(self, listed: instances.Instance) -> bool:
        if listed.kind is not instances.InstanceKind.ENGINE:
            return False
        chosen = choose_observers(
            listed.id, listed.datacentre, self._nodes, _SPARE_OBSERVERS
        )
        return self._nodes.me.id in chosen

    def _keep_verdicts(self, subjects: dict[str, _Subject]) -> None:
        for name, subject in subjects.items():
            held = self._subjects.get(name)
            if held is not None and held.replica == subject.replica:
                subject.verdict = held.verdict
                subject.published = held.published
        self._subjects = subjects
        self._by_member = {
            member: name
            for name, subject in subjects.items()
            for member in subject.members
        }

    def _watch(self, wanted: set[ids.InstanceId], now: float) -> None:
        for instance in list(self._watched):
            if instance not in wanted:
                del self._watched[instance]
        listed = self._view.instances
        for instance in wanted:
            line = listed.get(instance)
            address = line.address if line else ""
            held = self._watched.get(instance)
            if held is not None and address:
                held.address = address
            elif held is None and address:
                first = now + self._spread(instance)
                self._watched[instance] = _Watched(address, first)
                heapq.heappush(self._planned, (first, instance))

    def _spread(self, instance: ids.InstanceId) -> float:
        """Return a fixed delay below the interval, so probes spread."""
        share = rendezvous.score(self._nodes.me.id, instance) % 1000 / 1000
        return share * self._settings.observe_interval

    # -- Probing

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if self._stale or now >= self._next_duties:
            self._assign(now)
        found: list[part.Action] = []
        while self._planned and self._planned[0][0] <= now:
            at, instance = heapq.heappop(self._planned)
            watched = self._watched.get(instance)
            if watched is None or watched.next_probe != at:
                continue
            watched.waiting = True
            watched.probed = now
            watched.next_probe = now + self._settings.observe_interval
            found.append(
                actions.Probe(
                    instance,
                    watched.address,
                    self._settings.observe_timeout,
                )
            )
        return found

    @part.handles(messages.ProbeAnswered)
    def _on_probe(
        self, answer: messages.ProbeAnswered, now: float
    ) -> list[part.Action]:
        watched = self._watched.get(answer.instance)
        if watched is None or not watched.waiting:
            return []
        watched.waiting = False
        watched.next_probe = max(watched.next_probe, now)
        entry = (watched.next_probe, answer.instance)
        heapq.heappush(self._planned, entry)
        changed = self._note(watched, answer)
        label = answer.outcome.value
        found: list[part.Action] = [
            actions.Count(actions.Counter.PROBES, label)
        ]
        found += self._tell_holder(answer.instance, watched, changed, now)
        return found + self._judge(answer.instance, now)

    @staticmethod
    def _note(watched: _Watched, answer: messages.ProbeAnswered) -> bool:
        """Store an answer; return whether the holder must know at once."""
        before = (watched.refused, watched.failed > 0, watched.report)
        if answer.report is not None:
            watched.answered = watched.probed
            watched.failed = 0.0
            watched.refused = False
            watched.report = answer.report
        else:
            watched.failed = watched.probed
            outcome = messages.ProbeOutcome.REFUSED
            watched.refused = answer.outcome is outcome
        after = (watched.refused, watched.failed > 0, watched.report)
        return before != after

    def _tell_holder(
        self,
        instance: ids.InstanceId,
        watched: _Watched,
        changed: bool,
        now: float,
    ) -> list[part.Action]:
        due = now >= watched.sighted + self._settings.sighting_interval
        holder = self._find_holder(instance)
        if holder is None or not (changed or due):
            return []
        watched.sighted = now
        body = wire.Sighting(
            instance=instance,
            report=None if watched.failed else watched.report,
            refused=watched.refused,
            age=now - watched.probed,
        )
        if holder == self._nodes.me.id:
            return [actions.Tell(messages.Received(holder, body))]
        return [actions.Send(holder, body)]

    def _find_holder(self, instance: ids.InstanceId) -> ids.NodeId | None:
        listed = self._view.instances.get(instance)
        if listed is None or not listed.domain:
            return None
        held = self._view.domains.get(listed.domain)
        if held is None or held.lease is None:
            return None
        return held.lease.holder

    # -- Verdicts

    def _judge(
        self, instance: ids.InstanceId, now: float
    ) -> list[part.Action]:
        name = self._by_member.get(instance)
        if name is None:
            return []
        subject = self._subjects[name]
        verdict = self._decide(subject, now)
        if verdict is None:
            return []
        changed = verdict is not subject.verdict
        interval = self._settings.observe_interval
        if not changed and now < subject.published + interval:
            return []
        subject.verdict = verdict
        subject.published = now
        evidence = self._make_evidence(name, subject, verdict, now)
        found: list[part.Action] = [
            actions.Publish(evidence, urgent=changed),
            actions.Tell(messages.Delivered(self._nodes.me.id, evidence)),
        ]
        if changed:
            label = verdict.value
            found.append(actions.Count(actions.Counter.VERDICTS, label))
        return found

    def _decide(self, subject: _Subject, now: float) -> wire.Verdict | None:
        """Return the verdict, None while a member was never heard of."""
        silent = False
        for member in subject.members:
            watched = self._watched.get(member)
            if watched is None or not (watched.answered or watched.failed):
                return None
            if watched.refused or self._contradicts(subject, watched):
                return wire.Verdict.BROKEN
            silent = silent or watched.failed > 0
        return wire.Verdict.SILENT if silent else wire.Verdict.WHOLE

    @staticmethod
    def _contradicts(subject: _Subject, watched: _Watched) -> bool:
        """Return whether a report differs from what the ledger says.

        Failure: a member restarts, or wakes in an older generation, and
        answers as if nothing had happened; its replica has lost it.
        """
        report = watched.report
        if report is None or watched.failed:
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
        watched = [self._watched[member] for member in subject.members]
        leader = watched[0].report
        oldest = min(one.answered for one in watched)
        replica = subject.replica
        held = self._view.domains.get(subject.domain)
        return wire.Evidence(
            subject=name,
            verdict=verdict,
            generation=replica.generation if replica else 0,
            age=now - oldest if verdict is wire.Verdict.WHOLE else 0.0,
            serial=held.serial if held else 0,
            running=leader.running if leader else 0,
            queued=leader.queued if leader else 0,
            cache_version=_hash_cache(leader) if leader else 0,
        )

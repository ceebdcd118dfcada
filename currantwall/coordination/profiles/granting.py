"""Plans how many replicas and accelerators each domain may hold.

One entry node, chosen by rendezvous hash, is the planner of a profile. If
two nodes both take that role, the conditional update of
``grants/<profile>`` lets only one write succeed. The planner raises grants
and sets targets. It never lowers a grant: the holder of the domain does
so after the accelerators are free.

Replicas are spread: a new one goes to the data centre with the fewest
replicas of the profile, there to the domain with the fewest, then to the
one with the most idle instances. An outdated or leaving replica is
replaced first and drained afterwards where capacity and idle instances
allow it. Otherwise one domain at a time reworks its replicas in place.
"""

from collections import abc

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination.profiles import competition
from currantwall.coordination.profiles import configuration
from currantwall.coordination.profiles import shares
from currantwall.coordination.replicas import placement
from currantwall.state import domain
from currantwall.state import grants
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import stops
from currantwall.state import views

__all__ = ["DomainSummary", "Granting", "plan_grants"]

# Seconds between plans, and before the next one after a failed write.
_PLAN_INTERVAL = 1.0
Phase = domain.ReplicaPhase


class DomainSummary(msgspec.Struct, frozen=True, kw_only=True):
    """Replicas of one profile in one domain, as the planner counts them.

    Attributes:
        current: Replicas that stay and are what the profile asks for.
        stale: Replicas that are outdated, have leaving members or are in
            a stopped domain.
        serving: Replicas in service, stale ones included.
        forming: Current replicas that do not serve yet.
        draining: Replicas that are being drained.
        idle: Instances that new replicas may take.
        accelerators: Accelerators of one instance.
        stopped: Whether a stop covers the whole domain.
    """

    name: ids.DomainName
    datacentre: ids.DatacentreName
    current: int = 0
    stale: int = 0
    serving: int = 0
    forming: int = 0
    draining: int = 0
    idle: int = 0
    accelerators: int = 1
    stopped: bool = False

    @property
    def count(self) -> int:
        """Return the number of replicas that are not being drained."""
        return self.current + self.stale


def plan_grants(
    wanted: profile.Profile,
    stored: grants.Grants,
    summaries: abc.Sequence[DomainSummary],
    version: ids.Version,
) -> grants.Grants:
    """Return the grants that the profile and the domains call for.

    Args:
        wanted: The profile.
        stored: The grants as stored.
        summaries: The state of each domain.
        version: Version of the profile.
    """
    planned = msgspec.structs.replace(stored, profile_version=version)
    by_name = {summary.name: summary for summary in summaries}
    total = sum(share.target for share in planned.shares)
    stale = sum(summary.stale for summary in summaries)
    surge = _count_surge(wanted, summaries)
    while total < wanted.replicas + surge:
        grown = _add_replica(wanted, planned, summaries)
        if grown is None:
            break
        planned, total = grown, total + 1
    while total > wanted.replicas + surge:
        shrunk = _remove_replica(planned, by_name)
        if shrunk is None:
            break
        planned, total = shrunk, total - 1
    planned = _raise_to_targets(wanted, planned, summaries)
    surged = total > wanted.replicas
    return _set_rework(wanted, planned, summaries, bool(stale) and not surged)


def _raise_to_targets(
    wanted: profile.Profile,
    planned: grants.Grants,
    summaries: abc.Sequence[DomainSummary],
) -> grants.Grants:
    """Return the grants raised, within the capacity, to fit the targets.

    After an edit that makes replicas larger, they need more accelerators
    than were granted for them.
    """
    for summary in summaries:
        share = planned.get(summary.name)
        needed = share.target * wanted.replica_size * summary.accelerators
        increase = needed - share.granted
        if increase > 0 and planned.total + increase <= wanted.capacity:
            planned = planned.put(
                msgspec.structs.replace(share, granted=needed)
            )
    return planned


def _count_surge(
    wanted: profile.Profile, summaries: abc.Sequence[DomainSummary]
) -> int:
    """Return the number of extra replicas while stale ones are replaced.

    One extra replica is formed while no more replicas serve than the
    profile asks for. Once it serves, a stale one is drained, and so on
    until none is left.
    """
    stale = sum(summary.stale for summary in summaries)
    serving = sum(summary.serving for summary in summaries)
    return int(bool(stale) and serving <= wanted.replicas)


def _add_replica(
    wanted: profile.Profile,
    planned: grants.Grants,
    summaries: abc.Sequence[DomainSummary],
) -> grants.Grants | None:
    """Return the grants with one more replica, None where none fits."""
    fitting = [
        summary
        for summary in summaries
        if _can_add_replica(wanted, planned, summary)
    ]
    if not fitting:
        return None
    targets = {share.domain: share.target for share in planned.shares}
    replicas_per_datacentre: dict[ids.DatacentreName, int] = {}
    for summary in summaries:
        count = targets.get(summary.name, 0)
        datacentre = summary.datacentre
        replicas_per_datacentre[datacentre] = (
            replicas_per_datacentre.get(datacentre, 0) + count
        )
    best = min(
        fitting,
        key=lambda summary: (
            replicas_per_datacentre[summary.datacentre],
            targets.get(summary.name, 0),
            -summary.idle,
            summary.name,
        ),
    )
    share = planned.get(best.name)
    needed = (share.target + 1) * wanted.replica_size * best.accelerators
    return planned.put(
        msgspec.structs.replace(
            share,
            target=share.target + 1,
            granted=max(share.granted, needed),
        )
    )


def _can_add_replica(
    wanted: profile.Profile, planned: grants.Grants, summary: DomainSummary
) -> bool:
    share = planned.get(summary.name)
    size = wanted.replica_size
    pending = max(0, share.target - summary.count)
    if summary.stopped or summary.idle < size * (pending + 1):
        return False
    needed = (share.target + 1) * size * summary.accelerators
    increase = max(0, needed - share.granted)
    return planned.total + increase <= wanted.capacity


def _remove_replica(
    planned: grants.Grants,
    summaries: abc.Mapping[ids.DomainName, DomainSummary],
) -> grants.Grants | None:
    """Return the grants with one replica less, None where none is left.

    Domains with stale replicas come first, then those that have not met
    their target, then those with the highest target.
    """
    candidates = [share for share in planned.shares if share.target > 0]
    if not candidates:
        return None

    def prefer(share: grants.Share) -> tuple[bool, bool, int, str]:
        summary = summaries.get(share.domain)
        stale = bool(summary and summary.stale)
        unmet = bool(summary and summary.count < share.target)
        return (not stale, not unmet, -share.target, share.domain)

    chosen = min(candidates, key=prefer)
    lowered = msgspec.structs.replace(chosen, target=chosen.target - 1)
    return planned.put(lowered)


def _set_rework(
    wanted: profile.Profile,
    planned: grants.Grants,
    summaries: abc.Sequence[DomainSummary],
    needed: bool,
) -> grants.Grants:
    """Return the grants that let at most one domain rework in place."""
    reworking = [share.domain for share in planned.shares if share.rework]
    stale_domains = sorted(
        summary.name for summary in summaries if summary.stale
    )
    chosen = None
    if needed and stale_domains:
        continuing = [name for name in reworking if name in stale_domains]
        chosen = (continuing or stale_domains)[0]
        if not continuing and not _is_fully_serving(wanted, summaries):
            chosen = None
    for share in planned.shares:
        rework = int(share.domain == chosen)
        if share.rework != rework:
            planned = planned.put(
                msgspec.structs.replace(share, rework=rework)
            )
    return planned


def _is_fully_serving(
    wanted: profile.Profile, summaries: abc.Sequence[DomainSummary]
) -> bool:
    """Return whether every replica serves and none is being drained."""
    serving = sum(summary.serving for summary in summaries)
    return serving >= sum(
        summary.count + summary.draining for summary in summaries
    )


class Granting(part.Part):
    """Plans the grants of the profiles whose planner is this node."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        call_ids: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._call_ids = call_ids
        self._next_plan = 0.0
        self._writes: dict[ids.CallId, str] = {}
        self._retry_times: dict[str, float] = {}

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return self._next_plan

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        if message.stored.key.kind in (
            objects.Kind.PROFILES.value,
            objects.Kind.STOPS.value,
            objects.Kind.EVACUATIONS.value,
        ):
            self._next_plan = min(self._next_plan, now)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if now < self._next_plan:
            return []
        self._next_plan = now + _PLAN_INTERVAL
        next_actions: list[part.Action] = []
        in_flight = set(self._writes.values())
        for name, wanted in self._view.profiles.items():
            ranked = self._nodes.rank(f"profile:{name}")
            is_planner = bool(ranked) and ranked[0] == self._nodes.me.id
            must_wait = now < self._retry_times.get(name, 0.0)
            if is_planner and name not in in_flight and not must_wait:
                next_actions += self._plan(wanted)
        return next_actions

    def _plan(self, wanted: profile.Profile) -> list[part.Action]:
        key = shares.make_key(wanted.name)
        profile_key = objects.ObjectKey(
            objects.Kind.PROFILES.value, wanted.name
        )
        version = self._view.version(profile_key)
        stored = self._view.grants.get(wanted.name)
        stored = stored or grants.Grants(profile=wanted.name)
        if stored.profile_version > version:
            # The grants follow a newer version of the profile than this
            # node has: do not plan from the older one.
            return [actions.Tell(configuration.Refresh(profile_key))]
        summaries = self._summarise_domains(wanted)
        planned = plan_grants(
            self._reduce_if_yielding(wanted), stored, summaries, version
        )
        if planned == stored:
            return []
        call = self._call_ids.next()
        self._writes[call] = wanted.name
        value = objects.encode(planned)
        expected = self._view.get_expected_version(key)
        return [actions.WriteObject(call, key, value, expected)]

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        name = self._writes.pop(answer.call, None)
        if name is None:
            return []
        if answer.is_ok:
            self._retry_times.pop(name, None)
            return [
                actions.Tell(configuration.Written(stored))
                for stored in answer.stored
            ]
        self._retry_times[name] = now + _PLAN_INTERVAL
        key = shares.make_key(name)
        return [
            actions.Count(actions.Counter.PLATFORM_CONFLICTS, "grants"),
            actions.Tell(configuration.Refresh(key)),
        ]

    def _reduce_if_yielding(self, wanted: profile.Profile) -> profile.Profile:
        """Return the profile, with fewer replicas while it must yield."""
        profile_grants = self._view.grants
        yielding = competition.choose_yielding(
            self._list_needs(), self._view.profiles, profile_grants
        )
        if yielding != wanted.name:
            return wanted
        total = sum(
            share.target for share in profile_grants[wanted.name].shares
        )
        fewer = min(wanted.replicas, max(0, total - 1))
        return msgspec.structs.replace(wanted, replicas=fewer)

    def _list_needs(self) -> list[competition.Need]:
        accelerators = max(_count_accelerators(self._view).values(), default=1)
        return competition.list_needs(
            self._view.profiles,
            self._view.grants,
            self._view.domains,
            accelerators,
        )

    # -- State of the domains

    def _summarise_domains(
        self, wanted: profile.Profile
    ) -> list[DomainSummary]:
        accelerators = _count_accelerators(self._view)
        stopped = _list_stopped(self._view)
        leaving = _list_leaving_instances(self._view)
        reserved = competition.reserve_for_others(wanted, self._list_needs())
        summaries = []
        for ledger in self._view.domains.values():
            count = accelerators.get(ledger.name, 1)
            summary = _summarise_domain(
                ledger, wanted, count, stopped, leaving
            )
            idle = max(0, summary.idle - reserved)
            summaries.append(msgspec.structs.replace(summary, idle=idle))
        return summaries


def _summarise_domain(
    ledger: domain.Domain,
    wanted: profile.Profile,
    accelerators: int,
    stopped: abc.Set[str],
    leaving: abc.Set[str],
) -> DomainSummary:
    staying = [
        replica
        for replica in ledger.select(wanted.name)
        if replica.phase is not Phase.DRAINING
    ]
    is_stopped = not stopped.isdisjoint((ledger.name, ledger.datacentre))
    current = [
        replica
        for replica in staying
        if placement.is_current(replica, wanted)
        and leaving.isdisjoint(replica.members)
        and not is_stopped
    ]
    forming = sum(1 for replica in current if replica.phase is Phase.FORMING)
    serving = sum(1 for replica in staying if replica.phase is Phase.SERVING)
    return DomainSummary(
        name=ledger.name,
        datacentre=ledger.datacentre,
        current=len(current),
        stale=len(staying) - len(current),
        serving=serving,
        forming=forming,
        draining=len(ledger.select(wanted.name)) - len(staying),
        idle=ledger.idle,
        accelerators=accelerators,
        stopped=is_stopped,
    )


def _count_accelerators(
    view: views.ObjectsView,
) -> dict[ids.DomainName, int]:
    """Return the accelerators of one instance of each domain."""
    return {
        ledger.name: max(
            (engine.accelerators for engine in view.list_engines(ledger.name)),
            default=1,
        )
        for ledger in view.domains.values()
    }


def _list_stopped(view: views.ObjectsView) -> set[str]:
    """Return the domains and data centres to be drained."""
    scopes = (stops.StopScope.DOMAIN, stops.StopScope.DATACENTRE)
    stopped = {
        stop.target for stop in view.stops.values() if stop.scope in scopes
    }
    return stopped | view.evacuations.keys()


def _list_leaving_instances(view: views.ObjectsView) -> set[str]:
    """Return the instances that a stop covers or that are leaving."""
    leaving = {
        stop.target
        for stop in view.stops.values()
        if stop.scope is stops.StopScope.INSTANCE
    }
    leaving.update(
        listed.id
        for listed in view.instances.values()
        if listed.state is instances.InstanceState.LEAVING
    )
    return leaving

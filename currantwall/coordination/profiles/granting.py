"""The planner of each profile: which domain may hold how much.

One entry node, found by rendezvous hash, plans for a profile; two that
both think so meet in the conditional update of ``grants/<profile>``. The
planner raises grants and sets targets. It never lowers a grant: that is
the holder's, after the accelerators are free.

Replicas are spread: the domain with the fewest replicas of the profile
goes first, in the data centre with the fewest, then the one with most
room. An outdated or leaving replica is replaced first and drained after,
where capacity and room allow; else one domain at a time reworks in place.
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

__all__ = ["Granting", "Site", "plan_grants"]

_INTERVAL = 1.0
Phase = domain.ReplicaPhase


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """What the planner knows of one domain for one profile.

    Attributes:
        good: Replicas that stay and are what the profile asks for.
        stale: Replicas that are outdated or leave.
        serving: Replicas in service, stale ones included.
        forming: Good replicas that do not serve yet.
        draining: Replicas on their way out.
        idle: Instances a new replica could take.
        accelerators: Accelerators of one instance.
        closed: Whether a stop covers the whole domain.
    """

    name: ids.DomainName
    datacentre: ids.DatacentreName
    good: int = 0
    stale: int = 0
    serving: int = 0
    forming: int = 0
    draining: int = 0
    idle: int = 0
    accelerators: int = 1
    closed: bool = False

    @property
    def count(self) -> int:
        """Return the replicas that are not on their way out."""
        return self.good + self.stale


def plan_grants(
    wanted: profile.Profile,
    held: grants.Grants,
    sites: abc.Sequence[Site],
    version: ids.Version,
) -> grants.Grants:
    """Return the grants as they should be.

    Args:
        wanted: The profile.
        held: The grants as stored.
        sites: The domains.
        version: Version of the profile.
    """
    planned = msgspec.structs.replace(held, profile_version=version)
    by_name = {site.name: site for site in sites}
    total = sum(share.target for share in planned.shares)
    stale = sum(site.stale for site in sites)
    surge = _choose_surge(wanted, sites)
    while total < wanted.replicas + surge:
        grown = _grow(wanted, planned, sites)
        if grown is None:
            break
        planned, total = grown, total + 1
    while total > wanted.replicas + surge:
        shrunk = _shrink(planned, by_name)
        if shrunk is None:
            break
        planned, total = shrunk, total - 1
    planned = _top_up(wanted, planned, sites)
    surged = total > wanted.replicas
    return _set_rework(wanted, planned, sites, bool(stale) and not surged)


def _top_up(
    wanted: profile.Profile,
    held: grants.Grants,
    sites: abc.Sequence[Site],
) -> grants.Grants:
    """Return the grants raised to what the targets need now.

    Replicas that were asked to be larger need more than was granted for
    them; within the capacity.
    """
    for site in sites:
        share = held.get(site.name)
        need = share.target * wanted.replica_size * site.accelerators
        more = need - share.granted
        if more > 0 and held.total + more <= wanted.capacity:
            held = held.put(msgspec.structs.replace(share, granted=need))
    return held


def _choose_surge(wanted: profile.Profile, sites: abc.Sequence[Site]) -> int:
    """Return the replicas wanted on top while stale ones are replaced.

    One more is built while no more serve than are asked for; once it
    serves, a stale one goes, and so on until none is left.
    """
    stale = sum(site.stale for site in sites)
    serving = sum(site.serving for site in sites)
    return int(bool(stale) and serving <= wanted.replicas)


def _grow(
    wanted: profile.Profile,
    held: grants.Grants,
    sites: abc.Sequence[Site],
) -> grants.Grants | None:
    """Return the grants with one more replica, None where none fits."""
    fitting = [site for site in sites if _fits(wanted, held, site)]
    if not fitting:
        return None
    targets = {share.domain: share.target for share in held.shares}
    per_place: dict[ids.DatacentreName, int] = {}
    for site in sites:
        count = targets.get(site.name, 0)
        place = site.datacentre
        per_place[place] = per_place.get(place, 0) + count
    best = min(
        fitting,
        key=lambda site: (
            per_place[site.datacentre],
            targets.get(site.name, 0),
            -site.idle,
            site.name,
        ),
    )
    share = held.get(best.name)
    need = (share.target + 1) * wanted.replica_size * best.accelerators
    return held.put(
        msgspec.structs.replace(
            share,
            target=share.target + 1,
            granted=max(share.granted, need),
        )
    )


def _fits(wanted: profile.Profile, held: grants.Grants, site: Site) -> bool:
    share = held.get(site.name)
    size = wanted.replica_size
    pending = max(0, share.target - site.count)
    if site.closed or site.idle < size * (pending + 1):
        return False
    need = (share.target + 1) * size * site.accelerators
    more = max(0, need - share.granted)
    return held.total + more <= wanted.capacity


def _shrink(
    held: grants.Grants, sites: abc.Mapping[ids.DomainName, Site]
) -> grants.Grants | None:
    """Return the grants with one replica less, stale ones first."""
    able = [share for share in held.shares if share.target > 0]
    if not able:
        return None

    def prefer(share: grants.Share) -> tuple[bool, bool, int, str]:
        site = sites.get(share.domain)
        stale = bool(site and site.stale)
        unmet = bool(site and site.count < share.target)
        return (not stale, not unmet, -share.target, share.domain)

    victim = min(able, key=prefer)
    lowered = msgspec.structs.replace(victim, target=victim.target - 1)
    return held.put(lowered)


def _set_rework(
    wanted: profile.Profile,
    held: grants.Grants,
    sites: abc.Sequence[Site],
    needed: bool,
) -> grants.Grants:
    """Let one domain at a time rework in place, the others none."""
    under_way = [share.domain for share in held.shares if share.rework]
    stale = sorted(site.name for site in sites if site.stale)
    chosen = None
    if needed and stale:
        kept = [name for name in under_way if name in stale]
        chosen = (kept or stale)[0]
        if not kept and not _is_calm(wanted, sites):
            chosen = None
    for share in held.shares:
        rework = int(share.domain == chosen)
        if share.rework != rework:
            held = held.put(msgspec.structs.replace(share, rework=rework))
    return held


def _is_calm(wanted: profile.Profile, sites: abc.Sequence[Site]) -> bool:
    """Return whether nothing is out of service or on its way out."""
    serving = sum(site.serving for site in sites)
    return serving >= sum(site.count + site.draining for site in sites)


class Granting(part.Part):
    """Plans for the profiles that fall to this node."""

    def __init__(
        self,
        view: views.ObjectsView,
        nodes: views.MembersView,
        numbers: calls.Calls,
    ) -> None:
        self._view = view
        self._nodes = nodes
        self._numbers = numbers
        self._next = 0.0
        self._calls: dict[ids.CallId, str] = {}
        self._waits: dict[str, float] = {}

    def due(self) -> float:
        """Return when the next tick is wanted."""
        return self._next

    @part.handles(messages.ObjectChanged)
    def _on_object(self, message: messages.ObjectChanged, now: float) -> None:
        if message.stored.key.kind in (
            objects.Kind.PROFILES.value,
            objects.Kind.STOPS.value,
        ):
            self._next = min(self._next, now)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        if now < self._next:
            return []
        self._next = now + _INTERVAL
        found: list[part.Action] = []
        busy = set(self._calls.values())
        for name, wanted in self._view.profiles.items():
            ranked = self._nodes.rank(f"profile:{name}")
            mine = bool(ranked) and ranked[0] == self._nodes.me.id
            waits = now < self._waits.get(name, 0.0)
            if mine and name not in busy and not waits:
                found += self._plan(wanted)
        return found

    def _plan(self, wanted: profile.Profile) -> list[part.Action]:
        key = shares.make_key(wanted.name)
        profile_key = objects.ObjectKey(
            objects.Kind.PROFILES.value, wanted.name
        )
        version = self._view.version(profile_key)
        held = self._view.grants.get(wanted.name)
        held = held or grants.Grants(profile=wanted.name)
        if held.profile_version > version:
            # A newer edit is in force elsewhere: ours must not act.
            return [actions.Tell(configuration.Refresh(profile_key))]
        sites = self._describe(wanted)
        planned = plan_grants(self._adjust(wanted), held, sites, version)
        if planned == held:
            return []
        call = self._numbers.next()
        self._calls[call] = wanted.name
        value = objects.encode(planned)
        expected = self._view.get_expected_version(key)
        return [actions.WriteObject(call, key, value, expected)]

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        name = self._calls.pop(answer.call, None)
        if name is None:
            return []
        if answer.is_ok:
            self._waits.pop(name, None)
            return [
                actions.Tell(configuration.Written(stored))
                for stored in answer.stored
            ]
        self._waits[name] = now + _INTERVAL
        key = shares.make_key(name)
        return [
            actions.Count(actions.Counter.PLATFORM_CONFLICTS, "grants"),
            actions.Tell(configuration.Refresh(key)),
        ]

    def _adjust(self, wanted: profile.Profile) -> profile.Profile:
        """Return the profile with fewer replicas while it must yield."""
        held = self._view.grants
        yielding = competition.choose_yielding(
            self._list_needs(), self._view.profiles, held
        )
        if yielding != wanted.name:
            return wanted
        total = sum(share.target for share in held[wanted.name].shares)
        fewer = min(wanted.replicas, max(0, total - 1))
        return msgspec.structs.replace(wanted, replicas=fewer)

    def _list_needs(self) -> list[competition.Need]:
        each = max(_count_accelerators(self._view).values(), default=1)
        return competition.list_needs(
            self._view.profiles,
            self._view.grants,
            self._view.domains,
            each,
        )

    # -- What is known of the domains

    def _describe(self, wanted: profile.Profile) -> list[Site]:
        each = _count_accelerators(self._view)
        closed = _list_closed(self._view)
        leaving = _list_leaving(self._view)
        kept = competition.reserve_for_others(wanted, self._list_needs())
        found = []
        for held in self._view.domains.values():
            count = each.get(held.name, 1)
            site = _describe_site(held, wanted, count, closed, leaving)
            idle = max(0, site.idle - kept)
            found.append(msgspec.structs.replace(site, idle=idle))
        return found


def _describe_site(
    held: domain.Domain,
    wanted: profile.Profile,
    each: int,
    closed: abc.Set[str],
    leaving: abc.Set[str],
) -> Site:
    staying = [
        replica
        for replica in held.select(wanted.name)
        if replica.phase is not Phase.DRAINING
    ]
    shut = not closed.isdisjoint((held.name, held.datacentre))
    good = [
        replica
        for replica in staying
        if placement.is_current(replica, wanted)
        and leaving.isdisjoint(replica.members)
        and not shut
    ]
    forming = sum(1 for r in good if r.phase is Phase.FORMING)
    serving = sum(1 for r in staying if r.phase is Phase.SERVING)
    return Site(
        name=held.name,
        datacentre=held.datacentre,
        good=len(good),
        stale=len(staying) - len(good),
        serving=serving,
        forming=forming,
        draining=len(held.select(wanted.name)) - len(staying),
        idle=held.idle,
        accelerators=each,
        closed=shut,
    )


def _count_accelerators(
    view: views.ObjectsView,
) -> dict[ids.DomainName, int]:
    return {
        held.name: max(
            (one.accelerators for one in view.list_engines(held.name)),
            default=1,
        )
        for held in view.domains.values()
    }


def _list_closed(view: views.ObjectsView) -> set[str]:
    scopes = (stops.StopScope.DOMAIN, stops.StopScope.DATACENTRE)
    return {
        stop.target for stop in view.stops.values() if stop.scope in scopes
    }


def _list_leaving(view: views.ObjectsView) -> set[str]:
    found = {
        stop.target
        for stop in view.stops.values()
        if stop.scope is stops.StopScope.INSTANCE
    }
    found.update(
        listed.id
        for listed in view.instances.values()
        if listed.state is instances.InstanceState.LEAVING
    )
    return found

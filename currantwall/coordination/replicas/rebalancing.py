"""Decides when a domain changes from one model to another by measured work.

The load pattern: one model receives several times the requests that its
stated share of the work provides for. Its replicas are full and its
requests late, while replicas of the other model are idle.

Every node reviews the same list of instances and the work of all nodes,
and derives the same step: one domain at a time, chosen by rendezvous
hashing. Nodes may disagree for a moment, because their lists and counts
differ in age. That is safe: only the holder of a domain's lease orders its
instances, each order names the sequence number that the instance must
have, and a step that was begun is completed whatever is decided meanwhile.
At worst several domains change at a time, each by one step.

Where the measured shares are near the stated ones nothing is decided, so
that the layout stays as it is assigned by the stated shares.
"""

from collections import abc
import math

import msgspec

from currantwall.coordination.replicas import layout
from currantwall.coordination.replicas import workload
from currantwall.state import ids
from currantwall.state import rendezvous
from currantwall.state import routes

__all__ = [
    "LOAD_RATE_SHARE",
    "DomainSupply",
    "Review",
]

# Factor by which the measured share of a model must exceed the stated one.
# A few hundred arrivals in the averaging time vary by less than a tenth, and
# the mean service times by as much again.
_MIN_DEVIATION = 1.25
# Seconds for which the same step must be called for. A burst of 3.6 s shows
# in the averages for that long and one averaging time of 4 s more.
_HOLD_SECONDS = 8.0
# Seconds for which a step need not be called for within that time. The
# others' work is unknown for two seconds if one of the relays' digests is
# lost.
_MAX_GAP_SECONDS = 3.0
# Seconds for which a mix of requests is expected to last; the time in which
# a change must pay off. Its opposite is not begun earlier.
_HORIZON_SECONDS = 60.0
# Part of a replica's capacity that is planned for; the rest is for bursts
# and for losses.
_PLANNED_LOAD = 0.7
# Factor by which the surplus model must still be covered better than the
# scarce one after a step. Without it the opposite step could be due next.
_MIN_COVERAGE_RATIO = 1.2
# Age of the list of instances up to which steps are decided by it; it is
# below a second without faults.
_MAX_LIST_AGE_SECONDS = 3.0
# Instances of a domain to keep as spares for losses.
_MIN_SPARES = 1
# Value of idle instances in replicas of their model: a loss would need them.
_SPARE_VALUE = 0.25
# Seconds in which the requests of a closed replica end.
_DRAIN_SECONDS = 2.0
# Part of the rate of loads that a change may take. The other domains need
# the rest to replace lost instances.
LOAD_RATE_SHARE = 0.5


class DomainSupply(msgspec.Struct, frozen=True, kw_only=True):
    """The instances of a domain as of the list.

    Attributes:
        replicas: Number of whole replicas, by model.
        idle: Number of instances outside of them that have the weights of a
            model, by model.
        blank: Number of instances that have no weights and load none.
        loading: Number of instances that have no weights and load some.
        outside: Number of instances outside of whole replicas, those that
            load weights or have none included.
        converting: Number of instances that have the weights of a model and
            load those of another.
    """

    name: ids.DomainName
    datacentre: ids.DatacentreName
    replicas: abc.Mapping[str, int]
    idle: abc.Mapping[str, int] = {}
    blank: int = 0
    loading: int = 0
    outside: int = 0
    converting: int = 0


class _State(msgspec.Struct, frozen=True):
    """What one decision is based on.

    Attributes:
        needs: Replicas that the measured work takes, by model.
        shares: Measured share of the work in instances, by model.
        replicas: Whole replicas of all domains, by model.
    """

    engine: routes.Engine
    needs: abc.Mapping[str, float]
    shares: abc.Mapping[str, float]
    replicas: abc.Mapping[str, int]
    domains: abc.Sequence[DomainSupply]

    def measure_coverage(self, model: routes.Model, added: int = 0) -> float:
        """Return the instances in replicas per share of the work."""
        replicas = self.replicas.get(model.name, 0) + added
        share = max(self.shares.get(model.name, 0.0), 0.001)
        return replicas * model.size / share

    def measure_shortage(self, model: routes.Model, added: int = 0) -> float:
        """Return the replicas that a model lacks, in fractions."""
        replicas = self.replicas.get(model.name, 0) + added
        return max(0.0, self.needs.get(model.name, 0.0) - replicas)


class Review:
    """Decides the steps of one service's domains.

    Attributes:
        scarce: Model that steps are called for; empty if there is none.
        blank_domain: Domain whose blank instances are loaded with it, also
            while steps wait; empty if there is none.
        lacking: Replicas of it to load there.
    """

    def __init__(self) -> None:
        self.scarce = ""
        self.blank_domain = ids.DomainName("")
        self.lacking = 0
        # The step that the last reviews called for, as surplus and scarce
        # model, since when, and when it was last.
        self._called_for: tuple[str, str] | None = None
        self._since = -math.inf
        self._seen_at = -math.inf
        # The last step that was decided, when, and what its domain had.
        self._last_change: layout.Change | None = None
        self._last_at = -math.inf
        self._last_supply: DomainSupply | None = None
        # Whether a list has shown that such a step was begun.
        self._has_seen_step = False

    def decide(
        self,
        service: ids.ServiceName,
        engine: routes.Engine,
        work: abc.Mapping[str, float],
        list_domains: abc.Callable[[], abc.Sequence[DomainSupply]],
        list_age: float,
        now: float,
    ) -> layout.Change | None:
        """Return the step that one domain should begin or continue.

        Failure: a domain changes during an outage of the store. When the
        store is back, another node holds the lease, takes the list from
        before the outage and drains the last replica of a model.

        Args:
            service: The service, for the order of its domains.
            engine: Models with their stated shares.
            work: Replicas that are kept busy by the offered work, by model.
            list_domains: Returns the domains; called only if the shares
                deviate.
            list_age: Seconds since the list of instances was read.
            now: Monotonic time in seconds.
        """
        change = state = None
        shares = workload.compute_shares(engine, work)
        is_known = bool(shares) and list_age <= _MAX_LIST_AGE_SECONDS
        if is_known and self._may_change(engine, shares):
            domains = list_domains()
            self._note_step(domains)
            state = _make_state(engine, work, shares, domains)
            change = _choose_change(service, state)
        self._note_called_for(change, now)
        self.scarce = ""
        self.blank_domain, self.lacking = ids.DomainName(""), 0
        if (
            state is None
            or change is None
            or now - self._since < _HOLD_SECONDS
        ):
            return None
        last = self._last_change
        is_opposite = last is not None and change.surplus == last.scarce
        if is_opposite and now - self._last_at < _HORIZON_SECONDS:
            return None
        self.scarce = change.scarce
        self.blank_domain, self.lacking = _choose_blank_domain(
            service, state, change
        )
        if not change.domain:
            return None
        self._last_change, self._last_at = change, now
        self._last_supply = next(
            domain for domain in state.domains if domain.name == change.domain
        )
        return change

    def _note_step(self, domains: abc.Sequence[DomainSupply]) -> None:
        """Note whether the list shows that the last step was begun.

        Failure: a step was decided but never begun, as all replicas were
        busy. The node then left out the first rule for good, although the
        layout was still that of the stated shares.
        """
        last, before = self._last_change, self._last_supply
        if last is None or before is None:
            return
        for domain in domains:
            if domain.name != last.domain:
                continue
            remaining = domain.replicas.get(last.surplus, 0)
            was_drained = remaining <= last.held - last.drained
            has_more = any(
                now.get(last.scarce, 0) > then.get(last.scarce, 0)
                for now, then in (
                    (domain.replicas, before.replicas),
                    (domain.idle, before.idle),
                )
            )
            if was_drained and (domain.converting or has_more):
                self._has_seen_step = True

    def may_step(self, now: float) -> bool:
        """Return whether a step may be under way in any domain.

        Steps are called for 8 s before they begin, longer than the window
        of the weight store. Loads of a step that drained a replica may
        follow long after the step was last called for.

        Args:
            now: Monotonic time in seconds.
        """
        return now - self._seen_at < _HORIZON_SECONDS

    def _note_called_for(
        self, change: layout.Change | None, now: float
    ) -> None:
        """Note which step is called for, and since when."""
        if change is None:
            return
        models = (change.surplus, change.scarce)
        is_new = models != self._called_for
        if is_new or now - self._seen_at > _MAX_GAP_SECONDS:
            self._since = now
        self._called_for, self._seen_at = models, now

    def _may_change(
        self, engine: routes.Engine, shares: abc.Mapping[str, float]
    ) -> bool:
        """Return whether the shares deviate from those of the layout.

        Once the layout was changed it no longer follows the stated shares,
        and has to be changed back when the work returns to them.
        """
        if self._has_seen_step:
            return True
        total = sum(model.share for model in engine.models)
        return any(
            shares[model.name] * total
            >= _MIN_DEVIATION * max(model.share, 0.01)
            for model in engine.models
        )


def _make_state(
    engine: routes.Engine,
    work: abc.Mapping[str, float],
    shares: abc.Mapping[str, float],
    domains: abc.Sequence[DomainSupply],
) -> _State:
    names = [model.name for model in engine.models]
    return _State(
        engine,
        {name: work.get(name, 0.0) / _PLANNED_LOAD for name in names},
        shares,
        {
            name: sum(domain.replicas.get(name, 0) for domain in domains)
            for name in names
        },
        domains,
    )


def _choose_change(
    service: ids.ServiceName, state: _State
) -> layout.Change | None:
    """Return the step that is worth its loads, None if there is none.

    Its domain is empty if the step must wait for another one to end.
    """
    models = sorted(state.engine.models, key=state.measure_coverage)
    scarce, surplus = models[0], models[-1]
    if scarce is surplus or not state.measure_shortage(scarce):
        return None
    candidates, drained = _list_candidates(state, surplus, scarce)
    if not _is_worth_loads(state, surplus, scarce, drained):
        return None
    chosen = min(
        candidates,
        key=lambda domain: _make_order_key(
            service, state, domain, surplus, scarce
        ),
        default=None,
    )
    return layout.Change(
        domain=chosen.name if chosen else ids.DomainName(""),
        surplus=surplus.name,
        scarce=scarce.name,
        drained=drained,
        held=chosen.replicas.get(surplus.name, 0) if chosen else 0,
    )


def _list_candidates(
    state: _State, surplus: routes.Model, scarce: routes.Model
) -> tuple[list[DomainSupply], int]:
    """Return the domains that may change, and the replicas to drain there.

    Idle instances are used first. A domain in which a step is under way or
    replicas are repaired is unsettled: other domains wait for it, and it
    may only use more of its own idle instances. While there are several,
    there are no candidates.
    """
    needed = scarce.size + _MIN_SPARES
    unsettled = [
        domain
        for domain in state.domains
        if domain.converting
        or domain.outside - domain.idle.get(surplus.name, 0) >= needed
    ]
    idle = [
        domain
        for domain in (unsettled or state.domains)
        if domain.idle.get(surplus.name, 0) >= needed
    ]
    if idle and len(unsettled) < 2:
        return idle, 0
    drained = math.ceil(scarce.size / surplus.size)
    if unsettled or any(domain.outside >= needed for domain in state.domains):
        return [], drained
    candidates = [
        domain
        for domain in state.domains
        if domain.replicas.get(surplus.name, 0) >= drained
    ]
    return candidates, drained


def _choose_blank_domain(
    service: ids.ServiceName, state: _State, change: layout.Change
) -> tuple[ids.DomainName, int]:
    """Return the domain whose blank instances get the scarce model.

    Failure: replacements arrived in all domains at once, and all of them
    were loaded with the scarce model, far more than the shortage took.

    Returns:
        The domain, empty if there is none, and how many replicas to load.
        None are loaded while another model with work has no replica: its
        replacements are needed.
    """
    nobody = ids.DomainName(""), 0
    scarce = state.engine.find(change.scarce)
    surplus = state.engine.find(change.surplus)
    assert scarce is not None and surplus is not None
    if any(
        state.needs.get(model.name, 0.0) and not state.replicas[model.name]
        for model in state.engine.models
        if model is not scarce
    ):
        return nobody
    # The list doesn't show what is loaded: all of it may be the scarce model.
    pending = sum(
        (domain.loading + domain.converting) // scarce.size
        for domain in state.domains
    )
    lacking = math.ceil(state.measure_shortage(scarce, pending))
    candidates = [
        domain
        for domain in state.domains
        if domain.blank and domain.blank + domain.loading >= scarce.size
    ]
    if not lacking or not candidates:
        return nobody
    chosen = min(
        candidates,
        key=lambda domain: _make_order_key(
            service, state, domain, surplus, scarce
        ),
    )
    return chosen.name, lacking


def _make_order_key(
    service: ids.ServiceName,
    state: _State,
    domain: DomainSupply,
    surplus: routes.Model,
    scarce: routes.Model,
) -> tuple[bool, int, int, str]:
    """Return the key that sorts domains by the order they change in.

    A domain that has replicas of both models goes first: with a single
    model, all survivors of a loss can form a replica together. Then the
    data centre with the most replicas of the surplus model, which thus
    keeps replicas in every data centre for as long as possible.
    """
    is_mixed = bool(domain.replicas.get(scarce.name, 0))
    beside = sum(
        other.replicas.get(surplus.name, 0)
        for other in state.domains
        if other.datacentre == domain.datacentre
    )
    key = f"{service}/{scarce.name}"
    rank = rendezvous.score(key, domain.name)
    return not is_mixed, -beside, -rank, domain.name


def _is_worth_loads(
    state: _State, surplus: routes.Model, scarce: routes.Model, drained: int
) -> bool:
    """Return whether a step gains more than its loads cost.

    Both are counted in replica-seconds: the shortage that the step ends
    within the horizon, and the time for which the loaded instances are out
    of service.
    """
    # Two holders with different lists may each drain as many replicas at the
    # same time: a model with work must then still have one.
    has_work = state.needs.get(surplus.name, 0.0) > 0
    lost = 2 * drained if has_work else drained
    if drained and state.replicas.get(surplus.name, 0) <= lost:
        return False
    instances = drained * surplus.size if drained else scarce.size
    gained = instances // scarce.size
    covered = state.measure_coverage(scarce, gained)
    if state.measure_coverage(surplus, -drained) < (
        _MIN_COVERAGE_RATIO * covered
    ):
        return False
    ended = state.measure_shortage(scarce) - state.measure_shortage(
        scarce, gained
    )
    caused = state.measure_shortage(
        surplus, -drained
    ) - state.measure_shortage(surplus)
    cost = _estimate_load_seconds(state.engine, scarce, instances) * (
        drained or _SPARE_VALUE
    )
    return (ended - caused) * _HORIZON_SECONDS > cost


def _estimate_load_seconds(
    engine: routes.Engine, model: routes.Model, instances: int
) -> float:
    """Return the seconds until instances serve another model."""
    rate = max(engine.loads_per_second * LOAD_RATE_SHARE, 0.01)
    rounds = math.ceil(instances / max(engine.loads_at_once, 1))
    loading = max(instances / rate, (rounds - 1) * model.load) + model.load
    return _DRAIN_SECONDS + loading + model.warm

"""The choice of repairs against a brute-force version."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from currantwall.coordination.replicas import repair
from currantwall.state import ids
from currantwall.state import settings

_SETTINGS = settings.ReplicasSection()

_LOSSES = st.builds(
    repair.Loss,
    health=st.sampled_from(
        (repair.Health.SILENT, repair.Health.EMPTY, repair.Health.GONE)
    ),
    seconds=st.floats(0, 600),
    returned=st.booleans(),
)


@st.composite
def _broken(draw: st.DrawFn, number: int) -> repair.Broken:
    return repair.Broken(
        replica=ids.ReplicaId(f"r{number}"),
        healthy=draw(st.integers(0, 4)),
        losses=tuple(draw(st.lists(_LOSSES, min_size=1, max_size=3))),
        accelerators=draw(st.sampled_from((1, 4, 8))),
        downtime_weight=draw(st.sampled_from((0.2, 1.0, 20.0))),
        stranded_weight=draw(st.sampled_from((0.0, 0.1, 1.0))),
        movable=draw(st.booleans()),
    )


_SITES = st.integers(1, 4).flatmap(
    lambda count: st.tuples(*(_broken(number) for number in range(count)))
)


def _pool_after(
    broken: tuple[repair.Broken, ...],
    chosen: tuple[repair.Repair, ...],
    spares: int,
) -> int:
    """Return the free instances, by handing them out one by one."""
    free = spares
    for one, choice in zip(broken, chosen, strict=True):
        if choice is repair.Repair.DISSOLVE:
            free += one.healthy
            free += sum(1 for loss in one.losses if loss.returned)
    for one, choice in zip(broken, chosen, strict=True):
        if choice is repair.Repair.REPLACE:
            free -= sum(1 for loss in one.losses if not loss.returned)
    return free


def _price(
    broken: tuple[repair.Broken, ...],
    chosen: tuple[repair.Repair, ...],
    spares: int,
) -> float | None:
    left = _pool_after(broken, chosen, spares)
    if left < 0:
        return None
    cost = sum(
        repair.weigh(one, choice, _SETTINGS)
        for one, choice in zip(broken, chosen, strict=True)
    )
    return cost + repair.weigh_pool(left, broken, _SETTINGS)


class RepairTest(unittest.TestCase):
    @given(_SITES, st.integers(0, 4))
    def test_never_dearer_than_brute_force(
        self, broken: tuple[repair.Broken, ...], spares: int
    ) -> None:
        # Several replicas of a domain break at once and share its few
        # free instances. A choice that is made one by one gives the
        # spare to the wrong one; every combination is tried here.
        found = repair.choose_repairs(broken, spares, _SETTINGS)
        chosen = tuple(found[one.replica] for one in broken)
        cost = _price(broken, chosen, spares)
        best = min(
            price
            for combination in itertools.product(
                repair.Repair, repeat=len(broken)
            )
            if (price := _price(broken, combination, spares)) is not None
        )
        self.assertIsNotNone(cost, "more spares used than there are")
        # Costs may be negative: a move credits what it takes elsewhere.
        self.assertLessEqual(cost, best + 1e-9 * abs(best) + 1e-6)

    def test_short_pause_is_waited_for_and_long_one_is_not(self) -> None:
        # A member stalls for some seconds and comes back whole. Taking
        # its replica apart at once would cost a load; waiting for ever
        # would leave the gate closed.
        def choose(seconds: float) -> repair.Repair:
            broken = repair.Broken(
                replica=ids.ReplicaId("r"),
                healthy=3,
                losses=(repair.Loss(repair.Health.SILENT, seconds),),
                accelerators=4,
                downtime_weight=20.0,
                stranded_weight=0.1,
            )
            chosen = repair.choose_repairs((broken,), 1, _SETTINGS)
            return chosen[ids.ReplicaId("r")]

        shares = settings.ReplicasSection(pause_share=0.99)
        self.assertEqual(repair.Repair.REPLACE, choose(120.0))
        estimate = repair.estimate_return(
            repair.Loss(repair.Health.SILENT, 0.0), shares
        )
        self.assertLess(estimate, 30.0)

    def test_member_that_is_back_empty_is_not_waited_for(self) -> None:
        # A process restarts and answers again, with no model loaded. Its
        # replica stayed down for good: the policy waited for a member
        # that was there already, because no spare was free.
        broken = repair.Broken(
            replica=ids.ReplicaId("r"),
            healthy=3,
            losses=(repair.Loss(repair.Health.EMPTY, 5.0, returned=True),),
            accelerators=4,
            downtime_weight=1.0,
            stranded_weight=0.5,
        )
        chosen = repair.choose_repairs((broken,), 0, _SETTINGS)
        self.assertEqual(repair.Repair.REPLACE, chosen[ids.ReplicaId("r")])

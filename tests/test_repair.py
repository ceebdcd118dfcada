"""Tests the choice of repairs against a brute-force search."""

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
def _broken_replica(draw: st.DrawFn, number: int) -> repair.BrokenReplica:
    return repair.BrokenReplica(
        id=ids.ReplicaId(f"r{number}"),
        healthy=draw(st.integers(0, 4)),
        losses=tuple(draw(st.lists(_LOSSES, min_size=1, max_size=3))),
        accelerators=draw(st.sampled_from((1, 4, 8))),
        downtime_weight=draw(st.sampled_from((0.2, 1.0, 20.0))),
        stranded_weight=draw(st.sampled_from((0.0, 0.1, 1.0))),
        movable=draw(st.booleans()),
    )


_BROKEN_REPLICAS = st.integers(1, 4).flatmap(
    lambda count: st.tuples(
        *(_broken_replica(number) for number in range(count))
    )
)


def _count_free_after(
    broken: tuple[repair.BrokenReplica, ...],
    chosen: tuple[repair.Repair, ...],
    spares: int,
) -> int:
    """Return the free instances left, counted one repair at a time."""
    free = spares
    for replica, choice in zip(broken, chosen, strict=True):
        if choice is repair.Repair.DISSOLVE:
            free += replica.healthy
            free += sum(1 for loss in replica.losses if loss.returned)
    for replica, choice in zip(broken, chosen, strict=True):
        if choice is repair.Repair.REPLACE:
            free -= sum(1 for loss in replica.losses if not loss.returned)
    return free


def _compute_cost(
    broken: tuple[repair.BrokenReplica, ...],
    chosen: tuple[repair.Repair, ...],
    spares: int,
) -> float | None:
    left = _count_free_after(broken, chosen, spares)
    if left < 0:
        return None
    cost = sum(
        repair.estimate_cost(replica, choice, _SETTINGS)
        for replica, choice in zip(broken, chosen, strict=True)
    )
    return cost + repair.estimate_pool_cost(left, broken, _SETTINGS)


class RepairTest(unittest.TestCase):
    @given(_BROKEN_REPLICAS, st.integers(0, 4))
    def test_never_dearer_than_brute_force(
        self, broken: tuple[repair.BrokenReplica, ...], spares: int
    ) -> None:
        # Failure: several replicas of a domain break at once, and repairs
        # chosen one by one give the only free instance to the wrong
        # replica. The expected result comes from trying every combination.
        found = repair.choose_repairs(broken, spares, _SETTINGS)
        chosen = tuple(found[replica.id] for replica in broken)
        cost = _compute_cost(broken, chosen, spares)
        best = min(
            candidate
            for combination in itertools.product(
                repair.Repair, repeat=len(broken)
            )
            if (candidate := _compute_cost(broken, combination, spares))
            is not None
        )
        self.assertIsNotNone(cost, "more free instances used than exist")
        # Costs may be negative: a move is credited with the idle instances
        # that it uses elsewhere.
        self.assertLessEqual(cost, best + 1e-9 * abs(best) + 1e-6)

    def test_short_pause_is_waited_for_and_long_one_is_not(self) -> None:
        # Failure: a member pauses for some seconds and returns unchanged.
        # Dissolving its replica at once costs a load of the model; waiting
        # without a limit leaves the replica down.
        def choose(seconds: float) -> repair.Repair:
            broken = repair.BrokenReplica(
                id=ids.ReplicaId("r"),
                healthy=3,
                losses=(repair.Loss(repair.Health.SILENT, seconds),),
                accelerators=4,
                downtime_weight=20.0,
                stranded_weight=0.1,
            )
            chosen = repair.choose_repairs((broken,), 1, _SETTINGS)
            return chosen[ids.ReplicaId("r")]

        mostly_pauses = settings.ReplicasSection(pause_share=0.99)
        self.assertEqual(repair.Repair.REPLACE, choose(120.0))
        estimate = repair.estimate_return_time(
            repair.Loss(repair.Health.SILENT, 0.0), mostly_pauses
        )
        self.assertLess(estimate, 30.0)

    def test_member_that_returned_without_its_model_is_replaced(self) -> None:
        # Failure: a process restarts and answers without its model, and no
        # instance is free. The replica stays down for good, because the
        # policy waits for a member that has already returned.
        broken = repair.BrokenReplica(
            id=ids.ReplicaId("r"),
            healthy=3,
            losses=(repair.Loss(repair.Health.EMPTY, 5.0, returned=True),),
            accelerators=4,
            downtime_weight=1.0,
            stranded_weight=0.5,
        )
        chosen = repair.choose_repairs((broken,), 0, _SETTINGS)
        self.assertEqual(repair.Repair.REPLACE, chosen[ids.ReplicaId("r")])

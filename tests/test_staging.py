"""Which model a domain is meant for, and which weights are loaded."""

import unittest

import msgspec

from currantwall.coordination.replicas import layout
from currantwall.coordination.replicas import staging
from currantwall.state import ids
from tests import test_formation

ENGINE = test_formation.ENGINE
LARGE = test_formation.LARGE
SMALL = test_formation.SMALL


class AssignmentTest(unittest.TestCase):
    def test_domains_are_dealt_out_alike_by_all(self):
        sizes = {ids.DomainName(f"d{n}"): 9 for n in range(6)}
        found = staging.assign_models(ENGINE, sizes)
        again = staging.assign_models(ENGINE, dict(reversed(sizes.items())))
        self.assertEqual(found, again)
        self.assertEqual(sorted(found.values()).count("large"), 3)

    def test_a_domain_keeps_the_model_that_it_has(self):
        """New instances were loaded with a model they could never serve.

        One domain grows by two instances, and those after it in the order
        of the names change places.
        """
        sizes = {ids.DomainName(f"d{n}"): 37 for n in range(6)}
        first = staging.assign_models(ENGINE, sizes)
        grown = sizes | {ids.DomainName("d0"): 39}
        self.assertNotEqual(staging.assign_models(ENGINE, grown), first)
        kept = staging.assign_models(ENGINE, grown, first)
        self.assertEqual(kept, first)

    def test_a_domain_too_small_for_a_model_is_given_another(self):
        sizes = {ids.DomainName("d0"): 3}
        found = staging.assign_models(ENGINE, sizes)
        self.assertEqual(found, {"d0": "small"})


class MixTest(unittest.TestCase):
    """Whether domains hold replicas of several models."""

    @staticmethod
    def choose(size, shares, sizes):
        models = tuple(
            msgspec.structs.replace(model, size=count, share=share)
            for model, count, share in zip(
                (LARGE, SMALL), sizes, shares, strict=True
            )
        )
        engine = msgspec.structs.replace(ENGINE, models=models)
        domains = {ids.DomainName(f"d{n}"): size for n in range(6)}
        mains = staging.assign_models(engine, domains)
        return layout.choose_mix(engine, domains, mains)

    def test_domains_are_mixed_where_one_model_leaves_half_of_them_idle(self):
        """The larger model was short while 20 of 66 instances stood idle.

        Six domains of eleven, replicas of six and of three, as much work
        for each: one model a domain makes four and six replicas.
        """
        found = self.choose(11, (0.67, 0.33), (6, 3))
        self.assertEqual(found, {"large": 1, "small": 1})

    def test_domains_stay_mixed_after_single_losses(self):
        found = self.choose(10, (0.67, 0.33), (6, 3))
        self.assertEqual(found, {"large": 1, "small": 1})

    def test_domains_keep_to_one_model_where_that_fills_them(self):
        for size, shares, sizes in (
            (9, (0.57, 0.43), (4, 3)),
            (37, (0.5, 0.5), (16, 4)),
            (27, (0.5, 0.5), (12, 6)),
        ):
            self.assertEqual(self.choose(size, shares, sizes), {}, size)


class LoadsTest(unittest.TestCase):
    def choose(self, **kwargs):
        fields = {
            "main": LARGE,
            "blank": (),
            "idle": {},
            "usable": 9,
            "size": 9,
            "cover": {"large": 2.0, "small": 2.0},
        }
        found = staging.choose_loads(ENGINE, staging.Stock(**fields | kwargs))
        return [(one.instance, one.model.name) for one in found]

    def test_blank_instances_get_the_domains_model(self):
        self.assertEqual(self.choose(blank=("a",)), [("a", "large")])

    def test_a_scarce_model_is_loaded_where_the_own_one_has_plenty(self):
        cover = {"large": 3.0, "small": 0.5}
        loads = self.choose(blank=("a", "b", "c"), cover=cover)
        self.assertEqual({model for _, model in loads}, {"small"})

    def test_spares_stay_spares_while_their_model_is_needed(self):
        """Every loss would cost a load of 16 s.

        The spares of a domain are loaded with the other model, and the
        next loss finds none.
        """
        idle = {"large": ("a", "b", "c")}
        cover = {"large": 1.5, "small": 0.5}
        self.assertEqual(self.choose(idle=idle, cover=cover), [])

    def test_spares_are_kept_while_replicas_form_everywhere(self):
        """Each loss cost a replica of sixteen.

        At the start the first domain to form has five spares, sees no
        replica of the other model yet, and turned four of them into one.
        """
        idle = {"large": ("a", "b", "c", "d")}
        cover = {"large": 6.0, "small": 0.0}
        wide = (LARGE, msgspec.structs.replace(SMALL, size=4))
        engine = msgspec.structs.replace(ENGINE, models=wide)
        stock = staging.Stock(
            main=LARGE,
            blank=(),
            idle=idle,
            usable=37,
            size=37,
            cover=cover,
            busy=False,
        )
        self.assertEqual(staging.choose_loads(engine, stock), [])
        later = msgspec.structs.replace(stock, busy=True)
        self.assertEqual(len(staging.choose_loads(engine, later)), 4)

    def test_what_two_models_leave_over_makes_one_replica(self):
        idle = {"large": ("a", "b", "c"), "small": ("d",)}
        self.assertEqual(self.choose(idle=idle), [("d", "large")])

    def test_what_waits_for_partners_in_vain_is_turned(self):
        """A third of a domain would stand idle for ever.

        Twelve instances were loaded with a model of which a replica takes
        sixteen, before all instances of the domain were known.
        """
        waiting = tuple(f"w{n}" for n in range(6))
        engine = msgspec.structs.replace(
            ENGINE,
            models=(SMALL, msgspec.structs.replace(LARGE, size=16)),
        )
        stock = staging.Stock(
            main=SMALL,
            blank=(),
            size=37,
            idle={"small": ("a",), "large": waiting},
            usable=37,
            cover={"large": 2.0, "small": 2.0},
        )
        loads = staging.choose_loads(engine, stock)
        self.assertEqual({one.model.name for one in loads}, {"small"})
        self.assertEqual(len(loads), 5)
        mending = msgspec.structs.replace(stock, formed={"large": 1})
        # Spares of a replica that stands here: only what one more lacks.
        self.assertEqual(len(staging.choose_loads(engine, mending)), 2)

    def test_loads_keep_to_the_domains_part_of_the_rate(self):
        """The weight store would refuse, or slow down for everybody.

        Load: forty instances without weights come at once in each of
        six domains, for a minute.
        """
        budgets = [staging.LoadBucket() for _ in range(6)]
        started = []
        for step in range(600):
            now = step / 10.0
            for budget in budgets:
                count = budget.count(4.5, 6, now)
                budget.spend(count)
                started += [now] * count
        for at in started:
            window = [one for one in started if at <= one < at + 5.0]
            self.assertLessEqual(len(window), 4.5 * 5 * 1.1 + 3)
        self.assertGreater(len(started), 120)


if __name__ == "__main__":
    unittest.main()

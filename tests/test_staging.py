"""Tests which model a domain is meant for and which weights it loads."""

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
    def test_all_nodes_assign_the_same_models(self):
        sizes = {ids.DomainName(f"d{n}"): 9 for n in range(6)}
        found = staging.assign_models(ENGINE, sizes)
        reordered = staging.assign_models(
            ENGINE, dict(reversed(sizes.items()))
        )
        self.assertEqual(found, reordered)
        self.assertEqual(sorted(found.values()).count("large"), 3)

    def test_a_domain_keeps_the_model_that_it_has(self):
        """New instances were loaded with a model that they could never serve.

        One domain grows by two instances; without the models that the
        domains have, those after it by name would be assigned others.
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
    """Tests when domains hold replicas of several models."""

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
        """The larger model was scarce while 20 of 66 instances were idle.

        Six domains of eleven, replicas of six and of three, and as many
        requests for each model: a single model per domain gives four
        replicas of the larger and six of the smaller.
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
            "coverage": {"large": 2.0, "small": 2.0},
        }
        found = staging.choose_loads(
            ENGINE, staging.DomainInventory(**fields | kwargs)
        )
        return [(load.instance, load.model.name) for load in found]

    def test_blank_instances_get_the_domains_model(self):
        self.assertEqual(self.choose(blank=("a",)), [("a", "large")])

    def test_a_scarce_model_is_loaded_where_the_main_one_has_plenty(self):
        coverage = {"large": 3.0, "small": 0.5}
        loads = self.choose(blank=("a", "b", "c"), coverage=coverage)
        self.assertEqual({model for _, model in loads}, {"small"})

    def test_blank_instances_get_the_model_that_the_work_is_short_of(self):
        """Replacements were loaded with a model of which there was plenty.

        Where they are too few for a replica they replace lost members.
        """
        blank = ("a", "b", "c")
        loads = self.choose(blank=blank, scarce="small", lacking=1)
        self.assertEqual({model for _, model in loads}, {"small"})
        loads = self.choose(blank=blank[:2], scarce="small", lacking=1)
        self.assertEqual({model for _, model in loads}, {"large"})

    def test_blank_instances_get_only_what_the_shortage_takes(self):
        """All replacements in all domains got the scarce model at once.

        The shortage is given to one domain only, as a number of replicas.
        """
        blank = tuple("abcdefgh")
        loads = self.choose(blank=blank, scarce="small", lacking=1)
        models = [model for _, model in loads]
        self.assertEqual(models.count("small"), SMALL.size)
        self.assertEqual(models.count("large"), 8 - SMALL.size)
        loads = self.choose(blank=blank, scarce="small", lacking=0)
        self.assertEqual({model for _, model in loads}, {"large"})

    def test_instances_of_the_scarce_model_are_not_loaded_back(self):
        """The instances of a step that waited were loaded back.

        They are too few for a replica until the rest is loaded.
        """
        idle = {"small": ("a", "b"), "large": ("c", "d")}
        fields = {"main": SMALL, "idle": idle}
        fields["coverage"] = {"large": 2.0, "small": 1.0}
        self.assertEqual(self.choose(**fields), [("c", "small")])
        self.assertEqual(self.choose(scarce="large", **fields), [])

    def test_spares_stay_spares_while_their_model_is_needed(self):
        """The spares of a domain must not be loaded with a scarcer model.

        The next loss would then find no spare and need a load of 16 s.
        """
        idle = {"large": ("a", "b", "c")}
        coverage = {"large": 1.5, "small": 0.5}
        self.assertEqual(self.choose(idle=idle, coverage=coverage), [])

    def test_spares_are_kept_while_replicas_form_everywhere(self):
        """Without its spares, each loss cost a domain a replica of sixteen.

        At the start the first domain to form has five spares. No replica
        of the other model is listed yet, so it turned four of them into
        one.
        """
        idle = {"large": ("a", "b", "c", "d")}
        coverage = {"large": 6.0, "small": 0.0}
        wide = (LARGE, msgspec.structs.replace(SMALL, size=4))
        engine = msgspec.structs.replace(ENGINE, models=wide)
        inventory = staging.DomainInventory(
            main=LARGE,
            blank=(),
            idle=idle,
            usable=37,
            size=37,
            coverage=coverage,
            has_traffic=False,
        )
        self.assertEqual(staging.choose_loads(engine, inventory), [])
        with_traffic = msgspec.structs.replace(inventory, has_traffic=True)
        self.assertEqual(len(staging.choose_loads(engine, with_traffic)), 4)

    def test_spares_of_two_models_form_one_replica(self):
        idle = {"large": ("a", "b", "c"), "small": ("d",)}
        self.assertEqual(self.choose(idle=idle), [("d", "large")])

    def test_instances_too_few_for_their_model_are_loaded_with_the_main_one(
        self,
    ):
        """A third of a domain's instances were idle for ever.

        Before all instances of the domain were listed, twelve were loaded
        with a model whose replica takes sixteen.
        """
        waiting = tuple(f"w{n}" for n in range(6))
        engine = msgspec.structs.replace(
            ENGINE,
            models=(SMALL, msgspec.structs.replace(LARGE, size=16)),
        )
        inventory = staging.DomainInventory(
            main=SMALL,
            blank=(),
            size=37,
            idle={"small": ("a",), "large": waiting},
            usable=37,
            coverage={"large": 2.0, "small": 2.0},
        )
        loads = staging.choose_loads(engine, inventory)
        self.assertEqual({load.model.name for load in loads}, {"small"})
        self.assertEqual(len(loads), 5)
        with_replica = msgspec.structs.replace(inventory, formed={"large": 1})
        # They are spares of a replica here: only as many are loaded as one
        # more replica of the main model lacks.
        self.assertEqual(len(staging.choose_loads(engine, with_replica)), 2)

    def test_loads_keep_to_the_domains_share_of_the_rate(self):
        """Above its rate the weight store refuses loads or slows all down.

        Forty instances without weights are added to each of six domains at
        once, and for a minute each domain starts as many loads as it may.
        """
        buckets = [staging.LoadBucket() for _ in range(6)]
        started = []
        for step in range(600):
            now = step / 10.0
            for bucket in buckets:
                count = bucket.count(4.5, 6, now)
                bucket.spend(count)
                started += [now] * count
        for start in started:
            window = [
                other for other in started if start <= other < start + 5.0
            ]
            self.assertLessEqual(len(window), 4.5 * 5 * 1.1 + 3)
        self.assertGreater(len(started), 120)


if __name__ == "__main__":
    unittest.main()

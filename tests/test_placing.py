"""Overload in virtual time: which requests wait, go first or are refused."""

import unittest
from unittest import mock

import msgspec

from currantwall.coordination.requests import attained
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import capacity
from currantwall.coordination.requests import evacuations
from currantwall.coordination.requests import fairness
from currantwall.coordination.requests import placing
from currantwall.state import ids
from currantwall.state import upstreams
from standins import surge

_KIND = surge.KIND
_ENGINE = surge.ENGINE
_TIMING = surge.TIMING
make_leader = surge.make_leader
make_ticket = surge.make_ticket


class SurgeTest(unittest.TestCase):
    """Twice the usual traffic for eight seconds.

    Load: 15 gateways in front of six replicas of 13 slots, 60 in 100 of
    which are taken at the usual load.
    """

    def play(self, factor, seed):
        simulation = surge.Simulation(surge.Policy.WAITS, seed=seed)
        simulation.run(surge.Surge(rate=39.0, factor=factor))
        return simulation

    def test_most_are_in_time_while_twice_as_many_come(self):
        """Guards against nine in ten callers being answered too late.

        Each replica works on requests that are already late, while newer
        ones wait behind them.
        """
        for seed in (1, 2, 3):
            share = self.play(2.0, seed).compute_share_in_time(8.0, 16.0)
            self.assertGreater(share, 0.6, seed)

    def test_requests_are_in_time_a_second_after_the_load(self):
        """Guards against callers waiting six seconds after the load ended."""
        for seed in (1, 2, 3):
            share = self.play(2.0, seed).compute_share_in_time(17.0, 26.0)
            self.assertGreater(share, 0.95, seed)

    def test_nothing_is_refused_while_slots_are_free(self):
        """Guards against refusing callers at the usual load.

        Counts that are a moment old make replicas look full.
        """
        for seed in (1, 2, 3):
            simulation = self.play(1.0, seed)
            self.assertEqual(simulation.refused, [])
            self.assertGreater(
                simulation.compute_share_in_time(0.0, 26.0), 0.98
            )


class OrganisationsTest(unittest.TestCase):
    """Organisations that send many times their share for six seconds.

    Load: five small organisations use a third of the replicas. Two others
    send five and ten times as much as before, and repeat at once after each
    refusal.
    """

    SMALL = tuple(f"small{number}" for number in range(5))
    LARGE = ("large", "greedy")

    def play(self, seed, relayed=False):
        scale = 2 if relayed else 1
        simulation = surge.Simulation(
            surge.Policy.WAITS,
            gateways=40 if relayed else 15,
            replicas=6 * scale,
            seed=seed,
            are_counts_relayed=relayed,
        )
        senders = {name: surge.Sender(rate=3.0 * scale) for name in self.SMALL}
        for name, factor in zip(self.LARGE, (5.0, 10.0), strict=True):
            senders[name] = surge.Sender(
                rate=8.0 * scale, factor=factor, repeats=True
            )
        load = surge.Surge(
            rate=0.0, factor=1.0, begin=6.0, end=12.0, seconds=17.0
        )
        simulation.run_senders(load, senders)
        return simulation

    def check_small(self, simulation):
        """Check the small organisations' requests during the surge."""
        before, during = (
            sum(
                simulation.compute_share_of(name, *period)
                for name in self.SMALL
            )
            for period in ((1.0, 6.0), (7.0, 12.0))
        )
        self.assertGreaterEqual(during, 0.9 * before)

    def check_large(self, simulation):
        """Check that the others divide equally what is left."""
        counts = [
            simulation.count_in_time(name, 7.0, 12.0) for name in self.LARGE
        ]
        self.assertGreaterEqual(fairness.measure_jain(counts), 0.9)

    def test_small_organisations_are_in_time_beside_large_ones(self):
        """Guards against one organisation that makes all others late."""
        for seed in (1, 2):
            simulation = self.play(seed)
            self.check_small(simulation)
            self.check_large(simulation)

    def test_small_organisations_are_in_time_where_counts_are_relayed(self):
        """Guards against the same where counts are as old as a request."""
        simulation = self.play(1, relayed=True)
        self.check_large(simulation)
        self.check_small(simulation)

    def test_a_relayed_fleet_is_in_time_again_after_a_burst(self):
        """Guards against an overload that goes on after its cause.

        Load: 2.6 times as many requests for four seconds, at a hundred
        gateways with counts as old as a request. Requests were late until
        16 s after the end of such a burst: all gateways chose the replicas
        that seemed free, and overran them in turn.
        """
        simulation = surge.Simulation(
            surge.Policy.WAITS,
            gateways=100,
            replicas=16,
            are_counts_relayed=True,
        )
        load = surge.Surge(
            rate=104.0, factor=2.6, begin=6.0, end=10.0, seconds=16.0
        )
        with mock.patch.object(surge, "TARGET", 0.25):
            simulation.run(load)
            share = simulation.compute_share_in_time(13.0, 16.0)
        self.assertGreaterEqual(share, 0.9)

    def test_nothing_is_held_back_while_capacity_suffices(self):
        """Guards against organisations that are limited at the usual load."""
        account = attained.AttainedService(lambda _: 0)
        name = ids.OrganisationName("a")
        for number in range(100):
            account.note_start("pool/m", name, 0.1, number / 100)
        self.assertEqual(account.find_level("pool/m", name, 1.0), 0)
        self.assertEqual(account.list_counts(1.0), {})

    def test_a_placement_says_that_its_organisation_is_over_its_share(self):
        """Guards against a log that hides why a request waited."""
        fleet = upstreams.Fleet()
        fleet.replace([make_leader(0)], 1, 0.0)
        balancer = balancing.Balancer(fleet, ids.DatacentreName("here"))
        placer = placing.Placer(balancer)
        levels = {}
        for name, count in (("small", 1), ("large", 5)):
            for number in range(count):
                ticket = make_ticket(
                    f"{name}{number}",
                    organisation=ids.OrganisationName(name),
                    cost=0.1,
                )
                balancer.attained.note_waiting("pool/m", 0.0)
                levels[name] = placer.try_place(ticket, 0.1 * number).level
        self.assertEqual(levels["small"], 0)
        self.assertGreater(levels["large"], 0)

    def test_reports_do_not_grow_with_the_number_of_organisations(self):
        """Guards against heartbeats of several kilobytes per organisation."""
        account = attained.AttainedService(lambda _: 0)
        account.note_waiting("pool/m", 0.0)
        for number in range(1000):
            name = ids.OrganisationName(f"o{number}")
            account.note_start("pool/m", name, 0.1, 0.0)
        self.assertLessEqual(len(account.list_counts(0.0)), 128)


class BacklogTest(unittest.TestCase):
    def setUp(self):
        self.backlog = backlog.Backlog()
        self.backlog.set_initial_estimate(_KIND, 0.1)

    def list_requests(self, now):
        tickets = self.backlog.list_tickets(_KIND, now)
        return [ticket.request for ticket in tickets]

    def test_requests_that_can_be_in_time_go_before_late_ones(self):
        self.backlog.add(make_ticket("late", 0.0))
        self.backlog.add(make_ticket("older", 0.5))
        self.backlog.add(make_ticket("newer", 0.6))
        self.assertEqual(self.list_requests(0.65), ["newer", "older", "late"])

    def test_a_higher_rank_goes_first_among_those_in_time(self):
        self.backlog.add(make_ticket("first", 0.0, rank=0))
        self.backlog.add(make_ticket("second", 0.1, rank=1))
        self.assertEqual(self.list_requests(0.1), ["first", "second"])

    def test_late_requests_go_in_the_order_their_callers_give_up(self):
        self.backlog.add(make_ticket("b", 0.2))
        self.backlog.add(make_ticket("a", 0.1))
        self.assertEqual(self.list_requests(1.5), ["a", "b"])

    def test_one_surge_does_not_make_every_request_look_late(self):
        """Guards against all requests being late once a surge has begun.

        First events take longer while replicas are full. By their mean no
        request could be in time, and all would go in order of arrival.
        """
        for number in range(100):
            self.backlog.note_first(_KIND, 0.1 if number % 3 == 0 else 0.9)
        self.assertLess(self.backlog.estimate_first_event(_KIND), 0.3)

    def test_requests_that_cannot_start_in_time_are_rejected_at_once(self):
        """Guards against holding callers until they give up, unserved.

        Forty late requests wait and one starts every half second, but
        callers wait for two seconds only.
        """
        for number in range(40):
            self.backlog.add(make_ticket(f"r{number:02}", 0.0))
        for number in range(4):
            self.backlog.note_start(_KIND, True, number * 0.5)
        unservable = self.backlog.list_unservable(_KIND, 1.5)
        self.assertGreater(len(unservable), 35)
        names = {ticket.request for ticket in unservable}
        self.assertNotIn(self.list_requests(1.5)[0], names)

    def test_retry_after_grows_with_the_time_the_load_has_lasted(self):
        """Guards against callers that return too soon and are refused again.

        They were told to come back after half a second.
        """
        self.backlog.add(make_ticket("a", 0.0))
        self.assertEqual(
            self.backlog.estimate_retry_after(_KIND, 1.3, 0.1), 2.0
        )
        self.assertEqual(
            self.backlog.estimate_retry_after(_KIND, 1.3, 5.0), 5.0
        )

    def test_gateways_share_the_slots_that_all_see_as_free(self):
        """Guards against 15 gateways that each fill the same free slot."""
        self.assertAlmostEqual(backlog.divide_slots(3, 2, 28), 0.2)
        self.assertGreater(backlog.divide_slots(3, 2, 1), 2)


class PlacerTest(unittest.TestCase):
    def setUp(self):
        self.fleet = upstreams.Fleet()
        self.fleet.replace([make_leader(0)], 1, 0.0)
        self.balancer = balancing.Balancer(
            self.fleet, ids.DatacentreName("here")
        )
        self.placer = placing.Placer(self.balancer)

    def fill_up(self, now=0.0):
        count = 0
        while isinstance(
            self.placer.try_place(make_ticket(f"f{count}", now), now),
            placing.Placement,
        ):
            count += 1
        return count

    def note_pauses(self, leader, seconds):
        for number in range(50):
            self.balancer.note_pause(
                ids.InstanceId(leader), seconds, number * 0.05
            )

    def test_a_replica_gets_one_request_more_than_its_limit(self):
        self.assertEqual(self.fill_up(), 14)

    def test_a_late_request_leaves_slots_for_those_in_time(self):
        late = make_ticket("late", 0.0)
        for _ in range(11):
            self.balancer.begin(ids.InstanceId("i0"), 1.0)
        found = self.placer.try_place(late, 1.0)
        self.assertTrue(found.is_full)
        found = self.placer.try_place(make_ticket("new", 1.0), 1.0)
        self.assertIsInstance(found, placing.Placement)

    def test_the_slot_of_an_ended_request_goes_to_a_waiting_one(self):
        self.fill_up()
        self.placer.add(make_ticket("next", 0.0))
        self.assertEqual(self.placer.replace_ended(0.01), [])
        self.balancer.end(ids.InstanceId("i0"))
        (placement,) = self.placer.replace_ended(0.02)
        self.assertEqual(placement.ticket.request, "next")
        self.assertEqual(self.placer.backlog.count(_KIND), 0)

    def test_a_share_of_a_limit_is_used_at_once(self):
        """Guards against shares that lapse while they are divided again.

        Many requests wait at other gateways, but the share is this one's.
        """
        self.balancer.limits.note_answer(ids.InstanceId("i0"), 5.0, 0.0)
        key = backlog.format_count_key(_KIND)
        self.balancer.note_loads(ids.NodeId("n1"), {key: 200}, 0.0)
        self.placer.add(make_ticket("next", 0.0))
        (placement,) = self.placer.fill(_KIND, 0.01)
        self.assertEqual(placement.ticket.request, "next")

    def test_the_share_of_a_cold_replica_is_no_credit_for_warm_ones(self):
        """Guards against slots that two gateways fill at once.

        Many requests wait at other gateways, so this one may fill hardly
        any of the warm replica's slots.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        me = self.balancer.limits
        me.note_nodes([ids.NodeId("")], 0.0)
        me.note_cold(ids.InstanceId("i1"), 7.0, 90.0, 30.0)
        key = backlog.format_count_key(_KIND)
        self.balancer.note_loads(ids.NodeId("n1"), {key: 2000}, 30.0)
        for number in range(20):
            self.placer.add(make_ticket(f"w{number}", 30.0))
        self.assertTrue(me.permits(ids.InstanceId("i1"), 30.0))
        found = self.placer.fill(_KIND, 30.0)
        self.assertEqual([one.upstream.id for one in found], ["i1", "i1"])

    def test_waiting_requests_ask_for_shares_without_a_free_slot(self):
        """Guards against cold replicas that idle while requests wait.

        The warm replica is full, so this gateway may fill no slot, and no
        new request comes.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        self.balancer.limits.note_cold(ids.InstanceId("i1"), 7.0, 9.0, 0.0)
        for _ in range(20):
            self.balancer.begin(ids.InstanceId("i0"), 0.0)
        self.placer.add(make_ticket("next", 0.0))
        self.balancer.limits.list_share_requests(0.0)
        self.assertEqual(self.placer.fill(_KIND, 0.01), [])
        self.assertTrue(self.balancer.limits.has_demand)

    def test_a_slow_replica_has_a_lower_limit(self):
        """Guards against long pauses in a quarter of all streams.

        One of two replicas has a member that is six times as slow, but
        takes as many requests as the other.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        self.note_pauses("i0", 0.5)
        self.note_pauses("i1", 0.06)
        self.fill_up(2.5)
        self.assertEqual(self.balancer.count_load(ids.InstanceId("i0")), 2)
        self.assertEqual(self.balancer.count_load(ids.InstanceId("i1")), 14)

    def test_a_slow_gateway_does_not_lower_the_limits_of_all_replicas(self):
        """Guards against refusing callers although the replicas are idle.

        A gateway that is short of processor time observes long pauses in
        all its streams.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        self.note_pauses("i0", 0.5)
        self.note_pauses("i1", 0.45)
        self.assertEqual(self.fill_up(2.5), 28)

    def evacuate(self, *datacentres):
        known = evacuations.Evacuations(5.0)
        known.note(1, datacentres, 1.0)
        self.balancer.evacuations = known

    def test_a_request_waits_while_another_data_centre_can_serve(self):
        """Guards against refusing callers during each evacuation."""
        spare = msgspec.structs.replace(
            make_leader(1), datacentre=ids.DatacentreName("b"), seat=None
        )
        self.fleet.replace([make_leader(0), spare], 2, 0.0)
        self.evacuate(make_leader(0).datacentre)
        found = self.placer.try_place(make_ticket("a", 1.0), 1.0)
        self.assertTrue(found.is_full)
        self.assertEqual(self.placer.turn_away(_KIND, 1.0), [])

    def test_requests_do_not_wait_where_all_is_evacuated(self):
        """Guards against callers that wait for nothing, also queued ones."""
        self.placer.add(make_ticket("queued", 1.0))
        self.evacuate(make_leader(0).datacentre)
        found = self.placer.try_place(make_ticket("a", 1.0), 1.0)
        self.assertFalse(found.is_full)
        self.assertGreater(found.retry_after, 0)
        (refusal,) = self.placer.turn_away(_KIND, 1.0)
        self.assertEqual(refusal.ticket.request, "queued")
        self.assertGreater(refusal.retry_after, 0)

    def test_relayed_requests_spread_while_most_replicas_are_full(self):
        """Guards against a hundred gateways that choose the same replica.

        Its counts show a free slot for as long as they are old.
        """
        self.fleet.replace([make_leader(n) for n in range(4)], 2, 0.0)
        loads = {"i0": 14, "i1": 14, "i2": 14, "i3": 13}
        self.balancer.note_loads(ids.NodeId("other"), loads, 0.0)
        chosen = set()
        for number in range(40):
            ticket = make_ticket(f"r{number}")
            chosen.add(self.placer._choose(ticket, 0.0).id)
        self.assertEqual(chosen, {"i3"})
        self.balancer.are_counts_relayed = True
        for number in range(40):
            ticket = make_ticket(f"r{number}")
            chosen.add(self.placer._choose(ticket, 0.0).id)
        self.assertEqual(chosen, set(loads))

    def test_unknown_evacuations_are_a_reason_of_their_own(self):
        """Guards against operators who look for an evacuation by mistake."""
        self.placer.add(make_ticket("queued", 1.0))
        self.balancer.evacuations = evacuations.Evacuations(5.0)
        found = self.placer.try_place(make_ticket("a", 1.0), 1.0)
        (refusal,) = self.placer.turn_away(_KIND, 1.0)
        reason = "the evacuated data centres are not known"
        self.assertEqual([found.reason, refusal.reason], [reason] * 2)

    def test_a_request_does_not_wait_where_no_replica_exists(self):
        self.fleet.replace([], 2, 1.0)
        found = self.placer.try_place(make_ticket("a", 1.0), 1.0)
        self.assertFalse(found.is_full)


class CapacityTest(unittest.TestCase):
    def test_the_limit_keeps_pauses_within_the_allowed_gap(self):
        """Guards against too long a pause in every stream of a replica."""
        limit = capacity.compute_limit(_ENGINE, "m", 0.25)
        self.assertEqual(limit, 13)
        slow = capacity.compute_limit(_ENGINE, "m", 0.25, 3.5)
        self.assertTrue(1 <= slow < 13)
        pause = capacity.estimate_pass_time(_TIMING, 3.5, slow)
        pause += capacity.estimate_prompt_time(_TIMING, 3.5)
        self.assertLessEqual(pause, 0.25)

    def test_without_timing_the_limit_is_the_number_of_slots(self):
        engine = msgspec.structs.replace(_ENGINE, timing=None)
        self.assertEqual(capacity.compute_limit(engine, "m", 0.25), 13)


if __name__ == "__main__":
    unittest.main()

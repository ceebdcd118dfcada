"""Load at its worst, replayed: what waits, who goes first, who is refused."""

import unittest

import msgspec

from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import capacity
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

    Load: 15 gateways before six replicas of 13 places, 60 in 100 of them
    taken at the usual load.
    """

    def play(self, factor, seed):
        replay = surge.Replay(surge.Policy.WAITS, seed=seed)
        replay.run(surge.Surge(rate=39.0, factor=factor))
        return replay

    def test_most_are_in_time_while_twice_as_many_come(self):
        """Nine in ten callers were answered, all too late.

        Each replica works on requests whose time is up, while newer ones
        wait behind them.
        """
        for seed in (1, 2, 3):
            share = self.play(2.0, seed).share_in_time(8.0, 16.0)
            self.assertGreater(share, 0.6, seed)

    def test_it_is_over_a_second_after_the_load(self):
        """Callers waited for six more seconds after the load was gone."""
        for seed in (1, 2, 3):
            share = self.play(2.0, seed).share_in_time(17.0, 26.0)
            self.assertGreater(share, 0.95, seed)

    def test_nothing_is_refused_while_places_are_free(self):
        """Callers were sent away at the usual load.

        Counts that are a moment old made replicas look full.
        """
        for seed in (1, 2, 3):
            replay = self.play(1.0, seed)
            self.assertEqual(replay.refused, [])
            self.assertGreater(replay.share_in_time(0.0, 26.0), 0.98)


class BacklogTest(unittest.TestCase):
    def setUp(self):
        self.backlog = backlog.Backlog()
        self.backlog.assume_first(_KIND, 0.1)

    def list_names(self, now):
        found = self.backlog.list_tickets(_KIND, now)
        return [one.request for one in found]

    def test_who_can_be_in_time_goes_before_who_cannot(self):
        self.backlog.add(make_ticket("late", 0.0))
        self.backlog.add(make_ticket("older", 0.5))
        self.backlog.add(make_ticket("newer", 0.6))
        self.assertEqual(self.list_names(0.65), ["newer", "older", "late"])

    def test_a_higher_rank_goes_first_among_those_in_time(self):
        self.backlog.add(make_ticket("first", 0.0, rank=0))
        self.backlog.add(make_ticket("second", 0.1, rank=1))
        self.assertEqual(self.list_names(0.1), ["first", "second"])

    def test_late_ones_go_before_their_callers_give_up(self):
        self.backlog.add(make_ticket("b", 0.2))
        self.backlog.add(make_ticket("a", 0.1))
        self.assertEqual(self.list_names(1.5), ["a", "b"])

    def test_one_surge_does_not_make_every_request_look_late(self):
        """Nobody was in time any more once a surge had begun.

        First events take longer while replicas are full; with their mean
        no request could be in time, and all went in order of arrival.
        """
        for number in range(100):
            self.backlog.note_first(_KIND, 0.1 if number % 3 == 0 else 0.9)
        self.assertLess(self.backlog.expect_first(_KIND), 0.3)

    def test_what_cannot_begin_in_time_is_turned_away_at_once(self):
        """Callers were held until they gave up, and then not served.

        Forty late requests wait and one gets a place each half second:
        callers bear two seconds.
        """
        for number in range(40):
            self.backlog.add(make_ticket(f"r{number:02}", 0.0))
        for number in range(4):
            self.backlog.note_start(_KIND, True, number * 0.5)
        hopeless = self.backlog.list_hopeless(_KIND, 1.5)
        self.assertGreater(len(hopeless), 35)
        names = {one.request for one in hopeless}
        self.assertNotIn(self.list_names(1.5)[0], names)

    def test_a_hint_grows_with_the_load_that_has_lasted(self):
        """Callers came back after half a second and were refused again."""
        self.backlog.add(make_ticket("a", 0.0))
        self.assertEqual(
            self.backlog.estimate_retry_after(_KIND, 1.3, 0.1), 2.0
        )
        self.assertEqual(
            self.backlog.estimate_retry_after(_KIND, 1.3, 5.0), 5.0
        )

    def test_gateways_share_the_places_that_all_hear_of(self):
        """Fifteen gateways gave the same free place to a request each."""
        self.assertAlmostEqual(backlog.divide_places(3, 2, 28), 0.2)
        self.assertGreater(backlog.divide_places(3, 2, 1), 2)


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
            self.placer.ask(make_ticket(f"f{count}", now), now),
            placing.Placement,
        ):
            count += 1
        return count

    def note_pauses(self, leader, seconds):
        for number in range(50):
            self.balancer.note_pause(
                ids.InstanceId(leader), seconds, number * 0.05
            )

    def test_a_replica_gets_what_it_works_on_and_one_more(self):
        self.assertEqual(self.fill_up(), 14)

    def test_a_late_request_leaves_places_for_those_in_time(self):
        late = make_ticket("late", 0.0)
        for _ in range(11):
            self.balancer.begin(ids.InstanceId("i0"))
        found = self.placer.ask(late, 1.0)
        self.assertTrue(found.is_full)
        found = self.placer.ask(make_ticket("new", 1.0), 1.0)
        self.assertIsInstance(found, placing.Placement)

    def test_the_place_of_an_ended_request_is_given_on(self):
        self.fill_up()
        self.placer.add(make_ticket("next", 0.0))
        self.assertEqual(self.placer.replace_ended(0.01), [])
        self.balancer.end(ids.InstanceId("i0"))
        (given,) = self.placer.replace_ended(0.02)
        self.assertEqual(given.ticket.request, "next")
        self.assertEqual(self.placer.backlog.count(_KIND), 0)

    def test_a_slow_replica_is_left_to_what_it_can_bear(self):
        """A quarter of all streams paused for longer than is allowed.

        One of two replicas has a member that works six times as slowly;
        it takes as many requests as the other.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        self.note_pauses("i0", 0.5)
        self.note_pauses("i1", 0.06)
        self.fill_up(2.5)
        self.assertEqual(self.balancer.count_load(ids.InstanceId("i0")), 2)
        self.assertEqual(self.balancer.count_load(ids.InstanceId("i1")), 14)

    def test_a_gateway_that_is_slow_itself_does_not_blame_the_replicas(self):
        """A gateway refused its callers although the replicas were idle.

        It is short of processor time, and all streams pause at it.
        """
        self.fleet.replace([make_leader(0), make_leader(1)], 2, 0.0)
        self.note_pauses("i0", 0.5)
        self.note_pauses("i1", 0.45)
        self.assertEqual(self.fill_up(2.5), 28)

    def test_no_replica_at_all_is_told_at_once(self):
        self.fleet.replace([], 2, 1.0)
        found = self.placer.ask(make_ticket("a", 1.0), 1.0)
        self.assertFalse(found.is_full)


class CapacityTest(unittest.TestCase):
    def test_a_batch_keeps_to_the_longest_pause(self):
        """Every stream of a replica pauses for too long at once."""
        count = capacity.count_places(_ENGINE, "m", 0.25)
        self.assertEqual(count, 13)
        slow = capacity.count_places(_ENGINE, "m", 0.25, 3.5)
        self.assertTrue(1 <= slow < 13)
        pause = capacity.expect_pass(_TIMING, 3.5, slow)
        pause += capacity.expect_read(_TIMING, 3.5)
        self.assertLessEqual(pause, 0.25)

    def test_an_engine_that_tells_no_timing_is_given_its_slots(self):
        engine = msgspec.structs.replace(_ENGINE, timing=None)
        self.assertEqual(capacity.count_places(engine, "m", 0.25), 13)


if __name__ == "__main__":
    unittest.main()

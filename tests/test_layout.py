"""Replays of the layout by measured work, without a network.

Three nodes review the lists and counts that they have and hold the leases
of three domains each. Nine domains of 19 instances are simulated by
`test_formation.World`; balancers, reviews and planners are the product's.
"""

import collections
import copy
import random
import unittest
from unittest import mock

import msgspec

from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import layout
from currantwall.coordination.replicas import rebalancing
from currantwall.coordination.replicas import staging
from currantwall.coordination.replicas import supply
from currantwall.coordination.replicas import workload
from currantwall.coordination.requests import backlog
from currantwall.coordination.requests import balancing
from currantwall.state import ids
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import queues
from standins import surge
from tests import test_formation

SERVICE = ids.ServiceName("pool")
LARGE = msgspec.structs.replace(test_formation.LARGE, size=8)
SMALL = msgspec.structs.replace(test_formation.SMALL, size=4)
ENGINE = msgspec.structs.replace(
    test_formation.ENGINE,
    models=(LARGE, SMALL),
    slots=17,
    loads_per_second=4.5,
    loads_at_once=8,
)
SIZES = {ids.DomainName(f"r{n}"): 19 for n in range(9)}
# Seconds that a replica works on a request.
SERVICE_TIME = 2.0
# Requests per second: 6.5 for the smaller model for each of the larger.
SKEWED = {"large": 23.0, "small": 150.0}
# The mean of these and the former is near the stated shares.
REVERSED = {"large": 100.0, "small": 66.0}
# By these the stated shares are exact: as much work in instances.
AS_STATED = {"large": 80.0, "small": 160.0}
MODERATE = {"large": 48.0, "small": 96.0}
_STEP = 0.1


def list_loads(session):
    """Return the loads that the instances of a domain have begun."""
    return [
        order
        for order in session.world.orders
        if order.kind is knowledge.OrderKind.STAGE
    ]


class Node:
    """One node: its list, its counts and its review."""

    def __init__(self, name):
        self.name = ids.NodeId(name)
        self.fleet = upstreams.Fleet()
        self.balancer = balancing.Balancer(
            self.fleet, ids.DatacentreName("here"), self.name
        )
        self.supply = supply.Supply(self.fleet)
        self.review = rebalancing.Review()
        # Seconds between two updates of its list.
        self.list_interval = 0.5
        self.change = None

    def decide(self, now):
        work = {
            model.name: self.balancer.measure_work(SERVICE, model.name, now)
            for model in ENGINE.models
        }
        self.change = self.review.decide(
            SERVICE,
            ENGINE,
            work,
            lambda: self.supply.list_domains(SERVICE, ENGINE, lambda _: False),
            now - self.fleet.updated,
            now,
        )


class Site:
    """Nine domains and three nodes in virtual time."""

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.nodes = [Node(f"n{n}") for n in range(3)]
        self.sessions = []
        # Whether leases can be renewed; without one there are no orders.
        self.has_store = True
        self.most_changing = 0
        mains = staging.assign_models(ENGINE, SIZES)
        for name, main in mains.items():
            world = test_formation.World(19, (main,), ENGINE, name)
            session = test_formation.Session(world, main, domain=name)
            session.size = 19
            session.run(5.0)
            self.sessions.append(session)
        self.now = self.sessions[0].now

    def run(self, seconds, *mixes, turn=1.0):
        """Replay requests.

        Args:
            seconds: How long.
            mixes: Requests per second by model, which take turns.
            turn: Seconds for which each mix lasts.
        """
        began = self.now
        for step in range(round(seconds / _STEP)):
            self.now = began + step * _STEP
            self.offer(mixes[int(step * _STEP / turn) % len(mixes)])
            for number, node in enumerate(self.nodes):
                every = round(node.list_interval / _STEP)
                if (step + number) % every == 0:
                    self.update(node)
                if step % 10 == number:
                    node.decide(self.now)
            self.advance()

    def offer(self, rates):
        for model, rate in rates.items():
            kind = backlog.Kind(SERVICE, model)
            for node in self.nodes:
                at = self.random.expovariate(rate / len(self.nodes))
                while at < _STEP:
                    node.balancer.work.note_arrival(kind, ENGINE, self.now)
                    at += self.random.expovariate(rate / len(self.nodes))
                node.balancer.work.note_service(kind, SERVICE_TIME)

    def update(self, node):
        listed = [
            engine.describe()
            for session in self.sessions
            for engine in session.world.engines.values()
            if engine.listed
        ]
        if self.has_store:
            node.fleet.replace(listed, round(self.now * 10), self.now)
        for other in self.nodes:
            if other is not node:
                counts = other.balancer.list_loads(self.now)
                node.balancer.note_loads(other.name, counts, self.now)

    def advance(self):
        for number, session in enumerate(self.sessions):
            node = self.nodes[number % len(self.nodes)]
            change = node.change
            is_here = change is not None and change.domain == session.domain
            session.change = change if is_here else None
            session.scarce = node.review.scarce
            is_first = node.review.blank_domain == session.domain
            session.lacking = node.review.lacking if is_first else 0
            if self.has_store:
                session.step(_STEP)
                continue
            session.now += _STEP
            for engine in session.world.engines.values():
                engine.advance(session.now)
        changing = sum(
            session.planner.conversion is not None for session in self.sessions
        )
        self.most_changing = max(self.most_changing, changing)

    def lose(self, domain):
        """Lose all instances of a domain at once."""
        for session in self.sessions:
            if session.domain == domain:
                for engine in session.world.engines.values():
                    engine.up = engine.listed = False

    def list_loads(self):
        return [
            order for session in self.sessions for order in list_loads(session)
        ]

    def list_violations(self):
        return [
            text
            for session in self.sessions
            for text in session.world.violations
        ]

    def count_open(self):
        """Return the number of open replicas of each model."""
        return collections.Counter(
            upstreams.parse_replica_id(engine.seat.replica)[0]
            for session in self.sessions
            for engine in session.world.engines.values()
            if engine.up
            and engine.seat
            and engine.seat.phase is upstreams.Phase.OPEN
        )


class ReplayTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.changed = Site()
        cls.changed.run(110.0, SKEWED)

    def check(self, site):
        """Check what holds in every replay."""
        self.assertEqual(site.list_violations(), [])
        loaded = [order.instance for order in site.list_loads()]
        self.assertEqual(len(loaded), len(set(loaded)), "loaded back")

    def test_replicas_follow_the_measured_work(self):
        """The smaller model's requests were late beside idle replicas.

        It gets 6.5 requests for each one of the larger, at stated shares of
        a half each.
        """
        self.assertEqual(Site().count_open(), {"large": 10, "small": 16})
        site = self.changed
        found = site.count_open()
        self.assertGreaterEqual(found["small"], 24)
        self.assertGreaterEqual(found["large"], 5)
        self.assertEqual(site.most_changing, 1)
        self.check(site)

    def test_nothing_changes_where_the_work_is_as_stated(self):
        """A deployment must not pay for loads that gain nothing.

        Both models are short of replicas, by as much, and then a domain of
        the smaller model is lost. The orders and the assignment are those
        of nodes that measure nothing.
        """
        site, unmeasured = Site(), Site()
        for node in unmeasured.nodes:
            node.decide = lambda now: None
        for one in (site, unmeasured):
            one.run(20.0, AS_STATED)
            one.lose("r1")
            one.run(30.0, AS_STATED)
        for one, other in zip(site.sessions, unmeasured.sessions, strict=True):
            self.assertEqual(one.world.orders, other.world.orders)
        self.assertEqual([node.change for node in site.nodes], [None] * 3)
        self.assertEqual(site.list_loads(), [])
        self.assertEqual(site.count_open(), {"large": 10, "small": 12})

    def test_a_mix_that_reverses_causes_no_load(self):
        """Weights were loaded that were of no use when they were there.

        Every two seconds the other model has the most work.
        """
        site = Site()
        site.run(40.0, SKEWED, REVERSED, turn=2.0)
        self.assertEqual(site.list_loads(), [])

    def test_nothing_is_loaded_back_after_a_reversal_in_an_outage(self):
        """Weights were loaded, and loaded back before they were used.

        The mix reverses for good two seconds after a domain has begun to
        change; at the same time the store answers nobody for 10 s.
        """
        site = Site()
        while not site.list_loads():
            site.run(1.0, SKEWED)
        site.run(2.0, SKEWED)
        site.has_store = False
        site.run(10.0, REVERSED)
        begun = {order.instance for order in site.list_loads()}
        site.has_store = True
        site.run(40.0, REVERSED)
        self.check(site)
        self.assertEqual(
            {order.instance for order in site.list_loads()}, begun
        )

    def test_nodes_that_disagree_break_no_rule(self):
        """Guards against an instance in two replicas, or a fleet that swings.

        The nodes' lists are half a second to three seconds old, and one of
        them hears of no other's work.
        """
        site = Site()
        for node, interval in zip(site.nodes, (0.5, 2.0, 3.0), strict=True):
            node.list_interval = interval
        site.nodes[0].balancer.note_loads = lambda *_: None
        site.run(60.0, SKEWED)
        self.check(site)
        self.assertLessEqual(site.most_changing, 2)
        self.assertGreaterEqual(site.count_open()["large"], 6)
        self.assertGreater(site.count_open()["small"], 16)

    def test_a_restarted_node_adopts_what_the_domains_have(self):
        """A restart of all nodes must not load anything back.

        They start from the stated shares, and the work is as stated again.
        """
        site = copy.deepcopy(self.changed)
        before = len(site.list_loads())
        for session in site.sessions:
            session.replace_planner()
        site.nodes = [Node(node.name) for node in site.nodes]
        site.run(40.0, MODERATE)
        self.assertEqual(len(site.list_loads()), before)
        self.check(site)

    def test_the_layout_follows_when_the_work_returns(self):
        """Guards against a layout that stays as an earlier mix left it."""
        site = copy.deepcopy(self.changed)
        before = site.count_open()["large"]
        loads = len(site.list_loads())
        site.run(40.0, MODERATE)
        self.assertEqual(len(site.list_loads()), loads)
        site.run(80.0, MODERATE)
        self.assertGreater(site.count_open()["large"], before)
        self.assertEqual(site.list_violations(), [])


class StepTest(unittest.TestCase):
    """Tests single steps of a domain, and what is measured."""

    def start(self, surplus="large", scarce="small", drained=1, world=None):
        world = world or test_formation.World(19, (surplus,), ENGINE)
        session = test_formation.Session(world, surplus)
        session.run(5.0)
        session.change = layout.Change(
            domain=session.domain,
            surplus=surplus,
            scarce=scarce,
            drained=drained,
            held=session.count_open(),
        )
        session.scarce = scarce
        return session

    def test_a_replica_is_drained_before_its_instances_are_loaded(self):
        """Requests were cut off by a load of other weights.

        A replica stays open until its leader is closed, and its members are
        not loaded while the leader finishes its requests.
        """
        session = self.start()
        world = session.world

        def close(engine, order, now):
            engine.seat = msgspec.structs.replace(
                engine.seat, phase=upstreams.Phase.CLOSING
            )
            return True

        world.close = close
        session.run(5.0)
        closing = [
            engine
            for engine in world.engines.values()
            if engine.seat.phase is upstreams.Phase.CLOSING
        ]
        self.assertEqual(len(closing), 1)
        members = closing[0].members
        kinds = [order.kind for order in world.orders]
        self.assertNotIn(knowledge.OrderKind.STAGE, kinds)
        closing[0].seat = msgspec.structs.replace(
            closing[0].seat, phase=upstreams.Phase.READY
        )
        session.change = None
        session.run(20.0)
        loads = [order.instance for order in list_loads(session)]
        self.assertEqual(sorted(loads), sorted(members))
        self.assertEqual(session.count_open(), 3)
        self.assertEqual(world.violations, [])

    def test_a_step_that_waits_for_the_weight_store_is_not_undone(self):
        """Instances were loaded with the larger model and loaded back.

        Five of the eight that a replica takes are loaded when the rate of
        loads is used up. They are too few for a replica until it is not.
        Meanwhile another node takes the domain over.
        """
        for takes_over in (False, True):
            session = self.start("small", "large", 2)
            while len(list_loads(session)) < 5:
                session.allowed_loads = 5 - len(list_loads(session))
                session.step()
            session.allowed_loads = 0
            if not takes_over:
                # The work changes meanwhile.
                session.scarce = ""
            session.run(20.0)
            # The three that wait form no replica with the spares.
            self.assertEqual(session.count_open(), 2)
            if takes_over:
                # A successor that was restarted knows of no scarce model.
                session.replace_planner()
                session.change = None
                session.scarce = ""
                session.run(30.0)
            session.allowed_loads = 1000
            session.run(40.0)
            models = {order.model for order in list_loads(session)}
            self.assertEqual(models, {"large"})
            self.assertEqual(session.world.violations, [])

    def test_a_successor_lets_loads_end(self):
        """Guards against instances that join while they load other weights.

        The holder is killed 3 s after it ordered eight loads.
        """
        session = self.start()
        session.run(3.0)
        self.assertEqual(len(list_loads(session)), 8)
        session.replace_planner()
        session.change = None
        session.scarce = ""
        session.run(20.0)
        self.assertEqual(session.world.violations, [])
        self.assertEqual(len(list_loads(session)), 8)
        self.assertEqual(session.count_open(), 3)

    def test_a_step_keeps_to_the_loads_at_once(self):
        """A step started eight loads where the operator allows three.

        More at once slow each other down. The step takes longer then, and
        must be worth it.
        """
        limited = msgspec.structs.replace(ENGINE, loads_at_once=3)
        world = test_formation.World(19, ("large",), limited)
        session = self.start(world=world)
        most = 0
        for _ in range(900):
            session.step()
            loading = [one for one in world.engines.values() if one.staging]
            most = max(most, len(loading))
        self.assertEqual((most, session.count_open()), (3, 3))
        self.assertEqual(len(list_loads(session)), 8)
        times = [
            rebalancing._estimate_load_seconds(engine, SMALL, 8)
            for engine in (ENGINE, limited)
        ]
        self.assertGreater(times[1], times[0] + SMALL.load)

    def test_a_busy_replica_is_not_taken_away(self):
        """Guards against the drain of a replica that is in use."""
        session = self.start()
        leaders = [
            engine.id
            for engine in session.world.engines.values()
            if engine.seat.phase is upstreams.Phase.OPEN
        ]
        session.loads = dict.fromkeys(leaders, 7)
        session.run(2.0)
        self.assertEqual(session.count_open(), 2)
        session.loads[leaders[1]] = 2
        session.run(2.0)
        replica = session.planner.conversion.replicas
        seat = session.world.engines[leaders[0]].seat
        self.assertIs(seat.phase, upstreams.Phase.OPEN)
        self.assertNotIn((seat.replica, seat.epoch), replica)

    def decide(self, count, work, seconds=9, lost=(), list_age=1.0, others=2):
        """Return the domain that a review chooses at last, or None.

        Args:
            count: Replicas of the larger model.
            others: Replicas of the smaller model.
            work: Replicas that are kept busy by each model's work.
            seconds: Number of reviews after the first one.
            lost: Seconds in which no work is known.
            list_age: Seconds since the list was read.
        """
        review = rebalancing.Review()
        domains = [
            rebalancing.DomainSupply(
                name=ids.DomainName(f"r{n}"),
                datacentre=ids.DatacentreName("a"),
                replicas={"small": others} if n else {"large": count},
            )
            for n in range(2)
        ]
        for now in range(seconds + 1):
            known = {} if now in lost else work
            change = review.decide(
                SERVICE, ENGINE, known, lambda: domains, list_age, now
            )
        return change and change.domain

    def test_the_last_replica_of_a_model_is_kept(self):
        """The last replica of a model was drained by two holders.

        Their lists differed, and each drained one of the two there were.
        A model without work keeps a single one.
        """
        work = {"large": 0.1, "small": 6.0}
        self.assertEqual(self.decide(3, work), "r0")
        self.assertIsNone(self.decide(2, work))
        self.assertIsNone(self.decide(1, work))
        self.assertEqual(self.decide(2, {"small": 6.0}), "r0")
        self.assertIsNone(self.decide(1, {"small": 6.0}))

    def test_blank_instances_of_one_domain_get_the_scarce_model(self):
        """Blank instances of all domains got it, whatever was lacking.

        What loads may be the scarce model. Nothing is taken from a model
        that has no replica left.
        """
        work = {"large": 0.1, "small": 6.0}
        blank = {"blank": 4}
        found = []
        for other, count in ((blank, 3), ({"loading": 80}, 3), (blank, 0)):
            review = rebalancing.Review()
            domains = [
                rebalancing.DomainSupply(
                    name=ids.DomainName(f"r{n}"),
                    datacentre=ids.DatacentreName("a"),
                    replicas={} if n < 2 else {"small": 2, "large": count},
                    **(other if n else blank),
                )
                for n in range(3)
            ]
            for now in range(10):
                review.decide(
                    SERVICE,
                    ENGINE,
                    work,
                    lambda listed=domains: listed,
                    0.5,
                    now,
                )
            found.append((review.blank_domain, review.lacking))
        self.assertEqual(found[0][1], 7)
        self.assertIn(found[0][0], ("r0", "r1", "r2"))
        self.assertEqual(found[1:], [("", 0), ("", 0)])

    def test_a_model_is_not_made_as_scarce_as_the_other(self):
        """Guards against a step whose opposite would be due next."""
        for large, expected in ((1.25, None), (0.6, "r0")):
            work = {"large": large, "small": 5.0}
            self.assertEqual(self.decide(3, work, others=5), expected)

    def test_no_step_is_decided_by_a_list_from_before_an_outage(self):
        work = {"large": 0.1, "small": 6.0}
        self.assertEqual(self.decide(3, work, list_age=2.0), "r0")
        self.assertIsNone(self.decide(3, work, list_age=9.0))

    def test_the_stated_shares_hold_until_a_step_is_seen(self):
        """One proposed step turned the deviation rule off for good.

        The step was never begun, as every replica was busy. Then the work
        is near the stated shares, which otherwise changes nothing.
        """
        for is_seen in (False, True):
            review = rebalancing.Review()
            begun = {"replicas": {"large": 3}, "converting": 8}
            begun = begun if is_seen else {}
            domains = [
                rebalancing.DomainSupply(
                    name=ids.DomainName(f"r{n}"),
                    datacentre=ids.DatacentreName("a"),
                    replicas={"small": 2} if n else {"large": 4},
                )
                for n in range(2)
            ]
            changes = []
            for now in range(200):
                work = {"large": 0.1, "small": 6.0}
                if now == 10:
                    domains[0] = msgspec.structs.replace(domains[0], **begun)
                if now >= 14:
                    domains[0] = msgspec.structs.replace(
                        domains[0], converting=0
                    )
                    work = {"large": 2.0, "small": 4.8}
                changes.append(
                    review.decide(
                        SERVICE,
                        ENGINE,
                        work,
                        lambda listed=domains: listed,
                        0.5,
                        now,
                    )
                )
            self.assertIsNotNone(changes[9])
            self.assertEqual(any(changes[100:]), is_seen)

    def test_idle_instances_elsewhere_wait_for_a_step_to_end(self):
        """A second domain began to change while the first one did.

        Idle instances were used whatever changed elsewhere.
        """
        found = []
        for changing in ({}, {"converting": 3}, {"outside": 9}):
            review = rebalancing.Review()
            domains = [
                rebalancing.DomainSupply(
                    name=ids.DomainName(f"r{n}"),
                    datacentre=ids.DatacentreName("a"),
                    replicas={"large": 2, "small": n},
                    **({} if n else changing),
                )
                for n in range(2)
            ]
            idle = {"idle": {"large": 5}, "outside": 5}
            domains[1] = msgspec.structs.replace(domains[1], **idle)
            for now in range(10):
                change = review.decide(
                    SERVICE,
                    ENGINE,
                    {"large": 0.1, "small": 6.0},
                    lambda listed=domains: listed,
                    0.5,
                    now,
                )
            found.append(change and change.domain)
        self.assertEqual(found, ["r1", None, None])

    def test_a_lost_digest_does_not_delay_a_step(self):
        """The work of all other nodes was unknown for two seconds.

        For longer, the time that the step has been called for begins anew.
        """
        work = {"large": 0.1, "small": 6.0}
        self.assertEqual(self.decide(3, work, lost=(4, 5)), "r0")
        self.assertIsNone(self.decide(3, work, 12, lost=range(4, 9)))

    def test_no_replica_is_drained_by_a_list_that_shows_more(self):
        """The last replica of a model was drained after an outage.

        The holder drained one of two during the outage; its successor took
        the list from before.
        """
        session = self.start()
        session.run(1.0)
        session.replace_planner()
        session.run(20.0)
        self.assertGreater(session.count_open(), 0)
        models = {
            upstreams.parse_replica_id(engine.seat.replica)[0]
            for engine in session.world.engines.values()
            if engine.seat and engine.seat.phase is upstreams.Phase.OPEN
        }
        self.assertIn("large", models)

    def test_rejected_requests_count_as_work(self):
        """Guards against a scarce model that seems to have little work.

        All of its requests are rejected, as no replica serves it; a model
        that the caller made up is not counted.
        """
        fleet = upstreams.Fleet()
        balancer = balancing.Balancer(fleet, ids.DatacentreName("a"))
        queue = queues.Queue(
            balancer, mock.Mock(), mock.Mock(), mock.Mock(), lambda: 10.0
        )
        service = routes.Service(name=SERVICE, engine=ENGINE)
        self.assertEqual(balancer.list_loads(10.0), {})
        for number in range(40):
            request = mock.Mock(
                service=service,
                model="small" if number % 2 else f"made-up-{number}",
                route=mock.Mock(target=0.4, timeout=2.0, gap=0.0),
                inbound=mock.Mock(received=10.0, headers={}),
                caller_timeout=None,
                deadline=12.0,
                tried=set(),
            )
            request.progress.sends = 0
            found = queue.acquire_slot(request)
            self.assertIsInstance(found, balancing.Unavailable)
        queue.note_service(request, surge.make_leader(1), SERVICE_TIME)
        # 20 requests of two seconds in four, for replicas of 17 slots.
        self.assertEqual(balancer.list_loads(10.0), {"pool/small/work": 588})
        self.assertEqual(len(balancer.work._arrivals), 1)
        self.assertEqual(balancer.list_loads(60.0), {})

    def test_work_is_measured_as_of_full_replicas(self):
        """Guards against idle replicas that seem to do less work than full.

        A request takes longer beside sixteen others, by the configured
        timing; without one, times are taken as they are.
        """
        engine = msgspec.structs.replace(ENGINE, timing=surge.TIMING)
        alone = workload.estimate_full_time(engine, 1.0, 1)
        self.assertGreater(alone, 1.4)
        self.assertEqual(workload.estimate_full_time(engine, 1.0, 40), 1.0)
        self.assertEqual(workload.estimate_full_time(ENGINE, 1.0, 1), 1.0)

    def test_the_relays_sums_are_the_work_of_all_nodes(self):
        """Guards against a node that acts on its own few requests only."""
        nodes = [Node(f"n{n}") for n in range(3)]
        total = nodes[0].balancer
        for node in nodes[1:]:
            loads = {"pool/small/work": 1500, "pool/small": 3}
            total.note_loads(node.name, loads, 10.0)
        self.assertEqual(total.measure_work(SERVICE, "small", 10.0), 3.0)
        total.expire(13.0)
        self.assertEqual(total.measure_work(SERVICE, "small", 13.0), 0.0)


if __name__ == "__main__":
    unittest.main()

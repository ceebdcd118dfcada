"""Leases and control of domains while the store and the nodes fail.

Two or three real `Duties` share a simulated store. Time advances in steps
of a tenth of a second, the interval of the real loop. Green threads that
the loop would spawn run at once.
"""

import itertools
import random
import unittest
from unittest import mock

import msgspec
import result

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.replicas import formation
from currantwall.coordination.replicas import knowledge
from currantwall.coordination.replicas import leases
from currantwall.coordination.replicas import rebalancing
from currantwall.coordination.requests import evacuations
from currantwall.state import domain as domain_module
from currantwall.state import ids
from currantwall.state import revisions
from currantwall.state import routes
from currantwall.state import upstreams
from currantwall.transport import domainleases
from currantwall.transport import duties
from currantwall.transport import ports

Failure = ports.StoreFailure
_STEP = 0.1
_DOMAIN = ids.DomainName("d0")
_MODEL = routes.Model(name="m", size=2, share=1.0, load=1.0, warm=0.1)
_SERVICE = routes.Service(
    name=ids.ServiceName("pool"),
    engine=routes.Engine(slots=4, models=(_MODEL,)),
)


class World:
    """The simulated clock and store, and the nodes."""

    def __init__(self, names):
        self.time = 100.0
        self.revision = 10
        self.objects = {}
        self.copied = (self.revision, {})
        self.delayed_writes = []
        self.nodes = {name: Node(name, self) for name in names}
        for node in self.nodes.values():
            for other in self.nodes.values():
                node.receive_heartbeat(other)

    def now(self):
        return self.time

    def write(self, name, value, revision):
        """Carry out a conditional write; return whether it succeeded."""
        held = self.objects.get(name)
        number = revisions.get_number(held.revision) if held else 0
        if revision is not None and revisions.get_number(revision) != number:
            return False
        self.revision += 1
        self.objects[name] = ports.StoredObject(name, self.revision, value)
        return True

    def copy(self):
        self.copied = (self.revision, dict(self.objects))

    def restore(self):
        """Return to the last copy, in the next era."""
        era = revisions.get_era(self.revision) + 1
        revision, copied = self.copied
        self.revision = revisions.join(era, revisions.get_number(revision))
        self.objects = {
            name: ports.StoredObject(
                name,
                revisions.join(era, revisions.get_number(held.revision)),
                held.value,
            )
            for name, held in copied.items()
        }

    def run(self, seconds, check=None):
        for _ in range(round(seconds / _STEP)):
            self.time += _STEP
            due = [
                write for write in self.delayed_writes if write[0] <= self.time
            ]
            self.delayed_writes = [
                write for write in self.delayed_writes if write[0] > self.time
            ]
            for _, *write in due:
                self.write(*write)
            for node in self.nodes.values():
                node.tick()
            if check is not None:
                check()

    def restart(self, name):
        """Replace the process of a node by another one."""
        incarnation = self.nodes[name].entry.incarnation + 1
        self.nodes[name] = Node(name, self, incarnation, self.nodes[name].seat)

    def run_and_list_holders(self, seconds):
        """Run, and return the holders after each step."""
        held = []
        self.run(seconds, lambda: held.append(self.list_holders()))
        return held

    def list_holders(self):
        return [
            node.name for node in self.nodes.values() if node.holds(self.time)
        ]


class Node:
    """One node, with its own connection to the store."""

    def __init__(self, name, world, incarnation=1, seat=None):
        self.name = name
        self.world = world
        self.paused = False
        self.dead = False
        # What happens to its writes: ok, down (refused, as are its reads),
        # lost (not carried out, without an answer), done (carried out, but
        # the answer is lost) or late (the same, 3 s later).
        self.store_mode = "ok"
        # Number of writes it has attempted.
        self.write_count = 0
        # Era of the store in its last answer to this node.
        self.era = 0
        self.entry = presence_module.NodeEntry(
            id=ids.NodeId(name),
            datacentre=ids.DatacentreName("a"),
            front=name,
            heartbeats=name,
            peer=name,
            incarnation=incarnation,
        )
        self.presence = presence_module.Presence(self.entry)
        self.presence.ready = True
        self.serial = 0
        # Seat of its instance in the list of instances.
        self.seat = seat
        self.fleet = upstreams.Fleet()
        self.leases = domainleases.DomainLeases(
            self, self.presence, mock.Mock(), world
        )
        self.engines = Engines()
        self.duties = duties.Duties(
            self.leases,
            self.engines,
            self.fleet,
            mock.Mock(
                has_seen_traffic=True,
                count_busy=mock.Mock(return_value={}),
                count_all_waiting=mock.Mock(return_value=0),
            ),
            mock.Mock(),
            mock.Mock(),
            world,
        )
        self.duties.services = lambda: (_SERVICE,)
        self.update_fleet()

    def update_fleet(self):
        upstream = upstreams.Upstream(
            id=ids.InstanceId("e1"),
            service=_SERVICE.name,
            address="e1:1",
            datacentre=ids.DatacentreName("a"),
            domain=_DOMAIN,
            seat=self.seat,
        )
        now = self.world.now()
        self.fleet.replace([upstream], round(now * 10), now)

    def receive_heartbeat(self, other):
        """Receive a heartbeat from another node."""
        other.serial += 1
        now = self.world.now()
        heartbeat = presence_module.Heartbeat(
            node=other.entry,
            serial=other.serial,
            ready=True,
            has_path=other.presence.has_path,
            leases=other.leases.list_leases(now),
        )
        self.presence.note_heartbeat(heartbeat, now)
        if other is not self:
            self.leases.note_leases(heartbeat.leases, now)

    def tick(self):
        """Run one round of the real loop, after heartbeats and the list."""
        if self.paused or self.dead:
            return
        for other in self.world.nodes.values():
            if not (other.paused or other.dead):
                self.receive_heartbeat(other)
        self.update_fleet()
        self.duties.tick(self.world.now())

    def holds(self, now):
        return not self.dead and bool(self.leases.list_leases(now))

    # -- The store, as this node sees it

    def list(self, kind, stale=False):
        if self.store_mode == "down":
            return result.Err(Failure.UNAVAILABLE)
        self.era = revisions.get_era(self.world.revision)
        objects = tuple(self.world.objects.values())
        return result.Ok(ports.Listing(objects, self.world.revision))

    def get(self, kind, name):
        if self.store_mode != "ok":
            return result.Err(Failure.LOST)
        self.era = revisions.get_era(self.world.revision)
        held = self.world.objects.get(name)
        if held is None:
            return result.Err(Failure.NOT_FOUND)
        return result.Ok(held)

    def put(self, kind, name, value, revision):
        self.write_count += 1
        if self.store_mode == "down":
            return result.Err(Failure.UNAVAILABLE)
        if revisions.get_era(revision) < self.era:
            return result.Err(Failure.CONFLICT)
        if self.store_mode == "late":
            at = self.world.time + 3.0
            self.world.delayed_writes.append((at, name, value, revision))
            return result.Err(Failure.LOST)
        done = self.store_mode != "lost" and self.world.write(
            name, value, revision
        )
        if self.store_mode in ("lost", "done"):
            return result.Err(Failure.LOST)
        self.era = revisions.get_era(self.world.revision)
        if not done:
            return result.Err(Failure.CONFLICT)
        if self.era > revisions.get_era(revision):
            return result.Err(Failure.LOST)
        return result.Ok(self.world.objects[name])


class Engines:
    """Instances that answer probes and refuse each order."""

    def __init__(self):
        self.sequence = None
        self.silent = False
        self.unresponsive = False
        self.pace = 1.0
        self.orders = []
        # Whether each probe used a new connection.
        self.probes = []

    def report(self, upstream, new_connection):
        self.probes.append(new_connection)
        if self.silent or (self.unresponsive and not new_connection):
            return knowledge.ProbeResult.SILENT
        if self.unresponsive:
            return knowledge.ProbeResult.UNRESPONSIVE
        return msgspec.structs.replace(
            upstream, sequence=self.sequence, pace=self.pace
        )

    def order(self, order):
        self.orders.append(order)
        return knowledge.OrderAnswer(False)


class LeaseCase(unittest.TestCase):
    def setUp(self):
        patch = mock.patch.object(
            domainleases.eventlet, "spawn_n", lambda task, *words: task(*words)
        )
        patch.start()
        self.addCleanup(patch.stop)

    def make(self, *names):
        world = World(names)
        world.run(5.0)
        return world

    def disturb(self, world, draw, modes, disturb_store, seed):
        """Pause nodes and disturb their calls; check the holders.

        Args:
            world: The nodes and the store.
            draw: Random numbers.
            modes: Values of `Node.store_mode`, the likelier the more often.
            disturb_store: Called with the world, the numbers, a node's name
                and the check, after each disturbance of that node.
            seed: Seed of the numbers.
        """

        def check():
            self.assertLessEqual(len(world.list_holders()), 1, seed)

        for _ in range(30):
            node = world.nodes[draw.choice(("n1", "n2", "n3"))]
            node.paused = draw.random() < 0.3
            node.store_mode = draw.choice(modes)
            disturb_store(world, draw, node.name, check)
            world.run(draw.uniform(0.1, 3.0), check)
        for node in world.nodes.values():
            node.paused = False
            node.store_mode = "ok"
        world.run(8.0, check)
        self.assertEqual(len(world.list_holders()), 1, seed)


class LeaseTest(LeaseCase):
    def test_one_node_takes_the_domain_and_keeps_it(self):
        world = self.make("n1", "n2", "n3")
        (holder,) = world.list_holders()

        def check():
            self.assertEqual(world.list_holders(), [holder])

        world.run(20.0, check)

    def test_a_holder_that_is_killed_is_succeeded(self):
        """Guards against replicas that stay broken after a holder's death.

        Members are lost every few seconds, and none is replaced while no
        node holds the lease.
        """
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        world.nodes[holder].dead = True
        world.run(4.5)
        self.assertEqual(len(world.list_holders()), 1)

    def test_a_new_holder_forms_nothing_in_an_evacuated_data_centre(self):
        """Guards against replicas that a holder's successor forms there."""
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        world.nodes[holder].dead = True
        (heir,) = world.nodes.keys() - {holder}
        node = world.nodes[heir]
        node.duties.evacuations = evacuations.Evacuations(5.0)
        node.duties.evacuations.note(1, ["a"], world.now())
        node.engines.sequence = 0
        world.run(6.0)
        self.assertEqual(world.list_holders(), [heir])
        self.assertEqual(node.engines.orders, [])
        node.duties.evacuations.note(2, [], world.now())
        world.run(6.0)
        self.assertNotEqual(node.engines.orders, [])

    def test_a_holder_that_the_store_refuses_is_succeeded(self):
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        world.nodes[holder].store_mode = "down"
        world.run(4.5)
        (after,) = world.list_holders()
        self.assertNotEqual(after, holder)

    def test_a_domain_gets_a_holder_when_the_first_ranks_are_refused(self):
        """Guards against a domain without a holder while some are refused.

        The store refuses a third of the nodes and serves the others. All
        nodes still receive each other's heartbeats, so the refused ones
        keep the first ranks.
        """
        world = self.make("n1", "n2", "n3", "n4", "n5", "n6")
        refused = []
        for _ in range(3):
            (holder,) = world.list_holders()
            refused.append(holder)
            world.nodes[holder].store_mode = "down"
            world.run(5.5)
            self.assertEqual(len(world.list_holders()), 1, refused)

    def test_an_outage_costs_few_calls(self):
        """Guards against an outage that costs more calls than a whole day.

        The store answers none of 20 nodes for ten seconds.
        """
        world = self.make(*(f"n{n}" for n in range(20)))
        for node in world.nodes.values():
            node.store_mode = "down"
        before = sum(node.write_count for node in world.nodes.values())
        world.run(10.0)
        added = sum(node.write_count for node in world.nodes.values()) - before
        self.assertLess(added, 80)

    def test_a_renewal_whose_answer_is_lost_does_not_end_the_lease(self):
        """Guards against a change of holder at each lost answer."""
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        world.nodes[holder].store_mode = "done"
        world.run(0.7)
        world.nodes[holder].store_mode = "ok"
        world.run(2.0)
        self.assertEqual(world.list_holders(), [holder])

    def test_a_fence_is_never_used_by_two_holders(self):
        """Guards against equal epochs in an old and a new holder's joins."""
        world = self.make("n1", "n2")
        fences = {}
        for _ in range(4):
            (holder,) = world.list_holders()
            held = world.nodes[holder].leases.list_leases(world.now())
            fence = held[_DOMAIN].epoch
            self.assertNotIn(fence, fences)
            fences[fence] = holder
            world.nodes[holder].paused = True
            world.run(4.5)
            world.nodes[holder].paused = False
            world.run(1.0)
        self.assertEqual(sorted(fences), list(fences))

    def test_never_two_holders_whatever_happens(self):
        """Guards against two nodes forming replicas of the same instances.

        Nodes pause and resume; the store refuses single ones, loses their
        answers, or carries out their writes three seconds late.
        """
        modes = ("ok", "ok", "down", "lost", "done", "late")
        for seed in range(40):
            draw = random.Random(seed)
            world = World(("n1", "n2", "n3"))
            self.disturb(world, draw, modes, lambda *_: None, seed)


class RestoredLeaseTest(LeaseCase):
    """The store comes back from an older copy, and the leases with it."""

    def test_a_holder_keeps_a_lease_that_the_store_has_forgotten(self):
        """Guards against a domain that nobody repairs after a restore."""
        for seconds in (0.0, 3.0):
            world = World(("n1", "n2"))
            world.copy()
            world.run(5.0)
            if seconds:
                world.copy()
                world.run(seconds)
            (holder,) = world.list_holders()
            world.restore()
            held = world.run_and_list_holders(6.0)
            self.assertEqual(held, [[holder]] * len(held))

    def test_a_holder_keeps_its_lease_if_the_store_is_away_for_a_moment(self):
        """Guards against a holder that renews too late after a restore.

        It would start anew under another fence, without its knowledge.
        """
        for steps in range(1, 6):
            world = self.make("n1", "n2")
            world.copy()
            world.run(2.0)
            (holder,) = world.list_holders()
            held_leases = world.nodes[holder].leases
            fence = held_leases.list_leases(world.now())[_DOMAIN].epoch
            for node in world.nodes.values():
                node.store_mode = "down"
            world.run(steps * _STEP)
            for node in world.nodes.values():
                node.store_mode = "ok"
            world.restore()
            held = world.run_and_list_holders(6.0)
            self.assertEqual(held, [[holder]] * len(held), steps)
            after = held_leases.list_leases(world.now())[_DOMAIN].epoch
            self.assertEqual(after, fence, steps)

    def test_a_forgotten_holder_is_succeeded(self):
        """Guards against leases that can't be taken at lower revisions."""
        world = self.make("n1", "n2")
        world.copy()
        world.run(20.0)
        (holder,) = world.list_holders()
        world.nodes[holder].dead = True
        world.restore()
        world.run(6.0)
        self.assertEqual(len(world.list_holders()), 1)

    def test_a_fence_that_the_store_has_forgotten_is_not_used_again(self):
        """Guards against equal epochs in an old and a new holder's joins.

        The successor has not heard of the lost tenure.
        """
        world = self.make("n1", "n2")
        world.copy()
        (holder,) = world.list_holders()
        world.nodes[holder].paused = True
        world.run(4.5)
        (lost,) = world.list_holders()
        fence = world.nodes[lost].leases.list_leases(world.now())[_DOMAIN]
        world.restore()
        world.nodes[lost].dead = True
        world.nodes[holder].paused = False
        world.run(6.0)
        (after,) = world.list_holders()
        self.assertEqual(after, holder)
        held = world.nodes[after].leases.list_leases(world.now())[_DOMAIN]
        self.assertGreater(held.epoch, fence.epoch)

    def test_a_late_write_from_before_a_restore_confirms_no_lease(self):
        """Guards against a holder whose write replaced another's lease.

        The number of its condition had been given out again.
        """
        me = ids.NodeId("n1")
        tracker = leases.LeaseTracker(me, ids.Incarnation(1), 0.5, 2.0)
        lease = domain_module.Lease(me, ids.Incarnation(1), ids.Epoch(1), 2.0)
        stored = domain_module.Domain(
            name=_DOMAIN,
            datacentre=ids.DatacentreName("a"),
            lease=lease,
            attempt=ids.AttemptId("late"),
        )
        tracker.record_version(revisions.join(1, 40), None, 100.0)
        tracker.note_sent(ids.AttemptId("late"), 101.0)
        tracker.record_version(revisions.join(2, 41), stored, 101.5)
        self.assertFalse(tracker.holds(101.6))
        self.assertFalse(tracker.is_lapsed(103.4))
        self.assertTrue(tracker.is_lapsed(103.6))

    def test_a_lease_that_its_holder_still_announces_is_not_taken(self):
        """Guards against a second holder where the store shows no lease."""
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        (other,) = world.nodes.keys() - {holder}
        held = world.nodes[holder].leases.list_leases(world.now())
        node = world.nodes[other]
        world.restore()
        node.leases._read_leases(False)
        lease = node.leases._leases[_DOMAIN]
        world.time += 1.0
        node.leases.note_leases(held, world.now())
        self.assertFalse(lease.tracker.is_lapsed(world.now() + 1.7))
        self.assertTrue(lease.tracker.is_lapsed(world.now() + 1.9))

    def test_a_stale_read_after_a_restore_is_followed_by_a_fresh_one(self):
        """Guards against a revision of a lost lease in the new era.

        No write on condition of it would succeed.
        """
        world = self.make("n1", "n2")
        node = world.nodes["n1"]
        lost = [
            ports.StoredObject(one.name, revisions.join(1, 999), one.value)
            for one in world.objects.values()
        ]
        read = node.list
        asked = []

        def list_leases(kind, stale=False):
            asked.append(stale)
            if not stale:
                return read(kind)
            listing = ports.Listing(tuple(lost), revisions.join(1, 999))
            return result.Ok(listing)

        node.list = list_leases
        world.restore()
        node.leases._read_leases(True)
        self.assertEqual(asked, [True, False])
        lease = node.leases._leases[_DOMAIN]
        self.assertLess(lease.revision, revisions.join(1, 999))

    def test_never_two_holders_whatever_is_restored(self):
        """Guards against two holders after the store has lost a lease.

        Besides what else happens to nodes and calls, the store is copied
        and restored at any moment, also before the first lease, and nodes
        start again. The instances of the domain are in replicas.
        """
        modes = ("ok", "ok", "ok", "down", "lost", "done", "late")
        for seed in range(60):
            draw = random.Random(seed)
            world = World(("n1", "n2", "n3"))
            for node in world.nodes.values():
                node.seat = upstreams.Seat(
                    ids.ReplicaId("m.2.t"), 1, 1, upstreams.Phase.READY
                )
            self.disturb(world, draw, modes, self.restore, seed)

    @staticmethod
    def restore(world, draw, name, check):
        """Copy and restore the store, and restart a node, or do neither."""
        if draw.random() < 0.2:
            world.restart(name)
        if draw.random() < 0.5:
            world.copy()
        world.run(draw.uniform(0.1, 3.0), check)
        if draw.random() < 0.4:
            world.restore()


class TenureTest(LeaseCase):
    def test_a_returning_holder_gives_no_order_from_old_knowledge(self):
        """Guards against orders based on knowledge from an earlier tenure.

        A node holds the domain, loses it to another node, which opens a
        replica, and takes it again. By its old knowledge the replica is
        not open, so it ordered an instance of it to join another one.
        """
        world = self.make("n1", "n2")
        (holder,) = world.list_holders()
        node = world.nodes[holder]
        engines = node.engines
        engines.sequence = 3
        world.run(2.0)
        self.assertTrue(engines.orders)
        node.paused = True
        world.run(4.5)
        engines.silent = True
        engines.orders.clear()
        for other in world.nodes.values():
            other.dead = other is not node
        node.paused = False
        while not world.list_holders():
            world.run(_STEP)
        world.run(3 * _STEP)
        self.assertEqual(engines.orders, [])


class ReplicaCase(LeaseCase):
    """Three nodes and a replica of one instance."""

    def setUp(self):
        super().setUp()
        self.world = self.make("n1", "n2", "n3")
        self.reported_losses = []
        seat = upstreams.Seat(
            upstreams.make_replica_id("m", 1, "r"), 1, 0, upstreams.Phase.OPEN
        )
        for node in self.world.nodes.values():
            node.seat = seat
            node.engines.sequence = 3
            node.duties.on_loss = lambda epoch_id, node=node: (
                self.reported_losses.append((node.name, epoch_id))
            )
        self.world.run(5.0)


class ProbeTest(ReplicaCase):
    """Losses while the store is down and no node can hold the lease."""

    def lose_store(self):
        for node in self.world.nodes.values():
            node.store_mode = "down"
        self.world.run(4.0)
        self.assertEqual(self.world.list_holders(), [])

    def lose_instance(self):
        for node in self.world.nodes.values():
            node.engines.silent = True
            node.duties.suspect(ids.InstanceId("e1"))
        self.world.run(1.0)

    def test_a_loss_is_reported_while_the_store_is_down(self):
        """Guards against a lost replica that nobody reports in an outage.

        Each of a hundred gateways then waits a second for that replica.
        """
        (holder,) = self.world.list_holders()
        self.lose_store()
        self.lose_instance()
        self.assertEqual([name for name, _ in self.reported_losses], [holder])

    def test_a_loss_is_reported_when_the_last_holder_is_dead_too(self):
        (holder,) = self.world.list_holders()
        self.world.nodes[holder].dead = True
        self.lose_store()
        self.lose_instance()
        self.assertEqual(len(self.reported_losses), 1)

    def test_no_order_is_given_while_nobody_holds_the_lease(self):
        self.lose_store()
        for node in self.world.nodes.values():
            node.engines.orders.clear()
        self.lose_instance()
        for node in self.world.nodes.values():
            self.assertEqual(node.engines.orders, [])

    def test_an_instance_that_stands_still_is_kept(self):
        """Guards against sound replicas that are dissolved.

        Only an instance that answers nothing for seconds is lost.
        """
        (holder,) = self.world.list_holders()
        node = self.world.nodes[holder]
        node.engines.orders.clear()
        node.engines.unresponsive = True
        node.duties.suspect(ids.InstanceId("e1"))
        self.world.run(2.0)
        self.assertEqual(self.reported_losses, [])
        kinds = {order.kind for order in node.engines.orders}
        self.assertNotIn(knowledge.OrderKind.LEAVE, kinds)
        self.world.run(2.0)
        self.assertEqual(len(self.reported_losses), 1)

    def test_the_probe_after_a_miss_is_a_new_connection(self):
        """Guards against two probes over one idle connection.

        The second one is asked for while the path is being checked.
        """
        (holder,) = self.world.list_holders()
        node = self.world.nodes[holder]

        def verify_path(since):
            self.world.time += 0.25
            node.duties.suspect(ids.InstanceId("e1"))
            return True

        node.duties.verify_path = verify_path
        node.engines.probes.clear()
        node.engines.unresponsive = True
        node.duties.suspect(ids.InstanceId("e1"))
        self.world.run(1.0)
        self.assertEqual(node.engines.probes[:2], [False, True])
        self.assertEqual(self.reported_losses, [])

    def test_an_instance_that_ends_after_a_probe_is_probed_again(self):
        """Guards against a suspicion that comes too soon after a probe."""
        (holder,) = self.world.list_holders()
        node = self.world.nodes[holder]
        (domain,) = node.duties._domains.values()
        # No probe is due, as of the members of a replica that serves.
        domain.planner.list_probes = lambda now, interval: []
        node.duties.suspect(ids.InstanceId("e1"))
        node.engines.probes.clear()
        node.duties.suspect(ids.InstanceId("e1"))
        self.assertEqual(node.engines.probes, [])
        self.world.run(0.4)
        self.assertEqual(len(node.engines.probes), 1)

    def test_a_holder_without_a_path_reports_no_losses(self):
        """Guards against sound replicas that all nodes avoid as lost.

        The holder is partitioned from all instances, not from the nodes.
        """
        (holder,) = self.world.list_holders()
        cut = self.world.nodes[holder]
        cut.engines.silent = True
        cut.duties.verify_path = lambda since: False
        cut.duties.suspect(ids.InstanceId("e1"))
        self.world.run(1.0)
        self.assertEqual(self.reported_losses, [])

    def test_a_holder_without_a_path_is_succeeded(self):
        """Guards against a domain whose holder reaches no instance."""
        (holder,) = self.world.list_holders()
        cut = self.world.nodes[holder]
        cut.duties.is_cut_off = lambda now: True
        cut.presence.has_path = False
        self.world.run(4.0)
        (successor,) = self.world.list_holders()
        self.assertNotEqual(successor, holder)
        cut.duties.is_cut_off = lambda now: False
        cut.presence.has_path = True
        self.world.run(2.0)
        self.assertEqual(self.world.list_holders(), [successor])

    def test_a_node_without_heartbeats_of_others_reports_no_losses(self):
        """Guards against losses reported by a node that is cut off.

        It reaches no instance and took all of them for lost.
        """
        (holder,) = self.world.list_holders()
        for node in self.world.nodes.values():
            node.paused = node.name != holder
        self.lose_store()
        self.lose_instance()
        self.assertEqual(self.reported_losses, [])


class SlowTest(ReplicaCase):
    """Reports of a member that is slow for a while."""

    def set_pace(self, pace):
        for node in self.world.nodes.values():
            node.engines.pace = pace

    def setUp(self):
        super().setUp()
        # The planner asks for no probes, as for a complete and open
        # replica between two steady probes.
        patch = mock.patch.object(
            formation.Planner, "list_probes", return_value=[]
        )
        patch.start()
        self.addCleanup(patch.stop)
        # `suspect` starts no probe right after another one.
        self.world.run(0.5)
        self.slow = []
        for node in self.world.nodes.values():
            node.duties.on_slow = lambda epoch_id, node=node: self.slow.append(
                (self.world.now(), node.name)
            )

    def test_a_slow_member_is_reported_until_it_is_no_longer_slow(self):
        """Guards against a slow replica that is not reported in time.

        Each of a hundred nodes then notices by a stalled stream of its
        own.
        """
        (holder,) = self.world.list_holders()
        self.set_pace(12.0)
        self.world.nodes[holder].duties.suspect(ids.InstanceId("e1"))
        began = self.world.now()
        self.world.run(3.5)
        self.assertEqual({name for _, name in self.slow}, {holder})
        times = [began, *(at for at, _ in self.slow), self.world.now()]
        gaps = [after - at for at, after in itertools.pairwise(times)]
        self.assertLess(max(gaps), 1.2)
        self.set_pace(1.0)
        self.world.run(1.2)
        self.slow.clear()
        self.world.run(5.0)
        self.assertEqual(self.slow, [])

    def test_a_member_that_is_a_little_slow_is_not_reported(self):
        (holder,) = self.world.list_holders()
        self.set_pace(1.5)
        self.world.nodes[holder].duties.suspect(ids.InstanceId("e1"))
        self.world.run(2.0)
        self.assertEqual(self.slow, [])


class StartTest(LeaseCase):
    def test_a_holder_drains_a_replica_that_the_work_does_not_need(self):
        """Guards against a decision that reaches no instance.

        Domains of six and four; the model "n" is measured to be short.
        """
        world = World(("n1", "n2"))
        models = (
            msgspec.structs.replace(_MODEL, share=0.5),
            msgspec.structs.replace(_MODEL, name="n", share=0.5),
        )
        engine = msgspec.structs.replace(_SERVICE.engine, models=models)
        service = msgspec.structs.replace(_SERVICE, engine=engine)
        listed = [
            upstreams.Upstream(
                id=ids.InstanceId(f"e{n}"),
                service=_SERVICE.name,
                address=f"e{n}:1",
                datacentre=ids.DatacentreName("a"),
                domain=ids.DomainName(f"d{n // 6}"),
                staged=("mn"[n // 6],),
                seat=upstreams.Seat(
                    f"{'mn'[n // 6]}.2.r{n // 2}",
                    1,
                    n % 2,
                    upstreams.Phase.READY if n % 2 else upstreams.Phase.OPEN,
                ),
            )
            for n in range(10)
        ]
        work = {"m": 0.2, "n": 3.0}
        for node in world.nodes.values():
            node.duties.services = lambda: (service,)
            node.engines.sequence = 3
            node.duties._balancer.measure_work = lambda _, model, now: work[
                model
            ]
            node.duties._balancer.count_load.return_value = 0
            node.update_fleet = lambda node=node: node.fleet.replace(
                listed, round(world.now() * 10), world.now()
            )
        world.run(8.0)
        work["n"] = 0.2
        world.run(10.0)
        self.assertEqual(self.list_orders(world), [])
        work["n"] = 3.0
        for node in world.nodes.values():
            node.duties.follows_work = False
        world.run(10.0)
        self.assertEqual(self.list_orders(world), [])
        for node in world.nodes.values():
            node.duties.follows_work = True
        world.run(10.0)
        orders = self.list_orders(world)
        self.assertEqual({kind for kind, _ in orders}, {"close"})
        self.assertEqual(len({name for _, name in orders}), 1)
        events = [
            call.args[0]
            for node in world.nodes.values()
            for call in node.duties._log.write.call_args_list
        ]
        self.assertEqual(events.count("layout_change_begun"), 1)

    def test_loads_of_a_step_and_other_loads_keep_to_the_rate(self):
        """The weight store got 30 loads in 5 s at 4.5 a second.

        Nine domains start as many loads as they may, while a step is called
        for and one of them carries it out.
        """
        models = (
            msgspec.structs.replace(_MODEL, share=0.5),
            msgspec.structs.replace(_MODEL, name="n", share=0.5),
        )
        engine = msgspec.structs.replace(
            _SERVICE.engine, models=models, loads_per_second=4.5
        )
        service = msgspec.structs.replace(_SERVICE, engine=engine)
        supplies = [
            rebalancing.DomainSupply(
                name=ids.DomainName(f"x{model}"),
                datacentre=ids.DatacentreName("a"),
                replicas={model: 2},
            )
            for model in "mn"
        ]
        control = World(("n1",)).nodes["n1"].duties
        control.services = lambda: (service,)
        for n in range(9):
            control._add_domain(ids.DomainName(f"x{n}"), service)
        domains = list(control._domains.values())
        review = control._reviews[service.name] = rebalancing.Review()
        work = {"m": 0.2, "n": 3.0}
        started = []
        for step in range(300):
            now = step * _STEP
            if step % 10 == 0:
                review.decide(
                    service.name, engine, work, lambda: supplies, 0.5, now
                )
            if step == 80:
                domains[0].planner.conversion = mock.Mock()
            for domain in domains:
                loads = control._count_allowed_loads(domain, now)
                domain.loads.spend(loads)
                changed = control._count_conversion_loads(domain, now)
                domain.conversion_loads.spend(changed)
                started += [now] * (loads + changed)
        most = max(
            sum(now - 5.0 < other <= now for other in started)
            for now in started
        )
        self.assertLessEqual(most, 4.5 * 5 * 1.1 + 3)

    def list_orders(self, world):
        return [
            (order.kind.value, order.instance)
            for node in world.nodes.values()
            for order in node.engines.orders
        ]

    def test_models_are_not_assigned_from_an_incomplete_list(self):
        """Guards against models assigned from an incomplete list.

        Instances register over some seconds. Meanwhile this node's list is
        not updated, as the node that reads the store for it is late; a
        third of a domain was then loaded with the wrong model.
        """
        world = World(("n1",))
        node = world.nodes["n1"]
        node.update_fleet = lambda: None
        world.run(5.0)
        self.assertEqual(world.list_holders(), [])
        del node.update_fleet
        world.run(5.0)
        self.assertEqual(world.list_holders(), ["n1"])


if __name__ == "__main__":
    unittest.main()

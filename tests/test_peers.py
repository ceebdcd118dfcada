"""Membership, configuration, edits and the time line across processes."""

import unittest

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import wire
from currantwall.coordination.peers import links
from currantwall.coordination.profiles import edits
from currantwall.protocol import codec
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import members
from currantwall.state import objects
from currantwall.state import timeline
from currantwall.state import views
from standins import sites
from standins import virtual
from tests import faults

_DATACENTRES = ("a", "b", "c")
_ENTRIES = {
    f"{datacentre}{number}": datacentre
    for datacentre in _DATACENTRES
    for number in (1, 2, 3, 4)
}
_PROFILE = "[profile p]\nmodel = m\nreplicas = 0\nconcurrency = {number}\n"


def make_world(seed: int = 1) -> virtual.World:
    world = sites.make_site(_ENTRIES, (), seed=seed)
    world.run(8.0)
    return world


def list_dead(world: virtual.World) -> set[tuple[str, str]]:
    """Return pairs of a node and a member that it considers dead."""
    return {
        (name, member.id)
        for name, host in world.hosts.items()
        if host.alive
        for member in host.node.nodes.all()
        if member.state is members.MemberState.DEAD
    }


def count_verdicts(world: virtual.World) -> int:
    """Return how often a node declared a member dead."""
    name = f"{actions.Counter.MEMBER_VERDICTS.value}/dead"
    return sum(host.counts.get(name, 0) for host in world.hosts.values())


class MembershipTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = make_world()

    def host(self, name: str) -> virtual.Host:
        return self.world.hosts[ids.NodeId(name)]

    def run_for(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds)

    def test_every_node_knows_all_others(self) -> None:
        for host in self.world.hosts.values():
            usable = {member.id for member in host.node.nodes.usable()}
            self.assertEqual(set(_ENTRIES), usable)

    def test_dead_member_is_found(self) -> None:
        # Failure: callers are sent to an entry whose machine has died.
        self.host("a2").kill()
        self.run_for(8.0)
        for name, host in self.world.hosts.items():
            if name != "a2":
                usable = {member.id for member in host.node.nodes.usable()}
                self.assertNotIn("a2", usable)

    def test_lost_data_centre_is_left_out_everywhere(self) -> None:
        # Failure: a whole data centre fails, no node in it is left to
        # declare its members dead, and callers elsewhere are sent there.
        # Its nodes must be usable again after it has recovered.
        for number in (1, 2, 3, 4):
            self.host(f"c{number}").pause()
        self.run_for(15.0)
        for name in ("a1", "a2", "a3", "a4", "b1", "b2", "b3", "b4"):
            usable = self.host(name).node.nodes.usable()
            self.assertEqual(8, len(usable), name)
        for number in (1, 2, 3, 4):
            self.host(f"c{number}").resume()
        self.run_for(15.0)
        for name in _ENTRIES:
            self.assertEqual(12, len(self.host(name).node.nodes.usable()))

    def test_one_bad_link_causes_no_verdict(self) -> None:
        # Failure: two entries are alive and all others reach them, but the
        # link between them is cut and each declares the other dead.
        self.world.cut = lambda a, b: {a, b} == {"a1", "a2"}
        self.run_for(60.0)
        self.assertEqual(0, count_verdicts(self.world))

    def test_paused_prober_declares_nobody_dead(self) -> None:
        # Failure: an entry resumes after a pause, finds all its pings
        # unanswered and declares live members dead.
        for _ in range(3):
            self.host("a1").pause()
            self.run_for(0.8)
            self.host("a1").resume()
            self.run_for(10.0)
        dead = {pair for pair in list_dead(self.world) if pair[1] != "a1"}
        self.assertEqual(set(), dead)

    def test_isolated_node_declares_nobody_dead(self) -> None:
        # Failure: an entry that has lost its network declares all others
        # dead, and its verdicts spread when the network recovers.
        self.world.cut = lambda a, b: "a1" in (a, b)
        self.run_for(30.0)
        mine = {pair for pair in list_dead(self.world) if pair[0] == "a1"}
        self.assertEqual(set(), mine)
        self.world.cut = lambda a, b: False
        self.run_for(20.0)
        self.assertEqual(set(), list_dead(self.world))

    def test_healed_partition_causes_no_burst_of_messages(self) -> None:
        # Failure: a data centre is cut off for two minutes and its nodes
        # are declared dead, or the repair afterwards floods the network.
        self.world.cut = lambda a, b: (
            a in _ENTRIES
            and b in _ENTRIES
            and (_ENTRIES[a] == "c") != (_ENTRIES[b] == "c")
        )
        self.run_for(120.0)
        self.assertEqual(0, count_verdicts(self.world))
        view = self.host("a1").node.nodes
        self.assertEqual(8, len(view.usable()))
        self.world.cut = lambda a, b: False
        before = self.world.sent
        self.run_for(10.0)
        healing = self.world.sent - before
        self.assertEqual(12, len(view.usable()))
        before = self.world.sent
        self.run_for(10.0)
        self.assertLess(healing, 2 * (self.world.sent - before))

    def test_restarted_member_is_new(self) -> None:
        # Failure: a member restarts before its death is detected, and the
        # others keep its old incarnation.
        before = self.host("b1").node.nodes.me.incarnation
        self.host("b1").kill()
        self.host("b1").restart()
        self.run_for(8.0)
        for host in self.world.hosts.values():
            member = host.node.nodes.get(ids.NodeId("b1"))
            assert member is not None
            self.assertGreater(member.incarnation, before)
            self.assertTrue(member.is_usable)

    def test_leaving_member_is_left_out_at_once(self) -> None:
        # Failure: callers are sent to an entry that is being stopped.
        host = self.host("a1")
        host.perform(host.node.leave(self.world.now))
        self.run_for(0.1)
        for name in ("a2", "a3", "a4"):
            node = self.host(name).node
            chosen = node.entries.choose(ids.DatacentreName("a"), "")
            nodes = {entry.node for entry in chosen.entries}
            self.assertNotIn("a1", nodes)

    def test_callers_are_spread_over_their_own_data_centre(self) -> None:
        node = self.host("b1").node
        first = [
            node.entries.choose(ids.DatacentreName("a"), "").entries[0]
            for _ in range(40)
        ]
        self.assertEqual({"a"}, {entry.datacentre for entry in first})
        self.assertEqual(4, len({entry.node for entry in first}))

    def test_message_of_a_past_process_is_dropped(self) -> None:
        # Failure: a message queued for a process that died reaches its
        # successor, or a dead sender's message arrives after its
        # successor's.
        self.host("a2").kill()
        self.host("a2").restart()
        self.run_for(8.0)
        host = self.host("a1")
        peer = host.node.nodes.get(ids.NodeId("a2"))
        assert peer is not None
        for sender, receiver in ((peer.incarnation - 1, 0), (0, 99)):
            envelope = wire.Envelope(
                sender=peer.id,
                incarnation=ids.Incarnation(sender or peer.incarnation),
                sent=0.0,
                body=wire.Pull(()),
                to_incarnation=ids.Incarnation(receiver),
            )
            opened, _ = host.node.links.open(envelope, self.world.now)
            self.assertIsNone(opened)

    def test_delayed_message_shows_its_age(self) -> None:
        # Failure: evidence that was queued for ten seconds looks recent on
        # arrival.
        opener = links.Links(views.MembersView(self.host("a1").node.nodes.me))

        def open_at(sent: float, now: float) -> float:
            envelope = wire.Envelope(
                sender=ids.NodeId("x"),
                incarnation=ids.Incarnation(1),
                sent=sent,
                body=wire.Ping(1),
            )
            message, _ = opener.open(envelope, now)
            assert message is not None
            return message.delay

        self.assertEqual(0.0, open_at(100.0, 5.0))
        self.assertAlmostEqual(10.0, open_at(101.0, 16.0))
        self.assertAlmostEqual(0.5, open_at(112.0, 17.5))


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = make_world()
        self._ticket = 0

    def host(self, name: str) -> virtual.Host:
        return self.world.hosts[ids.NodeId(name)]

    def edit(self, name: str, number: int, wait: float = 5.0) -> object:
        self._ticket += 1
        host = self.host(name)
        wanted = sites.parse(_PROFILE.format(number=number))
        sites.put_profile(host, wanted, self._ticket)
        self.world.run(
            self.world.now + wait,
            stop=lambda: self._ticket in host.replies,
        )
        return host.replies.get(self._ticket)

    def list_values(self) -> dict[str, int]:
        return {
            name: host.node.view.profiles["p"].concurrency
            for name, host in self.world.hosts.items()
            if host.alive and "p" in host.node.view.profiles
        }

    def test_edit_is_accepted_once_it_is_everywhere(self) -> None:
        started = self.world.now
        reply = self.edit("b2", 7)
        assert isinstance(reply, edits.EditResult)
        self.assertEqual(edits.EditOutcome.ACCEPTED, reply.outcome)
        self.assertLess(self.world.now - started, 1.0)
        self.assertEqual(dict.fromkeys(_ENTRIES, 7), self.list_values())

    def test_edit_names_the_nodes_that_lack_it(self) -> None:
        # Failure: a data centre is cut off, and an operator's edit is
        # nevertheless reported as accepted everywhere.
        self.world.cut = lambda a, b: (
            (_ENTRIES.get(a) == "c" and _ENTRIES.get(b) != "c")
            or (_ENTRIES.get(b) == "c" and _ENTRIES.get(a) != "c")
        )
        reply = self.edit("a1", 3)
        assert isinstance(reply, edits.EditResult)
        self.assertEqual(edits.EditOutcome.STORED, reply.outcome)
        self.assertEqual(("c1", "c2", "c3", "c4"), reply.missing)
        self.world.cut = lambda a, b: False
        self.world.run(self.world.now + 10.0)
        self.assertEqual(dict.fromkeys(_ENTRIES, 3), self.list_values())

    def test_edit_with_dead_entries_is_accepted_in_time(self) -> None:
        # Failure: two entries have just died, one of them in another data
        # centre, and an edit waits until they are pinged in turn. Nodes
        # that do not acknowledge an edit must be probed at once.
        self.host("a3").kill()
        self.host("c2").kill()
        started = self.world.now
        reply = self.edit("a1", 6)
        assert isinstance(reply, edits.EditResult)
        self.assertEqual(edits.EditOutcome.ACCEPTED, reply.outcome)
        self.assertLess(self.world.now - started, 3.0)

    def test_racing_edits_get_one_conflict(self) -> None:
        # Failure: two operators edit the same version at the same time,
        # and both edits are accepted.
        self.edit("a1", 1)
        for name, number, ticket in (("a2", 5, 71), ("c2", 6, 72)):
            wanted = sites.parse(_PROFILE.format(number=number))
            sites.put_profile(self.host(name), wanted, ticket)
        self.world.run(self.world.now + 5.0)
        replies = [self.host("a2").replies[71], self.host("c2").replies[72]]
        outcomes = sorted(
            reply.outcome.value  # type: ignore[attr-defined]
            for reply in replies
        )
        self.assertEqual(["accepted", "conflict"], outcomes)
        self.assertEqual(1, len(set(self.list_values().values())))

    def test_lost_answer_is_not_a_conflict(self) -> None:
        # Failure: a write took effect but its answer was lost, and a
        # reported conflict makes the operator repeat the edit.
        self.world.platform.lose = 1.0
        reply = self.edit("a1", 9)
        self.world.platform.lose = 0.0
        assert isinstance(reply, edits.EditResult)
        self.assertIn(
            reply.outcome,
            (edits.EditOutcome.ACCEPTED, edits.EditOutcome.STORED),
        )

    def test_edit_in_an_outage_is_not_stored(self) -> None:
        self.world.platform.down = True
        reply = self.edit("a1", 9)
        assert isinstance(reply, edits.EditResult)
        self.assertEqual(edits.EditOutcome.NOT_STORED, reply.outcome)

    def test_older_version_never_returns(self) -> None:
        # Failure: an event, a push or a stale read of the platform
        # replaces the version in force by an older one.
        self.edit("a1", 1)
        self.edit("a1", 2)
        key = objects.ObjectKey(objects.Kind.PROFILES.value, "p")
        host = self.host("c3")
        new = host.node.view.get(key)
        assert new is not None
        older = sites.parse(_PROFILE.format(number=1))
        version = ids.Version(new.version - 1)
        stored = objects.Stored(key, version, objects.encode(older))
        push = wire.Push((stored,))
        host.tell(messages.Received(ids.NodeId("c1"), push))
        self.assertEqual(2, host.node.view.profiles["p"].concurrency)

    def test_starting_node_takes_the_newest_of_platform_and_peers(
        self,
    ) -> None:
        # Failure: a node that restarts while the platform is down serves
        # without the profile, although its peers have it.
        self.edit("a1", 4)
        self.world.platform.down = True
        self.host("b3").kill()
        self.host("b3").restart()
        self.world.run(self.world.now + 10.0)
        self.assertTrue(self.host("b3").node.is_ready)
        self.assertEqual(4, self.list_values()["b3"])

    def test_missed_push_is_repaired(self) -> None:
        # Failure: all messages are lost while an edit spreads and the
        # watchers miss its event. Anti-entropy by digests must repair it.
        self.world.link_loss = 1.0
        self.edit("a1", 8)
        self.world.link_loss = 0.0
        self.world.run(self.world.now + 10.0)
        self.assertEqual(dict.fromkeys(_ENTRIES, 8), self.list_values())

    def test_deleted_object_stays_deleted(self) -> None:
        # Failure: a node that missed the deletion of a profile brings it
        # back through anti-entropy.
        self.edit("a1", 5)
        self.host("c4").pause()
        key = objects.ObjectKey(objects.Kind.PROFILES.value, "p")
        host = self.host("a1")
        expected = host.node.view.get_expected_version(key)
        host.tell(edits.EditRequested(500, key, b"", expected))
        self.world.run(self.world.now + 6.0)
        self.host("c4").resume()
        self.world.run(self.world.now + 10.0)
        self.assertEqual({}, self.list_values())


class AnyFaults(stateful.RuleBasedStateMachine):
    """Versions never fall; views agree after the network has recovered."""

    names = st.sampled_from(sorted(_ENTRIES))
    waits = st.sampled_from((0.2, 1.0, 5.0))

    @stateful.initialize(seed=st.integers(0, 100))
    def start(self, seed: int) -> None:
        self.world = make_world(seed)
        self.world.link_delay = 0.01
        self.highest: dict[tuple[str, int], int] = {}
        self.number = 0

    def pass_time(self, seconds: float) -> None:
        self.world.run(self.world.now + seconds, check=self.check_versions)

    def check_versions(self) -> None:
        key = objects.ObjectKey(objects.Kind.PROFILES.value, "p")
        for name, host in self.world.hosts.items():
            process = (name, host.node.nodes.me.incarnation)
            version = host.node.view.version(key)
            assert version >= self.highest.get(process, 0)
            self.highest[process] = version

    @stateful.rule(name=names, seconds=waits)
    def edit(self, name: str, seconds: float) -> None:
        self.number += 1
        host = self.world.hosts[ids.NodeId(name)]
        if host.alive and not host.paused:
            wanted = sites.parse(_PROFILE.format(number=self.number))
            sites.put_profile(host, wanted, self.number)
        self.pass_time(seconds)

    @stateful.rule(
        name=names,
        fault=faults.HOST_FAULTS,
        seconds=waits,
    )
    def change_host(self, name: str, fault: str, seconds: float) -> None:
        faults.change_host(self.world, name, fault)
        self.pass_time(seconds)

    @stateful.rule(
        loss=st.sampled_from((0.0, 0.2, 0.9)),
        datacentre=st.sampled_from(("", *_DATACENTRES)),
        down=st.booleans(),
        seconds=waits,
    )
    def change_network(
        self, loss: float, datacentre: str, down: bool, seconds: float
    ) -> None:
        self.world.link_loss = loss
        self.world.platform.down = down
        self.world.cut = lambda a, b: (
            bool(datacentre)
            and (_ENTRIES.get(a) == datacentre)
            != (_ENTRIES.get(b) == datacentre)
        )
        self.pass_time(seconds)

    def teardown(self) -> None:
        if not hasattr(self, "world"):
            return
        self.world.link_loss = 0.0
        self.world.platform.down = False
        self.world.cut = lambda a, b: False
        for host in self.world.hosts.values():
            if host.paused:
                host.resume()
        self.pass_time(60.0)
        views_ = {
            (host.node.nodes.digests(), host.node.view.digests())
            for host in self.world.hosts.values()
        }
        assert len(views_) == 1, "the views differ after the recovery"
        assert list_dead(self.world) == set()


AnyFaults.TestCase.settings = hypothesis_settings(
    max_examples=8, stateful_step_count=12
)
AnyFaultsTest = AnyFaults.TestCase


class WireTest(unittest.TestCase):
    def test_wrong_key_is_refused(self) -> None:
        # Failure: a message is accepted that was sent without the key or
        # modified in transit.
        envelope = wire.Envelope(
            sender=ids.NodeId("a"),
            incarnation=ids.Incarnation(1),
            sent=1.0,
            body=wire.Ping(1),
        )
        data = codec.Codec("right").encode(envelope)
        self.assertTrue(codec.Codec("right").decode(data).is_ok())
        self.assertTrue(codec.Codec("wrong").decode(data).is_err())
        changed = data[:-1] + bytes([data[-1] ^ 1])
        self.assertTrue(codec.Codec("right").decode(changed).is_err())

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused(self, data: bytes) -> None:
        self.assertTrue(codec.Codec("k").decode(data).is_err())


class TimelineTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 5), st.booleans())))
    def test_effects_never_come_before_their_causes(
        self, steps: list[tuple[int, bool]]
    ) -> None:
        # Failure: the wall clocks of two processes differ, and the merged
        # time line shows a message's receipt before its send.
        clocks = (timeline.HybridClock(), timeline.HybridClock())
        skews = (0, 1_000_000)
        wall = 0
        last = timeline.Stamp(0, 0)
        for pause, side in steps:
            wall += pause
            sender, receiver = clocks[side], clocks[not side]
            sent = sender.advance(wall + skews[side])
            receiver.observe(sent)
            effect = receiver.advance(wall + skews[not side])
            self.assertGreater(effect, sent)
            self.assertGreater(sent, timeline.Stamp(0, 0))
            last = max(last, effect)

    def test_ring_is_bounded(self) -> None:
        ring = timeline.Ring(3)
        for number in range(10):
            ring.append(
                timeline.Event(
                    stamp=timeline.Stamp(number),
                    node="a",
                    kind=timeline.EventKind.NODE_READY,
                )
            )
        self.assertEqual(3, len(ring.select()))
        self.assertEqual(1, len(ring.select(timeline.Stamp(8))))


class ListTest(unittest.TestCase):
    def test_stale_list_does_not_restore_a_removed_instance(self) -> None:
        # Failure: two reads of the instance list arrive in the wrong
        # order, and the older one brings back an instance that is gone.
        world = sites.make_site({"a1": "a"}, ())
        sites.add_service(world, "s1", "sizing", "a")
        world.run(5.0)
        view = world.hosts[ids.NodeId("a1")].node.view
        self.assertIn("s1", view.instances)
        instance = view.instances["s1"]
        self.assertIs(instances.InstanceKind.SERVICE, instance.kind)
        world.unlist_instance(ids.InstanceId("s1"))
        world.run(world.now + 3.0)
        self.assertNotIn("s1", view.instances)
        key = objects.ObjectKey(objects.Kind.INSTANCES.value, "s1")
        old = objects.Stored(key, ids.Version(1), objects.encode(instance))
        self.assertFalse(view.apply(old))

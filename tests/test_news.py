"""Handling of other nodes' reports, by members and by relays.

In a large fleet a member receives the sum of all nodes' request counts,
and a relay receives the counts of its clients and of other relays.
"""

import unittest
from unittest import mock

import msgspec

from bench import digests as network
from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.peers import staleness
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import quarantine
from currantwall.state import ids
from currantwall.state import limits
from currantwall.state import revisions
from currantwall.state import upstreams
from currantwall.transport import news

_NODES = 60
_LEADER = ids.InstanceId("i1")
RelayRequest = presence_module.RelayRequest


class NewsTest(unittest.TestCase):
    def make(self, capacity):
        """Return a node of a large fleet whose relays are n0 and n1.

        Args:
            capacity: Capacity of the node; above that of n0 and n1, which
                is 1, it is a relay itself.
        """
        me = network.make_entry("me", "a", capacity)
        presence = presence_module.Presence(me)
        presence.ready = True
        self.entries = [
            network.make_entry(f"n{n}", "a", 1.0 if n < 2 else 0.1)
            for n in range(_NODES)
        ]
        presence.note_list(self.entries, 10.0)
        self.balancer = balancing.Balancer(
            upstreams.Fleet(), ids.DatacentreName("a")
        )
        clock = mock.Mock(now=lambda: 10.0)
        self.feed = mock.Mock(
            changed=1,
            get_store_age=lambda now: None,
            list_departures=lambda: {_LEADER: upstreams.Departure(5, 2.0)},
        )
        with mock.patch.object(news.heartbeats, "Heartbeats"):
            exchange = news.NewsExchange(
                "a:1",
                presence,
                self.balancer,
                mock.Mock(),
                mock.Mock(version=1),
                self.feed,
                mock.Mock(list_leases=lambda now: {}),
                mock.Mock(),
                quarantine.Quarantine(),
                mock.Mock(),
                clock,
            )
        exchange._heartbeats = mock.Mock()
        return exchange

    def make_digest(self, relay, is_part, count, serial=1):
        return digests.Digest(
            node=self.entries[relay],
            serial=serial,
            is_part=is_part,
            nodes={},
            loads={_LEADER: count},
        )

    def make_heartbeat(self, node, asks, count):
        return presence_module.Heartbeat(
            node=self.entries[node],
            serial=1,
            asks=asks,
            ready=True,
            loads={_LEADER: count},
        )

    def test_the_readiness_of_a_relay_is_taken_from_its_own_entry(self):
        """Guards against relays that start and confirm outdated evacuations.

        A digest without nodes refers to those of the one before.
        """
        exchange = self.make(0.1)
        exchange.note_evacuations = mock.Mock()
        found = []
        for serial, nodes in enumerate(
            (None, {"n0": False}, None, {"n0": True}, None), 1
        ):
            digest = self.make_digest(0, False, 1, serial)
            ready = bool(serial > 3)
            exchange._receive(
                msgspec.structs.replace(
                    digest, nodes=nodes, nodes_hash=1 + ready, informed=True
                )
            )
            found.append(exchange.note_evacuations.call_args.args[1:3])
        self.assertEqual(found, [(False, True)] * 3 + [(True, True)] * 2)

    def test_a_member_takes_its_own_requests_out_of_the_sum(self):
        """Guards against replicas that look busiest to nodes that use them."""
        exchange = self.make(0.1)
        self.balancer.begin(_LEADER, 1.0)
        exchange._compose(1)
        exchange._receive(self.make_digest(0, False, 7))
        exchange._receive(self.make_digest(1, False, 7))
        self.assertEqual(self.balancer.count_load(_LEADER), 7)

    def test_what_is_known_of_the_store_is_passed_on(self):
        """Guards against a relay that keeps what a restored store forgot."""
        exchange = self.make(9.0)
        known = staleness.KnownRevision(revisions.join(2, 7), 0.5)
        departures = {_LEADER: upstreams.Departure(5, 2.0)}
        heartbeat = msgspec.structs.replace(
            self.make_heartbeat(3, RelayRequest.FULL, 1),
            store_revision=known,
            departures=departures,
        )
        exchange._receive(heartbeat)
        self.feed.note_departures.assert_called_with(departures)
        self.assertEqual(exchange._presence.store_era, 2)
        sent = [datagram.message for datagram in exchange._compose(1)]
        self.assertTrue(sent)
        for message in sent:
            self.assertEqual(message.store_revision, known)
            self.assertEqual(message.departures, departures)

    def test_the_limits_are_told_whether_all_nodes_are_known(self):
        """Guards against shares divided among the few nodes that are known."""
        exchange = self.make(0.1)
        presence = exchange._presence
        told = []
        with mock.patch.object(self.balancer.limits, "note_nodes") as noted:
            exchange._compose(1)
            presence.note_relayed_nodes({"new": True}, (), 10.0)
            exchange._compose(2)
            presence.note_list(self.entries, 10.0)
            exchange._compose(3)
            exchange._presence = presence_module.Presence(presence.me)
            exchange._compose(4)
            told = [call.args[3] for call in noted.call_args_list]
        self.assertEqual(told, [True, False, True, False])

    def test_a_member_does_not_add_up_parts(self):
        exchange = self.make(0.1)
        exchange._receive(self.make_digest(0, False, 7))
        exchange._receive(self.make_digest(1, True, 4))
        self.assertEqual(self.balancer.count_load(_LEADER), 7)

    def test_a_relay_adds_up_full_requests_and_parts_of_other_relays(self):
        """Guards against counts that are added up twice or not at all."""
        exchange = self.make(2.0)
        exchange._receive(self.make_heartbeat(5, RelayRequest.FULL, 2))
        exchange._receive(
            self.make_heartbeat(6, RelayRequest.WITHOUT_LOADS, 3)
        )
        exchange._receive(self.make_digest(0, True, 4))
        exchange._receive(self.make_digest(0, False, 50, serial=2))
        self.assertEqual(self.balancer.count_load(_LEADER), 6)

    def test_only_attempts_at_the_reported_epoch_are_aborted(self):
        """Guards against attempts aborted at a replica just repaired.

        Only the attempts at the epoch that the report names are aborted.
        """
        exchange = self.make(0.1)
        aborted = []
        exchange.on_loss = aborted.append
        heartbeat = msgspec.structs.replace(
            self.make_heartbeat(5, RelayRequest.NONE, 0),
            lost=(f"{_LEADER}@3", "foreign"),
        )
        exchange._receive(heartbeat)
        self.assertEqual(aborted, [f"{_LEADER}@3"])

    def test_a_slow_replica_is_reported_to_all_nodes(self):
        exchange = self.make(0.1)
        self.balancer.note_slow = mock.Mock()
        heartbeat = self.make_heartbeat(5, RelayRequest.NONE, 0)
        exchange._receive(
            msgspec.structs.replace(heartbeat, slow=(f"{_LEADER}@3",))
        )
        self.balancer.note_slow.assert_called_once_with(_LEADER, 3, 10.0)
        exchange.announce_slow("i9@4")
        exchange._relay = mock.Mock()
        exchange._compose(1)
        (sent_heartbeat, _) = exchange._relay.list_datagrams.call_args.args
        self.assertEqual(sent_heartbeat.slow, ("i9@4",))

    def test_a_limit_is_reported_and_heeded(self):
        exchange = self.make(0.1)
        exchange._relay = mock.Mock()
        exchange._relay.take_urgent.return_value = False
        self.balancer.limits.note_answer(ids.InstanceId("i9"), 3.0, 10.0)
        exchange._compose(1)
        (sent, _) = exchange._relay.list_datagrams.call_args.args
        self.assertEqual(sent.limits, {"i9": limits.LimitReport(3.0, 0.0)})
        heartbeat = self.make_heartbeat(5, RelayRequest.NONE, 0)
        named = {_LEADER: limits.LimitReport(0.0, 0.5)}
        exchange._receive(msgspec.structs.replace(heartbeat, limits=named))
        self.balancer.limits.note_request(_LEADER, 10.0)
        self.assertFalse(self.balancer.limits.permits(_LEADER, 10.0))

    def test_a_share_is_asked_of_a_holder_and_granted(self):
        """Guards against limits of which the holders use their parts only."""
        exchange = self.make(0.1)
        own = self.balancer.limits
        holder, node = (ids.NodeId(f"n{n}") for n in (5, 6))
        own.note_nodes([holder], 10.0)
        own.note_answer(_LEADER, 3.0, 10.0)
        own.note_demand(_LEADER, 1, 10.0)
        exchange._ask_for_shares(10.0)
        (asked,) = exchange._heartbeats.send_one.call_args.args
        self.assertEqual([one.id for one in asked.to], [holder])
        exchange._receive(
            limits.ShareGrant(asked.message.serial, {_LEADER: 1})
        )
        self.assertTrue(own.permits(_LEADER, 10.0))
        own.note_nodes([self.balancer.limits._me], 10.0)
        exchange._receive(limits.ShareRequest(node, 7, {_LEADER: 1}))
        (granted,) = exchange._heartbeats.send_one.call_args.args
        self.assertEqual([one.id for one in granted.to], [node])
        self.assertEqual(granted.message, limits.ShareGrant(7, {_LEADER: 1}))

    def test_a_stall_is_reported_directly_to_the_prober(self):
        """Guards against probing a stalled replica half a second late."""
        exchange = self.make(0.1)
        exchange._duties.find_prober.return_value = ids.NodeId("n9")
        exchange.report_stall(_LEADER)
        (datagram,) = exchange._heartbeats.send_one.call_args.args
        self.assertEqual([one.id for one in datagram.to], ["n9"])
        self.assertEqual(datagram.message.stalled, (_LEADER,))


if __name__ == "__main__":
    unittest.main()

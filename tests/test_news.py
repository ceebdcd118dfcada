"""What a node makes of the counts that others tell, as member and relay."""

import unittest
from unittest import mock

import msgspec

from bench import digests as network
from currantwall.coordination.peers import digests
from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.requests import balancing
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import news

_NODES = 60
_HEAD = ids.InstanceId("i1")
RelayRequest = presence_module.RelayRequest


class NewsTest(unittest.TestCase):
    def make(self, capacity):
        """Return a node of a large fleet whose relays are n0 and n1."""
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
        with mock.patch.object(news.heartbeats, "Heartbeats"):
            made = news.NewsExchange(
                "a:1",
                presence,
                self.balancer,
                mock.Mock(),
                mock.Mock(version=1),
                mock.Mock(changed=1, get_store_age=lambda now: None),
                mock.Mock(list_leases=lambda now: {}),
                mock.Mock(),
                mock.Mock(),
                clock,
            )
        made._heartbeats = mock.Mock()
        return made

    def digest(self, relay, is_part, count, serial=1):
        return digests.Digest(
            node=self.entries[relay],
            serial=serial,
            is_part=is_part,
            nodes={},
            loads={_HEAD: count},
        )

    def beat(self, node, asks, count):
        return presence_module.Heartbeat(
            node=self.entries[node],
            serial=1,
            asks=asks,
            ready=True,
            loads={_HEAD: count},
        )

    def test_a_member_takes_its_own_requests_out_of_the_sum(self):
        """A replica would look busier to those who use it most."""
        made = self.make(0.1)
        self.balancer.begin(_HEAD)
        made._compose(1)
        made._receive(self.digest(0, False, 7))
        made._receive(self.digest(1, False, 7))
        self.assertEqual(self.balancer.count_load(_HEAD), 7)

    def test_a_member_does_not_add_up_parts(self):
        made = self.make(0.1)
        made._receive(self.digest(0, False, 7))
        made._receive(self.digest(1, True, 4))
        self.assertEqual(self.balancer.count_load(_HEAD), 7)

    def test_a_relay_adds_up_those_that_ask_it_first_and_other_parts(self):
        """A replica would look twice as busy as it is, or idle."""
        made = self.make(2.0)
        made._receive(self.beat(5, RelayRequest.FULL, 2))
        made._receive(self.beat(6, RelayRequest.WITHOUT_LOADS, 3))
        made._receive(self.digest(0, True, 4))
        made._receive(self.digest(0, False, 50, serial=2))
        self.assertEqual(self.balancer.count_load(_HEAD), 6)

    def test_attempts_at_a_mended_replica_outlive_an_old_verdict(self):
        """Streams were cut and begun again at the replica just mended."""
        made = self.make(0.1)
        ended = []
        made.abort_attempts = ended.append
        beat = msgspec.structs.replace(
            self.beat(5, RelayRequest.NONE, 0), lost=(f"{_HEAD}@3", "foreign")
        )
        made._receive(beat)
        self.assertEqual(ended, [f"{_HEAD}@3"])

    def test_a_slow_replica_is_told_to_all(self):
        made = self.make(0.1)
        self.balancer.note_slow = mock.Mock()
        beat = self.beat(5, RelayRequest.NONE, 0)
        made._receive(msgspec.structs.replace(beat, slow=(f"{_HEAD}@3",)))
        self.balancer.note_slow.assert_called_once_with(_HEAD, 3, 10.0)
        made.announce_slow("i9@4")
        made._relay = mock.Mock()
        made._compose(1)
        (own, _) = made._relay.list_datagrams.call_args.args
        self.assertEqual(own.slow, ("i9@4",))

    def test_a_doubt_goes_straight_to_the_holder(self):
        """A stalled replica would be looked at half a second later."""
        made = self.make(0.1)
        made._duties.find_prober.return_value = ids.NodeId("n9")
        made.report_stall(_HEAD)
        (datagram,) = made._heartbeats.send_one.call_args.args
        self.assertEqual([one.id for one in datagram.to], ["n9"])
        self.assertEqual(datagram.message.stalled, (_HEAD,))


if __name__ == "__main__":
    unittest.main()

"""A node's own path to upstreams, and requests by way of a peer."""

import itertools
import unittest
from unittest import mock

import eventlet
from eventlet.green import socket as green_socket
import eventlet.queue
import msgspec
import urllib3

from currantwall.coordination.peers import presence as presence_module
from currantwall.coordination.replicas import knowledge
from currantwall.coordination.requests import balancing
from currantwall.coordination.requests import paths as paths_module
from currantwall.coordination.requests import quarantine
from currantwall.coordination.requests import reachability
from currantwall.protocol import peerexchanges as protocol
from currantwall.state import ids
from currantwall.state import upstreams
from currantwall.transport import advisories
from currantwall.transport import crashes
from currantwall.transport import exchanges
from currantwall.transport import ingress
from currantwall.transport import paths as path_checks
from currantwall.transport import peerexchanges
from currantwall.transport import timers
from tests import test_exchanges
from tests import test_gateway_parts

_OUTBOUND = test_exchanges._OUTBOUND
_NAMES = test_exchanges._NAMES


def make_node(name, datacentre="a", peer=""):
    return presence_module.NodeEntry(
        id=ids.NodeId(name),
        datacentre=ids.DatacentreName(datacentre),
        front=f"{name}:1",
        heartbeats=f"{name}:2",
        peer=peer or f"{name}:3",
        incarnation=1,
    )


class PathsTest(unittest.TestCase):
    def setUp(self):
        self.presence = presence_module.Presence(make_node("a1"))
        self.paths = paths_module.Paths(self.presence)
        self.serial = itertools.count(1)

    def hear(self, name, datacentre="a", has_path=True):
        """Receive a heartbeat of a node that is ready."""
        heartbeat = presence_module.Heartbeat(
            node=make_node(name, datacentre),
            serial=next(self.serial),
            ready=True,
            has_path=has_path,
        )
        self.presence.note_heartbeat(heartbeat, 10.0)

    def choose(self, count=50):
        """Return the peers that requests are sent by way of."""
        chosen = [self.paths.choose_peer(f"r{n}", 10.0) for n in range(count)]
        return {node.id for node in chosen if node is not None}

    def list_named(self):
        return [node.id for node in self.paths.list_named(10.0, True)]

    def test_a_single_connection_does_not_bring_a_lost_path_back(self):
        """Guards against a node that reaches 4 of 57 upstreams.

        It lost and found its path 52 times in some seconds.
        """
        self.assertTrue(self.paths.note_check(False))
        for has_reached in (True, True, False, True, True):
            self.assertFalse(self.paths.note_check(has_reached))
        self.paths.note_reached(10.0)
        self.assertFalse(self.paths.is_proven(9.0))
        self.assertTrue(self.paths.note_check(True))
        self.assertTrue(self.paths.is_proven(9.0))

    def test_only_a_later_connection_proves_a_path(self):
        self.paths.note_reached(10.0)
        self.assertTrue(self.paths.is_proven(9.9))
        self.assertFalse(self.paths.is_proven(10.1))

    def test_a_check_tries_upstreams_with_little_in_common(self):
        """Guards against taking the loss of a domain for that of the path."""
        listed = [
            test_gateway_parts.make_upstream(f"{domain}{n}", domain=domain)
            for domain in ("d0", "d1", "d2")
            for n in range(9)
        ]
        for salt in range(20):
            chosen = self.paths.choose_checked(listed, f"{salt}")
            self.assertEqual(len(chosen), 4)
            self.assertEqual(len({one.domain for one in chosen}), 3)

    def test_a_check_tries_services_that_requests_are_sent_to(self):
        """Guards against entries that nobody uses and nothing serves."""
        listed = [
            test_gateway_parts.make_upstream(f"{n}", domain=f"d{n}")
            for n in range(9)
        ]
        foreign = [
            msgspec.structs.replace(one, service=ids.ServiceName("old"))
            for one in listed
        ]
        services = {listed[0].service}
        for salt in range(20):
            chosen = self.paths.choose_checked(
                [*foreign, listed[0]], f"{salt}", services
            )
            self.assertEqual(chosen, [listed[0]])
        self.assertEqual(len(self.paths.choose_checked(foreign, "")), 4)

    def test_requests_go_by_way_of_peers_with_a_path_only(self):
        """Guards against requests that a peer can't forward either."""
        self.hear("a2", has_path=False)
        self.hear("b1", "b")
        self.hear("b2", "b", has_path=False)
        self.assertFalse(self.paths.is_cut_off(10.0))
        self.paths.note_check(False)
        self.assertTrue(self.paths.is_cut_off(10.0))
        self.assertEqual(self.choose(), {"b1"})

    def test_a_lost_path_of_a_peer_has_the_own_one_checked_once(self):
        """Guards against a node that learns by a request that it is cut."""
        self.hear("a2")
        self.assertFalse(self.paths.is_check_due(10.0))
        self.hear("a2", has_path=False)
        due = [self.paths.is_check_due(10.0) for _ in range(2)]
        self.assertEqual(due, [True, False])

    def test_a_peer_that_could_not_forward_is_avoided(self):
        self.hear("a2")
        self.hear("a3")
        self.paths.avoid_peer(ids.NodeId("a2"), 10.0)
        self.assertEqual(self.choose(), {"a3"})
        self.paths.avoid_peer(ids.NodeId("a3"), 10.0)
        self.assertEqual(self.choose(), {"a2", "a3"})

    def test_few_peers_of_a_data_centre_do_not_carry_it_alone(self):
        """Guards against one node that takes all of a data centre's load."""
        for name in ("a2", "a3", "b1", "b2"):
            self.hear(name, name[0])
        self.assertEqual(self.choose(), {"a2", "a3"})
        for name in ("a4", "a5"):
            self.hear(name, has_path=False)
        self.assertEqual(self.choose(), {"a2", "a3", "b1", "b2"})

    def test_callers_are_not_all_sent_to_a_few_nodes(self):
        """Guards against a few nodes with a path that get all callers."""
        for name in ("a2", "a3"):
            self.hear(name)
        self.paths.note_check(False)
        self.assertEqual(self.list_named(), ["a2", "a3"])
        for name in ("a3", "a4", "a5"):
            self.hear(name, has_path=False)
        self.assertEqual(len(self.list_named()), 5)

    def test_a_node_without_a_path_takes_no_domain(self):
        """Guards against a holder that reaches no instance of its domain."""
        for name in ("a2", "a3"):
            self.hear(name)
        self.paths.note_check(False)
        for duty in map(str, range(10)):
            self.assertEqual(self.presence.rank(duty, 10.0)[-1], "a1")
        self.assertFalse(self.presence.may_probe(ids.NodeId("a1"), 10.0))
        self.hear("a2", has_path=False)
        self.assertNotIn("a2", self.presence.rank("x", 10.0))

    def test_upstreams_are_not_avoided_for_the_nodes_own_loss(self):
        """Guards against refusing while peers could forward requests."""
        fleet = upstreams.Fleet()
        idle, busy = map(test_gateway_parts.make_upstream, ("idle", "busy"))
        fleet.replace([idle, busy], 1, 0.0)
        balancer = balancing.Balancer(fleet, ids.DatacentreName("here"))
        balancer.begin(busy.id, 1.0)
        balancer.note_failure(idle, 5.0, True)
        for since, expected in ((5.1, "busy"), (4.9, "idle")):
            balancer.forgive_failures(since)
            found = balancer.choose(
                ids.ServiceName("pool"), None, (), "salt", 5.2
            )
            self.assertEqual(found.id, expected)


class SocketCase(test_exchanges.SocketCase):
    def setUp(self):
        super().setUp()
        self.now = timers.TimerService.now
        self.presence = presence_module.Presence(make_node("a1"))
        self.paths = paths_module.Paths(self.presence)
        self.fleet = upstreams.Fleet()
        self.checks = path_checks.PathChecks(
            self.paths,
            self.fleet,
            self.connections,
            mock.Mock(),
            mock.Mock(),
            reachability.Reachability(),
        )
        self.connections.on_opened = self.checks.note_opened

    def list_upstreams(self, *addresses):
        self.fleet.replace(
            [
                msgspec.structs.replace(
                    test_gateway_parts.make_upstream(f"s{index}"),
                    address=address,
                )
                for index, address in enumerate(addresses)
            ],
            self.fleet.revision + 1,
            0.0,
        )


class PathChecksTest(SocketCase):
    def test_one_upstream_that_is_down_does_not_lose_the_path(self):
        """Guards against taking a crashed server for a partition."""
        up = self.listen(lambda connection: connection.recv(1))
        self.list_upstreams("127.0.0.1:1", "127.0.0.1:2", up)
        self.assertTrue(self.checks.verify(self.now()))
        self.assertFalse(self.paths.is_lost)

    def test_a_path_is_lost_and_found_again(self):
        changes = []
        self.checks.on_change = lambda: changes.append(self.paths.is_lost)
        self.list_upstreams("127.0.0.1:1", "127.0.0.1:2")
        self.assertFalse(self.checks.verify(self.now()))
        self.list_upstreams(self.listen(lambda connection: None))
        task = eventlet.spawn(self.checks.run)
        while self.paths.is_lost:
            eventlet.sleep(0.05)
        task.kill()
        self.assertEqual(changes, [True, False])

    def test_a_node_that_knows_no_upstream_has_not_lost_its_path(self):
        self.assertTrue(self.checks.verify(self.now()))


class PeerExchangeTest(SocketCase):
    def run_exchange(self, address, outbound=_OUTBOUND):
        """Return the messages of an exchange that a peer carries out."""
        inbox = eventlet.queue.LightQueue()
        exchange = peerexchanges.PeerExchange(
            make_node("a2", peer=address),
            1,
            ids.InstanceId("s0"),
            "127.0.0.1:1",
            outbound,
            inbox,
            exchanges.Connections(self.now),
            _NAMES,
        )
        self.addCleanup(exchange.cancel)
        messages = [inbox.get()]
        while not isinstance(messages[-1], exchanges.End | exchanges.Failed):
            messages.append(inbox.get())
        return messages

    def answer_frames(self, *frames, end=b"0\r\n\r\n"):
        """Return the address of a peer that answers with some frames."""

        def answer(connection):
            connection.recv(65_536)
            data = b"".join(map(protocol.encode_frame, frames))
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"%x\r\n%s\r\n%s" % (len(data), data, end)
            )
            connection.close()

        return self.listen(answer)

    def test_an_answer_is_passed_on(self):
        address = self.answer_frames(
            protocol.ResponseHead(200, (("X-A", "1"), ("X-A", "2"))),
            protocol.BodyPart(b"he"),
            protocol.BodyPart(b"llo"),
            protocol.BodyEnd(),
        )
        head, *parts, end = self.run_exchange(address)
        self.assertEqual(head.headers.getlist("x-a"), ["1", "2"])
        self.assertEqual(b"".join(part.data for part in parts), b"hello")
        self.assertEqual(end, exchanges.End(1))

    def test_an_answer_whose_peer_ends_is_not_complete(self):
        """Guards against half an answer as the whole one.

        The peer's process ends, in the middle of its answer or in order.
        """
        frames = (protocol.ResponseHead(200, ()), protocol.BodyPart(b"he"))
        for end in (b"", b"0\r\n\r\n"):
            *_, last = self.run_exchange(self.answer_frames(*frames, end=end))
            self.assertIsInstance(last, exchanges.Failed)
            self.assertTrue(last.may_have_sent)
            self.assertEqual(last.step, exchanges.PEER)

    def test_a_request_that_no_peer_took_was_not_sent(self):
        """Guards against a 502 for a request that may be repeated."""

        def refuse(connection):
            connection.recv(65_536)
            connection.sendall(
                b"HTTP/1.1 503 Service Unavailable\r\n"
                b"Content-Length: 0\r\n\r\n"
            )

        for address in ("127.0.0.1:1", self.listen(refuse)):
            (last,) = self.run_exchange(address)
            self.assertFalse(last.may_have_sent, address)
            self.assertEqual(last.step, exchanges.PEER)

    def test_an_upstreams_own_failure_is_not_the_peers(self):
        failed = protocol.ExchangeFailed(False, "connect", "refused")
        (last,) = self.run_exchange(self.answer_frames(failed))
        self.assertEqual((last.step, last.may_have_sent), ("connect", False))


class PeerExchangesTest(SocketCase):
    def setUp(self):
        super().setUp()
        self.engines = mock.Mock()
        self.crashes = crashes.Crashes(
            quarantine.Quarantine(),
            self.engines,
            mock.Mock(),
            mock.Mock(),
            self.connections.now,
        )
        self.balancer = balancing.Balancer(self.fleet, ids.DatacentreName("a"))
        self.advisories = advisories.Advisories(
            self.balancer,
            self.fleet,
            _NAMES,
            mock.Mock(),
            mock.Mock(),
            self.now,
        )
        self.served = peerexchanges.PeerExchanges(
            self.paths,
            self.checks,
            self.fleet,
            self.connections,
            self.crashes,
            self.advisories,
            _NAMES,
            mock.Mock(),
        )

    def ask(self, address, client=None, send_within=None, headers=()):
        """Ask for an exchange with the first upstream."""
        asked = protocol.ExchangeRequest(
            instance="s0",
            address=address,
            method="GET",
            target="/",
            headers=(("Host", "h"), *headers),
            has_body=False,
            attempt_id="1",
            timeout=5.0,
            new_connection=True,
            send_within=send_within,
        )
        return self.served.serve(
            ingress.Inbound(
                method="POST",
                target=protocol.PATH,
                headers=urllib3.HTTPHeaderDict(),
                body=protocol.encode_request(asked),
                client=client,
                received=self.now(),
            )
        )

    def read_frames(self, reply):
        data = b"".join(reply.body)
        return list(protocol.FrameReader().feed(data))

    def connect(self):
        """Return a sender's connection, as the two ends see it."""
        ends = eventlet.queue.LightQueue()
        host, port = self.listen(ends.put).split(":")
        sender = green_socket.create_connection((host, int(port)))
        return sender, ends.get()

    def test_an_exchange_is_carried_out(self):
        def answer(connection):
            connection.recv(65_536)
            connection.sendall(test_exchanges._CHUNKED)

        address = self.listen(answer)
        self.list_upstreams(address)
        _, client = self.connect()
        head, *parts, end = self.read_frames(self.ask(address, client))
        self.assertEqual(head.status, 200)
        self.assertEqual(b"".join(part.data for part in parts), b"hello")
        self.assertEqual(end, protocol.BodyEnd())
        self.assertEqual(self.served.in_flight, 0)

    def test_a_crash_of_an_upstream_that_is_no_longer_listed_is_found(self):
        """Guards against half of a forwarded answer that passes as whole."""

        def answer(connection):
            connection.recv(65_536)
            connection.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf")
            self.fleet.replace([], self.fleet.revision + 1, self.now())
            connection.close()

        address = self.listen(answer)
        self.list_upstreams(address)
        self.engines.report.return_value = knowledge.ProbeResult.REFUSED
        _, client = self.connect()
        *_, last = self.read_frames(self.ask(address, client))
        self.assertIsInstance(last, protocol.ExchangeFailed)
        self.assertEqual(last.step, exchanges.CRASH)

    def test_an_address_that_is_not_listed_is_refused(self):
        """Guards against a peer that connects wherever it is told to."""
        self.list_upstreams("127.0.0.1:1")
        self.assertEqual(self.ask("127.0.0.1:2").status, 503)
        self.served.is_stopping = True
        self.assertEqual(self.ask("127.0.0.1:1").status, 503)

    def test_a_quarantined_part_is_not_forwarded(self):
        """Guards against a sender that has not heard of the part."""
        self.list_upstreams("127.0.0.1:1")
        self.crashes.quarantine.restore(ids.PartId("c4"), 0, self.now())
        prompt = ((_NAMES.prompt, "5c:40,c4:2,01:3"),)
        reply = self.ask("127.0.0.1:1", headers=prompt)
        (failed,) = self.read_frames(reply)
        self.assertEqual(failed.step, exchanges.QUARANTINE)
        self.assertFalse(failed.may_have_sent)

    def test_nothing_is_forwarded_to_an_upstream_that_leaves(self):
        """Guards against a sender whose list is older than the peer's."""
        self.list_upstreams("127.0.0.1:1")
        leaving = msgspec.structs.replace(
            self.fleet.get(ids.InstanceId("s0")), leaving=True
        )
        revision = self.fleet.revision + 1
        self.fleet.replace([leaving], revision, self.now())
        (failed,) = self.read_frames(self.ask("127.0.0.1:1"))
        self.assertEqual(failed.step, exchanges.LEAVING)
        self.assertFalse(failed.may_have_sent)

    def test_nothing_is_forwarded_to_an_upstream_that_wants_a_pause(self):
        """Guards against requests that reach it by way of a peer."""
        self.list_upstreams("127.0.0.1:1")
        self.balancer.withdrawals.note_pause(
            ids.InstanceId("s0"), 3.0, self.now()
        )
        (failed,) = self.read_frames(self.ask("127.0.0.1:1"))
        self.assertEqual(failed.step, exchanges.PAUSED)
        self.assertAlmostEqual(failed.pause, 3.0, delta=0.5)
        self.assertFalse(failed.may_have_sent)

    def test_a_peer_that_has_lost_its_path_blames_no_upstream(self):
        self.list_upstreams("127.0.0.1:1")
        _, client = self.connect()
        (failed,) = self.read_frames(self.ask("127.0.0.1:1", client))
        self.assertEqual(failed.step, exchanges.PEER)
        self.assertFalse(failed.may_have_sent)
        self.assertEqual(self.ask("127.0.0.1:1").status, 503)

    def test_work_ends_when_the_sender_disconnects(self):
        """Guards against upstreams that work for callers that are gone."""
        closed = eventlet.queue.LightQueue()

        def answer(connection):
            connection.recv(65_536)
            closed.put(connection.recv(1))

        address = self.listen(answer)
        self.list_upstreams(address)
        sender, client = self.connect()
        reply = self.ask(address, client)
        task = eventlet.spawn(list, reply.body)
        eventlet.sleep(0.1)
        sender.close()
        self.assertEqual(closed.get(), b"")
        self.assertEqual(task.wait(), [])

    def test_a_request_that_came_too_late_is_not_sent(self):
        """Guards against a request to a data centre that is evacuated."""
        address = self.listen(lambda connection: connection.recv(1))
        self.list_upstreams(address)
        _, client = self.connect()
        (failed,) = self.read_frames(self.ask(address, client, -0.1))
        self.assertFalse(failed.may_have_sent)
        self.assertIn("outdated", failed.detail)


if __name__ == "__main__":
    unittest.main()

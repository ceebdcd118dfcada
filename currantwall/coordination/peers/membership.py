"""Membership and failure detection of the entry nodes.

The platform's list names the nodes but lags. Inside a data centre each
node pings another node every interval, in rounds that cover all of them.
If a ping is not answered, other nodes are asked to ping the target before
it is suspected. A suspect that is alive refutes the suspicion by raising
its serial. Changes of members spread as gossip in the pings. Each node
also exchanges digests of its members with another node of its data centre,
and the relays with the relays of other data centres (anti-entropy); where
digests differ, members are sent. These digests are hashes, unlike those of
the module `digests`.

The protocol is SWIM (Das, Gupta, Motivala, 2002) with two additions: a
node that was itself paused, or that hears from no other node, declares
nobody dead.
"""

import math

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import members
from currantwall.state import objects
from currantwall.state import rendezvous
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = ["Membership"]

# A tick that is late by this many probe timeouts means that this process
# was paused; answers it missed meanwhile prove nothing about other nodes.
_PAUSE_PROBE_TIMEOUTS = 3
# A change is sent this many times the binary logarithm of the number of
# members.
_GOSSIP_REPEAT_FACTOR = 3
# Dead members that are still listed are pinged once in this many rounds.
_DEAD_PROBE_ROUNDS = 5
# Minimum time between two tables that a node sends, to any peer.
_TABLE_INTERVAL_SECONDS = 1.0
# Lifetime of a relay's report that a data centre is unreachable, and the
# number of unanswered exchanges after which the report is repeated.
_REACH_EXPIRY_SECONDS = 10.0
_REACH_REPEAT_EXCHANGES = 3
# Exchanges in a row without an answer after which a data centre counts as
# unreachable.
_UNREACHABLE_EXCHANGES = 5


class _Probe(msgspec.Struct):
    """A ping whose answer is awaited.

    Attributes:
        sent: Monotonic time in seconds.
        indirect: Whether other nodes have been asked to ping the target.
    """

    target: ids.NodeId
    sent: float
    indirect: bool = False


class Membership(part.Part):
    """Maintains the view of the members."""

    def __init__(
        self,
        view: views.MembersView,
        known: views.ObjectsView,
        settings: settings_module.PeersSection,
    ) -> None:
        self._view = view
        self._known = known
        self._settings = settings
        self._serial = 0
        # Members that are still to be pinged in this round.
        self._round: list[ids.NodeId] = []
        self._rounds = 0
        # Probes in flight, by the serial of the ping.
        self._probes: dict[int, _Probe] = {}
        # Pings sent for other nodes: who asked, and the serial there.
        self._requested_pings: dict[int, tuple[ids.NodeId, int]] = {}
        # When each suspect is declared dead unless it refutes.
        self._suspected: dict[ids.NodeId, float] = {}
        # Suspects that this node has probed itself without an answer.
        self._suspected_by_probe: set[ids.NodeId] = set()
        self._dead_since: dict[ids.NodeId, float] = {}
        self._last_heard: dict[ids.NodeId, float] = {}
        # How often each changed member is still to be sent.
        self._gossip_repeats: dict[ids.NodeId, int] = {}
        # Exchanges in a row that a data centre has not answered.
        self._unanswered: dict[ids.DatacentreName, int] = {}
        # When a relay last reported a data centre unreachable.
        self._unreachable_reported_at: dict[ids.DatacentreName, float] = {}
        self._next_table = 0.0
        self._exchanges = 0
        # Cache of `list_relays` for one revision of the view.
        self._relays: dict[ids.DatacentreName, list[ids.NodeId]] = {}
        self._relays_revision = -1
        self._next_probe = 0.0
        self._next_exchange = 0.0
        self._last_tick: float | None = None

    def due(self) -> float:
        """Return the monotonic time of the next tick that is wanted."""
        times = [self._next_probe, self._next_exchange]
        timeout = self._settings.probe_timeout
        for probe in self._probes.values():
            factor = 3 if probe.indirect else 1
            times.append(probe.sent + factor * timeout)
        times.extend(self._suspected.values())
        return min(times)

    def leave(self) -> list[part.Action]:
        """Announce that this node is stopping."""
        return self._announce_state(members.MemberState.LEAVING)

    # -- Time

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        result: list[part.Action] = []
        if self._was_paused(now):
            self._reset_after_pause(now)
        result += self._check_probes(now)
        result += self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + self._settings.probe_interval
            result += self._probe_next(now)
            result += self._expire_reach(now)
            self._forget_dead(now)
        if now >= self._next_exchange:
            self._next_exchange = now + self._settings.exchange_interval
            result += self._start_exchanges()
        return result

    def _was_paused(self, now: float) -> bool:
        last, self._last_tick = self._last_tick, now
        if last is None:
            return False
        usual = max(self._settings.probe_interval, 0.1)
        slack = self._settings.probe_timeout * _PAUSE_PROBE_TIMEOUTS
        return now - last > usual + slack

    def _reset_after_pause(self, now: float) -> None:
        """Drop the probes in flight and restart all suspicions.

        Failure: a process resumes after a pause, finds every answer
        overdue and declares live members dead. Answers that arrived during
        the pause are still in its queue, so the probes prove nothing.
        """
        self._probes.clear()
        deadline = now + self._settings.suspicion
        self._suspected = dict.fromkeys(self._suspected, deadline)

    # -- Probing inside the data centre

    def _probe_next(self, now: float) -> list[part.Action]:
        target = self._choose_target()
        if target is None:
            return []
        return self._probe_now(target, now)

    @part.handles(messages.ProbeRequested)
    def _on_probe_requested(
        self, message: messages.ProbeRequested, now: float
    ) -> list[part.Action]:
        """Have a node probed at once, from within its data centre."""
        member = self._view.get(message.node)
        if member is None or not member.is_present:
            return []
        if member.datacentre == self._view.me.datacentre:
            return self._probe_now(message.node, now)
        relays = self.list_relays(member.datacentre)
        helpers = [node for node in relays if node != message.node]
        doubt = wire.Doubt(message.node)
        return [actions.Send(node, doubt) for node in helpers[:1]]

    @part.handles(wire.Doubt)
    def _on_remote_doubt(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        """Probe a node of this data centre for a node of another one."""
        member = self._view.get(message.body.target)
        if member is None or member.datacentre != self._view.me.datacentre:
            return []
        return self._probe_now(member.id, now)

    def _probe_now(self, target: ids.NodeId, now: float) -> list[part.Action]:
        if any(probe.target == target for probe in self._probes.values()):
            return []
        self._serial += 1
        self._probes[self._serial] = _Probe(target, now)
        return [actions.Send(target, self._make_ping(self._serial))]

    def _choose_target(self) -> ids.NodeId | None:
        if not self._round:
            self._rounds += 1
            self._round = self._start_round()
        while self._round:
            target = self._round.pop()
            member = self._view.get(target)
            if member is not None and member.id != self._view.me.id:
                return target
        return None

    def _start_round(self) -> list[ids.NodeId]:
        """Return the members to ping in a new round, in reverse order."""
        me = self._view.me
        local = self._view.present(me.datacentre)
        names = [member.id for member in local if member.id != me.id]
        if self._rounds % _DEAD_PROBE_ROUNDS == 0:
            names += self._list_dead_listed()
        return rendezvous.rank(f"round:{me.id}:{self._rounds}", names)

    def _list_dead_listed(self) -> list[ids.NodeId]:
        """Return the dead members that the platform still lists.

        After a partition nobody would contact the members that each side
        declared dead; one ping to each lets it refute that.
        """
        listed = self._known.instances
        return [
            member.id
            for member in self._view.all()
            if not member.is_present and member.id in listed
        ]

    def _make_ping(
        self, serial: int, on_behalf_of: ids.NodeId | None = None
    ) -> wire.Ping:
        return wire.Ping(
            serial, self._take_gossip(), on_behalf_of or ids.NodeId("")
        )

    def _check_probes(self, now: float) -> list[part.Action]:
        """Probe indirectly after one timeout, and suspect after three."""
        result: list[part.Action] = []
        timeout = self._settings.probe_timeout
        for serial, probe in list(self._probes.items()):
            if now >= probe.sent + 3 * timeout:
                del self._probes[serial]
                result += self._suspect(probe.target, now)
            elif now >= probe.sent + timeout and not probe.indirect:
                probe.indirect = True
                result += self._probe_indirectly(serial, probe.target)
        return result

    def _probe_indirectly(
        self, serial: int, target: ids.NodeId
    ) -> list[part.Action]:
        """Ask other nodes to ping, as only one link may have failed."""
        me = self._view.me
        names = [
            member.id
            for member in self._view.usable(me.datacentre)
            if member.id not in (me.id, target)
        ]
        key = f"indirect:{me.id}:{serial}"
        helpers = rendezvous.choose(key, names, self._settings.indirect_probes)
        request = wire.PingRequest(serial, target)
        return [actions.Send(helper, request) for helper in helpers]

    def _suspect(self, target: ids.NodeId, now: float) -> list[part.Action]:
        member = self._view.get(target)
        if member is None or member.state is members.MemberState.DEAD:
            return []
        if member.incarnation == 0 or target in self._suspected:
            return []
        self._suspected[target] = now + self._settings.suspicion
        self._suspected_by_probe.add(target)
        result = self._change(member, members.MemberState.SUSPECT)
        # Ping the suspect with the suspicion, so that it can refute it.
        self._serial += 1
        ping = self._make_ping(self._serial)
        return [*result, actions.Send(target, ping)]

    def _check_suspects(self, now: float) -> list[part.Action]:
        result: list[part.Action] = []
        for target, deadline in list(self._suspected.items()):
            if now < deadline:
                continue
            member = self._view.get(target)
            if member is None or self._is_cleared(member):
                del self._suspected[target]
                self._suspected_by_probe.discard(target)
            elif self._has_contact(target, now):
                del self._suspected[target]
                self._dead_since[target] = now
                result += self._change(member, members.MemberState.DEAD)
                result += self._publish_verdict(target)
            else:
                self._suspected[target] = now + self._settings.suspicion
        return result

    def _publish_verdict(self, target: ids.NodeId) -> list[part.Action]:
        """Publish that a member is dead, if this node's probe found it.

        Other nodes learnt of the suspicion as gossip and reach the same
        verdict by themselves. If all of them published it, it would flood
        the fleet.
        """
        member = self._view.get(target)
        if target not in self._suspected_by_probe or member is None:
            return []
        self._suspected_by_probe.discard(target)
        return [actions.Publish(wire.MemberNews(member), urgent=True)]

    @part.handles(wire.MemberNews)
    def _on_news(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        return self._merge_members((message.payload.member,), now)

    @staticmethod
    def _is_cleared(member: members.Member) -> bool:
        return member.state is not members.MemberState.SUSPECT

    def _has_contact(self, target: ids.NodeId, now: float) -> bool:
        """Return whether another member was heard during the suspicion.

        Failure: a node that is cut off from the network declares all
        others dead, and its verdicts spread when the link recovers. A
        node that hears nobody therefore reaches no verdict.
        """
        since = now - self._settings.suspicion
        return any(
            at >= since
            for node, at in self._last_heard.items()
            if node != target
        )

    def _forget_dead(self, now: float) -> None:
        listed = self._known.instances
        for node, since in list(self._dead_since.items()):
            if now - since < self._settings.forget_after:
                continue
            if node not in listed:
                del self._dead_since[node]
                self._view.drop(node)

    # -- Messages

    @part.handles(wire.Ping)
    def _on_ping(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._last_heard[message.sender] = now
        result = self._merge_members(body.news, now)
        target = body.on_behalf_of or self._view.me.id
        news = self._take_gossip()
        reply = wire.Ack(body.serial, target, news)
        return [*result, actions.Send(message.sender, reply)]

    @part.handles(wire.PingRequest)
    def _on_ping_request(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._last_heard[message.sender] = now
        self._serial += 1
        self._requested_pings[self._serial] = (message.sender, body.serial)
        # Requests whose ping is never answered are dropped, oldest first.
        while len(self._requested_pings) > 64:
            self._requested_pings.pop(next(iter(self._requested_pings)))
        return [actions.Send(body.target, self._make_ping(self._serial))]

    @part.handles(wire.Ack)
    def _on_ack(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._last_heard[message.sender] = now
        result = self._merge_members(body.news, now)
        asked = self._requested_pings.pop(body.serial, None)
        if asked is not None:
            asker, serial = asked
            answer = wire.Ack(serial, message.sender)
            result.append(actions.Send(asker, answer))
        else:
            self._probes.pop(body.serial, None)
        return result

    @part.handles(wire.Exchange)
    def _on_exchange(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._last_heard[message.sender] = now
        result = self._merge_members(body.news, now)
        sender = self._view.get(message.sender)
        if sender is not None:
            result += self._record_contact(sender.datacentre)
        result += self._send_differences(message.sender, body, now)
        if not body.answer:
            answer = self._make_exchange(True)
            result.append(actions.Send(message.sender, answer))
        return result

    def _send_differences(
        self, peer: ids.NodeId, body: wire.Exchange, now: float
    ) -> list[part.Action]:
        """Send the members of buckets that differ, at a limited rate.

        Views differ for a moment while a change spreads. Answering every
        difference with a table turned each loss of a node into a flood.
        """
        mine = self._view.digests()
        different = {
            bucket
            for bucket, digest in enumerate(body.members)
            if digest != mine[bucket]
        }
        if not different or now < self._next_table:
            return []
        self._next_table = now + _TABLE_INTERVAL_SECONDS
        table = wire.Table(tuple(self._view.select(different)))
        return [actions.Send(peer, table)]

    @part.handles(wire.Table)
    def _on_table(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        self._last_heard[message.sender] = now
        return self._merge_members(message.body.members, now)

    @part.handles(messages.ObjectChanged)
    def _on_object(
        self, message: messages.ObjectChanged, now: float
    ) -> list[part.Action]:
        """Add and remove nodes as the platform's list changes."""
        listed = message.value
        if listed is None:
            self._drop_unseen(message.stored.key)
        if not isinstance(listed, instances.Instance):
            return []
        if listed.kind is not instances.InstanceKind.ENTRY:
            return []
        node = ids.NodeId(listed.id)
        if self._view.get(node) is not None:
            return []
        member = members.Member(
            id=node,
            datacentre=listed.datacentre,
            address=listed.address,
            peer_address=listed.peer_address,
        )
        return self._merge_members((member,), now)

    def _drop_unseen(self, key: objects.ObjectKey) -> None:
        """Drop a node that is no longer listed and was never heard."""
        member = self._view.get(ids.NodeId(key.name))
        if key.kind != objects.Kind.INSTANCES.value or member is None:
            return
        if member.incarnation == 0:
            self._view.drop(member.id)

    # -- Exchanges, inside and between data centres

    def _start_exchanges(self) -> list[part.Action]:
        me = self._view.me
        result: list[part.Action] = []
        # The order differs for each node, or all would ask the same one.
        key = f"sync:{me.id}:{self._exchanges}"
        self._exchanges += 1
        local = self._view.rank(key, me.datacentre)
        others = [node for node in local if node != me.id]
        if others:
            body = self._make_exchange(False)
            result.append(actions.Send(others[0], body))
        if not self.is_relay():
            return result
        for datacentre in self._view.datacentres():
            if datacentre != me.datacentre:
                result += self._exchange_with(datacentre)
        return result

    def is_relay(self) -> bool:
        """Return whether this node exchanges with other data centres."""
        me = self._view.me
        return me.id in self.list_relays(me.datacentre)

    def list_relays(self, datacentre: ids.DatacentreName) -> list[ids.NodeId]:
        """Return the relays of a data centre, the preferred ones first."""
        if self._relays_revision != self._view.revision:
            self._relays_revision = self._view.revision
            self._relays.clear()
        result = self._relays.get(datacentre)
        if result is None:
            result = self._choose_relays(datacentre)
            self._relays[datacentre] = result
        return result

    def _choose_relays(
        self, datacentre: ids.DatacentreName
    ) -> list[ids.NodeId]:
        present = self._view.present(datacentre)
        candidates = [m for m in present if m.is_usable] or present
        names = [member.id for member in candidates]
        count = self._settings.relays
        return rendezvous.choose(f"relay:{datacentre}", names, count)

    def _exchange_with(
        self, datacentre: ids.DatacentreName
    ) -> list[part.Action]:
        relays = self.list_relays(datacentre)
        if not relays:
            return []
        unanswered = self._unanswered.get(datacentre, 0) + 1
        self._unanswered[datacentre] = unanswered
        result: list[part.Action] = []
        if unanswered > _UNREACHABLE_EXCHANGES:
            result += self._mark_reachable(datacentre, False)
            if unanswered % _REACH_REPEAT_EXCHANGES == 0:
                result += self._publish_reach(datacentre, False)
            # The known relays may be gone: try its other members too.
            present = self._view.present(datacentre)
            relays = sorted(member.id for member in present)
        target = relays[unanswered % len(relays)]
        body = self._make_exchange(False)
        result.append(actions.Send(target, body))
        return result

    def _record_contact(
        self, datacentre: ids.DatacentreName
    ) -> list[part.Action]:
        unanswered = self._unanswered.get(datacentre, 0)
        self._unanswered[datacentre] = 0
        result = self._mark_reachable(datacentre, True)
        if unanswered > _UNREACHABLE_EXCHANGES and self.is_relay():
            result += self._publish_reach(datacentre, True)
        return result

    def _mark_reachable(
        self, datacentre: ids.DatacentreName, reachable: bool
    ) -> list[part.Action]:
        before = self._view.unreachable
        if (datacentre not in before) == reachable:
            return []
        changed = frozenset((datacentre,))
        self._view.mark_unreachable(
            before - changed if reachable else before | changed
        )
        state = "reachable" if reachable else "unreachable"
        return [
            actions.Record(
                timeline.EventKind.MEMBER_CHANGED, datacentre, state
            ),
            actions.Tell(messages.MemberChanged(self._view.me.id)),
        ]

    def _publish_reach(
        self, datacentre: ids.DatacentreName, reachable: bool
    ) -> list[part.Action]:
        """Publish in this data centre whether another one is reachable."""
        reach = wire.Reach(datacentre, reachable)
        return [actions.Publish(reach, urgent=True, local=True)]

    @part.handles(wire.Reach)
    def _on_reach(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        if self.is_relay():
            # A relay relies on its own exchanges: only the link of the
            # other relay may have failed.
            return []
        reach = message.payload
        if reach.reachable:
            self._unreachable_reported_at.pop(reach.datacentre, None)
        else:
            self._unreachable_reported_at[reach.datacentre] = now
        return self._mark_reachable(reach.datacentre, reach.reachable)

    def _expire_reach(self, now: float) -> list[part.Action]:
        """Mark data centres reachable whose last report has expired."""
        result: list[part.Action] = []
        for datacentre, reported_at in list(
            self._unreachable_reported_at.items()
        ):
            if now - reported_at > _REACH_EXPIRY_SECONDS:
                del self._unreachable_reported_at[datacentre]
                result += self._mark_reachable(datacentre, True)
        return result

    def _make_exchange(self, answer: bool) -> wire.Exchange:
        return wire.Exchange(
            self._view.digests(),
            self._known.digests(),
            self._take_gossip(),
            answer,
        )

    # -- Changes of members

    def _merge_members(
        self, changed: tuple[members.Member, ...], now: float
    ) -> list[part.Action]:
        """Apply the members that supersede those in the view."""
        result: list[part.Action] = []
        for member in changed:
            if member.id == self._view.me.id:
                result += self._refute(member)
                continue
            previous = self._view.get(member.id)
            if previous is None or member.supersedes(previous):
                result += self._store(member, previous, now)
        return result

    def _refute(self, verdict: members.Member) -> list[part.Action]:
        """Raise this node's serial above that of a wrong verdict on it."""
        me = self._view.me
        if verdict.incarnation != me.incarnation:
            return []
        if verdict.serial < me.serial or verdict.state is me.state:
            return []
        if verdict.state is members.MemberState.LIVE:
            return []
        raised = msgspec.structs.replace(me, serial=verdict.serial + 1)
        self._view.put(raised)
        self._queue_gossip(raised)
        return [actions.Count(actions.Counter.MEMBER_VERDICTS, "refuted")]

    def _announce_state(self, state: members.MemberState) -> list[part.Action]:
        """Announce another state of this node at once."""
        me = self._view.me
        raised = msgspec.structs.replace(me, serial=me.serial + 1, state=state)
        self._view.put(raised)
        self._queue_gossip(raised)
        result: list[part.Action] = [
            actions.Tell(messages.MemberChanged(me.id))
        ]
        # Do not wait for the next pings: callers must not be sent here.
        for member in self._view.present(me.datacentre)[:8]:
            if member.id != me.id:
                self._serial += 1
                ping = self._make_ping(self._serial)
                result.append(actions.Send(member.id, ping))
        return result

    def _store(
        self,
        member: members.Member,
        previous: members.Member | None,
        now: float,
    ) -> list[part.Action]:
        self._view.put(member)
        self._queue_gossip(member)
        if member.state is members.MemberState.SUSPECT:
            deadline = now + self._settings.suspicion
            self._suspected.setdefault(member.id, deadline)
        elif member.state is members.MemberState.DEAD:
            self._suspected.pop(member.id, None)
            self._dead_since.setdefault(member.id, now)
        else:
            self._suspected.pop(member.id, None)
            self._dead_since.pop(member.id, None)
        return self._report(member, previous)

    def _change(
        self, member: members.Member, state: members.MemberState
    ) -> list[part.Action]:
        changed = msgspec.structs.replace(member, state=state)
        self._view.put(changed)
        self._queue_gossip(changed)
        return self._report(changed, member)

    @staticmethod
    def _report(
        member: members.Member, previous: members.Member | None
    ) -> list[part.Action]:
        same = (
            previous is not None
            and previous.state is member.state
            and previous.incarnation == member.incarnation
        )
        if same:
            return []
        label = member.state.value
        return [
            actions.Count(actions.Counter.MEMBER_VERDICTS, label),
            actions.Record(
                timeline.EventKind.MEMBER_CHANGED, member.id, label
            ),
            actions.Tell(messages.MemberChanged(member.id)),
        ]

    def _queue_gossip(self, member: members.Member) -> None:
        """Have a changed member sent in the next messages."""
        size = len(self._view.all())
        repeats = _GOSSIP_REPEAT_FACTOR * math.ceil(math.log2(size + 1))
        self._gossip_repeats[member.id] = repeats

    def _take_gossip(self) -> tuple[members.Member, ...]:
        """Return this node and the changes with the most repeats left.

        There are at most `news_limit` members in all.
        """
        me = self._view.me
        self._gossip_repeats.pop(me.id, None)
        ranked = sorted(
            self._gossip_repeats, key=lambda node: -self._gossip_repeats[node]
        )
        chosen = ranked[: self._settings.news_limit - 1]
        result = [me]
        for node in chosen:
            self._gossip_repeats[node] -= 1
            if self._gossip_repeats[node] <= 0:
                del self._gossip_repeats[node]
            member = self._view.get(node)
            if member is not None:
                result.append(member)
        return tuple(result)

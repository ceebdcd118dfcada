"""Which entry nodes there are, and which of them live.

The platform's list names the nodes but lags. Inside a data centre each
node pings another one every interval, in rounds that reach everybody; a
ping without an answer is repeated through other nodes before anyone is
suspected, and a suspect that lives refutes by raising its serial. News
of members rides in the pings. Between data centres the relays exchange
digests; a difference is repaired by sending the table.

The scheme is SWIM (Das, Gupta, Motivala, 2002) with two guards of ours:
a node that was itself paused, or that hears from nobody, condemns no
one.
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

# A tick this many probe timeouts late means that this process stood
# still: what it missed meanwhile proves nothing about others.
_PAUSE_TIMEOUTS = 3
# News is repeated this many times the logarithm of the cluster's size.
_NEWS_REPEATS = 3
# Every so many rounds a node that is listed but dead is pinged again.
_DEAD_ROUNDS = 5
# Between two tables of one node.
_TABLE_SECONDS = 1.0
# A relay's word that a data centre is lost counts for so long; it is
# repeated while that lasts.
_REACH_SECONDS = 10.0
_REACH_REPEAT = 3
# Exchanges without an answer after which a data centre is unreachable.
_LOST_EXCHANGES = 5


class _Probe(msgspec.Struct):
    """A ping whose answer is awaited."""

    target: ids.NodeId
    sent: float
    indirect: bool = False


class Membership(part.Part):
    """Keeps the members view."""

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
        self._round: list[ids.NodeId] = []
        self._rounds = 0
        self._probes: dict[int, _Probe] = {}
        self._relayed: dict[int, tuple[ids.NodeId, int]] = {}
        self._suspected: dict[ids.NodeId, float] = {}
        self._own_suspects: set[ids.NodeId] = set()
        self._dead_since: dict[ids.NodeId, float] = {}
        self._heard: dict[ids.NodeId, float] = {}
        self._news: dict[ids.NodeId, int] = {}
        self._unanswered: dict[ids.DatacentreName, int] = {}
        self._lost_places: dict[ids.DatacentreName, float] = {}
        self._next_table = 0.0
        self._exchanges = 0
        self._relays: dict[ids.DatacentreName, list[ids.NodeId]] = {}
        self._relays_revision = -1
        self._next_probe = 0.0
        self._next_exchange = 0.0
        self._last_tick: float | None = None

    def due(self) -> float:
        """Return when the next tick is wanted."""
        times = [self._next_probe, self._next_exchange]
        timeout = self._settings.probe_timeout
        for probe in self._probes.values():
            factor = 3 if probe.indirect else 1
            times.append(probe.sent + factor * timeout)
        times.extend(self._suspected.values())
        return min(times)

    def leave(self) -> list[part.Action]:
        """Announce that this node is stopping."""
        return self._restate(members.MemberState.LEAVING)

    # -- Time

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        if self._was_paused(now):
            self._forgive(now)
        found += self._check_probes(now)
        found += self._check_suspects(now)
        if now >= self._next_probe:
            self._next_probe = now + self._settings.probe_interval
            found += self._probe_next(now)
            found += self._expire_reach(now)
            self._forget_dead(now)
        if now >= self._next_exchange:
            self._next_exchange = now + self._settings.exchange_interval
            found += self._exchange()
        return found

    def _was_paused(self, now: float) -> bool:
        last, self._last_tick = self._last_tick, now
        if last is None:
            return False
        usual = max(self._settings.probe_interval, 0.1)
        slack = self._settings.probe_timeout * _PAUSE_TIMEOUTS
        return now - last > usual + slack

    def _forgive(self, now: float) -> None:
        """Drop what was awaited while this process stood still.

        Failure: a paused prober wakes, finds every answer overdue and
        condemns live members. Answers that came meanwhile still lie in
        its queue, so its own silence proves nothing.
        """
        self._probes.clear()
        again = now + self._settings.suspicion
        self._suspected = dict.fromkeys(self._suspected, again)

    # -- Probing inside the data centre

    def _probe_next(self, now: float) -> list[part.Action]:
        target = self._choose_target()
        if target is None:
            return []
        return self._probe_now(target, now)

    @part.handles(messages.Doubted)
    def _on_doubt(
        self, message: messages.Doubted, now: float
    ) -> list[part.Action]:
        """Have a node probed out of turn, by its own data centre."""
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
        """Return the order in which this round pings the members."""
        me = self._view.me
        local = self._view.present(me.datacentre)
        names = [member.id for member in local if member.id != me.id]
        if self._rounds % _DEAD_ROUNDS == 0:
            names += self._list_returning()
        return rendezvous.rank(f"round:{me.id}:{self._rounds}", names)

    def _list_returning(self) -> list[ids.NodeId]:
        """Return dead members that the platform still lists.

        After a partition nobody would ever speak to the members that
        each side declared dead; one ping each lets them refute it.
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
            serial, self._take_news(), on_behalf_of or ids.NodeId("")
        )

    def _check_probes(self, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        timeout = self._settings.probe_timeout
        for serial, probe in list(self._probes.items()):
            if now >= probe.sent + 3 * timeout:
                del self._probes[serial]
                found += self._suspect(probe.target, now)
            elif now >= probe.sent + timeout and not probe.indirect:
                probe.indirect = True
                found += self._probe_indirectly(serial, probe.target)
        return found

    def _probe_indirectly(
        self, serial: int, target: ids.NodeId
    ) -> list[part.Action]:
        """Ask others to ping, so that one bad link condemns nobody."""
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
        self._own_suspects.add(target)
        found = self._change(member, members.MemberState.SUSPECT)
        # The suspect itself must hear of it at once, to refute it.
        self._serial += 1
        ping = self._make_ping(self._serial)
        return [*found, actions.Send(target, ping)]

    def _check_suspects(self, now: float) -> list[part.Action]:
        found: list[part.Action] = []
        for target, deadline in list(self._suspected.items()):
            if now < deadline:
                continue
            member = self._view.get(target)
            if member is None or self._is_cleared(member):
                del self._suspected[target]
                self._own_suspects.discard(target)
            elif self._hears_others(target, now):
                del self._suspected[target]
                self._dead_since[target] = now
                found += self._change(member, members.MemberState.DEAD)
                found += self._tell_verdict(target)
            else:
                self._suspected[target] = now + self._settings.suspicion
        return found

    def _tell_verdict(self, target: ids.NodeId) -> list[part.Action]:
        """Tell everybody at once, if this node was the first to suspect.

        The others that held it suspect come to the same verdict by
        themselves; all of them telling everybody would be a flood.
        """
        member = self._view.get(target)
        if target not in self._own_suspects or member is None:
            return []
        self._own_suspects.discard(target)
        return [actions.Publish(wire.MemberNews(member), urgent=True)]

    @part.handles(wire.MemberNews)
    def _on_news(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        return self._learn((message.payload.member,), now)

    @staticmethod
    def _is_cleared(member: members.Member) -> bool:
        return member.state is not members.MemberState.SUSPECT

    def _hears_others(self, target: ids.NodeId, now: float) -> bool:
        """Return whether anybody else was heard during the suspicion.

        Failure: a node cut off from everybody condemns all others, and
        its verdicts spread when the link heals. Whoever hears nobody
        keeps its suspicion to itself.
        """
        since = now - self._settings.suspicion
        return any(
            at >= since for node, at in self._heard.items() if node != target
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
        self._heard[message.sender] = now
        found = self._learn(body.news, now)
        target = body.on_behalf_of or self._view.me.id
        news = self._take_news()
        reply = wire.Ack(body.serial, target, news)
        return [*found, actions.Send(message.sender, reply)]

    @part.handles(wire.PingRequest)
    def _on_ping_request(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._heard[message.sender] = now
        self._serial += 1
        self._relayed[self._serial] = (message.sender, body.serial)
        while len(self._relayed) > 64:
            self._relayed.pop(next(iter(self._relayed)))
        return [actions.Send(body.target, self._make_ping(self._serial))]

    @part.handles(wire.Ack)
    def _on_ack(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._heard[message.sender] = now
        found = self._learn(body.news, now)
        asked = self._relayed.pop(body.serial, None)
        if asked is not None:
            asker, serial = asked
            answer = wire.Ack(serial, message.sender)
            found.append(actions.Send(asker, answer))
        else:
            self._probes.pop(body.serial, None)
        return found

    @part.handles(wire.Exchange)
    def _on_exchange(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        body = message.body
        self._heard[message.sender] = now
        found = self._learn(body.news, now)
        sender = self._view.get(message.sender)
        if sender is not None:
            found += self._note_reached(sender.datacentre)
        found += self._repair(message.sender, body, now)
        if not body.answer:
            answer = self._make_exchange(True)
            found.append(actions.Send(message.sender, answer))
        return found

    def _repair(
        self, peer: ids.NodeId, body: wire.Exchange, now: float
    ) -> list[part.Action]:
        """Send what differs, a bounded part at a time.

        While news spreads, views differ for a moment; answering every
        difference with whole tables made a flood of every loss.
        """
        mine = self._view.digests()
        different = {
            bucket
            for bucket, digest in enumerate(body.members)
            if digest != mine[bucket]
        }
        if not different or now < self._next_table:
            return []
        self._next_table = now + _TABLE_SECONDS
        table = wire.Table(tuple(self._view.select(different)))
        return [actions.Send(peer, table)]

    @part.handles(wire.Table)
    def _on_table(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        self._heard[message.sender] = now
        return self._learn(message.body.members, now)

    @part.handles(messages.ObjectChanged)
    def _on_object(
        self, message: messages.ObjectChanged, now: float
    ) -> list[part.Action]:
        """Learn of nodes from the platform's list."""
        listed = message.value
        if listed is None:
            self._drop_unlisted(message.stored.key)
        if not isinstance(listed, instances.Instance):
            return []
        if listed.kind is not instances.InstanceKind.ENTRY:
            return []
        node = ids.NodeId(listed.id)
        if self._view.get(node) is not None:
            return []
        seeded = members.Member(
            id=node,
            datacentre=listed.datacentre,
            address=listed.address,
            peer_address=listed.peer_address,
        )
        return self._learn((seeded,), now)

    def _drop_unlisted(self, key: objects.ObjectKey) -> None:
        """Forget a node that is off the list and was never heard of."""
        member = self._view.get(ids.NodeId(key.name))
        if key.kind != objects.Kind.INSTANCES.value or member is None:
            return
        if member.incarnation == 0:
            self._view.drop(member.id)

    # -- Between data centres

    def _exchange(self) -> list[part.Action]:
        me = self._view.me
        found: list[part.Action] = []
        # Each node its own order, else all would ask the same one.
        key = f"sync:{me.id}:{self._exchanges}"
        self._exchanges += 1
        local = self._view.rank(key, me.datacentre)
        others = [node for node in local if node != me.id]
        if others:
            body = self._make_exchange(False)
            found.append(actions.Send(others[0], body))
        if not self.is_relay():
            return found
        for datacentre in self._view.datacentres():
            if datacentre != me.datacentre:
                found += self._exchange_with(datacentre)
        return found

    def is_relay(self) -> bool:
        """Return whether this node carries news between data centres."""
        me = self._view.me
        return me.id in self.list_relays(me.datacentre)

    def list_relays(self, datacentre: ids.DatacentreName) -> list[ids.NodeId]:
        """Return the relays of a data centre, by preference."""
        if self._relays_revision != self._view.revision:
            self._relays_revision = self._view.revision
            self._relays.clear()
        found = self._relays.get(datacentre)
        if found is None:
            found = self._choose_relays(datacentre)
            self._relays[datacentre] = found
        return found

    def _choose_relays(
        self, datacentre: ids.DatacentreName
    ) -> list[ids.NodeId]:
        present = self._view.present(datacentre)
        able = [m for m in present if m.is_usable] or present
        names = [member.id for member in able]
        count = self._settings.relays
        return rendezvous.choose(f"relay:{datacentre}", names, count)

    def _exchange_with(
        self, datacentre: ids.DatacentreName
    ) -> list[part.Action]:
        relays = self.list_relays(datacentre)
        if not relays:
            return []
        lost = self._unanswered.get(datacentre, 0) + 1
        self._unanswered[datacentre] = lost
        found: list[part.Action] = []
        if lost > _LOST_EXCHANGES:
            found += self._mark_reachable(datacentre, False)
            if lost % _REACH_REPEAT == 0:
                found += self._tell_reach(datacentre, False)
            # Its relays as we know them may be gone: try the others too.
            present = self._view.present(datacentre)
            relays = sorted(member.id for member in present)
        target = relays[lost % len(relays)]
        body = self._make_exchange(False)
        found.append(actions.Send(target, body))
        return found

    def _note_reached(
        self, datacentre: ids.DatacentreName
    ) -> list[part.Action]:
        lost = self._unanswered.get(datacentre, 0)
        self._unanswered[datacentre] = 0
        found = self._mark_reachable(datacentre, True)
        if lost > _LOST_EXCHANGES and self.is_relay():
            found += self._tell_reach(datacentre, True)
        return found

    def _mark_reachable(
        self, datacentre: ids.DatacentreName, reachable: bool
    ) -> list[part.Action]:
        lost = self._view.unreachable
        if (datacentre not in lost) == reachable:
            return []
        one = frozenset((datacentre,))
        self._view.mark_unreachable(lost - one if reachable else lost | one)
        state = "reachable" if reachable else "unreachable"
        return [
            actions.Record(
                timeline.EventKind.MEMBER_CHANGED, datacentre, state
            ),
            actions.Tell(messages.MemberChanged(self._view.me.id)),
        ]

    def _tell_reach(
        self, datacentre: ids.DatacentreName, reachable: bool
    ) -> list[part.Action]:
        """Tell this data centre whether another one can be reached."""
        word = wire.Reach(datacentre, reachable)
        return [actions.Publish(word, urgent=True, local=True)]

    @part.handles(wire.Reach)
    def _on_reach(
        self, message: messages.Delivered, now: float
    ) -> list[part.Action]:
        if self.is_relay():
            # A relay judges by itself: one bad link is not its view.
            return []
        word = message.payload
        if word.reachable:
            self._lost_places.pop(word.datacentre, None)
        else:
            self._lost_places[word.datacentre] = now
        return self._mark_reachable(word.datacentre, word.reachable)

    def _expire_reach(self, now: float) -> list[part.Action]:
        """Trust a data centre again when no relay says it is lost."""
        found: list[part.Action] = []
        for place, since in list(self._lost_places.items()):
            if now - since > _REACH_SECONDS:
                del self._lost_places[place]
                found += self._mark_reachable(place, True)
        return found

    def _make_exchange(self, answer: bool) -> wire.Exchange:
        return wire.Exchange(
            self._view.digests(),
            self._known.digests(),
            self._take_news(),
            answer,
        )

    # -- News

    def _learn(
        self, news: tuple[members.Member, ...], now: float
    ) -> list[part.Action]:
        found: list[part.Action] = []
        for member in news:
            if member.id == self._view.me.id:
                found += self._refute(member)
                continue
            held = self._view.get(member.id)
            if held is None or member.supersedes(held):
                found += self._store(member, held, now)
        return found

    def _refute(self, verdict: members.Member) -> list[part.Action]:
        me = self._view.me
        if verdict.incarnation != me.incarnation:
            return []
        if verdict.serial < me.serial or verdict.state is me.state:
            return []
        if verdict.state is members.MemberState.LIVE:
            return []
        raised = msgspec.structs.replace(me, serial=verdict.serial + 1)
        self._view.put(raised)
        self._tell_news(raised)
        return [actions.Count(actions.Counter.MEMBER_VERDICTS, "refuted")]

    def _restate(self, state: members.MemberState) -> list[part.Action]:
        me = self._view.me
        raised = msgspec.structs.replace(me, serial=me.serial + 1, state=state)
        self._view.put(raised)
        self._tell_news(raised)
        found: list[part.Action] = [
            actions.Tell(messages.MemberChanged(me.id))
        ]
        # The word must be out at once: callers must not be sent here.
        for member in self._view.present(me.datacentre)[:8]:
            if member.id != me.id:
                self._serial += 1
                ping = self._make_ping(self._serial)
                found.append(actions.Send(member.id, ping))
        return found

    def _store(
        self,
        member: members.Member,
        held: members.Member | None,
        now: float,
    ) -> list[part.Action]:
        self._view.put(member)
        self._tell_news(member)
        if member.state is members.MemberState.SUSPECT:
            deadline = now + self._settings.suspicion
            self._suspected.setdefault(member.id, deadline)
        elif member.state is members.MemberState.DEAD:
            self._suspected.pop(member.id, None)
            self._dead_since.setdefault(member.id, now)
        else:
            self._suspected.pop(member.id, None)
            self._dead_since.pop(member.id, None)
        return self._report(member, held)

    def _change(
        self, member: members.Member, state: members.MemberState
    ) -> list[part.Action]:
        changed = msgspec.structs.replace(member, state=state)
        self._view.put(changed)
        self._tell_news(changed)
        return self._report(changed, member)

    @staticmethod
    def _report(
        member: members.Member, held: members.Member | None
    ) -> list[part.Action]:
        same = (
            held is not None
            and held.state is member.state
            and held.incarnation == member.incarnation
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

    def _tell_news(self, member: members.Member) -> None:
        size = len(self._view.all())
        repeats = _NEWS_REPEATS * math.ceil(math.log2(size + 1))
        self._news[member.id] = repeats

    def _take_news(self) -> tuple[members.Member, ...]:
        """Return this node itself and the freshest news, bounded."""
        me = self._view.me
        self._news.pop(me.id, None)
        ranked = sorted(self._news, key=lambda node: -self._news[node])
        chosen = ranked[: self._settings.news_limit - 1]
        found = [me]
        for node in chosen:
            self._news[node] -= 1
            if self._news[node] <= 0:
                del self._news[node]
            member = self._view.get(node)
            if member is not None:
                found.append(member)
        return tuple(found)

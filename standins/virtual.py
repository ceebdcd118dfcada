"""Fakes of all that a node talks to, driven by one virtual clock.

Nodes are the real ones. The platform, engines and links are fakes with
injected faults: lost answers, latency, cut links, paused and killed
processes. All random numbers come from one seed, so a run with the same
seed is the same run.
"""

from collections import abc
import heapq
import itertools
import random
import typing

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import node as node_module
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import settings as settings_module
from standins import enginemodel
from standins import store as store_module

__all__ = ["Engine", "Host", "Platform", "World", "encode_size"]

Status = messages.PlatformStatus
# Seconds of virtual time.
_MIN_TICK_DELAY = 1e-4
_MIN_BEAT_DELAY = 0.05
_KINDS = {kind.value for kind in objects.WATCHED}


class Platform:
    """A fake of the platform's object API, with outages and lost answers.

    Attributes:
        down: Whether calls fail as if it could not be reached.
        lose: Share of writes that take effect but whose answer is lost.
        late: Share of writes whose answer is lost and that take effect
            only after `late_by` seconds.
        late_by: Delay of late writes, in seconds.
        delay: Seconds to a call's arrival, and again to its answer.
        timeout: Seconds until a caller learns that an answer is lost.
        calls: Number of calls, by the class name of the action.
    """

    def __init__(self, world: "World") -> None:
        self._world = world
        self.store = store_module.Store()
        self.down = False
        self.lose = 0.0
        self.late = 0.0
        self.late_by = 5.0
        self.delay = 0.002
        self.timeout = 2.0
        self.calls: dict[str, int] = {}
        self._watches: list[tuple[Host, actions.WatchObjects, float]] = []

    def call(self, host: "Host", action: part.Action) -> None:
        """Serve a call of a node."""
        kind = type(action).__name__
        self.calls[kind] = self.calls.get(kind, 0) + 1
        if self.down:
            self._answer(host, _fail(action, Status.UNAVAILABLE), 0.01)
            return
        self._world.after(self.delay, self._serve, host, action)

    def _serve(self, host: "Host", action: part.Action) -> None:
        if isinstance(action, actions.WriteObject):
            self._write(host, action)
        elif isinstance(action, actions.ReadObject):
            self._answer(host, self._read(action))
        elif isinstance(action, actions.ListObjects):
            self._answer(host, self._list(action))
        elif isinstance(action, actions.ListInstances):
            self._answer(host, self._world.list_instances(action))
        elif isinstance(action, actions.WatchObjects):
            self._watch(host, action)

    def _answer(
        self, host: "Host", answer: part.Message, delay: float | None = None
    ) -> None:
        wait = self.delay if delay is None else delay
        self._world.after(wait, host.tell, answer)

    def _write(self, host: "Host", action: actions.WriteObject) -> None:
        draw = self._world.random.random()
        if draw < self.late:
            self._world.after(self.late_by, self._store, action)
            lost = messages.PlatformAnswer(action.call, Status.LOST)
            self._answer(host, lost, self.timeout)
            return
        answer = self._store(action)
        if draw < self.late + self.lose:
            lost = messages.PlatformAnswer(action.call, Status.LOST)
            self._answer(host, lost, self.timeout)
            return
        self._answer(host, answer)

    def _store(self, action: actions.WriteObject) -> messages.PlatformAnswer:
        version = self.store.write(action.key, action.value, action.expected)
        if version is None:
            return messages.PlatformAnswer(action.call, Status.CONFLICT)
        stored = objects.Stored(action.key, ids.Version(version), action.value)
        self._world.notify_stored(stored)
        self.wake()
        return messages.PlatformAnswer(
            action.call, Status.OK, (stored,), ids.Version(version)
        )

    def _read(self, action: actions.ReadObject) -> messages.PlatformAnswer:
        stored = self.store.get(action.key)
        if stored is None:
            return messages.PlatformAnswer(action.call, Status.NOT_FOUND)
        return messages.PlatformAnswer(
            action.call, Status.OK, (stored,), stored.version
        )

    def _list(self, action: actions.ListObjects) -> messages.PlatformAnswer:
        stored = tuple(self.store.select(_KINDS))
        revision = ids.Version(self.store.revision)
        return messages.PlatformAnswer(
            action.call, Status.OK, stored, revision, True
        )

    def _watch(self, host: "Host", action: actions.WatchObjects) -> None:
        until = self._world.now + host.settings.platform.watch_timeout
        self._watches.append((host, action, until))
        self._world.after(until - self._world.now + 0.001, self.wake)
        self.wake()

    def wake(self) -> None:
        """Answer the watches that are due.

        A watch is due when it has events, when its revision is no longer
        kept, when it times out or while the platform is down.
        """
        waiting, self._watches = self._watches, []
        for host, action, until in waiting:
            found = self.store.select_events(_KINDS, action.since)
            if found is None:
                expired = messages.PlatformAnswer(action.call, Status.EXPIRED)
                self._answer(host, expired)
            elif found or self.down or self._world.now >= until:
                revision = ids.Version(self.store.revision)
                answer = messages.PlatformAnswer(
                    action.call, Status.OK, tuple(found), revision
                )
                self._answer(host, answer)
            else:
                self._watches.append((host, action, until))


def _fail(
    action: part.Action, status: messages.PlatformStatus
) -> part.Message:
    if isinstance(action, actions.ListInstances):
        return messages.InstancesListed(action.call, status)
    call: ids.CallId = action.call  # type: ignore[attr-defined]
    return messages.PlatformAnswer(call, status)


class Engine:
    """A fake engine instance.

    Attributes:
        listed: Its entry in the instance list.
        alive: Whether the process runs.
        paused: Whether the process is suspended, with connections open.
    """

    def __init__(
        self,
        listed: instances.Instance,
        checks_epoch: bool,
        load: abc.Callable[[float], float],
        start_time: float,
    ) -> None:
        self.listed = listed
        self.alive = True
        self.paused = False
        self._checks_epoch = checks_epoch
        self._load = load
        self._start_time = start_time
        self._starts = 0
        self.model = self._start()

    def _start(self) -> enginemodel.EngineModel:
        self._starts += 1
        return enginemodel.EngineModel(
            self.listed.id,
            self._checks_epoch,
            self._load,
            self._starts,
            self._start_time,
        )

    def restart(self) -> None:
        """Start a new process, without an order or a loaded model."""
        self.alive = True
        self.paused = False
        self.model = self._start()


class Host:
    """One entry process: a real node with faked input and output.

    Attributes:
        replies: Answers to the requests of operators and callers, by
            ticket.
        trace: Time, message and resulting actions, if the world traces.
        records: Timeline records of the node with their times.
        counts: Sums of the node's counters, by `counter/label`.
    """

    def __init__(
        self,
        world: "World",
        settings: settings_module.Settings,
        policy: str,
    ) -> None:
        self._world = world
        self.settings = settings
        self._policy = policy
        self.alive = True
        self.paused = False
        self._deferred: list[
            tuple[abc.Callable[..., None], tuple[object, ...]]
        ] = []
        self._tick_at: float | None = None
        self.replies: dict[int, object] = {}
        self.trace: list[tuple[float, part.Message, list[part.Action]]] = []
        self.records: list[tuple[float, actions.Record]] = []
        self.counts: dict[str, int] = {}
        self.node = self._start()

    def _start(self) -> node_module.Node:
        incarnation = ids.Incarnation(int(self._world.now * 1e6) + 1)
        node = node_module.Node(
            self.settings, incarnation, self._world.now, self._policy
        )
        self._world.after(0.0, self._schedule_first_tick, node)
        return node

    @property
    def name(self) -> ids.NodeId:
        """Return the node's id."""
        return self.settings.node.id

    # -- Faults

    def kill(self) -> None:
        """End the process."""
        self.alive = False
        self._tick_at = None

    def restart(self) -> None:
        """Start a new process in its place."""
        self.alive = True
        self.paused = False
        self._deferred.clear()
        self._tick_at = None
        self.node = self._start()

    def pause(self) -> None:
        """Suspend the process; its input is deferred until it resumes."""
        self.paused = True

    def resume(self) -> None:
        """Resume the process and handle its deferred input."""
        self.paused = False
        deferred, self._deferred = self._deferred, []
        for function, arguments in deferred:
            function(*arguments)
        self._schedule()

    # -- Input

    def tell(self, message: part.Message) -> None:
        """Give the node a message."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append((self.tell, (message,)))
            return
        resulting = self.node.handle(message, self._world.now)
        self._perform_all(message, resulting)

    def receive(self, envelope: wire.Envelope) -> None:
        """Give the node an envelope."""
        if not self.alive:
            return
        if self.paused:
            self._deferred.append((self.receive, (envelope,)))
            return
        resulting = self.node.receive(envelope, self._world.now)
        received = messages.Received(envelope.sender, envelope.body)
        self._perform_all(received, resulting)

    def _perform_all(
        self, message: part.Message, resulting: list[part.Action]
    ) -> None:
        if self._world.tracing:
            self.trace.append((self._world.now, message, resulting))
        for action in resulting:
            self._world.perform(self, action)
        self._schedule()

    def perform(self, requested: list[part.Action]) -> None:
        """Carry out actions that no message or tick resulted in."""
        for action in requested:
            self._world.perform(self, action)
        self._schedule()

    def _schedule(self) -> None:
        due = self.node.due()
        if due is None or not self.alive or self.paused:
            return
        at = max(due, self._world.now + _MIN_TICK_DELAY)
        if self._tick_at is None or at < self._tick_at - 1e-9:
            self._tick_at = at
            self._world.at(at, self._tick, at)

    def _tick(self, planned: float) -> None:
        if self._tick_at != planned:
            return
        self._tick_at = None
        if self.alive and not self.paused:
            self._perform_all(
                part.Tick(), self.node.handle(part.Tick(), self._world.now)
            )

    def _schedule_first_tick(self, node: node_module.Node) -> None:
        if self.node is node:
            self._schedule()
            self._beat(node)

    def _beat(self, node: node_module.Node) -> None:
        """Have the node detect pauses as long as its process lives."""
        if self.node is not node or not self.alive:
            return
        if not self.paused and self._world.now >= node.next_beat:
            resulting = node.handle(part.Beat(), self._world.now)
            if resulting:
                self._perform_all(part.Beat(), resulting)
        at = max(node.next_beat, self._world.now + _MIN_BEAT_DELAY)
        self._world.at(at, self._beat, node)


class World:
    """The virtual clock, the fakes and the nodes.

    Attributes:
        now: The virtual time in seconds.
        start_time: Seconds that a new group needs to start.
        link_delay: Minimum latency of a link in seconds; uniform jitter of
            up to as much again is added.
        link_loss: Share of envelopes that links lose.
        cut: Returns whether the link between two names is cut.
        on_send: Called with each body that a node sends.
        on_stored: Called with each object version that is stored.
    """

    def __init__(self, seed: int = 1, tracing: bool = False) -> None:
        self.now = 0.0
        self.random = random.Random(seed)
        self.tracing = tracing
        self.platform = Platform(self)
        self.engines: dict[ids.InstanceId, Engine] = {}
        self.hosts: dict[ids.NodeId, Host] = {}
        self.listed: dict[ids.InstanceId, tuple[instances.Instance, int]] = {}
        self.list_revision = 0
        self.list_lag = 2.0
        self.weight_store: enginemodel.WeightStore | None = None
        self.start_time = 0.0
        self.link_delay = 0.001
        self.link_loss = 0.0
        self.cut: abc.Callable[[str, str], bool] = lambda a, b: False
        self.sent = 0
        self.sent_bytes = 0
        self.on_send: abc.Callable[[Host, wire.Body], None] | None = None
        self.on_stored: list[abc.Callable[[objects.Stored], None]] = []
        self._queue: list[tuple[float, int, typing.Any, typing.Any]] = []
        self._order = itertools.count()

    # -- Time

    def at(
        self,
        time: float,
        function: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Call a function at a virtual time."""
        entry = (time, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def after(
        self,
        seconds: float,
        function: abc.Callable[..., object],
        *arguments: object,
    ) -> None:
        """Call a function after some seconds."""
        self.at(self.now + seconds, function, *arguments)

    def run(
        self,
        until: float,
        stop: abc.Callable[[], bool] | None = None,
        check: abc.Callable[[], None] | None = None,
    ) -> None:
        """Run the scheduled calls that are due up to a virtual time.

        Args:
            until: Virtual time to stop at, in seconds.
            stop: Called after every step; ends the run if it returns true.
            check: Called after every step.
        """
        while self._queue and self._queue[0][0] <= until:
            time, _, function, arguments = heapq.heappop(self._queue)
            self.now = max(self.now, time)
            function(*arguments)
            if check is not None:
                check()
            if stop is not None and stop():
                return
        self.now = max(self.now, until)

    # -- Hosts and instances

    def add_host(
        self, settings: settings_module.Settings, policy: str = "weighted"
    ) -> Host:
        """Add an entry process and list it."""
        host = Host(self, settings, policy)
        self.hosts[host.name] = host
        section = settings.node
        self.list_instance(
            instances.Instance(
                id=ids.InstanceId(section.id),
                kind=instances.InstanceKind.ENTRY,
                address=section.address,
                peer_address=section.peer_address,
                datacentre=section.datacentre,
            )
        )
        return host

    def add_engine(
        self,
        listed: instances.Instance,
        checks_epoch: bool = True,
        load_time: float = 5.0,
    ) -> Engine:
        """Add an engine instance and list it."""
        store = self.weight_store

        def load(now: float) -> float:
            return store.reserve(now) if store else now + load_time

        engine = Engine(listed, checks_epoch, load, self.start_time)
        self.engines[listed.id] = engine
        self.list_instance(listed)
        return engine

    def list_instance(self, listed: instances.Instance) -> None:
        """Add an instance to the list, or replace its entry."""
        self.list_revision += 1
        self.listed[listed.id] = (listed, self.list_revision)

    def unlist_instance(self, name: ids.InstanceId) -> None:
        """Remove an instance from the list."""
        if self.listed.pop(name, None) is not None:
            self.list_revision += 1

    def list_instances(
        self, action: actions.ListInstances
    ) -> messages.InstancesListed:
        """Return the list, or an answer that it is unchanged."""
        call = action.call
        if action.since == self.list_revision:
            revision = ids.Version(self.list_revision)
            return messages.InstancesListed(
                call, Status.OK, (), revision, True
            )
        listed = tuple(
            (instance, ids.Version(version))
            for instance, version in self.listed.values()
        )
        return messages.InstancesListed(
            call, Status.OK, listed, ids.Version(self.list_revision)
        )

    def notify_stored(self, stored: objects.Stored) -> None:
        """Call the listeners for stored versions."""
        for listener in self.on_stored:
            listener(stored)

    # -- Actions of nodes

    def perform(self, host: Host, action: part.Action) -> None:
        """Carry out one action of a node."""
        if isinstance(action, actions.Send):
            self._send(host, action)
        elif isinstance(action, actions.Probe):
            self._probe(host, action)
        elif isinstance(action, actions.SendOrder):
            self._send_order(host, action)
        elif isinstance(action, actions.Record):
            host.records.append((self.now, action))
        elif isinstance(action, actions.Count):
            name = f"{action.counter.value}/{action.label}"
            host.counts[name] = host.counts.get(name, 0) + action.amount
        elif isinstance(action, actions.Leave):
            host.perform(host.node.leave(self.now))
        elif isinstance(action, actions.Reply):
            host.replies[action.ticket] = action.answer
        elif self.cut(host.name, "platform"):
            lost = _fail(action, Status.UNAVAILABLE)
            self.after(0.01, host.tell, lost)
        else:
            self.platform.call(host, action)

    def _send(self, host: Host, action: actions.Send) -> None:
        self.sent += 1
        if self.on_send is not None:
            self.on_send(host, action.body)
        target = self.hosts.get(action.to)
        if target is None or self.cut(host.name, target.name):
            return
        if self.random.random() < self.link_loss:
            return
        known = host.node.nodes.get(action.to)
        local = host.node.nodes.me
        envelope = wire.Envelope(
            sender=local.id,
            incarnation=local.incarnation,
            sent=self.now,
            body=action.body,
            to_incarnation=known.incarnation if known else 0,
        )
        jitter = self.random.random() * self.link_delay
        self.after(self.link_delay + jitter, target.receive, envelope)

    def _probe(self, host: Host, action: actions.Probe) -> None:
        engine = self.engines.get(action.instance)
        outcomes = messages.ProbeOutcome
        cut = self.cut(host.name, action.instance)
        if engine is not None and not engine.alive and not cut:
            answer = messages.ProbeAnswered(action.instance, outcomes.REFUSED)
            self.after(self.link_delay, host.tell, answer)
        elif engine is None or engine.paused or cut:
            answer = messages.ProbeAnswered(action.instance, outcomes.TIMEOUT)
            self.after(action.timeout, host.tell, answer)
        else:
            report = engine.model.report(self.now)
            answer = messages.ProbeAnswered(
                action.instance, outcomes.ANSWERED, report
            )
            self.after(2 * self.link_delay, host.tell, answer)

    def _send_order(self, host: Host, action: actions.SendOrder) -> None:
        outcomes = messages.OrderOutcome
        order = action.order
        outcome = outcomes.LOST
        if self.now + order.lifetime >= action.deadline:
            outcome = outcomes.EXPIRED
        elif not self.cut(host.name, action.instance):
            outcome = self._deliver_order(action)
        answer = messages.OrderAnswered(action.instance, order.epoch, outcome)
        self.after(2 * self.link_delay, host.tell, answer)

    def _deliver_order(
        self, action: actions.SendOrder
    ) -> messages.OrderOutcome:
        outcomes = messages.OrderOutcome
        engine = self.engines.get(action.instance)
        if engine is None or not engine.alive or engine.paused:
            return outcomes.LOST
        taken = engine.model.take_order(action.order, self.now)
        return outcomes.TAKEN if taken else outcomes.FENCED


def encode_size(body: wire.Body) -> int:
    """Return the size in bytes of an encoded body, without its envelope."""
    return len(msgspec.msgpack.encode(body))

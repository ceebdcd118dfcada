"""Cost and latency of membership and configuration edits.

In virtual time, the real nodes run on a simulated network with delays
between data centres; their messages and the encoded sizes are counted.
With real processes on loopback, the processor time and memory of idle
entries are read from the kernel.
"""

import statistics
import time

import msgspec

from bench import fleet as fleet_module
from bench import load
from bench import relay
from bench import report
from currantwall.coordination import actions
from currantwall.coordination import wire
from currantwall.coordination.profiles import edits
from currantwall.state import ids
from standins import sites
from standins import virtual

__all__ = ["measure_peers", "measure_processes"]

_DATACENTRES = 7
# Bytes of an envelope apart from its body: sender, incarnations, clock,
# stamp and tag.
_ENVELOPE_BYTES = 60
_PROFILE_INI = "[profile p]\nmodel = m\nreplicas = 0\nconcurrency = {number}\n"
# Latency that is reported for an edit that is not accepted in this time.
_EDIT_TIMEOUT_SECONDS = 30.0


class _Traffic:
    """Counts the messages and bytes that each node of a world sends."""

    def __init__(self, world: virtual.World) -> None:
        self._world = world
        self.messages: dict[ids.NodeId, int] = {}
        self.bytes: dict[ids.NodeId, int] = {}
        world.on_send = self._count

    def _count(self, host: virtual.Host, body: wire.Body) -> None:
        name = host.name
        size = virtual.encode_size(body) + _ENVELOPE_BYTES
        self.messages[name] = self.messages.get(name, 0) + 1
        self.bytes[name] = self.bytes.get(name, 0) + size

    def clear(self) -> None:
        """Reset the counts."""
        self.messages.clear()
        self.bytes.clear()


def _make_world(count: int, datacentres: int, seed: int) -> virtual.World:
    entries = {
        f"n{number}": f"d{number % datacentres}" for number in range(count)
    }
    world = sites.make_site(entries, (), seed=seed)
    world.link_delay = 0.001
    return world


def _run_edits(world: virtual.World, count: int) -> list[float]:
    """Make edits one after the other; return the latency of each.

    The latency is the time until the edit is in force on every live node,
    in seconds of virtual time.
    """
    names = [name for name, host in world.hosts.items() if host.alive]
    latencies = []
    for number in range(count):
        host = world.hosts[names[(number * 37) % len(names)]]
        ticket = 1000 + number
        profile = sites.parse(_PROFILE_INI.format(number=number + 1))
        started = world.now
        sites.put_profile(host, profile, ticket)

        def has_reply(host: virtual.Host = host, ticket: int = ticket) -> bool:
            return ticket in host.replies

        world.run(started + _EDIT_TIMEOUT_SECONDS, stop=has_reply)
        reply = host.replies.get(ticket)
        accepted = (
            isinstance(reply, edits.EditResult)
            and reply.outcome is edits.EditOutcome.ACCEPTED
        )
        latencies.append(
            world.now - started if accepted else _EDIT_TIMEOUT_SECONDS
        )
        world.run(world.now + 0.5)
    return latencies


def _emit_edits(name: str, latencies: list[float]) -> None:
    report.emit(name, "edit_p50", statistics.median(latencies), "s")
    report.emit(name, "edit_p99", load.percentile(latencies, 0.99), "s")
    report.emit(name, "edit_worst", max(latencies), "s")


def _emit_traffic(name: str, traffic: _Traffic, seconds: float) -> None:
    sizes = sorted(traffic.bytes.values())
    counts = sorted(traffic.messages.values())
    mean = sum(sizes) / len(sizes) / seconds
    report.emit(name, "sent_bytes_mean", mean, "B/s")
    report.emit(name, "sent_bytes_most", sizes[-1] / seconds, "B/s")
    mean = sum(counts) / len(counts) / seconds
    report.emit(name, "messages_mean", mean, "1/s")
    report.emit(name, "messages_most", counts[-1] / seconds, "1/s")


def _measure_virtual(count: int, datacentres: int, edit_count: int) -> None:
    name = f"peers.{count}"
    world = _make_world(count, datacentres, 1)
    # Until the messages about the start have reached all nodes.
    world.run(90.0)
    traffic = _Traffic(world)
    started = time.process_time()
    world.run(world.now + 30.0)
    processor_time = time.process_time() - started
    _emit_traffic(f"{name}.rest", traffic, 30.0)
    share = processor_time / 30.0 / count * 100
    report.emit(name, "decisions_processor", share, "% of a core a node")
    _emit_edits(name, _run_edits(world, edit_count))
    if count >= 100:
        _measure_losses(name, world, traffic)


def _measure_losses(
    name: str, world: virtual.World, traffic: _Traffic
) -> None:
    """Measure the loss of 19 nodes, of a rack of 8 and of a data centre.

    The losses follow one another, and lost nodes do not come back.
    """
    hosts = list(world.hosts.values())
    for label, dead in (
        ("19_failures", hosts[3 : 3 + 19 * 5 : 5]),
        ("rack_loss", hosts[4 : 4 + 8 * 7 : 7]),
        ("datacentre_loss", hosts[5::7]),
    ):
        traffic.clear()
        for host in dead:
            host.kill()
        started = world.now
        survivors = [host for host in hosts if host.alive]
        lost = {host.name for host in dead}

        def is_known(
            survivors: list[virtual.Host] = survivors,
            lost: set[ids.NodeId] = lost,
        ) -> bool:
            return all(
                lost.isdisjoint(
                    member.id for member in host.node.nodes.usable()
                )
                for host in survivors
            )

        while not is_known() and world.now < started + 60.0:
            world.run(world.now + 0.5)
        latency = world.now - started
        report.emit(f"{name}.{label}", "known_everywhere", latency, "s")
        _emit_traffic(f"{name}.{label}", traffic, max(latency, 0.5))


def _measure_false_verdicts() -> None:
    """Count false verdicts while 1 % of messages are lost.

    Fifty nodes of one data centre run for an hour of virtual time.
    """
    world = _make_world(50, 1, 3)
    world.run(10.0)
    world.link_loss = 0.01
    world.run(world.now + 3600.0)
    name = f"{actions.Counter.MEMBER_VERDICTS.value}/dead"
    false_verdicts = sum(
        host.counts.get(name, 0) for host in world.hosts.values()
    )
    report.emit(
        "peers.loss_1_percent", "false_verdicts", false_verdicts, "1/h"
    )


@report.register("peers")
def measure_peers() -> None:
    """Measure fleets of several sizes in virtual time."""
    for count in (21, 50, 100, 200, 350):
        datacentres = 3 if count == 21 else _DATACENTRES
        _measure_virtual(count, datacentres, 30 if count < 350 else 20)
    _measure_false_verdicts()


# -- Real processes


class _Site:
    """Entry processes on loopback, without engines or services."""

    def __init__(self, fleet: fleet_module.Fleet, count: int) -> None:
        self.fleet = fleet
        self.names = [f"n{number}" for number in range(count)]
        for number, name in enumerate(self.names):
            spec = fleet_module.EntrySpec(id=name, datacentre=f"d{number % 3}")
            fleet.add_entry(spec)
        fleet.start_platform()
        for name in self.names:
            fleet.start_entry(name)
        fleet_module.wait_until(
            self._is_complete, 120, "every entry knows all entries"
        )

    def _is_complete(self) -> bool:
        for name in (self.names[0], self.names[-1]):
            if not self.fleet.is_answering(name, "/readyz"):
                return False
            members = self.fleet.read_json(name, "status")["members"]
            live = [member for member in members if member["incarnation"]]
            if len(live) < len(self.names):
                return False
        return True

    def read_cpu(self) -> float:
        """Return the processor seconds that all entries have used."""
        pids = [self.fleet.get_pid(name) for name in self.names]
        return sum(relay.read_cpu(pid) for pid in pids)

    def edit(self, number: int, name: str) -> tuple[float, str]:
        """Edit the profile; return the latency in seconds and the outcome."""
        profile = sites.parse(_PROFILE_INI.format(number=number))
        stored = self.fleet.read_json(name, "profile", "show")
        version = stored[0]["version"] if stored else 0
        path = f"/v1/admin/profiles/p?expected={version}"
        started = time.monotonic()
        answer = self.fleet.call_signed(
            "PUT", name, path, msgspec.json.encode(profile)
        )
        latency = time.monotonic() - started
        outcome = msgspec.json.decode(answer.data)["outcome"]
        return latency, outcome


@report.register("processes")
def measure_processes() -> None:
    """Measure real entry processes while idle and during edits."""
    for count in (21, 50, 100):
        with fleet_module.Fleet() as fleet:
            _measure_site(_Site(fleet, count), count)


def _measure_site(site: _Site, count: int) -> None:
    name = f"processes.{count}"
    time.sleep(5.0)
    before = site.read_cpu()
    time.sleep(10.0)
    share = (site.read_cpu() - before) / 10.0 / count * 100
    report.emit(name, "processor", share, "% of a core a node")
    sizes = [
        relay.read_memory(site.fleet.get_pid(entry)) for entry in site.names
    ]
    report.emit(name, "memory_mean", statistics.mean(sizes), "MB")
    report.emit(name, "memory_most", max(sizes), "MB")
    latencies = []
    for number in range(20):
        latency, outcome = site.edit(
            number + 1, site.names[number * 7 % count]
        )
        latencies.append(
            latency if outcome == "accepted" else _EDIT_TIMEOUT_SECONDS
        )
    _emit_edits(name, latencies)
    for killed in site.names[-2:]:
        site.fleet.kill(killed)
    started = time.monotonic()
    latency, outcome = site.edit(99, site.names[0])
    while (
        outcome != "accepted"
        and time.monotonic() - started < _EDIT_TIMEOUT_SECONDS
    ):
        latency, outcome = site.edit(99, site.names[0])
    total = time.monotonic() - started
    report.emit(name, "edit_with_two_killed", total, "s")

"""Invariants, checked against the true state of the simulated world."""

import unittest

from currantwall.coordination.requests import routing
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import objects
from standins import sites
from standins import virtual

__all__ = ["GRACE", "Watcher"]

# Seconds after which a replica that lost a member gets no new request.
GRACE = 2.0
_SAMPLE_INTERVAL = 0.1  # seconds


class Watcher:
    """Watches one world and fails the test if an invariant is violated.

    Attributes:
        routed: Number of routes that were checked.
    """

    def __init__(
        self, test: unittest.TestCase, world: virtual.World, profile: str
    ) -> None:
        self._test = test
        self._world = world
        self._profile = ids.ProfileName(profile)
        self._last_whole: dict[tuple[str, int], float] = {}
        self._granted = 0
        self.routed = 0
        world.on_stored.append(self._check_stored)
        world.after(_SAMPLE_INTERVAL, self._sample)

    # -- The stored objects

    def read_domains(self) -> list[domain.Domain]:
        """Return the ledgers of all domains, as stored."""
        store = self._world.platform.store
        kinds = {objects.Kind.DOMAINS.value}
        return [objects.decode(stored) for stored in store.select(kinds)]

    def _check_stored(self, stored: objects.Stored) -> None:
        kinds = (objects.Kind.DOMAINS.value, objects.Kind.GRANTS.value)
        if stored.key.kind not in kinds:
            return
        ledgers = self.read_domains()
        members: list[str] = []
        for ledger in ledgers:
            for replica in ledger.replicas:
                members += replica.members
        self._test.assertEqual(
            len(members), len(set(members)), "an instance is in two replicas"
        )
        self._check_grants(ledgers)

    def _check_grants(self, ledgers: list[domain.Domain]) -> None:
        store = self._world.platform.store
        name = self._profile
        key = objects.ObjectKey(objects.Kind.GRANTS.value, name)
        stored = store.get(key)
        granted = objects.decode(stored) if stored else None
        total = granted.total if granted else 0
        for ledger in ledgers:
            share = granted.get(ledger.name).granted if granted else 0
            self._test.assertLessEqual(
                ledger.count_accelerators(name),
                share,
                f"{ledger.name} holds more than is granted",
            )
        stored_profile = store.get(
            objects.ObjectKey(objects.Kind.PROFILES.value, name)
        )
        capacity = (
            objects.decode(stored_profile).capacity if stored_profile else 0
        )
        if total > self._granted:
            self._test.assertLessEqual(
                total, capacity, "more is granted than the capacity"
            )
        self._granted = total

    # -- The nodes' decisions

    def _sample(self) -> None:
        now = self._world.now
        for ledger in self.read_domains():
            for replica in ledger.replicas:
                if self._is_whole(replica):
                    key = (replica.id, replica.generation)
                    self._last_whole[key] = now
        for host in self._world.hosts.values():
            if host.alive and not host.paused:
                self._check_route(host, now)
        self._world.after(_SAMPLE_INTERVAL, self._sample)

    def _is_whole(self, replica: domain.Replica) -> bool:
        now = self._world.now
        for member in replica.members:
            engine = self._world.engines[member]
            if not engine.alive or engine.paused:
                return False
            report = engine.model.report(now)
            if (report.replica, report.generation) != (
                replica.id,
                replica.generation,
            ):
                return False
        return True

    def _check_route(self, host: virtual.Host, now: float) -> None:
        if self._profile not in host.node.view.profiles:
            return
        answer = sites.route(host, self._profile)
        if not isinstance(answer, routing.Route):
            return
        self.routed += 1
        key = (answer.subject, answer.generation)
        elapsed = now - self._last_whole.get(key, -1.0)
        self._test.assertLessEqual(
            elapsed,
            GRACE + _SAMPLE_INTERVAL,
            f"{host.name} uses {key}, not whole for {elapsed:.2f} s",
        )

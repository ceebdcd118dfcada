"""What must always hold, checked against the fakes' own truth."""

import unittest

from currantwall.coordination.requests import routing
from currantwall.state import domain
from currantwall.state import ids
from currantwall.state import objects
from standins import sites
from standins import virtual

__all__ = ["GRACE", "Watcher"]

# A replica that lost a member gets no new request after so long.
GRACE = 2.0
_SAMPLE = 0.1


class Watcher:
    """Watches one world and fails the test when a promise breaks."""

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
        world.after(_SAMPLE, self._sample)

    # -- The stored objects

    def read_domains(self) -> list[domain.Domain]:
        """Return the ledgers as stored."""
        store = self._world.platform.store
        kinds = {objects.Kind.DOMAINS.value}
        return [objects.decode(one) for one in store.select(kinds)]

    def _check_stored(self, stored: objects.Stored) -> None:
        kinds = (objects.Kind.DOMAINS.value, objects.Kind.GRANTS.value)
        if stored.key.kind not in kinds:
            return
        ledgers = self.read_domains()
        owned: list[str] = []
        for held in ledgers:
            for replica in held.replicas:
                owned += replica.members
        self._test.assertEqual(
            len(owned), len(set(owned)), "an instance is in two replicas"
        )
        self._check_grants(ledgers)

    def _check_grants(self, ledgers: list[domain.Domain]) -> None:
        store = self._world.platform.store
        name = self._profile
        key = objects.ObjectKey(objects.Kind.GRANTS.value, name)
        stored = store.get(key)
        granted = objects.decode(stored) if stored else None
        total = granted.total if granted else 0
        for held in ledgers:
            share = granted.get(held.name).granted if granted else 0
            self._test.assertLessEqual(
                held.count_accelerators(name),
                share,
                f"{held.name} holds more than is granted",
            )
        wanted = store.get(
            objects.ObjectKey(objects.Kind.PROFILES.value, name)
        )
        capacity = objects.decode(wanted).capacity if wanted else 0
        if total > self._granted:
            self._test.assertLessEqual(
                total, capacity, "more is granted than the capacity"
            )
        self._granted = total

    # -- The nodes' decisions

    def _sample(self) -> None:
        now = self._world.now
        for held in self.read_domains():
            for replica in held.replicas:
                if self._is_whole(replica):
                    key = (replica.id, replica.generation)
                    self._last_whole[key] = now
        for host in self._world.hosts.values():
            if host.alive and not host.paused:
                self._check_route(host, now)
        self._world.after(_SAMPLE, self._sample)

    def _is_whole(self, replica: domain.Replica) -> bool:
        now = self._world.now
        for name in replica.members:
            engine = self._world.engines[name]
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
        since = now - self._last_whole.get(key, -1.0)
        self._test.assertLessEqual(
            since,
            GRACE + _SAMPLE,
            f"{host.name} uses {key}, not whole for {since:.2f} s",
        )

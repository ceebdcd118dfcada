"""State that one part of a node writes and all others read.

The part named in each class is its only writer. All parts of a process
run in one thread, one message at a time, so a reader never sees a
half-applied change.
"""

from collections import abc
import typing

from currantwall.state import domain
from currantwall.state import evacuations
from currantwall.state import grants
from currantwall.state import hashing
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import members
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import rendezvous
from currantwall.state import stops

__all__ = ["BUCKET_COUNT", "MembersView", "ObjectsView", "find_bucket"]

# Number of buckets that the digests of objects and of nodes are split into.
BUCKET_COUNT = 16


class MembersView:
    """Entry nodes as this one sees them; written by `Membership`."""

    def __init__(self, me: members.Member) -> None:
        self.me = me
        self.unreachable: frozenset[ids.DatacentreName] = frozenset()
        self._members: dict[ids.NodeId, members.Member] = {me.id: me}
        self._digests = [0] * BUCKET_COUNT
        self._toggle_in_digest(me)
        # Incremented by each change, so that readers can cache results.
        self.revision = 0
        self._usable: dict[
            ids.DatacentreName | None, list[members.Member]
        ] = {}
        self._usable_revision = -1

    def get(self, node: ids.NodeId) -> members.Member | None:
        """Return a node as last seen, None if it is unknown."""
        return self._members.get(node)

    def put(self, member: members.Member) -> None:
        """Add or replace a node."""
        self.revision += 1
        self.drop(member.id)
        self._members[member.id] = member
        self._toggle_in_digest(member)
        if member.id == self.me.id:
            self.me = member

    def drop(self, node: ids.NodeId) -> None:
        """Remove a node."""
        held = self._members.pop(node, None)
        if held is not None:
            self.revision += 1
            self._toggle_in_digest(held)

    def all(self) -> list[members.Member]:
        """Return every known node, dead ones included."""
        return list(self._members.values())

    def present(
        self, datacentre: ids.DatacentreName | None = None
    ) -> list[members.Member]:
        """Return the nodes that still accept messages."""
        return [
            member
            for member in self._members.values()
            if member.is_present and datacentre in (None, member.datacentre)
        ]

    def usable(
        self, datacentre: ids.DatacentreName | None = None
    ) -> list[members.Member]:
        """Return the reachable nodes to which work may be assigned."""
        if self._usable_revision != self.revision:
            self._usable_revision = self.revision
            self._usable.clear()
        usable = self._usable.get(datacentre)
        if usable is None:
            usable = self._list_usable(datacentre)
            self._usable[datacentre] = usable
        return usable

    def _list_usable(
        self, datacentre: ids.DatacentreName | None
    ) -> list[members.Member]:
        return [
            member
            for member in self._members.values()
            if member.is_usable
            and member.datacentre not in self.unreachable
            and datacentre in (None, member.datacentre)
        ]

    def mark_unreachable(
        self, datacentres: frozenset[ids.DatacentreName]
    ) -> None:
        """Replace the set of unreachable data centres."""
        self.revision += 1
        self.unreachable = datacentres

    def datacentres(self) -> list[ids.DatacentreName]:
        """Return the data centres that have members, sorted."""
        return sorted({member.datacentre for member in self.present()})

    def rank(
        self,
        duty: str,
        datacentre: ids.DatacentreName | None = None,
    ) -> list[ids.NodeId]:
        """Return the usable nodes in order of preference for a duty."""
        names = [member.id for member in self.usable(datacentre)]
        return rendezvous.rank(duty, names)

    def digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of nodes."""
        return tuple(self._digests)

    def select(self, buckets: abc.Container[int]) -> list[members.Member]:
        """Return the nodes in some buckets."""
        return [
            member
            for member in self._members.values()
            if hashing.hash_text(member.id) % BUCKET_COUNT in buckets
        ]

    def _toggle_in_digest(self, member: members.Member) -> None:
        """Add a member to the digest of its bucket, or remove it."""
        bucket = hashing.hash_text(member.id) % BUCKET_COUNT
        self._digests[bucket] ^= _hash_member(member)


class ObjectsView:
    """Stored objects in force on this node; written by `Configuration`.

    Keeps the highest version of each object, deleted ones included, so
    that an older version can never replace it.
    """

    def __init__(self) -> None:
        self._stored: dict[objects.ObjectKey, objects.Stored] = {}
        self._hashes: dict[objects.ObjectKey, int] = {}
        self._values: dict[str, dict[str, typing.Any]] = {}
        self._by_domain: dict[str, dict[str, instances.Instance]] = {}
        self._by_service: dict[str, dict[str, instances.Instance]] = {}
        self._digests = [0] * BUCKET_COUNT

    def apply(self, stored: objects.Stored) -> bool:
        """Apply a version if it is newer; return whether it was."""
        key = stored.key
        held = self._stored.get(key)
        if held is not None and held.version >= stored.version:
            return False
        value = objects.decode(stored)
        bucket = find_bucket(key)
        digest = objects.hash_material(stored, value)
        self._digests[bucket] ^= self._hashes.get(key, 0) ^ digest
        self._hashes[key] = digest
        self._stored[key] = stored
        values = self._values.setdefault(key.kind, {})
        if key.kind == objects.Kind.INSTANCES.value:
            self._update_indexes(key.name, values.get(key.name), value)
        if value is None:
            values.pop(key.name, None)
        else:
            values[key.name] = value
        return True

    def _update_indexes(
        self,
        name: str,
        before: instances.Instance | None,
        after: instances.Instance | None,
    ) -> None:
        if before is not None:
            self._by_domain.get(before.domain, {}).pop(name, None)
            self._by_service.get(before.service, {}).pop(name, None)
        if after is not None:
            self._by_domain.setdefault(after.domain, {})[name] = after
            self._by_service.setdefault(after.service, {})[name] = after

    def get(self, key: objects.ObjectKey) -> objects.Stored | None:
        """Return the stored form in force, None for an unknown object."""
        return self._stored.get(key)

    def version(self, key: objects.ObjectKey) -> ids.Version:
        """Return the version in force, 0 for none."""
        held = self._stored.get(key)
        return held.version if held else ids.Version(0)

    def get_expected_version(self, key: objects.ObjectKey) -> ids.Version:
        """Return the version that a conditional write must expect.

        It is 0 for a deleted object, of which the platform keeps nothing.
        """
        held = self._stored.get(key)
        return held.version if held and held.value else ids.Version(0)

    def all(self) -> list[objects.Stored]:
        """Return all objects in stored form, deleted ones included."""
        return list(self._stored.values())

    def material(self, key: objects.ObjectKey) -> int:
        """Return `objects.hash_material` of an object, 0 if unknown."""
        return self._hashes.get(key, 0)

    def digests(self) -> tuple[int, ...]:
        """Return a digest of each bucket of keys.

        Two views with equal digests hold the same objects; where digests
        differ, the objects of that bucket have to be compared.
        """
        return tuple(self._digests)

    def list_engines(
        self, domain_name: ids.DomainName
    ) -> list[instances.Instance]:
        """Return the engine instances of a fabric domain."""
        listed = self._by_domain.get(domain_name, {}).values()
        kind = instances.InstanceKind.ENGINE
        return [instance for instance in listed if instance.kind is kind]

    def list_services(
        self, service: ids.ServiceName
    ) -> list[instances.Instance]:
        """Return the instances of a plain service."""
        return list(self._by_service.get(service, {}).values())

    # -- Typed access

    @property
    def profiles(self) -> abc.Mapping[str, profile.Profile]:
        """Return the profiles by name."""
        return self._get_values(objects.Kind.PROFILES)

    @property
    def domains(self) -> abc.Mapping[str, domain.Domain]:
        """Return the domains' ledgers by domain name."""
        return self._get_values(objects.Kind.DOMAINS)

    @property
    def grants(self) -> abc.Mapping[str, grants.Grants]:
        """Return the grants by profile."""
        return self._get_values(objects.Kind.GRANTS)

    @property
    def stops(self) -> abc.Mapping[str, stops.Stop]:
        """Return the planned stops by id."""
        return self._get_values(objects.Kind.STOPS)

    @property
    def evacuations(self) -> abc.Mapping[str, evacuations.Evacuation]:
        """Return the requested evacuations by data centre."""
        return self._get_values(objects.Kind.EVACUATIONS)

    def list_datacentres(self) -> set[str]:
        """Return the data centres that have instances."""
        return {listed.datacentre for listed in self.instances.values()}

    @property
    def instances(self) -> abc.Mapping[str, instances.Instance]:
        """Return the instances of the platform's list by id."""
        return self._get_values(objects.Kind.INSTANCES)

    def _get_values(self, kind: objects.Kind) -> abc.Mapping[str, typing.Any]:
        return self._values.get(kind.value, {})


def find_bucket(key: objects.ObjectKey) -> int:
    """Return the bucket of a key, below `BUCKET_COUNT`."""
    return hashing.hash_text(str(key)) % BUCKET_COUNT


def _hash_member(member: members.Member) -> int:
    text = (
        f"{member.id} {member.incarnation} {member.serial}"
        f" {member.state.value}"
    )
    return hashing.hash_text(text)

"""Small simulated sites in virtual time, for tests and benches."""

from collections import abc

import msgspec
import result

from currantwall.coordination.profiles import configuration
from currantwall.coordination.profiles import edits
from currantwall.coordination.requests import routing
from currantwall.state import ids
from currantwall.state import instances
from currantwall.state import objects
from currantwall.state import profile
from currantwall.state import settings as settings_module
from standins import enginemodel
from standins import virtual

__all__ = [
    "DomainSpec",
    "add_domain",
    "add_service",
    "ask",
    "make_settings",
    "make_site",
    "parse",
    "put_profile",
    "route",
    "store_profile",
]

# A deadline in seconds of virtual time that is always over.
_PAST = 1e-3
_SETTINGS_TEXT = """
[node]
id = {id}
datacentre = {datacentre}
address = 10.0.0.1:8080
peer_address = 10.0.0.1:9080
[platform]
url = http://10.0.0.9:8000
[peers]
key = k
[service sizing]
idempotent = yes
[service reorders]
idempotent = no
"""


class DomainSpec(msgspec.Struct, frozen=True, kw_only=True):
    """The engine instances of one fabric domain.

    Attributes:
        engines: Number of instances.
        accelerators: Accelerators of each instance.
        checks_epoch: Whether an order with an old epoch is refused.
        load_time: Seconds that a model load takes.
    """

    name: str
    datacentre: str
    engines: int
    accelerators: int = 4
    checks_epoch: bool = True
    load_time: float = 5.0


def make_settings(
    name: str, datacentre: str, extra: str = ""
) -> settings_module.Settings:
    """Return the settings of an entry process; `extra` is INI text."""
    text = _SETTINGS_TEXT.format(id=name, datacentre=datacentre) + extra
    outcome = settings_module.parse_settings(text, f"{name}.ini")
    if isinstance(outcome, result.Err):
        raise ValueError(str(outcome.err_value))
    return outcome.ok_value


def add_domain(world: virtual.World, spec: DomainSpec) -> None:
    """Add the instances of a fabric domain."""
    for number in range(1, spec.engines + 1):
        name = f"{spec.name}-{number}"
        listed = instances.Instance(
            id=ids.InstanceId(name),
            kind=instances.InstanceKind.ENGINE,
            address=f"{name}:80",
            datacentre=ids.DatacentreName(spec.datacentre),
            domain=ids.DomainName(spec.name),
            accelerators=spec.accelerators,
        )
        world.add_engine(listed, spec.checks_epoch, spec.load_time)


def add_service(
    world: virtual.World, name: str, service: str, datacentre: str
) -> None:
    """Add an instance of a plain service."""
    world.add_engine(
        instances.Instance(
            id=ids.InstanceId(name),
            kind=instances.InstanceKind.SERVICE,
            address=f"{name}:80",
            datacentre=ids.DatacentreName(datacentre),
            service=ids.ServiceName(service),
        )
    )


def make_site(
    entries: abc.Mapping[str, str],
    domains: abc.Iterable[DomainSpec],
    *,
    seed: int = 1,
    extra: str = "",
    policy: str = "weighted",
    tracing: bool = False,
    weight_store: enginemodel.WeightStore | None = None,
    start_time: float = 0.0,
) -> virtual.World:
    """Return a world with some entries and fabric domains.

    Args:
        entries: Data centre of each entry process.
        domains: The fabric domains.
        seed: Seed of the world's random numbers.
        extra: INI text added to each entry's settings.
        policy: Name of the policy by which broken replicas are repaired.
        tracing: Whether hosts record their messages and actions.
        weight_store: The store that all engines load from; None when each
            loads in its domain's load time.
        start_time: Seconds that a new replica generation needs to start
            once it has loaded.
    """
    world = virtual.World(seed, tracing)
    world.weight_store = weight_store
    world.start_time = start_time
    for spec in domains:
        add_domain(world, spec)
    for name, datacentre in entries.items():
        world.add_host(make_settings(name, datacentre, extra), policy)
    return world


def parse(text: str) -> profile.Profile:
    """Return the first profile of an INI text."""
    outcome = profile.parse_profiles(text, "profiles.ini")
    if isinstance(outcome, result.Err):
        raise ValueError(str(outcome.err_value))
    return outcome.ok_value[0]


def _make_key(name: str) -> objects.ObjectKey:
    return objects.ObjectKey(objects.Kind.PROFILES.value, name)


def put_profile(
    host: virtual.Host, wanted: profile.Profile, ticket: int = 1
) -> None:
    """Ask an entry to store a profile.

    The answer arrives in `host.replies` under the ticket.
    """
    key = _make_key(wanted.name)
    expected = host.node.view.get_expected_version(key)
    value = objects.encode(wanted)
    host.tell(edits.EditRequested(ticket, key, value, expected))


def store_profile(world: virtual.World, wanted: profile.Profile) -> None:
    """Store a profile and pass it to every entry, without any delay."""
    key = _make_key(wanted.name)
    current = world.platform.store.get(key)
    value = objects.encode(wanted)
    expected = current.version if current else 0
    version = world.platform.store.write(key, value, expected)
    assert version is not None
    stored = objects.Stored(key, ids.Version(version), value)
    for host in world.hosts.values():
        host.tell(configuration.Written(stored))


def ask(
    host: virtual.Host, request: routing.RouteRequested
) -> routing.Route | routing.Refusal:
    """Return the route that an entry chooses, or its refusal."""
    host.tell(request)
    answer = host.replies.pop(request.ticket)
    assert isinstance(answer, routing.Route | routing.Refusal)
    return answer


def route(
    host: virtual.Host, profile_name: str, ticket: int = 900
) -> routing.Route | routing.Refusal:
    """Return the route of one request for a profile, and end its attempt.

    A request that would have to wait is refused, as its deadline is over.
    """
    attempt = ids.AttemptId(f"{host.name}.test.{ticket}")
    request = routing.RouteRequested(
        ticket=ticket,
        attempt=attempt,
        profile=ids.ProfileName(profile_name),
        deadline=_PAST,
    )
    answer = ask(host, request)
    if isinstance(answer, routing.Route):
        host.tell(routing.AttemptEnded(attempt))
    return answer

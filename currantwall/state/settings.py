"""Settings of one entry process, read from INI.

Each section is a struct; docs/operators/settings.md lists every key.
Times are seconds unless the name says otherwise.
"""

import configparser
import enum
import typing

import msgspec
import result

from currantwall.state import ids
from currantwall.state import numbers
from currantwall.state import profile

__all__ = [
    "LogFormat",
    "NodeSection",
    "OperatorsSection",
    "OrganisationSection",
    "PeersSection",
    "PlatformSection",
    "ReplicasSection",
    "RequestsSection",
    "ServiceSection",
    "Settings",
    "parse_settings",
    "split_address",
]

_PORT_LIMIT = 65536


class LogFormat(enum.Enum):
    """How log lines are written."""

    JSON = "json"
    CONSOLE = "console"


class NodeSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[node]``: identity and addresses of this process."""

    id: ids.NodeId
    datacentre: ids.DatacentreName
    address: str
    peer_address: str
    log_format: LogFormat = LogFormat.JSON
    log_level: str = "info"
    timeline_size: int = 4096


class PlatformSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[platform]``: the platform's object API and instance list."""

    url: str
    timeout: float = 2.0
    watch_timeout: float = 20.0
    list_interval: float = 1.0
    backoff: float = 1.0
    backoff_limit: float = 15.0


class PeersSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[peers]``: messages between entry processes.

    Attributes:
        key: Shared secret of all entry processes.
        seeds: ``host:port`` of peer links to try when the platform's
            list is unavailable.
        relays: Number of nodes in each data centre that relay messages to
            the other data centres.
        news_limit: Maximum number of member updates in one message.
    """

    key: str
    seeds: tuple[str, ...] = ()
    probe_interval: float = 1.0
    probe_timeout: float = 0.3
    indirect_probes: int = 3
    suspicion: float = 1.2
    exchange_interval: float = 1.0
    flush_interval: float = 0.25
    relays: int = 2
    news_limit: int = 8
    forget_after: float = 60.0
    edit_deadline: float = 3.0


class ReplicasSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[replicas]``: leases, observation, placement, orders.

    Attributes:
        epoch_checked: Whether the engines refuse an old fencing token.
        evidence_ttl: Age after which evidence that a replica is whole no
            longer counts.
        load_time: Expected time to load a model on one instance.
        loads: Replicas that one domain loads at a time, so that all
            domains together stay below the rate of the weight store.
        pause_share: Share of silent instances that recover by themselves
            with their model still loaded.
        pause_time: Mean time until those recover.
        restart_time: Mean time until a stopped process has restarted,
            with no model loaded.
        replace_time: Mean time until the platform replaces an instance.
        move_time: Expected time to rebuild a replica in another domain.
        horizon: Time over which the costs of repairs are compared.
        grant_patience: Time for which a domain may stay below the target of
            its share before the share is lowered to what it holds.
    """

    epoch_checked: bool = True
    lease_ttl: float = 9.0
    lease_margin: float = 1.0
    renew_interval: float = 3.0
    candidates: int = 2
    order_lifetime: float = 0.5
    observe_interval: float = 0.5
    observe_timeout: float = 0.5
    evidence_ttl: float = 2.0
    sighting_interval: float = 2.0
    drain_settle: float = 3.0
    load_time: float = 60.0
    loads: int = 2
    pause_share: float = 0.7
    pause_time: float = 15.0
    restart_time: float = 60.0
    replace_time: float = 900.0
    move_time: float = 120.0
    horizon: float = 900.0
    grant_patience: float = 20.0
    spares: int = 0


class RequestsSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[requests]``: callers' requests and their keys.

    Attributes:
        entries_ttl: Time for which callers may cache entries' addresses.
        key_period: Length of one period of issued keys.
        key_periods: Number of periods for which a key is valid.
        key_limit: Maximum number of keys per process; further ones are
            refused.
        answer_limit: Maximum size in bytes of an answer kept for a key.
        retry_share: Retries allowed, as a share of requests.
        attempts: Maximum number of attempts of one request.
    """

    entries_ttl: float = 10.0
    entries_count: int = 3
    body_limit: int = 4_194_304
    timeout: float = 60.0
    connect_timeout: float = 0.5
    first_byte_timeout: float = 30.0
    idle_timeout: float = 30.0
    key_period: float = 3600.0
    key_periods: int = 24
    key_limit: int = 100_000
    answer_limit: int = 262_144
    retry_share: float = 0.1
    attempts: int = 3
    queue_limit: int = 256
    queue_time: float = 5.0


class OperatorsSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[operators]``: the key that operators' calls need, empty for none."""

    key: str = ""


class OrganisationSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[organisation NAME]``: an organisation that may send requests.

    Attributes:
        token: Bearer token that identifies the organisation.
        weight: Share of a contended profile, relative to the others.
        rate: Requests per second over all entries, 0 for no limit.
    """

    name: ids.OrganisationName
    token: str
    weight: float = 1.0
    rate: float = 0.0


class ServiceSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[service NAME]``: a plain service behind the system.

    Attributes:
        idempotent: Whether calls to it may be retried.
        concurrency: Maximum number of calls in flight per instance.
        refusals: HTTP statuses that mean that the service did not run
            the call.
    """

    name: ids.ServiceName
    idempotent: bool = True
    refusals: tuple[int, ...] = (429,)
    timeout: float = 10.0
    concurrency: int = 64


class KindSection(msgspec.Struct, frozen=True, kw_only=True):
    """``[kind NAME]``: a kind of request and the value of its answer.

    Attributes:
        weight: Value of one answered request, relative to other kinds.
        deadline: Seconds after which an answer is useless; 0 for the
            timeout in ``[requests]``.
    """

    name: str
    weight: float = 1.0
    deadline: float = 0.0


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of one entry process."""

    node: NodeSection
    platform: PlatformSection
    peers: PeersSection
    replicas: ReplicasSection = ReplicasSection()
    requests: RequestsSection = RequestsSection()
    operators: OperatorsSection = OperatorsSection()
    organisations: tuple[OrganisationSection, ...] = ()
    services: tuple[ServiceSection, ...] = ()
    kinds: tuple[KindSection, ...] = ()


_SECTIONS: dict[str, type[msgspec.Struct]] = {
    "node": NodeSection,
    "platform": PlatformSection,
    "peers": PeersSection,
    "replicas": ReplicasSection,
    "requests": RequestsSection,
    "operators": OperatorsSection,
}
_NAMED_SECTIONS: dict[str, tuple[str, type[msgspec.Struct]]] = {
    "organisation": ("organisations", OrganisationSection),
    "service": ("services", ServiceSection),
    "kind": ("kinds", KindSection),
}
_NAME_KEYS = (("node", "id"), ("node", "datacentre"))
_ADDRESS_KEYS = (("node", "address"), ("node", "peer_address"))
# Last words of the names of keys whose value must not be 0.
_POSITIVE_SUFFIXES = ("interval", "timeout", "ttl", "limit", "time", "period")

SettingsResult = result.Result[Settings, profile.SettingError]


def split_address(text: str) -> tuple[str, int] | None:
    """Return host and port of a ``host:port`` text, None if invalid."""
    host, _, digits = text.rpartition(":")
    port = numbers.parse_count(digits)
    if not host or port is None or port >= _PORT_LIMIT:
        return None
    return host, port


def _check_numbers(
    section: msgspec.Struct, file: str, title: str
) -> profile.SettingError | None:
    for name in section.__struct_fields__:
        value = getattr(section, name)
        if not isinstance(value, int | float) or isinstance(value, bool):
            continue
        must_be_positive = name.rsplit("_", 1)[-1] in _POSITIVE_SUFFIXES
        if value < 0 or (must_be_positive and value == 0):
            message = f"expected a positive number, got {value}"
            return profile.SettingError(file, title, name, message)
    return None


def _check_leases(
    section: ReplicasSection, file: str
) -> profile.SettingError | None:
    """Check that a lease allows two renewals and outlives its orders."""
    if section.renew_interval * 2 > section.lease_ttl - section.lease_margin:
        message = "expected at most half of lease_ttl less lease_margin"
        return profile.SettingError(
            file, "replicas", "renew_interval", message
        )
    if section.order_lifetime >= section.lease_margin:
        message = "expected less than lease_margin"
        return profile.SettingError(
            file, "replicas", "order_lifetime", message
        )
    return None


def _check_settings(
    settings: Settings, file: str
) -> profile.SettingError | None:
    for title, key in _NAME_KEYS:
        text = getattr(getattr(settings, title), key)
        if not profile.is_name(text) or "." in text:
            message = "expected a name of letters, digits, '_' and '-'"
            return profile.SettingError(file, title, key, message)
    for title, key in _ADDRESS_KEYS:
        text = getattr(getattr(settings, title), key)
        if split_address(text) is None:
            message = f"expected HOST:PORT, got {text!r}"
            return profile.SettingError(file, title, key, message)
    if not settings.platform.url.startswith("http://"):
        message = "expected a URL starting with http://"
        return profile.SettingError(file, "platform", "url", message)
    for title in _SECTIONS:
        problem = _check_numbers(getattr(settings, title), file, title)
        if problem is not None:
            return problem
    return _check_leases(settings.replicas, file)


def _read_section(
    parser: configparser.ConfigParser, title: str, file: str
) -> result.Result[msgspec.Struct, profile.SettingError]:
    prefix, _, name = title.partition(" ")
    if prefix in _SECTIONS and not name:
        return profile.read_fields(
            _SECTIONS[prefix], parser[title], file, title
        )
    if prefix in _NAMED_SECTIONS and name.strip():
        _, kind = _NAMED_SECTIONS[prefix]
        extra = {"name": name.strip()}
        return profile.read_fields(kind, parser[title], file, title, extra)
    known = [*_SECTIONS, *(f"{prefix} NAME" for prefix in _NAMED_SECTIONS)]
    message = f"unknown section; expected one of {', '.join(known)}"
    return result.Err(profile.SettingError(file, title, "", message))


def parse_settings(text: str, file: str) -> SettingsResult:
    """Return the settings of an INI text."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = str(error).replace("\n", " ")
        return result.Err(profile.SettingError(file, "", "", line))
    values: dict[str, typing.Any] = {}
    for title in parser.sections():
        outcome = _read_section(parser, title, file)
        if isinstance(outcome, result.Err):
            return outcome
        prefix = title.split(" ", 1)[0]
        if prefix in _NAMED_SECTIONS:
            field = _NAMED_SECTIONS[prefix][0]
            values[field] = (*values.get(field, ()), outcome.ok_value)
        else:
            values[prefix] = outcome.ok_value
    for title in ("node", "platform", "peers"):
        if title not in values:
            message = "this section is missing"
            error = profile.SettingError(file, title, "", message)
            return result.Err(error)
    settings = Settings(**values)
    problem = _check_settings(settings, file)
    return result.Err(problem) if problem else result.Ok(settings)

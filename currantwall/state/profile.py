"""Profiles, which operators edit.

A profile sets the class of service, the model, and the capacity that it
may hold. Its text form is INI, with one section per profile; its stored
form is the `Profile` struct.
"""

from collections import abc
import configparser
import enum
import re
import typing

import msgspec
import result

from currantwall.state import ids

__all__ = [
    "Profile",
    "ServiceClass",
    "SettingError",
    "format_profile",
    "is_name",
    "parse_profiles",
    "read_fields",
]

Value = typing.TypeVar("Value")
_NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")


class ServiceClass(enum.Enum):
    """Class of service; earlier classes are placed and served first."""

    CRITICAL = "critical"
    STANDARD = "standard"
    BATCH = "batch"

    @property
    def order(self) -> int:
        """Return the rank of the class, 0 for the most urgent."""
        return list(ServiceClass).index(self)


class Profile(msgspec.Struct, frozen=True, kw_only=True):
    """One profile.

    Attributes:
        capacity: Maximum number of accelerators the profile may hold.
        replicas: Desired number of replicas.
        replica_size: Number of instances of each replica.
        downtime_weight: Cost of one replica-second without service.
        stranded_weight: Cost of one accelerator-second held by no
            serving replica.
        concurrency: Maximum number of requests in flight per replica.
        price: Cost of one accelerator hour, for the forecast.
    """

    name: ids.ProfileName
    model: str
    model_version: str = "1"
    adapters: tuple[str, ...] = ()
    service_class: ServiceClass = ServiceClass.STANDARD
    replicas: int = 1
    replica_size: int = 1
    capacity: int = 1
    concurrency: int = 16
    downtime_weight: float = 1.0
    stranded_weight: float = 1.0
    price: float = 0.0


class SettingError(msgspec.Struct, frozen=True):
    """An error in an INI file, with its place and what is wrong."""

    file: str
    section: str
    key: str
    message: str

    def __str__(self) -> str:
        location = f"[{self.section}] {self.key}".strip()
        if not self.section:
            return f"{self.file}: {self.message}"
        return f"{self.file}: {location}: {self.message}"


# -- Reading one INI section into a struct

_TYPE_DESCRIPTIONS: dict[typing.Any, str] = {
    int: "a whole number",
    float: "a number",
    tuple[int, ...]: "whole numbers separated by commas",
}


def _split_list(text: str) -> list[str]:
    return [part.strip() for part in text.split(",") if part.strip()]


def _convert(text: str, kind: typing.Any) -> typing.Any:
    """Return an INI text converted to the type of a field."""
    if typing.get_origin(kind) is tuple:
        return msgspec.convert(_split_list(text), kind, strict=False)
    if kind is bool:
        states = configparser.ConfigParser.BOOLEAN_STATES
        return msgspec.convert(states.get(text.strip().lower()), bool)
    return msgspec.convert(text.strip(), kind, strict=False)


def _describe(kind: typing.Any, error: Exception) -> str:
    """Return what a field of this type accepts, for an error message."""
    if isinstance(kind, enum.EnumMeta):
        values = ", ".join(str(member.value) for member in kind)
        return f"one of {values}"
    if kind is bool:
        return "yes or no"
    return _TYPE_DESCRIPTIONS.get(kind, str(error))


def read_fields(
    kind: type[Value],
    section: abc.Mapping[str, str],
    file: str,
    title: str,
    extra: abc.Mapping[str, object] | None = None,
) -> result.Result[Value, SettingError]:
    """Return a struct read from an INI section.

    Args:
        kind: The msgspec struct to fill.
        section: Keys of the section and their texts.
        file: Name of the file, for errors.
        title: Name of the section, for errors.
        extra: Values of fields that are not keys of the section.
    """
    hints = typing.get_type_hints(kind)
    values: dict[str, object] = dict(extra or {})
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    known = sorted(name for name in fields if name not in values)
    for key, text in section.items():
        if key not in known:
            message = f"unknown key; expected one of {', '.join(known)}"
            return result.Err(SettingError(file, title, key, message))
        try:
            values[key] = _convert(text, hints[key])
        except msgspec.ValidationError as error:
            message = f"expected {_describe(hints[key], error)}, got {text!r}"
            return result.Err(SettingError(file, title, key, message))
    for name, field in fields.items():
        if field.required and name not in values:
            message = "this key is missing"
            return result.Err(SettingError(file, title, name, message))
    return result.Ok(kind(**values))


def is_name(text: str) -> bool:
    """Return whether a text is a valid object name, usable in a URL."""
    return bool(_NAME_PATTERN.fullmatch(text))


# -- Profiles as INI


_PREFIX = "profile "
_MINIMUMS = {
    "replicas": 0,
    "replica_size": 1,
    "capacity": 0,
    "concurrency": 1,
    "downtime_weight": 0,
    "stranded_weight": 0,
    "price": 0,
}


def _check_minimums(
    profile: Profile, file: str, title: str
) -> SettingError | None:
    for key, minimum in _MINIMUMS.items():
        value = getattr(profile, key)
        if value < minimum:
            message = f"expected at least {minimum}, got {value}"
            return SettingError(file, title, key, message)
    return None


def _read_profile(
    parser: configparser.ConfigParser, title: str, file: str
) -> result.Result[Profile, SettingError]:
    if not title.startswith(_PREFIX) or not title[len(_PREFIX) :].strip():
        message = "expected sections named [profile NAME]"
        return result.Err(SettingError(file, title, "", message))
    name = title[len(_PREFIX) :].strip()
    if not is_name(name):
        message = "expected a name of letters, digits, '.', '_' and '-'"
        return result.Err(SettingError(file, title, "", message))
    outcome = read_fields(Profile, parser[title], file, title, {"name": name})
    if isinstance(outcome, result.Ok):
        problem = _check_minimums(outcome.ok_value, file, title)
        if problem is not None:
            return result.Err(problem)
    return outcome


def parse_profiles(
    text: str, file: str
) -> result.Result[list[Profile], SettingError]:
    """Return the profiles of an INI text, in its order."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, file)
    except configparser.Error as error:
        line = str(error).replace("\n", " ")
        return result.Err(SettingError(file, "", "", line))
    profiles = []
    for title in parser.sections():
        outcome = _read_profile(parser, title, file)
        if isinstance(outcome, result.Err):
            return outcome
        profiles.append(outcome.ok_value)
    if not profiles:
        message = "expected at least one section named [profile NAME]"
        return result.Err(SettingError(file, "", "", message))
    return result.Ok(profiles)


def _format_value(value: object) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, tuple):
        return ", ".join(value)
    return str(value)


def format_profile(profile: Profile) -> str:
    """Return the INI text of a profile."""
    lines = [f"[{_PREFIX}{profile.name}]"]
    for field in msgspec.structs.fields(profile):
        if field.name == "name":
            continue
        text = _format_value(getattr(profile, field.name))
        lines.append(f"{field.name} = {text}".rstrip())
    return "\n".join(lines) + "\n"

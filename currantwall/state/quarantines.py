"""What nodes tell each other of prompt parts that crash upstreams."""

import msgspec

from currantwall.state import ids

__all__ = ["CrashReport", "PartReports", "QuarantineReport", "Prompt"]


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """The parts of a request's prompt.

    Attributes:
        owner: Id of the last part, which only the request and its repeats
            have.
        parts: The other parts, in order, which requests may share.
    """

    owner: str
    parts: tuple[ids.PartId, ...]


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream, as one node saw it.

    Attributes:
        upstream: The upstream.
        age: Seconds since the crash.
        suspects: Prompts of the node's requests that the upstream had just
            begun.
    """

    upstream: ids.InstanceId
    age: float
    suspects: tuple[Prompt, ...]


class QuarantineReport(msgspec.Struct, frozen=True, array_like=True):
    """A part that is kept from upstreams.

    Attributes:
        crash_age: Seconds since the last crash that it caused.
        remaining: Seconds until a request with it may be tried; negative
            if one may be tried now.
        trials: Number of requests that were tried.
    """

    crash_age: float
    remaining: float
    trials: int


class PartReports(msgspec.Struct, frozen=True, omit_defaults=True):
    """All that a node reports of prompt parts.

    Attributes:
        crashes: Recent crashes.
        quarantined: Parts that are kept from upstreams.
        survived: Seconds since an upstream survived a request with a part,
            for parts that others suspect.
    """

    crashes: tuple[CrashReport, ...] = ()
    quarantined: dict[ids.PartId, QuarantineReport] = {}
    survived: dict[ids.PartId, float] = {}

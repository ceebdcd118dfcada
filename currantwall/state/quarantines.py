"""What nodes tell each other of requests that crash upstreams.

Parts of prompts and fingerprints of whole requests are told alike.
"""

from collections import abc

import msgspec

from currantwall.state import ids

__all__ = [
    "CrashReport",
    "MAX_QUARANTINED",
    "MAX_REPORTED",
    "MAX_REPORTED_SUSPECTS",
    "NOTHING",
    "PartReports",
    "Prompt",
    "QuarantineReport",
    "SAME_MOMENT",
    "choose_crashes",
    "merge_reports",
]

# Crashes within so many seconds of each other count once: a loss of power
# ends many upstreams at the same moment.
SAME_MOMENT = 0.1
# Most quarantined parts; a full set takes 2 KB of each heartbeat.
MAX_QUARANTINED = 64
# Most crashes, crashes of one moment, suspects of a crash, and survivals in
# one report. Of many upstreams that end together a few tell as much as all.
MAX_REPORTED = 16
_MAX_REPORTED_TOGETHER = 3
MAX_REPORTED_SUSPECTS = 32


class Prompt(msgspec.Struct, frozen=True, array_like=True):
    """The parts of a request's prompt.

    Attributes:
        owner: Id of the last part, which only the request and its repeats
            have.
        parts: The other parts, in order, which requests may share.
        fingerprint: Stands for the whole request. All its repeats have it,
            whichever caller, attempt id or node they come by; empty if it
            is not known.
    """

    owner: str
    parts: tuple[ids.PartId, ...]
    fingerprint: ids.PartId = ids.PartId("")

    @property
    def causes(self) -> tuple[ids.PartId, ...]:
        """Return all that may be the cause of a crash."""
        if not self.fingerprint:
            return self.parts
        return (*self.parts, self.fingerprint)

    @property
    def whole(self) -> "Prompt":
        """Return the request as a suspect of which no part is one."""
        return Prompt("", (), self.fingerprint)


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream, as one node saw it.

    Attributes:
        upstream: The upstream.
        age: Seconds since the crash.
        suspects: Prompts of the node's requests that the upstream had just
            begun.
        born: Start of the process that crashed, in Unix milliseconds; 0 if
            unknown.
        repeated: Fingerprints of suspects that the node had sent again after
            an earlier attempt had failed.
    """

    upstream: ids.InstanceId
    age: float
    suspects: tuple[Prompt, ...]
    born: int = 0
    repeated: tuple[ids.PartId, ...] = ()


class QuarantineReport(msgspec.Struct, frozen=True, array_like=True):
    """A part that is kept from upstreams.

    Attributes:
        crash_age: Seconds since the last crash that it caused.
        remaining: Seconds until a request with it may be tried; negative
            if one may be tried now.
        trials: Number of requests that were tried.
        unreached: Number of these that reached no upstream.
    """

    crash_age: float
    remaining: float
    trials: int
    unreached: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return a key that is greater for a newer report of a part."""
        return self.trials, self.unreached


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


NOTHING = PartReports()


def merge_reports(
    known: PartReports | None,
    added: PartReports | None,
    age: float,
) -> PartReports | None:
    """Return the reports of several nodes as one.

    Args:
        known: The reports so far.
        added: The reports of another node.
        age: Seconds since these were received.
    """
    if added is None:
        return known
    known = known or NOTHING
    crashes = {crash.upstream: crash for crash in known.crashes}
    for crash in added.crashes:
        first = crashes.get(crash.upstream)
        suspects = dict.fromkeys(first.suspects if first else ())
        suspects |= dict.fromkeys(crash.suspects)
        repeated = dict.fromkeys(first.repeated if first else ())
        repeated |= dict.fromkeys(crash.repeated)
        crashes[crash.upstream] = CrashReport(
            crash.upstream,
            crash.age + age,
            tuple(suspects)[:MAX_REPORTED_SUSPECTS],
            crash.born,
            tuple(repeated)[:MAX_REPORTED_SUSPECTS],
        )
    quarantined = dict(known.quarantined)
    for part, report in added.quarantined.items():
        aged = QuarantineReport(
            report.crash_age + age,
            report.remaining - age,
            report.trials,
            report.unreached,
        )
        other = quarantined.get(part)
        if other is None or aged.order > other.order:
            quarantined[part] = aged
    survived = {
        part: survival_age + age
        for part, survival_age in added.survived.items()
    }
    for part, survival_age in known.survived.items():
        survived[part] = min(survival_age, survived.get(part, survival_age))
    return PartReports(
        choose_crashes(crashes.values()),
        dict(list(quarantined.items())[:MAX_QUARANTINED]),
        dict(list(survived.items())[:MAX_REPORTED]),
    )


def choose_crashes(
    crashes: abc.Iterable[CrashReport],
) -> tuple[CrashReport, ...]:
    """Return the newest crashes, and not too many of any moment."""
    chosen: list[CrashReport] = []
    for crash in sorted(crashes, key=lambda one: one.age):
        earlier = chosen[-_MAX_REPORTED_TOGETHER:]
        is_crowded = len(earlier) == _MAX_REPORTED_TOGETHER and (
            crash.age - earlier[0].age <= SAME_MOMENT
        )
        if not is_crowded and len(chosen) < MAX_REPORTED:
            chosen.append(crash)
    return tuple(chosen)

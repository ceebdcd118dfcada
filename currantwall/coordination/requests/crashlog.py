"""Crashes of upstreams, their suspects, and the evidence against them.

Suspects of a crash are the requests that the upstream had in progress, and the
parts of the prompts of those that it had just begun. A part is the likelier
cause the more of what `Rank` lists speaks against it; the crashes since its
last survival are counted. The fingerprint of a whole request counts as a part
that is in its repeats alone.
"""

from collections import abc
import math
import typing

import msgspec

from currantwall.state import ids
from currantwall.state import quarantines

__all__ = ["CRASHES", "SAME_CRASH", "Crash", "CrashLog", "Evidence", "Rank"]

PartId = ids.PartId

# Crashes without a survival in between after which a part is quarantined
# that is a likely cause, and after which any other is. A likely cause is new:
# no upstream has survived it yet. Its suspects are not all repeats of one
# request, since those follow the request that crashes upstreams from one to
# the next. It is the last shared part of a prompt; earlier ones are in more
# requests, and blaming them wrongly does the most harm. For a whole request
# it is enough to be new: blaming it wrongly harms nothing but its repeats.
CRASHES = 3
_CRASHES_OF_OTHERS = 5
_OWNERS = 2
# Reports within so many seconds of each other are about the same crash of
# an upstream; it takes longer to start again.
SAME_CRASH = 1.5
# Seconds for which crashes are remembered, and the most that are.
_CRASH_TTL = 600.0
_MAX_CRASHES = 512
# Most suspects of one crash that are remembered.
_MAX_SUSPECTS = 64
# Most parts whose last survival is remembered.
_MAX_SURVIVALS = 4096


class Crash:
    """One crash of an upstream and its suspects."""

    def __init__(self, upstream: ids.InstanceId, born: int, at: float) -> None:
        self.upstream = upstream
        # Start of its process, in Unix milliseconds; 0 if unknown.
        self.born = born
        self.at = at
        # Whether the upstream has answered since, as another process.
        self.is_over = False
        self.suspects: dict[quarantines.Prompt, None] = {}
        # By part: owners of the suspects with it, and the largest number
        # of shared parts that follow it in their prompts.
        self.owners: dict[PartId, set[str]] = {}
        self.followers: dict[PartId, int] = {}
        # The fingerprints among the parts, and those of requests that were
        # sent again after an earlier attempt had failed.
        self.fingerprints: set[PartId] = set()
        self.repeated: set[PartId] = set()

    def add(
        self,
        suspects: abc.Iterable[quarantines.Prompt],
        repeated: abc.Iterable[PartId] = (),
    ) -> list[PartId]:
        """Add suspects; return the parts of those that are new.

        Args:
            suspects: The suspects.
            repeated: Fingerprints of those that were sent again.
        """
        self.repeated.update(repeated)
        added: list[PartId] = []
        for suspect in suspects:
            if suspect in self.suspects or (
                len(self.suspects) >= _MAX_SUSPECTS
            ):
                continue
            self.suspects[suspect] = None
            for count, part in enumerate(reversed(suspect.parts)):
                self._add_part(part, suspect.owner, count)
                added.append(part)
            if suspect.fingerprint:
                self.fingerprints.add(suspect.fingerprint)
                self._add_part(suspect.fingerprint, suspect.owner, 0)
                added.append(suspect.fingerprint)
        return added

    def _add_part(self, part: PartId, owner: str, followers: int) -> None:
        self.owners.setdefault(part, set()).add(owner)
        most = self.followers.get(part, followers)
        self.followers[part] = max(most, followers)


class Rank(typing.NamedTuple):
    """A key that is greater for a likelier cause.

    Attributes:
        is_new: Whether no upstream has survived the part.
        has_owners: Whether several different requests had it.
        followers: Minus the number of shared parts that follow the part. Of
            two parts that are always together, the later one is in fewer
            other requests.
    """

    is_new: bool
    has_owners: bool
    followers: int

    @property
    def is_likely(self) -> bool:
        """Return whether a few crashes are enough."""
        return self.is_new and self.has_owners and not self.followers


class Evidence(msgspec.Struct, frozen=True):
    """The crashes that speak against a part.

    Attributes:
        moments: Number of crashes that did not happen together.
        rank: How likely the part is their cause.
        is_request: Whether the part is the fingerprint of a whole request.
    """

    moments: int
    rank: Rank
    is_request: bool = False

    @property
    def is_strong(self) -> bool:
        """Return whether a few crashes are enough."""
        if self.is_request:
            return self.rank.is_new
        return self.rank.is_likely

    @property
    def is_sufficient(self) -> bool:
        """Return whether the part is to be quarantined."""
        needed = CRASHES if self.is_strong else _CRASHES_OF_OTHERS
        return self.moments >= needed


class CrashLog:
    """The remembered crashes, and when upstreams last survived each part.

    All times are monotonic, in seconds.
    """

    def __init__(self) -> None:
        # All crashes, the last one of each upstream, and those with suspects
        # that have a part. The values of the first and third are unused.
        self._crashes: dict[Crash, None] = {}
        self._last_crashes: dict[ids.InstanceId, Crash] = {}
        self._by_part: dict[PartId, dict[Crash, None]] = {}
        self._survivals: dict[PartId, float] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    # -- Crashes

    def note_crash(
        self,
        upstream: ids.InstanceId,
        born: int,
        at: float,
        suspects: abc.Iterable[quarantines.Prompt],
        repeated: abc.Iterable[PartId] = (),
    ) -> tuple[float, list[PartId]]:
        """Record a crash, or further suspects of a known one.

        Args:
            upstream: The upstream.
            born: Start of its process, in Unix milliseconds; 0 if unknown.
            at: When it crashed.
            suspects: Its suspects.
            repeated: Fingerprints of those that were sent again.

        Returns:
            When the crash was first seen, and the parts of the suspects
            that are new; none for a late report of an earlier crash, and
            for requests that were sent to a process that had crashed.
        """
        crash = self._last_crashes.get(upstream)
        if crash is None or at - crash.at > SAME_CRASH:
            if self.has_ended(upstream, born, at):
                return at, []
            crash = self._add_crash(upstream, born, at)
        elif crash.at - at > SAME_CRASH:
            return at, []
        added = crash.add(suspects, repeated)
        for part in added:
            self._by_part.setdefault(part, {})[crash] = None
        return crash.at, added

    def has_ended(
        self, upstream: ids.InstanceId, born: int, at: float
    ) -> bool:
        """Return whether a process had crashed some time ago.

        Failure: an upstream stays away, requests that are sent there are
        broken off, and their parts are blamed for one crash after the other.

        Args:
            upstream: The upstream.
            born: Start of its process, in Unix milliseconds; 0 if unknown.
            at: When a request was broken off.
        """
        crash = self._last_crashes.get(upstream)
        if crash is None or not born or crash.born != born:
            return False
        return at - crash.at > SAME_CRASH and not crash.is_over

    def note_answer(self, upstream: ids.InstanceId, at: float) -> None:
        """Record that an upstream has sent a part of an answer."""
        crash = self._last_crashes.get(upstream)
        if crash is not None and at - crash.at > SAME_CRASH:
            crash.is_over = True

    def find_start(self, upstream: ids.InstanceId, born: int) -> int:
        """Return the start of a process as far as it is known.

        Failure: an upstream starts again and crashes again before the list
        has its new start, and the second crash counts as the first.

        Args:
            upstream: The upstream.
            born: Its start as listed, in Unix milliseconds.

        Returns:
            The start; 0 if a process with that start has ended and another
            one has answered since.
        """
        crash = self._last_crashes.get(upstream)
        if crash is None or crash.born != born or not crash.is_over:
            return born
        return 0

    def _add_crash(
        self, upstream: ids.InstanceId, born: int, at: float
    ) -> Crash:
        while len(self._crashes) >= _MAX_CRASHES:
            self._forget_crash(next(iter(self._crashes)))
        crash = self._last_crashes[upstream] = Crash(upstream, born, at)
        self._crashes[crash] = None
        return crash

    def _forget_crash(self, crash: Crash) -> None:
        del self._crashes[crash]
        if self._last_crashes.get(crash.upstream) is crash:
            del self._last_crashes[crash.upstream]
        for part in crash.owners:
            with_part = self._by_part[part]
            del with_part[crash]
            if not with_part:
                del self._by_part[part]

    def count(self, part: PartId) -> int:
        """Return the number of crashes with suspects that have a part."""
        return len(self._by_part.get(part, {}))

    def get_last_crash(self, part: PartId) -> float:
        """Return when the last crash was whose suspects have a part."""
        return max(crash.at for crash in self._by_part[part])

    def expire(self, now: float) -> None:
        """Remove crashes that are too old to matter."""
        for crash in list(self._crashes):
            if now - crash.at > _CRASH_TTL:
                self._forget_crash(crash)

    # -- Survivals

    def note_survival(self, part: PartId, at: float) -> float:
        """Record a survival; return when the last one of the part was."""
        at = max(at, self._survivals.pop(part, at))
        self._survivals[part] = at
        while len(self._survivals) > _MAX_SURVIVALS:
            del self._survivals[next(iter(self._survivals))]
        return at

    def find_survival(self, part: PartId) -> float:
        """Return when an upstream last survived a part; 0 if none is known."""
        return self._survivals.get(part, 0.0)

    # -- Evidence

    def weigh(
        self, part: PartId, quarantined: abc.Iterable[PartId]
    ) -> Evidence:
        """Return the evidence against a part since its last survival.

        A crash is explained by another part that is quarantined, unless
        that is the less likely cause. One request does not explain what
        speaks against another: either may be the cause.

        Args:
            part: The part.
            quarantined: The quarantined parts.
        """
        survival = self.find_survival(part)
        rank = self.rank(part)
        is_request = self.is_request(part)
        causes = {
            other
            for other in quarantined
            if other != part
            and self.rank(other) >= rank
            and not (is_request and self.is_request(other))
        }
        crashes = [
            crash
            for crash in self._by_part.get(part, {})
            if crash.at > survival and causes.isdisjoint(crash.owners)
        ]
        moments = _count_moments(
            crash.at for crash in crashes if part not in crash.repeated
        )
        # An attempt that was sent again after a crash is no part of the same
        # moment, however soon it crashes the next upstream.
        moments += sum(part in crash.repeated for crash in crashes)
        return Evidence(moments, rank, is_request)

    def is_request(self, part: PartId) -> bool:
        """Return whether a part is the fingerprint of a whole request."""
        return any(
            part in crash.fingerprints for crash in self._by_part.get(part, {})
        )

    def is_explained_by(self, part: PartId, cause: PartId) -> bool:
        """Return whether another part is the likelier cause of all crashes.

        The crashes that are the evidence against a part, that is.
        """
        survival = self.find_survival(part)
        crashes = [
            crash
            for crash in self._by_part.get(part, {})
            if crash.at > survival
        ]
        if not all(cause in crash.owners for crash in crashes):
            return False
        return bool(crashes) and self.rank(cause) > self.rank(part)

    def rank(self, part: PartId) -> Rank:
        """Return how likely a part is the cause of its crashes."""
        crashes = self._by_part.get(part, {})
        owners = {owner for crash in crashes for owner in crash.owners[part]}
        return Rank(
            not self.find_survival(part),
            len(owners) >= _OWNERS,
            -max((crash.followers[part] for crash in crashes), default=0),
        )


def _count_moments(times: abc.Iterable[float]) -> int:
    """Return the number of times, those within a moment counted once."""
    count = 0
    last = -math.inf
    for at in sorted(times):
        if at - last > quarantines.SAME_MOMENT:
            count += 1
            last = at
    return count

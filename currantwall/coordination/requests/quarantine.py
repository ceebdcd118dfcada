"""Keeps requests that crash upstreams away from them.

Failure: one part of a prompt crashes each upstream that begins to answer
it. Callers send ever new requests with that part to all nodes, each of
them is repeated at another upstream, and one replica ends after the other.

An upstream that crashes takes all its requests with it, so a single crash
does not tell which of them caused it. Suspects are the requests that it had
just begun. A part is quarantined once it was among the suspects of several
crashes with no survival in between: a request with that part which an
upstream went on answering, or answered whole, clears it. Most parts of a
suspect are shared with requests that survive all the time.

Callers also repeat one and the same request, with other attempt ids. The
fingerprint of a whole request counts as a part that only its repeats have. A
request is a suspect until it has been answered whole, since a crash may come
at any time in its answer.

Each node decides by itself, from the crashes and the survivals that all
nodes report. Reports are idempotent, so they may come late, twice and in
any order.
"""

from collections import abc
import typing

import msgspec

from currantwall.coordination.requests import crashlog
from currantwall.state import ids
from currantwall.state import quarantines

__all__ = ["Exposure", "Quarantine"]

PartId = ids.PartId

# Seconds after its first event from which a request is no suspect of a
# crash. Upstreams crash within 0.2 s of the first event.
_SURVIVAL_SECONDS = 0.5
# Seconds between two records of the survival of one request.
_SURVIVAL_INTERVAL = 0.2
# Seconds until a request with a quarantined part is tried. Each trial that
# reaches an upstream and does not clear the part doubles them. The first
# trial of a part that many other requests may share comes early, as does the
# one after a trial that reached no upstream.
_FIRST_TRIAL_DELAY = 60.0
_EARLY_TRIAL_DELAY = 10.0
_MAX_TRIAL_DELAY = 3600.0
# Seconds after which a part is forgotten that could have been tried.
_FORGET_SECONDS = 3600.0
# Seconds for which a crash or a survival is reported.
_REPORT_SECONDS = 2.0
# Seconds for which the list may lack the start of a process that has crashed.
_UNLISTED_SECONDS = 3.0


class Exposure(msgspec.Struct, kw_only=True, eq=False):
    """One attempt, and whether its upstream survived it.

    Attributes:
        upstream: The upstream.
        born: Start of its process, in Unix milliseconds; 0 if unknown.
        prompt: The prompt of its request.
        begun_at: Monotonic time of the first event; None before.
        last_at: Monotonic time of the last event.
        noted_at: Monotonic time at which its survival was last recorded.
        is_answered: Whether the answer is complete.
        is_repeat: Whether an earlier attempt of its request has failed.
        trials: The quarantined parts that it tries, and the number of the
            trial of each.
    """

    upstream: ids.InstanceId
    prompt: quarantines.Prompt
    born: int = 0
    begun_at: float | None = None
    last_at: float = 0.0
    noted_at: float = 0.0
    is_answered: bool = False
    is_repeat: bool = False
    trials: dict[PartId, int] = {}

    @property
    def has_survived(self) -> bool:
        """Return whether the upstream went on with the answer."""
        begun_at = self.begun_at
        return (
            begun_at is not None
            and self.last_at - begun_at >= _SURVIVAL_SECONDS
        )


class _Verdict:
    """A quarantined part."""

    def __init__(
        self, crashed_at: float, trials: int, next_trial: float
    ) -> None:
        self.crashed_at = crashed_at
        self.trials = trials
        # Number of trials that reached no upstream.
        self.unreached = 0
        # Monotonic time from which a request may be tried.
        self.next_trial = next_trial

    @property
    def reached(self) -> int:
        """Return the number of trials that reached an upstream."""
        return self.trials - self.unreached


class _UnlistedCrash(typing.NamedTuple):
    """A crash of a process whose start the list may not have yet."""

    exposure: Exposure
    at: float
    suspects: tuple[quarantines.Prompt, ...]


class Quarantine:
    """The parts that are kept from upstreams, and the evidence for it.

    All times are monotonic, in seconds.

    Attributes:
        on_quarantined: Called with each part that is quarantined.
        on_cleared: Called with each part that is no longer quarantined.
    """

    def __init__(self) -> None:
        self._exposures: dict[int, Exposure] = {}
        self._crashes = crashlog.CrashLog()
        self._verdicts: dict[PartId, _Verdict] = {}
        # What this node has seen itself and reports, and until when.
        self._own_crashes: dict[
            ids.InstanceId, tuple[float, crashlog.Crash]
        ] = {}
        self._refuted: dict[PartId, float] = {}
        self._unlisted_crashes: dict[ids.InstanceId, list[_UnlistedCrash]] = {}
        self.on_quarantined: abc.Callable[[PartId], None] = _ignore
        self.on_cleared: abc.Callable[[PartId], None] = _ignore

    # -- Requests

    def find_retry_after(
        self, parts: abc.Iterable[PartId], now: float
    ) -> float | None:
        """Return the seconds until a request with these parts may be tried.

        Returns:
            None if it may be sent now.
        """
        delays = [
            self._verdicts[part].next_trial - now
            for part in parts
            if part in self._verdicts
        ]
        longest = max(delays, default=0.0)
        return longest if longest > 0 else None

    def expose(
        self,
        upstream: ids.InstanceId,
        prompt: quarantines.Prompt,
        now: float,
        born: int = 0,
        is_repeat: bool = False,
    ) -> Exposure:
        """Record an attempt that is being sent.

        One with a quarantined part is a trial, which all nodes wait for.

        Args:
            upstream: The upstream.
            prompt: The prompt of the request.
            now: The present time.
            born: Start of the upstream's process, in Unix milliseconds; 0
                if unknown.
            is_repeat: Whether an earlier attempt of the request has failed.
        """
        exposure = Exposure(
            upstream=upstream, prompt=prompt, born=born, is_repeat=is_repeat
        )
        self._exposures[id(exposure)] = exposure
        for part in prompt.causes:
            verdict = self._verdicts.get(part)
            if verdict is not None:
                verdict.trials += 1
                exposure.trials[part] = verdict.trials
                delay = _get_trial_delay(verdict.reached)
                verdict.next_trial = now + delay
        return exposure

    def note_unreached(self, exposure: Exposure, now: float) -> None:
        """Record that an attempt has not run at its upstream.

        Failure: a trial that reaches no upstream proves nothing, and the
        next one comes only after twice the time.
        """
        for part, number in exposure.trials.items():
            verdict = self._verdicts.get(part)
            if verdict is not None and verdict.trials == number:
                verdict.unreached += 1
                verdict.next_trial = now + _EARLY_TRIAL_DELAY

    def note_event(self, exposure: Exposure, now: float) -> None:
        """Record that an event of the answer has arrived."""
        if exposure.begun_at is None:
            exposure.begun_at = now
        exposure.last_at = now
        self._crashes.note_answer(exposure.upstream, now)
        if (
            exposure.has_survived
            and now - exposure.noted_at >= _SURVIVAL_INTERVAL
        ):
            exposure.noted_at = now
            self._note_survivals(exposure, now)

    def end(self, exposure: Exposure, is_answered: bool) -> None:
        """Record the end of an attempt.

        Args:
            exposure: The attempt.
            is_answered: Whether its answer is known to be complete.
        """
        exposure.is_answered = is_answered
        if exposure.has_survived:
            self._note_survivals(exposure, exposure.last_at)
            if is_answered:
                self._note_whole(exposure)
        is_settled = exposure.has_survived or exposure.begun_at is None
        if is_settled or not is_answered:
            self._exposures.pop(id(exposure), None)

    def is_suspected(self, parts: abc.Iterable[PartId]) -> bool:
        """Return whether one more crash may have a part quarantined."""
        return any(
            self._weigh(part).moments >= crashlog.CRASHES - 1 for part in parts
        )

    # -- Crashes and survivals

    def note_own_crash(
        self, exposure: Exposure, at: float, now: float
    ) -> None:
        """Record that the upstream of one of this node's attempts crashed.

        Args:
            exposure: The attempt.
            at: When it was broken off.
            now: The present time.
        """
        prompt = exposure.prompt
        suspects = (prompt.whole if exposure.has_survived else prompt,)
        upstream = exposure.upstream
        for key, other in list(self._exposures.items()):
            # Answered whole just before the crash, which proves nothing.
            if other.upstream == upstream and other.is_answered:
                del self._exposures[key]
        born = self._crashes.find_start(upstream, exposure.born)
        if not self._crashes.has_ended(upstream, born, at):
            self._add_own_crash(exposure, born, at, suspects, now)
            return
        unlisted = self._unlisted_crashes.setdefault(upstream, [])
        unlisted.append(_UnlistedCrash(exposure, at, suspects))

    def note_start(
        self, upstream: ids.InstanceId, born: int, started: float, now: float
    ) -> bool:
        """Record the start of a process that the list has now.

        Failure: an upstream starts again and crashes again before the list
        has its new start, and the second crash counts as the first.

        Args:
            upstream: The upstream.
            born: Start of its process, in Unix milliseconds.
            started: The same as a monotonic time.
            now: The present time.

        Returns:
            Whether a crash was of that process.
        """
        found = [
            crash
            for crash in self._unlisted_crashes.pop(upstream, ())
            if crash.exposure.born != born
            and started < crash.at
            and now - crash.at < _UNLISTED_SECONDS
        ]
        for crash in found:
            self._add_own_crash(
                crash.exposure, born, crash.at, crash.suspects, now
            )
        return bool(found)

    def note_own_loss(self, exposure: Exposure, now: float) -> None:
        """Record that the replica of an attempt lost a member meanwhile.

        It may have been any member, for any cause: the whole request is a
        suspect, and no part of its prompt.
        """
        if exposure.prompt.fingerprint:
            suspects = (exposure.prompt.whole,)
            self._add_own_crash(exposure, 0, now, suspects, now)

    def _add_own_crash(
        self,
        exposure: Exposure,
        born: int,
        at: float,
        suspects: tuple[quarantines.Prompt, ...],
        now: float,
    ) -> None:
        upstream = exposure.upstream
        is_repeat = exposure.is_repeat
        repeated = (exposure.prompt.fingerprint,) if is_repeat else ()
        new = crashlog.Crash(upstream, born, at)
        _, own = self._own_crashes.get(upstream, (0.0, new))
        if abs(own.at - at) > crashlog.SAME_CRASH:
            own = new
        own.add(suspects, repeated)
        self._own_crashes[upstream] = now + _REPORT_SECONDS, own
        crash = self._crashes.note_crash(
            upstream, born, at, suspects, repeated
        )
        self._judge_crash(*crash, now)

    def _judge_crash(
        self, crashed_at: float, added: list[PartId], now: float
    ) -> None:
        """Judge the parts of the suspects that were added to a crash."""
        for part in added:
            verdict = self._verdicts.get(part)
            if verdict is not None:
                verdict.crashed_at = max(verdict.crashed_at, crashed_at)
        self._refute(added, now)
        self._judge(added, now)

    def _note_survivals(self, exposure: Exposure, at: float) -> None:
        for part in exposure.prompt.parts:
            self._note_survival(part, at)

    def _note_whole(self, exposure: Exposure) -> None:
        """Record that an upstream has answered a suspect whole."""
        fingerprint = exposure.prompt.fingerprint
        if self._crashes.count(fingerprint) or fingerprint in self._verdicts:
            self._note_survival(fingerprint, exposure.last_at)

    def _note_survival(self, part: PartId, at: float) -> None:
        at = self._crashes.note_survival(part, at)
        verdict = self._verdicts.get(part)
        if verdict is not None and at > verdict.crashed_at:
            self._refuted[part] = at + _REPORT_SECONDS
            del self._verdicts[part]
            self.on_cleared(part)

    def _refute(self, parts: abc.Iterable[PartId], now: float) -> None:
        """Report the survival of parts that others may quarantine."""
        for part in parts:
            is_suspected = self._crashes.count(part) >= crashlog.CRASHES - 1
            if is_suspected and self._crashes.find_survival(part):
                self._refuted[part] = now + _REPORT_SECONDS

    # -- Verdicts

    def _weigh(self, part: PartId) -> crashlog.Evidence:
        return self._crashes.weigh(part, self._verdicts)

    def _judge(self, parts: abc.Iterable[PartId], now: float) -> None:
        """Quarantine the parts against which the evidence is sufficient.

        The most likely cause comes first, since it explains the crashes of
        the requests that were broken off together with it.
        """
        open_parts = {
            part
            for part in parts
            if part not in self._verdicts
            and self._crashes.count(part) >= crashlog.CRASHES
        }
        while True:
            weighed = {part: self._weigh(part) for part in open_parts}
            guilty = {
                part: evidence
                for part, evidence in weighed.items()
                if evidence.is_sufficient
            }
            if not guilty:
                return
            part = max(guilty, key=lambda one: guilty[one].rank)
            open_parts.discard(part)
            crashed_at = self._crashes.get_last_crash(part)
            is_strong = guilty[part].is_strong
            delay = _FIRST_TRIAL_DELAY if is_strong else _EARLY_TRIAL_DELAY
            self._impose(part, crashed_at, 0, now + delay)
            self._release_explained(part)

    def _impose(
        self, part: PartId, crashed_at: float, trials: int, next_trial: float
    ) -> None:
        while len(self._verdicts) >= quarantines.MAX_QUARANTINED:
            oldest = min(
                self._verdicts, key=lambda one: self._verdicts[one].crashed_at
            )
            del self._verdicts[oldest]
            self.on_cleared(oldest)
        self._verdicts[part] = _Verdict(crashed_at, trials, next_trial)
        self.on_quarantined(part)

    def _release_explained(self, cause: PartId) -> None:
        """Release parts whose crashes another part explains better.

        Failure: a request follows the one that crashes upstreams from one
        upstream to the next, and its parts are quarantined first.
        """
        for part in list(self._verdicts):
            if part != cause and self._crashes.is_explained_by(part, cause):
                del self._verdicts[part]
                self.on_cleared(part)

    def restore(self, part: PartId, trials: int, now: float) -> None:
        """Quarantine a part that an earlier process had quarantined.

        Any survival that a node knows of clears it.
        """
        if part not in self._verdicts and not self._crashes.find_survival(
            part
        ):
            delay = _get_trial_delay(trials)
            self._impose(part, 0.0, trials, now + delay)

    def expire(self, now: float) -> None:
        """Remove what is too old to matter."""
        self._crashes.expire(now)
        for upstream, crashes in list(self._unlisted_crashes.items()):
            if now - crashes[-1].at > _UNLISTED_SECONDS:
                del self._unlisted_crashes[upstream]
        for part, verdict in list(self._verdicts.items()):
            if now - verdict.next_trial > _FORGET_SECONDS:
                del self._verdicts[part]
                self.on_cleared(part)

    # -- Reports

    def list_quarantined(self) -> dict[PartId, int]:
        """Return the quarantined parts and the number of trials of each.

        Trials that reached no upstream are left out.
        """
        return {
            part: verdict.reached for part, verdict in self._verdicts.items()
        }

    def make_reports(self, now: float) -> quarantines.PartReports | None:
        """Return what this node reports; None if that is nothing."""
        self._settle_answered(now)
        self._own_crashes = {
            upstream: item
            for upstream, item in self._own_crashes.items()
            if item[0] > now
        }
        self._refuted = {
            part: until for part, until in self._refuted.items() if until > now
        }
        crashes = [
            quarantines.CrashReport(
                upstream,
                round(now - crash.at, 3),
                tuple(crash.suspects)[: quarantines.MAX_REPORTED_SUSPECTS],
                crash.born,
                tuple(crash.repeated)[: quarantines.MAX_REPORTED_SUSPECTS],
            )
            for upstream, (_, crash) in self._own_crashes.items()
        ]
        reports = quarantines.PartReports(
            quarantines.choose_crashes(crashes),
            {
                part: quarantines.QuarantineReport(
                    round(now - verdict.crashed_at, 3),
                    round(verdict.next_trial - now, 3),
                    verdict.trials,
                    verdict.unreached,
                )
                for part, verdict in self._verdicts.items()
            },
            {
                part: round(now - self._crashes.find_survival(part), 3)
                for part in list(self._refuted)[-quarantines.MAX_REPORTED :]
            },
        )
        return reports if reports != quarantines.NOTHING else None

    def _settle_answered(self, now: float) -> None:
        """Record the survival of answers that ended some time ago."""
        for key, exposure in list(self._exposures.items()):
            begun_at = exposure.begun_at
            if not exposure.is_answered or begun_at is None:
                continue
            if now - begun_at >= _SURVIVAL_SECONDS:
                del self._exposures[key]
                self._note_survivals(exposure, exposure.last_at)
                self._note_whole(exposure)

    def apply_reports(
        self, reports: quarantines.PartReports | None, now: float
    ) -> None:
        """Act on another node's reports."""
        if reports is None:
            return
        for part, age in reports.survived.items():
            if now - age > self._crashes.find_survival(part):
                self._note_survival(part, now - age)
        for crash in reports.crashes:
            at = now - crash.age
            noted = self._crashes.note_crash(
                crash.upstream, crash.born, at, crash.suspects, crash.repeated
            )
            self._judge_crash(*noted, now)
        for part, report in reports.quarantined.items():
            self._apply_verdict(part, report, now)

    def _apply_verdict(
        self, part: PartId, report: quarantines.QuarantineReport, now: float
    ) -> None:
        crashed_at = now - report.crash_age
        if self._crashes.find_survival(part) > crashed_at:
            self._refuted[part] = now + _REPORT_SECONDS
            return
        verdict = self._verdicts.get(part)
        if verdict is None:
            is_current = report.remaining > -_FORGET_SECONDS
            causes = [
                cause
                for cause in self._verdicts
                if self._crashes.is_explained_by(part, cause)
            ]
            if is_current and not causes:
                next_trial = now + report.remaining
                self._impose(part, crashed_at, report.trials, next_trial)
                self._verdicts[part].unreached = report.unreached
            return
        verdict.crashed_at = max(verdict.crashed_at, crashed_at)
        if report.order > (verdict.trials, verdict.unreached):
            verdict.trials, verdict.unreached = report.order
            verdict.next_trial = now + report.remaining


def _get_trial_delay(trials: int) -> float:
    return min(_FIRST_TRIAL_DELAY * 2.0 ** min(trials, 16), _MAX_TRIAL_DELAY)


def _ignore(_: PartId) -> None:
    return

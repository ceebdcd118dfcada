"""Checks of the promises: invariants that hold whatever the faults.

They are checked after a run, against what callers, servers and the site
recorded. Limits in time are checked only for gateways that nothing
disturbed.
"""

from collections import abc
import typing

import msgspec

from soak import callers
from soak import site

__all__ = ["Observed", "check_all"]

Attempt = callers.Attempt

# Events of a complete stream of `standins.upstream`.
_EVENT_COUNT = 6
# Statuses with which a gateway promises that a request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)
_NON_IDEMPOTENT_KINDS = ("unsafe", "once")
# How often a request may run, by the kind of its route.
_MAX_RUNS = {"safe": 2, "stream": 2}
# Seconds from the last disturbance of a gateway until it counts as calm,
# and within which a calm gateway applies a version. The platform allows
# two seconds; the rest is tolerance for a busy machine.
_CALM_TIME = 6.0
_APPLY_TIME = 6.0
# Seconds before a request in which a disturbance may still cut it.
_CUT_WINDOW = 1.0
# Seconds after which a draining server gets no new request. The platform
# allows two seconds; the rest is tolerance for a busy machine.
_DRAIN_NOTICE_TIME = 6.0
# Seconds that callers give a request, and within which it has its answer.
_DEADLINE = 3.0
_ANSWER_TIME = _DEADLINE + 2.0
# Crashes, seconds after the last of them, and requests that may still run
# then with the part that causes them. The platform allows three seconds; the
# rest is tolerance for a busy machine.
_CRASHES = 5
_QUARANTINE_TIME = 5.0
_MAX_LATE_RUNS = 3
_checks: list[abc.Callable[["Observed"], abc.Iterable[str]]] = []


class Observed(msgspec.Struct):
    """What was recorded in a run.

    Times are of the monotonic clock, in seconds.

    Attributes:
        attempts: The requests of all callers.
        records: Lines of each server's record file, by its name.
        history: Time, event and process of what was done. The process is
            empty for the store; `configuring` and `configured` events have
            the version.
        acknowledged: When the store acknowledged each version, or when a
            newer one replaced it before.
        end: When the run ended.
    """

    attempts: list[Attempt]
    records: dict[str, list[dict[str, typing.Any]]]
    history: list[tuple[float, str, str]]
    acknowledged: dict[int, float]
    end: float

    def list_runs(self) -> abc.Iterator[tuple[str, dict[str, typing.Any]]]:
        """Yield the record line of each run with its server's name."""
        for name, lines in self.records.items():
            for line in lines:
                if line["what"] == "run":
                    yield name, line

    def list_crashes(self) -> list[tuple[float, str, str]]:
        """Return the crashes of servers, in the form of the history."""
        return [
            (line["at"], "crashed", name)
            for name, lines in self.records.items()
            for line in lines
            if line["what"] == "crash"
        ]

    def count_runs(self) -> dict[str, int]:
        """Return the number of runs of each attempt, by its id."""
        counts: dict[str, int] = {}
        for _, line in self.list_runs():
            attempt = line["run"]["attempt"]
            counts[attempt] = counts.get(attempt, 0) + 1
        return counts

    def is_calm(self, gateway: str, since: float, until: float) -> bool:
        """Return whether nothing disturbed a gateway or the store.

        Args:
            gateway: Its name.
            since: Start of the period; the calm time before it counts too.
            until: End of the period.
        """
        for at, what, name in self.history:
            is_relevant = name == gateway or what.startswith("store")
            if is_relevant and since - _CALM_TIME <= at <= until:
                return False
        return not self._is_disturbed(gateway, since)

    def _is_disturbed(self, gateway: str, at: float) -> bool:
        """Return whether a disturbance from before `at` has not ended."""
        state = {}
        for when, what, name in self.history:
            if when <= at and (name == gateway or what.startswith("store")):
                state[name] = what
        ended_states = (
            "started",
            "resumed",
            "mended",
            "store_mended",
            "reloaded",
        )
        ended_states = (*ended_states, "store_forgets")
        return any(what not in ended_states for what in state.values())


def register(
    check: abc.Callable[[Observed], abc.Iterable[str]],
) -> abc.Callable[[Observed], abc.Iterable[str]]:
    """Register a check of one promise; it yields the violations."""
    _checks.append(check)
    return check


def check_all(observed: Observed) -> list[str]:
    """Return a line for each violation, prefixed by its check's name."""
    found = []
    for check in _checks:
        name = check.__name__.removeprefix("check_")
        found += [f"{name}: {what}" for what in check(observed)]
    return found


def _make_events(attempt: str, count: int = _EVENT_COUNT) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        for number in range(1, count + 1)
    )


@register
def check_answers(observed: Observed) -> abc.Iterator[str]:
    """A success is the server's complete answer to this very request."""
    for attempt in observed.attempts:
        if attempt.status != 200:
            continue
        if attempt.kind in ("stream", "once"):
            expected = _make_events(attempt.id)
            is_prefix = expected.startswith(attempt.answer)
        else:
            expected = (
                f"{attempt.method} {attempt.target} ".encode() + attempt.body
            )
            is_prefix = True
        if not attempt.seal:
            yield (
                f"{attempt.id} {attempt.target}: a success without a signature"
            )
        if attempt.complete and attempt.answer != expected:
            yield (
                f"{attempt.id} {attempt.target}: "
                f"{attempt.answer[:80]!r} as complete"
            )
        if not is_prefix:
            yield (
                f"{attempt.id} {attempt.target}: "
                f"{attempt.answer[:200]!r} in a stream"
            )


@register
def check_runs(observed: Observed) -> abc.Iterator[str]:
    """A request that is not idempotent runs at most once.

    It has not run when the status says so, and every success has run.
    """
    counts = observed.count_runs()
    for attempt in observed.attempts:
        runs = counts.get(attempt.id, 0)
        if attempt.kind in _NON_IDEMPOTENT_KINDS and runs > 1:
            yield f"{attempt.id} {attempt.target}: ran {runs} times"
        if (
            attempt.kind in _NON_IDEMPOTENT_KINDS
            and attempt.status in _NOT_RUN_STATUSES
            and runs
        ):
            yield (
                f"{attempt.id} {attempt.target}: "
                f"ran despite its {attempt.status}"
            )
        if runs > _MAX_RUNS.get(attempt.kind, 2):
            yield f"{attempt.id} {attempt.target}: ran on {runs} servers"
        if attempt.status == 200 and not runs:
            yield f"{attempt.id} {attempt.target}: answered without a run"


@register
def check_unasked(observed: Observed) -> abc.Iterator[str]:
    """Each run is of a request that a caller sent, and unchanged."""
    sent = {attempt.id: attempt for attempt in observed.attempts}
    for name, line in observed.list_runs():
        run = line["run"]
        attempt = sent.get(run["attempt"])
        if attempt is None:
            yield f"{run['attempt']} ran at {name} and was not sent"
            continue
        got = (run["method"], run["target"], run["body"].encode("latin-1"))
        if got != (attempt.method, attempt.target, attempt.body):
            yield f"{attempt.id}: ran as {got}"
        if (run["tenant"], run["key"]) != ("shop", None):
            yield f"{attempt.id}: ran for {run['tenant']}, key {run['key']}"


@register
def check_whole_replicas(observed: Observed) -> abc.Iterator[str]:
    """A request runs only in a replica whose members were all ready."""
    ready: dict[tuple[str, str, int], float] = {}
    for name, lines in observed.records.items():
        for line in lines:
            seat = line.get("seat")
            if line["what"] == "seat" and seat and seat["state"] != "joining":
                key = (name, seat["name"], seat["epoch"])
                ready.setdefault(key, line["at"])
    for name, line in observed.list_runs():
        seat = line["seat"]
        if seat is None:
            continue
        for member in seat["members"]:
            at = ready.get((member, seat["name"], seat["epoch"]))
            if at is None or at > line["at"]:
                yield f"{line['run']['attempt']} at {name} without {member}"


@register
def check_one_replica(observed: Observed) -> abc.Iterator[str]:
    """No instance changes its replica while the old leader is open."""
    for name, lines in observed.records.items():
        last_seat: dict[str, typing.Any] | None = None
        for line in lines:
            if line["what"] == "start":
                last_seat = None
            if line["what"] != "seat":
                continue
            seat = line["seat"]
            moved = (
                last_seat
                and seat
                and (
                    (last_seat["name"], last_seat["epoch"])
                    != (seat["name"], seat["epoch"])
                )
            )
            if (
                moved
                and last_seat
                and _was_open(observed, last_seat, line["at"])
            ):
                yield f"{name} left {last_seat['name']} for {seat['name']}"
            # An instance that was ordered to leave has no seat, and is not
            # checked when it joins the next replica: the domain's holder
            # frees the members of a leader that does not answer, and no
            # gateway routes to a leader whose member has left.
            last_seat = seat


def _was_open(
    observed: Observed, seat: dict[str, typing.Any], at: float
) -> bool:
    """Return whether a replica's leader took requests at a time."""
    leader = seat["members"][0]
    last_seat: dict[str, typing.Any] | None = None
    for line in observed.records[leader]:
        if line["at"] >= at:
            break
        if line["what"] == "start":
            last_seat = None
        if line["what"] == "seat":
            last_seat = line["seat"]
    ends = [
        when
        for when, what, name in (*observed.history, *observed.list_crashes())
        if name == leader
        and what in ("killed", "drained", "crashed")
        and when <= at
    ]
    starts = [
        line["at"]
        for line in observed.records[leader]
        if line["what"] == "start" and line["at"] <= at
    ]
    if ends and max(ends) > starts[-1]:
        return False
    return (
        last_seat is not None
        and (last_seat["name"], last_seat["epoch"])
        == (seat["name"], seat["epoch"])
        and last_seat["state"] == "open"
    )


@register
def check_configuration(observed: Observed) -> abc.Iterator[str]:
    """A gateway applies versions in time, and never reverts to an older."""
    seen: dict[str, tuple[float, int]] = {}
    for attempt in sorted(
        observed.attempts, key=lambda attempt: attempt.began
    ):
        if not attempt.kind.startswith("v") or attempt.status not in (
            200,
            404,
        ):
            continue
        version = int(attempt.kind[1:])
        ended, newest = seen.get(attempt.process, (0.0, 0))
        if attempt.status == 200:
            if version > newest:
                seen[attempt.process] = (attempt.ended, version)
            continue
        if _is_dropped(observed, version, attempt.ended):
            continue
        if version == newest and attempt.began > ended + 0.25:
            yield (
                f"{attempt.id}: {attempt.process} "
                f"no longer has version {version}"
            )
        since = observed.acknowledged[version]
        if attempt.began > since + _APPLY_TIME and observed.is_calm(
            attempt.gateway, since, attempt.ended
        ):
            yield (
                f"{attempt.id}: {attempt.gateway} "
                f"has not applied version {version}"
            )


def _is_dropped(observed: Observed, version: int, at: float) -> bool:
    """Return whether a newer version may have dropped a version's route."""
    return any(
        what == "configuring"
        and int(name) >= version + site.KEPT_VERSIONS
        and when <= at
        for when, what, name in observed.history
    )


@register
def check_leaving(observed: Observed) -> abc.Iterator[str]:
    """A draining server gets no new requests after some seconds."""
    began = {attempt.id: attempt for attempt in observed.attempts}
    for name, lines in observed.records.items():
        drained = None
        for line in lines:
            if line["what"] == "start":
                drained = None
            elif line["what"] == "drain":
                drained = line["at"]
            elif line["what"] == "run" and drained is not None:
                attempt = began[line["run"]["attempt"]]
                is_late = line["at"] > drained + _DRAIN_NOTICE_TIME
                if is_late and observed.is_calm(
                    attempt.gateway, drained, line["at"]
                ):
                    yield f"{attempt.id}: run at {name}, which is draining"


@register
def check_stops(observed: Observed) -> abc.Iterator[str]:
    """A planned stop of a gateway cuts no request.

    A stream that is under way at its deadline is cut by that.
    """
    for at, what, name in observed.history:
        if what != "stopping":
            continue
        for attempt in observed.attempts:
            is_under_way = (
                attempt.gateway == name
                and attempt.written <= at <= attempt.ended
            )
            if not is_under_way or not attempt.written or attempt.abandoned:
                continue
            if attempt.status == 0 and not _is_killed(
                observed, name, at, attempt
            ):
                # A gateway answers even if all servers have failed.
                yield (
                    f"{attempt.id} {attempt.target}: "
                    f"no answer, {attempt.failure}"
                )
            is_reset_asked = any(
                fault in attempt.target for fault in ("reset", "torn", "/cut")
            )
            is_timed_out = attempt.ended >= attempt.began + _DEADLINE
            is_cut = (
                attempt.status
                and not attempt.complete
                and not is_reset_asked
                and not is_timed_out
            )
            if is_cut and not _is_excused(observed, name, attempt):
                yield f"{attempt.id} {attempt.target}: cut, {attempt.failure}"


def _is_killed(
    observed: Observed, gateway: str, at: float, attempt: Attempt
) -> bool:
    """Return whether a gateway was killed or paused around its stop."""
    return any(
        name == gateway and at - _CALM_TIME <= when <= attempt.ended
        for when, what, name in observed.history
        if what in ("killed", "paused", "resumed")
    )


def _is_excused(observed: Observed, gateway: str, attempt: Attempt) -> bool:
    """Return whether a disturbance may have cut a request's answer.

    It counts if it was of the gateway itself, other than its planned stop,
    or of a server that ran the request or belongs to that server's replica.
    """
    servers = {gateway}
    for name, line in observed.list_runs():
        if line["run"]["attempt"] == attempt.id:
            servers |= {name, *(line["seat"] or {"members": ()})["members"]}
    return any(
        name in servers
        and attempt.began - _CUT_WINDOW <= when <= attempt.ended
        and (what, name) != ("stopping", gateway)
        and what not in ("stopped", "reloaded", "started")
        for when, what, name in (*observed.history, *observed.list_crashes())
    )


@register
def check_final_answers(observed: Observed) -> abc.Iterator[str]:
    """Each request gets its final answer soon after its deadline."""
    for attempt in observed.attempts:
        is_late = attempt.ended > attempt.began + _ANSWER_TIME
        disturbances = [
            at
            for at, what, name in observed.history
            if name == attempt.gateway
            and attempt.began - _CALM_TIME <= at <= attempt.ended
            and what != "reloaded"
        ]
        if is_late and not disturbances:
            spent = attempt.ended - attempt.began
            yield (
                f"{attempt.id} {attempt.target}: "
                f"{spent:.1f} s, {attempt.failure}"
            )


@register
def check_quarantine(observed: Observed) -> abc.Iterator[str]:
    """Check that parts which crash servers are kept from them.

    Some seconds after the fifth crash a few more requests with the part may
    run, and those that gateways send which were disturbed until then.
    """
    attempts = {attempt.id: attempt for attempt in observed.attempts}
    for part in sorted({attempt.part for attempt in attempts.values()} - {""}):
        crashes = sorted(
            line["at"]
            for lines in observed.records.values()
            for line in lines
            if line["what"] == "crash"
            and attempts[line["attempt"]].part == part
        )
        if len(crashes) < _CRASHES:
            continue
        since = crashes[_CRASHES - 1] + _QUARANTINE_TIME
        late = [
            line["run"]["attempt"]
            for _, line in observed.list_runs()
            if line["at"] > since
            and attempts[line["run"]["attempt"]].part == part
            and observed.is_calm(
                attempts[line["run"]["attempt"]].gateway, since, line["at"]
            )
        ]
        if len(late) > _MAX_LATE_RUNS:
            yield f"{part}: {len(crashes)} crashes, late runs {late}"

"""The promises, checked against what callers and servers saw."""

from collections import abc
import typing

import msgspec

from soak import callers

__all__ = ["Observed", "check_all"]

Attempt = callers.Attempt

_EVENTS = 6
_PROMISES = (408, 421, 429, 503)
_ONCE = ("unsafe", "once")
# Runs that one request of a caller may have on its route.
_MOST_RUNS = {"safe": 2, "stream": 2}
# Seconds from the end of all disturbance of a node until it is calm, and
# within which a version must then be in force: the platform's two, and
# room for a busy machine.
_CALM = 6.0
_IN_FORCE = 6.0
# Seconds before a request in which a disturbance may still break it off.
_STRUCK = 1.0
# Seconds after which a server that leaves gets no new request: the
# platform's two, and room for a busy machine.
_LEFT = 6.0
# Seconds beyond its deadline within which a request has its answer.
_ANSWERED = 3.0 + 2.0
_check_functions: list[abc.Callable[["Observed"], abc.Iterable[str]]] = []


class Observed(msgspec.Struct):
    """All that a run has shown.

    Attributes:
        records: What each server wrote, by its name.
        history: What was done when, to whom.
        acknowledged: When the store took each version.
        end: When the run ended.
    """

    attempts: list[Attempt]
    records: dict[str, list[dict[str, typing.Any]]]
    history: list[tuple[float, str, str]]
    acknowledged: dict[int, float]
    end: float

    def list_runs(self) -> abc.Iterator[tuple[str, dict[str, typing.Any]]]:
        """Yield each run with its server's name."""
        for name, lines in self.records.items():
            for line in lines:
                if line["what"] == "run":
                    yield name, line

    def count_runs(self) -> dict[str, int]:
        """Return the runs of each attempt."""
        counts: dict[str, int] = {}
        for _, line in self.list_runs():
            attempt = line["run"]["attempt"]
            counts[attempt] = counts.get(attempt, 0) + 1
        return counts

    def is_calm(self, gateway: str, since: float, until: float) -> bool:
        """Return whether a gateway and the store were left alone."""
        for at, what, name in self.history:
            strikes = name == gateway or what.startswith("store")
            if strikes and since - _CALM <= at <= until:
                return False
        return not self._is_struck(gateway, since)

    def _is_struck(self, gateway: str, at: float) -> bool:
        """Return whether a disturbance of before has not been mended."""
        state = {}
        for when, what, name in self.history:
            if when <= at and (name == gateway or what.startswith("store")):
                state[name] = what
        mended = ("started", "resumed", "mended", "store_mended", "reloaded")
        mended = (*mended, "store_forgets")
        return any(what not in mended for what in state.values())


def promise(
    check: abc.Callable[[Observed], abc.Iterable[str]],
) -> abc.Callable[[Observed], abc.Iterable[str]]:
    """Register a check."""
    _check_functions.append(check)
    return check


def check_all(observed: Observed) -> list[str]:
    """Return what was broken, in words."""
    found = []
    for check in _check_functions:
        name = check.__name__.removeprefix("check_")
        found += [f"{name}: {what}" for what in check(observed)]
    return found


def _make_events(attempt: str, count: int = _EVENTS) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {attempt} {number}\n\n".encode()
        for number in range(1, count + 1)
    )


@promise
def check_answers(observed: Observed) -> abc.Iterator[str]:
    """A success is the server's whole answer to this very request."""
    for one in observed.attempts:
        if one.status != 200:
            continue
        if one.kind in ("stream", "once"):
            expected = _make_events(one.id)
            fits = expected.startswith(one.answer)
        else:
            expected = f"{one.method} {one.target} ".encode() + one.body
            fits = True
        if not one.seal:
            yield f"{one.id} {one.target}: a success nobody signed"
        if one.whole and one.answer != expected:
            yield f"{one.id} {one.target}: {one.answer[:80]!r} as whole"
        if not fits:
            yield f"{one.id} {one.target}: {one.answer[:200]!r} in part"


@promise
def check_runs(observed: Observed) -> abc.Iterator[str]:
    """What is not idempotent runs once, and a refusal is true."""
    counts = observed.count_runs()
    for one in observed.attempts:
        runs = counts.get(one.id, 0)
        if one.kind in _ONCE and runs > 1:
            yield f"{one.id} {one.target}: ran {runs} times"
        if one.kind in _ONCE and one.status in _PROMISES and runs:
            yield f"{one.id} {one.target}: {one.status}, and it ran"
        if runs > _MOST_RUNS.get(one.kind, 2):
            yield f"{one.id} {one.target}: ran on {runs} servers"
        if one.status == 200 and not runs:
            yield f"{one.id} {one.target}: answered, and it never ran"


@promise
def check_unasked(observed: Observed) -> abc.Iterator[str]:
    """Nothing runs that no caller sent, or otherwise than it was sent."""
    sent = {one.id: one for one in observed.attempts}
    for name, line in observed.list_runs():
        run = line["run"]
        one = sent.get(run["attempt"])
        if one is None:
            yield f"{run['attempt']} ran at {name}, and nobody sent it"
            continue
        got = (run["method"], run["target"], run["body"].encode("latin-1"))
        if got != (one.method, one.target, one.body):
            yield f"{one.id}: ran as {got}"
        if (run["tenant"], run["key"]) != ("shop", None):
            yield f"{one.id}: ran for {run['tenant']}, key {run['key']}"


@promise
def check_whole_replicas(observed: Observed) -> abc.Iterator[str]:
    """A request runs only where all members have been ready."""
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


@promise
def check_one_replica(observed: Observed) -> abc.Iterator[str]:
    """No instance joins while its old leader may take requests."""
    for name, lines in observed.records.items():
        held: dict[str, typing.Any] | None = None
        for line in lines:
            if line["what"] == "start":
                held = None
            if line["what"] != "seat":
                continue
            seat = line["seat"]
            moved = (
                held
                and seat
                and (
                    (held["name"], held["epoch"])
                    != (seat["name"], seat["epoch"])
                )
            )
            if moved and held and _is_open(observed, held, line["at"]):
                yield f"{name} left {held['name']} for {seat['name']}"
            # One that was told to leave has no seat: the holder of the
            # domain frees the members of a leader that is silent, and
            # nobody routes to a leader whose member has gone.
            held = seat


def _is_open(
    observed: Observed, seat: dict[str, typing.Any], at: float
) -> bool:
    """Return whether a replica's leader took requests at a moment."""
    leader = seat["members"][0]
    now: dict[str, typing.Any] | None = None
    for line in observed.records[leader]:
        if line["at"] >= at:
            break
        if line["what"] == "start":
            now = None
        if line["what"] == "seat":
            now = line["seat"]
    ends = [
        when
        for when, what, name in observed.history
        if name == leader and what in ("killed", "drained") and when <= at
    ]
    starts = [
        line["at"]
        for line in observed.records[leader]
        if line["what"] == "start" and line["at"] <= at
    ]
    if ends and ends[-1] > starts[-1]:
        return False
    return (
        now is not None
        and (now["name"], now["epoch"]) == (seat["name"], seat["epoch"])
        and now["state"] == "open"
    )


@promise
def check_configuration(observed: Observed) -> abc.Iterator[str]:
    """A version is in force in time, and never goes back."""
    seen: dict[str, tuple[float, int]] = {}
    for one in sorted(observed.attempts, key=lambda one: one.began):
        if not one.kind.startswith("v") or one.status not in (200, 404):
            continue
        version = int(one.kind[1:])
        ended, newest = seen.get(one.process, (0.0, 0))
        if one.status == 200:
            if version > newest:
                seen[one.process] = (one.ended, version)
            continue
        if version == newest and one.began > ended + 0.25:
            yield f"{one.id}: {one.process} knew version {version}"
        since = observed.acknowledged[version]
        if one.began > since + _IN_FORCE and observed.is_calm(
            one.gateway, since, one.ended
        ):
            yield f"{one.id}: {one.gateway} still lacks version {version}"


@promise
def check_leaving(observed: Observed) -> abc.Iterator[str]:
    """A server that leaves gets no new requests."""
    began = {one.id: one for one in observed.attempts}
    for name, lines in observed.records.items():
        drained = None
        for line in lines:
            if line["what"] == "start":
                drained = None
            elif line["what"] == "drain":
                drained = line["at"]
            elif line["what"] == "run" and drained is not None:
                one = began[line["run"]["attempt"]]
                late = line["at"] > drained + _LEFT
                if late and observed.is_calm(one.gateway, drained, line["at"]):
                    yield f"{one.id}: run at {name}, which leaves"


@promise
def check_stops(observed: Observed) -> abc.Iterator[str]:
    """A planned stop cuts off no request."""
    for at, what, name in observed.history:
        if what != "stopping":
            continue
        for one in observed.attempts:
            under_way = one.gateway == name and one.read <= at <= one.ended
            if not under_way or not one.read or one.left:
                continue
            if one.status == 0 and not _is_killed(observed, name, at, one):
                # Whatever becomes of servers, a gateway says so itself.
                yield f"{one.id} {one.target}: no answer, {one.failure}"
            broke_off = "reset" in one.target or "torn" in one.target
            cut = one.status and not one.whole and not broke_off
            if cut and not _is_excused(observed, name, one):
                yield f"{one.id} {one.target}: cut, {one.failure}"


def _is_killed(
    observed: Observed, gateway: str, at: float, one: Attempt
) -> bool:
    """Return whether a gateway was struck while it stopped."""
    return any(
        name == gateway and at - _CALM <= when <= one.ended
        for when, what, name in observed.history
        if what in ("killed", "paused", "resumed")
    )


def _is_excused(observed: Observed, gateway: str, one: Attempt) -> bool:
    """Return whether a server's trouble may have broken an answer off."""
    servers = {gateway}
    for name, line in observed.list_runs():
        if line["run"]["attempt"] == one.id:
            servers |= {name, *(line["seat"] or {"members": ()})["members"]}
    return any(
        name in servers
        and one.began - _STRUCK <= when <= one.ended
        and (what, name) != ("stopping", gateway)
        and what not in ("stopped", "reloaded", "started")
        for when, what, name in observed.history
    )


@promise
def check_final_answers(observed: Observed) -> abc.Iterator[str]:
    """Each request has its final answer by its deadline."""
    for one in observed.attempts:
        late = one.ended > one.began + _ANSWERED
        struck = [
            at
            for at, what, name in observed.history
            if name == one.gateway
            and one.began - _CALM <= at <= one.ended
            and what != "reloaded"
        ]
        if late and not struck:
            spent = one.ended - one.began
            yield f"{one.id} {one.target}: {spent:.1f} s, {one.failure}"

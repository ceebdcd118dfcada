"""At-most-once execution: each non-idempotent key has one home.

The home is one incarnation of one entry process. Only it may dispatch
the call of a key, and only once; it keeps the state of the key and the
answer in memory. A key issued by the system names its home. A key chosen
by the caller is bound to a home by a create-if-absent of
``claims/<hash>``. If the home is gone, the outcome of a key that it may
have dispatched is unknown, and the call is never run again.

Keys are removed `key_periods` periods after the end of their own. A later
retry is refused with an unknown outcome, so removing a key never leads to
a second run.
"""

from collections import abc
import enum

import msgspec

from currantwall.coordination import actions
from currantwall.coordination import calls
from currantwall.coordination import messages
from currantwall.coordination import part
from currantwall.coordination import wire
from currantwall.coordination.stops import handover
from currantwall.state import ids
from currantwall.state import keys
from currantwall.state import objects
from currantwall.state import settings as settings_module
from currantwall.state import timeline
from currantwall.state import views

__all__ = [
    "CallEnded",
    "CallOffered",
    "Claim",
    "Decision",
    "DecisionKind",
    "Homes",
    "Outcome",
    "StoredAnswer",
]

# Retry-after for a call that is still in progress.
_IN_PROGRESS_RETRY_SECONDS = 1.0


class Outcome(enum.Enum):
    """What is known about the execution of a call."""

    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


class DecisionKind(enum.Enum):
    """What to do with an offered call.

    Attributes:
        DISPATCH: Run it.
        REPLAY: Return the stored answer.
        IN_PROGRESS: It is running; ask again later.
        FORWARD: Pass it to its home.
        UNKNOWN: It may have run; refuse it.
        NOT_RUN: It has not run and is not run now; refuse it.
        MISMATCH: The key belongs to another request; refuse it.
    """

    DISPATCH = "dispatch"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    FORWARD = "forward"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    MISMATCH = "mismatch"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The complete answer of a call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """The stored object ``claims/<hash>``: the home of a caller's own key.

    Attributes:
        period: Period of the home in which the claim was made.
        attempt: Unique identifier of the write.
    """

    home: keys.Home
    period: int
    attempt: ids.AttemptId


class CallOffered(part.Message, frozen=True):
    """A caller requests a non-idempotent call with a key.

    Attributes:
        ticket: Number under which the decision is returned.
        scope: Organisation and service to which the key belongs.
        fingerprint: Hash of the request, to detect a key that is used
            for different requests.
        forwarded: Whether another node passed the call to this one.
    """

    ticket: int
    key: ids.KeyText
    scope: str
    fingerprint: int
    forwarded: bool = False


class CallEnded(part.Message, frozen=True):
    """A dispatched call has ended."""

    key: ids.KeyText
    scope: str
    outcome: Outcome
    answer: StoredAnswer | None = None


class Decision(msgspec.Struct, frozen=True):
    """The decision on an offered call.

    Attributes:
        home: Home to forward it to, for `FORWARD`.
        answer: Answer to return, for `REPLAY`; None if it was too large
            to be stored.
        reason: Why it is refused or its outcome unknown.
        retry_after: Seconds to wait before a retry, 0 for never.
    """

    kind: DecisionKind
    home: keys.Home | None = None
    answer: StoredAnswer | None = None
    reason: str = ""
    retry_after: float = 0.0


class _State(enum.Enum):
    """State of a key at its home."""

    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"
    # Refused by the upstream before it ran; may be dispatched again.
    FREE = "free"


class _KeyRecord(msgspec.Struct):
    """What the home holds of a key."""

    fingerprint: int
    state: _State
    answer: StoredAnswer | None = None


class _Binding(msgspec.Struct):
    """A caller's own key whose claim is being written or read.

    Attributes:
        offers: Calls that wait for the claim.
        name: Object name of the claim.
        claim: Claim that this process writes.
        reading: Whether the claim is being read instead of written.
    """

    offers: list[CallOffered]
    name: str
    claim: Claim
    reading: bool = False


class Homes(part.Part):
    """Decides where and whether a non-idempotent call runs."""

    def __init__(
        self,
        nodes: views.MembersView,
        settings: settings_module.RequestsSection,
        call_ids: calls.Calls,
        started: float,
    ) -> None:
        self._nodes = nodes
        self._settings = settings
        self._call_ids = call_ids
        self._started = started
        # Records of the keys by period and hash.
        self._periods: dict[int, dict[str, _KeyRecord]] = {}
        self._bindings: dict[ids.CallId, _Binding] = {}
        # Claims that name this process, by hash of the key.
        self._claims: dict[str, Claim] = {}
        self._handover = handover.Handover(nodes)

    # -- Prefixes of issued keys

    def make_prefix(self, now: float) -> str:
        """Return the prefix of keys whose home is this process."""
        return keys.make_prefix(self._local_home, self._compute_period(now))

    @property
    def _local_home(self) -> keys.Home:
        me = self._nodes.me
        return keys.Home(me.id, me.incarnation)

    def _compute_period(self, now: float) -> int:
        return int((now - self._started) / self._settings.key_period)

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        resend = self._handover.due()
        if not self._periods:
            return resend
        oldest = min(self._periods)
        last = oldest + self._settings.key_periods + 1
        expiry = self._started + last * self._settings.key_period
        return expiry if resend is None else min(expiry, resend)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        self._remove_expired(now)
        return self._handover.resend(now)

    def _remove_expired(self, now: float) -> None:
        current = self._compute_period(now)
        for period in list(self._periods):
            if self._is_expired(period, current):
                del self._periods[period]
        # The copy in memory only saves a read; the claim stays stored.
        for name, claim in list(self._claims.items()):
            expired = self._is_expired(claim.period, current)
            if claim.home == self._local_home and expired:
                del self._claims[name]

    def _is_expired(self, period: int, current: int) -> bool:
        return period + self._settings.key_periods < current

    # -- Handing over at a stop

    def hand_over(self, now: float) -> list[part.Action]:
        """Send all keys to a successor; no call may be offered afterwards."""
        states = [
            _make_key_state(name, record)
            for records in self._periods.values()
            for name, record in records.items()
            if record.state is not _State.FREE
        ]
        return self._handover.begin(states, now)

    @property
    def is_handed_over(self) -> bool:
        """Return whether the successor has all keys, or none is available."""
        return self._handover.is_done

    @part.handles(wire.HandOver)
    def _on_hand_over(
        self, message: messages.Received, now: float
    ) -> list[part.Action]:
        return self._handover.take(message.sender, message.body)

    @part.handles(wire.HandOverTaken)
    def _on_taken(self, message: messages.Received, now: float) -> None:
        self._handover.note_taken(message.body.number)

    @part.handles(wire.Successor)
    def _on_successor(self, message: messages.Delivered, now: float) -> None:
        self._handover.note_successor(message.payload)

    # -- Offers

    @part.handles(CallOffered)
    def _on_offer(
        self, offer: CallOffered, now: float
    ) -> abc.Iterable[part.Action]:
        issued = keys.parse_key(offer.key)
        if issued is not None:
            return self._handle_issued_key(offer, issued, now)
        return self._handle_own_key(offer, now)

    def _handle_issued_key(
        self, offer: CallOffered, issued: keys.IssuedKey, now: float
    ) -> list[part.Action]:
        if issued.home == self._local_home:
            return [self._decide_locally(offer, issued.period, now)]
        return [self._forward_to_home(offer, issued.home)]

    def _forward_to_home(
        self, offer: CallOffered, home: keys.Home
    ) -> part.Action:
        """Forward a call to its home if that is still a member."""
        adopted = self._handover.find(home)
        if adopted is not None:
            return actions.Reply(
                offer.ticket, self._decide_adopted(offer, adopted)
            )
        if offer.forwarded:
            # Two nodes that disagree on the home must not forward it to
            # each other forever.
            return self._reply_unknown(offer, "its home is not here")
        home = self._handover.follow(home)
        member = self._nodes.get(home.node)
        if member is None or member.incarnation > home.incarnation:
            return self._reply_unknown(offer, "its home is gone")
        if not member.is_present:
            return self._reply_unknown(offer, "its home is gone")
        decision = Decision(DecisionKind.FORWARD, home)
        return actions.Reply(offer.ticket, decision)

    @staticmethod
    def _decide_adopted(
        offer: CallOffered, adopted: abc.Mapping[str, wire.KeyState]
    ) -> Decision:
        """Decide on a key whose home has stopped and handed over here.

        A key that was not handed over has not been dispatched.
        """
        state = adopted.get(keys.hash_key(offer.key, offer.scope))
        if state is None:
            reason = "its home has stopped; take a key from /v1/entries"
            return Decision(DecisionKind.NOT_RUN, reason=reason)
        if state.fingerprint != offer.fingerprint:
            reason = "the key was used for another request"
            return Decision(DecisionKind.MISMATCH, reason=reason)
        if not state.status:
            reason = "the upstream was lost while the call ran"
            return Decision(DecisionKind.UNKNOWN, reason=reason)
        answer = StoredAnswer(state.status, state.headers, state.body)
        return Decision(DecisionKind.REPLAY, answer=answer)

    @staticmethod
    def _reply_unknown(offer: CallOffered, reason: str) -> part.Action:
        decision = Decision(DecisionKind.UNKNOWN, reason=reason)
        return actions.Reply(offer.ticket, decision)

    def _decide_locally(
        self, offer: CallOffered, period: int, now: float
    ) -> part.Action:
        """Decide on a call whose home is this process."""
        current = self._compute_period(now)
        if self._is_expired(period, current) or period > current:
            return self._reply_unknown(offer, "the key is too old")
        records = self._periods.setdefault(period, {})
        name = keys.hash_key(offer.key, offer.scope)
        record = records.get(name)
        if record is None:
            return self._dispatch_new(offer, records, name)
        return actions.Reply(offer.ticket, _decide_repeated(offer, record))

    def _dispatch_new(
        self, offer: CallOffered, records: dict[str, _KeyRecord], name: str
    ) -> part.Action:
        if self._count_keys() >= self._settings.key_limit:
            decision = Decision(
                DecisionKind.NOT_RUN,
                reason="this entry holds too many keys",
                retry_after=self._settings.key_period,
            )
            return actions.Reply(offer.ticket, decision)
        records[name] = _KeyRecord(offer.fingerprint, _State.DISPATCHED)
        decision = Decision(DecisionKind.DISPATCH)
        return actions.Reply(offer.ticket, decision)

    def _count_keys(self) -> int:
        return sum(len(records) for records in self._periods.values())

    @part.handles(CallEnded)
    def _on_end(self, ended: CallEnded, now: float) -> list[part.Action]:
        name = keys.hash_key(ended.key, ended.scope)
        record = self._find_record(name)
        label = ended.outcome.value
        found: list[part.Action] = [actions.Count(actions.Counter.KEYS, label)]
        if ended.outcome is Outcome.UNKNOWN:
            kind = timeline.EventKind.CALL_UNKNOWN
            found.append(actions.Record(kind, ended.key))
        if record is None or record.state is not _State.DISPATCHED:
            return found
        if ended.outcome is Outcome.DONE:
            record.state = _State.DONE
            record.answer = self._limit_answer(ended.answer)
        elif ended.outcome is Outcome.NOT_RUN:
            record.state = _State.FREE
        else:
            record.state = _State.UNKNOWN
        return found

    def _limit_answer(
        self, answer: StoredAnswer | None
    ) -> StoredAnswer | None:
        """Return an answer if it is small enough to be stored."""
        if answer is None or len(answer.body) > self._settings.answer_limit:
            return None
        return answer

    def _find_record(self, name: str) -> _KeyRecord | None:
        for records in self._periods.values():
            if name in records:
                return records[name]
        return None

    # -- Keys chosen by callers

    def _handle_own_key(
        self, offer: CallOffered, now: float
    ) -> list[part.Action]:
        name = keys.hash_key(offer.key, offer.scope)
        claim = self._claims.get(name)
        if claim is not None:
            return [self._handle_claimed(offer, claim, now)]
        for binding in self._bindings.values():
            if binding.name == name:
                binding.offers.append(offer)
                return []
        if offer.forwarded:
            # The sender read a claim that names this node. If it is not
            # in memory, an earlier process of this node made it.
            return self._read_claim(offer, name, now)
        return self._write_claim(offer, name, now)

    def _make_claim(self, now: float) -> Claim:
        call = self._call_ids.next()
        attempt = (
            f"{self._local_home.node}.{self._local_home.incarnation}.{call}"
        )
        return Claim(
            self._local_home, self._compute_period(now), ids.AttemptId(attempt)
        )

    def _write_claim(
        self, offer: CallOffered, name: str, now: float
    ) -> list[part.Action]:
        claim = self._make_claim(now)
        call = self._call_ids.next()
        self._bindings[call] = _Binding([offer], name, claim)
        value = msgspec.json.encode(claim)
        absent = ids.Version(0)
        return [
            actions.WriteObject(call, _make_claim_key(name), value, absent)
        ]

    def _read_claim(
        self, offer: CallOffered, name: str, now: float
    ) -> list[part.Action]:
        call = self._call_ids.next()
        claim = self._make_claim(now)
        self._bindings[call] = _Binding([offer], name, claim, True)
        return [actions.ReadObject(call, _make_claim_key(name))]

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        binding = self._bindings.pop(answer.call, None)
        if binding is None:
            return []
        statuses = messages.PlatformStatus
        if not binding.reading and answer.is_ok:
            return self._resolve_binding(binding, binding.claim, now)
        if answer.is_ok and answer.stored:
            claim = msgspec.json.decode(answer.stored[0].value, type=Claim)
            return self._resolve_binding(binding, claim, now)
        doubtful = answer.status in (statuses.CONFLICT, statuses.LOST)
        if doubtful and not binding.reading:
            return self._read_back(binding)
        return self._refuse_unresolved(binding)

    def _read_back(self, binding: _Binding) -> list[part.Action]:
        """Read the claim after a conflict or a lost answer."""
        binding.reading = True
        call = self._call_ids.next()
        self._bindings[call] = binding
        return [actions.ReadObject(call, _make_claim_key(binding.name))]

    def _refuse_unresolved(self, binding: _Binding) -> list[part.Action]:
        """Reply that the outcome is unknown; nothing is dispatched.

        Failure: a call with this key ran at its home, the answer was
        lost, and the retry arrives here while the platform is down.
        "Not run" would be true of the retry only, and the caller would
        repeat the call with another key. It may retry with this key.
        """
        decision = Decision(
            DecisionKind.UNKNOWN,
            reason=(
                "nothing was run now, but the key's home cannot be looked"
                " up while the platform does not answer; try the same key"
                " again, or use keys with the prefix from /v1/entries"
            ),
            retry_after=self._settings.entries_ttl,
        )
        return [
            actions.Reply(offer.ticket, decision) for offer in binding.offers
        ]

    def _resolve_binding(
        self, binding: _Binding, claim: Claim, now: float
    ) -> list[part.Action]:
        if claim.home == self._local_home:
            self._claims[binding.name] = claim
        return [
            self._handle_claimed(offer, claim, now) for offer in binding.offers
        ]

    def _handle_claimed(
        self, offer: CallOffered, claim: Claim, now: float
    ) -> part.Action:
        if claim.home == self._local_home:
            return self._decide_locally(offer, claim.period, now)
        return self._forward_to_home(offer, claim.home)


def _decide_repeated(offer: CallOffered, record: _KeyRecord) -> Decision:
    if record.fingerprint != offer.fingerprint:
        reason = "the key was used for another request"
        return Decision(DecisionKind.MISMATCH, reason=reason)
    if record.state is _State.DONE:
        return Decision(DecisionKind.REPLAY, answer=record.answer)
    if record.state is _State.FREE:
        record.state = _State.DISPATCHED
        return Decision(DecisionKind.DISPATCH)
    if record.state is _State.DISPATCHED:
        reason = "the call is under way"
        return Decision(
            DecisionKind.IN_PROGRESS,
            reason=reason,
            retry_after=_IN_PROGRESS_RETRY_SECONDS,
        )
    reason = "the upstream was lost while the call ran"
    return Decision(DecisionKind.UNKNOWN, reason=reason)


def _make_key_state(name: str, record: _KeyRecord) -> wire.KeyState:
    answer = record.answer
    if answer is None:
        return wire.KeyState(name, record.fingerprint)
    return wire.KeyState(
        name, record.fingerprint, answer.status, answer.headers, answer.body
    )


def _make_claim_key(name: str) -> objects.ObjectKey:
    return objects.ObjectKey(objects.Kind.CLAIMS.value, name)

"""At most once: each non-idempotent key has one home.

The home is one incarnation of one entry process. Only it may dispatch
the key, it dispatches it once, and it keeps the key's state and answer
in memory. A key issued by the system names its home; a caller's own key
is bound to one by a create-if-absent of ``claims/<hash>``. A home that
is gone means "outcome unknown" for a key it may have dispatched, never a
second run.

Keys of a period that has passed are forgotten, and a retry that comes
later is refused as unknown: forgetting never leads to a second run.
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

# Seconds after which a caller shall ask again for a call under way.
_ASK_AGAIN = 1.0


class Outcome(enum.Enum):
    """What is known of a request."""

    NOT_RUN = "not-run"
    DONE = "done"
    UNKNOWN = "unknown"


class DecisionKind(enum.Enum):
    """What to do with an offered call."""

    DISPATCH = "dispatch"
    REPLAY = "replay"
    IN_PROGRESS = "in_progress"
    FORWARD = "forward"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"
    MISMATCH = "mismatch"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The whole answer of a call."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """What ``claims/<hash>`` holds: the home of a caller's own key."""

    home: keys.Home
    period: int
    attempt: ids.AttemptId


class CallOffered(part.Message, frozen=True):
    """A caller wants a non-idempotent call run under a key.

    Attributes:
        scope: Organisation and service the key belongs to.
        fingerprint: Hash of the request; a key stands for one request.
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
    """What to do with an offered call.

    Attributes:
        home: Where to pass it on.
        reason: Why it is refused or unknown.
        retry_after: Seconds after which to ask again, 0 for never.
    """

    kind: DecisionKind
    home: keys.Home | None = None
    answer: StoredAnswer | None = None
    reason: str = ""
    retry_after: float = 0.0


class _State(enum.Enum):
    DISPATCHED = "dispatched"
    DONE = "done"
    UNKNOWN = "unknown"
    # Refused before it ran; the next offer may dispatch it.
    FREE = "free"


class _Entry(msgspec.Struct):
    fingerprint: int
    state: _State
    answer: StoredAnswer | None = None


class _Binding(msgspec.Struct):
    """A caller's own key whose claim is being written or read."""

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
        numbers: calls.Calls,
        started: float,
    ) -> None:
        self._nodes = nodes
        self._settings = settings
        self._numbers = numbers
        self._started = started
        self._periods: dict[int, dict[str, _Entry]] = {}
        self._bindings: dict[ids.CallId, _Binding] = {}
        self._bound: dict[str, Claim] = {}
        self._handover = handover.Handover(nodes)

    # -- Prefixes of issued keys

    def make_prefix(self, now: float) -> str:
        """Return the prefix that makes this process a key's home."""
        return keys.make_prefix(self._me, self._find_period(now))

    @property
    def _me(self) -> keys.Home:
        me = self._nodes.me
        return keys.Home(me.id, me.incarnation)

    def _find_period(self, now: float) -> int:
        return int((now - self._started) / self._settings.key_period)

    def due(self) -> float | None:
        """Return when the next tick is wanted."""
        resend = self._handover.due()
        if not self._periods:
            return resend
        oldest = min(self._periods)
        kept = oldest + self._settings.key_periods + 1
        over = self._started + kept * self._settings.key_period
        return over if resend is None else min(over, resend)

    @part.handles(part.Tick)
    def _on_tick(self, _: part.Tick, now: float) -> list[part.Action]:
        self._forget_old(now)
        return self._handover.resend(now)

    def _forget_old(self, now: float) -> None:
        current = self._find_period(now)
        for period in list(self._periods):
            if self._is_over(period, current):
                del self._periods[period]
        # A binding only saves a read; the claim itself stays stored.
        for name, claim in list(self._bound.items()):
            over = self._is_over(claim.period, current)
            if claim.home == self._me and over:
                del self._bound[name]

    def _is_over(self, period: int, current: int) -> bool:
        return period + self._settings.key_periods < current

    # -- Handing over at a stop

    def hand_over(self, now: float) -> list[part.Action]:
        """Send all keys to a successor; nothing may be offered any more."""
        states = [
            _describe_state(name, entry)
            for entries in self._periods.values()
            for name, entry in entries.items()
            if entry.state is not _State.FREE
        ]
        return self._handover.begin(states, now)

    @property
    def is_handed_over(self) -> bool:
        """Return whether the successor has everything."""
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
            return self._offer_issued(offer, issued, now)
        return self._offer_own(offer, now)

    def _offer_issued(
        self, offer: CallOffered, issued: keys.IssuedKey, now: float
    ) -> list[part.Action]:
        if issued.home == self._me:
            return [self._decide(offer, issued.period, now)]
        return [self._pass_on(offer, issued.home)]

    def _pass_on(self, offer: CallOffered, home: keys.Home) -> part.Action:
        """Send a call to its home, if that can still be reached."""
        adopted = self._handover.find(home)
        if adopted is not None:
            return actions.Reply(offer.ticket, self._recall(offer, adopted))
        if offer.forwarded:
            # Two nodes that disagree must not pass it to and fro.
            return self._answer_unknown(offer, "its home is not here")
        home = self._handover.follow(home)
        member = self._nodes.get(home.node)
        if member is None or member.incarnation > home.incarnation:
            return self._answer_unknown(offer, "its home is gone")
        if not member.is_present:
            return self._answer_unknown(offer, "its home is gone")
        decision = Decision(DecisionKind.FORWARD, home)
        return actions.Reply(offer.ticket, decision)

    @staticmethod
    def _recall(
        offer: CallOffered, adopted: abc.Mapping[str, wire.KeyState]
    ) -> Decision:
        """Decide on a key whose home handed everything over and ended.

        What it did not hand over it never dispatched.
        """
        held = adopted.get(keys.hash_key(offer.key, offer.scope))
        if held is None:
            reason = "its home has stopped; take a key from /v1/entries"
            return Decision(DecisionKind.NOT_RUN, reason=reason)
        if held.fingerprint != offer.fingerprint:
            reason = "the key was used for another request"
            return Decision(DecisionKind.MISMATCH, reason=reason)
        if not held.status:
            reason = "the upstream was lost while the call ran"
            return Decision(DecisionKind.UNKNOWN, reason=reason)
        answer = StoredAnswer(held.status, held.headers, held.body)
        return Decision(DecisionKind.REPLAY, answer=answer)

    @staticmethod
    def _answer_unknown(offer: CallOffered, reason: str) -> part.Action:
        decision = Decision(DecisionKind.UNKNOWN, reason=reason)
        return actions.Reply(offer.ticket, decision)

    def _decide(
        self, offer: CallOffered, period: int, now: float
    ) -> part.Action:
        """Decide on a call whose home this process is."""
        current = self._find_period(now)
        if self._is_over(period, current) or period > current:
            return self._answer_unknown(offer, "the key is too old")
        entries = self._periods.setdefault(period, {})
        name = keys.hash_key(offer.key, offer.scope)
        entry = entries.get(name)
        if entry is None:
            return self._start(offer, entries, name)
        return actions.Reply(offer.ticket, _decide_again(offer, entry))

    def _start(
        self, offer: CallOffered, entries: dict[str, _Entry], name: str
    ) -> part.Action:
        if self._count() >= self._settings.key_limit:
            decision = Decision(
                DecisionKind.NOT_RUN,
                reason="this entry holds too many keys",
                retry_after=self._settings.key_period,
            )
            return actions.Reply(offer.ticket, decision)
        entries[name] = _Entry(offer.fingerprint, _State.DISPATCHED)
        decision = Decision(DecisionKind.DISPATCH)
        return actions.Reply(offer.ticket, decision)

    def _count(self) -> int:
        return sum(len(entries) for entries in self._periods.values())

    @part.handles(CallEnded)
    def _on_end(self, ended: CallEnded, now: float) -> list[part.Action]:
        name = keys.hash_key(ended.key, ended.scope)
        entry = self._find(name)
        label = ended.outcome.value
        found: list[part.Action] = [actions.Count(actions.Counter.KEYS, label)]
        if ended.outcome is Outcome.UNKNOWN:
            kind = timeline.EventKind.CALL_UNKNOWN
            found.append(actions.Record(kind, ended.key))
        if entry is None or entry.state is not _State.DISPATCHED:
            return found
        if ended.outcome is Outcome.DONE:
            entry.state = _State.DONE
            entry.answer = self._keep(ended.answer)
        elif ended.outcome is Outcome.NOT_RUN:
            entry.state = _State.FREE
        else:
            entry.state = _State.UNKNOWN
        return found

    def _keep(self, answer: StoredAnswer | None) -> StoredAnswer | None:
        """Return an answer if it is small enough to be kept."""
        if answer is None or len(answer.body) > self._settings.answer_limit:
            return None
        return answer

    def _find(self, name: str) -> _Entry | None:
        for entries in self._periods.values():
            if name in entries:
                return entries[name]
        return None

    # -- Keys that callers choose themselves

    def _offer_own(self, offer: CallOffered, now: float) -> list[part.Action]:
        name = keys.hash_key(offer.key, offer.scope)
        claim = self._bound.get(name)
        if claim is not None:
            return [self._follow(offer, claim, now)]
        for binding in self._bindings.values():
            if binding.name == name:
                binding.offers.append(offer)
                return []
        if offer.forwarded:
            # The sender saw a claim that names this node; if it is not
            # in memory, it was made by an earlier process here.
            return self._read_claim(offer, name, now)
        return self._write_claim(offer, name, now)

    def _make_claim(self, now: float) -> Claim:
        call = self._numbers.next()
        attempt = f"{self._me.node}.{self._me.incarnation}.{call}"
        return Claim(self._me, self._find_period(now), ids.AttemptId(attempt))

    def _write_claim(
        self, offer: CallOffered, name: str, now: float
    ) -> list[part.Action]:
        claim = self._make_claim(now)
        call = self._numbers.next()
        self._bindings[call] = _Binding([offer], name, claim)
        value = msgspec.json.encode(claim)
        absent = ids.Version(0)
        return [actions.WriteObject(call, _claim_key(name), value, absent)]

    def _read_claim(
        self, offer: CallOffered, name: str, now: float
    ) -> list[part.Action]:
        call = self._numbers.next()
        claim = self._make_claim(now)
        self._bindings[call] = _Binding([offer], name, claim, True)
        return [actions.ReadObject(call, _claim_key(name))]

    @part.handles(messages.PlatformAnswer)
    def _on_answer(
        self, answer: messages.PlatformAnswer, now: float
    ) -> list[part.Action]:
        binding = self._bindings.pop(answer.call, None)
        if binding is None:
            return []
        statuses = messages.PlatformStatus
        if not binding.reading and answer.is_ok:
            return self._bind(binding, binding.claim, now)
        if answer.is_ok and answer.stored:
            claim = msgspec.json.decode(answer.stored[0].value, type=Claim)
            return self._bind(binding, claim, now)
        doubtful = answer.status in (statuses.CONFLICT, statuses.LOST)
        if doubtful and not binding.reading:
            return self._read_back(binding)
        return self._refuse(binding)

    def _read_back(self, binding: _Binding) -> list[part.Action]:
        """Learn whose claim it is after a conflict or a lost answer."""
        binding.reading = True
        call = self._numbers.next()
        self._bindings[call] = binding
        return [actions.ReadObject(call, _claim_key(binding.name))]

    def _refuse(self, binding: _Binding) -> list[part.Action]:
        """Say that nobody can tell now; nothing is dispatched.

        Failure: a call ran under this key at its home, the answer was
        lost, and the retry comes here while the platform is down.
        "Not run" would be true of the retry only, and the caller would
        order again under another key. The same key may be tried again.
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

    def _bind(
        self, binding: _Binding, claim: Claim, now: float
    ) -> list[part.Action]:
        if claim.home == self._me:
            self._bound[binding.name] = claim
        return [self._follow(offer, claim, now) for offer in binding.offers]

    def _follow(
        self, offer: CallOffered, claim: Claim, now: float
    ) -> part.Action:
        if claim.home == self._me:
            return self._decide(offer, claim.period, now)
        return self._pass_on(offer, claim.home)


def _decide_again(offer: CallOffered, entry: _Entry) -> Decision:
    if entry.fingerprint != offer.fingerprint:
        reason = "the key was used for another request"
        return Decision(DecisionKind.MISMATCH, reason=reason)
    if entry.state is _State.DONE:
        return Decision(DecisionKind.REPLAY, answer=entry.answer)
    if entry.state is _State.FREE:
        entry.state = _State.DISPATCHED
        return Decision(DecisionKind.DISPATCH)
    if entry.state is _State.DISPATCHED:
        reason = "the call is under way"
        return Decision(
            DecisionKind.IN_PROGRESS, reason=reason, retry_after=_ASK_AGAIN
        )
    reason = "the upstream was lost while the call ran"
    return Decision(DecisionKind.UNKNOWN, reason=reason)


def _describe_state(name: str, entry: _Entry) -> wire.KeyState:
    answer = entry.answer
    if answer is None:
        return wire.KeyState(name, entry.fingerprint)
    return wire.KeyState(
        name, entry.fingerprint, answer.status, answer.headers, answer.body
    )


def _claim_key(name: str) -> objects.ObjectKey:
    return objects.ObjectKey(objects.Kind.CLAIMS.value, name)

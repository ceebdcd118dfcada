"""Requests under faults: at-most-once, retries, routing and admission."""

from collections import abc
import unittest

from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies as st

from currantwall.coordination import actions
from currantwall.coordination import messages
from currantwall.coordination import wire
from currantwall.coordination.replicas import evidence
from currantwall.coordination.requests import breakers
from currantwall.coordination.requests import fairness
from currantwall.coordination.requests import homes
from currantwall.coordination.requests import latency
from currantwall.coordination.requests import retries
from currantwall.coordination.requests import routing
from currantwall.state import ids
from currantwall.state import keys
from standins import sites
from standins import virtual
from tests import faults

_ENTRIES = {"e1": "a", "e2": "a", "e3": "b"}
_SCOPE = "shop/reorders"
Kind = homes.DecisionKind


def make_world(seed: int = 1, extra: str = "") -> virtual.World:
    world = sites.make_site(_ENTRIES, (), seed=seed, extra=extra)
    sites.add_service(world, "s1", "reorders", "a")
    world.run(6.0)
    return world


class ServiceCallers:
    """Callers and a plain service in a simulated site; counts every run.

    It stands in for the transport: offers calls, forwards them to their
    homes, runs them, and reports to the home how they ended.
    """

    def __init__(self, world: virtual.World) -> None:
        self.world = world
        self.runs: dict[str, int] = {}
        self._ticket = 10_000

    def offer(
        self,
        name: str,
        key: str,
        result: str = "done",
        forwarded: bool = False,
    ) -> homes.Decision | None:
        """Offer a call to an entry and carry out its decision.

        Args:
            name: The entry.
            key: The idempotency key.
            result: What the service does when it is dispatched: "done",
                "refused" (not run), "lost" (runs, answer lost), "hangs".
            forwarded: Whether another entry forwards it.
        """
        host = self.world.hosts[ids.NodeId(name)]
        if not host.alive or host.paused:
            return None
        self._ticket += 1
        ticket = self._ticket
        host.tell(
            homes.CallOffered(
                ticket, ids.KeyText(key), _SCOPE, 1, forwarded=forwarded
            )
        )
        self.world.run(
            self.world.now + 5.0, stop=lambda: ticket in host.replies
        )
        decision = host.replies.pop(ticket, None)
        if not isinstance(decision, homes.Decision):
            return None
        if decision.kind is Kind.FORWARD and decision.home is not None:
            return self._forward(key, result, decision)
        if decision.kind is Kind.DISPATCH:
            self._dispatch(host, key, result)
        elif decision.kind in (Kind.NOT_RUN, Kind.MISMATCH):
            self._check_outcome(key, homes.Outcome.NOT_RUN)
        return decision

    def _forward(
        self, key: str, result: str, decision: homes.Decision
    ) -> homes.Decision | None:
        assert decision.home is not None
        # Sent to the node's current process, also if it has restarted.
        return self.offer(decision.home.node, key, result, True)

    def _dispatch(self, host: virtual.Host, key: str, result: str) -> None:
        if result != "refused":
            self.runs[key] = self.runs.get(key, 0) + 1
        if result == "hangs":
            return
        outcome = {
            "done": homes.Outcome.DONE,
            "refused": homes.Outcome.NOT_RUN,
            "lost": homes.Outcome.UNKNOWN,
        }[result]
        answer = homes.StoredAnswer(200, (), key.encode())
        host.tell(
            homes.CallEnded(
                ids.KeyText(key),
                _SCOPE,
                outcome,
                answer if outcome is homes.Outcome.DONE else None,
            )
        )
        self._check_outcome(key, outcome)

    def _check_outcome(self, key: str, outcome: homes.Outcome) -> None:
        ran = self.runs.get(key, 0)
        assert outcome is not homes.Outcome.NOT_RUN or not ran, (
            f"{key} is reported as not run, but it ran"
        )


class HomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.world = make_world()
        self.callers = ServiceCallers(self.world)

    def host(self, name: str) -> virtual.Host:
        return self.world.hosts[ids.NodeId(name)]

    def make_key(self, name: str, unique: str = "o1") -> str:
        prefix = self.host(name).node.homes.make_prefix(self.world.now)
        return prefix + unique

    def test_retry_at_another_entry_gets_the_first_answer(self) -> None:
        # Guards against a second run: the answer is lost on its way to
        # the caller, which retries at another entry.
        key = self.make_key("e1")
        first = self.callers.offer("e1", key)
        again = self.callers.offer("e3", key)
        assert first is not None and again is not None
        self.assertEqual(Kind.DISPATCH, first.kind)
        self.assertEqual(Kind.REPLAY, again.kind)
        assert again.answer is not None
        self.assertEqual(key.encode(), again.answer.body)
        self.assertEqual({key: 1}, self.callers.runs)

    def test_home_that_restarted_runs_nothing_again(self) -> None:
        # Guards against a second run: the home dispatches a call and
        # dies, and the new process at its address does not know the key.
        # The outcome must be "unknown".
        key = self.make_key("e1")
        self.callers.offer("e1", key, "hangs")
        self.host("e1").kill()
        self.host("e1").restart()
        self.world.run(self.world.now + 6.0)
        for name in ("e1", "e2", "e3"):
            decision = self.callers.offer(name, key)
            assert decision is not None
            self.assertEqual(Kind.UNKNOWN, decision.kind)
        self.assertEqual({key: 1}, self.callers.runs)

    def test_planned_stop_hands_the_answers_over(self) -> None:
        # Guards against losing stored answers when an entry is stopped
        # for an update: a retry must get its answer, not "unknown", and
        # a key that was never used must be "not run".
        done, hung = self.make_key("e1", "done"), self.make_key("e1", "hung")
        unused = self.make_key("e1", "unused")
        self.callers.offer("e1", done)
        self.callers.offer("e1", hung, "hangs")
        host = self.host("e1")
        host.perform(host.node.leave(self.world.now))
        host.perform(host.node.homes.hand_over(self.world.now))
        self.world.link_loss = 0.3
        self.world.run(
            self.world.now + 5.0,
            stop=lambda: host.node.homes.is_handed_over,
        )
        self.world.link_loss = 0.0
        self.assertTrue(host.node.homes.is_handed_over)
        self.world.run(self.world.now + 0.5)
        host.kill()
        self.world.run(self.world.now + 10.0)
        expected = {
            done: Kind.REPLAY,
            hung: Kind.UNKNOWN,
            unused: Kind.NOT_RUN,
        }
        for key, kind in expected.items():
            for name in ("e2", "e3"):
                decision = self.callers.offer(name, key)
                assert decision is not None
                self.assertEqual(kind, decision.kind)

    def test_retry_of_a_running_call_is_not_run(self) -> None:
        # Guards against a second run: the caller retries while the first
        # attempt is still running.
        key = self.make_key("e2")
        self.callers.offer("e2", key, "hangs")
        decision = self.callers.offer("e1", key)
        assert decision is not None
        self.assertEqual(Kind.IN_PROGRESS, decision.kind)
        self.assertGreater(decision.retry_after, 0)

    def test_refused_call_may_be_tried_again(self) -> None:
        # The service refuses the call before running it and the caller
        # gets "not run", so a retry must be able to run it.
        key = self.make_key("e1")
        self.callers.offer("e1", key, "refused")
        decision = self.callers.offer("e2", key)
        assert decision is not None
        self.assertEqual({key: 1}, self.callers.runs)

    def test_key_stands_for_one_request(self) -> None:
        # Guards against a lost call: a faulty caller uses one key for two
        # requests. The second must not get the answer of the first.
        key = ids.KeyText(self.make_key("e1"))
        self.callers.offer("e1", key)
        host = self.host("e1")
        host.tell(homes.CallOffered(1, key, _SCOPE, 2))
        decision = host.replies[1]
        assert isinstance(decision, homes.Decision)
        self.assertEqual(Kind.MISMATCH, decision.kind)

    def test_own_key_is_bound_to_one_home(self) -> None:
        # Guards against two homes: two entries get the same caller's own
        # key at the same time. The create-if-absent lets one of them win.
        for ticket, name in ((1, "e1"), (2, "e3")):
            self.host(name).tell(
                homes.CallOffered(ticket, ids.KeyText("mine"), _SCOPE, 1)
            )
        self.world.run(self.world.now + 1.0)
        kinds = [
            self.host("e1").replies[1].kind,  # type: ignore[attr-defined]
            self.host("e3").replies[2].kind,  # type: ignore[attr-defined]
        ]
        self.assertEqual([Kind.DISPATCH, Kind.FORWARD], kinds)

    def test_own_key_is_refused_while_the_platform_is_down(self) -> None:
        # Guards against a wrong "not run": while the platform is down the
        # home cannot be looked up, and the call may have run there.
        # Nothing is run now, and the reason names issued keys.
        self.world.platform.down = True
        decision = self.callers.offer("e1", "mine")
        assert decision is not None
        self.assertEqual(Kind.UNKNOWN, decision.kind)
        self.assertGreater(decision.retry_after, 0)
        self.assertIn("/v1/entries", decision.reason)
        self.assertEqual({}, self.callers.runs)

    def test_issued_key_needs_no_platform(self) -> None:
        # Calls with issued keys must work while the platform is down.
        self.world.platform.down = True
        key = self.make_key("e1")
        before = dict(self.world.platform.calls)
        decision = self.callers.offer("e1", key)
        assert decision is not None
        self.assertEqual(Kind.DISPATCH, decision.kind)
        writes = self.world.platform.calls.get("WriteObject", 0)
        self.assertEqual(before.get("WriteObject", 0), writes)

    def test_forgotten_key_is_never_run_again(self) -> None:
        # Guards against a second run: a retry comes after the home has
        # removed the key's period.
        world = make_world(
            extra="[requests]\nkey_period = 2\nkey_periods = 2\n"
        )
        callers = ServiceCallers(world)
        host = world.hosts[ids.NodeId("e1")]
        key = host.node.homes.make_prefix(world.now) + "o1"
        callers.offer("e1", key)
        world.run(world.now + 20.0)
        decision = callers.offer("e1", key)
        assert decision is not None
        self.assertEqual(Kind.UNKNOWN, decision.kind)
        self.assertEqual({key: 1}, callers.runs)


class AtMostOnce(stateful.RuleBasedStateMachine):
    """Homes pause, die and restart; no key may run more than once."""

    names = st.sampled_from(sorted(_ENTRIES))
    results = st.sampled_from(("done", "refused", "lost", "hangs"))

    @stateful.initialize(seed=st.integers(0, 100))
    def start(self, seed: int) -> None:
        self.world = make_world(seed)
        self.callers = ServiceCallers(self.world)
        self.keys: list[str] = ["own-1", "own-2"]

    @stateful.rule(name=names)
    def issue(self, name: str) -> None:
        key_homes = self.world.hosts[ids.NodeId(name)].node.homes
        prefix = key_homes.make_prefix(self.world.now)
        self.keys.append(f"{prefix}n{len(self.keys)}")

    @stateful.rule(name=names, index=st.integers(0, 50), result=results)
    def offer(self, name: str, index: int, result: str) -> None:
        key = self.keys[index % len(self.keys)]
        decision = self.callers.offer(name, key, result)
        if decision is not None and decision.kind is Kind.REPLAY:
            assert decision.answer is not None
            assert decision.answer.body == key.encode()

    @stateful.rule(name=names, fault=faults.HOST_FAULTS)
    def change_host(self, name: str, fault: str) -> None:
        faults.change_host(self.world, name, fault)
        self.world.run(self.world.now + 1.0)

    @stateful.rule(
        down=st.booleans(),
        lose=st.sampled_from((0.0, 0.5)),
        late=st.sampled_from((0.0, 0.5)),
    )
    def change_platform(self, down: bool, lose: float, late: float) -> None:
        self.world.platform.down = down
        self.world.platform.lose = lose
        self.world.platform.late = late
        self.world.run(self.world.now + 1.0)

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        if not hasattr(self, "callers"):
            return
        for key, runs in self.callers.runs.items():
            assert runs <= 1, f"{key} ran {runs} times"


AtMostOnce.TestCase.settings = hypothesis_settings(
    max_examples=40, stateful_step_count=20
)
AtMostOnceTest = AtMostOnce.TestCase


class KeyTest(unittest.TestCase):
    @given(
        st.from_regex(r"[a-z][a-z0-9-]{0,8}", fullmatch=True),
        st.integers(0, 2**60),
        st.integers(0, 10**6),
        st.text(min_size=1),
    )
    def test_prefix_and_key_go_both_ways(
        self, node: str, incarnation: int, period: int, unique: str
    ) -> None:
        home = keys.Home(ids.NodeId(node), ids.Incarnation(incarnation))
        issued = keys.parse_key(keys.make_prefix(home, period) + unique)
        self.assertEqual(keys.IssuedKey(home, period, unique), issued)

    @given(st.text())
    def test_any_text_is_taken(self, text: str) -> None:
        keys.parse_key(text)


class FairnessTest(unittest.TestCase):
    @given(
        st.floats(0, 1000),
        st.dictionaries(
            st.sampled_from("abcdefgh"), st.floats(0, 500), min_size=1
        ),
        st.dictionaries(st.sampled_from("abcdefgh"), st.floats(0.1, 10)),
    )
    def test_division_is_fair(
        self,
        capacity: float,
        demands: dict[str, float],
        weights: dict[str, float],
    ) -> None:
        # Guards against starvation: a large organisation sends ten times
        # its share. The others must get their demand up to their shares.
        shares = fairness.divide(capacity, demands, weights)
        tolerance = 1e-6 * (1 + capacity)
        self.assertLessEqual(sum(shares.values()), capacity + tolerance)
        total_weight = sum(weights.get(name, 1.0) for name in demands)
        for name, demand in demands.items():
            self.assertLessEqual(shares[name], demand + tolerance)
            fair_share = capacity * weights.get(name, 1.0) / total_weight
            self.assertGreaterEqual(
                shares[name], min(demand, fair_share) - tolerance
            )


class RetryTest(unittest.TestCase):
    def decide(
        self, budget: retries.Retries, **changes: object
    ) -> retries.RetryDecision:
        values: dict[str, object] = {
            "attempts": 1,
            "may_have_run": False,
            "idempotent": True,
            "started": False,
            "deadline": 100.0,
        }
        failure = retries.AttemptFailure(**{**values, **changes})  # type: ignore[arg-type]
        return budget.decide(failure, 0.0)

    def test_what_may_have_run_is_not_repeated(self) -> None:
        # Guards against a second run: the connection breaks after a
        # request that is not idempotent was sent.
        budget = retries.Retries(0.1, 3)
        decided = self.decide(budget, may_have_run=True, idempotent=False)
        self.assertEqual(retries.RetryDecision.UNSAFE, decided)
        decided = self.decide(budget, idempotent=False)
        self.assertEqual(retries.RetryDecision.RETRY, decided)

    def test_retries_stay_a_share_of_the_requests(self) -> None:
        # Guards against retries that multiply the load when all upstreams
        # are down and every request fails immediately.
        budget = retries.Retries(0.1, 3)
        retried = 0
        for _ in range(1000):
            budget.earn()
            decided = self.decide(budget)
            retried += decided is retries.RetryDecision.RETRY
        self.assertLessEqual(retried, 110)


class BreakerTest(unittest.TestCase):
    def test_one_trial_at_a_time(self) -> None:
        # Guards against overload after an outage: a thousand requests
        # that all try the upstream at once would take it down again.
        circuit_breakers = breakers.Breakers()
        for _ in range(5):
            self.assertTrue(circuit_breakers.allows("u", 0.0))
            circuit_breakers.record_failure("u", 0.0)
        self.assertFalse(circuit_breakers.allows("u", 0.5))
        self.assertTrue(circuit_breakers.allows("u", 1.1))
        circuit_breakers.record_start("u")
        self.assertFalse(circuit_breakers.allows("u", 1.1))
        circuit_breakers.record_failure("u", 1.2)
        self.assertFalse(circuit_breakers.allows("u", 2.5))
        self.assertTrue(circuit_breakers.allows("u", 3.3))
        circuit_breakers.record_start("u")
        circuit_breakers.record_success("u")
        self.assertTrue(circuit_breakers.allows("u", 3.3))

    def test_straggler_gets_trials_only(self) -> None:
        # One upstream takes ten times as long as its peers.
        latencies = latency.Latencies()
        for name in "abcd":
            for _ in range(5):
                latencies.record_duration(name, 10.0 if name == "a" else 1.0)
        latencies.update_median("t", list("abcd"))
        latencies.record_start("a", 0.0)
        self.assertFalse(latencies.allows("t", "a", 4.0))
        self.assertTrue(latencies.allows("t", "a", 5.0))
        self.assertTrue(latencies.allows("t", "b", 4.0))


class AdmissionTest(unittest.TestCase):
    """One entry and one service instance with two slots."""

    def setUp(self) -> None:
        extra = (
            "[service booth]\nconcurrency = 2\n"
            "[organisation big]\ntoken = b\n"
            "[organisation small]\ntoken = s\n"
            "[requests]\nqueue_limit = 4\nqueue_time = 5\n"
        )
        world = sites.make_site({"e1": "a"}, (), extra=extra)
        sites.add_service(world, "b1", "booth", "a")
        world.run(5.0)
        self.world = world
        self.host = world.hosts[ids.NodeId("e1")]
        self._ticket = 0

    def ask(
        self,
        organisation: str = "big",
        weight: float = 1.0,
        seconds: float = 60.0,
    ) -> int:
        self._ticket += 1
        self.host.tell(
            routing.RouteRequested(
                ticket=self._ticket,
                attempt=ids.AttemptId(f"a{self._ticket}"),
                service=ids.ServiceName("booth"),
                organisation=ids.OrganisationName(organisation),
                weight=weight,
                deadline=self.world.now + seconds,
            )
        )
        return self._ticket

    def end(self, ticket: int) -> None:
        attempt = ids.AttemptId(f"a{ticket}")
        self.host.tell(routing.AttemptEnded(attempt))

    def is_routed(self, ticket: int) -> bool:
        return isinstance(self.host.replies.get(ticket), routing.Route)

    def test_waiting_request_is_served_when_one_ends(self) -> None:
        first, second, third = self.ask(), self.ask(), self.ask()
        self.assertTrue(self.is_routed(first) and self.is_routed(second))
        self.assertNotIn(third, self.host.replies)
        self.end(first)
        self.assertTrue(self.is_routed(third))

    def test_small_organisation_is_not_starved(self) -> None:
        # Guards against starvation: a large organisation has filled the
        # queue. In order of arrival the single request of a small one
        # would wait behind all of them.
        running = [self.ask(), self.ask()]
        waiting = [self.ask() for _ in range(3)]
        small = self.ask("small")
        self.end(running[0])
        self.end(running[1])
        self.assertTrue(self.is_routed(small))
        self.assertFalse(self.is_routed(waiting[2]))

    def test_heavier_request_displaces_a_lighter_queued_one(self) -> None:
        # The queue is full when a request of a higher weight comes. One
        # queued request is refused at once, with a retry-after.
        for _ in range(2):
            self.ask()
        lighter = [self.ask(weight=1.0) for _ in range(4)]
        heavier = self.ask(weight=3.0)
        refused = [ticket for ticket in lighter if ticket in self.host.replies]
        self.assertEqual(1, len(refused))
        answer = self.host.replies[refused[0]]
        assert isinstance(answer, routing.Refusal)
        self.assertGreater(answer.retry_after, 0)
        self.assertNotIn(heavier, self.host.replies)

    def test_request_that_cannot_meet_its_deadline_is_refused_early(
        self,
    ) -> None:
        # Guards against holding back a refusal to delay the caller's
        # retry: it must come as soon as the deadline cannot be met.
        for _ in range(2):
            self.ask()
        hopeless = self.ask(seconds=3.0)
        refused_at: list[float] = []

        def is_refused() -> bool:
            if hopeless in self.host.replies and not refused_at:
                refused_at.append(self.world.now)
            return bool(refused_at)

        started = self.world.now
        self.world.run(started + 10.0, stop=is_refused)
        self.assertTrue(refused_at)
        self.assertLess(refused_at[0] - started, 3.0)

    def test_request_for_an_unknown_profile_does_not_stop_routing(
        self,
    ) -> None:
        # Guards against a queue for a profile that does not exist: the
        # next tick failed on it, all probing stopped, and a moment later
        # no replica could be used.
        self.host.tell(
            routing.RouteRequested(
                ticket=1,
                attempt=ids.AttemptId("a1"),
                profile=ids.ProfileName("nobody"),
            )
        )
        answer = self.host.replies[1]
        assert isinstance(answer, routing.Refusal)
        unknown = routing.RefusalReason.UNKNOWN_TARGET
        self.assertEqual(unknown, answer.reason)
        self.world.run(self.world.now + 5.0)
        self.assertTrue(self.is_routed(self.ask()))

    def test_ended_attempt_ends_once(self) -> None:
        # Guards against freeing a slot twice: an answer arrives after
        # its attempt was ended.
        first = self.ask()
        self.end(first)
        self.end(first)
        self.assertEqual(0, self.host.node.router.open_attempts)
        late = actions.Counter.LATE_ANSWERS.value
        self.assertEqual(1, self.host.counts[f"{late}/"])


class RouterTest(unittest.TestCase):
    """Compared with a naive router that knows every load exactly."""

    def run_load(self, choose: abc.Callable[..., str], count: int) -> int:
        """Return the largest load after a number of choices."""
        loads = dict.fromkeys((f"s{n}" for n in range(1, 11)), 0)
        for number in range(count):
            loads[choose(loads, number)] += 1
        return max(loads.values())

    def test_largest_load_is_near_that_of_exact_load_counts(self) -> None:
        # The load reports do not change meanwhile, as when they lag. The
        # naive router sends each request to the least loaded upstream.
        extra = "[service booth]\nconcurrency = 1000\n"
        world = sites.make_site({"e1": "a"}, (), extra=extra)
        for number in range(1, 11):
            sites.add_service(world, f"s{number}", "booth", "a")
        world.run(5.0)
        host = world.hosts[ids.NodeId("e1")]

        def choose_by_router(loads: dict[str, int], number: int) -> str:
            request = routing.RouteRequested(
                ticket=number,
                attempt=ids.AttemptId(f"a{number}"),
                service=ids.ServiceName("booth"),
            )
            answer = sites.ask(host, request)
            assert isinstance(answer, routing.Route)
            return answer.subject

        def choose_least_loaded(loads: dict[str, int], number: int) -> str:
            return min(loads, key=lambda name: (loads[name], name))

        best = self.run_load(choose_least_loaded, 500)
        self.assertLessEqual(self.run_load(choose_by_router, 500), best + 5)


class ReportLagTest(unittest.TestCase):
    def test_own_requests_count_between_two_reports(self) -> None:
        # Guards against overload by lagging reports: without counting its
        # own requests an entry would send a whole burst to the upstream
        # that looked idle half a second ago.
        world = sites.make_site(
            {"e1": "a"}, (), extra="[service booth]\nconcurrency = 4\n"
        )
        sites.add_service(world, "b1", "booth", "a")
        world.run(5.0)
        host = world.hosts[ids.NodeId("e1")]
        for number in range(4):
            host.tell(
                routing.RouteRequested(
                    ticket=number,
                    attempt=ids.AttemptId(f"a{number}"),
                    service=ids.ServiceName("booth"),
                )
            )
        self.assertEqual(4, host.node.router.estimate_load("b1"))
        host.tell(routing.AttemptEnded(ids.AttemptId("a0")))
        self.assertEqual(3, host.node.router.estimate_load("b1"))


class StaleLedgerTest(unittest.TestCase):
    def test_replica_is_not_used_while_its_ledger_is_outdated(self) -> None:
        # Guards against requests to a draining replica: an entry loses
        # the push and still sees it as serving, with fresh evidence. The
        # evidence names a newer ledger, so the entry waits for that.
        world = sites.make_site(
            {"e1": "a"},
            [sites.DomainSpec(name="f", datacentre="a", engines=2)],
        )
        world.run(6.0)
        text = "[profile p]\nmodel = m\nreplica_size = 2\ncapacity = 8\n"
        sites.store_profile(world, sites.parse(text))
        world.run(30.0)
        node = world.hosts[ids.NodeId("e1")].node
        ledger = node.view.domains["f"]
        replica = ledger.replicas[0]
        self.assertTrue(node.evidence.may_use(ledger, replica, world.now))
        newer = wire.Evidence(
            subject=replica.id,
            verdict=wire.Verdict.WHOLE,
            generation=replica.generation,
            serial=ledger.serial + 1,
        )
        delivered = messages.Delivered(ids.NodeId("other"), newer)
        node.handle(delivered, world.now)
        self.assertFalse(node.evidence.may_use(ledger, replica, world.now))


class OwnFailureTest(unittest.TestCase):
    def test_own_failed_connect_counts_until_a_newer_probe(self) -> None:
        # Guards against repeated failed connections: a replica's leader
        # refuses this entry's connection, while the observers' last
        # probe, a moment ago, succeeded.
        world = make_world()
        node = world.hosts[ids.NodeId("e1")].node
        now = world.now
        self.assertTrue(node.evidence.is_whole("s1", 0, now))
        node.handle(evidence.UpstreamFailed("s1", 0), now)
        self.assertFalse(node.evidence.is_whole("s1", 0, now))
        world.run(now + 2.0)
        self.assertTrue(node.evidence.is_whole("s1", 0, world.now))

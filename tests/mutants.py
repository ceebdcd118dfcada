"""Checks by mutation that tests can fail: removes guards one at a time.

``python -m tests.mutants [NAME ...]`` copies the source tree for each
mutant, replaces the guard and runs the test that should then fail. If a
test passes without its guard, this is printed and the exit code is 1.
"""

import pathlib
import shutil
import subprocess
import sys
import tempfile

import msgspec

_ROOT = pathlib.Path(__file__).parent.parent
_COPIED_FOLDERS = (
    "currantwall",
    "platform",
    "standins",
    "soak",
    "bench",
    "tests",
    "examples",
)


class Mutant(msgspec.Struct, frozen=True):
    """A guard in the source and the test that should fail without it.

    Attributes:
        name: The fault that the mutant has.
        file: Path of the source file.
        guard: Text of the guard; it must occur once in the file.
        replacement: Text in place of the guard.
        test: Name of the test.
    """

    name: str
    file: str
    guard: str
    replacement: str
    test: str


_COORDINATION = "currantwall/coordination"
_REPLICAS = "tests.test_replicas"
_COLD = "tests.test_cold.ColdSharesTest"
_COLDNESS = "tests.test_cold.ColdnessTest"
_DUTIES = "tests.test_duties"
_RESTORED = f"{_DUTIES}.RestoredLeaseTest"
_ADDRESSES = "tests.test_addresses"
_ADAPTER = "tests.test_adapter.ObjectStoreTest"
_DIGESTS = "tests.test_digests"
_BUDGET = "tests.test_buffering.BudgetTest"
_FEEDS = "tests.test_feeds"
_EVACUATIONS = "tests.test_evacuations"
_GATEWAY = "tests.test_gateway.PathTest"
_FORMATION = "tests.test_formation.FormationTest"
_PARTITIONS = "tests.test_partitions.PartitionTest"
_PLACING = "tests.test_placing"
_QUARANTINE = f"{_COORDINATION}/requests/quarantine.py"
_CRASHLOG = f"{_COORDINATION}/requests/crashlog.py"
_EVIDENCE = "tests.test_quarantine.EvidenceTest"
_REPORTS = "tests.test_quarantine.ReportsTest"
_REQUESTS = "tests.test_quarantine.RequestTest"
_SHARES = "tests.test_limits.SharesTest"
_WITHDRAWALS = "tests.test_withdrawals"
MUTANTS = (
    Mutant(
        "a closed connection is kept after its reset",
        "currantwall/transport/buffers.py",
        "        if self._socket.getsockopt(socket.SOL_SOCKET, "
        "socket.SO_ERROR):\n",
        "        if False:\n",
        "tests.test_acceptors.ClosedSocketTest"
        ".test_a_closed_connection_that_is_reset_is_let_go",
    ),
    Mutant(
        "a server that closes drops what has arrived",
        "currantwall/transport/ingress.py",
        "            return self._has_input()\n",
        "            return False\n",
        "tests.test_closing.ConnectionsTest"
        ".test_a_request_that_has_arrived_is_answered",
    ),
    Mutant(
        "bodies that grow wait for each other",
        f"{_COORDINATION}/requests/bodies.py",
        "            held > 0 and holding",
        "            held < 0 and holding",
        "tests.test_bodies.BudgetTest"
        ".test_growing_bodies_do_not_wait_for_each_other",
    ),
    Mutant(
        "a stream gets a third upstream",
        "currantwall/transport/races.py",
        "            runner.attempt.is_held for runner in self._runners\n",
        "            True for runner in self._runners\n",
        "tests.test_races.RaceTest"
        ".test_a_silent_attempt_that_breaks_off_is_not_replaced_twice",
    ),
    Mutant(
        "all of an event is searched at each piece",
        "currantwall/protocol/events.py",
        "        start = max(0, len(self._buffer) - (_EVENT_END_BYTES - 1))\n",
        "        start = 0\n",
        "tests.test_gateway_parts.SplitterTest"
        ".test_an_event_without_end_costs_what_its_bytes_cost",
    ),
    Mutant(
        "the path is tried at services that nobody uses",
        f"{_COORDINATION}/requests/paths.py",
        "if not services or one.service in services",
        "if True",
        "tests.test_paths.PathsTest"
        ".test_a_check_tries_services_that_requests_are_sent_to",
    ),
    Mutant(
        "a stream that ends inside an event counts as complete",
        f"{_COORDINATION}/requests/attempts.py",
        "    return is_inside_event or not (has_events or is_delimited)\n",
        "    return not (has_events or is_delimited)\n",
        f"{_GATEWAY}.test_a_stream_that_ends_inside_an_event_is_resumed",
    ),
    Mutant(
        "a node blames upstreams that it can't reach itself",
        f"{_COORDINATION}/requests/paths.py",
        "            self._presence.has_path = False\n",
        "            pass\n",
        f"{_PARTITIONS}.test_first_attempts_are_served_by_way_of_a_peer",
    ),
    Mutant(
        "a holder reports losses that it can't know of",
        "currantwall/transport/duties.py",
        "        if not has_path:\n            return\n",
        "",
        f"{_DUTIES}.ProbeTest.test_a_holder_without_a_path_reports_no_losses",
    ),
    Mutant(
        "an instance that stands still for a second is lost",
        f"{_COORDINATION}/replicas/knowledge.py",
        "            record.missed = _MISSED_PROBES_LIMIT if is_over else 0\n",
        "            record.missed += 1\n",
        f"{_DUTIES}.ProbeTest.test_an_instance_that_stands_still_is_kept",
    ),
    Mutant(
        "an instance that stands still is never lost",
        f"{_COORDINATION}/replicas/knowledge.py",
        "            record.missed = _MISSED_PROBES_LIMIT if is_over else 0\n",
        "            record.missed = 0\n",
        f"{_DUTIES}.ProbeTest.test_an_instance_that_stands_still_is_kept",
    ),
    Mutant(
        "a second probe uses the idle connection that is silent",
        "currantwall/transport/duties.py",
        "            domain.probes_in_flight.discard(upstream.id)\n"
        "        domain.planner.knowledge.note_report",
        "            pass\n"
        "        domain.probes_in_flight.discard(upstream.id)\n"
        "        domain.planner.knowledge.note_report",
        f"{_DUTIES}.ProbeTest.test_the_probe_after_a_miss_is_a_new_connection",
    ),
    Mutant(
        "a silent attempt is ended",
        "currantwall/transport/races.py",
        "        if self._sender.hold_attempt(",
        "        self._runners.remove(runner)\n"
        "        runner.attempt.exchange.cancel()\n"
        "        if self._sender.hold_attempt(",
        "tests.test_silence.OnlyReplicaTest.test_the_only_replica_is_silent",
    ),
    Mutant(
        "a silent upstream has crashed",
        "currantwall/transport/crashes.py",
        "_find_state(upstream) is endings.Finding.ENDED\n",
        "_find_state(upstream) is not endings.Finding.ALIVE\n",
        "tests.test_crash_checks.CrashChecksTest"
        ".test_a_silent_upstream_has_not_crashed",
    ),
    Mutant(
        "a single connection finds a lost path again",
        f"{_COORDINATION}/requests/paths.py",
        "        elif self._successes >= _CHECKS_TO_FIND:\n",
        "        else:\n",
        "tests.test_paths.PathsTest"
        ".test_a_single_connection_does_not_bring_a_lost_path_back",
    ),
    Mutant(
        "an answer ends with its peer",
        "currantwall/transport/peerexchanges.py",
        '                raise OSError("its answer is incomplete")\n',
        "                self._put(exchanges.End(self.number))\n"
        "                return\n",
        "tests.test_paths.PeerExchangeTest"
        ".test_an_answer_whose_peer_ends_is_not_complete",
    ),
    Mutant(
        "a peer that stops ends what it forwards",
        "currantwall/gateway.py",
        "self._front.in_flight + self._peer_exchanges.in_flight\n",
        "self._front.in_flight\n",
        f"{_PARTITIONS}.test_a_peer_that_stops_finishes_what_it_forwards",
    ),
    Mutant(
        "requests go by way of peers without a path",
        f"{_COORDINATION}/requests/paths.py",
        "        able = self._presence.list_with_path(now)\n        able = [",
        "        able = self._presence.list_ready(now)\n        able = [",
        "tests.test_paths.PathsTest"
        ".test_requests_go_by_way_of_peers_with_a_path_only",
    ),
    Mutant(
        "a stream that ends before its first event counts as complete",
        f"{_COORDINATION}/requests/attempts.py",
        "    return is_inside_event or not (has_events or is_delimited)\n",
        "    return is_inside_event\n",
        f"{_GATEWAY}"
        ".test_a_stream_that_ends_before_its_first_event_is_no_answer",
    ),
    Mutant(
        "every node holds a share of every limit",
        f"{_COORDINATION}/requests/ratelimits.py",
        "        return limit.rank < holders + successors\n",
        "        return True\n",
        f"{_SHARES}.test_all_nodes_together_keep_to_a_limit",
    ),
    Mutant(
        "a holder of a limit sends as much as it likes",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            limit.tokens -= 1.0\n",
        "            pass\n",
        f"{_SHARES}.test_all_nodes_together_keep_to_a_limit",
    ),
    Mutant(
        "an older report of a limit replaces a newer answer",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            if known is None or observed_at > known.observed_at:\n",
        "            if True:\n",
        f"{_SHARES}.test_an_old_report_does_not_bring_a_limit_back",
    ),
    Mutant(
        "nobody succeeds the silent holders of a limit",
        f"{_COORDINATION}/requests/ratelimits.py",
        "        successors = int("
        "max(silent, 0.0) * self._compute_rate(limit, now))\n",
        "        successors = 0\n",
        f"{_SHARES}.test_a_limit_is_kept_while_its_holders_send_nothing",
    ),
    Mutant(
        "all nodes try an upstream whose limit nobody confirms",
        f"{_COORDINATION}/requests/ratelimits.py",
        "        successors = int("
        "max(silent, 0.0) * self._compute_rate(limit, now))\n",
        "        successors = len(self._named.nodes) if silent > 0 else 0\n",
        f"{_SHARES}.test_a_limit_is_kept_while_its_holders_send_nothing",
    ),
    Mutant(
        "the end of a limit is not reported",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            if now < limit.reported_until\n",
        "            if now < limit.reported_until and limit.rate\n",
        f"{_SHARES}.test_all_nodes_learn_that_a_limit_has_ended",
    ),
    Mutant(
        "every node holds a share of a cold upstream",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            return limit.rank < holders\n",
        "            return True\n",
        f"{_COLD}.test_any_second_stays_below_the_bound_and_the_rate_is_used",
    ),
    Mutant(
        "a holder grants more than its share",
        f"{_COORDINATION}/requests/ratelimits.py",
        "                limit.tokens -= part\n",
        "                pass\n",
        f"{_COLD}.test_any_second_stays_below_the_bound_and_the_rate_is_used",
    ),
    Mutant(
        "the share of a holder without requests is unused",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            for index in range(parts):\n",
        "            for index in range(0):\n",
        f"{_COLD}.test_any_second_stays_below_the_bound_and_the_rate_is_used",
    ),
    Mutant(
        "nodes on the other side of a partition hold no share",
        f"{_COORDINATION}/requests/ratelimits.py",
        "dict.fromkeys((*nodes, *known), now)",
        "dict.fromkeys(nodes, now)",
        f"{_COLD}.test_parts_that_cannot_reach_each_other_keep_to_one_bound",
    ),
    Mutant(
        "a node holds a share as soon as it is ready",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            if since is None or now < since + _SETTLING_SECONDS:\n",
        "            if since is None:\n",
        f"{_COLD}.test_nodes_that_start_meanwhile_add_nothing",
    ),
    Mutant(
        "a node that knows no others holds the whole limit",
        f"{_COORDINATION}/requests/ratelimits.py",
        "            if since is None or now < since + _SUCCESSION_DELAY:\n",
        "            if since is None:\n",
        f"{_COLD}.test_a_node_that_knows_no_others_limits_itself",
    ),
    Mutant(
        "a late grant counts",
        f"{_COORDINATION}/requests/ratelimits.py",
        "        if asked_at is None or now > asked_at + _GRANT_SECONDS:\n",
        "        if asked_at is None:\n",
        f"{_COLD}.test_a_grant_is_void_when_it_is_late_or_comes_twice",
    ),
    Mutant(
        "a repeated grant counts twice",
        f"{_COORDINATION}/requests/ratelimits.py",
        "self._asked_at.pop(grant.serial, None)",
        "self._asked_at.get(grant.serial)",
        f"{_COLD}.test_a_grant_is_void_when_it_is_late_or_comes_twice",
    ),
    Mutant(
        "a limit ends with the cold time",
        f"{_COORDINATION}/requests/ratelimits.py",
        "        return rate * _RAMP_FACTOR**risen\n",
        "        return rate * 1000.0\n",
        f"{_COLD}.test_the_share_rises_when_the_upstream_becomes_warm",
    ),
    Mutant(
        "cold upstreams are chosen like warm ones",
        f"{_COORDINATION}/requests/balancing.py",
        "        return warm or cold\n",
        "        return usable\n",
        f"{_COLDNESS}.test_cold_upstreams_take_what_warm_ones_have_no_room_for",
    ),
    Mutant(
        "an older entry replaces what an answer said",
        f"{_COORDINATION}/requests/coldness.py",
        "            if left <= 0 and not is_new and is_outdated:\n",
        "            if False:\n",
        f"{_COLDNESS}.test_an_answer_counts_more_than_an_older_entry",
    ),
    Mutant(
        "relays pass limits on without the time they held them",
        f"{_COORDINATION}/peers/digests.py",
        "msgspec.structs.replace(limit, age=limit.age + age)",
        "msgspec.structs.replace(limit, age=limit.age)",
        f"{_DIGESTS}.LargeFleetTest"
        ".test_every_node_learns_a_limit_and_the_age_of_its_answer",
    ),
    Mutant(
        "upstreams that limit their requests are chosen like others",
        f"{_COORDINATION}/requests/balancing.py",
        "            if self.limits.permits(upstream.id, now)\n",
        "            if True\n",
        "tests.test_limits.LimitedServerTest"
        ".test_nodes_together_keep_to_the_limit_of_a_plain_server",
    ),
    Mutant(
        "upstreams that asked for a pause are chosen like others",
        f"{_COORDINATION}/requests/balancing.py",
        "            if not self.withdrawals"
        ".get_remaining(upstream.id, now)\n",
        "            if True\n",
        f"{_WITHDRAWALS}.WithdrawnServerTest"
        ".test_a_plain_server_is_left_alone_for_its_pause",
    ),
    Mutant(
        "a shorter pause ends a longer one",
        f"{_COORDINATION}/requests/withdrawals.py",
        "max(end, self._pauses.get(instance, end))",
        "end",
        f"{_WITHDRAWALS}.PauseTest"
        ".test_a_shorter_pause_does_not_end_a_longer_one",
    ),
    Mutant(
        "own entries forget the pauses of upstreams",
        f"{_COORDINATION}/requests/routing.py",
        "        if ended.pause > 0:\n",
        "        if False:\n",
        "tests.test_sockets.UpstreamTest"
        ".test_upstreams_that_ask_for_a_pause_are_left_alone",
    ),
    Mutant(
        "a plain server's answer that it leaves is not heeded",
        f"{_COORDINATION}/requests/balancing.py",
        "                and not self.withdrawals.is_leaving(upstream)\n",
        "",
        f"{_WITHDRAWALS}.LeavingServerTest"
        ".test_a_plain_server_that_leaves_gets_no_more_requests",
    ),
    Mutant(
        "a leader's answer that it leaves is not heeded",
        f"{_COORDINATION}/requests/balancing.py",
        "            if not self.withdrawals.is_leaving(leader)\n",
        "            if True\n",
        f"{_WITHDRAWALS}.LeavingServerTest"
        ".test_a_leader_that_leaves_gets_no_more_requests",
    ),
    Mutant(
        "a server is left alone because its predecessor left",
        f"{_COORDINATION}/requests/withdrawals.py",
        "        return not is_start_known"
        " or departure.born == upstream.born\n",
        "        return True\n",
        f"{_WITHDRAWALS}.LeavingTest"
        ".test_a_server_started_again_under_its_id_is_used",
    ),
    Mutant(
        "a slightly slow instance is reported as slow",
        "currantwall/transport/duties.py",
        "        is_slow = found.pace >= _SLOW_PACE\n",
        "        is_slow = found.pace > 1.0\n",
        f"{_DUTIES}.SlowTest"
        ".test_a_member_that_is_a_little_slow_is_not_reported",
    ),
    Mutant(
        "a slow member is reported only once",
        "currantwall/transport/duties.py",
        "        domain.slow.add(found.id)\n",
        "",
        f"{_DUTIES}.SlowTest"
        ".test_a_slow_member_is_reported_until_it_is_no_longer_slow",
    ),
    Mutant(
        "slow replicas are skipped although most are slow",
        f"{_COORDINATION}/requests/balancing.py",
        "        if 2 * len(remaining) >= len(candidates):\n",
        "        if True:\n",
        "tests.test_gateway_parts.BalancerTest"
        ".test_slow_replicas_serve_where_most_are_slow",
    ),
    Mutant(
        "other nodes call an unavailable store as often as readers",
        "currantwall/transport/configurations.py",
        "_FOLLOWER_BACKOFF_FIRST = 4.0\n",
        "_FOLLOWER_BACKOFF_FIRST = 0.1\n",
        f"{_FEEDS}.ConfigurationFeedTest"
        ".test_an_outage_costs_others_than_readers_a_call_in_seconds",
    ),
    Mutant(
        "a line of a request ends with a bare LF",
        "currantwall/transport/readers.py",
        'x80-\\xff]*\\r\\n")\n_FIELD',
        'x80-\\xff]*\\r?\\n")\n_FIELD',
        "tests.test_ingress.FuzzTest"
        ".test_an_ambiguous_request_ends_its_connection",
    ),
    Mutant(
        "a connection with extra bytes is reused",
        "currantwall/transport/exchanges.py",
        "if connection.sock.is_ambiguous:",
        "if False:",
        "tests.test_exchanges.ExchangeTest"
        ".test_a_connection_with_extra_bytes_is_not_reused",
    ),
    Mutant(
        "requests are refused as soon as a paused node resumes",
        f"{_COORDINATION}/requests/admission.py",
        "return now < self._held_until",
        "return False",
        "tests.test_replicas.LeaseTest"
        ".test_a_paused_node_refuses_no_request_when_it_resumes",
    ),
    Mutant(
        "a probe that a pause outlasts counts as failed",
        f"{_COORDINATION}/replicas/observation.py",
        "if is_timeout and observed.probed_at < self._resumed_at:",
        "if False:",
        "tests.test_replicas.LeaseTest"
        ".test_a_probe_that_a_pause_outlasts_shows_no_silence",
    ),
    Mutant(
        "only one process can listen on an address",
        "currantwall/transport/listeners.py",
        "    if int(port):\n",
        "    if False:\n",
        "tests.test_ingress.ListenerTest"
        ".test_a_process_listens_while_its_predecessor_ends",
    ),
    Mutant(
        "losses are not reported while nobody holds the lease",
        "currantwall/transport/domainleases.py",
        "        return self._find_prober(lease, now)"
        " == self._presence.me.id\n",
        "        return False\n",
        f"{_DUTIES}.ProbeTest.test_a_loss_is_reported_while_the_store_is_down",
    ),
    Mutant(
        "an isolated node reports losses",
        "currantwall/transport/domainleases.py",
        "is_lapsed(now) or self._presence.is_isolated(now):",
        "is_lapsed(now):",
        f"{_DUTIES}.ProbeTest"
        ".test_a_node_without_heartbeats_of_others_reports_no_losses",
    ),
    Mutant(
        "lost answers are not reported to other nodes",
        f"{_COORDINATION}/requests/balancing.py",
        "                counts[_format_lost_key(name)] = lost\n",
        "                pass\n",
        "tests.test_balancing.LostAnswersTest"
        ".test_nodes_avoid_an_upstream_that_lost_answers_of_others",
    ),
    Mutant(
        "delayed counts are treated as current",
        f"{_COORDINATION}/requests/balancing.py",
        "        if len(sampled) == 2 and self.are_counts_relayed and",
        "        if False and",
        "tests.test_balancing.LoadTest"
        ".test_counts_as_old_as_requests_do_not_overrun_replicas",
    ),
    Mutant(
        "nodes refuse requests at once while starting",
        f"{_COORDINATION}/requests/attempts.py",
        "    return max(0.0, _START_HOLD - uptime)\n",
        "    return 0.0\n",
        "tests.test_gateway.FailureTest"
        ".test_callers_are_served_while_a_node_starts",
    ),
    Mutant(
        "a leader that refuses probes is treated as gone",
        f"{_COORDINATION}/replicas/formation.py",
        "        if phase is Phase.BROKEN:\n",
        "        if phase is Phase.BROKEN or record.is_refusing:\n",
        f"{_FORMATION}.test_members_leave_a_leader_that_has_stopped_listening",
    ),
    Mutant(
        "the oldest request goes first even if it is late",
        f"{_COORDINATION}/requests/backlog.py",
        "        if self.is_late(ticket, now):\n            # The",
        "        if True:\n            # The",
        f"{_PLACING}.BacklogTest"
        ".test_requests_that_can_be_in_time_go_before_late_ones",
    ),
    Mutant(
        "no limit on the requests sent to a replica",
        f"{_COORDINATION}/requests/balancing.py",
        "        if get_limit is not None:\n",
        "        if False:\n",
        f"{_PLACING}.SurgeTest.test_most_are_in_time_while_twice_as_many_come",
    ),
    Mutant(
        "pauses of a slow gateway lower the replicas' limits",
        f"{_COORDINATION}/requests/placing.py",
        "        return max(usual, _USUAL_PAUSE_FACTOR * shortest)\n",
        "        return usual\n",
        f"{_PLACING}.PlacerTest"
        ".test_a_slow_gateway_does_not_lower_the_limits_of_all_replicas",
    ),
    Mutant(
        "a leader that another server answers for is tried again",
        f"{_COORDINATION}/requests/balancing.py",
        "now + _LOSS_EJECTION_SECONDS)\n\n    def note_failure",
        "now)\n\n    def note_failure",
        "tests.test_gateway_parts.BalancerTest"
        ".test_a_leader_that_another_server_answers_for_is_avoided",
    ),
    Mutant(
        "an old report of a loss applies to a repaired replica",
        f"{_COORDINATION}/requests/balancing.py",
        "        if upstream.seat is None or upstream.seat.epoch <= epoch:\n",
        "        if True:\n",
        "tests.test_gateway_parts.BalancerTest"
        ".test_a_repaired_replica_is_not_avoided_for_an_old_report",
    ),
    Mutant(
        "a domain gives up its model for one that is not scarce",
        f"{_COORDINATION}/replicas/staging.py",
        "    return is_scarce and is_too_small\n",
        "    return is_too_small\n",
        "tests.test_formation.FormationTest"
        ".test_a_domain_waits_for_replacements_while_others_have_plenty",
    ),
    Mutant(
        "domains change although the work is as stated",
        f"{_COORDINATION}/replicas/rebalancing.py",
        "            >= _MIN_DEVIATION * max(model.share, 0.01)\n",
        "            >= 0\n",
        "tests.test_layout.ReplayTest"
        ".test_nothing_changes_where_the_work_is_as_stated",
    ),
    Mutant(
        "a replica is drained by a list from before an outage",
        f"{_COORDINATION}/replicas/conversions.py",
        "    if len(replicas) < change.held:\n",
        "    if False:\n",
        "tests.test_layout.StepTest"
        ".test_no_replica_is_drained_by_a_list_that_shows_more",
    ),
    Mutant(
        "a change is undone within the time in which it pays off",
        f"{_COORDINATION}/replicas/rebalancing.py",
        "if is_opposite and now",
        "if False and now",
        "tests.test_layout.ReplayTest"
        ".test_nothing_is_loaded_back_after_a_reversal_in_an_outage",
    ),
    Mutant(
        "instances that left stay when only changes are applied",
        "currantwall/state/upstreams.py",
        "        old = [held[name] for name in gone if name in held]\n",
        "        old = []\n",
        "tests.test_large_fleet.FleetTest"
        ".test_changes_give_the_same_fleet_as_the_whole_list",
    ),
    Mutant(
        "leases are read by nodes that may not hold them",
        f"{_COORDINATION}/replicas/leases.py",
        "    return rank < _CANDIDATES\n",
        "    return True\n",
        "tests.test_large_fleet.QuietTest"
        ".test_only_who_may_hold_a_lease_reads_it",
    ),
    Mutant(
        "a list that is not updated is treated as complete",
        "currantwall/transport/duties.py",
        "        seen = self._fleet.updated\n",
        "        seen = self._clock.now()\n",
        f"{_DUTIES}.StartTest.test_models_are_not_assigned_from_an_incomplete_list",
    ),
    Mutant(
        "a lease is taken before it has lapsed",
        f"{_COORDINATION}/replicas/leases.py",
        "        return now >= self._first_seen + self._lease.ttl\n",
        "        return now >= self._first_seen + 0.5\n",
        f"{_DUTIES}.LeaseTest.test_never_two_holders_whatever_happens",
    ),
    Mutant(
        "the least busy of all upstreams is chosen",
        f"{_COORDINATION}/requests/balancing.py",
        "        sampled = _sample_two(usable, salt)\n",
        "        sampled = usable\n",
        "tests.test_balancing.LoadTest.test_nodes_do_not_all_choose_alike",
    ),
    Mutant(
        "full replicas are not skipped",
        f"{_COORDINATION}/requests/balancing.py",
        "        is_full = self.count_load(best.id) >= best.slots\n",
        "        is_full = False\n",
        "tests.test_balancing.LoadTest.test_the_last_free_slots_are_found",
    ),
    Mutant(
        "a lease has only two candidates",
        f"{_COORDINATION}/replicas/leases.py",
        "_CANDIDATES = 6\n",
        "_CANDIDATES = 2\n",
        f"{_DUTIES}.LeaseTest"
        ".test_a_domain_gets_a_holder_when_the_first_ranks_are_refused",
    ),
    Mutant(
        "the end of a load is not detected from the list",
        f"{_COORDINATION}/replicas/knowledge.py",
        "                    or upstream.staged != record.upstream.staged\n",
        "",
        f"{_FORMATION}.test_the_end_of_a_load_is_seen_at_once",
    ),
    Mutant(
        "a fence is used again",
        f"{_COORDINATION}/replicas/leases.py",
        "return self.number + 1 + _LOST_FENCES",
        "return self.number + _LOST_FENCES",
        f"{_DUTIES}.LeaseTest.test_a_fence_is_never_used_by_two_holders",
    ),
    Mutant(
        "both relays of a node add up its counts",
        f"{_COORDINATION}/peers/digests.py",
        "            if heartbeat.asks is RelayRequest.FULL:\n",
        "            if True:\n",
        f"{_DIGESTS}.LargeFleetTest"
        ".test_the_counts_of_all_nodes_are_added_up_once",
    ),
    Mutant(
        "silent nodes are never asked to relay",
        f"{_COORDINATION}/peers/presence.py",
        "        if self._is_alive(peer, now) or peer.asked_since is None:\n"
        "            return True\n",
        "        return self._is_alive(peer, now)\n",
        f"{_DIGESTS}.LargeFleetTest"
        ".test_the_fleet_goes_on_when_all_relays_die_at_once",
    ),
    Mutant(
        "lapsed entries are dropped by nodes that do not read the store",
        "currantwall/transport/fleets.py",
        "        if found.failure_age is not None:\n",
        "        if False:\n",
        f"{_FEEDS}.FollowerTest"
        ".test_a_follower_keeps_lapsed_entries_as_its_reader_does",
    ),
    Mutant(
        "survivors move while their leader serves",
        f"{_COORDINATION}/replicas/formation.py",
        "        return set(), self._plan_leaves((leader,), now)\n",
        "        return all_members, self._plan_leaves((leader,), now)\n",
        f"{_FORMATION}.test_a_survivor_never_joins_while_its_leader_serves",
    ),
    Mutant(
        "lapsed entries are treated as gone at once",
        "currantwall/transport/fleets.py",
        "            or self._find_outage(now) is not None\n",
        "",
        f"{_FEEDS}.FleetFeedTest"
        ".test_entries_that_lapsed_in_an_outage_are_kept_for_a_while",
    ),
    Mutant(
        "a refused node treats the refusal as an outage",
        f"{_COORDINATION}/peers/outages.py",
        "            if until - began > _MIN_OUTAGE_SECONDS:\n",
        "            if until - began > 0.0:\n",
        f"{_FEEDS}.FleetFeedTest"
        ".test_a_departed_entry_is_dropped_after_this_node_was_refused",
    ),
    Mutant(
        "answers of the store to other nodes are ignored",
        f"{_COORDINATION}/peers/presence.py",
        "            self.store_history.note_answer(now - age)\n",
        "            pass\n",
        f"{_FEEDS}.FleetFeedTest"
        ".test_a_departed_entry_is_dropped_after_this_node_was_refused",
    ),
    Mutant(
        "a follower treats a reader's refusal as an outage",
        f"{_COORDINATION}/peers/outages.py",
        "            if until - began > _MIN_OUTAGE_SECONDS:\n",
        "            if until - began > 0.0:\n",
        f"{_FEEDS}.FollowerTest"
        ".test_a_departed_entry_is_dropped_after_a_reader_was_cut_off",
    ),
    Mutant(
        "a silence without a failed call is treated as an outage",
        f"{_COORDINATION}/peers/outages.py",
        "                if failed:\n",
        "                failed.append(now)\n                if True:\n",
        "tests.test_outages.StoreHistoryTest"
        ".test_a_silence_in_which_no_call_failed_is_no_outage",
    ),
    Mutant(
        "an outage is not recognised before it has ended",
        f"{_COORDINATION}/peers/outages.py",
        "            until = now if ended is None else ended\n",
        "            until = began if ended is None else ended\n",
        f"{_FEEDS}.FollowerTest"
        ".test_lapsed_entries_are_kept_if_a_third_node_reports_the_list",
    ),
    Mutant(
        "an older configuration is applied",
        "currantwall/transport/configurations.py",
        "        if found.version <= self.version:\n",
        "        if False:\n",
        f"{_FEEDS}.ConfigurationFeedTest"
        ".test_a_version_is_never_replaced_by_an_older_one",
    ),
    Mutant(
        "a connection reset is treated as the end of an answer",
        "currantwall/transport/sockets.py",
        "        except ConnectionResetError as error:\n",
        "        except ZeroDivisionError as error:\n",
        "tests.test_gateway.PathTest"
        ".test_an_answer_that_a_reset_ends_is_not_whole",
    ),
    Mutant(
        "broken verdicts are ignored",
        f"{_COORDINATION}/replicas/evidence.py",
        "            elif self._proves_broken(evidence, now):\n"
        "                return False\n",
        "",
        f"{_REPLICAS}.LossTest.test_proof_of_one_observer_outweighs_an_older_probe",
    ),
    Mutant(
        "evidence never expires",
        f"{_COORDINATION}/replicas/evidence.py",
        "        if not whole_at or now - whole_at > self._ttl:\n",
        "        if not whole_at:\n",
        f"{_REPLICAS}.LossTest.test_cut_observers_end_requests"
        "_within_two_seconds",
    ),
    Mutant(
        "silence is treated as proof of a loss",
        f"{_COORDINATION}/replicas/evidence.py",
        "        if evidence.verdict is not wire.Verdict.BROKEN:\n"
        "            return False\n",
        "",
        f"{_REPLICAS}.LossTest.test_one_cut_observer_does_not_end_service",
    ),
    Mutant(
        "a node does not take its own lapsed lease again",
        f"{_COORDINATION}/replicas/leases.py",
        "        if self._version is None or self.holds(now):\n"
        "            return False\n",
        "        if self._version is None or self.is_mine():\n"
        "            return False\n",
        f"{_REPLICAS}.LeaseTest.test_leases_are_taken_again_after_an_outage",
    ),
    Mutant(
        "the lease has no safety margin",
        f"{_COORDINATION}/replicas/leases.py",
        "            deadline = sent_at + ttl - self._margin\n",
        "            deadline = now + ttl\n",
        f"{_REPLICAS}.LeaseTest.test_order_is_not_sent_after_the_deadline",
    ),
    Mutant(
        "a new version does not restart the wait for a lease to lapse",
        f"{_COORDINATION}/replicas/leases.py",
        "            self._first_seen = now\n",
        "            self._first_seen = self._first_seen or now\n",
        f"{_REPLICAS}.LeaseTest.test_candidate_measures_the_whole_ttl_itself",
    ),
    Mutant(
        "replicas are placed without a grant",
        f"{_COORDINATION}/replicas/placement.py",
        "    if held + accelerators > share.granted:\n        return None\n",
        "",
        f"{_REPLICAS}.CapacityTest"
        ".test_larger_replicas_do_not_exceed_the_capacity",
    ),
    Mutant(
        "a grant is lowered below what is held",
        f"{_COORDINATION}/profiles/shares.py",
        "granted=min(share.granted, granted), target=target",
        "granted=0, target=target",
        f"{_REPLICAS}.CapacityTest",
    ),
    Mutant(
        "the ledger is not written again after a lost answer",
        f"{_COORDINATION}/replicas/controller.py",
        "            if self._must_write:\n",
        "            if False:\n",
        f"{_REPLICAS}.CapacityTest",
    ),
    Mutant(
        "shares of another epoch are used",
        f"{_COORDINATION}/profiles/shares.py",
        "if share.epoch == epoch and name not in self._unsettled:",
        "if name not in self._unsettled:",
        f"{_REPLICAS}.CapacityTest.test_share_of_a_former_holder_is_not_used",
    ),
    Mutant(
        "shares are granted beyond the capacity",
        f"{_COORDINATION}/profiles/granting.py",
        "    return planned.total + increase <= wanted.capacity\n",
        "    return True\n",
        f"{_REPLICAS}.CapacityTest.test_capacity_bounds_what_is_held",
    ),
    Mutant(
        "draining does not wait for requests in flight",
        f"{_COORDINATION}/replicas/controller.py",
        "            if probed_at is None or report is None"
        " or not report.is_quiet:\n",
        "            if probed_at is None or report is None:\n",
        f"{_REPLICAS}.StopTest.test_stop_waits_for_the_request_in_flight",
    ),
    Mutant(
        "no extra replica while a new version rolls over",
        f"{_COORDINATION}/profiles/granting.py",
        "    return int(bool(stale) and serving <= wanted.replicas)\n",
        "    return 0\n",
        f"{_REPLICAS}.CapacityTest.test_new_version_rolls_over_without_a_gap",
    ),
    Mutant(
        "a lower class keeps its accelerators",
        f"{_COORDINATION}/profiles/granting.py",
        "        if yielding != wanted.name:\n",
        "        if True:\n",
        f"{_REPLICAS}.ClassesTest.test_higher_class_gets_the_room",
    ),
    Mutant(
        "a member that is back empty is waited for",
        f"{_COORDINATION}/replicas/repair.py",
        "    if repair is Repair.WAIT and not broken.missing:\n",
        "    if False:\n",
        "tests.test_repair.RepairTest"
        ".test_member_that_returned_without_its_model_is_replaced",
    ),
    Mutant(
        "the first way to use the spares wins, not the cheapest",
        f"{_COORDINATION}/replicas/repair.py",
        "            if known is None or total < known.cost:\n",
        "            if known is None:\n",
        "tests.test_repair.RepairTest.test_never_dearer_than_brute_force",
    ),
    Mutant(
        "replicas in an evacuated data centre get requests",
        f"{_COORDINATION}/requests/balancing.py",
        "            and not is_evacuated(leader.datacentre)\n",
        "",
        f"{_EVACUATIONS}.EvacuatedSiteTest"
        ".test_no_request_reaches_an_evacuated_data_centre",
    ),
    Mutant(
        "an outdated report revives an evacuation",
        f"{_COORDINATION}/requests/evacuations.py",
        "        if revision < self.revision:\n",
        "        if False:\n",
        f"{_EVACUATIONS}.EvacuationsTest"
        ".test_an_outdated_report_changes_nothing",
    ),
    Mutant(
        "a node sends before it has learnt the evacuations",
        f"{_COORDINATION}/requests/evacuations.py",
        "        return not self.is_known or datacentre in"
        " self._datacentres\n",
        "        return datacentre in self._datacentres\n",
        f"{_EVACUATIONS}.EvacuationsTest"
        ".test_a_node_that_has_learnt_nothing_sends_nothing",
    ),
    Mutant(
        "a withdrawal is not announced again",
        f"{_COORDINATION}/requests/evacuations.py",
        "            if listed != self._datacentres:\n",
        "            if False:\n",
        f"{_DIGESTS}.LargeFleetTest"
        ".test_a_withdrawal_reaches_nodes_that_were_cut_off",
    ),
    Mutant(
        "the order of two changes in one answer is guessed",
        "currantwall/transport/evacuations.py",
        "            if written & changes.removed:\n",
        "            if False:\n",
        f"{_EVACUATIONS}.EvacuationsTest"
        ".test_a_request_that_is_renewed_immediately_stays",
    ),
    Mutant(
        "a partly evacuated replica is released before its replacement",
        f"{_COORDINATION}/replicas/supply.py",
        "        if is_serving and surplus <= 0:\n",
        "        if False:\n",
        f"{_FORMATION}"
        ".test_a_partly_evacuated_replica_is_replaced_before_its_release",
    ),
    Mutant(
        "a caller may keep its upstream waiting without end",
        f"{_COORDINATION}/requests/buffering.py",
        "        if pace.held >= _HOLD_LIMIT and"
        " pace.behind >= _SLOW_SECONDS:\n",
        "        if False:\n",
        f"{_BUDGET}.test_a_caller_that_keeps_its_upstream_waiting_is_closed",
    ),
    Mutant(
        "callers that read at once are closed for the budget",
        f"{_COORDINATION}/requests/buffering.py",
        "            if pace.behind < _SLOW_SECONDS:\n",
        "            if False:\n",
        f"{_BUDGET}"
        ".test_the_slowest_callers_are_closed_when_the_budget_is_used",
    ),
    Mutant(
        "a survival does not clear the parts of a prompt",
        _CRASHLOG,
        "            if crash.at > survival and causes",
        "            if causes",
        f"{_EVIDENCE}.test_a_part_that_a_request_survived_is_not_quarantined",
    ),
    Mutant(
        "repeats of one request have its parts quarantined early",
        _CRASHLOG,
        "        return self.is_new and self.has_owners and not",
        "        return self.is_new and not",
        f"{_EVIDENCE}"
        ".test_repeats_of_one_request_are_not_blamed_for_three_crashes",
    ),
    Mutant(
        "a part that is shared by most prompts is quarantined early",
        _CRASHLOG,
        "self.has_owners and not self.followers",
        "self.has_owners",
        f"{_EVIDENCE}.test_two_causes_are_told_from_what_they_share",
    ),
    Mutant(
        "upstreams that end together count as many crashes",
        _CRASHLOG,
        "        if at - last > quarantines.SAME_MOMENT:\n",
        "        if at > last:\n",
        f"{_EVIDENCE}.test_upstreams_that_end_together_count_once",
    ),
    Mutant(
        "requests that were answered whole are suspects",
        _QUARANTINE,
        "        suspects = (prompt.whole if exposure.has_survived else "
        "prompt,)\n",
        "        suspects = tuple(\n"
        "            other.prompt\n"
        "            for other in [*self._exposures.values(), exposure]\n"
        "            if other.upstream == exposure.upstream\n"
        "        )\n",
        f"{_EVIDENCE}.test_an_answer_just_before_a_crash_is_not_blamed",
    ),
    Mutant(
        "a server that stays away crashes again and again",
        _CRASHLOG,
        "        return at - crash.at > SAME_CRASH and not crash.is_over\n",
        "        return False\n",
        f"{_EVIDENCE}.test_an_upstream_that_stays_away_has_crashed_once",
    ),
    Mutant(
        "a request needs as many crashes as a part that many share",
        _CRASHLOG,
        "        if self.is_request:\n",
        "        if False:\n",
        f"{_REQUESTS}"
        ".test_a_request_that_crashes_three_upstreams_is_quarantined",
    ),
    Mutant(
        "a request that is sent again at once is part of the same moment",
        _CRASHLOG,
        "        moments += sum(part in crash.repeated for",
        "        moments += sum(False for",
        f"{_REQUESTS}.test_a_request_that_is_sent_again_at_once_counts_again",
    ),
    Mutant(
        "one of two requests explains the crashes of the other",
        _CRASHLOG,
        "            and not (is_request and self.is_request(other))\n",
        "",
        f"{_REQUESTS}"
        ".test_two_requests_that_crash_upstreams_are_both_quarantined",
    ),
    Mutant(
        "a process that has answered since is the one that crashed",
        _CRASHLOG,
        "            crash.is_over = True\n",
        "            pass\n",
        f"{_REQUESTS}"
        ".test_a_process_that_answers_after_a_crash_may_crash_again",
    ),
    Mutant(
        "each answer is remembered as the survival of its request",
        _QUARANTINE,
        "        if self._crashes.count(fingerprint) or fingerprint in",
        "        if fingerprint or fingerprint in",
        f"{_REQUESTS}.test_answers_do_not_fill_the_memory_of_survivals",
    ),
    Mutant(
        "a member that is lost blames the parts of prompts",
        _QUARANTINE,
        "            suspects = (exposure.prompt.whole,)\n",
        "            suspects = (exposure.prompt,)\n",
        f"{_REQUESTS}"
        ".test_a_request_under_which_replicas_lose_members_is_quarantined",
    ),
    Mutant(
        "a trial that reached no upstream counts",
        "currantwall/transport/sending.py",
        "            self._crashes.note_unreached(current)\n",
        "            pass\n",
        "tests.test_crash_checks.CrashChecksTest"
        ".test_only_an_attempt_that_may_have_run_is_a_trial",
    ),
    Mutant(
        "each node tries a quarantined part by itself",
        _QUARANTINE,
        "            verdict.trials, verdict.unreached = report.order\n"
        "            verdict.next_trial = now + report.remaining\n",
        "            verdict.trials, verdict.unreached = report.order\n",
        f"{_REPORTS}.test_one_node_tries_for_all",
    ),
    Mutant(
        "nodes tell each other of a part that was cleared",
        _QUARANTINE,
        "        if self._crashes.find_survival(part) > crashed_at:\n",
        "        if False:\n",
        f"{_REPORTS}.test_a_survival_at_one_node_clears_a_part_at_all",
    ),
    Mutant(
        "a server that has started again is the one that answered",
        "currantwall/coordination/requests/endings.py",
        "Finding.ENDED if has_restarted else Finding.ALIVE\n",
        "Finding.ALIVE\n",
        "tests.test_crash_checks.UnframedAnswerTest"
        ".test_a_server_that_has_started_again_did_not_end_its_answer",
    ),
    Mutant(
        "anything at the address of a server tells that it lives",
        "platform/currantwall_platform/engines.py",
        "        if name is None:\n"
        "            return knowledge.ProbeResult.UNREPORTED\n",
        "",
        "tests.test_adapter.EnginesTest"
        ".test_only_the_server_itself_proves_that_it_lives",
    ),
    Mutant(
        "a head may take any time",
        "currantwall/transport/responses.py",
        "        with self._sock.limit(_MAX_HEAD, _HEAD_TIMEOUT):\n",
        "        if True:\n",
        "tests.test_endless.UpstreamTest"
        ".test_a_head_that_trickles_is_given_up",
    ),
    Mutant(
        "an answer that is given up keeps its connection",
        "currantwall/transport/exchanges.py",
        "        if response is not None:\n            response.close()\n",
        "",
        "tests.test_gateway.EndlessAnswerTest"
        ".test_a_body_without_end_is_closed_when_it_is_given_up",
    ),
    Mutant(
        "a check for one start of an upstream tells of another",
        "currantwall/transport/crashes.py",
        "        life = upstream.id, upstream.born\n",
        "        life = upstream.id, 0\n",
        "tests.test_crash_checks.UnframedAnswerTest"
        ".test_a_check_for_a_later_start_proves_nothing",
    ),
    Mutant(
        "other tasks wait while bytes are ready",
        "currantwall/transport/sockets.py",
        "            eventlet.sleep(0)\n",
        "            pass\n",
        "tests.test_endless.UpstreamTest"
        ".test_an_answer_without_end_holds_nothing",
    ),
    Mutant(
        "a check from before a crash tells that there was none",
        "currantwall/transport/crashes.py",
        " if finding is endings.Finding.ENDED or check.started >= since:\n",
        " if True:\n",
        "tests.test_crash_checks.CrashChecksTest"
        ".test_a_check_from_before_the_crash_proves_nothing",
    ),
    Mutant(
        "a pause of the process counts against callers",
        f"{_COORDINATION}/requests/buffering.py",
        "    counted = min(elapsed, _MAX_ELAPSED)\n",
        "    counted = elapsed\n",
        f"{_BUDGET}.test_a_paused_process_closes_nobody",
    ),
    Mutant(
        "an upstream that its caller kept waiting is blamed",
        "currantwall/transport/exchanges.py",
        "                step = HELD\n",
        "                pass\n",
        f"{_BUDGET}"
        ".test_an_upstream_that_a_caller_kept_waiting_is_not_to_blame",
    ),
    Mutant(
        "a condition of an earlier era is sent to the store",
        "platform/currantwall_platform/store.py",
        "            if number and revisions.get_era(revision) < self._era:\n",
        "            if False:\n",
        f"{_ADAPTER}.test_a_condition_on_an_earlier_era_is_not_met",
    ),
    Mutant(
        "a watch goes on after a restore",
        "platform/currantwall_platform/store.py",
        "        if era != revisions.get_era(since):\n",
        "        if False:\n",
        f"{_ADAPTER}.test_a_watch_from_an_earlier_era_has_expired",
    ),
    Mutant(
        "a lease that the store has forgotten is taken at once",
        f"{_COORDINATION}/replicas/leases.py",
        "            self._forgotten_until = now + self._ttl\n",
        "            pass\n",
        f"{_RESTORED}.test_never_two_holders_whatever_is_restored",
    ),
    Mutant(
        "a write from before a restore confirms a lease",
        f"{_COORDINATION}/replicas/leases.py",
        "            self._sent_at.clear()\n",
        "            pass\n",
        f"{_RESTORED}"
        ".test_a_late_write_from_before_a_restore_confirms_no_lease",
    ),
    Mutant(
        "a fence that the store has forgotten is used again",
        f"{_COORDINATION}/replicas/leases.py",
        "_LOST_FENCES * max(",
        "0 * max(",
        f"{_RESTORED}"
        ".test_a_fence_that_the_store_has_forgotten_is_not_used_again",
    ),
    Mutant(
        "a leaving that the store has forgotten is forgotten",
        f"{_COORDINATION}/peers/restores.py",
        "        if not self._departures.is_leaving(upstream):\n",
        "        if True:\n",
        f"{_FEEDS}.RestoredListTest"
        ".test_a_leaving_that_the_store_has_forgotten_is_remembered",
    ),
    Mutant(
        "a node that starts does not hear of a forgotten leaving",
        "currantwall/transport/news.py",
        "        self._fleet_feed.note_departures(report.departures)\n",
        "",
        "tests.test_news.NewsTest"
        ".test_what_is_known_of_the_store_is_passed_on",
    ),
    Mutant(
        "a node that starts does not hear of a forgotten evacuation",
        f"{_COORDINATION}/requests/evacuations.py",
        "        if retained_for <= 0 or told <= self._retained:\n",
        "        if True:\n",
        f"{_EVACUATIONS}.EvacuationsTest"
        ".test_a_node_that_starts_hears_of_a_forgotten_evacuation",
    ),
    Mutant(
        "a stale read that proves nothing is used",
        f"{_COORDINATION}/peers/staleness.py",
        "        if shown and now - shown[-1] <= _MAX_AGE_SECONDS:\n",
        "        if shown:\n",
        "tests.test_leaving_delay.LeavingDelayTest"
        ".test_a_leaving_is_known_in_time_whatever_stale_reads_do",
    ),
    Mutant(
        "a request is forwarded to an upstream that leaves",
        "currantwall/transport/advisories.py",
        "        if upstream.leaving or known.is_leaving(upstream):\n",
        "        if False:\n",
        "tests.test_paths.PeerExchangesTest"
        ".test_nothing_is_forwarded_to_an_upstream_that_leaves",
    ),
    Mutant(
        "an older entry replaces a newer one after a restore",
        f"{_COORDINATION}/peers/restores.py",
        "        return former\n",
        "        return listed\n",
        f"{_FEEDS}.RestoredListTest"
        ".test_an_older_entry_does_not_replace_a_newer_one",
    ),
    Mutant(
        "an evacuation that the store has forgotten ends",
        f"{_COORDINATION}/requests/evacuations.py",
        "        listed |= self._update_retained(revision, now)\n",
        "",
        f"{_EVACUATIONS}.EvacuationsTest"
        ".test_an_evacuation_that_the_store_has_forgotten_stays",
    ),
    Mutant(
        "a port out of range is an address",
        "currantwall/state/addresses.py",
        "    if not 0 < port < _PORT_LIMIT:\n        return None\n",
        "",
        f"{_ADDRESSES}.AddressTest.test_what_cannot_be_dialled_is_no_address",
    ),
    Mutant(
        "an entry without an address is used",
        "platform/currantwall_platform/documents.py",
        "(_READY, _DRAINING) or address is None:",
        "(_READY, _DRAINING):",
        f"{_ADDRESSES}.EntryTest.test_an_entry_without_an_address_is_skipped",
    ),
    Mutant(
        "a failed task is run again at once",
        "currantwall/transport/supervision.py",
        "        record.delay = min(2 * delay, _LONGEST_DELAY)\n",
        "",
        "tests.test_supervision.SupervisorTest"
        ".test_an_error_at_each_run_costs_few_runs_and_lines",
    ),
    Mutant(
        "a message ends the receiver",
        "currantwall/transport/heartbeats.py",
        "            except Exception as error:\n",
        "            except OSError as error:\n",
        "tests.test_supervision.ReceiverTest"
        ".test_a_message_that_fails_keeps_no_other_from_being_received",
    ),
    Mutant(
        "a node without a list has the age of another's",
        "currantwall/transport/fleets.py",
        "if newer is None and self._fleet.is_known:",
        "if newer is None:",
        f"{_FEEDS}.FollowerTest.test_a_node_without_a_list_tells_no_age",
    ),
    Mutant(
        "an interim response is the final one",
        "currantwall/transport/responses.py",
        "if status[1] >= http.HTTPStatus.OK:",
        "if status[1] != http.HTTPStatus.CONTINUE:",
        "tests.test_exchanges.ExchangeTest"
        ".test_a_clear_response_is_read_and_its_connection_reused",
    ),
    Mutant(
        "an upstream that stays away crashes again",
        f"{_COORDINATION}/requests/quarantine.py",
        "            and started < crash.at\n",
        "",
        "tests.test_quarantine.EvidenceTest"
        ".test_an_upstream_that_stays_away_is_one_crash",
    ),
    Mutant(
        "a request is repeated after a third crash under it",
        "currantwall/transport/crashes.py",
        "return is_suspect and is_crash",
        "return False",
        "tests.test_crash_checks.CrashChecksTest"
        ".test_a_request_is_not_repeated_after_a_third_crash_under_it",
    ),
    Mutant(
        "what is in progress at the exit is cut",
        "currantwall/gateway.py",
        "                self._forwarder.end_requests()\n",
        "                pass\n",
        "tests.test_closing.StopTest"
        ".test_requests_in_progress_at_the_end_get_an_answer",
    ),
    Mutant(
        "a connection that did not open is an attempt",
        f"{_COORDINATION}/requests/attempts.py",
        "    if is_free and progress.unopened < _MAX_UNOPENED:\n",
        "    if False:\n",
        "tests.test_reachability.DeadEntriesTest"
        ".test_requests_are_served_beside_dead_entries",
    ),
    Mutant(
        "a large unreadable entry is split at each read",
        "platform/currantwall_platform/store.py",
        "        data = self._known_items.replace(data, turns.note)\n",
        "",
        "tests.test_unreadable.UnreadableTest"
        ".test_a_large_entry_leaves_turns_and_is_split_once",
    ),
)


def run(mutant: Mutant) -> str:
    """Return why a mutant was not noticed; empty if its test failed."""
    with tempfile.TemporaryDirectory() as name:
        copy = pathlib.Path(name)
        for folder in _COPIED_FOLDERS:
            shutil.copytree(_ROOT / folder, copy / folder)
        path = copy / mutant.file
        text = path.read_text(encoding="utf-8")
        if text.count(mutant.guard) != 1:
            return "the guard does not occur exactly once"
        path.write_text(text.replace(mutant.guard, mutant.replacement))
        done = subprocess.run(
            [sys.executable, "-m", "tests", mutant.test],
            cwd=copy,
            env={"PYTHONPATH": str(copy), "PATH": "/usr/bin:/bin"},
            capture_output=True,
            text=True,
            check=False,
        )
    if " 0 failed" in done.stdout:
        return f"{mutant.test} passes without the guard"
    if " failed" not in done.stdout:
        return f"the test did not run: {done.stderr[-400:]}"
    return ""


def main() -> int:
    """Run the mutants, or those named; return the exit code."""
    names = sys.argv[1:]
    failed = 0
    for mutant in MUTANTS:
        if names and mutant.name not in names:
            continue
        problem = run(mutant)
        failed += bool(problem)
        print(f"{mutant.name}: {problem or 'noticed'}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())

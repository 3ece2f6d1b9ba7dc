"""Mutation test: checks that tests fail without the mechanism that they cover.

Each entry removes one mechanism from a copy of the tree and runs its test there. Prints
as its last line one JSON object: the number of tests that failed, as they must, and the
mechanisms whose test still passed.
"""

__all__ = ["main"]

import json
import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import fire

ROOT = Path(__file__).resolve().parent.parent
COPIED = ("ragwortferry", "standins", "benchmarks", "pyproject.toml")
SPREAD = "ragwortferry/spread/tests/test_processes.py"
STORE = "ragwortferry/spread/tests/test_store.py"
PEERS = "ragwortferry/spread/tests/test_peers.py"
MEMBERS = "ragwortferry/spread/tests/test_members.py"
STATUS = "ragwortferry/spread/tests/test_status.py"
REQUESTS = "ragwortferry/requests/tests/test_processes.py"
RESET_RESPONSES = "ragwortferry/requests/tests/test_reset_responses.py"
ENTRY = "ragwortferry/requests/tests/test_entry.py"
SLOTS = "ragwortferry/requests/tests/test_slots.py"
BALANCE = "ragwortferry/requests/tests/test_balance.py"
STORE_CLIENT = "ragwortferry/platform/tests/test_store.py"
TRANSFERS = "ragwortferry/mesh/tests/test_transfers.py"
MESH_OWNER = "ragwortferry/mesh/tests/test_owner.py"
DECISIONS = "ragwortferry/mesh/tests/test_decisions.py"
PLACEMENT = "ragwortferry/mesh/tests/test_placement.py"
ADVERTISED = "ragwortferry/mesh/tests/test_advertised.py"
LINKS = "ragwortferry/mesh/tests/test_links.py"
NODES = "ragwortferry/mesh/tests/test_nodes.py"
APERTURE = "ragwortferry/mesh/tests/test_aperture.py"
HEARTBEAT = "ragwortferry/mesh/tests/test_heartbeat.py"
DECODERS = "ragwortferry/platform/tests/test_decoders.py"
CLIENT = "ragwortferry/http1/tests/test_client.py"
QUARANTINE = "ragwortferry/mesh/tests/test_quarantine.py"
QUARANTINE_FLEET = "ragwortferry/mesh/tests/test_quarantine_fleet.py"
CRASHES = "ragwortferry/mesh/tests/test_crashes.py"
CRASHING = "ragwortferry/mesh/tests/test_crashing_requests.py"
EVIDENCE = "ragwortferry/mesh/tests/test_evidence.py"
MESH_ENTRY = "ragwortferry/mesh/tests/test_entry.py"
WARMUP = "ragwortferry/mesh/tests/test_warmup.py"
EVACUATION = "ragwortferry/mesh/tests/test_evacuation.py"
COLD_ZONES = "ragwortferry/mesh/tests/test_cold_zones.py"
FORECAST = "ragwortferry/mesh/tests/test_forecast.py"
MIXED_ROUTES = "ragwortferry/mesh/tests/test_mixed_routes.py"
CALLS = "ragwortferry/mesh/tests/test_calls.py"
RETRY_AFTER = "ragwortferry/mesh/tests/test_retry_after.py"
BACKLOG = "ragwortferry/http1/tests/test_backlog.py"
MESH_STATE = "ragwortferry/mesh/tests/test_state.py"
ACCEPTED = "ragwortferry/platform/tests/test_accepted_entries.py"
SEVERED = "ragwortferry/mesh/tests/test_severed.py"
SERVER = "ragwortferry/http1/tests/test_server.py"
STOP = "ragwortferry/mesh/tests/test_planned_stop.py"
PROCESS_STOP = "ragwortferry/requests/tests/test_planned_stop.py"
EXTREME = "ragwortferry/platform/tests/test_extreme_configurations.py"
FAULTY = "ragwortferry/mesh/tests/test_faulty_responses.py"
STORE_ERAS = "ragwortferry/mesh/tests/test_store_eras.py"
ENDLESS = "ragwortferry/mesh/tests/test_endless_bytes.py"
VERSION_WATCH = "ragwortferry/mesh/tests/test_version_watch.py"
TEST_TIMEOUT_S = 180


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, the edit that removes it, and the test that must then fail.

    :param file: source file of the mechanism.
    :param old: text in the file that ``new`` replaces.
    """

    name: str
    file: str
    old: str
    new: str
    test: str


MECHANISMS = [
    Mechanism(
        "order check",
        "ragwortferry/spread/store.py",
        "if version_id.version < held.version:",
        "if False:",
        f"{STORE}::test_lower_versions_and_changed_content_are_rejected",
    ),
    Mechanism(
        "boot floor",
        "ragwortferry/spread/boot.py",
        "        self._store.set_floor(floor)\n",
        "",
        f"{SPREAD}::test_restarted_process_takes_the_boot_floor_from_peers",
    ),
    Mechanism(
        "no update before the boot floor",
        "ragwortferry/spread/peers.py",
        "        if not self._store.ready:\n            return\n",
        "",
        f"{PEERS}::test_update_is_ignored_before_the_boot_floor_is_set",
    ),
    Mechanism(
        "children first in hash order",
        "ragwortferry/spread/peers.py",
        "if self._rank(instance) >= self._rank(last.instance):",
        "if True:",
        f"{PEERS}::test_full_parent_keeps_the_children_first_in_hash_order",
    ),
    Mechanism(
        "one update in flight",
        "ragwortferry/spread/peers.py",
        "if not (peer.is_child or peer.pull_pending) or peer.in_flight:",
        "if not (peer.is_child or peer.pull_pending):",
        f"{PEERS}::test_one_update_is_in_flight_and_the_next_is_the_newest",
    ),
    Mechanism(
        "refusal of other content under the same version",
        "ragwortferry/spread/store.py",
        "if version_id.version == held.version and version_id.digest != held.digest:",
        "if False:",
        f"{SPREAD}::test_other_content_under_the_same_version_is_refused",
    ),
    Mechanism(
        "check across sections",
        "ragwortferry/document/snapshot.py",
        "    problems.extend(index.unresolved_routes())\n",
        "",
        f"{SPREAD}::test_invalid_version_is_refused_everywhere_and_the_next_enforced",
    ),
    Mechanism(
        "refusal notices",
        "ragwortferry/spread/peers.py",
        "        self._push_refusal(peer)\n",
        "",
        f"{SPREAD}::test_invalid_version_is_refused_everywhere_and_the_next_enforced",
    ),
    Mechanism(
        "links between zones",
        "ragwortferry/spread/seeker.py",
        'self._kernel.spawn(self._maintain_zone_links(), "zone links")',
        "pass",
        f"{SPREAD}::test_zone_without_the_platform_gets_versions_from_another_zone",
    ),
    Mechanism(
        "timeout of silent links",
        "ragwortferry/spread/link.py",
        "asyncio.timeout(self._timeout_s)",
        "asyncio.timeout(None)",
        f"{SPREAD}::test_silent_links_are_closed_and_replaced",
    ),
    Mechanism(
        "source reads by readers only",
        "ragwortferry/spread/reader.py",
        "wanted = self._always or self._members.is_reader",
        "wanted = True",
        f"{SPREAD}::test_only_readers_watch_and_reads_do_not_grow_with_the_fleet",
    ),
    Mechanism(
        "peers before source",
        "ragwortferry/spread/reader.py",
        "            await self._wait_for_peers(manifest.version)\n",
        "            pass\n",
        f"{SPREAD}::test_one_reader_per_zone_fetches_a_large_document",
    ),
    Mechanism(
        "backoff in an outage",
        "ragwortferry/spread/reader.py",
        "                await asyncio.sleep(backoff.next_delay())\n\n    def",
        "                await asyncio.sleep(0)\n\n    def",
        f"{SPREAD}::test_platform_outage_causes_no_call_storm",
    ),
    Mechanism(
        "suspicion of dead peers",
        "ragwortferry/spread/members.py",
        "        self._suspects[name] = self._now() + SUSPICION_S\n",
        "        pass\n",
        f"{MEMBERS}::test_suspected_instance_is_excluded_until_the_suspicion_ends",
    ),
    Mechanism(
        "hash order of parents",
        "ragwortferry/spread/members.py",
        "        own_index = bisect.bisect_left(",
        "        own_index = len(self._ranks) - 1 or bisect.bisect_left(",
        f"{MEMBERS}::test_parents_precede_children_even_if_instance_lists_differ",
    ),
    Mechanism(
        "maximum age of status summaries",
        "ragwortferry/spread/status.py",
        "fresh = summary.age_ms <= MAX_SUMMARY_AGE_S * 1000",
        "fresh = True",
        f"{STATUS}::test_zone_with_an_expired_summary_counts_as_not_heard",
    ),
    Mechanism(
        "fencing on silent connections",
        "ragwortferry/requests/remote.py",
        "min(remaining_s * CHECK_DELAY_FRACTION, MAX_CHECK_DELAY_S)",
        "1000",
        f"{REQUESTS}::test_a_payment_on_a_silent_connection_is_fenced_and_retried",
    ),
    Mechanism(
        "attempts kept past their deadline",
        "ragwortferry/requests/attempts.py",
        "expires_at = self._now() + max(0.0, remaining_s) + RETENTION_S",
        "expires_at = self._now() + RETENTION_S",
        f"{BALANCE}::test_a_long_attempt_is_retained_until_its_deadline",
    ),
    Mechanism(
        "no proof from evicted attempts",
        "ragwortferry/requests/attempts.py",
        "            if self._now() < self._evicted_until or",
        "            if",
        f"{BALANCE}::test_fencing_proves_nothing_after_early_eviction",
    ),
    Mechanism(
        "detection of duplicate attempts",
        "ragwortferry/requests/attempts.py",
        "if state is not AttemptState.UNSEEN:",
        "if False:",
        f"{REQUESTS}::test_duplicated_connections_do_not_run_a_payment_twice",
    ),
    Mechanism(
        "connection limit",
        "ragwortferry/requests/target.py",
        "pool_limit = connections // 2",
        "pool_limit, connections = connections, 2 * connections",
        f"{REQUESTS}::test_connections_to_a_target_stay_within_their_limit",
    ),
    Mechanism(
        "outcome over all attempts",
        "ragwortferry/requests/entry.py",
        "last = _combine_outcomes(error, last)",
        "last = error",
        f"{ENTRY}::test_outcome_is_not_run_only_if_no_attempt_may_have_run",
    ),
    Mechanism(
        "no retry of requests that may have run",
        "ragwortferry/requests/entry.py",
        "allowed = route.idempotent and attempts <= route.retries",
        "allowed = attempts <= route.retries",
        f"{REQUESTS}::test_a_payment_runs_at_most_once_under_target_faults[reset]",
    ),
    Mechanism(
        "not run only if proven",
        "ragwortferry/requests/target.py",
        "return RequestError(ErrorKind.UPSTREAM_LOST, detail, Outcome.UNKNOWN)",
        "return RequestError(ErrorKind.CONNECT_FAILED, detail)",
        f"{REQUESTS}::test_a_payment_runs_at_most_once_under_target_faults[reset]",
    ),
    Mechanism(
        "no retry by the HTTP client itself",
        "ragwortferry/requests/pool.py",
        "        session._retry_connection = False\n",
        "",
        f"{REQUESTS}::test_retries_do_not_multiply_in_a_chain_of_twelve_services",
    ),
    Mechanism(
        "connection reset after a truncated response",
        "ragwortferry/requests/responses.py",
        "        _abort(request)\n        return response",
        "        await response.write_eof()\n        return response",
        f"{REQUESTS}::test_a_truncated_response_never_looks_complete"
        f"[{3 * 2**20}-length]",
    ),
    Mechanism(
        "reset connection fails a response without a length",
        "ragwortferry/requests/pool.py",
        "        if exc is None and self._reset_by_peer:",
        "        if False:",
        f"{RESET_RESPONSES}::test_response_without_length_that_is_reset_is_not_complete",
    ),
    Mechanism(
        "reset of an HTTP/1.0 caller after a truncated response",
        "ragwortferry/requests/responses.py",
        "        if request.version < aiohttp.HttpVersion11:\n",
        "        if False:\n",
        f"{RESET_RESPONSES}::test_truncated_response_to_an_http_1_0_caller_ends_with_a"
        "_reset",
    ),
    Mechanism(
        "error of a connection fails a response without a length",
        "ragwortferry/requests/pool.py",
        "        if exc is not None and body is not None and not body.is_eof():",
        "        if False:",
        f"{RESET_RESPONSES}::test_response_without_length_that_is_reset_is_not_complete",
    ),
    Mechanism(
        "reading of the store by a node that hears no other",
        "ragwortferry/mesh/reader.py",
        "return self._relay.is_severed(",
        "return False and self._relay.is_severed(",
        f"{SEVERED}::test_nodes_cut_off_from_all_others_take_versions_from_the_store",
    ),
    Mechanism(
        "early end of silent links to neighbours",
        "ragwortferry/mesh/links/peers.py",
        "elif link.host in self._relay.neighbours:",
        "elif False:",
        f"{LINKS}::test_silent_idle_link_to_a_neighbour_is_closed_before_a_version_is"
        "_due",
    ),
    Mechanism(
        "no chunks to an HTTP/1.0 caller of a node",
        "ragwortferry/http1/server.py",
        "self._chunked = self.request.accepts_chunks",
        "self._chunked = True",
        f"{SERVER}::test_response_of_unknown_length_to_an_http_1_0_caller_has_no_chunks",
    ),
    Mechanism(
        "reset of an HTTP/1.0 caller of a node",
        "ragwortferry/http1/server.py",
        "            if reset:\n",
        "            if False:\n",
        f"{SERVER}::test_aborted_response_to_an_http_1_0_caller_ends_with_a_reset",
    ),
    Mechanism(
        "slot share of a route",
        "ragwortferry/requests/slots.py",
        "return self._in_use < self.limit and held < self._route_limit(share)",
        "return self._in_use < self.limit",
        f"{REQUESTS}::test_slot_limits_hold_and_exports_leave_slots_for_panels",
    ),
    Mechanism(
        "fair queue",
        "ragwortferry/requests/slots.py",
        "route = min(ready, key=lambda name: self._held.get(name, 0))",
        "route = ready[0]",
        f"{SLOTS}::test_the_route_with_the_fewest_slots_is_granted_next",
    ),
    Mechanism(
        "ejection limit",
        "ragwortferry/requests/balance.py",
        "max_ejected = int(len(group) * MAX_EJECTED_FRACTION)",
        "max_ejected = len(group)",
        f"{BALANCE}::test_at_most_half_of_a_zone_is_ejected",
    ),
    Mechanism(
        "draining of requests in flight",
        "ragwortferry/composition.py",
        '        await kernel.get("drain").wait_idle()\n',
        "",
        f"{REQUESTS}::test_draining_completes_requests_and_new_ones_go_to_other_instances",
    ),
    Mechanism(
        "refusal of new requests while draining",
        "ragwortferry/requests/owner.py",
        "        if self._drain.draining:\n            raise RequestError",
        "        if False:\n            raise RequestError",
        f"{REQUESTS}::test_draining_completes_requests_and_new_ones_go_to_other_instances",
    ),
    Mechanism(
        "cancellation",
        "ragwortferry/requests/server.py",
        "handler_cancellation=True",
        "handler_cancellation=False",
        f"{REQUESTS}::test_a_disconnected_caller_cancels_its_request_at_the_target",
    ),
    Mechanism(
        "renewal of the whole pool",
        "ragwortferry/requests/target.py",
        "                self._pool.renew()\n",
        "                pass\n",
        f"{REQUESTS}::test_a_silent_pooled_connection_to_a_target_renews_the_pool",
    ),
    Mechanism(
        "timeout of stalled instead of long reads",
        "ragwortferry/platform/store.py",
        "min(loop.time() + STALL_TIMEOUT_S, ends_at)",
        "limit.when()",
        f"{STORE_CLIENT}::test_large_configuration_is_read_over_a_slow_network_link",
    ),
    Mechanism(
        "health of each read of the store",
        "ragwortferry/mesh/reader.py",
        "if name in self._failing:\n            self._failing.discard(name)",
        "if self._failing:\n            self._failing.clear()",
        f"{TRANSFERS}::test_registry_reads_do_not_hide_that_the_configuration_cannot_"
        "be_read",
    ),
    Mechanism(
        "wide network links first",
        "ragwortferry/mesh/links/relay.py",
        "return -self._bandwidths.get(host, own), rank_key(zone, host)",
        "return own, rank_key(zone, host)",
        f"{TRANSFERS}::test_nodes_with_the_widest_network_links_read_the_store",
    ),
    Mechanism(
        "changes of subscriptions",
        "ragwortferry/mesh/links/peers.py",
        "if wanted != link.own_subscription:",
        "if False:",
        f"{TRANSFERS}::test_node_that_becomes_a_child_on_an_open_link_receives_changes",
    ),
    Mechanism(
        "differences between versions of the mesh",
        "ragwortferry/mesh/links/relay.py",
        "changes = state.changes_since_version(link.peer_version)",
        "changes = None",
        f"{TRANSFERS}::test_small_change_of_a_large_configuration_is_sent_as_a_"
        "difference",
    ),
    Mechanism(
        "parts of long state",
        "ragwortferry/mesh/links/link.py",
        "if not waiting and not self._pacer.paces(len(data)):",
        "if True:",
        f"{TRANSFERS}::test_short_message_does_not_wait_behind_a_configuration_in_"
        "transfer",
    ),
    Mechanism(
        "cancellation of what was not sent",
        "ragwortferry/mesh/owner.py",
        "attempt_state.attempt.idempotent or not attempt_state.sent",
        "attempt_state.attempt.idempotent",
        f"{MESH_OWNER}::test_request_whose_caller_left_before_it_was_sent_does_not_"
        "reach_the_upstream",
    ),
    Mechanism(
        "limit that the upstream advertises",
        "ragwortferry/mesh/admission/queue.py",
        "if self._rate_limit and not self._rate_limit.try_take(now):",
        "if False:",
        f"{DECISIONS}::test_limited_upstream_uses_its_limit_and_refuses_the_rest_at_once",
    ),
    Mechanism(
        "limit told to a restarted node",
        "ragwortferry/mesh/links/peers.py",
        "self.advertised_at(link.host) if link.dialed else []",
        "[]",
        f"{LINKS}::test_hello_tells_a_restarted_node_what_its_upstream_had_stated",
    ),
    Mechanism(
        "order of responses about a limit",
        "ragwortferry/mesh/admission/advertised.py",
        "elif ran and not advertised.invalid and sent_at > self.named_at:",
        "elif ran and not advertised.invalid:",
        f"{ADVERTISED}::test_response_that_overtook_the_limit_does_not_end_it",
    ),
    Mechanism(
        "share of a limit",
        "ragwortferry/mesh/placement/balance.py",
        "return now >= self.stats(upstream, now).next_share_at",
        "return True",
        f"{PLACEMENT}::test_requests_go_elsewhere_while_other_upstreams_have_room",
    ),
    Mechanism(
        "requests that find out whether a limit has ended",
        "ragwortferry/mesh/placement/balance.py",
        "min(MAX_SHARE_INTERVAL_S, advertised.sharers / rate)",
        "advertised.sharers / rate",
        f"{PLACEMENT}::test_requests_keep_finding_out_whether_a_low_limit_has_ended",
    ),
    Mechanism(
        "share of lower priorities in the starts",
        "ragwortferry/mesh/admission/queue.py",
        "            return lower_share < LOWER_PRIORITY_SHARE\n",
        "            pass\n",
        f"{DECISIONS}::test_limited_upstream_prefers_higher_priority_and_starves_none",
    ),
    Mechanism(
        "marks of leaving upstreams",
        "ragwortferry/mesh/state.py",
        "and item.id not in self._leaving",
        "",
        f"{ADVERTISED}::test_leaving_upstream_is_not_available_however_often_it_is_"
        "registered",
    ),
    Mechanism(
        "refusal by the owner of a leaving upstream",
        "ragwortferry/mesh/owner.py",
        "if self._state.is_leaving(attempt.upstream):",
        "if False:",
        f"{MESH_OWNER}::test_upstream_that_says_it_is_leaving_gets_nothing_more",
    ),
    Mechanism(
        "memory of a replaced upstream",
        "ragwortferry/mesh/owner.py",
        "if now < self._misdirected_until.get(attempt.upstream, now):",
        "if False:",
        f"{MESH_OWNER}::test_upstream_whose_address_another_one_has_gets_no_further_"
        "requests",
    ),
    Mechanism(
        "bound of heads",
        "ragwortferry/http1/client.py",
        "if self._head_bytes > MAX_HEAD_BYTES:",
        "if False:",
        f"{CLIENT}::test_bytes_without_end_that_are_no_response_break_the_connection",
    ),
    Mechanism(
        "window of a response",
        "ragwortferry/mesh/window.py",
        "return self._open_bytes >= self._max_open_bytes",
        "return False",
        f"{NODES}::test_bytes_without_end_from_an_upstream_fail_one_attempt_in_"
        "bounded_memory",
    ),
    Mechanism(
        "isolation of messages that cannot be handled",
        "ragwortferry/mesh/links/peers.py",
        "        except Exception as error:\n            kind =",
        "        except InterruptedError as error:\n            kind =",
        f"{LINKS}::test_unexpected_error_in_a_message_closes_only_its_link",
    ),
    Mechanism(
        "restart of failed background tasks",
        "ragwortferry/kernel.py",
        "            await asyncio.sleep(RESTART_DELAY_S)\n",
        "            return\n",
        f"{LINKS}::test_failed_background_task_is_started_again",
    ),
    Mechanism(
        "aperture",
        "ragwortferry/mesh/placement/aperture.py",
        "if len(upstreams) <= SIZE:",
        "if True:",
        f"{APERTURE}::test_aperture_has_the_same_size_however_many_upstreams_there_are",
    ),
    Mechanism(
        "end of unused links",
        "ragwortferry/mesh/links/peers.py",
        "if peer.is_unused(now):\n            peer.release()\n        received",
        "received",
        f"{APERTURE}::test_link_that_no_request_needs_any_more_is_released",
    ),
    Mechanism(
        "tree only for changed instances",
        "ragwortferry/mesh/links/peers.py",
        "if hosts != self._hosts:",
        "if True:",
        f"{APERTURE}::test_change_of_the_registry_without_new_instances_rebuilds_no_tree",
    ),
    Mechanism(
        "looks at links that are due",
        "ragwortferry/utils/deadlines.py",
        "while self.next_at <= now:",
        "while self.next_at < float('inf'):",
        f"{APERTURE}::test_only_links_that_are_due_are_looked_at",
    ),
    Mechanism(
        "ping interval by the time that attempts have",
        "ragwortferry/mesh/links/heartbeat.py",
        "min(MAX_BUSY_PING_INTERVAL_S, BUSY_PING_FRACTION * left_s),",
        "0.0,",
        f"{HEARTBEAT}::test_busy_link_is_pinged_by_the_time_that_its_attempt_has",
    ),
    Mechanism(
        "index of prefixes",
        "ragwortferry/mesh/model.py",
        "for length in self._lengths:",
        "for length in range(len(path), -1, -1):",
        f"{DECODERS}::test_match_looks_up_no_more_prefixes_than_their_lengths",
    ),
    Mechanism(
        "crash without an open connection only",
        "ragwortferry/mesh/guard.py",
        "if self._pool.has_open or not await self._pool.is_rejected():",
        "if False:",
        f"{CRASHES}::test_lost_connections_of_a_running_upstream_are_no_crash",
    ),
    Mechanism(
        "innocence of what the process has completed",
        "ragwortferry/mesh/crashes.py",
        "if kind not in innocent",
        "if True",
        f"{CRASHES}"
        "::test_lost_attempts_are_suspects_unless_the_process_has_completed_their_like",
    ),
    Mechanism(
        "refusal by the owner",
        "ragwortferry/mesh/guard.py",
        "if verdict.ruling is not Ruling.ALLOWED and not attempt.trial:",
        "if False:",
        f"{CRASHES}::test_owner_refuses_a_convicted_request_but_not_its_trial",
    ),
    Mechanism(
        "refusal by the entry",
        "ragwortferry/mesh/entry.py",
        "context.failure = self._quarantine_failure(context, now)",
        "context.failure = None",
        f"{MESH_ENTRY}::test_convicted_request_is_not_retried_and_then_refused",
    ),
    Mechanism(
        "isolation of suspects",
        "ragwortferry/mesh/guard.py",
        "if self._quarantine.is_isolated(kind) and",
        "if False and",
        f"{CRASHES}::test_suspects_of_two_crashes_do_not_run_side_by_side",
    ),
    Mechanism(
        "sender in the identity of a request",
        "ragwortferry/mesh/fingerprint.py",
        "    return _digest(service, *lines)",
        "    return _digest()",
        f"{QUARANTINE}::test_other_requests_stay_allowed",
    ),
    Mechanism(
        "clearance by an end elsewhere",
        "ragwortferry/mesh/quarantine.py",
        "            suspect.crashes.pop(name, None)\n",
        "",
        f"{QUARANTINE}"
        "::test_request_at_work_in_each_crash_is_cleared_by_its_end_elsewhere",
    ),
    Mechanism(
        "longer blocks",
        "ragwortferry/mesh/quarantine.py",
        "FIRST_BLOCK_S * BLOCK_FACTOR ** (rounds - 1)",
        "FIRST_BLOCK_S",
        f"{QUARANTINE}"
        "::test_one_trial_follows_the_block_and_a_crash_in_it_lengthens_the_next_block",
    ),
    Mechanism(
        "evidence for new neighbours",
        "ragwortferry/mesh/links/relay.py",
        "            self.on_synchronize(link)\n",
        "            pass\n",
        f"{EVIDENCE}::test_new_neighbour_is_told_all_evidence_if_it_understands_it",
    ),
    Mechanism(
        "evidence is passed on",
        "ragwortferry/mesh/evidence.py",
        "other = source is None or link.host != source.host",
        "other = source is None",
        f"{EVIDENCE}::test_three_crashes_seen_by_three_nodes_are_known_to_all",
    ),
    Mechanism(
        "bounded number of suspects",
        "ragwortferry/mesh/quarantine.py",
        "        self._bound()\n",
        "",
        f"{QUARANTINE}::test_memory_is_bounded_and_keeps_the_convicted",
    ),
    Mechanism(
        "few samples of service times",
        "ragwortferry/mesh/placement/balance.py",
        "weight = counted / (counted + PRIOR_SAMPLES)",
        "weight = 1.0",
        f"{DECISIONS}::test_upstream_whose_first_requests_were_slow_gets_its_share",
    ),
    Mechanism(
        "rate of cold upstreams",
        "ragwortferry/mesh/owner.py",
        "rates = [self.limit_per_s, self.warmup_rate_per_s]",
        "rates = [self.limit_per_s]",
        f"{COLD_ZONES}"
        "::test_restart_between_two_requests_is_noticed_by_its_lost_connections",
    ),
    Mechanism(
        "restart noticed by lost connections",
        "ragwortferry/mesh/owner.py",
        "            self._warmup.record_disconnected()\n",
        "            pass\n",
        f"{COLD_ZONES}"
        "::test_restart_between_two_requests_is_noticed_by_its_lost_connections",
    ),
    Mechanism(
        "entries on their way do not overrule responses",
        "ragwortferry/mesh/admission/warmup.py",
        "if not outdated or now + entry.cold_s > self.ends_at:",
        "if True:",
        f"{WARMUP}::"
        "test_entry_that_was_on_its_way_does_not_end_what_the_upstream_has_just_stated",
    ),
    Mechanism(
        "first share of a cold upstream",
        "ragwortferry/mesh/placement/balance.py",
        "        if not was_cold:\n",
        "        if False:\n",
        f"{WARMUP}::"
        "test_nodes_that_know_only_the_entry_do_not_all_send_to_a_cold_upstream_at_once",
    ),
    Mechanism(
        "evacuations leave upstreams out",
        "ragwortferry/mesh/state.py",
        "and not self.evacuations.includes(item.zone)",
        "and True",
        f"{EVACUATION}::test_upstreams_of_evacuated_zones_are_not_available_and_return",
    ),
    Mechanism(
        "heartbeats repair missed evacuations",
        "ragwortferry/mesh/evacuation.py",
        "        if 0 <= link.peer_evacuation_revision < self._evacuations.revision:\n"
        "            self._send(link)\n\n    def on_frame",
        "\n    def on_frame",
        f"{EVACUATION}"
        "::test_peer_that_missed_a_change_is_told_after_its_next_heartbeat",
    ),
    Mechanism(
        "one upstream an address",
        "ragwortferry/mesh/state.py",
        "and newest[item.address] is item",
        "and True",
        f"{MESH_STATE}"
        "::test_entry_of_a_crashed_upstream_is_not_used_beside_that_of_its_successor",
    ),
    Mechanism(
        "expected long responses",
        "ragwortferry/mesh/admission/forecast.py",
        "return self._pacer.queueing_delay_s + expected_s",
        "return self._pacer.queueing_delay_s",
        f"{FORECAST}"
        "::test_long_responses_are_in_time_whatever_more_the_link_is_asked_for",
    ),
    Mechanism(
        "service times by route",
        "ragwortferry/mesh/placement/balance.py",
        "service_s = self._speeds.expected(upstream.id, route, now)",
        "service_s = None",
        f"{MIXED_ROUTES}"
        "::test_slots_of_all_upstreams_are_used_before_requests_wait[0.4-1]",
    ),
    Mechanism(
        "calls go first",
        "ragwortferry/mesh/admission/queue.py",
        "return job.priority, late, job.standing, at",
        "return job.priority, late, 0, at",
        f"{CALLS}::test_calls_are_served_where_new_requests_can_be_refused",
    ),
    Mechanism(
        "returned callers go first",
        "ragwortferry/mesh/admission/retry_after.py",
        "        return Standing.RETURNED\n",
        "        return Standing.NEW\n",
        f"{RETRY_AFTER}"
        "::test_callers_who_return_as_told_are_served_more_often_than_at_their_first_try",
    ),
    Mechanism(
        "idempotent attempts leave a silent link",
        "ragwortferry/mesh/links/peers.py",
        "            self._abandon_idempotent(peer, link)\n",
        "            pass\n",
        f"{LINKS}::test_idempotent_attempt_does_not_wait_until_a_silent_link_is_closed",
    ),
    Mechanism(
        "bound of unread responses",
        "ragwortferry/http1/server.py",
        "            connection.abort()\n",
        "            pass\n",
        f"{BACKLOG}::test_callers_that_never_read_do_not_grow_the_memory",
    ),
    Mechanism(
        "other errors of decoders",
        "ragwortferry/utils/decoding.py",
        "except Exception as error:",
        "except UnicodeDecodeError as error:",
        f"{DECODERS}::test_invalid_registry_entry_is_rejected",
    ),
    Mechanism(
        "bounds of registry entries",
        "ragwortferry/platform/registry.py",
        "Count = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]",
        "Count = int",
        f"{ACCEPTED}::test_accepted_entry_passes_encoder_state_log_and_timers",
    ),
    Mechanism(
        "removal by an invalid entry",
        "ragwortferry/mesh/reader.py",
        "invalid[upstream_id(item.key)] = item.revision",
        "pass",
        f"{LINKS}::test_upstream_whose_entry_becomes_invalid_is_not_used_until_it_is_"
        "valid",
    ),
    Mechanism(
        "bounds of a configuration",
        "ragwortferry/platform/config.py",
        "min(action.timeout_s, MAX_DURATION_S)",
        "action.timeout_s",
        f"{EXTREME}::test_extreme_number_is_rejected_or_passes_encoders_and_timers",
    ),
    Mechanism(
        "discarding of refusals without an id",
        "ragwortferry/mesh/response.py",
        "return is_first and head.status in NOT_RUN_STATUSES",
        "return head.status in NOT_RUN_STATUSES",
        f"{FAULTY}::test_refusal_written_once_more_neither_promises_nor_repeats_"
        "anything",
    ),
    Mechanism(
        "deadline of long responses",
        "ragwortferry/mesh/entry.py",
        "asyncio.timeout_at(context.deadline + STREAM_MARGIN_S)",
        "asyncio.timeout_at(None)",
        f"{FAULTY}::test_long_response_ends_soon_after_its_deadline_if_its_owner_falls_"
        "silent",
    ),
    Mechanism(
        "line about an awaited version",
        "ragwortferry/mesh/links/relay.py",
        "self.on_known_version(version, link.host)",
        "pass",
        f"{VERSION_WATCH}::test_version_that_is_known_and_not_enforced_is_logged",
    ),
    Mechanism(
        "planned stop: refusal by the entry",
        "ragwortferry/mesh/entry.py",
        "if context.deadline > self._ends_at:",
        "if False:",
        f"{STOP}::test_stopping_node_refuses_requests_that_are_due_after_its_end",
    ),
    Mechanism(
        "planned stop: refusal by the owner",
        "ragwortferry/mesh/owner.py",
        "if attempt.deadline > self._ends_at:",
        "if False:",
        f"{MESH_OWNER}::test_leaving_owner_accepts_no_request_that_it_cannot_finish",
    ),
    Mechanism(
        "planned stop: nothing behind an announced close",
        "ragwortferry/http1/server.py",
        "return self.last is not None and self.last.close_after",
        "return False",
        f"{SERVER}::test_request_behind_a_long_response_that_announced_the_close_is_not_"
        "handled",
    ),
    Mechanism(
        "planned stop: close announced in the last head",
        "ragwortferry/http1/server.py",
        "self._head = status, headers, length",
        "self._head = status, headers, length; self._update_close_after()",
        f"{STOP}::test_stopping_node_answers_requests_that_come_behind_a_slow_one",
    ),
    Mechanism(
        "planned stop: wait for callers that read slowly",
        "ragwortferry/http1/server.py",
        "return not self.held_bytes and",
        "return",
        f"{STOP}::test_stopping_node_waits_for_a_caller_that_reads_slowly",
    ),
    Mechanism(
        "planned stop: wait for requests that are being read",
        "ragwortferry/http1/server.py",
        "return self._request_started_at is not None",
        "return False",
        f"{STOP}::test_stopping_node_waits_for_the_rest_of_a_body",
    ),
    Mechanism(
        "planned stop: close only behind the rest of a request",
        "ragwortferry/http1/server.py",
        "self.close_after |= not connection.reading",
        "self.close_after = True",
        f"{SERVER}::test_draining_server_reads_the_rest_of_a_request_before_it_closes",
    ),
    Mechanism(
        "planned stop: grace time from the signal",
        "ragwortferry/mesh/node.py",
        "loop.time() - lag.seconds",
        "loop.time()",
        f"{STOP}::test_node_that_was_suspended_when_the_signal_came_ends_in_time",
    ),
    Mechanism(
        "planned stop: refusal by an entry of ragwortferry run",
        "ragwortferry/requests/entry.py",
        "if deadline > self._drain.ends_at:",
        "if False:",
        f"{PROCESS_STOP}::test_stopping_process_refuses_requests_that_it_would_abort",
    ),
    Mechanism(
        "eras: order by the era first",
        "ragwortferry/mesh/revisions.py",
        "return era << REVISION_BITS | revision",
        "return revision",
        f"{STORE_ERAS}::test_entry_written_again_under_a_lower_revision_is_used",
    ),
    Mechanism(
        "eras: time to write lost entries again",
        "ragwortferry/mesh/state.py",
        "and era_of(item.revision) == era_of(change.revision)",
        "",
        f"{STORE_ERAS}::test_entry_missing_from_the_copy_is_kept_until_it_can_be_written"
        "_again",
    ),
    Mechanism(
        "eras: what was draining stays so",
        "ragwortferry/mesh/state.py",
        "self._drained_before.add(item.id)",
        "pass",
        f"{STORE_ERAS}::test_upstream_that_was_draining_stays_so_though_the_copy_shows"
        "_it_as_ready",
    ),
    Mechanism(
        "store: short watches",
        "ragwortferry/mesh/reader.py",
        "WATCH_TIMEOUT_S = 2.0",
        "WATCH_TIMEOUT_S = 8.0",
        f"{SEVERED}::test_connections_to_the_store_that_go_silent_hide_no_change",
    ),
    Mechanism(
        "store: outages that peers report",
        "ragwortferry/mesh/reader.py",
        "if not all(link.peer_store_available for link in self._peers.links):",
        "if False:",
        f"{LINKS}::test_node_that_becomes_a_reader_knows_of_an_outage_from_its_peers",
    ),
    Mechanism(
        "callers: only unread bytes start the time",
        "ragwortferry/http1/backlog.py",
        "or not holding.unread",
        "",
        f"{BACKLOG}::test_response_behind_a_slow_one_is_sent_to_a_caller_that_reads",
    ),
    Mechanism(
        "bytes without end: one part a read",
        "ragwortferry/http1/client.py",
        "self._parts.append(data)",
        "self._sink.on_data(data)",
        f"{CLIENT}::test_body_in_tiny_chunks_is_passed_on_in_few_parts",
    ),
    Mechanism(
        "bytes without end: more framing than body",
        "ragwortferry/http1/client.py",
        "elif self._overhead_bytes > MAX_HEAD_BYTES:",
        "elif False:",
        f"{CLIENT}::test_more_framing_than_body_is_no_response",
    ),
    Mechanism(
        "bytes without end: largest health response",
        "ragwortferry/http1/collector.py",
        "if len(self._body) > self._max_bytes:",
        "if False:",
        f"{ENDLESS}::test_health_responses_without_end_keep_the_memory_bounded",
    ),
    Mechanism(
        "bytes without end: request bodies together",
        "ragwortferry/http1/server.py",
        "elif server.request_bytes > server.request_limit_bytes:",
        "elif False:",
        f"{SERVER}::test_largest_unfinished_body_is_refused_when_bodies_take_too_much"
        "_memory",
    ),
    Mechanism(
        "queued attempts handed back",
        "ragwortferry/mesh/owner.py",
        "if failure is not None and self._admission.cancel(attempt_state.job):",
        "if False:",
        f"{MESH_OWNER}::test_request_queued_at_an_upstream_that_leaves_is_handed_back",
    ),
    Mechanism(
        "interim response after earlier responses",
        "ragwortferry/http1/server.py",
        "if self._awaits_continue and not self._pending and not self._closing:",
        "if self._awaits_continue:",
        f"{SERVER}::test_interim_response_waits_for_the_earlier_responses",
    ),
]


def _run_without(mechanism: Mechanism) -> bool:
    """Return whether the test fails without the mechanism."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            source, place = ROOT / name, copy / name
            if source.is_dir():
                shutil.copytree(source, place)
            else:
                shutil.copy(source, place)
        file = copy / mechanism.file
        text = file.read_text()
        if mechanism.old not in text:
            raise SystemExit(
                f"{mechanism.name}: text to replace not found in {mechanism.file}"
            )
        file.write_text(text.replace(mechanism.old, mechanism.new))
        command = [sys.executable, "-m", "pytest", "-x", "-W", "ignore", mechanism.test]
        environ = {**os.environ, "PYTHONPATH": folder}
        result = subprocess.run(
            command, cwd=copy, env=environ, capture_output=True, timeout=TEST_TIMEOUT_S
        )
    return result.returncode == 1


def main(only: str = "") -> None:
    """Run each test without its mechanism.

    :param only: substring of the names of the mechanisms to remove, all if empty
    """
    failed, passed = [], []
    for mechanism in MECHANISMS:
        if only not in mechanism.name:
            continue
        (failed if _run_without(mechanism) else passed).append(mechanism.name)
        verdict = "passes but should fail" if mechanism.name in passed else "fails"
        print(f"without {mechanism.name}: the test {verdict}", flush=True)
    print(json.dumps({"failed": len(failed), "still_passed": passed}))
    raise SystemExit(1 if passed else 0)


if __name__ == "__main__":
    fire.Fire(main)

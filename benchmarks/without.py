"""Shows that proofs fail without their mechanism.

Each entry takes one mechanism out of a copy of the tree and runs its test there. The
last line is one JSON object with what failed (as it must) and what still passed.
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
ENTRY = "ragwortferry/requests/tests/test_entry.py"
SLOTS = "ragwortferry/requests/tests/test_slots.py"
BALANCE = "ragwortferry/requests/tests/test_balance.py"
BOUND_S = 180


@dataclass(frozen=True)
class Mechanism:
    """A mechanism, the text that takes it out, and the test that must then fail."""

    name: str
    file: str
    old: str
    new: str
    test: str


MECHANISMS = [
    Mechanism(
        "order check",
        "ragwortferry/spread/store.py",
        "if mark.version < held.version:",
        "if False:",
        f"{STORE}::test_versions_never_go_back_and_never_change_their_content",
    ),
    Mechanism(
        "boot floor",
        "ragwortferry/spread/boot.py",
        "        self._store.set_floor(floor)\n",
        "",
        f"{SPREAD}::test_a_restarted_slot_waits_for_its_peers_while_the_platform_is_rewound",
    ),
    Mechanism(
        "no update before the boot floor",
        "ragwortferry/spread/peers.py",
        "        if not self._store.ready:\n            return\n",
        "",
        f"{PEERS}::test_nothing_is_enforced_before_the_boot_floor_is_known",
    ),
    Mechanism(
        "places for those that stand first",
        "ragwortferry/spread/peers.py",
        "if self._rank(instance) >= self._rank(last.instance):",
        "if True:",
        f"{PEERS}::test_a_full_parent_keeps_the_children_that_stand_first",
    ),
    Mechanism(
        "one update in flight",
        "ragwortferry/spread/peers.py",
        "if not (peer.is_child or peer.pulled) or peer.in_flight:",
        "if not (peer.is_child or peer.pulled):",
        f"{PEERS}::test_one_update_is_in_flight_and_the_newest_overtakes",
    ),
    Mechanism(
        "refusal of other content under the same number",
        "ragwortferry/spread/store.py",
        "if mark.version == held.version and mark.digest != held.digest:",
        "if False:",
        f"{SPREAD}::test_the_same_number_with_other_content_is_refused_and_reported",
    ),
    Mechanism(
        "check across sections",
        "ragwortferry/document/snapshot.py",
        "    problems.extend(index.unresolved_routes())\n",
        "",
        f"{SPREAD}::test_a_bad_version_is_refused_everywhere_whole_and_the_next_one_taken",
    ),
    Mechanism(
        "refusal notices",
        "ragwortferry/spread/peers.py",
        "        self._push_refusal(peer)\n",
        "",
        f"{SPREAD}::test_a_bad_version_is_refused_everywhere_whole_and_the_next_one_taken",
    ),
    Mechanism(
        "links between zones",
        "ragwortferry/spread/seeker.py",
        'self._kernel.spawn(self._keep_remote(), "zone links")',
        "pass",
        f"{SPREAD}::test_a_zone_without_the_platform_takes_versions_from_another",
    ),
    Mechanism(
        "bound on silence of links",
        "ragwortferry/spread/link.py",
        "asyncio.timeout(self._silence_s)",
        "asyncio.timeout(None)",
        f"{SPREAD}::test_links_that_fall_silent_are_found_and_replaced",
    ),
    Mechanism(
        "readers only",
        "ragwortferry/spread/reader.py",
        "wanted = self._everyone or self._members.is_reader",
        "wanted = True",
        f"{SPREAD}::test_only_readers_watch_and_reads_do_not_grow_with_the_fleet",
    ),
    Mechanism(
        "peers before source",
        "ragwortferry/spread/reader.py",
        "            await self._wait_for_peers(manifest.version)\n",
        "            pass\n",
        f"{SPREAD}::test_one_reader_of_a_zone_reads_a_large_document_for_all",
    ),
    Mechanism(
        "backoff in an outage",
        "ragwortferry/spread/reader.py",
        "                await asyncio.sleep(backoff.next_delay())\n\n    def",
        "                await asyncio.sleep(0)\n\n    def",
        f"{SPREAD}::test_an_outage_ends_without_a_storm",
    ),
    Mechanism(
        "suspicion of dead peers",
        "ragwortferry/spread/members.py",
        "        self._suspects[name] = self._now() + SUSPECT_S\n",
        "        pass\n",
        f"{MEMBERS}::test_an_unreachable_instance_is_left_out_for_a_while",
    ),
    Mechanism(
        "hash order of parents",
        "ragwortferry/spread/members.py",
        "        mine = bisect.bisect_left(",
        "        mine = len(self._ranks) - 1 or bisect.bisect_left(",
        f"{MEMBERS}::test_parents_stand_before_their_children_whatever_the_lists_hold",
    ),
    Mechanism(
        "bound on the age of status",
        "ragwortferry/spread/status.py",
        "fresh = summary.age_ms <= HEARD_BOUND_S * 1000",
        "fresh = True",
        f"{STATUS}::test_a_summary_past_the_bound_is_no_longer_heard_from",
    ),
    Mechanism(
        "fence for silent connections",
        "ragwortferry/requests/remote.py",
        "min(left * CHECK_SHARE, CHECK_MOST_S)",
        "1000",
        f"{REQUESTS}::test_a_payment_over_a_silent_connection_is_found_out_and_paid",
    ),
    Mechanism(
        "attempts kept past their deadline",
        "ragwortferry/requests/attempts.py",
        "until = self._now() + max(0.0, left_s) + KEEP_S",
        "until = self._now() + KEEP_S",
        f"{BALANCE}::test_a_long_attempt_is_not_forgotten_before_its_deadline",
    ),
    Mechanism(
        "no proof from forgotten attempts",
        "ragwortferry/requests/attempts.py",
        "            if self._now() < self._blind_until or",
        "            if",
        f"{BALANCE}::test_a_fence_proves_nothing_once_attempts_were_dropped_early",
    ),
    Mechanism(
        "attempts that arrive twice",
        "ragwortferry/requests/attempts.py",
        "if state is not AttemptState.UNSEEN:",
        "if False:",
        f"{REQUESTS}::test_duplicated_connections_run_no_payment_twice",
    ),
    Mechanism(
        "bound on connections",
        "ragwortferry/requests/target.py",
        "kept = connections // 2",
        "kept, connections = connections, 2 * connections",
        f"{REQUESTS}::test_connections_to_a_target_stay_inside_their_bound",
    ),
    Mechanism(
        "outcome over all attempts",
        "ragwortferry/requests/entry.py",
        "last = _with_what_came_before(error, last)",
        "last = error",
        f"{ENTRY}::test_not_run_is_said_only_if_no_attempt_may_have_run",
    ),
    Mechanism(
        "no second try of what may have run",
        "ragwortferry/requests/entry.py",
        "allowed = route.idempotent and made <= route.retries",
        "allowed = made <= route.retries",
        f"{REQUESTS}::test_a_payment_runs_at_most_once_whatever_its_target_does[reset]",
    ),
    Mechanism(
        "not run only when proved",
        "ragwortferry/requests/target.py",
        "return RequestError(ErrorKind.UPSTREAM_LOST, text, Outcome.UNKNOWN)",
        "return RequestError(ErrorKind.CONNECT_FAILED, text)",
        f"{REQUESTS}::test_a_payment_runs_at_most_once_whatever_its_target_does[reset]",
    ),
    Mechanism(
        "no retry by the HTTP client itself",
        "ragwortferry/requests/pool.py",
        "        session._retry_connection = False\n",
        "",
        f"{REQUESTS}::test_a_chain_of_twelve_does_not_multiply_retries",
    ),
    Mechanism(
        "broken connection after a cut answer",
        "ragwortferry/requests/answers.py",
        "        _abort(request)\n        return response",
        "        await response.write_eof()\n        return response",
        f"{REQUESTS}::test_a_cut_answer_never_looks_complete[{3 * 2**20}]",
    ),
    Mechanism(
        "share of slots",
        "ragwortferry/requests/slots.py",
        "return self._in_use < self.limit and held < self._cap(share)",
        "return self._in_use < self.limit",
        f"{REQUESTS}::test_slots_hold_and_exports_leave_room_for_panels",
    ),
    Mechanism(
        "fair queue",
        "ragwortferry/requests/slots.py",
        "route = min(ready, key=lambda name: self._held.get(name, 0))",
        "route = ready[0]",
        f"{SLOTS}::test_the_route_with_the_fewest_slots_goes_next",
    ),
    Mechanism(
        "floor of ejection",
        "ragwortferry/requests/balance.py",
        "most = int(len(group) * MAX_EJECTED_SHARE)",
        "most = len(group)",
        f"{BALANCE}::test_ejection_never_empties_a_zone",
    ),
    Mechanism(
        "wait for requests in flight",
        "ragwortferry/composition.py",
        '        await kernel.get("drain").wait_idle()\n',
        "",
        f"{REQUESTS}::test_a_planned_stop_cuts_nothing_and_new_work_goes_elsewhere",
    ),
    Mechanism(
        "refusal of new work while leaving",
        "ragwortferry/requests/owner.py",
        "        if self._drain.leaving:\n            raise RequestError",
        "        if False:\n            raise RequestError",
        f"{REQUESTS}::test_a_planned_stop_cuts_nothing_and_new_work_goes_elsewhere",
    ),
    Mechanism(
        "cancellation",
        "ragwortferry/requests/server.py",
        "handler_cancellation=True",
        "handler_cancellation=False",
        f"{REQUESTS}::test_a_caller_that_goes_away_cancels_the_whole_path",
    ),
    Mechanism(
        "pool replaced with its kin",
        "ragwortferry/requests/target.py",
        "                self._pool.renew()\n",
        "                pass\n",
        f"{REQUESTS}::test_silent_pooled_connections_to_a_target_are_dropped_with_their_kin",
    ),
]


def _run_without(mechanism: Mechanism) -> bool:
    """Return whether the test fails once the mechanism is out."""
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
            raise SystemExit(f"{mechanism.name}: its text is not in {mechanism.file}")
        file.write_text(text.replace(mechanism.old, mechanism.new))
        command = [sys.executable, "-m", "pytest", "-x", "-W", "ignore", mechanism.test]
        environ = {**os.environ, "PYTHONPATH": folder}
        result = subprocess.run(
            command, cwd=copy, env=environ, capture_output=True, timeout=BOUND_S
        )
    return result.returncode == 1


def main(only: str = "") -> None:
    """Run the tests without their mechanisms.

    :param only: part of the name of the mechanisms to take out, all if empty
    """
    failed, passed = [], []
    for mechanism in MECHANISMS:
        if only not in mechanism.name:
            continue
        (failed if _run_without(mechanism) else passed).append(mechanism.name)
        verdict = "passes, it should not" if mechanism.name in passed else "fails"
        print(f"without {mechanism.name}: the test {verdict}", flush=True)
    print(json.dumps({"failed": len(failed), "still_passed": passed}))
    raise SystemExit(1 if passed else 0)


if __name__ == "__main__":
    fire.Fire(main)

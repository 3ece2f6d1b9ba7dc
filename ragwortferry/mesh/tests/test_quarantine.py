"""Decisions of the quarantine."""

import itertools

import pytest

from ragwortferry.mesh.fingerprint import request_kind
from ragwortferry.mesh.links.frames import Clearance, CrashReport, Evidence
from ragwortferry.mesh.quarantine import (
    CONVICT_TTL_S,
    FIRST_BLOCK_S,
    MAX_BLOCK_S,
    MAX_CRASHES,
    MAX_SUSPECTS,
    SUSPECT_TTL_S,
    TRIAL_SPREAD_FRACTION,
    Quarantine,
    Ruling,
)

HOST = [("Host", "boards.example")]
# The latest end of the first block on any node.
FIRST_BLOCK_END_S = FIRST_BLOCK_S * (1 + TRIAL_SPREAD_FRACTION)


def _kind(path="/panels/bad", service="tablero", body=b"", headers=HOST):
    return request_kind(service, "GET", path, headers, body)


def _crash(name: str, *kinds, age_s=0.0) -> Evidence:
    return Evidence([CrashReport(name, age_s * 1000, list(kinds))], [])


def _clear(kind, *crashes) -> Evidence:
    return Evidence([], [Clearance(kind, list(crashes))])


def _convicted(now=0.0, node="n") -> Quarantine:
    quarantine = Quarantine(node)
    for number in range(3):
        quarantine.record(_crash(f"c{number}", _kind()), now)
    return quarantine


def _ruling(quarantine, kind, now) -> Ruling:
    return quarantine.check(kind, now).ruling


def test_third_crash_convicts_a_request_that_has_not_run_to_its_end():
    quarantine, kind = Quarantine("n"), _kind()
    for number, expected in enumerate([Ruling.ALLOWED] * 2 + [Ruling.REFUSED]):
        quarantine.record(_crash(f"c{number}", kind), float(number))
        assert _ruling(quarantine, kind, float(number)) is expected
    verdict = quarantine.check(kind, 2.0)
    assert FIRST_BLOCK_S <= verdict.retry_after_s <= FIRST_BLOCK_END_S


def test_same_crash_counts_once():
    quarantine, kind = Quarantine("n"), _kind()
    for _ in range(5):
        quarantine.record(_crash("c0", kind), 0.0)
    assert _ruling(quarantine, kind, 0.0) is Ruling.ALLOWED


def test_request_at_work_in_each_crash_is_cleared_by_its_end_elsewhere():
    quarantine, bad, good = Quarantine("n"), _kind(), _kind("/panels/popular")
    for number in range(6):
        quarantine.record(_crash(f"c{number}", bad, good), float(number))
        quarantine.record(Evidence([], [quarantine.clearance(good)]), number + 0.1)
    assert _ruling(quarantine, bad, 6.0) is Ruling.REFUSED
    assert _ruling(quarantine, good, 6.0) is Ruling.ALLOWED


def test_clearance_lifts_a_conviction_and_may_come_before_the_crash():
    crashes = [_crash(f"c{number}", _kind()) for number in range(3)]
    clearance = _clear(_kind(), "c0", "c1", "c2")
    for order in itertools.permutations([*crashes, clearance]):
        quarantine = Quarantine("n")
        for evidence in order:
            quarantine.record(evidence, 0.0)
        assert _ruling(quarantine, _kind(), 0.0) is Ruling.ALLOWED


def test_evidence_of_one_node_brings_another_up_to_date():
    first, second = _convicted(now=0.0), Quarantine("m")
    first.record(_crash("c3", _kind("/panels/good")), 1.0)
    first.record(_clear(_kind("/panels/good"), "c3"), 1.0)
    new = second.record(first.evidence(now=2.0), 102.0)
    assert _ruling(second, _kind(), 102.0) is Ruling.REFUSED
    assert second.suspect_count == 1
    # Nothing of it is new a second time, so it is not passed on again.
    assert new.crashes and new.clearances
    again = second.record(first.evidence(now=2.0), 102.0)
    assert not again.crashes and not again.clearances
    # It is as old there as here.
    assert _ruling(second, _kind(), 100.0 + FIRST_BLOCK_END_S) is Ruling.TRIAL


def test_new_suspects_take_the_places_of_old_ones():
    quarantine = Quarantine("n")
    for number in range(MAX_SUSPECTS):
        for crash in range(2):
            kind = _kind(f"/panels/{number}")
            quarantine.record(_crash(f"x{number}-{crash}", kind), 0.0)
    for crash in range(3):
        quarantine.record(_crash(f"y{crash}", _kind()), 1.0 + crash)
    assert _ruling(quarantine, _kind(), 3.0) is Ruling.REFUSED


@pytest.mark.parametrize(
    "other",
    [
        _kind("/panels/good"),
        _kind("/panels/bad?x=1"),
        _kind(body=b"other"),
        _kind(service="archivo"),
        _kind(headers=[("Host", "other.example")]),
        _kind(headers=[*HOST, ("Authorization", "Bearer of another caller")]),
        request_kind("tablero", "POST", "/panels/bad", HOST, b""),
    ],
)
def test_other_requests_stay_allowed(other):
    quarantine = _convicted()
    assert _ruling(quarantine, other, 0.0) is Ruling.ALLOWED
    assert _ruling(quarantine, _kind(), 0.0) is Ruling.REFUSED


def test_repetitions_are_recognised_by_what_they_share():
    headers = [
        ("X-Request-Id", "2"),
        ("host", "Boards.Example"),
        ("X-Deadline-Ms", "7"),
        ("traceparent", "00-1"),
    ]
    assert _kind(headers=headers) == _kind()
    quarantine = _convicted()
    assert quarantine.find("tablero", "GET", "/panels/bad", headers, b"") == _kind()
    assert quarantine.find("tablero", "GET", "/panels/good", headers, b"") is None


def test_equal_request_of_another_sender_is_convicted_by_one_crash_of_its_own():
    quarantine, other = _convicted(), _kind(service="archivo")
    assert quarantine.is_accused(other) and not quarantine.is_convicted(other)
    quarantine.record(_crash("c9", other), 0.0)
    assert _ruling(quarantine, other, 0.0) is Ruling.REFUSED


def test_sender_cannot_get_the_equal_request_of_another_refused():
    quarantine, other = Quarantine("n"), _kind(service="archivo")
    for number in range(3):
        quarantine.record(_crash(f"c{number}", _kind()), 0.0)
    quarantine.record(_crash("c3", _kind(), other), 0.0)
    assert _ruling(quarantine, other, 0.0) is Ruling.ALLOWED


def test_one_trial_follows_the_block_and_a_crash_in_it_lengthens_the_next_block():
    quarantine, kind, now = _convicted(), _kind(), 0.0
    blocks = []
    for number in range(4):
        began, now = now, now + quarantine.check(kind, now).retry_after_s
        blocks.append(now - began)
        assert _ruling(quarantine, kind, now) is Ruling.TRIAL
        quarantine.begin_trial(kind, now)
        assert _ruling(quarantine, kind, now + 0.1) is Ruling.REFUSED
        now += 0.2
        quarantine.record(_crash(f"t{number}", kind), now)
        assert _ruling(quarantine, kind, now) is Ruling.REFUSED
    assert blocks == sorted(blocks) and blocks[2] > 10 * blocks[0]
    assert blocks[-1] <= MAX_BLOCK_S * (1 + TRIAL_SPREAD_FRACTION)


def test_first_block_does_not_depend_on_the_time_between_the_first_crashes():
    quarantine, kind = Quarantine("n"), _kind()
    for number in range(3):
        quarantine.record(_crash(f"c{number}", kind), 20.0 * number)
    assert quarantine.check(kind, 40.0).retry_after_s <= FIRST_BLOCK_END_S


def test_crash_that_is_too_old_to_be_kept_is_not_passed_on():
    quarantine, kind = Quarantine("n"), _kind()
    for number in range(MAX_CRASHES):
        quarantine.record(_crash(f"c{number}", kind), 50.0 + number)
    for _ in range(2):
        new = quarantine.record(_crash("old", kind, age_s=60.0), 70.0)
        assert not new.crashes


def test_request_is_served_again_after_a_trial_that_ended_well():
    quarantine, kind = _convicted(), _kind()
    now = FIRST_BLOCK_END_S
    assert _ruling(quarantine, kind, now) is Ruling.TRIAL
    quarantine.begin_trial(kind, now)
    quarantine.record(Evidence([], [quarantine.clearance(kind)]), now + 0.1)
    assert _ruling(quarantine, kind, now + 0.1) is Ruling.ALLOWED
    assert quarantine.convicted_count == 0


def test_trial_without_a_result_is_followed_by_another():
    quarantine, kind = _convicted(), _kind()
    quarantine.begin_trial(kind, FIRST_BLOCK_END_S)
    verdict = quarantine.check(kind, FIRST_BLOCK_END_S)
    now = FIRST_BLOCK_END_S + verdict.retry_after_s
    assert _ruling(quarantine, kind, now) is Ruling.TRIAL


def test_nodes_start_their_trials_at_different_times():
    ends = [
        _convicted(node=f"10.0.0.{number}").check(_kind(), 0.0).retry_after_s
        for number in range(50)
    ]
    assert min(ends) >= FIRST_BLOCK_S and max(ends) <= FIRST_BLOCK_END_S
    assert max(ends) - min(ends) > 0.8 * TRIAL_SPREAD_FRACTION * FIRST_BLOCK_S


def test_suspects_of_two_crashes_are_isolated():
    quarantine, kind = Quarantine("n"), _kind()
    quarantine.record(_crash("c0", kind), 0.0)
    assert not quarantine.is_isolated(kind)
    quarantine.record(_crash("c1", kind), 0.0)
    assert quarantine.is_isolated(kind)


def test_evidence_expires():
    quarantine, suspect = _convicted(), _kind("/panels/other")
    quarantine.record(_crash("c9", suspect), 0.0)
    quarantine.check(suspect, SUSPECT_TTL_S + 1)
    assert quarantine.suspect_count == 1
    end = FIRST_BLOCK_END_S + CONVICT_TTL_S + 1
    assert _ruling(quarantine, _kind(), end) is Ruling.ALLOWED
    assert quarantine.suspect_count == 0
    assert quarantine.evidence(end) == Evidence([], [])


def test_memory_is_bounded_and_keeps_the_convicted():
    quarantine = _convicted()
    for number in range(3 * MAX_SUSPECTS):
        kind = _kind(f"/panels/{number}")
        quarantine.record(_crash(f"x{number}", kind), 0.0)
    for number in range(5 * MAX_CRASHES):
        quarantine.record(_crash(f"y{number}", _kind()), 0.0)
    evidence = quarantine.evidence(0.0)
    kinds = {kind for crash in evidence.crashes for kind in crash.suspects}
    assert len(kinds) <= MAX_SUSPECTS and _kind() in kinds
    assert sum(_kind() in crash.suspects for crash in evidence.crashes) <= MAX_CRASHES
    assert _ruling(quarantine, _kind(), 0.0) is Ruling.REFUSED

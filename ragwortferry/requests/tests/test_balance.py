import pytest

from ragwortferry.document.snapshot import Service
from ragwortferry.exceptions import ErrorKind, RequestError
from ragwortferry.requests.attempts import KEEP_S, MAX_KEPT, Attempts, AttemptState
from ragwortferry.requests.balance import EJECT_AFTER, Balancer, RetryBudget
from ragwortferry.spread.members import Members
from ragwortferry.tests.builders import FakeClock, instance, instance_list, rng

NEAR = [f"near-{n}" for n in range(4)]
FAR = [f"far-{n}" for n in range(4)]
SERVICE = Service(
    "tablero",
    "boards",
    tuple(NEAR + FAR),
    20,
    130,
    40,
    5.0,
)


def balancer(now, leaving=()):
    members = Members(instance("me"), fanout=4, readers=2)
    items = [instance(name, "zone-a", leaving=name in leaving) for name in NEAR]
    items += [instance(name, "zone-b") for name in FAR]
    members.apply(instance_list(items))
    return Balancer(members, rng(), now)


def picks(held, tried=(), count=200):
    return {held.pick(SERVICE, tried).id for _ in range(count)}


def test_the_own_zone_goes_first_and_others_take_over_when_it_is_busy():
    now = FakeClock()
    held = balancer(now)
    assert picks(held) == set(NEAR)
    for name in NEAR:
        held.failed(name, ErrorKind.OVERLOADED)
    assert picks(held) == set(FAR)
    now.now += 1
    assert picks(held) == set(NEAR)


def test_ejection_never_empties_a_zone():
    now = FakeClock()
    held = balancer(now)
    for name in NEAR:
        for _ in range(EJECT_AFTER):
            held.failed(name, ErrorKind.UPSTREAM_LOST)
    assert len(picks(held)) == len(NEAR) / 2
    assert picks(held) <= set(NEAR)


def test_an_ejected_upstream_returns():
    now = FakeClock()
    held = balancer(now)
    for _ in range(EJECT_AFTER):
        held.failed("near-1", ErrorKind.CONNECT_FAILED)
    assert "near-1" not in picks(held)
    now.now += 3
    assert "near-1" in picks(held)


def test_an_upstream_that_says_it_leaves_gets_nothing_more():
    held = balancer(FakeClock(), leaving=["near-0"])
    held.failed("near-1", ErrorKind.LEAVING)
    assert picks(held) == {"near-2", "near-3"}


def test_a_slow_upstream_gets_less_and_a_stale_latency_counts_as_neutral():
    now = FakeClock()
    held = balancer(now)
    for name in NEAR:
        held.answered(name, 1.0 if name == "near-0" else 0.01)
    counts = [held.pick(SERVICE, ()).id for _ in range(300)]
    assert counts.count("near-0") == 0
    now.now += 60
    counts = [held.pick(SERVICE, ()).id for _ in range(300)]
    assert counts.count("near-0") > 30


def test_without_an_upstream_the_request_did_not_run():
    held = balancer(FakeClock())
    with pytest.raises(RequestError) as caught:
        held.pick(SERVICE, NEAR + FAR)
    assert caught.value.kind is ErrorKind.NO_UPSTREAM
    assert caught.value.outcome == "not-run"


def test_an_instance_serves_its_own_target_without_any_list():
    members = Members(instance("near-1"), fanout=4, readers=2)
    held = Balancer(members, rng(), FakeClock())
    assert held.pick(SERVICE, ()).id == "near-1"


def test_retries_stay_a_small_share_however_much_fails():
    budget = RetryBudget(FakeClock())
    allowed = 0
    for _ in range(10_000):
        budget.note_request()
        allowed += budget.allow() + budget.allow()
    assert allowed <= 1_010


def test_a_fenced_attempt_never_begins():
    attempts = Attempts(FakeClock())
    assert attempts.fence("k", drop_queued=False) is AttemptState.FENCED
    with pytest.raises(RequestError) as caught:
        attempts.arrive("k", 1.0)
    assert caught.value.outcome == "not-run"


def test_a_fence_spares_a_queued_attempt_unless_told_otherwise():
    attempts = Attempts(FakeClock())
    attempts.arrive("k", 1.0)
    assert attempts.fence("k", drop_queued=False) is AttemptState.QUEUED
    assert attempts.fence("k", drop_queued=True) is AttemptState.FENCED
    with pytest.raises(RequestError):
        attempts.begin("k")


def test_an_attempt_that_has_begun_cannot_be_fenced_nor_begin_again():
    now = FakeClock()
    attempts = Attempts(now)
    attempts.arrive("k", 2.0)
    attempts.begin("k")
    assert attempts.fence("k", drop_queued=True) is AttemptState.BEGUN
    with pytest.raises(RequestError) as caught:
        attempts.arrive("k", 1.0)
    assert caught.value.outcome == "unknown"
    now.now += KEEP_S + 3
    attempts.arrive("other", 1.0)
    assert attempts.state("k") is AttemptState.UNSEEN


def test_a_long_attempt_is_not_forgotten_before_its_deadline():
    now = FakeClock()
    attempts = Attempts(now)
    attempts.arrive("long", 3600.0)
    attempts.begin("long")
    now.now += 3500
    attempts.arrive("other", 1.0)
    assert attempts.fence("long", drop_queued=True) is AttemptState.BEGUN


def test_a_fence_proves_nothing_once_attempts_were_dropped_early():
    now = FakeClock()
    attempts = Attempts(now)
    for number in range(MAX_KEPT + 1):
        attempts.arrive(f"k{number}", 2.0)
        attempts.begin(f"k{number}")
    assert attempts.fence("k0", drop_queued=True) is AttemptState.FORGOTTEN
    now.now += KEEP_S + 3
    assert attempts.fence("k-new", drop_queued=True) is AttemptState.FENCED

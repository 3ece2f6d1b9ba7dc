import pytest

from ragwortferry.document.snapshot import Service
from ragwortferry.exceptions import ErrorKind, RequestError
from ragwortferry.requests.attempts import (
    MAX_RETAINED,
    RETENTION_S,
    Attempts,
    AttemptState,
)
from ragwortferry.requests.balance import FAILURES_TO_EJECT, Balancer, RetryBudget
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


def make_balancer(now, leaving=()):
    members = Members(instance("me"), fanout=4, readers=2)
    items = [instance(name, "zone-a", leaving=name in leaving) for name in NEAR]
    items += [instance(name, "zone-b") for name in FAR]
    members.apply(instance_list(items))
    return Balancer(members, rng(), now)


def picks(balancer, tried=(), count=200):
    return {balancer.pick(SERVICE, tried).id for _ in range(count)}


def test_own_zone_is_preferred_unless_overloaded():
    now = FakeClock()
    balancer = make_balancer(now)
    assert picks(balancer) == set(NEAR)
    for name in NEAR:
        balancer.record_failure(name, ErrorKind.OVERLOADED)
    assert picks(balancer) == set(FAR)
    now.now += 1
    assert picks(balancer) == set(NEAR)


def test_at_most_half_of_a_zone_is_ejected():
    now = FakeClock()
    balancer = make_balancer(now)
    for name in NEAR:
        for _ in range(FAILURES_TO_EJECT):
            balancer.record_failure(name, ErrorKind.UPSTREAM_LOST)
    assert len(picks(balancer)) == len(NEAR) / 2
    assert picks(balancer) <= set(NEAR)


def test_an_ejected_upstream_is_picked_again_after_its_ejection():
    now = FakeClock()
    balancer = make_balancer(now)
    for _ in range(FAILURES_TO_EJECT):
        balancer.record_failure("near-1", ErrorKind.CONNECT_FAILED)
    assert "near-1" not in picks(balancer)
    now.now += 3
    assert "near-1" in picks(balancer)


def test_a_draining_upstream_is_not_picked():
    balancer = make_balancer(FakeClock(), leaving=["near-0"])
    balancer.record_failure("near-1", ErrorKind.LEAVING)
    assert picks(balancer) == {"near-2", "near-3"}


def test_a_slow_upstream_is_avoided_until_its_latency_is_stale():
    now = FakeClock()
    balancer = make_balancer(now)
    for name in NEAR:
        balancer.record_response(name, 1.0 if name == "near-0" else 0.01)
    counts = [balancer.pick(SERVICE, ()).id for _ in range(300)]
    assert counts.count("near-0") == 0
    now.now += 60
    counts = [balancer.pick(SERVICE, ()).id for _ in range(300)]
    assert counts.count("near-0") > 30


def test_a_request_without_upstream_fails_as_not_run():
    balancer = make_balancer(FakeClock())
    with pytest.raises(RequestError) as caught:
        balancer.pick(SERVICE, NEAR + FAR)
    assert caught.value.kind is ErrorKind.NO_UPSTREAM
    assert caught.value.outcome == "not-run"


def test_own_instance_is_picked_without_an_instance_list():
    members = Members(instance("near-1"), fanout=4, readers=2)
    balancer = Balancer(members, rng(), FakeClock())
    assert balancer.pick(SERVICE, ()).id == "near-1"


def test_retry_budget_limits_retries_to_a_fraction_of_requests():
    budget = RetryBudget(FakeClock())
    allowed = 0
    for _ in range(10_000):
        budget.record_request()
        allowed += budget.try_take() + budget.try_take()
    assert allowed <= 1_010


def test_a_fenced_attempt_never_begins():
    attempts = Attempts(FakeClock())
    assert attempts.fence("k", drop_queued=False) is AttemptState.FENCED
    with pytest.raises(RequestError) as caught:
        attempts.register("k", 1.0)
    assert caught.value.outcome == "not-run"


def test_a_queued_attempt_is_fenced_only_with_drop_queued():
    attempts = Attempts(FakeClock())
    attempts.register("k", 1.0)
    assert attempts.fence("k", drop_queued=False) is AttemptState.QUEUED
    assert attempts.fence("k", drop_queued=True) is AttemptState.FENCED
    with pytest.raises(RequestError):
        attempts.begin("k")


def test_an_attempt_that_has_begun_is_not_fenced_and_not_registered_again():
    now = FakeClock()
    attempts = Attempts(now)
    attempts.register("k", 2.0)
    attempts.begin("k")
    assert attempts.fence("k", drop_queued=True) is AttemptState.BEGUN
    with pytest.raises(RequestError) as caught:
        attempts.register("k", 1.0)
    assert caught.value.outcome == "unknown"
    now.now += RETENTION_S + 3
    attempts.register("other", 1.0)
    assert attempts.state("k") is AttemptState.UNSEEN


def test_a_long_attempt_is_retained_until_its_deadline():
    now = FakeClock()
    attempts = Attempts(now)
    attempts.register("long", 3600.0)
    attempts.begin("long")
    now.now += 3500
    attempts.register("other", 1.0)
    assert attempts.fence("long", drop_queued=True) is AttemptState.BEGUN


def test_fencing_proves_nothing_after_early_eviction():
    now = FakeClock()
    attempts = Attempts(now)
    for number in range(MAX_RETAINED + 1):
        attempts.register(f"k{number}", 2.0)
        attempts.begin(f"k{number}")
    assert attempts.fence("k0", drop_queued=True) is AttemptState.FORGOTTEN
    now.now += RETENTION_S + 3
    assert attempts.fence("k-new", drop_queued=True) is AttemptState.FENCED

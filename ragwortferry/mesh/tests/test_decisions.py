"""Simulations of admission control, load balancing and the retry budget."""

import heapq
import random

import pytest

from ragwortferry.exceptions import ErrorKind
from ragwortferry.mesh.admission.queue import AdmissionQueue, Job
from ragwortferry.mesh.placement.balance import Balancer
from ragwortferry.mesh.placement.budget import RetryBudget
from ragwortferry.tests.mesh_builders import a_load, an_upstream
from ragwortferry.utils.sockets import Address


def _job(now: float, priority: int = 2, objective=0.5, deadline=1.0, route="r") -> Job:
    return Job(route, priority, now + objective, now + deadline)


def _simulate(
    rate: float, seconds: float, seed: int, service_s: float = 0.1, slots: int = 4
):
    """Send Poisson arrivals to one upstream; return jobs, end times and refusals."""
    rng = random.Random(seed)
    refused: dict[Job, str] = {}
    admission = AdmissionQueue(
        slots, lambda job, refusal: refused.__setitem__(job, refusal.kind)
    )
    jobs, ends, running = [], {}, []
    arrivals, now = [], 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        arrivals.append(now)

    def start_jobs(now):
        while (job := admission.start_next(now)) is not None:
            duration_s = rng.uniform(0.5, 1.5) * service_s
            heapq.heappush(running, (now + duration_s, len(ends) + len(running), job))

    for at in arrivals:
        while running and running[0][0] <= at:
            end, _, job = heapq.heappop(running)
            admission.finish(job, end, True)
            ends[job] = end
            start_jobs(end)
        job = _job(at, priority=1 if rng.random() < 0.25 else 2)
        jobs.append(job)
        refusal = admission.admit(job, at)
        if refusal:
            refused[job] = refusal.kind
        start_jobs(at)
    return jobs, ends, refused


def _finish_ended(admission, running, now) -> None:
    """Free the slots of the jobs that have ended by now."""
    while running and running[0][0] <= now:
        end, _, done = heapq.heappop(running)
        admission.finish(done, end, True)


def test_light_load_is_served_without_a_refusal():
    jobs, ends, refused = _simulate(rate=20, seconds=30, seed=1)
    assert not refused
    assert all(ends[job] <= job.objective_at for job in jobs if job in ends)


@pytest.mark.parametrize("seed", range(5))
def test_overloaded_upstream_stays_busy_and_responds_before_deadlines(seed):
    jobs, ends, refused = _simulate(rate=80, seconds=30, seed=seed)
    in_time = [job for job in ends if ends[job] <= job.deadline_at]
    # 4 slots with a service time of 0.1 s finish 40 jobs/s, half of the arrivals.
    assert len(in_time) >= 0.9 * 40 * 30
    assert len(in_time) >= 0.97 * len(ends)


@pytest.mark.parametrize("seed", range(5))
def test_overload_prefers_higher_priority(seed):
    jobs, ends, _ = _simulate(rate=80, seconds=30, seed=seed)

    def share(priority):
        mine = [job for job in jobs if job.priority == priority]
        return sum(job in ends for job in mine) / len(mine)

    assert share(1) > 0.95 > share(2)


def test_request_with_too_short_deadline_is_refused_immediately():
    admission = AdmissionQueue(2, lambda job, refusal: None)
    refusal = admission.admit(_job(0.0, deadline=0.01), 0.0)
    assert refusal.kind is ErrorKind.OVERLOADED


@pytest.mark.parametrize("seed", range(5))
def test_overload_serves_requests_that_meet_their_objective(seed):
    jobs, ends, refused = _simulate(rate=80, seconds=30, seed=seed)
    on_time = [job for job in ends if ends[job] <= job.objective_at]
    assert len(on_time) >= 0.85 * 40 * 30
    assert len(on_time) >= 0.95 * len(ends)


@pytest.mark.parametrize("seed", range(5))
def test_refusals_under_overload_are_immediate(seed):
    rng = random.Random(seed)
    wait_times = []

    def refuse(job, refusal):
        wait_times.append(clock - (job.objective_at - 0.5))

    clock = 0.0
    admission, running = AdmissionQueue(4, refuse), []
    for _ in range(4000):
        clock += rng.expovariate(80)
        _finish_ended(admission, running, clock)
        if admission.admit(_job(clock), clock) is not None:
            wait_times.append(0.0)
        admission.expire(clock)
        while (job := admission.start_next(clock)) is not None:
            entry = (clock + rng.uniform(0.05, 0.15), id(job), job)
            heapq.heappush(running, entry)
    # An eighth of the latency objective.
    at_once = sum(wait <= 0.0625 for wait in wait_times)
    assert at_once >= 0.9 * len(wait_times) > 0


def test_overload_of_high_priority_does_not_starve_lower_priority():
    """Check that lower priorities keep a share of the slots under overload.

    Priority 1 alone needs 1.5 times the slots, priority 2 needs a fifth of them.
    """
    rng = random.Random(2)
    admission, running, now = AdmissionQueue(18, lambda job, refusal: None), [], 0.0
    served = {1: 0.0, 2: 0.0}
    requested = {1: 0, 2: 0}
    for _ in range(40_000):
        now += rng.expovariate(675 + 28)
        _finish_ended(admission, running, now)
        admission.expire(now)
        priority = 1 if rng.random() < 675 / 703 else 2
        service_s = 0.04 if priority == 1 else 0.13
        requested[priority] += service_s
        objective = 0.15 if priority == 1 else 0.4
        job = _job(now, priority, objective, 3 * objective, f"r{priority}")
        admission.admit(job, now)
        while (job := admission.start_next(now)) is not None:
            service_s = 0.04 if job.priority == 1 else 0.13
            served[job.priority] += service_s
            heapq.heappush(running, (now + service_s, id(job), job))
    assert served[2] >= 0.8 * requested[2]
    assert served[1] >= 0.7 * 18 * now


def test_late_request_runs_when_queue_is_empty():
    admission = AdmissionQueue(1, lambda job, refusal: None)
    late = _job(0.0, objective=-0.2, deadline=1.0)
    assert admission.admit(late, 0.0) is None
    assert admission.start_next(0.0) is late


def test_request_that_becomes_late_in_queue_is_refused_under_overload():
    refused = []
    admission = AdmissionQueue(1, lambda job, refusal: refused.append(clock))
    clock, running = 0.0, None
    late = None
    for step in range(100):
        clock = step * 0.02
        if running is not None and clock - running.started_at >= 0.1:
            admission.finish(running, clock, True)
            running = None
        if step == 10:
            late = _job(clock, objective=0.05, deadline=2.0)
            assert admission.admit(late, clock) is None
        if step % 4 == 0:
            admission.admit(_job(clock, objective=1.0, deadline=2.0), clock)
        admission.expire(clock)
        if running is None:
            running = admission.start_next(clock)
    assert refused and refused[0] - 0.2 <= 0.6


def test_on_time_requests_run_before_late_ones():
    admission = AdmissionQueue(1, lambda job, refusal: None)
    first, late, fresh = _job(0.0), _job(0.0, objective=0.05, deadline=2.0), _job(0.0)
    for job in (first, late, fresh):
        admission.admit(job, 0.0)
    assert admission.start_next(0.0) is first
    admission.finish(first, 0.1, True)
    assert admission.start_next(0.1) is fresh


def test_slow_upstream_gets_only_probes():
    admission, running, accepted = AdmissionQueue(4, lambda job, refusal: None), [], []
    now = 0.0
    for step in range(1000):
        now = step * 0.02
        while running and running[0].started_at + 0.99 <= now:
            # The upstream takes two seconds, so its requests time out.
            admission.finish(running.pop(0), now, False, timed_out=True)
        job = _job(now)
        job.idempotent = True
        if admission.admit(job, now) is None:
            accepted.append(now)
        while (started := admission.start_next(now)) is not None:
            running.append(started)
    assert len([at for at in accepted if at > 5.0]) <= (now - 5.0) / 0.25 + 1


def test_probe_detects_recovered_upstream():
    admission = AdmissionQueue(4, lambda job, refusal: None)
    for step in range(60):
        job = _job(step * 1.0)
        job.idempotent = True
        if admission.admit(job, step * 1.0) is None:
            admission.start_next(step * 1.0)
            slow = step < 20
            service_s = 1.0 if slow else 0.1
            admission.finish(job, step * 1.0 + service_s, not slow, timed_out=slow)
    assert admission.admit(_job(70.0), 70.0) is None


def test_non_idempotent_request_is_not_used_as_probe():
    admission = AdmissionQueue(4, lambda job, refusal: None)
    for step in range(30):
        job = _job(step * 1.0)
        job.idempotent = True
        if admission.admit(job, step * 1.0) is None:
            admission.start_next(step * 1.0)
            admission.finish(job, step * 1.0 + 1.0, False, timed_out=True)
    assert admission.admit(_job(40.0), 40.0) is not None


@pytest.mark.parametrize("deadline", [0.8, 2.0])
def test_unsafe_requests_return_to_an_upstream_that_has_recovered(deadline):
    admission, running, served = AdmissionQueue(16, lambda job, refusal: None), [], []
    for step in range(2000):
        now = step * 0.02
        service_s = 4.0 if now < 15.0 else 0.1
        for job in running.copy():
            timed_out = now >= job.deadline_at
            if timed_out or now - job.started_at >= service_s:
                running.remove(job)
                admission.finish(job, now, not timed_out, timed_out=timed_out)
        admission.expire(now)
        for route, idempotent in (("pay", False), ("read", True)):
            job = _job(now, deadline=deadline, route=route)
            job.idempotent = idempotent
            admission.admit(job, now)
        while (job := admission.start_next(now)) is not None:
            running.append(job)
            if job.route == "pay":
                served.append(now)
    assert sum(at >= 25.0 for at in served) >= 100


def test_queueing_delays_differ_by_priority():
    admission = AdmissionQueue(1, lambda job, refusal: None)
    for number in range(6):
        admission.admit(
            _job(0.0, priority=1 + number % 2, objective=5, deadline=9), 0.0
        )
    admission.start_next(0.0)
    admission.finish(admission._running.copy().pop(), 0.1, True)
    admission.start_next(0.1)
    admission._record_start(2)
    delays = admission.queueing_delays(0.1)
    assert 0 < delays[1] < delays[2]


def test_refusal_has_retry_after():
    admission = AdmissionQueue(1, lambda job, refusal: None)
    for _ in range(40):
        admission.admit(_job(0.0), 0.0)
        admission.start_next(0.0)
    refusal = admission.admit(_job(0.0), 0.0)
    assert 0 < refusal.retry_after_s <= 2.0


def test_queued_job_is_refused_once_it_cannot_meet_its_deadline():
    refused = []
    admission = AdmissionQueue(
        1, lambda job, refusal: refused.append((job, refusal.kind))
    )
    first, second = _job(0.0), _job(0.0, deadline=0.4, objective=0.4)
    assert admission.admit(first, 0.0) is None
    assert admission.start_next(0.0) is first
    assert admission.admit(second, 0.0) is None
    admission.expire(0.3)
    assert not refused
    admission.expire(0.36)
    assert refused == [(second, ErrorKind.EXPIRED)]


def test_cancelled_job_leaves_the_queue():
    admission = AdmissionQueue(1, lambda job, refusal: None)
    jobs = [_job(0.0), _job(0.0)]
    for job in jobs:
        admission.admit(job, 0.0)
    assert admission.start_next(0.0) is jobs[0]
    assert admission.cancel(jobs[1]) and not admission.cancel(jobs[0])
    assert admission.queued == 0


def test_retry_budgets_of_all_nodes_stay_within_fleet_budget():
    budgets = [RetryBudget(0.2, 64, 10.0, lambda: 13) for _ in range(13)]
    taken = 0
    for step in range(100):
        for budget in budgets:
            budget.record_request("r", step / 10)
            taken += sum(budget.try_take("r", step / 10) for _ in range(5))
    # Each retry may repeat a call of the upstream: a retry at the called service.
    assert 2 * taken <= 0.2 * 1300 + 64
    assert taken >= 0.4 * (0.2 * 1300 + 64)


def test_retry_budget_is_restored_after_the_window():
    budget = RetryBudget(0.0, 8, 10.0, lambda: 1)
    assert [budget.try_take("r", 0.0) for _ in range(4)] == [True, True, True, False]
    assert not budget.try_take("r", 5.0)
    assert budget.try_take("r", 11.0)


def test_retries_caused_by_retries_stay_within_budget_of_called_service():
    """Check the budget if a retry of a request also repeats the calls that it makes.

    Views of the portfolio service make two calls to the delivery service each and fail;
    approvals of the portfolio service make none.
    """
    portfolio = RetryBudget(0.2, 64, 10.0, lambda: 1)
    delivery = RetryBudget(0.2, 64, 10.0, lambda: 1)
    retries = 0
    for step in range(5000):
        now = step / 500
        portfolio.record_request("view", now)
        if step % 5 < 3:
            portfolio.record_request("approve", now)
        for _ in range(2):
            delivery.record_request("check", now)
            retries += delivery.try_take("check", now)
        if portfolio.try_take("view", now):
            retries += 2
    assert retries <= 0.2 * 10_000 + 64


def _simulate_limit(rates, limit: float, seconds: float = 60.0, seed: int = 1):
    """Send Poisson arrivals by priority to an upstream that names a limit.

    :return: starting times, requested and served jobs by priority, and the times that
        refused jobs waited.
    """
    rng = random.Random(seed)
    waits, starts = [], []
    served, requested = dict.fromkeys(rates, 0), dict.fromkeys(rates, 0)
    now = 0.0
    admission = AdmissionQueue(
        18, lambda job, refusal: waits.append(now - (job.objective_at - 0.5))
    )
    admission.limit_rate(limit, now)
    running = []
    while now < seconds:
        now += min(0.02, rng.expovariate(sum(rates.values())))
        _finish_ended(admission, running, now)
        admission.expire(now)
        if rng.random() < 0.9:
            priority = rng.choices(list(rates), list(rates.values()))[0]
            requested[priority] += 1
            job = _job(now, priority)
            job.idempotent = True
            if admission.admit(job, now) is not None:
                waits.append(0.0)
        while (job := admission.start_next(now)) is not None:
            starts.append(now)
            served[job.priority] += 1
            end = now + rng.uniform(0.05, 0.15)
            heapq.heappush(running, (end, len(starts), job))
    return starts, requested, served, waits


def _most_in_window(times: list[float], window_s: float) -> int:
    return max(sum(at <= other < at + window_s for other in times) for at in times)


@pytest.mark.parametrize("limit", [0.5, 1, 4.6, 20])
def test_limited_upstream_uses_its_limit_and_refuses_the_rest_at_once(limit):
    starts, _, _, waits = _simulate_limit({1: 20, 2: 60}, limit)
    assert _most_in_window(starts, 4.0) <= 1.5 * 4 * limit + 5
    assert len(starts) >= 0.9 * limit * 60
    # An eighth of the latency objective.
    assert sum(wait <= 0.0625 for wait in waits) >= 0.9 * len(waits) > 0


@pytest.mark.parametrize(
    "rates, limit",
    [({1: 5, 2: 60}, 10), ({1: 30, 2: 30}, 10), ({1: 10, 2: 60}, 16)],
)
def test_limited_upstream_prefers_higher_priority_and_starves_none(rates, limit):
    starts, requested, served, _ = _simulate_limit(rates, limit)
    assert served[1] >= min(0.85 * requested[1], 0.7 * len(starts))
    # Less than a quarter of the share of all requests would be starvation.
    share = len(starts) / sum(requested.values())
    assert served[2] >= 0.25 * share * requested[2]


def test_upstream_without_a_limit_starts_jobs_at_once():
    admission = AdmissionQueue(4, lambda job, refusal: None)
    admission.limit_rate(1.0, 0.0)
    assert admission.admit(_job(0.9), 0.9) is None
    assert admission.start_next(0.9) is None and admission.held == 1
    admission.limit_rate(None, 0.91)
    assert admission.start_next(0.91) is not None


def test_idempotent_requests_find_out_whether_an_upstream_still_accepts_none():
    admission = AdmissionQueue(4, lambda job, refusal: None)
    admission.limit_rate(0.0, 0.0)
    job = _job(2.0)
    assert admission.admit(job, 2.0) is not None
    job.idempotent = True
    assert admission.admit(job, 2.0) is None
    assert admission.start_next(2.0) is job
    assert admission.admit(_job(8.0), 8.0) is not None
    assert admission.admit(_job(12.1), 12.1) is None


def test_request_that_was_not_sent_does_not_count_against_the_limit():
    admission = AdmissionQueue(4, lambda job, refusal: None)
    admission.limit_rate(1.0, 0.0)
    first, second = _job(1.0), _job(1.0)
    admission.admit(first, 1.0)
    assert admission.start_next(1.0) is first
    admission.finish(first, 1.01, False, sent=False)
    admission.admit(second, 1.01)
    assert admission.start_next(1.01) is second


def _balancer() -> Balancer:
    return Balancer("a", "10.0.0.1", 1000.0, random.Random(3))


def test_own_zone_is_preferred():
    balancer = _balancer()
    near, far = an_upstream("near"), an_upstream("far", zone="b")
    picks = {balancer.pick([near, far], (), 0.5, 0.0).id for _ in range(50)}
    assert picks == {"near"}


def test_other_zone_is_picked_when_own_zone_has_a_queue():
    balancer = _balancer()
    near, far = an_upstream("near"), an_upstream("far", zone="b")
    balancer.record_report(near, a_load(running=4, queued=4), 0.0)
    balancer.record_report(far, a_load(), 0.0)
    assert balancer.pick([near, far], (), 0.5, 0.1).id == "far"


def test_burst_between_reports_is_spread_over_upstreams():
    balancer = _balancer()
    upstreams = [an_upstream(f"i-{n}") for n in range(5)]
    for item in upstreams:
        balancer.record_report(item, a_load(), 0.0)
    counts = dict.fromkeys((item.id for item in upstreams), 0)
    for _ in range(20):
        item = balancer.pick(upstreams, (), 0.5, 0.01)
        balancer.record_start(item, 0.01)
        counts[item.id] += 1
    assert max(counts.values()) <= 5


@pytest.mark.parametrize("first_ms", [0.0, 60.0, 300.0])
def test_upstream_whose_first_requests_were_slow_gets_its_share(first_ms):
    """Without a sample, an owner reports the initial estimate."""
    balancer = _balancer()
    late, *others = upstreams = [an_upstream(f"i-{n}") for n in range(4)]
    queue = AdmissionQueue(4, lambda job, refusal: None)

    def run(seconds: float) -> None:
        queue.admit(_job(0.0, objective=9, deadline=9), 0.0)
        queue.finish(queue.start_next(0.0), seconds, True)

    if first_ms:
        run(first_ms / 1000)
    picked = 0
    for number in range(400):
        for item in others:
            balancer.record_report(item, a_load(service_ms=12.0), 0.0)
        load = a_load(service_ms=queue.service_s * 1000, samples=queue.service_samples)
        balancer.record_report(late, load, 0.0)
        if balancer.pick(upstreams, (), 0.5, 0.0) is late:
            run(0.012)
            picked += number >= 200
    assert picked >= 0.5 * 200 / len(upstreams)


def test_upstream_that_is_slow_in_many_requests_is_avoided():
    balancer = _balancer()
    slow, fast = an_upstream("slow"), an_upstream("fast")
    balancer.record_report(slow, a_load(service_ms=48.0), 0.0)
    balancer.record_report(fast, a_load(service_ms=12.0), 0.0)
    picks = {balancer.pick([slow, fast], (), 0.5, 0.0).id for _ in range(50)}
    assert picks == {"fast"}


def test_large_response_is_requested_from_own_instance_on_slow_network():
    balancer = Balancer("a", "10.0.0.1", 6.0, random.Random(3))
    here = an_upstream("here", address=Address("10.0.0.1", 8147))
    there = an_upstream("there", address=Address("10.0.0.2", 8147))
    balancer.record_report(here, a_load(link_mbps=6.0, service_ms=150.0), 0.0)
    balancer.record_report(there, a_load(link_mbps=6.0), 0.0)
    assert balancer.pick([here, there], (), 1.0, 0.1, 90_000).id == "here"
    assert balancer.pick([here, there], (), 1.0, 0.1, 1_000).id == "there"


def test_large_response_avoids_instance_with_long_send_queue():
    balancer = Balancer("a", "10.0.0.9", 6.0, random.Random(3))
    full, free = an_upstream("full"), an_upstream("free")
    balancer.record_report(full, a_load(link_mbps=6.0, send_ms=400.0), 0.0)
    balancer.record_report(free, a_load(link_mbps=6.0, running=2), 0.0)
    assert balancer.pick([full, free], (), 1.0, 0.1, 90_000).id == "free"


def test_failing_upstream_is_avoided_until_failures_decay():
    balancer = _balancer()
    bad, good = an_upstream("bad"), an_upstream("good")
    for _ in range(3):
        balancer.record_failure(bad, 0.0)
    assert {balancer.pick([bad, good], (), 0.5, 0.1).id for _ in range(20)} == {"good"}
    assert {balancer.pick([bad, good], (), 0.5, 9.0).id for _ in range(50)} == {
        "bad",
        "good",
    }


def test_upstream_with_reported_failures_is_avoided():
    balancer = _balancer()
    bad, good = an_upstream("bad"), an_upstream("good", zone="b")
    balancer.record_report(bad, a_load(failing=0.4), 0.0)
    balancer.record_report(good, a_load(), 0.0)
    assert {balancer.pick([bad, good], (), 0.5, 0.1).id for _ in range(20)} == {"good"}


def test_large_responses_stay_in_own_zone_under_more_load_than_small_ones():
    balancer = _balancer()
    near, far = an_upstream("near"), an_upstream("far", zone="b")
    balancer.record_report(near, a_load(running=4, queued=2), 0.0)
    balancer.record_report(far, a_load(), 0.0)
    assert balancer.pick([near, far], (), 0.5, 0.1, 1_500).id == "far"
    assert balancer.pick([near, far], (), 0.5, 0.1, 90_000).id == "near"
    balancer.record_report(near, a_load(running=4, queued=30), 0.2)
    assert balancer.pick([near, far], (), 0.5, 0.3, 90_000).id == "far"


def test_reported_delay_of_same_priority_is_used():
    balancer = _balancer()
    one, two = an_upstream("one"), an_upstream("two")
    balancer.record_report(
        one, a_load(running=4, queued=1, waits_ms={1: 0.0, 2: 400.0}), 0.0
    )
    balancer.record_report(
        two, a_load(running=4, queued=3, waits_ms={1: 60.0, 2: 90.0}), 0.0
    )
    assert balancer.pick([one, two], (), 0.5, 0.1, priority=1).id == "one"
    assert balancer.pick([one, two], (), 0.5, 0.1, priority=2).id == "two"


def test_ejected_upstream_is_picked_when_all_are_ejected():
    balancer = _balancer()
    upstreams = [an_upstream("i-1"), an_upstream("i-2")]
    for item in upstreams:
        balancer.record_failure(item, 0.0, ejection_s=1.0)
    assert balancer.pick(upstreams, (), 0.5, 0.1) is not None


def test_cold_upstream_is_picked_while_others_are_loaded():
    balancer = _balancer()
    old, new = an_upstream("old"), an_upstream("new", cold_s=3.0)
    balancer.record_report(old, a_load(running=4, queued=2), 0.0)
    assert balancer.pick([old, new], (), 0.5, 0.1).id == "new"

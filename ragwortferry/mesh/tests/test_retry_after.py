"""Order and fairness of refused callers that return, played without a network."""

import heapq
import itertools
import random
from collections import Counter, defaultdict

import pytest

from ragwortferry.mesh.admission.queue import AdmissionQueue, Job
from ragwortferry.mesh.admission.retry_after import (
    MAX_SCHEDULED,
    MAX_WAIT_S,
    CallerKey,
    RetryScheduler,
    Standing,
)

SLOTS, SERVICE_S, OBJECTIVE_S, DEADLINE_S = 6, 0.2, 1.0, 3.0
CAPACITY_PER_S = SLOTS / SERVICE_S
END_S = 40.0


class _Desk:
    """One node and its upstream; callers that return as told, or at once and often.

    :param impatient: fraction of the callers that repeat at once, up to four times.
    """

    def __init__(self, impatient: float, seed: int):
        self.rng = random.Random(seed)
        self.scheduler = RetryScheduler(random.Random(seed + 1))
        self.queue = AdmissionQueue(SLOTS, self._refuse)
        self.impatient = impatient
        self.now, self._events, self._sequence = 0.0, [], itertools.count()
        # Results by kind of caller, and the times until refusals.
        self.ended = defaultdict(Counter)
        self.refused_after = []

    def at(self, when, call, *args):
        heapq.heappush(self._events, (when, next(self._sequence), call, args))

    def run(self, load: float) -> None:
        at, number = 0.0, 0
        while (at := at + self.rng.expovariate(load * CAPACITY_PER_S)) < END_S:
            number += 1
            kind = "hasty" if self.rng.random() < self.impatient else "patient"
            tries = 4 if kind == "hasty" else 1
            caller = CallerKey(number, at + DEADLINE_S)
            self.at(at, self._arrive, caller, kind, at, tries)
        self.at(0.0, self._tick)
        while self._events and self._events[0][0] < END_S + DEADLINE_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def _tick(self):
        self.queue.expire(self.now)
        self._start()
        self.at(self.now + 0.02, self._tick)

    def _arrive(self, caller, kind, began, tries):
        standing = self.scheduler.standing(caller, self.now)
        payload = (caller, kind, began, tries, self.now)
        objective, deadline = began + OBJECTIVE_S, began + DEADLINE_S
        job = Job("r", 2, objective, deadline, payload, standing=standing)
        refusal = self.queue.admit(job, self.now)
        if refusal is not None:
            self._refuse(job, refusal)
        self._start()

    def _refuse(self, job, refusal):
        caller, kind, began, tries, arrived = job.payload
        self.refused_after.append(self.now - arrived)
        wait_s = refusal.retry_after_s
        wait_s = self.scheduler.schedule(caller, "desk", wait_s, self.now, loaded=True)
        if not tries:
            self.ended[kind]["refused"] += 1
            return
        pause_s = 0.01 if kind == "hasty" else wait_s
        self.at(self.now + pause_s, self._arrive, caller, kind, began, tries - 1)

    def _start(self):
        while (job := self.queue.start_next(self.now)) is not None:
            service_s = SERVICE_S * self.rng.lognormvariate(-0.045, 0.3)
            self.at(self.now + service_s, self._finish, job)

    def _finish(self, job):
        self.queue.finish(job, self.now, True)
        _, kind, began, *_ = job.payload
        late = self.now - began > OBJECTIVE_S
        self.ended[kind]["late" if late else "served"] += 1
        self.scheduler.record_served("desk", self.now)
        self._start()

    def served(self, kind: str) -> float:
        results = self.ended[kind]
        return (results["served"] + results["late"]) / results.total()


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("load", [1.1, 1.5])
def test_callers_that_repeat_at_once_take_nothing_from_those_who_wait(load, seed):
    """Guards against room that goes to whoever asks most often."""
    desk = _Desk(0.3, seed)
    desk.run(load)
    assert desk.served("patient") >= desk.served("hasty")
    # As many as the capacity allows are served, however they return.
    everyone = sum(desk.ended.values(), Counter())
    served = everyone["served"] + everyone["late"]
    assert served >= 0.9 * CAPACITY_PER_S * END_S
    # An eighth of the latency objective, for nine of ten refusals.
    refused_after = sorted(desk.refused_after)
    assert refused_after[int(0.9 * len(refused_after))] <= OBJECTIVE_S / 8


@pytest.mark.parametrize("seed", [1, 2])
def test_callers_who_return_as_told_are_served_more_often_than_at_their_first_try(seed):
    desk = _Desk(0.0, seed)
    desk.run(1.3)
    first = desk.ended["patient"].total()
    refused_first = len(desk.refused_after) - desk.ended["patient"]["refused"]
    refused_again = desk.ended["patient"]["refused"]
    # At most three quarters as likely to be refused as at the first try.
    assert refused_again / refused_first <= 0.75 * refused_first / first


def test_refused_callers_are_told_times_in_the_order_in_which_they_came():
    scheduler = RetryScheduler(random.Random(3))
    for number in range(50):
        scheduler.record_served("desk", 0.02 * number)
    times = [
        scheduler.schedule(CallerKey(n, 11.0), "desk", 0.1, 1.0 + n / 1000, True)
        for n in range(30)
    ]
    returns = [1.0 + n / 1000 + wait for n, wait in enumerate(times)]
    assert returns == sorted(returns)
    assert returns[-1] - returns[0] >= 29 * 0.015
    assert all(wait <= MAX_WAIT_S for wait in times)


def test_retry_after_never_exceeds_what_the_caller_honours():
    """Guards against a Retry-After that a caller ignores, and comes at once."""
    scheduler = RetryScheduler(random.Random(4))
    for number in range(200):
        wait_s = scheduler.schedule(CallerKey(number, 1.0), "desk", 5.0, 0.0, True)
        assert wait_s <= 1.0 / 3


def test_caller_that_comes_too_early_keeps_its_place():
    scheduler, caller = RetryScheduler(random.Random(5)), CallerKey(1, 3.0)
    wait_s = scheduler.schedule(caller, "desk", 0.5, 0.0, True)
    again_s = scheduler.schedule(caller, "desk", 0.5, 0.1, True)
    assert again_s == pytest.approx(wait_s - 0.1)


def test_refusal_for_another_reason_than_load_punishes_no_early_return():
    scheduler, caller = RetryScheduler(random.Random(6)), CallerKey(1, 3.0)
    scheduler.schedule(caller, "desk", 0.5, 0.0, loaded=False)
    assert scheduler.standing(caller, 0.01) is Standing.NEW


def test_others_that_send_the_same_request_are_new():
    """Guards against clients of a popular target that count as one caller."""
    scheduler = RetryScheduler(random.Random(7))
    scheduler.schedule(CallerKey(1, 3.0), "desk", 0.5, 0.0, True)
    assert scheduler.standing(CallerKey(1, 3.2), 0.2) is Standing.NEW


def test_scheduled_returns_are_bounded():
    scheduler = RetryScheduler(random.Random(8))
    for number in range(2 * MAX_SCHEDULED):
        scheduler.schedule(CallerKey(number, 3.0), "desk", 0.1, 0.0, True)
    assert len(scheduler._scheduled) == MAX_SCHEDULED

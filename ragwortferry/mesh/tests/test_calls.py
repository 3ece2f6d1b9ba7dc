"""Calls of upstreams: how their routes are recognized, and what they may wait for."""

import random

import pytest

from ragwortferry.mesh.admission.calls import (
    MAX_ROUTES,
    CallRoutes,
    call_objective,
)
from ragwortferry.mesh.admission.queue import AdmissionQueue, Job
from ragwortferry.mesh.admission.retry_after import Standing

CALL_S, CALL_OBJECTIVE_S, CALL_DEADLINE_S = 0.031, 0.128, 0.426
OWN_S, OWN_OBJECTIVE_S, OWN_DEADLINE_S = 0.087, 0.319, 1.276


@pytest.mark.parametrize("busy", [0.3, 0.6, 0.9])
def test_routes_of_calls_are_recognized_within_seconds(busy):
    rng, routes = random.Random(3), CallRoutes()
    for _ in range(60 if busy < 0.8 else 200):
        running = int(rng.random() < busy)
        routes.record("clients", running)
        routes.record("calls", 1)
    assert routes.names == ["calls"]


def test_nothing_is_concluded_while_the_upstream_is_always_at_work():
    """Guards against clients' requests that count as calls under overload."""
    routes = CallRoutes()
    for _ in range(1000):
        routes.record("clients", 3)
        routes.record("others", 2)
    assert routes.names == []


def test_route_that_clients_use_too_is_none_of_calls():
    rng, routes = random.Random(4), CallRoutes()
    for number in range(500):
        routes.record("clients", int(rng.random() < 0.5))
        routes.record("both", 1 if number % 2 else int(rng.random() < 0.5))
    assert routes.names == []


def test_routes_without_end_are_bounded_and_cost_the_same_each():
    """Guards against a request that costs more with each route of the configuration."""
    routes = CallRoutes()
    for number in range(3 * MAX_ROUTES):
        routes.record(f"r-{number}", number % 2)
    assert len(routes._routes) == MAX_ROUTES
    total = sum(item.total for item in routes._routes.values())
    assert routes._all.total == pytest.approx(total)


def test_route_becomes_a_clients_route_after_a_change_of_the_configuration():
    rng, routes = random.Random(5), CallRoutes()
    for _ in range(300):
        routes.record("clients", int(rng.random() < 0.5))
        routes.record("route", 1)
    assert routes.includes("route")
    for _ in range(300):
        routes.record("clients", int(rng.random() < 0.5))
        routes.record("route", int(rng.random() < 0.5))
    assert not routes.includes("route")


def _play(recognized: bool, seed: int) -> tuple[float, float]:
    """Play a service that is asked for 1.3 times its capacity, a fifth of it by calls.

    :return: served fractions of the calls and of the service's own requests.
    """
    rng, slots = random.Random(seed), 3
    ended = {"call": [0, 0], "own": [0, 0]}

    def refuse(job, refusal=None):
        ended[job.route][1] += 1

    queue, running, now = AdmissionQueue(slots, refuse), [], 0.0
    mean_s = 0.4 * CALL_S + 0.6 * OWN_S
    while now < 60:
        now += rng.expovariate(1.3 * slots / mean_s)
        while running and running[0][0] <= now:
            at, _, job = running.pop(0)
            queue.finish(job, at, measured=True)
            ended[job.route][0] += 1
            _start(queue, running, rng, at)
        queue.expire(now)
        if rng.random() < 0.4:
            objective, deadline = now + CALL_OBJECTIVE_S, now + CALL_DEADLINE_S
            if recognized:
                objective = call_objective(objective, deadline, now)
            standing = Standing.CALL if recognized else Standing.NEW
            job = Job("call", 1, objective, deadline, standing=standing)
        else:
            job = Job("own", 1, now + OWN_OBJECTIVE_S, now + OWN_DEADLINE_S)
        if queue.admit(job, now) is not None:
            refuse(job)
        _start(queue, running, rng, now)
    return tuple(done / (done + lost) for done, lost in ended.values())


def _start(queue, running, rng, now):
    while (job := queue.start_next(now)) is not None:
        mean_s = CALL_S if job.route == "call" else OWN_S
        running.append((now + mean_s * rng.lognormvariate(-0.1, 0.4), id(job), job))
        running.sort()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_are_served_where_new_requests_can_be_refused(seed):
    """Guards against finished work of a request that a refused call throws away."""
    before, own_before = _play(False, seed)
    calls, own = _play(True, seed)
    assert calls >= 0.95 and calls > before
    assert own >= own_before - 0.1

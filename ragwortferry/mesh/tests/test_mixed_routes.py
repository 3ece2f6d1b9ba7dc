"""Placement of routes with very different service times, played without a network."""

from collections import Counter, defaultdict
from dataclasses import dataclass

import pytest

from ragwortferry.mesh.admission.queue import Job
from ragwortferry.mesh.tests.test_placement import DELAY_S, Simulation

UPSTREAMS, ENTRIES, SLOTS = 12, 24, 6
SPEEDS = (0.5, 1.0, 1.0, 1.5)
END_S = 20.0


@dataclass(frozen=True)
class Route:
    """A route of the load: times in seconds, and its share of the requests."""

    name: str
    service_s: float
    objective_s: float
    deadline_s: float
    priority: int
    share: float


ROUTES = (
    Route("orders", 0.28, 1.3, 5.0, 1, 0.4),
    Route("checks", 0.064, 0.36, 1.15, 2, 0.6),
)


class MixedSimulation(Simulation):
    """Upstreams of unequal speed that run long and short requests."""

    def __init__(self, seed=1):
        super().__init__([None] * UPSTREAMS, ENTRIES, SLOTS, seed=seed)
        self.speeds = [SPEEDS[n % len(SPEEDS)] for n in range(UPSTREAMS)]
        # Results by route, and the time that each request waited for a slot.
        self.ended = defaultdict(Counter)
        self.waits = defaultdict(list)

    @property
    def capacity_per_s(self):
        mean_s = sum(route.share * route.service_s for route in ROUTES)
        return SLOTS * sum(self.speeds) / mean_s

    def _request(self, entry, began, tried):
        weights = [route.share for route in ROUTES]
        self._place(entry, began, tried, self._rng.choices(ROUTES, weights)[0])

    def _place(self, entry, began, tried, route):
        upstream = None
        if len(tried) < 4:
            upstream = entry.pick(
                self.upstreams,
                tried,
                route.objective_s,
                self.now,
                priority=route.priority,
                objective_left_s=began + route.objective_s - self.now,
                deadline_left_s=began + route.deadline_s - self.now,
                route=route.name,
            )
        if upstream is None:
            self.ended[route.name]["refused"] += 1
            return
        entry.record_start(upstream, self.now)
        number = self.upstreams.index(upstream)
        call = (entry, began, [*tried, upstream.id], number, route, self.now)
        self.at(self.now + DELAY_S, self._arrive, call)

    def _arrive(self, call):
        _, began, _, number, route, _ = call
        job = Job(
            route.name,
            route.priority,
            began + route.objective_s,
            began + route.deadline_s,
            call,
            idempotent=True,
        )
        if self.owners[number].admit(job, self.now) is None:
            self._start(number)
        else:
            self._on_refused(job, None)

    def _start(self, number):
        owner = self.owners[number]
        while (job := owner.start_next(self.now)) is not None:
            _, _, _, _, route, sent_at = job.payload
            self.arrivals[number].append(self.now)
            self.waits[route.name].append(self.now - sent_at)
            duration_s = self._rng.lognormvariate(-0.045, 0.3) * route.service_s
            duration_s /= self.speeds[number]
            self.at(self.now + duration_s, self._finish, number, job)

    def _finish(self, number, job):
        self.owners[number].finish(job, self.now, True)
        self._start(number)
        entry, began, _, _, route, _ = job.payload
        owner = self.owners[number]
        route_ms = owner.route_service_s(route.name) * 1000
        load = self.load(number, route_ms)
        self.at(self.now + DELAY_S, self._end_route, entry, number, load, route)
        late = self.now - began > route.objective_s
        self.ended[route.name]["late" if late else "served"] += 1

    def _end_route(self, entry, number, load, route):
        entry.record_end(self.upstreams[number], self.now)
        entry.record_report(self.upstreams[number], load, self.now, route.name)

    def _on_refused(self, job, refusal):
        entry, began, tried, number, route, _ = job.payload
        self.at(self.now + DELAY_S, self._retry, entry, began, tried, number, route)

    def _retry(self, entry, began, tried, number, route):
        self._end_route(entry, number, self.load(number), route)
        self._place(entry, began, tried, route)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("load", [0.4, 0.7, 0.85])
def test_slots_of_all_upstreams_are_used_before_requests_wait(load, seed):
    """Guards against upstreams that look slow since they get the long requests."""
    simulation = MixedSimulation(seed)
    simulation.run(load * simulation.capacity_per_s, END_S)
    for route in ROUTES:
        results = simulation.ended[route.name]
        assert results["served"] >= 0.97 * results.total()
        waits = sorted(simulation.waits[route.name])
        # A tenth of the latency objective for nine of ten requests.
        if load < 0.8:
            assert waits[int(0.9 * len(waits))] <= 0.1 * route.objective_s


def test_speeds_are_used_in_proportion():
    simulation = MixedSimulation()
    simulation.run(0.85 * simulation.capacity_per_s, END_S)
    counts = [len(times) for times in simulation.arrivals]
    mean = sum(counts) / len(counts)
    assert max(counts) <= 2.0 * mean and min(counts) >= 0.25 * mean

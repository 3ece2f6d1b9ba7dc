"""Simulations of many entries that place requests by reports of limited upstreams."""

import heapq
import itertools
import random
from collections import Counter

import pytest

from ragwortferry.mesh.admission.queue import AdmissionQueue, Job
from ragwortferry.mesh.links.frames import Advertisement
from ragwortferry.mesh.placement.balance import Balancer
from ragwortferry.tests.mesh_builders import a_load, an_upstream
from ragwortferry.utils.sockets import Address

DELAY_S = 0.002
PONG_INTERVAL_S = 1.0
OBJECTIVE_S, DEADLINE_S = 0.5, 2.0
MAX_ATTEMPTS = 4


class Simulation:
    """Entries and owners that exchange messages after a constant delay.

    :param limits: limit of each upstream, ``None`` for an upstream without one.
    """

    def __init__(self, limits, entries=13, slots=18, service_s=0.16, seed=1):
        self._rng = random.Random(seed)
        self._events, self._sequence = [], itertools.count()
        self._service_s = service_s
        self.now = 0.0
        self.limits = limits
        self.entries = [
            Balancer("abc"[n % 3], f"10.0.1.{n}", 1000.0, random.Random(seed + n))
            for n in range(entries)
        ]
        self.upstreams = [
            an_upstream(
                f"i-{n}",
                zone="abc"[n % 3],
                slots=slots,
                address=Address(f"10.0.0.{n}", 1),
            )
            for n in range(len(limits))
        ]
        self.owners = [AdmissionQueue(slots, self._on_refused) for _ in self.upstreams]
        self.arrivals = [[] for _ in limits]
        self.results = Counter()
        self.bounces = 0
        # Time until the final response of each refused request.
        self.refused_after = []
        for number, limit in enumerate(limits):
            if limit is not None:
                self.owners[number].limit_rate(limit, 0.0)

    def at(self, when, call, *args):
        heapq.heappush(self._events, (when, next(self._sequence), call, args))

    def load(self, number, route_ms=0.0):
        owner, limit = self.owners[number], self.limits[number]
        advertised = None
        if limit is not None:
            name = self.upstreams[number].id
            advertised = Advertisement(name, limit, 0, False, sharers=len(self.entries))
        delays = owner.queueing_delays(self.now)
        return a_load(
            running=owner.running,
            queued=owner.queued,
            slots=owner.slots,
            service_ms=owner.service_s * 1000,
            waits_ms={key: delay * 1000 for key, delay in delays.items()},
            advertised=advertised,
            samples=owner.service_samples,
            route_ms=route_ms,
        )

    def run(self, rate, seconds):
        for entry in self.entries:
            for upstream in self.candidates(entry):
                number = self.upstreams.index(upstream)
                start = self._rng.uniform(0, PONG_INTERVAL_S)
                self.at(start, self._pong, entry, number)
        self.at(0.0, self._tick)
        at = 0.0
        while (at := at + self._rng.expovariate(rate)) < seconds:
            self.at(at, self._request, self._rng.choice(self.entries), at, [])
        while self._events and self._events[0][0] < seconds + DEADLINE_S:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)

    def candidates(self, entry):
        """Return the upstreams that an entry chooses from."""
        return self.upstreams

    def _pong(self, entry, number):
        self._report(entry, number, self.load(number))
        self.at(self.now + PONG_INTERVAL_S, self._pong, entry, number)

    def _report(self, entry, number, load):
        entry.record_report(self.upstreams[number], load, self.now)

    def _tick(self):
        for number, owner in enumerate(self.owners):
            owner.expire(self.now)
            self._start(number)
        self.at(self.now + 0.02, self._tick)

    def _request(self, entry, began, tried):
        upstream = None
        if len(tried) < MAX_ATTEMPTS:
            upstream = entry.pick(
                self.candidates(entry),
                tried,
                OBJECTIVE_S,
                self.now,
                priority=2,
                objective_left_s=began + OBJECTIVE_S - self.now,
                deadline_left_s=began + DEADLINE_S - self.now,
            )
        if upstream is None:
            self.results["refused"] += 1
            self.refused_after.append(self.now - began)
            return
        entry.record_start(upstream, self.now)
        number = self.upstreams.index(upstream)
        call = (entry, began, [*tried, upstream.id], number)
        self.at(self.now + DELAY_S, self._arrive, call)

    def _arrive(self, call):
        _, began, _, number = call
        job = Job("r", 2, began + OBJECTIVE_S, began + DEADLINE_S, call)
        job.idempotent = True
        if self.owners[number].admit(job, self.now) is None:
            self._start(number)
        else:
            self._on_refused(job, None)

    def _start(self, number):
        owner = self.owners[number]
        while (job := owner.start_next(self.now)) is not None:
            self.arrivals[number].append(self.now)
            duration_s = self._rng.uniform(0.7, 1.3) * self._service_s
            self.at(self.now + duration_s, self._finish, number, job)

    def _finish(self, number, job):
        self.owners[number].finish(job, self.now, True)
        self._start(number)
        entry, began, *_ = job.payload
        self.at(self.now + DELAY_S, self._end, entry, number, self.load(number))
        self.results["late" if self.now - began > OBJECTIVE_S else "served"] += 1

    def _end(self, entry, number, load):
        entry.record_end(self.upstreams[number], self.now)
        self._report(entry, number, load)

    def _on_refused(self, job, refusal):
        entry, began, tried, number = job.payload
        self.bounces += 1
        self.at(self.now + DELAY_S, self._bounce, entry, began, tried, number)

    def _bounce(self, entry, began, tried, number):
        self._end(entry, number, self.load(number))
        self._request(entry, began, tried)


def _most_in_window(times, window_s=4.0):
    return max((sum(at <= x < at + window_s for x in times) for at in times), default=0)


@pytest.mark.parametrize("limit", [0, 1, 4.6, 22.5])
def test_requests_go_elsewhere_while_other_upstreams_have_room(limit):
    simulation = Simulation([limit, limit] + [None] * 8)
    simulation.run(rate=450, seconds=20)
    total = sum(simulation.results.values())
    assert simulation.results["refused"] == 0
    assert simulation.results["served"] >= 0.99 * total
    assert simulation.bounces <= 0.02 * total
    for arrivals in simulation.arrivals[:2]:
        assert _most_in_window(arrivals) <= 1.5 * 4 * limit + 5


@pytest.mark.parametrize("limit", [1, 4.6, 22.5])
def test_limits_are_used_while_other_upstreams_are_full(limit):
    simulation = Simulation([limit, limit, None, None])
    simulation.run(rate=450, seconds=20)
    for arrivals in simulation.arrivals[:2]:
        assert len(arrivals) >= 0.9 * limit * 20
    for arrivals in simulation.arrivals[2:]:
        assert len(arrivals) >= 0.9 * 18 / 0.16 * 20


@pytest.mark.parametrize("limits", [[4.6] * 4, [1, 2, 8, 16], [0.5] * 10])
def test_limits_of_all_upstreams_are_used_and_no_request_waits_in_vain(limits):
    simulation = Simulation(limits)
    simulation.run(rate=450, seconds=20)
    for limit, arrivals in zip(limits, simulation.arrivals, strict=True):
        assert len(arrivals) >= 0.9 * limit * 20 - 1
    waits = sorted(simulation.refused_after)
    # An eighth of the latency objective.
    assert waits[int(0.9 * len(waits))] <= OBJECTIVE_S / 8


@pytest.mark.parametrize("limit", [0, 1])
def test_requests_keep_finding_out_whether_a_low_limit_has_ended(limit):
    simulation = Simulation([limit] + [None] * 9)
    simulation.run(rate=450, seconds=40)
    gaps = itertools.pairwise([0.0, *simulation.arrivals[0], 40.0])
    assert max(after - before for before, after in gaps) <= 6.0


def test_share_returns_soon_after_a_limit_ends():
    simulation = Simulation([1.0] + [None] * 9)
    simulation.at(5.0, simulation.limits.__setitem__, 0, None)
    simulation.at(5.0, simulation.owners[0].limit_rate, None, 5.0)
    simulation.run(rate=450, seconds=10)
    assert sum(at >= 6.5 for at in simulation.arrivals[0]) >= 0.5 * 45 * 3.5

"""A simulated fleet whose nodes share evidence, under bad and good requests."""

import heapq
import itertools
import random
from dataclasses import dataclass

import pytest

from ragwortferry.mesh.fingerprint import RequestKind, request_kind
from ragwortferry.mesh.links.frames import CrashReport, Evidence
from ragwortferry.mesh.quarantine import Quarantine, Ruling

# The users' bounds: time after the third crash, and runs allowed later than it.
STABLE_WINDOW_S, MAX_LATE_RUNS = 3.0, 3
# Service time, time until a bad request crashes its upstream, and until that is back.
SERVICE_S, CRASH_S, DOWN_S = 0.1, 0.05, 3.0
# Longest time in which evidence reaches a node.
SPREAD_S = 0.02
MAX_ATTEMPTS = 2


def _kind(name: str) -> RequestKind:
    headers = [("Host", "boards.example")]
    return request_kind("tablero", "GET", f"/panels/{name}", headers, b"")


@dataclass(eq=False)
class Work:
    """An attempt at work at an upstream."""

    kind: RequestKind
    entry: int
    attempts: int


class SimulatedFleet:
    """Nodes that each have an upstream, chosen at random for each attempt."""

    def __init__(self, size: int, seed: int, is_bad=lambda kind, now: False):
        self._rng = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._is_bad = is_bad
        self.nodes = [Quarantine(f"10.0.0.{n}") for n in range(size)]
        self._up_at = [0.0] * size
        self._at_work: list[set[Work]] = [set() for _ in range(size)]
        self._completed: list[set[RequestKind]] = [set() for _ in range(size)]
        self.crashes: list[float] = []
        # Times of runs, refusals and ends by kind.
        self.runs: dict[RequestKind, list[float]] = {}
        self.refused: dict[RequestKind, list[float]] = {}
        self.served: dict[RequestKind, list[float]] = {}

    def at(self, when: float, action, *arguments) -> None:
        """Plan an event."""
        heapq.heappush(self._events, (when, next(self._order), action, arguments))

    def run(self, end: float) -> None:
        """Play all events until a time."""
        while self._events and self._events[0][0] <= end:
            now, _, action, arguments = heapq.heappop(self._events)
            action(now, *arguments)

    def load(self, kinds, rate: float, begin: float, end: float) -> None:
        """Plan requests at a rate, whose kinds are drawn from a list."""
        now = begin
        while (now := now + self._rng.expovariate(rate)) < end:
            self.at(now, self.request, self._rng.choice(kinds))

    def request(self, now: float, kind: RequestKind) -> None:
        """Send a request to a random entry."""
        entry = self._rng.randrange(len(self.nodes))
        ruling = self.nodes[entry].check(kind, now).ruling
        if ruling is Ruling.REFUSED:
            self.refused.setdefault(kind, []).append(now)
            return
        if ruling is Ruling.TRIAL:
            self.nodes[entry].begin_trial(kind, now)
        self._attempt(now, Work(kind, entry, 0), ruling is Ruling.TRIAL)

    def _attempt(self, now: float, work: Work, trial: bool) -> None:
        up = [n for n, at in enumerate(self._up_at) if at <= now]
        self._rng.shuffle(up)
        for owner in up:
            node = self.nodes[owner]
            if node.check(work.kind, now).ruling is not Ruling.ALLOWED and not trial:
                self.refused.setdefault(work.kind, []).append(now)
                return
            if not self._must_wait(owner, work.kind):
                self._start(now, owner, work)
                return

    def _must_wait(self, owner: int, kind: RequestKind) -> bool:
        node = self.nodes[owner]
        others = {work.kind for work in self._at_work[owner]} - {kind}
        return node.is_isolated(kind) and any(map(node.is_isolated, others))

    def _start(self, now: float, owner: int, work: Work) -> None:
        work.attempts += 1
        self._at_work[owner].add(work)
        self.runs.setdefault(work.kind, []).append(now)
        bad = self._is_bad(work.kind, now)
        duration_s = (CRASH_S if bad else SERVICE_S) * self._rng.uniform(0.5, 1.5)
        self.at(now + duration_s, self._crash if bad else self._end, owner, work)

    def _end(self, now: float, owner: int, work: Work) -> None:
        if work not in self._at_work[owner]:
            return
        self._at_work[owner].remove(work)
        self._completed[owner].add(work.kind)
        self.served.setdefault(work.kind, []).append(now)
        if clearance := self.nodes[owner].clearance(work.kind):
            self._spread(now, Evidence([], [clearance]))

    def _crash(self, now: float, owner: int, work: Work) -> None:
        if work in self._at_work[owner]:
            self.crash(now, owner)

    def crash(self, now: float, owner: int) -> None:
        """Let an upstream crash, with all that is at work there."""
        lost, self._at_work[owner] = self._at_work[owner], set()
        suspects = {item.kind for item in lost} - self._completed[owner]
        self._completed[owner] = set()
        self._up_at[owner] = now + DOWN_S
        self.crashes.append(now)
        report = CrashReport(f"c{len(self.crashes)}", 0.0, sorted(suspects, key=str))
        self._spread(now, Evidence([report], []))
        for item in sorted(lost, key=lambda item: str(item.kind)):
            self.at(now + SPREAD_S, self._retry, item)

    def _retry(self, now: float, work: Work) -> None:
        accused = self.nodes[work.entry].is_accused(work.kind)
        if work.attempts < MAX_ATTEMPTS and not accused:
            self._attempt(now, work, False)

    def _spread(self, now: float, evidence: Evidence) -> None:
        for node in self.nodes:
            at = now + self._rng.uniform(0, SPREAD_S)
            self.at(at, lambda at, node: node.record(evidence, at), node)


@pytest.mark.parametrize("seed", range(10))
@pytest.mark.parametrize("size", [6, 30])
def test_bad_request_stops_after_its_third_crash_and_good_ones_stay_served(size, seed):
    bad = _kind("bad")
    good = [_kind(f"{number}") for number in range(200)]
    popular = _kind("popular")
    fleet = SimulatedFleet(size, seed, lambda kind, now: kind == bad)
    fleet.load([bad], 2.5, 5.0, 60.0)
    fleet.load([popular], 20.0, 0.0, 60.0)
    fleet.load(good, 40.0, 0.0, 60.0)
    fleet.run(70.0)
    known_at = fleet.crashes[2] + STABLE_WINDOW_S
    assert sum(at > known_at for at in fleet.runs[bad]) <= MAX_LATE_RUNS
    assert len(fleet.crashes) <= 3 + MAX_LATE_RUNS
    assert popular not in fleet.refused
    assert not fleet.refused.keys() & set(good)
    served = sum(len(fleet.served.get(kind, ())) for kind in [popular, *good])
    sent = len(fleet.refused[bad]) + served
    assert served >= 0.98 * (sent - len(fleet.refused[bad]))


@pytest.mark.parametrize("seed", range(10))
def test_mended_service_serves_the_request_again(seed):
    bad, mended_at = _kind("bad"), 30.0
    fleet = SimulatedFleet(10, seed, lambda kind, now: kind == bad and now < mended_at)
    fleet.load([bad], 2.5, 5.0, 200.0)
    fleet.run(200.0)
    assert len(fleet.crashes) <= 3 + MAX_LATE_RUNS
    served_at = fleet.served[bad][0]
    assert mended_at < served_at < 100.0
    assert max(fleet.refused[bad]) < served_at + 1.0


@pytest.mark.parametrize("seed", range(10))
def test_several_bad_requests_at_once_are_all_found(seed):
    bad = [_kind(f"bad-{number}") for number in range(4)]
    good = [_kind(f"{number}") for number in range(50)]
    fleet = SimulatedFleet(30, seed, lambda kind, now: kind in bad)
    fleet.load(bad, 6.0, 5.0, 40.0)
    fleet.load(good, 60.0, 0.0, 40.0)
    fleet.run(50.0)
    for kind in bad:
        assert kind in fleet.refused
    assert not fleet.refused.keys() & set(good)
    late = [at for at in fleet.crashes if at > 15.0]
    assert len(late) <= len(bad) * MAX_LATE_RUNS


@pytest.mark.parametrize("kinds", [5, 100])
@pytest.mark.parametrize("seed", range(5))
def test_nothing_is_refused_when_upstreams_crash_by_themselves(seed, kinds):
    good = [_kind(f"{number}") for number in range(kinds)]
    fleet = SimulatedFleet(10, seed)
    fleet.load(good, 200.0, 0.0, 30.0)
    # Half of the upstreams crash at once, three times.
    for at, owner in itertools.product((10.0, 16.0, 22.0), range(5)):
        fleet.at(at, fleet.crash, owner)
    fleet.run(40.0)
    assert len(fleet.crashes) == 15
    assert fleet.refused == {}

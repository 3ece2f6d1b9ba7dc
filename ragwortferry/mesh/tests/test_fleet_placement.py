"""Plays a large fleet near its capacity: entries with an aperture, and without one."""

import pytest

from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.tests.test_placement import Simulation

UPSTREAMS, SLOTS, SERVICE_S, SECONDS = 72, 6, 0.16, 4.0
CAPACITY_PER_S = UPSTREAMS * SLOTS / SERVICE_S


class FleetSimulation(Simulation):
    """Entries that use an aperture, or all upstreams."""

    def __init__(self, with_aperture, seed=1):
        limits = [None] * UPSTREAMS
        super().__init__(limits, UPSTREAMS, SLOTS, SERVICE_S, seed)
        self._selected = {}
        for number, entry in enumerate(self.entries):
            upstreams = self.upstreams
            if with_aperture:
                aperture = Aperture(f"10.0.1.{number}", "abc"[number % 3])
                upstreams = aperture.select("s", upstreams, lambda item: True)
            self._selected[entry] = upstreams

    def candidates(self, entry):
        return self._selected[entry]


def _play(load, with_aperture):
    simulation = FleetSimulation(with_aperture)
    simulation.run(load * CAPACITY_PER_S, SECONDS)
    return simulation


@pytest.mark.parametrize("load", [0.6, 0.9, 1.2])
def test_aperture_serves_callers_as_well_as_links_to_all_upstreams(load):
    bounded, unbounded = _play(load, True), _play(load, False)
    total = sum(bounded.results.values())
    assert bounded.results["served"] / total >= 0.99 * unbounded.results["served"] / (
        sum(unbounded.results.values())
    )
    # Refused attempts cost a round trip each.
    assert bounded.bounces <= 1.1 * unbounded.bounces + 0.01 * total


def test_aperture_spreads_requests_over_all_upstreams():
    simulation = _play(0.9, True)
    counts = [len(arrivals) for arrivals in simulation.arrivals]
    mean = sum(counts) / len(counts)
    assert max(counts) <= 1.3 * mean
    assert min(counts) >= 0.7 * mean

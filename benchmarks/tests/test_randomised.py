import asyncio

import pytest

from benchmarks.randomised import run_seed

SECONDS = 6.0


@pytest.mark.parametrize("seed", [11, 12])
def test_a_short_run_under_drawn_faults_violates_nothing(seed, tmp_path):
    outcome = asyncio.run(run_seed(seed, SECONDS, tmp_path))
    assert not outcome.violations, outcome.examples
    assert outcome.requests > 100 and outcome.accepted >= 2

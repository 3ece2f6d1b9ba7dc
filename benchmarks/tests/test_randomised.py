import asyncio

import pytest

from benchmarks.randomised import run_seed

SECONDS = 6.0


@pytest.mark.parametrize("seed", [11, 12])
def test_a_short_run_under_random_faults_violates_no_invariant(seed, tmp_path):
    outcome = asyncio.run(run_seed(seed, SECONDS, tmp_path))
    assert not outcome.violations, outcome.examples
    assert outcome.requests > 100 and outcome.accepted >= 2

import asyncio

import pytest

from benchmarks.soak import run_seed

SECONDS, PROCESSES = 6.0, 6


@pytest.mark.parametrize("seed", [101, 102])
def test_a_short_soak_violates_no_guarantee(seed, tmp_path):
    soak = asyncio.run(run_seed(seed, SECONDS, PROCESSES, tmp_path))
    assert not soak.findings.violations, soak.findings.examples
    assert len(soak.calls) > 100
    assert soak.faults.total() > 5

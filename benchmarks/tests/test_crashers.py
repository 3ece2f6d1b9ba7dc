"""The soak's check of requests under which upstreams crash."""

from types import SimpleNamespace

import pytest

from benchmarks.crashers import (
    CRASHES_TO_LEARN,
    MAX_LATE_RUNS,
    MAX_PARTS,
    STABLE_WINDOW_S,
    Crasher,
    check_crashers,
)
from benchmarks.promises import Findings

CRASHER = Crasher("/panels/crasher-1", "crasher1-")


def _mesh(late_runs: int, lines=()):
    """Return a mesh with three crashes in the first second and later runs."""
    crashes = [(0.1 * n, [f"crasher1-{n}"]) for n in range(CRASHES_TO_LEARN)]
    late_at = 1.0 + STABLE_WINDOW_S
    started_at = {f"crasher1-9{n}": late_at + n for n in range(late_runs)}
    upstream = SimpleNamespace(crashes=crashes, started_at=started_at)
    machine = SimpleNamespace(upstream=upstream)
    return SimpleNamespace(machines=[machine], events=lambda machine, event: lines)


@pytest.mark.parametrize("excess, violations", [(0, 0), (1, 1)])
def test_runs_that_come_too_late_are_violations(excess, violations):
    findings = Findings()
    mesh = _mesh(MAX_LATE_RUNS * MAX_PARTS + excess)
    check_crashers(mesh, [CRASHER], findings)
    assert findings.violations.total() == violations


@pytest.mark.parametrize("request_id, violations", [("crasher1-4", 0), ("3-7", 1)])
def test_refusal_of_another_request_is_a_violation(request_id, violations):
    findings = Findings()
    line = {"error": "quarantined", "request_id": request_id}
    check_crashers(_mesh(0, [line]), [CRASHER], findings)
    assert findings.violations.total() == violations

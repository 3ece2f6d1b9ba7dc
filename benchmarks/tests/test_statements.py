"""Each check of what upstreams state reports the violation that it guards against."""

from dataclasses import replace

import pytest

from benchmarks.promises import Call, Findings
from benchmarks.statements import Episode, check_statements
from standins.upstream import UpstreamStandin


def _call(number: int, started_at: float, **changes) -> Call:
    """Return a call that was not answered yet."""
    return Call(
        f"r{number}", "n1", "a", False, ("GET", "/", b""), started_at, 1.0, **changes
    )


def _violations(limit, arrivals, told_at=101.0, disturbances=()) -> list[str]:
    """Check calls that reach an upstream whose statement came at 100 s.

    :param arrivals: times at which the calls start and arrive.
    :param told_at: time at which the entry passed the statement on.
    """
    upstream = UpstreamStandin("up", "tablero", "a")
    told = replace(
        _call(0, told_at),
        signature="up",
        limited=limit is not None,
        leaving=limit is None,
    )
    calls = [told, *(_call(n, at) for n, at in enumerate(arrivals, 1))]
    upstream.arrivals = [(at, f"r{n}") for n, at in enumerate(arrivals, 1)]
    episode = Episode(upstream, limit, 100.0, 100.5, 120.0)
    findings = Findings()
    check_statements([episode], calls, {"n1": list(disturbances)}, findings)
    return list(findings.violations)


def _burst(count: int, at: float) -> list[float]:
    return [at + n * 0.01 for n in range(count)]


@pytest.mark.parametrize("at", [103.6, 112.0])
def test_requests_above_a_limit_are_reported(at):
    assert _violations(1.0, _burst(11, at)) == []
    assert _violations(1.0, _burst(12, at)) == ["limits of upstreams are kept"]


def test_requests_beyond_the_window_of_a_limit_are_allowed():
    assert _violations(1.0, _burst(11, 105.0) + _burst(11, 109.2)) == []


def test_limit_does_not_count_before_it_is_stable_or_after_it_ended():
    assert _violations(1.0, _burst(12, 101.0)) == []
    assert _violations(1.0, _burst(12, 121.0)) == []


def test_entry_that_was_not_told_or_was_disturbed_since_is_excused():
    assert _violations(1.0, _burst(12, 112.0), told_at=111.9) == []
    assert _violations(1.0, _burst(12, 112.0), disturbances=[105.0]) == []
    assert _violations(None, [112.0], disturbances=[105.0]) == []


def test_request_to_a_leaving_upstream_is_reported():
    assert _violations(None, [102.9, 121.0]) == []
    assert _violations(None, [103.1]) == ["nothing is sent to who leaves"]

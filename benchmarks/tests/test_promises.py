"""Each check of the soak reports the violation that it guards against."""

from collections import Counter
from dataclasses import dataclass, field, replace
from pathlib import Path

import pytest

from benchmarks.promises import Call, Findings, check_calls, check_versions
from standins.mesh import Machine
from standins.upstream import UpstreamStandin


@dataclass
class FakeMesh:
    """The part of a mesh that the checks use."""

    machines: list[Machine]
    enforced: list[dict] = field(default_factory=list)

    def events(self, machine, event):
        return self.enforced if event == "enforced" else []


def _machine(name: str) -> Machine:
    upstream = UpstreamStandin(f"up-{name}", "tablero", "a")
    return Machine(name, "127.0.0.1", "a", upstream, Path(), Path())


def _call(**changes) -> Call:
    call = Call(
        "r1",
        "n1",
        "a",
        True,
        ("POST", "/pay/r1", b"fee"),
        100.0,
        1.0,
        seconds=0.1,
        status=200,
        signature="up-n1",
        echoed_id="r1",
        ended=True,
    )
    call.body = UpstreamStandin("up-n1", "tablero", "a").response_body("r1")
    return replace(call, **changes)


def _fake_mesh(runs: int = 1, started_at: float = 100.05) -> FakeMesh:
    """Return a mesh whose first upstream ran the request ``runs`` times."""
    mesh = FakeMesh([_machine("n1"), _machine("n2")])
    upstream = mesh.machines[0].upstream
    if runs:
        upstream.runs = Counter({"r1": runs})
        upstream.received["r1"] = ("POST", "/pay/r1", b"fee")
        upstream.callers["r1"] = "tablero"
        upstream.started_at["r1"] = started_at
    return mesh


def _violations(mesh: FakeMesh, *calls: Call) -> list[str]:
    findings = Findings()
    check_calls(mesh, calls, findings)
    return list(findings.violations)


def test_request_that_ran_once_with_a_response_violates_nothing():
    assert _violations(_fake_mesh(), _call()) == []
    assert _violations(_fake_mesh(runs=0), _call(status=503)) == []


def test_only_the_runs_of_a_request_in_flight_are_checked():
    assert _violations(_fake_mesh(), _call(status=0, ended=False)) == []
    assert _violations(_fake_mesh(2), _call(status=0, ended=False)) == ["at most once"]


@pytest.mark.parametrize(
    "runs, changes, guarantee",
    [
        (2, {}, "at most once"),
        (1, {"status": 503}, "not run is true"),
        (3, {"at_most_once": False}, "at most as many attempts as allowed"),
        (1, {"status": 0}, "a request that runs gets an answer"),
        (1, {"signature": "up-n2"}, "an answer is that of the request"),
        (1, {"echoed_id": "r2"}, "an answer is that of the request"),
        (1, {"body": b"r1xx"}, "an answer is whole"),
        (1, {"seconds": 1.6}, "each request is answered by its deadline"),
        (1, {"sent": ("POST", "/pay/r1", b"fees")}, "requests arrive unchanged"),
        (1, {"request_id": "r2"}, "nothing runs that nobody sent"),
    ],
)
def test_violation_is_reported(runs, changes, guarantee):
    assert guarantee in _violations(_fake_mesh(runs), _call(**changes))


def test_wrong_caller_service_is_reported():
    mesh = _fake_mesh()
    mesh.machines[0].upstream.callers["r1"] = "archivo"
    assert _violations(mesh, _call()) == ["the caller's service is true"]


def test_requests_that_run_long_after_a_disconnect_are_reported():
    mesh, calls = FakeMesh([_machine("n1")]), []
    upstream = mesh.machines[0].upstream
    for number in range(4):
        name = f"r{number}"
        upstream.runs[name] = 1
        upstream.received[name] = ("POST", "/pay/r1", b"fee")
        upstream.callers[name] = "tablero"
        upstream.started_at[name] = 101.0
        calls.append(_call(request_id=name, status=0, disconnected_at=100.2))
    assert _violations(mesh, *calls) == ["nothing runs for callers that left"]


@pytest.mark.parametrize(
    "lines, guarantee",
    [
        ([("u", 3, "x"), ("u", 2, "y")], "never back"),
        ([("u", 3, "x"), ("v", 3, "y")], "one content a version"),
    ],
)
def test_decreasing_or_conflicting_versions_are_reported(lines, guarantee):
    enforced = [
        {"task_uuid": uuid, "version": version, "digest": digest}
        for uuid, version, digest in lines
    ]
    findings = Findings()
    check_versions(FakeMesh([_machine("n1")], enforced), findings)
    assert list(findings.violations) == [guarantee]

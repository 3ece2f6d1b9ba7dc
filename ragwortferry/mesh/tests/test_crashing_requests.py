"""Node processes whose upstreams crash when they run certain requests."""

import asyncio
import contextlib
import math
import signal
import time

import pytest

from ragwortferry.mesh.quarantine import FIRST_BLOCK_S
from standins.callers import Callers
from standins.upstream import UpstreamStandin

LAYOUT = [("tablero", zone) for zone in "abcabc"] + [("archivo", "a"), ("archivo", "b")]
# The users' bounds: runs of a request later than this after its third crash, and how
# many of them are allowed.
STABLE_WINDOW_S, MAX_LATE_RUNS = 3.0, 3
CRASHES_TO_LEARN = 3
# Time after which a crashed upstream is back.
DOWN_S = 3.0
BAD_PATH = "/panels/bad"
BAD_RATE, GOOD_RATE = 2.5, 60
# Time by which the whole fleet knows a request after its third crash.
SPREAD_S = 0.5
# An eighth of the latency objective.
AT_ONCE_S = 0.5 / 8


def _crash_on(mesh, predicate) -> None:
    for machine in mesh.machines:
        machine.upstream.crashes_on = predicate


def _is_bad_path(method, path, body, caller) -> bool:
    return path == BAD_PATH


@contextlib.asynccontextmanager
async def _restarting_upstreams(mesh):
    """Start each crashed upstream again after a while."""

    async def restart(machine) -> None:
        while True:
            await mesh.wait_until(lambda: machine.upstream.crashed)
            await asyncio.sleep(DOWN_S)
            await mesh.restart_upstream(machine)

    tasks = [asyncio.create_task(restart(machine)) for machine in mesh.machines]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()


def _upstreams(mesh) -> list[UpstreamStandin]:
    return [machine.upstream for machine in mesh.machines]


def _runs(mesh, prefix: str) -> list[float]:
    """Return when requests with a prefix of their id started to run, in order."""
    return sorted(
        at
        for upstream in _upstreams(mesh)
        for request_id, at in upstream.started_at.items()
        if request_id.startswith(prefix)
    )


def _crash_times(mesh) -> list[float]:
    return sorted(at for upstream in _upstreams(mesh) for at, _ in upstream.crashes)


async def _wait_for_crashes(mesh) -> float:
    """Wait until the fleet can know the bad request; return the third crash."""
    await mesh.wait_until(lambda: len(_crash_times(mesh)) >= CRASHES_TO_LEARN)
    await asyncio.sleep(SPREAD_S)
    return _crash_times(mesh)[CRASHES_TO_LEARN - 1]


def _late_runs(mesh, prefix: str) -> int:
    """Return the runs of bad requests that come too late after the third crash."""
    known_at = _crash_times(mesh)[CRASHES_TO_LEARN - 1] + STABLE_WINDOW_S
    return sum(at > known_at for at in _runs(mesh, prefix))


def _check_refused_at_once(bad: Callers, since: float) -> None:
    """Check the refusals until the first trial is due."""
    until = since - SPREAD_S + FIRST_BLOCK_S
    late = [item for item in bad.ended if since < item.sent_at < until]
    assert late
    for item in late:
        assert item.status == 503 and item.seconds < AT_ONCE_S
        assert float(item.headers["Retry-After"]) > 0


@pytest.mark.parametrize("told_apart_by", ["path", "body"])
def test_fleet_refuses_a_request_that_has_crashed_three_upstreams(
    run_scenario, told_apart_by
):
    async def scenario(mesh):
        if told_apart_by == "path":
            _crash_on(mesh, _is_bad_path)
            bad_request = {"path": lambda n: BAD_PATH}
            good_request = {"path": lambda n: f"/panels/{n % 50}"}
        else:
            _crash_on(mesh, lambda method, path, body, caller: body == b"bad")
            bad_request = {"method": "POST", "data": b"bad"}
            good_request = {"method": "POST", "data": b"good"}
        tableros, archivos = mesh.machines[:6], mesh.machines[6:]
        bad = Callers(mesh, tableros, prefix="bad-", **bad_request)
        # The same request of another caller, which is another kind of request.
        other = Callers(mesh, archivos, prefix="other-", **bad_request)
        good = Callers(mesh, prefix="good-", **good_request)
        async with _restarting_upstreams(mesh):
            await asyncio.gather(
                bad.run(0.75 * BAD_RATE, 12),
                other.run(0.25 * BAD_RATE, 12),
                good.run(GOOD_RATE, 12),
            )
            await bad.finish()
            other_statuses = await other.finish()
            statuses = await good.finish()
        third = _crash_times(mesh)[CRASHES_TO_LEARN - 1]
        assert _late_runs(mesh, "bad-") + _late_runs(mesh, "other-") <= MAX_LATE_RUNS
        assert len(_crash_times(mesh)) <= CRASHES_TO_LEARN + MAX_LATE_RUNS
        _check_refused_at_once(bad, third + SPREAD_S)
        assert other_statuses[503] >= len(other.ended) - CRASHES_TO_LEARN
        assert statuses[200] >= 0.95 * len(good.ended)
        settled = [item for item in good.ended if item.sent_at > third + SPREAD_S]
        assert all(item.status == 200 for item in settled)

    run_scenario(scenario, layout=LAYOUT)


@pytest.mark.parametrize("event", ["restart", "join"])
def test_new_processes_refuse_a_request_that_has_crashed_three_upstreams(
    run_scenario, event
):
    async def scenario(mesh):
        _crash_on(mesh, _is_bad_path)
        bad = Callers(mesh, path=lambda n: BAD_PATH, prefix="bad-")
        async with _restarting_upstreams(mesh):
            load = asyncio.create_task(bad.run(BAD_RATE, 5))
            await _wait_for_crashes(mesh)
            await load
            await mesh.wait_until(lambda: not any(u.crashed for u in _upstreams(mesh)))
            if event == "restart":
                for machine in mesh.machines:
                    await mesh.stop_node(machine, signal.SIGKILL)
                    await mesh.start_node(machine)
                    await mesh.wait_ready(machine)
                new = mesh.machines
            else:
                new = [await mesh.add("tablero", "a", seeds=mesh.machines[:2])]
                new[0].upstream.crashes_on = _is_bad_path
                await mesh.wait_ready(new[0])
            again = Callers(mesh, new, path=lambda n: BAD_PATH, prefix="again-")
            await again.run(10, 2)
            statuses = await again.finish()
            assert statuses[503] >= len(again.ended) - 1
        # One trial of it may be due by then.
        assert _late_runs(mesh, "again-") <= 1

    run_scenario(scenario, layout=LAYOUT)


def test_popular_request_stays_served_while_others_crash_its_upstreams(run_scenario):
    async def scenario(mesh):
        for upstream in _upstreams(mesh):
            upstream.service_time_s = 0.1
        _crash_on(mesh, lambda method, path, body, caller: path.startswith(BAD_PATH))
        # Five kinds of bad requests, each of which crashes three upstreams.
        bad = Callers(mesh, path=lambda n: f"{BAD_PATH}-{n // 8}", prefix="bad-")
        popular = Callers(mesh, prefix="popular-")
        async with _restarting_upstreams(mesh):
            await asyncio.gather(bad.run(2, 18), popular.run(40, 18))
            await bad.finish()
            await popular.finish()
        at_work = sum(
            any(request_id.startswith("popular-") for request_id in ids)
            for upstream in _upstreams(mesh)
            for _, ids in upstream.crashes
        )
        assert at_work >= CRASHES_TO_LEARN
        refused = [
            line
            for machine in mesh.machines
            for line in mesh.events(machine, "request")
            if line["request_id"].startswith("popular-")
            and line["error"] == "quarantined"
        ]
        assert refused == []
        served = sum(item.status == 200 for item in popular.ended)
        assert served >= 0.95 * len(popular.ended)

    run_scenario(scenario, layout=LAYOUT)


def test_request_of_one_caller_does_not_get_that_of_another_refused(run_scenario):
    async def scenario(mesh):
        _crash_on(
            mesh,
            lambda method, path, body, caller: path == BAD_PATH and caller == "archivo",
        )
        bad = Callers(mesh, mesh.machines[6:], path=lambda n: BAD_PATH, prefix="bad-")
        same = Callers(mesh, mesh.machines[:6], path=lambda n: BAD_PATH, prefix="same-")
        async with _restarting_upstreams(mesh):
            await asyncio.gather(bad.run(BAD_RATE, 6), same.run(20, 6))
            await bad.finish()
            await same.finish()
        third = _crash_times(mesh)[CRASHES_TO_LEARN - 1]
        _check_refused_at_once(bad, third + SPREAD_S)
        settled = [item for item in same.ended if item.sent_at > third + SPREAD_S]
        assert settled and all(item.status == 200 for item in settled)

    run_scenario(scenario, layout=LAYOUT)


def _sent_to_running_nodes(callers, killed_at: dict[str, float]) -> list:
    """Return the requests apart from those to a node that had not started again.

    Each killed node has to start again.

    :param killed_at: time at which each killed node ended, by the name of its machine.
    """
    back_at: dict[str, float] = {}
    for item in callers.ended:
        if item.status and item.sent_at >= killed_at.get(item.machine, math.inf):
            earliest = back_at.get(item.machine, math.inf)
            back_at[item.machine] = min(earliest, item.sent_at)

    assert back_at.keys() == killed_at.keys()

    def was_down(item):
        since = killed_at.get(item.machine, math.inf)
        return since <= item.sent_at < back_at.get(item.machine, math.inf)

    return [item for item in callers.ended if item.status or not was_down(item)]


@pytest.mark.parametrize("loss", ["connections", "restart"])
def test_lost_responses_without_a_crash_refuse_nothing(run_scenario, loss):
    async def scenario(mesh):
        callers = Callers(mesh)
        load, killed_at = asyncio.create_task(callers.run(40, 6)), {}
        for machine in mesh.machines[:6]:
            await asyncio.sleep(0.5)
            if loss == "connections":
                machine.upstream.fault = "lost"
                await asyncio.sleep(0.3)
                machine.upstream.fault = ""
            else:
                await mesh.stop_node(machine, signal.SIGKILL)
                killed_at[machine.name] = time.monotonic()
                await mesh.start_node(machine)
        await load
        await callers.finish()
        for machine in mesh.machines:
            for line in mesh.events(machine, "request"):
                assert line.get("error") != "quarantined"
        sent = _sent_to_running_nodes(callers, killed_at)
        assert sum(item.status == 200 for item in sent) >= 0.9 * len(sent)

    run_scenario(scenario, layout=LAYOUT)

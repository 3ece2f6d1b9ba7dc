"""Node processes whose upstreams advertise a limit or their departure."""

import asyncio
import signal
import time

import pytest

from standins.callers import Callers

# Window of the users' rule, its factor on the limit, and its allowance.
WINDOW_S, FACTOR, SLACK = 4.0, 1.5, 5
# Time after the first response with a limit from which the rule holds.
STABLE_WINDOW_S = 3.0
# Time after a response with a departure from which no request may arrive.
DRAIN_S = 2.0
TABLEROS = [("tablero", zone) for zone in "abab"] + [("archivo", "a")]


def _allowed(limit: float) -> float:
    return FACTOR * limit * WINDOW_S + SLACK


def test_log_and_metrics_state_the_limit_that_an_upstream_advertises(run_scenario):
    async def scenario(mesh):
        machine = mesh.machines[2]
        machine.upstream.limit = "4.6"
        status, _, headers = await mesh.send(machine, "/panels/exports/1", "r1")
        assert status == 200 and headers["Server-Limit"] == "4.6"
        (line,) = mesh.events(machine, "advertised")
        assert (line["upstream"], line["limit_per_s"]) == ("i-3", 4.6)
        assert "ragwortferry_upstream_limited 1\n" in await mesh.metrics(machine)
        assert "ragwortferry_upstream_limit_per_s 4.6\n" in await mesh.metrics(machine)

    run_scenario(scenario)


@pytest.mark.parametrize("limit", ["0", "1", "4.6"])
def test_upstream_gets_no_more_requests_than_its_limit_allows(run_scenario, limit):
    async def scenario(mesh):
        limited = mesh.machines[0].upstream
        limited.limit = limit
        callers = Callers(mesh)
        await callers.run(60, STABLE_WINDOW_S + WINDOW_S + 1)
        assert await callers.finish() == {200: len(callers.ended)}
        since = limited.arrivals[0][0] + STABLE_WINDOW_S
        assert limited.most_arrivals(WINDOW_S, since) <= _allowed(float(limit))

    run_scenario(scenario, layout=TABLEROS)


def test_limits_of_all_upstreams_are_used_and_the_rest_is_refused_at_once(run_scenario):
    async def scenario(mesh):
        limits = dict(zip(mesh.machines[:4], (2.0, 4.6, 8.0, 3.5), strict=True))
        for machine, limit in limits.items():
            machine.upstream.limit = f"{limit:g}"
        callers = Callers(mesh)
        await callers.run(60, STABLE_WINDOW_S + WINDOW_S)
        statuses = await callers.finish()
        assert set(statuses) == {200, 503}
        for machine, limit in limits.items():
            since = machine.upstream.arrivals[0][0] + STABLE_WINDOW_S
            most = machine.upstream.most_arrivals(WINDOW_S, since)
            assert most <= _allowed(limit)
        since = callers.ended[0].sent_at + STABLE_WINDOW_S
        late = [item for item in callers.ended if item.sent_at >= since]
        served = sum(item.status == 200 for item in late)
        assert served >= 0.9 * WINDOW_S * sum(limits.values())
        refused = sorted(item.seconds for item in late if item.status == 503)
        # An eighth of the latency objective.
        assert refused[int(0.9 * len(refused))] <= 0.5 / 8
        for item in callers.ended:
            assert item.status == 200 or 0 < float(item.headers["Retry-After"]) <= 2.0

    run_scenario(scenario, layout=TABLEROS)


@pytest.mark.parametrize("disturbance", ["restart", "freeze"])
def test_limit_outlives_a_disturbance_of_the_node_beside_its_upstream(
    run_scenario, disturbance
):
    async def scenario(mesh):
        machine = mesh.machines[0]
        machine.upstream.limit = "2"
        for item in mesh.machines:
            item.upstream.service_time_s = 0.2
            item.upstream.slots = 18
            await mesh.register(item)
        callers = Callers(mesh, mesh.machines[1:])
        load = asyncio.create_task(callers.run(120, STABLE_WINDOW_S + 2 * WINDOW_S))
        await asyncio.sleep(STABLE_WINDOW_S + 1)
        if disturbance == "restart":
            await mesh.stop_node(machine, signal.SIGKILL)
            await mesh.start_node(machine)
        else:
            machine.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(1.0)
            machine.process.send_signal(signal.SIGCONT)
        await load
        await callers.finish()
        since = machine.upstream.arrivals[0][0] + STABLE_WINDOW_S
        assert machine.upstream.most_arrivals(WINDOW_S, since) <= _allowed(2)

    run_scenario(scenario, layout=TABLEROS)


def test_share_of_an_upstream_returns_after_its_limit_ends(run_scenario):
    async def scenario(mesh):
        limited = mesh.machines[0].upstream
        limited.limit = "1"
        callers = Callers(mesh)
        await callers.run(60, 3)
        limited.limit = ""
        await callers.run(60, 3)
        ended_at = time.monotonic()
        await callers.run(60, 2)
        assert await callers.finish() == {200: len(callers.ended)}
        arrived = sum(at >= ended_at for at, _ in limited.arrivals)
        assert arrived >= 0.5 * 60 * 2 / 4

    run_scenario(scenario, layout=TABLEROS)


def _late_arrivals(upstream, callers) -> list[str]:
    """Return the requests that reached a leaving upstream too late."""
    told: dict[str, float] = {}
    for item in callers.ended:
        if "Server-Leaving" in item.headers:
            at = item.sent_at + item.seconds
            told[item.machine] = min(told.get(item.machine, at), at)
    arrived = {request_id for _, request_id in upstream.arrivals}
    return [
        item.request_id
        for item in callers.ended
        if item.request_id in arrived
        and item.sent_at > told.get(item.machine, item.sent_at) + DRAIN_S
    ]


@pytest.mark.parametrize("disturbance", ["none", "restart", "registered-again"])
def test_upstream_that_says_it_is_leaving_gets_no_requests(run_scenario, disturbance):
    async def scenario(mesh):
        machine = mesh.machines[0]
        callers = Callers(mesh, mesh.machines[1:])
        await callers.run(60, 1)
        machine.upstream.leaving = True
        load = asyncio.create_task(callers.run(60, 2 * DRAIN_S + 1))
        await asyncio.sleep(1)
        if disturbance == "restart":
            await mesh.stop_node(machine, signal.SIGKILL)
            await mesh.start_node(machine)
        elif disturbance == "registered-again":
            await mesh.store.delete(f"servers/{machine.upstream.name}")
            await mesh.register(machine)
        await load
        await callers.finish()
        assert any("Server-Leaving" in item.headers for item in callers.ended)
        assert _late_arrivals(machine.upstream, callers) == []

    run_scenario(scenario, layout=TABLEROS)


def test_upstream_that_starts_again_after_leaving_gets_requests(run_scenario):
    async def scenario(mesh):
        machine = mesh.machines[0]
        machine.upstream.leaving = True
        callers = Callers(mesh)
        await callers.run(60, 1)
        machine.upstream.leaving = False
        machine.upstream.born_ms += 5000
        await mesh.register(machine)
        await callers.run(60, 1)
        before = len(machine.upstream.arrivals)
        await callers.run(60, 2)
        assert await callers.finish() == {200: len(callers.ended)}
        assert len(machine.upstream.arrivals) > before

    run_scenario(scenario, layout=TABLEROS)

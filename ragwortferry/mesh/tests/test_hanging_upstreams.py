"""Upstreams that never respond to what they cannot queue, and parts of a split."""

import asyncio
from collections import Counter

from ragwortferry.tests.mesh_builders import a_config
from standins.callers import Callers

LAYOUT = [("tablero", "a"), ("tablero", "b"), ("archivo", "a"), ("tablero", "a")]


def test_upstream_that_hangs_when_full_is_never_overfilled(run_scenario):
    """Guards against requests that get no answer since the queue was full."""

    async def scenario(mesh):
        for machine in mesh.machines:
            machine.upstream.slots = 3
            machine.upstream.fault = "hang-when-full"
            machine.upstream.service_time_s = 0.08
            await mesh.register(machine)
        await asyncio.sleep(0.5)
        callers = Callers(mesh)
        # Three times what the three upstreams can run.
        await callers.run(330, 4)
        statuses = await callers.finish()
        assert sum(len(m.upstream.hung) for m in mesh.machines) == 0
        assert set(statuses) <= {200, 503}
        # An eighth of the latency objective, for nine of ten refusals.
        refused = sorted(item.seconds for item in callers.ended if item.status == 503)
        assert refused[int(0.9 * len(refused))] <= 0.5 / 8

    run_scenario(scenario, layout=LAYOUT)


def test_connection_on_which_an_upstream_hangs_is_not_used_again(run_scenario):
    """Guards against requests behind one that is never answered."""

    async def scenario(mesh):
        machine = mesh.machines[2]
        machine.upstream.fault = "hang-once"
        status, _, _ = await mesh.send(
            machine, "/panels/exports/1", "r1", deadline_ms=600
        )
        # It may have run, so no promise that it has not.
        assert status in (502, 504)
        assert machine.upstream.hung == ["r1"]
        for number in range(5):
            name = f"later-{number}"
            status, _, _ = await mesh.send(machine, "/panels/exports/1", name)
            assert status == 200

    run_scenario(scenario, layout=LAYOUT)


def _split_config() -> dict:
    config = a_config()
    action = config["listeners"][0]["rules"][1]["action"]
    del action["service"]
    action["split"] = [
        {"service": "tablero", "weight": 70},
        {"service": "archivo", "weight": 30},
    ]
    return config


def test_part_of_a_split_that_is_short_refuses_what_does_not_fit(run_scenario):
    """Guards against requests of a short part that are moved to another one."""

    async def scenario(mesh):
        short = mesh.machines[2].upstream
        short.slots, short.service_time_s = 2, 0.2
        await mesh.register(mesh.machines[2])
        await asyncio.sleep(0.5)
        callers = Callers(mesh)
        # A third of the 30 requests a second for the short part fit its slots.
        await callers.run(100, 5)
        await callers.finish()
        by_service = Counter()
        for machine in mesh.machines:
            runs = sum(machine.upstream.runs.values())
            by_service[machine.upstream.service] += runs
        total = len(callers.ended)
        refused = sum(item.status == 503 for item in callers.ended)
        assert abs(by_service["tablero"] - 0.7 * total) <= 0.05 * total
        # The rest was for the short part: run there or refused.
        assert refused >= 0.1 * total
        assert by_service["archivo"] + refused >= 0.25 * total

    run_scenario(scenario, layout=LAYOUT, config=_split_config())

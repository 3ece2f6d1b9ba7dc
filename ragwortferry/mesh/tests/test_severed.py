"""Open connections between nodes that go silent for good while new ones work."""

import asyncio
import time

import pytest

from ragwortferry.tests.mesh_builders import a_config
from standins.callers import Callers
from standins.network import Network

LAYOUT = [("tablero", zone) for zone in "abab"]
# The users' bounds of a change of the configuration and of a departure.
CONFIG_APPLY_S, DRAIN_S = 2.0, 2.0
DEADLINE_S = 1.0


def _config(version: str, route_type: str) -> dict:
    config = a_config(version)
    for rule in config["listeners"][0]["rules"]:
        rule["route_type"] = route_type
    return config


@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
def test_severed_links_lose_no_answer_and_hide_no_change(run_scenario, route_type):
    """Guards against requests and changes that wait for a link that is dead."""

    async def scenario(mesh):
        callers = Callers(mesh)
        load = asyncio.create_task(callers.run(80, 7))
        await asyncio.sleep(1)
        for machine in mesh.machines:
            machine.link_proxy.silence_open()
        await asyncio.sleep(0.5)
        leaving = mesh.machines[0]
        await mesh.put_config(_config("r8", route_type))
        await mesh.register(leaving, "draining")
        changed_at = time.monotonic()
        await asyncio.sleep(max(CONFIG_APPLY_S, DRAIN_S))
        for machine in mesh.machines:
            assert "ragwortferry_version 8\n" in await mesh.metrics(machine)
        await load
        statuses = await callers.finish()
        last = max(at for at, _ in leaving.upstream.arrivals)
        assert last - changed_at < DRAIN_S
        for item in callers.ended:
            assert item.seconds <= DEADLINE_S + 0.2
            if route_type == "unsafe":
                assert mesh.count_runs(item.request_id) <= 1
            if item.status == 503:
                assert mesh.count_runs(item.request_id) == 0
        assert statuses[200] >= 0.9 * len(callers.ended)

    config = _config("r7", route_type)
    run_scenario(scenario, layout=LAYOUT, config=config, network=Network())

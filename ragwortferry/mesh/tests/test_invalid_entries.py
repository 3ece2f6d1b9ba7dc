"""Nodes keep following the registry while invalid entries stand in it."""

import asyncio
import signal

from ragwortferry.tests.invalid_entries import INVALID_ENTRIES
from ragwortferry.tests.mesh_builders import a_config

# Bounds ``config_apply_s`` and ``drain_s`` of the settings.
IN_FORCE_S = 2.0


async def _write_invalid_entries(mesh) -> None:
    for number, data in enumerate(INVALID_ENTRIES.values()):
        await mesh.store.put(f"servers/invalid-{number}", data)


async def _assert_departure_and_version_are_followed(mesh) -> None:
    leaving, caller = mesh.machines[0], mesh.machines[1]
    await mesh.register(leaving, "draining")
    config = a_config("r9")
    config["listeners"][0]["host"] = "new.example"
    await mesh.put_config(config)
    await asyncio.sleep(IN_FORCE_S)
    for number in range(40):
        request_id = f"after-{number}"
        status, *_ = await mesh.send(caller, "/x", request_id, host="new.example")
        assert status == 200
        assert not leaving.upstream.runs[request_id]


def test_invalid_entries_do_not_keep_nodes_from_following_the_registry(run_scenario):
    async def scenario(mesh):
        await _write_invalid_entries(mesh)
        await _assert_departure_and_version_are_followed(mesh)
        for machine in mesh.machines:
            assert machine.process.returncode is None
            assert not mesh.events(machine, "error")

    run_scenario(scenario)


def test_nodes_that_all_start_beside_invalid_entries_become_ready(run_scenario):
    async def scenario(mesh):
        await _write_invalid_entries(mesh)
        for machine in mesh.machines:
            await mesh.stop_node(machine, signal.SIGKILL)
        for machine in mesh.machines:
            await mesh.start_node(machine)
        async with asyncio.timeout(15.0):
            await mesh.wait_ready()
        await _assert_departure_and_version_are_followed(mesh)

    run_scenario(scenario)


def test_invalid_entries_cost_no_calls_and_no_lines_while_they_stay(run_scenario):
    async def scenario(mesh):
        await _write_invalid_entries(mesh)
        await asyncio.sleep(1.0)
        lists = mesh.store.calls["kv-range"]
        lines = [len(machine.log.read_text()) for machine in mesh.machines]
        await asyncio.sleep(2.0)
        assert mesh.store.calls["kv-range"] == lists
        assert lines == [len(machine.log.read_text()) for machine in mesh.machines]

    run_scenario(scenario)

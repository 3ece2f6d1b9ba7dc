"""A node that is stopped in calm: each request that it passes on gets its response."""

import asyncio

import pytest

from ragwortferry.tests.mesh_builders import a_config_with_routes
from standins.callers import PipeliningCaller

EXPORT = "/panels/exports/1"


async def _begin_stop(mesh, machine) -> asyncio.Task:
    """Send SIGTERM and return the task that awaits the end of the node."""
    end = asyncio.create_task(mesh.stop_node(machine))
    await mesh.wait_until(lambda: mesh.events(machine, "leaving"))
    return end


def _is_logged(mesh, machine, request_id: str) -> bool:
    lines = mesh.events(machine, "request")
    return any(line["request_id"] == request_id for line in lines)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_stopping_node_passes_on_no_request_behind_an_announced_close(
    run_scenario, method
):
    """Guards against requests that run and whose connection is then closed."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        mesh.machines[2].upstream.service_time_s = 1.0
        caller = await PipeliningCaller.connect(stopping)
        caller.send("GET", EXPORT, "slow", 3000)
        await mesh.wait_until(lambda: mesh.count_runs("slow"))
        end = await _begin_stop(mesh, stopping)
        caller.send("GET", "/panels/1", "quick", 3000)
        await mesh.wait_until(lambda: _is_logged(mesh, stopping, "quick"))
        caller.send(method, "/panels/1", "behind", 3000)
        statuses = await caller.read_responses()
        assert statuses["slow"] == statuses["quick"] == 200
        assert "behind" in statuses or not mesh.count_runs("behind")
        assert await end == 0
        caller.close()

    config = a_config_with_routes("safe" if method == "GET" else "unsafe", 3)
    run_scenario(scenario, config=config)


def test_stopping_node_waits_for_a_caller_that_reads_slowly(run_scenario):
    """Guards against long responses that end with the process."""
    size, count, pieces, pause_s = 900_000, 10, 30, 0.013

    async def scenario(mesh):
        stopping = mesh.machines[0]
        mesh.machines[2].upstream.long_response_bytes = size
        caller = await PipeliningCaller.connect(stopping, receive_bytes=16_384)
        for number in range(count):
            caller.send("GET", EXPORT, f"long-{number}", 6000)
        await mesh.wait_until(
            lambda: all(
                _is_logged(mesh, stopping, f"long-{number}") for number in range(count)
            )
        )
        end = await _begin_stop(mesh, stopping)
        for number in range(count):
            status, headers = await caller.read_head()
            assert status == 200 and headers["x-request-id"] == f"long-{number}"
            for _ in range(pieces):
                await caller.reader.readexactly(size // pieces)
                await asyncio.sleep(pause_s)
        assert await end == 0
        caller.close()

    run_scenario(scenario, config=a_config_with_routes("safe", 6))


def test_stopping_node_waits_for_the_rest_of_a_body(run_scenario):
    """Guards against uploads that are cut off since the node seems idle."""
    pieces, pause_s = 40, 0.1

    async def scenario(mesh):
        stopping = mesh.machines[0]
        caller = await PipeliningCaller.connect(stopping)
        end = await _begin_stop(mesh, stopping)
        caller.send("POST", "/panels/1", "r1", 5000, length=pieces)
        for _ in range(pieces):
            await asyncio.sleep(pause_s)
            caller.send_body(b"x")
        assert await caller.read_responses() == {"r1": 200}
        assert await end == 0
        caller.close()

    run_scenario(scenario, config=a_config_with_routes("unsafe", 5))

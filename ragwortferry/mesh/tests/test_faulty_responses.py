"""What callers get if an upstream's responses break the protocol."""

import asyncio
import collections

from ragwortferry.tests.mesh_builders import a_config

REQUESTS, CONCURRENT = 240, 8


def _unsafe_config() -> dict:
    config = a_config()
    for rule in config["listeners"][0]["rules"]:
        rule["route_type"] = "unsafe"
    return config


async def _send_many(mesh, send) -> list:
    """Return the results of ``send(number)`` for all requests, some at a time."""
    semaphore = asyncio.Semaphore(CONCURRENT)

    async def limited(number):
        async with semaphore:
            return await send(number)

    return await asyncio.gather(*(limited(number) for number in range(REQUESTS)))


def test_refusal_written_once_more_neither_promises_nor_repeats_anything(run_scenario):
    async def scenario(mesh):
        for machine in mesh.machines:
            machine.upstream.fault = "repeat-refusal"

        async def send(number):
            machine = mesh.machines[number % len(mesh.machines)]
            path = "/panels/exports/1" if number % 5 == 0 else "/panels/1"
            return await mesh.send(machine, path, f"r{number}", method="POST")

        results = await _send_many(mesh, send)
        repeated = sum(len(item.upstream.repeated_refusals) for item in mesh.machines)
        assert repeated >= REQUESTS // 10
        statuses = collections.Counter(status for status, *_ in results)
        assert statuses == {200: REQUESTS}
        for number, (_, body, _) in enumerate(results):
            assert mesh.count_runs(f"r{number}") == 1
            assert body.startswith(f"r{number}x".encode())

    run_scenario(scenario, config=_unsafe_config())

"""Node processes that recognize calls of their upstream and callers that return."""

import asyncio
import time

from standins.callers import Callers

DEADLINE_MS = 2000
LAYOUT = [("tablero", "a"), ("archivo", "a")]


async def _refuse_one(mesh, machine, name: str) -> tuple[float, float]:
    """Send a request until it is refused; return when it was sent, and Retry-After."""
    while True:
        sent_at = time.monotonic()
        status, _, headers = await mesh.send(
            machine, f"/panels/{name}", f"{name}-first", deadline_ms=DEADLINE_MS
        )
        if status == 503:
            return sent_at, float(headers["Retry-After"])


def _lines(mesh, machine, request_id: str) -> list[dict]:
    return [
        item
        for item in mesh.events(machine, "request")
        if item["hop"] == "entry" and item["request_id"] == request_id
    ]


async def _standing(mesh, machine, request_id: str) -> str:
    # The line is written after the response.
    await mesh.wait_until(lambda: _lines(mesh, machine, request_id))
    (line,) = _lines(mesh, machine, request_id)
    return line.get("standing", "new")


def test_callers_that_return_are_recognized_by_their_deadline(run_scenario):
    """Guards against a place in the queue that the node does not remember."""

    async def scenario(mesh):
        machine = mesh.machines[0]
        machine.upstream.slots, machine.upstream.service_time_s = 1, 0.3
        await mesh.register(machine)
        await asyncio.sleep(0.5)
        callers = Callers(mesh, mesh.machines[:1], deadline_ms=DEADLINE_MS)
        load = asyncio.create_task(callers.run(30, 5))
        await asyncio.sleep(0.5)

        async def come_back(name: str, early: bool) -> str:
            sent_at, wait_s = await _refuse_one(mesh, machine, name)
            await asyncio.sleep(0.0 if early else wait_s)
            left_ms = DEADLINE_MS - 1000 * (time.monotonic() - sent_at)
            await mesh.send(
                machine, f"/panels/{name}", name, deadline_ms=round(left_ms)
            )
            return await _standing(mesh, machine, name)

        assert await come_back("patient", early=False) == "returned"
        assert await come_back("hasty", early=True) == "early"
        await load
        await callers.finish()
        metrics = await mesh.metrics(machine)
        assert 'requests_by_standing{standing="returned"}' in metrics.replace(
            "_total", ""
        )

    run_scenario(scenario, layout=LAYOUT)

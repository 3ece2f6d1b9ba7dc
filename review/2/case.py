"""The open connections to the store go silent; the next version comes seconds late."""

import asyncio
import os
import time
from pathlib import Path

from review.common.mesh import Case, Machine, Mesh, a_rule
from review.common.proxy import SilencingProxy

# Whether the disruption takes place; the rest is the same without it.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CONFIG_APPLY_S = 2.0
STABLE_WINDOW_S = 3.0
NOT_FOUND = 404
PAUSE_S = 0.05


async def send_all(case: Case, mesh: Mesh, until: float) -> list[tuple[float, int]]:
    """Send requests on the new route to all nodes in turn until a time.

    :return: the time at which each was sent and the status of its answer, 0 for none.
    """
    tasks, number = [], 0
    while time.monotonic() < until:
        machine = mesh.machines[number % len(mesh.machines)]
        tasks.append(asyncio.create_task(send(case, mesh, machine, f"r{number:05d}")))
        number += 1
        await asyncio.sleep(PAUSE_S)
    return await asyncio.gather(*tasks)


async def send(
    case: Case, mesh: Mesh, machine: Machine, request_id: str
) -> tuple[float, int]:
    """Send a request on the new route and record its answer."""
    sent_at = time.monotonic()
    response = await mesh.send(machine, "/exports/7", request_id)
    status = response.status if response else 0
    case.note(f"sent {request_id} to {machine.name}", sent_at)
    case.note(f"answered {request_id} {status}")
    return sent_at, status


async def play(case: Case, mesh: Mesh) -> bool:
    """Return whether the new version is in force in time."""
    mesh.node_store_port = mesh.spare_port
    proxy = SilencingProxy(mesh.store_host, mesh.node_store_port, mesh.store_port)
    await mesh.start_store()
    await proxy.start()
    for zone in "abc":
        await mesh.add("tablero", zone)
        await mesh.add("tablero", zone)
        await mesh.add("archivo", zone)
    panels, exports = a_rule("panels", "tablero"), a_rule("exports", "archivo")
    await mesh.put_config(1, [panels])
    for machine in mesh.machines:
        await mesh.register(machine)
    await mesh.start_nodes()
    await mesh.wait_ready()
    await asyncio.sleep(1.0)
    # A calm change of each part of the store, after which the readers watch again.
    await mesh.put_config(3, [{**panels, "priority": 1}])
    await mesh.register(mesh.machines[0], cold_s=0.4)
    await asyncio.sleep(1.0)

    if case.trouble:
        case.note(f"{proxy.silence()} open connections to the store go silent")
    await asyncio.sleep(STABLE_WINDOW_S + 0.3)
    acknowledged_at = await mesh.put_config(7, [panels, exports])
    case.note("the store has acknowledged version r7", acknowledged_at)
    answers = await send_all(case, mesh, acknowledged_at + CONFIG_APPLY_S + 5.0)
    await proxy.stop()

    late = [
        sent_at - acknowledged_at
        for sent_at, status in answers
        if status == NOT_FOUND and sent_at > acknowledged_at + CONFIG_APPLY_S
    ]
    served = sum(status == 200 for _, status in answers)
    case.show(
        f"CONFIG: {len(late)} requests that were sent later than {CONFIG_APPLY_S:g} s"
        f" after the acknowledgement of a version got 404 though its route is there,"
        f" the last {max(late, default=0):.1f} s after ({served} were served)"
    )
    assert served, "no request was served"
    return not late


if __name__ == "__main__":
    Case(Path(__file__).parent, TROUBLE).run(play)

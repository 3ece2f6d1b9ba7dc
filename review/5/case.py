"""Two of eight upstreams leave at once without a report, and are used for too long."""

import asyncio
import os
import time
from pathlib import Path

from review.common.mesh import Case, Machine, Mesh, a_rule

# Whether the disruption takes place; the rest is the same without it.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0
PAUSE_S = 0.008
LEAVING = 2


async def send_all(case: Case, mesh: Mesh, until: list[float]) -> None:
    """Send safe requests to all nodes in turn until a time."""
    tasks, number = [], 0
    while time.monotonic() < until[0]:
        machine = mesh.machines[number % len(mesh.machines)]
        tasks.append(asyncio.create_task(send(case, mesh, machine, f"r{number:05d}")))
        number += 1
        await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*tasks)


async def send(case: Case, mesh: Mesh, machine: Machine, request_id: str) -> None:
    """Send a request and record its answer."""
    sent_at = time.monotonic()
    response = await mesh.send(machine, "/panels/7", request_id)
    status = response.status if response else "no answer"
    case.note(f"sent {request_id} to {machine.name}", sent_at)
    case.note(f"answered {request_id} {status}")


async def play(case: Case, mesh: Mesh) -> bool:
    """Return whether no request reaches an upstream after its time to drain."""
    await mesh.start_store()
    for number in range(8):
        await mesh.add("tablero", "abc"[number % 3])
    await mesh.put_config(1, [a_rule("panels", "tablero")])
    for machine in mesh.machines:
        await mesh.register(machine)
    await mesh.start_nodes()
    await mesh.wait_ready()
    until = [float("inf")]
    traffic = asyncio.create_task(send_all(case, mesh, until))
    await asyncio.sleep(4.0)

    # Without the trouble, the same upstreams leave one after the other.
    removed_at = {}
    for machine in mesh.machines[-LEAVING:]:
        removed_at[machine.upstream.name] = await mesh.unregister(machine)
        machine.upstream.leaving = True
        if not case.trouble:
            await asyncio.sleep(2 * DRAIN_S)
    until[0] = max(removed_at.values()) + DRAIN_S + 1.5
    await traffic
    late, before = [], 0
    for machine in mesh.machines[-LEAVING:]:
        gone_at = removed_at[machine.upstream.name]
        arrivals = [at - gone_at for at, _ in machine.upstream.arrivals]
        late += [after for after in arrivals if after > DRAIN_S]
        before += sum(after <= 0 for after in arrivals)
    case.show(
        f"DRAIN: {len(late)} requests reached an upstream later than {DRAIN_S:g} s"
        f" after the removal of its entry was acknowledged, the last"
        f" {max(late, default=0):.2f} s after ({before} reached them before)"
    )
    assert before, "no request reached the upstreams before"
    return not late


if __name__ == "__main__":
    Case(Path(__file__).parent, TROUBLE).run(play)

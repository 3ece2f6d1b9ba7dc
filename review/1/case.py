"""The store comes back from a copy; an upstream then drains and is used on."""

import asyncio
import time
from pathlib import Path

from review.common.mesh import Case, Machine, Mesh, a_rule

DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
# The store is away for this long, and its copy is this old when it comes back.
AWAY_S, COPY_AGE_S = 1.0, 3.0
HEARTBEAT_S = 1.5
PAUSE_S = 0.012


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
    """Return whether no request reaches the upstream after its time to drain."""
    await mesh.start_store()
    for zone in "abc":
        for _ in range(2):
            await mesh.add("tablero", zone)
    leaving = mesh.machines[-1]
    await mesh.put_config(1, [a_rule("panels", "tablero")])
    for machine in mesh.machines[:-1]:
        await mesh.register(machine)
    # This upstream has started a moment ago, so its entry still changes.
    await mesh.register(leaving, cold_s=2 * HEARTBEAT_S)
    await mesh.start_nodes()
    await mesh.wait_ready()
    until = [float("inf")]
    traffic = asyncio.create_task(send_all(case, mesh, until))
    await asyncio.sleep(2.0)

    copy = mesh.store.copy()
    copied_at = time.monotonic()
    await asyncio.sleep(0.2)
    await mesh.register(leaving, cold_s=HEARTBEAT_S)
    await asyncio.sleep(HEARTBEAT_S)
    await mesh.register(leaving)
    await asyncio.sleep(max(0.0, copied_at + COPY_AGE_S - AWAY_S - time.monotonic()))
    if case.trouble:
        case.note("the store goes away")
        mesh.store.go_down()
        await asyncio.sleep(AWAY_S)
        mesh.store.restore(copy)
        # What the upstreams wrote since the copy is written again.
        await mesh.register(leaving)
        mesh.store.down = False
        case.note(f"the store is back from a copy, revision {mesh.store.revision}")
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(STABLE_WINDOW_S + 2.0)

    drained_at = await mesh.register(leaving, state="draining")
    leaving.upstream.leaving = True
    case.note("the store has acknowledged that the upstream drains", drained_at)
    until[0] = drained_at + DRAIN_S + 4.0
    await traffic
    late = [at for at, _ in leaving.upstream.arrivals if at > drained_at + DRAIN_S]
    before = [at for at, _ in leaving.upstream.arrivals if at <= drained_at]
    last = max(late, default=drained_at) - drained_at
    case.show(
        f"DRAIN: {len(late)} requests reached {leaving.upstream.name} later than"
        f" {DRAIN_S:g} s after its leave was acknowledged, the last {last:.1f} s after"
        f" ({len(before)} reached it before)"
    )
    assert before, "no request reached the upstream before"
    return not late


if __name__ == "__main__":
    Case(Path(__file__).parent).run(play)

"""The store comes back from a copy; what is written to it next is never seen."""

import asyncio
import os
import time
from pathlib import Path

from review.common.mesh import Case, Machine, Mesh, a_rule

# Whether the disruption takes place; the rest is the same without it.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S, CONFIG_APPLY_S, STABLE_WINDOW_S = 2.0, 2.0, 3.0
# The store is away for this long, and its copy is this old when it goes away.
AWAY_S, COPY_AGE_S = 1.0, 2.5
HEARTBEAT_S = 1.5
PAUSE_S = 0.012
NOT_FOUND = 404


class Traffic:
    """Sends safe requests to all nodes in turn until it is told to end.

    :ivar answers: path, time of sending and status of each request, 0 for no answer.
    """

    def __init__(self, case: Case, mesh: Mesh):
        self._case = case
        self._mesh = mesh
        self.paths = ["/panels/7"]
        self.ends_at = float("inf")
        self.answers: list[tuple[str, float, int]] = []

    async def run(self) -> None:
        """Send requests."""
        tasks, number = [], 0
        while time.monotonic() < self.ends_at:
            machine = self._mesh.machines[number % len(self._mesh.machines)]
            turn = number // len(self._mesh.machines)
            path = self.paths[turn % len(self.paths)]
            tasks.append(asyncio.create_task(self._send(machine, path, number)))
            number += 1
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)

    async def _send(self, machine: Machine, path: str, number: int) -> None:
        request_id, sent_at = f"r{number:05d}", time.monotonic()
        response = await self._mesh.send(machine, path, request_id)
        status = response.status if response else 0
        self.answers.append((path, sent_at, status))
        self._case.note(f"sent {request_id} {path} to {machine.name}", sent_at)
        self._case.note(f"answered {request_id} {status}")


async def play(case: Case, mesh: Mesh) -> bool:
    """Return whether a new version and the leave of an upstream take effect in time."""
    await mesh.start_store()
    for zone in "abc":
        for _ in range(2):
            await mesh.add("tablero", zone)
    leaving = mesh.machines[-1]
    panels, exports = a_rule("panels", "tablero"), a_rule("exports", "tablero")
    await mesh.put_config(1, [panels])
    for machine in mesh.machines[:-1]:
        await mesh.register(machine)
    # This upstream has started a moment ago, so its entry still changes.
    await mesh.register(leaving, cold_s=2 * HEARTBEAT_S)
    await mesh.start_nodes()
    await mesh.wait_ready()
    traffic = Traffic(case, mesh)
    running = asyncio.create_task(traffic.run())
    await asyncio.sleep(2.0)

    copy = mesh.store.copy()
    copied_at = time.monotonic()
    await mesh.put_config(3, [{**panels, "priority": 1}])
    await asyncio.sleep(0.2)
    await mesh.register(leaving, cold_s=HEARTBEAT_S)
    await asyncio.sleep(HEARTBEAT_S)
    await mesh.register(leaving)
    await asyncio.sleep(max(0.0, copied_at + COPY_AGE_S - time.monotonic()))
    if case.trouble:
        case.note("the store goes away")
        mesh.store.go_down()
        await asyncio.sleep(AWAY_S)
        mesh.store.restore(copy)
        mesh.store.down = False
        case.note(f"the store is back from a copy, revision {mesh.store.revision}")
        # The operator writes a new version, the upstream its entry again.
        changed_at = await mesh.put_config(7, [panels, exports])
        await mesh.register(leaving)
    else:
        await asyncio.sleep(AWAY_S)
        changed_at = await mesh.put_config(7, [panels, exports])
    traffic.paths.append("/exports/7")
    await asyncio.sleep(STABLE_WINDOW_S + 2.0)
    stable_at = changed_at + max(STABLE_WINDOW_S, CONFIG_APPLY_S)

    drained_at = await mesh.register(leaving, state="draining")
    leaving.upstream.leaving = True
    case.note("the store has acknowledged that the upstream drains", drained_at)
    traffic.ends_at = drained_at + DRAIN_S + 4.0
    await running
    return report(case, traffic, leaving, changed_at, stable_at, drained_at)


def report(case, traffic, leaving, changed_at, stable_at, drained_at) -> bool:
    """Show what was late and return whether nothing was."""
    exports = [item for item in traffic.answers if item[0] == "/exports/7"]
    missed = [
        sent_at - changed_at
        for _, sent_at, status in exports
        if status == NOT_FOUND and sent_at > stable_at
    ]
    case.show(
        f"CONFIG: {len(missed)} of {len(exports)} requests got 404 though their route"
        f" is there, the last {max(missed, default=0):.1f} s after the acknowledgement"
        f" (those sent in its first {stable_at - changed_at:g} s don't count)"
    )
    late = [at for at, _ in leaving.upstream.arrivals if at > drained_at + DRAIN_S]
    before = [at for at, _ in leaving.upstream.arrivals if at <= drained_at]
    last = max(late, default=drained_at) - drained_at
    case.show(
        f"DRAIN: {len(late)} requests reached {leaving.upstream.name} later than"
        f" {DRAIN_S:g} s after its leave was acknowledged, the last {last:.1f} s after"
        f" ({len(before)} reached it before)"
    )
    assert before, "no request reached the upstream before"
    return not late and not missed


if __name__ == "__main__":
    Case(Path(__file__).parent, TROUBLE).run(play)

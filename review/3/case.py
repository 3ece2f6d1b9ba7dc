"""A connection is closed with a finished answer on it since an earlier one is slow."""

import asyncio
import os
import time
from pathlib import Path

from review.common.http import read_message, send_request
from review.common.mesh import HOST, Case, Machine, Mesh, a_rule

# Whether the disruption takes place; the rest is the same without it.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"drain_s": 3, "grace_s": 10, "config_apply_s": 3, "stable_window_s": 4}
# Work, objective, timeouts and deadline of the large deployment: its downloads, which
# have no shorter timeout than their deadline, and its safe requests.
DOWNLOAD_WORK_S, SAFE_WORK_S = 0.6, 0.65
OBJECTIVE_S, DOWNLOAD_TIMEOUT_S, SAFE_TIMEOUT_S, DEADLINE_MS = 2.0, 8.0, 4.0, 8000
SLOW_FACTOR = 12.0
CONNECTIONS = 12
# A machine in touch may close so many connections without an answer.
ALLOWED = 3


async def pipeline(case: Case, mesh: Mesh, machine: Machine, number: int) -> int:
    """Send a download and a safe request on one connection.

    :return: number of answers.
    """
    reader, writer = await asyncio.open_connection(machine.host, mesh.outbound_port)
    for name in ("exports", "panels"):
        headers = {
            "Host": HOST,
            "X-Request-Id": f"{name}-{number}",
            "X-Deadline-Ms": str(DEADLINE_MS),
        }
        send_request(writer, "GET", f"/{name}/7", headers, b"")
        case.note(f"sent {name}-{number} to {machine.name}")
    answered = 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000 + 1):
            while answered < 2 and (message := await read_message(reader)):
                answered += 1
                request_id = message.headers.get("x-request-id")
                case.note(f"answered {request_id} {message.status}")
    except (OSError, asyncio.IncompleteReadError):
        case.note(f"connection {number} ended within an answer")
    except TimeoutError:
        case.note(f"connection {number} is still open after the deadline")
        return 2
    if answered < 2:
        case.note(f"connection {number} ended after {answered} answers")
    writer.close()
    return answered


async def play(case: Case, mesh: Mesh) -> bool:
    """Return whether few connections are closed without an answer."""
    await mesh.start_store()
    for zone in "abc":
        await mesh.add("archivo", zone)
        await mesh.add("tablero", zone)
    for machine in mesh.machines:
        is_archive = machine.upstream.service == "archivo"
        work_s = DOWNLOAD_WORK_S if is_archive else SAFE_WORK_S
        machine.upstream.work_s = lambda path, work_s=work_s: work_s
    objective = {"target_latency_s": OBJECTIVE_S}
    timeout_s = DOWNLOAD_TIMEOUT_S
    exports = a_rule("exports", "archivo", "download", timeout_s=timeout_s, **objective)
    panels = a_rule("panels", "tablero", timeout_s=SAFE_TIMEOUT_S, **objective)
    await mesh.put_config(1, [exports, panels])
    for machine in mesh.machines:
        await mesh.register(machine)
    await mesh.start_nodes()
    await mesh.wait_ready()
    await asyncio.sleep(1.0)
    entry = mesh.machines[0]
    for path in ("/exports/1", "/panels/1"):
        for number in range(4):
            await mesh.send(entry, path, f"warm{path}{number}", DEADLINE_MS)
    await asyncio.sleep(4.0)

    if case.trouble:
        case.note(f"upstream {entry.upstream.name} turns slow")
        entry.upstream.work_s = lambda path: SLOW_FACTOR * DOWNLOAD_WORK_S
    began = time.monotonic()
    answered = await asyncio.gather(
        *(pipeline(case, mesh, entry, number) for number in range(CONNECTIONS))
    )
    case.note(f"took {time.monotonic() - began:.1f} s")
    ran = set()
    for machine in mesh.machines:
        if machine.upstream.service == "tablero":
            ran |= set(machine.upstream.runs)
    closed = [
        number
        for number, count in enumerate(answered)
        if count < 2 and f"panels-{number}" in ran
    ]
    case.show(
        f"LOST: {len(closed)} of {CONNECTIONS} connections were closed without the"
        f" answer to a request that a sound upstream had run ({ALLOWED} may be)"
    )
    return len(closed) <= ALLOWED


if __name__ == "__main__":
    Case(Path(__file__).parent, TROUBLE).run(play, BOUNDS)

"""Callers of the soak that do not wait for a response before the next request."""

__all__ = ["run_pipelining_caller"]

import asyncio
import random
import time
from collections import deque
from typing import TYPE_CHECKING

from benchmarks.promises import Call
from standins.callers import PipeliningCaller

if TYPE_CHECKING:
    from benchmarks.soak import Soak

MAX_REQUESTS = 40
DEADLINES_MS = (600, 1000, 2000)
# Fraction of requests that follow a pause, and the ranges of this pause and of the one
# before a body.
PAUSE_FRACTION, PAUSE_RANGE_S, BODY_PAUSE_RANGE_S = 0.3, (0.0, 0.1), (0.0, 0.05)
CONNECT_PAUSE_S = 0.1
# Time that a caller waits for its responses after the deadline of its last request.
EXTRA_WAIT_S = 4.0


async def run_pipelining_caller(soak: "Soak", worker: int, end: float) -> None:
    """Send requests on one connection after the other until the end.

    All requests of a connection have the same time, so that none waits for an earlier
    one beyond its own deadline.
    """
    rng, number = random.Random(f"{soak.seed}-{worker}"), 0
    while time.monotonic() < end:
        machine = rng.choice(soak.mesh.machines)
        try:
            caller = await PipeliningCaller.connect(machine)
        except OSError:
            await asyncio.sleep(CONNECT_PAUSE_S)
            continue
        deadline_ms = rng.choice(DEADLINES_MS)
        pending: deque[Call] = deque()
        reading = asyncio.create_task(_read(soak, caller, pending))
        for _ in range(rng.randint(1, MAX_REQUESTS)):
            if reading.done() and not reading.result():
                break
            number += 1
            call = soak.begin_call(f"p{worker}-{number}", machine, deadline_ms)
            pending.append(call)
            method, path, body = call.sent
            caller.send(method, path, call.request_id, deadline_ms, len(body))
            if body:
                await asyncio.sleep(rng.uniform(*BODY_PAUSE_RANGE_S))
                caller.send_body(body)
            if reading.done() and reading.result():
                reading = asyncio.create_task(_read(soak, caller, pending))
            if rng.random() < PAUSE_FRACTION:
                await asyncio.sleep(rng.uniform(*PAUSE_RANGE_S))
        await _wait(reading, deadline_ms / 1000 + EXTRA_WAIT_S)
        caller.close()
        broke_off = any(call.truncated for call in pending)
        for call in pending:
            call.behind_truncated = broke_off
            soak.end_call(call)


async def _wait(reading: asyncio.Task, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await reading
    except TimeoutError:
        return


async def _read(soak: "Soak", caller: PipeliningCaller, pending: deque[Call]) -> bool:
    """Read a response for each pending request; return whether all have come.

    If a response breaks off, the connection ends with it, and so do those behind it.
    """
    while pending:
        call = pending[0]
        try:
            status, headers = await caller.read_head()
        except (asyncio.IncompleteReadError, ConnectionError):
            return False
        call.signature = headers.get("x-response-signature", "")
        call.echoed_id = headers.get("x-request-id", "")
        call.truncated = True
        try:
            call.body = await caller.reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError, KeyError):
            # Responses without end have no length.
            return False
        call.status, call.truncated = status, False
        soak.end_call(pending.popleft())
    return True

"""A node that is stopped in calm: each request that it passes on gets its response."""

import asyncio
import itertools
import random
import signal
import time

import pytest

from ragwortferry.tests.mesh_builders import a_config_with_routes
from standins.callers import PipeliningCaller

# Time between the signal and the end of the process, in the settings of the mesh.
GRACE_S = 6.0
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
def test_stopping_node_answers_requests_that_come_behind_a_slow_one(
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
        assert statuses == {"slow": 200, "quick": 200, "behind": 200}
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


@pytest.mark.parametrize("deadline_ms", [10_000, None])
def test_stopping_node_refuses_requests_that_are_due_after_its_end(
    run_scenario, deadline_ms
):
    """Guards against requests that are accepted late and cut at the end."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        caller = await PipeliningCaller.connect(stopping)
        end = await _begin_stop(mesh, stopping)
        caller.send("POST", "/panels/1", "late", deadline_ms)
        status, headers = await caller.read_head()
        assert status == 503 and float(headers["retry-after"]) > 0
        assert not mesh.count_runs("late")
        assert await end == 0
        caller.close()

    run_scenario(scenario, config=a_config_with_routes("unsafe", 10))


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_from_before_the_signal_that_cannot_end_is_answered(
    run_scenario, method
):
    """Guards against callers that learn from a closed connection that a node ended."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        mesh.machines[2].upstream.service_time_s = 9.0
        caller = await PipeliningCaller.connect(stopping)
        caller.send(method, EXPORT, "slow", 10_000)
        await mesh.wait_until(lambda: mesh.count_runs("slow"))
        end = await _begin_stop(mesh, stopping)
        statuses = await caller.read_responses()
        assert statuses["slow"] in (502, 504)
        assert await end == 0
        caller.close()

    config = a_config_with_routes("safe" if method == "GET" else "unsafe", 12)
    run_scenario(scenario, config=config)


def test_queued_request_that_cannot_start_before_the_end_is_answered(run_scenario):
    """Guards against callers that are not told that their request has not run."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        mesh.machines[2].upstream.service_time_s = 9.0
        callers = [await PipeliningCaller.connect(stopping) for _ in range(12)]
        for number, caller in enumerate(callers):
            caller.send("POST", EXPORT, f"r{number}", 20_000)
        await mesh.wait_until(lambda: mesh.machines[2].upstream.running == 8)
        end = await _begin_stop(mesh, stopping)
        statuses = {}
        for caller in callers:
            statuses |= await caller.read_responses()
            caller.close()
        assert await end == 0
        for number in range(12):
            assert statuses[f"r{number}"] in (502, 503, 504)
            if statuses[f"r{number}"] == 503:
                assert mesh.count_runs(f"r{number}") == 0

    run_scenario(scenario, config=a_config_with_routes("unsafe", 20))


class _Pressing:
    """Callers that send requests to a node until its process has ended.

    Some of the deadlines lie around the end of the grace time.

    :param count: number of callers; each waits for its response.
    """

    def __init__(self, mesh, machine, method: str, count: int):
        self._mesh = mesh
        self._machine = machine
        self._method = method
        self._signalled_at = float("inf")
        self._callers = [asyncio.create_task(self._press(n)) for n in range(count)]
        self.statuses: dict[str, int] = {}

    async def _press(self, number: int) -> None:
        rng = random.Random(number)
        for step in itertools.count():
            name = f"r{number}-{step}"
            now = time.monotonic()
            left_s = self._signalled_at + GRACE_S - now - rng.uniform(0.4, 0.8)
            deadline_s = left_s if 0.45 < left_s < 1.4 else 0.9
            status, _, headers = await self._mesh.send(
                self._machine,
                "/panels/1",
                name,
                deadline_ms=round(1000 * deadline_s),
                method=self._method,
            )
            self.statuses[name] = status
            if status == 0:
                return
            if status == 503:
                await asyncio.sleep(float(headers.get("Retry-After", 0.1)))

    async def stop(self) -> float:
        """Stop the node, and return how long it took."""
        self._signalled_at = time.monotonic()
        assert await self._mesh.stop_node(self._machine) == 0
        took_s = time.monotonic() - self._signalled_at
        await asyncio.gather(*self._callers)
        return took_s

    @property
    def cut(self) -> list[str]:
        """Return the requests that ran and got no response."""
        return [
            name
            for name, status in self.statuses.items()
            if status == 0 and self._mesh.count_runs(name)
        ]


async def _suspend(machine, stopped_s: float, running_s: float) -> None:
    """Suspend a node again and again until it has ended, as a CPU quota does."""
    while machine.process.returncode is None:
        machine.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(stopped_s)
        if machine.process.returncode is None:
            machine.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(running_s)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_stopping_node_with_a_third_of_a_core_cuts_no_request(run_scenario, method):
    """Guards against responses that are due before the end and are sent after it."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        for machine in mesh.machines:
            machine.upstream.service_time_s = 0.4
        pressing = _Pressing(mesh, stopping, method, 24)
        throttling = asyncio.create_task(_suspend(stopping, 0.07, 0.03))
        await mesh.wait_until(lambda: len(pressing.statuses) > 24)
        assert await pressing.stop() < GRACE_S
        await throttling
        assert not pressing.cut and list(pressing.statuses.values()).count(200) > 24

    config = a_config_with_routes("safe" if method == "GET" else "unsafe", 2)
    run_scenario(scenario, config=config)


def test_node_that_was_suspended_when_the_signal_came_ends_in_time(run_scenario):
    """Guards against requests that are accepted for a time after the kill."""

    async def scenario(mesh):
        stopping = mesh.machines[0]
        for machine in mesh.machines:
            machine.upstream.service_time_s = 0.4
        pressing = _Pressing(mesh, stopping, "POST", 12)
        await mesh.wait_until(lambda: len(pressing.statuses) > 12)
        stopping.process.send_signal(signal.SIGSTOP)
        end = asyncio.create_task(pressing.stop())
        await asyncio.sleep(1.5)
        stopping.process.send_signal(signal.SIGCONT)
        assert await end < GRACE_S
        assert not pressing.cut

    run_scenario(scenario, config=a_config_with_routes("unsafe", 2))

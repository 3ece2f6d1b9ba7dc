"""What callers get if an upstream's responses break the protocol."""

import asyncio
import collections
import signal
import time

import pytest

from ragwortferry.tests.mesh_builders import a_config
from standins.mesh import OUTBOUND_PORT
from standins.network import Network

REQUESTS, CONCURRENT = 240, 8


PIPELINED, BATCHES = 4, 60
RESET_INTERVAL_S = 0.15
# More than a node buffers before it begins to send a response.
MANY_BYTES = 8 * 2**20
# Time after the deadline by which the users want each request answered.
MAX_LATENESS_S = 0.5


def _config(route_type: str) -> dict:
    config = a_config()
    for rule in config["listeners"][0]["rules"]:
        rule["route_type"] = route_type
    return config


def _path(number: int) -> str:
    return "/panels/exports/1" if number % 5 == 0 else "/panels/1"


async def _send_many(mesh, send) -> list:
    """Return the results of ``send(number)`` for all requests, some at a time."""
    semaphore = asyncio.Semaphore(CONCURRENT)

    async def limited(number):
        async with semaphore:
            return await send(number)

    return await asyncio.gather(*(limited(number) for number in range(REQUESTS)))


def test_refusal_written_once_more_neither_promises_nor_repeats_anything(run_scenario):
    async def scenario(mesh):
        _set_fault(mesh, "repeat-refusal")

        async def send(number):
            machine = mesh.machines[number % len(mesh.machines)]
            return await mesh.send(machine, _path(number), f"r{number}", method="POST")

        results = await _send_many(mesh, send)
        repeated = sum(len(item.upstream.repeated_refusals) for item in mesh.machines)
        assert repeated >= REQUESTS // 10
        statuses = collections.Counter(status for status, *_ in results)
        assert statuses == {200: REQUESTS}
        for number, (_, body, _) in enumerate(results):
            assert mesh.count_runs(f"r{number}") == 1
            assert body.startswith(f"r{number}x".encode())

    run_scenario(scenario, config=_config("unsafe"))


def _set_fault(mesh, fault: str) -> None:
    for machine in mesh.machines:
        machine.upstream.fault = fault


async def _reset_links(mesh) -> None:
    """Reset the links to one node after the other."""
    while True:
        for machine in mesh.machines:
            await asyncio.sleep(RESET_INTERVAL_S)
            machine.link_proxy.reset()


@pytest.mark.parametrize("links", ["kept", "reset"])
@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
def test_response_cut_in_its_head_is_no_success_and_promises_nothing(
    run_scenario, route_type, links
):
    async def scenario(mesh):
        _set_fault(mesh, "cut-head")

        async def send(number):
            machine = mesh.machines[number % len(mesh.machines)]
            method = "POST" if number % 2 else "GET"
            return await mesh.send(machine, _path(number), f"r{number}", method=method)

        resets = asyncio.create_task(_reset_links(mesh)) if links == "reset" else None
        results = await _send_many(mesh, send)
        if resets is not None:
            resets.cancel()
        for number, (status, body, headers) in enumerate(results):
            request_id = f"r{number}"
            runs = mesh.count_runs(request_id)
            if status == 200:
                expected = mesh.machines[0].upstream.response_body(request_id)
                assert body == expected and "X-Response-Signature" in headers
            if status == 503:
                assert runs == 0
            if route_type == "unsafe":
                assert runs <= 1
        statuses = collections.Counter(status for status, *_ in results)
        assert set(statuses) <= {200, 502, 503}
        assert statuses[200] >= REQUESTS // 4 and statuses[502]

    run_scenario(scenario, config=_config(route_type), network=Network())


async def _read_response(reader) -> tuple[int, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    status, *lines = head.split("\r\n")[:-2]
    headers = dict(line.lower().split(": ", 1) for line in lines)
    body = await reader.readexactly(int(headers["content-length"]))
    return int(status.split()[1]), headers, body


@pytest.mark.parametrize("links", ["kept", "reset"])
def test_pipelined_responses_stay_in_order_beside_responses_cut_in_their_head(
    run_scenario, links
):
    async def scenario(mesh):
        _set_fault(mesh, "cut-head")
        resets = asyncio.create_task(_reset_links(mesh)) if links == "reset" else None
        statuses = collections.Counter()

        async def send_batch(batch):
            machine = mesh.machines[batch % len(mesh.machines)]
            reader, writer = await asyncio.open_connection(machine.host, OUTBOUND_PORT)
            ids = [f"b{batch}-{number}" for number in range(PIPELINED)]
            for number, request_id in enumerate(ids):
                head = (
                    f"GET {_path(number)} HTTP/1.1\r\nHost: boards.example\r\n"
                    f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: 2000\r\n\r\n"
                )
                writer.write(head.encode())
            for request_id in ids:
                status, headers, body = await _read_response(reader)
                assert headers["x-request-id"] == request_id
                if status == 200:
                    assert body == mesh.machines[0].upstream.response_body(request_id)
                statuses[status] += 1
            writer.close()

        for batch in range(0, BATCHES, 4):
            await asyncio.gather(*(send_batch(batch + n) for n in range(4)))
        if resets is not None:
            resets.cancel()
        assert set(statuses) <= {200, 502, 503}
        assert statuses.total() == BATCHES * PIPELINED and statuses[200]

    run_scenario(scenario, config=_config("safe"), network=Network())


@pytest.mark.parametrize("proxied", [False, True])
def test_response_without_length_of_an_upstream_that_crashes_is_not_complete(
    run_scenario, proxied
):
    async def scenario(mesh):
        upstream = mesh.machines[2].upstream
        upstream.fault = "endless-body"
        request = asyncio.create_task(
            mesh.send(mesh.machines[0], "/panels/exports/1", "r1", deadline_ms=5000)
        )
        await mesh.wait_until(lambda: upstream.endless_bytes["r1"] > MANY_BYTES)
        await upstream.crash()
        status, *_ = await request
        assert status == 0

    run_scenario(scenario, network=Network() if proxied else None)


@pytest.mark.parametrize("link_mbps, deadline_s", [(1000.0, 0.6), (4.0, 8.0)])
def test_long_response_ends_soon_after_its_deadline_if_its_owner_falls_silent(
    run_scenario, link_mbps, deadline_s
):
    async def scenario(mesh):
        owner = mesh.machines[2]
        owner.upstream.fault = "endless-body"
        started_at = time.monotonic()
        request = asyncio.create_task(
            mesh.send(
                mesh.machines[0],
                "/panels/exports/1",
                "r1",
                deadline_ms=1000 * deadline_s,
            )
        )
        await asyncio.sleep(deadline_s - 0.05)
        owner.process.send_signal(signal.SIGSTOP)
        status, *_ = await request
        assert time.monotonic() - started_at <= deadline_s + MAX_LATENESS_S
        assert status == 0

    config = _config("safe")
    for rule in config["listeners"][0]["rules"]:
        rule["action"]["timeout_s"] = 10
    run_scenario(scenario, config=config, link_mbps=link_mbps)

"""A process that is stopped: each request that it accepts gets its response."""

import asyncio
import signal
import socket

from ragwortferry.requests.tests.test_processes import count_runs, pay
from ragwortferry.tests.builders import run
from ragwortferry.tests.fleets import build_document, running
from standins.fleet import wait_until

TIMEOUT_S = 15.0
ENTRY = "tablero-1"
SIZE = 6_000_000


async def _stop(fleet, name):
    fleet.signal(name, signal.SIGTERM)

    async def draining():
        return fleet.events(name, "leaving")

    await wait_until(draining, TIMEOUT_S, f"{name} drains")


def test_stopping_process_refuses_requests_that_it_would_abort(tmp_path):
    """Guards against requests that run and are aborted when draining times out."""

    async def scenario():
        document = build_document(3, timeout_ms=8000)
        settings = {"leave_s": 1.0, "drain_s": 2.0}
        async with running(
            tmp_path, 3, zones=1, document=document, **settings
        ) as fleet:
            await _stop(fleet, ENTRY)
            path = "/tablero/pay?delay_ms=6000"
            refused = asyncio.ensure_future(pay(fleet, "late", path=path))
            headers = {"X-Request-Id": "soon", "X-Request-Timeout-Ms": "1500"}
            soon = await fleet.call(ENTRY, "POST", "/tablero/pay", headers=headers)
            assert soon.headers["X-Ragwortferry-Outcome"] == "ran"
            assert await refused == "not-run" and not count_runs(fleet, "late")
            process = fleet.nodes[ENTRY].process
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0

    run(scenario())


def test_stopping_process_waits_for_a_caller_that_reads_slowly(tmp_path):
    async def scenario():
        async with running(tmp_path, 2, zones=1) as fleet:
            instance = fleet.nodes[ENTRY].instance
            sock = socket.socket()
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
            loop = asyncio.get_running_loop()
            await loop.sock_connect(sock, (instance.host, instance.listen_port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=16_384)
            writer.write(
                f"GET /tablero/x?bytes={SIZE} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
            )
            await reader.readuntil(b"\r\n\r\n")
            await _stop(fleet, ENTRY)
            for _ in range(40):
                await reader.readexactly(SIZE // 40)
                await asyncio.sleep(0.05)
            process = fleet.nodes[ENTRY].process
            assert await asyncio.wait_for(process.wait(), TIMEOUT_S) == 0
            writer.close()

    run(scenario())

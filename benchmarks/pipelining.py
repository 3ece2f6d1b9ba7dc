"""Compares the HTTP server with aiohttp's under pipelined requests.

Callers send several requests on a connection before the first response; each request
has a fixed service time. The servers are measured in turns. Prints as its last line one
JSON object with the ratios of this server to aiohttp's.
"""

import asyncio
import json
import statistics
import time

import fire
import uvloop
from aiohttp import web

from ragwortferry.http1.server import Server

SERVICE_TIME_S = 0.02
HOST = "127.0.0.1"
OWN_PORT, AIOHTTP_PORT = 18301, 18302
END_OF_HEADERS = b"\r\n\r\n"


async def _handle_own(exchange) -> None:
    if exchange.request.path == "/work":
        await asyncio.sleep(SERVICE_TIME_S)
    exchange.respond(200, [], b"ok")


async def _handle_aiohttp(request) -> web.Response:
    if request.path == "/work":
        await asyncio.sleep(SERVICE_TIME_S)
    return web.Response(body=b"ok")


async def _batch(port: int, path: str, depth: int) -> float:
    """Send a batch on one connection and return the time until its last response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    started_at = time.perf_counter()
    writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode() * depth)
    for _ in range(depth):
        await reader.readuntil(END_OF_HEADERS)
        await reader.readexactly(2)
    elapsed_s = time.perf_counter() - started_at
    writer.close()
    return elapsed_s


async def _measure(port: int, depth: int, connections: int) -> tuple[float, float]:
    """Return the median time of a batch and the CPU seconds of 1,000 requests."""
    batches = [_batch(port, "/work", depth) for _ in range(connections)]
    median = statistics.median(await asyncio.gather(*batches))
    started_at = time.process_time()
    for _ in range(20):
        await _batch(port, "/", 50)
    return median, time.process_time() - started_at


async def _main(depth: int, connections: int, turns: int) -> dict:
    server = Server(_handle_own, HOST, OWN_PORT)
    await server.start()
    runner = web.ServerRunner(web.Server(_handle_aiohttp, access_log=None))
    await runner.setup()
    await web.TCPSite(runner, HOST, AIOHTTP_PORT).start()
    figures = {OWN_PORT: [], AIOHTTP_PORT: []}
    for _ in range(turns):
        for port, values in figures.items():
            values.append(await _measure(port, depth, connections))
    await server.stop()
    await runner.cleanup()

    def median(port: int, number: int) -> float:
        return statistics.median(value[number] for value in figures[port])

    return {
        "depth": depth,
        "batch_ms": round(median(OWN_PORT, 0) * 1000, 1),
        "batch_ms_aiohttp": round(median(AIOHTTP_PORT, 0) * 1000, 1),
        "batch_ratio": round(median(OWN_PORT, 0) / median(AIOHTTP_PORT, 0), 3),
        "processor_ratio": round(median(OWN_PORT, 1) / median(AIOHTTP_PORT, 1), 3),
    }


def run(depth: int = 8, connections: int = 20, turns: int = 5) -> None:
    """Run the benchmark.

    :param depth: pipelined requests of a connection
    :param connections: concurrent connections
    :param turns: measurements of each server
    """
    print(json.dumps(uvloop.run(_main(depth, connections, turns))))


if __name__ == "__main__":
    fire.Fire(run)

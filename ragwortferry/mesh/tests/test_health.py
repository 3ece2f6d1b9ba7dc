"""Health checks over connections that have carried requests."""

import asyncio

from ragwortferry.http1.client import Pool
from ragwortferry.mesh.admission.health import check_health
from ragwortferry.utils.sockets import Address


def _response(status: int, *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Any", *headers, "Content-Length: 0"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_late_response_to_a_request_is_not_taken_for_a_health_response():
    async def scenario():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(_response(503, "X-Request-Id: r1", "X-Not-Executed: 1"))
            writer.write(_response(200, "X-Request-Id: r1", "Server-Leaving: 1"))
            writer.write(_response(200, "X-Cold-Remaining-Ms: 1500"))

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        pool = Pool(Address(host, port))
        stated = await check_health(pool, "a", "/health")
        assert stated.cold_s == 1.5 and not stated.leaving
        pool.clear()
        server.close()

    asyncio.run(scenario())

"""Callers that read slowly: which are disconnected, and what memory they cost."""

import asyncio

import pytest

from ragwortferry.http1.backlog import STALL_S, Backlog
from ragwortferry.http1.server import Server

LIMIT_BYTES = 2_000_000
BODY = b"x" * 400_000


def test_caller_that_takes_something_now_and_then_is_kept():
    """Guards against the end of a long response to a caller on a slow network."""
    backlog = Backlog(LIMIT_BYTES)
    for step in range(40):
        assert backlog.observe({"slow": (400_000, 1000 * step)}, step * 0.5) == []


def test_caller_that_takes_nothing_is_disconnected_after_a_while():
    backlog = Backlog(LIMIT_BYTES)
    closed, now = [], 0.0
    while not closed:
        closed = backlog.observe({"dead": (400_000, 0)}, now)
        now += 0.5
    assert closed == ["dead"] and STALL_S < now <= STALL_S + 1.5


def test_largest_are_disconnected_first_and_small_ones_never():
    backlog = Backlog(LIMIT_BYTES)
    held = {f"small-{n}": (10_000, 0) for n in range(50)}
    held |= {"large-1": (900_000, 0), "large-2": (1_500_000, 0)}
    assert backlog.observe(held, 0.0) == ["large-2"]
    assert backlog.size <= LIMIT_BYTES


@pytest.mark.parametrize("callers", [3, 30])
def test_callers_that_never_read_do_not_grow_the_memory(callers):
    """Guards against a process that is killed since callers pipeline and never read."""

    async def main():
        async def handle(exchange):
            exchange.respond(200, [], BODY)

        server = Server(handle, "127.0.0.1", 0, held_limit_bytes=LIMIT_BYTES)
        await server.start()
        port = server._listener.sockets[0].getsockname()[1]
        writers, most = [], 0
        for _ in range(callers):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1)
            writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * 40)
            writers.append(writer)
        for _ in range(3):
            await asyncio.sleep(0.6)
            most = sum(connection.held_bytes for connection in server.connections)
        assert server.stalled > 0 and most <= LIMIT_BYTES
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"200" in head and await reader.readexactly(len(BODY)) == BODY
        for item in [*writers, writer]:
            item.close()
        await server.stop()

    asyncio.run(main())

"""Responses of a target whose connection ends early, with the loop of the program."""

import asyncio
import socket
import struct

import aiohttp
import pytest
from yarl import URL

from ragwortferry.requests.pool import Pool
from ragwortferry.tests.builders import run
from ragwortferry.tests.fleets import running
from ragwortferry.utils.loop import NoResolverLoop
from standins.target import Behaviour

LINGER_NONE = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
HEAD_1_0 = b"HTTP/1.0 200 OK\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffff\r\n"
SIZED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"


def read_response(head, size, reset, **options):
    """Send a response and end its connection; return its body as read by a pool.

    :param size: bytes of the body to send.
    :param reset: whether the connection is reset, instead of closed in order.
    """

    async def scenario():
        loop = asyncio.get_running_loop()
        pool = Pool("127.0.0.1", **options)
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            url = f"http://127.0.0.1:{server.getsockname()[1]}/"
            request = loop.create_task(pool.request("GET", url))
            target, _ = await loop.sock_accept(server)
            with target:
                target.setblocking(False)
                await loop.sock_recv(target, 65_536)
                sent = target.send(head + b"x" * size)
                if reset:
                    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            try:
                async with asyncio.timeout(5):
                    pooled = await request
                    try:
                        body = await pooled.response.read()
                    finally:
                        pooled.close(complete=False)
            finally:
                await pool.close()
        assert len(body) == sent - len(head)

    loop = NoResolverLoop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


@pytest.mark.parametrize("force_close", [False, True])
@pytest.mark.parametrize("head", [HEAD, HEAD_1_0])
@pytest.mark.parametrize("size", [1, 1000, 65_536, 200_000])
def test_response_without_length_that_is_reset_is_not_complete(size, head, force_close):
    """Guards against a reset that is read as the end of the response."""
    with pytest.raises(aiohttp.ClientError):
        read_response(head, size, reset=True, force_close=force_close)


@pytest.mark.parametrize("head", [HEAD, HEAD_1_0])
@pytest.mark.parametrize("size", [0, 1, 1000, 65_536, 200_000])
def test_response_without_length_that_ends_in_order_is_complete(size, head):
    read_response(head, size, reset=False)


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("head", [CHUNKED_HEAD, SIZED_HEAD])
@pytest.mark.parametrize("size", [0, 1, 1000, 65_536])
def test_response_that_ends_before_its_length_is_not_complete(size, head, reset):
    with pytest.raises(aiohttp.ClientError):
        read_response(head, size, reset)


def test_truncated_response_to_an_http_1_0_caller_ends_with_a_reset(tmp_path):
    """Guards against a truncation that the caller takes for the end of the body."""

    async def scenario():
        async with running(tmp_path, 1, zones=1) as fleet:
            node = fleet.nodes["tablero-1"]
            node.target.behaviour = Behaviour(cut=True)
            url = URL(node.url)
            reader, writer = await asyncio.open_connection(url.host, url.port)
            path = f"/tablero/x?bytes={3 * 2**20}"
            try:
                writer.write(f"GET {path} HTTP/1.0\r\n\r\n".encode())
                with pytest.raises(ConnectionResetError):
                    async with asyncio.timeout(5):
                        await reader.read()
            finally:
                writer.close()

    run(scenario())

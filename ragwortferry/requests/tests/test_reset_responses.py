"""Responses of a target without a length whose connection is reset."""

import asyncio
import socket
import struct

import aiohttp
import pytest

from ragwortferry.utils.loop import NoResolverLoop

LINGER_NONE = struct.pack("ii", 1, 0)


def test_response_without_length_that_is_reset_is_not_complete():
    """Guards against a reset that is read as the end of the response."""

    async def scenario():
        loop = asyncio.get_running_loop()
        with socket.create_server(("127.0.0.1", 0)) as server:
            server.setblocking(False)
            url = f"http://127.0.0.1:{server.getsockname()[1]}/"
            async with aiohttp.ClientSession() as session:
                request = loop.create_task(session.get(url))
                target, _ = await loop.sock_accept(server)
                with target:
                    target.setblocking(False)
                    await loop.sock_recv(target, 65_536)
                    target.send(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 1000)
                    target.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
                with pytest.raises(aiohttp.ClientError):
                    async with asyncio.timeout(5):
                        response = await request
                        await response.read()

    loop = NoResolverLoop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()

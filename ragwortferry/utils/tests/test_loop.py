"""What the event loop does with descriptors."""

import asyncio
import contextlib
import os
import socket
from pathlib import Path

from ragwortferry.utils.loop import NoResolverLoop
from ragwortferry.utils.sockets import Address, connected_socket


def _run(scenario):
    loop = NoResolverLoop()
    try:
        return loop.run_until_complete(scenario())
    finally:
        loop.close()


def test_loop_uses_no_io_uring():
    """Guards against a process that aborts in a batch of changes of polled files."""

    async def opened_files():
        opened = []
        for path in Path("/proc/self/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                opened.append(os.readlink(path))
        return opened

    assert not [name for name in _run(opened_files) if "io_uring" in name]


def test_cancelled_connection_closes_no_descriptor_of_another_one():
    """Guards against a process that aborts since a polled descriptor is closed."""

    async def scenario():
        loop = asyncio.get_running_loop()
        server = await loop.create_server(asyncio.Protocol, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        sock = await connected_socket(Address("127.0.0.1", port))
        number = sock.fileno()
        creation = loop.create_task(loop.create_connection(asyncio.Protocol, sock=sock))
        await asyncio.sleep(0)
        creation.cancel()
        await asyncio.wait([creation])
        with socket.socket() as other:
            assert other.fileno() == number
            sock.close()
            os.fstat(other.fileno())
        server.close()

    _run(scenario)

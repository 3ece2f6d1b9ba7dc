"""The event loop: uvloop without its resolver threads."""

__all__ = ["NoResolverLoop"]

import asyncio
import errno
import os
import socket

import uvloop


class NoResolverLoop(uvloop.Loop):
    """Connects sockets to IP numbers on the loop's own thread.

    The base class resolves even a number in a pool of four threads, which stay.
    """

    async def sock_connect(self, sock: socket.socket, address: tuple) -> None:
        """Connect a non-blocking socket.

        :raises OSError: if the connection fails.
        """
        code = sock.connect_ex(address)
        if code not in (0, errno.EINPROGRESS):
            raise OSError(code, os.strerror(code))
        if code == 0:
            return
        waiter: asyncio.Future[None] = self.create_future()
        self.add_writer(sock, _set_done, waiter)
        try:
            await waiter
        finally:
            self.remove_writer(sock)
        code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, os.strerror(code))


def _set_done(waiter: "asyncio.Future[None]") -> None:
    if not waiter.done():
        waiter.set_result(None)

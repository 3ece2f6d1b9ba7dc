"""Event loop: uvloop without resolver threads, safe for cancelled connections."""

__all__ = ["NoResolverLoop"]

import asyncio
import errno
import os
import socket

import uvloop


class NoResolverLoop(uvloop.Loop):
    """Event loop that connects sockets to IP addresses without the resolver.

    The base class resolves even a numeric address in a pool of four threads, which then
    stay alive.
    """

    async def create_connection(self, protocol_factory, *args, sock=None, **options):
        """Create a transport; a socket that is given belongs to it from then on.

        If this is cancelled, the base class has closed the descriptor and the socket
        does not know: it would close that of another connection later.
        """
        try:
            return await super().create_connection(
                protocol_factory, *args, sock=sock, **options
            )
        except BaseException:
            if sock is not None:
                sock.detach()
            raise

    async def sock_connect(self, sock: socket.socket, address: tuple) -> None:
        """Connect a non-blocking socket to a numeric address.

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

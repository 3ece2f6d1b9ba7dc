"""HTTP servers of the proxy, and a counter of requests in flight."""

__all__ = ["HttpServer", "InFlightCounter"]

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from ragwortferry.utils.sockets import listen

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

MAX_LINE_BYTES = 32_768
MAX_FIELD_BYTES = 32_768
BACKLOG = 1024  # connections that are not accepted yet
SHUTDOWN_TIMEOUT_S = 1.0


class InFlightCounter:
    """Counts requests in flight, which a stopping process waits for."""

    def __init__(self):
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def count(self) -> int:
        """Return the number of requests in flight."""
        return self._count

    def __enter__(self) -> "InFlightCounter":
        self._count += 1
        self._idle.clear()
        return self

    def __exit__(self, *_exc) -> None:
        self._count -= 1
        if not self._count:
            self._idle.set()

    async def wait_idle(self) -> None:
        """Wait until no request is in flight."""
        await self._idle.wait()


class HttpServer:
    """HTTP server on one port.

    If a caller disconnects, its handler is cancelled, and with it the attempts that the
    handler has sent to other hops.
    """

    def __init__(self, handler: Handler, host: str, port: int):
        self._handler = handler
        self._host = host
        self._port = port
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Start listening.

        :raises OSError: if the port is in use.
        """
        server = web.Server(
            self._handler,
            handler_cancellation=True,
            access_log=None,
            auto_decompress=False,
            max_line_size=MAX_LINE_BYTES,
            max_field_size=MAX_FIELD_BYTES,
        )
        self._server = server
        loop = asyncio.get_running_loop()
        sock = listen(self._host, self._port, BACKLOG)
        self._listener = await loop.create_server(server, sock=sock)

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones continue."""
        if self._listener:
            self._listener.close()

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self.stop_listening()
        if self._server:
            await self._server.shutdown(SHUTDOWN_TIMEOUT_S)

"""Connection pools whose connections can be replaced while some are in use."""

__all__ = ["Pool", "PooledResponse"]

import asyncio
import errno
import functools
import os
from dataclasses import dataclass

import aiohttp
from aiohttp.client_proto import ResponseHandler

from ragwortferry.utils.sockets import was_reset

IDLE_TIMEOUT_S = 10.0


@dataclass(slots=True, eq=False)
class _Generation:
    """Connections opened between two renewals of a pool."""

    session: aiohttp.ClientSession
    in_use: int = 0
    retired: bool = False
    closing: asyncio.Task | None = None

    def close_if_unused(self) -> None:
        if self.retired and not self.in_use and self.closing is None:
            loop = asyncio.get_running_loop()
            self.closing = loop.create_task(self.session.close())


class _ResponseProtocol(ResponseHandler):
    """Client protocol that fails a response whose connection ends with an error.

    The base class completes a response without a length whenever its connection ends.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._reset_by_peer = False

    def eof_received(self) -> None:
        """Check whether the end of the input is a reset."""
        if self.transport is not None:
            self._reset_by_peer = was_reset(self.transport)
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the response in flight if the connection did not end in order."""
        if exc is None and self._reset_by_peer:
            exc = ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        body = self._payload
        if exc is not None and body is not None and not body.is_eof():
            body.set_exception(aiohttp.ClientPayloadError(f"connection lost: {exc}"))
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Connector whose connections use ``_ResponseProtocol``."""

    def __init__(self, **options):
        super().__init__(**options)
        # There is no public option for the protocol.
        self._factory = functools.partial(_ResponseProtocol, loop=self._loop)


class PooledResponse:
    """HTTP response that holds a connection of a pool until it is closed."""

    def __init__(self, response: aiohttp.ClientResponse, generation: _Generation):
        self._generation: _Generation | None = generation
        self.response = response

    def close(self, complete: bool) -> None:
        """Keep the connection after a complete response, close it otherwise."""
        generation, self._generation = self._generation, None
        if generation is None:
            return
        if complete:
            self.response.release()
        else:
            self.response.close()
        generation.in_use -= 1
        generation.close_if_unused()


class Pool:
    """Pool of HTTP client connections.

    :param host: local IP address of the connections.
    :param limit: maximum number of connections, 0 for no limit.
    :param force_close: whether each request gets a new connection.
    """

    def __init__(self, host: str, limit: int = 0, force_close: bool = False):
        self._local_address = (host, 0)
        self._limit = limit
        self._force_close = force_close
        self._current: _Generation | None = None

    def _new_generation(self) -> _Generation:
        options = {"limit": self._limit, "local_addr": self._local_address}
        if self._force_close:
            connector = _Connector(force_close=True, **options)
        else:
            connector = _Connector(keepalive_timeout=IDLE_TIMEOUT_S, **options)
        session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=(
                "User-Agent",
                "Content-Type",
                "Accept",
                "Accept-Encoding",
            ),
        )
        # Otherwise aiohttp retries idempotent requests itself, outside of any retry
        # budget. There is no public option to disable this.
        session._retry_connection = False
        return _Generation(session)

    def renew(self) -> None:
        """Use new connections from now on; close those in use after their requests."""
        old, self._current = self._current, None
        if old:
            old.retired = True
            old.close_if_unused()

    async def request(self, method: str, url, **options) -> PooledResponse:
        """Send a request and return the response once its headers have arrived.

        :raises aiohttp.ClientError: if the request fails.
        """
        if self._current is None:
            self._current = self._new_generation()
        generation = self._current
        generation.in_use += 1
        try:
            response = await generation.session.request(
                method, url, allow_redirects=False, **options
            )
        except BaseException:
            generation.in_use -= 1
            generation.close_if_unused()
            raise
        return PooledResponse(response, generation)

    async def close(self) -> None:
        """Close all connections."""
        if self._current:
            await self._current.session.close()

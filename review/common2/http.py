"""A small HTTP/1.1 server whose handlers see the end of their connection."""

__all__ = ["Connection", "encode_response", "serve"]

import asyncio
from collections.abc import Awaitable, Callable

Handler = Callable[["Connection", str, str, dict[str, str], bytes], Awaitable[bytes]]
REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request"}


class Connection(asyncio.Protocol):
    """One connection; it serves one request at a time.

    The handler of a request is cancelled if the connection ends before its response.

    :param handler: returns the encoded response to a request.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._buffer = b""
        self._task: asyncio.Task | None = None
        self.transport: asyncio.Transport | None = None
        self.requests = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop the request at work."""
        if self._task is not None:
            self._task.cancel()

    def data_received(self, data: bytes) -> None:
        """Collect the bytes of requests."""
        self._buffer += data
        self._start_next()

    def _start_next(self) -> None:
        head, separator, rest = self._buffer.partition(b"\r\n\r\n")
        if self._task is not None or not separator:
            return
        first, *lines = head.decode("latin-1").split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.split(":", 1) for line in lines)
        headers = {name.lower(): value.strip() for name, value in pairs}
        length = int(headers.get("content-length", 0))
        if len(rest) < length:
            return
        body, self._buffer = rest[:length], rest[length:]
        self.requests += 1
        loop = asyncio.get_running_loop()
        self._task = loop.create_task(self._serve(method, target, headers, body))

    async def _serve(self, method, target, headers, body) -> None:
        try:
            response = await self._handler(self, method, target, headers, body)
        except asyncio.CancelledError:
            return
        self._task = None
        if not self.transport.is_closing():
            self.transport.write(response)
            self._start_next()


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return an encoded response with its length."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def serve(handler: Handler, host: str, port: int) -> asyncio.Server:
    """Return a server that listens on an address."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(lambda: Connection(handler), host, port)

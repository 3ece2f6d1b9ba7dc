"""A minimal HTTP/1.1 server and client on asyncio streams, without dependencies."""

__all__ = ["Message", "Server", "read_message", "request", "send_request"]

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

NO_LINGER = struct.pack("ii", 1, 0)


@dataclass
class Message:
    """A request or a response.

    :param start: the words of the first line.
    :param headers: values by lower-case name.
    """

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message, ``None`` if the connection ends before it.

    :raises asyncio.IncompleteReadError: if the connection ends within it.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    message = Message(first.split(" ", 2), headers)
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readline(), 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readline()
    else:
        length = int(headers.get("content-length", "0"))
        message.body = await reader.readexactly(length)
    return message


Answer = tuple[int, dict[str, str], bytes]
Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[Answer | None]]


class Server:
    """Serves one request at a time on each connection.

    The handler of a request is cancelled if its connection ends.

    :param handler: returns the answer; ``None`` closes the connection without one.
    """

    def __init__(self, handler: Handler):
        self._handler = handler
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._serve, host, port, reuse_address=True
        )

    async def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while message := await read_message(reader):
                answer = await self._handle(message, reader, writer)
                if answer is None:
                    return
                status, headers, body = answer
                lines = [f"HTTP/1.1 {status} Status"]
                lines += [f"{name}: {value}" for name, value in headers.items()]
                lines += [f"Content-Length: {len(body)}", "", ""]
                writer.write("\r\n".join(lines).encode() + body)
                await writer.drain()
                if headers.get("Connection") == "close":
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _handle(self, message, reader, writer) -> Answer | None:
        """Run the handler, and cancel it if the caller closes the connection."""
        task = asyncio.ensure_future(self._handler(message, writer))
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof() or writer.transport.is_closing():
                task.cancel()
                await asyncio.wait([task])
                return None
        return task.result()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()


def send_request(
    writer: asyncio.StreamWriter, method: str, path: str, headers: dict, body: bytes
) -> None:
    """Write a request."""
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)


async def request(
    host: str,
    port: int,
    path: str,
    headers: dict | None = None,
    method: str = "GET",
    body: bytes = b"",
    timeout_s: float = 12.0,
) -> Message | None:
    """Send a request on a new connection.

    :return: the response, ``None`` if the connection ends without one.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            send_request(writer, method, path, headers or {"Host": host}, body)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()

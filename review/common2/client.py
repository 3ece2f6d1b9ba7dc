"""A client connection that keeps to HTTP/1.1 and tells how each answer ended."""

__all__ = ["Client"]

import asyncio

BLOCK_BYTES = 65_536


class Client:
    """A kept connection to a node.

    :param host: value of the Host header.
    """

    def __init__(self, reader, writer, host: str):
        self._reader, self._writer, self._host = reader, writer, host

    @classmethod
    async def connect(cls, address: str, port: int, host: str) -> "Client":
        """Return a client with a new connection."""
        reader, writer = await asyncio.open_connection(address, port)
        return cls(reader, writer, host)

    def send(
        self,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        method: str = "GET",
    ) -> None:
        """Send a request, behind those that have no answer yet."""
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {self._host}\r\n"
            f"X-Request-Id: {request_id}\r\nX-Deadline-Ms: {deadline_ms}\r\n{length}"
        )
        self._writer.write(head.encode() + b"\r\n" + body)

    async def read(self) -> str:
        """Return the status of the next answer, or how the connection ended."""
        received = length = 0
        try:
            head = await self._reader.readuntil(b"\r\n\r\n")
            status, *lines = head.decode("latin-1").lower().split("\r\n")
            found = [line for line in lines if line.startswith("content-length:")]
            length = int(found[0].split(":")[1])
            while received < length:
                block = min(BLOCK_BYTES, length - received)
                data = await self._reader.read(block)
                if not data:
                    return f"closed after {received} of {length} bytes"
                received += len(data)
            return status.split()[1]
        except asyncio.IncompleteReadError:
            return "closed without an answer"
        except ConnectionError:
            return f"reset after {received} of {length} bytes"

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

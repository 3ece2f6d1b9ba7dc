"""A TCP proxy whose open connections can go silent for good."""

__all__ = ["SilencingProxy"]

import asyncio
import contextlib


class SilencingProxy:
    """Forwards connections to a server.

    :param host: IP address of the proxy and of the server.
    """

    def __init__(self, host: str, port: int, server_port: int):
        self._host, self._port, self._server_port = host, port, server_port
        self._server: asyncio.Server | None = None
        self._generation = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._accept, self._host, self._port)

    async def stop(self) -> None:
        """Close the port and all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def silence(self) -> int:
        """Let all open connections go silent without an end; new ones work.

        :return: number of connections that are silent now.
        """
        self._generation += 1
        return len(self._writers) // 2

    async def _accept(self, reader, writer) -> None:
        generation = self._generation
        try:
            there, back = await asyncio.open_connection(self._host, self._server_port)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, back}
        await asyncio.wait(
            [
                asyncio.ensure_future(self._forward(reader, back, generation)),
                asyncio.ensure_future(self._forward(there, writer, generation)),
            ]
        )
        self._writers -= {writer, back}

    async def _forward(self, reader, writer, generation: int) -> None:
        """Forward bytes while the connection is not silent, and its end."""
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                if generation == self._generation:
                    writer.write(data)
                    await writer.drain()
        if generation == self._generation:
            with contextlib.suppress(OSError):
                writer.close()

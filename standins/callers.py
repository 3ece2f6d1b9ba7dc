"""Callers of a mesh that send requests at a constant rate."""

__all__ = ["Callers", "Ended", "PipeliningCaller"]

import asyncio
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from standins.mesh import OUTBOUND_PORT, Machine, Mesh

PAUSE_S = 0.005
DEADLINE_MS = 1000


@dataclass
class Ended:
    """A request that has ended."""

    request_id: str
    sent_at: float
    machine: str
    status: int
    seconds: float
    headers: dict


class Callers:
    """Sends requests at a constant rate, to each machine in turn.

    :param machines: machines to send to, by default all.
    :param path: returns the path of a request by its number.
    :param options: further arguments of :meth:`Mesh.send`.
    :param prefix: prefix of the request ids, which keeps concurrent callers apart.
    """

    def __init__(
        self,
        mesh: Mesh,
        machines: Sequence[Machine] | None = None,
        path: Callable[[int], str] = lambda number: "/panels/1",
        prefix: str = "r",
        **options,
    ):
        self._mesh = mesh
        self._machines = machines or mesh.machines
        self._path = path
        self._prefix = prefix
        self._options = {"deadline_ms": DEADLINE_MS, **options}
        self._tasks: list[asyncio.Task] = []
        self.ended: list[Ended] = []

    async def _send(self, number: int) -> None:
        machine = self._machines[number % len(self._machines)]
        sent_at, request_id = time.monotonic(), f"{self._prefix}{number}"
        status, _, headers = await self._mesh.send(
            machine, self._path(number), request_id, **self._options
        )
        seconds = time.monotonic() - sent_at
        self.ended.append(
            Ended(request_id, sent_at, machine.name, status, seconds, headers)
        )

    async def run(self, rate: float, seconds: float) -> None:
        """Send requests for a while; they end in the background."""
        start, before = time.monotonic(), len(self._tasks)
        while (elapsed := time.monotonic() - start) < seconds:
            while len(self._tasks) - before < elapsed * rate:
                task = asyncio.create_task(self._send(len(self._tasks)))
                self._tasks.append(task)
            await asyncio.sleep(PAUSE_S)

    async def finish(self) -> Counter:
        """Wait for all responses and return how often each status came."""
        await asyncio.gather(*self._tasks)
        return Counter(item.status for item in self.ended)


class PipeliningCaller:
    """A connection to a node that carries many requests at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.reader = reader
        self._writer = writer

    @classmethod
    async def connect(
        cls, machine: Machine, receive_bytes: int = 0
    ) -> "PipeliningCaller":
        """Return a new connection to the node of a machine.

        :param receive_bytes: size of the receive buffer, 0 for the system's default; a
            small one makes the node hold what the caller does not read.
        """
        sock = socket.socket()
        sock.setblocking(False)
        if receive_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (machine.host, OUTBOUND_PORT))
        limit = {"limit": receive_bytes} if receive_bytes else {}
        return cls(*await asyncio.open_connection(sock=sock, **limit))

    def send(
        self,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int | None,
        length: int = 0,
    ) -> None:
        """Send the head of a request, behind those that have no response yet.

        :param deadline_ms: value of the header of the deadline, ``None`` to omit it.
        :param length: length of the body, which :meth:`send_body` sends.
        """
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: boards.example\r\n"
            f"X-Request-Id: {request_id}\r\nContent-Length: {length}\r\n"
        )
        if deadline_ms is not None:
            head += f"X-Deadline-Ms: {deadline_ms}\r\n"
        self._writer.write(head.encode() + b"\r\n")

    def send_body(self, data: bytes) -> None:
        """Send a part of the body of the last request."""
        self._writer.write(data)

    async def read_head(self) -> tuple[int, dict[str, str]]:
        """Return status and headers of the next response.

        :raises asyncio.IncompleteReadError: if the connection ends before.
        """
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        status, *lines = head.split("\r\n")[:-2]
        headers = dict(line.lower().split(": ", 1) for line in lines)
        return int(status.split()[1]), headers

    async def read_responses(self) -> dict[str, int]:
        """Return the status of each request that is answered until the end."""
        statuses = {}
        try:
            while True:
                status, headers = await self.read_head()
                await self.reader.readexactly(int(headers["content-length"]))
                statuses[headers["x-request-id"]] = status
        except (asyncio.IncompleteReadError, ConnectionError):
            return statuses

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()

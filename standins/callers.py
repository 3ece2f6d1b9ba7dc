"""Callers of a mesh that send requests at a constant rate."""

__all__ = ["Callers", "Ended"]

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from standins.mesh import Machine, Mesh

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

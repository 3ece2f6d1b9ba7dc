"""The platform's limit of memory, and kept clients that notice its consequences."""

__all__ = ["MemoryLimit", "call_until"]

import asyncio
import contextlib
from pathlib import Path

from common2.client import Client
from common2.mesh import Machine, Mesh

# ``memory_mb`` of the settings in the larger of its two readings.
BYTES_PER_MB = 2**20
CHECK_S = 0.01
# A process that was killed is started again after a short delay.
RESTART_S = 0.5


class MemoryLimit:
    """Kills and restarts each node that exceeds its memory, as DEPLOY.md says.

    :param record: lines of the case's record.
    """

    def __init__(self, mesh: Mesh, record: list[str]):
        self._mesh, self._record = mesh, record
        self._limit_bytes = mesh.memory_mb * BYTES_PER_MB
        self._largest: dict[str, int] = {}
        self.ends = 0

    async def run(self) -> None:
        """Watch the nodes until this is cancelled."""
        while True:
            for machine in self._mesh.machines:
                used = _memory_bytes(machine)
                known = self._largest.get(machine.name, 0)
                self._largest[machine.name] = max(known, used)
                if used > self._limit_bytes:
                    await self._end(machine, used)
            await asyncio.sleep(CHECK_S)

    async def _end(self, machine: Machine, used: int) -> None:
        machine.process.kill()
        await machine.process.wait()
        self.ends += 1
        self._record.append(f"{machine.name} has {used / 2**20:.0f} MiB and is killed")
        await asyncio.sleep(RESTART_S)
        await self._mesh.start_node(machine)

    def report(self) -> None:
        """Write the most memory of each node to the record."""
        for name, used in self._largest.items():
            self._record.append(f"{name}: at most {used / 2**20:.0f} MiB")
        self._record.append(f"processes that ended by themselves: {self.ends}")


def _memory_bytes(machine: Machine) -> int:
    """Return the memory of a node, 0 if none runs."""
    with contextlib.suppress(OSError):
        status = Path(f"/proc/{machine.process.pid}/status").read_text()
        for line in status.splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) * 1024
    return 0


async def call_until(
    client: Client, name: str, path: str, deadline_ms: int, until, record: list[str]
) -> list[str]:
    """Send one request after the other on a kept connection.

    :param until: event after which no more are sent.
    :return: ids of the requests without an answer.
    """
    answered = 0
    while not until.is_set():
        request_id = f"{name}-{answered}"
        client.send(f"{path}{request_id}", request_id, deadline_ms)
        status = await client.read()
        if not status.isdigit():
            record.append(f"{request_id}: {status}, {answered} answers before it")
            return [request_id]
        answered += 1
    client.close()
    record.append(f"client {name}: {answered} answers")
    return []

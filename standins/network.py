"""A faulty network: TCP proxies in front of ports, with faults by source."""

__all__ = ["Fault", "FaultProxy", "Network"]

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 1_024


class Fault(StrEnum):
    """What happens to a connection."""

    PASS = "pass"
    PARTITION = "cut"
    SILENT = "silent"
    SILENT_THERE = "silent-there"
    SILENT_BACK = "silent-back"
    DELAY = "delay"
    SLOW = "slow"
    DUPLICATE = "duplicate"


def zone_of(host: str) -> str:
    """Return the zone number in a loopback address, its second byte."""
    return host.split(".")[1]


@dataclass
class Network:
    """Faults between zones, shared by all proxies of a test.

    :param delay_s: delay of each chunk under ``DELAY``.
    """

    faults: dict[tuple[str, str], Fault] = field(default_factory=dict)
    delay_s: float = 0.1
    proxies: list["FaultProxy"] = field(default_factory=list)

    def fault(self, source: str, destination: str) -> Fault:
        """Return the fault for connections between two hosts."""
        pair = zone_of(source), zone_of(destination)
        return self.faults.get(pair, Fault.PASS)

    def set(self, source: str, destination: str, fault: Fault) -> None:
        """Set the fault from one zone number to another."""
        self.faults[source, destination] = fault
        if fault is Fault.PARTITION:
            for proxy in self.proxies:
                proxy.reset_cut()

    def partition(
        self, zone: str, others: list[str], fault: Fault = Fault.PARTITION
    ) -> None:
        """Set the fault between a zone and others, both ways."""
        for other in others:
            self.set(zone, other, fault)
            self.set(other, zone, fault)

    def heal(self) -> None:
        """End all faults between zones."""
        self.faults.clear()

    async def front(self, host: str, port: int, to_port: int) -> "FaultProxy":
        """Open a proxy on a port of the same host."""
        proxy = FaultProxy(self, host, to_port)
        await proxy.start(port)
        self.proxies.append(proxy)
        return proxy

    async def stop(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies:
            await proxy.stop()


class FaultProxy:
    """Forwards connections to one port.

    :param fault: fault of this proxy alone, which goes before those of the network.
    """

    def __init__(self, network: Network, host: str, to_port: int):
        self._network = network
        self._host = host
        self._to_port = to_port
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self._stuck: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.fault = Fault.PASS
        self.accepted = 0
        self.bytes_there = 0
        self.bytes_back = 0

    async def start(self, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(
            self._accept, self._host, port, backlog=1024
        )

    async def stop(self) -> None:
        """Stop listening and reset what is open."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def _fault_for(self, writer: asyncio.StreamWriter) -> Fault:
        peer = writer.get_extra_info("peername")
        if writer in self._stuck:
            return Fault.SILENT
        if self.fault is not Fault.PASS or peer is None:
            return self.fault
        return self._network.fault(peer[0], self._host)

    def reset(self) -> None:
        """Reset all open connections."""
        for near, far in list(self._open.items()):
            near.transport.abort()
            far.transport.abort()

    def silence_open(self) -> None:
        """Make the open connections silent for good; new ones work."""
        self._stuck.update(self._open)

    def reset_cut(self) -> None:
        """Reset the open connections that a cut concerns."""
        for near, far in list(self._open.items()):
            if self._fault_for(near) is Fault.PARTITION:
                near.transport.abort()
                far.transport.abort()

    async def _accept(self, reader, writer) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _forward(self, reader, writer) -> None:
        if self._fault_for(writer) is Fault.PARTITION:
            return
        source = writer.get_extra_info("peername")[0]
        far_reader, far_writer = await asyncio.open_connection(
            self._host, self._to_port, local_addr=(source, 0)
        )
        self._open[writer] = far_writer
        twin = await self._open_twin(writer, source)
        pumps = [
            asyncio.ensure_future(
                self._pump(reader, far_writer, writer, there=True, twin=twin)
            ),
            asyncio.ensure_future(self._pump(far_reader, writer, writer, there=False)),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            self._open.pop(writer, None)
            self._stuck.discard(writer)
            far_writer.transport.abort()
            if twin:
                twin.transport.abort()

    async def _open_twin(self, near, source: str) -> asyncio.StreamWriter | None:
        """Open the second connection of a duplicated one, whose answers are lost."""
        if self._fault_for(near) is not Fault.DUPLICATE:
            return None
        _, twin = await asyncio.open_connection(
            self._host, self._to_port, local_addr=(source, 0)
        )
        return twin

    async def _pump(self, reader, writer, near, there: bool, twin=None) -> None:
        quiet = Fault.SILENT_THERE if there else Fault.SILENT_BACK
        while True:
            fault = self._fault_for(near)
            slow = fault is Fault.SLOW
            chunk = await reader.read(SLOW_CHUNK_BYTES if slow else CHUNK_BYTES)
            fault = self._fault_for(near)
            if fault in (Fault.SILENT, quiet):
                await self._stay_silent(reader)
            if fault is Fault.PARTITION:
                raise ConnectionResetError
            if fault in (Fault.DELAY, Fault.SLOW):
                await asyncio.sleep(self._network.delay_s)
            if not chunk:
                writer.write_eof()
                return
            self._count(len(chunk), there)
            writer.write(chunk)
            if twin:
                twin.write(chunk)
            await writer.drain()

    def _count(self, size: int, there: bool) -> None:
        if there:
            self.bytes_there += size
        else:
            self.bytes_back += size

    async def _stay_silent(self, reader) -> None:
        """Swallow everything, the end included, until the proxy is reset."""
        while await reader.read(CHUNK_BYTES):
            pass
        await asyncio.Event().wait()

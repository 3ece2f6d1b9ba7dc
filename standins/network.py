"""A faulty network: TCP proxies that inject faults depending on the source zone."""

__all__ = ["Fault", "FaultProxy", "Network"]

import asyncio
from dataclasses import dataclass, field
from enum import StrEnum

from standins.resets import reset

CHUNK_BYTES = 65_536
SLOW_CHUNK_BYTES = 1_024


class Fault(StrEnum):
    """Fault of a connection.

    ``PARTITION`` resets open connections and closes new ones, ``SILENT`` discards all
    data, ``SILENT_TO_SERVER`` and ``SILENT_TO_CLIENT`` discard the data of one
    direction, ``DELAY`` delays each chunk, ``SLOW`` also limits the chunk size, and
    ``DUPLICATE`` sends the data of a client to the server on a second connection too.
    """

    PASS = "pass"
    PARTITION = "cut"
    SILENT = "silent"
    SILENT_TO_SERVER = "silent-there"
    SILENT_TO_CLIENT = "silent-back"
    DELAY = "delay"
    SLOW = "slow"
    DUPLICATE = "duplicate"


def zone_of(host: str) -> str:
    """Return the zone number of a loopback address: its second byte."""
    return host.split(".")[1]


@dataclass
class Network:
    """Faults between zones, applied by all proxies of a test.

    :param faults: fault by source and destination zone number.
    :param delay_s: delay of each chunk under ``DELAY`` and ``SLOW``.
    """

    faults: dict[tuple[str, str], Fault] = field(default_factory=dict)
    delay_s: float = 0.1
    proxies: list["FaultProxy"] = field(default_factory=list)

    def fault_between(self, source: str, destination: str) -> Fault:
        """Return the fault for connections between two hosts."""
        pair = zone_of(source), zone_of(destination)
        return self.faults.get(pair, Fault.PASS)

    def set_fault(self, source: str, destination: str, fault: Fault) -> None:
        """Set the fault for connections from one zone number to another."""
        self.faults[source, destination] = fault
        if fault is Fault.PARTITION:
            for proxy in self.proxies:
                proxy.reset_partitioned()

    def partition(
        self, zone: str, others: list[str], fault: Fault = Fault.PARTITION
    ) -> None:
        """Set a fault between a zone and others, in both directions."""
        for other in others:
            self.set_fault(zone, other, fault)
            self.set_fault(other, zone, fault)

    def heal(self) -> None:
        """Clear all faults between zones."""
        self.faults.clear()

    async def add_proxy(self, host: str, port: int, server_port: int) -> "FaultProxy":
        """Start a proxy that forwards a port of a host to another of its ports."""
        proxy = FaultProxy(self, host, server_port)
        await proxy.start(port)
        self.proxies.append(proxy)
        return proxy

    async def stop(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies:
            await proxy.stop()


class FaultProxy:
    """Forwards connections to one port and applies faults to them.

    Attribute ``fault`` applies to this proxy only and overrides the network's faults.

    :param network: faults between zones.
    :param host: address that the proxy and the server listen on.
    :param server_port: port of the server.
    """

    def __init__(self, network: Network, host: str, server_port: int):
        self._network = network
        self._host = host
        self._server_port = server_port
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.StreamWriter, asyncio.StreamWriter] = {}
        self._silenced: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self.fault = Fault.PASS
        self.accepted = 0
        self.bytes_to_server = 0
        self.bytes_to_client = 0

    async def start(self, port: int) -> None:
        """Listen on a port."""
        self._server = await asyncio.start_server(
            self._accept, self._host, port, backlog=1024
        )

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()

    def _fault_for(self, writer: asyncio.StreamWriter) -> Fault:
        peer = writer.get_extra_info("peername")
        if writer in self._silenced:
            return Fault.SILENT
        if self.fault is not Fault.PASS or peer is None:
            return self.fault
        return self._network.fault_between(peer[0], self._host)

    def reset(self) -> None:
        """Reset all open connections."""
        for client, server in list(self._open.items()):
            reset(client.transport)
            reset(server.transport)

    def silence_open(self) -> None:
        """Discard all further data of the open connections; new ones work."""
        self._silenced.update(self._open)

    def reset_partitioned(self) -> None:
        """Reset the open connections between partitioned zones."""
        for client, server in list(self._open.items()):
            if self._fault_for(client) is Fault.PARTITION:
                reset(client.transport)
                reset(server.transport)

    async def _accept(self, reader, writer) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await self._forward(reader, writer)
            writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            reset(writer.transport)
        finally:
            self._tasks.discard(task)

    async def _forward(self, reader, writer) -> None:
        if self._fault_for(writer) is Fault.PARTITION:
            return
        source = writer.get_extra_info("peername")[0]
        server_reader, server_writer = await asyncio.open_connection(
            self._host, self._server_port, local_addr=(source, 0)
        )
        self._open[writer] = server_writer
        duplicate = await self._open_duplicate(writer, source)
        copiers = [
            asyncio.ensure_future(
                self._copy(
                    reader, server_writer, writer, to_server=True, duplicate=duplicate
                )
            ),
            asyncio.ensure_future(
                self._copy(server_reader, writer, writer, to_server=False)
            ),
        ]
        try:
            await asyncio.gather(*copiers)
        finally:
            for copier in copiers:
                copier.cancel()
            self._open.pop(writer, None)
            self._silenced.discard(writer)
            server_writer.transport.abort()
            if duplicate:
                duplicate.transport.abort()

    async def _open_duplicate(self, client, source: str) -> asyncio.StreamWriter | None:
        """Open the second connection under ``DUPLICATE``; its responses aren't read."""
        if self._fault_for(client) is not Fault.DUPLICATE:
            return None
        _, duplicate = await asyncio.open_connection(
            self._host, self._server_port, local_addr=(source, 0)
        )
        return duplicate

    async def _copy(
        self, reader, writer, client, to_server: bool, duplicate=None
    ) -> None:
        silent_fault = Fault.SILENT_TO_SERVER if to_server else Fault.SILENT_TO_CLIENT
        while True:
            fault = self._fault_for(client)
            slow = fault is Fault.SLOW
            chunk = await reader.read(SLOW_CHUNK_BYTES if slow else CHUNK_BYTES)
            fault = self._fault_for(client)
            if fault in (Fault.SILENT, silent_fault):
                await self._discard_input(reader)
            if fault is Fault.PARTITION:
                raise ConnectionResetError
            if fault in (Fault.DELAY, Fault.SLOW):
                await asyncio.sleep(self._network.delay_s)
            if not chunk:
                writer.write_eof()
                return
            self._count_bytes(len(chunk), to_server)
            writer.write(chunk)
            if duplicate:
                duplicate.write(chunk)
            await writer.drain()

    def _count_bytes(self, size: int, to_server: bool) -> None:
        if to_server:
            self.bytes_to_server += size
        else:
            self.bytes_to_client += size

    async def _discard_input(self, reader) -> None:
        """Discard all data and hide the end of the stream until the proxy is reset."""
        while await reader.read(CHUNK_BYTES):
            pass
        await asyncio.Event().wait()

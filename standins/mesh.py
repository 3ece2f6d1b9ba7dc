"""A small mesh on loopback addresses: a test store, test upstreams, real nodes."""

__all__ = ["Machine", "Mesh"]

import asyncio
import contextlib
import json
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from yarl import URL

from standins.network import FaultProxy, Network
from standins.store import StoreStandin
from standins.upstream import UpstreamStandin

STORE_PORT = 18142
METRICS_PORT = 9464
UPSTREAM_PORT, OUTBOUND_PORT, READY_PORT, LINK_PORT = 18147, 18141, 18140, 18145
STORE_HOST_BYTE = 250
# Ports of the fault proxies, used if the mesh has a faulty network.
LINK_PROXY_PORT, UPSTREAM_PROXY_PORT, STORE_PROXY_PORT = 18155, 18157, 18152
# With a faulty network, the second address byte is the zone: that of the store, and
# that of zone "a".
STORE_ZONE_NUMBER, BASE_ZONE_NUMBER = 240, 241
# Address byte that keeps concurrent test processes apart.
PROCESS_BYTE = 20 + os.getpid() % 200
POLL_S = 0.02
END_S = 8.0

SETTINGS_TEMPLATE = """
node = "{name}"
role = "node"
ip = "{host}"
zone = "{zone}"
region = "r"
internal_port_range = [{link}, {link}]
service = "{service}"
app_addr = "{host}:{upstream}"
heartbeat_s = 1.5
seeds = {seeds}
[listen]
inbound = "{host}:{link}"
outbound = "{host}:{callers}"
ready = "{host}:{ready}"
[limits]
memory_mb = 300
link_mbps = {link_mbps}
[bounds]
drain_s = 2
grace_s = 6
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 64
{bounds}
[provider]
address = "{store}:{store_port}"
reads_per_s = 2000
"""


@dataclass(eq=False)
class Machine:
    """An instance: an upstream and its node.

    :param starts: number of times that the node was started.
    """

    name: str
    host: str
    zone: str
    upstream: UpstreamStandin
    settings: Path
    log: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0
    link_proxy: FaultProxy | None = None
    upstream_proxy: FaultProxy | None = None

    def max_memory_mb(self) -> float:
        """Return the largest memory that the running node has used, 0 if none runs."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmHWM"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def url(self, path: str) -> URL:
        """Return the URL for callers of this instance; the path is not re-encoded."""
        return URL(f"http://{self.host}:{OUTBOUND_PORT}{path}", encoded=True)


@dataclass(eq=False)
class Mesh:
    """A store, and machines that each run an upstream and a node.

    :param folder: directory of the settings files and logs.
    :param subnet: third byte of the loopback addresses; keeps concurrent meshes of one
        process apart.
    """

    folder: Path
    subnet: int
    store: StoreStandin = field(default_factory=StoreStandin)
    machines: list[Machine] = field(default_factory=list)
    session: aiohttp.ClientSession | None = None
    # Bandwidth of an instance according to its settings. Nothing else enforces it.
    link_mbps: float = 1000.0
    # Further lines of the settings' section of bounds.
    bounds: str = ""
    # If set, its fault proxies forward the links between nodes and the connections to
    # the store and the upstreams; the second byte of an address is then the zone.
    network: Network | None = None
    # Forwards the connections of the nodes to the store in a faulty network.
    store_proxy: FaultProxy | None = None

    @property
    def store_host(self) -> str:
        """Return the IP address of the store."""
        if self.network:
            return f"127.{STORE_ZONE_NUMBER}.{PROCESS_BYTE}.{self.subnet}"
        return f"127.{PROCESS_BYTE}.{self.subnet}.{STORE_HOST_BYTE}"

    def zone_number(self, zone: str) -> str:
        """Return the address byte of a zone in a faulty network."""
        return str(BASE_ZONE_NUMBER + ord(zone) - ord("a"))

    def _host(self, zone: str, number: int) -> str:
        if self.network:
            return f"127.{self.zone_number(zone)}.{PROCESS_BYTE}.{number}"
        return f"127.{PROCESS_BYTE}.{self.subnet}.{number}"

    async def start(self, layout: list[tuple[str, str]]) -> None:
        """Start the store, and one machine per pair of service and zone."""
        await self.store.start(self.store_host, STORE_PORT)
        if self.network:
            self.store_proxy = await self.network.add_proxy(
                self.store_host, STORE_PROXY_PORT, STORE_PORT
            )
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=False)
        )
        for service, zone in layout:
            await self.add(service, zone)

    async def add(
        self,
        service: str,
        zone: str,
        register: bool = True,
        seeds: tuple[Machine, ...] = (),
    ) -> Machine:
        """Start another upstream and its node.

        :param register: whether to write the upstream into the registry.
        :param seeds: machines whose nodes the new node may ask for the current state.
        """
        number = len(self.machines) + 1
        host = self._host(zone, number)
        upstream = UpstreamStandin(f"i-{number}", service, zone)
        await upstream.start(host, UPSTREAM_PORT)
        name = f"node-{number}"
        machine = Machine(
            name,
            host,
            zone,
            upstream,
            self.folder / f"{name}.toml",
            self.folder / f"{name}.log",
        )
        machine.settings.write_text(
            SETTINGS_TEMPLATE.format(
                name=name,
                host=host,
                zone=zone,
                service=service,
                seeds=json.dumps([f"{seed.host}:{LINK_PORT}" for seed in seeds]),
                upstream=UPSTREAM_PROXY_PORT if self.network else UPSTREAM_PORT,
                callers=OUTBOUND_PORT,
                ready=READY_PORT,
                link=LINK_PORT,
                link_mbps=self.link_mbps,
                bounds=self.bounds,
                store=self.store_host,
                store_port=STORE_PROXY_PORT if self.network else STORE_PORT,
            )
        )
        self.machines.append(machine)
        if self.network:
            front = self.network.add_proxy
            machine.link_proxy = await front(host, LINK_PROXY_PORT, LINK_PORT)
            machine.upstream_proxy = await front(
                host, UPSTREAM_PROXY_PORT, UPSTREAM_PORT
            )
        if register:
            await self.register(machine)
        await self.start_node(machine)
        return machine

    async def start_node(self, machine: Machine) -> None:
        """Start the node of a machine."""
        environ = {**os.environ, "RAGWORTFERRY_SETTINGS": str(machine.settings)}
        if self.network:
            environ["RAGWORTFERRY_PEER_PORT"] = str(LINK_PROXY_PORT)
        with machine.log.open("ab") as log:
            machine.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "ragwortferry",
                "node",
                env=environ,
                stdout=log,
                stderr=log,
            )
        machine.starts += 1

    async def register(self, machine: Machine, state: str = "ready") -> int:
        """Write the registry entry of an upstream and return its revision."""
        key = f"servers/{machine.upstream.name}"
        return await self.store.put(key, machine.upstream.registry_entry(state))

    async def restart_upstream(self, machine: Machine, new_id: bool = True) -> None:
        """Start a crashed upstream again.

        :param new_id: whether it gets a new id; its former entry has then expired.
        """
        name = machine.upstream.name
        if new_id:
            await self.store.delete(f"servers/{name}")
            name = f"{name.partition('+')[0]}+{len(machine.upstream.crashes)}"
        await machine.upstream.restart(name)
        await self.register(machine)

    async def evacuate(self, zone: str) -> None:
        """Request that the upstreams of a zone get no requests."""
        await self.store.put(f"op/evacuate/{zone}", b"{}")

    async def restore(self, zone: str) -> None:
        """Take back the evacuation of a zone."""
        await self.store.delete(f"op/evacuate/{zone}")

    async def put_config(self, config: dict) -> int:
        """Write a configuration to the store and return its revision."""
        return await self.store.put("op/config", json.dumps(config).encode())

    async def wait_ready(self, *machines: Machine) -> None:
        """Wait until the nodes, by default all, are ready and linked to all others."""
        for machine in machines or self.machines:
            while await self.get_page(machine, READY_PORT, "/-/ready") is None:
                await asyncio.sleep(POLL_S)
        links = f"ragwortferry_links {len(self.machines) - 1}\n"
        for machine in machines or self.machines:
            while links not in (await self.metrics(machine)):
                await asyncio.sleep(POLL_S)

    async def metrics(self, machine: Machine) -> str:
        """Return the metrics page of a node, empty if it is not available."""
        return await self.get_page(machine, METRICS_PORT, "/metrics") or ""

    async def get_page(self, machine: Machine, port: int, path: str) -> str | None:
        """Return the body of a page, ``None`` unless the status is 200."""
        with contextlib.suppress(aiohttp.ClientError):
            url = f"http://{machine.host}:{port}{path}"
            async with self.session.get(url) as response:
                if response.status == 200:
                    return await response.text()
        return None

    async def send(
        self, machine: Machine, path: str, request_id: str, **options
    ) -> tuple[int, bytes, dict]:
        """Send a request to a node and return its status, body and headers.

        The status is 0 if the connection failed or was closed.
        """
        headers = {
            "Host": options.pop("host", "boards.example"),
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(options.pop("deadline_ms", 2000)),
            **options.pop("headers", {}),
        }
        method = options.pop("method", "GET")
        try:
            async with self.session.request(
                method, machine.url(path), headers=headers, **options
            ) as response:
                return response.status, await response.read(), dict(response.headers)
        except aiohttp.ClientError:
            return 0, b"", {}

    def events(self, machine: Machine, event: str) -> list[dict]:
        """Return the log records of one event type of a node."""
        found = []
        for line in machine.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                content = json.loads(line)
                if content.get("message_type") == event:
                    found.append(content)
        return found

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        while not condition():
            await asyncio.sleep(POLL_S)

    def count_runs(self, request_id: str) -> int:
        """Return how many times a request ran, over all upstreams."""
        return sum(machine.upstream.runs[request_id] for machine in self.machines)

    async def stop_node(self, machine: Machine, number: int = signal.SIGTERM) -> int:
        """Send a signal to a node and return the exit code of its process."""
        if machine.process.returncode is None:
            machine.process.send_signal(number)
        return await machine.process.wait()

    async def stop(self) -> None:
        """Kill the nodes and stop the upstreams, the network and the store."""
        for machine in self.machines:
            if machine.process and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
            await machine.upstream.stop()
        await self.session.close()
        if self.network:
            await self.network.stop()
        await self.store.stop()

"""A small fleet of real proxy processes with test doubles around them."""

__all__ = ["Fleet", "Node", "call", "free_ports", "wait_until"]

import asyncio
import contextlib
import itertools
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
import msgspec
from yarl import URL

from ragwortferry.document.models import Manifest, encode_manifest, make_delta
from ragwortferry.source.port import ACCEPTED_KEY, Instance, manifest_key, section_key
from ragwortferry.utils.digests import content_digest
from standins.network import FaultProxy, Network
from standins.platform import Platform, PlatformServer
from standins.target import Target, TargetServer

PORTS = range(20_000, 30_000)
PLATFORM_ZONE = 9
# A fleet may use several subnets of a zone.
HOSTS_PER_SUBNET, SUBNETS_PER_FLEET = 250, 7
BASE_ZONE_NUMBER = 10
POLL_S = 0.02
FAST_SETTINGS = {
    "heartbeat_s": 0.3,
    "silence_s": 1.2,
    "repair_s": 0.3,
    "status_s": 0.5,
    "boot_wait_s": 3.0,
    "leave_s": 0.2,
}


def loopback_host(zone: int | str, number: int, process: int) -> str:
    """Return a loopback address that fleets of concurrent test processes don't use.

    Ports are chosen some time before a process listens on them, so a concurrent test
    run must not use the same addresses.

    :param zone: second byte of the address.
    :param number: index of the instance, from 0.
    :param process: id of the test process.
    """
    third = (
        process * SUBNETS_PER_FLEET + number // HOSTS_PER_SUBNET
    ) % HOSTS_PER_SUBNET
    return f"127.{zone}.{third}.{number % HOSTS_PER_SUBNET + 1}"


def free_ports(host: str, count: int) -> list[int]:
    """Return free ports of a host, below the kernel's ephemeral port range.

    :raises OSError: if not enough ports are free.
    """
    found: list[int] = []
    for port in random.SystemRandom().sample(PORTS, 200):
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((host, port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"fewer than {count} free ports on {host}")


async def wait_until(
    condition: Callable[[], Awaitable[object]], bound_s: float, what: str
):
    """Return the first true result of a condition.

    :param what: description of the condition for the error message.
    :raises AssertionError: if it stays false for ``bound_s`` seconds.
    """
    end = time.monotonic() + bound_s
    while True:
        result = await condition()
        if result:
            return result
        if time.monotonic() > end:
            raise AssertionError(f"condition not met within {bound_s} s: {what}")
        await asyncio.sleep(POLL_S)


@dataclass
class Response:
    """Response to a request."""

    status: int
    headers: Mapping[str, str]
    body: bytes


async def call(
    session: aiohttp.ClientSession, method: str, url: str, **options
) -> Response:
    """Send a request and return the complete response."""
    async with session.request(method, url, **options) as response:
        return Response(response.status, response.headers, await response.read())


@dataclass
class Node:
    """An instance: its proxy process, target and addresses.

    :param instance: addresses that the proxy listens on.
    :param listed: entry of the instance list, with the ports of the fault proxies.
    :param proxies: fault proxies by the name of the port: ``owner``, ``link``,
        ``target``.
    """

    instance: Instance
    service: str
    target: Target
    target_server: TargetServer
    target_port: int
    log: Path
    listed: Instance
    proxies: dict = field(default_factory=dict)
    process: asyncio.subprocess.Process | None = None

    @property
    def url(self) -> str:
        """Return the URL for callers."""
        return f"http://{self.instance.host}:{self.instance.listen_port}"

    @property
    def owner_url(self) -> str:
        """Return the URL of the owner port, which also serves the status pages."""
        return f"http://{self.instance.host}:{self.instance.owner_port}"

    @property
    def zone_number(self) -> str:
        """Return the zone number: the second byte of the address."""
        return self.instance.host.split(".")[1]


class Fleet:
    """A platform, targets, and proxies in several availability zones.

    :param folder: directory of the logs.
    :param fault_proxies: whether link and owner ports are behind fault proxies.
    :param lag_s: lag of the instance list.
    """

    def __init__(self, folder: Path, fault_proxies: bool = False, lag_s: float = 0.0):
        self._folder = folder
        self._fault_proxies = fault_proxies
        self._zone_numbers: dict[str, int] = {}
        self._indices = itertools.count()
        self._platform_host = loopback_host(PLATFORM_ZONE, 0, os.getpid())
        self._platform_port = 0
        self._session: aiohttp.ClientSession | None = None
        self.platform = Platform(lag_s=lag_s)
        self.platform_server = PlatformServer(self.platform)
        self.network = Network()
        self.platform_proxy: FaultProxy | None = None
        self.nodes: dict[str, Node] = {}
        self.manifest: Manifest | None = None
        self._published: set[str] = set()
        self.settings: dict[str, object] = dict(FAST_SETTINGS)

    async def __aenter__(self) -> "Fleet":
        host = self._platform_host
        port, proxy_port = free_ports(host, 2)
        await self.platform_server.start(host, port)
        self.platform_proxy = await self.network.add_proxy(host, proxy_port, port)
        self._platform_port = proxy_port
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=30),
        )
        return self

    async def __aexit__(self, *_exc) -> None:
        for node in self.nodes.values():
            self.kill(node.instance.id)
        for node in self.nodes.values():
            if node.process:
                await node.process.wait()
            await node.target_server.stop()
        await self._session.close()
        await self.network.stop()
        await self.platform_server.stop()

    @property
    def session(self) -> aiohttp.ClientSession:
        """Return the HTTP client session of the callers."""
        return self._session

    @property
    def platform_url(self) -> str:
        """Return the URL of the platform."""
        return f"http://{self._platform_host}:{self._platform_port}"

    def zone_number(self, zone: str) -> str:
        """Return the address byte of a zone."""
        number = self._zone_numbers.setdefault(
            zone, BASE_ZONE_NUMBER + len(self._zone_numbers)
        )
        return str(number)

    async def add(self, name: str, zone: str, service: str) -> Node:
        """Add an instance and start its target; ``spawn`` starts its proxy process."""
        at = next(self._indices)
        host = loopback_host(self.zone_number(zone), at, os.getpid())
        listen, owner, link, owner_proxy_port, link_proxy_port, own = free_ports(
            host, 6
        )
        region = zone.rpartition("-")[0] or zone
        instance = Instance(name, zone, region, host, listen, owner, link)
        listed, proxies = instance, {}
        if self._fault_proxies:
            proxies["owner"] = await self.network.add_proxy(
                host, owner_proxy_port, owner
            )
            proxies["link"] = await self.network.add_proxy(host, link_proxy_port, link)
            listed = Instance(
                name, zone, region, host, listen, owner_proxy_port, link_proxy_port
            )
        target = Target(name)
        server = TargetServer(target)
        await server.start(host, own)
        log = self._folder / f"{name}.log"
        target.proxy = f"http://{host}:{listen}"
        node = Node(instance, service, target, server, own, log, listed, proxies)
        self.nodes[name] = node
        return node

    async def add_target_proxy(self, name: str):
        """Add a fault proxy between the proxy of an instance and its target."""
        node = self.nodes[name]
        host = node.instance.host
        (port,) = free_ports(host, 1)
        proxy = await self.network.add_proxy(host, port, node.target_port)
        node.proxies["target"] = proxy
        node.target_port = port
        return proxy

    def register_all(self) -> None:
        """Add every instance to the platform's instance list."""
        self.platform.change_instances(
            [node.listed for node in self.nodes.values()], []
        )

    async def spawn(self, name: str, **settings) -> None:
        """Start the proxy process of an instance."""
        node = self.nodes[name]
        instance = node.instance
        arguments = {
            "instance": instance.id,
            "zone": instance.zone,
            "region": instance.region,
            "host": instance.host,
            "listen_port": instance.listen_port,
            "owner_port": instance.owner_port,
            "link_port": instance.link_port,
            "target": f"{instance.host}:{node.target_port}",
            "source": self.platform_url,
            "log": str(node.log),
            **self.settings,
            **settings,
        }
        flags = [f"--{key}={value}" for key, value in arguments.items()]
        node.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ragwortferry", "run", *flags
        )

    async def spawn_all(self, **settings) -> None:
        """Start the proxy processes of all instances."""
        for name in self.nodes:
            await self.spawn(name, **settings)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the proxy process of an instance if it runs."""
        process = self.nodes[name].process
        if process and process.returncode is None:
            process.send_signal(number)

    def kill(self, name: str) -> None:
        """Kill the proxy process of an instance."""
        self.signal(name, signal.SIGKILL)

    def publish(
        self,
        texts: Mapping[str, bytes],
        version: int,
        base: int = -1,
        as_delta: bool = False,
    ) -> str:
        """Publish sections, accept them as a version and return its digest.

        :param base: version that the document is based on, by default the previous one.
        :param as_delta: whether to write the manifest as a ManifestDelta.
        """
        digests = {name: content_digest(text) for name, text in texts.items()}
        for name, text in texts.items():
            key = section_key(name, digests[name])
            if key not in self._published and self.platform.put(key, text):
                self._published.add(key)
        manifest = Manifest(version, version - 1 if base < 0 else base, digests)
        data = encode_manifest(manifest)
        digest = content_digest(data)
        if as_delta:
            self.platform.put(manifest_key(digest), data)
            delta = make_delta(manifest, self.manifest)
            self.platform.put(ACCEPTED_KEY, msgspec.json.encode(delta))
        else:
            self.platform.put(ACCEPTED_KEY, data)
        self.manifest = manifest
        return digest

    async def call(self, name: str, method: str, path: str, **options) -> Response:
        """Send a request to the proxy of an instance."""
        url = URL(f"{self.nodes[name].url}{path}", encoded=True)
        return await call(self._session, method, url, **options)

    async def state(self, name: str) -> dict:
        """Return the state of one proxy process, empty without a response."""
        try:
            url = self.nodes[name].owner_url + "/-/process"
            response = await call(
                self._session, "GET", url, timeout=aiohttp.ClientTimeout(total=2)
            )
            return msgspec.json.decode(response.body) if response.status == 200 else {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return {}

    async def status(self, name: str, version: int = 0) -> dict:
        """Return the fleet's status as known to one proxy."""
        params = {"version": str(version)} if version else {}
        url = self.nodes[name].owner_url + "/-/status"
        response = await call(self._session, "GET", url, params=params)
        return msgspec.json.decode(response.body)

    async def versions(self, names: list[str] | None = None) -> dict[str, int]:
        """Return the version that each instance enforces, -1 without a response."""
        wanted = names or list(self.nodes)
        states = await asyncio.gather(*(self.state(name) for name in wanted))
        pairs = zip(wanted, states, strict=True)
        return {name: state.get("version", -1) for name, state in pairs}

    async def wait_version(
        self, version: int, names: list[str] | None = None, bound_s: float = 20
    ) -> None:
        """Wait until the instances, by default all, enforce a version."""

        async def enforced() -> bool:
            found = await self.versions(names)
            return all(held == version for held in found.values())

        await wait_until(enforced, bound_s, f"version {version} is enforced everywhere")

    def events(self, name: str, kind: str) -> list[dict]:
        """Return the log records of one event type of an instance."""
        log = self.nodes[name].log
        if not log.exists():
            return []
        lines = log.read_bytes().splitlines()
        events = [msgspec.json.decode(line) for line in lines if line.endswith(b"}")]
        return [event for event in events if event.get("message_type") == kind]

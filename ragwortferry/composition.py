"""The composition root: it wires the services of one process."""

__all__ = ["Process"]

import asyncio
import random
import signal
from dataclasses import dataclass

from ragwortferry.admin import Admin
from ragwortferry.exceptions import SettingsError, SourceError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log, LogContext
from ragwortferry.metrics import Metrics
from ragwortferry.requests.balance import Balancer
from ragwortferry.requests.drain import Drain
from ragwortferry.requests.entry import Entry
from ragwortferry.requests.hop import HopParts
from ragwortferry.requests.owner import Owner
from ragwortferry.requests.remote import RemoteOwners
from ragwortferry.requests.target import Target
from ragwortferry.runtime import (
    first_of,
    kernel_entrypoint,
    run_main,
    spare_collector,
)
from ragwortferry.settings import Settings
from ragwortferry.source import directory, http  # noqa: F401 (they register adapters)
from ragwortferry.source.port import Instance, open_source
from ragwortferry.spread.boot import Boot
from ragwortferry.spread.members import Members
from ragwortferry.spread.peer import SpreadTimes
from ragwortferry.spread.peers import Peers
from ragwortferry.spread.reader import Reader
from ragwortferry.spread.seeker import Seeker
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.pacing import TokenBucket

SOURCE_BURST = 50.0
STOP_GRACE_S = 10.0
EXIT_INVARIANT = 3


class Process:
    """One running proxy.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._clock = HybridClock()
        context = LogContext(settings.instance, settings.zone, self._clock)
        self._log = Log(context, "process")
        self._stopping: asyncio.Event | None = None
        self._hurrying: asyncio.Event | None = None

    def run(self) -> int:
        """Run until a signal or a broken invariant, and return the exit code."""
        return run_main(self._run, self._settings.log)

    async def _run(self, loop: asyncio.AbstractEventLoop) -> int:
        kernel = _wire(self._settings, self._clock, self._log)
        self._stopping, self._hurrying = asyncio.Event(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        try:
            async with kernel_entrypoint(kernel, loop, STOP_GRACE_S):
                spare_collector()
                self._log.event(
                    "started", "process started", settings=self._described()
                )
                await self._wait_end(kernel)
        finally:
            await kernel.stop()
        self._log.event("stopped", "process stopped")
        return EXIT_INVARIANT if kernel.failed.is_set() else 0

    def _on_signal(self) -> None:
        """Leave in order at the first signal, at once at a second one."""
        if self._stopping.is_set():
            self._hurrying.set()
        self._stopping.set()

    def _described(self) -> dict[str, object]:
        names = self._settings.__struct_fields__
        return {name: getattr(self._settings, name) for name in names}

    async def _wait_end(self, kernel: Kernel) -> None:
        """Wait for a signal, then leave in order."""
        reader = kernel.get("reader")
        await first_of(self._stopping, kernel.failed, reader.stuck)
        if reader.stuck.is_set():
            raise SourceError(f"nothing can come into force: {reader.problem}")
        if kernel.failed.is_set():
            return
        kernel.get("drain").leave("signal")
        drained = asyncio.Event()
        kernel.spawn(self._drain(kernel, drained), "drain")
        await first_of(drained, self._hurrying, kernel.failed)

    async def _drain(self, kernel: Kernel, drained: asyncio.Event) -> None:
        """Close the listening port after a while and wait for requests in flight."""
        await asyncio.sleep(self._settings.leave_s)
        kernel.get("entry").stop_listening()
        await kernel.get("drain").wait_idle()
        drained.set()


@dataclass(frozen=True, slots=True)
class _Base:
    """What all services of the process are built from."""

    settings: Settings
    kernel: Kernel
    clock: HybridClock
    log: Log
    rng: random.Random
    members: Members
    store: VersionStore


def _wire(settings: Settings, clock: HybridClock, log: Log) -> Kernel:
    """Build the services; the order is that of their start."""
    kernel = Kernel(log.component("kernel"))
    me = _own_instance(settings)
    members = kernel.add("members", Members(me, settings.fanout, settings.readers))
    store = kernel.add("store", VersionStore(log.component("store")))
    rng = random.Random(settings.seed or None)
    base = _Base(settings, kernel, clock, log, rng, members, store)
    kernel.add("drain", Drain(members, log.component("drain"), settings.drain_s))
    peers = _wire_links(base)
    _wire_source(base, peers)
    _wire_requests(base, peers.incarnation)
    kernel.add("metrics", Metrics(kernel, settings.instance, settings.zone))
    return kernel


def _wire_links(base: _Base) -> Peers:
    settings = base.settings
    times = SpreadTimes(
        settings.heartbeat_s, settings.silence_s, settings.repair_s, settings.status_s
    )
    peers = Peers(
        base.kernel,
        base.members,
        base.store,
        base.clock,
        base.log.component("link"),
        times,
        settings.mesh,
        settings.max_children,
        base.rng,
    )
    return base.kernel.add("peers", peers)


def _wire_source(base: _Base, peers: Peers) -> None:
    settings, kernel = base.settings, base.kernel
    source = open_source(settings.source, settings.host)
    boot = Boot(
        kernel,
        base.members,
        peers,
        base.store,
        source,
        base.log.component("boot"),
        base.rng,
        _seeds(settings),
        settings.boot_wait_s,
    )
    kernel.add("boot", boot)
    direct = settings.mode == "direct"
    if not direct:
        log = base.log.component("seeker")
        seeker = Seeker(kernel, base.members, peers, boot, log, base.rng)
        kernel.add("seeker", seeker)
    reader = Reader(
        kernel,
        base.members,
        base.store,
        source,
        boot,
        base.log.component("reader"),
        base.rng,
        TokenBucket(settings.source_rate, SOURCE_BURST),
        everyone=direct,
        alone=not settings.seeds,
    )
    kernel.add("reader", reader)


def _wire_requests(base: _Base, incarnation: str) -> None:
    kernel, members = base.kernel, base.members
    target = kernel.add("target", Target(base.settings.target, members.me.host))
    balancer = kernel.add("balancer", Balancer(members, base.rng))
    drain = kernel.get("drain")

    def parts(name: str) -> HopParts:
        return HopParts(kernel, members, base.store, drain, base.log.component(name))

    admin = Admin(kernel)
    owner = Owner(parts("owner"), target, base.clock, admin.handle)
    kernel.add("owner", owner)
    remote = RemoteOwners(base.clock, members.me.host)
    entry = Entry(parts("entry"), balancer, owner, remote, incarnation)
    kernel.add("entry", entry)


def _own_instance(settings: Settings) -> Instance:
    return Instance(
        settings.instance,
        settings.zone,
        settings.region,
        settings.host,
        settings.listen_port,
        settings.owner_port,
        settings.link_port,
    )


def _seeds(settings: Settings) -> list[Instance]:
    """Return the seed addresses as instances of unknown name."""
    seeds = []
    for address in filter(None, settings.seeds.split(",")):
        host, _, port = address.partition(":")
        if not 0 < int(port) < 65536:
            raise SettingsError(f"--seeds: port {port} is out of range")
        seeds.append(Instance(address, "", "", host, 0, 0, int(port)))
    return seeds

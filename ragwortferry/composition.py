"""The composition root: creates the services of a process and connects them."""

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
from ragwortferry.requests.hop import HopContext
from ragwortferry.requests.owner import Owner
from ragwortferry.requests.remote import RemoteOwners
from ragwortferry.requests.target import Target
from ragwortferry.runtime import (
    kernel_entrypoint,
    run_main,
    tune_gc,
    wait_any,
)
from ragwortferry.settings import Settings
from ragwortferry.source import directory, http  # noqa: F401 (register adapters)
from ragwortferry.source.port import Instance, open_source
from ragwortferry.spread.boot import Boot
from ragwortferry.spread.members import Members
from ragwortferry.spread.peer import Timings
from ragwortferry.spread.peers import Peers
from ragwortferry.spread.reader import Reader
from ragwortferry.spread.seeker import Seeker
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.pacing import TokenBucket

SOURCE_BURST = 50.0  # calls
STOP_TIMEOUT_S = 10.0
EXIT_INVARIANT = 3


class Process:
    """A proxy process.

    :param settings: validated settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._clock = HybridClock()
        context = LogContext(settings.instance, settings.zone, self._clock)
        self._log = Log(context, "process")
        self._stop: asyncio.Event | None = None
        self._stop_now: asyncio.Event | None = None

    def run(self) -> int:
        """Run until a signal or a violated invariant, and return the exit code."""
        return run_main(self._run, self._settings.log)

    async def _run(self, loop: asyncio.AbstractEventLoop) -> int:
        kernel = _wire(self._settings, self._clock, self._log)
        self._stop, self._stop_now = asyncio.Event(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal)
        try:
            async with kernel_entrypoint(kernel, loop, STOP_TIMEOUT_S):
                tune_gc()
                self._log.event(
                    "started", "process started", settings=self._settings_fields()
                )
                await self._run_until_stopped(kernel)
        finally:
            await kernel.stop()
        self._log.event("stopped", "process stopped")
        return EXIT_INVARIANT if kernel.failed.is_set() else 0

    def _on_signal(self) -> None:
        """Drain at the first signal, and stop at once at a second one."""
        if self._stop.is_set():
            self._stop_now.set()
        self._stop.set()

    def _settings_fields(self) -> dict[str, object]:
        names = self._settings.__struct_fields__
        return {name: getattr(self._settings, name) for name in names}

    async def _run_until_stopped(self, kernel: Kernel) -> None:
        """Wait for a signal, then drain.

        A second signal or a violated invariant ends draining early.

        :raises SourceError: if no version can be obtained at start-up.
        """
        reader = kernel.get("reader")
        await wait_any(self._stop, kernel.failed, reader.startup_failed)
        if reader.startup_failed.is_set():
            raise SourceError(f"no version can be enforced: {reader.problem}")
        if kernel.failed.is_set():
            return
        kernel.get("drain").begin_shutdown(self._settings.leave_s)
        drained = asyncio.Event()
        kernel.spawn(self._drain(kernel, drained), "drain")
        await wait_any(drained, self._stop_now, kernel.failed)

    async def _drain(self, kernel: Kernel, drained: asyncio.Event) -> None:
        """Stop listening after ``leave_s`` and wait for requests in flight."""
        await asyncio.sleep(self._settings.leave_s)
        kernel.get("entry").stop_listening()
        await kernel.get("drain").wait_idle()
        drained.set()


@dataclass(frozen=True, slots=True)
class _Core:
    """Settings and services on which all other services depend."""

    settings: Settings
    kernel: Kernel
    clock: HybridClock
    log: Log
    rng: random.Random
    members: Members
    store: VersionStore


def _wire(settings: Settings, clock: HybridClock, log: Log) -> Kernel:
    """Create the services in the order in which they start."""
    kernel = Kernel(log.component("kernel"))
    me = _own_instance(settings)
    members = kernel.add("members", Members(me, settings.fanout, settings.readers))
    store = kernel.add("store", VersionStore(log.component("store")))
    rng = random.Random(settings.seed or None)
    core = _Core(settings, kernel, clock, log, rng, members, store)
    kernel.add("drain", Drain(members, log.component("drain"), settings.drain_s))
    peers = _wire_links(core)
    _wire_source(core, peers)
    _wire_requests(core, peers.incarnation)
    kernel.add("metrics", Metrics(kernel, settings.instance, settings.zone))
    return kernel


def _wire_links(core: _Core) -> Peers:
    settings = core.settings
    times = Timings(
        settings.heartbeat_s, settings.silence_s, settings.repair_s, settings.status_s
    )
    peers = Peers(
        core.kernel,
        core.members,
        core.store,
        core.clock,
        core.log.component("link"),
        times,
        settings.mesh,
        settings.max_children,
        core.rng,
    )
    return core.kernel.add("peers", peers)


def _wire_source(core: _Core, peers: Peers) -> None:
    settings, kernel = core.settings, core.kernel
    source = open_source(settings.source, settings.host)
    boot = Boot(
        kernel,
        core.members,
        peers,
        core.store,
        source,
        core.log.component("boot"),
        core.rng,
        _seed_instances(settings),
        settings.boot_wait_s,
    )
    kernel.add("boot", boot)
    direct = settings.mode == "direct"
    if not direct:
        log = core.log.component("seeker")
        seeker = Seeker(kernel, core.members, peers, boot, log, core.rng)
        kernel.add("seeker", seeker)
    reader = Reader(
        kernel,
        core.members,
        core.store,
        source,
        boot,
        core.log.component("reader"),
        core.rng,
        TokenBucket(settings.source_rate, SOURCE_BURST),
        always=direct,
        without_seeds=not settings.seeds,
    )
    kernel.add("reader", reader)


def _wire_requests(core: _Core, incarnation: str) -> None:
    kernel, members = core.kernel, core.members
    target = kernel.add("target", Target(core.settings.target, members.me.host))
    balancer = kernel.add("balancer", Balancer(members, core.rng))
    drain = kernel.get("drain")

    def context(name: str) -> HopContext:
        return HopContext(kernel, members, core.store, drain, core.log.component(name))

    admin = Admin(kernel)
    owner = Owner(context("owner"), target, core.clock, admin.handle)
    kernel.add("owner", owner)
    remote = RemoteOwners(core.clock, members.me.host)
    entry = Entry(context("entry"), balancer, owner, remote, incarnation)
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


def _seed_instances(settings: Settings) -> list[Instance]:
    """Return an instance for each seed address; its id is the address."""
    seeds = []
    for address in filter(None, settings.seeds.split(",")):
        host, _, port = address.partition(":")
        if not 0 < int(port) < 65536:
            raise SettingsError(f"--seeds: port {port} is out of range")
        seeds.append(Instance(address, "", "", host, 0, 0, int(port)))
    return seeds

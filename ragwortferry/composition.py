"""The composition root: it wires the services of one process."""

__all__ = ["Process"]

import asyncio
import gc
import random
import signal

import aiomisc

from ragwortferry.admin import Admin
from ragwortferry.exceptions import SettingsError, SourceError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log, LogContext, open_log
from ragwortferry.metrics import Metrics
from ragwortferry.requests.balance import Balancer
from ragwortferry.requests.drain import Drain
from ragwortferry.requests.entry import Entry
from ragwortferry.requests.hop import HopParts
from ragwortferry.requests.owner import Owner
from ragwortferry.requests.remote import RemoteOwners
from ragwortferry.requests.target import Target
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
from ragwortferry.utils.loop import NumericLoop
from ragwortferry.utils.pacing import TokenBucket

SOURCE_BURST = 50.0
STOP_GRACE_S = 10.0
YOUNG_OBJECTS = 10_000
EXIT_INVARIANT = 3


class KernelService(aiomisc.Service):
    """Runs the kernel inside the aiomisc entrypoint."""

    kernel: Kernel

    async def start(self) -> None:
        """Start the services."""
        await self.kernel.start()

    async def stop(self, exception: Exception | None = None) -> None:
        """Stop the services."""
        await self.kernel.stop()


class Process:
    """One running proxy.

    :param settings: checked settings.
    """

    def __init__(self, settings: Settings):
        self._settings = settings
        self._log: Log | None = None
        self._stopping: asyncio.Event | None = None

    def run(self) -> int:
        """Run until a signal or a broken invariant, and return the exit code."""
        settings = self._settings
        stream = open_log(settings.log)
        loop = NumericLoop()
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(self._run(loop))
        finally:
            loop.close()
            stream.flush()

    async def _run(self, loop: asyncio.AbstractEventLoop) -> int:
        kernel = self._wire()
        self._stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        entrypoint = aiomisc.entrypoint(
            KernelService(kernel=kernel),
            loop=loop,
            log_config=False,
            catch_signals=(),
            shutdown_timeout=STOP_GRACE_S,
        )
        try:
            async with entrypoint:
                _spare_collector()
                self._log.event(
                    "started", "process started", settings=self._described()
                )
                await self._wait_end(kernel)
        finally:
            await kernel.stop()
        self._log.event("stopped", "process stopped")
        return EXIT_INVARIANT if kernel.failed.is_set() else 0

    def _described(self) -> dict[str, object]:
        names = self._settings.__struct_fields__
        return {name: getattr(self._settings, name) for name in names}

    async def _wait_end(self, kernel: Kernel) -> None:
        """Wait for a signal, then leave in order."""
        reader = kernel.get("reader")
        events = (self._stopping, kernel.failed, reader.stuck)
        waits = [asyncio.ensure_future(event.wait()) for event in events]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()
        if reader.stuck.is_set():
            raise SourceError(f"nothing can come into force: {reader.problem}")
        if kernel.failed.is_set():
            return
        drain, entry = kernel.get("drain"), kernel.get("entry")
        drain.leave("signal")
        await asyncio.sleep(self._settings.leave_s)
        entry.stop_listening()
        await drain.wait_idle()

    def _wire(self) -> Kernel:
        """Build the services; the order is that of their start."""
        settings = self._settings
        clock = HybridClock()
        context = LogContext(settings.instance, settings.zone, clock)
        log = self._log = Log(context, "process")
        kernel = Kernel(log.part("kernel"))
        rng = random.Random(settings.seed or None)
        me = _own_instance(settings)

        members = kernel.add("members", Members(me, settings.fanout, settings.readers))
        store = kernel.add("store", VersionStore(log.part("store")))
        source = open_source(settings.source, settings.host)
        times = SpreadTimes(
            settings.heartbeat_s,
            settings.silence_s,
            settings.repair_s,
            settings.status_s,
        )
        peers = Peers(
            kernel,
            members,
            store,
            clock,
            log.part("link"),
            times,
            settings.mesh,
            settings.max_children,
            rng,
        )
        drain = kernel.add("drain", Drain(members, log.part("drain"), settings.drain_s))
        kernel.add("peers", peers)
        boot = Boot(
            kernel,
            members,
            peers,
            store,
            source,
            log.part("boot"),
            rng,
            _seeds(settings),
            settings.boot_wait_s,
        )
        kernel.add("boot", boot)
        direct = settings.mode == "direct"
        if not direct:
            seeker = Seeker(kernel, members, peers, boot, log.part("seeker"), rng)
            kernel.add("seeker", seeker)
        bucket = TokenBucket(settings.source_rate, SOURCE_BURST)
        reader = Reader(
            kernel,
            members,
            store,
            source,
            boot,
            log.part("reader"),
            rng,
            bucket,
            everyone=direct,
            alone=not settings.seeds,
        )
        kernel.add("reader", reader)
        self._wire_requests(kernel, members, store, peers, drain, clock, log, rng)
        kernel.add("metrics", Metrics(kernel, settings.instance, settings.zone))
        return kernel

    def _wire_requests(
        self, kernel, members, store, peers, drain, clock, log, rng
    ) -> None:
        target = kernel.add("target", Target(self._settings.target, members.me.host))
        balancer = kernel.add("balancer", Balancer(members, rng))
        admin = Admin(kernel)
        parts = HopParts(kernel, members, store, drain, log.part("owner"))
        owner = kernel.add("owner", Owner(parts, target, clock, admin.handle))
        remote = RemoteOwners(clock, members.me.host)
        parts = HopParts(kernel, members, store, drain, log.part("entry"))
        entry = Entry(parts, balancer, owner, remote, peers.incarnation)
        kernel.add("entry", entry)


def _spare_collector() -> None:
    """Keep what was loaded at the start out of the garbage collector's rounds."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)


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

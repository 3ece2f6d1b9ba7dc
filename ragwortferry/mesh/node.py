"""The composition root of a node on the platform."""

__all__ = ["Node"]

import asyncio
import random
import signal
import time
from pathlib import Path

from ragwortferry.exceptions import SettingsError
from ragwortferry.http1.server import Exchange, Server
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log, LogContext
from ragwortferry.mesh.entry import Entry
from ragwortferry.mesh.knowledge import Knowledge
from ragwortferry.mesh.metrics import NodeMetrics
from ragwortferry.mesh.owner import Owner
from ragwortferry.mesh.peers import Peers
from ragwortferry.mesh.placing import Placer
from ragwortferry.mesh.reader import Reader
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.relay import Relay
from ragwortferry.platform.config import decode_document
from ragwortferry.platform.names import READY_PATH
from ragwortferry.platform.settings import load_node_settings
from ragwortferry.platform.store import StoreClient
from ragwortferry.runtime import (
    first_of,
    kernel_entrypoint,
    run_main,
    spare_collector,
)
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.egress import EgressPacer

# Seconds between a stop signal and the earliest end: the platform asks for readiness
# each second and stops sending callers after two misses.
LEAVE_S = 2.6
# Seconds before the platform kills the process at which it ends at the latest.
GRACE_MARGIN_S = 0.4
# Period of the check for the end of requests while leaving, in seconds.
IDLE_CHECK_S = 0.05
# Seconds without a request after which the node ends, so that callers have read their
# last answers before their connections are reset.
SETTLE_S = 0.2
# Period of the look at the settings file and at suspension, in seconds.
WATCH_S = 0.5
# Seconds of standing still after which nothing known about peers counts any more.
STANDSTILL_S = 1.5
SHUTDOWN_S = 2.0
# Port of the metrics page; the deploy file names the same.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503


class Node:
    """One running node.

    :param path: the settings file.
    """

    def __init__(self, path: Path):
        self._path = path
        self._settings = load_node_settings(path)
        self._clock = HybridClock()
        context = LogContext(self._settings.name, self._settings.zone, self._clock)
        self._incarnation = context.incarnation
        self._log = Log(context, "node")
        self._kernel = Kernel(self._log.component("kernel"))
        self._rng = random.Random(self._incarnation)
        self._changed = 0
        # Whether each peer that was known at the start was dialed once.
        self._linked_up = False
        self.leaving = False

    def run(self) -> int:
        """Run until a signal, and return the exit code."""
        return run_main(self._run, "stdout")

    async def _run(self, loop: asyncio.AbstractEventLoop) -> int:
        stopping = asyncio.Event()
        loop.add_signal_handler(signal.SIGTERM, stopping.set)
        loop.add_signal_handler(signal.SIGINT, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        kernel = self._wire()
        async with kernel_entrypoint(kernel, loop, SHUTDOWN_S):
            spare_collector()
            self._log.event("started", "node started", incarnation=self._incarnation)
            kernel.spawn(self._watch(), "watch")
            await first_of(stopping, kernel.failed)
            await self._leave(kernel)
        self._log.event("stopped", "node stopped")
        return 0

    def _wire(self) -> Kernel:
        """Build the services; the order is that of their start."""
        settings, kernel, log = self._settings, self._kernel, self._log
        knowledge = kernel.add(
            "knowledge", Knowledge(decode_document, log.component("state"))
        )
        metrics = kernel.add("metrics", NodeMetrics(settings.name, settings.zone))
        store = StoreClient(settings.store_address, settings.host)
        relay = kernel.add("relay", Relay(knowledge, settings.host, settings.zone))
        outflow = kernel.add(
            "outflow", EgressPacer(settings.link_mbps, asyncio.get_running_loop())
        )
        owner = kernel.add(
            "owner",
            Owner(
                knowledge,
                outflow,
                settings.target_address,
                settings.host,
                Recorder(log.component("owner"), metrics, settings.service),
            ),
        )
        peers = kernel.add(
            "peers",
            Peers(
                kernel,
                knowledge,
                owner,
                relay,
                settings.link_address,
                settings.peer_port,
                settings.seeds,
                settings.zone,
                outflow,
                self._incarnation,
                log.component("link"),
                self._rng,
            ),
        )
        recorder = Recorder(log.component("entry"), metrics, settings.service)
        entry = kernel.add(
            "entry",
            Entry(
                knowledge,
                Placer(settings.zone, settings.host, settings.link_mbps, self._rng),
                owner,
                peers,
                outflow,
                recorder,
                settings.listen_address,
                settings.service,
                self._incarnation[:8],
                settings.bounds,
                self._rng,
                lambda: relay.nodes,
            ),
        )
        kernel.add(
            "reader",
            Reader(
                kernel,
                knowledge,
                peers,
                relay,
                store,
                log.component("store"),
                self._rng,
            ),
        )
        address = settings.readiness_address
        kernel.add("readiness", Server(self._readiness, address.host, address.port))
        kernel.add("pages", Server(self._page, settings.host, METRICS_PORT))
        _observe(metrics, knowledge, owner, peers, entry, store)
        return kernel

    async def _readiness(self, exchange: Exchange) -> None:
        """Say whether callers may be sent here."""
        knowledge = self._kernel.get("knowledge")
        if exchange.request.path != READY_PATH:
            exchange.respond(NOT_FOUND, [])
        else:
            self._linked_up |= self._kernel.get("peers").tried
            ready = knowledge.ready and self._linked_up and not self.leaving
            exchange.respond(OK if ready else UNAVAILABLE, [])

    async def _page(self, exchange: Exchange) -> None:
        """Serve the metrics."""
        if exchange.request.path != METRICS_PATH:
            exchange.respond(NOT_FOUND, [])
            return
        text = self._kernel.get("metrics").text()
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        exchange.respond(OK, headers, text.encode())

    async def _leave(self, kernel: Kernel) -> None:
        """Let callers go and wait for the requests that are left."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.leaving = True
        owner, entry = kernel.get("owner"), kernel.get("entry")
        self._log.event("leaving", "node is leaving", in_flight=entry.in_flight)
        quiet_since = began
        latest = self._settings.bounds.grace_s - GRACE_MARGIN_S
        entry.leave(began + latest - SETTLE_S)
        owner.leaving = True
        kernel.get("peers").tell_load()
        outflow = kernel.get("outflow")
        while (spent := loop.time() - began) < latest:
            if not owner.idle or not outflow.idle or entry.in_flight:
                quiet_since = loop.time()
            quiet = loop.time() - quiet_since > IDLE_CHECK_S
            if spent > LEAVE_S and quiet or spent > latest - SETTLE_S:
                entry.shut()
            if spent > LEAVE_S and loop.time() - quiet_since > SETTLE_S:
                return
            await asyncio.sleep(IDLE_CHECK_S)
        if entry.in_flight or not owner.idle:
            self._log.event(
                "cut", "requests are left at the end", in_flight=entry.in_flight
            )

    def _reload(self) -> None:
        """Read the settings file again; what listens stays as it is."""
        try:
            self._settings = load_node_settings(self._path)
        except SettingsError as error:
            self._log.error("settings are not reloaded", error)
            return
        self._log.event("reloaded", "settings are reloaded")

    async def _watch(self) -> None:
        """Notice a changed settings file, and that the process stood still."""
        before = _now_with_suspension()
        while True:
            await asyncio.sleep(WATCH_S)
            self._check_file()
            now = _now_with_suspension()
            if now - before > WATCH_S + STANDSTILL_S:
                still = round(now - before - WATCH_S, 2)
                self._log.event("resumed", "process stood still", seconds=still)
                self._kernel.get("peers").drop_all("this process stood still")
            before = now

    def _check_file(self) -> None:
        try:
            changed = self._path.stat().st_mtime_ns
        except OSError as error:
            self._log.error("settings file cannot be found", error)
            return
        if self._changed and changed != self._changed:
            self._reload()
        self._changed = changed


def _now_with_suspension() -> float:
    """Return seconds of a clock that counts the time of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _observe(
    metrics: NodeMetrics,
    knowledge: Knowledge,
    owner: Owner,
    peers: Peers,
    entry: Entry,
    store: StoreClient,
) -> None:
    metrics.observe("version", lambda: knowledge.version)
    metrics.observe("registry_revision", lambda: knowledge.revision)
    metrics.observe("upstreams", lambda: len(knowledge.upstreams))
    metrics.observe("links", lambda: peers.linked_hosts)
    metrics.observe("in_flight", lambda: entry.in_flight)
    metrics.observe("owner_running", lambda: owner.load().running)
    metrics.observe("owner_queued", lambda: owner.load().queued)
    metrics.observe("owner_refused", lambda: owner.refused)
    metrics.observe("owner_ran", lambda: owner.ran)
    metrics.observe("upstream_connections_opened", lambda: owner.opened)
    metrics.observe("store_calls", lambda: store.calls)

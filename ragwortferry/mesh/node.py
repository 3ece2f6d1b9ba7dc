"""Composition root of a node: builds its services and runs them until a signal."""

__all__ = ["Node"]

import asyncio
import random
import signal
import time
from pathlib import Path

from ragwortferry.exceptions import SettingsError
from ragwortferry.http1.server import Exchange, Server, ServerLimits
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log, LogContext
from ragwortferry.mesh.entry import Entry
from ragwortferry.mesh.evacuation import EvacuationExchange
from ragwortferry.mesh.evidence import EvidenceExchange
from ragwortferry.mesh.links.peers import Peers
from ragwortferry.mesh.links.relay import Relay
from ragwortferry.mesh.metrics import NodeMetrics
from ragwortferry.mesh.owner import Owner
from ragwortferry.mesh.placement.aperture import Aperture
from ragwortferry.mesh.placement.balance import Balancer
from ragwortferry.mesh.quarantine import Quarantine
from ragwortferry.mesh.reader import Reader
from ragwortferry.mesh.recording import Recorder
from ragwortferry.mesh.revisions import store_revision
from ragwortferry.mesh.state import MeshState
from ragwortferry.mesh.version_watch import VersionWatch
from ragwortferry.platform.config import DocumentDecoder
from ragwortferry.platform.names import READY_PATH
from ragwortferry.platform.settings import load_node_settings
from ragwortferry.platform.store import StoreClient
from ragwortferry.runtime import (
    kernel_entrypoint,
    run_main,
    tune_gc,
    wait_any,
)
from ragwortferry.utils.clock import HybridClock
from ragwortferry.utils.egress import EgressPacer
from ragwortferry.utils.lag import LoopLag

# Minimum time between a stop signal and the exit. The platform probes readiness each
# second and stops sending callers after two failures.
MIN_SHUTDOWN_S = 2.6
# The process exits at the latest this long before the platform kills it.
GRACE_MARGIN_S = 0.4
# Interval between checks for requests in flight during shutdown.
IDLE_CHECK_INTERVAL_S = 0.05
# The node exits after this long without a request, so that callers have read their last
# responses before their connections are reset.
QUIET_PERIOD_S = 0.2
# Interval between checks of the settings file and for a suspension of the process.
MONITOR_INTERVAL_S = 0.5
# Shortest suspension after which all links are closed, since what is known about the
# peers is outdated.
MIN_SUSPENSION_S = 1.5
# Part of the memory of the instance for responses that callers do not read. A node uses
# about 40 MB; the rest is for what it holds for upstreams and peers.
HELD_MEMORY_FRACTION, BYTES_PER_MB = 0.2, 1_000_000
# The same for request bodies. Each is copied when it is sent on.
REQUEST_MEMORY_FRACTION = 0.1
# Requests for the node's own pages have no body.
PAGE_LIMITS = ServerLimits(body_bytes=0)
# Time that the services have to stop.
STOP_TIMEOUT_S = 2.0
# The deployment file has the same port.
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
OK, NOT_FOUND, UNAVAILABLE = 200, 404, 503


class Node:
    """A node process.

    :param path: path of the settings file.
    """

    def __init__(self, path: Path):
        self._settings_path = path
        # Taken before the settings are loaded, so that no later change is missed.
        self._settings_mtime_ns = _mtime_ns(path)
        self._settings = load_node_settings(path)
        self._clock = HybridClock()
        context = LogContext(self._settings.name, self._settings.zone, self._clock)
        self._incarnation = context.incarnation
        self._log = Log(context, "node")
        self._kernel = Kernel(self._log.component("kernel"))
        self._rng = random.Random(self._incarnation)
        # Whether each peer known at the start was dialed at least once. Peers that are
        # added later do not make the node unready.
        self._initial_dials_done = False
        # Loop time of the stop signal, ``None`` before it comes.
        self._signalled_at: float | None = None
        self.shutting_down = False

    def run(self) -> int:
        """Run until a stop signal and return the exit code."""
        return run_main(self._run, "stdout")

    async def _run(self, loop: asyncio.AbstractEventLoop) -> int:
        stopping, lag = asyncio.Event(), LoopLag(loop)

        def on_stop_signal() -> None:
            if not stopping.is_set():
                self._signalled_at = loop.time() - lag.seconds
                stopping.set()

        loop.add_signal_handler(signal.SIGTERM, on_stop_signal)
        loop.add_signal_handler(signal.SIGINT, on_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        kernel = self._build_services()
        async with kernel_entrypoint(kernel, loop, STOP_TIMEOUT_S):
            tune_gc()
            self._log.event("started", "node started", incarnation=self._incarnation)
            kernel.supervise(self._monitor, "watch")
            await wait_any(stopping, kernel.failed)
            await self._shut_down(kernel)
        self._log.event("stopped", "node stopped")
        return 0

    def _build_services(self) -> Kernel:
        """Build the services and register them in the order in which they start."""
        settings, kernel, log = self._settings, self._kernel, self._log
        state = kernel.add(
            "knowledge", MeshState(DocumentDecoder().decode, log.component("state"))
        )
        metrics = kernel.add("metrics", NodeMetrics(settings.name, settings.zone))
        store = StoreClient(settings.store_address, settings.host)
        relay = kernel.add("relay", Relay(state, settings.host, settings.zone))
        versions = kernel.add(
            "versions",
            VersionWatch(state, asyncio.get_running_loop(), log.component("state")),
        )
        relay.on_known_version = versions.record
        pacer = kernel.add(
            "outflow", EgressPacer(settings.link_mbps, asyncio.get_running_loop())
        )
        quarantine = kernel.add("quarantine", Quarantine(settings.host))
        evidence = kernel.add(
            "evidence",
            EvidenceExchange(
                quarantine,
                relay,
                self._incarnation,
                log.component("quarantine"),
                self._rng,
            ),
        )
        evacuation = kernel.add(
            "evacuation",
            EvacuationExchange(state.evacuations, relay, log.component("evacuation")),
        )
        owner = kernel.add(
            "owner",
            Owner(
                state,
                pacer,
                settings.target_address,
                settings.host,
                quarantine,
                evidence,
                Recorder(log.component("owner"), metrics, settings.service),
                log.component("owner"),
                settings.bounds.cold_overage > 0,
            ),
        )
        aperture = kernel.add("aperture", Aperture(settings.host, settings.zone))
        peers = kernel.add(
            "peers",
            Peers(
                kernel,
                state,
                owner,
                relay,
                evidence,
                evacuation,
                settings.link_address,
                settings.peer_port,
                settings.seeds,
                settings.zone,
                aperture,
                pacer,
                self._incarnation,
                log.component("link"),
                self._rng,
            ),
        )
        recorder = Recorder(log.component("entry"), metrics, settings.service)
        entry = kernel.add(
            "entry",
            Entry(
                state,
                aperture,
                Balancer(settings.zone, settings.host, settings.link_mbps, self._rng),
                owner,
                peers,
                pacer,
                quarantine,
                recorder,
                settings.listen_address,
                settings.service,
                self._incarnation[:8],
                settings.bounds,
                self._rng,
                lambda: relay.node_count,
                HELD_MEMORY_FRACTION * settings.memory_mb * BYTES_PER_MB,
                REQUEST_MEMORY_FRACTION * settings.memory_mb * BYTES_PER_MB,
            ),
        )
        reader = kernel.add(
            "reader",
            Reader(
                kernel,
                state,
                peers,
                relay,
                evacuation,
                store,
                log.component("store"),
                self._rng,
            ),
        )
        address = settings.readiness_address
        kernel.add(
            "readiness",
            Server(
                self._serve_readiness, address.host, address.port, limits=PAGE_LIMITS
            ),
        )
        kernel.add(
            "pages",
            Server(
                self._serve_metrics, settings.host, METRICS_PORT, limits=PAGE_LIMITS
            ),
        )
        _register_gauges(metrics, state, owner, peers, entry, store, quarantine)
        metrics.add_counters("link_bytes", "message", lambda: pacer.bytes_by_kind)
        metrics.add_counters(
            "requests_by_standing", "standing", lambda: entry.standings
        )
        metrics.add_gauges("links_by_reason", "reason", lambda: peers.count_by_reason)
        metrics.add_gauge("version_known", lambda: versions.known_version)
        metrics.add_gauge("version_awaited_s", lambda: versions.awaited_s)
        metrics.add_gauge("links_accepted", lambda: peers.accepted_count)
        metrics.add_gauge("egress_delay_ms", lambda: pacer.queueing_delay_s * 1000)
        owner.count_sharers = lambda: peers.accepted_count + 1
        owner.on_news = peers.broadcast_load
        peers.on_round_trip = metrics.record_round_trip
        peers.on_loop_lag = metrics.record_loop_lag
        reader.on_read = metrics.record_store_read
        return kernel

    async def _serve_readiness(self, exchange: Exchange) -> None:
        """Respond to the platform's readiness probe."""
        state = self._kernel.get("knowledge")
        if exchange.request.path != READY_PATH:
            exchange.respond(NOT_FOUND, [])
        else:
            self._initial_dials_done |= self._kernel.get("peers").all_dialed
            ready = state.ready and self._initial_dials_done and not self.shutting_down
            exchange.respond(OK if ready else UNAVAILABLE, [])

    async def _serve_metrics(self, exchange: Exchange) -> None:
        """Respond with the metrics as text."""
        if exchange.request.path != METRICS_PATH:
            exchange.respond(NOT_FOUND, [])
            return
        text = self._kernel.get("metrics").text()
        headers = [("Content-Type", "text/plain; charset=utf-8")]
        exchange.respond(OK, headers, text.encode())

    async def _shut_down(self, kernel: Kernel) -> None:
        """Drain: refuse what would not finish in time and wait for what is in flight.

        Callers are asked to close their connections, and peers get a load report: the
        upstream no longer accepts requests.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self.shutting_down = True
        owner, entry = kernel.get("owner"), kernel.get("entry")
        self._log.event("leaving", "node is shutting down", in_flight=entry.in_flight)
        quiet_since = started_at
        signalled_at = started_at if self._signalled_at is None else self._signalled_at
        exits_at = signalled_at + self._settings.bounds.grace_s - GRACE_MARGIN_S
        ends_at = exits_at - QUIET_PERIOD_S
        entry.drain(ends_at)
        owner.drain(ends_at)
        kernel.get("peers").broadcast_load()
        pacer = kernel.get("outflow")
        while (now := loop.time()) < exits_at:
            if not (owner.idle and pacer.idle and entry.idle):
                quiet_since = now
            quiet_s = now - quiet_since
            may_exit = now - started_at > MIN_SHUTDOWN_S
            if may_exit and quiet_s > IDLE_CHECK_INTERVAL_S or now > ends_at:
                entry.close()
            if may_exit and quiet_s > QUIET_PERIOD_S:
                return
            await asyncio.sleep(IDLE_CHECK_INTERVAL_S)
        if not (owner.idle and entry.idle):
            self._log.event(
                "cut", "requests aborted at shutdown", in_flight=entry.in_flight
            )

    def _reload(self) -> None:
        """Read the settings file again, without opening or closing any port."""
        try:
            self._settings = load_node_settings(self._settings_path)
        except SettingsError as error:
            self._log.error("cannot reload settings", error)
            return
        self._log.event("reloaded", "settings reloaded")

    async def _monitor(self) -> None:
        """Reload a changed settings file, and close links after a suspension."""
        previous = _boottime()
        while True:
            await asyncio.sleep(MONITOR_INTERVAL_S)
            self._check_settings_file()
            now = _boottime()
            if now - previous > MONITOR_INTERVAL_S + MIN_SUSPENSION_S:
                suspended_s = round(now - previous - MONITOR_INTERVAL_S, 2)
                self._log.event(
                    "resumed",
                    f"process was suspended for {suspended_s} s",
                    seconds=suspended_s,
                )
                self._kernel.get("peers").close_all("this process was suspended")
            previous = now

    def _check_settings_file(self) -> None:
        try:
            mtime_ns = self._settings_path.stat().st_mtime_ns
        except OSError as error:
            self._log.error("cannot read status of settings file", error)
            return
        if mtime_ns != self._settings_mtime_ns:
            self._reload()
        self._settings_mtime_ns = mtime_ns


def _mtime_ns(path: Path) -> int:
    """Return the modification time of a file, 0 if it cannot be read."""
    try:
        return path.stat().st_mtime_ns
    except OSError:
        return 0


def _boottime() -> float:
    """Return the time of a monotonic clock that includes suspensions, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _register_gauges(
    metrics: NodeMetrics,
    state: MeshState,
    owner: Owner,
    peers: Peers,
    entry: Entry,
    store: StoreClient,
    quarantine: Quarantine,
) -> None:
    metrics.add_gauge("version", lambda: state.version)
    metrics.add_gauge("registry_revision", lambda: store_revision(state.revision))
    metrics.add_gauge("store_era", lambda: state.era)
    metrics.add_gauge("store_era_changes", lambda: state.era_changes)
    metrics.add_gauge("upstreams_unconfirmed", lambda: len(state.unconfirmed))
    metrics.add_gauge("upstreams", lambda: len(state.upstreams))
    metrics.add_gauge("upstreams_leaving", lambda: state.leaving_count)
    metrics.add_gauge("zones_evacuated", lambda: len(state.evacuations.zones))
    metrics.add_gauge("links", lambda: peers.connected_count)
    metrics.add_gauge("in_flight", lambda: entry.in_flight)
    metrics.add_gauge("upstreams_limited", lambda: entry.limited_count)
    metrics.add_gauge("entry_held_bytes", lambda: entry.held_bytes)
    metrics.add_gauge("entry_refused_bodies", lambda: entry.refused_bodies)
    metrics.add_gauge("entry_stalled_callers", lambda: entry.stalled_callers)
    metrics.add_gauge("call_routes", lambda: len(entry.call_routes))
    metrics.add_gauge("upstreams_cold", lambda: entry.cold_count)
    metrics.add_gauge("entry_refused_for_limit", lambda: entry.refused_for_limit)
    metrics.add_gauge("owner_running", lambda: owner.load().running)
    metrics.add_gauge("owner_queued", lambda: owner.load().queued)
    metrics.add_gauge("owner_refused", lambda: owner.refused)
    metrics.add_gauge("upstream_limited", lambda: int(owner.limit_per_s is not None))
    metrics.add_gauge("upstream_limit_per_s", lambda: owner.limit_per_s or 0.0)
    metrics.add_gauge("upstream_warmup_per_s", lambda: owner.warmup_rate_per_s or 0.0)
    metrics.add_gauge("upstream_health_checks", lambda: owner.health_checks)
    metrics.add_gauge("owner_refused_evacuated", lambda: owner.refused_evacuated)
    metrics.add_gauge("owner_held_for_limit", lambda: owner.held_for_limit)
    metrics.add_gauge("owner_refused_for_limit", lambda: owner.refused_for_limit)
    metrics.add_gauge("owner_ran", lambda: owner.ran)
    metrics.add_gauge("upstream_connections_opened", lambda: owner.connections_opened)
    metrics.add_gauge("store_calls", lambda: store.calls)
    metrics.add_gauge("upstream_crashes", lambda: owner.crashes)
    metrics.add_gauge("suspects", lambda: quarantine.suspect_count)
    metrics.add_gauge("requests_quarantined", lambda: quarantine.convicted_count)
    metrics.add_gauge("entry_refused_quarantined", lambda: entry.refused_in_quarantine)
    metrics.add_gauge("owner_refused_quarantined", lambda: owner.refused_in_quarantine)

"""Finds out whether the upstream of this instance is cold."""

__all__ = ["WarmUpMonitor"]

import asyncio
from collections.abc import Callable

from ragwortferry.http1.client import Pool
from ragwortferry.logs import Log
from ragwortferry.mesh.admission.health import check_health
from ragwortferry.mesh.admission.warmup import WarmUp
from ragwortferry.mesh.model import Document, Upstream
from ragwortferry.mesh.state import MeshState, RegistryChange

# Minimum interval between two health checks.
MIN_INTERVAL_S = 0.5


class WarmUpMonitor:
    """Collects what is known about the warm-up of the own upstream.

    Its health page is checked when this node cannot know: after the start of the node,
    after the upstream was down, and at the end of an evacuation. Nothing is checked
    and nothing is limited unless the service's configuration bounds cold upstreams.

    :param pool: connections to the upstream.
    :param own_host: IP address of this instance.
    :param expected: whether the settings bound the requests to cold upstreams. Until
        the configuration and the entry of the upstream are known, it may then be cold.
    :param on_change: called when the tolerated rate begins, ends or changes.
    """

    def __init__(
        self,
        state: MeshState,
        pool: Pool,
        own_host: str,
        expected: bool,
        on_change: Callable[[], None],
        log: Log,
    ):
        self._state = state
        self._pool = pool
        self._own_host = own_host
        self._expected = expected
        self._on_change = on_change
        self._log = log
        self._warmup = WarmUp()
        self._entry: Upstream | None = None
        # Whether connections to the upstream fail: it may start again at any moment.
        self._down = False
        # Id of the last process that was not in the registry.
        self._unlisted = ""
        self._rate_per_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._check: asyncio.Task | None = None
        self._checked_at = float("-inf")
        state.on_document.append(self._on_document)
        state.on_registry.append(self._on_registry)
        state.evacuations.on_change.append(self._on_evacuation)
        self.health_checks = 0

    @property
    def unknown(self) -> bool:
        """Return whether nothing is known yet that shows the upstream to be warm."""
        return self._expected and (self._entry is None or self._state.document is None)

    @property
    def bounded(self) -> bool:
        """Return whether the service bounds the requests to cold upstreams."""
        return self._warmup.bounded

    @property
    def rate_per_s(self) -> float | None:
        """Return the rate that the upstream tolerates, ``None`` if it is warm."""
        return self._rate_per_s

    def remaining(self, now: float) -> float:
        """Return the time for which the upstream stays cold, in seconds."""
        return self._warmup.remaining(now)

    def stop(self) -> None:
        """Stop the timer and a pending check."""
        if self._timer is not None:
            self._timer.cancel()
        if self._check is not None:
            self._check.cancel()

    def record_down(self) -> None:
        """Record that the upstream accepts no connections, or has crashed."""
        if not self._down:
            self._down = True
            self._update()

    def record_disconnected(self) -> None:
        """Record that no connection is open: the upstream may have started again.

        One that closes each connection is not taken for cold each time: its health was
        checked a moment ago.
        """
        if self._now() - self._checked_at >= MIN_INTERVAL_S:
            self.record_down()

    def record_up(self) -> None:
        """Record that the upstream accepts a connection: it may have started again."""
        if self._down:
            self._down = False
            self._presume_cold("accepts connections again")

    def record_process(self, upstream: str) -> None:
        """Record which process of the upstream is asked for, or has answered.

        One that the registry does not list yet has probably just started.
        """
        if upstream != self._unlisted and upstream not in self._state.upstreams:
            self._unlisted = upstream
            self._presume_cold("its process is not in the registry yet")

    def record_response(self, cold_s: float | None) -> None:
        """Record for how long the upstream says in a response that it stays cold."""
        if cold_s is not None and self._warmup.bounded:
            self._warmup.record_response(cold_s, self._now())
            self._update()

    def _on_document(self, document: Document) -> None:
        self._set_service()

    def _on_registry(self, change: RegistryChange) -> None:
        for item in change.upstreams:
            if item.address.host == self._own_host:
                self._entry = item
                self._warmup.record_entry(item, self._now())
                self._set_service()

    def _on_evacuation(self, zones: list[str]) -> None:
        entry = self._entry
        if entry is None or entry.zone not in zones:
            return
        if not self._state.evacuations.includes(entry.zone):
            self._presume_cold("its zone is no longer evacuated")

    def _set_service(self) -> None:
        """Take over the configuration of the upstream's service once it is known.

        The entry may have been written before the upstream was started again, so the
        upstream itself is checked too.
        """
        document = self._state.document
        if document is None or self._entry is None:
            return
        was_bounded = self._warmup.bounded
        self._warmup.set_service(document.services.get(self._entry.service))
        self._update()
        if not was_bounded:
            self._start_check()

    def _presume_cold(self, reason: str) -> None:
        """Take the upstream for cold until it states otherwise."""
        if self._warmup.bounded:
            self._log.event(
                "warmup-presumed",
                f"upstream may be cold: {reason}",
                upstream=self._entry.id if self._entry else "",
            )
            self._warmup.record_start(self._now())
            self._update()
            self._start_check()

    def _start_check(self) -> None:
        """Check the health page, unless that was done a moment ago."""
        now = self._now()
        if not self._warmup.bounded or self._check is not None:
            return
        if now - self._checked_at < MIN_INTERVAL_S:
            return
        self._checked_at = now
        self._check = asyncio.get_running_loop().create_task(self._check_health())
        self._check.add_done_callback(self._on_checked)

    async def _check_health(self) -> None:
        service = self._state.document.services[self._entry.service]
        host = f"{self._entry.address.host}:{self._entry.address.port}"
        self.health_checks += 1
        stated = await check_health(self._pool, host, service.health_path)
        if stated is not None:
            self.record_response(stated.cold_s)

    def _on_checked(self, task: asyncio.Task) -> None:
        self._check = None
        if not task.cancelled() and task.exception() is not None:
            self._log.error("health check failed", task.exception())

    def _update(self) -> None:
        """Find out which rate holds now, and look again when that ends."""
        now = self._now()
        rate_per_s = self._warmup.rate(now)
        if self._down and self._warmup.bounded:
            rate_per_s = self._warmup.cold_rate_per_s
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if now < self._warmup.ends_at and self._warmup.bounded:
            self._timer = asyncio.get_running_loop().call_at(
                self._warmup.ends_at, self._update
            )
        if rate_per_s == self._rate_per_s:
            return
        self._rate_per_s = rate_per_s
        self._log.event(
            "warmup" if rate_per_s is not None else "warmup-ended",
            f"upstream is cold, {rate_per_s:g} requests/s"
            if rate_per_s is not None
            else "upstream is warm",
            upstream=self._entry.id if self._entry else "",
            rate_per_s=rate_per_s,
            remaining_s=round(self._warmup.remaining(now), 3),
            down=self._down,
        )
        self._on_change()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

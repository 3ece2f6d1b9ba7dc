"""Sends status reports up the tree and zone summaries to all zones."""

__all__ = ["Reporter"]

import asyncio
import math
import random
from collections.abc import Callable, Iterable

from ragwortferry.kernel import Kernel
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import (
    FleetReport,
    Mode,
    SubtreeReport,
    ZoneSummary,
)
from ragwortferry.spread.peer import Peer, Timings, find_parent
from ragwortferry.spread.status import StatusTable, ZoneSummaries
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.clock import HybridClock


class Reporter:
    """Maintains and exchanges the status of the fleet.

    Reports of instances flow up the tree of a zone. Its root makes a summary of them,
    which is forwarded between zones and down the trees.

    :param peers: returns the peers with an open link.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        store: VersionStore,
        clock: HybridClock,
        timings: Timings,
        rng: random.Random,
        peers: Callable[[], Iterable[Peer]],
    ):
        self._kernel = kernel
        self._members = members
        self._clock = clock
        self._timings = timings
        self._rng = rng
        self._peers = peers
        self._report_timer: asyncio.TimerHandle | None = None
        self._summary_timer: asyncio.TimerHandle | None = None
        self._pending_summaries: dict[str, tuple[ZoneSummary, Peer | None]] = {}
        self._last_summary_at = -math.inf
        self.table = StatusTable(members, store)
        self.summaries = ZoneSummaries(members)

    def start(self) -> None:
        """Start the periodic reports."""
        self._kernel.spawn(self._run(), "status")

    def stop(self) -> None:
        """Cancel the pending timers."""
        for timer in (self._report_timer, self._summary_timer):
            if timer:
                timer.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._timings.status_s * self._rng.uniform(0.8, 1.0))
            self._send_report()

    def on_link_up(self, peer: Peer) -> None:
        """Send a new peer the known summaries and schedule a report."""
        if self._gets_summaries(peer):
            peer.link.send(self.summaries.report())
        self.schedule_report()

    def on_link_down(self, peer: Peer) -> None:
        """Remove the report of a peer that is no longer a child."""
        self.table.remove(id(peer))

    def on_report(self, peer: Peer, report: SubtreeReport) -> None:
        """Store the report of a child."""
        if self.table.update(id(peer), report):
            self.schedule_report()

    def on_fleet_report(self, peer: Peer, report: FleetReport) -> None:
        """Merge zone summaries and forward the new ones."""
        self._queue_summaries(self.summaries.merge(report.zones), origin=peer)

    def schedule_report(self) -> None:
        """Send a status report after a delay that batches further changes."""
        if self._report_timer is not None:
            return
        loop = asyncio.get_running_loop()
        delay = self._timings.report_delay_s
        if self._parent() is None:
            remaining = (
                self._last_summary_at + self._timings.summary_interval_s - loop.time()
            )
            delay = max(delay, remaining)
        self._report_timer = loop.call_later(delay, self._send_report)

    def refresh(self) -> None:
        """Update the summary of the own zone if this process is its root."""
        if self._parent() is None:
            self.summaries.merge([self.table.summary(self._clock)])

    def _parent(self) -> Peer | None:
        return find_parent(self._peers())

    def _send_report(self) -> None:
        if self._report_timer:
            self._report_timer.cancel()
            self._report_timer = None
        parent = self._parent()
        if parent:
            parent.link.send(self.table.report())
            return
        self._last_summary_at = asyncio.get_running_loop().time()
        summary = self.table.summary(self._clock)
        self._queue_summaries(self.summaries.merge([summary]), origin=None)

    def _queue_summaries(
        self, summaries: list[ZoneSummary], origin: Peer | None
    ) -> None:
        """Forward new summaries after a delay that batches further ones."""
        for summary in summaries:
            self._pending_summaries[summary.zone] = summary, origin
        if summaries and self._summary_timer is None:
            loop = asyncio.get_running_loop()
            delay = self._timings.summary_delay_s
            self._summary_timer = loop.call_later(delay, self._send_summaries)

    def _send_summaries(self) -> None:
        """Send the queued summaries to all peers except those they came from."""
        self._summary_timer = None
        pending = list(self._pending_summaries.values())
        self._pending_summaries.clear()
        for peer in self._peers():
            summaries = [summary for summary, origin in pending if origin is not peer]
            if summaries and self._gets_summaries(peer):
                peer.link.send(FleetReport(summaries))

    def _gets_summaries(self, peer: Peer) -> bool:
        """Return whether a peer gets summaries: all but lazy peers of the own zone."""
        other_zone = peer.instance.zone != self._members.me.zone
        return other_zone or peer.mode is Mode.ACTIVE

"""Sends status reports up the tree and summaries of zones to everyone."""

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
from ragwortferry.spread.peer import Peer, Timings, parent_among
from ragwortferry.spread.status import StatusTable, ZoneSummaries
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.clock import HybridClock


class Reporter:
    """Keeps what is known of the fleet up to date.

    :param peers: returns the open links.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        store: VersionStore,
        clock: HybridClock,
        times: Timings,
        rng: random.Random,
        peers: Callable[[], Iterable[Peer]],
    ):
        self._kernel = kernel
        self._members = members
        self._clock = clock
        self._times = times
        self._rng = rng
        self._peers = peers
        self._report_due: asyncio.TimerHandle | None = None
        self._fleet_due: asyncio.TimerHandle | None = None
        self._fresh_zones: dict[str, tuple[ZoneSummary, Peer | None]] = {}
        self._summary_at = -math.inf
        self.table = StatusTable(members, store)
        self.summaries = ZoneSummaries(members)

    def start(self) -> None:
        """Start the periodic reports."""
        self._kernel.spawn(self._run(), "status")

    def stop(self) -> None:
        """Cancel what is due."""
        for timer in (self._report_due, self._fleet_due):
            if timer:
                timer.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._times.status * self._rng.uniform(0.8, 1.0))
            self._send_report()

    def link_up(self, peer: Peer) -> None:
        """Tell a new peer what is known."""
        if self._shares_fleet(peer):
            peer.link.send(self.summaries.report())
        self.report_soon()

    def link_down(self, peer: Peer) -> None:
        """Forget what a lost peer reported."""
        self.table.drop(id(peer))

    def take_report(self, peer: Peer, report: SubtreeReport) -> None:
        """Take in the report of a child."""
        if self.table.take(id(peer), report):
            self.report_soon()

    def take_fleet(self, peer: Peer, report: FleetReport) -> None:
        """Take in summaries of zones and pass on what is new."""
        self._spread_zones(self.summaries.merge(report.zones), origin=peer)

    def report_soon(self) -> None:
        """Send the status report shortly, together with what comes until then."""
        if self._report_due is not None:
            return
        loop = asyncio.get_running_loop()
        delay = self._times.report_delay
        if self._parent() is None:
            rest = self._summary_at + self._times.summary_pause - loop.time()
            delay = max(delay, rest)
        self._report_due = loop.call_later(delay, self._send_report)

    def refresh(self) -> None:
        """Bring the own zone's summary up to date if this process is its root."""
        if self._parent() is None:
            self.summaries.merge([self.table.summary(self._clock)])

    def _parent(self) -> Peer | None:
        return parent_among(self._peers())

    def _send_report(self) -> None:
        if self._report_due:
            self._report_due.cancel()
            self._report_due = None
        parent = self._parent()
        if parent:
            parent.link.send(self.table.report())
            return
        self._summary_at = asyncio.get_running_loop().time()
        summary = self.table.summary(self._clock)
        self._spread_zones(self.summaries.merge([summary]), origin=None)

    def _spread_zones(self, zones: list[ZoneSummary], origin: Peer | None) -> None:
        """Pass new summaries on, together with those that come shortly after."""
        for summary in zones:
            self._fresh_zones[summary.zone] = summary, origin
        if zones and self._fleet_due is None:
            loop = asyncio.get_running_loop()
            delay = self._times.fleet_delay
            self._fleet_due = loop.call_later(delay, self._flush_zones)

    def _flush_zones(self) -> None:
        """Send fresh summaries to everyone but the peer that each came from."""
        self._fleet_due = None
        fresh = list(self._fresh_zones.values())
        self._fresh_zones.clear()
        for peer in self._peers():
            zones = [summary for summary, origin in fresh if origin is not peer]
            if zones and self._shares_fleet(peer):
                peer.link.send(FleetReport(zones))

    def _shares_fleet(self, peer: Peer) -> bool:
        """Return whether a peer gets summaries: all but lazy peers of the own zone."""
        other_zone = peer.instance.zone != self._members.me.zone
        return other_zone or peer.mode is Mode.ACTIVE

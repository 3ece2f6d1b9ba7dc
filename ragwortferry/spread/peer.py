"""State of a link and of the process at its other end."""

__all__ = ["Peer", "Timings", "find_parent"]

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwortferry.source.port import Instance
from ragwortferry.spread.link import Link
from ragwortferry.spread.messages import Announce, Mode, VersionId


@dataclass(frozen=True, slots=True)
class Timings:
    """Intervals and timeouts of links and status reports, in seconds.

    :param heartbeat_s: interval of the heartbeats on each link.
    :param timeout_s: time without a frame after which a link is considered dead.
    :param repair_s: delay before a newer state that a peer announced is pulled.
    :param status_s: interval of the status reports.
    """

    heartbeat_s: float = 2.0
    timeout_s: float = 6.0
    repair_s: float = 1.0
    status_s: float = 10.0

    @property
    def report_delay_s(self) -> float:
        """Return the delay in which changes are batched into one status report."""
        return self.status_s / 5

    @property
    def summary_delay_s(self) -> float:
        """Return the delay in which zone summaries are batched into one message."""
        return self.status_s / 10

    @property
    def summary_interval_s(self) -> float:
        """Return the minimum interval between two summaries of the own zone."""
        return self.status_s / 2


@dataclass(slots=True, eq=False)
class Peer:
    """One link and the known state of the process at its other end.

    :param outgoing: whether this process opened the link.
    :param mode: how the side that opened the link uses it.
    :param current: version that the peer enforces.
    :param settled: highest version that the peer has enforced or refused for good.
    :param last_announce: last announcement sent to the peer.
    :param last_refusal: version and reason of the last refusal sent to the peer.
    :param list_revision: revision of the peer's instance list.
    :param in_flight: whether an update sent to the peer is not acknowledged yet.
    :param pull_pending: whether a pull of the peer is not fully served yet.
    :param repair_pending: whether a pull from the peer is scheduled.
    :param pending_welcome: result of a ``Subscribe`` that was sent to the peer.
    """

    link: Link
    instance: Instance
    incarnation: str
    outgoing: bool
    mode: Mode
    current: VersionId = field(default_factory=VersionId)
    settled: int = 0
    last_announce: Announce | None = None
    last_refusal: tuple[VersionId, str] | None = None
    list_revision: int = 0
    in_flight: bool = False
    pull_pending: bool = False
    repair_pending: bool = False
    pending_welcome: asyncio.Future | None = None

    @property
    def is_child(self) -> bool:
        """Return whether this process pushes updates to the peer."""
        return not self.outgoing and self.mode is Mode.ACTIVE

    @property
    def is_parent(self) -> bool:
        """Return whether the peer pushes updates to this process."""
        return self.outgoing and self.mode is Mode.ACTIVE


def find_parent(peers: Iterable[Peer]) -> Peer | None:
    """Return the peer that pushes updates to this process, if there is one."""
    return next((peer for peer in peers if peer.is_parent), None)

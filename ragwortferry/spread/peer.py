"""One link and what is known of the process at its other end."""

__all__ = ["Peer", "Timings", "find_parent"]

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass, field

from ragwortferry.source.port import Instance
from ragwortferry.spread.link import Link
from ragwortferry.spread.messages import Announce, Mode, VersionId


@dataclass(frozen=True, slots=True)
class Timings:
    """Periods and bounds of the links, in seconds.

    :param heartbeat: period of the heartbeats on each link.
    :param silence: time without a frame after which a link is dead.
    :param repair: time behind an announced version after which it is pulled.
    :param status: period of the status reports.
    """

    heartbeat_s: float = 2.0
    timeout_s: float = 6.0
    repair_s: float = 1.0
    status_s: float = 10.0

    @property
    def report_delay_s(self) -> float:
        """Return how long a status report waits for others to join it."""
        return self.status_s / 5

    @property
    def summary_delay_s(self) -> float:
        """Return how long summaries of zones wait for others to join them."""
        return self.status_s / 10

    @property
    def summary_interval_s(self) -> float:
        """Return the least time between two summaries of the own zone."""
        return self.status_s / 2


@dataclass(slots=True, eq=False)
class Peer:
    """One link and what is known of the process at its other end.

    :param outgoing: whether this process opened the link.
    :param mode: mode in which the opening side uses the link.
    :param settled: version up to which the peer has come to a verdict.
    :param in_flight: whether an update sent to it is not acknowledged yet.
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
        """Return whether this process must push to the peer."""
        return not self.outgoing and self.mode is Mode.ACTIVE

    @property
    def is_parent(self) -> bool:
        """Return whether the peer pushes to this process."""
        return self.outgoing and self.mode is Mode.ACTIVE


def find_parent(peers: Iterable[Peer]) -> Peer | None:
    """Return the peer that pushes to this process, if there is one."""
    return next((peer for peer in peers if peer.is_parent), None)

"""Another node: the link that this one has dialed to it, and what is pending there."""

__all__ = ["Peer", "PendingAttempt"]

import asyncio
from dataclasses import dataclass

from ragwortferry.mesh.attempt import Attempt, Reply
from ragwortferry.mesh.links.heartbeat import Heartbeat
from ragwortferry.mesh.links.link import Link
from ragwortferry.utils.deadlines import NEVER
from ragwortferry.utils.sockets import Address

# A link that was dialed for an attempt is closed after this long without another one.
MAX_UNUSED_S = 30.0


@dataclass(slots=True, eq=False)
class PendingAttempt:
    """An attempt that was sent to its owner and has no complete response yet."""

    attempt: Attempt
    reply: Reply


class Peer:
    """Another node and the link that this node has dialed to it."""

    def __init__(self, address: Address):
        self.address = address
        self.link: Link | None = None
        self.pending: dict[str, PendingAttempt] = {}
        self.heartbeat = Heartbeat()
        # Token and time of the ping whose round trip is being measured.
        self.probe_token, self.probe_at = 0, 0.0
        self.task: asyncio.Task | None = None
        self.connected = asyncio.Event()
        # When the link was lost, or first could not be established.
        self.unreachable_since = NEVER
        self.dialed_once = False
        # Whether the link is dialed ahead of requests; else it is closed when unused.
        self.eager = False
        self.used_at = 0.0
        self.wanted = True
        # Set when the link is lost, or the peer is no longer wanted.
        self.changed = asyncio.Event()
        # Set when the peer dials this node, which shows that it can be reached again.
        self.redial_now = asyncio.Event()

    @property
    def unreachable(self) -> bool:
        """Return whether the last dial failed or the link was lost."""
        return self.unreachable_since is not NEVER

    async def wait_until_unused(self, link: Link) -> None:
        """Wait until the link is lost, or is neither wanted nor in use."""
        while not link.closed and (self.wanted or self.pending):
            self.changed.clear()
            await self.changed.wait()

    def release(self) -> None:
        """Let the link end as soon as no attempt is pending on it."""
        if self.wanted:
            self.wanted = False
            self.changed.set()

    def is_unused(self, now: float) -> bool:
        """Return whether no attempt has needed the link for a while."""
        return not (self.eager or self.pending or now - self.used_at < MAX_UNUSED_S)

    def mark_unreachable(self, now: float) -> None:
        """Record that the peer cannot be reached."""
        self.dialed_once = True
        self.unreachable_since = min(self.unreachable_since, now)

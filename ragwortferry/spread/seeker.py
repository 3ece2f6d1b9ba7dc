"""Opens and maintains the links to the parent, a lazy peer and other zones."""

__all__ = ["Seeker"]

import asyncio
import random
from collections.abc import Iterable

from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.source.port import Instance
from ragwortferry.spread.boot import Boot
from ragwortferry.spread.link import LinkError
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import Mode
from ragwortferry.spread.peer import Peer
from ragwortferry.spread.peers import Peers
from ragwortferry.utils.pacing import Backoff

INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
CHECK_INTERVAL_S = 0.5
MAX_PARENT_CANDIDATES = 8
ZONE_OFFSETS = (1, 3, 7)  # steps around the sorted zones, as a ring
MAX_REMOTE_CANDIDATES = 2


class Seeker:
    """Maintains the outgoing links of this process and replaces lost ones.

    Every process has one active link to its parent and one lazy link to another process
    of its availability zone; the root of the zone has no parent. Readers also have lazy
    links to readers of other zones.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        peers: Peers,
        boot: Boot,
        log: Log,
        rng: random.Random,
    ):
        self._kernel = kernel
        self._members = members
        self._peers = peers
        self._boot = boot
        self._log = log
        self._rng = rng

    async def start(self) -> None:
        """Start to open links once the boot floor is known."""
        self._kernel.spawn(self._run(), "seeker")

    async def _run(self) -> None:
        await self._boot.done.wait()
        self._kernel.spawn(self._maintain_parent(), "parent")
        self._kernel.spawn(self._maintain_lazy_link(), "lazy link")
        self._kernel.spawn(self._maintain_zone_links(), "zone links")

    async def stop(self) -> None:
        """Do nothing: the kernel cancels the tasks."""

    # Parent

    async def _maintain_parent(self) -> None:
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            if self._peers.parent is not None or self._members.position == 0:
                await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.1, 1.0))
                continue
            if await self._find_parent():
                backoff.reset()
            else:
                await asyncio.sleep(backoff.next_delay())

    async def _find_parent(self) -> bool:
        """Upgrade the lazy link, or open a link to the first instance that accepts.

        :returns: whether a parent was found.
        """
        lazy = self._lazy_in_zone()
        if lazy and self._members.may_be_parent(lazy.instance.id):
            if await self._peers.upgrade(lazy):
                return True
        tried: set[str] = set()
        candidates = list(self._members.parent_candidates())
        while candidates and len(tried) < MAX_PARENT_CANDIDATES:
            candidate = candidates.pop(0)
            if candidate.id in tried or self._has_link(candidate.id):
                continue
            tried.add(candidate.id)
            redirect = await self._try_parent(candidate)
            if redirect is None:
                return True
            candidates[:0] = [
                item for item in redirect if self._members.may_be_parent(item.id)
            ]
        return False

    async def _try_parent(self, candidate: Instance) -> list[Instance] | None:
        """Try a candidate as parent; return ``None``, or other instances to try."""
        try:
            peer, welcome = await self._peers.connect(candidate, Mode.ACTIVE)
        except LinkError as error:
            self._log.event(
                "link-failed",
                f"link to candidate parent {candidate.id} failed",
                peer=candidate.id,
                reason=str(error),
            )
            return []
        if not welcome.accepted:
            peer.link.close()
            return welcome.redirect
        self._serve(peer)
        return None

    def _serve(self, peer: Peer) -> asyncio.Task:
        self._peers.register(peer)
        name = f"{peer.mode} link to {peer.instance.id}"
        return self._kernel.spawn(self._peers.serve(peer), name)

    def _has_link(self, name: str) -> bool:
        return any(
            peer.outgoing and peer.instance.id == name for peer in self._peers.connected
        )

    # Lazy link

    def _lazy_in_zone(self) -> Peer | None:
        zone = self._members.me.zone
        for peer in self._peers.connected:
            in_zone = peer.instance.zone == zone
            if peer.outgoing and peer.mode is Mode.LAZY and in_zone:
                return peer
        return None

    async def _maintain_lazy_link(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
            if self._lazy_in_zone() is None:
                await self._open_lazy(self._lazy_candidates())

    def _lazy_candidates(self) -> list[Instance]:
        """Return two random predecessors in the zone and two random other instances."""
        zone = self._members.zone_members(self._members.me.zone)
        others = [name for name in zone if name != self._members.me.id]
        predecessors = [name for name in others if self._members.may_be_parent(name)]
        chosen = self._rng.sample(predecessors, min(2, len(predecessors)))
        chosen += self._rng.sample(others, min(2, len(others)))
        instances = self._members.instances
        return [
            instances[n] for n in chosen if not self._has_link(n) and n in instances
        ]

    async def _open_lazy(self, candidates: Iterable[Instance]) -> bool:
        for candidate in candidates:
            try:
                peer, welcome = await self._peers.connect(candidate, Mode.LAZY)
            except LinkError:
                continue
            if welcome.accepted:
                self._serve(peer)
                return True
            peer.link.close()
        return False

    # Links to other zones

    async def _maintain_zone_links(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.0))
            wanted = self._wanted_zones() if self._members.is_reader else []
            for zone in wanted:
                if not self._has_zone_link(zone):
                    readers = self._members.readers_of(zone, MAX_REMOTE_CANDIDATES)
                    await self._open_lazy(readers)

    def _wanted_zones(self) -> list[str]:
        zones = self._members.zones
        own_index = zones.index(self._members.me.zone)
        wanted = [zones[(own_index + offset) % len(zones)] for offset in ZONE_OFFSETS]
        return [z for z in dict.fromkeys(wanted) if z != self._members.me.zone]

    def _has_zone_link(self, zone: str) -> bool:
        return any(
            peer.outgoing and peer.instance.zone == zone
            for peer in self._peers.connected
        )

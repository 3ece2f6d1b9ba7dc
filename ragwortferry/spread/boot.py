"""Start-up of a process: fetches the instance list and the boot floor from peers."""

__all__ = ["Boot"]

import asyncio
import random

from ragwortferry.exceptions import SourceError
from ragwortferry.kernel import Kernel
from ragwortferry.logs import Log
from ragwortferry.source.port import Instance, Source
from ragwortferry.spread.link import LinkError
from ragwortferry.spread.members import Members
from ragwortferry.spread.messages import InstanceUpdate, Mode, Pull, VersionId
from ragwortferry.spread.peers import Peers
from ragwortferry.spread.store import VersionStore
from ragwortferry.utils.pacing import Backoff

PROBES_PER_ROUND = 4
MIN_FLOOR_RESPONSES = 2  # of peers that know a version
PROBE_INTERVAL_S = 0.3
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 5.0


class Boot:
    """Finds the instance list and the boot floor before any version is enforced.

    A restarted process has lost the version that its instance enforced before, but its
    peers remember it. The boot floor is the highest version that the responding peers
    know to have been enforced. If all listed peers respond and none knows a version,
    none has ever been enforced. If no peer that knows a version responds within
    ``wait_s``, the process continues without a proven floor and reports that.

    :param seeds: addresses of the peers to contact first.
    :param wait_s: maximum time to wait for peers, in seconds.
    """

    def __init__(
        self,
        kernel: Kernel,
        members: Members,
        peers: Peers,
        store: VersionStore,
        source: Source,
        log: Log,
        rng: random.Random,
        seeds: list[Instance],
        wait_s: float,
    ):
        self._kernel = kernel
        self._members = members
        self._peers = peers
        self._store = store
        self._source = source
        self._log = log
        self._rng = rng
        self._seeds = seeds
        self._wait_s = wait_s
        self._done = asyncio.Event()
        self._responses: dict[str, VersionId] = {}
        self._all_responded = False

    @property
    def done(self) -> asyncio.Event:
        """Return the event that is set once the process may enforce versions."""
        return self._done

    async def start(self) -> None:
        """Start to contact peers."""
        self._kernel.spawn(self._run(), "boot")

    async def stop(self) -> None:
        """Do nothing: the kernel cancels the task."""

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self._wait_s):
                await self._fetch_list()
                await self._find_floor()
        except TimeoutError:
            pass
        self._set_floor()

    async def _fetch_list(self) -> None:
        """Fetch the instance list from a seed, or from the source if no seed has it."""
        for seed in self._rng.sample(self._seeds, len(self._seeds)):
            if await self._fetch_list_from(seed):
                return
        backoff = Backoff(INITIAL_BACKOFF_S, MAX_BACKOFF_S, self._rng)
        while True:
            try:
                change = await self._source.instances(0, 0)
                if change:
                    self._members.apply(change)
                return
            except SourceError:
                await asyncio.sleep(backoff.next_delay())

    async def _fetch_list_from(self, seed: Instance) -> bool:
        try:
            peer, welcome = await self._peers.connect(seed, Mode.LAZY)
        except LinkError:
            return False
        self._responses[welcome.instance] = welcome.high
        try:
            peer.link.send(Pull(self._store.current, 0))
            while True:
                message = await peer.link.receive()
                if isinstance(message, InstanceUpdate):
                    change = self._members.decode_update(message)
                    return bool(change and self._members.apply(change))
                if welcome.list_revision == 0:
                    return False
        except (LinkError, ValueError):
            return False
        finally:
            peer.link.abort()

    async def _find_floor(self) -> None:
        """Probe peers until enough of them know a version or all have responded."""
        while True:
            others = self._probe_order()
            known = [
                version_id
                for version_id in self._responses.values()
                if version_id.version
            ]
            self._all_responded = all(item.id in self._responses for item in others)
            if len(known) >= MIN_FLOOR_RESPONSES or self._all_responded:
                return
            unprobed = [item for item in others if item.id not in self._responses]
            for item in unprobed[:PROBES_PER_ROUND]:
                await self._probe(item)
            await asyncio.sleep(PROBE_INTERVAL_S * self._rng.uniform(0.5, 1.0))

    def _probe_order(self) -> list[Instance]:
        """Return the other instances at random, alternating own and other zones."""
        me, listed = self._members.me, list(self._members.instances.values())
        others = [item for item in listed if item.id != me.id]
        self._rng.shuffle(others)
        same_zone = [item for item in others if item.zone == me.zone]
        other_zones = [item for item in others if item.zone != me.zone]
        alternating = [
            item for pair in zip(same_zone, other_zones, strict=False) for item in pair
        ]
        return (
            alternating + same_zone[len(other_zones) :] + other_zones[len(same_zone) :]
        )

    async def _probe(self, item: Instance) -> None:
        try:
            peer, welcome = await self._peers.connect(item, Mode.PROBE)
        except LinkError:
            return
        peer.link.close()
        self._responses[welcome.instance] = welcome.high

    def _set_floor(self) -> None:
        known = [self._store.highest_known, *self._responses.values()]
        floor = max(known, key=lambda version_id: version_id.version)
        self._store.set_floor(floor)
        self._store.floor_proven = self._all_responded or floor.version > 0
        self._log.event(
            "floor",
            f"boot floor set to version {floor.version}",
            version=floor.version,
            proven=self._store.floor_proven,
            answers=len(self._responses),
        )
        self._done.set()

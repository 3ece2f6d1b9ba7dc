"""Start of a process: the instance list and the boot floor, learned from peers."""

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
FLOOR_ANSWERS = 2
ROUND_PAUSE_S = 0.3
RETRY_FIRST_S = 0.5
RETRY_MOST_S = 5.0


class Boot:
    """Asks peers what they know before this process enforces anything.

    A process that restarts has forgotten which version its slot enforced. Its peers
    have not. It takes the highest version that they know to have been enforced as its
    floor. If all listed peers answer and none remembers anything, nothing has ever been
    enforced. If nobody who remembers answers within ``wait_s``, the process goes on
    without a proved floor and reports that.

    :param seeds: addresses of peers to ask first.
    :param wait_s: seconds to look for peers.
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
        self._answers: dict[str, VersionId] = {}
        self._all_answered = False

    @property
    def done(self) -> asyncio.Event:
        """Return the event that is set when the process may enforce a version."""
        return self._done

    async def start(self) -> None:
        """Start to ask."""
        self._kernel.spawn(self._run(), "boot")

    async def stop(self) -> None:
        """Do nothing: the task ends with the kernel."""

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(self._wait_s):
                await self._learn_list()
                await self._learn_floor()
        except TimeoutError:
            pass
        self._settle()

    async def _learn_list(self) -> None:
        """Get the instance list from a seed, and from the source if none answers."""
        for seed in self._rng.sample(self._seeds, len(self._seeds)):
            if await self._list_from(seed):
                return
        backoff = Backoff(RETRY_FIRST_S, RETRY_MOST_S, self._rng)
        while True:
            try:
                change = await self._source.instances(0, 0)
                if change:
                    self._members.apply(change)
                return
            except SourceError:
                await asyncio.sleep(backoff.next_delay())

    async def _list_from(self, seed: Instance) -> bool:
        try:
            peer, welcome = await self._peers.connect(seed, Mode.LAZY)
        except LinkError:
            return False
        self._answers[welcome.instance] = welcome.high
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

    async def _learn_floor(self) -> None:
        """Probe peers until enough that remember a version have answered."""
        while True:
            others = self._others()
            remembering = [mark for mark in self._answers.values() if mark.version]
            self._all_answered = all(item.id in self._answers for item in others)
            if len(remembering) >= FLOOR_ANSWERS or self._all_answered:
                return
            asked = [item for item in others if item.id not in self._answers]
            for item in asked[:PROBES_PER_ROUND]:
                await self._probe(item)
            await asyncio.sleep(ROUND_PAUSE_S * self._rng.uniform(0.5, 1.0))

    def _others(self) -> list[Instance]:
        """Return peers to probe: of the own zone and of others in turns, at random."""
        me, listed = self._members.me, list(self._members.instances.values())
        others = [item for item in listed if item.id != me.id]
        self._rng.shuffle(others)
        near = [item for item in others if item.zone == me.zone]
        far = [item for item in others if item.zone != me.zone]
        mixed = [item for pair in zip(near, far, strict=False) for item in pair]
        return mixed + near[len(far) :] + far[len(near) :]

    async def _probe(self, item: Instance) -> None:
        try:
            peer, welcome = await self._peers.connect(item, Mode.PROBE)
        except LinkError:
            return
        peer.link.close()
        self._answers[welcome.instance] = welcome.high

    def _settle(self) -> None:
        marks = [self._store.highest_known, *self._answers.values()]
        floor = max(marks, key=lambda mark: mark.version)
        self._store.set_floor(floor)
        self._store.floor_proven = self._all_answered or floor.version > 0
        self._log.event(
            "floor",
            f"boot floor is version {floor.version}",
            version=floor.version,
            proven=self._store.floor_proven,
            answers=len(self._answers),
        )
        self._done.set()

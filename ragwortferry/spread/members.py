"""The instance list known to this process and the distribution tree of its zone."""

__all__ = ["Members"]

import bisect
import sys
import time
import zlib
from collections.abc import Callable, Iterator

import msgspec
from msgspec import structs

from ragwortferry.source.port import Instance, InstanceChange
from ragwortferry.spread.messages import InstanceUpdate
from ragwortferry.utils.digests import instance_key, rank_key

SUSPICION_S = 10.0
MAX_LIST_BYTES = 32 * 2**20
MAX_TOMBSTONES = 64  # recorded removals, for updates by difference


class Members:
    """The listed instances and the distribution tree of the own availability zone.

    The instances of a zone are ordered by a hash of their names. The first is the root
    of the tree, and the first few read the source. A parent always precedes its
    children in the hash order. The order of two instances does not depend on the list,
    so processes whose lists differ never form a cycle.

    :param me: this instance.
    :param fanout: number of children of each position in the tree.
    :param readers: number of instances at the start of the order that read the source.
    :param now: monotonic clock in seconds.
    """

    def __init__(
        self,
        me: Instance,
        fanout: int,
        readers: int,
        now: Callable[[], float] = time.monotonic,
    ):
        self._me = me
        self._fanout = fanout
        self._reader_count = readers
        self._now = now
        self._instances: dict[str, Instance] = {}
        self._names_by_key: dict[int, str] = {}
        self._ranks: list[tuple[int, str]] = []
        self._suspects: dict[str, float] = {}
        self._changed_at: dict[str, int] = {}
        self._history_start = 0
        self._listeners: list[Callable[[], None]] = []
        self._revision = 0

    @property
    def me(self) -> Instance:
        """Return this instance."""
        return self._me

    @property
    def revision(self) -> int:
        """Return the revision of the list."""
        return self._revision

    @property
    def instances(self) -> dict[str, Instance]:
        """Return the listed instances by name."""
        return self._instances

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change of the list."""
        self._listeners.append(listener)

    def apply(self, change: InstanceChange) -> bool:
        """Apply a change of the list, and return whether it was newer than the list."""
        if change.revision <= self._revision:
            return False
        if change.full:
            listed = {item.id for item in change.upserts}
            removed = [name for name in self._instances if name not in listed]
            self._history_start = change.revision
        else:
            removed = change.removed
        self._upsert(change.upserts, change.revision, is_first=not self._instances)
        for name in removed:
            if self._instances.pop(name, None):
                self._changed_at[name] = change.revision
        self._revision = change.revision
        self._trim_history()
        self._rebuild()
        for listener in self._listeners:
            listener()
        return True

    def _upsert(self, items: list[Instance], revision: int, is_first: bool) -> None:
        """Store new and changed instances with their recurring strings interned.

        The entries of the first list need no revision, since no peer is sent a
        difference from an earlier list.
        """
        for item in items:
            if self._instances.get(item.id) == item:
                continue
            interned = structs.replace(
                item,
                id=sys.intern(item.id),
                zone=sys.intern(item.zone),
                region=sys.intern(item.region),
            )
            self._instances[interned.id] = interned
            self._suspects.pop(interned.id, None)
            if not is_first:
                self._changed_at[interned.id] = revision

    def _trim_history(self) -> None:
        """Drop the older half of the tombstones if there are too many.

        A tombstone is the recorded removal of an instance. A peer whose list is older
        than a dropped tombstone gets the full list.
        """
        tombstones = [name for name in self._changed_at if name not in self._instances]
        if len(tombstones) <= MAX_TOMBSTONES:
            return
        tombstones.sort(key=self._changed_at.__getitem__)
        for name in tombstones[: len(tombstones) // 2]:
            self._history_start = max(self._history_start, self._changed_at.pop(name))

    def _rebuild(self) -> None:
        """Recompute the hash order of the own zone."""
        zone = self._me.zone
        ranks = [
            rank_key(zone, item.id)
            for item in self._instances.values()
            if item.zone == zone and not item.leaving and item.id != self._me.id
        ]
        ranks.append(rank_key(zone, self._me.id))
        ranks.sort()
        self._ranks = ranks
        self._names_by_key = {instance_key(name): name for _, name in ranks}

    def name_of(self, key: int) -> str | None:
        """Return the instance of the own zone that has a key in status reports."""
        return self._names_by_key.get(key)

    def update_for(self, since: int) -> InstanceUpdate | None:
        """Return the update from list revision ``since``, ``None`` if there is none."""
        if since >= self._revision:
            return None
        full = since == 0 or since < self._history_start
        if full:
            upserts, removed = list(self._instances.values()), []
        else:
            names = [
                name for name, revision in self._changed_at.items() if revision > since
            ]
            upserts = [self._instances[n] for n in names if n in self._instances]
            removed = [name for name in names if name not in self._instances]
        change = InstanceChange(self._revision, full, upserts, removed)
        data = zlib.compress(msgspec.msgpack.encode(change), 1)
        return InstanceUpdate(0 if full else since, self._revision, data)

    def decode_update(self, update: InstanceUpdate) -> InstanceChange | None:
        """Return the change in an update, ``None`` if its base is newer than the list.

        :raises msgspec.DecodeError: if the data is malformed.
        """
        if update.base > self._revision:
            return None
        try:
            data = zlib.decompressobj().decompress(update.data, MAX_LIST_BYTES)
        except zlib.error as error:
            raise msgspec.DecodeError(f"instance list: {error}") from None
        return msgspec.msgpack.decode(data, type=InstanceChange)

    def suspect(self, name: str) -> None:
        """Exclude an unreachable instance from the tree for ``SUSPICION_S`` seconds."""
        self._suspects[name] = self._now() + SUSPICION_S

    def clear_suspicion(self, name: str) -> None:
        """Include an instance in the tree again after it has responded."""
        self._suspects.pop(name, None)

    def _is_suspect(self, name: str) -> bool:
        until = self._suspects.get(name)
        if until is None:
            return False
        if until > self._now():
            return True
        del self._suspects[name]
        return False

    def _predecessors(self) -> list[str]:
        """Return the instances before this one in hash order, without suspects."""
        if not self._ranks:
            self._rebuild()
        own_index = bisect.bisect_left(
            self._ranks, rank_key(self._me.zone, self._me.id)
        )
        names = [name for _, name in self._ranks[:own_index]]
        return [name for name in names if not self._is_suspect(name)]

    @property
    def position(self) -> int:
        """Return the position of this instance in its zone, 0 for the root."""
        return len(self._predecessors())

    @property
    def is_reader(self) -> bool:
        """Return whether this instance reads the source for its zone."""
        return self.position < self._reader_count

    def may_be_parent(self, name: str) -> bool:
        """Return whether ``name`` precedes this instance in the hash order."""
        zone = self._me.zone
        return rank_key(zone, name) < rank_key(zone, self._me.id)

    def parent_candidates(self) -> Iterator[Instance]:
        """Yield the instances that may become the parent, best first.

        These are the parent in the tree, its ancestors from the nearest to the root,
        and then the remaining predecessors from the nearest to the farthest.
        """
        predecessors = self._predecessors()
        index, yielded = len(predecessors), set()
        while index > 0:
            index = (index - 1) // self._fanout
            yielded.add(index)
            yield self._instances[predecessors[index]]
        for other in range(len(predecessors) - 1, -1, -1):
            if other not in yielded:
                yield self._instances[predecessors[other]]

    def readers_of(self, zone: str, count: int) -> list[Instance]:
        """Return up to ``count`` instances that read the source for another zone."""
        candidates = [
            item
            for item in self._instances.values()
            if item.zone == zone
            and not item.leaving
            and item.id != self._me.id
            and not self._is_suspect(item.id)
        ]
        candidates.sort(key=lambda item: rank_key(zone, item.id))
        return candidates[:count]

    @property
    def zones(self) -> list[str]:
        """Return the sorted names of the listed zones and the own zone."""
        listed = {item.zone for item in self._instances.values()}
        return sorted(listed | {self._me.zone})

    def zone_members(self, zone: str) -> list[str]:
        """Return the listed instances of a zone that are not shutting down."""
        return [
            item.id
            for item in self._instances.values()
            if item.zone == zone and not item.leaving
        ]

"""The instance list as this process knows it, and the tree that follows from it."""

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

SUSPECT_S = 10.0
MAX_LIST_BYTES = 32 * 2**20
HISTORY_CHANGES = 64


class Members:
    """Instances by name, and the hash order of the own availability zone.

    A parent always stands earlier in the hash order than its child. The order does not
    depend on the list, so differing lists never close a circle.

    :param me: this instance.
    :param fanout: children of a place in the tree.
    :param readers: places at the top of the zone that read the source.
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
        self._names: dict[int, str] = {}
        self._ranks: list[tuple[int, str]] = []
        self._suspects: dict[str, float] = {}
        self._touched: dict[str, int] = {}
        self._dropped_before = 0
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
        """Take in a change of the list; an older one is passed over."""
        if change.revision <= self._revision:
            return False
        if change.full:
            listed = {item.id for item in change.upserts}
            gone = [name for name in self._instances if name not in listed]
            self._dropped_before = change.revision
        else:
            gone = change.removed
        self._take(change.upserts, change.revision, first=not self._instances)
        for name in gone:
            if self._instances.pop(name, None):
                self._touched[name] = change.revision
        self._revision = change.revision
        self._trim_history()
        self._rebuild()
        for listener in self._listeners:
            listener()
        return True

    def _take(self, items: list[Instance], revision: int, first: bool) -> None:
        """Hold new and changed instances; what recurs in them is held once.

        The entries of a first list need no revision: nobody gets a difference from an
        earlier one.
        """
        for item in items:
            if self._instances.get(item.id) == item:
                continue
            shared = structs.replace(
                item,
                id=sys.intern(item.id),
                zone=sys.intern(item.zone),
                region=sys.intern(item.region),
            )
            self._instances[shared.id] = shared
            self._suspects.pop(shared.id, None)
            if not first:
                self._touched[shared.id] = revision

    def _trim_history(self) -> None:
        """Forget old removals; peers older than those get the whole list."""
        gone = [name for name in self._touched if name not in self._instances]
        if len(gone) <= HISTORY_CHANGES:
            return
        gone.sort(key=self._touched.__getitem__)
        for name in gone[: len(gone) // 2]:
            self._dropped_before = max(self._dropped_before, self._touched.pop(name))

    def _rebuild(self) -> None:
        zone = self._me.zone
        ranks = [
            rank_key(zone, item.id)
            for item in self._instances.values()
            if item.zone == zone and not item.leaving and item.id != self._me.id
        ]
        ranks.append(rank_key(zone, self._me.id))
        ranks.sort()
        self._ranks = ranks
        self._names = {instance_key(name): name for _, name in ranks}

    def name_of(self, key: int) -> str | None:
        """Return the name of the instance of the own zone with a status key."""
        return self._names.get(key)

    def update_for(self, have: int) -> InstanceUpdate | None:
        """Return the change that takes a peer from list revision ``have`` to ours."""
        if have >= self._revision:
            return None
        full = have == 0 or have < self._dropped_before
        if full:
            upserts, removed = list(self._instances.values()), []
        else:
            names = [name for name, at in self._touched.items() if at > have]
            upserts = [self._instances[n] for n in names if n in self._instances]
            removed = [name for name in names if name not in self._instances]
        change = InstanceChange(self._revision, full, upserts, removed)
        data = zlib.compress(msgspec.msgpack.encode(change), 1)
        return InstanceUpdate(0 if full else have, self._revision, data)

    def decode_update(self, update: InstanceUpdate) -> InstanceChange | None:
        """Return the change of an update, ``None`` if it starts later than our list.

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
        """Leave an unreachable instance out of the tree for a while."""
        self._suspects[name] = self._now() + SUSPECT_S

    def trust(self, name: str) -> None:
        """End the suspicion of an instance that answered."""
        self._suspects.pop(name, None)

    def _is_suspect(self, name: str) -> bool:
        until = self._suspects.get(name)
        if until is None:
            return False
        if until > self._now():
            return True
        del self._suspects[name]
        return False

    def _lower(self) -> list[str]:
        """Return the trusted instances of the zone before this one, in hash order."""
        if not self._ranks:
            self._rebuild()
        mine = bisect.bisect_left(self._ranks, rank_key(self._me.zone, self._me.id))
        names = [name for _, name in self._ranks[:mine]]
        return [name for name in names if not self._is_suspect(name)]

    @property
    def position(self) -> int:
        """Return the place of this instance in its zone, 0 for the root."""
        return len(self._lower())

    @property
    def is_reader(self) -> bool:
        """Return whether this instance reads the source for its zone."""
        return self.position < self._reader_count

    def may_be_parent(self, name: str) -> bool:
        """Return whether ``name`` stands before this instance in the hash order."""
        zone = self._me.zone
        return rank_key(zone, name) < rank_key(zone, self._me.id)

    def parents(self) -> Iterator[Instance]:
        """Yield the instances to ask for a place, the best first.

        These are the parent in the tree, its ancestors, and then the others that stand
        before this instance, the nearest first.
        """
        lower = self._lower()
        place, seen = len(lower), set()
        while place > 0:
            place = (place - 1) // self._fanout
            seen.add(place)
            yield self._instances[lower[place]]
        for other in range(len(lower) - 1, -1, -1):
            if other not in seen:
                yield self._instances[lower[other]]

    def readers_of(self, zone: str, count: int) -> list[Instance]:
        """Return the trusted instances that read the source for another zone."""
        found = [
            item
            for item in self._instances.values()
            if item.zone == zone
            and not item.leaving
            and item.id != self._me.id
            and not self._is_suspect(item.id)
        ]
        found.sort(key=lambda item: rank_key(zone, item.id))
        return found[:count]

    @property
    def zones(self) -> list[str]:
        """Return the names of all listed zones and the own one."""
        found = {item.zone for item in self._instances.values()}
        return sorted(found | {self._me.zone})

    def zone_members(self, zone: str) -> list[str]:
        """Return the listed instances of a zone that are not leaving."""
        return [
            item.id
            for item in self._instances.values()
            if item.zone == zone and not item.leaving
        ]

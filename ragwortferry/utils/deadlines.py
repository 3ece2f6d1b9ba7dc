"""An ordered set of deadlines, so that only what is due has to be looked at."""

__all__ = ["Deadlines"]

import heapq
import itertools
from collections.abc import Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)

NEVER = float("inf")


class Deadlines(Generic[K]):
    """Holds one time for each key and returns the keys whose time has come.

    A change of a time leaves the former entry in the heap, where it is skipped.

    >>> deadlines = Deadlines()
    >>> deadlines.set("a", 3.0)
    >>> deadlines.set("b", 1.0)
    >>> deadlines.set("a", 2.0)
    >>> deadlines.next_at
    1.0
    >>> deadlines.pop_due(2.5)
    ['b', 'a']
    """

    def __init__(self):
        self._times: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = itertools.count()

    @property
    def next_at(self) -> float:
        """Return the earliest time, infinity if there is none."""
        while self._heap and self._times.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else NEVER

    def set(self, key: K, when: float) -> None:
        """Set the time of a key."""
        if self._times.get(key) != when:
            self._times[key] = when
            heapq.heappush(self._heap, (when, next(self._sequence), key))

    def bring_forward(self, key: K, when: float) -> None:
        """Set the time of a key unless it has an earlier one."""
        if when < self._times.get(key, NEVER):
            self.set(key, when)

    def discard(self, key: K) -> None:
        """Remove a key if it is present."""
        self._times.pop(key, None)

    def pop_due(self, now: float) -> list[K]:
        """Remove and return the keys whose time has come, the earliest first."""
        due = []
        while self.next_at <= now:
            _, _, key = heapq.heappop(self._heap)
            del self._times[key]
            due.append(key)
        return due

"""Bounds what a server holds for callers that read slowly or not at all.

A response that its caller does not read stays in the memory of this process. One such
caller does no harm; many do, and the process is killed when it exceeds the memory of
its instance. So callers that take nothing for a while are disconnected, and if all
responses together exceed a limit, those that hold the most are.

Answers the load of callers that read slowly, and of pipelining ones that do not read.
"""

__all__ = ["Backlog"]

from collections.abc import Hashable
from dataclasses import dataclass

# Time without progress after which a caller that owes reads is disconnected. Upstreams
# cut off responses that stay unread for a similar time.
STALL_S = 5.0


@dataclass(slots=True)
class _Held:
    """Bytes held for one connection.

    :param taken: bytes that the caller has taken so far.
    :param moved_at: time at which it last took any, or at which nothing was held.
    """

    size: int
    taken: int
    moved_at: float


class Backlog:
    """Tracks the bytes that are held for each connection.

    :param limit_bytes: most bytes to hold for all connections together.

    >>> backlog = Backlog(100)
    >>> backlog.observe({"a": (60, 0), "b": (70, 0), "c": (10, 0)}, now=0.0)
    ['b']
    >>> backlog.observe({"a": (60, 0), "c": (5, 5)}, now=6.0)
    ['a']
    """

    def __init__(self, limit_bytes: float):
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, _Held] = {}

    @property
    def size(self) -> int:
        """Return the bytes that were held for all connections when last observed."""
        return sum(item.size for item in self._held.values())

    def observe(
        self, connections: dict[Hashable, tuple[int, int]], now: float
    ) -> list[Hashable]:
        """Return the connections to close.

        :param connections: bytes held for each connection, and bytes that its caller
            has taken so far.
        """
        self._update(connections, now)
        closed = [
            name for name, item in self._held.items() if now - item.moved_at > STALL_S
        ]
        rest = [name for name in self._held if name not in set(closed)]
        rest.sort(key=lambda name: self._held[name].size)
        excess = sum(self._held[name].size for name in rest) - self._limit_bytes
        while rest and excess > 0:
            name = rest.pop()
            excess -= self._held[name].size
            closed.append(name)
        for name in closed:
            del self._held[name]
        return closed

    def _update(self, connections: dict[Hashable, tuple[int, int]], now: float) -> None:
        for name in [name for name in self._held if name not in connections]:
            del self._held[name]
        for name, (size, taken) in connections.items():
            known = self._held.get(name)
            if not size:
                self._held.pop(name, None)
            elif known is None or taken > known.taken:
                self._held[name] = _Held(size, taken, now)
            else:
                known.size = size

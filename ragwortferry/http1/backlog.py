"""Bounds what a server holds for callers that read slowly or not at all.

A response that its caller does not read stays in the memory of this process. One such
caller does no harm; many do, and the process is killed when it exceeds the memory of
its instance. So callers that take nothing for a while are disconnected, and if all
responses together exceed a limit, those that hold the most are.

Answers the load of callers that read slowly, and of pipelining ones that do not read.
"""

__all__ = ["Backlog", "Holding"]

from collections.abc import Hashable
from dataclasses import dataclass
from typing import NamedTuple

# Time without progress after which a caller that owes reads is disconnected. Upstreams
# cut off responses that stay unread for a similar time.
STALL_S = 5.0


class Holding(NamedTuple):
    """Bytes held for one connection.

    :param size: all bytes of responses that are held.
    :param taken: bytes that the caller has taken so far.
    :param unread: the part of ``size`` that it could take now. The rest waits for an
        earlier response or for the network link.
    """

    size: int
    taken: int
    unread: int


@dataclass(slots=True)
class _Held:
    """What was held for one connection when last observed.

    :param moved_at: time at which the caller last took any bytes, or at which there was
        nothing to take.
    """

    holding: Holding
    moved_at: float


class Backlog:
    """Tracks the bytes that are held for each connection.

    :param limit_bytes: most bytes to hold for all connections together.

    >>> backlog = Backlog(100)
    >>> a, b, c = Holding(60, 0, 60), Holding(70, 0, 70), Holding(10, 0, 10)
    >>> backlog.observe({"a": a, "b": b, "c": c}, now=0.0)
    ['b']
    >>> backlog.observe({"a": a, "c": Holding(5, 5, 5)}, now=6.0)
    ['a']
    """

    def __init__(self, limit_bytes: float):
        self._limit_bytes = limit_bytes
        self._held: dict[Hashable, _Held] = {}

    @property
    def size(self) -> int:
        """Return the bytes that were held for all connections when last observed."""
        return sum(item.holding.size for item in self._held.values())

    def observe(
        self, connections: dict[Hashable, Holding], now: float
    ) -> list[Hashable]:
        """Return the connections to close.

        If memory is short, those with the most unread bytes go first, and callers that
        only wait go last.
        """
        self._update(connections, now)
        closed = [
            name for name, item in self._held.items() if now - item.moved_at > STALL_S
        ]
        rest = [name for name in self._held if name not in set(closed)]
        holdings = {name: self._held[name].holding for name in rest}
        rest.sort(key=lambda name: (holdings[name].unread, holdings[name].size))
        excess = sum(item.size for item in holdings.values()) - self._limit_bytes
        while rest and excess > 0:
            name = rest.pop()
            excess -= holdings[name].size
            closed.append(name)
        for name in closed:
            del self._held[name]
        return closed

    def _update(self, connections: dict[Hashable, Holding], now: float) -> None:
        for name in [name for name in self._held if name not in connections]:
            del self._held[name]
        for name, holding in connections.items():
            known = self._held.get(name)
            if not holding.size:
                self._held.pop(name, None)
            elif (
                known is None
                or not holding.unread
                or holding.taken > known.holding.taken
            ):
                self._held[name] = _Held(holding, now)
            else:
                known.holding = holding

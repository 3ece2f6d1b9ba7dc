"""A node's part of the fleet's budget of repeated requests."""

__all__ = ["RetryBudget"]

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Part of its share that a node uses. A repeated run makes its calls again, which count
# as repeats at the services that it calls: the rest is left for those.
CAUTION = 0.45
# Slices into which the window is cut.
SLICES = 10


@dataclass(slots=True)
class _Slice:
    """Requests and repeats of one part of the window, by route."""

    number: int
    requests: Counter[str] = field(default_factory=Counter)
    repeats: Counter[str] = field(default_factory=Counter)


class RetryBudget:
    """Allows repeats in proportion to requests, plus a share of a common allowance.

    A repeat is an arrival at an upstream beyond the first of its request. The fleet
    may make ``ratio`` repeats a request and ``slack`` more in each window. A node
    counts its own requests and takes an even part of the slack. No route gets more
    than its own requests earn, since it may be the one whose runs make calls.

    :param ratio: repeats for each request.
    :param slack: repeats in a window beside those, over all nodes.
    :param window_s: length of the window in seconds.
    :param nodes: gives the number of nodes.

    >>> budget = RetryBudget(0.2, 8, 10.0, lambda: 1)
    >>> [budget.take("r", 0.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, nodes: Callable[[], int]
    ):
        self._ratio = ratio
        self._slack = slack
        self._slice_s = window_s / SLICES
        self._nodes = nodes
        self._slices: deque[_Slice] = deque()

    def note_request(self, route: str, now: float) -> None:
        """Count a request."""
        self._slice(now).requests[route] += 1

    def take(self, route: str, now: float, cost: int = 1) -> bool:
        """Use up ``cost`` repeats if there are so many left."""
        current = self._slice(now)
        requests, repeats = Counter(), Counter()
        for part in self._slices:
            requests.update(part.requests)
            repeats.update(part.repeats)
        slack = self._slack / max(1, self._nodes())
        for asked, used in (
            (requests[route], repeats[route]),
            (requests.total(), repeats.total()),
        ):
            if used + cost > CAUTION * (self._ratio * asked + slack):
                return False
        current.repeats[route] += cost
        return True

    def _slice(self, now: float) -> _Slice:
        number = int(now / self._slice_s)
        while self._slices and self._slices[0].number <= number - SLICES:
            self._slices.popleft()
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        return self._slices[-1]

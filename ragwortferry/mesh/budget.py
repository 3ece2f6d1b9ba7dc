"""A node's part of the fleet's budget of repeated requests."""

__all__ = ["RetryBudget"]

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Part of its share that a node uses. A repeated run makes its calls again, which count
# as repeats at the services that it calls: the rest is left for those.
USABLE_FRACTION = 0.45
# Slices into which the window is cut.
WINDOW_SLICES = 10


@dataclass(slots=True)
class _Slice:
    """Requests and repeats of one part of the window, by route."""

    number: int
    requests: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)


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
    >>> [budget.try_take("r", 0.0) for _ in range(4)]
    [True, True, True, False]
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, node_count: Callable[[], int]
    ):
        self._ratio = ratio
        self._slack = slack
        self._slice_s = window_s / WINDOW_SLICES
        self._node_count = node_count
        self._slices: deque[_Slice] = deque()

    def record_request(self, route: str, now: float) -> None:
        """Count a request."""
        self._slice(now).requests[route] += 1

    def try_take(self, route: str, now: float, cost: int = 1) -> bool:
        """Use up ``cost`` repeats if there are so many left."""
        current = self._slice(now)
        requests, retries = Counter(), Counter()
        for item in self._slices:
            requests.update(item.requests)
            retries.update(item.retries)
        slack = self._slack / max(1, self._node_count())
        for request_count, retry_count in (
            (requests[route], retries[route]),
            (requests.total(), retries.total()),
        ):
            if retry_count + cost > USABLE_FRACTION * (
                self._ratio * request_count + slack
            ):
                return False
        current.retries[route] += cost
        return True

    def _slice(self, now: float) -> _Slice:
        number = int(now / self._slice_s)
        while self._slices and self._slices[0].number <= number - WINDOW_SLICES:
            self._slices.popleft()
        if not self._slices or self._slices[-1].number != number:
            self._slices.append(_Slice(number))
        return self._slices[-1]

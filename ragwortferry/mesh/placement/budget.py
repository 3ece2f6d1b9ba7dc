"""Retry budget: limits the retries of a node to its part of the fleet's budget."""

__all__ = ["RetryBudget"]

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Fraction of its part of the budget that a node uses. A retry makes the upstream repeat
# its own calls, which count as retries at the services that it calls; the rest of the
# budget is left for those.
USABLE_FRACTION = 0.45
# Number of slices in the sliding window.
WINDOW_SLICES = 10


@dataclass(slots=True)
class _Slice:
    """Requests and retries of one slice of the window, by route."""

    number: int
    requests: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)


class RetryBudget:
    """Allows retries in proportion to requests, plus a part of a constant allowance.

    A retry is any arrival of a request at an upstream after its first. In each sliding
    window the fleet may make ``ratio`` retries per request and ``slack`` more. A node
    counts its own requests and takes an equal part of the slack. The same limit applies
    to each route by itself, since its upstreams may be those that call other services.

    :param ratio: retries allowed per request.
    :param slack: further retries in a window, over all nodes.
    :param window_s: length of the window in seconds.
    :param node_count: returns the number of nodes.

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
        """Count a request of a route."""
        self._slice(now).requests[route] += 1

    def try_take(self, route: str, now: float, cost: int = 1) -> bool:
        """Take ``cost`` retries; return ``False`` if fewer are left in the budget."""
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

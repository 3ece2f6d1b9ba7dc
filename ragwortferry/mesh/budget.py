"""A node's part of the fleet's budget of repeated requests."""

__all__ = ["RetryBudget"]

from collections import deque
from collections.abc import Callable

# Part of its share that a node uses: the rest covers nodes that count differently.
CAUTION = 0.75
# Slices into which the window is cut.
SLICES = 10


class RetryBudget:
    """Allows repeats in proportion to requests, plus a share of a common allowance.

    A repeat is an arrival at an upstream beyond the first of its request. The
    fleet may make ``ratio`` repeats a request and ``slack`` more in each window. A
    node counts its own requests and takes an even part of the slack.

    :param ratio: repeats for each request.
    :param slack: repeats in a window beside those, over all nodes.
    :param window_s: length of the window in seconds.
    :param nodes: gives the number of nodes.

    >>> budget = RetryBudget(0.2, 8, 10.0, lambda: 1)
    >>> [budget.take(0.0) for _ in range(7)]
    [True, True, True, True, True, True, False]
    """

    def __init__(
        self, ratio: float, slack: float, window_s: float, nodes: Callable[[], int]
    ):
        self._ratio = ratio
        self._slack = slack
        self._slice_s = window_s / SLICES
        self._nodes = nodes
        # Each slice: its number, requests and repeats.
        self._slices: deque[list[int]] = deque()

    def note_request(self, now: float) -> None:
        """Count a request."""
        self._slice(now)[1] += 1

    def take(self, now: float) -> bool:
        """Use up one repeat if there is one."""
        current = self._slice(now)
        requests = sum(item[1] for item in self._slices)
        repeats = sum(item[2] for item in self._slices)
        share = self._ratio * requests + self._slack / max(1, self._nodes())
        if repeats + 1 > CAUTION * share:
            return False
        current[2] += 1
        return True

    def _slice(self, now: float) -> list[int]:
        number = int(now / self._slice_s)
        while self._slices and self._slices[0][0] <= number - SLICES:
            self._slices.popleft()
        if not self._slices or self._slices[-1][0] != number:
            self._slices.append([number, 0, 0])
        return self._slices[-1]

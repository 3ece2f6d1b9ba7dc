"""Histograms that count values in buckets, cheap enough for each message and timer."""

__all__ = ["Histogram"]

from bisect import bisect_left
from collections.abc import Sequence


class Histogram:
    """Counts values by bucket; a value equal to a bound belongs to the bucket below it.

    :param bounds: upper bounds of the buckets in ascending order; a last bucket takes
        all larger values.

    >>> latencies = Histogram((2, 5))
    >>> for value in (1, 2, 3, 9):
    ...     latencies.record(value)
    >>> latencies.counts, latencies.total
    ([2, 1, 1], 15.0)
    """

    __slots__ = ("bounds", "counts", "total")

    def __init__(self, bounds: Sequence[float]):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def record(self, value: float) -> None:
        """Count a value."""
        self.counts[bisect_left(self.bounds, value)] += 1
        self.total += value

"""Hybrid logical clock: timestamps that respect cause and effect."""

__all__ = ["HybridClock", "format_timestamp", "physical_ms"]

import time
from collections.abc import Callable
from datetime import UTC, datetime

LOGICAL_BITS = 16
MAX_AHEAD_MS = 60_000


def physical_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class HybridClock:
    """Gives growing 64-bit timestamps: milliseconds in the high bits, then a counter.

    A timestamp received from a peer moves the clock forward, so an effect is always
    stamped later than its cause, whatever the wall clocks say. A peer whose clock is
    more than ``MAX_AHEAD_MS`` ahead does not move it.

    :param now_ms: source of wall-clock milliseconds.

    >>> clock = HybridClock(now_ms=lambda: 5)
    >>> first = clock.tick()
    >>> clock.observe(9 << 16)
    >>> clock.tick() > 9 << 16 > first
    True
    """

    def __init__(self, now_ms: Callable[[], int] = physical_ms):
        self._now_ms = now_ms
        self._last = 0

    def tick(self) -> int:
        """Return the timestamp of a local event."""
        self._last = max(self._last + 1, self._now_ms() << LOGICAL_BITS)
        return self._last

    def observe(self, timestamp: int) -> None:
        """Take in a timestamp received from a peer."""
        limit = (self._now_ms() + MAX_AHEAD_MS) << LOGICAL_BITS
        if timestamp <= limit:
            self._last = max(self._last, timestamp)


def format_timestamp(timestamp: int) -> str:
    """Return a hybrid timestamp as UTC text with its counter.

    >>> format_timestamp(1_000 << 16 | 3)
    '1970-01-01T00:00:01.000Z+3'
    """
    millis, counter = timestamp >> LOGICAL_BITS, timestamp & ((1 << LOGICAL_BITS) - 1)
    moment = datetime.fromtimestamp(millis // 1000, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{millis % 1000:03d}Z+{counter}"

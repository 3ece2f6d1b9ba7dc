"""Hybrid logical clock, whose timestamps preserve causal order."""

__all__ = ["HybridClock", "format_timestamp", "physical_ms"]

import time
from collections.abc import Callable
from datetime import UTC, datetime

# Width of the counter, the low bits of a timestamp.
LOGICAL_BITS = 16
MAX_AHEAD_MS = 60_000


def physical_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class HybridClock:
    """A clock of increasing 64-bit timestamps.

    The high bits hold milliseconds of wall-clock time, the low ``LOGICAL_BITS`` a
    counter. A timestamp received from a peer advances the clock, so an effect always
    has a later timestamp than its cause, even if the wall clocks disagree. Timestamps
    more than ``MAX_AHEAD_MS`` ahead of the local wall clock are ignored.

    :param now_ms: returns the wall-clock time in milliseconds.

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
        """Return the timestamp for a local event."""
        self._last = max(self._last + 1, self._now_ms() << LOGICAL_BITS)
        return self._last

    def observe(self, timestamp: int) -> None:
        """Advance the clock to a timestamp received from a peer."""
        limit = (self._now_ms() + MAX_AHEAD_MS) << LOGICAL_BITS
        if timestamp <= limit:
            self._last = max(self._last, timestamp)


def format_timestamp(timestamp: int) -> str:
    """Return a timestamp as UTC text, followed by its counter.

    >>> format_timestamp(1_000 << 16 | 3)
    '1970-01-01T00:00:01.000Z+3'
    """
    millis, counter = timestamp >> LOGICAL_BITS, timestamp & ((1 << LOGICAL_BITS) - 1)
    moment = datetime.fromtimestamp(millis // 1000, UTC)
    return f"{moment:%Y-%m-%dT%H:%M:%S}.{millis % 1000:03d}Z+{counter}"

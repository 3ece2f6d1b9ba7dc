"""Measures how long an event loop was busy, or its process suspended."""

__all__ = ["LoopLag"]

import asyncio

# Interval of the timer whose delay is measured.
TICK_INTERVAL_S = 0.1


class LoopLag:
    """Tells callbacks of an event loop for how long they may have waited.

    :param loop: the event loop, which provides the time and timers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop):
        self._loop = loop
        # The two latest ticks. An overdue timer may run before other callbacks that
        # have waited as long.
        self._previous_tick = self._last_tick = loop.time()
        loop.call_later(TICK_INTERVAL_S, self._tick)

    @property
    def seconds(self) -> float:
        """Return for how long the current callback may have waited, at least."""
        elapsed_s = self._loop.time() - self._previous_tick
        return max(0.0, elapsed_s - 2 * TICK_INTERVAL_S)

    def _tick(self) -> None:
        self._previous_tick, self._last_tick = self._last_tick, self._loop.time()
        self._loop.call_later(TICK_INTERVAL_S, self._tick)

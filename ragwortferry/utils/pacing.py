"""Rate limiting by token bucket, and exponential backoff with jitter."""

__all__ = ["Backoff", "TokenBucket"]

import asyncio
import random
import time
from collections.abc import Callable


class TokenBucket:
    """A token bucket, which limits the rate of an action.

    :param rate: tokens added per second.
    :param burst: capacity in tokens; the bucket starts full.
    :param now: returns monotonic time in seconds.

    >>> bucket = TokenBucket(rate=1, burst=1, now=lambda: 0.0)
    >>> bucket.try_take(), bucket.try_take()
    (True, False)
    """

    def __init__(
        self, rate: float, burst: float, now: Callable[[], float] = time.monotonic
    ):
        self._now = now
        self._burst = burst
        self._tokens = burst
        self._updated = now()
        self.rate = rate

    @property
    def tokens(self) -> float:
        """Return the number of tokens available now."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._now()
        refilled = self._tokens + (now - self._updated) * self.rate
        self._tokens = min(self._burst, refilled)
        self._updated = now

    def add(self, amount: float) -> None:
        """Add tokens, up to the capacity."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + amount)

    def try_take(self, amount: float = 1.0) -> bool:
        """Take tokens if enough are available, and return whether they were taken."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    async def take(self) -> None:
        """Wait until a token is available and take it."""
        while not self.try_take():
            await asyncio.sleep(max(0.001, (1 - self._tokens) / self.rate))


class Backoff:
    """Exponential backoff with full jitter.

    Each delay is uniform between 0 and an upper bound, which doubles with each delay.

    :param initial: upper bound of the first delay, in seconds.
    :param maximum: largest upper bound of a delay, in seconds.
    :param rng: random number generator.
    """

    def __init__(self, initial: float, maximum: float, rng: random.Random):
        self._initial = initial
        self._maximum = maximum
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Reset to the first delay."""
        self._failures = 0

    def next_delay(self) -> float:
        """Return the next delay in seconds."""
        bound = min(self._maximum, self._initial * 2**self._failures)
        self._failures = min(self._failures + 1, 32)
        return self._rng.uniform(0, bound)

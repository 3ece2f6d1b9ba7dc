"""Token bucket and jittered backoff."""

__all__ = ["Backoff", "TokenBucket"]

import asyncio
import random
import time
from collections.abc import Callable


class TokenBucket:
    """Limits the rate of an action.

    :param rate: tokens added per second.
    :param burst: most tokens held.
    :param now: monotonic clock in seconds.

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
        """Return the tokens held now."""
        self._refill()
        return self._tokens

    def _refill(self) -> None:
        now = self._now()
        refilled = self._tokens + (now - self._updated) * self.rate
        self._tokens = min(self._burst, refilled)
        self._updated = now

    def add(self, amount: float) -> None:
        """Add tokens up to the burst."""
        self._refill()
        self._tokens = min(self._burst, self._tokens + amount)

    def try_take(self, amount: float = 1.0) -> bool:
        """Take tokens if there are enough, and say whether there were."""
        self._refill()
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True

    async def take(self) -> None:
        """Wait until a token is there and take it."""
        while not self.try_take():
            await asyncio.sleep(max(0.001, (1 - self._tokens) / self.rate))


class Backoff:
    """Gives growing delays with full jitter.

    :param first: upper bound of the first delay, in seconds.
    :param most: upper bound of any delay, in seconds.
    :param rng: random number generator.
    """

    def __init__(self, initial: float, maximum: float, rng: random.Random):
        self._initial = initial
        self._maximum = maximum
        self._rng = rng
        self._failures = 0

    def reset(self) -> None:
        """Start again from the first delay."""
        self._failures = 0

    def next_delay(self) -> float:
        """Return the next delay in seconds."""
        bound = min(self._maximum, self._initial * 2**self._failures)
        self._failures = min(self._failures + 1, 32)
        return self._rng.uniform(0, bound)

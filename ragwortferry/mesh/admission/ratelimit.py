"""Spacing of requests below the rate that an upstream accepts."""

__all__ = ["MIN_RATE_PER_S", "RateLimit"]

# Rate of the requests that find out whether a lower limit still holds.
MIN_RATE_PER_S = 0.5
# Unused requests can be made up for within this time, and one beyond it.
BURST_S = 0.25


class RateLimit:
    """A token bucket whose rate changes and that starts empty.

    It starts empty because the upstream has just had more requests than it wants.

    :param rate_per_s: accepted requests per second, 0 if none is.
    :param now: time in seconds, as in all methods.

    >>> limit = RateLimit(2.0, now=0.0)
    >>> limit.try_take(0.4), limit.try_take(0.5), limit.try_take(0.6)
    (False, True, False)
    >>> round(limit.delay(ahead=1, now=0.6), 3)
    0.9
    """

    def __init__(self, rate_per_s: float, now: float):
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = 0.0
        self._updated_at = self._taken_at = now
        self.accepts_any = rate_per_s > 0

    @property
    def _burst(self) -> float:
        return 1 + BURST_S * self._rate_per_s

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Change the rate, and keep what was saved up to the new burst."""
        self._refill(now)
        self.accepts_any = rate_per_s > 0
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = min(self._burst, self._tokens)

    def try_take(self, now: float) -> bool:
        """Count a request if one is allowed now, and return whether it is."""
        self._refill(now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        self._taken_at = now
        return True

    def unused_time(self, now: float) -> float:
        """Return the time since the last request, or since the start, in seconds."""
        return now - self._taken_at

    def put_back(self, now: float) -> None:
        """Undo :meth:`try_take` for a request that was not sent."""
        self._refill(now)
        self._tokens = min(self._burst, self._tokens + 1)

    def delay(self, ahead: int, now: float) -> float:
        """Return the time until a request is allowed, in seconds.

        :param ahead: number of requests before it.
        """
        self._refill(now)
        return max(0.0, (ahead + 1 - self._tokens) / self._rate_per_s)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)

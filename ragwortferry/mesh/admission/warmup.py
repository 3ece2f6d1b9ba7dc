"""Warm-up of the own upstream: how many requests it tolerates while it is cold.

An upstream that has just started runs slowly, and crashes at a rate that it bears well
when it is warm. It then starts again, cold, and crashes under the requests that have
waited meanwhile. The node beside it is the one place that all of its requests pass, so
the rate is kept there.

Answers the load of an upstream, or of a whole zone of them, that returns while the
requests of all nodes wait for it.
"""

__all__ = ["WarmUp"]

from ragwortferry.mesh.model import Service, Upstream

# Time for which an upstream still counts as cold after the end that it has stated, so
# that a request on its way does not arrive before that end.
MARGIN_S = 0.1
# Time within which a registry entry that arrives may be older than a response of the
# upstream: heartbeats to the store take up to 1.5 s and the way to this node the rest.
ENTRY_DELAY_S = 2.0
# Limit of a cold time, as a multiple of the one that the service's configuration names.
MAX_START_FACTOR = 2.0


class WarmUp:
    """Tracks until when the own upstream is cold.

    The newest statement counts: that of a response of the upstream, or of its registry
    entry. After a start that was noticed here, it is cold until one of them says more.

    All times are in seconds on one monotonic clock.

    >>> warmup = WarmUp()
    >>> warmup.set_service(Service("tablero", "/health", 100, 3.0, 9.0))
    >>> warmup.record_response(1.5, now=0.0)
    >>> warmup.rate(1.0), warmup.rate(2.0)
    (9.0, None)
    """

    def __init__(self):
        self._start_s = self._rate_per_s = 0.0
        # The newest statement: when it came, and the cold time from then on.
        self._from, self._cold_s = float("-inf"), 0.0
        # When a response of the upstream last stated a cold time.
        self._responded_at = float("-inf")
        # Process of the upstream that the last entry described: id and start time.
        self._incarnation: tuple[str, int] | None = None

    @property
    def bounded(self) -> bool:
        """Return whether the service has a rate for cold upstreams."""
        return self._rate_per_s > 0 and self._start_s > 0

    @property
    def cold_rate_per_s(self) -> float:
        """Return the requests per second that the upstream tolerates when cold."""
        return self._rate_per_s

    @property
    def ends_at(self) -> float:
        """Return the time from which the upstream is warm."""
        cold_s = min(MAX_START_FACTOR * self._start_s, max(0.0, self._cold_s))
        return self._from + (cold_s + MARGIN_S if cold_s else 0.0)

    def set_service(self, service: Service | None) -> None:
        """Take over what the configuration says about cold upstreams."""
        self._start_s = service.cold_start_s if service else 0.0
        self._rate_per_s = service.cold_per_s if service else 0.0

    def rate(self, now: float) -> float | None:
        """Return the requests per second that it tolerates, ``None`` if it is warm."""
        return self._rate_per_s if self.bounded and now < self.ends_at else None

    def remaining(self, now: float) -> float:
        """Return for how long the upstream stays cold."""
        return max(0.0, self.ends_at - now) if self.bounded else 0.0

    def record_start(self, now: float) -> None:
        """Record that the upstream may have started, or become cold, just now."""
        self._from, self._cold_s = now, self._start_s

    def record_response(self, remaining_s: float, now: float) -> None:
        """Record how long the upstream says in a response that it stays cold."""
        self._responded_at = now
        self._from, self._cold_s = now, remaining_s

    def record_entry(self, entry: Upstream, now: float) -> None:
        """Record a new registry entry of the upstream.

        The entry may have been written before the last response was sent. It then
        only counts if it describes another process, or a longer cold time.
        """
        incarnation = entry.id, entry.born_ms
        restarted = self._incarnation not in (None, incarnation)
        self._incarnation = incarnation
        outdated = now - self._responded_at < ENTRY_DELAY_S and not restarted
        if not outdated or now + entry.cold_s > self.ends_at:
            self._from, self._cold_s = now, entry.cold_s

"""Relative speeds of upstreams, whatever mix of requests each of them gets.

The mean service time of an upstream depends on its requests as much as on its speed:
one that gets mostly short ones looks fast, attracts long ones too, and its neighbours
stay idle while requests wait there. So service times are compared route by route.

Answers the load of services with routes of very different service times.
"""

__all__ = ["SpeedTracker"]

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ragwortferry.mesh.averages import RouteAverages

# Weight of the newest report in the mean service time of a route.
ROUTE_SMOOTHING = 0.05
# Weight of the newest report in the slowness of an upstream. A report states a mean of
# its owner already.
SLOWNESS_SMOOTHING = 0.2
# Time in which the deviation of an upstream from the others decays to 37% without
# reports, so that one that was slow for a while is tried again.
DECAY_S = 5.0
# Bounds of the slowness.
MIN_SLOWNESS, MAX_SLOWNESS = 0.2, 5.0


@dataclass(slots=True)
class _Slowness:
    """Service times of an upstream as a multiple of those of its routes."""

    value: float = 1.0
    updated_at: float = 0.0

    def at(self, now: float) -> float:
        decay = math.exp(-max(0.0, now - self.updated_at) / DECAY_S)
        return 1 + (self.value - 1) * decay


class SpeedTracker:
    """Mean service time of each route and slowness of each upstream.

    >>> speeds = SpeedTracker()
    >>> speeds.record("slow", "pay", 0.3, now=0.0)
    >>> for _ in range(50):
    ...     speeds.record("fast", "pay", 0.1, now=0.0)
    ...     speeds.record("slow", "pay", 0.3, now=0.0)
    >>> speeds.expected("slow", "pay", 0.0) / speeds.expected("fast", "pay", 0.0) > 2
    True
    """

    def __init__(self):
        self._route_means = RouteAverages(ROUTE_SMOOTHING)
        self._slowness: dict[str, _Slowness] = {}

    def record(self, upstream: str, route: str, seconds: float, now: float) -> None:
        """Record the mean service time of a route at an upstream, by its owner."""
        self._route_means.update(route, seconds)
        ratio = seconds / max(1e-6, self._route_means.get(route, seconds))
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, ratio))
        known = self._slowness.setdefault(upstream, _Slowness())
        known.value = known.at(now) + SLOWNESS_SMOOTHING * (ratio - known.at(now))
        known.updated_at = now

    def mean(self, route: str) -> float:
        """Return the mean service time of a route in seconds, 0 if unknown."""
        return self._route_means.get(route, 0.0)

    def expected(self, upstream: str, route: str, now: float) -> float | None:
        """Return the expected service time, ``None`` if the route is not known yet."""
        mean_s = self.mean(route)
        if not mean_s:
            return None
        known = self._slowness.get(upstream)
        return mean_s * known.at(now) if known is not None else mean_s

    def forget(self, upstreams: Iterable[str]) -> None:
        """Drop what is known of removed upstreams."""
        for name in upstreams:
            self._slowness.pop(name, None)

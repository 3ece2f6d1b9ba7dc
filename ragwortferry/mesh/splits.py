"""Shares of the destinations of a route."""

__all__ = ["TrafficSplitter"]

import random

from ragwortferry.mesh.model import Route

# Requests after which the shares of a split repeat, for weights in whole percent.
CYCLE_REQUESTS = 100


class TrafficSplitter:
    """Gives each destination its share of a route's requests.

    :param rng: says where in its cycle a route begins.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._current_weights: dict[tuple[str, str], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of a route goes to.

        Each request adds its weight to every part; the part that is owed most is
        chosen and pays for it. Routes begin at a random point of the cycle, so that
        nodes with few requests do not all begin with the same part.
        """
        destinations = route.destinations
        if len(destinations) == 1:
            return destinations[0].service
        key = (route.host, route.name)
        current = self._current_weights.get(key)
        if current is None or len(current) != len(destinations):
            current = self._current_weights[key] = [0.0] * len(destinations)
            for _ in range(self._rng.randrange(CYCLE_REQUESTS)):
                _next_destination(route, current)
        return destinations[_next_destination(route, current)].service


def _next_destination(route: Route, current: list[float]) -> int:
    """Return the number of the part that is owed most, and let it pay."""
    destinations = route.destinations
    total_weight = sum(destination.weight for destination in destinations) or 1.0
    for index, destination in enumerate(destinations):
        current[index] += destination.weight / total_weight
    chosen = max(range(len(destinations)), key=current.__getitem__)
    current[chosen] -= 1.0
    return chosen

"""Weighted traffic splitting between the destinations of a route."""

__all__ = ["TrafficSplitter"]

import random

from ragwortferry.mesh.model import Route

# Requests after which the sequence of a route repeats, for weights in whole percent.
CYCLE_REQUESTS = 100


class TrafficSplitter:
    """Splits the requests of each route by smooth weighted round-robin.

    :param rng: draws the point of the cycle at which a route begins.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._current_weights: dict[tuple[str, str], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that receives the next request of a route.

        Routes begin at a random point of the cycle, so that nodes with few requests do
        not all send them to the same destination.
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
    """Return the index of the next destination and update the current weights.

    Each request adds the normalized weight of every destination to its current weight;
    the destination with the highest one is chosen, which lowers it by 1.
    """
    destinations = route.destinations
    total_weight = sum(destination.weight for destination in destinations) or 1.0
    for index, destination in enumerate(destinations):
        current[index] += destination.weight / total_weight
    chosen = max(range(len(destinations)), key=current.__getitem__)
    current[chosen] -= 1.0
    return chosen

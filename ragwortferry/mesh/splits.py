"""Shares of the destinations of a route."""

__all__ = ["Splits"]

import random

from ragwortferry.mesh.model import Route

# Requests after which the shares of a split repeat, for weights in whole percent.
CYCLE = 100


class Splits:
    """Gives each destination its share of a route's requests.

    :param rng: says where in its cycle a route begins.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._owed: dict[tuple[str, str], list[float]] = {}

    def choose(self, route: Route) -> str:
        """Return the service that the next request of a route goes to.

        Each request adds its weight to every part; the part that is owed most is
        chosen and pays for it. Routes begin at a random point of the cycle, so that
        nodes with few requests do not all begin with the same part.
        """
        parts = route.destinations
        if len(parts) == 1:
            return parts[0].service
        key = (route.host, route.name)
        owed = self._owed.get(key)
        if owed is None or len(owed) != len(parts):
            owed = self._owed[key] = [0.0] * len(parts)
            for _ in range(self._rng.randrange(CYCLE)):
                _next_part(route, owed)
        return parts[_next_part(route, owed)].service


def _next_part(route: Route, owed: list[float]) -> int:
    """Return the number of the part that is owed most, and let it pay."""
    parts = route.destinations
    total = sum(part.weight for part in parts) or 1.0
    for number, part in enumerate(parts):
        owed[number] += part.weight / total
    chosen = max(range(len(parts)), key=owed.__getitem__)
    owed[chosen] -= 1.0
    return chosen

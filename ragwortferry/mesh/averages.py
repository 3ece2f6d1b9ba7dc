"""Exponentially weighted moving averages by route."""

__all__ = ["RouteAverages"]


class RouteAverages:
    """Averages a measured quantity for each route.

    :param weight: weight of the newest value; the first value is taken as it is.

    >>> sizes = RouteAverages(0.5)
    >>> sizes.update("exports", 100.0)
    >>> sizes.update("exports", 200.0)
    >>> sizes.get("exports", 0.0), sizes.get("panels", 7.0)
    (150.0, 7.0)
    """

    def __init__(self, weight: float):
        self._weight = weight
        self._values: dict[str, float] = {}

    def update(self, route: str, value: float) -> None:
        """Add a value to the average of a route."""
        known = self._values.get(route, value)
        self._values[route] = known + self._weight * (value - known)

    def get(self, route: str, default: float) -> float:
        """Return the average of a route, ``default`` if it has no value yet."""
        return self._values.get(route, default)

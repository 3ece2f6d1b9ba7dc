"""Moving averages by route."""

__all__ = ["RouteAverages"]


class RouteAverages:
    """Follows one measure of each route.

    :param weight: weight of the newest value; the first one counts fully.

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
        """Take in a value."""
        known = self._values.get(route, value)
        self._values[route] = known + self._weight * (value - known)

    def get(self, route: str, default: float) -> float:
        """Return the average of a route, ``default`` before the first value."""
        return self._values.get(route, default)

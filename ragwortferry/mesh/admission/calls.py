"""Recognizes the routes by which the upstream of this instance makes calls.

A request holds its slot while its calls run. If one of them is refused, the work of the
request is lost, and its caller comes again with all of it; nobody repeats the call
itself. So a call goes first, and may wait for longer than a client's request, which
can be refused before any work. Nothing on the wire tells the two apart, but a request
that arrives while the upstream runs nothing is no call.

Answers the load of a service that the requests of others call while its own callers
press.
"""

__all__ = ["CallRoutes", "call_objective"]

from collections import OrderedDict
from dataclasses import dataclass

# Expected number of arrivals at an idle upstream from which their absence counts.
MIN_EXPECTED_IDLE = 5.0
# Fraction of the expected arrivals at an idle upstream up to which a route counts as
# one of calls: a cancelled request may leave a call behind.
MAX_IDLE_FRACTION = 0.2
# Arrivals after which older ones count half, so that a change of the configuration is
# noticed.
HALVING_ARRIVALS = 400
# Most routes that are counted; the oldest are forgotten.
MAX_ROUTES = 1_024
# Part of its time left that a call may use until its response.
CALL_TIME_FRACTION = 0.8


@dataclass(slots=True)
class _Arrivals:
    """Arrivals of a route, and those among them while the upstream was idle."""

    total: float = 0.0
    idle: float = 0.0

    def add(self, idle: bool) -> None:
        self.total += 1
        self.idle += idle

    def subtract(self, total: float, idle: float) -> None:
        self.total -= total
        self.idle -= idle


class CallRoutes:
    """Counts the arrivals of each route by whether the upstream was at work.

    >>> routes = CallRoutes()
    >>> for number in range(60):
    ...     routes.record("clients", running=number % 3)
    ...     routes.record("calls", running=1 + number % 2)
    >>> routes.includes("calls"), routes.includes("clients")
    (True, False)
    """

    def __init__(self):
        self._routes: OrderedDict[str, _Arrivals] = OrderedDict()
        # Sum over all routes.
        self._all = _Arrivals()

    def record(self, route: str, running: int) -> None:
        """Count a request of a caller on this instance.

        :param running: number of requests that the upstream is processing.
        """
        known = self._routes.get(route)
        if known is None:
            known = self._routes[route] = _Arrivals()
            if len(self._routes) > MAX_ROUTES:
                _, oldest = self._routes.popitem(last=False)
                self._all.subtract(oldest.total, oldest.idle)
        known.add(running == 0)
        self._all.add(running == 0)
        if known.total >= HALVING_ARRIVALS:
            self._all.subtract(known.total / 2, known.idle / 2)
            known.subtract(known.total / 2, known.idle / 2)

    def includes(self, route: str) -> bool:
        """Return whether the requests of a route are calls of the upstream.

        They are if they never come at times at which other requests do.
        """
        known = self._routes.get(route)
        if known is None:
            return False
        total = self._all.total - known.total
        idle = self._all.idle - known.idle
        expected = known.total * idle / total if total > 0 else 0.0
        return (
            expected >= MIN_EXPECTED_IDLE and known.idle <= MAX_IDLE_FRACTION * expected
        )

    @property
    def names(self) -> list[str]:
        """Return the routes that count as those of calls."""
        return [name for name in self._routes if self.includes(name)]


def call_objective(objective_at: float, deadline_at: float, now: float) -> float:
    """Return the time until which the response to a call is useful.

    >>> call_objective(0.1, 1.0, 0.0)
    0.8
    """
    return max(objective_at, now + CALL_TIME_FRACTION * (deadline_at - now))

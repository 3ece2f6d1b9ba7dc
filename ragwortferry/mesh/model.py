"""Data model of a node: the configuration document and the known upstreams."""

__all__ = [
    "Advertised",
    "Destination",
    "Document",
    "Limits",
    "Route",
    "Service",
    "Upstream",
]

from dataclasses import dataclass, field

import msgspec

from ragwortferry.utils.sockets import Address

DRAINING = "draining"
READY = "ready"


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits on the requests and connections of callers.

    :param header_timeout_s: time within which the headers of a request must arrive.
    :param idle_timeout_s: time after which an idle connection is closed.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Destination:
    """A service that receives a part of a route's requests.

    :param weight: part of the requests, relative to the route's other destinations.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that routes the requests for a host and path prefix to services.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: maximum time until the final response.
    :param objective_s: latency objective: a later response is less useful.
    :param max_attempts: maximum number of upstreams to which one request is sent.
    :param priority: 0 is the highest.
    """

    name: str
    host: str
    prefix: str
    destinations: tuple[Destination, ...]
    idempotent: bool
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service to which routes send requests.

    :param cold_start_s: time for which an upstream is cold after its start.
    :param cold_per_s: requests per second that a cold upstream tolerates from all nodes
        together, 0 if that is not limited.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Document:
    """One accepted version of the configuration.

    :param digest: hash of its encoded form.
    :param routes_by_host: routes of each host, longest prefix first.
    """

    version: int
    digest: str
    limits: Limits
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service] = field(default_factory=dict)
    _indexes: dict[str, "_PrefixIndex"] = field(init=False, repr=False, compare=False)

    def __post_init__(self):
        indexes = {h: _PrefixIndex(routes) for h, routes in self.routes_by_host.items()}
        object.__setattr__(self, "_indexes", indexes)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, ``None`` without one."""
        index = self._indexes.get(host)
        return index.match(path) if index is not None else None


class _PrefixIndex:
    """Finds the longest prefix by one lookup for each length that occurs."""

    __slots__ = ("_by_prefix", "_lengths")

    def __init__(self, routes: tuple[Route, ...]):
        self._by_prefix = {route.prefix: route for route in reversed(routes)}
        self._lengths = sorted(
            {len(prefix) for prefix in self._by_prefix}, reverse=True
        )

    def match(self, path: str) -> Route | None:
        for length in self._lengths:
            route = self._by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


@dataclass(frozen=True, slots=True)
class Advertised:
    """What an upstream states about itself in the headers of a response.

    :param limit_per_s: requests per second that it accepts from all nodes together,
        ``None`` if it names no limit.
    :param leaving: whether it is about to exit.
    :param invalid: value of a limit header that is no decimal number, else empty.
    :param cold_s: seconds for which it stays cold, ``None`` if it does not say.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    invalid: str = ""
    cold_s: float | None = None


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """A registered upstream.

    :param id: identifies one process of the upstream; a restart gets a new id.
    :param slots: maximum number of requests that it runs at once.
    :param cold_s: seconds for which it remains cold, as of its last registry update.
    :param born_ms: start time by its own clock, in milliseconds since the epoch, 0 if
        unknown.
    :param revision: registry revision at which its entry last changed.
    """

    id: str
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool
    cold_s: float = 0.0
    born_ms: int = 0
    revision: int = 0

"""What a node believes: the document in force and the upstreams that are known."""

__all__ = [
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
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(frozen=True, slots=True)
class Destination:
    """One part of a route's requests.

    :param weight: share of the requests, relative to the other parts.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """A rule that sends the requests of a host and path prefix to services.

    :param idempotent: whether a request may run more than once.
    :param timeout_s: longest time until the final answer.
    :param objective_s: time within which an answer is worth most to the caller.
    :param max_attempts: upstreams at most to which one request may be sent.
    :param priority: rank, 0 is the highest.
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
    """A service that routes name."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class Document:
    """One accepted version of the configuration.

    :param digest: hash of its encoded form.
    :param routes_by_host: routes of each host, the longest prefix first.
    """

    version: int
    digest: str
    limits: Limits
    routes_by_host: dict[str, tuple[Route, ...]]
    services: dict[str, Service] = field(default_factory=dict)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of the longest prefix that begins the path."""
        for route in self.routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


class Upstream(msgspec.Struct, frozen=True, array_like=True):
    """One registered upstream.

    :param id: name of this start of the upstream.
    :param born_ms: time of its start, by its own clock, 0 if it does not say.
    :param cold_s: how much longer it is slow after its start, as of its last report.
    :param revision: revision of the registry at which the entry last changed.
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

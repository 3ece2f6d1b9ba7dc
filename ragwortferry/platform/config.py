"""Decoder of the operator's configuration."""

__all__ = ["DocumentDecoder", "decode_document"]

from collections.abc import Iterable
from typing import Annotated

import msgspec
import xxhash
from expression import Error, Ok, Result
from msgspec import Meta, Struct, field

from ragwortferry.mesh.model import Destination, Document, Limits, Route, Service
from ragwortferry.utils.decoding import decode_untrusted

# Route types whose requests are idempotent.
IDEMPOTENT_ROUTE_TYPES = ("safe", "download")
VERSION_PREFIX = "r"
# Messages between nodes carry integers of 64 bits.
MAX_VERSION_DIGITS = 18
# Longer times have the effect of this one: a day.
MAX_DURATION_S = 86_400.0
# A priority beyond it has the effect of this one.
MAX_PRIORITY = 2**31 - 1
VERSION_PATTERN = rf"^{VERSION_PREFIX}[0-9]{{1,{MAX_VERSION_DIGITS}}}\Z"

PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonEmptyStr = Annotated[str, Meta(min_length=1)]


class _WeightedService(Struct):
    service: NonEmptyStr
    weight: Annotated[float, Meta(ge=0)] = 1.0


class _Match(Struct):
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?\Z")]


class _Action(Struct):
    """Where the requests of a rule are sent.

    :param service: the only destination, used if ``split`` is empty.
    :param split: several destinations with weights.
    """

    timeout_s: PositiveFloat
    max_attempts: PositiveInt
    service: str = ""
    split: tuple[_WeightedService, ...] = ()


class _Rule(Struct):
    name: NonEmptyStr
    match: _Match
    action: _Action
    # Determines whether requests are idempotent; it has no effect on routing.
    route_type: str = "unsafe"
    # Latency objective: later responses are less useful. It is not a time limit.
    target_latency_s: PositiveFloat = 1.0
    priority: int = 0


class _Listener(Struct):
    """The rules of one host name; all host names share one listening port.

    :param rules: encoded rules; most are the same as in the version before.
    """

    host: NonEmptyStr
    rules: tuple[msgspec.Raw, ...]


class _Cluster(Struct):
    """A service: a cluster of upstreams."""

    name: NonEmptyStr
    health_path: str = "/health"
    max_connections: PositiveInt = 100
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(Struct):
    max_header_bytes: PositiveInt
    max_body_bytes: PositiveInt
    header_timeout_s: PositiveFloat
    idle_timeout_s: PositiveFloat


class _Config(Struct):
    version: Annotated[str, Meta(pattern=VERSION_PATTERN)]
    limits: _Limits
    hosts: tuple[_Listener, ...] = field(name="listeners")
    services: tuple[_Cluster, ...] = field(name="clusters")


_DECODER = msgspec.json.Decoder(_Config)
_RULE_DECODER = msgspec.json.Decoder(_Rule)


class DocumentDecoder:
    """Decodes successive versions, and decodes again only the rules that changed.

    The result is the same as that of decoding the whole document.
    """

    def __init__(self):
        # Routes of the last valid document, by host and encoded rule.
        self._routes: dict[tuple[str, bytes], Route] = {}

    def decode(self, data: bytes) -> Result[Document, str]:
        """Return the decoded document, or the reason why it is invalid.

        An invalid part makes the whole document invalid.
        """
        decoded = decode_untrusted(self._decode, data)
        if decoded.is_error():
            return Error(decoded.swap().ok)
        config, version, routes = decoded.ok
        services = {
            item.name: Service(
                item.name,
                item.health_path,
                item.max_connections,
                max(0.0, item.cold_start_s),
                max(0.0, item.cold_per_s),
            )
            for item in config.services
        }
        for route in routes.values():
            unknown = [
                d.service for d in route.destinations if d.service not in services
            ]
            if unknown or not route.destinations:
                return Error(
                    f"rule {route.name!r}: destinations missing or unknown: {unknown}"
                )
        self._routes = routes
        digest = xxhash.xxh3_64_hexdigest(data)
        limits = _to_limits(config.limits)
        hosts = _routes_by_host(routes.values())
        return Ok(Document(version, digest, limits, hosts, services))

    def _decode(
        self, data: bytes
    ) -> tuple[_Config, int, dict[tuple[str, bytes], Route]]:
        config = _DECODER.decode(data)
        version = int(config.version.removeprefix(VERSION_PREFIX))
        return config, version, self._decode_routes(config.hosts)

    def _decode_routes(
        self, listeners: tuple[_Listener, ...]
    ) -> dict[tuple[str, bytes], Route]:
        """Return the routes of all hosts, by host and encoded rule.

        If two listeners have the same host, the rules of the later one go first.
        """
        known, routes = self._routes, {}
        for listener in reversed(listeners):
            for raw in listener.rules:
                key = (listener.host, bytes(raw))
                route = known.get(key)
                if route is None:
                    route = _to_route(listener.host, _RULE_DECODER.decode(raw))
                routes[key] = route
        return routes


def decode_document(data: bytes) -> Result[Document, str]:
    """Return a decoded document, or the reason why it is invalid.

    >>> decode_document(b"[]").is_error()
    True
    """
    return DocumentDecoder().decode(data)


def _routes_by_host(routes: Iterable[Route]) -> dict[str, tuple[Route, ...]]:
    """Return the routes of each host, longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(items, key=lambda item: -len(item.prefix)))
        for host, items in hosts.items()
    }


def _to_limits(limits: _Limits) -> Limits:
    return Limits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def _to_route(host: str, rule: _Rule) -> Route:
    action = rule.action
    parts = action.split or (
        (_WeightedService(action.service),) if action.service else ()
    )
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        destinations=tuple(Destination(part.service, part.weight) for part in parts),
        idempotent=rule.route_type in IDEMPOTENT_ROUTE_TYPES,
        timeout_s=min(action.timeout_s, MAX_DURATION_S),
        objective_s=min(rule.target_latency_s, MAX_DURATION_S),
        max_attempts=action.max_attempts,
        priority=max(-MAX_PRIORITY, min(MAX_PRIORITY, rule.priority)),
    )

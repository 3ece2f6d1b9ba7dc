"""Decoder of the operator's configuration."""

__all__ = ["decode_document"]

from typing import Annotated

import msgspec
import xxhash
from expression import Error, Ok, Result
from msgspec import Meta, Struct, field

from ragwortferry.mesh.model import Destination, Document, Limits, Route, Service

# Route types whose requests are idempotent.
IDEMPOTENT_ROUTE_TYPES = ("safe", "download")
VERSION_PREFIX = "r"

PositiveFloat = Annotated[float, Meta(gt=0)]
PositiveInt = Annotated[int, Meta(ge=1)]
NonEmptyStr = Annotated[str, Meta(min_length=1)]


class _WeightedService(Struct):
    service: NonEmptyStr
    weight: Annotated[float, Meta(ge=0)] = 1.0


class _Match(Struct):
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]


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
    """The rules of one host name; all host names share one listening port."""

    host: NonEmptyStr
    rules: tuple[_Rule, ...]


class _Cluster(Struct):
    """A service: a cluster of upstreams."""

    name: NonEmptyStr
    health_path: str = "/health"
    max_connections: PositiveInt = 100


class _Limits(Struct):
    max_header_bytes: PositiveInt
    max_body_bytes: PositiveInt
    header_timeout_s: PositiveFloat
    idle_timeout_s: PositiveFloat


class _Config(Struct):
    version: Annotated[str, Meta(pattern=rf"^{VERSION_PREFIX}[0-9]+$")]
    limits: _Limits
    hosts: tuple[_Listener, ...] = field(name="listeners")
    services: tuple[_Cluster, ...] = field(name="clusters")


_DECODER = msgspec.json.Decoder(_Config)


def decode_document(data: bytes) -> Result[Document, str]:
    """Return the decoded document, or the reason why it is invalid.

    An invalid part makes the whole document invalid.

    >>> decode_document(b"[]").is_error()
    True
    """
    try:
        config = _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Error(str(error))
    services = {
        item.name: Service(item.name, item.health_path, item.max_connections)
        for item in config.services
    }
    hosts: dict[str, tuple[Route, ...]] = {}
    for listener in config.hosts:
        routes = [_to_route(listener.host, rule) for rule in listener.rules]
        for route in routes:
            unknown = [
                d.service for d in route.destinations if d.service not in services
            ]
            if unknown or not route.destinations:
                return Error(
                    f"rule {route.name!r}: destinations missing or unknown: {unknown}"
                )
        host = listener.host.lower()
        routes += hosts.get(host, ())
        hosts[host] = tuple(sorted(routes, key=lambda item: -len(item.prefix)))
    version = int(config.version.removeprefix(VERSION_PREFIX))
    digest = xxhash.xxh3_64_hexdigest(data)
    return Ok(Document(version, digest, _to_limits(config.limits), hosts, services))


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
        timeout_s=action.timeout_s,
        objective_s=rule.target_latency_s,
        max_attempts=action.max_attempts,
        priority=rule.priority,
    )

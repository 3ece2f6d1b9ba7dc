"""Decodes the operator's configuration."""

__all__ = ["decode_document"]

from typing import Annotated

import msgspec
import xxhash
from expression import Error, Ok, Result
from msgspec import Meta, Struct, field

from ragwortferry.mesh.model import Destination, Document, Limits, Route, Service

REPEATABLE_TYPES = ("safe", "download")
VERSION_MARK = "r"

Positive = Annotated[float, Meta(gt=0)]
Count = Annotated[int, Meta(ge=1)]
Text = Annotated[str, Meta(min_length=1)]


class _Part(Struct):
    service: Text
    weight: Annotated[float, Meta(ge=0)] = 1.0


class _Match(Struct):
    prefix: Annotated[str, Meta(pattern=r"^/(.*/)?$")]


class _Action(Struct):
    """Where the requests of a rule go: ``service``, or the parts of ``split``."""

    timeout_s: Positive
    max_attempts: Count
    service: str = ""
    split: tuple[_Part, ...] = ()


class _Rule(Struct):
    name: Text
    match: _Match
    action: _Action
    # Says whether a request may be repeated, not how it is routed.
    route_type: str = "unsafe"
    # The time within which an answer is worth most; no limit.
    target_latency_s: Positive = 1.0
    priority: int = 0


class _Listener(Struct):
    """The rules of one host name; nothing listens for it apart from the others."""

    host: Text
    rules: tuple[_Rule, ...]


class _Cluster(Struct):
    """A service."""

    name: Text
    health_path: str = "/health"
    max_connections: Count = 100


class _Limits(Struct):
    max_header_bytes: Count
    max_body_bytes: Count
    header_timeout_s: Positive
    idle_timeout_s: Positive


class _Config(Struct):
    version: Annotated[str, Meta(pattern=rf"^{VERSION_MARK}[0-9]+$")]
    limits: _Limits
    hosts: tuple[_Listener, ...] = field(name="listeners")
    services: tuple[_Cluster, ...] = field(name="clusters")


_DECODER = msgspec.json.Decoder(_Config)


def decode_document(data: bytes) -> Result[Document, str]:
    """Return the document that ``data`` holds, or why it is none.

    A document is taken whole or not at all.

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
        routes = [_route(listener.host, rule) for rule in listener.rules]
        for route in routes:
            unknown = [
                d.service for d in route.destinations if d.service not in services
            ]
            if unknown or not route.destinations:
                return Error(f"rule {route.name!r}: no service {unknown}")
        host = listener.host.lower()
        routes += hosts.get(host, ())
        hosts[host] = tuple(sorted(routes, key=lambda item: -len(item.prefix)))
    version = int(config.version.removeprefix(VERSION_MARK))
    digest = xxhash.xxh3_64_hexdigest(data)
    return Ok(Document(version, digest, _limits(config.limits), hosts, services))


def _limits(limits: _Limits) -> Limits:
    return Limits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )


def _route(host: str, rule: _Rule) -> Route:
    action = rule.action
    parts = action.split or ((_Part(action.service),) if action.service else ())
    return Route(
        name=rule.name,
        host=host.lower(),
        prefix=rule.match.prefix,
        destinations=tuple(Destination(part.service, part.weight) for part in parts),
        idempotent=rule.route_type in REPEATABLE_TYPES,
        timeout_s=action.timeout_s,
        objective_s=rule.target_latency_s,
        max_attempts=action.max_attempts,
        priority=rule.priority,
    )

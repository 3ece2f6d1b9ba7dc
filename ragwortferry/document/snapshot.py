"""The immutable snapshot of a version and the checks that span its sections."""

__all__ = ["Route", "Section", "Service", "Snapshot", "build_snapshot"]

import sys
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from ragwortferry.document.models import Manifest, SectionModel, encode_manifest
from ragwortferry.utils.digests import content_digest

MAX_LISTED_PROBLEMS = 5


@dataclass(frozen=True, slots=True)
class Service:
    """A service and the limits of each upstream; see ``ServiceModel`` for the fields.

    :param section: name of the section that defines the service.
    :param upstreams: names of the upstreams, equal to those of their instances.
    """

    name: str
    section: str
    upstreams: tuple[str, ...]
    slots: int
    connections: int
    queue: int
    slow_start_s: float


@dataclass(frozen=True, slots=True)
class Route:
    """A route to a service; see ``RouteModel`` for the fields.

    :param section: name of the section that defines the route.
    """

    name: str
    section: str
    prefix: str
    service: str
    methods: frozenset[str]
    idempotent: bool
    timeout_s: float
    silence_s: float
    retries: int
    max_share: float


@dataclass(frozen=True, slots=True)
class Section:
    """A parsed section and the digest of its text."""

    name: str
    digest: str
    services: tuple[Service, ...]
    routes: tuple[Route, ...]

    @classmethod
    def from_model(cls, name: str, digest: str, model: SectionModel) -> "Section":
        """Convert a validated model; recurring strings are interned to save memory."""
        services = tuple(_make_service(name, item) for item in model.services)
        routes = tuple(_make_route(name, item) for item in model.routes)
        return cls(sys.intern(name), digest, services, routes)


def _make_service(section: str, model) -> Service:
    upstreams = tuple(sys.intern(item.name) for item in model.upstreams)
    return Service(
        sys.intern(model.name),
        sys.intern(section),
        upstreams,
        model.slots,
        model.connections,
        model.queue,
        model.slow_start_s,
    )


def _make_route(section: str, model) -> Route:
    return Route(
        model.name,
        sys.intern(section),
        model.prefix,
        sys.intern(model.service),
        frozenset(sys.intern(method) for method in model.methods),
        model.idempotent,
        model.timeout_ms / 1000,
        model.silence_ms / 1000,
        model.retries,
        model.max_share,
    )


@dataclass(frozen=True, slots=True)
class _Index:
    """The definitions of all sections by name, to look them up and find conflicts.

    :param services: services by name.
    :param routes: routes by name.
    :param routes_by_path: routes by method and path prefix.
    :param upstreams: name of the service of each upstream.
    :param route_counts: number of routes to each service.
    """

    services: dict[str, Service] = field(default_factory=dict)
    routes: dict[str, Route] = field(default_factory=dict)
    routes_by_path: dict[tuple[str, str], Route] = field(default_factory=dict)
    upstreams: dict[str, str] = field(default_factory=dict)
    route_counts: dict[str, int] = field(default_factory=dict)

    def copy(self) -> "_Index":
        """Return a copy that can be changed independently."""
        return _Index(
            dict(self.services),
            dict(self.routes),
            dict(self.routes_by_path),
            dict(self.upstreams),
            dict(self.route_counts),
        )

    def remove(self, section: Section) -> None:
        """Remove the definitions of a section."""
        for service in section.services:
            del self.services[service.name]
            for upstream in service.upstreams:
                del self.upstreams[upstream]
        for route in section.routes:
            del self.routes[route.name]
            self.route_counts[route.service] -= 1
            for method in route.methods:
                del self.routes_by_path[method, route.prefix]

    def add(self, section: Section) -> Iterable[str]:
        """Add the definitions of a section and yield each duplicate definition."""
        for service in section.services:
            other = self.services.get(service.name)
            if other is not None:
                where = _quote_pair(other.section, section.name)
                yield f"service {service.name!r} is defined in sections {where}"
            self.services[service.name] = service
            yield from self._add_upstreams(service)
        for route in section.routes:
            yield from self._add_route(route)

    def _add_upstreams(self, service: Service) -> Iterable[str]:
        for upstream in service.upstreams:
            other = self.upstreams.get(upstream)
            if other is not None:
                where = _quote_pair(other, service.name)
                yield f"upstream {upstream!r} is listed by services {where}"
            self.upstreams[upstream] = service.name

    def _add_route(self, route: Route) -> Iterable[str]:
        other = self.routes.get(route.name)
        if other is not None:
            where = _quote_pair(other.section, route.section)
            yield f"route {route.name!r} is defined in sections {where}"
        self.routes[route.name] = route
        self.route_counts[route.service] = self.route_counts.get(route.service, 0) + 1
        for method in sorted(route.methods):
            other = self.routes_by_path.get((method, route.prefix))
            if other is not None:
                where = _quote_pair(other.name, route.name)
                yield f"{method} {route.prefix} is routed by {where}"
            self.routes_by_path[method, route.prefix] = route

    def unresolved_routes(self) -> Iterable[str]:
        """Yield an error for each route whose service is not defined."""
        missing = {
            name
            for name, count in self.route_counts.items()
            if count and name not in self.services
        }
        if not missing:
            return
        for route in self.routes.values():
            if route.service in missing:
                yield (
                    f"section {route.section!r}: route {route.name!r}: "
                    f"service {route.service!r} does not exist"
                )


def _quote_pair(first: str, second: str) -> str:
    return " and ".join(repr(name) for name in sorted((first, second)))


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The services and routes of one version, immutable.

    :param version: number of the version.
    :param digest: digest of its manifest.
    :param sections: parsed sections by name.
    """

    version: int
    digest: str
    manifest: Manifest
    sections: Mapping[str, Section]
    _index: _Index

    @property
    def services(self) -> Mapping[str, Service]:
        """Return the services by name."""
        return self._index.services

    @property
    def routes(self) -> Mapping[str, Route]:
        """Return the routes by name."""
        return self._index.routes

    def service_of_upstream(self, upstream: str) -> Service | None:
        """Return the service that an upstream belongs to, ``None`` if there is none."""
        name = self._index.upstreams.get(upstream)
        return self._index.services.get(name) if name else None

    def match(self, method: str, path: str) -> Route | None:
        """Return the route whose prefix matches the most segments of ``path``."""
        routes_by_path = self._index.routes_by_path
        prefix = path if path == "/" else path.rstrip("/")
        while prefix:
            route = routes_by_path.get((method, prefix))
            if route is not None:
                return route
            prefix = prefix.rpartition("/")[0]
        return routes_by_path.get((method, "/"))

    def allowed_methods(self, path: str) -> list[str]:
        """Return the methods for which ``path`` has a route, sorted."""
        methods = {method for method, _ in self._index.routes_by_path}
        return sorted(method for method in methods if self.match(method, path))


def build_snapshot(
    manifest: Manifest,
    sections: Mapping[str, Section],
    base: Snapshot | None = None,
) -> Result[Snapshot, str]:
    """Validate a version across its sections and build its snapshot.

    Only the sections that differ from ``base`` are checked. If this finds a problem,
    a full check is made, so that the result and the reported problems are always those
    of a full check.

    :param manifest: manifest of the version.
    :param sections: the parsed sections of the manifest by name.
    :param base: valid snapshot to start from, ``None`` for a full check.
    :returns: the snapshot, or the problems in one line.
    """
    index, removed, added = _diff_sections(sections, base)
    for section in removed:
        index.remove(section)
    problems = [problem for section in added for problem in index.add(section)]
    problems.extend(index.unresolved_routes())
    if problems and base is not None:
        return build_snapshot(manifest, sections, None)
    if problems:
        distinct = sorted(set(problems))
        more = f" (+{len(distinct) - MAX_LISTED_PROBLEMS} more)" * (
            len(distinct) > MAX_LISTED_PROBLEMS
        )
        return Error("; ".join(distinct[:MAX_LISTED_PROBLEMS]) + more)
    digest = content_digest(encode_manifest(manifest))
    return Ok(Snapshot(manifest.version, digest, manifest, sections, index))


def _diff_sections(sections, base):
    """Return the index to start from and the sections to remove from and add to it."""
    if base is None:
        added = [sections[name] for name in sorted(sections)]
        return _Index(), [], added
    old = base.sections
    removed = [
        section for name, section in old.items() if sections.get(name) is not section
    ]
    added = [
        section for name, section in sections.items() if old.get(name) is not section
    ]
    return base._index.copy(), removed, added

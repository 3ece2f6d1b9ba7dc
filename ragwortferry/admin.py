"""HTTP endpoints of a process for operators and other proxies."""

__all__ = ["Admin"]

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from ragwortferry.kernel import Kernel
from ragwortferry.utils.registry import Registry

PREFIX = "/-/"

Endpoint = Callable[["Admin", web.BaseRequest], Awaitable[web.Response]]
ENDPOINTS: Registry[Endpoint] = Registry("endpoint")


class Admin:
    """Serves the endpoints under ``/-/`` from the services of the kernel."""

    def __init__(self, kernel: Kernel):
        self._kernel = kernel

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handle one request."""
        name = request.path.removeprefix(PREFIX)
        if not request.path.startswith(PREFIX) or name not in ENDPOINTS.names:
            endpoints = ", ".join(PREFIX + name for name in ENDPOINTS.names)
            return web.Response(
                status=404, text=f"unknown path; endpoints: {endpoints}\n"
            )
        return await ENDPOINTS.get(name)(self, request)

    @ENDPOINTS.register("health")
    async def _health(self, request: web.BaseRequest) -> web.Response:
        """Return 200 if a version is enforced and the instance is not draining."""
        store, drain = self._kernel.get("store"), self._kernel.get("drain")
        content = {"version": store.current.version, "leaving": drain.draining}
        ready = store.current.version > 0 and not drain.draining
        return _json(content, status=200 if ready else 503)

    @ENDPOINTS.register("status")
    async def _status(self, request: web.BaseRequest) -> web.Response:
        """Return the rollout status of a version over the fleet."""
        version = request.query.get("version", "")
        if version and not version.isdigit():
            return web.Response(status=400, text="parameter version is not a number\n")
        peers, store = self._kernel.get("peers"), self._kernel.get("store")
        peers.reporter.refresh()
        content = peers.reporter.summaries.status(
            store, int(version) if version else None
        )
        return _json(content)

    @ENDPOINTS.register("process")
    async def _process(self, request: web.BaseRequest) -> web.Response:
        """Return the state of this process."""
        return _json(self._kernel.get("metrics").process_state())

    @ENDPOINTS.register("metrics")
    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the OpenTelemetry metrics as JSON."""
        text = self._kernel.get("metrics").collect()
        return web.Response(text=text, content_type="application/json")

    @ENDPOINTS.register("fence")
    async def _fence(self, request: web.BaseRequest) -> web.Response:
        """Fence an attempt for an entry proxy and return its state.

        The parameter ``at`` is the intended instance; another one may have taken over
        its address.
        """
        members, owner = self._kernel.get("members"), self._kernel.get("owner")
        if request.method != "POST" or request.query.get("at") != members.me.id:
            return web.Response(status=409, text=f"use POST and at={members.me.id}\n")
        key, drop = request.query.get("key", ""), request.query.get("drop") == "1"
        return web.Response(text=owner.attempts.fence(key, drop))


def _json(content: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )

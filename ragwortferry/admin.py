"""What operators and other proxies ask a process over HTTP."""

__all__ = ["Admin"]

from collections.abc import Awaitable, Callable

import msgspec
from aiohttp import web

from ragwortferry.kernel import Kernel
from ragwortferry.utils.registry import Registry

PREFIX = "/-/"

Endpoint = Callable[["Admin", web.BaseRequest], Awaitable[web.Response]]
ENDPOINTS: Registry[Endpoint] = Registry("page")


class Admin:
    """Answers the pages under ``/-/`` from the services of the kernel."""

    def __init__(self, kernel: Kernel):
        self._kernel = kernel

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Answer one request."""
        name = request.path.removeprefix(PREFIX)
        if not request.path.startswith(PREFIX) or name not in ENDPOINTS.names:
            pages = ", ".join(PREFIX + name for name in ENDPOINTS.names)
            return web.Response(status=404, text=f"not here; pages: {pages}\n")
        return await ENDPOINTS.get(name)(self, request)

    @ENDPOINTS.register("health")
    async def _health(self, request: web.BaseRequest) -> web.Response:
        """Say whether a version is in force and the instance stays."""
        store, drain = self._kernel.get("store"), self._kernel.get("drain")
        content = {"version": store.mark.version, "leaving": drain.draining}
        ready = store.mark.version > 0 and not drain.draining
        return _json(content, status=200 if ready else 503)

    @ENDPOINTS.register("status")
    async def _status(self, request: web.BaseRequest) -> web.Response:
        """Say where a version stands over the fleet."""
        given = request.query.get("version", "")
        if given and not given.isdigit():
            return web.Response(status=400, text="version: not a number\n")
        peers, store = self._kernel.get("peers"), self._kernel.get("store")
        peers.reporter.refresh()
        answer = peers.reporter.fleet.answer(store, int(given) if given else None)
        return _json(answer)

    @ENDPOINTS.register("process")
    async def _process(self, request: web.BaseRequest) -> web.Response:
        """Tell the state of this one process."""
        return _json(self._kernel.get("metrics").process_state())

    @ENDPOINTS.register("metrics")
    async def _metrics(self, request: web.BaseRequest) -> web.Response:
        """Return the OpenTelemetry metrics as JSON."""
        text = self._kernel.get("metrics").collect()
        return web.Response(text=text, content_type="application/json")

    @ENDPOINTS.register("fence")
    async def _fence(self, request: web.BaseRequest) -> web.Response:
        """Fence an attempt of an entry proxy and tell its state."""
        members, owner = self._kernel.get("members"), self._kernel.get("owner")
        if request.method != "POST" or request.query.get("at") != members.me.id:
            return web.Response(status=409, text=f"this is {members.me.id}\n")
        key, drop = request.query.get("key", ""), request.query.get("drop") == "1"
        return web.Response(text=owner.attempts.fence(key, drop))


def _json(content: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(content),
        content_type="application/json",
    )

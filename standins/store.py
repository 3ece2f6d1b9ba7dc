"""Test double of the key-value store: reads, ranges and watches, with faults."""

__all__ = ["StoreStandin"]

import asyncio
import base64
from dataclasses import dataclass

from aiohttp import web

MAX_PAGE_ITEMS = 50


@dataclass(slots=True)
class _Item:
    key: str
    value: bytes
    revision: int
    created: int


class StoreStandin:
    """Serves reads over HTTP; tests write through its methods.

    ``fault`` is ``""``, ``"busy"`` (status 503), ``"reset"`` (connections are reset) or
    ``"silent"`` (no response). It applies to clients whose IP address is in
    ``fault_hosts``, or to all if that is empty.
    """

    def __init__(self):
        self._items: dict[str, _Item] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._compacted_revision = 0
        self.revision = 100
        self.calls: dict[str, int] = {}
        self.fault = ""
        self.fault_hosts: set[str] = set()

    async def start(self, host: str, port: int) -> None:
        """Start the server."""
        app = web.Application()
        app.router.add_get("/-/kv-key", self._get_key)
        app.router.add_get("/-/kv-range", self._get_range)
        app.router.add_get("/-/kv-watch", self._watch)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, host, port).start()

    async def stop(self) -> None:
        """Stop the server."""
        await self._runner.cleanup()

    async def put(self, key: str, value: bytes) -> int:
        """Write an item and return its revision."""
        async with self._changed:
            self.revision += 1
            current = self._items.get(key)
            created = current.created if current else self.revision
            item = _Item(key, value, self.revision, created)
            self._items[key] = item
            self._events.append(_encode(item))
            self._changed.notify_all()
            return self.revision

    async def delete(self, key: str) -> int:
        """Delete an item and return the revision of the deletion."""
        async with self._changed:
            self.revision += 1
            self._items.pop(key, None)
            self._events.append({"key": key, "rev": self.revision, "removed": True})
            self._changed.notify_all()
            return self.revision

    def compact(self) -> None:
        """Drop the change history, so that older watches get status 410."""
        self._events.clear()
        self._compacted_revision = self.revision

    async def _admit(self, request: web.Request) -> None:
        name = request.path.rpartition("/")[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if not self.fault or (
            self.fault_hosts and request.remote not in self.fault_hosts
        ):
            return
        if self.fault == "busy":
            raise web.HTTPServiceUnavailable
        if self.fault == "reset" and request.transport is not None:
            request.transport.abort()
        while self.fault == "silent":
            await asyncio.sleep(0.05)
        raise web.HTTPServiceUnavailable

    async def _get_key(self, request: web.Request) -> web.Response:
        await self._admit(request)
        item = self._items.get(request.query["key"])
        if item is None:
            raise web.HTTPNotFound
        return web.json_response({**_encode(item), "store_revision": self.revision})

    async def _get_range(self, request: web.Request) -> web.Response:
        await self._admit(request)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix))
        keys = [key for key in keys if key > after]
        page = [_encode(self._items[key]) for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return web.json_response(
            {"items": page, "has_more": more, "store_revision": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        await self._admit(request)
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait_s = int(request.query["wait_ms"]) / 1000
        if after < self._compacted_revision:
            raise web.HTTPGone

        def pending_events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(pending_events)
        except TimeoutError:
            pass
        await self._admit(request)
        return web.json_response(
            {"events": pending_events(), "store_revision": self.revision}
        )


def _encode(item: _Item) -> dict:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.revision,
        "created_rev": item.created,
        "lease": 0,
    }

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

    The store may come back from a copy: what was written since is lost, and revisions
    are given out again. ``era`` counts these returns.
    """

    def __init__(self):
        self._items: dict[str, _Item] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self._compacted_revision = 0
        self.revision = 100
        self.era = 1
        self.calls: dict[str, int] = {}
        self.fault = ""
        self.fault_hosts: set[str] = set()

    async def start(self, host: str, port: int) -> None:
        """Start the server."""
        app = web.Application()
        app.router.add_get("/-/kv-key", self._get_key)
        app.router.add_get("/-/kv-range", self._get_range)
        app.router.add_get("/-/kv-watch", self._watch)
        app.on_response_prepare.append(self._add_era)
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

    def copy(self) -> tuple[dict[str, _Item], list[dict], int]:
        """Return a copy of what the store holds."""
        return dict(self._items), list(self._events), self.revision

    async def restore(self, copy: tuple[dict[str, _Item], list[dict], int]) -> None:
        """Come back from a copy; the watches that wait are cut."""
        async with self._changed:
            self._items, self._events = dict(copy[0]), list(copy[1])
            self.revision = copy[2]
            self.era += 1
            self._changed.notify_all()

    async def _add_era(self, request: web.Request, response: web.Response) -> None:
        response.headers["Store-Era"] = str(self.era)

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
        if after < self._compacted_revision or after > self.revision:
            raise web.HTTPGone
        era = self.era

        def pending_events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: pending_events() or self.era != era
                )
        except TimeoutError:
            pass
        if self.era != era and request.transport is not None:
            request.transport.abort()
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

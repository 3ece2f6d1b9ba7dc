"""Stand-in of the platform's store: reads, ranges and watches."""

__all__ = ["Store"]

import asyncio
import base64
import json
from urllib.parse import parse_qs, urlsplit

from common2.http import encode_response, serve

PAGE_ITEMS = 500


class Store:
    """Holds items in memory and serves them as PROTOCOL.md says."""

    def __init__(self):
        self.revision = 100
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await serve(self._handle, host, port)

    async def put(self, key: str, content: dict) -> None:
        """Write an item; it is acknowledged when this returns."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        await self._record(key, {"value": value, "lease": 0})

    async def delete(self, key: str) -> None:
        """Remove an item."""
        await self._record(key, {"removed": True})

    async def _record(self, key: str, fields: dict) -> None:
        async with self._changed:
            self.revision += 1
            item = {"key": key, "rev": self.revision, **fields}
            created = self._items.get(key, {}).get("created_rev", self.revision)
            if "removed" in fields:
                self._items.pop(key, None)
            else:
                item["created_rev"] = created
                self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()

    async def _handle(self, connection, method, target, headers, body) -> bytes:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-range":
            return _json(200, self._range(query))
        if url.path == "/-/kv-watch":
            return _json(200, await self._watch(query))
        item = self._items.get(query.get("key", ""))
        if url.path != "/-/kv-key" or item is None:
            return _json(404, {})
        return _json(200, {**item, "store_revision": self.revision})

    def _range(self, query: dict) -> dict:
        keys = sorted(key for key in self._items if key.startswith(query["prefix"]))
        keys = [key for key in keys if key > query.get("after", "")]
        items = [self._items[key] for key in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return {"items": items, "has_more": more, "store_revision": self.revision}

    async def _watch(self, query: dict) -> dict:
        after, prefix = int(query["after"]), query["prefix"]

        def events() -> list[dict]:
            return [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query["wait_ms"]) / 1000), self._changed:
                await self._changed.wait_for(events)
        except TimeoutError:
            pass
        return {"events": events(), "store_revision": self.revision}


def _json(status: int, content: dict) -> bytes:
    headers = {"Content-Type": "application/json"}
    return encode_response(status, headers, json.dumps(content).encode())

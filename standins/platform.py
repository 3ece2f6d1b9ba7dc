"""Test double of the platform's configuration service.

Operators write through ``PUT /v1/keys/KEY`` and ``/control``; proxies only read.
"""

__all__ = ["Platform", "PlatformServer"]

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

import fire
import msgspec
from aiohttp import web

from ragwortferry.source.port import Instance, InstanceChange

MAX_VALUE_BYTES = 1_048_576
MAX_CALLS_PER_S = 2_000
REVISION_HEADER = "X-Revision"
EXPECTED_REVISION_HEADER = "X-Expect-Revision"


class Faults(msgspec.Struct):
    """Active faults.

    :param outage: whether every read gets status 503.
    :param frozen: whether reads return the state as of when this was set.
    :param rewound: revision whose state reads return, 0 for the latest.
    :param delay_s: delay of each response, in seconds.
    """

    outage: bool = False
    frozen: bool = False
    rewound: int = 0
    delay_s: float = 0.0


@dataclass
class _Write:
    revision: int
    key: str
    data: bytes


@dataclass
class _InstanceUpdate:
    """An added, changed or removed instance."""

    at: float
    revision: int
    upsert: Instance | None
    removed: str


@dataclass
class Platform:
    """Keys with revisions, and an instance list that readers see with a lag.

    :param lag_s: seconds until a change of the instance list is visible.
    :param max_calls_per_s: rate above which calls get status 429.
    """

    lag_s: float = 0.0
    max_calls_per_s: int = MAX_CALLS_PER_S
    faults: Faults = field(default_factory=Faults)
    calls: Counter = field(default_factory=Counter)
    calls_by_second: Counter = field(default_factory=Counter)
    rejected: int = 0
    _writes: list[_Write] = field(default_factory=list)
    _updates: list[_InstanceUpdate] = field(default_factory=list)
    _frozen_revision: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def revision(self) -> int:
        """Return the revision of the latest write."""
        return len(self._writes)

    def record_call(self, kind: str) -> bool:
        """Count a call and return whether it is within the rate limit."""
        second = int(time.time())
        self.calls[kind] += 1
        self.calls_by_second[second] += 1
        if self.calls_by_second[second] > self.max_calls_per_s:
            self.rejected += 1
            return False
        return True

    def put(self, key: str, data: bytes, expected: int | None = None) -> int | None:
        """Write a value and return its revision.

        :param expected: revision that the key must have, 0 for none.
        :returns: ``None`` if the key has another revision.
        """
        current = self.get(key, latest=True)
        if expected is not None and (current.revision if current else 0) != expected:
            return None
        self._writes.append(_Write(len(self._writes) + 1, key, data))
        self._notify()
        return len(self._writes)

    def get(self, key: str, latest: bool = False) -> _Write | None:
        """Return the latest write of a key that is visible to readers.

        :param latest: whether to ignore the faults.
        """
        visible = len(self._writes) if latest else self._visible_revision()
        for write in reversed(self._writes[:visible]):
            if write.key == key:
                return write
        return None

    def _visible_revision(self) -> int:
        if self.faults.rewound:
            return self.faults.rewound
        return self._frozen_revision if self.faults.frozen else len(self._writes)

    def set_faults(self, faults: Faults) -> None:
        """Replace the active faults."""
        if faults.frozen and not self.faults.frozen:
            self._frozen_revision = len(self._writes)
        self.faults = faults
        self._notify()

    def change_instances(self, upserts: list[Instance], removed: list[str]) -> None:
        """Change the instance list; readers see the change after the lag."""
        now, loop = time.monotonic(), asyncio.get_running_loop()
        for instance in upserts:
            self._add_update(now, instance, "")
        for name in removed:
            self._add_update(now, None, name)
        loop.call_later(self.lag_s + 0.01, self._notify)

    def _add_update(self, now: float, upsert: Instance | None, removed: str) -> None:
        revision = len(self._updates) + 1
        self._updates.append(_InstanceUpdate(now, revision, upsert, removed))

    def instance_change_since(self, after: int) -> InstanceChange | None:
        """Return the visible change of the instance list since a revision."""
        visible = time.monotonic() - self.lag_s
        seen = [change for change in self._updates if change.at <= visible]
        if not seen or seen[-1].revision <= after:
            return None
        upserts: dict[str, Instance] = {}
        removed: dict[str, None] = {}
        for change in seen[after:]:
            if change.upsert:
                upserts[change.upsert.id] = change.upsert
                removed.pop(change.upsert.id, None)
            else:
                upserts.pop(change.removed, None)
                removed[change.removed] = None
        full = after == 0
        removed_ids = [] if full else list(removed)
        return InstanceChange(
            seen[-1].revision, full, list(upserts.values()), removed_ids
        )

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, probe, wait_s: float):
        """Return ``probe()`` once it is not ``None``, or ``None`` after ``wait_s``.

        Ends early in an outage.
        """
        end = time.monotonic() + wait_s
        while True:
            changed = self._changed
            found = probe()
            remaining = end - time.monotonic()
            if found is not None or remaining <= 0 or self.faults.outage:
                return found
            try:
                await asyncio.wait_for(changed.wait(), remaining)
            except TimeoutError:
                pass


class PlatformServer:
    """Serves a platform over HTTP."""

    def __init__(self, platform: Platform):
        self.platform = platform
        self._runner: web.AppRunner | None = None

    async def start(self, host: str, port: int) -> int:
        """Start the server and return its port."""
        app = web.Application(client_max_size=4 * MAX_VALUE_BYTES)
        app.add_routes(
            [
                web.get("/v1/keys/{key:.+}", self._get_key),
                web.put("/v1/keys/{key:.+}", self._put_key),
                web.get("/v1/instances", self._get_instances),
                web.post("/control/instances", self._change_instances),
                web.post("/control/faults", self._set_faults),
                web.get("/control/counts", self._get_counts),
            ]
        )
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, backlog=1024)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server."""
        await self._runner.cleanup()

    async def _admit(self, kind: str) -> web.Response | None:
        platform = self.platform
        within_limit = platform.record_call(kind)
        if platform.faults.delay_s:
            await asyncio.sleep(platform.faults.delay_s)
        if platform.faults.outage:
            return web.Response(status=503, text="outage")
        return (
            None
            if within_limit
            else web.Response(status=429, text="call rate exceeds the limit")
        )

    async def _get_key(self, request: web.Request) -> web.Response:
        refusal = await self._admit("key")
        if refusal:
            return refusal
        key = request.match_info["key"]
        after = int(request.query.get("after", -1))
        wait_s = float(request.query.get("wait", 0))

        def probe() -> _Write | None:
            write = self.platform.get(key)
            return write if write and write.revision > after else None

        write = await self.platform.wait(probe, wait_s)
        if self.platform.faults.outage:
            return web.Response(status=503, text="outage")
        if write is None:
            return web.Response(status=304 if wait_s else 404)
        return web.Response(
            body=write.data, headers={REVISION_HEADER: str(write.revision)}
        )

    async def _put_key(self, request: web.Request) -> web.Response:
        data = await request.read()
        if len(data) > MAX_VALUE_BYTES:
            return web.Response(status=413, text="value is larger than one megabyte")
        expected = request.headers.get(EXPECTED_REVISION_HEADER)
        revision = self.platform.put(
            request.match_info["key"], data, int(expected) if expected else None
        )
        if revision is None:
            return web.Response(status=409, text="key has another revision")
        return web.Response(headers={REVISION_HEADER: str(revision)})

    async def _get_instances(self, request: web.Request) -> web.Response:
        refusal = await self._admit("list")
        if refusal:
            return refusal
        after = int(request.query.get("after", 0))
        wait_s = float(request.query.get("wait", 0))
        change = await self.platform.wait(
            lambda: self.platform.instance_change_since(after), wait_s
        )
        if self.platform.faults.outage:
            return web.Response(status=503, text="outage")
        if change is None:
            return web.Response(status=304)
        return web.Response(body=msgspec.json.encode(change))

    async def _change_instances(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        upserts = msgspec.convert(body.get("upserts", []), list[Instance])
        self.platform.change_instances(upserts, body.get("removed", []))
        return web.Response()

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.platform.set_faults(msgspec.json.decode(await request.read(), type=Faults))
        return web.Response()

    async def _get_counts(self, request: web.Request) -> web.Response:
        platform = self.platform
        return web.json_response(
            {
                "calls": dict(platform.calls),
                "most_in_a_second": max(platform.calls_by_second.values(), default=0),
                "limited": platform.rejected,
            }
        )


async def _serve(host: str, port: int, lag_s: float) -> None:
    await PlatformServer(Platform(lag_s=lag_s)).start(host, port)
    await asyncio.Event().wait()


def main(port: int, host: str = "127.0.0.1", lag_s: float = 0.0) -> None:
    """Serve until the process is killed."""
    asyncio.run(_serve(host, port, lag_s))


if __name__ == "__main__":
    fire.Fire(main)

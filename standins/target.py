"""Test double of a target that records each request that ran."""

__all__ = ["Behaviour", "Target", "TargetServer"]

import asyncio
import time
from dataclasses import dataclass, field

import aiohttp
import fire
import msgspec
from aiohttp import web

from standins.resets import reset

UNFRAMED_HEAD = b"HTTP/1.1 200 OK\r\n\r\n"
STREAM_CHUNK = b"x" * 16_384
REQUEST_ID_HEADER = "X-Request-Id"
REFUSED_HEADER = {"X-Target-Refused": "not-run"}


class Behaviour(msgspec.Struct):
    """Behaviour of a target.

    :param slots: maximum number of concurrent requests; further ones are refused.
    :param connections: maximum number of connections; further ones are reset.
    :param cold_s: seconds after the start during which service times are five-fold.
    :param delay_s: service time of a request, in seconds.
    :param shed: whether every request is refused as not run.
    :param leaving: whether new requests are refused because the target shuts down.
    :param silent: whether requests run but get no response.
    :param reset: whether the connection is reset after the request has run.
    :param cut: whether streamed responses are truncated in the middle.
    """

    slots: int = 20
    connections: int = 130
    cold_s: float = 0.0
    delay_s: float = 0.0
    shed: bool = False
    leaving: bool = False
    silent: bool = False
    reset: bool = False
    cut: bool = False


@dataclass
class Run:
    """A request that ran.

    :param at: Unix time at which it started.
    :param cancelled: whether it was cancelled before its response.
    :param timeout_ms: timeout header of the request.
    """

    request_id: str
    method: str
    path: str
    at: float
    cancelled: bool = False
    timeout_ms: int = 0


@dataclass
class Target:
    """State of a target.

    :param proxy: URL of the proxy of the same instance.
    :param ledger: every request that started to run.
    """

    name: str = "target"
    proxy: str = ""
    behaviour: Behaviour = field(default_factory=Behaviour)
    ledger: list[Run] = field(default_factory=list)
    running: int = 0
    max_running: int = 0
    max_connections: int = 0
    refused: int = 0
    started_at: float = field(default_factory=time.monotonic)

    def count_runs(self, request_id: str) -> int:
        """Return how many times a request ran."""
        return sum(run.request_id == request_id for run in self.ledger)


def _depth(request: web.BaseRequest) -> int:
    return int(request.query.get("depth", 0))


class TargetServer:
    """Serves a target over HTTP.

    Query parameters of a request: ``delay_ms``, its service time; ``bytes``, the size
    of a streamed response, ``pause_ms``, the pause after each chunk of it, and
    ``unframed``, to delimit it by the end of its connection;
    ``depth``, the length of a chain of calls through the proxy; ``fail``, to reset the
    connection at the end of the chain.
    """

    def __init__(self, target: Target):
        self.target = target
        self._runner: web.ServerRunner | None = None
        self._server: web.Server | None = None

    async def start(self, host: str, port: int) -> int:
        """Start the server and return its port."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._server = server
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port)
        await site.start()
        return self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stop the server and close its connections."""
        await self._runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        target, behaviour = self.target, self.target.behaviour
        if request.path.startswith("/control/"):
            return await self._control(request)
        count = len(self._server.connections)
        target.max_connections = max(target.max_connections, count)
        if count > behaviour.connections:
            request.transport.abort()
            return web.Response()
        if behaviour.leaving or behaviour.shed or target.running >= behaviour.slots:
            target.refused += 1
            leaving = {"X-Target-Leaving": "1"} if behaviour.leaving else {}
            return web.Response(status=503, headers={**REFUSED_HEADER, **leaving})
        run = Run(
            request.headers.get(REQUEST_ID_HEADER, ""),
            request.method,
            request.path,
            time.time(),
            timeout_ms=int(request.headers.get("X-Request-Timeout-Ms", 0)),
        )
        target.ledger.append(run)
        target.running += 1
        target.max_running = max(target.max_running, target.running)
        try:
            return await self._respond(request)
        except asyncio.CancelledError:
            run.cancelled = True
            raise
        finally:
            target.running -= 1

    async def _respond(self, request: web.BaseRequest) -> web.StreamResponse:
        behaviour = self.target.behaviour
        body = await request.read()
        is_cold = time.monotonic() - self.target.started_at < behaviour.cold_s
        delay = int(request.query.get("delay_ms", 0)) / 1000 + behaviour.delay_s
        await asyncio.sleep(delay * (5 if is_cold else 1))
        if behaviour.silent:
            await asyncio.sleep(3600)
        if behaviour.reset or ("fail" in request.query and not _depth(request)):
            request.transport.abort()
            return web.Response()
        if _depth(request):
            return await self._call_next(request)
        size = int(request.query.get("bytes", 0))
        if size and "unframed" in request.query:
            return await self._send_unframed(request, size)
        if size:
            return await self._stream(request, size)
        content = {
            "target": self.target.name,
            "path": request.path,
            "id": request.headers.get(REQUEST_ID_HEADER),
            "got": len(body),
        }
        return web.json_response(content)

    async def _call_next(self, request: web.BaseRequest) -> web.Response:
        """Call the next service of a call chain through the proxy of this instance."""
        query = {**request.query, "depth": str(_depth(request) - 1)}
        forwarded = (REQUEST_ID_HEADER, "X-Request-Timeout-Ms")
        headers = {name: request.headers[name] for name in forwarded}
        url = f"{self.target.proxy}{request.path}"
        async with (
            aiohttp.ClientSession() as session,
            session.get(url, params=query, headers=headers) as response,
        ):
            return web.Response(status=response.status, body=await response.read())

    async def _stream(self, request: web.BaseRequest, size: int):
        pause = int(request.query.get("pause_ms", 0)) / 1000
        response = web.StreamResponse()
        response.content_length = size
        await response.prepare(request)
        remaining, truncate = size, self.target.behaviour.cut
        max_chunk = min(len(STREAM_CHUNK), size // 2) if truncate else len(STREAM_CHUNK)
        while remaining:
            if truncate and remaining <= size // 2:
                request.transport.abort()
                return response
            chunk = STREAM_CHUNK[: min(remaining, max_chunk)]
            await response.write(chunk)
            remaining -= len(chunk)
            if pause:
                await asyncio.sleep(pause)
        await response.write_eof()
        return response

    async def _send_unframed(self, request: web.BaseRequest, size: int):
        truncate = self.target.behaviour.cut
        sent = size // 2 if truncate else size
        request.transport.write(UNFRAMED_HEAD + b"x" * sent)
        if truncate:
            reset(request.transport)
        else:
            request.transport.close()
        await asyncio.Event().wait()  # The end of the connection cancels the handler.

    async def _control(self, request: web.BaseRequest) -> web.Response:
        target = self.target
        if request.path == "/control/behaviour":
            target.behaviour = msgspec.json.decode(await request.read(), type=Behaviour)
            return web.Response()
        if request.path == "/control/ledger":
            return web.Response(body=msgspec.json.encode(target.ledger))
        state = {"most_running": target.max_running, "refused": target.refused}
        return web.json_response(state)


async def _serve(host: str, port: int, name: str, slots: int) -> None:
    target = Target(name, Behaviour(slots=slots))
    await TargetServer(target).start(host, port)
    await asyncio.Event().wait()


def main(
    port: int, host: str = "127.0.0.1", name: str = "target", slots: int = 20
) -> None:
    """Serve until the process is killed."""
    asyncio.run(_serve(host, port, name, slots))


if __name__ == "__main__":
    fire.Fire(main)

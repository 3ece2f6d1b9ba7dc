"""Test double of an upstream of a mesh that records each request that ran."""

__all__ = ["UpstreamStandin"]

import asyncio
import json
import random
import time
import weakref
from collections import Counter
from collections.abc import Callable

from aiohttp import web

from standins.resets import reset

ENDLESS_PIECE = b"x" * 65_536
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
SIGNED = "X-Response-Signature: {name}\r\n"
# Status, further lines of the head and the bytes that follow without end, by fault.
ENDLESS = {
    "endless-head": ("200 OK", "X-Fill: ", ENDLESS_PIECE),
    "endless-headers": ("200 OK", "", b"a: 1234\r\n" * 8_000),
    "endless-body": ("200 OK", SIGNED + "\r\n", ENDLESS_PIECE),
    "endless-chunks": (
        "200 OK",
        SIGNED + "Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 10_000,
    ),
    "endless-trailers": (
        "200 OK",
        SIGNED + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"a: 1234\r\n" * 8_000,
    ),
    "endless-refusal": ("503 Busy", "X-Not-Executed: 1\r\n\r\n", ENDLESS_PIECE),
    "endless-unsigned": ("200 OK", "\r\n", ENDLESS_PIECE),
    "endless-health": ("200 OK", "\r\n", ENDLESS_PIECE),
}
# Pause while the node reads no further.
ENDLESS_PAUSE_S = 0.005

# Whether a request crashes the upstream, by its method, path, body and caller service.
CrashPredicate = Callable[[str, str, bytes, str], bool]


class UpstreamStandin:
    """Runs each request for ``service_time_s`` and adds its name to the response.

    ``fault`` is ``""``, ``"lost"`` (requests run, then the connection is reset),
    ``"cut"`` (responses are truncated), ``"shed"`` (requests are rejected),
    one of ``ENDLESS`` (bytes are sent until the connection ends),
    ``"repeat-refusal"`` (a refusal without an id is written while a request runs that
    is not the first on its connection), ``"cut-head"`` (a part of the head of each
    other response is written, then the connection ends).
    With ``"hang-when-full"`` it never responds to a request beyond its slots, nor to
    later ones on that connection, with ``"hang-once"`` to the next request; ``hung``
    holds their ids.
    ``limit`` is the value of the header ``Server-Limit`` of each response, also of
    refusals, and ``leaving`` adds ``Server-Leaving``. Responses have
    ``response_bytes``, or ``long_response_bytes`` if the request id starts with
    ``long``. ``received`` holds the method, path and body of each request by its id.
    Until ``cold_until`` (monotonic time) its registry entry and its health responses
    state how long it stays cold; health checks count as no arrivals.
    A request for which ``crashes_on`` returns true crashes the upstream after
    ``crash_delay_s``: all connections are reset and the port is closed until
    :meth:`restart`.
    """

    def __init__(self, name: str, service: str, zone: str, slots: int = 8):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.service_time_s = 0.01
        self.response_bytes = 64
        self.long_response_bytes = 300_000
        self.fault = ""
        self.crashes_on: CrashPredicate = lambda method, path, body, caller: False
        self.crash_delay_s = 0.03
        # Monotonic time of each crash and the ids of the requests then at work.
        self.crashes: list[tuple[float, list[str]]] = []
        self.hung: list[str] = []
        self.cold_until = 0.0
        self.health_checks = 0
        self.limit = ""
        self.leaving = False
        # Monotonic time of the first response with one of these, 0 before.
        self.stated_at = 0.0
        self.born_ms = 1_700_000_000_000
        # Monotonic time and request id of each request that reached this upstream.
        self.arrivals: list[tuple[float, str]] = []
        # Bytes that the endless responses have sent, by request id.
        self.endless_bytes: Counter[str] = Counter()
        self.runs: Counter[str] = Counter()
        # Monotonic time at which each request last started to run.
        self.started_at: dict[str, float] = {}
        self.callers: dict[str, str] = {}
        self.received: dict[str, tuple[str, str, bytes]] = {}
        self.cancelled: list[str] = []
        self.running = 0
        self.max_running = 0
        self.address = ""
        self._runner: web.ServerRunner | None = None
        self._site: web.TCPSite | None = None
        self._rng = random.Random(name)
        # Connections that have carried a request.
        self._used: weakref.WeakSet[asyncio.Transport] = weakref.WeakSet()
        # Ids of the requests while which an earlier refusal was written once more.
        self.repeated_refusals: list[str] = []
        # Ids of the requests at work.
        self._at_work: list[str] = []

    async def start(self, host: str, port: int) -> None:
        """Start the server."""
        server = web.Server(self._handle, access_log=None, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        self.address = f"{host}:{port}"
        await self._listen()

    async def _listen(self) -> None:
        host, _, port = self.address.partition(":")
        self._site = web.TCPSite(self._runner, host, int(port))
        await self._site.start()

    @property
    def crashed(self) -> bool:
        """Return whether the upstream has crashed and not been started again."""
        return self._site is None

    async def crash(self) -> None:
        """Reset all connections and close the port."""
        if self._site is None:
            return
        site, self._site = self._site, None
        self.crashes.append((time.monotonic(), list(self._at_work)))
        for connection in self._runner.server.connections:
            if connection.transport is not None:
                reset(connection.transport)
        await site.stop()

    async def restart(self, name: str) -> None:
        """Start again as a new process after a crash, under a new id."""
        self.name = name
        self.born_ms += 1000
        await self._listen()

    async def stop(self) -> None:
        """Stop the server."""
        await self._runner.cleanup()

    @property
    def cold_remaining_s(self) -> float:
        """Return the seconds for which the upstream stays cold."""
        return max(0.0, self.cold_until - time.monotonic())

    def _health(self) -> web.Response:
        self.health_checks += 1
        cold_ms = str(round(self.cold_remaining_s * 1000))
        headers = {"X-Instance-Id": self.name, "X-Cold-Remaining-Ms": cold_ms}
        return web.Response(headers=headers)

    def registry_entry(self, state: str = "ready") -> bytes:
        """Return the registry entry of the upstream."""
        content = {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": state,
                "seq": 1,
                "cold_remaining_s": self.cold_remaining_s,
            },
            "born": self.born_ms,
        }
        return json.dumps(content).encode()

    def most_arrivals(self, window_s: float, since: float) -> int:
        """Return the most requests that arrived in any window of this length.

        :param since: monotonic time at which the first window starts.
        """
        times = sorted(at for at, _ in self.arrivals if at >= since)
        most = first = 0
        for last, at in enumerate(times):
            while at - times[first] > window_s:
                first += 1
            most = max(most, last - first + 1)
        return most

    def response_body(self, request_id: str) -> bytes:
        """Return the response body of a request."""
        long = request_id.startswith("long")
        size = self.long_response_bytes if long else self.response_bytes
        return (request_id + "x" * size)[:size].encode()

    def _advertised(self) -> dict[str, str]:
        """Return the headers with which the upstream describes its condition."""
        if self.limit or self.leaving:
            self.stated_at = self.stated_at or time.monotonic()
        headers = {"Server-Limit": self.limit} if self.limit else {}
        return headers | ({"Server-Leaving": "1"} if self.leaving else {})

    @staticmethod
    def _refusal(request_id: str) -> dict[str, str]:
        """Return the headers of a response to a request that does not run."""
        return {"X-Request-Id": request_id, "X-Not-Executed": "1"}

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/health" and "X-Request-Id" not in request.headers:
            if self.fault == "endless-health":
                return await self._send_endless(request, "health")
            return self._health()
        request_id = request.headers.get("X-Request-Id", "")
        intended = request.headers.get("X-Target-Instance", self.name)
        if intended != self.name:
            headers = {"X-Instance-Id": self.name, **self._refusal(request_id)}
            return web.Response(status=421, headers=headers)
        self.arrivals.append((time.monotonic(), request_id))
        if self._hangs():
            self.hung.append(request_id)
            await asyncio.Event().wait()
        if self.fault == "shed" or self.running >= self.slots + 4:
            headers = self._refusal(request_id) | self._advertised()
            return web.Response(status=503, headers=headers)
        return await self._run(request, request_id)

    def _hangs(self) -> bool:
        """Return whether the next request is never answered."""
        if self.fault == "hang-once":
            self.fault = ""
            return True
        return self.fault == "hang-when-full" and self.running >= self.slots

    async def _run(self, request: web.BaseRequest, request_id: str):
        body = await request.read()
        self.runs[request_id] += 1
        self.started_at[request_id] = time.monotonic()
        self.callers[request_id] = request.headers.get("X-Caller-Service", "")
        self.received[request_id] = (request.method, request.raw_path, body)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        self._at_work.append(request_id)
        caller = self.callers[request_id]
        if self.fault == "repeat-refusal" and request.transport in self._used:
            request.transport.write(REFUSAL)
            self.repeated_refusals.append(request_id)
        self._used.add(request.transport)
        try:
            if self.crashes_on(request.method, request.raw_path, body, caller):
                await asyncio.sleep(self.crash_delay_s)
                # Another task, since the crash cancels this one.
                asyncio.get_running_loop().create_task(self.crash())
            await asyncio.sleep(self.service_time_s)
        except asyncio.CancelledError:
            self.cancelled.append(request_id)
            raise
        finally:
            self.running -= 1
            self._at_work.remove(request_id)
        headers = {
            "X-Request-Id": request_id,
            "X-Response-Signature": self.name,
            **self._advertised(),
        }
        if self.fault in ENDLESS and self.fault != "endless-health":
            return await self._send_endless(request, request_id)
        content = self.response_body(request_id)
        if self.fault == "lost" and request.transport is not None:
            request.transport.abort()
        if self.fault == "cut-head" and self.runs.total() % 2:
            self._send_part_of_head(request, headers, content)
        if self.fault == "cut":
            return await self._send_truncated(request, headers, content)
        return web.Response(body=content, headers=headers)

    def _send_part_of_head(self, request, headers, content) -> None:
        """Send the head of a response up to a drawn byte and end the connection."""
        lines = [f"{name}: {value}" for name, value in headers.items()]
        lines = ["HTTP/1.1 200 OK", *lines, f"Content-Length: {len(content)}"]
        head = "\r\n".join(lines) + "\r\n\r\n"
        transport = request.transport
        transport.write(head[: self._rng.randrange(len(head))].encode())
        if self._rng.random() < 0.5:
            reset(transport)
        else:
            transport.close()
        raise asyncio.CancelledError

    async def _send_truncated(self, request, headers, content) -> web.StreamResponse:
        response = web.StreamResponse(headers=headers)
        response.content_length = len(content)
        await response.prepare(request)
        await response.write(content[: len(content) // 2])
        if request.transport is not None:
            request.transport.abort()
        return response

    async def _send_endless(self, request, request_id: str) -> web.StreamResponse:
        """Send bytes that are no response until the node closes the connection."""
        transport = request.transport
        status, lines, piece = ENDLESS[self.fault]
        named = "" if request_id == "health" else f"X-Request-Id: {request_id}\r\n"
        head = f"HTTP/1.1 {status}\r\n{named}{lines.format(name=self.name)}"
        transport.write(head.encode())
        while not transport.is_closing():
            transport.write(piece)
            self.endless_bytes[request_id] += len(piece)
            while transport.get_write_buffer_size() and not transport.is_closing():
                await asyncio.sleep(ENDLESS_PAUSE_S)
            await asyncio.sleep(0)
        raise asyncio.CancelledError

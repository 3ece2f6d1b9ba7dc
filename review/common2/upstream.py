"""Stand-in of an application upstream that notes each request."""

__all__ = ["Upstream"]

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from common2.http import encode_response, serve


@dataclass
class Run:
    """One request at an upstream; times are monotonic, ``None`` before they come.

    :param ended_at: time at which its run ended or was dropped.
    """

    request_id: str
    upstream: str
    service: str
    path: str
    arrived_at: float
    started_at: float | None = None
    ended_at: float | None = None
    dropped: bool = False

    def describe(self) -> str:
        """Return a line for the record."""
        how = "dropped" if self.dropped else "done"
        if self.ended_at is None:
            how, seconds = "not ended", 0.0
        else:
            seconds = self.ended_at - self.arrived_at
        return (
            f"{self.request_id} at {self.upstream} ({self.service}):"
            f" {how} after {seconds:.3f} s"
        )


class Upstream:
    """Runs requests in its slots and queues a few more.

    :param work_s: returns the seconds that a request runs, by its path.
    :param runs: list to which each request is added.

    ``size`` returns the bytes of the response body, by the path.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        slots: int,
        work_s: Callable[[str], float],
        runs: list[Run],
    ):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.queue = slots, 4 * slots
        self.work_s = work_s
        self.state = "ready"
        self.size: Callable[[str], int] = lambda path: 64
        self._runs = runs
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._born_ms = int(time.time() * 1000)
        self.address = ""

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self.address = f"{host}:{port}"
        await serve(self._handle, host, port)

    def entry(self) -> dict:
        """Return the upstream's entry in the store."""
        return {
            "address": self.address,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {"state": self.state, "seq": 1, "cold_remaining_s": 0},
            "born": self._born_ms,
        }

    async def _handle(self, connection, method, target, headers, body) -> bytes:
        request_id = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request_id}
        if target == "/health" and not request_id:
            return encode_response(200, {"X-Instance-Id": self.name})
        if headers.get("x-target-instance", self.name) != self.name:
            return encode_response(421, {**echo, "X-Instance-Id": self.name})
        run = Run(request_id, self.name, self.service, target, time.monotonic())
        self._runs.append(run)
        if self._waiting >= self.queue:
            return encode_response(503, {**echo, "X-Not-Executed": "1"})
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            run.started_at = time.monotonic()
            await asyncio.sleep(self.work_s(target))
        except asyncio.CancelledError:
            run.dropped = True
            raise
        finally:
            run.ended_at = time.monotonic()
            self._free.release()
        signed = {**echo, "X-Response-Signature": f"{self.name}.{request_id}"}
        body = (f"{request_id} ".encode() * self.size(target))[: self.size(target)]
        return encode_response(200, signed, body)

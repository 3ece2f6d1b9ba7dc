"""An attempt to run a request at one upstream, and its reply."""

__all__ = ["Attempt", "Failure", "Reply", "ReplySink"]

import asyncio
from dataclasses import dataclass
from typing import Protocol

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Headers
from ragwortferry.mesh.admission.retry_after import Standing
from ragwortferry.mesh.links.frames import Load
from ragwortferry.mesh.window import Window


@dataclass(frozen=True, slots=True)
class Failure:
    """Why an attempt has no complete response.

    :param outcome: what is known about whether the request ran.
    :param detail: explanation for the log.
    :param retry_after_s: seconds after which a retry may succeed, 0 if unknown.
    :param sent: whether the request was sent to the upstream, as far as is known.
    """

    kind: ErrorKind
    outcome: Outcome
    detail: str
    retry_after_s: float = 0.0
    sent: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request at an upstream.

    :param key: id of the attempt, unique over all nodes.
    :param upstream: id of the chosen upstream.
    :param host: IP address of the instance whose node owns the upstream.
    :param deadline: loop time after which a response is useless.
    :param objective: loop time until which a response meets the latency objective.
    :param priority: 0 is the highest.
    :param idempotent: whether the request may run more than once.
    :param version: version of the configuration that routed the request.
    :param caller: service of the instance on which the request originated.
    :param target: request target: path and query string.
    :param trial: whether it runs although upstreams have crashed under the request.
    :param standing: its place among requests of its priority.
    """

    key: str
    request_id: str
    upstream: str
    host: str
    deadline: float
    objective: float
    priority: int
    idempotent: bool
    route: str
    version: int
    caller: str
    method: str
    target: str
    headers: Headers
    body: bytes
    trial: bool = False
    standing: Standing = Standing.NEW


class ReplySink(Protocol):
    """Receives the reply to an attempt: a response or a failure.

    :ivar window: counts the bytes that the caller has not taken yet; while it is full,
        the owner reads no more from the upstream.
    """

    window: Window

    def on_reply_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Receive the status and headers of the response."""

    def on_reply_data(self, data: bytes) -> None:
        """Receive a part of the response body."""

    def on_reply_end(self, load: Load | None) -> None:
        """Receive the end of a complete response."""

    def on_reply_failed(self, failure: Failure, load: Load | None) -> None:
        """Receive the reason why there is no response, or only a truncated one."""


class Reply:
    """Buffers the reply to an attempt and lets one task wait for it.

    :param on_load: called with the load that the owner reports with the reply.
    """

    def __init__(self, on_load=None):
        self._on_load = on_load
        self._parts: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._wake_size = 0
        self.window = Window()
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None
        self.size = 0
        self.complete = False
        self.failure: Failure | None = None

    @property
    def finished(self) -> bool:
        """Return whether the reply has ended, successfully or not."""
        return self.complete or self.failure is not None

    async def wait(self, size: int) -> None:
        """Wait until the reply has ended or ``size`` bytes of body have arrived."""
        while not self.finished and self.size < size:
            self._wake_size = size
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def read(self) -> bytes:
        """Return the buffered part of the body and clear the buffer."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    def on_reply_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Store the status and headers."""
        self.status, self.headers, self.length = status, headers, length

    def on_reply_data(self, data: bytes) -> None:
        """Buffer a part of the body and wake the waiter if enough has arrived."""
        self._parts.append(data)
        self.window.add(len(data))
        self.size += len(data)
        if self.size >= self._wake_size:
            self._wake()

    def on_reply_end(self, load: Load | None) -> None:
        """Mark the response as complete."""
        self._report_load(load)
        self.complete = True
        self._wake()

    def on_reply_failed(self, failure: Failure, load: Load | None) -> None:
        """Store the failure unless the reply has already ended."""
        self._report_load(load)
        if not self.finished:
            self.failure = failure
        self._wake()

    def _report_load(self, load: Load | None) -> None:
        if load is not None and self._on_load:
            self._on_load(load)

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

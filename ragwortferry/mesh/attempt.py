"""One try of a request at one upstream, and what comes back."""

__all__ = ["Attempt", "Failure", "Reply", "ReplySink"]

import asyncio
from dataclasses import dataclass
from typing import Protocol

from ragwortferry.exceptions import ErrorKind, Outcome
from ragwortferry.http1.messages import Headers
from ragwortferry.mesh.frames import Load


@dataclass(frozen=True, slots=True)
class Failure:
    """Why there is no whole answer.

    :param outcome: what is known about whether the request ran.
    :param sent: whether it was sent to the upstream.
    :param retry_after_s: seconds until another try is worth while, 0 if unknown.
    """

    kind: ErrorKind
    outcome: Outcome
    detail: str
    retry_after_s: float = 0.0
    sent: bool = False


@dataclass(slots=True, eq=False)
class Attempt:
    """One try.

    :param key: name of the attempt, unique over all nodes.
    :param upstream: id of the upstream that is meant.
    :param host: instance of its owner.
    :param deadline: loop time at which the answer is due.
    :param objective: loop time until which an answer is worth most.
    :param caller: service of the instance on which the request began.
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


class ReplySink(Protocol):
    """Receives the answer of an attempt."""

    def on_reply_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Receive the head of the upstream's answer."""

    def on_reply_data(self, data: bytes) -> None:
        """Receive a part of the body."""

    def on_reply_end(self, load: Load | None) -> None:
        """Note that the answer is whole."""

    def on_reply_failed(self, failure: Failure, load: Load | None) -> None:
        """Note that there is no answer, or not a whole one."""


class Reply:
    """Collects an answer; whoever waits is woken at its end or beyond a size.

    :param on_load: told what the owner says about its upstream.
    """

    def __init__(self, on_load=None):
        self._on_load = on_load
        self._parts: list[bytes] = []
        self._waiter: asyncio.Future[None] | None = None
        self._wake_size = 0
        self.status = 0
        self.headers: Headers = []
        self.length: int | None = None
        self.size = 0
        self.complete = False
        self.failure: Failure | None = None

    @property
    def finished(self) -> bool:
        """Return whether nothing more will come."""
        return self.complete or self.failure is not None

    async def wait(self, size: int) -> None:
        """Wait until the answer has ended or holds ``size`` bytes."""
        while not self.finished and self.size < size:
            self._wake_size = size
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter

    def read(self) -> bytes:
        """Return the part of the body that has come and was not taken."""
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    def on_reply_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Keep the head."""
        self.status, self.headers, self.length = status, headers, length

    def on_reply_data(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._parts.append(data)
        self.size += len(data)
        if self.size >= self._wake_size:
            self._wake()

    def on_reply_end(self, load: Load | None) -> None:
        """Complete the answer."""
        self._report_load(load)
        self.complete = True
        self._wake()

    def on_reply_failed(self, failure: Failure, load: Load | None) -> None:
        """End without a whole answer."""
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

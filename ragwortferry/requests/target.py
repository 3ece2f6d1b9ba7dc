"""The target of this instance, to which only its owner proxy talks."""

__all__ = ["Target"]

import asyncio
import time

import aiohttp
from yarl import URL

from ragwortferry.exceptions import ErrorKind, Outcome, RequestError
from ragwortferry.requests.headers import (
    ATTEMPT,
    REQUEST_ID,
    TARGET_LEAVING,
    TARGET_REFUSED,
    TIMEOUT_MS,
)
from ragwortferry.requests.messages import Attempt, TargetReply
from ragwortferry.requests.pool import Pool, PooledResponse
from ragwortferry.requests.slots import Slots

CONNECT_TIMEOUT_S = 1.0
REFUSED_MARK = "not-run"


class Target:
    """Sends attempts to the target within its slots.

    Requests that are not idempotent each get a new connection, so that a pooled one
    which the target has closed or something in between has forgotten never makes it
    unknown whether they ran. The others share a pool; when one pooled connection stays
    silent past the bound, the whole pool is replaced.

    :param address: host:port.
    :param host: own IP number, from which connections are made.
    """

    def __init__(self, address: str, host: str):
        self._host = host
        self._base = f"http://{address}" if address else None
        self._slots = Slots()
        self._connections = 0
        self._pool: Pool | None = None
        self._single: Pool | None = None
        self._reachable = True
        self.leaving = False

    @property
    def slots(self) -> Slots:
        """Return the slots of the target."""
        return self._slots

    async def close(self) -> None:
        """Close the connections."""
        for pool in (self._pool, self._single):
            if pool:
                await pool.close()

    def configure(self, slots: int, connections: int, queue: int, ramp_s: float):
        """Take over the limits of the snapshot in force.

        Half of the connections may be kept for requests that share them, the others are
        for requests that each take a new one.
        """
        self._slots.configure(slots, queue, ramp_s)
        if connections != self._connections:
            self._connections = connections
            for pool in (self._pool, self._single):
                if pool:
                    pool.renew()
            kept = connections // 2
            self._pool = Pool(self._host, limit=kept)
            self._single = Pool(self._host, limit=connections - kept, single=True)

    async def send(self, attempt: Attempt, begin) -> TargetReply:
        """Run an attempt and return its answer, which holds a slot until it is closed.

        :param begin: called just before the first byte may reach the target; raises
            ``RequestError`` if the attempt must not begin.
        :raises RequestError: with an outcome that says whether the attempt ran.
        """
        if self._base is None or self._pool is None:
            raise RequestError(ErrorKind.NOT_OWNER, "no target stands here")
        route, loop = attempt.policy.route, asyncio.get_running_loop()
        left = attempt.deadline - loop.time()
        await self._slots.acquire(route, attempt.policy.max_share, left)
        started = time.monotonic()
        try:
            begin()
            pooled = await self._request(attempt)
        except BaseException:
            self._slots.release(route, None)
            raise

        def on_close(complete: bool) -> None:
            busy = time.monotonic() - started
            self._slots.release(route, busy if complete else None)

        reply = TargetReply(pooled, on_close)
        self._check_refusal(pooled.response, reply)
        return reply

    def _check_refusal(self, response, reply: TargetReply) -> None:
        """Turn the target's own word that it did not run a request into an error."""
        if response.headers.get(TARGET_LEAVING):
            self.leaving = True
        if response.headers.get(TARGET_REFUSED) != REFUSED_MARK:
            return
        reply.close(complete=False)
        if self.leaving:
            raise RequestError(ErrorKind.LEAVING, "the target is leaving")
        self._slots.note_shed()
        raise RequestError(ErrorKind.SHED, "the target refused the request")

    async def _request(self, attempt: Attempt) -> PooledResponse:
        left = attempt.deadline - asyncio.get_running_loop().time()
        if left <= 0:
            raise RequestError(ErrorKind.DEADLINE_BEFORE_RUN, "the deadline has passed")
        idempotent = attempt.policy.idempotent
        pool = self._pool if idempotent else self._single
        headers = attempt.headers
        headers.pop(ATTEMPT, None)
        headers[REQUEST_ID] = attempt.request_id
        headers[TIMEOUT_MS] = str(int(left * 1000))
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=min(CONNECT_TIMEOUT_S, left),
            sock_read=attempt.policy.silence_s,
        )
        try:
            async with asyncio.timeout(left):
                pooled = await pool.request(
                    attempt.method,
                    URL(self._base + attempt.path, encoded=True),
                    headers=headers,
                    data=attempt.body.data(),
                    timeout=timeout,
                )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise self._failure(error, idempotent) from None
        if not self._reachable:
            self._reachable = True
            self._slots.restart_slowly()
        return pooled

    def _failure(self, error: Exception, pooled: bool) -> RequestError:
        """Return the error for a failed call, with what it proves."""
        text = f"{type(error).__name__}: {error}"
        unsent = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
        if isinstance(error, unsent):
            self._reachable = False
            return RequestError(ErrorKind.CONNECT_FAILED, text)
        if isinstance(error, aiohttp.SocketTimeoutError):
            if pooled:
                self._pool.renew()
            return RequestError(ErrorKind.UPSTREAM_SILENT, text)
        if isinstance(error, TimeoutError):
            if pooled:
                self._pool.renew()
            return RequestError(ErrorKind.DEADLINE, "no answer before the deadline")
        return RequestError(ErrorKind.UPSTREAM_LOST, text, Outcome.UNKNOWN)
